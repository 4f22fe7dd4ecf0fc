"""Messages of a process that is stopped or killed, on loopback sockets.

The table of endings in ``docs/node.md`` refers to these tests.
"""

from __future__ import annotations

import errno
import json
import socket
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.message_guard import MAX_SHUTDOWN_US, Refusal
from honeybarrow.node.http_connection import HttpConnection
from honeybarrow.node.shutdown import CLOSE_GRACE_US
from honeybarrow.node.signals import SignalRequest
from tests.forwarder_harness import NO_CONTENT, OK, ForwarderHarness, PeerConnection, ProcessKilledError
from tests.helpers import CLASSES

UNAVAILABLE = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[ForwarderHarness]:
    instance = ForwarderHarness(tmp_path)
    yield instance
    instance.close()


def test_late_requests_are_rejected_and_the_process_ends_in_time(harness: ForwarderHarness) -> None:
    harness.submit("m1", left_ms=9000)
    harness.read_call()  # never answered
    harness.process.shutdown.start()
    harness.advance((MAX_SHUTDOWN_US - 2 * CLOSE_GRACE_US) / 1e6 - 0.2)
    connection = harness.connect_client()
    harness.advance_until(lambda: harness.process.submissions.is_closed, 1)
    connection.write(harness.request("m2"))
    harness.advance_until(lambda: harness.is_stopped, 1)
    assert connection.read().startswith(b"HTTP/1.1 503") or (
        connection.received == b"" and connection.ending == "end"
    )
    assert harness.now_s - 100 < MAX_SHUTDOWN_US / 1e6 + 0.3 and not harness.process.forwarder.is_known("m2")
    assert list(harness.process.write_ahead_log.pending_messages.by_id) == ["m1"]


def test_an_idle_process_waits_for_new_connections_at_shutdown(harness: ForwarderHarness) -> None:
    harness.process.shutdown.start()
    harness.advance(0.5)
    connection = harness.connect_client()
    harness.advance(0.3)
    assert not harness.is_stopped
    connection.write(harness.request("m1", left_ms=300))
    harness.advance_until(lambda: connection.read().startswith(b"HTTP/1.1 202"))
    harness.read_call().write(OK)
    harness.advance_until(lambda: harness.is_stopped, 1)
    assert harness.process.write_ahead_log.pending_messages.by_id == {}


def _raise_killed(*args: Any) -> Any:
    raise ProcessKilledError


def _kill_in_turn(harness: ForwarderHarness, point: str) -> None:
    """Kill the process in the turn that accepts the message."""
    process: Any = harness.process
    write = process.write_ahead_log._write_records

    def write_and_kill(records: Any) -> Any:
        write(records)
        raise ProcessKilledError

    if point == "before the record":
        process.write_ahead_log._write_records = _raise_killed
    elif point == "between record and 202":
        process.write_ahead_log._write_records = write_and_kill
    else:
        process.pool.call = _raise_killed
    # The test runs the turn itself because Twisted would catch the exception.
    run_turn = process.forwarder._run_turn
    process.forwarder._run_turn = lambda: None
    harness.advance_until(lambda: process.forwarder._arrived_this_turn)
    with pytest.raises(ProcessKilledError):
        run_turn()


def _kill_before_connected(harness: ForwarderHarness, connection: PeerConnection) -> None:
    process: Any = harness.process
    harness.advance_until(lambda: process.pool.connects_started, 0.5)
    assert process.forwarder.calls_in_flight == 1 and connection.read() and harness.count_calls("m1") == 0


def _kill_before_first_byte(harness: ForwarderHarness) -> None:
    connection_class: Any = HttpConnection
    send_request = connection_class.send_request

    def stop_and_raise(*args: Any) -> Any:
        harness.is_stopped = True  # prevents further turns, since Twisted catches the exception
        raise ProcessKilledError

    connection_class.send_request = stop_and_raise
    harness.advance_until(lambda: harness.is_stopped, 0.5)
    connection_class.send_request = send_request
    pending = harness.process.write_ahead_log.pending_messages.by_id["m1"]
    assert pending.attempt_count == 1 and harness.count_calls("m1") == 0


def _kill_after_first_byte(harness: ForwarderHarness, point: str, connection: PeerConnection) -> None:
    process: Any = harness.process
    harness.advance_until(lambda: connection.read())
    call = harness.read_call()
    if point == "between response and its record":
        process.write_ahead_log.commit = lambda: True  # writes nothing
        call.write(OK)
        harness.run_turns(3)
    elif point == "after a rejection":
        call.write(UNAVAILABLE)
        harness.advance_until(lambda: process.forwarder.counters.outcomes)
        harness.run_turns(2)


def _kill_at(harness: ForwarderHarness, point: str, connection: PeerConnection) -> None:
    """Kill the process at a point in the handling of a message that a client has written."""
    if point in ("before the record", "between record and 202", "between 202 and call"):
        _kill_in_turn(harness, point)
    elif point == "before its connection is established":
        _kill_before_connected(harness, connection)
    elif point == "before its first byte":
        _kill_before_first_byte(harness)
    else:
        _kill_after_first_byte(harness, point, connection)
    harness.kill()


