"""Crash recovery: what a starting process does with the messages that an earlier process had accepted.

Log records in, a recovery plan out; no I/O and no clock: times are arguments. :class:`PendingMessages` is
also kept up to date while the process runs, so that a record that compaction copies forward says exactly what
a restart would read from the log. Times are microseconds of the log's timeline, see
:mod:`honeybarrow.log_timeline`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from honeybarrow.message_guard import Refusal, may_resume
from honeybarrow.settings import MessageClass

UNKNOWN_AGE_US = 1 << 50  # of an ambiguous attempt; longer than any key window


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt without a recorded end, and when it started."""

    attempt: int
    started_at_us: int


@dataclass(frozen=True, slots=True)
class DecidedResult:
    """A final result that a record of acceptance carries; the fields are those of :class:`FinalResult`."""

    is_returned: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A message was accepted; it expires at ``expires_at_us``.

    ``attempt_count``, ``first_ambiguous_at_us``, ``in_flight`` and ``final_result`` are the message's
    history; only records that compaction has copied forward have one. ``first_ambiguous_at_us`` is the start
    of the first attempt that has finished and may have run.
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
    order_key: str = ""  # empty if the message's class is not ordered
    sequence_number: int = 0  # order of acceptance over all processes; compaction keeps it


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first byte of an attempt is about to be written."""

    message: str
    attempt: int
    started_at_us: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt finished. ``not_run``: it is proven to have had no effect."""

    message: str
    attempt: int
    not_run: bool


@dataclass(frozen=True, slots=True)
class MessageCompleted:
    """The message was delivered, or the platform has acknowledged the notification of its final result."""

    message: str


@dataclass(frozen=True, slots=True)
class FinalResult:
    """The final result that a notification is about to report.

    ``is_returned``: returned to the client, who may submit again after ``retry_after_ms``; else failed
    permanently.
    """

    message: str
    is_returned: bool
    retry_after_ms: int = 0


LogRecord = MessageAccepted | AttemptStarted | AttemptFinished | FinalResult | MessageCompleted


@dataclass(slots=True)
class PendingMessage:
    """An accepted message that is not completed, and what is known of its attempts."""

    accepted: MessageAccepted
    attempt_count: int
    first_ambiguous_at_us: int | None
    in_flight: dict[int, int] = field(default_factory=dict)  # start of each attempt without a recorded end
    final_result: FinalResult | None = None

    def to_record(self) -> MessageAccepted:
        """Return one record that says all of this."""
        result = self.final_result
        return replace(
            self.accepted,
            attempt_count=self.attempt_count,
            first_ambiguous_at_us=self.first_ambiguous_at_us,
            in_flight=tuple(InFlightAttempt(*each) for each in self.in_flight.items()),
            final_result=None if result is None else DecidedResult(result.is_returned, result.retry_after_ms),
        )

    def first_ambiguous_start_us(self) -> int | None:
        """Return when the first ambiguous attempt started, if the process ended now; ``None`` without one."""
        finished = [] if self.first_ambiguous_at_us is None else [self.first_ambiguous_at_us]
        return min([*self.in_flight.values(), *finished], default=None)


class PendingMessages:
    """The accepted messages that are not completed, rebuilt from log records.

    Bounded by what admission accepts.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, PendingMessage] = {}

    def apply(self, record: LogRecord) -> None:
        """Apply one record. A record of an unknown message changes nothing: its message was completed."""
        if isinstance(record, MessageAccepted):
            # The same id again is the same message, copied forward by compaction: the last record holds.
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
    """A message that goes to the policy like a new one, with its history; durations count from now."""

    accepted: MessageAccepted
    time_left_us: int
    attempt_count: int
    ambiguous_age_us: int | None

    def delayed_by(self, elapsed_us: int) -> ResumedMessage:
        """Return the same, ``elapsed_us`` later: a slow start uses up time left and key windows."""
        elapsed = max(0, elapsed_us)
        age = None if self.ambiguous_age_us is None else self.ambiguous_age_us + elapsed
        return replace(self, time_left_us=self.time_left_us - elapsed, ambiguous_age_us=age)


def plan_recovery(
    pending_messages: Iterable[PendingMessage],
    message_classes: Mapping[str, MessageClass],
    now_us: int,
    is_time_certain: bool = True,
) -> list[ResumedMessage | FinalResult]:
    """Return what becomes of each pending message at a start, in their order of acceptance.

    A result that was decided before is reported again. A message that has expired, whose class is gone, or
    that is non-idempotent with an ambiguous attempt fails. All others are resumed. ``is_time_certain``:
    ``now_us`` and the recorded times belong to one clock; else a key window may be over, whatever they say.
    """
    steps: list[ResumedMessage | FinalResult] = []
    # Danger: compaction puts records that it copies forward behind those of messages accepted later.
    for pending in sorted(pending_messages, key=lambda each: each.accepted.sequence_number):
        if pending.final_result is not None:
            # Danger: the platform may have taken this notification; another result would be a second one.
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
    # Records of earlier builds have wall times, which a step may have put out of reach.
    time_left_us = min(time_left_us, message_class.deadline_us)
    return ResumedMessage(accepted, time_left_us, pending.attempt_count, age)
