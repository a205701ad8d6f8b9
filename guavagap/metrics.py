"""Metrics of one node in the Prometheus text format."""

import gc
import resource

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["NodeMetrics"]


class NodeMetrics:
    """Copies the node's plain counts into a registry when it is read.

    Args:
        node: the node.
    """

    def __init__(self, node):
        self._node = node
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._registry.register(node.proxy.latency_s)

    def render(self) -> tuple[bytes, str]:
        """Return the text and its content type."""
        self._collect()
        body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]

    def _count(self, name: str, doc: str, value: float, **labels: str) -> None:
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(f"guavagap_{name}", doc, registry=self._registry)
            self._counters[name] = counter
        counter.set(labels, value)

    def _gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"guavagap_{name}", doc, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def _collect(self) -> None:
        self._collect_process()
        self._collect_configuration()
        self._collect_mesh()
        self._collect_proxy()

    def _collect_process(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        self._count("process_cpu_seconds_total", "Processor time used.", cpu_s)
        self._gauge("process_resident_bytes", "Resident memory.", read_resident_bytes())
        collections = sum(item["collections"] for item in gc.get_stats())
        self._count("garbage_collections_total", "Runs of the collector.", collections)

    def _collect_configuration(self) -> None:
        node = self._node
        configuration = node.configuration
        self._gauge("config_epoch", "Epoch applied.", configuration.epoch)
        self._gauge("ready", "1 when the node serves callers.", int(node.is_ready))
        self._gauge(
            "config_rejected_services",
            "Services whose latest version is rejected here.",
            len(configuration.rejections),
        )
        self._gauge(
            "config_split_epochs",
            "Epochs seen with two contents.",
            len(node.disseminator.split_epochs),
        )
        self._gauge(
            "platform_went_back",
            "1 when the platform shows an older history.",
            int(node.relay.went_back),
        )
        self._gauge(
            "relay_held", "1 while this node is relay.", int(node.relay.is_held)
        )
        self._gauge("rollback_notices", "Notices held.", len(node.notices))
        for kind, value in node.deployment.call_counts.items():
            self._count("platform_calls_total", "Calls by kind.", value, kind=kind)
        for way, value in node.disseminator.counts.items():
            self._count("config_deltas_total", "Deltas by way.", value, way=way)

    def _collect_mesh(self) -> None:
        node = self._node
        self._gauge("members", "Members that are alive.", len(node.table.alive()))
        self._gauge(
            "failure_domains_unreachable",
            "Failure domains that do not answer.",
            len(node.table.unreachable_domains),
        )
        self._count("links_refused_total", "Links refused.", node.links.refused_count)
        for name, value in node.membership.counts.items():
            self._count("datagrams_total", "Datagram counts.", value, what=name)
        for name, values in node.traffic._asdict().items():
            for frame, value in values.items():
                self._count(
                    f"link_{name}_total", "Link traffic by frame.", value, frame=frame
                )

    def _collect_proxy(self) -> None:
        node = self._node
        self._gauge("requests_in_flight", "Requests.", node.proxy.in_flight)
        self._gauge("caller_connections", "Connections.", node.proxy.connection_count)
        self._gauge("direct_connections", "Connections.", node.direct.open_count())
        self._gauge(
            "quarantined_requests", "Fingerprints.", node.poison.quarantined_count
        )
        for what, value in node.proxy.counts.items():
            self._count("requests_total", "Request counts.", value, what=what)
        for server_id, front in node.fronts.items():
            self._gauge(
                "admitted_requests",
                "Requests admitted over links.",
                front.admission.in_flight,
                server=server_id,
            )
            self._gauge(
                "queued_requests",
                "Requests that wait for a slot.",
                front.admission.queue_length,
                server=server_id,
            )
            self._gauge(
                "permits_counted",
                "Direct connections counted against the limit.",
                front.permits.counted(),
                server=server_id,
            )


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize()
