"""Error kinds and how each is reported.

Every failure that crosses a module boundary is a :class:`GuavagapError` with one
:class:`ErrorKind`. ``ERROR_SPECS`` maps each kind to the HTTP status sent to a caller,
to whether the request is known not to have been run, to the log level, and to the exit
code of the command line.
"""

from enum import Enum
from typing import NamedTuple

__all__ = [
    "ERROR_SPECS",
    "ErrorSpec",
    "EXIT_DONE",
    "EXIT_PLATFORM_UNREACHABLE",
    "EXIT_REFUSED",
    "EXIT_USAGE",
    "ErrorKind",
    "GuavagapError",
    "PeerRefusedError",
    "PeerTimeoutError",
    "error_spec",
]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_PLATFORM_UNREACHABLE = 3


class ErrorKind(Enum):
    """The closed list of error kinds; the values are used in logs and headers."""

    BAD_REQUEST = "bad_request"
    UNSUPPORTED = "unsupported"
    NO_ROUTE = "no_route"
    NOT_READY = "not_ready"
    NO_BACKEND_SERVER = "no_backend_server"
    EVACUATED = "evacuated"
    CREDENTIALS_REJECTED = "credentials_rejected"
    CREDENTIALS_UNVERIFIED = "credentials_unverified"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNVERIFIED = "quota_unverified"
    OVERLOADED = "overloaded"
    SLOTS_TAKEN = "slots_taken"
    DRAINING = "draining"
    REFUSED_BY_BACKEND_SERVER = "refused_by_backend_server"
    CONNECT_FAILED = "connect_failed"
    POISON_REQUEST = "poison_request"
    DEADLINE_BEFORE_RUN = "deadline_before_run"
    DEADLINE_AFTER_SEND = "deadline_after_send"
    BACKEND_SERVER_LOST = "backend_server_lost"
    BACKEND_SERVER_CRASHED = "backend_server_crashed"
    BACKEND_SERVER_PROTOCOL = "backend_server_protocol"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    BODY_CUT_SHORT = "body_cut_short"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    CALLER_TIMEOUT = "caller_timeout"
    CALLER_GONE = "caller_gone"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    KEY_REUSED = "key_reused"
    KEY_WITNESS_UNREACHABLE = "key_witness_unreachable"
    LINK_UNREACHABLE = "link_unreachable"
    LINK_LOST = "link_lost"
    AUTHENTICATION_FAILED = "authentication_failed"
    FRAME_INVALID = "frame_invalid"
    MESSAGE_INVALID = "message_invalid"
    CONFIGURATION_REJECTED = "configuration_rejected"
    DOCUMENT_INVALID = "document_invalid"
    CONFLICT = "conflict"
    ROLLED_BACK = "rolled_back"
    NOT_FOUND = "not_found"
    WAIT_TIMEOUT = "wait_timeout"
    PLATFORM_UNREACHABLE = "platform_unreachable"
    PLATFORM_BUSY = "platform_busy"
    HISTORY_LOST = "history_lost"
    NODE_UNREACHABLE = "node_unreachable"
    SETTING_INVALID = "setting_invalid"
    INTERNAL = "internal"


class ErrorSpec(NamedTuple):
    """How an error kind is reported to callers, in logs and by the command line.

    Attributes:
        status: HTTP status of the response.
        is_not_run: True when no byte of the request reached a backend server,
            or the backend server itself refused to run it.
        log_level: name of the ``structlog`` method.
        exit_code: exit code of the command line.
    """

    status: int
    is_not_run: bool
    log_level: str
    exit_code: int


_NOT_RUN = True
_MAY_HAVE_RUN = False

