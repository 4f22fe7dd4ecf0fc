"""Tests of the grammar and the protocol state machines of SMTP and LMTP, without sockets."""

from __future__ import annotations

import base64
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow import mail
from honeybarrow.mail import Path, Phase, Reply, ServerSession, State
from honeybarrow.mail.grammar import SYNTAX_ERROR, InvalidReplyError, read_path

OK = Reply(250, "2.0.0", "ok")
LIMITS = mail.SessionLimits(
    max_command_bytes=300,
    max_text_line_bytes=200,
    max_message_bytes=2000,
    max_recipients=3,
    max_errors=4,
    max_buffered_bytes=20_000,
)


class AcceptingServer:
    """A server session that accepts every command and replies to messages with ``final``."""

    def __init__(self, lmtp: bool = False, final: Reply = OK) -> None:
        self.session = ServerSession("front.example", lmtp, LIMITS)
        self.final = final
        self.events: list[Any] = []
        self.out = b""
        self.session.greet()
        self.process_events()

    def process_events(self) -> None:
        while (event := self.session.next_event()) is not None:
            self.events.append(event)
            if isinstance(event, mail.Message):
                self.session.answer(*[self.final] * (len(event.recipients) if self.session.lmtp else 1))
            elif isinstance(event, mail.Sender | mail.Recipient):
                self.session.answer(OK)
        self.out += self.session.take_output()

    def feed(self, data: bytes, piece: int = 0) -> list[int]:
        """Feed bytes, whole or in pieces of ``piece`` bytes, and return the codes of the replies."""
        before = len(self.out)
        for at in range(0, len(data), piece or len(data) or 1):
            self.session.receive(data[at : at + (piece or len(data))])
            self.process_events()
        lines = self.out[before:].split(b"\r\n")
        return [int(line[:3]) for line in lines if line[3:4] == b" "]

    def messages(self) -> list[mail.Message]:
        return [event for event in self.events if isinstance(event, mail.Message)]


def run_session(*parts: bytes, lmtp: bool = False, piece: int = 0) -> tuple[AcceptingServer, list[int]]:
    """Feed each part after the replies to the previous one; return the server and all reply codes."""
    server = AcceptingServer(lmtp)
    codes: list[int] = []
    for part in parts:
        codes += server.feed(part, piece)
    return server, codes


HELLO, ENVELOPE = b"EHLO c.example\r\n", b"MAIL FROM:<a@b.example>\r\nRCPT TO:<x@y.example>\r\n"


@pytest.mark.parametrize("piece", [0, 1, 7])
def test_message_is_received_whole_for_any_split_of_the_input(piece: int) -> None:
    body = b"Subject: x\r\n\r\n.. dots\r\n...\r\nend\r\n"
    server, codes = run_session(HELLO, ENVELOPE + b"DATA\r\n", body + b".\r\nQUIT\r\n", piece=piece)
    assert codes == [250, 250, 250, 354, 250, 221]
    assert server.messages()[0].content == b"Subject: x\r\n\r\n. dots\r\n..\r\nend\r\n"
    assert server.session.state is State.CLOSED


