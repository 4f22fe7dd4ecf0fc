"""One member's table of verdicts, one for each path and source zone.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import enum

from honeybarrow.fleet.zone_config import SECOND, ZoneConfig
from honeybarrow.fleet.zone_messages import AgedVerdict, ZoneVerdict
from honeybarrow.fleet.zone_paths import expand_path
from honeybarrow.fleet.zone_recovery import ZoneRecovery

MAX_AGE_US = 24 * 3600 * SECOND  # of a received verdict; bounds the number of probes to compute


class MergeResult(enum.Enum):
    """How a received verdict or override relates to the current one."""

    NEWER = "newer"  # replaces the current one
    SAME = "same"
    OLDER = "older"  # the sender has to be updated
    REJECTED = "rejected"  # the table is full or a value is out of range


class VerdictTable:
    """The latest verdict of each path and source zone, with its recovery."""

    def __init__(self, config: ZoneConfig) -> None:
        self.config = config
        self.recoveries: dict[tuple[str, str], ZoneRecovery] = {}

    def compare(self, verdict: ZoneVerdict) -> MergeResult:
        """Return how a received verdict relates to the current one of its path and source zone."""
        current = self.find(verdict.path, verdict.source_zone)
        if current is None:
            return (
                MergeResult.REJECTED if len(self.recoveries) >= self.config.max_paths else MergeResult.NEWER
            )
        if verdict.precedence > current.verdict.precedence:
            return MergeResult.NEWER
        return MergeResult.OLDER if verdict.precedence < current.verdict.precedence else MergeResult.SAME

    def store(self, now: int, verdict: ZoneVerdict, age_us: int) -> None:
        """Replace the current verdict of a path and source zone by one that is ``age_us`` old."""
        recovery = ZoneRecovery(verdict, now - max(0, min(age_us, MAX_AGE_US)))
        self.recoveries[verdict.path, verdict.source_zone] = recovery
        if verdict.is_ejected:
            recovery.advance_probe(now, self.config)

    def find(self, path: str, source_zone: str) -> ZoneRecovery | None:
        """Return the recovery of a path for members of ``source_zone``, or of all zones if it is empty."""
        return self.recoveries.get((path, source_zone))

    def list_ejected(self) -> list[ZoneRecovery]:
        """Return the recoveries whose verdict ejects a path, including superseded ones."""
        return [recovery for recovery in self.recoveries.values() if recovery.verdict.is_ejected]

    def list_for_path(self, path: str) -> list[ZoneRecovery]:
        """Return the recoveries of a path for all source zones."""
        return [recovery for (each_path, _), recovery in self.recoveries.items() if each_path == path]

    def list_latest_verdicts(self, now: int) -> tuple[AgedVerdict, ...]:
        """Return up to ``max_sync_entries`` verdicts with their ages, the latest first."""
        recoveries = sorted(self.recoveries.values(), key=lambda each: -each.decided_us)
        return tuple(
            AgedVerdict(each.verdict, max(0, now - each.decided_us))
            for each in recoveries[: self.config.max_sync_entries]
        )

    def get_epoch(self, path: str) -> int:
        """Return the epoch of the verdict on a path for all members; 0 without one."""
        recovery = self.find(path, "")
        return recovery.verdict.epoch if recovery else 0

    def is_ejected(self, path: str, source_zone: str) -> bool:
        """Return whether a path is ejected by a verdict that is not superseded."""
        recovery = self.find(path, source_zone)
        return recovery is not None and recovery.verdict.is_ejected and not self.is_superseded(recovery)

    def is_zone_ejected(self, zone: str, source_zone: str) -> bool:
        """Return whether a zone or one of its regions is ejected for members of ``source_zone``."""
        scopes = ("", source_zone) if source_zone else ("",)
        return any(self.is_ejected(path, scope) for path in expand_path(zone) for scope in scopes)

    def is_zone_ejected_or_recovering(self, now: int, zone: str, source_zone: str) -> bool:
        """Return whether a zone or one of its regions is ejected or some members have yet to return."""
        scopes = ("", source_zone) if source_zone else ("",)
        found = [self.find(path, scope) for path in expand_path(zone) for scope in scopes]
        in_force = [
            recovery for recovery in found if recovery is not None and not self.is_superseded(recovery)
        ]
        return any(
            each.verdict.is_ejected or now < each.compute_return_us(1.0, self.config) for each in in_force
        )

    def is_superseded(self, recovery: ZoneRecovery) -> bool:
        """Return whether a later verdict on an enclosing region replaces a verdict."""
        verdict = recovery.verdict
        enclosing = [self.find(path, verdict.source_zone) for path in expand_path(verdict.path)[:-1]]
        return any(each is not None and each.decided_us >= recovery.decided_us for each in enclosing)
