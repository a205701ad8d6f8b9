"""The head: accepted entries of all services under one epoch, and its deltas.

The platform stores the head under one key. Each commit increases its epoch by at
least one and sets the epoch of the entries it changes, so that a delta from any
earlier epoch is a filter over the entries.
"""

import json
from typing import Literal, NamedTuple

from typing_extensions import TypedDict

from guavagap.documents import compute_digest
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.validation import STRICT, InvalidValueError, make_validator

__all__ = [
    "Change",
    "Delta",
    "EMPTY_HEAD",
    "Entry",
    "Head",
    "Rollout",
    "RolloutState",
    "decode_delta",
    "decode_head",
    "compute_delta",
    "compute_head_digest",
    "encode_delta",
    "encode_head",
    "merge_delta",
]

RolloutState = Literal["running", "paused", "completed", "rolled_back", "aborted"]


class Rollout(TypedDict):
    """State of the rollout of one backend server version.

    Attributes:
        from_version: the version that received all traffic before.
        to_version: the version that is rolled out.
        state: the verdict, or ``running`` or ``paused`` before there is one.
        weight_permille: share of requests that are routed to ``to_version``.
        started_at_s: wall clock time of the commit that started the rollout.
        stage_started_at_s: wall clock time of the latest change of weight.
        complete_by_s: wall clock time by which the rollout should be complete.
        reason: the reason for the latest decision, with the figures behind it.
    """

    __pydantic_config__ = STRICT

    from_version: str
    to_version: str
    state: RolloutState
    weight_permille: int
    started_at_s: float
    stage_started_at_s: float
    complete_by_s: float
    reason: str


class Entry(TypedDict):
    """The accepted state of one service.

    Attributes:
        version: version of the document, counted from 1.
        digest: digest of the document's body.
        epoch: epoch of the latest commit that changed this entry.
        document_epoch: epoch of the commit that changed the document.
        author: author of the commit that changed the document.
        committed_at_s: wall clock time of that commit.
        stable_version: backend server version that receives all other traffic.
        rollout: the current or latest rollout.
        rolled_back_versions: versions that were rolled back, which is final.
        is_deleted: whether the service has been deleted.
    """

    __pydantic_config__ = STRICT

    version: int
    digest: str
    epoch: int
    document_epoch: int
    author: str
    committed_at_s: float
    stable_version: str
    rollout: Rollout | None
    rolled_back_versions: list[str]
    is_deleted: bool


class Change(TypedDict):
    """One commit, as recorded in the audit trail.

    Attributes:
        id: unique identifier, used to find a commit whose response was lost.
        epoch: the epoch that the commit created.
        kind: ``apply``, ``delete``, ``rollout`` or ``recover``.
        author: the author; the identifier of a node for rollouts.
        message: the commit message.
        committed_at_s: wall clock time of the commit.
        versions: document version of each service that the commit changed.
    """

    __pydantic_config__ = STRICT

    id: str
    epoch: int
    kind: Literal["apply", "delete", "rollout", "recover"]
    author: str
    message: str
    committed_at_s: float
    versions: dict[str, int]


class Head(TypedDict):
    """The complete accepted configuration, without document bodies."""

    __pydantic_config__ = STRICT

    epoch: int
    change: Change | None
    entries: dict[str, Entry]


class Delta(NamedTuple):
    """The changes from one epoch to a later one.

    Attributes:
        base_epoch: the epoch that the receiver must have; 0 for the complete head.
        epoch: the epoch after the changes.
        entries: the entries changed after ``base_epoch``.
        bodies: bodies of documents changed after ``base_epoch``, by digest.
        head_digest: digest of the head after the changes.
    """

    base_epoch: int
    epoch: int
    entries: dict[str, Entry]
    bodies: dict[str, bytes]
    head_digest: str


EMPTY_HEAD: Head = {"epoch": 0, "change": None, "entries": {}}
_HEAD_VALIDATOR = make_validator(Head)


def encode_head(head: Head) -> bytes:
    """Encode a head as the JSON that the platform stores."""
    return json.dumps(head, sort_keys=True, separators=(",", ":")).encode()


def decode_head(body: bytes) -> Head:
    """Decode and validate the JSON of a head.

    Raises:
        GuavagapError: FRAME_INVALID.
    """
    try:
        return _HEAD_VALIDATOR.validate_json(body)
    except InvalidValueError as error:
        raise GuavagapError(ErrorKind.FRAME_INVALID, f"invalid head: {error}") from None


def compute_head_digest(epoch: int, entries: dict[str, Entry]) -> str:
    """Return the digest of an epoch and its entries."""
    text = json.dumps([epoch, entries], sort_keys=True, separators=(",", ":"))
    return compute_digest(text.encode())


def compute_delta(head: Head, bodies: dict[str, bytes], base_epoch: int) -> Delta:
    """Return the delta from ``base_epoch`` to ``head``."""
    entries = {
        service: entry
        for service, entry in head["entries"].items()
        if entry["epoch"] > base_epoch
    }
    changed_bodies = {
        entry["digest"]: bodies[entry["digest"]]
        for entry in entries.values()
        if entry["document_epoch"] > base_epoch and entry["digest"] in bodies
    }
    digest = compute_head_digest(head["epoch"], head["entries"])
    return Delta(base_epoch, head["epoch"], entries, changed_bodies, digest)


def merge_delta(head: Head, delta: Delta) -> Head:
    """Return the head with a delta applied.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED if the base epoch of the delta is
            neither 0 nor that of the head, or if the digest of the result differs
            from the delta's head digest.
    """
    if delta.base_epoch not in (0, head["epoch"]):
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"delta base epoch is {delta.base_epoch}, current is {head['epoch']}",
        )
    base = head["entries"] if delta.base_epoch else {}
    entries = {**base, **delta.entries}
    if compute_head_digest(delta.epoch, entries) != delta.head_digest:
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"head digest mismatch after delta to epoch {delta.epoch}",
        )
    return {"epoch": delta.epoch, "change": None, "entries": entries}


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta as JSON."""
    value = delta._asdict()
    value["bodies"] = {key: body.decode() for key, body in delta.bodies.items()}
    return json.dumps(value, separators=(",", ":")).encode()


_ENTRIES_VALIDATOR = make_validator(dict[str, Entry])


def decode_delta(body: bytes) -> Delta:
    """Decode and validate the JSON of a delta.

    Raises:
        GuavagapError: FRAME_INVALID.
    """
    try:
        value = json.loads(body)
        return Delta(
            int(value["base_epoch"]),
            int(value["epoch"]),
            _ENTRIES_VALIDATOR.validate(value["entries"]),
            {key: text.encode() for key, text in value["bodies"].items()},
            str(value["head_digest"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"invalid delta: {error!r}"
        ) from None
