"""Stand-in for the platform's key-value service, over HTTP on loopback.

Knobs under ``/knobs`` (``PUT`` with a JSON object) make it misbehave:
``delay_s`` holds every answer, ``is_down`` closes connections without an
answer, ``lose_write_answers`` applies that many writes and then closes without
an answer. ``GET /counts`` returns calls by kind; ``PUT /restore/KEY`` replaces one
key with an older body, as a backup would.
"""

import json
import time
from collections import Counter

import click
import curio

from guavagap.addresses import parse_address
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.http1 import header_value
from guavagap.http_messages import (
    HttpRequest,
    HttpResponse,
    accept_connections,
    serve_http,
)
from guavagap.platform import ABSENT, MemoryStore
from guavagap.tasks import open_task_scope
from guavagap.tcp import open_listener

__all__ = ["PlatformServer", "serve_platform"]


class ConnectionDropped(OSError):
    """Raised by a handler to close the connection without an answer."""


class PlatformServer:
    """The service behind one listening socket."""

    def __init__(self):
        self.store = MemoryStore(time.monotonic)
        self.counts: Counter[str] = Counter()
        self.knobs = {"delay_s": 0.0, "is_down": False, "lose_write_answers": 0}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path = request.target.decode()
        if path == "/knobs":
            self.knobs.update(json.loads(request.body))
            return HttpResponse(204, [])
        if path == "/counts":
            return HttpResponse(200, [], json.dumps(self.counts).encode())
        if path.startswith("/restore/"):
            return await self._restore(path.removeprefix("/restore/"), request.body)
        return await self._handle_key(path.removeprefix("/kv/"), request)

    async def _restore(self, key: str, body: bytes) -> HttpResponse:
        await self.store.write(key, body, self.store.revision_of(key), None)
        return HttpResponse(204, [])

    async def _handle_key(self, key: str, request: HttpRequest) -> HttpResponse:
        if self.knobs["is_down"]:
            raise ConnectionDropped("down")
        if self.knobs["delay_s"]:
            await curio.sleep(self.knobs["delay_s"])
        if request.method == b"GET":
            return await self._read(key, request)
        self.counts[request.method.decode().lower()] += 1
        try:
            response = await self._write(key, request)
        except GuavagapError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            return HttpResponse(412, [], error.detail.encode())
        if self.knobs["lose_write_answers"] > 0:
            self.knobs["lose_write_answers"] -= 1
            raise ConnectionDropped("answer lost")
        return response

    async def _read(self, key: str, request: HttpRequest) -> HttpResponse:
        prefer = header_value(request.headers, b"prefer")
        if prefer is None:
            self.counts["get"] += 1
        else:
            self.counts["watch"] += 1
            wait_s = float(prefer.removeprefix(b"wait="))
            known = _entity_tag(request, b"if-none-match")
            await self.store.wait_for_change(key, known, wait_s)
            if self.knobs["is_down"]:
                raise ConnectionDropped("down")
            if known != ABSENT and self.store.revision_of(key) == known:
                return HttpResponse(304, [])
        value = self.store.read(key)
        if value is None:
            return HttpResponse(404, [])
        return HttpResponse(200, [_etag(value.revision)], value.body)

    async def _write(self, key: str, request: HttpRequest) -> HttpResponse:
        expected = _entity_tag(request, b"if-match")
        if request.method == b"DELETE":
            await self.store.remove(key, expected)
            return HttpResponse(204, [])
        ttl_ms = header_value(request.headers, b"lease-ttl-ms")
        ttl_s = None if ttl_ms is None else int(ttl_ms) / 1000
        revision = await self.store.write(key, request.body, expected, ttl_s)
        return HttpResponse(201, [_etag(revision)])


def _entity_tag(request: HttpRequest, name: bytes) -> str:
    value = header_value(request.headers, name)
    if value is None or value == b"*":
        return ABSENT
    return value.strip(b'"').decode()


def _etag(revision: str) -> tuple[bytes, bytes]:
    return (b"etag", b'"%s"' % revision.encode())


async def serve_platform(address) -> None:
    """Serve until cancelled."""
    server = PlatformServer()
    async with open_task_scope("platform") as scope:

        async def serve(sock):
            await serve_http(sock, server.handle)

        await accept_connections(open_listener(address), scope, serve)


@click.command()
@click.option("--address", required=True, help="IP:PORT to listen on.")
def main(address):
    """Run the stand-in platform."""
    curio.run(serve_platform, parse_address(address))


if __name__ == "__main__":
    main()
