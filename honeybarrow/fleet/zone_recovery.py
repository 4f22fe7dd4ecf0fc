"""Recovery of an ejected zone: the schedule of probes, the choice of probers and the order of return.

All of this is derived from the verdict and its age by hashing, so members agree on it without messages. This
module does no I/O and reads no clock. Times are microseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeybarrow.fleet.call_evidence import CallEvidence
from honeybarrow.fleet.rendezvous import hash_fraction, select_by_rendezvous
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.fleet.zone_messages import ZoneVerdict
from honeybarrow.fleet.zone_paths import is_within
from honeybarrow.fleet.zone_quorum import FleetQuorum


def compute_return_delay_us(rank: float, config: ZoneConfig) -> int:
    """Return the delay in microseconds between a restoring verdict and the return of a member.

    ``rank`` is the member's position in the order of return, from 0 to 1. While the zone warms up, the share
    of members that have returned is ``recovery_margin`` of its capacity. The remaining members return within
    a quarter of ``warm_up_us`` after that.
    """
    needed_capacity = rank / config.recovery_margin
    if needed_capacity <= config.start_capacity:
        return 0
    if needed_capacity <= 1.0:
        warm_up_fraction = (needed_capacity - config.start_capacity) / max(1e-9, 1.0 - config.start_capacity)
        return int(warm_up_fraction * config.warm_up_us)
    extra_fraction = 0.25 * (rank - config.recovery_margin) / max(1e-9, 1.0 - config.recovery_margin)
    return int(config.warm_up_us * (1.0 + extra_fraction))


@dataclass(slots=True)
class ZoneRecovery:
    """The latest verdict on a path for one source zone.

    While the verdict ejects the path, this also holds the current or next probe.
    """

    verdict: ZoneVerdict
    decided_us: int
    probe_round: int = -1  # -1 before the first probe is scheduled
    probe_start_us: int = 0
    probe_end_us: int = 0

    def advance_probe(self, now: int, config: ZoneConfig) -> None:
        """Move on to the probe that is running at ``now`` or comes next."""
        if self.probe_round < 0:
            self._schedule_probe(self.decided_us, config)
        while self.probe_end_us <= now:
            self._schedule_probe(self.probe_end_us, config)

    def compute_return_us(self, rank: float, config: ZoneConfig) -> int:
        """Return the time at which a member of this rank (0 to 1) returns to the restored zone."""
        return self.decided_us + compute_return_delay_us(rank, config)

    def is_probe_running(self, now: int) -> bool:
        """Return whether the current probe has started and not ended."""
        return self.probe_start_us <= now < self.probe_end_us

    def _schedule_probe(self, after_us: int, config: ZoneConfig) -> None:
        self.probe_round += 1
        verdict = self.verdict
        exponent = min(64, self.probe_round + 2 * verdict.relapses)
        delay_us = config.initial_probe_delay_us * config.probe_backoff_factor**exponent
        # The jitter is derived from the verdict, so that all members use the same schedule.
        key = (verdict.path, verdict.source_zone, verdict.epoch, self.probe_round)
        jitter = 0.8 + 0.4 * hash_fraction("trial", *key)
        self.probe_start_us = after_us + int(min(config.max_probe_delay_us, delay_us) * jitter)
        self.probe_end_us = self.probe_start_us + config.probe_window_us


class ZoneProber:
    """This member's part in probes: whether it takes part, how many calls it may send, its reports."""

    def __init__(self, quorum: FleetQuorum, evidence: CallEvidence, config: ZoneConfig) -> None:
        self.quorum, self.evidence, self.config = quorum, evidence, config
        self._reports_until_us: dict[str, int] = {}  # by path that this member probes or probed recently

    @property
    def is_active(self) -> bool:
        """Whether this member may be probing a zone, so that each call may change the zone's usage."""
        return bool(self._reports_until_us)

    def select_probers(self, recovery: ZoneRecovery) -> list[str]:
        """Return the members that send the calls of a probe, from outside the ejected path if possible."""
        verdict = recovery.verdict
        count = min(self.config.max_probers, self.config.prober_count + recovery.probe_round // 2)
        zones = self.quorum.map_live_members_to_zones()
        affected = {name: zone for name, zone in zones.items() if verdict.applies_to(zone)}
        outside = [name for name, zone in affected.items() if not is_within(zone, verdict.path)]
        return select_by_rendezvous(
            outside or affected, count, "trier", verdict.path, verdict.epoch, recovery.probe_round
        )

    def is_probing(self, now: int, recovery: ZoneRecovery) -> bool:
        """Return whether a probe is running and this member takes part in it."""
        recovery.advance_probe(now, self.config)
        return recovery.is_probe_running(now) and self.quorum.own_name in self.select_probers(recovery)

    def can_send_call(self, now: int, recovery: ZoneRecovery) -> bool:
        """Return whether this member may send another call into the zone that it probes."""
        # A prober uses only the probed zone for the destinations there, so each failed call may fail a
        # message. It starts with one call, sends up to max_probe_calls after a success and none after a
        # failure.
        bucket_us = self.evidence.config.bucket_us
        max_age = (now - recovery.probe_start_us) // bucket_us + 1  # the probe may start within a bucket
        cells = [cell for cell in self.evidence.get_cells(now, recovery.verdict.path) if cell.age <= max_age]
        successes, pending = sum(cell.successes for cell in cells), sum(cell.pending for cell in cells)
        max_calls = self.config.max_probe_calls if successes else 1
        return not any(cell.failures for cell in cells) and successes + pending < max_calls

    def start_reporting(self, now: int, path: str) -> None:
        """Report on a path that this member probes, until one probe window from now."""
        self._reports_until_us[path] = now + self.config.probe_window_us

    def stop_reporting(self, path: str) -> None:
        """Stop the reports on a path, which has a new verdict."""
        self._reports_until_us.pop(path, None)

    def list_paths_to_report(self, now: int) -> list[str]:
        """Remove the paths whose reporting time is over; return the others that have results of calls."""
        for path, until_us in list(self._reports_until_us.items()):
            if until_us < now:
                del self._reports_until_us[path]
        return [path for path in self._reports_until_us if self.evidence.get_cells(now, path)]
