"""Injected faults for tests: addresses that this process must not reach.

Only a daemon started with ``--allow-fault-injection`` can be given faults.
"""

import json

from guavagap.addresses import Address, parse_address

__all__ = ["BlockedAddresses", "decode_blocked"]


class BlockedAddresses:
    """Addresses that count as unreachable."""

    def __init__(self):
        self._addresses: frozenset[Address] = frozenset()

    def replace(self, addresses: frozenset[Address]) -> None:
        """Block exactly these addresses from now on."""
        self._addresses = addresses

    def __contains__(self, address: Address) -> bool:
        return address in self._addresses


def decode_blocked(body: bytes) -> frozenset[Address]:
    """Return the addresses of ``{"blocked": ["IP:PORT", ...]}``.

    Raises:
        ValueError: another shape.
    """
    try:
        return frozenset(parse_address(text) for text in json.loads(body)["blocked"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of addresses: {error!r}") from None
