"""The feed of a failure domain: who watches the platform's store, and for whom.

Two members of each failure domain hold a waiting watch and push what it shows to
the others, so the store's calls do not grow with the fleet. A member that has
heard of no feeder for a while watches the store itself. Several watchers at once
are harmless: what they pass on is merged by revision.
"""

import time
from typing import Callable

import curio

from guavagap.backoff import Backoff
from guavagap.declared_configuration import DeclaredConfiguration
from guavagap.dissemination import RELAY_TIMEOUT_S, Disseminator
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.metadata_store import Listing, MetadataStore
from guavagap.rendezvous import rendezvous_order
from guavagap.tasks import TaskScope

__all__ = ["StoreRelay"]

log = get_logger()

# Two, so that one that is lost or cut off costs its failure domain nothing.
RELAYS_PER_DOMAIN = 2
# A change is to be in force within 2 s everywhere: a member that misses its
# feeders has to notice, ask the store and apply the answer in that time.
RELAY_HEARTBEAT_INTERVAL_S = 0.4
IDLE_CHECK_S = 0.1
# A connection that went silent is noticed at the end of the wait.
WATCH_WAIT_S = 2.5
WATCH_RESPONSE_TIMEOUT_S = 1.0
# Changes that follow each other within this time cost one watch instead of many; each
# watch is paid for, and a change has seconds to be in force.
WATCH_PAUSE_S = 0.1
STORE_CONTACT_TIMEOUT_S = WATCH_WAIT_S + WATCH_RESPONSE_TIMEOUT_S
BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 1.5
ALL_KEYS_PREFIX = ""


class StoreRelay:
    """Follows the store for one node and its failure domain.

    Args:
        source: the platform's store.
        table: the member table.
        configuration: where items are mirrored.
        disseminator: pushes what was mirrored.
        on_listing: called with every listing and change, before it is mirrored.

    Attributes:
        is_held: whether this node is one of its failure domain's feeders.
        platform_epoch: the latest revision of the store that was seen.
        went_back: always False; revisions of the store only rise.
    """

    def __init__(
        self,
        source: MetadataStore,
        table: MemberTable,
        configuration: DeclaredConfiguration,
        disseminator: Disseminator,
        on_listing: Callable[[Listing], None],
    ):
        self.is_held = False
        self.platform_epoch: int | None = None
        self.has_regressed = False
        self._source = source
        self._table = table
        self._configuration = configuration
        self._disseminator = disseminator
        self._on_listing = on_listing
        self._after: int | None = None
        self._store_contact_at_s = float("-inf")
        self._is_store_lost = False

    async def run(self, scope: TaskScope) -> None:
        """Follow the store whenever it is this node's turn, until cancelled."""
        await scope.spawn_supervised(self._send_relay_heartbeats)
        backoff = Backoff(BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            self._set_relay_role(self._rank() < RELAYS_PER_DOMAIN)
            if not self.is_held and self._has_live_relay():
                await curio.sleep(IDLE_CHECK_S)
                continue
            try:
                await self.watch_once()
                backoff.reset()
            except GuavagapError as error:
                self._record_store_failure(error)
                await curio.sleep(backoff.next_s())

    @property
    def has_listed(self) -> bool:
        """Whether this node has read the whole store once."""
        return self._after is not None

    def _rank(self) -> int:
        own = self._table.own
        members = self._table.alive_in_domain(own.failure_domain)
        order = rendezvous_order(
            own.failure_domain, [row.node_id for row in members], str
        )
        return order.index(own.node_id) if own.node_id in order else RELAYS_PER_DOMAIN

    def _set_relay_role(self, is_held: bool) -> None:
        if is_held == self.is_held:
            return
        self.is_held = is_held
        self._table.publish(is_relay=is_held)
        log.info("feeder", is_held=is_held)

    def _has_live_relay(self) -> bool:
        age_s = time.monotonic() - self._disseminator.relay_seen_at_s
        return age_s < RELAY_TIMEOUT_S and self._after is not None

    async def watch_once(self) -> None:
        """Take the next changes from the store, or everything at the first time.

        Raises:
            GuavagapError: PLATFORM_UNREACHABLE or PLATFORM_BUSY.
        """
        if self._after is None:
            listing = await self._source.list_prefix(ALL_KEYS_PREFIX)
        else:
            # What other nodes have passed on need not be asked for again.
            after = max(self._after, self._configuration.epoch)
            try:
                listing = await self._source.watch_prefix(
                    ALL_KEYS_PREFIX, after, WATCH_WAIT_S
                )
            except GuavagapError as error:
                if error.kind is not ErrorKind.HISTORY_LOST:
                    raise
                log.info("store history lost, listing everything", after=after)
                listing = await self._source.list_prefix(ALL_KEYS_PREFIX)
        self._record_store_contact(listing)
        self._on_listing(listing)
        await self._mirror(listing)
        if listing.items:
            await curio.sleep(WATCH_PAUSE_S)

    def _record_store_contact(self, listing: Listing) -> None:
        self._after = listing.as_of
        self.platform_epoch = listing.as_of
        self._store_contact_at_s = time.monotonic()
        if self._is_store_lost:
            self._is_store_lost = False
            log.info("store regained", revision=listing.as_of)

    def _record_store_failure(self, error: GuavagapError) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            log.warning("store lost", kind=error.kind.value, why=error.detail)

    async def _mirror(self, listing: Listing) -> None:
        delta = self._configuration.make_delta(listing.items)
        if delta is not None and self._configuration.apply(delta):
            await self._disseminator.push_as_root(delta)

    async def _send_relay_heartbeats(self) -> None:
        """Tell the failure domain's members that this node still follows the store."""
        while True:
            await curio.sleep(RELAY_HEARTBEAT_INTERVAL_S)
            age_s = time.monotonic() - self._store_contact_at_s
            if self.is_held and age_s < STORE_CONTACT_TIMEOUT_S:
                await self._disseminator.push_heartbeat()

    async def release(self) -> None:
        """Let others feed: nothing is held that has to be given back."""
