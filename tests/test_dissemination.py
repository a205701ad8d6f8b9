"""Tests of where configuration is fetched from and passed on to."""

import time

import curio

from guavagap.dissemination import (
    LOCAL_RELAY_GRACE_S,
    Disseminator,
    push_children,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.members import MemberTable
from guavagap.messages import Member, MemberState
from guavagap.tasks import open_task_scope
from tests.cases import AsyncTestCase

DIGEST = "0" * 32


def make_row(node_id: str, failure_domain: str) -> Member:
    alive = int(MemberState.ALIVE)
    return Member(node_id, 1, alive, "r", failure_domain, "", "", "")


class _Configuration:
    epoch = 5
    head_digest = DIGEST


class _Link:
    """Takes every message."""

    async def send(self, message):
        return None


class _Links:
    """Remembers who was asked for a link; only some can be reached."""

    def __init__(self, reachable=()):
        self.asked = []
        self._reachable = reachable

    async def get(self, node_id):
        self.asked.append(node_id)
        if node_id in self._reachable:
            return _Link()
        raise GuavagapError(ErrorKind.LINK_UNREACHABLE, node_id)


class FetchTests(AsyncTestCase):
    def check(
        self, node_id: str, has_live_relay: bool, learns: bool = False
    ) -> list[str]:
        """Show a higher epoch of another node; return who was asked for it first."""

        async def case():
            table = MemberTable(make_row("a1", "da"), time.monotonic)
            for row in (make_row("a2", "da"), make_row("b1", "db")):
                table.merge(row)
            configuration, links = _Configuration(), _Links()
            async with open_task_scope("test") as scope:
                disseminator = Disseminator(configuration, table, links, scope)
                if has_live_relay:
                    disseminator.relay_seen_at_s = time.monotonic() + 60
                await disseminator.on_epoch_seen(node_id, 6, 0)
                await curio.sleep(0)
                at_once = list(links.asked)
                if learns:
                    configuration.epoch = 6
                await curio.sleep(1.1 * LOCAL_RELAY_GRACE_S)
            return at_once, set(links.asked)

        return self.run_async(case)

    def test_change_is_fetched_at_once_in_the_own_failure_domain(self):
        self.assertEqual(["a2"], self.check("a2", has_live_relay=True)[0])

    def test_change_is_fetched_at_once_where_no_relay_is_heard(self):
        self.assertEqual(["b1"], self.check("b1", has_live_relay=False)[0])

    def test_change_of_another_failure_domain_is_left_to_the_own_relay(self):
        self.assertEqual(
            ([], set()), self.check("b1", has_live_relay=True, learns=True)
        )

    def test_change_that_the_own_relay_does_not_bring_is_fetched(self):
        at_once, asked = self.check("b1", has_live_relay=True)
        self.assertEqual([], at_once)
        self.assertIn("b1", asked)

    def test_change_shown_by_an_unknown_node_does_not_hold_up_others(self):
        self.assertEqual(([], set()), self.check("new", has_live_relay=False))

    def test_change_is_fetched_from_others_when_its_node_is_gone(self):
        self.assertIn("a2", self.check("b1", has_live_relay=False)[1])


class PushTests(AsyncTestCase):
    def test_members_behind_one_that_is_gone_are_told(self):
        members = [f"a{number}" for number in range(1, 12)]
        local_id, epoch = members[0], _Configuration.epoch
        gone = push_children(local_id, local_id, epoch, members)[0]
        behind = push_children(local_id, gone, epoch, members)

        async def case():
            table = MemberTable(make_row(local_id, "da"), time.monotonic)
            for node_id in members[1:]:
                table.merge(make_row(node_id, "da"))
            links = _Links(set(members) - {gone})
            async with open_task_scope("test") as scope:
                disseminator = Disseminator(_Configuration(), table, links, scope)
                await disseminator.push_heartbeat()
                while len(scope):
                    await curio.sleep(0)
            return links.asked

        asked = self.run_async(case)
        self.assertTrue(behind)
        self.assertEqual(set(), set(behind) - set(asked))
