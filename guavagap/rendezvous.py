"""Rendezvous hashing: an order of candidates that is the same on all nodes."""

import hashlib
from typing import Callable, Iterable, TypeVar

__all__ = ["rendezvous_order", "rendezvous_score"]

Candidate = TypeVar("Candidate")


def rendezvous_score(key: str, candidate_id: str) -> int:
    """Return the rendezvous score of a candidate for a key."""
    digest_bytes = hashlib.blake2b(
        f"{key}\0{candidate_id}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest_bytes, "big")


def rendezvous_order(
    key: str, candidates: Iterable[Candidate], identify: Callable[[Candidate], str]
) -> list[Candidate]:
    """Return the candidates by descending score."""
    return sorted(
        candidates, key=lambda item: rendezvous_score(key, identify(item)), reverse=True
    )
