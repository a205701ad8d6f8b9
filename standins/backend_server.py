"""Fake backend server: announces itself, runs requests and records them.

Each run is counted in a ledger under the request's ``x-test-id``; ``GET /_ledger``
returns it, so that tests can check how often a request was run. Request headers
inject faults: ``x-delay-ms``, ``x-status``, ``x-answer-bytes`` (response body size),
``x-lose-share`` (probability of closing the connection without a response),
``x-chain`` (depth of a chain of calls through ``--caller-address``, with up to
``x-chain-tries`` attempts at each step), ``x-crash`` (the process exits), ``x-cut``
(the connection closes in the middle of the response) and ``x-refuse`` (rejected as
not run). Command line flags make every run of this server slow or failing.
"""

import json
import os
import random

import click
import curio
import h11

from guavagap.addresses import Address, parse_address
from guavagap.dialect import RUN_HEADER, RUN_NOT_RUN
from guavagap.errors import GuavagapError
from guavagap.http1 import (
    Http1Connection,
    RequestHead,
    header_value,
    read_request_head,
)
from guavagap.http_messages import HttpRequest, accept_connections, call_http
from guavagap.shutdown import open_signal_socket
from guavagap.tasks import open_task_scope
from guavagap.tcp import open_listener

__all__ = ["FakeBackendServer", "main"]

RENEW_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.1
CHUNK_BYTES = 16_384


class Behaviour:
    """Faults and limits that apply to every run of a server."""

    def __init__(
        self,
        delay_ms: float,
        failing_share: float,
        failing_path: str,
        enforced_slots: int,
        caller: Address | None,
    ):
        self.slot_semaphore = (
            curio.Semaphore(enforced_slots) if enforced_slots else None
        )
        self.caller = caller
        self.delay_ms = delay_ms
        self.failing_share = failing_share
        self.failing_path = failing_path.encode()

    def should_fail(self, target: bytes) -> bool:
        """Return whether a run of this target fails."""
        if not target.startswith(self.failing_path):
            return False
        return random.random() < self.failing_share


