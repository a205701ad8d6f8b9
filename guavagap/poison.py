"""Detection of poison requests, which crash each backend server that runs them.

Requests are identified by a fingerprint. A crash while a request is in flight adds a
crash report for it: the fingerprint and the start of the backend server that crashed. A
run without a crash voids the reports of a request, since a poison request crashes each
backend server; so a common request that was merely in flight during crashes is
refused for a short time at most. Two reports that are not void quarantine a request.

Reports are only added, voided and forgotten at a fixed age, so nodes that have the same
ones agree on what is quarantined, whatever the order in which they learn them. The
quarantine lasts longer with each later episode. When it ends, one node after the other
lets a single request through, and the outcome of that trial decides.
"""

import hashlib
from collections import Counter, OrderedDict, deque
from enum import Enum
from functools import reduce
from operator import xor
from typing import Callable, Collection, NamedTuple

from guavagap.clock import steady_s
from guavagap.messages import CrashReport
from guavagap.rendezvous import rendezvous_score

__all__ = [
    "FINGERPRINT_BODY_BYTES",
    "PoisonGuard",
    "Quarantine",
    "QuarantineChange",
    "QuarantineEvent",
    "fingerprint_of",
    "is_covered",
    "request_digest_of",
    "trial_position",
]

CRASHES_TO_QUARANTINE = 2
# Crashes within this time are one episode: a failure of many backend servers at once
# is no sign that the requests which they ran are poison.
EPISODE_S = 2.0
# Time from the latest crash to the end of the quarantine, by the number of episodes.
# After a single episode the first trial comes soon. Three trials may fail within a day.
QUARANTINE_TERMS_S = (10.0, 120.0, 3600.0, 86_400.0)
# A report is forgotten at this age, or so long after the quarantine that it is part of.
CRASH_REPORT_TTL_S = 3600.0
# A start crashes once. What crashes again so much later has been started again, and has
# not reported that yet; backend servers take seconds to start.
MIN_RESTART_S = 2.0
# After the term, nodes may begin a trial one after the other, each in the first part of
# a period of its own. News reaches all nodes in the rest of it, so the next one knows
# the outcome.
TRIAL_PERIOD_S = 3.0
TRIAL_OPEN_S = 1.5
# In a larger mesh nodes share a period, since a request that comes rarely, and to one
# node, would have to wait for long.
MAX_TRIAL_POSITIONS = 20
POSITION_LIFETIME_S = 3.0
# A trial whose outcome is not known after this time, the time limit of most routes,
# makes room for another one.
TRIAL_TIMEOUT_S = 5.0
MAX_FINGERPRINTS = 1000
# Fingerprints beyond the limit are dropped together, since that takes a sort.
EXCESS_FINGERPRINTS = 100
MAX_STARTS = 8
MAX_PENDING_REPORTS = 256
MAX_EVENTS = 100
REPORT_TRANSMISSIONS = 8
FINGERPRINT_BYTES = 16
BUCKETS = 16
EXPIRY_INTERVAL_S = 5.0
# No more than what is read ahead of a body before its request is sent on.
FINGERPRINT_BODY_BYTES = 65_536


def fingerprint_of(
    method: bytes,
    target: bytes,
    chunks: list[bytes],
    content_length_bytes: int | None = None,
) -> bytes:
    """Return the fingerprint of a request, however its body is split and coded.

    It covers the method, the target, the first ``FINGERPRINT_BODY_BYTES`` of the body
    and, for a longer body, the declared length. What lies behind the prefix is not
    covered, since it has not arrived when the request is sent on.

    Args:
        method: the method.
        target: path and query.
        chunks: the body bytes read ahead: at least ``FINGERPRINT_BODY_BYTES``, or all.
        content_length_bytes: the declared length of the body, None if it has none.
    """
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=b"fingerprint")
    left_bytes = FINGERPRINT_BODY_BYTES
    for chunk in chunks:
        hasher.update(chunk[:left_bytes])
        left_bytes -= min(left_bytes, len(chunk))
    body_bytes = sum(map(len, chunks))
    is_whole = body_bytes <= FINGERPRINT_BODY_BYTES
    length_bytes = body_bytes if is_whole else content_length_bytes
    _update_with_head(hasher, method, target, length_bytes)
    return hasher.digest()


