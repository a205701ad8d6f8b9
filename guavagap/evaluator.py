"""Evaluation of rollouts: turns evidence into decisions.

Each node sends its evidence to the collector of its failure domain. The collector
aggregates and evaluates it, and forwards it to the evaluator of the service. A
collector or evaluator that finds a version faulty publishes a rollback notice, which
requires neither consensus nor the platform. Weights and verdicts are stored by
conditional writes through a
:class:`guavagap.rollout_repositories.RolloutRepository`. Both roles are derived from
the member table; two nodes with the same role at a time do no harm.
"""

import time

import curio

from guavagap.addresses import parse_address
from guavagap.errors import GuavagapError
from guavagap.evidence import EvidenceTable, EvidenceWindows, describe_route
from guavagap.head import Rollout
from guavagap.logs import get_logger
from guavagap.messages import DatagramKind, EvidenceReport, EvidenceRow, Notice
from guavagap.rendezvous import rendezvous_order
from guavagap.rollouts import (
    FULL_WEIGHT_PERMILLE,
    Decision,
    decide_next_step,
    find_fault,
)
from guavagap.tasks import run_step

__all__ = ["Evaluator"]

log = get_logger()

SEND_TIMEOUT_S = 1.0


class Evaluator:
    """Collects evidence and evaluates rollouts on one node.

    Args:
        node: the node that it belongs to, a :class:`guavagap.node.Node`.
    """

    def __init__(self, node):
        self._node = node
        self._repository = node.deployment.make_rollout_repository(node)
        self._node_evidence = EvidenceTable()
        self._aggregated_evidence = EvidenceTable()
        self._domain_windows: dict[str, EvidenceWindows] = {}
        self._service_windows: dict[str, EvidenceWindows] = {}
        self._stage_weights: dict[str, int] = {}

    async def run(self) -> None:
        """Send evidence and evaluate rollouts until cancelled."""
        while True:
            await curio.sleep(self._repository.interval_s)
            await run_step(self._repository.restore_lost, self._is_evaluator)
            await run_step(self._repository.start_pending, self._is_evaluator)
            active_rollouts = self._repository.active_rollouts()
            services = [*active_rollouts, *self._repository.pending_rollout_services()]
            await run_step(self._publish_store_loss, services)
            await run_step(self._send_local_evidence, active_rollouts)
            await run_step(self._process_domain_evidence, active_rollouts)
            await run_step(self._evaluate, active_rollouts)

    def collector_of(self, failure_domain: str) -> str | None:
        """Return the identifier of the node that collects a domain's evidence."""
        rows = self._node.table.alive_in_domain(failure_domain)
        order = rendezvous_order(failure_domain, [row.node_id for row in rows], str)
        return order[0] if order else None

    def evaluator_of(self, service: str) -> str | None:
        """Return the identifier of the node that evaluates a service.

        Nodes that cannot reach the store are skipped while there are others.
        """
        table = self._node.table
        rows = [
            row
            for row in table.alive()
            if row.failure_domain not in table.unreachable_domains
        ]
        rows = [row for row in rows if not row.is_store_lost] or rows
        domains = sorted({row.failure_domain for row in rows})
        if not domains:
            return None
        domain = rendezvous_order(service, domains, str)[0]
        node_ids = [row.node_id for row in rows if row.failure_domain == domain]
        return rendezvous_order(domain, node_ids, str)[0]

    async def _publish_store_loss(self, services: list[str]) -> None:
        """Publish whether the store is unavailable, so that no decision can be written.

        Meanwhile another node evaluates the services of this one, and is told at once:
        gossip alone takes seconds to reach it, and it may have lost the store as well.
        A node that evaluates no service does not publish that the store is unavailable.
        """
        is_lost, local_row = self._repository.is_store_lost, self._node.table.local
        if is_lost == local_row.is_store_lost:
            return
        evaluated = [service for service in services if self._is_evaluator(service)]
        if is_lost and not evaluated:
            return
        self._node.table.publish(is_store_lost=is_lost)
        await self._notify_evaluators(evaluated)
        log.info(
            "store lost, evaluation handed over"
            if is_lost
            else "store reachable, evaluation resumed"
        )

    async def _notify_evaluators(self, services: list[str]) -> None:
        """Send the local row to the nodes that evaluate the services from now on."""
        self._node.request_gossip()
        for node_id in {self.evaluator_of(service) for service in services}:
            row = self._node.table.get(node_id)
            if node_id == self._node.settings.node_id or row is None:
                continue
            address = parse_address(row.mesh_address)
            await self._node.membership.send(address, DatagramKind.GOSSIP, 0)

    def _is_evaluator(self, service: str) -> bool:
        return self.evaluator_of(service) == self._node.settings.node_id

    async def _send_local_evidence(self, active_rollouts: dict[str, Rollout]) -> None:
        rows = self._node.evidence.drain(set(active_rollouts))
        rows = tuple(
            row
            for row in rows
            if row.version
            in (
                active_rollouts[row.service]["from_version"],
                active_rollouts[row.service]["to_version"],
            )
        )
        collector = self.collector_of(self._node.settings.failure_domain)
        await self._send(collector, rows, is_summed=False)

    async def _send(
        self, node_id: str | None, rows: tuple[EvidenceRow, ...], is_summed: bool
    ) -> None:
        local_id = self._node.settings.node_id
        if not rows or node_id is None:
            return
        report = EvidenceReport(local_id, rows, is_summed)
        if node_id == local_id:
            self.apply_report(report)
            return
        await self._node.scope.spawn(self._send_report, node_id, report)

    async def _send_report(self, node_id: str, report: EvidenceReport) -> None:
        try:
            async with curio.timeout_after(SEND_TIMEOUT_S):
                link = await self._node.links.get(node_id)
                await link.send(report)
        except (GuavagapError, curio.TaskTimeout) as error:
            log.info("evidence not sent", to=node_id, why=repr(error))

    def apply_report(self, report: EvidenceReport) -> None:
        """Add the evidence of a node, or of a collector if it is summed."""
        table = self._aggregated_evidence if report.is_summed else self._node_evidence
        for row in report.rows:
            table.add_row(row)

    async def _process_domain_evidence(
        self, active_rollouts: dict[str, Rollout]
    ) -> None:
        """Evaluate the evidence of the local failure domain and forward it."""
        rows = self._node_evidence.drain(set(active_rollouts))
        self._update_windows(self._domain_windows, active_rollouts, rows)
        for service, rollout in active_rollouts.items():
            windows = self._domain_windows[service].windows()
            finding = find_fault(
                self._repository.policy, windows, is_single_domain=True
            )
            if finding is not None:
                await self._publish_notice(service, rollout, finding.reason)
            service_rows = tuple(row for row in rows if row.service == service)
            await self._send(self.evaluator_of(service), service_rows, is_summed=True)

    def _update_windows(
        self,
        windows: dict[str, EvidenceWindows],
        active_rollouts: dict[str, Rollout],
        rows: tuple[EvidenceRow, ...],
    ) -> None:
        """Add a tick to the windows of active rollouts, and remove all others."""
        for service in set(windows) - set(active_rollouts):
            del windows[service]
        for service, rollout in active_rollouts.items():
            current = windows.get(service)
            if current is None or current.new_version != rollout["to_version"]:
                current = EvidenceWindows(
                    rollout["from_version"],
                    rollout["to_version"],
                    self._repository.cold_requests,
                )
                windows[service] = current
            current.add_tick(tuple(row for row in rows if row.service == service))

    async def _publish_notice(
        self, service: str, rollout: Rollout, reason: str
    ) -> None:
        node = self._node
        notice = Notice(service, rollout["to_version"], reason)
        if not node.notices.is_rolled_back(service, rollout["to_version"]):
            log.warning(
                "faulty version found, rollback notice published", **notice._asdict()
            )
            node.add_notices((notice,))

    async def _evaluate(self, active_rollouts: dict[str, Rollout]) -> None:
        """Decide and write the next step of the rollouts that this node evaluates."""
        rows = self._aggregated_evidence.drain(set(active_rollouts))
        self._update_windows(self._service_windows, active_rollouts, rows)
        self._reset_changed_stages(active_rollouts)
        for service, rollout in active_rollouts.items():
            if self._is_evaluator(service):
                await run_step(self._evaluate_service, service, rollout)

    async def _evaluate_service(self, service: str, rollout: Rollout) -> None:
        decision = self._decide(service, rollout)
        if decision.finding is not None:
            await self._publish_notice(service, rollout, decision.reason)
        if self._has_effect(service, rollout, decision):
            self._log_evidence(service, decision)
            await self._repository.write(service, rollout, decision)

    def _reset_changed_stages(self, active_rollouts: dict[str, Rollout]) -> None:
        """Clear the windows of rollouts whose weight has changed."""
        for service in self._service_windows:
            weight = active_rollouts[service]["weight_permille"]
            if self._stage_weights.get(service) != weight:
                self._stage_weights[service] = weight
                self._service_windows[service].reset_stage()
                self._domain_windows[service].reset_stage()

    def _log_evidence(self, service: str, decision: Decision) -> None:
        """Log what a decision rests on: failed and all requests of each route."""
        observation = self._service_windows[service].observation()
        for window in observation.windows:
            log.info(
                "rollout evidence",
                service=service,
                weight_permille=decision.weight_permille,
                observed_ticks=observation.ticks,
                routes=";".join(map(describe_route, window)),
            )

    def _decide(self, service: str, rollout: Rollout) -> Decision:
        notices = self._node.notices.of_service(service)
        for notice in notices:
            if notice.version == rollout["to_version"]:
                return Decision(0, False, notice, notice.reason)
        windows = self._service_windows[service]
        return decide_next_step(
            self._repository.policy,
            rollout,
            windows.windows(),
            windows.count_stage_requests(),
            self._capacity_permille(service, rollout),
            time.time(),
            windows.observation(),
        )

    def _capacity_permille(self, service: str, rollout: Rollout) -> int:
        """Return the weight that the new version's slots can carry."""
        slots = {rollout["from_version"]: 0, rollout["to_version"]: 0}
        for target in self._node.directory.all_targets():
            server = target.server
            if server.service == service and server.version in slots:
                slots[server.version] += server.slots
        new, old = slots[rollout["to_version"]], slots[rollout["from_version"]]
        if not old:
            return FULL_WEIGHT_PERMILLE if new else 0
        return min(FULL_WEIGHT_PERMILLE, new * FULL_WEIGHT_PERMILLE // old)

    def _has_effect(self, service: str, rollout: Rollout, decision: Decision) -> bool:
        return (
            decision.finding is not None
            or decision.is_complete
            or decision.weight_permille != rollout["weight_permille"]
            or decision.reason != rollout["reason"]
        )
