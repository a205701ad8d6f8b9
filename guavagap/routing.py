"""Selection of the backend server for a request.

The service is selected first, by the weights of the route, then the version, by the
weight of the rollout. Among the targets of that version, :class:`Router` compares two
random ones of the nearest unsaturated targets and selects the less loaded one;
:class:`ForwardingRouter` selects the one with the lowest expected latency in a sample.
"""

import hashlib
import random
from typing import Callable, Sequence

from guavagap.announcements import DEFAULT_POOL
from guavagap.clock import steady_s
from guavagap.directory import Directory, Target
from guavagap.rendezvous import rendezvous_order
from guavagap.scheduling.placement import (
    SAMPLE_IN_DOMAIN,
    Candidate,
    Distance,
    choose_candidate,
    prefers_own,
    sample_indices,
)
from guavagap.snapshot import CompiledRoute, RouteShare, ServiceState
from guavagap.stream_messages import Condition

__all__ = ["ForwardingRouter", "Router", "saturation"]

FULL_WEIGHT_PERMILLE = 1000
# A node prefers few targets, since it needs direct connections to each of them.
MAX_CANDIDATES = 2
MAX_CACHE_ENTRIES = 2000


def saturation(target: Target, max_in_flight: int | None, now_s: float) -> float:
    """Return the share of a target's capacity in use; 1.0 or more if full."""
    capacity = target.server.slots
    if max_in_flight is not None:
        capacity = min(capacity, max_in_flight)
    factor = target.health.slow_start_factor(now_s)
    return target.health.load(now_s) / (capacity * factor)


