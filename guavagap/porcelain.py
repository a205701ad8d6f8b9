"""High-level operations for the command line and for scripts.

Operations return plain typed values and raise :class:`guavagap.errors.GuavagapError`.
Those that use the platform or nodes are coroutine functions.
"""

import difflib
import json
import time
from collections import Counter
from pathlib import Path
from typing import Callable, NamedTuple

import curio
from expression import Error, Ok, Result

from guavagap import commits
from guavagap.addresses import Address, format_address, parse_address
from guavagap.clock import steady_s
from guavagap.commits import Commit, read_audit, read_body, read_head
from guavagap.documents import Document, Problem, parse_document
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Change, Entry
from guavagap.http_messages import HttpRequest, call_http
from guavagap.key_value import KeyValueStore
from guavagap.relay import SEEDS_KEY, decode_seeds

__all__ = [
    "AcceptedDocument",
    "CustomerSummary",
    "NodeCustomers",
    "NodeSummary",
    "QuarantineSummary",
    "ServiceStatus",
    "apply_files",
    "check_files",
    "clear_quarantines",
    "delete",
    "diff_files",
    "get_document",
    "list_changes",
    "list_customers",
    "list_nodes",
    "list_quarantines",
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
    """An accepted document and its entry in the head."""

    entry: Entry
    document: Document


class ServiceStatus(NamedTuple):
    """The status of a service and of its rollout.

    Attributes:
        verdict: ``stable``, ``running``, ``paused``, ``completed``,
            ``rolled_back`` or ``aborted``.
        seconds_left: time until ``complete_by``; 0 outside a rollout.
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

    def describe(self) -> str:
        """Return the status as one line of text."""
        if self.verdict == "stable":
            return f"{self.service}: {self.stable_version} receives all traffic"
        if self.verdict == "completed":
            return f"{self.service}: completed, {self.to_version} receives all traffic"
        if self.verdict in ("rolled_back", "aborted"):
            state_text = self.verdict.replace("_", " ")
            return (
                f"{self.service}: {self.to_version} {state_text},"
                f" {self.stable_version} receives all traffic: {self.reason}"
            )
        return (
            f"{self.service}: {self.verdict}, {self.to_version} at"
            f" {self.weight_permille / 10:g} %, {self.seconds_left:.0f} s left:"
            f" {self.reason}"
        )


class NodeSummary(NamedTuple):
    """The status of a node as known to a peer and as reported by the node itself.

    Attributes:
        epoch: the applied epoch; None when the node does not respond.
        evacuated_domains: failure domains to which the node sends no requests.
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
    evacuated_domains: tuple[str, ...] = ()


class NodeCustomers(NamedTuple):
    """How one node checks API keys.

    Attributes:
        is_current: whether the node accepts keys; None when it does not respond.
        proof_age_s: age of its proof; None without one or if it needs none.
        refusals: requests refused for their credentials, by reason.
    """

    node_id: str
    is_current: bool | None
    proof_age_s: float | None
    refusals: dict[str, int]


class QuarantineSummary(NamedTuple):
    """A quarantined request.

    Attributes:
        fingerprint: identifies the request, in hexadecimal digits.
        crashes: most crash reports that a node has.
        server_ids: the backend servers that crashed.
        remaining_s: longest time until a trial; 0 afterwards.
        node_ids: nodes that refuse the request.
    """

    fingerprint: str
    crashes: int
    server_ids: tuple[str, ...]
    remaining_s: float
    node_ids: tuple[str, ...]


class CustomerSummary(NamedTuple):
    """A customer, with the sums of the counts of the queried nodes.

    Attributes:
        rate_per_s: 0 for no quota.
        refusals: requests refused for their credentials, by reason.
        quota_use: requests that a quota applies to, by outcome; see
            :class:`guavagap.quotas.CustomerUse`.
    """

    name: str
    key_count: int
    priority: int
    rate_per_s: float
    burst: float
    requests: int
    refusals: dict[str, int]
    quota_use: dict[str, int]


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
        paths: files, or directories that are searched for ``.toml`` files.

    Returns:
        The documents, or all problems found in them.
    """
    problems: list[Problem] = []
    documents: list[Document] = []
    files = _document_files(paths)
    if not files:
        return Error([Problem(str(paths[0]), "", "no documents found")])
    for file in files:
        try:
            text = file.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problems.append(Problem(str(file), "", f"cannot be read: {error}"))
            continue
        checked = parse_document(text, str(file))
        if checked.is_error():
            problems += checked.error
            continue
        services = [document["service"] for document in documents]
        if checked.ok["service"] in services:
            reason = f"{checked.ok['service']!r} has more than one document"
            problems.append(Problem(str(file), "service", reason))
        documents.append(checked.ok)
    return Error(problems) if problems else Ok(documents)


def _load_documents(paths: list[Path]) -> list[Document]:
    checked = check_files(paths)
    if checked.is_error():
        text = "\n".join(str(problem) for problem in checked.error)
        raise GuavagapError(ErrorKind.DOCUMENT_INVALID, text)
    return checked.ok


async def apply_files(
    platform: KeyValueStore, paths: list[Path], author: str, message: str
) -> Commit:
    """Commit documents atomically; see :func:`commits.apply_documents`."""
    return await commits.apply_documents(
        platform, _load_documents(paths), author, message
    )


async def delete(
    platform: KeyValueStore, service: str, author: str, message: str
) -> Commit:
    """Delete a service; see :func:`commits.delete_service`."""
    return await commits.delete_service(platform, service, author, message)


async def recover(platform: KeyValueStore, above_epoch: int, author: str) -> Commit:
    """Raise the epoch of a head that has regressed."""
    return await commits.raise_epoch(platform, above_epoch, author)


async def _read_entry(platform: KeyValueStore, service: str) -> tuple[int, Entry]:
    head, _ = await read_head(platform)
    entry = head["entries"].get(service)
    if entry is None or entry["is_deleted"]:
        raise GuavagapError(ErrorKind.NOT_FOUND, f"no service {service}")
    return head["epoch"], entry


async def get_document(platform: KeyValueStore, service: str) -> AcceptedDocument:
    """Return the accepted document of a service.

    Raises:
        GuavagapError: NOT_FOUND when there is no such service.
    """
    _, entry = await _read_entry(platform, service)
    body = await read_body(platform, service, entry["digest"])
    return AcceptedDocument(entry, json.loads(body))


def _format_document(document: Document | None) -> list[str]:
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


async def diff_files(platform: KeyValueStore, paths: list[Path]) -> list[str]:
    """Return a unified diff between accepted documents and files."""
    lines: list[str] = []
    for document in _load_documents(paths):
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
            _format_document(before),
            _format_document(document),
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
    """Return the status of a service.

    Raises:
        GuavagapError: NOT_FOUND when there is no such service.
    """
    epoch, entry = await _read_entry(platform, service)
    rollout = entry["rollout"]
    base = (service, epoch, entry["version"], entry["author"])
    if rollout is None:
        return ServiceStatus(*base, "stable", entry["stable_version"], "", 0, 0.0, "")
    is_active = rollout["state"] not in FINAL_STATES
    remaining_s = max(0.0, rollout["complete_by_s"] - time.time()) if is_active else 0.0
    return ServiceStatus(
        *base,
        rollout["state"],
        entry["stable_version"],
        rollout["to_version"],
        rollout["weight_permille"],
        remaining_s,
        rollout["reason"],
    )


async def wait_for_verdict(
    platform: KeyValueStore,
    service: str,
    timeout_s: float,
    on_progress: Callable[[ServiceStatus], None],
) -> ServiceStatus:
    """Wait until the rollout of a service has ended.

    Args:
        platform: the key-value store of the platform.
        service: name of the service.
        timeout_s: maximum time to wait.
        on_progress: called with each status that differs from the previous one.

    Raises:
        GuavagapError: WAIT_TIMEOUT when the rollout has not ended in time; NOT_FOUND
            when there is no such service; PLATFORM_UNREACHABLE.
    """
    deadline_s = steady_s() + timeout_s
    revision = ""
    previous: ServiceStatus | None = None
    while True:
        status = await service_status(platform, service)
        if previous is None or status._replace(seconds_left=0) != previous:
            on_progress(status)
            previous = status._replace(seconds_left=0)
        if status.verdict in (*FINAL_STATES, "stable"):
            return status
        remaining_s = deadline_s - steady_s()
        if remaining_s <= 0:
            raise GuavagapError(
                ErrorKind.WAIT_TIMEOUT,
                f"the rollout has not ended: {status.describe()}",
            )
        value = await platform.watch(commits.HEAD_KEY, revision, min(remaining_s, 5.0))
        revision = "" if value is None else value.revision


async def node_status(address: Address) -> dict:
    """Return the status of one node.

    Raises:
        GuavagapError: NODE_UNREACHABLE when there is no valid response in time.
    """
    return await _query_node(address, b"/status")


async def _query_node(address: Address, path: bytes, method: bytes = b"GET") -> dict:
    request = HttpRequest(method, path, [])
    response = await call_http(address, request, STATUS_TIMEOUT_S)
    if response.status != 200:
        # A node of an earlier version does not know the path.
        raise GuavagapError(
            ErrorKind.NODE_UNREACHABLE,
            f"{format_address(address)}: status {response.status}",
        )
    try:
        return json.loads(response.body)
    except ValueError:
        raise GuavagapError(
            ErrorKind.NODE_UNREACHABLE, f"{address} is not an admin port"
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
        "no relay listed on the platform responds; pass --admin-address of any node",
    )


async def list_nodes(
    platform: KeyValueStore | None, admin: Address | None
) -> list[NodeSummary]:
    """Return all members known to one node, each with the status that it reports.

    Args:
        platform: key-value store that lists the relays to query first when ``admin``
            is None.
        admin: admin address of the node to query first.

    Raises:
        GuavagapError: NODE_UNREACHABLE, PLATFORM_UNREACHABLE.
    """
    status = await _seed_node_status(platform, admin)
    summaries: list[NodeSummary] = []
    limit = curio.Semaphore(MAX_PARALLEL_NODES)

    async def fetch(member: dict) -> None:
        async with limit:
            summaries.append(await _fetch_summary(member))

    async with curio.TaskGroup() as group:
        for member in status["members"]:
            await group.spawn(fetch, member)
    return sorted(summaries)


async def _fetch_summary(member: dict) -> NodeSummary:
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
        status = await node_status(parse_address(member["admin_address"]))
    except GuavagapError:
        return NodeSummary(*base, None, "", False, ())
    return NodeSummary(
        *base,
        status["epoch"],
        status["head_digest"],
        status["is_ready"],
        tuple(status["alarms"]),
        tuple(status.get("evacuated_domains", ())),
    )


async def list_customers(
    platform: KeyValueStore | None, admin: Address | None
) -> tuple[list[CustomerSummary], list[NodeCustomers]]:
    """Return the customers of a mesh, and how each of its nodes checks keys.

    Args:
        platform: see :func:`list_nodes`.
        admin: see :func:`list_nodes`.

    Raises:
        GuavagapError: NODE_UNREACHABLE, PLATFORM_UNREACHABLE.
    """
    status = await _seed_node_status(platform, admin)
    replies: list[dict] = []
    nodes: list[NodeCustomers] = []
    limit = curio.Semaphore(MAX_PARALLEL_NODES)

    async def fetch(member: dict) -> None:
        async with limit:
            try:
                address = parse_address(member["admin_address"])
                reply = await _query_node(address, b"/customers")
            except GuavagapError:
                nodes.append(NodeCustomers(member["node_id"], None, None, {}))
                return
        replies.append(reply)
        nodes.append(
            NodeCustomers(
                reply["node_id"],
                reply["is_current"],
                reply["proof_age_s"],
                reply["refusals"],
            )
        )

    async with curio.TaskGroup() as group:
        for member in status["members"]:
            if member["state"] not in ("dead", "left"):
                await group.spawn(fetch, member)
    return _sum_customers(replies), sorted(nodes)


async def _query_all_nodes(
    platform: KeyValueStore | None,
    admin: Address | None,
    path: bytes,
    method: bytes = b"GET",
) -> dict[str, dict | None]:
    """Return the replies of all nodes by node identifier, None without one."""
    status = await _seed_node_status(platform, admin)
    replies: dict[str, dict | None] = {}
    limit = curio.Semaphore(MAX_PARALLEL_NODES)

    async def query(member: dict) -> None:
        node_id = member["node_id"]
        async with limit:
            try:
                address = parse_address(member["admin_address"])
                replies[node_id] = await _query_node(address, path, method)
            except GuavagapError:
                replies[node_id] = None

    async with curio.TaskGroup() as group:
        for member in status["members"]:
            if member["state"] not in ("dead", "left"):
                await group.spawn(query, member)
    return replies


async def list_quarantines(
    platform: KeyValueStore | None, admin: Address | None
) -> tuple[list[QuarantineSummary], list[str]]:
    """Return the quarantined requests of a mesh, and the nodes that do not respond.

    Args:
        platform: see :func:`list_nodes`.
        admin: see :func:`list_nodes`.

    Raises:
        GuavagapError: NODE_UNREACHABLE, PLATFORM_UNREACHABLE.
    """
    replies = await _query_all_nodes(platform, admin, b"/quarantines")
    summaries: dict[str, QuarantineSummary] = {}
    for node_id, reply in sorted(replies.items()):
        for row in [] if reply is None else reply["quarantines"]:
            fingerprint = row["fingerprint"]
            known = summaries.get(fingerprint)
            if known is None:
                known = QuarantineSummary(fingerprint, 0, (), 0.0, ())
            summaries[fingerprint] = QuarantineSummary(
                fingerprint,
                max(known.crashes, row["crashes"]),
                tuple(sorted({*known.server_ids, *row["server_ids"]})),
                max(known.remaining_s, row["remaining_s"]),
                (*known.node_ids, node_id),
            )
    silent = sorted(node_id for node_id, reply in replies.items() if reply is None)
    return sorted(summaries.values()), silent


async def clear_quarantines(
    platform: KeyValueStore | None, admin: Address | None, fingerprint: str
) -> tuple[list[str], list[str]]:
    """Clear the quarantine of a request at all nodes.

    Nodes that do not respond learn it from the others once they are in touch.

    Args:
        platform: see :func:`list_nodes`.
        admin: see :func:`list_nodes`.
        fingerprint: the request, in hexadecimal digits.

    Returns:
        The nodes at which it was quarantined, and those that do not respond.

    Raises:
        GuavagapError: NOT_FOUND when no node has it; NODE_UNREACHABLE,
            PLATFORM_UNREACHABLE.
    """
    path = f"/quarantines/{fingerprint}".encode()
    replies = await _query_all_nodes(platform, admin, path, b"DELETE")
    cleared = sorted(
        node_id
        for node_id, reply in replies.items()
        if reply is not None and reply.get("is_cleared")
    )
    if not cleared:
        raise GuavagapError(
            ErrorKind.NOT_FOUND, f"no node has {fingerprint} in quarantine"
        )
    silent = sorted(node_id for node_id, reply in replies.items() if reply is None)
    return cleared, silent


def _sum_customers(replies: list[dict]) -> list[CustomerSummary]:
    """Return the customers of all nodes with the sums of their counts."""
    summaries: dict[str, CustomerSummary] = {}
    for reply in replies:
        for row in reply["customers"]:
            summary = summaries.get(row["name"])
            if summary is None:
                summaries[row["name"]] = CustomerSummary(**row)
                continue
            refusals = Counter(summary.refusals) + Counter(row["refusals"])
            summaries[row["name"]] = summary._replace(
                requests=summary.requests + row["requests"],
                refusals=dict(refusals),
                quota_use={
                    outcome: count + row["quota_use"][outcome]
                    for outcome, count in summary.quota_use.items()
                },
            )
    return sorted(summaries.values())
