"""Which waiting message is sent next, and where to: first goes what loses most by waiting."""

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

MAX_SLOT_MULTIPLE = 2.0  # a destination may hold this many times the free slots: one alone gets two thirds
MIN_PRESSURE = 1e-3  # of a message that is in no hurry, or for which it is too late
NEEDED_LATENCIES = 2.5  # time that an attempt should have before its message expires
OBJECTIVE_HORIZON_US = 1_000_000  # how near its latency objective a message becomes urgent
DEADLINE_HORIZON_US = 2_000_000  # and how near its deadline


def pressure(state: SenderState, message: Message) -> float:
    """Return what is lost by waiting: the decay after the objective, and all that is left at the deadline."""
    spec, decay = message.message_class, state.settings.utility_decay
    slack_us = message.created_us + spec.latency_objective_us - state.now
    slope = (1.0 - spec.late_utility) / max(1, spec.deadline_us - spec.latency_objective_us)
    if decay is UtilityDecay.HALVING:
        slope = 0.7 * utility_at(spec, decay, state.now - message.created_us) / spec.latency_objective_us
    # Danger: served by age alone, a backlog spends its calls on messages about to expire, and on their
    # time-outs. The deadline counts only while an attempt can still succeed; then the message goes last.
    spare_us = message.expires_us - state.now - health.needed_us(message.destination, NEEDED_LATENCIES)
    if spare_us < 0:
        return message.weight * MIN_PRESSURE
    loss = slope * SECOND * math.exp(-max(0, slack_us) / OBJECTIVE_HORIZON_US)
    loss += spec.late_utility * math.exp(-spare_us / DEADLINE_HORIZON_US)
    return message.weight * (loss + MIN_PRESSURE)


def refresh(state: SenderState) -> None:
    """Find which destinations may be sent to now, when the others may, and when that can change."""
    state.touched.update((each.index, each) for each in state.checks.take_up_to(state.now))
    while state.touched:
        touched, state.touched = state.touched, {}
        for _, destination in sorted(touched.items(), key=lambda item: item[0]):
            _refresh_destination(state, destination)


def _refresh_destination(state: SenderState, destination: Destination) -> None:
    check = wake = NEVER
    for endpoint in destination.endpoints if destination.waiting else ():
        if not endpoint.is_usable:
            continue
        late, calls = NEVER, endpoint.calls
        if calls and endpoint.answered_us < calls[0].sent_us:
            late = calls[0].sent_us + health.response_timeout_us(endpoint)
        if endpoint.health is EndpointHealth.HEALTHY and health.health_opens_us(state, endpoint) <= state.now:
            check = min(check, late + 1)  # it has not fallen silent yet
        at = health.scope_opens_us(endpoint.scope)
        if endpoint.health is not EndpointHealth.HEALTHY:
            at = max(at, endpoint.next_call_us)
        if endpoint.health is EndpointHealth.EJECTED and calls:
            checks = [call.sent_us for call in calls if call.sent_us > endpoint.health_since_us]
            if checks and (lost := max(checks) + health.response_timeout_us(endpoint)) > state.now:
                check = min(check, lost)  # a health check call is in flight
                continue
        wake = min(wake, at)
        check = min(check, at) if at > state.now else check
    destination.pressure_bound = math.inf
    state.crowded.drop(destination.index)
    state.rank.put_if(destination.index, -math.inf, destination, wake <= state.now)
    state.wakes.put_if(destination.index, wake, destination, state.now < wake < NEVER)
    state.checks.put_if(destination.index, check, destination, check < NEVER)