@pytest.mark.parametrize(
    ("point", "cls", "outcome"),
    [
        ("before the record", "note", "nothing"),
        ("between record and 202", "note", "attempted"),
        ("between record and 202", "pay", "attempted"),
        ("between 202 and call", "note", "attempted"),
        ("between 202 and call", "pay", "attempted"),
        ("before its connection is established", "pay", "attempted"),
        ("before its first byte", "pay", "failed"),  # the recorded attempt may have run
        ("during the call", "note", "attempted"),
        ("during the call", "post", "attempted"),
        ("during the call", "pay", "failed"),
        ("between response and its record", "post", "attempted"),  # safe within the key window
        ("between response and its record", "pay", "failed"),
        ("after a rejection", "pay", "attempted"),
    ],
)
def test_after_a_kill_the_next_process_completes_the_message_according_to_its_idempotency(
    harness: ForwarderHarness, point: str, cls: str, outcome: str
) -> None:
    connection = harness.connect_client()
    connection.write(harness.request("m1", cls))
    _kill_at(harness, point, connection)
    calls = harness.count_calls("m1")
    harness.now_s += 1.3
    harness.start_process()
    if outcome == "attempted":
        harness.advance_until(lambda: harness.count_calls("m1") == calls + 1, 2)
        harness.read_call().write(OK)
        harness.advance(0.3)
        assert (
            harness.receive_notifications() == []
            and harness.process.write_ahead_log.pending_messages.by_id == {}
        )
        return
    harness.advance(0.1)
    expected = [{"message": "m1", "outcome": "given_up"}] if outcome == "failed" else []
    assert harness.receive_notifications() == expected
    harness.advance(1.0)
    assert harness.receive_notifications() == expected and harness.count_calls("m1") == calls


@pytest.mark.parametrize(("downtime_s", "calls"), [(0.5, 2), (1.2, 1)])
def test_a_key_window_continues_across_a_restart(tmp_path: Path, downtime_s: float, calls: int) -> None:
    short_window_classes = tuple(replace(kind, key_window_us=1_000_000) for kind in CLASSES)
    harness = ForwarderHarness(tmp_path, classes=short_window_classes)
    harness.submit("m1", "post", left_ms=8000)
    harness.read_call()
    harness.kill()
    harness.now_s += downtime_s
    harness.start_process()
    harness.advance(1.0)
    assert harness.count_calls("m1") == calls
    harness.close()


@pytest.mark.parametrize("signal_name", ["SIGTERM", "SIGKILL"])
def test_an_unacknowledged_notification_is_resent_with_the_same_result(
    harness: ForwarderHarness, signal_name: str
) -> None:
    harness.submit("p1", "pay")
    harness.read_call().write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    notification = {"message": "p1", "outcome": "given_up"}
    harness.advance_until(
        lambda: harness.receive_notifications(b"") == [notification]
    )  # received, not answered
    if signal_name == "SIGTERM":
        harness.process.handle_signal(SignalRequest.SHUT_DOWN)
        harness.process.handle_signal(SignalRequest.SHUT_DOWN)
        harness.advance_until(lambda: harness.is_stopped, 4)
    harness.kill()
    harness.now_s += 0.6
    harness.start_process()
    harness.advance_until(lambda: len(harness.receive_notifications()) >= 2)
    assert set(map(str, harness.receive_notifications())) == {str(notification)}
    harness.run_turns(5)
    assert harness.process.write_ahead_log.pending_messages.by_id == {} and harness.count_calls("p1") == 1


def test_accepted_messages_without_an_attempt_are_attempted_by_the_next_process(
    harness: ForwarderHarness,
) -> None:
    guard: Any = harness.process.forwarder.guard
    guard.may_forward = lambda *args: Refusal.SHUTTING_DOWN
    for number in range(20):
        harness.submit(f"m{number}", "pay" if number % 2 else "note", left_ms=9000)
    harness.run_turns(3)
    harness.kill()
    harness.now_s += 1.2
    harness.start_process()

    def answer_calls_until_all_delivered() -> bool:
        for connection in harness.target.accept_connections():
            while connection.read().count(b"\r\n\r\nhi") > connection.answered_count:
                connection.write(OK)
                connection.answered_count += 1
        return harness.process.forwarder.counters.delivered == 20

    harness.advance_until(answer_calls_until_all_delivered, 6)
    assert harness.receive_notifications() == []


