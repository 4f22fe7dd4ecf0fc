"""Hashing of textual order keys to the integers that the policy uses."""

from __future__ import annotations

import hashlib

KEY_BITS = 53  # order keys of the policy are integers below 2**53


def hash_order_key(text: str) -> int:
    """Return a stable hash of an order key, the same in all processes.

    Messages whose keys collide are delivered in order as well, which only delays them.
    """
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> (64 - KEY_BITS)
