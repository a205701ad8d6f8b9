"""Keeps the proof that a node needs to accept API keys; see ``configuration_age``.

The first member of each failure domain reads the store as often as the proof requires.
The others ask it, or another member that has a proof, and read the store themselves
only if they learn nothing. Nothing crosses failure domains, except after a restore of
the store: it may show a configuration that it showed before, and what was changed since
is known to some nodes only. Then the first members of each failure domain ask one of
each other failure domain for the version that it has, before they rely on the store
again.
"""

import math
import random
from collections import Counter
from typing import Callable

import curio

from guavagap.backoff import Backoff
from guavagap.clock import steady_s
from guavagap.configuration_age import ConfigurationAge, Proof
from guavagap.declared_configuration import DeclaredConfiguration
from guavagap.dissemination import Disseminator
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.messages import (
    ConfigurationAgeReply,
    ConfigurationAgeRequest,
    MemberState,
)
from guavagap.metadata_store import MetadataStore
from guavagap.store_positions import (
    BEGINNING,
    StorePosition,
    describe_epoch,
    position_of_epoch,
)
from guavagap.tasks import run_step

__all__ = ["ConfigurationProofs", "UntrackedConfiguration"]

log = get_logger()

MIN_CHECK_INTERVAL_S = 0.1
# A restore of the store, or customers in a new configuration, are noticed within this.
MAX_CHECK_INTERVAL_S = 0.5
IDLE_CHECK_INTERVAL_S = 0.25
# Ages, as shares of the one that is accepted, at which a node looks for a newer proof:
# the first member of the failure domain in the store, the others at another member.
STORE_READ_SHARE = 0.3
ASK_SHARE = 0.5
# If no member has one, the second member of the failure domain reads the store at once,
# and the others at ages that increase with their rank up to the last share: those that
# ask again then find that one has read it.
RANK_SHARE = 0.05
LAST_RESORT_SHARE = 0.7
# A member that has read the store because no other had a proof goes on for this time,
# and others ask it first.
SUBSTITUTE_S = 5.0
# Members that compare their configuration with other failure domains after a restore.
READERS_PER_DOMAIN = 2
ASKED_AT_ONCE = 2
# While no member has a proof, the pauses between rounds double up to the second one.
ASK_RETRY_FIRST_S = 0.25
ASK_RETRY_LIMIT_S = 1.0
# A node that is stopped retires the link; a busy one replies within this time.
ASK_TIMEOUT_S = 0.8
# A key that is unknown here may have been added since the proof. It is reported as
# unknown only while the proof is younger than this share, which is less than a new
# configuration has for its way to all nodes.
UNKNOWN_KEY_SHARE = 0.6
# The store needs about 0.3 s while it is slow.
READ_TIMEOUT_S = 1.0
# A change that a read has shown is brought by a watch, usually within this time.
READ_NEWER_PAUSE_S = 0.3
READ_BACKOFF_FIRST_S = 1.0
READ_BACKOFF_LIMIT_S = 4.0
# Nodes that are compared with after a restore may just have been started.
COMPARISON_RETRY_S = 0.3
# Nodes write their entries again within two seconds of a restore.
ALONE_AFTER_S = 5.0
ASKED_PER_DOMAIN = 2
MAX_AGE_MS = 2**32 - 1
MAX_VERSION = 2**64 - 1


class UntrackedConfiguration:
    """Stands for the proof where keys need not be refused in time."""

    counts: Counter[str] = Counter()

    def is_current(self) -> bool:
        """Return whether keys may be accepted."""
        return True

    def is_recent(self) -> bool:
        """Return whether a key that is unknown here may be reported as unknown."""
        return True

    def tracked_age_s(self) -> float | None:
        """Return the age of the proof, None if it is not tracked."""
        return None

    def build_reply(self, request: ConfigurationAgeRequest) -> ConfigurationAgeReply:
        """Return the reply to a node that asks for a proof."""
        return ConfigurationAgeReply(request.call_id, False, 0, 0, 0)


