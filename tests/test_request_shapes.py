"""Tests that unusual requests are forwarded unchanged and malformed ones are refused.

The ledgers of the fake backend servers record which requests were run.
"""

import http.client

from hypothesis import given, settings, strategies

from tests.calls_cases import CallsTestCase


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
            response = self.send_raw(fleet, "a1", head + tail)
            self.assertTrue(response.startswith(b"HTTP/1.1 400 "), (tail, response))
            self.assertIn(b"guavagap-run: not-run", response)
        self.assertEqual({}, fleet.ledger("s0")["runs"])

    def test_head_chunked_expect_and_pipelined_requests_are_served(self):
        fleet = self.start(layout={"a1": "da"})
        host = b"Host: shop.example\r\n"
        response = self.send_raw(
            fleet,
            "a1",
            b"HEAD /checkout/b HTTP/1.1\r\n" + host + b"\r\n"
            b"POST /checkout/p HTTP/1.1\r\n" + host + b"Transfer-Encoding: chunked\r\n"
            b"\r\n3\r\nabc\r\n0\r\n\r\n"
            b"POST /checkout/p HTTP/1.1\r\n" + host + b"Expect: 100-continue\r\n"
            b"Connection: close\r\nContent-Length: 2\r\n\r\nab",
        )
        self.assertEqual(3, response.count(b"HTTP/1.1 200 "), response[:600])
        self.assertIn(b"x-body-bytes: 3", response)
        self.assertIn(b"x-body-bytes: 2", response)

    def test_random_requests_are_forwarded_completely_on_each_path(self):
        fleet = self.start(connections="11")
        fleet.start_server("s2", "b1", "checkout", connections="110")
        fleet.wait_backend_servers("checkout", 3)
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
        def check(chunk_sizes, is_chunked, response_bytes, header_count):
            body = [bytes(size) for size in chunk_sizes]
            fields = {f"X-Extra-{n}": "v" * n * 50 for n in range(header_count)}
            fields |= {"Host": "shop.example", "X-Answer-Bytes": str(response_bytes)}
            connection.request(
                "POST",
                "/checkout/pay",
                iter(body) if is_chunked else b"".join(body),
                fields,
                encode_chunked=is_chunked,
            )
            response = connection.getresponse()
            response_body = response.read()
            self.assertEqual(
                (200, response_bytes), (response.status, len(response_body))
            )
            self.assertEqual(str(sum(chunk_sizes)), response.headers["x-body-bytes"])

        check()

    def test_connection_headers_are_not_forwarded(self):
        fleet = self.start(layout={"a1": "da"})
        response = fleet.call(
            "a1",
            "/checkout/b",
            headers={"Connection": "keep-alive, X-Crash", "X-Crash": "1"},
        )
        self.assertEqual(200, response.status)
        self.assertIn("via", response.headers)
