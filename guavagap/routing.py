"""Choice of the backend server for a request.

The service is chosen first, by the route's weights, then the version, by the
rollout's. Among the version's targets, :class:`Router` considers the nearest ones
that are not saturated and takes the less loaded of two random ones;
:class:`ForwardingRouter` takes the one that is expected to answer first.
"""

import hashlib
import random
import time

from guavagap.announcements import DEFAULT_POOL
from guavagap.directory import Directory, Target
from guavagap.rendezvous import rendezvous_order
from guavagap.snapshot import CompiledRoute, RouteShare, ServiceState

__all__ = ["ForwardingRouter", "Router", "saturation"]

FULL_WEIGHT_PERMILLE = 1000
MAX_CANDIDATES = 2
MAX_CACHED_ORDERS = 2000
# How much sooner a target of another failure domain has to be expected to answer,
# in target latencies: crossing costs a round trip, and bytes that are paid for. A
# few waiting requests in the own failure domain are the lesser evil.
CROSS_DOMAIN_COST = 1.0
CROSS_DOMAIN_COST_PER_KIB = 0.03
# A server is some two times slower in its first seconds.
COLD_START_S = 3.0
COLD_START_FACTOR = 2.0
LOAD_PENALTY = 0.5
# Work takes about a third of the target latency where nothing is known.
DEFAULT_SLOWNESS = 0.33


def saturation(target: Target, max_in_flight: int | None, now_s: float) -> float:
    """Return the share of a target's capacity in use, 1.0 or more when full."""
    capacity = target.server.slots
    if max_in_flight is not None:
        capacity = min(capacity, max_in_flight)
    factor = target.health.slow_start_factor(now_s)
    return target.health.load(now_s) / (capacity * factor)


