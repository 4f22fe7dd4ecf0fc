"""A forwarder process on the platform.

Creates the parts of the process, recovers messages at the start and handles signals.
"""

from __future__ import annotations

import logging
import os
import random
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.error import CannotListenError

from honeybarrow.clocks import Clocks
from honeybarrow.delivery import Forwarder
from honeybarrow.errors import HoneybarrowError, format_error
from honeybarrow.events import MembershipUpdate, UpdateKind
from honeybarrow.node.clock_monitor import ClockMonitor
from honeybarrow.node.config import ConfigError, ForwarderConfig, read_config
from honeybarrow.node.descriptor_budget import DescriptorBudget, allocate_descriptors
from honeybarrow.node.discovery import Discovery
from honeybarrow.node.endpoint_list import MAX_ITEM_BYTES, EndpointList, EndpointTable
from honeybarrow.node.event_log import EventLog, StatusLog
from honeybarrow.node.front import Front
from honeybarrow.node.http_connection_pool import HttpConnectionPool
from honeybarrow.node.memory_budget import MessageMemory, allocate_memory
from honeybarrow.node.message_event_log import MessageEventLog
from honeybarrow.node.notifications import NotificationSender
from honeybarrow.node.process_memory import release_free_memory
from honeybarrow.node.shutdown import GracefulShutdown
from honeybarrow.node.signals import SignalRequest
from honeybarrow.node.submission import SubmissionService
from honeybarrow.node.surplus_responses import SurplusResponseLog
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import FinalResult, ResumedMessage, plan_recovery

MAX_LOG_DISK_SHARE = 0.8  # share of the disk limit available to the write-ahead log
FIRST_LIST_TIMEOUT_S = 1.2  # longer than the retransmission of a lost SYN after 1 s
MAX_STALL_US = 150_000  # longest pause of the process by the platform
LOG_RETRY_INTERVAL_S = 0.1
LISTEN_BACKLOG = 512
RELOAD_TRIES, RELOAD_RETRY_DELAY_S = 8, 0.2
LISTEN_RETRY_DELAY_S = 0.2
LISTEN_TIMEOUT_S = 20.0  # leaves time for recovery within the 30 s allowed for a start
log = logging.getLogger("honeybarrow.node")


class ListenError(HoneybarrowError, OSError):
    """The listen address is not available."""

    code = "HB114"
    remedy = "stop the process that uses the address, or change the address in the platform configuration"


