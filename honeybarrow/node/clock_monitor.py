"""Detects steps of the wall clock by comparing it with the monotonic clock."""

from __future__ import annotations

import logging

from honeybarrow.clocks import Clocks

MIN_STEP_US = 100_000  # smaller differences are adjustments of a clock that is kept in time
log = logging.getLogger("honeybarrow.node")


class ClockMonitor:
    """Compares the clocks at each :meth:`check`; nothing but the log depends on the outcome."""

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self._difference_us = self._read_difference_us()
        self.step_count = 0  # since the start

    def check(self) -> None:
        """Log a step of the wall clock since the last check."""
        difference_us = self._read_difference_us()
        step_us = difference_us - self._difference_us
        if abs(step_us) < MIN_STEP_US:
            return
        self._difference_us = difference_us
        self.step_count += 1
        log.warning(
            "wall_clock_stepped by_ms=%d total_steps=%d spans=unaffected", step_us / 1000, self.step_count
        )

    def _read_difference_us(self) -> int:
        reading = self._clocks.read()
        return reading.wall_us - reading.monotonic_us
