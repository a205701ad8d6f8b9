"""Quotas of customers over all nodes: shares of failure domains, token buckets, loans.

Each failure domain has a fixed share of a customer's rate. The holder of the share
turns it into tokens, one for each request, and ingress nodes ask it for them before
they send a request. A holder whose failure domain asks for more borrows rate from the
holders of the others. A lender lowers its own rate before it replies and until the loan
has ended by its own clock; the borrower counts the loan from when it sent the request.
What is lost on the way therefore lowers the sum of the rates and never raises it.

In any window the customer is granted at most the buckets of all failure domains, plus
the rate over the window and over the lifetime of a token. :func:`plan_quota` chooses
the size of the buckets so that this fits into the bound.

Load patterns:

- Steady demand of several times the quota, in all failure domains or in some.
- Usual demand, well below the quota: the buckets absorb its variance.
- Demand that moves to one failure domain: the others lend what they do not use.
- A failure domain that is cut off: each side uses its own shares, and loans end.
- Small customers whose callers use a few nodes: the slack of the bound exceeds their
  rate, so each failure domain gets more than its part.
- Holders that start, stop or are frozen: a bucket is empty at first.
- Holders that are replaced by a member that has joined, or that leave: the next one
  gets the tokens, the loans that run, and the demand.
- A limit that is changed: accounts begin anew, and loans from before end.
"""

import math
from typing import NamedTuple

from guavagap.scheduling.quota_holders import (
    MAX_KEPT_PAUSE_S,
    HolderDirectory,
    Release,
)

__all__ = [
    "Grant",
    "HeldQuota",
    "LentRate",
    "Loan",
    "LoanRequest",
    "NO_LOAN",
    "QuotaBounds",
    "QuotaHolder",
    "QuotaLimit",
    "QuotaPlan",
    "RateEstimate",
    "plan_quota",
]

MIN_TOKEN_TTL_S = 0.1
MAX_TOKEN_TTL_S = 0.4
# Share of what the bound allows beyond the rate that tokens under way may take.
CARRIED_SHARE = 0.25
# Time between the use of a token and the send of its request, and of timers.
TIMING_MARGIN_S = 0.1
# Tokens that a member which stands in for the holder has kept. The time without a
# holder makes up for the first token of the next one.
TOKENS_MARGIN = 1.0
FIRST_TOKENS = 1.0
# A bucket of this size refuses few requests at the usual demand.
SMALL_DEPTH = 3.0
SMALL_DEPTH_S = 0.5
# A share that could be raised by less is left as it is, and its bucket is larger
# instead: the sum of the shares then stays the quota.
MIN_RAISE = 1.5
# With fewer tokens left than this share of the bucket, rate is borrowed if it lacks.
LOW_SHARE = 0.4
# With more than this share, loans are not renewed.
ENOUGH_SHARE = 0.7
LOAN_TTL_S = 2.0
LOAN_INTERVAL_S = 1.0
MAX_LOAN_INTERVAL_S = 4.0
# A loan of less than this share of the rate is not worth its messages.
MIN_LOAN_SHARE = 0.02
# The demand of a failure domain is not known to a new holder before.
LOANS_FROM_S = 2.0
# Bucket of a member that has only borrowed rate.
BORROWED_DEPTH = 2.0
BORROWED_DEPTH_S = 0.1
# A member that has got the state of a quota becomes the holder within this time, and
# the former holder is left out of the order for as long as it may still be in it.
HANDED_S = 2.0
PREDECESSOR_S = 10.0
ESTIMATE_TOKENS = 8.0
MIN_ESTIMATE_S = 1.0
MAX_ESTIMATE_S = 10.0
# Tokens are lent by holders with more than this share of the bucket to those with less
# than the other one, and do not count if they have been under way for longer.
SPARE_SHARE = 0.5
NEED_SHARE = 0.1
LENT_TOKENS_S = 0.1
MIN_RETRY_AFTER_S = 0.001
_ROUNDING = 1e-6


class QuotaLimit(NamedTuple):
    """Limit of a customer over all nodes.

    Attributes:
        rate_per_s: requests a second, more than 0.
        burst: requests that may be sent at once beyond the rate.
    """

    rate_per_s: float
    burst: float


