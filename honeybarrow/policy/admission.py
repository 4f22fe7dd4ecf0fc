"""Selection of the next message to send and of its endpoint.

Messages are sent in descending order of urgency, the utility that a message is about to lose, divided by the
time for which it occupies a call slot.
"""

import math
from collections.abc import Iterable, Iterator
from functools import partial

from honeybarrow import sender_state as records
from honeybarrow.actions import SendAttempt
from honeybarrow.policy import endpoint_health as health
from honeybarrow.policy.backoff import DEADLINE_MARGIN_US, is_ambiguous, latest_start_us, utility_at
from honeybarrow.priority_queue import HeaviestFirstMerge
from honeybarrow.sender_state import NEVER, SECOND, Call, Destination, EndpointHealth, Message, SenderState
from honeybarrow.settings import Idempotency, UtilityDecay

MAX_SLOT_MULTIPLE = 2.0  # most calls in flight at one destination, as a multiple of the free slots
MIN_URGENCY = 1e-3  # of a message that is not urgent, or that can no longer succeed
NEEDED_LATENCIES = 2.5  # shortest useful time before the deadline, in latencies of the destination
OBJECTIVE_HORIZON_US = 1_000_000  # time constant of the urgency that precedes the latency objective
DEADLINE_HORIZON_US = 2_000_000  # time constant of the urgency that precedes the deadline


def urgency(state: SenderState, message: Message) -> float:
    """Return the utility per second that the message loses by waiting, scaled by its weight.

    The utility decays once the latency objective has passed, and the rest is lost at the deadline.
    """
    spec, decay = message.message_class, state.settings.utility_decay
    slack_us = message.created_us + spec.latency_objective_us - state.now
    slope = (1.0 - spec.late_utility) / max(1, spec.deadline_us - spec.latency_objective_us)
    if decay is UtilityDecay.HALVING:
        slope = 0.7 * utility_at(spec, decay, state.now - message.created_us) / spec.latency_objective_us
    # The deadline adds urgency only while an attempt can still succeed; later the message goes last.
    # Otherwise a backlog would spend its calls on messages that are about to expire.
    spare_us = (
        message.expires_us - state.now - health.expected_duration_us(message.destination, NEEDED_LATENCIES)
    )
    if spare_us < 0:
        return message.weight * MIN_URGENCY
    loss = slope * SECOND * math.exp(-max(0, slack_us) / OBJECTIVE_HORIZON_US)
    loss += spec.late_utility * math.exp(-spare_us / DEADLINE_HORIZON_US)
    return message.weight * (loss + MIN_URGENCY)


def refresh(state: SenderState) -> None:
    """Recompute, for each changed destination, whether or when it may be sent to."""
    state.changed_destinations.update(
        (each.index, each) for each in state.scheduled_checks.take_up_to(state.now)
    )
    while state.changed_destinations:
        changed, state.changed_destinations = state.changed_destinations, {}
        for _, destination in sorted(changed.items(), key=lambda item: item[0]):
            _refresh_destination(state, destination)


def _refresh_destination(state: SenderState, destination: Destination) -> None:
    """Queue a destination as ready or blocked, and schedule its next check."""
    check_us = opens_us = NEVER
    for endpoint in destination.endpoints if destination.waiting else ():
        if not endpoint.is_usable:
            continue
        late_us, calls = NEVER, endpoint.calls
        if calls and endpoint.answered_call_sent_us < calls[0].sent_us:
            late_us = calls[0].sent_us + health.response_timeout_us(endpoint)
        if endpoint.health is EndpointHealth.HEALTHY and health.health_opens_us(state, endpoint) <= state.now:
            check_us = min(check_us, late_us + 1)  # the endpoint counts as silent from then on
        endpoint_opens_us = health.scope_opens_us(endpoint.scope)
        if endpoint.health is not EndpointHealth.HEALTHY:
            endpoint_opens_us = max(endpoint_opens_us, endpoint.next_call_us)
        if endpoint.health is EndpointHealth.EJECTED and calls:
            checks = [call.sent_us for call in calls if call.sent_us > endpoint.health_since_us]
            if checks and (lost_us := max(checks) + health.response_timeout_us(endpoint)) > state.now:
                check_us = min(check_us, lost_us)  # the health check in flight times out
                continue
        opens_us = min(opens_us, endpoint_opens_us)
        check_us = min(check_us, endpoint_opens_us) if endpoint_opens_us > state.now else check_us
    destination.urgency_bound = math.inf
    state.saturated_destinations.drop(destination.index)
    state.ready_destinations.put_if(destination.index, -math.inf, destination, opens_us <= state.now)
    state.blocked_destinations.put_if(destination.index, opens_us, destination, state.now < opens_us < NEVER)
    state.scheduled_checks.put_if(destination.index, check_us, destination, check_us < NEVER)


