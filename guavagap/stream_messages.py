"""Messages of forwarded requests, one class for each struct of ``mesh.capnp``."""

from typing import NamedTuple

__all__ = [
    "Condition",
    "Header",
    "LIMIT_UNKNOWN",
    "NO_WAIT_LIMIT",
    "OpenStream",
    "StreamAnswer",
    "StreamCredit",
    "StreamData",
    "StreamReset",
    "UNKNOWN_CONDITION",
    "UNLIMITED",
]


NO_WAIT_LIMIT = 2**32 - 1
LIMIT_UNKNOWN = 0
UNLIMITED = 2**32 - 1


# Name in lower case and value of an HTTP header, neither with a line break.
Header = tuple[bytes, bytes]


class OpenStream(NamedTuple):
    """Head of a forwarded request, with the part of its body that is available.

    Attributes:
        max_wait_ms: maximum time that it may wait for a slot, or NO_WAIT_LIMIT.
        target_latency_ms: target latency of the request; 0 for none.
        is_body_held: whether the body is sent only after the receiver grants credit,
            which it does when it has acquired a slot.
        limit_millihertz: the request rate that the backend server has named to the
            sender in an earlier response; LIMIT_UNKNOWN or UNLIMITED.
        customer_priority: rank of the customer, which goes before the priority; 0 is
            the most urgent.
        may_exceed_pace: whether no other backend server seems to have room for it.
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
    limit_millihertz: int = LIMIT_UNKNOWN
    customer_priority: int = 0
    may_exceed_pace: bool = False


class StreamData(NamedTuple):
    """Further bytes of a body, in either direction."""

    stream_id: int
    body: bytes
    is_complete: bool


class StreamCredit(NamedTuple):
    """Flow-control credit for further body bytes."""

    stream_id: int
    credit_bytes: int


class Condition(NamedTuple):
    """Condition of a backend server as observed by its owner node.

    Attributes:
        load: number of requests that run or wait for a slot.
        failure_permille: share of recent requests that failed.
        slowness_permille: duration of recent requests as a share of their target
            latency; 0 if none had a target latency.
        is_known: False when the sender does not know the backend server.
        limit_millihertz: the request rate that it has named; LIMIT_UNKNOWN until it
            has responded, UNLIMITED if it names none.
        is_leaving: whether it has said that it takes no new requests any more.
        is_cold: whether it is slow after a start and takes few requests.
        run_time_percent: how long work takes on its VM at this moment, in percent of
            the usual; 0 if it does not tell.
    """

    load: int
    failure_permille: int
    slowness_permille: int
    is_known: bool = True
    limit_millihertz: int = LIMIT_UNKNOWN
    is_leaving: bool = False
    is_cold: bool = False
    run_time_percent: int = 0


UNKNOWN_CONDITION = Condition(0, 0, 0, False)


class StreamReset(NamedTuple):
    """Abort of a stream.

    Attributes:
        kind: value of an :class:`~guavagap.errors.ErrorKind`.
        is_not_run: whether the request was certainly not run.
        condition: condition of the backend server.
        born_ms: start of the backend server that crashed; 0 if none did.
    """

    stream_id: int
    kind: str
    detail: str
    is_not_run: bool
    condition: Condition = UNKNOWN_CONDITION
    born_ms: int = 0


class StreamAnswer(NamedTuple):
    """Head of a response, with the part of its body that is available.

    Attributes:
        condition: condition of the backend server.
        run_ms: time that the request took at the backend server.
    """

    stream_id: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
    is_complete: bool
    condition: Condition = UNKNOWN_CONDITION
    is_chunked: bool = False
    run_ms: int = 0
