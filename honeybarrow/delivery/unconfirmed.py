"""Outcomes that may belong to another request, kept until a verdict confirms or refutes them.

A confirmed outcome is recorded in the message log. After a refuted one :mod:`honeybarrow.delivery.refutation`
decides: the platform is notified, or the attempt counts as one that may have run. Until the verdict the log
has the attempt as unfinished, so that after a crash it counts as ambiguous.

A delivery that was confirmed by silence may be refuted later; the log then records its message again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from honeybarrow.delivery.outcome import AttemptOutcome, Evidence, Verdict
from honeybarrow.delivery.refutation import Decision, decide
from honeybarrow.delivery.submission import DeliveryContext
from honeybarrow.events import Event, OutcomeRefuted

if TYPE_CHECKING:
    from honeybarrow.delivery.attempts import InFlightMessage


@dataclass(slots=True)
class UnconfirmedOutcome:
    """An outcome without a verdict; ``ends_message`` if the message was completed by it."""

    message: InFlightMessage
    attempt: int
    target: str
    started_us: int
    outcome: AttemptOutcome
    ends_message: bool
    is_confirmed: bool = False


class UnconfirmedOutcomes:
    """Carries out the verdicts on the outcomes of one forwarder.

    ``queue_event`` passes an event to the policy, and ``notify`` receives the message of a refuted delivery.
    """

    def __init__(
        self,
        context: DeliveryContext,
        queue_event: Callable[[Event], None],
        notify: Callable[[InFlightMessage], None],
    ) -> None:
        self._context, self._queue_event = context, queue_event
        self._notify = notify
        self.count = 0  # outcomes without a verdict
        self.refuted_counts: Counter[str] = Counter()  # by evidence
        self._is_commit_scheduled = False

    def add(self, unconfirmed: UnconfirmedOutcome) -> None:
        """Wait for the verdict on an outcome."""
        verdict = unconfirmed.outcome.verdict
        if verdict is None:
            return
        self.count += 1
        verdict.listen(lambda given: self._on_verdict(given, unconfirmed))

    def _on_verdict(self, verdict: Verdict, unconfirmed: UnconfirmedOutcome) -> None:
        is_first = not unconfirmed.is_confirmed
        self.count -= is_first
        unconfirmed.is_confirmed = verdict is Verdict.CONFIRMED
        if verdict is Verdict.CONFIRMED:
            self._record_confirmed(unconfirmed)
        elif unconfirmed.ends_message or is_first:
            self._on_refuted(unconfirmed)
        self._schedule_commit()

    def _on_refuted(self, unconfirmed: UnconfirmedOutcome) -> None:
        verdict = unconfirmed.outcome.verdict
        evidence = (verdict.evidence if verdict is not None else None) or Evidence.CONNECTION_END
        decision = decide(unconfirmed.ends_message)
        self._log_refuted(unconfirmed, evidence, decision)
        match decision:
            case Decision.NOTIFY:
                self._notify(unconfirmed.message)
            case Decision.AMBIGUOUS:
                self._record_as_ambiguous(unconfirmed)

    def _record_confirmed(self, unconfirmed: UnconfirmedOutcome) -> None:
        context, message_id = self._context, unconfirmed.message.submission.message
        if unconfirmed.ends_message:
            context.message_log.record_completed(message_id)
            return
        context.guard.on_outcome_confirmed(message_id, unconfirmed.attempt)
        outcome = unconfirmed.outcome
        context.message_log.record_attempt_finished(
            message_id, unconfirmed.attempt, outcome.status, outcome.not_run
        )

    def _record_as_ambiguous(self, unconfirmed: UnconfirmedOutcome) -> None:
        context, message_id = self._context, unconfirmed.message.submission.message
        unconfirmed.message.record_ambiguous(unconfirmed.started_us)
        context.guard.on_outcome_refuted(message_id, unconfirmed.attempt)
        context.message_log.record_attempt_finished(
            message_id, unconfirmed.attempt, unconfirmed.outcome.status, not_run=False
        )
        self._queue_event(OutcomeRefuted(message_id, context.now_us() - unconfirmed.started_us))

    def _log_refuted(self, unconfirmed: UnconfirmedOutcome, evidence: Evidence, decision: Decision) -> None:
        message = unconfirmed.message
        self.refuted_counts[evidence.value] += 1
        self._context.log.warning(
            "outcome_refuted",
            message=message.submission.message,
            attempt=unconfirmed.attempt,
            target=unconfirmed.target,
            status=unconfirmed.outcome.status.value,
            evidence=evidence.value,
            decision=decision.value,
            time_left_us=message.time_left_us(self._context.now_us()),
        )

    def _schedule_commit(self) -> None:
        """Write the records of all verdicts of this reactor iteration together."""
        if not self._is_commit_scheduled:
            self._is_commit_scheduled = True
            self._context.clock.callLater(0, self._commit)

    def _commit(self) -> None:
        self._is_commit_scheduled = False
        self._context.message_log.commit()
