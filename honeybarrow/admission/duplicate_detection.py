"""Decisions on a message that is submitted again: join the first, return its result, or accept it as new.

No I/O and no clock. A client whose connection broke before its answer submits the message again, with the
same ENVID or Message-ID (RFC 1047 says why it must). What that may mean depends on what became of the first
one, and on what a second effect would do:

| the first one | idempotent | idempotent with key | non-idempotent |
| --- | --- | --- | --- |
| is open, its client connected or joined | join | join | join |
| was withdrawn, an attempt is still in flight | new | wait for the attempt | wait for the attempt |
| ... which delivered it | delivered | delivered | delivered |
| ... which is proven not to have run | new | new | new |
| ... which is ambiguous | new | new, inside the key's window | failed |
| was delivered | delivered | delivered | delivered |
| was refused, or rejected for good | new | new | new |
| failed, ambiguous | new | new: inside the window, or after it, as another one | failed |

Results are remembered for a stated time and number; after that a message is new to this forwarder.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

from honeybarrow.settings import Idempotency

MAX_EVICTIONS_PER_CHECK = 8


class MessageState(enum.Enum):
    """What became of a message."""

    OPEN = "open"
    WITHDRAWN_IN_FLIGHT = "withdrawn, in flight"  # its client is gone, an attempt is not finished
    NOT_RUN = "not run"  # nothing of it ran, or may run
    DELIVERED = "delivered"
    AMBIGUOUS = "ambiguous"


class MessageEvent(enum.Enum):
    """What happens to a message after it was accepted."""

    DELIVERED = "delivered"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"
    WITHDRAWN = "withdrawn"
    WITHDRAWN_IN_FLIGHT = "withdrawn, in flight"
    WITHDRAWN_AMBIGUOUS = "withdrawn, ambiguous"
    ATTEMPT_NOT_RUN = "attempt not run"  # the last attempt of a withdrawn message, as the next one
    ATTEMPT_AMBIGUOUS = "attempt ambiguous"


# state and event to state; an event that a state does not have is ignored: it came too late to matter
TRANSITIONS: dict[tuple[MessageState, MessageEvent], MessageState] = {
    (MessageState.OPEN, MessageEvent.DELIVERED): MessageState.DELIVERED,
    (MessageState.OPEN, MessageEvent.REFUSED): MessageState.NOT_RUN,
    (MessageState.OPEN, MessageEvent.FAILED): MessageState.AMBIGUOUS,
    (MessageState.OPEN, MessageEvent.REJECTED): MessageState.NOT_RUN,
    (MessageState.OPEN, MessageEvent.WITHDRAWN): MessageState.NOT_RUN,
    (MessageState.OPEN, MessageEvent.WITHDRAWN_IN_FLIGHT): MessageState.WITHDRAWN_IN_FLIGHT,
    (MessageState.OPEN, MessageEvent.WITHDRAWN_AMBIGUOUS): MessageState.AMBIGUOUS,
    (MessageState.WITHDRAWN_IN_FLIGHT, MessageEvent.DELIVERED): MessageState.DELIVERED,
    (MessageState.WITHDRAWN_IN_FLIGHT, MessageEvent.ATTEMPT_NOT_RUN): MessageState.NOT_RUN,
    (MessageState.WITHDRAWN_IN_FLIGHT, MessageEvent.ATTEMPT_AMBIGUOUS): MessageState.AMBIGUOUS,
}


@dataclass(frozen=True, slots=True)
class AcceptAsNew:
    """Accept it as a new message; ``max_time_left_us`` bounds its time where a key's window ends sooner."""

    max_time_left_us: int | None = None


@dataclass(frozen=True, slots=True)
class JoinMessage:
    """Its result is the result of this message, which is open."""

    message: str


@dataclass(frozen=True, slots=True)
class AwaitAttempt:
    """An attempt of this message is still in flight: check again when it has finished."""

    message: str


