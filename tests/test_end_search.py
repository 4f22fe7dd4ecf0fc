"""Exhaustive search over the life of a message, and mutants that the search has to find."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.delivery import unconfirmed
from honeybarrow.delivery.forwarder import Forwarder
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.delivery.refutation import Decision
from honeybarrow.message_guard import GuardViolationError, MessageGuard
from honeybarrow.node import http_connection
from honeybarrow.node.http_outcome import classify_response
from honeybarrow.node.write_ahead_log import WriteAheadLog
from tests.end_search import BrokenLifeError, play_life, search


# Guards against: a message is called after its end, or left without a result (report d58050).
def test_no_order_of_events_leads_to_a_call_after_an_end_or_a_message_without_a_result(
    tmp_path: Path,
) -> None:
    count, broken = search(tmp_path, 3)
    assert broken == []
    assert count > 900


def ignore_refutations(monkeypatch: pytest.MonkeyPatch) -> None:
    """A refuted delivery stays a delivery."""
    monkeypatch.setattr(unconfirmed, "decide", lambda *_: Decision.AMBIGUOUS)


def leave_end_unrecorded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The end waits for the end of the turn, as other records do."""
    complete, commit = Forwarder._complete_by_outcome, WriteAheadLog.commit

    def complete_without_commit(forwarder: Any, message: Any, outcome: AttemptOutcome) -> None:
        monkeypatch.setattr(WriteAheadLog, "commit", lambda _: True)
        complete(forwarder, message, outcome)
        monkeypatch.setattr(WriteAheadLog, "commit", commit)

    monkeypatch.setattr(Forwarder, "_complete_by_outcome", complete_without_commit)


def ignore_cut_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """A 410 or 504 counts only if it is complete."""
    monkeypatch.setattr(http_connection, "END_STATUSES", ())
    monkeypatch.setattr(http_connection, "_END", re.compile(rb"(?!)"))


def _change_outcome(monkeypatch: pytest.MonkeyPatch, status: int, **changes: Any) -> None:
    def classify(response_status: int, *arguments: Any) -> AttemptOutcome:
        outcome = classify_response(response_status, *arguments)
        return replace(outcome, **changes) if response_status == status else outcome

    monkeypatch.setattr(http_connection, "classify_response", classify)
    monkeypatch.setattr(http_connection, "END_STATUSES", ())


def repeat_after_504(monkeypatch: pytest.MonkeyPatch) -> None:
    """A message without an attempt left is sent again."""
    _change_outcome(monkeypatch, 504, is_over=False, owes_notification=False)


def trust_each_410(monkeypatch: pytest.MonkeyPatch) -> None:
    """A 410 on a reused connection ends its message without a notification."""
    original = http_connection.HttpConnection._pair

    def pair(connection: Any, call: Any, outcome: AttemptOutcome) -> AttemptOutcome:
        paired = original(connection, call, outcome)
        return replace(paired, owes_notification=False) if connection.response_status == 410 else paired

    monkeypatch.setattr(http_connection.HttpConnection, "_pair", pair)


@pytest.mark.parametrize(
    ("mutant", "events", "first"),
    [
        (ignore_refutations, ("copy", "503"), "200"),
        (leave_end_unrecorded, ("410", "kill"), "200"),
        (ignore_cut_ends, ("cut 410", "close"), "200"),
        (ignore_cut_ends, ("cut 410", "silence", "reset"), "200"),
        (repeat_after_504, ("504",), "200"),
        (trust_each_410, ("copy", "503"), "410"),
    ],
)
def test_each_guard_taken_out_is_found(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    mutant: Callable[[pytest.MonkeyPatch], None],
    events: tuple[str, ...],
    first: str,
) -> None:
    mutant(monkeypatch)
    assert play_life(tmp_path / "unused", (), first) is None
    with pytest.raises((BrokenLifeError, GuardViolationError)):
        play_life(tmp_path / "life", events, first)
    MessageGuard.strict_violations.clear()
