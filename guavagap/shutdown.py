"""Waiting for signals inside a ``curio`` program."""

import signal
import socket as stdlib_socket
from contextlib import contextmanager

from curio.io import Socket

__all__ = ["open_signal_socket"]


@contextmanager
def open_signal_socket():
    """Yield a socket from which the numbers of signals are read, a byte each."""
    reader, writer = stdlib_socket.socketpair()
    writer.setblocking(False)
    former_fd = signal.set_wakeup_fd(writer.fileno())
    former = {
        number: signal.signal(number, _ignore)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    try:
        yield Socket(reader)
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(former_fd)
        reader.close()
        writer.close()


def _ignore(number, frame) -> None:
    """Leave the work to the reader of the wake-up socket."""
