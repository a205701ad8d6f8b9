"""Load generator with blocking sockets and threads."""

import socket
import threading
import time
from typing import NamedTuple

__all__ = [
    "BlockingClient",
    "LoadResult",
    "make_request",
    "run_open_loop",
    "run_paced",
    "run_closed_loop",
]

RECEIVE_BYTES = 65_536


class LoadResult(NamedTuple):
    """Outcome of a load run.

    Attributes:
        latencies_s: latency of each call, also of failed ones.
        statuses: number of calls by HTTP status; 0 without a complete response.
        duration_s: wall clock duration of the run.
    """

    latencies_s: list[float]
    statuses: dict[int, int]
    duration_s: float


class BlockingClient:
    """Repeats one request on a persistent connection.

    Args:
        port: port of a node or of a backend server on loopback.
        request: the encoded request.
    """

    def __init__(self, port: int, request: bytes):
        self._port = port
        self._request = request
        self._sock: socket.socket | None = None

    def call(self) -> int:
        """Send the request; return the status of the response, 0 on an error."""
        try:
            if self._sock is None:
                self._sock = socket.create_connection(("127.0.0.1", self._port), 5.0)
                self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sock.sendall(self._request)
            return self._read_response()
        except OSError:
            self.close()
            return 0

    def _read_response(self) -> int:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = self._sock.recv(RECEIVE_BYTES)
            if not chunk:
                raise ConnectionResetError("connection closed before the response")
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        lower_head = head.lower()
        start = lower_head.index(b"content-length:") + len(b"content-length:")
        length_bytes = int(lower_head[start:].split(b"\r\n", 1)[0])
        received_bytes = len(body)
        while received_bytes < length_bytes:
            chunk = self._sock.recv(RECEIVE_BYTES)
            if not chunk:
                raise ConnectionResetError("response body is incomplete")
            received_bytes += len(chunk)
        if b"connection: close" in lower_head:
            self.close()
        return int(head.split(b" ", 2)[1])

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def make_request(
    path: str, headers: dict[str, str] | None = None, host: str = "shop.example"
) -> bytes:
    """Return the bytes of a GET request."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def run_paced(
    clients: list[BlockingClient], calls_per_s: float, calls: int
) -> list[LoadResult]:
    """Alternate calls between clients at a fixed rate; return a result for each.

    All clients run under the same conditions, so their results are comparable.
    """
    results = [LoadResult([], {}, 0.0) for _ in clients]
    started_s = time.perf_counter()
    for number in range(calls):
        due_s = started_s + number / calls_per_s
        time.sleep(max(0.0, due_s - time.perf_counter()))
        result = results[number % len(clients)]
        _time_call(clients[number % len(clients)], result)
    duration_s = time.perf_counter() - started_s
    return [result._replace(duration_s=duration_s) for result in results]


def _time_call(client: BlockingClient, result: LoadResult) -> None:
    started_s = time.perf_counter()
    status = client.call()
    result.latencies_s.append(time.perf_counter() - started_s)
    result.statuses[status] = result.statuses.get(status, 0) + 1


def run_open_loop(
    clients: list[BlockingClient], calls_per_s: float, duration_s: float
) -> LoadResult:
    """Call at a fixed total rate, with one thread for each client."""
    started_s = time.perf_counter()
    results = [LoadResult([], {}, 0.0) for _ in clients]

    def send_calls(index: int) -> None:
        number = index
        while number / calls_per_s < duration_s:
            due_s = started_s + number / calls_per_s
            time.sleep(max(0.0, due_s - time.perf_counter()))
            _time_call(clients[index], results[index])
            number += len(clients)

    threads = [
        threading.Thread(target=send_calls, args=(index,))
        for index in range(len(clients))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _merge(results, time.perf_counter() - started_s)


def _merge(results: list[LoadResult], duration_s: float) -> LoadResult:
    statuses: dict[int, int] = {}
    for result in results:
        for status, count in result.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    latencies_s = [value for result in results for value in result.latencies_s]
    return LoadResult(latencies_s, statuses, duration_s)


def run_closed_loop(clients: list[BlockingClient], duration_s: float) -> LoadResult:
    """Call back to back on every client, with one thread for each."""
    stop_s = time.perf_counter() + duration_s
    results = [LoadResult([], {}, 0.0) for _ in clients]

    def send_calls(client: BlockingClient, result: LoadResult) -> None:
        while time.perf_counter() < stop_s:
            _time_call(client, result)

    threads = [
        threading.Thread(target=send_calls, args=pair) for pair in zip(clients, results)
    ]
    started_s = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _merge(results, time.perf_counter() - started_s)
