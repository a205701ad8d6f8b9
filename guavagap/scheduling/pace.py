"""Pace: how many requests a backend server gets at once while it ramps up.

The owner node of a backend server decides, since all requests pass it, from responses
alone: what heartbeats and health probes say of a backend server may be wrong. The
limit begins small, grows with each response in time and ends at the slots. It is the
window of congestion control: while run times are as usual each response adds one, so
that the limit doubles in a round trip; while they are longer it grows by one in a round
trip; while they are far longer, or requests fail, it shrinks by a factor, once in a
round trip.

Load patterns:

- A backend server that has started is slow in its first seconds. It gets few requests,
  and the others run them in time.
- A backend server that is as fast as usual at once. The limit is gone after about three
  round trips, where a fixed time would leave it idle for seconds.
- It was down, or has failed most requests. The requests that wait for its return are
  not sent to it all at once.
- An owner node that restarts beside a backend server that has run for long, a
  cancelled drain, the end of an evacuation. Nothing tells that it is slow: it begins
  with half its slots, and needs one round trip.
- A backend server that is always slower than the others. Its own run times are accepted
  as usual after some seconds.
- All backend servers of a service are back at once. A request that has found no room
  elsewhere is not held back (:func:`may_exceed_pace`).
"""

import math
from enum import Enum

from guavagap.scheduling.speeds import faded
from guavagap.scheduling.waits import MAX_SHORT_WAITS, WaitState

__all__ = [
    "Pace",
    "PaceReason",
    "may_exceed_pace",
    "paced_load",
    "paced_slowness",
    "reason_for_start",
]

BEGIN_SHARE_OF_SLOTS = 0.25
BEGIN_SHARE_OF_WARM = 0.5
# Run times are spread by routes and chance: the mean of few runs of a backend server
# that is as fast as the others is below this multiple of the usual one.
FAST_RATIO = 1.25
LATE_RATIO = 1.75
SHRINK_LATE = 0.7
SHRINK_FAILED = 0.5
# The mean covers about the last three runs.
RUN_WEIGHT = 0.3
PROOFS_PER_SLOT = 0.5
# Weight of one run in the mean with which runs are compared while nothing is usual.
LONG_WEIGHT = 0.02
# Backend servers are slow for some seconds after a start. One that is three times
# slower than the others for good has its own run time accepted in about 4 s.
ACCEPT_S = 10.0
# Slow first seconds may end at any moment, so that another request is tried soon.
SLOWNESS_MEMORY_S = 0.5
# The mean covers about ten requests. A healthy backend server fails a few percent of
# them when services that it calls fail.
FAILURE_WEIGHT = 0.1
BEGIN_FAILURE_RATE = 0.5
END_FAILURE_RATE = 0.2
# A backend server that has run for so long is not slow because of its start.
WARM_AGE_S = 10.0


class PaceReason(Enum):
    """Why a ramp-up has begun; the values are used in logs."""

    STARTED = "started"
    CRASHED = "crashed"
    UNREACHABLE = "unreachable"
    DISCONNECTED = "connections closed"
    FAILURES = "failures"
    OWNER_STARTED = "owner node started"
    DRAIN_CANCELLED = "drain cancelled"
    ANNOUNCED_ANEW = "announced anew"
    EVACUATION_ENDED = "evacuation ended"
    NODE_RESUMED = "node was stopped"


_WARM_REASONS = (
    PaceReason.FAILURES,
    PaceReason.OWNER_STARTED,
    PaceReason.DRAIN_CANCELLED,
    PaceReason.ANNOUNCED_ANEW,
    PaceReason.EVACUATION_ENDED,
    PaceReason.NODE_RESUMED,
)


def reason_for_start(age_s: float | None) -> PaceReason:
    """Return why a backend server that its owner node takes on has to ramp up.

    Args:
        age_s: time since the start of the backend server, None if unknown.
    """
    is_warm = age_s is not None and age_s >= WARM_AGE_S
    return PaceReason.OWNER_STARTED if is_warm else PaceReason.STARTED


def may_exceed_pace(state: WaitState, is_full: bool) -> bool:
    """Return whether no other backend server seems to have room for a request.

    It has been refused as often as it may be before its last wait, there is only one
    backend server left for it, or the best one that it can have has no room either. The
    slots and the rate limits hold nevertheless.

    Args:
        state: what has happened to the request so far.
        is_full: whether the chosen backend server has no free slot within its limit, by
            the best estimate.
    """
    if is_full or state.refusals >= MAX_SHORT_WAITS:
        return True
    return state.refusals + 1 >= state.candidates


def paced_load(load: int, limit: int, slots: int) -> int:
    """Return the load that tells other nodes how much of a limit is in use.

    Args:
        load: requests that run or wait.
        limit: requests that may run at once, at least 1.
        slots: maximum number of concurrent requests.
    """
    return load if limit >= slots else math.ceil(load * slots / limit)


def paced_slowness(slowness: float, usual: float | None, age_s: float) -> float:
    """Return the run time to expect of a backend server that ramps up.

    It may have become faster since its latest run. Without another try, neither its
    owner node nor others would find out.

    Args:
        slowness: its recent run times, as a share of the target latency.
        usual: what is usual for it; None if unknown.
        age_s: time since the latest run has ended.
    """
    if usual is None or slowness <= usual:
        return slowness
    return faded(slowness, usual, age_s, SLOWNESS_MEMORY_S)


