"""HTTP client of the platform's key-value service.

``GET /kv/KEY`` answers 200 with an ``ETag`` or 404. ``PUT`` with ``If-Match``
or ``If-None-Match: *`` is the compare-and-swap, 412 its refusal. ``Lease-TTL-Ms``
gives a key a time-to-live. ``If-None-Match`` with ``Prefer: wait=SECONDS``
turns a read into a watch: 304 when nothing changed, 200 or 404 otherwise.
"""

from contextlib import asynccontextmanager
from urllib.parse import quote

import curio
import h11

from guavagap.addresses import Address, format_address
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.faults import BlockedAddresses
from guavagap.http1 import Http1Connection, connect_http1
from guavagap.http_messages import HttpRequest, HttpResponse, exchange_http
from guavagap.platform import ABSENT, Platform, StoredValue, check_value_size

__all__ = ["HttpPlatform", "open_platform"]

CALL_TIMEOUT_S = 2.0
MAX_IDLE_CONNECTIONS = 4


class HttpPlatform(Platform):
    """The platform over HTTP, with a few kept connections.

    Args:
        address: where the platform listens.
        call_timeout_s: limit of each call; a watch adds its own wait.
        blocked: injected faults.
    """

    def __init__(
        self,
        address: Address,
        call_timeout_s: float = CALL_TIMEOUT_S,
        blocked: BlockedAddresses | None = None,
    ):
        super().__init__()
        self._blocked = blocked or BlockedAddresses()
        self.address = address
        self.call_timeout_s = call_timeout_s
        self._idle: list[Http1Connection] = []

    async def get(self, key):
        self.call_counts["get"] += 1
        response = await self._call(b"GET", key, [])
        return _value_from(key, response)

    async def watch(self, key, revision, wait_s):
        self.call_counts["watch"] += 1
        known = b"*" if revision == ABSENT else b'"%s"' % revision.encode()
        name = b"if-match" if revision == ABSENT else b"if-none-match"
        headers = [(name, known), (b"prefer", b"wait=%g" % wait_s)]
        response = await self._call(b"GET", key, headers, wait_s=wait_s)
        if response.status == 304:
            return StoredValue(b"", revision)
        return _value_from(key, response)

    async def put(self, key, body, expected, ttl_s=None):
        self.call_counts["put"] += 1
        check_value_size(key, body)
        headers = [_precondition(expected)]
        if ttl_s is not None:
            headers.append((b"lease-ttl-ms", b"%d" % (ttl_s * 1000)))
        response = await self._call(b"PUT", key, headers, body)
        _raise_for_write(key, response)
        return _revision_of(response)

    async def delete(self, key, expected):
        self.call_counts["delete"] += 1
        response = await self._call(b"DELETE", key, [_precondition(expected)])
        _raise_for_write(key, response)

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _call(
        self, method: bytes, key: str, headers, body: bytes = b"", wait_s: float = 0
    ) -> HttpResponse:
        target = b"/kv/" + quote(key, safe="/").encode()
        if self.address in self._blocked:
            raise _unreachable(self.address, "blocked")
        host = (b"host", format_address(self.address).encode())
        request = HttpRequest(method, target, [host, *headers], body)
        try:
            async with curio.timeout_after(self.call_timeout_s + wait_s):
                return await self._exchange(request)
        except (OSError, h11.ProtocolError, curio.TaskTimeout, GuavagapError) as error:
            raise _unreachable(self.address, f"{method.decode()} {key}: {error!r}")

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        connection = await self._take_connection()
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

    async def _take_connection(self) -> Http1Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_silent():
                return connection
            await connection.close()
        return await connect_http1(self.address, self.call_timeout_s)


def _unreachable(address: Address, detail: str) -> GuavagapError:
    return GuavagapError(
        ErrorKind.PLATFORM_UNREACHABLE, f"{format_address(address)}: {detail}"
    )


def _precondition(expected: str) -> tuple[bytes, bytes]:
    if expected == ABSENT:
        return (b"if-none-match", b"*")
    return (b"if-match", b'"%s"' % expected.encode())


def _revision_of(response: HttpResponse) -> str:
    return (response.header(b"etag") or b"").strip(b'"').decode()


def _value_from(key: str, response: HttpResponse) -> StoredValue | None:
    if response.status == 404:
        return None
    if response.status != 200:
        raise GuavagapError(
            ErrorKind.PLATFORM_UNREACHABLE, f"{key}: status {response.status}"
        )
    return StoredValue(response.body, _revision_of(response))


def _raise_for_write(key: str, response: HttpResponse) -> None:
    if response.status == 412:
        raise GuavagapError(ErrorKind.CONFLICT, f"{key} was changed meanwhile")
    if response.status not in (200, 201, 204):
        raise GuavagapError(
            ErrorKind.PLATFORM_UNREACHABLE, f"{key}: status {response.status}"
        )


@asynccontextmanager
async def open_platform(
    address: Address,
    call_timeout_s: float = CALL_TIMEOUT_S,
    blocked: BlockedAddresses | None = None,
):
    """Yield an :class:`HttpPlatform` and close its connections at the end."""
    platform = HttpPlatform(address, call_timeout_s, blocked)
    try:
        yield platform
    finally:
        await platform.close()
