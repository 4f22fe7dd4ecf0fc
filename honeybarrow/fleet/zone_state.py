"""State on zones that members replicate: verdicts and overrides.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from honeybarrow.fleet.zone_messages import VerdictSync
from honeybarrow.fleet.zone_override import OverrideTable
from honeybarrow.fleet.zone_verdict_table import VerdictTable


@dataclass(frozen=True, slots=True)
class ZoneState:
    """One member's verdicts and overrides."""

    verdicts: VerdictTable
    overrides: OverrideTable

    @property
    def is_empty(self) -> bool:
        """Whether there are neither verdicts nor overrides."""
        return not self.verdicts.recoveries and not self.overrides.entries

    def create_sync(self, now: int) -> VerdictSync:
        """Return the verdicts and overrides to send to another member, up to ``max_sync_entries`` of each."""
        return VerdictSync(self.verdicts.list_latest_verdicts(now), self.overrides.list_timed_overrides(now))

    def compute_digest(self) -> int:
        """Return a hash of all verdicts and overrides, equal at members with equal state.

        The hashed text is part of the protocol: members of two versions that hash different texts would send
        each other their whole state again and again.
        """
        verdicts = [
            (each.verdict.path, each.verdict.source_zone, *each.verdict.precedence)
            for each in self.verdicts.recoveries.values()
        ]
        overrides = [
            ("hold", entry.override.path, *entry.override.precedence)
            for entry in self.overrides.entries.values()
        ]
        return xxhash.xxh3_64_intdigest(repr((sorted(verdicts), sorted(overrides))).encode())
