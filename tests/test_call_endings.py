"""Every way in which a call can end, and whether it may have run, on loopback sockets.

``docs/node.md`` refers to these tests by name.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.message_state import MessageState
from honeybarrow.node import http_connection_pool
from honeybarrow.node.sockets import is_open_and_quiet
from tests.forwarder_harness import OK, ForwarderHarness


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[ForwarderHarness]:
    fixture = ForwarderHarness(tmp_path)
    yield fixture
    fixture.close()


@pytest.mark.parametrize(
    ("data", "end", "status"),
    [
        (b"", "reset", "reset"),
        (b"HTTP/1.1 20", "end", "reset"),
        (b"HTTP/1.1 200 OK", "reset", "reset"),
        (b"HTTP/1.1 200 OK\r\n", "end", "ok"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "", "ok"),
        (b"HTTP/1.1 503 Full\r\nContent-Le", "", "timeout"),
        (b"HTTP/1.1 503 Full\r\nContent-Le", "end", "reset"),
        (b"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nhalf", "end", "reset"),
        (b"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nhalf", "", "timeout"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "", "ok"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "", "ok"),
        (b"HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\n", "", "reset"),
        (b"HTTP/1.1 100 Go on\r\n\r\n" * 20, "", "reset"),
        (b"X: " + b"y" * 9000, "", "reset"),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 9000, "", "ok"),
    ],
)
def test_a_truncated_response_counts_by_its_status_line(
    harness: ForwarderHarness, data: bytes, end: str, status: str
) -> None:
    harness.submit("m1", "pay", left_ms=3000)
    call = harness.read_call()
    call.write(data) if data else None
    if end == "reset":
        harness.run_turns(2)
        call.reset()
    elif end == "end":
        call.socket.shutdown(socket.SHUT_WR)
    harness.advance_until(lambda: harness.process.forwarder.counters.outcomes, 4)
    assert harness.process.forwarder.counters.outcomes == {status: 1} or status == "ok"
    harness.advance_until(
        lambda: harness.process.forwarder.counters.delivered or harness.receive_notifications(), 2
    )
    assert (harness.process.forwarder.counters.delivered == 1) == (status == "ok")
    assert harness.count_calls("m1") == 1


@pytest.mark.parametrize("size", [1, 7])
def test_a_response_in_small_pieces_is_read_and_its_connection_reused(
    harness: ForwarderHarness, size: int
) -> None:
    harness.submit("m1")
    call = harness.read_call()
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
    for offset in range(0, len(response), size):
        call.write(response[offset : offset + size])
        harness.run_turns(1)
    assert harness.process.forwarder.counters.delivered == 1 and harness.process.pool.idle_count == 1


@pytest.mark.parametrize("later_s", [0.0, 0.9])
def test_a_reset_during_a_call_makes_the_attempt_ambiguous_however_late(
    harness: ForwarderHarness, later_s: float
) -> None:
    harness.submit("p1", "pay", left_ms=6000)
    harness.submit("n1", "note", left_ms=6000)
    calls = [harness.read_call("p1"), harness.read_call("n1")]
    harness.advance(later_s)
    for call in calls:
        call.reset()
    harness.advance_until(lambda: harness.receive_notifications())
    assert (
        harness.receive_notifications() == [{"message": "p1", "outcome": "given_up"}]
        and harness.count_calls("p1") == 1
    )
    harness.advance_until(lambda: harness.count_calls("n1") == 2)  # the idempotent one is retried


@pytest.mark.parametrize("is_kept", [True, False])
def test_no_call_is_written_while_a_retry_after_of_its_destination_is_unread(
    harness: ForwarderHarness, is_kept: bool
) -> None:
    harness.submit("m1", left_ms=9000)
    delivered = harness.read_call("m1")
    harness.submit("m2", left_ms=9000)
    rejected = harness.read_call("m2")
    if is_kept:
        delivered.write(OK)
        harness.advance_until(lambda: harness.process.pool.idle_count)
    client = harness.connect_client()
    client.write(harness.request("m3", left_ms=9000))
    for _ in range(5):
        if not harness.process.forwarder.is_known("m3"):  # the decision follows in the next turn
            harness.run_turns()
    if not is_kept:
        harness.run_turns()  # the connection is established in the next turn
        assert harness.process.pool.connects_started == 3
    assert harness.count_calls("m3") == 0
    rejected.write(b"HTTP/1.1 429 No\r\nX-Come-Back-Ms: 900\r\nContent-Length: 0\r\n\r\n")
    rejected_at = harness.now_s
    harness.now_s += 0.15  # simulates a long turn
    harness.advance_until(lambda: harness.count_calls("m3"))
    assert harness.now_s >= rejected_at + 0.9
    assert harness.process.forwarder.counters.outcomes["full"] == 1


@pytest.mark.parametrize("end", ["end", "reset", "timeout", "invalid"])
def test_a_retry_after_holds_though_the_response_is_truncated_behind_its_head(
    harness: ForwarderHarness, end: str
) -> None:
    harness.submit("m1", left_ms=9000)
    call = harness.read_call()
    framing = b"Transfer-Encoding: chunked" if end == "invalid" else b"Content-Length: 9"
    call.write(b"HTTP/1.1 429 No\r\nX-Come-Back-Ms: 4000\r\n" + framing + b"\r\n\r\n")
    harness.run_turns(2)
    if end == "reset":
        call.reset()
    elif end == "end":
        call.socket.shutdown(socket.SHUT_WR)
    elif end == "invalid":
        call.write(b"no size\r\n")
    harness.advance_until(lambda: harness.process.forwarder.counters.outcomes, 5)
    ended_at = harness.now_s
    assert harness.process.forwarder.counters.outcomes == {"timeout" if end == "timeout" else "reset": 1}
    harness.submit("m2", left_ms=9000)
    harness.advance_until(lambda: harness.count_calls("m2"))
    assert harness.now_s >= ended_at + 4.0


def test_a_200_and_then_a_reset_is_delivered(harness: ForwarderHarness) -> None:
    harness.submit("p1", "pay")
    call = harness.read_call()
    call.write(OK)
    call.socket.shutdown(socket.SHUT_RDWR)
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 1)
    assert harness.receive_notifications() == []


@pytest.mark.parametrize("whole", [True, False])
def test_a_response_that_comes_in_the_turn_of_the_timeout_is_read(
    harness: ForwarderHarness, whole: bool
) -> None:
    harness.submit("p1", "pay", left_ms=3000)
    call = harness.read_call()
    connection = next(each.protocol for each in harness.reactor.getReaders() if hasattr(each, "protocol")
                      and getattr(each.protocol, "call", None) is not None)  # fmt: skip
    timeout_at_s = connection.call.timer.getTime()
    call.write(OK if whole else b"HTTP/1.1 200 OK\r\n")
    harness.now_s = timeout_at_s + 0.001  # timers run before sockets in a turn
    harness.run_turns(4)
    assert (
        harness.process.forwarder.counters.outcomes == {"ok": 1}
        and harness.process.forwarder.counters.delivered == 1
    )
    assert sum(harness.process.pool.keep_alive._calls) == 1


@pytest.mark.parametrize(
    ("when", "how", "calls", "delivered"),
    [("before the check", "end", 1, 2), ("after the check", "reset", 1, 2), ("after the check", "end", 0, 1)],
)
def test_a_keep_alive_connection_that_its_endpoint_closes_as_a_call_is_written(
    harness: ForwarderHarness, monkeypatch: Any, when: str, how: str, calls: int, delivered: int
) -> None:
    """The call may have run only if the operating system took the whole request."""
    harness.submit("m0")
    first = harness.read_call()
    first.write(OK)
    harness.advance_until(lambda: harness.process.pool.idle_count == 1)
    real = is_open_and_quiet

    def close_after_check(transport: Any) -> bool:
        is_usable = real(transport)
        first.reset() if how == "reset" else first.close()
        return is_usable

    if when == "before the check":
        first.close()
    else:
        monkeypatch.setattr(http_connection_pool, "is_open_and_quiet", close_after_check)
    harness.submit("p1", "post")
    monkeypatch.undo()
    if calls:
        second = harness.read_call("p1")
        assert second is not first
        second.write(OK)
        harness.advance_until(lambda: harness.process.forwarder.counters.delivered == delivered)
        assert harness.receive_notifications() == []
        return
    # The operating system took the whole request, so the call may have run.
    harness.advance_until(lambda: harness.process.forwarder.counters.outcomes == {"ok": 1, "reset": 1})
    assert harness.process.forwarder.guard.get_state("p1") is MessageState.AMBIGUOUS
    harness.read_call("p1").write(OK)  # repeated within its key window
    harness.advance_until(lambda: harness.process.forwarder.counters.delivered == 2)
    assert harness.receive_notifications() == []


# Guards against: a copy of an earlier response ends the call of a message that must not run twice.
def test_a_non_idempotent_message_is_sent_on_a_new_connection(harness: ForwarderHarness) -> None:
    harness.submit("m0")
    first = harness.read_call()
    first.write(OK)
    harness.advance_until(lambda: harness.process.pool.idle_count == 1)
    harness.submit("p1", "pay")
    second = harness.read_call("p1")
    assert second is not first
    second.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    harness.advance_until(lambda: harness.receive_notifications())
    assert harness.receive_notifications()[0] == {"message": "p1", "outcome": "given_up"}


def test_a_connection_established_after_its_timeout_is_not_used(tmp_path: Path) -> None:
    harness = ForwarderHarness(tmp_path, connect_timeout_us=1_000_000)
    listener = harness.target.listener
    pending = [socket.socket() for _ in range(130)]
    listener.listen(0)
    for each in pending:  # fills the accept queue, so that further connects stay half open
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    harness.submit("p1", "pay", left_ms=2500)
    harness.advance(1.1)
    assert harness.process.forwarder.counters.outcomes.get("connect_failed", 0) >= 1
    harness.advance(2.0)
    assert harness.process.forwarder.open_count == 0
    for _ in range(4):
        harness.run_turns(3)
        for connection in harness.target.accept_connections():
            assert b"p1" not in connection.read()
    for each in pending:
        each.close()
    harness.close()
