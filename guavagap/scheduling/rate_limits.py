"""Rate limits: when the next request may be sent to a backend server that named one.

The owner node of a backend server passes on all requests to it, so it holds the whole
limit: the most urgent waiting request gets the next share of it, whichever node it came
from. Nodes that join, stop or lose contact change nothing, since they hold no share.

Load patterns:

- Many nodes send more than the limit. The limit is used up and never exceeded by more
  than a short burst.
- Requests arrive at random, at less than the limit on average. A burst that fits into
  what was left unused a moment ago does not wait.
- The owner node restarts. It knows of no limit until a response names it, so the first
  node that sends a request tells what it was told before.
- The limit changes, or a limit near zero is named. Some requests still pass, or no
  response could tell that the limit has ended.
"""

import math

__all__ = ["MIN_RATE_PER_S", "NO_LIMIT", "RateLimit", "equivalent_load"]

NO_LIMIT = math.inf
# What was left unused in this time may be used at once.
BURST_S = 1.0
MIN_BURST = 1.0
# A backend server that takes nothing is still asked this often.
MIN_RATE_PER_S = 0.5


class RateLimit:
    """The limit of one backend server and how much of it may be used at once.

    Attributes:
        rate_per_s: requests a second, ``NO_LIMIT`` without a limit.
    """

    def __init__(self):
        self.rate_per_s = NO_LIMIT
        self._available = 0.0
        self._updated_at_s = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s != NO_LIMIT

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the limit; what is available at once is kept, up to the new burst."""
        if not self.is_limited:
            self._available = 0.0
        else:
            self._refill(now_s)
        self._updated_at_s = now_s
        self.rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._available = min(self._available, self._burst())

    def _burst(self) -> float:
        return max(MIN_BURST, self.rate_per_s * BURST_S)

    def _refill(self, now_s: float) -> None:
        earned = (now_s - self._updated_at_s) * self.rate_per_s
        self._available = min(self._burst(), self._available + earned)
        self._updated_at_s = now_s

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long a request has to wait.

        Args:
            ahead: number of requests that are sent before it.
            now_s: the present time.
        """
        if not self.is_limited:
            return 0.0
        self._refill(now_s)
        return max(0.0, (ahead + 1 - self._available) / self.rate_per_s)

    def try_use(self, now_s: float) -> bool:
        """Use a share for one request; return False if none is available yet."""
        if not self.is_limited:
            return True
        self._refill(now_s)
        # A wait that has just ended may fall short of a whole share by rounding.
        if self._available < 1.0 - 1e-6:
            return False
        self._available -= 1.0
        return True


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