class ForwarderProcess:
    """The components of one forwarder process.

    :param on_failure: called with an error after which the process can't continue
    :param resident_bytes: memory that the process takes without clients, messages and lists
    """

    def __init__(
        self,
        config: ForwarderConfig,
        reactor: Any,
        clocks: Clocks,
        on_failure: Callable[[Exception], None],
        resident_bytes: int = 0,
    ) -> None:
        self.config, self.reactor = config, reactor
        self._clocks, self._on_failure = clocks, on_failure
        budget = allocate_descriptors(config.limits.descriptors, config.settings.slots)
        self.memory = allocate_memory(config.limits.memory_bytes, resident_bytes, budget.client_connections)
        self.write_ahead_log = self._build_write_ahead_log()
        self.message_events = MessageEventLog(reactor.seconds)
        self.surplus_responses = SurplusResponseLog(self.message_events)
        self.endpoints = EndpointTable()
        self.pool = self._build_pool(budget)
        self.forwarder = self._build_forwarder()
        self.discovery = self._build_discovery()
        self.notifications = self._build_notifications()
        self.forwarder.on_turn_finished = self.notifications.flush
        self.submissions = self._build_submissions()
        self.front = Front(
            reactor,
            self.submissions,
            budget.client_connections,
            self.memory.input_bytes,
            release_free_memory,
        )
        self.shutdown = self._build_shutdown()
        self.status_log = self._build_status_log()
        self.listener: Any = None
        self._first_list_timer: Any = None  # set while waiting for the first list
        self._log_retry: Any = None  # set while the log can't be written
        self.write_ahead_log.on_availability_changed = self._on_log_availability

    # components

    def _build_write_ahead_log(self) -> WriteAheadLog:
        max_bytes = int(self.config.limits.disk_bytes * MAX_LOG_DISK_SHARE)
        # Until then a copy of a request could be accepted again; its own deadline is at most as late.
        retention_us = max(each.deadline_us for each in self.config.settings.classes)
        return WriteAheadLog(self.config.state_folder, max_bytes, self._clocks, retention_us)

    def _build_pool(self, budget: DescriptorBudget) -> HttpConnectionPool:
        settings = self.config.settings
        return HttpConnectionPool(
            self.reactor,
            self.reactor,
            settings.connect_timeout_us,
            settings.idle_timeout_us,
            budget.idle_endpoint_connections,
            settings.load_report_fields,
            self.endpoints.accepts_calls_at,
            budget.endpoint_connections,
            self.surplus_responses.record,
            lambda target, retry_after_us: self.forwarder.on_retry_after(target, retry_after_us),
            self._on_reported_over,
        )

    def _build_forwarder(self) -> Forwarder:
        return Forwarder(
            self.config.settings,
            self.config.seed,
            self.reactor,
            self._clocks.monotonic_us,
            self.pool,
            self.endpoints.addresses_of,
            lambda: self.discovery.subscribe(),
            EventLog(self.message_events),
            self._on_failure,
            message_log=self.write_ahead_log,
            get_shutdown_age_us=lambda: self.shutdown.age_us,
            max_stall_us=MAX_STALL_US,
        )

    def _build_discovery(self) -> Discovery:
        return Discovery(
            self.reactor,
            self.reactor,
            self.config.discovery_address,
            self.config.saved_list.version,
            self._on_list_update,
            self._on_discovery_failure,
            self._on_list_outdated,
            min(MAX_ITEM_BYTES, self.memory.list_item_bytes),
            not self.config.settings.polls_endpoint_list,
            self.config.settings.connect_timeout_us / 1e6,
        )

    def _build_notifications(self) -> NotificationSender:
        return NotificationSender(
            self.reactor,
            self.reactor,
            self.config.discovery_address,
            lambda messages: self.submissions.select_notifiable(messages),
            lambda messages: self.submissions.on_notifications_acknowledged(messages),
        )

    def _build_submissions(self) -> SubmissionService:
        return SubmissionService(
            self.forwarder,
            self.write_ahead_log,
            self.notifications,
            self.endpoints.is_destination_listed,
            random.Random(self.config.seed),
            MessageMemory(self.memory.message_bytes),
        )

    def _build_shutdown(self) -> GracefulShutdown:
        return GracefulShutdown(
            self.reactor,
            self._clocks.monotonic_us,
            self.forwarder,
            self.submissions,
            self.notifications,
            self.front,
            self.write_ahead_log,
            lambda: self.reactor.stop(),
        )

    def _build_status_log(self) -> StatusLog:
        return StatusLog(
            self.reactor,
            self.forwarder,
            self.pool,
            self.front,
            self.submissions,
            self.notifications,
            self.write_ahead_log,
            ClockMonitor(self._clocks),
            self.surplus_responses,
        )

    # start

    def start(self) -> None:
        """Listen, recover the messages of earlier processes, and become ready."""
        self._listen(self.reactor.seconds() + LISTEN_TIMEOUT_S)
        self.endpoints.apply_update(self.config.saved_list)
        self.forwarder.apply_membership_update(self.config.saved_list.to_membership_update(UpdateKind.SAVED))
        self.status_log.start()
        if self.config.settings.polls_endpoint_list:
            self._recover()
            return
        # Pushed lists are in force as soon as discovery has them, and the saved list may be outdated. So
        # nothing is sent until the first list arrives or discovery turns out to be down. The process becomes
        # ready before that if it takes longer.
        self._first_list_timer = self.reactor.callLater(FIRST_LIST_TIMEOUT_S, self._recover)
        self.discovery.subscribe()

    def _listen(self, deadline_s: float) -> None:
        """Listen; retry until the deadline, because an earlier process may still use the port."""
        host, port = self.config.listen_address
        try:
            self.listener = self.reactor.listenTCP(port, self.front, backlog=LISTEN_BACKLOG, interface=host)
        except (CannotListenError, OSError) as error:
            if self.reactor.seconds() >= deadline_s:
                self._on_failure(ListenError(f"can't listen on {host}:{port}", str(error)))
                return
            log.warning("listen_failed error=%r retry_in_s=%.1f", str(error), LISTEN_RETRY_DELAY_S)
            self.reactor.callLater(LISTEN_RETRY_DELAY_S, self._listen, deadline_s)

    def _recover(self) -> None:
        """Resume or fail the messages that earlier processes accepted, then become ready."""
        if self._first_list_timer is not None and self._first_list_timer.active():
            self._first_list_timer.cancel()
        self._first_list_timer = None
        if not self.write_ahead_log.load():
            self.reactor.callLater(LOG_RETRY_INTERVAL_S, self._recover)
            return
        self.message_events.incarnation = str(self.write_ahead_log.incarnation)
        planned_us = self.write_ahead_log.now_us()
        timeline = self.write_ahead_log.timeline
        pending = list(self.write_ahead_log.pending_messages.by_id.values())
        steps = plan_recovery(pending, self.forwarder.sender.classes, planned_us, timeline.is_continuous)
        for step in steps:
            if isinstance(step, ResumedMessage):
                self._resume(step.delayed_by(self.write_ahead_log.now_us() - planned_us))
            else:
                self._notify_recovered(step)
        resumed = sum(isinstance(step, ResumedMessage) for step in steps)
        if steps:
            log.info(
                "recovery_planned resumed=%d notified=%d clock=%s",
                resumed, len(steps) - resumed, timeline.start.value,
            )  # fmt: skip
        self.reactor.callLater(0, self._become_ready)

    def _resume(self, resumed: ResumedMessage) -> None:
        self.message_events.write(
            "message_resumed",
            resumed.accepted.message,
            attempts=resumed.attempt_count,
            ambiguous_age_us=resumed.ambiguous_age_us,
            time_left_us=resumed.time_left_us,
        )
        self.submissions.resume_message(resumed)

    def _notify_recovered(self, result: FinalResult) -> None:
        self.message_events.write(
            "message_ended_at_start", result.message, outcome="returned" if result.is_returned else "failed"
        )
        self.submissions.notify_recovered_result(result)

    def _become_ready(self) -> None:
        self.submissions.is_ready = True
        settings = self.config.settings
        log.info(
            "ready name=%s address=%s:%d incarnation=%s",
            self.config.name, *self.config.listen_address, self.message_events.incarnation,
        )  # fmt: skip
        log.info(
            "settings slots=%d max_open=%d descriptors=%d client_connections=%d idle_timeout_s=%.1f "
            "connect_timeout_s=%.1f senders=%d",
            settings.slots, settings.max_open, self.config.limits.descriptors, self.front.max_connections,
            settings.idle_timeout_us / 1e6, settings.connect_timeout_us / 1e6, settings.senders,
        )  # fmt: skip
        self._log_memory_shares()

    def _log_memory_shares(self) -> None:
        memory = self.memory
        log.info(
            "memory limit_kb=%d resident_kb=%d input_kb=%d message_kb=%d",
            memory.limit_bytes // 1024, memory.resident_bytes // 1024,
            memory.input_bytes // 1024, memory.message_bytes // 1024,
        )  # fmt: skip
        if memory.is_limit_low:
            log.warning(
                "memory_limit_low limit_kb=%d resident_kb=%d remedy=%r",
                memory.limit_bytes // 1024, memory.resident_bytes // 1024,
                "raise limits.memory_mb; the process runs with the least shares and may exceed the limit",
            )  # fmt: skip

    # log

    def _on_log_availability(self, is_available: bool) -> None:
        self.forwarder.set_log_availability(is_available)
        if not is_available and self._log_retry is None:
            self._log_retry = self.reactor.callLater(LOG_RETRY_INTERVAL_S, self._retry_log)

    def _retry_log(self) -> None:
        self._log_retry = None
        if not self.write_ahead_log.retry():
            self._log_retry = self.reactor.callLater(LOG_RETRY_INTERVAL_S, self._retry_log)

    def _on_reported_over(self, messages: Iterable[str]) -> None:
        for message in messages:
            self.forwarder.on_reported_over(message)

    # endpoint list

    def _on_list_update(self, update: EndpointList) -> None:
        for target in self.endpoints.apply_update(update):
            self.pool.close_idle(target)
        self._on_membership_update(update.to_membership_update())

    def _on_discovery_failure(self, update: MembershipUpdate) -> None:
        self._on_membership_update(update)

    def _on_list_outdated(self, is_outdated: bool) -> None:
        """Suspend new calls while the list is outdated; messages that wait meanwhile use up no attempts."""
        version = self.discovery.version or 0
        if is_outdated:
            log.warning("endpoint_list_outdated version=%d calls=held", version)
        else:
            log.info("endpoint_list_confirmed version=%d calls=resumed", version)
        update = self.endpoints.to_membership_update(version, is_outdated)
        self.forwarder.apply_membership_update(update)

    def _on_membership_update(self, update: MembershipUpdate) -> None:
        self.forwarder.apply_membership_update(update)
        if self._first_list_timer is not None:
            self._recover()

    # signals

    def handle_signal(self, request: SignalRequest) -> None:
        """Handle a signal; called in the reactor's thread."""
        match request:
            case SignalRequest.RELOAD:
                self.reload()
            case SignalRequest.SHUT_DOWN:
                self.shutdown.start()

    def reload(self, tries_left: int = RELOAD_TRIES) -> None:
        """Read the configuration again and apply a new discovery address; ignore all other changes.

        A file that can't be read or is invalid is tried again, because it may be in the middle of a
        replacement, or the process may be short of descriptors.
        """
        try:
            config = read_config(os.environ)
        except ConfigError as error:
            if tries_left <= 1:
                self._log_reload_failure(error)
            else:
                self.reactor.callLater(RELOAD_RETRY_DELAY_S, self.reload, tries_left - 1)
            return
        log.info("reload_finished discovery=%s:%d", *config.discovery_address)
        self.discovery.change_address(config.discovery_address)
        self.notifications.change_address(config.discovery_address)

    def _log_reload_failure(self, error: ConfigError) -> None:
        log.error("reload_failed error=%r configuration=unchanged", format_error(error))