def test_an_attempt_withheld_during_shutdown_is_not_counted(harness: ForwarderHarness) -> None:
    """Guards against failing a message for too many attempts although none was sent."""
    harness.submit("m1", left_ms=9000)  # never answered, so the shutdown takes its full time
    harness.read_call()
    harness.process.shutdown.start()
    harness.advance(2.1)  # no non-idempotent attempt starts after this time
    for number in range(4):
        connection = harness.connect_client()
        connection.write(harness.request(f"p{number}", "pay", left_ms=9000))
        harness.advance_until(lambda connection=connection: connection.read().startswith(b"HTTP/1.1 202"))  # type: ignore[misc]
    harness.advance_until(lambda: harness.is_stopped, 2)
    pending = harness.process.write_ahead_log.pending_messages.by_id.values()
    assert [each.attempt_count for each in pending if each.accepted.class_name == "pay"] == [0] * 4
    harness.kill()
    harness.now_s += 0.6
    harness.start_process()
    harness.advance_until(lambda: sum(harness.count_calls(f"p{number}") for number in range(4)) == 4, 3)
    assert harness.receive_notifications() == []


@pytest.mark.parametrize("first", ["reload", "stop"])
def test_a_reload_during_shutdown(harness: ForwarderHarness, monkeypatch: Any, first: str) -> None:
    config = {
        "name": "n0", "listen": "{}:{}".format(*harness.listen),
        "discovery": harness.second_discovery.address, "seed": "1",
        "settings": {"services": [{"name": "note", "aimUs": 1, "hardLimitUs": 2}],
                     "familyInfo": {"callSlots": 3}, "limits": {"maxOpen": 9}},
    }  # fmt: skip
    (harness.folder / "config.json").write_text(json.dumps(config))
    monkeypatch.setenv("ROUTER_CONFIG", str(harness.folder / "config.json"))
    monkeypatch.setenv("ROUTER_STATE", str(harness.folder))
    harness.read_watch()  # not answered
    harness.submit("p1", "pay")
    call = harness.read_call()
    for request in (first, "stop" if first == "reload" else "reload", "stop", "reload"):
        harness.process.handle_signal(SignalRequest(request))
    call.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    assert b"/discovery" in harness.read_watch(harness.second_discovery).received
    harness.advance_until(
        lambda: harness.receive_notifications() == [{"message": "p1", "outcome": "given_up"}]
    )
    assert any(b"/reports" in connection.received for connection in harness.second_discovery.connections)
    harness.advance_until(lambda: harness.is_stopped, 1)
    assert harness.process.write_ahead_log.pending_messages.by_id == {}


def test_an_unanswered_notification_is_resent_on_a_new_connection_within_300_ms(
    harness: ForwarderHarness,
) -> None:
    harness.submit("p1", "pay")
    harness.read_call().write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    harness.advance_until(lambda: harness.receive_notifications(b""))
    sent_at_s, connection_count = harness.now_s, len(harness.platform.connections)
    harness.advance_until(lambda: len(harness.platform.accept_connections()) > connection_count)
    assert harness.now_s - sent_at_s < 0.3
    harness.advance_until(
        lambda: harness.receive_notifications() and not harness.process.notifications.unacknowledged
    )


def test_a_notification_is_sent_on_connect_even_if_reactor_turns_are_long(harness: ForwarderHarness) -> None:
    """Guards against a timeout that fires before the notification is written, here with turns of 0.16 s."""
    harness.submit("p1", "pay")
    harness.read_call().write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    decided_at_s = harness.now_s
    while not harness.receive_notifications(b""):
        harness.now_s += 0.16
        harness.run_turns()
        assert harness.now_s - decided_at_s < 0.5
    first = next(line for line in harness.platform.accept_connections() if b"/reports" in line.received)
    harness.now_s += 0.16
    first.write(NO_CONTENT)
    harness.run_turns()  # the timeout fires before the response is read
    assert harness.process.write_ahead_log.pending_messages.by_id == {}, (
        "the response to the first request counts"
    )


def test_a_late_response_to_a_resent_notification_counts(harness: ForwarderHarness) -> None:
    harness.submit("p1", "pay")
    harness.read_call().write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    harness.advance_until(lambda: len(harness.receive_notifications(b"")) == 1)
    first = next(line for line in harness.platform.accept_connections() if b"/reports" in line.received)
    harness.advance_until(lambda: len(harness.receive_notifications(b"")) == 2)
    first.write(NO_CONTENT)
    harness.advance_until(lambda: not harness.process.notifications.unacknowledged, 0.1)
    harness.advance(3.0)
    assert len(harness.receive_notifications()) == 2


def test_a_notification_is_retried_quickly_if_connects_fail_immediately(
    harness: ForwarderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failed connects are retried without the growing delays used for an unresponsive platform."""
    connect, connects = socket.socket.connect_ex, [0]

    def fail_nine_connects(own: socket.socket, address: tuple[str, int]) -> int:
        connects[0] += 1
        return errno.ENETUNREACH if connects[0] <= 18 else connect(own, address)  # two calls per connect

    harness.submit("p1", "pay")
    call = harness.read_call()
    monkeypatch.setattr(socket.socket, "connect_ex", fail_nine_connects)
    call.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    decided_at_s = harness.now_s
    harness.advance_until(harness.receive_notifications, 5)
    assert connects[0] >= 18 and harness.now_s - decided_at_s < 0.9
