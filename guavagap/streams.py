"""Streams of a link: one forwarded request each, with flow control of its body.

Each end may send ``INITIAL_CREDIT_BYTES`` of body before the other end grants more
credit, so a slow reader throttles the sender and memory use is bounded.
"""

import curio

from guavagap.client_budget import ClientAccount
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.stream_messages import (
    UNKNOWN_CONDITION,
    Condition,
    StreamAnswer,
    StreamCredit,
    StreamData,
    StreamReset,
)

__all__ = ["INITIAL_CREDIT_BYTES", "MAX_CHUNK_BYTES", "Stream"]

INITIAL_CREDIT_BYTES = 262_144
CREDIT_STEP_BYTES = 65_536
MAX_CHUNK_BYTES = 65_536


class Stream:
    """Local end of a stream.

    Attributes:
        reset: the reset that aborted the stream, or None.
        account: charged with the bytes that were received and not read yet.
    """

    def __init__(self, link, stream_id: int):
        self.link = link
        self.stream_id = stream_id
        self.reset: StreamReset | None = None
        self.account: ClientAccount | None = None
        self._unread_bytes = 0
        self._inbox = curio.Queue()
        self._send_credit_bytes = INITIAL_CREDIT_BYTES
        self._receive_credit_bytes = INITIAL_CREDIT_BYTES
        self._acknowledged_bytes = 0
        self._credit_changed = curio.Event()
        self._task: curio.Task | None = None

    def clear_send_credit(self) -> None:
        """Defer sending of the body until the other end grants credit."""
        self._send_credit_bytes = 0

    def clear_receive_credit(self) -> None:
        """Accept no body bytes until :meth:`grant_credit` is called."""
        self._receive_credit_bytes = 0

    async def deliver(self, message) -> None:
        """Process one message from the link's receiving task.

        Raises:
            GuavagapError: FRAME_INVALID when the sender exceeds its credit.
        """
        if isinstance(message, StreamCredit):
            self._send_credit_bytes += message.credit_bytes
            await self._credit_changed.set()
            return
        if isinstance(message, StreamReset):
            self.reset = message
            await self._credit_changed.set()
            if self._task is not None:
                await self._task.cancel(blocking=False)
        if isinstance(message, (StreamData, StreamAnswer)):
            self._receive_credit_bytes -= len(message.body)
            if self._receive_credit_bytes < 0:
                raise GuavagapError(ErrorKind.FRAME_INVALID, "body exceeds the credit")
            if self.account is not None:
                self._unread_bytes += len(message.body)
                await self.account.hold(len(message.body))
        await self._inbox.put(message)

    def cancel_on_reset(self, task: curio.Task) -> None:
        """Cancel a task when the stream is reset or the link ends."""
        self._task = task

    async def reset_on_link_loss(self) -> None:
        """Reset the stream because its link has ended."""
        await self.deliver(
            StreamReset(self.stream_id, ErrorKind.LINK_LOST.value, "link lost", False)
        )

    async def receive(self):
        """Return the next StreamData, StreamAnswer or StreamReset."""
        message = await self._inbox.get()
        if self.account is not None and isinstance(message, (StreamData, StreamAnswer)):
            self._unread_bytes -= len(message.body)
            self.account.release(len(message.body))
        return message

    def has_message(self) -> bool:
        """Return whether :meth:`receive` would return without waiting."""
        return not self._inbox.empty()

    async def acknowledge_body(self, size_bytes: int) -> None:
        """Grant new credit for forwarded body bytes, ``CREDIT_STEP_BYTES`` or more."""
        self._acknowledged_bytes += size_bytes
        if self._acknowledged_bytes < CREDIT_STEP_BYTES:
            return
        credit_bytes, self._acknowledged_bytes = self._acknowledged_bytes, 0
        await self.grant_credit(credit_bytes)

    async def grant_credit(self, credit_bytes: int) -> None:
        """Allow the other end to send ``credit_bytes`` more body bytes."""
        self._receive_credit_bytes += credit_bytes
        await self.link.send(StreamCredit(self.stream_id, credit_bytes))

    async def wait_for_credit(self) -> None:
        """Wait until there is credit to send or the stream is reset."""
        while not self._send_credit_bytes and self.reset is None:
            self._credit_changed.clear()
            await self._credit_changed.wait()

    async def acquire_credit(self, size_bytes: int) -> None:
        """Wait until there is credit for ``size_bytes`` of body and deduct it.

        Raises:
            GuavagapError: LINK_LOST when the stream has been reset.
        """
        while self._send_credit_bytes < size_bytes and self.reset is None:
            self._credit_changed.clear()
            await self._credit_changed.wait()
        if self.reset is not None:
            raise GuavagapError(ErrorKind.LINK_LOST, self.reset.detail)
        self._send_credit_bytes -= size_bytes

    async def send_body(self, body: bytes, is_complete: bool) -> None:
        """Send body bytes as credit allows."""
        view = memoryview(body)
        while len(view) > MAX_CHUNK_BYTES:
            await self._send_chunk(bytes(view[:MAX_CHUNK_BYTES]), False)
            view = view[MAX_CHUNK_BYTES:]
        await self._send_chunk(bytes(view), is_complete)

    async def _send_chunk(self, chunk: bytes, is_complete: bool) -> None:
        await self.acquire_credit(len(chunk))
        await self.link.send(StreamData(self.stream_id, chunk, is_complete))

    async def send_reset(
        self,
        kind: ErrorKind,
        detail: str,
        is_not_run: bool,
        condition: Condition = UNKNOWN_CONDITION,
        born_ms: int = 0,
    ) -> None:
        """Abort the stream and notify the other end."""
        await self.link.send(
            StreamReset(
                self.stream_id, kind.value, detail, is_not_run, condition, born_ms
            )
        )

    def close(self) -> None:
        """Remove the stream from its link; later frames of it are dropped."""
        if self.account is not None:
            self.account.release(self._unread_bytes)
            self.account = None
        self.link.remove_stream(self.stream_id)
