"""Cases with a request that crashes each upstream that begins to run it.

The rule (BUDGET): such a request reaches upstreams in at most three retries that
machines in touch send later than ``stableWindowS`` after it has crashed the third.
"""

import threading
import time
from pathlib import Path
from typing import Callable

from mesh import HOST, STABLE_WINDOW_S, CannotRun, Machine, Mesh, Process, environment

MAX_LATE_RETRIES = 3
# PROTOCOL.md: the upstream is back after some seconds.
DOWN_S = 2.0
BYSTANDERS_HEAD_START_S = 0.2
PROGRAM = str(Path(__file__).with_name("crashing_upstream.py"))
ROUTES = [
    {"prefix": "/shop/", "service": "shop"},
    {"prefix": "/pay/", "service": "kasse", "kind": "unsafe"},
]
LAYOUT = [
    ("m1", "bergen-a", "kasse"),
    ("m2", "oslo-a", "kasse"),
    ("m3", "bergen-a", "shop"),
    ("m4", "oslo-a", "shop"),
]


class SupervisedUpstream:
    """Runs an upstream, and starts it again some seconds after each crash.

    Args:
        mesh: owner of the processes.
        machine: the machine of the upstream.
        is_id_kept: whether the upstream starts again under the id that it had, as some
            do; most get a new one.
    """

    def __init__(self, mesh: Mesh, machine: Machine, is_id_kept: bool):
        self.crashed_at_s: list[float] = []
        self._mesh = mesh
        self._machine = machine
        self._is_id_kept = is_id_kept
        self._start_count = 0
        self._process: Process | None = None
        threading.Thread(target=self._supervise, daemon=True).start()

    def _supervise(self) -> None:
        while not self._mesh.is_closing:
            self._start_count += 1
            server_id = f"i-{self._machine.name}"
            if not self._is_id_kept:
                server_id += f"-{self._start_count}"
            machine = self._machine
            arguments = [PROGRAM, machine.app, machine.control]
            arguments += [server_id, machine.service]
            try:
                self._process = self._mesh.spawn(
                    arguments, environment(), f"{server_id}-{self._start_count}.log"
                )
            except CannotRun:
                # The script ends.
                return
            self._mesh.record.write("upstream started", server=server_id)
            self._process.wait()
            if self._mesh.is_closing:
                return
            self.crashed_at_s.append(time.monotonic())
            for line in self._process.log_text().splitlines():
                self._mesh.record.write("  it ran", line=line.partition("\t")[2])
            self._mesh.record.write("upstream crashed", server=server_id)
            time.sleep(DOWN_S)


def start_mesh(mesh: Mesh, is_id_kept: bool = False) -> list[SupervisedUpstream]:
    """Start the machines; return the upstreams of ``kasse``."""
    mesh.start_store()
    mesh.configure(7, ROUTES)
    machines = mesh.start_machines(LAYOUT)
    upstreams = [
        SupervisedUpstream(mesh, machine, is_id_kept)
        for machine in machines
        if machine.service == "kasse"
    ]
    for machine in machines:
        if machine.service == "shop":
            machine.start_upstream(f"i-{machine.name}")
    for machine in machines:
        mesh.wait_served(machine, "/shop/a")
        mesh.wait_served(machine, "/pay/a")
    # All machines are in touch from here on.
    time.sleep(STABLE_WINDOW_S + 0.5)
    return upstreams


def crash_times_s(upstreams: list[SupervisedUpstream]) -> list[float]:
    """Return when the request has crashed an upstream, in order."""
    return sorted(at_s for item in upstreams for at_s in item.crashed_at_s)


def is_rule_broken(mesh: Mesh, upstreams: list[SupervisedUpstream]) -> bool:
    """Judge by the crashes: each is the arrival of one retry."""
    crashes_s = crash_times_s(upstreams)
    late = 0
    if len(crashes_s) > 3:
        late_from_s = crashes_s[2] + STABLE_WINDOW_S
        late = sum(at_s > late_from_s for at_s in crashes_s[3:])
    mesh.record.write(
        "count", crashes=len(crashes_s), late_retries=late, allowed=MAX_LATE_RETRIES
    )
    return late > MAX_LATE_RETRIES


def wait_back(mesh: Mesh, machine: Machine) -> None:
    """Wait until ``kasse`` is served again after a crash."""
    time.sleep(DOWN_S)
    mesh.wait_served(machine, "/pay/a")


def send_with_bystanders(
    machine: Machine, request_id: str, send: Callable[[], object]
) -> int:
    """Send a request while others run; return how many of these were lost with 502.

    The others are unsafe requests of clients on the same machine.
    """
    statuses: list[int] = []

    def stand_by(number: int) -> None:
        name = f"bystander-{request_id}-{number}"
        answer = machine.request(name, "/pay/a", "POST", name.encode())
        statuses.append(answer.status)

    threads = [threading.Thread(target=stand_by, args=(n,)) for n in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(BYSTANDERS_HEAD_START_S)
    send()
    for thread in threads:
        thread.join()
    return sum(status == 502 for status in statuses)


def send_in_two_segments(
    machine: Machine, request_id: str, body: bytes, first_bytes: int
) -> None:
    """Send a request whose body comes in two segments.

    A segment boundary falls wherever the client's writes and the network put it.
    """
    head = (
        f"POST /pay/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 2000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    segments = [head.encode() + body[:first_bytes], body[first_bytes:]]
    machine.request_raw(request_id, segments)
