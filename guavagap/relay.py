"""The relay of a failure domain: it holds a lease and watches the head.

Only a few candidates of a failure domain request the lease, so the number of
platform calls does not depend on the size of the mesh. Two relays at once do no
harm: both only read the head and push what they have validated, and each node
verifies a pushed delta before it applies it.
"""

import json
import random
from typing import NamedTuple

import curio

from guavagap.backoff import Backoff
from guavagap.clock import steady_s
from guavagap.commits import HEAD_KEY, read_body
from guavagap.configuration import Configuration
from guavagap.dissemination import Disseminator
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Delta, Head, compute_head_digest, decode_head
from guavagap.key_value import ABSENT, KeyValueStore
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.rendezvous import rendezvous_order
from guavagap.tasks import TaskScope

__all__ = [
    "Relay",
    "SEEDS_KEY",
    "Seed",
    "decode_seeds",
    "encode_seeds",
    "lease_key",
]

log = get_logger()

RELAY_CANDIDATES = 3
# A watch that is never answered delays a new head by this and the time limit of a call.
HEAD_WATCH_TIMEOUT_S = 8.0
RENEWALS_PER_TTL = 3
LEASE_POLL_SHARE_OF_TTL = 0.5
RANK_DELAY_SHARE_OF_TTL = 0.05
BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 5.0
SEEDS_KEY = "seeds"
SEED_WRITE_ATTEMPTS = 10
SEED_WRITE_BACKOFF_S = 1.0


class _Lease(NamedTuple):
    revision: str
    renewed_at_s: float


def lease_key(failure_domain: str) -> str:
    """Return the platform key of a failure domain's relay lease."""
    return f"relay/{failure_domain}"


class Seed(NamedTuple):
    """Addresses of the latest relay of a failure domain."""

    mesh_address: str
    admin_address: str


def encode_seeds(seeds: dict[str, Seed]) -> bytes:
    """Encode the seeds, by failure domain, as JSON."""
    return json.dumps(seeds, sort_keys=True).encode()


def decode_seeds(body: bytes) -> dict[str, Seed]:
    """Decode the seeds, by failure domain.

    Raises:
        GuavagapError: FRAME_INVALID when the body is not a JSON object of seeds.
    """
    try:
        return {str(key): Seed(*value) for key, value in json.loads(body).items()}
    except (ValueError, TypeError, AttributeError) as error:
        raise GuavagapError(ErrorKind.FRAME_INVALID, f"seeds: {error}") from None


