"""SMTP and LMTP without I/O: the grammar, and the protocol state machines of server and client.

:class:`ServerSession` is used by the mail fronts and the stand-in partners, :class:`ClientSession` by calls
to partners and the clients of rehearsals.
"""

from honeybarrow.mail.client import (
    ClientSession,
    Phase,
    ProtocolViolation,
    Ready,
    RecipientAnswered,
    ResetDone,
    ServerClosing,
    SessionRefused,
    is_closing_notice,
)
from honeybarrow.mail.grammar import (
    InvalidReplyError,
    MailParameters,
    Path,
    Reply,
    ReplyReader,
    read_address,
    sanitize,
    stuff_dots,
)
from honeybarrow.mail.headers import add_trace, count_hops, read_header, split_content
from honeybarrow.mail.server import ServerSession
from honeybarrow.mail.server_events import (
    Closed,
    Credentials,
    Hello,
    InputRejected,
    Message,
    Recipient,
    Sender,
    SessionLimits,
    StartTls,
    State,
)

__all__ = [
    "ClientSession",
    "Closed",
    "Credentials",
    "Hello",
    "InputRejected",
    "InvalidReplyError",
    "MailParameters",
    "Message",
    "Path",
    "Phase",
    "ProtocolViolation",
    "Ready",
    "Recipient",
    "RecipientAnswered",
    "Reply",
    "ReplyReader",
    "ResetDone",
    "Sender",
    "ServerClosing",
    "ServerSession",
    "SessionLimits",
    "SessionRefused",
    "StartTls",
    "State",
    "add_trace",
    "count_hops",
    "is_closing_notice",
    "read_address",
    "read_header",
    "sanitize",
    "split_content",
    "stuff_dots",
]
