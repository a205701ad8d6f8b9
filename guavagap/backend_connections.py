"""Connection pool of a backend server and exchanges on its connections."""

from typing import Callable

import h11

from guavagap.addresses import Address
from guavagap.clock import steady_s
from guavagap.dialect import NATIVE_DIALECT, Dialect
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import ForwardedRequest, ResponseHead, Upstream
from guavagap.http1 import (
    END_OF_MESSAGE,
    Http1Connection,
    connect_http1,
    end_to_end_headers,
    header_list,
    header_value,
    read_response_head,
    validated_headers,
)
from guavagap.logs import get_logger
from guavagap.server_statements import ServerStatement

__all__ = ["BackendConnectionPool", "BackendUpstream", "CONNECT_TIMEOUT_S"]

log = get_logger()

CONNECT_TIMEOUT_S = 1.0
# A backend server that closes a connection so soon after a response has most likely
# ended; idle connections are usually kept for longer.
MIN_IDLE_S = 2.0
MAX_STALE_RESPONSES = 2
# A late response is dropped up to about twice the size of the largest responses.
MAX_STALE_RESPONSE_BYTES = 1_048_576
_CHUNKED = (b"transfer-encoding", b"chunked")


class BackendConnectionPool:
    """Connections of this node to one backend server.

    Each connection carries one request at a time. A connection whose response was
    not read completely is closed.

    Args:
        address: address of the backend server.

    Attributes:
        is_peer_gone: whether the backend server had closed all idle connections when
            one was needed last, shortly after it had used one of them.
    """

    def __init__(self, address: Address):
        self.address = address
        self.open_count = 0
        self.is_peer_gone = False
        self._kept_at_s = float("-inf")
        self._idle: list[Http1Connection] = []

    @property
    def idle_count(self) -> int:
        """Number of open connections that carry no request."""
        return len(self._idle)

    async def pop_idle(self) -> Http1Connection | None:
        """Return an idle connection that the backend server has not closed."""
        is_closed, self.is_peer_gone = False, False
        while self._idle:
            connection = self._idle.pop()
            if connection.is_silent():
                return connection
            is_closed = connection.is_closed_by_peer()
            await self.discard(connection)
        is_recent = steady_s() - self._kept_at_s < MIN_IDLE_S
        self.is_peer_gone = is_closed and is_recent
        return None

    async def connect(self) -> Http1Connection:
        """Open a connection.

        Raises:
            GuavagapError: CONNECT_FAILED.
        """
        self.open_count += 1
        try:
            return await connect_http1(self.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self.open_count -= 1
            raise

    def keep(self, connection: Http1Connection) -> None:
        """Add a connection that carries no request to the idle ones."""
        self._kept_at_s = steady_s()
        self._idle.append(connection)

    async def return_connection(
        self, connection: Http1Connection, may_reuse: bool
    ) -> None:
        """Make a connection idle after a complete exchange, or close it.

        Bytes received after the response belong to no request, so a connection
        that has any is not reused.
        """
        has_extra = bool(connection.h11.trailing_data[0])
        if may_reuse and not has_extra and connection.start_next_cycle():
            self.keep(connection)
            return
        await self.discard(connection)

    async def discard(self, connection: Http1Connection) -> None:
        """Close a connection."""
        self.open_count -= 1
        await connection.close()

    async def close_idle(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self.discard(self._idle.pop())


class BackendUpstream(Upstream):
    """One request on one connection to a backend server.

    Args:
        connection: acquired from ``pool`` for this exchange.
        pool: pool to which the connection is returned.
        may_reuse: returns whether the connection may be kept afterwards.
        server_id: the backend server to run the request on.
        dialect: headers of the backend server.
        on_statement: called with what the response says about the backend server.
    """

    def __init__(
        self,
        connection: Http1Connection,
        pool: BackendConnectionPool,
        may_reuse,
        server_id: str,
        dialect: Dialect = NATIVE_DIALECT,
        on_statement: Callable[[ServerStatement], None] | None = None,
    ):
        self._connection = connection
        self._pool = pool
        self._may_reuse = may_reuse
        self._server_id = server_id
        self._dialect = dialect
        self._on_statement = on_statement
        self._head: h11.Request | None = None
        self._sent_id: bytes | None = None
        self._sent_at_s = 0.0

    async def send_request(self, request: ForwardedRequest, chunks, is_complete):
        timeout_ms = int((request.deadline_s - steady_s()) * 1000)
        if timeout_ms <= 0:
            raise GuavagapError(
                ErrorKind.DEADLINE_BEFORE_RUN, "the deadline has passed"
            )
        headers = [*request.headers, (self._dialect.timeout, b"%d" % timeout_ms)]
        if self._dialect.expected_server:
            expected = (self._dialect.expected_server, self._server_id.encode())
            headers.append(expected)
        if request.has_body and request.content_length_bytes is None:
            headers.append(_CHUNKED)
        if self._dialect.is_id_echoed:
            self._sent_id = header_value(headers, self._dialect.request_id)
        self._head = h11.Request(
            method=request.method,
            target=request.target,
            headers=validated_headers(headers),
        )
        events = [self._head]
        events += [h11.Data(data=chunk) for chunk in chunks]
        if is_complete:
            events.append(END_OF_MESSAGE)
        await self._send(events)

    async def send_body(self, chunk):
        event = END_OF_MESSAGE if chunk is None else h11.Data(data=chunk)
        await self._send([event])

    async def _send(self, events) -> None:
        data = b"".join([self._encode(event) for event in events])
        self.is_written = True
        self._sent_at_s = steady_s()
        try:
            await self._connection.send_bytes(data)
        except OSError as error:
            log.info(
                "request not sent completely",
                request=(self._sent_id or b"").decode("latin-1"),
                server=self._server_id,
                why=repr(error),
                elapsed_ms=int((steady_s() - self._sent_at_s) * 1000),
                has_early_response=self.has_early_response(),
            )
            raise GuavagapError(
                ErrorKind.BACKEND_SERVER_LOST, f"sending failed: {error!r}"
            ) from None

    def _encode(self, event) -> bytes:
        try:
            return self._connection.h11.send(event)
        except h11.LocalProtocolError as error:
            # The caller's own connection has checked its body against its length.
            is_head = type(event) is h11.Request
            kind = ErrorKind.BAD_REQUEST if is_head else ErrorKind.INTERNAL
            raise GuavagapError(kind, str(error)) from None

    def has_early_response(self):
        return not self._connection.is_silent()

    async def read_response(self):
        event = await self._read_own_response()
        headers = header_list(event)
        if self._on_statement is not None:
            self._on_statement(self._dialect.read_statement(event.status_code, headers))
        if self._dialect.is_refusal(event.status_code, headers):
            raise GuavagapError(
                ErrorKind.REFUSED_BY_BACKEND_SERVER, f"status {event.status_code}"
            )
        is_chunked = header_value(headers, b"transfer-encoding") is not None
        chunks, is_complete = self._split_events(self._buffered_events())
        headers = end_to_end_headers(headers)
        return ResponseHead(
            event.status_code,
            headers,
            chunks,
            is_complete,
            is_chunked=is_chunked,
            run_s=steady_s() - self._sent_at_s,
        )

    async def _read_own_response(self) -> h11.Response:
        """Return the head of the response to the request that was sent."""
        for _ in range(MAX_STALE_RESPONSES):
            event = await self._read_response()
            if self._is_for_sent_request(event):
                return event
            await self._skip_stale_response()
        event = await self._read_response()
        if not self._is_for_sent_request(event):
            raise GuavagapError(
                ErrorKind.BACKEND_SERVER_PROTOCOL,
                "received responses to other requests",
            )
        return event

    async def _read_response(self) -> h11.Response:
        """Return the head of a final response."""
        event = await self._receive(read_response_head, self._connection)
        if event is None:
            raise self._connection_lost("connection closed before the response")
        return event

    def _is_for_sent_request(self, event: h11.Response) -> bool:
        """Return whether a response belongs to the request that was sent.

        A refusal may name no request. Any other response that names none is a late one,
        or bytes that only look like one.
        """
        if self._sent_id is None:
            return True
        headers = header_list(event)
        echoed = header_value(headers, self._dialect.request_id)
        if echoed is None:
            is_for_sent = self._dialect.is_refusal(event.status_code, headers)
        else:
            is_for_sent = echoed == self._sent_id
        if echoed != self._sent_id:
            log.info(
                "response names another request, or none",
                request=self._sent_id.decode("latin-1"),
                named=None if echoed is None else echoed.decode("latin-1"),
                server=self._server_id,
                sent_age_ms=int((steady_s() - self._sent_at_s) * 1000),
                outcome="taken" if is_for_sent else "dropped",
            )
        return is_for_sent

    async def _skip_stale_response(self) -> None:
        """Read and drop a late response to an earlier request."""
        if self._connection.h11.our_state is h11.SEND_BODY:
            raise GuavagapError(
                ErrorKind.BACKEND_SERVER_PROTOCOL,
                "a response to another request has interrupted the sending of the body",
            )
        event, size_bytes = await self._next_event(), 0
        while type(event) is h11.Data:
            size_bytes += len(event.data)
            if size_bytes > MAX_STALE_RESPONSE_BYTES:
                raise GuavagapError(
                    ErrorKind.BACKEND_SERVER_PROTOCOL,
                    "a response to another request exceeds "
                    f"{MAX_STALE_RESPONSE_BYTES} bytes",
                )
            event = await self._next_event()
        if type(event) is not h11.EndOfMessage:
            raise self._connection_lost(
                "connection closed within a response to another request"
            )
        self._connection.expect_response_again(self._head)

    async def read_chunks(self):
        event = await self._next_event()
        if type(event) is h11.EndOfMessage:
            return [], True
        if type(event) is not h11.Data:
            raise GuavagapError(
                ErrorKind.BODY_CUT_SHORT,
                "connection closed before the end of the response",
            )
        chunks, is_complete = self._split_events(self._buffered_events())
        return [bytes(event.data), *chunks], is_complete

    def _buffered_events(self) -> list:
        try:
            return self._connection.buffered_events()
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from None

    def _split_events(self, events: list) -> tuple[list[bytes], bool]:
        chunks = [bytes(event.data) for event in events if type(event) is h11.Data]
        is_complete = bool(events) and type(events[-1]) is h11.EndOfMessage
        return chunks, is_complete

    async def _next_event(self):
        return await self._receive(self._connection.next_event)

    async def _receive(self, function, *args):
        """Call a function that reads from the connection, and map its errors."""
        try:
            return await function(*args)
        except OSError as error:
            raise self._connection_lost(repr(error)) from None
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from None

    def _protocol_error(self, error: h11.RemoteProtocolError) -> GuavagapError:
        _, is_closed = self._connection.h11.trailing_data
        if is_closed:
            return self._connection_lost(str(error))
        return GuavagapError(ErrorKind.BACKEND_SERVER_PROTOCOL, str(error))

    def _connection_lost(self, detail: str) -> GuavagapError:
        is_response_started = self._connection.h11.their_state is h11.SEND_BODY
        kind = (
            ErrorKind.BODY_CUT_SHORT
            if is_response_started
            else ErrorKind.BACKEND_SERVER_LOST
        )
        return GuavagapError(kind, detail)

    async def finish(self):
        await self._pool.return_connection(self._connection, self._may_reuse())

    async def abort(self):
        await self._pool.discard(self._connection)
