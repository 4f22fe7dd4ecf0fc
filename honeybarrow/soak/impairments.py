"""Impairment of a link by a fault of a soak run."""

from __future__ import annotations

from honeybarrow.soak.copies import CopyFault, CopyForm, CopyTiming
from honeybarrow.soak.link import Impairment
from honeybarrow.soak.plan import Fault, FaultKind


def make_impairment(fault: Fault) -> Impairment:
    """Return what a fault does to a link.

    :raises ValueError: if the fault does not name an impairment.
    """
    match fault.detail:
        case "delay":
            return Impairment(delay_s=fault.amount)
        case "silent":
            return Impairment(is_silent=True)
        case "trickle":
            return Impairment(trickle_chunk_bytes=int(fault.amount))
        case "reset":
            return Impairment(reset_probability=fault.probability)
        case "half_close":
            return Impairment(half_close_probability=fault.probability)
    if fault.kind is FaultKind.COPY:
        _, form, timing = fault.detail.split()
        copies = CopyFault(fault.probability, fault.amount, CopyForm(form), CopyTiming(timing))
        return Impairment(copies=copies)
    raise ValueError(f"unknown impairment {fault.detail!r}")
