"""How many connections of each kind the descriptors allow, and which client connection closes when.

No I/O, no clock: times are seconds and come as arguments, what a connection is like comes as facts.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

RESERVED_DESCRIPTORS = 24  # for the log's file, the reactor, the listener, discovery and notifications
MAX_IDLE_ENDPOINT_SHARE = 0.2  # of the descriptors, for idle connections to endpoints
# Danger: a crowd of clients that ask once and stay counts where client connections are dealt out, and clients
# with requests are then kept out, though there is capacity here. Their requests need a third at most.
MAX_CLIENT_SHARE = 0.5  # of the descriptors, for client connections
MIN_CLIENT_CONNECTIONS = 16  # however few descriptors there are
FIRST_REQUEST_TIMEOUT_S = 2.0  # from connecting to a whole request: an answer or a close is due within 3 s
REQUEST_TIMEOUT_S = 2.0  # from the first byte of a later request to its last
UNUSED_AFTER_S = 0.5  # without a byte, after which no request is expected soon on a new connection
LINGER_TIMEOUT_S = 0.3  # to discard input after our half-close, so that no reset destroys the last answer


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Connections that may be open at once."""

    client_connections: int
    idle_endpoint_connections: int
    endpoint_connections: int  # those with a call and the idle ones together


def allocate_descriptors(descriptor_limit: int, call_slots: int) -> DescriptorBudget:
    """Divide so many descriptors, where ``call_slots`` calls may be in flight."""
    idle = max(4, int(descriptor_limit * MAX_IDLE_ENDPOINT_SHARE))
    # More call slots than that share the descriptors of idle connections, which close to make room for calls.
    endpoints = min(
        idle + min(call_slots, descriptor_limit // 4),
        max(idle, descriptor_limit - RESERVED_DESCRIPTORS - MIN_CLIENT_CONNECTIONS),
    )
    remaining = descriptor_limit - RESERVED_DESCRIPTORS - endpoints
    clients = max(MIN_CLIENT_CONNECTIONS, min(remaining, int(descriptor_limit * MAX_CLIENT_SHARE)))
    return DescriptorBudget(clients, idle, endpoints)


class ConnectionState(enum.Enum):
    """State of a client's connection."""

    NEW = "new"  # connected, and nothing has come
    READING = "reading"  # a part of a request has come
    PROCESSING = "processing"  # a request awaits its answer
    KEEP_ALIVE = "keep-alive"  # between requests, after an answer
    CLOSING = "closing"  # answered for the last time


class ConnectionAction(enum.Enum):
    """What is to be done with a client's connection now."""

    NONE = "none"
    TIME_OUT_REQUEST = "time out request"  # answer that the request did not come in time
    HALF_CLOSE = "half-close"  # and discard what still comes
    CLOSE = "close"  # enough was discarded


def choose_action(
    state: ConnectionState, has_answered: bool, age_s: float, is_draining: bool = False
) -> ConnectionAction:
    """Return what is due ``age_s`` after the state began; for a first request, after the connect."""
    if state is ConnectionState.CLOSING and age_s > LINGER_TIMEOUT_S:
        return ConnectionAction.CLOSE
    if state is ConnectionState.READING:
        timeout_s = REQUEST_TIMEOUT_S if has_answered else FIRST_REQUEST_TIMEOUT_S
        return ConnectionAction.TIME_OUT_REQUEST if age_s > timeout_s else ConnectionAction.NONE
    # A process that stops waits only for a first request that must be on its way.
    first_request_timeout_s = UNUSED_AFTER_S if is_draining else FIRST_REQUEST_TIMEOUT_S
    is_overdue = state is ConnectionState.NEW and age_s > first_request_timeout_s
    return ConnectionAction.HALF_CLOSE if is_overdue else ConnectionAction.NONE


class EvictionClass(enum.Enum):
    """Connections that may be evicted for a new one, those that go first in front.

    Danger: a request may be on its way on a connection that has sent nothing yet, and fails with it. One
    between requests loses nothing, since its client sends again on a new connection. So those go first.
    """

    CLOSING = "closing"
    KEEP_ALIVE = "keep-alive"
    UNANSWERED = "unanswered"  # no whole request has come yet


def eviction_class(state: ConnectionState, has_answered: bool) -> EvictionClass | None:
    """Return the class of a connection; ``None``: it is never evicted."""
    match state:
        case ConnectionState.CLOSING:
            return EvictionClass.CLOSING
        case ConnectionState.KEEP_ALIVE:
            return EvictionClass.KEEP_ALIVE
        case ConnectionState.NEW:
            return EvictionClass.UNANSWERED
        case ConnectionState.READING if not has_answered:
            return EvictionClass.UNANSWERED
    return None
