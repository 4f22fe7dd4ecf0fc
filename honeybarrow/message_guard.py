"""The guard: the rules on a message's life, asked before anything that could break one of them happens.

Four questions: may a message be forwarded now (:meth:`MessageGuard.may_forward`), may it be repeated
(:meth:`MessageGuard.may_repeat`), may it end or be answered so (``may_acknowledge``, ``may_end``,
``may_notify``, ``may_close_connection``), and may this process start with it or go on
(:func:`may_start_attempt`, :func:`may_resume`). The answer is ``None`` for yes, or a :class:`Refusal`.

The guard keeps its own account of each message, fed by what happened, not by what the policy believes. Some
refusals are expected: what was decided may have become wrong while a connection came up. The others should
have been prevented before; they are violations, refused all the same, counted by rule and logged. No I/O and
no clock: times are microseconds of the caller's monotonic clock.
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

STALL_MARGIN_DIVISOR = 8  # of a deadline or key window: the margin is never a larger part of it
MAX_SHUTDOWN_US = 3_500_000  # from SIGTERM to the end of the process; SIGKILL comes a little later
SHUTDOWN_QUIET_US = 1_500_000  # at the end of it no attempt starts whose loss would fail its message


class Rule(enum.Enum):
    """The rules that a refusal protects."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    ORDER = "order"
    WAIT = "wait"


class Refusal(enum.Enum):
    """Why the answer is no."""

    UNKNOWN = "the message is not open"
    NOT_RECORDED = "its acceptance is not recorded"
    NOT_ACKNOWLEDGED = "its client has not been told that it is accepted"
    ENDED = "its final result is decided"
    EXPIRED = "its time is up"
    IN_FLIGHT = "an attempt is in flight"
    MAY_HAVE_RUN = "an attempt may have run, and the message must not run twice"
    KEY_WINDOW_OVER = "an attempt may have run, and its key may be forgotten"
    OTHER_ZONE = "an attempt may have run in a zone that alone knows its key"
    DRAINING = "the endpoint drains or is gone"
    WAITING = "the destination has told to wait"
    BEHIND_IN_ORDER = "an earlier message of its order key is open"
    BEHIND_ENDING = "the platform has not acknowledged the end of an earlier message of its order key"
    KEY_RESTS = "its order key rests after an ambiguous attempt"
    SHUTTING_DOWN = "the process ends before the attempt would"
    NOT_ENDED = "it has no final result"
    NOT_DELIVERED = "no attempt of it was answered as done"
    RESULT_NOT_RECORDED = "its final result is not recorded, and it has not expired"
    NEVER_STARTED = "an attempt of it may have run that was never allowed to start"
    REQUEST_OPEN = "a request on the connection has no answer"
    CLOCK_UNCERTAIN = "how long ago an attempt was is not known"


_LONG_AGO_US = -(1 << 62)  # an attempt that started at an unknown time
_NO_CLASS = MessageClass("", 0, 0)  # of a message whose class the settings no longer have
RULE_OF_REFUSAL = {
    Refusal.UNKNOWN: Rule.LOST,
    Refusal.NOT_RECORDED: Rule.LOST,
    Refusal.NOT_ACKNOWLEDGED: Rule.LOST,
    Refusal.ENDED: Rule.LOST,
    Refusal.EXPIRED: Rule.LOST,
    Refusal.IN_FLIGHT: Rule.DUPLICATE,
    Refusal.MAY_HAVE_RUN: Rule.DUPLICATE,
    Refusal.KEY_WINDOW_OVER: Rule.DUPLICATE,
    Refusal.OTHER_ZONE: Rule.DUPLICATE,
    Refusal.DRAINING: Rule.DRAIN,
    Refusal.WAITING: Rule.WAIT,
    Refusal.BEHIND_IN_ORDER: Rule.ORDER,
    Refusal.BEHIND_ENDING: Rule.ORDER,
    Refusal.KEY_RESTS: Rule.ORDER,
    Refusal.SHUTTING_DOWN: Rule.DUPLICATE,
    Refusal.NOT_ENDED: Rule.LOST,
    Refusal.NOT_DELIVERED: Rule.LOST,
    Refusal.RESULT_NOT_RECORDED: Rule.LOST,
    Refusal.NEVER_STARTED: Rule.DUPLICATE,
    Refusal.REQUEST_OPEN: Rule.LOST,
    Refusal.CLOCK_UNCERTAIN: Rule.DUPLICATE,
}
# While a connection comes up any of these may become true, whatever was decided before.
_EXPECTED_AT_FORWARD = frozenset(
    (
        Refusal.ENDED, Refusal.EXPIRED, Refusal.KEY_WINDOW_OVER, Refusal.DRAINING, Refusal.WAITING,
        Refusal.SHUTTING_DOWN, Refusal.BEHIND_ENDING, Refusal.KEY_RESTS,
    )
)  # fmt: skip


