"""Tests of where configuration is fetched from and pushed to."""

import curio

from guavagap.clock import steady_s
from guavagap.dissemination import (
    LOCAL_RELAY_GRACE_S,
    Disseminator,
    push_children,
    push_order,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.members import MemberTable
from guavagap.messages import Member, MemberState
from guavagap.rendezvous import rendezvous_order
from guavagap.tasks import open_task_scope
from tests.cases import AsyncTestCase

DIGEST = "0" * 32
FIRST_MEMBER = rendezvous_order("da", ["a1", "a2", "a3"], str)[0]


def make_row(node_id: str, failure_domain: str) -> Member:
    alive = int(MemberState.ALIVE)
    return Member(node_id, 1, alive, "r", failure_domain, "", "", "")


class _Configuration:
    epoch = 5
    head_digest = DIGEST
    is_mergeable = False


class _Link:
    """A link that discards every message."""

    async def send(self, message):
        return None


class _Links:
    """Links that record the nodes requested; only some of the nodes are reachable."""

    def __init__(self, reachable=()):
        self.requested = []
        self._reachable = reachable

    async def get(self, node_id):
        self.requested.append(node_id)
        if node_id in self._reachable:
            return _Link()
        raise GuavagapError(ErrorKind.LINK_UNREACHABLE, node_id)


class FetchTests(AsyncTestCase):
    def contacted_nodes(
        self, node_id: str, has_live_relay: bool, is_pushed: bool = False
    ) -> list[str]:
        """Report a higher epoch of another node; return the nodes contacted.

        Args:
            node_id: the node that reports the epoch.
            has_live_relay: whether the local relay is live.
            is_pushed: whether the local relay pushes the epoch during the grace time.

        Returns:
            The nodes contacted at once, and all nodes contacted after the grace time.
        """

        async def case():
            table = MemberTable(make_row("a1", "da"), steady_s)
            for row in (make_row("a2", "da"), make_row("b1", "db")):
                table.merge(row)
            configuration, links = _Configuration(), _Links()
            async with open_task_scope("test") as scope:
                disseminator = Disseminator(configuration, table, links, scope)
                if has_live_relay:
                    disseminator.relay_seen_at_s = steady_s() + 60
                await disseminator.on_epoch_seen(node_id, 6, 0)
                await curio.sleep(0)
                at_once = list(links.requested)
                if is_pushed:
                    configuration.epoch = 6
                await curio.sleep(1.1 * LOCAL_RELAY_GRACE_S)
            return at_once, set(links.requested)

        return self.run_async(case)

    def test_change_is_fetched_at_once_in_the_local_failure_domain(self):
        self.assertEqual(["a2"], self.contacted_nodes("a2", has_live_relay=True)[0])

    def test_change_is_fetched_at_once_without_a_live_relay(self):
        self.assertEqual(["b1"], self.contacted_nodes("b1", has_live_relay=False)[0])

    def test_change_of_another_failure_domain_is_left_to_the_local_relay(self):
        self.assertEqual(
            ([], set()), self.contacted_nodes("b1", has_live_relay=True, is_pushed=True)
        )

    def test_change_that_the_local_relay_does_not_push_is_fetched(self):
        at_once, requested = self.contacted_nodes("b1", has_live_relay=True)
        self.assertEqual([], at_once)
        self.assertIn("b1", requested)

    def test_change_reported_by_an_unknown_node_is_not_fetched(self):
        self.assertEqual(([], set()), self.contacted_nodes("new", has_live_relay=False))

    def test_change_of_an_unreachable_node_is_fetched_from_another_node(self):
        self.assertIn("a2", self.contacted_nodes("b1", has_live_relay=False)[1])


class ContentTests(AsyncTestCase):
    """Nodes at one epoch that have different content."""

    def compare(self, is_mergeable: bool, node_id: str, head_digest: int):
        """Report content at the epoch of the last member; return what it does."""

        async def case():
            members = rendezvous_order("da", ["a1", "a2", "a3"], str)
            table = MemberTable(make_row(members[-1], "da"), steady_s)
            for peer_id in members[:-1]:
                table.merge(make_row(peer_id, "da"))
            table.merge(make_row("b1", "db"))
            configuration, links = _Configuration(), _Links()
            configuration.is_mergeable = is_mergeable
            async with open_task_scope("test") as scope:
                disseminator = Disseminator(configuration, table, links, scope)
                disseminator.relay_seen_at_s = steady_s() + 60
                await disseminator.on_epoch_seen(node_id, 5, head_digest)
                await curio.sleep(0)
                return disseminator, list(links.requested)

        return self.run_async(case)

    def test_content_that_cannot_be_merged_is_a_conflict(self):
        disseminator, requested = self.compare(False, FIRST_MEMBER, 9)
        self.assertEqual({5}, disseminator.conflicting_epochs)
        self.assertEqual([], requested)

    def test_content_of_before_a_restore_is_fetched_and_no_conflict(self):
        disseminator, requested = self.compare(True, FIRST_MEMBER, 9)
        self.assertEqual(set(), disseminator.conflicting_epochs)
        self.assertEqual([FIRST_MEMBER], requested)

    def test_equal_content_is_not_fetched(self):
        disseminator, requested = self.compare(True, FIRST_MEMBER, 0)
        self.assertTrue(disseminator.exchanges.has_matched)
        self.assertEqual([], requested)

    def test_content_of_another_failure_domain_is_left_to_the_first_members(self):
        self.assertEqual([], self.compare(True, "b1", 9)[1])


class PushTests(AsyncTestCase):
    def test_children_of_an_unreachable_member_are_pushed_to(self):
        members = [f"a{number}" for number in range(1, 12)]
        local_id, epoch = members[0], _Configuration.epoch
        order = push_order(local_id, epoch, members)
        unreachable = push_children(order, local_id)[0]
        children = push_children(order, unreachable)

        async def case():
            table = MemberTable(make_row(local_id, "da"), steady_s)
            for node_id in members[1:]:
                table.merge(make_row(node_id, "da"))
            links = _Links(set(members) - {unreachable})
            async with open_task_scope("test") as scope:
                disseminator = Disseminator(_Configuration(), table, links, scope)
                await disseminator.push_heartbeat()
                while len(scope):
                    await curio.sleep(0)
            return links.requested

        requested = self.run_async(case)
        self.assertTrue(children)
        self.assertEqual(set(), set(children) - set(requested))
