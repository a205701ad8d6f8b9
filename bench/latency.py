"""Latency that a node adds to a call on each path, against a direct call."""

import tempfile
from pathlib import Path

from bench.load import (
    BlockingClient,
    LoadResult,
    make_request,
    run_closed_loop,
    run_paced,
)
from bench.report import Report, percentile
from standins.fleet import Fleet, open_fleet, wait_until

__all__ = ["run"]

ADDED_P99_BOUND_MS = 1.3
CALLS_PER_S = 78.0
CALL_COUNT = 3000
WARM_UP_CALLS = 100
SATURATION_S = 4.0
SATURATION_CLIENTS = 4
DIRECT_PATH_CONNECTIONS = "110"
# With its 9 slots, a backend server that accepts 11 connections leaves none that may
# be granted to other nodes.
FORWARDED_PATH_CONNECTIONS = "11"


def _start(fleet: Fleet, connections: str, collector: str) -> None:
    fleet.cli("apply", "examples/shop")
    options = {"garbage_collector": collector, "log_level": "warning"}
    fleet.start_node("a1", "da", **options)
    fleet.start_node("b1", "db", peers=("a1",), **options)
    fleet.wait_ready()
    fleet.start_server("s1", "b1", connections=connections)
    fleet.wait_backend_servers("catalogue", 1)


def _warm_up(client: BlockingClient) -> None:
    for _ in range(WARM_UP_CALLS):
        client.call()


def _measure(report: Report, name: str, connections: str, collector: str) -> None:
    request = make_request("/catalogue/1", {"user-agent": "bench", "accept": "*/*"})
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        _start(fleet, connections, collector)
        proxied = BlockingClient(fleet.nodes["a1"].caller_port, request)
        direct = BlockingClient(fleet.servers["s1"].port, request)
        wait_until(lambda: proxied.call() == 200, what="first response")
        _warm_up(proxied)
        _warm_up(direct)
        base, result = run_paced([direct, proxied], 2 * CALLS_PER_S, 2 * CALL_COUNT)
        is_bounded = name == "direct" and collector == "tamed"
        _report_paced(report, f"{name}_{collector}", base, result, is_bounded)
        clients = [
            BlockingClient(fleet.nodes["a1"].caller_port, request)
            for _ in range(SATURATION_CLIENTS)
        ]
        _report_saturated(report, f"{name}_{collector}", clients)


def _report_paced(
    report: Report, name: str, base: LoadResult, result: LoadResult, is_bounded: bool
) -> None:
    for share, label in ((0.5, "p50"), (0.99, "p99")):
        base_ms = percentile(base.latencies_s, share) * 1000
        proxied_ms = percentile(result.latencies_s, share) * 1000
        bound = ADDED_P99_BOUND_MS if is_bounded and label == "p99" else None
        report.add(f"call_without_node_{name}_{label}", base_ms, "ms")
        report.add(f"call_through_node_{name}_{label}", proxied_ms, "ms")
        report.add(f"added_{name}_{label}", proxied_ms - base_ms, "ms", bound)
    failed = sum(n for status, n in result.statuses.items() if status != 200)
    report.add(f"failed_calls_{name}", failed, "calls", 0)


def _report_saturated(report: Report, name: str, clients: list) -> None:
    result = run_closed_loop(clients, SATURATION_S)
    rate = len(result.latencies_s) / result.duration_s
    report.add(f"saturated_rate_{name}", rate, "calls/s")
    p99_ms = percentile(result.latencies_s, 0.99) * 1000
    report.add(f"saturated_p99_{name}", p99_ms, "ms")
    for client in clients:
        client.close()


def run(report: Report) -> None:
    """Measure the direct and the forwarded path with both GC settings."""
    for collector in ("default", "tamed"):
        _measure(report, "direct", DIRECT_PATH_CONNECTIONS, collector)
        _measure(report, "forwarded", FORWARDED_PATH_CONNECTIONS, collector)