def is_covered(chunks: list[bytes], is_complete: bool) -> bool:
    """Return whether a fingerprint covers the whole body.

    Args:
        chunks: the body bytes read ahead.
        is_complete: whether they are the whole body.
    """
    return is_complete and sum(map(len, chunks)) <= FINGERPRINT_BODY_BYTES


def request_digest_of(method: bytes, target: bytes, chunks: list[bytes]) -> bytes:
    """Return the digest of a request and its whole body, however it is split."""
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=b"request")
    for chunk in chunks:
        hasher.update(chunk)
    _update_with_head(hasher, method, target, sum(map(len, chunks)))
    return hasher.digest()


def _update_with_head(
    hasher, method: bytes, target: bytes, length_bytes: int | None
) -> None:
    for part in (method, target):
        hasher.update(part + len(part).to_bytes(8, "big"))
    hasher.update(b"-" if length_bytes is None else b"%d" % length_bytes)


class TrialPosition(NamedTuple):
    """Position of a node in the order of trials of a request.

    Attributes:
        number: from 0.
        count: number of positions.
    """

    number: int
    count: int


FIRST_POSITION = TrialPosition(0, 1)


def trial_position(
    fingerprint: bytes, local_id: str, alive_ids: Collection[str]
) -> TrialPosition:
    """Return the local node's position; nodes with the same members agree on it."""
    key = fingerprint.hex()
    score = rendezvous_score(key, local_id)
    rank = sum(rendezvous_score(key, node_id) > score for node_id in alive_ids)
    position_count = max(1, min(len(alive_ids), MAX_TRIAL_POSITIONS))
    return TrialPosition(rank % position_count, position_count)


class QuarantineChange(Enum):
    """What happened to a quarantine."""

    BEGUN = "begun"
    LEARNT = "learnt"
    TRIED = "tried"
    ENDED = "ended"


class QuarantineEvent(NamedTuple):
    """A change of a quarantine, for the log.

    Attributes:
        why: reason of the change.
        crashes: number of crash reports that are not void.
        term_s: time until the first trial; 0 if there is no quarantine.
    """

    change: QuarantineChange
    fingerprint: bytes
    why: str
    crashes: int
    term_s: float


class Quarantine(NamedTuple):
    """A quarantined request, as operators see it.

    Attributes:
        server_ids: backend servers that it has crashed.
        remaining_s: time until the first trial; 0 afterwards.
    """

    fingerprint: bytes
    crashes: int
    server_ids: tuple[str, ...]
    remaining_s: float


class _Start(NamedTuple):
    """Key of a start of a backend server."""

    server_id: str
    born_ms: int


class _Report(NamedTuple):
    """Crash report on one fingerprint and one start.

    Attributes:
        crashed_at_s: time of the crash on the local steady clock.
        is_void: whether the request has been run without a crash since.
    """

    crashed_at_s: float
    is_void: bool


