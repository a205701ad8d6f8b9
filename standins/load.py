"""Load tool: a small mesh under open-loop load, with statistics by kind of request.

Run it as ``python -m standins.load``; ``--help`` lists the options.
"""

import sys
import tempfile
import threading
from pathlib import Path

import click
import curio

from guavagap.addresses import Address
from standins.callers import LoadGenerator, RequestKind, RequestStats
from standins.operator_fleet import OperatorFleet, RouteSpec, open_operator_fleet

__all__ = ["format_stats_table", "main"]

FAILURE_DOMAINS = ("za", "zb")
ROUTES = [
    RouteSpec("/browse/", {"shop": 1}, priority=2),
    RouteSpec("/pay/", {"shop": 1}, False, target_latency_s=0.8, priority=1),
    RouteSpec("/upload/", {"shop": 1}, False, target_latency_s=0.3, priority=0),
]
KINDS = [
    RequestKind("browse", "/browse/x", True, 0.6, latency_target_s=0.5, deadline_s=2.0),
    RequestKind("pay", "/pay/x", False, 0.25, latency_target_s=0.8, deadline_s=2.0),
    RequestKind(
        "upload", "/upload/x", False, 0.15, latency_target_s=0.3, deadline_s=1.2
    ),
]
_COLUMNS = "{:10}{:>8}{:>11}{:>7}{:>9}{:>8}{:>9}{:>9}"
_HEADER = (
    "kind",
    "total",
    "in target",
    "late",
    "refused",
    "failed",
    "p50 ms",
    "p99 ms",
)


def format_stats_table(stats: list[RequestStats]) -> str:
    """Return the statistics as a table, one row for each kind of request."""
    return "\n".join(_COLUMNS.format(*row) for row in (_HEADER, *stats))


def _start(fleet: OperatorFleet, nodes: int, slots: int, work_s: float) -> None:
    fleet.configure(1, ROUTES)
    node_ids = [f"n{number}" for number in range(nodes)]
    for number, node_id in enumerate(node_ids):
        fleet.start_operator_node(
            node_id, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)], "shop"
        )
    for node_id in node_ids:
        fleet.start_upstream(f"i-{node_id}", node_id, "shop", slots=slots)
    fleet.wait_ready()
    fleet.wait_backend_servers("shop", nodes)
    for server_id in fleet.servers:
        fleet.configure_upstream(server_id, delay_s=work_s)


def _kill_one(fleet: OperatorFleet) -> None:
    node_id = next(iter(fleet.nodes))
    fleet.kill(fleet.nodes[node_id].process)
    click.echo(f"killed {node_id}")


@click.command()
@click.option("--nodes", type=click.IntRange(1, 50), default=4, show_default=True)
@click.option("--slots", type=click.IntRange(1, 100), default=6, show_default=True)
@click.option("--work-s", type=click.FloatRange(0, 10), default=0.1, show_default=True)
@click.option("--rate", type=click.FloatRange(1, 5000), default=100, show_default=True)
@click.option("--duration-s", type=click.FloatRange(1, 600), default=10.0)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--kill-one", is_flag=True, help="Kill one node halfway through the run.")
def main(nodes, slots, work_s, rate, duration_s, seed, kill_one):
    """Send RATE requests per second to a mesh of NODES and report by kind."""
    with tempfile.TemporaryDirectory(prefix="guavagap-load-") as folder:
        with open_operator_fleet(Path(folder)) as fleet:
            _start(fleet, nodes, slots, work_s)
            addresses = [
                Address("127.0.0.1", node.caller_port) for node in fleet.nodes.values()
            ]
            generator = LoadGenerator(addresses, KINDS, seed)
            timer = threading.Timer(duration_s / 2, _kill_one, [fleet])
            if kill_one:
                timer.start()
            curio.run(generator.run, rate, duration_s)
            timer.cancel()
    click.echo(format_stats_table(generator.stats()))


if __name__ == "__main__":
    sys.exit(main())
