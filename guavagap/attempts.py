"""Attempts to run a routed request on a backend server.

The owner node of a backend server enforces its slots exactly. If none is expected to
be free within the wait limit, it refuses the request immediately, which costs only a
message, and the request is sent to another backend server. Only when all those tried
were full does the request wait longer for a slot.
"""

import random
from collections import Counter
from typing import Callable

from guavagap.clock import steady_s
from guavagap.customers import CredentialsError, RefusalReason
from guavagap.dialect import Dialect
from guavagap.directory import Target
from guavagap.errors import ErrorKind, GuavagapError, error_spec
from guavagap.exchange import (
    Attempt,
    ForwardedRequest,
    ResponseHead,
    enforce_deadline,
    relay_exchange,
)
from guavagap.forwarding import StreamUpstream
from guavagap.logs import get_logger
from guavagap.outcomes import (
    FAILURE_STATUS,
    OutcomeRecorder,
    fingerprint_of_exchange,
)
from guavagap.poison import request_digest_of
from guavagap.requests import Exchange
from guavagap.retries import (
    MAX_PLACEMENTS,
    FailedAttempt,
    RetryBudget,
    may_have_reached_server,
    may_retry,
)
from guavagap.scheduling.pace import may_exceed_pace
from guavagap.scheduling.refusals import (
    choose_return_delay_s,
    excess_wait_s,
    expected_wait_s,
)
from guavagap.scheduling.waits import WaitState, max_wait_s
from guavagap.tasks import forget_frames

__all__ = ["AttemptRunner"]

log = get_logger()

# Links carry wait limits in whole milliseconds.
MIN_WAIT_S = 0.001
# An evacuation lasts for a while after its requests are refused, and nothing tells how
# long; randomised so that callers do not return simultaneously.
EVACUATED_RETRY_AFTER_RANGE_S = (1.0, 2.0)
# A retry with less time left than this share of the target latency is not expected
# to succeed.
MIN_RETRY_TIME_SHARE_OF_TARGET = 0.3


_REFUSAL_KINDS = (
    ErrorKind.SLOTS_TAKEN,
    ErrorKind.OVERLOADED,
    ErrorKind.REFUSED_BY_BACKEND_SERVER,
)


class _AttemptHistory:
    """State of the attempts of one request.

    Attributes:
        failed_ids: backend servers excluded after a failed attempt.
        busy_ids: backend servers that refused the request with SLOTS_TAKEN.
        attempts: attempts that may have reached a backend server.
        placements: all failed attempts, including those that reached no server.
        excess_wait_s: the lowest excess of the expected wait for a slot over the
            accepted one, among the backend servers that refused the request.
        unknown_outcome: error of the latest attempt that may have run.
        withheld_response: failure response that was not passed on.
    """

    __slots__ = (
        "failed_ids",
        "busy_ids",
        "attempts",
        "placements",
        "excess_wait_s",
        "unknown_outcome",
        "withheld_response",
    )

    def __init__(self):
        self.failed_ids: set[str] = set()
        self.busy_ids: set[str] = set()
        self.attempts = 0
        self.placements = 0
        self.excess_wait_s: float | None = None
        self.unknown_outcome: GuavagapError | None = None
        self.withheld_response: ResponseHead | None = None


class _RetryableFailureResponse(GuavagapError):
    """A failure response that is withheld because the request can be retried."""

    def __init__(self, response: ResponseHead):
        super().__init__(ErrorKind.BACKEND_SERVER_FAILED, f"status {response.status}")
        self.response = response


