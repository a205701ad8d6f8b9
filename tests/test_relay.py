"""Tests of the relay of a failure domain, in virtual time."""

import random
from types import SimpleNamespace
from unittest.mock import patch

import curio

from guavagap.addresses import Address
from guavagap.commits import HEAD_KEY
from guavagap.configuration import Configuration
from guavagap.head import encode_head
from guavagap.platform.key_value import PlatformKeyValueStore
from guavagap.platform.store import open_store_client
from guavagap.relay import Relay
from guavagap.tasks import open_task_scope
from standins.fleet import allocate_ports
from standins.platform_server import open_platform_server
from tests.cases import AsyncTestCase
from tests.virtual_time import run_in_virtual_time

LEASE_TTL_S = 6.0
# An accepted configuration is in force within seconds: sooner than two lease times, in
# which another relay would have taken over.
CONFIG_BOUND_S = 2 * LEASE_TTL_S


async def _ignore(*args) -> None:
    pass


class HeadWatchTests(AsyncTestCase):
    def test_head_written_after_a_silent_outage_is_relayed_in_time(self):
        late = {}
        for phase_s in (0.0, 1.0, 2.5, 4.0):
            for outage_s in (0.05, 1.5, 5.0):
                delay_s = self.measure_outage(phase_s, outage_s)
                if delay_s > CONFIG_BOUND_S:
                    late[phase_s, outage_s] = round(delay_s, 2)
        self.assertEqual({}, late)

    def measure_outage(self, phase_s: float, outage_s: float) -> float:
        """Return the time from a new head to its arrival.

        The outage starts ``phase_s`` after the previous head, and the new head is
        written when it ends.
        """

        async def case(clock):
            address = Address("127.0.0.1", allocate_ports(1)[0])
            async with (
                open_platform_server(address) as server,
                open_store_client(address) as client,
                open_task_scope("test") as scope,
            ):
                configuration = Configuration()
                relay = self.make_relay(client, configuration)
                await scope.spawn(relay.run, scope)
                await self.write_head(server, configuration, 1, clock)
                await curio.sleep(phase_s)
                server.set_knobs(is_silent=True)
                await curio.sleep(outage_s)
                server.set_knobs(is_silent=False)
                return await self.write_head(server, configuration, 2, clock)

        with patch("guavagap.backoff.random", random.Random(27)):
            return run_in_virtual_time(case, modules=("standins.platform_server",))

    async def write_head(self, server, configuration, epoch: int, clock) -> float:
        """Write a head and return the time until it is applied."""
        started_s = clock()
        head = encode_head({"epoch": epoch, "change": None, "entries": {}})
        await server.store.transact({}, [(HEAD_KEY, head, 0)], [])
        while configuration.epoch < epoch:
            await curio.sleep(0.05)
        return clock() - started_s

    def make_relay(self, client, configuration) -> Relay:
        row = SimpleNamespace(
            node_id="a1", failure_domain="za", mesh_address="", admin_address=""
        )
        table = SimpleNamespace(
            local=row, alive_in_domain=lambda domain: [row], publish=lambda **_: None
        )
        disseminator = SimpleNamespace(push_as_root=_ignore)
        return Relay(
            PlatformKeyValueStore(client),
            table,
            configuration,
            disseminator,
            LEASE_TTL_S,
            _ignore,
        )