class Result(enum.Enum):
    """The final results of a message, as the guard tells them apart."""

    DELIVERED = "delivered"
    RETURNED = "returned"  # to the client: to submit it again does no harm
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Violation:
    """A refusal that should have been prevented before it came to the guard."""

    rule: Rule
    refusal: Refusal
    question: str
    message: str
    state: MessageState | None


class GuardViolationError(AssertionError):
    """A violation where the guard is strict, as in tests."""


@dataclass(slots=True)
class _Account:
    """What the guard knows of one message."""

    message_class: MessageClass
    expires_us: int
    order_key: int | None
    state: MessageState = MessageState.ACCEPTED
    is_recorded: bool = False
    is_acknowledged: bool = False
    attempt_started_us: int = 0  # of the attempt in flight
    attempt_zone: str = ""
    ambiguous_since_us: int | None = None  # start of the first attempt that may have run
    ambiguous_zone: str = ""
    is_delivered: bool = False
    is_result_recorded: bool = False
    awaits_notification: bool = False
    is_settled: bool = False  # it has its result and no attempt in flight


@dataclass(slots=True)
class _EndpointAccount:
    """What the guard knows of one endpoint."""

    destination: int
    zone: str
    is_usable: bool
    scope: str | int  # what a Retry-After of it holds for: its destination or, by its kind, itself


