"""Log line format with wall-clock time and monotonic time."""

from __future__ import annotations

import logging
import time

LINE_FORMAT = "%(asctime)s.%(msecs)03d %(monotonic)s %(message)s"
TIME_FORMAT = "%H:%M:%S"


class TwoClockFormatter(logging.Formatter):
    """Formats a line with the time of both clocks, so that steps of the wall clock are visible."""

    def __init__(self) -> None:
        super().__init__(LINE_FORMAT, TIME_FORMAT)

    def format(self, record: logging.LogRecord) -> str:
        """Format a record, with the monotonic time in seconds."""
        record.monotonic = f"{time.monotonic():.3f}"
        return super().format(record)
