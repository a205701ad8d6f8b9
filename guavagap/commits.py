"""Commits: changes are accepted by a compare-and-swap of the head.

Document bodies are written first, under their digest, and are immutable. A change
takes effect only by the compare-and-swap of the head. Each commit first writes the
audit record of the previous commit, so that the audit trail has no gap even if a
client terminates between the compare-and-swap and the write of its own record.
"""

import json
import random
import time
import uuid
from typing import Awaitable, Callable, NamedTuple

import curio

from guavagap.documents import (
    Document,
    compute_digest,
    decode_document,
    encode_document,
    routes_overlap,
)
from guavagap.entries import check_base, next_entry
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import (
    EMPTY_HEAD,
    Change,
    Entry,
    Head,
    decode_head,
    encode_head,
)
from guavagap.key_value import ABSENT, KeyValueStore
from guavagap.logs import get_logger
from guavagap.validation import make_validator

__all__ = [
    "Commit",
    "DocumentReader",
    "HEAD_KEY",
    "apply_documents",
    "audit_key",
    "body_key",
    "delete_service",
    "raise_epoch",
    "read_audit",
    "read_body",
    "read_head",
    "swap_head",
]

log = get_logger()

HEAD_KEY = "head"
MAX_SWAP_ATTEMPTS = 40
FIRST_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5

_CHANGE_VALIDATOR = make_validator(Change)

HeadEdit = Callable[[Head], Awaitable[Head | None]]


class Commit(NamedTuple):
    """The result of a commit.

    Attributes:
        epoch: the epoch at which the change took effect.
        versions: document version of each service that the commit changed; empty if
            nothing changed or the epoch was raised.
        attempts: number of compare-and-swap calls.
    """

    epoch: int
    versions: dict[str, int]
    attempts: int


def body_key(service: str, digest: str) -> str:
    """Return the platform key of a document body."""
    return f"doc/{service}/{digest}"


def audit_key(epoch: int) -> str:
    """Return the platform key of an audit record."""
    return f"audit/{epoch:010d}"


async def read_head(platform: KeyValueStore) -> tuple[Head, str]:
    """Return the head and its revision; an empty head if there is none."""
    value = await platform.get(HEAD_KEY)
    if value is None:
        return EMPTY_HEAD, ABSENT
    return decode_head(value.body), value.revision


async def read_body(platform: KeyValueStore, service: str, digest: str) -> bytes:
    """Return a document body.

    Raises:
        GuavagapError: NOT_FOUND, or CONFIGURATION_REJECTED if the body does not
            match the digest.
    """
    value = await platform.get(body_key(service, digest))
    if value is None:
        raise GuavagapError(
            ErrorKind.NOT_FOUND, f"missing body {digest} of service {service}"
        )
    if compute_digest(value.body) != digest:
        raise GuavagapError(
            ErrorKind.CONFIGURATION_REJECTED,
            f"digest mismatch of the body of service {service}",
        )
    return value.body


class DocumentReader:
    """Reader of accepted documents, with a cache by digest."""

    def __init__(self, platform: KeyValueStore):
        self._platform = platform
        self._documents: dict[str, Document] = {}

    async def read(self, service: str, digest: str) -> Document:
        """Return an accepted document."""
        if digest not in self._documents:
            body = await read_body(self._platform, service, digest)
            checked = decode_document(body, service)
            if checked.is_error():
                raise GuavagapError(
                    ErrorKind.CONFIGURATION_REJECTED, str(checked.error[0])
                )
            self._documents[digest] = checked.ok
        return self._documents[digest]

    async def read_valid(self, service: str, digest: str) -> Document | None:
        """Return an accepted document, or None if it is invalid.

        No node applies an invalid document, so its routes overlap no others.
        """
        try:
            return await self.read(service, digest)
        except GuavagapError as error:
            if error.kind is not ErrorKind.CONFIGURATION_REJECTED:
                raise
            return None


def make_change(kind: str, author: str, message: str) -> Change:
    """Return a change with a new identifier; :func:`swap_head` completes it."""
    return {
        "id": uuid.uuid4().hex,
        "epoch": 0,
        "kind": kind,
        "author": author,
        "message": message,
        "committed_at_s": time.time(),
        "versions": {},
    }


