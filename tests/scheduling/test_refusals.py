"""Tests of refusals: load patterns replayed against the delays told to callers."""

import random

import testtools

from guavagap.scheduling.refusals import (
    DELAY_SPREAD,
    MIN_DELAY_S,
    choose_return_delay_s,
    excess_wait_s,
    expected_wait_s,
)
from tests.scheduling.replay import SHORT_RUNS, LoadPattern, burst, mean_worth


class DelayTests(testtools.TestCase):
    def choose(self, excess_s: float) -> list[float]:
        source = random.Random(5)
        return [choose_return_delay_s(excess_s, source) for _ in range(200)]

    def test_delays_are_spread_from_the_excess_on(self):
        delays = self.choose(0.4)
        self.assertTrue(0.4 <= min(delays) < 0.45)
        self.assertTrue(0.75 < max(delays) <= 0.4 * DELAY_SPREAD)

    def test_caller_never_returns_at_once(self):
        self.assertTrue(min(self.choose(0.0)) >= MIN_DELAY_S)

    def test_wait_grows_with_the_queue_and_not_with_free_slots(self):
        self.assertEqual(0.0, expected_wait_s(3, 4, 0.3))
        self.assertAlmostEqual(0.3, expected_wait_s(7, 4, 0.3))
        self.assertAlmostEqual(0.1, excess_wait_s(0.3, 0.2))
        self.assertEqual(0.0, excess_wait_s(0.1, 0.2))


class LoadPatternTests(testtools.TestCase):
    """The delays are compared with random ones of 0.1 to 0.3 s, as sent before."""

    def assert_worth_more(self, pattern: LoadPattern) -> None:
        chosen = mean_worth(
            pattern,
            lambda source: lambda wait_s: choose_return_delay_s(
                excess_wait_s(wait_s, pattern.limit_wait_s(0.0)), source
            ),
        )
        fixed = mean_worth(
            pattern, lambda source: lambda wait_s: source.uniform(0.1, 0.3)
        )
        self.assertTrue(chosen > fixed, f"{chosen:.3f} and {fixed:.3f}")

    def test_burst_of_seconds(self):
        self.assert_worth_more(burst(1.5, 3.0))

    def test_long_overload(self):
        self.assert_worth_more(burst(1.3, 8.0))

    def test_burst_on_short_runs(self):
        self.assert_worth_more(burst(1.5, 3.0, **SHORT_RUNS))

    def test_short_burst_on_short_runs(self):
        self.assert_worth_more(burst(2.5, 0.4, **SHORT_RUNS))
