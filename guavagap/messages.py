"""Messages between nodes, one class for each struct of ``mesh.capnp``.

Field names are the snake-case forms of the schema's; see :mod:`guavagap.codec`.
"""

from enum import IntEnum
from typing import NamedTuple

from guavagap.stream_messages import Header

__all__ = [
    "BackendServer",
    "ConfigurationAgeReply",
    "ConfigurationAgeRequest",
    "CrashReport",
    "CrashReportsReply",
    "CrashReportsRequest",
    "Datagram",
    "DatagramKind",
    "DeltaPush",
    "DeltaReply",
    "DeltaRequest",
    "Departure",
    "EvidenceReport",
    "EvidenceRow",
    "HandedQuota",
    "Hello",
    "KeyClaim",
    "KeyClaimReply",
    "KeyLookup",
    "KeyLookupReply",
    "KeyState",
    "LentShare",
    "Member",
    "MemberState",
    "MembersReply",
    "MembersRequest",
    "Notice",
    "NoticesReply",
    "NoticesRequest",
    "PermitDemand",
    "PermitGrant",
    "PermitReply",
    "PermitRequest",
    "PermitRevoke",
    "Proof",
    "QuotaDemand",
    "QuotaGrant",
    "QuotaHandover",
    "QuotaHandoverReply",
    "QuotaLoanReply",
    "QuotaLoanRequest",
    "QuotaReleaseReply",
    "QuotaReleaseRequest",
    "QuotaReply",
    "QuotaRequest",
]


class BackendServer(NamedTuple):
    """A backend server as its node advertises it.

    Attributes:
        born_ms: Unix milliseconds of its start, 0 if it does not tell; a backend
            server may start again under its identifier.
    """

    server_id: str
    service: str
    version: str
    pool: str
    address: str
    slots: int
    connections: int
    is_draining: bool = False
    born_ms: int = 0


class MemberState(IntEnum):
    """States of a member; at one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """Row of a node in the member table.

    Attributes:
        incarnation: raised only by the node itself, to refute a suspicion or to
            publish a change.
        is_store_lost: whether the node cannot write rollout decisions to the store.
        capacity: order of magnitude of its VM's processor and link; 0 if unknown.
    """

    node_id: str
    incarnation: int
    state: int
    region: str
    failure_domain: str
    link_address: str
    mesh_address: str
    admin_address: str
    is_relay: bool = False
    backend_servers: tuple[BackendServer, ...] = ()
    is_store_lost: bool = False
    capacity: int = 0


class Notice(NamedTuple):
    """Rollback notice: a version that must no longer receive requests."""

    service: str
    version: str
    reason: str


class CrashReport(NamedTuple):
    """Crash of a backend server while a request was in flight.

    Attributes:
        age_ms: time since the crash.
        server_id: the backend server that crashed.
        born_ms: as in :class:`BackendServer`.
        is_void: whether the request has been run without a crash since.
    """

    fingerprint: bytes
    age_ms: int
    server_id: str
    born_ms: int = 0
    is_void: bool = False


class DatagramKind(IntEnum):
    """Kinds of datagrams."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    GOSSIP = 3


class Datagram(NamedTuple):
    """One datagram of the membership protocol.

    Attributes:
        session: random, new at each start of the sender.
        sequence: increases with each datagram of a session.
        epoch: configuration epoch that the sender has applied.
        head_digest: first 64 bits of the digest of that epoch's content.
        notices_digest: digest of the rollback notices that the sender has.
        members_digest: digest of the sender's member table.
        crash_reports_digest: digest of the crash reports that the sender has.
        token: matches an acknowledgement to its probe.
        target_address: address to probe, for PING_REQUEST.
    """

    sender_id: str
    session: int
    sequence: int
    epoch: int
    notices_digest: int
    members: tuple[Member, ...]
    crash_reports: tuple[CrashReport, ...]
    kind: int
    token: int
    target_address: str = ""
    target_id: str = ""
    head_digest: int = 0
    members_digest: int = 0
    crash_reports_digest: int = 0


class Hello(NamedTuple):
    """First frame in each direction of a link."""

    node_id: str
    nonce: bytes
    protocol: int


class Proof(NamedTuple):
    """Second frame in each direction: proves knowledge of the mesh key."""

    mac: bytes


class PermitDemand(NamedTuple):
    """Number of direct connections that an ingress node wants and has open."""

    server_id: str
    wanted: int
    held: int


