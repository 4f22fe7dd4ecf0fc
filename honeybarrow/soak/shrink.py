"""Cuts the faults of a failing run down to few that still break the same rule."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from honeybarrow.soak.plan import Fault
from honeybarrow.soak.rules import SoakRule

MAX_PLAYS = 40  # a run takes half a minute
PlayFaults = Callable[[Sequence[Fault]], frozenset[SoakRule]]


def shrink_faults(faults: Sequence[Fault], rule: SoakRule, play: PlayFaults, tries: int = 2) -> list[Fault]:
    """Return fewer faults with which one of ``tries`` plays still breaks the rule.

    ``play`` returns the rules that a play with these faults breaks. Real processes do not run the same way
    twice, so what is left need not break it each time.
    """
    left, size, plays = list(faults), max(1, len(faults) // 2), 0
    while size >= 1 and plays < MAX_PLAYS:
        start, has_removed = 0, False
        while start < len(left) and plays < MAX_PLAYS:
            candidate = left[:start] + left[start + size :]
            still_breaks = False
            for _ in range(tries):
                plays += 1
                if rule in play(candidate):
                    still_breaks = True
                    break
            if still_breaks:
                left, has_removed = candidate, True
            else:
                start += size
        if size == 1 and not has_removed:
            break
        size = max(1, size // 2) if size > 1 else 1
    return left
