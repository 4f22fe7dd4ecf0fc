"""Measurements of zone outages, taken from the stand-ins' event log alone."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

from honeybarrow.config.schema import PolicyConfig
from honeybarrow.fleet.zone_paths import is_within
from honeybarrow.rehearsal.event_log import EventKind, EventLogEntry
from honeybarrow.rehearsal.schema import Scenario

SECOND_US = 1_000_000
DETECTABLE_AFTER_US = 3 * SECOND_US  # time in which a fleet can detect an outage
BASELINE_US = 5 * SECOND_US  # time before an outage in which the usual load is measured
SAMPLE_STEP_US = SECOND_US // 4  # interval between samples of the load after an outage
SAMPLE_WINDOW_US = SECOND_US // 2  # length of a sample
LOST_CALL_KINDS = frozenset(
    {
        EventKind.CALL_IGNORED,
        EventKind.CONNECTION_ABANDONED,
        EventKind.CONNECTION_REFUSED,
        EventKind.CALL_LOST,
    }
)


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """Outage of a zone and the recovery after it; times in microseconds.

    ``lost_calls`` counts the calls to the zone that were lost during the outage, ``late_lost_calls`` those
    of them lost ``DETECTABLE_AFTER_US`` or more after its start. ``max_overload`` is the highest load after
    the outage, divided by the part of the usual load that the zone can carry while it warms up.
    ``half_load_after_us`` is the time from the end of the outage until the zone carries half of its usual
    load, or -1 if it never does.
    """

    zone: str
    kind: str
    start_us: int
    end_us: int
    lost_calls: int
    late_lost_calls: int
    usual_calls_per_s: float
    max_overload: float
    half_load_after_us: int


def find_zone_outages(
    entries: Sequence[EventLogEntry], scenario: Scenario, policy: PolicyConfig
) -> list[ZoneOutage]:
    """Return the outages of zones, in the order of ``entries``, which are sorted by time."""
    return [
        _measure_outage(entry, entries, scenario, policy)
        for entry in entries
        if entry.kind is EventKind.ZONE_FAULT
    ]


def _measure_outage(
    fault: EventLogEntry, entries: Sequence[EventLogEntry], scenario: Scenario, policy: PolicyConfig
) -> ZoneOutage:
    targets = {
        endpoint.target
        for partner in scenario.partners
        for endpoint in partner.endpoints
        if is_within(endpoint.zone, fault.source)
    }
    own = [each for each in entries if each["target"] in targets]
    calls_us = [each.at_us for each in own if each.kind is EventKind.CALL_STARTED]
    start_us, end_us = fault.at_us, fault.at_us + fault["last"]
    lost_us = [each.at_us for each in own if each.kind in LOST_CALL_KINDS and start_us <= each.at_us < end_us]
    usual = _count_between(calls_us, start_us - BASELINE_US, start_us) * SECOND_US / BASELINE_US
    max_overload, half_load_after_us = 0.0, -1
    for at_us in range(end_us, entries[-1].at_us - SAMPLE_WINDOW_US, SAMPLE_STEP_US):
        load = _count_between(calls_us, at_us, at_us + SAMPLE_WINDOW_US) * SECOND_US / SAMPLE_WINDOW_US
        since_return = (at_us - end_us) / max(1, policy.warm_up_us)
        sustainable = usual * min(1.0, policy.start_capacity + (1.0 - policy.start_capacity) * since_return)
        max_overload = max(max_overload, load / sustainable if sustainable else 0.0)
        if half_load_after_us < 0 and load >= usual / 2:
            half_load_after_us = at_us - end_us
    return ZoneOutage(
        fault.source,
        fault["kind"],
        start_us,
        end_us,
        len(lost_us),
        sum(at_us >= start_us + DETECTABLE_AFTER_US for at_us in lost_us),
        usual,
        max_overload,
        half_load_after_us,
    )


def _count_between(times_us: Sequence[int], start_us: int, end_us: int) -> int:
    return bisect_left(times_us, end_us) - bisect_left(times_us, start_us)


def format_zone_outages(outages: Sequence[ZoneOutage]) -> list[str]:
    """Return outages as lines of the printed report."""
    lines = []
    for each in outages:
        half = f"{each.half_load_after_us / SECOND_US:.1f} s" if each.half_load_after_us >= 0 else "never"
        lines.append(
            f"  zone {each.zone}, {each.kind} for {(each.end_us - each.start_us) / SECOND_US:g} s:"
            f" {each.lost_calls} calls lost there, {each.late_lost_calls} of them when a fleet could know;"
            f" back to half of {each.usual_calls_per_s:.0f} calls a second after {half},"
            f" at most {each.max_overload:.2f} times what a cold zone bears"
        )
    return lines
