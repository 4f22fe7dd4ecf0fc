"""Responses that no request accounts for: their description, log lines and counts by endpoint."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from honeybarrow.node.message_event_log import MessageEventLog

MAX_COUNTED_ENDPOINTS = 1000
OTHER_ENDPOINTS = "other"  # name under which further endpoints are counted together
_STATUS_LINE_START = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])")


@dataclass(frozen=True, slots=True)
class SurplusResponse:
    """Bytes that arrived on a connection while no response was due on it.

    ``status`` is ``None`` if the bytes don't begin with a status line. ``doubtful_messages`` are those whose
    outcomes were read on the connection and may belong to other requests.
    """

    target: str
    connection: int
    requests: int
    connection_age_us: int
    status: int | None
    doubtful_messages: tuple[str, ...] = ()


def read_status(data: bytes) -> int | None:
    """Return the status code if the data begin with a status line, else ``None``."""
    match = _STATUS_LINE_START.match(data)
    return int(match[1]) if match else None


class SurplusResponseLog:
    """Counts surplus responses by endpoint and writes a line for each, at a limited rate."""

    def __init__(self, message_events: MessageEventLog) -> None:
        self._message_events = message_events
        self.counts: Counter[str] = Counter()

    def record(self, response: SurplusResponse) -> None:
        """Count and log a surplus response."""
        is_counted = response.target in self.counts or len(self.counts) < MAX_COUNTED_ENDPOINTS
        self.counts[response.target if is_counted else OTHER_ENDPOINTS] += 1
        self._message_events.write(
            "surplus_response",
            ",".join(response.doubtful_messages) or "none",
            target=response.target,
            connection=response.connection,
            connection_requests=response.requests,
            connection_age_us=response.connection_age_us,
            status=response.status,
        )


ReportSurplus = Callable[[SurplusResponse], object]
