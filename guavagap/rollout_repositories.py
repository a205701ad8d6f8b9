"""Repositories that provide active rollouts and store decisions on them."""

import time
from abc import ABC, abstractmethod
from typing import Callable, NamedTuple

from guavagap.clock import steady_s
from guavagap.commits import make_change, swap_head
from guavagap.declarations import RolloutOrder
from guavagap.errors import GuavagapError
from guavagap.evidence import COLD_REQUESTS
from guavagap.head import Entry, Head, Rollout
from guavagap.key_value import KeyValueStore
from guavagap.logs import get_logger
from guavagap.metadata_store import MetadataStore, MirrorItem, Write
from guavagap.rollout_records import (
    RolloutRecord,
    encode_record,
    is_record_of,
    record_key,
    record_rank,
)
from guavagap.rollouts import ORDERED_POLICY, SEQUENTIAL_POLICY, Decision, Policy
from guavagap.store_positions import StorePosition

__all__ = ["HeadRolloutRepository", "RecordRolloutRepository", "RolloutRepository"]

log = get_logger()

ACTIVE_STATES = ("running", "paused")
# Ordered rollouts take seconds, so evidence must arrive within tenths of a second.
ORDERED_INTERVAL_S = 0.3
# Backend servers of ordered rollouts are warm after a few requests each.
ORDERED_COLD_REQUESTS = 5
# A confirmed write is usually read back within tenths of a second. One that is not may
# have been lost by a restore of the store before any node has read it.
CONFIRMED_WRITE_GRACE_S = 1.0


class _ConfirmedWrite(NamedTuple):
    """A record that the store has confirmed, and the steady time of that."""

    record: RolloutRecord
    item: MirrorItem
    confirmed_at_s: float


class RolloutRepository(ABC):
    """The rollouts of all services.

    Attributes:
        interval_s: time between evaluations.
        policy: stages and statistical thresholds of the rollouts.
        cold_requests: number of first requests of each backend server whose latency
            is ignored.
    """

    interval_s: float
    policy: Policy
    cold_requests: int

    @property
    def is_store_lost(self) -> bool:
        """Whether the store is unavailable, so that decisions cannot be written."""
        return False

    @abstractmethod
    def active_rollouts(self) -> dict[str, Rollout]:
        """Return the rollouts without a verdict, by service."""

    def pending_rollout_services(self) -> list[str]:
        """Return the services whose rollouts were ordered but have not started."""
        return []

    async def restore_lost(self, is_evaluator: Callable[[str], bool]) -> None:
        """Write decisions again that the store has confirmed and lost since."""

    async def start_pending(self, is_evaluator: Callable[[str], bool]) -> None:
        """Start the pending rollouts that this node evaluates."""

    @abstractmethod
    async def write(self, service: str, rollout: Rollout, decision: Decision) -> None:
        """Store a decision, unless the rollout has changed since it was read."""


class HeadRolloutRepository(RolloutRepository):
    """Rollouts in the head, for deployments in which teams commit documents.

    Args:
        node: the node that it belongs to, a :class:`guavagap.node.Node`.
        platform: client of the store that contains the head.
    """

    interval_s = 1.0
    policy = SEQUENTIAL_POLICY
    cold_requests = COLD_REQUESTS

    def __init__(self, node, platform: KeyValueStore):
        self._node = node
        self._platform = platform

    def active_rollouts(self):
        rollouts = {}
        for service, entry in self._node.configuration.head["entries"].items():
            rollout = entry["rollout"]
            if rollout is not None and rollout["state"] in ACTIVE_STATES:
                rollouts[service] = rollout
        return rollouts

    async def write(self, service, rollout, decision):
        change = make_change("rollout", self._node.settings.node_id, decision.reason)

        async def edit(head: Head) -> Head | None:
            entry = head["entries"].get(service)
            if entry is None or entry["rollout"] != rollout:
                return None
            epoch = head["epoch"] + 1
            change["versions"] = {service: entry["version"]}
            new_entry = _apply_decision_to_entry(entry, decision) | {"epoch": epoch}
            entries = head["entries"] | {service: new_entry}
            return {"epoch": epoch, "change": None, "entries": entries}

        try:
            commit = await swap_head(self._platform, change, edit)
        except GuavagapError as error:
            log.info("decision not written", service=service, why=str(error))
            return
        if commit.versions:
            _log_decision(service, rollout, decision)


