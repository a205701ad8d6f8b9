"""The link: authenticated, multiplexed frames on one TCP connection.

Each direction starts with a ``Hello`` and a ``Proof`` of the mesh key over both nonces.
Later frames carry a MAC over a sequence number and the frame, under a key of the
connection and direction, so a changed, replayed or reordered frame closes the link.
Frame heads are compressed with one shared state per direction, which shrinks repeated
headers to a few bytes. Request and response bodies are not compressed. The dialing
node opens streams and makes calls; the accepting node replies.

Streams carry the requests of callers, so a control message that cannot be sent or
handled does not end the link. A link whose peer does not reply is retired: its
streams go on, and new ones use another link.
"""

import hashlib
import hmac
import os
import struct
import zlib
from collections import Counter
from contextlib import asynccontextmanager
from typing import NamedTuple

import curio
from curio import socket

from guavagap.addresses import Address
from guavagap.clock import steady_s
from guavagap.codec import decode_frame, encode_frame
from guavagap.errors import ErrorKind, GuavagapError, PeerTimeoutError
from guavagap.logs import get_logger
from guavagap.messages import Hello, Proof
from guavagap.stream_messages import (
    OpenStream,
    StreamAnswer,
    StreamCredit,
    StreamData,
    StreamReset,
)
from guavagap.streams import Stream
from guavagap.tasks import run_step
from guavagap.tcp import connect_tcp, make_connection_error

__all__ = ["Link", "LinkIdentity", "TrafficCounts", "accept_link", "dial_link"]

log = get_logger()

PROTOCOL_VERSION = 4
NONCE_BYTES = 16
MAC_BYTES = 16
MAX_FRAME_BYTES = 2 * 1024 * 1024
# Incompressible bytes grow a little when they are compressed.
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - 4096
# Bytes of cancelled sends that are kept for a peer that does not read.
MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES
HANDSHAKE_TIMEOUT_S = 3.0
# Several times the longest latency between regions. A node that takes longer is
# down, stopped or unreachable, and requests should use another path.
DIAL_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 3.0
MAX_STREAMS = 512
RECEIVE_BYTES = 65_536
_LENGTH = struct.Struct(">I")
_SEQUENCE = struct.Struct(">Q")
# Length of the rest of the frame, then its MAC.
FRAME_PREFIX_BYTES = _LENGTH.size + MAC_BYTES
# A small window holds the headers of recent requests and costs 35 kB per link.
WINDOW_BITS = 12
MEMORY_LEVEL = 4
COMPRESSION_LEVEL = 6
# Each flush ends with these bytes, so they are not sent.
SYNC_FLUSH_TRAILER = b"\x00\x00\xff\xff"
_BODY_MESSAGES = (OpenStream, StreamAnswer, StreamData)
_STREAM_MESSAGES = (StreamAnswer, StreamCredit, StreamData, StreamReset)


class LinkIdentity(NamedTuple):
    """Identity of the local node on its links."""

    node_id: str
    mesh_key_bytes: bytes


class TrafficCounts(NamedTuple):
    """Bytes and frames by message class, summed over all links of a node."""

    sent_bytes: Counter
    received_bytes: Counter
    sent_frames: Counter
    received_frames: Counter


