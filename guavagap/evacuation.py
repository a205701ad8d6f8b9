"""Evacuation of failure domains, as one node applies the orders that it knows.

The configuration says which orders are in force. An order takes effect with the
configuration; its end takes effect at this node's own backend servers only after they
are presumed cold, which :meth:`Evacuation.update` makes sure of. A node that was
suspended may have missed orders, so it sends nothing to its own backend servers until
it has heard of a relay or of the store, for a second at most.
"""

from typing import Callable

from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.store_positions import StorePosition

__all__ = ["Evacuation"]

log = get_logger()

REFUSALS_LOG_INTERVAL_S = 1.0
# What a process finds in its sockets when it resumes is read within this time. What it
# reads later was sent after it had resumed.
BACKLOG_S = 0.2
# Relays send heartbeats each 0.4 s; a node without one asks the store itself.
MAX_HOLD_S = 1.2


class Evacuation:
    """The evacuation orders in force at one node.

    Args:
        configuration: the node's configuration.
        failure_domain: failure domain of the node.
        read_known_domains: returns the failure domains of the deployment.
        read_contact_at_s: returns when this node has heard last of a relay or of the
            store.
        clock: returns seconds of a steady clock.

    Attributes:
        refused_count: requests that were refused because of an order.
        unknown_domains: failure domains of orders that are not in the deployment.
    """

    def __init__(
        self,
        configuration,
        failure_domain: str,
        read_known_domains: Callable[[], set[str]],
        read_contact_at_s: Callable[[], float],
        clock=steady_s,
    ):
        self.refused_count = 0
        self.unknown_domains: frozenset[str] = frozenset()
        self._configuration = configuration
        self._failure_domain = failure_domain
        self._read_known_domains = read_known_domains
        self._read_contact_at_s = read_contact_at_s
        self._clock = clock
        # When each order was noticed, also of those that have just been withdrawn.
        self._noticed_at_s: dict[str, float] = {}
        self._noticed_end = configuration.evacuation_ends.get(failure_domain)
        self._resumed_at_s: float | None = None
        self._logged_refusals = 0
        self._refusals_logged_at_s = clock()

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains of the deployment that are evacuated."""
        return self._configuration.evacuated_domains - self.unknown_domains

    @property
    def is_local(self) -> bool:
        """Whether nothing may be sent to the backend servers of this VM."""
        is_ordered = self._failure_domain in self._configuration.evacuated_domains
        return is_ordered or self.has_local_ended()

    def check(self) -> None:
        """Check that a request may be sent to the backend servers of this VM.

        Raises:
            GuavagapError: EVACUATED; SLOTS_TAKEN after a suspension.
        """
        if self._is_held():
            raise GuavagapError(
                ErrorKind.SLOTS_TAKEN, "orders may have been missed while suspended"
            )
        if not self.is_local:
            return
        self.refused_count += 1
        raise GuavagapError(
            ErrorKind.EVACUATED, f"failure domain {self._failure_domain} is evacuated"
        )

    def hold(self) -> None:
        """Send nothing to the backend servers of this VM after a suspension."""
        self._resumed_at_s = self._clock()

    def _is_held(self) -> bool:
        if self._resumed_at_s is None:
            return False
        is_over = self._clock() - self._resumed_at_s >= MAX_HOLD_S
        if is_over or self._read_contact_at_s() > self._resumed_at_s + BACKLOG_S:
            self._resumed_at_s = None
            return False
        return True

    def has_local_ended(self) -> bool:
        """Return whether the next update ends the evacuation of this VM.

        The order may have been given and withdrawn between two updates, or while this
        node was cut off.
        """
        domain = self._failure_domain
        if domain in self._configuration.evacuated_domains:
            return False
        return domain in self._noticed_at_s or self._noticed_end != self._latest_end()

    def _latest_end(self) -> StorePosition | None:
        return self._configuration.evacuation_ends.get(self._failure_domain)

    def update(self, is_ready: bool) -> None:
        """Notice the orders that were given or withdrawn, and log them.

        Args:
            is_ready: whether the node knows the members of the deployment.
        """
        orders = self._configuration.evacuated_domains
        if is_ready and (orders or self.unknown_domains):
            self._find_unknown_domains(orders)
        self._notice_end()
        if orders or self._noticed_at_s:
            self._notice_orders(self.domains)
        self._log_refusals()

    def _notice_orders(self, orders: frozenset[str]) -> None:
        now_s = self._clock()
        for domain in sorted(orders - self._noticed_at_s.keys()):
            self._noticed_at_s[domain] = now_s
            log.warning(
                "evacuation started",
                failure_domain=domain,
                position=str(self._configuration.evacuations[domain]),
                is_local=domain == self._failure_domain,
                contact_age_s=round(now_s - self._read_contact_at_s(), 3),
            )
        for domain in sorted(self._noticed_at_s.keys() - orders):
            age_s = now_s - self._noticed_at_s.pop(domain)
            log.warning(
                "evacuation ended",
                failure_domain=domain,
                position=str(self._configuration.position),
                is_local=domain == self._failure_domain,
                age_s=round(age_s, 3),
                refused=self.refused_count,
            )

    def _notice_end(self) -> None:
        """Notice an end, and log it if the order was not noticed."""
        latest_end = self._latest_end()
        if self._noticed_end == latest_end:
            return
        self._noticed_end = latest_end
        if self._failure_domain in self._noticed_at_s:
            return
        log.warning(
            "end of an evacuation that was not noticed",
            failure_domain=self._failure_domain,
            position=str(latest_end),
        )

    def _find_unknown_domains(self, orders: frozenset[str]) -> None:
        unknown = orders - self._read_known_domains()
        for domain in sorted(unknown - self.unknown_domains):
            log.warning(
                "evacuation of an unknown failure domain",
                failure_domain=domain,
                position=str(self._configuration.evacuations[domain]),
                outcome="no effect",
            )
        self.unknown_domains = unknown

    def _log_refusals(self) -> None:
        """Log at intervals how many requests were refused since the last line."""
        count = self.refused_count - self._logged_refusals
        now_s = self._clock()
        is_due = now_s - self._refusals_logged_at_s >= REFUSALS_LOG_INTERVAL_S
        if not count or not is_due:
            return
        self._logged_refusals = self.refused_count
        self._refusals_logged_at_s = now_s
        log.info(
            "requests refused",
            reason="evacuated",
            failure_domain=self._failure_domain,
            count=count,
        )
