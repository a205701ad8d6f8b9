"""The front of one local backend server: admission, permits, connections."""

import time

from guavagap.addresses import parse_address
from guavagap.backend_connections import BackendConnectionPool, BackendExchange
from guavagap.dialect import NATIVE_DIALECT, Dialect
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import (
    AnswerHead,
    Attempt,
    Downstream,
    ForwardedRequest,
    relay_exchange,
)
from guavagap.limits import Admission, PermitLedger, direct_connection_limit
from guavagap.messages import BackendServer

__all__ = ["BackendFront"]


class BackendFront:
    """Runs requests on a backend server of this VM.

    Args:
        server: its announcement.
        permit_ttl_s: how long permits for direct connections last.
        dialect: headers of the backend server.
    """

    def __init__(
        self,
        server: BackendServer,
        permit_ttl_s: float,
        dialect: Dialect = NATIVE_DIALECT,
    ):
        self.server = server
        self._dialect = dialect
        self.admission = Admission(server.slots)
        self.permits = PermitLedger(
            direct_connection_limit(server.connections, server.slots),
            permit_ttl_s,
            time.monotonic,
        )
        self.connections = BackendConnectionPool(parse_address(server.address))

    @property
    def load(self) -> int:
        """How many requests run or wait for a slot."""
        return self.admission.in_flight + self.admission.queue_length

    async def start_draining(self) -> None:
        """Admit nothing new, send away what waits, and grant no permits."""
        self.permits.is_draining = True
        await self.admission.start_draining()

    async def run(
        self, request: ForwardedRequest, downstream: Downstream, attempt: Attempt
    ) -> AnswerHead:
        """Admit a request, run it and pass its answer on.

        Args:
            request: what to run.
            downstream: where its answer goes.
            attempt: its ``upstream`` is set when the request is about to be sent.

        Raises:
            GuavagapError: see :func:`guavagap.exchange.relay_exchange`.
        """
        async with self.admission.admit(request.priority, request.max_wait_s):
            if time.monotonic() >= request.deadline_s:
                raise GuavagapError(
                    ErrorKind.DEADLINE_BEFORE_RUN, "the deadline passed in the queue"
                )
            connection = await self.connections.take_idle()
            if connection is None:
                connection = await self.connections.connect()
            upstream = BackendExchange(
                connection,
                self.connections,
                _always,
                self.server.server_id,
                self._dialect,
            )
            attempt.upstream = upstream
            return await relay_exchange(request, downstream, upstream)


def _always() -> bool:
    return True
