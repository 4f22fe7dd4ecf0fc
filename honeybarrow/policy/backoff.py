"""Retry schedule: exponential backoff with jitter, the minimum number of retries, and the hard cap.

The soft cap is the latency objective: past it a message is retried only up to its minimum number of retries.
The hard cap is the latest time at which an attempt may start, see :func:`latest_start_us`.
"""

import math
import random

from honeybarrow.sender_state import NEVER, Message
from honeybarrow.settings import Idempotency, MessageClass, UtilityDecay

INITIAL_BACKOFF_US = 200_000  # about what a busy destination needs to clear a call or two
BACKOFF_FACTOR = 1.6  # five attempts take the delay to its maximum
MAX_JITTER_US = 200_000  # as long as the first delay, so that messages rejected together come apart
MAX_BACKOFF_US = 2_000_000  # a longer delay costs more utility than the calls that it spares
MIN_RETRIES = 2  # lower bound of min_retries(), however little a late delivery is worth
DEADLINE_MARGIN_US = 10_000  # kept free before deadlines and key windows, for timer resolution


def backoff_us(retry: int, rng: random.Random) -> int:
    """Return the delay before the given retry, in microseconds; ``retry`` counts from 1.

    The delay grows exponentially up to :data:`MAX_BACKOFF_US` and includes random jitter.
    """
    wait = INITIAL_BACKOFF_US * BACKOFF_FACTOR ** (retry - 1) + rng.uniform(0, MAX_JITTER_US)
    return int(min(MAX_BACKOFF_US - rng.uniform(0, MAX_JITTER_US), wait))


def utility_at(spec: MessageClass, decay: UtilityDecay, age_us: int) -> float:
    """Return the utility of a delivery at the given age, as a fraction between 0 and 1."""
    if age_us <= spec.latency_objective_us:
        return 1.0
    if age_us > spec.deadline_us:
        return 0.0
    if decay is UtilityDecay.HALVING:
        half_lives = (spec.latency_objective_us - age_us) / spec.latency_objective_us
        return max(spec.late_utility, math.exp2(half_lives))
    late = (age_us - spec.latency_objective_us) / max(1, spec.deadline_us - spec.latency_objective_us)
    return float(1.0 - (1.0 - spec.late_utility) * late)


def min_retries(spec: MessageClass, decay: UtilityDecay, max_attempts: int) -> int:
    """Return the number of retries granted past the soft cap; it grows with the mean utility after it."""
    objective_us, duration_us = spec.latency_objective_us, spec.deadline_us - spec.latency_objective_us
    late = sum(utility_at(spec, decay, objective_us + duration_us * i // 16) for i in range(1, 16)) / 16
    return max(MIN_RETRIES, math.ceil(late * min(max_attempts, 16)))


def is_ambiguous(message: Message) -> bool:
    """Return whether an earlier attempt may have taken effect at the destination."""
    return message.ambiguous_since_us < NEVER


def can_return(message: Message) -> bool:
    """Return whether the message may be returned to its client, because submitting it again is harmless."""
    if message.is_rejected:
        return False
    spec = message.message_class
    if spec.idempotency is Idempotency.IDEMPOTENT or not is_ambiguous(message):
        return True
    return spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and spec.key_scope == "all"


def latest_start_us(message: Message, min_useful_us: int) -> int:
    """Return the hard cap, the latest time at which an attempt may start; -1 if none may start any more.

    An attempt needs ``min_useful_us`` before the message expires. A retry of an ambiguous message with an
    idempotency key has to start within the key window, and an ambiguous non-idempotent message has no retry.
    """
    latest, spec = message.expires_us - min_useful_us, message.message_class
    if is_ambiguous(message) and spec.idempotency is Idempotency.NON_IDEMPOTENT:
        return -1
    if is_ambiguous(message) and spec.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        return min(latest, message.ambiguous_since_us + spec.key_window_us - DEADLINE_MARGIN_US)
    return latest
