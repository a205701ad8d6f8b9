"""Promises on calls, kept by real processes under failure.

The run ledger of the stand-in backend servers is the judge of what was run.
"""

import http.client
import os
import signal
import socket
import threading
import time

from hypothesis import given, settings, strategies

from standins.fleet import HttpReply, wait_until
from tests.cases import FleetTestCase
from tests.test_mesh_failures import FAST, FOUR

TWO = {"a1": "da", "b1": "db"}
LEAVE_BOUND_S = 3.0


class CallsTestCase(FleetTestCase):
    """A mesh with one backend server beside each node."""

    def start(self, layout=TWO, service="checkout", **server_options: str):
        fleet = self.open_fleet(**FAST, allow_fault_injection="")
        self.start_mesh(fleet, layout)
        for index, node_id in enumerate(layout):
            fleet.start_server(f"s{index}", node_id, service, **server_options)
        fleet.wait_targets(service, len(layout))
        return fleet

    def post(self, fleet, node_id: str, test_id: str, **headers: str) -> HttpReply:
        fields = {"x-test-id": test_id}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        return fleet.call(node_id, "/checkout/pay", "POST", b"print", fields)

    def runs(self, fleet, test_id: str) -> int:
        """Return how often the living backend servers ran a request."""
        return sum(
            fleet.ledger(server.server_id)["runs"].get(test_id, 0)
            for server in fleet.servers.values()
            if server.process.poll() is None
        )

    def alive_servers(self, fleet) -> list[str]:
        return [s.server_id for s in fleet.servers.values() if s.process.poll() is None]

    def raw(self, fleet, node_id: str, request: bytes) -> bytes:
        """Send bytes as a caller and return all that comes back."""
        port = fleet.nodes[node_id].caller_port
        with socket.create_connection(("127.0.0.1", port), 15) as sock:
            sock.sendall(request)
            answer = b""
            while data := sock.recv(65536):
                answer += data
            return answer


class AtMostOnceTests(CallsTestCase):
    def test_crash_of_the_backend_server_never_repeats_a_post(self):
        fleet = self.start()
        reply = self.post(fleet, "a1", "t1", x_crash="1")
        self.assertEqual(
            (502, "unknown"), (reply.status, reply.headers["guavagap-run"])
        )
        wait_until(lambda: len(self.alive_servers(fleet)) == 1, what="crash")
        time.sleep(0.5)
        self.assertEqual(1, len(self.alive_servers(fleet)))

    def test_refusal_after_an_attempt_that_may_have_run_is_unknown(self):
        fleet = self.start(layout={"a1": "da"}, service="catalogue")
        headers = {"x-test-id": "t", "x-lose-share": "1"}
        reply = fleet.call("a1", "/catalogue/x", headers=headers)
        self.assertEqual(1, self.runs(fleet, "t"))
        self.assertEqual("unknown", reply.headers["guavagap-run"], reply)

    def test_refusal_says_not_run_and_the_ledger_agrees(self):
        fleet = self.start()
        reply = self.post(fleet, "a1", "t1", x_refuse="1")
        self.assertEqual(
            (503, "not-run"), (reply.status, reply.headers["guavagap-run"])
        )
        self.assertEqual(0, self.runs(fleet, "t1"))

    def test_get_is_retried_elsewhere_when_its_backend_server_is_gone(self):
        fleet = self.start(service="catalogue")
        for number in range(10):
            self.assertEqual(200, fleet.call("a1", f"/catalogue/{number}").status)
        fleet.kill(fleet.servers["s0"].process)
        statuses = [
            fleet.call("a1", f"/catalogue/{number}").status for number in range(20)
        ]
        self.assertEqual({200}, set(statuses))

    def test_post_on_a_dead_backend_server_goes_elsewhere_while_not_run(self):
        fleet = self.start()
        fleet.kill(fleet.servers["s0"].process)
        for number in range(10):
            self.assertEqual(200, self.post(fleet, "a1", f"t{number}").status)
            self.assertEqual(1, self.runs(fleet, f"t{number}"))

    def test_frozen_backend_server_costs_the_deadline_and_claims_nothing(self):
        fleet = self.start(layout={"a1": "da"})
        os.kill(fleet.servers["s0"].process.pid, signal.SIGSTOP)
        reply = self.post(fleet, "a1", "t1", guavagap_timeout_ms="400")
        self.assertEqual(
            (504, "unknown"), (reply.status, reply.headers["guavagap-run"])
        )
        os.kill(fleet.servers["s0"].process.pid, signal.SIGCONT)
        reply = self.post(fleet, "a1", "t2")
        self.assertEqual((200, "t2"), (reply.status, reply.headers["x-test-id"]))

    def test_no_answer_reaches_another_request_when_answers_are_late(self):
        fleet = self.start(service="catalogue")
        wrong: list[str] = []

        def call(worker: int) -> None:
            for number in range(15):
                test_id = f"w{worker}-{number}"
                delay = "150" if number % 3 == 0 else "0"
                headers = {"x-test-id": test_id, "x-delay-ms": delay}
                headers["guavagap-timeout-ms"] = "80"
                reply = fleet.call("a1", "/catalogue/x", headers=headers)
                if reply.status == 200 and reply.headers["x-test-id"] != test_id:
                    wrong.append(test_id)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], wrong)


