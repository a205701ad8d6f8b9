"""Departures: starts of backend servers that leave, or have left.

A node acknowledges to a backend server that it leaves. That binds the next process of
the node too, which a late report may reach first. So other nodes, and in some
deployments a store, keep the departures of a node, and a starting process learns them
before it announces a backend server.

A start is identified by the backend server's identifier and the time of its start,
which the backend server itself tells; no other clock is compared with that time. Where
it does not identify the start, a report alone may be a late one; reports that go on
show that their sender is still there.
"""

import json
from collections import OrderedDict
from typing import Iterable, NamedTuple

from guavagap.codec import find_problem
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.messages import Departure, Member

__all__ = [
    "ANY_START",
    "DepartedStarts",
    "DepartureLog",
    "ReportOrder",
    "decode_departures",
    "encode_departures",
]

# Start time in a departure of a backend server of which nothing was known.
ANY_START = 2**64 - 1
MAX_DEPARTURES = 200
MAX_SIGHTINGS = 200
# Late reports come one at a time, or together when a delay ends.
SUSTAINED_REPORTS = 3
SUSTAINED_S = 10.0
# Longer than a backend server goes on after its departure, and than a report is late.
LOG_RETENTION_S = 600.0
MAX_LOGGED_DEPARTURES = 5000
MAX_STORED_DEPARTURES = 32


class ReportOrder(NamedTuple):
    """What orders the reports of one backend server: its start, then the sequence."""

    server_id: str
    born_ms: int
    sequence: int


class _Sightings(NamedTuple):
    """Ready reports of one start that followed each other."""

    count: int
    first_at_s: float
    sequence: int


class DepartedStarts:
    """The departures of the backend servers of this VM.

    Args:
        clock: returns seconds of a steady clock.
    """

    def __init__(self, clock):
        self._clock = clock
        # When each was recorded first.
        self._starts: OrderedDict[Departure, float] = OrderedDict()
        # The same of departures by identifier alone, before any report was received.
        self._unidentified: OrderedDict[Departure, float] = OrderedDict()
        self._sightings: OrderedDict[tuple[str, int], _Sightings] = OrderedDict()

    def within(self, duration_s: float) -> tuple[Departure, ...]:
        """Return the departures recorded in the last ``duration_s``.

        Those of identified starts come last, the latest one at the end.
        """
        since_s = self._clock() - duration_s
        recorded = [*self._unidentified.items(), *self._starts.items()]
        return tuple(departure for departure, at_s in recorded if at_s >= since_s)

    def record(self, departure: Departure) -> bool:
        """Record a departure; return whether it is new.

        The start time is ``ANY_START`` if it is not known.
        """
        is_identified = departure.born_ms != ANY_START
        records = self._starts if is_identified else self._unidentified
        is_new = departure not in records
        records.setdefault(departure, self._clock())
        self._forget_sightings(departure.server_id)
        if len(records) > MAX_DEPARTURES:
            records.popitem(last=False)
        return is_new

    def has_departed(self, server_id: str, born_ms: int) -> bool:
        """Return whether a start is known to have departed, which is final for it."""
        return Departure(server_id, born_ms) in self._starts

    def is_doubtful(self, server_id: str, born_ms: int) -> bool:
        """Return whether a start may be one that has departed.

        That is so if a departure did not say of which start it was, if the start does
        not tell when it was, and if it was before one that has departed: then its
        report is late, or the clock that the backend server reads was set back.
        """
        if Departure(server_id, ANY_START) in self._unidentified:
            return True
        return any(
            departure.server_id == server_id and born_ms <= departure.born_ms
            for departure in self._starts
        )

    def record_sighting(self, report: ReportOrder) -> bool:
        """Record a ready report; return whether reports of its start go on.

        They do once several have followed each other for some time.
        """
        key = (report.server_id, report.born_ms)
        now_s = self._clock()
        known = self._sightings.get(key)
        if known is None:
            known = _Sightings(0, now_s, report.sequence - 1)
        if report.sequence > known.sequence:
            known = _Sightings(known.count + 1, known.first_at_s, report.sequence)
        self._sightings[key] = known
        if len(self._sightings) > MAX_SIGHTINGS:
            self._sightings.popitem(last=False)
        is_long = now_s - known.first_at_s >= SUSTAINED_S
        return is_long and known.count >= SUSTAINED_REPORTS

    def withdraw(self, server_id: str) -> None:
        """Forget the departures of a backend server whose reports go on.

        Departures of identified starts other than the sender's remain final.
        """
        self._unidentified.pop(Departure(server_id, ANY_START), None)
        self._starts.pop(Departure(server_id, 0), None)

    def _forget_sightings(self, server_id: str) -> None:
        for key in [key for key in self._sightings if key[0] == server_id]:
            del self._sightings[key]


class DepartureLog:
    """The departures that other nodes have published in their rows.

    Args:
        clock: returns seconds of a steady clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._recorded_at_s: OrderedDict[tuple[str, Departure], float] = OrderedDict()

    def record_row(self, row: Member) -> None:
        """Record the departures that a row of a node shows."""
        for server in row.backend_servers:
            if server.is_draining:
                departure = Departure(server.server_id, server.born_ms)
                self._recorded_at_s[row.node_id, departure] = self._clock()
        while len(self._recorded_at_s) > MAX_LOGGED_DEPARTURES:
            self._recorded_at_s.popitem(last=False)

    def of_node(self, node_id: str) -> tuple[Departure, ...]:
        """Return the departures of the backend servers of a node."""
        since_s = self._clock() - LOG_RETENTION_S
        return tuple(
            departure
            for (owner_id, departure), at_s in self._recorded_at_s.items()
            if owner_id == node_id and at_s > since_s
        )


def encode_departures(departures: Iterable[Departure]) -> bytes:
    """Encode the latest departures as the JSON that is stored."""
    rows = [list(departure) for departure in departures]
    return json.dumps(rows[-MAX_STORED_DEPARTURES:]).encode()


def decode_departures(body: bytes) -> tuple[Departure, ...]:
    """Decode the JSON of stored departures.

    Raises:
        GuavagapError: FRAME_INVALID.
    """
    try:
        departures = tuple(
            Departure(server_id, born_ms) for server_id, born_ms in json.loads(body)
        )
    except (ValueError, TypeError, RecursionError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"invalid departures: {error!r}"
        ) from None
    problem = next(filter(None, map(find_problem, departures)), None)
    if problem is not None:
        raise GuavagapError(ErrorKind.FRAME_INVALID, problem)
    return departures
