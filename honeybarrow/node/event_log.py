"""Logging of the platform process: events of the forwarder, and a periodic status line."""

from __future__ import annotations

import logging
from typing import Any

from honeybarrow.delivery import Forwarder
from honeybarrow.events import AttemptStatus
from honeybarrow.node.clock_monitor import ClockMonitor
from honeybarrow.node.front import Front
from honeybarrow.node.http_connection_pool import HttpConnectionPool
from honeybarrow.node.message_event_log import MessageEventLog
from honeybarrow.node.notifications import NotificationSender
from honeybarrow.node.process_memory import read_memory_usage
from honeybarrow.node.submission import SubmissionService
from honeybarrow.node.surplus_responses import SurplusResponseLog
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.ports import Clock

STATUS_INTERVAL_S = 10.0
LAG_CHECK_INTERVAL_S = 0.1  # between measurements of the reactor's lag
_OPTIONAL_FIELDS = frozenset(("code", "retry_after_us", "reason"))
log = logging.getLogger("honeybarrow.node")


class EventLog:
    """Logger of the forwarder, based on :mod:`logging`; events of messages go to ``message_events``."""

    def __init__(self, message_events: MessageEventLog) -> None:
        self.message_events = message_events

    def debug(self, event: str, **fields: Any) -> None:
        """Write a failed attempt; other events of this level are ignored."""
        if event == "attempt_finished" and fields["status"] != AttemptStatus.OK.value:
            self.message_events.write("attempt_failed", **_without_defaults(fields))

    def info(self, event: str, **fields: Any) -> None:
        """Write an event, except the delivery of a message at its first attempt."""
        if event == "message_delivered" and fields["attempts"] <= 1:
            return
        if "message" in fields:
            self.message_events.write(event, **_without_defaults(fields))
        else:
            log.info("%s %s", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write an event at warning level; an event of a message goes to ``message_events``."""
        if "message" in fields:
            self.message_events.write(event, **_without_defaults(fields))
        else:
            log.warning("%s %s", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write an event at error level."""
        log.error("%s %s", event, fields)


def _without_defaults(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields without optional ones that are empty or zero."""
    return {name: value for name, value in fields.items() if name not in _OPTIONAL_FIELDS or value}


class StatusLog:
    """Writes a periodic line of counters, with the maximum lag of the reactor since the previous line."""

    def __init__(
        self,
        clock: Clock,
        forwarder: Forwarder,
        pool: HttpConnectionPool,
        front: Front,
        submissions: SubmissionService,
        notifications: NotificationSender,
        write_ahead_log: WriteAheadLog,
        clock_monitor: ClockMonitor,
        surplus_responses: SurplusResponseLog,
    ) -> None:
        self.clock_monitor, self.surplus_responses = clock_monitor, surplus_responses
        self.clock, self.forwarder, self.pool, self.front = clock, forwarder, pool, front
        self.submissions, self.notifications, self.write_ahead_log = (
            submissions,
            notifications,
            write_ahead_log,
        )
        self._max_lag_s = 0.0
        self._lag_checked_at_s = 0.0

    def start(self) -> None:
        """Start the measurements and the periodic line."""
        self._lag_checked_at_s = self.clock.seconds()
        self.clock.callLater(LAG_CHECK_INTERVAL_S, self._check_lag)
        self.clock.callLater(STATUS_INTERVAL_S, self._log_status)

    def _check_lag(self) -> None:
        self.clock.callLater(LAG_CHECK_INTERVAL_S, self._check_lag)
        now = self.clock.seconds()
        self._max_lag_s = max(self._max_lag_s, now - self._lag_checked_at_s - LAG_CHECK_INTERVAL_S)
        self._lag_checked_at_s = now
        self.clock_monitor.check()

    def _log_status(self) -> None:
        self.clock.callLater(STATUS_INTERVAL_S, self._log_status)
        counts, unconfirmed = self.forwarder.counters, self.forwarder.unconfirmed
        usage = read_memory_usage()
        log.info(
            "status lag_ms=%d open_messages=%d calls=%d client_connections=%d idle_connections=%d "
            "connects=%d pending_notifications=%d log_bytes=%d rss_kb=%d accepted=%d rejected=%d "
            "delivered=%d refused=%d failed=%d bad_requests=%d evictions=%s rejections=%s outcomes=%s "
            "guard_violations=%s waiting_records=%d surplus_responses=%s "
            "unconfirmed=%d refuted=%d refuted_by=%s ends_notified=%d peak_rss_kb=%d %s",
            self._max_lag_s * 1000, self.forwarder.open_count, self.forwarder.calls_in_flight,
            len(self.front.connections),
            self.pool.idle_count, self.pool.connects_started, len(self.notifications.unacknowledged),
            self.write_ahead_log.disk_usage_bytes, usage.resident_bytes // 1024,
            counts.accepted, counts.rejected, counts.delivered, counts.refused, counts.failed,
            self.front.bad_request_count, self.front.eviction_counts, self.submissions.rejection_counts,
            counts.outcomes, {rule.value: n for rule, n in self.forwarder.guard.violation_counts.items()},
            self.write_ahead_log.waiting_record_count, dict(self.surplus_responses.counts),
            unconfirmed.count, unconfirmed.refuted_counts.total(), dict(unconfirmed.refuted_counts),
            counts.ends_notified, usage.peak_bytes // 1024, self._format_shares(),
        )  # fmt: skip
        self._max_lag_s = 0.0

    def _format_shares(self) -> str:
        """Return the use, the peak and the size of each share of the memory, and how often it was full."""
        space, ids = self.write_ahead_log.space, self.write_ahead_log.remembered_ids
        messages, clients = self.submissions.memory, self.front.input_budget
        message_bytes = messages.used_bytes(space.message_count, space.message_bytes)
        return (
            f"input_bytes={clients.reserved_bytes}/{clients.peak_bytes}/{clients.shared_bytes} "
            f"input_full={clients.full_count} "
            f"message_bytes={message_bytes}/{messages.peak_bytes}/{messages.max_bytes} "
            f"message_full={messages.full_count} remembered_ids={len(ids)}/{ids.peak_count} "
            f"closed={dict(self.front.close_counts)}"
        )
