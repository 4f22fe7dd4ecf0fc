"""``honeybarrow send``: submits one message and prints its results."""

from __future__ import annotations

import re
import socket
from collections.abc import Sequence

import click

from honeybarrow import mail
from honeybarrow.client import Client, ClientLimits, Delivered, Failed, FinalResult, Refused
from honeybarrow.reactor import get_reactor

ALL_DELIVERED, SOME_REFUSED, SOME_FAILED = 0, 75, 69  # 75 is EX_TEMPFAIL, 69 EX_UNAVAILABLE (sysexits.h)

reactor = get_reactor()


def format_result(result: FinalResult) -> str:
    """Return the text printed for a result."""
    match result:
        case Delivered():
            return "delivered"
        case Refused(retry_after_s, reason):
            retry_hint = f", retry after {retry_after_s:g} s" if retry_after_s else ""
            return f"refused{retry_hint}: {reason}"
        case Failed(reason, retry_within_s, is_permanent, is_result_lost):
            details = " permanently" if is_permanent else ", result unknown" if is_result_lost else ""
            details += f", partner drops repeats for {retry_within_s:g} s" if retry_within_s else ""
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
    """Submit a message, print the result of each recipient and return the exit status.

    Raises ``ValueError`` for an invalid address.
    """
    for recipient in recipients:
        mail.read_address(recipient)
    content = re.sub(rb"\r?\n", b"\r\n", content)
    limits = ClientLimits(max_connections=4, timeout_s=timeout_s)
    client = Client(reactor, host, port, lmtp, socket.gethostname() or "localhost", limits)
    results: list[FinalResult] = []

    def finish(batch_results: list[FinalResult]) -> None:
        results.extend(batch_results)
        client.close()
        reactor.stop()

    def begin() -> None:
        batch = client.submit_batch(sender, recipients, content, by_s, envelope_id)
        batch.addCallback(finish)

    reactor.callWhenRunning(begin)
    reactor.run()
    for recipient, result in zip(recipients, results, strict=True):
        click.echo(f"{recipient}: {format_result(result)}")
    if any(isinstance(result, Failed) for result in results):
        return SOME_FAILED
    return SOME_REFUSED if any(isinstance(result, Refused) for result in results) else ALL_DELIVERED
