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
from tests.scheduling.replay import LoadPattern, replay_refusals

SEEDS = range(4)
USUAL_LOAD = 0.75
BURST_START_S = 3.0
# A late response is worth this share of one within the target latency.
LATE_WORTH = 0.3


def burst(load: float, duration_s: float, **changes) -> LoadPattern:
    """Return a pattern with a time of load above the capacity of its pool."""
    pattern = LoadPattern(16, 4, 0.33, 0.94, 2.0, 0.4 * 0.94, 12.0, None)
    pattern = pattern._replace(**changes)
    capacity_per_s = pattern.servers * pattern.slots / pattern.run_s

    def rate_per_s(at_s: float) -> float:
        is_burst = BURST_START_S < at_s < BURST_START_S + duration_s
        return capacity_per_s * (load if is_burst else USUAL_LOAD)

    return pattern._replace(rate_per_s=rate_per_s)


SHORT_RUNS = {
    "servers": 5,
    "slots": 9,
    "run_s": 0.06,
    "target_s": 0.2,
    "deadline_s": 0.5,
    "max_wait_s": 0.08,
}


def mean_worth(pattern: LoadPattern, make_choose_delay) -> float:
    """Return the mean worth of a request over several seeds."""
    worth = total = 0
    for seed in SEEDS:
        source = random.Random(seed)
        result = replay_refusals(pattern, make_choose_delay(source), source)
        worth += result.in_target + LATE_WORTH * result.late
        total += result.in_target + result.late + result.failed
    return worth / total


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
                excess_wait_s(wait_s, pattern.max_wait_s), source
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
