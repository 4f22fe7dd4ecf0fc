"""Recovery plans made from log records, and attempts that may start during a shutdown."""

from __future__ import annotations

from honeybarrow import events
from honeybarrow.events import AttemptStatus
from honeybarrow.message_guard import MAX_SHUTDOWN_US, may_start_attempt
from honeybarrow.recovery import (
    AttemptFinished,
    AttemptStarted,
    FinalResult,
    LogRecord,
    MessageAccepted,
    MessageCompleted,
    PendingMessages,
    ResumedMessage,
    plan_recovery,
)
from honeybarrow.settings import Idempotency
from tests.helpers import CLASSES, SECOND

CLASS_TABLE = {kind.name: kind for kind in CLASSES}


def accepted(message: str, class_name: str, expires_at_us: int = 10 * SECOND) -> MessageAccepted:
    return MessageAccepted(message, class_name, 1, expires_at_us, "t", "k", b"body")


def plan(*records: LogRecord, now_us: int = SECOND) -> list[ResumedMessage | FinalResult]:
    pending = PendingMessages()
    for record in records:
        pending.apply(record)
    return plan_recovery(pending.by_id.values(), CLASS_TABLE, now_us)


def test_non_idempotent_message_fails_after_ambiguous_attempt_and_is_resumed_otherwise() -> None:
    ambiguous = plan(accepted("m", "pay"), AttemptStarted("m", 0, 100))
    assert ambiguous == [FinalResult("m", False)]
    lost = plan(accepted("m", "pay"), AttemptStarted("m", 0, 100), AttemptFinished("m", 0, False))
    assert lost == [FinalResult("m", False)]
    proven = plan(accepted("m", "pay"), AttemptStarted("m", 0, 100), AttemptFinished("m", 0, True))
    assert proven == [ResumedMessage(accepted("m", "pay"), 9 * SECOND, 1, None)]


def test_ambiguous_message_with_key_is_resumed_with_age_of_first_ambiguous_attempt() -> None:
    records: list[LogRecord] = [
        accepted("m", "post"),
        AttemptStarted("m", 0, 100),
        AttemptFinished("m", 0, False),
        AttemptStarted("m", 1, 900),
    ]
    assert plan(*records) == [ResumedMessage(accepted("m", "post"), 9 * SECOND, 2, SECOND - 100)]
    in_flight = plan(
        accepted("m", "post"),
        AttemptStarted("m", 0, 100),
        AttemptStarted("m", 1, 900),
        AttemptFinished("m", 0, True),
    )
    assert in_flight == [ResumedMessage(accepted("m", "post"), 9 * SECOND, 2, SECOND - 900)]


def test_message_that_expired_or_has_unknown_class_fails() -> None:
    assert plan(accepted("m", "note", 500)) == [FinalResult("m", False)]
    assert plan(accepted("m", "gone")) == [FinalResult("m", False)]


def test_recorded_result_is_notified_again_unchanged() -> None:
    assert plan(accepted("m", "note"), FinalResult("m", True, 700)) == [FinalResult("m", True, 700)]
    assert plan(accepted("m", "note"), FinalResult("m", True, 700), MessageCompleted("m")) == []


def test_clock_set_back_does_not_extend_deadline() -> None:
    step = plan(accepted("m", "note", 99 * SECOND), AttemptStarted("m", 0, 50 * SECOND))[0]
    assert (
        isinstance(step, ResumedMessage)
        and step.time_left_us == CLASS_TABLE["note"].deadline_us
        and step.ambiguous_age_us == 0
    )


def test_only_idempotent_attempts_start_near_end_of_shutdown() -> None:
    for idempotency in Idempotency:
        assert may_start_attempt(idempotency, None) is None and may_start_attempt(idempotency, 0) is None
        is_allowed = may_start_attempt(idempotency, MAX_SHUTDOWN_US) is None
        assert is_allowed == (idempotency is Idempotency.IDEMPOTENT)


def test_policy_uses_history_of_resumed_message() -> None:
    from tests.helpers import SenderDriver

    driver = SenderDriver()
    driver.list_endpoints("a")
    driver.now = 10 * SECOND
    driver.submit_message("unsafe", "pay", attempts=1, ambiguous_age_us=SECOND)
    driver.submit_message("late", "post", attempts=1, ambiguous_age_us=6 * SECOND)  # its key window is over
    driver.submit_message("young", "post", attempts=2, ambiguous_age_us=SECOND)
    driver.wait(SECOND)
    assert [send.message for _, send in driver.sends] == ["young"]
    assert {type(answer).__name__ + answer.message for _, answer in driver.results} == {
        "FailPermanentlyunsafe",
        "ReturnToClientlate",
    }
    driver.handle_events(events.AttemptFinished("young", 2, "a", AttemptStatus.OK, is_completed=True))
    assert "young" not in driver.sender.state.messages


def test_policy_counts_attempts_of_earlier_process() -> None:
    from tests.helpers import SenderDriver

    driver = SenderDriver(max_attempts=3)
    driver.list_endpoints("a")
    driver.submit_message("m", attempts=3, ambiguous_age_us=SECOND)
    driver.wait(SECOND)
    assert driver.sends == []