ERROR_SPECS: dict[ErrorKind, ErrorSpec] = {
    ErrorKind.BAD_REQUEST: ErrorSpec(400, _NOT_RUN, "info", EXIT_USAGE),
    ErrorKind.UNSUPPORTED: ErrorSpec(501, _NOT_RUN, "info", EXIT_USAGE),
    ErrorKind.NO_ROUTE: ErrorSpec(404, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.NOT_READY: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.NO_BACKEND_SERVER: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.EVACUATED: ErrorSpec(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.CREDENTIALS_REJECTED: ErrorSpec(401, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.CREDENTIALS_UNVERIFIED: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.QUOTA_EXCEEDED: ErrorSpec(429, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.QUOTA_UNVERIFIED: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.OVERLOADED: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.SLOTS_TAKEN: ErrorSpec(503, _NOT_RUN, "debug", EXIT_REFUSED),
    ErrorKind.DRAINING: ErrorSpec(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.REFUSED_BY_BACKEND_SERVER: ErrorSpec(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.CONNECT_FAILED: ErrorSpec(502, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.POISON_REQUEST: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.DEADLINE_BEFORE_RUN: ErrorSpec(504, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.DEADLINE_AFTER_SEND: ErrorSpec(504, _MAY_HAVE_RUN, "info", EXIT_REFUSED),
    ErrorKind.BACKEND_SERVER_LOST: ErrorSpec(
        502, _MAY_HAVE_RUN, "warning", EXIT_REFUSED
    ),
    ErrorKind.BACKEND_SERVER_CRASHED: ErrorSpec(
        502, _MAY_HAVE_RUN, "warning", EXIT_REFUSED
    ),
    ErrorKind.BACKEND_SERVER_PROTOCOL: ErrorSpec(
        502, _MAY_HAVE_RUN, "warning", EXIT_REFUSED
    ),
    ErrorKind.BACKEND_SERVER_FAILED: ErrorSpec(
        502, _MAY_HAVE_RUN, "info", EXIT_REFUSED
    ),
    ErrorKind.BODY_CUT_SHORT: ErrorSpec(502, _MAY_HAVE_RUN, "warning", EXIT_REFUSED),
    ErrorKind.BODY_TOO_LARGE: ErrorSpec(413, _MAY_HAVE_RUN, "info", EXIT_REFUSED),
    ErrorKind.HEADERS_TOO_LARGE: ErrorSpec(431, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.CALLER_TIMEOUT: ErrorSpec(408, _MAY_HAVE_RUN, "info", EXIT_REFUSED),
    ErrorKind.CALLER_GONE: ErrorSpec(499, _MAY_HAVE_RUN, "info", EXIT_REFUSED),
    ErrorKind.KEY_IN_PROGRESS: ErrorSpec(409, _MAY_HAVE_RUN, "info", EXIT_REFUSED),
    ErrorKind.KEY_OUTCOME_UNKNOWN: ErrorSpec(
        409, _MAY_HAVE_RUN, "warning", EXIT_REFUSED
    ),
    ErrorKind.KEY_REUSED: ErrorSpec(422, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.KEY_WITNESS_UNREACHABLE: ErrorSpec(
        503, _NOT_RUN, "warning", EXIT_REFUSED
    ),
    ErrorKind.LINK_UNREACHABLE: ErrorSpec(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.LINK_LOST: ErrorSpec(502, _MAY_HAVE_RUN, "warning", EXIT_REFUSED),
    ErrorKind.AUTHENTICATION_FAILED: ErrorSpec(403, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.FRAME_INVALID: ErrorSpec(502, _MAY_HAVE_RUN, "warning", EXIT_REFUSED),
    ErrorKind.MESSAGE_INVALID: ErrorSpec(500, _MAY_HAVE_RUN, "error", EXIT_REFUSED),
    ErrorKind.CONFIGURATION_REJECTED: ErrorSpec(500, _NOT_RUN, "error", EXIT_REFUSED),
    ErrorKind.DOCUMENT_INVALID: ErrorSpec(422, _NOT_RUN, "error", EXIT_REFUSED),
    ErrorKind.CONFLICT: ErrorSpec(409, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.ROLLED_BACK: ErrorSpec(409, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.NOT_FOUND: ErrorSpec(404, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.WAIT_TIMEOUT: ErrorSpec(504, _MAY_HAVE_RUN, "info", EXIT_REFUSED),
    ErrorKind.PLATFORM_UNREACHABLE: ErrorSpec(
        503, _MAY_HAVE_RUN, "warning", EXIT_PLATFORM_UNREACHABLE
    ),
    ErrorKind.PLATFORM_BUSY: ErrorSpec(
        503, _NOT_RUN, "info", EXIT_PLATFORM_UNREACHABLE
    ),
    ErrorKind.HISTORY_LOST: ErrorSpec(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.NODE_UNREACHABLE: ErrorSpec(503, _MAY_HAVE_RUN, "warning", EXIT_REFUSED),
    ErrorKind.SETTING_INVALID: ErrorSpec(500, _NOT_RUN, "error", EXIT_USAGE),
    ErrorKind.INTERNAL: ErrorSpec(500, _MAY_HAVE_RUN, "error", EXIT_REFUSED),
}


class GuavagapError(Exception):
    """A failure of a known kind.

    Args:
        kind: the kind of error.
        detail: one plain sentence for logs and for the operator.

    Attributes:
        retry_after_s: delay after which the caller of a refused request should return;
            None if nothing is known about it.
        born_ms: start of the backend server that crashed, as it tells; 0 otherwise.
    """

    def __init__(self, kind: ErrorKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s: float | None = None
        self.born_ms = 0


class PeerRefusedError(GuavagapError):
    """Nothing listens at an address: its process has ended or has not started."""


class PeerTimeoutError(GuavagapError):
    """A failure of a connection whose other end did not respond in time."""


def error_spec(kind: ErrorKind) -> ErrorSpec:
    """Return how an error kind is reported."""
    return ERROR_SPECS[kind]
