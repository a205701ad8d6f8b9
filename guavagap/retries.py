"""Retry rules by error kind, and retry budgets.

Where no limit of the operator applies, the budget is a share of recent successes, so
retries cannot multiply the load of a failing service. Only attempts that may have
reached a backend server are charged. Only one layer of a call chain retries: a retried
request carries a mark, and lower layers make a single attempt for it.
"""

from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple

from guavagap.errors import ErrorKind, error_spec

__all__ = [
    "FailedAttempt",
    "MAX_PLACEMENTS",
    "RetryBudget",
    "RetryRule",
    "SuccessRetryBudget",
    "may_have_reached_server",
    "may_retry",
    "rule_for",
]

# Limit of all attempts of a request, including those that reached no backend server.
MAX_PLACEMENTS = 8
MIN_TIME_LEFT_S = 0.005
INITIAL_BUDGET_TOKENS = 10.0
MAX_BUDGET_TOKENS = 100.0


class RetryRule(Enum):
    """Condition under which an attempt may be retried."""

    NEVER = "never"
    IF_NOT_RUN = "if not run"
    IF_IDEMPOTENT = "if idempotent"
    ONCE_IF_IDEMPOTENT = "once if idempotent"


class FailedAttempt(NamedTuple):
    """A failed attempt and the state that decides on a retry.

    Attributes:
        kind: kind of the error.
        is_written: whether any byte may have reached a backend server.
        is_idempotent: whether the route is declared idempotent.
        is_body_replayable: whether the whole body can be sent again.
        is_response_started: whether any part of a response was sent to the caller.
        has_retry_mark: whether an upper layer is already retrying.
        attempts: attempts so far that may have reached a backend server.
        max_attempts: maximum number of such attempts.
        placements: all attempts so far, including those that reached no server.
        time_left_s: time until the deadline.
    """

    kind: ErrorKind
    is_written: bool
    is_idempotent: bool
    is_body_replayable: bool
    is_response_started: bool
    has_retry_mark: bool
    attempts: int
    max_attempts: int
    placements: int
    time_left_s: float


_RULES = {
    ErrorKind.NO_BACKEND_SERVER: RetryRule.NEVER,
    ErrorKind.EVACUATED: RetryRule.IF_NOT_RUN,
    ErrorKind.OVERLOADED: RetryRule.IF_NOT_RUN,
    ErrorKind.SLOTS_TAKEN: RetryRule.IF_NOT_RUN,
    ErrorKind.DRAINING: RetryRule.IF_NOT_RUN,
    ErrorKind.REFUSED_BY_BACKEND_SERVER: RetryRule.IF_NOT_RUN,
    ErrorKind.CONNECT_FAILED: RetryRule.IF_NOT_RUN,
    ErrorKind.LINK_UNREACHABLE: RetryRule.IF_NOT_RUN,
    ErrorKind.LINK_LOST: RetryRule.IF_IDEMPOTENT,
    ErrorKind.BACKEND_SERVER_LOST: RetryRule.ONCE_IF_IDEMPOTENT,
    ErrorKind.BACKEND_SERVER_CRASHED: RetryRule.ONCE_IF_IDEMPOTENT,
    ErrorKind.BACKEND_SERVER_PROTOCOL: RetryRule.ONCE_IF_IDEMPOTENT,
    ErrorKind.BACKEND_SERVER_FAILED: RetryRule.ONCE_IF_IDEMPOTENT,
    ErrorKind.BODY_CUT_SHORT: RetryRule.ONCE_IF_IDEMPOTENT,
}
_NEVER_SENT_KINDS = frozenset(
    (
        ErrorKind.NO_BACKEND_SERVER,
        ErrorKind.EVACUATED,
        ErrorKind.OVERLOADED,
        ErrorKind.SLOTS_TAKEN,
        ErrorKind.DRAINING,
        ErrorKind.CONNECT_FAILED,
        ErrorKind.LINK_UNREACHABLE,
        ErrorKind.DEADLINE_BEFORE_RUN,
    )
)


def may_have_reached_server(kind: ErrorKind) -> bool:
    """Return whether a request that failed may have reached a backend server."""
    return kind not in _NEVER_SENT_KINDS


def rule_for(kind: ErrorKind) -> RetryRule:
    """Return the rule of an error kind; kinds without one are never retried."""
    return _RULES.get(kind, RetryRule.NEVER)


def may_retry(failure: FailedAttempt) -> bool:
    """Return whether the rules allow another attempt, regardless of the budget."""
    if (
        failure.is_response_started
        or failure.has_retry_mark
        or not failure.is_body_replayable
    ):
        return False
    if failure.attempts >= failure.max_attempts:
        return False
    if failure.placements >= MAX_PLACEMENTS:
        return False
    if failure.time_left_s < MIN_TIME_LEFT_S:
        return False
    rule = rule_for(failure.kind)
    if rule is RetryRule.IF_NOT_RUN:
        return error_spec(failure.kind).is_not_run
    if rule is RetryRule.IF_IDEMPOTENT:
        return failure.is_idempotent or not failure.is_written
    if rule is RetryRule.ONCE_IF_IDEMPOTENT:
        return failure.is_idempotent and failure.attempts == 1
    return False


class RetryBudget(ABC):
    """Limit of the retries of a service or route at one node."""

    @abstractmethod
    def record_request(self) -> None:
        """Record a request of a caller."""

    @abstractmethod
    def record_success(self) -> None:
        """Record a request that has succeeded."""

    @abstractmethod
    def has_token(self, may_have_run: bool) -> bool:
        """Return whether there is a token for a retry.

        Args:
            may_have_run: whether the request may have been run before.
        """

    @abstractmethod
    def try_spend(self, may_have_run: bool) -> bool:
        """Spend one token; return False if there is none."""

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share the limit, if the budget depends on it."""


class SuccessRetryBudget(RetryBudget):
    """Token bucket that is filled by successes and drained by retries.

    Args:
        share: tokens added by each success.
        start: initial number of tokens.
        limit: maximum number of tokens.
    """

    def __init__(
        self,
        share: float,
        start: float = INITIAL_BUDGET_TOKENS,
        limit: float = MAX_BUDGET_TOKENS,
    ):
        self.share = share
        self._tokens = start
        self._limit = limit

    def record_request(self) -> None:
        pass

    def record_success(self) -> None:
        self._tokens = min(self._limit, self._tokens + self.share)

    def has_token(self, may_have_run: bool) -> bool:
        return self._tokens >= 1.0

    def try_spend(self, may_have_run: bool) -> bool:
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
