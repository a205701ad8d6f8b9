"""Configuration declared by an operator's system, as a mirror of its keys.

The epoch is the position up to which the store's history is mirrored. A declaration is
applied atomically, and a declaration with a lower version than the current one is
always rejected.

Contents rank by the version of a declaration and by the number of decisions of a
rollout record, so a restore of the store puts nothing older in force; see
:mod:`guavagap.mirror`.
"""

from typing import Callable

from guavagap.configuration import Rejection
from guavagap.customers import NO_CUSTOMERS, CustomerDirectory
from guavagap.declarations import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
    ColdLimit,
    Declaration,
    EvacuationOrder,
    RolloutOrder,
    UnknownValue,
    check_declaration,
)
from guavagap.errors import GuavagapError
from guavagap.logs import get_logger
from guavagap.metadata_store import (
    Listing,
    MirrorDelta,
    MirrorItem,
    decode_mirror_delta,
    encode_mirror_delta,
)
from guavagap.mirror import INVALID_RANK, Content, Mirror
from guavagap.rollout_records import (
    RolloutRecord,
    decode_record,
    is_record_of,
    record_rank,
    service_of_record,
)
from guavagap.snapshot import (
    EMPTY_SNAPSHOT,
    DeclaredSnapshotBuilder,
    ServiceState,
    Snapshot,
)
from guavagap.store_positions import (
    BEGINNING,
    StorePosition,
    describe_epoch,
    position_of_epoch,
)

__all__ = ["DeclaredConfiguration"]

log = get_logger()

ItemDecoder = Callable[
    [MirrorItem], Declaration | RolloutOrder | EvacuationOrder | None
]


