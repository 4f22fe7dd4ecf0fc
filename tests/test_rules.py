"""Random valid runs of a sender, with an independent check of each action against the delivery rules."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow import Sender
from honeybarrow.actions import Action, FailPermanently, ReturnToClient, SendAttempt, SetTimer
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    Endpoint,
    EndpointState,
    Event,
    MembershipUpdate,
    MessageArrived,
    MessageExpired,
    TimerFired,
    UpdateKind,
)
from honeybarrow.settings import Idempotency, MessageClass
from tests.helpers import CLASSES, SECOND, make_settings

MAY_HAVE_RUN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET)
GRACE_US = 20_000
STEP_US = 5_000


class ActionChecker:
    """Simulates the environment of one sender and checks each of its actions."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings = make_settings(slots=4, max_open=30, senders=2)
        self.sender = Sender(self.settings, seed)
        self.now_us = 0
        self.queue: list[tuple[int, int, Event]] = []
        self.sequence = 0
        self.messages: dict[str, tuple[MessageClass, int, int, int | None]] = {}
        self.completed_us: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.in_flight: dict[str, int] = {}
        self.ambiguous: dict[str, tuple[int, str]] = {}
        self.open_calls: dict[tuple[int, str], int] = {}
        self.retry_after_us: dict[int, int] = {}
        self.ready: dict[str, bool] = {}
        self.destinations = {"a:1": 1, "b:1": 1, "c:1": 2}
        self.zones = {"a:1": "x", "b:1": "y", "c:1": "x"}
        self.messages_by_key: dict[int, list[str]] = {}
        self.key_cooldown_us: dict[int, int] = {}
        self.trace: list[Any] = []

    def schedule(self, delay: int, event: Event) -> None:
        self.sequence += 1
        self.queue.append((self.now_us + delay, self.sequence, event))

    def make_endpoint(self, target: str, state: EndpointState) -> Endpoint:
        return Endpoint(target, self.destinations[target], state, "hub", self.zones[target], 5.0)

    def run(self) -> None:
        rows = tuple(self.make_endpoint(t, EndpointState.READY) for t in self.destinations)
        self.schedule(0, MembershipUpdate(UpdateKind.SAVED, 1, rows))
        for n in range(60):
            kind = self.rng.choice(CLASSES)
            left = self.rng.choice([kind.deadline_us, kind.deadline_us // 3, 30_000])
            key = self.rng.randrange(2) if kind.is_ordered else None
            at = self.rng.randrange(1, 15 * SECOND)
            self.schedule(
                at, MessageArrived(f"m{n}", kind.name, self.rng.choice([1, 2]), left, order_key=key)
            )
        for _ in range(6):
            state = self.rng.choice([EndpointState.READY, EndpointState.DRAINING])
            row = self.make_endpoint(self.rng.choice(list(self.destinations)), state)
            self.schedule(self.rng.randrange(15 * SECOND), MembershipUpdate(UpdateKind.CHANGES, 2, (row,)))
        while self.queue:
            self.now_us = max(self.now_us, (min(item[0] for item in self.queue) // STEP_US + 1) * STEP_US)
            batch = sorted(item for item in self.queue if item[0] <= self.now_us and item[1])
            self.queue = [item for item in self.queue if item[0] > self.now_us]
            events = [event for _, _, event in batch]
            for event in events:
                self.apply_event(event)
            for action in self.sender.handle(self.now_us, events):
                self.check_action(action)
        assert self.completed_us.keys() == self.messages.keys()

    def apply_event(self, event: Event) -> None:
        if isinstance(event, MessageArrived):
            kind = next(c for c in CLASSES if c.name == event.class_name)
            self.messages[event.message] = (
                kind,
                self.now_us + event.time_left_us,
                event.destination,
                event.order_key,
            )
            if event.order_key is not None:
                self.messages_by_key.setdefault(event.order_key, []).append(event.message)
        elif isinstance(event, MembershipUpdate):
            for row in event.endpoints:
                self.ready[row.target] = row.state is EndpointState.READY
        elif isinstance(event, AttemptFinished):
            self.in_flight[event.message] -= 1
            sent = self.now_us - event.elapsed_us
            call = (sent, event.target)
            self.open_calls[call] -= 1
            if event.status in MAY_HAVE_RUN and event.message not in self.ambiguous:
                self.ambiguous[event.message] = (sent, self.zones[event.target])
            key = self.messages[event.message][3]
            if key is not None and event.status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET):
                self.key_cooldown_us[key] = self.now_us + self.settings.order_key_cooldown_us
            if event.retry_after_us:
                destination = self.destinations[event.target]
                self.retry_after_us[destination] = max(
                    self.retry_after_us.get(destination, 0), self.now_us + event.retry_after_us
                )
            if event.is_completed:
                self.complete(event.message)

    def complete(self, name: str) -> None:
        assert name not in self.completed_us, "two final results"
        assert self.now_us <= self.messages[name][1] + GRACE_US, "late final result"
        self.completed_us[name] = self.now_us

    def check_action(self, action: Action) -> None:
        self.trace.append((self.now_us, action))
        if isinstance(action, SetTimer):
            assert action.delay_us > 0
            self.schedule(action.delay_us, TimerFired(action.name))
        elif isinstance(action, FailPermanently):
            self.complete(action.message)
        elif isinstance(action, ReturnToClient):
            kind = self.messages[action.message][0]
            assert not self.in_flight.get(action.message)
            if action.message in self.ambiguous:
                assert kind.idempotency is Idempotency.IDEMPOTENT or (
                    kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and kind.key_scope == "all"
                )
            self.complete(action.message)
        elif isinstance(action, SendAttempt):
            self.check_attempt(action)

    def check_attempt(self, action: SendAttempt) -> None:
        name, target = action.message, action.target
        kind, end, destination, key = self.messages[name]
        assert name not in self.completed_us, "sent after completion"
        assert self.destinations[target] == destination and self.ready[target]
        assert not self.in_flight.get(name), "two attempts in flight"
        assert self.retry_after_us.get(destination, 0) <= self.now_us, "sent before the end of Retry-After"
        assert action.timeout_us > 0
        if name in self.ambiguous:
            since, zone = self.ambiguous[name]
            assert kind.idempotency is not Idempotency.NON_IDEMPOTENT
            if kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert self.now_us < since + kind.key_window_us
                assert kind.key_scope == "all" or zone == self.zones[target]
        if key is not None:
            earlier = self.messages_by_key[key][: self.messages_by_key[key].index(name)]
            assert all(m in self.completed_us and not self.in_flight.get(m) for m in earlier), "out of order"
            if not self.attempts.get(name):
                assert self.key_cooldown_us.get(key, 0) <= self.now_us, (
                    "sent during the cooldown of its order key"
                )
        number = self.attempts.get(name, 0)
        self.attempts[name] = number + 1
        assert number < self.settings.max_attempts
        self.in_flight[name] = 1
        call = (self.now_us, target)
        self.open_calls[call] = self.open_calls.get(call, 0) + 1
        assert sum(n > 0 for n in self.open_calls.values()) <= self.settings.slots
        self.schedule_result(action, number, end)

    def schedule_result(self, action: SendAttempt, number: int, end: int) -> None:
        status = self.rng.choice(
            [AttemptStatus.OK, *MAY_HAVE_RUN, AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED]
        )
        took = self.rng.randrange(STEP_US, 800_000) // STEP_US * STEP_US
        took = min(took, max(STEP_US, action.timeout_us // STEP_US * STEP_US))
        if status is AttemptStatus.TIMEOUT or self.now_us + took > end:
            status, took = AttemptStatus.TIMEOUT, -(-action.timeout_us // STEP_US) * STEP_US
        wait = self.rng.choice([0, 300_000, 4 * SECOND]) if status is AttemptStatus.FULL else 0
        self.schedule(
            took - 1,
            AttemptFinished(
                action.message, number, action.target, status, took, status is AttemptStatus.OK, wait
            ),
        )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_runs_keep_the_rules(seed: int) -> None:
    ActionChecker(seed).run()


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    first, second = ActionChecker(11), ActionChecker(11)
    first.run()
    second.run()
    assert first.trace == second.trace


def test_state_stays_bounded_as_keys_and_destinations_come_and_go() -> None:
    sender, now = Sender(make_settings(), 1), 0
    for n in range(400):
        now += SECOND
        row = Endpoint(f"t:{n}", n, EndpointState.READY, "shop")
        sender.handle(
            now,
            [
                MembershipUpdate(UpdateKind.FULL, n, (row,)),
                MessageArrived(f"m{n}", "step", n, 20 * SECOND, order_key=n),
            ],
        )
        end = AttemptFinished(f"m{n}", 0, f"t:{n}", AttemptStatus.TIMEOUT, 1000)
        sender.handle(now + 1000, [end, MessageExpired(f"m{n}")])
    sender.handle(now + 60 * SECOND, [TimerFired("wake"), MembershipUpdate(UpdateKind.FULL, 999, ())])
    assert (
        len(sender.state.endpoints)
        + len(sender.state.messages)
        + len(sender.state.order_queues)
        + len(sender.state.message_timers)
        == 0
    )
    assert len(sender.state.destinations) <= 1
    assert len(sender.state.key_cooldowns) <= 2