class AttemptRunner:
    """Runs the requests of one node, retrying failed attempts.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.
        dialect: headers of callers and backend servers.
        counts: counts of the proxy, by path and kind of error.
        on_refused_credentials: called with the error of a request whose key was
            withdrawn between attempts, the name of its route and its ID.
    """

    def __init__(
        self,
        node,
        dialect: Dialect,
        counts: Counter[str],
        on_refused_credentials: Callable[[CredentialsError, str, bytes], None],
    ):
        self._on_refused_credentials = on_refused_credentials
        self._node = node
        self._dialect = dialect
        self._counts = counts
        self._budgets: dict[tuple[str, str, float], RetryBudget] = {}
        self.outcomes = OutcomeRecorder(node, dialect, counts)

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share the retry budgets."""
        for budget in self._budgets.values():
            budget.set_node_count(node_count)

    async def run(self, exchange: Exchange) -> None:
        """Make attempts until one succeeds or no further one is allowed.

        Raises:
            GuavagapError: its kind says whether the request may have run.
        """
        if exchange.fingerprint:
            delay_s = self._node.poison.admit(exchange.fingerprint)
            if delay_s is not None:
                raise _quarantined_error(delay_s)
        if exchange.idempotency_key:
            await self._run_with_idempotency_key(exchange)
        else:
            await self._run_attempts(exchange)

    async def _run_with_idempotency_key(self, exchange: Exchange) -> None:
        """Run a request with an idempotency key, or replay its recorded response."""
        keys, key = self._node.keys, exchange.idempotency_key
        request, downstream = exchange.request, exchange.downstream
        if not downstream.is_body_complete:
            raise GuavagapError(
                ErrorKind.BODY_TOO_LARGE,
                "a request with an Idempotency-Key must fit into the read-ahead",
            )
        digest = request_digest_of(request.method, request.target, downstream.chunks)
        recorded = await keys.claim(key, digest)
        if recorded is not None:
            self._counts["answers_from_record"] += 1
            await downstream.send_response(recorded)
            return
        downstream.is_recording = True
        is_run = True
        try:
            await self._run_attempts(exchange)
        except GuavagapError as error:
            has_response = downstream.is_response_started
            is_run = has_response or not error_spec(error.kind).is_not_run
            raise
        finally:
            if is_run:
                keys.record_outcome(key, downstream.recorded)
            else:
                await keys.release(key)

    async def _run_attempts(self, exchange: Exchange) -> None:
        budget = self._retry_budget(exchange)
        budget.record_request()
        history = _AttemptHistory()
        while True:
            attempt = Attempt()
            try:
                self._check_credentials(exchange, history)
                self._check_quarantine(exchange, history)
                target = self._choose_target(exchange, history)
                limited_exchange = self._with_wait_limit(exchange, history, target)
                try:
                    await self._run_attempt(
                        limited_exchange, target, attempt, history, budget
                    )
                    budget.record_success()
                    return
                except GuavagapError as error:
                    if error.kind in _REFUSAL_KINDS:
                        _record_refusal(history, target, limited_exchange.request)
                    exchange = self._after_failure(
                        exchange, history, target, error, attempt, budget
                    )
                    if not await exchange.charge.renew():
                        log.info(
                            "not tried again",
                            request=exchange.request_id.decode("latin-1"),
                            why="the customer has no token for another run",
                        )
                        raise history.unknown_outcome or error
                    forget_frames(error)
            except GuavagapError as error:
                is_refused = error_spec(error.kind).is_not_run
                if is_refused and history.excess_wait_s is not None:
                    error.retry_after_s = choose_return_delay_s(
                        history.excess_wait_s, random
                    )
                is_started = exchange.downstream.is_response_started
                is_caller_gone = error.kind is ErrorKind.CALLER_GONE
                if history.withheld_response is None or is_started or is_caller_gone:
                    raise
                forget_frames(error)
                # The response of a backend server says more than an error of this node.
                await exchange.downstream.send_response(history.withheld_response)
                return

    def _check_credentials(self, exchange: Exchange, history: _AttemptHistory) -> None:
        """Refuse a further attempt if the customer no longer holds the key.

        A request that was admitted before there were customers is refused if it has a
        key, which no backend server must see.

        Raises:
            GuavagapError: CREDENTIALS_REJECTED, CREDENTIALS_UNVERIFIED, or the error of
                an attempt that may have run.
        """
        customers = self._node.configuration.snapshot.customers
        if customers.is_empty:
            return
        credentials = exchange.credentials
        try:
            if credentials is None:
                customers.check_forwarded(exchange.request.headers)
                return
            if not history.placements or customers.holds(credentials):
                return
            raise CredentialsError(RefusalReason.WITHDRAWN, credentials.customer)
        except CredentialsError as refusal:
            error = refusal
        self._on_refused_credentials(error, exchange.route.name, exchange.request_id)
        if history.unknown_outcome is not None:
            raise history.unknown_outcome
        raise error

    def _check_quarantine(self, exchange: Exchange, history: _AttemptHistory) -> None:
        """Refuse a further attempt of a request that has been quarantined meanwhile.

        Raises:
            GuavagapError: POISON_REQUEST, or the error of an attempt that may have run.
        """
        poison = self._node.poison
        if not history.placements or not poison:
            return
        if not poison.is_quarantined(fingerprint_of_exchange(exchange)):
            return
        log.info(
            "not tried again",
            request=exchange.request_id.decode("latin-1"),
            why="the request is quarantined",
        )
        if history.unknown_outcome is not None:
            raise history.unknown_outcome
        raise _quarantined_error(poison.delay_s(fingerprint_of_exchange(exchange)))

    def _make_response_check(
        self, exchange: Exchange, history: _AttemptHistory, budget: RetryBudget
    ) -> Callable[[ResponseHead], None] | None:
        """Return a check that withholds a failure response while a retry is allowed.

        Returns None if failure responses to the request are never withheld.
        """
        if not self._node.is_forwarding_only or not exchange.request.is_idempotent:
            return None
        if history.attempts + 1 >= exchange.route.max_attempts:
            return None

        def check_response(response: ResponseHead) -> None:
            if response.status < FAILURE_STATUS or not response.is_complete:
                return
            left_s = exchange.request.deadline_s - steady_s()
            min_left_s = (
                MIN_RETRY_TIME_SHARE_OF_TARGET * exchange.route.target_latency_s
            )
            if left_s > min_left_s and budget.has_token(may_have_run=True):
                raise _RetryableFailureResponse(response)

        return check_response

    def _choose_target(self, exchange: Exchange, history: _AttemptHistory) -> Target:
        share = exchange.share
        response_bytes = self.outcomes.mean_response_bytes(exchange.route)
        while True:
            target = self._node.router.choose_target(
                share,
                exchange.version,
                history.failed_ids,
                history.busy_ids,
                response_bytes,
            )
            if target is None:
                break
            if not target.health.statements.is_leaving(steady_s()):
                return target
            # Its owner node has not drained it yet, or has forgotten that it leaves.
            history.failed_ids.add(target.server.server_id)
        if history.unknown_outcome is not None:
            raise history.unknown_outcome
        service = share.service.service
        if self._node.router.is_evacuated(share, exchange.version):
            raise _evacuated_error(service)
        raise GuavagapError(
            ErrorKind.NO_BACKEND_SERVER,
            f"no backend server of {service} is available",
        )

    def _with_wait_limit(
        self, exchange: Exchange, history: _AttemptHistory, target: Target
    ) -> Exchange:
        """Return the exchange with its wait limit at the chosen target."""
        if not self._node.is_forwarding_only:
            return exchange
        now_s = steady_s()
        target_s = exchange.route.target_latency_s
        candidates = self._node.router.count_targets(
            exchange.share, exchange.version
        ) - len(history.failed_ids)
        state = WaitState(
            now_s - exchange.started_s,
            exchange.request.deadline_s - now_s,
            len(history.busy_ids),
            candidates,
        )
        wait_s = max(MIN_WAIT_S, max_wait_s(target_s, target.health.slowness, state))
        is_full = target.health.expected_load(now_s) >= target.server.slots
        request = exchange.request._replace(
            max_wait_s=wait_s, may_exceed_pace=may_exceed_pace(state, is_full)
        )
        return exchange._replace(request=request)

    def _after_failure(
        self,
        exchange: Exchange,
        history: _AttemptHistory,
        target: Target,
        error: GuavagapError,
        attempt: Attempt,
        budget: RetryBudget,
    ) -> Exchange:
        """Return the exchange for the next attempt, or raise the final error."""
        server_id = target.server.server_id
        history.placements += 1
        if error.kind is ErrorKind.SLOTS_TAKEN:
            history.busy_ids.add(server_id)
            is_body_kept = not exchange.downstream.is_body_consumed
            if is_body_kept and history.placements < MAX_PLACEMENTS:
                return exchange
        may_have_arrived = may_have_reached_server(error.kind)
        history.attempts += may_have_arrived
        if not error_spec(error.kind).is_not_run:
            history.unknown_outcome = error
        if isinstance(error, _RetryableFailureResponse):
            history.withheld_response = error.response
        failure = self._failed_attempt(exchange, error, attempt, history)
        may_have_run = not error_spec(error.kind).is_not_run
        is_allowed = may_retry(failure) and (
            not may_have_arrived or budget.try_spend(may_have_run)
        )
        self._log_failed_attempt(exchange, history, target, error, is_allowed)
        if error.kind is ErrorKind.EVACUATED:
            # The order holds for the other backend servers there too, of which there
            # may be more than a request may try.
            history.failed_ids |= self._server_ids_beside(target)
        if not is_allowed:
            # A later refusal does not undo an attempt that may have run.
            raise history.unknown_outcome or error
        self._counts["retries"] += 1
        history.failed_ids.add(server_id)
        return self._with_retry_mark(exchange) if may_have_arrived else exchange

    def _server_ids_beside(self, target: Target) -> set[str]:
        """Return the backend servers of the target's service and failure domain."""
        return {
            other.server.server_id
            for other in self._node.directory.all_targets()
            if other.failure_domain == target.failure_domain
            and other.server.service == target.server.service
        }

    def _log_failed_attempt(
        self,
        exchange: Exchange,
        history: _AttemptHistory,
        target: Target,
        error: GuavagapError,
        is_allowed: bool,
    ) -> None:
        """Log the failure with the reported load, its age, and the decision."""
        now_s, health = steady_s(), target.health
        is_reported = health.reported_at_s > 0
        log.info(
            "attempt failed",
            request=exchange.request_id.decode("latin-1"),
            route=exchange.route.name,
            kind=error.kind.value,
            why=error.detail,
            server=target.server.server_id,
            owner=target.node_id,
            load=health.reported_in_flight if is_reported else None,
            load_age_ms=_to_ms(now_s - health.reported_at_s) if is_reported else None,
            slowness=round(health.slowness, 2),
            speed=round(health.speed.ratio(now_s), 2),
            run_time_factor=round(health.run_time_factor(now_s), 2),
            attempts=history.attempts,
            placements=history.placements,
            is_body_kept=not exchange.downstream.is_body_consumed,
            elapsed_ms=_to_ms(now_s - exchange.started_s),
            left_ms=_to_ms(exchange.request.deadline_s - now_s),
            outcome="tried again" if is_allowed else "given up",
        )

    def _failed_attempt(
        self,
        exchange: Exchange,
        error: GuavagapError,
        attempt: Attempt,
        history: _AttemptHistory,
    ) -> FailedAttempt:
        downstream = exchange.downstream
        return FailedAttempt(
            error.kind,
            attempt.is_written,
            exchange.request.is_idempotent,
            not downstream.is_body_consumed,
            downstream.is_response_started,
            exchange.has_retry_mark,
            history.attempts,
            exchange.route.max_attempts,
            history.placements,
            exchange.request.deadline_s - steady_s(),
        )

    def _with_retry_mark(self, exchange: Exchange) -> Exchange:
        """Return the exchange with the header that stops lower layers from retrying."""
        mark = self._dialect.retry_mark
        if not mark:
            return exchange
        request = exchange.request
        headers = [item for item in request.headers if item[0] != mark]
        headers.append((mark, b"1"))
        return exchange._replace(request=request._replace(headers=headers))

    def _retry_budget(self, exchange: Exchange) -> RetryBudget:
        share = exchange.route.retry_share
        # The operator's platform limits retries per service, not per route.
        route_name = "" if self._node.is_forwarding_only else exchange.route.name
        key = (exchange.share.service.service, route_name, share)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = self._node.make_retry_budget(share)
        return budget

    async def _run_attempt(
        self,
        exchange: Exchange,
        target: Target,
        attempt: Attempt,
        history: _AttemptHistory,
        budget: RetryBudget,
    ) -> None:
        """Make one attempt and record its outcome."""
        check_response = self._make_response_check(exchange, history, budget)
        health = target.health
        health.record_sent()
        started_s = steady_s()
        is_not_run = False
        try:
            async with enforce_deadline(exchange.request.deadline_s, attempt):
                response = await self._send(exchange, target, attempt, check_response)
        except GuavagapError as error:
            is_not_run = error_spec(error.kind).is_not_run
            self.outcomes.record_failure(exchange, target, error, started_s)
            if self.outcomes.is_crash(error):
                await self.outcomes.record_crash(exchange, target, error)
            raise
        finally:
            health.record_ended()
            if attempt.is_written and not is_not_run:
                exchange.charge.record_run()
        self.outcomes.record_response(exchange, target, response)

    async def _send(
        self, exchange: Exchange, target: Target, attempt: Attempt, check_response
    ) -> ResponseHead:
        """Send the request on the shortest path available."""
        node = self._node
        request, downstream = exchange.request, exchange.downstream
        if target.node_id == node.settings.node_id:
            self._counts["path_local"] += 1
            server_id = target.server.server_id
            return await node.run_local(
                server_id, request, downstream, attempt, check_response
            )
        if not node.is_forwarding_only:
            upstream = await node.direct.acquire(target)
            if upstream is not None:
                self._counts["path_direct"] += 1
                attempt.upstream = upstream
                return await relay_exchange(request, downstream, upstream)
        self._counts["path_forwarded"] += 1
        link = await node.links.get(target.node_id)
        stream = link.open_stream()
        stream.account = downstream.account
        is_cross_domain = target.failure_domain != node.settings.failure_domain
        upstream = StreamUpstream(
            stream, target.server.server_id, target.health, is_cross_domain
        )
        attempt.upstream = upstream
        return await relay_exchange(request, downstream, upstream, check_response)


def _to_ms(duration_s: float) -> int:
    return int(duration_s * 1000)


def _quarantined_error(delay_s: float) -> GuavagapError:
    error = GuavagapError(
        ErrorKind.POISON_REQUEST, "identical requests have crashed backend servers"
    )
    error.retry_after_s = delay_s
    return error


def _evacuated_error(service: str) -> GuavagapError:
    error = GuavagapError(
        ErrorKind.EVACUATED, f"all failure domains of {service} are evacuated"
    )
    error.retry_after_s = random.uniform(*EVACUATED_RETRY_AFTER_RANGE_S)
    return error


def _record_refusal(
    history: _AttemptHistory, target: Target, request: ForwardedRequest
) -> None:
    """Record the backlog of a backend server that refused a request."""
    health = target.health
    run_s = health.slowness * request.target_latency_s
    load = health.load(steady_s())
    wait_s = expected_wait_s(load, target.server.slots, run_s)
    excess_s = excess_wait_s(wait_s, request.max_wait_s or 0.0)
    if history.excess_wait_s is None or excess_s < history.excess_wait_s:
        history.excess_wait_s = excess_s
