"""Configuration of SWIM and Lifeguard: periods, timeouts and limits."""

from __future__ import annotations

from dataclasses import dataclass

from honeybarrow.errors import InvalidValueError

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Periods and timeouts in microseconds, and limits.

    The defaults suit a fleet of some hundred members on one network. Raises ``InvalidValueError`` for
    inconsistent values.
    """

    protocol_period_us: int = SECOND // 2  # time between probes
    ping_timeout_us: int = 150_000  # timeout of a direct probe
    indirect_ping_count: int = 3  # helpers per indirect probe
    suspicion_multiplier: float = 4.0  # minimum suspicion timeout, in periods times log10(members)
    max_suspicion_multiplier: float = 6.0  # maximum suspicion timeout over the minimum
    retransmit_multiplier: float = 3.0  # transmissions per update, times log2(members)
    max_updates_per_message: int = 6
    max_local_health: int = 8  # upper bound of the local health score
    push_pull_interval_us: int = 20 * SECOND
    left_retention_us: int = 60 * SECOND  # time until a departed member is removed
    max_members: int = 1000
    max_incarnation_bumps: int = 5  # per minute, before a name conflict is reported

    def __post_init__(self) -> None:
        if not 0 < self.ping_timeout_us * 2 < self.protocol_period_us:
            raise InvalidValueError(
                f"ping_timeout_us is {self.ping_timeout_us}, but must be above 0 and less than half of "
                f"protocol_period_us ({self.protocol_period_us}), for indirect probes"
            )
        for name in (
            "indirect_ping_count",
            "max_updates_per_message",
            "max_members",
            "push_pull_interval_us",
            "left_retention_us",
            "max_incarnation_bumps",
        ):
            if getattr(self, name) < 1:
                raise InvalidValueError(f"{name} is {getattr(self, name)}, but must be at least 1")
