"""Mutation testing: each test must fail when the mechanism it covers is removed.

For each mechanism the source tree is copied to a temporary directory, the mechanism
is disabled in the copy, and its test is run there. A test that still passes does not
cover the mechanism, and its figure exceeds its bound.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from bench.report import Report

__all__ = ["MECHANISMS", "Mechanism", "run"]

COPIED_PATHS = (
    "guavagap",
    "standins",
    "tests",
    "examples",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
TEST_TIMEOUT_S = 240
MAX_WORKERS = 2
PYTEST_TESTS_FAILED = 1


class Mutation(NamedTuple):
    """A piece of source text and its replacement without the mechanism.

    Attributes:
        file: path in the package ``guavagap``.
        old: text that must occur exactly once in the file.
    """

    file: str
    old: str
    new: str


class Mechanism(NamedTuple):
    """A mechanism, the mutations that remove it and the test that must then fail.

    Attributes:
        test: path below ``tests``, with names to select by after ``::``.
    """

    name: str
    test: str
    mutations: tuple[Mutation, ...]


def _mechanism(name: str, test: str, *parts: str) -> Mechanism:
    """Return a mechanism.

    Args:
        parts: file, old text and new text of each mutation in turn.
    """
    mutations = tuple(
        Mutation(*parts[index : index + 3]) for index in range(0, len(parts), 3)
    )
    return Mechanism(name, test, mutations)


MECHANISMS = (
    _mechanism(
        "epoch only rises",
        "test_configuration.py::ApplyTests::test_lower_or_equal_epoch",
        "configuration.py",
        "if delta.epoch <= self.epoch:",
        "if delta.epoch < 0:",
    ),
    _mechanism(
        "routes are checked against pools",
        "test_configuration.py::ApplyTests::test_invalid_document_rejects",
        "documents.py",
        'if route["pool"] not in pool_names:',
        "if False:",
    ),
    _mechanism(
        "a commit is taken whole",
        "test_configuration.py::ApplyTests::test_invalid_document_rejects",
        "configuration.py",
        "            return str(checked.error[0])",
        "            continue",
    ),
    _mechanism(
        "content is checked by digest",
        "test_configuration.py::ApplyTests::test_delta_with_a_gap_wrong_digest",
        "head.py",
        "if compute_head_digest(delta.epoch, entries) != delta.head_digest:",
        "if False:",
    ),
    _mechanism(
        "compare-and-swap",
        "test_commits.py::CommitTests::test_race_on_one_document",
        "key_value.py",
        "if actual != expected:",
        "if False:",
    ),
    _mechanism(
        "own change recognised",
        "test_commits.py::CommitTests::test_lost_response",
        "commits.py",
        "            if epoch is not None:\n                return Commit",
        "            if False:\n                return Commit",
    ),
    _mechanism(
        "audit record written by the next commit",
        "test_commits.py::CommitTests::test_audit_record",
        "commits.py",
        'await _write_audit(platform, head["change"])',
        "pass",
    ),
    _mechanism(
        "fetch on a higher epoch",
        "test_mesh_failures.py::RelayTests::test_domain_partitioned",
        "dissemination.py",
        "or self._is_fetching:",
        "or True:",
    ),
    _mechanism(
        "lease lapses",
        "test_mesh_failures.py::RelayTests::test_killed_relay",
        "relay.py",
        "key, self._lease_body(), lease.revision, self._lease_ttl_s",
        "key, self._lease_body(), lease.revision, None",
    ),
    _mechanism(
        "refutation by incarnation",
        "test_mesh_failures.py::FreezeTests::test_frozen_member",
        "members.py",
        "self._store(local._replace(incarnation=candidate.incarnation + 1))",
        "pass",
    ),
    _mechanism(
        "failure domain unreachable as one",
        "test_mesh_failures.py::PartitionTests::test_partitioned_domain",
        "membership.py",
        "if self._is_domain_silent(row, suspicion.since_s):",
        "if False:",
    ),
    _mechanism(
        "learning from peers",
        "test_mesh_failures.py::RestartTests::test_node_restarted_without",
        "documents_deployment.py",
        "peer_epoch = node.disseminator.highest_epoch_seen",
        "peer_epoch = 0",
    ),
    _mechanism(
        "refusal before anything is learned",
        "test_mesh_failures.py::RestartTests::test_all_nodes_restarted_without",
        "proxy.py",
        "if not node.is_ready:",
        "if False:",
    ),
    _mechanism(
        "alarm on a history that went back",
        "test_mesh_failures.py::PlatformTests::test_regressed_platform",
        "relay.py",
        "        self.has_regressed = has_regressed",
        "        self.has_regressed = False",
    ),
    _mechanism(
        "rejection leaves other teams alone",
        "test_mesh_failures.py::RejectionTests",
        "commits.py",
        "if error.kind is not ErrorKind.CONFIGURATION_REJECTED:",
        "if True:",
    ),
    _mechanism(
        "retry table",
        "test_proxy_failures.py::AtMostOnceTests::test_post_is_not_retried",
        "retries.py",
        "return failure.is_idempotent and failure.attempts == 1",
        "return failure.attempts == 1",
    ),
    _mechanism(
        "not run is told from unknown",
        "test_proxy_failures.py::AtMostOnceTests::test_frozen_backend_server",
        "exchange.py",
        "        if attempt.is_written:",
        "        if False:",
    ),
    _mechanism(
        "an attempt that may have run is remembered",
        "test_proxy_failures.py::AtMostOnceTests::test_refusal_after_an_attempt",
        "attempts.py",
        "# A later refusal does not undo an attempt that may have run.\n"
        "            raise history.unknown_outcome or error",
        "raise",
    ),
    _mechanism(
        "retry on another backend server",
        "test_proxy_failures.py::AtMostOnceTests::test_post_to_a_dead",
        "retries.py",
        "        return error_spec(failure.kind).is_not_run",
        "        return False",
    ),
    _mechanism(
        "witnesses of a key",
        "test_proxy_failures.py::IdempotencyKeyTests::test_resend_gets",
        "idempotency.py",
        "if record is not None:\n            return KeyClaimReply",
        "if False:\n            return KeyClaimReply",
    ),
    _mechanism(
        "refusal when a witness cannot be asked",
        "test_proxy_failures.py::IdempotencyKeyTests::test_partition_between",
        "idempotency.py",
        "                # The claim may be recorded although no reply arrived.\n",
        "                continue\n",
    ),
    _mechanism(
        "quarantine",
        "test_proxy_failures.py::PoisonTests",
        "poison.py",
        "if self.crashes >= CRASHES_TO_QUARANTINE:",
        "if False:",
    ),
    _mechanism(
        "draining is acted on",
        "test_proxy_limits.py::DrainTests::test_draining_backend_server",
        "directory.py",
        "if not server.is_draining",
        "if True",
        "node.py",
        "if server.is_draining and not backend_proxy.admission.is_draining:",
        "if False:",
    ),
    _mechanism(
        "drain waits for what is in flight",
        "test_proxy_limits.py::DrainTests::test_request_in_flight",
        "daemon.py",
        "and _work_in_flight(node):",
        "and False:",
    ),
    _mechanism(
        "admission by slots",
        "test_proxy_limits.py::LimitTests::test_slots_are_never",
        "limits.py",
        "if self.in_flight >= slots:",
        "if False:",
    ),
    _mechanism(
        "permits for connections",
        "test_proxy_limits.py::LimitTests::test_connections_are_never",
        "limits.py",
        "granted = min(wanted, free)",
        "granted = wanted + 8",
    ),
    _mechanism(
        "cancellation when the caller goes",
        "test_proxy_limits.py::LimitTests::test_disconnected_caller",
        "caller_watch.py",
        "        await watched.task.cancel(blocking=False)",
        "        pass",
    ),
    _mechanism(
        "both lengths are refused",
        "test_request_shapes.py::RequestShapeTests::test_ambiguous",
        "http1.py",
        "if length is not None and is_chunked:",
        "if False:",
    ),
    _mechanism(
        "line folding is refused",
        "test_request_shapes.py::RequestShapeTests::test_ambiguous",
        "http1.py",
        "if connection.is_head_folded:",
        "if False:",
    ),
    _mechanism(
        "connection headers are dropped",
        "test_request_shapes.py::RequestShapeTests::test_connection_headers",
        "http1.py",
        "dropped = dropped.union(named)",
        "pass",
    ),
    _mechanism(
        "datagram code",
        "test_link.py::DatagramTests::test_other_key",
        "datagrams.py",
        "if not hmac.compare_digest(mac, _mac(key_bytes, body)):",
        "if False:",
    ),
    _mechanism(
        "compressed datagrams are bounded",
        "test_datagrams.py::DatagramTests::test_malformed",
        "datagrams.py",
        "if not decompressor.eof:",
        "if False:",
    ),
    _mechanism(
        "few members keep an entry",
        "test_node_entries.py::HolderTests::test_only_the_first",
        "node_entries.py",
        "return state.rank < ENTRY_HOLDERS",
        "return True",
    ),
    _mechanism(
        "own backend server first",
        "scheduling/test_placement.py::OwnServerTests::test_short_runs",
        "scheduling/placement.py",
        "if own.is_cold or own.load >= own.slots:",
        "if True:",
    ),
    _mechanism(
        "requests that only one server can run pass its pace",
        "test_server_pace.py::RampUpTests::test_request_that_has_no_other",
        "limits.py",
        "slots = self.slots if may_exceed_limit else self._usable_slots()\n"
        "        if self.in_flight >= slots:",
        "slots = self.limit\n        if self.in_flight >= slots:",
    ),
    _mechanism(
        "late responses do not raise the pace",
        "test_server_pace.py::RampUpTests::test_slow_server_gets_few",
        "scheduling/pace.py",
        "LATE_RATIO = 1.75",
        "LATE_RATIO = 1000.0",
    ),
    _mechanism(
        "replay window",
        "test_link.py::DatagramTests::test_each_sequence",
        "datagrams.py",
        "is_new = highest - sequence < WINDOW_SEQUENCES and not seen_bits & bit",
        "is_new = True",
    ),
    _mechanism(
        "frame code",
        "test_link.py::LinkTests::test_replayed_and_modified",
        "link.py",
        "if not hmac.compare_digest(mac, expected):",
        "if False:",
    ),
    _mechanism(
        "sequential test",
        "test_rollouts.py::RolloutProcessTests::test_failing_version",
        "rollouts.py",
        "            if finding is not None:\n                return finding",
        "            if False:\n                return finding",
    ),
    _mechanism(
        "notices need no platform",
        "test_rollouts.py::RolloutProcessTests::test_faulty_version_loses",
        "evaluator.py",
        "            node.add_notices((notice,))",
        "            pass",
    ),
    _mechanism(
        "operator: lost answers are told from crashes",
        "test_operator_mesh.py::RequestTests::test_lost_responses",
        "backend_proxy.py",
        "if error.kind in _LOST_KINDS and not await self._is_listening():",
        "if error.kind in _LOST_KINDS:",
    ),
    _mechanism(
        "operator: late answers of other requests are skipped",
        "test_operator_mesh.py::RequestTests::test_late_second_responses",
        "backend_connections.py",
        "is_for_sent = echoed == self._sent_id",
        "is_for_sent = True",
        "backend_connections.py",
        "if may_reuse and not has_extra and connection.start_next_cycle():",
        "if may_reuse and connection.start_next_cycle():",
    ),
    _mechanism(
        "operator: failures of idempotent requests are replaced",
        "test_operator_mesh.py::RequestTests::test_failures_of_idempotent",
        "attempts.py",
        "if response.status < FAILURE_STATUS or not response.is_complete:",
        "if True:",
    ),
    _mechanism(
        "operator: refusing backend servers are left alone",
        "test_operator_mesh.py::RequestTests::test_backend_server_that_refuses",
        "directory.py",
        "if condition.failure_permille > EJECT_FAILURE_PERMILLE:",
        "if False:",
    ),
    _mechanism(
        "operator: a lower version is never taken",
        "test_operator_changes.py::ConfigurationTests::test_change_applies",
        "mirror.py",
        "if content.rank != held.rank:",
        "if False:",
    ),
    _mechanism(
        "restore: a watch of an earlier era is not continued",
        "platform/test_store.py::StoreClientTests::test_watch_from_before",
        "platform/store.py",
        "if era != after.era:",
        "if False:",
    ),
    _mechanism(
        "restore: a lease of an earlier era is not renewed",
        "platform/test_store.py::StoreClientTests::test_lease_of_before",
        "platform/store.py",
        "if lease.era < self.era:",
        "if False:",
        "platform/store.py",
        "if response.status == 404 or era != lease.era:",
        "if response.status == 404:",
    ),
    _mechanism(
        "restore: a condition of an earlier era does not hold",
        "platform/test_store.py::StoreClientTests::test_condition_of_before_a_known",
        "platform/store.py",
        "if eras and min(eras) < self.era:",
        "if False:",
    ),
    _mechanism(
        "restore: what the store lacks is kept",
        "test_mirror.py::RestoreTests::test_key_that_the_copy_lacks",
        "mirror.py",
        "keys += self._keep_missing_items()",
        "pass",
    ),
    _mechanism(
        "restore: a replaced order does not come back",
        "test_mirror.py::RestoreTests::test_replaced_order",
        "mirror.py",
        "replaced.append(_digest(held.item))",
        "pass",
    ),
    _mechanism(
        "restore: lost decisions are written again",
        "test_rollout_repositories.py::LostDecisionTests::test_verdict_of_which",
        "rollout_repositories.py",
        "await self._write_again(service, record)",
        "pass",
    ),
    _mechanism(
        "restore: nodes at one epoch exchange what they have",
        "test_store_restored.py::RestoredStoreTests::test_node_that_starts",
        "dissemination.py",
        "if self.exchanges.is_due(node_id):",
        "if False:",
    ),
    _mechanism(
        "restore: the older mesh key wins",
        "test_mesh_keys.py::RestoredKeyTests::test_key_of_a_node_that_started",
        "mesh_keys.py",
        "if shown.body is not None and is_older_key(shown.body, self._key_bytes):",
        "if False:",
    ),
    _mechanism(
        "operator: draining is acted on",
        "test_operator_changes.py::DrainTests::test_draining_backend_server",
        "directory.py",
        "if not server.is_draining",
        "if True",
        "node.py",
        "if server.is_draining and not backend_proxy.admission.is_draining:",
        "if False:",
    ),
    _mechanism(
        "operator: reports out of date change nothing",
        "test_announcements.py::ReportTests::test_newer_server_at_the_same_address",
        "announcements.py",
        "return not self._is_stale(report, is_sustained)",
        "return True",
    ),
    _mechanism(
        "operator: a response that names no request is dropped",
        "test_backend_connections.py::ResponseIdTests::test_response_that_names",
        "backend_connections.py",
        "is_for_sent = self._dialect.is_refusal(event.status_code, headers)",
        "is_for_sent = True",
    ),
    _mechanism(
        "a reset that sending has met is kept for the reader",
        "test_backend_connections.py::ResetTests::test_reset_that_sending",
        "http1.py",
        "if not data and self.is_broken:",
        "if False:",
    ),
    _mechanism(
        "a refused placement is repeated with the whole body only",
        "test_attempts.py::UploadTests::test_no_kind_of_failure",
        "attempts.py",
        "if is_body_kept and history.placements < MAX_PLACEMENTS:",
        "if history.placements < MAX_PLACEMENTS:",
    ),
    _mechanism(
        "a long body waits for a slot",
        "test_forwarding.py::LongBodyTests::test_refusal_for_a_slot",
        "forwarding.py",
        "is_body_held = not is_complete or (",
        "is_body_held = False or (",
    ),
    _mechanism(
        "errors to HEAD requests have no body",
        "test_caller_errors.py::ErrorResponseTests::test_head_request_gets",
        "caller_errors.py",
        "[] if connection.is_head_request else",
        "[] if False else",
    ),
    _mechanism(
        "failed requests are freed by the proxy",
        "test_reference_cycles.py::ProxyCycleTests",
        "proxy.py",
        "            forget_frames(error)\n",
        "",
    ),
    _mechanism(
        "operator: only the store confirms a departure",
        "test_departures.py::RecordTests::test_witnesses_are_told",
        "departure_records.py",
        "        return self._is_stored()\n\n    async def run",
        "        return True\n\n    async def run",
    ),
    _mechanism(
        "operator: a departure outlives the processes of the mesh",
        "test_departures.py::ProcessTests::test_all_daemons_killed",
        "departure_records.py",
        "self._node.adopt_departures(departures)",
        "pass",
    ),
    _mechanism(
        "operator: witnesses keep a departure while the store is away",
        "test_departures.py::ProcessTests::test_departure_during_an_outage",
        "node.py",
        "self.adopt_departures(reply.departures)",
        "pass",
    ),
    _mechanism(
        "operator: what other nodes cannot be told of is refused",
        "test_stray_heartbeats.py::RegistryTests::test_report_that_messages",
        "announcements.py",
        "    _check_server(server)\n    return server",
        "    return server",
    ),
    _mechanism(
        "operator: a heartbeat of another service is refused",
        "test_stray_heartbeats.py::StrayHeartbeatTests::test_unknown_service",
        "node.py",
        "if service and report.service != service:",
        "if False:",
    ),
    _mechanism(
        "a control message that cannot be handled leaves its link open",
        "test_link.py::LinkTests::test_control_message_that_cannot_be_handled",
        "link.py",
        "await run_step(self._handle_control_message, handle, message)",
        "await handle(self, message)",
    ),
    _mechanism(
        "a message is sent without the items that cannot be encoded",
        "test_unencodable_messages.py::EncodingTests",
        "codec.py",
        "message = _drop_invalid_items(message)",
        "pass",
    ),
    _mechanism(
        "operator: a stopping node serves until callers know",
        "test_operator_changes.py::DrainTests::test_stopping_node",
        "daemon.py",
        "await curio.sleep(node.deployment.accept_grace_s)",
        "pass",
    ),
    _mechanism(
        "operator: a lost history is listed anew",
        "test_operator_changes.py::ConfigurationTests::test_lost_history",
        "store_relay.py",
        'log.info("store history lost, listing all items", why=error.detail)',
        "raise",
    ),
    _mechanism(
        "evaluator follows from the members",
        "test_rollouts.py::RolloutProcessTests::test_good_version_completes_although",
        "evaluator.py",
        "rows = self._node.table.alive_in_domain(failure_domain)",
        "rows = self._node.table.rows()",
    ),
    _mechanism(
        "evacuation: the owner node refuses",
        "test_operator_evacuation.py::OwnerTests",
        "server_guards.py",
        "        node.evacuation.check()\n",
        "",
    ),
    _mechanism(
        "evacuation: the router offers no target there",
        "test_routing.py::EvacuatedDomainTests",
        "routing.py",
        "            if evacuated:\n",
        "            if False:\n",
    ),
    _mechanism(
        "evacuation: a refused request leaves the failure domain",
        "test_attempts.py::EvacuationTests",
        "attempts.py",
        "history.failed_ids |= self._server_ids_beside(target)",
        "pass",
    ),
    _mechanism(
        "evacuation: a withdrawal that no watch tells is learned",
        "test_operator_evacuation.py::StartTests::test_withdrawal",
        "declared_configuration.py",
        "items += self._find_withdrawals(listing)",
        "pass",
    ),
    _mechanism(
        "evacuation: an order that is given again after a restore is taken",
        "test_evacuation.py::LearnedOrderTests::test_order_that_is_given_again",
        "mirror.py",
        "        if is_written:\n            return True\n",
        "",
    ),
    _mechanism(
        "cold servers: the rate is bounded",
        "test_operator_cold_servers.py",
        "backend_proxy.py",
        "self.admission.rate_limit.set_bound(rate_per_s, burst, steady_s())",
        "pass",
    ),
    _mechanism(
        "cold servers: presumed after an event",
        "test_operator_cold_servers.py::ColdServerTests::test_server_that_crashed",
        "cold_servers.py",
        "        start.record_event(event, steady_s())\n",
        "",
    ),
    _mechanism(
        "cold servers: a heartbeat of before the event ends nothing",
        "scheduling/test_cold_starts.py::PresumptionTests",
        "scheduling/cold_starts.py",
        "if now_s - self._known_at_s >= interval_s:",
        "if True:",
    ),
    _mechanism(
        "cold servers: a suspended node has missed events",
        "test_suspension.py",
        "server_guards.py",
        "        node.detect_suspension()\n",
        "",
    ),
    _mechanism(
        "evacuation: a suspended node waits until it knows orders",
        "test_operator_evacuation.py::SuspensionTests",
        "evacuation.py",
        "if self._is_held():",
        "if False:",
    ),
    _mechanism(
        "cold servers: closed idle connections are an event",
        "test_cold_servers.py::ColdServersTests::test_server_that_closed",
        "backend_proxy.py",
        "if self.connections.is_peer_gone:",
        "if False:",
    ),
    _mechanism(
        "evacuation: an end that was missed is an event",
        "test_evacuation.py::EvacuationTests::test_end_of_an_evacuation",
        "evacuation.py",
        " or self._noticed_end != self._latest_end()",
        "",
    ),
    _mechanism(
        "cold servers: the burst leaves half of the slack",
        "scheduling/test_cold_starts.py::BurstTests::test_half_of_the_slack",
        "scheduling/cold_starts.py",
        "min(BURST_SHARE_OF_SLACK * slack, tolerated - bunched)",
        "slack",
    ),
    _mechanism(
        "clients: a body has a minimum pace",
        "test_slow_clients.py::CallerTests::test_body_below_the_minimum_pace",
        "caller_connections.py",
        "left_s = min(self._read_timeout_s, pace_end_s - now_s)",
        "left_s = self._read_timeout_s",
    ),
    _mechanism(
        "clients: a body ends at the deadline",
        "test_slow_clients.py::CallerTests::test_body_that_misses_the_deadline",
        "caller_connections.py",
        "return min(left_s, self._read_ahead_deadline_s - now_s)",
        "return left_s",
    ),
    _mechanism(
        "clients: a request that was sent in part is not told to be not run",
        "test_slow_clients.py::CallerTests::test_body_without_room_may_have_run",
        "caller_connections.py",
        "            if not self.is_body_consumed:\n                raise\n",
        "            raise\n",
    ),
    _mechanism(
        "clients: a reader has a minimum pace",
        "test_slow_clients.py::CallerTests::test_reader_that_stops",
        "client_budget.py",
        "timeout_s = SEND_GRACE_S + len(left) / MIN_BYTES_PER_S",
        "timeout_s = 1e6",
    ),
    _mechanism(
        "clients: bodies of heartbeats have a time limit",
        "test_slow_clients.py::ApiTests::test_body_that_is_never_complete",
        "http_messages.py",
        "async with _time_limit(limits.body_timeout_s):",
        "async with _time_limit(None):",
    ),
    _mechanism(
        "clients: other tasks run between requests that were sent ahead",
        "test_slow_clients.py::PipelineTests",
        "http1.py",
        "        if self._buffered_bytes:\n            await curio.sleep(0)\n",
        "        pass\n",
    ),
    _mechanism(
        "clients: bytes are charged",
        "test_client_budget.py::BudgetTests",
        "client_budget.py",
        "        self.held_bytes += delta_bytes\n        self._budget.held_bytes +=",
        "        delta_bytes = 0\n        self._budget.held_bytes +=",
    ),
    _mechanism(
        "clients: unread responses are released",
        "test_client_budget.py::BudgetTests::test_unread_response",
        "streams.py",
        "            self.account.release(self._unread_bytes)\n",
        "",
    ),
    _mechanism(
        "clients: idle connections are dropped last",
        "test_client_budget.py::BudgetTests",
        "client_budget.py",
        "first = min(candidates, key=lambda other: other.drop_order(now_s))",
        "first = max(candidates, key=lambda other: other.drop_order(now_s))",
    ),
    _mechanism(
        "clients: a body that waits has a stalled client dropped",
        "test_client_budget.py::BudgetTests::test_stalled_client_makes_room",
        "client_budget.py",
        "            await self._drop_worst(STALLED_S)\n",
        "            pass\n",
    ),
    _mechanism(
        "clients: the frames of cancelled tasks are released",
        "test_client_budget.py::BudgetTests::test_memory_of_a_dropped_client",
        "tasks.py",
        "        error.__traceback__ = None\n",
        "        pass\n",
    ),
    _mechanism(
        "keys are checked before a request runs",
        "test_customer_keys.py::KeyTests::test_only_requests_with_a_valid_key",
        "customers.py",
        "            raise CredentialsError(RefusalReason.UNKNOWN)",
        "            return None",
    ),
    _mechanism(
        "keys reach no backend server",
        "test_customer_keys.py::KeyTests::test_only_requests_with_a_valid_key",
        "proxy.py",
        "            if admitted.customers.is_empty",
        "            if True",
    ),
    _mechanism(
        "a key is checked before a further attempt",
        "test_customer_keys.py::KeyTests::test_key_is_checked_again",
        "attempts.py",
        "if not history.placements or customers.holds(credentials):",
        "if True:",
    ),
    _mechanism(
        "a key that was admitted unchecked is not passed on",
        "test_handlers.py::OpenStreamTests::test_key_that_another_node",
        "handlers.py",
        "customers.check_forwarded(request.headers)",
        "pass",
    ),
    _mechanism(
        "a comparison needs a configuration",
        "test_configuration_proofs.py::SourceTests::test_comparison_with_a_node",
        "configuration_proofs.py",
        "if reply is None or not reply.version:",
        "if reply is None:",
    ),
    _mechanism(
        "a change of type is decoded",
        "test_configuration_changes.py::AnyChangeTests::test_result_is_that",
        "platform/decode.py",
        'entry = known.get(metadata.get("name"))\n'
        "            if entry is None or entry[0] != encoded:",
        'entry = known.get(metadata.get("name"))\n'
        "            if entry is None or marshal.loads(entry[0]) != (metadata, spec):",
    ),
    _mechanism(
        "patches are of what receivers hold",
        "test_patches.py::DeltaTests::test_configuration_that_is_rejected",
        "mirror.py",
        "if held is not None and held.item.position <= position:",
        "if False:",
    ),
    _mechanism(
        "retry budgets follow the number of nodes",
        "scheduling/test_retry_budgets.py::ServiceRetryBudgetTests::test_nodes_that",
        "scheduling/retry_budgets.py",
        "if node_count <= self._node_count:",
        "if True:",
    ),
    _mechanism(
        "keys end without a proof",
        "test_key_revocation.py::RevocationTests::test_nodes_that_are_cut_off",
        "configuration_age.py",
        "return self.age_s(now_s) <= self.max_age_s",
        "return True",
    ),
    _mechanism(
        "a proof counts from when it was asked for",
        "test_configuration_proofs.py::SourceTests::test_age_of_another_member",
        "configuration_proofs.py",
        "proven_at_s = sent_at_s - reply.age_ms / 1000",
        "proven_at_s = self._clock() - reply.age_ms / 1000",
    ),
    _mechanism(
        "a restored store proves nothing before a comparison",
        "test_configuration_proofs.py::FaultTests::test_restored_store_proves_nothing",
        "configuration_proofs.py",
        "return era <= max(self._key_era(), self._compared_era)",
        "return True",
    ),
    _mechanism(
        "less urgent customers are not starved",
        "scheduling/test_admission_order.py::ShareTests::test_less_urgent_customers",
        "scheduling/admission_order.py",
        "return share < MIN_SHARE_OF_AVERAGE * average",
        "return False",
    ),
    _mechanism(
        "a customer that sends more shares with others",
        "scheduling/test_admission_order.py::ShareTests::test_customers_of_equal",
        "scheduling/admission_order.py",
        "due_in_s * (1 + waiting)",
        "due_in_s",
    ),
    _mechanism(
        "quota: a loan ends for its borrower",
        "scheduling/test_quotas.py::FailureTests::test_cut_during_loans",
        "scheduling/quotas.py",
        "request.asked_at_s + loan.ttl_s)",
        "request.asked_at_s + 3600.0)",
    ),
    _mechanism(
        "quota: a lender lowers its own rate",
        "scheduling/test_quotas.py::QuotaHolderTests::test_lender_lowers",
        "scheduling/quotas.py",
        "earned -= _tokens_of(terms, from_s, now_s)",
        "pass",
    ),
    _mechanism(
        "quota: a new holder waits",
        "scheduling/test_quotas.py::QuotaHolderTests::test_holder_starts",
        "scheduling/quotas.py",
        "return self._directory.is_active(now_s)",
        "return True",
    ),
    _mechanism(
        "quota: a member that was suspected stays holder",
        "scheduling/test_quotas.py::FailureTests::test_two_holders_at_once",
        "scheduling/quota_holders.py",
        "return now_s - seen.ended_at_s < wait_s",
        "return False",
    ),
    _mechanism(
        "quota: a holder that stood still starts anew",
        "scheduling/test_quotas.py::QuotaHolderTests::test_holder_that_was_paused",
        "scheduling/quota_holders.py",
        "if pause_s > MAX_PAUSE_S:",
        "if False:",
    ),
    _mechanism(
        "quota: a new member counts when it asks",
        "scheduling/test_quota_handover.py::ReleaseTests::test_new_member_changes",
        "scheduling/quota_holders.py",
        "return now_s + (RELEASE_S if is_local else REMOTE_RELEASE_S)",
        "return now_s",
    ),
    _mechanism(
        "quota: a new member waits for the releases of all others",
        "scheduling/test_quota_handover.py::ReleaseTests::test_member_that_does_not",
        "scheduling/quota_holders.py",
        "if self._awaited(self._seen_at_s):",
        "if False:",
    ),
    _mechanism(
        "quota: a holder stops when it hands over",
        "scheduling/test_quota_handover.py::ReleaseTests::test_release_hands_over",
        "scheduling/quotas.py",
        "        self.lent = {}\n        self.is_holder = False",
        "",
    ),
    _mechanism(
        "quota: a node that leaves hands over",
        "test_quota_handover.py::HandoverTests::test_node_that_leaves",
        "quotas.py",
        "await self._send_handover(member_id, states)",
        "pass",
    ),
    _mechanism(
        "quota: a refused connection shortens the wait",
        "scheduling/test_quota_handover.py::EvidenceTests::test_refused_connection",
        "scheduling/quota_holders.py",
        "now_s - seen.refused_at_s >= DEATH_S",
        "False",
    ),
    _mechanism(
        "quota: tokens expire",
        "scheduling/test_quotas.py::TokenPoolTests::test_tokens_expire",
        "scheduling/token_pools.py",
        "            if token.expires_at_s > now_s:\n                return token",
        "            return token",
    ),
    _mechanism(
        "quota: a further run takes a token",
        "test_quotas.py::QuotaEnforcerTests::test_each_further_run",
        "quotas.py",
        "        if not self.is_used:\n            return True\n        try:",
        "        return True\n        try:",
    ),
    _mechanism(
        "quota: a request that was not run returns its token",
        "test_quotas.py::QuotaEnforcerTests::test_token_of_a_request",
        "quotas.py",
        "tokens.pool.give_back(token, steady_s())",
        "pass",
    ),
)


def _apply_mutation(folder: Path, mutation: Mutation) -> None:
    path = folder / "guavagap" / mutation.file
    text = path.read_text("utf-8")
    if text.count(mutation.old) != 1:
        raise LookupError(
            f"{mutation.file}: {mutation.old!r} occurs {text.count(mutation.old)} times"
        )
    path.write_text(text.replace(mutation.old, mutation.new), "utf-8")


def _fails_without(mechanism: Mechanism) -> bool:
    """Return whether the test fails, or times out, without the mechanism."""
    with tempfile.TemporaryDirectory(prefix="guavagap-mechanism-") as name:
        folder = Path(name)
        for item in COPIED_PATHS:
            source = Path(item)
            if source.is_dir():
                ignore = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, folder / item, ignore=ignore)
            else:
                shutil.copy(source, folder / item)
        for mutation in mechanism.mutations:
            _apply_mutation(folder, mutation)
        file, _, case = mechanism.test.partition("::")
        command = [sys.executable, "-m", "pytest", "-q", "-x", f"tests/{file}"]
        if case:
            command += ["-k", " and ".join(case.split("::"))]
        env = {**os.environ, "PYTHONPATH": name}
        try:
            result = subprocess.run(
                command, cwd=name, env=env, capture_output=True, timeout=TEST_TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return True
        return result.returncode == PYTEST_TESTS_FAILED


def run(report: Report) -> None:
    """Remove each mechanism in turn and check that its test fails.

    GUAVAGAP_MECHANISMS restricts the run to names that contain its value.
    """
    name_filter = os.environ.get("GUAVAGAP_MECHANISMS", "")
    selected = [item for item in MECHANISMS if name_filter in item.name]
    with ThreadPoolExecutor(MAX_WORKERS) as pool:
        results = list(pool.map(_fails_without, selected))
    for mechanism, is_failing in zip(selected, results):
        name = mechanism.name.replace(" ", "_").replace("-", "_")
        report.add(f"passes_without_{name}", int(not is_failing), "tests", 0)
