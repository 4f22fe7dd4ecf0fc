"""Exhaustive search over event orders that checks the decisions of the message guard.

In each state the search tries every action: it asks the guard as the forwarder does, carries out what the
guard allows, and checks the rules against the history of executed actions, independently of the guard.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.message_guard import MAX_SHUTDOWN_US, MessageGuard, Result
from honeybarrow.settings import Idempotency, MessageClass, Settings

STEP_US = 100_000
CLASSES = (
    MessageClass("note", 200_000, 400_000),
    MessageClass("post", 200_000, 800_000, Idempotency.IDEMPOTENT_WITH_KEY, key_window_us=200_000),
    MessageClass("pay", 200_000, 400_000, Idempotency.NON_IDEMPOTENT),
    MessageClass("step", 200_000, 400_000, is_ordered=True),
)
SETTINGS = Settings(CLASSES, (), slots=4, max_open=9, order_key_cooldown_us=STEP_US)
MAX_STALL_US = 20_000


class RuleBrokenError(Exception):
    """A step allowed by the guard that breaks a rule."""


@dataclass
class MessageHistory:
    """Executed actions of one message."""

    message_class: MessageClass
    expires_us: int
    is_recorded: bool = False
    is_acknowledged: bool = False
    forwarded_us: list[int] = field(default_factory=list)
    in_flight_since_us: int | None = None
    ambiguous_since_us: int | None = None
    is_done: bool = False  # an attempt was answered as completed
    result: Result | None = None
    is_result_recorded: bool = False
    is_notified: bool = False


@dataclass
class SearchState:
    """A guard, the histories of its messages, and the state of the only endpoint."""

    guard: MessageGuard
    histories: dict[str, MessageHistory]
    now_us: int = 0
    is_draining: bool = False
    backoff_until_us: int = 0
    order_key_paused_until_us: int = 0
    shutdown_since_us: int | None = None
    request_is_open: bool = False

    @property
    def shutdown_age_us(self) -> int | None:
        return None if self.shutdown_since_us is None else self.now_us - self.shutdown_since_us

    def fail_if(self, is_broken: bool, rule: str) -> None:
        if is_broken:
            raise RuleBrokenError(rule)


def make_initial_state(*class_names: str) -> SearchState:
    """Return a state with one accepted, unrecorded message of each given class."""
    guard = MessageGuard(SETTINGS, lambda violation: None, MAX_STALL_US)
    ready = Endpoint("a", 1, EndpointState.READY)
    guard.on_endpoint_list(MembershipUpdate(UpdateKind.FULL, 1, (ready,)))
    histories = {}
    for number, class_name in enumerate(class_names):
        message_class = next(each for each in CLASSES if each.name == class_name)
        name = f"m{number}"
        histories[name] = MessageHistory(message_class, message_class.deadline_us)
        guard.on_accepted(
            name, class_name, message_class.deadline_us, 7 if message_class.is_ordered else None
        )
    return SearchState(guard, histories)


# Actions: each asks the guard, carries out what it allows, and checks the result.


def record(state: SearchState, name: str) -> None:
    state.histories[name].is_recorded = True
    state.guard.on_recorded(name)


def acknowledge(state: SearchState, name: str) -> None:
    history = state.histories[name]
    if history.is_acknowledged or state.guard.may_acknowledge(name) is not None:
        return
    history.is_acknowledged = True
    state.fail_if(not history.is_recorded, "acknowledged before it was recorded")
    state.fail_if(history.result is not None, "acknowledged after its final result")


def forward(state: SearchState, name: str) -> None:
    history, now_us = state.histories[name], state.now_us
    if state.guard.may_forward(name, "a", now_us, state.shutdown_age_us) is not None:
        return
    message_class = history.message_class
    state.fail_if(not history.is_acknowledged, "forwarded before it was acknowledged")
    state.fail_if(history.result is not None, "forwarded after its final result")
    state.fail_if(now_us + MAX_STALL_US > history.expires_us, "forwarded after it expired")
    state.fail_if(history.in_flight_since_us is not None, "two attempts in flight")
    state.fail_if(state.is_draining, "forwarded to a draining endpoint")
    state.fail_if(now_us < state.backoff_until_us, "forwarded during a Retry-After")
    if history.ambiguous_since_us is not None:
        window_end_us = history.ambiguous_since_us + message_class.key_window_us
        state.fail_if(
            message_class.idempotency is Idempotency.NON_IDEMPOTENT,
            "non-idempotent message repeated after an ambiguous attempt",
        )
        is_keyed = message_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        state.fail_if(is_keyed and now_us + MAX_STALL_US > window_end_us, "repeated after its key window")
    if message_class.is_ordered:
        _check_order(state, name)
    age_us = state.shutdown_age_us
    is_late = age_us is not None and age_us >= MAX_SHUTDOWN_US - 1_500_000
    state.fail_if(
        is_late and message_class.idempotency is not Idempotency.IDEMPOTENT,
        "attempt started during the final part of the shutdown",
    )
    history.forwarded_us.append(now_us)
    history.in_flight_since_us = now_us
    state.guard.on_attempt_started(name, "a", now_us)


def _check_order(state: SearchState, name: str) -> None:
    for other, history in state.histories.items():
        if other == name:
            break
        is_over = history.result is not None and (history.is_notified or history.result is Result.DELIVERED)
        state.fail_if(not is_over, "forwarded out of order")
    state.fail_if(
        not state.histories[name].forwarded_us and state.now_us < state.order_key_paused_until_us,
        "forwarded while its order key is paused",
    )


def finish(is_done: bool, not_run: bool, retry_after_us: int = 0) -> Callable[[SearchState, str], None]:
    """Return an action that finishes the attempt in flight, if there is one."""

    def action(state: SearchState, name: str) -> None:
        history = state.histories[name]
        if history.in_flight_since_us is None:
            return
        if not is_done and not not_run:
            if history.ambiguous_since_us is None:
                history.ambiguous_since_us = history.in_flight_since_us
            if history.message_class.is_ordered:
                state.order_key_paused_until_us = state.now_us + SETTINGS.order_key_cooldown_us
        history.in_flight_since_us, history.is_done = None, history.is_done or is_done
        state.backoff_until_us = max(state.backoff_until_us, state.now_us + retry_after_us)
        state.guard.on_attempt_finished(name, state.now_us, not_run, is_done, not is_done and not not_run)
        state.guard.on_retry_after("a", state.now_us, retry_after_us)
        if history.result is not None:
            state.guard.on_settled(name)

    return action


def end(result: Result) -> Callable[[SearchState, str], None]:
    """Return an action that gives a final result, with a notification due unless it is a delivery."""

    def action(state: SearchState, name: str) -> None:
        history = state.histories[name]
        if state.guard.may_end(name, result) is not None:
            return
        state.fail_if(history.result is not None, "two final results")
        state.fail_if(
            result is Result.DELIVERED and not history.is_done, "delivered without a completed attempt"
        )
        if result is Result.RETURNED:
            is_unsafe = history.message_class.idempotency is Idempotency.NON_IDEMPOTENT
            state.fail_if(history.in_flight_since_us is not None, "returned while an attempt is in flight")
            is_ambiguous = history.ambiguous_since_us is not None
            state.fail_if(is_unsafe and is_ambiguous, "returned after an ambiguous attempt")
        history.result = result
        if result is not Result.DELIVERED:
            state.guard.on_notification_due(name)
        if history.in_flight_since_us is None:
            state.guard.on_settled(name)

    return action


def record_result(state: SearchState, name: str) -> None:
    history = state.histories[name]
    if history.result is not None:
        history.is_result_recorded = True
        state.guard.on_result_recorded(name)


def notify(state: SearchState, name: str) -> None:
    """Notify the platform, which acknowledges at once."""
    history = state.histories[name]
    if history.result is Result.DELIVERED or history.is_notified:
        return
    if state.guard.may_notify(name, state.now_us) is not None:
        return
    state.fail_if(history.result is None, "notified without a final result")
    is_held = not history.is_result_recorded and state.now_us < history.expires_us
    state.fail_if(is_held, "notified before its result was recorded")
    history.is_notified = True
    state.guard.on_notification_acknowledged(name)


def wait(state: SearchState, name: str) -> None:
    state.now_us += STEP_US


def drain(state: SearchState, name: str) -> None:
    state.is_draining = True
    update = MembershipUpdate(UpdateKind.CHANGES, 2, (Endpoint("a", 1, EndpointState.DRAINING),))
    state.guard.on_endpoint_list(update)


def shut_down(state: SearchState, name: str) -> None:
    if state.shutdown_since_us is None:
        state.shutdown_since_us = state.now_us - MAX_SHUTDOWN_US  # already in the final part


def open_request(state: SearchState, name: str) -> None:
    state.request_is_open = True


def close_connection(state: SearchState, name: str) -> None:
    if state.guard.may_close_connection(state.request_is_open, is_client_gone=False) is None:
        state.fail_if(state.request_is_open, "connection closed with an open request")


Action = Callable[[SearchState, str], None]
ACTIONS: dict[str, Action] = {
    "record": record,
    "acknowledge": acknowledge,
    "forward": forward,
    "done": finish(is_done=True, not_run=False),
    "refused": finish(is_done=False, not_run=True, retry_after_us=STEP_US),
    "broken": finish(is_done=False, not_run=False),
    "deliver": end(Result.DELIVERED),
    "return": end(Result.RETURNED),
    "fail": end(Result.FAILED),
    "record result": record_result,
    "notify": notify,
    "wait": wait,
    "drain": drain,
    "shut down": shut_down,
    "open request": open_request,
    "close": close_connection,
}


def search(class_names: tuple[str, ...], depth: int, prefix: tuple[str, ...] = ()) -> tuple[int, str]:
    """Try all orders of ``depth`` actions after a prefix.

    Equal states are expanded once. Return the number of states, and the first broken rule or an empty string.
    """
    state = make_initial_state(*class_names)
    for step in prefix:
        for name in state.histories:
            ACTIONS[step](state, name)
    current_states, seen = [state], {_fingerprint(state): None}
    for _ in range(depth):
        next_states: list[SearchState] = []
        for each in current_states:
            try:
                next_states += _new_states(each, seen)
            except RuleBrokenError as broken:
                return len(seen), str(broken)
        current_states = next_states
    return len(seen), ""


def _new_states(state: SearchState, seen: dict[str, None]) -> list[SearchState]:
    found = []
    for action in ACTIONS.values():
        for name in state.histories:
            after = copy.deepcopy(state)
            action(after, name)
            key = _fingerprint(after)
            if key not in seen:
                seen[key] = None
                found.append(after)
    return found


def _fingerprint(state: SearchState) -> str:
    guard = {name: value for name, value in vars(state.guard).items() if name != "violation_counts"}
    own = {name: value for name, value in vars(state).items() if name != "guard"}
    return repr((own, guard["_messages"], guard["_retry_after_until_us"], guard["_endpoints"],
                 guard["_order_key_cooldown_until_us"], guard["_order_queues"]))  # fmt: skip
