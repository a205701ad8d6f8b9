"""Tests of the start of ordered rollouts, and of decisions that the store has lost."""

from types import SimpleNamespace
from unittest.mock import patch

import testtools

from guavagap.declarations import RolloutOrder
from guavagap.declared_configuration import DeclaredConfiguration
from guavagap.metadata_store import MirrorDelta, MirrorItem, TransactionOutcome
from guavagap.platform.decode import decode_item, encode_status
from guavagap.rollout_records import (
    RolloutRecord,
    decode_record,
    encode_record,
    is_record_of,
)
from guavagap.rollout_repositories import RecordRolloutRepository
from guavagap.store_positions import StorePosition
from tests.cases import AsyncTestCase


class StartTests(AsyncTestCase):
    def start(self, most_common_version: str) -> list:
        """Return the writes made when a node starts a pending order."""
        written = []

        async def transact(expected, writes):
            written.extend(writes)
            return TransactionOutcome(StorePosition(1, 2), [])

        configuration = SimpleNamespace(
            orders={"shop": (StorePosition(1, 1), RolloutOrder("shop", "v2", 14.0))},
            records={},
            snapshot=SimpleNamespace(services={"shop": None}),
            condition_of=lambda key: StorePosition(1, 0),
        )
        configuration.snapshot.services["shop"] = SimpleNamespace()
        router = SimpleNamespace(most_common_version=lambda state: most_common_version)
        node = SimpleNamespace(configuration=configuration, router=router)
        repository = RecordRolloutRepository(
            node,
            SimpleNamespace(transact=transact),
            lambda service, rollout: ("status", b""),
        )
        self.run_async(repository.start_pending, lambda service: True)
        return written

    def test_started_order_writes_the_record_and_the_status(self):
        keys = [write.key for write in self.start("v1")]
        self.assertEqual(["mesh/rollout/shop", "status"], keys)

    def test_order_is_not_started_without_a_version_to_compare_with(self):
        self.assertEqual([], self.start(""))


def at(era: int, revision: int) -> StorePosition:
    return StorePosition(era, revision)


def make_record(state: str, sequence: int, to_version: str = "v2") -> RolloutRecord:
    rollout = {
        "from_version": "v1",
        "to_version": to_version,
        "state": state,
        "weight_permille": 30,
        "started_at_s": 1.0,
        "stage_started_at_s": 1.0,
        "complete_by_s": 15.0,
        "reason": "test",
    }
    return RolloutRecord(at(1, 5), "", (), rollout, sequence)


class OrderTests(testtools.TestCase):
    def test_order_that_is_written_again_after_a_restore_is_not_a_new_one(self):
        record, order = make_record("completed", 7), RolloutOrder("shop", "v2", 14.0)
        self.assertTrue(is_record_of(record, at(1, 5), order))
        self.assertTrue(is_record_of(record, at(2, 9), order))
        self.assertFalse(is_record_of(record, at(1, 6), order))
        other = RolloutOrder("shop", "v3", 14.0)
        self.assertFalse(is_record_of(record, at(2, 3), other))

    def test_record_of_an_earlier_release_is_read(self):
        body = encode_record(make_record("completed", 0))
        body = body.replace(b'"order_position":[1,5]', b'"order_revision":5')
        body = body.replace(b',"sequence":0', b"")
        record = decode_record(body)
        self.assertEqual((at(0, 5), 0), (record.order_position, record.sequence))


class LostDecisionTests(AsyncTestCase):
    """What the store has confirmed and lost is written again by the evaluator."""

    def setUp(self):
        super().setUp()
        self.calls = []
        self.outcome = TransactionOutcome(at(2, 9), [])
        self.configuration = DeclaredConfiguration(lambda key: True, decode_item)
        store = SimpleNamespace(transact=self.transact, is_unavailable=False)
        self.repository = RecordRolloutRepository(
            SimpleNamespace(configuration=self.configuration), store, encode_status
        )

    async def transact(self, expected, writes):
        self.calls.append((expected, writes))
        return self.outcome

    def read(self, position, *records: tuple[StorePosition, RolloutRecord]) -> None:
        """Mirror a listing at a position."""
        items = tuple(
            MirrorItem("mesh/rollout/shop", shown_at, encode_record(record))
            for shown_at, record in records
        )
        self.configuration.apply(MirrorDelta(0, position.epoch, items))

    def restore_lost(self, is_evaluator: bool = True) -> None:
        self.run_async(self.repository.restore_lost, lambda service: is_evaluator)

    def test_verdict_of_which_the_copy_shows_an_earlier_stage_is_written_again(self):
        self.read(at(1, 20), (at(1, 20), make_record("completed", 7)))
        self.read(at(2, 8), (at(2, 6), make_record("running", 5)))
        self.assertEqual(
            "completed", self.configuration.records["shop"].rollout["state"]
        )
        self.restore_lost(is_evaluator=False)
        self.assertEqual([], self.calls)
        self.restore_lost()
        ((expected, (record_write, status_write)),) = self.calls
        self.assertEqual({"mesh/rollout/shop": at(2, 6)}, expected)
        self.assertEqual(8, decode_record(record_write.value).sequence)
        self.assertIn(b"completed", status_write.value)

    def test_verdict_that_the_copy_lacks_is_written_as_a_new_key(self):
        self.read(at(1, 20), (at(1, 20), make_record("rolled_back", 7)))
        self.read(at(2, 8))
        self.restore_lost()
        self.assertEqual({"mesh/rollout/shop": at(2, 0)}, self.calls[0][0])

    def test_record_that_is_shown_again_is_not_written(self):
        record = make_record("completed", 7)
        self.read(at(1, 20), (at(1, 20), record))
        self.read(at(2, 8), (at(2, 8), record))
        self.restore_lost()
        self.assertEqual([], self.calls)

    def test_confirmed_verdict_that_no_node_has_read_stays_in_force(self):
        self.read(at(1, 20), (at(1, 20), make_record("running", 7)))
        self.outcome = TransactionOutcome(at(1, 21), [])
        verdict = make_record("rolled_back", 7)
        self.run_async(self.repository._write_record, "shop", verdict)
        self.read(at(2, 8), (at(2, 6), make_record("running", 5)))
        self.outcome = TransactionOutcome(None, [])
        self.restore_lost()
        record = self.configuration.records["shop"]
        self.assertEqual(("rolled_back", 8), (record.rollout["state"], record.sequence))
        self.assertEqual(at(2, 6), self.configuration.condition_of("mesh/rollout/shop"))

    def test_confirmed_verdict_is_kept_if_the_watch_does_not_return_it(self):
        self.read(at(1, 20), (at(1, 20), make_record("running", 7)))
        self.outcome = TransactionOutcome(at(1, 21), [])
        verdict = make_record("completed", 7)
        self.run_async(self.repository._write_record, "shop", verdict)
        self.restore_lost()
        self.assertEqual(7, self.configuration.records["shop"].sequence)
        with patch("guavagap.rollout_repositories.CONFIRMED_WRITE_GRACE_S", 0.0):
            self.restore_lost()
        self.assertEqual(8, self.configuration.records["shop"].sequence)
        self.assertEqual(at(1, 20), self.configuration.position)
