"""Tests of how the evaluation of a rollout passes from node to node."""

from types import SimpleNamespace

from guavagap.addresses import parse_address
from guavagap.clock import steady_s
from guavagap.evaluator import Evaluator
from guavagap.members import MemberTable
from guavagap.messages import Member
from tests.cases import AsyncTestCase

SERVICE = "shop"


def make_row(number: int) -> Member:
    address = f"127.0.0.1:{1000 + number}"
    domain = f"d{number % 3}"
    return Member(f"n{number}", 1, 0, "r", domain, address, address, address)


class _Repository:
    interval_s = 0.01
    is_store_lost = False


class _Membership:
    """Records the addresses that rows were sent to."""

    def __init__(self):
        self.sent_to = []

    async def send(self, address, kind, token):
        self.sent_to.append(address)


def make_evaluator(local: int, count: int) -> Evaluator:
    table = MemberTable(make_row(local), steady_s)
    for number in range(count):
        table.merge(make_row(number))
    repository = _Repository()
    node = SimpleNamespace(
        deployment=SimpleNamespace(make_rollout_repository=lambda node: repository),
        settings=SimpleNamespace(node_id=f"n{local}"),
        table=table,
        membership=_Membership(),
        request_gossip=lambda: None,
        repository=repository,
    )
    return Evaluator(node)


class HandOverTests(AsyncTestCase):
    def publish(self, evaluator: Evaluator) -> list:
        """Let a node notice that it has lost the store; return whom it has told."""
        node = evaluator._node
        node.repository.is_store_lost = True
        self.run_async(evaluator._publish_store_loss, [SERVICE])
        return node.membership.sent_to

    def test_successor_is_told_at_once(self):
        number = int(make_evaluator(0, 9).evaluator_of(SERVICE).removeprefix("n"))
        evaluator = make_evaluator(number, 9)
        sent_to = self.publish(evaluator)
        self.assertTrue(evaluator._node.table.local.is_store_lost)
        successor = evaluator.evaluator_of(SERVICE)
        self.assertNotEqual(f"n{number}", successor)
        row = evaluator._node.table.get(successor)
        self.assertEqual([parse_address(row.mesh_address)], sent_to)

    def test_node_that_evaluates_nothing_publishes_nothing(self):
        number = int(make_evaluator(0, 9).evaluator_of(SERVICE).removeprefix("n"))
        evaluator = make_evaluator((number + 1) % 9, 9)
        self.assertEqual([], self.publish(evaluator))
        self.assertFalse(evaluator._node.table.local.is_store_lost)

    def test_last_node_keeps_the_evaluation(self):
        evaluator = make_evaluator(0, 1)
        self.assertEqual([], self.publish(evaluator))
        self.assertTrue(evaluator._node.table.local.is_store_lost)


class StepTests(AsyncTestCase):
    def test_failure_on_one_service_does_not_end_the_evaluation_of_others(self):
        """One value that cannot be handled took the whole evaluation along."""
        evaluator = make_evaluator(0, 1)
        evaluated = []

        async def evaluate_service(service, rollout):
            evaluated.append(service)
            if service == "a":
                raise UnicodeEncodeError("utf-8", "\ud83d", 0, 1, "surrogate")

        evaluator._evaluate_service = evaluate_service
        evaluator._update_windows = lambda *args: None
        evaluator._reset_changed_stages = lambda *args: None
        self.run_async(evaluator._evaluate, {"a": {}, "b": {}})
        self.assertEqual(["a", "b"], evaluated)
