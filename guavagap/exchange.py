"""One request and its answer: the ports of both ends and the plain relay.

A :class:`Downstream` is where a request comes from (a caller's connection or a
stream of a link); an :class:`Upstream` is where it goes (a backend server's
connection or a stream). :func:`relay_exchange` moves one request and its answer
between them, with back-pressure from end to end.
"""

import time
from abc import ABC, abstractmethod
from contextlib import asynccontextmanager
from typing import NamedTuple

import curio

from guavagap.errors import ErrorKind, GuavagapError

__all__ = [
    "AnswerHead",
    "Attempt",
    "Downstream",
    "ForwardedRequest",
    "RUN_HEADER",
    "RUN_NOT_RUN",
    "RUN_UNKNOWN",
    "Upstream",
    "limit_to_deadline",
    "relay_exchange",
]

RUN_HEADER = b"guavagap-run"
RUN_NOT_RUN = b"not-run"
RUN_UNKNOWN = b"unknown"
REFUSAL_STATUS = 503

Headers = list[tuple[bytes, bytes]]


class ForwardedRequest(NamedTuple):
    """A request as it is sent on.

    Attributes:
        headers: end-to-end headers.
        content_length_bytes: the declared length, or None for a chunked body.
        has_body: False when there is no body at all.
        deadline_s: monotonic time after which the answer is of no use.
    """

    method: bytes
    target: bytes
    headers: Headers
    content_length_bytes: int | None
    has_body: bool
    is_idempotent: bool
    deadline_s: float


class AnswerHead(NamedTuple):
    """The head of an answer and what has arrived of its body.

    Attributes:
        is_complete: True when ``chunks`` is the whole body.
    """

    status: int
    headers: Headers
    chunks: list[bytes]
    is_complete: bool


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
    is_answer_started: bool = False

    @abstractmethod
    async def read_body(self) -> bytes | None:
        """Return the next body bytes, None at the end.

        Raises:
            GuavagapError: CALLER_GONE, BODY_TOO_LARGE, CALLER_TIMEOUT.
        """

    @abstractmethod
    async def send_answer(self, answer: AnswerHead) -> None:
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
    def has_early_answer(self) -> bool:
        """Return whether an answer arrives before the body has been sent."""

    @abstractmethod
    async def read_answer(self) -> AnswerHead:
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
async def limit_to_deadline(deadline_s: float, attempt: Attempt):
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
    request: ForwardedRequest, downstream: Downstream, upstream: Upstream
) -> AnswerHead:
    """Send a request upstream and its answer downstream.

    Returns:
        The head of the answer, when all of it has been passed on.

    Raises:
        GuavagapError: with ``upstream.is_written`` and
            ``downstream.is_answer_started`` telling how far it came.
    """
    is_finished = False
    try:
        is_body_sent = await _send_request(request, downstream, upstream)
        answer = await upstream.read_answer()
        _raise_refusal(answer)
        await downstream.send_answer(answer)
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
    while downstream.is_body_ended or not upstream.has_early_answer():
        chunk = await downstream.read_body()
        try:
            await upstream.send_body(chunk)
        except GuavagapError:
            if upstream.has_early_answer():
                return False
            raise
        if chunk is None:
            return True
    return False


def _raise_refusal(answer: AnswerHead) -> None:
    """Raise when the backend server says that it did not run the request."""
    if answer.status != REFUSAL_STATUS:
        return
    if (RUN_HEADER, RUN_NOT_RUN) in answer.headers:
        raise GuavagapError(
            ErrorKind.REFUSED_BY_BACKEND_SERVER, "refused by the backend server"
        )
