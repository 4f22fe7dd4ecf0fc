"""The client's side of an SMTP or LMTP session, without I/O: replies in, events and bytes out.

One transaction at a time: of one recipient for a call, so that it has one end of its own, or of several
for a client's batch. The session knows at each moment whether the end of data has been written: until
then the message is known not to have run at the server (RFC 5321 4.1.1.4: the end of data asks it to
take the message on).
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, replace

from honeybarrow.mail import grammar
from honeybarrow.mail.grammar import CRLF, InvalidReplyError, Path, Reply, ReplyReader


class Phase(enum.Enum):
    """What the session waits for."""

    GREETING = "greeting"
    HELLO = "hello"
    IDLE = "idle"  # ready for a transaction
    MAIL = "mail"
    RCPT = "rcpt"
    DATA = "data"
    FINAL = "final"  # the end of data is written
    RESET = "reset"  # a transaction ended early; RSET is out and no other one may start
    QUIT = "quit"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Ready:
    """Greeted and introduced; transactions may start."""

    extensions: frozenset[str]


@dataclass(frozen=True, slots=True)
class SessionRefused:
    """The server rejects the session before any transaction."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class RecipientAnswered:
    """A recipient has its reply; ``phase``: the command that it answers, ``is_last``: whether the
    transaction is over. ``index`` counts the recipients as they were given."""

    reply: Reply
    phase: Phase
    index: int = 0
    is_last: bool = True


@dataclass(frozen=True, slots=True)
class ResetDone:
    """After a transaction that ended early the session is idle again."""


