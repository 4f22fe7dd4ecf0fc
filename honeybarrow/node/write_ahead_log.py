"""The write-ahead log: append-only segment files in the state folder.

Segments are removed oldest first, so the acceptance of a message is never removed after its later records.
When the total size approaches its limit, the oldest segments are compacted, a few with each commit: their
pending messages are copied to the newest segment, one record each, and the segments are removed. Committed
records survive a crash of the process but not of the machine, because files are not synced.

The ids of accepted messages are remembered beyond the completion of their messages, over restarts too. A
segment that holds such ids stays while there is space; before it is removed, they are copied like pending
messages.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Any

from honeybarrow.clocks import Clocks
from honeybarrow.events import AttemptStatus
from honeybarrow.log_timeline import ClockAnchor, start_timeline
from honeybarrow.node.log_records import (
    decode_records,
    encode_record,
    max_bytes_of_acceptance,
    max_bytes_of_message,
)
from honeybarrow.node.log_space import MAX_COPIED_SEGMENTS, CompactionRounds, LogSpace
from honeybarrow.node.remembered_ids import AcceptedIds, RememberedId, RememberedIds
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

SEGMENT_COUNT = 16  # segments that fit into the size limit
MIN_SEGMENT_BYTES = 2048
MAX_ID_SHARE = 0.2  # share of the size limit for ids of messages that are completed
ID_COMPACTION_SHARE = 0.3  # share of the size limit above which segments with only such ids are removed
MAX_IDS_PER_RECORD = 500
_UNWRITTEN_SEGMENT = -1  # segment number of messages whose acceptance is not committed yet
log = logging.getLogger("honeybarrow.node")


def _do_nothing(is_available: bool) -> None: ...


class WriteAheadLog:
    """A log of accepted messages; implements :class:`honeybarrow.ports.MessageLog`.

    :param folder: directory of the segment files
    :param max_bytes: limit of the total size of all segments
    :param id_retention_us: how long the id of a message is remembered after its acceptance

    After a failed write the log is unavailable until a write succeeds. Meanwhile no message is accepted, and
    all other records are queued in order.
    """

    def __init__(self, folder: str, max_bytes: int, clocks: Clocks, id_retention_us: int = 0) -> None:
        self.files, self.max_bytes, self._clocks = SegmentFiles(folder), max_bytes, clocks
        self.max_segment_bytes = max(MIN_SEGMENT_BYTES, max_bytes // SEGMENT_COUNT)
        self.pending_messages = PendingMessages()
        self.is_loaded = False
        self.is_available = True  # whether the last write succeeded
        self.on_availability_changed: Callable[[bool], object] = _do_nothing
        self._unavailable_since_us = 0
        self._failed_operations: set[str] = set()  # already logged, not yet succeeded again
        self._uncommitted: list[LogRecord] = []
        self._segment_of_message: dict[str, int] = {}  # segment of its acceptance record
        self._messages_in_segment: dict[int, dict[str, None]] = {}
        self._ids_in_segment: dict[int, list[str]] = {}
        self._newest_id_us: dict[int, int] = {}  # latest expiry of the ids in a segment
        self._loaded_ids: list[RememberedId] = []  # of earlier processes, until log time is known
        self.remembered_ids = RememberedIds(id_retention_us, int(MAX_ID_SHARE * max_bytes))
        self.space = LogSpace(max_bytes)
        self._compaction = CompactionRounds(max_bytes)
        self._last_sequence_number = 0  # number of the last accepted message, continued across restarts
        self._newest_time_us: int | None = None  # latest log time in any record
        self._anchor: ClockAnchor | None = None  # last anchor read from the newest segment
        self.incarnation = 0  # unique among the processes that used the folder; 0 until loaded
        self.timeline = start_timeline(None, None, clocks.read())
        self.load()

    def now_us(self) -> int:
        """Return the current log time in microseconds; see :mod:`honeybarrow.log_timeline`."""
        return self.timeline.to_log_time_us(self._clocks.monotonic_us())

    # loading

    def load(self) -> bool:
        """Read the records of earlier processes.

        Return whether the log is loaded. No record may be appended before it is.
        """
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
        self._restore_ids()
        self.incarnation = self.files.newest + 1
        self.is_loaded = True
        self._begin_segment()
        return True

    def _restore_ids(self) -> None:
        """Remember the ids of earlier processes whose time is not over."""
        now_us = self.now_us()
        for loaded in self._loaded_ids:
            if loaded.expires_at_us > now_us:
                latest_us = now_us + self.remembered_ids.retention_us
                self.remembered_ids.restore(
                    replace(loaded, expires_at_us=min(loaded.expires_at_us, latest_us))
                )
        self._loaded_ids.clear()

    def _apply_segment(self, segment: Segment) -> None:
        for number, record in enumerate(decode_records(segment.data)):
            if isinstance(record, ClockAnchor):
                self._update_newest_time(record.log_time_us)
                self._anchor = record
            elif isinstance(record, AcceptedIds):
                self._apply_ids(record, segment.number)
            else:
                # A segment without an anchor at its start was written by a version without anchors.
                self._anchor = self._anchor if number else None
                self._apply_record(record, segment.number)

    def _apply_ids(self, record: AcceptedIds, segment: int) -> None:
        for each in record.ids:
            self._add_id(segment, each)
        if not self.is_loaded:
            self._loaded_ids += record.ids

    def _add_id(self, segment: int, remembered: RememberedId) -> None:
        self._ids_in_segment.setdefault(segment, []).append(remembered.message)
        newest_us = max(self._newest_id_us.get(segment, 0), remembered.expires_at_us)
        self._newest_id_us[segment] = newest_us

    def _remember(self, record: MessageAccepted, segment: int) -> None:
        """Remember the id of an accepted message; its time of acceptance is not recorded."""
        retention_us = self.remembered_ids.retention_us
        if not self.is_loaded:
            loaded = RememberedId(record.message, record.expires_at_us + retention_us)
            self._loaded_ids.append(loaded)
            self._add_id(segment, loaded)
        elif retention_us:
            now_us = self.now_us()
            self.remembered_ids.remember(record.message, now_us)
            self._add_id(segment, RememberedId(record.message, now_us + retention_us))

    def _apply_record(self, record: LogRecord, segment: int) -> None:
        message = record.message
        self.pending_messages.apply(record)
        if isinstance(record, MessageAccepted):
            self._remember(record, segment)
            self._last_sequence_number = max(self._last_sequence_number, record.sequence_number)
            self._remove_from_segment(message)
            self._segment_of_message[message] = segment
            self._messages_in_segment.setdefault(segment, {})[message] = None
            self.space.on_written(message, lambda: max_bytes_of_acceptance(record))
        elif isinstance(record, MessageCompleted):
            self._remove_from_segment(message)
            self.space.on_completed(message)
        elif isinstance(record, AttemptStarted):
            self._update_newest_time(record.started_at_us)

    def _update_newest_time(self, log_time_us: int) -> None:
        newest_us = self._newest_time_us
        self._newest_time_us = log_time_us if newest_us is None else max(newest_us, log_time_us)

    def _remove_from_segment(self, message: str) -> None:
        segment = self._segment_of_message.pop(message, None)
        if segment is not None:
            del self._messages_in_segment[segment][message]

    # capacity

    @property
    def disk_usage_bytes(self) -> int:
        """Disk usage of all segments in bytes, counted in whole blocks."""
        return self.files.disk_usage_bytes

    @property
    def waiting_record_count(self) -> int:
        """Number of records that are not committed yet."""
        return len(self._uncommitted)

    def try_reserve(self, message: str, body_bytes: int, texts: Iterable[str] = ()) -> bool:
        """Reserve space for all records of a message, until its acceptance is written or it is released.

        ``texts`` are the other texts of its acceptance, see :func:`log_records.max_bytes_of_message`. Return
        whether there was enough space.
        """
        size = max_bytes_of_message(message, body_bytes, texts)
        return self.space.try_reserve(message, size, self.files.disk_usage_bytes)

    def release_reservation(self, message: str) -> None:
        """End the reservation of a message that is not accepted; do nothing if its acceptance is written."""
        self.space.release(message)

    # appending

    def append(self, record: LogRecord) -> None:
        """Queue a record for the next commit; records of unknown messages are dropped."""
        if isinstance(record, MessageAccepted):
            self._uncommitted.append(record)
            self._segment_of_message.setdefault(record.message, _UNWRITTEN_SEGMENT)
            self._messages_in_segment.setdefault(_UNWRITTEN_SEGMENT, {})[record.message] = None
        elif record.message in self._segment_of_message:
            self._uncommitted.append(record)

    def record_accepted(self, submission: Any) -> None:
        """Append the acceptance of a message, unless it was resumed from this log."""
        if submission.message in self._segment_of_message:
            return
        payload, age_us = submission.payload, submission.ambiguous_age_us
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
                submission.attempts,
                None if age_us is None else self.now_us() - age_us,
                order_key=payload.order_key,
                sequence_number=self._last_sequence_number,
            )
        )

    def record_attempt_started(self, message: str, attempt: int, is_required: bool = True) -> bool:
        """Commit the start of an attempt immediately and return whether it is on disk.

        If the write fails and ``is_required`` is set, the record is dropped and the attempt must not start.
        """
        record = AttemptStarted(message, attempt, self.now_us())
        self.append(record)
        is_committed = self.commit()
        if not is_committed and is_required:
            self._uncommitted = [each for each in self._uncommitted if each is not record]
        return is_committed

    def record_attempt_finished(
        self, message: str, attempt: int, status: AttemptStatus, not_run: bool
    ) -> None:
        """Append the end of a failed attempt; a successful one is recorded as a completion."""
        if status is not AttemptStatus.OK:
            self.append(AttemptFinished(message, attempt, not_run))

    def record_final_result(self, result: FinalResult) -> None:
        """Append a final result that has to be notified."""
        self.append(result)

    def record_completed(self, message: str) -> None:
        """Append the completion of a message."""
        self.append(MessageCompleted(message))

    def commit(self) -> bool:
        """Write all queued records in one write and return whether they are on disk.

        If the write fails, acceptances are dropped, because their clients have not been answered yet; all
        other records stay queued for the next commit.
        """
        if not self._uncommitted:
            return True
        records, self._uncommitted = self._uncommitted, []
        self.remembered_ids.drop_expired(self.now_us())
        if not self._write_records(records):
            for record in records:
                if isinstance(record, MessageAccepted):
                    self._remove_from_segment(record.message)
                    self.space.release(record.message)
            self._uncommitted = [each for each in records if each.message in self._segment_of_message]
            return False
        self._remove_old_segments()
        return True

    def retry(self) -> bool:
        """Try to write the queued records, or an anchor if there are none; return whether it succeeded."""
        return self.commit() if self._uncommitted else self._write_records([])

    # segments

    def _write_records(self, records: Sequence[LogRecord | AcceptedIds]) -> bool:
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
            if isinstance(record, AcceptedIds):
                self._apply_ids(record, segment)
            else:
                self._apply_record(record, segment)
        if self.files.sizes[segment] >= self.max_segment_bytes:
            self._begin_segment()
        self._on_write_succeeded(len(records))
        return True

    def _make_anchor(self) -> ClockAnchor:
        reading = self._clocks.read()
        return ClockAnchor(reading, self.timeline.to_log_time_us(reading.monotonic_us))

    def _begin_segment(self) -> None:
        """Start a new segment; if it can't be created, continue in the current one."""
        try:
            self.files.open_next()
        except OSError as error:
            self._log_failure("segment_create_failed", error)
        else:
            self._failed_operations.discard("segment_create_failed")

    def _remove_old_segments(self) -> None:
        """Remove segments without pending messages, oldest first; copy those of a few others before.

        A segment that is not removed stays for the next commit.
        """
        copied_count = 0
        while len(self.files.sizes) > 1:
            oldest = next(iter(self.files.sizes))
            if self._messages_in_segment.get(oldest):
                if copied_count == MAX_COPIED_SEGMENTS or not self._copy_segment(oldest):
                    return
                copied_count += 1
            if self._has_remembered_ids(oldest):
                if copied_count == MAX_COPIED_SEGMENTS or not self._copy_ids(oldest):
                    return
                copied_count += 1
            if not self._remove_segment(oldest):
                return

    def _has_remembered_ids(self, segment: int) -> bool:
        """Return whether an id may be remembered that no later segment holds; called with each commit."""
        ids = self._ids_in_segment.get(segment)
        return bool(ids) and self._newest_id_us.get(segment, 0) > self.now_us()

    def _copy_ids(self, segment: int) -> bool:
        """Copy the remembered ids of the oldest segment to the newest one, if the segment has to go.

        Return whether the segment may be removed. Those of an earlier process always go.
        """
        needs_space = self.files.disk_usage_bytes >= ID_COMPACTION_SHARE * self.max_bytes
        if not needs_space and segment >= self.incarnation:
            return False
        remembered = self.remembered_ids.select(self._ids_in_segment[segment])
        parts = [
            AcceptedIds(tuple(remembered[start : start + MAX_IDS_PER_RECORD]))
            for start in range(0, len(remembered), MAX_IDS_PER_RECORD)
        ]
        return not parts or self._write_records(parts)

    def _copy_segment(self, segment: int) -> bool:
        """Copy the pending messages of the oldest segment to the newest one, if that can free enough space.

        Return whether the segment may be removed.
        """
        if not self._compaction.may_copy(
            segment, self.files.newest, self.files.disk_usage_bytes, self.space.pending_bytes
        ):
            return False
        pending = [self.pending_messages.by_id[message] for message in self._messages_in_segment[segment]]
        # If the write fails, the segment still holds the only record of its pending messages.
        return self._write_records([each.to_record() for each in pending])

    def _remove_segment(self, segment: int) -> bool:
        """Remove the oldest segment and return whether that succeeded.

        After a failure later segments stay too: removing the record of a completion before the record of its
        acceptance would make the message pending again after a restart.
        """
        try:
            self.files.remove(segment)
        except OSError as error:
            self._log_failure("segment_remove_failed", error)
            return False
        self._failed_operations.discard("segment_remove_failed")
        self._messages_in_segment.pop(segment, None)
        self._ids_in_segment.pop(segment, None)
        self._newest_id_us.pop(segment, None)
        return True

    def close(self) -> None:
        """Commit the queued records and close the newest segment."""
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
        """Log a failed operation once until it succeeds."""
        if operation not in self._failed_operations:
            self._failed_operations.add(operation)
            log.error("%s error=%s retrying=True", operation, error)