@dataclass(frozen=True, slots=True)
class RepeatResult:
    """The result is known: delivered, or failed with no promise."""

    is_delivered: bool


DuplicateDecision = AcceptAsNew | JoinMessage | AwaitAttempt | RepeatResult


@dataclass(slots=True)
class _FirstSubmission:
    message: str
    idempotency: Idempotency
    window_us: int
    submitted_us: int
    state: MessageState = MessageState.OPEN
    changed_us: int = 0
    window_ends_us: int | None = None  # until when a repeat is dropped, where the policy said so


class DuplicateDetector:
    """Remembers messages that may come again, by a key that tells two apart. Times are microseconds."""

    def __init__(self, max_entries: int = 20_000, max_age_us: int = 60_000_000) -> None:
        self.max_entries, self.max_age_us = max_entries, max_age_us
        self._by_key: OrderedDict[str, _FirstSubmission] = OrderedDict()
        self._key_by_message: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def check_submission(self, now: int, key: str) -> DuplicateDecision:
        """Decide on a submitted message. One accepted as new is to be told by :meth:`record_accepted`."""
        self._evict_expired(now)
        first = self._by_key.get(key)
        if first is None:
            return AcceptAsNew()
        is_idempotent = first.idempotency is Idempotency.IDEMPOTENT
        match first.state:
            case MessageState.OPEN:
                return JoinMessage(first.message)
            case MessageState.WITHDRAWN_IN_FLIGHT:
                return AcceptAsNew() if is_idempotent else AwaitAttempt(first.message)
            case MessageState.DELIVERED:
                return RepeatResult(True)
            case MessageState.NOT_RUN:
                return AcceptAsNew()
            case MessageState.AMBIGUOUS:
                return AcceptAsNew() if is_idempotent else self._decide_ambiguous(now, first)

    def _decide_ambiguous(self, now: int, first: _FirstSubmission) -> DuplicateDecision:
        if first.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return RepeatResult(False)
        # A key's window runs from when the first attempt may have run, which is not before it was submitted.
        # Past it the partner has forgotten the key, and what comes is another message.
        ends_us = first.window_ends_us
        if ends_us is None:
            ends_us = first.submitted_us + first.window_us
        return AcceptAsNew(ends_us - now) if now < ends_us else AcceptAsNew()

    def record_accepted(
        self, now: int, key: str, message: str, idempotency: Idempotency, window_us: int
    ) -> None:
        """A message was accepted as new under this key."""
        old = self._by_key.pop(key, None)
        if old is not None:
            self._key_by_message.pop(old.message, None)
        self._by_key[key] = _FirstSubmission(message, idempotency, window_us, now, changed_us=now)
        self._key_by_message[message] = key

    def record_event(
        self, now: int, message: str, event: MessageEvent, retry_within_us: int | None = None
    ) -> None:
        """Something happened to a message; ``retry_within_us``: for so long its partner drops a repeat."""
        key = self._key_by_message.get(message)
        if key is None:
            return
        first = self._by_key[key]
        state = TRANSITIONS.get((first.state, event))
        if state is None:
            return
        first.state, first.changed_us = state, now
        first.window_ends_us = None if retry_within_us is None else now + retry_within_us
        self._by_key.move_to_end(key)

    def _evict_expired(self, now: int) -> None:
        # A few at a time, from the front, where the oldest are: one comes in at a time, and a pass over
        # all would cost each message the more, the more are remembered.
        for _ in range(MAX_EVICTIONS_PER_CHECK):
            if not self._by_key:
                return
            key, first = next(iter(self._by_key.items()))
            if len(self._by_key) <= self.max_entries and first.changed_us > now - self.max_age_us:
                return
            if first.state in (MessageState.OPEN, MessageState.WITHDRAWN_IN_FLIGHT):
                # in use, and few: as many as messages open and attempts in flight
                first.changed_us = now
                self._by_key.move_to_end(key)
            else:
                del self._by_key[key]
                self._key_by_message.pop(first.message, None)
