"""Limits of the memory and connections that clients of this process may take.

Clients are not trusted. Whatever holds their bytes is charged to the account of its
connection, and all accounts share one budget, which is derived from the memory of the
VM. Bodies wait while their part of the budget is used up; beyond the whole budget, the
connections of the slowest clients that hold most are dropped. The connections of each
listener are limited as well, by a share of the descriptors, and those that stall in
the middle of a request are dropped first.
"""

import resource
from collections import Counter, deque
from contextlib import asynccontextmanager
from typing import NamedTuple

import curio
from curio.traps import _read_wait, _write_wait

from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.tasks import forget_frames

__all__ = [
    "ClientAccount",
    "ClientBudget",
    "ClientLimits",
    "ClientListener",
    "HEAVY_HEAD_BYTES",
    "MAX_API_BODY_BYTES",
    "MIN_BYTES_PER_S",
    "derive_limits",
]

log = get_logger()

MB = 1_000_000
# A process without clients; the target in CAPACITY.md, measured are 55 MB at 96 nodes.
PROCESS_MB = 64
# The heap takes about twice the bytes that are charged: blocks of 64 kB are copied
# between buffers, and freed ones leave gaps. The rest is a margin.
BUDGET_SHARE_OF_REST = 0.3
# One request with a body of any size holds less than a megabyte at a time.
MIN_BUDGET_BYTES = 8 * MB
# Used where the memory of the VM is not known.
ASSUMED_MEMORY_MB = 1024
# The rest of the budget is left to heads, small bodies and responses.
BODY_SHARE_OF_BUDGET = 0.75
# Used where the process has no limit.
ASSUMED_DESCRIPTORS = 1_000_000
# The platform keeps these descriptors for files.
RESERVED_DESCRIPTORS = 200
# The rest of the descriptors is left to links, the store and backend servers.
CALLER_SHARE_OF_DESCRIPTORS = 0.6
API_SHARE_OF_DESCRIPTORS = 0.1
ADMIN_SHARE_OF_DESCRIPTORS = 0.05
# A few backend servers and checks of the platform use these listeners.
MAX_API_CONNECTIONS = 256
MAX_ADMIN_CONNECTIONS = 128
MIN_CONNECTIONS = 8
# A heartbeat has a few hundred bytes; an announcement or a list of faults a few
# thousand.
MAX_API_BODY_BYTES = 16_384
# Requests that hold no more than this never wait for the budget of bodies.
ORDINARY_REQUEST_BYTES = 16_384
# Memory of a parsed header field beyond the bytes of its line.
FIELD_BYTES = 256
# Heads below this size are parsed in less than a millisecond.
HEAVY_HEAD_BYTES = 4096
# A client that reads has this long for each response part, plus the time that its bytes
# take at the minimum pace.
SEND_GRACE_S = 15.0
SEND_POLL_S = 5.0
MIN_BYTES_PER_S = 1024
# Bodies that wait this long for the budget are refused.
MAX_BODY_WAIT_S = 5.0
# The slowest client is dropped once a body has waited for longer than this.
DROP_AFTER_BODY_WAIT_S = 0.3
TICK_S = 0.02
# Bytes that a body adds with each read.
READ_BYTES = 65_536
# Pace is judged with so many bytes added, so that clients that hold little come last.
PACE_OFFSET_BYTES = 65_536
# A client that has kept a request waiting for longer is taken to be stalled.
STALLED_S = 1.0
LOG_INTERVAL_S = 1.0
# A dropped connection ends within a few turns of the other tasks.
MAX_YIELDS = 8
MAX_PARSE_WAIT_S = 1.0


class ClientLimits(NamedTuple):
    """Limits of one process.

    Attributes:
        held_bytes: bytes of clients that may be held.
        body_bytes: part of ``held_bytes`` beyond which bodies wait.
        caller_connections: connections of callers.
        api_connections: connections for readiness checks and heartbeats together.
        admin_connections: connections of the admin port.
    """

    held_bytes: int
    body_bytes: int
    caller_connections: int
    api_connections: int
    admin_connections: int


