"""Detection of wall-clock steps by comparison with the monotonic clock."""

from __future__ import annotations

import logging

from honeybarrow.clocks import Clocks

MIN_STEP_US = 100_000  # smaller differences are gradual clock adjustments
log = logging.getLogger("honeybarrow.node")


class ClockMonitor:
    """Logs steps of the wall clock at each :meth:`check`."""

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self._difference_us = self._read_difference_us()
        self.step_count = 0

    def check(self) -> None:
        """Log a step of the wall clock since the previous check."""
        difference_us = self._read_difference_us()
        step_us = difference_us - self._difference_us
        if abs(step_us) < MIN_STEP_US:
            return
        self._difference_us = difference_us
        self.step_count += 1
        log.warning(
            "wall_clock_stepped by_ms=%d total_steps=%d durations=unaffected", step_us / 1000, self.step_count
        )

    def _read_difference_us(self) -> int:
        reading = self._clocks.read()
        return reading.wall_us - reading.monotonic_us
