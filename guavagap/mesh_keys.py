"""The mesh key in the platform's metadata store: how it is created and kept.

A key begins with the era of the store in which it was created. If a restore of the
store loses the key, nodes that run write it again; if a node that starts has created
another one meanwhile, the older key wins, and the nodes that have the younger one adopt
it.
"""

import os
import random
from typing import Awaitable, Callable, NamedTuple

import curio

from guavagap.addresses import Address
from guavagap.backoff import Backoff
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.key_transfer import KeyOffer, request_key
from guavagap.logs import get_logger
from guavagap.metadata_store import Listing, MetadataStore, MirrorItem, Write
from guavagap.store_positions import StorePosition

__all__ = [
    "MESH_KEY",
    "MeshKeySync",
    "StoredKey",
    "era_of_key",
    "is_older_key",
    "obtain_mesh_key",
]

log = get_logger()

MESH_KEY = "mesh/key"
ERA_BYTES = 4
SECRET_BYTES = 32
KEY_BACKOFF_FIRST_S = 0.1
KEY_BACKOFF_LIMIT_S = 1.0
# When all nodes start for the first time, few of them should create the key and the
# others read it. The share that creates it doubles in each round, so a single node
# does so within a second.
FIRST_CREATOR_SHARE = 1 / 128
KEY_ROUND_INTERVAL_S = 0.12
SYNC_INTERVAL_S = 0.5
# Each relay finds the loss at about the same time; the first write suffices.
MAX_RESTORE_DELAY_S = 0.4
# A node that finds no other one for so long checks whether it has the mesh's key.
ISOLATION_CHECK_INTERVAL_S = 5.0


class StoredKey(NamedTuple):
    """The mesh key as it is stored.

    Attributes:
        is_created: whether this node has created it, as the first of its mesh.
    """

    key_bytes: bytes
    is_created: bool = False


def era_of_key(key_bytes: bytes) -> int:
    """Return the era of the store in which a key was created, 0 if unknown."""
    if len(key_bytes) != ERA_BYTES + SECRET_BYTES:
        return 0
    return int.from_bytes(key_bytes[:ERA_BYTES], "big")


def is_older_key(key_bytes: bytes, other_bytes: bytes) -> bool:
    """Return whether a key was created before another one.

    Of two keys of one era, which are possible only if their eras are unknown, any fixed
    order serves.
    """
    return _creation_order(key_bytes) < _creation_order(other_bytes)


def _creation_order(key_bytes: bytes) -> tuple[int, bytes]:
    return era_of_key(key_bytes), key_bytes