def derive_limits(
    memory_limit_mb: int, max_descriptors: int, max_caller_connections: int
) -> ClientLimits:
    """Return the limits of a process.

    Args:
        memory_limit_mb: memory that the process may use; 0 if unknown.
        max_descriptors: descriptors that the process may use; 0 for the limit of the
            process itself.
        max_caller_connections: highest number of connections of callers.
    """
    rest_mb = (memory_limit_mb or ASSUMED_MEMORY_MB) - PROCESS_MB
    held_bytes = max(MIN_BUDGET_BYTES, int(rest_mb * MB * BUDGET_SHARE_OF_REST))
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if process_limit == resource.RLIM_INFINITY:
        process_limit = ASSUMED_DESCRIPTORS
    usable = (max_descriptors or process_limit) - RESERVED_DESCRIPTORS

    def share(part: float, most: int) -> int:
        return max(MIN_CONNECTIONS, min(most, int(usable * part)))

    return ClientLimits(
        held_bytes,
        int(held_bytes * BODY_SHARE_OF_BUDGET),
        share(CALLER_SHARE_OF_DESCRIPTORS, max_caller_connections),
        share(API_SHARE_OF_DESCRIPTORS, MAX_API_CONNECTIONS),
        share(ADMIN_SHARE_OF_DESCRIPTORS, MAX_ADMIN_CONNECTIONS),
    )


