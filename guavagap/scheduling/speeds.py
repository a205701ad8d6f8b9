"""Speeds: how long a backend server takes, now and compared with others.

Load patterns:

- Backend servers of one service differ in speed by a factor of up to three, for good. A
  node that sends few requests to each has no recent report of most of them, so the
  speed of each is remembered, relative to the usual one of the service. It is forgotten
  slowly, so that a backend server that has become faster is tried again.
- A VM is shared with others, so that its run times change many times a second. Reports
  of the present run time are worth nothing some tenths of a second later.
- Most of what a node knows of loads is old. A backend server without a recent report is
  taken to be as busy as the others usually are, not to be free: many nodes would send
  their requests to those that they know least of.
- Backend servers of a service turn slow together, for example with a service that they
  call. Their usual run time changes, their relative speeds do not.
"""

import math

__all__ = [
    "FACTOR_MEMORY_S",
    "MAX_PERCENT",
    "USUAL_PERCENT",
    "RelativeSpeed",
    "RunTimeFactor",
    "UsualFigures",
    "faded",
]

USUAL_PERCENT = 100
# Reports beyond this are cut off; links carry them in 16 bits.
MAX_PERCENT = 10_000
# The run time that a VM reports has changed after about this time.
FACTOR_MEMORY_S = 0.1
# Weight of one report in the mean that shows what run time is usual for the VM.
FACTOR_MEAN_WEIGHT = 0.02
# Weight of one report in the means of a service, and the time after which they are
# replaced by later ones.
USUAL_WEIGHT = 0.05
USUAL_MEMORY_S = 1.0
# All slots and the queue for them are taken; a rate limit reports more.
MAX_UTILISATION = 3.0
# Slow seconds of a backend server, such as those after a start, are not its speed.
SPEED_MEMORY_S = 10.0
# One report is the mean of few runs, whatever the time since the previous one.
MAX_SPEED_WEIGHT = 0.3
# A backend server that is avoided sends no reports, so its speed is forgotten.
SPEED_RETENTION_S = 60.0
MIN_RATIO = 0.2
MAX_RATIO = 5.0


def faded(value: float, usual: float, age_s: float, memory_s: float) -> float:
    """Return a value that approaches the usual one with its age.

    Values that fade in several places, each for the time that it was known there, fade
    as if they had been kept in one place.
    """
    return usual + (value - usual) * math.exp(-max(0.0, age_s) / memory_s)


class RunTimeFactor:
    """The run time that a backend server reports, by the owner node's record of it.

    What is usual is the mean of the recent reports, since the run times that are
    observed contain it.
    """

    __slots__ = ("_percent", "_mean", "_at_s")

    def __init__(self):
        self._percent = 0
        self._mean = float(USUAL_PERCENT)
        self._at_s = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether the backend server has reported its run time."""
        return self._percent > 0

    def record(self, percent: int, now_s: float) -> None:
        """Record a report.

        Args:
            percent: the present run time in percent of the usual, greater than 0.
            now_s: the present time.
        """
        self._percent = min(percent, MAX_PERCENT)
        self._mean += FACTOR_MEAN_WEIGHT * (self._percent - self._mean)
        self._at_s = now_s

    def percent(self, now_s: float) -> int:
        """Return the expected run time in percent of the usual, 0 if unknown."""
        if not self._percent:
            return 0
        latest = USUAL_PERCENT * self._percent / self._mean
        age_s = now_s - self._at_s
        expected = faded(latest, USUAL_PERCENT, age_s, FACTOR_MEMORY_S)
        return min(MAX_PERCENT, max(1, round(expected)))


class UsualFigures:
    """What is usual for the backend servers of one service, as one node sees them."""

    __slots__ = ("_slowness", "_utilisation", "_at_s")

    def __init__(self):
        self._slowness = 0.0
        self._utilisation = 0.0
        self._at_s = -math.inf

    @property
    def slowness(self) -> float | None:
        """Mean run time as a share of the target latency, None if unknown."""
        return self._slowness or None

    @property
    def utilisation(self) -> float:
        """Mean load as a share of the slots, 0 if unknown."""
        return self._utilisation

    def record(self, slowness: float, utilisation: float, now_s: float) -> None:
        """Record a report of any backend server of the service.

        Args:
            slowness: run time as a share of the target latency, 0 if unknown.
            utilisation: load as a share of the slots.
            now_s: the present time.
        """
        weight = max(USUAL_WEIGHT, _weight(now_s - self._at_s, USUAL_MEMORY_S))
        self._at_s = now_s
        utilisation = min(utilisation, MAX_UTILISATION)
        self._utilisation += weight * (utilisation - self._utilisation)
        if not slowness:
            return
        if not self._slowness:
            self._slowness = slowness
        self._slowness += USUAL_WEIGHT * (slowness - self._slowness)


class RelativeSpeed:
    """The lasting run time of a backend server as a multiple of its service's."""

    __slots__ = ("_ratio", "_at_s")

    def __init__(self):
        self._ratio = 1.0
        self._at_s: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether there was any report of the backend server."""
        return self._at_s is not None

    def record(self, slowness: float, usual: float, now_s: float) -> None:
        """Record a reported run time.

        Args:
            slowness: run time as a share of the target latency, greater than 0.
            usual: the same of the service, greater than 0.
            now_s: the present time.
        """
        ratio = min(MAX_RATIO, max(MIN_RATIO, slowness / usual))
        before, weight = self.ratio(now_s), MAX_SPEED_WEIGHT
        if self._at_s is not None:
            weight = min(weight, _weight(now_s - self._at_s, SPEED_MEMORY_S))
        self._ratio = before + weight * (ratio - before)
        self._at_s = now_s

    def ratio(self, now_s: float) -> float:
        """Return the run time as a multiple of the usual one, 1 if unknown."""
        if self._at_s is None:
            return 1.0
        return faded(self._ratio, 1.0, now_s - self._at_s, SPEED_RETENTION_S)


def _weight(age_s: float, memory_s: float) -> float:
    """Return the weight of a value in a mean that covers a time."""
    return 1.0 - math.exp(-max(0.0, age_s) / memory_s)