class Router:
    """Selects services, versions and targets.

    Args:
        directory: targets by service, pool and version.
        local_id: id of this node.
        local_region: region of this node.
        local_domain: failure domain of this node.
        is_rolled_back: returns whether a version of a service is rolled back.
        read_local_condition: returns the condition of a backend server of this node.
        read_evacuated_domains: returns the failure domains in which no backend server
            is selected.
    """

    def __init__(
        self,
        directory: Directory,
        local_id: str,
        local_region: str,
        local_domain: str,
        is_rolled_back,
        read_local_condition: Callable[[str], Condition],
        read_evacuated_domains: Callable[[], frozenset[str]] = frozenset,
    ):
        self._directory = directory
        self._local_region = local_region
        self._local_domain = local_domain
        self._is_rolled_back = is_rolled_back
        self._read_local_condition = read_local_condition
        self._read_evacuated_domains = read_evacuated_domains
        self._local_id = local_id
        self._target_orders: dict[tuple[str, ...], list[int]] = {}
        self._current_weights: dict[tuple, list[float]] = {}
        self._version_accumulators: dict[str, int] = {}

    def choose_share(self, route: CompiledRoute) -> RouteShare:
        """Return the service for a request of a route.

        Smooth weighted round robin keeps the weights exactly. It starts at a random
        phase, so that the weights also hold for the sum of many nodes with few
        requests each.
        """
        if len(route.shares) == 1:
            return route.shares[0]
        weights = tuple(share.weight for share in route.shares)
        key = (route.name, weights)
        current_weights = self._current_weights.get(key)
        if current_weights is None:
            if len(self._current_weights) >= MAX_CACHE_ENTRIES:
                self._current_weights.clear()
            total = sum(weights)
            current_weights = [random.uniform(0, total) for _ in weights]
            self._current_weights[key] = current_weights
        for index, weight in enumerate(weights):
            current_weights[index] += weight
        best = max(range(len(weights)), key=current_weights.__getitem__)
        current_weights[best] -= sum(weights)
        return route.shares[best]

    def choose_version(self, share: RouteShare, sticky_value: bytes | None) -> str:
        """Return the version for a request.

        An accumulator keeps the weight exactly. It starts at a random phase, so
        that the weight also holds for the sum of many nodes with few requests each.
        """
        state = share.service
        if not self._is_rollout_open(state):
            return state.stable_version
        if sticky_value is not None:
            position = _sticky_position(state, sticky_value)
            is_new_version = position < state.weight_permille
        else:
            is_new_version = self._advance_version_split(state)
        return state.to_version if is_new_version else state.stable_version

    def _is_rollout_open(self, state: ServiceState) -> bool:
        if not state.to_version or not state.weight_permille:
            return False
        return not self._is_version_rejected(state, state.to_version)

    def _is_version_rejected(self, state: ServiceState, version: str) -> bool:
        if version in state.excluded_versions:
            return True
        return self._is_rolled_back(state.service, version)

    def _advance_version_split(self, state: ServiceState) -> bool:
        sum_permille = self._version_accumulators.get(state.service)
        if sum_permille is None:
            sum_permille = random.randrange(FULL_WEIGHT_PERMILLE)
        sum_permille += state.weight_permille
        is_new_version = sum_permille >= FULL_WEIGHT_PERMILLE
        self._version_accumulators[state.service] = sum_permille % FULL_WEIGHT_PERMILLE
        return is_new_version

    def allowed_versions(self, share: RouteShare, preferred: str) -> list[str]:
        """Return the versions that may serve a request, the preferred one first.

        The stable version is the fallback when the new one has no backend server.
        If the configuration names no stable version, the most common one is used. A
        version that was rolled back or is excluded is never used.
        """
        state = share.service
        stable = state.stable_version or self.most_common_version(state)
        versions = [preferred or stable]
        if stable not in versions:
            versions.append(stable)
        if self._is_rollout_open(state) and state.to_version not in versions:
            versions.append(state.to_version)
        return [
            version
            for version in versions
            if version and not self._is_version_rejected(state, version)
        ]

    def most_common_version(self, state: ServiceState) -> str:
        """Return the version of most backend servers, except the rollout's new one.

        It is used as the stable version if the configuration names none.
        """
        counts = self._directory.version_counts(state.service, DEFAULT_POOL)
        counts = {
            version: number
            for version, number in counts.items()
            if version != state.to_version
            and not self._is_version_rejected(state, version)
        }
        return max(sorted(counts), key=counts.__getitem__, default="")

    def _targets(
        self, share: RouteShare, version: str, excluded: set[str]
    ) -> tuple[Target, ...]:
        """Return the targets of the first allowed version that has targets."""
        pool = share.pool
        evacuated = self._read_evacuated_domains()
        for allowed in self.allowed_versions(share, version):
            targets = self._directory.targets(pool.service, pool.name, allowed)
            if evacuated:
                targets = tuple(
                    item for item in targets if item.failure_domain not in evacuated
                )
            if excluded:
                targets = tuple(
                    item for item in targets if item.server.server_id not in excluded
                )
            if targets:
                return targets
        return ()

    def count_targets(self, share: RouteShare, version: str) -> int:
        """Return the number of targets available to a request."""
        return len(self._targets(share, version, set()))

    def is_evacuated(self, share: RouteShare, version: str) -> bool:
        """Return whether a request has no target but those of evacuated domains."""
        evacuated = self._read_evacuated_domains()
        if not evacuated or self._targets(share, version, set()):
            return False
        pool = share.pool
        return any(
            self._directory.targets(pool.service, pool.name, allowed)
            for allowed in self.allowed_versions(share, version)
        )

    def choose_target(
        self,
        share: RouteShare,
        version: str,
        excluded: set[str],
        busy: set[str] = frozenset(),
        response_bytes: float = 0.0,
    ) -> Target | None:
        """Return a target for a request, or None if there is none.

        Args:
            share: the service chosen for the request.
            version: the preferred version.
            excluded: backend servers on which an attempt has failed.
            busy: backend servers that have refused the request for want of a free
                slot; they are skipped unless there are no others.
            response_bytes: mean size of the responses of the route.
        """
        targets = self._targets(share, version, excluded)
        if busy:
            free = tuple(item for item in targets if item.server.server_id not in busy)
            targets = free or targets
        if not targets:
            return None
        return self._choose_among(share, targets, response_bytes)

    def _choose_among(
        self, share: RouteShare, targets: tuple[Target, ...], response_bytes: float
    ) -> Target:
        if len(targets) == 1:
            return targets[0]
        now_s = steady_s()
        healthy = self._healthy(share, self._in_preference_order(targets), now_s)
        limit = share.pool.max_in_flight
        candidates = self._nearest_unsaturated(healthy, limit, now_s)
        if len(candidates) == 1:
            return candidates[0]
        first, second = random.sample(candidates, 2)
        first_load = saturation(first, limit, now_s)
        return first if first_load <= saturation(second, limit, now_s) else second

    def _healthy(
        self, share: RouteShare, targets: Sequence[Target], now_s: float
    ) -> Sequence[Target]:
        """Return the healthy targets, or all if too few are healthy."""
        healthy = [
            item
            for item in targets
            if item.health.ejected_until_s <= now_s and not item.is_suspect
        ]
        if len(healthy) < len(targets) * share.pool.min_available_share:
            return targets
        return healthy

    def _in_preference_order(self, targets: tuple[Target, ...]) -> list[Target]:
        """Return targets in this node's order of preference.

        The order differs between nodes, which spreads the load evenly while each
        node needs direct connections to a few targets only.
        """
        key = tuple(item.server.server_id for item in targets)
        order = self._target_orders.get(key)
        if order is None:
            if len(self._target_orders) >= MAX_CACHE_ENTRIES:
                self._target_orders.clear()
            ranked = rendezvous_order(
                self._local_id, range(len(key)), lambda index: key[index]
            )
            order = self._target_orders[key] = ranked
        return [targets[index] for index in order]

    def _nearest_unsaturated(
        self, targets: list[Target], limit: int | None, now_s: float
    ) -> list[Target]:
        """Return the preferred unsaturated targets of the nearest location.

        Returns all targets if all are saturated.
        """
        local_domain, local_region = self._local_domain, self._local_region
        free = [item for item in targets if saturation(item, limit, now_s) < 1.0]
        in_domain = [item for item in free if item.failure_domain == local_domain]
        if in_domain:
            return in_domain[:MAX_CANDIDATES]
        in_region = [item for item in free if item.region == local_region]
        return (in_region or free)[:MAX_CANDIDATES] or targets


