"""Full-jitter exponential back-off."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Delays between attempts, drawn from a growing range.

    Args:
        first_s: upper end of the first range.
        limit_s: upper end of every later range at most.
    """

    def __init__(self, first_s: float, limit_s: float):
        self._first_s = first_s
        self._limit_s = limit_s
        self._attempts = 0

    def next_s(self) -> float:
        """Return the next delay."""
        upper_s = min(self._limit_s, self._first_s * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 30)
        return random.uniform(0, upper_s)

    def reset(self) -> None:
        """Start over after a success."""
        self._attempts = 0
