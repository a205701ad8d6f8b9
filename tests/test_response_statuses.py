"""Tests of responses that are no final HTTP/1.x responses, on each path.

A response is passed on only if its status is 200 to 599 and it is framed as HTTP/1.x.
Anything else must not reach the caller as a response: it gets 502, since the request
may have run, and the connection to the backend server is closed.
"""

from guavagap.addresses import Address
from guavagap.backend_proxy import BackendProxy
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import Attempt, Downstream, ForwardedRequest
from guavagap.forwarding import StreamUpstream
from guavagap.http_messages import HttpRequest, call_http
from guavagap.messages import BackendServer
from guavagap.platform.headers import PLATFORM_DIALECT
from guavagap.platform.store import StoreClient
from guavagap.stream_messages import UNKNOWN_CONDITION, StreamAnswer
from guavagap.streams import Stream
from standins.fleet import wait_until
from standins.raw_server import ID_MARK, RawResponse, open_raw_server
from tests.cases import AsyncTestCase
from tests.raw_server_cases import DirectRawServerTestCase, RawServerTestCase

ID_LINE = b"x-request-id: " + ID_MARK + b"\r\n"
BODY = ID_LINE + b"content-length: 2\r\n\r\nok"


class EmptyDownstream(Downstream):
    """A request without a body; its response is dropped."""

    chunks: list[bytes] = []
    is_body_complete = True
    is_body_ended = True

    async def read_body(self):
        return None

    async def send_response(self, response):
        self.is_response_started = True

    async def send_chunks(self, chunks, is_complete):
        pass


def with_status(line: bytes) -> RawResponse:
    return RawResponse(line + b"\r\n" + BODY)


# The status that the caller gets.
PASSED = {
    "200": (with_status(b"HTTP/1.1 200 OK"), 200),
    "299": (with_status(b"HTTP/1.1 299 Other"), 299),
    "599": (with_status(b"HTTP/1.1 599 Other"), 599),
    "no reason": (with_status(b"HTTP/1.1 200"), 200),
    "1xx before 200": (
        RawResponse(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
            b"HTTP/1.1 200 OK\r\n" + BODY
        ),
        200,
    ),
    "HTTP/1.0": (
        RawResponse(b"HTTP/1.0 200 OK\r\n" + ID_LINE + b"\r\nok", is_closing=True),
        200,
    ),
    "204 with a body": (with_status(b"HTTP/1.1 204 No Content"), 204),
    "304 with a body": (with_status(b"HTTP/1.1 304 Not Modified"), 304),
}
REFUSED = {
    "000": with_status(b"HTTP/1.1 000 Zero"),
    "099": with_status(b"HTTP/1.1 099 Low"),
    "101": RawResponse(
        b"HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"
    ),
    "1xx without end": RawResponse(
        b"HTTP/1.1 103 Early Hints\r\n\r\n", is_repeated=True
    ),
    "600": with_status(b"HTTP/1.1 600 High"),
    "999": with_status(b"HTTP/1.1 999 High"),
    "999 that says not run": RawResponse(
        b"HTTP/1.1 999 High\r\nx-not-run: 1\r\nguavagap-run: not-run\r\n" + BODY
    ),
    "four digits": with_status(b"HTTP/1.1 2000 OK"),
    "no status line": RawResponse(b"content-type: text/plain\r\n" + BODY),
    "HTTP/0.9": RawResponse(b"<p>ok</p>\n", is_closing=True),
    "HTTP/0.9 status line": with_status(b"HTTP/0.9 200 OK"),
    "HTTP/2.0 status line": with_status(b"HTTP/2.0 200 OK"),
    "two status lines": with_status(b"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK"),
}


def find_wrong_statuses(server, call) -> dict[str, tuple]:
    """Return the cases whose status or connections are not as required.

    Args:
        server: the raw server.
        call: sends a request on a path and returns the response.
    """
    wrong: dict[str, tuple] = {}
    for name, (response, expected) in PASSED.items():
        server.response = response
        status = call(name).status
        if status != expected:
            wrong[name] = (status, expected)
    for name, response in REFUSED.items():
        server.response = response
        count = server.request_count
        status = call(name).status
        requests = server.request_count - count
        if (status, requests) != (502, 1):
            wrong[name] = (status, requests)
        try:
            wait_until(
                lambda: server.latest not in server.open_connections, 3.0, "closing"
            )
        except TimeoutError:
            wrong[name] = (status, requests, "connection open")
        # A response that is sound ends the series of failures.
        server.response = PASSED["200"][0]
        wait_until(lambda: call("200").status == 200, what="sound response")
    return wrong


