"""Tests of the key-value store, run against each implementation."""

import curio

from guavagap.addresses import Address
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind
from guavagap.key_value import ABSENT, MAX_VALUE_BYTES, MemoryKeyValueStore, MemoryStore
from guavagap.platform.key_value import open_key_value_store
from standins.fleet import allocate_ports
from standins.platform_server import open_platform_server
from tests.cases import AsyncTestCase


class KeyValueStoreCases:
    """Test cases of every implementation; a subclass opens the one to test."""

    def check(self, function):
        self.run_async(self.with_platform, function)

    def test_get_of_a_missing_key_returns_none(self):
        async def case(platform):
            self.assertIsNone(await platform.get("a"))

        self.check(case)

    def test_create_read_replace_delete(self):
        async def case(platform):
            first = await platform.put("a/b", b"1", ABSENT)
            self.assertEqual((b"1", first), await platform.get("a/b"))
            second = await platform.put("a/b", b"2", first)
            self.assertNotEqual(first, second)
            await platform.delete("a/b", second)
            self.assertIsNone(await platform.get("a/b"))

        self.check(case)

    def test_compare_and_swap_refuses_other_revisions(self):
        async def case(platform):
            first = await platform.put("a", b"1", ABSENT)
            await self.assert_error_kind(
                ErrorKind.CONFLICT, platform.put("a", b"2", ABSENT)
            )
            await platform.put("a", b"2", first)
            await self.assert_error_kind(
                ErrorKind.CONFLICT, platform.put("a", b"3", first)
            )
            await self.assert_error_kind(
                ErrorKind.CONFLICT, platform.delete("a", first)
            )
            self.assertEqual(b"2", (await platform.get("a")).body)

        self.check(case)

    def test_lease_expires_and_can_be_renewed(self):
        async def case(platform):
            revision = await platform.put("a", b"1", ABSENT, ttl_s=0.2)
            revision = await platform.put("a", b"1", revision, ttl_s=30)
            await curio.sleep(0.4)
            self.assertIsNotNone(await platform.get("a"))
            await platform.put("a", b"1", revision, ttl_s=0.05)
            await curio.sleep(0.2)
            self.assertIsNone(await platform.get("a"))

        self.check(case)

    def test_watch_returns_on_creation_and_expiry(self):
        async def case(platform):
            watch_task = await curio.spawn(platform.watch, "a", ABSENT, 30)
            await curio.sleep(0.1)
            revision = await platform.put("a", b"1", ABSENT, ttl_s=0.3)
            self.assertEqual(b"1", (await watch_task.join()).body)
            self.assertIsNone(await platform.watch("a", revision, 30))

        self.check(case)

    def test_watch_without_a_change_returns_after_its_wait(self):
        async def case(platform):
            revision = await platform.put("a", b"1", ABSENT)
            value = await platform.watch("a", revision, 0.1)
            self.assertEqual(revision, value.revision)

        self.check(case)

    def test_too_large_value_is_refused(self):
        async def case(platform):
            body = bytes(MAX_VALUE_BYTES + 1)
            await self.assert_error_kind(
                ErrorKind.BODY_TOO_LARGE, platform.put("a", body, ABSENT)
            )

        self.check(case)

    def test_calls_are_counted_by_kind(self):
        async def case(platform):
            await platform.get("a")
            await platform.put("a", b"1", ABSENT)
            self.assertEqual({"get": 1, "put": 1}, dict(platform.call_counts))

        self.check(case)


class MemoryKeyValueStoreTests(KeyValueStoreCases, AsyncTestCase):
    async def with_platform(self, function):
        await function(MemoryKeyValueStore(MemoryStore(steady_s)))


class HttpKeyValueStoreTests(KeyValueStoreCases, AsyncTestCase):
    async def with_platform(self, function):
        await self.with_server(lambda server, platform: function(platform))

    async def with_server(self, function):
        address = Address("127.0.0.1", allocate_ports(1)[0])
        async with open_platform_server(address) as server:
            async with open_key_value_store(address, 1.0) as platform:
                await function(server, platform)

    def test_outage_and_delay_raise_platform_unreachable(self):
        async def case(server, platform):
            for knobs in ({"is_down": True}, {"is_down": False, "delay_s": 3.0}):
                server.knobs.update(knobs)
                await self.assert_error_kind(
                    ErrorKind.PLATFORM_UNREACHABLE, platform.get("a")
                )

        self.run_async(self.with_server, case)

    def test_lost_response_leaves_the_write_in_place(self):
        async def case(server, platform):
            server.knobs["lose_write_answers"] = 1
            await self.assert_error_kind(
                ErrorKind.PLATFORM_UNREACHABLE, platform.put("a", b"1", ABSENT)
            )
            self.assertEqual(b"1", (await platform.get("a")).body)

        self.run_async(self.with_server, case)