class RecordRolloutRepository(RolloutRepository):
    """Rollouts that an operator's system orders, stored as rollout records.

    Args:
        node: the node that it belongs to, a :class:`guavagap.node.Node`.
        store: client of the store that contains the records.
        encode_status: returns the key and value that report a rollout's state to the
            operator.

    Attributes:
        rewritten_count: how often this node has written a lost record again.
    """

    interval_s = ORDERED_INTERVAL_S
    policy = ORDERED_POLICY
    cold_requests = ORDERED_COLD_REQUESTS

    def __init__(
        self,
        node,
        store: MetadataStore,
        encode_status: Callable[[str, Rollout], tuple[str, bytes]],
    ):
        self._node = node
        self._store = store
        self._encode_status = encode_status
        self._confirmed: dict[str, _ConfirmedWrite] = {}
        self.rewritten_count = 0

    @property
    def is_store_lost(self):
        return self._store.is_unavailable

    def pending_rollout_services(self):
        return [
            name for name in self._node.configuration.orders if self._is_pending(name)
        ]

    def active_rollouts(self):
        configuration = self._node.configuration
        return {
            service: record.rollout
            for service, record in configuration.records.items()
            if record.rollout["state"] in ACTIVE_STATES
            and not self._is_pending(service)
        }

    def _is_pending(self, service: str) -> bool:
        order = self._node.configuration.orders.get(service)
        record = self._node.configuration.records.get(service)
        if order is None:
            return False
        return record is None or not is_record_of(record, *order)

    async def restore_lost(self, is_evaluator):
        self._keep_confirmed_writes()
        if self.is_store_lost:
            return
        configuration = self._node.configuration
        for service, record in list(configuration.records.items()):
            if not configuration.is_behind(record_key(service)):
                continue
            if is_evaluator(service) and not self._is_pending(service):
                await self._write_again(service, record)

    def _keep_confirmed_writes(self) -> None:
        """Put confirmed writes in force that were not read back from the store."""
        configuration = self._node.configuration
        for service, write in list(self._confirmed.items()):
            held = configuration.records.get(service)
            age_s = steady_s() - write.confirmed_at_s
            is_restored = configuration.position.era > write.item.position.era
            if held is not None and record_rank(held) >= record_rank(write.record):
                del self._confirmed[service]
            elif is_restored or age_s > CONFIRMED_WRITE_GRACE_S:
                log.warning(
                    "confirmed decision not read back, kept in force",
                    service=service,
                    sequence=write.record.sequence,
                    position=str(write.item.position),
                )
                configuration.apply_write(write.item)

    async def _write_again(self, service: str, record: RolloutRecord) -> None:
        """Write a record that a restore of the store has lost."""
        order = self._node.configuration.orders.get(service)
        if order is not None:
            position = max(record.order_position, order[0])
            record = record._replace(order_position=position)
        if await self._write_record(service, record):
            self.rewritten_count += 1
            log.warning(
                "lost decision written again",
                service=service,
                version=record.rollout["to_version"],
                state=record.rollout["state"],
            )

    async def start_pending(self, is_evaluator):
        for service in self.pending_rollout_services():
            if is_evaluator(service):
                await self._start_rollout(
                    service, *self._node.configuration.orders[service]
                )

    async def _start_rollout(
        self, service: str, position: StorePosition, order: RolloutOrder
    ) -> None:
        previous = self._node.configuration.records.get(service)
        now_s = time.time()
        state = self._node.configuration.snapshot.services.get(service)
        if state is None:
            return
        from_version = self._node.router.most_common_version(state)
        if not from_version:
            # A node that has just started knows only a few other nodes. The evaluation
            # needs a version to compare with.
            log.debug(
                "rollout not started", service=service, why="no version to compare with"
            )
            return
        rollout: Rollout = {
            "from_version": from_version,
            "to_version": order.to_version,
            "state": "running",
            "weight_permille": 0,
            "started_at_s": now_s,
            "stage_started_at_s": now_s,
            "complete_by_s": now_s + order.duration_s,
            "reason": "ordered",
        }
        record = RolloutRecord(
            position,
            previous.stable_version if previous else "",
            previous.rolled_back_versions if previous else (),
            rollout,
            previous.sequence if previous else 0,
        )
        if await self._write_record(service, record):
            log.info("rollout begun", service=service, **rollout)

    async def write(self, service, rollout, decision):
        record = self._node.configuration.records.get(service)
        if record is None or record.rollout != rollout:
            return
        if await self._write_record(
            service, _apply_decision_to_record(record, decision)
        ):
            _log_decision(service, rollout, decision)

    async def _write_record(self, service: str, record: RolloutRecord) -> bool:
        """Write a record and the operator's status key in one transaction.

        If the response is lost, either the record appears in the mirror or the same
        decision is made again.

        Args:
            service: the service.
            record: the record with the sequence of the one that it replaces.

        Returns:
            Whether the store has confirmed the write.
        """
        record = record._replace(sequence=record.sequence + 1)
        key, body = record_key(service), encode_record(record)
        status_key, status = self._encode_status(service, record.rollout)
        writes = [Write(key, body), Write(status_key, status)]
        condition = self._node.configuration.condition_of(key)
        try:
            outcome = await self._store.transact({key: condition}, writes)
        except GuavagapError as error:
            log.info("decision not written", service=service, why=str(error))
            return False
        if outcome.position is None:
            log.info("decision not written", service=service, why="conflicting write")
            return False
        item = MirrorItem(key, outcome.position, body)
        self._confirmed[service] = _ConfirmedWrite(record, item, steady_s())
        return True


