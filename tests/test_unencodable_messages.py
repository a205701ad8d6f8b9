"""Tests of values that the messages between nodes cannot hold."""

import curio
import testtools

from guavagap import codec
from guavagap.addresses import Address
from guavagap.clock import steady_s
from guavagap.codec import decode_frame, encode_datagram, encode_frame, find_problem
from guavagap.datagrams import open_datagram
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.faults import BlockedAddresses
from guavagap.members import MemberTable
from guavagap.membership import Membership
from guavagap.messages import (
    BackendServer,
    Datagram,
    DatagramKind,
    Member,
    MembersReply,
    MembersRequest,
    Notice,
    NoticesReply,
)

KEY = b"a key of the mesh for tests"
HALF_OF_A_PAIR = "\ud83d"
SERVER = BackendServer("i-1", "shop", "v1", "main", "10.0.0.1:80", 4, 9)
UNREADABLE_SERVER = SERVER._replace(server_id="i-2", service=HALF_OF_A_PAIR)
HEADER = {"epoch": 1, "head_digest": 0, "notices_digest": 0}
# A value that no field of the type can hold.
UNHOLDABLE = {
    "text": (HALF_OF_A_PAIR, "a\0b", 5, None),
    "data": (5, "text"),
    "bool": ("x", 2),
    "uint8": (-1, 2**8, 1.5, "1", None),
    "uint16": (-1, 2**16, 1.5, "1", None),
    "uint32": (-1, 2**32, 1.5, "1", None),
    "uint64": (-1, 2**64, 1.5, "1", None),
}


def make_row(node_id: str, *servers: BackendServer) -> Member:
    number = int(node_id[1:])
    address = f"10.0.0.{number}:7600"
    return Member(
        node_id, 1, 0, "region", "za", address, address, address, False, servers
    )


def field_types(message_class):
    """Yield each field that is no message and no block, with its type's name."""
    schema = getattr(codec._SCHEMA, message_class.__name__).schema
    for field in codec._FIELDS[message_class]:
        schema_type = schema.fields[field.schema_name].proto.slot.type
        kind = str(schema_type.which())
        if kind == "list":
            kind = str(schema_type.list.elementType.which())
        if kind in UNHOLDABLE and field.write is not codec._write_headers:
            yield field, kind


class CheckTests(testtools.TestCase):
    def test_every_field_is_checked_by_its_type_in_the_schema(self):
        """A field added later is covered, since the checks follow from the schema."""
        checked = 0
        for message_class in codec._CLASSES.values():
            for field, kind in field_types(message_class):
                for value in UNHOLDABLE[kind]:
                    self.assertIsNotNone(
                        field.find_problem(value), (message_class, field, value)
                    )
                    checked += 1
        self.assertLess(300, checked)

    def test_message_that_can_be_encoded_has_no_problem(self):
        message = MembersReply(2**64 - 1, (make_row("n1", SERVER),))
        self.assertIsNone(find_problem(message))
        self.assertEqual(message, decode_frame(encode_frame(message)))


class EncodingTests(testtools.TestCase):
    def test_one_unreadable_server_does_not_take_the_others_along(self):
        """review/3: a message with one bad value was not sent at all."""
        bad_row = make_row("n1", SERVER, UNREADABLE_SERVER)
        good_row = make_row("n2", SERVER)
        for born_ms in (-1, 2**64):
            bad_born = SERVER._replace(server_id="i-3", born_ms=born_ms)
            bad_row = bad_row._replace(
                backend_servers=bad_row.backend_servers + (bad_born,)
            )
        reply = decode_frame(encode_frame(MembersReply(1, (bad_row, good_row))))
        self.assertEqual((make_row("n1", SERVER), good_row), reply.members)
        request = decode_frame(encode_frame(MembersRequest(1, bad_row, (1, 2))))
        self.assertEqual((SERVER,), request.own.backend_servers)

    def test_one_unreadable_notice_does_not_take_the_others_along(self):
        notices = (Notice("shop", HALF_OF_A_PAIR, ""), Notice("shop", "v2", "slow"))
        reply = decode_frame(encode_frame(NoticesReply(1, notices)))
        self.assertEqual(notices[1:], reply.notices)

    def test_message_that_cannot_be_sent_raises_one_kind_of_error(self):
        for message_class in codec._FRAME_NAMES:
            for field, kind in field_types(message_class):
                if field.is_list:
                    continue
                message = make_message(message_class)
                message = message._replace(**{field.python_name: UNHOLDABLE[kind][0]})
                error = self.assertRaises(GuavagapError, encode_frame, message)
                self.assertEqual(ErrorKind.MESSAGE_INVALID, error.kind)


