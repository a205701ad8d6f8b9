"""Deployments in which teams commit documents on the command line."""

import random

import curio

from guavagap.addresses import parse_address
from guavagap.backoff import Backoff
from guavagap.clock import steady_s
from guavagap.commits import read_head
from guavagap.configuration import Configuration
from guavagap.deployment import Deployment
from guavagap.dialect import NATIVE_DIALECT
from guavagap.errors import GuavagapError
from guavagap.key_value import KeyValueStore
from guavagap.logs import get_logger
from guavagap.messages import MemberState
from guavagap.relay import SEEDS_KEY, Relay, decode_seeds
from guavagap.retries import SuccessRetryBudget
from guavagap.rollout_repositories import HeadRolloutRepository
from guavagap.routing import Router
from guavagap.settings import Settings

__all__ = ["DocumentsDeployment"]

log = get_logger()

LEAVE_GRACE_S = 1.0
SYNC_PING_TIMEOUT_S = 1.0
SYNC_BACKOFF_FIRST_S = 0.2
SYNC_BACKOFF_LIMIT_S = 3.0
SYNC_QUERIED_MEMBERS = 5
CATCH_UP_TIMEOUT_S = 2.0
CATCH_UP_POLL_INTERVAL_S = 0.05


class DocumentsDeployment(Deployment):
    """Deployment with head and documents in the platform's key-value store.

    Args:
        settings: the validated settings.
        platform: client of the store.
    """

    dialect = NATIVE_DIALECT
    is_forwarding_only = False
    accept_grace_s = 0.0
    leave_grace_s = LEAVE_GRACE_S
    router_class = Router

    def __init__(self, settings: Settings, platform: KeyValueStore):
        self.platform = platform
        self.configuration = Configuration()
        self.mesh_key_bytes = settings.mesh_key_bytes
        self._lease_ttl_s = settings.relay_lease_ttl_s

    @property
    def call_counts(self):
        """Number of platform calls by kind."""
        return self.platform.call_counts

    def make_relay(self, node):
        return Relay(
            self.platform,
            node.table,
            self.configuration,
            node.disseminator,
            self._lease_ttl_s,
            node.contact_peers,
        )

    def make_rollout_repository(self, node):
        return HeadRolloutRepository(node, self.platform)

    def make_retry_budget(self, share, node_count):
        return SuccessRetryBudget(share)

    async def sync_configuration(self, node):
        """Return after the highest epoch known to peers or platform is applied."""
        backoff = Backoff(SYNC_BACKOFF_FIRST_S, SYNC_BACKOFF_LIMIT_S)
        while True:
            epoch = await self._query_highest_epoch(node)
            if epoch is not None and await self._catch_up(epoch):
                return
            log.warning(
                "configuration not synchronised yet",
                known_epoch=epoch,
                applied=self.configuration.epoch,
            )
            await curio.sleep(backoff.next_s())

    async def _query_highest_epoch(self, node) -> int | None:
        """Return the highest epoch known to peers or platform, or None."""
        membership, table = node.membership, node.table
        await membership.ping_peers(SYNC_PING_TIMEOUT_S)
        platform_epoch = await self._query_platform_epoch(node)
        members = table.peers_in_state(MemberState.ALIVE)
        queried = random.sample(members, min(SYNC_QUERIED_MEMBERS, len(members)))
        for row in queried[:1]:
            await node.sync_members(row.node_id)
        for row in queried:
            await membership.ping(parse_address(row.mesh_address), SYNC_PING_TIMEOUT_S)
        peer_epoch = node.disseminator.highest_epoch_seen
        if platform_epoch is None and not peer_epoch:
            return None
        return max(peer_epoch, platform_epoch or 0)

    async def _query_platform_epoch(self, node) -> int | None:
        try:
            head, _ = await read_head(self.platform)
            if not node.table.peers_in_state(MemberState.ALIVE):
                await self._contact_seeds(node)
            return head["epoch"]
        except GuavagapError as error:
            log.info("platform query failed", why=str(error))
            return None

    async def _contact_seeds(self, node) -> None:
        value = await self.platform.get(SEEDS_KEY)
        if value is not None:
            seeds = decode_seeds(value.body).values()
            await node.contact_peers([seed.mesh_address for seed in seeds])

    async def _catch_up(self, epoch: int) -> bool:
        """Return whether an epoch is applied within ``CATCH_UP_TIMEOUT_S``."""
        deadline_s = steady_s() + CATCH_UP_TIMEOUT_S
        while self.configuration.epoch < epoch:
            if steady_s() > deadline_s:
                return False
            await curio.sleep(CATCH_UP_POLL_INTERVAL_S)
        return True
