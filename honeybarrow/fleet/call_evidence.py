"""Results of this member's calls into each zone, in a sliding window of buckets.

A call counts in the bucket in which it was sent, not the one in which it ended: errors arrive at once and
time-outs late, so that buckets by time of end would mix results of different periods. A pending call is not a
failure until it is late. A rejection by the partner is a success, because the partner answered. Calls that
were refused for lack of capacity, cancelled by the client or never sent are ignored.

This module does no I/O and reads no clock. Times are microseconds of the caller's monotonic clock; reports to
other members carry ages instead.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

from honeybarrow.events import AttemptStatus
from honeybarrow.fleet.zone_config import EvidenceConfig
from honeybarrow.fleet.zone_messages import BucketResults, EvidenceCell
from honeybarrow.fleet.zone_paths import is_within


class OutcomeClass(enum.Enum):
    """What the status of a call shows about the zone."""

    SUCCESS = "success"
    FAILURE = "failure"
    IGNORED = "ignored"


OUTCOME_CLASSES = {
    AttemptStatus.OK: OutcomeClass.SUCCESS,
    AttemptStatus.REJECTED: OutcomeClass.SUCCESS,  # the partner answered, and refused this message
    AttemptStatus.ERROR: OutcomeClass.FAILURE,
    AttemptStatus.TIMEOUT: OutcomeClass.FAILURE,
    AttemptStatus.RESET: OutcomeClass.FAILURE,
    AttemptStatus.CONNECT_FAILED: OutcomeClass.FAILURE,
    AttemptStatus.FULL: OutcomeClass.IGNORED,
    AttemptStatus.CANCELLED: OutcomeClass.IGNORED,
    AttemptStatus.NOT_SENT: OutcomeClass.IGNORED,
}


@dataclass(slots=True)
class CallTally:
    """Numbers of calls by result."""

    successes: int = 0
    failures: int = 0
    pending: int = 0


@dataclass(slots=True)
class _PendingCall:
    sent_us: int
    zone: str
    destination: int


@dataclass(slots=True)
class _Bucket:
    """Results of the calls that were sent in one interval of ``bucket_us``."""

    number: int  # intervals since the clock's zero
    tallies: dict[tuple[str, int], CallTally] = field(default_factory=dict)  # by zone and destination


class CallEvidence:
    """Recorder of this member's own calls, which the caller reports as they start and end."""

    def __init__(self, config: EvidenceConfig | None = None) -> None:
        self.config = config or EvidenceConfig()
        self.dropped_count = 0  # calls not recorded because a table was full
        self._pending: dict[tuple[str, int], _PendingCall] = {}
        # Smoothed latency of successful calls, by zone and destination.
        self._average_latency_us: dict[tuple[str, int], float] = {}
        self._buckets: deque[_Bucket] = deque()  # oldest first

    def record_call_started(self, now: int, call_id: tuple[str, int], zone: str, destination: int) -> None:
        """Record that a call was sent; ``call_id`` is its message and attempt number."""
        if len(self._pending) >= self.config.max_pending_calls:
            self.dropped_count += 1
            return
        self._pending[call_id] = _PendingCall(now, zone, destination)

    def record_call_ended(self, now: int, call_id: tuple[str, int], status: AttemptStatus) -> None:
        """Record the result of a call."""
        call = self._pending.pop(call_id, None)
        outcome = OUTCOME_CLASSES[status]
        if call is None or outcome is OutcomeClass.IGNORED:
            return
        self._drop_expired(now)
        has_failed = outcome is OutcomeClass.FAILURE or self._is_late(now, call)
        if outcome is OutcomeClass.SUCCESS:
            self._update_latency(now - call.sent_us, call)
        tally = self._get_or_create_tally(now, call)
        if tally is None:
            return
        if has_failed:
            tally.failures += 1
        else:
            tally.successes += 1

    def clear(self) -> None:
        """Discard all calls.

        To be called after a pause of this process, which made them late whatever the zone.
        """
        self._pending.clear()
        self._buckets.clear()

    def find_failing_zones(self, now: int) -> list[str]:
        """Return the zones with failures in the window, or none unless :meth:`is_credible`."""
        self._drop_expired(now)
        zones = {
            zone: None
            for bucket in self._buckets
            for (zone, _), tally in sorted(bucket.tallies.items(), key=lambda item: item[0])
            if tally.failures
        }
        zones.update((call.zone, None) for call in self._pending.values() if self._is_late(now, call))
        return list(zones) if self.is_credible(now) else []

    def is_credible(self, now: int) -> bool:
        """Return whether failures may have their cause outside of this member.

        If calls to two or more zones were made and no zone had a success, this member is the likely cause.
        """
        self._drop_expired(now)
        zone_has_success: dict[str, bool] = {}
        for bucket in self._buckets:
            for (zone, _), tally in bucket.tallies.items():
                zone_has_success[zone] = zone_has_success.get(zone, False) or tally.successes > 0
        for call in self._pending.values():
            if self._is_late(now, call):
                zone_has_success.setdefault(call.zone, False)
        return len(zone_has_success) < 2 or any(zone_has_success.values())

    def get_cells(self, now: int, path: str) -> tuple[EvidenceCell, ...]:
        """Return the results of calls into a zone or region: the newest ``max_cells`` cells."""
        self._drop_expired(now)
        current_number = now // self.config.bucket_us
        found: dict[tuple[int, str, int], CallTally] = {}
        for bucket in self._buckets:
            for (zone, destination), tally in bucket.tallies.items():
                if is_within(zone, path):
                    key = (current_number - bucket.number, zone, destination)
                    found[key] = CallTally(tally.successes, tally.failures)
        for call in self._pending.values():
            age = current_number - call.sent_us // self.config.bucket_us
            if is_within(call.zone, path) and age < self.config.bucket_count:
                row = found.setdefault((age, call.zone, call.destination), CallTally())
                # Late calls count before they time out, so that an unresponsive zone is detected sooner.
                if self._is_late(now, call):
                    row.failures += 1
                else:
                    row.pending += 1
        rows = sorted(found.items(), key=lambda item: item[0])[: self.config.max_cells]
        return tuple(
            EvidenceCell(age, zone, destination, row.successes, row.failures, row.pending)
            for (age, zone, destination), row in rows
        )

    def count_calls_by_destination(self, now: int) -> dict[int, int]:
        """Return the number of calls in the window by destination, over all zones."""
        self._drop_expired(now)
        found: dict[int, int] = {}
        for bucket in self._buckets:
            for (_, destination), tally in bucket.tallies.items():
                found[destination] = found.get(destination, 0) + tally.successes + tally.failures
        for call in self._pending.values():
            if call.sent_us > now - self.config.window_us:
                found[call.destination] = found.get(call.destination, 0) + 1
        return found

    def count_other_zones(self, now: int, path: str) -> tuple[BucketResults, ...]:
        """Return the results of calls to all zones outside of ``path``, one item per bucket, newest first."""
        self._drop_expired(now)
        current_number = now // self.config.bucket_us
        found = [BucketResults(0, 0)] * self.config.bucket_count
        for bucket in self._buckets:
            others = [tally for (zone, _), tally in bucket.tallies.items() if not is_within(zone, path)]
            if current_number >= bucket.number:
                found[current_number - bucket.number] = BucketResults(
                    sum(tally.successes for tally in others), sum(tally.failures for tally in others)
                )
        return tuple(found)

    def _is_late(self, now: int, call: _PendingCall) -> bool:
        """Return whether a call has taken far longer than is usual for its zone and destination."""
        average_us = self._average_latency_us.get((call.zone, call.destination))
        config = self.config
        if average_us is None:
            return False
        return now - call.sent_us > max(config.min_late_us, config.late_factor * average_us)

    def _update_latency(self, latency_us: int, call: _PendingCall) -> None:
        key = (call.zone, call.destination)
        average_us = self._average_latency_us.get(key)
        if average_us is None:
            if len(self._average_latency_us) < self.config.max_zone_destination_pairs:
                self._average_latency_us[key] = float(latency_us)
            return
        # The cap keeps a short slow period from raising the average much; a lasting one still raises it.
        sample_us = min(float(latency_us), 2 * average_us)
        self._average_latency_us[key] += self.config.latency_smoothing * (sample_us - average_us)

    def _get_or_create_tally(self, now: int, call: _PendingCall) -> CallTally | None:
        """Return the tally of a call, or ``None`` if it was sent before the window or the bucket is full."""
        number = call.sent_us // self.config.bucket_us
        if number <= now // self.config.bucket_us - self.config.bucket_count:
            return None
        position = len(self._buckets)
        while position and self._buckets[position - 1].number > number:
            position -= 1
        if not position or self._buckets[position - 1].number != number:
            self._buckets.insert(position, _Bucket(number))
            position += 1
        tallies = self._buckets[position - 1].tallies
        key = (call.zone, call.destination)
        if key not in tallies and len(tallies) >= self.config.max_zone_destination_pairs:
            self.dropped_count += 1
            return None
        return tallies.setdefault(key, CallTally())

    def _drop_expired(self, now: int) -> None:
        oldest = now // self.config.bucket_us - self.config.bucket_count
        while self._buckets and self._buckets[0].number <= oldest:
            self._buckets.popleft()
