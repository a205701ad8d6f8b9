"""Runs benches by name, or every bench with ``all``."""

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
    """Run the named benches and exit with 1 if a figure exceeds its bound."""
    requested = sys.argv[1:]
    if not requested or (requested != ["all"] and not set(requested) <= set(NAMES)):
        print(f"usage: python -m bench all | {' | '.join(NAMES)}", file=sys.stderr)
        sys.exit(2)
    report = Report()
    for name in NAMES if requested == ["all"] else requested:
        importlib.import_module(f"bench.{name}").run(report)
    report.finish()


if __name__ == "__main__":
    main()
