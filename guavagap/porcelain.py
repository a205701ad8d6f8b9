"""User-facing calls: what an operator does, for the command line and scripts.

Each call is a coroutine function that returns plain typed values and raises
:class:`guavagap.errors.GuavagapError`.
"""

import difflib
import json
import time
from pathlib import Path
from typing import Callable, NamedTuple

import curio
from expression import Error, Ok, Result

from guavagap import commits
from guavagap.addresses import Address, parse_address
from guavagap.commits import Commit, read_audit, read_body, read_head
from guavagap.documents import Document, Problem, parse_document
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Change, Entry
from guavagap.http_messages import HttpRequest, call_http
from guavagap.key_value import KeyValueStore
from guavagap.relay import SEEDS_KEY, decode_seeds

__all__ = [
    "AcceptedDocument",
    "NodeSummary",
    "ServiceStatus",
    "apply_files",
    "check_files",
    "delete",
    "diff_files",
    "get_document",
    "list_changes",
    "list_nodes",
    "node_status",
    "recover",
    "service_status",
    "wait_for_verdict",
]

DOCUMENT_SUFFIX = ".toml"
STATUS_TIMEOUT_S = 2.0
FINAL_STATES = ("completed", "rolled_back", "aborted")
MAX_PARALLEL_NODES = 32


class AcceptedDocument(NamedTuple):
    """A document in force, with the entry that names it."""

    entry: Entry
    document: Document


class ServiceStatus(NamedTuple):
    """The verdict on a service, in words and figures.

    Attributes:
        verdict: ``stable``, ``running``, ``paused``, ``completed``,
            ``rolled_back`` or ``aborted``.
        seconds_left: until ``complete_by``; 0 outside a rollout.
    """

    service: str
    epoch: int
    version: int
    author: str
    verdict: str
    stable_version: str
    to_version: str
    weight_permille: int
    seconds_left: float
    reason: str

    def sentence(self) -> str:
        """Return the verdict as one plain sentence."""
        if self.verdict == "stable":
            return f"{self.service}: {self.stable_version} carries all traffic"
        if self.verdict == "completed":
            return f"{self.service}: completed, {self.to_version} carries all traffic"
        if self.verdict in ("rolled_back", "aborted"):
            words = self.verdict.replace("_", " ")
            return (
                f"{self.service}: {self.to_version} {words},"
                f" {self.stable_version} carries all traffic: {self.reason}"
            )
        return (
            f"{self.service}: {self.verdict}, {self.to_version} at"
            f" {self.weight_permille / 10:g} %, {self.seconds_left:.0f} s left:"
            f" {self.reason}"
        )


class NodeSummary(NamedTuple):
    """One node as the fleet and the node itself see it.

    Attributes:
        epoch: the epoch it has applied, None when it does not answer.
    """

    node_id: str
    state: str
    region: str
    failure_domain: str
    is_relay: bool
    epoch: int | None
    head_digest: str
    is_ready: bool
    alarms: tuple[str, ...]


