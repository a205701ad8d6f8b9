"""Rollback notices: versions that get no traffic, a set that only grows."""

import hashlib

from guavagap.messages import Notice

__all__ = ["NoticeSet"]


class NoticeSet:
    """Notices known to this node."""

    def __init__(self):
        self.digest = 0
        self._notices: dict[tuple[str, str], Notice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def add(self, notice: Notice) -> bool:
        """Take a notice; return whether it is news."""
        key = (notice.service, notice.version)
        if key in self._notices:
            return False
        self._notices[key] = notice
        code = hashlib.blake2b("\0".join(key).encode(), digest_size=8).digest()
        self.digest ^= int.from_bytes(code, "big")
        return True

    def is_rolled_back(self, service: str, version: str) -> bool:
        """Return whether a version must get no traffic."""
        return (service, version) in self._notices

    def all(self) -> tuple[Notice, ...]:
        """Return every notice."""
        return tuple(self._notices.values())

    def of_service(self, service: str) -> list[Notice]:
        """Return the notices of one service."""
        return [item for item in self._notices.values() if item.service == service]
