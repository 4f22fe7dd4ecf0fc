"""The client library, third-party clients and the send command against a forwarder on loopback sockets."""

from __future__ import annotations

import asyncio
import smtplib
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import aiosmtplib
import pytest

from honeybarrow import mail
from honeybarrow.client import Client, ClientLimits, Delivered, Failed, Refused, result_from_reply
from tests.live import (
    BlockingConnection,
    ScriptedPartner,
    accept_all_messages,
    call_in_reactor,
    forwarder,
    reactor,
    wait_until,
)

ROOT = Path(__file__).parent.parent
CONTENT = b"Subject: x\r\n\r\nhello\r\n"


def client(port: int, lmtp: bool = False, **limits: Any) -> Client:
    return Client(reactor, "127.0.0.1", port, lmtp, "test.example", ClientLimits(**limits))


def partner_replying(reply: str, *extensions: str) -> ScriptedPartner:
    def script(connection: BlockingConnection) -> None:
        connection.greet(*extensions)
        while True:
            connection.accept_message(reply)

    return ScriptedPartner(script)


@pytest.mark.parametrize("lmtp", [False, True])
def test_each_message_has_one_final_result(lmtp: bool) -> None:
    with forwarder() as live:
        live.list_partner("good.example", ScriptedPartner(accept_all_messages).port)
        live.list_partner("no.example", partner_replying("550 5.7.1 policy").port)
        live.list_partner("bad.example", partner_replying("554 5.3.0 broken").port)
        submitter = client(live.ports["lmtp" if lmtp else "smtp"], lmtp, max_connections=3)
        recipients = [
            "note@good.example",
            "pay@no.example",
            "pay@bad.example",
            "what@good.example",
            "note@good.example",
        ]
        results = call_in_reactor(submitter.submit_batch, "a@c.example", recipients, CONTENT)
        assert [type(result) for result in results] == [Delivered, Failed, Failed, Failed, Delivered]
        assert [getattr(result, "is_permanent", None) for result in results[1:4]] == [True, False, True]
        result = call_in_reactor(submitter.submit, "", "post@bad.example", CONTENT, 1)
        assert isinstance(result, Failed) and 0 < result.retry_within_s < 3
        repeated = [call_in_reactor(submitter.submit, "", "note@good.example", CONTENT) for _ in range(20)]
        assert repeated == [Delivered()] * 20 and len(submitter._connections) <= 3
        call_in_reactor(submitter.close)
        wait_until(lambda: not submitter._connections)


def test_refusal_has_a_retry_delay_and_missing_listener_is_a_refusal() -> None:
    with forwarder("slots = 8, max_open = 1") as live:
        live.list_partner("slow.example", ScriptedPartner(lambda connection: time.sleep(5)).port)
        submitter = client(live.ports["smtp"], max_connections=2)
        first: list[Any] = []
        call_in_reactor(
            lambda: submitter.submit("", "note@slow.example", CONTENT).addCallback(first.append) and None
        )
        wait_until(lambda: live.service.forwarder.open_count == 1)
        result = call_in_reactor(submitter.submit, "", "note@slow.example", CONTENT)
        assert isinstance(result, Refused) and result.retry_after_s > 0
        port = live.ports["smtp"]
    wait_until(lambda: bool(first))
    assert isinstance(call_in_reactor(client(port).submit, "", "note@slow.example", CONTENT), Refused)


def test_resubmission_after_a_timeout_returns_the_result_of_the_first_submission() -> None:
    may_reply = threading.Event()
    received: list[str] = []

    def reply_late(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        received.append(connection.read_content())
        may_reply.wait(10)
        connection.write_lines("250 ok")
        connection.read_line()

    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(reply_late).port)
        submitter = client(live.ports["smtp"])
        result = call_in_reactor(submitter.submit, "", "pay@p.example", CONTENT, None, "once", 0.5)
        assert result == Failed("no reply before the timeout", is_result_lost=True)
        resubmitted: list[Any] = []
        call_in_reactor(
            lambda: (
                submitter.submit("", "pay@p.example", CONTENT, None, "once").addCallback(resubmitted.append)
                and None
            )
        )
        wait_until(lambda: any(event == "duplicate_deferred" for event, _ in live.log.lines))
        may_reply.set()
        wait_until(lambda: bool(resubmitted))
        assert resubmitted == [Delivered()] and len(received) == 1


@pytest.mark.parametrize("lmtp", [False, True])
def test_a_closing_reply_to_the_message_is_a_lost_result(lmtp: bool) -> None:
    """Guards against a client that hands a message in elsewhere after a 421 that says nothing about it."""

    def close(connection: BlockingConnection) -> None:
        connection.write_lines("220 front")
        connection.read_line()
        connection.write_lines("250-front", "250 XADVICE")
        connection.read_line()
        connection.write_lines("250 ok")
        for _ in range(1 + lmtp):
            connection.read_line()
            connection.write_lines("250 ok")
        connection.read_line()
        connection.write_lines("354 go")
        connection.read_content()
        connection.write_lines("421 4.4.2 closing")

    submitter = Client(reactor, "127.0.0.1", ScriptedPartner(close).port, lmtp)
    recipients = ["pay@p.example", "pay@q.example"][: 1 + lmtp]
    results = call_in_reactor(submitter.submit_batch, "", recipients, CONTENT)
    assert results == [Failed("closing", is_result_lost=True)] * len(recipients)


