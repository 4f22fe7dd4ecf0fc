"""Rate-limited log lines about single messages.

A message that is delivered at its first attempt is not logged. Any other message has a line for each step,
with its id, the attempt, the endpoint, the states before and after, the reason and the time left. The rate of
each event is limited, and suppressed lines are counted. Of the client's data only the id is logged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MAX_LINES_PER_S = 20.0  # of each event
MAX_BURST_LINES = 200.0
_FIELD_NAMES = {"target": "endpoint"}
_MICROSECOND_SUFFIX = "_us"
log = logging.getLogger("honeybarrow.node")


@dataclass(slots=True)
class _TokenBucket:
    """Rate limiter of the lines of one event."""

    available: float
    refilled_s: float
    suppressed_count: int = 0  # since the last written line

    def take(self, now_s: float) -> bool:
        """Take a token; return whether one was available."""
        refill = (now_s - self.refilled_s) * MAX_LINES_PER_S
        self.available, self.refilled_s = min(MAX_BURST_LINES, self.available + refill), now_s
        if self.available < 1.0:
            self.suppressed_count += 1
            return False
        self.available -= 1.0
        return True


class MessageEventLog:
    """Writes one line for each event of a message, at a limited rate.

    ``clock_s`` returns a monotonic time in seconds. ``incarnation`` identifies the process among those that
    used the same state folder.
    """

    def __init__(self, clock_s: Callable[[], float], incarnation: str = "") -> None:
        self._clock_s = clock_s
        self.incarnation = incarnation
        self._buckets: dict[str, _TokenBucket] = {}  # by event name

    def write(self, event: str, message: str, **fields: Any) -> None:
        """Write an event of a message; durations in microseconds are converted to milliseconds."""
        now_s = self._clock_s()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(MAX_BURST_LINES, now_s)
        if not bucket.take(now_s):
            return
        if bucket.suppressed_count:
            log.info("message_events_suppressed event=%s count=%d", event, bucket.suppressed_count)
            bucket.suppressed_count = 0
        details = " ".join(_format_field(name, value) for name, value in fields.items() if value is not None)
        log.info("%s id=%s incarnation=%s %s", event, message, self.incarnation, details)


def _format_field(name: str, value: Any) -> str:
    name = _FIELD_NAMES.get(name, name)
    if name.endswith(_MICROSECOND_SUFFIX):
        return f"{name.removesuffix(_MICROSECOND_SUFFIX)}_ms={value / 1000:.0f}"
    if isinstance(value, str):
        return f"{name}={value!r}" if " " in value or not value else f"{name}={value}"
    return f"{name}={value}"
