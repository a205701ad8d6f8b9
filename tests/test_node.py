"""Tests of how a node leaves the mesh."""

from functools import partial
from types import SimpleNamespace

from guavagap.announcements import AnnouncementRegistry, ServerReport
from guavagap.clock import steady_s
from guavagap.dialect import NATIVE_DIALECT
from guavagap.members import MemberTable
from guavagap.messages import Member, MemberState
from guavagap.node import Node
from tests.cases import AsyncTestCase

ADDRESS = "127.0.0.1:1"


class _Membership:
    """Records the local row whenever it is gossiped."""

    def __init__(self, table: MemberTable):
        self.gossiped: list[Member] = []
        self._table = table

    async def gossip_now(self, fan_out):
        self.gossiped.append(self._table.local)


async def _ignore(*args) -> None:
    pass


class LeaveTests(AsyncTestCase):
    def test_servers_of_a_leaving_node_are_not_announced_as_draining(self):
        row = Member("n1", 1, 0, "r", "d", ADDRESS, ADDRESS, ADDRESS)
        table = MemberTable(row, steady_s)
        node = SimpleNamespace(
            announcements=AnnouncementRegistry(steady_s),
            backend_proxies={},
            dialect=NATIVE_DIALECT,
            membership=_Membership(table),
            relay=SimpleNamespace(release=_ignore),
            settings=SimpleNamespace(permit_ttl_s=1.0),
            table=table,
            are_departures_known=True,
            _has_left=False,
            _revoke_permits=_ignore,
        )
        node.apply_announcements = partial(Node.apply_announcements, node)
        node._drain_leaving_servers = partial(Node._drain_leaving_servers, node)
        node._is_announced = partial(Node._is_announced, node)

        async def case():
            report = ServerReport("i1", "shop", "v1", ADDRESS, 4, False, 0.0, 5, 1)
            node.announcements.report(report, 60.0)
            await node.apply_announcements()
            self.assertEqual(1, len(table.local.backend_servers))
            await Node.leave(node)
            self.assertTrue(node.backend_proxies["i1"].admission.is_draining)

        self.run_async(case)
        draining = [
            server
            for gossiped in node.membership.gossiped
            for server in gossiped.backend_servers
            if server.is_draining
        ]
        self.assertEqual([], draining)
        self.assertEqual(MemberState.LEFT, table.local.state)
