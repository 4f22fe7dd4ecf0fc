"""Submission of messages by the mail fronts, and the delivery of final results to the clients that wait.

Admission and the detection of duplicates are decided in ``honeybarrow.admission``; this module keeps which
client waits for the result of which message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from twisted.internet.defer import Deferred

from honeybarrow.admission.admission_control import AdmissionController, Admit
from honeybarrow.admission.duplicate_detection import (
    AcceptAsNew,
    AwaitAttempt,
    DuplicateDetector,
    JoinMessage,
    MessageEvent,
    RepeatResult,
)
from honeybarrow.delivery import (
    AttemptOutcome,
    Delivered,
    DeliveryResult,
    Failed,
    Forwarder,
    Refused,
    Submission,
    ignore_cancelled,
)
from honeybarrow.events import AttemptStatus
from honeybarrow.ports import Clock, Logger
from honeybarrow.settings import MessageClass


@dataclass(slots=True, eq=False)
class _ResultWaiter:
    """One submission whose client waits for a final result."""

    result: Deferred[DeliveryResult]
    deadline_us: int
    message: str = ""  # the message in the core whose result it waits for


@dataclass(slots=True)
class _OpenMessage:
    """One message in the core, and all who wait for its result."""

    result: Deferred[DeliveryResult]
    waiters: list[_ResultWaiter] = field(default_factory=list)


class MailSubmissionService:
    """Submits messages of all fronts of a forwarder to its core.

    Bounded by the admission control: an open message is an admitted one, a waiter is a client's transaction.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        admission: AdmissionController,
        duplicates: DuplicateDetector,
        classes: dict[str, MessageClass],
        clock: Clock,
        now_us: Callable[[], int],
        log: Logger,
    ) -> None:
        self.forwarder, self.admission, self.duplicates = forwarder, admission, duplicates
        self.classes, self.clock, self.now_us, self.log = classes, clock, now_us, log
        self._open_messages: dict[str, _OpenMessage] = {}
        self._deferred_duplicates: dict[str, list[Callable[[], None]]] = {}
        forwarder.on_withdrawn = self._on_withdrawn
        forwarder.on_last_attempt_finished = self._on_last_attempt_finished

    def submit(
        self, connection_id: int, duplicate_key: str, submission: Submission
    ) -> Deferred[DeliveryResult]:
        """Submit a message; fires with its final result. To be cancelled when its client has left.

        ``duplicate_key``: what it has in common with other submissions of the same message, or empty.
        """
        waiter: _ResultWaiter
        result: Deferred[DeliveryResult] = Deferred(lambda _: self._on_client_left(waiter))
        waiter = _ResultWaiter(result, self.now_us() + submission.time_left_us)
        self._check_duplicate(connection_id, duplicate_key, submission, waiter)
        return result

    def _check_duplicate(
        self, connection_id: int, duplicate_key: str, submission: Submission, waiter: _ResultWaiter
    ) -> None:
        """Admit a new message; for a duplicate wait for, or repeat, the result of the first one."""
        now = self.now_us()
        decision = self.duplicates.check_submission(now, duplicate_key) if duplicate_key else AcceptAsNew()
        match decision:
            case AcceptAsNew(left_us):
                left = waiter.deadline_us - now
                left = left if left_us is None else min(left, left_us)
                self._admit_new_message(
                    connection_id, duplicate_key, replace(submission, time_left_us=left), waiter
                )
            case JoinMessage(message):
                self.log.info("duplicate_joined", message=submission.message, first=message)
                waiter.message = message
                self._open_messages[message].waiters.append(waiter)
                self._start_wait_timer(waiter)
            case AwaitAttempt(message):
                self.log.info("duplicate_deferred", message=submission.message, first=message)
                self._start_wait_timer(waiter)
                self._deferred_duplicates.setdefault(message, []).append(
                    lambda: (
                        None
                        if waiter.result.called
                        else self._check_duplicate(connection_id, duplicate_key, submission, waiter)
                    )
                )
            case RepeatResult(delivered):
                self.log.info("duplicate_answered", message=submission.message, delivered=delivered)
                waiter.result.callback(Delivered() if delivered else Failed("handed in before, in doubt"))

    def _admit_new_message(
        self, connection_id: int, duplicate_key: str, submission: Submission, waiter: _ResultWaiter
    ) -> None:
        """Submit a message to the core, if the admission control has room for it."""
        now, message = self.now_us(), submission.message
        decision = self.admission.admit_message(now, connection_id, message, submission.tenant)
        if not isinstance(decision, Admit):
            self.forwarder.counters.rejected += 1
            self.forwarder.context.observer.message_rejected(decision.reason)
            self.log.info(
                "message_rejected",
                message=message,
                reason=decision.reason,
                retry_after_us=decision.retry_after_us,
            )
            waiter.result.callback(Refused(decision.retry_after_us, decision.reason))
            return
        if duplicate_key:
            message_class = self.classes[submission.class_name]
            self.duplicates.record_accepted(
                now, duplicate_key, message, message_class.idempotency, message_class.key_window_us
            )
        waiter.message = message
        open_message = self._open_messages[message] = _OpenMessage(
            self.forwarder.submit(submission), [waiter]
        )
        open_message.result.addCallback(self._on_final_result, message)
        open_message.result.addErrback(ignore_cancelled)

    def _start_wait_timer(self, waiter: _ResultWaiter) -> None:
        """A duplicate has a deadline of its own, perhaps a shorter one than the first submission's."""
        delay_s = max(0, waiter.deadline_us - self.now_us()) / 1e6
        timer = self.clock.callLater(delay_s, self._on_wait_timeout, waiter)

        def cancel_timer(result: DeliveryResult) -> DeliveryResult:
            if timer.active():
                timer.cancel()
            return result

        waiter.result.addBoth(cancel_timer)

    def _on_wait_timeout(self, waiter: _ResultWaiter) -> None:
        """The deadline of a duplicate has passed before the first submission had a result."""
        if not waiter.result.called:
            self._remove_waiter(waiter)
            waiter.result.callback(Failed("its first hand-in has no answer yet"))

    def _on_final_result(self, result: DeliveryResult, message: str) -> None:
        """The core has completed a message: release its capacity and complete all who wait."""
        now = self.now_us()
        self.admission.release_message(now, message)
        match result:
            case Delivered():
                self.duplicates.record_event(now, message, MessageEvent.DELIVERED)
            case Refused():
                self.duplicates.record_event(now, message, MessageEvent.REFUSED)
            case Failed(_, None, within_us):
                self.duplicates.record_event(now, message, MessageEvent.FAILED, within_us)
            case Failed():
                self.duplicates.record_event(now, message, MessageEvent.REJECTED)
        for waiter in self._open_messages.pop(message).waiters:
            if not waiter.result.called:
                waiter.result.callback(result)

    def _on_client_left(self, waiter: _ResultWaiter) -> None:
        """A client left before its result; with the last client that waits the message is withdrawn."""
        open_message = self._remove_waiter(waiter)
        if open_message is not None and not open_message.waiters:
            open_message.result.cancel()

    def _remove_waiter(self, waiter: _ResultWaiter) -> _OpenMessage | None:
        open_message = self._open_messages.get(waiter.message)
        if open_message is None or waiter not in open_message.waiters:
            return None
        open_message.waiters.remove(waiter)
        return open_message

    def _on_withdrawn(self, message: str, attempts_in_flight: int, is_ambiguous: bool) -> None:
        """The core has withdrawn a message; ``attempts_in_flight`` of its attempts go on."""
        now = self.now_us()
        if self._open_messages.pop(message, None) is None:
            return
        self.admission.release_message(now, message)
        event = MessageEvent.WITHDRAWN
        if attempts_in_flight:
            event = MessageEvent.WITHDRAWN_IN_FLIGHT
        elif is_ambiguous:
            event = MessageEvent.WITHDRAWN_AMBIGUOUS
        self.duplicates.record_event(now, message, event)

    def _on_last_attempt_finished(self, message: str, outcome: AttemptOutcome, is_ambiguous: bool) -> None:
        """The last attempt of a withdrawn message has finished: duplicates that waited are decided again."""
        now = self.now_us()
        if outcome.status is AttemptStatus.OK:
            self.duplicates.record_event(now, message, MessageEvent.DELIVERED)
        else:
            event = MessageEvent.ATTEMPT_AMBIGUOUS if is_ambiguous else MessageEvent.ATTEMPT_NOT_RUN
            self.duplicates.record_event(now, message, event)
        for check_again in self._deferred_duplicates.pop(message, []):
            check_again()
