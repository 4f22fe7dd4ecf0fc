"""Messages that an endpoint has called over (410) or without an attempt left (504) are never called again."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.forwarder_harness import ForwarderHarness, PeerConnection

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
LEFT_MS = 6000
SECONDS = 8.0  # after which the time of each message is over


def call_message(harness: ForwarderHarness, message: str, is_reused: bool) -> PeerConnection:
    """Return the connection with the call of a message, after that of another one if it is reused."""
    if is_reused:
        harness.submit("m0")
        first = harness.read_call("m0")
        first.write(OK)
        harness.advance_until(lambda: harness.process.pool.idle_count == 1)
    harness.submit(message, left_ms=LEFT_MS)
    return harness.read_call(message)


def reset(harness: ForwarderHarness, call: PeerConnection) -> None:
    call.reset()


def close(harness: ForwarderHarness, call: PeerConnection) -> None:
    call.close()


def stay(harness: ForwarderHarness, call: PeerConnection) -> None:
    """The endpoint stays silent."""


def write(data: bytes) -> Callable[[ForwarderHarness, PeerConnection], None]:
    """Return an event in which the endpoint writes more bytes."""

    def event(harness: ForwarderHarness, call: PeerConnection) -> None:
        call.read()
        if not call.ending:
            call.write(data)

    return event


def reset_next_request(harness: ForwarderHarness, call: PeerConnection) -> None:
    harness.submit("m2", left_ms=LEFT_MS)
    harness.read_call("m2").reset()


FOLLOWING: dict[str, tuple[float, Callable[[ForwarderHarness, PeerConnection], None]]] = {
    "nothing": (0.0, stay),
    "reset at once": (0.005, reset),
    "closed": (0.03, close),
    "reset": (0.06, reset),
    "reset late": (0.2, reset),
    "next request gets no response": (0.05, reset_next_request),
    "surplus 200": (0.02, write(OK)),
    "surplus 503": (0.02, write(FULL)),
    "surplus 410": (0.02, write(GONE)),
}
CUT_RESPONSES = {
    "three digits": b"HTTP/1.1 410",
    "status line": b"HTTP/1.1 410 Gone\r\n",
    "half a field": b"HTTP/1.1 410 Gone\r\nContent-Le",
    "head without its body": b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nabc",
    "invalid field": b"HTTP/1.1 410 Gone\r\nspoilt\r\n\r\n",
    "endless head": b"HTTP/1.1 410 Gone\r\nX: " + b"x" * 70_000,
    "behind the start of a copy": b"HTTP/1.1 2HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
    "behind a 503 that is cut": b"HTTP/1.1 503 No\r\nContHTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
    "interim response before it": b"HTTP/1.1 103 Hm\r\n\r\nHTTP/1.1 410 Gone\r\nConte",
}
CUT_ENDS = {"closed": close, "reset": reset, "silence": stay}


def play(
    folder: Path,
    data: bytes,
    event: Callable[[ForwarderHarness, PeerConnection], None],
    after_s: float,
    is_reused: bool,
) -> tuple[int, bool]:
    """Answer the call of a message with ``data`` and play an event.

    Return the number of its calls, and whether it was notified.
    """
    folder.mkdir()
    harness = ForwarderHarness(folder)
    try:
        call = call_message(harness, "m1", is_reused)
        call.write(data)
        harness.run_turns(3)
        if after_s:
            harness.advance(after_s, 0.005)
        event(harness, call)
        is_notified = False
        for _ in range(int(SECONDS / 0.5)):
            harness.advance(0.5)
            is_notified |= "m1" in [each["message"] for each in harness.receive_notifications()]
            for each in harness.target.accept_connections():  # a further call is answered, as any other
                if not each.ending and each.read().count(b"POST ") > 1 and each is not call:
                    each.write(GONE)
        return harness.count_calls("m1"), is_notified
    finally:
        harness.close()


# Guards against: a 410 that is refuted by the end of its connection is resumed by a call (report d58050).
def test_a_410_ends_a_message_whatever_follows_on_its_connection(tmp_path: Path) -> None:
    cases = [(name, is_reused) for name in FOLLOWING for is_reused in (False, True)]
    results = {}
    for number, (name, is_reused) in enumerate(cases):
        after_s, event = FOLLOWING[name]
        results[name, is_reused] = play(tmp_path / str(number), GONE, event, after_s, is_reused)
    # A 410 on a reused connection may be that of another message, which is owed a notification.
    assert results == {(name, is_reused): (1, is_reused) for name, is_reused in cases}


# Guards against: a 410 that does not arrive whole is repeated like a failure (report d58050).
def test_a_410_that_is_cut_ends_a_message(tmp_path: Path) -> None:
    cases = [
        (cut, end, is_reused) for cut in CUT_RESPONSES for end in CUT_ENDS for is_reused in (False, True)
    ]
    results = {}
    for number, (cut, end, is_reused) in enumerate(cases):
        results[cut, end, is_reused] = play(
            tmp_path / str(number), CUT_RESPONSES[cut], CUT_ENDS[end], 0.01, is_reused
        )
    assert results == dict.fromkeys(cases, (1, True))


# Guards against: a message that has no attempt left is called again, and not notified (report d58050).
def test_a_504_ends_a_message_with_a_notification(tmp_path: Path) -> None:
    whole = b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"
    cut = b"HTTP/1.1 504 No\r\nContent-Le"
    cases = [
        (data, end, is_reused) for data in (whole, cut) for end in CUT_ENDS for is_reused in (False, True)
    ]
    results = {}
    for number, (data, end, is_reused) in enumerate(cases):
        results[data, end, is_reused] = play(tmp_path / str(number), data, CUT_ENDS[end], 0.01, is_reused)
    assert results == dict.fromkeys(cases, (1, True))


# Guards against: a kill right after a 410 was read lets the next process call the message (report d58050).
@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("data", [GONE, b"HTTP/1.1 410 Go", b"HTTP/1.1 504 No\r\n"])
def test_an_end_that_was_read_is_known_to_the_next_process(
    tmp_path: Path, is_reused: bool, data: bytes
) -> None:
    harness = ForwarderHarness(tmp_path)
    call_message(harness, "m1", is_reused).write(data)
    for _ in range(10):
        if harness.process.forwarder.open_count:
            harness.run_turns()
    harness.kill()
    harness.start_process()
    harness.send_list(harness.read_watch(), 41)
    notified = []
    for _ in range(int(SECONDS / 0.5)):
        harness.advance(0.5)
        notified += [each["message"] for each in harness.receive_notifications()]
    assert harness.count_calls("m1") == 1
    assert ("m1" in notified) is (is_reused or data != GONE)
    harness.close()


def copy_hides(harness: ForwarderHarness, copied: bytes) -> PeerConnection:
    """Let a copy of an earlier response be taken for that of m1, whose true response is still to come."""
    call = call_message(harness, "m1", is_reused=True)
    call.write(copied)
    finished = harness.process.forwarder.counters.outcomes
    harness.advance_until(lambda: sum(finished.values()) == 2)
    return call


# Guards against: a message is called again after its 410 came as a surplus or for another message.
@pytest.mark.parametrize("copied", [OK, FULL])
@pytest.mark.parametrize("is_read_as_response", [False, True])
def test_a_410_behind_a_copy_ends_each_message_that_it_may_be_for(
    tmp_path: Path, copied: bytes, is_read_as_response: bool
) -> None:
    harness = ForwarderHarness(tmp_path)
    call = copy_hides(harness, copied)
    expected = {"m1"}
    if is_read_as_response and copied is OK:  # after a failure the connection carries no other call
        harness.submit("m2", left_ms=LEFT_MS)
        assert harness.read_call("m2") is call
        expected = {"m1", "m2"}
    call.write(GONE)
    notified: set[str] = set()
    for _ in range(int(SECONDS / 0.5)):
        harness.advance(0.5)
        notified |= {each["message"] for each in harness.receive_notifications()}
    assert notified == expected
    assert [harness.count_calls(message) for message in sorted(expected)] == [1] * len(expected)
    harness.close()


SPOILT_RESPONSES = {
    "no status line": b"HTTP/1.1 2\x00\xff garbage\n\n",
    "invalid field": b"HTTP/1.1 503 No\r\nspoilt\r\n\r\n",
}


@pytest.mark.parametrize("spoilt", SPOILT_RESPONSES.values(), ids=SPOILT_RESPONSES)
@pytest.mark.parametrize("after_s", [0.001, 0.01, 0.04])
@pytest.mark.parametrize("more", [b"", b"more garbage\n"])
def test_a_410_behind_a_spoilt_response_to_an_earlier_request_ends_its_message(
    tmp_path: Path, spoilt: bytes, after_s: float, more: bytes
) -> None:
    """Guards against a connection that is closed before the status of its last request is read.

    A copy of the first response is read as that of the second request, whose spoilt response is read as that
    of the third one.
    """
    harness = ForwarderHarness(tmp_path)
    try:
        connection = call_message(harness, "m1", is_reused=True)
        connection.write(OK)  # the copy
        harness.advance_until(lambda: harness.process.pool.idle_count == 1)
        harness.submit("m2", left_ms=LEFT_MS)
        assert harness.read_call("m2") is connection
        connection.write(spoilt)
        harness.advance(after_s, 0.001)
        for data in (more, GONE):
            with contextlib.suppress(OSError):  # a connection that is closed must not be the only failure
                connection.write(data)
            harness.run_turns(3)
        is_notified = False
        for _ in range(int(SECONDS / 0.5)):
            harness.advance(0.5)
            is_notified |= "m2" in [each["message"] for each in harness.receive_notifications()]
            for each in harness.target.accept_connections():
                if not each.ending and each is not connection and b"POST " in each.read():
                    with contextlib.suppress(OSError):
                        each.write(OK)
        assert harness.count_calls("m2") == 1 and is_notified
    finally:
        harness.close()


def test_a_call_with_a_spoilt_response_on_a_reused_connection_is_repeated(tmp_path: Path) -> None:
    """The wait for a later status has a bound: without one, the message goes on."""
    harness = ForwarderHarness(tmp_path)
    try:
        connection = call_message(harness, "m1", is_reused=True)
        connection.write(SPOILT_RESPONSES["no status line"])
        harness.advance_until(lambda: harness.count_calls("m1") == 2, 2.0)
        connection.read()
        assert connection.ending
    finally:
        harness.close()