class OperatorPathTests(RawServerTestCase):
    """The paths of an operator's deployment: local and over a link."""

    def assert_statuses(self, node_id: str) -> None:
        with open_raw_server(PASSED["200"][0]) as server:
            fleet = self.start_with_raw_server(server)
            numbers = iter(range(1000))

            def call(name: str):
                request_id = f"r-{next(numbers)}"
                return fleet.request(node_id, "/pay/x", request_id, "POST", b"1")

            wait_until(lambda: call("200").status == 200, what="raw server")
            self.assertEqual({}, find_wrong_statuses(server, call))

    def test_local(self):
        self.assert_statuses("b1")

    def test_over_a_link(self):
        self.assert_statuses("a1")


class DirectPathTests(DirectRawServerTestCase):
    """Direct connections to a backend server on another VM."""

    def test_direct(self):
        with open_raw_server(PASSED["200"][0]) as server:
            fleet = self.start_with_raw_server(server)

            def call(name: str):
                return fleet.call("a1", "/checkout/pay", "POST", b"1")

            def direct_count() -> float:
                name = 'guavagap_requests_total{what="path_direct"}'
                return fleet.metrics("a1").get(name, 0.0)

            wait_until(lambda: call("200") and direct_count(), what="direct path")
            self.assertEqual({}, find_wrong_statuses(server, call))
            self.assertGreater(direct_count(), len(REFUSED))


class RatingTests(AsyncTestCase):
    def test_server_is_rated_as_failing(self):
        """Other nodes choose servers by the condition that its owner node reports."""
        for name in ("999", "999 that says not run", "HTTP/2.0 status line"):
            with self.subTest(name), open_raw_server(REFUSED[name]) as server:
                address = f"127.0.0.1:{server.port}"
                announced = BackendServer("i1", "shop", "v1", "", address, 6, 100)
                proxy = BackendProxy(announced, 1.0, PLATFORM_DIALECT)
                self.run_async(self.run_request, proxy)
                self.assertGreater(proxy.condition().failure_permille, 0)

    async def run_request(self, proxy: BackendProxy) -> None:
        headers = [(b"host", b"shop"), (b"x-request-id", b"r")]
        deadline_s = steady_s() + 2.0
        request = ForwardedRequest(
            b"GET", b"/x", headers, None, False, False, deadline_s
        )
        attempt = Attempt()
        await self.assert_error_kind(
            ErrorKind.BACKEND_SERVER_PROTOCOL,
            proxy.run(request, EmptyDownstream(), attempt),
        )
        self.assertTrue(attempt.is_written)


class ClientPathTests(AsyncTestCase):
    """Calls of the store and of other nodes."""

    def test_store(self):
        """The call fails, and its connection is not used again."""
        wrong = []
        for name, response in REFUSED.items():
            with open_raw_server(response) as server:
                client = StoreClient(Address("127.0.0.1", server.port), 0.5)

                async def case():
                    try:
                        await client.get("k")
                    except GuavagapError as error:
                        return error.kind, client.idle_connection_count
                    return None

                if self.run_async(case) != (ErrorKind.PLATFORM_UNREACHABLE, 0):
                    wrong.append(name)
        self.assertEqual([], wrong)

    def test_admin_call_of_another_node(self):
        wrong = []
        for name, response in REFUSED.items():
            with open_raw_server(response) as server:
                address = Address("127.0.0.1", server.port)
                request = HttpRequest(b"GET", b"/status", [])

                async def case():
                    try:
                        return (await call_http(address, request, 0.5)).status
                    except GuavagapError as error:
                        return error.kind

                if self.run_async(case) is not ErrorKind.NODE_UNREACHABLE:
                    wrong.append(name)
        self.assertEqual([], wrong)

    def test_owner_node_that_passes_on_any_status(self):
        """Nodes of an earlier version did."""
        wrong = []
        for status in (0, 99, 100, 101, 199, 600, 999):

            async def case():
                stream = Stream(None, 1)
                answer = StreamAnswer(1, status, (), b"", True, UNKNOWN_CONDITION)
                await stream.deliver(answer)
                upstream = StreamUpstream(stream, "i1", None, False)
                kind = ErrorKind.BACKEND_SERVER_PROTOCOL
                await self.assert_error_kind(kind, upstream.read_response())

            try:
                self.run_async(case)
            except AssertionError:
                wrong.append(status)
        self.assertEqual([], wrong)
