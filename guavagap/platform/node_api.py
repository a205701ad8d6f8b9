"""HTTP API of a node for the platform and for backend servers."""

import json
from urllib.parse import unquote

from guavagap.announcements import check_server_id
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.http_messages import (
    HttpRequest,
    HttpResponse,
    accept_connections,
    serve_http,
)
from guavagap.logs import get_logger
from guavagap.platform.decode import decode_report
from guavagap.tcp import open_listener

__all__ = ["serve_node_api"]

log = get_logger()

READY_PATH = "/api/ready"
INSTANCES_PREFIX = "/api/instances/"
_JSON_HEADERS = [(b"content-type", b"application/json")]


async def serve_node_api(node) -> None:
    """Serve readiness checks and heartbeats of backend servers until cancelled."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return await _handle(node, request)

    async def serve(sock):
        await serve_http(sock, handle, node.clients.api)

    addresses = {node.settings.ready_address, node.settings.report_address}
    listeners = [open_listener(address) for address in addresses if address]
    for listener in listeners[1:]:
        await node.scope.spawn(accept_connections, listener, node.scope, serve)
    await accept_connections(listeners[0], node.scope, serve)


async def _handle(node, request: HttpRequest) -> HttpResponse:
    path = unquote(request.target.decode("latin-1").partition("?")[0])
    if path == READY_PATH and request.method == b"GET":
        is_ready = node.is_ready and not node.is_draining
        return _json_response(200 if is_ready else 503, {})
    if path.startswith(INSTANCES_PREFIX):
        server_id = path.removeprefix(INSTANCES_PREFIX)
        if request.method == b"PUT":
            return await _apply_heartbeat(node, server_id, request.body)
        if request.method == b"DELETE":
            return await _drain_server(node, server_id)
    return _json_response(
        404, {"error": f"not found: {request.method.decode()} {path}"}
    )


async def _apply_heartbeat(node, server_id: str, body: bytes) -> HttpResponse:
    try:
        is_recorded = await node.apply_report(decode_report(server_id, body))
    except GuavagapError as error:
        if error.kind is not ErrorKind.BAD_REQUEST:
            raise
        log.warning("heartbeat rejected", server=server_id[:80], why=error.detail)
        return _json_response(400, {"error": error.detail})
    return _acknowledge(server_id, is_recorded)


async def _drain_server(node, server_id: str) -> HttpResponse:
    try:
        check_server_id(server_id)
    except GuavagapError as error:
        log.warning("leaving rejected", server=server_id[:80], why=error.detail)
        return _json_response(400, {"error": error.detail})
    return _acknowledge(server_id, await node.drain_server(server_id))


def _acknowledge(server_id: str, is_recorded: bool) -> HttpResponse:
    """Acknowledge what the next process of this node will know too.

    A backend server that gets no acknowledgement reports again.
    """
    if is_recorded:
        return _json_response(200, {})
    log.warning("leaving not acknowledged", server=server_id, why="not recorded")
    return _json_response(503, {"error": "not recorded outside of this node"})


def _json_response(status: int, value: dict) -> HttpResponse:
    return HttpResponse(status, _JSON_HEADERS, json.dumps(value).encode())
