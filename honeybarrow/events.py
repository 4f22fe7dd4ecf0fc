"""The events that :meth:`honeybarrow.policy.sender.Sender.handle` takes.

Times are integers in microseconds on the caller's monotone clock; durations end in ``_us``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class AttemptStatus(enum.Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"  # answered, and for good: no retry of this message can succeed


class EndpointState(enum.Enum):
    """What the endpoint list says of an endpoint; nothing of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(enum.Enum):
    """How a membership update relates to the list known before."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list. ``weight``: see :class:`honeybarrow.settings.WeightSource`."""

    target: str
    destination: int
    state: EndpointState
    kind: str = ""
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class MessageArrived:
    """A message was accepted and is owed one final result.

    One that was accepted by an earlier incarnation of the process brings its past: the attempts it has had,
    and how long ago (microseconds) the first that may have run was sent, if one was.
    """

    message: str
    class_name: str
    destination: int
    time_left_us: int
    tenant: str = ""
    order_key: int | None = None
    is_repeat: bool = False
    attempts: int = 0
    ambiguous_age_us: int | None = None


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt has its outcome; ``is_completed`` tells that the message has its final result.

    ``not_run`` tells that the caller can prove that the attempt had no effect, whatever its status:
    an error answered, or a connection lost, before the end of the message was written. The statuses
    full, connect failed, not sent and rejected prove it by themselves.
    """

    message: str
    attempt: int
    target: str
    status: AttemptStatus
    elapsed_us: int = 0
    is_completed: bool = False
    retry_after_us: int = 0
    no_slot_free: bool = False
    load_report: tuple[float, ...] = ()
    not_run: bool = False


@dataclass(slots=True, frozen=True)
class AttemptStreaming:
    """The response to an attempt has started and now belongs to the client."""

    message: str
    attempt: int
    target: str
    elapsed_us: int = 0


@dataclass(slots=True, frozen=True)
class MessageExpired:
    """The client has withdrawn this message; no final result is owed."""

    message: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the sender had asked for is due."""

    name: str


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The endpoint list, changes to it, or the notice that none can be had."""

    kind: UpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """The result of a health check. This sender starts none of its own."""

    target: str
    status: AttemptStatus
    elapsed_us: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """Bytes from another sender. This sender uses no such channel."""

    peer: int
    content: bytes = b""


@dataclass(slots=True, frozen=True)
class LogAvailability:
    """Whether the start of an attempt can be recorded now, as one that must not run twice needs."""

    is_available: bool


Event = (
    MessageArrived
    | AttemptFinished
    | AttemptStreaming
    | MessageExpired
    | TimerFired
    | MembershipUpdate
    | HealthCheckFinished
    | PeerMessageReceived
    | LogAvailability
)
