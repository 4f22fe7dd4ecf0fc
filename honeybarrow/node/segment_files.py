"""Segment files of the write-ahead log, numbered and removed oldest first.

Since reading stops at a torn record, no record may follow one. A partial write is truncated; if truncating
fails, writing continues in a new segment.
"""

from __future__ import annotations

import contextlib
import errno
import os
from collections import OrderedDict
from dataclasses import dataclass

BLOCK_BYTES = 512  # unit in which the platform counts disk usage
_SEGMENT_PREFIX = "journal"
_SEGMENT_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC


@dataclass(frozen=True, slots=True)
class Segment:
    """Number and content of a segment."""

    number: int
    data: bytes


class SegmentFiles:
    """The segments in one folder.

    All methods except :meth:`close` raise ``OSError`` if a file operation fails.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.sizes: OrderedDict[int, int] = OrderedDict()  # bytes by segment number, oldest first
        self._descriptor = -1  # of the newest segment; -1 if this process has not opened it
        self._has_torn_tail = False  # whether the newest segment ends in a partial record

    @property
    def newest(self) -> int:
        """Number of the newest segment; 0 if there is none."""
        return next(reversed(self.sizes), 0)

    @property
    def can_append(self) -> bool:
        """Whether this process opened the newest segment and it ends in a complete record."""
        return self._descriptor >= 0 and not self._has_torn_tail

    @property
    def disk_usage_bytes(self) -> int:
        """Disk usage of all segments in bytes, counted in whole blocks."""
        return sum(-(-size // BLOCK_BYTES) * BLOCK_BYTES for size in self.sizes.values())

    def _path(self, segment: int) -> str:
        return os.path.join(self.folder, f"{_SEGMENT_PREFIX}-{segment:08d}")

    def read_all(self) -> list[Segment]:
        """Return all segments, oldest first."""
        numbers = []
        for name in os.listdir(self.folder):
            prefix, _, digits = name.partition("-")
            if prefix == _SEGMENT_PREFIX and digits.isdigit():
                numbers.append(int(digits))
        segments = [Segment(number, self._read(number)) for number in sorted(numbers)]
        self.sizes = OrderedDict((each.number, len(each.data)) for each in segments)
        return segments

    def _read(self, segment: int) -> bytes:
        with open(self._path(segment), "rb") as file:
            return file.read()

    def open_next(self) -> None:
        """Create the next segment and make it the newest."""
        segment = self.newest + 1
        descriptor = os.open(self._path(segment), _SEGMENT_FLAGS, 0o600)
        self._close_descriptor()
        self._descriptor, self.sizes[segment], self._has_torn_tail = descriptor, 0, False

    def append(self, data: bytes) -> None:
        """Append all of ``data`` to the newest segment.

        On failure no part of it is visible to readers.
        """
        written = 0
        try:
            while written < len(data):
                count = os.write(self._descriptor, data[written:])
                if count == 0:
                    raise OSError(errno.EIO, os.strerror(errno.EIO))
                written += count
        except OSError:
            self._truncate(written)
            raise
        self.sizes[self.newest] += written

    def _truncate(self, written: int) -> None:
        """Remove the ``written`` bytes of a failed write."""
        try:
            os.ftruncate(self._descriptor, self.sizes[self.newest])
        except OSError:
            self._has_torn_tail = True
            self.sizes[self.newest] += written

    def remove(self, segment: int) -> None:
        """Remove a segment; if that fails, it still counts towards the disk usage."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(segment))
        del self.sizes[segment]

    def close(self) -> None:
        """Close the newest segment."""
        self._close_descriptor()

    def _close_descriptor(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            with contextlib.suppress(OSError):  # Linux releases the descriptor even if close() fails
                os.close(descriptor)
