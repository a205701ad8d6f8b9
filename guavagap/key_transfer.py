"""Transfer of the mesh key to a node that starts during an outage of the store.

Nodes also probe members that have terminated, so a process that starts at a member's
address receives datagrams that it cannot authenticate. It responds with a key request,
and the sender of the datagram offers the key, but only to the mesh addresses of
members. This is used only where the key is kept in a store that every VM can read: a
process that can request the key from a node could read it from the store as well.
"""

from typing import NamedTuple

from guavagap.addresses import Address
from guavagap.clock import steady_s
from guavagap.logs import get_logger
from guavagap.tcp import open_udp_socket

__all__ = ["KEY_REQUEST", "KeyOffer", "encode_key_offer", "is_key_offer", "request_key"]

log = get_logger()

KEY_REQUEST = b"guavagap: key wanted"
_OFFER_PREFIX = b"guavagap: key "
RECEIVE_BYTES = 2048
# Several nodes may probe at the same time. Requests to a few of them are enough.
REQUEST_INTERVAL_S = 0.1


class KeyOffer(NamedTuple):
    """The mesh key and the address of the node that provided it."""

    key_bytes: bytes
    provider: Address


def encode_key_offer(key_bytes: bytes) -> bytes:
    """Encode a key offer as a packet."""
    return _OFFER_PREFIX + key_bytes


def is_key_offer(packet: bytes) -> bool:
    """Return whether a packet is a key offer."""
    return packet.startswith(_OFFER_PREFIX)


async def request_key(local_address: Address) -> KeyOffer:
    """Request the key from the senders of datagrams; return the first offer.

    Args:
        local_address: mesh address of this node.
    """
    sock = open_udp_socket(local_address)
    requested: set[Address] = set()
    next_request_s = 0.0
    async with sock:
        while True:
            packet, sender = await sock.recvfrom(RECEIVE_BYTES)
            sender = Address(*sender[:2])
            if is_key_offer(packet) and sender in requested:
                return KeyOffer(packet.removeprefix(_OFFER_PREFIX), sender)
            if steady_s() < next_request_s:
                continue
            next_request_s = steady_s() + REQUEST_INTERVAL_S
            requested.add(sender)
            try:
                await sock.sendto(KEY_REQUEST, sender)
            except OSError as error:
                log.info("mesh key request not sent", to=str(sender), why=repr(error))
