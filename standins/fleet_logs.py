"""What the logs of nodes show of the epochs that they have applied."""

import shlex
from pathlib import Path
from typing import NamedTuple

__all__ = ["AppliedEpoch", "find_history_violations", "read_applied_epochs"]


class AppliedEpoch(NamedTuple):
    """One line of a node's log of applied epochs.

    Attributes:
        is_start: True for the start of a process instead of an epoch.
    """

    epoch: int
    digest: str
    unresolved: int
    is_process_start: bool


def read_applied_epochs(log_path: Path) -> list[AppliedEpoch]:
    """Return the epochs that a node has logged as applied, oldest first."""
    rows = []
    for line in log_path.read_text().splitlines():
        if 'event="configuration applied"' in line:
            fields = dict(part.split("=", 1) for part in shlex.split(line))
            rows.append(
                AppliedEpoch(
                    int(fields["epoch"]),
                    fields["digest"],
                    int(fields["unresolved"]),
                    False,
                )
            )
        if 'event="node started"' in line:
            rows.append(AppliedEpoch(0, "", 0, True))
    return rows


def find_history_violations(applied: dict[str, list[AppliedEpoch]]) -> list[str]:
    """Return what the nodes' logs show against the promises on epochs.

    A problem is a step down within one process, a route that names a pool which
    the node does not hold, or two contents under one epoch.
    """
    problems = []
    digests: dict[int, str] = {}
    for node_id, rows in applied.items():
        former = 0
        for row in rows:
            if row.is_process_start:
                former = 0
                continue
            if row.epoch <= former:
                problems.append(f"{node_id}: {row.epoch} after {former}")
            if row.unresolved:
                problems.append(f"{node_id}: {row.unresolved} unresolved routes")
            if digests.setdefault(row.epoch, row.digest) != row.digest:
                problems.append(f"{node_id}: epoch {row.epoch} has two contents")
            former = row.epoch
    return problems
