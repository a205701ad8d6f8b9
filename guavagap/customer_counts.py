"""Counts of requests and refusals by customer, bounded in number."""

from collections import Counter

from guavagap.customers import CredentialsError
from guavagap.declarations import Customer

__all__ = ["CustomerCounts", "OTHER_CUSTOMERS"]

# Each customer is one series of a metric. Customers beyond these are counted together.
MAX_CUSTOMERS = 200
OTHER_CUSTOMERS = "other"


class CustomerCounts:
    """Counts of one node.

    Attributes:
        requests: requests with a valid key by customer.
        not_run: those of them that were refused or failed without being run.
        refusals: requests refused for their credentials, by reason.
        refusals_by_customer: the part of them whose customer is known, by customer and
            reason.
    """

    def __init__(self):
        self.requests: Counter[str] = Counter()
        self.not_run: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.refusals_by_customer: Counter[tuple[str, str]] = Counter()

    def record_request(self, customer: Customer) -> None:
        """Count a request with a valid key."""
        self.requests[self._label(customer)] += 1

    def record_error(self, customer: Customer, is_not_run: bool) -> None:
        """Count the error that a request has ended with."""
        self.not_run[self._label(customer)] += is_not_run

    def record_refusal(self, error: CredentialsError) -> None:
        """Count a request that was refused for its credentials."""
        self.refusals[error.reason.value] += 1
        if error.customer is not None:
            label = self._label(error.customer)
            self.refusals_by_customer[label, error.reason.value] += 1

    def refusals_of(self, name: str) -> dict[str, int]:
        """Return the refusals of a customer by reason."""
        return {
            reason: value
            for (customer, reason), value in self.refusals_by_customer.items()
            if customer == name
        }

    def _label(self, customer: Customer) -> str:
        """Return the name by which a customer is counted."""
        name = customer.name
        if name in self.requests:
            return name
        if len(self.requests) < MAX_CUSTOMERS:
            self.requests[name] = 0
            return name
        return OTHER_CUSTOMERS
