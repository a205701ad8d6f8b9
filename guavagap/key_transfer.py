"""How a node that starts while the platform's store is away gets the mesh's key.

Nodes that run probe their members, also those that have ended, so a process that
takes the place of a member hears datagrams that it cannot read. It answers with a
request, and whoever sent the datagram offers the key, to addresses of its members
only. Used only where the key lies in a store that every VM can read: whoever could
ask a node for it could ask the store.
"""

import time
from typing import NamedTuple

from guavagap.addresses import Address
from guavagap.logs import get_logger
from guavagap.tcp import open_udp_socket

__all__ = ["KEY_REQUEST", "KeyOffer", "request_key", "encode_key_offer", "is_key_offer"]

log = get_logger()

KEY_REQUEST = b"guavagap: key wanted"
_OFFER_PREFIX = b"guavagap: key "
RECEIVE_BYTES = 2048
# Several nodes may probe at once; one answer to a few of them is enough.
REQUEST_INTERVAL_S = 0.1


class KeyOffer(NamedTuple):
    """The mesh's key and the node that gave it."""

    key_bytes: bytes
    giver: Address


def encode_key_offer(key_bytes: bytes) -> bytes:
    """Return the packet that offers a key."""
    return _OFFER_PREFIX + key_bytes


def is_key_offer(packet: bytes) -> bool:
    """Return whether a packet offers a key."""
    return packet.startswith(_OFFER_PREFIX)


async def request_key(own_address: Address) -> KeyOffer:
    """Wait for datagrams of other nodes, ask their senders, return the first offer.

    Args:
        own_address: where other nodes reach this one.
    """
    sock = open_udp_socket(own_address)
    asked: set[Address] = set()
    next_request_s = 0.0
    async with sock:
        while True:
            packet, sender = await sock.recvfrom(RECEIVE_BYTES)
            sender = Address(*sender[:2])
            if is_key_offer(packet) and sender in asked:
                return KeyOffer(packet.removeprefix(_OFFER_PREFIX), sender)
            if time.monotonic() < next_request_s:
                continue
            next_request_s = time.monotonic() + REQUEST_INTERVAL_S
            asked.add(sender)
            try:
                await sock.sendto(KEY_REQUEST, sender)
            except OSError as error:
                log.info("key not asked for", to=str(sender), why=repr(error))
