"""Enforcement of customers' quotas: tokens from quota holders, and loans between them.

An ingress node charges a request before it reads the body. It takes a token that its
failure domain's quota holder has granted; without one it asks the holder, and the next
member in order if the holder does not reply. A node that has started asks the other
members to release quotas to it, and one that leaves hands over what it holds. The
decisions are in :mod:`guavagap.scheduling.quotas` and
:mod:`guavagap.scheduling.quota_holders`; this module sends the messages.
"""

import math
from collections import Counter
from itertools import islice
from typing import NamedTuple

import curio

from guavagap.clock import steady_s
from guavagap.customer_counts import MAX_CUSTOMERS, OTHER_CUSTOMERS
from guavagap.declarations import Customer
from guavagap.errors import ErrorKind, GuavagapError, PeerRefusedError
from guavagap.logs import get_logger
from guavagap.messages import (
    HandedQuota,
    LentShare,
    MemberState,
    QuotaDemand,
    QuotaGrant,
    QuotaHandover,
    QuotaHandoverReply,
    QuotaLoanReply,
    QuotaLoanRequest,
    QuotaReleaseReply,
    QuotaReleaseRequest,
    QuotaReply,
    QuotaRequest,
)
from guavagap.scheduling.quota_holders import (
    HolderChoice,
    HolderDirectory,
    MemberView,
    Release,
)
from guavagap.scheduling.quotas import (
    NO_LOAN,
    Grant,
    HeldQuota,
    LentRate,
    Loan,
    LoanRequest,
    QuotaBounds,
    QuotaHolder,
    QuotaLimit,
    plan_quota,
)
from guavagap.scheduling.token_pools import Token, TokenPool
from guavagap.tasks import run_step

__all__ = [
    "Charge",
    "NO_CHARGE",
    "NO_USE",
    "QuotaEnforcer",
    "is_quota_refusal",
]

log = get_logger()

TICK_INTERVAL_S = 0.2
REPLY_TIMEOUT_S = 0.05
LOAN_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 0.5
# A member that leaves stays for longer than this.
HANDOVER_TIMEOUT_S = 0.3
HANDOVER_ATTEMPTS = 2
MAX_ASK_ROUNDS = 3
# Members of one failure domain that started within this time hold nothing yet.
JOINT_START_SPREAD_MS = 3000
# Members' views are followed for this time after the latest change.
VIEW_SETTLING_S = 10.0
SUMMARY_INTERVAL_S = 5.0
MAX_SUMMARY_LINES = 20
# A customer far over its quota would otherwise use up the log lines of all others.
MAX_LINES_PER_S = 5
MAX_MILLIHERTZ = 2**32 - 1
MAX_MS = 2**32 - 1


class Charge:
    """The token of a request, returned if the request is not run.

    Attributes:
        is_used: whether the request may have been run on the present token.
    """

    def __init__(self, enforcer: "QuotaEnforcer", customer: str, token: Token):
        self.is_used = False
        self._enforcer = enforcer
        self._customer = customer
        self._token = token

    def record_run(self) -> None:
        """Note that the request may have been run."""
        self.is_used = True

    async def renew(self) -> bool:
        """Take another token if the present one is used; return False if none is left.

        A request that is sent again after a run that may have happened counts twice.
        """
        if not self.is_used:
            return True
        try:
            self._token = await self._enforcer.take_token(self._customer)
        except GuavagapError:
            return False
        self.is_used = False
        return True

    def settle(self) -> None:
        """Return the token of a request that has ended, unless it is used."""
        if not self.is_used:
            self.is_used = True
            self._enforcer.give_back(self._customer, self._token)


class _NoCharge(Charge):
    """The charge of requests without a quota."""

    def __init__(self):
        self.is_used = False

    def record_run(self) -> None:
        pass

    async def renew(self) -> bool:
        return True

    def settle(self) -> None:
        pass


NO_CHARGE = _NoCharge()


