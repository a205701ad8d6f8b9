"""A mesh node: assembly of its components."""

import math
import random
import time
from collections import Counter
from contextlib import asynccontextmanager
from typing import Callable, Iterable

import curio

from guavagap.addresses import format_address, parse_address
from guavagap.announcements import AnnouncementRegistry, ServerReport
from guavagap.backend_proxy import BackendProxy
from guavagap.client_budget import ClientBudget, derive_limits
from guavagap.clock import steady_s
from guavagap.cold_servers import ColdServers
from guavagap.crash_report_sync import CrashReportSchedule, find_informed
from guavagap.deployment import Deployment
from guavagap.deployment_factory import open_deployment
from guavagap.direct import DirectConnections
from guavagap.directory import Directory
from guavagap.dissemination import Disseminator
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.evacuation import Evacuation
from guavagap.evaluator import Evaluator
from guavagap.evidence import EvidenceTable
from guavagap.exchange import Attempt, Downstream, ForwardedRequest, ResponseHead
from guavagap.faults import BlockedAddresses
from guavagap.handlers import handle_message
from guavagap.idempotency import IdempotencyKeys
from guavagap.link import LinkIdentity, TrafficCounts
from guavagap.links import LinkPool
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.membership import Membership
from guavagap.messages import (
    BackendServer,
    CrashReport,
    CrashReportsRequest,
    Datagram,
    Departure,
    Member,
    MembersRequest,
    MemberState,
    NoticesRequest,
    PermitRevoke,
)
from guavagap.notices import NoticeSet
from guavagap.poison import PoisonGuard, TrialPosition, trial_position
from guavagap.proxy import Proxy
from guavagap.quotas import QuotaEnforcer
from guavagap.retries import RetryBudget
from guavagap.scheduling.cold_starts import ColdEvent
from guavagap.scheduling.pace import PaceReason, reason_for_start
from guavagap.server_guards import LocalServerGuard
from guavagap.settings import Settings
from guavagap.store_positions import describe_epoch
from guavagap.stream_messages import UNKNOWN_CONDITION, Condition
from guavagap.suspension import SuspensionDetector
from guavagap.tasks import TaskScope, open_task_scope, run_step

__all__ = ["Node", "open_node"]

log = get_logger()

HOUSEKEEPING_INTERVAL_S = 0.2
SPEED_LOG_INTERVAL_S = 10.0
PEER_CONTACT_TIMEOUT_S = 1.0
# Minimum interval between synchronisations with peers whose member table differs.
SYNC_INTERVAL_S = 5.0
# Traffic within a failure domain is free.
LOCAL_SYNC_INTERVAL_S = 1.0
# A shorter interval applies while synchronisation fails or finds new members: the peer
# may have started as recently as this node and still lack members itself.
SYNC_RETRY_INTERVAL_S = 0.2
REMOTE_SYNCS_PER_DOMAIN = 2
MAX_REMOTE_MISMATCH_S = 10.0
MEMBER_GOSSIP_FAN_OUT = 6
LEAVE_GOSSIP_FAN_OUT = 12
MAX_CAPACITY = 255
# A starting node waits no longer for the other nodes than a second in all.
CRASH_REPORTS_TIMEOUT_S = 0.7


