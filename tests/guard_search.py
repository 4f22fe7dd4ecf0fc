"""All orders of a few events on a guard, and an independent check of what it has let happen.

The search takes every action in every state, asks the guard as the program does, and carries out what it
allows. The check knows the rules alone, from the history of what was carried out; it never looks into the
guard. A guard that answers a question with yes always is found out by some order.
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
SETTINGS = Settings(CLASSES, (), slots=4, max_open=9, ambiguous_key_rest_us=STEP_US)
MAX_STALL_US = 20_000


class RuleBrokenError(Exception):
    """What the guard let happen breaks a rule."""


@dataclass
class History:
    """What happened to one message."""

    message_class: MessageClass
    expires_us: int
    is_recorded: bool = False
    is_acknowledged: bool = False
    forwarded_us: list[int] = field(default_factory=list)
    in_flight_since_us: int | None = None
    ambiguous_since_us: int | None = None
    is_done: bool = False  # an attempt was answered so
    result: Result | None = None
    is_result_recorded: bool = False
    is_notified: bool = False


@dataclass
class World:
    """A guard, the histories of its messages, and what is true of the one endpoint."""

    guard: MessageGuard
    histories: dict[str, History]
    now_us: int = 0
    is_draining: bool = False
    waits_until_us: int = 0
    key_rests_until_us: int = 0
    shutdown_since_us: int | None = None
    request_is_open: bool = False

    @property
    def shutdown_age_us(self) -> int | None:
        return None if self.shutdown_since_us is None else self.now_us - self.shutdown_since_us

    def fail_if(self, is_broken: bool, rule: str) -> None:
        if is_broken:
            raise RuleBrokenError(rule)


def new_world(*class_names: str) -> World:
    """Two messages or one, each accepted and not recorded."""
    guard = MessageGuard(SETTINGS, lambda violation: None, MAX_STALL_US)
    ready = Endpoint("a", 1, EndpointState.READY)
    guard.on_endpoint_list(MembershipUpdate(UpdateKind.FULL, 1, (ready,)))
    histories = {}
    for number, class_name in enumerate(class_names):
        message_class = next(each for each in CLASSES if each.name == class_name)
        name = f"m{number}"
        histories[name] = History(message_class, message_class.deadline_us)
        guard.on_accepted(
            name, class_name, message_class.deadline_us, 7 if message_class.is_ordered else None
        )
    return World(guard, histories)


# actions: each asks the guard, carries out what it allows, and checks that alone


def record(world: World, name: str) -> None:
    world.histories[name].is_recorded = True
    world.guard.on_recorded(name)


def acknowledge(world: World, name: str) -> None:
    history = world.histories[name]
    if history.is_acknowledged or world.guard.may_acknowledge(name) is not None:
        return
    history.is_acknowledged = True
    world.fail_if(not history.is_recorded, "202 for what is not on disk")
    world.fail_if(history.result is not None, "202 after the end")


def forward(world: World, name: str) -> None:
    history, now_us = world.histories[name], world.now_us
    if world.guard.may_forward(name, "a", now_us, world.shutdown_age_us) is not None:
        return
    spec = history.message_class
    world.fail_if(not history.is_acknowledged, "forwarded before its 202")
    world.fail_if(history.result is not None, "forwarded after its end")
    world.fail_if(now_us + MAX_STALL_US > history.expires_us, "forwarded after its time")
    world.fail_if(history.in_flight_since_us is not None, "two attempts at once")
    world.fail_if(world.is_draining, "forwarded to an endpoint that drains")
    world.fail_if(now_us < world.waits_until_us, "forwarded in a wait")
    if history.ambiguous_since_us is not None:
        window_end_us = history.ambiguous_since_us + spec.key_window_us
        world.fail_if(spec.idempotency is Idempotency.NON_IDEMPOTENT, "a second effect")
        is_keyed = spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        world.fail_if(is_keyed and now_us + MAX_STALL_US > window_end_us, "repeated after the key window")
    if spec.is_ordered:
        _check_order(world, name)
    age_us = world.shutdown_age_us
    is_late = age_us is not None and age_us >= MAX_SHUTDOWN_US - 1_500_000
    world.fail_if(is_late and spec.idempotency is not Idempotency.IDEMPOTENT, "started as the process ends")
    history.forwarded_us.append(now_us)
    history.in_flight_since_us = now_us
    world.guard.on_attempt_started(name, "a", now_us)


def _check_order(world: World, name: str) -> None:
    for other, history in world.histories.items():
        if other == name:
            break
        is_over = history.result is not None and (history.is_notified or history.result is Result.DELIVERED)
        world.fail_if(not is_over, "out of order")
    world.fail_if(
        not world.histories[name].forwarded_us and world.now_us < world.key_rests_until_us,
        "forwarded while its key rests",
    )


def finish(is_done: bool, not_run: bool, retry_after_us: int = 0) -> Callable[[World, str], None]:
    """The end of an attempt, if one is in flight."""

    def act(world: World, name: str) -> None:
        history = world.histories[name]
        if history.in_flight_since_us is None:
            return
        if not is_done and not not_run:
            if history.ambiguous_since_us is None:
                history.ambiguous_since_us = history.in_flight_since_us
            if history.message_class.is_ordered:
                world.key_rests_until_us = world.now_us + SETTINGS.ambiguous_key_rest_us
        history.in_flight_since_us, history.is_done = None, history.is_done or is_done
        world.waits_until_us = max(world.waits_until_us, world.now_us + retry_after_us)
        world.guard.on_attempt_finished(name, world.now_us, not_run, is_done, not is_done and not not_run)
        world.guard.on_retry_after("a", world.now_us, retry_after_us)
        if history.result is not None:
            world.guard.on_settled(name)

    return act


def end(result: Result) -> Callable[[World, str], None]:
    """A final result, and a notification of all but a delivery."""

    def act(world: World, name: str) -> None:
        history = world.histories[name]
        if world.guard.may_end(name, result) is not None:
            return
        world.fail_if(history.result is not None, "two final results")
        world.fail_if(result is Result.DELIVERED and not history.is_done, "delivered by no answer")
        if result is Result.RETURNED:
            is_unsafe = history.message_class.idempotency is Idempotency.NON_IDEMPOTENT
            world.fail_if(history.in_flight_since_us is not None, "returned in the middle of an attempt")
            is_ambiguous = history.ambiguous_since_us is not None
            world.fail_if(is_unsafe and is_ambiguous, "returned though it may have run")
        history.result = result
        if result is not Result.DELIVERED:
            world.guard.on_notification_due(name)
        if history.in_flight_since_us is None:
            world.guard.on_settled(name)

    return act


def record_result(world: World, name: str) -> None:
    history = world.histories[name]
    if history.result is not None:
        history.is_result_recorded = True
        world.guard.on_result_recorded(name)


def notify(world: World, name: str) -> None:
    """A notification, acknowledged at once."""
    history = world.histories[name]
    if history.result is Result.DELIVERED or history.is_notified:
        return
    if world.guard.may_notify(name, world.now_us) is not None:
        return
    world.fail_if(history.result is None, "notified without a result")
    is_held = not history.is_result_recorded and world.now_us < history.expires_us
    world.fail_if(is_held, "notified of what is not on disk")
    history.is_notified = True
    world.guard.on_acknowledged(name)


def wait(world: World, name: str) -> None:
    world.now_us += STEP_US


def drain(world: World, name: str) -> None:
    world.is_draining = True
    update = MembershipUpdate(UpdateKind.CHANGES, 2, (Endpoint("a", 1, EndpointState.DRAINING),))
    world.guard.on_endpoint_list(update)


def shut_down(world: World, name: str) -> None:
    if world.shutdown_since_us is None:
        world.shutdown_since_us = world.now_us - MAX_SHUTDOWN_US  # as if long ago


def open_request(world: World, name: str) -> None:
    world.request_is_open = True


def close_connection(world: World, name: str) -> None:
    if world.guard.may_close_connection(world.request_is_open, is_client_gone=False) is None:
        world.fail_if(world.request_is_open, "closed over an open request")


Action = Callable[[World, str], None]
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
    """Take all orders of so many actions behind a prefix; how many states, and the first rule broken.

    Orders that lead to the same state of world and guard are gone on with once.
    """
    world = new_world(*class_names)
    for step in prefix:
        for name in world.histories:
            ACTIONS[step](world, name)
    frontier, seen = [world], {_fingerprint(world): None}
    for _ in range(depth):
        following: list[World] = []
        for each in frontier:
            try:
                following += _new_states(each, seen)
            except RuleBrokenError as broken:
                return len(seen), str(broken)
        frontier = following
    return len(seen), ""


def _new_states(world: World, seen: dict[str, None]) -> list[World]:
    found = []
    for action in ACTIONS.values():
        for name in world.histories:
            after = copy.deepcopy(world)
            action(after, name)
            key = _fingerprint(after)
            if key not in seen:
                seen[key] = None
                found.append(after)
    return found


def _fingerprint(world: World) -> str:
    guard = {name: value for name, value in vars(world.guard).items() if name != "violation_counts"}
    own = {name: value for name, value in vars(world).items() if name != "guard"}
    return repr((own, guard["_messages"], guard["_backoff_until_us"], guard["_endpoints"],
                 guard["_order_key_paused_until_us"], guard["_order_queues"]))  # fmt: skip
