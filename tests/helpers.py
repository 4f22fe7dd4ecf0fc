"""What the tests share: small settings and a caller that keeps the clock."""

from __future__ import annotations

from typing import Any

from honeybarrow import Sender
from honeybarrow import interface as hb

SECOND = 1_000_000
CLASSES = (
    hb.MessageClass("note", 3 * SECOND, 16 * SECOND, late_share=0.4),
    hb.MessageClass("post", 3 * SECOND, 20 * SECOND, hb.Effect.KEYED, window_us=5 * SECOND, late_share=0.3),
    hb.MessageClass("pay", 3 * SECOND, 24 * SECOND, hb.Effect.UNSAFE, late_share=0.5),
    hb.MessageClass("zonal", 3 * SECOND, 20 * SECOND, hb.Effect.KEYED, "zone", 5 * SECOND),
    hb.MessageClass("step", 3 * SECOND, 20 * SECOND, keep_order=True, late_share=0.5),
)
KINDS = (hb.Kind("shop"), hb.Kind("hub", bundle_max=4), hb.Kind("fork", separate_routes=True))


def settings(**changes: Any) -> hb.Settings:
    """Settings for most tests."""
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": KINDS,
        "slots": 8,
        "max_open": 50,
        "attempt_cap": 12,
        "retry_after": True,
        "max_retry_after_us": 3 * SECOND,
        "settle_us": SECOND,
    }
    return hb.Settings(**{**values, **changes})


class Leave:
    """A permit to write calls, which a test may take back."""

    def __init__(self, left_us: int = 1 << 62, why: str = "") -> None:
        self.left, self.why = left_us, why

    def barred(self) -> str:
        return self.why

    def begin(self) -> str:
        return self.why

    def left_us(self) -> int:
        return self.left


class Caller:
    """Feeds a sender, keeps its timers, and remembers what it did."""

    def __init__(self, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.sender = Sender(self.settings, 7)
        self.now = 0
        self.timers: list[tuple[int, str]] = []
        self.sends: list[tuple[int, hb.Send]] = []
        self.answers: list[tuple[int, hb.HandBack | hb.GiveUp]] = []
        self.other: list[hb.Action] = []
        self.tries: dict[str, int] = {}

    def feed(self, *events: hb.Event) -> list[hb.Action]:
        """Give events at the present time."""
        actions = self.sender.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, hb.SetTimer):
                self.timers.append((self.now + action.delay_us, action.mark))
            elif isinstance(action, hb.Send):
                self.sends.append((self.now, action))
                self.tries[action.message] = self.tries.get(action.message, 0) + 1
            elif isinstance(action, hb.HandBack | hb.GiveUp):
                self.answers.append((self.now, action))
            else:
                self.other.append(action)
        return actions

    def wait(self, duration_us: int) -> None:
        """Let time pass, timers firing when they are due."""
        end = self.now + duration_us
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(hb.TimerFired(timer[1]))
        self.now = end

    def know(self, *targets: str, destination: int = 1, kind: str = "shop", zone: str = "") -> None:
        """List endpoints as ready."""
        rows = tuple(hb.Endpoint(t, destination, hb.EndpointState.READY, kind, zone) for t in targets)
        self.feed(hb.MembershipNews(hb.ListKind.CHANGES, 1, rows))

    def arrive(self, name: str, kind: str = "note", destination: int = 1, **more: Any) -> list[hb.Action]:
        """A message arrives."""
        spec = self.sender.classes[kind]
        more.setdefault("left_us", spec.deadline_us)
        return self.feed(hb.MessageArrived(name, kind, destination, **more))

    def end(self, name: str, status: hb.Status, **more: Any) -> list[hb.Action]:
        """The newest attempt of a message ends."""
        send = next(s for _, s in reversed(self.sends) if s.message == name)
        over = status is hb.Status.OK
        number = self.tries[name] - 1
        return self.feed(hb.AttemptEnded(name, number, send.target, status, over=over, **more))

    def sent(self, name: str) -> list[int]:
        """When a message was sent."""
        return [at for at, send in self.sends if send.message == name]

    def until_sent(self, name: str, limit_us: int = 10 * SECOND) -> bool:
        """Let time pass until a message is sent once more."""
        before, end = len(self.sent(name)), self.now + limit_us
        while self.now < end and len(self.sent(name)) == before:
            self.wait(10_000)
        return len(self.sent(name)) > before
