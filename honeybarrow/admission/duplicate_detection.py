"""Duplicate detection: decides how a message that is submitted again is handled.

Performs no I/O and reads no clock. A client whose connection breaks before it reads the reply submits the
message again with the same ENVID or Message-ID (RFC 1047). The decision depends on the state of the first
submission and on the idempotency of the message:

| first submission | idempotent | idempotent with key | non-idempotent |
| --- | --- | --- | --- |
| open | join | join | join |
| withdrawn, an attempt is in flight | accept as new | await the attempt | await the attempt |
| withdrawn, the attempt delivered it | delivered | delivered | delivered |
| withdrawn, the attempt did not run | accept as new | accept as new | accept as new |
| withdrawn, the attempt is ambiguous | accept as new | accept as new (see below) | failed |
| delivered | delivered | delivered | delivered |
| refused, or rejected permanently | accept as new | accept as new | accept as new |
| failed, ambiguous | accept as new | accept as new (see below) | failed |

With a key, a message that is accepted within the key's window must finish before the window ends; after the
window it may not be sent again, so it failed. The window begins with the first attempt of any submission that
may have run. A submission that did not run itself is ambiguous if an earlier one was. The number and age of
remembered submissions are bounded; a forgotten message is treated as new.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

from honeybarrow.settings import Idempotency

MAX_EVICTIONS_PER_CHECK = 8


class SubmissionState(enum.Enum):
    """The state of a submitted message."""

    OPEN = "open"
    WITHDRAWN_IN_FLIGHT = "withdrawn, in flight"  # the client left while an attempt is unfinished
    NOT_RUN = "not run"  # no attempt took effect, and none will
    DELIVERED = "delivered"
    AMBIGUOUS = "ambiguous"


class SubmissionEvent(enum.Enum):
    """An event in the life of an accepted message."""

    DELIVERED = "delivered"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"
    WITHDRAWN = "withdrawn"
    WITHDRAWN_IN_FLIGHT = "withdrawn, in flight"
    WITHDRAWN_AMBIGUOUS = "withdrawn, ambiguous"
    # Outcomes of the last attempt of a withdrawn message:
    ATTEMPT_NOT_RUN = "attempt not run"
    ATTEMPT_AMBIGUOUS = "attempt ambiguous"


# Next state by state and event. An event without an entry arrived too late and is ignored.
TRANSITIONS: dict[tuple[SubmissionState, SubmissionEvent], SubmissionState] = {
    (SubmissionState.OPEN, SubmissionEvent.DELIVERED): SubmissionState.DELIVERED,
    (SubmissionState.OPEN, SubmissionEvent.REFUSED): SubmissionState.NOT_RUN,
    (SubmissionState.OPEN, SubmissionEvent.FAILED): SubmissionState.AMBIGUOUS,
    (SubmissionState.OPEN, SubmissionEvent.REJECTED): SubmissionState.NOT_RUN,
    (SubmissionState.OPEN, SubmissionEvent.WITHDRAWN): SubmissionState.NOT_RUN,
    (SubmissionState.OPEN, SubmissionEvent.WITHDRAWN_IN_FLIGHT): SubmissionState.WITHDRAWN_IN_FLIGHT,
    (SubmissionState.OPEN, SubmissionEvent.WITHDRAWN_AMBIGUOUS): SubmissionState.AMBIGUOUS,
    (SubmissionState.WITHDRAWN_IN_FLIGHT, SubmissionEvent.DELIVERED): SubmissionState.DELIVERED,
    (SubmissionState.WITHDRAWN_IN_FLIGHT, SubmissionEvent.ATTEMPT_NOT_RUN): SubmissionState.NOT_RUN,
    (SubmissionState.WITHDRAWN_IN_FLIGHT, SubmissionEvent.ATTEMPT_AMBIGUOUS): SubmissionState.AMBIGUOUS,
}


@dataclass(frozen=True, slots=True)
class AcceptAsNew:
    """Accept the message as new.

    ``max_time_left_us`` is the time until the window of the idempotency key ends, or ``None`` without one.
    ``is_renamed`` is set if an earlier submission may have run, under another Message-ID.
    """

    max_time_left_us: int | None = None
    is_renamed: bool = False


@dataclass(frozen=True, slots=True)
class JoinMessage:
    """Wait for the result of ``message``, the open first submission."""

    message: str


@dataclass(frozen=True, slots=True)
class AwaitAttempt:
    """Check again when the attempt in flight of ``message`` has finished."""

    message: str


@dataclass(frozen=True, slots=True)
class RepeatResult:
    """Return the known result again: delivered, or failed with an unknown effect."""

    is_delivered: bool


DuplicateDecision = AcceptAsNew | JoinMessage | AwaitAttempt | RepeatResult


@dataclass(slots=True)
class _FirstSubmission:
    message: str
    idempotency: Idempotency
    window_us: int
    submitted_us: int
    message_id: str  # that the partner gets, added or given by the client
    state: SubmissionState = SubmissionState.OPEN
    changed_us: int = 0
    # Start of the key's window; None while no attempt, also of earlier submissions, may have run.
    ambiguous_since_us: int | None = None

    def apply(self, state: SubmissionState, now: int, retry_within_us: int | None) -> None:
        """Change the state; an ambiguous one keeps the earliest beginning of the window."""
        if state is SubmissionState.AMBIGUOUS:
            # Without a report the window starts no earlier than the submission.
            since_us = (
                self.submitted_us if retry_within_us is None else now + retry_within_us - self.window_us
            )
            if self.ambiguous_since_us is None or since_us < self.ambiguous_since_us:
                self.ambiguous_since_us = since_us
        elif state is SubmissionState.NOT_RUN and self.ambiguous_since_us is not None:
            state = SubmissionState.AMBIGUOUS
        self.state, self.changed_us = state, now


class DuplicateDetector:
    """Remembers submitted messages by duplicate key. Times are in microseconds.

    ``max_entries`` and ``max_age_us`` bound the finished messages that are remembered.
    """

    def __init__(self, max_entries: int = 20_000, max_age_us: int = 60_000_000) -> None:
        self.max_entries, self.max_age_us = max_entries, max_age_us
        self._by_key: OrderedDict[str, _FirstSubmission] = OrderedDict()
        self._key_by_message: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def check_submission(self, now: int, key: str, message_id: str = "") -> DuplicateDecision:
        """Decide how to handle a submitted message, which the partner would get with a Message-ID.

        Call :meth:`record_accepted` if the decision is :class:`AcceptAsNew` and the message is admitted.
        """
        self._evict_expired(now)
        first = self._by_key.get(key)
        if first is None:
            return AcceptAsNew()
        is_idempotent = first.idempotency is Idempotency.IDEMPOTENT
        match first.state:
            case SubmissionState.OPEN:
                return JoinMessage(first.message)
            case SubmissionState.WITHDRAWN_IN_FLIGHT:
                return AcceptAsNew() if is_idempotent else AwaitAttempt(first.message)
            case SubmissionState.DELIVERED:
                return RepeatResult(True)
            case SubmissionState.NOT_RUN:
                return AcceptAsNew()
            case SubmissionState.AMBIGUOUS:
                return AcceptAsNew() if is_idempotent else self._decide_ambiguous(now, first, message_id)

    def _decide_ambiguous(self, now: int, first: _FirstSubmission, message_id: str) -> DuplicateDecision:
        if first.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return RepeatResult(False)
        assert first.ambiguous_since_us is not None
        left_us = first.ambiguous_since_us + first.window_us - now
        # After the window the partner no longer recognizes the key.
        if left_us <= 0:
            return RepeatResult(False)
        return AcceptAsNew(left_us, is_renamed=message_id != first.message_id)

    def record_accepted(
        self, now: int, key: str, message: str, idempotency: Idempotency, window_us: int, message_id: str = ""
    ) -> None:
        """Record that ``message`` was accepted as new under ``key``."""
        previous = self._by_key.pop(key, None)
        since_us = None
        if previous is not None:
            self._key_by_message.pop(previous.message, None)
            since_us = previous.ambiguous_since_us
        self._by_key[key] = _FirstSubmission(
            message, idempotency, window_us, now, message_id, changed_us=now, ambiguous_since_us=since_us
        )
        self._key_by_message[message] = key

    def record_event(
        self, now: int, message: str, event: SubmissionEvent, retry_within_us: int | None = None
    ) -> None:
        """Update the state of a message after an event.

        ``retry_within_us``: how long from now the partner still discards a repetition, if known.
        """
        key = self._key_by_message.get(message)
        if key is None:
            return
        first = self._by_key[key]
        state = TRANSITIONS.get((first.state, event))
        if state is None:
            return
        first.apply(state, now, retry_within_us)
        self._by_key.move_to_end(key)

    def remaining_window_us(self, now: int, message: str) -> int | None:
        """Return how long a message may still be repeated, or ``None`` if no attempt of it may have run.

        This counts the attempts of all submissions that were recorded under its key; 0 means never again.
        """
        key = self._key_by_message.get(message)
        first = None if key is None else self._by_key[key]
        if first is None or first.ambiguous_since_us is None or first.idempotency is Idempotency.IDEMPOTENT:
            return None
        return max(0, first.ambiguous_since_us + first.window_us - now)

    def _evict_expired(self, now: int) -> None:
        # Entries are ordered by their last change. Checking a bounded number of them for each submission
        # keeps its cost constant.
        for _ in range(MAX_EVICTIONS_PER_CHECK):
            if not self._by_key:
                return
            key, first = next(iter(self._by_key.items()))
            if len(self._by_key) <= self.max_entries and first.changed_us > now - self.max_age_us:
                return
            if first.state in (SubmissionState.OPEN, SubmissionState.WITHDRAWN_IN_FLIGHT):
                # Entries in use are kept; their number is bounded by admission control.
                first.changed_us = now
                self._by_key.move_to_end(key)
            else:
                del self._by_key[key]
                self._key_by_message.pop(first.message, None)
