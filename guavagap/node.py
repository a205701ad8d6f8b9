"""The parts of one node and how they are put together."""

import random
import time
from collections import Counter
from contextlib import asynccontextmanager

import curio

from guavagap.addresses import format_address, parse_address
from guavagap.announcements import AnnouncementRegistry
from guavagap.backend_front import BackendFront
from guavagap.backoff import Backoff
from guavagap.commits import read_head
from guavagap.configuration import Configuration
from guavagap.direct import DirectConnections
from guavagap.directory import Directory
from guavagap.dissemination import Disseminator
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.evaluator import Evaluator
from guavagap.evidence import EvidenceTable
from guavagap.exchange import AnswerHead, Attempt, Downstream, ForwardedRequest
from guavagap.faults import BlockedAddresses
from guavagap.handlers import handle_message
from guavagap.idempotency import KeyGuard
from guavagap.link import LinkIdentity, TrafficCounts
from guavagap.links import LinkPool
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.membership import Membership
from guavagap.messages import (
    Datagram,
    Member,
    MembersRequest,
    MemberState,
    NoticesRequest,
    PermitRevoke,
)
from guavagap.notices import NoticeSet
from guavagap.platform import Platform
from guavagap.platform_http import open_platform
from guavagap.poison import PoisonGuard
from guavagap.proxy import Proxy
from guavagap.relay import SEEDS_KEY, Relay, decode_seeds
from guavagap.routing import Router
from guavagap.settings import Settings
from guavagap.tasks import TaskScope, open_task_scope

__all__ = ["Node", "open_node"]

log = get_logger()

HOUSEKEEPING_S = 0.1
LEARN_TIMEOUT_S = 1.0
LEARN_BACKOFF_FIRST_S = 0.2
LEARN_BACKOFF_LIMIT_S = 3.0
LEARN_MEMBERS_ASKED = 5
CATCH_UP_WAIT_S = 2.0
CATCH_UP_STEP_S = 0.05
SYNC_INTERVAL_S = 5.0
GOSSIP_TARGETS = 6
LEAVE_GOSSIP_TARGETS = 12


