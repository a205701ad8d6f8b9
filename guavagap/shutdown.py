"""Delivery of signals to ``curio`` tasks."""

import signal
import socket as stdlib_socket
from contextlib import contextmanager

from curio.io import Socket

__all__ = ["open_signal_socket"]


@contextmanager
def open_signal_socket():
    """Yield a socket that delivers the number of each received signal as one byte.

    SIGTERM, SIGINT and SIGHUP are delivered instead of having their default effect.
    """
    reader, writer = stdlib_socket.socketpair()
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous_handlers = {
        number: signal.signal(number, _ignore)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    try:
        yield Socket(reader)
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(previous_fd)
        reader.close()
        writer.close()


def _ignore(number, frame) -> None:
    """Do nothing; the reader of the wake-up socket handles the signal."""