class ForwardingRouter(Router):
    """Selects targets where each request passes admission at the owner node.

    Requests need no permits, so any target can be used; see
    :mod:`guavagap.scheduling.placement`.
    """

    def _choose_among(
        self, share: RouteShare, targets: tuple[Target, ...], response_bytes: float
    ) -> Target:
        now_s = steady_s()
        own = self._preferred_own_target(targets, now_s)
        if own is not None:
            return own
        healthy = self._healthy(share, targets, now_s)
        distances = [self._distance(item) for item in healthy]
        indices = sample_indices(distances, random)
        candidates = [
            self._make_candidate(healthy[index], distances[index], now_s)
            for index in indices
        ]
        return healthy[indices[choose_candidate(candidates, response_bytes, random)]]

    def _preferred_own_target(
        self, targets: tuple[Target, ...], now_s: float
    ) -> Target | None:
        """Return the target of this node if it is chosen whatever the others are.

        Answering this first keeps most choices independent of the number of targets.
        """
        for target in targets:
            if target.node_id == self._local_id:
                break
        else:
            return None
        if target.health.ejected_until_s > now_s:
            return None
        own = self._make_candidate(target, Distance.SAME_NODE, now_s)
        others = random.sample(targets, min(len(targets), SAMPLE_IN_DOMAIN))
        known = [item.health.expected_slowness(now_s) for item in others]
        return target if prefers_own(own, known) else None

    def _distance(self, target: Target) -> Distance:
        if target.node_id == self._local_id:
            return Distance.SAME_NODE
        if target.failure_domain == self._local_domain:
            return Distance.SAME_DOMAIN
        return Distance.OTHER_DOMAIN

    def _make_candidate(
        self, target: Target, distance: Distance, now_s: float
    ) -> Candidate:
        health = target.health
        if distance is Distance.SAME_NODE:
            condition = self._read_local_condition(target.server.server_id)
            health.update_condition(condition, now_s, is_response=False)
        is_cold = health.is_presumed_slow(now_s) or health.is_reported_cold(now_s)
        return Candidate(
            target.server.slots,
            health.expected_load(now_s),
            health.expected_slowness(now_s),
            is_cold,
            distance,
        )


def _sticky_position(state: ServiceState, sticky_value: bytes) -> int:
    key = f"{state.service}/{state.to_version}/".encode() + sticky_value
    hash_bytes = hashlib.blake2b(key, digest_size=8).digest()
    return int.from_bytes(hash_bytes, "big") % FULL_WEIGHT_PERMILLE
