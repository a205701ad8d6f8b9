"""Tests of when a node exchanges its content with another one."""

import testtools

from guavagap.content_exchange import (
    FIRST_INTERVAL_S,
    MAX_INTERVAL_S,
    MISMATCH_GRACE_S,
    ExchangeSchedule,
)


class ScheduleTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.schedule = ExchangeSchedule(lambda: self.now_s)

    def test_node_that_starts_exchanges_at_once(self):
        self.assertTrue(self.schedule.is_due("a2"))
        self.assertFalse(self.schedule.has_matched)

    def test_difference_that_a_push_settles_leads_to_no_exchange(self):
        self.schedule.record_match("a2")
        self.assertFalse(self.schedule.is_due("a2"))
        self.now_s += MISMATCH_GRACE_S / 2
        self.schedule.record_received()
        self.assertFalse(self.schedule.is_due("a2"))

    def test_difference_that_lasts_leads_to_an_exchange(self):
        self.schedule.record_match("a2")
        self.schedule.is_due("a2")
        self.schedule.record_match("a3")
        self.now_s += MISMATCH_GRACE_S
        self.assertTrue(self.schedule.is_due("a2"))

    def test_exchanges_that_change_nothing_become_rare(self):
        times_s = []
        for _ in range(1000):
            self.now_s += 0.1
            if self.schedule.is_due("a2"):
                times_s.append(self.now_s)
                self.schedule.record_exchange(is_changed=False)
        gaps_s = [later - earlier for earlier, later in zip(times_s, times_s[1:])]
        self.assertGreaterEqual(gaps_s[0], FIRST_INTERVAL_S)
        self.assertGreaterEqual(gaps_s[-1], MAX_INTERVAL_S)
        self.schedule.record_exchange(is_changed=True)
        self.schedule.is_due("a2")
        self.now_s += FIRST_INTERVAL_S + MISMATCH_GRACE_S
        self.assertTrue(self.schedule.is_due("a2"))
