"""HTTP client of the platform's metadata store."""

import base64
import binascii
import json
from collections import Counter
from contextlib import asynccontextmanager
from urllib.parse import quote

import curio
import h11

from guavagap.addresses import Address, format_address
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.faults import BlockedAddresses
from guavagap.http1 import Http1Connection, connect_http1, describe_error
from guavagap.http_messages import HttpRequest, HttpResponse, exchange_http
from guavagap.logs import get_logger
from guavagap.metadata_store import (
    Lease,
    Listing,
    MetadataStore,
    MirrorItem,
    StoreItem,
    TransactionOutcome,
    Write,
)
from guavagap.store_positions import MAX_ERA, MAX_REVISION, StorePosition

__all__ = ["StoreClient", "open_store_client"]

# A call of the store typically takes 4 ms, and about 0.3 s while the store is slow.
CALL_TIMEOUT_S = 2.0
MAX_IDLE_CONNECTIONS = 4
_BUSY_STATUSES = (429, 503)
# In all responses, one higher each time that the store was restored from a copy.
_ERA_HEADER = b"store-era"
# A restore during a listing makes its pages useless; restores are seconds apart.
MAX_LISTINGS = 3

log = get_logger()


class StoreClient(MetadataStore):
    """Client of the store that reuses a few persistent connections.

    Each call raises :class:`GuavagapError` PLATFORM_UNREACHABLE when there is no
    response, or one from before a restore; a write may then still take effect, even
    later. It raises PLATFORM_BUSY when the store reports that it did nothing.

    Args:
        address: address of the store.
        call_timeout_s: timeout of each call; a watch adds its wait time.
        blocked: addresses blocked by fault injection.

    Attributes:
        call_counts: number of calls by kind: get, stale_get, list, watch, transact,
            lease, keep.
    """

    def __init__(
        self,
        address: Address,
        call_timeout_s: float = CALL_TIMEOUT_S,
        blocked: BlockedAddresses | None = None,
    ):
        self.address = address
        self.call_timeout_s = call_timeout_s
        self.call_counts: Counter[str] = Counter()
        self._blocked = blocked or BlockedAddresses()
        self._idle: list[Http1Connection] = []

    @property
    def idle_connection_count(self) -> int:
        """Number of open connections that no call uses."""
        return len(self._idle)

    async def get(
        self, key: str, is_stale_allowed: bool = False
    ) -> tuple[StoreItem | None, StorePosition]:
        """Return the item of a key, or None, and the position of the store."""
        self.call_counts["stale_get" if is_stale_allowed else "get"] += 1
        target = f"/api/kv-key?key={quote(key, safe='')}"
        if is_stale_allowed:
            target += "&allowStale=1"
        response, era = await self._call(b"GET", target)
        if response.status == 404:
            value = _decode_json_object(response) if response.body else {}
            return None, StorePosition(era, int(value.get("asOf", 0)))
        value = self._decode_response(response)
        return _decode_item(value, era), _decode_position(value, "asOf", era)

    async def list_prefix(self, prefix: str) -> Listing:
        """Return every item whose key starts with a prefix."""
        for _ in range(MAX_LISTINGS):
            listing = await self._list_pages(prefix)
            if listing.as_of.era == self.era:
                return listing
            log.info("store restored during a listing, listing again", era=self.era)
        raise self._unreachable("restored again during each listing")

    async def _list_pages(self, prefix: str) -> Listing:
        """Return the items of all pages, or those before a page of another era."""
        items: list[MirrorItem] = []
        changed_keys: list[str] = []
        as_of = None
        after = ""
        while True:
            self.call_counts["list"] += 1
            target = f"/api/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            response, era = await self._call(b"GET", target)
            value = self._decode_response(response)
            page = [_decode_change(item, era) for item in _object_list(value, "items")]
            # Pages are not one snapshot, so a watch must continue from the position of
            # the first page, and it returns what was changed after that.
            as_of = as_of or _decode_position(value, "asOf", era)
            if era != as_of.era:
                return Listing(items, as_of)
            items += [item for item in page if item.position <= as_of]
            changed_keys += [item.key for item in page if item.position > as_of]
            if not value.get("hasMore") or not page:
                return Listing(items, as_of, True, tuple(changed_keys))
            after = page[-1].key

    async def watch_prefix(
        self,
        prefix: str,
        after: StorePosition,
        wait_s: float,
        response_timeout_s: float | None = None,
    ) -> Listing:
        """Wait for changes after a position, at most ``wait_s`` seconds.

        Raises:
            GuavagapError: HISTORY_LOST when the store no longer retains these changes
                or was restored since.
        """
        if after.era < self.era:
            raise _history_lost(after, f"the store is in era {self.era}")
        self.call_counts["watch"] += 1
        target = (
            f"/api/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after.revision}&waitMs={int(wait_s * 1000)}"
        )
        response, era = await self._call(
            b"GET", target, wait_s=wait_s, timeout_s=response_timeout_s
        )
        if era != after.era:
            raise _history_lost(after, f"the store is in era {era}")
        if response.status == 410:
            raise _history_lost(after, "no longer retained")
        value = self._decode_response(response)
        changes = [_decode_change(item, era) for item in _object_list(value, "events")]
        return Listing(changes, _decode_position(value, "asOf", era))

    async def transact(
        self,
        expected: dict[str, StorePosition],
        writes: list[Write],
        removed: list[str] | None = None,
    ) -> TransactionOutcome:
        """Write and remove keys atomically if each key is at its expected position.

        A condition on a position of an earlier era fails. If the store is restored
        while the call is on its way, the outcome is unknown.

        Args:
            expected: expected position by key; the start of an era for a key that must
                not exist.
            writes: keys to write.
            removed: keys to remove.

        Raises:
            GuavagapError: NOT_FOUND when a lease no longer exists.
        """
        # Before the first response, the era is not known.
        eras = {position.era for position in expected.values() if position.era}
        if eras and min(eras) < self.era:
            log.info(
                "condition of an earlier era not sent",
                keys=",".join(expected),
                era=self.era,
            )
            return TransactionOutcome(None, [])
        self.call_counts["transact"] += 1
        body = {
            "expectedRev": [
                {"key": key, "revision": position.revision}
                for key, position in expected.items()
            ],
            "puts": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": write.lease_id,
                }
                for write in writes
            ],
            "remove": removed or [],
        }
        response, era = await self._call(b"POST", "/api/kv-txn", body)
        if response.status == 412:
            current = _object_list(_decode_json_object(response), "items")
            return TransactionOutcome(None, [_decode_item(row, era) for row in current])
        if response.status == 404:
            raise GuavagapError(ErrorKind.NOT_FOUND, "the lease no longer exists")
        value = self._decode_response(response)
        if eras - {era}:
            # The revisions of the conditions meant other content when they were read.
            raise self._unreachable(f"written in era {era} on conditions of {eras}")
        return TransactionOutcome(_decode_position(value, "revision", era), [])

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease; return it with the time-to-live that the store granted."""
        self.call_counts["lease"] += 1
        response, era = await self._call(b"POST", "/api/kv-lease", {"ttlS": ttl_s})
        value = self._decode_response(response)
        ttl_s = float(value.get("ttlS", ttl_s))
        return Lease(_int_field(value, "lease"), ttl_s, era)

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False when it no longer exists, or not for certain."""
        if lease.era < self.era:
            return False
        self.call_counts["keep"] += 1
        response, era = await self._call(b"POST", f"/api/kv-keep/{lease.lease_id}", {})
        if response.status == 404 or era != lease.era:
            return False
        self._decode_response(response)
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which removes its keys; ignore one that no longer exists."""
        self.call_counts["lease"] += 1
        response, _ = await self._call(b"DELETE", f"/api/kv-lease-end/{lease_id}")
        if response.status != 404:
            self._decode_response(response)

    async def close(self) -> None:
        """Close the idle connections; later calls open new ones."""
        while self._idle:
            await self._idle.pop().close()

    def _decode_response(self, response: HttpResponse) -> dict:
        if response.status in _BUSY_STATUSES:
            raise GuavagapError(
                ErrorKind.PLATFORM_BUSY, f"the store returned status {response.status}"
            )
        if response.status != 200:
            raise self._unreachable(f"unexpected status {response.status}")
        return _decode_json_object(response)

    def _unreachable(self, detail: str) -> GuavagapError:
        address = format_address(self.address)
        return GuavagapError(ErrorKind.PLATFORM_UNREACHABLE, f"{address}: {detail}")

    async def _call(
        self,
        method: bytes,
        target: str,
        body=None,
        wait_s: float = 0,
        timeout_s: float | None = None,
    ) -> tuple[HttpResponse, int]:
        """Return the response of a call and the era of the store that it names."""
        if self.address in self._blocked:
            self._record_served(False, steady_s())
            raise self._unreachable("blocked by fault injection")
        headers = [(b"host", format_address(self.address).encode())]
        data = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            data = json.dumps(body).encode()
        request = HttpRequest(method, target.encode(), headers, data)
        started_s = steady_s()
        timeout_s = self.call_timeout_s if timeout_s is None else timeout_s
        try:
            async with curio.timeout_after(timeout_s + wait_s):
                response = await self._exchange(request)
        except (OSError, h11.ProtocolError, curio.TaskTimeout, GuavagapError) as error:
            # It is unknown when the connection of a watch broke, so the outage is
            # counted from now.
            self._record_served(False, steady_s() if wait_s else started_s)
            if isinstance(error, curio.TaskTimeout):
                # What silenced this connection may have silenced the idle ones too.
                await self.close()
            path = target.partition("?")[0]
            why = describe_error(error)
            raise self._unreachable(f"{method.decode()} {path}: {why}") from None
        self._record_served(response.status not in _BUSY_STATUSES, started_s)
        return response, self._record_era(response)

    def _record_era(self, response: HttpResponse) -> int:
        """Return the era that a response names; that of the last one if it names none.

        Raises:
            GuavagapError: PLATFORM_UNREACHABLE when the response is from before a
                restore that is already known.
        """
        text = response.header(_ERA_HEADER)
        if text is None:
            return self.era
        if not text.isdigit() or len(text) > len(str(MAX_ERA)) or int(text) > MAX_ERA:
            raise _malformed(f"invalid era {text[:40]!r}")
        era = int(text)
        if era < self.era:
            raise self._unreachable(f"response of era {era}, known is {self.era}")
        if era > self.era > 0:
            self.restore_count += era - self.era
            log.warning(
                "store restored from an older copy",
                era=era,
                era_before=self.era,
                outcome="listing again, writing again what was lost",
            )
        self.era = era
        return era

    def _record_served(self, is_served: bool, started_s: float) -> None:
        if is_served:
            self.unavailable_since_s = None
        elif self.unavailable_since_s is None:
            self.unavailable_since_s = started_s

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        connection = await self._acquire_connection()
        try:
            response = await exchange_http(connection, request)
        except BaseException:
            await connection.close()
            raise
        if len(self._idle) < MAX_IDLE_CONNECTIONS and connection.start_next_cycle():
            self._idle.append(connection)
            return response
        await connection.close()
        return response

    async def _acquire_connection(self) -> Http1Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_silent():
                return connection
            await connection.close()
        return await connect_http1(self.address, self.call_timeout_s)


def _decode_json_object(response: HttpResponse) -> dict:
    try:
        value = json.loads(response.body)
    except ValueError as error:
        raise _malformed(f"invalid JSON: {error}") from None
    if not isinstance(value, dict):
        raise _malformed(f"expected an object, got {type(value).__name__}")
    return value


def _malformed(detail: str) -> GuavagapError:
    return GuavagapError(
        ErrorKind.PLATFORM_UNREACHABLE, f"malformed response: {detail}"
    )


def _int_field(value: dict, name: str) -> int:
    field = value.get(name)
    if not isinstance(field, int) or isinstance(field, bool):
        raise _malformed(f"{name} has the invalid value {field!r}")
    return field


def _object_list(value: dict, name: str) -> list[dict]:
    rows = value.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise _malformed(f"{name} is not a list of objects")
    return rows


def _decode_value(row: dict) -> bytes:
    try:
        return base64.b64decode(row["value"], validate=True)
    except (KeyError, TypeError, binascii.Error) as error:
        raise _malformed(f"invalid value: {error!r}") from None


def _history_lost(after: StorePosition, why: str) -> GuavagapError:
    return GuavagapError(ErrorKind.HISTORY_LOST, f"the changes after {after}: {why}")


def _decode_position(value: dict, name: str, era: int) -> StorePosition:
    """Return the position of a revision in a response that names an era."""
    revision = _int_field(value, name)
    if revision not in range(MAX_REVISION + 1):
        raise _malformed(f"{name} has the invalid value {revision}")
    return StorePosition(era, revision)


def _decode_item(row: dict, era: int) -> StoreItem:
    position = _decode_position(row, "revision", era)
    # The store reports an absent key of a condition with revision 0 and no value.
    is_absent = position == position.start_of_era or row.get("value") is None
    value = b"" if is_absent else _decode_value(row)
    return StoreItem(str(row.get("key")), value, position, row.get("lease") or 0)


def _decode_change(row: dict, era: int) -> MirrorItem:
    key, position = str(row.get("key")), _decode_position(row, "revision", era)
    if row.get("tombstone"):
        return MirrorItem(key, position, None)
    return MirrorItem(key, position, _decode_value(row))


@asynccontextmanager
async def open_store_client(
    address: Address,
    call_timeout_s: float = CALL_TIMEOUT_S,
    blocked: BlockedAddresses | None = None,
):
    """Yield a :class:`StoreClient`; its connections are closed on exit."""
    client = StoreClient(address, call_timeout_s, blocked)
    try:
        yield client
    finally:
        await client.close()
