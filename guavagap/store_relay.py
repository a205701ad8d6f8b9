"""Relaying of the platform's metadata store to a failure domain.

Two members of each failure domain watch the store and push its changes to the
others, so the number of store calls does not depend on the size of the mesh. A
member that no relay has contacted for ``RELAY_TIMEOUT_S`` watches the store itself.
Several watchers at once do no harm: pushed changes are merged by position. After a
restore of the store a watcher lists all items, since a watch cannot tell what was lost.

A node that starts needs the configuration, of up to a megabyte. On a slow link that
takes most of a second, so the node lists only the nodes' own keys, fetches the
configuration from a member of its failure domain, compressed, and asks the store for
what is newer. If no member has it, the first members list everything.
"""

from typing import Awaitable, Callable, NamedTuple

import curio

from guavagap.backoff import Backoff
from guavagap.clock import steady_s
from guavagap.declared_configuration import DeclaredConfiguration
from guavagap.dissemination import RELAY_TIMEOUT_S, Disseminator
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.metadata_store import Listing, MetadataStore
from guavagap.store_positions import StorePosition
from guavagap.tasks import TaskScope, run_step

__all__ = ["StoreRelay"]

log = get_logger()

# Two, so that the failure or isolation of one does not delay its failure domain.
RELAYS_PER_DOMAIN = 2
# A change must be applied everywhere within 2 s. In that time a member that receives
# no more heartbeats has to detect this, query the store and apply the response.
RELAY_HEARTBEAT_INTERVAL_S = 0.4
# A heartbeat and the delay that its path may take.
MAX_RELAY_SILENCE_S = 0.5
IDLE_CHECK_S = 0.2
# A watch whose connection or store went silent is given up after the sum of these. The
# sum and a poll must fit into the time after an outage in which no change is due.
WATCH_WAIT_S = 1.8
WATCH_RESPONSE_TIMEOUT_S = 0.8
# After a failed call, changes are polled until the store responds, because a call that
# an unavailable store received may never be answered. The time limit of a poll and the
# longest pause between the starts of two polls bound the time to recover.
POLL_WAIT_S = 0.0
POLL_TIMEOUT_S = 1.5
# Changes within these times are received by one watch instead of many. Each watch is
# billed, and a change of the configuration has seconds to take effect. Changes of
# entries alone come in large numbers when many nodes start, and are not urgent.
WATCH_PAUSE_S = 0.2
ENTRY_WATCH_PAUSE_S = 0.6
# After its first listing, a node is usually contacted by a relay within this time, or
# knows that it is one.
JOIN_PAUSE_S = 1.0
STORE_CONTACT_TIMEOUT_S = ENTRY_WATCH_PAUSE_S + WATCH_WAIT_S + WATCH_RESPONSE_TIMEOUT_S
BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 1.5
ALL_KEYS_PREFIX = ""
# Prefix of the keys that nodes write, among them the entries of nodes.
NODE_KEYS_PREFIX = "mesh/"
# Members that were not stopped respond to an introduction within this time.
INTRODUCTION_TIMEOUT_S = 0.25
INTRODUCTION_INTERVAL_S = 0.1
# Members that started at the same time have listed the store and serve it by then.
MAX_FETCH_DELAY_S = 0.9


class _Read(NamedTuple):
    """A read of the store.

    Attributes:
        after: position after which it shows all changes; None if it is a listing.
    """

    listing: Listing
    sent_at_s: float
    after: StorePosition | None = None


def _ignore_read(sent_at_s: float, position: StorePosition) -> None:
    pass


