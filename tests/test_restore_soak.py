"""Random restores of the store beside other faults, in virtual time.

Each seed plays one history: changes and rollouts of the operator beside restores,
outages, cuts, kills, starts and lost answers. ``GUAVAGAP_SOAK_SEEDS`` names how many
are played, ``GUAVAGAP_SOAK_FIRST_SEED`` the first one.
"""

import json
import os
import random
from unittest.mock import patch

import curio

from guavagap.addresses import Address
from guavagap.key_value import ABSENT
from guavagap.rollout_records import FINAL_STATES
from standins.fleet import allocate_ports
from standins.mirror_mesh import MirrorMesh, open_mirror_mesh
from standins.operator_fleet import RouteSpec, encode_configuration
from standins.platform_server import open_platform_server
from tests.cases import AsyncTestCase
from tests.virtual_time import run_in_virtual_time

# Bounds that the platform specifies: a change is in force within CONFIG_BOUND_S of its
# acknowledgement on nodes that were undisturbed for STABLE_WINDOW_S.
CONFIG_BOUND_S = 2.0
STABLE_WINDOW_S = 3.0
SEEDS = int(os.environ.get("GUAVAGAP_SOAK_SEEDS", "8"))
FIRST_SEED = int(os.environ.get("GUAVAGAP_SOAK_FIRST_SEED", "1"))
LAYOUT = {"a1": "za", "a2": "za", "a3": "za", "b1": "zb", "b2": "zb", "b3": "zb"}
SERVICE = "shop"
ROUTES = [RouteSpec("/shop/", {SERVICE: 1})]
FAULTS_PER_SEED = 9
SAMPLE_INTERVAL_S = 0.05
MAX_SETTLE_S = 60.0


