"""Customers of the deployment and the check of their API keys.

A request carries ``Authorization: Bearer KEY``. Keys are compared by their digests, and
appear in no error, log line or metric.
"""

from enum import Enum
from typing import NamedTuple

from guavagap.declarations import Customer
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.key_digests import key_digest

__all__ = [
    "AUTHORIZATION_HEADER",
    "Credentials",
    "CredentialsError",
    "CustomerDirectory",
    "NO_CUSTOMERS",
    "RefusalReason",
    "key_digest",
]

AUTHORIZATION_HEADER = b"authorization"
BEARER_SCHEME = b"bearer"

Headers = list[tuple[bytes, bytes]]


class RefusalReason(Enum):
    """Why a request was refused for its credentials; the values are used in logs."""

    MISSING = "missing"
    REPEATED = "repeated"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    UNVERIFIED = "unverified"


_DETAILS = {
    RefusalReason.MISSING: "this route needs an API key",
    RefusalReason.REPEATED: "more than one Authorization header",
    RefusalReason.MALFORMED: "the Authorization header is not of the form Bearer KEY",
    RefusalReason.UNKNOWN: "the API key is not known",
    RefusalReason.WITHDRAWN: "the API key was withdrawn before the request was run",
    RefusalReason.UNVERIFIED: (
        "it is not certain that the API key is still valid:"
        " no proof of a current configuration"
    ),
}


class CredentialsError(GuavagapError):
    """A request that is refused for its credentials; it was not run.

    Args:
        reason: why it is refused.
        customer: the customer whose key it carries; None if that is unknown.
    """

    def __init__(self, reason: RefusalReason, customer: Customer | None = None):
        is_unverified = reason is RefusalReason.UNVERIFIED
        kind = (
            ErrorKind.CREDENTIALS_UNVERIFIED
            if is_unverified
            else ErrorKind.CREDENTIALS_REJECTED
        )
        super().__init__(kind, _DETAILS[reason])
        self.reason = reason
        self.customer = customer


class Credentials(NamedTuple):
    """The API key of a request and the customer that holds it.

    Attributes:
        key_digest: see :func:`key_digest`.
    """

    customer: Customer
    key_digest: bytes


class CustomerDirectory:
    """The customers of one declaration, found by the digests of their keys.

    Args:
        customers: the customers; no two of them have a key in common.
    """

    def __init__(self, customers: tuple[Customer, ...]):
        self.customers = customers
        self._by_digest = {
            digest: customer
            for customer in customers
            for digest in customer.key_digests
        }

    @property
    def is_empty(self) -> bool:
        """Whether requests need no API key."""
        return not self.customers

    def authenticate(
        self, headers: Headers, is_anonymous_allowed: bool
    ) -> Credentials | None:
        """Return the credentials of a request, or None if it needs none.

        Args:
            headers: the headers of the request, names in lower case.
            is_anonymous_allowed: whether its route admits requests without a key; a
                key that is present is checked there too.

        Raises:
            CredentialsError: CREDENTIALS_REJECTED when the key is missing, malformed or
                unknown.
        """
        if not self.customers:
            return None
        values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
        if not values:
            if is_anonymous_allowed:
                return None
            raise CredentialsError(RefusalReason.MISSING)
        if len(values) > 1:
            raise CredentialsError(RefusalReason.REPEATED)
        scheme, _, key = values[0].partition(b" ")
        key = key.strip(b" ")
        if scheme.lower() != BEARER_SCHEME or not key:
            raise CredentialsError(RefusalReason.MALFORMED)
        digest = key_digest(key)
        customer = self._by_digest.get(digest)
        if customer is None:
            raise CredentialsError(RefusalReason.UNKNOWN)
        return Credentials(customer, digest)

    def check_forwarded(self, headers: Headers) -> None:
        """Refuse a request that was admitted before there were customers.

        Nodes that know of customers take the key from the requests that they admit. A
        node that does not, because it is cut off, passes the header on unchecked.

        Raises:
            CredentialsError: CREDENTIALS_UNVERIFIED when the request has a key.
        """
        if not self.customers:
            return
        if any(name == AUTHORIZATION_HEADER for name, _ in headers):
            raise CredentialsError(RefusalReason.UNVERIFIED)

    def holds(self, credentials: Credentials) -> bool:
        """Return whether the customer still holds the key of a request."""
        customer = self._by_digest.get(credentials.key_digest)
        return customer is not None and customer.name == credentials.customer.name


NO_CUSTOMERS = CustomerDirectory(())
