"""Declarations of an operator's system: routes, services, limits, rollout orders.

These types do not depend on the platform; its adapter decodes into them.
"""

from typing import NamedTuple

from guavagap.errors import ErrorKind, GuavagapError

__all__ = [
    "CallerLimits",
    "DEFAULT_CALLER_LIMITS",
    "DeclaredRoute",
    "Declaration",
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


class CallerLimits(NamedTuple):
    """Size limits of requests, and time limits of callers' connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class UnknownValue(NamedTuple):
    """A declared value that this version of the node does not know.

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
    """

    version: int
    routes: tuple[DeclaredRoute, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits
    unknown_values: tuple[UnknownValue, ...] = ()


class RolloutOrder(NamedTuple):
    """The order to move a service's traffic to a version.

    Attributes:
        duration_s: time after the order by which the rollout must be complete.
    """

    service: str
    to_version: str
    duration_s: float


DEFAULT_CALLER_LIMITS = CallerLimits(32_768, 64 * 1024 * 1024, 10.0, 60.0)


def check_declaration(declaration: Declaration) -> None:
    """Reject a declaration whose references or weights are invalid.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED.
    """
    declared = set(declaration.connection_limits)
    for route in declaration.routes:
        undeclared = {share.service for share in route.shares} - declared
        if undeclared or not route.shares:
            raise GuavagapError(
                ErrorKind.CONFIGURATION_REJECTED,
                f"route {route.name} has undeclared services {sorted(undeclared)}",
            )
        if sum(share.weight for share in route.shares) <= 0:
            raise GuavagapError(
                ErrorKind.CONFIGURATION_REJECTED,
                f"route {route.name} has no positive total weight",
            )