def admit(state: SenderState) -> None:
    """Start calls for the waiting messages of highest urgency while slots, rates and endpoints allow."""
    refresh(state)
    free = state.settings.slots - state.slots_used
    if free <= 0 or not (state.ready_destinations or state.saturated_destinations):
        return
    for destination in state.saturated_destinations.take_up_to(math.ceil(MAX_SLOT_MULTIPLE * free) - 1):
        state.ready_destinations.put(destination.index, -destination.urgency_bound, destination)
    unplaced: dict[int, int] = {}  # by destination: number of messages for which no endpoint is open
    # The merge evaluates a destination only if its bound exceeds the best message found so far.
    candidates = HeaviestFirstMerge(
        state.ready_destinations, partial(_eligible_runs, state), partial(_urgency_bound, state)
    )
    for message in candidates:
        destination = message.destination
        # The cap on calls in flight keeps a slow or silent destination from taking all slots.
        calls = sum(len(e.calls) for e in destination.endpoints)
        if (free := state.settings.slots - state.slots_used) <= 0:
            break
        if calls >= MAX_SLOT_MULTIPLE * free:
            state.saturated_destinations.put(destination.index, calls, destination)
        elif message.in_flight == 0 and (endpoint := choose_endpoint(state, message)) is not None:
            _start_call(state, message, endpoint)
        elif message.in_flight == 0:
            unplaced[destination.index] = unplaced.get(destination.index, 0) + 1
    for index, (destination, max_weight) in candidates.evaluated.items():
        destination.urgency_bound = _urgency_bound(state, max_weight)
        if index not in state.changed_destinations and index not in state.saturated_destinations:
            _reschedule(state, destination, max_weight, unplaced.get(index, 0))


def _reschedule(state: SenderState, destination: Destination, max_weight: float, unplaced: int) -> None:
    """Keep an evaluated destination ready, or schedule a check if none of its messages can be sent now.

    ``max_weight`` is the highest weight of its messages, ``unplaced`` the number without an open endpoint.
    """
    if (unplaced or max_weight <= 0.0) and unplaced == sum(
        _is_eligible(state, each) for each in destination.waiting
    ):
        # The check is due when a backoff ends, or when a non-idempotent message reaches the second half of
        # its time, in which it may be sent to an ejected endpoint; see choose_endpoint.
        waiting = list(destination.waiting)
        non_idempotent = [
            each for each in waiting if each.message_class.idempotency is Idempotency.NON_IDEMPOTENT
        ]
        times: list[float] = [
            each.expires_us - each.message_class.deadline_us // 2 for each in non_idempotent
        ]
        times += [each.retry_at_us for each in waiting]
        times.append(state.scheduled_checks.key(destination.index, NEVER))
        state.scheduled_checks.put(destination.index, min(at for at in times if at > state.now), destination)
    else:
        state.ready_destinations.put(destination.index, -destination.urgency_bound, destination)


def _urgency_bound(state: SenderState, max_urgency: float) -> float:
    """Return a bound on the logarithm of an urgency that is now at most ``max_urgency``.

    Urgencies grow at most exponentially with the shorter horizon. The bound subtracts that growth, so that it
    holds at any later time and bounds of different times can be compared.
    """
    return math.log(max(max_urgency, 1e-300)) - state.now / min(OBJECTIVE_HORIZON_US, DEADLINE_HORIZON_US)


def _eligible_runs(state: SenderState, destination: Destination) -> Iterator[Iterator[tuple[float, Message]]]:
    """Yield the eligible messages as runs of (weight, message) pairs in descending order of weight."""
    # Urgency is divided by slot time, so that slow destinations do not hold slots that quick ones need.
    slot_us = health.min_useful_us(destination)
    if not state.is_deadline_ordered:
        due = [each for each in destination.waiting if _is_eligible(state, each)]
        yield _with_weights(state, slot_us, sorted(due, key=partial(urgency, state), reverse=True))
        return
    # Within a group the urgency grows towards the deadline. Messages that can no longer succeed all have the
    # same minimum urgency, so they form runs by weight.
    too_late: dict[float, list[tuple[int, Message]]] = {}
    needed_until_us = state.now + health.expected_duration_us(destination, NEEDED_LATENCIES)
    for late_entries, run in destination.waiting.split(needed_until_us):
        for _, insertion, message in late_entries:
            too_late.setdefault(message.weight, []).append((insertion, message))
        yield _with_weights(state, slot_us, (message for _, _, message in run))
    for entries in too_late.values():
        yield _with_weights(state, slot_us, (message for _, message in sorted(entries)))


def _with_weights(
    state: SenderState, slot_us: int, run: Iterable[Message]
) -> Iterator[tuple[float, Message]]:
    """Yield the eligible messages of a run each with its urgency divided by the slot time."""
    for message in run:
        if message.destination.index in state.saturated_destinations:
            return
        if _is_eligible(state, message):
            yield urgency(state, message) / slot_us, message


def _is_eligible(state: SenderState, message: Message) -> bool:
    """Return whether the message is due, first of its order key, and may start according to the log.

    Where batches are allowed, the order is checked for each message of a batch by :func:`can_send`.
    """
    key = message.order_key
    is_first = key is None or state.order_queues[key][0] is message
    is_in_order = is_first or message.destination.kind.max_batch_size > 1
    return message.retry_at_us <= state.now and is_in_order and _can_record_start(state, message)


