"""States, limits and events of a server's session, the replies it gives by itself, and what a state takes."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from honeybarrow.mail.grammar import MailParameters, Path, Reply


class State(enum.Enum):
    """Where a session stands."""

    BEFORE_HELLO = "fresh"  # no HELO yet
    READY = "ready"  # greeted, no transaction
    MAIL = "mail"  # a sender, no recipient yet
    RCPT = "rcpt"  # at least one recipient accepted
    DATA = "data"  # the message's content is on its way, as lines
    BETWEEN_CHUNKS = "chunks"  # some of it has come by BDAT, and more is to come
    CHUNK_DATA = "chunk"  # the bytes of a BDAT are on their way
    AUTH = "auth"  # the client's response to AUTH is awaited
    AWAITING_REPLY = "asked"  # an event waits for its reply; nothing is parsed meanwhile
    CLOSED = "closed"


# Which commands a state takes (RFC 5321 4.1.4). What isn't here is out of order: 503 5.5.1.
# NOOP, RSET, QUIT, HELP and VRFY are taken wherever commands are read.
ALWAYS_ALLOWED_COMMANDS = frozenset({"NOOP", "RSET", "QUIT", "HELP", "VRFY"})
ALLOWED_COMMANDS: dict[State, frozenset[str]] = {
    State.BEFORE_HELLO: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO"},
    State.READY: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO", "MAIL", "STARTTLS", "AUTH"},
    State.MAIL: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO", "RCPT"},
    State.RCPT: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO", "RCPT", "DATA", "BDAT"},
    State.BETWEEN_CHUNKS: frozenset({"NOOP", "RSET", "QUIT", "BDAT"}),  # RFC 3030 2
}
COMMAND_VERBS = frozenset().union(*ALLOWED_COMMANDS.values())
LAST_IN_PIPELINE = frozenset(
    {"EHLO", "HELO", "LHLO", "DATA", "AUTH"}
)  # the last command of a pipelined group (RFC 2920 3.1)

OUT_OF_ORDER = Reply(503, "5.5.1", "command out of order")
SENT_BEFORE_REPLY = Reply(503, "5.5.0", "sent before the reply it had to wait for")
TOO_MANY_ERRORS = Reply(421, "4.7.0", "too many errors, closing")
MESSAGE_TOO_LARGE = Reply(552, "5.3.4", "message exceeds the size that is taken")
TOO_MANY_RECIPIENTS = Reply(452, "4.5.3", "too many recipients")
BAD_CONTENT = Reply(554, "5.6.0", "bare CR, LF or NUL in the message")
TLS_NOT_OFFERED = Reply(502, "5.5.1", "TLS is not offered here")
TLS_ALREADY_ACTIVE = Reply(503, "5.5.1", "TLS is on already")
TLS_REQUIRED = Reply(538, "5.7.11", "AUTH needs TLS")
AUTH_NOT_OFFERED = Reply(502, "5.5.1", "AUTH is not offered here")
UNSUPPORTED_MECHANISM = Reply(504, "5.5.4", "PLAIN is the only mechanism")
MALFORMED_CREDENTIALS = Reply(501, "5.5.2", "credentials can't be read")
TEXT_LINE_TOO_LONG = Reply(554, "5.6.0", "a line of the message is too long")
FIXED_REPLIES = {
    "RSET": Reply(250, "2.0.0", "ok"),
    "NOOP": Reply(250, "2.0.0", "ok"),
    "VRFY": Reply(252, "2.5.2", "cannot verify; send and see"),
    "HELP": Reply(214, "2.0.0", "see RFC 5321"),
}


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Bounds of a session; bytes, counts. RFC 5321 4.5.3.1 gives the least that a server must accept."""

    max_command_bytes: int = 1000  # 512 of the base, and room for the parameters of extensions
    max_text_line_bytes: int = 1000
    max_message_bytes: int = 1 << 20
    max_recipients: int = 100
    max_errors: int = 10
    max_buffered_bytes: int = 1 << 18  # read but not yet parsed; a transport is paused long before


@dataclass(frozen=True, slots=True)
class Hello:
    """The client has introduced itself. Needs no reply."""

    name: str
    extended: bool


@dataclass(frozen=True, slots=True)
class Sender:
    """MAIL; waits for a reply."""

    path: Path
    parameters: MailParameters


@dataclass(frozen=True, slots=True)
class Recipient:
    """RCPT; waits for a reply."""

    path: Path


@dataclass(frozen=True, slots=True)
class StartTls:
    """The client requests TLS (RFC 3207): once the output is written, the handshake comes; then call
    :meth:`ServerSession.on_tls_started`."""


@dataclass(frozen=True, slots=True, repr=False)
class Credentials:
    """AUTH PLAIN (RFC 4616); waits for a reply. Has no repr: a password must not get into a log."""

    name: str
    password: bytes


@dataclass(frozen=True, slots=True)
class Message:
    """The whole message; waits for its replies: one, or with LMTP one for each recipient."""

    sender: Path
    parameters: MailParameters
    recipients: tuple[Path, ...]
    content: bytes


@dataclass(frozen=True, slots=True)
class InputRejected:
    """Bad input was rejected by the session itself. For the log; needs no reply."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Closed:
    """The session is over; close the connection once the output is written."""


Event = Hello | Sender | Recipient | Message | StartTls | Credentials | InputRejected | Closed