def test_a_closing_reply_with_a_wait_is_a_refusal() -> None:
    reply = mail.Reply(421, "4.3.2", "full", wait_ms=500)
    assert result_from_reply(reply) == Refused(0.5, "full")
    assert result_from_reply(mail.Reply(421, "4.3.2", "full"), mail.Phase.MAIL) == Refused(0.0, "full")


def test_invalid_address_raises_value_error() -> None:
    with pytest.raises(ValueError, match="is not an address of the form local@domain"):
        client(1).submit("", "no address\r\nRCPT TO:<x@y>", CONTENT)


def test_rejected_sender_completes_every_recipient_of_a_batch() -> None:
    session = mail.ClientSession("c", lmtp=True)
    session.receive(b"220 x\r\n250-x\r\n250 PIPELINING\r\n")
    session.send_many(mail.Path("a", "b"), [mail.Path("x", f"y{i}") for i in range(3)], b"x\r\n")
    events = session.receive(b"451 4.3.0 no\r\n503 no\r\n503 no\r\n503 no\r\n503 no\r\n")
    assert [
        (event.index, event.is_last, event.reply.code)
        for event in events
        if isinstance(event, mail.RecipientAnswered)
    ] == [
        (0, False, 451),
        (1, False, 451),
        (2, True, 451),
    ]
    assert session.phase is mail.Phase.IDLE


def test_partly_accepted_batch_completes_every_recipient() -> None:
    session = mail.ClientSession("c", lmtp=True)
    session.receive(b"220 x\r\n250-x\r\n250 PIPELINING\r\n")
    session.send_many(mail.Path("a", "b"), [mail.Path("x", f"y{i}") for i in range(4)], b"x\r\n")
    events = session.receive(b"250 ok\r\n250 ok\r\n550 5.1.1 no\r\n250 ok\r\n452 4.3.1 no\r\n354 go\r\n")
    assert [
        (event.index, event.is_last) for event in events if isinstance(event, mail.RecipientAnswered)
    ] == [
        (1, False),
        (3, False),
    ]
    assert session.is_committed
    events = session.receive(b"250 ok\r\n421 4.3.2 bye\r\n")
    assert [
        (event.index, event.is_last, event.reply.code)
        for event in events
        if isinstance(event, mail.RecipientAnswered)
    ] == [
        (0, False, 250),
        (2, True, 421),
    ]
    assert not session.is_open


def test_third_party_clients_submit_over_smtp_and_lmtp() -> None:
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        live.list_partner("no.example", partner_replying("550 5.1.1 nobody").port)
        with smtplib.SMTP("127.0.0.1", live.ports["smtp"]) as smtp:
            assert smtp.sendmail("a@c.example", ["note@p.example"], "Subject: x\r\n\r\n.dot\r\n") == {}
            with pytest.raises(smtplib.SMTPDataError) as caught:
                smtp.sendmail("a@c.example", ["note@no.example"], "Subject: x\r\n\r\nx\r\n")
            assert caught.value.smtp_code == 550
        with smtplib.LMTP("127.0.0.1", live.ports["lmtp"]) as lmtp:
            assert lmtp.sendmail("a@c.example", ["note@p.example"], "Subject: x\r\n\r\nx\r\n") == {}

        async def submit_with_aiosmtplib() -> None:
            smtp_client = aiosmtplib.SMTP(hostname="127.0.0.1", port=live.ports["smtp"], start_tls=False)
            async with smtp_client:
                for _ in range(3):
                    errors, text = await smtp_client.sendmail("a@c.example", ["note@p.example"], CONTENT)
                    assert errors == {} and "delivered" in text
                with pytest.raises(aiosmtplib.SMTPRecipientsRefused):
                    await smtp_client.sendmail("a@c.example", ["what@p.example"], CONTENT)

        asyncio.run(submit_with_aiosmtplib())


def test_send_command_prints_results_and_exits_with_their_status(tmp_path: Path) -> None:
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        live.list_partner("bad.example", partner_replying("554 5.3.0 broken").port)
        path = tmp_path / "message"
        path.write_bytes(CONTENT.replace(b"\r\n", b"\n"))

        def send(*arguments: str) -> subprocess.CompletedProcess[str]:
            command = [
                sys.executable,
                "-m",
                "honeybarrow",
                "send",
                "--port",
                str(live.ports["lmtp"]),
                "--lmtp",
            ]
            return subprocess.run(
                [*command, *arguments], capture_output=True, text=True, timeout=60, cwd=ROOT
            )

        done = send("--file", str(path), "note@p.example", "pay@p.example")
        assert (done.returncode, done.stdout.count("delivered")) == (0, 2), done.stderr
        done = send("--file", str(path), "note@p.example", "pay@bad.example")
        assert done.returncode == 69 and "pay@bad.example: failed" in done.stdout
        done = send("--file", str(path), "not an address")
        assert done.returncode == 2 and "is not an address of the form local@domain" in done.stderr
        done = send("--port", "1", "--file", str(path), "note@p.example")
        assert done.returncode == 75 and "refused" in done.stdout
