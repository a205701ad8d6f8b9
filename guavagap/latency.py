"""The histogram of request latencies."""

from aioprometheus import Histogram

__all__ = ["make_latency_histogram"]

# From the time that a node adds to the longest deadlines, doubling.
BUCKET_BOUNDS_S = [0.001 * 2**step for step in range(13)]


def make_latency_histogram() -> Histogram:
    """Return an empty histogram of seconds, with one label, ``outcome``."""
    return Histogram(
        "guavagap_request_seconds", "Time to answer a request.", buckets=BUCKET_BOUNDS_S
    )
