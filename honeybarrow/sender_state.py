"""State records shared by the modules of :mod:`honeybarrow.policy`, and functions that keep them consistent.

The decisions and their constants are in the policy modules. Times and durations are integers in microseconds
and end in ``_us``; times are on the caller's monotonic clock.
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
    """State of an endpoint in the outage handling of the policy."""

    HEALTHY = "well"
    EJECTED = "out"  # receives health check calls only
    SLOW_START = "ramp"  # answers again, with calls spaced while it warms up


@dataclass(slots=True)
class Call:
    """A call to an endpoint, carrying one message or a batch."""

    endpoint: EndpointRecord
    sent_us: int
    is_on_idle_connection: bool = False  # the connection may have been dropped while idle
    open_attempts: int = 0  # attempts of the call without an outcome
    is_outcome_recorded: bool = False  # set by the first outcome of the batch


@dataclass(slots=True)
class Message:
    """A message, kept from its arrival until it is completed and has no attempt in flight."""

    id: str
    message_class: MessageClass
    destination: Destination
    created_us: int
    expires_us: int
    weight: float  # priority weight, reduced if the tenant exceeds its quota
    sequence: int  # arrival number
    group: tuple[str, float]  # class name and weight
    order_key: int | None = None
    attempts: list[Call | None] = field(default_factory=list)  # by attempt number; None once finished
    in_flight: int = 0  # attempts without an outcome
    ambiguous_since_us: int = NEVER  # send time of the first attempt that may have run
    ambiguous_zone: str = ""  # zone of that attempt
    retry_at_us: int = 0  # end of the backoff after the last failure
    is_completed: bool = False
    is_rejected: bool = False  # permanently, by the destination


@dataclass(slots=True)
class EndpointRecord:
    """An endpoint of a destination, its health and its calls in flight."""

    target: str
    zone: str
    destination: Destination
    scope: RateLimitScope
    health_since_us: int
    latency_us: float  # moving average of call durations
    is_usable: bool = True  # listed and not draining
    health: EndpointHealth = EndpointHealth.HEALTHY
    next_call_us: int = 0  # earliest next call while ejected or in slow start
    calls: list[Call] = field(default_factory=list)  # in flight, oldest first
    answered_call_sent_us: int = -1  # send time of the newest answered call
    last_sent_us: int = -1
    failure_streak: int = 0  # consecutive failures
    outage_since_us: int = NEVER  # send time of the first failed call of an outage
    error_share: float = 0.0  # moving average of calls answered with errors
    slow_loss_streak: int = 0  # consecutive losses that took longer than an answer
    last_connect_failure_us: int = 0  # time of the last failed connect
    idle_since_us: int = -1  # end of the last call
    has_idle_loss: bool = False  # a call on an idle connection was lost since the last answer
    keeps_connections: bool = False  # connections are left open after calls


@dataclass(slots=True)
class RateLimitScope:
    """The endpoints that share one rate limit and Retry-After: all of a destination, or a single one."""

    limiter: RateLimiter
    remaining_share: float  # moving average of the unused share of the limit, as reported
    endpoints: list[EndpointRecord] = field(default_factory=list)
    retry_after_until_us: int = 0  # end of the Retry-After
    listed_limit: float = 0.0  # calls per second; 0 if unknown
    reported_limit: float = 0.0  # calls per second; 0 if unknown
    announced_reopen_us: int = NEVER  # end of a closure announced by Retry-After
    failing_since_us: int = NEVER  # send time of the first failed call since the last success
    failure_backoff_until_us: int = 0  # end of the randomized backoff after a failure
    rejecting_since_us: int = NEVER  # time of the first rejection since the last success
    rejection_streak: int = 0  # consecutive rejections


@dataclass(slots=True)
class Destination:
    """A destination: its endpoints, and the messages that wait for them."""

    kind: DestinationKind
    index: int  # creation order; breaks ties between destinations
    shared_scope: RateLimitScope
    endpoints: list[EndpointRecord] = field(default_factory=list)
    # Messages waiting for an endpoint, by group, sorted by expiry.
    waiting: GroupedSortedLists[Message] = field(default_factory=GroupedSortedLists)
    demand: float = 0.0  # moving average of arrivals, in messages per second
    demand_updated_us: int = 0
    urgency_bound: float = math.inf  # upper bound, see honeybarrow.policy.admission


@dataclass(slots=True)
class TenantQuota:
    """Token bucket for this sender's share of a tenant quota."""

    rate: float  # messages per second
    tokens: float = math.inf
    refilled_us: int = 0


def _new_shedding_queues() -> defaultdict[tuple[str, float], list[IndexedPriorityQueue[Message]]]:
    return defaultdict(lambda: [IndexedPriorityQueue(), IndexedPriorityQueue()])


