"""Tests of the start of ordered rollouts."""

from types import SimpleNamespace

from guavagap.declarations import RolloutOrder
from guavagap.metadata_store import TransactionOutcome
from guavagap.rollout_repositories import RecordRolloutRepository
from tests.cases import AsyncTestCase


class StartTests(AsyncTestCase):
    def start(self, most_common_version: str) -> list:
        """Return the writes made when a node starts a pending order."""
        written = []

        async def transact(expected, writes):
            written.extend(writes)
            return TransactionOutcome(2, [])

        configuration = SimpleNamespace(
            orders={"shop": (1, RolloutOrder("shop", "v2", 14.0))},
            records={},
            snapshot=SimpleNamespace(services={"shop": None}),
            revision_of=lambda key: 0,
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
