"""Tests of an exchange on a connection to a backend server."""

import h11

from guavagap.addresses import Address
from guavagap.backend_connections import BackendConnectionPool, BackendUpstream
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, error_spec
from guavagap.exchange import ForwardedRequest
from guavagap.http1 import Http1Connection
from guavagap.platform.headers import PLATFORM_DIALECT
from tests.cases import AsyncTestCase

LENGTH_BYTES = 10


class _Socket:
    """A socket that discards what is sent."""

    async def sendall(self, data: bytes) -> None:
        pass

    async def close(self) -> None:
        pass


def open_upstream(sock) -> BackendUpstream:
    return BackendUpstream(
        Http1Connection(sock, h11.CLIENT),
        BackendConnectionPool(Address("127.0.0.1", 1)),
        lambda: True,
        "i1",
        PLATFORM_DIALECT,
    )


def make_upload() -> ForwardedRequest:
    headers = [
        (b"host", b"shop"),
        (b"x-request-id", b"r1"),
        (b"content-length", b"%d" % LENGTH_BYTES),
    ]
    return ForwardedRequest(
        b"POST", b"/x", headers, LENGTH_BYTES, True, False, steady_s() + 10.0
    )


class LengthTests(AsyncTestCase):
    def test_body_that_is_not_as_long_as_declared_is_no_fault_of_the_caller(self):
        """review/6: after a loss of this node, callers got 400 and did not return."""
        for parts in ([b"x" * (LENGTH_BYTES - 1)], [b"x" * LENGTH_BYTES, b"x"]):

            async def case():
                upstream = open_upstream(_Socket())
                await upstream.send_request(make_upload(), parts[:1], False)
                ends = [*parts[1:], None]
                await self.assert_error_kind(
                    ErrorKind.INTERNAL, upstream.send_body(ends[0])
                )
                await upstream.abort()

            self.run_async(case)
        self.assertFalse(error_spec(ErrorKind.INTERNAL).is_not_run)
