"""Inputs of the delivery core: submissions, the transport interface, and the shared context."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.delivery.results import DeliveryResult
from honeybarrow.events import MessageArrived
from honeybarrow.message_guard import MessageGuard
from honeybarrow.policy.sender import Sender
from honeybarrow.ports import AttemptPermit, CallObserver, Clock, Logger, MessageLog, Observer
from honeybarrow.settings import Idempotency, Settings


class Transport(Protocol):
    """Sends calls to endpoints over one protocol, which defines the type of the payload."""

    def call(
        self, target: str, addresses: Sequence[Any], payload: Any, timeout_us: int, permit: AttemptPermit
    ) -> Deferred[AttemptOutcome]:
        """Start a call; the result fires with its outcome within the timeout in microseconds."""
        ...

    def close_idle(self, target: str) -> None:
        """Close the idle connections to an endpoint; calls in flight continue."""
        ...


def _do_nothing() -> None: ...


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as submitted by a front.

    ``time_left_us`` is the time until the result is due. ``on_accepted`` is called once the message has been
    logged and before it is sent; it is not called if the policy completes the message in the turn in which it
    arrives. ``is_resumed`` marks a message that an earlier incarnation accepted, which is never rejected;
    ``attempts`` and ``ambiguous_age_us`` then describe its history, see
    :class:`honeybarrow.events.MessageArrived`.
    """

    message: str
    class_name: str
    destination: int
    time_left_us: int
    payload: Any
    tenant: str = ""
    order_key: int | None = None
    is_repeat: bool = False
    on_accepted: Callable[[], None] = _do_nothing
    is_resumed: bool = False
    attempts: int = 0
    ambiguous_age_us: int | None = None

    def make_event(self) -> MessageArrived:
        """Return the event that reports the message to the policy."""
        return MessageArrived(
            self.message,
            self.class_name,
            self.destination,
            self.time_left_us,
            self.tenant,
            self.order_key,
            self.is_repeat,
            self.attempts,
            self.ambiguous_age_us,
        )


@dataclass(slots=True)
class DeliveryCounters:
    """Counts of messages and attempts since the start; ``outcomes`` maps a status to its attempts."""

    accepted: int = 0
    rejected: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    withdrawn: int = 0
    ends_notified: int = 0  # of the failed ones: an endpoint reported that they are over
    attempts: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    def count_result(self, result: DeliveryResult) -> None:
        """Count a final result by its label."""
        setattr(self, result.label, getattr(self, result.label) + 1)

    def count_outcome(self, status: str) -> None:
        """Count the outcome of an attempt by its status."""
        self.outcomes[status] = self.outcomes.get(status, 0) + 1


@dataclass(slots=True)
class DeliveryContext:
    """The dependencies of one forwarder, shared by its parts.

    ``now_us`` returns the monotonic time in microseconds. ``get_shutdown_age_us`` returns the time since
    SIGTERM, or ``None`` if the process is not shutting down.
    """

    settings: Settings
    sender: Sender
    clock: Clock
    now_us: Callable[[], int]
    transport: Transport
    get_addresses: Callable[[str], Sequence[Any]]
    log: Logger
    observer: Observer
    call_observer: CallObserver
    message_log: MessageLog
    guard: MessageGuard
    get_shutdown_age_us: Callable[[], int | None]
    counters: DeliveryCounters = field(default_factory=DeliveryCounters)

    def is_idempotent(self, class_name: str) -> bool:
        """Return whether messages of a class may be executed more than once."""
        return self.sender.classes[class_name].idempotency is Idempotency.IDEMPOTENT
