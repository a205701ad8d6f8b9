"""Rate limits: when the next request may be sent to a backend server that named one.

The owner node of a backend server passes on all requests to it, so it holds the whole
limit: the most urgent waiting request gets the next share of it, whichever node it came
from. Nodes that join, stop or lose contact change nothing, since they hold no share.

There are two limits, of which the lower one applies: the one that the backend server
names, and the bound of one that is cold (:mod:`guavagap.scheduling.cold_starts`).

Load patterns:

- Many nodes send more than the limit. The limit is used up and never exceeded by more
  than a short burst.
- Requests arrive at random, at less than the limit on average. A burst that fits into
  what was left unused a moment ago does not wait.
- The owner node restarts. It knows of no limit until a response names it, so the first
  node that sends a request tells what it was told before.
- The limit changes, or a limit near zero is named. Some requests still pass, or no
  response could tell that the limit has ended.
- A backend server turns cold under load. It begins with no share that was left unused
  before, and its burst is fixed, so that each second is kept, not only the mean.
"""

import math

__all__ = ["MIN_RATE_PER_S", "NO_LIMIT", "RateLimit", "equivalent_load"]

NO_LIMIT = math.inf
# What was left unused in this time may be used at once.
BURST_S = 1.0
MIN_BURST = 1.0
# A backend server that takes nothing is still asked this often.
MIN_RATE_PER_S = 0.5


class _Bucket:
    """Shares that accrue at a rate and of which some may be used at once.

    Args:
        rate_per_s: shares a second, greater than 0.
        burst: maximum number of shares that may be used at once, at least 1.
        now_s: the present time; no share is available yet.
    """

    __slots__ = ("rate_per_s", "burst", "_available", "_updated_at_s")

    def __init__(self, rate_per_s: float, burst: float, now_s: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._available = 0.0
        self._updated_at_s = now_s

    def change(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst; what is available is kept, up to the new burst."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._available = min(self._available, burst)

    def _refill(self, now_s: float) -> None:
        earned = (now_s - self._updated_at_s) * self.rate_per_s
        self._available = min(self.burst, self._available + earned)
        self._updated_at_s = now_s

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long a request behind ``ahead`` others has to wait."""
        self._refill(now_s)
        return max(0.0, (ahead + 1 - self._available) / self.rate_per_s)

    def has_share(self, now_s: float) -> bool:
        """Return whether a share is available."""
        self._refill(now_s)
        # A wait that has just ended may fall short of a whole share by rounding.
        return self._available >= 1.0 - 1e-6

    def use(self) -> None:
        """Use a share that is available."""
        self._available -= 1.0


class RateLimit:
    """The limits of one backend server and how much of them may be used at once."""

    def __init__(self):
        self._named: _Bucket | None = None
        self._bound: _Bucket | None = None
        self._buckets: tuple[_Bucket, ...] = ()

    @property
    def rate_per_s(self) -> float:
        """Requests a second by the lower limit, ``NO_LIMIT`` without one."""
        return min((bucket.rate_per_s for bucket in self._buckets), default=NO_LIMIT)

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return bool(self._buckets)

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the limit that the backend server names.

        Args:
            rate_per_s: requests a second; ``NO_LIMIT`` for none.
            now_s: the present time.
        """
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        burst = max(MIN_BURST, rate_per_s * BURST_S)
        self._named = _changed(self._named, rate_per_s, burst, now_s)
        self._collect_buckets()

    def set_bound(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the bound that holds besides the limit that is named.

        Args:
            rate_per_s: requests a second, greater than 0; ``NO_LIMIT`` for none.
            burst: requests that may be sent at once after a pause.
            now_s: the present time.
        """
        burst = max(MIN_BURST, burst)
        self._bound = _changed(self._bound, rate_per_s, burst, now_s)
        self._collect_buckets()

    def _collect_buckets(self) -> None:
        self._buckets = tuple(filter(None, (self._named, self._bound)))

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long a request has to wait.

        Args:
            ahead: number of requests that are sent before it.
            now_s: the present time.
        """
        if not self._buckets:
            return 0.0
        return max(bucket.wait_s(ahead, now_s) for bucket in self._buckets)

    def try_use(self, now_s: float) -> bool:
        """Use a share for one request; return False if none is available yet."""
        if not all(bucket.has_share(now_s) for bucket in self._buckets):
            return False
        for bucket in self._buckets:
            bucket.use()
        return True


def _changed(
    bucket: _Bucket | None, rate_per_s: float, burst: float, now_s: float
) -> _Bucket | None:
    """Return a bucket with another rate, None without a limit."""
    if rate_per_s == NO_LIMIT:
        return None
    if bucket is None:
        return _Bucket(rate_per_s, burst, now_s)
    bucket.change(rate_per_s, burst, now_s)
    return bucket


def equivalent_load(wait_s: float, slots: int, run_s: float) -> int:
    """Return the load at which a new request waits as long for a slot.

    Args:
        wait_s: the wait.
        slots: maximum number of concurrent requests.
        run_s: mean run time.
    """
    if not wait_s or not run_s:
        return 0
    return slots - 1 + math.ceil(wait_s * slots / run_s)