BAD_COMMANDS = [
    ("unknown verb", b"FROB x\r\n", 500),
    ("bare LF in a command", b"NOOP\nMAIL FROM:<a@b>\r\n", 500),
    ("bare CR in a command", b"NO\rOP\r\n", 500),
    ("NUL in a command", b"NO\0OP\r\n", 500),
    ("octets beyond ASCII", b"MAIL FROM:<\xff@b>\r\n", 500),
    ("line too long", b"NOOP " + b"x" * 400 + b"\r\n", 500),
    ("DATA before MAIL", b"DATA\r\n", 503),
    ("RCPT before MAIL", b"RCPT TO:<a@b>\r\n", 503),
    ("LHLO on SMTP", b"LHLO c\r\n", 500),
    ("no path", b"MAIL FROM:\r\n", 501),
    ("no colon", b"MAIL <a@b.example>\r\n", 501),
    ("open path", b"MAIL FROM:<a@b.example\r\n", 501),
    ("bad domain", b"MAIL FROM:<a@-b>\r\n", 501),
    ("long local part", b"MAIL FROM:<" + b"a" * 65 + b"@b.example>\r\n", 501),
    ("unknown parameter", b"MAIL FROM:<a@b.example> FOO=1\r\n", 555),
    ("size is not a number", b"MAIL FROM:<a@b.example> SIZE=x\r\n", 501),
    ("size twice", b"MAIL FROM:<a@b.example> SIZE=1 SIZE=2\r\n", 501),
    ("size over the limit", b"MAIL FROM:<a@b.example> SIZE=2001\r\n", 552),
    ("time limit of zero", b"MAIL FROM:<a@b.example> BY=0;R\r\n", 501),
    ("recipient without domain", b"MAIL FROM:<a@b.example>\r\nRCPT TO:<>\r\n", 501),
]


@pytest.mark.parametrize(("name", "line", "code"), BAD_COMMANDS, ids=[row[0] for row in BAD_COMMANDS])
def test_invalid_command_is_rejected_and_session_continues(name: str, line: bytes, code: int) -> None:
    for piece in (0, 1):
        server, codes = run_session(HELLO, line, b"NOOP\r\n", piece=piece)
        assert codes[-2:] == [code, 250], name


BAD_CONTENT = [
    ("bare LF", b"a\nb\r\n.\r\n", 554),
    ("bare CR", b"a\rb\r\n.\r\n", 554),
    ("NUL", b"a\0b\r\n.\r\n", 554),
    ("LF dot LF", b"a\n.\nMAIL FROM:<evil@x>\r\n.\r\n", 554),
    ("LF dot CRLF", b"a\n.\r\nMAIL FROM:<evil@x>\r\n.\r\n", 554),
    ("CRLF dot LF", b"a\r\n.\nMAIL FROM:<evil@x>\r\n.\r\n", 554),
    ("CRLF dot CR", b"a\r\n.\rMAIL FROM:<evil@x>\r\n.\r\n", 554),
    ("long line", b"x" * 300 + b"\r\n.\r\n", 554),
    ("too large", b"x\r\n" * 900 + b".\r\n", 552),
]


@pytest.mark.parametrize(("name", "data", "code"), BAD_CONTENT, ids=[row[0] for row in BAD_CONTENT])
def test_invalid_content_is_rejected_and_not_parsed_as_commands(name: str, data: bytes, code: int) -> None:
    for piece in (0, 1, 5):
        server, codes = run_session(HELLO, ENVELOPE + b"DATA\r\n", data, b"NOOP\r\n", piece=piece)
        assert codes[3:] == [354, code, 250], name
        assert server.messages() == []
        assert sum(isinstance(event, mail.Sender) for event in server.events) == 1


def test_endless_data_keeps_memory_bounded() -> None:
    server, _ = run_session(HELLO, ENVELOPE + b"DATA\r\n")
    for _ in range(2000):
        server.feed(b"y" * 1000 + b"\r\n")
        assert len(server.session._content) <= LIMITS.max_message_bytes + 2000
    assert server.feed(b"\r\n.\r\n") == [552]


@pytest.mark.parametrize("data", [ENVELOPE + b"DATA\r\nSubject: x\r\n", b"EHLO again\r\nMAIL FROM:<a@b>\r\n"])
def test_bytes_sent_before_a_required_reply_end_the_session(data: bytes) -> None:
    server, codes = run_session(HELLO, data)
    assert codes[-1] == 503
    assert server.session.state is State.CLOSED


