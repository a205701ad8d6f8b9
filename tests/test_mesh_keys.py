"""Tests of how the mesh key is created, shared and kept."""

import random
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace
from unittest.mock import patch

import curio

from guavagap.addresses import Address
from guavagap.mesh_keys import (
    MESH_KEY,
    MeshKeySync,
    era_of_key,
    is_older_key,
    obtain_mesh_key,
)
from guavagap.metadata_store import StoreItem, TransactionOutcome, Write
from guavagap.platform.store import open_store_client
from guavagap.store_positions import StorePosition
from standins.fleet import allocate_ports
from standins.platform_server import open_platform_server
from tests.cases import AsyncTestCase
from tests.virtual_time import run_in_virtual_time

SETTLE_S = 3.0


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


def make_key(era: int, secret: bytes) -> bytes:
    return era.to_bytes(4, "big") + secret * 32


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


class RestoredKeyTests(AsyncTestCase):
    """Nodes that run and nodes that start agree on one key after a restore."""

    def run_case(self, case):
        with patch("guavagap.mesh_keys.random", random.Random(3)):
            return run_in_virtual_time(case, modules=("standins.platform_server",))

    @asynccontextmanager
    async def open_syncs(self, server_address, keys: dict[str, bytes], adopted):
        """Yield the clients of nodes that keep their key in the store, by node."""

        def adopt_for(node_id: str):
            async def adopt(key_bytes: bytes) -> None:
                adopted[node_id] = key_bytes

            return adopt

        async with AsyncExitStack() as stack:
            group = curio.TaskGroup()
            clients = {}
            for node_id, key_bytes in keys.items():
                client = await stack.enter_async_context(
                    open_store_client(server_address)
                )
                key_sync = MeshKeySync(
                    client, key_bytes, lambda: True, adopt_for(node_id)
                )
                clients[node_id] = client
                await group.spawn(key_sync.run)
                await group.spawn(self.list_forever, client, key_sync)
            yield clients
            await group.cancel_remaining()

    async def list_forever(self, client, key_sync) -> None:
        while True:
            key_sync.on_listing(await client.list_prefix(""))
            await curio.sleep(0.3)

    def play(self, keys: dict[str, bytes], stored: bytes | None):
        """Return the key in the store and the adopted keys after a restore."""

        async def case(clock):
            address, adopted = Address("127.0.0.1", allocate_ports(1)[0]), {}
            async with open_platform_server(address) as server:
                await server.store.transact({}, [(MESH_KEY, b"lost", 0)], [])
                await server.restore(60.0)
                if stored is not None:
                    await server.store.transact({}, [(MESH_KEY, stored, 0)], [])
                async with self.open_syncs(address, keys, adopted):
                    await curio.sleep(SETTLE_S)
                return server.store.get(MESH_KEY).value, adopted

        return self.run_case(case)

    def test_key_that_a_restore_has_lost_is_written_again(self):
        key = make_key(1, b"k")
        self.assertEqual((key, {}), self.play({"a1": key, "a2": key}, None))

    def test_key_is_written_again_after_a_refused_write(self):
        key = make_key(1, b"k")

        async def case(clock):
            address = Address("127.0.0.1", allocate_ports(1)[0])
            async with (
                open_platform_server(address) as server,
                open_store_client(address) as client,
            ):
                key_sync = MeshKeySync(client, key, lambda: True, None)
                key_sync.on_listing(await client.list_prefix(""))
                server.knobs["busy_status"] = 503
                task = await curio.spawn(key_sync.run)
                await curio.sleep(SETTLE_S)
                server.knobs["busy_status"] = 0
                await curio.sleep(SETTLE_S)
                await task.cancel()
                return server.store.get(MESH_KEY).value

        self.assertEqual(key, self.run_case(case))

    def test_key_of_a_node_that_started_meanwhile_is_replaced_by_the_older_one(self):
        old, young = make_key(1, b"k"), make_key(2, b"a")
        stored, adopted = self.play({"a1": old, "a2": old, "b1": young}, young)
        self.assertEqual(old, stored)
        self.assertEqual({"b1": old}, adopted)

    def test_isolated_node_checks_its_key(self):
        old, young = make_key(1, b"k"), make_key(2, b"a")

        async def case(clock):
            address, adopted = Address("127.0.0.1", allocate_ports(1)[0]), []

            async def adopt(key_bytes):
                adopted.append(key_bytes)

            async with (
                open_platform_server(address) as server,
                open_store_client(address) as client,
            ):
                await server.store.transact({}, [(MESH_KEY, old, 0)], [])
                key_sync = MeshKeySync(client, young, lambda: False, adopt)
                task = await curio.spawn(key_sync.run)
                await curio.sleep(10.0)
                await task.cancel()
            return adopted

        self.assertEqual([old], self.run_case(case))

    def test_key_tells_the_era_of_its_creation(self):
        self.assertEqual(7, era_of_key(make_key(7, b"k")))
        self.assertEqual(0, era_of_key(b"k" * 32))
        self.assertTrue(is_older_key(make_key(1, b"z"), make_key(2, b"a")))
        self.assertFalse(is_older_key(make_key(2, b"a"), make_key(1, b"z")))

    def test_created_key_carries_the_era_of_the_store(self):
        async def case():
            address, mesh_address = (Address("127.0.0.1", p) for p in allocate_ports(2))
            async with open_platform_server(address) as server:
                await server.restore(60.0)
                async with open_store_client(address) as client:
                    key = await obtain_mesh_key(client, mesh_address)
                    await client.transact({}, [Write("a", b"1")])
                return era_of_key(key.key_bytes)

        self.assertEqual(2, self.run_async(case))
