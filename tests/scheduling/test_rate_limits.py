"""Tests of rate limits: load patterns replayed against the owner node's decisions."""

import random
from typing import NamedTuple

import testtools

from guavagap.scheduling.rate_limits import (
    MIN_RATE_PER_S,
    NO_LIMIT,
    RateLimit,
    equivalent_load,
)
from guavagap.scheduling.refusals import expected_wait_s

# The platform allows this much in any window of WINDOW_S.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
MAX_WAIT_S = 0.2
RUN_S = 0.15
SLOTS = 6
SEEDS = range(5)


class RatePattern(NamedTuple):
    """Requests of many nodes to one backend server.

    Attributes:
        load: requests a second as a multiple of the limit.
        limits: pairs of a time and the limit that responses name from then on.
        nodes: number of nodes; the first one is the owner node.
        restarts_s: times at which the owner node restarts and knows no limit.
    """

    load: float
    limits: tuple[tuple[float, float], ...]
    nodes: int = 15
    restarts_s: tuple[float, ...] = ()
    duration_s: float = 20.0

    def limit_at(self, at_s: float) -> float:
        return [limit for start_s, limit in self.limits if start_s <= at_s][-1]


class _Owner:
    """The owner node: what it knows, and what it has under way."""

    def __init__(self):
        self.rate_limit = RateLimit()
        self.is_told = False
        self.running: list[float] = []

    def start(self, at_s: float) -> bool:
        """Send a request if a slot is free and the limit admits it."""
        self.running = [end_s for end_s in self.running if end_s > at_s]
        if len(self.running) >= SLOTS or not self.rate_limit.try_use(at_s):
            return False
        self.running.append(at_s + RUN_S)
        return True


def replay(pattern: RatePattern, seed: int) -> list[tuple[float, int]]:
    """Return the requests that reach the server: their time and node."""
    rng = random.Random(seed)
    owner, restarts = _Owner(), list(pattern.restarts_s)
    # Per node, the limit that it was told last.
    told: dict[int, float] = {}
    responses: list[tuple[float, int, float]] = []
    sent, at_s = [], 0.0
    while at_s < pattern.duration_s:
        limit = pattern.limit_at(at_s)
        at_s += rng.expovariate(pattern.load * limit)
        node = rng.randrange(pattern.nodes)
        if restarts and at_s >= restarts[0]:
            restarts.pop(0)
            owner = _Owner()
            told.pop(0, None)
            responses.clear()
        while responses and responses[0][0] <= at_s:
            _, to_node, named = responses.pop(0)
            told[to_node], owner.is_told = named, True
            if owner.rate_limit.rate_per_s != named:
                owner.rate_limit.set_rate(named, at_s)
        if not owner.is_told and node in told:
            owner.is_told = True
            owner.rate_limit.set_rate(told[node], at_s)
        wait_s = owner.rate_limit.wait_s(0, at_s)
        if wait_s > MAX_WAIT_S or not owner.start(at_s + wait_s):
            continue
        sent.append((at_s + wait_s, node))
        responses.append((at_s + wait_s + RUN_S, node, limit))
    return sent


def excess(pattern: RatePattern, sent: list[tuple[float, int]]) -> float:
    """Return by how much the busiest window exceeds what is allowed, 0 if none does.

    A restart of the owner node excuses the requests that began there.
    """
    times = [at_s for at_s, node in sent if node or not pattern.restarts_s]
    worst = 0.0
    for start_s in times:
        count = sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
        limits = [pattern.limit_at(start_s), pattern.limit_at(start_s + WINDOW_S)]
        limits += [value for at_s, value in pattern.limits if start_s < at_s]
        allowed = ALLOWED_RATIO * max(limits) * WINDOW_S + ALLOWED_EXTRA
        worst = max(worst, count - allowed)
    return worst


class RateLimitTests(testtools.TestCase):
    def assert_kept(self, pattern: RatePattern) -> None:
        kept = {seed: excess(pattern, replay(pattern, seed)) for seed in SEEDS}
        self.assertEqual({}, {seed: value for seed, value in kept.items() if value})

    def test_many_nodes_together_keep_the_limit(self):
        for limit in (1.0, 2.5, 11.7, 40.0):
            self.assert_kept(RatePattern(4.0, ((0.0, limit),)))

    def test_owner_node_that_restarts_keeps_the_limit(self):
        restarts_s = (5.0, 6.5, 8.0, 12.0)
        for limit in (2.5, 11.7, 40.0):
            self.assert_kept(RatePattern(4.0, ((0.0, limit),), 15, restarts_s))

    def test_limit_that_changes_is_followed(self):
        self.assert_kept(RatePattern(3.0, ((0.0, 20.0), (6.0, 8.0), (12.0, 30.0))))

    def test_limit_is_used_up_under_load(self):
        pattern = RatePattern(2.0, ((0.0, 12.0),))
        for seed in SEEDS:
            rate_per_s = len(replay(pattern, seed)) / pattern.duration_s
            self.assertGreater(rate_per_s, 0.9 * 12.0)

    def test_random_arrivals_below_the_limit_are_hardly_refused(self):
        pattern = RatePattern(0.8, ((0.0, 12.0),))
        sent = sum(len(replay(pattern, seed)) for seed in SEEDS)
        expected = 0.8 * 12.0 * pattern.duration_s * len(SEEDS)
        self.assertGreater(sent, 0.9 * expected)


class RateLimitStateTests(testtools.TestCase):
    def test_without_a_limit_nothing_waits(self):
        limit = RateLimit()
        self.assertEqual(0.0, limit.wait_s(100, 5.0))
        self.assertTrue(all(limit.try_use(5.0) for _ in range(100)))

    def test_limit_that_ends_releases_all(self):
        limit = RateLimit()
        limit.set_rate(1.0, 0.0)
        self.assertFalse(limit.try_use(0.0))
        limit.set_rate(NO_LIMIT, 0.1)
        self.assertTrue(limit.try_use(0.1))

    def test_server_that_takes_nothing_is_asked_now_and_then(self):
        limit = RateLimit()
        limit.set_rate(0.0, 0.0)
        used = sum(limit.try_use(second) for second in range(1, 21))
        self.assertEqual(20 * MIN_RATE_PER_S, used)

    def test_wait_is_reported_as_a_load_that_waits_as_long(self):
        load = equivalent_load(0.4, SLOTS, RUN_S)
        self.assertGreaterEqual(expected_wait_s(load, SLOTS, RUN_S), 0.4)
        self.assertLess(expected_wait_s(load - 1, SLOTS, RUN_S), 0.4)
        self.assertEqual(0, equivalent_load(0.0, SLOTS, RUN_S))