def test_errors_and_recipients_are_limited() -> None:
    server, codes = run_session(HELLO, b"FROB\r\n" * 9)
    assert codes == [250, 500, 500, 500, 500, 421]
    _, codes = run_session(HELLO, b"MAIL FROM:<>\r\n" + b"RCPT TO:<x@y.example>\r\n" * 4)
    assert codes == [250, 250, 250, 250, 250, 452]


@pytest.mark.parametrize("is_flooded", [False, True])
def test_a_session_closes_after_the_replies_to_a_message_that_awaits_its_result(is_flooded: bool) -> None:
    """Guards against a 421 in place of the result of a message whose call is out."""
    session = ServerSession("front.example", lmtp=True, limits=LIMITS)
    for part in (b"LHLO c\r\n", b"MAIL FROM:<>\r\nRCPT TO:<a@b.c>\r\nRCPT TO:<d@e.f>\r\nDATA\r\n"):
        session.receive(part)
        while (event := session.next_event()) is not None:
            if isinstance(event, mail.Sender | mail.Recipient):
                session.answer(OK)
    session.receive(b"\r\nhello\r\n.\r\n")
    assert isinstance(session.next_event(), mail.Message)
    session.answer(Reply(250, "", "delivered"))
    session.take_output()
    if is_flooded:
        session.receive(b"x" * (LIMITS.max_buffered_bytes + 1))
    else:
        session.refuse(Reply(421, "4.4.2", "closing"))
    assert session.take_output() == b"" and session.is_waiting
    session.receive(b"NOOP\r\n")
    session.answer(Reply(250, "", "delivered too"))
    codes = [line[:3] for line in session.take_output().splitlines()]
    assert codes == [b"250", b"421"] and session.state is State.CLOSED


def test_lmtp_sends_a_reply_for_each_recipient_in_order() -> None:
    server = AcceptingServer(lmtp=True)
    assert server.feed(b"EHLO c\r\n") == [500]
    server.feed(b"LHLO c\r\n")
    server.feed(b"MAIL FROM:<>\r\nRCPT TO:<a@y.example>\r\nRCPT TO:<b@y.example>\r\nDATA\r\n")
    session = server.session
    session.receive(b"x\r\n.\r\nNOOP\r\n")
    assert isinstance(session.next_event(), mail.Message)
    session.answer(Reply(250, "2.0.0", "first"))
    assert session.is_waiting and b"first" in session.take_output()
    session.answer(Reply(451, "4.3.2", "second", wait_ms=1500))
    assert b"451 4.3.2 [wait=1500] second" in session.take_output()
    with pytest.raises(RuntimeError):
        session.answer(OK)
    assert session.next_event() is None and b"250 2.0.0 ok" in session.take_output()


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=30), st.booleans())
def test_no_bytes_make_the_server_raise(parts: list[bytes], lmtp: bool) -> None:
    server = AcceptingServer(lmtp)
    words = [b"EHLO x\r\n", b"LHLO x\r\n", ENVELOPE, b"DATA\r\n", b"\r\n.\r\n", b"."]
    for i, part in enumerate(parts):
        server.feed(words[(len(part) + i) % len(words)])
        server.feed(part)
        assert len(server.session._in) <= LIMITS.max_buffered_bytes
    assert server.out.endswith(b"\r\n")
    assert all(line[:3].isdigit() for line in server.out.split(b"\r\n")[:-1])


