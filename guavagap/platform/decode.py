"""Bodies of the platform, decoded into the product's types and back.

The names on the wire stand here only. Where one misleads, a comment says what the
field holds.
"""

import json
from typing import TypeVar

from guavagap.addresses import parse_address
from guavagap.announcements import ServerReport
from guavagap.declarations import (
    CallerLimits,
    Declaration,
    DeclaredRoute,
    RolloutOrder,
    ServiceShare,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Rollout
from guavagap.metadata_store import MirrorItem

__all__ = [
    "OPERATOR_PREFIX",
    "decode_item",
    "decode_report",
    "encode_status",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
MAX_SLOTS = 60_000
_SAFE, _UNSAFE = "safe", "unsafe"
_READY, _DRAINING = "ready", "draining"

Field = TypeVar("Field")


def _invalid(what: str, error: Exception) -> GuavagapError:
    return GuavagapError(ErrorKind.CONFIGURATION_REJECTED, f"{what}: {error!r}")


def _object(body: bytes) -> dict:
    value = json.loads(body)
    if not isinstance(value, dict):
        raise ValueError(f"{type(value).__name__} instead of an object")
    return value


def _typed(value: dict, name: str, *kinds: type) -> Field:
    """Return a field that must have one of some types; bool is no number."""
    field = value[name]
    if isinstance(field, bool) and bool not in kinds or not isinstance(field, kinds):
        raise ValueError(f"{name} is {field!r}")
    return field


def _text(value: dict, name: str) -> str:
    return _typed(value, name, str)


def _number(value: dict, name: str) -> float:
    return float(_typed(value, name, int, float))


def _whole(value: dict, name: str) -> int:
    return _typed(value, name, int)


def decode_item(item: MirrorItem) -> Declaration | RolloutOrder | None:
    """Decode an item that the operator has written.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED.
    """
    if item.body is None:
        return None
    try:
        if item.key == CONFIGURATION_KEY:
            return _decode_configuration(_object(item.body))
        if item.key.startswith(ORDER_PREFIX):
            return _decode_order(_object(item.body))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise _invalid(item.key, error) from None
    return None


def _decode_order(value: dict) -> RolloutOrder:
    return RolloutOrder(
        _text(value, "service"),
        _text(value, "targetVersion"),
        # Time within which the move must be complete, not how long it lasts.
        _number(value, "durationS"),
    )


def _decode_configuration(value: dict) -> Declaration:
    specs: dict[str, list[tuple[dict, dict]]] = {}
    for resource in _typed(value, "resources", list):
        # Says whether the entry is a route, a service or the limits.
        kind = _text(resource, "typeUrl")
        rows = specs.setdefault(kind, [])
        rows.append(
            (_typed(resource, "metadata", dict), _typed(resource, "spec", dict))
        )
    limits = specs.get("limits", [])
    if len(limits) != 1:
        raise ValueError(f"{len(limits)} entries of limits")
    return Declaration(
        # Hexadecimal digits.
        int(_text(value, "version"), 16),
        tuple(_decode_route(*row) for row in specs.get("routes", [])),
        {
            _text(metadata, "name"): _whole(spec, "maxConnections")
            for metadata, spec in specs.get("services", [])
        },
        _decode_limits(limits[0][1]),
    )


def _decode_route(metadata: dict, spec: dict) -> DeclaredRoute:
    kind = _text(spec, "kind")
    if kind not in (_SAFE, _UNSAFE):
        raise ValueError(f"kind is {kind!r}")
    prefix = _text(spec, "prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix is {prefix!r}")
    return DeclaredRoute(
        _text(metadata, "name"),
        _text(spec, "host"),
        prefix,
        # Safe means that it may run more than once.
        kind == _SAFE,
        _number(spec, "timeoutS"),
        _number(spec, "targetLatencyS"),
        _whole(spec, "priority"),
        # The number of backend servers that it may be sent to.
        _whole(spec, "maxAttempts"),
        _decode_shares(spec),
    )


def _decode_shares(spec: dict) -> tuple[ServiceShare, ...]:
    if spec.get("trafficSplit"):
        return tuple(
            ServiceShare(_text(part, "service"), _whole(part, "weight"))
            for part in _typed(spec, "trafficSplit", list)
        )
    return (ServiceShare(_text(spec, "service"), 1),)


def _decode_limits(spec: dict) -> CallerLimits:
    return CallerLimits(
        _whole(spec, "maxHeaderBytes"),
        _whole(spec, "maxBodyBytes"),
        _number(spec, "headerTimeoutS"),
        _number(spec, "idleTimeoutS"),
    )


def decode_report(server_id: str, body: bytes) -> ServerReport:
    """Decode the heartbeat of a backend server.

    Raises:
        GuavagapError: BAD_REQUEST.
    """
    try:
        value = _object(body)
        state = _text(value, "state")
        slots = _whole(value, "slots")
        if state not in (_READY, _DRAINING) or not 0 < slots <= MAX_SLOTS:
            raise ValueError(f"state {state!r}, {slots} slots")
        parse_address(_text(value, "address"))
        return ServerReport(
            server_id,
            _text(value, "service"),
            _text(value, "version"),
            _text(value, "address"),
            slots,
            state == _DRAINING,
            _number(value, "coldRemainingS"),
            # Unix milliseconds of its start.
            _whole(value, "born") if "born" in value else 0,
            _whole(value, "seq"),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise GuavagapError(ErrorKind.BAD_REQUEST, f"heartbeat: {error!r}") from None


def encode_status(service: str, rollout: Rollout) -> tuple[str, bytes]:
    """Return key and value that tell the operator the state of a rollout."""
    states: dict[str, str] = {"completed": "completed", "rolled_back": "rolled_back"}
    body = {
        "state": states.get(rollout["state"], "running"),
        "targetVersion": rollout["to_version"],
    }
    return STATUS_PREFIX + service, json.dumps(body).encode()
