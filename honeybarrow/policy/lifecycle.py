"""Message lifecycle: arrival, attempt outcomes, retries, load shedding and the final result."""

import heapq
import itertools
from collections import deque

from honeybarrow import sender_state
from honeybarrow.actions import FailPermanently, ReturnToClient
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    MessageArrived,
    OutcomeRefuted,
    RetryAfterReceived,
)
from honeybarrow.policy import backoff, endpoint_health
from honeybarrow.policy.backoff import DEADLINE_MARGIN_US, can_return, latest_start_us
from honeybarrow.policy.endpoint_health import min_useful_us
from honeybarrow.policy.rate_limit import measure_demand, new_scope
from honeybarrow.sender_state import SECOND, Call, Message, SenderState, add_waiting, complete
from honeybarrow.settings import Idempotency

MAX_OPEN_SHARE = 0.95  # share of max_open above which load is shed
QUOTA_BURST_S = 3.0  # burst size of a tenant quota, in seconds of its rate
AMBIGUOUS_STATUSES = (
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
)


def on_message_arrived(state: SenderState, event: MessageArrived) -> None:
    """Accept a message and queue it for sending.

    :raises ValueError: if a message of this id is open, or if the message class is unknown.
    """
    if event.message in state.messages:
        raise ValueError(f"message {event.message!r} is given twice")
    spec = state.classes.get(event.class_name)
    if spec is None:
        raise ValueError(f"message {event.message!r} has the unknown class {event.class_name!r}")
    destination = sender_state.get_or_create_destination(state, event.destination, "", new_scope)
    measure_demand(destination, state.now)
    expires_us = state.now + event.time_left_us
    weight = _quota_weight(state, event.tenant) * spec.priority_weight
    message = Message(
        event.message, spec, destination, expires_us - spec.deadline_us, expires_us, weight, state.arrivals,
        (spec.name, weight), attempts=[None] * event.attempts,
    )  # fmt: skip
    if event.ambiguous_age_us is not None:
        message.ambiguous_since_us = state.now - event.ambiguous_age_us
    state.messages[message.id] = message
    state.arrivals += 1
    state.open_messages += 1
    add_waiting(state, message)
    if spec.is_ordered and event.order_key is not None:
        message.order_key = event.order_key
        state.order_queues.setdefault(event.order_key, deque()).append(message)
    _schedule_deadline_check(state, message)


def _quota_weight(state: SenderState, tenant: str) -> float:
    """Take a token of the tenant's quota; return the weight factor of its next message.

    The factor is 1 within the quota, else ``over_quota_weight``.
    """
    quota = state.quotas.get(tenant)
    if quota is None:
        return 1.0
    earned = quota.rate * (state.now - quota.refilled_us) / SECOND
    tokens = min(QUOTA_BURST_S * quota.rate + 1.0, quota.tokens + earned)
    is_within_quota = tokens >= 1.0
    quota.tokens, quota.refilled_us = tokens - is_within_quota, state.now
    return 1.0 if is_within_quota else state.settings.over_quota_weight


def on_attempt_finished(state: SenderState, event: AttemptFinished) -> None:
    """Record the outcome of an attempt, then complete its message or schedule a retry."""
    message = state.messages.get(event.message)
    call = (message.attempts[event.attempt : event.attempt + 1] or [None])[0] if message else None
    if message is None or call is None:
        return
    state.changed_destinations[message.destination.index] = message.destination
    message.attempts[event.attempt] = None
    message.in_flight -= 1
    call.open_attempts -= 1
    if call.open_attempts == 0:
        state.slots_used -= 1
        call.endpoint.calls.remove(call)
        call.endpoint.idle_since_us = state.now
    if event.status in AMBIGUOUS_STATUSES and not event.not_run:
        _record_ambiguous(state, message, call, event.status)
    scope = call.endpoint.scope
    scope.retry_after_until_us = max(scope.retry_after_until_us, state.now + event.retry_after_us)
    if not call.is_outcome_recorded and event.status not in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
        call.is_outcome_recorded = True
        endpoint_health.record_outcome(state, call, event)
    endpoint_health.close_idle_connections(state, call.endpoint)
    message.is_rejected |= event.status is AttemptStatus.REJECTED
    if event.is_completed or message.is_completed:
        complete(state, message)
    elif message.is_rejected:
        give_final_result(state, message)
    else:
        _retry(state, message, event.retry_hold_us)


def _record_ambiguous(state: SenderState, message: Message, call: Call, status: AttemptStatus) -> None:
    """Record that an attempt may have run; a lost one also starts the cooldown of its order key."""
    if call.sent_us < message.ambiguous_since_us:
        message.ambiguous_since_us, message.ambiguous_zone = call.sent_us, call.endpoint.zone
    if message.order_key is not None and status is not AttemptStatus.ERROR:
        state.key_cooldowns = {key: at for key, at in state.key_cooldowns.items() if at > state.now}
        state.key_cooldowns[message.order_key] = state.now + state.settings.order_key_cooldown_us
        heapq.heappush(state.message_timers, (state.key_cooldowns[message.order_key], message.id))


