"""Settings of the daemon: flags and ``GUAVAGAP_*`` environment variables."""

import ipaddress
import os
import re
from typing import NamedTuple
from urllib.parse import urlsplit

import click

from guavagap.addresses import Address, parse_address
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import LOG_LEVELS

__all__ = [
    "DEPLOYMENTS",
    "MESH_KEY_VARIABLE",
    "OPERATOR_DEPLOYMENT",
    "Settings",
    "daemon_options",
    "parse_platform_url",
    "settings_from_options",
]

MESH_KEY_VARIABLE = "GUAVAGAP_MESH_KEY"
DOCUMENTS_DEPLOYMENT = "documents"
OPERATOR_DEPLOYMENT = "operator"
DEPLOYMENTS = (DOCUMENTS_DEPLOYMENT, OPERATOR_DEPLOYMENT)
MESH_KEY_MIN_BYTES = 16
MESH_KEY_MAX_BYTES = 64
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?")


class Settings(NamedTuple):
    """The checked settings of one daemon."""

    node_id: str
    region: str
    failure_domain: str
    caller_address: Address
    link_address: Address
    mesh_address: Address
    admin_address: Address
    platform_address: Address
    peer_addresses: tuple[Address, ...]
    mesh_key_bytes: bytes
    log_level: str
    drain_timeout_s: float
    probe_interval_s: float
    suspicion_timeout_s: float
    relay_lease_ttl_s: float
    permit_ttl_s: float
    caller_read_timeout_s: float
    max_body_bytes: int
    max_caller_connections: int
    garbage_collector: str
    allow_fault_injection: bool
    deployment: str
    service: str
    ready_address: Address | None
    report_address: Address | None
    report_ttl_s: float
    retry_budget_ratio: float
    retry_budget_slack: float


class _AddressType(click.ParamType):
    name = "ip:port"

    def convert(self, value, param, ctx):
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except ValueError:
            self.fail(f"{value!r}: allowed is IP:PORT, an IP number", param, ctx)


class _NameType(click.ParamType):
    name = "name"

    def convert(self, value, param, ctx):
        if _NAME_PATTERN.fullmatch(value):
            return value
        self.fail(
            f"{value!r}: allowed are 1 to 64 of a-z, 0-9, '.' and '-'", param, ctx
        )


class _PlatformUrlType(click.ParamType):
    name = "http://ip:port"

    def convert(self, value, param, ctx):
        if isinstance(value, Address):
            return value
        try:
            return parse_platform_url(value)
        except ValueError:
            self.fail(f"{value!r}: allowed is http://IP:PORT", param, ctx)