def exchange(
    client: mail.ClientSession, server: AcceptingServer, pieces: random.Random | None = None
) -> list[Any]:
    """Exchange bytes between both sides until neither has any left; return the client's events."""
    events: list[Any] = []
    from_server, server.out = server.out, b""
    while True:
        size = pieces.randint(1, 9) if pieces else len(from_server) or 1
        for start in range(0, len(from_server), size):
            events += client.receive(from_server[start : start + size])
        out = client.take_output()
        if not out:
            return events
        server.feed(out, pieces.randint(1, 9) if pieces else 0)
        from_server, server.out = server.out, b""


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=40), max_size=12),
    st.integers(),
)
def test_content_passes_through_both_machines_unchanged(lines: list[str], seed: int) -> None:
    content = "".join(line + "\r\n" for line in ["." + line for line in lines] + lines).encode()
    for lmtp in (False, True):
        server, client = AcceptingServer(lmtp), mail.ClientSession("c.example", lmtp)
        pieces = random.Random(seed)
        assert [type(event) for event in exchange(client, server, pieces)] == [mail.Ready]
        client.send(Path("a", "b.example"), Path("x", "y.example"), content, 7)
        (answered,) = exchange(client, server, pieces)
        assert answered.phase is Phase.FINAL and answered.reply.code == 250
        assert server.messages()[0].content == content
        assert server.messages()[0].parameters.deliver_by_s == 7
        assert client.phase is Phase.IDLE


def get_only_event(events: list[Any]) -> Any:
    (event,) = events
    return event


def make_idle_client(*extensions: str) -> mail.ClientSession:
    client = mail.ClientSession("c.example")
    client.receive(b"220 hi\r\n")
    client.receive(Reply(250, "", "hi", lines=extensions).encode())
    client.take_output()
    return client


def test_client_is_committed_once_end_of_data_is_written() -> None:
    client = make_idle_client()
    client.send(Path("a", "b.example"), Path("x", "y.example"), b"hello\r\n")
    assert client.take_output() == b"MAIL FROM:<a@b.example>\r\n"
    client.receive(b"250 ok\r\n")
    assert client.take_output() == b"RCPT TO:<x@y.example>\r\n"
    client.receive(b"250 ok\r\n")
    assert client.take_output() == b"DATA\r\n" and not client.is_committed
    client.receive(b"354 go\r\n")
    assert client.is_committed and client.take_output() == b"hello\r\n.\r\n"


def test_rejected_recipient_ends_transaction_and_session_continues() -> None:
    client = make_idle_client("PIPELINING", "XADVICE")
    client.send(Path("a", "b.example"), Path("x", "y.example"), b"hello\r\n")
    assert client.take_output().count(b"\r\n") == 3
    assert client.receive(b"250 ok\r\n451 4.3.2 [wait=700 load=0,12.5] full\r\n") == []
    answered = get_only_event(client.receive(b"503 5.5.1 no\r\n"))
    assert (answered.phase, answered.reply.wait_ms, answered.reply.load) == (Phase.RCPT, 700, (0.0, 12.5))
    assert answered.reply.is_capacity_refusal and not client.is_committed
    assert client.take_output() == b"RSET\r\n"
    assert client.receive(b"250 ok\r\n") == [mail.ResetDone()] and client.phase is Phase.IDLE


def test_client_disconnects_if_server_accepts_data_without_recipients() -> None:
    client = make_idle_client("PIPELINING")
    client.send(Path("a", "b.example"), Path("x", "y.example"), b"hello\r\n")
    answered = get_only_event(client.receive(b"250 ok\r\n550 5.1.1 no\r\n354 go\r\n"))
    assert answered.reply.is_permanent and not client.is_committed and not client.is_open


def test_advice_is_ignored_without_the_extension() -> None:
    client = make_idle_client()
    client.send(Path("a", "b.example"), Path("x", "y.example"), b"hello\r\n")
    answered = get_only_event(client.receive(b"451 4.3.0 [wait=700] no\r\n"))
    assert answered.reply.wait_ms == 0 and not answered.reply.is_capacity_refusal


BAD_REPLIES = [
    b"25\r\n",
    b"2x0 ok\r\n",
    b"250_ok\r\n",
    b"250-a\r\n251 b\r\n",
    b"250 ok\n",
    b"999 x\r\n",
    b"250 a\0\r\n",
]


@pytest.mark.parametrize("data", [*BAD_REPLIES, b"250-x\r\n" * 200, b"250 " + b"x" * 5000])
def test_client_disconnects_after_invalid_reply(data: bytes) -> None:
    client = make_idle_client()
    client.send(Path("a", "b.example"), Path("x", "y.example"), b"hello\r\n")
    events = client.receive(data)
    assert [type(event) for event in events] == [mail.ProtocolViolation] and not client.is_open


