"""Waits: how long a request may wait for a slot at one backend server.

Load patterns:

- Random bunching: one backend server is full while another has a free slot. The first
  waits take a share of the target latency, and a refusal there is answered elsewhere.
- Load above capacity, so that all backend servers are full. A wait ends when a run that
  takes longer than the mean would no longer fit into the target latency. Requests that
  wait longer are served late in slots that others could have used in time: the queue is
  then as long as the longest wait, for all of them.
"""

from typing import NamedTuple

__all__ = ["WaitState", "max_wait_s"]

# Number of backend servers that are tried with a short wait before the final wait.
MAX_SHORT_WAITS = 2
SHORT_WAIT_SHARE_OF_TARGET = 0.4
FINAL_WAIT_MIN_SHARE_OF_TARGET = 0.2
# Time is left for the run even if there is no target latency.
FINAL_WAIT_MAX_SHARE_OF_TIME_LEFT = 0.5
# A run is assumed to take up to this multiple of the backend server's mean run time.
RUN_TIME_MARGIN = 1.75


class WaitState(NamedTuple):
    """What has happened to a request so far.

    Attributes:
        waited_s: time since the request was received.
        left_s: time until its deadline.
        refusals: number of backend servers that had no slot for it in time.
        candidates: number of backend servers that may run it.
    """

    waited_s: float
    left_s: float
    refusals: int
    candidates: int


def max_wait_s(target_s: float, slowness: float, state: WaitState) -> float:
    """Return the limit of the wait at the next backend server, 0 or less for none.

    Args:
        target_s: the target latency; 0 for none.
        slowness: the backend server's mean run time as a share of the target.
        state: what has happened to the request so far.
    """
    left_for_wait_s = FINAL_WAIT_MAX_SHARE_OF_TIME_LEFT * state.left_s
    spare_s = left_for_wait_s
    if target_s:
        spare_s = target_s * (1 - RUN_TIME_MARGIN * slowness) - state.waited_s
        spare_s = max(spare_s, FINAL_WAIT_MIN_SHARE_OF_TARGET * target_s)
    short_waits = min(MAX_SHORT_WAITS, max(1, state.candidates))
    if not state.refusals or state.refusals < short_waits:
        return min(spare_s, SHORT_WAIT_SHARE_OF_TARGET * target_s - state.waited_s)
    return min(spare_s, left_for_wait_s)
