"""Records of a node's departures outside of its process.

A departure is acknowledged once the store keeps it, since all processes of the mesh may
end at the same time and nothing else outlives them. While the store cannot be written,
the witnesses of the node are told, which are other nodes that each process of it
chooses alike: a node that restarts alone meanwhile learns the departure from them. The
departure itself is acknowledged only after the outage, once its record is written.
"""

import curio

from guavagap.clock import steady_s
from guavagap.departures import (
    ANY_START,
    MAX_STORED_DEPARTURES,
    decode_departures,
    encode_departures,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.messages import Departure, Member, MemberState
from guavagap.metadata_store import Lease, Listing, MetadataStore, Write
from guavagap.rendezvous import rendezvous_order
from guavagap.store_positions import StorePosition
from guavagap.tasks import open_task_scope, run_step

__all__ = ["DEPARTURES_PREFIX", "DepartureRecords", "choose_witnesses"]

log = get_logger()

DEPARTURES_PREFIX = "mesh/departed/"
# A heartbeat is acknowledged within a second, or sent again.
STORE_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 0.3
WITNESSES = 2
# Longer than a report of a backend server that has left may be late.
RECORD_TTL_S = 600.0
MIN_REMAINING_TTL_S = 300.0
RETRY_INTERVAL_S = 1.0
# Departures are written together, since any client of the listener for heartbeats can
# name new ones and calls to the store are billed.
MIN_WRITE_INTERVAL_S = 0.1
LEARN_INTERVAL_S = 0.05
MAX_CONFLICTS = 3


def choose_witnesses(local: Member, peers: list[Member]) -> list[Member]:
    """Return the nodes that keep the departures of a node.

    They are in its failure domain, where traffic is free, if there are others. Another
    process of the node chooses the same ones while the members stay the same.
    """
    near = [row for row in peers if row.failure_domain == local.failure_domain]
    order = rendezvous_order(local.node_id, near or peers, lambda row: row.node_id)
    return order[:WITNESSES]


class DepartureRecords:
    """Keeps the departures of one node in the store, and at its witnesses meanwhile.

    Args:
        node: the node.
        store: the platform's metadata store.
    """

    def __init__(self, node, store: MetadataStore):
        self._node = node
        self._store = store
        settings = node.settings
        self._key = f"{DEPARTURES_PREFIX}{settings.failure_domain}/{settings.node_id}"
        self._lock = curio.Lock()
        self._lease: Lease | None = None
        self._lease_at_s = float("-inf")
        # Where the key was last read or written; None if that is not known.
        self._position: StorePosition | None = None
        self._written_at_s = float("-inf")
        self._stored: frozenset[Departure] = frozenset()

    def _departures(self) -> tuple[Departure, ...]:
        departed = self._node.announcements.departed
        return departed.within(RECORD_TTL_S)[-MAX_STORED_DEPARTURES:]

    def on_listing(self, listing: Listing) -> None:
        """Learn the departures that the store has of this node."""
        item = next((item for item in listing.items if item.key == self._key), None)
        if item is None and listing.is_complete:
            self._position, self._stored = listing.as_of.start_of_era, frozenset()
        if item is None:
            return
        if self._position is not None and item.position <= self._position:
            return
        self._position = item.position
        self._adopt(item.body)

    def _adopt(self, body: bytes | None) -> None:
        """Apply the value of the record; None if the store has none."""
        self._stored = frozenset()
        if not body:
            return
        try:
            departures = decode_departures(body)
        except GuavagapError as error:
            log.warning("departures not readable", key=self._key, why=error.detail)
            return
        self._stored = frozenset(departures)
        self._node.adopt_departures(departures)

    async def confirm(self) -> bool:
        """Return whether the store keeps all departures.

        Takes at most ``STORE_TIMEOUT_S`` and ``WITNESS_TIMEOUT_S``.
        """
        if self._is_stored():
            return True
        if not self._store.is_unavailable:
            await curio.ignore_after(STORE_TIMEOUT_S, run_step, self._write)
        if not self._is_stored():
            await self._tell_witnesses()
        return self._is_stored()

    async def run(self) -> None:
        """Write what the store lacks, until cancelled."""
        while True:
            await curio.sleep(RETRY_INTERVAL_S)
            if not self._is_stored() and not self._store.is_unavailable:
                await run_step(self._write)

    def _is_stored(self) -> bool:
        """Return whether the store has all departures, as far as is known."""
        departures = set(self._departures())
        if not departures:
            return True
        return self._stored >= departures and not self._is_restored_since()

    def _is_restored_since(self) -> bool:
        """Return whether the store was restored since the record was written or read.

        A process that has only read the record of an earlier one has no lease.
        """
        known = (self._lease, self._position)
        return any(item is not None and item.era < self._store.era for item in known)

    async def _write(self) -> None:
        """Write all departures unless the store has them."""
        async with self._lock:
            await self._wait_after_write()
            try:
                await self._write_on_condition()
            except GuavagapError as error:
                # The outcome may be unknown: the key is read before the next write.
                self._position = None
                if error.kind is ErrorKind.NOT_FOUND:
                    self._lease = None
                log.info(
                    "departures not recorded",
                    key=self._key,
                    kind=error.kind.value,
                    why=error.detail,
                )
            except curio.CancelledError:
                self._position = None
                raise

    async def _wait_after_write(self) -> None:
        """Wait if there is something to write and the last write was just before."""
        if self._stored >= set(self._departures()):
            return
        wait_s = self._written_at_s + MIN_WRITE_INTERVAL_S - steady_s()
        if wait_s > 0:
            await curio.sleep(wait_s)

    async def _write_on_condition(self) -> None:
        """Write the record; what another process of this node has written is kept."""
        for _ in range(MAX_CONFLICTS):
            await self._refresh_lease()
            await self._read_position()
            departures = self._departures()
            if self._stored >= set(departures):
                return
            write = Write(
                self._key, encode_departures(departures), self._lease.lease_id
            )
            self._written_at_s = steady_s()
            outcome = await self._store.transact({self._key: self._position}, [write])
            if outcome.position is not None:
                self._position, self._stored = outcome.position, frozenset(departures)
                log.info(
                    "departures recorded",
                    key=self._key,
                    servers=",".join(departure.server_id for departure in departures),
                    position=str(outcome.position),
                )
                return
            self._position = None

    async def _refresh_lease(self) -> None:
        """Grant a lease unless one lasts for long."""
        age_s = steady_s() - self._lease_at_s
        is_lasting = RECORD_TTL_S - age_s >= MIN_REMAINING_TTL_S
        if self._lease is not None and is_lasting:
            if self._lease.era >= self._store.era:
                return
            # A restore has removed the keys of the lease.
            self._position = None
        self._lease = await self._store.grant_lease(RECORD_TTL_S)
        self._lease_at_s = steady_s()
        self._stored = frozenset()

    async def _read_position(self) -> None:
        if self._position is not None:
            return
        item, as_of = await self._store.get(self._key)
        self._adopt(None if item is None else item.value)
        self._position = as_of.start_of_era if item is None else item.position

    def _witness_ids(self) -> set[str]:
        table = self._node.table
        peers = table.peers_in_state(MemberState.ALIVE)
        return {row.node_id for row in choose_witnesses(table.local, peers)}

    async def _tell_witnesses(self) -> None:
        """Send the local row, which has the departures of known starts."""
        departures = [
            departure
            for departure in self._departures()
            if departure.born_ms != ANY_START
        ]
        witness_ids = self._witness_ids()
        replied_ids = await self._call(witness_ids)
        log.info(
            "departures sent to witnesses",
            servers=",".join(departure.server_id for departure in departures),
            asked=",".join(sorted(witness_ids)),
            replied=",".join(sorted(replied_ids)),
        )

    async def learn(self, patience_s: float) -> None:
        """Ask the witnesses for the departures of earlier processes of this node.

        A starting node learns of other nodes one after the other. Each that is then one
        of its witnesses is asked once, and again while none has replied.

        Args:
            patience_s: how long to wait for a first reply.
        """
        asked_ids: set[str] = set()
        replied_ids: set[str] = set()
        give_up_at_s = steady_s() + patience_s
        while True:
            new_ids = self._witness_ids() - asked_ids
            if new_ids:
                asked_ids |= new_ids
                replied_ids |= await self._call(new_ids)
                continue
            if replied_ids or steady_s() >= give_up_at_s:
                break
            asked_ids.clear()
            await curio.sleep(LEARN_INTERVAL_S)
        log.info(
            "witnesses asked for departures", replied=",".join(sorted(replied_ids))
        )

    async def _call(self, node_ids: set[str]) -> set[str]:
        """Compare member tables with nodes; return those that have replied in time."""
        replied_ids: set[str] = set()

        async def call(node_id: str) -> None:
            if await self._node.sync_members(node_id):
                replied_ids.add(node_id)

        async with open_task_scope("witnesses") as scope:
            tasks = [await scope.spawn(call, node_id) for node_id in node_ids]
            async with curio.ignore_after(WITNESS_TIMEOUT_S):
                for task in tasks:
                    await task.wait()
        return replied_ids
