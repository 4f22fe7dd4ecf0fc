"""Actions, the output of :meth:`honeybarrow.policy.sender.Sender.handle`, to be carried out in order.

Durations are integers in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Start an attempt.

    Where batches are allowed, the attempts of one batch of actions to one target are sent as one call.
    ``start_within_us`` is the time from now within which the last byte must be written, for example on a
    connection that has yet to be established; afterwards the attempt ends as one that did not run.
    """

    message: str
    target: str
    timeout_us: int
    start_within_us: int = 1 << 62


@dataclass(slots=True, frozen=True)
class ReturnToClient:
    """Give a final result: the message was not delivered and may safely be submitted again.

    ``retry_within_us`` limits how long that is safe, for an ambiguous message with an idempotency key;
    ``None`` means without limit.
    """

    message: str
    retry_after_us: int = 0
    retry_within_us: int | None = None


@dataclass(slots=True, frozen=True)
class FailPermanently:
    """Give a final result: the message failed and may or may not have taken effect."""

    message: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a :class:`honeybarrow.events.TimerFired` event after a delay."""

    name: str
    delay_us: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Request membership updates."""

    enable: bool = True


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this sender's idle connections to an endpoint; calls in flight are not affected."""

    target: str


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a line to the operators' log: an event name and its fields."""

    text: str = field(default="")


Action = (
    SendAttempt | ReturnToClient | FailPermanently | SetTimer | Subscribe | CloseIdleConnections | LogEvent
)
