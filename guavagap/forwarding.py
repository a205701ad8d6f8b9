"""Forwarded requests: exchanges over a stream of a link."""

from typing import Callable

import curio
import h11

from guavagap.clock import steady_s
from guavagap.directory import ServerHealth
from guavagap.errors import ErrorKind, GuavagapError, error_spec
from guavagap.exchange import Downstream, ForwardedRequest, ResponseHead, Upstream
from guavagap.http1 import check_status
from guavagap.stream_messages import (
    NO_WAIT_LIMIT,
    Condition,
    OpenStream,
    StreamAnswer,
    StreamReset,
)
from guavagap.streams import INITIAL_CREDIT_BYTES, MAX_CHUNK_BYTES, Stream

__all__ = ["StreamDownstream", "StreamUpstream", "request_from_open_stream"]


# A body no larger than about a compressed head is sent along with the head.
MAX_EAGER_BODY_BYTES = 512
# Several times the longest delay between regions. The slot is idle during the wait.
DEFERRED_BODY_TIMEOUT_S = 0.5
# The caller's response does not wait longer for a peer that does not read. The request
# then ends there at its deadline.
ABORT_TIMEOUT_S = 0.05


def _to_ms(duration_s: float) -> int:
    """Return whole milliseconds; a positive duration gives at least 1."""
    return max(1, int(duration_s * 1000)) if duration_s > 0 else 0


def _reset_error(reset: StreamReset) -> GuavagapError:
    """Return the error that a reset reports."""
    try:
        kind = ErrorKind(reset.kind)
    except ValueError:
        kind = ErrorKind.LINK_LOST
    if reset.is_not_run and not error_spec(kind).is_not_run:
        kind = ErrorKind.LINK_UNREACHABLE
    error = GuavagapError(kind, reset.detail)
    error.born_ms = reset.born_ms
    return error


def _check_peer_status(status: int) -> None:
    """Check a status that an owner node passes on; earlier versions did not.

    Raises:
        GuavagapError: BACKEND_SERVER_PROTOCOL.
    """
    try:
        check_status(status)
    except h11.RemoteProtocolError as error:
        raise GuavagapError(ErrorKind.BACKEND_SERVER_PROTOCOL, str(error)) from None


class StreamUpstream(Upstream):
    """One request sent over a link to the owner node of its backend server.

    Args:
        stream: a new stream, closed at the end of the exchange.
        server_id: the backend server to run the request on.
        health: updated with the condition that the owner node reports.
        is_cross_domain: whether the owner node is in another failure domain; traffic
            there is costly, so a body is sent only after the request has a slot. A
            body that has not been read completely always waits for the slot.
    """

    def __init__(
        self,
        stream: Stream,
        server_id: str,
        health: ServerHealth,
        is_cross_domain: bool,
    ):
        self._is_cross_domain = is_cross_domain
        self._stream = stream
        self._server_id = server_id
        self._health = health

    async def send_request(self, request: ForwardedRequest, chunks, is_complete):
        timeout_ms = max(0, int((request.deadline_s - steady_s()) * 1000))
        body = b"".join(chunks)
        # Parts that are read while they are sent cannot be sent again after a refusal.
        is_body_held = not is_complete or (
            self._is_cross_domain and len(body) > MAX_EAGER_BODY_BYTES
        )
        first_chunk = b"" if is_body_held else body[:MAX_CHUNK_BYTES]
        is_whole = is_complete and len(first_chunk) == len(body)
        length = request.content_length_bytes
        headers = list(request.headers)
        if request.has_body and length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        message = OpenStream(
            self._stream.stream_id,
            self._server_id,
            request.method,
            request.target,
            tuple(headers),
            timeout_ms,
            first_chunk,
            is_whole,
            request.is_idempotent,
            request.priority,
            NO_WAIT_LIMIT if request.max_wait_s is None else _to_ms(request.max_wait_s),
            _to_ms(request.target_latency_s),
            is_body_held,
            self._health.statements.limit_millihertz,
            request.customer_priority,
            request.may_exceed_pace,
        )
        if is_body_held:
            await self._send_after_credit(message, body, is_complete)
            return
        await self._stream.acquire_credit(len(first_chunk))
        self.is_written = True
        await self._stream.link.send(message)
        if not is_whole and len(body) > len(first_chunk):
            await self._stream.send_body(body[len(first_chunk) :], is_complete)

    async def _send_after_credit(self, opening: OpenStream, body: bytes, is_complete):
        """Send the head, and the body once the owner node grants credit for it.

        The request cannot run before its body is sent, so it counts as not run if
        the link is lost before that.
        """
        stream = self._stream
        stream.clear_send_credit()
        try:
            await stream.link.send(opening)
            await stream.wait_for_credit()
        except GuavagapError as error:
            raise GuavagapError(ErrorKind.LINK_UNREACHABLE, error.detail) from None
        if stream.reset is None:
            self.is_written = True
            await stream.send_body(body, is_complete)
        elif stream.reset.kind == ErrorKind.LINK_LOST.value:
            raise GuavagapError(ErrorKind.LINK_UNREACHABLE, stream.reset.detail)
        # Any other reset is raised by the next read_response().

    async def send_body(self, chunk):
        await self._stream.send_body(chunk or b"", chunk is None)

    def has_early_response(self):
        return self._stream.has_message()

    async def read_response(self):
        message = await self._stream.receive()
        if isinstance(message, StreamReset):
            self._health.update_condition(message.condition, steady_s())
            raise _reset_error(message)
        if not isinstance(message, StreamAnswer):
            raise GuavagapError(
                ErrorKind.FRAME_INVALID, "received body bytes before the response head"
            )
        _check_peer_status(message.status)
        await self._stream.acknowledge_body(len(message.body))
        return ResponseHead(
            message.status,
            list(message.headers),
            [message.body] if message.body else [],
            message.is_complete,
            message.condition,
            message.is_chunked,
            message.run_ms / 1000,
        )

    async def read_chunks(self):
        message = await self._stream.receive()
        if isinstance(message, StreamReset):
            raise GuavagapError(ErrorKind.BODY_CUT_SHORT, message.detail)
        await self._stream.acknowledge_body(len(message.body))
        return [message.body], message.is_complete

    async def finish(self):
        self._stream.close()

    async def abort(self):
        self._stream.close()
        try:
            async with curio.ignore_after(ABORT_TIMEOUT_S):
                await self._stream.send_reset(ErrorKind.CALLER_GONE, "cancelled", False)
        except GuavagapError:
            # The link is closed, and the stream with it.
            pass


