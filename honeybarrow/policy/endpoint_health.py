"""Endpoint health: outage detection, health checks, slow start, timeouts and idle connections.

An ejected endpoint gets one health check call at a time. An answer puts it into slow start, where calls are
spaced by :func:`call_interval_us`, so that all senders together stay within the call budget of a destination
that warms up: ``collapse_multiple`` times its present capacity.
"""

import math

from honeybarrow import sender_state as records
from honeybarrow.actions import CloseIdleConnections, LogEvent
from honeybarrow.events import AttemptFinished, AttemptStatus
from honeybarrow.policy.backoff import DEADLINE_MARGIN_US, MAX_BACKOFF_US
from honeybarrow.policy.rate_limit import known_limit, measure_demand, rate_bounds, read_load_report
from honeybarrow.sender_state import NEVER, SECOND, Call, EndpointHealth, EndpointRecord, SenderState
from honeybarrow.settings import Idempotency

INITIAL_LATENCY_US = 400_000.0  # latency estimate before the first answer
LATENCY_WEIGHT = 0.15  # weight of the newest call in the latency estimate
WARM_UP_SLOWNESS = 3.0  # latency of a destination that warms up, relative to its usual latency
MIN_RESPONSE_TIMEOUT_US = 1_200_000
RESPONSE_TIMEOUT_MULTIPLE = 5.0  # response timeout, in latencies
KEY_WINDOW_SHARE = 0.45  # share of the key window for one attempt, so that a second one fits in
MAX_FAILURE_STREAK = 3  # consecutive failures that eject an endpoint
MAX_ERROR_SHARE = 0.5  # share of recent calls answered with errors that ejects an endpoint
ERROR_WEIGHT = 0.15  # weight of the newest call in that share
MAX_LIMIT_PERIOD_US = 2_200_000  # rejections for longer than this mean a closed destination, not a rate limit
MIN_CLOSED_REJECTIONS = 3  # fewest consecutive rejections of a closed destination
RECOVERY_MARGIN = 0.7  # usable share of the call budget of a returning destination; the rest covers variance
HEALTH_CHECK_INTERVAL_US = (300_000, 750_000)  # minimum, and maximum for each sender
OUTAGE_AGE_MULTIPLE = 8.0  # cap on the interval between health checks, relative to the age of the outage
MIN_OUTAGE_US = 3_000_000  # an outage shorter than this may be a chance failure
MIN_OUTAGE_LOSSES = 6  # slow losses that prove an outage however short it was
MAX_SMALL_FLEET_SENDERS = 12  # up to this many senders, failures are not followed by a randomized backoff
FAILURE_BACKOFF_MULTIPLE = 2.0  # backoff after a failure, relative to the time since the first failure
# Backoff relative to the time that a failed connect took. It is long, because most senders of a large fleet
# see no other failure of a silent destination before it returns.
SLOW_CONNECT_BACKOFF_MULTIPLE = 8.0
ANSWERS_PER_EVIDENCE = 15  # answers, by sender, that outweigh one sign of a full connection table
MIN_STALE_IDLE_US = 400_000  # idle time after which a connection may have been dropped without notice
STALE_PERIOD_US = 15_000_000  # how long idle connections are closed after such a drop


def latency_multiple(endpoint: EndpointRecord) -> float:
    """Return the factor by which calls may exceed the usual latency in the present state of health."""
    return 1.0 if endpoint.health is EndpointHealth.HEALTHY else WARM_UP_SLOWNESS


def response_timeout_us(endpoint: EndpointRecord) -> int:
    """Return the time after which a call without a response counts as lost."""
    # Longer during warm-up, when slow answers would otherwise count as losses.
    usual = max(MIN_RESPONSE_TIMEOUT_US, RESPONSE_TIMEOUT_MULTIPLE * endpoint.latency_us)
    return int(usual * latency_multiple(endpoint))


