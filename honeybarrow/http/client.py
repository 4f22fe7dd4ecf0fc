"""Client side of HTTP/1.1: encoding of requests and parsing of responses."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

from honeybarrow.http.grammar import (
    MAX_HEAD_BYTES,
    GrammarError,
    has_bare_line_feed,
    parse_fields,
    parse_length,
)

MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
MIN_FINAL_STATUS = 200  # those below are interim
MAX_CHUNK_LINE_BYTES = 256  # chunk size and extensions
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\r\n]*)?")
# Within a head it shows that the head was cut off and another response follows.
_STATUS_LINE_START = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
_STATUSES_WITHOUT_BODY = (204, 304)
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


@dataclass(frozen=True, slots=True)
class Head:
    """Status and header fields of a response; field names are lower case."""

    status: int
    fields: dict[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Data:
    """A part of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """End of a response; ``is_reusable`` means that the connection can carry another request."""

    is_reusable: bool


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """Invalid response; ``status`` is set if at least its status line was valid."""

    status: int | None
    reason: str


Event = Head | Data | Complete | InvalidResponse


class _Part(enum.Enum):
    """Part of a response that the reader expects next."""

    HEAD = "head"
    LENGTH = "length"  # a body with Content-Length
    CHUNK_LINE = "chunk line"
    CHUNK = "chunk"
    CHUNK_END = "chunk end"
    TRAILER = "trailer"
    CLOSE = "close"  # a body that ends when the connection closes
    DONE = "done"
    BROKEN = "broken"


