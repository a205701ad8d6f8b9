"""Quota holders: which members hold the quota of a customer, by failure domain.

A failure domain's holder for a customer is the first eligible member in rendezvous
order. A member that starts, or that was stopped for a while, holds nothing until every
other member of its failure domain has released to it what it precedes them in. It asks
them for that; until then they leave it out of their orders, and the former holder goes
on. A member that releases a quota stops to hold it before it replies, and its reply
carries the state of the quota, so that the next holder goes on at once. A member that
leaves hands its quotas to the next members in the same way.

Members differ for a while in whom they see alive. A member therefore stays eligible
until it was not alive for ``TAKEOVER_S``. Within it it has either stopped for good or
been seen alive, and the loans that it has granted have ended. A connection that it has
refused proves that its process has ended, so that the wait is ``DEATH_S``.

Load patterns:

- Members join, and are restarted in turn. They take over without a pause.
- A holder dies, or is frozen and resumes. The next one takes over after
  ``TAKEOVER_S`` or ``DEATH_S``; until then the failure domain has what it borrows. One
  that resumes asks for what it held.
- A holder is suspected in error. Nothing changes, unless that lasts.
- All processes start together. Nobody else can hold anything, so the wait for the end
  of former loans is ``JOINT_START_S``.
- Members join at the same time, or learn of each other late. Each one names the members
  to which it has released quotas, and these have to be asked as well.
- A member does not reply. The others include a new member after ``RELEASE_S`` unasked,
  and it holds its quotas after ``UNANSWERED_S``.
"""

import math
from typing import Collection, Iterable, NamedTuple

from guavagap.rendezvous import rendezvous_score

__all__ = [
    "HolderChoice",
    "HolderDirectory",
    "Release",
    "JOINT_START_S",
    "MemberView",
    "TAKEOVER_S",
]

# Views of members that are connected differ for up to 2 s, and loans last up to 2 s.
TAKEOVER_S = 4.0
# A member that leaves stops within 0.2 s of saying so, and its loans end 2 s later.
LEAVE_S = 2.5
# A member that has refused a connection has stopped; its loans end 2 s later.
DEATH_S = 2.1
# A node knows its failure domain's members within this time after a start, and the
# loans of the processes before have nearly ended,
JOINT_START_S = 1.0
# and within this time after it has compared its members with those of another node.
JOINT_SETTLING_S = 0.5
# A process that stood still for less is seen alive again before the next member takes
# over.
MAX_PAUSE_S = 1.5
# What a holder had lent before it stopped ends within this time.
LOANS_END_S = 2.0
# A member that was stopped for less was not replaced meanwhile.
MAX_KEPT_PAUSE_S = 3.5
# Members that are seen so soon after the local start may have been there before.
FIRST_VIEW_S = 1.0
# A new member is known to most others by then.
ASK_FROM_S = 1.5
ASK_INTERVAL_S = 0.3
# A member that is not alive is connected to at this interval, to see whether its
# process has ended.
CHECK_INTERVAL_S = 1.0
# Members include a new one after this time without having been asked,
RELEASE_S = 6.0
# and it does not wait longer for a member that does not reply.
UNANSWERED_S = RELEASE_S + TAKEOVER_S
# In other failure domains a new member counts after this time.
REMOTE_RELEASE_S = 2.5
# An incarnation begins with the start in milliseconds, and each change that a process
# publishes adds one. A larger step than this therefore tells of another process.
RESTART_STEP = 500
# The holder, and one other member if the holder does not reply.
MAX_CANDIDATES = 2
CANDIDATE_ROUNDS = 2
MAX_MISSED_REPLIES = 2
SILENCE_S = 0.5
# The first member is asked first again after this time.
PREFERENCE_S = 3.0


class MemberView(NamedTuple):
    """A member as the local node sees it.

    Attributes:
        has_left: whether it is not alive because it has said that it leaves.
        incarnation: start of its process in milliseconds, plus the changes that it has
            published since.
    """

    node_id: str
    failure_domain: str
    is_alive: bool
    has_left: bool = False
    incarnation: int = 0


class Release(NamedTuple):
    """Reply of a member that has been asked to release quotas.

    Attributes:
        is_active: whether it may hold quotas itself.
        age_s: time since its process has started or resumed.
        members: members of its failure domain that it has included in its orders.
    """

    is_active: bool
    age_s: float
    members: tuple[str, ...]


