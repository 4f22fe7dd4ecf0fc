"""Pooled evidence of several members, and the assessment whether it shows a failing zone.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from honeybarrow.fleet.call_evidence import CallTally
from honeybarrow.fleet.zone_config import EvidenceConfig
from honeybarrow.fleet.zone_messages import BucketResults, EvidenceCell, EvidenceReport


@dataclass(frozen=True, slots=True)
class FailureAssessment:
    """Result of assessing the pooled evidence on a zone."""

    is_failing: bool
    since_bucket: int = 0  # age of the bucket in which the failure began
    successes: int = 0
    failures: int = 0
    failing_destinations: tuple[int, ...] = ()


NO_FAILURE = FailureAssessment(False)


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A member's report and the time of its arrival."""

    received_us: int  # of the receiver's monotonic clock
    report: EvidenceReport


Reports = Mapping[str, ReceivedReport]  # by member name


@dataclass(slots=True)
class EvidencePool:
    """Evidence of several members, summed by zone, destination and age in buckets."""

    config: EvidenceConfig
    tallies: dict[tuple[str, int], list[CallTally]] = field(default_factory=dict)  # lists are indexed by age
    reporters: dict[str, CallTally] = field(default_factory=dict)  # by member name
    other_zones: dict[int, CallTally] = field(default_factory=dict)  # by age

    def add_report(self, now: int, reporter: str, received: ReceivedReport, max_age: int) -> None:
        """Add a member's report, with ages as of ``now``; ignore calls of ``max_age`` buckets or older."""
        age_offset = (now - received.received_us) // self.config.bucket_us
        self.add_cells(reporter, received.report.cells, age_offset, max_age)
        self.add_other_zones(received.report.other_zones[: self.config.bucket_count], age_offset)

    def add_cells(
        self, reporter: str, cells: Iterable[EvidenceCell], age_offset: int = 0, max_age: int = 1 << 30
    ) -> None:
        """Add cells reported ``age_offset`` buckets ago that are younger than ``max_age`` buckets."""
        total = CallTally()
        for cell in cells:
            age = cell.age + age_offset
            if not 0 <= age < min(self.config.bucket_count, max_age):
                continue
            key = (cell.zone, cell.destination)
            if key not in self.tallies:
                self.tallies[key] = [CallTally() for _ in range(self.config.bucket_count)]
            tally = self.tallies[key][age]
            tally.successes += cell.successes
            tally.failures += cell.failures
            tally.pending += cell.pending
            total.successes += cell.successes
            total.failures += cell.failures
        self.reporters[reporter] = total

    def add_other_zones(self, results: Iterable[BucketResults], age_offset: int = 0) -> None:
        """Add the results of a member's calls to all other zones, newest bucket first."""
        for age, result in enumerate(results, age_offset):
            if age < self.config.bucket_count:
                tally = self.other_zones.setdefault(age, CallTally())
                tally.successes += result.successes
                tally.failures += result.failures

    def have_other_zones_succeeded(self, since_bucket: int) -> bool:
        """Return whether calls to other zones mostly succeeded during the failure.

        Calls in the bucket in which the failure began and calls after the last failure do not count, because
        they may succeed before and after an outage of all zones.
        """
        has_failures = [
            any(row[age].failures for row in self.tallies.values()) for age in range(self.config.bucket_count)
        ]
        newest_failure_age = has_failures.index(True) if True in has_failures else since_bucket
        min_age = min(newest_failure_age, since_bucket - 1)
        rows = [tally for age, tally in self.other_zones.items() if min_age <= age < since_bucket]
        return sum(row.successes for row in rows) > sum(row.failures for row in rows)

    def count_since(self, since_bucket: int) -> CallTally:
        """Return the results of calls sent at most ``since_bucket`` buckets ago."""
        rows = [tally for ages in self.tallies.values() for tally in ages[: since_bucket + 1]]
        return CallTally(sum(row.successes for row in rows), sum(row.failures for row in rows))

    def has_recovered(self) -> bool:
        """Return whether most calls sent after the last failure succeeded.

        Without this check, failures that are still in the window would eject a zone whose outage is over.
        """
        successes = pending = 0
        for age in range(self.config.bucket_count):
            rows = [ages[age] for ages in self.tallies.values()]
            if any(row.failures for row in rows):
                return False
            successes += sum(row.successes for row in rows)
            pending += sum(row.pending for row in rows)
            if successes > 1 and successes >= self.config.failure_ratio * (successes + pending):
                return True
        return False

    def count_by_zone(self) -> dict[str, CallTally]:
        """Return the results of all calls by zone."""
        found: dict[str, CallTally] = {}
        for (zone, _), ages in self.tallies.items():
            total = found.setdefault(zone, CallTally())
            total.successes += sum(row.successes for row in ages)
            total.failures += sum(row.failures for row in ages)
        return found


