"""A delivery service with one final result for each message.

This package exports the policy module that decides how messages are sent to many destinations, with its
settings, events and actions.
"""

from honeybarrow.actions import (
    Action,
    CloseIdleConnections,
    FailPermanently,
    LogEvent,
    ReturnToClient,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    AttemptStreaming,
    Endpoint,
    EndpointState,
    Event,
    HealthCheckFinished,
    MembershipUpdate,
    MessageArrived,
    MessageExpired,
    PeerMessageReceived,
    TimerFired,
    UpdateKind,
)
from honeybarrow.policy.sender import Sender
from honeybarrow.settings import (
    DestinationKind,
    Idempotency,
    MessageClass,
    Settings,
    Tenant,
    UtilityDecay,
    WeightSource,
)

__version__ = "0.4.0"
__all__ = [
    "Action",
    "AttemptFinished",
    "AttemptStatus",
    "AttemptStreaming",
    "CloseIdleConnections",
    "DestinationKind",
    "Endpoint",
    "EndpointState",
    "Event",
    "FailPermanently",
    "HealthCheckFinished",
    "Idempotency",
    "LogEvent",
    "MembershipUpdate",
    "MessageArrived",
    "MessageClass",
    "MessageExpired",
    "PeerMessageReceived",
    "ReturnToClient",
    "SendAttempt",
    "Sender",
    "SetTimer",
    "Settings",
    "Subscribe",
    "Tenant",
    "TimerFired",
    "UpdateKind",
    "UtilityDecay",
    "WeightSource",
]
