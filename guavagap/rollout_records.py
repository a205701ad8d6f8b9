"""Records of rollouts that an operator's system has ordered.

The evaluator keeps one record for each service in the platform's store, so that
any other node can go on with the rollout.
"""

import json
from typing import NamedTuple

from pydantic import TypeAdapter, ValidationError

from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Rollout

__all__ = [
    "RECORD_PREFIX",
    "RolloutRecord",
    "decode_record",
    "encode_record",
    "record_key",
    "service_of_record",
]

RECORD_PREFIX = "mesh/rollout/"

_ROLLOUT_ADAPTER = TypeAdapter(Rollout)


class RolloutRecord(NamedTuple):
    """What is kept of a service's latest rollout.

    Attributes:
        order_revision: revision of the order that it carries out.
        stable_version: version that the latest completed rollout brought; empty
            before the first.
        rolled_back_versions: versions with a final negative verdict.
        rollout: its progress.
    """

    order_revision: int
    stable_version: str
    rolled_back_versions: tuple[str, ...]
    rollout: Rollout


def record_key(service: str) -> str:
    """Return the store's key of a service's record."""
    return RECORD_PREFIX + service


def service_of_record(key: str) -> str | None:
    """Return the service whose record a key holds, None for other keys."""
    if not key.startswith(RECORD_PREFIX):
        return None
    return key.removeprefix(RECORD_PREFIX)


def encode_record(record: RolloutRecord) -> bytes:
    """Return the JSON that the store holds."""
    return json.dumps(record._asdict(), separators=(",", ":")).encode()


def decode_record(body: bytes) -> RolloutRecord:
    """Decode the JSON of a record.

    Raises:
        GuavagapError: FRAME_INVALID.
    """
    try:
        value = json.loads(body)
        return RolloutRecord(
            int(value["order_revision"]),
            str(value["stable_version"]),
            tuple(str(version) for version in value["rolled_back_versions"]),
            _ROLLOUT_ADAPTER.validate_python(value["rollout"]),
        )
    except (ValueError, KeyError, TypeError, ValidationError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"the rollout record does not decode: {error!r}"
        ) from None
