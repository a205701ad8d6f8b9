"""One request and its answer: the ports of both ends and the plain relay.

A :class:`Downstream` is where a request comes from (a caller's connection or a
stream of a link); an :class:`Upstream` is where it goes (a backend server's
connection or a stream). :func:`relay_exchange` moves one request and its answer
between them, with back-pressure from end to end.
"""

import time
from abc import ABC, abstractmethod
from contextlib import asynccontextmanager
from typing import Callable, NamedTuple

import curio

from guavagap.errors import ErrorKind, GuavagapError
from guavagap.stream_messages import Condition

__all__ = [
    "ResponseHead",
    "Attempt",
    "Downstream",
    "ForwardedRequest",
    "Upstream",
    "enforce_deadline",
    "relay_exchange",
]

# Answers up to this size are read whole before any of them is passed on, so that
# one that is cut short can still be replaced by another attempt.
MAX_BUFFERED_RESPONSE_BYTES = 65_536

Headers = list[tuple[bytes, bytes]]


class ForwardedRequest(NamedTuple):
    """A request as it is sent on.

    Attributes:
        headers: end-to-end headers.
        content_length_bytes: the declared length, or None for a chunked body.
        has_body: False when there is no body at all.
        deadline_s: monotonic time after which the answer is of no use.
        priority: 0 is the most urgent among those that wait for a slot.
        max_wait_s: how long it may wait for a slot; None until the deadline.
        target_latency_s: within which an answer is worth most; 0 for none.
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


class ResponseHead(NamedTuple):
    """The head of an answer and what has arrived of its body.

    Attributes:
        is_complete: True when ``chunks`` is the whole body.
        condition: of the backend server, as its node sees it; None when the
            answer did not pass that node.
        is_chunked: whether the body came in chunks, as endless ones do.
        run_s: time from the request's last bytes to the answer at the backend server,
            without any wait for a slot.
    """

    status: int
    headers: Headers
    chunks: list[bytes]
    is_complete: bool
    condition: Condition | None = None
    is_chunked: bool = False
    run_s: float = 0.0


class Attempt:
    """One try of a request at one backend server.

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
    """Where a request comes from.

    Attributes:
        chunks: body read ahead and kept for another attempt.
        is_body_complete: whether ``chunks`` is the whole body.
        is_body_consumed: whether body beyond ``chunks`` has been read.
        is_body_ended: whether the end of the body has been seen.
        is_answer_started: whether any part of an answer has been sent.
    """

    chunks: list[bytes]
    is_body_complete: bool
    is_body_consumed: bool = False
    is_body_ended: bool = False
    is_response_started: bool = False

    async def fetch_deferred_body(self) -> None:
        """Ask for a body that is held back until the request has a slot.

        Raises:
            GuavagapError: LINK_UNREACHABLE when none of it comes.
        """

    @abstractmethod
    async def read_body(self) -> bytes | None:
        """Return the next body bytes, None at the end.

        Raises:
            GuavagapError: CALLER_GONE, BODY_TOO_LARGE, CALLER_TIMEOUT.
        """

    @abstractmethod
    async def send_response(self, answer: ResponseHead) -> None:
        """Send the head and the body bytes that are at hand."""

    @abstractmethod
    async def send_chunks(self, chunks: list[bytes], is_complete: bool) -> None:
        """Send further body bytes."""


class Upstream(ABC):
    """Where a request goes; good for one exchange.

    Attributes:
        is_written: whether any byte may have reached a backend server.
    """

    is_written: bool = False

    @abstractmethod
    async def send_request(
        self, request: ForwardedRequest, chunks: list[bytes], is_complete: bool
    ) -> None:
        """Send the head and the body bytes that are at hand."""

    @abstractmethod
    async def send_body(self, chunk: bytes | None) -> None:
        """Send further body bytes; None ends the body."""

    @abstractmethod
    def has_early_response(self) -> bool:
        """Return whether an answer arrives before the body has been sent."""

    @abstractmethod
    async def read_response(self) -> ResponseHead:
        """Return the head of the answer."""

    @abstractmethod
    async def read_chunks(self) -> tuple[list[bytes], bool]:
        """Return further body bytes and whether they are the last."""

    @abstractmethod
    async def finish(self) -> None:
        """End an exchange whose answer was read to its end."""

    @abstractmethod
    async def abort(self) -> None:
        """End an exchange that did not come to its end."""


@asynccontextmanager
async def enforce_deadline(deadline_s: float, attempt: Attempt):
    """Turn the end of the time into the error that fits how far it came.

    Raises:
        GuavagapError: DEADLINE_BEFORE_RUN or DEADLINE_AFTER_SEND.
    """
    try:
        async with curio.timeout_after(max(0.0, deadline_s - time.monotonic())):
            yield
    except curio.TaskTimeout:
        if attempt.is_written:
            kind, detail = ErrorKind.DEADLINE_AFTER_SEND, "no answer in time"
        else:
            kind, detail = ErrorKind.DEADLINE_BEFORE_RUN, "not started in time"
        raise GuavagapError(kind, detail) from None


async def relay_exchange(
    request: ForwardedRequest,
    downstream: Downstream,
    upstream: Upstream,
    check_response: Callable[[ResponseHead], None] | None = None,
) -> ResponseHead:
    """Send a request upstream and its answer downstream.

    Args:
        request: what to send.
        downstream: where the answer goes.
        upstream: where the request goes.
        judge: called with the answer before it is passed on; raises to keep it
            back.

    Returns:
        The head of the answer, when all of it has been passed on.

    Raises:
        GuavagapError: with ``upstream.is_written`` and
            ``downstream.is_response_started`` telling how far it came.
    """
    is_finished = False
    try:
        is_body_sent = await _send_request(request, downstream, upstream)
        answer = await _buffer_small_response(await upstream.read_response(), upstream)
        if check_response is not None:
            check_response(answer)
        await downstream.send_response(answer)
        is_complete = answer.is_complete
        while not is_complete:
            chunks, is_complete = await upstream.read_chunks()
            await downstream.send_chunks(chunks, is_complete)
        is_finished = is_body_sent
    finally:
        if is_finished:
            await upstream.finish()
        else:
            await upstream.abort()
    return answer


async def _send_request(
    request: ForwardedRequest, downstream: Downstream, upstream: Upstream
) -> bool:
    """Send head and body; return False when an answer came before its end."""
    is_complete = downstream.is_body_complete
    await upstream.send_request(request, downstream.chunks, is_complete)
    if is_complete:
        return True
    downstream.is_body_consumed = True
    while downstream.is_body_ended or not upstream.has_early_response():
        chunk = await downstream.read_body()
        try:
            await upstream.send_body(chunk)
        except GuavagapError:
            if upstream.has_early_response():
                return False
            raise
        if chunk is None:
            return True
    return False


async def _buffer_small_response(
    answer: ResponseHead, upstream: Upstream
) -> ResponseHead:
    """Read the rest of a small answer whose end does not depend on its reader."""
    if answer.is_complete or not _is_bufferable(answer):
        return answer
    chunks, is_complete = answer.chunks, False
    while not is_complete and sum(map(len, chunks)) < MAX_BUFFERED_RESPONSE_BYTES:
        more, is_complete = await upstream.read_chunks()
        chunks = chunks + more
    return answer._replace(chunks=chunks, is_complete=is_complete)


def _is_bufferable(answer: ResponseHead) -> bool:
    """Return whether the body has a small length, or ends with its connection."""
    for name, value in answer.headers:
        if name == b"content-length":
            return int(value) <= MAX_BUFFERED_RESPONSE_BYTES
    return not answer.is_chunked