class QuotaBounds(NamedTuple):
    """What is tolerated over a limit in any window.

    Attributes:
        overshoot: share by which rate and burst may be exceeded.
        slack: requests by which the result may be exceeded further.
    """

    window_s: float
    overshoot: float
    slack: float

    def allowed(self, limit: QuotaLimit) -> float:
        """Return the requests that are allowed in any window."""
        nominal = limit.rate_per_s * self.window_s + limit.burst
        return nominal * (1 + self.overshoot) + self.slack


class QuotaPlan(NamedTuple):
    """The part of a limit that each failure domain has.

    Attributes:
        rate_per_s: rate of one failure domain.
        total_rate_per_s: rate of the limit.
        depth: maximum number of tokens in a bucket.
        ttl_s: lifetime of a token, counted from when it was asked for.
    """

    rate_per_s: float
    total_rate_per_s: float
    depth: float
    ttl_s: float


def plan_quota(limit: QuotaLimit, bounds: QuotaBounds, domains: int) -> QuotaPlan:
    """Return the part of a limit that each of some failure domains has."""
    rate_per_s = limit.rate_per_s
    beyond_rate = bounds.allowed(limit) - rate_per_s * bounds.window_s
    ttl_s = CARRIED_SHARE * beyond_rate / rate_per_s
    ttl_s = min(max(ttl_s, MIN_TOKEN_TTL_S), MAX_TOKEN_TTL_S)
    span_s = bounds.window_s + ttl_s + TIMING_MARGIN_S
    share_per_s = rate_per_s / domains
    part = bounds.allowed(limit) / domains - TOKENS_MARGIN
    wanted_depth = max(limit.burst, rate_per_s * SMALL_DEPTH_S + SMALL_DEPTH)
    raised_per_s = min(rate_per_s, (part - wanted_depth) / span_s)
    if raised_per_s > MIN_RAISE * share_per_s:
        share_per_s = raised_per_s
    depth = part - share_per_s * span_s
    # Without room in the bound, whole tokens are still granted at the rate.
    return QuotaPlan(share_per_s, rate_per_s, max(depth, 1.0), ttl_s)