class DeclaredConfiguration:
    """The mirrored items of one node and the routing snapshot built from them.

    Args:
        is_mirrored: returns whether a key is mirrored.
        decode_item: decodes an item of the operator; returns None for other items.

    Attributes:
        declaration: the current declaration.
        orders: rollout orders with their position, by service.
        records: rollout records by service.
        evacuations: positions of the evacuation orders by failure domain.
        evacuated_domains: failure domains to whose backend servers nothing is to be
            sent.
        evacuation_ends: positions of the latest withdrawals of orders, by failure
            domain, that were learned after the first declaration. The order itself may
            never have been learned.
        snapshot: the routes of the current declaration.
    """

    # Two nodes at one epoch may know different items of before a restore.
    is_mergeable = True

    def __init__(self, is_mirrored: Callable[[str], bool], decode_item: ItemDecoder):
        self.declaration: Declaration | None = None
        self.orders: dict[str, tuple[StorePosition, RolloutOrder]] = {}
        self.records: dict[str, RolloutRecord] = {}
        self.evacuations: dict[str, StorePosition] = {}
        self.evacuated_domains: frozenset[str] = frozenset()
        self.evacuation_ends: dict[str, StorePosition] = {}
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self._customers: CustomerDirectory = NO_CUSTOMERS
        self._is_mirrored = is_mirrored
        self._decode_operator_item = decode_item
        self._mirror = Mirror(self._decode_item)
        self._snapshot_builder = DeclaredSnapshotBuilder()

    @property
    def position(self) -> StorePosition:
        """The position up to which the store's history is mirrored."""
        return self._mirror.position

    @property
    def epoch(self) -> int:
        """The mirrored position as the integer that nodes exchange."""
        return self.position.epoch

    @property
    def rejections(self) -> dict[str, Rejection]:
        """Rejected items by key."""
        return self._mirror.rejections

    @property
    def keys_behind(self) -> list[str]:
        """Keys of which the store shows something older than what is in force."""
        return self._mirror.keys_behind

    def is_behind(self, key: str) -> bool:
        """Return whether the store shows something older of a key than is in force."""
        return self._mirror.is_behind(key)

    def condition_of(self, key: str) -> StorePosition:
        """Return the position at which the store is known to show a key.

        It is the start of the era if the store does not have the key.
        """
        return self._mirror.condition_of(key)

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
    def cold_limits(self) -> dict[str, ColdLimit]:
        """Limits of cold backend servers by service."""
        return {} if self.declaration is None else self.declaration.cold_limits

    @property
    def unknown_values(self) -> tuple[UnknownValue, ...]:
        """Values of the current declaration for which a default is used."""
        return () if self.declaration is None else self.declaration.unknown_values

    @property
    def head_digest(self) -> str:
        """Digest of the mirrored keys and their positions."""
        return self._mirror.digest

    def delta_since(self, base_epoch: int) -> MirrorDelta:
        """Return the delta from ``base_epoch`` to the current epoch."""
        items = self._mirror.items_since(position_of_epoch(base_epoch))
        return MirrorDelta(base_epoch, self.epoch, items)

    def encode_delta(self, delta: MirrorDelta) -> bytes:
        """Encode a delta for another node, with patches of what it has."""
        if not delta.base_epoch:
            return encode_mirror_delta(delta)
        base = position_of_epoch(delta.base_epoch)
        return encode_mirror_delta(delta, lambda key: self._mirror.body_at(key, base))

    def decode_delta(self, raw: bytes) -> MirrorDelta:
        """Decode a delta from another node; raises FRAME_INVALID.

        It is a :class:`guavagap.patches.PatchBaseError` if the delta is a patch of what
        this node does not have.
        """
        return decode_mirror_delta(raw, self._mirror.body_of)

    def apply_listing(self, listing: Listing) -> MirrorDelta | None:
        """Merge what was read from the store.

        Returns:
            The delta for nodes that have not read it, or None if there is no change.
        """
        if listing.as_of.era < self.position.era:
            log.info(
                "listing of an earlier era ignored",
                as_of=str(listing.as_of),
                position=str(self.position),
            )
            return None
        items = tuple(item for item in listing.items if self._is_mirrored(item.key))
        if listing.as_of.era > self.position.era:
            self.apply(MirrorDelta(0, listing.as_of.epoch, items))
            return self.delta_since(0)
        base_epoch = self.epoch
        if listing.is_complete:
            items += self._find_withdrawals(listing)
        newer_items = tuple(item for item in items if self._mirror.is_news(item))
        if not newer_items:
            return None
        position = max(self.position, *(item.position for item in newer_items))
        delta = MirrorDelta(base_epoch, position.epoch, newer_items)
        self.apply(delta)
        return delta

    def _find_withdrawals(self, listing: Listing) -> tuple[MirrorItem, ...]:
        """Return the removals of evacuation orders that a complete listing lacks.

        A watch does not tell of a removal whose history the store has dropped. An order
        that is kept although a restore has lost it is not among them.
        """
        listed = {item.key for item in listing.items} | set(listing.changed_keys)
        return tuple(
            MirrorItem(item.key, listing.as_of, None)
            for item, value, *_ in self._mirror.contents.values()
            if isinstance(value, EvacuationOrder)
            and item.key not in listed
            and item.outranks is None
            and item.position <= listing.as_of
        )

    def apply(self, delta: MirrorDelta) -> bool:
        """Merge a delta; return False if it contains nothing new."""
        return self._merge(delta.items, position_of_epoch(delta.epoch))

    def apply_write(self, item: MirrorItem) -> bool:
        """Merge an item that this node has written; return whether it is new.

        The epoch stays, since the changes before the item may not be mirrored.
        """
        return self._merge((item,), BEGINNING)

    def _merge(self, items: tuple[MirrorItem, ...], position: StorePosition) -> bool:
        is_newer = position > self.position
        mirrored = tuple(item for item in items if self._is_mirrored(item.key))
        removed_keys = self._find_removed_keys(mirrored)
        changed = self._mirror.merge(mirrored, position)
        for content in changed:
            self._take(content)
            if content.item.body is None and content.item.key in removed_keys:
                self._record_withdrawal(content.item)
        if changed:
            self._collect_evacuations()
            self._rebuild_snapshot()
            self._log_applied(changed)
        return is_newer or bool(changed)

    def _take(self, content: Content) -> None:
        """Put changed content in force."""
        value = content.value
        service = service_of_record(content.item.key)
        if isinstance(value, RolloutOrder):
            self.orders[value.service] = (content.item.position, value)
        elif isinstance(value, RolloutRecord):
            self.records[service] = value
        elif service is not None and content.problem is None:
            self.records.pop(service, None)
        elif isinstance(value, Declaration) and value is not self.declaration:
            self._declare(value)

    def _find_removed_keys(self, items: tuple[MirrorItem, ...]) -> frozenset[str]:
        """Return the keys whose removal is a change since the node has started.

        After a restore of the store, what was removed before may be removed again.
        """
        if not self.is_complete:
            return frozenset()
        return frozenset(
            item.key
            for item in items
            if item.body is None and self._is_new_removal(item)
        )

    def _is_new_removal(self, item: MirrorItem) -> bool:
        held = self._mirror.contents.get(item.key)
        if held is None or held.item.body is not None:
            return True
        is_same_era = held.item.position.era == item.position.era
        return is_same_era and held.item.position < item.position

    def _record_withdrawal(self, item: MirrorItem) -> None:
        """Record the removal of a key if it is that of an evacuation order."""
        try:
            # The key alone makes an order.
            value = self._decode_operator_item(item._replace(body=b""))
        except GuavagapError:
            return
        if isinstance(value, EvacuationOrder):
            self.evacuation_ends[value.failure_domain] = item.position

    def _collect_evacuations(self) -> None:
        self.evacuations = {
            content.value.failure_domain: content.item.position
            for content in self._mirror.contents.values()
            if isinstance(content.value, EvacuationOrder)
        }
        self.evacuated_domains = frozenset(self.evacuations)

    def _declare(self, declaration: Declaration) -> None:
        """Put a declaration in force, and log what has not been logged for the last."""
        known_values = self.unknown_values
        self.declaration = declaration
        self._customers = CustomerDirectory(declaration.customers)
        for unknown in declaration.unknown_values:
            if unknown in known_values:
                continue
            log.warning(
                "unknown value in declaration",
                version=declaration.version,
                **unknown._asdict(),
                outcome="default used",
            )

    def _decode_item(self, item: MirrorItem) -> Content:
        try:
            if service_of_record(item.key) is not None:
                record = None if item.body is None else decode_record(item.body)
                return Content(item, record, record_rank(record) if record else 0)
            value = self._decode_operator_item(item)
            if not isinstance(value, Declaration):
                return Content(item, value, 0)
            check_declaration(value, self.declaration)
            return Content(item, value, value.version)
        except GuavagapError as error:
            return Content(item, None, INVALID_RANK, error.detail)
        except Exception as error:
            # Another writer's value must not keep the other items from being applied.
            log.error("item cannot be decoded", key=item.key, exc_info=error)
            return Content(item, None, INVALID_RANK, repr(error))

    def _log_applied(self, changed: list[Content]) -> None:
        log.info(
            "configuration applied",
            epoch=describe_epoch(self.epoch),
            version=0 if self.declaration is None else self.declaration.version,
            keys=",".join(content.item.key for content in changed),
            routes=0 if self.declaration is None else len(self.declaration.routes),
            rejected=len(self.rejections),
            behind=len(self.keys_behind),
        )

    def _rebuild_snapshot(self) -> None:
        if self.declaration is None:
            return
        states = {
            service: self._build_service_state(service)
            for service in self.declaration.connection_limits
        }
        self.snapshot = self._snapshot_builder.build(
            self.epoch, self.declaration, states, self._customers
        )

    def _build_service_state(self, service: str) -> ServiceState:
        """Return the routing state of a service from its order and record."""
        # Neither version nor epoch, so that routes of an unchanged state are kept.
        version = epoch = 0
        order = self.orders.get(service)
        record = self.records.get(service)
        excluded = frozenset(record.rolled_back_versions if record else ())
        stable = record.stable_version if record else ""
        if order is None:
            return ServiceState(service, version, epoch, stable, "", 0, excluded)
        to_version = order[1].to_version
        if record is None or not is_record_of(record, *order):
            # The ordered rollout has not started: the new version gets no traffic yet.
            return ServiceState(
                service, version, epoch, stable, to_version, 0, excluded
            )
        if record.rollout["state"] == "running":
            weight = record.rollout["weight_permille"]
            return ServiceState(
                service, version, epoch, stable, to_version, weight, excluded
            )
        return ServiceState(service, version, epoch, stable, "", 0, excluded)

    def describe_services(self) -> dict[str, dict]:
        """Return the state of each service as JSON values."""
        services = {}
        for service, state in self.snapshot.services.items():
            record = self.records.get(service)
            services[service] = {
                "accepted_version": self.declaration.version,
                "applied_version": self.declaration.version,
                "stable_version": state.stable_version,
                "rollout": None if record is None else dict(record.rollout),
                "rejection": None,
            }
        return services
