"""The configuration that a node holds and the snapshot it serves from.

The epoch only rises: the check stands in :meth:`Configuration.apply`, the one
place where a delta is put in force. Each commit is taken whole or not at all;
a rejected one leaves its services on the previous version.
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
    """Why the latest version of a service is not applied on this node."""

    service: str
    version: int
    epoch: int
    reason: str


class Configuration:
    """Head, bodies and snapshot of one node.

    Attributes:
        head: the head held, including entries that were rejected.
        bodies: document bodies by digest, for other nodes.
        snapshot: what requests are routed by.
        rejections: by service.
    """

    def __init__(self):
        self.head: Head = EMPTY_HEAD
        self.head_digest = compute_head_digest(0, {})
        self.bodies: dict[str, bytes] = {}
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.rejections: dict[str, Rejection] = {}
        self._applied_entries: AppliedEntries = {}

    @property
    def epoch(self) -> int:
        """The epoch applied, 0 before the first."""
        return self.head["epoch"]

    def delta_since(self, base_epoch: int) -> Delta:
        """Return the delta that brings another node to this epoch."""
        return compute_delta(self.head, self.bodies, base_epoch)

    def encode_delta(self, delta: Delta) -> bytes:
        """Return a delta as bytes for another node."""
        return encode_delta(delta)

    def decode_delta(self, raw: bytes) -> Delta:
        """Return a delta of another node; raises FRAME_INVALID."""
        return decode_delta(raw)

    def has_body(self, digest: str) -> bool:
        """Return whether a document body is held."""
        return digest in self.bodies

    def apply(self, delta: Delta) -> bool:
        """Put a delta in force.

        Returns:
            False when its epoch is not higher than the one applied.

        Raises:
            GuavagapError: CONFIGURATION_REJECTED when the delta has a gap, a
                wrong digest or lacks a body; nothing is changed then.
        """
        if delta.epoch <= self.epoch:
            return False
        head = merge_delta(self.head, delta)
        bodies = self._verify_bodies(head, delta)
        held, rejections = self._apply_commits(head, bodies)
        snapshot = build_snapshot(head["epoch"], held)
        self.head, self.bodies, self._applied_entries = head, bodies, held
        self.rejections, self.snapshot = rejections, snapshot
        self.head_digest = delta.head_digest
        self._log_applied()
        return True

    def _verify_bodies(self, head: Head, delta: Delta) -> dict[str, bytes]:
        for digest, body in delta.bodies.items():
            if compute_digest(body) != digest:
                raise GuavagapError(
                    ErrorKind.CONFIGURATION_REJECTED, f"body {digest} is corrupt"
                )
        bodies = {}
        for service, entry in head["entries"].items():
            if entry["is_deleted"]:
                continue
            digest = entry["digest"]
            body = delta.bodies.get(digest) or self.bodies.get(digest)
            if body is None:
                raise GuavagapError(
                    ErrorKind.CONFIGURATION_REJECTED, f"no body {digest} of {service}"
                )
            bodies[digest] = body
        return bodies

    def _apply_commits(
        self, head: Head, bodies: dict[str, bytes]
    ) -> tuple[AppliedEntries, dict[str, Rejection]]:
        """Take the commits of a head in order, each whole or not at all."""
        held: AppliedEntries = {}
        commits: dict[int, dict[str, Entry]] = {}
        for service, entry in head["entries"].items():
            before = self._applied_entries.get(service)
            if before is not None and before[0]["digest"] == entry["digest"]:
                document = None if entry["is_deleted"] else before[1]
                held[service] = (entry, document)
                continue
            commits.setdefault(entry["document_epoch"], {})[service] = entry
            if before is not None:
                held[service] = before
        rejections: dict[str, Rejection] = {}
        for epoch in sorted(commits):
            problem = _apply_commit(held, commits[epoch], bodies)
            if problem is None:
                continue
            for service, entry in commits[epoch].items():
                rejections[service] = Rejection(
                    service, entry["version"], epoch, problem
                )
        return held, rejections

    def _count_unresolved_routes(self) -> int:
        """Return how many routes name a pool that the held documents lack."""
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
        """Return the state of each service as plain JSON values."""
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
    held: AppliedEntries, entries: dict[str, Entry], bodies: dict[str, bytes]
) -> str | None:
    """Add the services of one commit to ``held``.

    Returns:
        The reason of a rejection, with ``held`` unchanged.
    """
    taken: AppliedEntries = {}
    for service, entry in entries.items():
        if entry["is_deleted"]:
            taken[service] = (entry, None)
            continue
        checked = decode_document(bodies[entry["digest"]], service)
        if checked.is_error():
            return str(checked.error[0])
        if checked.ok["service"] != service:
            return f"the body of {service} is that of {checked.ok['service']}"
        taken[service] = (entry, checked.ok)
    problem = _find_overlap({**held, **taken}, set(taken))
    if problem is None:
        held.update(taken)
    return problem


def _find_overlap(held: AppliedEntries, changed: set[str]) -> str | None:
    for service in changed:
        document = held[service][1]
        for other_service, (_, other) in held.items():
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
