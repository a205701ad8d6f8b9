"""A heartbeat of another writer that names no known service comes to one machine."""

import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from mesh import GRACE_S, STABLE_WINDOW_S, Machine, Mesh, run_case  # noqa: E402

ROUTES = [
    {"prefix": "/shop/", "service": "shop"},
    {"prefix": "/pay/", "service": "kasse", "kind": "unsafe"},
]
LAYOUT = [
    ("m1", "bergen-a", "kasse"),
    ("m2", "bergen-a", "shop"),
    ("m3", "oslo-a", "shop"),
    ("m4", "oslo-a", "shop"),
]
CLIENTS_PER_MACHINE = 3
# These get a SIGTERM in turn; their clients go on until they take no more connections.
STOPPED = ("m2", "m3", "m4")
FIRST_STOP_AFTER_STRAY_S = 0.3
STOP_GAP_S = 1.0
ROUTE_TIMEOUT_S = 2.0
WORK_S = 0.5
WARM_S = 1.0
WATCHED_S = 12.0
# Half of a pair of UTF-16 surrogates: JSON can spell it, but it is no text. It can be
# written in ASCII only as an escape, as json.dumps does.
UNREADABLE_SERVICE = "\ud83d"


class Payment:
    """One request of a client and how it ended."""

    def __init__(self, request_id: str, machine: Machine):
        self.request_id = request_id
        self.machine = machine
        self.sent_at_s = time.monotonic()
        answer = machine.request(request_id, "/pay/x", "POST", request_id.encode())
        self.answered_at_s = time.monotonic()
        self.status = answer.status
        self.is_from_upstream = "x-server-stamp" in answer.headers


def play(mesh: Mesh, is_troubled: bool) -> bool:
    mesh.start_store()
    mesh.configure(7, ROUTES)
    machines = mesh.start_machines(LAYOUT)
    upstreams = [machine.start_upstream(f"i-{machine.name}") for machine in machines]
    for machine in machines:
        mesh.wait_served(machine, "/shop/a")
        mesh.wait_served(machine, "/pay/a")
    time.sleep(STABLE_WINDOW_S + 0.5)
    kasse = upstreams[0]
    kasse.work_s = WORK_S

    payments: list[Payment] = []
    is_ending = threading.Event()
    clients = [
        threading.Thread(
            target=send_payments, args=(mesh.machines[name], n, payments, is_ending)
        )
        for name in STOPPED
        for n in range(CLIENTS_PER_MACHINE)
    ]
    for client in clients:
        client.start()
    time.sleep(WARM_S)
    if is_troubled:
        send_stray_heartbeat(kasse)
    time.sleep(FIRST_STOP_AFTER_STRAY_S)
    stopped_at_s: dict[str, float] = {}
    for name in STOPPED:
        mesh.machines[name].daemon.signal(signal.SIGTERM)
        stopped_at_s[name] = time.monotonic()
        mesh.record.write("SIGTERM", machine=name)
        time.sleep(STOP_GAP_S)
    time.sleep(WATCHED_S)
    is_ending.set()
    for client in clients:
        client.join()

    broken_off = [
        payment
        for payment in payments
        if payment.request_id in kasse.runs and is_broken_off(payment)
    ]
    counted = [
        payment
        for payment in broken_off
        if 0 < time_after_stop_s(payment, stopped_at_s) < GRACE_S + 1.0
    ]
    for payment in broken_off:
        mesh.record.write(
            "broken off while its upstream was at work",
            request=payment.request_id,
            answered_after_sigterm_s=round(time_after_stop_s(payment, stopped_at_s), 2),
            is_counted=payment in counted,
        )
    mesh.record.write(
        "count",
        broken_off=len(broken_off),
        of_these_around_the_planned_stop=len(counted),
        allowed=0,
        refused=sum(payment.status == 503 for payment in payments),
    )
    return bool(counted)


def time_after_stop_s(payment: Payment, stopped_at_s: dict[str, float]) -> float:
    """Return how long after the SIGTERM of its machine a request was answered."""
    return payment.answered_at_s - stopped_at_s[payment.machine.name]


def send_stray_heartbeat(upstream) -> None:
    """Send a heartbeat with an id, address and service that are not in use."""
    value = json.loads(upstream.next_heartbeat())
    ip = upstream.app.rpartition(":")[0]
    value |= {"service": UNREADABLE_SERVICE, "address": f"{ip}:9", "state": "draining"}
    upstream.report(json.dumps(value).encode(), "stray heartbeat", "i-stray")


def is_broken_off(payment: Payment) -> bool:
    """Return whether the node answered in place of an upstream, before any deadline."""
    took_s = payment.answered_at_s - payment.sent_at_s
    is_own_answer = payment.status >= 500 and not payment.is_from_upstream
    return is_own_answer and took_s < 0.9 * ROUTE_TIMEOUT_S


def send_payments(machine, client: int, payments: list, is_ending) -> None:
    """Send requests one after the other, as long as the machine takes connections."""
    number = 0
    while not is_ending.is_set():
        number += 1
        payment = Payment(f"{machine.name}-{client}-{number}", machine)
        if payment.status == 0:
            return
        payments.append(payment)
        if payment.status != 200:
            time.sleep(0.2)


run_case(
    play,
    is_troubled=os.environ.get("TROUBLE", "1") != "0",
    record_path=Path(__file__).resolve().with_name("record.txt"),
)
