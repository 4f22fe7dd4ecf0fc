"""Time in the write-ahead log: a scale that runs on over restarts and that no step of the wall clock moves.

Log time is microseconds, equal to the wall clock when a folder is first used and counted by the monotonic
clock from then on. An anchor in the log says which monotonic reading of which boot stands for which log time,
so the next process on the same boot continues the scale exactly. Where the readings do not belong together
(another boot, a reading behind the recorded one, a log of an earlier build without anchors) the time that has
passed is only estimated, and the timeline says so. No I/O and no clock: readings are arguments.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks at one moment. ``boot_id`` names the boot of the machine; empty if it can't be known."""

    boot_id: str
    monotonic_us: int
    wall_us: int


@dataclass(frozen=True, slots=True)
class ClockAnchor:
    """The log time of one clock reading, as a record of the log."""

    reading: ClockReading
    log_time_us: int


class TimelineStart(enum.Enum):
    """How a process came to its log time."""

    NEW = "new"  # the log is empty
    CONTINUED = "continued"  # by the monotonic clock of the same boot
    NO_ANCHOR = "no_anchor"  # the newest records are of a build that recorded wall times
    OTHER_BOOT = "other_boot"
    MONOTONIC_BEHIND = "monotonic_behind"  # the reading is older than one on record


@dataclass(frozen=True, slots=True)
class LogTimeline:
    """Log time by the monotonic clock of this process."""

    offset_us: int  # log time less monotonic time
    start: TimelineStart

    @property
    def is_continuous(self) -> bool:
        """Whether the time since the earlier records is known, and not estimated."""
        return self.start in (TimelineStart.NEW, TimelineStart.CONTINUED)

    def to_log_time_us(self, monotonic_us: int) -> int:
        """Return the log time of a monotonic reading of this process."""
        return monotonic_us + self.offset_us


def start_timeline(
    anchor: ClockAnchor | None, newest_log_time_us: int | None, reading: ClockReading
) -> LogTimeline:
    """Return the timeline of a process that starts now, at ``reading``.

    ``anchor``: of the newest segment that has records, if it has one; ``newest_log_time_us``: the newest time
    on record in the log, if there is any.
    """
    if newest_log_time_us is None:
        return LogTimeline(reading.wall_us - reading.monotonic_us, TimelineStart.NEW)
    start = _compare(anchor, newest_log_time_us, reading)
    if anchor is not None and start is TimelineStart.CONTINUED:
        return LogTimeline(anchor.log_time_us - anchor.reading.monotonic_us, start)
    now_us = newest_log_time_us + _estimate_elapsed_us(anchor, newest_log_time_us, reading, start)
    return LogTimeline(now_us - reading.monotonic_us, start)


def _compare(anchor: ClockAnchor | None, newest_log_time_us: int, reading: ClockReading) -> TimelineStart:
    if anchor is None:
        return TimelineStart.NO_ANCHOR
    if not reading.boot_id or reading.boot_id != anchor.reading.boot_id:
        return TimelineStart.OTHER_BOOT
    newest_monotonic_us = newest_log_time_us - anchor.log_time_us + anchor.reading.monotonic_us
    is_behind = reading.monotonic_us < newest_monotonic_us
    return TimelineStart.MONOTONIC_BEHIND if is_behind else TimelineStart.CONTINUED


def _estimate_elapsed_us(
    anchor: ClockAnchor | None, newest_log_time_us: int, reading: ClockReading, start: TimelineStart
) -> int:
    """Return how much time has passed since the newest record, at least and as far as can be told.

    Danger: the wall clock may have been stepped meanwhile. Set back it would bring expired messages to life,
    so log time never runs back; and a machine that has booted since has been up for its monotonic time.
    """
    wall_us = newest_log_time_us if anchor is None else _wall_time_us(anchor, newest_log_time_us)
    uptime_us = reading.monotonic_us if start is TimelineStart.OTHER_BOOT and reading.boot_id else 0
    return max(0, reading.wall_us - wall_us, uptime_us)


def _wall_time_us(anchor: ClockAnchor, log_time_us: int) -> int:
    return log_time_us - anchor.log_time_us + anchor.reading.wall_us
