"""Headers and status codes used by callers and backend servers of the platform."""

import math

from guavagap.dialect import Dialect
from guavagap.errors import ErrorKind, error_spec
from guavagap.http1 import header_value
from guavagap.scheduling.rate_limits import NO_LIMIT
from guavagap.scheduling.speeds import MAX_PERCENT
from guavagap.server_statements import (
    NO_STATEMENT,
    HealthStatement,
    ServerStatement,
)

__all__ = ["PLATFORM_DIALECT"]

NOT_RUN_HEADER = b"x-not-run"
LOAD_HEADER = b"x-server-load"
LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
INSTANCE_HEADER = b"x-instance-id"
COLD_HEADER = b"x-cold-ms"
# Four numbers, each of which fits into the fields of links by far.
MAX_LOAD_LENGTH = 40
LOAD_FIGURES = 3
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
BAD_GATEWAY_STATUS = 502
# Callers take these statuses to mean that the request was not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def _read_load(headers) -> int | None:
    """Return running plus waiting requests: the first two figures.

    Returns None when the header is missing or malformed.
    """
    figures = _read_load_figures(headers)
    return None if figures is None else figures[0] + figures[1]


def _read_load_figures(headers) -> list[int] | None:
    """Return running, waiting and slots, and in some deployments the run time.

    The run time is that of the VM at the moment, in percent of the usual.
    """
    value = header_value(headers, LOAD_HEADER)
    if value is None or len(value) > MAX_LOAD_LENGTH:
        return None
    parts = value.split(b",")
    if len(parts) not in (LOAD_FIGURES, LOAD_FIGURES + 1):
        return None
    if not all(part.strip().isdigit() for part in parts):
        return None
    return [int(part) for part in parts]


def _read_run_time_percent(headers) -> int:
    figures = _read_load_figures(headers)
    if figures is None or len(figures) == LOAD_FIGURES:
        return 0
    return min(figures[LOAD_FIGURES], MAX_PERCENT)


def _read_statement(status: int, headers) -> ServerStatement:
    """Return what a response says about the backend server that was asked.

    A misdirected response comes from another one.
    """
    if status == MISDIRECTED_STATUS:
        return NO_STATEMENT
    is_leaving = header_value(headers, LEAVING_HEADER) == b"1"
    return ServerStatement(
        _read_limit(headers), is_leaving, _read_run_time_percent(headers)
    )


def _read_limit(headers) -> float | None:
    """Return the named requests a second, None for a value that is malformed."""
    value = header_value(headers, LIMIT_HEADER)
    return NO_LIMIT if value is None else _read_number(value)


def _read_number(value: bytes) -> float | None:
    """Return a finite number that is not negative, None for other values."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _read_health(headers) -> HealthStatement:
    """Return what the response of a health path says about a cold start."""
    server_id = header_value(headers, INSTANCE_HEADER) or b""
    cold_ms = _read_number(header_value(headers, COLD_HEADER) or b"")
    cold_s = None if cold_ms is None else cold_ms / 1000
    return HealthStatement(server_id.decode("latin-1"), cold_s)


def _is_refusal(status: int, headers) -> bool:
    if status == MISDIRECTED_STATUS:
        return True
    return any(name == NOT_RUN_HEADER for name, _ in headers)


def _status_of(kind: ErrorKind) -> int:
    """Return a status that implies "not run" exactly where that is known."""
    spec = error_spec(kind)
    if spec.is_not_run:
        return UNAVAILABLE_STATUS if spec.status >= 500 else spec.status
    if spec.status in _NOT_RUN_STATUSES:
        return BAD_GATEWAY_STATUS
    return spec.status


def _error_headers(is_not_run: bool, retry_after_s: float | None):
    if not is_not_run or retry_after_s is None:
        return []
    return [(b"retry-after", b"%.3f" % retry_after_s)]


PLATFORM_DIALECT = Dialect(
    timeout=b"x-deadline-ms",
    request_id=b"x-request-id",
    is_id_echoed=True,
    retry_mark=b"",
    caller=b"x-caller",
    customer=b"x-tenant",
    expected_server=b"x-expect-instance",
    via=(),
    read_load=_read_load,
    read_statement=_read_statement,
    is_refusal=_is_refusal,
    status_of=_status_of,
    error_headers=_error_headers,
    read_health=_read_health,
)
