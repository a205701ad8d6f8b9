"""The command line interface ``guavagap``.

Exit codes: 0 done, 1 refused or rolled back, 2 usage error, 3 platform unreachable. The
check of an operator's configuration has 2 for whatever keeps it from running.
"""

import getpass
import json
import sys
from datetime import datetime, timezone
from pathlib import Path

import click
import curio

from guavagap import __version__, configuration_check, porcelain
from guavagap.addresses import Address, parse_address
from guavagap.errors import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_USAGE,
    ErrorKind,
    GuavagapError,
    error_spec,
)
from guavagap.logs import configure_command_logs
from guavagap.platform.key_value import open_key_value_store
from guavagap.request_trace import describe_trace, read_log, trace_request
from guavagap.settings import parse_platform_url
from guavagap.store_positions import describe_epoch

__all__ = ["main", "run"]

DEFAULT_LOG_LIMIT = 20
DEFAULT_WAIT_S = 3600.0
# The memory of most VMs.
DEFAULT_VM_MEMORY_MB = 200
CONFIGURATION_SUFFIX = ".json"
_PATHS = click.argument(
    "paths", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)


class _Context:
    """Options shared by all commands."""

    def __init__(self, platform: Address | None, admin: Address | None, is_json: bool):
        self.platform = platform
        self.admin = admin
        self.is_json = is_json

    def call(self, function, *args):
        """Run ``function(platform, *args)`` with a client of the platform."""
        if self.platform is None:
            raise GuavagapError(
                ErrorKind.SETTING_INVALID,
                "the platform is not set; pass --platform-url http://IP:PORT"
                " or set GUAVAGAP_PLATFORM_URL",
            )
        return curio.run(_with_platform, self.platform, function, args)

    def call_mesh(self, function, *args):
        """Run ``function(platform, admin, *args)`` with what is set to find a node."""
        if self.admin is not None:
            return curio.run(function, None, self.admin, *args)
        return self.call(function, None, *args)

    def show(self, value: object, text: str) -> None:
        """Print ``value`` as JSON or print ``text``, depending on ``--output``."""
        click.echo(json.dumps(value, default=str) if self.is_json else text)


async def _with_platform(address: Address, function, args):
    async with open_key_value_store(address) as platform:
        return await function(platform, *args)


def _parse_option(parse, text: str | None, expected: str):
    if text is None:
        return None
    try:
        return parse(text)
    except ValueError:
        raise click.BadParameter(f"{text!r} is not {expected}") from None


@click.group(context_settings={"auto_envvar_prefix": "GUAVAGAP"})
@click.version_option(__version__)
@click.option("--platform-url", help="URL of the key-value service, http://IP:PORT.")
@click.option("--admin-address", help="Admin address of any node, IP:PORT.")
@click.option(
    "--output", type=click.Choice(["text", "json"]), default="text", show_default=True
)
@click.pass_context
def main(context, platform_url, admin_address, output):
    """Manage the configuration of the service mesh."""
    configure_command_logs()
    context.obj = _Context(
        _parse_option(parse_platform_url, platform_url, "http://IP:PORT"),
        _parse_option(parse_address, admin_address, "IP:PORT"),
        output == "json",
    )


@main.command()
@_PATHS
@click.option(
    "--current",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Configuration in force; default: that of the store, if its URL is set.",
)
@click.option(
    "--vm-memory-mb",
    default=DEFAULT_VM_MEMORY_MB,
    show_default=True,
    type=click.IntRange(1),
    help="Memory of a VM.",
)
@click.pass_obj
def check(context, paths, current, vm_memory_mb):
    """Validate documents, or an operator's configuration in a .json file.

    Nothing is changed. Exit code 0: no findings; 1: findings; 2: it could not run.
    With --admin-address, attempts are compared with the backend servers of the mesh.
    """
    if len(paths) == 1 and paths[0].suffix == CONFIGURATION_SUFFIX:
        _check_configuration(context, paths[0], current, vm_memory_mb)
        return
    checked = porcelain.check_files(list(paths))
    if checked.is_error():
        problems = [problem._asdict() for problem in checked.error]
        text = "\n".join(str(problem) for problem in checked.error)
        context.show({"problems": problems}, text)
        sys.exit(EXIT_REFUSED)
    names = [document["service"] for document in checked.ok]
    context.show({"problems": []}, f"valid: {', '.join(names)}")


