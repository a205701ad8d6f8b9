"""The routing snapshot: immutable routes built from documents or a declaration.

A route references its pool object directly, so a route to a pool that is not in the
snapshot cannot be built.
"""

from typing import NamedTuple

from guavagap.announcements import DEFAULT_POOL
from guavagap.customers import NO_CUSTOMERS, CustomerDirectory
from guavagap.declarations import Declaration, DeclaredRoute
from guavagap.documents import Document
from guavagap.head import Entry

__all__ = [
    "CompiledPool",
    "CompiledRoute",
    "DeclaredSnapshotBuilder",
    "EMPTY_SNAPSHOT",
    "RouteShare",
    "ServiceState",
    "Snapshot",
    "build_snapshot",
    "find_route",
]

ANY_HOST = b"*"
DEFAULT_MIN_AVAILABLE_SHARE = 0.5
DEFAULT_RETRY_SHARE = 0.1
DEFAULT_PRIORITY = 1
DEFAULT_MAX_ATTEMPTS = 3


class CompiledPool(NamedTuple):
    """A pool of backend servers of one service."""

    service: str
    name: str
    min_available_share: float
    max_in_flight: int | None


class ServiceState(NamedTuple):
    """The part of a service's configuration that routing needs.

    Attributes:
        stable_version: version that receives all other traffic; "" if the
            configuration names none.
        to_version: the version that is rolled out, or "" without a rollout.
        weight_permille: share of requests that are routed to ``to_version``.
        excluded_versions: versions that were rolled back and get no requests.
    """

    service: str
    version: int
    epoch: int
    stable_version: str
    to_version: str
    weight_permille: int
    excluded_versions: frozenset[str] = frozenset()


class RouteShare(NamedTuple):
    """One service of a route and its weight in the route's traffic split."""

    pool: CompiledPool
    service: ServiceState
    weight: int


class CompiledRoute(NamedTuple):
    """A route in the form that requests are matched against.

    Attributes:
        path_prefix: without a trailing slash.
        shares: services that receive the requests; a route without a traffic split
            has one.
        is_slash_required: whether a slash must follow the prefix in the path.
        target_latency_s: latency up to which a response has its full value.
        priority: 0 is the most urgent.
        max_attempts: maximum number of backend servers that one request is sent to.
        is_anonymous_allowed: whether a request needs no API key.
    """

    name: str
    host: bytes
    path_prefix: bytes
    methods: frozenset[bytes] | None
    is_idempotent: bool
    timeout_s: float
    retry_share: float
    sticky_header: bytes | None
    shares: tuple[RouteShare, ...]
    is_slash_required: bool
    target_latency_s: float
    priority: int
    max_attempts: int
    is_anonymous_allowed: bool = False

    @property
    def pool(self) -> CompiledPool:
        """The pool of a route without a traffic split."""
        return self.shares[0].pool

    @property
    def service(self) -> ServiceState:
        """The service of a route without a traffic split."""
        return self.shares[0].service


class Snapshot(NamedTuple):
    """The routing configuration at one epoch.

    Attributes:
        routes_by_host: routes of each host by path prefix.
        services: state of each service by name.
        customers: checks the API keys of requests.
    """

    epoch: int
    routes_by_host: dict[bytes, dict[bytes, tuple[CompiledRoute, ...]]]
    services: dict[str, ServiceState]
    customers: CustomerDirectory = NO_CUSTOMERS


EMPTY_SNAPSHOT = Snapshot(0, {}, {})


def _compile_service(service: str, entry: Entry) -> ServiceState:
    rollout = entry["rollout"]
    is_active = rollout is not None and rollout["state"] in ("running", "paused")
    return ServiceState(
        service,
        entry["version"],
        entry["epoch"],
        entry["stable_version"],
        rollout["to_version"] if is_active else "",
        rollout["weight_permille"] if is_active else 0,
    )


def _compile_routes(document: Document, state: ServiceState) -> list[CompiledRoute]:
    pools = {
        pool["name"]: CompiledPool(
            document["service"],
            pool["name"],
            pool.get("min_available_share", DEFAULT_MIN_AVAILABLE_SHARE),
            pool.get("max_in_flight"),
        )
        for pool in document["pools"]
    }
    routes = []
    for route in document["routes"]:
        methods = route.get("methods")
        sticky_header_name = route.get("sticky_header")
        routes.append(
            CompiledRoute(
                route["name"],
                route["host"].encode(),
                route["path_prefix"].rstrip("/").encode(),
                None if methods is None else frozenset(m.encode() for m in methods),
                route["is_idempotent"],
                route["timeout_s"],
                route.get("retry_share", DEFAULT_RETRY_SHARE),
                None if sticky_header_name is None else sticky_header_name.encode(),
                (RouteShare(pools[route["pool"]], state, 1),),
                False,
                route["timeout_s"],
                DEFAULT_PRIORITY,
                DEFAULT_MAX_ATTEMPTS,
            )
        )
    return routes