class PermitRequest(NamedTuple):
    """Demands for backend servers of the receiver, renewed in bulk."""

    call_id: int
    demands: tuple[PermitDemand, ...]


class PermitGrant(NamedTuple):
    """Number of permitted direct connections and the lifetime of the permit."""

    server_id: str
    granted: int
    ttl_ms: int


class PermitReply(NamedTuple):
    """Reply to :class:`PermitRequest`."""

    call_id: int
    grants: tuple[PermitGrant, ...]


class PermitRevoke(NamedTuple):
    """Revocation of all permits for a backend server."""

    server_id: str


class DeltaRequest(NamedTuple):
    """Request for the configuration changes since an epoch."""

    call_id: int
    base_epoch: int


class DeltaReply(NamedTuple):
    """Reply to :class:`DeltaRequest`: a compressed delta or a redirect.

    Attributes:
        is_busy: whether the sender is overloaded and redirects to other nodes.
        raw_bytes: size of the delta when decompressed.
        redirect_ids: nodes that may have the delta.
    """

    call_id: int
    is_busy: bool
    compressed: bytes
    raw_bytes: int
    redirect_ids: tuple[str, ...] = ()


class DeltaPush(NamedTuple):
    """Compressed delta pushed down the fan-out tree of ``root_id``.

    An empty delta is a heartbeat of the relay at the root. Gossip outside of a tree
    has an empty ``root_id``.
    """

    compressed: bytes
    raw_bytes: int
    root_id: str
    base_epoch: int
    epoch: int


class MembersRequest(NamedTuple):
    """Request for the rows that the sender lacks, with the sender's row.

    Attributes:
        own: the sender's row.
        bucket_digests: digests of the sender's rows by bucket.
    """

    call_id: int
    own: Member
    bucket_digests: tuple[int, ...]


class Departure(NamedTuple):
    """Start of a backend server that leaves; see :mod:`guavagap.departures`.

    Attributes:
        born_ms: as in :class:`BackendServer`.
    """

    server_id: str
    born_ms: int


class MembersReply(NamedTuple):
    """Reply to :class:`MembersRequest`: the rows of buckets that differ.

    Attributes:
        departures: those of backend servers of the requesting node, which an earlier
            process of it has published.
    """

    call_id: int
    members: tuple[Member, ...]
    departures: tuple[Departure, ...] = ()


class NoticesRequest(NamedTuple):
    """Request for the receiver's notices, with those of the sender."""

    call_id: int
    notices: tuple[Notice, ...]


class NoticesReply(NamedTuple):
    """Reply to :class:`NoticesRequest`."""

    call_id: int
    notices: tuple[Notice, ...]


class CrashReportsRequest(NamedTuple):
    """Request for the crash reports that the sender lacks.

    Attributes:
        bucket_digests: digests of the sender's reports by bucket.
    """

    call_id: int
    bucket_digests: tuple[int, ...]


class CrashReportsReply(NamedTuple):
    """Reply to :class:`CrashReportsRequest`: the reports of buckets that differ."""

    call_id: int
    crash_reports: tuple[CrashReport, ...]


class EvidenceRow(NamedTuple):
    """Outcomes of requests to one backend server on one route.

    Attributes:
        latency_buckets: request counts by the bounds in
            :data:`guavagap.evidence.LATENCY_BOUNDS_MS`.
    """

    service: str
    version: str
    route: str
    server_id: str
    requests: int
    failures: int
    latency_buckets: tuple[int, ...]


class EvidenceReport(NamedTuple):
    """Rows since the last report of the source.

    Attributes:
        is_summed: True for the sums of a failure domain, sent by its collector; False
            for the rows of one node.
    """

    source_id: str
    rows: tuple[EvidenceRow, ...]
    is_summed: bool


class KeyState(IntEnum):
    """State of the request of an idempotency key at the key's owner."""

    UNKNOWN = 0
    RUNNING = 1
    DONE = 2


class KeyClaim(NamedTuple):
    """Request that a witness record the owner of a key, or release the key.

    Attributes:
        digest: digest of the request and its whole body.
        is_release: True to release the key because the request was not run.
    """

    call_id: int
    key: bytes
    digest: bytes
    owner_id: str
    is_release: bool


