"""Derivation of a service's next entry from a new document."""

from datetime import datetime

from guavagap.documents import Document, compute_digest, encode_document
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Change, Entry, Rollout

__all__ = ["check_base", "next_entry"]


def check_base(document: Document, entry: Entry | None) -> None:
    """Check that a document was edited from the current version.

    Raises:
        GuavagapError: CONFLICT, with the current version, its author and its time.
    """
    current_version = 0 if entry is None else entry["version"]
    if document["edited_from"] == current_version:
        return
    service = document["service"]
    if entry is None:
        detail = (
            f"{service}: edited from version {document['edited_from']}, but there"
            " is no current version"
        )
    else:
        committed_at = datetime.fromtimestamp(entry["committed_at_s"]).astimezone()
        detail = (
            f"{service}: edited from version {document['edited_from']}, but"
            f" {entry['author']} committed version {entry['version']} at"
            f" {committed_at.isoformat(timespec='seconds')};"
            f" read it with `guavagap get {service}` and edit that"
        )
    raise GuavagapError(ErrorKind.CONFLICT, detail)


def _next_rollout(document: Document, entry: Entry, now_s: float) -> Rollout | None:
    """Return the rollout that a new document requests."""
    wanted = document["wanted"]
    to_version = wanted["backend_server_version"]
    declared = wanted.get("state", "run")
    current = entry["rollout"]
    complete_by_s = datetime.fromisoformat(wanted["complete_by"]).timestamp()
    if to_version == entry["stable_version"]:
        if current is None or current["state"] not in ("running", "paused"):
            return current
        return current | {
            "state": "aborted",
            "weight_permille": 0,
            "reason": f"the document wants {to_version} again",
        }
    if current is None or current["to_version"] != to_version:
        current = {
            "from_version": entry["stable_version"],
            "to_version": to_version,
            "state": "running",
            "weight_permille": 0,
            "started_at_s": now_s,
            "stage_started_at_s": now_s,
            "complete_by_s": complete_by_s,
            "reason": "accepted",
        }
    state = {"run": "running", "pause": "paused", "abort": "aborted"}[declared]
    if current["state"] in ("completed", "rolled_back"):
        return current
    weight = 0 if state == "aborted" else current["weight_permille"]
    reason = current["reason"] if state == "running" else f"declared: {declared}"
    return current | {
        "state": state,
        "weight_permille": weight,
        "complete_by_s": complete_by_s,
        "reason": reason,
    }


def next_entry(
    document: Document, entry: Entry | None, change: Change, epoch: int
) -> Entry:
    """Return the entry for a new document.

    Args:
        document: the new document.
        entry: the current entry, None for a new service.
        change: author and time of the commit.
        epoch: the epoch that the commit creates.

    Raises:
        GuavagapError: ROLLED_BACK when the wanted version was rolled back before.
    """
    wanted_version = document["wanted"]["backend_server_version"]
    if entry is not None and wanted_version in entry["rolled_back_versions"]:
        raise GuavagapError(
            ErrorKind.ROLLED_BACK,
            f"{document['service']}: version {wanted_version} was rolled back;"
            " the verdict is final, release a new version",
        )
    is_new = entry is None or entry["is_deleted"]
    base: Entry = {
        "version": document["edited_from"] + 1,
        "digest": compute_digest(encode_document(document)),
        "epoch": epoch,
        "document_epoch": epoch,
        "author": change["author"],
        "committed_at_s": change["committed_at_s"],
        "stable_version": wanted_version if is_new else entry["stable_version"],
        "rollout": None,
        "rolled_back_versions": [] if entry is None else entry["rolled_back_versions"],
        "is_deleted": False,
    }
    if not is_new:
        base["rollout"] = _next_rollout(document, entry, change["committed_at_s"])
    return base
