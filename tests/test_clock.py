"""Tests of what a node does after its VM was suspended for seconds."""

import time
from contextlib import contextmanager
from types import SimpleNamespace
from unittest.mock import patch

import curio
import h11

from guavagap.addresses import Address
from guavagap.backend_connections import BackendConnectionPool, BackendUpstream
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind
from guavagap.exchange import ForwardedRequest
from guavagap.http1 import Http1Connection
from guavagap.platform.headers import PLATFORM_DIALECT
from guavagap.store_relay import StoreRelay
from tests.cases import AsyncTestCase

SUSPENDED_S = 10.0
DEADLINE_S = 5.0


@contextmanager
def suspended_vm():
    """Let the time of a suspension pass, which CLOCK_MONOTONIC does not count."""
    read_clock = time.clock_gettime

    def read_later(clock_id: int) -> float:
        offset_s = SUSPENDED_S if clock_id == time.CLOCK_BOOTTIME else 0.0
        return read_clock(clock_id) + offset_s

    with patch("time.clock_gettime", read_later):
        yield


class _Socket:
    def __init__(self):
        self.sent = b""

    async def sendall(self, data: bytes) -> None:
        self.sent += data

    async def close(self) -> None:
        pass


class SuspensionTests(AsyncTestCase):
    def test_request_whose_deadline_has_passed_is_not_sent(self):
        async def case():
            sock = _Socket()
            upstream = BackendUpstream(
                Http1Connection(sock, h11.CLIENT),
                BackendConnectionPool(Address("127.0.0.1", 1)),
                lambda: True,
                "i1",
                PLATFORM_DIALECT,
            )
            headers = [(b"host", b"shop"), (b"x-request-id", b"r1")]
            request = ForwardedRequest(
                b"GET", b"/x", headers, None, False, True, steady_s() + DEADLINE_S
            )
            with suspended_vm():
                await self.assert_error_kind(
                    ErrorKind.DEADLINE_BEFORE_RUN,
                    upstream.send_request(request, [], True),
                )
            self.assertEqual(b"", sock.sent)
            self.assertFalse(upstream.is_written)

        self.run_async(case)

    def test_relay_claims_no_current_view_of_the_store(self):
        pushed = []

        async def push_heartbeat():
            pushed.append(steady_s())

        async def case():
            table = SimpleNamespace(local_domain_rank=lambda: 0)
            disseminator = SimpleNamespace(
                relay_seen_at_s=float("-inf"), push_heartbeat=push_heartbeat
            )
            relay = StoreRelay(None, table, None, disseminator, None)
            relay.is_active = True
            relay._store_contact_at_s = steady_s()
            task = await curio.spawn(relay._send_relay_heartbeats)
            while not pushed:
                await curio.sleep(0)
            with suspended_vm():
                pushed.clear()
                for _ in range(100):
                    await curio.sleep(0)
                self.assertEqual([], pushed)
            await task.cancel()

        with patch("guavagap.store_relay.RELAY_HEARTBEAT_INTERVAL_S", 0.0):
            self.run_async(case)
