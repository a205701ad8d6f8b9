"""Checks of a declared configuration before it is sent to the nodes.

The checks find what nodes accept although it cannot work as meant. What nodes reject is
found by decoding and by :func:`guavagap.declarations.check_declaration`.
"""

import re
from collections import Counter
from typing import Iterator, NamedTuple

from guavagap.declarations import (
    CallerLimits,
    Customer,
    Declaration,
    DeclaredRoute,
)

__all__ = ["Finding", "ServerCounts", "find_differences", "find_findings"]

MB = 1_000_000
# Requests have a path of these characters; a question mark begins the query.
_PATH_PATTERN = re.compile(r"[!->@-~]*")
# Number of known backend servers by service.
ServerCounts = dict[str, int]


class Finding(NamedTuple):
    """Something that should be corrected.

    Attributes:
        kind: ``rejected`` by nodes; ``no effect`` of an entry; ``contradiction``
            between limits; ``unknown value`` for which nodes use a default.
        resource: the route, service or customer, or ``limits``.
        text: what was found.
    """

    kind: str
    resource: str
    text: str

    def __str__(self) -> str:
        return f"{self.kind}: {self.resource}: {self.text}"


def find_findings(
    declaration: Declaration, memory_mb: int, server_counts: ServerCounts | None
) -> list[Finding]:
    """Return the findings in a declaration that nodes accept.

    Args:
        declaration: a valid declaration.
        memory_mb: memory of a VM.
        server_counts: known backend servers by service; None if they are not known.
    """
    findings = [
        Finding("unknown value", unknown.resource, f"{unknown.field} {unknown.value!r}")
        for unknown in declaration.unknown_values
    ]
    findings += _find_covered_routes(declaration.routes)
    findings += _find_repeated_names(declaration.routes)
    for route in declaration.routes:
        findings += _check_route(route, server_counts)
    for customer in declaration.customers:
        findings += _check_customer(customer)
    findings += _check_limits(declaration.limits, memory_mb)
    return findings


def _find_covered_routes(routes: tuple[DeclaredRoute, ...]) -> Iterator[Finding]:
    """Yield the routes that an earlier one of the same host and prefix covers."""
    first_names: dict[tuple[str, str], str] = {}
    for route in routes:
        # Nodes compare hosts in lower case, and prefixes without the last slashes.
        key = (route.host.lower(), route.path_prefix.rstrip("/"))
        if key not in first_names:
            first_names[key] = route.name
            continue
        yield Finding(
            "no effect", f"route {route.name}", f"covered by route {first_names[key]}"
        )


def _find_repeated_names(routes: tuple[DeclaredRoute, ...]) -> Iterator[Finding]:
    """Yield the names of several routes; differences and statistics are by name."""
    counts = Counter(route.name for route in routes)
    for name, count in counts.items():
        if count > 1:
            text = f"{count} routes have this name"
            yield Finding("contradiction", f"route {name}", text)


def _find_mismatch(route: DeclaredRoute) -> str | None:
    """Return why no request can match a route, None if one can."""
    # An IPv6 address is in brackets.
    if ":" in route.host and not route.host.startswith("["):
        return f"host {route.host!r} has a port, and hosts are compared without ports"
    if not _PATH_PATTERN.fullmatch(route.path_prefix):
        return f"no path has the prefix {route.path_prefix!r}"
    return None


def _check_route(
    route: DeclaredRoute, server_counts: ServerCounts | None
) -> Iterator[Finding]:
    resource = f"route {route.name}"
    mismatch = _find_mismatch(route)
    if mismatch is not None:
        yield Finding("no effect", resource, mismatch)
    for share in route.shares:
        if not share.weight:
            yield Finding(
                "no effect", resource, f"service {share.service} has weight 0"
            )
    if route.timeout_s <= 0:
        text = f"no request is served within {route.timeout_s:g} s"
        yield Finding("no effect", resource, text)
    elif route.timeout_s < route.target_latency_s:
        yield Finding(
            "contradiction",
            resource,
            f"time limit {route.timeout_s:g} s is below the target latency"
            f" {route.target_latency_s:g} s",
        )
    if server_counts is None:
        return
    known = sum(
        server_counts.get(share.service, 0) for share in route.shares if share.weight
    )
    if route.max_attempts > known:
        yield Finding(
            "contradiction",
            resource,
            f"{route.max_attempts} attempts, but {known} known backend servers",
        )


def _check_customer(customer: Customer) -> Iterator[Finding]:
    resource = f"customer {customer.name}"
    if not customer.key_digests:
        yield Finding(
            "no effect", resource, "quota and priority, because it has no API key"
        )
    if customer.burst and not customer.rate_per_s:
        yield Finding("no effect", resource, "burst, because it has no rate")
    if customer.rate_per_s and customer.burst < 1:
        yield Finding(
            "contradiction",
            resource,
            f"burst {customer.burst:g} is below one request, so its quota of"
            f" {customer.rate_per_s:g} a second admits none",
        )


def _check_limits(limits: CallerLimits, memory_mb: int) -> Iterator[Finding]:
    if limits.max_body_bytes > memory_mb * MB:
        yield Finding(
            "contradiction",
            "limits",
            f"bodies of {limits.max_body_bytes} bytes, but a VM has {memory_mb} MB",
        )


def find_differences(current: Declaration, proposed: Declaration) -> list[str]:
    """Return the differences between the version in force and another one.

    API keys are compared, but not named.
    """
    differences = []
    if proposed.version != current.version:
        differences.append(f"version: {current.version:08x} -> {proposed.version:08x}")
    pairs = (
        ("route", _by_name(current.routes), _by_name(proposed.routes)),
        ("service", _services(current), _services(proposed)),
        ("customer", _by_name(current.customers), _by_name(proposed.customers)),
        (
            "limits",
            {"": current.limits._asdict()},
            {"": proposed.limits._asdict()},
        ),
    )
    for kind, before, after in pairs:
        differences += _compare(kind, before, after)
    return differences


def _by_name(entries) -> dict[str, dict]:
    return {entry.name: _describe(entry._asdict()) for entry in entries}


def _describe(fields: dict) -> dict:
    """Return the fields of an entry as they are shown."""
    described = {name: value for name, value in fields.items() if name != "name"}
    if "shares" in fields:
        described["shares"] = ", ".join(
            f"{share.service}={share.weight}" for share in fields["shares"]
        )
    return described


def _services(declaration: Declaration) -> dict[str, dict]:
    services: dict[str, dict] = {}
    for service, connections in declaration.connection_limits.items():
        cold_limit = declaration.cold_limits.get(service)
        services[service] = {
            "connections": connections,
            "cold_limit": None if cold_limit is None else tuple(cold_limit),
        }
    return services


def _compare(kind: str, before: dict[str, dict], after: dict[str, dict]) -> list[str]:
    lines = []
    for name in sorted(before.keys() | after.keys()):
        resource = f"{kind} {name}".strip()
        if name not in after:
            lines.append(f"{resource}: removed")
        elif name not in before:
            lines.append(f"{resource}: added")
        else:
            lines += _compare_fields(resource, before[name], after[name])
    return lines


def _compare_fields(resource: str, before: dict, after: dict) -> list[str]:
    lines = []
    for field in before:
        if before[field] == after[field]:
            continue
        if field == "key_digests":
            removed = len(set(before[field]) - set(after[field]))
            added = len(set(after[field]) - set(before[field]))
            lines.append(f"{resource}: API keys: {removed} removed, {added} added")
        else:
            lines.append(f"{resource}: {field}: {before[field]} -> {after[field]}")
    return lines
