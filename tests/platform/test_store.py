"""Tests of the metadata store client against the fake metadata store."""

import curio

from guavagap.addresses import Address
from guavagap.errors import ErrorKind
from guavagap.metadata_store import Write
from guavagap.platform.store import open_store_client
from standins.fleet import allocate_ports
from standins.platform_server import PAGE_ITEMS, open_platform_server
from tests.cases import AsyncTestCase


class StoreClientTests(AsyncTestCase):
    def check(self, function):
        self.run_async(self.with_client, function)

    async def with_client(self, function):
        address = Address("127.0.0.1", allocate_ports(1)[0])
        async with open_platform_server(address) as server:
            async with open_store_client(address, 1.0) as client:
                await function(server, client)

    def test_list_reads_every_page(self):
        async def case(server, client):
            count = PAGE_ITEMS + 20
            for number in range(count):
                await server.store.transact({}, [(f"a/{number:04}", b"1", 0)], [])
            listing = await client.list_prefix("a/")
            self.assertEqual(count, len(listing.items))
            self.assertEqual(server.store.revision, listing.as_of)

        self.check(case)

    def test_watch_returns_changes_and_deletions_in_order(self):
        async def case(server, client):
            start = server.store.revision
            await client.transact({}, [Write("a", b"1")])
            await client.transact({}, [], ["a"])
            listing = await client.watch_prefix("", start, 5)
            self.assertEqual(
                [("a", b"1"), ("a", None)],
                [(item.key, item.body) for item in listing.items],
            )
            watch_task = await curio.spawn(client.watch_prefix, "b", listing.as_of, 5)
            await curio.sleep(0.05)
            await client.transact({}, [Write("b", b"2")])
            self.assertEqual(b"2", (await watch_task.join()).items[0].body)

        self.check(case)

    def test_compacted_history_is_reported(self):
        async def case(server, client):
            await client.transact({}, [Write("a", b"1")])
            server.store.compact()
            await self.assert_error_kind(
                ErrorKind.HISTORY_LOST, client.watch_prefix("", 1, 1)
            )

        self.check(case)

    def test_failed_condition_returns_the_current_items(self):
        async def case(server, client):
            await client.transact({"a": 0}, [Write("a", b"1")])
            outcome = await client.transact({"a": 0, "b": 0}, [Write("a", b"2")])
            self.assertIsNone(outcome.revision)
            self.assertEqual(
                [b"1", b""], [item.value for item in outcome.current_items]
            )

        self.check(case)

    def test_revoked_lease_cannot_be_renewed_or_used(self):
        async def case(server, client):
            lease = await client.grant_lease(30)
            await client.transact({}, [Write("a", b"1", lease.lease_id)])
            self.assertTrue(await client.renew_lease(lease.lease_id))
            await client.revoke_lease(lease.lease_id)
            self.assertFalse(await client.renew_lease(lease.lease_id))
            item, _ = await client.get("a")
            self.assertIsNone(item)
            await self.assert_error_kind(
                ErrorKind.NOT_FOUND,
                client.transact({}, [Write("a", b"1", lease.lease_id)]),
            )

        self.check(case)

    def test_busy_malformed_and_outage_responses_raise_their_error_kinds(self):
        async def case(server, client):
            for status in (429, 503):
                server.knobs["busy_status"] = status
                await self.assert_error_kind(ErrorKind.PLATFORM_BUSY, client.get("a"))
            server.knobs.update(busy_status=0, garble_answers=1)
            await self.assert_error_kind(
                ErrorKind.PLATFORM_UNREACHABLE, client.list_prefix("")
            )
            server.knobs["is_down"] = True
            await self.assert_error_kind(
                ErrorKind.PLATFORM_UNREACHABLE, client.get("a")
            )

        self.check(case)

    def test_idle_connections_are_not_reused_after_a_call_without_response(self):
        async def case(server, client):
            await client.get("a")
            async with curio.TaskGroup() as group:
                for key in "abc":
                    await group.spawn(client.get, key)
            server.set_knobs(is_silent=True)
            await self.assert_error_kind(
                ErrorKind.PLATFORM_UNREACHABLE, client.get("a")
            )
            idle_connections = client.idle_connection_count
            server.set_knobs(is_silent=False)
            await client.get("a")
            self.assertEqual(0, idle_connections)

        self.check(case)
