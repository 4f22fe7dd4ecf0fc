"""Reduction of the faults of a failing run to a small set that still breaks the same rule."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from honeybarrow.soak.plan import Fault
from honeybarrow.soak.rules import SoakRule

MAX_RUNS = 40
RunFaults = Callable[[Sequence[Fault]], frozenset[SoakRule]]


def shrink_faults(
    faults: Sequence[Fault], rule: SoakRule, run_faults: RunFaults, runs_per_candidate: int = 2
) -> list[Fault]:
    """Return a subset of the faults that still breaks the rule.

    Runs of real processes are not deterministic, so each candidate is run up to ``runs_per_candidate`` times
    and accepted if one of the runs breaks the rule. The result may therefore not break it in every run.

    :param run_faults: Runs the given faults and returns the rules that were broken.
    """
    remaining, chunk_size, runs = list(faults), max(1, len(faults) // 2), 0
    while chunk_size >= 1 and runs < MAX_RUNS:
        start, has_removed = 0, False
        while start < len(remaining) and runs < MAX_RUNS:
            candidate = remaining[:start] + remaining[start + chunk_size :]
            still_breaks = False
            for _ in range(runs_per_candidate):
                runs += 1
                if rule in run_faults(candidate):
                    still_breaks = True
                    break
            if still_breaks:
                remaining, has_removed = candidate, True
            else:
                start += chunk_size
        if chunk_size == 1 and not has_removed:
            break
        chunk_size = max(1, chunk_size // 2) if chunk_size > 1 else 1
    return remaining
