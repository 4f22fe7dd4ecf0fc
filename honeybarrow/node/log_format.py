"""The form of a log line: wall time for people, and monotonic time for what is reckoned from it."""

from __future__ import annotations

import logging
import time

LINE_FORMAT = "%(asctime)s.%(msecs)03d %(monotonic)s %(message)s"
TIME_FORMAT = "%H:%M:%S"


class TwoClockFormatter(logging.Formatter):
    """Formats a line with the time of both clocks, so that a step of the wall clock shows."""

    def __init__(self) -> None:
        super().__init__(LINE_FORMAT, TIME_FORMAT)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; the monotonic time is in seconds."""
        record.monotonic = f"{time.monotonic():.3f}"
        return super().format(record)
