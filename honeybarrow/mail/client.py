"""The client side of an SMTP or LMTP session, as a state machine without I/O.

A session carries one transaction at a time, with one or several recipients. ``ClientSession.is_committed``
tells whether the end of data has been written. Before that, the server can't have accepted the message
(RFC 5321 4.1.1.4).
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, replace

from honeybarrow.mail import grammar
from honeybarrow.mail.grammar import CRLF, InvalidReplyError, Path, Reply, ReplyReader
from honeybarrow.mail.xtext import encode_xtext


class Phase(enum.Enum):
    """What a session waits for: the reply to a command, or the next transaction."""

    GREETING = "greeting"
    HELLO = "hello"
    IDLE = "idle"  # ready for the next transaction
    MAIL = "mail"
    RCPT = "rcpt"
    DATA = "data"
    FINAL = "final"  # reply to the end of data
    RESET = "reset"  # reply to RSET, after an aborted transaction
    QUIT = "quit"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Ready:
    """The server accepted the hello command; transactions may start."""

    extensions: frozenset[str]


@dataclass(frozen=True, slots=True)
class SessionRefused:
    """The server rejected the session before any transaction."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class RecipientAnswered:
    """The final reply for one recipient of the transaction.

    ``phase``: the command that the reply answers; ``index``: position in the list of recipients, from 0;
    ``is_last``: whether every recipient now has its final reply.
    """

    reply: Reply
    phase: Phase
    index: int = 0
    is_last: bool = True


@dataclass(frozen=True, slots=True)
class ResetDone:
    """The session is idle again after an aborted transaction."""


