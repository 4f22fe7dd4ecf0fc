"""Log time: the time scale of the write-ahead log.

Log time is in microseconds. It starts at the wall-clock time of the first use of a folder and then follows
the monotonic clock, so steps of the wall clock do not affect it. A clock anchor in the log maps a monotonic
reading of one boot to log time, which lets the next process on the same boot continue the scale exactly. The
elapsed time is only estimated, and :attr:`LogTimeline.is_continuous` is false, after a reboot, for a
monotonic reading older than the recorded ones, and for a log of an earlier version without anchors.

The module does no I/O and reads no clock; clock readings are arguments.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Monotonic and wall-clock time at one moment.

    ``boot_id`` identifies the boot of the machine and is empty if unknown.
    """

    boot_id: str
    monotonic_us: int
    wall_us: int


@dataclass(frozen=True, slots=True)
class ClockAnchor:
    """Log record that maps a clock reading to log time."""

    reading: ClockReading
    log_time_us: int


class TimelineStart(enum.Enum):
    """How the log time of a process was determined."""

    NEW = "new"  # the log is empty
    CONTINUED = "continued"  # same boot, exact by the monotonic clock
    NO_ANCHOR = "no_anchor"  # the newest records hold wall-clock times of an earlier version
    OTHER_BOOT = "other_boot"
    MONOTONIC_BEHIND = "monotonic_behind"  # the reading is older than the newest record


@dataclass(frozen=True, slots=True)
class LogTimeline:
    """A mapping from monotonic readings of this process to log time."""

    offset_us: int  # log time minus monotonic time
    start: TimelineStart

    @property
    def is_continuous(self) -> bool:
        """Whether the time since the earlier records is exact rather than estimated."""
        return self.start in (TimelineStart.NEW, TimelineStart.CONTINUED)

    def to_log_time_us(self, monotonic_us: int) -> int:
        """Return the log time of a monotonic reading of this process."""
        return monotonic_us + self.offset_us


def start_timeline(
    anchor: ClockAnchor | None, newest_log_time_us: int | None, reading: ClockReading
) -> LogTimeline:
    """Return the timeline of a process that starts at ``reading``.

    ``anchor`` is the clock anchor of the newest segment that has records, and ``newest_log_time_us`` the
    newest time in the log; either is ``None`` if missing.
    """
    if newest_log_time_us is None:
        return LogTimeline(reading.wall_us - reading.monotonic_us, TimelineStart.NEW)
    start = _classify_start(anchor, newest_log_time_us, reading)
    if anchor is not None and start is TimelineStart.CONTINUED:
        return LogTimeline(anchor.log_time_us - anchor.reading.monotonic_us, start)
    now_us = newest_log_time_us + _estimate_elapsed_us(anchor, newest_log_time_us, reading, start)
    return LogTimeline(now_us - reading.monotonic_us, start)


def _classify_start(
    anchor: ClockAnchor | None, newest_log_time_us: int, reading: ClockReading
) -> TimelineStart:
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
    """Return an estimate of the time since the newest record, by the wall clock.

    The wall clock may have been set meanwhile. The estimate is never negative, since log time that runs
    backwards would make expired messages valid again. After a reboot it is at least the uptime of the
    machine.
    """
    wall_us = newest_log_time_us if anchor is None else _wall_time_us(anchor, newest_log_time_us)
    uptime_us = reading.monotonic_us if start is TimelineStart.OTHER_BOOT and reading.boot_id else 0
    return max(0, reading.wall_us - wall_us, uptime_us)


def _wall_time_us(anchor: ClockAnchor, log_time_us: int) -> int:
    return log_time_us - anchor.log_time_us + anchor.reading.wall_us
