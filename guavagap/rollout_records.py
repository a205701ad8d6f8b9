"""Records of rollouts that an operator's system has ordered.

The evaluator stores one record for each service in the platform's store, so that any
other node can continue the rollout.
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
    """The stored state of a service's latest rollout.

    Attributes:
        order_revision: revision of the rollout order.
        stable_version: target version of the latest completed rollout; empty before
            the first.
        rolled_back_versions: versions that were rolled back, which is final.
        rollout: progress of the rollout.
    """

    order_revision: int
    stable_version: str
    rolled_back_versions: tuple[str, ...]
    rollout: Rollout


def record_key(service: str) -> str:
    """Return the key of a service's record in the store."""
    return RECORD_PREFIX + service


def service_of_record(key: str) -> str | None:
    """Return the service of a record's key, or None for other keys."""
    if not key.startswith(RECORD_PREFIX):
        return None
    return key.removeprefix(RECORD_PREFIX)


def encode_record(record: RolloutRecord) -> bytes:
    """Encode a record as the JSON that is stored."""
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
            ErrorKind.FRAME_INVALID, f"invalid rollout record: {error!r}"
        ) from None
