"""Tests of the load generator: which requests it retries and how it counts."""

import curio
from curio import socket

from guavagap.addresses import Address
from guavagap.http_messages import HttpResponse, accept_connections, serve_http
from guavagap.tasks import open_task_scope
from standins.callers import LoadGenerator, RequestKind
from tests.cases import AsyncTestCase

# Enough for a few requests, all of which are checked.
RATE_PER_S = 20.0
DURATION_S = 0.2


class LoadGeneratorTests(AsyncTestCase):
    def send_requests(self, statuses: list[int], is_idempotent: bool, headers=()):
        """Send two requests to a server that responds with the statuses in turn.

        Args:
            statuses: responses to the first, second, ... attempt of each request;
                0 closes the connection.
            is_idempotent: whether the requests are idempotent.
            headers: headers of each response.

        Returns:
            The statistics, and the remaining time in ms that each attempt sent.
        """
        attempts: list[bytes] = []

        async def handle(request):
            status = statuses[len(attempts) % len(statuses)]
            attempts.append(dict(request.headers)[b"x-deadline-ms"])
            if not status:
                raise OSError("closed")
            return HttpResponse(status, list(headers), b"")

        async def case():
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.bind(("127.0.0.1", 0))
            listener.listen(10)
            address = Address(*listener.getsockname())
            kind = RequestKind(
                "k", "/x", is_idempotent, 1.0, latency_target_s=30.0, deadline_s=60.0
            )
            generator = LoadGenerator([address], [kind])
            async with open_task_scope("server") as scope:
                serve = self._server(handle)
                await scope.spawn(accept_connections, listener, scope, serve)
                # One request at a time, so that its attempts are consecutive.
                for _ in range(2):
                    await generator.request(kind)
            return generator.stats()[0]

        return self.run_async(case), attempts

    def _server(self, handle):
        async def serve(sock):
            await serve_http(sock, handle)

        return serve

    def test_responses_within_the_target_are_counted(self):
        kind_stats, attempts = self.send_requests([200], False)
        self.assertEqual((2, 2, 0, 0, 0), kind_stats[1:6])
        self.assertEqual(2, len(attempts))

    def test_refused_request_is_retried_after_the_retry_after_time(self):
        retry_after = [(b"retry-after", b"0.2")]
        kind_stats, attempts = self.send_requests([503, 200], False, retry_after)
        self.assertEqual((2, 2, 0, 0, 0), kind_stats[1:6])
        self.assertLess(int(attempts[1]), int(attempts[0]) - 150)

    def test_request_refused_twice_counts_as_refused(self):
        kind_stats, attempts = self.send_requests([503], True)
        self.assertEqual((2, 0, 0, 2, 0), kind_stats[1:6])
        self.assertEqual(4, len(attempts))

    def test_unknown_outcome_is_retried_for_idempotent_requests_only(self):
        kind_stats, attempts = self.send_requests([502], False)
        self.assertEqual((2, 0, 0, 0, 2), kind_stats[1:6])
        self.assertEqual(2, len(attempts))
        kind_stats, attempts = self.send_requests([502, 200], True)
        self.assertEqual((2, 2, 0, 0, 0), kind_stats[1:6])

    def test_client_error_is_not_retried(self):
        kind_stats, attempts = self.send_requests([404], True)
        self.assertEqual((2, 0, 0, 0, 2), kind_stats[1:6])
        self.assertEqual(2, len(attempts))

    def test_open_loop_load_ends_although_every_request_fails(self):
        async def case():
            kind = RequestKind(
                "k", "/x", False, 1.0, latency_target_s=0.1, deadline_s=0.1
            )
            generator = LoadGenerator([Address("127.0.0.1", 1)], [kind], seed=1)
            async with curio.timeout_after(5.0):
                await generator.run(RATE_PER_S, DURATION_S)
            kind_stats = generator.stats()[0]
            self.assertGreater(kind_stats.total, 0)
            self.assertEqual(kind_stats.total, kind_stats.failed)

        self.run_async(case)
