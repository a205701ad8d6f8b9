"""Calls under overload, with chained retries, and with a slow or dead server."""

import socket
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

from bench.load import BlockingClient, LoadResult, make_request, run_open_loop
from bench.report import Report, percentile
from standins.fleet import Fleet, open_fleet

__all__ = ["run"]

LAYOUT = {"n0": "d0", "n1": "d1", "n2": "d2", "n3": "d3"}
SLOTS = 4
RUN_MS = 20
CAPACITY_PER_S = SLOTS * 1000 / RUN_MS
OVERLOAD_FACTOR = 2.0
OVERLOAD_CLIENTS = 100
OVERLOAD_S = 6.0
DEADLINE_S = 0.2
GOODPUT_LOSS_BOUND = 0.2
CHAIN_DEPTH = 14
LOSS_SHARE = 0.1
CHAIN_CALLS = 60
AMPLIFICATION_BOUND = 1.2
NAIVE_ATTEMPTS = 3
FAULT_CALLS_PER_S = 100.0
FAULT_LOAD_S = 8.0
SLOW_RUN_MS = 200
SLOW_CALL_THRESHOLD_S = 0.1
FAULT_IMPACT_BOUND_SHARE = 0.25
IDLE_CONNECTIONS = 1000
INGRESS_NODES = 96
INGRESS_CALLS_PER_S = 78 * 910 * 5.35 / 96 / 910
INGRESS_S = 20.0
DIRECT_BOUND_SHARE = 0.01


@contextmanager
def _open_mesh(layout: dict[str, str], **options: str):
    with tempfile.TemporaryDirectory() as folder:
        with open_fleet(Path(folder), log_level="warning", **options) as fleet:
            fleet.cli("apply", "examples/shop")
            started: list[str] = []
            for node_id, domain in layout.items():
                fleet.start_node(node_id, domain, peers=tuple(started[:2]))
                started.append(node_id)
            fleet.wait_ready(timeout_s=120)
            yield fleet


def _goodput(result: LoadResult) -> float:
    within_deadline = sum(latency <= DEADLINE_S for latency in result.latencies_s)
    failed = sum(count for status, count in result.statuses.items() if status != 200)
    return max(0, within_deadline - failed) / result.duration_s


def _overload_goodput(port: int) -> float:
    request = make_request("/catalogue/x", {"guavagap-timeout-ms": "200"})
    clients = [BlockingClient(port, request) for _ in range(OVERLOAD_CLIENTS)]
    return _goodput(
        run_open_loop(clients, CAPACITY_PER_S * OVERLOAD_FACTOR, OVERLOAD_S)
    )


def _measure_overload(report: Report) -> None:
    with _open_mesh({"n0": "d0"}) as fleet:
        server = fleet.start_server(
            "s0", "n0", slots=SLOTS, enforced_slots=SLOTS, delay_ms=RUN_MS
        )
        fleet.wait_backend_servers("catalogue", 1)
        goodput_with_admission = _overload_goodput(fleet.nodes["n0"].caller_port)
        time.sleep(2 * DEADLINE_S)
        goodput_without_admission = _overload_goodput(server.port)
    report.add("goodput_at_twice_capacity", goodput_with_admission, "calls/s")
    report.add("goodput_without_admission", goodput_without_admission, "calls/s")
    loss = 1.0 - goodput_with_admission / CAPACITY_PER_S
    report.add("goodput_loss_at_twice_capacity", loss, "share", GOODPUT_LOSS_BOUND)


def _count_runs(fleet: Fleet) -> int:
    return sum(
        sum(fleet.ledger(server_id)["runs"].values()) for server_id in fleet.servers
    )


def _call_chain(fleet: Fleet, **headers: str) -> tuple[float, float]:
    """Return the runs per needed run, and the share of failed calls."""
    runs_before = _count_runs(fleet)
    failed = 0
    request_headers = {
        "x-chain": str(CHAIN_DEPTH),
        "x-lose-share": str(LOSS_SHARE),
        **headers,
    }
    for number in range(CHAIN_CALLS):
        response = fleet.call("n0", f"/catalogue/{number}", headers=request_headers)
        failed += response.status != 200
    return (
        _count_runs(fleet) - runs_before
    ) / CHAIN_CALLS / CHAIN_DEPTH, failed / CHAIN_CALLS


