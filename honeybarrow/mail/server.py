"""The server side of an SMTP or LMTP session, as a state machine without I/O.

Pass received bytes to :meth:`ServerSession.receive`, then call :meth:`ServerSession.next_event` until it
returns ``None``. Reply to events that need it with :meth:`ServerSession.answer`, and write the bytes that
:meth:`ServerSession.take_output` returns.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from honeybarrow.mail import grammar
from honeybarrow.mail.content import ContentReader
from honeybarrow.mail.grammar import CRLF, GrammarError, MailParameters, Path, Reply
from honeybarrow.mail.server_buffers import SessionBuffers
from honeybarrow.mail.server_commands import (
    list_extensions,
    read_chunk,
    read_credentials,
    read_recipient,
    read_sender,
)
from honeybarrow.mail.server_events import (
    ALLOWED_COMMANDS,
    AUTH_NOT_OFFERED,
    COMMAND_VERBS,
    FIXED_REPLIES,
    LAST_IN_PIPELINE,
    MALFORMED_CREDENTIALS,
    OUT_OF_ORDER,
    SENT_BEFORE_REPLY,
    TLS_ALREADY_ACTIVE,
    TLS_NOT_OFFERED,
    TLS_REQUIRED,
    TOO_MANY_RECIPIENTS,
    UNSUPPORTED_MECHANISM,
    Closed,
    Credentials,
    Event,
    Hello,
    InputRejected,
    Message,
    Recipient,
    Sender,
    SessionLimits,
    StartTls,
    State,
)


@dataclass(slots=True)
class _Transaction:
    sender: Path
    parameters: MailParameters
    recipients: list[Path] = field(default_factory=list)


class ServerSession(SessionBuffers):
    """The server side of one session.

    ``name`` is the server's own domain; ``lmtp`` selects LMTP (RFC 2033) instead of SMTP.
    """

    def __init__(
        self,
        name: str,
        lmtp: bool = False,
        limits: SessionLimits | None = None,
        offer_tls: bool = False,
        offer_auth: bool = False,
    ) -> None:
        super().__init__(name, lmtp, limits or SessionLimits())
        self.offer_tls, self.offer_auth, self.tls = offer_tls, offer_auth, False
        self.user = ""  # account name, once authenticated with AUTH
        self.peer_name = ""
        self._is_skipping_line = False  # discarding the rest of an overlong command line
        self._transaction: _Transaction | None = None
        self._pending_event: Sender | Recipient | Message | Credentials | None = None
        self._state_before_chunk = State.BEFORE_HELLO
        self._chunk_bytes_left, self._is_last_chunk = 0, False
        self._chunk_refusal: Reply | None = None  # reply to a BDAT out of order, whose bytes are discarded
        self._replies_due = 0  # replies that the pending event still needs
        self._content = ContentReader(self.limits)
        self._is_closed_reported = False

    @property
    def is_in_content(self) -> bool:
        """Whether the client is sending the content of a message."""
        return self.state in (State.DATA, State.CHUNK_DATA)

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction is open: its sender was accepted and its message has no final reply."""
        return self._transaction is not None

    @property
    def awaits_result(self) -> bool:
        """Whether a complete message has not all its final replies."""
        return isinstance(self._pending_event, Message)

    def next_event(self) -> Event | None:
        """Return the next event, or ``None`` if more bytes or a reply are needed."""
        while self.state is not State.AWAITING_REPLY:
            if self.state is State.CLOSED:
                if self._is_closed_reported:
                    return None
                self._is_closed_reported = True
                return Closed()
            if self.state is State.DATA:
                event = self._read_content_event()
            elif self.state is State.CHUNK_DATA:
                event = self._read_chunk_event()
            else:
                event = self._read_command_event()
            if event is None:
                return None
            if not isinstance(event, _NoEvent):
                return event
        return None

    def _read_command_event(self) -> Event | _NoEvent | None:
        line_end = self._in.find(CRLF)
        if self._is_skipping_line:
            return self._skip_line(line_end)
        if line_end > self.limits.max_command_bytes or (
            line_end < 0 and len(self._in) > self.limits.max_command_bytes
        ):
            self._is_skipping_line = True
            return NO_EVENT
        if line_end < 0:
            return None
        line = bytes(self._in[:line_end])
        del self._in[: line_end + 2]
        if self.state is State.AUTH:
            self.state = State.READY
            return self._on_credentials(line)
        try:
            return self._handle_command(grammar.read_command(line))
        except GrammarError as error:
            return self._reject_input(error.reply)

    def _skip_line(self, line_end: int) -> Event | None:
        """Discard the rest of an overlong command line. ``line_end`` is negative until its end arrives."""
        if line_end < 0:
            del self._in[:-1]
            return None
        del self._in[: line_end + 2]
        self._is_skipping_line = False
        return self._reject_input(grammar.COMMAND_LINE_TOO_LONG)

    def _handle_command(self, command: grammar.Command) -> Event | _NoEvent | None:
        if command.verb == "BDAT":
            return self._on_bdat(command.rest)
        if command.verb not in COMMAND_VERBS:
            raise GrammarError(grammar.UNKNOWN_COMMAND)
        if command.verb not in ALLOWED_COMMANDS[self.state]:
            raise GrammarError(OUT_OF_ORDER)
        if command.verb in LAST_IN_PIPELINE and self._in:
            # A client must wait for the reply to these commands (RFC 2920 3.1). Interpreting bytes that
            # it sent before would allow command injection.
            self._write_reply(SENT_BEFORE_REPLY)
            self.state = State.CLOSED
            return InputRejected(SENT_BEFORE_REPLY)
        return self._run_command(command)

    def _run_command(self, command: grammar.Command) -> Event | _NoEvent:
        verb, rest = command.verb, command.rest
        match verb:
            case "HELO" | "EHLO" | "LHLO":
                return self._on_hello(verb, rest)
            case "MAIL":
                return self._await_reply(read_sender(rest, self.extended, self.limits.max_message_bytes))
            case "RCPT":
                return self._on_rcpt(rest)
            case "DATA":
                return self._on_data(rest)
            case "STARTTLS":
                return self._on_starttls(rest)
            case "AUTH":
                return self._on_auth(rest)
            case "QUIT":
                self._write_reply(Reply(221, "2.0.0", f"{self.name} closing"))
                self.state = State.CLOSED
            case _:
                if verb == "RSET":
                    self._reset()
                self._write_reply(FIXED_REPLIES[verb])
        return NO_EVENT

    def _on_rcpt(self, rest: str) -> Event:
        recipient = read_recipient(rest)
        assert self._transaction is not None
        if len(self._transaction.recipients) >= self.limits.max_recipients:
            self._write_reply(TOO_MANY_RECIPIENTS)
            return InputRejected(TOO_MANY_RECIPIENTS)
        return self._await_reply(recipient)

    def _on_data(self, rest: str) -> _NoEvent:
        if rest:
            raise GrammarError(grammar.SYNTAX_ERROR)
        self._write_reply(Reply(354, "", "go ahead, end with a dot alone"))
        self.state = State.DATA
        self._content.start()
        return NO_EVENT

    def _on_hello(self, verb: str, name: str) -> Event:
        if (verb == "LHLO") != self.lmtp:
            raise GrammarError(Reply(500, "5.5.1", "LHLO here" if self.lmtp else "this is not LMTP"))
        if not name or " " in name:
            raise GrammarError(grammar.SYNTAX_ERROR)
        self._reset()
        self.peer_name, self.extended = grammar.sanitize(name), verb != "HELO"
        self.state = State.READY
        if not self.extended:
            self._write_reply(Reply(250, "", self.name))
        else:
            offers_auth = self.offer_auth and self.tls and not self.user
            extensions = list_extensions(
                self.limits.max_message_bytes, self.offer_tls and not self.tls, offers_auth
            )
            self._write_reply(Reply(250, "", self.name, lines=extensions))
        return Hello(self.peer_name, self.extended)

    def _on_starttls(self, rest: str) -> Event:
        if rest:
            raise GrammarError(grammar.SYNTAX_ERROR)
        if not self.offer_tls or self.tls:
            raise GrammarError(TLS_ALREADY_ACTIVE if self.tls else TLS_NOT_OFFERED)
        # Plaintext after STARTTLS is discarded: an attacker could otherwise inject commands that appear to
        # have been sent under TLS (RFC 3207 5, CVE-2011-0411).
        self._in.clear()
        self._write_reply(Reply(220, "2.0.0", "go ahead"))
        self.state = State.BEFORE_HELLO
        return StartTls()

    def on_tls_started(self) -> None:
        """Reset the session for TLS, discarding all knowledge of the client (RFC 3207 4.2)."""
        self.tls, self.state = True, State.BEFORE_HELLO
        self.peer_name, self.extended, self.user = "", False, ""
        self._transaction = None
        self._in.clear()

    def _on_auth(self, rest: str) -> Event | _NoEvent:
        if not self.offer_auth or self.user:
            raise GrammarError(OUT_OF_ORDER if self.user else AUTH_NOT_OFFERED)
        if not self.tls:
            raise GrammarError(TLS_REQUIRED)
        mechanism, _, initial = rest.partition(" ")
        if mechanism.upper() != "PLAIN":
            raise GrammarError(UNSUPPORTED_MECHANISM)
        if initial:
            return self._on_credentials(initial.encode("ascii"))
        self._out += b"334 " + CRLF
        self.state = State.AUTH
        return NO_EVENT

    def _on_credentials(self, line: bytes) -> Event:
        credentials = read_credentials(line)
        return (
            self._reject_input(MALFORMED_CREDENTIALS)
            if credentials is None
            else self._await_reply(credentials)
        )

    def _on_bdat(self, rest: str) -> Event | _NoEvent:
        """Handle BDAT (RFC 3030 2). Its bytes follow at once, so those of a refused BDAT are read as well."""
        chunk = read_chunk(rest)
        if chunk is None:
            # The end of the chunk is unknown, so the following bytes can't be parsed as commands.
            self._write_reply(grammar.SYNTAX_ERROR)
            self.state = State.CLOSED
            return InputRejected(grammar.SYNTAX_ERROR)
        self._chunk_refusal = None if "BDAT" in ALLOWED_COMMANDS[self.state] else OUT_OF_ORDER
        if self._chunk_refusal is None and self.state is State.RCPT:
            self._content.start()
        self._state_before_chunk = self.state
        self._chunk_bytes_left, self._is_last_chunk, self.state = chunk.size, chunk.is_last, State.CHUNK_DATA
        return NO_EVENT

    def _read_chunk_event(self) -> Event | _NoEvent | None:
        data = bytes(self._in[: self._chunk_bytes_left])
        del self._in[: self._chunk_bytes_left]
        self._chunk_bytes_left -= len(data)
        if self._chunk_refusal is None:
            self._content.append(data)
        if self._chunk_bytes_left:
            return None
        if self._chunk_refusal is not None:
            self.state = self._state_before_chunk
            return self._reject_input(self._chunk_refusal)
        if not self._is_last_chunk:
            self.state = State.BETWEEN_CHUNKS
            self._write_reply(self._content.refusal or Reply(250, "2.0.0", "go on"))
            return NO_EVENT
        self._content.end_line()
        return self._on_content_complete(stuffed=False)

    def _read_content_event(self) -> Event | _NoEvent | None:
        return self._on_content_complete(stuffed=True) if self._content.read_lines(self._in) else None

    def _on_content_complete(self, stuffed: bool) -> Event:
        assert self._transaction is not None
        transaction = self._transaction
        content = self._content.finish(stuffed)
        if isinstance(content, Reply):
            for _ in transaction.recipients if self.lmtp else (None,):
                self._write_reply(content)
            self._reset()
            self._error_count += 1
            return InputRejected(content)
        event = Message(transaction.sender, transaction.parameters, tuple(transaction.recipients), content)
        return self._await_reply(event)

    def answer(self, *replies: Reply) -> None:
        """Reply to the pending event.

        An LMTP message takes one reply for each recipient, in order (RFC 2033 4.2). They may be given in
        several calls and are written at once. Raises ``RuntimeError`` for more replies than are due.
        """
        if self.state is State.CLOSED:
            return
        event = self._pending_event
        if event is None or len(replies) > self._replies_due:
            raise RuntimeError(f"{len(replies)} replies given, but {self._replies_due} are due")
        self._replies_due -= len(replies)
        for reply in replies:
            self._write_reply(reply)
        if self._replies_due:
            return
        self._pending_event = None
        if isinstance(event, Sender):
            is_accepted = replies[0].is_positive
            self._transaction = _Transaction(event.path, event.parameters) if is_accepted else None
            self.state = State.MAIL if is_accepted else State.READY
        elif isinstance(event, Recipient):
            assert self._transaction is not None
            if replies[0].is_positive:
                self._transaction.recipients.append(event.path)
            self.state = State.RCPT if self._transaction.recipients else State.MAIL
        elif isinstance(event, Credentials):
            self.user = event.name if replies[0].is_positive else ""
            self._error_count += not replies[0].is_positive
            self.state = State.READY
        else:
            self._end_message()
        if replies[-1].code == 421:
            self.state = State.CLOSED

    def _end_message(self) -> None:
        """End the transaction of a message that has its replies, and the session if that was due."""
        self._reset()
        if self._closing_reply is not None:
            self.refuse(self._closing_reply)

    def _await_reply(self, event: Sender | Recipient | Message | Credentials) -> Event:
        self._pending_event, self.state = event, State.AWAITING_REPLY
        self._replies_due = len(event.recipients) if self.lmtp and isinstance(event, Message) else 1
        return event

    def _reset(self) -> None:
        self._transaction = None
        if self.state is not State.BEFORE_HELLO:
            self.state = State.READY


class _NoEvent:
    """The result of input that was processed without an event."""


NO_EVENT = _NoEvent()
