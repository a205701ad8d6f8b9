"""Tests of the handlers of link messages."""

from types import SimpleNamespace

from guavagap.handlers import handle_message
from guavagap.link import MAX_STREAMS, Link
from guavagap.stream_messages import OpenStream, StreamReset
from tests.cases import AsyncTestCase


def make_open_stream(stream_id: int) -> OpenStream:
    return OpenStream(stream_id, "s1", b"POST", b"/x", (), 1000, b"", False, False)


class _SlowScope:
    """A scope that records spawned tasks without running them, as if it were busy."""

    def __init__(self):
        self.spawned = []

    async def spawn(self, function, *args):
        self.spawned.append((function, args))


class _Channel:
    """A channel that records sent messages."""

    def __init__(self):
        self.sent = []

    async def send(self, message):
        self.sent.append(message)


class OpenStreamTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.channel = _Channel()
        self.link = Link(self.channel, "peer")
        self.node = SimpleNamespace(scope=_SlowScope())

    def handle(self, message):
        self.run_async(handle_message, message, self.node, self.link)

    def test_stream_is_registered_before_its_task_runs(self):
        self.handle(make_open_stream(7))
        self.assertIn(7, self.link.streams)

    def test_request_reset_before_its_task_runs_is_not_run(self):
        self.handle(make_open_stream(7))
        reset = StreamReset(7, "caller_gone", "cancelled", False)
        self.run_async(self.link.streams[7].deliver, reset)
        ((run, args),) = self.node.scope.spawned
        self.run_async(run, *args)
        self.assertEqual({}, self.link.streams)
        self.assertEqual([], self.channel.sent)

    def test_stream_beyond_the_limit_is_refused_as_not_run(self):
        for number in range(MAX_STREAMS):
            self.link.add_stream(number)
        self.handle(make_open_stream(MAX_STREAMS))
        (reset,) = self.channel.sent
        self.assertEqual(("overloaded", True), (reset.kind, reset.is_not_run))
        self.assertFalse(self.link.is_closed)
