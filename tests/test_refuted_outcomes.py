"""What becomes of a message whose outcome is refuted: retry, notification, log, restart and shutdown."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from pathlib import Path

import pytest

from honeybarrow.message_guard import (
    GuardViolationError,
    MessageGuard,
    Refusal,
    Violation,
)
from honeybarrow.message_state import MessageState
from honeybarrow.node.http_call import HttpPayload
from honeybarrow.node.signals import SignalRequest
from tests.forwarder_harness import ForwarderHarness, PeerConnection
from tests.guard_search import SETTINGS as GUARD_SETTINGS
from tests.guard_search import make_initial_state

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[ForwarderHarness]:
    harness = ForwarderHarness(tmp_path)
    yield harness
    harness.close()


def call_on_reused_connection(
    harness: ForwarderHarness, message: str, message_class: str = "note", left_ms: int = 8000
) -> PeerConnection:
    """Deliver one message, then return the same connection with the call of ``message``."""
    harness.submit("m0")
    first = harness.read_call("m0")
    first.write(OK)
    harness.advance_until(lambda: harness.process.pool.idle_count == 1)
    harness.submit(message, message_class, left_ms)
    second = harness.read_call(message)
    assert second is first
    return second


def is_pending(harness: ForwarderHarness, message: str) -> bool:
    return message in harness.process.write_ahead_log.pending_messages.by_id


def test_a_refuted_delivery_is_notified_and_not_sent_again(
    harness: ForwarderHarness,
) -> None:
    call = call_on_reused_connection(harness, "m1")
    call.write(OK)  # a copy of the response to m0
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 2)
    call.write(FULL)  # the true response
    harness.advance_until(harness.receive_notifications)
    assert {"message": "m1", "outcome": "given_up"} in harness.receive_notifications()
    harness.advance_until(lambda: not is_pending(harness, "m1"))
    harness.advance(1.0)
    assert harness.count_calls("m1") == 1 and harness.process.forwarder.open_count == 0
    assert harness.clients[1].read().count(b"HTTP/1.1 202") == 1  # the client hears of it once
    assert harness.process.surplus_responses.counts == {"s1": 1}


def test_a_delivery_refuted_after_its_time_is_notified(harness: ForwarderHarness) -> None:
    call = call_on_reused_connection(harness, "m1", left_ms=400)
    call.write(OK)
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 2)
    harness.advance(0.5)
    call.write(FULL)
    harness.advance_until(lambda: harness.receive_notifications(), 3)
    assert harness.receive_notifications() == [{"message": "m1", "outcome": "given_up"}]
    assert harness.count_calls("m1") == 1


# Guards against: a copied 503 lets a message with a key be repeated after its window.
def test_a_refuted_not_run_counts_its_key_window_from_that_attempt(harness: ForwarderHarness) -> None:
    call = call_on_reused_connection(harness, "p1", "post", 15_000)
    harness.advance(0.2)
    call.write(FULL)  # a copy
    harness.advance_until(
        lambda: harness.process.forwarder.guard.get_state("p1") is not MessageState.IN_FLIGHT
    )
    call.write(OK)  # the true response: it has run
    harness.advance_until(lambda: harness.process.forwarder.guard.get_state("p1") is MessageState.AMBIGUOUS)
    for connection in harness.target.accept_connections():
        connection.reset()
    harness.target.close()  # nothing answers until the window of 5 s is over
    harness.advance_until(lambda: harness.receive_notifications(), 15)
    assert [each["message"] for each in harness.receive_notifications()] == ["p1"]


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_after_a_kill_a_delivery_is_repeated_only_if_it_was_unconfirmed(
    harness: ForwarderHarness, is_confirmed: bool
) -> None:
    call_on_reused_connection(harness, "m1").write(OK)
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 2)
    if is_confirmed:
        harness.advance(2.0)
    assert is_pending(harness, "m1") is not is_confirmed
    harness.kill()
    harness.start_process()
    harness.send_list(harness.read_watch(), 41)
    harness.advance(1.0)
    assert harness.count_calls("m1") == (1 if is_confirmed else 2)


def test_a_shutdown_waits_for_verdicts(harness: ForwarderHarness) -> None:
    call_on_reused_connection(harness, "m1").write(OK)
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 2)
    harness.process.pool.reuse_policy.record_response_time("s1", 2_000_000)
    harness.process.handle_signal(SignalRequest.SHUT_DOWN)
    harness.advance(0.8)
    assert not harness.is_stopped and harness.process.forwarder.unconfirmed.count == 1
    harness.advance_until(lambda: harness.is_stopped, 3)
    assert harness.process.forwarder.unconfirmed.count == 0


def test_a_failure_on_a_reused_connection_is_repeated_once_a_true_response_would_have_come(
    harness: ForwarderHarness,
) -> None:
    harness.submit("m0")
    first = harness.read_call("m0")
    harness.advance(0.9)  # the longest response time
    first.write(OK)
    harness.advance_until(lambda: harness.process.pool.idle_count == 1)
    harness.submit("m1", left_ms=8000)
    harness.read_call("m1").write(FULL)
    failed_s = harness.advance_until(
        lambda: harness.process.forwarder.counters.outcomes.get("full") and harness.now_s
    )
    harness.advance_until(lambda: harness.count_calls("m1") == 2)
    assert harness.now_s - failed_s >= 0.8


# The guard.


def start_attempt(class_name: str) -> MessageGuard:
    guard = make_initial_state(class_name).guard
    guard.on_recorded("m0")
    assert guard.may_acknowledge("m0") is None and guard.may_forward("m0", "a", 0) is None
    guard.on_attempt_started("m0", "a", 0)
    return guard


@pytest.mark.parametrize(("class_name", "is_allowed"), [("note", True), ("post", True), ("pay", False)])
def test_only_messages_that_may_be_repeated_reuse_a_connection(class_name: str, is_allowed: bool) -> None:
    guard = make_initial_state(class_name).guard
    assert (guard.may_reuse_connection("m0") is None) is is_allowed
    assert make_initial_state("step").guard.may_reuse_connection("m0") is Refusal.NEEDS_NEW_CONNECTION


def test_an_ambiguous_message_gets_a_new_connection() -> None:
    guard = start_attempt("note")
    guard.on_attempt_finished("m0", 10, False, False, True)
    assert guard.may_reuse_connection("m0") is Refusal.NEEDS_NEW_CONNECTION


def test_an_unconfirmed_outcome_of_a_message_that_must_not_run_twice_is_a_violation() -> None:
    guard = start_attempt("pay")
    with pytest.raises(GuardViolationError):
        guard.on_attempt_finished("m0", 10, True, False, False, 0)
    assert guard.strict_violations.pop().refusal is Refusal.NEEDS_NEW_CONNECTION
    assert guard.may_retry("m0", 20) is Refusal.MAY_HAVE_RUN


def test_an_unconfirmed_not_run_forbids_a_repeat_after_the_window_until_it_is_confirmed() -> None:
    window_us = next(each.key_window_us for each in GUARD_SETTINGS.classes if each.name == "post")
    guard = start_attempt("post")
    guard.on_attempt_finished("m0", 10, True, False, False, 0)
    assert guard.may_retry("m0", 20) is None
    assert guard.may_retry("m0", window_us + 1) is Refusal.UNCONFIRMED
    guard.on_outcome_confirmed("m0", 0)
    assert guard.may_retry("m0", window_us + 1) is None

    guard = start_attempt("post")
    guard.on_attempt_finished("m0", 10, True, False, False, 0)
    guard.on_outcome_refuted("m0", 0)
    assert guard.get_state("m0") is MessageState.AMBIGUOUS
    assert guard.may_retry("m0", window_us + 1) is Refusal.KEY_WINDOW_OVER
    violations: list[Violation] = []
    MessageGuard(GUARD_SETTINGS, violations.append).on_outcome_refuted("unknown", 0)
    assert violations == []


# Guards against: a doubt is treated as a disproof, and a true delivery repeated (report d58050).
@pytest.mark.parametrize(
    "end", ["no response to the next request", "end of the connection", "surplus after a confirmation"]
)
def test_the_notification_of_a_refuted_delivery_outlives_a_kill_and_no_call_follows(
    harness: ForwarderHarness, end: str
) -> None:
    call = call_on_reused_connection(harness, "m1", left_ms=15_000)
    call.write(OK)
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 2)
    if end == "no response to the next request":
        harness.advance(2.0)
        assert not is_pending(harness, "m1")
        harness.submit("m2")
        assert harness.read_call("m2") is call
    elif end == "surplus after a confirmation":
        harness.advance(2.0)
        assert not is_pending(harness, "m1")
        call.write(FULL)
    if end != "surplus after a confirmation":
        call.reset()
    harness.advance_until(lambda: harness.process.forwarder.unconfirmed.refuted_counts.total())
    harness.kill()  # the notification outlives the process
    harness.start_process()
    harness.send_list(harness.read_watch(), 41)
    harness.advance_until(harness.receive_notifications, 5)
    assert {"message": "m1", "outcome": "given_up"} in harness.receive_notifications()
    harness.advance(1.0)
    assert harness.count_calls("m1") == 1


def count_payloads(message: str) -> int:
    return sum(isinstance(each, HttpPayload) and each.message == message for each in gc.get_objects())


# Guards against: reference cycles that keep each message in memory until a full garbage collection.
@pytest.mark.parametrize("end", ["next response", "endpoint closes", "refuted"])
def test_a_message_is_freed_once_its_outcome_is_final(harness: ForwarderHarness, end: str) -> None:
    name = f"freed-by-{end.split()[0]}"
    gc.disable()
    try:
        call = call_on_reused_connection(harness, name)
        call.write(OK)
        harness.advance(2.0)
        assert count_payloads(name) == 1  # a later surplus could still refute the delivery
        if end == "next response":
            harness.submit("m2")
            harness.read_call("m2").write(OK)
        elif end == "endpoint closes":
            call.close()
        else:
            call.write(FULL)
            harness.advance_until(harness.receive_notifications)
        harness.advance(2.0)
        assert count_payloads(name) == 0
    finally:
        gc.enable()


# Guards against: a copied 200 of an endpoint that hangs loses its message if its connection rests.
def test_a_copied_delivery_of_an_endpoint_that_hangs_gets_a_final_result(harness: ForwarderHarness) -> None:
    call = call_on_reused_connection(harness, "m1", left_ms=4000)
    call.write(OK)  # a copy; no true response ever comes
    harness.advance(4.3)
    is_notified = [each["message"] for each in harness.receive_notifications()] == ["m1"]
    assert is_notified or harness.count_calls("m1") > 1
