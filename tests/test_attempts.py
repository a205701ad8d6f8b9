"""Tests of the attempts of one request, with a node that refuses or has no target."""

from collections import Counter
from types import SimpleNamespace

from guavagap.attempts import EVACUATED_RETRY_AFTER_RANGE_S, AttemptRunner
from guavagap.clock import steady_s
from guavagap.customers import NO_CUSTOMERS, CredentialsError, CustomerDirectory
from guavagap.declarations import Customer
from guavagap.directory import ServerHealth, Target
from guavagap.errors import ErrorKind, GuavagapError, error_spec
from guavagap.exchange import (
    ForwardedRequest,
    ResponseHead,
    Upstream,
    relay_exchange,
)
from guavagap.messages import BackendServer
from guavagap.platform.headers import PLATFORM_DIALECT
from guavagap.poison import QUARANTINE_TERMS_S, PoisonGuard, fingerprint_of
from guavagap.requests import Exchange
from guavagap.retries import MAX_PLACEMENTS, SuccessRetryBudget
from tests.cases import AsyncTestCase
from tests.exchange_cases import Upload

EVACUATED_SERVERS = 2 * MAX_PLACEMENTS


class FirstTargetRouter:
    """Selects the first target that is left."""

    def __init__(self, targets: list[Target]):
        self.targets = targets
        self.is_all_evacuated = False

    def choose_target(self, share, version, excluded, busy, response_bytes):
        left = [
            target for target in self.targets if target.server.server_id not in excluded
        ]
        return left[0] if left else None

    def is_evacuated(self, share, version) -> bool:
        return self.is_all_evacuated

    def count_targets(self, share, version) -> int:
        return len(self.targets)


def make_target(server_id: str, failure_domain: str, service="shop") -> Target:
    server = BackendServer(server_id, service, "v1", "main", "127.0.0.1:1", 4, 100)
    health = ServerHealth(0.0, is_warm=True)
    return Target(server, "n0", "r", failure_domain, False, health)


def make_exchange() -> Exchange:
    deadline_s = steady_s() + 2.0
    request = ForwardedRequest(b"POST", b"/x", [], None, False, False, deadline_s)
    route = SimpleNamespace(
        name="r-0", retry_share=0.1, max_attempts=2, target_latency_s=0.5
    )
    share = SimpleNamespace(service=SimpleNamespace(service="shop"))
    downstream = SimpleNamespace(
        is_body_consumed=False, is_response_started=False, is_caller_late=False
    )
    return Exchange(
        b"q", route, share, "v1", request, downstream, False, b"", b"", steady_s()
    )


class AttemptsTestCase(AsyncTestCase):
    def run_attempts(
        self,
        router: FirstTargetRouter,
        run_local,
        exchange: Exchange | None = None,
        customers: CustomerDirectory = NO_CUSTOMERS,
        on_refused_credentials=None,
    ) -> None:
        """Make the attempts of a request at a node with the given parts."""
        snapshot = SimpleNamespace(customers=customers)

        async def gossip_now(count):
            pass

        node = SimpleNamespace(
            configuration=SimpleNamespace(snapshot=snapshot),
            membership=SimpleNamespace(gossip_now=gossip_now),
            router=router,
            run_local=run_local,
            settings=SimpleNamespace(node_id="n0", failure_domain="za"),
            directory=SimpleNamespace(all_targets=lambda: router.targets),
            poison=PoisonGuard(steady_s),
            evidence=SimpleNamespace(record=lambda *_: None),
            is_forwarding_only=True,
            backend_proxies={},
            make_retry_budget=SuccessRetryBudget,
        )
        runner = AttemptRunner(
            node, PLATFORM_DIALECT, Counter(), on_refused_credentials
        )

        async def case():
            await runner._run_attempts(exchange or make_exchange())

        self.run_async(case)


class CredentialsTests(AttemptsTestCase):
    def test_request_from_before_there_were_customers_passes_no_key_on(self):
        """Guards against a key that a retry shows to a backend server."""
        tried, reasons = [], []

        async def run_local(server_id, *_):
            tried.append(server_id)
            raise GuavagapError(ErrorKind.CONNECT_FAILED, "refused")

        def record(error, route_name, request_id) -> None:
            reasons.append(error.reason.value)

        directory = CustomerDirectory((Customer("acme", (), 0, 0.0, 0.0),))
        exchange = make_exchange()
        headers = [(b"authorization", b"Bearer k")]
        keyed = exchange._replace(request=exchange.request._replace(headers=headers))
        targets = [make_target("i0", "za")]
        error = self.assertRaises(
            CredentialsError,
            self.run_attempts,
            FirstTargetRouter(targets),
            run_local,
            keyed,
            directory,
            record,
        )
        self.assertEqual(ErrorKind.CREDENTIALS_UNVERIFIED, error.kind)
        self.assertEqual(([], ["unverified"]), (tried, reasons))
        # Without a key, and without customers, it is run.
        for request, customers in ((exchange, directory), (keyed, NO_CUSTOMERS)):
            arguments = (FirstTargetRouter(targets), run_local, request, customers)
            self.assertRaises(GuavagapError, self.run_attempts, *arguments)
        self.assertEqual(["i0", "i0"], tried)


