"""Message classes and settings of the forwarders in a soak run, shared with the rule checker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

DRAIN_GRACE_S = 1.0
ORDER_KEY_PAUSE_S = 0.1  # after an ambiguous call, before the next call of the same order key
CALL_SLOTS = 12
MAX_OPEN = 120
MAX_ATTEMPTS = 8  # of each message
CAPACITY_PER_S = 80.0  # of each destination, for all forwarders together
COLLAPSE_MULTIPLE = 2.0  # load at which a destination collapses, as a multiple of its capacity
COLLAPSE_WINDOW_S = 2.0  # over which the load is averaged
START_CAPACITY = 0.25  # fraction of the capacity right after an outage
WARM_UP_S = 8.0  # from START_CAPACITY to full capacity


@dataclass(frozen=True, slots=True)
class SoakClass:
    """A message class and its share of the traffic."""

    name: str
    idempotency: str  # "free", "guarded" or "single_shot"
    deadline_s: float
    window_s: float = 0.0  # idempotency window of "guarded"
    is_ordered: bool = False
    traffic_share: float = 0.25


CLASSES = (
    SoakClass("note", "free", 3.0, traffic_share=0.3),
    SoakClass("post", "guarded", 5.0, window_s=1.5, traffic_share=0.25),
    SoakClass("pay", "single_shot", 5.0, traffic_share=0.25),
    SoakClass("step", "free", 4.0, is_ordered=True, traffic_share=0.2),
)
CLASS_BY_NAME = {message_class.name: message_class for message_class in CLASSES}


def make_forwarder_settings(forwarders: int, is_pushed: bool = False) -> dict[str, Any]:
    """Return the ``settings`` object of the configuration file for a fleet of ``forwarders``.

    ``is_pushed`` tells that endpoint lists are pushed rather than asked for.
    """
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
        "limits": {
            "maxOpen": MAX_OPEN,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "sendCap": MAX_ATTEMPTS,
        },
        "balancers": forwarders,
        "membershipMode": "pushed" if is_pushed else "on_request",
        "weightSource": "nominal",
        "guarantees": {
            "drainGraceUs": int(DRAIN_GRACE_S * 1e6),
            "settleAfterDoubtUs": int(ORDER_KEY_PAUSE_S * 1e6),
            "fallMultiple": COLLAPSE_MULTIPLE,
            "fallUs": int(COLLAPSE_WINDOW_S * 1e6),
            "startCapacity": START_CAPACITY,
            "coldUs": int(WARM_UP_S * 1e6),
            "askWithinUs": 4_000_000,
        },
    }
