"""Minimal HTTP/1.1 parser of the stand-ins; it supports only bodies with a Content-Length."""

from __future__ import annotations

from dataclasses import dataclass

_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """An HTTP request or response, with the arrival times of its first and last byte.

    The keys of ``fields`` are lower-case.
    """

    start_line: str
    fields: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line.split(" ", 2)[1])


class HttpMessageReader:
    """Incremental parser of the messages of one connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._first_byte_s = 0.0

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer)

    def receive(self, data: bytes, arrived_s: float) -> list[HttpMessage]:
        """Add received bytes and return the messages that they complete."""
        messages = []
        if not self._buffer:
            self._first_byte_s = arrived_s
        self._buffer += data
        while (message := self._parse_next(arrived_s)) is not None:
            messages.append(message)
            self._first_byte_s = arrived_s
        return messages

    def _parse_next(self, arrived_s: float) -> HttpMessage | None:
        head_end = self._buffer.find(_HEAD_END)
        if head_end < 0:
            return None
        lines = bytes(self._buffer[:head_end]).decode("latin-1").split("\r\n")
        parts = (line.partition(":") for line in lines[1:])
        fields = {name.strip().lower(): value.strip() for name, _, value in parts}
        length = head_end + len(_HEAD_END) + int(fields.get("content-length", "0"))
        if len(self._buffer) < length:
            return None
        body = bytes(self._buffer[head_end + len(_HEAD_END) : length])
        del self._buffer[:length]
        return HttpMessage(lines[0], fields, body, self._first_byte_s, arrived_s)
