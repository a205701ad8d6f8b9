"""Configuration declared by an operator's system, as a mirror of its keys.

The epoch is the highest mirrored revision. A declaration is applied atomically, and
a declaration with a lower version than the current one is always rejected.
"""

import hashlib
from typing import Callable

from guavagap.configuration import Rejection
from guavagap.declarations import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
    Declaration,
    RolloutOrder,
    UnknownValue,
    check_declaration,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.metadata_store import (
    MirrorDelta,
    MirrorItem,
    decode_mirror_delta,
    encode_mirror_delta,
)
from guavagap.rollout_records import RolloutRecord, decode_record, service_of_record
from guavagap.snapshot import (
    EMPTY_SNAPSHOT,
    ServiceState,
    Snapshot,
    build_declared_snapshot,
)

__all__ = ["DeclaredConfiguration"]

log = get_logger()

ItemDecoder = Callable[[MirrorItem], Declaration | RolloutOrder | None]


class DeclaredConfiguration:
    """The mirrored items of one node and the routing snapshot built from them.

    Args:
        is_mirrored: returns whether a key is mirrored.
        decode_item: decodes an item of the operator; returns None for other items.

    Attributes:
        epoch: the highest mirrored revision.
        declaration: the current declaration.
        orders: rollout orders with their revision, by service.
        records: rollout records by service.
        snapshot: the routes of the current declaration.
        rejections: rejected items by key.
    """

    def __init__(self, is_mirrored: Callable[[str], bool], decode_item: ItemDecoder):
        self.epoch = 0
        self.declaration: Declaration | None = None
        self.orders: dict[str, tuple[int, RolloutOrder]] = {}
        self.records: dict[str, RolloutRecord] = {}
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.rejections: dict[str, Rejection] = {}
        self._is_mirrored = is_mirrored
        self._decode_item = decode_item
        self._items: dict[str, MirrorItem] = {}

    @property
    def is_complete(self) -> bool:
        """Whether requests can be routed."""
        return self.declaration is not None

    @property
    def limits(self) -> CallerLimits:
        """Limits on the requests and connections of callers."""
        if self.declaration is None:
            return DEFAULT_CALLER_LIMITS
        return self.declaration.limits

    @property
    def unknown_values(self) -> tuple[UnknownValue, ...]:
        """Values of the current declaration for which a default is used."""
        return () if self.declaration is None else self.declaration.unknown_values

    @property
    def head_digest(self) -> str:
        """Digest of the mirrored keys and their revisions."""
        rows = sorted((item.key, item.revision) for item in self._items.values())
        return hashlib.blake2b(repr(rows).encode(), digest_size=16).hexdigest()

    def delta_since(self, base_epoch: int) -> MirrorDelta:
        """Return the delta from ``base_epoch`` to the current epoch."""
        items = [item for item in self._items.values() if item.revision > base_epoch]
        return MirrorDelta(base_epoch, self.epoch, tuple(items))

    def encode_delta(self, delta: MirrorDelta) -> bytes:
        """Encode a delta for another node."""
        return encode_mirror_delta(delta)

    def decode_delta(self, raw: bytes) -> MirrorDelta:
        """Decode a delta from another node; raises FRAME_INVALID."""
        return decode_mirror_delta(raw)

    def make_delta(self, items: list[MirrorItem]) -> MirrorDelta | None:
        """Return a delta of the items newer than the mirrored ones, or None."""
        newer_items = tuple(item for item in items if self._is_newer(item))
        if not newer_items:
            return None
        epoch = max(self.epoch, *(item.revision for item in newer_items))
        return MirrorDelta(self.epoch, epoch, newer_items)

    def _is_newer(self, item: MirrorItem) -> bool:
        if not self._is_mirrored(item.key):
            return False
        current = self._items.get(item.key)
        return current is None or current.revision < item.revision

    def apply(self, delta: MirrorDelta) -> bool:
        """Merge a delta; return False if it contains no newer item."""
        newer_items = [item for item in delta.items if self._is_newer(item)]
        if not newer_items:
            return False
        for item in newer_items:
            self._items[item.key] = item
            self._apply_item(item)
        self.epoch = max(self.epoch, delta.epoch)
        self._rebuild_snapshot()
        log.info(
            "configuration applied",
            epoch=self.epoch,
            version=0 if self.declaration is None else self.declaration.version,
            keys=",".join(item.key for item in newer_items),
            routes=0 if self.declaration is None else len(self.declaration.routes),
            rejected=len(self.rejections),
        )
        return True

    def _apply_item(self, item: MirrorItem) -> None:
        try:
            self._decode_and_apply(item)
            self.rejections.pop(item.key, None)
        except GuavagapError as error:
            rejection = Rejection(item.key, 0, item.revision, error.detail)
            self.rejections[item.key] = rejection
            log.error("configuration rejected", **rejection._asdict())

    def _decode_and_apply(self, item: MirrorItem) -> None:
        service = service_of_record(item.key)
        if service is not None:
            self._apply_record(service, item)
            return
        value = self._decode_item(item)
        if isinstance(value, Declaration):
            self._apply_declaration(value)
        elif isinstance(value, RolloutOrder):
            self.orders[value.service] = (item.revision, value)

    def _apply_record(self, service: str, item: MirrorItem) -> None:
        if item.body is None:
            self.records.pop(service, None)
            return
        self.records[service] = decode_record(item.body)

    def _apply_declaration(self, declaration: Declaration) -> None:
        current = self.declaration
        if current is not None and declaration.version < current.version:
            raise GuavagapError(
                ErrorKind.CONFIGURATION_REJECTED,
                f"version {declaration.version} is lower than the current version"
                f" {current.version}",
            )
        check_declaration(declaration)
        self.declaration = declaration
        for unknown in declaration.unknown_values:
            log.warning(
                "unknown value in declaration",
                version=declaration.version,
                **unknown._asdict(),
                outcome="default used",
            )

    def revision_of(self, key: str) -> int:
        """Return the revision of a mirrored key, or 0 if there is no such key."""
        item = self._items.get(key)
        return 0 if item is None or item.body is None else item.revision

    def _rebuild_snapshot(self) -> None:
        if self.declaration is None:
            return
        states = {
            service: self._build_service_state(service)
            for service in self.declaration.connection_limits
        }
        self.snapshot = build_declared_snapshot(self.epoch, self.declaration, states)

    def _build_service_state(self, service: str) -> ServiceState:
        """Return the routing state of a service from its order and record."""
        version = self.declaration.version
        order = self.orders.get(service)
        record = self.records.get(service)
        excluded = frozenset(record.rolled_back_versions if record else ())
        stable = record.stable_version if record else ""
        if order is None:
            return ServiceState(service, version, self.epoch, stable, "", 0, excluded)
        to_version = order[1].to_version
        if record is None or record.order_revision < order[0]:
            # The ordered rollout has not started: the new version gets no traffic yet.
            return ServiceState(
                service, version, self.epoch, stable, to_version, 0, excluded
            )
        if record.rollout["state"] == "running":
            weight = record.rollout["weight_permille"]
            return ServiceState(
                service, version, self.epoch, stable, to_version, weight, excluded
            )
        return ServiceState(service, version, self.epoch, stable, "", 0, excluded)

    def describe_services(self) -> dict[str, dict]:
        """Return the state of each service as JSON values."""
        services = {}
        for service, state in self.snapshot.services.items():
            record = self.records.get(service)
            services[service] = {
                "accepted_version": state.version,
                "applied_version": state.version,
                "stable_version": state.stable_version,
                "rollout": None if record is None else dict(record.rollout),
                "rejection": None,
            }
        return services
