"""Tests of calls under failures.

They cover at-most-once execution, complete responses, idempotency keys and poison
requests. The ledgers of the fake backend servers record which requests were run.
"""

import http.client
import os
import signal
import threading
import time

from standins.fleet import ClientResponse, wait_until
from tests.calls_cases import CallsTestCase
from tests.test_mesh_failures import FOUR_NODES


class AtMostOnceTests(CallsTestCase):
    def test_post_is_not_retried_after_a_crash_of_its_backend_server(self):
        fleet = self.start()
        response = self.post(fleet, "a1", "t1", x_crash="1")
        self.assertEqual(
            (502, "unknown"), (response.status, response.headers["guavagap-run"])
        )
        wait_until(lambda: len(self.alive_server_ids(fleet)) == 1, what="crash")
        time.sleep(0.5)
        self.assertEqual(1, len(self.alive_server_ids(fleet)))

    def test_refusal_after_an_attempt_that_may_have_run_is_reported_as_unknown(self):
        fleet = self.start(layout={"a1": "da"}, service="catalogue")
        headers = {"x-test-id": "t", "x-lose-share": "1"}
        response = fleet.call("a1", "/catalogue/x", headers=headers)
        self.assertEqual(1, self.run_count(fleet, "t"))
        self.assertEqual("unknown", response.headers["guavagap-run"], response)

    def test_refusal_by_the_backend_server_is_reported_as_not_run(self):
        fleet = self.start()
        response = self.post(fleet, "a1", "t1", x_refuse="1")
        self.assertEqual(
            (503, "not-run"), (response.status, response.headers["guavagap-run"])
        )
        self.assertEqual(0, self.run_count(fleet, "t1"))

    def test_get_is_retried_on_another_backend_server_after_a_crash(self):
        fleet = self.start(service="catalogue")
        for number in range(10):
            self.assertEqual(200, fleet.call("a1", f"/catalogue/{number}").status)
        fleet.kill(fleet.servers["s0"].process)
        statuses = [
            fleet.call("a1", f"/catalogue/{number}").status for number in range(20)
        ]
        self.assertEqual({200}, set(statuses))

    def test_post_to_a_dead_backend_server_is_retried_on_another(self):
        fleet = self.start()
        fleet.kill(fleet.servers["s0"].process)
        for number in range(10):
            self.assertEqual(200, self.post(fleet, "a1", f"t{number}").status)
            self.assertEqual(1, self.run_count(fleet, f"t{number}"))

    def test_frozen_backend_server_times_out_with_unknown_outcome(self):
        fleet = self.start(layout={"a1": "da"})
        os.kill(fleet.servers["s0"].process.pid, signal.SIGSTOP)
        response = self.post(fleet, "a1", "t1", guavagap_timeout_ms="400")
        self.assertEqual(
            (504, "unknown"), (response.status, response.headers["guavagap-run"])
        )
        os.kill(fleet.servers["s0"].process.pid, signal.SIGCONT)
        response = self.post(fleet, "a1", "t2")
        self.assertEqual((200, "t2"), (response.status, response.headers["x-test-id"]))

    def test_late_response_never_reaches_another_request(self):
        fleet = self.start(service="catalogue")
        wrong: list[str] = []

        def call(worker: int) -> None:
            for number in range(15):
                test_id = f"w{worker}-{number}"
                delay = "150" if number % 3 == 0 else "0"
                headers = {"x-test-id": test_id, "x-delay-ms": delay}
                headers["guavagap-timeout-ms"] = "80"
                response = fleet.call("a1", "/catalogue/x", headers=headers)
                if response.status == 200 and response.headers["x-test-id"] != test_id:
                    wrong.append(test_id)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], wrong)


class CompleteResponseTests(CallsTestCase):
    def test_truncated_response_is_incomplete_for_the_caller(self):
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

    def test_long_bodies_are_forwarded_completely_on_both_paths(self):
        for connections in ("110", "11"):
            fleet = self.start(connections=connections)
            body = os.urandom(3_000_000)
            for number in range(6):
                headers = {"x-test-id": "t", "x-answer-bytes": "3000000"}
                response = fleet.call("a1", "/checkout/p", "POST", body, headers)
                self.assertEqual(
                    (200, 3_000_000), (response.status, len(response.body))
                )
                self.assertEqual("3000000", response.headers["x-body-bytes"])
            fleet.close()

    def test_node_killed_during_a_request_breaks_the_connection(self):
        fleet = self.start(layout={"a1": "da"})
        errors: list[BaseException] = []

        def call() -> None:
            try:
                self.post(fleet, "a1", "t", x_delay_ms="1500")
            except (http.client.HTTPException, OSError) as error:
                errors.append(error)

        thread = threading.Thread(target=call)
        thread.start()
        wait_until(lambda: self.run_count(fleet, "t") == 1, what="run")
        fleet.kill(fleet.nodes["a1"].process)
        thread.join()
        self.assertEqual(1, len(errors))
        self.assertEqual(1, self.run_count(fleet, "t"))