@dataclass(slots=True)
class SenderState:
    """The complete state of one sender.

    ``now`` and ``actions`` belong to the batch of events that is being processed.
    """

    settings: Settings
    rng: random.Random
    classes: dict[str, MessageClass]
    min_retries: dict[str, int]  # by class name: retries granted past the soft cap
    kinds: dict[str, DestinationKind]
    remaining_field_index: int  # position of the remaining share in load reports; -1 if absent
    limit_field_index: int  # position of the limit in load reports; -1 if absent
    is_deadline_ordered: bool  # within a group, the urgency grows towards the deadline
    quotas: dict[str, TenantQuota]
    now: int = 0
    is_log_available: bool = True  # attempt starts can be recorded
    actions: list[Action] = field(default_factory=list)
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    destinations: dict[int, Destination] = field(default_factory=dict)
    destination_indexes: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    messages: dict[str, Message] = field(default_factory=dict)
    arrivals: int = 0
    open_messages: int = 0  # messages without a final result
    slots_used: int = 0
    # Evidence of full connection tables, by kind of destination; key None: of dropped idle connections.
    connection_evidence: defaultdict[str | None, float] = field(default_factory=lambda: defaultdict(float))
    stale_until_us: int = 0  # end of the period in which idle connections are closed
    order_queues: dict[int | None, deque[Message]] = field(default_factory=dict)  # open messages by order key
    key_cooldowns: dict[int, int] = field(default_factory=dict)  # end of the cooldown by order key
    message_timers: list[tuple[int, str]] = field(default_factory=list)  # heap of (time, message id)
    wait_sequence: Iterator[int] = field(default_factory=itertools.count)
    # Candidates for load shedding, by group: one queue by creation time and one by arrival.
    shedding_queues: defaultdict[tuple[str, float], list[IndexedPriorityQueue[Message]]] = field(
        default_factory=_new_shedding_queues
    )
    # Indexes that restrict the work of each batch to the destinations that may be sent to.
    changed_destinations: dict[int, Destination] = field(default_factory=dict)  # to be refreshed
    # Destinations to refresh at a given time, without an event.
    scheduled_checks: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    # Destinations that may not be sent to, by the time at which they open.
    blocked_destinations: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    # Destinations that may be sent to, by their negated urgency bound.
    ready_destinations: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    # Destinations at their cap of call slots, by calls in flight.
    saturated_destinations: IndexedPriorityQueue[Destination] = field(default_factory=IndexedPriorityQueue)
    wake_timer_us: int = NEVER  # due time of the wake timer
    failed_polls: int = 0  # consecutive failed requests for the endpoint list


def get_or_create_destination(
    state: SenderState, number: int, kind_name: str, new_scope: Callable[[], RateLimitScope]
) -> Destination:
    """Return the destination of this number, creating it if necessary.

    A non-empty ``kind_name`` sets its kind; a destination that is not listed yet has a default kind.
    """
    destination = state.destinations.get(number)
    if destination is None:
        index = next(state.destination_indexes)
        destination = state.destinations[number] = Destination(DestinationKind(""), index, new_scope())
    if kind_name:
        destination.kind = state.kinds.get(kind_name, DestinationKind(kind_name))
    return destination


def remove_endpoint(state: SenderState, endpoint: EndpointRecord) -> None:
    """Remove an endpoint; its calls in flight run to completion."""
    state.changed_destinations[endpoint.destination.index] = endpoint.destination
    endpoint.is_usable = False
    del state.endpoints[endpoint.target]
    endpoint.scope.endpoints.remove(endpoint)
    endpoint.destination.endpoints.remove(endpoint)


def add_waiting(state: SenderState, message: Message) -> None:
    """Queue a message for sending, and as a candidate for load shedding."""
    waiting = message.destination.waiting
    waiting.put(message.id, message.group, message.expires_us, next(state.wait_sequence), message)
    keys = (message.created_us, message.sequence)
    for queue, key in zip(state.shedding_queues[message.group], keys, strict=True):
        queue.put(message.sequence, key, message)
    state.changed_destinations[message.destination.index] = message.destination


def complete(state: SenderState, message: Message) -> None:
    """Mark a message as completed, and remove it once it has no attempt in flight."""
    if message.id in message.destination.waiting:
        message.destination.waiting.drop(message.id)
        state.changed_destinations[message.destination.index] = message.destination
    state.open_messages -= not message.is_completed
    message.is_completed = True
    if message.in_flight > 0:
        return
    state.messages.pop(message.id, None)
    for queue in state.shedding_queues[message.group]:
        queue.drop(message.sequence)
    in_order = state.order_queues.get(message.order_key, deque())
    if message in in_order:
        in_order.remove(message)
        if in_order:
            state.changed_destinations[in_order[0].destination.index] = in_order[0].destination
        else:
            del state.order_queues[message.order_key]
