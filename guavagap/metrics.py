"""Metrics of one node in the Prometheus text format."""

import gc
import resource

from aioprometheus import Counter, Gauge, Registry, render

from guavagap.backend_proxy import BackendProxy
from guavagap.codec import dropped_items
from guavagap.declarations import UnknownValue
from guavagap.tasks import failed_steps

__all__ = ["NodeMetrics"]


# Names from outside may contain them.
ESCAPED_CHARACTERS = frozenset('\\"\n')
# Shown while there is no proof, since not all readers of the format accept infinity.
NO_PROOF_AGE_S = 1e6


class NodeMetrics:
    """Registry of metrics that is updated from a node's counters when it is rendered.

    Args:
        node: the node.
    """

    def __init__(self, node):
        self._node = node
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._unknown_values: set[UnknownValue] = set()
        self._cold_ids: set[str] = set()
        # Metric and backend server of the series of this and of the last collection.
        self._server_series: set[tuple[str, str]] = set()
        self._former_server_series: set[tuple[str, str]] = set()
        self._registry.register(node.proxy.latency_s)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in the text format and their content type."""
        self._collect()
        body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]

    def _set_counter(
        self, name: str, help_text: str, value: float, /, **labels: str
    ) -> None:
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(f"guavagap_{name}", help_text, registry=self._registry)
            self._counters[name] = counter
        labels = _escape_labels(labels)
        counter.set(labels, value)
        self._note_server(name, labels)

    def _set_gauge(
        self, name: str, help_text: str, value: float, /, **labels: str
    ) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"guavagap_{name}", help_text, registry=self._registry)
            self._gauges[name] = gauge
        labels = _escape_labels(labels)
        gauge.set(labels, value)
        self._note_server(name, labels)

    def _note_server(self, name: str, labels: dict[str, str]) -> None:
        if "server" in labels:
            self._server_series.add((name, labels["server"]))

    def _remove_absent_servers(self) -> None:
        """Remove the series of backend servers that are known no longer.

        Any writer of heartbeats can name new ones.
        """
        for name, server_id in self._former_server_series - self._server_series:
            collector = self._gauges.get(name) or self._counters[name]
            del collector.values[{"server": server_id}]
        self._former_server_series = self._server_series
        self._server_series = set()

    def _collect(self) -> None:
        self._collect_process()
        self._collect_clients()
        self._collect_configuration()
        self._collect_mesh()
        self._collect_proxy()
        self._collect_evacuation()
        self._collect_cold_servers()
        self._remove_absent_servers()
        self._collect_customers()
        self._collect_quotas()

    def _collect_process(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        self._set_counter("process_cpu_seconds_total", "Processor time used.", cpu_s)
        self._set_gauge(
            "process_resident_bytes", "Resident memory.", read_resident_bytes()
        )
        for step, value in failed_steps.items():
            self._set_counter(
                "failed_steps_total", "Failed steps of loops.", value, step=step
            )
        for message, value in dropped_items.items():
            self._set_counter(
                "message_items_dropped_total",
                "Items that messages could not hold.",
                value,
                message=message,
            )
        collections = sum(generation["collections"] for generation in gc.get_stats())
        self._set_counter(
            "garbage_collections_total", "Runs of the collector.", collections
        )

    def _collect_clients(self) -> None:
        clients = self._node.clients
        self._set_gauge(
            "client_held_bytes", "Bytes of clients that are held.", clients.held_bytes
        )
        self._set_gauge(
            "client_held_bytes_limit",
            "Limit of the bytes of clients.",
            clients.limits.held_bytes,
        )
        for listener in clients.listeners:
            self._set_gauge(
                "client_connections",
                "Connections by listener.",
                len(listener.accounts),
                listener=listener.name,
            )
            self._set_gauge(
                "client_connections_limit",
                "Limit of the connections.",
                listener.max_connections,
                listener=listener.name,
            )
        for reason, value in clients.counts.items():
            self._set_counter(
                "clients_refused_total",
                "Clients refused or dropped.",
                value,
                reason=reason,
            )

    def _collect_configuration(self) -> None:
        node = self._node
        configuration = node.configuration
        self._set_gauge("config_epoch", "Epoch applied.", configuration.epoch)
        self._set_gauge("ready", "1 when the node serves callers.", int(node.is_ready))
        self._set_gauge(
            "config_rejected_services",
            "Services whose latest version is rejected here.",
            len(configuration.rejections),
        )
        self._collect_unknown_values()
        self._set_gauge(
            "config_split_epochs",
            "Epochs seen with two contents.",
            len(node.disseminator.conflicting_epochs),
        )
        self._set_gauge(
            "platform_went_back",
            "1 when the platform shows an older history.",
            int(node.relay.has_regressed),
        )
        self._collect_store()
        self._set_gauge(
            "relay_held", "1 while this node is relay.", int(node.relay.is_active)
        )
        self._set_gauge("rollback_notices", "Notices held.", len(node.notices))
        for kind, value in node.deployment.call_counts.items():
            self._set_counter(
                "platform_calls_total", "Calls by kind.", value, kind=kind
            )
        for way, value in node.disseminator.counts.items():
            self._set_counter("config_deltas_total", "Deltas by way.", value, way=way)

    def _collect_store(self) -> None:
        node = self._node
        self._set_gauge(
            "store_history_era",
            "History of the store that was read.",
            node.deployment.history_era,
        )
        self._set_gauge(
            "store_keys_behind",
            "Keys of which the store shows something older than is in force.",
            len(node.configuration.keys_behind),
        )
        for what, value in node.deployment.recovery_counts.items():
            self._set_counter(
                "store_recoveries_total",
                "Restores of the store, and what was written again, by kind.",
                value,
                what=what,
            )

    def _collect_unknown_values(self) -> None:
        """Set 1 for each value in use, and 0 for those of earlier declarations."""
        current = set(self._node.configuration.unknown_values)
        for unknown in self._unknown_values | current:
            self._set_gauge(
                "config_unknown_values",
                "1 while a default is used in place of a declared value.",
                int(unknown in current),
                **unknown._asdict(),
            )
        self._unknown_values = current

    def _collect_mesh(self) -> None:
        node = self._node
        self._set_gauge("members", "Members that are alive.", len(node.table.alive()))
        self._set_gauge(
            "failure_domains_unreachable",
            "Failure domains that do not answer.",
            len(node.table.unreachable_domains),
        )
        self._set_counter(
            "links_refused_total", "Links refused.", node.links.refused_count
        )
        for name, value in node.membership.counts.items():
            self._set_counter("datagrams_total", "Datagram counts.", value, what=name)
        for name, values in node.traffic._asdict().items():
            for frame, value in values.items():
                self._set_counter(
                    f"link_{name}_total", "Link traffic by frame.", value, frame=frame
                )

    def _collect_proxy(self) -> None:
        node = self._node
        self._set_gauge("requests_in_flight", "Requests.", node.proxy.in_flight)
        self._set_gauge(
            "caller_connections", "Connections.", node.proxy.connection_count
        )
        self._set_gauge("direct_connections", "Connections.", node.direct.open_count())
        self._set_gauge(
            "quarantined_requests", "Fingerprints.", node.poison.quarantined_count
        )
        self._set_gauge(
            "crash_reports", "Crash reports on requests.", node.poison.report_count
        )
        for what, value in node.poison.counts.items():
            self._set_counter(
                "quarantine_changes_total",
                "Quarantines begun, learnt from other nodes, tried and ended, requests"
                " refused by them, and fingerprints dropped for want of room.",
                value,
                what=what,
            )
        for what, value in node.proxy.counts.items():
            self._set_counter("requests_total", "Request counts.", value, what=what)
        for server_id, backend_proxy in node.backend_proxies.items():
            self._set_gauge(
                "admitted_requests",
                "Requests admitted over links.",
                backend_proxy.admission.in_flight,
                server=server_id,
            )
            self._set_gauge(
                "queued_requests",
                "Requests that wait for a slot.",
                backend_proxy.admission.queue_length,
                server=server_id,
            )
            self._set_gauge(
                "permits_counted",
                "Direct connections counted against the limit.",
                backend_proxy.permits.counted(),
                server=server_id,
            )
            self._collect_pace(server_id, backend_proxy)

    def _collect_pace(self, server_id: str, backend_proxy: BackendProxy) -> None:
        pace, admission = backend_proxy.pace, backend_proxy.admission
        if pace is None:
            return
        self._set_gauge(
            "pace_limit",
            "Requests that a backend server may run at once, its slots if warm.",
            pace.limit,
            server=server_id,
        )
        self._set_counter(
            "pace_refusals_total",
            "Requests refused while a backend server ramped up.",
            pace.refused_count,
            server=server_id,
        )
        self._set_counter(
            "pace_exceeded_total",
            "Requests admitted beyond the limit, since no other server had room.",
            admission.exceeded_count,
            server=server_id,
        )

    def _collect_evacuation(self) -> None:
        evacuation = self._node.evacuation
        self._set_gauge(
            "evacuated_failure_domains",
            "Failure domains whose backend servers get no requests.",
            len(evacuation.domains),
        )
        self._set_counter(
            "evacuation_refusals_total",
            "Requests that this node has refused for its backend servers.",
            evacuation.refused_count,
        )

    def _collect_cold_servers(self) -> None:
        """Set 1 for each cold backend server, and 0 for those that were cold."""
        cold_servers = self._node.cold_servers
        self._set_counter(
            "health_probes_total", "Health probes sent.", cold_servers.probe_count
        )
        cold_ids = set(cold_servers.cold_ids())
        known_ids = self._node.backend_proxies.keys()
        self._cold_ids = cold_ids.union(self._cold_ids & known_ids)
        for server_id in self._cold_ids:
            self._set_gauge(
                "cold_servers",
                "1 while a backend server is cold and takes few requests.",
                int(server_id in cold_ids),
                server=server_id,
            )
        for server_id, value in cold_servers.refused_counts.items():
            self._set_counter(
                "cold_refusals_total",
                "Requests refused while a backend server was cold.",
                value,
                server=server_id,
            )

    def _collect_customers(self) -> None:
        proofs, counts = self._node.proofs, self._node.proxy.customer_counts
        age_s = proofs.tracked_age_s()
        if age_s is not None:
            self._set_gauge(
                "configuration_age_seconds",
                "Age of the proof that the configuration is the newest one.",
                min(age_s, NO_PROOF_AGE_S),
            )
        for source, value in proofs.counts.items():
            self._set_counter(
                "configuration_proofs_total",
                "Proofs of the configuration's age by source, and failed attempts.",
                value,
                source=source,
            )
        for reason, value in counts.refusals.items():
            self._set_counter(
                "credentials_refused_total",
                "Requests refused for their credentials.",
                value,
                reason=reason,
            )
        for customer, value in counts.requests.items():
            self._set_counter(
                "customer_requests_total",
                "Requests with a valid key.",
                value,
                customer=customer,
            )
        for customer, value in counts.not_run.items():
            self._set_counter(
                "customer_requests_not_run_total",
                "Requests with a valid key that were not run.",
                value,
                customer=customer,
            )

    def _collect_quotas(self) -> None:
        quotas = self._node.quotas
        for customer, use in quotas.use().items():
            for outcome, value in use._asdict().items():
                self._set_counter(
                    "quota_requests_total",
                    "Requests of customers with a quota, by outcome.",
                    value,
                    customer=customer,
                    outcome=outcome,
                )
        state = quotas.describe()
        self._set_gauge("quotas", "Customers with a quota.", state.quotas)
        self._set_gauge("quotas_held", "Quotas held for the domain.", state.held)
        self._set_gauge(
            "quota_rate_lent_per_s", "Rate lent to other nodes.", state.lent_per_s
        )
        self._set_gauge(
            "quota_rate_borrowed_per_s",
            "Rate borrowed from other nodes.",
            state.borrowed_per_s,
        )


def _escape_labels(labels: dict[str, str]) -> dict[str, str]:
    """Return labels as they are written; the renderer does not escape them."""
    return {name: _escape(value) for name, value in labels.items()}


def _escape(text: str) -> str:
    if not ESCAPED_CHARACTERS.intersection(text):
        return text
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize()
