"""The pace of one local backend server: its limit at the admission, and log lines.

:mod:`guavagap.scheduling.pace` decides.
"""

from typing import Callable

from guavagap.clock import steady_s
from guavagap.limits import Admission
from guavagap.logs import get_logger
from guavagap.scheduling.pace import Pace, PaceReason

__all__ = ["ServerPace"]

log = get_logger()

CHANGE_LOG_INTERVAL_S = 1.0


class ServerPace:
    """Keeps the limit of an admission to what the pace allows.

    Args:
        server_id: the backend server.
        admission: its admission.
        read_usual: returns the run time that is usual for it, as a share of the target
            latency; None if unknown.

    Attributes:
        refused_count: requests that were refused while there was a limit.
    """

    def __init__(
        self,
        server_id: str,
        admission: Admission,
        read_usual: Callable[[], float | None],
    ):
        self.refused_count = 0
        self._server_id = server_id
        self._admission = admission
        self._read_usual = read_usual
        self._pace = Pace(admission.slots)
        self._logged_limit = admission.slots
        self._logged_at_s = 0.0
        self._logged_refusals = 0
        self._exceeded_before = 0

    @property
    def is_active(self) -> bool:
        """Whether the backend server ramps up."""
        return self._pace.is_active

    @property
    def limit(self) -> int:
        """Requests that may run at once; the slots without a limit."""
        return self._pace.limit

    def begin(self, reason: PaceReason) -> None:
        """Begin a ramp-up, or continue one with a limit that is as low."""
        now_s = steady_s()
        was_active = self._pace.is_active
        self._pace.begin(reason, now_s)
        self._apply(was_active, now_s)

    def record_response(self, slowness: float, sent_at_s: float) -> None:
        """Record a response that is no failure; see :class:`Pace`."""
        now_s = steady_s()
        was_active = self._pace.is_active
        usual = self._read_usual() if was_active and slowness else None
        self._pace.record_response(slowness, usual, sent_at_s, now_s)
        self._apply(was_active, now_s)

    def record_failure(self, sent_at_s: float) -> None:
        """Record a request that failed at the backend server."""
        now_s = steady_s()
        was_active = self._pace.is_active
        self._pace.record_failure(sent_at_s, now_s)
        self._apply(was_active, now_s)

    def record_refusal(self) -> None:
        """Record a request that was refused for want of a slot."""
        self.refused_count += self._pace.is_active

    def _apply(self, was_active: bool, now_s: float) -> None:
        """Apply the limit, and log its begin, its end, and changes at intervals."""
        pace = self._pace
        self._admission.limit = pace.limit
        if not was_active and not pace.is_active:
            return
        if not was_active:
            self._log_state("backend server ramp-up begun", now_s)
        elif not pace.is_active:
            self._log_state("backend server ramp-up ended", now_s)
        elif (
            pace.limit != self._logged_limit
            and now_s - self._logged_at_s >= CHANGE_LOG_INTERVAL_S
        ):
            self._log_state("backend server ramp-up", now_s)

    def _log_state(self, event: str, now_s: float) -> None:
        pace, admission = self._pace, self._admission
        usual = self._read_usual()
        log.info(
            event,
            server=self._server_id,
            reason=pace.reason.value if pace.reason else "",
            limit=pace.limit,
            before=self._logged_limit,
            slots=admission.slots,
            run_time_ratio=round(pace.ratio, 2),
            usual_slowness=None if usual is None else round(usual, 2),
            failure_rate=round(pace.failure_rate, 2),
            responses=pace.responses,
            refused=self.refused_count - self._logged_refusals,
            exceeded=admission.exceeded_count - self._exceeded_before,
            age_s=round(pace.age_s(now_s), 3),
        )
        self._logged_limit, self._logged_at_s = pace.limit, now_s
        self._logged_refusals = self.refused_count
        self._exceeded_before = admission.exceeded_count
