"""Placement: the choice of a backend server for a request.

Load patterns:

- A fleet in which a node sends few requests to each backend server, so that what it
  knows of most of them is old. A choice of the least loaded of all by old reports
  sends the requests of many nodes to the same few servers. Only a random sample is
  compared (Mitzenmacher, "How useful is old information?"), which also bounds the
  cost of a choice.
- Backend servers of different speed, and ones that turn slow: the expected run time
  counts, so the fast ones run more while they have slots. See
  :mod:`guavagap.scheduling.speeds` for what it is expected from.
- A fleet in which every node has callers and a backend server. A free slot that is
  known exactly is worth more than one that was reported a moment ago, and saves a hop:
  the own backend server is chosen while it has a free slot.
- A burst at one node. Once its own slots are taken, requests go to the others.
"""

from enum import IntEnum
from typing import NamedTuple, Sequence

__all__ = [
    "SAMPLE_IN_DOMAIN",
    "Candidate",
    "Distance",
    "choose_candidate",
    "prefers_own",
    "sample_indices",
]

# A candidate in another failure domain is selected only if its expected latency is
# lower by more than this cost, in target latencies: crossing costs a round trip and
# billed traffic. A short queue in the local failure domain is preferable.
CROSS_DOMAIN_COST = 1.0
CROSS_DOMAIN_COST_PER_KIB = 0.03
COLD_START_FACTOR = 2.0
LOAD_PENALTY = 0.5
# Without any report, a run is assumed to take a third of the target latency.
DEFAULT_SLOWNESS = 0.33
# Expected times are known to about a tenth. Without a spread, all requests go to the
# backend server that seems a little faster than its equals, while there is little load.
SCORE_SPREAD = 1.2
# A hop to the owner node of another backend server, in target latencies.
HOP_COST = 0.03
# The own backend server is not preferred if its runs take longer than the median times
# this. With 1.5, nodes beside slow backend servers kept too many requests, since the
# median is known to include slow ones.
OWN_MAX_SLOWNESS_RATIO = 1.25
SAMPLE_IN_DOMAIN = 6
SAMPLE_IN_OTHER_DOMAINS = 4


class Distance(IntEnum):
    """Where a backend server is, seen from the node that chooses."""

    SAME_NODE = 0
    SAME_DOMAIN = 1
    OTHER_DOMAIN = 2


class Candidate(NamedTuple):
    """A backend server as the choosing node knows it.

    Attributes:
        slots: maximum number of concurrent requests.
        load: requests that run or wait there, by the best estimate.
        slowness: mean run time as a share of the target latency; None if unknown.
        is_cold: whether it started a moment ago and is not fast yet.
    """

    slots: int
    load: float
    slowness: float | None
    is_cold: bool
    distance: Distance


def sample_indices(distances: Sequence[Distance], random) -> list[int]:
    """Return the indices of the candidates to compare, from their distances.

    Args:
        distances: distance of each candidate.
        random: source of randomness, as :mod:`random`.
    """
    in_domain, elsewhere, sample = [], [], []
    for index, distance in enumerate(distances):
        if distance is Distance.SAME_NODE:
            sample.append(index)
        elif distance is Distance.SAME_DOMAIN:
            in_domain.append(index)
        else:
            elsewhere.append(index)
    sample += _at_most(in_domain, SAMPLE_IN_DOMAIN, random)
    sample += _at_most(elsewhere, SAMPLE_IN_OTHER_DOMAINS, random)
    return sample


def _at_most(indices: list[int], count: int, random) -> list[int]:
    return indices if len(indices) <= count else random.sample(indices, count)


def prefers_own(own: Candidate, known: Sequence[float | None]) -> bool:
    """Return whether the own backend server is chosen without a comparison.

    Args:
        own: the node's own backend server.
        known: slowness of several backend servers of the service.
    """
    if own.is_cold or own.load >= own.slots:
        return False
    median = _median_slowness(known)
    return (own.slowness or median) <= OWN_MAX_SLOWNESS_RATIO * median


def choose_candidate(
    candidates: Sequence[Candidate], response_bytes: float, random
) -> int:
    """Return the index of the candidate for a request.

    Args:
        candidates: the candidates to compare, at least one.
        response_bytes: mean size of the responses of the route.
        random: source of randomness, as :mod:`random`; decides between equals.
    """
    known = [item.slowness for item in candidates]
    for index, candidate in enumerate(candidates):
        if candidate.distance is Distance.SAME_NODE and prefers_own(candidate, known):
            return index
    median = _median_slowness(known)
    best = best_in_domain = None
    for index, candidate in enumerate(candidates):
        time = _expected_time(candidate, median) * random.uniform(1.0, SCORE_SPREAD)
        score = (time, index)
        if best is None or score < best:
            best = score
        is_in_domain = candidate.distance is not Distance.OTHER_DOMAIN
        if is_in_domain and (best_in_domain is None or score < best_in_domain):
            best_in_domain = score
    if best_in_domain is None:
        return best[1]
    crossing_cost = (
        CROSS_DOMAIN_COST + CROSS_DOMAIN_COST_PER_KIB * response_bytes / 1024
    )
    return (best_in_domain if best_in_domain[0] <= best[0] + crossing_cost else best)[1]


def _expected_time(candidate: Candidate, median: float) -> float:
    """Return the expected latency of a request, in target latencies."""
    slowness = candidate.slowness or median
    if candidate.is_cold:
        slowness = max(slowness, COLD_START_FACTOR * median)
    slots, load = candidate.slots, candidate.load
    waiting = max(0, load + 1 - slots)
    # A backend server that is nearly full is slower, and more likely to be full when
    # the request arrives.
    time = slowness * (1 + LOAD_PENALTY * load / slots + waiting / slots)
    return time if candidate.distance is Distance.SAME_NODE else time + HOP_COST


def _median_slowness(known: Sequence[float | None]) -> float:
    """Return the median of the known slowness, a default if none is known."""
    values = sorted(slowness for slowness in known if slowness is not None)
    return values[len(values) // 2] if values else DEFAULT_SLOWNESS