class _Seen:
    """What a node knows of the life of another member.

    Attributes:
        incarnation: the latest one of its process.
        included_from_s: time from which it counts without having asked.
        ended_at_s: since when it is not alive; None if it is.
        asked_at_s: when it has asked for a release.
        refused_at_s: when it has refused a connection.
        former_until_s: until when its former process counts, whose loans may run.
        check_from_s: when to try again whether it refuses one.
    """

    def __init__(self, incarnation: int, included_from_s: float):
        self.incarnation = incarnation
        self.included_from_s = included_from_s
        self.ended_at_s: float | None = None
        self.asked_at_s = -math.inf
        self.refused_at_s: float | None = None
        self.former_until_s = self.check_from_s = -math.inf
        self.has_left = False

    def is_included(self, now_s: float) -> bool:
        """Return whether it counts in the orders of quota holders."""
        return now_s >= self.included_from_s or now_s < self.former_until_s


class HolderDirectory:
    """The eligible members, and since when the local node may be a holder.

    Args:
        local_id: identifier of the local node.
        failure_domain: failure domain of the local node.
        now_s: the present time.

    Attributes:
        pause_count: how often the process has stood still for long.
        pause_s: duration of the latest pause.
    """

    def __init__(self, local_id: str, failure_domain: str, now_s: float):
        self.pause_count = 0
        self.pause_s = 0.0
        self._local_id = local_id
        self._failure_domain = failure_domain
        self._first_view_until_s: float | None = None
        self._started_at_s = now_s
        self._seen_at_s = now_s
        self._joint_start_from_s: float | None = None
        self._incarnation: int | None = None
        self._members: dict[str, _Seen] = {}
        # Eligible members of the local failure domain, new ones included.
        self._present: set[str] = set()
        self._eligible: dict[str, tuple[str, ...]] = {}
        self._orders: dict[tuple[str, str], list[str]] = {}
        # By customer and member. Computing all of them again with each change of the
        # members took most of the processor time of a start of 300 nodes.
        self._scores: dict[str, dict[str, int]] = {}
        self._released_by: set[str] = set()
        # Members that a reply has named, and until when they have to be asked.
        self._named_until_s: dict[str, float] = {}
        self._released_at_s = now_s
        self._latest_start_s = now_s
        self._ask_from_s = now_s + ASK_FROM_S
        self._asked_at_s: dict[str, float] = {}
        self._active_from_s: float | None = None

    def update(
        self,
        members: Iterable[MemberView],
        is_joint_start: bool,
        unreachable_domains: Iterable[str],
        now_s: float,
    ) -> None:
        """Apply the members that the local node sees.

        Args:
            members: all known members, including the local one.
            is_joint_start: whether all alive members of the local failure domain are
                known to have started as recently as the local node.
            unreachable_domains: failure domains that do not answer.
            now_s: the present time.
        """
        self.note_time(now_s)
        if self._first_view_until_s is None:
            self._first_view_until_s = now_s + FIRST_VIEW_S
        if not is_joint_start or self.pause_count:
            self._joint_start_from_s = None
        elif self._joint_start_from_s is None:
            self._joint_start_from_s = now_s
        eligible: dict[str, list[str]] = {}
        present, known = set(), set()
        for member in members:
            known.add(member.node_id)
            if not self._is_eligible(member, now_s):
                continue
            if member.failure_domain in unreachable_domains:
                continue
            if member.failure_domain == self._failure_domain:
                present.add(member.node_id)
            if self._is_included(member.node_id, now_s):
                eligible.setdefault(member.failure_domain, []).append(member.node_id)
        for node_id in [key for key in self._members if key not in known]:
            del self._members[node_id]
            for scores in self._scores.values():
                scores.pop(node_id, None)
        self._present = present
        current = {domain: tuple(sorted(ids)) for domain, ids in eligible.items()}
        if current != self._eligible:
            self._eligible = current
            self._orders.clear()
        self._note_activity(now_s)

    def _is_eligible(self, member: MemberView, now_s: float) -> bool:
        if member.node_id == self._local_id:
            if self._incarnation is None:
                self._incarnation = member.incarnation
            return member.is_alive
        seen = self._members.get(member.node_id)
        if seen is None:
            seen = _Seen(member.incarnation, self._included_from_s(member, now_s))
            is_first_view = now_s < self._first_view_until_s
            if is_first_view and not self._is_younger(member.incarnation):
                seen.included_from_s = now_s
            self._members[member.node_id] = seen
        if member.incarnation < seen.incarnation:
            # Its present process has asked before its row has come.
            return now_s - seen.asked_at_s < TAKEOVER_S
        has_restarted = member.incarnation > seen.incarnation + RESTART_STEP
        if has_restarted or (seen.has_left and not member.has_left):
            seen.former_until_s = self._former_until_s(seen, now_s)
            seen.included_from_s = self._included_from_s(member, now_s)
            seen.refused_at_s = None
        seen.incarnation = member.incarnation
        seen.has_left = member.has_left
        if member.is_alive:
            seen.ended_at_s = None
            return True
        if seen.ended_at_s is None:
            seen.ended_at_s = now_s
            # A process that did not listen long ago may have started since.
            if seen.refused_at_s is not None and now_s - seen.refused_at_s > DEATH_S:
                seen.refused_at_s = None
        if seen.refused_at_s is not None and now_s - seen.refused_at_s >= DEATH_S:
            return False
        wait_s = LEAVE_S if member.has_left else TAKEOVER_S
        return now_s - seen.ended_at_s < wait_s

    def _former_until_s(self, seen: _Seen, now_s: float) -> float:
        """Return how long the process counts that another one has replaced."""
        if not seen.is_included(now_s):
            return -math.inf
        stopped_at_s = now_s
        # A refusal from before was that of another process.
        if seen.refused_at_s is not None and now_s - seen.refused_at_s < TAKEOVER_S:
            stopped_at_s = seen.refused_at_s
        until_s = stopped_at_s + DEATH_S
        if seen.ended_at_s is None:
            return until_s
        wait_s = LEAVE_S if seen.has_left else TAKEOVER_S
        return min(until_s, seen.ended_at_s + wait_s)

    def _is_younger(self, incarnation: int) -> bool:
        """Return whether a process has started later than the local one."""
        return self._incarnation is not None and incarnation > self._incarnation

    def _included_from_s(self, member: MemberView, now_s: float) -> float:
        is_local = member.failure_domain == self._failure_domain
        return now_s + (RELEASE_S if is_local else REMOTE_RELEASE_S)

    def _is_included(self, node_id: str, now_s: float) -> bool:
        seen = self._members.get(node_id)
        return seen is None or seen.is_included(now_s)

    def note_time(self, now_s: float) -> None:
        """Note that the process runs, and whether it has stood still before."""
        pause_s = now_s - self._seen_at_s
        self._seen_at_s = now_s
        if pause_s > MAX_PAUSE_S:
            self.pause_count += 1
            self.pause_s = pause_s
            self._started_at_s = self._ask_from_s = now_s
            self._joint_start_from_s = None
            self._active_from_s = None
            self._released_by.clear()
            self._asked_at_s.clear()

    # Releases.

    def members_to_ask(self, now_s: float) -> list[str]:
        """Return the members to ask for a release now, and count them as asked."""
        is_joint_start = self._joint_start_from_s is not None
        if self.is_active(now_s) or not (is_joint_start or now_s >= self._ask_from_s):
            return []
        missing = [
            key
            for key in self._missing(now_s)
            if now_s >= self._asked_at_s.get(key, -math.inf) + ASK_INTERVAL_S
            and key in self._members
        ]
        self._asked_at_s.update(dict.fromkeys(missing, now_s))
        return missing

    def _missing(self, now_s: float) -> list[str]:
        """Return the members that have not released quotas to the local process."""
        named = {key for key, until_s in self._named_until_s.items() if now_s < until_s}
        ended = {
            key
            for key, seen in self._members.items()
            if seen.ended_at_s is not None and key not in self._present
        }
        required = (self._present | named) - ended - {self._local_id}
        return sorted(required - self._released_by)

    def _awaited(self, now_s: float) -> list[str]:
        """Return the members whose release the local process waits for.

        One that has started later asks the local node itself, before it holds anything.
        """
        return [
            key
            for key in self._missing(now_s)
            if now_s < self._named_until_s.get(key, -math.inf)
            or not self._is_younger(self._members[key].incarnation)
        ]

    def record_release(self, node_id: str, release: Release, now_s: float) -> None:
        """Note that a member has released what the local node precedes it in."""
        self._released_by.add(node_id)
        for named_id in release.members:
            self._named_until_s.setdefault(named_id, now_s + TAKEOVER_S)
        self._released_at_s = now_s
        self._latest_start_s = max(self._latest_start_s, now_s - release.age_s)
        seen = self._members.get(node_id)
        if seen is not None and release.is_active and now_s < seen.included_from_s:
            seen.included_from_s = now_s
            self._add_to_orders(node_id)
        self._note_activity(now_s)

    def include(self, node_id: str, incarnation: int, now_s: float) -> bool:
        """Include a member that asks for a release, so that it may hold quotas.

        Args:
            node_id: the member.
            incarnation: that of its present process.
            now_s: the present time.

        Returns:
            False if the member is not known yet; it has to ask again.
        """
        seen = self._members.get(node_id)
        if seen is None:
            return False
        if incarnation > seen.incarnation:
            seen.incarnation, seen.has_left = incarnation, False
        if seen.ended_at_s is not None:
            seen.ended_at_s = now_s
        seen.asked_at_s = now_s
        seen.refused_at_s = None
        seen.included_from_s = min(seen.included_from_s, now_s)
        self._present.add(node_id)
        self._add_to_orders(node_id)
        # It has to release quotas to the local node as well, if that has just started.
        self._ask_from_s = min(self._ask_from_s, now_s)
        return True

    def _add_to_orders(self, node_id: str) -> None:
        members = {node_id, *self._eligible.get(self._failure_domain, ())}
        self._eligible[self._failure_domain] = tuple(sorted(members))
        self._orders.clear()

    def age_s(self, now_s: float) -> float:
        """Return the time since the local process has started or resumed."""
        return max(0.0, now_s - self._started_at_s)

    def included(self) -> tuple[str, ...]:
        """Return the members of the local failure domain that are in its orders."""
        return self._eligible.get(self._failure_domain, ())

    def members_to_check(self, now_s: float) -> list[str]:
        """Return the members that are not alive and may refuse a connection now."""
        unsure = []
        for node_id, seen in self._members.items():
            if node_id not in self._present or seen.ended_at_s is None:
                continue
            if seen.refused_at_s is None and now_s >= seen.check_from_s:
                seen.check_from_s = now_s + CHECK_INTERVAL_S
                unsure.append(node_id)
        return unsure

    def record_refusal(self, node_id: str, now_s: float) -> None:
        """Note that a member has refused a connection."""
        seen = self._members.get(node_id)
        if seen is not None and seen.refused_at_s is None:
            seen.refused_at_s = now_s

    def record_contact(self, node_id: str) -> None:
        """Note that a member has replied."""
        seen = self._members.get(node_id)
        if seen is not None:
            seen.refused_at_s = None

    def order(self, customer: str, failure_domain: str | None = None) -> list[str]:
        """Return the eligible members of a failure domain, by default of the local one.

        The first one is the customer's holder.
        """
        failure_domain = failure_domain or self._failure_domain
        key = (customer, failure_domain)
        order = self._orders.get(key)
        if order is None:
            members = self._eligible.get(failure_domain, ())
            scores = self._scores_of(customer, members)
            order = sorted(members, key=scores.__getitem__, reverse=True)
            self._orders[key] = order
        return order

    def _scores_of(self, customer: str, members: tuple[str, ...]) -> dict[str, int]:
        """Return the scores of members; most are known from an earlier order."""
        scores = self._scores.setdefault(customer, {})
        for node_id in members:
            if node_id not in scores:
                scores[node_id] = rendezvous_score(customer, node_id)
        return scores

    def keep_customers(self, customers: Collection[str]) -> None:
        """Forget the scores of all other customers."""
        for customer in [key for key in self._scores if key not in customers]:
            del self._scores[customer]

    def lenders(self, customer: str) -> list[str]:
        """Return whom the local node may borrow from: the first of each domain."""
        lenders = []
        for failure_domain in self._eligible:
            others = (
                node_id
                for node_id in self.order(customer, failure_domain)
                if node_id != self._local_id
            )
            is_local = failure_domain == self._failure_domain
            if is_local and self.is_first(customer):
                continue
            lenders += [node_id for node_id in [next(others, None)] if node_id]
        return lenders

    def is_first(self, customer: str, except_id: str = "") -> bool:
        """Return whether the local node is the customer's holder in its own view.

        Args:
            customer: the customer.
            except_id: a member that has handed the quota to the local node.
        """
        order = self.order(customer)
        if order and order[0] == except_id:
            order = order[1:]
        return bool(order) and order[0] == self._local_id

    def precedes_local(self, customer: str, node_id: str) -> bool:
        """Return whether a member comes before the local node in a customer's order."""
        for key in self.order(customer):
            if key in (node_id, self._local_id):
                return key == node_id
        return False

    def successor(self, customer: str) -> str | None:
        """Return the member that holds a customer's quota after the local node."""
        for node_id in self.order(customer):
            seen = self._members.get(node_id)
            if seen is not None and seen.ended_at_s is None:
                return node_id
        return None

    def active_from_s(self) -> float:
        """Return the time from which the local node holds what it is first for."""
        if self._active_from_s is not None:
            return self._active_from_s
        if self._awaited(self._seen_at_s):
            return self._started_at_s + UNANSWERED_S
        latest_s = self._started_at_s + TAKEOVER_S
        if self._released_by:
            start_s = max(self._started_at_s, self._latest_start_s)
            latest_s = max(self._released_at_s, start_s + LOANS_END_S)
        if self._joint_start_from_s is None:
            return latest_s
        settled_s = self._joint_start_from_s + JOINT_SETTLING_S
        return min(latest_s, max(self._started_at_s + JOINT_START_S, settled_s))

    def is_active(self, now_s: float) -> bool:
        """Return whether the local node may hold quotas of an unknown state."""
        return now_s >= self.active_from_s()

    def _note_activity(self, now_s: float) -> None:
        if self._active_from_s is None and self.is_active(now_s):
            self._active_from_s = now_s

    def has_all_releases(self) -> bool:
        """Return whether no other member may hold what the local node is first for."""
        if self._first_view_until_s is None:
            return False
        return self._active_from_s is not None or not self._awaited(self._seen_at_s)


