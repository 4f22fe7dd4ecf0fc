"""What the platform's calls write and how they read answers, in plain values that no renaming can change.

Statuses stand here by their value, and bytes as they cross the socket.
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
SILENT = b"nothing more comes until the time-out"
LOAD = b'X-Backend-Load: {"queue": 3, "cpu": 0.5}'
OVERLONG = b"Content-Length: 3000000000"


def said(status: bytes, *fields: bytes, body: bytes = b"", length: bytes = b"Content-Length: 0") -> bytes:
    """An answer as it crosses the socket."""
    return b"\r\n".join([b"HTTP/1.1 " + status, *fields, *([length] if length else []), b"", body])


def cut(status: bytes) -> bytes:
    """An answer that breaks off in its head."""
    return b"HTTP/1.1 " + status + b"\r\nContent-Len"


def part(status: bytes) -> bytes:
    """An answer that breaks off in its body."""
    return said(status, body=b"abc", length=b"Content-Length: 9")


@dataclass(frozen=True)
class Row:
    """What a target does, and what the outcome of the call is: retry waits in microseconds."""

    name: str
    data: tuple[bytes, ...]
    status: str
    not_run: bool = False
    wait_us: int = 0
    load: tuple[float, ...] = ()
    over: bool = False
    slots_full: bool = False


OK = said(b"200 OK")
ROWS = [
    Row("200", (OK,), "ok"),
    Row("200 with a body", (said(b"200 OK", body=b"ok", length=b"Content-Length: 2"),), "ok"),
    Row("200 with a load report", (said(b"200 OK", LOAD),), "ok", load=(0.5, 3.0)),
    Row("200 byte by byte", tuple(OK[i : i + 1] for i in range(len(OK))), "ok"),
    Row("200 after 103", (b"HTTP/1.1 103 Hm\r\n\r\n" + OK,), "ok"),
    Row("200, lost in its head", (cut(b"200 OK"), LOST), "ok"),
    Row("200, late in its head", (cut(b"200 OK"), SILENT), "ok"),
    Row("200, lost in its body", (part(b"200 OK"), LOST), "ok"),
    Row("200, late in its body", (part(b"200 OK"), SILENT), "ok"),
    Row("200, spoilt head", (b"HTTP/1.1 200 OK\r\nspoilt\r\n\r\n",), "ok"),
    Row("200, overlong body", (said(b"200 OK", length=OVERLONG),), "ok"),
    Row("429", (said(b"429 Full"),), "full", True),
    Row("429, wait", (said(b"429 Full", b"X-Come-Back-Ms: 250"),), "full", True, 250_000),
    Row("429, load", (said(b"429 Full", b"X-Come-Back-Ms: 7", LOAD),), "full", True, 7_000, (0.5, 3.0)),
    Row("429, no digits", (said(b"429 Full", b"X-Come-Back-Ms: soon"),), "full", True),
    Row("429, below zero", (said(b"429 Full", b"X-Come-Back-Ms: -5"),), "full", True),
    Row("429, ten digits", (said(b"429 Full", b"X-Come-Back-Ms: 1000000000"),), "full", True),
    Row(
        "429, longest",
        (said(b"429 F", b"X-Come-Back-Ms: 999999999"),),
        "full",
        True,
        999_999_999_000,
    ),
    Row("503", (said(b"503 No"),), "full", True),
    Row("503, wait", (said(b"503 No", b"X-Come-Back-Ms: 250"),), "full", True),
    Row("503, load", (said(b"503 No", LOAD),), "full", True, load=(0.5, 3.0)),
    Row("503, busy", (said(b"503 No", b"X-Line-Busy: 1"),), "not_sent", True, slots_full=True),
    Row("503, not busy", (said(b"503 No", b"X-Line-Busy: 0"),), "full", True),
    Row("503 ended by its close", (said(b"503 No", body=b"abc", length=b""), LOST), "full", True),
    Row("503, lost in its head", (cut(b"503 No"), LOST), "reset"),
    Row("503, lost in its body", (part(b"503 No"), LOST), "reset"),
    Row("503, late in its body", (part(b"503 No"), SILENT), "timeout"),
    Row("503, overlong body", (said(b"503 No", length=OVERLONG),), "reset"),
    Row("504", (said(b"504 No"),), "not_sent", True),
    Row("410", (said(b"410 Gone"),), "not_sent", True, over=True),
    Row("500", (said(b"500 No"),), "error"),
    Row("500, load", (said(b"500 No", LOAD),), "error", load=(0.5, 3.0)),
    Row("500, half a load", (said(b"500 No", b'X-Backend-Load: {"cpu": 0.5}'),), "error"),
    Row("500, bad load", (said(b"500 No", b'X-Backend-Load: {"cpu": -1, "queue": 3}'),), "error"),
    Row("400", (said(b"400 No"),), "error"),
    Row("201", (said(b"201 Made"),), "error"),
    Row("502", (said(b"502 No"),), "error"),
    Row("no HTTP", (b"noise\r\n\r\n",), "reset"),
    Row("lost before an answer", (LOST,), "reset"),
    Row("no answer", (SILENT,), "timeout"),
]


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def abortConnection(self) -> None: ...


def call(payload: HttpPayload, left_us: int = 3 * SECOND) -> tuple[Any, list[Any]]:
    """A call on a reactor in memory, and its outcomes."""
    reactor: Any = testing.MemoryReactorClock()  # type: ignore[no-untyped-call]
    pool = HttpConnectionPool(reactor, reactor, SECOND, 10 * SECOND, 4, ("cpu", "queue"), lambda target: True)
    outcomes: list[Any] = []
    pool.call("a", [("127.0.0.1", 9)], payload, left_us, FakePermit()).addCallback(outcomes.append)
    return reactor, outcomes


def bring_up(reactor: Any) -> tuple[Any, Any]:
    """The call's connection and what is written to it."""
    transport: Any = _Transport()  # type: ignore[no-untyped-call]
    connection = reactor.tcpClients[-1][2].buildProtocol(None)
    connection.makeConnection(transport)
    return connection, transport


@pytest.mark.parametrize("row", ROWS, ids=[row.name for row in ROWS])
def test_an_answer_is_read_to_the_same_outcome(row: Row) -> None:
    reactor, outcomes = call(HttpPayload("m1", "k1", b"body"))
    connection, _ = bring_up(reactor)
    for data in row.data:
        if data is LOST:
            connection.connectionLost(Failure(error.ConnectionLost("gone")))  # type: ignore[no-untyped-call]
        elif data is SILENT:
            reactor.pump([0.5] * 7)
        else:
            connection.dataReceived(data)
    assert len(outcomes) == 1
    found = outcomes[0]
    assert (found.status.value, found.not_run, found.retry_after_us) == (row.status, row.not_run, row.wait_us)
    assert (found.load_report, found.is_completed, found.no_slot_free) == (row.load, row.over, row.slots_full)


@pytest.mark.parametrize("refused", [False, True], ids=["never up", "refused"])
def test_a_connect_that_fails_has_not_run(refused: bool) -> None:
    reactor, outcomes = call(HttpPayload("m1", "", b""))
    if refused:
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
def test_a_call_writes_the_same_bytes(payload: HttpPayload, left_us: int, fields: bytes, body: bytes) -> None:
    _, transport = bring_up(call(payload, left_us)[0])
    assert transport.value() == (
        b"POST /v1/messages HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        b"X-Correlation-Id: %b\r\nContent-Length: %d\r\n\r\n%b" % (fields, len(body), body)
    )
