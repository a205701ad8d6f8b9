"""Histogram of request latencies."""

from aioprometheus import Histogram, Registry

__all__ = ["make_latency_histogram"]

# The bounds double; the lowest are in the range of the latency that a node adds, the
# highest in that of the longest deadlines.
BUCKET_BOUNDS_S = [0.001 * 2**step for step in range(13)]


def make_latency_histogram() -> Histogram:
    """Return an empty histogram of seconds with one label, ``outcome``."""
    return Histogram(
        "guavagap_request_seconds",
        "Time to answer a request.",
        # The default registry takes each name once in a process.
        registry=Registry(),
        buckets=BUCKET_BOUNDS_S,
    )
