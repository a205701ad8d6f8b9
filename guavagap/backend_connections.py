"""Connections to a backend server and one exchange on such a connection."""

import time

import h11

from guavagap.addresses import Address
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import AnswerHead, ForwardedRequest, Upstream
from guavagap.http1 import (
    Http1Connection,
    connect_http1,
    end_to_end_headers,
    validated_headers,
)

__all__ = ["BackendConnectionPool", "BackendExchange", "CONNECT_TIMEOUT_S"]

CONNECT_TIMEOUT_S = 1.0
TIMEOUT_HEADER = b"guavagap-timeout-ms"
_CHUNKED = (b"transfer-encoding", b"chunked")


class BackendConnectionPool:
    """Connections that this node holds to one backend server.

    One request is in flight on a connection at a time. A connection whose
    answer was not read to its end is closed.

    Args:
        address: the backend server.
    """

    def __init__(self, address: Address):
        self.address = address
        self.open_count = 0
        self._idle: list[Http1Connection] = []

    @property
    def idle_count(self) -> int:
        """How many open connections carry no request."""
        return len(self._idle)

    async def take_idle(self) -> Http1Connection | None:
        """Return an idle connection that the backend server has not closed."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_silent():
                return connection
            await self.discard(connection)
        return None

    async def connect(self) -> Http1Connection:
        """Open a connection; raises CONNECT_FAILED."""
        self.open_count += 1
        try:
            return await connect_http1(self.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self.open_count -= 1
            raise

    async def give_back(self, connection: Http1Connection, is_wanted: bool) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        if is_wanted and connection.start_next_cycle():
            self._idle.append(connection)
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


class BackendExchange(Upstream):
    """One request on one connection to a backend server.

    Args:
        connection: taken from ``pool`` for this exchange.
        pool: gets the connection back.
        is_wanted: returns whether the connection may be kept afterwards.
    """

    def __init__(
        self, connection: Http1Connection, pool: BackendConnectionPool, is_wanted
    ):
        self._connection = connection
        self._pool = pool
        self._is_wanted = is_wanted

    async def send_request(self, request: ForwardedRequest, chunks, is_complete):
        timeout_ms = max(0, int((request.deadline_s - time.monotonic()) * 1000))
        headers = [*request.headers, (TIMEOUT_HEADER, b"%d" % timeout_ms)]
        if request.has_body and request.content_length_bytes is None:
            headers.append(_CHUNKED)
        events = [
            h11.Request(
                method=request.method,
                target=request.target,
                headers=validated_headers(headers),
            )
        ]
        events += [h11.Data(data=chunk) for chunk in chunks]
        if is_complete:
            events.append(h11.EndOfMessage())
        await self._send(events)

    async def send_body(self, chunk):
        event = h11.EndOfMessage() if chunk is None else h11.Data(data=chunk)
        await self._send([event])

    async def _send(self, events) -> None:
        try:
            data = b"".join([self._connection.h11.send(event) for event in events])
        except h11.LocalProtocolError as error:
            raise GuavagapError(ErrorKind.BAD_REQUEST, str(error)) from None
        self.is_written = True
        try:
            await self._connection.sock.sendall(data)
        except OSError as error:
            raise GuavagapError(
                ErrorKind.BACKEND_SERVER_LOST, f"while sending: {error!r}"
            ) from None

    def has_early_answer(self):
        return not self._connection.is_silent()

    async def read_answer(self):
        event = await self._next_event()
        while type(event) is h11.InformationalResponse:
            event = await self._next_event()
        if type(event) is not h11.Response:
            raise self._lost("closed without an answer")
        chunks, is_complete = self._split(self._buffered_events())
        headers = end_to_end_headers(list(event.headers))
        return AnswerHead(event.status_code, headers, chunks, is_complete)

    async def read_chunks(self):
        event = await self._next_event()
        if type(event) is h11.EndOfMessage:
            return [], True
        if type(event) is not h11.Data:
            raise GuavagapError(ErrorKind.BODY_CUT_SHORT, "closed in mid answer")
        chunks, is_complete = self._split(self._buffered_events())
        return [bytes(event.data), *chunks], is_complete

    def _buffered_events(self) -> list:
        try:
            return self._connection.buffered_events()
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from None

    def _split(self, events: list) -> tuple[list[bytes], bool]:
        chunks = [bytes(event.data) for event in events if type(event) is h11.Data]
        is_complete = bool(events) and type(events[-1]) is h11.EndOfMessage
        return chunks, is_complete

    async def _next_event(self):
        try:
            return await self._connection.next_event()
        except OSError as error:
            raise self._lost(repr(error)) from None
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from None

    def _protocol_error(self, error: h11.RemoteProtocolError) -> GuavagapError:
        _, is_closed = self._connection.h11.trailing_data
        if is_closed:
            return self._lost(str(error))
        return GuavagapError(ErrorKind.BACKEND_SERVER_PROTOCOL, str(error))

    def _lost(self, detail: str) -> GuavagapError:
        is_answer_started = self._connection.h11.their_state is h11.SEND_BODY
        kind = (
            ErrorKind.BODY_CUT_SHORT
            if is_answer_started
            else ErrorKind.BACKEND_SERVER_LOST
        )
        return GuavagapError(kind, detail)

    async def finish(self):
        await self._pool.give_back(self._connection, self._is_wanted())

    async def abort(self):
        await self._pool.discard(self._connection)
