"""Interfaces of both ends of an HTTP exchange, and the relay between them.

A :class:`Downstream` is the source of a request (a caller's connection or a stream
of a link); an :class:`Upstream` is its destination (a backend server's connection
or a stream). :func:`relay_exchange` passes one request and its response between
them with end-to-end back-pressure.
"""

from abc import ABC, abstractmethod
from contextlib import asynccontextmanager
from typing import Awaitable, Callable, NamedTuple

import curio

from guavagap.client_budget import ClientAccount
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.stream_messages import Condition
from guavagap.tasks import forget_frames

__all__ = [
    "ResponseHead",
    "Attempt",
    "Downstream",
    "ForwardedRequest",
    "Upstream",
    "enforce_deadline",
    "relay_exchange",
]

# Responses up to this size are buffered completely before they are passed on, so
# that a truncated one can still be replaced by another attempt.
MAX_BUFFERED_RESPONSE_BYTES = 65_536

Headers = list[tuple[bytes, bytes]]


class ForwardedRequest(NamedTuple):
    """A request as it is sent upstream.

    Attributes:
        headers: end-to-end headers.
        content_length_bytes: the declared length, or None for a chunked body.
        has_body: False when the request has no body.
        deadline_s: monotonic time after which a response is useless.
        priority: order among requests that wait for a slot; 0 is the most urgent.
        max_wait_s: maximum wait for a slot; None to wait until the deadline.
        target_latency_s: time within which a response is worth most; 0 for none.
        customer: name of the customer; empty for an anonymous request.
        customer_priority: goes before the priority; 0 is the most urgent.
        may_exceed_pace: whether no other backend server seems to have room for it; see
            :func:`guavagap.scheduling.pace.may_exceed_pace`.
    """

    method: bytes
    target: bytes
    headers: Headers
    content_length_bytes: int | None
    has_body: bool
    is_idempotent: bool
    deadline_s: float
    priority: int = 1
    max_wait_s: float | None = None
    target_latency_s: float = 0.0
    customer: bytes = b""
    customer_priority: int = 0
    may_exceed_pace: bool = False


class ResponseHead(NamedTuple):
    """The head of a response and the part of its body that has been received.

    Attributes:
        is_complete: True when ``chunks`` is the whole body.
        condition: condition of the backend server reported by its owner node; None
            when the response did not pass through that node.
        is_chunked: whether the body is sent in chunks, as unbounded bodies are.
        run_s: time from the request's last bytes to the response at the backend
            server, excluding the wait for a slot.
    """

    status: int
    headers: Headers
    chunks: list[bytes]
    is_complete: bool
    condition: Condition | None = None
    is_chunked: bool = False
    run_s: float = 0.0


class Attempt:
    """One attempt to run a request on one backend server.

    Attributes:
        upstream: set when the request is about to be sent.
    """

    def __init__(self):
        self.upstream: Upstream | None = None

    @property
    def is_written(self) -> bool:
        """Whether any byte may have reached a backend server."""
        return self.upstream is not None and self.upstream.is_written


class Downstream(ABC):
    """Source of a request and destination of its response.

    Attributes:
        chunks: body bytes read ahead and kept for another attempt.
        is_body_complete: whether ``chunks`` is the whole body.
        is_body_consumed: whether body beyond ``chunks`` has been read.
        is_body_ended: whether the end of the body has been received.
        is_response_started: whether any part of a response has been sent.
        account: charged with the parts of the response that were not passed on yet;
            None if the request comes from another node.
    """

    account: ClientAccount | None = None
    chunks: list[bytes]
    is_body_complete: bool
    is_body_consumed: bool = False
    is_body_ended: bool = False
    is_response_started: bool = False

    @property
    def is_caller_late(self) -> bool:
        """Whether a deadline has passed while the caller was to send or to read."""
        return False

    async def fetch_deferred_body(self) -> None:
        """Request the body if its sender defers it until the request has a slot.

        Raises:
            GuavagapError: LINK_UNREACHABLE when none of it is received.
        """

    @abstractmethod
    async def read_body(self) -> bytes | None:
        """Return the next body bytes, None at the end.

        Raises:
            GuavagapError: CALLER_GONE, BODY_TOO_LARGE, CALLER_TIMEOUT.
        """

    @abstractmethod
    async def send_response(self, response: ResponseHead) -> None:
        """Send the head and the body bytes received so far."""

    @abstractmethod
    async def send_chunks(self, chunks: list[bytes], is_complete: bool) -> None:
        """Send further body bytes."""