class MessageGuard:
    """The accounts of all open messages and of the endpoints, and the answers that follow from them.

    ``on_violation`` gets each violation; a strict guard, as tests have it, raises it too. Bounded by the open
    messages, the notifications that are not acknowledged, and the endpoints listed. ``max_stall_us``: for so
    long the process may be held up between a decision and the write that rests on it.
    """

    is_strict: ClassVar[bool] = False  # of all guards of the process
    strict_violations: ClassVar[list[Violation]] = []  # of strict guards, whoever catches what they raise

    def __init__(
        self, settings: Settings, on_violation: Callable[[Violation], object], max_stall_us: int = 0
    ) -> None:
        self._on_violation, self._max_stall_us = on_violation, max_stall_us
        self.violation_counts: dict[Rule, int] = {}
        self._classes = {each.name: each for each in settings.classes}
        self._separate_kinds = frozenset(kind.name for kind in settings.kinds if kind.has_separate_routes)
        self._ambiguous_key_rest_us = settings.ambiguous_key_rest_us
        self._accounts: dict[str, _Account] = {}
        self._endpoints: dict[str, _EndpointAccount] = {}
        self._backoff_until_us: dict[str | int, int] = {}  # by scope
        self._order_queues: dict[int, OrderedDict[str, None]] = {}  # by order key, as they were accepted
        self._key_rests_until_us: dict[int, int] = {}

    # what happened

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
        """Open the account of a message; ``is_resumed``: an earlier process has accepted it."""
        message_class = self._classes[class_name]
        account = _Account(message_class, expires_us, order_key if message_class.is_ordered else None)
        account.is_recorded = account.is_acknowledged = is_resumed
        account.ambiguous_since_us = ambiguous_since_us
        if ambiguous_since_us is not None:
            account.state = MessageState.AMBIGUOUS
        elif attempts:
            account.state = MessageState.WAITING
        self._open(message, account)

    def on_result_recovered(self, message: str, expires_us: int, order_key: int | None) -> None:
        """Open the account of a message that a starting process ends without going on with it."""
        account = _Account(_NO_CLASS, expires_us, order_key, MessageState.ENDING)
        account.is_recorded = account.is_acknowledged = True
        account.is_settled = account.awaits_notification = True
        self._open(message, account)

    def _open(self, message: str, account: _Account) -> None:
        self._accounts[message] = account
        if account.order_key is not None:
            self._order_queues.setdefault(account.order_key, OrderedDict())[message] = None

    def on_recorded(self, message: str) -> None:
        """Note that the acceptance is on disk."""
        if (account := self._accounts.get(message)) is not None:
            account.is_recorded = True

    def on_attempt_finished(
        self, message: str, now_us: int, not_run: bool, is_done: bool, rests_key: bool
    ) -> None:
        """Note the end of an attempt. ``rests_key``: by a timeout, reset or cancel."""
        account = self._accounts.get(message)
        if account is None:
            return
        account.is_delivered |= is_done
        if account.state is not MessageState.IN_FLIGHT:
            if not (not_run or is_done or account.state is MessageState.ENDING):
                account.ambiguous_since_us, account.state = _LONG_AGO_US, MessageState.AMBIGUOUS
                self._report(Refusal.NEVER_STARTED, "finish", message)
            return
        if not not_run and account.ambiguous_since_us is None:
            account.ambiguous_since_us, account.ambiguous_zone = (
                account.attempt_started_us,
                account.attempt_zone,
            )
        is_ambiguous = account.ambiguous_since_us is not None
        account.state = MessageState.AMBIGUOUS if is_ambiguous else MessageState.WAITING
        if rests_key and not not_run and account.order_key is not None:
            rests = {key: until for key, until in self._key_rests_until_us.items() if until > now_us}
            rests[account.order_key] = now_us + self._ambiguous_key_rest_us
            self._key_rests_until_us = rests

    def on_retry_after(self, target: str, now_us: int, retry_after_us: int) -> None:
        """Note that an endpoint has told to wait."""
        endpoint = self._endpoints.get(target)
        if endpoint is None or retry_after_us <= 0:
            return
        waits = {scope: until for scope, until in self._backoff_until_us.items() if until > now_us}
        waits[endpoint.scope] = max(waits.get(endpoint.scope, 0), now_us + retry_after_us)
        self._backoff_until_us = waits

    def on_endpoint_list(self, update: MembershipUpdate) -> None:
        """Note a list or changes to it, at the moment when they were read."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            listed = {each.target for each in update.endpoints}
            self._endpoints = {name: each for name, each in self._endpoints.items() if name in listed}
        for each in update.endpoints:
            if each.state is EndpointState.GONE:
                self._endpoints.pop(each.target, None)
            else:
                self._endpoints[each.target] = self._account_of_endpoint(each)

    def _account_of_endpoint(self, endpoint: Endpoint) -> _EndpointAccount:
        scope = endpoint.target if endpoint.kind in self._separate_kinds else endpoint.destination
        is_usable = endpoint.state is EndpointState.READY
        return _EndpointAccount(endpoint.destination, endpoint.zone, is_usable, scope)

    def on_result_recorded(self, message: str) -> None:
        """Note that the final result is on disk."""
        if (account := self._accounts.get(message)) is not None:
            account.is_result_recorded = True

    def on_withdrawn(self, message: str) -> None:
        """Note that the client has withdrawn the message: it is owed nothing, and no attempt starts."""
        if (account := self._accounts.get(message)) is not None:
            account.state = MessageState.ENDING

    def on_notification_due(self, message: str) -> None:
        """Note that the platform is to be told of the final result."""
        if (account := self._accounts.get(message)) is not None:
            account.awaits_notification = True

    def on_acknowledged(self, message: str) -> None:
        """Note that the platform has acknowledged the final result."""
        if (account := self._accounts.get(message)) is not None:
            account.awaits_notification = False
            self._close_if_over(message, account)

    def on_settled(self, message: str) -> None:
        """Note that the message has its final result and no attempt in flight."""
        if (account := self._accounts.get(message)) is not None:
            account.is_settled = True
            self._close_if_over(message, account)

    def _close_if_over(self, message: str, account: _Account) -> None:
        if account.awaits_notification or not account.is_settled:
            return
        del self._accounts[message]
        if account.order_key is None:
            return
        queue = self._order_queues[account.order_key]
        del queue[message]
        if not queue:
            del self._order_queues[account.order_key]

    # questions

    def may_forward(
        self, message: str, target: str, now_us: int, shutdown_age_us: int | None = None
    ) -> Refusal | None:
        """Return why the first byte of an attempt may not be written now; ``None``: it may."""
        account = self._accounts.get(message)
        if account is None:  # it was withdrawn, and has no attempt in flight
            return Refusal.ENDED
        refusal = self._refuse_forward(message, account, target, now_us, shutdown_age_us)
        if refusal is None or refusal in _EXPECTED_AT_FORWARD:
            return refusal
        return self._report(refusal, "forward", message)

    def on_attempt_started(self, message: str, target: str, now_us: int) -> None:
        """Note that the first byte of an attempt is written, as :meth:`may_forward` has just allowed."""
        account = self._accounts[message]
        account.state, account.attempt_started_us = MessageState.IN_FLIGHT, now_us
        endpoint = self._endpoints.get(target)
        account.attempt_zone = endpoint.zone if endpoint else ""

    def _refuse_forward(
        self, message: str, account: _Account, target: str, now_us: int, shutdown_age_us: int | None
    ) -> Refusal | None:
        if not account.is_recorded:
            return Refusal.NOT_RECORDED
        if not account.is_acknowledged:
            return Refusal.NOT_ACKNOWLEDGED
        if account.state is MessageState.ENDING:
            return Refusal.ENDED
        if account.state is MessageState.IN_FLIGHT:
            return Refusal.IN_FLIGHT
        if now_us + self._margin_us(account.message_class.deadline_us) > account.expires_us:
            return Refusal.EXPIRED
        return (
            self._refuse_endpoint(target, now_us)
            or self._refuse_repeat(account, now_us, self._endpoints[target].zone)
            or self._refuse_order(message, account, now_us)
            or may_start_attempt(account.message_class.idempotency, shutdown_age_us)
        )

    def _margin_us(self, duration_us: int) -> int:
        """Return how long before the end of a deadline or window a write must be decided."""
        return min(self._max_stall_us, duration_us // STALL_MARGIN_DIVISOR)

    def _refuse_endpoint(self, target: str, now_us: int) -> Refusal | None:
        endpoint = self._endpoints.get(target)
        if endpoint is None or not endpoint.is_usable:
            return Refusal.DRAINING
        return Refusal.WAITING if self._backoff_until_us.get(endpoint.scope, 0) > now_us else None

    def _refuse_order(self, message: str, account: _Account, now_us: int) -> Refusal | None:
        key = account.order_key
        if key is None:
            return None
        first = next(iter(self._order_queues[key]))
        if first != message:
            is_ending = self._accounts[first].state is MessageState.ENDING
            return Refusal.BEHIND_ENDING if is_ending else Refusal.BEHIND_IN_ORDER
        is_first_attempt = account.state is MessageState.ACCEPTED
        is_resting = is_first_attempt and self._key_rests_until_us.get(key, 0) > now_us
        return Refusal.KEY_RESTS if is_resting else None

    def may_repeat(self, message: str, now_us: int, zone: str = "") -> Refusal | None:
        """Return why no further attempt may run, however long its message lasts; ``None``: one may."""
        account = self._accounts.get(message)
        return Refusal.UNKNOWN if account is None else self._refuse_repeat(account, now_us, zone)

    def _refuse_repeat(self, account: _Account, now_us: int, zone: str) -> Refusal | None:
        spec = account.message_class
        if account.ambiguous_since_us is None or spec.idempotency is Idempotency.IDEMPOTENT:
            return None
        if spec.idempotency is Idempotency.NON_IDEMPOTENT:
            return Refusal.MAY_HAVE_RUN
        if now_us + self._margin_us(spec.key_window_us) > account.ambiguous_since_us + spec.key_window_us:
            return Refusal.KEY_WINDOW_OVER
        is_elsewhere = spec.key_scope != "all" and zone != account.ambiguous_zone
        return Refusal.OTHER_ZONE if is_elsewhere else None

    def may_acknowledge(self, message: str) -> Refusal | None:
        """Return why the client may not be told that the message is accepted; ``None``: it is told."""
        account = self._accounts.get(message)
        if account is None:
            return self._report(Refusal.UNKNOWN, "acknowledge", message)
        if not account.is_recorded:
            return self._report(Refusal.NOT_RECORDED, "acknowledge", message)
        if account.state is MessageState.ENDING:
            return self._report(Refusal.ENDED, "acknowledge", message)
        account.is_acknowledged = True
        return None

    def may_end(self, message: str, result: Result) -> Refusal | None:
        """Return why the message may not get this final result; ``None``: it has it."""
        account = self._accounts.get(message)
        refusal = Refusal.UNKNOWN if account is None else _refuse_end(account, result)
        if refusal is not None:
            return self._report(refusal, "end", message)
        assert account is not None
        account.state = MessageState.ENDING
        return None

    def may_notify(self, message: str, now_us: int) -> Refusal | None:
        """Return why the platform may not be told of the final result now; ``None``: it may.

        Danger: a result that is not on disk does not outlive the process, and the next one would go on with
        the message after its end. So it is held until it is recorded, or the message has expired, after
        which no process forwards it.
        """
        account = self._accounts.get(message)
        if account is None:  # it was acknowledged; a second notification does no harm, a missing one loses it
            return None
        if account.state is not MessageState.ENDING:
            return self._report(Refusal.NOT_ENDED, "notify", message)
        if not account.is_result_recorded and now_us < account.expires_us:
            return Refusal.RESULT_NOT_RECORDED
        return None

    def state_of(self, message: str) -> MessageState:
        """Return the state of a message; one that is not known has ended."""
        account = self._accounts.get(message)
        return MessageState.ENDED if account is None else account.state

    def may_close_connection(self, has_open_request: bool, is_client_gone: bool) -> Refusal | None:
        """Return why a client's connection may not be closed by this process; ``None``: it may."""
        if has_open_request and not is_client_gone:
            return self._report(Refusal.REQUEST_OPEN, "close", "")
        return None

    def _report(self, refusal: Refusal, question: str, message: str) -> Refusal:
        rule, account = RULE_OF_REFUSAL[refusal], self._accounts.get(message)
        self.violation_counts[rule] = self.violation_counts.get(rule, 0) + 1
        violation = Violation(rule, refusal, question, message, account.state if account else None)
        self._on_violation(violation)
        if self.is_strict:
            self.strict_violations.append(violation)
            raise GuardViolationError(violation)
        return refusal


