"""TCP and UDP sockets bound or connected by IP address."""

import errno
from socket import TCP_USER_TIMEOUT

import curio
from curio import socket

from guavagap.addresses import Address, format_address
from guavagap.errors import (
    ErrorKind,
    GuavagapError,
    PeerRefusedError,
    PeerTimeoutError,
)

__all__ = [
    "bind_socket",
    "connect_tcp",
    "make_connection_error",
    "open_listener",
    "open_udp_socket",
]

LISTEN_BACKLOG = 1024
# A silent peer is detected after about 4 s without traffic.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged data ends a connection sooner, because retransmissions within a data
# centre succeed within tenths of a second.
USER_TIMEOUT_MS = 800
_TIMEOUT_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


def _address_family(address: Address):
    return socket.AF_INET6 if ":" in address.ip else socket.AF_INET


def make_connection_error(
    kind: ErrorKind, error: BaseException, detail: str
) -> GuavagapError:
    """Return the error of a failed connection.

    It is a :class:`PeerTimeoutError` if the other end did not respond in time, and a
    :class:`PeerRefusedError` if nothing listens there.
    """
    if isinstance(error, ConnectionRefusedError):
        return PeerRefusedError(kind, detail)
    is_timeout = isinstance(error, curio.TaskTimeout) or (
        isinstance(error, OSError) and error.errno in _TIMEOUT_ERRNOS
    )
    return (PeerTimeoutError if is_timeout else GuavagapError)(kind, detail)


async def connect_tcp(address: Address, timeout_s: float, kind: ErrorKind):
    """Connect a TCP socket with Nagle's algorithm disabled.

    Args:
        address: address of the peer.
        timeout_s: time limit of the attempt.
        kind: kind of the error that a failure raises; nothing was sent then.

    Raises:
        GuavagapError: of that kind; see :func:`make_connection_error`.
    """
    sock = socket.socket(_address_family(address), socket.SOCK_STREAM)
    try:
        async with curio.timeout_after(timeout_s):
            await sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _enable_peer_timeout(sock)
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        detail = f"{format_address(address)}: {error!r}"
        raise make_connection_error(kind, error, detail) from None
    except curio.CancelledError:
        await sock.close()
        raise
    return sock


def _enable_peer_timeout(sock) -> None:
    """Set timeouts that end a connection whose peer is silent.

    A peer without power, behind a network partition, or with a connection that was
    lost without a reset is detected by keep-alive probes or by unacknowledged data.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def bind_socket(sock, address: Address) -> None:
    """Bind a socket.

    Raises:
        GuavagapError: SETTING_INVALID when the address cannot be bound.
    """
    try:
        sock.bind(address)
    except OSError as error:
        raise GuavagapError(
            ErrorKind.SETTING_INVALID,
            f"address {format_address(address)}: {error.strerror}; use a"
            " free port on an address of this VM",
        ) from None


def open_listener(address: Address):
    """Open a listening TCP socket.

    Raises:
        GuavagapError: SETTING_INVALID when the address cannot be bound.
    """
    sock = socket.socket(_address_family(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind_socket(sock, address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def open_udp_socket(address: Address):
    """Open a bound UDP socket.

    Raises:
        GuavagapError: SETTING_INVALID when the address cannot be bound.
    """
    sock = socket.socket(_address_family(address), socket.SOCK_DGRAM)
    bind_socket(sock, address)
    return sock
