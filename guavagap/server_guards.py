"""Guards: what a node decides about a local backend server besides its proxy."""

from guavagap.errors import ErrorKind, GuavagapError
from guavagap.scheduling.cold_starts import ColdEvent

__all__ = ["LocalServerGuard", "ServerGuard"]


class ServerGuard:
    """Allows every request and ignores what happens to the backend server."""

    @property
    def is_cold(self) -> bool:
        """Whether the backend server takes few requests, since it is cold."""
        return False

    def usual_slowness(self) -> float | None:
        """Return the run time that is usual for it, as a share of the target latency.

        None if unknown.
        """
        return None

    def check(self) -> None:
        """Check that a request may be sent to the backend server now.

        Raises:
            GuavagapError: EVACUATED; SLOTS_TAKEN. The request was not run.
        """

    def record_event(self, event: ColdEvent) -> None:
        """Record what may have made the backend server cold."""

    def record_connected(self) -> None:
        """Record that a new connection to the backend server was accepted."""

    def record_refusal(self) -> None:
        """Record a request that was refused for want of a slot."""


class LocalServerGuard(ServerGuard):
    """Guard of a backend server by the evacuation orders and its cold start.

    Args:
        node: the node on the VM of the backend server.
        server_id: the backend server.
    """

    def __init__(self, node, server_id: str):
        self._node = node
        self._server_id = server_id

    @property
    def is_cold(self) -> bool:
        return self._node.cold_servers.is_cold(self._server_id)

    def usual_slowness(self) -> float | None:
        return self._node.directory.usual_slowness(self._server_id)

    def check(self) -> None:
        node = self._node
        if node.is_forwarding_only and not node.configuration.is_complete:
            # Nodes that knew an earlier process of this one may send requests before
            # it knows which orders and limits are in force.
            raise GuavagapError(
                ErrorKind.SLOTS_TAKEN, "no configuration has been applied yet"
            )
        node.detect_suspension()
        node.evacuation.check()

    def record_event(self, event: ColdEvent) -> None:
        self._node.cold_servers.record_event(self._server_id, event)

    def record_connected(self) -> None:
        self._node.cold_servers.record_connected(self._server_id)

    def record_refusal(self) -> None:
        self._node.cold_servers.record_refusal(self._server_id)