def admit(state: SenderState) -> None:
    """Give slots, rate and endpoints to the waiting messages that lose most by waiting."""
    refresh(state)
    free = state.settings.slots - state.slots_used
    if free <= 0 or not (state.rank or state.crowded):
        return
    for destination in state.crowded.take_up_to(math.ceil(MAX_SLOT_MULTIPLE * free) - 1):
        state.rank.put(destination.index, -destination.pressure_bound, destination)
    unfit: dict[int, int] = {}  # messages that fit no endpoint that is open
    # Only destinations that may have more to lose than the best message found are weighed.
    ready = HeaviestFirstMerge(state.rank, partial(_ready_lines, state), partial(_pressure_bound, state))
    for message in ready:
        destination = message.destination
        # Danger: one slow or silent destination takes all slots. It is left a part of the free ones.
        calls = sum(len(e.calls) for e in destination.endpoints)
        if (free := state.settings.slots - state.slots_used) <= 0:
            break
        if calls >= MAX_SLOT_MULTIPLE * free:
            state.crowded.put(destination.index, calls, destination)
        elif message.in_flight == 0 and (endpoint := choose_endpoint(state, message)) is not None:
            _start_call(state, message, endpoint)
        elif message.in_flight == 0:
            unfit[destination.index] = unfit.get(destination.index, 0) + 1
    for index, (destination, most) in ready.weighed.items():
        destination.pressure_bound = _pressure_bound(state, most)
        if index not in state.touched and index not in state.crowded:
            _rank_again(state, destination, most, unfit.get(index, 0))


