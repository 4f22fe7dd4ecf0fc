"""Classifies how a call ended, following the table in ``docs/calls.md``. Pure functions without I/O.

Until the end of data has been written, the partner cannot have executed the message. From then on it may have
done so, unless its reply rejects the message.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from honeybarrow.events import AttemptStatus

if TYPE_CHECKING:
    from honeybarrow.mail import Reply


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """The connection of an attempt: its number in the process, and how many requests it has carried.

    ``response_status`` is the status that was read, also if the rest of the response did not arrive.
    """

    number: int
    requests: int
    response_status: int | None = None


class Verdict(enum.Enum):
    """What becomes of an outcome that was read from a response of uncertain origin."""

    CONFIRMED = "confirmed"
    REFUTED = "refuted"  # the response may belong to another request


class Evidence(enum.Enum):
    """What refutes an outcome."""

    SURPLUS_RESPONSE = "surplus_response"  # more responses than requests on its connection
    ENDED_RESPONSE = "ended_response"  # a later response on its connection says that a message is over
    CUT_RESPONSE = "cut_response"  # only a part of it arrived
    NO_RESPONSE = "no_response"  # to the request after it on its connection
    CONNECTION_END = "connection_end"  # soon after it


class PendingVerdict:
    """The verdict on one outcome, reported to its listener; a confirmed outcome may be refuted later."""

    def __init__(self) -> None:
        self.current: Verdict | None = None
        self.evidence: Evidence | None = None  # set once the outcome is refuted
        self._listener: Callable[[Verdict], object] | None = None

    def listen(self, listener: Callable[[Verdict], object]) -> None:
        """Report each verdict to a listener."""
        self._listener = listener

    def confirm(self) -> None:
        """Confirm the outcome."""
        self._give(Verdict.CONFIRMED)

    def refute(self, evidence: Evidence) -> None:
        """Refute the outcome; no other verdict follows."""
        if self.current is not Verdict.REFUTED:
            self.evidence = evidence
        self._give(Verdict.REFUTED)

    def _give(self, verdict: Verdict) -> None:
        if self.current in (verdict, Verdict.REFUTED):
            return
        self.current, listener = verdict, self._listener
        if verdict is Verdict.REFUTED:
            self.release()
        if listener is not None:
            listener(verdict)

    def release(self) -> None:
        """Forget the listener, since no other verdict follows.

        It refers to the message, whose last outcome refers to this verdict. The cycle would keep both in
        memory until a full garbage collection.
        """
        self._listener = None


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The outcome of one attempt.

    ``reply`` is the partner's reply, if there was one. ``not_run`` is set if the message was certainly not
    executed. ``is_over`` is set if the partner reports that the message is over or has no attempt left, so
    that it must not be sent again. ``owes_notification`` is set if its end is then still owed, or may be,
    because the report may concern another message.
    ``no_slot_free`` is set if the attempt was not sent because this forwarder has no call slot free, by its
    own count or by the partner's. ``retry_hold_us`` is the time before which the message must not be sent
    again, because the attempt may still be out. ``connection`` is for logs only. ``verdict`` is set if the
    outcome is unconfirmed.
    """

    status: AttemptStatus
    not_run: bool = False
    retry_after_us: int = 0
    load_report: tuple[float, ...] = ()
    reply: Reply | None = None
    reason: str = ""
    is_over: bool = False
    owes_notification: bool = False
    no_slot_free: bool = False
    retry_hold_us: int = 0
    connection: ConnectionUse | None = field(default=None, compare=False, repr=False)
    verdict: PendingVerdict | None = field(default=None, compare=False, repr=False)


def classify_connection_loss(is_started: bool, is_committed: bool, reason: str) -> AttemptOutcome:
    """Return the outcome of a lost connection or a protocol violation.

    ``is_committed`` tells whether the end of data has been written.
    """
    if not is_started:
        return AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason=reason)
    return AttemptOutcome(AttemptStatus.RESET, not is_committed, reason=reason)


def classify_timeout(is_started: bool, is_committed: bool) -> AttemptOutcome:
    """Return the outcome of an attempt that timed out.

    ``is_committed`` tells whether the end of data has been written.
    """
    if not is_started:
        return AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason="not connected in time")
    return AttemptOutcome(AttemptStatus.TIMEOUT, not is_committed, reason="no answer in time")
