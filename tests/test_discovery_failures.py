"""Failures of discovery watches and requests, and the delay of list changes, on loopback sockets.

``docs/node.md`` refers to these tests by name.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from honeybarrow.node.discovery import ANSWER_TIMEOUT_S, MAX_LIST_AGE_AFTER_MOVE_S, MAX_LIST_AGE_S
from honeybarrow.node.endpoint_list import parse_address
from honeybarrow.policy.membership import POLL_BACKOFF_US
from tests.crossing import OK, WATCH_HEAD, PeerConnection, Rig

MAX_CHANGE_DELAY_S = 6.0  # within which the platform requires a change to be applied


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    fixture = Rig(tmp_path)
    yield fixture
    fixture.close()


@pytest.mark.parametrize("tail", [b"", b'{"index": 43, "snap', b"\n" * 100 + b'{"index"'])
def test_a_watch_that_trickles_bytes_without_ending_an_item_is_reopened(rig: Rig, tail: bytes) -> None:
    watch = rig.read_watch()
    rig.send_list(watch, 41)
    if tail:
        watch.write(f"{len(tail):x}\r\n".encode() + tail + b"\r\n")
    silent_since_s = rig.now_s

    def is_reopened() -> bool:
        if not watch.ending:
            watch.read()
        if tail and not watch.ending:
            watch.write(b"1\r\n \r\n")
        return rig.read_watch() is not watch

    rig.advance_until(is_reopened, 3.5)
    assert rig.now_s - silent_since_s < 3.2
    assert b"index=41 " in rig.read_watch().received and rig.process.endpoints.accepts_calls("s1")


def test_a_watch_that_falls_silent_repeatedly_is_reopened_each_time(rig: Rig) -> None:
    for number in range(5):
        watch, count = rig.read_watch(), len(rig.platform.connections)
        rig.send_list(watch, 41 + number, "leaving" if number % 2 else "active")
        silent_since_s = rig.now_s
        rig.advance_until(lambda count=count: len(rig.platform.accept_connections()) > count, 3.5)  # type: ignore[misc]
        assert rig.now_s - silent_since_s < 3.0
        assert rig.process.endpoints.accepts_calls("s1") is (number % 2 == 0)
    assert rig.process.discovery.version == 45


def _is_unanswered_watch(connection: PeerConnection) -> bool:
    is_open = not connection.answered_count and not connection.ending
    return is_open and connection.read().startswith(b"GET /discovery")


def _fail_watch(rig: Rig, connection: PeerConnection, how: str) -> None:
    """Make a watch fail in the given way; with ``hangs`` it gets no response."""
    connection.answered_count = 1
    if how == "503":
        connection.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    elif how == "refused":
        connection.reset()
    elif how == "cut":
        rig.send_list(connection, 41)
        connection.write(b'9\r\n{"index":\r\n')
        connection.socket.shutdown(socket.SHUT_WR)
    elif how == "closed":
        connection.write(WATCH_HEAD)
        connection.socket.shutdown(socket.SHUT_WR)
    elif how == "noise":
        connection.write(b"noise\r\n\r\n")
    elif how == "endless head":
        connection.write(b"HTTP/1.1 200 OK\r\nX: y\r\n")


def _measure_delay_after_outage(rig: Rig, how: str, outage_s: float) -> float:
    """Let discovery fail for ``outage_s``; return the delay of a change after the end of the outage."""
    end_s = rig.now_s + outage_s
    while rig.now_s < end_s:
        for connection in rig.platform.accept_connections():
            if _is_unanswered_watch(connection):
                _fail_watch(rig, connection, how)
        rig.advance(0.02, 0.02)
    reachable_at_s, earlier_count = rig.now_s, len(rig.platform.connections)
    state = "leaving" if rig.process.endpoints.accepts_calls("s1") else "active"

    def is_applied() -> bool:
        for number, connection in enumerate(rig.platform.accept_connections()):
            if number >= earlier_count and _is_unanswered_watch(connection):
                connection.answered_count = 1
                rig.send_list(connection, 50 + number, state)
        return rig.process.endpoints.accepts_calls("s1") is (state == "active")

    rig.advance_until(is_applied, 6.5)
    delay_s = rig.now_s - reachable_at_s
    for connection in rig.platform.accept_connections():
        if not connection.ending:
            connection.reset()
    return delay_s


@pytest.mark.parametrize("how", ["503", "refused", "hangs", "cut", "closed", "noise", "endless head"])
def test_after_any_failed_call_a_change_is_known_within_six_seconds_of_being_reachable(
    rig: Rig, how: str
) -> None:
    """Discovery fails for a while, then becomes reachable and reports a change of the endpoint's state."""
    outages_s = (0.3, 1.0, 1.7, 2.5, 3.9, 6.0, 8.5, 11.0)
    worst = max(_measure_delay_after_outage(rig, how, outage_s) for outage_s in outages_s)
    assert worst < 6.0 - 0.2  # allows 0.2 s for the response


def test_the_worst_sum_of_delay_connect_and_answer_is_under_the_limit() -> None:
    assert ANSWER_TIMEOUT_S + POLL_BACKOFF_US[1] / 1e6 + ANSWER_TIMEOUT_S < MAX_CHANGE_DELAY_S


HEARTBEAT = WATCH_HEAD + b"1\r\n\n\r\n"