class WholeAnswerTests(CallsTestCase):
    def test_answer_cut_short_is_never_whole(self):
        for connections in ("110", "11"):
            fleet = self.start(connections=connections)
            for number in range(6):
                self.assertRaises(
                    (http.client.IncompleteRead, ConnectionError),
                    self.post,
                    fleet,
                    "a1",
                    f"t{number}",
                    x_cut="1",
                    x_answer_bytes="200000",
                )
            fleet.close()

    def test_long_bodies_pass_both_paths_whole(self):
        for connections in ("110", "11"):
            fleet = self.start(connections=connections)
            body = os.urandom(3_000_000)
            for number in range(6):
                headers = {"x-test-id": "t", "x-answer-bytes": "3000000"}
                reply = fleet.call("a1", "/checkout/p", "POST", body, headers)
                self.assertEqual((200, 3_000_000), (reply.status, len(reply.body)))
                self.assertEqual("3000000", reply.headers["x-body-bytes"])
            fleet.close()

    def test_node_killed_in_mid_answer_breaks_the_connection(self):
        fleet = self.start(layout={"a1": "da"})
        caught: list[BaseException] = []

        def call() -> None:
            try:
                self.post(fleet, "a1", "t", x_delay_ms="1500")
            except (http.client.HTTPException, OSError) as error:
                caught.append(error)

        thread = threading.Thread(target=call)
        thread.start()
        wait_until(lambda: self.runs(fleet, "t") == 1, what="run")
        fleet.kill(fleet.nodes["a1"].process)
        thread.join()
        self.assertEqual(1, len(caught))
        self.assertEqual(1, self.runs(fleet, "t"))


