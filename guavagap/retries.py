"""Retries: one table that decides, and a budget that bounds them.

The budget is a share of recent successes, so retries cannot multiply the load
of a service that fails. Only attempts that reached a backend server cost
budget. Only one layer of a chain of calls retries: a request that is itself part
of a retry carries a mark, and layers below leave it at one attempt.
"""

from enum import Enum
from typing import NamedTuple

from guavagap.errors import ErrorKind, error_spec

__all__ = [
    "FailedAttempt",
    "MAX_PLACEMENTS",
    "RetryBudget",
    "RetryRule",
    "may_have_reached_server",
    "may_retry",
    "rule_for",
]

MAX_PLACEMENTS = 8
MIN_TIME_LEFT_S = 0.005
INITIAL_BUDGET_TOKENS = 10.0
MAX_BUDGET_TOKENS = 100.0


class RetryRule(Enum):
    """When a failure of some kind may be followed by another attempt."""

    NEVER = "never"
    IF_NOT_RUN = "if not run"
    IF_IDEMPOTENT = "if idempotent"
    ONCE_IF_IDEMPOTENT = "once if idempotent"


class FailedAttempt(NamedTuple):
    """A failed attempt and what is left for another.

    Attributes:
        kind: why it failed.
        is_written: whether any byte may have reached a backend server.
        is_idempotent: whether the route is declared idempotent.
        is_body_kept: whether the whole body can be sent again.
        is_answer_started: whether the caller has seen any of an answer.
        is_marked: whether a layer above is already retrying.
        attempts: attempts so far that may have reached a backend server.
        max_attempts: how many of those are allowed.
        placements: attempts so far, those that reached none included.
        time_left_s: until the deadline.
    """

    kind: ErrorKind
    is_written: bool
    is_idempotent: bool
    is_body_replayable: bool
    is_response_started: bool
    is_marked: bool
    attempts: int
    max_attempts: int
    placements: int
    time_left_s: float


_RULES = {
    ErrorKind.NO_BACKEND_SERVER: RetryRule.NEVER,
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
        ErrorKind.OVERLOADED,
        ErrorKind.SLOTS_TAKEN,
        ErrorKind.DRAINING,
        ErrorKind.CONNECT_FAILED,
        ErrorKind.LINK_UNREACHABLE,
        ErrorKind.DEADLINE_BEFORE_RUN,
    )
)


def may_have_reached_server(kind: ErrorKind) -> bool:
    """Return whether a failed attempt may have reached a backend server."""
    return kind not in _NEVER_SENT_KINDS


def rule_for(kind: ErrorKind) -> RetryRule:
    """Return the rule of an error kind; kinds not in the table are final."""
    return _RULES.get(kind, RetryRule.NEVER)


def may_retry(failure: FailedAttempt) -> bool:
    """Return whether another attempt is allowed, leaving the budget aside."""
    if (
        failure.is_response_started
        or failure.is_marked
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


class RetryBudget:
    """Tokens earned by successes and spent by retries.

    Args:
        share: tokens earned by each success.
        start: tokens at first.
        limit: tokens that can be held.
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

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._limit, self._tokens + self.share)

    def has_token(self) -> bool:
        """Return whether a retry is left."""
        return self._tokens >= 1.0

    def try_spend(self) -> bool:
        """Take one retry out of the budget if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
