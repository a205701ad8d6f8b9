"""Tests of the limits of waits for a slot."""

import math
from unittest.mock import patch

import testtools

from guavagap.scheduling.refusals import choose_return_delay_s, excess_wait_s
from guavagap.scheduling.waits import (
    FINAL_WAIT_MAX_SHARE_OF_TIME_LEFT,
    FINAL_WAIT_MIN_SHARE_OF_TARGET,
    MAX_SHORT_WAITS,
    RUN_TIME_MARGIN,
    SHORT_WAIT_SHARE_OF_TARGET,
    WaitState,
    max_wait_s,
)
from tests.scheduling.replay import (
    RUN_SPREAD,
    SHORT_RUNS,
    LoadPattern,
    burst,
    mean_worth,
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
        expected_s = TARGET_S - RUN_TIME_MARGIN * 0.2 - 0.3
        self.assertAlmostEqual(expected_s, max_wait_s(TARGET_S, 0.2, state))

    def test_only_candidate_gets_the_final_wait_after_one_refusal(self):
        state = FRESH._replace(refusals=1, candidates=1)
        expected_s = TARGET_S - RUN_TIME_MARGIN * 0.2
        self.assertAlmostEqual(expected_s, max_wait_s(TARGET_S, 0.2, state))

    def test_first_wait_is_no_longer_than_a_slow_run_allows(self):
        wait_s = max_wait_s(TARGET_S, 0.45, FRESH)
        self.assertLess(wait_s, SHORT_WAIT_SHARE_OF_TARGET * TARGET_S)
        self.assertAlmostEqual(TARGET_S - RUN_TIME_MARGIN * 0.45, wait_s)

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


class LoadPatternTests(testtools.TestCase):
    """The limit is compared with one that leaves time for a mean run only."""

    def worth(self, pattern: LoadPattern, margin: float) -> float:
        mean_run_s = pattern.run_s * math.exp(RUN_SPREAD**2 / 2)
        slowness = mean_run_s / pattern.target_s

        def limit_wait_s(waited_s: float) -> float:
            left_s = pattern.deadline_s - waited_s
            state = WaitState(waited_s, left_s, MAX_SHORT_WAITS, candidates=10)
            return max_wait_s(pattern.target_s, slowness, state)

        with patch("guavagap.scheduling.waits.RUN_TIME_MARGIN", margin):
            return mean_worth(
                pattern._replace(limit_wait_s=limit_wait_s),
                lambda source: lambda wait_s: choose_return_delay_s(
                    excess_wait_s(wait_s, limit_wait_s(0.0)), source
                ),
            )

    def assert_worth_more(self, pattern: LoadPattern) -> None:
        chosen, mean = self.worth(pattern, RUN_TIME_MARGIN), self.worth(pattern, 1.0)
        self.assertTrue(chosen > mean, f"{chosen:.3f} and {mean:.3f}")

    def test_long_overload(self):
        self.assert_worth_more(burst(1.3, 8.0))

    def test_long_overload_with_short_runs(self):
        self.assert_worth_more(burst(1.3, 8.0, **SHORT_RUNS))

    def test_burst_of_seconds(self):
        self.assert_worth_more(burst(1.7, 3.0))
