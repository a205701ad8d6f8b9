"""HTTP/1.1 connections: ``h11`` on ``curio`` sockets."""

import re
import socket as stdlib_socket
import struct
from typing import NamedTuple

import curio
import h11
from h11._headers import Headers as ParsedHeaders

from guavagap.addresses import Address
from guavagap.client_budget import HEAVY_HEAD_BYTES, ClientAccount
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.tcp import connect_tcp

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "Http1Connection",
    "MAX_HEADER_BYTES",
    "END_OF_MESSAGE",
    "RECEIVE_BYTES",
    "RequestHead",
    "check_status",
    "connect_http1",
    "describe_error",
    "describe_protocol_error",
    "end_to_end_headers",
    "header_list",
    "header_value",
    "read_request_head",
    "read_response_head",
    "validated_headers",
]

RECEIVE_BYTES = 65_536
# What is received beyond a head stays in the parser's buffer while its request runs.
HEAD_RECEIVE_BYTES = 16_384
# Events are immutable, and most messages end with this one.
END_OF_MESSAGE = h11.EndOfMessage()
MAX_HEADER_BYTES = 32_768
# A peer that sends faster than its bytes are read never blocks the reader, so the
# reader gives way to other tasks and to its own timeout after this many bytes.
YIELD_AFTER_BYTES = 262_144

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# A server sends at most a few interim responses before the response.
MAX_INTERIM_RESPONSES = 8
FINAL_STATUSES = range(200, 600)
_HEAD_END = re.compile(rb"\n\r?\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")
# h11 appends the line that it refused.
_REFUSED_LINE = re.compile(r":? ?(bytearray\()?b['\"].*", re.DOTALL)

Headers = list[tuple[bytes, bytes]]


class RequestHead(NamedTuple):
    """The head of a request; header names are in lower case.

    Attributes:
        content_length_bytes: value of the Content-Length header, or None without one.
        has_body: whether the head announces a body.
    """

    method: bytes
    target: bytes
    http_version: bytes
    headers: Headers
    content_length_bytes: int | None
    has_body: bool


