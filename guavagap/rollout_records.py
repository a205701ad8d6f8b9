"""Records of rollouts that an operator's system has ordered.

The evaluator stores one record for each service in the platform's store, so that any
other node can continue the rollout.
"""

import json
from typing import NamedTuple, get_args

from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Rollout, RolloutState

__all__ = [
    "RECORD_PREFIX",
    "RolloutRecord",
    "decode_record",
    "encode_record",
    "record_key",
    "service_of_record",
]

RECORD_PREFIX = "mesh/rollout/"


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
            _decode_rollout(value["rollout"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"invalid rollout record: {error!r}"
        ) from None


def _decode_rollout(value: dict) -> Rollout:
    """Check a decoded rollout.

    This is done without a validator, since loading one would stall the requests of a
    node that runs its first rollout.

    Raises:
        ValueError, KeyError, TypeError: it is not a rollout.
    """
    if value["state"] not in get_args(RolloutState):
        raise ValueError(f"unknown state {value['state']!r}")
    return Rollout(
        from_version=str(value["from_version"]),
        to_version=str(value["to_version"]),
        state=value["state"],
        weight_permille=int(value["weight_permille"]),
        started_at_s=float(value["started_at_s"]),
        stage_started_at_s=float(value["stage_started_at_s"]),
        complete_by_s=float(value["complete_by_s"]),
        reason=str(value["reason"]),
    )
