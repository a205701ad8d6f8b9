"""Replay of a load pattern against the decisions of scheduling, in simulated time.

A pool of backend servers runs requests in slots, earliest arrival first. A request goes
to one of a few random servers; it is refused if the wait there exceeds its limit, and
its caller returns once after the delay that it was told.
"""

import heapq
from itertools import count
from typing import Callable, NamedTuple

__all__ = ["LoadPattern", "ReplayResult", "replay_refusals"]

SAMPLED_SERVERS = 3


class LoadPattern(NamedTuple):
    """Open-loop load on a pool.

    Attributes:
        rate_per_s: returns the arrivals a second at a time.
        max_wait_s: wait beyond which a request is refused.
        return_share_of_left: callers wait at most this share of their remaining time.
    """

    servers: int
    slots: int
    run_s: float
    target_s: float
    deadline_s: float
    max_wait_s: float
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


def replay_refusals(pattern: LoadPattern, choose_delay, random) -> ReplayResult:
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
        if wait_s > pattern.max_wait_s:
            left_s = started_s + pattern.deadline_s - now_s
            delay_s = min(choose_delay(wait_s), left_s * pattern.return_share_of_left)
            if is_return:
                outcomes["failed"] += 1
            else:
                event = (now_s + delay_s, next(counter), started_s, True)
                heapq.heappush(events, event)
            continue
        end_s = now_s + wait_s + random.uniform(0.5, 1.5) * pattern.run_s
        slots[slots.index(min(slots))] = end_s
        outcomes["returned_served"] += is_return
        latency_s = end_s - started_s
        if latency_s > pattern.deadline_s:
            outcomes["failed"] += 1
        else:
            outcomes["in_target" if latency_s <= pattern.target_s else "late"] += 1
    return ReplayResult(**outcomes)
