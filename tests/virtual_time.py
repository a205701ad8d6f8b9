"""Runs coroutines on a clock that skips the time in which all tasks wait."""

import selectors
import time
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace
from unittest.mock import patch

import curio

__all__ = ["VirtualClock", "run_in_virtual_time"]

# Bytes that were sent on loopback are readable within this real time.
LOOPBACK_SETTLE_S = 0.002


class VirtualClock:
    """Seconds that pass only when they are skipped."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that moves the clock on instead of waiting for a timeout."""

    def __init__(self, clock: VirtualClock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is not None and timeout <= 0:
            return super().select(0)
        events = super().select(LOOPBACK_SETTLE_S)
        if events:
            return events
        if timeout is None:
            return super().select(None)
        self._clock.now_s += timeout
        return []


@contextmanager
def _patched_clocks(clock: VirtualClock, modules: tuple[str, ...]):
    """Replace the clocks of curio, of the package and of the modules named."""
    monotonic = SimpleNamespace(monotonic=clock)
    boot_time = SimpleNamespace(
        clock_gettime=lambda _: clock(), CLOCK_BOOTTIME=time.CLOCK_BOOTTIME
    )
    with ExitStack() as stack:
        stack.enter_context(patch("curio.kernel.time", monotonic))
        stack.enter_context(patch("guavagap.clock.time", boot_time))
        for module in modules:
            stack.enter_context(patch(f"{module}.time", monotonic))
        yield


def run_in_virtual_time(function, *args, modules: tuple[str, ...] = ()):
    """Run ``function(clock, *args)`` on a virtual clock and return its result.

    Args:
        function: the coroutine function.
        modules: modules besides ``curio`` and ``guavagap.clock`` that use
            ``time.monotonic``.
    """
    clock = VirtualClock()
    with _patched_clocks(clock, modules):
        return curio.run(function, clock, *args, selector=_SkippingSelector(clock))
