"""Space of the write-ahead log: reservations and records of pending messages.

The module does no I/O and reads no clock. Sizes are bytes.
"""

from __future__ import annotations

MAX_PENDING_SHARE = 0.35  # share of the size limit available to records of pending messages


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

    def on_written(self, message: str, size: int) -> None:
        """Count a message whose acceptance has been written, instead of its reservation."""
        self.release(message)
        self.on_completed(message)
        self._pending[message] = size
        self.pending_bytes += size

    def on_completed(self, message: str) -> None:
        """Stop counting a message."""
        self.pending_bytes -= self._pending.pop(message, 0)
