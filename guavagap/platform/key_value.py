"""Key-value store interface on top of the platform's metadata store."""

from contextlib import asynccontextmanager

from guavagap.addresses import Address
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.faults import BlockedAddresses
from guavagap.key_value import ABSENT, KeyValueStore, StoredValue, check_value_size
from guavagap.metadata_store import NO_LEASE, StoreItem, Write
from guavagap.platform.store import CALL_TIMEOUT_S, StoreClient, open_store_client
from guavagap.store_positions import StorePosition

__all__ = ["PlatformKeyValueStore", "open_key_value_store"]


class PlatformKeyValueStore(KeyValueStore):
    """Key-value store backed by the platform's metadata store.

    Args:
        client: client of the metadata store.
    """

    def __init__(self, client: StoreClient):
        super().__init__()
        self.client = client

    async def get(self, key):
        self.call_counts["get"] += 1
        item, _ = await self._map_busy_error(self.client.get(key))
        return _to_stored_value(item)

    async def watch(self, key, revision, wait_s):
        self.call_counts["watch"] += 1
        item, as_of = await self._map_busy_error(self.client.get(key))
        if _revision_of(item) != revision:
            return _to_stored_value(item)
        try:
            await self._map_busy_error(self.client.watch_prefix(key, as_of, wait_s))
        except GuavagapError as error:
            if error.kind is not ErrorKind.HISTORY_LOST:
                raise
        item, _ = await self._map_busy_error(self.client.get(key))
        return _to_stored_value(item)

    async def put(self, key, body, expected, ttl_s=None):
        self.call_counts["put"] += 1
        check_value_size(key, body)
        lease_id = NO_LEASE
        if ttl_s is not None:
            lease = await self._map_busy_error(self.client.grant_lease(ttl_s))
            lease_id = lease.lease_id
        return await self._write(key, expected, [Write(key, body, lease_id)], [])

    async def delete(self, key, expected):
        self.call_counts["delete"] += 1
        await self._write(key, expected, [], [key])

    async def _write(self, key, expected, writes, removed) -> str:
        condition = {key: self._decode_revision(expected)}
        outcome = await self._map_busy_error(
            self.client.transact(condition, writes, removed)
        )
        if outcome.position is None:
            raise GuavagapError(ErrorKind.CONFLICT, f"{key} was modified concurrently")
        return str(outcome.position)

    def _decode_revision(self, revision: str) -> StorePosition:
        """Return the position that a revision of this interface stands for."""
        if revision == ABSENT:
            return StorePosition(self.client.era, 0)
        era, _, number = revision.partition("/")
        return StorePosition(int(era), int(number))

    async def _map_busy_error(self, call):
        """Await a call and raise PLATFORM_UNREACHABLE in place of PLATFORM_BUSY.

        :class:`KeyValueStore` has one error kind for every call that was not served.
        """
        try:
            return await call
        except GuavagapError as error:
            if error.kind is ErrorKind.PLATFORM_BUSY:
                raise GuavagapError(
                    ErrorKind.PLATFORM_UNREACHABLE, error.detail
                ) from None
            raise


def _revision_of(item: StoreItem | None) -> str:
    return ABSENT if item is None else str(item.position)


def _to_stored_value(item: StoreItem | None) -> StoredValue | None:
    return None if item is None else StoredValue(item.value, str(item.position))


@asynccontextmanager
async def open_key_value_store(
    address: Address,
    call_timeout_s: float = CALL_TIMEOUT_S,
    blocked: BlockedAddresses | None = None,
):
    """Yield a :class:`PlatformKeyValueStore`; its connections are closed on exit."""
    async with open_store_client(address, call_timeout_s, blocked) as client:
        yield PlatformKeyValueStore(client)
