"""Retry budgets: how many requests a node may send to a second backend server.

The operator limits the retries of a service over all nodes: to a share of its requests
and a fixed number in a window of time. A node earns the share by its own requests, so
the sum over all nodes is exact without a message; the fixed number is divided.

Load patterns:

- All backend servers of a service reject half of what arrives, with their health checks
  good. A budget that is earned by successes shrinks just then. Each request that was
  rejected without having been run costs one more arrival and nothing else.
- All nodes start at once, and know few others at first. Each would have a large part of
  the fixed number, so it is reduced when a node learns of others.
- The backend servers of a service fail requests because the services that they call are
  short of capacity. A request that runs again makes its calls again, which count as
  retries there, so only a small part of the budget may be spent on that.
"""

from guavagap.retries import RetryBudget

__all__ = ["ServiceRetryBudget"]

# The rest is left for calls made by requests that run again, and for changes of the
# number of nodes.
USABLE_SHARE = 0.8
# Part of the earned budget that requests may spend which may have been run before.
RERUN_SHARE = 0.3
# The fixed part is for bursts: a backend server that fails all requests is ejected only
# after several in succession, and one that ends loses all that it was running.
RERUN_SHARE_OF_SLACK = 0.5
NOT_RUN_SHARE_OF_SLACK = 0.1
MIN_TOKENS = 1.0


class _TokenBucket:
    def __init__(self, earned: float, start: float):
        self.tokens = start
        self._earned = earned
        self._limit = max(MIN_TOKENS, start)

    def reduce(self, start: float) -> None:
        """Reduce the tokens to those that the bucket should have started with."""
        self._limit = max(MIN_TOKENS, start)
        self.tokens = min(self.tokens, start)

    def earn(self) -> None:
        self.tokens = min(self._limit, self.tokens + self._earned)


class ServiceRetryBudget(RetryBudget):
    """One node's part of the retry budget of a service.

    Args:
        ratio: retries that are allowed for each request.
        slack: retries that are allowed beyond that in a window.
        node_count: number of nodes that share the slack.
    """

    def __init__(self, ratio: float, slack: float, node_count: int = 1):
        earned = USABLE_SHARE * ratio
        self._slack = slack
        self._node_count = max(1, node_count)
        part = slack / self._node_count
        self._rerun = _TokenBucket(RERUN_SHARE * earned, RERUN_SHARE_OF_SLACK * part)
        self._not_run = _TokenBucket(
            (1 - RERUN_SHARE) * earned, NOT_RUN_SHARE_OF_SLACK * part
        )

    def set_node_count(self, node_count: int) -> None:
        """Reduce this node's part of the slack if it has learned of more nodes.

        Nodes that are no longer known may be on the other side of a partition, where
        they spend their part, so it does not grow again.
        """
        if node_count <= self._node_count:
            return
        self._node_count = node_count
        part = self._slack / node_count
        self._rerun.reduce(RERUN_SHARE_OF_SLACK * part)
        self._not_run.reduce(NOT_RUN_SHARE_OF_SLACK * part)

    def record_request(self) -> None:
        self._rerun.earn()
        self._not_run.earn()

    def record_success(self) -> None:
        pass

    def has_token(self, may_have_run: bool) -> bool:
        return self._bucket(may_have_run).tokens >= 1.0

    def try_spend(self, may_have_run: bool) -> bool:
        bucket = self._bucket(may_have_run)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _bucket(self, may_have_run: bool) -> _TokenBucket:
        if not may_have_run and self._not_run.tokens >= 1.0:
            return self._not_run
        return self._rerun
