"""The mesh key in the platform's metadata store: how it is created."""

import os
import random
from typing import NamedTuple

import curio

from guavagap.addresses import Address
from guavagap.backoff import Backoff
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.key_transfer import KeyOffer, request_key
from guavagap.logs import get_logger
from guavagap.metadata_store import MetadataStore, Write
from guavagap.store_positions import StorePosition

__all__ = [
    "MESH_KEY",
    "StoredKey",
    "obtain_mesh_key",
]

log = get_logger()

MESH_KEY = "mesh/key"
SECRET_BYTES = 32
KEY_BACKOFF_FIRST_S = 0.1
KEY_BACKOFF_LIMIT_S = 1.0
# When all nodes start for the first time, few of them should create the key and the
# others read it. The share that creates it doubles in each round, so a single node
# does so within a second.
FIRST_CREATOR_SHARE = 1 / 128
KEY_ROUND_INTERVAL_S = 0.12


class StoredKey(NamedTuple):
    """The mesh key as it is stored.

    Attributes:
        is_created: whether this node has created it, as the first of its mesh.
    """

    key_bytes: bytes
    is_created: bool = False


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
    key_bytes = os.urandom(SECRET_BYTES)
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
