"""Rendezvous hashing: an order of candidates that all nodes agree on."""

import hashlib
from typing import Callable, Iterable, TypeVar

__all__ = ["rendezvous_order", "rendezvous_score"]

Candidate = TypeVar("Candidate")


def rendezvous_score(key: str, candidate_id: str) -> int:
    """Return the score of a candidate for a key."""
    code = hashlib.blake2b(f"{key}\0{candidate_id}".encode(), digest_size=8).digest()
    return int.from_bytes(code, "big")


def rendezvous_order(
    key: str, candidates: Iterable[Candidate], identify: Callable[[Candidate], str]
) -> list[Candidate]:
    """Return the candidates, best first."""
    return sorted(
        candidates, key=lambda item: rendezvous_score(key, identify(item)), reverse=True
    )