def test_unsolicited_reply_ends_idle_session() -> None:
    assert [type(event) for event in make_idle_client().receive(b"421 4.3.2 bye\r\n")] == [mail.ServerClosing]
    assert [type(event) for event in make_idle_client().receive(b"250 what\r\n")] == [mail.ProtocolViolation]


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.one_of(st.binary(max_size=40), st.sampled_from([b"220 x\r\n", b"250 x\r\n", b"354 x\r\n"])))
)
def test_no_bytes_make_the_client_raise(parts: list[bytes]) -> None:
    client = mail.ClientSession("c.example")
    for part in parts:
        client.receive(part)
        if client.phase is Phase.IDLE:
            client.send(Path("a", "b.example"), Path("x", "y.example"), b"hello\r\n")
        assert len(client._in) <= 5000


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("TO:<a@b.example>", Path("a", "b.example")),
        ("to: <a@B.Example>", Path("a", "b.example")),
        ('TO:<"a b>c"@b.example>', Path('"a b>c"', "b.example")),
        ("TO:<@relay.example,@two.example:a@b.example>", Path("a", "b.example")),
        ("TO:<a@[127.0.0.1]>", Path("a", "[127.0.0.1]")),
    ],
)
def test_paths_are_parsed(text: str, path: Path) -> None:
    assert read_path(text, "TO:", SYNTAX_ERROR)[0] == path


def test_reply_text_can_not_inject_protocol_lines() -> None:
    assert Reply(550, "5.0.0", "a\r\n250 ok").encode() == b"550 5.0.0 a??250 ok\r\n"
    with pytest.raises(InvalidReplyError):
        mail.ReplyReader().feed(b"250 a\rb")


def test_header_fields_and_trace_line() -> None:
    content = (
        b"Subject: a\r\n b\r\nX-Order-Key:  k 1 \r\nReceived: x\r\nreceived: y\r\n\r\nX-Tenant: body\r\n"
    )
    assert mail.read_header(content, "subject") == "a b"
    assert mail.read_header(content, "x-order-key") == "k 1"
    assert mail.read_header(content, "X-Tenant") is None
    assert mail.count_hops(content) == 2
    traced = mail.make_trace(content, "c", "127.0.0.1", "f", "ESMTP", "id1", "today", "<id1@f>") + content
    assert mail.read_header(traced, "Message-ID") == "<id1@f>"
    assert mail.read_header(traced, "Received") == "from c ([127.0.0.1]) by f with ESMTP id id1; today"
    untraced = b"no header here"
    traced = mail.make_trace(untraced, "c", "1", "f", "SMTP", "i", "t") + untraced
    assert mail.read_header(traced, "Received") and mail.split_content(traced)[1] == b"\r\nno header here"
    removed = b"A: 1\r\nMESSAGE-id:\r\n \r\nB: 2\r\n\r\nMessage-ID: body\r\n"
    assert mail.remove_header(removed, "Message-ID") == b"A: 1\r\nB: 2\r\n\r\nMessage-ID: body\r\n"


CHUNK = b"Subject: x\r\n\r\n.dot\r\n"


@pytest.mark.parametrize("piece", [0, 1, 6])
def test_message_is_received_in_chunks(piece: int) -> None:
    first, second = CHUNK[:9], CHUNK[9:]
    parts = b"BDAT 9\r\n" + first + b"NOOP\r\n" + b"BDAT %d LAST\r\n" % len(second) + second + b"QUIT\r\n"
    server, codes = run_session(HELLO, ENVELOPE + parts, piece=piece)
    assert codes == [250, 250, 250, 250, 250, 250, 221]
    assert server.messages()[0].content == CHUNK