@dataclass(frozen=True, slots=True)
class ServerClosing:
    """The server closes an idle session (421)."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class ProtocolBroken:
    """The server broke the protocol; the connection is of no more use."""

    reason: str


Event = Ready | SessionRefused | RecipientAnswered | ResetDone | ServerClosing | ProtocolBroken

MAX_LINE_BYTES = 2048  # a reply line has 512 bytes (RFC 5321 4.5.3.1.5); some servers write more


class ClientSession:
    """One session. Call :meth:`send` when :attr:`phase` is IDLE; bytes to write are in the output."""

    def __init__(self, name: str, lmtp: bool = False) -> None:
        self.name, self.lmtp = name, lmtp
        self.phase = Phase.GREETING
        self.extensions: dict[str, str] = {}
        self.is_committed = False  # the end of data of the present transaction is written
        self.is_reusable = True
        self._in = bytearray()
        self._out = bytearray()
        self._reader = ReplyReader()
        self._used_ehlo = True
        self._content = b""
        self._unwritten_commands: list[
            tuple[Phase, bytes]
        ] = []  # commands not yet written, without PIPELINING
        self._expected_replies: list[Phase] = []
        self._failure: tuple[Reply, Phase] | None = None  # why no recipient is left
        self._recipient_count = 0  # recipients of the transaction
        self._unanswered_recipients: list[int] = []  # their indexes, till each has its answer
        self._rcpt_reply_count = 0  # of them, how many have the reply to RCPT
        self._accepted_recipients: list[
            int
        ] = []  # of those, the accepted ones; with LMTP till each has its reply

    def take_output(self) -> bytes:
        """The bytes to write to the server, each given once."""
        out, self._out = bytes(self._out), bytearray()
        return out

    @property
    def is_open(self) -> bool:
        """Whether the session can still carry a transaction."""
        return self.phase not in (Phase.QUIT, Phase.CLOSED)

    def send(self, sender: Path, recipient: Path, content: bytes, by_s: int | None = None) -> None:
        """Start a transaction. ``by_s``: seconds left, passed on where the server knows DELIVERBY.

        Raises ``RuntimeError`` while another transaction is out.
        """
        self.send_many(sender, [recipient], content, by_s)

    def send_many(
        self,
        sender: Path,
        recipients: Sequence[Path],
        content: bytes,
        by_s: int | None = None,
        envelope_id: str = "",
    ) -> None:
        """Start a transaction of several recipients. With SMTP the accepted ones share one reply.

        ``envelope_id`` goes to servers that offer DSN or XENVID, as xtext (RFC 3461 4).
        """
        if self.phase is not Phase.IDLE:
            raise RuntimeError(f"not idle but {self.phase.value}")
        words = [f"MAIL FROM:<{sender}>"]
        if "SIZE" in self.extensions:
            words.append(f"SIZE={len(content)}")
        if "8BITMIME" in self.extensions and not content.isascii():
            words.append("BODY=8BITMIME")
        if by_s is not None and by_s > 0 and "DELIVERBY" in self.extensions:
            words.append(f"BY={min(by_s, 999_999_999)};R")
        if envelope_id and ("DSN" in self.extensions or "XENVID" in self.extensions):
            words.append(f"ENVID={encode_xtext(envelope_id)}")
        commands = [
            (Phase.MAIL, " ".join(words).encode("ascii") + CRLF),
            *((Phase.RCPT, f"RCPT TO:<{each}>".encode("ascii") + CRLF) for each in recipients),
            (Phase.DATA, b"DATA" + CRLF),
        ]
        self._content, self.is_committed, self._failure = content, False, None
        self._recipient_count, self._rcpt_reply_count, self._accepted_recipients = len(recipients), 0, []
        self._unanswered_recipients = list(range(len(recipients)))
        together = len(commands) if "PIPELINING" in self.extensions else 1
        self._expected_replies, self._unwritten_commands = [], commands
        for _ in range(together):
            self._write_next_command()

    def quit(self) -> None:
        """Write QUIT between transactions."""
        if self.phase is Phase.IDLE:
            self._out += b"QUIT" + CRLF
            self.phase = Phase.QUIT

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes from the server; what came of them."""
        if self.phase is Phase.CLOSED:
            return []
        self._in += data
        events: list[Event] = []
        while self.is_open or self.phase is Phase.QUIT:
            at = self._in.find(b"\n")
            if at < 0 and len(self._in) <= MAX_LINE_BYTES:
                break
            if at < 0 or at > MAX_LINE_BYTES:
                events.append(self._fail_session("a reply line is too long"))
                break
            line = bytes(self._in[:at])
            del self._in[: at + 1]
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
            # no command is open: a server may send 421 at any time (RFC 5321 3.8), nothing else
            self.is_reusable, self.phase = False, Phase.CLOSED
            if reply.code == 421:
                return [ServerClosing(reply)]
            return [self._fail_session(f"an unasked reply {reply.code}")]
        return self._on_transaction_reply(reply)

    def _on_hello_reply(self, reply: Reply) -> list[Event]:
        if not reply.is_positive:
            if self._used_ehlo and not self.lmtp and reply.code in (500, 502, 504):
                self._used_ehlo = False
                self._out += f"HELO {self.name}".encode("ascii") + CRLF
                return []
            return [self._reject_session(reply)]
        for line in reply.lines if self._used_ehlo else ():
            word, _, rest = line.strip().partition(" ")
            self.extensions[word.upper()] = rest
        self.phase = Phase.IDLE
        return [Ready(frozenset(self.extensions))]

    def _on_transaction_reply(self, reply: Reply) -> list[Event]:
        phase = self._expected_replies.pop(0)
        if "XADVICE" not in self.extensions:  # brackets in the text of others mean what they like
            reply = replace(reply, wait_ms=0, within_ms=0, load=())
        if reply.code == 421 and phase is not Phase.FINAL:
            return self._close_session(self._failure or (reply, phase))
        if phase is Phase.FINAL:
            return self._on_final_reply(reply)
        good = reply.code == 354 if phase is Phase.DATA else 200 <= reply.code < 300
        events: list[Event] = []
        if phase is Phase.RCPT:
            events += self._on_rcpt_reply(reply, good)
        elif not good and self._failure is None:
            self._failure = (reply, phase)
        if phase is Phase.DATA and good and self._failure is None:
            self._write_content()
            return events
        return events + self._advance_transaction(reply, phase)

    def _on_rcpt_reply(self, reply: Reply, good: bool) -> list[Event]:
        """The reply to the next RCPT, in the order of the recipients."""
        index, self._rcpt_reply_count = self._rcpt_reply_count, self._rcpt_reply_count + 1
        if good and self._failure is None:
            self._accepted_recipients.append(index)
        elif self._failure is None:
            if self._rcpt_reply_count == self._recipient_count and not self._accepted_recipients:
                self._failure = (reply, Phase.RCPT)  # given at the end, when all replies are in
            else:
                self._unanswered_recipients.remove(index)
                return [RecipientAnswered(reply, Phase.RCPT, index, False)]
        return []

    def _write_content(self) -> None:
        # Danger: from here on the server may take the message; all before is known not to run.
        self._out += grammar.stuff_dots(self._content)
        self.is_committed = True
        self._expected_replies += [Phase.FINAL] * (len(self._accepted_recipients) if self.lmtp else 1)
        self.phase = Phase.FINAL

    def _advance_transaction(self, reply: Reply, phase: Phase) -> list[Event]:
        """Write the next command, or end a transaction that has failed once all replies are in."""
        if self._failure is not None:
            self._unwritten_commands.clear()
            if phase is Phase.DATA and reply.code == 354:
                # The server takes data though it refused: an empty message might be delivered. Leave.
                return self._close_session(self._failure)
            if not self._expected_replies:
                return self._abort_transaction(*self._failure)
        elif self._unwritten_commands and not self._expected_replies:
            self._write_next_command()
        if self._expected_replies:
            self.phase = self._expected_replies[0]
        return []

    def _on_final_reply(self, reply: Reply) -> list[Event]:
        """A reply to the end of data: for one recipient with LMTP, else for all accepted ones."""
        indexes = [self._accepted_recipients.pop(0)] if self.lmtp else self._accepted_recipients
        last = not self.lmtp or not self._accepted_recipients
        events: list[Event] = [
            RecipientAnswered(reply, Phase.FINAL, index, last and index == indexes[-1]) for index in indexes
        ]
        if reply.code == 421 and not last:
            events += [
                RecipientAnswered(reply, Phase.FINAL, p, p == self._accepted_recipients[-1])
                for p in self._accepted_recipients
            ]
        if reply.code == 421:
            self.is_reusable, self.phase = False, Phase.CLOSED
        elif last:
            self.phase = Phase.IDLE
        if last:
            self._content, self._accepted_recipients = b"", []
        return events

    def _answer_remaining(self, reply: Reply, phase: Phase) -> list[Event]:
        """The answer of those that have none: a sender or DATA refused, or all recipients."""
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

    def _close_session(self, failed: tuple[Reply, Phase]) -> list[Event]:
        self.is_reusable, self.phase = False, Phase.CLOSED
        return self._answer_remaining(*failed)

    def _write_next_command(self) -> None:
        phase, line = self._unwritten_commands.pop(0)
        self._out += line
        self._expected_replies.append(phase)
        self.phase = self._expected_replies[0]

    def _reject_session(self, reply: Reply) -> Event:
        self.is_reusable, self.phase = False, Phase.CLOSED
        return SessionRefused(reply)

    def _fail_session(self, reason: str) -> ProtocolBroken:
        self.is_reusable, self.phase = False, Phase.CLOSED
        return ProtocolBroken(reason)


def encode_xtext(text: str) -> str:
    """A text as RFC 3461 4 writes it."""
    return "".join(c if "!" <= c <= "~" and c not in "+=" else f"+{ord(c):02X}" for c in text if ord(c) < 127)
