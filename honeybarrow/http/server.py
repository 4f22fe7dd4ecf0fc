"""Server side of HTTP/1.1: parsing of requests and encoding of responses."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

from honeybarrow.http.grammar import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    GrammarError,
    has_bare_line_feed,
    parse_fields,
    parse_length,
)

MAX_BUFFER_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES  # of input, beyond which reading has to pause
_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (/[\x21-\x7e]{0,1023}) HTTP/1\.([01])")
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request; ``closes_connection`` means that the connection ends after the response."""

    method: str
    path: str
    fields: dict[bytes, bytes]
    body: bytes
    closes_connection: bool


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """Invalid request, with the status and reason of the response that closes the connection."""

    status: int
    reason: str


class ReaderState(enum.Enum):
    """What the reader waits for when no event is available."""

    START = "start"  # the first byte of a request
    PARTIAL = "rest"  # the rest of a request
    RESPONSE = "answer"  # the response to the current request
    FAILED = "nothing"  # no more input is read after an invalid request


@dataclass(frozen=True, slots=True)
class _Head:
    """Parsed head of a request; ``length`` is that of the body in bytes."""

    method: str
    path: str
    fields: dict[bytes, bytes]
    length: int
    closes_connection: bool


class RequestReader:
    """Incremental parser of requests; :meth:`on_response_sent` releases the next one.

    Of an incomplete request only the received bytes are kept: parsed fields would take several times as much.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._request_bytes = 0  # size of the current request once its head is known, otherwise 0
        self.state = ReaderState.START

    def receive(self, data: bytes) -> None:
        """Add received bytes; they are discarded after an invalid request."""
        if self.state is not ReaderState.FAILED:
            self._buffer += data

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that were not yet returned as a request."""
        return len(self._buffer)

    @property
    def missing_bytes(self) -> int:
        """Largest number of bytes that can be missing of the current request; 0 if there is none to read."""
        if self.state in (ReaderState.RESPONSE, ReaderState.FAILED):
            return 0
        return max(0, (self._request_bytes or MAX_HEAD_BYTES) - len(self._buffer))

    @property
    def is_buffer_full(self) -> bool:
        """Whether reading has to pause because too much input is buffered."""
        return len(self._buffer) >= MAX_BUFFER_BYTES

    @property
    def has_partial_request(self) -> bool:
        """Whether input is buffered that was not yet returned as a request."""
        return bool(self._buffer)

    def on_response_sent(self) -> None:
        """Allow the next request to be read after the response to the current one."""
        if self.state is ReaderState.RESPONSE:
            self.state = ReaderState.START

    def discard(self) -> None:
        """Discard all input, now and in future."""
        self.state = ReaderState.FAILED
        self._buffer = bytearray()

    def next_event(self) -> Request | InvalidRequest | None:
        """Return the next complete request or the error, or ``None`` if more input is needed."""
        if self.state in (ReaderState.RESPONSE, ReaderState.FAILED):
            return None
        try:
            return self._next()
        except GrammarError as error:
            return self._reject(400, str(error))

    def _reject(self, status: int, reason: str) -> InvalidRequest:
        self.discard()
        return InvalidRequest(status, reason)

    def _next(self) -> Request | InvalidRequest | None:
        buffer = self._buffer
        if len(buffer) < self._request_bytes:
            return None
        head_end = buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
        if head_end < 0:
            return self._check_partial_head()
        head = self._parse_head(bytes(buffer[:head_end]))
        if isinstance(head, InvalidRequest):
            return head
        body_start = head_end + 4
        end = body_start + head.length
        if len(buffer) < end:
            self.state, self._request_bytes = ReaderState.PARTIAL, end
            return None
        body = bytes(buffer[body_start:end])
        del buffer[:end]
        self.state, self._request_bytes = ReaderState.RESPONSE, 0
        return Request(head.method, head.path, head.fields, body, head.closes_connection)

    def _parse_head(self, head: bytes) -> _Head | InvalidRequest:
        """Parse a complete head; return an error if it is invalid."""
        if has_bare_line_feed(head):
            return self._reject(400, "bare line feed")
        first, *lines = head.split(b"\r\n")
        if (request_line := _REQUEST_LINE.fullmatch(first)) is None:
            return self._reject(400, "not a request line")
        fields = parse_fields(lines)
        if b"transfer-encoding" in fields:
            # Both framings together could hide a second request in the body (request smuggling).
            both = b"content-length" in fields
            return self._reject(400, "length and encoding") if both else self._reject(411, "length required")
        length_field = fields.get(b"content-length")
        if length_field is None and request_line[1] == b"POST":
            return self._reject(411, "length required")
        length = parse_length(length_field) if length_field is not None else 0
        if length > MAX_BODY_BYTES:
            return self._reject(413, "body too long")
        closes_connection = request_line[3] == b"0" or b"close" in fields.get(b"connection", b"").lower()
        return _Head(request_line[1].decode(), request_line[2].decode(), fields, length, closes_connection)

    def _check_partial_head(self) -> InvalidRequest | None:
        """Return an error if an incomplete head is already invalid."""
        buffer = self._buffer
        if len(buffer) >= MAX_HEAD_BYTES:
            return self._reject(431, "head too long")
        if has_bare_line_feed(buffer):
            return self._reject(400, "bare line feed")
        line_end = buffer.find(b"\r\n")
        if line_end >= 0 and _REQUEST_LINE.fullmatch(buffer[:line_end]) is None:
            return self._reject(400, "not a request line")
        self.state = ReaderState.PARTIAL if buffer else ReaderState.START
        return None


def encode_response(status: int, fields: str = "", body: bytes = b"", close: bool = False) -> bytes:
    """Return the bytes of a response; ``fields`` are header lines, each ending with CRLF."""
    ending = "Connection: close\r\n" if close else ""
    reason = REASON_PHRASES.get(status, "")
    head = f"HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {len(body)}\r\n{ending}\r\n"
    return head.encode("ascii") + body


def with_connection_close(response: bytes) -> bytes:
    """Return a response with ``Connection: close`` added, unless it is present."""
    head, end, body = response.partition(b"\r\n\r\n")
    has_close = b"\r\nconnection: close\r\n" in head.lower() + b"\r\n"
    return response if has_close else head + b"\r\nConnection: close" + end + body
