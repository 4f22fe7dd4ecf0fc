"""Adaptive rate limiting of each scope by additive increase and multiplicative decrease (AIMD).

The rate is unlimited until the first rejection. Where the limit of the destination is known, from the
endpoint list or from load reports, the rate stays near this sender's share of it.
"""

import math
from dataclasses import dataclass, field

from honeybarrow.policy.backoff import MAX_BACKOFF_US
from honeybarrow.sender_state import NEVER, SECOND, Destination, EndpointRecord, RateLimitScope, SenderState
from honeybarrow.settings import WeightSource

RATE_INCREASE = 0.15  # calls per second added on each success
# Cap on that increase, relative to the rate; at a small rate half of all calls would be rejected without it.
MAX_RELATIVE_INCREASE = 0.2
# Increase on a success below the lower bound, relative to that bound: two successes lead back to it.
RECOVERY_SHARE = 0.5
# Lowest upper bound of a rate, in calls per second. Below it a message would expire before its turn, and the
# retry backoff limits the calls of the sender anyway.
MIN_RATE_CEILING = SECOND / MAX_BACKOFF_US / 2
MIN_RATE = 0.05  # calls per second; keeps enough calls to notice that a destination has recovered
BURST_S = 0.4  # burst size of the token bucket, in seconds of its rate
TOKENS_PER_CALL = 0.999  # slightly below 1, to tolerate rounding of the refill
# Reports are averaged: a single one shows one moment of a limit period, in which the limit may seem unused.
REMAINING_WEIGHT = 0.05  # weight of the newest report in the moving average
INITIAL_REMAINING_SHARE = 0.5
LIMIT_BAND = (0.6, 1.3)  # lower and upper bound of the rate, relative to this sender's share of the limit
DEMAND_WINDOW_US = 8_000_000  # time constant of the demand average
APPROXIMATE_SHARE = 0.67  # usable share of a listed limit that is approximate


@dataclass(slots=True)
class RateLimiter:
    """A token bucket whose rate adapts to rejections and successes.

    ``rate`` is in calls per second; ``None`` means unlimited. ``recent_sends`` are the send times of the last
    second, ``last_cut_us`` the time of the last rate decrease.
    """

    rate: float | None = None
    tokens: float = 1.0
    refilled_us: int = 0
    last_cut_us: int = -1
    recent_sends: list[int] = field(default_factory=list)

    def record_send(self, now: int) -> None:
        """Consume the token of a call sent now."""
        self.recent_sends = [at for at in self.recent_sends if at > now - SECOND] + [now]
        self._refill(now)
        self.tokens -= 1.0

    def _refill(self, now: int) -> None:
        rate = self.rate or 0.0
        self.tokens = min(max(1.0, rate * BURST_S), self.tokens + rate * (now - self.refilled_us) / SECOND)
        self.refilled_us = now

    def next_send_us(self) -> int:
        """Return the time at which a token becomes available, possibly past; 0 if one was left over."""
        if self.rate is None or self.tokens >= TOKENS_PER_CALL:
            return 0
        return self.refilled_us + int((TOKENS_PER_CALL - self.tokens) / self.rate * SECOND) + 1

    def on_rejection(self, now: int, sent_us: int, bounds: tuple[float, float]) -> None:
        """Halve the rate, at most once per round trip.

        A rejection of a call sent before the last decrease is ignored, since it does not show the effect of
        the new rate. ``bounds`` are those of :func:`rate_bounds`.
        """
        if sent_us <= self.last_cut_us:
            return
        before = self.rate or max(1.0, float(sum(at > now - SECOND for at in self.recent_sends)))
        self._refill(now)
        self.tokens = self.tokens if self.rate else 0.0
        # The rate may fall below its lower bound, since the actual limit may be far below the listed one, but
        # not to zero, since only successful calls raise it again.
        self.rate = max(MIN_RATE, bounds[0] / 4, min(before / 2, bounds[1]))
        self.last_cut_us = now

    def on_success(self, bounds: tuple[float, float]) -> None:
        """Raise the rate, faster while it is below its lower bound."""
        if self.rate is not None:
            step = min(RATE_INCREASE, MAX_RELATIVE_INCREASE * max(self.rate, bounds[0]))
            step = max(step, RECOVERY_SHARE * bounds[0] if self.rate < bounds[0] else 0.0)
            self.rate = min(self.rate + step, bounds[1])


def new_scope() -> RateLimitScope:
    """Return a scope in its initial state."""
    return RateLimitScope(RateLimiter(), INITIAL_REMAINING_SHARE)


def measure_demand(destination: Destination, now: int, arrivals: float = 1.0) -> float:
    """Add arrivals to the exponentially weighted demand; return it in messages per second."""
    fade = math.exp((destination.demand_updated_us - now) / DEMAND_WINDOW_US)
    destination.demand = destination.demand * fade + arrivals * SECOND / DEMAND_WINDOW_US
    destination.demand_updated_us = now
    return destination.demand


def known_limit(state: SenderState, scope: RateLimitScope) -> float:
    """Return the limit of a scope over all senders, in calls per second; 0 if it is unknown."""
    is_nominal = state.settings.weight_source is WeightSource.NOMINAL
    return scope.reported_limit or scope.listed_limit * (1.0 if is_nominal else APPROXIMATE_SHARE)


def read_load_report(state: SenderState, scope: RateLimitScope, report: tuple[float, ...]) -> None:
    """Update the limit of a scope and its remaining share from the fields that a load report has."""
    if 0 <= state.limit_field_index < len(report):
        scope.reported_limit = report[state.limit_field_index] or scope.reported_limit
    if 0 <= state.remaining_field_index < len(report):
        remaining = min(1.0, max(0.0, report[state.remaining_field_index]))
        scope.remaining_share += REMAINING_WEIGHT * (remaining - scope.remaining_share)


def rate_bounds(state: SenderState, endpoint: EndpointRecord) -> tuple[float, float]:
    """Return the lower and upper bound of the rate, in calls per second.

    Without a known limit the rate is unbounded. The share of this sender is the larger of an even split among
    all senders and, where load reports tell the total use, its own part of that use. An even split alone
    would starve a busy sender whose peers are idle.
    """
    scope, even = endpoint.scope, 1.0 / state.settings.senders
    used, demand_share = scope.reported_limit * max(1.0 - scope.remaining_share, even), 0.0
    if used > 0 <= state.remaining_field_index:
        demand_share = min(1.0, measure_demand(endpoint.destination, state.now, 0.0) / used)
    limit_share = (scope.reported_limit or scope.listed_limit) * max(even, demand_share)
    low, high = limit_share * LIMIT_BAND[0], max(MIN_RATE_CEILING, limit_share * LIMIT_BAND[1])
    return (low, high) if limit_share > 0 else (0.0, float(NEVER))
