"""The client's side of an SMTP or LMTP session, without I/O: replies in, events and bytes out.

One transaction at a time, one recipient each, so that each call has one end of its own. The session
knows at each moment whether the end of data has been written: until then the message is known not to
have run at the server (RFC 5321 4.1.1.4: the end of data asks it to take the message on).
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from honeybarrow.mail import grammar
from honeybarrow.mail.grammar import CRLF, BadReply, Path, Reply, ReplyReader


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
class Refused:
    """The server turns the session away before any transaction."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Answered:
    """The transaction has its reply. ``phase`` tells which command it answers."""

    reply: Reply
    phase: Phase


@dataclass(frozen=True, slots=True)
class Cleared:
    """After a transaction that ended early the session is idle again."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The server closes a session in which nothing was asked (421)."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Broken:
    """The server broke the protocol; the connection is of no more use."""

    reason: str


Event = Ready | Refused | Answered | Cleared | Leaving | Broken

LINE_LIMIT = 2048  # a reply line has 512 octets (RFC 5321 4.5.3.1.5); some servers write more


class ClientSession:
    """One session. Call :meth:`send` when :attr:`phase` is IDLE; bytes to write are in the output."""

    def __init__(self, name: str, lmtp: bool = False) -> None:
        self.name, self.lmtp = name, lmtp
        self.phase = Phase.GREETING
        self.extensions: dict[str, str] = {}
        self.committed = False  # the end of data of the present transaction is written
        self.reusable = True
        self._in = bytearray()
        self._out = bytearray()
        self._reader = ReplyReader()
        self._extended = True
        self._content = b""
        self._later: list[tuple[Phase, bytes]] = []  # commands not yet written, without PIPELINING
        self._expected: list[Phase] = []
        self._failed: tuple[Reply, Phase] | None = None

    def take_output(self) -> bytes:
        out, self._out = bytes(self._out), bytearray()
        return out

    @property
    def open(self) -> bool:
        return self.phase not in (Phase.QUIT, Phase.CLOSED)

    def send(self, sender: Path, recipient: Path, content: bytes, by_s: int | None = None) -> None:
        """Start a transaction. ``by_s``: seconds left, passed on where the server knows DELIVERBY.

        Raises ``RuntimeError`` while another transaction is out, and ``ValueError`` for content that
        the server's stated size does not allow.
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
        commands = [
            (Phase.MAIL, " ".join(words).encode("ascii") + CRLF),
            (Phase.RCPT, f"RCPT TO:<{recipient}>".encode("ascii") + CRLF),
            (Phase.DATA, b"DATA" + CRLF),
        ]
        self._content, self.committed, self._failed = content, False, None
        together = len(commands) if "PIPELINING" in self.extensions else 1
        self._expected, self._later = [], commands
        for _ in range(together):
            self._write_next()

    def quit(self) -> None:
        """Say goodbye between transactions."""
        if self.phase is Phase.IDLE:
            self._out += b"QUIT" + CRLF
            self.phase = Phase.QUIT

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes from the server; what came of them."""
        if self.phase is Phase.CLOSED:
            return []
        self._in += data
        events: list[Event] = []
        while self.open or self.phase is Phase.QUIT:
            at = self._in.find(b"\n")
            if at < 0 and len(self._in) <= LINE_LIMIT:
                break
            if at < 0 or at > LINE_LIMIT:
                events.append(self._break("a reply line is too long"))
                break
            line = bytes(self._in[:at])
            del self._in[: at + 1]
            if not line.endswith(b"\r"):
                events.append(self._break("a reply line ends without CR"))
                break
            try:
                reply = self._reader.feed(line[:-1])
            except BadReply as error:
                events.append(self._break(str(error)))
                break
            if reply is not None and (event := self._replied(reply)) is not None:
                events.append(event)
        return events

    def _replied(self, reply: Reply) -> Event | None:
        if self.phase is Phase.GREETING:
            if reply.code != 220:
                return self._refuse(reply)
            self._out += f"{'LHLO' if self.lmtp else 'EHLO'} {self.name}".encode("ascii") + CRLF
            self.phase = Phase.HELLO
            return None
        if self.phase is Phase.HELLO:
            return self._hello(reply)
        if self.phase is Phase.QUIT:
            self.phase = Phase.CLOSED
            return None
        if self.phase is Phase.RESET:
            if not reply.positive:
                self.reusable, self.phase = False, Phase.CLOSED
                return Leaving(reply)
            self.phase = Phase.IDLE
            return Cleared()
        if self.phase is Phase.IDLE:
            # nothing was asked: a server may say 421 at any time (RFC 5321 3.8); all else is out of step
            self.reusable, self.phase = False, Phase.CLOSED
            if reply.code == 421:
                return Leaving(reply)
            return self._break(f"an unasked reply {reply.code}")
        return self._transacted(reply)

    def _hello(self, reply: Reply) -> Event | None:
        if not reply.positive:
            if self._extended and not self.lmtp and reply.code in (500, 502, 504):
                self._extended = False
                self._out += f"HELO {self.name}".encode("ascii") + CRLF
                return None
            return self._refuse(reply)
        for line in reply.lines if self._extended else ():
            word, _, rest = line.strip().partition(" ")
            self.extensions[word.upper()] = rest
        self.phase = Phase.IDLE
        return Ready(frozenset(self.extensions))

    def _transacted(self, reply: Reply) -> Event | None:
        phase = self._expected.pop(0)
        if "XADVICE" not in self.extensions:  # brackets in the text of others mean what they like
            reply = replace(reply, wait_ms=0, within_ms=0, load=())
        if reply.code == 421 and phase is not Phase.FINAL:
            self.reusable, self.phase = False, Phase.CLOSED
            return Answered(reply, phase) if self._failed is None else Answered(*self._failed)
        if phase is Phase.FINAL:
            return self._finish(reply, phase)
        good = reply.code == 354 if phase is Phase.DATA else 200 <= reply.code < 300
        if good and self._failed is None:
            if phase is Phase.DATA:
                # Danger: from here on the server may take the message; all before is known not to run.
                self._out += grammar.quote_dots(self._content)
                self.committed = True
                self._expected.append(Phase.FINAL)
                self.phase = Phase.FINAL
            elif self._later:
                self._write_next()
            else:
                self.phase = self._expected[0]
            return None
        if self._failed is None:
            self._failed = (reply, phase)
            self._later.clear()
        elif phase is Phase.DATA and reply.code == 354:
            # The server takes data though it refused: an empty message might be delivered. Leave.
            self.reusable, self.phase = False, Phase.CLOSED
            return Answered(*self._failed)
        if self._expected:
            return None
        return self._finish(*self._failed)

    def _finish(self, reply: Reply, phase: Phase) -> Event:
        self._content = b""
        if reply.code == 421:
            self.reusable, self.phase = False, Phase.CLOSED
            return Answered(reply, phase)
        self.phase = Phase.IDLE
        if phase in (Phase.RCPT, Phase.DATA):
            self._out += b"RSET" + CRLF
            self.phase = Phase.RESET
        return Answered(reply, phase)

    def _write_next(self) -> None:
        phase, line = self._later.pop(0)
        self._out += line
        self._expected.append(phase)
        self.phase = self._expected[0]

    def _refuse(self, reply: Reply) -> Event:
        self.reusable, self.phase = False, Phase.CLOSED
        return Refused(reply)

    def _break(self, reason: str) -> Broken:
        self.reusable, self.phase = False, Phase.CLOSED
        return Broken(reason)
