"""What the delivery core is given: submissions, the transport, and its surroundings."""

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
    """Carries calls to endpoints: the connection pool of one protocol. What a payload holds is its matter."""

    def call(
        self, target: str, addresses: Sequence[Any], payload: Any, timeout_us: int, permit: AttemptPermit
    ) -> Deferred[AttemptOutcome]:
        """Make one call; its outcome, exactly one, within the timeout in microseconds."""
        ...

    def close_idle(self, target: str) -> None:
        """Close the idle connections to an endpoint; calls in flight go on."""
        ...


def _do_nothing() -> None: ...


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as a front submits it; ``time_left_us`` is the time until its result is due.

    ``on_accepted`` is called once it is logged beyond the process, before anything of it is sent; not at all
    if the policy completes it in the turn of its arrival. ``is_resumed``: an earlier incarnation accepted it,
    so it is never rejected; ``attempts`` and ``ambiguous_age_us`` are its past, see
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
        """The event that tells the policy of it."""
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
    """Events since the start; ``outcomes`` counts attempts by their status."""

    accepted: int = 0
    rejected: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    withdrawn: int = 0
    attempts: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    def count_result(self, result: DeliveryResult) -> None:
        """Count a final result by its kind."""
        setattr(self, result.label, getattr(self, result.label) + 1)

    def count_outcome(self, status: str) -> None:
        """Count an attempt's outcome by its status."""
        self.outcomes[status] = self.outcomes.get(status, 0) + 1


@dataclass(slots=True)
class DeliveryContext:
    """The surroundings of one forwarder, shared by its parts. ``now_us`` reads monotonic microseconds."""

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
    get_shutdown_age_us: Callable[[], int | None]  # since SIGTERM; None if there was none
    counters: DeliveryCounters = field(default_factory=DeliveryCounters)

    def is_idempotent(self, class_name: str) -> bool:
        """Return whether messages of a class may run any number of times."""
        return self.sender.classes[class_name].idempotency is Idempotency.IDEMPOTENT
