"""Reception of a message's content by a server: lines up to the final dot, or chunks, within limits."""

from __future__ import annotations

from honeybarrow.mail.grammar import CRLF, Reply
from honeybarrow.mail.server_events import BAD_CONTENT, MESSAGE_TOO_LARGE, TEXT_LINE_TOO_LONG, SessionLimits


class ContentReader:
    """Collects the content of one message; content over the limits is discarded and the message refused."""

    def __init__(self, limits: SessionLimits) -> None:
        self.limits = limits
        self.refusal: Reply | None = None  # set once the message is refused; its bytes are then discarded
        self._content = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return len(self._content)

    def start(self) -> None:
        """Begin a new message."""
        self._content, self.refusal = bytearray(), None

    def append(self, data: bytes) -> None:
        """Append bytes of the content."""
        self._content += data
        # Content over the limit is discarded to bound memory, except for the last two bytes, with which
        # the end-of-data mark may begin.
        if self.refusal is None and len(self._content) > self.limits.max_message_bytes:
            self.refusal = MESSAGE_TOO_LARGE
        if self.refusal is not None:
            del self._content[:-2]

    def read_lines(self, data: bytearray) -> bool:
        """Move content from ``data`` to this reader; return whether the final dot has arrived.

        Only CRLF ends a line (RFC 5321 4.1.1.4): accepting LF.LF as the end of data would allow a message
        to smuggle in commands.
        """
        content = self._content
        end = -1
        if not content and data.startswith(b".\r\n"):
            end, consumed = 0, 3
        else:
            # The end-of-data mark may span the bytes already held and the new ones.
            tail = bytes(content[-2:]) if len(content) >= 2 else bytes(content)
            joined = tail + bytes(data)
            mark_start = joined.find(b"\r\n.\r\n")
            if mark_start >= 0:
                end = mark_start + 2 - len(tail)
                consumed = end + 3
        if end >= 0:
            if end > 0:
                self.append(bytes(data[:end]))
            del data[:consumed]
            return True
        max_mark_prefix = 4  # trailing bytes that may be the start of the end-of-data mark
        if len(data) > max_mark_prefix:
            self.append(bytes(data[:-max_mark_prefix]))
            del data[:-max_mark_prefix]
        return False

    def end_line(self) -> None:
        """Append CRLF if the last line lacks it (RFC 5322 2.1)."""
        if self._content and not self._content.endswith(CRLF):
            self._content += CRLF

    def finish(self, stuffed: bool) -> bytes | Reply:
        """Return the whole content, or the reply that refuses it.

        ``stuffed``: whether to undo dot-stuffing (RFC 5321 4.5.2).
        """
        content, self._content = bytes(self._content), bytearray()
        refusal = self.refusal or check_content(content, self.limits.max_text_line_bytes)
        if refusal is not None:
            return refusal
        if stuffed:
            content = content[1:] if content.startswith(b".") else content
            content = content.replace(b"\r\n.", CRLF)
        return content


def check_content(content: bytes, max_line_bytes: int) -> Reply | None:
    """Return the reply that refuses invalid content, or ``None``. ``max_line_bytes`` includes CRLF."""
    if content.count(b"\r") != content.count(CRLF) or content.count(b"\n") != content.count(CRLF):
        return BAD_CONTENT
    if b"\0" in content:
        return BAD_CONTENT
    if len(content) > max_line_bytes and max(map(len, content.split(CRLF))) + 2 > max_line_bytes:
        return TEXT_LINE_TOO_LONG
    return None
