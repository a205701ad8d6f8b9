"""Reads the applied epochs from the logs of nodes and checks their history."""

import shlex
from pathlib import Path
from typing import NamedTuple

__all__ = ["AppliedEpoch", "find_history_violations", "read_applied_epochs"]


class AppliedEpoch(NamedTuple):
    """An applied epoch, or the start of a process, from the log of a node.

    Attributes:
        unresolved: number of routes that name an unknown pool.
        is_process_start: True for the start of a process; the other fields are
            empty then.
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
    """Return violations of the guarantees on epochs in the logs of nodes.

    A violation is an epoch that does not increase within one process, a route that
    names an unknown pool, or an epoch with two different contents.
    """
    violations = []
    digests: dict[int, str] = {}
    for node_id, rows in applied.items():
        previous_epoch = 0
        for row in rows:
            if row.is_process_start:
                previous_epoch = 0
                continue
            if row.epoch <= previous_epoch:
                violations.append(
                    f"{node_id}: epoch {row.epoch} applied after {previous_epoch}"
                )
            if row.unresolved:
                violations.append(f"{node_id}: {row.unresolved} unresolved routes")
            if digests.setdefault(row.epoch, row.digest) != row.digest:
                violations.append(
                    f"{node_id}: epoch {row.epoch} has two different digests"
                )
            previous_epoch = row.epoch
    return violations
