"""Detects steps of the wall clock by comparing it with the monotonic clock."""

from __future__ import annotations

import logging
from collections.abc import Callable

MIN_STEP_US = 100_000  # smaller differences are adjustments of a clock that is kept in time
log = logging.getLogger("honeybarrow.node")


class ClockMonitor:
    """Compares the clocks at each :meth:`check`; nothing but the log depends on the outcome.

    ``clock_us``: monotonic time; ``wall_clock_us``: wall-clock time.
    """

    def __init__(self, clock_us: Callable[[], int], wall_clock_us: Callable[[], int]) -> None:
        self._clock_us, self._wall_clock_us = clock_us, wall_clock_us
        self._difference_us = wall_clock_us() - clock_us()
        self.step_count = 0  # since the start

    def check(self) -> None:
        """Log a step of the wall clock since the last check."""
        difference_us = self._wall_clock_us() - self._clock_us()
        step_us = difference_us - self._difference_us
        if abs(step_us) < MIN_STEP_US:
            return
        self._difference_us = difference_us
        self.step_count += 1
        log.warning(
            "wall_clock_stepped by_ms=%d total_steps=%d spans=unaffected", step_us / 1000, self.step_count
        )
