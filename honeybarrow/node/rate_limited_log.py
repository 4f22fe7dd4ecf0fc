"""Rate-limited warnings about invalid external input."""

from __future__ import annotations

import logging
from collections.abc import Callable

INTERVAL_S = 10.0  # minimum time between two lines of one kind
MAX_KINDS = 64  # further kinds share one limit
log = logging.getLogger("honeybarrow.node")


class RateLimitedLog:
    """Logs the first event of each kind, then at most one per interval with the number suppressed."""

    def __init__(self, clock_s: Callable[[], float]) -> None:
        self.clock_s = clock_s
        self._kinds: dict[str, tuple[float, int]] = {}  # time of the last line, number suppressed since

    def warn(self, kind: str, detail: str, remedy: str) -> None:
        """Log an event of a kind, or count it as suppressed."""
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = "other"
        now = self.clock_s()
        logged_at, suppressed = self._kinds.get(kind, (now - INTERVAL_S, 0))
        if now - logged_at < INTERVAL_S:
            self._kinds[kind] = (logged_at, suppressed + 1)
            return
        self._kinds[kind] = (now, 0)
        log.warning("%s detail=%.200r suppressed=%d remedy=%r", kind, detail, suppressed, remedy)
