"""HTTP headers and conventions between callers, nodes and backend servers.

``NATIVE_DIALECT`` is the default; an adapter of a platform provides its own.
"""

from typing import Callable, NamedTuple

from guavagap.customers import AUTHORIZATION_HEADER
from guavagap.errors import ErrorKind, error_spec
from guavagap.server_statements import (
    NO_HEALTH_STATEMENT,
    NO_STATEMENT,
    HealthStatement,
    ServerStatement,
)

__all__ = [
    "Dialect",
    "NATIVE_DIALECT",
    "RUN_HEADER",
    "RUN_NOT_RUN",
    "RUN_UNKNOWN",
]

RUN_HEADER = b"guavagap-run"
RUN_NOT_RUN = b"not-run"
RUN_UNKNOWN = b"unknown"
REFUSAL_STATUS = 503

Headers = list[tuple[bytes, bytes]]


class Dialect(NamedTuple):
    """Header names, empty if unused, and the interpretation of responses.

    Attributes:
        timeout: request header with the time left, in milliseconds.
        request_id: header with the request id, in requests and responses.
        is_id_echoed: whether backend servers return the request id.
        retry_mark: request header that marks a retry for lower layers.
        caller: request header with the name of the calling service.
        customer: request header with the name of the calling customer.
        expected_server: request header with the only backend server that may run
            the request.
        via: headers added to forwarded requests and responses.
        read_load: returns the requests in flight on a backend server according to
            the headers of its response, or None.
        read_statement: returns what a response with a status and headers says about
            its backend server.
        is_refusal: returns whether a response says that the request was not run.
        status_of: returns the status of an error response of the node.
        error_headers: returns the headers of an error response of the node, from
            whether the request is known not to have run, and the seconds until a
            retry may succeed.
        read_health: returns what the headers of a response to a health probe say about
            the backend server.
    """

    timeout: bytes
    request_id: bytes
    is_id_echoed: bool
    retry_mark: bytes
    caller: bytes
    customer: bytes
    expected_server: bytes
    via: tuple[tuple[bytes, bytes], ...]
    read_load: Callable[[Headers], int | None]
    read_statement: Callable[[int, Headers], ServerStatement]
    is_refusal: Callable[[int, Headers], bool]
    status_of: Callable[[ErrorKind], int]
    error_headers: Callable[[bool, float | None], Headers]
    read_health: Callable[[Headers], HealthStatement] = lambda _: NO_HEALTH_STATEMENT

    def reserved_headers(self) -> frozenset[bytes]:
        """Return the headers of callers that nodes replace or handle themselves."""
        names = (self.timeout, self.request_id, self.caller, self.expected_server)
        return frozenset(name for name in (*names, b"expect") if name)

    def customer_headers(self) -> frozenset[bytes]:
        """Return the headers that nodes handle too where requests need an API key.

        Some backend servers take an underscore in a name for a dash.
        """
        names = (self.customer, self.customer.replace(b"-", b"_"))
        return frozenset(name for name in (*names, AUTHORIZATION_HEADER) if name)


def _read_native_load(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"guavagap-load" and value.isdigit() and len(value) < 10:
            return int(value)
    return None


def _is_native_refusal(status: int, headers: Headers) -> bool:
    return status == REFUSAL_STATUS and (RUN_HEADER, RUN_NOT_RUN) in headers


def _native_status(kind: ErrorKind) -> int:
    return error_spec(kind).status


def _native_error_headers(is_not_run: bool, retry_after_s: float | None) -> Headers:
    return [(RUN_HEADER, RUN_NOT_RUN if is_not_run else RUN_UNKNOWN)]


NATIVE_DIALECT = Dialect(
    timeout=b"guavagap-timeout-ms",
    request_id=b"x-request-id",
    is_id_echoed=False,
    retry_mark=b"guavagap-retry",
    caller=b"",
    customer=b"",
    expected_server=b"",
    via=((b"via", b"1.1 guavagap"),),
    read_load=_read_native_load,
    read_statement=lambda status, headers: NO_STATEMENT,
    is_refusal=_is_native_refusal,
    status_of=_native_status,
    error_headers=_native_error_headers,
)
