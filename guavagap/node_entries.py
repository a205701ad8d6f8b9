"""Entries of nodes in the platform's store: who keeps one, and which are contacted.

Members are found by gossip; entries serve nodes that start. Each costs billed calls, so
a few members of a failure domain keep one. The functions here have no clock and make no
calls.
"""

import random
from typing import Collection, NamedTuple

__all__ = [
    "ENTRY_HOLDERS",
    "ENTRY_PREFIX",
    "JOIN_TIMEOUT_S",
    "MAX_INTRODUCTIONS",
    "MAX_REMOTE_INTRODUCTIONS",
    "JoinState",
    "choose_entries",
    "entry_key",
    "needs_entry",
]

ENTRY_PREFIX = "mesh/node/"
# Enough for a starting node to find a member that runs.
ENTRY_HOLDERS = 4
# Other nodes respond within milliseconds unless they are stopped or unreachable.
JOIN_TIMEOUT_S = 1.0
# Enough contacts for membership to spread even if some of them are stopped; few in
# other failure domains, where traffic is billed.
MAX_INTRODUCTIONS = 6
MAX_REMOTE_INTRODUCTIONS = 2


class JoinState(NamedTuple):
    """What a node knows of others.

    Attributes:
        has_alive_peer: whether it knows another node that is alive.
        rank: its position among the members of its failure domain that it knows.
        listed_for_s: time since it listed the store for the first time.
    """

    has_alive_peer: bool
    rank: int
    listed_for_s: float


def entry_prefix(failure_domain: str) -> str:
    """Return the prefix of the entries of a failure domain."""
    return f"{ENTRY_PREFIX}{failure_domain}/"


def entry_key(failure_domain: str, node_id: str) -> str:
    """Return the key of a node's entry."""
    return entry_prefix(failure_domain) + node_id


def needs_entry(state: JoinState, keys: Collection[str], failure_domain: str) -> bool:
    """Return whether starting nodes of a failure domain need the entry of a member.

    A node that knows others needs one if it is among the first ``ENTRY_HOLDERS``
    members: those that it does not know yet can only raise its rank. A node that knows
    nobody writes one if few are listed, or if those that are do not respond.

    Args:
        state: what the node knows of others.
        keys: keys of the entries of other nodes.
        failure_domain: failure domain of the node.
    """
    if state.has_alive_peer:
        return state.rank < ENTRY_HOLDERS
    if state.listed_for_s > JOIN_TIMEOUT_S:
        return True
    prefix = entry_prefix(failure_domain)
    return sum(key.startswith(prefix) for key in keys) < ENTRY_HOLDERS


def choose_entries(keys: Collection[str], failure_domain: str) -> list[str]:
    """Return keys of entries to contact, most of them of one failure domain."""
    prefix = entry_prefix(failure_domain)
    local = [key for key in keys if key.startswith(prefix)]
    remote = [key for key in keys if not key.startswith(prefix)]
    remote_count = max(MAX_INTRODUCTIONS - len(local), MAX_REMOTE_INTRODUCTIONS)
    chosen = random.sample(remote, min(remote_count, len(remote)))
    local_count = min(MAX_INTRODUCTIONS - len(chosen), len(local))
    return chosen + random.sample(local, local_count)
