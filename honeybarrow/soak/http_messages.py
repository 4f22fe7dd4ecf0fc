"""Reads the messages of HTTP/1.1 that the stand-ins exchange with a forwarder, which speaks it strictly."""

from __future__ import annotations

from dataclasses import dataclass

_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """A start line, its fields by lower-case name, and a body; and when its first and last byte came."""

    start_line: str
    fields: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start_line.split(" ", 2)[1])


class HttpMessageReader:
    """Reads messages with a length from a connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._first_byte_s = 0.0

    @property
    def has_partial(self) -> bool:
        """Whether a part of a message has come."""
        return bool(self._buffer)

    def receive(self, data: bytes, arrived_s: float) -> list[HttpMessage]:
        """Take bytes; return the messages that they complete."""
        found = []
        if not self._buffer:
            self._first_byte_s = arrived_s
        self._buffer += data
        while (message := self._take(arrived_s)) is not None:
            found.append(message)
            self._first_byte_s = arrived_s
        return found

    def _take(self, arrived_s: float) -> HttpMessage | None:
        end = self._buffer.find(_HEAD_END)
        if end < 0:
            return None
        lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        parts = (line.partition(":") for line in lines[1:])
        fields = {name.strip().lower(): value.strip() for name, _, value in parts}
        length = end + len(_HEAD_END) + int(fields.get("content-length", "0"))
        if len(self._buffer) < length:
            return None
        body = bytes(self._buffer[end + len(_HEAD_END) : length])
        del self._buffer[:length]
        return HttpMessage(lines[0], fields, body, self._first_byte_s, arrived_s)