class ConfigurationProofs:
    """The proof of one node and where it gets it from.

    Args:
        revocation_s: time after which a withdrawn key must not be honoured.
        margin_s: part of that time which is left for what a proof does not cover.
        configuration: the mirrored configuration.
        table: the member table.
        links: links to other nodes.
        disseminator: fetches content of other nodes.
        store: the metadata store.
        configuration_key: key of the configuration in the store.
        key_era: returns the era of the store in which the mesh began.
        has_entries: returns whether the store lists other nodes.
        clock: steady clock in seconds that includes suspended time.

    Attributes:
        counts: proofs by source, and readings that gave none.
    """

    def __init__(
        self,
        revocation_s: float,
        margin_s: float,
        configuration: DeclaredConfiguration,
        table: MemberTable,
        links,
        disseminator: Disseminator,
        store: MetadataStore,
        configuration_key: str,
        key_era: Callable[[], int],
        has_entries: Callable[[], bool],
        clock: Callable[[], float] = steady_s,
    ):
        self.counts: Counter[str] = Counter()
        self._age = ConfigurationAge(revocation_s - margin_s, clock)
        self._configuration = configuration
        self._table = table
        self._links = links
        self._disseminator = disseminator
        self._store = store
        self._configuration_key = configuration_key
        self._read_position = BEGINNING
        self._key_era = key_era
        self._has_entries = has_entries
        self._clock = clock
        self._compared_era = -1
        self._next_comparison_s = -math.inf
        self._alone_since_s = math.inf
        self._next_ask_s = -math.inf
        self._ask_retry_s = ASK_RETRY_FIRST_S
        self._next_read_s = -math.inf
        self._read_backoff = Backoff(READ_BACKOFF_FIRST_S, READ_BACKOFF_LIMIT_S)
        self._is_read_failing = False
        self._reader_until_s = -math.inf
        self._source_index = 0
        self._source_until_s = -math.inf
        self._was_current: bool | None = None

    @property
    def is_needed(self) -> bool:
        """Whether the configuration in force has customers."""
        return not self._configuration.snapshot.customers.is_empty

    def is_current(self) -> bool:
        """Return whether keys may be accepted."""
        if not self.is_needed:
            return True
        self._advance()
        is_current = self._age.is_current(self._clock())
        self._log_change(is_current)
        return is_current

    def is_recent(self) -> bool:
        """Return whether a key that is unknown here may be reported as unknown."""
        return not self.is_needed or not self._is_older(UNKNOWN_KEY_SHARE)

    def tracked_age_s(self) -> float | None:
        """Return the age of the proof, None if it is not tracked."""
        return self._age_s() if self.is_needed else None

    def build_reply(self, request: ConfigurationAgeRequest) -> ConfigurationAgeReply:
        """Return the reply to a node that asks for a proof or for the version."""
        is_known = self.is_needed and self._is_era_confirmed() and self.is_current()
        age_ms = math.ceil(self._age_s() * 1000) if is_known else 0
        return ConfigurationAgeReply(
            request.call_id,
            is_known,
            min(age_ms, MAX_AGE_MS),
            self._configuration.epoch,
            self._version(),
        )

    def record_read(self, sent_at_s: float, position: StorePosition) -> None:
        """Record that all changes which a read of the store has shown are in force.

        Args:
            sent_at_s: when the read was sent.
            position: the position up to which the store has responded.
        """
        self._read_position = max(self._read_position, position)
        if self.is_needed:
            self._record_store_proof(sent_at_s, position, "watch")

    async def run(self) -> None:
        """Look for newer proofs while the configuration has customers."""
        while True:
            await curio.sleep(self._check_delay_s())
            if not self.is_needed:
                self._was_current = None
                continue
            await run_step(self._confirm_era)
            await run_step(self._refresh)
            self.is_current()

    def _check_delay_s(self) -> float:
        """Return the time until the proof may have to be refreshed."""
        if not self.is_needed:
            return IDLE_CHECK_INTERVAL_S
        share = STORE_READ_SHARE if self._is_reader() else ASK_SHARE
        remaining_s = share * self._age.max_age_s - self._age_s()
        return min(max(remaining_s, MIN_CHECK_INTERVAL_S), MAX_CHECK_INTERVAL_S)

    def _version(self) -> int:
        declaration = self._configuration.declaration
        version = 0 if declaration is None else declaration.version
        return max(0, min(version, MAX_VERSION))

    def _advance(self) -> None:
        self._age.advance(self._configuration.epoch, self._version())

    def _age_s(self) -> float:
        self._advance()
        return self._age.age_s(self._clock())

    def _is_older(self, share: float) -> bool:
        return self._age_s() >= share * self._age.max_age_s

    def _log_change(self, is_current: bool) -> None:
        if is_current == self._was_current:
            return
        age_s = self._age_s()
        fields = {
            "age_s": round(age_s, 3) if age_s < math.inf else None,
            "epoch": describe_epoch(self._configuration.epoch),
            "version": self._version(),
        }
        if is_current:
            log.info("keys accepted", **fields)
        elif self._was_current:
            log.warning("keys refused, no proof of a current configuration", **fields)
        else:
            log.info("keys not accepted before the first proof", **fields)
        self._was_current = is_current

    async def _refresh(self) -> None:
        """Look for a newer proof if the present one is old."""
        is_reader = self._is_reader()
        if is_reader and not self._is_read_failing and self._is_older(STORE_READ_SHARE):
            if await self._read_store():
                return
        if not self._is_older(ASK_SHARE) or self._clock() < self._next_ask_s:
            return
        if await self._ask_members():
            self._ask_retry_s = ASK_RETRY_FIRST_S
            if is_reader and self._is_read_failing:
                # There is time for a call that may not be answered.
                await self._read_store()
            return
        self._next_ask_s = self._clock() + self._ask_retry_s
        self._ask_retry_s = min(2 * self._ask_retry_s, ASK_RETRY_LIMIT_S)
        if not is_reader and not self._is_older(self._last_resort_share()):
            return
        if await self._read_store() and not is_reader:
            self._reader_until_s = self._clock() + SUBSTITUTE_S

    def _is_reader(self) -> bool:
        """Return whether other members rely on this node to read the store."""
        if self._table.local_domain_rank() == 0:
            return True
        return self._clock() < self._reader_until_s

    def _last_resort_share(self) -> float:
        rank = self._table.local_domain_rank()
        return min(ASK_SHARE + RANK_SHARE * (rank - 1), LAST_RESORT_SHARE)

    async def _ask_members(self) -> bool:
        """Ask some members of the failure domain; return whether one has a newer proof.

        The one that had one last time is asked first, then some others at once. Each
        time that none has one, the next ones in the order on which all members agree
        are asked.
        """
        local_id = self._table.local.node_id
        order = [row for row in self._table.local_domain_order() if row != local_id]
        if self._clock() >= self._source_until_s:
            self._source_index = 0
            self._source_until_s = self._clock() + SUBSTITUTE_S
        first = self._source_index % max(1, len(order))
        order = (order[first:] + order[:first])[: 1 + ASKED_AT_ONCE]
        if not order:
            return False
        await self._ask(order[0])
        if not self._is_older(ASK_SHARE):
            return True
        async with curio.TaskGroup() as tasks:
            for node_id in order[1:]:
                await tasks.spawn(self._ask, node_id)
        self._source_index = first + 1
        if not self._is_older(ASK_SHARE):
            return True
        self._source_index = first + len(order)
        self.counts["members_without"] += 1
        return False

    async def _ask(self, node_id: str) -> None:
        """Ask a node for its proof and record it."""
        sent_at_s = self._clock()
        reply = await self._call(node_id)
        if reply is None or not reply.is_known:
            return
        proven_at_s = sent_at_s - reply.age_ms / 1000
        self._age.record(Proof(proven_at_s, reply.epoch, reply.version))
        self._advance()
        self.counts["member"] += 1
        era = position_of_epoch(reply.epoch).era
        if self._version() >= reply.version and era > self._compared_era:
            # The other node has compared what it has, and this one has no less.
            self._compared_era = era

    async def _call(self, node_id: str) -> ConfigurationAgeReply | None:
        try:
            link = await self._links.get(node_id)
            return await link.call(ConfigurationAgeRequest(0), ASK_TIMEOUT_S)
        except GuavagapError as error:
            log.info("age of configuration not learned", peer=node_id, why=str(error))
            return None

    async def _read_store(self) -> bool:
        """Read the configuration's key; return whether that gives a proof."""
        sent_at_s = self._clock()
        if sent_at_s < self._next_read_s or not self._is_era_confirmed():
            return False
        try:
            async with curio.timeout_after(READ_TIMEOUT_S):
                position = await self._read_position_without_change()
        except (GuavagapError, curio.TaskTimeout):
            self.counts["read_failed"] += 1
            self._is_read_failing = True
            self._next_read_s = self._clock() + self._read_backoff.next_s()
            return False
        self._is_read_failing = False
        self._read_backoff.reset()
        if position is None:
            self.counts["read_newer"] += 1
            self._next_read_s = self._clock() + READ_NEWER_PAUSE_S
            return False
        self._read_position = max(self._read_position, position)
        return self._record_store_proof(sent_at_s, position, "read")

    async def _read_position_without_change(self) -> StorePosition | None:
        """Return the position of the store if it shows nothing newer than is in force.

        A watch that does not wait is small. The store retains its history for seconds
        only, so a node that has not read it for longer gets the key itself once.
        """
        key = self._configuration_key
        after = max(self._configuration.position, self._read_position)
        try:
            listing = await self._store.watch_prefix(key, after, 0.0, READ_TIMEOUT_S)
        except GuavagapError as error:
            if error.kind is not ErrorKind.HISTORY_LOST:
                raise
            return await self._get_position_without_change()
        is_unchanged = not listing.items and listing.as_of >= after
        return listing.as_of if is_unchanged else None

    async def _get_position_without_change(self) -> StorePosition | None:
        key = self._configuration_key
        item, position = await self._store.get(key)
        shown_at = position.start_of_era if item is None else item.position
        is_unchanged = shown_at == self._configuration.condition_of(key)
        return position if is_unchanged else None

    def _record_store_proof(
        self, sent_at_s: float, position: StorePosition, source: str
    ) -> bool:
        # What a read in an earlier era has shown is not put in force.
        is_earlier = position.era < self._configuration.position.era
        if is_earlier or not self._is_era_confirmed(position.era):
            self.counts["era_unconfirmed"] += 1
            return False
        self._advance()
        proof = Proof(sent_at_s, self._configuration.epoch, self._version())
        self._age.record(proof)
        self.counts[source] += 1
        return True

    def _is_era_confirmed(self, era: int | None = None) -> bool:
        """Return whether a read in an era of the store shows the newest configuration.

        It does in the era in which the mesh began. Of a later one this is known once
        the configuration was compared with those of other nodes.
        """
        if era is None:
            era = self._configuration.position.era
        return era <= max(self._key_era(), self._compared_era)

    async def _confirm_era(self) -> None:
        """Compare the configuration with those of other nodes after a restore."""
        if self._is_era_confirmed() or self._clock() < self._next_comparison_s:
            return
        is_reader = self._table.local_domain_rank() < READERS_PER_DOMAIN
        if not is_reader and not self._is_older(LAST_RESORT_SHARE):
            return
        self._next_comparison_s = self._clock() + COMPARISON_RETRY_S
        era = self._configuration.position.era
        groups = self._comparison_groups()
        if groups is None:
            return
        results: list[bool] = []

        async def compare(node_ids: list[str]) -> None:
            results.append(await self._compare_with_one(node_ids))

        async with curio.TaskGroup() as tasks:
            for node_ids in groups:
                await tasks.spawn(compare, node_ids)
        # A comparison that raises has no result and ends the others.
        if len(results) < len(groups) or not all(results):
            return
        self._compared_era = max(self._compared_era, era)
        log.info(
            "configuration compared after a restore",
            era=era,
            nodes=len(groups),
            version=self._version(),
        )

    def _comparison_groups(self) -> list[list[str]] | None:
        """Return the members of each other failure domain that can be asked.

        With a single failure domain, those of the local one. Returns None if there is
        nobody to ask now although there are other nodes.
        """
        table = self._table
        groups: dict[str, list[str]] = {}
        for row in table.peers_in_state(MemberState.ALIVE, MemberState.SUSPECT):
            groups.setdefault(row.failure_domain, []).append(row.node_id)
        local = groups.pop(table.local.failure_domain, [])
        if not groups:
            if local:
                return [local]
            return [] if self._is_alone() else None
        reachable = [
            node_ids
            for domain, node_ids in groups.items()
            if domain not in table.unreachable_domains
        ]
        return reachable or None

    def _is_alone(self) -> bool:
        """Return whether no other node has run for a time in which it would be known.

        After a restore, nodes write their entries in the store again.
        """
        has_lost = bool(self._table.peers_in_state(MemberState.DEAD))
        if has_lost or self._has_entries():
            self._alone_since_s = math.inf
            return False
        now_s = self._clock()
        self._alone_since_s = min(self._alone_since_s, now_s)
        return now_s - self._alone_since_s >= ALONE_AFTER_S

    async def _compare_with_one(self, node_ids: list[str]) -> bool:
        """Return whether this node has no less than one of the given nodes.

        What it lacks is fetched from that node.
        """
        asked = random.sample(node_ids, min(ASKED_PER_DOMAIN, len(node_ids)))
        for node_id in asked:
            reply = await self._call(node_id)
            if reply is None or not reply.version:
                # A node without a configuration has nothing to compare.
                continue
            if reply.version > self._version():
                await self._disseminator.fetch_content(node_id)
            return self._version() >= reply.version
        return False