def _document_files(paths: list[Path]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files += sorted(path.rglob(f"*{DOCUMENT_SUFFIX}"))
        else:
            files.append(path)
    return files


def check_files(paths: list[Path]) -> Result[list[Document], list[Problem]]:
    """Decode and validate documents.

    Args:
        paths: files, or folders whose ``.toml`` files are taken.

    Returns:
        The documents, or every problem in all of them.
    """
    problems: list[Problem] = []
    documents: list[Document] = []
    files = _document_files(paths)
    if not files:
        return Error([Problem(str(paths[0]), "", "no documents here")])
    for file in files:
        try:
            text = file.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problems.append(Problem(str(file), "", f"not readable: {error}"))
            continue
        checked = parse_document(text, str(file))
        if checked.is_error():
            problems += checked.error
            continue
        services = [document["service"] for document in documents]
        if checked.ok["service"] in services:
            reason = f"{checked.ok['service']!r} has another document here"
            problems.append(Problem(str(file), "service", reason))
        documents.append(checked.ok)
    return Error(problems) if problems else Ok(documents)


def _checked(paths: list[Path]) -> list[Document]:
    checked = check_files(paths)
    if checked.is_error():
        text = "\n".join(str(problem) for problem in checked.error)
        raise GuavagapError(ErrorKind.DOCUMENT_INVALID, text)
    return checked.ok


async def apply_files(
    platform: KeyValueStore, paths: list[Path], author: str, message: str
) -> Commit:
    """Commit documents, all or none; see :func:`commits.apply_documents`."""
    return await commits.apply_documents(platform, _checked(paths), author, message)


async def delete(
    platform: KeyValueStore, service: str, author: str, message: str
) -> Commit:
    """Withdraw a service; see :func:`commits.delete_service`."""
    return await commits.delete_service(platform, service, author, message)


async def recover(platform: KeyValueStore, above_epoch: int, author: str) -> Commit:
    """Raise the epoch of a head that went back in time."""
    return await commits.raise_epoch(platform, above_epoch, author)


async def _entry(platform: KeyValueStore, service: str) -> tuple[int, Entry]:
    head, _ = await read_head(platform)
    entry = head["entries"].get(service)
    if entry is None or entry["is_deleted"]:
        raise GuavagapError(ErrorKind.NOT_FOUND, f"no service {service}")
    return head["epoch"], entry


async def get_document(platform: KeyValueStore, service: str) -> AcceptedDocument:
    """Return the accepted document of a service.

    Raises:
        GuavagapError: NOT_FOUND.
    """
    _, entry = await _entry(platform, service)
    body = await read_body(platform, service, entry["digest"])
    return AcceptedDocument(entry, json.loads(body))


def _lines(document: Document | None) -> list[str]:
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


async def diff_files(platform: KeyValueStore, paths: list[Path]) -> list[str]:
    """Return a unified diff between accepted documents and files."""
    lines: list[str] = []
    for document in _checked(paths):
        service = document["service"]
        try:
            accepted = await get_document(platform, service)
        except GuavagapError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise
            accepted = None
        before = None if accepted is None else accepted.document
        name = "none" if accepted is None else f"version {accepted.entry['version']}"
        lines += difflib.unified_diff(
            _lines(before),
            _lines(document),
            f"{service} {name}",
            f"{service} edited",
            lineterm="",
        )
    return lines


async def list_changes(
    platform: KeyValueStore, limit: int, service: str | None = None
) -> list[Change]:
    """Return the latest changes of the audit trail, newest first."""
    head, _ = await read_head(platform)
    changes: list[Change] = []
    latest = head["change"]
    epoch = head["epoch"]
    while epoch > 0 and len(changes) < limit:
        is_latest = latest is not None and latest["epoch"] == epoch
        change = latest if is_latest else await read_audit(platform, epoch)
        epoch -= 1
        if change is None:
            continue
        if service is None or service in change["versions"]:
            changes.append(change)
    return changes


async def service_status(platform: KeyValueStore, service: str) -> ServiceStatus:
    """Return the verdict on a service.

    Raises:
        GuavagapError: NOT_FOUND.
    """
    epoch, entry = await _entry(platform, service)
    rollout = entry["rollout"]
    base = (service, epoch, entry["version"], entry["author"])
    if rollout is None:
        return ServiceStatus(*base, "stable", entry["stable_version"], "", 0, 0.0, "")
    is_open = rollout["state"] not in FINAL_STATES
    left_s = max(0.0, rollout["complete_by_s"] - time.time()) if is_open else 0.0
    return ServiceStatus(
        *base,
        rollout["state"],
        entry["stable_version"],
        rollout["to_version"],
        rollout["weight_permille"],
        left_s,
        rollout["reason"],
    )


async def wait_for_verdict(
    platform: KeyValueStore,
    service: str,
    timeout_s: float,
    on_progress: Callable[[ServiceStatus], None],
) -> ServiceStatus:
    """Wait until a service has a verdict.

    Args:
        platform: the platform.
        service: the service.
        timeout_s: how long to wait.
        on_progress: called with each status that differs from the one before.

    Raises:
        GuavagapError: WAIT_TIMEOUT, NOT_FOUND, PLATFORM_UNREACHABLE.
    """
    deadline_s = time.monotonic() + timeout_s
    revision = ""
    latest: ServiceStatus | None = None
    while True:
        status = await service_status(platform, service)
        if latest is None or status._replace(seconds_left=0) != latest:
            on_progress(status)
            latest = status._replace(seconds_left=0)
        if status.verdict in (*FINAL_STATES, "stable"):
            return status
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            raise GuavagapError(
                ErrorKind.WAIT_TIMEOUT, f"no verdict yet: {status.sentence()}"
            )
        value = await platform.watch(commits.HEAD_KEY, revision, min(left_s, 5.0))
        revision = "" if value is None else value.revision


async def node_status(address: Address) -> dict:
    """Return the status of one node.

    Raises:
        GuavagapError: NODE_UNREACHABLE.
    """
    request = HttpRequest(b"GET", b"/status", [])
    response = await call_http(address, request, STATUS_TIMEOUT_S)
    try:
        return json.loads(response.body)
    except ValueError:
        raise GuavagapError(
            ErrorKind.NODE_UNREACHABLE, f"{address} is no admin port"
        ) from None


async def _seed_node_status(
    platform: KeyValueStore | None, admin: Address | None
) -> dict:
    if admin is not None:
        return await node_status(admin)
    value = await platform.get(SEEDS_KEY)
    seeds = {} if value is None else decode_seeds(value.body)
    for seed in seeds.values():
        try:
            return await node_status(parse_address(seed.admin_address))
        except GuavagapError:
            continue
    raise GuavagapError(
        ErrorKind.NODE_UNREACHABLE,
        "no relay named on the platform answers; give --admin-address of any node",
    )


async def list_nodes(
    platform: KeyValueStore | None, admin: Address | None
) -> list[NodeSummary]:
    """Return every node that one node knows, each asked for its own epoch.

    Args:
        platform: names a node to start from when ``admin`` is None.
        admin: admin port of the node to start from.

    Raises:
        GuavagapError: NODE_UNREACHABLE, PLATFORM_UNREACHABLE.
    """
    status = await _seed_node_status(platform, admin)
    summaries: list[NodeSummary] = []
    limit = curio.Semaphore(MAX_PARALLEL_NODES)

    async def ask(member: dict) -> None:
        async with limit:
            summaries.append(await _summarise(member))

    async with curio.TaskGroup() as group:
        for member in status["members"]:
            await group.spawn(ask, member)
    return sorted(summaries)


async def _summarise(member: dict) -> NodeSummary:
    base = [
        member["node_id"],
        member["state"],
        member["region"],
        member["failure_domain"],
        member["is_relay"],
    ]
    if member["state"] in ("dead", "left"):
        return NodeSummary(*base, None, "", False, ())
    try:
        own = await node_status(parse_address(member["admin_address"]))
    except GuavagapError:
        return NodeSummary(*base, None, "", False, ())
    return NodeSummary(
        *base, own["epoch"], own["head_digest"], own["is_ready"], tuple(own["alarms"])
    )
