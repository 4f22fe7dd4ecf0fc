"""Runs delivery attempts that the policy has decided on and reports their outcomes to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred, fail
from twisted.python.failure import Failure

from honeybarrow.actions import SendAttempt
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.delivery.results import DeliveryResult
from honeybarrow.delivery.submission import DeliveryContext, Submission
from honeybarrow.delivery.unconfirmed import UnconfirmedOutcome, UnconfirmedOutcomes
from honeybarrow.events import AttemptFinished, AttemptStatus
from honeybarrow.message_guard import Refusal
from honeybarrow.message_state import MessageState

# Statuses after which a message may still take effect, so that the next one of its order key has to wait.
KEY_COOLDOWN_STATUSES = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)
NOT_RECORDED_REASON = "its start can't be recorded"


@dataclass(slots=True)
class InFlightMessage:
    """State of a message, kept until it is completed and none of its attempts is in flight."""

    submission: Submission
    result: Deferred[DeliveryResult]
    submitted_us: int
    attempts: int = 0
    attempts_in_flight: int = 0
    time_in_calls_us: int = 0  # total duration of its finished attempts
    is_completed: bool = False
    is_withdrawn: bool = False  # the client has disconnected and no longer expects the result
    ambiguous_since_us: int | None = None  # start of the first finished attempt that may have run
    last_outcome: AttemptOutcome | None = None

    @property
    def is_ambiguous(self) -> bool:
        """Whether a finished attempt may have been executed by the partner."""
        return self.ambiguous_since_us is not None

    def record_ambiguous(self, started_us: int) -> None:
        """Record that an attempt that started at ``started_us`` may have run."""
        since_us = self.ambiguous_since_us
        self.ambiguous_since_us = started_us if since_us is None else min(since_us, started_us)

    @property
    def state(self) -> MessageState:
        """State of the message as shown in log lines."""
        if self.is_completed:
            return MessageState.ENDING
        if self.attempts_in_flight:
            return MessageState.IN_FLIGHT
        if self.is_ambiguous:
            return MessageState.AMBIGUOUS
        return MessageState.WAITING if self.attempts else MessageState.ACCEPTED

    def time_left_us(self, now_us: int) -> int:
        """Return the microseconds until the result is due; negative once it is overdue."""
        return self.submission.time_left_us - (now_us - self.submitted_us)


@dataclass(frozen=True, slots=True)
class MessagePermit:
    """Permission to write one attempt; implements :class:`honeybarrow.ports.AttemptPermit`."""

    context: DeliveryContext
    message: InFlightMessage
    attempt: int
    target: str
    deadline_us: int

    def time_left_us(self) -> int:
        """Return the microseconds left to write the last byte of the attempt; negative if it is too late."""
        return self.deadline_us - self.context.now_us()

    def may_reuse_connection(self) -> bool:
        """Return whether the attempt may use a connection that has carried a call before."""
        return self.context.guard.may_reuse_connection(self.message.submission.message) is None

    def refusal_reason(self) -> str:
        """Return why the attempt must not be written now, or an empty string if it may be."""
        if self.message.is_completed:
            return Refusal.ENDED.value
        if self.time_left_us() < 0:
            return Refusal.EXPIRED.value
        context = self.context
        refusal = context.guard.may_forward(
            self.message.submission.message, self.target, context.now_us(), context.get_shutdown_age_us()
        )
        return "" if refusal is None else refusal.value

    def record_start(self) -> str:
        """Check the permission and record the start, immediately before the first byte is written.

        Return why the attempt must not start, or an empty string if it may.
        """
        # Recorded earlier, a start could belong to a call that was never written: after a restart, a
        # non-idempotent message would be failed as ambiguous although it was never sent.
        return self.refusal_reason() or self.record_permitted_start()

    def record_permitted_start(self) -> str:
        """Record the start of an attempt whose permission has just been checked.

        Return why the attempt must not start, or an empty string if it may.
        """
        message_id = self.message.submission.message
        self.context.guard.on_attempt_started(message_id, self.target, self.context.now_us())
        is_repeatable = self.context.is_idempotent(self.message.submission.class_name)
        is_logged = self.context.message_log.record_attempt_started(
            message_id, self.attempt, is_required=not is_repeatable
        )
        return "" if is_logged or is_repeatable else NOT_RECORDED_REASON


class AttemptRunner:
    """Runs attempts; calls ``on_finished`` with the message, its outcome and the event for the policy."""

    def __init__(
        self,
        context: DeliveryContext,
        on_finished: Callable[[InFlightMessage, AttemptOutcome, AttemptFinished], None],
        unconfirmed: UnconfirmedOutcomes,
    ) -> None:
        self.context, self.on_finished, self._unconfirmed = context, on_finished, unconfirmed
        self.calls_in_flight = 0

    def start(self, message: InFlightMessage, action: SendAttempt, decided_us: int, is_logged: bool) -> None:
        """Start an attempt that the policy decided on at ``decided_us``.

        ``is_logged`` tells whether the log records of the current turn have been written.
        """
        context = self.context
        attempt, message.attempts = message.attempts, message.attempts + 1
        message.attempts_in_flight += 1
        addresses = context.get_addresses(action.target)
        # The start window counts from the decision, so that time spent in a long turn is deducted.
        permit = MessagePermit(context, message, attempt, action.target, decided_us + action.start_within_us)
        no_slot_free = self.calls_in_flight >= context.settings.slots
        reason = "no slot" if no_slot_free else permit.refusal_reason() or ("" if addresses else "no address")
        # After a restart, an attempt whose start was not recorded would be repeated.
        if not is_logged and not context.is_idempotent(message.submission.class_name):
            reason = reason or NOT_RECORDED_REASON
        if reason:
            context.log.warning(
                "attempt_not_sent",
                message=action.message,
                attempt=attempt,
                target=action.target,
                reason=reason,
            )
            outcome = AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=reason, no_slot_free=no_slot_free)
            self._record_outcome(message, attempt, action.target, context.now_us(), outcome)
            return
        self.calls_in_flight += 1
        context.counters.attempts += 1
        context.observer.attempt_started(action.message, attempt, action.target)
        context.call_observer.attempt_started(action.message, attempt, action.target)
        context.log.debug(
            "attempt_started",
            message=action.message,
            attempt=attempt,
            target=action.target,
            timeout_us=action.timeout_us,
        )
        started_us = context.now_us()
        payload = message.submission.payload
        try:
            call = context.transport.call(action.target, addresses, payload, action.timeout_us, permit)
        except Exception as error:  # an error of the transport ends only this call
            call = fail(error)
        callback_args = (message, attempt, action.target, started_us)
        call.addCallbacks(self._on_call_finished, self._on_call_crashed, callback_args, {}, callback_args, {})
        call.addErrback(self._on_handler_crashed)

    def _on_call_finished(
        self, outcome: AttemptOutcome, message: InFlightMessage, attempt: int, target: str, started_us: int
    ) -> None:
        self.calls_in_flight -= 1
        self._record_outcome(message, attempt, target, started_us, outcome)

    def _on_call_crashed(
        self, failure: Failure, message: InFlightMessage, attempt: int, target: str, started_us: int
    ) -> None:
        self.calls_in_flight -= 1
        self.context.log.error("call_crashed", error=failure.getErrorMessage())
        state = self.context.guard.get_state(message.submission.message)
        not_run = state is not MessageState.IN_FLIGHT  # no byte of the attempt was permitted
        outcome = AttemptOutcome(AttemptStatus.RESET, not_run, reason="fault")
        self._record_outcome(message, attempt, target, started_us, outcome)

    def _on_handler_crashed(self, failure: Failure) -> None:
        self.context.log.error("call_handler_crashed", error=failure.getTraceback())

    def _record_outcome(
        self, message: InFlightMessage, attempt: int, target: str, started_us: int, outcome: AttemptOutcome
    ) -> None:
        """Record the outcome of an attempt with the guard and the log, and report it to the policy."""
        context, message_id = self.context, message.submission.message
        state_before = message.state
        message.attempts_in_flight -= 1
        message.last_outcome = outcome
        if outcome.status is not AttemptStatus.OK and not outcome.not_run:
            message.record_ambiguous(started_us)
        elapsed_us = max(0, context.now_us() - started_us)
        message.time_in_calls_us += elapsed_us
        self._observe_outcome(message, attempt, target, elapsed_us, outcome, state_before)
        completes = outcome.status is AttemptStatus.OK or outcome.is_over
        self._inform_guard(message_id, attempt, target, outcome, completes)
        if outcome.verdict is not None:
            ends_message = completes and not message.is_completed
            unconfirmed = UnconfirmedOutcome(message, attempt, target, started_us, outcome, ends_message)
            self._unconfirmed.add(unconfirmed)
        else:
            context.message_log.record_attempt_finished(message_id, attempt, outcome.status, outcome.not_run)
        event = AttemptFinished(
            message_id,
            attempt,
            target,
            outcome.status,
            elapsed_us,
            message.is_completed or completes,
            outcome.retry_after_us,
            outcome.no_slot_free,
            outcome.load_report,
            outcome.not_run,
            outcome.retry_hold_us,
        )
        self.on_finished(message, outcome, event)

    def _observe_outcome(
        self,
        message: InFlightMessage,
        attempt: int,
        target: str,
        elapsed_us: int,
        outcome: AttemptOutcome,
        state_before: MessageState,
    ) -> None:
        """Pass an outcome to the observers, the counters and the log."""
        context, message_id, status = self.context, message.submission.message, outcome.status.value
        context.observer.attempt_finished(message_id, attempt, status, elapsed_us, outcome.reason)
        context.call_observer.attempt_finished(message_id, attempt, outcome.status)
        context.counters.count_outcome(status)
        context.log.debug(
            "attempt_finished",
            message=message_id,
            attempt=attempt,
            target=target,
            status=status,
            not_run=outcome.not_run,
            retry_after_us=outcome.retry_after_us,
            code=outcome.reply.code if outcome.reply else None,
            reason=outcome.reason,
            connection=outcome.connection.number if outcome.connection else None,
            connection_requests=outcome.connection.requests if outcome.connection else None,
            response_status=outcome.connection.response_status if outcome.connection else None,
            elapsed_us=elapsed_us,
            state_before=state_before.value,
            state_after=message.state.value,
            time_left_us=message.time_left_us(context.now_us()),
        )

    def _inform_guard(
        self, message_id: str, attempt: int, target: str, outcome: AttemptOutcome, completes: bool
    ) -> None:
        """Tell the guard what an outcome says about the message and its endpoint."""
        guard, now_us = self.context.guard, self.context.now_us()
        guard.on_attempt_finished(
            message_id,
            now_us,
            outcome.not_run,
            completes,
            outcome.status in KEY_COOLDOWN_STATUSES,
            attempt if outcome.verdict is not None else None,
        )
        guard.on_retry_after(target, now_us, outcome.retry_after_us)
        if outcome.is_over:
            guard.on_reported_over(message_id, now_us)
