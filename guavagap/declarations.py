"""What an operator's system declares: routes, services, limits and rollout orders.

These are the product's own types; the adapter of a platform decodes into them.
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
    "check_declaration",
]


class ServiceShare(NamedTuple):
    """One service of a route, and its weight among the route's services."""

    service: str
    weight: int


class DeclaredRoute(NamedTuple):
    """Which requests a route matches and how they are treated.

    Attributes:
        path_prefix: begins and ends with a slash.
        is_idempotent: whether a request may run more than once.
        timeout_s: a request is answered by then, whatever its own deadline.
        target_latency_s: an answer within this time is worth most.
        priority: 0 is the most urgent.
        max_attempts: how many backend servers may be sent one request.
        shares: the services; one for a route that is not split.
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
    """Bounds of what callers may send, and of how long they may take or idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Declaration(NamedTuple):
    """One whole configuration.

    Attributes:
        version: rises with each configuration.
        connection_limits: connections that a backend server accepts, by service.
    """

    version: int
    routes: tuple[DeclaredRoute, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits


class RolloutOrder(NamedTuple):
    """The order to move a service's traffic to a version.

    Attributes:
        duration_s: time from the order within which the move has to be complete.
    """

    service: str
    to_version: str
    duration_s: float


DEFAULT_CALLER_LIMITS = CallerLimits(32_768, 64 * 1024 * 1024, 10.0, 60.0)


def check_declaration(declaration: Declaration) -> None:
    """Refuse a configuration that does not hold together.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED.
    """
    known = set(declaration.connection_limits)
    for route in declaration.routes:
        missing = {share.service for share in route.shares} - known
        if missing or not route.shares:
            raise GuavagapError(
                ErrorKind.CONFIGURATION_REJECTED,
                f"route {route.name} names unknown services {sorted(missing)}",
            )
        if sum(share.weight for share in route.shares) <= 0:
            raise GuavagapError(
                ErrorKind.CONFIGURATION_REJECTED, f"route {route.name} has no weight"
            )
