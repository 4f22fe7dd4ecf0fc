"""Recovery of accepted messages from the write-ahead log after a restart.

:class:`PendingMessages` rebuilds the pending messages from log records, and :func:`plan_recovery` decides
which of them are resumed and which fail. :class:`PendingMessages` is also kept up to date while the process
runs, so that compaction copies records forward with the state that a restart would read from the log.

The module does no I/O and reads no clock. Times are microseconds of log time, see
:mod:`honeybarrow.log_timeline`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from honeybarrow.message_guard import Refusal, may_resume
from honeybarrow.settings import MessageClass

MAX_UNFINISHED_ATTEMPTS = 8  # listed one by one in a record that compaction copies forward
UNKNOWN_AGE_US = 1 << 50  # age of an ambiguous attempt if unknown; longer than any key window


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt without a recorded end."""

    attempt: int
    started_at_us: int


@dataclass(frozen=True, slots=True)
class DecidedResult:
    """A final result that is part of an acceptance record; for the fields see :class:`FinalResult`."""

    is_returned: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """Record of an accepted message.

    ``attempt_count``, ``first_ambiguous_at_us``, ``in_flight`` and ``final_result`` hold the history of the
    message and are set only in records that compaction has copied forward. ``first_ambiguous_at_us`` is the
    start of the first attempt that finished and may have run.
    """

    message: str
    class_name: str
    destination: int
    expires_at_us: int
    tenant: str
    idempotency_key: str
    body: bytes
    attempt_count: int = 0
    first_ambiguous_at_us: int | None = None
    in_flight: tuple[InFlightAttempt, ...] = ()
    final_result: DecidedResult | None = None
    order_key: str = ""  # empty if the message class is not ordered
    sequence_number: int = 0  # order of acceptance across restarts, kept by compaction


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Record written before the first byte of an attempt."""

    message: str
    attempt: int
    started_at_us: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """Record of a finished attempt; ``not_run`` if it provably had no effect."""

    message: str
    attempt: int
    not_run: bool


@dataclass(frozen=True, slots=True)
class MessageCompleted:
    """Record of a message that was delivered or whose final result the platform has acknowledged."""

    message: str


@dataclass(frozen=True, slots=True)
class FinalResult:
    """Record of a final result, written before the platform is notified of it.

    If ``is_returned``, the client may submit the message again after ``retry_after_ms``; otherwise the
    message has failed permanently.
    """

    message: str
    is_returned: bool
    retry_after_ms: int = 0


LogRecord = MessageAccepted | AttemptStarted | AttemptFinished | FinalResult | MessageCompleted


@dataclass(slots=True)
class PendingMessage:
    """An accepted message that is not completed, with the state of its attempts."""

    accepted: MessageAccepted
    attempt_count: int
    first_ambiguous_at_us: int | None
    in_flight: dict[int, int] = field(default_factory=dict)  # start time of each unfinished attempt
    final_result: FinalResult | None = None

    def to_record(self) -> MessageAccepted:
        """Return one record that holds the complete state, in a bounded size.

        A process has few attempts of a message in flight, but each kill leaves its own unfinished. Of more
        than ``MAX_UNFINISHED_ATTEMPTS`` the first ones count as finished and ambiguous.
        """
        result, in_flight = self.final_result, [InFlightAttempt(*each) for each in self.in_flight.items()]
        folded, listed = in_flight[:-MAX_UNFINISHED_ATTEMPTS], in_flight[-MAX_UNFINISHED_ATTEMPTS:]
        first_us = self.first_ambiguous_at_us
        ambiguous_us = [each.started_at_us for each in folded] + ([] if first_us is None else [first_us])
        return replace(
            self.accepted,
            attempt_count=self.attempt_count,
            first_ambiguous_at_us=min(ambiguous_us, default=None),
            in_flight=tuple(listed),
            final_result=None if result is None else DecidedResult(result.is_returned, result.retry_after_ms),
        )

    def first_ambiguous_start_us(self) -> int | None:
        """Return the start of the first ambiguous attempt, or ``None``.

        Unfinished attempts count as ambiguous, as after a crash.
        """
        finished = [] if self.first_ambiguous_at_us is None else [self.first_ambiguous_at_us]
        return min([*self.in_flight.values(), *finished], default=None)


class PendingMessages:
    """Accepted messages that are not completed, rebuilt from log records.

    The number of messages is bounded by admission control.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, PendingMessage] = {}

    def apply(self, record: LogRecord) -> None:
        """Apply one record. Records of unknown messages are ignored, since those messages are completed."""
        if isinstance(record, MessageAccepted):
            # A repeated id is the same message copied forward by compaction; the last record is current.
            self.by_id[record.message] = _from_record(record)
            return
        pending = self.by_id.get(record.message)
        if pending is None:
            return
        if isinstance(record, MessageCompleted):
            del self.by_id[record.message]
        elif isinstance(record, FinalResult):
            pending.final_result = record
        elif isinstance(record, AttemptStarted):
            pending.attempt_count = max(pending.attempt_count, record.attempt + 1)
            pending.in_flight[record.attempt] = record.started_at_us
        else:
            _apply_finished_attempt(pending, record)


