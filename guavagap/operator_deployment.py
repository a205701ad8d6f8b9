"""Deployments in which an operator's system declares configuration in a store.

Nodes discover each other by entries under leases, create the shared mesh key by a
conditional write, and mirror the operator's keys. Backend servers report to the node
on their VM, and only that node can reach them.
"""

import random
from collections import Counter
from typing import Callable, NamedTuple

import curio

from guavagap.addresses import format_address, parse_address
from guavagap.clock import steady_s
from guavagap.configuration_age import MIN_MARGIN_S
from guavagap.configuration_proofs import ConfigurationProofs
from guavagap.declarations import Declaration, EvacuationOrder, RolloutOrder
from guavagap.declared_configuration import DeclaredConfiguration
from guavagap.departure_records import DepartureRecords
from guavagap.deployment import Deployment
from guavagap.dialect import Dialect
from guavagap.errors import GuavagapError
from guavagap.head import Rollout
from guavagap.key_transfer import KeyOffer
from guavagap.logs import get_logger
from guavagap.mesh_keys import MeshKeySync, StoredKey, era_of_key
from guavagap.messages import DatagramKind
from guavagap.metadata_store import Lease, Listing, MetadataStore, MirrorItem, Write
from guavagap.node_entries import (
    ENTRY_PREFIX,
    JOIN_TIMEOUT_S,
    JoinState,
    choose_entries,
    entry_key,
    needs_entry,
)
from guavagap.peer_choice import CROSS_DOMAIN_PROBE_SHARE
from guavagap.rollout_records import RECORD_PREFIX
from guavagap.rollout_repositories import RecordRolloutRepository
from guavagap.routing import ForwardingRouter
from guavagap.scheduling.retry_budgets import ServiceRetryBudget
from guavagap.settings import Settings
from guavagap.store_positions import BEGINNING, StorePosition
from guavagap.store_relay import StoreRelay
from guavagap.tasks import run_step

__all__ = [
    "OperatorAdapter",
    "OperatorDeployment",
]

log = get_logger()

# Key in the table of the store's entries for the node that provided the mesh key.
KEY_PROVIDER_ENTRY = "giver"
# A process that terminates is restarted within seconds.
RECENTLY_DEPARTED_S = 30.0
MAX_DEPARTED_MEMBERS_PINGED = 2
# An entry survives a short outage of the store and expires soon after its node
# terminates.
ENTRY_TTL_S = 30.0
ENTRY_RENEWAL_INTERVAL_S = 10.0
ENTRY_CHECK_INTERVAL_S = 0.5
MAX_ENTRY_RETRY_DELAY_S = 1.0
# Entries are needed again within two seconds of a restore. A node learns of it within
# the pause between two calls of a relay, and checks each ENTRY_CHECK_INTERVAL_S.
MAX_RESTORE_DELAY_S = 0.5
LISTING_POLL_INTERVAL_S = 0.05
# A configuration of half a megabyte takes 0.4 s on a link of 10 Mbit/s.
SLOW_LINK_MBPS = 50.0
# When all nodes start at the same time, they list the store before any of them has
# written an entry. Some write theirs at once, and so does the one that has created the
# mesh key; the others find each other by these. After the delay, most know the members
# of their failure domain.
FIRST_HOLDER_SHARE = 1 / 4
ENTRY_DELAY_S = 1.0
INTRODUCE_INTERVAL_S = 0.3
SYNC_POLL_INTERVAL_S = 0.02
# Entries that lapsed during an outage of the store are back within this time.
LAPSED_ENTRY_TIMEOUT_S = 2.0
# Witnesses of departures reply within milliseconds unless they are stopped.
MAX_LEARN_DELAY_S = 0.4
# Clients check readiness once a second and detect within two checks that a node is
# not ready.
ACCEPT_GRACE_S = 2.4
# Other nodes are notified at once. Requests of a node that misses the notification are
# refused, and it sends them to other nodes.
LEAVE_GRACE_S = 0.2


class OperatorAdapter(NamedTuple):
    """The functions and clients that the adapter of a platform provides.

    Attributes:
        store: client of the metadata store.
        dialect: headers of callers and backend servers.
        operator_prefix: prefix of the keys that the operator writes.
        configuration_key: the key of the configuration among them.
        decode_item: decodes an item of the operator; returns None for other items.
        encode_status: returns the key and value that report a rollout's state to the
            operator.
        serve: coroutine function that serves the platform's calls to a node.
    """

    store: MetadataStore
    dialect: Dialect
    operator_prefix: str
    configuration_key: str
    decode_item: Callable[
        [MirrorItem], Declaration | RolloutOrder | EvacuationOrder | None
    ]
    encode_status: Callable[[str, Rollout], tuple[str, bytes]]
    serve: Callable