def min_useful_us(destination: records.Destination) -> int:
    """Return the shortest time before expiry with which an attempt is worth starting."""
    latencies = [e.latency_us for e in destination.endpoints if e.is_usable]
    return int(min(latencies, default=INITIAL_LATENCY_US)) + DEADLINE_MARGIN_US


def expected_duration_us(destination: records.Destination, latencies: float) -> int:
    """Return the expected time of the given number of latencies in the present state of health."""
    usual = [e.latency_us * latency_multiple(e) for e in destination.endpoints if e.is_usable]
    return int(min(usual, default=INITIAL_LATENCY_US) * latencies) + DEADLINE_MARGIN_US


def attempt_timeout_us(state: SenderState, message: records.Message, call: Call) -> int:
    """Return the timeout of an attempt: half the time left, so that a lost call leaves time for a retry.

    It is further capped by the response timeout for messages that may be retried: idempotent ones, and keyed
    ones if the response timeout fits into the key window.
    """
    left, spec = message.expires_us - state.now - DEADLINE_MARGIN_US, message.message_class
    half = max(left // 2, min(left, min_useful_us(message.destination)))
    timeout = response_timeout_us(call.endpoint)
    window = min(message.ambiguous_since_us, state.now) + spec.key_window_us - state.now
    fits = spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and int(window * KEY_WINDOW_SHARE) >= timeout
    return min(half, timeout) if fits or spec.idempotency is Idempotency.IDEMPOTENT else half


def destination_opens_us(state: SenderState, destination: records.Destination) -> int:
    """Return the earliest time at which one of the destination's endpoints is open."""
    return min((opens_us(state, e) for e in destination.endpoints if e.is_usable), default=NEVER)


def scope_opens_us(scope: records.RateLimitScope) -> int:
    """Return when Retry-After, failure backoff and rate limit of a scope permit the next call."""
    return max(scope.retry_after_until_us, scope.failure_backoff_until_us, scope.limiter.next_send_us())


def opens_us(state: SenderState, endpoint: EndpointRecord) -> int:
    """Return when scope and health permit the next call to an endpoint."""
    return max(scope_opens_us(endpoint.scope), health_opens_us(state, endpoint))


def health_opens_us(state: SenderState, endpoint: EndpointRecord) -> int:
    """Return when the health of an endpoint permits the next call; eject the endpoint if it is silent."""
    if endpoint.health is EndpointHealth.HEALTHY:
        # Ejects on the first late call. Waiting for timeouts would let calls pile up and hold the slots.
        call, answered_us = endpoint.calls[0] if endpoint.calls else None, endpoint.answered_call_sent_us
        if not call or not answered_us < call.sent_us < state.now - response_timeout_us(endpoint):
            return state.now
        endpoint.outage_since_us = min(endpoint.outage_since_us, call.sent_us)
        eject(state, endpoint, "silence")
    lost_us = max(endpoint.health_since_us, state.now - response_timeout_us(endpoint))
    is_checked = any(call.sent_us > lost_us for call in endpoint.calls)  # older health checks are lost
    is_ejected = endpoint.health is not EndpointHealth.SLOW_START
    return NEVER if is_checked and is_ejected else endpoint.next_call_us


def change_health(endpoint: EndpointRecord, health: EndpointHealth, now: int) -> None:
    """Set the health of an endpoint as of ``now`` and reset its failure streak."""
    endpoint.health, endpoint.health_since_us, endpoint.failure_streak = health, now, 0
    if health is EndpointHealth.HEALTHY:
        endpoint.outage_since_us = NEVER


def eject(state: SenderState, endpoint: EndpointRecord, reason: str) -> None:
    """Eject an endpoint, so that it gets health check calls only; log ``reason``."""
    if endpoint.health is EndpointHealth.EJECTED:
        return
    state.actions.append(LogEvent(f"endpoint_ejected target={endpoint.target} reason={reason}"))
    state.changed_destinations[endpoint.destination.index] = endpoint.destination
    endpoint.outage_since_us = min(endpoint.outage_since_us, state.now)
    change_health(endpoint, EndpointHealth.EJECTED, state.now)
    later = state.now + int(call_interval_us(state, endpoint) * state.rng.uniform(0.2, 1.0))
    endpoint.next_call_us = (
        endpoint.scope.failure_backoff_until_us if endpoint.scope.announced_reopen_us < NEVER else later
    )


def failure_backoff_until_us(state: SenderState, scope: records.RateLimitScope, silent_us: int = 0) -> int:
    """Return a random time for the next call to a scope after a failure or a Retry-After.

    A cold destination would collapse if all senders sent the backlog of an outage at its end. Calls are
    spread in proportion to the returning capacity: over the warm-up if the reopening was announced, else over
    the time in which half of the call budget covers the arrivals since the first failure, or one call of each
    sender if that is shorter. ``silent_us`` is how long a failed connect took beyond the usual latency.
    """
    settings, warm_up = state.settings, state.settings.warm_up_us / SECOND
    start = settings.start_capacity
    slope = max(0.0, 1.0 - start) / max(warm_up, 1e-6)
    limit, is_large_fleet = known_limit(state, scope), settings.senders > MAX_SMALL_FLEET_SENDERS
    opens_us = max(state.now, scope.retry_after_until_us)
    wait_us = max(
        FAILURE_BACKOFF_MULTIPLE * (opens_us - min(scope.failing_since_us, opens_us)),
        SLOW_CONNECT_BACKOFF_MULTIPLE * silent_us,
    )
    # From the next call that the rate limiter permits, since it is the same for senders rejected together.
    permitted_us = max(opens_us, scope.limiter.next_send_us() if is_large_fleet else 0)
    wait_us, opens_us = max(wait_us, permitted_us - opens_us), permitted_us
    wait_s = wait_us * (is_large_fleet / SECOND)
    wait_s = min(wait_s, FAILURE_BACKOFF_MULTIPLE * (settings.senders - 1) / limit) if limit > 0 else wait_s
    # Area under the capacity ramp of the whole warm-up, and the part of it over which to spread.
    area = start * warm_up + slope * warm_up * warm_up / 2
    is_announced = scope.announced_reopen_us < NEVER
    spread = area if is_announced else min(area, wait_s / (RECOVERY_MARGIN * settings.collapse_multiple))
    capacity = math.sqrt(start * start + 2 * slope * spread * state.rng.random())
    return opens_us + int((capacity - start) / max(slope, 1e-6) * SECOND)


def call_interval_us(state: SenderState, endpoint: EndpointRecord) -> int:
    """Return the interval of calls to an unhealthy endpoint: this sender's share of the call budget."""
    settings, scope = state.settings, endpoint.scope
    is_slow_start = endpoint.health is EndpointHealth.SLOW_START
    share = known_limit(state, scope) / settings.senders / max(1, sum(e.is_usable for e in scope.endpoints))
    warm_us = state.now - endpoint.health_since_us if is_slow_start else settings.collapse_window_us / 2
    start = settings.start_capacity
    capacity = min(1.0, start + (1.0 - start) * warm_us / max(1, settings.warm_up_us))
    rate = RECOVERY_MARGIN * settings.collapse_multiple * capacity * share
    # Capped by the age of the outage, since the share of one of many senders may be less than one call in the
    # lifetime of a message.
    max_by_age_us = max(MAX_BACKOFF_US, OUTAGE_AGE_MULTIPLE * (state.now - endpoint.outage_since_us))
    high_us = min(max_by_age_us, HEALTH_CHECK_INTERVAL_US[1] * max(2, settings.senders))
    low_us = 0 if is_slow_start else HEALTH_CHECK_INTERVAL_US[0]
    return int(min(max(SECOND / max(rate, 1e-6), low_us), high_us) * state.rng.uniform(0.8, 1.2))


def close_idle_connections(state: SenderState, endpoint: EndpointRecord) -> None:
    """Request that idle connections be closed unless the next call is expected before the idle timeout.

    They are also closed where they fill a small connection table, or may have been dropped without notice.
    """
    destination = endpoint.destination
    demand = measure_demand(destination, state.now, 0.0)
    is_rare = demand * state.settings.idle_timeout_us < SECOND * len(destination.endpoints)
    is_crowded = is_rare or state.connection_evidence.get(destination.kind.name, 0) > 0
    is_stale = endpoint.has_idle_loss or state.now < state.stale_until_us
    endpoint.keeps_connections = not (is_crowded or is_stale)
    if not endpoint.calls and not endpoint.keeps_connections:
        state.actions.append(CloseIdleConnections(endpoint.target))


def record_outcome(state: SenderState, call: Call, event: AttemptFinished) -> None:
    """Update rate limit and endpoint health from the outcome of a call."""
    endpoint, scope, status = call.endpoint, call.endpoint.scope, event.status
    read_load_report(state, scope, event.load_report)
    is_newest = call.sent_us >= endpoint.answered_call_sent_us  # no later call has been answered
    endpoint.error_share += ERROR_WEIGHT * ((status is AttemptStatus.ERROR) - endpoint.error_share)
    if status in (AttemptStatus.OK, AttemptStatus.REJECTED):
        _on_answer(state, call, status)
        return
    # A loss on an idle connection most likely means a dropped connection and is no evidence of an outage.
    is_idle_loss = status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET) and call.is_on_idle_connection
    endpoint.has_idle_loss |= is_idle_loss
    if status is AttemptStatus.CONNECT_FAILED:
        endpoint.last_connect_failure_us = state.now
    is_outage_evidence = is_newest and not is_idle_loss
    if is_outage_evidence:
        scope.failing_since_us = min(scope.failing_since_us, call.sent_us)
    if status is AttemptStatus.FULL:
        _on_full(state, call, event.retry_after_us)
    else:
        _on_loss(state, call, status, is_outage_evidence)
    if status not in (AttemptStatus.FULL, AttemptStatus.ERROR):  # errors count by error_share
        # A failed connect counts twice unless a full connection table explains it.
        is_full = endpoint.calls or state.connection_evidence.get(endpoint.destination.kind.name, 0) > 0
        is_sure = status is AttemptStatus.CONNECT_FAILED and not is_full
        endpoint.failure_streak += is_newest * (MAX_FAILURE_STREAK - 1 if is_sure else 1)
    if endpoint.health is EndpointHealth.EJECTED:
        endpoint.next_call_us = max(endpoint.next_call_us, scope.failure_backoff_until_us)
        return
    if status is not AttemptStatus.FULL:
        endpoint.outage_since_us = min(endpoint.outage_since_us, call.sent_us)
    if endpoint.failure_streak >= MAX_FAILURE_STREAK or endpoint.error_share > MAX_ERROR_SHARE:
        eject(state, endpoint, status.value)


