"""Idempotency keys: a request with a key runs at most once in the mesh.

Before a node runs a request with a key, it claims the key at several witnesses, one
after the other. The witnesses are chosen by the key and the member table, spread over
failure domains. If the key has another owner, the request is not run: the response
comes from that owner's record, or the request is refused. It is also refused when a
witness is unreachable, so a network partition never makes it run twice. A key expires
``KEY_LIFETIME_S`` after its claim, and earlier if all of its witnesses are restarted or
replaced within that time.
"""

import uuid
from collections import OrderedDict
from typing import NamedTuple

from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import ResponseHead
from guavagap.links import LinkPool
from guavagap.members import MemberTable
from guavagap.messages import (
    KeyClaim,
    KeyClaimReply,
    KeyLookup,
    KeyLookupReply,
    KeyState,
    Member,
    MemberState,
)
from guavagap.rendezvous import rendezvous_order

__all__ = ["KEY_LIFETIME_S", "IdempotencyKeys", "WITNESS_COUNT", "choose_witnesses"]

WITNESS_COUNT = 3
KEY_LIFETIME_S = 600.0
MAX_KEYS = 50_000
CLAIM_TIMEOUT_S = 1.0
OWNER_ID_SEPARATOR = "#"


class _ClaimRecord(NamedTuple):
    owner_id: str
    digest: bytes
    expires_at_s: float


class _OutcomeRecord(NamedTuple):
    state: KeyState
    response: ResponseHead | None
    expires_at_s: float


def choose_witnesses(key: bytes, rows: list[Member]) -> list[Member]:
    """Return the witnesses of a key, in different failure domains if possible.

    Args:
        key: the idempotency key.
        rows: rows of the alive and suspect members.
    """
    order = rendezvous_order(key.hex(), rows, lambda row: row.node_id)
    chosen: list[Member] = []
    for row in order:
        domains = {witness.failure_domain for witness in chosen}
        if row.failure_domain not in domains and len(chosen) < WITNESS_COUNT:
            chosen.append(row)
    for row in order:
        if len(chosen) < WITNESS_COUNT and row not in chosen:
            chosen.append(row)
    return chosen


