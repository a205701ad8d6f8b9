"""Demonstration: a small mesh completes a rollout and rolls back another."""

import sys
import tempfile
import threading
import time
from datetime import datetime, timedelta, timezone
from pathlib import Path

from standins.fleet import Fleet, open_fleet, wait_until

__all__ = ["main", "write_catalogue"]

LAYOUT = {"a1": "da", "a2": "da", "b1": "db", "b2": "db"}
EXAMPLE = Path("examples/shop/catalogue.toml")
ROLLOUT_S = 14
CALL_INTERVAL_S = 0.01


def write_catalogue(
    path: Path, edited_from: int, version: str, complete_in_s: float
) -> None:
    """Write the catalogue document with another wanted backend server version."""
    complete_by = datetime.now(timezone.utc) + timedelta(seconds=complete_in_s)
    text = EXAMPLE.read_text("utf-8")
    text = text.replace("edited_from = 0", f"edited_from = {edited_from}")
    text = text.replace('"v1"', f'"{version}"')
    text = text.replace(
        "2027-01-31T18:00:00Z", complete_by.strftime("%Y-%m-%dT%H:%M:%SZ")
    )
    path.write_text(text, "utf-8")


class _CallerThreads:
    """Calls nodes in a loop, with one thread for each node."""

    def __init__(self, fleet: Fleet):
        self.response_counts: dict[tuple[str, int], int] = {}
        self._fleet = fleet
        self._stopped: set[str] = set()
        self._threads: dict[str, threading.Thread] = {}

    def start(self, node_id: str) -> None:
        thread = threading.Thread(target=self._run, args=(node_id,), daemon=True)
        self._threads[node_id] = thread
        thread.start()

    def _run(self, node_id: str) -> None:
        while node_id not in self._stopped:
            response = self._fleet.call(node_id, "/catalogue/page")
            key = (response.headers.get("x-version", "-"), response.status)
            self.response_counts[key] = self.response_counts.get(key, 0) + 1
            time.sleep(CALL_INTERVAL_S)

    def stop(self, node_id: str) -> None:
        self._stopped.add(node_id)
        self._threads[node_id].join()

    def stop_all(self) -> None:
        for node_id in self._threads:
            self.stop(node_id)


def _print_step(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _require(is_met: bool, text: str) -> None:
    if not is_met:
        _print_step(f"failed: {text}")
        sys.exit(1)


def _rollout(fleet: Fleet, edited_from_version: int, version: str) -> tuple[int, str]:
    """Commit a wanted version; return the outcome of its rollout."""
    document_path = fleet.folder / "catalogue.toml"
    write_catalogue(document_path, edited_from_version, version, ROLLOUT_S)
    result = fleet.cli("apply", str(document_path))
    _require(result.returncode == 0, result.stderr)
    result = fleet.cli("status", "catalogue", "--wait", "--timeout-s", "40")
    return result.returncode, result.stdout.strip()


def _run(fleet: Fleet) -> None:
    result = fleet.cli("apply", "examples/shop")
    _print_step(result.stdout.strip())
    started: list[str] = []
    for node_id, failure_domain in LAYOUT.items():
        fleet.start_node(node_id, failure_domain, peers=tuple(started))
        started.append(node_id)
    fleet.wait_ready()
    for index, node_id in enumerate(LAYOUT):
        fleet.start_server(f"v1-{index}", node_id, version="v1")
        fleet.start_server(f"v2-{index}", node_id, version="v2")
        fleet.start_server(f"v3-{index}", node_id, version="v3", failing_share="0.5")
    fleet.wait_backend_servers("catalogue", 12)
    callers = _CallerThreads(fleet)
    for node_id in LAYOUT:
        callers.start(node_id)
    wait_until(lambda: sum(callers.response_counts.values()) > 100, what="responses")
    _require(
        set(callers.response_counts) == {("v1", 200)},
        f"responses {callers.response_counts}",
    )
    _print_step("four nodes in two failure domains serve callers with v1")

    code, text = _rollout(fleet, 1, "v2")
    _print_step(text)
    _require(code == 0, "rollout of v2 was not completed")
    code, text = _rollout(fleet, 2, "v3")
    _print_step(text)
    _require(code == 1, "rollout of v3 was not rolled back")

    callers.stop("b2")
    _require(fleet.stop(fleet.servers["v2-3"].process) == 0, "backend server exit code")
    _require(fleet.stop(fleet.nodes["b2"].process) == 0, "node exit code")
    _print_step("node b2 and its backend server have been stopped")
    callers.stop_all()
    failed = {
        key: count
        for key, count in callers.response_counts.items()
        if key[1] != 200 and key[0] != "v3"
    }
    _require(not failed, f"failed calls {failed}")
    v3_failures = callers.response_counts.get(("v3", 500), 0)
    _print_step(
        f"{sum(callers.response_counts.values())} calls, {v3_failures} failed on v3, "
        "none on other versions"
    )


def main() -> None:
    """Run the demonstration; the last line is ``demo: ok``."""
    with tempfile.TemporaryDirectory(prefix="guavagap-demo-") as folder:
        with open_fleet(Path(folder)) as fleet:
            _run(fleet)
    _print_step("ok")


if __name__ == "__main__":
    main()
