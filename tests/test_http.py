"""HTTP parsers: valid and invalid messages, and independence of how the input is split."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow import http
from honeybarrow.http.server import MAX_BUFFER_BYTES

GOOD = b"POST /note HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nabc"


def read_requests(data: bytes, *splits: int) -> list[http.Request | http.InvalidRequest]:
    """Return the events of input that arrives in pieces, split at the given offsets."""
    reader, events = http.RequestReader(), []
    offsets = [0, *sorted(splits), len(data)]
    for start, end in itertools.pairwise(offsets):
        reader.receive(data[start:end])
        while (event := reader.next_event()) is not None:
            events.append(event)
            reader.on_response_sent()
    return events


def test_a_request_is_parsed() -> None:
    request = read_requests(GOOD)[0]
    assert request == http.Request(
        "POST", "/note", {b"host": b"a", b"x-id": b"7", b"content-length": b"3"}, b"abc", False
    )


@given(st.lists(st.integers(0, 2 * len(GOOD)), max_size=6))
def test_no_cut_changes_what_is_read(cuts: list[int]) -> None:
    assert read_requests(GOOD * 2, *cuts) == read_requests(GOOD * 2)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411),
        (b"POST /a HTTP/1.1\r\nHost: a\r\n\r\n", 411),
        (b"POST /a HTTP/1.1\r\nA: b\r\n folded\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nA : b\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nA: b\x00\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\nContent-Length: 0\n\n", 400),
        (b"POST /a HTTP/1.1\r\nA: b\nContent-Length: 0\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\r\n", 400),
        (b"POST /a HTTP/2.0\r\n\r\n", 400),
        (b"POST a HTTP/1.1\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\n" + b"A: b\r\n" * 65 + b"\r\n", 400),
        (b"POST /a HTTP/1.1\r\nA: " + b"x" * 9000, 431),
    ],
)
def test_an_ambiguous_or_invalid_request_is_rejected(data: bytes, status: int) -> None:
    reader = http.RequestReader()
    reader.receive(data)
    event = reader.next_event()
    assert isinstance(event, http.InvalidRequest) and event.status == status
    reader.receive(GOOD)
    assert reader.next_event() is None  # input after an error is ignored


def test_a_second_request_waits_for_the_response_to_the_first() -> None:
    reader = http.RequestReader()
    reader.receive(GOOD + GOOD)
    assert isinstance(reader.next_event(), http.Request)
    assert reader.next_event() is None and reader.state is http.ReaderState.RESPONSE
    reader.on_response_sent()
    assert isinstance(reader.next_event(), http.Request)
    reader.receive(b"x" * MAX_BUFFER_BYTES)
    assert reader.is_buffer_full


def read_response(data: bytes, is_closed: bool = False, max_body_bytes: int | None = 65536) -> list[object]:
    """Return the events of a response; with ``is_closed``, the connection closes after it."""
    reader = http.ResponseReader(max_body_bytes)
    events: list[object] = list(reader.receive(data))
    return events + (list(reader.on_connection_closed()) if is_closed else [])


def test_a_body_ends_by_its_length_its_last_chunk_or_the_close() -> None:
    head = http.Head(200, {b"content-length": b"2"})
    assert read_response(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") == [
        head,
        http.Data(b"ok"),
        http.Complete(True),
    ]
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1;a=b\r\n!\r\n0\r\n\r\n"
    assert read_response(chunked)[1:] == [http.Data(b"ok"), http.Data(b"!"), http.Complete(True)]
    assert read_response(b"HTTP/1.1 200 OK\r\n\r\nok", True)[1:] == [http.Data(b"ok"), http.Complete(False)]
    assert read_response(b"HTTP/1.1 204 No Content\r\n\r\n")[-1] == http.Complete(True)


def test_interim_responses_are_skipped_up_to_a_limit() -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
    assert read_response(interim * 3 + b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") == [
        http.Head(503, {b"content-length": b"0"}),
        http.Complete(True),
    ]
    assert isinstance(read_response(interim * 9)[-1], http.InvalidResponse)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"noise\r\n", None),
        (b"\x00\xff" * 5000, None),
        (b"HTTP/1.1 200 OK\r\nno field\r\n\r\n", 200),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 200),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", 200),
        (b"HTTP/1.1 200 OK\r\nA: " + b"x" * 9000, 200),
        (b"HTTP/1.1 503 No\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 503),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 200),
        (b"HTTP/1.1 200 OK\nContent-Length: 0\n\n", None),
    ],
)
def test_an_invalid_response_still_gives_the_status_of_its_first_line(
    data: bytes, status: int | None
) -> None:
    last = read_response(data)[-1]
    assert isinstance(last, http.InvalidResponse) and last.status == status


def test_a_truncated_response_is_invalid_and_surplus_bytes_prevent_reuse() -> None:
    assert isinstance(
        read_response(b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nx", True)[-1], http.InvalidResponse
    )
    twice = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 2
    assert read_response(twice)[-1] == http.Complete(False)


@given(st.binary(max_size=300), st.integers(0, 300))
def test_readers_survive_any_bytes(data: bytes, cut: int) -> None:
    reader, other = http.ResponseReader(100), http.RequestReader()
    for part in (data[:cut], data[cut:]):
        reader.receive(part)
        other.receive(part)
        other.next_event()