def _check_configuration(
    context, path: Path, current: Path | None, vm_memory_mb: int
) -> None:
    try:
        result = curio.run(
            configuration_check.check_configuration,
            path,
            configuration_check.CheckOptions(
                current, context.platform, context.admin, vm_memory_mb
            ),
        )
    except (GuavagapError, OSError) as error:
        click.echo(f"guavagap: {error}", err=True)
        sys.exit(EXIT_USAGE)
    context.show(result.to_json(), result.describe())
    if result.findings:
        sys.exit(EXIT_REFUSED)


@main.command()
@_PATHS
@click.option(
    "--author",
    default=getpass.getuser,
    help="Author of the change; default: the login name.",
)
@click.option(
    "--message", "-m", default="", help="Reason for the change, for the audit trail."
)
@click.pass_obj
def apply(context, paths, author, message):
    """Commit documents atomically."""
    commit = context.call(porcelain.apply_files, list(paths), author, message)
    if not commit.versions:
        context.show(commit._asdict(), f"no changes, epoch {commit.epoch}")
        return
    names = ", ".join(f"{name} {number}" for name, number in commit.versions.items())
    context.show(commit._asdict(), f"accepted at epoch {commit.epoch}: {names}")


@main.command()
@click.argument("service")
@click.option("--author", default=getpass.getuser)
@click.option("--message", "-m", default="")
@click.pass_obj
def delete(context, service, author, message):
    """Delete a service and its routes."""
    commit = context.call(porcelain.delete, service, author, message)
    context.show(commit._asdict(), f"deleted at epoch {commit.epoch}: {service}")


@main.command()
@click.argument("service")
@click.pass_obj
def get(context, service):
    """Show the accepted document of a service."""
    accepted = context.call(porcelain.get_document, service)
    text = (
        f"# version {accepted.entry['version']} by {accepted.entry['author']}\n"
        f"# to edit it, set edited_from = {accepted.entry['version']}\n"
        + json.dumps(accepted.document, indent=2, sort_keys=True)
    )
    context.show(accepted._asdict(), text)


@main.command()
@_PATHS
@click.pass_obj
def diff(context, paths):
    """Compare documents with the accepted ones."""
    lines = context.call(porcelain.diff_files, list(paths))
    context.show(lines, "\n".join(lines) or "no differences")


@main.command()
@click.argument("service", required=False)
@click.option("--limit", default=DEFAULT_LOG_LIMIT, type=click.IntRange(1, 10_000))
@click.pass_obj
def log(context, service, limit):
    """Show the audit trail, newest first."""
    changes = context.call(porcelain.list_changes, limit, service)
    context.show(changes, "\n".join(_format_change(change) for change in changes))


def _format_change(change) -> str:
    time_text = datetime.fromtimestamp(
        change["committed_at_s"], timezone.utc
    ).isoformat(timespec="seconds")
    versions = " ".join(f"{name}@{v}" for name, v in change["versions"].items())
    return (
        f"{change['epoch']}\t{time_text}\t{change['kind']}\t{change['author']}"
        f"\t{versions}\t{change['message']}"
    )


@main.command()
@click.argument("service")
@click.option("--wait", is_flag=True, help="Wait until the rollout has ended.")
@click.option("--timeout-s", default=DEFAULT_WAIT_S, type=click.FloatRange(0))
@click.pass_obj
def status(context, service, wait, timeout_s):
    """Show whether a rollout is running, completed or rolled back."""
    if wait:
        current = context.call(
            porcelain.wait_for_verdict, service, timeout_s, _show_progress
        )
    else:
        current = context.call(porcelain.service_status, service)
    context.show(current._asdict(), current.describe())
    if current.verdict in ("rolled_back", "aborted"):
        sys.exit(EXIT_REFUSED)


def _show_progress(current) -> None:
    click.echo(current.describe(), err=True)


@main.command()
@click.pass_obj
def nodes(context):
    """List the nodes and the epoch that each has applied."""
    if context.admin is not None:
        summaries = curio.run(porcelain.list_nodes, None, context.admin)
    else:
        summaries = context.call(porcelain.list_nodes, None)
    rows = [_format_node(summary) for summary in summaries]
    context.show([summary._asdict() for summary in summaries], "\n".join(rows))


def _format_node(summary) -> str:
    epoch = "-" if summary.epoch is None else describe_epoch(summary.epoch)
    labels = (["relay"] if summary.is_relay else []) + list(summary.alarms)
    return (
        f"{summary.node_id}\t{summary.failure_domain}\t{summary.state}"
        f"\tepoch {epoch}\t{', '.join(labels)}"
    )


