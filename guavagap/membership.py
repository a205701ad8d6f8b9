"""The membership protocol: probes, suspicion and gossip over UDP.

Each node probes one random member per interval, first directly, then indirectly
through other members. Only changes are gossiped, a few rows on each datagram, so
the cost per node does not depend on the size of the mesh. Each datagram also
carries the sender's epoch and digests, by which the receiver detects that
configuration, rollback notices or rows are missing.
"""

import random
from collections import Counter
from typing import Callable

import curio

from guavagap.addresses import Address, format_address, parse_address
from guavagap.clock import steady_s
from guavagap.datagrams import (
    MAX_DATAGRAM_BYTES,
    ReplayWindow,
    open_datagram,
    seal_datagram,
)
from guavagap.departures import DepartureLog
from guavagap.errors import GuavagapError
from guavagap.faults import BlockedAddresses
from guavagap.key_transfer import KEY_REQUEST, encode_key_offer, is_key_offer
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.messages import CrashReport, Datagram, DatagramKind, Member, MemberState
from guavagap.peer_choice import (
    choose_gossip_targets,
    choose_indirect_probers,
    choose_probe_target,
)
from guavagap.tasks import TaskScope, run_step
from guavagap.tcp import open_udp_socket

__all__ = [
    "DatagramHeader",
    "Membership",
]

log = get_logger()

MAX_ROWS_PER_DATAGRAM = 4
# Traffic to other failure domains is billed, so probes of them carry the latest change
# only. Comparisons of tables bring the rest.
MAX_REMOTE_ROWS_PER_PROBE = 1
MAX_CRASH_REPORTS_PER_DATAGRAM = 4
ACK_TIMEOUT_SHARE = 0.4
RECONNECT_PROBABILITY = 1 / 10
# Members of another failure domain that are probed when one of them is silent. The
# timeout is a multiple of the latency between failure domains.
DOMAIN_CHECK_PROBES = 4
DOMAIN_CHECK_TIMEOUT_S = 0.2
# Probes of an unreachable failure domain, which detect soon that it is back.
DOMAIN_RECHECK_PROBES = 2
DOMAIN_RECHECK_INTERVAL_S = 0.3
# A probe waits for at most two acknowledgement timeouts, less than one interval. If it
# takes longer than this many intervals, this process was stopped meanwhile.
PAUSE_DETECTION_INTERVALS = 1.5

DatagramHeader = Callable[[], dict]


