"""Tests of the directory of backend servers."""

import testtools

from guavagap.clock import steady_s
from guavagap.directory import Directory
from guavagap.members import MemberTable
from guavagap.messages import BackendServer, Member

SERVER = BackendServer("i1", "shop", "v1", "", "127.0.0.1:1", 4, 10, born_ms=5)


def make_row(node_id: str, incarnation: int, *servers: BackendServer) -> Member:
    address = "127.0.0.1:1"
    row = Member(node_id, incarnation, 0, "r", "d", address, address, address)
    return row._replace(backend_servers=servers)


class RestartedOwnerTests(testtools.TestCase):
    def is_leaving_after(self, *rows: Member) -> bool:
        """Return whether i1 is known to leave once its owner's rows have arrived."""
        table = MemberTable(make_row("local", 1), steady_s)
        directory = Directory(table)
        for row in rows:
            table.merge(row)
            directory.rebuild(steady_s())
        (target,) = directory.all_targets()
        return target.health.statements.is_leaving(steady_s())

    def test_owner_that_forgets_a_drain_is_not_followed(self):
        draining = make_row("owner", 1, SERVER._replace(is_draining=True))
        absent = make_row(
            "owner",
            50,
        )
        again = make_row("owner", 51, SERVER)
        self.assertTrue(self.is_leaving_after(draining, absent, again))

    def test_next_start_of_a_drained_server_is_used(self):
        draining = make_row("owner", 1, SERVER._replace(is_draining=True))
        again = make_row("owner", 2, SERVER._replace(born_ms=6))
        self.assertFalse(self.is_leaving_after(draining, again))

    def test_announcement_without_a_start_may_end_a_drain(self):
        server = SERVER._replace(born_ms=0)
        draining = make_row("owner", 1, server._replace(is_draining=True))
        again = make_row("owner", 2, server)
        self.assertFalse(self.is_leaving_after(draining, again))
