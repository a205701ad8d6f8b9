"""Tests of the start of ordered rollouts, and of decisions that the store has lost."""

from types import SimpleNamespace

import testtools

from guavagap.declarations import RolloutOrder
from guavagap.metadata_store import TransactionOutcome
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
