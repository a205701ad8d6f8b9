"""Fake of the platform's metadata store, over HTTP on loopback.

``PUT /knobs`` with a JSON object injects faults: ``delay_s`` delays every response,
``is_down`` closes connections without a response, ``busy_status`` rejects every call
with that status, ``is_silent`` leaves calls that arrive or wait meanwhile without a
response for good, ``lose_write_answers`` applies that many writes but closes the
connection without a response, ``garble_answers`` corrupts that many responses,
``era_text`` replaces the era in every response. ``GET /counts`` returns the number of
calls by kind; ``GET``, ``PUT`` and ``DELETE /items/KEY`` read, write and remove a key
with its owner's permissions, unaffected by the knobs; ``POST /compact``
discards the history and ``POST /revoke/PREFIX`` deletes the keys with a prefix.
``POST /restore`` with ``age_s`` in a JSON object replaces the state by a copy of that
age; after ``rewrite_after_s`` the operator writes again what it had written since.
"""

import base64
import json
import time
from collections import Counter
from contextlib import asynccontextmanager
from urllib.parse import parse_qs, unquote, urlsplit

import click
import curio

from guavagap.addresses import parse_address
from guavagap.http_messages import (
    HttpRequest,
    HttpResponse,
    accept_connections,
    serve_http,
)
from guavagap.tasks import open_task_scope
from guavagap.tcp import open_listener
from standins.metadata_store import FakeMetadataStore

__all__ = ["FakePlatformServer", "open_platform_server", "serve_platform"]

PAGE_ITEMS = 500
READ_ONLY_PREFIXES = ("op/", "servers/")
OPERATOR_PREFIX = "op/"
ERA_HEADER = b"store-era"
_JSON_HEADERS = [(b"content-type", b"application/json")]


class ConnectionDropped(OSError):
    """Raised by a handler to close the connection without a response."""


