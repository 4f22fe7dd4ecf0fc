"""HTTP calls to endpoints: outcomes, connections and keep-alive, in simulated time without sockets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from honeybarrow.delivery import AttemptOutcome
from honeybarrow.delivery.outcome import Verdict
from honeybarrow.node.http_call import HttpPayload
from honeybarrow.node.http_outcome import classify_response, parse_load_report
from honeybarrow.settings import Idempotency
from tests.helpers import SECOND, FakePermit
from tests.platform_bench import (
    CallBench,
    Failure,
    FullSocket,
    MemoryTransport,
    Status,
    twisted_error,
)


@pytest.mark.parametrize(
    ("status", "fields", "outcome"),
    [
        (200, {}, AttemptOutcome(Status.OK)),
        (500, {}, AttemptOutcome(Status.ERROR, reason="500")),
        (429, {b"x-come-back-ms": b"250"}, AttemptOutcome(Status.FULL, True, 250_000, reason="429")),
        (429, {b"x-come-back-ms": b"soon"}, AttemptOutcome(Status.FULL, True, reason="429")),
        (503, {}, AttemptOutcome(Status.FULL, True, reason="503")),
        (
            503,
            {b"x-line-busy": b"1"},
            AttemptOutcome(Status.NOT_SENT, True, reason="no slot free", no_slot_free=True),
        ),
        (
            504,
            {},
            AttemptOutcome(
                Status.NOT_SENT, True, reason="no attempt left", is_over=True, owes_notification=True
            ),
        ),
        (410, {}, AttemptOutcome(Status.NOT_SENT, True, reason="message completed", is_over=True)),
        (400, {}, AttemptOutcome(Status.ERROR, reason="400")),
    ],
)
def test_responses_map_to_outcomes(status: int, fields: dict[bytes, bytes], outcome: AttemptOutcome) -> None:
    assert classify_response(status, fields, ()) == outcome


def test_a_load_report_with_an_invalid_field_is_ignored() -> None:
    assert parse_load_report(b'{"x1":25,"x0":0.4}', ("x0", "x1")) == (0.4, 25.0)
    for bad in (b"", b"{", b'{"x0":1}', b'{"x0":"a","x1":1}', b'{"x0":NaN,"x1":1}', b"[1]", b"[" * 900):
        assert parse_load_report(bad, ("x0", "x1")) == ()


@pytest.mark.parametrize("status", [200, 410, 429, 500, 503, 504])
@given(st.binary(max_size=40) | st.integers().map(lambda n: b'{"x0":%d}' % 10 ** (abs(n) % 999)))
@example(b'{"x0":%d}' % 10**400)
def test_a_spoilt_load_report_does_not_change_the_outcome(status: int, report: bytes) -> None:
    """Guards against a 503 that counts as an attempt that may have run, by an exception in its report."""
    outcome = classify_response(status, {b"x-backend-load": report}, ("x0",))
    assert replace(outcome, load_report=()) == classify_response(status, {}, ())


def test_a_call_carries_the_message_unchanged_and_its_connection_is_reused() -> None:
    calls = CallBench()
    calls.call()
    connection, transport = calls.connect()
    sent = transport.value()
    assert sent.startswith(b"POST /v1/messages HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\nbody")
    headers = (b"X-Correlation-Id: m1", b"Idempotency-Key: k1", b"X-Time-Left: 3000m", b"Content-Length: 4")
    assert all(line in sent.split(b"\r\n") for line in headers)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    calls.call()
    assert len(calls.clock.tcpClients) == 1 and calls.pool.idle_count == 0
    connection.dataReceived(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    assert [outcome.status for outcome in calls.outcomes] == [Status.OK, Status.ERROR]


@pytest.mark.parametrize(
    ("data", "status", "is_kept"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nnoise", Status.OK, False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", Status.OK, False),
        (b"HTTP/1.1 200 OK\r\nspoilt\r\n\r\n", Status.OK, False),
        (b"noise\r\n\r\n", Status.RESET, False),
        (b"HTTP/1.1 503 No\r\nContent-Length: 99999999\r\n\r\n", Status.RESET, False),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503", Status.FULL, False),
        (b"HTTP/1.1 103 Hm\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Status.FULL, True),
    ],
)
def test_an_invalid_response_is_ambiguous_unless_its_status_line_says_200(
    data: bytes, status: Status, is_kept: bool
) -> None:
    calls = CallBench()
    calls.call()
    connection, _ = calls.connect()
    connection.dataReceived(data)
    assert [outcome.status for outcome in calls.outcomes] == [status]
    assert (calls.pool.idle_count == 1) == is_kept and connection.is_closed != is_kept


def test_a_200_without_the_rest_of_its_response_is_delivered_and_its_connection_closed() -> None:
    calls = CallBench()
    calls.call()
    connection, transport = calls.connect()
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nabc")
    assert [outcome.status for outcome in calls.outcomes] == [Status.OK] and not transport.disconnecting
    calls.clock.pump([0.5] * 4)
    assert connection.is_closed


def test_only_a_connection_lost_after_the_connect_may_have_run_the_call() -> None:
    refused, lost = Failure(twisted_error.ConnectionRefusedError()), Failure(twisted_error.ConnectionLost())
    calls = CallBench()
    calls.call()
    calls.clock.tcpClients[-1][2].clientConnectionFailed(None, refused)
    calls.call()
    connection, _ = calls.connect()
    connection.connectionLost(lost)
    calls.call()
    connection, _ = calls.connect()
    connection.dataReceived(b"HTTP/1.1 503 No\r\nContent-Length: 7\r\n\r\nabc")
    connection.connectionLost(lost)
    assert [(o.status, o.not_run) for o in calls.outcomes] == [
        (Status.CONNECT_FAILED, True),
        (Status.RESET, False),
        (Status.RESET, False),
    ]


def test_a_call_that_times_out_closes_its_connection() -> None:
    calls = CallBench()
    calls.call()
    calls.clock.advance(1.0)  # connect timeout
    calls.call()
    connection, transport = calls.connect()
    calls.clock.pump([0.5] * 6)
    assert [(o.status, o.not_run) for o in calls.outcomes] == [
        (Status.CONNECT_FAILED, True),
        (Status.TIMEOUT, False),
    ]
    assert connection.is_closed and calls.pool.calls_in_flight == 0
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert len(calls.outcomes) == 2 and calls.pool.idle_count == 0


def test_nothing_is_written_to_an_endpoint_that_left_during_the_connect() -> None:
    calls = CallBench()
    calls.call()
    calls.accepts_calls = False
    _, transport = calls.connect()
    assert (
        transport.value() == b"" and calls.outcomes[0].status is Status.NOT_SENT and calls.outcomes[0].not_run
    )


def test_nothing_is_written_to_an_address_that_changed_during_the_connect() -> None:
    """Guards against a request to an address where an endpoint of another destination may be by now."""
    calls = CallBench()
    calls.call()
    calls.former_addresses.append(("127.0.0.1", 9))
    connection, transport = calls.connect()
    assert transport.value() == b"" and connection.is_closed and calls.pool.idle_count == 0
    assert calls.outcomes[0].status is Status.NOT_SENT and calls.outcomes[0].not_run


def test_a_call_whose_permit_is_withdrawn_during_the_connect_has_not_run() -> None:
    calls = CallBench()
    calls.call()
    calls.permit.reason = "too late to start"
    connection, transport = calls.connect()
    assert transport.value() == b"" and calls.pool.idle_count == 1 and not connection.is_closed
    assert [(o.status, o.not_run, o.reason) for o in calls.outcomes] == [
        (Status.NOT_SENT, True, "too late to start")
    ]


@pytest.mark.parametrize("is_written", [True, False])
def test_a_last_byte_without_buffer_space_in_time_is_never_written(is_written: bool) -> None:
    calls = CallBench()
    calls.permit.left_us = SECOND
    calls.call()
    connection = calls.clock.tcpClients[-1][2].buildProtocol(None)
    transport = MemoryTransport()
    transport.socket = FullSocket()
    transport.dataBuffer, transport._tempDataBuffer = b"", []
    transport.write = lambda data: transport._tempDataBuffer.append(data)
    transport.abortConnection = lambda: None
    connection.makeConnection(transport)
    assert transport._tempDataBuffer != []
    if is_written:
        transport._tempDataBuffer.clear()  # the operating system has taken the data
    calls.clock.advance(1.0)
    assert connection.is_closed != is_written
    calls.clock.advance(2.0)
    assert [(o.status, o.not_run) for o in calls.outcomes] == [(Status.TIMEOUT, not is_written)]


def test_a_keep_alive_connection_closes_on_unexpected_input_or_after_its_idle_timeout() -> None:
    calls = CallBench()
    for target, is_unsolicited in (("a", True), ("b", False)):  # "a" keeps no connection after the copy
        calls.call(target)
        connection, _ = calls.connect()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert calls.pool.idle_count == 1
        if is_unsolicited:
            connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
        else:
            calls.clock.pump([0.5] * 17)
        assert connection.is_closed and calls.pool.idle_count == 0


def test_keep_alive_connections_are_bounded() -> None:
    calls = CallBench()
    for number in range(9):
        calls.call(f"t{number}")
        connection, _ = calls.connect()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert calls.pool.idle_count == 4


def test_a_non_idempotent_call_uses_a_new_connection_where_keep_alive_ones_are_lost() -> None:
    calls = CallBench()
    for _ in range(12):
        calls.pool.keep_alive.record_call(0, 10_000, True)
    calls.call()
    connection, _ = calls.connect()
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    payload = HttpPayload("m2", "", b"", 0, Idempotency.NON_IDEMPOTENT)
    calls.clock.advance(0.01)
    calls.pool.call("a", [("127.0.0.1", 9)], payload, SECOND, FakePermit())
    assert len(calls.clock.tcpClients) == 2 and calls.pool.idle_count == 1


def test_the_pool_distinguishes_losses_before_a_response_from_invalid_responses() -> None:
    calls = CallBench()
    recorded: list[tuple[int | None, bool]] = []
    keep_alive: Any = calls.pool.keep_alive
    keep_alive.record_call = lambda now, idle, lost: recorded.append((idle, lost))
    calls.call()
    connection, _ = calls.connect()
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    calls.clock.advance(0.25)
    calls.call()
    connection.connectionLost()
    calls.call()
    connection, _ = calls.connect()
    connection.dataReceived(b"noise\r\n\r\n")
    assert recorded == [(None, False), (250_000, True), (None, False)]


def test_calls_evict_idle_connections_and_none_starts_without_a_descriptor() -> None:
    calls = CallBench()
    calls.pool.max_connections = 3
    for number in range(3):
        calls.call(f"t{number}")
    for each in list(calls.clock.tcpClients):
        connection = each[2].buildProtocol(None)
        connection.makeConnection(MemoryTransport())
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert calls.pool.idle_count == 3
    for number in range(3, 7):
        calls.call(f"t{number}")
    assert calls.pool.idle_count == 0 and len(calls.clock.tcpClients) == 6
    last = calls.outcomes[-1]
    assert (last.status, last.not_run, last.no_slot_free) == (Status.NOT_SENT, True, True)


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL_RESPONSE = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


def reuse_connection(calls: CallBench) -> Any:
    """Return a connection that has carried one call and now carries a second one."""
    calls.call()
    connection, _ = calls.connect()
    connection.dataReceived(OK_RESPONSE)
    calls.call()
    assert len(calls.clock.tcpClients) == 1
    return connection


def read_verdicts(calls: CallBench) -> list[Verdict]:
    """Return the list that receives the verdict on the last outcome."""
    verdict = calls.outcomes[-1].verdict
    assert verdict is not None
    verdicts = [verdict.current] if verdict.current is not None else []
    verdict.listen(verdicts.append)
    return verdicts


# Guards against: an outcome read on a reused connection is final although a later byte can refute it.
def test_a_delivery_on_a_reused_connection_is_confirmed_by_silence_and_refuted_by_a_surplus() -> None:
    calls = CallBench()
    reuse_connection(calls).dataReceived(OK_RESPONSE)
    assert calls.outcomes[0].verdict is None  # the first response on a connection is certain
    verdicts = read_verdicts(calls)
    calls.clock.pump([0.2])
    assert verdicts == []
    calls.clock.pump([0.5] * 2)
    assert verdicts == [Verdict.CONFIRMED]

    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(OK_RESPONSE)
    verdicts = read_verdicts(calls)
    connection.dataReceived(FULL_RESPONSE)
    assert verdicts == [Verdict.REFUTED] and connection.is_closed
    calls.call()
    assert len(calls.clock.tcpClients) == 2  # a new connection, also for later calls
    calls.connect()[0].dataReceived(OK_RESPONSE)
    assert calls.pool.idle_count == 0


@pytest.mark.parametrize("how", ["same read", "lost", "rest of the response missing"])
def test_a_delivery_on_a_reused_connection_is_refuted(how: str) -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    if how == "same read":
        connection.dataReceived(OK_RESPONSE + FULL_RESPONSE)
    elif how == "lost":
        connection.dataReceived(OK_RESPONSE)
        connection.connectionLost(Failure(twisted_error.ConnectionLost()))
    else:
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    assert calls.outcomes[-1].status is Status.OK
    verdicts = read_verdicts(calls)
    calls.clock.pump([0.5] * 5)
    assert verdicts == [Verdict.REFUTED] and connection.is_closed


def test_an_announced_end_of_the_connection_confirms_its_outcomes() -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    verdicts = read_verdicts(calls)
    assert not connection.is_closed and calls.pool.idle_count == 0
    connection.connectionLost(Failure(twisted_error.ConnectionDone()))
    assert verdicts == [Verdict.CONFIRMED]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nspoilt\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nCont",
        b"HTTP/1.1 200 O" + FULL_RESPONSE,  # a copy that is cut off, and the true response
        b"HTTP/1.1 200 OK\r\nX-Backend-Load: {" + FULL_RESPONSE,
    ],
)
def test_a_status_line_of_200_alone_is_refuted_on_a_reused_connection(data: bytes) -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(data)
    calls.clock.pump([0.5] * 7)
    assert calls.outcomes[-1].status is Status.OK and read_verdicts(calls) == [Verdict.REFUTED]


def test_the_wait_of_a_surplus_429_is_reported_also_if_it_comes_in_pieces() -> None:
    calls = CallBench()
    waits: list[tuple[str, int]] = []
    calls.pool.report_retry_after = lambda target, wait_us: waits.append((target, wait_us))
    connection = reuse_connection(calls)
    connection.dataReceived(OK_RESPONSE)
    for part in (b"HTTP/1.1 4", b"29 Wait\r\nX-Come-Back-Ms: 250\r\n", b"Content-Length: 0\r\n\r\n"):
        assert not connection.is_closed
        connection.dataReceived(part)
    assert waits == [("a", 250_000)] and connection.is_closed


def test_a_response_before_the_end_of_a_request_on_a_reused_connection_is_not_its_own() -> None:
    calls = CallBench()
    calls.call()
    connection, transport = calls.connect()
    connection.dataReceived(OK_RESPONSE)
    transport.socket, transport.dataBuffer, transport._tempDataBuffer = FullSocket(), b"rest", []
    calls.call()
    connection.dataReceived(OK_RESPONSE)
    assert (calls.outcomes[-1].status, calls.outcomes[-1].not_run) == (Status.CONNECT_FAILED, True)
    assert connection.is_closed


@pytest.mark.parametrize(("idle_s", "verdict"), [(0.1, Verdict.REFUTED), (0.3, Verdict.CONFIRMED)])
def test_an_idle_connection_that_its_endpoint_ends_after_a_silence_confirms_its_outcomes(
    idle_s: float, verdict: Verdict
) -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(OK_RESPONSE)
    verdicts = read_verdicts(calls)
    calls.clock.advance(idle_s)
    connection.connectionLost(Failure(twisted_error.ConnectionLost()))
    assert verdicts == [verdict]


# Guards against: a copy of an earlier 200 hides that the endpoint has hung.
@pytest.mark.parametrize("end", ["timeout", "reset"])
def test_a_request_without_a_response_refutes_the_delivery_before_it(end: str) -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(OK_RESPONSE)
    verdicts = read_verdicts(calls)
    calls.clock.pump([0.5] * 4)
    calls.call()
    if end == "reset":
        connection.connectionLost(Failure(twisted_error.ConnectionLost()))
    calls.clock.pump([0.5] * 7)
    assert calls.outcomes[-1].status in (Status.TIMEOUT, Status.RESET)
    assert verdicts == [Verdict.CONFIRMED, Verdict.REFUTED]


def test_a_later_response_keeps_the_delivery_before_it_confirmed() -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(OK_RESPONSE)
    verdicts = read_verdicts(calls)
    for answer in (OK_RESPONSE, b""):
        calls.clock.pump([0.5] * 4)
        calls.call()
        if answer:
            connection.dataReceived(answer)
    calls.clock.pump([0.5] * 7)
    assert calls.outcomes[-1].status is Status.TIMEOUT and verdicts == [Verdict.CONFIRMED]


def test_a_connection_on_which_a_reused_call_failed_is_closed_after_the_hold() -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(FULL_RESPONSE)
    assert not connection.is_closed and calls.pool.idle_count == 0
    calls.clock.advance(calls.outcomes[-1].retry_hold_us / 1e6)
    assert connection.is_closed


def test_a_surplus_after_the_confirmation_still_refutes_a_delivery() -> None:
    calls = CallBench()
    connection = reuse_connection(calls)
    connection.dataReceived(OK_RESPONSE)
    verdicts = read_verdicts(calls)
    calls.clock.pump([0.5] * 4)
    connection.dataReceived(FULL_RESPONSE)
    assert verdicts == [Verdict.CONFIRMED, Verdict.REFUTED]