class _FrameChannel:
    """Frames on a socket, authenticated once the keys are set."""

    def __init__(self, sock, counts: TrafficCounts):
        self.sock = sock
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(-WINDOW_BITS)
        self._counts = counts
        self._buffer = bytearray()
        self._send_lock = curio.Lock()
        self._unsent = b""
        self._send_key = self._receive_key = None
        self._send_sequence = self._receive_sequence = 0
        self.is_broken = False

    def set_keys(self, send_key: bytes, receive_key: bytes) -> None:
        self._send_key, self._receive_key = send_key, receive_key

    async def send(self, message) -> None:
        """Send one frame, after the rest of one whose send was cancelled.

        A request that is cancelled in the middle of a frame must not end the other
        requests of the link. A failed send breaks the channel, but a message that
        cannot be encoded does not.

        Raises:
            GuavagapError: LINK_LOST; MESSAGE_INVALID when nothing was sent.
        """
        content = message.body if isinstance(message, _BODY_MESSAGES) else b""
        if content:
            message = message._replace(body=b"")
        head = encode_frame(message)
        if len(head) + len(content) > MAX_MESSAGE_BYTES:
            raise GuavagapError(
                ErrorKind.MESSAGE_INVALID,
                f"{type(message).__name__} of {len(head) + len(content)} bytes"
                " exceeds the limit",
            )
        async with self._send_lock:
            if self.is_broken:
                raise GuavagapError(ErrorKind.LINK_LOST, "the link is closed")
            head = self._compressor.compress(head) + self._compressor.flush(
                zlib.Z_SYNC_FLUSH
            )
            head = head.removesuffix(SYNC_FLUSH_TRAILER)
            head = _LENGTH.pack(len(head)) + head
            mac = _frame_mac(self._send_key, self._send_sequence, head, content)
            self._send_sequence += 1
            size = _LENGTH.pack(len(head) + len(content))
            packet = b"".join((self._unsent, size, mac, head, content))
            await self._send_packet(packet)
        name = type(message).__name__
        self._counts.sent_bytes[name] += FRAME_PREFIX_BYTES + len(head) + len(content)
        self._counts.sent_frames[name] += 1

    async def _send_packet(self, packet: bytes) -> None:
        """Send bytes of whole frames; keep those that a cancelled send leaves."""
        try:
            await self.sock.sendall(packet)
        except OSError as error:
            self.is_broken = True
            raise make_connection_error(
                ErrorKind.LINK_LOST, error, repr(error)
            ) from None
        except curio.CancelledError as error:
            self._unsent = packet[error.bytes_sent :]
            self.is_broken = len(self._unsent) > MAX_UNSENT_BYTES
            raise
        self._unsent = b""

    async def receive(self):
        """Return the next message.

        Raises:
            GuavagapError: LINK_LOST, AUTHENTICATION_FAILED or FRAME_INVALID.
        """
        message = self._take_message()
        while message is None:
            try:
                data = await self.sock.recv(RECEIVE_BYTES)
            except OSError as error:
                raise make_connection_error(
                    ErrorKind.LINK_LOST, error, repr(error)
                ) from None
            if not data:
                raise GuavagapError(ErrorKind.LINK_LOST, "closed by the peer")
            self._buffer += data
            message = self._take_message()
        return message

    def _take_message(self):
        """Return the first message in the buffer, None if it is incomplete."""
        buffer = self._buffer
        if len(buffer) < FRAME_PREFIX_BYTES:
            return None
        (size_bytes,) = _LENGTH.unpack_from(buffer)
        if size_bytes > MAX_FRAME_BYTES:
            raise GuavagapError(
                ErrorKind.FRAME_INVALID,
                f"frame of {size_bytes} bytes exceeds the limit",
            )
        end = FRAME_PREFIX_BYTES + size_bytes
        if len(buffer) < end:
            return None
        mac = bytes(buffer[_LENGTH.size : FRAME_PREFIX_BYTES])
        body = bytes(buffer[FRAME_PREFIX_BYTES:end])
        del buffer[:end]
        expected = _frame_mac(self._receive_key, self._receive_sequence, body)
        if not hmac.compare_digest(mac, expected):
            raise GuavagapError(
                ErrorKind.AUTHENTICATION_FAILED, "MAC of a frame does not match"
            )
        self._receive_sequence += 1
        message = self._decode_body(body)
        name = type(message).__name__
        self._counts.received_bytes[name] += end
        self._counts.received_frames[name] += 1
        return message

    def _decode_body(self, body: bytes):
        """Decode the message of an authenticated frame."""
        if len(body) < _LENGTH.size:
            raise GuavagapError(ErrorKind.FRAME_INVALID, "frame without a head")
        (head_bytes,) = _LENGTH.unpack(body[: _LENGTH.size])
        end = _LENGTH.size + head_bytes
        try:
            compressed = body[_LENGTH.size : end] + SYNC_FLUSH_TRAILER
            head = self._decompressor.decompress(compressed, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise GuavagapError(ErrorKind.FRAME_INVALID, str(error)) from None
        if self._decompressor.unconsumed_tail:
            raise GuavagapError(ErrorKind.FRAME_INVALID, "frame head is too large")
        message = decode_frame(head)
        content = body[end:]
        if not content:
            return message
        if not isinstance(message, _BODY_MESSAGES):
            raise GuavagapError(ErrorKind.FRAME_INVALID, "message cannot carry a body")
        return message._replace(body=content)


def _frame_mac(key: bytes | None, sequence: int, *parts: bytes) -> bytes:
    """Return the MAC of a frame, or zeros while there is no key yet."""
    if key is None:
        return bytes(MAC_BYTES)
    hasher = hashlib.blake2b(_SEQUENCE.pack(sequence), key=key, digest_size=MAC_BYTES)
    for part in parts:
        hasher.update(part)
    return hasher.digest()


class Link:
    """Local end of an authenticated connection to another node.

    Attributes:
        peer_id: identifier of the other node.
        streams: streams of the forwarded requests in progress, by identifier.
        is_closed: True when nothing more can be sent or received.
        is_retired: True when the streams in progress are the last ones.
        last_sent_at_s: monotonic time of the latest message sent.
    """

    def __init__(self, channel: _FrameChannel, peer_id: str):
        self.peer_id = peer_id
        self.streams: dict[int, Stream] = {}
        self.is_closed = False
        self.is_retired = False
        self._channel = channel
        self.last_sent_at_s = steady_s()
        self._pending_calls: dict[int, curio.Event] = {}
        self._replies: dict[int, object] = {}
        self._next_id = 1

    def is_idle(self, idle_s: float) -> bool:
        """Return whether nothing is in progress and nothing was sent for ``idle_s``."""
        if self.streams or self._pending_calls:
            return False
        return steady_s() - self.last_sent_at_s > idle_s

    def next_id(self) -> int:
        """Return an identifier that was never used before on this connection."""
        self._next_id += 1
        return self._next_id

    async def send(self, message) -> None:
        """Send one message.

        Raises:
            GuavagapError: LINK_LOST when the link is closed or sending fails.
        """
        if self.is_closed:
            raise GuavagapError(ErrorKind.LINK_LOST, "the link is closed")
        self.last_sent_at_s = steady_s()
        await self._channel.send(message)

    async def call(
        self, message, timeout_s: float = CALL_TIMEOUT_S, should_retire: bool = True
    ):
        """Send a request with a ``call_id`` and return its reply.

        Args:
            message: the request.
            timeout_s: longest time until the reply.
            should_retire: whether to retire the link without a reply, because an
                unresponsive node may be stopped. A short timeout proves nothing.

        Raises:
            GuavagapError: LINK_LOST when there is no reply within the timeout.
        """
        call_id = self.next_id()
        event = self._pending_calls[call_id] = curio.Event()
        try:
            async with curio.timeout_after(timeout_s):
                await self.send(message._replace(call_id=call_id))
                await event.wait()
        except curio.TaskTimeout:
            if should_retire:
                await self._retire()
            raise GuavagapError(
                ErrorKind.LINK_LOST,
                f"{self.peer_id}: no reply to {type(message).__name__}",
            ) from None
        finally:
            self._pending_calls.pop(call_id, None)
        if call_id not in self._replies:
            raise GuavagapError(ErrorKind.LINK_LOST, f"{self.peer_id}: link closed")
        return self._replies.pop(call_id)

    async def _retire(self) -> None:
        """Close the link once its streams have ended.

        A peer that is stopped does not end them; their deadlines do.
        """
        self.is_retired = True
        log.info("link retired", peer=self.peer_id, streams=len(self.streams))
        if not self.streams:
            await self.close()

    def open_stream(self) -> Stream:
        """Open a new stream.

        Raises:
            GuavagapError: OVERLOADED when too many are open.
        """
        return self.add_stream(self.next_id())

    def add_stream(self, stream_id: int) -> Stream:
        """Add the local end of a stream with this identifier."""
        if len(self.streams) >= MAX_STREAMS:
            raise GuavagapError(ErrorKind.OVERLOADED, "too many streams on the link")
        if stream_id in self.streams:
            raise GuavagapError(ErrorKind.FRAME_INVALID, f"stream {stream_id} is open")
        stream = self.streams[stream_id] = Stream(self, stream_id)
        return stream

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream; later frames of it are ignored."""
        self.streams.pop(stream_id, None)

    async def run(self, handle) -> None:
        """Receive and dispatch messages until the link ends.

        Args:
            handle: coroutine function ``handle(link, message)`` for messages
                that neither are replies nor belong to a stream.
        """
        try:
            while True:
                message = await self._channel.receive()
                await self._dispatch(message, handle)
        finally:
            await self.close()

    async def _dispatch(self, message, handle) -> None:
        if isinstance(message, _STREAM_MESSAGES):
            stream = self.streams.get(message.stream_id)
            if stream is not None:
                await stream.deliver(message)
            return
        call_id = getattr(message, "call_id", None)
        if (
            call_id is not None
            and call_id in self._pending_calls
            and _is_reply(message)
        ):
            self._replies[call_id] = message
            await self._pending_calls[call_id].set()
            return
        if _is_reply(message):
            return
        if isinstance(message, OpenStream):
            await handle(self, message)
            return
        await run_step(self._handle_control_message, handle, message)

    async def _handle_control_message(self, handle, message) -> None:
        try:
            await handle(self, message)
        except GuavagapError as error:
            # What could not be replied to on a closed link needs no report.
            if error.kind is not ErrorKind.LINK_LOST:
                raise
            log.debug("message not answered", peer=self.peer_id, why=str(error))

    async def close(self) -> None:
        """Close the connection and end every stream and call."""
        if self.is_closed:
            return
        self.is_closed = True
        for stream in list(self.streams.values()):
            await stream.reset_on_link_loss()
        for event in list(self._pending_calls.values()):
            await event.set()
        # The shutdown wakes the receiving task, which owns and closes the socket.
        try:
            await self._channel.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def _is_reply(message) -> bool:
    return type(message).__name__.endswith("Reply")


def _derive_key(identity: LinkIdentity, purpose: bytes, parts: tuple) -> bytes:
    hasher = hashlib.blake2b(
        key=identity.mesh_key_bytes, digest_size=32, person=purpose
    )
    for part in parts:
        hasher.update(_LENGTH.pack(len(part)) + part)
    return hasher.digest()


async def _handshake(
    channel: _FrameChannel, identity: LinkIdentity, is_dialer: bool
) -> str:
    """Exchange hellos and proofs; return the peer's identifier."""
    local = Hello(identity.node_id, os.urandom(NONCE_BYTES), PROTOCOL_VERSION)
    await channel.send(local)
    peer = await channel.receive()
    if not isinstance(peer, Hello) or peer.protocol != PROTOCOL_VERSION:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, "no hello of this protocol version"
        )
    dialer, acceptor = (local, peer) if is_dialer else (peer, local)
    parts = (
        dialer.node_id.encode(),
        acceptor.node_id.encode(),
        dialer.nonce,
        acceptor.nonce,
    )
    dialer_key = _derive_key(identity, b"dialer", parts)
    acceptor_key = _derive_key(identity, b"acceptor", parts)
    keys = (dialer_key, acceptor_key) if is_dialer else (acceptor_key, dialer_key)
    channel.set_keys(*keys)
    await channel.send(Proof(b""))
    if not isinstance(await channel.receive(), Proof):
        raise GuavagapError(ErrorKind.AUTHENTICATION_FAILED, "no proof of the mesh key")
    return peer.node_id


