"""The records that the decision modules in :mod:`honeybarrow.policy` share, and the upkeep of their tables.

Nothing here decides, and no constant here tunes. Times are integers in microseconds on the
caller's monotone clock and end in ``_us``.
"""

from __future__ import annotations

import enum
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from honeybarrow.actions import Action
from honeybarrow.priority_queue import GroupedSortedLists, IndexedPriorityQueue
from honeybarrow.settings import DestinationKind, MessageClass, Settings

if TYPE_CHECKING:
    from honeybarrow.policy.rate_limit import RateLimiter

SECOND = 1_000_000
NEVER = 1 << 62


class EndpointHealth(enum.Enum):
    """How an endpoint is treated."""

    HEALTHY = "well"
    EJECTED = "out"  # only health check calls go there
    SLOW_START = "ramp"  # it answers again and may still be warming up


@dataclass(slots=True)
class Call:
    """One call at an endpoint, with all messages that travel in it."""

    endpoint: EndpointRecord
    sent_us: int
    was_idle: bool = False  # its connection may have been idle for long
    open_attempts: int = 0
    is_learned: bool = False  # its outcome has been taken into account


@dataclass(slots=True)
class Message:
    """A message from its arrival until it is completed and no attempt of it is in flight."""

    id: str
    message_class: MessageClass
    destination: Destination
    created_us: int
    expires_us: int
    weight: float  # priority weight, less if its tenant is beyond its quota
    sequence: int  # in the order of arrival
    group: tuple[str, float]  # class and weight: messages of one group differ only in age
    order_key: int | None = None
    attempts: list[Call | None] = field(default_factory=list)
    in_flight: int = 0
    ambiguous_since_us: int = NEVER  # when the first attempt that may have run was sent
    ambiguous_zone: str = ""
    retry_at_us: int = 0  # when the backoff after the last failure ends
    is_completed: bool = False
    is_rejected: bool = False  # rejected for good by its destination: no retry can succeed


@dataclass(slots=True)
class EndpointRecord:
    """One address of a destination, and how it fares."""

    target: str
    zone: str
    destination: Destination
    scope: RateLimitScope
    health_since_us: int
    latency_us: float  # estimate of how long a call takes
    is_usable: bool = True
    health: EndpointHealth = EndpointHealth.HEALTHY
    next_call_us: int = 0  # while ejected or in slow start: when the next call may go
    calls: list[Call] = field(default_factory=list)
    answered_us: int = -1  # when the newest call that was answered had been sent
    last_sent_us: int = -1
    failure_streak: int = 0
    outage_since_us: int = NEVER  # when the first call of an outage was sent, as far as seen here
    error_share: float = 0.0
    slow_losses: int = 0  # losses in a row that took longer than an answer does
    connect_failed_us: int = 0  # last failed connect
    idle_since_us: int = -1  # when the last call ended: its connections are idle since
    has_lost_idle: bool = False  # a call was lost on a connection that had been idle
    keeps_connections: bool = False  # its connections were left open after the last call


@dataclass(slots=True)
class RateLimitScope:
    """What shares one limit: a destination, or one route of it. Rate limiter and Retry-After are its own."""

    limiter: RateLimiter
    remaining_share: float  # share of the limit that is left, as reported lately
    endpoints: list[EndpointRecord] = field(default_factory=list)
    backoff_until_us: int = 0  # end of its Retry-After
    listed_limit: float = 0.0
    reported_limit: float = 0.0
    reopens_us: int = NEVER  # when it opens, where it announced that while closed
    failing_since_us: int = NEVER  # when the first call was sent of those that failed since the last success
    rest_until_us: int = 0  # how long this sender stays away after a failure, for others fail alike
    rejecting_since_us: int = NEVER  # first rejection since the last success
    rejections: int = 0  # and how many


@dataclass(slots=True)
class Destination:
    """Where messages go: its endpoints, and the messages that wait for them."""

    kind: DestinationKind
    index: int  # destinations are gone through in the order in which they were first heard of
    shared_scope: RateLimitScope
    endpoints: list[EndpointRecord] = field(default_factory=list)
    # By group, in the order in which they expire.
    waiting: GroupedSortedLists[Message] = field(default_factory=GroupedSortedLists)
    demand: float = 0.0  # messages a second that this sender is given for it, lately
    demand_at_us: int = 0
    pressure_bound: float = math.inf  # what the pressure of each of its messages stays under


@dataclass(slots=True)
class TenantQuota:
    """A tenant's part of its quota at this sender, as a token bucket."""

    rate: float  # messages a second
    tokens: float = math.inf
    refilled_us: int = 0