class Node:
    """The mesh node that runs on one VM.

    Args:
        settings: validated settings.
        deployment: behaviour that depends on the kind of deployment.
        scope: owner of the node's tasks.
        blocked: addresses blocked by fault injection.

    Attributes:
        is_ready: whether the newest available configuration has been applied.
        is_draining: whether the node is shutting down.
        drain_deadline_s: monotonic time at which requests still in flight are aborted.
        are_departures_known: whether this process has learned which backend servers an
            earlier one knew to leave; until then it announces none that is ready.
        backend_proxies: proxies of the local backend servers by server ID.
        evacuation: the evacuation orders in force.
        cold_servers: the cold starts of the local backend servers.
        clients: limits of what clients may hold.
    """

    def __init__(
        self,
        settings: Settings,
        deployment: Deployment,
        scope: TaskScope,
        blocked: BlockedAddresses,
    ):
        self.blocked = blocked
        self.settings = settings
        self.deployment = deployment
        self.dialect = deployment.dialect
        self.is_forwarding_only = deployment.is_forwarding_only
        self.caller_idle_timeout_s = settings.caller_read_timeout_s
        self.scope = scope
        self.is_ready = False
        self.is_draining = False
        self.drain_deadline_s = math.inf
        self.configuration = deployment.configuration
        self.notices = NoticeSet()
        self.poison = PoisonGuard(steady_s, self._choose_trial_position)
        self._crash_report_schedule = CrashReportSchedule()
        self._are_crash_reports_known = False
        self._is_fetching_crash_reports = False
        self._was_suspended = False
        self.evidence = EvidenceTable()
        self.announcements = AnnouncementRegistry(steady_s)
        self.clients = ClientBudget(
            derive_limits(
                settings.memory_limit_mb,
                settings.max_descriptors,
                settings.max_caller_connections,
            )
        )
        self.backend_proxies: dict[str, BackendProxy] = {}
        self.table = MemberTable(_initial_member_row(settings), steady_s)
        self._born_ms = self.table.local.incarnation
        self.traffic = TrafficCounts(*(Counter() for _ in range(4)))
        self.links = LinkPool(
            LinkIdentity(settings.node_id, deployment.mesh_key_bytes),
            self.table,
            scope,
            self._handle,
            self.traffic,
            blocked,
            self._on_silence,
        )
        self.directory = Directory(self.table)
        self.router = deployment.router_class(
            self.directory,
            settings.node_id,
            settings.region,
            settings.failure_domain,
            self.notices.is_rolled_back,
            self.read_condition,
            self._read_evacuated_domains,
        )
        self.evacuation = Evacuation(
            self.configuration,
            settings.failure_domain,
            self._known_domains,
            self._contact_at_s,
        )
        self.cold_servers = ColdServers(self)
        self._suspension = SuspensionDetector()
        self.direct = DirectConnections(self.links, scope)
        self.disseminator = Disseminator(
            self.configuration, self.table, self.links, scope
        )
        self.membership = Membership(
            self.table,
            settings.mesh_address,
            deployment.mesh_key_bytes,
            settings.peer_addresses,
            settings.probe_interval_s,
            settings.suspicion_timeout_s,
            self._datagram_header,
            self.poison.next_reports,
            self._on_datagram,
            blocked,
            deployment.is_key_shared,
        )
        self.proofs = deployment.make_proofs(self)
        self.relay = deployment.make_relay(self)
        self.keys = IdempotencyKeys(self.table, self.links, steady_s)
        self.quotas = QuotaEnforcer(self)
        self.proxy = Proxy(self)
        self.evaluator = Evaluator(self)
        self._are_members_known = False
        self.are_departures_known = not deployment.must_learn_departures
        self._next_sync_s = 0.0
        self._remote_match_at_s = steady_s()
        self._has_left = False
        self._is_gossip_requested = False
        self._is_syncing = False
        self._speeds_logged_at_s = steady_s()

    @property
    def is_synchronised(self) -> bool:
        """Whether member table and crash reports were synchronised with a peer."""
        return self._are_members_known and self._are_crash_reports_known

    async def _on_silence(self, node_id: str) -> None:
        """Check the failure domain of a node that has stopped responding."""
        row = self.table.get(node_id)
        if row is not None:
            await self.scope.spawn(self.membership.check_domain, row.failure_domain)

    async def _handle(self, link, message) -> None:
        await handle_message(message, self, link)

    def _read_evacuated_domains(self) -> frozenset[str]:
        return self.configuration.evacuated_domains

    def _known_domains(self) -> set[str]:
        """Return the failure domains of the settings and of the members."""
        domains = {row.failure_domain for row in self.table.rows()}
        return domains.union(self.settings.failure_domains)

    def _contact_at_s(self) -> float:
        """Return when a relay or the store was heard of last."""
        return max(self.disseminator.relay_seen_at_s, self.relay.contact_at_s)

    def detect_suspension(self) -> None:
        """Hold requests to the local backend servers if this process was suspended.

        It has missed what happened to them, and which orders were given.
        """
        if not self.is_forwarding_only or not self._suspension.detect():
            return
        self._suspension.update()
        log.warning("node was suspended")
        self._was_suspended = True
        self._record_event_for_all(ColdEvent.NODE_RESUMED)
        self.evacuation.hold()

    def _record_event_for_all(self, event: ColdEvent) -> None:
        """Record what may have happened to each local backend server."""
        self.cold_servers.record_event_for_all(event)
        for backend_proxy in self.backend_proxies.values():
            backend_proxy.record_event(event)

    def _datagram_header(self) -> dict:
        return {
            "epoch": self.configuration.epoch,
            "head_digest": self.disseminator.short_digest(),
            "notices_digest": self.notices.digest,
            "crash_reports_digest": self.poison.digest,
        }

    async def _on_datagram(self, datagram: Datagram) -> None:
        self.merge_crash_reports(datagram.crash_reports)
        await self.disseminator.on_epoch_seen(
            datagram.sender_id, datagram.epoch, datagram.head_digest
        )
        if datagram.notices_digest != self.notices.digest and not self._is_syncing:
            self._is_syncing = True
            await self.scope.spawn(self.sync_notices, datagram.sender_id)
        if datagram.members_digest == self.table.digest:
            self._are_members_known = True
            if not self._is_local_member(datagram.sender_id):
                self._remote_match_at_s = steady_s()
        elif self._is_sync_due(datagram.sender_id):
            is_local = self._is_local_member(datagram.sender_id)
            interval_s = LOCAL_SYNC_INTERVAL_S if is_local else SYNC_INTERVAL_S
            self._next_sync_s = steady_s() + interval_s
            await self.scope.spawn(self.sync_members, datagram.sender_id)
        await self._compare_crash_reports(datagram)

    def _choose_trial_position(self, fingerprint: bytes) -> TrialPosition:
        alive_ids = [row.node_id for row in self.table.alive()]
        return trial_position(fingerprint, self.settings.node_id, alive_ids)

    def merge_crash_reports(self, reports: Iterable[CrashReport]) -> None:
        """Apply crash reports of other nodes; pass on at once what is urgent."""
        for report in reports:
            if self.poison.merge(report):
                self.request_gossip()

    async def _compare_crash_reports(self, datagram: Datagram) -> None:
        """Fetch crash reports from a node that has others than this one."""
        if datagram.crash_reports_digest == self.poison.digest:
            self._crash_report_schedule.record_match()
            self._record_informed(datagram.sender_id)
        is_starting = not self.is_ready and self._are_members_known
        if is_starting and not self._are_crash_reports_known:
            await self.scope.spawn(self._learn_crash_reports)
            return
        if datagram.crash_reports_digest == self.poison.digest:
            return
        sender_id = datagram.sender_id
        if self.table.get(sender_id) is None or self._is_fetching_crash_reports:
            return
        is_due = self._crash_report_schedule.is_due(
            self._is_local_member(sender_id), self.poison.changed_at_s
        )
        # Until it is ready, a node fetches from each other one that it hears.
        if is_due or not self.is_ready:
            await self.scope.spawn(self.fetch_crash_reports, sender_id)

    def _find_informed(self) -> list[Member]:
        """Return the nodes to learn the crash reports from at the start."""
        peers = self.table.peers_in_state(MemberState.ALIVE)
        return find_informed(peers, self._born_ms)

    def _record_informed(self, node_id: str) -> None:
        """Record that this node has the crash reports of another one."""
        if self._are_members_known and not self._are_crash_reports_known:
            informed_ids = {row.node_id for row in self._find_informed()}
            self._are_crash_reports_known = self.is_ready or node_id in informed_ids

    async def _learn_crash_reports(self) -> None:
        """Fetch the crash reports of a node that has them."""
        if self._are_crash_reports_known or self._is_fetching_crash_reports:
            return
        informed = self._find_informed()
        local = [row for row in informed if self._is_local_member(row.node_id)]
        if informed:
            peer = random.choice(local or informed)
            await self.fetch_crash_reports(peer.node_id)

    async def fetch_crash_reports(self, node_id: str) -> None:
        """Fetch the crash reports of a node that this one lacks."""
        self._is_fetching_crash_reports = True
        digest = self.poison.digest
        try:
            link = await self.links.get(node_id)
            digests = tuple(self.poison.bucket_digests)
            request = CrashReportsRequest(0, digests)
            reply = await link.call(
                request, CRASH_REPORTS_TIMEOUT_S, should_retire=False
            )
        except GuavagapError as error:
            log.info("crash reports not fetched", peer=node_id, why=str(error))
            return
        finally:
            self._is_fetching_crash_reports = False
        self.merge_crash_reports(reply.crash_reports)
        is_changed = self.poison.digest != digest
        self._crash_report_schedule.record_fetch(is_changed)
        self._record_informed(node_id)
        log.info(
            "crash reports fetched",
            peer=node_id,
            count=len(reply.crash_reports),
            is_changed=is_changed,
        )

    async def _catch_up_after_suspension(self) -> None:
        """Fetch what other nodes have learned while this process was suspended."""
        if not self._was_suspended:
            return
        self._was_suspended = False
        self._crash_report_schedule.reset()
        peers = self.table.peers_in_state(MemberState.ALIVE)
        local = [row for row in peers if self._is_local_member(row.node_id)]
        if peers:
            peer = random.choice(local or peers)
            await self.scope.spawn(self.fetch_crash_reports, peer.node_id)

    async def _update_quarantines(self) -> None:
        """Forget old crash reports, and log what happened to quarantines."""
        self.poison.expire()
        for event in self.poison.take_events():
            log.warning(
                f"quarantine {event.change.value}",
                fingerprint=event.fingerprint.hex(),
                crashes=event.crashes,
                term_s=round(event.term_s, 1),
                why=event.why,
            )

    def _is_local_member(self, node_id: str) -> bool:
        row = self.table.get(node_id)
        return row is not None and row.failure_domain == self.settings.failure_domain

    def _is_sync_due(self, node_id: str) -> bool:
        is_known = self.table.get(node_id) is not None
        if not is_known or steady_s() < self._next_sync_s:
            return False
        return self._is_local_member(node_id) or self._is_remote_sync_due()

    def _is_remote_sync_due(self) -> bool:
        """Return whether to fetch rows from another failure domain, where it is billed.

        A few members of each failure domain do, and the others compare their tables
        with those; any does when its table has differed from all others for long.
        """
        if self.table.local_domain_rank() < REMOTE_SYNCS_PER_DOMAIN:
            return True
        return steady_s() - self._remote_match_at_s > MAX_REMOTE_MISMATCH_S

    async def sync_members(self, node_id: str) -> bool:
        """Fetch the member rows of a peer that differ from the local ones.

        Returns:
            Whether the peer has replied. It then has the local row.
        """
        try:
            link = await self.links.get(node_id)
            digests = tuple(self.table.bucket_digests)
            reply = await link.call(MembersRequest(0, self.table.local, digests))
        except GuavagapError as error:
            log.info("member synchronisation failed", peer=node_id, why=str(error))
            self._next_sync_s = steady_s() + SYNC_RETRY_INTERVAL_S
            return False
        known_count = len(self.table)
        for row in reply.members:
            self.membership.merge(row, should_gossip=False)
        self.adopt_departures(reply.departures)
        if len(self.table) > known_count:
            self._next_sync_s = steady_s() + SYNC_RETRY_INTERVAL_S
        self._are_members_known = True
        await self._learn_crash_reports()
        return True

    async def sync_notices(self, node_id: str) -> None:
        """Exchange rollback notices with a peer."""
        try:
            link = await self.links.get(node_id)
            reply = await link.call(NoticesRequest(0, self.notices.all()))
        except GuavagapError as error:
            log.info("notice synchronisation failed", peer=node_id, why=str(error))
            return
        finally:
            self._is_syncing = False
        self.add_notices(reply.notices)

    def add_notices(self, notices) -> None:
        """Add rollback notices and request gossip for new ones."""
        for notice in notices:
            if self.notices.add(notice):
                log.warning(
                    "version excluded from traffic",
                    service=notice.service,
                    version=notice.version,
                    reason=notice.reason,
                )
                self.request_gossip()

    async def contact_peers(self, mesh_addresses: list[str]) -> None:
        """Add the nodes at the given mesh addresses as peers and ping all peers."""
        local_address = self.settings.mesh_address
        addresses = [parse_address(text) for text in mesh_addresses]
        peers = tuple(address for address in addresses if address != local_address)
        known = set(self.membership.peer_addresses)
        self.membership.peer_addresses += tuple(
            address for address in peers if address not in known
        )
        await self.membership.ping_peers(PEER_CONTACT_TIMEOUT_S)

    def request_gossip(self) -> None:
        """Request gossip at the next housekeeping, before the next probe."""
        self._is_gossip_requested = True

    def read_condition(self, server_id: str) -> Condition:
        """Return the present condition of a backend server of this node."""
        backend_proxy = self.backend_proxies.get(server_id)
        return UNKNOWN_CONDITION if backend_proxy is None else backend_proxy.condition()

    def adopt_limit(self, server_id: str, limit_millihertz: int) -> None:
        """Apply the limit of a local backend server that another node was told."""
        backend_proxy = self.backend_proxies.get(server_id)
        if backend_proxy is not None:
            backend_proxy.adopt_limit(limit_millihertz)

    async def run_local(
        self,
        server_id: str,
        request: ForwardedRequest,
        downstream: Downstream,
        attempt: Attempt,
        check_response: Callable[[ResponseHead], None] | None = None,
    ) -> ResponseHead:
        """Run a request on a local backend server.

        Raises:
            GuavagapError: NO_BACKEND_SERVER when it is not announced on this node; see
                also :meth:`BackendProxy.run`.
        """
        backend_proxy = self.backend_proxies.get(server_id)
        if backend_proxy is None:
            raise GuavagapError(
                ErrorKind.NO_BACKEND_SERVER,
                f"{server_id} is not announced on this node",
            )
        response = await backend_proxy.run(request, downstream, attempt, check_response)
        return response._replace(condition=backend_proxy.condition())

    def adopt_departures(self, departures: Iterable[Departure]) -> None:
        """Apply departures that an earlier process of this node has acknowledged."""
        departures = tuple(departures)
        if self.announcements.adopt_departures(departures):
            servers = ",".join(departure.server_id for departure in departures)
            log.info("departures of an earlier process learned", servers=servers)

    async def start_announcing(self) -> None:
        """Announce ready backend servers from now on."""
        self.are_departures_known = True
        await self.apply_announcements()

    async def apply_report(self, report: ServerReport) -> bool:
        """Apply a heartbeat of a local backend server.

        Returns:
            Whether it may be acknowledged; see :meth:`drain_server`.

        Raises:
            GuavagapError: BAD_REQUEST when it names no backend server of this VM.
        """
        service = self.settings.service
        if service and report.service != service:
            raise GuavagapError(
                ErrorKind.BAD_REQUEST,
                f"service {report.service[:80]!r} is not that of this VM",
            )
        if not self.announcements.report(report, self.settings.report_ttl_s):
            log.info("stale heartbeat ignored", **report._asdict())
        else:
            await self.cold_servers.record_heartbeat(report)
        await self.apply_announcements()
        return not report.is_draining or await self._confirm_departures()

    async def drain_server(self, server_id: str) -> bool:
        """Drain a local backend server that is shutting down.

        Returns:
            Whether this may be acknowledged: whether the next process of this node will
            know of it as well.
        """
        if not self.announcements.drain(server_id):
            log.info("unknown backend server leaves", server=server_id)
        await self.apply_announcements()
        return await self._confirm_departures()

    async def _confirm_departures(self) -> bool:
        return await self.deployment.confirm_departures(self)

    async def apply_announcements(self) -> None:
        """Update backend proxies and the local member row from the announcements."""
        self._drain_leaving_servers()
        servers = self.announcements.servers()
        for server in servers:
            backend_proxy = self.backend_proxies.get(server.server_id)
            if backend_proxy is None or not backend_proxy.is_for(server):
                reason = _reason_for_ramp_up(server, backend_proxy)
                if backend_proxy is not None:
                    await self._end_proxy(backend_proxy, server)
                backend_proxy = BackendProxy(
                    server,
                    self.settings.permit_ttl_s,
                    self.dialect,
                    LocalServerGuard(self, server.server_id),
                    has_pace=self.is_forwarding_only,
                )
                self.backend_proxies[server.server_id] = backend_proxy
                if backend_proxy.pace is not None:
                    backend_proxy.pace.begin(reason)
                self.cold_servers.apply(backend_proxy)
            if server.is_draining and not backend_proxy.admission.is_draining:
                await backend_proxy.start_draining()
                log.info("backend server draining", server=server.server_id)
                await self._revoke_permits(server.server_id, backend_proxy)
        known = {server.server_id for server in servers}
        for server_id in list(self.backend_proxies):
            if server_id not in known:
                await self.backend_proxies.pop(server_id).connections.close_idle()
        announced = tuple(filter(self._is_announced, servers))
        if announced != self.table.local.backend_servers:
            self.table.publish_backend_servers(announced)
            await self.membership.gossip_now(MEMBER_GOSSIP_FAN_OUT)

    async def _end_proxy(
        self, backend_proxy: BackendProxy, server: BackendServer
    ) -> None:
        """End a proxy that another one replaces.

        Requests that wait for a backend server which has started again would reach it
        beyond the limits that the new proxy keeps.
        """
        if backend_proxy.server.born_ms != server.born_ms:
            await backend_proxy.admission.start_draining()
        await backend_proxy.connections.close_idle()

    def _is_announced(self, server: BackendServer) -> bool:
        """Return whether other nodes are told of a backend server.

        They are told of departures in any case.
        """
        if self.announcements.departed.has_departed(server.server_id, server.born_ms):
            return True
        return self.are_departures_known and not self._has_left

    def _drain_leaving_servers(self) -> None:
        """Drain the backend servers whose responses say that they leave."""
        for server_id, backend_proxy in self.backend_proxies.items():
            server = self.announcements.get(server_id)
            if not backend_proxy.is_leaving or server is None or server.is_draining:
                continue
            if server.born_ms != backend_proxy.server.born_ms:
                continue
            log.info("backend server has said that it leaves", server=server_id)
            self.announcements.drain(server_id)

    async def _revoke_permits(
        self, server_id: str, backend_proxy: BackendProxy
    ) -> None:
        holders = set(backend_proxy.permits.holders())
        for link in list(self.links.accepted):
            if link.peer_id in holders:
                await self.scope.spawn(_send_revocation, link, server_id)

    async def run_housekeeping(self) -> None:
        """Expire announcements, close idle links and send requested gossip."""
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            await run_step(self._apply_evacuations)
            await run_step(self.cold_servers.update)
            await run_step(self.apply_announcements)
            await run_step(self.links.close_idle)
            await run_step(self._update_quarantines)
            await run_step(self._catch_up_after_suspension)
            await run_step(self._log_speeds)
            self.proxy.attempts.set_node_count(len(self.table.alive()))
            if self._is_gossip_requested:
                self._is_gossip_requested = False
                await run_step(self.membership.gossip_now, MEMBER_GOSSIP_FAN_OUT)

    async def _apply_evacuations(self) -> None:
        """Refuse what waits here under an order, and presume all cold at its end."""
        self.detect_suspension()
        self._suspension.update()
        if self.evacuation.has_local_ended():
            self._record_event_for_all(ColdEvent.EVACUATION_ENDED)
        self.evacuation.update(self.is_ready)
        if not self.evacuation.is_local:
            return
        for backend_proxy in list(self.backend_proxies.values()):
            self.evacuation.refused_count += await backend_proxy.refuse_evacuated()

    async def _log_speeds(self) -> None:
        """Log the backend servers whose lasting speed has changed most."""
        now_s = steady_s()
        is_due = now_s - self._speeds_logged_at_s >= SPEED_LOG_INTERVAL_S
        if not self.is_forwarding_only or not is_due:
            return
        self._speeds_logged_at_s = now_s
        for change in self.directory.changed_speeds(now_s):
            health = change.health
            log.info(
                "backend server speed changed",
                server=change.server_id,
                before=round(change.before, 2),
                run_time_ratio=round(change.ratio, 2),
                usual_slowness=round(health.usual_slowness or 0.0, 2),
                age_s=round(now_s - health.reported_at_s, 1),
            )

    async def sync_configuration(self) -> None:
        """Apply the newest available configuration, then become ready."""
        await self.deployment.sync_configuration(self)
        self.is_ready = True
        log.info("node ready", epoch=describe_epoch(self.configuration.epoch))

    async def replace_mesh_key(self, key_bytes: bytes) -> None:
        """Leave the nodes that have the old key for those that have another one."""
        self.membership.replace_key(key_bytes)
        await self.links.replace_key(key_bytes)

    def make_retry_budget(self, share: float) -> RetryBudget:
        """Return this node's share of the retry budget of a service or route."""
        return self.deployment.make_retry_budget(share, len(self.table.alive()))

    async def leave(self) -> None:
        """Notify peers that this node leaves the mesh.

        Its backend servers are no longer announced, rather than announced as draining:
        they may stay, and be announced again by the next process of this node.
        """
        self._has_left = True
        self.announcements.drain_all()
        await self.apply_announcements()
        self.table.publish(state=int(MemberState.LEFT))
        await self.membership.gossip_now(LEAVE_GOSSIP_FAN_OUT)
        await self.relay.release()


