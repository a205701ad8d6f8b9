"""A mirror of the metadata store's keys that outlives a restore of the store.

After a restore the store shows an older state until its writers have written again what
was lost. A mirror keeps the newest known content of each key meanwhile: that of the
highest rank, and among equal ranks the one that replaced what came back. What is
written at a position that the mirror had not reached in its era came back from no copy,
even if it is equal to something that was replaced before. A key that the store lacks
has been removed by nobody. Mirrors are merged in any order and end up
equal.
"""

import hashlib
from collections import deque
from typing import Callable, NamedTuple

from guavagap.configuration import Rejection
from guavagap.logs import get_logger
from guavagap.metadata_store import MirrorItem
from guavagap.store_positions import BEGINNING, StorePosition

__all__ = ["INVALID_RANK", "Content", "Mirror"]

log = get_logger()

# A restore goes back by seconds, in which few contents of a key replace each other.
MAX_REPLACED = 16
# Nodes that each take the content of the other for older agree after some corrections.
MAX_CORRECTIONS = 4
# A node that is further behind receives whole values.
MAX_EARLIER_BODIES = 3
# Rank of content that cannot be decoded, below that of all other content.
INVALID_RANK = -1


class Content(NamedTuple):
    """An item with its decoded value.

    Attributes:
        value: the decoded value; None for items that are of no use.
        rank: order of the contents of a key that their writers have given them; 0 for
            contents without one, which only their positions order.
        problem: why the item is rejected, or None.
    """

    item: MirrorItem
    value: object
    rank: int
    problem: str | None = None


