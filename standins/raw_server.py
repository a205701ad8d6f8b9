"""Fake backend server that sends given bytes in response to each request."""

import itertools
import re
import socket
import struct
import threading
from contextlib import contextmanager
from typing import NamedTuple

__all__ = ["ID_MARK", "RawResponse", "RawServer", "open_raw_server"]

ID_MARK = b"%ID%"
_REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([^\r]+)")

HEAD_END = b"\r\n\r\n"
ACCEPT_TIMEOUT_S = 0.2
# Closing a socket with this option resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class RawResponse(NamedTuple):
    """Bytes that are sent once a request head has been received.

    Attributes:
        data: the bytes; ``ID_MARK`` stands for the request's ID.
        is_repeated: whether they are sent again and again until the peer closes.
        is_closing: whether the connection is closed afterwards.
        is_resetting: whether the connection is reset afterwards.
        is_half_closing: whether the sending side is closed afterwards; what the peer
            still sends is read.
    """

    data: bytes
    is_repeated: bool = False
    is_closing: bool = False
    is_resetting: bool = False
    is_half_closing: bool = False


class RawServer:
    """Serves connections in threads.

    Attributes:
        response: sent in response to each request from now on.
        request_count: number of requests received.
        latest: identifier of the connection of the latest request.
        open_connections: identifiers of the connections that are open at both ends.
        ended: identifiers of the connections that the server has ended itself.
    """

    def __init__(self, response: RawResponse):
        self.response = response
        self.request_count = 0
        self.latest = 0
        self.open_connections: set[int] = set()
        self.ended: set[int] = set()
        self._numbers = itertools.count(1)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_TIMEOUT_S)
        self._is_ending = False
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def port(self) -> int:
        """The port of the server."""
        return self._listener.getsockname()[1]

    def close(self) -> None:
        """Accept no further connections."""
        self._is_ending = True
        self._thread.join()
        self._listener.close()

    def _accept(self) -> None:
        while not self._is_ending:
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        number = next(self._numbers)
        self.open_connections.add(number)
        try:
            with sock:
                self._serve_requests(sock, number)
        except OSError:
            # The node has closed the connection.
            pass
        finally:
            self.open_connections.discard(number)

    def _serve_requests(self, sock: socket.socket, number: int) -> None:
        received = b""
        while data := sock.recv(65_536):
            received += data
            if HEAD_END not in received:
                continue
            match = _REQUEST_ID.search(received)
            received = b""
            self.request_count += 1
            self.latest = number
            response = self.response
            data = response.data.replace(ID_MARK, match[1] if match else b"")
            sock.sendall(data)
            while response.is_repeated:
                sock.sendall(data)
            if response.is_half_closing:
                sock.shutdown(socket.SHUT_WR)
                self.ended.add(number)
                while sock.recv(65_536):
                    pass
                return
            if response.is_resetting:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            if response.is_closing or response.is_resetting:
                sock.close()
                self.ended.add(number)
                return


@contextmanager
def open_raw_server(response: RawResponse):
    """Yield a :class:`RawServer`, closed on exit."""
    server = RawServer(response)
    try:
        yield server
    finally:
        server.close()
