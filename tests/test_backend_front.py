"""Tests of what the front of a backend server makes of a lost connection."""

import time

import curio
from curio import socket

from guavagap.backend_front import BackendFront
from guavagap.errors import ErrorKind
from guavagap.exchange import Attempt, Downstream, ForwardedRequest
from guavagap.messages import BackendServer
from tests.cases import ASYNC_TIMEOUT_S, AsyncTestCase

# Within what a process that ends takes to close its sockets.
LISTENER_OUTLIVES_S = 0.01


class _NoDownstream(Downstream):
    """A request without a body whose answer nobody reads."""

    chunks: list[bytes] = []
    is_body_complete = True
    is_body_ended = True

    async def read_body(self):
        return None

    async def send_answer(self, answer):
        raise AssertionError("no answer was sent")

    async def send_chunks(self, chunks, is_complete):
        raise AssertionError("no answer was sent")


def make_request() -> ForwardedRequest:
    return ForwardedRequest(
        method=b"GET",
        target=b"/x",
        headers=[(b"host", b"shop")],
        content_length_bytes=None,
        has_body=False,
        is_idempotent=True,
        deadline_s=time.monotonic() + 2.0,
    )


class LostConnectionTests(AsyncTestCase):
    async def run_on(self, serve) -> None:
        """Run a request on a backend server that ``serve`` plays.

        Args:
            serve: called with the listener and the request's connection.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(10)
        ip, port = listener.getsockname()

        async def accept_one():
            client, _ = await listener.accept()
            await client.recv(1000)
            await serve(listener, client)

        server = BackendServer(
            server_id="i1",
            service="shop",
            address=f"{ip}:{port}",
            version="v1",
            pool="",
            slots=4,
            connections=10,
        )
        task = await curio.spawn(accept_one, daemon=True)
        front = BackendFront(server, 1.0)
        try:
            await front.run(make_request(), _NoDownstream(), Attempt())
        finally:
            await task.cancel()
            await front.connections.close_idle()
            await listener.close()

    def test_listener_that_closes_after_the_connection_is_a_crash(self):
        async def end(listener, client):
            await client.close()
            await curio.sleep(LISTENER_OUTLIVES_S)
            await listener.close()

        async def case():
            await self.assert_kind(ErrorKind.BACKEND_SERVER_CRASHED, self.run_on(end))

        self.run_async(case)

    def test_listener_that_stays_is_no_crash(self):
        async def lose(listener, client):
            await client.close()
            async with (await listener.accept())[0]:
                await curio.sleep(ASYNC_TIMEOUT_S)

        async def case():
            await self.assert_kind(ErrorKind.BACKEND_SERVER_LOST, self.run_on(lose))

        self.run_async(case)
