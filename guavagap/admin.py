"""Admin API: status, metrics, fault injection and backend server announcements."""

import json
import math

from guavagap.announcements import decode_announcement
from guavagap.errors import GuavagapError
from guavagap.faults import decode_blocked
from guavagap.http_messages import HttpRequest, HttpResponse
from guavagap.messages import MemberState
from guavagap.metrics import NodeMetrics
from guavagap.quotas import NO_USE

__all__ = ["AdminApi", "customers_of", "quarantines_of", "status_of"]

ANNOUNCEMENT_PREFIX = "/backend-servers/"
QUARANTINE_PREFIX = "/quarantines/"
_JSON_HEADERS = [(b"content-type", b"application/json")]


def _json_response(status: int, value: object) -> HttpResponse:
    return HttpResponse(status, _JSON_HEADERS, json.dumps(value).encode())


def _members_status(node) -> list[dict]:
    return [
        {
            "node_id": row.node_id,
            "state": MemberState(row.state).name.lower(),
            "incarnation": row.incarnation,
            "region": row.region,
            "failure_domain": row.failure_domain,
            "admin_address": row.admin_address,
            "is_relay": row.is_relay,
            "backend_servers": [server._asdict() for server in row.backend_servers],
        }
        for row in node.table.rows()
    ]


def _pools_status(node) -> dict[str, list[dict]]:
    pools: dict[str, list[dict]] = {}
    for target in node.directory.all_targets():
        server = target.server
        pools.setdefault(f"{server.service}/{server.pool}", []).append(
            {
                "server_id": server.server_id,
                "version": server.version,
                "failure_domain": target.failure_domain,
                "in_flight": target.health.in_flight,
            }
        )
    return pools


def _quotas_status(node) -> dict:
    use = node.quotas.use()
    return {
        **node.quotas.describe()._asdict(),
        "customers": {customer: counts._asdict() for customer, counts in use.items()},
    }


def _alarms(node) -> list[str]:
    alarms = []
    if node.relay.has_regressed:
        alarms.append("platform went back in time")
    if node.configuration.keys_behind:
        keys = ", ".join(sorted(node.configuration.keys_behind))
        alarms.append(f"the store shows an older state of {keys}")
    if node.disseminator.conflicting_epochs:
        alarms.append("an epoch has two contents")
    if node.configuration.rejections:
        alarms.append("configuration rejected")
    for failure_domain in sorted(node.table.unreachable_domains):
        alarms.append(f"failure domain {failure_domain} unreachable")
    for failure_domain in sorted(node.evacuation.domains):
        alarms.append(f"failure domain {failure_domain} evacuated")
    for failure_domain in sorted(node.evacuation.unknown_domains):
        alarms.append(f"evacuation of unknown failure domain {failure_domain}")
    return alarms


def status_of(node) -> dict:
    """Return the status of a node as JSON values."""
    return {
        "node_id": node.settings.node_id,
        "is_ready": node.is_ready,
        "is_draining": node.is_draining,
        "is_relay": node.relay.is_active,
        "epoch": node.configuration.epoch,
        "head_digest": node.configuration.head_digest,
        "platform_epoch": node.relay.platform_epoch,
        "store": {
            "era": node.deployment.history_era,
            "keys_behind": sorted(node.configuration.keys_behind),
            "recoveries": dict(node.deployment.recovery_counts),
        },
        "services": node.configuration.describe_services(),
        "pools": _pools_status(node),
        "members": _members_status(node),
        "quotas": _quotas_status(node),
        "notices": [notice._asdict() for notice in node.notices.all()],
        "evacuated_domains": sorted(node.evacuation.domains),
        "crash_reports": node.poison.report_count,
        "cold_servers": node.cold_servers.cold_ids(),
        "alarms": _alarms(node),
    }


