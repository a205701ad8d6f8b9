"""Authentication and replay protection of datagrams.

A datagram is a 16-byte keyed BLAKE2b MAC, a byte that says whether the rest is
compressed, and the packed message. Rows of members share most of their bytes, and
traffic between failure domains is billed.

A sender numbers its datagrams within a random session. A receiver accepts each number
of a session once, so a replayed datagram is dropped. A replay from a session that
the receiver has never seen is harmless: the incarnations of its rows are superseded.
"""

import hashlib
import hmac
import zlib
from collections import OrderedDict

from guavagap.codec import decode_datagram, encode_datagram
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.messages import Datagram

__all__ = [
    "MAC_BYTES",
    "MAX_DATAGRAM_BYTES",
    "ReplayWindow",
    "open_datagram",
    "seal_datagram",
]

MAC_BYTES = 16
# Receivers read no more than this.
MAX_DATAGRAM_BYTES = 2048
MAX_MESSAGE_BYTES = 16_384
COMPRESSION_LEVEL = 1
# Negative for a stream without a header and a checksum; the MAC covers the datagram.
WINDOW_BITS = -12
_PLAIN, _COMPRESSED = b"\x00", b"\x01"
WINDOW_SEQUENCES = 256
MAX_SESSIONS = 4096


def _mac(key_bytes: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(
        body, key=key_bytes, digest_size=MAC_BYTES, person=b"datagram"
    ).digest()


def seal_datagram(key_bytes: bytes, datagram: Datagram) -> bytes:
    """Encode and authenticate a datagram; return the packet.

    Raises:
        GuavagapError: MESSAGE_INVALID when it cannot be encoded, or is larger than
            receivers accept.
    """
    message = encode_datagram(datagram)
    if len(message) > MAX_MESSAGE_BYTES:
        raise _too_large(len(message), MAX_MESSAGE_BYTES)
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS)
    compressed = compressor.compress(message) + compressor.flush()
    body = min(_PLAIN + message, _COMPRESSED + compressed, key=len)
    packet = _mac(key_bytes, body) + body
    if len(packet) > MAX_DATAGRAM_BYTES:
        raise _too_large(len(packet), MAX_DATAGRAM_BYTES)
    return packet


def _too_large(size_bytes: int, limit_bytes: int) -> GuavagapError:
    return GuavagapError(
        ErrorKind.MESSAGE_INVALID,
        f"datagram of {size_bytes} bytes exceeds {limit_bytes}",
    )


def open_datagram(key_bytes: bytes, packet: bytes) -> Datagram:
    """Authenticate and decode a received packet.

    Raises:
        GuavagapError: AUTHENTICATION_FAILED when the key differs or bytes were
            changed, FRAME_INVALID when the body does not decode.
    """
    mac, body = packet[:MAC_BYTES], packet[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(key_bytes, body)):
        raise GuavagapError(
            ErrorKind.AUTHENTICATION_FAILED, "MAC of a datagram does not match"
        )
    message = body[1:]
    if body[:1] == _COMPRESSED:
        message = _decompress(message)
    return decode_datagram(message)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj(WINDOW_BITS)
    try:
        message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise GuavagapError(ErrorKind.FRAME_INVALID, str(error)) from None
    if not decompressor.eof:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID,
            f"datagram is cut short or exceeds {MAX_MESSAGE_BYTES} bytes",
        )
    return message


class ReplayWindow:
    """Window of the latest sequence numbers of each session."""

    def __init__(self):
        self._sessions: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def accept(self, session: int, sequence: int) -> bool:
        """Record a number; return False if it was seen or lies below the window."""
        highest, seen_bits = self._sessions.pop(session, (-1, 0))
        is_new = True
        if sequence > highest:
            seen_bits = (seen_bits << (sequence - highest)) | 1
            seen_bits &= (1 << WINDOW_SEQUENCES) - 1
            highest = sequence
        else:
            bit = 1 << (highest - sequence)
            is_new = highest - sequence < WINDOW_SEQUENCES and not seen_bits & bit
            seen_bits |= bit if is_new else 0
        self._sessions[session] = (highest, seen_bits)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return is_new
