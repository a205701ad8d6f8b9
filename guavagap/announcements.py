"""Announcements: registration of backend servers at the node on their VM.

A backend server registers on its VM's admin port and renews its announcement within
``ttl_s``. It starts to drain by deleting the announcement.
"""

import json
from typing import Annotated, Iterable, NamedTuple

from expression import Error, Ok, Result
from typing_extensions import NotRequired, TypedDict

from guavagap.addresses import parse_address
from guavagap.codec import find_problem
from guavagap.departures import ANY_START, DepartedStarts, ReportOrder
from guavagap.documents import Name, VersionName
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.messages import BackendServer, Departure
from guavagap.validation import STRICT, InvalidValueError, Limits, make_validator

__all__ = [
    "DEFAULT_POOL",
    "Announcement",
    "AnnouncementRegistry",
    "ServerReport",
    "check_server_id",
    "decode_announcement",
]

DEFAULT_POOL = "main"
DEFAULT_TTL_S = 15.0
DRAINED_RETENTION_S = 60.0
MAX_NAME_LENGTH = 200
# A VM has one; during a replacement it may have two, and other writers' remain for a
# while.
MAX_SERVERS = 16


class Announcement(TypedDict):
    """Registration of a backend server.

    Attributes:
        address: IP address and port where it serves HTTP.
        slots: maximum number of concurrent requests.
        connections: maximum number of connections that it accepts.
        ttl_s: time after which the announcement expires without renewal.
    """

    __pydantic_config__ = STRICT

    service: Name
    version: VersionName
    pool: NotRequired[Name]
    address: str
    slots: Annotated[int, Limits(ge=1, le=10_000)]
    connections: Annotated[int, Limits(ge=1, le=60_000)]
    ttl_s: NotRequired[Annotated[float, Limits(gt=0, le=3600)]]


class ServerReport(NamedTuple):
    """Status report of a backend server; reports may arrive out of order.

    Attributes:
        born_ms: wall-clock time of its start; a backend server may start again under
            the same identifier.
        sequence: increases with each report of one start.
        cold_s: remaining time of its cold start, during which it is slow.
    """

    server_id: str
    service: str
    version: str
    address: str
    slots: int
    is_draining: bool
    cold_s: float
    born_ms: int
    sequence: int


def check_server_id(server_id: str) -> None:
    """Check an identifier, which is sent to the backend server in a header.

    Raises:
        GuavagapError: BAD_REQUEST.
    """
    _check_name("identifier", server_id)
    if not server_id.isascii():
        raise GuavagapError(ErrorKind.BAD_REQUEST, "the identifier is not ASCII")


def _check_name(what: str, name: str) -> None:
    is_name = name.isprintable() and " " not in name
    if not is_name or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise GuavagapError(
            ErrorKind.BAD_REQUEST,
            f"the {what} is not a name of 1 to {MAX_NAME_LENGTH} characters",
        )


def _check_server(server: BackendServer) -> None:
    """Check that other nodes can be told of a backend server.

    Raises:
        GuavagapError: BAD_REQUEST.
    """
    problem = find_problem(server)
    if problem is not None:
        raise GuavagapError(ErrorKind.BAD_REQUEST, problem)


def _make_server(report: ServerReport) -> BackendServer:
    """Return the backend server that a report names.

    Raises:
        GuavagapError: BAD_REQUEST when it names none that may be used.
    """
    check_server_id(report.server_id)
    _check_name("service", report.service)
    _check_name("version", report.version)
    server = BackendServer(
        report.server_id,
        report.service,
        report.version,
        DEFAULT_POOL,
        report.address,
        report.slots,
        report.slots,
        report.is_draining,
        report.born_ms,
    )
    _check_server(server)
    return server


_VALIDATOR = make_validator(Announcement)


def decode_announcement(body: bytes) -> Result[Announcement, str]:
    """Decode and validate the JSON of an announcement."""
    try:
        announcement = _VALIDATOR.validate(json.loads(body))
        parse_address(announcement["address"])
    except InvalidValueError as error:
        problems = [
            f"{'.'.join(map(str, location))}: {reason}"
            for location, reason in error.problems
        ]
        return Error("; ".join(problems))
    except ValueError as error:
        return Error(str(error))
    return Ok(announcement)