class Membership:
    """The membership protocol of the local node on one UDP socket.

    Args:
        table: the member table.
        address: address to listen on.
        mesh_key_bytes: key that authenticates the datagrams.
        peer_addresses: mesh addresses of the configured peers.
        probe_interval_s: time between probes.
        suspicion_timeout_s: time until a suspect member is declared dead.
        header: returns the datagram fields that other components provide.
        next_reports: returns at most the given number of crash reports to gossip.
        on_datagram: coroutine function called with each valid datagram.
        blocked: addresses that fault injection blocks.
        is_key_shared: whether members may request the mesh key; see
            :mod:`guavagap.key_transfer`.
    """

    def __init__(
        self,
        table: MemberTable,
        address: Address,
        mesh_key_bytes: bytes,
        peer_addresses: tuple[Address, ...],
        probe_interval_s: float,
        suspicion_timeout_s: float,
        header: DatagramHeader,
        next_reports: Callable[[int], tuple[CrashReport, ...]],
        on_datagram,
        blocked: BlockedAddresses,
        is_key_shared: bool,
    ):
        self._is_key_shared = is_key_shared
        self._blocked = blocked
        self.table = table
        self.departures = DepartureLog(steady_s)
        self.peer_addresses = peer_addresses
        self.counts: Counter[str] = Counter()
        self.probe_interval_s = probe_interval_s
        self.suspicion_timeout_s = suspicion_timeout_s
        self._address = address
        self._key_bytes = mesh_key_bytes
        self._header = header
        self._next_reports = next_reports
        self._on_datagram = on_datagram
        self._session = random.getrandbits(63)
        self._sequence = 0
        self._token = 0
        self._pending_acks: dict[int, curio.Event] = {}
        self._replay_window = ReplayWindow()
        self._last_contact_s: dict[str, float] = {}
        self._checked_domains: set[str] = set()
        self._sock = None

    def replace_key(self, key_bytes: bytes) -> None:
        """Authenticate datagrams with another key from now on."""
        self._key_bytes = key_bytes

    def listen(self) -> None:
        """Open the socket.

        Raises:
            GuavagapError: SETTING_INVALID when the address cannot be bound.
        """
        self._sock = open_udp_socket(self._address)

    async def receive_forever(self, scope: TaskScope) -> None:
        """Receive and process datagrams until cancelled."""
        while True:
            packet, sender = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            self.counts["received_bytes"] += len(packet)
            self.counts["received_datagrams"] += 1
            await run_step(self._receive, packet, Address(*sender[:2]), scope)

    async def _receive(self, packet: bytes, sender: Address, scope) -> None:
        if packet == KEY_REQUEST:
            await self._send_key_offer(sender)
            return
        if is_key_offer(packet):
            # A late response to a key request from the startup of this node, before
            # the store responded.
            return
        try:
            datagram = open_datagram(self._key_bytes, packet)
        except GuavagapError as error:
            self.counts[error.kind.value] += 1
            log.warning("datagram refused", kind=error.kind.value, why=error.detail)
            return
        if not self._replay_window.accept(datagram.session, datagram.sequence):
            self.counts["replayed"] += 1
            return
        self._record_contact(datagram.sender_id)
        for row in datagram.members:
            self.merge(row)
        await self._respond(datagram, sender, scope)
        await self._on_datagram(datagram)

    async def _send_key_offer(self, sender: Address) -> None:
        """Send the mesh key to a process at the mesh address of a member."""
        address = format_address(sender)
        is_member = any(row.mesh_address == address for row in self.table.rows())
        if not self._is_key_shared or not is_member:
            log.warning("mesh key request refused", to=address, is_member=is_member)
            return
        log.info("mesh key sent", to=address)
        await self._send_packet(encode_key_offer(self._key_bytes), sender)

    def _record_contact(self, sender_id: str) -> None:
        row = self.table.get(sender_id)
        if row is None:
            return
        self._last_contact_s[row.failure_domain] = steady_s()
        if self.table.set_domain_reachable(row.failure_domain, True):
            log.info("failure domain reachable", failure_domain=row.failure_domain)

    def merge(self, row: Member, should_gossip: bool = True) -> bool:
        """Merge a row and log a change of state; see :meth:`MemberTable.merge`."""
        previous = self.table.get(row.node_id)
        if previous is None and not _has_valid_addresses(row):
            self.counts["invalid_rows"] += 1
            log.warning("member row refused", member=row.node_id, why="address")
            return False
        if not self.table.merge(row, should_gossip):
            return False
        self.departures.record_row(row)
        if previous is None or previous.state != row.state:
            state = MemberState(self.table.get(row.node_id).state).name.lower()
            log.info("member state", member=row.node_id, state=state)
        return True

    async def _respond(self, datagram: Datagram, sender: Address, scope) -> None:
        if datagram.kind == DatagramKind.PING:
            extra = self._row_to_refute(datagram.sender_id)
            if any(row.node_id == datagram.sender_id for row in datagram.members):
                # A sender that attaches its row may not know this node yet.
                extra += (self.table.local,)
            limit = self._probe_row_limit(datagram.sender_id)
            await self.send(
                sender, DatagramKind.ACK, datagram.token, extra, row_limit=limit
            )
        elif datagram.kind == DatagramKind.ACK:
            event = self._pending_acks.get(datagram.token)
            if event is not None:
                await event.set()
        elif datagram.kind == DatagramKind.PING_REQUEST:
            await scope.spawn(self._probe_indirectly, datagram, sender)

    def _row_to_refute(self, sender_id: str) -> tuple[Member, ...]:
        """Return the sender's row if it is not alive, for the sender to refute."""
        row = self.table.get(sender_id)
        if row is None or row.state == MemberState.ALIVE:
            return ()
        return (row,)

    async def _probe_indirectly(self, request: Datagram, sender: Address) -> None:
        try:
            target = parse_address(request.target_address)
        except ValueError:
            return
        timeout_s = self.probe_interval_s * ACK_TIMEOUT_SHARE
        target_limit = self._probe_row_limit(request.target_id)
        if await self.ping(target, timeout_s, row_limit=target_limit):
            limit = self._probe_row_limit(request.sender_id)
            await self.send(sender, DatagramKind.ACK, request.token, row_limit=limit)

    def _probe_row_limit(self, member_id: str) -> int:
        """Return how many rows a probe of a member, or a response to one, may carry."""
        row = self.table.get(member_id)
        if row is None or row.failure_domain == self.table.local.failure_domain:
            return MAX_ROWS_PER_DATAGRAM
        return MAX_REMOTE_ROWS_PER_PROBE

    async def send(
        self,
        address: Address,
        kind: DatagramKind,
        token: int,
        extra: tuple[Member, ...] = (),
        target: Member | None = None,
        row_limit: int = MAX_ROWS_PER_DATAGRAM,
    ) -> None:
        """Send one datagram with pending updates, up to ``row_limit`` rows in all.

        Without rows, it carries no crash reports either.
        """
        limit = max(0, row_limit - len(extra))
        self._sequence += 1
        datagram = Datagram(
            sender_id=self.table.local.node_id,
            session=self._session,
            sequence=self._sequence,
            members=extra + self.table.next_updates(limit),
            crash_reports=self._next_reports(
                MAX_CRASH_REPORTS_PER_DATAGRAM if row_limit else 0
            ),
            kind=kind,
            token=token,
            target_address="" if target is None else target.mesh_address,
            target_id="" if target is None else target.node_id,
            members_digest=self.table.digest,
            **self._header(),
        )
        await self._send_packet(self._seal(datagram), address)

    def _seal(self, datagram: Datagram) -> bytes:
        """Return the packet of a datagram, without the rows that do not fit into it.

        Their receivers detect by the digest of the table that rows are missing.
        """
        while True:
            try:
                return seal_datagram(self._key_bytes, datagram)
            except GuavagapError as error:
                if not datagram.members:
                    raise
                largest = max(datagram.members, key=lambda row: len(repr(row)))
                self.counts["rows_left_out"] += 1
                log.error(
                    "row left out of datagram",
                    member=largest.node_id,
                    why=error.detail,
                )
            rows = tuple(row for row in datagram.members if row is not largest)
            datagram = datagram._replace(members=rows)

    async def _send_packet(self, packet: bytes, address: Address) -> None:
        if address in self._blocked:
            return
        self.counts["sent_bytes"] += len(packet)
        self.counts["sent_datagrams"] += 1
        try:
            await self._sock.sendto(packet, address)
        except OSError as error:
            log.debug("datagram not sent", to=format_address(address), why=repr(error))

    async def ping(
        self,
        address: Address,
        timeout_s: float,
        extra=(),
        row_limit: int = MAX_ROWS_PER_DATAGRAM,
    ) -> bool:
        """Probe an address; return whether it acknowledged within ``timeout_s``."""
        self._token += 1
        token = self._token
        event = self._pending_acks[token] = curio.Event()
        try:
            await self.send(
                address, DatagramKind.PING, token, extra, row_limit=row_limit
            )
            return await curio.ignore_after(timeout_s, _wait_for(event)) is True
        finally:
            del self._pending_acks[token]

    async def ping_peers(self, timeout_s: float) -> int:
        """Probe the configured peers with the local row; return how many responded."""
        responded = 0
        for address in self.peer_addresses:
            if address != self._address:
                responded += await self.ping(address, timeout_s, (self.table.local,))
        return responded

    async def gossip_now(self, count: int) -> None:
        """Send pending updates to random members without waiting for a probe.

        Most are members of the local failure domain, where traffic is free; probes
        carry the updates on to the others.
        """
        peers = self.table.peers_in_state(MemberState.ALIVE)
        local_domain = self.table.local.failure_domain
        for member in choose_gossip_targets(peers, local_domain, count):
            await self.send(parse_address(member.mesh_address), DatagramKind.GOSSIP, 0)

    async def check_domain(self, failure_domain: str) -> None:
        """Probe another failure domain, of which a member has stopped responding.

        If no member responds, the failure domain is marked unreachable until one does.
        Without this check it would take suspicion timeouts to detect a partition,
        while requests are sent there in vain.
        """
        is_local = failure_domain == self.table.local.failure_domain
        if is_local or failure_domain in self._checked_domains:
            return
        self._checked_domains.add(failure_domain)
        try:
            if await self._is_domain_responding(failure_domain):
                return
            if self.table.set_domain_reachable(failure_domain, False):
                log.warning(
                    "failure domain unreachable",
                    failure_domain=failure_domain,
                    why="no member responds",
                )
            while failure_domain in self.table.unreachable_domains:
                await self._probe_domain(failure_domain, DOMAIN_RECHECK_PROBES)
                await curio.sleep(DOMAIN_RECHECK_INTERVAL_S)
        finally:
            self._checked_domains.discard(failure_domain)

    async def _is_domain_responding(self, failure_domain: str) -> bool:
        while True:
            started_s = steady_s()
            if not await self._probe_domain(failure_domain, DOMAIN_CHECK_PROBES):
                return True
            await curio.sleep(DOMAIN_CHECK_TIMEOUT_S)
            if self._last_contact_s.get(failure_domain, 0) >= started_s:
                return True
            # A process that was stopped meanwhile may have missed the responses.
            if steady_s() - started_s < 2 * DOMAIN_CHECK_TIMEOUT_S:
                return False

    async def _probe_domain(self, failure_domain: str, count: int) -> int:
        """Probe random members of a failure domain; return how many were probed."""
        rows = [
            row
            for row in self.table.peers_in_state(MemberState.ALIVE, MemberState.SUSPECT)
            if row.failure_domain == failure_domain
        ]
        rows = random.sample(rows, min(count, len(rows)))
        for row in rows:
            self._token += 1
            # An update counts as sent although it may be sent into a partition.
            await self.send(
                parse_address(row.mesh_address),
                DatagramKind.PING,
                self._token,
                row_limit=0,
            )
        return len(rows)

    async def probe_forever(self) -> None:
        """Probe one member per interval until cancelled."""
        while True:
            started_s = steady_s()
            await run_step(self._probe_once, started_s)
            self.table.reap_departed()
            left_s = self.probe_interval_s - (steady_s() - started_s)
            await curio.sleep(max(left_s, 0) * random.uniform(0.9, 1.1))

    async def _probe_once(self, started_s: float) -> None:
        await self._maybe_reconnect()
        target = choose_probe_target(
            self.table.peers_in_state(MemberState.ALIVE, MemberState.SUSPECT),
            self.table.local.failure_domain,
        )
        if target is None:
            await self._expire_suspicions()
            return
        is_acknowledged = await self._probe(target)
        if self._was_paused(started_s):
            return
        if not is_acknowledged:
            self.table.suspect(target.node_id)
            log.info("member suspected", member=target.node_id)
        await self._expire_suspicions()

    def _was_paused(self, started_s: float) -> bool:
        """Return whether this process itself was stopped during the probe."""
        elapsed_s = steady_s() - started_s
        return elapsed_s > self.probe_interval_s * PAUSE_DETECTION_INTERVALS

    async def _probe(self, target: Member) -> bool:
        timeout_s = self.probe_interval_s * ACK_TIMEOUT_SHARE
        row = self.table.get(target.node_id)
        extra = () if row.state == MemberState.ALIVE else (row,)
        limit = self._probe_row_limit(target.node_id)
        address = parse_address(target.mesh_address)
        if await self.ping(address, timeout_s, extra, limit):
            return True
        peers = choose_indirect_probers(
            target,
            self.table.peers_in_state(MemberState.ALIVE),
            self.table.local.failure_domain,
        )
        self._token += 1
        token = self._token
        event = self._pending_acks[token] = curio.Event()
        try:
            for peer in peers:
                await self.send(
                    parse_address(peer.mesh_address),
                    DatagramKind.PING_REQUEST,
                    token,
                    target=target,
                    row_limit=self._probe_row_limit(peer.node_id),
                )
            return await curio.ignore_after(timeout_s, _wait_for(event)) is True
        finally:
            del self._pending_acks[token]

    async def _maybe_reconnect(self) -> None:
        """Occasionally probe a dead member or a configured peer to heal partitions."""
        if random.random() >= RECONNECT_PROBABILITY and len(self.table) > 1:
            return
        addresses = [
            parse_address(row.mesh_address)
            for row in self.table.peers_in_state(MemberState.DEAD)
        ]
        addresses += [peer for peer in self.peer_addresses if peer != self._address]
        if not addresses:
            return
        self._token += 1
        await self.send(
            random.choice(addresses),
            DatagramKind.PING,
            self._token,
            (self.table.local,),
        )

    async def _expire_suspicions(self) -> None:
        now_s = steady_s()
        for suspicion in self.table.suspicions():
            if now_s - suspicion.since_s < self.suspicion_timeout_s:
                continue
            row = self.table.get(suspicion.member_id)
            if self._is_domain_silent(row, suspicion.since_s):
                if self.table.set_domain_reachable(row.failure_domain, False):
                    log.warning(
                        "failure domain unreachable", failure_domain=row.failure_domain
                    )
                continue
            self.table.confirm_dead(row.node_id)
            log.info("member state", member=row.node_id, state="dead")

    def _is_domain_silent(self, row: Member, since_s: float) -> bool:
        """Return whether a remote failure domain was silent since ``since_s``."""
        if row.failure_domain == self.table.local.failure_domain:
            return False
        return self._last_contact_s.get(row.failure_domain, 0) < since_s


def _has_valid_addresses(row: Member) -> bool:
    try:
        parse_address(row.link_address)
        parse_address(row.mesh_address)
    except ValueError:
        return False
    return True


async def _wait_for(event: curio.Event) -> bool:
    await event.wait()
    return True