class _Call:
    """A call to a member for tokens.

    Attributes:
        is_answered: whether the reply decides on the waiting requests.
        ended: set when the member has replied, or does not.
    """

    def __init__(self):
        self.is_answered = False
        self.ended = curio.Event()


class _CustomerTokens:
    """Tokens of a customer at this node.

    Attributes:
        batch: set when the next call has ended; None if no request waits for it.
        is_asking: whether a call is in progress.
        is_answered: whether a member has answered the latest call.
        has_empty_reply: whether a member that was asked for it held no quota.
    """

    def __init__(self):
        self.pool = TokenPool()
        self.is_answered = False
        self.batch: curio.Event | None = None
        self.is_asking = False
        self.has_empty_reply = False


class CustomerUse(NamedTuple):
    """Use of a quota through this node since its start.

    Attributes:
        charged: requests that got a token, including those that returned it.
        refused: requests beyond the quota.
        unverified: requests that were refused because no holder could grant a token.
        returned: tokens of requests that were not run.
    """

    charged: int
    refused: int
    unverified: int
    returned: int


NO_USE = CustomerUse(0, 0, 0, 0)


class QuotaState(NamedTuple):
    """What a node has to do with quotas at present.

    Attributes:
        quotas: number of customers with a quota.
        held: number of quotas that the node holds for its failure domain.
    """

    quotas: int
    held: int
    lent_per_s: float
    borrowed_per_s: float


class _LineLimit:
    """Limit of the log lines of one kind."""

    def __init__(self):
        self._count = 0
        self._from_s = -math.inf

    def may_log(self) -> bool:
        """Count a line; return whether it is within the limit of this second."""
        now_s = steady_s()
        if now_s >= self._from_s + 1:
            self._from_s, self._count = now_s, 0
        self._count += 1
        return self._count <= MAX_LINES_PER_S


