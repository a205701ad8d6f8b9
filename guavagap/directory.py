"""The directory of backend servers, built from the member table.

Targets are immutable and rebuilt when members change; the health of a backend
server, as observed by this node, is kept across rebuilds.
"""

import math
from typing import NamedTuple

from guavagap.clock import steady_s
from guavagap.members import MemberTable
from guavagap.messages import BackendServer, MemberState
from guavagap.scheduling.speeds import (
    FACTOR_MEMORY_S,
    USUAL_PERCENT,
    RelativeSpeed,
    UsualFigures,
    faded,
)
from guavagap.server_statements import StatementRecord
from guavagap.stream_messages import Condition

__all__ = ["Directory", "ServerHealth", "Target"]

MIN_REBUILD_INTERVAL_S = 0.05
SLOW_START_S = 10.0
SLOW_START_MIN_FACTOR = 0.1
LOAD_REPORT_TTL_S = 1.0
EJECT_AFTER_FAILURES = 5
EJECT_AFTER_UNREACHABLE = 2
BASE_EJECTION_S = 2.0
SLOW_FAILURE_S = 0.2
MAX_EJECTION_S = 30.0
# A healthy backend server fails a few percent of its requests when its own upstream
# services fail; one that fails more than 20 % is ejected for REPORTED_EJECTION_S.
EJECT_FAILURE_PERMILLE = 200
REPORTED_EJECTION_S = 2.0
SLOWNESS_TTL_S = 3.0
MAX_RECORDS_OF_ABSENT = 1000
# A backend server of which nothing is known takes about twice as long for a request in
# its first seconds.
COLD_START_S = 3.0
# A run time that is reported below this multiple of the usual one ends that.
FAST_RATIO = 1.5
# Natural logarithm of the ratio, about a third up or down.
MIN_LOGGED_SPEED_CHANGE = 0.3
MAX_LOGGED_SPEEDS = 10


