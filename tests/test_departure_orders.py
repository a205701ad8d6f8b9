"""Tests of departures, outages of the store, kills and late reports in each order.

What a node has acknowledged binds it in all of them. While the store is down, nothing
outlives the processes, so nothing is acknowledged that has not been stored.
"""

from standins.fleet import wait_until
from tests.departure_cases import DepartureTestCase

STORE_DOWN, STORE_UP = "store down", "store up"
LEAVE, LATE_REPORT = "leave", "late report"
# All daemons; the owner and the nodes of its failure domain; the owner.
KILL_ALL, KILL_DOMAIN, KILL_OWNER = "kill all", "kill domain", "kill owner"


class DepartureOrderTests(DepartureTestCase):
    """Real daemons; the backend server of a1 leaves."""

    def play(self, how: str, *steps: str) -> bool:
        """Play the steps; check what was acknowledged; return whether it was."""
        fleet = self.start_with_silent_server()
        statuses = []
        actions = {
            STORE_DOWN: lambda: fleet.configure_platform(is_down=True),
            STORE_UP: lambda: fleet.configure_platform(is_down=False),
            LEAVE: lambda: statuses.append(self.leave(fleet, how)),
            LATE_REPORT: lambda: self.assertEqual(200, self.send(fleet)),
            KILL_ALL: lambda: self.kill_and_start(fleet, *self.layout),
            KILL_DOMAIN: lambda: self.kill_and_start(fleet, "a1", "a2"),
            KILL_OWNER: lambda: self.kill_and_start(fleet, "a1"),
        }
        for step in steps:
            if step in (LATE_REPORT, LEAVE):
                wait_until(lambda: self.takes_reports(fleet), what="a1 takes reports")
            actions[step]()
        self.assertEqual([], [s for s in statuses if s not in (200, 503)])
        is_acknowledged = 200 in statuses
        if is_acknowledged:
            fleet.wait_ready(*self.layout)
            self.assert_not_used(fleet)
        return is_acknowledged

    def takes_reports(self, fleet) -> bool:
        try:
            return fleet.report("a1", "i-a1", "GET").status == 404
        except OSError:
            return False

    def test_all_killed_during_the_outage_in_which_it_left(self):
        """review/8: only processes knew of it, and all of them were killed."""
        for how in ("delete", "draining"):
            steps = (STORE_DOWN, LEAVE, KILL_ALL, STORE_UP, LATE_REPORT, LATE_REPORT)
            self.assertFalse(self.play(how, *steps))

    def test_all_killed_after_the_outage_in_which_it_left(self):
        for how in ("delete", "draining"):
            steps = (STORE_DOWN, LEAVE, STORE_UP, KILL_ALL, LATE_REPORT)
            self.assertFalse(self.play(how, *steps))

    def test_all_killed_in_an_outage_after_it_left(self):
        for how in ("delete", "draining"):
            steps = (LEAVE, STORE_DOWN, KILL_ALL, STORE_UP, LATE_REPORT)
            self.assertTrue(self.play(how, *steps))

    def test_it_leaves_after_a_restart_and_before_its_first_report(self):
        steps = (STORE_DOWN, KILL_ALL, STORE_UP, LEAVE, KILL_ALL, LATE_REPORT)
        self.assertTrue(self.play("delete", *steps))

    def test_owner_and_its_domain_killed_in_an_outage_after_it_left(self):
        """Its witnesses had been started after it had left and vouched for nothing."""
        steps = (LEAVE, STORE_DOWN, KILL_DOMAIN, LATE_REPORT)
        self.assertTrue(self.play("delete", *steps))

    def test_owner_killed_twice_in_an_outage_after_it_left(self):
        steps = (LEAVE, STORE_DOWN, KILL_OWNER, LATE_REPORT, KILL_OWNER, LATE_REPORT)
        self.assertTrue(self.play("draining", *steps))
