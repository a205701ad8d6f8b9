"""Tests of the transfer of the mesh key, and of requests that must be refused."""

import socket

import curio

from guavagap.addresses import Address
from guavagap.key_transfer import (
    KEY_REQUEST,
    encode_key_offer,
    is_key_offer,
    request_key,
)
from standins.fleet import allocate_ports, wait_until
from tests.cases import AsyncTestCase, FleetTestCase
from tests.operator_cases import OperatorTestCase

OFFER_TIMEOUT_S = 0.5
KEY = b"0123456789abcdef"


def send_key_request(from_port: int, to_port: int) -> bytes | None:
    """Request a node's key; return its offer, None after ``OFFER_TIMEOUT_S``."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", from_port))
        sock.settimeout(OFFER_TIMEOUT_S)
        sock.sendto(KEY_REQUEST, ("127.0.0.1", to_port))
        try:
            while True:
                packet, _ = sock.recvfrom(2048)
                if is_key_offer(packet):
                    return packet
        except TimeoutError:
            return None


class KeyRequestTests(AsyncTestCase):
    def test_unsolicited_key_offer_is_ignored(self):
        async def case():
            local, peer = (Address("127.0.0.1", port) for port in allocate_ports(2))
            request = await curio.spawn(request_key, local)
            sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(peer)
            async with sock:
                await curio.sleep(0.05)
                await sock.sendto(encode_key_offer(b"forged"), local)
                packet, _ = await sock.recvfrom(2048)
                self.assertEqual(KEY_REQUEST, packet)
                await sock.sendto(encode_key_offer(KEY), local)
                offer = await request.join()
            self.assertEqual((KEY, peer), (offer.key_bytes, offer.provider))

        self.run_async(case)


class OperatorKeyTests(OperatorTestCase):
    def test_key_is_offered_to_members_only(self):
        fleet = self.start(layout={"a1": "za", "a2": "za"})
        local, peer = fleet.nodes["a1"], fleet.nodes["a2"]
        (stranger_port,) = allocate_ports(1)
        self.assertIsNone(send_key_request(stranger_port, local.mesh_port))
        fleet.kill(peer.process)
        wait_until(
            lambda: send_key_request(peer.mesh_port, local.mesh_port), what="the key"
        )


class EnvironmentKeyTests(FleetTestCase):
    def test_key_from_the_environment_is_never_offered(self):
        fleet = self.start_mesh(self.open_fleet(), {"a1": "da", "a2": "da"})
        local, peer = fleet.nodes["a1"], fleet.nodes["a2"]
        fleet.kill(peer.process)
        self.assertIsNone(send_key_request(peer.mesh_port, local.mesh_port))