class ServerHealth:
    """Health of one backend server as observed by this node.

    Attributes:
        in_flight: requests of this node in flight on it.
        reported_in_flight: load reported with its latest response.
        reported_at_s: monotonic time of that report, 0 without any.
        consecutive_failures: failures since the latest success.
        ejected_until_s: monotonic time until which it is ejected.
        ejections: ejections since the latest success; each doubles the duration.
        is_warm: whether slow start is over.
        slowness: mean run time reported for it, as a share of the target latency.
        slots: maximum number of concurrent requests.
        speed: its lasting run time compared with others of its service.
        statements: what it has said about itself.

    Args:
        now_s: the present time.
        is_warm: whether it needs no slow start.
        usual: what is usual for its service.
    """

    __slots__ = (
        "in_flight",
        "reported_in_flight",
        "reported_at_s",
        "consecutive_failures",
        "ejected_until_s",
        "ejections",
        "first_seen_s",
        "is_warm",
        "slowness",
        "slots",
        "speed",
        "statements",
        "_usual",
        "_sent_since_report",
        "_run_time_percent",
        "_is_cold",
    )

    def __init__(self, now_s: float, is_warm: bool, usual: UsualFigures | None = None):
        self.in_flight = 0
        self.reported_in_flight = 0
        self.reported_at_s = 0.0
        self.consecutive_failures = 0
        self.ejected_until_s = 0.0
        self.ejections = 0
        self.first_seen_s = now_s
        self.is_warm = is_warm
        self.slowness = 0.0
        self.slots = 1
        self.speed = RelativeSpeed()
        self.statements = StatementRecord()
        self._usual = usual or UsualFigures()
        self._sent_since_report = 0
        self._run_time_percent = 0
        self._is_cold = False

    def is_presumed_slow(self, now_s: float) -> bool:
        """Return whether it started a moment ago and nothing shows that it is fast."""
        if self.is_warm or now_s - self.first_seen_s >= COLD_START_S:
            return False
        usual = self._usual.slowness
        if not self.slowness:
            return True
        return usual is not None and self.slowness > FAST_RATIO * usual

    @property
    def usual_slowness(self) -> float | None:
        """Usual run time of its service, as a share of the target latency."""
        return self._usual.slowness

    def update_condition(
        self, condition: Condition, now_s: float, is_response: bool = True
    ) -> None:
        """Apply the condition reported by the owner node of the backend server.

        Args:
            condition: the condition.
            now_s: the present time.
            is_response: whether it came with the response to a request. Conditions that
                the owner node reads for itself are many more than those of others, and
                would outweigh them in what is usual for the service.
        """
        if not condition.is_known:
            return
        self.statements.record(condition, now_s)
        self.update_load(condition.load, now_s)
        self.slowness = condition.slowness_permille / 1000
        self._run_time_percent = condition.run_time_percent
        # The first seconds of a backend server say nothing of what lasts or is usual.
        is_usual = not condition.is_cold and not self.is_presumed_slow(now_s)
        if is_response and is_usual:
            self._record_speed(now_s)
        self._is_cold = condition.is_cold
        if condition.failure_permille > EJECT_FAILURE_PERMILLE:
            self.ejected_until_s = max(
                self.ejected_until_s, now_s + REPORTED_EJECTION_S
            )

    def _record_speed(self, now_s: float) -> None:
        """Record the latest report in what is usual, and compare it with that."""
        self._usual.record(self.slowness, self.reported_in_flight / self.slots, now_s)
        usual = self._usual.slowness
        if self.slowness and usual is not None:
            self.speed.record(self.slowness, usual, now_s)

    def expected_slowness(self, now_s: float) -> float | None:
        """Return the run time as a share of the target latency, None if unknown.

        A report is replaced with its age by what is known to last.
        """
        age_s = now_s - self.reported_at_s
        is_recent = self.slowness > 0 and age_s <= SLOWNESS_TTL_S
        if self.speed.is_known:
            expected = self._usual.slowness * self.speed.ratio(now_s)
        elif is_recent:
            expected = self.slowness
        else:
            return None
        if is_recent:
            share = 1.0 - age_s / SLOWNESS_TTL_S
            expected += share * (self.slowness - expected)
        return expected * self.run_time_factor(now_s)

    def run_time_factor(self, now_s: float) -> float:
        """Return the run time at this moment as a multiple of what it is on average."""
        if not self._run_time_percent:
            return 1.0
        age_s = now_s - self.reported_at_s
        factor = self._run_time_percent / USUAL_PERCENT
        return faded(factor, 1.0, age_s, FACTOR_MEMORY_S)

    def expected_load(self, now_s: float) -> float:
        """Return the requests that run or wait there, by report, age and service.

        A report is replaced with its age by what is usual for the service.
        """
        reported = self.reported_in_flight + self._sent_since_report
        age_s = now_s - self.reported_at_s
        share = max(0.0, 1.0 - age_s / LOAD_REPORT_TTL_S)
        usual = self._usual.utilisation * self.slots
        return max(self.in_flight, usual + share * (reported - usual))

    def record_sent(self) -> None:
        """Record a request of this node that is sent to it."""
        self.in_flight += 1
        self._sent_since_report += 1

    def record_ended(self) -> None:
        """Record the end of a request of this node."""
        self.in_flight -= 1

    def is_reported_cold(self, now_s: float) -> bool:
        """Return whether its owner node has reported a moment ago that it is cold."""
        return self._is_cold and now_s - self.reported_at_s <= SLOWNESS_TTL_S

    def update_load(self, in_flight: int, now_s: float) -> None:
        """Apply the load reported with a response."""
        self.reported_in_flight = in_flight
        self.reported_at_s = now_s
        self._sent_since_report = 0

    def record_success(self) -> None:
        """Record a successful request."""
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(
        self, now_s: float, is_unreachable: bool, elapsed_s: float = 0.0
    ) -> None:
        """Record a failed request; eject after several consecutive failures.

        A single slow failure to reach the target is enough, since each further
        attempt would take as long.
        """
        self.consecutive_failures += 1
        limit = EJECT_AFTER_UNREACHABLE if is_unreachable else EJECT_AFTER_FAILURES
        is_slow_failure = is_unreachable and elapsed_s > SLOW_FAILURE_S
        if self.consecutive_failures < limit and not is_slow_failure:
            return
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejected_until_s = now_s + duration_s
        self.ejections += 1
        self.consecutive_failures = 0

    def load(self, now_s: float) -> int:
        """Return the best estimate of the requests in flight."""
        if now_s - self.reported_at_s > LOAD_REPORT_TTL_S:
            return self.in_flight
        return max(self.in_flight, self.reported_in_flight)

    def slow_start_factor(self, now_s: float) -> float:
        """Return the share of its capacity available during slow start."""
        if self.is_warm:
            return 1.0
        age_s = now_s - self.first_seen_s
        if age_s >= SLOW_START_S:
            self.is_warm = True
            return 1.0
        return max(SLOW_START_MIN_FACTOR, age_s / SLOW_START_S)


class Target(NamedTuple):
    """A backend server that may receive requests."""

    server: BackendServer
    node_id: str
    region: str
    failure_domain: str
    is_suspect: bool
    health: ServerHealth


class SpeedChange(NamedTuple):
    """Change of the lasting run time of a backend server, for logs.

    Attributes:
        before: its run time as a multiple of the usual, when it was logged last.
        ratio: the same now.
    """

    server_id: str
    before: float
    ratio: float
    health: ServerHealth


