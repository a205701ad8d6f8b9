"""Tests that failed requests are freed at once, without the garbage collector.

The collector of a node hardly runs. A request that failed, with its body and responses,
was held by a cycle of its error, the frames in the error's traceback, and their local
variables: a process beside clients that do not read exceeded its memory (review/10).
"""

import gc
import weakref
from types import SimpleNamespace

import curio
import h11
from curio import socket

from guavagap.customers import NO_CUSTOMERS
from guavagap.directory import ServerHealth
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import ForwardedRequest, relay_exchange
from guavagap.forwarding import StreamUpstream
from guavagap.handlers import handle_message
from guavagap.http1 import Http1Connection
from guavagap.link import Link
from guavagap.platform.headers import PLATFORM_DIALECT
from guavagap.proxy import Proxy
from guavagap.stream_messages import UNKNOWN_CONDITION, OpenStream, StreamReset
from guavagap.tasks import open_task_scope
from tests.cases import AsyncTestCase
from tests.test_attempts import (
    AttemptsTestCase,
    FirstTargetRouter,
    make_exchange,
    make_target,
)


class Held:
    """What the frames of a request hold."""


class CycleTestCase(AsyncTestCase):
    def setUp(self):
        super().setUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.references: list[weakref.ref] = []

    def hold(self) -> Held:
        held = Held()
        self.references.append(weakref.ref(held))
        return held

    def fail_holding(self, kind: ErrorKind) -> None:
        """Raise an error whose traceback and frame refer to each other."""
        error = GuavagapError(kind, "failed")
        error.held = self.hold()
        raise error

    def assert_freed(self) -> None:
        self.assertNotEqual([], self.references)
        left = [item for item in self.references if item() is not None]
        self.assertEqual(0, len(left), f"of {len(self.references)}")


class AttemptCycleTests(CycleTestCase, AttemptsTestCase):
    def test_refused_placements_are_freed(self):
        tried = []

        async def run_local(server_id, *_):
            tried.append(server_id)
            if len(tried) < 4:
                self.fail_holding(ErrorKind.SLOTS_TAKEN)
            return SimpleNamespace(
                status=200, condition=None, headers=[], is_complete=False, run_s=0.0
            )

        router = FirstTargetRouter([make_target("i0", "za")])
        self.run_attempts(router, run_local, make_exchange())
        self.assertEqual(4, len(tried))
        self.assert_freed()


class _Channel:
    """A channel that records sent messages."""

    def __init__(self):
        self.sent = []

    async def send(self, message):
        self.sent.append(message)


class ForwardingCycleTests(CycleTestCase):
    def test_request_that_its_owner_node_resets_is_freed(self):
        async def case():
            stream = Link(_Channel(), "peer").open_stream()
            upstream = StreamUpstream(stream, "s1", ServerHealth(0.0, True), False)
            upstream.held = self.hold()
            request = ForwardedRequest(b"GET", b"/x", [], None, False, True, 1e9)
            downstream = SimpleNamespace(is_body_complete=True, chunks=[])

            async def relay():
                try:
                    await relay_exchange(request, downstream, upstream)
                except GuavagapError as error:
                    return error.kind

            task = await curio.spawn(relay)
            await curio.sleep(0.01)
            kind = ErrorKind.SLOTS_TAKEN
            await stream.deliver(StreamReset(1, kind.value, "", True))
            self.assertEqual(kind, await task.join())

        self.run_async(case)
        self.assert_freed()

    def test_forwarded_request_that_fails_is_freed(self):
        async def run_local(*_):
            self.fail_holding(ErrorKind.SLOTS_TAKEN)

        async def case():
            channel = _Channel()
            async with open_task_scope("test") as scope:
                node = SimpleNamespace(
                    scope=scope,
                    adopt_limit=lambda *_: None,
                    read_condition=lambda _: UNKNOWN_CONDITION,
                    dialect=PLATFORM_DIALECT,
                    run_local=run_local,
                    configuration=SimpleNamespace(
                        snapshot=SimpleNamespace(customers=NO_CUSTOMERS)
                    ),
                )
                opening = OpenStream(
                    1, "s1", b"GET", b"/x", (), 1000, b"", True, True, 1, 9, 9, False
                )
                await handle_message(opening, node, Link(channel, "peer"))
                while len(scope):
                    await curio.sleep(0.01)
            self.assertEqual([StreamReset], [type(item) for item in channel.sent])

        self.run_async(case)
        self.assert_freed()


class _Account:
    """The account of a trusted client."""

    is_reading_body = False

    async def start_request(self, event, buffered_bytes):
        pass

    async def receive(self, sock, size_bytes, buffered_bytes):
        return await sock.recv(size_bytes)

    async def discard(self, sock, size_bytes):
        return len(await sock.recv(size_bytes))

    async def send(self, sock, data):
        await sock.sendall(data)

    def end_request(self):
        pass


class _FailingProxy(Proxy):
    """A proxy whose requests fail in a given way."""

    def __init__(self, fail):
        node = SimpleNamespace(
            dialect=PLATFORM_DIALECT,
            settings=SimpleNamespace(node_id="n1"),
            caller_idle_timeout_s=10.0,
            configuration=SimpleNamespace(epoch=1),
            is_draining=False,
        )
        super().__init__(node)
        self._fail = fail

    async def _handle_request(self, connection, head, request_id):
        self._fail()


class ProxyCycleTests(CycleTestCase):
    def test_request_that_ends_with_an_error_is_freed(self):
        proxy = _FailingProxy(lambda: self.fail_holding(ErrorKind.NO_ROUTE))

        async def case():
            client, server = socket.socketpair()
            async with client, server:
                connection = Http1Connection(server, h11.SERVER)
                connection.account = _Account()
                await client.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                await client.shutdown(socket.SHUT_WR)
                watched = SimpleNamespace(start=lambda **_: None)
                await proxy._serve_request(connection, watched)
                self.assertTrue((await client.recv(1000)).startswith(b"HTTP/1.1 404"))

        self.run_async(case)
        self.assert_freed()
