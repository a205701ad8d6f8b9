"""Interface to the parts that differ between kinds of deployment."""

from abc import ABC, abstractmethod
from collections import Counter

from guavagap.configuration_proofs import UntrackedConfiguration
from guavagap.dialect import Dialect
from guavagap.retries import RetryBudget
from guavagap.rollout_repositories import RolloutRepository

__all__ = ["Deployment"]


class Deployment(ABC):
    """Source of the configuration, and protocol of callers and backend servers.

    Attributes:
        dialect: headers of callers and backend servers.
        is_forwarding_only: whether a backend server is reachable from its VM only.
        accept_grace_s: how long a node that is shutting down accepts connections of
            callers.
        leave_grace_s: time between the announcement that a node leaves the mesh and
            its termination.
        router_class: class that selects the targets of requests.
        configuration: the configuration of the node and its routing snapshot.
        mesh_key_bytes: key that authenticates links and datagrams.
        must_learn_departures: whether a starting node has to learn which backend
            servers its earlier processes knew to leave; see
            :mod:`guavagap.departures`.
        is_key_shared: whether nodes may send the key to members that request it.
        call_counts: number of platform calls by kind.
        history_era: number of the store's history, one higher after each restore from a
            copy; 0 if it is unknown.
        recovery_counts: restores of the store that this node has seen, and what it has
            written again after them, by kind.
    """

    dialect: Dialect
    is_forwarding_only: bool
    accept_grace_s: float
    leave_grace_s: float
    router_class: type
    mesh_key_bytes: bytes
    must_learn_departures: bool = False
    is_key_shared: bool = False
    call_counts: Counter[str]
    history_era: int = 0
    recovery_counts: Counter[str] = Counter()

    @abstractmethod
    def make_relay(self, node):
        """Return the role that relays configuration to a failure domain."""

    def make_proofs(self, node):
        """Return what proves that the configuration of the node is the newest one."""
        return UntrackedConfiguration()

    @abstractmethod
    def make_rollout_repository(self, node) -> RolloutRepository:
        """Return the repository of the rollouts."""

    @abstractmethod
    def make_retry_budget(self, share: float, node_count: int) -> RetryBudget:
        """Return one node's share of the retry budget of a service or route."""

    @abstractmethod
    async def sync_configuration(self, node) -> None:
        """Return after the newest available configuration has been applied."""

    async def confirm_departures(self, node) -> bool:
        """Return whether more than this process knows of its departures.

        Where drains end with a new announcement, nothing has to outlive the process.
        """
        return True

    async def start(self, node) -> None:
        """Start the roles of the node that this kind of deployment needs."""
