"""Records of rollouts that an operator's system has ordered.

The evaluator stores one record for each service in the platform's store, so that any
other node can continue the rollout.
"""

import json
from typing import NamedTuple, get_args

from guavagap.declarations import RolloutOrder
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Rollout, RolloutState
from guavagap.store_positions import StorePosition

__all__ = [
    "FINAL_STATES",
    "RECORD_PREFIX",
    "RolloutRecord",
    "decode_record",
    "encode_record",
    "is_record_of",
    "record_key",
    "record_rank",
    "service_of_record",
]

RECORD_PREFIX = "mesh/rollout/"
FINAL_STATES = ("completed", "rolled_back")


class RolloutRecord(NamedTuple):
    """The stored state of a service's latest rollout.

    Attributes:
        order_position: position of the rollout order.
        stable_version: target version of the latest completed rollout; empty before
            the first.
        rolled_back_versions: versions that were rolled back, which is final.
        rollout: progress of the rollout.
        sequence: number of decisions on the service's rollouts so far, by which a
            record is known to be older after a restore of the store.
    """

    order_position: StorePosition
    stable_version: str
    rolled_back_versions: tuple[str, ...]
    rollout: Rollout
    sequence: int = 0


def record_key(service: str) -> str:
    """Return the key of a service's record in the store."""
    return RECORD_PREFIX + service


def service_of_record(key: str) -> str | None:
    """Return the service of a record's key, or None for other keys."""
    if not key.startswith(RECORD_PREFIX):
        return None
    return key.removeprefix(RECORD_PREFIX)


def is_record_of(
    record: RolloutRecord, position: StorePosition, order: RolloutOrder
) -> bool:
    """Return whether a record is that of an order, or of a later one.

    An operator writes its orders again after a restore of the store. Such an order is
    the one that the record is of if it names the same version.

    Args:
        record: a record.
        position: position of the order.
        order: an order for the service of the record.
    """
    if record.order_position >= position:
        return True
    is_written_again = record.order_position.era < position.era
    return is_written_again and record.rollout["to_version"] == order.to_version


def record_rank(record: RolloutRecord) -> int:
    """Return the order of a record among those of its service, from 0.

    Two nodes may have decided at the same time before and after a restore; a verdict
    then goes before a stage.
    """
    if not record.sequence:
        return 0
    return 2 * record.sequence + (record.rollout["state"] in FINAL_STATES)


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
            _decode_order_position(value),
            str(value["stable_version"]),
            tuple(str(version) for version in value["rolled_back_versions"]),
            _decode_rollout(value["rollout"]),
            int(value.get("sequence", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"invalid rollout record: {error!r}"
        ) from None


def _decode_order_position(value: dict) -> StorePosition:
    """Return the position of the order; records of earlier releases have no era."""
    if "order_position" not in value:
        return StorePosition(0, int(value["order_revision"]))
    era, revision = value["order_position"]
    return StorePosition(int(era), int(revision))


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
