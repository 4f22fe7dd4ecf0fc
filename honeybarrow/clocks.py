"""The clocks of the system: monotonic, wall, and the name of the boot that the monotonic one counts from."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from honeybarrow.log_timeline import ClockReading

BOOT_ID_FILE = "/proc/sys/kernel/random/boot_id"
MAX_BOOT_ID_LENGTH = 64
READ_TRIES = 3  # a read may fail once for want of descriptors or memory


@dataclass(frozen=True, slots=True)
class Clocks:
    """Reads the clocks, in microseconds; ``boot_id`` is empty if it can't be known."""

    monotonic_us: Callable[[], int]
    wall_us: Callable[[], int]
    boot_id: str

    def read(self) -> ClockReading:
        """Return both clocks at this moment."""
        return ClockReading(self.boot_id, self.monotonic_us(), self.wall_us())


def system_clocks() -> Clocks:
    """Return the clocks of this machine."""
    return Clocks(lambda: time.monotonic_ns() // 1000, lambda: time.time_ns() // 1000, _read_boot_id())


def steady_wall_clock_ns() -> Callable[[], int]:
    """Return a clock that starts at the wall clock and then counts by the monotonic one, in nanoseconds.

    For instants that are shown to people and whose differences are durations, as those of traces.
    """
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset_ns


def _read_boot_id() -> str:
    for _ in range(READ_TRIES):
        try:
            with open(BOOT_ID_FILE, encoding="ascii") as file:
                return file.read(MAX_BOOT_ID_LENGTH).strip()
        except (OSError, UnicodeDecodeError):
            continue
    return ""