def customers_of(node) -> dict:
    """Return the customers of a node, without their keys, as JSON values.

    Requests and refusals are counts since the start of the process; the customers that
    are counted together have no counts of their own.
    """
    counts = node.proxy.customer_counts
    quota_use = node.quotas.use()
    age_s = node.proofs.tracked_age_s()
    return {
        "node_id": node.settings.node_id,
        "is_current": node.proofs.is_current(),
        "proof_age_s": None if age_s is None or age_s == math.inf else age_s,
        "refusals": dict(counts.refusals),
        "customers": [
            {
                "name": customer.name,
                "key_count": len(customer.key_digests),
                "priority": customer.priority,
                "rate_per_s": customer.rate_per_s,
                "burst": customer.burst,
                "requests": counts.requests.get(customer.name, 0),
                "refusals": counts.refusals_of(customer.name),
                "quota_use": quota_use.get(customer.name, NO_USE)._asdict(),
            }
            for customer in node.configuration.snapshot.customers.customers
        ],
    }


def quarantines_of(node) -> dict:
    """Return the quarantined requests of a node as JSON values."""
    return {
        "node_id": node.settings.node_id,
        "quarantines": [
            {**item._asdict(), "fingerprint": item.fingerprint.hex()}
            for item in node.poison.quarantines()
        ],
    }


class AdminApi:
    """Request handler of the admin port.

    Args:
        node: the node.
    """

    def __init__(self, node):
        self._node = node
        self._metrics = NodeMetrics(node)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        path = request.target.decode("latin-1")
        method = request.method
        if path == "/status" and method == b"GET":
            return _json_response(200, status_of(self._node))
        if path == "/customers" and method == b"GET":
            return _json_response(200, customers_of(self._node))
        if path == "/quarantines" and method == b"GET":
            return _json_response(200, quarantines_of(self._node))
        if path.startswith(QUARANTINE_PREFIX) and method == b"DELETE":
            return self._clear_quarantine(path.removeprefix(QUARANTINE_PREFIX))
        if path == "/metrics" and method == b"GET":
            body, content_type = self._metrics.render()
            return HttpResponse(200, [(b"content-type", content_type.encode())], body)
        if path == "/faults" and method == b"PUT":
            return await self._inject_faults(request.body)
        if path.startswith(ANNOUNCEMENT_PREFIX):
            server_id = path.removeprefix(ANNOUNCEMENT_PREFIX)
            if method == b"PUT":
                return await self._announce(server_id, request.body)
            if method == b"DELETE":
                return await self._drain_server(server_id)
        return _json_response(404, {"error": f"not found: {method.decode()} {path}"})

    def _clear_quarantine(self, fingerprint: str) -> HttpResponse:
        try:
            is_cleared = self._node.poison.clear(bytes.fromhex(fingerprint))
        except ValueError:
            return _json_response(422, {"error": "not a fingerprint"})
        if not is_cleared:
            return _json_response(404, {"error": f"{fingerprint} is not quarantined"})
        self._node.request_gossip()
        return _json_response(200, {"is_cleared": True})

    async def _inject_faults(self, body: bytes) -> HttpResponse:
        if not self._node.settings.allow_fault_injection:
            return _json_response(403, {"error": "fault injection is not allowed"})
        try:
            self._node.blocked.replace(decode_blocked(body))
        except ValueError as error:
            return _json_response(422, {"error": str(error)})
        await self._node.links.close_blocked()
        return _json_response(200, {})

    async def _announce(self, server_id: str, body: bytes) -> HttpResponse:
        if self._node.is_draining:
            return _json_response(503, {"error": "this node is shutting down"})
        decoded = decode_announcement(body)
        if decoded.is_error():
            return _json_response(422, {"error": decoded.error})
        if not server_id:
            return _json_response(
                422, {"error": "the backend server identifier is missing"}
            )
        try:
            self._node.announcements.announce(server_id, decoded.ok)
        except GuavagapError as error:
            return _json_response(422, {"error": error.detail})
        await self._node.apply_announcements()
        return _json_response(200, {"server_id": server_id})

    async def _drain_server(self, server_id: str) -> HttpResponse:
        if not self._node.announcements.drain(server_id):
            return _json_response(404, {"error": f"{server_id} is not announced"})
        await self._node.apply_announcements()
        return _json_response(200, {"server_id": server_id, "is_draining": True})