def make_message(message_class):
    """Return a message of a class with empty values."""
    empty = {"text": "", "data": b"", "bool": False}
    values = []
    kinds = {field.python_name: kind for field, kind in field_types(message_class)}
    for field in codec._FIELDS[message_class]:
        if field.is_list or field.write is codec._write_headers:
            values.append(())
        elif field.item_class is not None:
            values.append(make_message(field.item_class))
        else:
            values.append(empty.get(kinds[field.python_name], 0))
    return message_class(*values)


class _Socket:
    """Receives the given packets, then waits; records what is sent."""

    def __init__(self, packets=()):
        self.sent: list[Datagram] = []
        self._packets = list(packets)

    async def recvfrom(self, size):
        if self._packets:
            return self._packets.pop(0), ("10.0.0.2", 7600)
        await curio.sleep(3600)

    async def sendto(self, packet, address):
        self.sent.append(open_datagram(KEY, packet))


class MembershipTests(testtools.TestCase):
    """The loops of the membership protocol serve all members."""

    def make(self, local: Member, on_datagram=None) -> Membership:
        async def ignore(datagram):
            return None

        table = MemberTable(local, steady_s)
        table.merge(make_row("n2", SERVER))
        membership = Membership(
            table,
            Address("10.0.0.1", 7600),
            KEY,
            (),
            0.05,
            1.0,
            lambda: HEADER,
            lambda limit: (),
            on_datagram or ignore,
            BlockedAddresses(),
            False,
        )
        membership._sock = _Socket()
        return membership

    def test_unreadable_server_does_not_end_probes(self):
        membership = self.make(make_row("n1", UNREADABLE_SERVER, SERVER))
        curio.run(curio.ignore_after, 0.3, membership.probe_forever)
        probes = [d for d in membership._sock.sent if d.kind == DatagramKind.PING]
        self.assertLess(2, len(probes))
        rows = {row.node_id: row for datagram in probes for row in datagram.members}
        self.assertEqual((SERVER,), rows["n1"].backend_servers)

    def test_row_that_fits_into_no_datagram_does_not_silence_the_others(self):
        servers = [SERVER._replace(server_id=f"{n**20:x}") for n in range(10, 400)]
        membership = self.make(make_row("n1", *servers))
        curio.run(curio.ignore_after, 0.3, membership.probe_forever)
        self.assertLess(2, len(membership._sock.sent))
        members = [row.node_id for d in membership._sock.sent for row in d.members]
        self.assertEqual({"n2"}, set(members))

    def test_failure_on_one_datagram_does_not_end_the_receiving_loop(self):
        received = []

        async def fail_once(datagram):
            received.append(datagram.sequence)
            if len(received) == 1:
                raise UnicodeEncodeError("utf-8", HALF_OF_A_PAIR, 0, 1, "surrogate")

        membership = self.make(make_row("n1", SERVER), fail_once)
        packets = [self.packet(sequence) for sequence in (1, 2, 3)]
        membership._sock = _Socket(packets)
        curio.run(curio.ignore_after, 0.2, membership.receive_forever, None)
        self.assertEqual([1, 2, 3], received)

    def packet(self, sequence: int) -> bytes:
        membership = self.make(make_row("n3"))
        datagram = Datagram(
            "n2", 1, sequence, 1, 0, (), (), int(DatagramKind.GOSSIP), 0
        )
        return membership._seal(datagram)

    def test_row_with_addresses_that_cannot_be_parsed_is_refused(self):
        membership = self.make(make_row("n1"))
        row = make_row("n5")._replace(mesh_address="nowhere")
        self.assertFalse(membership.merge(row))
        self.assertIsNone(membership.table.get("n5"))


class DatagramTests(testtools.TestCase):
    def test_datagram_keeps_its_readable_rows(self):
        rows = (make_row("n1", UNREADABLE_SERVER), make_row("n2", SERVER))
        datagram = Datagram("n1", 1, 1, 1, 0, rows, (), 0, 0)
        decoded = codec.decode_datagram(encode_datagram(datagram))
        self.assertEqual((make_row("n1"), rows[1]), decoded.members)
