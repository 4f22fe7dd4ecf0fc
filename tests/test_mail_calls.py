"""Tests of the outcome of mail calls over real sockets: each row of the table in docs/calls.md."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from honeybarrow.addressing.address import Address
from honeybarrow.delivery import AttemptOutcome, MailConnectionPool, MailPayload, PoolLimits
from honeybarrow.events import AttemptStatus
from honeybarrow.mail import Path
from tests.helpers import FakePermit
from tests.live import (
    BlockingConnection,
    ScriptedPartner,
    accept_all_messages,
    call_in_reactor,
    reactor,
    wait_until,
)

PAYLOAD = MailPayload(Path("a", "c.example"), Path("note", "p.example"), b"Subject: x\r\n\r\nhello\r\n")
XADVICE = ("XADVICE",)


def make_pool() -> MailConnectionPool:
    return MailConnectionPool(reactor, reactor, "fwd.example", PoolLimits(2, 0.4, 5.0))


def call(
    pool: MailConnectionPool, port: int, timeout_us: int = 600_000, lmtp: bool = False
) -> AttemptOutcome:
    outcome = call_in_reactor(
        pool.call, "t", [Address("127.0.0.1", port, lmtp)], PAYLOAD, timeout_us, FakePermit()
    )
    assert isinstance(outcome, AttemptOutcome)
    return outcome


def reply_to_command(command: str, answer: str, *extensions: str) -> Callable[[BlockingConnection], None]:
    """Return a script that gives this answer to one command and accepts the others."""

    def script(connection: BlockingConnection) -> None:
        connection.greet(*extensions)
        while line := connection.read_line():
            if line.startswith(command):
                connection.write_lines(answer)
            elif line.startswith("DATA"):
                connection.write_lines("354 go")
            else:
                connection.write_lines("250 ok")

    return script


def reply_to_message(answer: str, *extensions: str) -> Callable[[BlockingConnection], None]:
    """Return a script that accepts the envelope and gives this answer to the end of data."""

    def script(connection: BlockingConnection) -> None:
        connection.greet(*extensions)
        connection.accept_message(answer)
        connection.read_line()

    return script


def greet_with(answer: str) -> Callable[[BlockingConnection], None]:
    """Return a script that sends this greeting and accepts no command."""

    def script(connection: BlockingConnection) -> None:
        connection.write_lines(answer)
        connection.read_line()

    return script


def reset_after(stage: str) -> Callable[[BlockingConnection], None]:
    """Return a script that resets the connection after a stage."""

    def script(connection: BlockingConnection) -> None:
        if stage != "accept":
            connection.greet()
        if stage == "mail":
            connection.read_line()
            connection.write_lines("250 ok")
            connection.read_line()
        if stage in ("first content line", "end of data"):
            connection.accept_envelope()
            while (line := connection.read_line()) != ("." if stage == "end of data" else "hello"):
                assert line is not None
        connection.reset()

    return script


def silent_after(stage: str) -> Callable[[BlockingConnection], None]:
    """Return a script that sends nothing more after a stage."""

    def script(connection: BlockingConnection) -> None:
        if stage != "accept":
            connection.greet()
        if stage == "end of data":
            connection.accept_envelope()
            connection.read_content()
        time.sleep(3)

    return script


CASES: list[tuple[str, Callable[[BlockingConnection], None], AttemptStatus, bool, int]] = [
    ("delivered", reply_to_message("250 2.0.0 ok"), AttemptStatus.OK, False, 0),
    ("reset before the greeting", reset_after("accept"), AttemptStatus.CONNECT_FAILED, True, 0),
    ("421 greeting", greet_with("421 4.3.2 busy"), AttemptStatus.CONNECT_FAILED, True, 0),
    ("421 greeting with a wait", greet_with("421 4.3.2 [wait=900] busy"), AttemptStatus.FULL, True, 900_000),
    ("554 greeting", greet_with("554 5.7.1 go away"), AttemptStatus.CONNECT_FAILED, True, 0),
    ("no greeting", silent_after("accept"), AttemptStatus.CONNECT_FAILED, True, 0),
    ("reset at MAIL", reset_after("greeting"), AttemptStatus.RESET, True, 0),
    ("reset at RCPT", reset_after("mail"), AttemptStatus.RESET, True, 0),
    (
        "reset before the end of data is read",
        reset_after("first content line"),
        AttemptStatus.RESET,
        False,
        0,
    ),
    ("reset after the end of data", reset_after("end of data"), AttemptStatus.RESET, False, 0),
    ("no reply at MAIL", silent_after("greeting"), AttemptStatus.TIMEOUT, True, 0),
    ("no reply after the end of data", silent_after("end of data"), AttemptStatus.TIMEOUT, False, 0),
    (
        "full at MAIL",
        reply_to_command("MAIL", "451 4.3.2 [wait=700] full", *XADVICE),
        AttemptStatus.FULL,
        True,
        700_000,
    ),
    ("full at RCPT, no wait", reply_to_command("RCPT", "452 4.5.3 full"), AttemptStatus.FULL, True, 0),
    ("421 at RCPT", reply_to_command("RCPT", "421 4.3.2 closing"), AttemptStatus.FULL, True, 0),
    ("other 4xx at RCPT", reply_to_command("RCPT", "451 4.3.0 broken"), AttemptStatus.ERROR, True, 0),
    ("5xx at RCPT", reply_to_command("RCPT", "550 5.3.0 broken"), AttemptStatus.ERROR, True, 0),
    ("permanent 5xx at RCPT", reply_to_command("RCPT", "550 5.1.1 nobody"), AttemptStatus.REJECTED, True, 0),
    ("4xx at DATA", reply_to_command("DATA", "451 4.3.0 broken"), AttemptStatus.ERROR, True, 0),
    (
        "full after the end of data",
        reply_to_message("452 4.3.1 [wait=300] full", *XADVICE),
        AttemptStatus.FULL,
        True,
        300_000,
    ),
    ("other 4xx after the end of data", reply_to_message("451 4.3.0 broken"), AttemptStatus.ERROR, False, 0),
    ("5xx after the end of data", reply_to_message("554 5.3.0 broken"), AttemptStatus.ERROR, False, 0),
    (
        "permanent 5xx after the end of data",
        reply_to_message("554 5.7.1 policy"),
        AttemptStatus.REJECTED,
        True,
        0,
    ),
    ("421 after the end of data", reply_to_message("421 4.3.2 closing"), AttemptStatus.RESET, False, 0),
    (
        "421 after the end of data with a wait",
        reply_to_message("421 4.3.2 [wait=50] busy", *XADVICE),
        AttemptStatus.FULL,
        True,
        50_000,
    ),
    ("incomplete reply", reply_to_message("25"), AttemptStatus.RESET, False, 0),
    ("different codes in one reply", reply_to_message("250-a\r\n451 b"), AttemptStatus.RESET, False, 0),
]


@pytest.mark.parametrize(
    ("name", "script", "status", "not_run", "wait_us"), CASES, ids=[case[0] for case in CASES]
)
def test_call_outcome(
    name: str,
    script: Callable[[BlockingConnection], None],
    status: AttemptStatus,
    not_run: bool,
    wait_us: int,
) -> None:
    partner = ScriptedPartner(script)
    outcome = call(make_pool(), partner.port)
    partner.close()
    assert (outcome.status, outcome.not_run, outcome.retry_after_us) == (status, not_run, wait_us), outcome


def test_refused_connection_is_a_failed_connect() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    outcome = call(make_pool(), port)
    assert (outcome.status, outcome.not_run) == (AttemptStatus.CONNECT_FAILED, True)


def test_outcome_contains_the_load_report_of_the_reply() -> None:
    partner = ScriptedPartner(reply_to_message("250 2.0.0 [load=0.25,40] ok", *XADVICE))
    assert call(make_pool(), partner.port).load_report == (0.25, 40.0)
    partner.close()


def test_late_reply_is_not_matched_to_the_next_call() -> None:
    def reply_late(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        connection.read_content()
        time.sleep(0.5)
        connection.write_lines("250 late")

    pool, partner = (
        make_pool(),
        ScriptedPartner(reply_late, reply_to_message("451 4.3.0 reply to the second call")),
    )
    assert call(pool, partner.port, 200_000).status is AttemptStatus.TIMEOUT
    assert call(pool, partner.port, 2_000_000).status is AttemptStatus.ERROR
    partner.close()


def test_idle_connection_is_reused_and_removed_when_lost() -> None:
    pool, partner = make_pool(), ScriptedPartner(accept_all_messages)
    for _ in range(3):
        assert call(pool, partner.port).status is AttemptStatus.OK
    assert len(partner.connections) == 1 and len(pool.idle_by_target["t"]) == 1
    partner.connections[0].sock.shutdown(socket.SHUT_RDWR)
    wait_until(lambda: not pool.idle_by_target)
    assert call(pool, partner.port).status is AttemptStatus.OK and len(partner.connections) == 2
    call_in_reactor(pool.close_idle, "t")
    wait_until(lambda: not pool.idle_by_target)
    partner.close()


def test_message_is_not_run_if_a_reused_connection_is_reset_at_mail() -> None:
    def reset_second_call(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_message()
        assert connection.read_line().startswith("MAIL")  # the second call has started
        connection.reset()

    pool, partner = make_pool(), ScriptedPartner(reset_second_call)
    assert call(pool, partner.port).status is AttemptStatus.OK
    outcome = call(pool, partner.port)
    assert (outcome.status, outcome.not_run) == (AttemptStatus.RESET, True)
    partner.close()


def test_421_on_an_idle_connection_fails_no_call() -> None:
    def close_after_message(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_message()
        connection.write_lines("421 4.3.2 closing")
        connection.read_line()

    pool, partner = make_pool(), ScriptedPartner(close_after_message, accept_all_messages)
    assert call(pool, partner.port).status is AttemptStatus.OK
    wait_until(lambda: not pool.idle_by_target)
    assert call(pool, partner.port).status is AttemptStatus.OK and len(partner.connections) == 2
    partner.close()


def test_number_of_idle_connections_is_limited() -> None:
    def slow(connection: BlockingConnection) -> None:
        connection.greet()
        while True:
            connection.accept_envelope()
            connection.read_content()
            time.sleep(0.1)
            connection.write_lines("250 ok")

    pool, partner = make_pool(), ScriptedPartner(slow)
    address = Address("127.0.0.1", partner.port)

    def start_five_calls() -> Any:
        from twisted.internet.defer import DeferredList

        return DeferredList([pool.call("t", [address], PAYLOAD, 2_000_000, FakePermit()) for _ in range(5)])

    assert [outcome.status for _, outcome in call_in_reactor(start_five_calls)] == [AttemptStatus.OK] * 5
    assert len(pool.idle_by_target["t"]) == 2
    partner.close()


def test_content_is_not_written_after_the_permit_has_expired() -> None:
    permit, received = FakePermit(), list[str]()

    def slow(connection: BlockingConnection) -> None:
        connection.greet()
        for answer in ("250 ok", "250 ok"):
            connection.read_line()
            connection.write_lines(answer)
        connection.read_line()
        permit.left_us = -1  # the window of the idempotency key ends before the reply to DATA
        connection.write_lines("354 go")
        received.append(connection.read_line())

    pool, partner = make_pool(), ScriptedPartner(slow)
    outcome = call_in_reactor(pool.call, "t", [Address("127.0.0.1", partner.port)], PAYLOAD, 600_000, permit)
    assert isinstance(outcome, AttemptOutcome)
    assert (outcome.status, outcome.not_run) == (AttemptStatus.NOT_SENT, True)
    wait_until(lambda: bool(received))
    assert received == [""] and pool.idle_by_target == {}
    partner.close()


def test_transaction_is_not_started_if_the_permit_is_refused_after_connecting() -> None:
    pool, partner, permit = make_pool(), ScriptedPartner(accept_all_messages), FakePermit(reason="in backoff")
    outcome = call_in_reactor(pool.call, "t", [Address("127.0.0.1", partner.port)], PAYLOAD, 600_000, permit)
    assert isinstance(outcome, AttemptOutcome)
    assert (outcome.status, outcome.not_run, outcome.reason) == (AttemptStatus.NOT_SENT, True, "in backoff")
    assert call(pool, partner.port).status is AttemptStatus.OK and len(partner.connections) == 1
    partner.close()


def test_lmtp_call_is_delivered() -> None:
    def serve_lmtp(connection: BlockingConnection) -> None:
        connection.write_lines("220 partner")
        assert connection.read_line().startswith("LHLO")
        connection.write_lines("250 ok")
        connection.accept_message()

    partner = ScriptedPartner(serve_lmtp)
    assert call(make_pool(), partner.port, lmtp=True).status is AttemptStatus.OK
    partner.close()
