"""Tests of departures: what a node has acknowledged binds its next process."""

from types import SimpleNamespace

import curio
import testtools

from guavagap.announcements import (
    DRAINED_RETENTION_S,
    AnnouncementRegistry,
    ServerReport,
)
from guavagap.clock import steady_s
from guavagap.departure_records import DepartureRecords, choose_witnesses
from guavagap.departures import (
    ANY_START,
    MAX_DEPARTURES,
    SUSTAINED_S,
    DepartureLog,
    decode_departures,
    encode_departures,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.members import MemberTable
from guavagap.messages import BackendServer, Departure, Member
from guavagap.metadata_store import Lease, Listing, StoreItem, TransactionOutcome
from guavagap.store_positions import StorePosition
from standins.fleet import wait_until
from tests.departure_cases import DepartureTestCase
from tests.virtual_time import run_in_virtual_time

BORN_MS = 1_700_000_000_000
TTL_S = 6.0
HEARTBEAT_S = 1.5
ADDRESS = "10.0.0.1:80"


def make_report(sequence=1, born_ms=BORN_MS, server_id="i-1", **changes):
    report = ServerReport(
        server_id, "shop", "v1", ADDRESS, 6, False, 0.0, born_ms, sequence
    )
    return report._replace(**changes)


class RegistryTests(testtools.TestCase):
    """The registry of a process, and of the one after it."""

    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.registry = self.make_registry()

    def make_registry(self) -> AnnouncementRegistry:
        return AnnouncementRegistry(lambda: self.now_s)

    def report(self, *args, **changes) -> bool:
        return self.registry.report(make_report(*args, **changes), TTL_S)

    def ready_ids(self) -> list[str]:
        servers = self.registry.servers()
        return [server.server_id for server in servers if not server.is_draining]

    def restart(self) -> None:
        """Continue with the next process, which has learned the departures."""
        departures = self.registry.departed.within(60.0)
        self.registry = self.make_registry()
        self.registry.adopt_departures(departures)

    def test_late_report_after_a_restart_does_not_end_a_departure(self):
        """review/2: the record of what had left was lost with its process."""
        for by_report in (False, True):
            self.registry = self.make_registry()
            self.report(5)
            if by_report:
                self.report(6, is_draining=True)
            else:
                self.registry.drain("i-1")
            self.restart()
            for sequence in (4, 7, 8, 9):
                self.now_s += HEARTBEAT_S
                self.report(sequence)
                self.assertEqual([], self.ready_ids())

    def test_departure_learned_after_the_late_report_applies_too(self):
        self.report(5)
        self.registry.adopt_departures([Departure("i-1", BORN_MS)])
        self.assertEqual([], self.ready_ids())

    def test_report_after_a_plain_restart_is_used_at_once(self):
        self.report(5)
        self.registry.drain_all()
        self.restart()
        self.report(6)
        self.assertEqual(["i-1"], self.ready_ids())

    def test_report_to_a_node_that_stops_does_not_end_its_drain(self):
        self.report(5)
        self.registry.drain_all()
        self.report(6)
        self.assertEqual([], self.ready_ids())
        self.assertEqual((), self.registry.departed.within(60.0))

    def test_new_start_under_the_identifier_is_used_at_once(self):
        self.report(5)
        self.registry.drain("i-1")
        self.report(1, BORN_MS + 1)
        self.assertEqual(["i-1"], self.ready_ids())
        self.restart()
        self.report(1, BORN_MS + 1)
        self.assertEqual(["i-1"], self.ready_ids())

    def test_new_start_whose_clock_was_set_back_is_used_once_its_reports_go_on(self):
        self.report(5)
        self.registry.drain("i-1")
        for server_id in ("i-1", "i-2"):
            born_ms = BORN_MS - 3_600_000
            self.assertFalse(self.report(1, born_ms, server_id))
            self.assertEqual([], self.ready_ids())
            sequence = 1
            while self.now_s < 3 * SUSTAINED_S and not self.ready_ids():
                self.now_s += HEARTBEAT_S
                sequence += 1
                self.report(sequence, born_ms, server_id)
            self.assertEqual([server_id], self.ready_ids())
            self.registry = self.make_registry()
            self.now_s = 0.0
            self.report(5)
            self.registry.drain("i-1")

    def test_without_a_start_time_single_late_reports_are_not_used(self):
        self.report(5, 0)
        self.registry.drain("i-1")
        self.restart()
        self.assertFalse(self.report(4, 0))
        self.now_s += 2 * SUSTAINED_S
        self.assertFalse(self.report(3, 0))
        self.assertEqual([], self.ready_ids())

    def test_without_a_start_time_a_new_start_is_used_once_its_reports_go_on(self):
        self.report(5, 0)
        self.registry.drain("i-1")
        self.restart()
        for sequence in range(1, 10):
            self.now_s += HEARTBEAT_S
            self.report(sequence, 0)
        self.assertEqual(["i-1"], self.ready_ids())
        self.assertFalse(self.report(3, 0))

    def test_departure_of_an_unknown_server_holds_its_late_report_back(self):
        self.registry.drain("i-1")
        self.assertFalse(self.report(5))
        self.assertEqual([], self.ready_ids())
        self.assertEqual(0, len(self.registry.servers()))

    def test_departure_after_its_reports_lapsed_holds_late_ones_back(self):
        for is_restarted in (False, True):
            self.registry = self.make_registry()
            self.report(5)
            self.now_s += TTL_S + 1.0
            self.assertEqual([], self.ready_ids())
            self.registry.drain("i-1")
            if is_restarted:
                self.restart()
            for sequence in (3, 4):
                self.now_s += HEARTBEAT_S
                self.assertFalse(self.report(sequence))
                self.assertEqual([], self.ready_ids())

    def test_late_report_after_a_drained_server_was_removed_is_not_used(self):
        self.report(5)
        self.registry.drain("i-1")
        self.now_s += DRAINED_RETENTION_S + 1.0
        self.assertEqual((), self.registry.servers())
        self.report(4)
        self.assertEqual([], self.ready_ids())

    def test_departure_of_an_unknown_server_is_known_after_a_restart(self):
        self.registry.drain("i-1")
        self.restart()
        self.assertFalse(self.report(5))
        self.assertEqual(0, len(self.registry.servers()))

    def test_departure_of_an_earlier_start_is_recorded_beside_a_later_one(self):
        self.report(1, BORN_MS + 1)
        self.assertFalse(self.report(9, is_draining=True))
        self.assertEqual(["i-1"], self.ready_ids())
        self.restart()
        self.report(8)
        self.assertEqual([], self.ready_ids())
        self.report(2, BORN_MS + 1)
        self.assertEqual(["i-1"], self.ready_ids())

    def test_departures_of_strange_identifiers_displace_no_departure(self):
        self.report(5)
        self.registry.drain("i-1")
        for number in range(2 * MAX_DEPARTURES):
            self.registry.drain(f"i-strange-{number}")
        self.restart()
        self.report(4)
        self.assertEqual([], self.ready_ids())


class EncodingTests(testtools.TestCase):
    def test_departures_are_decoded_equal(self):
        departures = (Departure("i-1", BORN_MS), Departure("i-2", 0))
        self.assertEqual(departures, decode_departures(encode_departures(departures)))

    def test_value_of_another_writer_is_refused_with_its_error_kind(self):
        for body in (
            b"",
            b"{}x",
            b"5",
            b"[5]",
            b'[["i-1"]]',
            b'[["i-1",-1]]',
            b'[["i-1",1.5]]',
            b'[["\\ud83d",1]]',
            b"[" * 100_000,
        ):
            error = self.assertRaises(GuavagapError, decode_departures, body)
            self.assertEqual(ErrorKind.FRAME_INVALID, error.kind)


def make_row(node_id: str, domain: str, *servers: BackendServer) -> Member:
    return Member(node_id, 1, 0, "r", domain, ADDRESS, ADDRESS, ADDRESS, False, servers)


class LogTests(testtools.TestCase):
    def test_departures_of_a_row_outlast_the_row(self):
        now_s = 0.0
        log = DepartureLog(lambda: now_s)
        server = BackendServer("i-1", "shop", "v1", "main", ADDRESS, 1, 1, True, 5)
        ready = server._replace(server_id="i-2", is_draining=False)
        log.record_row(make_row("n1", "za", server, ready))
        log.record_row(make_row("n1", "za"))
        self.assertEqual((Departure("i-1", 5),), log.of_node("n1"))
        self.assertEqual((), log.of_node("n2"))
        now_s = 1000.0
        self.assertEqual((), log.of_node("n1"))

    def test_witnesses_are_chosen_alike_and_near(self):
        local = make_row("n1", "za")
        peers = [make_row(f"n{n}", "za" if n < 6 else "zb") for n in range(2, 10)]
        chosen = choose_witnesses(local, peers)
        self.assertEqual(chosen, choose_witnesses(local, peers[::-1]))
        self.assertEqual({"za"}, {row.failure_domain for row in chosen})
        self.assertEqual(1, len(choose_witnesses(local, peers[-1:])))


class _Store:
    """A store with one key, which can be down and keeps delayed writes."""

    def __init__(self):
        self.era = 1
        self.is_down = self.is_unavailable = False
        self.position = StorePosition(1, 10)
        self.item: StoreItem | None = None
        self.calls: list[str] = []

    def _call(self, name: str) -> None:
        self.calls.append(name)
        if self.is_down:
            raise GuavagapError(ErrorKind.PLATFORM_UNREACHABLE, "down")

    async def grant_lease(self, ttl_s):
        self._call("lease")
        return Lease(len(self.calls), ttl_s, self.era)

    async def get(self, key):
        self._call("get")
        return self.item, self.position

    async def transact(self, expected, writes):
        self._call("transact")
        ((key, position),) = expected.items()
        shown = self.position.start_of_era if self.item is None else self.item.position
        if position != shown:
            return TransactionOutcome(None, [])
        self.put(key, writes[0].value)
        return TransactionOutcome(self.position, [])

    def put(self, key, value) -> None:
        self.position = StorePosition(self.era, self.position.revision + 1)
        self.item = StoreItem(key, value, self.position, 1)

    def restore(self) -> None:
        self.era += 1
        self.position, self.item = StorePosition(self.era, 5), None

    def stored(self) -> tuple[Departure, ...]:
        return () if self.item is None else decode_departures(self.item.value)


class RecordTests(testtools.TestCase):
    """Where a departure is kept when it is acknowledged."""

    def make(self, store, witnesses=()) -> DepartureRecords:
        registry = AnnouncementRegistry(steady_s)
        table = MemberTable(make_row("n1", "za"), steady_s)
        for node_id in witnesses:
            table.merge(make_row(node_id, "za"))
        self.told: list[str] = []

        async def sync_members(node_id):
            self.told.append(node_id)
            return node_id != "silent"

        node = SimpleNamespace(
            announcements=registry,
            table=table,
            settings=SimpleNamespace(node_id="n1", failure_domain="za"),
            sync_members=sync_members,
            adopt_departures=registry.adopt_departures,
        )
        return DepartureRecords(node, store)

    def leave(self, records, server_id="i-1") -> bool:
        registry = records._node.announcements
        registry.report(make_report(5, server_id=server_id), TTL_S)
        registry.drain(server_id)
        return curio.run(records.confirm)

    def test_departure_is_in_the_store_when_it_is_confirmed(self):
        store = _Store()
        records = self.make(store, ["n2"])
        self.assertTrue(curio.run(records.confirm))
        self.assertEqual([], store.calls)
        self.assertTrue(self.leave(records))
        self.assertEqual((Departure("i-1", BORN_MS),), store.stored())
        self.assertEqual([], self.told)
        calls = len(store.calls)
        self.assertTrue(curio.run(records.confirm))
        self.assertEqual(calls, len(store.calls))

    def test_next_process_learns_it_from_its_first_listing(self):
        store = _Store()
        self.leave(self.make(store))
        records = self.make(store)
        item = SimpleNamespace(
            key=records._key, position=store.position, body=store.item.value
        )
        records.on_listing(Listing([item], store.position, True))
        registry = records._node.announcements
        registry.report(make_report(4), TTL_S)
        self.assertEqual([True], [s.is_draining for s in registry.servers()])

    def test_witnesses_are_told_while_the_store_is_down(self):
        """review/8: their replies were taken for a record that outlives processes."""
        for is_unavailable in (False, True):
            store = _Store()
            store.is_down, store.is_unavailable = True, is_unavailable
            records = self.make(store, ["n2", "n3", "n4"])
            self.assertFalse(self.leave(records))
            self.assertEqual(2, len(set(self.told)))
            store.is_down = store.is_unavailable = False
            curio.run(curio.ignore_after, 1.5, records.run)
            self.assertEqual((Departure("i-1", BORN_MS),), store.stored())
            self.assertTrue(curio.run(records.confirm))

    def test_witness_that_is_found_late_is_asked_too(self):
        """A starting node knows nobody at first, or only a node that is no witness."""
        records = self.make(_Store())
        table = records._node.table

        async def case():
            task = await curio.spawn(records.learn, 30.0)
            await curio.sleep(0.2)
            table.merge(make_row("silent", "zb"))
            await curio.sleep(0.2)
            table.merge(make_row("n2", "za"))
            await task.join()

        curio.run(case)
        self.assertEqual({"silent", "n2"}, set(self.told))
        table.merge(make_row("n3", "za"))
        self.told.clear()
        curio.run(records.learn, 30.0)
        self.assertEqual({"n2", "n3"}, set(self.told))

    def test_witness_that_does_not_reply_delays_no_announcement(self):
        records = self.make(_Store(), ["silent", "n2"])
        curio.run(records.learn, 30.0)
        self.assertEqual(["n2", "silent"], sorted(self.told))
        records = self.make(_Store())
        curio.run(records.learn, 0.0)
        self.assertEqual([], self.told)

    def test_it_is_not_confirmed_when_nobody_else_knows(self):
        for witnesses in ((), ("silent",)):
            store = _Store()
            store.is_down = True
            self.assertFalse(self.leave(self.make(store, witnesses)))

    def test_delayed_write_of_an_earlier_process_is_not_lost(self):
        store = _Store()
        records = self.make(store)
        records.on_listing(Listing([], store.position, True))
        store.put(records._key, encode_departures([Departure("i-0", 7)]))
        self.assertTrue(self.leave(records))
        self.assertEqual({"i-0", "i-1"}, {d.server_id for d in store.stored()})

    def test_departure_of_an_unknown_server_is_confirmed_by_the_store_only(self):
        for is_down in (False, True):
            store = _Store()
            store.is_down = is_down
            records = self.make(store, ["n2"])
            records._node.announcements.drain("i-1")
            self.assertEqual(not is_down, curio.run(records.confirm))

    def test_departures_that_a_client_makes_up_are_written_together(self):
        """Each call of a client was a call of the store: thousands in seconds."""
        store = _Store()
        records = self.make(store)
        departed = records._node.announcements.departed

        async def call(client: int) -> None:
            for number in range(20):
                departed.record(Departure(f"x-{client}-{number}", ANY_START))
                await records.confirm()

        async def case(clock):
            started_s = clock()
            async with curio.TaskGroup() as clients:
                for client in range(20):
                    await clients.spawn(call, client)
            writes = store.calls.count("transact")
            self.assertLessEqual(writes, 2 + (clock() - started_s) / 0.1)
            departed.record(Departure("i-1", BORN_MS))
            self.assertTrue(await records.confirm())
            self.assertIn(Departure("i-1", BORN_MS), store.stored())

        run_in_virtual_time(case)

    def test_it_is_written_again_after_a_restore_of_the_store(self):
        store = _Store()
        records = self.make(store)
        self.assertTrue(self.leave(records))
        store.restore()
        curio.run(curio.ignore_after, 1.5, records.run)
        self.assertEqual((Departure("i-1", BORN_MS),), store.stored())

    def test_learned_record_is_written_again_after_a_restore_of_the_store(self):
        """A process wrote nothing again that an earlier process had recorded."""
        store = _Store()
        self.leave(self.make(store))
        records = self.make(store)
        item = SimpleNamespace(
            key=records._key, position=store.position, body=store.item.value
        )
        records.on_listing(Listing([item], store.position, True))
        store.restore()
        curio.run(curio.ignore_after, 1.5, records.run)
        self.assertEqual((Departure("i-1", BORN_MS),), store.stored())


class ProcessTests(DepartureTestCase):
    """Real daemons, killed right after they have acknowledged a departure."""

    def test_killed_owner_does_not_use_a_server_that_has_left(self):
        """review/2: it took the server back by a late report."""
        for how in ("delete", "draining"):
            fleet = self.start_and_leave(how)
            self.restart(fleet, "a1")
            self.assert_not_used(fleet)

    def test_all_daemons_killed_do_not_use_a_server_that_has_left(self):
        for how in ("delete", "draining"):
            fleet = self.start_and_leave(how)
            self.restart(fleet, *self.layout)
            self.assert_not_used(fleet)

    def test_departure_without_a_start_time_is_kept(self):
        fleet = self.start_and_leave("delete", with_born=False)
        self.restart(fleet, *self.layout)
        self.assert_not_used(fleet)

    def test_departure_during_an_outage_of_the_store_is_kept(self):
        """Another node keeps it, which is not enough for an acknowledgement."""
        fleet = self.start_with_silent_server()
        fleet.configure_platform(is_down=True)
        self.assertEqual(503, self.leave(fleet, "delete"))
        fleet.kill(fleet.nodes["a1"].process)
        fleet.configure_platform(is_down=False)
        self.restart(fleet, "a1")
        self.assert_not_used(fleet)

    def test_server_of_a_daemon_that_merely_restarts_is_used_by_its_first_report(self):
        fleet = self.start(self.layout)
        self.restart(fleet, "a1")
        fleet.wait_backend_servers("shop", 3)
        fleet.configure_upstream("i-a1", is_silent=True)
        before = sum(fleet.ledger("i-a1")["runs"].values())
        for number in range(30):
            fleet.request("a1", "/shop/x", f"again-{number}")
        self.assertLess(before, sum(fleet.ledger("i-a1")["runs"].values()))

    def test_new_start_under_the_identifier_is_used_after_the_restart(self):
        fleet = self.start_and_leave("delete")
        self.restart(fleet, "a1")
        self.report["born"] += 5000
        self.assertEqual(200, self.send(fleet, seq=1))
        fleet.wait_backend_servers("shop", 3)

    def test_departure_that_nobody_else_knows_is_not_acknowledged(self):
        fleet = self.start({"a1": "za"})
        fleet.configure_upstream("i-a1", is_silent=True)
        fleet.configure_platform(is_down=True)
        self.assertEqual(503, fleet.report("a1", "i-a1", "DELETE").status)
        self.assertEqual(503, fleet.request("a1", "/shop/x", "late").status)
        fleet.configure_platform(is_down=False)

        def is_acknowledged() -> bool:
            return fleet.report("a1", "i-a1", "DELETE").status == 200

        wait_until(is_acknowledged, what="the departure is acknowledged")