def on_outcome_refuted(state: SenderState, event: OutcomeRefuted) -> None:
    """Record that an attempt may have run after all; its message may have no retry left."""
    message = state.messages.get(event.message)
    if message is None or message.is_completed:
        return
    message.ambiguous_since_us = min(message.ambiguous_since_us, state.now - event.age_us)
    if message.in_flight == 0:
        _schedule_deadline_check(state, message)


def on_retry_after(state: SenderState, event: RetryAfterReceived) -> None:
    """Stop sending to an endpoint, or all of its destination, for the time it has told to wait."""
    endpoint = state.endpoints.get(event.target)
    if endpoint is None:
        return
    scope = endpoint.scope
    scope.retry_after_until_us = max(scope.retry_after_until_us, state.now + event.retry_after_us)
    state.changed_destinations[endpoint.destination.index] = endpoint.destination


def _retry(state: SenderState, message: Message, hold_us: int) -> None:
    """Schedule a retry after a failed attempt, or give the final result if a cap is reached.

    The soft cap applies only after the minimum number of retries; the hard cap and ``max_attempts`` always.
    """
    retries, spec = len(message.attempts), message.message_class
    at = state.now + max(hold_us, backoff.backoff_us(retries, state.rng))
    is_past_objective = at > message.created_us + spec.latency_objective_us
    is_soft_capped = retries > state.min_retries[spec.name] and is_past_objective
    is_hard_capped = at > latest_start_us(message, min_useful_us(message.destination))
    if retries >= state.settings.max_attempts or is_soft_capped or is_hard_capped:
        give_final_result(state, message)
        return
    message.retry_at_us = at
    add_waiting(state, message)
    heapq.heappush(state.message_timers, (message.retry_at_us, message.id))
    _schedule_deadline_check(state, message)


def give_final_result(state: SenderState, message: Message) -> None:
    """Complete a message without delivery: return it to its client if that is harmless, else fail it.

    No other function gives such a result.
    """
    if message.in_flight == 0 and can_return(message):
        destination, spec = message.destination, message.message_class
        max_retry_after_us = state.settings.max_retry_after_us * state.settings.allows_retry_after
        rate = max((each.scope.limiter.rate or 0.0 for each in destination.endpoints), default=0.0)
        queue_us = int(len(destination.waiting) / rate * SECOND) if rate else 0
        opens_us = endpoint_health.destination_opens_us(state, destination) - state.now
        retry_after_us = min(max(opens_us, queue_us, backoff.INITIAL_BACKOFF_US), max_retry_after_us)
        is_keyed = backoff.is_ambiguous(message) and spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        left_us = message.ambiguous_since_us + spec.key_window_us - DEADLINE_MARGIN_US - state.now
        retry_within_us = max(0, left_us) if is_keyed else None
        state.actions.append(ReturnToClient(message.id, retry_after_us, retry_within_us))
    else:
        state.actions.append(FailPermanently(message.id))
    complete(state, message)


def shed_load(state: SenderState) -> None:
    """Return the messages of least utility to their clients while too many are open."""
    for _ in range(state.open_messages - int(state.settings.max_open * MAX_OPEN_SHARE)):
        # Within a group only the oldest message has to be compared; ties go to the first arrival.
        queues = itertools.chain(*state.shedding_queues.values())
        oldest = [found for queue in queues if (found := queue.first_matching(_is_sheddable))]
        if oldest:
            give_final_result(state, min(oldest, key=lambda each: _remaining_utility(state, each)))


def _is_sheddable(message: Message) -> bool:
    return not message.is_completed and message.in_flight == 0 and can_return(message)


def _remaining_utility(state: SenderState, message: Message) -> tuple[float, int]:
    decay, age_us = state.settings.utility_decay, state.now - message.created_us
    return message.weight * backoff.utility_at(message.message_class, decay, age_us), message.sequence


def _schedule_deadline_check(state: SenderState, message: Message) -> None:
    """Schedule a check of the message right after the latest useful start of an attempt."""
    latest = latest_start_us(message, min_useful_us(message.destination))
    heapq.heappush(state.message_timers, (max(state.now, latest) + 1, message.id))


def check_message_timers(state: SenderState) -> None:
    """Process due message timers: give the final result of messages past the hard cap, recheck the others."""
    while state.message_timers and state.message_timers[0][0] <= state.now:
        message = state.messages.get(heapq.heappop(state.message_timers)[1])
        if message and not message.is_completed and message.in_flight == 0:
            if state.now > latest_start_us(message, min_useful_us(message.destination)):
                give_final_result(state, message)
            else:
                _schedule_deadline_check(state, message)
            state.changed_destinations[message.destination.index] = (
                message.destination
            )  # the backoff may have ended
