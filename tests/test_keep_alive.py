"""Limit on the idle age of keep-alive connections, derived from lost calls."""

from __future__ import annotations

from honeybarrow.node.keep_alive import DECAY_US, KeepAlivePolicy
from honeybarrow.settings import Idempotency

SECOND = 1_000_000
UNLIMITED = 1 << 62


def record_calls(*rows: tuple[int | None, int, int], now: int = SECOND) -> KeepAlivePolicy:
    """Return a policy with calls recorded from rows of idle age, number of calls and number of losses."""
    policy = KeepAlivePolicy()
    for age, calls, lost in rows:
        for number in range(calls):
            policy.record_call(now, age, number < lost)
    return policy


def test_idle_age_is_unlimited_without_losses() -> None:
    policy = record_calls((None, 50, 0), (10_000, 500, 0), (3 * SECOND, 5, 0))
    assert policy.max_idle_us(SECOND, Idempotency.NON_IDEMPOTENT) == UNLIMITED


def test_losses_limit_the_idle_age_more_strictly_for_non_idempotent_calls() -> None:
    policy = record_calls((None, 100, 2), (10_000, 300, 5), (150_000, 100, 8), (300_000, 100, 45))
    assert policy.max_idle_us(SECOND, Idempotency.NON_IDEMPOTENT) == 100_000
    assert (
        policy.max_idle_us(SECOND, Idempotency.IDEMPOTENT)
        == policy.max_idle_us(SECOND, Idempotency.IDEMPOTENT_WITH_KEY)
        == 200_000
    )


def test_losses_that_new_connections_share_do_not_limit_the_idle_age() -> None:
    policy = record_calls((None, 200, 60), (10_000, 200, 60), (SECOND, 200, 60))
    assert policy.max_idle_us(SECOND, Idempotency.NON_IDEMPOTENT) == UNLIMITED


def test_a_single_loss_among_many_calls_does_not_limit_the_idle_age() -> None:
    policy = record_calls((10_000, 400, 1), (300_000, 100, 1))
    assert policy.max_idle_us(SECOND, Idempotency.NON_IDEMPOTENT) == UNLIMITED


def test_a_rejected_idle_age_is_allowed_again_later() -> None:
    policy = record_calls((300_000, 40, 30))
    assert policy.max_idle_us(SECOND, Idempotency.IDEMPOTENT) == 200_000
    assert policy.max_idle_us(SECOND + 6 * DECAY_US, Idempotency.IDEMPOTENT) == UNLIMITED
