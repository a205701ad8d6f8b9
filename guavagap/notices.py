"""Rollback notices: a grow-only set of versions that receive no traffic."""

import hashlib

from guavagap.messages import Notice

__all__ = ["NoticeSet"]


class NoticeSet:
    """The rollback notices known to this node.

    Attributes:
        digest: XOR of the digests of the notices, which is equal on all nodes with the
            same notices.
    """

    def __init__(self):
        self.digest = 0
        self._notices: dict[tuple[str, str], Notice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def add(self, notice: Notice) -> bool:
        """Add a notice; return whether it was not known before."""
        key = (notice.service, notice.version)
        if key in self._notices:
            return False
        self._notices[key] = notice
        key_digest = hashlib.blake2b("\0".join(key).encode(), digest_size=8).digest()
        self.digest ^= int.from_bytes(key_digest, "big")
        return True

    def is_rolled_back(self, service: str, version: str) -> bool:
        """Return whether a version must receive no traffic."""
        return (service, version) in self._notices

    def all(self) -> tuple[Notice, ...]:
        """Return every notice."""
        return tuple(self._notices.values())

    def of_service(self, service: str) -> list[Notice]:
        """Return the notices of one service."""
        return [
            notice for notice in self._notices.values() if notice.service == service
        ]