class Node:
    """All roles of one VM's process.

    Args:
        settings: the checked settings.
        platform: client of the key-value service.
        scope: owns the node's tasks.
        blocked: injected faults.

    Attributes:
        is_ready: whether the highest epoch that can be learned is applied.
        is_draining: whether the node is shutting down.
        fronts: one for each local backend server.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        scope: TaskScope,
        blocked: BlockedAddresses,
    ):
        self.blocked = blocked
        self.settings = settings
        self.platform = platform
        self.scope = scope
        self.is_ready = False
        self.is_draining = False
        self.configuration = Configuration()
        self.notices = NoticeSet()
        self.poison = PoisonGuard()
        self.evidence = EvidenceTable()
        self.announcements = AnnouncementRegistry(time.monotonic)
        self.fronts: dict[str, BackendFront] = {}
        self.table = MemberTable(_own_row(settings), time.monotonic)
        self.traffic = TrafficCounts(*(Counter() for _ in range(4)))
        self.links = LinkPool(
            LinkIdentity(settings.node_id, settings.mesh_key_bytes),
            self.table,
            scope,
            self._handle,
            self.traffic,
            blocked,
        )
        self.directory = Directory(self.table)
        self.router = Router(
            self.directory,
            settings.node_id,
            settings.region,
            settings.failure_domain,
            self.notices.is_rolled_back,
        )
        self.direct = DirectConnections(self.links, scope)
        self.disseminator = Disseminator(
            self.configuration, self.table, self.links, scope
        )
        self.membership = Membership(
            self.table,
            settings.mesh_address,
            settings.mesh_key_bytes,
            settings.peer_addresses,
            settings.probe_interval_s,
            settings.suspicion_timeout_s,
            self._datagram_header,
            self.poison.take_marks,
            self._on_datagram,
            blocked,
        )
        self.relay = Relay(
            platform,
            self.table,
            self.configuration,
            self.disseminator,
            settings.relay_lease_ttl_s,
            self._introduce_to,
        )
        self.keys = KeyGuard(self.table, self.links, time.monotonic)
        self.proxy = Proxy(self)
        self.evaluator = Evaluator(self)
        self._synced_at_s = 0.0
        self._is_spread_wanted = False
        self._is_syncing = False

    async def _handle(self, link, message) -> None:
        await handle_message(message, self, link)

    def _datagram_header(self) -> dict:
        return {
            "epoch": self.configuration.epoch,
            "head_digest": self.disseminator.short_digest(),
            "notices_digest": self.notices.digest,
        }

    async def _on_datagram(self, datagram: Datagram) -> None:
        for mark in datagram.marks:
            self.poison.merge(mark)
        await self.disseminator.on_epoch_seen(
            datagram.sender_id, datagram.epoch, datagram.head_digest
        )
        if datagram.notices_digest != self.notices.digest and not self._is_syncing:
            self._is_syncing = True
            await self.scope.spawn(self.sync_notices, datagram.sender_id)
        is_same_table = datagram.members_digest == self.table.digest
        is_due = time.monotonic() - self._synced_at_s > SYNC_INTERVAL_S
        if not is_same_table and is_due:
            self._synced_at_s = time.monotonic()
            await self.scope.spawn(self.sync_members, datagram.sender_id)

    async def sync_members(self, node_id: str) -> None:
        """Fetch the member rows that another node has otherwise."""
        try:
            link = await self.links.get(node_id)
            digests = tuple(self.table.bucket_digests)
            reply = await link.call(MembersRequest(0, self.table.own, digests))
        except GuavagapError as error:
            log.info("members not synchronised", peer=node_id, why=str(error))
            return
        for row in reply.members:
            self.membership.merge(row)

    async def sync_notices(self, node_id: str) -> None:
        """Exchange rollback notices with another node."""
        try:
            link = await self.links.get(node_id)
            reply = await link.call(NoticesRequest(0, self.notices.all()))
        except GuavagapError as error:
            log.info("notices not synchronised", peer=node_id, why=str(error))
            return
        finally:
            self._is_syncing = False
        self.take_notices(reply.notices)

    def take_notices(self, notices) -> None:
        """Add notices and pass news on at once."""
        for notice in notices:
            if self.notices.add(notice):
                log.warning(
                    "version gets no traffic",
                    service=notice.service,
                    version=notice.version,
                    reason=notice.reason,
                )
                self.spread_soon()

    async def _introduce_to(self, mesh_addresses: list[str]) -> None:
        own = self.settings.mesh_address
        addresses = [parse_address(text) for text in mesh_addresses]
        others = tuple(address for address in addresses if address != own)
        known = set(self.membership.peer_addresses)
        self.membership.peer_addresses += tuple(
            address for address in others if address not in known
        )
        await self.membership.ping_peers(LEARN_TIMEOUT_S)

    def spread_soon(self) -> None:
        """Ask for news to be sent without waiting for the next probe."""
        self._is_spread_wanted = True

    async def run_local(
        self,
        server_id: str,
        request: ForwardedRequest,
        downstream: Downstream,
        attempt: Attempt,
    ) -> AnswerHead:
        """Run a request on a backend server of this VM.

        Raises:
            GuavagapError: NO_BACKEND_SERVER when it is not known here; see
                :meth:`BackendFront.run`.
        """
        front = self.fronts.get(server_id)
        if front is None:
            raise GuavagapError(
                ErrorKind.NO_BACKEND_SERVER, f"{server_id} is not announced here"
            )
        return await front.run(request, downstream, attempt)

    async def announcements_changed(self) -> None:
        """Bring fronts and the own member row in line with announcements."""
        servers = self.announcements.servers()
        for server in servers:
            front = self.fronts.get(server.server_id)
            is_same = front is not None and (
                front.server._replace(is_draining=False)
                == server._replace(is_draining=False)
            )
            if not is_same:
                front = BackendFront(server, self.settings.permit_ttl_s)
                self.fronts[server.server_id] = front
            if server.is_draining and not front.admission.is_draining:
                front.start_draining()
                await self._revoke_permits(server.server_id, front)
        known = {server.server_id for server in servers}
        for server_id in list(self.fronts):
            if server_id not in known:
                await self.fronts.pop(server_id).connections.close_idle()
        if servers != self.table.own.backend_servers:
            self.table.publish_backend_servers(servers)
            await self.membership.gossip_now(GOSSIP_TARGETS)

    async def _revoke_permits(self, server_id: str, front: BackendFront) -> None:
        holders = set(front.permits.holders())
        for link in list(self.links.accepted):
            if link.peer_id in holders:
                await self.scope.spawn(_send_revocation, link, server_id)

    async def run_housekeeping(self) -> None:
        """Lapse announcements and spread urgent news, until cancelled."""
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            await self.announcements_changed()
            await self.links.close_idle()
            if self._is_spread_wanted:
                self._is_spread_wanted = False
                await self.membership.gossip_now(GOSSIP_TARGETS)

    async def learn(self) -> None:
        """Become ready: learn the highest epoch there is and apply it."""
        backoff = Backoff(LEARN_BACKOFF_FIRST_S, LEARN_BACKOFF_LIMIT_S)
        while not self.is_ready:
            epoch = await self._ask_for_epoch()
            if epoch is not None and await self._catch_up(epoch):
                self.is_ready = True
                log.info("node ready", epoch=self.configuration.epoch)
                return
            log.warning(
                "configuration not learned yet",
                known_epoch=epoch,
                applied=self.configuration.epoch,
            )
            await curio.sleep(backoff.next_s())

    async def _ask_for_epoch(self) -> int | None:
        """Return the highest epoch known to peers and platform, None without either."""
        await self.membership.ping_peers(LEARN_TIMEOUT_S)
        platform_epoch = await self._ask_platform()
        members = self.table.others(MemberState.ALIVE)
        asked = random.sample(members, min(LEARN_MEMBERS_ASKED, len(members)))
        for row in asked[:1]:
            await self.sync_members(row.node_id)
        for row in asked:
            await self.membership.ping(parse_address(row.mesh_address), LEARN_TIMEOUT_S)
        seen = self.disseminator.highest_epoch_seen
        if platform_epoch is None and not seen:
            return None
        return max(seen, platform_epoch or 0)

    async def _ask_platform(self) -> int | None:
        try:
            head, _ = await read_head(self.platform)
            if not self.table.others(MemberState.ALIVE):
                await self._meet_seeds()
            return head["epoch"]
        except GuavagapError as error:
            log.info("platform not asked", why=str(error))
            return None

    async def _meet_seeds(self) -> None:
        value = await self.platform.get(SEEDS_KEY)
        if value is not None:
            seeds = decode_seeds(value.body).values()
            await self._introduce_to([seed.mesh_address for seed in seeds])

    async def _catch_up(self, epoch: int) -> bool:
        """Wait a little until an epoch is applied."""
        deadline_s = time.monotonic() + CATCH_UP_WAIT_S
        while self.configuration.epoch < epoch:
            if time.monotonic() > deadline_s:
                return False
            await curio.sleep(CATCH_UP_STEP_S)
        return True

    async def leave(self) -> None:
        """Tell other nodes that this one and its backend servers are leaving."""
        self.announcements.leave_all()
        await self.announcements_changed()
        self.table.publish(state=int(MemberState.LEFT))
        await self.membership.gossip_now(LEAVE_GOSSIP_TARGETS)
        await self.relay.release()


async def _send_revocation(link, server_id: str) -> None:
    await link.send(PermitRevoke(server_id))


def _own_row(settings: Settings) -> Member:
    """Return the first row of this process; wall time puts it above earlier ones."""
    return Member(
        settings.node_id,
        time.time_ns() // 1_000_000,
        int(MemberState.ALIVE),
        settings.region,
        settings.failure_domain,
        format_address(settings.link_address),
        format_address(settings.mesh_address),
        format_address(settings.admin_address),
    )


@asynccontextmanager
async def open_node(settings: Settings):
    """Yield a node whose tasks end with the block."""
    blocked = BlockedAddresses()
    address = settings.platform_address
    async with open_platform(address, blocked=blocked) as platform:
        async with open_task_scope("node") as scope:
            yield Node(settings, platform, scope, blocked)
