"""Structured logs on standard output: one line of key=value pairs for each event.

The rate is limited, and writing never blocks the process, even when the reader has
stopped reading. Lines that cannot be written are dropped, counted and reported later.
"""

import logging
import os
import select
import sys

import structlog

from guavagap.clock import steady_s

__all__ = [
    "LOG_LEVELS",
    "RateLimitedWriter",
    "configure_command_logs",
    "configure_logs",
    "get_logger",
]

LOG_LEVELS = ("debug", "info", "warning", "error")
# A busy node logs about ten lines per second on failed requests. Ten times that rate
# leaves room for an incident and costs a few percent of a core at most.
LINES_PER_S = 100.0
BURST_LINES = 400.0
# A pipe that is ready accepts a write of this size without blocking.
ATOMIC_WRITE_BYTES = select.PIPE_BUF


class RateLimitedWriter:
    """Writes lines to a file descriptor at a limited rate and without blocking.

    Args:
        fd: the file descriptor.
        lines_per_s: sustained limit of lines per second.
        burst_lines: maximum number of lines in a burst.
        clock: steady clock in seconds.

    Attributes:
        dropped_count: number of lines dropped since the latest report.
    """

    def __init__(
        self,
        fd: int,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
        clock=steady_s,
    ):
        self.dropped_count = 0
        self._fd = fd
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._clock = clock
        self._tokens = burst_lines
        self._refilled_at_s = clock()
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, or drop and count it."""
        if not self._acquire_token() or not self._is_writable():
            self.dropped_count += 1
            return
        if self.dropped_count:
            dropped_count, self.dropped_count = self.dropped_count, 0
            self._write(
                f'level=warning event="log lines dropped" count={dropped_count}'
            )
            if not self._is_writable():
                self.dropped_count += 1
                return
        self._write(line)

    def _acquire_token(self) -> bool:
        now_s = self._clock()
        refill = (now_s - self._refilled_at_s) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _is_writable(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write(self, line: str) -> None:
        data = line.encode("utf-8", "backslashreplace")[: ATOMIC_WRITE_BYTES - 1]
        try:
            os.write(self._fd, data + b"\n")
        except OSError:
            # The reader has closed the pipe. The next report counts this line.
            self.dropped_count += 1

    msg = write
    debug = info = warning = error = critical = log = write


def configure_logs(level: str, node_id: str) -> None:
    """Configure logging of this process to standard output.

    Args:
        level: one of ``LOG_LEVELS``.
        node_id: added to every line.
    """
    writer = RateLimitedWriter(sys.stdout.fileno())
    _configure(level, lambda *_: writer)
    structlog.contextvars.bind_contextvars(node=node_id)
    # curio warns about each timeout that fires late, which is harmless here.
    logging.getLogger("curio").setLevel(logging.ERROR)


def configure_command_logs() -> None:
    """Configure logging of a command: warnings only, to standard error.

    Standard output is left to the output of the command.
    """
    _configure("warning", structlog.PrintLoggerFactory(sys.stderr))


def _configure(level: str, logger_factory) -> None:
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.ExceptionRenderer(_render_exception),
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"],
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=logger_factory,
        cache_logger_on_first_use=True,
    )


def get_logger():
    """Return the process-wide logger."""
    return structlog.get_logger()


def _render_exception(exc_info) -> str:
    """Return the type, message and innermost frame of an exception on one line."""
    _, error, traceback = exc_info
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return f"{type(error).__name__}: {error}"
    code = traceback.tb_frame.f_code
    return (
        f"{type(error).__name__}: {error} at {code.co_qualname}:{traceback.tb_lineno}"
    )
