"""Space of the write-ahead log: reservations of messages, and when compaction may copy a segment.

The module does no I/O and reads no clock. Sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_PENDING_SHARE = 0.35  # share of the size limit available to records of pending messages
COMPACTION_SHARE = 0.5  # share of the size limit at which compaction starts
MIN_GARBAGE_SHARE = 1 / 16  # share of the size limit that a round of compaction has to be able to free
MAX_COPIED_SEGMENTS = 2  # by one commit, so that the work of a turn is bounded


class LogSpace:
    """Space of pending messages, each counted from its reservation to its completion.

    A reservation belongs to one message: it ends when the record of the message is written, or when the
    message is given up before.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self.pending_bytes = 0
        self._reserved: dict[str, int] = {}  # by message, not written yet
        self._pending: dict[str, int] = {}  # by message, written

    @property
    def message_count(self) -> int:
        """Number of messages that are pending or have a reservation."""
        return len(self._pending) + len(self._reserved)

    @property
    def message_bytes(self) -> int:
        """Size of the records of all messages that are pending or have a reservation."""
        return self.pending_bytes + self.reserved_bytes

    @property
    def used_share(self) -> float:
        """Share of the space of messages that is in use."""
        return self.message_bytes / (MAX_PENDING_SHARE * self.max_bytes)

    def try_reserve(self, message: str, size: int, used_bytes: int) -> bool:
        """Reserve ``size`` bytes for a message; return whether there was enough space.

        ``used_bytes`` is the disk usage, which stays high while segments can't be removed.
        """
        added = self.reserved_bytes + size
        is_too_much = self.pending_bytes + added > MAX_PENDING_SHARE * self.max_bytes
        if is_too_much or used_bytes + added > self.max_bytes:
            return False
        self.release(message)
        self._reserved[message] = size
        self.reserved_bytes += size
        return True

    def release(self, message: str) -> None:
        """End the reservation of a message, if it has one."""
        self.reserved_bytes -= self._reserved.pop(message, 0)

    def on_written(self, message: str, get_size: Callable[[], int]) -> None:
        """Count a message whose acceptance has been written or copied, with the size reserved for it.

        ``get_size`` returns the size of one that has no reservation, such as a message of an earlier process.
        """
        if message in self._pending:
            return
        size = self._reserved.get(message) or get_size()
        self.release(message)
        self._pending[message] = size
        self.pending_bytes += size

    def on_completed(self, message: str) -> None:
        """Stop counting a message."""
        self.pending_bytes -= self._pending.pop(message, 0)


class CompactionRounds:
    """Decides whether the oldest segment is copied.

    A round copies each segment that existed when it began at most once. If it did not free enough, the next
    one has to wait for more garbage: copying the same messages again would free nothing.
    """

    def __init__(self, max_bytes: int) -> None:
        self._start_bytes = COMPACTION_SHARE * max_bytes
        self._min_garbage_bytes = MIN_GARBAGE_SHARE * max_bytes
        self._next_garbage_bytes = self._min_garbage_bytes  # with which the next round may begin
        self._last_segment: int | None = None  # of the current round

    def may_copy(self, oldest: int, newest: int, used_bytes: int, pending_bytes: int) -> bool:
        """Return whether the pending messages of the segment ``oldest`` should be copied now.

        ``used_bytes`` less ``pending_bytes`` is about what a round can free.
        """
        if used_bytes < self._start_bytes:
            self._last_segment, self._next_garbage_bytes = None, self._min_garbage_bytes
            return False
        garbage_bytes = used_bytes - pending_bytes
        if self._last_segment is not None and oldest > self._last_segment:
            self._last_segment = None
            self._next_garbage_bytes = max(0, garbage_bytes) + self._min_garbage_bytes
        if self._last_segment is None and garbage_bytes >= self._next_garbage_bytes:
            self._last_segment = newest
        return self._last_segment is not None