def _keep_failing(rig: Rig, how: str, seconds: float, delay_s: float = 0.0) -> None:
    """Let each watch at both discovery addresses fail ``delay_s`` after its request, for some seconds."""
    requested_at_s: dict[PeerConnection, float] = {}
    end_s = rig.now_s + seconds
    while rig.now_s < end_s - 1e-9:
        for platform in (rig.platform, rig.moved_platform):
            for connection in platform.accept_connections():
                if _is_unanswered_watch(connection):
                    requested_s = requested_at_s.setdefault(connection, rig.now_s)
                    if rig.now_s >= requested_s + delay_s:
                        _fail_watch(rig, connection, how)
        rig.advance(0.02, 0.02)


def _is_called(rig: Rig, message: str) -> bool:
    """Submit a message; return whether it is sent at once, and let the endpoint accept it."""
    rig.submit(message, left_ms=9000, key=message)
    rig.run_turns(5)
    if not rig.count_calls(message):
        return False
    rig.read_call(message).write(OK)
    return True


def _begin_list_age(rig: Rig, since: str) -> None:
    """Produce the event from which the age of the list counts."""
    if since == "start":
        return
    watch = rig.read_watch()
    rig.send_list(watch, 41)
    rig.run_turns(5)
    if since == "heartbeat":
        rig.advance(1.0)
        watch.write(HEARTBEAT.removeprefix(WATCH_HEAD))
        rig.run_turns(5)
    if since == "reload":
        rig.advance(0.5)
        rig.process.discovery.change_address(parse_address(rig.moved_platform.address))
    else:
        watch.reset()


@pytest.mark.parametrize("activity", ["item", "heartbeat"])
@pytest.mark.parametrize(
    ("since", "max_delay_s"), [("item", 6.0), ("heartbeat", 6.0), ("reload", 4.0), ("start", 4.0)]
)
def test_while_discovery_sheds_calls_nothing_is_sent_by_an_outdated_list(
    rig: Rig, since: str, max_delay_s: float, activity: str
) -> None:
    _begin_list_age(rig, since)
    begin_s = rig.now_s
    _keep_failing(rig, "503", max_delay_s - 0.5)
    assert _is_called(rig, "m1"), "the list must stay in use until it is outdated"
    _keep_failing(rig, "503", begin_s + max_delay_s - rig.now_s)
    assert not _is_called(rig, "m2")
    _keep_failing(rig, "503", 2.0)
    assert not rig.count_calls("m2") and rig.process.forwarder.counters.attempts == 1
    watch = rig.read_watch(rig.moved_platform if since == "reload" else rig.platform)
    if activity == "item":
        rig.send_list(watch, 42)
    else:
        watch.write(HEARTBEAT)
    rig.advance_until(lambda: rig.count_calls("m2"), 0.5)
    assert _is_called(rig, "m3") and rig.process.forwarder.counters.failed == 0


def test_a_call_held_by_an_outdated_list_follows_the_item_that_confirms_it(rig: Rig) -> None:
    _keep_failing(rig, "503", 4.0)
    assert not _is_called(rig, "m1")
    rig.send_list(rig.read_watch(), 42, "leaving")
    rig.advance(0.5)
    assert not rig.count_calls("m1") and not rig.process.discovery.is_outdated


@pytest.mark.parametrize("since", ["item", "reload", "start"])
@pytest.mark.parametrize(
    ("how", "delay_s"), [("hangs", 0.0), ("refused", 0.0), ("503", 2.0), ("503", 1.1), ("no listener", 0.0)]
)
def test_while_discovery_is_down_the_list_held_stays_in_use(
    rig: Rig, how: str, delay_s: float, since: str
) -> None:
    _begin_list_age(rig, since)
    if how == "no listener":
        rig.platform.close()
        rig.moved_platform.close()
        rig.advance(10.0)
    else:
        _keep_failing(rig, how, 10.0, delay_s)
    assert _is_called(rig, "m1")


def test_rejections_before_an_item_do_not_make_the_list_outdated(rig: Rig) -> None:
    _keep_failing(rig, "503", 3.0)
    _begin_list_age(rig, "item")
    _keep_failing(rig, "refused", 10.0)
    assert _is_called(rig, "m1")


def test_maximum_list_ages_are_below_the_required_delays() -> None:
    assert MAX_LIST_AGE_S < MAX_CHANGE_DELAY_S and MAX_LIST_AGE_AFTER_MOVE_S < 4.0


def test_a_crowd_of_idle_clients_stops_neither_watch_nor_calls_nor_notifications(tmp_path: Path) -> None:
    rig = Rig(tmp_path, sockets=96)
    rig.read_watch().reset()  # discovery becomes unreachable
    rig.submit("p0", "pay", left_ms=9000)
    open_call = rig.read_call()
    idle_clients = []
    for _ in range(200):
        idle_clients.append(rig.connect_client())
        rig.run_turns(1)
        assert len(rig.reactor.getReaders()) + 5 < 96
    earlier_count = len(rig.platform.connections)
    rig.advance_until(lambda: len(rig.platform.accept_connections()) > earlier_count, 4)
    rig.send_list(rig.read_watch(), 42)
    open_call.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    rig.advance_until(lambda: rig.receive_notifications())
    connection = rig.connect_client()
    connection.write(rig.request("m1"))
    rig.advance_until(lambda: connection.read().startswith(b"HTTP/1.1 202"))
    rig.read_call().write(OK)
    rig.advance_until(lambda: rig.process.forwarder.counters.delivered == 1)
    assert rig.process.endpoints.accepts_calls("s1")
    rig.close()
