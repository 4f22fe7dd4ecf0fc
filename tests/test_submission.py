"""Submission, acceptance and notification of messages, in simulated time and without sockets."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.message_guard import IDEMPOTENT_ONLY_SHUTDOWN_US, MAX_SHUTDOWN_US
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import FinalResult, MessageAccepted, ResumedMessage
from tests.helpers import SECOND, make_clocks
from tests.platform_bench import (
    MemoryTransport,
    SubmissionBench,
    status_of,
)


def reopen_log(folder: Path, bench: SubmissionBench) -> WriteAheadLog:
    """Read the log as the next process would."""
    return WriteAheadLog(str(folder), 1_000_000, make_clocks(bench.clock_us))


def test_messages_of_one_order_key_are_sent_one_at_a_time_across_restarts(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    client, _ = bench.connect_client()
    for name in ("m1", "m2"):
        bench.submit(client, name, class_name="step", path="/step/a1")
        bench.clock.advance(0.01)
    assert len(bench.clock.tcpClients) == 1, "the second waits for the first"
    bench.connect_endpoint()
    bench.write_ahead_log.commit()
    pending = list(reopen_log(tmp_path, bench).pending_messages.by_id.values())
    assert [(each.accepted.message, each.accepted.order_key) for each in pending] == [
        ("m1", "a1"),
        ("m2", "a1"),
    ]
    next_bench = SubmissionBench(tmp_path / "next")
    for entry in pending:
        next_bench.submissions.resume_message(ResumedMessage(entry.accepted, 2 * SECOND, 0, None))
    next_bench.clock.advance(0.01)
    assert len(next_bench.clock.tcpClients) == 1


def test_the_next_message_of_an_order_key_waits_until_the_notification_is_acknowledged(
    tmp_path: Path,
) -> None:
    bench = SubmissionBench(tmp_path)
    client, _ = bench.connect_client()
    bench.submit(client, "m1", class_name="step", path="/step/a1", left_ms=300)
    bench.clock.advance(0.01)
    bench.connect_endpoint()  # never responds, so m1 fails
    bench.submit(client, "m2", class_name="step", path="/step/a1", left_ms=9000)

    def count_connects() -> int:
        return sum(each[0] == "127.0.0.1" for each in bench.clock.tcpClients)

    bench.clock.pump([0.05] * 60)
    assert "m1" in bench.notifications.unacknowledged and count_connects() == 1
    bench.submissions.on_notifications_acknowledged(["m1"])
    bench.clock.pump([0.05] * 60)
    assert count_connects() == 2


def test_a_message_is_recorded_before_202_and_an_attempt_right_before_its_first_byte(tmp_path: Path) -> None:
    bench, events = SubmissionBench(tmp_path), list[str]()
    write = bench.write_ahead_log._write_records
    call = bench.pool.call
    connection, transport = bench.connect_client()
    write_response = transport.write

    def recording(event: str, function: Any) -> Any:
        def record_and_call(*args: Any) -> Any:
            events.append(event)
            return function(*args)

        return record_and_call

    untyped_bench: Any = bench
    untyped_bench.write_ahead_log._write_records = recording("disk", write)
    untyped_bench.pool.call = recording("call", call)
    transport.write = recording("202", write_response)
    bench.submit(connection, "m1")
    assert status_of(transport) == b""
    bench.clock.advance(0)
    assert status_of(transport) == b"202" and events == ["disk", "202", "call"]
    pending = reopen_log(tmp_path, bench).pending_messages.by_id["m1"]
    assert pending.accepted.body == b"hi" and list(pending.in_flight) == []  # nothing was sent yet
    endpoint_connection, endpoint_transport = (
        bench.clock.tcpClients[-1][2].buildProtocol(None),
        MemoryTransport(),
    )
    endpoint_transport.write = recording("bytes", endpoint_transport.write)
    endpoint_connection.makeConnection(endpoint_transport)
    assert events == ["disk", "202", "call", "disk", "bytes"]
    pending = reopen_log(tmp_path, bench).pending_messages.by_id["m1"]
    assert list(pending.in_flight) == [0]
    endpoint_connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    bench.clock.advance(0)
    assert bench.write_ahead_log.pending_messages.by_id == {} and bench.notifications.unacknowledged == {}


def test_a_disconnect_withdraws_the_message_only_before_202(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    early, _ = bench.connect_client()
    bench.submit(early, "m1")
    early.connectionLost()
    assert bench.write_ahead_log.space.reserved_bytes == 0
    late, transport = bench.connect_client()
    bench.submit(late, "m2")
    bench.clock.advance(0)
    late.connectionLost()
    bench.clock.advance(0)
    assert (
        status_of(transport) == b"202"
        and list(bench.write_ahead_log.pending_messages.by_id) == ["m2"]
        and bench.forwarder.open_count == 1
    )
    assert len(bench.clock.tcpClients) == 1


def test_a_failed_message_is_notified_once_and_kept_until_acknowledged(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    connection, _ = bench.connect_client()
    bench.submit(connection, "m1", class_name="pay")
    bench.clock.advance(0)
    bench.connect_endpoint()[0].dataReceived(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    bench.clock.pump([0.01] * 3)
    assert [json.loads(line) for line in bench.notifications.unacknowledged.values()] == [
        {"message": "m1", "outcome": "given_up"}
    ]
    entry = reopen_log(tmp_path, bench).pending_messages.by_id["m1"]
    assert entry.final_result == FinalResult("m1", False)
    platform_connection, transport = bench.connect_endpoint()
    assert transport.value().startswith(b"POST /reports HTTP/1.1\r\n")
    platform_connection.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert bench.notifications.unacknowledged == {} and bench.write_ahead_log.pending_messages.by_id == {}


def test_a_retry_is_not_sent_if_its_connection_opens_after_the_key_window(tmp_path: Path) -> None:
    """Guards against duplicates from a retry that is decided within the key window and sent after it."""
    bench = SubmissionBench(tmp_path)
    client, _ = bench.connect_client()
    bench.submit(client, "m1", class_name="post", left_ms=20_000)
    bench.clock.advance(0)
    started_s = bench.clock.seconds()

    def advance_until(seconds: float, connects: int) -> None:
        while bench.clock.seconds() < started_s + seconds and len(bench.clock.tcpClients) < connects:
            bench.clock.advance(0.01)

    bench.connect_endpoint()  # never responds; the key window of 5 s starts here
    advance_until(4, 2)
    second, _ = bench.connect_endpoint()
    advance_until(3.8, 3)
    second.dataReceived(b"HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    advance_until(5, 3)
    assert len(bench.clock.tcpClients) == 3 and bench.clock.seconds() < started_s + 4.5
    advance_until(5.06, 4)
    _, transport = bench.connect_endpoint()  # connection of the third attempt
    assert transport.value() == b""
    bench.clock.pump([0.01] * 3)
    assert bench.forwarder.open_count == 0 and len(bench.notifications.unacknowledged) == 1


@pytest.mark.parametrize("change", ["wait", "drain"])
def test_no_attempt_is_sent_after_a_retry_after_or_a_drain_during_the_connect(
    tmp_path: Path, change: str
) -> None:
    bench = SubmissionBench(tmp_path)
    client, _ = bench.connect_client()
    bench.submit(client, "m1")
    bench.clock.advance(0)
    bench.submit(client, "m2")
    bench.clock.advance(0)
    one, other = (each[2] for each in bench.clock.tcpClients)
    if change == "wait":
        refused, transport = one.buildProtocol(None), MemoryTransport()
        refused.makeConnection(transport)
        refused.dataReceived(b"HTTP/1.1 429 No\r\nX-Come-Back-Ms: 700\r\nContent-Length: 0\r\n\r\n")
    else:
        row = Endpoint("a", 7, EndpointState.DRAINING, "shop")
        bench.forwarder.apply_membership_update(MembershipUpdate(UpdateKind.CHANGES, 2, (row,)))
    bench.clock.advance(0.2)
    late, transport = other.buildProtocol(None), MemoryTransport()
    late.makeConnection(transport)
    assert transport.value() == b"" and bench.forwarder.open_count == 2


def test_a_notification_is_sent_until_acknowledged_and_goes_to_the_new_address(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    bench.submissions.notify_result(FinalResult("m1", True, 250))
    bench.clock.advance(0)
    platform_connection, _ = bench.connect_endpoint()
    platform_connection.dataReceived(b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n")
    bench.clock.pump([0.05] * 4)
    assert len(bench.clock.tcpClients) == 2  # the second is never connected
    bench.notifications.change_address(("127.0.0.3", 8500))
    assert bench.clock.tcpClients[-1][0] == "127.0.0.3"
    platform_connection, transport = bench.connect_endpoint()
    assert json.loads(transport.value().split(b"\r\n\r\n")[1]) == {
        "message": "m1",
        "outcome": "handed_back",
        "retry_in_ms": 250,
    }
    platform_connection.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert bench.notifications.unacknowledged == {}


def test_known_ids_full_capacity_and_unlisted_destinations_are_rejected(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path, max_open=1)
    statuses = []
    for message, dest in (("m1", 7), ("m1", 7), ("m2", 7), ("m3", 8)):
        connection, transport = bench.connect_client()
        bench.submit(connection, message, dest)
        bench.clock.advance(0)
        statuses.append(status_of(transport))
    assert statuses == [b"202", b"409", b"429", b"503"] and bench.forwarder.open_count == 1
    assert bench.write_ahead_log.space.reserved_bytes == 0
    assert b"\r\nRetry-After: " in transport.value()


def test_the_id_of_a_completed_message_is_not_accepted_again(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    connection, transport = bench.connect_client()
    bench.submit(connection, "m1")
    bench.clock.advance(0)
    bench.connect_endpoint()[0].dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    bench.clock.advance(0)
    other, transport = bench.connect_client()
    bench.submit(other, "m1")
    assert status_of(transport) == b"409"


def test_a_message_that_can_not_be_recorded_is_neither_accepted_nor_sent(
    tmp_path: Path, monkeypatch: Any
) -> None:
    bench = SubmissionBench(tmp_path)

    def raise_disk_full(fd: int, data: bytes) -> int:
        raise OSError(28, "no space")

    monkeypatch.setattr(os, "write", raise_disk_full)
    connection, transport = bench.connect_client()
    bench.submit(connection, "m1")
    bench.clock.pump([0.01] * 3)
    assert status_of(transport) == b"503" and b"Retry-After" in transport.value()
    assert bench.forwarder.open_count == 0 and bench.clock.tcpClients == []
    assert bench.write_ahead_log.space.reserved_bytes == 0
    bench.submit(connection, "m1-again")  # the log is already unavailable
    bench.clock.pump([0.01] * 3)
    assert transport.value().count(b"HTTP/1.1 503") == 2 and bench.forwarder.counters.accepted == 1
    monkeypatch.undo()
    assert bench.write_ahead_log.retry()
    other, transport = bench.connect_client()
    bench.submit(other, "m2")
    bench.clock.advance(0)
    assert status_of(transport) == b"202" and len(bench.clock.tcpClients) == 1


def test_resumed_messages_are_exempt_from_the_capacity_limit(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path, max_open=1)
    for name in ("m1", "m2"):
        accepted = MessageAccepted(name, "note", 7, 3 * SECOND, "acme", "", b"x")
        bench.submissions.resume_message(ResumedMessage(accepted, 3 * SECOND, 0, None))
    bench.clock.advance(0)
    assert bench.forwarder.open_count == 2 and bench.notifications.unacknowledged == {}


def test_no_non_idempotent_attempt_starts_near_the_end_of_the_process(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    bench.forwarder.context.get_shutdown_age_us = lambda: MAX_SHUTDOWN_US - IDEMPOTENT_ONLY_SHUTDOWN_US
    connection, transport = bench.connect_client()
    bench.submit(connection, "p1", class_name="pay")
    bench.clock.advance(0)
    assert status_of(transport) == b"202" and bench.clock.tcpClients == []
    bench.clock.pump([0.05] * 3)
    pending = reopen_log(tmp_path, bench).pending_messages.by_id["p1"]
    assert pending.first_ambiguous_start_us() is None and bench.forwarder.open_count == 1
