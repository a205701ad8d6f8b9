"""A routed request on its way through a node."""

from typing import NamedTuple

from guavagap.caller_connections import CallerDownstream
from guavagap.exchange import ForwardedRequest
from guavagap.snapshot import CompiledRoute, RouteShare

__all__ = ["Exchange"]


class Exchange(NamedTuple):
    """A request on its way: what was asked and how it is to be treated.

    Attributes:
        share: the service that it goes to, of those of its route.
        version: the backend server version chosen first.
        is_marked: whether a layer above is already retrying.
        started_s: monotonic time at which the request was read.
    """

    request_id: bytes
    route: CompiledRoute
    share: RouteShare
    version: str
    request: ForwardedRequest
    downstream: CallerDownstream
    is_marked: bool
    fingerprint: bytes
    idempotency_key: bytes
    started_s: float
