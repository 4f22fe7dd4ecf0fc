"""Adaptive limit on the idle age of reused keep-alive connections.

A server may close an idle connection while a call is being written to it, and that call is lost. The policy
compares the loss rate of calls by idle age with that of new connections and derives the maximum idle age. It
does no I/O and reads no clock; all times are arguments in microseconds.
"""

from __future__ import annotations

import bisect
import math

from honeybarrow.settings import Idempotency

IDLE_AGE_BUCKETS_US = (50_000, 100_000, 200_000, 400_000, 800_000, 1_600_000, 3_200_000, 6_400_000)
DECAY_US = 30_000_000  # time constant of the counts; rejected idle ages are tried again later
PRIOR_CALLS = 20.0  # assumed successful calls of each bucket
# A connection is not reused if the loss rate of its idle age exceeds that of new connections by more than
# this. The limit is lower for non-idempotent calls because they can't be retried.
MAX_EXCESS_LOSS_NON_IDEMPOTENT = 0.02
MAX_EXCESS_LOSS_IDEMPOTENT = 0.2
_UNLIMITED_US = 1 << 62
_NEW_CONNECTION = -1  # index of the last bucket


class KeepAlivePolicy:
    """Counts calls and losses by idle age, in a fixed amount of memory."""

    def __init__(self) -> None:
        self._calls = [0.0] * (len(IDLE_AGE_BUCKETS_US) + 2)  # by bucket; the last holds new connections
        self._losses = [0.0] * (len(IDLE_AGE_BUCKETS_US) + 2)
        self._decayed_at_us = 0

    def record_call(self, now_us: int, idle_us: int | None, is_lost: bool) -> None:
        """Count a call.

        ``idle_us`` is the idle time of its connection, or ``None`` for a new one. ``is_lost`` means that the
        connection was lost or the call timed out before the first byte of a response.
        """
        decay = self._decay(now_us)
        self._decayed_at_us = max(self._decayed_at_us, now_us)
        for row in (self._calls, self._losses):
            row[:] = [each * decay for each in row]
        bucket = _NEW_CONNECTION if idle_us is None else bisect.bisect_right(IDLE_AGE_BUCKETS_US, idle_us)
        self._calls[bucket] += 1.0
        self._losses[bucket] += is_lost

    def max_idle_us(self, now_us: int, idempotency: Idempotency) -> int:
        """Return the maximum idle age of a connection for a call of this idempotency."""
        max_excess = (
            MAX_EXCESS_LOSS_NON_IDEMPOTENT
            if idempotency is Idempotency.NON_IDEMPOTENT
            else MAX_EXCESS_LOSS_IDEMPOTENT
        )
        decay = self._decay(now_us)
        new_connection_loss = self._loss_rate(_NEW_CONNECTION, decay)
        for bucket in range(len(IDLE_AGE_BUCKETS_US) + 1):
            if self._loss_rate(bucket, decay) - new_connection_loss > max_excess:
                return IDLE_AGE_BUCKETS_US[bucket - 1] if bucket else 0
        return _UNLIMITED_US

    def _decay(self, now_us: int) -> float:
        """Return the decay factor since the last update; at most 1, even if the clock goes backwards."""
        return math.exp(min(0, self._decayed_at_us - now_us) / DECAY_US)

    def _loss_rate(self, bucket: int, decay: float) -> float:
        return self._losses[bucket] * decay / (self._calls[bucket] * decay + PRIOR_CALLS)
