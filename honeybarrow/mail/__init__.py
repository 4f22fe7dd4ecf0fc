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
from honeybarrow.mail.headers import count_hops, make_trace, read_header, remove_header, split_content
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
from honeybarrow.mail.xtext import decode_xtext, encode_xtext

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
    "count_hops",
    "decode_xtext",
    "encode_xtext",
    "is_closing_notice",
    "make_trace",
    "read_address",
    "read_header",
    "remove_header",
    "sanitize",
    "split_content",
    "stuff_dots",
]
