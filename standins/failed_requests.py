"""Causes three kinds of failed request and prints the log lines of each.

Run it as ``python -m standins.failed_requests``. docs/OPERATIONS.md quotes the
output.
"""

import sys
import tempfile
import threading
from pathlib import Path

from standins.operator_fleet import OperatorFleet, RouteSpec, open_operator_fleet

__all__ = ["main"]

ROUTES = [
    RouteSpec("/shop/", {"shop": 1}, timeout_s=1.0),
    RouteSpec("/pay/", {"shop": 1}, is_safe=False, timeout_s=1.0),
]
BURST_REQUESTS = 24


def _start(fleet: OperatorFleet) -> None:
    fleet.configure(1, ROUTES)
    for node_id, failure_domain in (("a1", "za"), ("b1", "zb")):
        fleet.start_operator_node(node_id, failure_domain, "shop")
    for node_id in ("a1", "b1"):
        fleet.start_upstream(f"i-{node_id}", node_id, "shop", slots=2)
    fleet.wait_ready()
    fleet.wait_backend_servers("shop", 2)


def _send_burst(fleet: OperatorFleet) -> str:
    """Send more requests than fit the slots; return the ID of a rejected one."""
    rejected_ids: list[str] = []

    def call(number: int) -> None:
        request_id = f"flood-{number}"
        if fleet.request("a1", "/pay/x", request_id, "POST").status == 503:
            rejected_ids.append(request_id)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(BURST_REQUESTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return rejected_ids[0]


def _print_log_lines(fleet: OperatorFleet, title: str, request_id: str) -> None:
    print(f"{title}: request={request_id}")
    for node in fleet.nodes.values():
        for line in node.log_path.read_text("utf-8").splitlines():
            if f"request={request_id} " in line:
                print(f"  {line}")


def main() -> int:
    """Cause each failure and print its log lines; return an exit code."""
    with tempfile.TemporaryDirectory(prefix="guavagap-failed-") as folder:
        with open_operator_fleet(Path(folder)) as fleet:
            _start(fleet)
            for server_id in fleet.servers:
                fleet.configure_upstream(server_id, delay_s=0.5)
            _print_log_lines(fleet, "refused under load", _send_burst(fleet))
            for server_id in fleet.servers:
                fleet.configure_upstream(server_id, delay_s=0.01, lose_share=1.0)
            fleet.request("a1", "/pay/x", "lost-1", "POST")
            _print_log_lines(fleet, "lost with its connection", "lost-1")
            for server_id in fleet.servers:
                fleet.configure_upstream(server_id, delay_s=3.0, lose_share=0.0)
            fleet.request("a1", "/shop/x", "late-1")
            _print_log_lines(fleet, "late behind a slow backend server", "late-1")
    return 0


if __name__ == "__main__":
    sys.exit(main())