class Relay:
    """Candidate for the lease, which relays the head while it holds the lease.

    Args:
        platform: store of the head, the lease and the seeds.
        table: the member table; ``is_relay`` of the local row follows the lease.
        configuration: configuration that a new head is applied to.
        disseminator: pushes applied deltas.
        lease_ttl_s: time-to-live of the lease.
        introduce: coroutine function that introduces this node to the nodes at
            some mesh addresses.

    Attributes:
        is_active: whether this node is the relay; the lease may have expired since.
        platform_epoch: the latest epoch read from the platform, or None.
        has_regressed: whether the platform's epoch is below the applied one, or the
            same epoch has different content.
    """

    def __init__(
        self,
        platform: KeyValueStore,
        table: MemberTable,
        configuration: Configuration,
        disseminator: Disseminator,
        lease_ttl_s: float,
        introduce,
    ):
        self.is_active = False
        self.platform_epoch: int | None = None
        self.has_regressed = False
        self._platform = platform
        self._table = table
        self._configuration = configuration
        self._disseminator = disseminator
        self._lease_ttl_s = lease_ttl_s
        self._introduce = introduce
        self._revision = ABSENT

    async def run(self, scope: TaskScope) -> None:
        """Request the lease and relay while holding it, until cancelled."""
        backoff = Backoff(BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            rank = self._rank()
            if rank >= RELAY_CANDIDATES:
                await curio.sleep(self._lease_ttl_s)
                continue
            try:
                lease = await self._try_acquire(rank)
                backoff.reset()
                if lease is not None:
                    await self._run_as_relay(lease, scope)
            except GuavagapError as error:
                log.debug("relay lease not acquired", why=str(error))
                await curio.sleep(backoff.next_s())

    def _rank(self) -> int:
        local = self._table.local
        members = self._table.alive_in_domain(local.failure_domain)
        order = rendezvous_order(
            local.failure_domain, [row.node_id for row in members], str
        )
        return (
            order.index(local.node_id) if local.node_id in order else RELAY_CANDIDATES
        )

    async def _try_acquire(self, rank: int) -> _Lease | None:
        """Try once to acquire the lease; wait if another node holds it."""
        key = lease_key(self._table.local.failure_domain)
        value = await self._platform.get(key)
        if value is not None and value.body == self._lease_body():
            return await self._renew(_Lease(value.revision, 0))
        if value is not None:
            share = LEASE_POLL_SHARE_OF_TTL + rank * RANK_DELAY_SHARE_OF_TTL
            await curio.sleep(share * self._lease_ttl_s)
            return None
        return await self._renew(_Lease(ABSENT, 0))

    def _lease_body(self) -> bytes:
        local = self._table.local
        return f"{local.node_id} {local.mesh_address}".encode()

    async def _renew(self, lease: _Lease) -> _Lease | None:
        """Write the lease; return None when another node holds it."""
        key = lease_key(self._table.local.failure_domain)
        started_s = steady_s()
        try:
            revision = await self._platform.put(
                key, self._lease_body(), lease.revision, self._lease_ttl_s
            )
        except GuavagapError as error:
            if error.kind is ErrorKind.CONFLICT:
                return None
            raise
        return _Lease(revision, started_s)

    async def _run_as_relay(self, lease: _Lease, scope: TaskScope) -> None:
        """Relay the head until the lease expires or another node holds it."""
        self._set_relay_role(True)
        watcher = await scope.spawn(self._watch_head)
        await scope.spawn(self._exchange_seeds)
        try:
            while True:
                await curio.sleep(self._lease_ttl_s / RENEWALS_PER_TTL)
                lease = await self._renew_or_keep(lease)
                if lease is None:
                    return
        finally:
            await watcher.cancel(blocking=False)
            self._set_relay_role(False)

    async def _renew_or_keep(self, lease: _Lease) -> _Lease | None:
        try:
            return await self._renew(lease)
        except GuavagapError as error:
            log.info("relay lease not renewed", why=str(error))
        if steady_s() - lease.renewed_at_s > self._lease_ttl_s:
            return None
        return lease

    def _set_relay_role(self, is_active: bool) -> None:
        if is_active == self.is_active:
            return
        self.is_active = is_active
        self._table.publish(is_relay=is_active)
        log.info("relay lease", is_held=is_active)

    async def _exchange_seeds(self) -> None:
        """Publish the local addresses and contact the relays of other domains."""
        local = self._table.local
        for _ in range(SEED_WRITE_ATTEMPTS):
            try:
                value = await self._platform.get(SEEDS_KEY)
                seeds = {} if value is None else decode_seeds(value.body)
                revision = ABSENT if value is None else value.revision
                local_seed = Seed(local.mesh_address, local.admin_address)
                if seeds.get(local.failure_domain) != local_seed:
                    seeds[local.failure_domain] = local_seed
                    await self._platform.put(SEEDS_KEY, encode_seeds(seeds), revision)
                await self._introduce([seed.mesh_address for seed in seeds.values()])
                return
            except GuavagapError as error:
                log.info("seeds not written", why=str(error))
                await curio.sleep(random.uniform(0, SEED_WRITE_BACKOFF_S))

    async def release(self) -> None:
        """Release the lease at a graceful shutdown."""
        if not self.is_active:
            return
        key = lease_key(self._table.local.failure_domain)
        try:
            value = await self._platform.get(key)
            if value is not None and value.body == self._lease_body():
                await self._platform.delete(key, value.revision)
        except GuavagapError as error:
            log.info("relay lease not released", why=str(error))

    async def _watch_head(self) -> None:
        backoff = Backoff(BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            try:
                await self._watch_head_once()
                backoff.reset()
            except GuavagapError as error:
                log.warning("head not relayed", why=str(error))
                await curio.sleep(backoff.next_s())

    async def _watch_head_once(self) -> None:
        value = await self._platform.watch(
            HEAD_KEY, self._revision, HEAD_WATCH_TIMEOUT_S
        )
        if value is None:
            self._record_regression(self._configuration.epoch > 0, 0)
            return
        if value.revision == self._revision:
            return
        delta = await self.apply_head(decode_head(value.body))
        self._revision = value.revision
        if delta is not None:
            await self._disseminator.push_as_root(delta)

    async def apply_head(self, head: Head) -> Delta | None:
        """Fetch the documents that a head refers to and apply it.

        Returns:
            The applied delta, or None when the head's epoch is not higher.
        """
        self.platform_epoch = head["epoch"]
        local_epoch = self._configuration.epoch
        digest = compute_head_digest(head["epoch"], head["entries"])
        self._check_history(head, digest)
        if head["epoch"] <= local_epoch:
            return None
        entries = {
            service: entry
            for service, entry in head["entries"].items()
            if entry["epoch"] > local_epoch
        }
        changed = {
            service: entry
            for service, entry in entries.items()
            if entry["document_epoch"] > local_epoch
        }
        bodies = await self._read_bodies(changed)
        delta = Delta(local_epoch, head["epoch"], entries, bodies, digest)
        try:
            is_applied = self._configuration.apply(delta)
        except GuavagapError as error:
            log.warning("delta not applicable, applying the whole head", why=str(error))
            bodies = await self._read_bodies(head["entries"])
            delta = Delta(0, head["epoch"], head["entries"], bodies, digest)
            is_applied = self._configuration.apply(delta)
        return delta if is_applied else None

    async def _read_bodies(self, entries: dict) -> dict[str, bytes]:
        bodies = {}
        for service, entry in entries.items():
            digest = entry["digest"]
            if entry["is_deleted"]:
                continue
            if self._configuration.has_body(digest):
                bodies[digest] = self._configuration.bodies[digest]
            else:
                bodies[digest] = await read_body(self._platform, service, digest)
        return bodies

    def _check_history(self, head: Head, digest: str) -> None:
        """Raise an alarm if the head is older than the applied one or conflicts."""
        local_epoch = self._configuration.epoch
        is_conflicting = head["epoch"] == local_epoch and digest != (
            self._configuration.head_digest
        )
        self._record_regression(
            head["epoch"] < local_epoch or is_conflicting, head["epoch"]
        )

    def _record_regression(self, has_regressed: bool, read_epoch: int) -> None:
        if has_regressed and not self.has_regressed:
            log.error(
                "platform went back in time",
                read=read_epoch,
                applied=self._configuration.epoch,
            )
        self.has_regressed = has_regressed
