"""Base classes of the test cases."""

import tempfile
from pathlib import Path

import curio
import testtools

from guavagap.errors import GuavagapError
from standins.fleet import open_fleet

__all__ = ["AsyncTestCase", "FleetTestCase"]

ASYNC_TIMEOUT_S = 60.0


class AsyncTestCase(testtools.TestCase):
    """Runs coroutine functions on ``curio``."""

    def run_async(self, function, *args):
        """Return the result of ``await function(*args)``."""

        async def limited():
            async with curio.timeout_after(ASYNC_TIMEOUT_S):
                return await function(*args)

        return curio.run(limited)

    async def assert_error_kind(self, kind, awaitable):
        """Await something that must fail with a kind of error."""
        try:
            await awaitable
        except GuavagapError as error:
            self.assertEqual(kind, error.kind)
        else:
            self.fail(f"{kind} was not raised")


class FleetTestCase(testtools.TestCase):
    """Starts real processes, ended with the test."""

    def open_fleet(self, **node_options: str):
        """Return a fleet with a running platform."""
        folder = tempfile.TemporaryDirectory(prefix="guavagap-test-")
        self.addCleanup(folder.cleanup)
        context = open_fleet(Path(folder.name), **node_options)
        fleet = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        return fleet

    def start_mesh(self, fleet, layout: dict[str, str], apply: str | None = "shop"):
        """Start nodes, given as node to failure domain, each with its peers."""
        started: list[str] = []
        if apply is not None:
            result = fleet.cli("apply", f"examples/{apply}")
            self.assertEqual(0, result.returncode, result.stderr)
        for node_id, failure_domain in layout.items():
            fleet.start_node(node_id, failure_domain, peers=tuple(started[:2]))
            started.append(node_id)
        fleet.wait_ready()
        return fleet
