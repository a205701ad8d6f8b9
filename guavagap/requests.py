"""A request after it has been routed."""

from typing import NamedTuple

from guavagap.caller_connections import CallerDownstream
from guavagap.customers import Credentials
from guavagap.exchange import ForwardedRequest
from guavagap.quotas import NO_CHARGE, Charge
from guavagap.snapshot import CompiledRoute, RouteShare

__all__ = ["Exchange"]


class Exchange(NamedTuple):
    """A routed request and the decisions made about it.

    Attributes:
        share: the service chosen among those of the route.
        version: the preferred version of the backend server.
        has_retry_mark: whether an upper layer is already retrying the request.
        fingerprint: identifies equal requests; empty while there are no crash
            reports.
        idempotency_key: the caller's Idempotency-Key prefixed with the service;
            empty without one.
        started_s: monotonic time at which the request head was read.
        credentials: the API key and the customer; None for an anonymous request.
        charge: what the request is charged to its customer's quota.
    """

    request_id: bytes
    route: CompiledRoute
    share: RouteShare
    version: str
    request: ForwardedRequest
    downstream: CallerDownstream
    has_retry_mark: bool
    fingerprint: bytes
    idempotency_key: bytes
    started_s: float
    credentials: Credentials | None = None
    charge: Charge = NO_CHARGE
