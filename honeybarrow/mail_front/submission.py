"""Submission of messages by the mail fronts, and the delivery of final results to the waiting clients.

``honeybarrow.admission`` decides on admission and duplicates; this module tracks which client waits for the
result of which message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from twisted.internet.defer import Deferred

from honeybarrow.admission.admission_control import AdmissionController, Admit
from honeybarrow.admission.duplicate_detection import (
    AcceptAsNew,
    AwaitAttempt,
    DuplicateDecision,
    DuplicateDetector,
    JoinMessage,
    RepeatResult,
    SubmissionEvent,
)
from honeybarrow.delivery import (
    AttemptOutcome,
    Delivered,
    DeliveryResult,
    Failed,
    Forwarder,
    NoTimeLeft,
    Refused,
    Submission,
    ignore_cancelled,
)
from honeybarrow.events import AttemptStatus
from honeybarrow.mail_front.message_identity import MessageIdentity
from honeybarrow.ports import Clock, Logger
from honeybarrow.settings import MessageClass


@dataclass(slots=True, eq=False)
class _ResultWaiter:
    """A submission whose client waits for the final result."""

    result: Deferred[DeliveryResult]
    deadline_us: int
    message: str = ""  # id of the submitted message whose result is awaited


@dataclass(slots=True)
class _OpenMessage:
    """A message submitted to the forwarder, and the submissions that wait for its result."""

    result: Deferred[DeliveryResult]
    waiters: list[_ResultWaiter] = field(default_factory=list)


class MailSubmissionService:
    """Submits the messages of all mail fronts to the forwarder.

    Admission control bounds its size: each open message is admitted, and each waiter belongs to a client's
    transaction.
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
        self, connection_id: int, identity: MessageIdentity, submission: Submission
    ) -> Deferred[DeliveryResult]:
        """Submit a message; the returned deferred fires with its final result.

        Cancel the deferred when the client disconnects. Duplicates are not detected if ``identity`` has no
        key for them.
        """
        waiter: _ResultWaiter
        result: Deferred[DeliveryResult] = Deferred(lambda _: self._on_client_left(waiter))
        waiter = _ResultWaiter(result, self.now_us() + submission.time_left_us)
        self._check_duplicate(connection_id, identity, submission, waiter)
        return result

    def _check_duplicate(
        self, connection_id: int, identity: MessageIdentity, submission: Submission, waiter: _ResultWaiter
    ) -> None:
        """Submit a new message; for a duplicate, await or repeat the result of the first submission."""
        now = self.now_us()
        match self._decide_on_duplicate(now, identity):
            case AcceptAsNew() as accepted:
                submission = self._limit_repeat(submission, waiter.deadline_us - now, accepted)
                self._admit_new_message(connection_id, identity, submission, waiter)
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
                        else self._check_duplicate(connection_id, identity, submission, waiter)
                    )
                )
            case RepeatResult(is_delivered):
                self.log.info("duplicate_answered", message=submission.message, delivered=is_delivered)
                waiter.result.callback(Delivered() if is_delivered else Failed("handed in before, in doubt"))

    def _decide_on_duplicate(self, now: int, identity: MessageIdentity) -> DuplicateDecision:
        if not identity.duplicate_key:
            return AcceptAsNew()
        return self.duplicates.check_submission(now, identity.duplicate_key, identity.message_id)

    def _limit_repeat(self, submission: Submission, left_us: int, accepted: AcceptAsNew) -> Submission:
        """Return the submission with its time left, and with its history if an earlier one may have run."""
        max_left_us = accepted.max_time_left_us
        if max_left_us is None:
            return replace(submission, time_left_us=left_us)
        age_us = max(0, self.classes[submission.class_name].key_window_us - max_left_us)
        payload = replace(submission.payload, requires_envelope_id=accepted.is_renamed)
        return replace(
            submission, time_left_us=min(left_us, max_left_us), payload=payload, ambiguous_age_us=age_us
        )

    def _refuse(self, submission: Submission, refused: Refused, waiter: _ResultWaiter) -> None:
        """Refuse a message that was not admitted, unless an earlier submission of it may have run."""
        age_us = submission.ambiguous_age_us
        if age_us is None:
            waiter.result.callback(refused)
            return
        within_us = self.classes[submission.class_name].key_window_us - age_us
        waiter.result.callback(Failed(refused.reason, None, within_us, refused.retry_after_us))

    def _admit_new_message(
        self, connection_id: int, identity: MessageIdentity, submission: Submission, waiter: _ResultWaiter
    ) -> None:
        """Submit a message to the forwarder if admission control admits it, else refuse it."""
        now, message = self.now_us(), submission.message
        if submission.time_left_us <= 0:
            self._refuse(submission, NoTimeLeft(0, "no time left"), waiter)
            return
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
            self._refuse(submission, Refused(decision.retry_after_us, decision.reason), waiter)
            return
        if identity.duplicate_key:
            message_class = self.classes[submission.class_name]
            self.duplicates.record_accepted(
                now,
                identity.duplicate_key,
                message,
                message_class.idempotency,
                message_class.key_window_us,
                identity.message_id,
            )
        waiter.message = message
        open_message = self._open_messages[message] = _OpenMessage(
            self.forwarder.submit(submission), [waiter]
        )
        open_message.result.addCallback(self._on_final_result, message)
        open_message.result.addErrback(ignore_cancelled)

    def _start_wait_timer(self, waiter: _ResultWaiter) -> None:
        """Start the timer for a duplicate's own deadline, which may precede that of the first submission."""
        delay_s = max(0, waiter.deadline_us - self.now_us()) / 1e6
        timer = self.clock.callLater(delay_s, self._on_wait_timeout, waiter)

        def cancel_timer(result: DeliveryResult) -> DeliveryResult:
            if timer.active():
                timer.cancel()
            return result

        waiter.result.addBoth(cancel_timer)

    def _on_wait_timeout(self, waiter: _ResultWaiter) -> None:
        """Fail a duplicate whose deadline has passed before the first submission had a result."""
        if not waiter.result.called:
            self._remove_waiter(waiter)
            waiter.result.callback(Failed("its first hand-in has no answer yet"))

    def _on_final_result(self, result: DeliveryResult, message: str) -> None:
        """Release the capacity of a completed message and give its result to all waiters."""
        now = self.now_us()
        self.admission.release_message(now, message)
        match result:
            case Delivered():
                self.duplicates.record_event(now, message, SubmissionEvent.DELIVERED)
            case Refused(retry_after_us, reason):
                self.duplicates.record_event(now, message, SubmissionEvent.REFUSED)
                within_us = self.duplicates.remaining_window_us(now, message)
                if within_us is not None:  # an earlier submission may have run
                    result = Failed(reason, None, within_us, retry_after_us)
            case Failed(_, None, within_us):
                self.duplicates.record_event(now, message, SubmissionEvent.FAILED, within_us)
            case Failed():
                self.duplicates.record_event(now, message, SubmissionEvent.REJECTED)
        for waiter in self._open_messages.pop(message).waiters:
            if not waiter.result.called:
                waiter.result.callback(result)

    def _on_client_left(self, waiter: _ResultWaiter) -> None:
        """Remove the waiter of a client that disconnected; withdraw the message if no other waits for it."""
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
        """Record that the forwarder withdrew a message; ``attempts_in_flight`` of its attempts continue."""
        now = self.now_us()
        if self._open_messages.pop(message, None) is None:
            return
        self.admission.release_message(now, message)
        event = SubmissionEvent.WITHDRAWN
        if attempts_in_flight:
            event = SubmissionEvent.WITHDRAWN_IN_FLIGHT
        elif is_ambiguous:
            event = SubmissionEvent.WITHDRAWN_AMBIGUOUS
        self.duplicates.record_event(now, message, event)

    def _on_last_attempt_finished(self, message: str, outcome: AttemptOutcome, is_ambiguous: bool) -> None:
        """Record the end of the last attempt of a withdrawn message, and recheck its deferred duplicates."""
        now = self.now_us()
        if outcome.status is AttemptStatus.OK:
            self.duplicates.record_event(now, message, SubmissionEvent.DELIVERED)
        else:
            event = SubmissionEvent.ATTEMPT_AMBIGUOUS if is_ambiguous else SubmissionEvent.ATTEMPT_NOT_RUN
            self.duplicates.record_event(now, message, event)
        for check_again in self._deferred_duplicates.pop(message, []):
            check_again()