def _can_record_start(state: SenderState, message: Message) -> bool:
    """Return whether the log permits an attempt to start.

    An attempt whose start is not recorded could be repeated after a crash, which only idempotent messages
    allow.
    """
    return state.is_log_available or message.message_class.idempotency is Idempotency.IDEMPOTENT


def choose_endpoint(state: SenderState, message: Message) -> records.EndpointRecord | None:
    """Return the open endpoint with the fewest calls, most recently used first, ejected ones last.

    Returns ``None`` if no endpoint is open to the message. Calls to ejected endpoints are health checks, with
    two restrictions:

    * A lost health check ends a non-idempotent message, so such a message is used only in the second half of
      its time, or if a connect has failed since the ejection: if the next one fails too, the message does not
      run.
    * A health check that ends early because its message expires shows nothing about the endpoint, so the
      message needs as much time as the response timeout, or a third of its deadline if that is less.
    """
    left_us, spec = message.expires_us - state.now, message.message_class
    is_too_early = spec.idempotency is Idempotency.NON_IDEMPOTENT and left_us > spec.deadline_us // 2
    endpoints = message.destination.endpoints
    open_now = [e for e in endpoints if e.is_usable and health.opens_us(state, e) <= state.now]
    for endpoint in [e for e in open_now if e.health is EndpointHealth.EJECTED]:
        is_short = left_us < min(health.response_timeout_us(endpoint), spec.deadline_us // 3)
        if is_short or (is_too_early and endpoint.last_connect_failure_us < endpoint.health_since_us):
            open_now.remove(endpoint)
    ejected = EndpointHealth.EJECTED
    return min(open_now, key=lambda e: (e.health is ejected, len(e.calls), -e.last_sent_us), default=None)


def _start_call(state: SenderState, message: Message, endpoint: records.EndpointRecord) -> None:
    """Send a message in a new call, with further messages up to the batch size."""
    kind, others = message.destination.kind, list[Message]()
    if kind.max_batch_size > 1 and endpoint.health is not EndpointHealth.EJECTED:
        due = [m for m in message.destination.waiting if m.retry_at_us <= state.now and m is not message]
        others = sorted(due, key=partial(urgency, state), reverse=True)[: kind.max_batch_size - 1]
    is_long_idle = state.now - endpoint.idle_since_us > health.MIN_STALE_IDLE_US and not endpoint.calls
    call = Call(endpoint, state.now, endpoint.keeps_connections and is_long_idle)
    for each in [message, *others]:
        send(state, each, call)


def can_send(state: SenderState, message: Message, call: Call) -> bool:
    """Return whether every delivery rule permits sending the message with this call."""
    endpoint, spec, key, now = call.endpoint, message.message_class, message.order_key, state.now
    has_ambiguous_key = is_ambiguous(message) and spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    is_bound_to_zone = has_ambiguous_key and spec.key_scope != "all"
    is_cooling_down = not message.attempts and state.key_cooldowns.get(-1 if key is None else key, 0) > now
    return not (
        (message.is_completed or message.in_flight > 0)  # no hedging
        or len(message.attempts) >= state.settings.max_attempts
        or message.destination is not endpoint.destination  # wrong destination
        or not _can_record_start(state, message)  # no durable record of the start
        or not endpoint.is_usable  # draining or removed
        or endpoint.scope.retry_after_until_us > now  # Retry-After
        or now > latest_start_us(message, DEADLINE_MARGIN_US)  # past the hard cap
        or (is_bound_to_zone and endpoint.zone != message.ambiguous_zone)  # the key is unknown in other zones
        or (key is not None and (is_cooling_down or state.order_queues[key][0] is not message))
        or (call.open_attempts == 0 and state.slots_used >= state.settings.slots)
        or (call.open_attempts == 0 and health.opens_us(state, endpoint) > now)
    )


def send(state: SenderState, message: Message, call: Call) -> None:
    """Start an attempt with this call if :func:`can_send` permits it.

    No other function starts attempts.
    """
    if not can_send(state, message, call):
        return
    endpoint, now = call.endpoint, state.now
    if call.open_attempts == 0:
        state.slots_used += 1
        endpoint.scope.limiter.record_send(now)
        endpoint.calls.append(call)
        endpoint.last_sent_us = now
        if endpoint.health is not EndpointHealth.HEALTHY:
            endpoint.next_call_us = now + health.call_interval_us(state, endpoint)
    call.open_attempts += 1
    message.attempts.append(call)
    message.in_flight += 1
    message.destination.waiting.drop(message.id)
    state.changed_destinations[message.destination.index] = message.destination
    # The bytes may be written later than now, so the action carries the limit set by hard cap and key window.
    start = latest_start_us(message, DEADLINE_MARGIN_US) - now
    timeout = health.attempt_timeout_us(state, message, call)
    state.actions.append(SendAttempt(message.id, endpoint.target, timeout, start))
