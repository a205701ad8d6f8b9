"""The configuration of a node and the routing snapshot built from it.

The epoch never decreases: :meth:`Configuration.apply`, the only place where a delta
takes effect, checks it. Each commit is applied atomically; a rejected commit leaves
its services on the previous version.
"""

from typing import NamedTuple

from guavagap.documents import (
    Document,
    compute_digest,
    decode_document,
    routes_overlap,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import (
    EMPTY_HEAD,
    Delta,
    Entry,
    Head,
    compute_delta,
    compute_head_digest,
    decode_delta,
    encode_delta,
    merge_delta,
)
from guavagap.logs import get_logger
from guavagap.snapshot import EMPTY_SNAPSHOT, Snapshot, build_snapshot

__all__ = ["Configuration", "Rejection"]

log = get_logger()

AppliedEntries = dict[str, tuple[Entry, Document | None]]


class Rejection(NamedTuple):
    """Reason why the latest version of a service is not applied on this node.

    Attributes:
        service: the service; the key of the item in a declared configuration.
        version: version of the document; 0 in a declared configuration.
        epoch: epoch of the commit; the item's revision in a declared configuration.
    """

    service: str
    version: int
    epoch: int
    reason: str


class Configuration:
    """Head, document bodies and routing snapshot of one node.

    Attributes:
        head: the current head, including rejected entries.
        head_digest: digest of the current head.
        bodies: document bodies by digest, which are sent to other nodes.
        snapshot: the routes of the applied documents.
        rejections: rejected versions by service.
        unknown_values: always empty, since documents are checked when committed.
        evacuated_domains: always empty, since documents order no evacuation.
        evacuation_ends: always empty.
        cold_limits: always empty, since documents declare no limit of cold servers.
        declaration: always None, since documents are not declared as a whole.
    """

    unknown_values = ()
    evacuated_domains: frozenset[str] = frozenset()
    evacuation_ends: dict = {}
    cold_limits: dict = {}
    declaration = None
    # Heads are replaced as a whole; two contents of one epoch cannot be merged.
    is_mergeable = False
    keys_behind = ()

    def __init__(self):
        self.head: Head = EMPTY_HEAD
        self.head_digest = compute_head_digest(0, {})
        self.bodies: dict[str, bytes] = {}
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.rejections: dict[str, Rejection] = {}
        self._applied_entries: AppliedEntries = {}

    @property
    def epoch(self) -> int:
        """The applied epoch, 0 before the first."""
        return self.head["epoch"]

    def delta_since(self, base_epoch: int) -> Delta:
        """Return the delta from ``base_epoch`` to the applied epoch."""
        return compute_delta(self.head, self.bodies, base_epoch)

    def encode_delta(self, delta: Delta) -> bytes:
        """Encode a delta for another node."""
        return encode_delta(delta)

    def decode_delta(self, raw: bytes) -> Delta:
        """Decode a delta from another node; raises FRAME_INVALID."""
        return decode_delta(raw)

    def has_body(self, digest: str) -> bool:
        """Return whether a document body is stored."""
        return digest in self.bodies

    def apply(self, delta: Delta) -> bool:
        """Apply a delta.

        Returns:
            False if the epoch of the delta is not higher than the applied one.

        Raises:
            GuavagapError: CONFIGURATION_REJECTED if the base epoch or a digest does
                not match or a body is missing. Nothing is changed in this case.
        """
        if delta.epoch <= self.epoch:
            return False
        head = merge_delta(self.head, delta)
        bodies = self._verify_bodies(head, delta)
        applied, rejections = self._apply_commits(head, bodies)
        snapshot = build_snapshot(head["epoch"], applied)
        self.head, self.bodies, self._applied_entries = head, bodies, applied
        self.rejections, self.snapshot = rejections, snapshot
        self.head_digest = delta.head_digest
        self._log_applied()
        return True

    def _verify_bodies(self, head: Head, delta: Delta) -> dict[str, bytes]:
        """Return the bodies of a head by digest; raises CONFIGURATION_REJECTED."""
        for digest, body in delta.bodies.items():
            if compute_digest(body) != digest:
                raise GuavagapError(
                    ErrorKind.CONFIGURATION_REJECTED,
                    f"digest mismatch of body {digest}",
                )
        bodies = {}
        for service, entry in head["entries"].items():
            if entry["is_deleted"]:
                continue
            digest = entry["digest"]
            body = delta.bodies.get(digest) or self.bodies.get(digest)
            if body is None:
                raise GuavagapError(
                    ErrorKind.CONFIGURATION_REJECTED,
                    f"missing body {digest} of service {service}",
                )
            bodies[digest] = body
        return bodies

    def _apply_commits(
        self, head: Head, bodies: dict[str, bytes]
    ) -> tuple[AppliedEntries, dict[str, Rejection]]:
        """Apply the commits of a head in epoch order, each of them atomically."""
        applied: AppliedEntries = {}
        commits: dict[int, dict[str, Entry]] = {}
        for service, entry in head["entries"].items():
            previous = self._applied_entries.get(service)
            if previous is not None and previous[0]["digest"] == entry["digest"]:
                document = None if entry["is_deleted"] else previous[1]
                applied[service] = (entry, document)
                continue
            commits.setdefault(entry["document_epoch"], {})[service] = entry
            if previous is not None:
                applied[service] = previous
        rejections: dict[str, Rejection] = {}
        for epoch in sorted(commits):
            problem = _apply_commit(applied, commits[epoch], bodies)
            if problem is None:
                continue
            for service, entry in commits[epoch].items():
                rejections[service] = Rejection(
                    service, entry["version"], epoch, problem
                )
        return applied, rejections

    def _count_unresolved_routes(self) -> int:
        """Return the number of routes whose pool is in no applied document."""
        pools = {
            (service, pool["name"])
            for service, (_, document) in self._applied_entries.items()
            if document is not None
            for pool in document["pools"]
        }
        routes = [
            route
            for by_prefix in self.snapshot.routes_by_host.values()
            for routes_of_prefix in by_prefix.values()
            for route in routes_of_prefix
        ]
        return sum((r.pool.service, r.pool.name) not in pools for r in routes)

    def describe_services(self) -> dict[str, dict]:
        """Return the state of each service as JSON values."""
        services = {}
        for service, entry in self.head["entries"].items():
            if entry["is_deleted"]:
                continue
            state = self.snapshot.services.get(service)
            rejection = self.rejections.get(service)
            services[service] = {
                "accepted_version": entry["version"],
                "applied_version": 0 if state is None else state.version,
                "stable_version": entry["stable_version"],
                "rollout": entry["rollout"],
                "rejection": None if rejection is None else rejection._asdict(),
            }
        return services

    def _log_applied(self) -> None:
        log.info(
            "configuration applied",
            epoch=self.epoch,
            digest=self.head_digest,
            services=len(self.snapshot.services),
            unresolved=self._count_unresolved_routes(),
            rejected=len(self.rejections),
        )
        for rejection in self.rejections.values():
            log.error("configuration rejected", **rejection._asdict())


def _apply_commit(
    applied: AppliedEntries, entries: dict[str, Entry], bodies: dict[str, bytes]
) -> str | None:
    """Add the services of one commit to ``applied``.

    Returns:
        The reason for a rejection, in which case ``applied`` is unchanged, or None.
    """
    validated: AppliedEntries = {}
    for service, entry in entries.items():
        if entry["is_deleted"]:
            validated[service] = (entry, None)
            continue
        checked = decode_document(bodies[entry["digest"]], service)
        if checked.is_error():
            return str(checked.error[0])
        if checked.ok["service"] != service:
            return f"the body of {service} names service {checked.ok['service']}"
        validated[service] = (entry, checked.ok)
    problem = _find_overlap({**applied, **validated}, set(validated))
    if problem is None:
        applied.update(validated)
    return problem


def _find_overlap(applied: AppliedEntries, changed: set[str]) -> str | None:
    """Return a description of the first overlap between services, or None."""
    for service in changed:
        document = applied[service][1]
        for other_service, (_, other) in applied.items():
            if other_service == service or other is None or document is None:
                continue
            for route in document["routes"]:
                for other_route in other["routes"]:
                    if routes_overlap(route, other_route):
                        return (
                            f"route {route['name']} of {service} matches the same"
                            f" requests as {other_route['name']} of {other_service}"
                        )
    return None