@main.command()
@click.pass_obj
def customers(context):
    """List customers with their requests, and the nodes that refuse their keys."""
    if context.admin is not None:
        found = curio.run(porcelain.list_customers, None, context.admin)
    else:
        found = context.call(porcelain.list_customers, None)
    summaries, checks = found
    rows = [_format_customer(summary) for summary in summaries]
    rows += [_format_key_check(check) for check in checks]
    value = {
        "customers": [summary._asdict() for summary in summaries],
        "nodes": [check._asdict() for check in checks],
    }
    context.show(value, "\n".join(rows))


def _format_customer(summary) -> str:
    quota = (
        f"{summary.rate_per_s:g}/s, burst {summary.burst:g}"
        if summary.rate_per_s
        else "no quota"
    )
    if summary.rate_per_s:
        use = summary.quota_use
        quota += f": {', '.join(f'{name} {value}' for name, value in use.items())}"
    return (
        f"{summary.name}\tkeys {summary.key_count}\tpriority {summary.priority}"
        f"\t{quota}\trequests {summary.requests}\t{_format_counts(summary.refusals)}"
    )


def _format_key_check(check) -> str:
    if check.is_current is None:
        return f"node {check.node_id}\tno response"
    state = "accepts keys" if check.is_current else "refuses keys"
    age = "" if check.proof_age_s is None else f", proof of {check.proof_age_s:.1f} s"
    return f"node {check.node_id}\t{state}{age}\t{_format_counts(check.refusals)}"


def _format_counts(refusals: dict[str, int]) -> str:
    if not refusals:
        return "refused 0"
    counts = ", ".join(f"{reason} {value}" for reason, value in refusals.items())
    return f"refused {sum(refusals.values())}: {counts}"


@main.command()
@click.option("--clear", metavar="FINGERPRINT", help="End the quarantine of a request.")
@click.pass_obj
def quarantines(context, clear):
    """List quarantined requests, which have crashed backend servers, or clear one.

    A request that is cleared runs again, and is quarantined after two further crashes.
    """
    if clear is not None:
        _clear_quarantine(context, clear)
        return
    summaries, silent = context.call_mesh(porcelain.list_quarantines)
    rows = [_format_quarantine(summary) for summary in summaries]
    rows += [f"node {node_id}\tno response" for node_id in silent]
    value = {
        "quarantines": [summary._asdict() for summary in summaries],
        "silent_nodes": silent,
    }
    context.show(value, "\n".join(rows) or "no quarantines")


def _clear_quarantine(context, fingerprint: str) -> None:
    cleared, silent = context.call_mesh(porcelain.clear_quarantines, fingerprint)
    rows = [f"cleared at {len(cleared)} nodes: {fingerprint}"]
    rows += [f"node {node_id}\tno response" for node_id in silent]
    context.show({"cleared_at": cleared, "silent_nodes": silent}, "\n".join(rows))


def _format_quarantine(summary) -> str:
    state = "on trial"
    if summary.remaining_s > 0:
        state = f"refused for {summary.remaining_s:.0f} s"
    return (
        f"{summary.fingerprint}\t{state}\tcrashes {summary.crashes}"
        f"\t{', '.join(summary.server_ids)}\tnodes {len(summary.node_ids)}"
    )


@main.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.pass_obj
def trace(context, request_id, logs):
    """Trace a request through node logs; - reads standard input."""
    lines = [line for log in logs for line in read_log(log)]
    request_trace = trace_request(request_id, lines)
    value = request_trace._asdict()
    for part in ("steps", "context"):
        value[part] = [line._asdict() for line in value[part]]
    context.show(value, "\n".join(describe_trace(request_trace)))
    if not request_trace.steps:
        sys.exit(EXIT_REFUSED)


@main.command()
@click.option("--above-epoch", required=True, type=click.IntRange(0))
@click.option("--author", default=getpass.getuser)
@click.pass_obj
def recover(context, above_epoch, author):
    """Raise a regressed head above the epochs that nodes have applied."""
    commit = context.call(porcelain.recover, above_epoch, author)
    context.show(commit._asdict(), f"head raised to epoch {commit.epoch}")


def run() -> None:
    """Run the command line interface."""
    try:
        main(standalone_mode=False)
    except click.exceptions.Exit as error:
        sys.exit(error.exit_code)
    except click.ClickException as error:
        error.show()
        sys.exit(EXIT_USAGE)
    except click.Abort:
        sys.exit(EXIT_REFUSED)
    except GuavagapError as error:
        click.echo(f"guavagap: {error.detail}", err=True)
        sys.exit(error_spec(error.kind).exit_code)
    sys.exit(EXIT_DONE)


if __name__ == "__main__":
    run()