class Router:
    """Chooses versions and targets.

    Args:
        directory: targets by service, pool and version.
        own_id: this node.
        own_region: region of this node.
        own_domain: failure domain of this node.
        is_rolled_back: function of service and version.
    """

    def __init__(
        self,
        directory: Directory,
        local_id: str,
        local_region: str,
        local_domain: str,
        is_rolled_back,
    ):
        self._directory = directory
        self._local_region = local_region
        self._local_domain = local_domain
        self._is_rolled_back = is_rolled_back
        self._local_id = local_id
        self._orders: dict[tuple[str, ...], list[int]] = {}
        self._current_weights: dict[tuple, list[float]] = {}
        self._version_accumulators: dict[str, int] = {}

    def choose_share(self, route: CompiledRoute) -> RouteShare:
        """Return the service that a request of a route goes to.

        Weights are kept exactly by smooth weighted round robin, which starts at a
        random phase, so that many nodes with few requests keep them together too.
        """
        if len(route.shares) == 1:
            return route.shares[0]
        weights = tuple(share.weight for share in route.shares)
        key = (route.name, weights)
        credits = self._current_weights.get(key)
        if credits is None:
            if len(self._current_weights) >= MAX_CACHED_ORDERS:
                self._current_weights.clear()
            total = sum(weights)
            credits = [random.uniform(0, total) for _ in weights]
            self._current_weights[key] = credits
        for index, weight in enumerate(weights):
            credits[index] += weight
        best = max(range(len(weights)), key=credits.__getitem__)
        credits[best] -= sum(weights)
        return route.shares[best]

    def choose_version(self, share: RouteShare, sticky_value: bytes | None) -> str:
        """Return the version that a request goes to.

        The weight is kept exactly by an accumulator that starts at a random
        phase, so that many nodes with few requests keep it together as well.
        """
        state = share.service
        if not self._is_rollout_open(state):
            return state.stable_version
        if sticky_value is not None:
            position = _sticky_position(state, sticky_value)
            is_new = position < state.weight_permille
        else:
            is_new = self._advance_version_split(state)
        return state.to_version if is_new else state.stable_version

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
        is_new = sum_permille >= FULL_WEIGHT_PERMILLE
        self._version_accumulators[state.service] = sum_permille % FULL_WEIGHT_PERMILLE
        return is_new

    def allowed_versions(self, share: RouteShare, first: str) -> list[str]:
        """Return the versions that may serve a request, the chosen one first.

        The stable version stands in when the new one has no backend server.
        Versions that no document names serve only when those have none, and a
        rolled back version never does.
        """
        state = share.service
        versions = [first or self.most_common_version(state)]
        stable = state.stable_version or self.most_common_version(state)
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
        """Return the version of most backend servers, the one to come left out.

        It stands for the stable version where the configuration names none.
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
        """Return the targets of the first allowed version that has any."""
        pool = share.pool
        for allowed in self.allowed_versions(share, version):
            targets = self._directory.targets(pool.service, pool.name, allowed)
            if excluded:
                targets = tuple(
                    item for item in targets if item.server.server_id not in excluded
                )
            if targets:
                return targets
        return ()

    def count_targets(self, share: RouteShare, version: str) -> int:
        """Return among how many targets a request can choose."""
        return len(self._targets(share, version, set()))

    def choose_target(
        self,
        share: RouteShare,
        version: str,
        excluded: set[str],
        busy: set[str] = frozenset(),
        answer_bytes: float = 0.0,
    ) -> Target | None:
        """Return a target for a request, or None when there is none.

        Args:
            share: the service that the request goes to.
            version: the version chosen first.
            excluded: backend servers already tried.
            busy: backend servers that had no free slot a moment ago; they are
                left out while there are others.
            answer_bytes: usual size of the request's answers.
        """
        targets = self._targets(share, version, excluded)
        free = tuple(item for item in targets if item.server.server_id not in busy)
        targets = free or targets
        if not targets:
            return None
        return self._choose_among(share, targets, answer_bytes)

    def _choose_among(
        self, share: RouteShare, targets: tuple[Target, ...], answer_bytes: float
    ) -> Target:
        if len(targets) == 1:
            return targets[0]
        now_s = time.monotonic()
        healthy = self._healthy(share, self._in_order(targets), now_s)
        limit = share.pool.max_in_flight
        near = self._nearest_unsaturated(healthy, limit, now_s)
        if len(near) == 1:
            return near[0]
        first, second = random.sample(near, 2)
        first_load = saturation(first, limit, now_s)
        return first if first_load <= saturation(second, limit, now_s) else second

    def _healthy(
        self, share: RouteShare, targets: list[Target], now_s: float
    ) -> list[Target]:
        """Return the targets that work, or all when too few of them do."""
        healthy = [
            item
            for item in targets
            if item.health.ejected_until_s <= now_s and not item.is_suspect
        ]
        if len(healthy) < len(targets) * share.pool.min_available_share:
            return targets
        return healthy

    def _in_order(self, targets: tuple[Target, ...]) -> list[Target]:
        """Return targets in this node's own order of preference.

        Different nodes prefer different targets, which spreads them evenly while
        each node needs direct connections to a few only.
        """
        key = tuple(item.server.server_id for item in targets)
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            ranked = rendezvous_order(
                self._local_id, range(len(key)), lambda index: key[index]
            )
            order = self._orders[key] = ranked
        return [targets[index] for index in order]

    def _nearest_unsaturated(
        self, targets: list[Target], limit: int | None, now_s: float
    ) -> list[Target]:
        """Return a few preferred targets of the nearest place that has room."""
        local_domain, local_region = self._local_domain, self._local_region
        free = [item for item in targets if saturation(item, limit, now_s) < 1.0]
        in_domain = [item for item in free if item.failure_domain == local_domain]
        if in_domain:
            return in_domain[:MAX_CANDIDATES]
        in_region = [item for item in free if item.region == local_region]
        return (in_region or free)[:MAX_CANDIDATES] or targets


class ForwardingRouter(Router):
    """Choice of a target where every request passes its node's admission.

    There are no permits to save, so any target may be taken: the one that is
    expected to answer first, the own failure domain's as long as it is not much
    slower.
    """

    def _choose_among(
        self, share: RouteShare, targets: tuple[Target, ...], answer_bytes: float
    ) -> Target:
        now_s = time.monotonic()
        healthy = self._healthy(share, list(targets), now_s)
        usual = _median_slowness(healthy, now_s)
        rows = [
            (self._expected_time(item, usual, now_s), random.random(), item)
            for item in healthy
        ]
        best = min(rows)
        near = [row for row in rows if row[2].failure_domain == self._local_domain]
        if not near:
            return best[2]
        best_near = min(near)
        cross_domain_cost = (
            CROSS_DOMAIN_COST + CROSS_DOMAIN_COST_PER_KIB * answer_bytes / 1024
        )
        return best_near[2] if best_near[0] <= best[0] + cross_domain_cost else best[2]

    def _expected_time(self, target: Target, usual: float, now_s: float) -> float:
        """Return the time that a request is expected to take, in target latencies."""
        slowness = target.health.expected_slowness(now_s) or usual
        if (
            not target.health.is_warm
            and now_s - target.health.first_seen_s < COLD_START_S
        ):
            slowness = max(slowness, COLD_START_FACTOR * usual)
        slots = target.server.slots
        load = target.health.load(now_s)
        waiting = max(0, load + 1 - slots)
        # A server that is nearly full is slower, and more likely full by now.
        return slowness * (1 + LOAD_PENALTY * load / slots + waiting / slots)


def _median_slowness(targets: list[Target], now_s: float) -> float:
    """Return the median of what is known of some targets."""
    known = sorted(
        slowness
        for item in targets
        if (slowness := item.health.expected_slowness(now_s)) is not None
    )
    return known[len(known) // 2] if known else DEFAULT_SLOWNESS


def _sticky_position(state: ServiceState, sticky_value: bytes) -> int:
    key = f"{state.service}/{state.to_version}/".encode() + sticky_value
    code = hashlib.blake2b(key, digest_size=8).digest()
    return int.from_bytes(code, "big") % FULL_WEIGHT_PERMILLE