@asynccontextmanager
async def _open_link(sock, identity: LinkIdentity, counts: TrafficCounts, is_dialer):
    channel = _FrameChannel(sock, counts)
    try:
        limit_s = DIAL_TIMEOUT_S if is_dialer else HANDSHAKE_TIMEOUT_S
        async with curio.timeout_after(limit_s):
            peer_id = await _handshake(channel, identity, is_dialer)
    except curio.TaskTimeout:
        await sock.close()
        raise PeerTimeoutError(
            ErrorKind.LINK_UNREACHABLE, "handshake timed out"
        ) from None
    except BaseException:
        await sock.close()
        raise
    link = Link(channel, peer_id)
    try:
        yield link
    finally:
        await link.close()
        await sock.close()


def accept_link(sock, identity: LinkIdentity, counts: TrafficCounts):
    """Yield the link of an accepted socket and close it on exit."""
    return _open_link(sock, identity, counts, is_dialer=False)


@asynccontextmanager
async def dial_link(address: Address, identity: LinkIdentity, counts: TrafficCounts):
    """Yield a link to another node and close it on exit.

    Raises:
        GuavagapError: LINK_UNREACHABLE when connecting fails or the handshake times
            out; LINK_LOST, FRAME_INVALID or AUTHENTICATION_FAILED when the handshake
            fails otherwise.
    """
    sock = await connect_tcp(address, DIAL_TIMEOUT_S, ErrorKind.LINK_UNREACHABLE)
    async with _open_link(sock, identity, counts, is_dialer=True) as link:
        yield link