class Http1Connection:
    """One end of an HTTP/1.1 connection.

    Attributes:
        sock: the ``curio`` socket.
        h11: the protocol state machine of this end.
        is_head_folded: whether the latest request head used obsolete line folding.
        is_head_request: whether the method of the latest request is HEAD, to which no
            response has a body.
        account: what the connection holds, if its client is not trusted.
        is_broken: whether sending or a check has met an error of the connection. The
            socket reports an error only once; the reader would then see a proper end.
    """

    __slots__ = (
        "sock",
        "h11",
        "is_head_folded",
        "is_head_request",
        "account",
        "is_broken",
        "_is_server",
        "_unyielded_bytes",
    )

    def __init__(self, sock, role):
        self.sock = sock
        self.h11 = h11.Connection(role, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.is_head_folded = False
        self.is_head_request = False
        self.account: ClientAccount | None = None
        self.is_broken = False
        self._is_server = role is h11.SERVER
        self._unyielded_bytes = 0

    async def next_event(self):
        """Return the next event from the peer, reading as needed.

        Raises:
            h11.RemoteProtocolError: the peer violated the protocol or closed the
                connection in the middle of a message.
            GuavagapError: OVERLOADED when there is no room for the client's bytes.
        """
        protocol, account = self.h11, self.account
        while True:
            if account is not None and self._has_heavy_head():
                event = await account.parse_in_turn(protocol, self._buffered_bytes)
            else:
                event = protocol.next_event()
            if event is not h11.NEED_DATA:
                if type(event) is h11.Request:
                    self.is_head_request = event.method == b"HEAD"
                    if account is not None:
                        await account.start_request(event, self._buffered_bytes)
                return event
            data = await self._receive()
            is_head = self._is_server and protocol.their_state is h11.IDLE
            protocol.receive_data(data)
            # It would be kept while waiting for more.
            del data
            if is_head:
                self._detect_line_folding()

    async def _receive(self) -> bytes:
        """Receive bytes, giving way to other tasks after ``YIELD_AFTER_BYTES``.

        Raises:
            ConnectionResetError: the connection has ended after an error.
        """
        if self._unyielded_bytes >= YIELD_AFTER_BYTES:
            self._unyielded_bytes = 0
            await curio.sleep(0)
        if self.account is None:
            data = await self.sock.recv(RECEIVE_BYTES)
        else:
            is_body = self.account.is_reading_body
            size_bytes = RECEIVE_BYTES if is_body else HEAD_RECEIVE_BYTES
            data = await self.account.receive(
                self.sock, size_bytes, self._buffered_bytes
            )
        if not data and self.is_broken:
            raise ConnectionResetError("the connection ended after an error")
        self._unyielded_bytes += len(data)
        return data

    @property
    def _buffered_bytes(self) -> int:
        """Number of received bytes that were not parsed yet.

        The public ``trailing_data`` copies them.
        """
        return len(self.h11._receive_buffer)

    def charge_buffered(self) -> None:
        """Charge what was received and is not parsed yet, while others are awaited."""
        if self.account is not None:
            self.account.set_buffered(self._buffered_bytes)

    def _has_heavy_head(self) -> bool:
        return (
            self._buffered_bytes > HEAVY_HEAD_BYTES and self.h11.their_state is h11.IDLE
        )

    async def yield_if_buffered(self) -> None:
        """Give way to other tasks if the next request has been received already.

        A client that sends requests ahead never makes its reader wait.
        """
        if self._buffered_bytes:
            await curio.sleep(0)

    def buffered_events(self) -> list:
        """Return the events that are available without reading, oldest first."""
        events = []
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return events
            events.append(event)
            if type(event) is not h11.Data:
                return events

    def _detect_line_folding(self) -> None:
        buffered, _ = self.h11.trailing_data
        self.is_head_folded = False
        if b"\n " not in buffered and b"\n\t" not in buffered:
            return
        end = _HEAD_END.search(buffered)
        head = buffered if end is None else buffered[: end.start() + 1]
        self.is_head_folded = _FOLDED_LINE.search(head) is not None

    async def send(self, *events) -> None:
        """Write events with one system call."""
        encode = self.h11.send
        data = b"".join([encode(event) or b"" for event in events])
        if not data:
            return
        if self.account is None:
            await self.send_bytes(data)
        else:
            await self.account.send(self.sock, data)

    async def send_bytes(self, data: bytes) -> None:
        """Send encoded bytes."""
        try:
            await self.sock.sendall(data)
        except OSError:
            self.is_broken = True
            raise

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return False when that is not possible."""
        protocol = self.h11
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        self.is_head_request = False
        if self._is_server:
            self._detect_line_folding()
        return True

    def expect_response_again(self, request: h11.Request) -> None:
        """Reset the protocol state to await the response to a request already sent.

        The response read last belonged to an earlier request; bytes that follow it
        are kept.
        """
        data, is_closed = self.h11.trailing_data
        self.h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.h11.send(h11.Request(**_without_body(request)))
        self.h11.send(END_OF_MESSAGE)
        if data:
            self.h11.receive_data(data)
        if is_closed:
            self.h11.receive_data(b"")

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed the connection, without waiting."""
        flags = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT
        try:
            return self.sock._socket.recv(1, flags) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.is_broken = True
            return True

    def is_silent(self) -> bool:
        """Return whether the connection is open and has no unread data."""
        flags = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT
        try:
            self.sock._socket.recv(1, flags)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            self.is_broken = True
            return False
        return False

    def set_reset_on_close(self, is_enabled: bool) -> None:
        """Choose whether closing, or the end of the process, resets the connection."""
        option = struct.pack("ii", int(is_enabled), 0)
        self.sock._socket.setsockopt(
            stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, option
        )

    async def close(self) -> None:
        """Close the socket and ignore errors."""
        try:
            await self.sock.close()
        except OSError:
            pass


def _without_body(request: h11.Request) -> dict:
    """Return the fields of a request without the headers that announce a body."""
    dropped = (b"content-length", b"transfer-encoding")
    headers = [item for item in request.headers if item[0] not in dropped]
    return {"method": request.method, "target": request.target, "headers": headers}


async def connect_http1(address: Address, timeout_s: float) -> Http1Connection:
    """Open a client connection.

    Raises:
        GuavagapError: CONNECT_FAILED; no byte of a request was written.
    """
    sock = await connect_tcp(address, timeout_s, ErrorKind.CONNECT_FAILED)
    return Http1Connection(sock, h11.CLIENT)


def validated_headers(headers: Headers) -> ParsedHeaders:
    """Return headers in the form that h11 accepts without validating them again.

    Args:
        headers: lower-case names and values that a parser has accepted.
    """
    return ParsedHeaders([(name, name, value) for name, value in headers])


def header_list(event: h11.Request | h11.Response) -> Headers:
    """Return the headers of a parsed head, names in lower case.

    Iterating over the event's headers takes several times as long.
    """
    return [(name.lower(), value) for name, value in event.headers.raw_items()]


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header given by its lower-case name."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers."""
    dropped = HOP_BY_HOP_HEADERS
    connection = header_value(headers, b"connection")
    if connection is not None:
        named = connection.lower().replace(b" ", b"").split(b",")
        dropped = dropped.union(named)
    return [header for header in headers if header[0] not in dropped]


def describe_protocol_error(error: h11.ProtocolError) -> str:
    """Return the text of an error without the received bytes, such as an API key."""
    return _REFUSED_LINE.sub("", str(error))


def describe_error(error: Exception) -> str:
    """Return type and text of a connection's error, without the received bytes."""
    if isinstance(error, h11.ProtocolError):
        return f"{type(error).__name__}: {describe_protocol_error(error)}"
    return repr(error)


async def read_request_head(connection: Http1Connection) -> RequestHead | None:
    """Read the head of the next request.

    Returns:
        The head, or None when the peer closed the connection between requests.

    Raises:
        GuavagapError: BAD_REQUEST for a malformed or ambiguous head,
            HEADERS_TOO_LARGE for one above ``MAX_HEADER_BYTES``, UNSUPPORTED for
            CONNECT.
    """
    try:
        event = await connection.next_event()
    except h11.RemoteProtocolError as error:
        if error.error_status_hint == 431:
            raise GuavagapError(
                ErrorKind.HEADERS_TOO_LARGE,
                f"the request head exceeds {MAX_HEADER_BYTES} bytes",
            ) from None
        detail = describe_protocol_error(error)
        raise GuavagapError(ErrorKind.BAD_REQUEST, detail) from None
    if type(event) is not h11.Request:
        return None
    return _validate_head(connection, event)


async def read_response_head(connection: Http1Connection) -> h11.Response | None:
    """Read the head of a final response, after up to ``MAX_INTERIM_RESPONSES``.

    Returns:
        The head, or None when the peer closed the connection before it.

    Raises:
        h11.RemoteProtocolError: what was received is no final HTTP/1.x response.
    """
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        event = await connection.next_event()
        if type(event) is h11.Response:
            check_status(event.status_code)
            if not event.http_version.startswith(b"1."):
                version = event.http_version.decode("latin-1")
                raise h11.RemoteProtocolError(f"response of HTTP/{version}")
            return event
        if type(event) is not h11.InformationalResponse:
            return None
    raise h11.RemoteProtocolError(
        f"received more than {MAX_INTERIM_RESPONSES} interim responses"
    )


def check_status(status: int) -> None:
    """Check that a status is that of a final response.

    Raises:
        h11.RemoteProtocolError: it is not 200 to 599.
    """
    if status not in FINAL_STATUSES:
        raise h11.RemoteProtocolError(f"status {status} is not that of a response")


def _validate_head(connection: Http1Connection, event: h11.Request) -> RequestHead:
    if connection.is_head_folded:
        raise GuavagapError(
            ErrorKind.BAD_REQUEST, "obsolete line folding in the request head"
        )
    if event.method == b"CONNECT":
        raise GuavagapError(ErrorKind.UNSUPPORTED, "CONNECT is not supported")
    headers = header_list(event)
    length = header_value(headers, b"content-length")
    is_chunked = header_value(headers, b"transfer-encoding") is not None
    if length is not None and is_chunked:
        raise GuavagapError(
            ErrorKind.BAD_REQUEST, "both Content-Length and Transfer-Encoding headers"
        )
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) > 1:
        raise GuavagapError(ErrorKind.BAD_REQUEST, "more than one Host header")
    length_bytes = None if length is None else int(length)
    return RequestHead(
        event.method,
        event.target,
        event.http_version,
        headers,
        length_bytes,
        is_chunked or bool(length_bytes),
    )
