"""Retries: one table that decides, and a budget that bounds them.

The budget is a share of recent successes, so retries cannot multiply the load
of a service that fails. Only one layer of a chain of calls retries: a request
that is itself part of a retry carries ``RETRY_HEADER``, and layers below leave
it at one attempt.
"""

from enum import Enum
from typing import NamedTuple

from guavagap.errors import ErrorKind, answer_for

__all__ = [
    "Failure",
    "MAX_ATTEMPTS",
    "RETRY_HEADER",
    "RetryBudget",
    "RetryRule",
    "may_retry",
    "rule_for",
]

MAX_ATTEMPTS = 3
MIN_TIME_LEFT_S = 0.005
RETRY_HEADER = b"guavagap-retry"
BUDGET_START = 10.0
BUDGET_LIMIT = 100.0


class RetryRule(Enum):
    """When a failure of some kind may be followed by another attempt."""

    NEVER = "never"
    IF_NOT_RUN = "if not run"
    IF_IDEMPOTENT = "if idempotent"
    ONCE_IF_IDEMPOTENT = "once if idempotent"


class Failure(NamedTuple):
    """A failed attempt and what is left for another.

    Attributes:
        kind: why it failed.
        is_written: whether any byte may have reached a backend server.
        is_idempotent: whether the route is declared idempotent.
        is_body_kept: whether the whole body can be sent again.
        is_answer_started: whether the caller has seen any of an answer.
        is_marked: whether a layer above is already retrying.
        attempts: attempts made so far.
        time_left_s: until the deadline.
    """

    kind: ErrorKind
    is_written: bool
    is_idempotent: bool
    is_body_kept: bool
    is_answer_started: bool
    is_marked: bool
    attempts: int
    time_left_s: float


_RULES = {
    ErrorKind.NO_BACKEND_SERVER: RetryRule.NEVER,
    ErrorKind.OVERLOADED: RetryRule.IF_NOT_RUN,
    ErrorKind.DRAINING: RetryRule.IF_NOT_RUN,
    ErrorKind.REFUSED_BY_BACKEND_SERVER: RetryRule.IF_NOT_RUN,
    ErrorKind.CONNECT_FAILED: RetryRule.IF_NOT_RUN,
    ErrorKind.LINK_UNREACHABLE: RetryRule.IF_NOT_RUN,
    ErrorKind.LINK_LOST: RetryRule.IF_IDEMPOTENT,
    ErrorKind.BACKEND_SERVER_LOST: RetryRule.ONCE_IF_IDEMPOTENT,
    ErrorKind.BACKEND_SERVER_PROTOCOL: RetryRule.ONCE_IF_IDEMPOTENT,
}


def rule_for(kind: ErrorKind) -> RetryRule:
    """Return the rule of an error kind; kinds not in the table are final."""
    return _RULES.get(kind, RetryRule.NEVER)


def may_retry(failure: Failure) -> bool:
    """Return whether another attempt is allowed, leaving the budget aside."""
    if failure.is_answer_started or failure.is_marked or not failure.is_body_kept:
        return False
    if failure.attempts >= MAX_ATTEMPTS or failure.time_left_s < MIN_TIME_LEFT_S:
        return False
    rule = rule_for(failure.kind)
    if rule is RetryRule.IF_NOT_RUN:
        return answer_for(failure.kind).is_not_run
    if rule is RetryRule.IF_IDEMPOTENT:
        return failure.is_idempotent or not failure.is_written
    if rule is RetryRule.ONCE_IF_IDEMPOTENT:
        return failure.is_idempotent and failure.attempts == 1
    return False


class RetryBudget:
    """Tokens earned by successes and spent by retries.

    Args:
        share: tokens earned by each success.
    """

    def __init__(self, share: float):
        self.share = share
        self._tokens = BUDGET_START

    def note_success(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + self.share)

    def try_spend(self) -> bool:
        """Take one retry out of the budget if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
