"""Grammar shared by client and server: header fields (RFC 9112 5) and size limits."""

from __future__ import annotations

import re

from honeybarrow.errors import HoneybarrowError

MAX_HEAD_BYTES = 8192  # start line and header fields
MAX_FIELD_LINES = 64
MAX_BODY_BYTES = 65536  # defined by the platform's protocol

# The value includes the whitespace around it, which is stripped afterwards. Matched by the expression, a run
# of spaces could be divided in many ways, and all of them would be tried if the line is invalid.
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f\x7f]*)")
_OPTIONAL_WHITESPACE = b" \t"  # RFC 9110 5.6.3
# Fields that must not be repeated: parsers could disagree on the body length or the host (request smuggling).
SINGLETON_FIELDS = frozenset((b"content-length", b"transfer-encoding", b"host"))


class GrammarError(HoneybarrowError, ValueError):
    """The bytes violate RFC 9112 or exceed a limit."""

    code = "HB201"
    remedy = "the connection is closed; if the peer is a partner or a client, check its HTTP library"


def parse_fields(lines: list[bytes]) -> dict[bytes, bytes]:
    """Return header field values by lower-case name; repeated fields are joined with a comma.

    :raises GrammarError: if a line is invalid or folded, there are too many, or a singleton is repeated.
    """
    if len(lines) > MAX_FIELD_LINES:
        raise GrammarError("too many fields")
    fields: dict[bytes, bytes] = {}
    for line in lines:
        match = _FIELD.fullmatch(line)
        if match is None:
            raise GrammarError("not a field line")
        name, value = match[1].lower(), match[2].strip(_OPTIONAL_WHITESPACE)
        if name not in fields:
            fields[name] = value
        elif name in SINGLETON_FIELDS:
            raise GrammarError(f"{name.decode()} is given twice")
        else:
            fields[name] += b", " + value
    return fields


def parse_length(value: bytes) -> int:
    """Return the value of a ``Content-Length`` field.

    :raises GrammarError: if it is not a decimal number of at most 15 digits.
    """
    if not value.isdigit() or len(value) > 15:
        raise GrammarError("length is no number")
    return int(value)


def has_bare_line_feed(data: bytes | bytearray) -> bool:
    """Return whether a line feed is not preceded by a carriage return."""
    return data.count(b"\n") != data.count(b"\r\n")
