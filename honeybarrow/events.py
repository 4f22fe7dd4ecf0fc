"""Events, the input of :meth:`honeybarrow.policy.sender.Sender.handle`.

Durations are integers in microseconds and end in ``_us``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class AttemptStatus(enum.Enum):
    """Outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected for now, by a rate limit or a closed destination; the message did not run
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"  # permanently: no retry of this message can succeed


class EndpointState(enum.Enum):
    """State of an endpoint in the endpoint list; independent of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(enum.Enum):
    """Relation of a membership update to the previous endpoint list."""

    CHANGES = "changes"  # only the endpoints that changed
    FULL = "full"  # all endpoints; others are removed
    SAVED = "saved"  # all endpoints of a list that was saved earlier and may be outdated
    FAILED = "failed"  # the request for the list failed


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the endpoint list.

    :class:`honeybarrow.settings.WeightSource` defines the meaning of ``weight``.
    """

    target: str
    destination: int
    state: EndpointState
    kind: str = ""
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class MessageArrived:
    """A message was accepted and requires one final result.

    A message recovered after a restart carries the number of its previous ``attempts``, and in
    ``ambiguous_age_us`` the time since the start of the first attempt that may have run, if there was one.
    The policy ignores ``is_repeat``, which marks a message that its client has submitted before.
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
    """An attempt has ended.

    ``is_completed`` means that the message has its final result. ``not_run`` means that the attempt provably
    had no effect whatever its status, for example because the connection was lost before the end of the
    message was written. The statuses ``FULL``, ``CONNECT_FAILED``, ``NOT_SENT`` and ``REJECTED`` imply it.
    Until ``retry_hold_us`` have passed the attempt may still be out, so the message must not be sent again.
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
    retry_hold_us: int = 0


@dataclass(slots=True, frozen=True)
class OutcomeRefuted:
    """An attempt that was reported as not run may have run; it started ``age_us`` ago."""

    message: str
    age_us: int


@dataclass(slots=True, frozen=True)
class RetryAfterReceived:
    """An endpoint has told to wait, in a response that can't be assigned to an attempt."""

    target: str
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class AttemptStreaming:
    """The response to an attempt has started and is being passed on to the client. The policy ignores it."""

    message: str
    attempt: int
    target: str
    elapsed_us: int = 0


@dataclass(slots=True, frozen=True)
class MessageExpired:
    """The message was withdrawn by its client or could not be recorded, and needs no final result."""

    message: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by :class:`honeybarrow.actions.SetTimer` has fired."""

    name: str


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The endpoint list, changes to it, or the notice that it is unavailable."""

    kind: UpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """The result of a health check made by the platform. The policy ignores it."""

    target: str
    status: AttemptStatus
    elapsed_us: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """Bytes from another sender. The policy ignores them."""

    peer: int
    content: bytes = b""


@dataclass(slots=True, frozen=True)
class LogAvailability:
    """A change in whether attempt starts can be recorded in the message log.

    Only idempotent messages are sent while they cannot.
    """

    is_available: bool


Event = (
    MessageArrived
    | AttemptFinished
    | OutcomeRefuted
    | RetryAfterReceived
    | AttemptStreaming
    | MessageExpired
    | TimerFired
    | MembershipUpdate
    | HealthCheckFinished
    | PeerMessageReceived
    | LogAvailability
)
