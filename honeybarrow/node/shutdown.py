"""Graceful shutdown of the process after SIGTERM."""

from __future__ import annotations

import logging
from collections.abc import Callable

from honeybarrow.delivery import Forwarder
from honeybarrow.message_guard import MAX_SHUTDOWN_US
from honeybarrow.node.front import Front
from honeybarrow.node.notifications import NotificationSender
from honeybarrow.node.submission import SubmissionService
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.ports import Clock

MIN_SHUTDOWN_S = 0.6  # clients may still connect for this long after SIGTERM
CHECK_INTERVAL_S = 0.05
CLOSE_GRACE_US = 150_000  # for the last responses and for discarding input after the half-close
CLOSE_CHECK_INTERVAL_S = 0.01
log = logging.getLogger("honeybarrow.node")


class GracefulShutdown:
    """A shutdown that drains open messages until they are complete or time runs out.

    Messages that are still pending stay in the write-ahead log for the next process.
    """

    def __init__(
        self,
        clock: Clock,
        clock_us: Callable[[], int],
        forwarder: Forwarder,
        submissions: SubmissionService,
        notifications: NotificationSender,
        front: Front,
        write_ahead_log: WriteAheadLog,
        on_finished: Callable[[], object],
    ) -> None:
        self.clock, self.clock_us, self.forwarder, self.submissions = clock, clock_us, forwarder, submissions
        self.notifications, self.front, self.write_ahead_log = notifications, front, write_ahead_log
        self._on_finished = on_finished
        self._started_us: int | None = None

    @property
    def age_us(self) -> int | None:
        """Time since the start of the shutdown in microseconds; ``None`` if it has not started."""
        return None if self._started_us is None else self.clock_us() - self._started_us

    def start(self) -> None:
        """Start the shutdown; do nothing if it has started already."""
        if self._started_us is not None:
            return
        self._started_us = self.clock_us()
        self.submissions.is_draining = True
        self.front.drain()
        log.info(
            "drain_started open_messages=%d calls=%d",
            self.forwarder.open_count,
            self.forwarder.calls_in_flight,
        )
        self._check_progress(self._started_us)

    def _check_progress(self, started_us: int) -> None:
        age_us = self.clock_us() - started_us
        # Closing a new connection too early would fail the request that its client is about to send.
        is_idle = (
            self.forwarder.open_count == 0
            and self.forwarder.unconfirmed.count == 0
            and not self.notifications.unacknowledged
            and not self.front.has_requests
        )
        is_done = is_idle and age_us > MIN_SHUTDOWN_S * 1e6
        if is_done or age_us > MAX_SHUTDOWN_US - 2 * CLOSE_GRACE_US:
            self.submissions.is_closed = True
            self._close(self.clock_us() + CLOSE_GRACE_US)
            return
        self.clock.callLater(CHECK_INTERVAL_S, self._check_progress, started_us)

    def _close(self, deadline_us: int) -> None:
        # When a process exits, connections with unread input are reset, and clients may lose responses.
        # Requests read in the last turn would get no response at all. So requests are rejected from now on,
        # and input is discarded until all connections are closed or the deadline passes.
        self.front.close_all()
        if not self.front.is_empty and self.clock_us() < deadline_us:
            self.clock.callLater(CLOSE_CHECK_INTERVAL_S, self._close, deadline_us)
            return
        log.info("process_stopped pending_messages=%d", len(self.write_ahead_log.pending_messages.by_id))
        self.write_ahead_log.close()
        self._on_finished()
