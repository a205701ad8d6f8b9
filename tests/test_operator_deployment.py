"""Tests of how a node maintains its entry in the metadata store."""

from types import SimpleNamespace

import curio
import testtools

from guavagap.addresses import Address
from guavagap.mesh_keys import StoredKey
from guavagap.metadata_store import (
    Lease,
    Listing,
    MirrorDelta,
    MirrorItem,
    TransactionOutcome,
)
from guavagap.node_entries import ENTRY_HOLDERS
from guavagap.operator_deployment import ENTRY_DELAY_S, OperatorDeployment
from guavagap.store_positions import StorePosition


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


class _Store:
    """A store that accepts every call."""

    era = 1

    def __init__(self):
        self.written = curio.Event()

    async def grant_lease(self, ttl_s):
        return Lease(1, ttl_s, self.era)

    async def renew_lease(self, lease):
        return True

    async def transact(self, expected, writes):
        await self.written.set()
        return TransactionOutcome(at(1), [])


class EntryTests(testtools.TestCase):
    def test_entry_missing_from_a_complete_listing_is_written_again(self):
        for is_complete, items in ((True, []), (False, [self.tombstone()])):
            store = _Store()

            async def case():
                deployment._on_listing(Listing([], at(0)))
                task = await curio.spawn(deployment._maintain_entry)
                await store.written.wait()
                store.written.clear()
                deployment._on_listing(Listing([], at(1)))
                self.assertFalse(deployment._is_entry_lost)
                deployment._on_listing(Listing(items, at(2), is_complete))
                self.assertTrue(deployment._is_entry_lost)
                await curio.timeout_after(30, store.written.wait)
                await task.cancel()

            deployment = self.make_deployment(store)
            curio.run(case)

    def make_deployment(
        self, store, rank: int = 0, has_peer=False
    ) -> OperatorDeployment:
        """Return the deployment of a node that has listed an empty store."""
        settings = SimpleNamespace(
            node_id="n1", failure_domain="a", mesh_address=Address("127.0.0.1", 1)
        )
        adapter = SimpleNamespace(dialect=None, decode_item=None, store=store)
        deployment = OperatorDeployment(settings, adapter, StoredKey(b""))
        table = SimpleNamespace(
            local_domain_rank=lambda: rank, has_alive_peer=lambda: has_peer
        )
        deployment._node = SimpleNamespace(table=table)
        deployment._is_first_holder = False
        deployment._on_listing(Listing([], at(1)))
        return deployment

    def test_entry_and_lease_are_renewed_after_a_restore_of_the_store(self):
        """The store may give the identifier of the lease to another node."""
        for learns_from_call in (True, False):
            store, granted_eras = _Store(), []

            async def grant_lease(ttl_s):
                granted_eras.append(store.era)
                return Lease(1, ttl_s, store.era)

            async def case():
                task = await curio.spawn(deployment._maintain_entry)
                await store.written.wait()
                store.written.clear()
                if learns_from_call:
                    store.era = 2
                else:
                    deployment.configuration.apply(MirrorDelta(0, at(1, 2).epoch, ()))
                    store.era = 2
                await curio.timeout_after(2.0, store.written.wait)
                await task.cancel()

            store.grant_lease = grant_lease
            deployment = self.make_deployment(store)
            curio.run(case)
            self.assertEqual([1, 2], granted_eras)

    def test_member_that_becomes_one_of_the_first_writes_its_entry(self):
        store = _Store()
        deployment = self.make_deployment(store, ENTRY_HOLDERS, has_peer=True)

        async def case():
            task = await curio.spawn(deployment._maintain_entry)
            await curio.sleep(ENTRY_DELAY_S)
            self.assertFalse(store.written.is_set())
            deployment._node.table.local_domain_rank = lambda: 0
            await curio.timeout_after(30, store.written.wait)
            await task.cancel()

        curio.run(case)

    def tombstone(self) -> MirrorItem:
        return MirrorItem("mesh/node/a/n1", at(2), None)