class QuotaEnforcer:
    """Charges the requests of one node and holds the quotas that fall to it.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.

    Attributes:
        counts: requests by customer and outcome; the outcomes are the fields of
            :class:`CustomerUse`.
    """

    def __init__(self, node):
        settings = node.settings
        self.counts: Counter[tuple[str, str]] = Counter()
        self._node = node
        self._bounds = QuotaBounds(
            settings.quota_window_s, settings.quota_overshoot, settings.quota_slack
        )
        self._local_id = settings.node_id
        self._born_ms = node.table.local.incarnation
        self._directory = HolderDirectory(
            settings.node_id, settings.failure_domain, steady_s()
        )
        self.holder = QuotaHolder(self._directory)
        self._choice = HolderChoice(self._directory)
        self._customers: tuple[Customer, ...] = ()
        self._declaration = None
        self._domains: set[str] = set(settings.failure_domains)
        self._domains.add(settings.failure_domain)
        self._domain_count = 0
        self._tokens: dict[str, _CustomerTokens] = {}
        self._series: dict[str, str] = {}
        self._table_version = -1
        self._viewed_at_s = -math.inf
        self._held_count = 0
        self._borrowing: set[tuple[str, str]] = set()
        self._asking_release: set[str] = set()
        self._is_active = False
        self._reported: Counter[tuple[str, str]] = Counter()
        self._next_summary_s = 0.0
        self._refusal_lines = _LineLimit()
        self._loan_lines = _LineLimit()

    # Charges of requests at the ingress node.

    async def charge(self, customer: Customer | None) -> Charge:
        """Charge a request to its customer's quota before it is run.

        Args:
            customer: the customer, or None for a request without one.

        Raises:
            GuavagapError: QUOTA_EXCEEDED when the quota is used up; QUOTA_UNVERIFIED
                when no holder of it could be asked.
        """
        if customer is None or customer.rate_per_s <= 0:
            return NO_CHARGE
        self._follow_configuration()
        token = await self.take_token(customer.name)
        return Charge(self, customer.name, token)

    async def take_token(self, customer: str) -> Token:
        """Return a token for one run of a request.

        Raises:
            GuavagapError: QUOTA_EXCEEDED, QUOTA_UNVERIFIED.
        """
        tokens = self._tokens.get(customer)
        if tokens is None:
            tokens = self._tokens[customer] = _CustomerTokens()
        now_s = steady_s()
        pool = tokens.pool
        pool.record_arrival(now_s)
        token = pool.take(now_s)
        for _ in range(MAX_ASK_ROUNDS):
            if token is not None or pool.retry_after_s(now_s) is not None:
                break
            await self._wait_for_tokens(customer, tokens)
            now_s = steady_s()
            token = pool.take(now_s)
            # Another request may have taken the token that was granted for this one.
            if not tokens.is_answered:
                break
        if token is None:
            raise self._refusal(customer, pool, now_s)
        self._count(customer, "charged")
        return token

    def _refusal(self, customer: str, pool: TokenPool, now_s: float) -> GuavagapError:
        retry_after_s = pool.refuse(now_s)
        if retry_after_s is None:
            self._count(customer, "unverified")
            return GuavagapError(
                ErrorKind.QUOTA_UNVERIFIED,
                f"no quota holder of customer {customer} has granted or refused",
            )
        self._count(customer, "refused")
        age_ms = int((now_s - pool.refused_at_s) * 1000)
        error = GuavagapError(
            ErrorKind.QUOTA_EXCEEDED,
            f"the quota of customer {customer} was used up {age_ms} ms ago",
        )
        error.retry_after_s = retry_after_s
        return error

    def give_back(self, customer: str, token: Token) -> None:
        """Return the token of a request that was not run."""
        self._count(customer, "returned")
        tokens = self._tokens.get(customer)
        if tokens is not None:
            tokens.pool.give_back(token, steady_s())

    def _count(self, customer: str, outcome: str) -> None:
        self.counts[self._series_of(customer), outcome] += 1

    def _series_of(self, customer: str) -> str:
        """Return the name under which a customer is counted; the number is limited."""
        series = self._series.get(customer)
        if series is not None:
            return series
        if len(self._series) >= MAX_CUSTOMERS:
            return OTHER_CUSTOMERS
        self._series[customer] = customer
        return customer

    async def _wait_for_tokens(self, customer: str, tokens: _CustomerTokens) -> None:
        """Wait for the end of a call that begins now or later."""
        tokens.pool.waiting += 1
        if tokens.batch is None:
            tokens.batch = curio.Event()
        batch = tokens.batch
        try:
            if not tokens.is_asking:
                tokens.is_asking = True
                await self._node.scope.spawn(self._ask, customer, tokens)
            await batch.wait()
        finally:
            tokens.pool.waiting -= 1

    async def _ask(self, customer: str, tokens: _CustomerTokens) -> None:
        """Ask for tokens as long as requests wait for them."""
        batch = None
        try:
            while tokens.batch is not None:
                batch, tokens.batch = tokens.batch, None
                tokens.is_answered = False
                await run_step(self._ask_members, customer, tokens)
                await batch.set()
        finally:
            tokens.is_asking = False
            if batch is not None and not batch.is_set():
                await batch.set()

    async def _ask_members(self, customer: str, tokens: _CustomerTokens) -> None:
        pool = tokens.pool
        tokens.has_empty_reply = False
        for member_id in self._choice.candidates(customer, steady_s()):
            wanted = pool.tokens_to_ask(steady_s())
            if member_id == self._local_id:
                is_answered = await self._ask_local_holder(customer, tokens, wanted)
            else:
                is_answered = await self._ask_member(
                    member_id, customer, tokens, wanted
                )
            tokens.is_answered |= is_answered
            if is_answered:
                if tokens.has_empty_reply:
                    self._choice.record_answer(customer, member_id, steady_s())
                return

    async def _ask_local_holder(
        self, customer: str, tokens: _CustomerTokens, wanted: int
    ) -> bool:
        now_s = steady_s()
        grant = self.holder.grant(customer, wanted, now_s)
        tokens.pool.add(grant, now_s, now_s)
        self._note_reply(self._local_id, customer, tokens, grant)
        if grant.tokens < wanted:
            await self._request_loans()
        return _is_answer(grant)

    def _note_reply(
        self, member_id: str, customer: str, tokens: _CustomerTokens, grant: Grant
    ) -> None:
        if not _is_answer(grant):
            tokens.has_empty_reply = True
            self._choice.record_no_answer(customer, member_id)

    async def _ask_member(
        self, member_id: str, customer: str, tokens: _CustomerTokens, wanted: int
    ) -> bool:
        """Ask a member; return whether its reply came in time and is an answer.

        A reply that comes later still adds its tokens.
        """
        call = _Call()
        await self._node.scope.spawn(
            self._call_member, call, member_id, customer, tokens, wanted
        )
        await curio.ignore_after(REPLY_TIMEOUT_S, call.ended.wait)
        if not call.ended.is_set():
            self._choice.record_silence(member_id, steady_s())
        return call.is_answered

    async def _call_member(
        self,
        call: _Call,
        member_id: str,
        customer: str,
        tokens: _CustomerTokens,
        wanted: int,
    ) -> None:
        plan = self.holder.plan_of(customer)
        timeout_s = REPLY_TIMEOUT_S if plan is None else plan.ttl_s
        asked_at_s = steady_s()
        try:
            link = await self._node.links.get(member_id)
            message = QuotaRequest(0, (QuotaDemand(customer, wanted),))
            reply = await link.call(message, timeout_s, should_retire=False)
            self._choice.record_reply(member_id)
            self._directory.record_contact(member_id)
            for received in reply.grants:
                if received.customer == customer:
                    grant = _decode_grant(received)
                    call.is_answered |= _is_answer(grant)
                    tokens.pool.add(grant, asked_at_s, steady_s())
                    self._note_reply(member_id, customer, tokens, grant)
        except GuavagapError as error:
            self._note_failure(member_id, error)
            if error.kind is not ErrorKind.MESSAGE_INVALID:
                self._choice.record_silence(member_id, steady_s())
            log.debug("no tokens received", member=member_id, why=str(error))
        finally:
            await call.ended.set()

    # Quotas that this node holds.

    async def grant(self, link, request: QuotaRequest) -> None:
        """Reply to a request for tokens."""
        self._follow_configuration()
        now_s = steady_s()
        grants = tuple(
            _encode_grant(
                demand.customer,
                self.holder.grant(demand.customer, demand.tokens, now_s),
            )
            for demand in request.demands
        )
        await link.send(QuotaReply(request.call_id, grants))
        if any(
            grant.tokens < demand.tokens
            for grant, demand in zip(grants, request.demands)
        ):
            await self._request_loans()

    async def lend(self, link, request: QuotaLoanRequest) -> None:
        """Reply to a request for a loan."""
        self._follow_configuration()
        demand_per_s = request.demand_millihertz / 1000
        loan = self.holder.lend(
            request.customer,
            link.peer_id,
            demand_per_s,
            steady_s(),
            request.tokens,
        )
        if loan != NO_LOAN:
            self._log_loan("quota lent", request.customer, link.peer_id, loan)
        rate_millihertz = min(MAX_MILLIHERTZ, int(loan.rate_per_s * 1000))
        await link.send(
            QuotaLoanReply(
                request.call_id, rate_millihertz, int(loan.ttl_s * 1000), loan.tokens
            )
        )

    def _log_loan(self, event: str, customer: str, peer: str, loan: Loan) -> None:
        """Log a loan; the lines are limited to some a second."""
        if not self._loan_lines.may_log():
            return
        log.info(
            event,
            customer=customer,
            peer=peer,
            rate_per_s=round(loan.rate_per_s, 3),
            tokens=loan.tokens,
            ttl_s=loan.ttl_s,
        )

    async def _request_loans(self) -> None:
        for request in self.holder.loans_to_request(steady_s()):
            key = (request.customer, request.lender_id)
            # A lender that does not reply has at most one call at a time.
            if key not in self._borrowing:
                self._borrowing.add(key)
                await self._node.scope.spawn(self._borrow, request)

    async def _borrow(self, request: LoanRequest) -> None:
        try:
            link = await self._node.links.get(request.lender_id)
            demand = min(MAX_MILLIHERTZ, math.ceil(request.demand_per_s * 1000))
            message = QuotaLoanRequest(0, request.customer, demand, request.tokens)
            reply = await link.call(message, LOAN_TIMEOUT_S, should_retire=False)
            loan = Loan(reply.rate_millihertz / 1000, reply.ttl_ms / 1000, reply.tokens)
            self.holder.borrow(request, loan, steady_s())
            if loan != NO_LOAN:
                self._log_loan(
                    "quota borrowed", request.customer, request.lender_id, loan
                )
        except GuavagapError as error:
            self._note_failure(request.lender_id, error)
            log.debug("no loan received", lender=request.lender_id, why=str(error))
        finally:
            self._borrowing.discard((request.customer, request.lender_id))

    # Changes of the holders.

    def _note_failure(self, member_id: str, error: GuavagapError) -> None:
        if isinstance(error, PeerRefusedError):
            self._directory.record_refusal(member_id, steady_s())
            log.debug("quota holder refused a connection", member=member_id)

    async def _request_releases(self) -> None:
        now_s = steady_s()
        for member_id in self._directory.members_to_ask(now_s):
            if member_id not in self._asking_release:
                self._asking_release.add(member_id)
                await self._node.scope.spawn(self._request_release, member_id)
        is_active = self._directory.is_active(now_s)
        if is_active != self._is_active:
            self._is_active = is_active
            log.info(
                "quota holder active" if is_active else "quota holder inactive",
                age_s=round(self._directory.age_s(now_s), 3),
                members=len(self._directory.included()),
            )

    async def _check_members(self) -> None:
        """Find out whether the processes of members that are not alive have ended."""
        for member_id in self._directory.members_to_check(steady_s()):
            await self._node.scope.spawn(self._check_member, member_id)

    async def _check_member(self, member_id: str) -> None:
        try:
            await self._node.links.get(member_id)
        except GuavagapError as error:
            self._note_failure(member_id, error)

    async def _request_release(self, member_id: str) -> None:
        try:
            link = await self._node.links.get(member_id)
            message = QuotaReleaseRequest(0, self._born_ms)
            reply = await link.call(message, RELEASE_TIMEOUT_S, should_retire=False)
            if reply.is_released:
                self._use_release(member_id, reply)
        except GuavagapError as error:
            self._note_failure(member_id, error)
            log.debug("no quotas released", member=member_id, why=str(error))
        finally:
            self._asking_release.discard(member_id)

    def _use_release(self, member_id: str, reply: QuotaReleaseReply) -> None:
        now_s = steady_s()
        release = Release(reply.is_active, reply.age_ms / 1000, reply.members)
        self._directory.record_release(member_id, release, now_s)
        self._adopt(reply.quotas, member_id, now_s)

    def _adopt(self, quotas, former_id: str, now_s: float, predecessor_id="") -> None:
        if not quotas:
            return
        self._follow_configuration()
        states = [_decode_quota(quota) for quota in quotas]
        self.holder.adopt(states, now_s, predecessor_id)
        log.info("quotas taken over", former=former_id, count=len(states))

    async def release(self, link, request: QuotaReleaseRequest) -> None:
        """Reply to a member that asks to release quotas to it."""
        self._follow_members()
        self._follow_configuration()
        now_s = steady_s()
        released = self.holder.release(link.peer_id, request.incarnation, now_s)
        if released is None:
            reply = QuotaReleaseReply(request.call_id, False, False, 0, (), ())
            await link.send(reply)
            return
        release, states = released
        if states:
            log.info("quotas released", member=link.peer_id, count=len(states))
        await link.send(
            QuotaReleaseReply(
                request.call_id,
                True,
                release.is_active,
                min(MAX_MS, int(release.age_s * 1000)),
                release.members,
                tuple(_encode_quota(state) for state in states),
            )
        )

    async def take_over(self, link, message: QuotaHandover) -> None:
        """Hold quotas from now on that a member hands over which leaves."""
        self._follow_members()
        self._adopt(message.quotas, link.peer_id, steady_s(), link.peer_id)
        await link.send(QuotaHandoverReply(message.call_id))

    async def leave(self) -> None:
        """Hand the quotas that this node holds to the next members, and hold no more.

        Waits for their replies for a short time.
        """
        calls = []
        for member_id, states in self.holder.leave(steady_s()).items():
            ended = curio.Event()
            calls.append(ended)
            await self._node.scope.spawn(self._hand_over, member_id, states, ended)
        async with curio.ignore_after(HANDOVER_TIMEOUT_S):
            for ended in calls:
                await ended.wait()

    async def _hand_over(
        self, member_id: str, states: list[HeldQuota], ended: curio.Event
    ) -> None:
        try:
            await self._send_handover(member_id, states)
        finally:
            await ended.set()

    async def _send_handover(self, member_id: str, states: list[HeldQuota]) -> None:
        message = QuotaHandover(0, tuple(_encode_quota(state) for state in states))
        for _ in range(HANDOVER_ATTEMPTS):
            try:
                link = await self._node.links.get(member_id)
                await link.call(message, HANDOVER_TIMEOUT_S, should_retire=False)
                log.info("quotas handed over", member=member_id, count=len(states))
                return
            except GuavagapError as error:
                log.info("quotas not handed over", member=member_id, why=str(error))

    # What the decisions depend on.

    async def run(self) -> None:
        """Follow the configuration and the members until cancelled."""
        while True:
            await run_step(self._tick)
            await curio.sleep(TICK_INTERVAL_S)

    async def _tick(self) -> None:
        if self._node.configuration.declaration is None:
            self._directory.note_time(steady_s())
            return
        self._follow_members()
        self._follow_configuration()
        if not self._customers:
            return
        now_s = steady_s()
        self.holder.update(now_s)
        await self._request_loans()
        await self._request_releases()
        await self._check_members()
        self._log_holding()
        if now_s >= self._next_summary_s:
            self._next_summary_s = now_s + SUMMARY_INTERVAL_S
            self._log_summary()

    def _follow_members(self) -> None:
        """Apply the member table, as long as it may lead to another view."""
        table, now_s = self._node.table, steady_s()
        if table.version != self._table_version:
            self._table_version = table.version
            self._viewed_at_s = now_s
        if now_s - self._viewed_at_s > VIEW_SETTLING_S:
            self._directory.note_time(now_s)
            return
        views = [
            MemberView(
                row.node_id,
                row.failure_domain,
                row.state == MemberState.ALIVE,
                row.state == MemberState.LEFT,
                row.incarnation,
            )
            for row in table.rows()
        ]
        self._directory.update(
            views, self._is_joint_start(), table.unreachable_domains, now_s
        )
        if not self._node.settings.failure_domains:
            self._domains.update(view.failure_domain for view in views)

    def _is_joint_start(self) -> bool:
        """Return whether no member of the failure domain can hold a quota yet."""
        table = self._node.table
        if not self._node.is_synchronised:
            return False
        oldest_ms = self._born_ms - JOINT_START_SPREAD_MS
        return all(
            row.incarnation >= oldest_ms
            for row in table.alive_in_domain(self._node.settings.failure_domain)
        )

    def _follow_configuration(self) -> None:
        """Apply the customers of the present configuration."""
        declaration = self._node.configuration.declaration
        is_known = declaration is self._declaration
        if declaration is None or (
            is_known and self._domain_count == len(self._domains)
        ):
            return
        self._declaration = declaration
        self._domain_count = len(self._domains)
        self._customers = tuple(
            customer for customer in declaration.customers if customer.rate_per_s > 0
        )
        plans = {}
        for customer in self._customers:
            limit = QuotaLimit(customer.rate_per_s, customer.burst)
            plans[customer.name] = plan_quota(limit, self._bounds, self._domain_count)
        for name, tokens in list(self._tokens.items()):
            if plans.get(name) != self.holder.plan_of(name):
                tokens.pool.clear()
            if name not in plans:
                del self._tokens[name]
        self.holder.set_plans(plans, steady_s())

    def describe(self) -> QuotaState:
        """Return what the node has to do with quotas at present."""
        lent_per_s, borrowed_per_s = self.holder.rates_lent_and_borrowed(steady_s())
        return QuotaState(
            len(self._customers), self._count_held(), lent_per_s, borrowed_per_s
        )

    def _count_held(self) -> int:
        return sum(self.holder.is_holder(name) for name in self.holder.customers())

    def _log_holding(self) -> None:
        held = self._count_held()
        if held != self._held_count:
            log.info(
                "quotas held",
                before=self._held_count,
                now=held,
                quotas=len(self._customers),
                members=len(self._directory.order("")),
            )
            self._held_count = held

    def may_log_refusal(self) -> bool:
        """Return whether a refusal gets a log line of its own."""
        return self._refusal_lines.may_log()

    def _log_summary(self) -> None:
        """Log the refusals since the latest summary, of the most refused customers."""
        changed = Counter(self.counts)
        changed.subtract(self._reported)
        self._reported = Counter(self.counts)
        refused: Counter[str] = Counter()
        for (customer, outcome), count in changed.items():
            if outcome in ("refused", "unverified"):
                refused[customer] += count
        for customer, count in islice(refused.most_common(), MAX_SUMMARY_LINES):
            if count:
                log.info(
                    "quota refusals",
                    customer=customer,
                    refused=changed[customer, "refused"],
                    unverified=changed[customer, "unverified"],
                    charged=changed[customer, "charged"],
                    window_s=SUMMARY_INTERVAL_S,
                )

    def use(self) -> dict[str, CustomerUse]:
        """Return the use of quotas through this node, by customer."""
        customers = {customer for customer, _ in self.counts}
        return {
            customer: CustomerUse(
                *[self.counts[customer, outcome] for outcome in CustomerUse._fields]
            )
            for customer in sorted(customers)
        }


