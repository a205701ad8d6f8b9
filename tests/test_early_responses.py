"""Tests of responses that come, and break off, while the request is being sent.

A response without a length ends with its connection, so a reset must not pass for its
end. The error of a reset is told once: whoever is told it, by sending the next part of
the request, has to remember it for the reader.
"""

import socket
import time

import h11

from standins.fleet import wait_until
from standins.raw_server import ID_MARK, RawResponse, open_raw_server
from tests.raw_server_cases import DirectRawServerTestCase, RawServerTestCase

HOST = "shop.example"
PIECE_BYTES = 16_384
# The node reads 64 kB ahead before it sends a request.
FIRST_BYTES = 6 * PIECE_BYTES
REST_BYTES = 4 * PIECE_BYTES
PAUSE_S = 0.01
CALL_TIMEOUT_S = 10.0
WHOLE = b"w" * 1000
PART = b"p" * 500
# More than the node buffers before it starts its own response.
LONG_PART = b"p" * 200_000

_ID_LINE = b"x-request-id: " + ID_MARK + b"\r\n"
_OK = b"HTTP/1.1 200 OK\r\n" + _ID_LINE
_LENGTH = _OK + b"content-length: 1000\r\n\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"
_NO_LENGTH = _OK + b"connection: close\r\n\r\n"
_OLD = b"HTTP/1.0 200 OK\r\n" + _ID_LINE + b"\r\n"
_FIRST_CHUNK = b"%x\r\n" % len(WHOLE) + PART

BROKEN = {
    "no length, reset": RawResponse(_NO_LENGTH + PART, is_resetting=True),
    "no length, long, reset": RawResponse(_NO_LENGTH + LONG_PART, is_resetting=True),
    "no length, empty, reset": RawResponse(_NO_LENGTH, is_resetting=True),
    # Closing with a part of the request unread resets the connection.
    "no length, closed": RawResponse(_NO_LENGTH + PART, is_closing=True),
    "HTTP/1.0, reset": RawResponse(_OLD + PART, is_resetting=True),
    "chunks, reset": RawResponse(_CHUNKED + _FIRST_CHUNK, is_resetting=True),
    "chunks, ended": RawResponse(_CHUNKED + _FIRST_CHUNK, is_half_closing=True),
    "between chunks, ended": RawResponse(
        _CHUNKED + b"%x\r\n%s\r\n" % (len(PART), PART), is_half_closing=True
    ),
    "length, reset": RawResponse(_LENGTH + PART, is_resetting=True),
    "length, ended": RawResponse(_LENGTH + PART, is_half_closing=True),
    "head, ended": RawResponse(_OK, is_half_closing=True),
}
SOUND = {
    "no length, ended": RawResponse(_NO_LENGTH + WHOLE, is_half_closing=True),
    "HTTP/1.0, ended": RawResponse(_OLD + WHOLE, is_half_closing=True),
    "chunks": RawResponse(
        _CHUNKED + b"%x\r\n%s\r\n0\r\n\r\n" % (len(WHOLE), WHOLE), is_half_closing=True
    ),
    "length": RawResponse(_LENGTH + WHOLE, is_half_closing=True),
    "length, reset": RawResponse(_LENGTH + WHOLE, is_resetting=True),
}