class FakeBackendServer:
    """Runs requests and records how often and how many at once."""

    def __init__(self, server_id: str, version: str, slots: int, behaviour: Behaviour):
        self.server_id = server_id
        self.version = version
        self.slots = slots
        self.behaviour = behaviour
        self.in_flight = 0
        self.peak_in_flight = 0
        self.connections = 0
        self.peak_connections = 0
        self.ledger: dict[str, int] = {}
        self.drain_requested = curio.Event()
        self.deregistered = curio.Event()

    async def serve(self, sock) -> None:
        """Serve one connection."""
        connection = Http1Connection(sock, h11.SERVER)
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        try:
            while True:
                head = await read_request_head(connection)
                if head is None or not await self._serve_request(connection, head):
                    return
        except (OSError, h11.ProtocolError, GuavagapError):
            return
        finally:
            self.connections -= 1
            await connection.close()

    async def _serve_request(self, connection, head: RequestHead) -> bool:
        if head.target == b"/_ledger":
            return await self._send_ledger(connection)
        if head.target == b"/_leave":
            await self.drain_requested.set()
            return await self._send_ledger(connection)
        if header_value(head.headers, b"x-crash") is not None:
            os._exit(70)
        body_bytes = await self._read_body(connection)
        if header_value(head.headers, b"x-refuse") is not None:
            return await self._send_not_run(connection)
        return await self._run(connection, head, body_bytes)

    async def _read_body(self, connection) -> int:
        size_bytes = 0
        while True:
            event = await connection.next_event()
            if type(event) is not h11.Data:
                if type(event) is not h11.EndOfMessage:
                    raise h11.RemoteProtocolError("request body ended early")
                return size_bytes
            size_bytes += len(event.data)

    async def _run(self, connection, head: RequestHead, body_bytes: int) -> bool:
        test_id = header_value(head.headers, b"x-test-id") or b"-"
        self.ledger[test_id.decode()] = self.ledger.get(test_id.decode(), 0) + 1
        if random.random() < float(header_value(head.headers, b"x-lose-share") or 0):
            return False
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        try:
            await self._simulate_work(head)
            if not await self._call_next_service(head):
                return await self._send_bad_gateway(connection)
            return await self._send_response(connection, head, test_id, body_bytes)
        finally:
            self.in_flight -= 1

    async def _simulate_work(self, head: RequestHead) -> None:
        """Sleep for the duration of a run, in a slot where slots are enforced."""
        delay_ms = float(header_value(head.headers, b"x-delay-ms") or 0)
        delay_ms += self.behaviour.delay_ms
        if not delay_ms:
            return
        if self.behaviour.slot_semaphore is None:
            await curio.sleep(delay_ms / 1000)
            return
        async with self.behaviour.slot_semaphore:
            await curio.sleep(delay_ms / 1000)

    async def _call_next_service(self, head: RequestHead) -> bool:
        """Call the next service of a chain; return whether a call succeeded."""
        depth = int(header_value(head.headers, b"x-chain") or 0)
        if depth <= 1:
            return True
        forwarded_names = (
            b"host",
            b"x-lose-share",
            b"x-chain-tries",
            b"guavagap-retry",
        )
        headers = [item for item in head.headers if item[0] in forwarded_names]
        headers.append((b"x-chain", b"%d" % (depth - 1)))
        request = HttpRequest(b"GET", head.target, headers)
        attempts = int(header_value(head.headers, b"x-chain-tries") or 1)
        for _ in range(attempts):
            try:
                response = await call_http(self.behaviour.caller, request, 10.0)
            except GuavagapError:
                continue
            if response.status == 200:
                return True
        return False

    async def _send_bad_gateway(self, connection) -> bool:
        await connection.send(
            h11.Response(status_code=502, headers=[(b"content-length", b"0")]),
            h11.EndOfMessage(),
        )
        return connection.start_next_cycle()

    async def _send_response(
        self, connection, head, test_id: bytes, body_bytes: int
    ) -> bool:
        status = int(header_value(head.headers, b"x-status") or 200)
        if self.behaviour.should_fail(head.target):
            status = 500
        response_bytes = int(header_value(head.headers, b"x-answer-bytes") or 2048)
        headers = [
            (b"content-length", b"%d" % response_bytes),
            (b"x-test-id", test_id),
            (b"x-server-id", self.server_id.encode()),
            (b"x-version", self.version.encode()),
            (b"x-body-bytes", b"%d" % body_bytes),
            (b"guavagap-load", b"%d" % max(0, self.in_flight - 1)),
        ]
        response = h11.Response(status_code=status, headers=headers)
        if header_value(head.headers, b"x-cut") is not None:
            await connection.send(response, h11.Data(data=b"x" * (response_bytes // 2)))
            return False
        body = b"" if head.method == b"HEAD" else b"x" * response_bytes
        events = [h11.Data(data=body)] if body else []
        await connection.send(response, *events, h11.EndOfMessage())
        return connection.start_next_cycle()

    async def _send_not_run(self, connection) -> bool:
        headers = [(b"content-length", b"0"), (RUN_HEADER, RUN_NOT_RUN)]
        await connection.send(
            h11.Response(status_code=503, headers=headers), h11.EndOfMessage()
        )
        return connection.start_next_cycle()

    async def _send_ledger(self, connection) -> bool:
        await self._read_body(connection)
        body = json.dumps(
            {
                "runs": self.ledger,
                "peak_in_flight": self.peak_in_flight,
                "peak_connections": self.peak_connections,
            }
        ).encode()
        headers = [(b"content-length", b"%d" % len(body))]
        await connection.send(
            h11.Response(status_code=200, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        return connection.start_next_cycle()


async def _announce(admin: Address, server, announcement: dict) -> None:
    """Renew the announcement until the server drains, then withdraw it."""
    body = json.dumps(announcement).encode()
    target = f"/backend-servers/{server.server_id}".encode()
    while not server.drain_requested.is_set():
        interval_s = RENEW_INTERVAL_S
        try:
            await call_http(admin, HttpRequest(b"PUT", target, [], body), 2.0)
        except GuavagapError:
            interval_s = RETRY_INTERVAL_S
        await curio.ignore_after(interval_s, server.drain_requested.wait)
    try:
        await call_http(admin, HttpRequest(b"DELETE", target, []), 2.0)
    except GuavagapError:
        # The announcement expires with its TTL if the node is unreachable.
        pass
    await server.deregistered.set()


async def _run_server(server, address: Address, admin, announcement: dict) -> None:
    with open_signal_socket() as signals:
        await _run_until_signal(signals, server, address, admin, announcement)


async def _run_until_signal(signals, server, address, admin, announcement) -> None:
    async with open_task_scope("backend-server") as scope:
        listener = open_listener(address)
        await scope.spawn(accept_connections, listener, scope, server.serve)
        if admin is None:
            await signals.recv(1)
            return
        await scope.spawn(_announce, admin, server, announcement)
        await signals.recv(1)
        await server.drain_requested.set()
        await server.deregistered.wait()
        while server.in_flight:
            await curio.sleep(0.05)


@click.command()
@click.option("--address", required=True)
@click.option("--admin-address", default=None)
@click.option("--server-id", required=True)
@click.option("--service", default="catalogue")
@click.option("--version", default="v1")
@click.option("--pool", default="main")
@click.option("--slots", default=9)
@click.option("--connections", default=110)
@click.option("--ttl-s", default=8.0)
@click.option("--delay-ms", default=0.0)
@click.option("--failing-share", default=0.0)
@click.option("--failing-path", default="/")
@click.option("--enforced-slots", default=0)
@click.option("--caller-address", default=None)
def main(
    address,
    admin_address,
    server_id,
    service,
    version,
    pool,
    slots,
    connections,
    ttl_s,
    delay_ms,
    failing_share,
    failing_path,
    enforced_slots,
    caller_address,
):
    """Run a fake backend server."""
    caller = None if caller_address is None else parse_address(caller_address)
    behaviour = Behaviour(delay_ms, failing_share, failing_path, enforced_slots, caller)
    server = FakeBackendServer(server_id, version, slots, behaviour)
    announcement = {
        "service": service,
        "version": version,
        "pool": pool,
        "address": address,
        "slots": slots,
        "connections": connections,
        "ttl_s": ttl_s,
    }
    admin = None if admin_address is None else parse_address(admin_address)
    curio.run(_run_server, server, parse_address(address), admin, announcement)


if __name__ == "__main__":
    main()
