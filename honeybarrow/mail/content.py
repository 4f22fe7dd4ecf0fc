"""The content of a message as it comes to a server: lines up to the dot, or chunks; bounded."""

from __future__ import annotations

from honeybarrow.mail.grammar import CRLF, Reply
from honeybarrow.mail.server_events import BAD_CONTENT, MESSAGE_TOO_LARGE, TEXT_LINE_TOO_LONG, SessionLimits


class ContentReader:
    """Collects one message's content. Past the limits it is dropped, and the reply for that kept."""

    def __init__(self, limits: SessionLimits) -> None:
        self.limits = limits
        self.refusal: Reply | None = None  # why the message is refused; its bytes are dropped
        self._content = bytearray()

    def __len__(self) -> int:
        """The bytes that are held."""
        return len(self._content)

    def start(self) -> None:
        """A new message begins."""
        self._content, self.refusal = bytearray(), None

    def append(self, data: bytes) -> None:
        """Add bytes of the content."""
        self._content += data
        # Danger: endless data; what is past the limit is dropped, all but the two bytes that
        # the mark of the end may begin with, so that memory stays bounded until the client ends it.
        if self.refusal is None and len(self._content) > self.limits.max_message_bytes:
            self.refusal = MESSAGE_TOO_LARGE
        if self.refusal is not None:
            del self._content[:-2]

    def read_lines(self, data: bytearray) -> bool:
        """Take lines off ``data`` up to the one with a dot alone; whether that has come.

        Only CRLF ends a line (RFC 5321 4.1.1.4).
        """
        content = self._content
        # Danger: a server that also takes LF.LF as the end reads commands out of a message (smuggling).
        end = -1
        if not content and data.startswith(b".\r\n"):
            end, take = 0, 3
        else:
            # the mark may lie across what is kept and what has come
            tail = bytes(content[-2:]) if len(content) >= 2 else bytes(content)
            joined = tail + bytes(data)
            at = joined.find(b"\r\n.\r\n")
            if at >= 0:
                end = at + 2 - len(tail)
                take = end + 3
        if end >= 0:
            if end > 0:
                self.append(bytes(data[:end]))
            del data[:take]
            return True
        max_mark_prefix = 4  # may be the start of the mark
        if len(data) > max_mark_prefix:
            self.append(bytes(data[:-max_mark_prefix]))
            del data[:-max_mark_prefix]
        return False

    def end_line(self) -> None:
        """End the last line, if it has no end: a message is lines (RFC 5322 2.1); partners get it as such."""
        if self._content and not self._content.endswith(CRLF):
            self._content += CRLF

    def finish(self, stuffed: bool) -> bytes | Reply:
        """The whole content, or the reply that refuses it.

        ``stuffed``: the dots of RFC 5321 4.5.2 are taken off.
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
    """The reply that refuses a message's content, or ``None``. ``max_line_bytes``: most bytes of a line."""
    if content.count(b"\r") != content.count(CRLF) or content.count(b"\n") != content.count(CRLF):
        return BAD_CONTENT
    if b"\0" in content:
        return BAD_CONTENT
    if len(content) > max_line_bytes and max(map(len, content.split(CRLF))) + 2 > max_line_bytes:
        return TEXT_LINE_TOO_LONG
    return None
