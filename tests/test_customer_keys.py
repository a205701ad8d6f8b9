"""Tests of API keys in a mesh of real processes.

The fake backend servers record which requests they have run, and their heads.
"""

import json
import threading

from standins.fleet import http_call, wait_until
from standins.operator_fleet import HOST, CustomerSpec, RouteSpec
from tests.cases import send_raw
from tests.operator_cases import LAYOUT, OperatorTestCase

ACME_KEY = "key-of-acme-7f3a"
BASIL_KEY = "key-of-basil-91c2"
UNKNOWN_KEY = "key-never-given-5d"
KEY_TEXT = "key-"
CUSTOMERS = [CustomerSpec("acme", (ACME_KEY,), 1), CustomerSpec("basil", (BASIL_KEY,))]
ROUTES = [
    RouteSpec("/shop/", {"shop": 1}),
    RouteSpec("/pay/", {"shop": 1}, False),
    RouteSpec("/open/", {"shop": 1}, is_anonymous_allowed=True),
    RouteSpec("/far/", {"far": 1}),
]


def bearer(key: str, scheme: str = "Bearer") -> dict[str, str]:
    return {"Authorization": f"{scheme} {key}"}


class CustomerTestCase(OperatorTestCase):
    """A mesh whose configuration has customers."""

    def start_with_customers(self, layout=LAYOUT, services=None, **options):
        fleet = self.start(layout, services, routes=ROUTES, **options)
        fleet.configure(8, ROUTES, CUSTOMERS)
        for node_id in layout:
            self.wait_status(fleet, node_id, 401)
        for server_id in fleet.servers:
            fleet.configure_upstream(server_id, are_heads_kept=True)
        return fleet

    def wait_status(self, fleet, node_id: str, status: int, **headers: str) -> None:
        """Wait until a node responds with a status to a request for /shop/."""
        wait_until(
            lambda: fleet.request(node_id, "/shop/x", "wait", **headers).status
            == status,
            what=f"{node_id} responds with {status}",
        )

    def heads(self, fleet) -> dict[str, dict[str, str]]:
        """Return the headers that backend servers saw, by request ID."""
        seen = {}
        for server_id in fleet.servers:
            for request_id, rows in fleet.ledger(server_id)["heads"].items():
                seen[request_id] = {name: value for name, value in rows}
        return seen

    def assert_no_key_seen(self, fleet) -> None:
        """Assert that no key is in a log, a metric, a status or at a backend server."""
        heads = json.dumps([fleet.ledger(server)["heads"] for server in fleet.servers])
        self.assertNotIn(KEY_TEXT, heads)
        for node_id, node in fleet.nodes.items():
            for path in ("/metrics", "/status", "/customers"):
                body = http_call(node.admin_port, "GET", path).body.decode()
                self.assertNotIn(KEY_TEXT, body, (node_id, path))
        for path in fleet.folder.glob("*.log"):
            self.assertNotIn(KEY_TEXT, path.read_text("utf-8", "replace"), path.name)