class Upstream(ABC):
    """Destination of a request, used for a single exchange.

    Attributes:
        is_written: whether any byte may have reached a backend server.
    """

    is_written: bool = False

    @abstractmethod
    async def send_request(
        self, request: ForwardedRequest, chunks: list[bytes], is_complete: bool
    ) -> None:
        """Send the head and the body bytes received so far."""

    @abstractmethod
    async def send_body(self, chunk: bytes | None) -> None:
        """Send further body bytes; None ends the body."""

    @abstractmethod
    def has_early_response(self) -> bool:
        """Return whether anything was received before the whole body was sent."""

    @abstractmethod
    async def read_response(self) -> ResponseHead:
        """Return the head of the response."""

    @abstractmethod
    async def read_chunks(self) -> tuple[list[bytes], bool]:
        """Return further body bytes and whether they are the last."""

    @abstractmethod
    async def finish(self) -> None:
        """End an exchange whose response has been read completely."""

    @abstractmethod
    async def abort(self) -> None:
        """End an exchange that was not completed."""


@asynccontextmanager
async def enforce_deadline(deadline_s: float, attempt: Attempt):
    """Raise at the deadline; the kind depends on whether the request was written.

    Raises:
        GuavagapError: DEADLINE_BEFORE_RUN or DEADLINE_AFTER_SEND.
    """
    try:
        async with curio.timeout_after(max(0.0, deadline_s - steady_s())):
            yield
    except curio.TaskTimeout as error:
        forget_frames(error)
        if attempt.is_written:
            kind, detail = (
                ErrorKind.DEADLINE_AFTER_SEND,
                "no response before the deadline",
            )
        else:
            kind, detail = (
                ErrorKind.DEADLINE_BEFORE_RUN,
                "not sent to a backend server before the deadline",
            )
        raise GuavagapError(kind, detail) from None


async def relay_exchange(
    request: ForwardedRequest,
    downstream: Downstream,
    upstream: Upstream,
    check_response: Callable[[ResponseHead], None] | None = None,
) -> ResponseHead:
    """Send a request upstream and its response downstream.

    Args:
        request: the request to send.
        downstream: source of the request body and destination of the response.
        upstream: destination of the request.
        check_response: called with the response before it is passed on; raises to
            withhold it.

    Returns:
        The head of the response, once all of it has been passed on.

    Raises:
        GuavagapError: with ``upstream.is_written`` and
            ``downstream.is_response_started`` telling how far the exchange got.
    """
    is_finished = False
    try:
        is_body_sent = await _send_request(request, downstream, upstream)
        response = await _buffer_small_response(
            await upstream.read_response(), upstream
        )
        if check_response is not None:
            check_response(response)
        await downstream.send_response(response)
        is_complete = response.is_complete
        while not is_complete:
            chunks, is_complete = await upstream.read_chunks()
            await downstream.send_chunks(chunks, is_complete)
        is_finished = is_body_sent
    finally:
        if is_finished:
            await upstream.finish()
        else:
            await upstream.abort()
    return response


async def _send_request(
    request: ForwardedRequest, downstream: Downstream, upstream: Upstream
) -> bool:
    """Send head and body; return False when a response arrived before the end."""
    is_complete = downstream.is_body_complete
    if not await _try_send(
        upstream, upstream.send_request(request, downstream.chunks, is_complete)
    ):
        return False
    if is_complete:
        return True
    while downstream.is_body_ended or not upstream.has_early_response():
        downstream.is_body_consumed = True
        chunk = await downstream.read_body()
        # Sending to a connection that has been reset would hide that from the reader.
        if not downstream.is_body_ended and upstream.has_early_response():
            return False
        if not await _try_send(upstream, upstream.send_body(chunk)):
            return False
        if chunk is None:
            return True
    return False


async def _try_send(upstream: Upstream, sending: Awaitable[None]) -> bool:
    """Send a part; return False if that failed, but a response has come."""
    try:
        await sending
    except GuavagapError:
        if upstream.is_written and upstream.has_early_response():
            return False
        raise
    return True


async def _buffer_small_response(
    response: ResponseHead, upstream: Upstream
) -> ResponseHead:
    """Read the rest of a small response.

    A chunked response is not buffered, since its end may depend on its reader.
    """
    if response.is_complete or not _is_bufferable(response):
        return response
    chunks, is_complete = response.chunks, False
    while not is_complete and sum(map(len, chunks)) < MAX_BUFFERED_RESPONSE_BYTES:
        more, is_complete = await upstream.read_chunks()
        chunks = chunks + more
    return response._replace(chunks=chunks, is_complete=is_complete)


def _is_bufferable(response: ResponseHead) -> bool:
    """Return whether the body is declared small or ends with its connection."""
    for name, value in response.headers:
        if name == b"content-length":
            return int(value) <= MAX_BUFFERED_RESPONSE_BYTES
    return not response.is_chunked
