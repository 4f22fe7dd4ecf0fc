"""Final results of a message: delivered, refused or failed, exactly one of them each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from honeybarrow.actions import ReturnToClient
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.mail import Reply


@dataclass(frozen=True, slots=True)
class Delivered:
    """Final result: a partner has accepted the message."""

    label: ClassVar[str] = "delivered"  # in metrics and spans
    reply: Reply | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """Final result: nothing ran that must not run again; a retry after the wait, if any, is harmless."""

    label: ClassVar[str] = "refused"
    retry_after_us: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class NotRecorded(Refused):
    """Final result: refused before it was accepted, since its acceptance can't be recorded now."""


@dataclass(frozen=True, slots=True)
class Failed:
    """Final result: failed, with no promise about the effect.

    ``reply``: a partner's permanent refusal. ``retry_within_us``: for so long the partner still drops a
    repeat of a message with an idempotency key, so that a retry by the client is harmless until then and not
    after; ``retry_after_us`` is then the wait that a refusal would give.
    """

    label: ClassVar[str] = "failed"
    reason: str = ""
    reply: Reply | None = None
    retry_within_us: int | None = None
    retry_after_us: int = 0


DeliveryResult = Delivered | Refused | Failed


def make_returned_result(action: ReturnToClient, last: AttemptOutcome | None) -> Refused | Failed:
    """The result of a message that the policy returns to its client, whose last attempt ended so."""
    reason = _explain(last)
    if action.retry_within_us is None:
        return Refused(action.retry_after_us, reason)
    # Danger: "harmless to retry" holds for an ambiguous message with an idempotency key only while its
    # partner knows the key; a client that comes later by habit would have it done twice.
    return Failed(reason, None, action.retry_within_us, action.retry_after_us)


def make_failed_result(last: AttemptOutcome | None) -> Failed:
    """The result of a message that the policy fails permanently, whose last attempt ended so."""
    is_rejected = last is not None and last.status is AttemptStatus.REJECTED
    return Failed(_explain(last), last.reply if last and is_rejected else None)


def _explain(last: AttemptOutcome | None) -> str:
    return last.reason or last.status.value if last else "not tried"