def _return_queues() -> defaultdict[tuple[str, float], list[IndexedPriorityQueue[Message]]]:
    return defaultdict(lambda: [IndexedPriorityQueue(), IndexedPriorityQueue()])


@dataclass(slots=True)
class SenderState:
    """All that one sender knows. ``now`` and ``actions`` belong to the batch of events at hand."""

    settings: Settings
    rng: random.Random
    classes: dict[str, MessageClass]
    min_retries: dict[str, int]  # by class: retries that go before the soft cap
    kinds: dict[str, DestinationKind]
    remaining_field: int  # where load reports have the share that is left of a limit; -1: nowhere
    limit_field: int  # and the limit
    is_deadline_ordered: bool  # whether within a group the message that expires first is the most urgent
    quotas: dict[str, TenantQuota]
    now: int = 0
    is_log_available: bool = True  # the start of an attempt can be recorded
    actions: list[Action] = field(default_factory=list)
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    destinations: dict[int, Destination] = field(default_factory=dict)
    destination_indexes: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    messages: dict[str, Message] = field(default_factory=dict)
    arrivals: int = 0
    open_messages: int = 0  # without a final result
    slots_used: int = 0
    # Evidence of full connection tables, by kind of destination, and (None) of dropped idle connections.
    signs: defaultdict[str | None, float] = field(default_factory=lambda: defaultdict(float))
    stale_until_us: int = 0  # until then idle connections may have been dropped unseen
    order_queues: dict[int | None, deque[Message]] = field(default_factory=dict)  # by order key
    key_rests: dict[int, int] = field(default_factory=dict)  # by order key: until when it rests
    due: list[tuple[int, str]] = field(default_factory=list)  # heap: when to look at a message again
    wait_sequence: Iterator[int] = field(default_factory=itertools.count)
    # What may be returned to its client: by group, in the order of age and in that of arrival.
    return_queues: defaultdict[tuple[str, float], list[IndexedPriorityQueue[Message]]] = field(
        default_factory=_return_queues
    )
    # Work that can't lead to a send is not begun: these find the destinations where it may.
    touched: dict[int, Destination] = field(default_factory=dict)  # something happened there
    # When to look at a destination again though nothing happens there.
    checks: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    # When a destination opens to which nothing may be sent now.
    wakes: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    # Destinations to which something may be sent, by their negative bound of pressure.
    rank: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    # Destinations that hold their part of the slots, by calls in flight.
    crowded: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    wake_us: int = NEVER
    failed_polls: int = 0


def find_destination(
    state: SenderState, number: int, kind_name: str, new_scope: Callable[[], RateLimitScope]
) -> Destination:
    """Return a destination, a new one if it was not heard of before; its kind may become known."""
    destination = state.destinations.get(number)
    if destination is None:
        index = next(state.destination_indexes)
        destination = state.destinations[number] = Destination(DestinationKind(""), index, new_scope())
    if kind_name:
        destination.kind = state.kinds.get(kind_name, DestinationKind(kind_name))
    return destination


def remove_endpoint(state: SenderState, endpoint: EndpointRecord) -> None:
    """Forget an endpoint that is gone; calls that are in flight there run on."""
    state.touched[endpoint.destination.index] = endpoint.destination
    endpoint.is_usable = False
    del state.endpoints[endpoint.target]
    endpoint.scope.endpoints.remove(endpoint)
    endpoint.destination.endpoints.remove(endpoint)


def add_waiting(state: SenderState, message: Message) -> None:
    """Let a message wait for an endpoint; meanwhile it may be returned to its client."""
    waiting = message.destination.waiting
    waiting.put(message.id, message.group, message.expires_us, next(state.wait_sequence), message)
    keys = (message.created_us, message.sequence)
    for queue, key in zip(state.return_queues[message.group], keys, strict=True):
        queue.put(message.sequence, key, message)
    state.touched[message.destination.index] = message.destination


def complete(state: SenderState, message: Message) -> None:
    """Owe nothing more for a message; it is forgotten once no attempt of it is in flight."""
    if message.id in message.destination.waiting:
        message.destination.waiting.drop(message.id)
        state.touched[message.destination.index] = message.destination
    state.open_messages -= not message.is_completed
    message.is_completed = True
    if message.in_flight > 0:
        return
    state.messages.pop(message.id, None)
    for queue in state.return_queues[message.group]:
        queue.drop(message.sequence)
    in_order = state.order_queues.get(message.order_key, deque())
    if message in in_order:
        in_order.remove(message)
        if in_order:
            state.touched[in_order[0].destination.index] = in_order[0].destination  # the next one's turn
        else:
            del state.order_queues[message.order_key]
