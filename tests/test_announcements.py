"""Tests of backend server reports that arrive late or out of order."""

import testtools

from guavagap.announcements import AnnouncementRegistry, ServerReport

NOW_MS = 1_700_000_000_000
TTL_S = 6.0


def make_report(server_id="i-1", sequence=1, born_ms=NOW_MS - 60_000, **changes):
    """Return a report of a ready backend server."""
    report = ServerReport(
        server_id, "shop", "v1", "10.0.0.1:80", 6, False, 0.0, born_ms, sequence
    )
    return report._replace(**changes)


class ReportTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.registry = AnnouncementRegistry(lambda: 0.0)

    def states(self) -> dict[str, bool]:
        """Return whether each known backend server is draining."""
        return {s.server_id: s.is_draining for s in self.registry.servers()}

    def test_drain_before_the_first_report_is_remembered(self):
        self.registry.drain("i-1")
        self.assertFalse(self.registry.report(make_report(sequence=9), TTL_S))
        self.assertEqual({}, self.states())

    def test_ready_report_after_a_drain_keeps_the_server_draining(self):
        self.registry.report(make_report(sequence=1), TTL_S)
        self.registry.drain("i-1")
        self.registry.report(make_report(sequence=2), TTL_S)
        self.assertEqual({"i-1": True}, self.states())

    def test_ready_report_after_a_draining_report_keeps_the_server_draining(self):
        self.registry.report(make_report(sequence=1, is_draining=True), TTL_S)
        self.registry.report(make_report(sequence=2), TTL_S)
        self.assertEqual({"i-1": True}, self.states())

    def test_restarted_server_with_the_same_id_is_ready(self):
        self.registry.report(make_report(sequence=8), TTL_S)
        self.registry.drain("i-1")
        self.registry.report(make_report(sequence=1, born_ms=NOW_MS + 500), TTL_S)
        self.assertEqual({"i-1": False}, self.states())

    def test_report_with_a_lower_sequence_is_ignored(self):
        self.registry.report(make_report(sequence=5), TTL_S)
        late = make_report(sequence=4, is_draining=True)
        self.assertFalse(self.registry.report(late, TTL_S))
        self.assertEqual({"i-1": False}, self.states())

    def test_newer_server_at_the_same_address_replaces_the_older(self):
        self.registry.report(make_report("i-1"), TTL_S)
        self.registry.report(make_report("i-2", born_ms=NOW_MS), TTL_S)
        self.assertFalse(self.registry.report(make_report("i-1", 9), TTL_S))
        self.assertEqual({"i-2": False}, self.states())
