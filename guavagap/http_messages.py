"""Client calls and a server loop for HTTP messages with small bodies.

Used for the HTTP APIs of a node, the platform's store and the command line, where
bodies are small enough for memory. The data path streams bodies and does not use this
module.
"""

from contextlib import nullcontext
from itertools import count
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import NamedTuple

import curio
import h11

from guavagap.addresses import Address, format_address
from guavagap.caller_errors import lingering_close
from guavagap.client_budget import (
    MAX_API_BODY_BYTES,
    ClientAccount,
    ClientListener,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.http1 import (
    END_OF_MESSAGE,
    Http1Connection,
    RequestHead,
    connect_http1,
    describe_error,
    header_value,
    read_request_head,
    read_response_head,
)
from guavagap.logs import get_logger
from guavagap.tasks import TaskScope, forget_frames

__all__ = [
    "HttpRequest",
    "HttpResponse",
    "accept_connections",
    "call_http",
    "exchange_http",
    "serve_http",
]

log = get_logger()

MAX_MESSAGE_BODY_BYTES = 4 * 1024 * 1024
# Without free descriptors, for example, no connection is accepted until one is closed.
ACCEPT_RETRY_DELAY_S = 0.05
# The connections of a flood are handled, and some dropped, before more are accepted.
ACCEPTS_AT_ONCE = 16
# Clients call about once a second, and send all of a request at once.
IDLE_TIMEOUT_S = 60.0
BODY_TIMEOUT_S = 10.0


class HttpRequest(NamedTuple):
    """A request with its complete body."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""


class HttpResponse(NamedTuple):
    """A response with its complete body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given by its lower-case name."""
        return header_value(self.headers, name)


class _ServerLimits(NamedTuple):
    """Limits of the requests on one connection; None for no time limit.

    Attributes:
        idle_timeout_s: time until the head of the next request is received.
        body_timeout_s: time until the body is received after that.
    """

    max_body_bytes: int
    idle_timeout_s: float | None
    body_timeout_s: float | None


def _time_limit(limit_s: float | None):
    return nullcontext() if limit_s is None else curio.timeout_after(limit_s)


_TRUSTED_LIMITS = _ServerLimits(MAX_MESSAGE_BODY_BYTES, None, None)
_API_LIMITS = _ServerLimits(MAX_API_BODY_BYTES, IDLE_TIMEOUT_S, BODY_TIMEOUT_S)


async def _read_body(
    connection: Http1Connection, max_bytes: int = MAX_MESSAGE_BODY_BYTES
) -> bytes:
    # The objects of short chunks would take many times the memory of their bytes.
    body = bytearray()
    while True:
        event = await connection.next_event()
        if type(event) is h11.EndOfMessage:
            return bytes(body)
        if type(event) is not h11.Data:
            raise GuavagapError(
                ErrorKind.BODY_CUT_SHORT,
                f"expected body data, got {type(event).__name__}",
            )
        if len(body) + len(event.data) > max_bytes:
            raise _body_too_large(max_bytes)
        body += event.data


def _body_too_large(max_bytes: int) -> GuavagapError:
    return GuavagapError(
        ErrorKind.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )


async def exchange_http(
    connection: Http1Connection, request: HttpRequest
) -> HttpResponse:
    """Send a request on an open connection and read the complete response.

    Raises:
        OSError, h11.RemoteProtocolError: the connection or the peer failed.
        GuavagapError: BODY_TOO_LARGE, BODY_CUT_SHORT.
    """
    headers = list(request.headers)
    headers.append((b"content-length", b"%d" % len(request.body)))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    await connection.send(head, h11.Data(data=request.body), END_OF_MESSAGE)
    event = await read_response_head(connection)
    if event is None:
        raise h11.RemoteProtocolError("the connection was closed before a response")
    body = await _read_body(connection)
    return HttpResponse(event.status_code, list(event.headers), body)


async def call_http(
    address: Address, request: HttpRequest, timeout_s: float
) -> HttpResponse:
    """Make one call on a new connection.

    Raises:
        GuavagapError: NODE_UNREACHABLE when there is no complete response in time.
    """
    try:
        async with curio.timeout_after(timeout_s):
            connection = await connect_http1(address, timeout_s)
            try:
                headers = [(b"connection", b"close"), *request.headers]
                if header_value(headers, b"host") is None:
                    headers.append((b"host", format_address(address).encode()))
                return await exchange_http(
                    connection, request._replace(headers=headers)
                )
            finally:
                await connection.close()
    except (OSError, h11.ProtocolError, GuavagapError, curio.TaskTimeout) as error:
        raise GuavagapError(
            ErrorKind.NODE_UNREACHABLE, f"{format_address(address)}: {error}"
        ) from None


async def _serve_request(
    connection: Http1Connection, head: RequestHead, handler, limits: _ServerLimits
) -> bool:
    if (head.content_length_bytes or 0) > limits.max_body_bytes:
        raise _body_too_large(limits.max_body_bytes)
    if connection.h11.they_are_waiting_for_100_continue:
        await connection.send(h11.InformationalResponse(status_code=100, headers=[]))
    async with _time_limit(limits.body_timeout_s):
        body = await _read_body(connection, limits.max_body_bytes)
    request = HttpRequest(head.method, head.target, head.headers, body)
    response = await handler(request)
    headers = [(b"content-length", b"%d" % len(response.body)), *response.headers]
    await connection.send(
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=b"" if head.method == b"HEAD" else response.body),
        END_OF_MESSAGE,
    )
    return connection.start_next_cycle()


async def serve_http(sock, handler, listener: ClientListener | None = None) -> None:
    """Serve the requests of one connection.

    Args:
        sock: an accepted socket, which is closed when the connection ends.
        handler: coroutine function from :class:`HttpRequest` to
            :class:`HttpResponse`.
        listener: limits the connections and bodies of clients that are not trusted.
    """
    connection = Http1Connection(sock, h11.SERVER)
    try:
        if listener is None:
            await _serve_requests(connection, handler, _TRUSTED_LIMITS)
            return
        async with listener.open_account(connection) as account:
            await _serve_untrusted(connection, handler, account)
    except (OSError, h11.ProtocolError, GuavagapError) as error:
        log.debug("connection ended", why=describe_error(error))
    finally:
        await connection.close()


async def _serve_untrusted(
    connection: Http1Connection, handler, account: ClientAccount
) -> None:
    """Serve requests until the client is idle or slow for too long."""
    try:
        await _serve_requests(connection, handler, _API_LIMITS)
    except curio.TaskTimeout as error:
        forget_frames(error)
        if account.is_request_partial:
            account.listener.record_refusal("slow_sender")
            return
        log.debug("connection ended", why="idle")


async def _serve_requests(
    connection: Http1Connection, handler, limits: _ServerLimits
) -> None:
    while True:
        async with _time_limit(limits.idle_timeout_s):
            head = await read_request_head(connection)
        if head is None:
            return
        try:
            is_kept = await _serve_request(connection, head, handler, limits)
        except GuavagapError as error:
            if error.kind is ErrorKind.BODY_TOO_LARGE:
                await _refuse_body(connection)
            raise
        if connection.account is not None:
            connection.account.end_request()
        if not is_kept:
            return
        await connection.yield_if_buffered()


async def _refuse_body(connection: Http1Connection) -> None:
    """Send status 413 and close the connection so that it can be read."""
    if connection.account is not None:
        connection.account.listener.record_refusal("large_body")
    headers = [(b"content-length", b"0"), (b"connection", b"close")]
    response = h11.Response(status_code=413, headers=headers)
    await connection.send(response, END_OF_MESSAGE)
    await lingering_close(connection)


async def accept_connections(listener, scope: TaskScope, serve) -> None:
    """Accept connections and start ``serve(sock)`` as a task for each.

    A connection that cannot be accepted does not affect later ones.
    """
    async with listener:
        for number in count(1):
            if number % ACCEPTS_AT_ONCE == 0:
                await curio.sleep(0)
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                if listener.fileno() < 0:
                    raise
                log.warning("connection not accepted", why=repr(error))
                await curio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            await _start_serving(sock, scope, serve)


async def _start_serving(sock, scope: TaskScope, serve) -> None:
    try:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    except OSError as error:
        # The peer has reset the connection meanwhile.
        log.debug("connection ended", why=repr(error))
        await sock.close()
        return
    await scope.spawn(serve, sock)
