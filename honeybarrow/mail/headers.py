"""Access to a message's header fields (RFC 5322 2.2), and the trace line of a relay (RFC 5321 4.4)."""

from __future__ import annotations

from honeybarrow.mail.grammar import CRLF, sanitize

MAX_HEADER_BYTES = 1 << 16  # only this much of a header is searched


def split_content(content: bytes) -> tuple[bytes, bytes]:
    """Split content into the header and the rest, which begins with the empty line."""
    if content.startswith(CRLF):
        return b"", content
    header_end = content.find(b"\r\n\r\n", 0, MAX_HEADER_BYTES)
    return (content, b"") if header_end < 0 else (content[: header_end + 2], content[header_end + 2 :])


def read_header(content: bytes, name: str) -> str | None:
    """Return the unfolded value of the first field called ``name``, or ``None`` if there is none.

    Names are compared without case (RFC 5322 1.2.2). Bytes outside ASCII become question marks.
    """
    header = split_content(content)[0][:MAX_HEADER_BYTES]
    prefix = name.lower().encode("ascii") + b":"
    value: bytes | None = None
    for line in header.split(CRLF):
        if value is not None:
            if line[:1] not in (b" ", b"\t"):
                break
            value += b" " + line.strip()
        elif line[: len(prefix)].lower() == prefix:
            value = line[len(prefix) :].strip()
    return None if value is None else value.decode("ascii", "replace").replace("\ufffd", "?").strip()


def count_hops(content: bytes) -> int:
    """Return the number of Received fields, one for each relay that the message has passed (RFC 5321 6.3)."""
    header = (CRLF + split_content(content)[0][:MAX_HEADER_BYTES]).lower()
    return header.count(b"\r\nreceived:")


def remove_header(content: bytes, name: str) -> bytes:
    """Return the content without its fields called ``name``."""
    header, body = split_content(content)
    prefix = name.lower().encode("ascii") + b":"
    kept: list[bytes] = []
    is_removed = False
    for line in header.split(CRLF):
        is_continuation = line[:1] in (b" ", b"\t")
        is_removed = is_removed if is_continuation else line[: len(prefix)].lower() == prefix
        if not is_removed:
            kept.append(line)
    return CRLF.join(kept) + body


def make_trace(
    content: bytes,
    peer: str,
    address: str,
    host: str,
    protocol: str,
    trace_id: str,
    date: str,
    message_id: str = "",
) -> bytes:
    """Return the fields to put in front of content: Received (RFC 5321 4.4), and Message-ID (6.4) if given.

    ``peer`` is the name that the client gave, ``address`` its IP address, ``host`` this server's name and
    ``trace_id`` its id of the submission.
    """
    lines = (
        f"Received: from {sanitize(peer)} ([{sanitize(address)}])\r\n"
        f"\tby {host} with {protocol} id {trace_id};\r\n\t{date}\r\n"
    )
    if message_id:
        lines += f"Message-ID: {message_id}\r\n"
    # Content that does not begin with a header needs an empty line after the new fields.
    separator = b"" if not content or content.startswith(CRLF) or b":" in content.split(CRLF, 1)[0] else CRLF
    return lines.encode("ascii", "replace") + separator