class KeyTests(CallsTestCase):
    def test_resend_is_answered_from_the_record_at_any_node(self):
        fleet = self.start(FOUR)
        for node_id in FOUR:
            reply = self.post(fleet, node_id, "t1", idempotency_key="k1")
            self.assertEqual((200, "t1"), (reply.status, reply.headers["x-test-id"]))
        self.assertEqual(1, self.runs(fleet, "t1"))

    def test_resends_at_once_run_at_most_once(self):
        fleet = self.start(FOUR)
        for round_number in range(8):
            test_id = f"t{round_number}"
            replies: list[HttpReply] = []

            def call(node_id: str) -> None:
                replies.append(
                    self.post(
                        fleet,
                        node_id,
                        test_id,
                        idempotency_key=test_id,
                        x_delay_ms="100",
                    )
                )

            threads = [threading.Thread(target=call, args=(n,)) for n in FOUR]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertTrue(self.runs(fleet, test_id) <= 1, replies)
            self.assertTrue({r.status for r in replies} <= {200, 409, 503}, replies)

    def test_unknown_outcome_is_refused_and_not_run_again(self):
        fleet = self.start(FOUR)
        reply = self.post(
            fleet, "a1", "t", idempotency_key="k", x_delay_ms="900",
            guavagap_timeout_ms="300",
        )  # fmt: skip
        self.assertEqual(504, reply.status)
        reply = self.post(fleet, "b1", "t", idempotency_key="k")
        self.assertEqual("key_outcome_unknown", reply.headers["guavagap-error"])
        self.assertEqual(1, self.runs(fleet, "t"))

    def test_owner_of_the_key_killed_in_mid_request(self):
        fleet = self.start(FOUR)
        thread = threading.Thread(
            target=self.post_quietly, args=(fleet, "a1", "t", "900")
        )
        thread.start()
        wait_until(lambda: self.runs(fleet, "t") == 1, what="run")
        fleet.kill(fleet.nodes["a1"].process)
        thread.join()
        for node_id in ("a2", "b1", "b2"):
            reply = self.post(fleet, node_id, "t", idempotency_key="k")
            self.assertIn(reply.status, (409, 503), reply)
        self.assertEqual(1, self.runs(fleet, "t"))

    def post_quietly(self, fleet, node_id, test_id, delay_ms):
        try:
            self.post(fleet, node_id, test_id, idempotency_key="k", x_delay_ms=delay_ms)
        except (http.client.HTTPException, OSError):
            pass

    def test_other_request_under_the_same_key_is_refused(self):
        fleet = self.start()
        self.post(fleet, "a1", "t", idempotency_key="k")
        fields = {"idempotency-key": "k", "x-test-id": "u"}
        reply = fleet.call("b1", "/checkout/pay", "POST", b"other", fields)
        self.assertEqual(422, reply.status)
        self.assertEqual(0, self.runs(fleet, "u"))

    def test_refused_request_gives_its_key_back(self):
        fleet = self.start()
        reply = self.post(fleet, "a1", "t", idempotency_key="k", x_refuse="1")
        self.assertEqual("not-run", reply.headers["guavagap-run"])
        reply = self.post(fleet, "b1", "t", idempotency_key="k")
        self.assertEqual(200, reply.status)

    def test_cut_between_domains_refuses_rather_than_runs_twice(self):
        fleet = self.start(FOUR)
        for node_id in FOUR:
            near = {n for n in FOUR if FOUR[n] == FOUR[node_id]}
            fleet.block(node_id, [n for n in FOUR if n not in near])
        for number in range(6):
            for node_id in ("a1", "b1"):
                reply = self.post(
                    fleet, node_id, f"t{number}", idempotency_key=f"k{number}"
                )
                self.assertIn(reply.status, (409, 503), reply)
            self.assertTrue(self.runs(fleet, f"t{number}") <= 1)


class PoisonTests(CallsTestCase):
    def test_pool_survives_a_caller_that_resends_a_crashing_request(self):
        fleet = self.start(FOUR)
        for number in range(100):
            node_id = ("a1", "b1")[number % 2]
            reply = self.post(fleet, node_id, "t", x_crash="1")
            self.assertIn(reply.status, (502, 503))
        self.assertEqual("poison_request", reply.headers["guavagap-error"])
        self.assertTrue(len(self.alive_servers(fleet)) >= 2)
        other = fleet.call("a1", "/checkout/other", "POST", b"", {"x-test-id": "u"})
        self.assertEqual(200, other.status)


