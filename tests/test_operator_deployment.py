"""Tests of how a node obtains the mesh key in the operator deployment."""

from guavagap.addresses import Address
from guavagap.operator_deployment import obtain_mesh_key
from guavagap.platform.store import open_store_client
from standins.fleet import allocate_ports
from standins.platform_server import open_platform_server
from tests.cases import AsyncTestCase


class MeshKeyTests(AsyncTestCase):
    def test_nodes_share_one_key_and_later_nodes_use_stale_reads_only(self):
        async def case():
            address, mesh_address = (Address("127.0.0.1", p) for p in allocate_ports(2))
            async with open_platform_server(address):
                async with open_store_client(address) as first:
                    key = await obtain_mesh_key(first, mesh_address)
                async with open_store_client(address) as second:
                    self.assertEqual(key, await obtain_mesh_key(second, mesh_address))
                    self.assertEqual({"stale_get": 1}, second.call_counts)

        self.run_async(case)
