"""Many misbehaving clients of one process, in one thread.

Each client plays a :class:`ClientScript`: it sends bytes in pieces as far as the peer
accepts them, reads as much as the script says, and stays open.
"""

import os
import socket
import threading
import time
from contextlib import contextmanager
from typing import NamedTuple

__all__ = ["ClientScript", "ProcessUsage", "open_swarm", "read_usage"]

STEP_S = 0.02
# Limit of what one client sends in one step, so that all clients proceed together.
MAX_STEP_BYTES = 262_144
CONNECT_TIMEOUT_S = 10.0
SMALL_BUFFER_BYTES = 4096


class ClientScript(NamedTuple):
    """What one client does.

    Attributes:
        port: port of the listener.
        data: bytes to send.
        piece_bytes: size of the pieces in which they are sent.
        pause_s: pause after each piece.
        read_bytes: bytes read in each step; 0 to read nothing.
    """

    port: int
    data: bytes
    piece_bytes: int = 65_536
    pause_s: float = 0.0
    read_bytes: int = 0


class ProcessUsage(NamedTuple):
    """Resources that a process uses.

    Attributes:
        peak_mb: the most resident memory since its start, in MB.
        descriptors: number of open descriptors.
        cpu_s: processor time since its start.
    """

    peak_mb: float
    descriptors: int
    cpu_s: float


class _Client:
    def __init__(self, script: ClientScript):
        self.script = script
        self.sent_bytes = 0
        self.next_piece_s = 0.0
        self.sock = socket.socket()
        # The peer's responses soon fill this buffer.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(CONNECT_TIMEOUT_S)
        self.sock.connect(("127.0.0.1", script.port))
        self.sock.setblocking(False)

    @property
    def has_sent_all(self) -> bool:
        return self.sent_bytes >= len(self.script.data)

    def step(self, now_s: float) -> None:
        """Send and read what is due.

        Raises:
            OSError: the peer has closed the connection.
        """
        script = self.script
        if script.read_bytes:
            self._read(script.read_bytes)
        sent_before = self.sent_bytes
        while not self.has_sent_all and now_s >= self.next_piece_s:
            piece = script.data[self.sent_bytes : self.sent_bytes + script.piece_bytes]
            try:
                self.sent_bytes += self.sock.send(piece)
            except BlockingIOError:
                return
            if script.pause_s:
                self.next_piece_s = now_s + script.pause_s
            if self.sent_bytes - sent_before >= MAX_STEP_BYTES:
                return

    def _read(self, size_bytes: int) -> None:
        try:
            if not self.sock.recv(size_bytes):
                raise ConnectionResetError("closed by the peer")
        except BlockingIOError:
            pass


class _Swarm:
    """Clients that are played in a thread until it is stopped.

    Attributes:
        refused_count: connections that were not accepted.
        closed_count: connections that the peer has closed.
    """

    def __init__(self, scripts: list[ClientScript]):
        self.refused_count = 0
        self.closed_count = 0
        self._scripts = scripts
        self._clients: list[_Client] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()
        for client in self._clients:
            client.sock.close()

    @property
    def has_sent_all(self) -> bool:
        """Whether every client that is open has sent its bytes."""
        return self._is_connected and all(c.has_sent_all for c in self._clients)

    _is_connected = False

    def _run(self) -> None:
        for script in self._scripts:
            if self._stopped.is_set():
                return
            try:
                self._clients.append(_Client(script))
            except OSError:
                self.refused_count += 1
        self._is_connected = True
        while not self._stopped.is_set():
            now_s = time.monotonic()
            for client in list(self._clients):
                try:
                    client.step(now_s)
                except OSError:
                    client.sock.close()
                    self._clients.remove(client)
                    self.closed_count += 1
            time.sleep(STEP_S)


@contextmanager
def open_swarm(scripts: list[ClientScript]):
    """Yield clients that play the scripts; all are closed on exit."""
    swarm = _Swarm(scripts)
    swarm.start()
    try:
        yield swarm
    finally:
        swarm.stop()


def read_usage(pid: int) -> ProcessUsage:
    """Return the resources that a process of this user uses."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        fields = dict(line.split(":", 1) for line in file)
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        times = file.read().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    return ProcessUsage(
        int(fields["VmHWM"].split()[0]) / 1000,
        len(os.listdir(f"/proc/{pid}/fd")),
        (int(times[11]) + int(times[12])) / ticks,
    )