class DrainTests(CallsTestCase):
    def call_until(self, fleet, node_ids, stop: threading.Event) -> list[int]:
        statuses: list[int] = []

        def call(node_id: str) -> None:
            connection = http.client.HTTPConnection(
                "127.0.0.1", fleet.nodes[node_id].caller_port, timeout=15
            )
            while not stop.is_set():
                connection.request(
                    "POST", "/checkout/pay", b"x", {"Host": "shop.example"}
                )
                response = connection.getresponse()
                response.read()
                statuses.append(response.status)
                time.sleep(0.01)
            connection.close()

        self.threads = [threading.Thread(target=call, args=(n,)) for n in node_ids]
        for thread in self.threads:
            thread.start()
        return statuses

    def test_leaving_backend_server_gets_nothing_new_and_fails_no_call(self):
        fleet = self.start(FOUR)
        stop = threading.Event()
        statuses = self.call_until(fleet, FOUR, stop)
        wait_until(lambda: len(statuses) > 200, what="calls")
        fleet.leave("s0")
        time.sleep(LEAVE_BOUND_S)
        before = sum(fleet.ledger("s0")["runs"].values())
        count = len(statuses)
        wait_until(lambda: len(statuses) > count + 200, what="more calls")
        self.assertEqual(before, sum(fleet.ledger("s0")["runs"].values()))
        stop.set()
        for thread in self.threads:
            thread.join()
        self.assertEqual({200}, set(statuses))

    def test_node_stopped_under_load_fails_no_call(self):
        fleet = self.start(FOUR)
        stop = threading.Event()
        statuses = self.call_until(fleet, ("a2", "b1", "b2"), stop)
        wait_until(lambda: len(statuses) > 200, what="calls")
        self.assertEqual(0, fleet.stop(fleet.nodes["a1"].process))
        count = len(statuses)
        wait_until(lambda: len(statuses) > count + 200, what="more calls")
        stop.set()
        for thread in self.threads:
            thread.join()
        self.assertEqual({200}, set(statuses))

    def test_request_in_flight_survives_the_stop_of_its_node(self):
        fleet = self.start()
        replies: list[HttpReply] = []
        thread = threading.Thread(
            target=lambda: replies.append(
                self.post(fleet, "a1", "t", x_delay_ms="1500")
            )
        )
        thread.start()
        wait_until(lambda: self.runs(fleet, "t") == 1, what="run")
        self.assertEqual(0, fleet.stop(fleet.nodes["a1"].process))
        thread.join()
        self.assertEqual(200, replies[0].status)


