"""A caller's connection as the downstream of a request."""

import curio
import h11

from guavagap.client_budget import MIN_BYTES_PER_S
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import Downstream, ResponseHead
from guavagap.http1 import (
    END_OF_MESSAGE,
    Http1Connection,
    RequestHead,
    describe_protocol_error,
    validated_headers,
)
from guavagap.tasks import forget_frames

__all__ = ["CallerDownstream", "READ_AHEAD_BYTES"]

READ_AHEAD_BYTES = 65_536
MAX_RECORDED_BYTES = 65_536
# Chunks of a few bytes take so much longer to parse than to receive that the reader
# gives way to other tasks after this many.
MAX_CHUNKS_AT_ONCE = 256
# Pieces below this size are joined, since an object takes about 50 bytes more.
MIN_PIECE_BYTES = 4096


class CallerDownstream(Downstream):
    """One request on a caller's connection.

    Args:
        connection: the caller's connection, after the request head was read.
        head: the request head.
        max_body_bytes: maximum size of the body.
        read_timeout_s: timeout of each read of body bytes, and of the whole body beyond
            the time that it takes at the minimum pace.
        extra_headers: added to each response.

    Attributes:
        is_recording: whether to keep the response for its idempotency key.
        recorded: the response so far, while ``is_recording``.
    """

    def __init__(
        self,
        connection: Http1Connection,
        head: RequestHead,
        max_body_bytes: int,
        read_timeout_s: float,
        extra_headers: list[tuple[bytes, bytes]],
    ):
        self.chunks = []
        self.is_body_complete = False
        self._connection = connection
        self._head = head
        self._max_body_bytes = max_body_bytes
        self._read_timeout_s = read_timeout_s
        self._extra_headers = extra_headers
        self._body_bytes = 0
        self._body_started_s = 0.0
        self._read_ahead_deadline_s: float | None = None
        self.account = connection.account
        self.is_recording = False
        self.recorded: ResponseHead | None = None
        self._recorded_bytes = 0

    @property
    def is_caller_late(self) -> bool:
        return self.account is not None and self.account.is_wait_cut

    async def read_ahead(self, deadline_s: float) -> None:
        """Read the body until its end or until ``READ_AHEAD_BYTES`` are buffered.

        The buffered bytes can be sent again in another attempt, and a slow caller
        does not occupy a slot of a backend server while they are read.

        Args:
            deadline_s: monotonic time after which a response is useless.

        Raises:
            GuavagapError: DEADLINE_BEFORE_RUN, OVERLOADED; see also :meth:`read_body`.
        """
        if not self._head.has_body:
            self._expect_end_of_message()
            return
        self._check_size(self._head.content_length_bytes or 0)
        if self._connection.h11.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        self._body_started_s = steady_s()
        self._read_ahead_deadline_s = deadline_s
        if self.account is not None:
            self.account.is_reading_body = True
        while self._body_bytes < READ_AHEAD_BYTES and not self.is_body_ended:
            chunk = await self.read_body()
            if chunk is not None:
                await self._keep(chunk)
        self._read_ahead_deadline_s = None
        self.is_body_complete = self.is_body_ended
        self._connection.charge_buffered()

    async def _keep(self, chunk: bytes) -> None:
        """Keep body bytes for the attempts, each of which joins them."""
        if self.chunks and len(self.chunks[-1]) < MIN_PIECE_BYTES:
            self.chunks[-1] += chunk
        else:
            self.chunks.append(chunk)
        if self.account is not None:
            await self.account.hold(2 * len(chunk))

    def _expect_end_of_message(self) -> None:
        event = self._connection.h11.next_event()
        if type(event) is not h11.EndOfMessage:
            raise GuavagapError(
                ErrorKind.BAD_REQUEST, "request body without a declared length"
            )
        self.is_body_complete = self.is_body_ended = True

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_body_bytes:
            raise GuavagapError(
                ErrorKind.BODY_TOO_LARGE,
                f"request body exceeds {self._max_body_bytes} bytes",
            )

    async def read_body(self):
        if self.is_body_ended:
            return None
        event = await self._next_event()
        if type(event) is h11.EndOfMessage:
            self.is_body_ended = True
            return None
        if type(event) is not h11.Data:
            raise GuavagapError(
                ErrorKind.CALLER_GONE, "connection closed before the end of the request"
            )
        data = bytes(event.data)
        if self._head.content_length_bytes is None:
            data = await self._join_chunks(data)
        self._body_bytes += len(data)
        self._check_size(self._body_bytes)
        self._check_body_end()
        if self.account is not None and self._read_ahead_deadline_s is None:
            self._connection.charge_buffered()
            await self.account.set_transit(len(data))
        return data

    async def _join_chunks(self, data: bytes) -> bytes:
        """Return a chunk and those that have been received after it."""
        parts, size_bytes = [data], len(data)
        for _ in range(MAX_CHUNKS_AT_ONCE):
            if size_bytes >= READ_AHEAD_BYTES:
                return b"".join(parts)
            event = self._next_buffered_event()
            if type(event) is not h11.Data:
                self.is_body_ended = type(event) is h11.EndOfMessage
                return b"".join(parts)
            parts.append(bytes(event.data))
            size_bytes += len(event.data)
        await curio.sleep(0)
        return b"".join(parts)

    def _next_buffered_event(self):
        try:
            return self._connection.h11.next_event()
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from None

    def _check_body_end(self) -> None:
        """Consume the end of the body if it needs no further reading.

        A backend server that knows the length responds once it has the last byte;
        that is not an early response.
        """
        if self._head.content_length_bytes == self._body_bytes:
            event = self._connection.h11.next_event()
            self.is_body_ended = type(event) is h11.EndOfMessage

    async def _next_event(self):
        try:
            return await curio.timeout_after(
                max(0.0, self._time_left_s()), self._connection.next_event
            )
        except curio.TaskTimeout as error:
            forget_frames(error)
            raise self._timed_out() from None
        except OSError as error:
            raise GuavagapError(ErrorKind.CALLER_GONE, repr(error)) from None
        except h11.RemoteProtocolError as error:
            raise self._protocol_error(error) from None
        except GuavagapError as error:
            if not self.is_body_consumed:
                raise
            # Parts of the request have been sent, so it may run.
            raise GuavagapError(ErrorKind.CALLER_TIMEOUT, error.detail) from None

    def _time_left_s(self) -> float:
        """Return the time left for the next bytes of the body."""
        now_s = steady_s()
        pace_end_s = (
            self._body_started_s
            + self._read_timeout_s
            + self._body_bytes / MIN_BYTES_PER_S
        )
        left_s = min(self._read_timeout_s, pace_end_s - now_s)
        if self._read_ahead_deadline_s is None:
            return left_s
        return min(left_s, self._read_ahead_deadline_s - now_s)

    def _timed_out(self) -> GuavagapError:
        deadline_s = self._read_ahead_deadline_s
        if deadline_s is not None and steady_s() >= deadline_s:
            return GuavagapError(
                ErrorKind.DEADLINE_BEFORE_RUN,
                "the request body was not received before the deadline",
            )
        return GuavagapError(
            ErrorKind.CALLER_TIMEOUT, "timed out reading the request body"
        )

    def _protocol_error(self, error: h11.RemoteProtocolError) -> GuavagapError:
        _, is_closed = self._connection.h11.trailing_data
        kind = ErrorKind.CALLER_GONE if is_closed else ErrorKind.BAD_REQUEST
        return GuavagapError(kind, describe_protocol_error(error))

    async def send_response(self, response: ResponseHead):
        extra_headers = self._extra_headers
        names = {name for name, _ in extra_headers}
        if not self.is_body_ended:
            # The rest of the request is never read, so the connection cannot be reused.
            extra_headers = [*extra_headers, (b"connection", b"close")]
        passed_headers = [
            header for header in response.headers if header[0] not in names
        ]
        headers = validated_headers(passed_headers + extra_headers)
        events = [h11.Response(status_code=response.status, headers=headers)]
        events += self._body_events(response.chunks, response.is_complete)
        self.is_response_started = True
        self._set_reset_on_close(not response.is_complete)
        if self.is_recording:
            self.recorded = response._replace(chunks=[], is_complete=False)
            self._record(response.chunks, response.is_complete)
        await self._send(events)

    def _record(self, chunks: list[bytes], is_complete: bool) -> None:
        """Record body bytes; drop the record if it exceeds ``MAX_RECORDED_BYTES``."""
        if self.recorded is None:
            return
        self._recorded_bytes += sum(map(len, chunks))
        if self._recorded_bytes > MAX_RECORDED_BYTES:
            self.recorded = None
            return
        self.recorded.chunks.extend(chunks)
        self.recorded = self.recorded._replace(is_complete=is_complete)

    async def send_chunks(self, chunks, is_complete):
        if self.is_recording:
            self._record(chunks, is_complete)
        await self._send(self._body_events(chunks, is_complete))
        if is_complete:
            self._set_reset_on_close(False)

    def _set_reset_on_close(self, is_enabled: bool) -> None:
        """Let a response that breaks off not look complete to a caller of HTTP/1.0.

        Other callers get it in chunks, which have an end of their own.
        """
        if self._connection.h11.their_http_version != b"1.0":
            return
        try:
            self._connection.set_reset_on_close(is_enabled)
        except OSError as error:
            raise GuavagapError(ErrorKind.CALLER_GONE, repr(error)) from None

    def _body_events(self, chunks: list[bytes], is_complete: bool) -> list:
        events: list = [h11.Data(data=chunk) for chunk in chunks]
        if is_complete:
            events.append(END_OF_MESSAGE)
        return events

    async def _send(self, events: list) -> None:
        try:
            await self._connection.send(*events)
        except OSError as error:
            raise GuavagapError(ErrorKind.CALLER_GONE, repr(error)) from None
        except h11.LocalProtocolError as error:
            raise GuavagapError(
                ErrorKind.BACKEND_SERVER_PROTOCOL, f"response cannot be sent: {error}"
            ) from None
