"""Tests of who keeps an entry in the store, and which entries are contacted."""

import testtools

from guavagap.node_entries import (
    ENTRY_HOLDERS,
    JOIN_TIMEOUT_S,
    MAX_INTRODUCTIONS,
    MAX_REMOTE_INTRODUCTIONS,
    JoinState,
    choose_entries,
    entry_key,
    needs_entry,
)


def make_keys(failure_domain: str, count: int) -> list[str]:
    return [entry_key(failure_domain, f"n{index}") for index in range(count)]


class HolderTests(testtools.TestCase):
    def test_node_that_knows_nobody_needs_an_entry_if_few_are_listed(self):
        for count in (0, ENTRY_HOLDERS - 1, ENTRY_HOLDERS, 30):
            keys = [*make_keys("a", count), *make_keys("b", 30)]
            is_needed = needs_entry(JoinState(False, 0, 0.0), keys, "a")
            self.assertEqual(count < ENTRY_HOLDERS, is_needed, count)

    def test_node_needs_an_entry_if_the_listed_nodes_do_not_respond(self):
        for has_peer in (False, True):
            state = JoinState(has_peer, ENTRY_HOLDERS, JOIN_TIMEOUT_S + 0.1)
            self.assertEqual(not has_peer, needs_entry(state, make_keys("a", 30), "a"))

    def test_only_the_first_members_of_a_failure_domain_need_entries(self):
        for keys in ([], make_keys("a", 30)):
            for rank in (0, ENTRY_HOLDERS - 1, ENTRY_HOLDERS, 30):
                is_needed = needs_entry(JoinState(True, rank, 0.0), keys, "a")
                self.assertEqual(rank < ENTRY_HOLDERS, is_needed, rank)


class ContactTests(testtools.TestCase):
    def test_most_contacts_are_in_the_local_failure_domain(self):
        chosen = choose_entries([*make_keys("a", 30), *make_keys("b", 90)], "a")
        self.assertEqual(MAX_INTRODUCTIONS, len(set(chosen)))
        remote = [key for key in chosen if key in make_keys("b", 90)]
        self.assertEqual(MAX_REMOTE_INTRODUCTIONS, len(remote))

    def test_first_node_of_its_failure_domain_contacts_others(self):
        chosen = choose_entries(make_keys("b", 90), "a")
        self.assertEqual(MAX_INTRODUCTIONS, len(set(chosen)))

    def test_local_failure_domain_is_enough(self):
        self.assertEqual(3, len(choose_entries(make_keys("a", 3), "a")))
