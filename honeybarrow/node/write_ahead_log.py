"""The write-ahead log: append-only segment files in the state folder.

Segments are removed from the oldest on, so a record never outlives the acceptance of its message. When the
files come near their bound, the messages that are still pending in the oldest segment are copied forward, one
record each, and the segment is removed (compaction). A committed record outlives the process, not the
machine: nothing is synced.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from honeybarrow.clocks import Clocks
from honeybarrow.events import AttemptStatus
from honeybarrow.log_timeline import ClockAnchor, start_timeline
from honeybarrow.node.log_records import decode_records, encode_record, max_bytes_of_message
from honeybarrow.node.segment_files import Segment, SegmentFiles
from honeybarrow.recovery import (
    AttemptFinished,
    AttemptStarted,
    FinalResult,
    LogRecord,
    MessageAccepted,
    MessageCompleted,
    PendingMessages,
)

SEGMENT_COUNT = 16  # a segment is closed at this part of the bound
MAX_PENDING_SHARE = 0.35  # of the bound, for the records of pending messages
COMPACTION_SHARE = 0.5  # of the bound, from which on the oldest segment is compacted
MIN_SEGMENT_BYTES = 2048
_UNWRITTEN_SEGMENT = -1  # of messages whose record of acceptance is not committed yet
log = logging.getLogger("honeybarrow.node")


def _ignore(is_available: bool) -> None: ...


class WriteAheadLog:
    """Records accepted messages until they are completed; see :class:`honeybarrow.ports.MessageLog`.

    ``folder``: where the segments are; ``max_bytes``: bound of all files together. A folder that fails makes
    the log unavailable until a write succeeds: nothing is accepted, all other records wait in their order.
    """

    def __init__(self, folder: str, max_bytes: int, clocks: Clocks) -> None:
        self.files, self.max_bytes, self._clocks = SegmentFiles(folder), max_bytes, clocks
        self.max_segment_bytes = max(MIN_SEGMENT_BYTES, max_bytes // SEGMENT_COUNT)
        self.pending_messages = PendingMessages()
        self.is_loaded = False  # the records of earlier processes are read
        self.is_available = True  # the last write succeeded
        self.on_availability_changed: Callable[[bool], object] = _ignore
        self._unavailable_since_us = 0
        self._failed_operations: set[str] = set()  # logged, and not succeeded since
        self._uncommitted: list[LogRecord] = []
        self._segment_of_message: dict[str, int] = {}  # where a message's record of acceptance is
        self._messages_in_segment: dict[int, dict[str, None]] = {}
        self._reserved_bytes = 0  # for messages admitted since the last commit
        self._pending_bytes = 0  # upper bound of what all pending messages take
        self._last_sequence_number = 0  # messages accepted so far, by all processes whose records are here
        self._newest_time_us: int | None = None  # on record
        self._anchor: ClockAnchor | None = None  # of the newest segment with records
        self.incarnation = 0  # a number that no other process that used the folder has had, once it is loaded
        self.timeline = start_timeline(None, None, clocks.read())
        self.load()

    def now_us(self) -> int:
        """Return the present log time, see :mod:`honeybarrow.log_timeline`."""
        return self.timeline.to_log_time_us(self._clocks.monotonic_us())

    # reading

    def load(self) -> bool:
        """Read the records of earlier processes; whether that is done. Nothing may be recorded before."""
        if self.is_loaded:
            return True
        try:
            segments = self.files.read_all()
        except OSError as error:
            self._log_failure("log_read_failed", error)
            return False
        for segment in segments:
            self._apply_segment(segment)
        self.timeline = start_timeline(self._anchor, self._newest_time_us, self._clocks.read())
        self.incarnation = self.files.newest + 1
        self.is_loaded = True
        self._begin_segment()
        return True

    def _apply_segment(self, segment: Segment) -> None:
        for number, record in enumerate(decode_records(segment.data)):
            if isinstance(record, ClockAnchor):
                self._note_time(record.log_time_us)
                self._anchor = record
            else:
                self._anchor = self._anchor if number else None  # an earlier build wrote this segment
                self._apply_record(record, segment.number)

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
        return self.files.disk_usage_bytes

    @property
    def waiting_record_count(self) -> int:
        """Records that are not on disk yet."""
        return len(self._uncommitted)

    def try_reserve(self, message: str, body_bytes: int) -> bool:
        """Reserve space for all records of a message until the next commit; whether there was enough."""
        size = max_bytes_of_message(message, body_bytes)
        pending = self._pending_bytes + self._reserved_bytes + size
        # The files shrink behind the pending messages, but not while segments can't be removed.
        used = self.files.disk_usage_bytes + self._reserved_bytes + size
        if pending > MAX_PENDING_SHARE * self.max_bytes or used > self.max_bytes:
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

    def record_attempt_started(self, message: str, attempt: int, must_be_kept: bool = True) -> bool:
        """Commit the start of an attempt at once; whether it is on disk.

        If it is not and ``must_be_kept``, the attempt does not start, and its record is dropped.
        """
        reserved_bytes = self._reserved_bytes  # of messages whose acceptance the turn's own commit writes
        record = AttemptStarted(message, attempt, self.now_us())
        self.append(record)
        is_committed = self.commit()
        self._reserved_bytes = reserved_bytes
        if not is_committed and must_be_kept:
            self._uncommitted = [each for each in self._uncommitted if each is not record]
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

    def retry(self) -> bool:
        """Try whether the folder can be written again; with what waits, if anything does."""
        return self.commit() if self._uncommitted else self._write_records([])

    # segments

    def _write_records(self, records: list[LogRecord]) -> bool:
        try:
            if not self.files.can_append:
                self.files.open_next()
            segment = self.files.newest
            data = b"".join(map(encode_record, records))
            if self.files.sizes[segment] == 0 or not records:
                data = encode_record(self._make_anchor()) + data
            self.files.append(data)
        except OSError as error:
            self._on_write_failed(error, len(records))
            return False
        for record in records:
            self._apply_record(record, segment)
        if self.files.sizes[segment] >= self.max_segment_bytes:
            self._begin_segment()
        self._on_write_succeeded(len(records))
        return True

    def _make_anchor(self) -> ClockAnchor:
        reading = self._clocks.read()
        return ClockAnchor(reading, self.timeline.to_log_time_us(reading.monotonic_us))

    def _begin_segment(self) -> None:
        """Continue in a new segment; if none can be created, the last one grows on."""
        try:
            self.files.open_next()
        except OSError as error:
            self._log_failure("segment_create_failed", error)
        else:
            self._failed_operations.discard("segment_create_failed")

    def _remove_old_segments(self) -> None:
        """Remove segments without pending messages; compact the oldest while files are near their bound."""
        while len(self.files.sizes) > 1:
            oldest = next(iter(self.files.sizes))
            messages = self._messages_in_segment.get(oldest)
            if messages:
                if self.files.disk_usage_bytes < COMPACTION_SHARE * self.max_bytes:
                    return
                pending = [self.pending_messages.by_id[message] for message in messages]
                if not self._write_records([each.to_record() for each in pending]):
                    return  # Danger: the segment still holds the only record of pending messages
            try:
                self.files.remove(oldest)
            except OSError as error:
                # Danger: were a later one removed before it, a message that was completed there would be
                # pending again at the next start.
                self._log_failure("segment_remove_failed", error)
                return
            self._failed_operations.discard("segment_remove_failed")
            self._messages_in_segment.pop(oldest, None)

    def close(self) -> None:
        """Commit what is left and close the file."""
        if not self.commit():
            log.error("log_closed_incomplete waiting_records=%d", len(self._uncommitted))
        self.files.close()

    # availability

    def _on_write_failed(self, error: OSError, record_count: int) -> None:
        if not self.is_available:
            return
        self.is_available, self._unavailable_since_us = False, self._clocks.monotonic_us()
        log.error("log_write_failed error=%s waiting_records=%d accepting=False", error, record_count)
        self.on_availability_changed(False)

    def _on_write_succeeded(self, record_count: int) -> None:
        if self.is_available:
            return
        self.is_available = True
        failed_ms = (self._clocks.monotonic_us() - self._unavailable_since_us) // 1000
        log.info("log_write_recovered waiting_records=%d failed_ms=%d", record_count, failed_ms)
        self.on_availability_changed(True)

    def _log_failure(self, operation: str, error: OSError) -> None:
        """Log a failed operation once, however often it is tried again."""
        if operation not in self._failed_operations:
            self._failed_operations.add(operation)
            log.error("%s error=%s retrying=True", operation, error)
