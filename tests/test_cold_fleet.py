"""The slow start of a whole fleet, on some of the scenarios of ``benchmarks/cold_fleet.py``."""

from __future__ import annotations

import pytest

from benchmarks.cold_fleet import OUTAGES, TRAFFIC_PATTERNS, RecoveryScenario, simulate_recovery
from honeybarrow.policy import endpoint_health

RETURNS = [
    RecoveryScenario(senders, traffic_pattern, OUTAGES[number % len(OUTAGES)], number)
    for senders, seeds in ((20, (0, 1, 2)), (30, (3, 4, 5)), (200, (6,)))
    for number in seeds
    for traffic_pattern in TRAFFIC_PATTERNS
]


@pytest.mark.parametrize(
    "returning",
    RETURNS,
    ids=lambda returning: (
        f"{returning.senders}-{returning.traffic_pattern}-{returning.outage}-{returning.seed}"
    ),
)
def test_all_senders_together_stay_within_the_budget_of_a_returning_destination(
    returning: RecoveryScenario,
) -> None:
    assert simulate_recovery(returning).excess_ratio <= 1.0


@pytest.mark.parametrize("outage", OUTAGES)
def test_without_randomized_backoff_the_fleet_exceeds_the_budget(
    monkeypatch: pytest.MonkeyPatch, outage: str
) -> None:
    """Checks that the test above detects senders that all return as early as permitted."""
    monkeypatch.setattr(
        endpoint_health,
        "failure_backoff_until_us",
        lambda state, scope, silent_us=0: max(state.now, scope.retry_after_until_us),
    )
    monkeypatch.setattr(endpoint_health, "call_interval_us", lambda state, endpoint: 0)
    assert (
        max(simulate_recovery(RecoveryScenario(200, "even", outage, seed)).excess_ratio for seed in range(4))
        > 1.0
    )
