"""The files of the write-ahead log: numbered segments that are appended to and removed from the oldest on.

A write that fails leaves no part of a record where another may follow: what was written of it is cut off, or,
if that fails too, the segment is left and a new one begun, since reading ends at a torn record.
"""

from __future__ import annotations

import contextlib
import errno
import os
from collections import OrderedDict
from dataclasses import dataclass

BLOCK_BYTES = 512  # the platform counts a file's size in blocks of so many
_SEGMENT_PREFIX = "journal"
_SEGMENT_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC


@dataclass(frozen=True, slots=True)
class Segment:
    """The number of a segment and all its bytes."""

    number: int
    data: bytes


class SegmentFiles:
    """The segments in one folder. All methods but :meth:`close` raise ``OSError`` if the folder fails."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.sizes: OrderedDict[int, int] = OrderedDict()  # of each segment, oldest first
        self._descriptor = -1  # of the newest segment, once this process has opened it
        self._has_torn_tail = False  # the newest segment ends in a part of a record

    @property
    def newest(self) -> int:
        """Number of the newest segment; 0 if there is none."""
        return next(reversed(self.sizes), 0)

    @property
    def can_append(self) -> bool:
        """Whether the newest segment is this process's own and ends in a whole record."""
        return self._descriptor >= 0 and not self._has_torn_tail

    @property
    def disk_usage_bytes(self) -> int:
        """Size of all segments, as the platform counts it."""
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
        """Continue in a new segment."""
        segment = self.newest + 1
        descriptor = os.open(self._path(segment), _SEGMENT_FLAGS, 0o600)
        self._close_descriptor()
        self._descriptor, self.sizes[segment], self._has_torn_tail = descriptor, 0, False

    def append(self, data: bytes) -> None:
        """Append to the newest segment, all of it or, as far as readers can tell, nothing."""
        written = 0
        try:
            while written < len(data):
                count = os.write(self._descriptor, data[written:])
                if count == 0:
                    raise OSError(errno.EIO, os.strerror(errno.EIO))
                written += count
        except OSError:
            self._cut_off(written)
            raise
        self.sizes[self.newest] += written

    def _cut_off(self, written: int) -> None:
        """Remove what a failed write may have left."""
        try:
            os.ftruncate(self._descriptor, self.sizes[self.newest])
        except OSError:
            self._has_torn_tail = True
            self.sizes[self.newest] += written

    def remove(self, segment: int) -> None:
        """Remove a segment; it counts as long as that fails."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(segment))
        del self.sizes[segment]

    def close(self) -> None:
        """Close the newest segment."""
        self._close_descriptor()

    def _close_descriptor(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            with contextlib.suppress(OSError):  # Linux has released it whatever close(2) returns
                os.close(descriptor)