class RateEstimate:
    """Exponentially weighted rate of events.

    Args:
        time_constant_s: age at which an event counts for a third.
    """

    def __init__(self, time_constant_s: float):
        self._time_constant_s = time_constant_s
        self._rate_per_s = 0.0
        self._updated_at_s = 0.0

    def add(self, count: float, now_s: float) -> None:
        """Count events that have happened now."""
        self._rate_per_s = self.rate_per_s(now_s) + count / self._time_constant_s
        self._updated_at_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the estimate."""
        age_s = max(0.0, now_s - self._updated_at_s)
        return self._rate_per_s * math.exp(-age_s / self._time_constant_s)

    def raise_to(self, rate_per_s: float, now_s: float) -> None:
        """Take over another estimate if it is higher."""
        self._rate_per_s = max(rate_per_s, self.rate_per_s(now_s))
        self._updated_at_s = now_s

    def upper_per_s(self, now_s: float) -> float:
        """Return the estimate plus two standard deviations of it."""
        rate_per_s = self.rate_per_s(now_s)
        return rate_per_s + math.sqrt(2 * rate_per_s / self._time_constant_s)


class Grant(NamedTuple):
    """Tokens granted to an ingress node.

    Attributes:
        retry_after_s: time until the next token if fewer were granted than asked for;
            0 if the reason is not that the quota is used up.
    """

    tokens: int
    ttl_s: float
    retry_after_s: float


class LoanRequest(NamedTuple):
    """A loan to ask another holder for.

    Attributes:
        asked_at_s: time from which the loan is counted.
        plan_number: number of the plan for which it is asked.
        tokens: tokens that are lacking besides.
    """

    customer: str
    lender_id: str
    demand_per_s: float
    asked_at_s: float
    plan_number: int
    tokens: int = 0


class Loan(NamedTuple):
    """Rate that is lent, and its duration counted from when it was asked for.

    Attributes:
        tokens: tokens that the lender has taken out of its bucket for good.
    """

    rate_per_s: float
    ttl_s: float
    tokens: int = 0


NO_LOAN = Loan(0.0, 0.0)


class LentRate(NamedTuple):
    """Rate that is lent to a node, and the time until it ends."""

    borrower_id: str
    rate_per_s: float
    left_s: float


class HeldQuota(NamedTuple):
    """State of a quota that one holder hands to the next one.

    Attributes:
        demand_per_s: estimate of the requests a second in the failure domain.
    """

    customer: str
    tokens: float
    demand_per_s: float
    lent: tuple[LentRate, ...]


class _Term(NamedTuple):
    """A rate until a time."""

    rate_per_s: float
    ends_at_s: float

    def tokens(self, from_s: float, to_s: float) -> float:
        return self.rate_per_s * max(0.0, min(self.ends_at_s, to_s) - from_s)


def _rate_of(terms: list[_Term], now_s: float) -> float:
    """Return the highest rate of the terms that have not ended."""
    return max((term.rate_per_s for term in terms if term.ends_at_s > now_s), default=0)


def _tokens_of(terms: list[_Term], from_s: float, to_s: float) -> float:
    """Return the tokens of a period at the highest rate of the terms at each time."""
    tokens = 0.0
    ends = sorted({min(term.ends_at_s, to_s) for term in terms})
    for end_s in ends:
        if end_s > from_s:
            tokens += _rate_of(terms, from_s) * (end_s - from_s)
            from_s = end_s
    return tokens


class _Account:
    """State of one customer at one node.

    Attributes:
        tokens: tokens in the bucket.
        is_holder: whether the node was the holder at the latest refill.
        holder_from_s: time at which it became the holder.
        is_new: whether nothing was refilled yet. A customer that comes and goes with
            each configuration gets no first token each time.
        lent: terms of the loans to each borrower, some of which may overlap.
        borrowed: term of the loan from each lender.
        plan_number: increases with each plan of the node.
        is_short: whether the bucket was nearly empty since loans were last asked for.
        handed_until_s: until when the node may become the holder because it has got the
            state of the quota from the former one.
        kept_until_s: the same for a node that was the holder before it stood still.
        predecessor_id: member that has left and has handed the quota to the node.
        handed_to: whom the node has handed the quota to, the state without tokens, and
            until when a request is one whose first reply was lost.
    """

    def __init__(self, plan: QuotaPlan, plan_number: int, now_s: float):
        self.plan = plan
        self.plan_number = plan_number
        self.tokens = 0.0
        self.is_holder = False
        self.holder_from_s = now_s
        self.is_new = True
        time_constant_s = ESTIMATE_TOKENS / plan.rate_per_s
        time_constant_s = min(max(time_constant_s, MIN_ESTIMATE_S), MAX_ESTIMATE_S)
        self.demand = RateEstimate(time_constant_s)
        self.lent: dict[str, list[_Term]] = {}
        self.borrowed: dict[str, _Term] = {}
        self.loan_interval_s = LOAN_INTERVAL_S
        self.next_loan_at_s = 0.0
        self.is_short = False
        self.handed_until_s = self.kept_until_s = -math.inf
        self.predecessor_id = ""
        self.predecessor_until_s = -math.inf
        self.handed_to: tuple[str, int, HeldQuota, float] | None = None
        self._refilled_at_s = now_s

    def refill(self, is_holder: bool, now_s: float) -> None:
        """Add the tokens since the latest refill.

        Args:
            is_holder: whether the node is the holder from now on.
            now_s: the present time.
        """
        from_s, self._refilled_at_s = self._refilled_at_s, now_s
        earned = 0.0
        if self.is_holder:
            earned = self.plan.rate_per_s * (now_s - from_s)
            for terms in self.lent.values():
                earned -= _tokens_of(terms, from_s, now_s)
            earned = max(0.0, earned)
        for term in self.borrowed.values():
            earned += term.tokens(from_s, now_s)
        if is_holder and not self.is_holder:
            self.holder_from_s = now_s
            if self.handed_until_s > now_s:
                # The demand is known.
                self.holder_from_s -= LOANS_FROM_S
            elif not self.is_new and self.kept_until_s <= now_s:
                self.tokens = max(self.tokens, FIRST_TOKENS)
        self.is_holder, self.is_new = is_holder, False
        self.tokens = min(self._depth(now_s), self.tokens + earned)
        self._forget_ended_terms(now_s)

    def empty(self, pause_s: float, now_s: float) -> None:
        """Empty the bucket of a node that has stood still."""
        if self.is_holder and pause_s < MAX_KEPT_PAUSE_S:
            self.kept_until_s = now_s + PREDECESSOR_S
        self.tokens = 0.0
        self.is_holder = False
        self.handed_until_s = -math.inf

    def is_known(self, has_all_releases: bool, now_s: float) -> bool:
        """Return whether the node may go on with the quota where its holder stopped."""
        if self.is_holder or now_s < self.handed_until_s:
            return True
        return has_all_releases and now_s < self.kept_until_s

    def hand_over(
        self, customer: str, member_id: str, incarnation: int, now_s: float
    ) -> HeldQuota:
        """Return the state of the quota for another member, and stop to hold it."""
        lent = tuple(
            LentRate(borrower_id, term.rate_per_s, term.ends_at_s - now_s)
            for borrower_id, terms in self.lent.items()
            for term in terms
        )
        demand_per_s = self.demand.rate_per_s(now_s)
        state = HeldQuota(customer, max(0.0, self.tokens), demand_per_s, lent)
        self.handed_to = (
            member_id,
            incarnation,
            state._replace(tokens=0.0),
            now_s + HANDED_S,
        )
        self.tokens = 0.0
        self.lent = {}
        self.is_holder = False
        self.handed_until_s = self.kept_until_s = -math.inf
        return state

    def handed_again(
        self, member_id: str, incarnation: int, now_s: float
    ) -> HeldQuota | None:
        """Return the state that was handed to a member which has not received it."""
        if self.handed_to is None or now_s >= self.handed_to[3]:
            return None
        is_same = self.handed_to[:2] == (member_id, incarnation)
        return self.handed_to[2] if is_same else None

    def adopt(self, state: HeldQuota, now_s: float) -> None:
        """Go on with the state of a quota that its holder has handed over."""
        self.tokens = min(self.plan.depth, state.tokens)
        for lent in state.lent:
            term = _Term(lent.rate_per_s, now_s + lent.left_s)
            self.lent.setdefault(lent.borrower_id, []).append(term)
        self.demand.raise_to(state.demand_per_s, now_s)
        self.handed_until_s = now_s + HANDED_S
        self.handed_to = None

    def _forget_ended_terms(self, now_s: float) -> None:
        for borrower_id, terms in list(self.lent.items()):
            terms[:] = [term for term in terms if term.ends_at_s > now_s]
            if not terms:
                del self.lent[borrower_id]
        for lender_id, term in list(self.borrowed.items()):
            if term.ends_at_s <= now_s:
                del self.borrowed[lender_id]

    def _depth(self, now_s: float) -> float:
        if self.is_holder:
            return self.plan.depth
        borrowed = self.borrowed_per_s(now_s) * BORROWED_DEPTH_S
        return min(self.plan.depth, BORROWED_DEPTH + borrowed)

    def own_per_s(self, now_s: float) -> float:
        """Return the own rate that is not lent."""
        if not self.is_holder:
            return 0.0
        return max(0.0, self.plan.rate_per_s - self.lent_per_s(now_s))

    def lent_per_s(self, now_s: float) -> float:
        """Return the rate of the loans to all borrowers."""
        return sum(_rate_of(terms, now_s) for terms in self.lent.values())

    def borrowed_per_s(self, now_s: float) -> float:
        """Return the rate of the loans from all lenders."""
        return sum(self.borrowed_from_per_s(key, now_s) for key in self.borrowed)

    def borrowed_from_per_s(self, lender_id: str, now_s: float) -> float:
        """Return the rate of the loan from a lender."""
        term = self.borrowed.get(lender_id)
        return term.rate_per_s if term and term.ends_at_s > now_s else 0.0

    def lacking_per_s(self, now_s: float) -> float:
        """Return the rate to borrow from all lenders together."""
        demand_per_s = self.demand.upper_per_s(now_s)
        if not self.is_holder:
            # A member that stands in for the holder has not seen the demand yet.
            demand_per_s = max(demand_per_s, self.plan.rate_per_s)
        return min(self.plan.total_rate_per_s, demand_per_s) - self.own_per_s(now_s)

    def needs_loans(self) -> bool:
        """Return whether to borrow, or to renew loans, if rate or tokens lack."""
        is_full = self.tokens >= ENOUGH_SHARE * self.plan.depth
        return self.is_short or (bool(self.borrowed) and not is_full)

    def lacking_tokens(self, now_s: float) -> int:
        """Return the number of tokens to borrow from all lenders together."""
        if not self.is_holder:
            return max(0, math.floor(self._depth(now_s) - self.tokens))
        if self.tokens >= max(1.0, NEED_SHARE * self.plan.depth):
            return 0
        return math.ceil(SPARE_SHARE * self.plan.depth - self.tokens)

    def lend_tokens(self, wanted: int) -> int:
        """Take tokens out of the bucket for another holder."""
        spare = self.tokens - max(1.0, SPARE_SHARE * self.plan.depth)
        lent = max(0, min(wanted, math.floor(spare)))
        self.tokens -= lent
        return lent

    def receive_tokens(self, tokens: int, now_s: float) -> None:
        """Put borrowed tokens into the bucket."""
        self.tokens = min(self._depth(now_s), self.tokens + tokens)

    def spare_per_s(self, borrower_id: str, now_s: float) -> float:
        """Return the rate that may be lent to a borrower in all.

        Tokens in the bucket serve what the demand exceeds its average by during a loan.
        """
        terms = self.lent.get(borrower_id, [])
        own_per_s = self.own_per_s(now_s) + _rate_of(terms, now_s)
        stock = max(0.0, self.tokens - LOW_SHARE * self.plan.depth)
        used_per_s = max(
            self.demand.rate_per_s(now_s),
            self.demand.upper_per_s(now_s) - stock / LOAN_TTL_S,
        )
        return own_per_s - used_per_s


class QuotaHolder:
    """The accounts of one node, for the customers whose holder it is or stands in for.

    Args:
        directory: the holders of each customer.
    """

    def __init__(self, directory: HolderDirectory):
        self._directory = directory
        self._accounts: dict[str, _Account] = {}
        self._plan_number = 0
        self._pause_count = 0
        self._is_leaving = False

    def set_plans(self, plans: dict[str, QuotaPlan], now_s: float) -> None:
        """Replace the plans of all customers.

        With another plan, an account keeps what its new bucket holds and what it has
        lent, but not what it has borrowed under the former limit.
        """
        accounts = {}
        self._plan_number += 1
        for customer, plan in plans.items():
            account = self._accounts.get(customer)
            if account is None:
                account = _Account(plan, self._plan_number, now_s)
            elif account.plan != plan:
                account = self._replace_plan(customer, account, plan, now_s)
            accounts[customer] = account
        self._accounts = accounts
        self._directory.keep_customers(accounts)

    def _replace_plan(
        self, customer: str, account: _Account, plan: QuotaPlan, now_s: float
    ) -> _Account:
        account.refill(self._is_holder(customer, account, now_s), now_s)
        replaced = _Account(plan, self._plan_number, now_s)
        replaced.tokens = min(account.tokens, plan.depth)
        replaced.is_new = account.is_new
        replaced.is_holder = account.is_holder
        replaced.holder_from_s = account.holder_from_s
        replaced.lent = account.lent
        replaced.handed_until_s = account.handed_until_s
        replaced.kept_until_s = account.kept_until_s
        replaced.predecessor_id = account.predecessor_id
        replaced.predecessor_until_s = account.predecessor_until_s
        return replaced

    def plan_of(self, customer: str) -> QuotaPlan | None:
        """Return the plan of a customer, or None if it has no quota."""
        account = self._accounts.get(customer)
        return None if account is None else account.plan

    def customers(self) -> list[str]:
        """Return the customers that have a quota."""
        return list(self._accounts)

    def is_holder(self, customer: str) -> bool:
        """Return whether the node held a customer's quota at the latest update."""
        account = self._accounts.get(customer)
        return account is not None and account.is_holder

    def rates_lent_and_borrowed(self, now_s: float) -> tuple[float, float]:
        """Return the sums of the rates that are lent and borrowed at present."""
        accounts = self._accounts.values()
        lent = sum(account.lent_per_s(now_s) for account in accounts)
        return lent, sum(account.borrowed_per_s(now_s) for account in accounts)

    def update(self, now_s: float) -> None:
        """Follow changes of the holders; to be called a few times a second."""
        self._note_time(now_s)
        for customer, account in self._accounts.items():
            account.refill(self._is_holder(customer, account, now_s), now_s)

    def grant(self, customer: str, wanted: int, now_s: float) -> Grant:
        """Grant tokens to an ingress node, up to ``wanted``."""
        account = self._refilled(customer, now_s)
        if account is None:
            return Grant(0, 0.0, 0.0)
        account.demand.add(wanted, now_s)
        granted = max(0, min(wanted, math.floor(account.tokens + _ROUNDING)))
        account.tokens -= granted
        is_low = account.tokens < LOW_SHARE * account.plan.depth
        account.is_short |= is_low or granted < wanted
        ttl_s = account.plan.ttl_s
        if granted == wanted:
            return Grant(granted, ttl_s, 0.0)
        rate_per_s = account.own_per_s(now_s) + account.borrowed_per_s(now_s)
        if not account.is_holder or not rate_per_s:
            return Grant(granted, ttl_s, 0.0)
        retry_after_s = (1 - account.tokens) / rate_per_s
        return Grant(granted, ttl_s, max(MIN_RETRY_AFTER_S, retry_after_s))

    def loans_to_request(self, now_s: float) -> list[LoanRequest]:
        """Return the loans to ask for now, and count them as asked for."""
        self._note_time(now_s)
        if self._is_leaving:
            return []
        requests = []
        for customer, account in self._accounts.items():
            if account.needs_loans() and now_s >= account.next_loan_at_s:
                requests += self._loans_of(customer, account, now_s)
        return requests

    def _loans_of(
        self, customer: str, account: _Account, now_s: float
    ) -> list[LoanRequest]:
        account.refill(self._is_holder(customer, account, now_s), now_s)
        account.is_short = False
        lacking = account.lacking_per_s(now_s)
        if lacking < MIN_LOAN_SHARE * account.plan.rate_per_s:
            lacking = 0.0
        tokens = account.lacking_tokens(now_s)
        if not lacking and not tokens:
            return []
        account.next_loan_at_s = now_s + account.loan_interval_s
        # The next loan resets the interval.
        account.loan_interval_s = min(account.loan_interval_s * 2, MAX_LOAN_INTERVAL_S)
        requests = []
        lenders = self._directory.lenders(customer)
        more_per_s = lacking - account.borrowed_per_s(now_s)
        for lender_id in lenders:
            # Whoever asks each lender for all of it locks up what others need.
            present = account.borrowed_from_per_s(lender_id, now_s)
            demand = present + more_per_s / len(lenders)
            part = math.ceil(tokens / len(lenders))
            if demand > 0 or part:
                request = LoanRequest(
                    customer,
                    lender_id,
                    max(0.0, demand),
                    now_s,
                    account.plan_number,
                    part,
                )
                requests.append(request)
        return requests

    def lend(
        self,
        customer: str,
        borrower_id: str,
        demand_per_s: float,
        now_s: float,
        tokens: int = 0,
    ) -> Loan:
        """Lend rate and tokens that the local failure domain does not use.

        Args:
            customer: the customer.
            borrower_id: the node that asks.
            demand_per_s: the rate that it lacks.
            now_s: the present time.
            tokens: the tokens that it lacks.
        """
        account = self._refilled(customer, now_s)
        if account is None or not account.is_holder:
            return NO_LOAN
        if now_s < account.holder_from_s + LOANS_FROM_S:
            return NO_LOAN
        lent_tokens = account.lend_tokens(tokens)
        rate_per_s = min(demand_per_s, account.spare_per_s(borrower_id, now_s))
        if rate_per_s < MIN_LOAN_SHARE * account.plan.rate_per_s:
            return Loan(0.0, 0.0, lent_tokens)
        term = _Term(rate_per_s, now_s + LOAN_TTL_S)
        account.lent.setdefault(borrower_id, []).append(term)
        return Loan(rate_per_s, LOAN_TTL_S, lent_tokens)

    def borrow(self, request: LoanRequest, loan: Loan, now_s: float) -> None:
        """Take a loan, counted from when it was asked for.

        It is ignored if it was asked for under another plan.
        """
        account = self._refilled(request.customer, now_s)
        if account is None or account.plan_number != request.plan_number:
            return
        if loan.tokens and now_s < request.asked_at_s + LENT_TOKENS_S:
            account.receive_tokens(loan.tokens, now_s)
            account.loan_interval_s = LOAN_INTERVAL_S
        term = _Term(loan.rate_per_s, request.asked_at_s + loan.ttl_s)
        if loan.rate_per_s <= 0 or term.ends_at_s <= now_s:
            return
        current = account.borrowed.get(request.lender_id)
        if current is not None and current.ends_at_s > term.ends_at_s:
            return
        account.borrowed[request.lender_id] = term
        account.loan_interval_s = LOAN_INTERVAL_S
        account.next_loan_at_s = min(
            account.next_loan_at_s, request.asked_at_s + LOAN_INTERVAL_S
        )

    def _refilled(self, customer: str, now_s: float) -> _Account | None:
        """Return the account of a customer with its present tokens."""
        self._note_time(now_s)
        account = self._accounts.get(customer)
        if account is not None:
            account.refill(self._is_holder(customer, account, now_s), now_s)
        return account

    def _note_time(self, now_s: float) -> None:
        self._directory.note_time(now_s)
        if self._directory.pause_count != self._pause_count:
            self._pause_count = self._directory.pause_count
            for account in self._accounts.values():
                account.empty(self._directory.pause_s, now_s)

    def _is_holder(self, customer: str, account: _Account, now_s: float) -> bool:
        if self._is_leaving:
            return False
        is_left_out = now_s < account.predecessor_until_s
        except_id = account.predecessor_id if is_left_out else ""
        if not self._directory.is_first(customer, except_id):
            return False
        if account.is_known(self._directory.has_all_releases(), now_s):
            return True
        return self._directory.is_active(now_s)

    # Changes of the holder.

    def release(
        self, member_id: str, incarnation: int, now_s: float
    ) -> tuple[Release, list[HeldQuota]] | None:
        """Release to another member what it precedes the local node in.

        Args:
            member_id: the member that asks.
            incarnation: that of its process.
            now_s: the present time.

        Returns:
            The reply and the state of the quotas that the local node has held; None if
            the member is not known yet.
        """
        self.update(now_s)
        if not self._directory.include(member_id, incarnation, now_s):
            return None
        states = []
        for customer, account in self._accounts.items():
            if account.predecessor_id == member_id:
                account.predecessor_until_s = -math.inf
            if not self._directory.precedes_local(customer, member_id):
                continue
            if account.is_holder or now_s < account.handed_until_s:
                state = account.hand_over(customer, member_id, incarnation, now_s)
            else:
                state = account.handed_again(member_id, incarnation, now_s)
            if state is not None:
                states.append(state)
        is_active = self._directory.has_all_releases() or any(
            account.is_holder for account in self._accounts.values()
        )
        age_s = self._directory.age_s(now_s)
        return Release(is_active, age_s, self._directory.included()), states

    def adopt(
        self, states: list[HeldQuota], now_s: float, predecessor_id: str = ""
    ) -> None:
        """Go on with quotas that their holder has handed to the local node.

        Args:
            states: state of the quotas.
            now_s: the present time.
            predecessor_id: the former holder if it leaves.
        """
        self.update(now_s)
        for state in states:
            account = self._accounts.get(state.customer)
            if account is None or account.is_holder:
                continue
            account.adopt(state, now_s)
            if predecessor_id:
                account.predecessor_id = predecessor_id
                account.predecessor_until_s = now_s + PREDECESSOR_S
            is_holder = self._is_holder(state.customer, account, now_s)
            account.refill(is_holder, now_s)

    def leave(self, now_s: float) -> dict[str, list[HeldQuota]]:
        """Stop to hold quotas; return what to hand to other members."""
        self.update(now_s)
        self._is_leaving = True
        handed: dict[str, list[HeldQuota]] = {}
        for customer, account in self._accounts.items():
            successor = self._directory.successor(customer)
            if account.is_holder and successor is not None:
                state = account.hand_over(customer, successor, 0, now_s)
                handed.setdefault(successor, []).append(state)
            account.is_holder = False
            account.tokens = 0.0
        return handed