def is_quota_refusal(error: GuavagapError) -> bool:
    """Return whether a request was refused because of its customer's quota."""
    return error.kind in (ErrorKind.QUOTA_EXCEEDED, ErrorKind.QUOTA_UNVERIFIED)


def _is_answer(grant: Grant) -> bool:
    """Return whether a grant decides on the requests that wait for it."""
    return grant.tokens > 0 or grant.retry_after_s > 0


def _encode_grant(customer: str, grant: Grant) -> QuotaGrant:
    retry_after_ms = min(MAX_MS, math.ceil(grant.retry_after_s * 1000))
    return QuotaGrant(customer, grant.tokens, int(grant.ttl_s * 1000), retry_after_ms)


def _decode_grant(grant: QuotaGrant) -> Grant:
    return Grant(grant.tokens, grant.ttl_ms / 1000, grant.retry_after_ms / 1000)


def _encode_quota(state: HeldQuota) -> HandedQuota:
    lent = tuple(
        LentShare(
            lent.borrower_id,
            min(MAX_MILLIHERTZ, math.ceil(lent.rate_per_s * 1000)),
            min(MAX_MS, max(0, math.ceil(lent.left_s * 1000))),
        )
        for lent in state.lent
    )
    demand_millihertz = min(MAX_MILLIHERTZ, int(state.demand_per_s * 1000))
    milli_tokens = min(MAX_MS, int(state.tokens * 1000))
    return HandedQuota(state.customer, milli_tokens, demand_millihertz, lent)


def _decode_quota(quota: HandedQuota) -> HeldQuota:
    lent = tuple(
        LentRate(share.borrower_id, share.rate_millihertz / 1000, share.left_ms / 1000)
        for share in quota.lent
    )
    return HeldQuota(
        quota.customer, quota.milli_tokens / 1000, quota.demand_millihertz / 1000, lent
    )