class OperatorDeployment(Deployment):
    """Deployment with a configuration mirrored from the operator's keys.

    Args:
        settings: the validated settings.
        adapter: adapter to the platform's protocol.
        key: key of links and datagrams, with the node that provided it, if any.
    """

    is_forwarding_only = True
    must_learn_departures = True
    is_key_shared = True
    accept_grace_s = ACCEPT_GRACE_S
    leave_grace_s = LEAVE_GRACE_S
    router_class = ForwardingRouter

    def __init__(
        self, settings: Settings, adapter: OperatorAdapter, key: KeyOffer | StoredKey
    ):
        self.dialect = adapter.dialect
        self.mesh_key_bytes = key.key_bytes
        self.configuration = DeclaredConfiguration(
            self._is_mirrored, adapter.decode_item
        )
        self._settings = settings
        self._adapter = adapter
        self._store_relay: StoreRelay | None = None
        self._departure_records: DepartureRecords | None = None
        self._rollout_repository: RecordRolloutRepository | None = None
        self._proofs: ConfigurationProofs | None = None
        self._node = None
        self._entry_key = entry_key(settings.failure_domain, settings.node_id)
        self._entries: dict[str, bytes] = {}
        if isinstance(key, KeyOffer):
            self._entries[KEY_PROVIDER_ENTRY] = format_address(key.provider).encode()
        self._entry_position = BEGINNING
        self._is_entry_lost = False
        self._rewritten_entry_count = 0
        self._listed_at_s: float | None = None
        self._key_sync = MeshKeySync(
            adapter.store, key.key_bytes, self._has_alive_peer, self._adopt_mesh_key
        )
        is_key_created = isinstance(key, StoredKey) and key.is_created
        self._is_first_holder = is_key_created or random.random() < FIRST_HOLDER_SHARE

    @property
    def call_counts(self):
        """Number of platform calls by kind."""
        return self._adapter.store.call_counts

    @property
    def history_era(self) -> int:
        """Number of the store's history, as this node or another one has seen it."""
        return max(self._adapter.store.era, self.configuration.position.era)

    @property
    def recovery_counts(self) -> Counter[str]:
        """Restores seen, and what was written again after them, by kind."""
        repository = self._rollout_repository
        return Counter(
            restores=self._adapter.store.restore_count,
            entries=self._rewritten_entry_count,
            mesh_key=self._key_sync.rewritten_count,
            records=0 if repository is None else repository.rewritten_count,
        )

    def _is_mirrored(self, key: str) -> bool:
        return key.startswith((self._adapter.operator_prefix, RECORD_PREFIX))

    def make_relay(self, node):
        self._node = node
        self._departure_records = DepartureRecords(node, self._adapter.store)
        self._store_relay = StoreRelay(
            self._adapter.store,
            node.table,
            self.configuration,
            node.disseminator,
            self._on_listing,
            self._record_read,
            self._introduce if self._is_link_slow() else None,
        )
        return self._store_relay

    def _is_link_slow(self) -> bool:
        return 0 < self._settings.link_mbps < SLOW_LINK_MBPS

    def make_proofs(self, node):
        revocation_s = self._settings.key_revocation_s
        if not revocation_s:
            return super().make_proofs(node)
        self._proofs = ConfigurationProofs(
            revocation_s,
            MIN_MARGIN_S,
            self.configuration,
            node.table,
            node.links,
            node.disseminator,
            self._adapter.store,
            self._adapter.configuration_key,
            self._era_of_mesh,
            self._has_entries,
        )
        return self._proofs

    def _record_read(self, sent_at_s: float, position: StorePosition) -> None:
        if self._proofs is not None:
            self._proofs.record_read(sent_at_s, position)

    def _has_entries(self) -> bool:
        return bool(self._entries)

    def _era_of_mesh(self) -> int:
        return era_of_key(self.mesh_key_bytes)

    def make_rollout_repository(self, node):
        self._rollout_repository = RecordRolloutRepository(
            node, self._adapter.store, self._adapter.encode_status
        )
        return self._rollout_repository

    def make_retry_budget(self, share, node_count):
        settings = self._settings
        return ServiceRetryBudget(
            settings.retry_budget_ratio, settings.retry_budget_slack, node_count
        )

    async def sync_configuration(self, node):
        """Wait until the store is mirrored and a configuration is available.

        While the store is unavailable, a configuration from other nodes suffices.
        Requests that this node accepts need the backend servers of other nodes, so it
        waits for the member table too, but at most ``JOIN_TIMEOUT_S`` because all
        other nodes may be stopped. Meanwhile it learns the departures that its earlier
        processes have acknowledged.
        """
        while not self._store_relay.has_listed:
            if self._is_synchronised_from_peers(node):
                log.warning("store lost, configuration of other nodes used")
                await self._learn_departures(node)
                return
            await curio.sleep(SYNC_POLL_INTERVAL_S)
        await self._introduce()
        await self._wait_for_members(node)
        await self._learn_departures(node)
        while not self.configuration.is_complete:
            await curio.sleep(SYNC_POLL_INTERVAL_S)

    async def _learn_departures(self, node) -> None:
        """Learn departures, then announce backend servers.

        A node that finds no other one is ready before that. If the store lists other
        nodes, those that run have responded by now.
        """
        patience_s = 0.0 if self._entries else LAPSED_ENTRY_TIMEOUT_S

        async def learn() -> None:
            await run_step(self._departure_records.learn, patience_s)
            await node.start_announcing()

        task = await node.scope.spawn(learn)
        await curio.ignore_after(MAX_LEARN_DELAY_S, task.wait)

    async def _wait_for_members(self, node) -> None:
        """Wait until the member table is synchronised, or no other node responds."""
        deadline_s = steady_s() + JOIN_TIMEOUT_S
        while self._is_joining(node):
            if steady_s() >= deadline_s:
                log.warning(
                    "member table not synchronised yet", entries=len(self._entries)
                )
                return
            await curio.sleep(SYNC_POLL_INTERVAL_S)

    def _is_joining(self, node) -> bool:
        """Return whether nodes that run still have something for a starting node.

        A store that was restored since the mesh was created may lack their entries and
        the newest configuration, which they have.
        """
        if self._adapter.store.era > era_of_key(self.mesh_key_bytes):
            return not (
                node.is_synchronised and node.disseminator.exchanges.has_matched
            )
        return bool(self._entries) and not node.is_synchronised

    def _is_synchronised_from_peers(self, node) -> bool:
        """Return whether the store is unavailable but peers sent the configuration."""
        has_peer_configuration = node.is_synchronised and self.configuration.is_complete
        return has_peer_configuration and self._adapter.store.is_unavailable

    async def confirm_departures(self, node) -> bool:
        return await self._departure_records.confirm()

    async def start(self, node):
        """Serve the platform's calls and maintain this node's entry."""
        await node.scope.spawn_supervised(self._adapter.serve, node)
        await node.scope.spawn_supervised(self._maintain_entry)
        await node.scope.spawn_supervised(self._run_introductions)
        await node.scope.spawn_supervised(self._key_sync.run)
        await node.scope.spawn_supervised(self._departure_records.run)
        if self._proofs is not None:
            await node.scope.spawn_supervised(self._proofs.run)

    def _has_alive_peer(self) -> bool:
        return self._node.table.has_alive_peer()

    async def _adopt_mesh_key(self, key_bytes: bytes) -> None:
        """Continue with the key of an older mesh, as if this node had just started."""
        self.mesh_key_bytes = key_bytes
        await self._node.replace_mesh_key(key_bytes)
        await self._introduce()

    def _on_listing(self, listing: Listing) -> None:
        """Record the entries of other nodes, and the loss of the local entry."""
        local_key = self._entry_key
        self._key_sync.on_listing(listing)
        if self._departure_records is not None:
            self._departure_records.on_listing(listing)
        if self._listed_at_s is None:
            self._listed_at_s = steady_s()
        if listing.is_complete:
            provider = self._entries.get(KEY_PROVIDER_ENTRY)
            self._entries = {} if provider is None else {KEY_PROVIDER_ENTRY: provider}
            keys = {item.key for item in listing.items}
            is_written = BEGINNING < self._entry_position <= listing.as_of
            self._is_entry_lost |= is_written and local_key not in keys
        for item in listing.items:
            if not item.key.startswith(ENTRY_PREFIX):
                continue
            if item.key != local_key:
                self._record_entry(item)
            elif item.body is None and item.position > self._entry_position:
                self._is_entry_lost = True

    def _record_entry(self, item: MirrorItem) -> None:
        if item.body is None:
            self._entries.pop(item.key, None)
            return
        self._entries[item.key] = item.body

    async def _run_introductions(self) -> None:
        """Contact other nodes at intervals while it takes that to find each other."""
        while True:
            await curio.sleep(INTRODUCE_INTERVAL_S)
            if self._entries and not self._node.table.has_alive_peer():
                await run_step(self._introduce)
            if self._adapter.store.is_unavailable or self._is_restore_recent():
                await run_step(self._ping_departed_members)

    async def _ping_departed_members(self) -> None:
        """Ping some recently departed members.

        While the store is unavailable, or lacks the entries of nodes that run, it
        cannot announce their restart, and a restarted node needs a datagram before it
        can request the mesh key.
        """
        table = self._node.table
        rows = table.departed_within(RECENTLY_DEPARTED_S)
        for row in random.sample(rows, min(MAX_DEPARTED_MEMBERS_PINGED, len(rows))):
            is_cross_domain = row.failure_domain != table.local.failure_domain
            if is_cross_domain and random.random() >= CROSS_DOMAIN_PROBE_SHARE:
                continue
            address = parse_address(row.mesh_address)
            await self._node.membership.send(
                address, DatagramKind.PING, 0, (table.local,)
            )

    async def _introduce(self) -> None:
        membership, table = self._node.membership, self._node.table
        for key in choose_entries(self._entries, self._settings.failure_domain):
            try:
                address = parse_address(self._entries[key].decode("ascii"))
            except ValueError as error:
                log.warning("invalid address in node entry", key=key, why=str(error))
                continue
            await membership.send(address, DatagramKind.PING, 0, (table.local,))

    async def _maintain_entry(self) -> None:
        """Maintain this node's entry in the store while the node needs one.

        Once written, an entry is kept, since removing it is a billed call as well.
        """
        lease: Lease | None = None
        is_left_logged = False
        while self._listed_at_s is None:
            await curio.sleep(LISTING_POLL_INTERVAL_S)
        if not self._is_first_holder:
            await curio.sleep(ENTRY_DELAY_S * random.uniform(1.0, 1.5))
        while True:
            if lease is None and not self._needs_entry():
                if not is_left_logged:
                    rank = self._node.table.local_domain_rank()
                    log.info("entry left to others", rank=rank)
                is_left_logged = True
                await curio.sleep(ENTRY_CHECK_INTERVAL_S)
                continue
            try:
                lease = await self._refresh_entry(lease)
            except GuavagapError as error:
                log.info("entry not renewed", kind=error.kind.value, why=error.detail)
                await curio.sleep(random.uniform(0, MAX_ENTRY_RETRY_DELAY_S))
                continue
            await self._wait_for_renewal(lease)

    def _needs_entry(self) -> bool:
        """Return whether starting nodes of the failure domain need its entry."""
        table = self._node.table
        state = JoinState(
            table.has_alive_peer(),
            table.local_domain_rank(),
            steady_s() - self._listed_at_s,
        )
        return needs_entry(state, self._entries, self._settings.failure_domain)

    async def _wait_for_renewal(self, lease: Lease) -> None:
        """Wait until the entry must be renewed or is found to be lost."""
        steps = int(ENTRY_RENEWAL_INTERVAL_S / ENTRY_CHECK_INTERVAL_S)
        for _ in range(steps):
            if self._is_entry_lost:
                return
            if lease.era < self.history_era:
                # All entries are lost at once; the store limits the rate of writes.
                await curio.sleep(random.uniform(0, MAX_RESTORE_DELAY_S))
                return
            await curio.sleep(ENTRY_CHECK_INTERVAL_S)

    def _is_restore_recent(self) -> bool:
        """Return whether entries may be missing since the store was restored."""
        return bool(self.configuration.keys_behind) or self._entry_position.era not in (
            0,
            self.history_era,
        )

    async def _refresh_entry(self, lease: Lease | None) -> Lease:
        """Renew the lease, and write the entry if it or its lease is lost."""
        store = self._adapter.store
        if lease is not None and lease.era < self.history_era:
            log.info("lease lost by a restore of the store", era=lease.era)
            lease = None
        if lease is not None and not await store.renew_lease(lease):
            lease = None
        if lease is not None and not self._is_entry_lost:
            return lease
        if lease is None:
            lease = await store.grant_lease(ENTRY_TTL_S)
        key = self._entry_key
        address = format_address(self._settings.mesh_address).encode()
        outcome = await store.transact({}, [Write(key, address, lease.lease_id)])
        self._rewritten_entry_count += self._entry_position != BEGINNING
        self._entry_position = outcome.position or BEGINNING
        self._is_entry_lost = False
        log.info("entry written", key=key, position=str(self._entry_position))
        return lease
