"""Rendezvous hashing (Thaler, Ravishankar 1998): the same names lead to the same choice on each member.

Uses xxh3, because the values of ``hash()`` differ between processes. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def hash_fraction(*parts: str | int) -> float:
    """Return a hash of ``parts`` as a number from 0 to 1, equal in all processes.

    The first part is a salt that names the purpose. Salts are part of the protocol: members of two versions
    with different salts would make different choices.
    """
    return xxhash.xxh3_64_intdigest("\0".join(map(str, parts)).encode()) / 2**64


def select_by_rendezvous(names: Iterable[str], count: int, *salt: str | int) -> list[str]:
    """Return the ``count`` names that rank first for ``salt``.

    The relative order of two names does not depend on the other names.
    """
    return sorted(names, key=lambda name: (hash_fraction(*salt, name), name))[:count]
