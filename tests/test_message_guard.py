"""Message guard: no order of events breaks a rule, and each disabled check is detected."""

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

ACKNOWLEDGED = ("record", "acknowledge")
SEARCHES = [
    (("note",), 6, ()),
    (("note",), 6, ACKNOWLEDGED),
    (("post",), 6, ACKNOWLEDGED),
    (("pay",), 6, ACKNOWLEDGED),
    (("pay",), 5, (*ACKNOWLEDGED, "forward", "broken")),
    (("step", "step"), 4, ACKNOWLEDGED),
    (("note",), 5, (*ACKNOWLEDGED, "forward", "done")),
]


@pytest.fixture
def _non_strict_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count violations instead of raising them, since the search also tries steps that are not allowed."""
    monkeypatch.setattr(MessageGuard, "is_strict", False)


@pytest.mark.parametrize(("classes", "depth", "prefix"), SEARCHES)
@pytest.mark.usefixtures("_non_strict_guard")
def test_no_order_of_events_breaks_a_rule(
    classes: tuple[str, ...], depth: int, prefix: tuple[str, ...]
) -> None:
    states, broken_rule = search(classes, depth, prefix)
    assert broken_rule == "" and states > 100


def _allow(*given: Any, **named: Any) -> None:
    """Allow every step."""


@pytest.mark.parametrize(
    "check",
    [
        "may_forward",
        "_refuse_endpoint",
        "_refuse_retry",
        "_refuse_order",
        "may_acknowledge",
        "may_end",
        "may_notify",
        "may_close_connection",
    ],
)
@pytest.mark.usefixtures("_non_strict_guard")
def test_disabled_check_is_detected(monkeypatch: pytest.MonkeyPatch, check: str) -> None:
    monkeypatch.setattr(MessageGuard, check, _allow)
    found = [search(classes, depth - 1, prefix)[1] for classes, depth, prefix in SEARCHES]
    assert any(found), check


@pytest.mark.usefixtures("_non_strict_guard")
def test_attempt_start_during_shutdown_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("honeybarrow.message_guard.may_start_attempt", _allow)
    assert search(("pay",), 3, ACKNOWLEDGED)[1] == "attempt started during the final part of the shutdown"


def test_starting_process_resumes_only_allowed_messages() -> None:
    note, post, pay, _ = CLASSES
    assert may_resume(None, 9, False, True) is Refusal.UNKNOWN
    assert may_resume(note, 0, False, True) is Refusal.EXPIRED
    assert may_resume(note, 9, True, False) is None
    assert may_resume(post, 9, True, True) is None
    assert may_resume(post, 9, True, False) is Refusal.CLOCK_UNCERTAIN
    assert may_resume(pay, 9, True, True) is Refusal.MAY_HAVE_RUN
    assert may_resume(pay, 9, False, False) is None
    assert may_start_attempt(Idempotency.NON_IDEMPOTENT, 10**9) is Refusal.SHUTTING_DOWN


@pytest.mark.usefixtures("_non_strict_guard")
def test_violation_is_refused_counted_by_rule_and_reported_with_state() -> None:
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
    assert [each.check for each in seen] == ["acknowledge", "forward", "end"]
    assert seen[1].state is not None and seen[1].state.value == "in_flight" and seen[1].message == "m"


def test_strict_guard_raises_only_for_violations() -> None:
    guard = MessageGuard(SETTINGS, lambda violation: None)
    guard.on_accepted("m", "note", 400_000, None, is_resumed=True)
    assert guard.may_forward("m", "gone", 0) is Refusal.DRAINING
    assert guard.may_forward("unknown", "gone", 0) is Refusal.ENDED
    with pytest.raises(GuardViolationError):
        guard.may_end("m", Result.DELIVERED)
    assert [each.refusal for each in MessageGuard.strict_violations] == [Refusal.NOT_DELIVERED]
    MessageGuard.strict_violations.clear()


def test_finished_messages_are_no_longer_tracked() -> None:
    guard = MessageGuard(SETTINGS, lambda violation: None)
    guard.on_accepted("m", "step", 400_000, 3, is_resumed=True)
    assert guard.may_end("m", Result.FAILED) is None
    guard.on_notification_due("m")
    guard.on_settled("m")
    assert guard.get_state("m").value == "ending"
    guard.on_notification_acknowledged("m")
    assert guard.get_state("m").value == "ended"
    assert (guard._messages, guard._order_queues) == ({}, {})
