"""Final results of messages. Each message gets exactly one: delivered, refused or failed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from honeybarrow.actions import ReturnToClient
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus

if TYPE_CHECKING:
    from honeybarrow.mail import Reply


@dataclass(frozen=True, slots=True)
class Delivered:
    """The final result of a message that a partner has accepted."""

    label: ClassVar[str] = "delivered"  # used in metrics and spans
    reply: Reply | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The final result of a message that the client may safely retry after ``retry_after_us``."""

    label: ClassVar[str] = "refused"
    retry_after_us: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class NotRecorded(Refused):
    """The final result of a message that was not accepted because the message log can't be written."""


@dataclass(frozen=True, slots=True)
class NoTimeLeft(Refused):
    """The final result of a message whose time was over when it arrived."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The final result of a message that failed. Unless ``reply`` is set, it may have taken effect.

    ``reply`` is the reply with which a partner rejected the message permanently. ``retry_within_us`` is the
    time in which the partner still recognizes the message's idempotency key, so that the client may safely
    retry until then, but not later; ``retry_after_us`` is then the time to wait before that retry.
    """

    label: ClassVar[str] = "failed"
    reason: str = ""
    reply: Reply | None = None
    retry_within_us: int | None = None
    retry_after_us: int = 0


DeliveryResult = Delivered | Refused | Failed


def make_returned_result(action: ReturnToClient, last_outcome: AttemptOutcome | None) -> Refused | Failed:
    """Return the result of a message that the policy returns to its client after its last attempt."""
    reason = _describe(last_outcome)
    if action.retry_within_us is None:
        return Refused(action.retry_after_us, reason)
    # An ambiguous message with an idempotency key may only be retried while its partner remembers the key;
    # a later retry would execute it a second time.
    return Failed(reason, None, action.retry_within_us, action.retry_after_us)


def make_failed_result(last_outcome: AttemptOutcome | None) -> Failed:
    """Return the result of a message that the policy fails permanently after its last attempt."""
    is_rejected = last_outcome is not None and last_outcome.status is AttemptStatus.REJECTED
    return Failed(_describe(last_outcome), last_outcome.reply if last_outcome and is_rejected else None)


def _describe(last_outcome: AttemptOutcome | None) -> str:
    return last_outcome.reason or last_outcome.status.value if last_outcome else "not tried"