class Mirror:
    """The newest known content of each mirrored key.

    Args:
        decode_item: returns the content of an item, with ``INVALID_RANK`` and the
            problem if it cannot be decoded.

    Attributes:
        position: the position up to which the store's history is mirrored.
        contents: contents by key.
        rejections: content that the store shows and that is not taken, by key.
    """

    def __init__(self, decode_item: Callable[[MirrorItem], Content]):
        self.position = BEGINNING
        self.contents: dict[str, Content] = {}
        self.rejections: dict[str, Rejection] = {}
        self._decode_item = decode_item
        self._replaced: dict[str, deque[bytes | None]] = {}
        # Keys that were removed from the store and are kept here.
        self._removed_keys: set[str] = set()
        # Positions of contents that were certainly written after the latest restore.
        self._written_at: dict[str, StorePosition] = {}
        self._digest: str | None = None
        self._earlier_bodies: dict[str, deque[tuple[StorePosition, bytes]]] = {}

    @property
    def digest(self) -> str:
        """Digest of the mirrored keys and their positions."""
        if self._digest is None:
            rows = sorted((key, held.item.order) for key, held in self.contents.items())
            text = repr(rows).encode()
            self._digest = hashlib.blake2b(text, digest_size=16).hexdigest()
        return self._digest

    @property
    def keys_behind(self) -> list[str]:
        """Keys of which the store shows something older than is held here."""
        return [key for key in self.contents if self.is_behind(key)]

    def is_behind(self, key: str) -> bool:
        """Return whether the store shows something older of a key than is held here."""
        content = self.contents.get(key)
        if content is None or content.item.outranks is None:
            return False
        # Other nodes took what the store shows for older, until they were corrected.
        return content.item.outranks != content.item.position

    def condition_of(self, key: str) -> StorePosition:
        """Return the position at which the store is known to show a key.

        It is the start of the era if the store does not have the key.
        """
        content = self.contents.get(key)
        if content is None or content.item.body is None or key in self._removed_keys:
            return self.position.start_of_era
        return content.item.shown_at

    def items_since(self, base: StorePosition) -> tuple[MirrorItem, ...]:
        """Return the items that the store has shown after a position."""
        items = (content.item for content in self.contents.values())
        return tuple(item for item in items if item.shown_at > base)

    def body_of(self, key: str) -> bytes | None:
        """Return the present body of a key, None if there is none."""
        content = self.contents.get(key)
        return None if content is None else content.item.body

    def body_at(self, key: str, position: StorePosition) -> bytes | None:
        """Return what a mirror at an earlier position has of a key, if it is known."""
        held = self.contents.get(key)
        if held is not None and held.item.position <= position:
            # What the store has shown since was not taken.
            return held.item.body
        for held_at, body in reversed(self._earlier_bodies.get(key, ())):
            if held_at <= position:
                return body
        return None

    def is_news(self, item: MirrorItem) -> bool:
        """Return whether an item was not read yet, or not by all nodes up to here."""
        held = self.contents.get(item.key)
        if held is None or item.position > self.position:
            return True
        return item.order > held.item.order

    def merge(
        self, items: tuple[MirrorItem, ...], position: StorePosition
    ) -> list[Content]:
        """Merge items that are complete up to a position.

        Args:
            items: items of one or more keys.
            position: the position; an earlier one than that of the mirror is ignored.

        Returns:
            The contents that have changed, in the order of their change.
        """
        keys = [item.key for item in items if self._merge_item(item)]
        self.position = max(self.position, position)
        keys += self._keep_missing_items()
        return [self.contents[key] for key in dict.fromkeys(keys)]

    def _merge_item(self, item: MirrorItem) -> bool:
        """Merge an item; return whether what is held of its key has changed."""
        held = self.contents.get(item.key)
        if held is not None and held.item.body == item.body:
            if item.order <= held.item.order:
                return False
            self._hold(held._replace(item=item))
            return True
        content = self._decode_item(item)
        if held is None:
            self._hold(content)
            return True
        is_written = self._is_written_since(item)
        if not self._replaces(content, held, is_written):
            return self._keep_held(held, content)
        if is_written:
            self._written_at[item.key] = item.position
        self._remember_replaced(held, content)
        self._hold(content._replace(item=_shown_no_earlier(item, held.item)))
        return True

    def _is_written_since(self, item: MirrorItem) -> bool:
        """Return whether an item was certainly written after the latest restore.

        A restore brings back what was written up to its copy, and any position reached
        in its era is that of the copy or a later one.
        """
        is_same_era = item.position.era == self.position.era
        return is_same_era and item.position > self.position and item.outranks is None

    def _replaces(self, content: Content, held: Content, is_written: bool) -> bool:
        """Return whether content of a key is newer than the content that is held.

        Args:
            content: the content.
            held: the content that is held.
            is_written: whether the content was written after the latest restore.
        """
        if content.rank != held.rank:
            return content.rank > held.rank
        if content.item.order <= held.item.order:
            return False
        if is_written:
            return True
        is_certain = self._written_at.get(held.item.key) == held.item.position
        if is_certain and content.item.position.era < held.item.position.era:
            return False
        if content.item.corrections >= MAX_CORRECTIONS:
            return True
        replaced = self._replaced.get(content.item.key, ())
        return not (_is_restored(content, held) and _digest(content.item) in replaced)

    def _keep_held(self, held: Content, content: Content) -> bool:
        """Keep newer content than is shown; return whether what is shown is news."""
        item, shown = held.item, content.item
        if shown.order <= item.order:
            return False
        is_removal = shown.body is None
        is_expected = is_removal or _is_restored(content, held)
        if content.problem is not None or not is_expected:
            self._reject(content, held)
        log.warning(
            "older state shown, newer one kept in force",
            key=item.key,
            position=str(item.position),
            rank=held.rank,
            shown_at=str(shown.shown_at),
            shown_rank=content.rank,
        )
        corrections = 0 if shown.outranks is None else shown.corrections + 1
        kept = item._replace(outranks=shown.shown_at, corrections=corrections)
        self._hold(held._replace(item=kept))
        if is_removal:
            self._removed_keys.add(item.key)
        return True

    def _reject(self, content: Content, held: Content) -> None:
        problem = content.problem or (
            f"version {content.rank} is lower than the current version {held.rank}"
        )
        item = content.item
        rejection = Rejection(item.key, 0, item.position.epoch, problem)
        self.rejections[item.key] = rejection
        log.error("configuration rejected", **rejection._asdict())

    def _remember_replaced(self, held: Content, content: Content) -> None:
        """Remember what was replaced, in case that a restore brings it back.

        After a restore it is not certain which of two contents without a rank is older.
        """
        if content.rank or held.rank or _is_restored(content, held):
            return
        replaced = self._replaced.setdefault(held.item.key, deque(maxlen=MAX_REPLACED))
        digest = _digest(content.item)
        if digest in replaced:
            replaced.remove(digest)
        replaced.append(_digest(held.item))

    def _keep_missing_items(self) -> list[str]:
        """Keep in force what was mirrored and is missing after a restore."""
        start = self.position.start_of_era
        missing = [
            content
            for content in self.contents.values()
            if content.item.shown_at < start
        ]
        for content in missing:
            log.warning(
                "key missing in the restored store, kept in force",
                key=content.item.key,
                position=str(content.item.position),
                rank=content.rank,
            )
            self._hold(content._replace(item=content.item._replace(outranks=start)))
        return [content.item.key for content in missing]

    def _hold(self, content: Content) -> None:
        self._keep_earlier_body(content)
        self.contents[content.item.key] = content
        self._removed_keys.discard(content.item.key)
        self._digest = None
        if content.problem is not None:
            self._reject(content, content)
        elif content.item.outranks is None:
            self.rejections.pop(content.item.key, None)

    def _keep_earlier_body(self, content: Content) -> None:
        held = self.contents.get(content.item.key)
        if held is None or held.item.body in (None, content.item.body):
            return
        bodies = self._earlier_bodies.setdefault(
            content.item.key, deque(maxlen=MAX_EARLIER_BODIES)
        )
        bodies.append((held.item.position, held.item.body))


def _is_restored(content: Content, held: Content) -> bool:
    """Return whether a restore may have brought content back that was replaced."""
    is_era_newer = content.item.shown_at.era > held.item.shown_at.era
    return is_era_newer or held.item.outranks is not None


def _digest(item: MirrorItem) -> bytes | None:
    if item.body is None:
        return None
    return hashlib.blake2b(item.body, digest_size=16).digest()


def _shown_no_earlier(item: MirrorItem, other: MirrorItem) -> MirrorItem:
    """Return the item, marked if the store shows another one at a later position."""
    if other.shown_at <= item.shown_at:
        return item
    return item._replace(outranks=other.shown_at)
