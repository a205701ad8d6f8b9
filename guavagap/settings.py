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
# Nodes cannot prove in less time that a key is still valid: a margin of 1.2 s, and time
# to read the store.
MIN_KEY_REVOCATION_S = 2.0
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?")


class Settings(NamedTuple):
    """Validated settings of a daemon."""

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
    failure_domains: tuple[str, ...]
    memory_limit_mb: int
    max_descriptors: int
    link_mbps: float
    cpu_share: float
    cpu_count: int
    key_revocation_s: float
    quota_window_s: float
    quota_overshoot: float
    quota_slack: float
    cold_overshoot: float
    cold_slack: float
    evacuation_s: float


class _AddressType(click.ParamType):
    name = "ip:port"

    def convert(self, value, param, ctx):
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except ValueError:
            self.fail(f"{value!r} is not IP:PORT with an IP address", param, ctx)


class _NameType(click.ParamType):
    name = "name"

    def convert(self, value, param, ctx):
        if _NAME_PATTERN.fullmatch(value):
            return value
        self.fail(
            f"{value!r} is not 1 to 64 characters of a-z, 0-9, '.' and '-'", param, ctx
        )


class _NamesType(click.ParamType):
    name = "name,name"

    def convert(self, value, param, ctx):
        if isinstance(value, tuple):
            return value
        names = tuple(filter(None, value.split(",")))
        for name in names:
            if not _NAME_PATTERN.fullmatch(name):
                self.fail(f"{name!r} in {value!r} is not a name", param, ctx)
        return names


class _PlatformUrlType(click.ParamType):
    name = "http://ip:port"

    def convert(self, value, param, ctx):
        if isinstance(value, Address):
            return value
        try:
            return parse_platform_url(value)
        except ValueError:
            self.fail(f"{value!r} is not http://IP:PORT", param, ctx)