@dataclass(frozen=True, slots=True)
class ServerClosing:
    """The server closes the session between transactions."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """The server violated the protocol; the connection must be closed."""

    reason: str


Event = Ready | SessionRefused | RecipientAnswered | ResetDone | ServerClosing | ProtocolViolation

MAX_LINE_BYTES = 2048  # above the 512 bytes of RFC 5321 4.5.3.1.5, which some servers exceed


def is_closing_notice(reply: Reply, phase: Phase) -> bool:
    """Return whether a reply to the end of data only says that the server closes the connection.

    A server that shuts down sends 421 whether or not it has executed the message (RFC 5321 3.8). Only a 421
    with a retry delay is a refusal.
    """
    return phase is Phase.FINAL and reply.code == 421 and not reply.wait_ms


class ClientSession:
    """The client side of one session.

    Pass received bytes to :meth:`receive`, write the bytes that :meth:`take_output` returns, and start a
    transaction with :meth:`send` while :attr:`phase` is ``Phase.IDLE``. ``name`` is the client's domain.
    """

    def __init__(self, name: str, lmtp: bool = False) -> None:
        self.name, self.lmtp = name, lmtp
        self.phase = Phase.GREETING
        self.extensions: dict[str, str] = {}
        self.is_committed = False  # the end of data of the current transaction is written
        self.is_reusable = True
        self._in = bytearray()
        self._out = bytearray()
        self._reader = ReplyReader()
        self._uses_ehlo = True
        self._content = b""
        self._unwritten_commands: list[tuple[Phase, bytes]] = []  # non-empty only without PIPELINING
        self._expected_replies: list[Phase] = []
        self._failure: tuple[Reply, Phase] | None = None  # reply that failed all remaining recipients
        self._recipient_count = 0
        self._unanswered_recipients: list[int] = []  # indexes of recipients without a final reply
        self._rcpt_reply_count = 0  # number of replies to RCPT received
        self._accepted_recipients: list[int] = []  # indexes of accepted recipients; LMTP removes the answered

    def take_output(self) -> bytes:
        """Return and clear the bytes to write to the server."""
        out, self._out = bytes(self._out), bytearray()
        return out

    @property
    def is_open(self) -> bool:
        """Whether the session is neither closed nor quitting."""
        return self.phase not in (Phase.QUIT, Phase.CLOSED)

    @property
    def recognizes_envelope_id(self) -> bool:
        """Whether the server recognizes a repeated message by its envelope id."""
        return "XENVID" in self.extensions

    def send(
        self,
        sender: Path,
        recipient: Path,
        content: bytes,
        deliver_by_s: int | None = None,
        envelope_id: str = "",
    ) -> None:
        """Start a transaction with one recipient.

        ``deliver_by_s``: the time left in seconds, sent if the server supports DELIVERBY. Raises
        ``RuntimeError`` unless the session is idle.
        """
        self.send_many(sender, [recipient], content, deliver_by_s, envelope_id)

    def send_many(
        self,
        sender: Path,
        recipients: Sequence[Path],
        content: bytes,
        deliver_by_s: int | None = None,
        envelope_id: str = "",
    ) -> None:
        """Start a transaction with several recipients. With SMTP the accepted ones share one reply.

        ``envelope_id`` is sent as xtext (RFC 3461 4) if the server supports DSN or XENVID. Raises
        ``RuntimeError`` unless the session is idle.
        """
        if self.phase is not Phase.IDLE:
            raise RuntimeError(
                f"can't start a transaction in phase {self.phase.value!r}; the session must be idle"
            )
        mail_words = [f"MAIL FROM:<{sender}>"]
        if "SIZE" in self.extensions:
            mail_words.append(f"SIZE={len(content)}")
        if "8BITMIME" in self.extensions and not content.isascii():
            mail_words.append("BODY=8BITMIME")
        if deliver_by_s is not None and deliver_by_s > 0 and "DELIVERBY" in self.extensions:
            mail_words.append(f"BY={min(deliver_by_s, 999_999_999)};R")
        if envelope_id and ("DSN" in self.extensions or "XENVID" in self.extensions):
            mail_words.append(f"ENVID={encode_xtext(envelope_id)}")
        commands = [
            (Phase.MAIL, " ".join(mail_words).encode("ascii") + CRLF),
            *((Phase.RCPT, f"RCPT TO:<{recipient}>".encode("ascii") + CRLF) for recipient in recipients),
            (Phase.DATA, b"DATA" + CRLF),
        ]
        self._content, self.is_committed, self._failure = content, False, None
        self._recipient_count, self._rcpt_reply_count, self._accepted_recipients = len(recipients), 0, []
        self._unanswered_recipients = list(range(len(recipients)))
        group_size = len(commands) if "PIPELINING" in self.extensions else 1
        self._expected_replies, self._unwritten_commands = [], commands
        for _ in range(group_size):
            self._write_next_command()

    def quit(self) -> None:
        """Send QUIT if the session is idle."""
        if self.phase is Phase.IDLE:
            self._out += b"QUIT" + CRLF
            self.phase = Phase.QUIT

    def receive(self, data: bytes) -> list[Event]:
        """Parse bytes from the server and return the resulting events."""
        if self.phase is Phase.CLOSED:
            return []
        self._in += data
        events: list[Event] = []
        while self.is_open or self.phase is Phase.QUIT:
            line_end = self._in.find(b"\n")
            if line_end < 0 and len(self._in) <= MAX_LINE_BYTES:
                break
            if line_end < 0 or line_end > MAX_LINE_BYTES:
                events.append(self._fail_session("a reply line is too long"))
                break
            line = bytes(self._in[:line_end])
            del self._in[: line_end + 1]
            if not line.endswith(b"\r"):
                events.append(self._fail_session("a reply line ends without CR"))
                break
            try:
                reply = self._reader.feed(line[:-1])
            except InvalidReplyError as error:
                events.append(self._fail_session(str(error)))
                break
            if reply is not None:
                events += self._on_reply(reply)
        return events

    def _on_reply(self, reply: Reply) -> list[Event]:
        if self.phase is Phase.GREETING:
            if reply.code != 220:
                return [self._reject_session(reply)]
            self._out += f"{'LHLO' if self.lmtp else 'EHLO'} {self.name}".encode("ascii") + CRLF
            self.phase = Phase.HELLO
            return []
        if self.phase is Phase.HELLO:
            return self._on_hello_reply(reply)
        if self.phase is Phase.QUIT:
            self.phase = Phase.CLOSED
            return []
        if self.phase is Phase.RESET:
            if not reply.is_positive:
                self.is_reusable, self.phase = False, Phase.CLOSED
                return [ServerClosing(reply)]
            self.phase = Phase.IDLE
            return [ResetDone()]
        if self.phase is Phase.IDLE:
            # No command awaits a reply, so only an unsolicited 421 is allowed (RFC 5321 3.8).
            self.is_reusable, self.phase = False, Phase.CLOSED
            if reply.code == 421:
                return [ServerClosing(reply)]
            return [self._fail_session(f"unsolicited reply {reply.code}")]
        return self._on_transaction_reply(reply)

    def _on_hello_reply(self, reply: Reply) -> list[Event]:
        if not reply.is_positive:
            if self._uses_ehlo and not self.lmtp and reply.code in (500, 502, 504):
                self._uses_ehlo = False
                self._out += f"HELO {self.name}".encode("ascii") + CRLF
                return []
            return [self._reject_session(reply)]
        for line in reply.lines if self._uses_ehlo else ():
            word, _, rest = line.strip().partition(" ")
            self.extensions[word.upper()] = rest
        self.phase = Phase.IDLE
        return [Ready(frozenset(self.extensions))]

    def _on_transaction_reply(self, reply: Reply) -> list[Event]:
        phase = self._expected_replies.pop(0)
        if "XADVICE" not in self.extensions:
            # Without the extension, bracketed text in a reply has no defined meaning.
            reply = replace(reply, wait_ms=0, duplicate_window_ms=0, load=())
        if reply.code == 421 and phase is not Phase.FINAL:
            return self._close_session(self._failure or (reply, phase))
        if phase is Phase.FINAL:
            return self._on_final_reply(reply)
        is_accepted = reply.code == 354 if phase is Phase.DATA else 200 <= reply.code < 300
        events: list[Event] = []
        if phase is Phase.RCPT:
            events += self._on_rcpt_reply(reply, is_accepted)
        elif not is_accepted and self._failure is None:
            self._failure = (reply, phase)
        if phase is Phase.DATA and is_accepted and self._failure is None:
            self._write_content()
            return events
        return events + self._advance_transaction(reply, phase)

    def _on_rcpt_reply(self, reply: Reply, is_accepted: bool) -> list[Event]:
        """Handle the reply to the next RCPT; replies arrive in the order of the recipients."""
        index, self._rcpt_reply_count = self._rcpt_reply_count, self._rcpt_reply_count + 1
        if is_accepted and self._failure is None:
            self._accepted_recipients.append(index)
        elif self._failure is None:
            if self._rcpt_reply_count == self._recipient_count and not self._accepted_recipients:
                self._failure = (reply, Phase.RCPT)  # reported once all expected replies have arrived
            else:
                self._unanswered_recipients.remove(index)
                return [RecipientAnswered(reply, Phase.RCPT, index, False)]
        return []

    def _write_content(self) -> None:
        # From here on the server may accept the message.
        self._out += grammar.stuff_dots(self._content)
        self.is_committed = True
        self._expected_replies += [Phase.FINAL] * (len(self._accepted_recipients) if self.lmtp else 1)
        self.phase = Phase.FINAL

    def _advance_transaction(self, reply: Reply, phase: Phase) -> list[Event]:
        """Write the next command, or end a failed transaction once all expected replies have arrived."""
        if self._failure is not None:
            self._unwritten_commands.clear()
            if phase is Phase.DATA and reply.code == 354:
                # The server awaits content although it refused all recipients. Ending the data might
                # deliver an empty message, so the connection is closed instead.
                return self._close_session(self._failure)
            if not self._expected_replies:
                return self._abort_transaction(*self._failure)
        elif self._unwritten_commands and not self._expected_replies:
            self._write_next_command()
        if self._expected_replies:
            self.phase = self._expected_replies[0]
        return []

    def _on_final_reply(self, reply: Reply) -> list[Event]:
        """Handle a reply to the end of data: for one recipient with LMTP, otherwise for all accepted ones."""
        indexes = [self._accepted_recipients.pop(0)] if self.lmtp else self._accepted_recipients
        is_last_reply = not self.lmtp or not self._accepted_recipients
        events: list[Event] = [
            RecipientAnswered(reply, Phase.FINAL, index, is_last_reply and index == indexes[-1])
            for index in indexes
        ]
        if reply.code == 421 and not is_last_reply:
            events += [
                RecipientAnswered(reply, Phase.FINAL, index, index == self._accepted_recipients[-1])
                for index in self._accepted_recipients
            ]
        if reply.code == 421:
            self.is_reusable, self.phase = False, Phase.CLOSED
        elif is_last_reply:
            self.phase = Phase.IDLE
        if is_last_reply:
            self._content, self._accepted_recipients = b"", []
        return events

    def _answer_remaining(self, reply: Reply, phase: Phase) -> list[Event]:
        """Give ``reply`` to every recipient that has no final reply, and discard the content."""
        indexes, self._unanswered_recipients = self._unanswered_recipients, []
        self._accepted_recipients, self._content = [], b""
        return [RecipientAnswered(reply, phase, index, index == indexes[-1]) for index in indexes]

    def _abort_transaction(self, reply: Reply, phase: Phase) -> list[Event]:
        events = self._answer_remaining(reply, phase)
        self.phase = Phase.IDLE
        if phase in (Phase.RCPT, Phase.DATA):
            self._out += b"RSET" + CRLF
            self.phase = Phase.RESET
        return events

    def _close_session(self, failure: tuple[Reply, Phase]) -> list[Event]:
        self.is_reusable, self.phase = False, Phase.CLOSED
        return self._answer_remaining(*failure)

    def _write_next_command(self) -> None:
        phase, line = self._unwritten_commands.pop(0)
        self._out += line
        self._expected_replies.append(phase)
        self.phase = self._expected_replies[0]

    def _reject_session(self, reply: Reply) -> Event:
        self.is_reusable, self.phase = False, Phase.CLOSED
        return SessionRefused(reply)

    def _fail_session(self, reason: str) -> ProtocolViolation:
        self.is_reusable, self.phase = False, Phase.CLOSED
        return ProtocolViolation(reason)
