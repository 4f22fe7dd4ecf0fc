"""System clocks: monotonic time, wall-clock time and the id of the current boot."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from honeybarrow.log_timeline import ClockReading

BOOT_ID_FILE = "/proc/sys/kernel/random/boot_id"
MAX_BOOT_ID_LENGTH = 64
MAX_READ_ATTEMPTS = 3  # a read can fail for a moment for lack of descriptors or memory


@dataclass(frozen=True, slots=True)
class Clocks:
    """Monotonic and wall clocks in microseconds; ``boot_id`` is empty if unknown."""

    monotonic_us: Callable[[], int]
    wall_us: Callable[[], int]
    boot_id: str

    def read(self) -> ClockReading:
        """Return the current reading of both clocks."""
        return ClockReading(self.boot_id, self.monotonic_us(), self.wall_us())


def system_clocks() -> Clocks:
    """Return the system clocks of this machine."""
    return Clocks(lambda: time.monotonic_ns() // 1000, lambda: time.time_ns() // 1000, _read_boot_id())


def steady_wall_clock_ns() -> Callable[[], int]:
    """Return a clock, in nanoseconds, that starts at the wall-clock time and follows the monotonic clock.

    Its readings are timestamps whose differences are valid durations, as traces need them.
    """
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset_ns


def _read_boot_id() -> str:
    for _ in range(MAX_READ_ATTEMPTS):
        try:
            with open(BOOT_ID_FILE, encoding="ascii") as file:
                return file.read(MAX_BOOT_ID_LENGTH).strip()
        except (OSError, UnicodeDecodeError):
            continue
    return ""
