"""Every way in which a call can end, and whether it may have run, on loopback sockets.

``docs/node.md`` refers to these tests by name.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.node import http_connection_pool
from honeybarrow.node.sockets import is_open_and_quiet
from tests.crossing import OK, Rig


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    fixture = Rig(tmp_path)
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
def test_a_truncated_response_counts_by_its_status_line(rig: Rig, data: bytes, end: str, status: str) -> None:
    rig.submit("m1", "pay", left_ms=3000)
    call = rig.read_call()
    call.write(data) if data else None
    if end == "reset":
        rig.run_turns(2)
        call.reset()
    elif end == "end":
        call.socket.shutdown(socket.SHUT_WR)
    rig.advance_until(lambda: rig.process.forwarder.counters.outcomes, 4)
    assert rig.process.forwarder.counters.outcomes == {status: 1} or status == "ok"
    rig.advance_until(lambda: rig.process.forwarder.counters.delivered or rig.receive_notifications(), 2)
    assert (rig.process.forwarder.counters.delivered == 1) == (status == "ok")
    assert rig.count_calls("m1") == 1


@pytest.mark.parametrize("size", [1, 7])
def test_a_response_in_small_pieces_is_read_and_its_connection_reused(rig: Rig, size: int) -> None:
    rig.submit("m1")
    call = rig.read_call()
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
    for offset in range(0, len(response), size):
        call.write(response[offset : offset + size])
        rig.run_turns(1)
    assert rig.process.forwarder.counters.delivered == 1 and rig.process.pool.idle_count == 1


@pytest.mark.parametrize("later_s", [0.0, 0.9])
def test_a_reset_during_a_call_makes_the_attempt_ambiguous_however_late(rig: Rig, later_s: float) -> None:
    rig.submit("p1", "pay", left_ms=6000)
    rig.submit("n1", "note", left_ms=6000)
    calls = [rig.read_call("p1"), rig.read_call("n1")]
    rig.advance(later_s)
    for call in calls:
        call.reset()
    rig.advance_until(lambda: rig.receive_notifications())
    assert (
        rig.receive_notifications() == [{"message": "p1", "outcome": "given_up"}]
        and rig.count_calls("p1") == 1
    )
    rig.advance_until(lambda: rig.count_calls("n1") == 2)  # the idempotent one is retried


@pytest.mark.parametrize("is_kept", [True, False])
def test_no_call_is_written_while_a_retry_after_of_its_destination_is_unread(rig: Rig, is_kept: bool) -> None:
    rig.submit("m1", left_ms=9000)
    delivered = rig.read_call("m1")
    rig.submit("m2", left_ms=9000)
    rejected = rig.read_call("m2")
    if is_kept:
        delivered.write(OK)
        rig.advance_until(lambda: rig.process.pool.idle_count)
    client = rig.connect_client()
    client.write(rig.request("m3", left_ms=9000))
    for _ in range(5):
        if not rig.process.forwarder.is_known("m3"):  # the decision follows in the next turn
            rig.run_turns()
    if not is_kept:
        rig.run_turns()  # the connection is established in the next turn
        assert rig.process.pool.connects_started == 3
    assert rig.count_calls("m3") == 0
    rejected.write(b"HTTP/1.1 429 No\r\nX-Come-Back-Ms: 900\r\nContent-Length: 0\r\n\r\n")
    rejected_at = rig.now_s
    rig.now_s += 0.15  # simulates a long turn
    rig.advance_until(lambda: rig.count_calls("m3"))
    assert rig.now_s >= rejected_at + 0.9
    assert rig.process.forwarder.counters.outcomes["full"] == 1


@pytest.mark.parametrize("end", ["end", "reset", "timeout", "invalid"])
def test_a_retry_after_holds_though_the_response_is_truncated_behind_its_head(rig: Rig, end: str) -> None:
    rig.submit("m1", left_ms=9000)
    call = rig.read_call()
    framing = b"Transfer-Encoding: chunked" if end == "invalid" else b"Content-Length: 9"
    call.write(b"HTTP/1.1 429 No\r\nX-Come-Back-Ms: 4000\r\n" + framing + b"\r\n\r\n")
    rig.run_turns(2)
    if end == "reset":
        call.reset()
    elif end == "end":
        call.socket.shutdown(socket.SHUT_WR)
    elif end == "invalid":
        call.write(b"no size\r\n")
    rig.advance_until(lambda: rig.process.forwarder.counters.outcomes, 5)
    ended_at = rig.now_s
    assert rig.process.forwarder.counters.outcomes == {"timeout" if end == "timeout" else "reset": 1}
    rig.submit("m2", left_ms=9000)
    rig.advance_until(lambda: rig.count_calls("m2"))
    assert rig.now_s >= ended_at + 4.0


def test_a_200_and_then_a_reset_is_delivered(rig: Rig) -> None:
    rig.submit("p1", "pay")
    call = rig.read_call()
    call.write(OK)
    call.socket.shutdown(socket.SHUT_RDWR)
    rig.advance_until(lambda: rig.process.forwarder.counters.delivered == 1)
    assert rig.receive_notifications() == []


@pytest.mark.parametrize("whole", [True, False])
def test_a_response_that_comes_in_the_turn_of_the_timeout_is_read(rig: Rig, whole: bool) -> None:
    rig.submit("p1", "pay", left_ms=3000)
    call = rig.read_call()
    connection = next(each.protocol for each in rig.reactor.getReaders() if hasattr(each, "protocol")
                      and getattr(each.protocol, "call", None) is not None)  # fmt: skip
    timeout_at_s = connection.call.timer.getTime()
    call.write(OK if whole else b"HTTP/1.1 200 OK\r\n")
    rig.now_s = timeout_at_s + 0.001  # timers run before sockets in a turn
    rig.run_turns(4)
    assert (
        rig.process.forwarder.counters.outcomes == {"ok": 1} and rig.process.forwarder.counters.delivered == 1
    )
    assert sum(rig.process.pool.keep_alive._calls) == 1


@pytest.mark.parametrize(
    ("when", "how", "calls", "delivered"),
    [("before the check", "end", 1, 2), ("after the check", "reset", 1, 2), ("after the check", "end", 0, 1)],
)
def test_a_keep_alive_connection_that_its_endpoint_closes_as_a_call_is_written(
    rig: Rig, monkeypatch: Any, when: str, how: str, calls: int, delivered: int
) -> None:
    """The call may have run only if the operating system took the whole request."""
    rig.submit("m0")
    first = rig.read_call()
    first.write(OK)
    rig.advance_until(lambda: rig.process.pool.idle_count == 1)
    real = is_open_and_quiet

    def close_after_check(transport: Any) -> bool:
        is_usable = real(transport)
        first.reset() if how == "reset" else first.close()
        return is_usable

    if when == "before the check":
        first.close()
    else:
        monkeypatch.setattr(http_connection_pool, "is_open_and_quiet", close_after_check)
    rig.submit("p1", "pay")
    monkeypatch.undo()
    if calls:
        second = rig.read_call("p1")
        assert second is not first
        second.write(OK)
        rig.advance_until(lambda: rig.process.forwarder.counters.delivered == delivered)
        assert rig.receive_notifications() == []
        return
    # The operating system took the whole request, so the call may have run.
    rig.advance_until(lambda: rig.receive_notifications())
    assert rig.receive_notifications()[0] == {"message": "p1", "outcome": "given_up"}
    assert rig.process.forwarder.counters.outcomes == {"ok": 1, "reset": 1}


def test_a_connection_established_after_its_timeout_is_not_used(tmp_path: Path) -> None:
    rig = Rig(tmp_path, connect_timeout_us=1_000_000)
    listener = rig.target.listener
    pending = [socket.socket() for _ in range(130)]
    listener.listen(0)
    for each in pending:  # fills the accept queue, so that further connects stay half open
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    rig.submit("p1", "pay", left_ms=2500)
    rig.advance(1.1)
    assert rig.process.forwarder.counters.outcomes.get("connect_failed", 0) >= 1
    rig.advance(2.0)
    assert rig.process.forwarder.open_count == 0
    for _ in range(4):
        rig.run_turns(3)
        for connection in rig.target.accept_connections():
            assert b"p1" not in connection.read()
    for each in pending:
        each.close()
    rig.close()
