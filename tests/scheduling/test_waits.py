"""Tests of the limits of waits for a slot."""

import testtools

from guavagap.scheduling.waits import (
    FINAL_WAIT_MAX_SHARE_OF_TIME_LEFT,
    FINAL_WAIT_MIN_SHARE_OF_TARGET,
    MAX_SHORT_WAITS,
    SHORT_WAIT_SHARE_OF_TARGET,
    WaitState,
    max_wait_s,
)

TARGET_S = 1.0
FRESH = WaitState(waited_s=0.0, left_s=3.0, refusals=0, candidates=10)


class MaxWaitTests(testtools.TestCase):
    def test_first_waits_leave_time_for_others(self):
        limit_s = SHORT_WAIT_SHARE_OF_TARGET * TARGET_S
        for refusals in range(MAX_SHORT_WAITS):
            state = FRESH._replace(refusals=refusals)
            self.assertEqual(limit_s, max_wait_s(TARGET_S, 0.3, state))

    def test_short_waits_share_their_time(self):
        state = FRESH._replace(waited_s=0.3, refusals=1)
        expected_s = SHORT_WAIT_SHARE_OF_TARGET * TARGET_S - 0.3
        self.assertAlmostEqual(expected_s, max_wait_s(TARGET_S, 0.3, state))

    def test_final_wait_ends_when_a_run_no_longer_fits(self):
        state = FRESH._replace(waited_s=0.3, refusals=MAX_SHORT_WAITS)
        self.assertAlmostEqual(0.45, max_wait_s(TARGET_S, 0.2, state))

    def test_only_candidate_gets_the_final_wait_after_one_refusal(self):
        state = FRESH._replace(refusals=1, candidates=1)
        self.assertAlmostEqual(0.75, max_wait_s(TARGET_S, 0.2, state))

    def test_late_request_waits_a_little(self):
        state = FRESH._replace(waited_s=2.0, left_s=1.0, refusals=MAX_SHORT_WAITS)
        expected_s = FINAL_WAIT_MIN_SHARE_OF_TARGET * TARGET_S
        self.assertAlmostEqual(expected_s, max_wait_s(TARGET_S, 0.2, state))

    def test_final_wait_leaves_time_for_the_run(self):
        for target_s in (0.0, TARGET_S):
            state = FRESH._replace(waited_s=2.9, left_s=0.1, refusals=MAX_SHORT_WAITS)
            limit_s = FINAL_WAIT_MAX_SHARE_OF_TIME_LEFT * 0.1
            self.assertAlmostEqual(limit_s, max_wait_s(target_s, 0.2, state))


def final_wait_s(target_s, slowness, waited_s, left_s) -> float:
    """Return the limit of the wait after the short ones."""
    state = WaitState(waited_s, left_s, MAX_SHORT_WAITS, candidates=10)
    return max_wait_s(target_s, slowness, state)


class FinalWaitTests(testtools.TestCase):
    def test_wait_leaves_time_for_the_run_within_the_target(self):
        wait_s = final_wait_s(target_s=0.5, slowness=0.3, waited_s=0.1, left_s=1.9)
        self.assertLess(wait_s + 0.1 + 0.3 * 0.5, 0.5)
        self.assertGreater(wait_s, 0.1)

    def test_request_that_cannot_meet_its_target_waits_at_most_100_ms(self):
        wait_s = final_wait_s(target_s=0.5, slowness=2.0, waited_s=0.6, left_s=1.4)
        self.assertGreater(wait_s, 0)
        self.assertLessEqual(wait_s, 0.1)

    def test_half_of_the_remaining_time_is_reserved_for_the_run(self):
        self.assertEqual(
            0.05, final_wait_s(target_s=0.5, slowness=0.1, waited_s=0.0, left_s=0.1)
        )

    def test_wait_without_a_target_is_limited_by_the_deadline(self):
        self.assertEqual(
            1.0, final_wait_s(target_s=0.0, slowness=0.0, waited_s=0.0, left_s=2.0)
        )
