"""Ids of accepted messages, remembered for as long as a copy of a request could be accepted again.

The module does no I/O and reads no clock. Times are microseconds of log time, see
:mod:`honeybarrow.log_timeline`, so that they are comparable across restarts. An id is never dropped for
others: if there is no room, new messages have to wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

ENTRY_BYTES = 26  # of an id in the log in addition to its text
_BUCKET_US = 250_000  # ids that expire within this time are dropped together


@dataclass(frozen=True, slots=True)
class RememberedId:
    """An id, and the time until which no other message of this id may be accepted."""

    message: str
    expires_at_us: int


@dataclass(frozen=True, slots=True)
class AcceptedIds:
    """Record of ids whose acceptance records are removed from the log."""

    ids: tuple[RememberedId, ...]


class RememberedIds:
    """Ids with their expiry, in at most ``max_bytes`` of the log.

    :param retention_us: how long an id is remembered after its acceptance
    """

    def __init__(self, retention_us: int, max_bytes: int) -> None:
        self.retention_us, self.max_bytes = retention_us, max_bytes
        self.used_bytes = 0
        self.peak_count = 0
        self._expires_at_us: dict[str, int] = {}
        self._buckets: dict[int, list[str]] = {}
        self._current_bucket = 0

    def __len__(self) -> int:
        return len(self._expires_at_us)

    def __contains__(self, message: str) -> bool:
        return message in self._expires_at_us

    def has_room(self, message: str) -> bool:
        """Return whether another id can be remembered."""
        return self.used_bytes + _size(message) <= self.max_bytes

    def remember(self, message: str, accepted_at_us: int) -> None:
        """Remember the id of a message that was accepted at a time or before; do nothing if it is known."""
        self.restore(RememberedId(message, accepted_at_us + self.retention_us))

    def restore(self, remembered: RememberedId) -> None:
        """Remember an id until the time in its record; do nothing if it is known."""
        message, expires_at_us = remembered.message, remembered.expires_at_us
        if message in self._expires_at_us or self.retention_us == 0:
            return
        self._expires_at_us[message] = expires_at_us
        self._buckets.setdefault(expires_at_us // _BUCKET_US, []).append(message)
        self.used_bytes += _size(message)
        self.peak_count = max(self.peak_count, len(self._expires_at_us))

    def drop_expired(self, now_us: int) -> None:
        """Forget the ids whose time is over."""
        current = now_us // _BUCKET_US
        if current == self._current_bucket:
            return
        self._current_bucket = current
        for bucket in [each for each in self._buckets if each < current]:
            for message in self._buckets.pop(bucket):
                del self._expires_at_us[message]
                self.used_bytes -= _size(message)

    def select(self, messages: Iterable[str]) -> list[RememberedId]:
        """Return those of the messages that are still remembered."""
        known = self._expires_at_us
        return [RememberedId(message, known[message]) for message in messages if message in known]


def _size(message: str) -> int:
    return len(message) + ENTRY_BYTES
