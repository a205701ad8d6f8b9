"""The routing snapshot: immutable routes built from accepted documents.

A route holds the pool object itself, so a route to a pool that the snapshot
does not hold cannot be built.
"""

from typing import NamedTuple

from guavagap.documents import Document
from guavagap.head import Entry

__all__ = [
    "CompiledPool",
    "CompiledRoute",
    "EMPTY_SNAPSHOT",
    "ServiceState",
    "Snapshot",
    "build_snapshot",
    "find_route",
]

ANY_HOST = b"*"
DEFAULT_MIN_AVAILABLE_SHARE = 0.5
DEFAULT_RETRY_SHARE = 0.1


class CompiledPool(NamedTuple):
    """A pool of backend servers of one service."""

    service: str
    name: str
    min_available_share: float
    max_in_flight: int | None


class ServiceState(NamedTuple):
    """What of a service's entry concerns each request.

    Attributes:
        to_version: the version that is taking over, or "" outside a rollout.
        weight_permille: share of requests for ``to_version``.
    """

    service: str
    version: int
    epoch: int
    stable_version: str
    to_version: str
    weight_permille: int


class CompiledRoute(NamedTuple):
    """A route, ready to be matched against requests."""

    name: str
    host: bytes
    path_prefix: bytes
    methods: frozenset[bytes] | None
    is_idempotent: bool
    timeout_s: float
    retry_share: float
    sticky_header: bytes | None
    pool: CompiledPool
    service: ServiceState


class Snapshot(NamedTuple):
    """Everything that routing needs, at one epoch.

    Attributes:
        routes_by_host: routes of each host, longest path prefix first.
    """

    epoch: int
    routes_by_host: dict[bytes, tuple[CompiledRoute, ...]]
    services: dict[str, ServiceState]


EMPTY_SNAPSHOT = Snapshot(0, {}, {})


def _compile_service(service: str, entry: Entry) -> ServiceState:
    rollout = entry["rollout"]
    is_moving = rollout is not None and rollout["state"] in ("running", "paused")
    return ServiceState(
        service,
        entry["version"],
        entry["epoch"],
        entry["stable_version"],
        rollout["to_version"] if is_moving else "",
        rollout["weight_permille"] if is_moving else 0,
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
        sticky = route.get("sticky_header")
        routes.append(
            CompiledRoute(
                route["name"],
                route["host"].encode(),
                route["path_prefix"].rstrip("/").encode(),
                None if methods is None else frozenset(m.encode() for m in methods),
                route["is_idempotent"],
                route["timeout_s"],
                route.get("retry_share", DEFAULT_RETRY_SHARE),
                None if sticky is None else sticky.encode(),
                pools[route["pool"]],
                state,
            )
        )
    return routes


def build_snapshot(
    epoch: int, held: dict[str, tuple[Entry, Document | None]]
) -> Snapshot:
    """Build the snapshot of an epoch.

    Args:
        epoch: the epoch applied.
        held: entry and document of each service; no document when deleted.
    """
    by_host: dict[bytes, list[CompiledRoute]] = {}
    services = {}
    for service, (entry, document) in held.items():
        if document is None:
            continue
        services[service] = state = _compile_service(service, entry)
        for route in _compile_routes(document, state):
            by_host.setdefault(route.host, []).append(route)
    sorted_by_host = {
        host: tuple(sorted(routes, key=_match_order))
        for host, routes in by_host.items()
    }
    return Snapshot(epoch, sorted_by_host, services)


def _match_order(route: CompiledRoute) -> tuple:
    return (-len(route.path_prefix), route.methods is None, route.path_prefix)


def _is_match(route: CompiledRoute, path: bytes, method: bytes) -> bool:
    prefix = route.path_prefix
    if not path.startswith(prefix):
        return False
    if len(path) > len(prefix) and path[len(prefix)] != 0x2F:
        return False
    return route.methods is None or method in route.methods


def find_route(
    snapshot: Snapshot, host: bytes, path: bytes, method: bytes
) -> CompiledRoute | None:
    """Return the route of a request; an exact host goes before ``*``.

    Args:
        snapshot: the snapshot in force.
        host: the Host header in lower case, without a port.
        path: the target's path, without a query.
        method: the method.
    """
    for key in (host, ANY_HOST):
        for route in snapshot.routes_by_host.get(key, ()):
            if _is_match(route, path, method):
                return route
    return None
