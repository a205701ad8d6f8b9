"""Differences between two values of a key.

A configuration is one value of up to a megabyte, of which a new version changes little.
Nodes that have the value before it receive the difference. A value is taken as a list
of pieces, which are separated where a JSON object of a list ends; any other value is a
single piece, and its patch is as long as itself.
"""

import base64
import hashlib
from typing import TypedDict

from guavagap.errors import ErrorKind, GuavagapError

__all__ = ["Patch", "PatchBaseError", "apply_patch", "make_patch"]

SEPARATOR = b"},"
# Smaller values are sent as they are.
MIN_PATCHED_BYTES = 4096
MAX_PATCH_SHARE = 0.5


class Patch(TypedDict):
    """How to make a value from the one before it.

    Attributes:
        base: digest of the value before it.
        pieces: ranges of pieces of that value, as pairs of the first index and the
            index after the last one, and new pieces in base64.
    """

    base: str
    pieces: list[list[int] | str]


class PatchBaseError(GuavagapError):
    """A patch of a value that this node does not have."""

    def __init__(self, key: str):
        super().__init__(ErrorKind.FRAME_INVALID, f"patch of an unknown value of {key}")


def _digest(value: bytes) -> str:
    return hashlib.blake2b(value, digest_size=16).hexdigest()


def make_patch(base: bytes, value: bytes) -> Patch | None:
    """Return the patch from one value to another, None if it would not be smaller."""
    if min(len(base), len(value)) < MIN_PATCHED_BYTES:
        return None
    indices: dict[bytes, int] = {}
    for index, piece in enumerate(base.split(SEPARATOR)):
        indices.setdefault(piece, index)
    pieces: list[list[int] | str] = []
    literal_bytes = 0
    for piece in value.split(SEPARATOR):
        index = indices.get(piece)
        if index is None:
            pieces.append(base64.b64encode(piece).decode())
            literal_bytes += len(piece)
        elif pieces and isinstance(pieces[-1], list) and pieces[-1][1] == index:
            pieces[-1][1] = index + 1
        else:
            pieces.append([index, index + 1])
    if literal_bytes > MAX_PATCH_SHARE * len(value):
        return None
    return Patch(base=_digest(base), pieces=pieces)


def apply_patch(key: str, base: bytes | None, patch: Patch) -> bytes:
    """Return the value that a patch makes from the one before it.

    Raises:
        PatchBaseError: ``base`` is not that value.
        ValueError, TypeError, KeyError: the patch is malformed.
    """
    if base is None or _digest(base) != patch["base"]:
        raise PatchBaseError(key)
    known = base.split(SEPARATOR)
    pieces: list[bytes] = []
    for piece in patch["pieces"]:
        if isinstance(piece, str):
            pieces.append(base64.b64decode(piece))
            continue
        first, end = piece
        if not 0 <= first < end <= len(known):
            raise ValueError(f"no pieces {first} to {end} of {len(known)}")
        pieces += known[first:end]
    return SEPARATOR.join(pieces)