CHUNK_ROWS = [
    ("no recipient", b"MAIL FROM:<>\r\nBDAT 6 LAST\r\nQUIT\r\nNOOP\r\n", [250, 250, 503, 250]),
    ("MAIL between chunks", ENVELOPE + b"BDAT 0\r\nMAIL FROM:<>\r\nRSET\r\n", [250, 250, 250, 250, 503, 250]),
    ("no size", ENVELOPE + b"BDAT x\r\nNOOP\r\n", [250, 250, 250, 501]),
    ("too large", ENVELOPE + b"BDAT 3000 LAST\r\n" + b"x" * 3000 + b"NOOP\r\n", [250, 250, 250, 552, 250]),
    ("bare LF", ENVELOPE + b"BDAT 4 LAST\r\na\nb\nNOOP\r\n", [250, 250, 250, 554, 250]),
    ("empty", ENVELOPE + b"BDAT 0 LAST\r\n", [250, 250, 250, 250]),
]


@pytest.mark.parametrize(("name", "data", "codes"), CHUNK_ROWS, ids=[row[0] for row in CHUNK_ROWS])
def test_invalid_chunks_are_rejected(name: str, data: bytes, codes: list[int]) -> None:
    for piece in (0, 1):
        server, got = run_session(HELLO, data, piece=piece)
        assert got == codes, name


def encode_plain_response(*parts: bytes) -> bytes:
    return base64.b64encode(b"\0".join(parts))


def test_auth_requires_tls_and_injected_commands_are_discarded() -> None:
    session = ServerSession("front.example", limits=LIMITS, offer_tls=True, offer_auth=True)
    session.receive(b"EHLO c\r\n")
    session.next_event()
    out = session.take_output()
    assert b"STARTTLS" in out and b"AUTH" not in out
    session.receive(b"AUTH PLAIN " + encode_plain_response(b"", b"u", b"p") + b"\r\n")
    session.next_event()
    assert session.take_output().startswith(b"538 5.7.11")
    session.receive(b"STARTTLS\r\nMAIL FROM:<evil@x>\r\n")
    assert isinstance(session.next_event(), mail.StartTls)
    assert session.take_output().startswith(b"220")
    session.on_tls_started()
    assert session.next_event() is None and session.state is State.BEFORE_HELLO
    session.receive(b"MAIL FROM:<a@b.example>\r\n")
    session.next_event()
    assert session.take_output().startswith(b"503")
    session.receive(b"EHLO c\r\n")
    session.next_event()
    out = session.take_output()
    assert b"AUTH PLAIN" in out and b"STARTTLS" not in out
    for line in (
        b"!!",
        encode_plain_response(b"u", b"p"),
        encode_plain_response(b"other", b"u", b"p"),
        encode_plain_response(b"", b"", b"p"),
        b"*",
    ):
        session.receive(b"AUTH PLAIN\r\n")
        session.next_event()
        assert session.take_output() == b"334 \r\n"
        session.receive(line + b"\r\n")
        assert isinstance(session.next_event(), mail.InputRejected)
        session._error_count = 0
        assert session.take_output().startswith(b"501")
    session.receive(b"AUTH PLAIN " + encode_plain_response(b"", b"u", b"secret") + b"\r\n")
    event = session.next_event()
    assert isinstance(event, mail.Credentials) and event.name == "u" and event.password == b"secret"
    assert "secret" not in repr(event)
    session.answer(Reply(235, "2.7.0", "welcome"))
    assert session.user == "u" and session.next_event() is None


def test_envelope_ids_are_parsed() -> None:
    server, codes = run_session(HELLO, b"MAIL FROM:<> ENVID=a+2Bb\r\nRSET\r\nMAIL FROM:<> ENVID=a=b\r\n")
    assert codes == [250, 250, 250, 501]
    assert next(e for e in server.events if isinstance(e, mail.Sender)).parameters.envelope_id == "a+2Bb"
