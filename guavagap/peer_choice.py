"""Choice of the members that the membership protocol sends to.

Traffic inside a failure domain is free and traffic to others is billed, so most of it
stays inside.
"""

import random

from guavagap.messages import Member

__all__ = [
    "CROSS_DOMAIN_PROBE_SHARE",
    "INDIRECT_PROBES",
    "choose_gossip_targets",
    "choose_indirect_probers",
    "choose_probe_target",
]

INDIRECT_PROBES = 3
CROSS_DOMAIN_PROBE_SHARE = 1 / 8
CROSS_DOMAIN_GOSSIP_SHARE = 1 / 3


def choose_probe_target(members: list[Member], failure_domain: str) -> Member | None:
    """Return a random member to probe, None if there is none.

    Args:
        members: members that are alive or suspected.
        failure_domain: failure domain of the node that probes.
    """
    local = [row for row in members if row.failure_domain == failure_domain]
    remote = [row for row in members if row.failure_domain != failure_domain]
    if remote and (not local or random.random() < CROSS_DOMAIN_PROBE_SHARE):
        return random.choice(remote)
    return random.choice(local) if local else None


def choose_indirect_probers(
    target: Member, peers: list[Member], failure_domain: str
) -> list[Member]:
    """Return random members that may probe another one for a node.

    A member of the node's own failure domain is probed from inside it if possible.
    """
    candidates = [row for row in peers if row.node_id != target.node_id]
    if target.failure_domain == failure_domain:
        local = [row for row in candidates if row.failure_domain == failure_domain]
        candidates = local if len(local) >= INDIRECT_PROBES else candidates
    return random.sample(candidates, min(INDIRECT_PROBES, len(candidates)))


def choose_gossip_targets(
    peers: list[Member], failure_domain: str, count: int
) -> list[Member]:
    """Return random members to gossip to, most of them of one failure domain."""
    local = [row for row in peers if row.failure_domain == failure_domain]
    remote = [row for row in peers if row.failure_domain != failure_domain]
    remote_count = max(count - len(local), int(count * CROSS_DOMAIN_GOSSIP_SHARE))
    targets = random.sample(remote, min(remote_count, len(remote)))
    local_count = min(count - len(targets), len(local))
    return targets + random.sample(local, local_count)