class EvacuationTests(AttemptsTestCase):
    def test_request_that_an_owner_refuses_goes_to_another_failure_domain_next(self):
        """All its attempts would be spent in a domain with many servers."""
        targets = [make_target(f"i{n}", "zb") for n in range(EVACUATED_SERVERS)]
        targets += [make_target("last", "za")]
        tried = []

        async def run_local(server_id, *_):
            tried.append(server_id)
            if server_id != "last":
                raise GuavagapError(ErrorKind.EVACUATED, "evacuated")
            return SimpleNamespace(
                status=200, condition=None, headers=[], is_complete=False, run_s=0.0
            )

        self.run_attempts(FirstTargetRouter(targets), run_local)
        self.assertEqual(["i0", "last"], tried)

    def test_request_without_a_domain_left_is_refused_with_a_time_to_return(self):
        """Its caller would return within tenths of a second, again and again."""
        router = FirstTargetRouter([])
        router.is_all_evacuated = True
        error = self.assertRaises(GuavagapError, self.run_attempts, router, None)
        self.assertEqual(ErrorKind.EVACUATED, error.kind)
        shortest_s, longest_s = EVACUATED_RETRY_AFTER_RANGE_S
        self.assertTrue(shortest_s <= error.retry_after_s <= longest_s)
        router.is_all_evacuated = False
        error = self.assertRaises(GuavagapError, self.run_attempts, router, None)
        self.assertEqual(ErrorKind.NO_BACKEND_SERVER, error.kind)


class _Receiver(Upstream):
    """Records the body that it receives; fails before or after its end.

    Args:
        error: raised in place of a response; None for a response.
        parts_read: parts of the body that are received before the error.
    """

    def __init__(self, error: GuavagapError | None, parts_read: int = 0):
        self._error = error
        self._parts_left = parts_read
        self.body = b""
        self.is_ended = False

    async def send_request(self, request, chunks, is_complete):
        self.is_written = True
        self.body += b"".join(chunks)

    async def send_body(self, chunk):
        self._parts_left -= 1
        self.body += chunk or b""
        self.is_ended = chunk is None

    def has_early_response(self):
        return self._error is not None and self._parts_left <= 0

    async def read_response(self):
        if self._error is not None:
            raise self._error
        return ResponseHead(200, [], [], True)

    async def read_chunks(self):
        return [], True

    async def finish(self):
        pass

    async def abort(self):
        pass


class UploadTests(AttemptsTestCase):
    """A body of which a part was read from the caller cannot be sent again."""

    PARTS = [b"a" * 10, b"b" * 10, b"c" * 10]

    def upload(self, error: GuavagapError, is_idempotent: bool, parts_read: int):
        """Upload to a server that fails, then to one that responds.

        Returns:
            What the second one received, None if it was not tried; and the error that
            the caller gets, None if it gets a response.
        """
        first, second = _Receiver(error, parts_read), _Receiver(None)
        receivers = [first, second]
        exchange = make_exchange()
        downstream = Upload(self.PARTS)
        request = exchange.request._replace(has_body=True, is_idempotent=is_idempotent)
        exchange = exchange._replace(request=request, downstream=downstream)

        async def run_local(server_id, request, downstream, attempt, check_response):
            attempt.upstream = receivers.pop(0)
            return await relay_exchange(
                request, downstream, attempt.upstream, check_response
            )

        targets = [make_target(f"i{n}", "za") for n in range(2)]
        failure = None
        try:
            self.run_attempts(FirstTargetRouter(targets), run_local, exchange)
        except GuavagapError as raised:
            failure = raised
        return (None if receivers else second.body), failure

    def test_no_kind_of_failure_is_followed_by_a_part_of_the_body(self):
        """review/6: after a refusal for a slot, the rest of a body ran as the whole."""
        for kind in ErrorKind:
            for is_idempotent in (False, True):
                for parts_read in (1, 2, 3):
                    error = GuavagapError(kind, "failed")
                    body, failure = self.upload(error, is_idempotent, parts_read)
                    self.assertIs(None, body, (kind, parts_read))
                    self.assertEqual(kind, failure.kind)

    def test_refusal_before_any_further_part_was_read_is_placed_again(self):
        """It was refused although its whole body could be sent to another server."""
        error = GuavagapError(ErrorKind.SLOTS_TAKEN, "taken")
        body, failure = self.upload(error, False, 0)
        self.assertIs(None, failure)
        self.assertEqual(b"".join(self.PARTS), body)


class QuarantineTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 1000.0
        self.poison = PoisonGuard(lambda: self.now_s)
        self.tried: list[str] = []
        self.fingerprint = fingerprint_of(b"POST", b"/x", [])

    def run_request(self, respond) -> None:
        """Run an idempotent request on two backend servers.

        Args:
            respond: returns the status of the response, or raises.
        """
        targets = [make_target(f"i{n}", "za") for n in range(2)]
        router = FirstTargetRouter(targets)

        async def run_local(server_id, *_):
            self.tried.append(server_id)
            return SimpleNamespace(
                status=respond(),
                condition=None,
                headers=[],
                is_complete=False,
                run_s=0.0,
            )

        async def gossip_now(count):
            pass

        node = SimpleNamespace(
            router=router,
            run_local=run_local,
            settings=SimpleNamespace(node_id="n0", failure_domain="za"),
            directory=SimpleNamespace(all_targets=lambda: targets),
            poison=self.poison,
            evidence=SimpleNamespace(record=lambda *_: None),
            membership=SimpleNamespace(gossip_now=gossip_now),
            is_forwarding_only=True,
            backend_proxies={},
            make_retry_budget=SuccessRetryBudget,
            configuration=SimpleNamespace(
                snapshot=SimpleNamespace(customers=NO_CUSTOMERS)
            ),
        )
        exchange = make_exchange()
        exchange = exchange._replace(
            request=exchange.request._replace(is_idempotent=True),
            fingerprint=self.fingerprint if self.poison else b"",
        )
        exchange.downstream.chunks = []
        exchange.downstream.is_body_complete = True
        runner = AttemptRunner(node, PLATFORM_DIALECT, Counter(), None)
        self.run_async(runner.run, exchange)

    def run_failing(self, kind: ErrorKind) -> GuavagapError:
        def fail():
            raise GuavagapError(kind, "failed")

        return self.assertRaises(GuavagapError, self.run_request, fail)

    def test_request_is_not_tried_again_once_it_is_quarantined(self):
        # A retry would crash a third backend server.
        self.poison.record_crash(self.fingerprint, "i9", 1)
        error = self.run_failing(ErrorKind.BACKEND_SERVER_CRASHED)
        self.assertEqual(["i0"], self.tried)
        self.assertEqual(ErrorKind.BACKEND_SERVER_CRASHED, error.kind)

    def test_failed_trial_is_not_tried_again(self):
        for server_id in ("i8", "i9"):
            self.poison.record_crash(self.fingerprint, server_id, 1)
        self.now_s += QUARANTINE_TERMS_S[0]
        self.run_failing(ErrorKind.BACKEND_SERVER_CRASHED)
        self.assertEqual(["i0"], self.tried)

    def test_refusal_says_not_run_and_when_to_return(self):
        for server_id in ("i8", "i9"):
            self.poison.record_crash(self.fingerprint, server_id, 1)
        error = self.assertRaises(GuavagapError, self.run_request, lambda: 200)
        self.assertEqual([], self.tried)
        self.assertEqual(ErrorKind.POISON_REQUEST, error.kind)
        self.assertTrue(error_spec(error.kind).is_not_run)
        self.assertAlmostEqual(QUARANTINE_TERMS_S[0], error.retry_after_s)

    def test_only_crashes_are_reported(self):
        # Callers of sound requests would be refused after lost connections, killed
        # daemons, garbled or late responses.
        for kind in (
            ErrorKind.BACKEND_SERVER_LOST,
            ErrorKind.BODY_CUT_SHORT,
            ErrorKind.LINK_LOST,
            ErrorKind.BACKEND_SERVER_PROTOCOL,
            ErrorKind.BACKEND_SERVER_FAILED,
            ErrorKind.DEADLINE_AFTER_SEND,
            ErrorKind.CONNECT_FAILED,
            ErrorKind.DRAINING,
        ):
            self.run_failing(kind)
            self.assertEqual(0, self.poison.report_count, kind)
        self.run_failing(ErrorKind.BACKEND_SERVER_CRASHED)
        self.assertEqual(2, self.poison.report_count)

    def test_run_voids_reports_and_a_refusal_does_not(self):
        for status, crashes in ((404, 2), (500, 2), (200, 1)):
            self.poison = PoisonGuard(lambda: self.now_s)
            self.poison.record_crash(self.fingerprint, "i8", 1)
            self.run_request(lambda: status)
            self.poison.record_crash(self.fingerprint, "i9", 1)
            is_quarantined = self.poison.is_quarantined(self.fingerprint)
            self.assertEqual(crashes == 2, is_quarantined, status)
