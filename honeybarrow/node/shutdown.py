"""The orderly end of the process after SIGTERM."""

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

MIN_SHUTDOWN_S = 0.6  # new connections come for so long after SIGTERM
CHECK_INTERVAL_S = 0.05
CLOSE_GRACE_US = 150_000  # for the last answers, and for discarding what comes after our half-close
CLOSE_CHECK_INTERVAL_S = 0.01
log = logging.getLogger("honeybarrow.node")


class GracefulShutdown:
    """Serves open messages as long as there is time; what is left stays in the log for the next process."""

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
        """Time since the shutdown began; ``None`` if it has not."""
        return None if self._started_us is None else self.clock_us() - self._started_us

    def start(self) -> None:
        """Begin, unless the shutdown has begun before."""
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
        # Danger: a client that has just connected has a request on the way, which fails with the connection.
        is_idle = (
            self.forwarder.open_count == 0
            and not self.notifications.unacknowledged
            and not self.front.has_requests
        )
        is_done = is_idle and age_us > MIN_SHUTDOWN_S * 1e6
        if is_done or age_us > MAX_SHUTDOWN_US - 2 * CLOSE_GRACE_US:
            self.submissions.is_closed = True
            self._close(self.clock_us() + CLOSE_GRACE_US)
            return
        self.clock.callLater(CHECK_INTERVAL_S, self._check_progress, started_us)

    def _close(self, until_us: int) -> None:
        # Danger: a process that ends resets connections with unread input, and the answers on them; and what
        # was read in its last turn would be neither accepted nor rejected. So requests are rejected from here
        # on, and input is discarded for a while.
        self.front.close_all()
        if not self.front.is_empty and self.clock_us() < until_us:
            self.clock.callLater(CLOSE_CHECK_INTERVAL_S, self._close, until_us)
            return
        log.info("process_stopped pending_messages=%d", len(self.write_ahead_log.pending_messages.by_id))
        self.write_ahead_log.close()
        self._on_finished()