class ResponseReader:
    """Incremental parser of a single response.

    ``max_body_bytes`` limits the size of the body; ``None`` allows an endless stream.
    """

    def __init__(self, max_body_bytes: int | None = None) -> None:
        self._buffer = bytearray()
        self._part = _Part.HEAD
        self._bytes_left = 0
        self._body_bytes = 0
        self._interim_count = 0
        self._max_body_bytes = max_body_bytes
        self._is_reusable = True
        self.status: int | None = None  # set once the status line of the final response is complete
        self.has_started = False
        self.rejected = b""  # the bytes at which an invalid response was given up

    @property
    def announced_status(self) -> int | None:
        """Status of the final response, as soon as its three digits have arrived."""
        if self.status is not None or self._part is not _Part.HEAD:
            return self.status
        match = _STATUS_LINE_START.match(self._buffer)
        status = int(match[0][-3:]) if match is not None else None
        return status if status is not None and status >= MIN_FINAL_STATUS else None

    @property
    def is_done(self) -> bool:
        """Whether the response is complete or invalid."""
        return self._part in (_Part.DONE, _Part.BROKEN)

    @property
    def has_surplus(self) -> bool:
        """Whether bytes follow the response."""
        return bool(self._buffer)

    def take_surplus(self) -> bytes:
        """Return and remove the bytes that follow the response."""
        surplus = bytes(self._buffer)
        self._buffer.clear()
        return surplus

    def receive(self, data: bytes) -> list[Event]:
        """Parse received bytes; return the events that they complete."""
        self.has_started = True
        self._buffer += data
        events: list[Event] = []
        try:
            while not self.is_done and self._step(events):
                pass
        except GrammarError as error:
            events.append(self._fail(str(error)))
        return events

    def on_connection_closed(self) -> list[Event]:
        """Return the final events after the peer closed the connection.

        A close ends a body without a length; any other incomplete response is invalid.
        """
        if self._part is _Part.CLOSE:
            self._part = _Part.DONE
            return [Complete(False)]
        return [] if self.is_done else [self._fail("connection closed before the end of the response")]

    def _fail(self, reason: str) -> InvalidResponse:
        self._part = _Part.BROKEN
        self.rejected = bytes(self._buffer)
        self._buffer.clear()
        return InvalidResponse(self.status, reason)

    def _finish(self, events: list[Event]) -> bool:
        self._part = _Part.DONE
        # Surplus bytes would be taken for the response to the next request.
        events.append(Complete(self._is_reusable and not self._buffer))
        return False

    def _count_body(self, size: int) -> None:
        self._body_bytes += size
        if self._max_body_bytes is not None and self._body_bytes > self._max_body_bytes:
            raise GrammarError("body too long")

    def _step(self, events: list[Event]) -> bool:
        """Parse the expected part; return whether parsing can continue with the next part.

        :raises GrammarError: if the part is invalid or exceeds a limit.
        """
        match self._part:
            case _Part.HEAD:
                return self._read_head(events)
            case _Part.LENGTH | _Part.CHUNK:
                return self._read_counted(events)
            case _Part.CHUNK_LINE:
                return self._read_chunk_line()
            case _Part.CHUNK_END:
                return self._read_chunk_end()
            case _Part.TRAILER:
                return self._read_trailer(events)
            case _Part.CLOSE:
                return self._read_to_close(events)
        return False

    def _read_counted(self, events: list[Event]) -> bool:
        """Read a body of known length, or a chunk (RFC 9112 6.2, 7.1)."""
        buffer = self._buffer
        part = bytes(buffer[: self._bytes_left])
        del buffer[: len(part)]
        self._bytes_left -= len(part)
        if part:
            events.append(Data(part))
        if self._bytes_left:
            return False
        if self._part is _Part.LENGTH:
            return self._finish(events)
        self._part = _Part.CHUNK_END
        return True

    def _read_chunk_line(self) -> bool:
        buffer = self._buffer
        end = buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(buffer) >= MAX_CHUNK_LINE_BYTES:
                raise GrammarError("chunk line too long")
            return False
        size = bytes(buffer[:end]).split(b";")[0].strip()
        if not _CHUNK_SIZE.fullmatch(size):
            raise GrammarError("chunk size is not a hexadecimal number")
        del buffer[: end + 2]
        self._bytes_left = int(size, 16)
        self._count_body(self._bytes_left)
        self._part = _Part.CHUNK if self._bytes_left else _Part.TRAILER
        return True

    def _read_chunk_end(self) -> bool:
        buffer = self._buffer
        if len(buffer) < 2:
            return False
        if buffer[:2] != b"\r\n":
            raise GrammarError("chunk is not followed by CRLF")
        del buffer[:2]
        self._part = _Part.CHUNK_LINE
        return True

    def _read_trailer(self, events: list[Event]) -> bool:
        """Skip the trailer fields (RFC 9112 7.1.2)."""
        buffer = self._buffer
        end = buffer.find(b"\r\n", 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(buffer) >= MAX_HEAD_BYTES:
                raise GrammarError("trailer too long")
            return False
        del buffer[: end + 2]
        return self._finish(events) if end == 0 else True

    def _read_to_close(self, events: list[Event]) -> bool:
        buffer = self._buffer
        if not buffer:
            return False
        part = bytes(buffer)
        buffer.clear()
        self._count_body(len(part))
        events.append(Data(part))
        return False

    def _read_head(self, events: list[Event]) -> bool:
        """Read the status line and header fields; interim (1xx) responses are skipped."""
        status_line = self._match_status_line()
        if status_line is None:
            return False
        is_interim = status_line[2][:1] == b"1"
        if not is_interim:
            self.status = int(status_line[2])
        fields = self._take_fields(status_line.end())
        if fields is None:
            return False
        if is_interim:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES or status_line[2] == b"101":
                raise GrammarError("protocol switch or too many interim responses")
            return True
        self._is_reusable = status_line[1] == b"1" and b"close" not in fields.get(b"connection", b"").lower()
        return self._begin_body(int(status_line[2]), fields, events)

    def _match_status_line(self) -> re.Match[bytes] | None:
        """Return the match of the status line (RFC 9112 4), or ``None`` if it is incomplete."""
        buffer = self._buffer
        line_end = buffer.find(b"\r\n", 0, MAX_HEAD_BYTES)
        if line_end < 0:
            if len(buffer) >= MAX_HEAD_BYTES or has_bare_line_feed(buffer):
                raise GrammarError("not a status line")
            return None
        status_line = _STATUS_LINE.fullmatch(bytes(buffer[:line_end]))
        if status_line is None:
            raise GrammarError("not a status line")
        return status_line

    def _take_fields(self, line_end: int) -> dict[bytes, bytes] | None:
        """Remove the head from the buffer and return its fields, or ``None`` if it is incomplete.

        ``line_end`` is the index at which the status line ends.
        """
        buffer = self._buffer
        end = (
            line_end
            if buffer[line_end : line_end + 4] == b"\r\n\r\n"
            else buffer.find(b"\r\n\r\n", line_end, MAX_HEAD_BYTES)
        )
        if end < 0:
            if len(buffer) >= MAX_HEAD_BYTES:
                raise GrammarError("head too long")
            return None
        head = bytes(buffer[:end])
        if has_bare_line_feed(head):
            raise GrammarError("bare line feed")
        if _STATUS_LINE_START.search(head, 1):
            raise GrammarError("a status line within the head")
        fields = parse_fields(head.split(b"\r\n")[1:])
        del buffer[: end + 4]
        return fields

    def _begin_body(self, status: int, fields: dict[bytes, bytes], events: list[Event]) -> bool:
        """Determine the framing of the body (RFC 9112 6.3)."""
        length, encoding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
        if encoding is not None and (length is not None or encoding.lower() != b"chunked"):
            raise GrammarError("unsupported transfer encoding, or combined with a content length")
        if length is not None:
            self._bytes_left = parse_length(length)
            if status not in _STATUSES_WITHOUT_BODY:
                self._count_body(self._bytes_left)
        events.append(Head(status, fields))
        if status in _STATUSES_WITHOUT_BODY:
            return self._finish(events)
        if encoding is not None:
            self._part = _Part.CHUNK_LINE
        else:
            self._part = _Part.LENGTH if length is not None else _Part.CLOSE
        return True


def encode_request(method: str, path: str, fields: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request; ``fields`` are header lines, each ending with CRLF."""
    return f"{method} {path} HTTP/1.1\r\n{fields}\r\n".encode("ascii") + body