class StoreRelay:
    """Watcher of the store for the local node and, as relay, for its failure domain.

    Args:
        source: the platform's metadata store.
        table: the member table.
        configuration: local mirror of the store's items.
        disseminator: pushes mirrored changes.
        on_listing: called with every listing and change before it is mirrored.
        on_read: called when the changes that a watch has shown are mirrored, with the
            time at which it was sent and the position of the store.
        introduce: coroutine function that contacts the nodes of the listed entries;
            None if a configuration can be read quickly enough.

    Attributes:
        is_active: whether this node is one of its failure domain's relays.
        platform_epoch: the latest position read from the store, or None.
    """

    def __init__(
        self,
        source: MetadataStore,
        table: MemberTable,
        configuration: DeclaredConfiguration,
        disseminator: Disseminator,
        on_listing: Callable[[Listing], None],
        on_read: Callable[[float, StorePosition], None] = _ignore_read,
        introduce: Callable[[], Awaitable[None]] | None = None,
    ):
        self.is_active = False
        self.platform_epoch: int | None = None
        self._source = source
        self._table = table
        self._configuration = configuration
        self._disseminator = disseminator
        self._on_listing = on_listing
        self._on_read = on_read
        self._introduce = introduce
        self._read_position: StorePosition | None = None
        self._store_contact_at_s = float("-inf")
        self._is_store_unreachable = False
        self._joined_at_s: float | None = None

    async def run(self, scope: TaskScope) -> None:
        """Watch the store whenever this is necessary, until cancelled.

        A node watches while it is a relay, while no relay has contacted it recently,
        and until it has listed the store once.
        """
        await scope.spawn_supervised(self._send_relay_heartbeats)
        backoff = Backoff(BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            rank = self._table.local_domain_rank()
            self._set_relay_role(rank < RELAYS_PER_DOMAIN)
            has_relay = not self.is_active and self._has_live_relay()
            if has_relay or self._is_joining():
                await curio.sleep(IDLE_CHECK_S)
                continue
            started_s = steady_s()
            try:
                await self.watch_once()
                backoff.reset()
            except GuavagapError as error:
                self._record_store_failure(error, started_s)
                elapsed_s = steady_s() - started_s
                await curio.sleep(max(0.0, backoff.next_s() - elapsed_s))

    @property
    def has_regressed(self) -> bool:
        """Whether the store shows something older than what is in force."""
        return bool(self._configuration.keys_behind)

    @property
    def has_listed(self) -> bool:
        """Whether this node has listed the whole store at least once."""
        return self._read_position is not None

    @property
    def contact_at_s(self) -> float:
        """When the store has responded last, negative infinity before."""
        return self._store_contact_at_s

    def _set_relay_role(self, is_active: bool) -> None:
        if is_active == self.is_active:
            return
        self.is_active = is_active
        self._table.publish(is_relay=is_active)
        log.info("feeder", is_held=is_active)

    def _has_live_relay(self) -> bool:
        age_s = steady_s() - self._disseminator.relay_seen_at_s
        return age_s < RELAY_TIMEOUT_S and self._read_position is not None

    def _is_joining(self) -> bool:
        """Return whether the first listing is so recent that no watch is needed yet."""
        if self._joined_at_s is None:
            return False
        return steady_s() - self._joined_at_s < JOIN_PAUSE_S

    async def watch_once(self) -> None:
        """Fetch the next changes from the store, or all items the first time.

        Raises:
            GuavagapError: PLATFORM_UNREACHABLE or PLATFORM_BUSY.
        """
        if self._read_position is None:
            listing, sent_at_s, after = await self._read_first()
            self._joined_at_s = steady_s()
        else:
            listing, sent_at_s, after = await self._read_changes()
        self._record_store_contact(listing)
        await run_step(self._report_listing, listing)
        is_changed = await self._mirror(listing)
        # The pages of a listing are not one snapshot: what was changed meanwhile may be
        # in none of them.
        if after is not None and not listing.is_complete and listing.as_of >= after:
            self._on_read(sent_at_s, listing.as_of)
        if is_changed:
            await curio.sleep(WATCH_PAUSE_S)
        elif listing.items:
            await curio.sleep(ENTRY_WATCH_PAUSE_S)

    async def _read_changes(self) -> _Read:
        """Watch for changes; list all items if the store does not have them any more.

        Changes that other nodes have pushed already are skipped.
        """
        sent_at_s = steady_s()
        after = max(self._read_position, self._configuration.position)
        try:
            return _Read(await self._wait_for_changes(after), sent_at_s, after)
        except GuavagapError as error:
            if error.kind is not ErrorKind.HISTORY_LOST:
                raise
            log.info("store history lost, listing all items", why=error.detail)
        return await self._list_all()

    async def _list_all(self) -> _Read:
        sent_at_s = steady_s()
        return _Read(await self._source.list_prefix(ALL_KEYS_PREFIX), sent_at_s)

    async def _read_first(self) -> _Read:
        """List all items, or read what is newer than the fetched configuration."""
        started_s = steady_s()
        read = await self._read_after_fetch() or await self._list_all()
        log.info(
            "store read for the first time",
            is_all=read.after is None,
            elapsed_s=round(steady_s() - started_s, 3),
        )
        return read

    async def _read_after_fetch(self) -> _Read | None:
        """Fetch the configuration from other nodes, then read what is newer.

        Returns:
            None if that is not possible.
        """
        if self._introduce is None:
            return None
        listing = await self._source.list_prefix(NODE_KEYS_PREFIX)
        await run_step(self._report_listing, listing)
        if not await self._fetch_from_members():
            return None
        sent_at_s = steady_s()
        after = min(listing.as_of, self._configuration.position)
        try:
            changes = await self._source.watch_prefix(
                ALL_KEYS_PREFIX, after, POLL_WAIT_S, POLL_TIMEOUT_S
            )
        except GuavagapError as error:
            if error.kind is not ErrorKind.HISTORY_LOST:
                raise
            return None
        return _Read(changes, sent_at_s, after)

    async def _fetch_from_members(self) -> bool:
        """Fetch the configuration from other nodes; return whether one had it.

        The contact is enough: a node fetches an epoch that is newer than its own.
        """
        started_s = steady_s()
        while not self._configuration.is_complete:
            await self._introduce()
            await curio.sleep(INTRODUCTION_INTERVAL_S)
            elapsed_s = steady_s() - started_s
            if elapsed_s > MAX_FETCH_DELAY_S:
                return False
            if elapsed_s > INTRODUCTION_TIMEOUT_S and self._must_read_store():
                return False
        return True

    def _must_read_store(self) -> bool:
        """Return whether this node reads for others, as none has a configuration."""
        if self._disseminator.highest_epoch_seen:
            return False
        is_alone = not self._table.has_alive_peer()
        return is_alone or self._table.local_domain_rank() < RELAYS_PER_DOMAIN

    async def _report_listing(self, listing: Listing) -> None:
        self._on_listing(listing)

    async def _wait_for_changes(self, after: StorePosition) -> Listing:
        """Watch for changes, or poll them while the store is unreachable."""
        if self._is_store_unreachable:
            return await self._source.watch_prefix(
                ALL_KEYS_PREFIX, after, POLL_WAIT_S, POLL_TIMEOUT_S
            )
        return await self._source.watch_prefix(
            ALL_KEYS_PREFIX, after, WATCH_WAIT_S, WATCH_RESPONSE_TIMEOUT_S
        )

    def _record_store_contact(self, listing: Listing) -> None:
        self._read_position = listing.as_of
        self.platform_epoch = listing.as_of.epoch
        self._store_contact_at_s = steady_s()
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            log.info("store reachable again", position=str(listing.as_of))

    def _record_store_failure(self, error: GuavagapError, started_s: float) -> None:
        is_first = not self._is_store_unreachable
        self._is_store_unreachable = True
        now_s = steady_s()
        write_line = log.warning if is_first else log.info
        write_line(
            "store unreachable" if is_first else "store still unreachable",
            kind=error.kind.value,
            why=error.detail,
            waited_s=round(now_s - started_s, 3),
            contact_age_s=round(now_s - self._store_contact_at_s, 3),
        )

    async def _mirror(self, listing: Listing) -> bool:
        """Apply and push changes of the configuration; return whether there are any."""
        delta = self._configuration.apply_listing(listing)
        if delta is None:
            if listing.is_complete:
                log.info(
                    "nothing newer in the store",
                    read=str(listing.as_of),
                    position=str(self._configuration.position),
                    items=len(listing.items),
                )
            return False
        await self._disseminator.push_as_root(delta)
        return True

    async def _send_relay_heartbeats(self) -> None:
        """Send heartbeats while this relay's view of the store is current.

        The second relay sends them only when those of the first are missing, so that
        their number does not double.
        """
        while True:
            await curio.sleep(RELAY_HEARTBEAT_INTERVAL_S)
            now_s = steady_s()
            is_current = now_s - self._store_contact_at_s < STORE_CONTACT_TIMEOUT_S
            silence_s = now_s - self._disseminator.relay_seen_at_s
            is_first = self._table.local_domain_rank() == 0
            is_due = is_first or silence_s > MAX_RELAY_SILENCE_S
            if self.is_active and is_current and is_due:
                await self._disseminator.push_heartbeat()

    async def release(self) -> None:
        """Do nothing, because this kind of relay holds no lease."""
