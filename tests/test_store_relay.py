"""Tests of how a relay watches the metadata store."""

from types import SimpleNamespace
from unittest.mock import patch

import curio

from guavagap.metadata_store import Listing, MirrorItem
from guavagap.store_relay import StoreRelay
from tests.cases import AsyncTestCase


class _Store:
    """A store whose watches return the changes since the last watch."""

    def __init__(self):
        self.revision = 0
        self.changes: list[MirrorItem] = []
        self.watches = 0

    def change(self) -> None:
        self.revision += 1
        key = f"mesh/node/n{self.revision}"
        self.changes.append(MirrorItem(key, self.revision, b""))

    async def list_prefix(self, prefix):
        return Listing([], self.revision)

    async def watch_prefix(self, prefix, after, wait_s):
        self.watches += 1
        while not self.changes:
            await curio.sleep(0)
        drained, self.changes = self.changes, []
        return Listing(drained, self.revision)


async def _ignore(*args) -> None:
    pass


class WatchTests(AsyncTestCase):
    def test_rapid_changes_are_batched_into_few_watches(self):
        seen: list[MirrorItem] = []

        async def case():
            store = _Store()
            configuration = SimpleNamespace(epoch=0, make_delta=lambda items: None)
            relay = StoreRelay(
                store,
                None,
                configuration,
                None,
                lambda listing: seen.extend(listing[0]),
            )
            await relay.watch_once()
            watcher = await curio.spawn(self.watch_all, relay, seen)
            for _ in range(20):
                store.change()
                await curio.sleep(0)
            await watcher.join()
            return store.watches

        self.assertLess(self.run_async(case), 10)
        self.assertEqual(20, len(seen))

    def test_listing_is_not_followed_by_a_watch_while_a_relay_is_awaited(self):
        self.assertEqual(0, self.run_relay(join_pause_s=3600))
        self.assertLess(0, self.run_relay(join_pause_s=0))

    def run_relay(self, join_pause_s: float) -> int:
        """Run a relay for a while; return its number of watches."""

        async def case():
            store, scope = _Store(), SimpleNamespace(spawn_supervised=_ignore)
            table = SimpleNamespace(local_domain_rank=lambda: 0, publish=lambda **_: 0)
            configuration = SimpleNamespace(epoch=0, make_delta=lambda items: None)
            relay = StoreRelay(store, table, configuration, None, lambda listing: None)
            task = await curio.spawn(relay.run, scope)
            while not relay.has_listed:
                await curio.sleep(0)
            for _ in range(100):
                await curio.sleep(0)
            await task.cancel()
            return store.watches

        with patch("guavagap.store_relay.JOIN_PAUSE_S", join_pause_s):
            return self.run_async(case)

    async def watch_all(self, relay, seen):
        while len(seen) < 20:
            await relay.watch_once()