class _Record:
    """Crash reports on one fingerprint.

    Attributes:
        reports: reports by start.
        ends_at_s: end of the quarantine's term; None without a quarantine.
        latest_s: time of the latest crash.
        crashes: number of reports that are not void.
        position: position of this node in the order of trials.
        position_chosen_at_s: time at which it was chosen.
        trial_until_s: time until which a trial may be in progress.
        digest: digest of the reports.
    """

    __slots__ = (
        "reports",
        "ends_at_s",
        "latest_s",
        "crashes",
        "position",
        "position_chosen_at_s",
        "trial_until_s",
        "digest",
        "_fingerprint",
    )

    def __init__(self, fingerprint: bytes):
        self._fingerprint = fingerprint
        self.digest = 0
        self.reports: dict[_Start, _Report] = {}
        self.ends_at_s: float | None = None
        self.latest_s = 0.0
        self.crashes = 0
        self.position = FIRST_POSITION
        self.position_chosen_at_s = float("-inf")
        self.trial_until_s = 0.0

    @property
    def expires_at_s(self) -> float:
        """Time at which the reports are forgotten."""
        return max(self.latest_s, self.ends_at_s or 0.0) + CRASH_REPORT_TTL_S

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is quarantined, or on trial afterwards."""
        return self.ends_at_s is not None

    def set_report(self, start: _Start, report: _Report) -> bool:
        """Set a report; return whether it is new, or void from now on."""
        known = self.reports.get(start)
        if known is not None:
            # Delays on the way make a crash seem later, never earlier.
            report = _Report(
                min(known.crashed_at_s, report.crashed_at_s),
                known.is_void or report.is_void,
            )
        self.reports[start] = report
        if len(self.reports) > MAX_STARTS:
            del self.reports[min(self.reports, key=self._retention_order)]
        self._update()
        if start not in self.reports:
            return False
        return known is None or known.is_void != report.is_void

    def _retention_order(self, start: _Start) -> tuple:
        report = self.reports[start]
        return not report.is_void, report.crashed_at_s

    def void_all(self) -> bool:
        """Void all reports; return whether any was not void."""
        is_changed = self.crashes > 0
        for start, report in self.reports.items():
            self.reports[start] = report._replace(is_void=True)
        self._update()
        return is_changed

    def _update(self) -> None:
        """Derive the quarantine and the digest from the reports."""
        self.digest = 0
        for start, report in self.reports.items():
            self.digest ^= _report_digest(self._fingerprint, start, report)
        reports = self.reports.values()
        self.latest_s = max((report.crashed_at_s for report in reports), default=0.0)
        crashes_s = sorted(
            report.crashed_at_s for report in reports if not report.is_void
        )
        self.crashes = len(crashes_s)
        ends_at_s = None
        if self.crashes >= CRASHES_TO_QUARANTINE:
            episodes = min(_count_episodes(crashes_s), len(QUARANTINE_TERMS_S))
            ends_at_s = crashes_s[-1] + QUARANTINE_TERMS_S[episodes - 1]
        if ends_at_s != self.ends_at_s:
            self.ends_at_s = ends_at_s
            self.trial_until_s = 0.0


def _report_digest(fingerprint: bytes, start: _Start, report: _Report) -> int:
    text = f"{start.server_id} {start.born_ms} {report.is_void:d}"
    digest_bytes = hashlib.blake2b(fingerprint + text.encode(), digest_size=8).digest()
    return int.from_bytes(digest_bytes, "big")


def _bucket_of(fingerprint: bytes) -> int:
    return fingerprint[0] % BUCKETS


def _count_episodes(crashes_s: list[float]) -> int:
    """Return the number of episodes of crashes in the order of time."""
    episodes, episode_s = 0, float("-inf")
    for crashed_at_s in crashes_s:
        if crashed_at_s - episode_s >= EPISODE_S:
            episodes += 1
            episode_s = crashed_at_s
    return episodes


def _time_to_trial_s(position: TrialPosition, elapsed_s: float) -> float:
    """Return the time until a trial may begin, 0 if it may now.

    Args:
        position: that of the local node.
        elapsed_s: time since the end of the term.
    """
    round_s = position.count * TRIAL_PERIOD_S
    since_s = (elapsed_s - position.number * TRIAL_PERIOD_S) % round_s
    return 0.0 if since_s < TRIAL_OPEN_S else round_s - since_s


class PoisonGuard:
    """Crash reports and quarantines known to this node.

    Args:
        clock: steady clock in seconds that counts suspended time.
        choose_position: returns the local node's position in the order of trials.

    Attributes:
        counts: numbers of changes of quarantines, of refusals, and of fingerprints that
            were dropped for want of room.
        bucket_digests: digests of the reports by bucket; equal on nodes that have the
            same ones.
        changed_at_s: time of the latest change of the reports.
    """

    def __init__(
        self,
        clock: Callable[[], float] = steady_s,
        choose_position: Callable[
            [bytes], TrialPosition
        ] = lambda fingerprint: FIRST_POSITION,
    ):
        self.counts: Counter[str] = Counter()
        self.bucket_digests = [0] * BUCKETS
        self.changed_at_s = float("-inf")
        self._next_expiry_s = 0.0
        self._clock = clock
        self._choose_position = choose_position
        self._records: dict[bytes, _Record] = {}
        self._pending: OrderedDict[tuple[bytes, _Start], int] = OrderedDict()
        self._events: deque[QuarantineEvent] = deque(maxlen=MAX_EVENTS)

    def __bool__(self) -> bool:
        return bool(self._records)

    @property
    def digest(self) -> int:
        """Digest of all reports; 0 without any."""
        return reduce(xor, self.bucket_digests)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined fingerprints."""
        return sum(record.is_quarantined for record in self._records.values())

    @property
    def report_count(self) -> int:
        """Number of crash reports, void ones included."""
        return sum(len(record.reports) for record in self._records.values())

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined and no trial may begin yet."""
        record = self._records.get(fingerprint)
        if record is None or record.ends_at_s is None:
            return False
        return self._clock() < record.ends_at_s

    def admit(self, fingerprint: bytes) -> float | None:
        """Decide on a request; begin a trial if the local node is due for one.

        Returns:
            None if the request may be sent; otherwise the time in seconds after which
            it may be let through.
        """
        record = self._records.get(fingerprint)
        if record is None or record.ends_at_s is None:
            return None
        delay_s = self.delay_s(fingerprint)
        if delay_s > 0:
            self.counts["refused"] += 1
            return delay_s
        record.trial_until_s = self._clock() + TRIAL_TIMEOUT_S
        self._add_event(QuarantineChange.TRIED, fingerprint, "its term has ended")
        return None

    def delay_s(self, fingerprint: bytes) -> float:
        """Return the time after which the local node may let a request through."""
        record = self._records.get(fingerprint)
        if record is None or record.ends_at_s is None:
            return 0.0
        now_s = self._clock()
        if now_s < record.ends_at_s:
            return record.ends_at_s - now_s
        if now_s < record.trial_until_s:
            return record.trial_until_s - now_s
        if now_s - record.position_chosen_at_s >= POSITION_LIFETIME_S:
            record.position = self._choose_position(fingerprint)
            record.position_chosen_at_s = now_s
        return _time_to_trial_s(record.position, now_s - record.ends_at_s)

    def record_crash(self, fingerprint: bytes, server_id: str, born_ms: int) -> bool:
        """Record a crash; return whether the fingerprint is now quarantined.

        Args:
            fingerprint: a request that was in flight.
            server_id: the backend server.
            born_ms: Unix milliseconds of its start, 0 if it does not tell.
        """
        now_s = self._clock()
        start = self._start_of_crash(fingerprint, _Start(server_id, born_ms), now_s)
        self._add_report(
            fingerprint, start, _Report(now_s, False), QuarantineChange.BEGUN
        )
        record = self._records.get(fingerprint)
        return record is not None and record.is_quarantined

    def _start_of_crash(
        self, fingerprint: bytes, start: _Start, now_s: float
    ) -> _Start:
        """Return the start that has crashed now, of which an older one may be known."""
        record = self._records.get(fingerprint)
        known = None if record is None else record.reports.get(start)
        # Where servers do not tell their start, a lost response may count as a crash.
        if known is None or not start.born_ms:
            return start
        if now_s - known.crashed_at_s < MIN_RESTART_S:
            return start
        elapsed_ms = int((now_s - known.crashed_at_s) * 1000)
        return start._replace(born_ms=start.born_ms + elapsed_ms)

    def record_success(self, fingerprint: bytes, is_covered: bool) -> None:
        """Void the reports on a request that has been run without a crash.

        Args:
            fingerprint: the request.
            is_covered: whether the fingerprint covers the whole body. If not, another
                request may have the same one, and only the success of a trial counts.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return
        if is_covered or self._clock() < record.trial_until_s:
            self._void(fingerprint, record, "run without a crash")

    def clear(self, fingerprint: bytes) -> bool:
        """Void the reports on a request; return whether it was quarantined."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_quarantined:
            return False
        self._void(fingerprint, record, "cleared by an operator")
        return True

    def _void(self, fingerprint: bytes, record: _Record, why: str) -> None:
        was_quarantined, digest = record.is_quarantined, record.digest
        starts = [start for start, item in record.reports.items() if not item.is_void]
        if not record.void_all():
            return
        self._update_digest(fingerprint, digest ^ record.digest)
        for start in starts:
            self._transmit(fingerprint, start)
        if was_quarantined:
            self._add_event(QuarantineChange.ENDED, fingerprint, why)

    def _add_report(
        self,
        fingerprint: bytes,
        start: _Start,
        report: _Report,
        change: QuarantineChange,
    ) -> bool:
        """Add a report; return whether it changes what this node knows."""
        record = self._records.get(fingerprint)
        if record is None:
            record = _Record(fingerprint)
        was_quarantined, digest = record.is_quarantined, record.digest
        is_changed = record.set_report(start, report)
        if fingerprint in self._records:
            self._update_digest(fingerprint, digest ^ record.digest)
        elif record.expires_at_s > self._clock():
            self._records[fingerprint] = record
            self._update_digest(fingerprint, record.digest)
        else:
            return False
        if not is_changed:
            return False
        self._transmit(fingerprint, start)
        if record.is_quarantined and not was_quarantined:
            self._add_event(change, fingerprint, f"crashed {start.server_id}")
        elif was_quarantined and not record.is_quarantined:
            self._add_event(
                QuarantineChange.ENDED, fingerprint, "run without a crash elsewhere"
            )
        if len(self._records) > MAX_FINGERPRINTS + EXCESS_FINGERPRINTS:
            self._drop_excess()
        return fingerprint in self._records

    def _drop_excess(self) -> None:
        """Drop fingerprints beyond the limit.

        In a flood of crashing requests those without a crash that counts go first, then
        those with a single one, and quarantined ones last; the oldest first in each.
        """

        def order(fingerprint: bytes) -> tuple:
            record = self._records[fingerprint]
            crashes = min(record.crashes, CRASHES_TO_QUARANTINE)
            return crashes, record.latest_s

        excess = len(self._records) - MAX_FINGERPRINTS
        for fingerprint in sorted(self._records, key=order)[:excess]:
            self._forget(fingerprint, "dropped for want of room")
            self.counts["dropped"] += 1

    def _forget(self, fingerprint: bytes, why: str) -> None:
        if self._records[fingerprint].is_quarantined:
            self._add_event(QuarantineChange.ENDED, fingerprint, why)
        self._update_digest(fingerprint, self._records.pop(fingerprint).digest)

    def _update_digest(self, fingerprint: bytes, difference: int) -> None:
        if difference:
            self.bucket_digests[_bucket_of(fingerprint)] ^= difference
            self.changed_at_s = self._clock()

    def expire(self) -> None:
        """Forget the reports whose time has passed; looks at them now and then."""
        now_s = self._clock()
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        for fingerprint, record in list(self._records.items()):
            if record.expires_at_s <= now_s:
                self._forget(fingerprint, "not seen again")

    def _add_event(
        self, change: QuarantineChange, fingerprint: bytes, why: str
    ) -> None:
        record = self._records[fingerprint]
        term_s = 0.0
        if record.ends_at_s is not None:
            term_s = max(0.0, record.ends_at_s - self._clock())
        self.counts[change.value] += 1
        self._events.append(
            QuarantineEvent(change, fingerprint, why, record.crashes, term_s)
        )

    def take_events(self) -> list[QuarantineEvent]:
        """Return the latest changes since the previous call, ``MAX_EVENTS`` at most."""
        events = list(self._events)
        self._events.clear()
        return events

    def quarantines(self) -> list[Quarantine]:
        """Return the quarantined requests."""
        now_s = self._clock()
        return [
            Quarantine(
                fingerprint,
                record.crashes,
                tuple(
                    start.server_id
                    for start, report in record.reports.items()
                    if not report.is_void
                ),
                max(0.0, record.ends_at_s - now_s),
            )
            for fingerprint, record in self._records.items()
            if record.ends_at_s is not None
        ]

    def merge(self, report: CrashReport) -> bool:
        """Apply a report of another node.

        Returns:
            Whether a quarantine has begun, has been prolonged or has ended. Other nodes
            have to know that soon.
        """
        if len(report.fingerprint) != FINGERPRINT_BYTES:
            return False
        crashes = self._quarantined_crashes(report.fingerprint)
        start = _Start(report.server_id, report.born_ms)
        crashed_at_s = self._clock() - report.age_ms / 1000
        self._add_report(
            report.fingerprint,
            start,
            _Report(crashed_at_s, report.is_void),
            QuarantineChange.LEARNT,
        )
        return self._quarantined_crashes(report.fingerprint) != crashes

    def _quarantined_crashes(self, fingerprint: bytes) -> int:
        """Return the number of crashes of a quarantined request, 0 for others."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_quarantined:
            return 0
        return record.crashes

    def differing_reports(
        self, bucket_digests: tuple[int, ...]
    ) -> tuple[CrashReport, ...]:
        """Return the reports of the buckets that differ from a peer's digests."""
        now_s = self._clock()
        is_comparable = len(bucket_digests) == BUCKETS
        return tuple(
            self._report_message(fingerprint, start)
            for fingerprint, record in self._records.items()
            if not is_comparable
            or self.bucket_digests[_bucket_of(fingerprint)]
            != bucket_digests[_bucket_of(fingerprint)]
            if record.expires_at_s > now_s
            for start in record.reports
        )

    def _transmit(self, fingerprint: bytes, start: _Start) -> None:
        """Gossip a report; comparisons with other nodes bring what is left out here."""
        key = (fingerprint, start)
        self._pending.pop(key, None)
        self._pending[key] = REPORT_TRANSMISSIONS
        if len(self._pending) > MAX_PENDING_REPORTS:
            self._pending.popitem(last=False)

    def next_reports(self, limit: int) -> tuple[CrashReport, ...]:
        """Return reports to gossip and count the transmission of each.

        Those of quarantined requests go first.
        """
        if not self._pending or not limit:
            return ()
        reports: list[CrashReport] = []
        for fingerprint, start in sorted(self._pending, key=self._is_single):
            report = self._report_message(fingerprint, start)
            if report is not None:
                reports.append(report)
            transmissions_left = self._pending[fingerprint, start]
            if transmissions_left <= 1 or report is None:
                del self._pending[fingerprint, start]
            else:
                self._pending[fingerprint, start] = transmissions_left - 1
            if len(reports) == limit:
                break
        return tuple(reports)

    def _is_single(self, key: tuple[bytes, _Start]) -> bool:
        record = self._records.get(key[0])
        return record is None or not record.is_quarantined

    def _report_message(self, fingerprint: bytes, start: _Start) -> CrashReport | None:
        """Return the message of a report, None if it was dropped."""
        record = self._records.get(fingerprint)
        report = None if record is None else record.reports.get(start)
        if report is None:
            return None
        age_ms = max(0, int((self._clock() - report.crashed_at_s) * 1000))
        return CrashReport(
            fingerprint, age_ms, start.server_id, start.born_ms, report.is_void
        )
