"""Plots of a run: calls and lost calls by zone, and the faults. Requires matplotlib."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from honeybarrow.errors import HoneybarrowError
from honeybarrow.rehearsal.event_log import EventKind, EventLogEntry
from honeybarrow.rehearsal.schema import Scenario
from honeybarrow.rehearsal.zone_outages import LOST_CALL_KINDS

SECOND_US = 1_000_000
SHADED_FAULT_KINDS = frozenset(
    {"zone_down", "zone_cut", "link_cut", "link_one_way", "link_slow", "link_lossy"}
)


class PlotError(HoneybarrowError):
    """The plot could not be written."""

    code = "HB901"
    remedy = "omit --plot, or install the development requirements"


def plot(entries: Sequence[EventLogEntry], scenario: Scenario, path: Path) -> None:
    """Write a plot of a run to ``path``, in the format given by its suffix.

    Raises :class:`PlotError` if matplotlib is missing, there are no entries or the file can't be written.
    """
    try:
        import matplotlib
    except ImportError:
        raise PlotError("matplotlib is not installed") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    if not entries:
        raise PlotError("nothing happened in this run: its event log is empty")
    counts = _count_calls(entries, scenario)
    seconds = range(0, scenario.duration_us // SECOND_US + 10)
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(10, 6), sharex=True)
    for zone in counts.zones:
        upper.plot(seconds, [counts.calls[zone, second] for second in seconds], label=f"zone {zone}")
        lower.plot(seconds, [counts.lost_calls[zone, second] for second in seconds], label=f"zone {zone}")
    for fault in scenario.faults:
        if fault.kind in SHADED_FAULT_KINDS:
            shade = {"color": "red" if fault.kind.startswith("zone") else "grey", "alpha": 0.12}
            for axis in (upper, lower):
                axis.axvspan(
                    fault.start_us / SECOND_US, (fault.start_us + fault.duration_us) / SECOND_US, **shade
                )
            upper.text(fault.start_us / SECOND_US, 0, f"{fault.kind} {fault.target}", rotation=90, fontsize=7)
    upper.set_ylabel("calls a second")
    upper.set_title(f"{scenario.name}, seed {scenario.seed}")
    upper.legend(loc="upper right")
    lower.set_ylabel("lost a second")
    lower.set_xlabel("seconds")
    figure.tight_layout()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PlotError(str(error)) from None
    finally:
        pyplot.close(figure)


class CallCounts(NamedTuple):
    """Calls and lost calls by zone and second of the run, and the names of the zones."""

    calls: Counter[tuple[str, int]]
    lost_calls: Counter[tuple[str, int]]
    zones: list[str]


def _count_calls(entries: Sequence[EventLogEntry], scenario: Scenario) -> CallCounts:
    zones = {
        endpoint.target: endpoint.zone or "-"
        for partner in scenario.partners
        for endpoint in partner.endpoints
    }
    starts_us = (each.at_us for each in entries if each.kind is EventKind.RUN_STARTED)
    start_us = next(starts_us, entries[0].at_us)
    counts = CallCounts(Counter(), Counter(), sorted(dict.fromkeys(zones.values())))
    for each in entries:
        zone = zones.get(each["target"] or "")
        if zone is None:
            continue
        second = (each.at_us - start_us) // SECOND_US
        if each.kind is EventKind.CALL_STARTED:
            counts.calls[zone, second] += 1
        elif each.kind in LOST_CALL_KINDS:
            counts.lost_calls[zone, second] += 1
    return counts