def assess_failure(
    pool: EvidencePool, listed_destinations: int, known_reporters: int, is_network_path: bool = False
) -> FailureAssessment:
    """Assess whether a zone fails.

    A zone fails if, since some bucket, most calls to most of its destinations failed while calls to other
    zones succeeded. Pending calls that were sent after the last failure are ignored; later successes count
    against a failure.

    ``listed_destinations`` is the number of destinations with endpoints in the zone, ``known_reporters`` the
    number of members that may have called it. With ``is_network_path``, the evidence comes from the members
    of one zone only, to find a failed network path.
    """
    config = pool.config
    failing_reporters = sum(total.failures > 0 for total in pool.reporters.values())
    if failing_reporters < min(config.min_reporters, known_reporters) or pool.has_recovered():
        return NO_FAILURE
    sums = _sum_by_destination(pool)
    min_failures = config.min_network_path_failures if is_network_path else config.min_failures
    # Start at 1: calls in the bucket in which the failure began may have succeeded before it, so at least one
    # later bucket is needed.
    for start in range(1, config.bucket_count):
        for end in range(start + 1):
            found = _assess_interval(sums, start, end, listed_destinations, config, min_failures)
            if found is not None:
                # If all zones fail, ejecting one only moves its load to another failing zone. A longer
                # interval would only add successes from before the failure.
                return found if pool.have_other_zones_succeeded(start) else NO_FAILURE
    return NO_FAILURE


def _sum_by_destination(pool: EvidencePool) -> dict[int, list[CallTally]]:
    """Return cumulative tallies by destination; the item at index n covers the newest n buckets."""
    sums: dict[int, list[CallTally]] = {}
    for (_, destination), ages in sorted(pool.tallies.items(), key=lambda item: item[0]):
        rows = sums.setdefault(destination, [CallTally() for _ in range(pool.config.bucket_count + 1)])
        total = CallTally()
        for age, tally in enumerate(ages, 1):
            total.successes += tally.successes
            total.failures += tally.failures
            total.pending += tally.pending
            rows[age].successes += total.successes
            rows[age].failures += total.failures
            rows[age].pending += total.pending
    return sums


def _assess_interval(
    sums: Mapping[int, Sequence[CallTally]],
    start: int,
    end: int,
    listed_destinations: int,
    config: EvidenceConfig,
    min_failures: int,
) -> FailureAssessment | None:
    """Assess the calls sent between ``start`` and ``end`` buckets ago.

    Return ``None`` if they show no failure. Successes after ``end`` count too, later failures and pending
    calls do not.
    """
    # Each destination adds a limited number of failures. Otherwise one destination that is down, together
    # with a random failure elsewhere, would look like a failing zone.
    counted_failures = sum(
        min(ages[start + 1].failures - ages[end].failures, config.min_destination_failures)
        for ages in sums.values()
    )
    if counted_failures < min(min_failures, config.min_destination_failures * max(1, listed_destinations)):
        return None
    by_destination = {
        destination: CallTally(
            ages[start + 1].successes,
            ages[start + 1].failures - ages[end].failures,
            ages[start + 1].pending - ages[end].pending,
        )
        for destination, ages in sums.items()
    }
    successes = sum(row.successes for row in by_destination.values())
    failures = sum(row.failures for row in by_destination.values())
    pending = sum(row.pending for row in by_destination.values())
    if failures < config.failure_ratio * (successes + failures + pending):
        return None
    destinations_with_results = sum(row.successes > 0 or row.failures > 0 for row in by_destination.values())
    failing = [number for number, row in by_destination.items() if _is_destination_failing(row, config)]
    if len(failing) < config.failing_destination_ratio * destinations_with_results:
        return None
    clearly_failing = sum(
        by_destination[number].failures >= config.min_destination_failures for number in failing
    )
    needed_by_ratio = min(
        config.sufficient_destinations, math.ceil(config.listed_destination_ratio * listed_destinations)
    )
    needed = min(listed_destinations, max(config.min_failing_destinations, needed_by_ratio))
    if clearly_failing < needed and len(failing) < min(listed_destinations, needed + 1):
        return None
    return FailureAssessment(True, start, successes, failures, tuple(failing))


def _is_destination_failing(row: CallTally, config: EvidenceConfig) -> bool:
    total = row.successes + row.failures + row.pending
    return row.failures > 0 and row.failures >= config.failure_ratio * total
