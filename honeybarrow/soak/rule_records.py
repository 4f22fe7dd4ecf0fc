"""What the rule checker of a soak run collects: intervals, calls and messages, from the recorded events."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from honeybarrow.soak.history import ClientRequest, Event
from honeybarrow.soak.message_account import END_STATUSES, GONE_STATUS

REJECTED_STATUSES = frozenset(("429", "503")) | END_STATUSES  # of calls that were not executed
NEVER = math.inf  # time of an event that has not happened


@dataclass(slots=True)
class Interval:
    """Interval of time; an ``end_s`` of :data:`NEVER` leaves it open."""

    start_s: float
    end_s: float = NEVER

    def contains(self, time_s: float) -> bool:
        """Return whether a time lies in the interval, ends included."""
        return self.start_s <= time_s <= self.end_s


@dataclass(slots=True)
class Call:
    """A call to an endpoint, from its first byte to its response or close."""

    forwarder: str
    message: str
    endpoint: str
    first_byte_s: float
    last_byte_s: float
    ended_s: float = NEVER
    status: str = ""  # status of the response, or the side that closed the connection

    @property
    def may_have_executed(self) -> bool:
        """Whether the endpoint may have executed the call."""
        return self.status not in REJECTED_STATUSES


@dataclass(slots=True)
class MessageRecord:
    """Events of one message."""

    request: ClientRequest
    accepted_s: float | None = None
    calls: list[Call] = field(default_factory=list)
    delivered_s: float = NEVER
    notifications: list[Event] = field(default_factory=list)
    over_s: float = NEVER  # time at which an endpoint first told that the message is over
    uncallable_s: float = NEVER  # the same, or that it has no attempt left

    @property
    def ended_s(self) -> float:
        """Time of the end: the delivery, the first notification, or the first 410."""
        return min([self.delivered_s, self.over_s, *(event.time_s for event in self.notifications)])

    def record_answer(self, event: Event) -> None:
        """Record the first time of each response that decides what may follow."""
        if event.detail == "200":
            self.delivered_s = min(self.delivered_s, event.time_s)
        elif event.detail in END_STATUSES:
            self.uncallable_s = min(self.uncallable_s, event.time_s)
        if event.detail == GONE_STATUS:
            self.over_s = min(self.over_s, event.time_s)


def count_messages(messages: Mapping[str, MessageRecord]) -> Counter[str]:
    """Return how many messages were requested, accepted, called, delivered, notified and reported as over."""
    counts: Counter[str] = Counter()
    for message in messages.values():
        counts["requests"] += 1
        counts["accepted"] += message.accepted_s is not None
        counts["calls"] += len(message.calls)
        if message.accepted_s is not None:
            counts["delivered"] += message.delivered_s <= message.ended_s < NEVER
            counts["notified"] += bool(message.notifications)
            counts["over"] += message.over_s < NEVER
            counts["over_and_notified"] += message.over_s < NEVER and bool(message.notifications)
    return counts
