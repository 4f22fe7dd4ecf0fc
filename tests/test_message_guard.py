"""The guard: all orders of a few events keep the rules; a question answered yes always is caught."""

from __future__ import annotations

from typing import Any

import pytest

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.message_guard import (
    GuardViolationError,
    MessageGuard,
    Refusal,
    Result,
    Rule,
    Violation,
    may_resume,
    may_start_attempt,
)
from honeybarrow.settings import Idempotency
from tests.guard_search import CLASSES, SETTINGS, search

OPEN = ("record", "acknowledge")
SEARCHES = [
    (("note",), 6, ()),
    (("note",), 6, OPEN),
    (("post",), 6, OPEN),
    (("pay",), 6, OPEN),
    (("pay",), 5, (*OPEN, "forward", "broken")),
    (("step", "step"), 4, OPEN),
    (("note",), 5, (*OPEN, "forward", "done")),
]


@pytest.fixture
def _lenient(monkeypatch: pytest.MonkeyPatch) -> None:
    """The search asks what a program should not, so violations are counted and not raised."""
    monkeypatch.setattr(MessageGuard, "is_strict", False)


@pytest.mark.parametrize(("classes", "depth", "prefix"), SEARCHES)
@pytest.mark.usefixtures("_lenient")
def test_no_order_of_events_breaks_a_rule(
    classes: tuple[str, ...], depth: int, prefix: tuple[str, ...]
) -> None:
    states, broken = search(classes, depth, prefix)
    assert broken == "" and states > 100


def _yes(*given: Any, **named: Any) -> None:
    """Answer yes to anything."""


@pytest.mark.parametrize(
    "question",
    [
        "may_forward",
        "_refuse_endpoint",
        "_refuse_repeat",
        "_refuse_order",
        "may_acknowledge",
        "may_end",
        "may_notify",
        "may_close_connection",
    ],
)
@pytest.mark.usefixtures("_lenient")
def test_a_question_that_is_answered_yes_always_is_caught(
    monkeypatch: pytest.MonkeyPatch, question: str
) -> None:
    monkeypatch.setattr(MessageGuard, question, _yes)
    found = [search(classes, depth - 1, prefix)[1] for classes, depth, prefix in SEARCHES]
    assert any(found), question


@pytest.mark.usefixtures("_lenient")
def test_an_attempt_started_as_the_process_ends_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("honeybarrow.message_guard.may_start_attempt", _yes)
    assert search(("pay",), 3, OPEN)[1] == "started as the process ends"


def test_a_process_resumes_what_it_may() -> None:
    note, post, pay, _ = CLASSES
    assert may_resume(None, 9, False, True) is Refusal.UNKNOWN
    assert may_resume(note, 0, False, True) is Refusal.EXPIRED
    assert may_resume(note, 9, True, False) is None
    assert may_resume(post, 9, True, True) is None
    assert may_resume(post, 9, True, False) is Refusal.CLOCK_UNCERTAIN
    assert may_resume(pay, 9, True, True) is Refusal.MAY_HAVE_RUN
    assert may_resume(pay, 9, False, False) is None
    assert may_start_attempt(Idempotency.NON_IDEMPOTENT, 10**9) is Refusal.SHUTTING_DOWN


@pytest.mark.usefixtures("_lenient")
def test_a_violation_is_refused_counted_by_rule_and_reported_with_its_state() -> None:
    seen: list[Violation] = []
    guard = MessageGuard(SETTINGS, seen.append)
    guard.on_endpoint_list(MembershipUpdate(UpdateKind.FULL, 1, (Endpoint("a", 1, EndpointState.READY),)))
    guard.on_accepted("m", "note", 400_000, None)
    assert guard.may_acknowledge("m") is Refusal.NOT_RECORDED
    guard.on_recorded("m")
    assert guard.may_acknowledge("m") is None and guard.may_forward("m", "a", 0) is None
    guard.on_attempt_started("m", "a", 0)
    assert guard.may_forward("m", "a", 0) is Refusal.IN_FLIGHT
    assert guard.may_end("m", Result.DELIVERED) is Refusal.NOT_DELIVERED
    assert guard.violation_counts == {Rule.LOST: 2, Rule.DUPLICATE: 1}
    assert [each.question for each in seen] == ["acknowledge", "forward", "end"]
    assert seen[1].state is not None and seen[1].state.value == "in_flight" and seen[1].message == "m"


def test_a_strict_guard_raises_a_violation_and_not_an_expected_refusal() -> None:
    guard = MessageGuard(SETTINGS, lambda violation: None)
    guard.on_accepted("m", "note", 400_000, None, is_resumed=True)
    assert guard.may_forward("m", "gone", 0) is Refusal.DRAINING
    assert guard.may_forward("nobody", "gone", 0) is Refusal.ENDED
    with pytest.raises(GuardViolationError):
        guard.may_end("m", Result.DELIVERED)
    assert [each.refusal for each in MessageGuard.strict_violations] == [Refusal.NOT_DELIVERED]
    MessageGuard.strict_violations.clear()


def test_accounts_are_closed_with_their_messages() -> None:
    guard = MessageGuard(SETTINGS, lambda violation: None)
    guard.on_accepted("m", "step", 400_000, 3, is_resumed=True)
    assert guard.may_end("m", Result.FAILED) is None
    guard.on_notification_due("m")
    guard.on_settled("m")
    assert guard.state_of("m").value == "ending"
    guard.on_acknowledged("m")
    assert guard.state_of("m").value == "ended"
    assert (guard._messages, guard._order_queues) == ({}, {})
