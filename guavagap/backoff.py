"""Exponential back-off with full jitter."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Random delays between attempts whose upper bound doubles each time.

    Args:
        first_s: upper bound of the first delay.
        limit_s: maximum upper bound of any delay.
    """

    def __init__(self, first_s: float, limit_s: float):
        self._first_s = first_s
        self._limit_s = limit_s
        self._attempts = 0

    def next_s(self) -> float:
        """Return the next delay."""
        upper_s = min(self._limit_s, self._first_s * 2**self._attempts)
        # The cap bounds the exponent; the delay is bounded by the limit.
        self._attempts = min(self._attempts + 1, 30)
        return random.uniform(0, upper_s)

    def reset(self) -> None:
        """Restart from the first delay after a success."""
        self._attempts = 0
