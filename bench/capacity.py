"""Memory, message sizes and CPU time of each role at the target mesh size.

docs/CAPACITY.md uses the figures.
"""

import os
import time
import tracemalloc
import zlib
from typing import Callable

from bench.report import Report
from guavagap.codec import encode_frame
from guavagap.configuration import Configuration
from guavagap.datagrams import open_datagram, seal_datagram
from guavagap.directory import Directory
from guavagap.documents import compute_digest, encode_document
from guavagap.evidence import EvidenceKey, EvidenceTable, EvidenceWindows
from guavagap.head import (
    Delta,
    compute_delta,
    compute_head_digest,
    encode_delta,
    encode_head,
)
from guavagap.idempotency import IdempotencyKeys
from guavagap.limits import PermitLedger
from guavagap.members import MemberTable
from guavagap.messages import (
    BackendServer,
    Datagram,
    EvidenceReport,
    KeyClaim,
    Member,
    PermitDemand,
    PermitGrant,
    PermitReply,
    PermitRequest,
)
from guavagap.rollouts import SEQUENTIAL_POLICY, find_fault

__all__ = ["run"]

NODES = 910
SERVICES = 170
DOMAINS = 8
MESH_KEY = b"0123456789abcdef"
REPEATS = 200
KEY_CLAIMS = 5000
PERMIT_PAIRS = 36
PERMIT_RENEWAL_S = 4.0
TCP_OVERHEAD_BYTES = 80
HEAD_BOUND_BYTES = 1_000_000
CONVERGENCE_BOUND_MS = 16_000
PERMITS_BOUND_BYTES_PER_S = 2000


def _make_member(number: int) -> Member:
    address = f"10.{number // 250}.{number % 250}.7"
    server = BackendServer(
        f"backend-{number}",
        f"service-{number % SERVICES}",
        "2026.12.1",
        "main",
        f"{address}:8080",
        9,
        110,
    )
    domain = number % DOMAINS
    return Member(
        f"node-{number}",
        1_700_000_000_000 + number,
        0,
        f"region-{domain // 4}",
        f"domain-{domain}",
        f"{address}:7001",
        f"{address}:7002",
        f"{address}:7003",
        False,
        (server,),
    )


def _make_document(number: int) -> dict:
    routes = [
        {
            "name": f"route-{index}",
            "host": f"service-{number}.example",
            "path_prefix": f"/part-{index}",
            "is_idempotent": index > 0,
            "timeout_s": 2.0,
            "retry_share": 0.1,
            "pool": "main",
        }
        for index in range(3)
    ]
    return {
        "service": f"service-{number}",
        "owner": f"team-{number}@claims.example",
        "edited_from": 0,
        "wanted": {
            "backend_server_version": "2026.12.1",
            "complete_by": "2027-01-01T00:00:00Z",
        },
        "pools": [{"name": "main"}],
        "routes": routes,
    }


def _make_entry(body: bytes, epoch: int) -> dict:
    return {
        "version": 1,
        "digest": compute_digest(body),
        "epoch": epoch,
        "document_epoch": epoch,
        "author": "team@claims.example",
        "committed_at_s": 1.7e9,
        "stable_version": "2026.12.1",
        "rollout": None,
        "rolled_back_versions": [],
        "is_deleted": False,
    }


def _time_us(function: Callable[[], object], repeats: int = REPEATS) -> float:
    started_s = time.perf_counter()
    for _ in range(repeats):
        function()
    return (time.perf_counter() - started_s) / repeats * 1e6


