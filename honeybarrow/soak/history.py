"""Record of a soak run: the traffic on the stand-ins' sockets, process events and injected faults."""

from __future__ import annotations

import enum
import time
from collections import defaultdict
from dataclasses import dataclass


class EventKind(enum.StrEnum):
    """Kinds of events; the comments say what ``Event.detail`` and ``Event.amount`` hold."""

    REQUEST = "request"  # client sent a complete request; detail: "new" or "reused" connection
    ANSWER = "answer"  # client received the response; detail: status
    NO_ANSWER = "no_answer"  # client received no response; detail: reason
    CALL = "call"  # endpoint received a complete call; amount: arrival time of its first byte
    CALL_ANSWERED = "call_answered"  # endpoint sent a response; detail: status; amount: wait of a 429
    CALL_CLOSED = "call_closed"  # call ended without a response; detail: "forwarder" or "endpoint" closed
    COPIED = "copied"  # endpoint's link repeated a response while the message's call was open; detail: status
    NOTIFIED = "notified"  # platform received a notification; detail: outcome
    LISTED = "listed"  # discovery sent an endpoint's state to a forwarder; detail: state
    PROCESS = "process"  # signal to a forwarder's process, or change of its state; detail: which
    FAULT = "fault"  # detail: injected fault, or change of the endpoint list
    REPEATED = "repeated"  # client sent an accepted request again; detail: status of the response
    BAD_CLIENT = "bad_client"  # end of an incomplete request; detail: status, "closed" or "unanswered"


@dataclass(frozen=True, slots=True)
class Event:
    """One event; ``time_s`` is on the monotonic clock of the stand-ins' process."""

    time_s: float
    kind: EventKind
    forwarder: str = ""
    message: str = ""
    endpoint: str = ""
    detail: str = ""
    amount: float = 0.0

    def format(self, started_s: float) -> str:
        """Return the event as a line of text, with its time relative to ``started_s``."""
        columns = [
            f"{self.time_s - started_s:8.3f}",
            self.kind.value,
            self.forwarder,
            self.message,
            self.endpoint,
            self.detail,
        ]
        amount = f"amount={self.amount:.3f}" if self.amount else ""
        return " ".join(column for column in [*columns, amount] if column)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request: its message, class and destination, and the time left at ``sent_s``."""

    message: str
    forwarder: str
    class_name: str
    destination: int
    sent_s: float
    time_left_s: float
    order_key: str = ""

    @property
    def deadline_s(self) -> float:
        """Time at which the message's deadline passes."""
        return self.sent_s + self.time_left_s


class History:
    """Events of a run, in the order in which they were recorded, and its requests by message."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.events: list[Event] = []
        self.requests: dict[str, ClientRequest] = {}

    def add(
        self,
        kind: EventKind,
        forwarder: str = "",
        message: str = "",
        endpoint: str = "",
        detail: str = "",
        amount: float = 0.0,
        time_s: float | None = None,
    ) -> None:
        """Append an event with the time ``time_s``, by default now."""
        event_time_s = time.monotonic() if time_s is None else time_s
        self.events.append(Event(event_time_s, kind, forwarder, message, endpoint, detail, amount))

    def by_message(self) -> dict[str, list[Event]]:
        """Return the events grouped by message."""
        events: dict[str, list[Event]] = defaultdict(list)
        for event in self.events:
            if event.message:
                events[event.message].append(event)
        return events

    def by_forwarder(self, kind: EventKind) -> dict[str, list[Event]]:
        """Return the events of one kind, grouped by forwarder."""
        events: dict[str, list[Event]] = defaultdict(list)
        for event in self.events:
            if event.kind is kind:
                events[event.forwarder].append(event)
        return events

    def related_events(self, message: str, forwarder: str = "") -> list[str]:
        """Return the formatted events of a message, and the process events and faults of its forwarder."""
        request = self.requests.get(message)
        forwarder = request.forwarder if request else forwarder
        process_kinds = (EventKind.PROCESS, EventKind.FAULT)
        return [
            event.format(self.started_s)
            for event in self.events
            if (message and event.message == message)
            or (event.kind in process_kinds and event.forwarder == forwarder)
        ]
