"""Settings of a sender: message classes, kinds of destination and limits.

Durations are integers in microseconds and end in ``_us``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from honeybarrow.errors import InvalidValueError


class Idempotency(enum.Enum):
    """Effect of sending a message more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class UtilityDecay(enum.Enum):
    """Shape of the decay of a message's utility past its latency objective."""

    LINEAR = "line"
    HALVING = "halves"


class WeightSource(enum.Enum):
    """Meaning of the weight of a listed endpoint: unused, its rate limit, or an approximate rate limit."""

    NONE = "none"
    NOMINAL = "nominal"
    APPROXIMATE = "rough"


@dataclass(slots=True, frozen=True)
class MessageClass:
    """Delivery requirements of a class of messages.

    Destinations remember an idempotency key for ``key_window_us``, in all their endpoints if ``key_scope`` is
    ``all``, else only within the named scope, such as ``zone``. ``late_utility`` is the fraction of the
    utility that remains at the deadline.
    """

    name: str
    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    key_scope: str = "all"
    key_window_us: int = 0
    priority_weight: float = 1.0
    late_utility: float = 0.0
    is_ordered: bool = False


@dataclass(slots=True, frozen=True)
class DestinationKind:
    """Properties shared by destinations of one kind.

    ``max_batch_size`` is the maximum number of messages in one call. With ``has_separate_routes`` each
    endpoint is a route of its own, with its own rate limit and Retry-After.
    """

    name: str
    max_batch_size: int = 1
    has_separate_routes: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota in messages per second, over all senders together."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of a sender.

    ``start_capacity``, ``warm_up_us`` and ``collapse_*`` describe a destination that returns after an outage:
    it starts at that fraction of its capacity, reaches full capacity after the warm-up, and collapses if the
    calls within ``collapse_window_us`` exceed ``collapse_multiple`` times its capacity at that time.
    """

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    slots: int
    max_open: int
    tenants: tuple[Tenant, ...] = ()
    senders: int = 1
    utility_decay: UtilityDecay = UtilityDecay.LINEAR
    weight_source: WeightSource = WeightSource.NONE
    load_report_fields: tuple[str, ...] = ()
    over_quota_weight: float = 1.0
    max_attempts: int = 1_000_000
    allows_hedging: bool = False
    allows_retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 1_000_000
    idle_timeout_us: int = 10_000_000
    polls_endpoint_list: bool = False
    poll_interval_us: int = 0
    drain_grace_us: int = 0
    answer_grace_us: int = 0
    collapse_multiple: float = 2.0
    collapse_window_us: int = 2_000_000
    start_capacity: float = 0.2
    warm_up_us: int = 10_000_000
    order_key_cooldown_us: int = 0


def validate_settings(settings: Settings) -> None:
    """Check that settings are consistent.

    :raises InvalidValueError: for a value that is out of range or contradicts another one.
    """
    counts = {
        "slots": settings.slots,
        "max_open": settings.max_open,
        "senders": settings.senders,
        "max_attempts": settings.max_attempts,
    }
    for name, count in counts.items():
        if count < 1:
            raise InvalidValueError(f"{name} must be at least 1, got {count}")
    for item in settings.classes:
        for name in ("latency_objective_us", "key_window_us", "priority_weight", "late_utility"):
            if (value := getattr(item, name)) < 0:
                raise InvalidValueError(f"classes: {item.name}: {name} must not be negative, got {value}")
        if item.deadline_us < item.latency_objective_us:
            raise InvalidValueError(
                f"classes: {item.name}: deadline_us {item.deadline_us} is less than latency_objective_us "
                f"{item.latency_objective_us}"
            )
