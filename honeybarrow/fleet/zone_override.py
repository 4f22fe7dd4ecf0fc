"""One member's table of operators' overrides. This module does no I/O and reads no clock."""

from __future__ import annotations

from dataclasses import dataclass

from honeybarrow.errors import InvalidValueError
from honeybarrow.fleet.zone_config import SECOND, ZoneConfig
from honeybarrow.fleet.zone_messages import OperatorOverride, TimedOverride
from honeybarrow.fleet.zone_verdict_table import MergeResult


@dataclass(frozen=True, slots=True)
class StoredOverride:
    """An override and its time of expiry.

    A withdrawn override is kept as well, so that an earlier one cannot replace it.
    """

    override: OperatorOverride
    expires_us: int  # of the caller's monotonic clock


class OverrideTable:
    """The latest override of each path."""

    def __init__(self, config: ZoneConfig) -> None:
        self.config = config
        self.entries: dict[str, StoredOverride] = {}

    def create(self, path: str, eject: bool | None, duration_us: int, set_by: str) -> OperatorOverride:
        """Return a new override that takes precedence over the current one of the path.

        Raises :class:`InvalidValueError` for a duration out of range.
        """
        if not 0 < duration_us <= self.config.max_override_us:
            raise InvalidValueError(
                f"override duration is {duration_us / SECOND:g} s, but must be positive and up to "
                f"{self.config.max_override_us // SECOND} s"
            )
        entry = self.entries.get(path)
        return OperatorOverride(path, eject, entry.override.revision + 1 if entry else 1, set_by)

    def compare(self, override: OperatorOverride, remaining_us: int) -> MergeResult:
        """Return how a received override relates to the current one of its path."""
        entry = self.entries.get(override.path)
        if entry is not None and override.precedence <= entry.override.precedence:
            is_older = override.precedence < entry.override.precedence
            return MergeResult.OLDER if is_older else MergeResult.SAME
        has_capacity = entry is not None or len(self.entries) < self.config.max_paths
        is_valid = 0 < remaining_us <= self.config.max_override_us
        return MergeResult.NEWER if has_capacity and is_valid else MergeResult.REJECTED

    def store(self, now: int, override: OperatorOverride, remaining_us: int) -> None:
        """Replace the current override of a path; it expires in ``remaining_us``."""
        self.entries[override.path] = StoredOverride(override, now + remaining_us)

    def expire(self, now: int) -> list[OperatorOverride]:
        """Remove and return the overrides that have expired."""
        expired = [entry.override for entry in self.entries.values() if entry.expires_us <= now]
        for override in expired:
            del self.entries[override.path]
        return expired

    def find_active(self, now: int, path: str) -> OperatorOverride | None:
        """Return the override of a path, unless it has expired or is withdrawn."""
        entry = self.entries.get(path)
        if entry is None or entry.expires_us <= now or entry.override.eject is None:
            return None
        return entry.override

    def get_remaining_us(self, now: int, path: str) -> int:
        """Return the remaining time of a path's override in microseconds; 0 without an override."""
        entry = self.entries.get(path)
        return max(0, entry.expires_us - now) if entry else 0

    def list_timed_overrides(self, now: int) -> tuple[TimedOverride, ...]:
        """Return up to ``max_sync_entries`` overrides, with their remaining times."""
        found = [
            TimedOverride(entry.override, entry.expires_us - now)
            for entry in self.entries.values()
            if entry.expires_us > now
        ]
        return tuple(found[: self.config.max_sync_entries])
