"""Runs benches by name; ``all`` runs every one."""

import importlib
import sys

from bench.report import Report

NAMES = (
    "calls",
    "capacity",
    "control",
    "latency",
    "mechanisms",
    "rollout_policy",
)


def main() -> None:
    """Run the named benches and exit with 1 when a bound is missed."""
    wanted = sys.argv[1:]
    if not wanted or (wanted != ["all"] and not set(wanted) <= set(NAMES)):
        print(f"usage: python -m bench all | {' | '.join(NAMES)}", file=sys.stderr)
        sys.exit(2)
    report = Report()
    for name in NAMES if wanted == ["all"] else wanted:
        importlib.import_module(f"bench.{name}").run(report)
    report.finish()


if __name__ == "__main__":
    main()
