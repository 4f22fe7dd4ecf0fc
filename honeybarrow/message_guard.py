"""Run-time checks of the delivery guarantees of messages.

:class:`MessageGuard` is asked before each step that could break a guarantee: before a message is forwarded
(:meth:`MessageGuard.may_forward`) or retried (:meth:`MessageGuard.may_retry`), before it is acknowledged or
completed (``may_acknowledge``, ``may_end``), before its final result is reported (``may_notify``), and before
a client connection is closed (``may_close_connection``). :func:`may_start_attempt` and :func:`may_resume`
cover shutdown and restart. Each check returns ``None`` if the step is allowed, else a :class:`Refusal`.

The guard tracks every message by itself, from the events that are reported to it, independently of the
policy. Some refusals are expected, because a decision can become outdated while a connection is established.
All others are violations: the step is refused, counted by rule and reported. The module does no I/O and reads
no clock; times are microseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.message_state import MessageState
from honeybarrow.settings import Idempotency, MessageClass, Settings

STALL_MARGIN_DIVISOR = 8  # the margin is at most 1/8 of a deadline or key window
MAX_SHUTDOWN_US = 3_500_000  # from SIGTERM to the exit of the process; SIGKILL follows shortly after
IDEMPOTENT_ONLY_SHUTDOWN_US = 1_500_000  # final part of the shutdown, in which only idempotent attempts start


class Rule(enum.Enum):
    """Delivery guarantees that a refusal protects."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    ORDER = "order"
    WAIT = "wait"


class Refusal(enum.Enum):
    """Reasons why a step is not allowed."""

    UNKNOWN = "the message is not open"
    NOT_RECORDED = "its acceptance is not recorded"
    NOT_ACKNOWLEDGED = "its client has not been told that it is accepted"
    ENDED = "its final result is decided"
    REPORTED_OVER = "an endpoint has told that it is over"
    EXPIRED = "its time is up"
    IN_FLIGHT = "an attempt is in flight"
    MAY_HAVE_RUN = "an attempt may have run, and the message must not run twice"
    KEY_WINDOW_OVER = "an attempt may have run, and its key may be forgotten"
    OTHER_ZONE = "an attempt may have run in a zone that alone knows its key"
    DRAINING = "the endpoint drains or is gone"
    WAITING = "the destination has told to wait"
    BEHIND_IN_ORDER = "an earlier message of its order key is open"
    BEHIND_ENDING = "the platform has not acknowledged the end of an earlier message of its order key"
    ORDER_KEY_COOLDOWN = "its order key rests after an ambiguous attempt"
    SHUTTING_DOWN = "the process ends before the attempt would"
    NOT_ENDED = "it has no final result"
    NOT_DELIVERED = "no attempt of it was answered as done"
    RESULT_NOT_RECORDED = "its final result is not recorded, and it has not expired"
    NEVER_STARTED = "an attempt of it may have run that was never allowed to start"
    REQUEST_OPEN = "a request on the connection has no answer"
    CLOCK_UNCERTAIN = "how long ago an attempt was is not known"
    UNCONFIRMED = "an outcome of it may belong to another request"
    NEEDS_NEW_CONNECTION = "a response on a reused connection may belong to another request"


_UNKNOWN_START_US = -(1 << 62)  # start time of an attempt that was never reported as started
_UNKNOWN_CLASS = MessageClass("", 0, 0)  # placeholder for a class that may no longer be in the settings
RULE_BY_REFUSAL = {
    Refusal.UNKNOWN: Rule.LOST,
    Refusal.NOT_RECORDED: Rule.LOST,
    Refusal.NOT_ACKNOWLEDGED: Rule.LOST,
    Refusal.ENDED: Rule.LOST,
    Refusal.REPORTED_OVER: Rule.LOST,
    Refusal.EXPIRED: Rule.LOST,
    Refusal.IN_FLIGHT: Rule.DUPLICATE,
    Refusal.MAY_HAVE_RUN: Rule.DUPLICATE,
    Refusal.KEY_WINDOW_OVER: Rule.DUPLICATE,
    Refusal.OTHER_ZONE: Rule.DUPLICATE,
    Refusal.DRAINING: Rule.DRAIN,
    Refusal.WAITING: Rule.WAIT,
    Refusal.BEHIND_IN_ORDER: Rule.ORDER,
    Refusal.BEHIND_ENDING: Rule.ORDER,
    Refusal.ORDER_KEY_COOLDOWN: Rule.ORDER,
    Refusal.SHUTTING_DOWN: Rule.DUPLICATE,
    Refusal.NOT_ENDED: Rule.LOST,
    Refusal.NOT_DELIVERED: Rule.LOST,
    Refusal.RESULT_NOT_RECORDED: Rule.LOST,
    Refusal.NEVER_STARTED: Rule.DUPLICATE,
    Refusal.REQUEST_OPEN: Rule.LOST,
    Refusal.CLOCK_UNCERTAIN: Rule.DUPLICATE,
    Refusal.UNCONFIRMED: Rule.DUPLICATE,
    Refusal.NEEDS_NEW_CONNECTION: Rule.DUPLICATE,
}
# Conditions that can change between the decision to forward and an established connection.
_EXPECTED_AT_FORWARD = frozenset(
    (
        Refusal.ENDED, Refusal.REPORTED_OVER, Refusal.EXPIRED, Refusal.KEY_WINDOW_OVER, Refusal.DRAINING,
        Refusal.WAITING, Refusal.SHUTTING_DOWN, Refusal.BEHIND_ENDING, Refusal.ORDER_KEY_COOLDOWN,
        Refusal.UNCONFIRMED,
    )
)  # fmt: skip