class Pace:
    """Concurrency limit of one backend server, which exists while it ramps up.

    All times are seconds of one steady clock.

    Args:
        slots: maximum number of concurrent requests, at least 1.

    Attributes:
        reason: why the latest ramp-up has begun, None before the first.
        failure_rate: share of the recent requests that failed.
        ratio: recent run time as a multiple of what is expected, 0 without a response.
        responses: responses in time since the ramp-up has begun.
    """

    def __init__(self, slots: int):
        self.reason: PaceReason | None = None
        self.failure_rate = 0.0
        self.ratio = 0.0
        self.responses = 0
        self._slots = slots
        self._limit: float | None = None
        self._began_at_s = -math.inf
        self._shrunk_at_s = -math.inf
        self._mean = 0.0
        self._long_mean = 0.0
        self._runs = 0
        self._accepted: float | None = None
        self._full_at_s = math.inf
        self._proofs = 0
        self._updated_at_s = -math.inf

    @property
    def is_active(self) -> bool:
        """Whether there is a limit."""
        return self._limit is not None

    @property
    def limit(self) -> int:
        """Requests that may run at once; the slots without a limit."""
        return self._slots if self._limit is None else int(self._limit)

    def age_s(self, now_s: float) -> float:
        """Return the time since the latest ramp-up has begun."""
        return now_s - self._began_at_s

    def begin(self, reason: PaceReason, now_s: float) -> bool:
        """Begin a ramp-up, or continue one with a limit that is as low.

        Returns:
            Whether there was no limit before.
        """
        share = BEGIN_SHARE_OF_SLOTS
        if reason in _WARM_REASONS:
            share = BEGIN_SHARE_OF_WARM
        lowest = max(1.0, self._slots * share)
        if lowest >= self._slots:
            return False
        is_first = self._limit is None
        self._limit = lowest if is_first else min(self._limit, lowest)
        if is_first:
            self._began_at_s, self.responses = now_s, 0
        self.reason = reason
        self._shrunk_at_s = now_s
        self._mean, self.ratio = 0.0, 0.0
        self._long_mean, self._runs, self._accepted = 0.0, 0, None
        self._full_at_s, self._proofs = math.inf, 0
        return is_first

    def record_response(
        self, slowness: float, usual: float | None, sent_at_s: float, now_s: float
    ) -> None:
        """Record a response that is no failure.

        Args:
            slowness: run time as a share of the target latency, 0 if it has none.
            usual: what is usual for the service; None if unknown.
            sent_at_s: when the request was sent.
            now_s: the present time.
        """
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
        if self._limit is None or sent_at_s < self._shrunk_at_s:
            # It says nothing of the time since the limit has begun or shrunk.
            return
        expected = self._update_expected(slowness, usual, now_s) if slowness else 0.0
        self.ratio = self._mean / expected if expected else 1.0
        if self.ratio > LATE_RATIO:
            self._shrink(SHRINK_LATE, now_s)
            return
        if slowness > LATE_RATIO * expected:
            return
        self.responses += 1
        self._limit += 1.0 if self.ratio <= FAST_RATIO else 1.0 / self._limit
        if self._limit < self._slots:
            return
        self._limit = float(self._slots)
        # Runs that began with all slots have to show that they are not too many. The
        # fastest of them, which end first, show nothing.
        self._full_at_s = min(self._full_at_s, now_s)
        self._proofs += sent_at_s >= self._full_at_s
        is_proven = self._proofs >= PROOFS_PER_SLOT * self._slots
        if is_proven and self.failure_rate <= END_FAILURE_RATE:
            self._limit = None

    def _update_expected(
        self, slowness: float, usual: float | None, now_s: float
    ) -> float:
        """Return the run time that counts as usual, after another one was observed.

        Without any from others it is the mean of this ramp-up. It approaches what is
        observed, so that a lasting difference is accepted.
        """
        if not self._mean:
            self._mean = slowness
        self._mean += RUN_WEIGHT * (slowness - self._mean)
        self._runs += 1
        long_weight = max(LONG_WEIGHT, 1.0 / self._runs)
        self._long_mean += long_weight * (slowness - self._long_mean)
        base = usual or self._long_mean
        if self._accepted is None:
            self._accepted, self._updated_at_s = base, now_s
        weight = 1.0 - math.exp(-(now_s - self._updated_at_s) / ACCEPT_S)
        self._accepted += weight * (self._mean - self._accepted)
        self._updated_at_s = now_s
        return max(base, self._accepted)

    def record_failure(self, sent_at_s: float, now_s: float) -> bool:
        """Record a request that failed at the backend server.

        Args:
            sent_at_s: when the request was sent.
            now_s: the present time.

        Returns:
            Whether a ramp-up has begun because most requests fail.
        """
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        if self._limit is None:
            is_failing = self.failure_rate > BEGIN_FAILURE_RATE
            return is_failing and self.begin(PaceReason.FAILURES, now_s)
        if sent_at_s >= self._shrunk_at_s:
            self._shrink(SHRINK_FAILED, now_s)
        return False

    def _shrink(self, factor: float, now_s: float) -> None:
        self._limit = max(1.0, self._limit * factor)
        self._shrunk_at_s = now_s
        self._full_at_s, self._proofs = math.inf, 0