class ClientAccount:
    """What one connection holds of its client's bytes, and how fast the client is.

    Attributes:
        task: the task that serves the connection.
        held_bytes: bytes charged to the budget.
        is_dropped: whether the connection is being closed.
        is_in_request: whether a request is being handled.
        is_reading_body: whether what is read next belongs to a body.
        is_answered: whether what is read next belongs to a request that has been
            answered.
        has_served: whether a request has been handled before.
        is_wait_cut: whether the last wait for the client was ended by a cancellation or
            a deadline.
    """

    __slots__ = (
        "task",
        "held_bytes",
        "is_dropped",
        "is_in_request",
        "is_reading_body",
        "is_answered",
        "has_served",
        "is_wait_cut",
        "_listener",
        "_budget",
        "_buffered_bytes",
        "_transit_bytes",
        "_moved_bytes",
        "_waited_s",
        "_waiting_since_s",
        "_is_waiting_for_budget",
    )

    def __init__(self, listener: "ClientListener", task: curio.Task):
        self.task = task
        self.held_bytes = 0
        self.is_dropped = False
        self.is_in_request = False
        self.is_reading_body = False
        self.is_answered = False
        self.has_served = False
        self.is_wait_cut = False
        self._listener = listener
        self._budget = listener.budget
        self._buffered_bytes = 0
        self._transit_bytes = 0
        self._moved_bytes = 0
        self._waited_s = 0.0
        self._waiting_since_s: float | None = None
        self._is_waiting_for_budget = False

    @property
    def listener(self) -> "ClientListener":
        """The listener that has accepted the connection."""
        return self._listener

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for its client, or for a part of the budget."""
        return self._waiting_since_s is not None or self._is_waiting_for_budget

    @property
    def is_request_partial(self) -> bool:
        """Whether a part of a request has been received that has no response yet."""
        return self.is_in_request or self._buffered_bytes > 0

    def waited_s(self, now_s: float) -> float:
        """Return how long the present request has waited for its client."""
        if self._waiting_since_s is None:
            return self._waited_s
        return self._waited_s + now_s - self._waiting_since_s

    def burden(self, now_s: float) -> float:
        """Return bytes held, weighted by the time that each byte has taken."""
        pace_s = self.waited_s(now_s) / (self._moved_bytes + PACE_OFFSET_BYTES)
        return self.held_bytes * (pace_s + 1e-9)

    def drop_order(self, now_s: float) -> tuple[int, float]:
        """Return the sort key of connections that wait.

        Those come first that stall in a request or have been answered, then those that
        wait for a part of the budget, then those that have not sent a request yet. Idle
        connections of clients that have been served come last.
        """
        waited_s = self.waited_s(now_s)
        is_partial = self.is_request_partial
        if self.is_answered or is_partial and waited_s > STALLED_S:
            return 0, -waited_s
        if self._is_waiting_for_budget:
            return 1, -self.held_bytes
        if is_partial or not self.has_served:
            return 2, -waited_s
        return 3, -waited_s

    def end_request(self) -> None:
        """Release what the request held, except bytes of the next one."""
        self.is_in_request = False
        self.is_reading_body = False
        self.has_served = True
        self.is_wait_cut = False
        self._waited_s = 0.0
        self._moved_bytes = 0
        self._transit_bytes = 0
        self._adjust(self._buffered_bytes - self.held_bytes)

    def close(self) -> None:
        """Release everything; later charges have no effect."""
        self._adjust(-self.held_bytes)
        self.is_in_request = False

    def _adjust(self, delta_bytes: int) -> None:
        self.held_bytes += delta_bytes
        self._budget.held_bytes += delta_bytes

    async def hold(self, size_bytes: int) -> None:
        """Charge bytes that are held until the end of the request."""
        if not self.is_in_request:
            # What a closed exchange still delivers belongs to no request.
            return
        self._adjust(size_bytes)
        if self._budget.is_exceeded:
            await self._budget.request_room()

    def release(self, size_bytes: int) -> None:
        """Release bytes that were charged with :meth:`hold`."""
        if self.is_in_request:
            self._adjust(-size_bytes)

    async def set_transit(self, size_bytes: int) -> None:
        """Charge the part of a body that is being passed on, in place of the last."""
        delta_bytes = size_bytes - self._transit_bytes
        self._transit_bytes = size_bytes
        await self.hold(delta_bytes)

    def set_buffered(self, size_bytes: int) -> None:
        """Charge the bytes in the parser's buffer, in place of the previous ones."""
        if size_bytes != self._buffered_bytes:
            self._adjust(size_bytes - self._buffered_bytes)
            self._buffered_bytes = size_bytes

    async def parse_in_turn(self, protocol, buffered_bytes: int):
        """Return the next event of a large head, when there is room for its fields.

        The fields of a head take many times the memory of its bytes, and tens of
        milliseconds; the other tasks run between two heads.

        Args:
            protocol: the ``h11`` state machine of the connection.
            buffered_bytes: received bytes that were not parsed yet.
        """
        self.set_buffered(buffered_bytes)
        self._is_waiting_for_budget = True
        try:
            async with self._budget.parser_turn:
                await self._budget.wait_below_limit()
                self._is_waiting_for_budget = False
                event = protocol.next_event()
                await curio.sleep(0)
        finally:
            self._is_waiting_for_budget = False
        return event

    async def start_request(self, event, buffered_bytes: int) -> None:
        """Charge a parsed request head, and the bytes that were received after it."""
        self.is_in_request = True
        self.set_buffered(buffered_bytes)
        await self.hold(FIELD_BYTES * len(event.headers) + len(event.target))

    async def receive(self, sock, size_bytes: int, buffered_bytes: int) -> bytes:
        """Receive bytes; those of large bodies wait for the budget.

        Args:
            sock: the client's ``curio`` socket.
            size_bytes: the most to receive.
            buffered_bytes: received bytes that were not parsed yet.

        Raises:
            GuavagapError: OVERLOADED when there is no room for a body in time.
        """
        self.set_buffered(buffered_bytes)
        if self._budget.is_exceeded:
            await self._budget.request_room()
        while True:
            if self.is_reading_body and self._is_large_without_room():
                await self._wait_for_room()
            try:
                data = sock._socket.recv(size_bytes)
            except (BlockingIOError, InterruptedError):
                await self._wait_for_client(_read_wait, sock._fileno)
                continue
            self._moved_bytes += len(data)
            return data

    async def _wait_for_room(self) -> None:
        self._is_waiting_for_budget = True
        try:
            await self._budget.wait_for_room()
        finally:
            self._is_waiting_for_budget = False

    async def discard(self, sock, size_bytes: int) -> int:
        """Receive bytes of an answered request; return their number, 0 at the end."""
        self.is_answered = True
        return len(await self._wait_for_client(sock.recv, size_bytes))

    def _is_large_without_room(self) -> bool:
        return (
            self.held_bytes > ORDINARY_REQUEST_BYTES and self._budget.is_body_room_used
        )

    async def _wait_for_client(self, function, *args):
        """Call a function that waits for the client, and add up the time."""
        started_s = self._waiting_since_s = steady_s()
        self.is_wait_cut = True
        try:
            result = await function(*args)
            self.is_wait_cut = False
            return result
        finally:
            self._waiting_since_s = None
            self._waited_s += steady_s() - started_s

    async def send(self, sock, data: bytes) -> None:
        """Send bytes within the time that the minimum pace allows.

        Raises:
            OSError: the client has closed the connection or reads too slowly.
        """
        try:
            sent_bytes = sock._socket.send(data)
        except (BlockingIOError, InterruptedError):
            sent_bytes = 0
        self._moved_bytes += sent_bytes
        if sent_bytes == len(data):
            return
        left = memoryview(data)[sent_bytes:]
        # The sender keeps its own copy meanwhile.
        held_bytes = 2 * len(data)
        await self.hold(held_bytes)
        timeout_s = SEND_GRACE_S + len(left) / MIN_BYTES_PER_S
        try:
            async with curio.timeout_after(timeout_s):
                await self._send_rest(sock, left)
        except curio.TaskTimeout as error:
            forget_frames(error)
            self._budget.record("slow_reader", self._listener.name)
            raise TimeoutError("the client reads too slowly") from None
        finally:
            self.release(held_bytes)

    async def _send_rest(self, sock, left: memoryview) -> None:
        """Send bytes as the client reads.

        The kernel reports a socket as writable only once a third of its send buffer of
        up to megabytes is free, so it is tried at intervals as well.
        """
        while left:
            try:
                sent_bytes = sock._socket.send(left)
            except (BlockingIOError, InterruptedError):
                await self._wait_until_writable(sock)
                continue
            self._moved_bytes += sent_bytes
            left = left[sent_bytes:]

    async def _wait_until_writable(self, sock) -> None:
        """Wait until a socket is reported as writable, or is to be tried again."""
        try:
            await curio.timeout_after(
                SEND_POLL_S, self._wait_for_client, _write_wait, sock._fileno
            )
        except curio.TaskTimeout as error:
            forget_frames(error)
            self.is_wait_cut = False


