"""What a starting process makes of log records, and which attempts a stopping one may start."""

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


def test_a_non_idempotent_message_fails_with_an_ambiguous_attempt_and_is_resumed_if_it_has_not_run() -> None:
    ambiguous = plan(accepted("m", "pay"), AttemptStarted("m", 0, 100))
    assert ambiguous == [FinalResult("m", False)]
    lost = plan(accepted("m", "pay"), AttemptStarted("m", 0, 100), AttemptFinished("m", 0, False))
    assert lost == [FinalResult("m", False)]
    proven = plan(accepted("m", "pay"), AttemptStarted("m", 0, 100), AttemptFinished("m", 0, True))
    assert proven == [ResumedMessage(accepted("m", "pay"), 9 * SECOND, 1, None)]


def test_an_ambiguous_message_with_a_key_is_resumed_with_the_age_of_its_first_ambiguous_attempt() -> None:
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


def test_an_expired_message_or_one_of_an_unknown_class_fails() -> None:
    assert plan(accepted("m", "note", 500)) == [FinalResult("m", False)]
    assert plan(accepted("m", "gone")) == [FinalResult("m", False)]


def test_a_result_that_may_have_been_notified_is_notified_again_and_no_other() -> None:
    assert plan(accepted("m", "note"), FinalResult("m", True, 700)) == [FinalResult("m", True, 700)]
    assert plan(accepted("m", "note"), FinalResult("m", True, 700), MessageCompleted("m")) == []


def test_a_clock_that_was_set_back_extends_no_deadline() -> None:
    step = plan(accepted("m", "note", 99 * SECOND), AttemptStarted("m", 0, 50 * SECOND))[0]
    assert (
        isinstance(step, ResumedMessage)
        and step.time_left_us == CLASS_TABLE["note"].deadline_us
        and step.ambiguous_age_us == 0
    )


def test_near_the_end_of_a_shutdown_only_idempotent_attempts_start() -> None:
    for idempotency in Idempotency:
        assert may_start_attempt(idempotency, None) is None and may_start_attempt(idempotency, 0) is None
        is_allowed = may_start_attempt(idempotency, MAX_SHUTDOWN_US) is None
        assert is_allowed == (idempotency is Idempotency.IDEMPOTENT)


def test_the_policy_goes_by_the_history_of_a_resumed_message() -> None:
    from tests.helpers import SenderDriver

    caller = SenderDriver()
    caller.list_endpoints("a")
    caller.now = 10 * SECOND
    caller.submit_message("unsafe", "pay", attempts=1, ambiguous_age_us=SECOND)
    caller.submit_message("late", "post", attempts=1, ambiguous_age_us=6 * SECOND)  # its window has passed
    caller.submit_message("young", "post", attempts=2, ambiguous_age_us=SECOND)
    caller.wait(SECOND)
    assert [send.message for _, send in caller.sends] == ["young"]
    assert {type(answer).__name__ + answer.message for _, answer in caller.results} == {
        "FailPermanentlyunsafe",
        "ReturnToClientlate",
    }
    caller.handle_events(events.AttemptFinished("young", 2, "a", AttemptStatus.OK, is_completed=True))
    assert "young" not in caller.sender.state.messages


def test_the_policy_counts_attempts_of_an_earlier_process() -> None:
    from tests.helpers import SenderDriver

    caller = SenderDriver(max_attempts=3)
    caller.list_endpoints("a")
    caller.submit_message("m", attempts=3, ambiguous_age_us=SECOND)
    caller.wait(SECOND)
    assert caller.sends == []
