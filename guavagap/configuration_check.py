"""The check of an operator's configuration for the command line."""

from pathlib import Path
from typing import NamedTuple

from guavagap.addresses import Address
from guavagap.declaration_checks import (
    Finding,
    ServerCounts,
    find_differences,
    find_findings,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.platform.configuration_files import (
    decode_configuration,
    fetch_configuration,
    find_repeated_services,
)
from guavagap.porcelain import node_status

__all__ = ["CheckOptions", "CheckResult", "check_configuration"]


class CheckOptions(NamedTuple):
    """What a configuration is compared with.

    Attributes:
        current_path: file with the configuration in force.
        store: address of the store with the configuration in force, used without
            ``current_path``.
        admin: admin address of a node, which knows the backend servers.
        vm_memory_mb: memory of a VM.
    """

    current_path: Path | None
    store: Address | None
    admin: Address | None
    vm_memory_mb: int


class CheckResult(NamedTuple):
    """The outcome of a check.

    Attributes:
        differences: differences from the version in force; None if none is known or
            the checked one is rejected.
    """

    findings: list[Finding]
    differences: list[str] | None

    def to_json(self) -> dict:
        """Return the outcome as JSON values."""
        findings = [finding._asdict() for finding in self.findings]
        return {"findings": findings, "differences": self.differences}

    def describe(self) -> str:
        """Return the outcome as lines of text."""
        lines = [str(finding) for finding in self.findings] or ["no findings"]
        if self.differences is None:
            lines.append("not compared with a version in force")
        elif not self.differences:
            lines.append("no differences from the version in force")
        else:
            lines.append("differences from the version in force:")
            lines += [f"  {difference}" for difference in self.differences]
        return "\n".join(lines)


async def check_configuration(path: Path, options: CheckOptions) -> CheckResult:
    """Check a configuration in a file.

    Raises:
        OSError: a file cannot be read.
        GuavagapError: CONFIGURATION_REJECTED when the configuration in force cannot be
            decoded; PLATFORM_UNREACHABLE, PLATFORM_BUSY, NODE_UNREACHABLE.
    """
    body = path.read_bytes()
    current_body = await _read_current(options)
    current = None if current_body is None else decode_configuration(current_body)
    server_counts = await _count_servers(options.admin)
    try:
        proposed = decode_configuration(body)
    except GuavagapError as error:
        if error.kind is not ErrorKind.CONFIGURATION_REJECTED:
            raise
        return CheckResult([Finding("rejected", path.name, error.detail)], None)
    findings = find_findings(proposed, options.vm_memory_mb, server_counts)
    findings += [
        Finding(
            "no effect",
            f"service {name}",
            f"of {count} entries only the last one applies",
        )
        for name, count in find_repeated_services(body).items()
    ]
    if current is None:
        return CheckResult(findings, None)
    differences = find_differences(current, proposed)
    is_changed = any(not line.startswith("version:") for line in differences)
    if proposed.version < current.version or (
        proposed.version == current.version and is_changed
    ):
        findings.append(
            Finding(
                "no effect",
                "version",
                f"{proposed.version:08x} is not above {current.version:08x} in force",
            )
        )
    return CheckResult(findings, differences)


async def _read_current(options: CheckOptions) -> bytes | None:
    if options.current_path is not None:
        return options.current_path.read_bytes()
    if options.store is not None:
        return await fetch_configuration(options.store)
    return None


async def _count_servers(admin: Address | None) -> ServerCounts | None:
    """Return the number of backend servers that a node knows, by service."""
    if admin is None:
        return None
    counts: ServerCounts = {}
    for pool, servers in (await node_status(admin))["pools"].items():
        service = pool.rpartition("/")[0]
        counts[service] = counts.get(service, 0) + len(servers)
    return counts
