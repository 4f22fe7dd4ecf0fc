"""The settings under which the forwarders of a soak run stand, and their figures for the judge."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

DRAIN_GRACE_S = 1.0
KEY_REST_S = 0.1
CALL_SLOTS = 12
MAX_OPEN = 120
CAPACITY_PER_S = 80.0  # of each destination, all forwarders together
COLLAPSE_MULTIPLE = 2.0
COLLAPSE_WINDOW_S = 2.0
START_CAPACITY = 0.25
WARM_UP_S = 8.0


@dataclass(frozen=True, slots=True)
class SoakClass:
    """A message class, with the part of the requests that it gets."""

    name: str
    idempotency: str  # in the settings' words
    deadline_s: float
    window_s: float = 0.0
    is_ordered: bool = False
    share: float = 0.25


CLASSES = (
    SoakClass("note", "free", 3.0, share=0.3),
    SoakClass("post", "guarded", 5.0, window_s=1.5, share=0.25),
    SoakClass("pay", "single_shot", 5.0, share=0.25),
    SoakClass("step", "free", 4.0, is_ordered=True, share=0.2),
)
CLASS_BY_NAME = {each.name: each for each in CLASSES}


def wire_settings(forwarders: int) -> dict[str, Any]:
    """Return the settings object of the platform's configuration."""
    services = [
        {
            "name": each.name,
            "aimUs": int(each.deadline_s * 400_000),
            "hardLimitUs": int(each.deadline_s * 1_000_000),
            "lateShare": 0.4,
            "idempotency": each.idempotency,
            "windowUs": int(each.window_s * 1_000_000),
            "keepOrder": each.is_ordered,
        }
        for each in CLASSES
    ]
    return {
        "services": services,
        "kinds": ["shop"],
        "familyInfo": {"callSlots": CALL_SLOTS},
        "limits": {"maxOpen": MAX_OPEN, "retryAfter": True, "maxRetryAfterUs": 2_000_000, "sendCap": 8},
        "balancers": forwarders,
        "membershipMode": "on_request",
        "weightSource": "nominal",
        "guarantees": {
            "drainGraceUs": int(DRAIN_GRACE_S * 1e6),
            "settleAfterDoubtUs": int(KEY_REST_S * 1e6),
            "fallMultiple": COLLAPSE_MULTIPLE,
            "fallUs": int(COLLAPSE_WINDOW_S * 1e6),
            "startCapacity": START_CAPACITY,
            "coldUs": int(WARM_UP_S * 1e6),
            "askWithinUs": 4_000_000,
        },
    }
