"""Copies of what a stand-in sends: the same bytes again after a delay, whole or in part."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

COPY_DELAYS_S = (0.0, 0.001, 0.004, 0.01, 0.03, 0.1, 0.3, 1.0)
MIN_CUT_BYTES = 4


class CopyForm(enum.StrEnum):
    """What arrives of a copy."""

    WHOLE = "whole"
    TWICE = "twice"  # two whole copies, each after the delay
    PARTS = "parts"  # whole, in two writes
    CUT = "cut"  # only the first bytes


class CopyTiming(enum.StrEnum):
    """What the delay of a copy counts from."""

    AFTER_DATA = "after_data"  # from the original
    AFTER_REQUEST = "after_request"  # from the next data that arrive on the connection


@dataclass(frozen=True, slots=True)
class CopyFault:
    """Copies of a share of what is sent on a link; ``delay_s`` counts from the event of ``timing``."""

    probability: float
    delay_s: float
    form: CopyForm = CopyForm.WHOLE
    timing: CopyTiming = CopyTiming.AFTER_DATA


def draw_cut(data: bytes, rng: random.Random) -> int:
    """Return how many bytes the first part of a copy has."""
    return rng.randint(min(MIN_CUT_BYTES, len(data)), max(MIN_CUT_BYTES, len(data) - 1))
