"""Replay of load patterns against the decisions of scheduling, in simulated time.

A pool of backend servers runs requests in slots, earliest arrival first. A request goes
to one of a few random servers; it is refused if the wait there exceeds its limit, and
its caller returns once after the delay that it was told.
"""

import heapq
import random as random_module
from itertools import count
from typing import Callable, NamedTuple

__all__ = ["LoadPattern", "ReplayResult", "SHORT_RUNS", "burst", "mean_worth"]

SAMPLED_SERVERS = 3
SEEDS = range(4)
USUAL_LOAD = 0.75
BURST_START_S = 3.0
MAX_WAIT_SHARE_OF_TARGET = 0.4
# A late response is worth this share of one within the target latency.
LATE_WORTH = 0.3
# Standard deviation of the logarithm of run times.
RUN_SPREAD = 0.5


class LoadPattern(NamedTuple):
    """Open-loop load on a pool.

    Attributes:
        rate_per_s: returns the arrivals a second at a time.
        run_s: median run time; runs are spread by a log-normal distribution.
        limit_wait_s: returns the wait beyond which a request is refused, from the time
            that it has waited already.
        return_share_of_left: callers wait at most this share of their remaining time.
    """

    servers: int
    slots: int
    run_s: float
    target_s: float
    deadline_s: float
    limit_wait_s: Callable[[float], float]
    duration_s: float
    rate_per_s: Callable[[float], float]
    return_share_of_left: float = 1 / 3


class ReplayResult(NamedTuple):
    """Requests by outcome, and how many of those that were refused once were served."""

    in_target: int
    late: int
    failed: int
    returned: int
    returned_served: int


def replay(pattern: LoadPattern, choose_delay, random) -> ReplayResult:
    """Replay a pattern.

    Args:
        pattern: the load.
        choose_delay: from the expected wait in seconds to the delay told to a caller.
        random: source of randomness, as :mod:`random`.
    """
    busy_until_s = [[0.0] * pattern.slots for _ in range(pattern.servers)]
    counter, events = count(), []
    now_s = 0.0
    while now_s < pattern.duration_s:
        now_s += random.expovariate(pattern.rate_per_s(now_s))
        heapq.heappush(events, (now_s, next(counter), now_s, False))
    outcomes = dict.fromkeys(ReplayResult._fields, 0)
    while events:
        now_s, _, started_s, is_return = heapq.heappop(events)
        outcomes["returned"] += is_return
        slots = min(random.sample(busy_until_s, SAMPLED_SERVERS), key=min)
        wait_s = max(0.0, min(slots) - now_s)
        if wait_s > pattern.limit_wait_s(now_s - started_s):
            left_s = started_s + pattern.deadline_s - now_s
            delay_s = min(choose_delay(wait_s), left_s * pattern.return_share_of_left)
            if is_return:
                outcomes["failed"] += 1
            else:
                event = (now_s + delay_s, next(counter), started_s, True)
                heapq.heappush(events, event)
            continue
        run_s = pattern.run_s * random.lognormvariate(0.0, RUN_SPREAD)
        end_s = now_s + wait_s + run_s
        slots[slots.index(min(slots))] = end_s
        outcomes["returned_served"] += is_return
        latency_s = end_s - started_s
        if latency_s > pattern.deadline_s:
            outcomes["failed"] += 1
        else:
            outcomes["in_target" if latency_s <= pattern.target_s else "late"] += 1
    return ReplayResult(**outcomes)


def burst(load: float, duration_s: float, **changes) -> LoadPattern:
    """Return a pattern with a time of load above the capacity of its pool."""
    pattern = LoadPattern(16, 4, 0.33, 0.94, 2.0, None, 12.0, None)
    pattern = pattern._replace(**changes)
    max_wait_s = MAX_WAIT_SHARE_OF_TARGET * pattern.target_s
    capacity_per_s = pattern.servers * pattern.slots / pattern.run_s

    def rate_per_s(at_s: float) -> float:
        is_burst = BURST_START_S < at_s < BURST_START_S + duration_s
        return capacity_per_s * (load if is_burst else USUAL_LOAD)

    return pattern._replace(
        rate_per_s=rate_per_s, limit_wait_s=lambda waited_s: max_wait_s
    )


SHORT_RUNS = {
    "servers": 5,
    "slots": 9,
    "run_s": 0.06,
    "target_s": 0.2,
    "deadline_s": 0.5,
}


def mean_worth(pattern: LoadPattern, make_choose_delay) -> float:
    """Return the mean worth of a request over several seeds."""
    worth = total = 0
    for seed in SEEDS:
        source = random_module.Random(seed)
        result = replay(pattern, make_choose_delay(source), source)
        worth += result.in_target + LATE_WORTH * result.late
        total += result.in_target + result.late + result.failed
    return worth / total
