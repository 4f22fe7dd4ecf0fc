"""``honeybarrow send``: submits one message and prints the results."""

from __future__ import annotations

import re
import socket
from collections.abc import Sequence

import click

from honeybarrow import mail
from honeybarrow.client import Client, ClientLimits, Delivered, Failed, FinalResult, Refused
from honeybarrow.reactor import get_reactor

ALL_DELIVERED, SOME_REFUSED, SOME_FAILED = 0, 75, 69  # EX_TEMPFAIL and EX_UNAVAILABLE of sysexits.h

reactor = get_reactor()


def format_result(result: FinalResult) -> str:
    """A result in words, as it is printed."""
    match result:
        case Delivered():
            return "delivered"
        case Refused(retry_after_s, reason):
            retry_hint = f", come back after {retry_after_s:g} s" if retry_after_s else ""
            return f"refused{retry_hint}: {reason}"
        case Failed(reason, retry_within_s, is_permanent, is_result_lost):
            details = ", for good" if is_permanent else ", the answer is lost" if is_result_lost else ""
            details += f", a repeat is dropped for {retry_within_s:g} s" if retry_within_s else ""
            return f"failed{details}: {reason}"


def submit(
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
    """Submit a message and print the result of each recipient; the exit status.

    Raises ``ValueError`` for an invalid address.
    """
    for each in recipients:
        mail.read_address(each)
    content = re.sub(rb"\r?\n", b"\r\n", content)
    limits = ClientLimits(max_connections=4, timeout_s=timeout_s)
    client = Client(reactor, host, port, lmtp, socket.gethostname() or "localhost", limits)
    answers: list[FinalResult] = []

    def done(found: list[FinalResult]) -> None:
        answers.extend(found)
        client.close()
        reactor.stop()

    def begin() -> None:
        batch = client.submit_batch(sender, recipients, content, by_s, envelope_id)
        batch.addCallback(done)

    reactor.callWhenRunning(begin)
    reactor.run()
    for recipient, answer in zip(recipients, answers, strict=True):
        click.echo(f"{recipient}: {format_result(answer)}")
    if any(isinstance(answer, Failed) for answer in answers):
        return SOME_FAILED
    return SOME_REFUSED if any(isinstance(answer, Refused) for answer in answers) else ALL_DELIVERED
