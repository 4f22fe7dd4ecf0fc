"""The work of a decision, in visits to messages and destinations, does not grow with unsendable messages."""

from __future__ import annotations

import pytest

from benchmarks.decisions import Load, run

# Number of destinations, number of silent ones, maximum visits to waiting messages per arrived message.
ROWS = [
    (24, 0, 1.5),
    (240, 0, 1.5),
    (2000, 0, 1.5),
    (240, 24, 3.0),
    (240, 120, 4.0),
    (2000, 1000, 4.0),
]


@pytest.mark.parametrize(("destinations", "silent", "max_visits"), ROWS)
def test_visits_to_waiting_messages_do_not_grow(destinations: int, silent: int, max_visits: float) -> None:
    figures = run(Load(destinations, silent, seconds=4.0))
    assert figures.urgency_calls <= max_visits
    assert figures.endpoint_choices <= 2.0
    assert figures.answers["delivered"] > 0.1 * figures.messages


@pytest.mark.parametrize("fault", ["shut", "failing"])
def test_visits_do_not_grow_with_closed_or_failing_destinations(fault: str) -> None:
    figures = run(Load(240, 120, fault, seconds=3.0))
    assert figures.urgency_calls <= 3.0 and figures.endpoint_choices <= 3.0


def test_visits_do_not_grow_with_messages_queued_for_an_order_key() -> None:
    figures = run(Load(240, 24, classes="mixed", seconds=3.0))
    assert figures.urgency_calls <= 8.0 and figures.endpoint_choices <= 2.0
