"""Golden tests of HTTP calls: the bytes of requests, and the outcomes of responses.

Statuses are given by value and messages as bytes, so that renames in the code can't change the expectations.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest
from twisted.internet import error, testing
from twisted.python.failure import Failure

from honeybarrow.node.http_call import HttpPayload
from honeybarrow.node.http_connection_pool import HttpConnectionPool
from honeybarrow.settings import Idempotency
from tests.helpers import SECOND, FakePermit

LOST = b"the connection is lost"
SILENT = b"nothing more comes until the timeout"
LOAD = b'X-Backend-Load: {"queue": 3, "cpu": 0.5}'
OVERLONG = b"Content-Length: 3000000000"


def response(status: bytes, *fields: bytes, body: bytes = b"", length: bytes = b"Content-Length: 0") -> bytes:
    """Return the bytes of a response."""
    return b"\r\n".join([b"HTTP/1.1 " + status, *fields, *([length] if length else []), b"", body])


def truncated_head(status: bytes) -> bytes:
    """Return a response that is truncated in its head."""
    return b"HTTP/1.1 " + status + b"\r\nContent-Len"


def truncated_body(status: bytes) -> bytes:
    """Return a response that is truncated in its body."""
    return response(status, body=b"abc", length=b"Content-Length: 9")


@dataclass(frozen=True)
class Row:
    """Input from a target, and the expected outcome of the call."""

    name: str
    data: tuple[bytes, ...]
    status: str
    not_run: bool = False
    retry_after_us: int = 0
    load_report: tuple[float, ...] = ()
    is_over: bool = False
    no_slot_free: bool = False


OK = response(b"200 OK")
ROWS = [
    Row("200", (OK,), "ok"),
    Row("200 with a body", (response(b"200 OK", body=b"ok", length=b"Content-Length: 2"),), "ok"),
    Row("200 with a load report", (response(b"200 OK", LOAD),), "ok", load_report=(0.5, 3.0)),
    Row("200 byte by byte", tuple(OK[i : i + 1] for i in range(len(OK))), "ok"),
    Row("200 after 103", (b"HTTP/1.1 103 Hm\r\n\r\n" + OK,), "ok"),
    Row("200, lost in its head", (truncated_head(b"200 OK"), LOST), "ok"),
    Row("200, late in its head", (truncated_head(b"200 OK"), SILENT), "ok"),
    Row("200, lost in its body", (truncated_body(b"200 OK"), LOST), "ok"),
    Row("200, late in its body", (truncated_body(b"200 OK"), SILENT), "ok"),
    Row("200, invalid head", (b"HTTP/1.1 200 OK\r\nspoilt\r\n\r\n",), "ok"),
    Row("200, overlong body", (response(b"200 OK", length=OVERLONG),), "ok"),
    Row("429", (response(b"429 Full"),), "full", True),
    Row("429, wait", (response(b"429 Full", b"X-Come-Back-Ms: 250"),), "full", True, 250_000),
    Row("429, load", (response(b"429 Full", b"X-Come-Back-Ms: 7", LOAD),), "full", True, 7_000, (0.5, 3.0)),
    Row("429, no digits", (response(b"429 Full", b"X-Come-Back-Ms: soon"),), "full", True),
    Row("429, below zero", (response(b"429 Full", b"X-Come-Back-Ms: -5"),), "full", True),
    Row("429, ten digits", (response(b"429 Full", b"X-Come-Back-Ms: 1000000000"),), "full", True),
    Row(
        "429, nine digits",
        (response(b"429 F", b"X-Come-Back-Ms: 999999999"),),
        "full",
        True,
        999_999_999_000,
    ),
    Row("503", (response(b"503 No"),), "full", True),
    Row("503, wait", (response(b"503 No", b"X-Come-Back-Ms: 250"),), "full", True),
    Row("503, load", (response(b"503 No", LOAD),), "full", True, load_report=(0.5, 3.0)),
    Row("503, busy", (response(b"503 No", b"X-Line-Busy: 1"),), "not_sent", True, no_slot_free=True),
    Row("503, not busy", (response(b"503 No", b"X-Line-Busy: 0"),), "full", True),
    Row("503 ended by its close", (response(b"503 No", body=b"abc", length=b""), LOST), "full", True),
    Row("503, lost in its head", (truncated_head(b"503 No"), LOST), "reset"),
    Row("503, lost in its body", (truncated_body(b"503 No"), LOST), "reset"),
    Row("503, late in its body", (truncated_body(b"503 No"), SILENT), "timeout"),
    Row("503, overlong body", (response(b"503 No", length=OVERLONG),), "reset"),
    Row("504", (response(b"504 No"),), "not_sent", True, is_over=True),
    Row("410", (response(b"410 Gone"),), "not_sent", True, is_over=True),
    Row("500", (response(b"500 No"),), "error"),
    Row("500, load", (response(b"500 No", LOAD),), "error", load_report=(0.5, 3.0)),
    Row("500, half a load", (response(b"500 No", b'X-Backend-Load: {"cpu": 0.5}'),), "error"),
    Row("500, bad load", (response(b"500 No", b'X-Backend-Load: {"cpu": -1, "queue": 3}'),), "error"),
    Row("400", (response(b"400 No"),), "error"),
    Row("201", (response(b"201 Made"),), "error"),
    Row("502", (response(b"502 No"),), "error"),
    Row("no HTTP", (b"noise\r\n\r\n",), "reset"),
    Row("lost before an answer", (LOST,), "reset"),
    Row("no answer", (SILENT,), "timeout"),
]


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def abortConnection(self) -> None: ...


def call(payload: HttpPayload, left_us: int = 3 * SECOND) -> tuple[Any, list[Any]]:
    """Start a call on an in-memory reactor; return the reactor and the list of outcomes."""
    reactor: Any = testing.MemoryReactorClock()  # type: ignore[no-untyped-call]
    pool = HttpConnectionPool(
        reactor, reactor, SECOND, 10 * SECOND, 4, ("cpu", "queue"), lambda target, address: True
    )
    outcomes: list[Any] = []
    pool.call("a", [("127.0.0.1", 9)], payload, left_us, FakePermit()).addCallback(outcomes.append)
    return reactor, outcomes


def connect(reactor: Any) -> tuple[Any, Any]:
    """Establish the call's connection; return it and its transport."""
    transport: Any = _Transport()  # type: ignore[no-untyped-call]
    connection = reactor.tcpClients[-1][2].buildProtocol(None)
    connection.makeConnection(transport)
    return connection, transport


