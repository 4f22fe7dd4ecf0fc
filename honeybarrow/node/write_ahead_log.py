"""The write-ahead log: append-only segment files in the state folder.

Segments are removed from the oldest on, so a record never outlives the acceptance of its message. When the
files come near their bound, the messages that are still pending in the oldest segment are copied forward, one
record each, and the segment is removed (compaction). A committed record outlives the process, not the
machine: nothing is synced.
"""

from __future__ import annotations

import logging
import os
from collections import OrderedDict
from typing import Any

from honeybarrow.clocks import Clocks
from honeybarrow.events import AttemptStatus
from honeybarrow.log_timeline import ClockAnchor, start_timeline
from honeybarrow.node.log_records import decode_records, encode_record, max_bytes_of_message
from honeybarrow.recovery import (
    AttemptFinished,
    AttemptStarted,
    FinalResult,
    LogRecord,
    MessageAccepted,
    MessageCompleted,
    PendingMessages,
)

BLOCK_BYTES = 512  # the platform counts a file's size in blocks of so many
SEGMENT_COUNT = 16  # a segment is closed at this part of the bound
MAX_PENDING_SHARE = 0.35  # of the bound, for the records of pending messages
COMPACTION_SHARE = 0.5  # of the bound, from which on the oldest segment is compacted
_UNWRITTEN_SEGMENT = -1  # of messages whose record of acceptance is not committed yet
log = logging.getLogger("honeybarrow.node")