class IdempotencyKeyTests(CallsTestCase):
    def test_resend_gets_the_recorded_response_at_any_node(self):
        fleet = self.start(FOUR_NODES)
        for node_id in FOUR_NODES:
            response = self.post(fleet, node_id, "t1", idempotency_key="k1")
            self.assertEqual(
                (200, "t1"), (response.status, response.headers["x-test-id"])
            )
        self.assertEqual(1, self.run_count(fleet, "t1"))

    def test_concurrent_resends_run_at_most_once(self):
        fleet = self.start(FOUR_NODES)
        for round_number in range(8):
            test_id = f"t{round_number}"
            responses: list[ClientResponse] = []

            def call(node_id: str) -> None:
                responses.append(
                    self.post(
                        fleet,
                        node_id,
                        test_id,
                        idempotency_key=test_id,
                        x_delay_ms="100",
                    )
                )

            threads = [threading.Thread(target=call, args=(n,)) for n in FOUR_NODES]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertTrue(self.run_count(fleet, test_id) <= 1, responses)
            self.assertTrue({r.status for r in responses} <= {200, 409, 503}, responses)

    def test_resend_after_an_unknown_outcome_is_refused_and_not_run(self):
        fleet = self.start(FOUR_NODES)
        response = self.post(
            fleet, "a1", "t", idempotency_key="k", x_delay_ms="900",
            guavagap_timeout_ms="300",
        )  # fmt: skip
        self.assertEqual(504, response.status)
        response = self.post(fleet, "b1", "t", idempotency_key="k")
        self.assertEqual("key_outcome_unknown", response.headers["guavagap-error"])
        self.assertEqual(1, self.run_count(fleet, "t"))

    def test_request_is_not_run_again_after_its_key_owner_is_killed(self):
        fleet = self.start(FOUR_NODES)
        thread = threading.Thread(
            target=self.post_ignoring_errors, args=(fleet, "a1", "t", "900")
        )
        thread.start()
        wait_until(lambda: self.run_count(fleet, "t") == 1, what="run")
        fleet.kill(fleet.nodes["a1"].process)
        thread.join()
        for node_id in ("a2", "b1", "b2"):
            response = self.post(fleet, node_id, "t", idempotency_key="k")
            self.assertIn(response.status, (409, 503), response)
        self.assertEqual(1, self.run_count(fleet, "t"))

    def post_ignoring_errors(self, fleet, node_id, test_id, delay_ms):
        try:
            self.post(fleet, node_id, test_id, idempotency_key="k", x_delay_ms=delay_ms)
        except (http.client.HTTPException, OSError):
            pass

    def test_different_request_with_the_same_key_is_refused(self):
        fleet = self.start()
        self.post(fleet, "a1", "t", idempotency_key="k")
        fields = {"idempotency-key": "k", "x-test-id": "u"}
        response = fleet.call("b1", "/checkout/pay", "POST", b"other", fields)
        self.assertEqual(422, response.status)
        self.assertEqual(0, self.run_count(fleet, "u"))

    def test_refused_request_releases_its_key(self):
        fleet = self.start()
        response = self.post(fleet, "a1", "t", idempotency_key="k", x_refuse="1")
        self.assertEqual("not-run", response.headers["guavagap-run"])
        response = self.post(fleet, "b1", "t", idempotency_key="k")
        self.assertEqual(200, response.status)

    def test_partition_between_domains_refuses_rather_than_runs_twice(self):
        fleet = self.start(FOUR_NODES)
        for node_id in FOUR_NODES:
            same_domain = {
                n for n in FOUR_NODES if FOUR_NODES[n] == FOUR_NODES[node_id]
            }
            fleet.block(node_id, [n for n in FOUR_NODES if n not in same_domain])
        for number in range(6):
            for node_id in ("a1", "b1"):
                response = self.post(
                    fleet, node_id, f"t{number}", idempotency_key=f"k{number}"
                )
                self.assertIn(response.status, (409, 503), response)
            self.assertTrue(self.run_count(fleet, f"t{number}") <= 1)


class PoisonTests(CallsTestCase):
    def test_pool_survives_a_caller_that_resends_a_crashing_request(self):
        fleet = self.start(FOUR_NODES)
        for number in range(100):
            node_id = ("a1", "b1")[number % 2]
            response = self.post(fleet, node_id, "t", x_crash="1")
            self.assertIn(response.status, (502, 503))
        self.assertEqual("poison_request", response.headers["guavagap-error"])
        self.assertTrue(len(self.alive_server_ids(fleet)) >= 2)
        other = fleet.call("a1", "/checkout/other", "POST", b"", {"x-test-id": "u"})
        self.assertEqual(200, other.status)