class KeyTests(CustomerTestCase):
    def test_only_requests_with_a_valid_key_run(self):
        """Guards against gap 1: unknown keys were served and passed on."""
        services = {"a1": "shop", "a2": "shop", "b1": "far", "b2": "far"}
        fleet = self.start_with_customers(services=services)
        refused = {
            "none": {},
            "unknown": bearer(UNKNOWN_KEY),
            "scheme": bearer(ACME_KEY, "Basic"),
            "bare": {"Authorization": ACME_KEY},
            "forged": {"X-Tenant": "acme"},
        }
        for path in ("/shop/x", "/pay/x", "/far/x"):
            for name, headers in refused.items():
                for method, body in (("GET", b""), ("POST", b"b" * 200)):
                    request_id = f"{name}-{path}-{method}"
                    response = fleet.request(
                        "a1", path, request_id, method, body, **headers
                    )
                    self.assertEqual(401, response.status, request_id)
                    self.assertNotIn(KEY_TEXT, response.body.decode())
                    self.assertEqual(0, self.run_count(fleet, request_id))
        for number, (path, key, headers, customer) in enumerate(
            (
                ("/shop/x", ACME_KEY, {}, "acme"),
                ("/pay/x", BASIL_KEY, {"X-Tenant": "acme"}, "basil"),
                ("/far/x", ACME_KEY, {"x_tenant": "basil", "X-TENANT": "b"}, "acme"),
                ("/open/x", BASIL_KEY, {}, "basil"),
            )
        ):
            request_id = f"ok{number}"
            response = fleet.call(
                "a1",
                path,
                headers={"X-Request-Id": request_id, **headers, **bearer(key)},
                host=HOST,
            )
            self.assertEqual(200, response.status, path)
            self.assertEqual(1, self.run_count(fleet, request_id))
            head = self.heads(fleet)[request_id]
            self.assertEqual(customer, head["x-tenant"])
            self.assertEqual(set(), {"authorization", "x_tenant"} & set(head))
        self.assertEqual(404, fleet.request("a1", "/none/x", "q").status)
        self.assert_no_key_seen(fleet)

    def test_anonymous_routes_admit_requests_without_a_key_only(self):
        """Guards against a customer's name that a caller has chosen itself."""
        fleet = self.start_with_customers(layout={"a1": "za"})
        response = fleet.request("a1", "/open/x", "anonymous", **{"X-Tenant": "acme"})
        self.assertEqual(200, response.status)
        self.assertNotIn("x-tenant", self.heads(fleet)["anonymous"])
        response = fleet.request("a1", "/open/x", "wrong", **bearer(UNKNOWN_KEY))
        self.assertEqual(401, response.status)
        self.assertEqual(0, self.run_count(fleet, "wrong"))
        self.assert_no_key_seen(fleet)

    def test_repeated_oddly_cased_and_malformed_headers(self):
        """Guards against a second header that another layer reads, and keys in logs."""
        fleet = self.start_with_customers(layout={"a1": "za"})
        valid = b"Authorization: Bearer " + ACME_KEY.encode() + b"\r\n"
        other = valid.replace(ACME_KEY.encode(), UNKNOWN_KEY.encode())
        for name, lines, status in (
            ("lower", valid.replace(b"Authorization", b"authorization"), b"200"),
            (
                "upper",
                valid.replace(b"Authorization: Bearer", b"AUTHORIZATION:BEARER"),
                b"200",
            ),
            (
                "listed",
                valid + b"Connection: close, Authorization, X-Tenant\r\n",
                b"200",
            ),
            ("twice", valid + valid, b"401"),
            ("mixed", valid + other, b"401"),
            ("mixed2", other + valid, b"401"),
            ("blank", valid.replace(b"n: ", b"n : "), b"400"),
            ("folded", valid.replace(b"Bearer ", b"Bearer\r\n "), b"400"),
        ):
            head = b"POST /shop/x HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
            head += b"X-Request-Id: " + name.encode() + b"\r\n" + lines
            if b"Connection" not in lines:
                head += b"Connection: close\r\n"
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            raw = head + b"3\r\nabc\r\n1\r\nd\r\n0\r\nX-Trailer: " + ACME_KEY.encode()
            response = send_raw(fleet.nodes["a1"].caller_port, raw + b"\r\n\r\n")
            self.assertEqual(b"HTTP/1.1 " + status, response[:12], (name, response))
            self.assertNotIn(KEY_TEXT.encode(), response)
            self.assertEqual(int(status == b"200"), self.run_count(fleet, name))
            if status == b"200":
                self.assertEqual("acme", self.heads(fleet)[name]["x-tenant"])
        self.assert_no_key_seen(fleet)

    def test_no_form_of_a_request_passes_the_key_on(self):
        """Guards against a key in a part of a request that is passed on unchecked."""
        services = {"a1": "shop", "a2": "shop", "b1": "far", "b2": "far"}
        fleet = self.start_with_customers(services=services)
        key = ACME_KEY.encode()
        valid = b"Authorization: Bearer " + key + b"\r\n"
        host = b"Host: " + HOST.encode() + b"\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
        for name, start, lines, rest in (
            ("plain", b"GET /shop/x HTTP/1.1", b"", b"\r\n"),
            ("old", b"GET /shop/x HTTP/1.0", b"", b"\r\n"),
            (
                "upgrade",
                b"GET /shop/x HTTP/1.1",
                b"Connection: Upgrade, close\r\nUpgrade: " + key + b"\r\n",
                b"\r\n",
            ),
            ("te", b"GET /shop/x HTTP/1.1", b"TE: trailers\r\n", b"\r\n"),
            (
                "proxy",
                b"GET /open/x HTTP/1.1",
                b"Proxy-Authorization: Bearer " + key + b"\r\n",
                b"\r\n",
            ),
            ("trailer", b"POST /shop/x HTTP/1.1", b"", chunked + valid + b"\r\n"),
            (
                "named",
                b"POST /shop/x HTTP/1.1",
                b"Trailer: Authorization\r\n",
                chunked + valid + b"\r\n",
            ),
        ):
            for node_id in ("a1", "b1"):
                request_id = f"{name}-{node_id}"
                raw = start + b"\r\n" + host + valid + lines
                raw += b"X-Request-Id: " + request_id.encode() + b"\r\n"
                if b"Connection" not in lines:
                    raw += b"Connection: close\r\n"
                response = send_raw(fleet.nodes[node_id].caller_port, raw + rest)
                self.assertEqual(b" 200", response[8:12], (request_id, response))
                self.assertNotIn(key, response)
                self.assertEqual("acme", self.heads(fleet)[request_id]["x-tenant"])
        self.assert_no_key_seen(fleet)

    def test_refusal_does_not_read_the_body(self):
        """Guards against bodies that a caller without a key makes a node hold."""
        fleet = self.start_with_customers(layout={"a1": "za"})
        head = b"POST /shop/x HTTP/1.1\r\nHost: " + HOST.encode()
        head += b"\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n"
        response = send_raw(fleet.nodes["a1"].caller_port, head)
        self.assertEqual(b"HTTP/1.1 401", response[:12])
        self.assertIn(b"\r\nwww-authenticate: Bearer\r\n", response)

    def test_retried_request_is_of_the_same_customer(self):
        """Guards against an attempt that lacks the customer or carries the key."""
        fleet = self.start_with_customers()
        failing = "i-a1"
        fleet.configure_upstream(failing, fail_share=1.0)
        retried = []
        for number in range(20):
            request_id = f"r{number}"
            fleet.request("a1", "/shop/x", request_id, **bearer(BASIL_KEY))
            if self.run_count(fleet, request_id) > 1:
                retried.append(request_id)
        self.assertTrue(retried)
        for server_id in fleet.servers:
            heads = fleet.ledger(server_id)["heads"]
            for request_id in retried:
                names = dict(heads.get(request_id, [["x-tenant", "basil"]]))
                self.assertEqual("basil", names["x-tenant"])
        self.assert_no_key_seen(fleet)

    def test_key_is_checked_again_before_a_further_attempt(self):
        """Guards against an attempt for a customer that has lost the key meanwhile."""
        fleet = self.start_with_customers(layout={"a1": "za", "a2": "za"})
        for server_id in fleet.servers:
            fleet.configure_upstream(server_id, fail_share=1.0, delay_s=1.0)
        responses = []

        def send() -> None:
            responses.append(fleet.request("a1", "/shop/x", "w", **bearer(ACME_KEY)))

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(lambda: self.run_count(fleet, "w"), what="the first attempt runs")
        for server_id in fleet.servers:
            if "w" not in fleet.ledger(server_id)["runs"]:
                fleet.configure_upstream(server_id, fail_share=0.0, delay_s=0.0)
        fleet.configure(9, ROUTES, CUSTOMERS[1:])
        thread.join()
        self.assertEqual([500], [response.status for response in responses])
        self.assertEqual(1, self.run_count(fleet, "w"))
        log = fleet.nodes["a1"].log_path.read_text("utf-8")
        self.assertIn("reason=withdrawn customer=acme", log)

    def test_headers_pass_as_before_without_customers(self):
        """Guards against a change for deployments that have no customers."""
        fleet = self.start(layout={"a1": "za"}, routes=ROUTES)
        fleet.configure_upstream("i-a1", are_heads_kept=True)
        headers = {"Authorization": "Basic abc", "X-Tenant": "t", "x_tenant": "u"}
        response = fleet.call(
            "a1", "/shop/x", headers={"X-Request-Id": "q", **headers}, host=HOST
        )
        self.assertEqual(200, response.status)
        head = self.heads(fleet)["q"]
        for name, value in headers.items():
            self.assertEqual(value, head[name.lower()])


