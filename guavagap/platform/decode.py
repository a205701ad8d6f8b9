"""Codec of the platform's stored values and heartbeats.

The platform's field names are used in this module only. A comment explains each field
whose name is misleading.
"""

import json
import marshal
import math
from enum import Enum
from typing import Callable, TypeVar

from pydantic_core import from_json

from guavagap.addresses import parse_address
from guavagap.announcements import ServerReport
from guavagap.declarations import (
    CallerLimits,
    ColdLimit,
    Customer,
    Declaration,
    DeclaredRoute,
    EvacuationOrder,
    RolloutOrder,
    ServiceShare,
    UnknownValue,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Rollout
from guavagap.key_digests import key_digest
from guavagap.metadata_store import MirrorItem

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "decode_item",
    "decode_report",
    "encode_status",
    "make_item_decoder",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
ORDER_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
STATUS_PREFIX = "status/rollout/"
COLD_START_FIELD = "coldStartS"
COLD_RATE_FIELD = "coldPerS"
MAX_SLOTS = 60_000
# The start of the year 10000.
MAX_START_TIME_MS = 253_402_300_800_000
# The last version whose encoding does not depend on which objects are shared.
MARSHAL_VERSION = 2
# An error names the value that was refused, which may be of any length.
MAX_DETAIL_LENGTH = 200
_READY, _DRAINING = "ready", "draining"

Field = TypeVar("Field")
OperatorValue = Declaration | RolloutOrder | EvacuationOrder


class _RequestKind(Enum):
    """Kinds of requests, with whether a request may be executed more than once.

    The platform calls a request "safe" if it may be repeated, even if it has effects.
    """

    SAFE = ("safe", True)
    UNSAFE = ("unsafe", False)
    DOWNLOAD = ("download", True)

    def __init__(self, wire_name: str, is_idempotent: bool):
        self.wire_name = wire_name
        self.is_idempotent = is_idempotent


_KINDS = {kind.wire_name: kind for kind in _RequestKind}
# A kind added to the platform later is served like the one with the fewest
# assumptions: rejecting it would leave every route of the declaration without service.
_FALLBACK_KIND = _RequestKind.UNSAFE


def _configuration_rejected(key: str, error: Exception) -> GuavagapError:
    return GuavagapError(
        ErrorKind.CONFIGURATION_REJECTED, f"{key}: {_describe_error(error)}"
    )


def _describe_error(error: Exception) -> str:
    """Return type and text of an error, without the text that could not be converted.

    The representation of a Unicode error has all of that, with the API keys in it.
    """
    if isinstance(error, UnicodeError):
        return f"{type(error).__name__}: {error}"
    return repr(error)


# What the functions below raise for a value of another type or out of range.
_DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def _parse_object(body: bytes) -> dict:
    text = body.decode()
    value = from_json(body, cache_strings="keys")
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, got {type(value).__name__}")
    if "\\u" in text:
        # An escape can spell text that is not valid Unicode, in values and in names.
        json.dumps(value, ensure_ascii=False).encode()
    return value


def _typed_field(value: dict, name: str, *types: type) -> Field:
    """Return a field of one of the given types; a bool does not count as a number."""
    field = value[name]
    if isinstance(field, bool) and bool not in types or not isinstance(field, types):
        raise ValueError(f"{name} has the invalid value {_describe_value(field)}")
    return field


def _describe_value(value: object) -> str:
    """Return a value for an error; an array or object may contain API keys."""
    if isinstance(value, (list, dict)):
        return f"of type {type(value).__name__}"
    return repr(value)


def _string_field(value: dict, name: str) -> str:
    return _typed_field(value, name, str)


def _float_field(value: dict, name: str) -> float:
    number = float(_typed_field(value, name, int, float))
    if not math.isfinite(number):
        raise ValueError(f"{name} is not finite")
    return number


def _int_field(value: dict, name: str) -> int:
    return _typed_field(value, name, int)


class _RouteCache:
    """Routes of the configuration that was decoded last, by name.

    A configuration may have thousands of routes, of which a new version changes few.
    """

    def __init__(self):
        self._routes: dict[str, tuple[bytes, DeclaredRoute]] = {}

    def decode(self, rows: list[tuple[dict, dict]]) -> tuple[DeclaredRoute, ...]:
        """Decode routes; those that are as before are the same objects as before."""
        known, routes = self._routes, []
        decoded: dict[str, tuple[bytes, DeclaredRoute]] = {}
        for metadata, spec in rows:
            # 1, 1.0 and true are equal in Python, but not valid for the same fields.
            # Their encodings differ.
            encoded = marshal.dumps((metadata, spec), MARSHAL_VERSION)
            entry = known.get(metadata.get("name"))
            if entry is None or entry[0] != encoded:
                entry = (encoded, _decode_route(metadata, spec))
            decoded[entry[1].name] = entry
            routes.append(entry[1])
        self._routes = decoded
        return tuple(routes)


def make_item_decoder() -> Callable[[MirrorItem], OperatorValue | None]:
    """Return :func:`decode_item` with a memory of the routes decoded before."""
    cache = _RouteCache()

    def decode(item: MirrorItem) -> OperatorValue | None:
        return decode_item(item, cache)

    return decode


def decode_item(
    item: MirrorItem, cache: _RouteCache | None = None
) -> OperatorValue | None:
    """Decode an item written by the operator; return None for a removed or other one.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED when the item is invalid.
    """
    if item.body is None:
        return None
    try:
        if item.key == CONFIGURATION_KEY:
            return _decode_configuration(
                _parse_object(item.body), cache or _RouteCache()
            )
        if item.key.startswith(ORDER_PREFIX):
            return _decode_order(_parse_object(item.body))
        if item.key.startswith(EVACUATION_PREFIX):
            return _decode_evacuation(item.key)
    except _DECODING_ERRORS as error:
        raise _configuration_rejected(item.key, error) from None
    return None


def _decode_order(value: dict) -> RolloutOrder:
    return RolloutOrder(
        _string_field(value, "service"),
        _string_field(value, "targetVersion"),
        # The time limit of the rollout, not its expected duration.
        _float_field(value, "durationS"),
    )


def _decode_evacuation(key: str) -> EvacuationOrder:
    """Decode an order from its key; its value says nothing more."""
    failure_domain = key.removeprefix(EVACUATION_PREFIX)
    if not failure_domain:
        raise ValueError("the failure domain is missing")
    return EvacuationOrder(failure_domain)


def _decode_configuration(value: dict, cache: _RouteCache) -> Declaration:
    specs: dict[str, list[tuple[dict, dict]]] = {}
    for resource in _typed_field(value, "resources", list):
        # Not a URL: "routes", "services", "tenants" (the customers) or "limits".
        resource_type = _string_field(resource, "typeUrl")
        rows = specs.setdefault(resource_type, [])
        rows.append(
            (
                _typed_field(resource, "metadata", dict),
                _typed_field(resource, "spec", dict),
            )
        )
    limits = specs.get("limits", [])
    if len(limits) != 1:
        raise ValueError(f"expected one limits resource, got {len(limits)}")
    routes = specs.get("routes", [])
    services = specs.get("services", [])
    return Declaration(
        # A hexadecimal string.
        int(_string_field(value, "version"), 16),
        cache.decode(routes),
        {
            _string_field(metadata, "name"): _int_field(spec, "maxConnections")
            for metadata, spec in services
        },
        _decode_limits(limits[0][1]),
        _find_unknown_kinds(routes) + _find_negative_cold_figures(services),
        tuple(_decode_customer(*row) for row in specs.get("tenants", [])),
        cold_limits=_decode_cold_limits(services),
    )


def _cold_figure(spec: dict, name: str) -> float:
    """Return a figure of a cold start; 0 if it is missing."""
    return 0.0 if spec.get(name) is None else _float_field(spec, name)


def _decode_cold_limits(services: list[tuple[dict, dict]]) -> dict[str, ColdLimit]:
    """Return the limits of the services that have both figures, each above 0."""
    limits = {}
    for metadata, spec in services:
        cold_start_s = _cold_figure(spec, COLD_START_FIELD)
        rate_per_s = _cold_figure(spec, COLD_RATE_FIELD)
        name = _string_field(metadata, "name")
        # The last entry of a service applies, also if it has no limit.
        limits.pop(name, None)
        if cold_start_s > 0 and rate_per_s > 0:
            limits[name] = ColdLimit(cold_start_s, rate_per_s, _health_path(spec))
    return limits


def _health_path(spec: dict) -> str:
    """Return the path of health probes, "" if no request can be made of it."""
    path = spec.get("healthPath")
    is_path = isinstance(path, str) and path.startswith("/") and path.isascii()
    return path if is_path and path.isprintable() and " " not in path else ""


def _find_negative_cold_figures(
    services: list[tuple[dict, dict]],
) -> tuple[UnknownValue, ...]:
    """Return one entry for each negative figure, which sets no limit."""
    return tuple(
        UnknownValue(f"service {metadata['name']}", name, str(spec[name]))
        for metadata, spec in services
        for name in (COLD_START_FIELD, COLD_RATE_FIELD)
        if _cold_figure(spec, name) < 0
    )


def _find_unknown_kinds(routes: list[tuple[dict, dict]]) -> tuple[UnknownValue, ...]:
    """Return one entry for each unknown kind, with the first route that has it."""
    first_routes: dict[str, str] = {}
    for metadata, spec in routes:
        if spec["kind"] not in _KINDS:
            first_routes.setdefault(spec["kind"], metadata["name"])
    return tuple(
        UnknownValue(f"route {name}", "kind", kind)
        for kind, name in first_routes.items()
    )


def _decode_route(metadata: dict, spec: dict) -> DeclaredRoute:
    kind = _KINDS.get(_string_field(spec, "kind"), _FALLBACK_KIND)
    prefix = _string_field(spec, "prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} does not start and end with '/'")
    return DeclaredRoute(
        _string_field(metadata, "name"),
        _string_field(spec, "host"),
        prefix,
        kind.is_idempotent,
        _float_field(spec, "timeoutS"),
        _float_field(spec, "targetLatencyS"),
        _int_field(spec, "priority"),
        # The maximum number of backend servers that a request is sent to.
        _int_field(spec, "maxAttempts"),
        _decode_shares(spec),
        "allowAnonymous" in spec and _typed_field(spec, "allowAnonymous", bool),
    )


def _decode_customer(metadata: dict, spec: dict) -> Customer:
    name = _string_field(metadata, "name")
    keys = spec["apiKeys"]
    # The error must not name the value.
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError(f"apiKeys of {name!r} is not a list of strings")
    return Customer(
        name,
        tuple(dict.fromkeys(key_digest(key.encode()) for key in keys)),
        _int_field(spec, "priority") if "priority" in spec else 0,
        # A rate of 0 stands for no limit.
        _float_field(spec, "ratePerS") if "ratePerS" in spec else 0.0,
        _float_field(spec, "burst") if "burst" in spec else 0.0,
    )


def _decode_shares(spec: dict) -> tuple[ServiceShare, ...]:
    if spec.get("trafficSplit"):
        return tuple(
            ServiceShare(_string_field(part, "service"), _int_field(part, "weight"))
            for part in _typed_field(spec, "trafficSplit", list)
        )
    return (ServiceShare(_string_field(spec, "service"), 1),)


def _decode_limits(spec: dict) -> CallerLimits:
    return CallerLimits(
        _int_field(spec, "maxHeaderBytes"),
        _int_field(spec, "maxBodyBytes"),
        _float_field(spec, "headerTimeoutS"),
        _float_field(spec, "idleTimeoutS"),
    )


def decode_report(server_id: str, body: bytes) -> ServerReport:
    """Decode a heartbeat of a backend server.

    Raises:
        GuavagapError: BAD_REQUEST when the heartbeat is invalid.
    """
    try:
        value = _parse_object(body)
        state = _string_field(value, "state")
        slots = _int_field(value, "slots")
        if state not in (_READY, _DRAINING) or not 0 < slots <= MAX_SLOTS:
            raise ValueError(f"invalid state {state!r} or number of slots {slots}")
        parse_address(_string_field(value, "address"))
        return ServerReport(
            server_id,
            _string_field(value, "service"),
            _string_field(value, "version"),
            _string_field(value, "address"),
            slots,
            state == _DRAINING,
            _float_field(value, "coldRemainingS"),
            _start_time_ms(value),
            _int_field(value, "seq"),
        )
    except _DECODING_ERRORS as error:
        raise GuavagapError(
            ErrorKind.BAD_REQUEST, f"invalid heartbeat: {error!r}"[:MAX_DETAIL_LENGTH]
        ) from None


def _start_time_ms(value: dict) -> int:
    """Return the start time in Unix milliseconds, 0 if the heartbeat does not tell."""
    if "born" not in value:
        return 0
    start_time_ms = _int_field(value, "born")
    if start_time_ms not in range(MAX_START_TIME_MS):
        raise ValueError(f"invalid start time {start_time_ms}")
    return start_time_ms


def encode_status(service: str, rollout: Rollout) -> tuple[str, bytes]:
    """Return the key and value that report the state of a rollout to the operator."""
    states: dict[str, str] = {"completed": "completed", "rolled_back": "rolled_back"}
    body = {
        "state": states.get(rollout["state"], "running"),
        "targetVersion": rollout["to_version"],
    }
    return STATUS_PREFIX + service, json.dumps(body).encode()
