"""The daemon ``guavagapd``, which runs once on each backend server VM."""

import gc
import signal
import sys

import click
import curio

from guavagap import __version__
from guavagap.admin import AdminApi
from guavagap.clock import steady_s
from guavagap.errors import EXIT_DONE, EXIT_USAGE, GuavagapError
from guavagap.http_messages import accept_connections, serve_http
from guavagap.logs import configure_logs, get_logger
from guavagap.node import Node, open_node
from guavagap.settings import Settings, daemon_options, settings_from_options
from guavagap.shutdown import open_signal_socket
from guavagap.tcp import open_listener

__all__ = ["main", "run", "run_daemon"]

log = get_logger()

DRAIN_POLL_INTERVAL_S = 0.05
# The rest of the drain timeout is left for shutdown before the process is killed.
DRAIN_TIMEOUT_SHARE = 0.93
GC_GENERATION_0_THRESHOLD = 20_000
GC_GENERATION_1_THRESHOLD = 50
GC_GENERATION_2_THRESHOLD = 1000


def _tune_collector() -> None:
    """Exclude start-up objects from garbage collection and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GC_GENERATION_0_THRESHOLD, GC_GENERATION_1_THRESHOLD, GC_GENERATION_2_THRESHOLD
    )


async def run_daemon(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it."""
    stop = _StopRequest()
    with open_signal_socket() as signals:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_run_node, settings, stop)
            await group.spawn(_request_stop, signals, stop)
    return group.result


class _StopRequest:
    """Passes a signal to stop on to the task that runs the node.

    Attributes:
        is_node_started: whether the node is started, and therefore has to be drained.
        received: set when the node has to stop.
    """

    def __init__(self):
        self.is_node_started = False
        self.received = curio.Event()


async def _run_node(settings: Settings, stop: _StopRequest) -> None:
    async with open_node(settings) as node:
        acceptor = await _start(node)
        if settings.garbage_collector == "tamed":
            _tune_collector()
        stop.is_node_started = True
        log.info("node started", version=__version__)
        await stop.received.wait()
        log.info("node draining", in_flight=node.proxy.in_flight)
        await _drain(node, acceptor)
        log.info("node stopped", in_flight=node.proxy.in_flight)


async def _request_stop(signals, stop: _StopRequest) -> None:
    """Wait for a signal; return if there is nothing to drain yet.

    A node may wait for the store for long before it is started.
    """
    await _wait_for_stop_signal(signals)
    if not stop.is_node_started:
        log.info("stopped before the node was started")
        return
    await stop.received.set()
    await curio.Event().wait()


async def _wait_for_stop_signal(signals) -> None:
    """Return on SIGTERM or SIGINT; ignore SIGHUP, since settings are not reloaded."""
    while True:
        number = (await signals.recv(1))[0]
        if number != signal.SIGHUP:
            return
        log.info("SIGHUP ignored", outcome="settings are read at start-up only")


async def _start(node: Node) -> curio.Task:
    """Start the tasks of a node; return the one that accepts caller connections."""
    settings, scope = node.settings, node.scope
    admin = AdminApi(node)

    async def serve_admin(sock):
        await serve_http(sock, admin.handle, node.clients.admin)

    caller_listener = open_listener(settings.caller_address)
    link_listener = open_listener(settings.link_address)
    admin_listener = open_listener(settings.admin_address)
    node.membership.listen()
    await scope.spawn_supervised(node.membership.receive_forever, scope)
    await scope.spawn_supervised(node.membership.probe_forever)
    await scope.spawn_supervised(
        accept_connections, link_listener, scope, node.links.serve
    )
    await scope.spawn_supervised(accept_connections, admin_listener, scope, serve_admin)
    await scope.spawn_supervised(node.relay.run, scope)
    await scope.spawn_supervised(node.run_housekeeping)
    await scope.spawn_supervised(node.proxy.connection_watcher.run)
    await scope.spawn_supervised(node.clients.run)
    await scope.spawn_supervised(node.evaluator.run)
    await scope.spawn_supervised(node.quotas.run)
    await node.deployment.start(node)
    await scope.spawn(node.sync_configuration)
    return await scope.spawn_supervised(
        accept_connections, caller_listener, scope, node.proxy.serve
    )


async def _drain(node: Node, acceptor: curio.Task) -> None:
    """Leave the mesh, then wait for requests in flight within the drain timeout.

    Where callers need time to notice that the node is not ready, it goes on serving
    them and other nodes for that time. This shortens the absence of its backend server.
    """
    node.is_draining = True
    drain_deadline_s = steady_s() + node.settings.drain_timeout_s * DRAIN_TIMEOUT_SHARE
    await curio.sleep(node.deployment.accept_grace_s)
    await node.quotas.leave()
    await node.leave()
    await acceptor.cancel()
    # From now on a request whose deadline is after the drain deadline is refused.
    node.drain_deadline_s = drain_deadline_s
    # Peers notice the shutdown by their next message, and callers with persistent
    # connections by their next response.
    grace_s = min(node.deployment.leave_grace_s, node.settings.drain_timeout_s)
    await curio.sleep(grace_s)
    while steady_s() < drain_deadline_s and _work_in_flight(node):
        await curio.sleep(DRAIN_POLL_INTERVAL_S)


def _work_in_flight(node: Node) -> int:
    admitted = sum(
        backend_proxy.admission.in_flight
        for backend_proxy in node.backend_proxies.values()
    )
    return node.proxy.in_flight + admitted


@click.command(context_settings={"auto_envvar_prefix": "GUAVAGAP"})
@daemon_options
def main(**options):
    """Run a mesh node. The mesh key is read only from GUAVAGAP_MESH_KEY."""
    settings = settings_from_options(options)
    configure_logs(settings.log_level, settings.node_id)
    curio.run(run_daemon, settings)


def run() -> None:
    """Run the command; report an invalid setting as one line with exit code 2."""
    try:
        main(standalone_mode=False)
    except click.UsageError as error:
        print(f"guavagapd: {_usage_line(error)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except GuavagapError as error:
        print(f"guavagapd: {error.detail}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except click.Abort:
        pass
    sys.exit(EXIT_DONE)


def _usage_line(error: click.UsageError) -> str:
    return " ".join(error.format_message().split())


if __name__ == "__main__":
    run()
