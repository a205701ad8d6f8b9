"""The clock of deadlines, leases and ages.

Everything that runs out is measured by one clock. Unlike ``time.monotonic``, it counts
the time during which the VM was suspended: a node that wakes after seconds must not act
on a lease, a report or a deadline that has passed meanwhile.
"""

import time

__all__ = ["steady_s"]


def steady_s() -> float:
    """Return seconds from an arbitrary start, which never decrease."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
