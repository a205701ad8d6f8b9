"""TCP and UDP addresses: an IP address and a port."""

import ipaddress
from typing import NamedTuple

__all__ = ["Address", "format_address", "parse_address"]


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    Raises:
        ValueError: the text is not an IP address and a port.
    """
    ip, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not IP:PORT")
    try:
        parsed_ip = str(ipaddress.ip_address(ip.strip("[]")))
        port = int(port_text)
    except ValueError:
        raise ValueError(f"{text!r} is not IP:PORT with a numeric IP address") from None
    if not 0 < port < 65536:
        raise ValueError(f"{text!r} has a port outside the range 1 to 65535")
    return Address(parsed_ip, port)


def format_address(address: Address) -> str:
    """Format as ``ip:port``, with brackets around an IPv6 address."""
    if ":" in address.ip:
        return f"[{address.ip}]:{address.port}"
    return f"{address.ip}:{address.port}"
