"""Decisions of the intake: what a message that can't be held is told, and what time each recipient has.

No I/O, no clock: times are arguments, in microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

TURN_AWAY_US = 200_000  # the first advice when room is gone; about what a slot needs for a call or two
TURN_AWAY_MOST_US = 3_000_000  # and the most: a client told to stay away longer misses the room that comes
SPREAD = 0.5  # part of the advice that chance may add, so that those turned away together come apart


def turn_away_us(in_a_row: int, limit_us: int, rng: random.Random) -> int:
    """When a client that found no room may come back: longer the more were turned away in a row."""
    if limit_us <= 0:
        return 0
    base = min(TURN_AWAY_MOST_US, TURN_AWAY_US * (1.0 + in_a_row / 8))
    return min(limit_us, int(base * (1.0 + SPREAD * rng.random())))


def batch_times(left_us: Sequence[int]) -> list[int]:
    """The time of each recipient of a batch whose answers go out in order (RFC 2033 4.2).

    The answer of an early recipient must be out before a later one's time is up, or the later
    answer is late though it is known; so none has longer than any behind it.
    """
    times: list[int] = []
    least: int | None = None
    for left in reversed(left_us):
        least = left if least is None else min(least, left)
        times.append(least)
    return times[::-1]


def time_left_us(deadline_us: int, by_us: int | None, told_us: int | None, spent_us: int) -> int:
    """What is left of a message's time: the class's deadline from now, or what the client says, if sooner.

    ``by_us`` runs from the client's MAIL command, ``spent_us`` ago (RFC 2852 4); ``told_us`` from the
    end of data.
    """
    left = deadline_us
    if by_us is not None:
        left = min(left, by_us - spent_us)
    if told_us is not None:
        left = min(left, told_us)
    return left