def _measure_allocation(build: Callable[[], object]) -> tuple[object, float]:
    """Return the result of ``build`` and the bytes still allocated after it."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    value = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return value, after - before


def _build_member_table() -> MemberTable:
    table = MemberTable(_make_member(0), time.monotonic)
    for number in range(1, NODES):
        table.merge(_make_member(number))
    return table


def _measure_members(report: Report) -> None:
    table, size_bytes = _measure_allocation(_build_member_table)
    report.add("member_table_memory", size_bytes / 1e6, "MB")
    directory = Directory(table)
    rebuild_us = _time_us(lambda: directory.rebuild(time.monotonic()), 20)
    report.add("directory_rebuild", rebuild_us, "us")
    datagram = Datagram(
        "node-1", 1, 2, 3, 4, (_make_member(1), _make_member(2)), (), 0, 1
    )
    packet = seal_datagram(MESH_KEY, datagram)
    empty = seal_datagram(MESH_KEY, datagram._replace(members=()))
    report.add("datagram_empty", len(empty), "B")
    report.add("datagram_row", (len(packet) - len(empty)) / 2, "B")
    report.add(
        "datagram_encode", _time_us(lambda: seal_datagram(MESH_KEY, datagram)), "us"
    )
    report.add(
        "datagram_decode", _time_us(lambda: open_datagram(MESH_KEY, packet)), "us"
    )


def _make_full_delta(bodies: dict[str, bytes]) -> Delta:
    entries = {service: _make_entry(body, 1) for service, body in bodies.items()}
    by_digest = {compute_digest(body): body for body in bodies.values()}
    return Delta(0, 1, entries, by_digest, compute_head_digest(1, entries))


def _measure_configuration(report: Report) -> None:
    bodies = {
        f"service-{number}": encode_document(_make_document(number))
        for number in range(SERVICES)
    }
    delta = _make_full_delta(bodies)

    def build() -> Configuration:
        configuration = Configuration()
        configuration.apply(delta)
        return configuration

    started_s = time.perf_counter()
    configuration = build()
    report.add("apply_whole", (time.perf_counter() - started_s) * 1000, "ms")
    _, size_bytes = _measure_allocation(build)
    report.add("configuration_memory", size_bytes / 1e6, "MB")
    report.add("head_size", len(encode_head(configuration.head)), "B", HEAD_BOUND_BYTES)
    raw = encode_delta(configuration.delta_since(0))
    report.add("whole_delta", len(raw), "B")
    report.add("whole_delta_compressed", len(zlib.compress(raw, 6)), "B")
    _measure_change(report, configuration)


def _measure_change(report: Report, configuration: Configuration) -> None:
    document = _make_document(0)
    durations_ms = []
    for number in range(2, 12):
        document["routes"][0]["timeout_s"] = float(number)
        body = encode_document(document)
        entries = configuration.head["entries"] | {
            "service-0": _make_entry(body, number)
        }
        head = {"epoch": number, "change": None, "entries": entries}
        bodies = {**configuration.bodies, compute_digest(body): body}
        delta = compute_delta(head, bodies, number - 1)
        raw = encode_delta(delta)
        started_s = time.perf_counter()
        configuration.apply(delta)
        durations_ms.append((time.perf_counter() - started_s) * 1000)
    report.add("change_apply", sorted(durations_ms)[5], "ms", CONVERGENCE_BOUND_MS)
    report.add("change_compressed", len(zlib.compress(raw, 6)), "B")


def _measure_permit_renewal(report: Report) -> None:
    demand = PermitRequest(123456, (PermitDemand("backend-17", 2, 2),))
    grant = PermitReply(123456, (PermitGrant("backend-17", 2, 6000),))
    renewal_bytes = len(encode_frame(demand)) + len(encode_frame(grant)) + 2 * 20
    report.add("permit_renewal", renewal_bytes, "B")
    total_bytes = (renewal_bytes + 2 * TCP_OVERHEAD_BYTES) * PERMIT_PAIRS
    report.add(
        "permit_renewals_sent_and_received",
        total_bytes / PERMIT_RENEWAL_S / 2,
        "B/s",
        PERMITS_BOUND_BYTES_PER_S,
    )


def _measure_permit_ledger(report: Report) -> None:
    ledger = PermitLedger(99, 6.0, time.monotonic)
    for number in range(99):
        ledger.allocate(f"node-{number}", 1, 1)
    renewal_us = _time_us(lambda: ledger.allocate("node-1", 1, 1))
    report.add("permit_demand_99_holders", renewal_us, "us")


def _measure_evaluator(report: Report) -> None:
    table = EvidenceTable()
    windows = EvidenceWindows("v1", "v2")
    for number in range(16):
        version = "v1" if number < 8 else "v2"
        for route in range(3):
            key = EvidenceKey("service-1", version, f"route-{route}", f"b-{number}")
            for _ in range(50):
                table.record(key, False, 0.002)
    rows = table.drain({"service-1"})
    report.add(
        "evidence_row",
        len(encode_frame(EvidenceReport("node-1", rows, False))) / len(rows),
        "B",
    )
    for _ in range(60):
        windows.add_tick(rows)
    evaluation_us = _time_us(
        lambda: find_fault(SEQUENTIAL_POLICY, windows.windows()), 10
    )
    report.add("judge_rollout_60_ticks", evaluation_us / 1000, "ms")


def _measure_keys(report: Report) -> None:
    def build() -> IdempotencyKeys:
        keys = IdempotencyKeys(
            MemberTable(_make_member(0), time.monotonic), None, time.monotonic
        )
        for number in range(KEY_CLAIMS):
            key = f"service-1/{number:032d}".encode()
            keys.witness(KeyClaim(1, key, os.urandom(16), "node-1#" + "0" * 32, False))
        return keys

    _, size_bytes = _measure_allocation(build)
    report.add("key_claim_memory", size_bytes / KEY_CLAIMS, "B/key")


def run(report: Report) -> None:
    """Measure the state and work of each role."""
    _measure_members(report)
    _measure_configuration(report)
    _measure_permit_renewal(report)
    _measure_permit_ledger(report)
    _measure_evaluator(report)
    _measure_keys(report)
