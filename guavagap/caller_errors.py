"""Error responses of the node to callers."""

import curio
import h11

from guavagap.dialect import Dialect
from guavagap.errors import ErrorKind, GuavagapError, error_spec
from guavagap.http1 import Http1Connection
from guavagap.tasks import forget_frames

__all__ = ["lingering_close", "send_error"]

LINGER_S = 1.0
MAX_LINGER_BYTES = 262_144
LINGER_READ_BYTES = 16_384
SHUT_WRITE = 1


async def send_error(
    connection: Http1Connection,
    error: GuavagapError,
    request_id: bytes,
    is_closing: bool,
    dialect: Dialect,
    retry_after_s: float,
) -> None:
    """Send an error response, unless a response has been started.

    Args:
        connection: the caller's connection.
        error: determines the status and whether the request is reported as not run.
        request_id: returned to the caller.
        is_closing: whether to announce that the connection will be closed.
        dialect: status and headers of the response.
        retry_after_s: delay after which a refused request may be retried.
    """
    if connection.h11.our_state not in (h11.SEND_RESPONSE, h11.IDLE):
        return
    spec = error_spec(error.kind)
    body = f"{error.kind.value}: {error.detail}\n".encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
        (b"guavagap-error", error.kind.value.encode()),
        (dialect.request_id, request_id),
    ]
    headers += dialect.error_headers(spec.is_not_run, retry_after_s)
    if error.kind is ErrorKind.CREDENTIALS_REJECTED:
        headers.append((b"www-authenticate", b"Bearer"))
    if is_closing:
        headers.append((b"connection", b"close"))
    response = h11.Response(status_code=dialect.status_of(error.kind), headers=headers)
    events = [] if connection.is_head_request else [h11.Data(data=body)]
    await connection.send(response, *events, h11.EndOfMessage())


async def lingering_close(connection: Http1Connection) -> None:
    """Drain the unread request so that the caller can read the response.

    Closing a socket with unread data resets the connection, and the caller may lose
    the response.
    """
    received_bytes = 0
    try:
        async with curio.timeout_after(LINGER_S):
            await connection.sock.shutdown(SHUT_WRITE)
            while received_bytes < MAX_LINGER_BYTES:
                size_bytes = await _discard(connection)
                if not size_bytes:
                    return
                received_bytes += size_bytes
    except curio.TaskTimeout as error:
        forget_frames(error)
    except OSError:
        pass


async def _discard(connection: Http1Connection) -> int:
    """Receive bytes without keeping them; return their number, 0 at the end."""
    if connection.account is None:
        return len(await connection.sock.recv(LINGER_READ_BYTES))
    return await connection.account.discard(connection.sock, LINGER_READ_BYTES)