def _from_record(record: MessageAccepted) -> PendingMessage:
    result = record.final_result
    return PendingMessage(
        record,
        record.attempt_count,
        record.first_ambiguous_at_us,
        {each.attempt: each.started_at_us for each in record.in_flight},
        None if result is None else FinalResult(record.message, result.is_returned, result.retry_after_ms),
    )


def _apply_finished_attempt(pending: PendingMessage, record: AttemptFinished) -> None:
    started_at_us = pending.in_flight.pop(record.attempt, None)
    if started_at_us is None or record.not_run:
        return
    first_us = pending.first_ambiguous_at_us
    pending.first_ambiguous_at_us = started_at_us if first_us is None else min(first_us, started_at_us)


@dataclass(frozen=True, slots=True)
class ResumedMessage:
    """A message to resume, with its history; durations are relative to the time of the plan."""

    accepted: MessageAccepted
    time_left_us: int
    attempt_count: int
    ambiguous_age_us: int | None

    def delayed_by(self, elapsed_us: int) -> ResumedMessage:
        """Return a copy as of ``elapsed_us`` later, with less time left and an older ambiguous attempt."""
        elapsed = max(0, elapsed_us)
        age = None if self.ambiguous_age_us is None else self.ambiguous_age_us + elapsed
        return replace(self, time_left_us=self.time_left_us - elapsed, ambiguous_age_us=age)


def plan_recovery(
    pending_messages: Iterable[PendingMessage],
    message_classes: Mapping[str, MessageClass],
    now_us: int,
    is_time_certain: bool = True,
) -> list[ResumedMessage | FinalResult]:
    """Return the recovery step of each pending message, in order of acceptance.

    A recorded result is reported again. A message fails if it has expired, if its class is no longer
    configured, or if it is non-idempotent and has an ambiguous attempt. All others are resumed. Unless
    ``is_time_certain``, ``now_us`` is only an estimate relative to the recorded times, and every key window
    counts as over.
    """
    steps: list[ResumedMessage | FinalResult] = []
    # Compaction moves records behind those of messages accepted later, so log order is not acceptance order.
    for pending in sorted(pending_messages, key=lambda each: each.accepted.sequence_number):
        if pending.final_result is not None:
            # The platform may have received this result already, so it must not change.
            steps.append(pending.final_result)
        else:
            message_class = message_classes.get(pending.accepted.class_name)
            steps.append(_plan_message(pending, message_class, now_us, is_time_certain))
    return steps


def _plan_message(
    pending: PendingMessage, message_class: MessageClass | None, now_us: int, is_time_certain: bool
) -> ResumedMessage | FinalResult:
    accepted, ambiguous_us = pending.accepted, pending.first_ambiguous_start_us()
    time_left_us = accepted.expires_at_us - now_us
    refusal = may_resume(message_class, time_left_us, ambiguous_us is not None, is_time_certain)
    if message_class is None or refusal not in (None, Refusal.CLOCK_UNCERTAIN):
        return FinalResult(accepted.message, is_returned=False)
    age = None if ambiguous_us is None else max(0, now_us - ambiguous_us)
    if refusal is Refusal.CLOCK_UNCERTAIN:
        age = UNKNOWN_AGE_US
    # Records of earlier versions hold wall-clock times, which a clock step may have moved far ahead.
    time_left_us = min(time_left_us, message_class.deadline_us)
    return ResumedMessage(accepted, time_left_us, pending.attempt_count, age)
