"""The forwarder: passes events to the policy :class:`honeybarrow.policy.sender.Sender` and runs its actions.

The events of one reactor turn are passed to the policy together, and its actions are executed in order. The
forwarder owns the messages in flight, the call slots and the transport; all delivery decisions are made by
the policy. Clock, monotonic time and the random seed are passed in by the caller.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from honeybarrow.actions import (
    Action,
    CloseIdleConnections,
    FailPermanently,
    LogEvent,
    ReturnToClient,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from honeybarrow.admission.retry_after import compute_retry_after_us
from honeybarrow.delivery.attempts import AttemptRunner, InFlightMessage
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.delivery.results import (
    Delivered,
    DeliveryResult,
    Failed,
    NotRecorded,
    Refused,
    make_failed_result,
    make_returned_result,
)
from honeybarrow.delivery.submission import DeliveryContext, Submission, Transport
from honeybarrow.delivery.unconfirmed import UnconfirmedOutcomes
from honeybarrow.errors import InvalidValueError
from honeybarrow.events import (
    AttemptFinished,
    Event,
    LogAvailability,
    MembershipUpdate,
    MessageArrived,
    MessageExpired,
    RetryAfterReceived,
    TimerFired,
)
from honeybarrow.message_guard import MessageGuard, Refusal, Result, Violation
from honeybarrow.policy.sender import Sender
from honeybarrow.ports import (
    CallObserver,
    Clock,
    Logger,
    MessageLog,
    NullCallObserver,
    NullMessageLog,
    NullObserver,
    Observer,
)
from honeybarrow.settings import Settings

_RESULT_OF_TYPE = {
    Delivered: Result.DELIVERED,
    Refused: Result.RETURNED,
    NotRecorded: Result.RETURNED,
    Failed: Result.FAILED,
}


def _do_nothing(*_: object) -> None: ...


class Forwarder:
    """The delivery core of one process.

    ``get_addresses`` returns the addresses of a target, ``request_membership`` requests the endpoint list,
    and ``on_crash`` is called with an exception raised by the policy. For ``max_stall_us`` see
    :class:`honeybarrow.message_guard.MessageGuard`.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        now_us: Callable[[], int],
        transport: Transport,
        get_addresses: Callable[[str], Sequence[Any]],
        request_membership: Callable[[], None],
        log: Logger,
        on_crash: Callable[[Exception], None],
        observer: Observer | None = None,
        get_partner_name: Callable[[int], str] = str,
        message_log: MessageLog | None = None,
        get_shutdown_age_us: Callable[[], int | None] = lambda: None,
        max_stall_us: int = 0,
        call_observer: CallObserver | None = None,
    ) -> None:
        self.settings, self.sender, self.now_us, self.log = settings, Sender(settings, seed), now_us, log
        self.request_membership, self.on_crash, self.get_partner_name = (
            request_membership,
            on_crash,
            get_partner_name,
        )
        self.guard = MessageGuard(settings, self._on_guard_violation, max_stall_us)
        self.context = DeliveryContext(
            settings,
            self.sender,
            clock,
            now_us,
            transport,
            get_addresses,
            log,
            observer or NullObserver(),
            call_observer or NullCallObserver(),
            message_log or NullMessageLog(),
            self.guard,
            get_shutdown_age_us,
        )
        self.counters, self.rng = self.context.counters, random.Random(seed)
        self.unconfirmed = UnconfirmedOutcomes(self.context, self._queue_event, self._notify_refuted)
        self._attempts = AttemptRunner(self.context, self._on_attempt_finished, self.unconfirmed)
        # Called with a message whose delivery was refuted.
        self.on_refuted_delivery: Callable[[str], None] = _do_nothing
        self._pending_events: list[Event] = []
        self._arrived_this_turn: list[InFlightMessage] = []
        self._is_turn_logged = True  # whether the log records of this turn have been written
        self._is_turn_scheduled = False
        self._messages: dict[str, InFlightMessage] = {}
        self._open_count = self._last_turn_us = 0
        # Called with a withdrawn message, its number of attempts in flight, and whether it is ambiguous.
        self.on_withdrawn: Callable[[str, int, bool], None] = _do_nothing
        # Called with a withdrawn message, the outcome of its last attempt, and whether it is ambiguous.
        self.on_last_attempt_finished: Callable[[str, AttemptOutcome, bool], None] = _do_nothing
        self.on_turn_finished: Callable[[], object] = _do_nothing
        self._completed: list[str] = []  # messages to remove at the end of the next turn
        self._drain_waiters: list[Deferred[None]] = []

    # Submissions.

    def submit(self, submission: Submission) -> Deferred[DeliveryResult]:
        """Accept a message and return a Deferred that fires with its final result.

        Cancelling the Deferred withdraws the message. Raises :class:`InvalidValueError` if a message of this
        id is already in flight or its class is unknown.
        """
        message_id = submission.message
        if message_id in self._messages:
            raise InvalidValueError(f"message {message_id!r} is already in flight")
        if submission.class_name not in self.sender.classes:
            raise InvalidValueError(f"unknown message class {submission.class_name!r}")
        result: Deferred[DeliveryResult] = Deferred(lambda _: self._withdraw(message_id))
        if self._open_count >= self.settings.max_open and not submission.is_resumed:
            self.counters.rejected += 1
            wait_us = self._draw_retry_after_us()
            self.log.info(
                "message_rejected", message=message_id, open=self._open_count, retry_after_us=wait_us
            )
            result.callback(Refused(wait_us, "no room"))
            return result
        message = InFlightMessage(submission, result, self.now_us(), submission.attempts)
        if submission.ambiguous_age_us is not None:
            message.record_ambiguous(message.submitted_us - submission.ambiguous_age_us)
        self._messages[message_id] = message
        self._register_with_guard(submission, message.submitted_us)
        self._arrived_this_turn.append(message)
        self._open_count += 1
        self.counters.accepted += 1
        partner = self.get_partner_name(submission.destination)
        self.context.observer.message_accepted(
            message_id, submission.class_name, partner, submission.time_left_us
        )
        self.log.debug(
            "message_accepted",
            message=message_id,
            message_class=submission.class_name,
            destination=submission.destination,
            time_left_us=submission.time_left_us,
        )
        self._queue_event(submission.make_event())
        return result

    def _register_with_guard(self, submission: Submission, now_us: int) -> None:
        age_us = submission.ambiguous_age_us
        self.guard.on_accepted(
            submission.message,
            submission.class_name,
            now_us + submission.time_left_us,
            submission.order_key,
            submission.is_resumed,
            submission.attempts,
            None if age_us is None else now_us - age_us,
        )

    def set_log_availability(self, is_available: bool) -> None:
        """Report to the policy whether the message log can be written."""
        self._queue_event(LogAvailability(is_available))

    def is_known(self, message: str) -> bool:
        """Return whether a message of this id is open or still has an attempt in flight."""
        return message in self._messages

    def on_retry_after(self, target: str, retry_after_us: int) -> None:
        """Apply a Retry-After that came in a response that can't be assigned to an attempt."""
        self.guard.on_retry_after(target, self.now_us(), retry_after_us)
        self._queue_event(RetryAfterReceived(target, retry_after_us))

    def apply_membership_update(self, update: MembershipUpdate) -> None:
        """Apply a change of the endpoint list to the guard and the policy."""
        self.guard.on_endpoint_list(update)
        self._queue_event(update)

    @property
    def open_count(self) -> int:
        """Number of messages that have no final result yet."""
        return self._open_count

    @property
    def calls_in_flight(self) -> int:
        """Number of calls that have no outcome yet."""
        return self._attempts.calls_in_flight

    def wait_until_drained(self) -> Deferred[None]:
        """Return a Deferred that fires when every accepted message has its final result."""
        done: Deferred[None] = Deferred()
        if self._open_count == 0:
            done.callback(None)
        else:
            self._drain_waiters.append(done)
        return done

    # Turns: the policy handles the events that were queued during one reactor iteration.

    def _queue_event(self, event: Event) -> None:
        self._pending_events.append(event)
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self.context.clock.callLater(0, self._run_turn)

    def _run_turn(self) -> None:
        self._is_turn_scheduled = False
        events, self._pending_events = self._pending_events, []
        # The policy raises if time runs backwards.
        now = self._last_turn_us = max(self._last_turn_us, self.now_us())
        events = [self._adjust_for_queueing(e, now) if isinstance(e, MessageArrived) else e for e in events]
        try:
            actions = self.sender.handle(now, events)
        except Exception as error:  # any error of the policy leads to an orderly shutdown
            self._on_policy_error(error)
            return
        self._commit_turn(actions)
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:  # an error in one action does not stop the other actions of the turn
                self._on_action_failed(action, error)
        # Messages are removed after all actions, since a later action of this turn may still refer to one
        # that was completed or withdrawn above.
        completed, self._completed = self._completed, []
        for message_id in completed:
            message = self._messages.get(message_id)  # None if the message was listed twice
            if message is not None and message.attempts_in_flight == 0:
                del self._messages[message_id]
        self.on_turn_finished()

    def _on_action_failed(self, action: Action, error: Exception) -> None:
        self.log.error("action_failed", action=type(action).__name__, error=repr(error))

    def _on_policy_error(self, error: Exception) -> None:
        """Fail all open messages after the policy raised, and report the crash."""
        self.log.error("policy_failed", error=f"{type(error).__name__}: {error}")
        self.fail_all("internal fault")
        self.on_crash(error)

    def _on_guard_violation(self, violation: Violation) -> None:
        self.log.error(
            "guard_violation",
            rule=violation.rule.value,
            question=violation.check,
            refusal=violation.refusal.value,
            message=violation.message,
            state=violation.state.value if violation.state else None,
        )

    def _commit_turn(self, actions: list[Action]) -> None:
        """Write the log records of this turn and acknowledge its messages, before any action is executed."""
        arrived, self._arrived_this_turn = self._arrived_this_turn, []
        completed = {a.message: None for a in actions if isinstance(a, ReturnToClient | FailPermanently)}
        accepted = [m for m in arrived if not m.is_completed and m.submission.message not in completed]
        for message in accepted:
            self.context.message_log.record_accepted(message.submission)
        self._is_turn_logged = self.context.message_log.commit()
        for message in accepted:
            if self._is_turn_logged:
                self.guard.on_recorded(message.submission.message)
                if self.guard.may_acknowledge(message.submission.message) is None:
                    message.submission.on_accepted()
            elif not message.submission.is_resumed:
                # An acknowledged message that is not on disk would be lost if the process crashed.
                self._complete(message, NotRecorded(self._draw_retry_after_us(), "it can't be recorded"))
                self._queue_event(MessageExpired(message.submission.message))

    def _adjust_for_queueing(self, event: MessageArrived, now: int) -> MessageArrived:
        """Deduct the time between submission and this turn, which is long when the reactor is busy."""
        message = self._messages.get(event.message)
        if message is None:
            return event
        queued_us = now - message.submitted_us
        age_us = None if event.ambiguous_age_us is None else event.ambiguous_age_us + queued_us
        return replace(event, time_left_us=event.time_left_us - queued_us, ambiguous_age_us=age_us)

    def _execute(self, action: Action) -> None:
        match action:
            case SendAttempt(message_id):
                self._attempts.start(
                    self._messages[message_id], action, self._last_turn_us, self._is_turn_logged
                )
            case ReturnToClient(message_id):
                message = self._messages[message_id]
                self._complete(message, make_returned_result(action, message.last_outcome))
            case FailPermanently(message_id):
                message = self._messages[message_id]
                self._complete(message, make_failed_result(message.last_outcome))
            case SetTimer(timer, delay_us):
                self.context.clock.callLater(delay_us / 1e6, self._queue_event, TimerFired(timer))
            case Subscribe(enable):
                if enable:
                    self.request_membership()
            case CloseIdleConnections(target):
                self.context.transport.close_idle(target)
            case LogEvent(text):
                self.log.info("policy_note", text=text)

    def _draw_retry_after_us(self) -> int:
        return compute_retry_after_us(0, self.settings.max_retry_after_us, self.rng)

    # Results.

    def _on_attempt_finished(
        self, message: InFlightMessage, outcome: AttemptOutcome, event: AttemptFinished
    ) -> None:
        self._queue_event(event)
        if event.is_completed and not message.is_completed:
            self._complete_by_outcome(message, outcome)
        elif message.is_completed:
            self._schedule_removal(message)
            if message.is_withdrawn and message.attempts_in_flight == 0:
                self.on_last_attempt_finished(event.message, outcome, message.is_ambiguous)

    def _complete_by_outcome(self, message: InFlightMessage, outcome: AttemptOutcome) -> None:
        """Complete a message that was delivered, or that its partner has reported as over."""
        message_id, message_log = message.submission.message, self.context.message_log
        if outcome.owes_notification:
            self.counters.ends_notified += 1
            self._complete(message, Failed(outcome.reason))
        else:
            if outcome.verdict is None:
                message_log.record_completed(message_id)
            self._complete(message, Delivered(outcome.reply))
        if outcome.is_over:
            # At once: a kill before the end of the turn would let the next process send the message again.
            message_log.commit()

    def _notify_refuted(self, message: InFlightMessage) -> None:
        """Notify the failure of a message whose delivery was refuted."""
        message_id = message.submission.message
        if message_id not in self._messages:
            message_log = self.context.message_log
            message_log.record_accepted(replace(message.submission, attempts=message.attempts))
            message_log.commit()
            self.on_refuted_delivery(message_id)
            message_log.commit()
        elif self._messages[message_id] is message:  # the turn that completed it is not over yet
            self.context.clock.callLater(0, self._notify_refuted, message)

    def on_reported_over(self, message_id: str) -> None:
        """End a message that may be over by a response that can't be assigned to an attempt."""
        message = self._messages.get(message_id)
        if message is None or message.is_completed:
            return
        self.guard.on_reported_over(message_id, self.now_us())
        self.counters.ends_notified += 1
        self._complete(message, Failed("perhaps completed"))
        self.context.message_log.commit()
        self._queue_event(MessageExpired(message_id))

    def _complete(self, message: InFlightMessage, result: DeliveryResult) -> None:
        """Deliver the final result of a message. All results pass through this method."""
        if message.is_completed:
            return
        message_id = message.submission.message
        if (refusal := self.guard.may_end(message_id, _RESULT_OF_TYPE[type(result)])) is not None:
            if refusal is Refusal.ENDED:
                return
            result = Failed(refusal.value)  # the only result that makes no claim about the effect
        state_before = message.state
        message.is_completed = True
        self._open_count -= 1
        self.counters.count_result(result)
        now_us = self.now_us()
        elapsed_us, left_us = now_us - message.submitted_us, message.time_left_us(now_us)
        self.context.observer.message_completed(
            message_id, result.label, elapsed_us, message.time_in_calls_us, left_us
        )
        self.log.info(
            f"message_{result.label}",
            message=message_id,
            attempts=message.attempts,
            elapsed_us=elapsed_us,
            time_in_calls_us=message.time_in_calls_us,
            time_left_us=left_us,
            state_before=state_before.value,
            **({"reason": result.reason} if not isinstance(result, Delivered) else {}),
        )
        message.result.callback(result)
        self._schedule_removal(message)
        self._notify_if_drained()

    def _withdraw(self, message_id: str) -> None:
        """Stop new attempts of a message whose client is gone; attempts in flight continue.

        See ``docs/mail.md``.
        """
        message = self._messages.get(message_id)
        if message is None or message.is_completed:
            return
        state_before = message.state
        self.guard.on_withdrawn(message_id)
        message.is_completed = message.is_withdrawn = True
        self._open_count -= 1
        self.counters.withdrawn += 1
        now_us = self.now_us()
        elapsed_us, left_us = now_us - message.submitted_us, message.time_left_us(now_us)
        self.context.observer.message_completed(
            message_id, "withdrawn", elapsed_us, message.time_in_calls_us, left_us
        )
        in_flight = message.attempts_in_flight
        self.log.info(
            "message_withdrawn",
            message=message_id,
            attempts=message.attempts,
            attempts_in_flight=in_flight,
            time_left_us=left_us,
            state_before=state_before.value,
        )
        self._schedule_removal(message)
        self._queue_event(MessageExpired(message_id))
        self.on_withdrawn(message_id, in_flight, message.is_ambiguous)
        self._notify_if_drained()

    def _schedule_removal(self, message: InFlightMessage) -> None:
        if message.is_completed and message.attempts_in_flight == 0:
            self.guard.on_settled(message.submission.message)
            self._completed.append(message.submission.message)

    def _notify_if_drained(self) -> None:
        if self._open_count == 0:
            waiters, self._drain_waiters = self._drain_waiters, []
            for done in waiters:
                done.callback(None)

    def fail_all(self, reason: str) -> None:
        """Complete every open message as failed, for the given reason."""
        for message in list(self._messages.values()):
            self._complete(message, Failed(reason))


def ignore_cancelled(failure: Failure) -> None:
    """Ignore the cancellation of a message that was withdrawn; use as an errback of its Deferred."""
    failure.trap(CancelledError)  # type: ignore[no-untyped-call]