class WriteAheadLog:
    """Records accepted messages until they are completed; see :class:`honeybarrow.ports.MessageLog`.

    ``folder``: where the segments are; ``max_bytes``: bound of all files together.
    """

    def __init__(self, folder: str, max_bytes: int, clocks: Clocks) -> None:
        self.folder, self.max_bytes, self._clocks = folder, max_bytes, clocks
        self.max_segment_bytes = max(4 * BLOCK_BYTES, max_bytes // SEGMENT_COUNT)
        self.pending_messages = PendingMessages()
        self.has_write_failed = False  # the last one
        self._has_torn_tail = False  # the last segment ends in a part of a record
        self._uncommitted: list[LogRecord] = []
        self._segment_bytes: OrderedDict[int, int] = OrderedDict()  # size of each segment, oldest first
        self._segment_of_message: dict[str, int] = {}  # where a message's record of acceptance is
        self._messages_in_segment: dict[int, dict[str, None]] = {}
        self._reserved_bytes = 0  # for messages admitted since the last commit
        self._pending_bytes = 0  # upper bound of what all pending messages take
        self._descriptor = -1
        self._last_sequence_number = 0  # messages accepted so far, by all processes whose records are here
        self._newest_time_us: int | None = None  # on record
        self._anchor: ClockAnchor | None = None  # of the newest segment with records
        self._read_segments()
        self.timeline = start_timeline(self._anchor, self._newest_time_us, clocks.read())
        self._open_next_segment()
        self._first_segment = next(reversed(self._segment_bytes))

    @property
    def incarnation(self) -> int:
        """A number of this process that no other process that used the folder has had: its first segment."""
        return self._first_segment

    def now_us(self) -> int:
        """Return the present log time, see :mod:`honeybarrow.log_timeline`."""
        return self.timeline.to_log_time_us(self._clocks.monotonic_us())

    # reading

    def _segment_path(self, segment: int) -> str:
        return os.path.join(self.folder, f"journal-{segment:08d}")

    def _read_segments(self) -> None:
        segments = []
        for name in os.listdir(self.folder):
            prefix, _, digits = name.partition("-")
            if prefix == "journal" and digits.isdigit():
                segments.append(int(digits))
        for segment in sorted(segments):
            data = self._read_segment(segment)
            self._segment_bytes[segment] = len(data)
            for number, record in enumerate(decode_records(data)):
                if isinstance(record, ClockAnchor):
                    self._note_time(record.log_time_us)
                    self._anchor = record
                else:
                    self._anchor = self._anchor if number else None  # an earlier build wrote this segment
                    self._apply_record(record, segment)

    def _read_segment(self, segment: int) -> bytes:
        try:
            with open(self._segment_path(segment), "rb") as file:
                return file.read()
        except OSError as error:
            _log_os_error("segment_read_failed", error, segment)
            return b""

    def _apply_record(self, record: LogRecord, segment: int) -> None:
        message = record.message
        pending = self.pending_messages.by_id.get(message)
        if pending is not None and isinstance(record, MessageCompleted | MessageAccepted):
            self._pending_bytes -= max_bytes_of_message(message, len(pending.accepted.body))
        self.pending_messages.apply(record)
        if isinstance(record, MessageAccepted):
            self._last_sequence_number = max(self._last_sequence_number, record.sequence_number)
            self._remove_from_segment(message)
            self._segment_of_message[message] = segment
            self._messages_in_segment.setdefault(segment, {})[message] = None
            self._pending_bytes += max_bytes_of_message(message, len(record.body))
        elif isinstance(record, MessageCompleted):
            self._remove_from_segment(message)
        elif isinstance(record, AttemptStarted):
            self._note_time(record.started_at_us)

    def _note_time(self, log_time_us: int) -> None:
        newest_us = self._newest_time_us
        self._newest_time_us = log_time_us if newest_us is None else max(newest_us, log_time_us)

    def _remove_from_segment(self, message: str) -> None:
        segment = self._segment_of_message.pop(message, None)
        if segment is not None:
            del self._messages_in_segment[segment][message]

    # capacity

    @property
    def disk_usage_bytes(self) -> int:
        """Size of all segments, as the platform counts it."""
        return sum(-(-size // BLOCK_BYTES) * BLOCK_BYTES for size in self._segment_bytes.values())

    def try_reserve(self, message: str, body_bytes: int) -> bool:
        """Reserve space for all records of a message until the next commit; whether there was enough."""
        size = max_bytes_of_message(message, body_bytes)
        if self._pending_bytes + self._reserved_bytes + size > MAX_PENDING_SHARE * self.max_bytes:
            return False
        self._reserved_bytes += size
        return True

    # appending: see :class:`honeybarrow.ports.MessageLog`

    def append(self, record: LogRecord) -> None:
        """Keep a record for the next commit. One of an unknown message is dropped."""
        if isinstance(record, MessageAccepted):
            self._uncommitted.append(record)
            self._segment_of_message.setdefault(record.message, _UNWRITTEN_SEGMENT)
            self._messages_in_segment.setdefault(_UNWRITTEN_SEGMENT, {})[record.message] = None
        elif record.message in self._segment_of_message:
            self._uncommitted.append(record)

    def record_accepted(self, submission: Any) -> None:
        """Append the acceptance of a message, unless it is a resumed one, which the log has already."""
        if submission.message in self._segment_of_message:
            return
        payload = submission.payload
        self._last_sequence_number += 1
        self.append(
            MessageAccepted(
                submission.message,
                submission.class_name,
                submission.destination,
                payload.expires_at_us,
                submission.tenant,
                payload.idempotency_key,
                payload.body,
                order_key=payload.order_key,
                sequence_number=self._last_sequence_number,
            )
        )

    def record_attempt_started(self, message: str, attempt: int) -> bool:
        """Commit the start of an attempt at once; whether it is on disk."""
        reserved_bytes = self._reserved_bytes  # of messages whose acceptance the turn's own commit writes
        self.append(AttemptStarted(message, attempt, self.now_us()))
        is_committed = self.commit()
        self._reserved_bytes = reserved_bytes
        return is_committed

    def record_attempt_finished(
        self, message: str, attempt: int, status: AttemptStatus, not_run: bool
    ) -> None:
        """Append the end of an attempt, but of a successful one, whose completion is recorded next."""
        if status is not AttemptStatus.OK:
            self.append(AttemptFinished(message, attempt, not_run))

    def record_final_result(self, result: FinalResult) -> None:
        """Append the final result that a notification is to report."""
        self.append(result)

    def record_completed(self, message: str) -> None:
        """Append the completion of a message."""
        self.append(MessageCompleted(message))

    def commit(self) -> bool:
        """Write all records appended since the last commit, in one write; whether they are on disk.

        If they are not, the messages accepted among them are dropped, since no client was told of them, and
        the other records wait for the next commit.
        """
        self._reserved_bytes = 0
        if not self._uncommitted:
            return True
        records, self._uncommitted = self._uncommitted, []
        if not self._write_records(records):
            for record in records:
                if isinstance(record, MessageAccepted):
                    self._remove_from_segment(record.message)
            self._uncommitted = [each for each in records if each.message in self._segment_of_message]
            return False
        self._remove_old_segments()
        return True

    # segments

    def _write_records(self, records: list[LogRecord]) -> bool:
        if self._has_torn_tail:  # Danger: reading ends at a torn record, so nothing may be written behind one
            self._open_next_segment()
        if self._has_torn_tail:
            return False
        segment = next(reversed(self._segment_bytes))
        data = b"".join(map(encode_record, records))
        if self._segment_bytes[segment] == 0:
            data = encode_record(self._make_anchor()) + data
        written = self._write_bytes(data)
        self._segment_bytes[segment] += written
        self.has_write_failed = written < len(data)
        if self.has_write_failed:
            self._has_torn_tail = written > 0
            return False
        for record in records:
            self._apply_record(record, segment)
        if self._segment_bytes[segment] >= self.max_segment_bytes:
            self._open_next_segment()
        return True

    def _make_anchor(self) -> ClockAnchor:
        reading = self._clocks.read()
        return ClockAnchor(reading, self.timeline.to_log_time_us(reading.monotonic_us))

    def _write_bytes(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except OSError as error:
            if not self.has_write_failed:  # logged once, however many writes fail in a row
                _log_os_error("log_write_failed", error)
            return 0

    def _open_next_segment(self) -> None:
        """Continue in a new segment; if none can be created, the last one grows on.

        :raises OSError: if there is no segment to write to at all.
        """
        segment = next(reversed(self._segment_bytes), 0) + 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        try:
            descriptor = os.open(self._segment_path(segment), flags, 0o600)
        except OSError as error:
            if self._descriptor < 0:
                raise
            _log_os_error("segment_create_failed", error, segment)
            return
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor, self._segment_bytes[segment], self._has_torn_tail = descriptor, 0, False

    def _remove_old_segments(self) -> None:
        """Remove segments without pending messages; compact the oldest while files are near their bound."""
        while len(self._segment_bytes) > 1:
            oldest = next(iter(self._segment_bytes))
            messages = self._messages_in_segment.get(oldest)
            if messages:
                if self.disk_usage_bytes < COMPACTION_SHARE * self.max_bytes:
                    return
                pending = [self.pending_messages.by_id[message] for message in messages]
                if not self._write_records([each.to_record() for each in pending]):
                    return  # Danger: the segment still holds the only record of pending messages
            self._messages_in_segment.pop(oldest, None)
            del self._segment_bytes[oldest]
            try:
                os.unlink(self._segment_path(oldest))
            except OSError as error:
                _log_os_error("segment_remove_failed", error, oldest)

    def close(self) -> None:
        """Commit what is left and close the file."""
        self.commit()
        os.close(self._descriptor)
        self._descriptor = -1


def _log_os_error(event: str, error: OSError, segment: int | None = None) -> None:
    log.error("%s segment=%s error=%s", event, "last" if segment is None else segment, error)
