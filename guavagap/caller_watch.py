"""A single task that watches all callers' connections, instead of a timeout each.

It closes connections that exceed the idle timeout, and those whose caller has
disconnected while its request runs; the latter also cancels the request at the
backend server.
"""

from collections import Counter

import curio

from guavagap.clock import steady_s
from guavagap.errors import ErrorKind
from guavagap.http1 import Http1Connection

__all__ = ["ConnectionWatcher", "WatchedConnection"]

WATCH_INTERVAL_S = 0.2


class WatchedConnection:
    """A caller's connection and the start of its current phase.

    A connection either waits for a request or is handling one.

    Args:
        connection: the connection.
        task: the task that serves the connection.
    """

    __slots__ = ("connection", "task", "is_handling_request", "since_s")

    def __init__(self, connection: Http1Connection, task: curio.Task):
        self.connection = connection
        self.task = task
        self.start(is_handling_request=False)

    def start(self, is_handling_request: bool) -> None:
        """Start a phase at the current time."""
        self.is_handling_request = is_handling_request
        self.since_s = steady_s()


class ConnectionWatcher:
    """Watches the connections of one proxy.

    Args:
        idle_timeout_s: how long a connection may wait for a request.
        counts: counts of the proxy by kind of error.
    """

    def __init__(self, idle_timeout_s: float, counts: Counter):
        self.connections: set[WatchedConnection] = set()
        self._idle_timeout_s = idle_timeout_s
        self._counts = counts

    async def run(self) -> None:
        """Check each connection once per interval, until cancelled."""
        while True:
            await curio.sleep(WATCH_INTERVAL_S)
            now_s = steady_s()
            for watched in list(self.connections):
                if self._should_close(watched, now_s):
                    await self._close(watched)

    def _should_close(self, watched: WatchedConnection, now_s: float) -> bool:
        age_s = now_s - watched.since_s
        if watched.is_handling_request:
            return age_s > WATCH_INTERVAL_S and watched.connection.is_closed_by_peer()
        return age_s > self._idle_timeout_s and watched.connection.is_silent()

    async def _close(self, watched: WatchedConnection) -> None:
        if watched.is_handling_request:
            self._counts[ErrorKind.CALLER_GONE.value] += 1
        await watched.task.cancel(blocking=False)