class LimitTests(CallsTestCase):
    def overload(self, fleet, workers: int) -> dict[int, int]:
        statuses: dict[int, int] = {}

        def call(worker: int) -> None:
            node_id = ("a1", "b1")[worker % 2]
            for number in range(10):
                reply = self.post(fleet, node_id, f"{worker}-{number}", x_delay_ms="30")
                statuses[reply.status] = statuses.get(reply.status, 0) + 1

        threads = [threading.Thread(target=call, args=(n,)) for n in range(workers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def test_slots_are_never_exceeded_over_the_link(self):
        fleet = self.start(slots="2", connections="4")
        statuses = self.overload(fleet, 30)
        self.assertTrue(set(statuses) <= {200, 503}, statuses)
        for server_id in fleet.servers:
            ledger = fleet.ledger(server_id)
            self.assertTrue(ledger["peak_in_flight"] <= 2, ledger)
            self.assertTrue(all(n == 1 for n in ledger["runs"].values()))
        ran = sum(len(fleet.ledger(s)["runs"]) for s in fleet.servers)
        self.assertEqual(statuses.get(200, 0), ran)

    def test_connections_are_never_exceeded(self):
        fleet = self.start(slots="3", connections="8")
        self.overload(fleet, 40)
        for server_id in fleet.servers:
            # One connection belongs to the reader of the ledger.
            self.assertTrue(fleet.ledger(server_id)["peak_connections"] <= 9)

    def test_caller_that_goes_away_frees_its_slot(self):
        fleet = self.start(layout={"a1": "da"}, slots="1", connections="3")
        port = fleet.nodes["a1"].caller_port
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(
            b"POST /checkout/pay HTTP/1.1\r\nHost: shop.example\r\nX-Test-Id: t\r\n"
            b"X-Delay-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        )
        wait_until(lambda: self.runs(fleet, "t") == 1, what="run")
        sock.close()
        reply = self.post(fleet, "a1", "u", guavagap_timeout_ms="1500")
        self.assertEqual(200, reply.status)


class RequestShapeTests(CallsTestCase):
    def test_ambiguous_requests_are_refused(self):
        fleet = self.start(layout={"a1": "da"})
        head = b"POST /checkout/pay HTTP/1.1\r\nHost: shop.example\r\n"
        for tail in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            b"X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            b"Content-Length: -1\r\n\r\n",
            b"Host: other.example\r\nContent-Length: 0\r\n\r\n",
        ):
            answer = self.raw(fleet, "a1", head + tail)
            self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), (tail, answer))
            self.assertIn(b"guavagap-run: not-run", answer)
        self.assertEqual({}, fleet.ledger("s0")["runs"])

    def test_head_chunked_expect_and_pipelined_requests(self):
        fleet = self.start(layout={"a1": "da"})
        host = b"Host: shop.example\r\n"
        answer = self.raw(
            fleet,
            "a1",
            b"HEAD /checkout/b HTTP/1.1\r\n" + host + b"\r\n"
            b"POST /checkout/p HTTP/1.1\r\n" + host + b"Transfer-Encoding: chunked\r\n"
            b"\r\n3\r\nabc\r\n0\r\n\r\n"
            b"POST /checkout/p HTTP/1.1\r\n" + host + b"Expect: 100-continue\r\n"
            b"Connection: close\r\nContent-Length: 2\r\n\r\nab",
        )
        self.assertEqual(3, answer.count(b"HTTP/1.1 200 "), answer[:600])
        self.assertIn(b"x-body-bytes: 3", answer)
        self.assertIn(b"x-body-bytes: 2", answer)

    def test_random_shapes_pass_whole_on_each_path(self):
        fleet = self.start(connections="11")
        fleet.start_server("s2", "b1", "checkout", connections="110")
        fleet.wait_targets("checkout", 3)
        connection = http.client.HTTPConnection(
            "127.0.0.1", fleet.nodes["a1"].caller_port, timeout=15
        )
        self.addCleanup(connection.close)

        @settings(derandomize=True, max_examples=60, deadline=None, database=None)
        @given(
            strategies.lists(strategies.integers(1, 90_000), max_size=4),
            strategies.booleans(),
            strategies.sampled_from((0, 1, 2048, 65_536, 300_000)),
            strategies.integers(0, 5),
        )
        def check(chunk_sizes, is_chunked, answer_bytes, header_count):
            body = [bytes(size) for size in chunk_sizes]
            fields = {f"X-Extra-{n}": "v" * n * 50 for n in range(header_count)}
            fields |= {"Host": "shop.example", "X-Answer-Bytes": str(answer_bytes)}
            connection.request(
                "POST",
                "/checkout/pay",
                iter(body) if is_chunked else b"".join(body),
                fields,
                encode_chunked=is_chunked,
            )
            response = connection.getresponse()
            answer = response.read()
            self.assertEqual((200, answer_bytes), (response.status, len(answer)))
            self.assertEqual(str(sum(chunk_sizes)), response.headers["x-body-bytes"])

        check()

    def test_connection_headers_do_not_pass(self):
        fleet = self.start(layout={"a1": "da"})
        reply = fleet.call(
            "a1",
            "/checkout/b",
            headers={"Connection": "keep-alive, X-Crash", "X-Crash": "1"},
        )
        self.assertEqual(200, reply.status)
        self.assertIn("via", reply.headers)