class HolderChoice:
    """Which members an ingress node asks for tokens: the holder, then the next one.

    A member that has not replied several times is left out for a while.
    """

    def __init__(self, directory: HolderDirectory):
        self._directory = directory
        self._missed: dict[str, int] = {}
        self._silent_until_s: dict[str, float] = {}
        self._granted_by: dict[str, tuple[str, float]] = {}

    def candidates(self, customer: str, now_s: float) -> list[str]:
        """Return the members to ask, one after the other until one has an answer.

        Each one is asked twice: a reply may have been lost, or the member that stands
        in for the holder may have borrowed rate in the meantime. The member that has
        granted tokens while the first one held none comes before it.
        """
        order = self._directory.order(customer)
        granted_by, until_s = self._granted_by.get(customer, ("", 0.0))
        if granted_by in order and now_s < until_s:
            others = [node_id for node_id in order if node_id != granted_by]
            order = [granted_by, *others]
        order = order[:MAX_CANDIDATES]
        replying = [
            node_id
            for node_id in order
            if self._silent_until_s.get(node_id, 0.0) <= now_s
        ]
        return (replying or order) * CANDIDATE_ROUNDS

    def record_answer(self, customer: str, node_id: str, now_s: float) -> None:
        """Note that a member has granted tokens while the first one held none."""
        self._granted_by[customer] = (node_id, now_s + PREFERENCE_S)

    def record_no_answer(self, customer: str, node_id: str) -> None:
        """Note that a member holds nothing of a customer's quota."""
        if self._granted_by.get(customer, ("", 0.0))[0] == node_id:
            del self._granted_by[customer]

    def record_silence(self, node_id: str, now_s: float) -> None:
        """Note that a member has not replied in time."""
        missed = self._missed.get(node_id, 0) + 1
        self._missed[node_id] = missed
        if missed >= MAX_MISSED_REPLIES:
            self._silent_until_s[node_id] = now_s + SILENCE_S

    def record_reply(self, node_id: str) -> None:
        """Note that a member has replied."""
        self._missed.pop(node_id, None)
        self._silent_until_s.pop(node_id, None)
