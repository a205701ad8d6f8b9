"""Tests of requests forwarded over a link."""

import curio

from guavagap.clock import steady_s
from guavagap.directory import ServerHealth
from guavagap.errors import ErrorKind
from guavagap.exchange import ForwardedRequest, relay_exchange
from guavagap.forwarding import MAX_EAGER_BODY_BYTES, StreamUpstream
from guavagap.link import Link
from guavagap.stream_messages import (
    OpenStream,
    StreamAnswer,
    StreamCredit,
    StreamData,
    StreamReset,
)
from tests.cases import AsyncTestCase
from tests.exchange_cases import Upload

BODY = bytes(MAX_EAGER_BODY_BYTES + 1)
# The first stream of a link.
STREAM_ID = 1


class _Channel:
    """A channel that records sent messages."""

    def __init__(self):
        self.sent = []

    async def send(self, message):
        self.sent.append(message)


def make_request() -> ForwardedRequest:
    deadline_s = steady_s() + 2.0
    return ForwardedRequest(b"POST", b"/x", [], len(BODY), True, False, deadline_s)


class DeferredBodyTests(AsyncTestCase):
    def start(self):
        """Return channel, stream and upstream to a node of another failure domain."""
        channel = _Channel()
        stream = Link(channel, "peer").open_stream()
        health = ServerHealth(0.0, True)
        return (
            channel,
            stream,
            StreamUpstream(stream, "s1", health, is_cross_domain=True),
        )

    async def send(self, upstream):
        """Start sending a request; return the task once its head is sent."""
        task = await curio.spawn(upstream.send_request, make_request(), [BODY], True)
        await curio.sleep(0)
        return task

    def test_body_is_sent_after_credit_is_granted(self):
        async def case():
            channel, stream, upstream = self.start()
            task = await self.send(upstream)
            self.assertEqual([OpenStream], [type(item) for item in channel.sent])
            self.assertFalse(upstream.is_written)
            await stream.deliver(StreamCredit(stream.stream_id, len(BODY)))
            await task.join()
            self.assertTrue(upstream.is_written)
            self.assertEqual(StreamData(stream.stream_id, BODY, True), channel.sent[1])

        self.run_async(case)

    def test_refusal_without_credit_leaves_the_body_unsent(self):
        async def case():
            channel, stream, upstream = self.start()
            task = await self.send(upstream)
            await stream.deliver(
                StreamReset(stream.stream_id, ErrorKind.SLOTS_TAKEN.value, "", True)
            )
            await task.join()
            await self.assert_error_kind(
                ErrorKind.SLOTS_TAKEN, upstream.read_response()
            )
            self.assertFalse(upstream.is_written)
            self.assertEqual(1, len(channel.sent))

        self.run_async(case)

    def test_link_loss_before_the_body_leaves_the_request_not_run(self):
        async def case():
            _, stream, upstream = self.start()
            task = await self.send(upstream)
            await stream.reset_on_link_loss()
            await self.assert_error_kind(
                ErrorKind.LINK_UNREACHABLE, join_and_raise(task)
            )
            self.assertFalse(upstream.is_written)

        self.run_async(case)


class LongBodyTests(AsyncTestCase):
    """A body that is not read completely, to a node of the same failure domain."""

    async def relay(self, *messages):
        """Relay an upload whose owner node sends messages; return what it was sent.

        Raises:
            GuavagapError: the error that the messages cause.
        """
        channel = _Channel()
        stream = Link(channel, "peer").open_stream()
        upstream = StreamUpstream(
            stream, "s1", ServerHealth(0.0, True), is_cross_domain=False
        )
        self.downstream = Upload([BODY, BODY])
        task = await curio.spawn(
            relay_exchange, make_request(), self.downstream, upstream
        )
        for message in messages:
            await curio.sleep(0.01)
            await stream.deliver(message)
        await join_and_raise(task)
        return [item for item in channel.sent if isinstance(item, StreamData)]

    def test_refusal_for_a_slot_comes_before_the_rest_is_read(self):
        """The upload was refused, since a part of it was gone with the refusal."""

        async def case():
            await self.assert_error_kind(
                ErrorKind.SLOTS_TAKEN,
                self.relay(
                    StreamReset(STREAM_ID, ErrorKind.SLOTS_TAKEN.value, "", True)
                ),
            )
            self.assertFalse(self.downstream.is_body_consumed)

        self.run_async(case)

    def test_refusal_while_the_body_is_sent_keeps_its_kind(self):
        """It was reported as a lost link: 502 for what had not run."""

        async def case():
            kind = ErrorKind.CONNECT_FAILED
            credit = StreamCredit(STREAM_ID, len(BODY) - 1)
            refusal = StreamReset(STREAM_ID, kind.value, "", True)
            await self.assert_error_kind(kind, self.relay(credit, refusal))

        self.run_async(case)

    def test_whole_body_is_sent_once_there_is_a_slot(self):
        async def case():
            credit = StreamCredit(STREAM_ID, 10 * len(BODY))
            answer = StreamAnswer(STREAM_ID, 200, (), b"", True)
            sent = await self.relay(credit, answer)
            self.assertEqual(2 * len(BODY), sum(len(item.body) for item in sent))

        self.run_async(case)


async def join_and_raise(task):
    """Join a task; return its result or raise its error."""
    try:
        return await task.join()
    except curio.TaskError as error:
        raise error.__cause__ from None
