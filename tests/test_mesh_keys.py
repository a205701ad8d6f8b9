"""Tests of how the mesh key is created, shared and kept."""

from collections import Counter
from contextlib import AsyncExitStack
from types import SimpleNamespace

import curio

from guavagap.addresses import Address
from guavagap.mesh_keys import obtain_mesh_key
from guavagap.metadata_store import StoreItem, TransactionOutcome
from guavagap.platform.store import open_store_client
from guavagap.store_positions import StorePosition
from standins.fleet import allocate_ports
from standins.platform_server import open_platform_server
from tests.cases import AsyncTestCase


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


class MeshKeyTests(AsyncTestCase):
    def test_nodes_share_one_key_and_later_nodes_use_stale_reads_only(self):
        async def case():
            address, mesh_address = (Address("127.0.0.1", p) for p in allocate_ports(2))
            async with open_platform_server(address):
                async with open_store_client(address) as first:
                    key = await obtain_mesh_key(first, mesh_address)
                async with open_store_client(address) as second:
                    stored = await obtain_mesh_key(second, mesh_address)
                    self.assertEqual(key.key_bytes, stored.key_bytes)
                    self.assertTrue(key.is_created)
                    self.assertFalse(stored.is_created)
                    self.assertEqual({"stale_get": 1}, second.call_counts)

        self.run_async(case)

    def test_few_of_many_nodes_that_start_at_once_create_the_key(self):
        node_count = 40

        async def case():
            address, *mesh_addresses = (
                Address("127.0.0.1", port) for port in allocate_ports(node_count + 1)
            )
            async with AsyncExitStack() as stack:
                await stack.enter_async_context(open_platform_server(address))
                clients = [
                    await stack.enter_async_context(open_store_client(address))
                    for _ in mesh_addresses
                ]
                async with curio.TaskGroup() as group:
                    for client, mesh_address in zip(clients, mesh_addresses):
                        await group.spawn(obtain_mesh_key, client, mesh_address)
                self.assertEqual(1, len({key.key_bytes for key in group.results}))
                return sum((client.call_counts for client in clients), Counter())

        counts = self.run_async(case)
        self.assertEqual({"stale_get", "transact"}, set(counts))
        self.assertLess(counts["transact"], node_count / 2)

    def test_conflict_without_the_current_key_is_not_taken_for_a_key(self):
        key = StoreItem("mesh/key", b"k" * 32, at(7), 0)
        store = SimpleNamespace(conflicts=[[], [key._replace(value=b"")], [key]])

        async def get(key, is_stale_allowed):
            return None, at(1)

        async def transact(expected, writes):
            return TransactionOutcome(None, store.conflicts.pop(0))

        store.get, store.transact = get, transact

        async def case():
            (port,) = allocate_ports(1)
            return await obtain_mesh_key(store, Address("127.0.0.1", port))

        self.assertEqual(key.value, self.run_async(case).key_bytes)
        self.assertEqual([], store.conflicts)