async def _send_revocation(link, server_id: str) -> None:
    await link.send(PermitRevoke(server_id))


def _reason_for_ramp_up(
    server: BackendServer, former: BackendProxy | None
) -> PaceReason:
    """Return why a backend server ramps up that gets a new proxy.

    Args:
        server: its announcement.
        former: the proxy that is replaced, None if there is none.
    """
    if former is not None and former.server.born_ms == server.born_ms:
        was_draining = former.admission.is_draining or former.is_leaving
        if not was_draining:
            return PaceReason.ANNOUNCED_ANEW
        return PaceReason.DRAIN_CANCELLED
    # Both processes are on the same VM, so that their wall clocks agree.
    age_s = time.time() - server.born_ms / 1000 if server.born_ms else None
    return reason_for_start(age_s)


def _initial_member_row(settings: Settings) -> Member:
    """Return the first row of this process.

    Wall time as the incarnation supersedes the rows of earlier processes.
    """
    return Member(
        settings.node_id,
        time.time_ns() // 1_000_000,
        int(MemberState.ALIVE),
        settings.region,
        settings.failure_domain,
        format_address(settings.link_address),
        format_address(settings.mesh_address),
        format_address(settings.admin_address),
        capacity=_capacity_of(settings),
    )


def _capacity_of(settings: Settings) -> int:
    """Return the order of magnitude of the VM's processor and link, 0 if unknown."""
    size = settings.link_mbps * settings.cpu_share * settings.cpu_count
    return min(MAX_CAPACITY, int(math.log2(1 + size)))


@asynccontextmanager
async def open_node(settings: Settings):
    """Yield a node; its tasks are cancelled on exit."""
    blocked = BlockedAddresses()
    async with open_deployment(settings, blocked) as deployment:
        async with open_task_scope("node") as scope:
            yield Node(settings, deployment, scope, blocked)