class AnnouncementRegistry:
    """Registry of the backend servers of this VM.

    Args:
        clock: returns seconds of a steady clock.

    Attributes:
        departed: departures of backend servers that report, or were reported.
    """

    def __init__(self, clock):
        self._clock = clock
        self.departed = DepartedStarts(clock)
        self._is_stopping = False
        self._servers: dict[str, BackendServer] = {}
        self._expires_at_s: dict[str, float] = {}
        self._reports: dict[str, ServerReport] = {}

    def report(self, report: ServerReport, ttl_s: float) -> bool:
        """Apply a report of a backend server.

        Returns:
            False when the report is stale: a later one of the same backend server,
            or of a later start at its address, was applied before; or when it may be
            one of a start that has departed.

        Raises:
            GuavagapError: BAD_REQUEST when the report names no backend server that may
                be used. Those that are known are not affected.
        """
        server = _make_server(report)
        if not self._is_current(report):
            if report.is_draining and report.born_ms:
                # Final for that start, although a later one is known.
                self.departed.record(Departure(report.server_id, report.born_ms))
            return False
        for known in self._reports_at(report.address):
            if known.server_id != report.server_id:
                self._remove(known.server_id)
        self._check_count(report.server_id)
        if report.is_draining:
            self.departed.record(Departure(report.server_id, report.born_ms))
        is_draining = self._is_stopping or self._has_departed(report)
        self._reports[report.server_id] = report
        self._servers[report.server_id] = server._replace(is_draining=is_draining)
        retention_s = DRAINED_RETENTION_S if is_draining else ttl_s
        self._expires_at_s[report.server_id] = self._clock() + retention_s
        return True

    def _check_count(self, server_id: str) -> None:
        """Refuse a further backend server where more are known than a VM can have.

        All of them are described in one row, which has to fit into a datagram.
        """
        if server_id not in self._servers and len(self._servers) >= MAX_SERVERS:
            raise GuavagapError(
                ErrorKind.BAD_REQUEST, f"{MAX_SERVERS} backend servers are known here"
            )

    def _reports_at(self, address: str) -> list[ServerReport]:
        return [known for known in self._reports.values() if known.address == address]

    def _is_current(self, report: ServerReport) -> bool:
        """Return whether a report says how its backend server is now.

        A departure is final for its start. What cannot be told from a start that has
        departed is believed once its reports go on.
        """
        server_id, born_ms = report.server_id, report.born_ms
        if report.is_draining:
            return not self._is_stale(report)
        order = ReportOrder(server_id, born_ms, report.sequence)
        is_sustained = self.departed.record_sighting(order)
        is_final = born_ms and self.departed.has_departed(server_id, born_ms)
        if not is_final and self.departed.is_doubtful(server_id, born_ms):
            if not is_sustained:
                return False
            self.departed.withdraw(server_id)
        return not self._is_stale(report, is_sustained)

    def _is_stale(self, report: ServerReport, is_sustained: bool = False) -> bool:
        """Return whether what is known is later than a report.

        Args:
            report: the report.
            is_sustained: whether the reports of its start go on. They then show that
                a start which has departed was an earlier one, whatever its time is.
        """
        known = self._reports.get(report.server_id)
        if known is not None and known.born_ms == report.born_ms:
            return known.sequence > report.sequence
        others = self._reports_at(report.address)
        if known is not None:
            others.append(known)
        return any(
            other.born_ms > report.born_ms
            and not (is_sustained and self._has_departed(other))
            for other in others
        )

    def _has_departed(self, report: ServerReport) -> bool:
        return self.departed.has_departed(report.server_id, report.born_ms)

    def adopt_departures(self, departures: Iterable[Departure]) -> bool:
        """Apply departures that an earlier process of this node has acknowledged.

        Returns:
            Whether any of them is new.
        """
        is_changed = False
        for departure in departures:
            is_changed |= self.departed.record(departure)
            server = self._servers.get(departure.server_id)
            if server is not None and server.born_ms == departure.born_ms:
                self._mark_draining(server)
        return is_changed

    def _mark_draining(self, server: BackendServer) -> None:
        self._servers[server.server_id] = server._replace(is_draining=True)
        self._expires_at_s[server.server_id] = self._clock() + DRAINED_RETENTION_S

    def _remove(self, server_id: str) -> None:
        self._servers.pop(server_id, None)
        self._expires_at_s.pop(server_id, None)
        self._reports.pop(server_id, None)

    def announce(self, server_id: str, announcement: Announcement) -> BackendServer:
        """Apply or renew an announcement; a renewal ends earlier draining.

        Raises:
            GuavagapError: BAD_REQUEST when other nodes cannot be told of it.
        """
        server = BackendServer(
            server_id,
            announcement["service"],
            announcement["version"],
            announcement.get("pool", DEFAULT_POOL),
            announcement["address"],
            announcement["slots"],
            announcement["connections"],
        )
        check_server_id(server_id)
        _check_server(server)
        ttl_s = announcement.get("ttl_s", DEFAULT_TTL_S)
        self._servers[server_id] = server
        self._expires_at_s[server_id] = self._clock() + ttl_s
        return server

    def drain(self, server_id: str) -> bool:
        """Record a departure; return False when the backend server is unknown."""
        server = self._servers.get(server_id)
        if server is None:
            self.departed.record(Departure(server_id, ANY_START))
            return False
        self.departed.record(Departure(server_id, server.born_ms))
        self._mark_draining(server)
        return True

    def drain_all(self) -> None:
        """Mark every backend server as draining from now on, though none departs."""
        self._is_stopping = True
        for server in list(self._servers.values()):
            self._mark_draining(server)

    def servers(self) -> tuple[BackendServer, ...]:
        """Return the backend servers whose announcements have not expired."""
        now_s = self._clock()
        for server_id, expires_at_s in list(self._expires_at_s.items()):
            if expires_at_s <= now_s:
                self._remove(server_id)
        return tuple(self._servers.values())

    def get(self, server_id: str) -> BackendServer | None:
        """Return a backend server of this VM, or None when it is unknown."""
        return self._servers.get(server_id)