async def _create_with_retry(platform: KeyValueStore, key: str, body: bytes) -> None:
    """Create an immutable key unless it exists.

    A write without a response is retried once: the retry finds the value or creates
    it. The retry fails too if the platform is still unreachable.
    """
    try:
        await _create_if_absent(platform, key, body)
    except GuavagapError as error:
        if error.kind is not ErrorKind.PLATFORM_UNREACHABLE:
            raise
        log.info("write retried", key=key, why=error.detail)
        await _create_if_absent(platform, key, body)


async def _create_if_absent(platform: KeyValueStore, key: str, body: bytes) -> None:
    try:
        await platform.put(key, body, ABSENT)
    except GuavagapError as error:
        if error.kind is not ErrorKind.CONFLICT:
            raise


async def _write_audit(platform: KeyValueStore, change: Change | None) -> None:
    """Write an audit record unless it exists."""
    if change is None:
        return
    body = json.dumps(change, sort_keys=True).encode()
    await _create_with_retry(platform, audit_key(change["epoch"]), body)


async def read_audit(platform: KeyValueStore, epoch: int) -> Change | None:
    """Return the audit record of an epoch, or None if there is none."""
    value = await platform.get(audit_key(epoch))
    return None if value is None else _CHANGE_VALIDATOR.validate_json(value.body)


async def _find_change_epoch(
    platform: KeyValueStore, change: Change, since_epoch: int
) -> int | None:
    """Return the epoch at which a change was accepted, or None if it was not."""
    head, _ = await read_head(platform)
    latest = head["change"]
    if latest is not None and latest["id"] == change["id"]:
        return head["epoch"]
    for epoch in range(since_epoch + 1, head["epoch"]):
        record = await read_audit(platform, epoch)
        if record is not None and record["id"] == change["id"]:
            return epoch
    return None


def _backoff_s(attempt: int) -> float:
    """Return an exponential backoff delay with full jitter."""
    return random.uniform(0, min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt))


async def swap_head(platform: KeyValueStore, change: Change, edit: HeadEdit) -> Commit:
    """Change the head by compare-and-swap, with retries after conflicts.

    Args:
        platform: the platform.
        change: identifies the commit; see :func:`make_change`.
        edit: returns the changed head with its new epoch, or None if there is nothing
            to change; raises an exception to abort.

    Raises:
        GuavagapError: CONFLICT after ``MAX_SWAP_ATTEMPTS`` failed attempts,
            PLATFORM_UNREACHABLE if it is unknown whether the change was accepted,
            and any error raised by ``edit``.
    """
    unconfirmed_since_epoch: int | None = None
    for attempt in range(MAX_SWAP_ATTEMPTS):
        if unconfirmed_since_epoch is not None:
            epoch = await _find_change_epoch(platform, change, unconfirmed_since_epoch)
            if epoch is not None:
                return Commit(epoch, change["versions"], attempt)
        head, revision = await read_head(platform)
        new_head = await edit(head)
        if new_head is None:
            return Commit(head["epoch"], {}, attempt)
        change["epoch"] = new_head["epoch"]
        new_head["change"] = change
        await _write_audit(platform, head["change"])
        try:
            await platform.put(HEAD_KEY, encode_head(new_head), revision)
        except GuavagapError as error:
            if error.kind is ErrorKind.CONFLICT:
                await curio.sleep(_backoff_s(attempt))
                continue
            if error.kind is not ErrorKind.PLATFORM_UNREACHABLE:
                raise
            if unconfirmed_since_epoch is None:
                unconfirmed_since_epoch = head["epoch"]
            await _require_platform(platform, change)
            continue
        return await _record_commit(platform, change, attempt + 1)
    raise GuavagapError(
        ErrorKind.CONFLICT,
        f"head changed during all {MAX_SWAP_ATTEMPTS} attempts; try again",
    )


async def _require_platform(platform: KeyValueStore, change: Change) -> None:
    """Check that the platform responds after a write without a response.

    Raises:
        GuavagapError: PLATFORM_UNREACHABLE, stating that the outcome is unknown.
    """
    try:
        await platform.get(HEAD_KEY)
    except GuavagapError:
        raise GuavagapError(
            ErrorKind.PLATFORM_UNREACHABLE,
            f"it is unknown whether change {change['id']} was accepted;"
            " look for it with `guavagap log` when the platform is reachable",
        ) from None


async def _record_commit(
    platform: KeyValueStore, change: Change, attempts: int
) -> Commit:
    try:
        await _write_audit(platform, change)
    except GuavagapError as error:
        # The next commit writes this record from the head before it swaps the head.
        log.warning(
            "audit record not written, left to the next commit", why=error.detail
        )
    return Commit(change["epoch"], change["versions"], attempts)