class Result(enum.Enum):
    """Kinds of final result."""

    DELIVERED = "delivered"
    RETURNED = "returned"  # the client may safely submit the message again
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Violation:
    """A refusal that the caller should have prevented."""

    rule: Rule
    refusal: Refusal
    check: str
    message: str
    state: MessageState | None


class GuardViolationError(AssertionError):
    """A violation, raised by a strict guard."""


@dataclass(slots=True)
class _TrackedMessage:
    """State of one message as observed by the guard."""

    message_class: MessageClass
    expires_us: int
    order_key: int | None
    state: MessageState = MessageState.ACCEPTED
    is_recorded: bool = False
    is_acknowledged: bool = False
    attempt_started_us: int = 0  # start of the attempt in flight
    attempt_zone: str = ""
    ambiguous_since_us: int | None = None  # start of the first ambiguous attempt
    ambiguous_zone: str = ""
    unconfirmed_us: dict[int, int] | None = None  # start by attempt, where "not run" is unconfirmed
    is_delivered: bool = False
    is_result_recorded: bool = False
    awaits_notification: bool = False
    is_settled: bool = False  # has a final result and no attempt in flight


@dataclass(slots=True)
class _TrackedEndpoint:
    """State of one endpoint as observed by the guard."""

    destination: int
    zone: str
    is_usable: bool
    scope: str | int  # what its Retry-After applies to: the destination or, for some kinds, the endpoint


