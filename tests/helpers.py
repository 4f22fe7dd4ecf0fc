"""Shared test helpers: settings, clocks, a permit, and a driver of one sender in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from honeybarrow import Sender
from honeybarrow.actions import Action, FailPermanently, ReturnToClient, SendAttempt, SetTimer
from honeybarrow.clocks import Clocks
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    Endpoint,
    EndpointState,
    Event,
    MembershipUpdate,
    MessageArrived,
    TimerFired,
    UpdateKind,
)
from honeybarrow.settings import DestinationKind, Idempotency, MessageClass, Settings

SECOND = 1_000_000
CLASSES = (
    MessageClass("note", 3 * SECOND, 16 * SECOND, late_utility=0.4),
    MessageClass(
        "post",
        3 * SECOND,
        20 * SECOND,
        Idempotency.IDEMPOTENT_WITH_KEY,
        key_window_us=5 * SECOND,
        late_utility=0.3,
    ),
    MessageClass("pay", 3 * SECOND, 24 * SECOND, Idempotency.NON_IDEMPOTENT, late_utility=0.5),
    MessageClass("zonal", 3 * SECOND, 20 * SECOND, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 5 * SECOND),
    MessageClass("step", 3 * SECOND, 20 * SECOND, is_ordered=True, late_utility=0.5),
)
KINDS = (
    DestinationKind("shop"),
    DestinationKind("hub", max_batch_size=4),
    DestinationKind("fork", has_separate_routes=True),
)


def make_clocks(monotonic_us: Callable[[], int], wall_us: Callable[[], int] | None = None) -> Clocks:
    """Return clocks with the given readings; the wall clock defaults to the monotonic one."""
    return Clocks(monotonic_us, wall_us or monotonic_us, "boot")


def make_settings(**changes: Any) -> Settings:
    """Return the default test settings with the given changes."""
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": KINDS,
        "slots": 8,
        "max_open": 50,
        "max_attempts": 12,
        "allows_retry_after": True,
        "max_retry_after_us": 3 * SECOND,
        "order_key_cooldown_us": SECOND,
    }
    return Settings(**{**values, **changes})


class FakePermit:
    """A permit that refuses if a test sets ``reason``."""

    def __init__(self, left_us: int = 1 << 62, reason: str = "") -> None:
        self.left_us, self.reason, self.may_reuse = left_us, reason, True

    def refusal_reason(self) -> str:
        return self.reason

    def record_start(self) -> str:
        return self.reason

    def record_permitted_start(self) -> str:
        return ""

    def may_reuse_connection(self) -> bool:
        return self.may_reuse

    def time_left_us(self) -> int:
        return self.left_us


class SenderDriver:
    """Drives one sender in simulated time: delivers events, fires timers and records actions."""

    def __init__(self, **changes: Any) -> None:
        self.settings = make_settings(**changes)
        self.sender = Sender(self.settings, 7)
        self.now = 0
        self.timers: list[tuple[int, str]] = []
        self.sends: list[tuple[int, SendAttempt]] = []
        self.results: list[tuple[int, ReturnToClient | FailPermanently]] = []
        self.other_actions: list[Action] = []
        self.attempt_counts: dict[str, int] = {}

    def handle_events(self, *events: Event) -> list[Action]:
        """Deliver events at the current time; return the actions."""
        actions = self.sender.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.name))
            elif isinstance(action, SendAttempt):
                self.sends.append((self.now, action))
                self.attempt_counts[action.message] = self.attempt_counts.get(action.message, 0) + 1
            elif isinstance(action, ReturnToClient | FailPermanently):
                self.results.append((self.now, action))
            else:
                self.other_actions.append(action)
        return actions

    def wait(self, duration_us: int) -> None:
        """Advance the time, firing timers as they become due."""
        end = self.now + duration_us
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.handle_events(TimerFired(timer[1]))
        self.now = end

    def list_endpoints(self, *targets: str, destination: int = 1, kind: str = "shop", zone: str = "") -> None:
        """List endpoints as ready."""
        rows = tuple(Endpoint(t, destination, EndpointState.READY, kind, zone) for t in targets)
        self.handle_events(MembershipUpdate(UpdateKind.CHANGES, 1, rows))

    def submit_message(
        self, message: str, class_name: str = "note", destination: int = 1, **more: Any
    ) -> list[Action]:
        """Deliver the arrival of a message; return the actions."""
        spec = self.sender.classes[class_name]
        more.setdefault("time_left_us", spec.deadline_us)
        return self.handle_events(MessageArrived(message, class_name, destination, **more))

    def finish_attempt(self, message: str, status: AttemptStatus, **more: Any) -> list[Action]:
        """Finish the newest attempt of a message; return the actions."""
        send = next(s for _, s in reversed(self.sends) if s.message == message)
        is_completed = status is AttemptStatus.OK
        number = self.attempt_counts[message] - 1
        return self.handle_events(
            AttemptFinished(message, number, send.target, status, is_completed=is_completed, **more)
        )

    def get_send_times(self, message: str) -> list[int]:
        """Return the times at which a message was sent."""
        return [at for at, send in self.sends if send.message == message]

    def wait_until_sent(self, message: str, limit_us: int = 10 * SECOND) -> bool:
        """Advance the time until a message is sent again; return whether it was within the limit."""
        before, end = len(self.get_send_times(message)), self.now + limit_us
        while self.now < end and len(self.get_send_times(message)) == before:
            self.wait(10_000)
        return len(self.get_send_times(message)) > before