def _rank_again(state: SenderState, destination: Destination, most: float, unfit: int) -> None:
    """Keep a destination that was weighed in the rank, or look again later if nothing fits there now."""
    # Either all that is due does not fit, or nothing is due.
    if (unfit or most <= 0.0) and unfit == sum(_is_in_turn(state, each) for each in destination.waiting):
        # What does not fit now fits later only where it is non-idempotent and half of its time is over.
        waiting = list(destination.waiting)
        unsafe = [each for each in waiting if each.message_class.idempotency is Idempotency.NON_IDEMPOTENT]
        later: list[float] = [each.expires_us - each.message_class.deadline_us // 2 for each in unsafe]
        later += [each.retry_at_us for each in waiting]
        later.append(state.checks.key(destination.index, NEVER))
        state.checks.put(destination.index, min(at for at in later if at > state.now), destination)
    else:
        state.rank.put(destination.index, -destination.pressure_bound, destination)


def _pressure_bound(state: SenderState, most: float) -> float:
    """Return a figure that a pressure now at most so stays under, growing as fast as one can."""
    return math.log(max(most, 1e-300)) - state.now / min(OBJECTIVE_HORIZON_US, DEADLINE_HORIZON_US)


def _ready_lines(state: SenderState, destination: Destination) -> Iterator[Iterator[tuple[float, Message]]]:
    """Yield its messages that are due, in lines in which each loses no more than the one before it."""
    # Danger: slow destinations keep few slots busy while quick ones wait; so loss counts by slot time.
    slot_us = health.useful_us(destination)
    if not state.is_deadline_ordered:
        due = [each for each in destination.waiting if _is_in_turn(state, each)]
        yield _weigh(state, slot_us, sorted(due, key=partial(pressure, state), reverse=True))
        return
    # Here a message loses the more the nearer its deadline is, until it is too late and all lose alike.
    too_late: dict[float, list[tuple[int, Message]]] = {}
    needed = state.now + health.needed_us(destination, NEEDED_LATENCIES)
    for late, line in destination.waiting.split(needed):
        for _, place, message in late:
            too_late.setdefault(message.weight, []).append((place, message))
        yield _weigh(state, slot_us, (message for _, _, message in line))
    for alike in too_late.values():
        yield _weigh(state, slot_us, (message for _, message in sorted(alike)))


def _weigh(state: SenderState, slot_us: int, line: Iterable[Message]) -> Iterator[tuple[float, Message]]:
    for message in line:
        if message.destination.index in state.crowded:
            return
        if _is_in_turn(state, message):
            yield pressure(state, message) / slot_us, message


def _is_in_turn(state: SenderState, message: Message) -> bool:
    """Return whether it is due and not behind another message of its key; batches look for themselves."""
    key = message.order_key
    is_first = key is None or state.order_queues[key][0] is message
    is_in_order = is_first or message.destination.kind.max_batch_size > 1
    return message.retry_at_us <= state.now and is_in_order and _can_be_recorded(state, message)


def _can_be_recorded(state: SenderState, message: Message) -> bool:
    """Return whether an attempt may start as far as the log goes: one that is not on disk may be repeated."""
    return state.is_log_available or message.message_class.idempotency is Idempotency.IDEMPOTENT


def choose_endpoint(state: SenderState, message: Message) -> records.EndpointRecord | None:
    """Return the endpoint for a message: one that answers, with few calls and a warm connection."""
    # Danger: a health check call that is lost ends a non-idempotent message, so it waits until the deadline
    # nears, but where connects fail: it never ran then. One cut off by its message's deadline tells nothing.
    # But where all deadlines are shorter than the time-out, none would ever go, and the endpoint would
    # stay ejected for good: so a third of a message's time is enough for one.
    left, spec = message.expires_us - state.now, message.message_class
    is_unsafe = spec.idempotency is Idempotency.NON_IDEMPOTENT and left > spec.deadline_us // 2
    endpoints = message.destination.endpoints
    open_now = [e for e in endpoints if e.is_usable and health.opens_us(state, e) <= state.now]
    for endpoint in [e for e in open_now if e.health is EndpointHealth.EJECTED]:
        is_short = left < min(health.response_timeout_us(endpoint), spec.deadline_us // 3)
        if is_short or (is_unsafe and endpoint.connect_failed_us < endpoint.health_since_us):
            open_now.remove(endpoint)
    ejected = EndpointHealth.EJECTED
    return min(open_now, key=lambda e: (e.health is ejected, len(e.calls), -e.last_sent_us), default=None)


def _start_call(state: SenderState, message: Message, endpoint: records.EndpointRecord) -> None:
    """Send a message, and with it those that its batch has room for."""
    kind, others = message.destination.kind, list[Message]()
    if kind.max_batch_size > 1 and endpoint.health is not EndpointHealth.EJECTED:
        due = [m for m in message.destination.waiting if m.retry_at_us <= state.now and m is not message]
        others = sorted(due, key=partial(pressure, state), reverse=True)[: kind.max_batch_size - 1]
    is_long_idle = state.now - endpoint.idle_since_us > health.MIN_STALE_IDLE_US and not endpoint.calls
    call = Call(endpoint, state.now, endpoint.keeps_connections and is_long_idle)
    for each in [message, *others]:
        send(state, each, call)


def can_send(state: SenderState, message: Message, call: Call) -> bool:
    """Return whether an attempt may go with this call. Every guard for the rules stands here."""
    endpoint, spec, key, now = call.endpoint, message.message_class, message.order_key, state.now
    is_keyed = is_ambiguous(message) and spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    is_bound = is_keyed and spec.key_scope != "all"
    is_resting = not message.attempts and state.key_rests.get(-1 if key is None else key, 0) > now
    return not (
        (message.is_completed or message.in_flight > 0)  # completed, or in flight already: no hedging
        or len(message.attempts) >= state.settings.max_attempts
        or message.destination is not endpoint.destination  # another destination's endpoint
        or not _can_be_recorded(state, message)  # its start would not outlive the process
        or not endpoint.is_usable  # it drains or is gone
        or endpoint.scope.backoff_until_us > now  # Retry-After
        or now > latest_start_us(message, DEADLINE_MARGIN_US)  # hard cap, key window, or a second effect
        or (is_bound and endpoint.zone != message.ambiguous_zone)  # another zone does not know the key
        or (key is not None and (is_resting or state.order_queues[key][0] is not message))  # order
        or (call.open_attempts == 0 and state.slots_used >= state.settings.slots)
        or (call.open_attempts == 0 and health.opens_us(state, endpoint) > now)
    )


def send(state: SenderState, message: Message, call: Call) -> None:
    """Send an attempt if it may go with this call. The only place that does."""
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
    state.touched[message.destination.index] = message.destination
    # Danger: the call may be written later than now, past the hard cap or the key window.
    start = latest_start_us(message, DEADLINE_MARGIN_US) - now
    timeout = health.attempt_timeout_us(state, message, call)
    state.actions.append(SendAttempt(message.id, endpoint.target, timeout, start))