class _History:
    """One random history and what the nodes show meanwhile.

    Attributes:
        problems: violations of what must hold.
        events: what was done, with its time.
    """

    def __init__(self, mesh: MirrorMesh, clock, generator: random.Random):
        self.problems: list[str] = []
        self.events: list[str] = []
        self._mesh = mesh
        self._server = mesh.server
        self._clock = clock
        self._random = generator
        self._started_s = clock()
        self._version = 3
        self._order_number = 1
        self._disturbed_until_s = clock()
        self._is_operator_busy = False
        self._is_over = False
        self._due: list[tuple[float, float, int]] = []
        self._seen: dict[int, tuple] = {}
        self._processes: list = []

    def note(self, text: str) -> None:
        self.events.append(f"{self._clock() - self._started_s:.2f} {text}")

    def fail(self, text: str) -> None:
        self.problems.append(f"{self._clock() - self._started_s:.2f} {text}")

    async def play(self) -> None:
        sampler = await curio.spawn(self.sample)
        await self.change()
        await curio.sleep(self._random.uniform(0.0, 5.0))
        faults = [
            self.restore,
            self.restore,
            self.restore_twice,
            self.outage,
            self.refuse,
            self.cut_store,
            self.cut_node,
            self.kill,
            self.compact,
            self.lose_answers,
            self.slow,
        ]
        async with curio.TaskGroup() as group:
            await group.spawn(self.operate)
            for _ in range(FAULTS_PER_SEED):
                await group.spawn(self._random.choice(faults))
                await curio.sleep(self._random.choice((0.0, 0.5, 2.0, 6.0)))
            await curio.sleep(6.0)
            self._is_over = True
        await self.settle()
        await sampler.cancel()

    async def operate(self) -> None:
        """Change the configuration and order rollouts until the end."""
        while not self._is_over:
            await curio.sleep(self._random.uniform(0.3, 3.0))
            if self._server.knobs["is_down"] or self._is_operator_busy:
                continue
            if self._random.random() < 0.8:
                await self.change()
            elif self._has_verdict():
                await self.order()

    def _has_verdict(self) -> bool:
        body = self._server.store.items_with_prefix("status/").get(
            f"status/rollout/{SERVICE}"
        )
        order = self._server.store.items_with_prefix("op/rollout/")
        if not order:
            return True
        return body is not None and (
            json.loads(body)["state"] in FINAL_STATES
            and json.loads(body)["targetVersion"] == f"v{self._order_number}"
        )

    async def change(self) -> None:
        self._version += self._random.randint(1, 3)
        body = encode_configuration(self._version, ROUTES)
        await self._server.store.transact({}, [("op/config", body, 0)], [])
        now_s = self._clock()
        self._due.append((now_s, now_s + CONFIG_BOUND_S, self._version))
        self.note(f"version {self._version}")

    async def order(self) -> None:
        self._order_number += 1
        version = f"v{self._order_number}"
        if self._random.random() < 0.4:
            self._mesh.bad_versions.add(version)
        order = {"service": SERVICE, "targetVersion": version, "durationS": 30.0}
        row = (f"op/rollout/{SERVICE}", json.dumps(order).encode(), 0)
        await self._server.store.transact({}, [row], [])
        self.note(f"order {version}")

    def disturb(self, duration_s: float, what: str) -> None:
        self.note(f"{what} for {duration_s:.2f} s")
        self._disturbed_until_s = max(
            self._disturbed_until_s, self._clock() + duration_s
        )

    async def restore(self) -> None:
        if self._is_operator_busy:
            return
        self._is_operator_busy = True
        down_s = self._random.choice((0.0, 0.3, 2.0))
        age_s = self._random.uniform(0.5, 15.0)
        rewrite_after_s = self._random.choice((0.0, 0.2, 1.5))
        are_leases_kept = self._random.random() < 0.5
        self.disturb(down_s + rewrite_after_s, f"restore of {age_s:.1f} s")
        self._server.set_knobs(is_down=True)
        await curio.sleep(down_s)
        self._server.set_knobs(is_down=False)
        await self._server.restore(age_s, rewrite_after_s, are_leases_kept)
        self._is_operator_busy = False

    async def restore_twice(self) -> None:
        await self.restore()
        await curio.sleep(self._random.choice((0.0, 0.3, 1.0)))
        await self.restore()

    async def outage(self) -> None:
        knob = self._random.choice(("is_down", "is_silent"))
        duration_s = self._random.uniform(0.3, 3.0)
        self.disturb(duration_s, knob)
        self._server.set_knobs(**{knob: True})
        await curio.sleep(duration_s)
        self._server.set_knobs(**{knob: False})

    async def refuse(self) -> None:
        duration_s = self._random.uniform(0.3, 2.0)
        self.disturb(duration_s, "busy")
        self._server.set_knobs(busy_status=self._random.choice((429, 503)))
        await curio.sleep(duration_s)
        self._server.set_knobs(busy_status=0)

    async def cut_store(self) -> None:
        node = self._random.choice(list(self._mesh.nodes.values()))
        duration_s = self._random.uniform(0.5, 6.0)
        self.disturb(duration_s, f"store cut from {node.node_id}")
        node.cut_store(True)
        await curio.sleep(duration_s)
        node.cut_store(False)

    async def cut_node(self) -> None:
        node = self._random.choice(list(self._mesh.nodes.values()))
        duration_s = self._random.uniform(0.5, 6.0)
        is_store_cut = self._random.random() < 0.5
        self.disturb(duration_s, f"cut of {node.node_id}")
        node.is_cut = True
        node.cut_store(is_store_cut)
        await curio.sleep(duration_s)
        node.is_cut = False
        node.cut_store(False)

    async def kill(self) -> None:
        count = self._random.choice((1, 1, 2, 3))
        node_ids = self._random.sample(sorted(self._mesh.nodes), count)
        duration_s = self._random.uniform(0.2, 2.0)
        self.disturb(duration_s, f"kill of {node_ids}")
        for node_id in node_ids:
            await self._mesh.kill_node(node_id)
        await curio.sleep(duration_s)
        for node_id in node_ids:
            await self._mesh.start_node(node_id)

    async def compact(self) -> None:
        self.disturb(0.0, "compaction")
        self._server.store.compact()

    async def lose_answers(self) -> None:
        self.disturb(0.0, "lost answers")
        self._server.set_knobs(lose_write_answers=self._random.randint(1, 3))

    async def slow(self) -> None:
        duration_s = self._random.uniform(0.5, 3.0)
        self.disturb(duration_s, "slow")
        self._server.set_knobs(delay_s=self._random.choice((0.1, 0.4)))
        await curio.sleep(duration_s)
        self._server.set_knobs(delay_s=0.0)

    async def sample(self) -> None:
        """Compare what each process has in force with what it had before."""
        while True:
            await curio.sleep(SAMPLE_INTERVAL_S)
            for node in self._mesh.nodes.values():
                self.check_node(node)
            self.check_due()

    def check_node(self, node) -> None:
        record = node.configuration.records.get(SERVICE)
        now = (
            node.version,
            0 if record is None else record.sequence,
            "" if record is None else record.rollout["to_version"],
            "" if record is None else record.rollout["state"],
        )
        if id(node) not in self._seen:
            self._processes.append(node)
        before = self._seen.get(id(node), now)
        self._seen[id(node)] = now
        if now[0] < before[0]:
            self.fail(f"{node.node_id}: version {before[0]}, then {now[0]}")
        if now[1] < before[1]:
            self.fail(f"{node.node_id}: record {before[1:]}, then {now[1:]}")
        is_reopened = before[3] in FINAL_STATES and now[3] != before[3]
        if is_reopened and now[2] == before[2]:
            self.fail(f"{node.node_id}: verdict {before[2:]}, then {now[2:]}")

    def check_due(self) -> None:
        now_s = self._clock()
        while self._due and self._due[0][1] <= now_s:
            acknowledged_s, _, version = self._due.pop(0)
            if acknowledged_s < self._disturbed_until_s + STABLE_WINDOW_S:
                continue
            late = {
                node.node_id: node.version
                for node in self._mesh.nodes.values()
                if node.version < version
            }
            if late:
                self.fail(f"version {version} not in force: {late}")

    async def settle(self) -> None:
        """Wait until the mesh has nothing to do; check that all nodes agree."""
        await curio.sleep(STABLE_WINDOW_S)
        await self.change()
        deadline_s = self._clock() + MAX_SETTLE_S
        while self._clock() < deadline_s and self.describe_unsettled():
            await curio.sleep(1.0)
        self.problems += self.describe_unsettled()

    def describe_unsettled(self) -> list[str]:
        nodes = list(self._mesh.nodes.values())
        store = self._server.store
        status = store.items_with_prefix("status/").get(f"status/rollout/{SERVICE}")
        state = ABSENT if status is None else json.loads(status)["state"]
        problems = []
        if len({node.configuration.head_digest for node in nodes}) > 1:
            problems.append("nodes disagree at the end")
        for node in nodes:
            record = node.configuration.records.get(SERVICE)
            own_state = ABSENT if record is None else record.rollout["state"]
            if node.version != self._version:
                problems.append(f"{node.node_id}: version {node.version} at the end")
            if node.configuration.keys_behind:
                behind = node.configuration.keys_behind
                problems.append(f"{node.node_id}: {behind} not written again")
            if own_state != state:
                problems.append(f"{node.node_id}: {own_state}, published {state}")
        if self._order_number > 1 and not self._has_verdict():
            problems.append(f"no verdict on v{self._order_number}: {status}")
        return problems


class RestoreSoakTests(AsyncTestCase):
    def test_nothing_older_comes_in_force_and_all_nodes_agree_again(self):
        failed = {}
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            history = self.play(seed)
            if history.problems:
                failed[seed] = history.problems[:6] + history.events
        self.assertEqual({}, failed)

    def play(self, seed: int) -> _History:
        generator = random.Random(seed)

        async def case(clock):
            address = Address("127.0.0.1", allocate_ports(1)[0])
            async with open_platform_server(address) as server:
                mesh = open_mirror_mesh(server, address, LAYOUT, generator)
                async with mesh as opened:
                    history = _History(opened, clock, generator)
                    await history.play()
                    return history

        with (
            patch("guavagap.backoff.random", random.Random(seed)),
            patch("guavagap.dissemination.random", random.Random(seed)),
        ):
            return run_in_virtual_time(case, modules=("standins.platform_server",))