def _refuse_end(account: _Account, result: Result) -> Refusal | None:
    if account.state is MessageState.ENDING:
        return Refusal.ENDED
    if result is Result.DELIVERED:
        return None if account.is_delivered else Refusal.NOT_DELIVERED
    if result is Result.FAILED:
        return None
    if account.state is MessageState.IN_FLIGHT:
        return Refusal.IN_FLIGHT
    is_unsafe = account.message_class.idempotency is Idempotency.NON_IDEMPOTENT
    return Refusal.MAY_HAVE_RUN if is_unsafe and account.ambiguous_since_us is not None else None


def may_start_attempt(idempotency: Idempotency, shutdown_age_us: int | None) -> Refusal | None:
    """Return why an attempt may not start so long after SIGTERM (``None``: there was none).

    Danger: an attempt that is cut off by the end of the process is ambiguous. A non-idempotent message fails
    by that; the key window of one with a key could end before the next process is up.
    """
    may_start = (
        idempotency is Idempotency.IDEMPOTENT
        or shutdown_age_us is None
        or shutdown_age_us < MAX_SHUTDOWN_US - SHUTDOWN_QUIET_US
    )
    return None if may_start else Refusal.SHUTTING_DOWN


def may_resume(
    message_class: MessageClass | None,
    time_left_us: int,
    has_ambiguous_attempt: bool,
    is_time_certain: bool,
) -> Refusal | None:
    """Return why a starting process may not go on with a message of an earlier one; ``None``: it may.

    :attr:`Refusal.CLOCK_UNCERTAIN` means that its key window has to count as over.
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
