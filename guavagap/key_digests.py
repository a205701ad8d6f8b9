"""Digests of API keys, which stand for the keys everywhere but in the configuration."""

import hashlib

__all__ = ["key_digest"]

DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return the digest of an API key, 16 bytes of BLAKE2b."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
