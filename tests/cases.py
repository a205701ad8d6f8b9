"""Base classes of the test cases."""

import socket
import tempfile
from pathlib import Path

import curio
import testtools
from testtools.content import text_content

from guavagap.errors import GuavagapError
from guavagap.http_messages import HttpRequest
from standins.fleet import open_fleet

__all__ = [
    "AsyncTestCase",
    "FleetTestCase",
    "attach_logs_on_failure",
    "echoed_id",
    "send_raw",
]

ASYNC_TIMEOUT_S = 60.0
# The end of a process's log that is added to the report of a failed test.
MAX_LOG_CHARACTERS = 4000


class AsyncTestCase(testtools.TestCase):
    """A test case that runs coroutine functions on ``curio``."""

    def run_async(self, function, *args):
        """Run ``function(*args)`` with a timeout and return its result."""

        async def run_with_timeout():
            async with curio.timeout_after(ASYNC_TIMEOUT_S):
                return await function(*args)

        return curio.run(run_with_timeout)

    async def assert_error_kind(self, kind, awaitable):
        """Assert that an awaitable raises a GuavagapError of a kind."""
        try:
            await awaitable
        except GuavagapError as error:
            self.assertEqual(kind, error.kind)
        else:
            self.fail(f"no GuavagapError of {kind} was raised")


def attach_logs_on_failure(case: testtools.TestCase, folder: Path) -> None:
    """Add the ends of the processes' logs to the report of a test that fails."""

    def attach(exc_info) -> None:
        for path in sorted(folder.glob("*.log")):
            text = path.read_text("utf-8", "replace")[-MAX_LOG_CHARACTERS:]
            case.addDetail(path.name, text_content(text))

    case.addOnException(attach)


def echoed_id(request: HttpRequest) -> list[tuple[bytes, bytes]]:
    """Return the header by which a backend server names the request it responds to."""
    return [item for item in request.headers if item[0] == b"x-request-id"]


def send_raw(port: int, request: bytes) -> bytes:
    """Send bytes to a port and return all bytes received until its end."""
    with socket.create_connection(("127.0.0.1", port), 15) as sock:
        sock.sendall(request)
        received = b""
        while data := sock.recv(65536):
            received += data
        return received


class FleetTestCase(testtools.TestCase):
    """A test case that starts real processes and kills them at its end."""

    def open_fleet(self, **node_options: str):
        """Return a fleet with a running platform, closed at the end of the test."""
        folder = tempfile.TemporaryDirectory(prefix="guavagap-test-")
        self.addCleanup(folder.cleanup)
        attach_logs_on_failure(self, Path(folder.name))
        context = open_fleet(Path(folder.name), **node_options)
        fleet = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        return fleet

    def start_mesh(self, fleet, layout: dict[str, str], apply: str | None = "shop"):
        """Start nodes and wait until they are ready.

        Args:
            layout: failure domain of each node.
            apply: name of the example to apply first, None for none.
        """
        started: list[str] = []
        if apply is not None:
            result = fleet.cli("apply", f"examples/{apply}")
            self.assertEqual(0, result.returncode, result.stderr)
        for node_id, failure_domain in layout.items():
            fleet.start_node(node_id, failure_domain, peers=tuple(started[:2]))
            started.append(node_id)
        fleet.wait_ready()
        return fleet
