"""Service documents: schema, decoding and validation.

A document is a TOML file. Its decoded form, a :class:`Document`, is stored in the
platform and transferred between nodes as canonical JSON.
"""

import hashlib
import json
import tomllib
from datetime import datetime, timezone
from typing import Annotated, Literal, NamedTuple, NotRequired

from expression import Error, Ok, Result
from typing_extensions import TypedDict

from guavagap.validation import STRICT, InvalidValueError, Limits, make_validator

__all__ = [
    "Document",
    "MAX_DOCUMENT_BYTES",
    "Pool",
    "Problem",
    "Route",
    "WantedVersion",
    "check_document",
    "decode_document",
    "compute_digest",
    "encode_document",
    "parse_document",
    "routes_overlap",
]

MAX_DOCUMENT_BYTES = 65_536

Name = Annotated[str, Limits(pattern=r"^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$")]
VersionName = Annotated[str, Limits(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
HostName = Annotated[
    str, Limits(pattern=r"^(\*|[a-z0-9]([a-z0-9.-]{0,252}[a-z0-9])?)$")
]
PathPrefix = Annotated[str, Limits(pattern=r"^/[^?#\s]*$", max_length=512)]
Method = Literal["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]
Timestamp = Annotated[
    str, Limits(pattern=r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)$")
]


class Pool(TypedDict):
    """Backend servers of the service that announce the same pool name.

    Attributes:
        name: the announced name of the pool.
        min_available_share: below this share of healthy backend servers, health
            observations are ignored.
        max_in_flight: maximum number of requests in flight to one backend server;
            the announced slots apply if it is absent.
    """

    __pydantic_config__ = STRICT

    name: Name
    min_available_share: NotRequired[Annotated[float, Limits(ge=0, le=1)]]
    max_in_flight: NotRequired[Annotated[int, Limits(ge=1, le=1000)]]


class Route(TypedDict):
    """The requests that a route matches and how they are handled.

    Attributes:
        name: unique within the document.
        host: the Host header without port, or ``*``.
        path_prefix: matches whole path segments.
        methods: the request methods; absent for all methods.
        is_idempotent: whether a request may safely be executed more than once.
        timeout_s: deadline of a request, from its head to its complete response.
        retry_share: retries allowed as a share of recent successes.
        sticky_header: requests with the same value of this header are routed to the
            same backend server version during a rollout.
        pool: name of a pool of this document.
    """

    __pydantic_config__ = STRICT

    name: Name
    host: HostName
    path_prefix: PathPrefix
    methods: NotRequired[Annotated[list[Method], Limits(min_length=1)]]
    is_idempotent: bool
    timeout_s: Annotated[float, Limits(gt=0, le=600)]
    retry_share: NotRequired[Annotated[float, Limits(ge=0, le=0.5)]]
    sticky_header: NotRequired[Annotated[str, Limits(pattern=r"^[a-z0-9-]{1,64}$")]]
    pool: Name


class WantedVersion(TypedDict):
    """The backend server version that should receive all traffic.

    Attributes:
        backend_server_version: the version that backend servers announce.
        complete_by: RFC 3339 time by which it should receive all traffic.
        state: ``run``, ``pause`` (keeps the weight) or ``abort`` (sets it to zero).
    """

    __pydantic_config__ = STRICT

    backend_server_version: VersionName
    complete_by: Timestamp
    state: NotRequired[Literal["run", "pause", "abort"]]


class Document(TypedDict):
    """The configuration of one service.

    Attributes:
        service: name of the service, unique in the mesh.
        owner: the team or person responsible for the service.
        edited_from: version of the document that this edit is based on; 0 for the
            first document.
    """

    __pydantic_config__ = STRICT

    service: Name
    owner: Annotated[str, Limits(min_length=1, max_length=200)]
    edited_from: Annotated[int, Limits(ge=0)]
    wanted: WantedVersion
    pools: Annotated[list[Pool], Limits(min_length=1, max_length=32)]
    routes: Annotated[list[Route], Limits(min_length=1, max_length=128)]


class Problem(NamedTuple):
    """One validation error of a document.

    Attributes:
        file: the file, or the service if there is no file.
        path: path within the document, such as ``routes[0].timeout_s``.
        reason: the error and the allowed values.
    """

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path or 'document'}: {self.reason}"


_VALIDATOR = make_validator(Document)


def _format_path(location: tuple) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".")


def _find_duplicate_names(file: str, path: str, names: list[str]) -> list[Problem]:
    return [
        Problem(file, f"{path}[{index}].name", f"duplicate name {name!r}")
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def _find_semantic_problems(document: Document, file: str) -> list[Problem]:
    pool_names = [pool["name"] for pool in document["pools"]]
    route_names = [route["name"] for route in document["routes"]]
    problems = _find_duplicate_names(file, "pools", pool_names)
    problems += _find_duplicate_names(file, "routes", route_names)
    for index, route in enumerate(document["routes"]):
        if route["pool"] not in pool_names:
            reason = f"no pool {route['pool']!r}; pools are {', '.join(pool_names)}"
            problems.append(Problem(file, f"routes[{index}].pool", reason))
        for earlier in range(index):
            if routes_overlap(route, document["routes"][earlier]):
                reason = f"matches the same requests as routes[{earlier}]"
                problems.append(Problem(file, f"routes[{index}]", reason))
    try:
        datetime.fromisoformat(document["wanted"]["complete_by"])
    except ValueError as error:
        problems.append(Problem(file, "wanted.complete_by", str(error)))
    return problems


def routes_overlap(first: Route, second: Route) -> bool:
    """Return whether two routes have the same host and prefix and share a method.

    Routes that are restricted to methods take precedence over a route for all methods,
    so the latter overlaps only another route for all methods.
    """
    if first["host"] != second["host"]:
        return False
    if first["path_prefix"].rstrip("/") != second["path_prefix"].rstrip("/"):
        return False
    if "methods" not in first or "methods" not in second:
        return "methods" not in first and "methods" not in second
    return bool(set(first["methods"]) & set(second["methods"]))


def check_document(value: object, file: str) -> Result[Document, list[Problem]]:
    """Validate a decoded document.

    Args:
        value: the decoded TOML or JSON.
        file: file name, or name of the service, for the problems.

    Returns:
        The document, or all problems found in it.
    """
    try:
        document = _VALIDATOR.validate(value)
    except InvalidValueError as error:
        return Error(
            [
                Problem(file, _format_path(location), reason)
                for location, reason in error.problems
            ]
        )
    problems = _find_semantic_problems(document, file)
    size_bytes = len(encode_document(document))
    if size_bytes > MAX_DOCUMENT_BYTES:
        reason = f"{size_bytes} bytes, the limit is {MAX_DOCUMENT_BYTES}"
        problems.append(Problem(file, "", reason))
    return Error(problems) if problems else Ok(document)


def _format_datetimes(value: object) -> object:
    """Replace TOML date-times with RFC 3339 strings."""
    if isinstance(value, datetime):
        if value.tzinfo is None:
            return value.isoformat()
        return value.astimezone(timezone.utc).isoformat().replace("+00:00", "Z")
    if isinstance(value, dict):
        return {name: _format_datetimes(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_format_datetimes(item) for item in value]
    return value


def parse_document(text: str, file: str) -> Result[Document, list[Problem]]:
    """Decode and validate the TOML text of a document."""
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([Problem(file, "", f"not TOML: {error}")])
    return check_document(_format_datetimes(value), file)


def encode_document(document: Document) -> bytes:
    """Encode a document as canonical JSON."""
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def decode_document(body: bytes, file: str) -> Result[Document, list[Problem]]:
    """Decode and validate the canonical JSON of a document."""
    try:
        value = json.loads(body)
    except ValueError as error:
        return Error([Problem(file, "", f"not JSON: {error}")])
    return check_document(value, file)


def compute_digest(body: bytes) -> str:
    """Return the digest under which a body is stored and verified."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