class ClientListener:
    """The connections that one kind of listener has accepted.

    Args:
        budget: the budget of the process.
        name: name in logs and metrics.
        max_connections: number of connections beyond which some are dropped.
    """

    def __init__(self, budget: "ClientBudget", name: str, max_connections: int):
        self.budget = budget
        self.name = name
        self.max_connections = max_connections
        self.accounts: set[ClientAccount] = set()
        self.dropped_count = 0

    @asynccontextmanager
    async def open_account(self, connection):
        """Yield the account of a connection that the current task serves.

        Raises:
            GuavagapError: OVERLOADED when there are too many connections, none of
                which waits.
        """
        account = ClientAccount(self, await curio.current_task())
        connection.account = account
        self.accounts.add(account)
        try:
            if len(self.accounts) - self.dropped_count > self.max_connections:
                await self._drop_for(account)
            yield account
        finally:
            self.accounts.discard(account)
            self.dropped_count -= account.is_dropped
            self.budget.on_closed(account)

    def record_refusal(self, reason: str) -> None:
        """Count and log a refusal by this listener."""
        self.budget.record(reason, self.name)

    async def _drop_for(self, account: ClientAccount) -> None:
        now_s = steady_s()
        candidates = [
            other
            for other in self.accounts
            if other.is_waiting and not other.is_dropped
        ]
        if candidates:
            first = min(candidates, key=lambda other: other.drop_order(now_s))
            await self.budget.drop(first, "connections")
            return
        account.is_dropped = True
        self.dropped_count += 1
        self.budget.record("connection_refused", self.name)
        raise GuavagapError(ErrorKind.OVERLOADED, f"too many {self.name} connections")