def build_snapshot(
    epoch: int, applied: dict[str, tuple[Entry, Document | None]]
) -> Snapshot:
    """Build the snapshot of an epoch.

    Args:
        epoch: the applied epoch.
        applied: entry and document of each service; the document of a deleted service
            is None.
    """
    routes = []
    services = {}
    for service, (entry, document) in applied.items():
        if document is None:
            continue
        services[service] = state = _compile_service(service, entry)
        routes += _compile_routes(document, state)
    return Snapshot(epoch, _index_routes(routes), services)


class DeclaredSnapshotBuilder:
    """Builds snapshots of declared configurations.

    Routes are kept from one snapshot to the next while neither they nor the states of
    their services have changed, since most changes affect few of thousands.
    """

    def __init__(self):
        self._states: dict[str, ServiceState] = {}
        self._pools: dict[str, CompiledPool] = {}
        self._compiled: dict[int, tuple[DeclaredRoute, CompiledRoute]] = {}

    def build(
        self,
        epoch: int,
        declaration: Declaration,
        states: dict[str, ServiceState],
        customers: CustomerDirectory = NO_CUSTOMERS,
    ) -> Snapshot:
        """Build a snapshot.

        Args:
            epoch: the applied epoch.
            declaration: a valid declaration.
            states: the state of each of its services.
            customers: the customers of the declaration.
        """
        changed = self._replace_states(states)
        known, compiled, routes = self._compiled, {}, []
        for route in declaration.routes:
            entry = known.get(id(route))
            if entry is None or changed and _uses_any(route, changed):
                entry = (
                    route,
                    _compile_declared_route(route, self._pools, self._states),
                )
            compiled[id(route)] = entry
            routes.append(entry[1])
        self._compiled = compiled
        return Snapshot(epoch, _index_routes(routes), self._states, customers)

    def _replace_states(self, states: dict[str, ServiceState]) -> set[str]:
        """Replace the states of services; return the services whose state changed."""
        changed = {
            service
            for service, state in states.items()
            if self._states.get(service) != state
        }
        self._states = {
            service: state if service in changed else self._states[service]
            for service, state in states.items()
        }
        self._pools = {
            service: self._pools.get(service)
            or CompiledPool(service, DEFAULT_POOL, DEFAULT_MIN_AVAILABLE_SHARE, None)
            for service in states
        }
        return changed


def _uses_any(route: DeclaredRoute, services: set[str]) -> bool:
    return any(share.service in services for share in route.shares)


def _compile_declared_route(
    route: DeclaredRoute,
    pools: dict[str, CompiledPool],
    states: dict[str, ServiceState],
) -> CompiledRoute:
    shares = tuple(
        RouteShare(pools[share.service], states[share.service], share.weight)
        for share in route.shares
    )
    return CompiledRoute(
        route.name,
        route.host.lower().encode(),
        route.path_prefix.rstrip("/").encode(),
        None,
        route.is_idempotent,
        route.timeout_s,
        DEFAULT_RETRY_SHARE,
        None,
        shares,
        True,
        route.target_latency_s,
        route.priority,
        route.max_attempts,
        route.is_anonymous_allowed,
    )


def _index_routes(
    routes: list[CompiledRoute],
) -> dict[bytes, dict[bytes, tuple[CompiledRoute, ...]]]:
    """Return routes by host and path prefix.

    Routes that are restricted to methods come first, so that they take precedence.
    """
    by_host: dict[bytes, dict[bytes, tuple[CompiledRoute, ...]]] = {}
    for route in sorted(routes, key=_is_unrestricted):
        by_prefix = by_host.setdefault(route.host, {})
        by_prefix[route.path_prefix] = (*by_prefix.get(route.path_prefix, ()), route)
    return by_host


def _is_unrestricted(route: CompiledRoute) -> bool:
    return route.methods is None


def find_route(
    snapshot: Snapshot, host: bytes, path: bytes, method: bytes
) -> CompiledRoute | None:
    """Return the route of a request; an exact host takes precedence over ``*``.

    Args:
        snapshot: the current snapshot.
        host: the Host header in lower case, without a port.
        path: the path of the request target, without a query.
        method: the request method.
    """
    for key in (host, ANY_HOST):
        by_prefix = snapshot.routes_by_host.get(key)
        if by_prefix is None:
            continue
        route = _longest_match(by_prefix, path, method)
        if route is not None:
            return route
    return None


def _longest_match(
    by_prefix: dict[bytes, tuple[CompiledRoute, ...]], path: bytes, method: bytes
) -> CompiledRoute | None:
    """Return the route with the longest prefix of whole path segments."""
    end = len(path)
    while end >= 0:
        for route in by_prefix.get(path[:end], ()):
            if end == len(path) and route.is_slash_required:
                continue
            if route.methods is None or method in route.methods:
                return route
        end = path.rfind(b"/", 0, end)
    return None