class PriorityTests(CustomerTestCase):
    def test_request_of_a_more_urgent_customer_goes_first(self):
        """Guards against a priority that is decoded, but not sent to the owner node.

        The only slot of the only backend server is in use while two requests arrive,
        the less urgent one first.
        """
        layout = {"a1": "za", "b1": "zb"}
        routes = [
            RouteSpec("/shop/", {"shop": 1}, timeout_s=30.0, target_latency_s=20.0),
            RouteSpec("/far/", {"far": 1}),
        ]
        fleet = self.start(layout, {"b1": "far"}, routes=routes, slots=1)
        customers = [
            CustomerSpec("acme", (ACME_KEY,), 5),
            CustomerSpec("basil", (BASIL_KEY,), 0),
        ]
        fleet.configure(8, routes, customers)
        for node_id in layout:
            self.wait_status(fleet, node_id, 401)
        for ingress_id in layout:
            self.check_order(fleet, ingress_id)

    def check_order(self, fleet, ingress_id: str) -> None:
        threads = []

        def send(name: str, key: str) -> None:
            """Send a request and wait until the node has it."""
            before = self.in_flight(fleet, ingress_id)
            request_id = f"{name}-{ingress_id}"
            thread = threading.Thread(
                target=fleet.request,
                args=(ingress_id, "/shop/x", request_id),
                kwargs={"X-Deadline-Ms": "30000", **bearer(key)},
            )
            thread.start()
            threads.append(thread)
            wait_until(
                lambda: self.in_flight(fleet, ingress_id) > before,
                what=f"{request_id} is in flight",
            )

        fleet.configure_upstream("i-a1", delay_s=4.0)
        send("first", ACME_KEY)
        wait_until(
            lambda: self.run_count(fleet, f"first-{ingress_id}"), what="first runs"
        )
        fleet.configure_upstream("i-a1", delay_s=0.02)
        send("later", ACME_KEY)
        send("urgent", BASIL_KEY)
        for thread in threads:
            thread.join()
        order = [
            name
            for name in fleet.ledger("i-a1")["runs"]
            if name.endswith(f"-{ingress_id}")
        ]
        expected = [f"{name}-{ingress_id}" for name in ("first", "urgent", "later")]
        self.assertEqual(expected, order)

    def in_flight(self, fleet, node_id: str) -> int:
        """Return the number of requests that a node is handling."""
        return fleet.metrics(node_id)["guavagap_requests_in_flight"]
