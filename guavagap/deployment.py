"""The port to what differs between kinds of deployment."""

from abc import ABC, abstractmethod
from collections import Counter

from guavagap.dialect import Dialect
from guavagap.retries import RetryBudget
from guavagap.rollout_repositories import RolloutRepository

__all__ = ["Deployment"]


class Deployment(ABC):
    """Where configuration comes from, and how callers and backend servers speak.

    Attributes:
        dialect: headers of callers and backend servers.
        is_forwarding_only: whether a backend server is reached from its VM only.
        accept_after_stop_s: how long callers may still connect to a node that is
            shutting down.
        stop_notice_s: time between the word that a node leaves and its end.
        router_class: chooses targets.
        configuration: what is held and routed by.
        mesh_key_bytes: key of links and datagrams.
        is_key_shared: whether nodes may give the key to members that ask for it.
        call_counts: calls of the platform by kind.
    """

    dialect: Dialect
    is_forwarding_only: bool
    accept_grace_s: float
    leave_grace_s: float
    router_class: type
    mesh_key_bytes: bytes
    is_key_shared: bool = False
    call_counts: Counter[str]

    @abstractmethod
    def make_relay(self, node):
        """Return the role that brings configuration to a failure domain."""

    @abstractmethod
    def make_rollout_repository(self, node) -> RolloutRepository:
        """Return where rollouts are read from and kept."""

    @abstractmethod
    def make_retry_budget(self, share: float, node_count: int) -> RetryBudget:
        """Return one node's part of the retries of a service or route."""

    @abstractmethod
    async def sync_configuration(self, node) -> None:
        """Return when the newest configuration that can be had is applied."""

    async def start(self, node) -> None:
        """Start further roles of the node."""