def parse_platform_url(url: str) -> Address:
    """Return the address of an ``http://IP:PORT`` URL.

    Raises:
        ValueError: another scheme, a path, or a host that is no IP number.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or parts.path not in ("", "/") or parts.query:
        raise ValueError(url)
    ipaddress.ip_address(parts.hostname or "")
    return parse_address(parts.netloc)


def _address_option(flag: str, help_text: str):
    """Return a required option for an address of this process."""
    return click.option(flag, required=True, type=_AddressType(), help=help_text)


def _seconds_option(flag: str, default_s: float, low_s: float, high_s: float):
    """Return an option for a duration in seconds."""
    allowed = click.FloatRange(low_s, high_s)
    return click.option(flag, default=default_s, type=allowed, show_default=True)


_OPTIONS = (
    click.option("--node-id", required=True, type=_NameType()),
    click.option("--region", required=True, type=_NameType()),
    click.option("--failure-domain", required=True, type=_NameType()),
    _address_option("--caller-address", "Where callers send their HTTP requests."),
    _address_option("--link-address", "TCP between nodes."),
    _address_option("--mesh-address", "UDP between nodes."),
    _address_option(
        "--admin-address",
        "HTTP for status, metrics and announcements of backend servers.",
    ),
    click.option(
        "--platform-url",
        "platform_address",
        required=True,
        envvar="GUAVAGAP_PLATFORM_URL",
        type=_PlatformUrlType(),
        help="The platform's key-value service.",
    ),
    click.option(
        "--peer-addresses",
        multiple=True,
        type=_AddressType(),
        help="Mesh (UDP) addresses of some other nodes.",
    ),
    click.option(
        "--log-level", default="info", type=click.Choice(LOG_LEVELS), show_default=True
    ),
    _seconds_option("--drain-timeout-s", 20.0, 0, 3600),
    _seconds_option("--probe-interval-s", 1.0, 0.05, 60),
    _seconds_option("--suspicion-timeout-s", 4.0, 0.1, 300),
    _seconds_option("--relay-lease-ttl-s", 6.0, 0.5, 300),
    _seconds_option("--permit-ttl-s", 6.0, 0.5, 60),
    _seconds_option("--caller-read-timeout-s", 30.0, 0.1, 3600),
    click.option(
        "--max-body-bytes",
        default=64 * 1024 * 1024,
        type=click.IntRange(1024, 2**40),
        show_default=True,
    ),
    click.option(
        "--max-caller-connections",
        default=2000,
        type=click.IntRange(1, 100_000),
        show_default=True,
    ),
    click.option(
        "--garbage-collector",
        default="tamed",
        type=click.Choice(("tamed", "default")),
        show_default=True,
        help="How Python's collector runs: rarely, or as Python ships it.",
    ),
    click.option(
        "--deployment",
        default=DOCUMENTS_DEPLOYMENT,
        type=click.Choice(DEPLOYMENTS),
        show_default=True,
        help="Who declares configuration: teams by documents, or an operator's system.",
    ),
    click.option(
        "--service", default="", help="The service of the backend server on this VM."
    ),
    click.option(
        "--ready-address",
        type=_AddressType(),
        help="Where an operator's platform asks whether this node is ready.",
    ),
    click.option(
        "--report-address",
        type=_AddressType(),
        help="Where backend servers report to this node.",
    ),
    _seconds_option("--report-ttl-s", 6.0, 0.1, 600),
    click.option(
        "--retry-budget-ratio",
        default=0.2,
        type=click.FloatRange(0, 1),
        show_default=True,
        help="Retries that all nodes may make, as a share of a service's requests.",
    ),
    click.option(
        "--retry-budget-slack",
        default=64.0,
        type=click.FloatRange(0, 100_000),
        show_default=True,
        help="Retries that all nodes may make beyond that share.",
    ),
    click.option(
        "--allow-fault-injection",
        is_flag=True,
        help="For tests: let the admin port cut this node off from others.",
    ),
)


def daemon_options(command):
    """Add every setting of the daemon to a ``click`` command."""
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def _read_mesh_key() -> bytes:
    key_bytes = os.environ.get(MESH_KEY_VARIABLE, "").encode()
    if MESH_KEY_MIN_BYTES <= len(key_bytes) <= MESH_KEY_MAX_BYTES:
        return key_bytes
    raise GuavagapError(
        ErrorKind.SETTING_INVALID,
        f"{MESH_KEY_VARIABLE} has {len(key_bytes)} bytes: allowed are"
        f" {MESH_KEY_MIN_BYTES} to {MESH_KEY_MAX_BYTES}",
    )


def settings_from_options(options: dict) -> Settings:
    """Join the parsed options with the mesh key from the environment.

    Raises:
        GuavagapError: SETTING_INVALID, with the setting, its value (never the
            key's) and what is allowed.
    """
    options = dict(options)
    options["peer_addresses"] = tuple(options["peer_addresses"])
    if options["suspicion_timeout_s"] <= options["probe_interval_s"]:
        raise GuavagapError(
            ErrorKind.SETTING_INVALID,
            f"--suspicion-timeout-s {options['suspicion_timeout_s']}: allowed is"
            f" more than --probe-interval-s ({options['probe_interval_s']})",
        )
    if options["deployment"] == OPERATOR_DEPLOYMENT:
        _check_operator_options(options)
        # The key is agreed on through the platform's store.
        return Settings(mesh_key_bytes=b"", **options)
    return Settings(mesh_key_bytes=_read_mesh_key(), **options)


def _check_operator_options(options: dict) -> None:
    for name in ("service", "ready_address", "report_address"):
        if not options[name]:
            flag = "--" + name.replace("_", "-")
            raise GuavagapError(
                ErrorKind.SETTING_INVALID,
                f"{flag}: required with --deployment {OPERATOR_DEPLOYMENT}",
            )
