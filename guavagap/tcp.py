"""TCP and UDP sockets by IP number (plumbing)."""

from socket import TCP_USER_TIMEOUT

import curio
from curio import socket

from guavagap.addresses import Address, format_address
from guavagap.errors import ErrorKind, GuavagapError

__all__ = ["bind_socket", "connect_tcp", "open_listener", "open_udp_socket"]

LISTEN_BACKLOG = 1024
# A silent peer is noticed after some 4 s without traffic.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged data ends a connection sooner: retransmissions within a data
# centre succeed within tenths of a second.
USER_TIMEOUT_MS = 800


def _address_family(address: Address):
    return socket.AF_INET6 if ":" in address.ip else socket.AF_INET


async def connect_tcp(address: Address, timeout_s: float, kind: ErrorKind):
    """Return a connected socket without delayed sending.

    Args:
        address: the other end.
        timeout_s: limit of the attempt.
        kind: the error to raise when it fails; nothing was sent then.

    Raises:
        GuavagapError: of that kind.
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
        raise GuavagapError(kind, detail) from None
    except curio.CancelledError:
        await sock.close()
        raise
    return sock


def _enable_peer_timeout(sock) -> None:
    """End a connection whose other end has fallen silent.

    A peer without power, behind a cut, or on a connection that was lost without a
    reset is noticed by keep-alive probes or by data that is not acknowledged.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def bind_socket(sock, address: Address) -> None:
    """Bind a socket.

    Raises:
        GuavagapError: SETTING_INVALID when the address cannot be had.
    """
    try:
        sock.bind(address)
    except OSError as error:
        raise GuavagapError(
            ErrorKind.SETTING_INVALID,
            f"address {format_address(address)}: {error.strerror}; allowed is a"
            " free port on an address of this VM",
        ) from None


def open_listener(address: Address):
    """Return a listening TCP socket; raises SETTING_INVALID."""
    sock = socket.socket(_address_family(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind_socket(sock, address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def open_udp_socket(address: Address):
    """Return a bound UDP socket; raises SETTING_INVALID."""
    sock = socket.socket(_address_family(address), socket.SOCK_DGRAM)
    bind_socket(sock, address)
    return sock
