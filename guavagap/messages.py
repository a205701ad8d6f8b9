"""Messages between nodes, one class for each struct of ``mesh.capnp``.

Fields carry the schema's names in snake case; see :mod:`guavagap.codec`.
"""

from enum import IntEnum
from typing import NamedTuple

from guavagap.stream_messages import Header

__all__ = [
    "BackendServer",
    "Datagram",
    "DatagramKind",
    "DeltaPush",
    "DeltaReply",
    "DeltaRequest",
    "EvidenceReport",
    "EvidenceRow",
    "Hello",
    "KeyClaim",
    "KeyClaimReply",
    "KeyLookup",
    "KeyLookupReply",
    "KeyState",
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
    "PoisonMark",
    "Proof",
]


class BackendServer(NamedTuple):
    """A backend server as its node advertises it."""

    server_id: str
    service: str
    version: str
    pool: str
    address: str
    slots: int
    connections: int
    is_draining: bool = False


class MemberState(IntEnum):
    """States of a member; at one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """A node as others know it.

    Attributes:
        incarnation: raised only by the node itself, to refute a suspicion and
            to publish a change.
        is_store_lost: whether decisions on rollouts cannot be written from there.
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


class Notice(NamedTuple):
    """A version that must get no traffic from now on."""

    service: str
    version: str
    reason: str


class PoisonMark(NamedTuple):
    """A strike against a request, or its quarantine.

    Attributes:
        server_id: the backend server that crashed; empty for a quarantine.
    """

    fingerprint: bytes
    ttl_ms: int
    server_id: str = ""


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
        sequence: rises with each datagram of a session.
        epoch: the configuration epoch that the sender has applied.
        head_digest: first 64 bits of the digest of that epoch's content.
        notices_digest: digest of the rollback notices that the sender holds.
        members_digest: digest of the members that the sender knows.
        token: joins an acknowledgement to its probe.
        target_address: whom to probe, for PING_REQUEST.
    """

    sender_id: str
    session: int
    sequence: int
    epoch: int
    notices_digest: int
    members: tuple[Member, ...]
    marks: tuple[PoisonMark, ...]
    kind: int
    token: int
    target_address: str = ""
    target_id: str = ""
    head_digest: int = 0
    members_digest: int = 0


class Hello(NamedTuple):
    """First frame in each direction of a link."""

    node_id: str
    nonce: bytes
    protocol: int


class Proof(NamedTuple):
    """Second frame in each direction: proves knowledge of the mesh key."""

    mac: bytes


class PermitDemand(NamedTuple):
    """How many direct connections an ingress node wants and has open."""

    server_id: str
    wanted: int
    held: int


class PermitRequest(NamedTuple):
    """Demands for every backend server of the receiver, renewed in bulk."""

    call_id: int
    demands: tuple[PermitDemand, ...]


class PermitGrant(NamedTuple):
    """How many direct connections are permitted, and for how long."""

    server_id: str
    granted: int
    ttl_ms: int


class PermitReply(NamedTuple):
    """Answer to :class:`PermitRequest`."""

    call_id: int
    grants: tuple[PermitGrant, ...]


class PermitRevoke(NamedTuple):
    """All permits for a backend server end now."""

    server_id: str


class DeltaRequest(NamedTuple):
    """Asks for the configuration after an epoch."""

    call_id: int
    base_epoch: int


class DeltaReply(NamedTuple):
    """A compressed delta, or ``is_busy`` with nodes that may have it."""

    call_id: int
    is_busy: bool
    compressed: bytes
    raw_bytes: int
    redirect_ids: tuple[str, ...] = ()


class DeltaPush(NamedTuple):
    """A compressed delta on its way down the fan-out tree of ``root_id``."""

    compressed: bytes
    raw_bytes: int
    root_id: str
    base_epoch: int
    epoch: int


class MembersRequest(NamedTuple):
    """Asks for rows that the sender lacks, and introduces the sender.

    Attributes:
        bucket_digests: digests of the sender's rows by bucket.
    """

    call_id: int
    own: Member
    bucket_digests: tuple[int, ...]


class MembersReply(NamedTuple):
    """Answer to :class:`MembersRequest`: the rows of buckets that differ."""

    call_id: int
    members: tuple[Member, ...]


class NoticesRequest(NamedTuple):
    """Offers the sender's notices and asks for the receiver's."""

    call_id: int
    notices: tuple[Notice, ...]


class NoticesReply(NamedTuple):
    """Answer to :class:`NoticesRequest`."""

    call_id: int
    notices: tuple[Notice, ...]


class EvidenceRow(NamedTuple):
    """Outcomes of requests to one backend server on one route.

    Attributes:
        latency_buckets: counts by :data:`guavagap.evidence.LATENCY_BOUNDS_MS`.
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
        is_summed: True from a relay, False from a node.
    """

    source_id: str
    rows: tuple[EvidenceRow, ...]
    is_summed: bool


class KeyState(IntEnum):
    """What the owner of an idempotency key knows of its request."""

    UNKNOWN = 0
    RUNNING = 1
    DONE = 2


class KeyClaim(NamedTuple):
    """Asks a witness to remember the owner of a key, or to forget it.

    Attributes:
        digest: fingerprint of the request.
        is_release: True when the request was not run.
    """

    call_id: int
    key: bytes
    digest: bytes
    owner_id: str
    is_release: bool


class KeyClaimReply(NamedTuple):
    """Answer to :class:`KeyClaim`.

    Attributes:
        is_taken: True when the key had an owner before.
        owner_id: that owner.
        digest: fingerprint of that owner's request.
        is_full: True when the witness can remember no more keys.
    """

    call_id: int
    is_taken: bool
    owner_id: str
    digest: bytes
    is_full: bool


class KeyLookup(NamedTuple):
    """Asks the owner of a key for its request's answer."""

    call_id: int
    key: bytes


class KeyLookupReply(NamedTuple):
    """Answer to :class:`KeyLookup`, with the recorded answer when it is done."""

    call_id: int
    state: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
