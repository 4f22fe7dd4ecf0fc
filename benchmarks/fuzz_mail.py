"""Coverage-guided fuzzer for the mail sessions and the parser of the endpoint list; not run in CI.

    pip install atheris
    python -m benchmarks.fuzz_mail TARGET -max_total_time=600 [CORPUS]

TARGET is server, client, list or advice. An exception or a buffer above its bound ends the run. Inputs that
failed are kept as tests in tests/test_mail.py.
"""

from __future__ import annotations

import sys
from typing import Any

import atheris

with atheris.instrument_imports():
    from honeybarrow import mail
    from honeybarrow.mail.grammar import read_advice
    from honeybarrow.register import ListError, PartnerDirectory

LIMITS = mail.SessionLimits(
    max_command_bytes=300,
    max_text_line_bytes=200,
    max_message_bytes=2000,
    max_recipients=3,
    max_errors=50,
    max_buffered_bytes=20_000,
)
OK = mail.Reply(250, "2.0.0", "ok")


def fuzz_server(data: bytes) -> None:
    """Feed a server session. The first octet selects the protocol and the chunk size."""
    if not data:
        return
    mode, data = data[0], data[1:]
    session = mail.ServerSession(
        "f", bool(mode & 1), LIMITS, offer_tls=bool(mode & 2), offer_auth=bool(mode & 2)
    )
    session.greet()
    chunk_bytes = 1 + (mode >> 2)
    for offset in range(0, len(data), chunk_bytes):
        session.receive(data[offset : offset + chunk_bytes])
        while (event := session.next_event()) is not None:
            if isinstance(event, mail.Message):
                assert len(event.content) <= LIMITS.max_message_bytes + 4
                session.answer(*[OK] * (len(event.recipients) if mode & 1 else 1))
            elif isinstance(event, mail.Sender | mail.Recipient | mail.Credentials):
                session.answer(OK)
            elif isinstance(event, mail.StartTls):
                session.on_tls_started()
        assert (
            len(session._in) <= LIMITS.max_buffered_bytes
            and len(session._content) <= LIMITS.max_message_bytes + 2 * chunk_bytes
        )
        for line in session.take_output().split(b"\r\n")[:-1]:
            assert line[:3].isdigit() and len(line) < 600


def fuzz_client(data: bytes) -> None:
    """Feed a client session with replies, split at octet 255."""
    session = mail.ClientSession("c", bool(data[:1] == b"L"))
    session.receive(b"220 x\r\n250-x\r\n250-PIPELINING\r\n250 XADVICE\r\n")
    answered = 3
    for part in data.split(b"\xff"):
        if session.phase is mail.Phase.IDLE:
            assert answered == 3
            answered = 0
            session.send_many(mail.Path("a", "b"), [mail.Path("x", f"y{i}") for i in range(3)], b"x\r\n")
        for event in session.receive(part):
            if isinstance(event, mail.RecipientAnswered):
                answered += 1
                assert answered <= 3 and event.is_last == (answered == 3)
        assert len(session._in) < 5000 and len(session._reader._rows) <= 102


def fuzz_list(data: bytes) -> None:
    """Apply a line to an empty partner directory."""
    directory = PartnerDirectory()
    try:
        directory.apply_line(data)
    except ListError:
        assert directory.version == 0 and not directory.endpoints


def fuzz_advice(data: bytes) -> None:
    """Parse the advice of a reply text."""
    text = data.decode("latin-1")
    rest, parsed = read_advice(text)
    assert len(rest) <= len(text) and parsed.wait_ms >= 0 and parsed.duplicate_window_ms >= 0


TARGETS: dict[str, Any] = {
    "server": fuzz_server,
    "client": fuzz_client,
    "list": fuzz_list,
    "advice": fuzz_advice,
}


def main() -> None:
    target = TARGETS[sys.argv.pop(1)]
    atheris.Setup(sys.argv, target)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
