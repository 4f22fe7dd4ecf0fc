"""Limits of open connections, and the rules for closing client connections.

The functions do no I/O and read no clock; durations are seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

RESERVED_DESCRIPTORS = 24  # log file, reactor, listener, discovery and notifications
MAX_IDLE_ENDPOINT_SHARE = 0.2  # share of the descriptors for idle connections to endpoints
# Idle clients count towards the limit too, so it exceeds what clients with open requests need.
MAX_CLIENT_SHARE = 0.5  # share of the descriptors for client connections
MIN_CLIENT_CONNECTIONS = 16
FIRST_REQUEST_TIMEOUT_S = 2.0  # from the connect to the last byte of the request
REQUEST_TIMEOUT_S = 2.0  # from the first to the last byte of a later request
UNUSED_CONNECTION_TIMEOUT_S = 0.5  # for the first byte on a new connection during shutdown
UNREAD_RESPONSE_TIMEOUT_S = 3.0  # for the client to read its responses
LINGER_TIMEOUT_S = 0.3  # for discarding input after the half-close


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Maximum numbers of open connections."""

    client_connections: int
    idle_endpoint_connections: int
    endpoint_connections: int  # busy and idle connections together


def allocate_descriptors(descriptor_limit: int, call_slots: int) -> DescriptorBudget:
    """Divide the descriptors, given that ``call_slots`` calls may be in flight."""
    idle = max(4, int(descriptor_limit * MAX_IDLE_ENDPOINT_SHARE))
    # Calls beyond a quarter of the descriptors use those of idle connections, which are closed for them.
    endpoints = min(
        idle + min(call_slots, descriptor_limit // 4),
        max(idle, descriptor_limit - RESERVED_DESCRIPTORS - MIN_CLIENT_CONNECTIONS),
    )
    remaining = descriptor_limit - RESERVED_DESCRIPTORS - endpoints
    clients = max(MIN_CLIENT_CONNECTIONS, min(remaining, int(descriptor_limit * MAX_CLIENT_SHARE)))
    return DescriptorBudget(clients, idle, endpoints)


class ConnectionState(enum.Enum):
    """State of a client's connection."""

    NEW = "new"  # no input received
    READING = "reading"  # part of a request received
    PROCESSING = "processing"  # request received, response not sent
    UNREAD = "unread"  # the client has not read all responses
    KEEP_ALIVE = "keep-alive"  # idle after a response
    CLOSING = "closing"  # last response sent


class ConnectionAction(enum.Enum):
    """An action on a client's connection."""

    NONE = "none"
    TIME_OUT_REQUEST = "time out request"  # respond with 408
    HALF_CLOSE = "half-close"
    CLOSE = "close"
    ABORT = "abort"  # although responses are not read


def choose_action(
    state: ConnectionState, has_answered: bool, age_s: float, is_draining: bool = False
) -> ConnectionAction:
    """Return the action due in a state.

    ``age_s`` is the time in the state; until the first response, the time since the connect.
    """
    if state is ConnectionState.CLOSING and age_s > LINGER_TIMEOUT_S:
        return ConnectionAction.CLOSE
    if state is ConnectionState.UNREAD and age_s > UNREAD_RESPONSE_TIMEOUT_S:
        return ConnectionAction.ABORT
    if state is ConnectionState.READING:
        timeout_s = REQUEST_TIMEOUT_S if has_answered else FIRST_REQUEST_TIMEOUT_S
        return ConnectionAction.TIME_OUT_REQUEST if age_s > timeout_s else ConnectionAction.NONE
    # During shutdown only a request that is probably already in transit is waited for.
    first_request_timeout_s = UNUSED_CONNECTION_TIMEOUT_S if is_draining else FIRST_REQUEST_TIMEOUT_S
    is_overdue = state is ConnectionState.NEW and age_s > first_request_timeout_s
    return ConnectionAction.HALF_CLOSE if is_overdue else ConnectionAction.NONE


class EvictionClass(enum.Enum):
    """Classes of connections that may be evicted for a new one, in the order of eviction.

    Closing an idle connection loses nothing, because its client opens a new one for its next request. On an
    unanswered connection a request may be in transit, which would fail.
    """

    CLOSING = "closing"
    KEEP_ALIVE = "keep-alive"
    UNANSWERED = "unanswered"  # no complete request received


def eviction_class(state: ConnectionState, has_answered: bool) -> EvictionClass | None:
    """Return the class of a connection; ``None`` if it must not be evicted."""
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