class IdempotencyKeys:
    """Keys claimed by this node, and claims that it has recorded as a witness.

    Args:
        table: the member table.
        links: links to witnesses and owners.
        clock: returns seconds of a steady clock.
    """

    def __init__(self, table: MemberTable, links: LinkPool, clock):
        self._table = table
        self._links = links
        self._clock = clock
        self._claims: OrderedDict[bytes, _ClaimRecord] = OrderedDict()
        self._outcomes: OrderedDict[bytes, _OutcomeRecord] = OrderedDict()
        self._running: dict[bytes, KeyClaim] = {}

    def __len__(self) -> int:
        return len(self._claims) + len(self._outcomes)

    async def claim(self, key: bytes, digest: bytes) -> ResponseHead | None:
        """Claim a key at its witnesses.

        Returns:
            None when this node may run the request, otherwise the recorded
            response of the request that ran before.

        Raises:
            GuavagapError: KEY_IN_PROGRESS, KEY_OUTCOME_UNKNOWN, KEY_REUSED,
                KEY_WITNESS_UNREACHABLE or OVERLOADED; nothing was run.
        """
        self._remove_expired()
        if len(self._outcomes) >= MAX_KEYS:
            raise GuavagapError(
                ErrorKind.OVERLOADED, "too many idempotency keys in use"
            )
        claim = KeyClaim(0, key, digest, self._new_owner_id(), False)
        claimed: list[Member] = []
        for witness in self._witnesses(key):
            try:
                reply = await self._send_claim(witness, claim)
            except GuavagapError as error:
                # The claim may be recorded although no reply arrived.
                await self._release_at([*claimed, witness], claim)
                raise GuavagapError(
                    ErrorKind.KEY_WITNESS_UNREACHABLE,
                    f"witness {witness.node_id}: {error.detail}",
                ) from None
            if reply.is_full or reply.is_taken:
                await self._release_at(claimed, claim)
            if reply.is_full:
                raise GuavagapError(
                    ErrorKind.OVERLOADED, "a witness cannot record more keys"
                )
            if reply.is_taken:
                return await self._recorded_response(key, digest, reply)
            claimed.append(witness)
        self._store_outcome(key, KeyState.RUNNING, None)
        self._running[key] = claim
        return None

    def _new_owner_id(self) -> str:
        """Return an owner identifier that is unique to one claim."""
        return f"{self._table.local.node_id}{OWNER_ID_SEPARATOR}{uuid.uuid4().hex}"

    def _witnesses(self, key: bytes) -> list[Member]:
        rows = [
            row
            for row in self._table.rows()
            if row.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]
        return choose_witnesses(key, rows)

    async def _send_claim(self, witness: Member, claim: KeyClaim) -> KeyClaimReply:
        if witness.node_id == self._table.local.node_id:
            return self.handle_claim(claim)
        link = await self._links.get(witness.node_id)
        return await link.call(claim, CLAIM_TIMEOUT_S)

    async def _release_at(self, witnesses: list[Member], claim: KeyClaim) -> None:
        for witness in witnesses:
            try:
                await self._send_claim(witness, claim._replace(is_release=True))
            except GuavagapError:
                # The record expires; until then the witness refuses the key.
                continue

    async def _recorded_response(
        self, key: bytes, digest: bytes, reply: KeyClaimReply
    ) -> ResponseHead:
        if reply.digest != digest:
            raise GuavagapError(
                ErrorKind.KEY_REUSED, "the key was used for another request"
            )
        record = await self._lookup_outcome(key, reply.owner_id)
        if record.state == KeyState.RUNNING:
            raise GuavagapError(
                ErrorKind.KEY_IN_PROGRESS, "the first request is still running"
            )
        if record.state != KeyState.DONE:
            raise GuavagapError(
                ErrorKind.KEY_OUTCOME_UNKNOWN,
                "the request may have run before; its response is unknown",
            )
        headers = list(record.headers)
        return ResponseHead(record.status, headers, [record.body], True)

    async def _lookup_outcome(self, key: bytes, owner_id: str) -> KeyLookupReply:
        lookup = KeyLookup(0, key)
        node_id = owner_id.partition(OWNER_ID_SEPARATOR)[0]
        if node_id == self._table.local.node_id:
            return self.handle_lookup(lookup)
        try:
            link = await self._links.get(node_id)
            return await link.call(lookup, CLAIM_TIMEOUT_S)
        except GuavagapError:
            return KeyLookupReply(0, int(KeyState.UNKNOWN), 0, (), b"")

    def record_outcome(self, key: bytes, response: ResponseHead | None) -> None:
        """Record the outcome of a request that was run or may have been run.

        Args:
            key: the idempotency key.
            response: the whole response, None when it is unknown or too large.
        """
        self._running.pop(key, None)
        is_known = response is not None and response.is_complete
        state = KeyState.DONE if is_known else KeyState.UNKNOWN
        self._store_outcome(key, state, response if is_known else None)

    async def release(self, key: bytes) -> None:
        """Release a key whose request was not run."""
        self._outcomes.pop(key, None)
        claim = self._running.pop(key, None)
        if claim is not None:
            await self._release_at(self._witnesses(key), claim)

    def _store_outcome(
        self, key: bytes, state: KeyState, response: ResponseHead | None
    ) -> None:
        self._outcomes.pop(key, None)
        expires_at_s = self._clock() + KEY_LIFETIME_S
        self._outcomes[key] = _OutcomeRecord(state, response, expires_at_s)

    def handle_claim(self, claim: KeyClaim) -> KeyClaimReply:
        """Record or release a claim as a witness."""
        self._remove_expired()
        record = self._claims.get(claim.key)
        if claim.is_release:
            if record is not None and record.owner_id == claim.owner_id:
                del self._claims[claim.key]
            return KeyClaimReply(claim.call_id, False, "", b"", False)
        if record is not None:
            return KeyClaimReply(
                claim.call_id, True, record.owner_id, record.digest, False
            )
        if len(self._claims) >= MAX_KEYS:
            return KeyClaimReply(claim.call_id, False, "", b"", True)
        expires_at_s = self._clock() + KEY_LIFETIME_S
        self._claims[claim.key] = _ClaimRecord(
            claim.owner_id, claim.digest, expires_at_s
        )
        return KeyClaimReply(claim.call_id, False, claim.owner_id, b"", False)

    def handle_lookup(self, lookup: KeyLookup) -> KeyLookupReply:
        """Return the outcome of a key that this node owns."""
        outcome = self._outcomes.get(lookup.key)
        if outcome is None or outcome.response is None:
            state = KeyState.UNKNOWN if outcome is None else outcome.state
            return KeyLookupReply(lookup.call_id, int(state), 0, (), b"")
        response = outcome.response
        headers = tuple(response.headers)
        body = b"".join(response.chunks)
        return KeyLookupReply(
            lookup.call_id, int(outcome.state), response.status, headers, body
        )

    def _remove_expired(self) -> None:
        now_s = self._clock()
        for records in (self._claims, self._outcomes):
            while records:
                key = next(iter(records))
                if records[key].expires_at_s > now_s:
                    break
                del records[key]