def _measure_chain(report: Report) -> None:
    with _open_mesh(LAYOUT) as fleet:
        for index, node_id in enumerate(LAYOUT):
            caller = f"127.0.0.1:{fleet.nodes[node_id].caller_port}"
            fleet.start_server(f"s{index}", node_id, caller_address=caller)
        fleet.wait_backend_servers("catalogue", len(LAYOUT))
        runs, failed = _call_chain(fleet)
        report.add("chain_runs_per_needed_run", runs, "ratio", AMPLIFICATION_BOUND)
        report.add("chain_failed_calls", failed, "share")
        naive = {"x-chain-tries": str(NAIVE_ATTEMPTS), "guavagap-retry": "1"}
        runs, failed = _call_chain(fleet, **naive)
        report.add("naive_chain_runs_per_needed_run", runs, "ratio")
        report.add("naive_chain_failed_calls", failed, "share")


def _run_load(fleet: Fleet) -> LoadResult:
    request = make_request("/catalogue/x")
    clients = [
        BlockingClient(fleet.nodes[node_id].caller_port, request)
        for node_id in LAYOUT
        for _ in range(5)
    ]
    return run_open_loop(clients, FAULT_CALLS_PER_S, FAULT_LOAD_S)


def _measure_faulty_server(report: Report) -> None:
    with _open_mesh(LAYOUT) as fleet:
        for index, node_id in enumerate(LAYOUT):
            run_ms = SLOW_RUN_MS if index == 0 else 0
            fleet.start_server(f"s{index}", node_id, delay_ms=run_ms)
        fleet.wait_backend_servers("catalogue", len(LAYOUT))
        result = _run_load(fleet)
        slow = sum(latency > SLOW_CALL_THRESHOLD_S for latency in result.latencies_s)
        share = slow / len(result.latencies_s)
        report.add(
            "calls_hurt_by_one_slow_of_four", share, "share", FAULT_IMPACT_BOUND_SHARE
        )
        fleet.kill(fleet.servers["s1"].process)
        result = _run_load(fleet)
        failed = sum(
            count for status, count in result.statuses.items() if status != 200
        )
        share = failed / len(result.latencies_s)
        report.add("calls_failed_by_one_dead_of_four", share, "share", 0.01)


def _measure_idle_connections(report: Report) -> None:
    with _open_mesh({"n0": "d0"}) as fleet:
        name = "guavagap_process_resident_bytes"
        before = fleet.metrics("n0")[name]
        port = fleet.nodes["n0"].caller_port
        sockets = [
            socket.create_connection(("127.0.0.1", port))
            for _ in range(IDLE_CONNECTIONS)
        ]
        time.sleep(1.0)
        after = fleet.metrics("n0")[name]
        for sock in sockets:
            sock.close()
    report.add("memory_of_1000_idle_callers", (after - before) / 1e6, "MB")


def _measure_direct_share(report: Report) -> None:
    layout = {f"n{number}": f"d{number % 8}" for number in range(INGRESS_NODES)}
    with _open_mesh(layout) as fleet:
        for number in range(5):
            fleet.start_server(f"s{number}", f"n{number}")
        fleet.wait_backend_servers("catalogue", 5)
        request = make_request("/catalogue/x")
        clients = [
            BlockingClient(node.caller_port, request) for node in fleet.nodes.values()
        ]
        calls_per_s = INGRESS_CALLS_PER_S * INGRESS_NODES
        run_open_loop(clients, calls_per_s, INGRESS_S / 2)
        before = _path_counts(fleet)
        result = run_open_loop(clients, calls_per_s, INGRESS_S)
        after = _path_counts(fleet)
    calls_by_path = {path: after[path] - before[path] for path in after}
    forwarded = calls_by_path["forwarded"] / sum(calls_by_path.values())
    report.add("forwarded_share_96_ingress", forwarded, "share", DIRECT_BOUND_SHARE)
    p99_ms = percentile(result.latencies_s, 0.99) * 1000
    report.add("call_p99_96_ingress", p99_ms, "ms")


def _path_counts(fleet: Fleet) -> dict[str, float]:
    counts = dict.fromkeys(("direct", "forwarded", "local"), 0.0)
    for node_id in fleet.nodes:
        metrics = fleet.metrics(node_id)
        for path in counts:
            name = f'guavagap_requests_total{{what="path_{path}"}}'
            counts[path] += metrics.get(name, 0)
    return counts


def run(report: Report) -> None:
    """Measure calls under overload and with faults."""
    _measure_overload(report)
    _measure_chain(report)
    _measure_faulty_server(report)
    _measure_idle_connections(report)
    _measure_direct_share(report)
