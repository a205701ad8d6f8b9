"""Positions in the history of the platform's metadata store.

A store that is restored from an older copy starts a new era: it has forgotten what it
acknowledged after the copy, and gives out revisions again. Only positions order what
was read from it; they are made by the adapter of the platform.
"""

from typing import NamedTuple

__all__ = [
    "BEGINNING",
    "MAX_ERA",
    "MAX_REVISION",
    "StorePosition",
    "describe_epoch",
    "position_of_epoch",
]

# An epoch is an integer of 64 bits: 24 bits of the era and 40 of the revision.
REVISION_BITS = 40
MAX_ERA = (1 << 24) - 1
MAX_REVISION = (1 << REVISION_BITS) - 1


class StorePosition(NamedTuple):
    """A position in the history of a store; positions compare in the order of reading.

    Attributes:
        era: number of restores before; 0 for a store that does not tell.
        revision: revision of a change within the era; 0 before the first one.
    """

    era: int
    revision: int

    @property
    def epoch(self) -> int:
        """The position as the integer that nodes exchange, in the same order."""
        return self.era << REVISION_BITS | self.revision

    @property
    def start_of_era(self) -> "StorePosition":
        """The position before the first change of the same era."""
        return StorePosition(self.era, 0)

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"


BEGINNING = StorePosition(0, 0)


def position_of_epoch(epoch: int) -> StorePosition:
    """Return the position that :attr:`StorePosition.epoch` was made from."""
    return StorePosition(epoch >> REVISION_BITS, epoch & MAX_REVISION)


def describe_epoch(epoch: int) -> str:
    """Return an epoch for logs: ``ERA/REVISION``, or a number if it has no era."""
    position = position_of_epoch(epoch)
    return str(position) if position.era else str(epoch)
