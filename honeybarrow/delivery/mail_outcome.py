"""Classifies the replies of mail partners, following the table in ``docs/calls.md``. Pure functions."""

from __future__ import annotations

from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.mail import Phase, Reply, is_closing_notice


def classify_reply(reply: Reply, phase: Phase) -> AttemptOutcome:
    """Return the outcome of a transaction from its reply; ``phase`` is the phase that the reply ends."""
    is_final = phase is Phase.FINAL
    wait_us, load = reply.wait_ms * 1000, reply.load
    if is_final and 200 <= reply.code < 300:
        return AttemptOutcome(AttemptStatus.OK, load_report=load, reply=reply)
    if is_closing_notice(reply, phase):
        return AttemptOutcome(
            AttemptStatus.RESET, load_report=load, reply=reply, reason="closing after end of data"
        )
    if reply.is_capacity_refusal:
        return AttemptOutcome(AttemptStatus.FULL, True, wait_us, load, reply)
    if reply.is_permanent:
        return AttemptOutcome(AttemptStatus.REJECTED, True, load_report=load, reply=reply)
    return AttemptOutcome(AttemptStatus.ERROR, not is_final, load_report=load, reply=reply)


def classify_session_refusal(reply: Reply) -> AttemptOutcome:
    """Return the outcome of a refused session: full if a retry delay was advised, else a failed connect."""
    if reply.wait_ms and 400 <= reply.code < 500:
        return AttemptOutcome(AttemptStatus.FULL, True, reply.wait_ms * 1000, reply.load, reply)
    return AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reply=reply, reason="session refused")
