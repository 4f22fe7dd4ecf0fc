"""Client connections of the front: timeouts, limits and eviction, without sockets."""

from __future__ import annotations

from pathlib import Path

import pytest

from honeybarrow.node import descriptor_budget
from honeybarrow.node.descriptor_budget import (
    FIRST_REQUEST_TIMEOUT_S,
    UNUSED_CONNECTION_TIMEOUT_S,
    ConnectionAction,
    ConnectionState,
    DescriptorBudget,
    allocate_descriptors,
    choose_action,
)
from honeybarrow.node.eviction_queue import EvictionQueue
from tests.platform_bench import (
    SubmissionBench,
    connect_answered_client,
    status_of,
)

IDLE_S = 2.0  # idle time after which the platform allows closing a connection


def test_new_connections_and_partial_requests_time_out(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    bench.connect_client()
    partial, transport = bench.connect_client()
    partial.dataReceived(b"POST /note HTTP/1.1\r\nX")
    bench.clock.pump([0.1] * int(10 * (FIRST_REQUEST_TIMEOUT_S + 0.7)))
    assert status_of(transport) == b"408" and not bench.front.connections


def test_at_the_limit_answered_connections_are_evicted_first(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path, max_connections=3)
    idle = connect_answered_client(bench)
    bench.clock.pump([0.1] * int(10 * (IDLE_S + 1)))
    unused, _ = bench.connect_client()
    bench.clock.pump([0.1] * int(10 * (UNUSED_CONNECTION_TIMEOUT_S + 0.2)))
    recent = connect_answered_client(bench)
    assert list(bench.front.connections.values()) == [idle, unused, recent]
    bench.connect_client()
    assert idle.is_closing and not recent.is_closing
    bench.connect_client()
    assert recent.is_closing and not unused.is_closing
    last, _ = bench.connect_client()
    assert unused.is_closing and not last.is_closing


def test_many_idle_clients_do_not_block_new_connections(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path, max_connections=10)
    for _ in range(60):
        answered = connect_answered_client(bench)
        late, _ = bench.connect_client()
        bench.clock.advance(0.001)
        assert not answered.is_closing and not late.is_closing
        late.dataReceived(b"GET /up HTTP/1.1\r\n\r\n")
    assert set(bench.front.eviction_counts) == {"answered"}


def test_a_connection_with_an_open_request_is_never_evicted(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path, max_connections=1)
    busy, transport = bench.connect_client()
    bench.submit(busy, "m1")
    other, _ = bench.connect_client()
    assert other.is_closing and not busy.is_closing
    bench.clock.advance(0)
    assert status_of(transport) == b"202"


def test_pipelined_requests_are_answered_in_order_and_do_not_delay_others(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    connection, transport = bench.connect_client()
    connection.dataReceived(b"GET /up HTTP/1.1\r\n\r\n" * 20)
    assert transport.value().count(b"200 OK") < 20
    for _ in range(30):
        bench.clock.advance(0)
    assert transport.value().count(b"200 OK") == 20


def test_during_shutdown_connections_close_after_their_answer(tmp_path: Path) -> None:
    bench = SubmissionBench(tmp_path)
    idle, _ = bench.connect_client()
    idle.dataReceived(b"GET /up HTTP/1.1\r\n\r\n")
    busy, transport = bench.connect_client()
    bench.submit(busy, "m1")
    bench.submissions.is_draining = True
    bench.front.drain()
    assert idle.is_closing and not busy.is_closing
    bench.clock.advance(0)
    assert status_of(transport) == b"202" and busy.is_closing


def test_descriptor_allocation_by_limit_and_call_slots() -> None:
    assert allocate_descriptors(1024, 158) == DescriptorBudget(
        client_connections=512, idle_endpoint_connections=204, endpoint_connections=362
    )
    assert allocate_descriptors(384, 19) == DescriptorBudget(
        client_connections=192, idle_endpoint_connections=76, endpoint_connections=95
    )
    assert allocate_descriptors(64, 3) == DescriptorBudget(
        client_connections=25, idle_endpoint_connections=12, endpoint_connections=15
    )
    assert allocate_descriptors(30, 100) == DescriptorBudget(
        client_connections=16, idle_endpoint_connections=6, endpoint_connections=6
    )
    for sockets in (64, 256, 384, 1024):
        for slots in (3, 30, 300, 3000):
            budget = allocate_descriptors(sockets, slots)
            assert (
                descriptor_budget.RESERVED_DESCRIPTORS
                + budget.client_connections
                + budget.endpoint_connections
                <= sockets
            )


def test_the_order_of_eviction() -> None:
    """Within a class the oldest entry goes first; a state change within the class keeps its position."""
    queue: EvictionQueue[str, str] = EvictionQueue()
    for name, state, has_answered in [
        ("half", ConnectionState.READING, False),
        ("new", ConnectionState.NEW, False),
        ("idle", ConnectionState.KEEP_ALIVE, True),
        ("fresh", ConnectionState.KEEP_ALIVE, True),
        ("next", ConnectionState.READING, True),
        ("open", ConnectionState.PROCESSING, False),
        ("ending", ConnectionState.CLOSING, True),
    ]:
        queue.update(name, name, state, has_answered)
    assert list(queue.candidates(9)) == ["ending", "idle", "fresh", "half", "new"]
    queue.update("new", "new", ConnectionState.READING, False)
    queue.update("idle", "idle", ConnectionState.PROCESSING, True)
    assert list(queue.candidates(9)) == ["ending", "fresh", "half", "new"]
    queue.update("idle", "idle", ConnectionState.KEEP_ALIVE, True)
    queue.remove("ending")
    queue.remove("open")
    assert list(queue.candidates(9)) == ["fresh", "idle", "half", "new"]
    assert list(queue.candidates(2)) == ["fresh", "idle"]


def test_connection_actions_by_age() -> None:
    late = FIRST_REQUEST_TIMEOUT_S + 0.1
    assert (
        choose_action(ConnectionState.NEW, False, late) is ConnectionAction.HALF_CLOSE
        and choose_action(ConnectionState.READING, False, late) is ConnectionAction.TIME_OUT_REQUEST
    )
    assert (
        choose_action(ConnectionState.READING, True, descriptor_budget.REQUEST_TIMEOUT_S + 0.1)
        is ConnectionAction.TIME_OUT_REQUEST
    )
    assert (
        choose_action(ConnectionState.CLOSING, True, descriptor_budget.LINGER_TIMEOUT_S + 0.1)
        is ConnectionAction.CLOSE
    )
    for state in ConnectionState:
        assert choose_action(state, True, 0.1) is ConnectionAction.NONE
    assert (
        choose_action(ConnectionState.KEEP_ALIVE, True, 999.0) is ConnectionAction.NONE
        and choose_action(ConnectionState.PROCESSING, False, 999.0) is ConnectionAction.NONE
    )


def test_a_new_connection_is_rejected_if_all_others_have_unread_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    bench = SubmissionBench(tmp_path, max_connections=3)
    for _ in range(3):
        connect_answered_client(bench)
    monkeypatch.setattr("honeybarrow.node.front.has_unread_bytes", lambda transport: True)
    _, transport = bench.connect_client()
    assert status_of(transport) == b"503" and len(bench.front.connections) == 3
    assert bench.front.eviction_counts == {"rejected": 1}
