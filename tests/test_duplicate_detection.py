"""Tests of duplicate detection: the decision on a message that is submitted again."""

from __future__ import annotations

from typing import Any

import pytest

from honeybarrow.admission.duplicate_detection import (
    TRANSITIONS,
    AcceptAsNew,
    AwaitAttempt,
    DuplicateDetector,
    JoinMessage,
    RepeatResult,
    SubmissionEvent,
    SubmissionState,
)
from honeybarrow.admission.fair_share import SECOND_US
from honeybarrow.settings import Idempotency

WINDOW_US = 5 * SECOND_US
# Events of the first submission, and the decision by idempotency: idempotent, with key, non-idempotent.
ROWS: list[tuple[tuple[SubmissionEvent, ...], Any, Any, Any]] = [
    ((), JoinMessage("m"), JoinMessage("m"), JoinMessage("m")),
    ((SubmissionEvent.WITHDRAWN,), AcceptAsNew(), AcceptAsNew(), AcceptAsNew()),
    ((SubmissionEvent.WITHDRAWN_IN_FLIGHT,), AcceptAsNew(), AwaitAttempt("m"), AwaitAttempt("m")),
    (
        (SubmissionEvent.WITHDRAWN_IN_FLIGHT, SubmissionEvent.DELIVERED),
        RepeatResult(True),
        RepeatResult(True),
        RepeatResult(True),
    ),
    (
        (SubmissionEvent.WITHDRAWN_IN_FLIGHT, SubmissionEvent.ATTEMPT_NOT_RUN),
        AcceptAsNew(),
        AcceptAsNew(),
        AcceptAsNew(),
    ),
    (
        (SubmissionEvent.WITHDRAWN_IN_FLIGHT, SubmissionEvent.ATTEMPT_AMBIGUOUS),
        AcceptAsNew(),
        AcceptAsNew(WINDOW_US - SECOND_US),
        RepeatResult(False),
    ),
    (
        (SubmissionEvent.WITHDRAWN_AMBIGUOUS,),
        AcceptAsNew(),
        AcceptAsNew(WINDOW_US - SECOND_US),
        RepeatResult(False),
    ),
    ((SubmissionEvent.DELIVERED,), RepeatResult(True), RepeatResult(True), RepeatResult(True)),
    ((SubmissionEvent.REFUSED,), AcceptAsNew(), AcceptAsNew(), AcceptAsNew()),
    ((SubmissionEvent.REJECTED,), AcceptAsNew(), AcceptAsNew(), AcceptAsNew()),
    ((SubmissionEvent.FAILED,), AcceptAsNew(), AcceptAsNew(WINDOW_US - SECOND_US), RepeatResult(False)),
    (
        (SubmissionEvent.DELIVERED, SubmissionEvent.FAILED),
        RepeatResult(True),
        RepeatResult(True),
        RepeatResult(True),
    ),
]