def _log_decision(service: str, rollout: Rollout, decision: Decision) -> None:
    log.info(
        "rollout decision",
        service=service,
        version=rollout["to_version"],
        weight_permille=decision.weight_permille,
        is_complete=decision.is_complete,
        is_bad=decision.finding is not None,
        reason=decision.reason,
    )


def _apply_decision_to_rollout(rollout: Rollout, decision: Decision) -> Rollout:
    """Return the rollout with a decision applied."""
    rollout = rollout | {"reason": decision.reason}
    if decision.finding is not None:
        return rollout | {"state": "rolled_back", "weight_permille": 0}
    if decision.is_complete:
        return rollout | {"state": "completed"}
    if decision.weight_permille != rollout["weight_permille"]:
        return rollout | {
            "weight_permille": decision.weight_permille,
            "stage_started_at_s": time.time(),
        }
    return rollout


def _apply_decision_to_entry(entry: Entry, decision: Decision) -> Entry:
    """Return the entry of the head with a decision on its rollout applied."""
    rollout = _apply_decision_to_rollout(entry["rollout"], decision)
    entry = entry | {"rollout": rollout}
    if rollout["state"] == "rolled_back":
        versions = [*entry["rolled_back_versions"], rollout["to_version"]]
        return entry | {"rolled_back_versions": versions}
    if rollout["state"] == "completed":
        return entry | {"stable_version": rollout["to_version"]}
    return entry


def _apply_decision_to_record(
    record: RolloutRecord, decision: Decision
) -> RolloutRecord:
    """Return the record with a decision on its rollout applied."""
    rollout = _apply_decision_to_rollout(record.rollout, decision)
    record = record._replace(rollout=rollout)
    if rollout["state"] == "rolled_back":
        versions = (*record.rolled_back_versions, rollout["to_version"])
        return record._replace(rolled_back_versions=versions)
    if rollout["state"] == "completed":
        return record._replace(stable_version=rollout["to_version"])
    return record
