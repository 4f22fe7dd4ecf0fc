"""Log lines of single messages: what happened to one on the way to any end but a plain delivery.

A message that is delivered at its first attempt leaves no line. All others leave one for each step, with the
id, the attempt, the endpoint, the state before and after, the reason and the time left. The rate of lines of
each event is bounded; what is suppressed is counted and reported. What a client names besides the id is never
logged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MAX_LINES_PER_S = 20.0  # of one event
MAX_BURST_LINES = 200.0
_FIELD_NAMES = {"target": "endpoint"}
_MICROSECOND_SUFFIX = "_us"
log = logging.getLogger("honeybarrow.node")


@dataclass(slots=True)
class _LineBudget:
    """Lines of one event that may be written now, as a token bucket."""

    available: float
    refilled_s: float
    suppressed_count: int = 0  # since the last line

    def take(self, now_s: float) -> bool:
        """Take one line; whether there was one."""
        earned = (now_s - self.refilled_s) * MAX_LINES_PER_S
        self.available, self.refilled_s = min(MAX_BURST_LINES, self.available + earned), now_s
        if self.available < 1.0:
            self.suppressed_count += 1
            return False
        self.available -= 1.0
        return True


class MessageEventLog:
    """Writes one line for each event of a message, at a bounded rate.

    ``clock_s``: a monotonic clock in seconds.
    """

    def __init__(self, clock_s: Callable[[], float], incarnation: str = "") -> None:
        self._clock_s = clock_s
        self.incarnation = incarnation  # names this process among those that used the same state folder
        self._budgets: dict[str, _LineBudget] = {}  # by event, whose names the program gives

    def write(self, event: str, message: str, **fields: Any) -> None:
        """Write an event of a message; durations in microseconds are written in milliseconds."""
        now_s = self._clock_s()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _LineBudget(MAX_BURST_LINES, now_s)
        if not budget.take(now_s):
            return
        if budget.suppressed_count:
            log.info("message_events_suppressed event=%s count=%d", event, budget.suppressed_count)
            budget.suppressed_count = 0
        details = " ".join(_format_field(name, value) for name, value in fields.items() if value is not None)
        log.info("%s id=%s incarnation=%s %s", event, message, self.incarnation, details)


def _format_field(name: str, value: Any) -> str:
    name = _FIELD_NAMES.get(name, name)
    if name.endswith(_MICROSECOND_SUFFIX):
        return f"{name.removesuffix(_MICROSECOND_SUFFIX)}_ms={value / 1000:.0f}"
    if isinstance(value, str):
        return f"{name}={value!r}" if " " in value or not value else f"{name}={value}"
    return f"{name}={value}"