def _on_full(state: SenderState, call: Call, retry_after_us: int) -> None:
    """Lower the rate of the scope after FULL; eject its endpoints if the destination is closed."""
    scope = call.endpoint.scope
    scope.limiter.on_rejection(state.now, call.sent_us, rate_bounds(state, call.endpoint))
    scope.rejecting_since_us = min(scope.rejecting_since_us, state.now)
    scope.rejection_streak += 1
    # Rejections or a Retry-After that outlast the period of a rate limit mean a closed destination. It counts
    # as an outage, since it reopens cold for all senders at once.
    rejecting_us = state.now - scope.rejecting_since_us
    is_closed = scope.rejection_streak >= MIN_CLOSED_REJECTIONS and rejecting_us > MAX_LIMIT_PERIOD_US
    is_announced = retry_after_us > MAX_LIMIT_PERIOD_US
    scope.announced_reopen_us = scope.retry_after_until_us if is_announced else NEVER
    scope.failure_backoff_until_us = failure_backoff_until_us(state, scope)
    for endpoint in scope.endpoints if is_closed or is_announced else ():
        eject(state, endpoint, "rejects_all")


def _on_loss(state: SenderState, call: Call, status: AttemptStatus, is_outage_evidence: bool) -> None:
    """Count a failed or lost call; set the failure backoff of the scope if it suggests an outage."""
    endpoint, scope = call.endpoint, call.endpoint.scope
    scope.announced_reopen_us = NEVER
    late_us = max(0, state.now - call.sent_us - int(endpoint.latency_us))
    is_slow = late_us >= endpoint.latency_us * (state.settings.senders > MAX_SMALL_FLEET_SENDERS)
    endpoint.slow_loss_streak += is_outage_evidence and is_slow and status is not AttemptStatus.ERROR
    if is_outage_evidence:
        silent_us = late_us if status is AttemptStatus.CONNECT_FAILED else 0
        scope.failure_backoff_until_us = failure_backoff_until_us(state, scope, silent_us)


