"""``honeybarrow send``: hands one message in and tells the answers."""

from __future__ import annotations

import re
import socket
from collections.abc import Sequence
from typing import Any

import click
from twisted.internet import reactor as chosen

from honeybarrow import mail
from honeybarrow.client import Answer, Client, ClientLimits, Delivered, Failed, Refused

OK, REFUSED, FAILED = 0, 75, 69  # EX_TEMPFAIL and EX_UNAVAILABLE of sysexits.h

reactor: Any = chosen


def told(answer: Answer) -> str:
    """An answer in words."""
    match answer:
        case Delivered():
            return "delivered"
        case Refused(wait_s, why):
            when = f", come back after {wait_s:g} s" if wait_s else ""
            return f"refused{when}: {why}"
        case Failed(why, within_s, for_good, lost):
            more = ", for good" if for_good else ", the answer is lost" if lost else ""
            more += f", a repeat is dropped for {within_s:g} s" if within_s else ""
            return f"failed{more}: {why}"


def hand_in(
    host: str,
    port: int,
    lmtp: bool,
    sender: str,
    recipients: Sequence[str],
    content: bytes,
    by_s: int | None,
    envelope_id: str,
    timeout_s: float,
) -> int:
    """The exit status. Raises ``ValueError`` for an address that is none."""
    for each in recipients:
        mail.read_address(each)
    content = re.sub(rb"\r?\n", b"\r\n", content)
    limits = ClientLimits(connections=4, timeout_s=timeout_s)
    client = Client(reactor, host, port, lmtp, socket.gethostname() or "localhost", limits)
    answers: list[Answer] = []

    def done(found: list[Answer]) -> None:
        answers.extend(found)
        client.close()
        reactor.stop()

    def begin() -> None:
        batch = client.submit_batch(sender, recipients, content, by_s, envelope_id)
        batch.addCallback(done)

    reactor.callWhenRunning(begin)
    reactor.run()
    for recipient, answer in zip(recipients, answers, strict=True):
        click.echo(f"{recipient}: {told(answer)}")
    if any(isinstance(answer, Failed) for answer in answers):
        return FAILED
    return REFUSED if any(isinstance(answer, Refused) for answer in answers) else OK
