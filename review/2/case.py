"""An upstream leaves, the daemon beside it restarts, and a late heartbeat comes."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from mesh import (  # noqa: E402
    DRAIN_S,
    HEARTBEAT_S,
    STABLE_WINDOW_S,
    CannotRun,
    Mesh,
    Upstream,
    run_case,
)

ROUTES = [{"prefix": "/pay/", "service": "kasse", "kind": "unsafe"}]
LAYOUT = [("m1", "bergen-a", "kasse"), ("m2", "oslo-a", "kasse")]
# Times after the acknowledgement.
KILLED_AFTER_S = 0.3
RESTARTED_AFTER_S = 0.8
LATE_HEARTBEAT_AFTER_S = 2.0
# The restarted machine is in touch from here on, and drainS is long over.
REQUESTS_FROM_S = RESTARTED_AFTER_S + STABLE_WINDOW_S + 0.7
EXIT_AFTER_S = REQUESTS_FROM_S + 3.0
CLIENTS = 3
WORK_S = 0.3


def play(mesh: Mesh, is_troubled: bool) -> bool:
    mesh.start_store()
    mesh.configure(7, ROUTES)
    machine, other = mesh.start_machines(LAYOUT)
    leaving = machine.start_upstream("i-m1")
    other.start_upstream("i-m2")
    for each in (machine, other):
        mesh.wait_served(each, "/pay/a")
    time.sleep(STABLE_WINDOW_S + 0.5)

    leaving.stop_reporting()
    time.sleep(HEARTBEAT_S + 0.1)
    # Sent before the leaving, and held up on its way.
    late_heartbeat = leaving.next_heartbeat()
    if leaving.leave() != 200:
        raise CannotRun("the leaving was not acknowledged")
    left_at_s = time.monotonic()
    leaving.work_s = WORK_S

    def wait_until(after_s: float) -> None:
        time.sleep(max(0.0, left_at_s + after_s - time.monotonic()))

    if is_troubled:
        wait_until(KILLED_AFTER_S)
        machine.kill_daemon()
        wait_until(RESTARTED_AFTER_S)
        machine.start_daemon()
    wait_until(LATE_HEARTBEAT_AFTER_S)
    leaving.report(late_heartbeat, "late heartbeat")
    wait_until(REQUESTS_FROM_S)
    clients = [
        threading.Thread(target=send_payments, args=(machine, number, left_at_s))
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    wait_until(EXIT_AFTER_S)
    leaving.exit()
    for client in clients:
        client.join()
    return count_late_runs(mesh, leaving, left_at_s) > 0


def send_payments(machine, client: int, left_at_s: float) -> None:
    """Send requests one after the other until the leaving upstream has exited."""
    number = 0
    while time.monotonic() < left_at_s + EXIT_AFTER_S:
        number += 1
        machine.request(f"payment-{client}-{number}", "/pay/x", "POST", b"100 kr")
        time.sleep(0.1)


def count_late_runs(mesh: Mesh, leaving: Upstream, left_at_s: float) -> int:
    """Return how many requests reached the upstream later than ``drainS``."""
    late = sum(
        at_s > left_at_s + DRAIN_S
        for request_id, times_s in leaving.runs.items()
        if request_id.startswith("payment-")
        for at_s in times_s
    )
    mesh.record.write("count", requests_later_than_drain=late, allowed=0)
    return late


run_case(
    play,
    is_troubled=os.environ.get("TROUBLE", "1") != "0",
    record_path=Path(__file__).resolve().with_name("record.txt"),
)