@pytest.mark.parametrize("row", ROWS, ids=[row.name for row in ROWS])
def test_a_response_has_the_recorded_outcome(row: Row) -> None:
    reactor, outcomes = call(HttpPayload("m1", "k1", b"body"))
    connection, _ = connect(reactor)
    for data in row.data:
        if data is LOST:
            connection.connectionLost(Failure(error.ConnectionLost("gone")))  # type: ignore[no-untyped-call]
        elif data is SILENT:
            reactor.pump([0.5] * 7)
        else:
            connection.dataReceived(data)
    assert len(outcomes) == 1
    outcome = outcomes[0]
    assert (outcome.status.value, outcome.not_run, outcome.retry_after_us) == (
        row.status, row.not_run, row.retry_after_us,
    )  # fmt: skip
    assert (outcome.load_report, outcome.is_over, outcome.no_slot_free) == (
        row.load_report, row.is_over, row.no_slot_free,
    )  # fmt: skip


@pytest.mark.parametrize("is_refused", [False, True], ids=["timeout", "refused"])
def test_a_failed_connect_has_not_run(is_refused: bool) -> None:
    reactor, outcomes = call(HttpPayload("m1", "", b""))
    if is_refused:
        failure = Failure(error.ConnectionRefusedError())  # type: ignore[no-untyped-call]
        reactor.tcpClients[-1][2].clientConnectionFailed(None, failure)
    else:
        reactor.advance(1.0)
    found = [(each.status.value, each.not_run, each.retry_after_us, each.load_report) for each in outcomes]
    assert found == [("connect_failed", True, 0, ())]


@pytest.mark.parametrize(
    ("payload", "left_us", "fields", "body"),
    [
        (
            HttpPayload("m1", "k1", b"body"),
            3 * SECOND,
            b"m1\r\nIdempotency-Key: k1\r\nX-Time-Left: 3000m",
            b"body",
        ),
        (
            HttpPayload("m2", "", b"", 7, Idempotency.NON_IDEMPOTENT, "order"),
            1_999,
            b"m2\r\nX-Time-Left: 1m",
            b"",
        ),
        (
            HttpPayload("m3", "", b"\0\r\n\xff", 0, Idempotency.IDEMPOTENT_WITH_KEY),
            10,
            b"m3\r\nX-Time-Left: 1m",
            b"\0\r\n\xff",
        ),
    ],
    ids=["with a key", "no key", "any bytes"],
)
def test_a_call_writes_the_recorded_bytes(
    payload: HttpPayload, left_us: int, fields: bytes, body: bytes
) -> None:
    _, transport = connect(call(payload, left_us)[0])
    assert transport.value() == (
        b"POST /v1/messages HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        b"X-Correlation-Id: %b\r\nContent-Length: %d\r\n\r\n%b" % (fields, len(body), body)
    )