class MeshKeySync:
    """Keeps the oldest key of the mesh in the store and in the local node.

    Args:
        store: the metadata store.
        key_bytes: key of the local node.
        has_alive_peer: returns whether the node knows another one that is alive.
        adopt: coroutine function that makes the local node use another key.

    Attributes:
        rewritten_count: how often this node has written the key again.
    """

    def __init__(
        self,
        store: MetadataStore,
        key_bytes: bytes,
        has_alive_peer: Callable[[], bool],
        adopt: Callable[[bytes], Awaitable[None]],
    ):
        self._store = store
        self._key_bytes = key_bytes
        self._has_alive_peer = has_alive_peer
        self._adopt = adopt
        self._shown: MirrorItem | None = None
        self.rewritten_count = 0

    def on_listing(self, listing: Listing) -> None:
        """Record what a listing or a watch shows of the key."""
        if listing.is_complete:
            start = listing.as_of.start_of_era
            self._shown = MirrorItem(MESH_KEY, start, None)
        for item in listing.items:
            if item.key == MESH_KEY:
                self._shown = item

    async def run(self) -> None:
        """Compare the key with that of the store until cancelled."""
        idle_s = 0.0
        while True:
            await curio.sleep(SYNC_INTERVAL_S)
            idle_s = 0.0 if self._has_alive_peer() else idle_s + SYNC_INTERVAL_S
            try:
                if idle_s >= ISOLATION_CHECK_INTERVAL_S:
                    idle_s = 0.0
                    await self._read_key()
                await self._settle()
            except GuavagapError as error:
                log.info(
                    "mesh key not compared", kind=error.kind.value, why=error.detail
                )

    async def _read_key(self) -> None:
        item, _ = await self._store.get(MESH_KEY, is_stale_allowed=True)
        if item is not None:
            self._shown = MirrorItem(MESH_KEY, item.position, item.value)

    async def _settle(self) -> None:
        """Write the local key where the store lacks it or has a younger one."""
        shown = self._shown
        if shown is None or shown.body == self._key_bytes:
            return
        if shown.body is not None and is_older_key(shown.body, self._key_bytes):
            log.warning("older mesh key found, adopted", position=str(shown.position))
            self._key_bytes = shown.body
            await self._adopt(shown.body)
            return
        await curio.sleep(random.uniform(0, MAX_RESTORE_DELAY_S))
        if self._shown is not shown:
            return
        # A key that was removed, rather than lost, is absent as well.
        condition = (
            shown.position.start_of_era if shown.body is None else shown.position
        )
        outcome = await self._store.transact(
            {MESH_KEY: condition}, [Write(MESH_KEY, self._key_bytes)]
        )
        if self._shown is shown:
            self._shown = None
        if outcome.position is not None:
            self.rewritten_count += 1
            log.warning("mesh key written again", position=str(outcome.position))
            return
        for item in outcome.current_items:
            if item.key == MESH_KEY and item.value:
                self._shown = MirrorItem(MESH_KEY, item.position, item.value)


async def obtain_mesh_key(
    store: MetadataStore, mesh_address: Address
) -> KeyOffer | StoredKey:
    """Return the mesh key, from the store or from another node."""
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_read_or_create_key, store)
        await group.spawn(request_key, mesh_address)
    return group.result


async def _read_or_create_key(store: MetadataStore) -> StoredKey:
    """Return the mesh key, and create it if there is none.

    A conditional write ensures that only one of several concurrent creators succeeds;
    the others get its key. Retries while the store is unreachable.
    """
    backoff = Backoff(KEY_BACKOFF_FIRST_S, KEY_BACKOFF_LIMIT_S)
    creator_share = FIRST_CREATOR_SHARE
    while True:
        try:
            # The key never changes, so a stale read suffices, at a tenth of the cost.
            item, as_of = await store.get(MESH_KEY, is_stale_allowed=True)
            if item is not None:
                return StoredKey(item.value)
            if random.random() < creator_share:
                return await _create_key(store, as_of)
            creator_share *= 2
            await curio.sleep(KEY_ROUND_INTERVAL_S)
        except GuavagapError as error:
            log.warning(
                "mesh key not obtained", kind=error.kind.value, why=error.detail
            )
            await curio.sleep(backoff.next_s())


async def _create_key(store: MetadataStore, absent_at: StorePosition) -> StoredKey:
    """Create the mesh key; return the current one if another node was first.

    Args:
        store: the metadata store.
        absent_at: position at which there was no key.

    Raises:
        GuavagapError: PLATFORM_BUSY if the store tells neither; see also
            :class:`guavagap.metadata_store.MetadataStore`.
    """
    key_bytes = absent_at.era.to_bytes(ERA_BYTES, "big") + os.urandom(SECRET_BYTES)
    outcome = await store.transact(
        {MESH_KEY: absent_at.start_of_era}, [Write(MESH_KEY, key_bytes)]
    )
    if outcome.position is not None:
        return StoredKey(key_bytes, is_created=True)
    for item in outcome.current_items:
        if item.key == MESH_KEY and item.value:
            return StoredKey(item.value)
    raise GuavagapError(
        ErrorKind.PLATFORM_BUSY, "the store named no key that exists instead"
    )
