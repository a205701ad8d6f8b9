"""Declarations of an operator's system: routes, services, limits, rollout orders.

These types do not depend on the platform; its adapter decodes into them.
"""

import math
from typing import NamedTuple

from guavagap.codec import find_problem
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.key_digests import key_digest
from guavagap.stream_messages import OpenStream

__all__ = [
    "CallerLimits",
    "ColdLimit",
    "Customer",
    "DEFAULT_CALLER_LIMITS",
    "DeclaredRoute",
    "Declaration",
    "EvacuationOrder",
    "RolloutOrder",
    "ServiceShare",
    "UnknownValue",
    "check_declaration",
]


class ServiceShare(NamedTuple):
    """One service of a route and its weight in the route's traffic split."""

    service: str
    weight: int


class DeclaredRoute(NamedTuple):
    """The requests that a route matches and how they are handled.

    Attributes:
        path_prefix: starts and ends with a slash.
        is_idempotent: whether a request may be executed more than once.
        timeout_s: time limit for the response, even if the caller's deadline is
            later.
        target_latency_s: latency up to which a response has its full value.
        priority: 0 is the most urgent.
        max_attempts: maximum number of backend servers that one request is sent to.
        shares: the services; a route without a traffic split has one.
        is_anonymous_allowed: whether a request needs no API key.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    is_anonymous_allowed: bool = False


class Customer(NamedTuple):
    """A customer of the deployment: its API keys, rank and quota.

    Attributes:
        key_digests: digests of its API keys; see :mod:`guavagap.customers`.
        priority: goes before the priority of routes; 0 is the most urgent.
        rate_per_s: requests a second over all nodes; 0 for no limit.
        burst: requests that may be sent at once beyond the rate.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int
    rate_per_s: float
    burst: float


class ColdLimit(NamedTuple):
    """Limit of a service's backend servers that are slow after a start.

    Attributes:
        cold_start_s: how long a backend server is cold after its start.
        rate_per_s: requests a second that a cold backend server tolerates.
        health_path: where a backend server tells how long it stays cold; "" if it is
            not to be asked.
    """

    cold_start_s: float
    rate_per_s: float
    health_path: str = ""


class CallerLimits(NamedTuple):
    """Size limits of requests, and time limits of callers' connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class UnknownValue(NamedTuple):
    """A declared value that this version of the node does not know or cannot use.

    Attributes:
        resource: the first resource that has the value.
        field: name of the field, as declared.
    """

    resource: str
    field: str
    value: str


class Declaration(NamedTuple):
    """A complete declared configuration.

    Attributes:
        version: increases with each configuration.
        connection_limits: number of connections that a backend server of each service
            accepts.
        unknown_values: values for which a default is used, each one once.
        customers: empty if requests need no API key.
        cold_limits: limits of cold backend servers by service, for services that
            have one.
    """

    version: int
    routes: tuple[DeclaredRoute, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits
    unknown_values: tuple[UnknownValue, ...] = ()
    customers: tuple[Customer, ...] = ()
    cold_limits: dict[str, ColdLimit] = {}


class EvacuationOrder(NamedTuple):
    """The order to send nothing to the backend servers of a failure domain."""

    failure_domain: str


class RolloutOrder(NamedTuple):
    """The order to move a service's traffic to a version.

    Attributes:
        duration_s: time after the order by which the rollout must be complete.
    """

    service: str
    to_version: str
    duration_s: float


DEFAULT_CALLER_LIMITS = CallerLimits(32_768, 64 * 1024 * 1024, 10.0, 60.0)


def check_declaration(
    declaration: Declaration, accepted: Declaration | None = None
) -> None:
    """Reject a declaration whose references, weights or figures are invalid.

    Args:
        declaration: the declaration.
        accepted: an earlier one that was accepted; the routes that both have in common,
            as the same objects, are checked for their references only.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED.
    """
    declared = set(declaration.connection_limits)
    accepted_routes = () if accepted is None else accepted.routes
    known = set(map(id, accepted_routes))
    for route in declaration.routes:
        _check_references(route, declared)
        if id(route) not in known:
            _check_figures(route)
    _check_customers(declaration.customers)


def _check_references(route: DeclaredRoute, declared: set[str]) -> None:
    undeclared = [
        share.service for share in route.shares if share.service not in declared
    ]
    if undeclared or not route.shares:
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"route {route.name} has undeclared services {sorted(set(undeclared))}",
        )


def _check_figures(route: DeclaredRoute) -> None:
    problem = find_problem(_sample_request(route))
    if problem is not None:
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"requests of route {route.name!r} cannot be forwarded: {problem}",
        )
    weights = [share.weight for share in route.shares]
    if min(weights) < 0 or sum(weights) <= 0:
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"route {route.name} has no positive total weight",
        )


def _check_customers(customers: tuple[Customer, ...]) -> None:
    """Reject customers that requests cannot be assigned to, or invalid figures."""
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    empty_digest = key_digest(b"")
    for customer in customers:
        name = customer.name
        problem = _find_customer_problem(customer)
        if name in names:
            problem = "appears twice"
        if empty_digest in customer.key_digests:
            problem = "has an empty API key"
        for digest in customer.key_digests:
            owner = owners.setdefault(digest, name)
            if owner != name:
                problem = f"has an API key that also belongs to {owner!r}"
        if problem is not None:
            raise GuavagapError(
                ErrorKind.CONFIGURATION_REJECTED, f"customer {name!r} {problem}"
            )
        names.add(name)


def _find_customer_problem(customer: Customer) -> str | None:
    """Return what is wrong with the name or the figures of a customer, or None."""
    name = customer.name
    # The name is sent to backend servers as the value of a header.
    if not name or name != name.strip() or not name.isprintable():
        return "has a name that is empty or cannot be sent in a header"
    for figure in (customer.rate_per_s, customer.burst):
        if not math.isfinite(figure) or figure < 0:
            return f"has a quota that is negative or not finite: {figure}"
    request = _SAMPLE_REQUEST._replace(
        headers=((b"", name.encode()),), customer_priority=customer.priority
    )
    problem = find_problem(request)
    if problem is not None:
        return f"has requests that cannot be forwarded: {problem}"
    return None


_SAMPLE_REQUEST = OpenStream(
    stream_id=0,
    server_id="",
    method=b"GET",
    target=b"/",
    headers=(),
    timeout_ms=0,
    body=b"",
    is_complete=True,
    is_idempotent=True,
)


def _sample_request(route: DeclaredRoute) -> OpenStream:
    """Return a forwarded request with the route's figures.

    The name of the route is sent with evidence, in a field of the same type as that of
    the identifier here.
    """
    return _SAMPLE_REQUEST._replace(
        server_id=route.name,
        timeout_ms=int(route.timeout_s * 1000),
        is_idempotent=route.is_idempotent,
        priority=route.priority,
        target_latency_ms=int(route.target_latency_s * 1000),
    )
