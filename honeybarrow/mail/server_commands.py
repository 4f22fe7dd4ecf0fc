"""Parsing of the parameters of commands by a server, and the extensions that it offers."""

from __future__ import annotations

import base64
from dataclasses import dataclass

from honeybarrow.mail import grammar
from honeybarrow.mail.grammar import GrammarError, Reply
from honeybarrow.mail.server_events import MESSAGE_TOO_LARGE, Credentials, Recipient, Sender


@dataclass(frozen=True, slots=True)
class Chunk:
    """The parameters of BDAT: the size of the chunk in bytes, and whether it is the last of the message."""

    size: int
    is_last: bool


def read_sender(rest: str, extended: bool, max_message_bytes: int) -> Sender:
    """Parse the parameters of MAIL (RFC 5321 4.1.1.2). Raises :class:`GrammarError`.

    ``extended``: whether the client sent EHLO or LHLO, which allows ESMTP parameters.
    """
    path, parameter_text = grammar.read_path(rest, "FROM:", grammar.INVALID_SENDER_ADDRESS)
    parameters = grammar.read_mail_parameters(parameter_text)
    if parameter_text and not extended:
        raise GrammarError(Reply(555, "5.5.4", "parameters need EHLO"))
    if parameters.size_bytes > max_message_bytes:
        raise GrammarError(MESSAGE_TOO_LARGE)
    return Sender(path, parameters)


def read_recipient(rest: str) -> Recipient:
    """Parse the parameters of RCPT (RFC 5321 4.1.1.3). Raises :class:`GrammarError`."""
    path, parameter_text = grammar.read_path(rest, "TO:", grammar.INVALID_RECIPIENT_ADDRESS)
    if parameter_text:
        raise GrammarError(Reply(555, "5.5.4", "parameter not implemented"))
    if not path.domain:
        raise GrammarError(grammar.INVALID_RECIPIENT_ADDRESS)
    return Recipient(path)


def read_chunk(rest: str) -> Chunk | None:
    """Parse the parameters of BDAT (RFC 3030 2); return ``None`` if they are invalid."""
    size, _, last = rest.partition(" ")
    if not size.isdigit() or len(size) > 12 or last.upper() not in ("", "LAST"):
        return None
    return Chunk(int(size), last != "")


def read_credentials(line: bytes) -> Credentials | None:
    """Parse a base64 PLAIN response (RFC 4616 2); return ``None`` if it is invalid.

    The response holds the authorization identity, the name and the password, separated by NUL.
    """
    try:
        parts = base64.b64decode(line, validate=True).split(b"\0")
        if len(parts) != 3 or not parts[1] or parts[0] not in (b"", parts[1]):
            return None
        return Credentials(parts[1].decode("utf-8"), parts[2])
    except ValueError:
        return None


def list_extensions(max_message_bytes: int, offers_tls: bool, offers_auth: bool) -> tuple[str, ...]:
    """Return the extension lines of the reply to EHLO or LHLO, in the order in which they are sent."""
    extensions = ["PIPELINING", f"SIZE {max_message_bytes}", "8BITMIME", "ENHANCEDSTATUSCODES", "DELIVERBY"]
    extensions += ["CHUNKING", "XADVICE", "XENVID"]
    if offers_tls:
        extensions.append("STARTTLS")
    if offers_auth:
        extensions.append("AUTH PLAIN")
    return tuple(extensions)
