"""What crossed the sockets of a soak run, and what was done to its processes, by real time."""

from __future__ import annotations

import enum
import time
from collections import defaultdict
from dataclasses import dataclass


class EventKind(enum.StrEnum):
    """What an event is."""

    REQUEST = "request"  # a client has written a whole request; detail: on which connection
    ANSWER = "answer"  # its answer has come; detail: the status
    NO_ANSWER = "no_answer"  # detail: why
    CALL = "call"  # the last byte of a call has come to an endpoint; amount: time of the first
    CALL_ANSWERED = "call_answered"  # detail: the status; amount: seconds to wait, of a 429
    CALL_CLOSED = "call_closed"  # without an answer; detail: by whom
    NOTIFIED = "notified"  # a notification has come to the platform; detail: the outcome
    LISTED = "listed"  # discovery has written the state of an endpoint; detail: the state
    PROCESS = "process"  # detail: what became of a forwarder's process
    FAULT = "fault"  # detail: what was injected
    BAD_CLIENT = "bad_client"  # detail: what became of a request that stops in the middle


@dataclass(frozen=True, slots=True)
class Event:
    """One event. ``at_s``: by the monotonic clock of the stand-ins."""

    at_s: float
    kind: EventKind
    forwarder: str = ""
    message: str = ""
    endpoint: str = ""
    detail: str = ""
    amount: float = 0.0

    def format(self, started_s: float) -> str:
        """Return the event as a line, with its time since the start of the run."""
        words = [
            f"{self.at_s - started_s:8.3f}",
            self.kind.value,
            self.forwarder,
            self.message,
            self.endpoint,
            self.detail,
        ]
        amount = f"amount={self.amount:.3f}" if self.amount else ""
        return " ".join(word for word in [*words, amount] if word)


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the client of a message asked for."""

    message: str
    forwarder: str
    class_name: str
    destination: int
    sent_s: float
    left_s: float
    order_key: str = ""

    @property
    def deadline_s(self) -> float:
        """When its time is up."""
        return self.sent_s + self.left_s


class History:
    """The events of a run, in the order in which they happened."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.events: list[Event] = []
        self.requests: dict[str, RequestFacts] = {}

    def add(
        self,
        kind: EventKind,
        forwarder: str = "",
        message: str = "",
        endpoint: str = "",
        detail: str = "",
        amount: float = 0.0,
        at_s: float | None = None,
    ) -> None:
        """Append an event that happens now, or happened at ``at_s``."""
        now_s = time.monotonic() if at_s is None else at_s
        self.events.append(Event(now_s, kind, forwarder, message, endpoint, detail, amount))

    def by_message(self) -> dict[str, list[Event]]:
        """Return the events of each message."""
        found: dict[str, list[Event]] = defaultdict(list)
        for event in self.events:
            if event.message:
                found[event.message].append(event)
        return found

    def by_forwarder(self, kind: EventKind) -> dict[str, list[Event]]:
        """Return the events of a kind, by forwarder."""
        found: dict[str, list[Event]] = defaultdict(list)
        for event in self.events:
            if event.kind is kind:
                found[event.forwarder].append(event)
        return found

    def story(self, message: str, forwarder: str = "") -> list[str]:
        """Return all lines about a message, if one is named, and about the process that had it."""
        facts = self.requests.get(message)
        forwarder = facts.forwarder if facts else forwarder
        own = (EventKind.PROCESS, EventKind.FAULT)
        return [
            event.format(self.started_s)
            for event in self.events
            if (message and event.message == message) or (event.kind in own and event.forwarder == forwarder)
        ]