def upload(port: int, path: str, request_id: str, has_length: bool, between) -> bytes:
    """Upload a body and return all bytes received.

    Args:
        between: called between the first part of the body and the rest.
    """
    size_bytes = FIRST_BYTES + REST_BYTES
    framing = (
        f"Content-Length: {size_bytes}" if has_length else "Transfer-Encoding: chunked"
    )
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 3000\r\n{framing}\r\n\r\n"
    )
    piece = b"u" * PIECE_BYTES
    data = piece if has_length else b"%x\r\n%s\r\n" % (PIECE_BYTES, piece)
    with socket.create_connection(("127.0.0.1", port), CALL_TIMEOUT_S) as sock:
        sock.sendall(head.encode() + data * (FIRST_BYTES // PIECE_BYTES))
        between()
        try:
            for _ in range(REST_BYTES // PIECE_BYTES):
                sock.sendall(data)
                time.sleep(PAUSE_S)
            sock.sendall(b"" if has_length else b"0\r\n\r\n")
        except OSError:
            # The node has responded and closed the connection.
            pass
        return _receive_all(sock)


def _receive_all(sock: socket.socket) -> bytes:
    received = b""
    try:
        while data := sock.recv(65_536):
            received += data
            if _read_response(received)[1] is not None:
                break
    except ConnectionResetError:
        pass
    return received


def _read_response(received: bytes) -> tuple[int, bytes | None]:
    """Return the status, 0 for none, and the body, None if it is not complete."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(received)
    status, body = 0, b""
    while True:
        event = connection.next_event()
        if type(event) is h11.Response:
            status = event.status_code
        elif type(event) is h11.Data:
            body += bytes(event.data)
        elif type(event) is h11.EndOfMessage:
            return status, body
        elif event is h11.NEED_DATA or event is h11.PAUSED:
            return status, None


def find_wrong_responses(server, port: int, path: str) -> dict[str, tuple]:
    """Return the cases in which a caller gets a broken response as a whole one."""
    wrong: dict[str, tuple] = {}
    cases = [(name, response, True) for name, response in BROKEN.items()]
    cases += [(name, response, False) for name, response in SOUND.items()]
    number = 0
    for name, response, is_broken in cases:
        for has_length in (False, True):
            for is_waiting in (True, False):
                number += 1
                server.response = response
                count = server.request_count

                def wait_for_end() -> None:
                    wait_until(lambda: server.request_count > count, what="request")
                    wait_until(lambda: server.latest in server.ended, what="end")

                between = wait_for_end if is_waiting else lambda: None
                received = upload(port, path, f"early-{number}", has_length, between)
                status, body = _read_response(received)
                is_success = status == 200 and body is not None
                if is_success == is_broken or (is_success and body != WHOLE):
                    size_bytes = None if body is None else len(body)
                    key = f"{name}, {has_length=}, {is_waiting=}"
                    wrong[key] = (status, size_bytes)
                # A response that is sound ends the series of failures.
                server.response = RawResponse(_LENGTH + WHOLE)
                upload(port, path, f"sound-{number}", True, lambda: None)
    return wrong


class OperatorPathTests(RawServerTestCase):
    """The paths of an operator's deployment: local and over a link."""

    def assert_none_wrong(self, node_id: str) -> None:
        """An early 200 without a length, reset midway, was taken as complete."""
        with open_raw_server(RawResponse(_LENGTH + WHOLE)) as server:
            fleet = self.start_with_raw_server(server)
            port = fleet.nodes[node_id].caller_port
            self.assertEqual({}, find_wrong_responses(server, port, "/pay/x"))

    def test_local(self):
        self.assert_none_wrong("b1")

    def test_over_a_link(self):
        self.assert_none_wrong("a1")


class DirectPathTests(DirectRawServerTestCase):
    """Direct connections to a backend server on another VM."""

    def test_direct(self):
        with open_raw_server(RawResponse(_LENGTH + WHOLE)) as server:
            fleet = self.start_with_raw_server(server)
            port = fleet.nodes["a1"].caller_port
            self.assertEqual({}, find_wrong_responses(server, port, "/checkout/pay"))


class OldCallerTests(RawServerTestCase):
    """A caller of HTTP/1.0 gets a response without a length by its connection's end."""

    def receive(self, port: int, request_id: str) -> tuple[bytes, bool]:
        """Return all bytes received, and whether the connection was reset."""
        request = (
            f"GET /pay/x HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n\r\n"
        )
        received = b""
        with socket.create_connection(("127.0.0.1", port), CALL_TIMEOUT_S) as sock:
            sock.sendall(request.encode())
            try:
                while data := sock.recv(65_536):
                    received += data
            except ConnectionResetError:
                return received, True
        return received, False

    def test_response_that_breaks_off_does_not_end_as_a_complete_one(self):
        """Its connection was closed as after a complete response."""
        long = _NO_LENGTH + LONG_PART
        with open_raw_server(RawResponse(long, is_resetting=True)) as server:
            fleet = self.start_with_raw_server(server)
            for node_id in ("b1", "a1"):
                port = fleet.nodes[node_id].caller_port
                server.response = RawResponse(long, is_half_closing=True)
                received, is_reset = self.receive(port, f"whole-{node_id}")
                self.assertEqual((True, False), (LONG_PART in received, is_reset))
                server.response = RawResponse(
                    _CHUNKED + b"%x\r\n" % (2 * len(LONG_PART)) + LONG_PART,
                    is_half_closing=True,
                )
                received, is_reset = self.receive(port, f"cut-{node_id}")
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received[:80])
                self.assertTrue(is_reset)