def _on_answer(state: SenderState, call: Call, status: AttemptStatus) -> None:
    """Update latency, rate and health from an answered call."""
    endpoint, scope, now = call.endpoint, call.endpoint.scope, state.now
    # Permanent rejections (REJECTED) are faster than deliveries and would lower the latency estimate.
    took_us = now - call.sent_us if status is AttemptStatus.OK else endpoint.latency_us
    endpoint.answered_call_sent_us = max(endpoint.answered_call_sent_us, call.sent_us)
    endpoint.latency_us += LATENCY_WEIGHT * (took_us - endpoint.latency_us)
    endpoint.failure_streak = 0
    is_young = now - endpoint.outage_since_us < MIN_OUTAGE_US
    # A short outage counts as chance, without slow start, unless enough calls were lost slowly or a sibling
    # is in slow start. Fast failures do not count, since they are typical of full connection tables.
    lost = sum(e.slow_loss_streak + sum(c.sent_us < call.sent_us for c in e.calls) for e in scope.endpoints)
    has_returning = any(e.health is EndpointHealth.SLOW_START for e in scope.endpoints)
    is_chance = is_young and lost + MIN_OUTAGE_LOSSES * has_returning < MIN_OUTAGE_LOSSES
    endpoint.slow_loss_streak = 0
    _update_connection_evidence(state, endpoint, is_young)
    if endpoint.health is EndpointHealth.HEALTHY:
        endpoint.outage_since_us = NEVER
    scope.failing_since_us, scope.rejecting_since_us, scope.rejection_streak = NEVER, NEVER, 0
    scope.limiter.on_success(rate_bounds(state, endpoint))
    is_slow_start = endpoint.health is EndpointHealth.SLOW_START
    if is_slow_start and now - endpoint.health_since_us >= state.settings.warm_up_us:
        change_health(endpoint, EndpointHealth.HEALTHY, now)
        state.actions.append(LogEvent(f"endpoint_recovered target={endpoint.target}"))
    if endpoint.health is EndpointHealth.EJECTED and not is_chance:
        change_health(endpoint, EndpointHealth.SLOW_START, min(now, scope.announced_reopen_us))
        endpoint.next_call_us = now
        state.actions.append(LogEvent(f"slow_start_began target={endpoint.target}"))
    elif endpoint.health is EndpointHealth.EJECTED:
        change_health(endpoint, EndpointHealth.HEALTHY, now)


def _update_connection_evidence(state: SenderState, endpoint: EndpointRecord, is_young: bool) -> None:
    """Weigh an answer against failures before it that suggest full tables or dropped connections."""
    has_full_table = is_young and endpoint.last_connect_failure_us >= endpoint.outage_since_us
    is_stale = is_young and endpoint.has_idle_loss
    for key, was_seen in ((endpoint.destination.kind.name, has_full_table), (None, is_stale)):
        weight = state.connection_evidence[key] + was_seen - 1 / ANSWERS_PER_EVIDENCE / state.settings.senders
        state.connection_evidence[key] = min(10, max(-2, weight))
    endpoint.last_connect_failure_us, endpoint.has_idle_loss = 0, False
    if is_stale and state.connection_evidence[None] > 0:
        state.stale_until_us = state.now + STALE_PERIOD_US
