"""Detection that this process was suspended, with its VM or alone.

A process that resumes has missed what happened meanwhile, and finds old messages in its
sockets. It notices by the clock, which counts suspended time.
"""

from guavagap.clock import steady_s

__all__ = ["SuspensionDetector"]

# The node is updated five times a second; stalls of a busy VM are shorter than this.
SUSPENSION_S = 2.0


class SuspensionDetector:
    """Detects that the regular updates of a process were interrupted.

    Args:
        clock: returns seconds of a steady clock that counts suspended time.
    """

    def __init__(self, clock=steady_s):
        self._clock = clock
        self._updated_at_s = clock()

    def detect(self) -> bool:
        """Return whether the process was suspended since the last update."""
        return self._clock() - self._updated_at_s > SUSPENSION_S

    def update(self) -> None:
        """Record that the process runs."""
        self._updated_at_s = self._clock()