class ClientBudget:
    """The bytes that the clients of this process may hold, and their connections.

    Args:
        limits: limits of the process.

    Attributes:
        held_bytes: bytes held at present.
        counts: clients refused or dropped, by reason.
        parser_turn: lock of the task that parses a large head.
    """

    def __init__(self, limits: ClientLimits):
        self.limits = limits
        self.held_bytes = 0
        self.counts: Counter[str] = Counter()
        self.parser_turn = curio.Lock()
        self.callers = ClientListener(self, "caller", limits.caller_connections)
        self.api = ClientListener(self, "api", limits.api_connections)
        self.admin = ClientListener(self, "admin", limits.admin_connections)
        self._dropping_bytes = 0
        self._dropping: dict[ClientAccount, int] = {}
        self._waiters: deque[tuple[float, curio.Event]] = deque()
        self._is_room_requested = curio.Event()
        self._unlogged: Counter[str] = Counter()
        self._logged_at_s: dict[str, float] = {}

    @property
    def listeners(self) -> tuple[ClientListener, ...]:
        """All listeners."""
        return self.callers, self.api, self.admin

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than allowed, even after the present drops."""
        return self.held_bytes - self._dropping_bytes > self.limits.held_bytes

    @property
    def is_body_room_used(self) -> bool:
        """Whether large bodies have to wait."""
        return bool(self._waiters) or self.held_bytes > self.limits.body_bytes

    async def run(self) -> None:
        """Make room when requested, until cancelled."""
        while True:
            await self._is_room_requested.wait()
            self._is_room_requested.clear()
            await self._drop_excess()
            await self._serve_waiters()
            if self._waiters:
                await curio.sleep(TICK_S)
                await self._is_room_requested.set()

    async def request_room(self) -> None:
        """Have the clients dropped that exceed the budget, and let them end."""
        await self._is_room_requested.set()
        for _ in range(MAX_YIELDS):
            await curio.sleep(0)
            if self.held_bytes <= self.limits.held_bytes:
                return

    async def wait_for_room(self) -> None:
        """Wait until bodies may be read.

        Raises:
            GuavagapError: OVERLOADED after ``MAX_BODY_WAIT_S``.
        """
        event = curio.Event()
        waiter = (steady_s(), event)
        self._waiters.append(waiter)
        try:
            await self._is_room_requested.set()
            async with curio.timeout_after(MAX_BODY_WAIT_S):
                await event.wait()
        except curio.TaskTimeout as error:
            forget_frames(error)
            self.record("body_refused", "caller")
            raise GuavagapError(
                ErrorKind.OVERLOADED, "no memory for the request body"
            ) from None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    async def wait_below_limit(self) -> None:
        """Wait until dropped clients have released what exceeds the budget."""
        end_s = 0.0
        while self.held_bytes > self.limits.held_bytes:
            now_s = steady_s()
            end_s = end_s or now_s + MAX_PARSE_WAIT_S
            if now_s >= end_s:
                return
            await self._is_room_requested.set()
            await curio.sleep(TICK_S)

    async def _drop_excess(self) -> None:
        while self.is_exceeded:
            if not await self._drop_worst():
                return

    async def _serve_waiters(self) -> None:
        """Wake the waiters for which there is room, or make room for them."""
        free_bytes = self.limits.body_bytes - self.held_bytes
        while self._waiters and free_bytes > 0:
            _, event = self._waiters.popleft()
            free_bytes -= READ_BYTES
            await event.set()
        if not self._waiters or self._dropping:
            return
        if steady_s() - self._waiters[0][0] > DROP_AFTER_BODY_WAIT_S:
            await self._drop_worst(STALLED_S)

    async def _drop_worst(self, min_waited_s: float = 0.0) -> bool:
        """Drop the client with the highest burden; return whether there was one."""
        now_s = steady_s()
        candidates = [
            account
            for listener in self.listeners
            for account in listener.accounts
            if account.held_bytes > 0
            and not account.is_dropped
            and account.waited_s(now_s) >= min_waited_s
        ]
        if not candidates:
            return False
        worst = max(candidates, key=lambda account: account.burden(now_s))
        await self.drop(worst, "memory")
        return True

    async def drop(self, account: ClientAccount, reason: str) -> None:
        """Close the connection of a client."""
        account.is_dropped = True
        account.listener.dropped_count += 1
        self._dropping[account] = account.held_bytes
        self._dropping_bytes += account.held_bytes
        self.record(reason, account.listener.name)
        await account.task.cancel(blocking=False)

    def on_closed(self, account: ClientAccount) -> None:
        """Release what a closed connection held."""
        self._dropping_bytes -= self._dropping.pop(account, 0)
        account.close()

    def record(self, reason: str, listener_name: str) -> None:
        """Count a refusal, and log one line a second for each reason."""
        self.counts[reason] += 1
        self._unlogged[reason] += 1
        now_s = steady_s()
        if now_s - self._logged_at_s.get(reason, 0.0) < LOG_INTERVAL_S:
            return
        self._logged_at_s[reason] = now_s
        log.warning(
            "client refused",
            reason=reason,
            listener=listener_name,
            count=self._unlogged.pop(reason),
            total=self.counts[reason],
            held_bytes=self.held_bytes,
            limit_bytes=self.limits.held_bytes,
            connections=sum(len(listener.accounts) for listener in self.listeners),
        )