class MessageGuard:
    """Tracker of open messages and endpoints that decides which steps are allowed.

    ``on_violation`` is called with each violation; a strict guard also raises :exc:`GuardViolationError`.
    ``max_stall_us`` is the longest delay to expect between a decision and the write that follows it.
    Memory is bounded by the open messages, the unacknowledged notifications and the listed endpoints.
    """

    is_strict: ClassVar[bool] = False  # applies to all guards of the process
    strict_violations: ClassVar[list[Violation]] = []  # violations raised by strict guards, also if caught

    def __init__(
        self, settings: Settings, on_violation: Callable[[Violation], object], max_stall_us: int = 0
    ) -> None:
        self._on_violation, self._max_stall_us = on_violation, max_stall_us
        self.violation_counts: dict[Rule, int] = {}
        self._classes = {each.name: each for each in settings.classes}
        self._separate_kinds = frozenset(kind.name for kind in settings.kinds if kind.has_separate_routes)
        self._order_key_cooldown_us = settings.order_key_cooldown_us
        self._messages: dict[str, _TrackedMessage] = {}
        self._endpoints: dict[str, _TrackedEndpoint] = {}
        self._retry_after_until_us: dict[str | int, int] = {}  # by endpoint scope
        # Messages that are over by the word of an endpoint, with their expiry; none is sent again before it.
        self._reported_over_until_us: dict[str, int] = {}
        self._order_queues: dict[int, OrderedDict[str, None]] = {}  # by order key, in order of acceptance
        self._order_key_cooldown_until_us: dict[int, int] = {}

    # Events

    def on_accepted(
        self,
        message: str,
        class_name: str,
        expires_us: int,
        order_key: int | None,
        is_resumed: bool = False,
        attempts: int = 0,
        ambiguous_since_us: int | None = None,
    ) -> None:
        """Start tracking a message; ``is_resumed`` if an earlier process has accepted it."""
        message_class = self._classes[class_name]
        tracked = _TrackedMessage(message_class, expires_us, order_key if message_class.is_ordered else None)
        tracked.is_recorded = tracked.is_acknowledged = is_resumed
        tracked.ambiguous_since_us = ambiguous_since_us
        if ambiguous_since_us is not None:
            tracked.state = MessageState.AMBIGUOUS
        elif attempts:
            tracked.state = MessageState.WAITING
        self._track(message, tracked)
        if not is_resumed:
            self._reported_over_until_us.pop(message, None)  # a new message that uses the id again
        elif message in self._reported_over_until_us:
            self._report(Refusal.REPORTED_OVER, "resume", message)

    def on_result_recovered(self, message: str, expires_us: int, order_key: int | None) -> None:
        """Track a message that a starting process completes without resuming it."""
        tracked = _TrackedMessage(_UNKNOWN_CLASS, expires_us, order_key, MessageState.ENDING)
        tracked.is_recorded = tracked.is_acknowledged = True
        tracked.is_settled = tracked.awaits_notification = True
        self._track(message, tracked)

    def _track(self, message: str, tracked: _TrackedMessage) -> None:
        self._messages[message] = tracked
        if tracked.order_key is not None:
            self._order_queues.setdefault(tracked.order_key, OrderedDict())[message] = None

    def on_recorded(self, message: str) -> None:
        """Record that the acceptance is on disk."""
        if (tracked := self._messages.get(message)) is not None:
            tracked.is_recorded = True

    def on_attempt_finished(
        self,
        message: str,
        now_us: int,
        not_run: bool,
        is_done: bool,
        starts_key_cooldown: bool,
        unconfirmed_attempt: int | None = None,
    ) -> None:
        """Record the end of an attempt.

        ``starts_key_cooldown`` is true after a timeout, a reset or a cancellation. ``unconfirmed_attempt`` is
        the number of the attempt if its outcome may belong to another request.
        """
        tracked = self._messages.get(message)
        if tracked is None:
            return
        tracked.is_delivered |= is_done
        if tracked.state is not MessageState.IN_FLIGHT:
            if not (not_run or is_done or tracked.state is MessageState.ENDING):
                tracked.ambiguous_since_us, tracked.state = _UNKNOWN_START_US, MessageState.AMBIGUOUS
                self._report(Refusal.NEVER_STARTED, "finish", message)
            return
        if unconfirmed_attempt is not None:
            self._track_unconfirmed(message, tracked, unconfirmed_attempt)
        if not not_run and tracked.ambiguous_since_us is None:
            tracked.ambiguous_since_us, tracked.ambiguous_zone = (
                tracked.attempt_started_us,
                tracked.attempt_zone,
            )
        is_ambiguous = tracked.ambiguous_since_us is not None
        tracked.state = MessageState.AMBIGUOUS if is_ambiguous else MessageState.WAITING
        if starts_key_cooldown and not not_run and tracked.order_key is not None:
            cooldowns = {
                key: until for key, until in self._order_key_cooldown_until_us.items() if until > now_us
            }
            cooldowns[tracked.order_key] = now_us + self._order_key_cooldown_us
            self._order_key_cooldown_until_us = cooldowns

    def _track_unconfirmed(self, message: str, tracked: _TrackedMessage, attempt: int) -> None:
        if _needs_certain_responses(tracked):
            tracked.ambiguous_since_us = tracked.attempt_started_us
            self._report(Refusal.NEEDS_NEW_CONNECTION, "finish", message)
        tracked.unconfirmed_us = {**(tracked.unconfirmed_us or {}), attempt: tracked.attempt_started_us}

    def on_outcome_confirmed(self, message: str, attempt: int) -> None:
        """Record that an unconfirmed outcome belongs to its attempt."""
        tracked = self._messages.get(message)
        if tracked is not None and tracked.unconfirmed_us is not None:
            tracked.unconfirmed_us.pop(attempt, None)

    def on_outcome_refuted(self, message: str, attempt: int) -> None:
        """Record that an unconfirmed outcome may belong to another request: the attempt may have run."""
        tracked = self._messages.get(message)
        started_us = (tracked.unconfirmed_us or {}).pop(attempt, None) if tracked is not None else None
        if tracked is None or started_us is None:
            return
        since_us = tracked.ambiguous_since_us
        tracked.ambiguous_since_us = started_us if since_us is None else min(since_us, started_us)
        if tracked.state is MessageState.WAITING:
            tracked.state = MessageState.AMBIGUOUS

    def on_reported_over(self, message: str, now_us: int) -> None:
        """Record that an endpoint may have told that the message is over, so that no attempt starts any more.

        That holds whatever is refuted later, and also if the message is submitted again as resumed.
        """
        tracked = self._messages.get(message)
        if tracked is None:
            return
        self._reported_over_until_us = {
            name: until_us for name, until_us in self._reported_over_until_us.items() if until_us > now_us
        }
        self._reported_over_until_us[message] = tracked.expires_us

    def on_retry_after(self, target: str, now_us: int, retry_after_us: int) -> None:
        """Record a Retry-After that an endpoint has sent."""
        endpoint = self._endpoints.get(target)
        if endpoint is None or retry_after_us <= 0:
            return
        until_by_scope = {
            scope: until for scope, until in self._retry_after_until_us.items() if until > now_us
        }
        until_by_scope[endpoint.scope] = max(until_by_scope.get(endpoint.scope, 0), now_us + retry_after_us)
        self._retry_after_until_us = until_by_scope

    def on_endpoint_list(self, update: MembershipUpdate) -> None:
        """Apply an endpoint list or a change to it, as soon as it is read."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            listed = {each.target for each in update.endpoints}
            self._endpoints = {name: each for name, each in self._endpoints.items() if name in listed}
        for each in update.endpoints:
            if each.state is EndpointState.GONE:
                self._endpoints.pop(each.target, None)
            else:
                self._endpoints[each.target] = self._track_endpoint(each)

    def _track_endpoint(self, endpoint: Endpoint) -> _TrackedEndpoint:
        scope = endpoint.target if endpoint.kind in self._separate_kinds else endpoint.destination
        is_usable = endpoint.state is EndpointState.READY
        return _TrackedEndpoint(endpoint.destination, endpoint.zone, is_usable, scope)

    def on_result_recorded(self, message: str) -> None:
        """Record that the final result is on disk."""
        if (tracked := self._messages.get(message)) is not None:
            tracked.is_result_recorded = True

    def on_withdrawn(self, message: str) -> None:
        """Record that the client has withdrawn the message, so that no further attempt starts."""
        if (tracked := self._messages.get(message)) is not None:
            tracked.state = MessageState.ENDING

    def on_notification_due(self, message: str) -> None:
        """Record that the platform has to be notified of the final result."""
        if (tracked := self._messages.get(message)) is not None:
            tracked.awaits_notification = True

    def on_notification_acknowledged(self, message: str) -> None:
        """Record that the platform has acknowledged the notification of the final result."""
        if (tracked := self._messages.get(message)) is not None:
            tracked.awaits_notification = False
            self._forget_if_finished(message, tracked)

    def on_settled(self, message: str) -> None:
        """Record that the message has its final result and no attempt in flight."""
        if (tracked := self._messages.get(message)) is not None:
            tracked.is_settled = True
            self._forget_if_finished(message, tracked)

    def _forget_if_finished(self, message: str, tracked: _TrackedMessage) -> None:
        if tracked.awaits_notification or not tracked.is_settled:
            return
        del self._messages[message]
        if tracked.order_key is None:
            return
        queue = self._order_queues[tracked.order_key]
        del queue[message]
        if not queue:
            del self._order_queues[tracked.order_key]

    # Checks

    def may_forward(
        self, message: str, target: str, now_us: int, shutdown_age_us: int | None = None
    ) -> Refusal | None:
        """Return why the first byte of an attempt may not be written now, or ``None``."""
        tracked = self._messages.get(message)
        if tracked is None:  # withdrawn, with no attempt in flight
            return Refusal.ENDED
        refusal = self._refuse_forward(message, tracked, target, now_us, shutdown_age_us)
        if refusal is None or refusal in _EXPECTED_AT_FORWARD:
            return refusal
        return self._report(refusal, "forward", message)

    def on_attempt_started(self, message: str, target: str, now_us: int) -> None:
        """Record the start of an attempt that :meth:`may_forward` has just allowed."""
        tracked = self._messages[message]
        tracked.state, tracked.attempt_started_us = MessageState.IN_FLIGHT, now_us
        endpoint = self._endpoints.get(target)
        tracked.attempt_zone = endpoint.zone if endpoint else ""

    def _refuse_forward(
        self, message: str, tracked: _TrackedMessage, target: str, now_us: int, shutdown_age_us: int | None
    ) -> Refusal | None:
        if not tracked.is_recorded:
            return Refusal.NOT_RECORDED
        if not tracked.is_acknowledged:
            return Refusal.NOT_ACKNOWLEDGED
        if tracked.state is MessageState.ENDING:
            return Refusal.ENDED
        if message in self._reported_over_until_us:
            return Refusal.REPORTED_OVER
        if tracked.state is MessageState.IN_FLIGHT:
            return Refusal.IN_FLIGHT
        if now_us + self._margin_us(tracked.message_class.deadline_us) > tracked.expires_us:
            return Refusal.EXPIRED
        return (
            self._refuse_endpoint(target, now_us)
            or self._refuse_retry(tracked, now_us, self._endpoints[target].zone)
            or self._refuse_order(message, tracked, now_us)
            or may_start_attempt(tracked.message_class.idempotency, shutdown_age_us)
        )

    def _margin_us(self, duration_us: int) -> int:
        """Return how long before the end of a deadline or key window a write must be decided."""
        return min(self._max_stall_us, duration_us // STALL_MARGIN_DIVISOR)

    def _refuse_endpoint(self, target: str, now_us: int) -> Refusal | None:
        endpoint = self._endpoints.get(target)
        if endpoint is None or not endpoint.is_usable:
            return Refusal.DRAINING
        return Refusal.WAITING if self._retry_after_until_us.get(endpoint.scope, 0) > now_us else None

    def _refuse_order(self, message: str, tracked: _TrackedMessage, now_us: int) -> Refusal | None:
        key = tracked.order_key
        if key is None:
            return None
        first = next(iter(self._order_queues[key]))
        if first != message:
            is_ending = self._messages[first].state is MessageState.ENDING
            return Refusal.BEHIND_ENDING if is_ending else Refusal.BEHIND_IN_ORDER
        is_first_attempt = tracked.state is MessageState.ACCEPTED
        is_cooling_down = is_first_attempt and self._order_key_cooldown_until_us.get(key, 0) > now_us
        return Refusal.ORDER_KEY_COOLDOWN if is_cooling_down else None

    def may_retry(self, message: str, now_us: int, zone: str = "") -> Refusal | None:
        """Return why no further attempt may run, regardless of the deadline, or ``None``."""
        tracked = self._messages.get(message)
        return Refusal.UNKNOWN if tracked is None else self._refuse_retry(tracked, now_us, zone)

    def _refuse_retry(self, tracked: _TrackedMessage, now_us: int, zone: str) -> Refusal | None:
        spec = tracked.message_class
        if spec.idempotency is Idempotency.IDEMPOTENT:
            return None
        if tracked.ambiguous_since_us is None:
            return self._refuse_unconfirmed(tracked, now_us)
        if spec.idempotency is Idempotency.NON_IDEMPOTENT:
            return Refusal.MAY_HAVE_RUN
        if now_us + self._margin_us(spec.key_window_us) > tracked.ambiguous_since_us + spec.key_window_us:
            return Refusal.KEY_WINDOW_OVER
        is_elsewhere = spec.key_scope != "all" and zone != tracked.ambiguous_zone
        return Refusal.OTHER_ZONE if is_elsewhere else None

    def _refuse_unconfirmed(self, tracked: _TrackedMessage, now_us: int) -> Refusal | None:
        """Refuse a retry that would be too late if an unconfirmed attempt had run."""
        if not tracked.unconfirmed_us:
            return None
        window_us = tracked.message_class.key_window_us
        is_in_window = now_us + self._margin_us(window_us) <= min(tracked.unconfirmed_us.values()) + window_us
        return None if is_in_window else Refusal.UNCONFIRMED

    def may_reuse_connection(self, message: str) -> Refusal | None:
        """Return why an attempt needs a connection that has carried no call before, or ``None``.

        On a reused connection a copy of an earlier response may be taken for that of the attempt. The error
        can be undone only if the message may be sent again, and out of order.
        """
        tracked = self._messages.get(message)
        if tracked is not None and _needs_certain_responses(tracked):
            return Refusal.NEEDS_NEW_CONNECTION
        return None

    def may_acknowledge(self, message: str) -> Refusal | None:
        """Mark the message as acknowledged and return ``None``, or return why it may not be."""
        tracked = self._messages.get(message)
        if tracked is None:
            return self._report(Refusal.UNKNOWN, "acknowledge", message)
        if not tracked.is_recorded:
            return self._report(Refusal.NOT_RECORDED, "acknowledge", message)
        if tracked.state is MessageState.ENDING:
            return self._report(Refusal.ENDED, "acknowledge", message)
        tracked.is_acknowledged = True
        return None

    def may_end(self, message: str, result: Result) -> Refusal | None:
        """Mark the message as ending and return ``None``, or return why it may not get this result."""
        tracked = self._messages.get(message)
        refusal = Refusal.UNKNOWN if tracked is None else _refuse_end(tracked, result)
        if refusal is not None:
            return self._report(refusal, "end", message)
        assert tracked is not None
        tracked.state = MessageState.ENDING
        return None

    def may_notify(self, message: str, now_us: int) -> Refusal | None:
        """Return why the platform may not be notified of the final result now, or ``None``.

        A result that is not on disk is lost in a crash, and the next process would resume a message that the
        platform regards as finished. The notification therefore waits until the result is recorded or the
        message has expired.
        """
        tracked = self._messages.get(message)
        if tracked is None:  # already acknowledged: a duplicate notification is harmless, a lost one is not
            return None
        if tracked.state is not MessageState.ENDING:
            return self._report(Refusal.NOT_ENDED, "notify", message)
        if not tracked.is_result_recorded and now_us < tracked.expires_us:
            return Refusal.RESULT_NOT_RECORDED
        return None

    def get_state(self, message: str) -> MessageState:
        """Return the state of a message; an unknown message has ended."""
        tracked = self._messages.get(message)
        return MessageState.ENDED if tracked is None else tracked.state

    def may_close_connection(self, has_open_request: bool, is_client_gone: bool) -> Refusal | None:
        """Return why this process may not close a client connection, or ``None``."""
        if has_open_request and not is_client_gone:
            return self._report(Refusal.REQUEST_OPEN, "close", "")
        return None

    def _report(self, refusal: Refusal, check: str, message: str) -> Refusal:
        rule, tracked = RULE_BY_REFUSAL[refusal], self._messages.get(message)
        self.violation_counts[rule] = self.violation_counts.get(rule, 0) + 1
        violation = Violation(rule, refusal, check, message, tracked.state if tracked else None)
        self._on_violation(violation)
        if self.is_strict:
            self.strict_violations.append(violation)
            raise GuardViolationError(violation)
        return refusal


def _needs_certain_responses(tracked: _TrackedMessage) -> bool:
    spec = tracked.message_class
    return (
        spec.idempotency is Idempotency.NON_IDEMPOTENT
        or (spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and spec.key_scope != "all")
        or tracked.order_key is not None
        or tracked.ambiguous_since_us is not None
    )


def _refuse_end(tracked: _TrackedMessage, result: Result) -> Refusal | None:
    if tracked.state is MessageState.ENDING:
        return Refusal.ENDED
    if result is Result.DELIVERED:
        return None if tracked.is_delivered else Refusal.NOT_DELIVERED
    if result is Result.FAILED:
        return None
    if tracked.state is MessageState.IN_FLIGHT:
        return Refusal.IN_FLIGHT
    is_unsafe = tracked.message_class.idempotency is Idempotency.NON_IDEMPOTENT
    return Refusal.MAY_HAVE_RUN if is_unsafe and tracked.ambiguous_since_us is not None else None


def may_start_attempt(idempotency: Idempotency, shutdown_age_us: int | None) -> Refusal | None:
    """Return why an attempt may not start, or ``None``.

    ``shutdown_age_us`` is the time since SIGTERM, ``None`` without one. An attempt that is interrupted by the
    exit of the process is ambiguous: a non-idempotent message then fails, and the key window of a message
    with an idempotency key could end before the next process is up.
    """
    may_start = (
        idempotency is Idempotency.IDEMPOTENT
        or shutdown_age_us is None
        or shutdown_age_us < MAX_SHUTDOWN_US - IDEMPOTENT_ONLY_SHUTDOWN_US
    )
    return None if may_start else Refusal.SHUTTING_DOWN


def may_resume(
    message_class: MessageClass | None,
    time_left_us: int,
    has_ambiguous_attempt: bool,
    is_time_certain: bool,
) -> Refusal | None:
    """Return why a starting process may not resume a message of an earlier process, or ``None``.

    For :attr:`Refusal.CLOCK_UNCERTAIN` the caller must treat the key window as over.
    """
    if message_class is None:
        return Refusal.UNKNOWN
    if time_left_us <= 0:
        return Refusal.EXPIRED
    if not has_ambiguous_attempt or message_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if message_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return Refusal.MAY_HAVE_RUN
    return None if is_time_certain else Refusal.CLOCK_UNCERTAIN
