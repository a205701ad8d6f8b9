"""Tokens that an ingress node holds for the requests of a customer.

A node asks the quota holder for tokens when it has none: for the requests that wait,
and for those of the next ``AHEAD_S`` if it gets many. While the holder has too few, the
node refuses requests itself, and asks again after ``ASK_INTERVAL_S`` at the latest, so
that a customer's excess costs few messages.

Load patterns:

- Few requests of a customer at each node: one call for each request.
- Many requests of a customer at few nodes: one call for a tenth of a second.
- Demand far over the quota: ten calls a second and node.
- Requests that are refused after they were charged: their tokens are used again.
"""

from collections import deque
from typing import NamedTuple

from guavagap.scheduling.quotas import Grant, RateEstimate

__all__ = ["ASK_INTERVAL_S", "AHEAD_S", "Token", "TokenPool"]

AHEAD_S = 0.1
ASK_INTERVAL_S = 0.1
ARRIVAL_ESTIMATE_S = 1.0
# Callers are told whole milliseconds.
MIN_RETRY_AFTER_S = 0.001


class Token(NamedTuple):
    """The right to send one request, until a time."""

    expires_at_s: float


class TokenPool:
    """Tokens of one customer at one ingress node.

    Attributes:
        waiting: number of requests that wait for a reply of the holder.
        refused_at_s: time of the latest reply with fewer tokens than were asked for.
    """

    def __init__(self):
        self.waiting = 0
        self.refused_at_s = 0.0
        self._tokens: deque[Token] = deque()
        self._arrivals = RateEstimate(ARRIVAL_ESTIMATE_S)
        self._ask_from_s = 0.0
        self._refilled_at_s = 0.0
        self._refill_s = 0.0
        self._refused_count = 0

    def record_arrival(self, now_s: float) -> None:
        """Count a request that needs a token."""
        self._arrivals.add(1, now_s)

    def take(self, now_s: float) -> Token | None:
        """Return a token that has not expired, or None if there is none."""
        while self._tokens:
            token = self._tokens.popleft()
            if token.expires_at_s > now_s:
                return token
        return None

    def give_back(self, token: Token, now_s: float) -> None:
        """Return the token of a request that was not run."""
        if token.expires_at_s > now_s:
            self._tokens.appendleft(token)

    def retry_after_s(self, now_s: float) -> float | None:
        """Return the time until the refill; None if the holder may be asked."""
        if now_s >= self._ask_from_s:
            return None
        return max(self._refilled_at_s, self._ask_from_s) - now_s

    def refuse(self, now_s: float) -> float | None:
        """Count a refusal; return when its caller may return.

        Requests that were refused since the latest reply return one after the other, as
        tokens are refilled. None if the quota is not known to be used up.
        """
        refill_s = self.retry_after_s(now_s)
        if refill_s is None:
            return None
        ahead = self._refused_count
        self._refused_count += 1
        return max(MIN_RETRY_AFTER_S, refill_s + ahead * self._refill_s)

    def tokens_to_ask(self, now_s: float) -> int:
        """Return the number of tokens to ask the holder for."""
        ahead = round(self._arrivals.rate_per_s(now_s) * AHEAD_S)
        return max(1, self.waiting, ahead)

    def add(self, grant: Grant, asked_at_s: float, now_s: float) -> None:
        """Add granted tokens.

        Args:
            grant: the reply of the holder.
            asked_at_s: when it was asked, from which the tokens' lifetime is counted.
            now_s: the present time.
        """
        token = Token(asked_at_s + grant.ttl_s)
        if token.expires_at_s > now_s:
            self._tokens.extend([token] * grant.tokens)
        if grant.retry_after_s > 0:
            self.refused_at_s = now_s
            self._refill_s = grant.retry_after_s
            self._refused_count = 0
            self._ask_from_s = now_s + min(grant.retry_after_s, ASK_INTERVAL_S)
            self._refilled_at_s = now_s + grant.retry_after_s

    def clear(self) -> None:
        """Drop all tokens, and forget that the quota was used up."""
        self._tokens.clear()
        self._ask_from_s = self._refilled_at_s = 0.0
