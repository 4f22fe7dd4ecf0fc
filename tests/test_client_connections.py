"""Requests and responses that cross with the closing of a client connection, on loopback sockets.

The table of endings in ``docs/node.md`` refers to these tests.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.node import descriptor_budget
from tests.forwarder_harness import ForwarderHarness, wait_for_end


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[ForwarderHarness]:
    instance = ForwarderHarness(tmp_path)
    yield instance
    instance.close()


def test_a_request_that_arrived_before_an_idle_connection_closes_is_answered(
    harness: ForwarderHarness,
) -> None:
    connection = harness.connect_idle_client()
    connection.write(harness.request("m1"))
    harness.process.shutdown.start()
    assert wait_for_end(harness, connection) == "end"
    assert (
        connection.received.startswith(b"HTTP/1.1 202")
        and b"\r\nConnection: close\r\n" in connection.received
    )
    assert harness.process.forwarder.is_known("m1")


def test_a_request_after_the_half_close_is_not_accepted_and_its_connection_fails(
    harness: ForwarderHarness,
) -> None:
    connection = harness.connect_idle_client()
    (served,) = harness.process.front.connections.values()
    harness.process.shutdown.start()  # half-closes in the same turn
    assert connection.read() == b"" and connection.ending == "end"
    connection.write(harness.request("m1"))
    harness.advance(descriptor_budget.LINGER_TIMEOUT_S + 0.3)
    assert (
        not harness.process.forwarder.is_known("m1")
        and harness.process.write_ahead_log.pending_messages.by_id == {}
    )
    assert served.lingered_bytes == 0 and not served.reader.has_partial_request  # it was not read
    with pytest.raises(ConnectionError):
        connection.write(b"x")
        connection.write(b"x")
    assert not harness.process.front.connections


def test_a_partial_request_at_shutdown_may_be_completed(harness: ForwarderHarness) -> None:
    connection, other = harness.connect_idle_client(), harness.connect_idle_client()
    whole = harness.request("m1")
    connection.write(whole[:40])
    other.write(harness.request("m2")[:40])
    harness.process.shutdown.start()
    harness.advance(0.5)
    assert connection.read() == b"" and not connection.ending
    connection.write(whole[40:])
    assert wait_for_end(harness, connection) == "end" and connection.received.startswith(b"HTTP/1.1 202")
    harness.advance(descriptor_budget.REQUEST_TIMEOUT_S + 0.3)
    assert other.read().startswith(b"HTTP/1.1 408") and other.ending == "end"


def test_of_two_pipelined_requests_at_shutdown_the_second_is_not_accepted(harness: ForwarderHarness) -> None:
    connection = harness.connect_idle_client()
    connection.write(harness.request("m1") + harness.request("m2"))
    harness.process.shutdown.start()
    assert wait_for_end(harness, connection) == "end"
    assert (
        connection.received.count(b"HTTP/1.1 202") == 1
        and b"\r\nConnection: close\r\n" in connection.received
    )
    assert harness.process.forwarder.is_known("m1") and not harness.process.forwarder.is_known("m2")


def test_a_connection_made_just_before_shutdown_may_still_send_a_request(harness: ForwarderHarness) -> None:
    connection = harness.connect_client()
    harness.run_turns(2)
    harness.process.shutdown.start()
    harness.advance(0.2)
    assert not connection.ending
    connection.write(harness.request("m1"))
    assert wait_for_end(harness, connection) == "end" and connection.received.startswith(b"HTTP/1.1 202")


def test_a_connection_unused_for_a_while_is_closed_at_once_at_shutdown(harness: ForwarderHarness) -> None:
    """A later request on it would reach a process that has little time left."""
    old = harness.connect_client()
    harness.run_turns(2)
    harness.advance(descriptor_budget.UNUSED_CONNECTION_TIMEOUT_S + 0.1)
    young = harness.connect_client()
    harness.run_turns(2)
    harness.process.shutdown.start()
    assert old.read() == b"" and old.ending == "end" and not young.read() and not young.ending
    harness.advance(descriptor_budget.UNUSED_CONNECTION_TIMEOUT_S + 0.3)
    assert wait_for_end(harness, young) == "end" and young.received == b""


def test_a_first_request_that_arrives_together_with_its_timeout_is_answered(
    harness: ForwarderHarness,
) -> None:
    connection = harness.connect_client()
    harness.run_turns(2)
    harness.now_s += descriptor_budget.FIRST_REQUEST_TIMEOUT_S + 0.1
    connection.write(harness.request("m1"))  # read after the timers of the same turn
    harness.run_turns(3)
    assert connection.read().startswith(b"HTTP/1.1 202") and not connection.ending


def test_the_response_to_a_bad_request_survives_further_input(harness: ForwarderHarness) -> None:
    connection = harness.connect_client()
    connection.write(b"POST /note HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" + bytes(70_000))
    for _ in range(4):
        harness.run_turns(2)
        connection.write(bytes(10_000))
    harness.advance_until(lambda: connection.read().startswith(b"HTTP/1.1 413") and connection.ending)
    assert connection.ending == "end"


def test_input_received_before_the_last_answer_is_discarded_at_the_end(harness: ForwarderHarness) -> None:
    connection = harness.connect_client()
    connection.write(harness.request("m1"))
    for _ in range(6):
        connection.write(bytes(40_000))
        harness.run_turns(1)
    assert wait_for_end(harness, connection) == "end"
    assert connection.received.startswith(b"HTTP/1.1 202") and connection.received.count(b"HTTP/1.1 4") == 1


def test_eviction_closes_without_a_reset_and_spares_connections_with_unread_requests(
    tmp_path: Path,
) -> None:
    harness = ForwarderHarness(tmp_path, sockets=64)
    harness.process.front.max_connections = 2
    first, second = harness.connect_idle_client(), harness.connect_idle_client()
    first.write(harness.request("m1"))  # first in the eviction order, but its request is unread
    third = harness.connect_client()
    listener: Any = harness.process.listener
    listener.doRead()
    assert second.read() == b"" and second.ending == "end"
    harness.advance_until(lambda: first.read().startswith(b"HTTP/1.1 202"))
    third.write(harness.request("m2"))
    harness.advance_until(lambda: third.read().startswith(b"HTTP/1.1 202"))
    harness.close()


def test_a_connection_above_the_limit_is_answered_503(tmp_path: Path) -> None:
    harness = ForwarderHarness(tmp_path, sockets=64)
    harness.process.front.max_connections = 1
    process: Any = harness.process
    process.forwarder._run_turn = lambda: None  # no message is answered any more
    harness.connect_client().write(harness.request("m1"))
    harness.run_turns(3)
    holder = next(iter(harness.process.front.connections.values()))
    late = harness.connect_client()
    harness.run_turns(2)
    assert late.read().startswith(b"HTTP/1.1 503") and late.ending == "end" and not holder.is_closing
    harness.close()


def test_small_writes_are_never_delayed(harness: ForwarderHarness) -> None:
    harness.send_list(harness.read_watch(), 41)
    harness.submit("m1")
    harness.read_call()
    harness.submit("p1", "pay", left_ms=30)
    harness.advance_until(lambda: harness.receive_notifications())
    sockets = [getattr(each, "socket", None) for each in harness.reactor.getReaders()]
    peers = [each for each in sockets if each is not None and _is_connected_tcp(each)]
    assert len(peers) >= 4  # clients, the endpoint, the watch, notifications
    assert all(each.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for each in peers)


def _is_connected_tcp(candidate: socket.socket) -> bool:
    try:
        return bool(candidate.getpeername()) and candidate.family == socket.AF_INET
    except OSError:
        return False


def test_endless_request_heads_are_rejected_and_use_little_memory(harness: ForwarderHarness) -> None:
    clients = [harness.connect_client() for _ in range(60)]
    harness.run_turns(4)
    for connection in clients:
        connection.write(b"POST /note HTTP/1.1\r\nX: " + b"y" * 65_536)
    good = harness.submit("m1")
    buffered_bytes = [len(each.reader._buffer) for each in harness.process.front.connections.values()]
    assert good.received.startswith(b"HTTP/1.1 202") and max(buffered_bytes) == 0
    for connection in clients:
        assert wait_for_end(harness, connection) == "end" and connection.received.startswith(b"HTTP/1.1 431")


def test_clients_that_send_many_requests_and_leave_use_no_resources_afterwards(
    harness: ForwarderHarness,
) -> None:
    requests = b"".join(harness.request(f"x{number}", "nothing-of-ours") for number in range(300))
    for number in range(20):
        connection = harness.connect_client()
        connection.write(requests[: 40_000 + number])
        harness.run_turns(1)
        connection.reset() if number % 2 else connection.close()
    good = harness.submit("m1", left_ms=9000)
    assert good.received.startswith(b"HTTP/1.1 202")
    harness.advance(descriptor_budget.FIRST_REQUEST_TIMEOUT_S + descriptor_budget.LINGER_TIMEOUT_S + 0.5)
    assert len(harness.process.front.connections) <= 1 and harness.process.forwarder.open_count == 1
    # The requests of a disconnected client are not all processed.
    assert harness.process.submissions.rejection_counts["400 unknown class"] < 300


def test_bad_input_is_logged_with_its_remedy_and_at_a_limited_rate(
    harness: ForwarderHarness, caplog: Any
) -> None:
    caplog.set_level("INFO", "honeybarrow.node")

    def send_bad_input() -> None:
        for _ in range(20):
            one, other = harness.connect_client(), harness.connect_client()
            one.write(b"noise\r\n\r\n")
            other.write(harness.request("m1", "nothing-of-ours"))
            harness.advance_until(lambda one=one, other=other: one.read() and other.read())  # type: ignore[misc]
            assert one.received.startswith(b"HTTP/1.1 400") and other.received.startswith(b"HTTP/1.1 400")

    def logged() -> list[str]:
        return [line for line in caplog.messages if line.startswith(("bad_request ", "request_rejected "))]

    send_bad_input()
    assert len(logged()) == 2 and all("remedy=" in line for line in logged())
    harness.advance(10.5, 0.5)
    send_bad_input()
    assert len(logged()) == 4 and "suppressed=19" in logged()[-1]
    assert harness.submit("m2").received.startswith(b"HTTP/1.1 202")


def test_a_client_that_sends_byte_by_byte_is_timed_out_without_delaying_others(
    harness: ForwarderHarness,
) -> None:
    slow, data = harness.connect_client(), harness.request("m1")
    for offset in range(len(data)):
        if slow.read():
            break
        slow.write(data[offset : offset + 1])
        harness.advance(0.1)
        if offset % 10 == 5:
            assert harness.submit(f"n{offset}").received.startswith(b"HTTP/1.1 202")
    assert slow.received.startswith(b"HTTP/1.1 408") and not harness.process.forwarder.is_known("m1")


@pytest.mark.parametrize("close_kind", ["end", "reset"])
def test_a_disconnect_during_the_response_loses_no_accepted_message(
    harness: ForwarderHarness, close_kind: str
) -> None:
    """Once recorded, the message stays pending; otherwise the client submits it again under another id."""
    connections = [harness.connect_client() for _ in range(8)]
    for number, connection in enumerate(connections):
        connection.write(harness.request(f"m{number}", left_ms=9000))
    commit_turn = harness.process.forwarder._commit_turn

    def disconnect_before_commit(actions: Any) -> None:
        for connection in connections:
            connection.reset() if close_kind == "reset" else connection.close()
        commit_turn(actions)

    harness.process.forwarder._commit_turn = disconnect_before_commit  # type: ignore[method-assign]
    harness.advance_until(lambda: all(connection.ending for connection in connections))
    del harness.process.forwarder._commit_turn
    other = harness.submit("n0")
    assert other.received.startswith(b"HTTP/1.1 202")
    harness.advance(1.0)
    assert (
        harness.process.forwarder.open_count + harness.process.forwarder.counters.withdrawn == 9
        and not harness.process.front.has_requests
    )