@pytest.mark.parametrize(
    "row", ROWS, ids=[", then ".join(event.value for event in row[0]) or "open" for row in ROWS]
)
def test_decision_on_a_duplicate(row: Any) -> None:
    events, *expected = row
    for idempotency, decision in zip(
        (Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT_WITH_KEY, Idempotency.NON_IDEMPOTENT),
        expected,
        strict=True,
    ):
        detector = DuplicateDetector()
        assert detector.check_submission(0, "k") == AcceptAsNew()
        detector.record_accepted(0, "k", "m", idempotency, WINDOW_US)
        for event in events:
            detector.record_event(SECOND_US // 2, "m", event)
        assert detector.check_submission(SECOND_US, "k") == decision, idempotency
        assert detector.check_submission(SECOND_US, "another") == AcceptAsNew()


def test_message_with_key_fails_after_its_window() -> None:
    """Guards against review case 8: a message that may have run was sent again after the key's window."""
    detector = DuplicateDetector()
    detector.record_accepted(0, "k", "m", Idempotency.IDEMPOTENT_WITH_KEY, WINDOW_US)
    detector.record_event(SECOND_US, "m", SubmissionEvent.FAILED, retry_within_us=2 * SECOND_US)
    assert detector.check_submission(2 * SECOND_US, "k") == AcceptAsNew(SECOND_US)
    assert detector.check_submission(3 * SECOND_US, "k") == RepeatResult(False)
    detector.record_accepted(2 * SECOND_US, "k", "m2", Idempotency.IDEMPOTENT_WITH_KEY, WINDOW_US)
    assert detector.check_submission(3 * SECOND_US, "k") == JoinMessage("m2")
    # A late event of the first message does not affect the second one.
    detector.record_event(4 * SECOND_US, "m", SubmissionEvent.DELIVERED)
    assert detector.check_submission(4 * SECOND_US, "k") == JoinMessage("m2")


@pytest.mark.parametrize(
    "event", [SubmissionEvent.REFUSED, SubmissionEvent.WITHDRAWN, SubmissionEvent.REJECTED]
)
def test_a_repeat_that_did_not_run_leaves_the_window_of_the_first_submission(event: SubmissionEvent) -> None:
    """Guards against review case 9: a refused repeat made its message count as never sent."""
    detector = DuplicateDetector()
    detector.record_accepted(0, "k", "m", Idempotency.IDEMPOTENT_WITH_KEY, WINDOW_US)
    detector.record_event(SECOND_US, "m", SubmissionEvent.WITHDRAWN_AMBIGUOUS)
    detector.record_accepted(2 * SECOND_US, "k", "m2", Idempotency.IDEMPOTENT_WITH_KEY, WINDOW_US)
    detector.record_event(3 * SECOND_US, "m2", event)
    assert detector.remaining_window_us(3 * SECOND_US, "m2") == 2 * SECOND_US
    assert detector.check_submission(4 * SECOND_US, "k") == AcceptAsNew(SECOND_US)
    assert detector.check_submission(WINDOW_US, "k") == RepeatResult(False)
    assert detector.remaining_window_us(WINDOW_US, "m2") == 0


def test_an_ambiguous_repeat_does_not_move_the_window() -> None:
    """Guards against review case 9: the window counted from the call of the repeat."""
    detector = DuplicateDetector()
    detector.record_accepted(0, "k", "m", Idempotency.IDEMPOTENT_WITH_KEY, WINDOW_US)
    detector.record_event(SECOND_US, "m", SubmissionEvent.WITHDRAWN_AMBIGUOUS)
    detector.record_accepted(2 * SECOND_US, "k", "m2", Idempotency.IDEMPOTENT_WITH_KEY, WINDOW_US)
    detector.record_event(3 * SECOND_US, "m2", SubmissionEvent.FAILED, retry_within_us=4 * SECOND_US)
    assert detector.check_submission(4 * SECOND_US, "k") == AcceptAsNew(SECOND_US)
    assert detector.check_submission(WINDOW_US, "k") == RepeatResult(False)


def test_remembered_messages_are_bounded_in_number_and_age() -> None:
    detector = DuplicateDetector(max_entries=100, max_age_us=10 * SECOND_US)
    for number in range(1000):
        key = f"k{number}"
        detector.check_submission(number, key)
        detector.record_accepted(number, key, f"m{number}", Idempotency.NON_IDEMPOTENT, 0)
        if number % 50:
            detector.record_event(number, f"m{number}", SubmissionEvent.FAILED)
    assert len(detector) <= 102
    assert detector.check_submission(1000, "k950") == JoinMessage("m950")  # open messages are kept
    assert detector.check_submission(1000, "k999") == RepeatResult(False)
    for _ in range(40):
        assert detector.check_submission(12 * SECOND_US, "k999") in (RepeatResult(False), AcceptAsNew())
    assert detector.check_submission(12 * SECOND_US, "k999") == AcceptAsNew()
    assert len(detector) == len(detector._key_by_message) <= 21


def test_states_change_only_by_the_transition_table() -> None:
    events = {event for _, event in TRANSITIONS}
    assert events == set(SubmissionEvent)
    for state in SubmissionState:
        for event in events:
            detector = DuplicateDetector()
            detector.record_accepted(0, "k", "m", Idempotency.NON_IDEMPOTENT, 0)
            detector._by_key["k"].state = state
            detector.record_event(1, "m", event)
            assert detector._by_key["k"].state is TRANSITIONS.get((state, event), state)
