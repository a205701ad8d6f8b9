"""The head: one epoch over every service, and deltas between epochs.

The platform holds the head under one key. Each commit raises its epoch by at
least one and stamps the entries it changes with the new epoch, so a delta from
any earlier epoch is a filter over the entries.
"""

import json
from typing import Literal, NamedTuple

from pydantic import ConfigDict, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from guavagap.documents import compute_digest
from guavagap.errors import ErrorKind, GuavagapError

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

_STRICT = ConfigDict(extra="forbid", strict=True)

RolloutState = Literal["running", "paused", "completed", "rolled_back", "aborted"]


class Rollout(TypedDict):
    """Progress of one backend server version towards all traffic.

    Attributes:
        from_version: the version that carried all traffic before.
        to_version: the version that is taking over.
        state: the verdict, ``running`` or ``paused`` until there is one.
        weight_permille: share of requests that go to ``to_version``.
        started_at_s: wall clock of the commit that began it.
        stage_started_at_s: wall clock of the latest change of weight.
        complete_by_s: wall clock by which it should be complete.
        reason: the evidence for the latest decision, in words and figures.
    """

    __pydantic_config__ = _STRICT

    from_version: str
    to_version: str
    state: RolloutState
    weight_permille: int
    started_at_s: float
    stage_started_at_s: float
    complete_by_s: float
    reason: str


class Entry(TypedDict):
    """What is accepted for one service.

    Attributes:
        version: version of the document, counted from 1.
        digest: digest of the document's body.
        epoch: epoch of the latest commit that changed this entry.
        document_epoch: epoch of the commit that changed the document.
        author: who committed the document.
        committed_at_s: wall clock of that commit.
        stable_version: backend server version that carries all other traffic.
        rollout: the current or latest rollout.
        rolled_back_versions: versions with a final negative verdict.
        is_deleted: True when the service has been withdrawn.
    """

    __pydantic_config__ = _STRICT

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
    """One commit, as kept in the audit trail.

    Attributes:
        id: unique; recognises a commit whose answer was lost.
        epoch: the epoch it created.
        kind: ``apply``, ``delete``, ``rollout`` or ``recover``.
        author: who made it; a node's identifier for rollouts.
        message: the author's words.
        committed_at_s: wall clock.
        versions: document version of each service it touched.
    """

    __pydantic_config__ = _STRICT

    id: str
    epoch: int
    kind: Literal["apply", "delete", "rollout", "recover"]
    author: str
    message: str
    committed_at_s: float
    versions: dict[str, int]


class Head(TypedDict):
    """The whole accepted configuration, without the documents' bodies."""

    __pydantic_config__ = _STRICT

    epoch: int
    change: Change | None
    entries: dict[str, Entry]


class Delta(NamedTuple):
    """The step from one epoch to a later one.

    Attributes:
        base_epoch: the epoch that the receiver must hold; 0 for the whole head.
        epoch: the epoch reached.
        entries: every entry changed after ``base_epoch``.
        bodies: documents changed after ``base_epoch``, by digest.
        head_digest: digest of the head reached.
    """

    base_epoch: int
    epoch: int
    entries: dict[str, Entry]
    bodies: dict[str, bytes]
    head_digest: str


EMPTY_HEAD: Head = {"epoch": 0, "change": None, "entries": {}}
_HEAD_ADAPTER = TypeAdapter(Head)


def encode_head(head: Head) -> bytes:
    """Return the JSON that the platform holds."""
    return json.dumps(head, sort_keys=True, separators=(",", ":")).encode()


def decode_head(body: bytes) -> Head:
    """Decode and validate the platform's JSON.

    Raises:
        GuavagapError: FRAME_INVALID.
    """
    try:
        return _HEAD_ADAPTER.validate_json(body)
    except ValidationError as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"the head does not decode: {error.errors()[0]}"
        ) from None


def compute_head_digest(epoch: int, entries: dict[str, Entry]) -> str:
    """Return the digest of an epoch and its entries."""
    text = json.dumps([epoch, entries], sort_keys=True, separators=(",", ":"))
    return compute_digest(text.encode())


def compute_delta(head: Head, bodies: dict[str, bytes], base_epoch: int) -> Delta:
    """Return the step from ``base_epoch`` to ``head``."""
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
    """Return the head after a delta.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED when the delta does not start at
            this head or does not lead to the content it names.
    """
    if delta.base_epoch not in (0, head["epoch"]):
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"the delta starts at epoch {delta.base_epoch}, held is {head['epoch']}",
        )
    base = head["entries"] if delta.base_epoch else {}
    entries = {**base, **delta.entries}
    if compute_head_digest(delta.epoch, entries) != delta.head_digest:
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"epoch {delta.epoch} has another digest than the delta names",
        )
    return {"epoch": delta.epoch, "change": None, "entries": entries}


def encode_delta(delta: Delta) -> bytes:
    """Return the JSON of a delta."""
    value = delta._asdict()
    value["bodies"] = {key: body.decode() for key, body in delta.bodies.items()}
    return json.dumps(value, separators=(",", ":")).encode()


_ENTRIES_ADAPTER = TypeAdapter(dict[str, Entry])


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
            _ENTRIES_ADAPTER.validate_python(value["entries"]),
            {key: text.encode() for key, text in value["bodies"].items()},
            str(value["head_digest"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"the delta does not decode: {error!r}"
        ) from None
