"""Tests of the request rates that backend servers name, in virtual time."""

import random
from contextlib import asynccontextmanager
from typing import NamedTuple

import curio
from curio import socket

from guavagap.backend_proxy import BackendProxy
from guavagap.clock import steady_s
from guavagap.errors import GuavagapError
from guavagap.exchange import Attempt, Downstream, ForwardedRequest
from guavagap.http_messages import HttpResponse, accept_connections, serve_http
from guavagap.messages import BackendServer
from guavagap.platform.headers import PLATFORM_DIALECT
from guavagap.tasks import open_task_scope
from tests.cases import AsyncTestCase, echoed_id
from tests.virtual_time import run_in_virtual_time

# The platform allows this much in any window, from STABLE_WINDOW_S after a backend
# server first named its limit.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
STABLE_WINDOW_S = 3.0
RUN_S = 0.15
SLOTS = 6


class Load(NamedTuple):
    """Requests to one backend server.

    Attributes:
        rate_per_s: requests a second, with random gaps.
        limit_per_s: limit that the answers name.
    """

    rate_per_s: float
    limit_per_s: float
    duration_s: float = 14.0


class _Downstream(Downstream):
    """A request without a body; its response is discarded."""

    chunks: list[bytes] = []
    is_body_complete = True
    is_body_ended = True

    async def read_body(self):
        return None

    async def send_response(self, response):
        self.is_response_started = True

    async def send_chunks(self, chunks, is_complete):
        pass


class NamedLimitTests(AsyncTestCase):
    def test_server_gets_no_more_than_the_limit_that_it_names(self):
        over = {}
        for seed in range(3):
            for limit_per_s in (2.5, 11.7, 19.5):
                load = Load(3 * limit_per_s, limit_per_s)
                busiest = self.busiest_window(self.replay(load, seed))
                if busiest > ALLOWED_RATIO * limit_per_s * WINDOW_S + ALLOWED_EXTRA:
                    over[seed, limit_per_s] = busiest
        self.assertEqual({}, over)

    def busiest_window(self, arrivals_s: list[float]) -> int:
        """Return the most requests in a window that counts."""
        counted = [at_s for at_s in arrivals_s if at_s >= STABLE_WINDOW_S]
        return max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in counted)
            for start_s in counted
        )

    def replay(self, load: Load, seed: int) -> list[float]:
        """Send a load through the proxy of a server; return the arrivals there."""
        arrivals_s: list[float] = []
        rng = random.Random(seed)

        async def case(clock):
            started_s = clock()

            async def run(request):
                arrivals_s.append(clock() - started_s)
                await curio.sleep(RUN_S)
                limit = b"%.1f" % load.limit_per_s
                return HttpResponse(
                    200, [*echoed_id(request), (b"server-limit", limit)]
                )

            async with self.open_proxy(run) as proxy:
                async with curio.TaskGroup() as callers:
                    while clock() - started_s < load.duration_s:
                        await curio.sleep(rng.expovariate(load.rate_per_s))
                        await callers.spawn(self.send, proxy)

        run_in_virtual_time(case)
        return arrivals_s

    async def send(self, proxy: BackendProxy) -> None:
        headers = [(b"host", b"shop"), (b"x-request-id", b"r")]
        request = ForwardedRequest(
            method=b"GET",
            target=b"/x",
            headers=headers,
            content_length_bytes=None,
            has_body=False,
            is_idempotent=True,
            deadline_s=steady_s() + 2.0,
            max_wait_s=0.2,
            target_latency_s=0.5,
        )
        try:
            await proxy.run(request, _Downstream(), Attempt())
        except GuavagapError:
            # Refused requests go to other servers, which this test leaves out.
            pass

    @asynccontextmanager
    async def open_proxy(self, run):
        """Yield the proxy of a backend server that answers with ``run``."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(100)
        ip, port = listener.getsockname()

        async def serve(sock):
            await serve_http(sock, run)

        server = BackendServer("i1", "shop", "v1", "", f"{ip}:{port}", SLOTS, 100)
        async with open_task_scope("test") as scope:
            await scope.spawn(accept_connections, listener, scope, serve)
            proxy = BackendProxy(server, 1.0, PLATFORM_DIALECT)
            yield proxy
            await proxy.connections.close_idle()
