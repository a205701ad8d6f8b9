"""Refusals: when the caller of a refused request should return.

Load patterns:

- A burst that is over in tenths of a second. Callers that return after a fixed time
  lose their target latency although a slot was free before.
- Load above capacity for seconds. Callers that return when the whole backlog has
  drained would be served late and take slots from requests that can still meet their
  target. A caller returns once the wait for a slot has shrunk to what its request
  accepts.
- Backend servers that refuse part of their requests although they have free slots.
  There is no backlog to wait for, and the next attempt is as likely to be accepted.
- Many callers refused in the same moment. Their delays are spread, so that they do not
  return together.
"""

__all__ = ["MIN_DELAY_S", "choose_return_delay_s", "expected_wait_s", "excess_wait_s"]

# A return takes at least a round trip.
MIN_DELAY_S = 0.02
DELAY_SPREAD = 2.0


def expected_wait_s(load: int, slots: int, run_s: float) -> float:
    """Return the expected wait of a new request for a slot.

    Args:
        load: requests that run or wait at the backend server.
        slots: maximum number of concurrent requests, at least 1.
        run_s: mean run time.
    """
    return max(0, load + 1 - slots) * run_s / slots


def excess_wait_s(wait_s: float, max_wait_s: float) -> float:
    """Return how long until an expected wait has shrunk to the accepted one."""
    return max(0.0, wait_s - max_wait_s)


def choose_return_delay_s(excess_s: float, random) -> float:
    """Return the delay after which the caller of a refused request should return.

    Args:
        excess_s: the lowest excess of the expected wait among the backend servers that
            refused the request.
        random: source of randomness, as :mod:`random`.
    """
    return max(MIN_DELAY_S, excess_s) * random.uniform(1.0, DELAY_SPREAD)
