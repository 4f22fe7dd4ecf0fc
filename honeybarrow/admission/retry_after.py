"""Retry delays for rejected clients and the time left of messages. Performs no I/O and reads no clock."""

from __future__ import annotations

import random
from collections.abc import Sequence

MIN_RETRY_AFTER_US = 200_000
MAX_RETRY_AFTER_US = 3_000_000  # before jitter; longer delays would leave freed capacity unused
RETRY_AFTER_JITTER = 0.5  # maximum random increase, as a fraction; spreads clients rejected together


def compute_retry_after_us(expected_wait_us: int, max_wait_us: int, rng: random.Random) -> int:
    """Return a retry delay in microseconds: the expected wait within its bounds, with random jitter.

    ``max_wait_us`` bounds the result; if it is not positive, the result is 0.
    """
    if max_wait_us <= 0:
        return 0
    base_us = min(MAX_RETRY_AFTER_US, max(MIN_RETRY_AFTER_US, expected_wait_us))
    return min(max_wait_us, int(base_us * (1.0 + RETRY_AFTER_JITTER * rng.random())))


def compute_batch_times_left_us(times_left_us: Sequence[int]) -> list[int]:
    """Return the time left for each recipient of a batch whose replies are sent in order (RFC 2033 4.2).

    A reply can't be sent before those of the preceding recipients, so each recipient gets at most the time
    of every recipient after it.
    """
    reversed_times_us: list[int] = []
    minimum_us: int | None = None
    for left_us in reversed(times_left_us):
        minimum_us = left_us if minimum_us is None else min(minimum_us, left_us)
        reversed_times_us.append(minimum_us)
    return reversed_times_us[::-1]


def compute_time_left_us(
    deadline_us: int, deliver_by_us: int | None, requested_us: int | None, elapsed_us: int
) -> int:
    """Return the time left for a message in microseconds: the shortest of the limits that apply.

    ``deadline_us`` is the limit of the message class and ``requested_us`` that of the client, both from now.
    ``deliver_by_us`` counts from the MAIL command, which was received ``elapsed_us`` ago (RFC 2852 4).
    """
    left_us = deadline_us
    if deliver_by_us is not None:
        left_us = min(left_us, deliver_by_us - elapsed_us)
    if requested_us is not None:
        left_us = min(left_us, requested_us)
    return left_us