def parse_platform_url(url: str) -> Address:
    """Return the address of an ``http://IP:PORT`` URL.

    Raises:
        ValueError: another scheme, a path, a query, or a host that is no IP address.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or parts.path not in ("", "/") or parts.query:
        raise ValueError(url)
    ipaddress.ip_address(parts.hostname or "")
    return parse_address(parts.netloc)


def _address_option(flag: str, help_text: str):
    """Return a required option for a local address."""
    return click.option(flag, required=True, type=_AddressType(), help=help_text)


def _seconds_option(flag: str, default_s: float, min_s: float, max_s: float):
    """Return an option for a duration in seconds."""
    value_range = click.FloatRange(min_s, max_s)
    return click.option(flag, default=default_s, type=value_range, show_default=True)


_OPTIONS = (
    click.option("--node-id", required=True, type=_NameType()),
    click.option("--region", required=True, type=_NameType()),
    click.option("--failure-domain", required=True, type=_NameType()),
    _address_option("--caller-address", "Address for HTTP requests of callers."),
    _address_option("--link-address", "TCP address for links between nodes."),
    _address_option(
        "--mesh-address", "UDP address for membership messages between nodes."
    ),
    _address_option(
        "--admin-address",
        "Admin address: status, metrics and backend server announcements over HTTP.",
    ),
    click.option(
        "--platform-url",
        "platform_address",
        required=True,
        envvar="GUAVAGAP_PLATFORM_URL",
        type=_PlatformUrlType(),
        help="URL of the platform's key-value service.",
    ),
    click.option(
        "--peer-addresses",
        multiple=True,
        type=_AddressType(),
        help="Mesh (UDP) addresses of some peers.",
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
        help="Garbage collection: rare (tamed) or with Python's thresholds (default).",
    ),
    click.option(
        "--deployment",
        default=DOCUMENTS_DEPLOYMENT,
        type=click.Choice(DEPLOYMENTS),
        show_default=True,
        help="Source of configuration: documents of teams, or an operator's platform.",
    ),
    click.option(
        "--service", default="", help="The service of the backend server on this VM."
    ),
    click.option(
        "--ready-address",
        type=_AddressType(),
        help="Address for readiness checks of an operator's platform.",
    ),
    click.option(
        "--report-address",
        type=_AddressType(),
        help="Address for heartbeats of backend servers.",
    ),
    _seconds_option("--report-ttl-s", 6.0, 0.1, 600),
    click.option(
        "--retry-budget-ratio",
        default=0.2,
        type=click.FloatRange(0, 1),
        show_default=True,
        help="Limit of retries by all nodes, as a share of a service's requests.",
    ),
    click.option(
        "--retry-budget-slack",
        default=64.0,
        type=click.FloatRange(0, 100_000),
        show_default=True,
        help="Retries by all nodes that are allowed beyond that share.",
    ),
    click.option(
        "--failure-domains",
        default="",
        type=_NamesType(),
        help="All failure domains, joined by commas; default: those of known nodes.",
    ),
    click.option(
        "--memory-limit-mb",
        default=0,
        type=click.IntRange(0, 1_000_000),
        help="Memory that this process may use; 0: unknown.",
    ),
    click.option(
        "--max-descriptors",
        default=0,
        type=click.IntRange(0, 10_000_000),
        help="Descriptors that this process may use; 0: the limit of the process.",
    ),
    click.option(
        "--link-mbps",
        default=0.0,
        type=click.FloatRange(0, 10_000_000),
        help="Bandwidth of the VM in Mbit/s; 0: unknown.",
    ),
    click.option(
        "--cpu-share",
        default=1.0,
        type=click.FloatRange(0, 1),
        show_default=True,
        help="Share of each processor core that the VM may use.",
    ),
    click.option(
        "--cpu-count",
        default=1,
        type=click.IntRange(1, 10_000),
        show_default=True,
        help="Number of processor cores of the VM.",
    ),
    click.option(
        "--key-revocation-s",
        default=0.0,
        type=click.FloatRange(0, 3600),
        show_default=True,
        help="Time after which a withdrawn API key must not be honoured; 0: no limit.",
    ),
    _seconds_option("--quota-window-s", 5.0, 0.1, 600),
    click.option(
        "--quota-overshoot",
        default=0.1,
        type=click.FloatRange(0, 10),
        show_default=True,
        help="Share by which a customer's quota may be exceeded within a window.",
    ),
    click.option(
        "--quota-slack",
        default=20.0,
        type=click.FloatRange(0, 100_000),
        show_default=True,
        help="Requests beyond that share that are tolerated within a window.",
    ),
    click.option(
        "--cold-overshoot",
        default=1.5,
        type=click.FloatRange(1, 10),
        show_default=True,
        help="Factor by which the limit of a cold backend server may be exceeded.",
    ),
    click.option(
        "--cold-slack",
        default=8.0,
        type=click.FloatRange(0, 10_000),
        show_default=True,
        help="Requests in a second beyond that factor that are tolerated.",
    ),
    _seconds_option("--evacuation-s", 5.0, 0.1, 600),
    click.option(
        "--allow-fault-injection",
        is_flag=True,
        help="For tests: let the admin port block the addresses of peers.",
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
        f"{MESH_KEY_VARIABLE} has {len(key_bytes)} bytes, not"
        f" {MESH_KEY_MIN_BYTES} to {MESH_KEY_MAX_BYTES}",
    )


def settings_from_options(options: dict) -> Settings:
    """Combine the parsed options with the mesh key from the environment.

    Raises:
        GuavagapError: SETTING_INVALID, with the setting, its value (never that of
            the mesh key) and the allowed values.
    """
    options = dict(options)
    options["peer_addresses"] = tuple(options["peer_addresses"])
    if options["suspicion_timeout_s"] <= options["probe_interval_s"]:
        raise GuavagapError(
            ErrorKind.SETTING_INVALID,
            f"--suspicion-timeout-s {options['suspicion_timeout_s']} is not greater"
            f" than --probe-interval-s ({options['probe_interval_s']})",
        )
    if options["deployment"] == OPERATOR_DEPLOYMENT:
        _check_operator_options(options)
        # Nodes agree on the mesh key through the platform's metadata store.
        return Settings(mesh_key_bytes=b"", **options)
    return Settings(mesh_key_bytes=_read_mesh_key(), **options)


def _check_operator_options(options: dict) -> None:
    revocation_s = options["key_revocation_s"]
    if 0 < revocation_s < MIN_KEY_REVOCATION_S:
        raise GuavagapError(
            ErrorKind.SETTING_INVALID,
            f"--key-revocation-s {revocation_s} is not 0 and less than"
            f" {MIN_KEY_REVOCATION_S}",
        )
    for name in ("service", "ready_address", "report_address"):
        if not options[name]:
            flag = "--" + name.replace("_", "-")
            raise GuavagapError(
                ErrorKind.SETTING_INVALID,
                f"{flag} is required with --deployment {OPERATOR_DEPLOYMENT}",
            )