async def _check_overlaps(
    documents: dict[str, Document], head: Head, reader: DocumentReader
) -> None:
    """Reject routes that overlap those of another service."""
    all_documents = dict(documents)
    for service, entry in head["entries"].items():
        if service not in documents and not entry["is_deleted"]:
            document = await reader.read_valid(service, entry["digest"])
            if document is not None:
                all_documents[service] = document
    for service, document in documents.items():
        for other_service, other in all_documents.items():
            if other_service != service:
                _check_overlap(document, other)


def _check_overlap(document: Document, other: Document) -> None:
    for route in document["routes"]:
        for other_route in other["routes"]:
            if routes_overlap(route, other_route):
                raise GuavagapError(
                    ErrorKind.DOCUMENT_INVALID,
                    f"{document['service']}: route {route['name']} matches the same"
                    f" requests as route {other_route['name']} of {other['service']}",
                )


async def apply_documents(
    platform: KeyValueStore, documents: list[Document], author: str, message: str
) -> Commit:
    """Commit documents atomically.

    Raises:
        GuavagapError: CONFLICT if a document was not edited from the accepted
            version, DOCUMENT_INVALID, ROLLED_BACK, or PLATFORM_UNREACHABLE.
    """
    by_service = {document["service"]: document for document in documents}
    change = make_change("apply", author, message)
    reader = DocumentReader(platform)

    async def edit(head: Head) -> Head | None:
        changed = {
            service: document
            for service, document in by_service.items()
            if not _is_unchanged(document, head["entries"].get(service))
        }
        if not changed:
            return None
        epoch = head["epoch"] + 1
        entries = dict(head["entries"])
        change["versions"] = {}
        for service, document in changed.items():
            check_base(document, entries.get(service))
            entry = next_entry(document, entries.get(service), change, epoch)
            entries[service] = entry
            change["versions"][service] = entry["version"]
        await _check_overlaps(changed, head, reader)
        await _write_bodies(platform, changed)
        return {"epoch": epoch, "change": None, "entries": entries}

    return await swap_head(platform, change, edit)


def _is_unchanged(document: Document, entry: Entry | None) -> bool:
    if entry is None or entry["is_deleted"]:
        return False
    return compute_digest(encode_document(document)) == entry["digest"]


async def _write_bodies(
    platform: KeyValueStore, documents: dict[str, Document]
) -> None:
    for service, document in documents.items():
        body = encode_document(document)
        await _create_with_retry(
            platform, body_key(service, compute_digest(body)), body
        )


async def delete_service(
    platform: KeyValueStore, service: str, author: str, message: str
) -> Commit:
    """Commit the deletion of a service and its routes.

    Raises:
        GuavagapError: NOT_FOUND, CONFLICT or PLATFORM_UNREACHABLE.
    """
    change = make_change("delete", author, message)

    async def edit(head: Head) -> Head | None:
        entry = head["entries"].get(service)
        if entry is None:
            raise GuavagapError(ErrorKind.NOT_FOUND, f"no service {service}")
        if entry["is_deleted"]:
            return None
        epoch = head["epoch"] + 1
        change["versions"] = {service: entry["version"] + 1}
        deleted = entry | {
            "version": entry["version"] + 1,
            "epoch": epoch,
            "document_epoch": epoch,
            "author": author,
            "committed_at_s": change["committed_at_s"],
            "rollout": None,
            "is_deleted": True,
        }
        entries = head["entries"] | {service: deleted}
        return {"epoch": epoch, "change": None, "entries": entries}

    return await swap_head(platform, change, edit)


async def raise_epoch(platform: KeyValueStore, above_epoch: int, author: str) -> Commit:
    """Raise the epoch of a regressed head above the epochs of all nodes.

    Every entry gets the new epoch, so that nodes apply all entries.

    Args:
        platform: the platform.
        above_epoch: the highest epoch of any node.
        author: the author of the commit.
    """
    change = make_change("recover", author, f"epoch raised above {above_epoch}")

    async def edit(head: Head) -> Head | None:
        epoch = max(head["epoch"], above_epoch) + 1
        entries = {
            service: entry | {"epoch": epoch, "document_epoch": epoch}
            for service, entry in head["entries"].items()
        }
        return {"epoch": epoch, "change": None, "entries": entries}

    return await swap_head(platform, change, edit)
