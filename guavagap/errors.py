"""The closed list of error kinds and the answer that belongs to each.

Every failure that crosses a module boundary is a :class:`GuavagapError` with
one :class:`ErrorKind`. ``ANSWERS`` maps each kind to the HTTP status sent to a
caller, to whether the request is known not to have been run, to the level of
the log line, and to the exit code of the command line.
"""

from enum import Enum
from typing import NamedTuple

__all__ = [
    "ANSWERS",
    "Answer",
    "EXIT_DONE",
    "EXIT_PLATFORM_UNREACHABLE",
    "EXIT_REFUSED",
    "EXIT_USAGE",
    "ErrorKind",
    "GuavagapError",
    "answer_for",
]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_PLATFORM_UNREACHABLE = 3


class ErrorKind(Enum):
    """Everything that can go wrong, as the value used in logs and headers."""

    BAD_REQUEST = "bad_request"
    UNSUPPORTED = "unsupported"
    NO_ROUTE = "no_route"
    NOT_READY = "not_ready"
    NO_BACKEND_SERVER = "no_backend_server"
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


class Answer(NamedTuple):
    """What one error kind means to callers, logs and the command line.

    Attributes:
        status: HTTP status of the answer.
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
_UNKNOWN = False

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, "info", EXIT_USAGE),
    ErrorKind.UNSUPPORTED: Answer(501, _NOT_RUN, "info", EXIT_USAGE),
    ErrorKind.NO_ROUTE: Answer(404, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.NOT_READY: Answer(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.SLOTS_TAKEN: Answer(503, _NOT_RUN, "debug", EXIT_REFUSED),
    ErrorKind.DRAINING: Answer(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.REFUSED_BY_BACKEND_SERVER: Answer(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.CONNECT_FAILED: Answer(502, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.POISON_REQUEST: Answer(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.DEADLINE_BEFORE_RUN: Answer(504, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.DEADLINE_AFTER_SEND: Answer(504, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.BACKEND_SERVER_LOST: Answer(502, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.BACKEND_SERVER_CRASHED: Answer(502, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.BACKEND_SERVER_PROTOCOL: Answer(502, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.BACKEND_SERVER_FAILED: Answer(502, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.BODY_CUT_SHORT: Answer(502, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.CALLER_TIMEOUT: Answer(408, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.CALLER_GONE: Answer(499, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.KEY_OUTCOME_UNKNOWN: Answer(409, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.KEY_REUSED: Answer(422, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.KEY_WITNESS_UNREACHABLE: Answer(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.LINK_UNREACHABLE: Answer(503, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.LINK_LOST: Answer(502, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.AUTHENTICATION_FAILED: Answer(403, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.FRAME_INVALID: Answer(502, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.CONFIGURATION_REJECTED: Answer(500, _NOT_RUN, "error", EXIT_REFUSED),
    ErrorKind.DOCUMENT_INVALID: Answer(422, _NOT_RUN, "error", EXIT_REFUSED),
    ErrorKind.CONFLICT: Answer(409, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.ROLLED_BACK: Answer(409, _NOT_RUN, "warning", EXIT_REFUSED),
    ErrorKind.NOT_FOUND: Answer(404, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.WAIT_TIMEOUT: Answer(504, _UNKNOWN, "info", EXIT_REFUSED),
    ErrorKind.PLATFORM_UNREACHABLE: Answer(
        503, _UNKNOWN, "warning", EXIT_PLATFORM_UNREACHABLE
    ),
    ErrorKind.PLATFORM_BUSY: Answer(503, _NOT_RUN, "info", EXIT_PLATFORM_UNREACHABLE),
    ErrorKind.HISTORY_LOST: Answer(503, _NOT_RUN, "info", EXIT_REFUSED),
    ErrorKind.NODE_UNREACHABLE: Answer(503, _UNKNOWN, "warning", EXIT_REFUSED),
    ErrorKind.SETTING_INVALID: Answer(500, _NOT_RUN, "error", EXIT_USAGE),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, "error", EXIT_REFUSED),
}


class GuavagapError(Exception):
    """A failure of a known kind.

    Args:
        kind: the entry of the closed list.
        detail: one plain sentence for logs and for the operator.
    """

    def __init__(self, kind: ErrorKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail


def answer_for(kind: ErrorKind) -> Answer:
    """Return the table row of an error kind."""
    return ANSWERS[kind]
