"""Fault injection for tests: addresses that are blocked for this process.

Only a daemon started with ``--allow-fault-injection`` accepts faults.
"""

import json

from guavagap.addresses import Address, parse_address

__all__ = ["BlockedAddresses", "decode_blocked"]


class BlockedAddresses:
    """A set of addresses that are treated as unreachable."""

    def __init__(self):
        self._addresses: frozenset[Address] = frozenset()

    def replace(self, addresses: frozenset[Address]) -> None:
        """Replace the set of blocked addresses."""
        self._addresses = addresses

    def __contains__(self, address: Address) -> bool:
        return address in self._addresses


def decode_blocked(body: bytes) -> frozenset[Address]:
    """Return the addresses of ``{"blocked": ["IP:PORT", ...]}``.

    Raises:
        ValueError: the body has another structure.
    """
    try:
        return frozenset(parse_address(text) for text in json.loads(body)["blocked"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not an object with a list of addresses: {error!r}") from None
