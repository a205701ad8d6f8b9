"""Control plane cost: convergence, traffic, platform calls, CPU and memory."""

import os
import tempfile
import time
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

import curio

from bench.report import Report, percentile
from guavagap.addresses import Address
from guavagap.commits import apply_documents
from guavagap.documents import parse_document
from guavagap.platform.key_value import open_key_value_store
from standins.fleet import Fleet, open_fleet

__all__ = ["run"]

SIZES = (8, 32, 96)
DOMAINS = 8
IDLE_S = 20.0
CHANGES = 20
CHANGE_INTERVAL_S = 1.0
CONVERGENCE_BOUND_S = 16.0
TRAFFIC_BOUND_BYTES_PER_S = 2000.0
CPU_BOUND_PERCENT = 4.4
MEMORY_BOUND_MB = 64.0
HERD_BOUND_S = 16.0
UDP_OVERHEAD_BYTES = 28
TCP_OVERHEAD_BYTES = 80
CHANGES_A_DAY = 1300
DAY_S = 86_400
TARGET_SIZE = 910
STREAM_FRAMES = ("OpenStream", "StreamData", "StreamCredit", "StreamReset")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Sample(NamedTuple):
    """Counters summed over all nodes at a point in time."""

    at_s: float
    cpu_s: float
    sent_bytes: float
    received_bytes: float
    platform_calls: int


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text("ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _control_bytes(metrics: dict[str, float], direction: str) -> float:
    """Return control traffic in one direction, including protocol overhead."""
    total = metrics.get(f'guavagap_datagrams_total{{what="{direction}_bytes"}}', 0)
    datagrams = metrics.get(
        f'guavagap_datagrams_total{{what="{direction}_datagrams"}}', 0
    )
    total += datagrams * UDP_OVERHEAD_BYTES
    prefix = f"guavagap_link_{direction}_"
    for name, value in metrics.items():
        is_stream = any(frame in name for frame in STREAM_FRAMES)
        if name.startswith(prefix + "bytes_total") and not is_stream:
            total += value
        if name.startswith(prefix + "frames_total") and not is_stream:
            total += value * TCP_OVERHEAD_BYTES
    return total


def _sample(fleet: Fleet) -> Sample:
    sent_bytes = received_bytes = cpu_s = 0.0
    for node_id, node in fleet.nodes.items():
        metrics = fleet.metrics(node_id)
        sent_bytes += _control_bytes(metrics, "sent")
        received_bytes += _control_bytes(metrics, "received")
    for node in fleet.nodes.values():
        cpu_s += _cpu_s(node.process.pid)
    calls = sum(fleet.platform_call_counts().values())
    return Sample(time.monotonic(), cpu_s, sent_bytes, received_bytes, calls)


def _report_cost(
    report: Report, name: str, size: int, before: Sample, after: Sample
) -> None:
    duration_s = after.at_s - before.at_s
    node_seconds = duration_s * size
    sent_bytes_per_s = (after.sent_bytes - before.sent_bytes) / node_seconds
    received_bytes_per_s = (after.received_bytes - before.received_bytes) / node_seconds
    cpu_percent = (after.cpu_s - before.cpu_s) / node_seconds * 100
    report.add(
        f"sent_{name}_{size}", sent_bytes_per_s, "B/s", TRAFFIC_BOUND_BYTES_PER_S
    )
    report.add(
        f"received_{name}_{size}",
        received_bytes_per_s,
        "B/s",
        TRAFFIC_BOUND_BYTES_PER_S,
    )
    report.add(f"cpu_{name}_{size}", cpu_percent, "percent_of_core", CPU_BOUND_PERCENT)
    calls_per_s = (after.platform_calls - before.platform_calls) / duration_s
    report.add(f"platform_calls_{name}_{size}", calls_per_s, "calls/s")


def _start(fleet: Fleet, size: int) -> None:
    fleet.cli("apply", "examples/shop")
    for number in range(size):
        domain = number % DOMAINS
        region = f"r{domain * 2 // DOMAINS}"
        peers = tuple(f"n{index}" for index in range(min(number, 3)))
        fleet.start_node(f"n{number}", f"d{domain}", region, peers=peers)
    fleet.wait_ready(timeout_s=120)
    for number in range(size):
        fleet.wait_members(f"n{number}", size)


async def _commit_change(port: int, number: int) -> tuple[int, float]:
    """Commit the next catalogue document; return its epoch and commit time."""
    text = Path("examples/shop/catalogue.toml").read_text("utf-8")
    text = text.replace("edited_from = 0", f"edited_from = {number}")
    text = text.replace("timeout_s = 2.0", f"timeout_s = {2 + number / 100}")
    document = parse_document(text, "catalogue.toml").ok
    async with open_key_value_store(Address("127.0.0.1", port)) as platform:
        commit = await apply_documents(platform, [document], "bench", "")
    return commit.epoch, time.time()


def _apply_times(fleet: Fleet, node_id: str) -> dict[int, float]:
    """Return the time at which a node applied each epoch, from its log."""
    apply_times = {}
    for line in fleet.nodes[node_id].log_path.read_text("utf-8").splitlines():
        if 'event="configuration applied"' in line:
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            applied_at = datetime.fromisoformat(fields["time"].replace("Z", "+00:00"))
            apply_times[int(fields["epoch"])] = applied_at.timestamp()
    return apply_times


def _measure_convergence(report: Report, fleet: Fleet, size: int) -> float:
    accepted: dict[int, float] = {}
    for number in range(1, CHANGES + 1):
        epoch, at_s = curio.run(_commit_change, fleet.platform_port, number)
        accepted[epoch] = at_s
        time.sleep(CHANGE_INTERVAL_S)
    fleet.wait_epoch(max(accepted), timeout_s=60)
    delays_s: list[float] = []
    slowest_s: list[float] = []
    for epoch, at_s in accepted.items():
        node_delays_s = []
        for node_id in fleet.nodes:
            apply_times = _apply_times(fleet, node_id)
            reached_at_s = [t for applied, t in apply_times.items() if applied >= epoch]
            node_delays_s.append(max(0.0, min(reached_at_s) - at_s))
        delays_s += node_delays_s
        slowest_s.append(max(node_delays_s))
    report.add(f"convergence_p50_{size}", percentile(delays_s, 0.5), "s")
    report.add(f"convergence_p99_{size}", percentile(delays_s, 0.99), "s")
    last = max(slowest_s)
    report.add(f"convergence_last_node_{size}", last, "s", CONVERGENCE_BOUND_S)
    violations = fleet.history_violations()
    report.add(f"history_problems_{size}", len(violations), "problems", 0)
    return percentile(slowest_s, 0.5)


def _measure_herd(report: Report, fleet: Fleet, size: int) -> None:
    """Kill and restart all nodes of a failure domain at once."""
    herd = [n for n, node in fleet.nodes.items() if node.failure_domain == "d1"]
    for node_id in herd:
        fleet.kill(fleet.nodes[node_id].process)
    peers = tuple(n for n in ("n0", "n2", "n3") if n not in herd)
    before = sum(fleet.platform_call_counts().values())
    started_s = time.monotonic()
    for node_id in herd:
        region = f"r{1 * 2 // DOMAINS}"
        fleet.start_node(node_id, "d1", region, peers=peers)
    fleet.wait_ready(*herd, timeout_s=60)
    report.add(f"herd_ready_{size}", time.monotonic() - started_s, "s", HERD_BOUND_S)
    calls = sum(fleet.platform_call_counts().values()) - before
    report.add(f"herd_platform_calls_{size}", calls / len(herd), "calls/node")


def _measure(report: Report, size: int) -> float:
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        _start(fleet, size)
        time.sleep(IDLE_S / 2)
        before = _sample(fleet)
        time.sleep(IDLE_S)
        after = _sample(fleet)
        _report_cost(report, "idle", size, before, after)
        before = _sample(fleet)
        slowest_p50_s = _measure_convergence(report, fleet, size)
        after = _sample(fleet)
        _report_cost(report, "changing", size, before, after)
        memory_bytes = [
            fleet.metrics(n)["guavagap_process_resident_bytes"] for n in fleet.nodes
        ]
        report.add(f"memory_{size}", max(memory_bytes) / 1e6, "MB", MEMORY_BOUND_MB)
        _measure_herd(report, fleet, size)
        return slowest_p50_s


def run(report: Report) -> None:
    """Measure meshes of several sizes and extrapolate to the target size."""
    slowest_s = {size: _measure(report, size) for size in SIZES}
    first, last = SIZES[0], SIZES[-1]
    slope = (slowest_s[last] - slowest_s[first]) / (last - first)
    report.add("convergence_slope", slope * 1000, "ms/node")
    at_target = slowest_s[last] + slope * (TARGET_SIZE - last)
    report.add("convergence_at_target_linear", at_target, "s", CONVERGENCE_BOUND_S)
