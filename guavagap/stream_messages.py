"""Messages of forwarded requests, one class for each struct of ``mesh.capnp``."""

from typing import NamedTuple

__all__ = [
    "Condition",
    "Header",
    "NO_WAIT_LIMIT",
    "OpenStream",
    "StreamAnswer",
    "StreamCredit",
    "StreamData",
    "StreamReset",
    "UNKNOWN_CONDITION",
]


NO_WAIT_LIMIT = 2**32 - 1


class Header(NamedTuple):
    """One HTTP header; the name is in lower case."""

    name: bytes
    value: bytes


class OpenStream(NamedTuple):
    """Head of a forwarded request, with as much body as is at hand.

    Attributes:
        max_wait_ms: how long it may wait for a slot, or NO_WAIT_LIMIT.
        target_latency_ms: within which an answer is worth most; 0 for none.
        is_body_held: whether the body follows only once the receiver grants credit
            for it, which it does when it has a slot.
    """

    stream_id: int
    server_id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    timeout_ms: int
    body: bytes
    is_complete: bool
    is_idempotent: bool
    priority: int = 1
    max_wait_ms: int = NO_WAIT_LIMIT
    target_latency_ms: int = 0
    is_body_held: bool = False


class StreamData(NamedTuple):
    """Further bytes of a body, in either direction."""

    stream_id: int
    body: bytes
    is_complete: bool


class StreamCredit(NamedTuple):
    """Permission to send that many more body bytes."""

    stream_id: int
    credit_bytes: int


class Condition(NamedTuple):
    """How a backend server does, as the node beside it sees it.

    Attributes:
        load: requests that run or wait for a slot.
        failure_permille: share of the latest requests that failed.
        slowness_permille: time of the latest requests, as a share of their
            target latency; 0 without any.
        is_known: False when the sender does not know the backend server.
    """

    load: int
    failure_permille: int
    slowness_permille: int
    is_known: bool = True


UNKNOWN_CONDITION = Condition(0, 0, 0, False)


class StreamReset(NamedTuple):
    """The end of a stream that cannot be finished.

    Attributes:
        condition: of the backend server.
    """

    stream_id: int
    kind: str
    detail: str
    is_not_run: bool
    condition: Condition = UNKNOWN_CONDITION


class StreamAnswer(NamedTuple):
    """Head of an answer, with as much body as is at hand.

    Attributes:
        condition: of the backend server.
        run_ms: time that the backend server took.
    """

    stream_id: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
    is_complete: bool
    condition: Condition = UNKNOWN_CONDITION
    is_chunked: bool = False
    run_ms: int = 0
