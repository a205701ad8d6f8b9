"""Tests of how a feeder follows the store."""

from types import SimpleNamespace

import curio

from guavagap.metadata_store import Listing, MirrorItem
from guavagap.store_relay import StoreRelay
from tests.cases import AsyncTestCase


class _Store:
    """Answers each watch with the changes that have come since the last one."""

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
        taken, self.changes = self.changes, []
        return Listing(taken, self.revision)


class WatchTests(AsyncTestCase):
    def test_changes_in_quick_succession_cost_few_watches(self):
        seen: list[MirrorItem] = []

        async def case():
            store = _Store()
            configuration = SimpleNamespace(epoch=0, make_delta=lambda items: None)
            feed = StoreRelay(
                store,
                None,
                configuration,
                None,
                lambda listing: seen.extend(listing[0]),
            )
            await feed.watch_once()
            follower = await curio.spawn(self.follow, feed, seen)
            for _ in range(20):
                store.change()
                await curio.sleep(0)
            await follower.join()
            return store.watches

        self.assertLess(self.run_async(case), 10)
        self.assertEqual(20, len(seen))

    async def follow(self, feed, seen):
        while len(seen) < 20:
            await feed.watch_once()