class KeyClaimReply(NamedTuple):
    """Reply to :class:`KeyClaim`.

    Attributes:
        is_taken: whether the key was claimed before.
        owner_id: owner of the key.
        digest: digest of the earlier owner's request.
        is_full: whether the witness cannot record more keys.
    """

    call_id: int
    is_taken: bool
    owner_id: str
    digest: bytes
    is_full: bool


class KeyLookup(NamedTuple):
    """Request for the recorded response of a key, sent to the key's owner."""

    call_id: int
    key: bytes


class KeyLookupReply(NamedTuple):
    """Reply to :class:`KeyLookup`, with the recorded response if there is one."""

    call_id: int
    state: int
    status: int
    headers: tuple[Header, ...]
    body: bytes


class ConfigurationAgeRequest(NamedTuple):
    """Request for the age of the receiver's configuration."""

    call_id: int


class ConfigurationAgeReply(NamedTuple):
    """Reply to :class:`ConfigurationAgeRequest`.

    Attributes:
        is_known: whether the sender has proof of an age.
        age_ms: time since the store was known to hold nothing newer than ``epoch``.
        epoch: the sender's applied epoch.
        version: version of the sender's declaration, also without proof.
    """

    call_id: int
    is_known: bool
    age_ms: int
    epoch: int
    version: int


class QuotaDemand(NamedTuple):
    """Number of requests of a customer that a node has to send."""

    customer: str
    tokens: int


class QuotaRequest(NamedTuple):
    """Demands for tokens from the quota holder of their customers."""

    call_id: int
    demands: tuple[QuotaDemand, ...]


class QuotaGrant(NamedTuple):
    """Tokens of a customer, one for each request.

    Attributes:
        ttl_ms: lifetime of the tokens, counted from when they were asked for.
        retry_after_ms: time until the next token where fewer were granted than asked.
    """

    customer: str
    tokens: int
    ttl_ms: int
    retry_after_ms: int


class QuotaReply(NamedTuple):
    """Reply to :class:`QuotaRequest`."""

    call_id: int
    grants: tuple[QuotaGrant, ...]


class QuotaLoanRequest(NamedTuple):
    """Request for part of another failure domain's share of a quota.

    Attributes:
        demand_millihertz: request rate that the sender's failure domain lacks.
        tokens: tokens that it lacks besides.
    """

    call_id: int
    customer: str
    demand_millihertz: int
    tokens: int = 0


class QuotaLoanReply(NamedTuple):
    """Reply to :class:`QuotaLoanRequest`.

    Attributes:
        rate_millihertz: request rate that is lent; 0 for none.
        ttl_ms: duration of the loan, counted from when it was asked for.
        tokens: tokens that the sender has taken out of its bucket.
    """

    call_id: int
    rate_millihertz: int
    ttl_ms: int
    tokens: int = 0


class LentShare(NamedTuple):
    """Request rate of a quota that is lent to a node.

    Attributes:
        left_ms: time until the loan ends.
    """

    borrower_id: str
    rate_millihertz: int
    left_ms: int


class HandedQuota(NamedTuple):
    """State of a quota that its holder hands to the next one.

    Attributes:
        milli_tokens: thousandths of the tokens in the bucket.
        demand_millihertz: request rate of the failure domain.
    """

    customer: str
    milli_tokens: int
    demand_millihertz: int
    lent: tuple[LentShare, ...]


class QuotaReleaseRequest(NamedTuple):
    """Request of a member that has started or resumed to release quotas to it.

    Attributes:
        incarnation: first one of the sender's process.
    """

    call_id: int
    incarnation: int


class QuotaReleaseReply(NamedTuple):
    """Reply to :class:`QuotaReleaseRequest`.

    Attributes:
        is_released: whether the sender holds nothing any more for which the receiver
            comes first; false if it does not know the receiver yet.
        is_active: whether the sender may hold quotas itself.
        age_ms: time since the sender has started or resumed.
        members: members of the failure domain to which it has released quotas.
        quotas: those that it has held.
    """

    call_id: int
    is_released: bool
    is_active: bool
    age_ms: int
    members: tuple[str, ...]
    quotas: tuple[HandedQuota, ...]


class QuotaHandover(NamedTuple):
    """Quotas that a member which leaves has held and the receiver holds from now on."""

    call_id: int
    quotas: tuple[HandedQuota, ...]


class QuotaHandoverReply(NamedTuple):
    """Reply to :class:`QuotaHandover`."""

    call_id: int
