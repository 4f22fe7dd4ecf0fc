"""The client library, and clients that nobody here wrote, against a forwarder on loopback sockets."""

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
from honeybarrow.client import Client, ClientLimits, Delivered, Failed, Refused
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


def refusing(reply: str, *extensions: str) -> ScriptedPartner:
    def script(connection: BlockingConnection) -> None:
        connection.greet(*extensions)
        while True:
            connection.accept_message(reply)

    return ScriptedPartner(script)


@pytest.mark.parametrize("lmtp", [False, True])
def test_one_final_result_for_each_message(lmtp: bool) -> None:
    with forwarder() as live:
        live.list_partner("good.example", ScriptedPartner(accept_all_messages).port)
        live.list_partner("no.example", refusing("550 5.7.1 policy").port)
        live.list_partner("bad.example", refusing("554 5.3.0 broken").port)
        ours = client(live.ports["lmtp" if lmtp else "smtp"], lmtp, max_connections=3)
        names = [
            "note@good.example",
            "pay@no.example",
            "pay@bad.example",
            "what@good.example",
            "note@good.example",
        ]
        answers = call_in_reactor(ours.submit_batch, "a@c.example", names, CONTENT)
        assert [type(answer) for answer in answers] == [Delivered, Failed, Failed, Failed, Delivered]
        assert [getattr(answer, "is_permanent", None) for answer in answers[1:4]] == [True, False, True]
        answer = call_in_reactor(ours.submit, "", "post@bad.example", CONTENT, 1)
        assert isinstance(answer, Failed) and 0 < answer.retry_within_s < 3
        many = [call_in_reactor(ours.submit, "", "note@good.example", CONTENT) for _ in range(20)]
        assert many == [Delivered()] * 20 and len(ours._open) <= 3
        call_in_reactor(ours.close)
        wait_until(lambda: not ours._open)


def test_a_refusal_has_a_retry_wait_and_no_listener_is_a_refusal() -> None:
    with forwarder("slots = 8, max_open = 1") as live:
        live.list_partner("slow.example", ScriptedPartner(lambda connection: time.sleep(5)).port)
        ours = client(live.ports["smtp"], max_connections=2)
        first: list[Any] = []
        call_in_reactor(
            lambda: ours.submit("", "note@slow.example", CONTENT).addCallback(first.append) and None
        )
        wait_until(lambda: live.service.forwarder.open_count == 1)
        answer = call_in_reactor(ours.submit, "", "note@slow.example", CONTENT)
        assert isinstance(answer, Refused) and answer.retry_after_s > 0
        port = live.ports["smtp"]
    wait_until(lambda: bool(first))
    assert isinstance(call_in_reactor(client(port).submit, "", "note@slow.example", CONTENT), Refused)


def test_a_lost_connection_is_no_result_and_submitting_again_gets_it() -> None:
    go = threading.Event()
    runs: list[str] = []

    def held(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        runs.append(connection.read_content())
        go.wait(10)
        connection.write_lines("250 ok")
        connection.read_line()

    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(held).port)
        ours = client(live.ports["smtp"])
        answer = call_in_reactor(ours.submit, "", "pay@p.example", CONTENT, None, "once", 0.5)
        assert answer == Failed("no answer in time", is_result_lost=True)
        again: list[Any] = []
        call_in_reactor(
            lambda: ours.submit("", "pay@p.example", CONTENT, None, "once").addCallback(again.append) and None
        )
        wait_until(lambda: any(event == "duplicate_deferred" for event, _ in live.log.lines))
        go.set()
        wait_until(lambda: bool(again))
        assert again == [Delivered()] and len(runs) == 1


def test_invalid_addresses_are_errors_at_once() -> None:
    with pytest.raises(ValueError, match="is no address"):
        client(1).submit("", "no address\r\nRCPT TO:<x@y>", CONTENT)


def test_a_batch_whose_sender_is_refused_has_a_result_for_each() -> None:
    session = mail.ClientSession("c", lmtp=True)
    session.receive(b"220 x\r\n250-x\r\n250 PIPELINING\r\n")
    session.send_many(mail.Path("a", "b"), [mail.Path("x", f"y{i}") for i in range(3)], b"x\r\n")
    events = session.receive(b"451 4.3.0 no\r\n503 no\r\n503 no\r\n503 no\r\n503 no\r\n")
    assert [(e.index, e.is_last, e.reply.code) for e in events if isinstance(e, mail.RecipientAnswered)] == [
        (0, False, 451),
        (1, False, 451),
        (2, True, 451),
    ]
    assert session.phase is mail.Phase.IDLE


def test_a_batch_partly_accepted() -> None:
    session = mail.ClientSession("c", lmtp=True)
    session.receive(b"220 x\r\n250-x\r\n250 PIPELINING\r\n")
    session.send_many(mail.Path("a", "b"), [mail.Path("x", f"y{i}") for i in range(4)], b"x\r\n")
    events = session.receive(b"250 ok\r\n250 ok\r\n550 5.1.1 no\r\n250 ok\r\n452 4.3.1 no\r\n354 go\r\n")
    assert [(e.index, e.is_last) for e in events if isinstance(e, mail.RecipientAnswered)] == [
        (1, False),
        (3, False),
    ]
    assert session.is_committed
    events = session.receive(b"250 ok\r\n421 4.3.2 bye\r\n")
    assert [(e.index, e.is_last, e.reply.code) for e in events if isinstance(e, mail.RecipientAnswered)] == [
        (0, False, 250),
        (2, True, 421),
    ]
    assert not session.is_open


def test_third_party_clients() -> None:
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        live.list_partner("no.example", refusing("550 5.1.1 nobody").port)
        with smtplib.SMTP("127.0.0.1", live.ports["smtp"]) as smtp:
            assert smtp.sendmail("a@c.example", ["note@p.example"], "Subject: x\r\n\r\n.dot\r\n") == {}
            with pytest.raises(smtplib.SMTPDataError) as caught:
                smtp.sendmail("a@c.example", ["note@no.example"], "Subject: x\r\n\r\nx\r\n")
            assert caught.value.smtp_code == 550
        with smtplib.LMTP("127.0.0.1", live.ports["lmtp"]) as lmtp:
            assert lmtp.sendmail("a@c.example", ["note@p.example"], "Subject: x\r\n\r\nx\r\n") == {}

        async def hand_in() -> None:
            sender = aiosmtplib.SMTP(hostname="127.0.0.1", port=live.ports["smtp"], start_tls=False)
            async with sender:
                for _ in range(3):
                    errors, text = await sender.sendmail("a@c.example", ["note@p.example"], CONTENT)
                    assert errors == {} and "delivered" in text
                with pytest.raises(aiosmtplib.SMTPRecipientsRefused):
                    await sender.sendmail("a@c.example", ["what@p.example"], CONTENT)

        asyncio.run(hand_in())


def test_the_command_for_operators(tmp_path: Path) -> None:
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        live.list_partner("bad.example", refusing("554 5.3.0 broken").port)
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
        assert done.returncode == 2 and "is no address" in done.stderr
        done = send("--port", "1", "--file", str(path), "note@p.example")
        assert done.returncode == 75 and "refused" in done.stdout