class StreamDownstream(Downstream):
    """A forwarded request at the receiving node.

    Args:
        stream: the stream on which the request was received.
        opening: the first frame of the stream.
        read_condition: returns the condition of the backend server.
    """

    def __init__(
        self,
        stream: Stream,
        opening: OpenStream,
        read_condition: Callable[[], Condition],
    ):
        self._read_condition = read_condition
        self.is_body_ended = opening.is_complete
        self.chunks = [opening.body] if opening.body else []
        self.is_body_complete = opening.is_complete
        self._is_body_held = opening.is_body_held
        self._stream = stream
        if opening.is_body_held:
            stream.clear_receive_credit()

    async def fetch_deferred_body(self):
        if not self._is_body_held:
            return
        self._is_body_held = False
        await self._stream.grant_credit(INITIAL_CREDIT_BYTES)
        chunk = await curio.ignore_after(DEFERRED_BODY_TIMEOUT_S, self.read_body)
        if chunk is None:
            raise GuavagapError(
                ErrorKind.LINK_UNREACHABLE, "timed out waiting for the request body"
            )
        self.chunks = [chunk]
        self.is_body_complete = self.is_body_ended

    async def read_body(self):
        if self.is_body_ended:
            return None
        message = await self._stream.receive()
        if isinstance(message, StreamReset):
            raise GuavagapError(ErrorKind.CALLER_GONE, message.detail)
        await self._stream.acknowledge_body(len(message.body))
        self.is_body_ended = message.is_complete
        if message.body:
            return message.body
        return await self.read_body()

    async def send_response(self, response: ResponseHead):
        self.is_response_started = True
        body = b"".join(response.chunks)
        first_chunk = body[:MAX_CHUNK_BYTES]
        is_whole = response.is_complete and len(first_chunk) == len(body)
        await self._stream.acquire_credit(len(first_chunk))
        await self._stream.link.send(
            StreamAnswer(
                self._stream.stream_id,
                response.status,
                tuple(response.headers),
                first_chunk,
                is_whole,
                self._read_condition(),
                response.is_chunked,
                _to_ms(response.run_s),
            )
        )
        if len(body) > len(first_chunk):
            await self._stream.send_body(body[len(first_chunk) :], response.is_complete)

    async def send_chunks(self, chunks, is_complete):
        await self._stream.send_body(b"".join(chunks), is_complete)


def request_from_open_stream(
    opening: OpenStream, customer_header: bytes = b""
) -> ForwardedRequest:
    """Return the request described by the first frame of a stream.

    Args:
        opening: the first frame.
        customer_header: header in which the ingress node has put the customer's name;
            empty while there are no customers, when callers may have sent the header.
    """
    customer = b""
    headers = []
    content_length_bytes = None
    is_chunked = False
    for name, value in opening.headers:
        if name == b"transfer-encoding":
            is_chunked = True
            continue
        if name == b"content-length":
            content_length_bytes = int(value)
        if name == customer_header:
            customer = value
        headers.append((name, value))
    return ForwardedRequest(
        opening.method,
        opening.target,
        headers,
        content_length_bytes,
        is_chunked or bool(content_length_bytes),
        opening.is_idempotent,
        steady_s() + opening.timeout_ms / 1000,
        opening.priority,
        None if opening.max_wait_ms == NO_WAIT_LIMIT else opening.max_wait_ms / 1000,
        opening.target_latency_ms / 1000,
        customer,
        opening.customer_priority,
        opening.may_exceed_pace,
    )
