"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog

__all__ = ["LOG_LEVELS", "configure_logs", "get_logger"]

LOG_LEVELS = ("debug", "info", "warning", "error")


def configure_logs(level: str, node_id: str) -> None:
    """Send every event of this process to standard error.

    Args:
        level: one of ``LOG_LEVELS``.
        node_id: bound to every line.
    """
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node_id)


def get_logger():
    """Return the process-wide logger."""
    return structlog.get_logger()


def _render_exception(exc_info) -> str:
    """Return the type, message and innermost frame of an exception as one line."""
    _, error, traceback = exc_info
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return f"{type(error).__name__}: {error}"
    code = traceback.tb_frame.f_code
    return (
        f"{type(error).__name__}: {error} at {code.co_qualname}:{traceback.tb_lineno}"
    )