class FakePlatformServer:
    """Serves a fake metadata store over HTTP.

    Attributes:
        counts: number of calls by kind.
        knobs: the injected faults.
    """

    def __init__(self):
        self.store = FakeMetadataStore(time.monotonic)
        self.counts: Counter[str] = Counter()
        self.knobs = {
            "delay_s": 0.0,
            "is_down": False,
            "is_silent": False,
            "busy_status": 0,
            "lose_write_answers": 0,
            "garble_answers": 0,
            "era_text": "",
        }
        self._silence_count = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a call to the store or to a control endpoint."""
        url = urlsplit(request.target.decode())
        if url.path.startswith("/api/"):
            response = await self._handle_call(url, request)
            era = self.knobs["era_text"].encode() or str(self.store.era).encode()
            return response._replace(headers=[*response.headers, (ERA_HEADER, era)])
        return await self._handle_control(url.path, request)

    def set_knobs(self, **knobs) -> None:
        """Change the injected faults."""
        self._silence_count += bool(knobs.get("is_silent"))
        self.knobs.update(knobs)

    async def restore(
        self, age_s: float, rewrite_after_s: float = 0.0, are_leases_kept: bool = False
    ) -> None:
        """Restore an older copy; the operator then writes again what was lost."""
        written = self.store.items_with_prefix(OPERATOR_PREFIX)
        await self.store.restore(age_s, are_leases_kept)
        await curio.sleep(rewrite_after_s)
        current = self.store.items_with_prefix(OPERATOR_PREFIX)
        for key in sorted(written):
            if current.get(key) != written[key]:
                await self.store.transact({}, [(key, written[key], 0)], [])

    async def _handle_control(self, path: str, request: HttpRequest) -> HttpResponse:
        if path == "/knobs":
            self.set_knobs(**json.loads(request.body))
            await self.store.notify_watches()
            return HttpResponse(204, [])
        if path == "/counts":
            return HttpResponse(200, [], json.dumps(self.counts).encode())
        if path == "/compact":
            self.store.compact()
            return HttpResponse(204, [])
        if path == "/restore":
            await self.restore(**json.loads(request.body))
            return HttpResponse(204, [])
        if path.startswith("/revoke/"):
            await self.store.revoke(unquote(path.removeprefix("/revoke/")))
            return HttpResponse(204, [])
        key = unquote(path.removeprefix("/items/"))
        if request.method == b"PUT":
            await self.store.transact({}, [(key, request.body, 0)], [])
            return HttpResponse(204, [])
        if request.method == b"DELETE":
            await self.store.transact({}, [], [key])
            return HttpResponse(204, [])
        item = self.store.get(key)
        return HttpResponse(404, []) if item is None else _bytes_response(item.value)

    async def _handle_call(self, url, request: HttpRequest) -> HttpResponse:
        if self.knobs["is_down"]:
            raise ConnectionDropped("down")
        silence_count = self._silence_count
        if self.knobs["delay_s"]:
            await curio.sleep(self.knobs["delay_s"])
        if self.knobs["busy_status"]:
            return _json_response(self.knobs["busy_status"], {"error": "busy"})
        response = await self._dispatch_call(url, request)
        if self.knobs["is_silent"] or silence_count != self._silence_count:
            await curio.Event().wait()
        if self.knobs["garble_answers"] > 0:
            self.knobs["garble_answers"] -= 1
            return response._replace(body=b"\x00" + response.body)
        return response

    async def _dispatch_call(self, url, request: HttpRequest) -> HttpResponse:
        name = url.path.removeprefix("/api/").partition("/")[0]
        self.counts[name] += 1
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if name == "kv-key":
            return self._get(query["key"])
        if name == "kv-range":
            return self._list(query)
        if name == "kv-watch":
            return await self._watch(query)
        body = json.loads(request.body) if request.body else {}
        response = await self._write(name, url.path.rpartition("/")[2], body)
        if self.knobs["lose_write_answers"] > 0:
            self.knobs["lose_write_answers"] -= 1
            raise ConnectionDropped("response lost")
        return response

    def _get(self, key: str) -> HttpResponse:
        item = self.store.get(key)
        if item is None:
            return _json_response(
                404, {"error": "no such key", "asOf": self.store.revision}
            )
        return _json_response(
            200, self._item_fields(item) | {"asOf": self.store.revision}
        )

    def _item_fields(self, item) -> dict:
        return {
            "key": item.key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createRev": self.store.created_revision(item.key),
            "lease": item.lease_id,
        }

    def _list(self, query: dict[str, str]) -> HttpResponse:
        items = self.store.list_prefix(
            query.get("prefix", ""), query.get("after", ""), PAGE_ITEMS + 1
        )
        page = [self._item_fields(item) for item in items[:PAGE_ITEMS]]
        has_more = len(items) > PAGE_ITEMS
        return _json_response(
            200, {"items": page, "hasMore": has_more, "asOf": self.store.revision}
        )

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        changes = await self.store.wait_for_changes(
            query.get("prefix", ""), int(query["after"]), int(query["waitMs"]) / 1000
        )
        if self.knobs["is_down"]:
            raise ConnectionDropped("down")
        if changes is None:
            return _json_response(410, {"error": "history is gone"})
        events = [
            (
                {"key": item.key, "revision": item.revision, "tombstone": True}
                if item.body is None
                else {
                    "key": item.key,
                    "value": base64.b64encode(item.body).decode(),
                    "revision": item.revision,
                }
            )
            for item in changes
        ]
        return _json_response(200, {"events": events, "asOf": self.store.revision})

    async def _write(self, name: str, path_argument: str, body: dict) -> HttpResponse:
        if name == "kv-lease":
            lease_id, ttl_s = self.store.grant_lease(body["ttlS"])
            return _json_response(200, {"lease": lease_id, "ttlS": ttl_s})
        if name == "kv-keep":
            ttl_s = self.store.renew_lease(int(path_argument))
            return _json_response(404 if ttl_s is None else 200, {"ttlS": ttl_s})
        if name == "kv-lease-end":
            is_ended = self.store.revoke_lease(int(path_argument))
            await self.store.notify_watches()
            return _json_response(200 if is_ended else 404, {})
        return await self._transact(body)

    async def _transact(self, body: dict) -> HttpResponse:
        expected = {row["key"]: row["revision"] for row in body["expectedRev"]}
        writes = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["puts"]
        ]
        keys = [write[0] for write in writes] + body["remove"]
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            return _json_response(403, {"error": "not yours"})
        try:
            revision = await self.store.transact(expected, writes, body["remove"])
        except KeyError:
            return _json_response(404, {"error": "no such lease"})
        if revision is not None:
            return _json_response(200, {"revision": revision})
        current_items = [self.store.get(key) for key in expected]
        rows = [
            {"key": key, "revision": 0} if item is None else self._item_fields(item)
            for key, item in zip(expected, current_items)
        ]
        return _json_response(412, {"items": rows})


def _json_response(status: int, value: dict) -> HttpResponse:
    return HttpResponse(status, _JSON_HEADERS, json.dumps(value).encode())


def _bytes_response(body: bytes) -> HttpResponse:
    return HttpResponse(200, [], body)


@asynccontextmanager
async def open_platform_server(address):
    """Yield a :class:`FakePlatformServer` that listens until the block exits."""
    server = FakePlatformServer()

    async def serve(sock):
        await serve_http(sock, server.handle)

    async with open_task_scope("platform") as scope:
        await scope.spawn(accept_connections, open_listener(address), scope, serve)
        yield server


async def serve_platform(address) -> None:
    """Run a fake platform until cancelled."""
    async with open_platform_server(address):
        await curio.Event().wait()


@click.command()
@click.option("--address", required=True, help="IP:PORT to listen on.")
def main(address):
    """Run the fake platform."""
    curio.run(serve_platform, parse_address(address))


if __name__ == "__main__":
    main()
