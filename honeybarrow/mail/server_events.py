"""States, events and limits of a server session, the commands allowed in each state, and fixed replies."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from honeybarrow.mail.grammar import MailParameters, Path, Reply


class State(enum.Enum):
    """The state of a server session."""

    BEFORE_HELLO = "fresh"
    READY = "ready"  # after the hello command, without a transaction
    MAIL = "mail"  # sender accepted, no recipient yet
    RCPT = "rcpt"  # at least one recipient accepted
    DATA = "data"  # receiving content lines after DATA
    BETWEEN_CHUNKS = "chunks"  # a chunk that was not the last is complete
    CHUNK_DATA = "chunk"  # receiving the bytes of a BDAT
    AUTH = "auth"  # awaiting the client's response to AUTH
    AWAITING_REPLY = "asked"  # an event waits for its reply; no input is parsed
    CLOSED = "closed"


# Commands by state (RFC 5321 4.1.4). Others are out of order and answered with 503 5.5.1.
ALWAYS_ALLOWED_COMMANDS = frozenset({"NOOP", "RSET", "QUIT", "HELP", "VRFY"})
ALLOWED_COMMANDS: dict[State, frozenset[str]] = {
    State.BEFORE_HELLO: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO"},
    State.READY: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO", "MAIL", "STARTTLS", "AUTH"},
    State.MAIL: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO", "RCPT"},
    State.RCPT: ALWAYS_ALLOWED_COMMANDS | {"HELO", "EHLO", "LHLO", "RCPT", "DATA", "BDAT"},
    State.BETWEEN_CHUNKS: frozenset({"NOOP", "RSET", "QUIT", "BDAT"}),  # RFC 3030 2
}
COMMAND_VERBS = frozenset().union(*ALLOWED_COMMANDS.values())
# Commands that must end a pipelined group (RFC 2920 3.1).
LAST_IN_PIPELINE = frozenset({"EHLO", "HELO", "LHLO", "DATA", "AUTH"})

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
    """Limits of a session. RFC 5321 4.5.3.1 gives the minimum that a server must accept."""

    max_command_bytes: int = 1000  # 512 of RFC 5321, and space for the parameters of extensions
    max_text_line_bytes: int = 1000
    max_message_bytes: int = 1 << 20
    max_recipients: int = 100
    max_errors: int = 10
    max_buffered_bytes: int = 1 << 18  # received but not yet parsed


@dataclass(frozen=True, slots=True)
class Hello:
    """The client sent HELO, EHLO or LHLO. Needs no reply.

    ``extended``: whether the command was EHLO or LHLO.
    """

    name: str
    extended: bool


@dataclass(frozen=True, slots=True)
class Sender:
    """The client sent MAIL. Needs one reply."""

    path: Path
    parameters: MailParameters


@dataclass(frozen=True, slots=True)
class Recipient:
    """The client sent RCPT. Needs one reply."""

    path: Path


@dataclass(frozen=True, slots=True)
class StartTls:
    """The client requests TLS (RFC 3207).

    Write the output, call :meth:`ServerSession.on_tls_started`, and start the handshake.
    """


@dataclass(frozen=True, slots=True, repr=False)
class Credentials:
    """The client sent AUTH PLAIN (RFC 4616). Needs one reply.

    Has no generated repr, so that the password can't appear in a log.
    """

    name: str
    password: bytes


@dataclass(frozen=True, slots=True)
class Message:
    """The client sent a complete message. Needs one reply, or with LMTP one for each recipient."""

    sender: Path
    parameters: MailParameters
    recipients: tuple[Path, ...]
    content: bytes


@dataclass(frozen=True, slots=True)
class InputRejected:
    """The session rejected invalid input with ``reply`` by itself. Needs no reply."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Closed:
    """The session has ended. Close the connection once the output is written."""


Event = Hello | Sender | Recipient | Message | StartTls | Credentials | InputRejected | Closed