class Directory:
    """Lookup of targets by service, pool and version.

    Args:
        table: the member table.
    """

    def __init__(self, table: MemberTable):
        self._table = table
        self._built_version = -1
        self._built_at_s = float("-inf")
        self._targets: dict[tuple[str, str, str], tuple[Target, ...]] = {}
        self._by_id: dict[str, Target] = {}
        self._version_counts: dict[tuple[str, str], dict[str, int]] = {}
        self._health: dict[str, ServerHealth] = {}
        # By service; the speeds of its backend servers are compared with these.
        self._usual: dict[str, UsualFigures] = {}
        self._logged_ratios: dict[str, float] = {}
        # Also of backend servers that are absent while their owner node restarts.
        self._statement_records: dict[tuple[str, int], StatementRecord] = {}
        # The targets that were made of each row.
        self._row_targets: dict[str, tuple] = {}
        self._is_first_build = True

    def targets(self, service: str, pool: str, version: str) -> tuple[Target, ...]:
        """Return the targets of one version, without draining ones."""
        self.refresh()
        return self._targets.get((service, pool, version), ())

    def version_counts(self, service: str, pool: str) -> dict[str, int]:
        """Return the number of targets of each version in a pool."""
        self.refresh()
        return self._version_counts.get((service, pool), {})

    def all_targets(self) -> list[Target]:
        """Return every target."""
        self.refresh()
        return list(self._by_id.values())

    def usual_slowness(self, server_id: str) -> float | None:
        """Return the run time that is usual for a backend server, None if unknown.

        It is that of its service, as a share of the target latency, or its own lasting
        one if that is longer.
        """
        health = self._health.get(server_id)
        if health is None or health.usual_slowness is None:
            return None
        return health.usual_slowness * max(1.0, health.speed.ratio(steady_s()))

    def changed_speeds(self, now_s: float) -> list[SpeedChange]:
        """Return the lasting speeds that have changed most since they were logged."""
        changes = []
        for server_id, health in self._health.items():
            before = self._logged_ratios.get(server_id, 1.0)
            ratio = health.speed.ratio(now_s)
            if abs(math.log(ratio / before)) > MIN_LOGGED_SPEED_CHANGE:
                changes.append(SpeedChange(server_id, before, ratio, health))
        changes.sort(key=lambda change: -abs(math.log(change.ratio / change.before)))
        del changes[MAX_LOGGED_SPEEDS:]
        for change in changes:
            self._logged_ratios[change.server_id] = change.ratio
        return changes

    def refresh(self) -> None:
        """Rebuild the targets if the member table has changed."""
        if self._built_version == self._table.version:
            return
        now_s = steady_s()
        if now_s - self._built_at_s < MIN_REBUILD_INTERVAL_S:
            return
        self._built_at_s = now_s
        self.rebuild(now_s)

    def rebuild(self, now_s: float) -> None:
        """Rebuild the targets from the current member table.

        On a bad day the table changes many times a second, in few of its rows, so the
        targets of a row that is the same as before are kept.
        """
        self._built_version = self._table.version
        targets: dict[tuple[str, str, str], list[Target]] = {}
        by_id: dict[str, Target] = {}
        known, row_targets = self._row_targets, {}
        for row in self._table.rows():
            if not self._table.is_usable(row):
                continue
            kept = known.get(row.node_id)
            if kept is None or kept[0] is not row:
                kept = (row, self._make_targets(row, now_s))
            row_targets[row.node_id] = kept
            for key, target in kept[1]:
                by_id[target.server.server_id] = target
                targets.setdefault(key, []).append(target)
        self._row_targets = row_targets
        self._targets = {key: tuple(value) for key, value in targets.items()}
        self._by_id = by_id
        self._version_counts = {}
        for (service, pool, version), version_targets in self._targets.items():
            versions = self._version_counts.setdefault((service, pool), {})
            versions[version] = len(version_targets)
        if len(self._health) > len(by_id):
            self._health = {
                key: value for key, value in self._health.items() if key in by_id
            }
            self._logged_ratios = {
                key: value for key, value in self._logged_ratios.items() if key in by_id
            }
        if len(self._statement_records) > len(by_id) + MAX_RECORDS_OF_ABSENT:
            self._statement_records = {
                key: value
                for key, value in self._statement_records.items()
                if key[0] in by_id
            }
        self._is_first_build = False

    def _make_targets(self, row, now_s: float) -> list[tuple[tuple, Target]]:
        """Return the targets of a row with their services, pools and versions."""
        for server in row.backend_servers:
            if server.is_draining and server.born_ms:
                self._record_of_start(server).record_leaving(now_s)
        return [
            (
                (server.service, server.pool, server.version),
                self._make_target(row, server, now_s),
            )
            for server in row.backend_servers
            if not server.is_draining
        ]

    def _record_of_start(self, server: BackendServer) -> StatementRecord:
        """Return what this start of a backend server has said about itself."""
        start = (server.server_id, server.born_ms)
        memory = self._statement_records.get(start)
        if memory is None:
            memory = self._statement_records[start] = StatementRecord()
        return memory

    def _make_target(self, row, server: BackendServer, now_s: float) -> Target:
        health = self._health.get(server.server_id)
        if health is None:
            usual = self._usual.setdefault(server.service, UsualFigures())
            health = ServerHealth(now_s, self._is_first_build, usual)
            self._health[server.server_id] = health
        health.slots = server.slots
        health.statements = self._record_of_start(server)
        is_suspect = row.state == MemberState.SUSPECT
        return Target(
            server, row.node_id, row.region, row.failure_domain, is_suspect, health
        )
