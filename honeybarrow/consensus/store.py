"""Storage of a member's term, vote, entries and snapshot in a folder, written by a separate thread.

The folder holds two data files. ``disk`` contains the disk id and the number of starts from it. ``log``
contains one record per update, each with its length and a checksum. On a snapshot and at each start, the log
is rewritten as a single record that atomically replaces the old file. An update counts as persisted once the
file is synced.

At a start, all complete records are read. A partial record at the end is dropped: the process died while
writing it, so it was never acknowledged. Any other unreadable content raises :class:`StoreCorruptedError`. A
voter does not vote with what is left of a corrupted log, since a vote of its own may be missing from it.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

from honeybarrow.consensus.actions import PersistState
from honeybarrow.consensus.log_entries import LogEntry, Snapshot
from honeybarrow.consensus.messages import INCARNATION_NONCE_BITS
from honeybarrow.consensus.persistent_state import PersistentState
from honeybarrow.consensus.writer import WriterStats, WriterThread
from honeybarrow.errors import HoneybarrowError

RECORD_LENGTH_BYTES = 4
RECORD_HEADER_BYTES = 12  # length and checksum
MAX_RECORD_BYTES = 64 << 20
MAX_LOG_FILE_BYTES = 16 << 20  # size beyond which the log file is rewritten
LOCK_FILE, DISK_FILE, LOG_FILE = "lock", "disk", "log"


class StoreCorruptedError(HoneybarrowError):
    """The consensus folder contains unreadable data, so votes of this member may be lost."""

    code = "HB511"
    remedy = (
        "move the folder away, start with an empty one, and add the member again with 'honeybarrow fleet'"
    )


class StoreLockedError(HoneybarrowError):
    """The consensus folder is in use by another process."""

    code = "HB512"
    remedy = "stop the other process, or configure a separate folder for this forwarder"
    status = 2


class StoreWriteError(HoneybarrowError):
    """The consensus folder can't be written. The member runs on without voting or persisting updates."""

    code = "HB513"
    remedy = "free space on the disk or give the user write permission, and restart the member"


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """One update, encoded as an array. The order of the fields is part of the file format."""

    sequence_number: int
    term: int
    voted_for: str
    commit_index: int
    first_index: int
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


class _DiskRecord(msgspec.Struct, frozen=True):
    """The ``disk`` file, a JSON object. The encoded field names are part of the file format."""

    disk_id: int = msgspec.field(name="disk")
    start_count: int = msgspec.field(name="starts")


class DecodedLog(NamedTuple):
    """The state after all complete records, and their size in bytes."""

    state: PersistentState
    size_bytes: int


_encoder = msgspec.msgpack.Encoder()


def encode_record(update: PersistState) -> bytes:
    """Return one record: length, checksum and content."""
    data = _encoder.encode(
        _Record(
            update.sequence_number,
            update.term,
            update.voted_for,
            update.commit_index,
            update.first_index,
            update.entries,
            update.snapshot,
        )
    )
    return len(data).to_bytes(RECORD_LENGTH_BYTES, "big") + xxhash.xxh3_64_digest(data) + data


def decode_records(data: bytes) -> DecodedLog:
    """Decode all complete records, and ignore a partial one at the end.

    :raises StoreCorruptedError: if any other record is invalid.
    """
    state, offset = PersistentState(), 0
    while offset < len(data):
        body_offset = offset + RECORD_HEADER_BYTES
        size_bytes = int.from_bytes(data[offset : offset + RECORD_LENGTH_BYTES], "big")
        body = data[body_offset : body_offset + size_bytes]
        if body_offset + size_bytes > len(data) and size_bytes <= MAX_RECORD_BYTES:
            break
        if not data[offset:].strip(b"\0"):
            break  # the file was extended, but its new bytes were not written before a crash
        checksum = data[offset + RECORD_LENGTH_BYTES : body_offset]
        if size_bytes > MAX_RECORD_BYTES or xxhash.xxh3_64_digest(body) != checksum:
            raise StoreCorruptedError(
                "consensus log", f"the record at byte {offset} has an invalid length or checksum"
            )
        try:
            record = msgspec.msgpack.decode(body, type=_Record)
        except msgspec.DecodeError as error:
            raise StoreCorruptedError(
                "consensus log", f"the record at byte {offset} can't be decoded: {error}"
            ) from None
        if record.sequence_number < state.sequence_number:
            raise StoreCorruptedError(
                "consensus log",
                f"the record at byte {offset} has sequence number {record.sequence_number}, but follows "
                f"number {state.sequence_number}",
            )
        state.apply_update(PersistState(*(getattr(record, name) for name in _Record.__struct_fields__)))
        offset = body_offset + size_bytes
    return DecodedLog(state, offset)


class ConsensusStore:
    """The persistent storage of one member.

    ``on_persisted(sequence_number)`` and ``on_failed(error)`` are called in the reactor's thread, through
    ``call_in_reactor(function, *arguments)``.

    :raises StoreLockedError: if another process uses the folder.
    :raises StoreCorruptedError: if the folder contains unreadable data.
    :raises StoreWriteError: if the folder can't be written.
    """

    def __init__(
        self,
        folder: Path,
        on_persisted: Callable[[int], None],
        on_failed: Callable[[StoreWriteError], None],
        call_in_reactor: Callable[..., object],
        max_log_file_bytes: int = MAX_LOG_FILE_BYTES,
    ) -> None:
        self.folder, self.max_log_file_bytes = folder, max_log_file_bytes
        self._on_persisted, self._on_failed = on_persisted, on_failed
        self._call_in_reactor = call_in_reactor
        self._lock_fd = self._take_lock()
        try:
            self._open_files()
        except OSError as error:
            os.close(self._lock_fd)
            raise StoreWriteError(str(folder), error.strerror or str(error)) from None
        except StoreCorruptedError:
            os.close(self._lock_fd)
            raise
        self._unreported_sequences: list[int] = []  # used by the reactor's thread only
        self._reported_count, self._has_failed = 0, False
        self._writer: WriterThread[PersistState] = WriterThread(
            self._write_batch, self._on_batch_persisted, self._on_write_failed
        )
        self._writer.start()

    @property
    def incarnation(self) -> int:
        """The current incarnation; see :class:`honeybarrow.consensus.messages.VoterIdentity`."""
        return (self.start_count << INCARNATION_NONCE_BITS) + self._incarnation_nonce

    def persist(self, update: PersistState) -> None:
        """Queue an update to be persisted. ``on_persisted`` is called later, in the reactor's thread."""
        if not self._has_failed:
            self._unreported_sequences.append(update.sequence_number)
            self._writer.submit(update)

    def get_writer_stats(self) -> WriterStats:
        """Return the counts of the writer thread. May be called from any thread."""
        return self._writer.get_stats()

    def close(self) -> None:
        """Write all queued updates, and release the folder."""
        self._writer.close()
        os.close(self._log_fd)
        os.close(self._lock_fd)

    # --- opening

    def _take_lock(self) -> int:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StoreWriteError(str(self.folder), error.strerror or str(error)) from None
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise StoreLockedError(
                str(self.folder), "another process holds the lock of this folder"
            ) from None
        return fd

    def _open_files(self) -> None:
        self.disk_id, self.start_count = self._record_start()
        path = self.folder / LOG_FILE
        self.persistent_state = decode_records(path.read_bytes() if path.exists() else b"").state
        # The content of the log file, used by the writer thread to rewrite it.
        self._file_state = self.persistent_state.copy()
        self._log_fd, self._log_file_bytes = -1, 0
        self._rewrite_log()

    def _record_start(self) -> tuple[int, int]:
        path = self.folder / DISK_FILE
        if path.exists():
            try:
                known = msgspec.json.decode(path.read_bytes(), type=_DiskRecord)
            except msgspec.DecodeError as error:
                raise StoreCorruptedError(str(path), str(error)) from None
        elif (self.folder / LOG_FILE).exists():
            raise StoreCorruptedError(str(path), f"the file is missing, but {LOG_FILE!r} exists")
        else:
            known = _DiskRecord(secrets.randbits(53), 0)
        self._incarnation_nonce = secrets.randbits(INCARNATION_NONCE_BITS)
        new = _DiskRecord(known.disk_id, known.start_count + 1)
        os.close(self._replace_file(DISK_FILE, msgspec.json.encode(new)))
        return new.disk_id, new.start_count

    def _replace_file(self, name: str, data: bytes) -> int:
        """Atomically replace a file, and return the open descriptor of the new one."""
        path = self.folder / f"{name}.new"
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            _write_all(fd, data)
            os.fsync(fd)
            os.replace(path, self.folder / name)
            folder_fd = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(folder_fd)
            finally:
                os.close(folder_fd)
        except OSError:
            os.close(fd)
            raise
        return fd

    def _rewrite_log(self) -> None:
        has_content = self._file_state.sequence_number > 0
        data = encode_record(self._file_state.to_single_update()) if has_content else b""
        fd = self._replace_file(LOG_FILE, data)
        if self._log_fd >= 0:
            os.close(self._log_fd)
        self._log_fd, self._log_file_bytes = fd, len(data)

    # --- writer thread

    def _write_batch(self, updates: list[PersistState]) -> None:
        for update in updates:
            self._file_state.apply_update(update)
        data = b"".join(map(encode_record, updates))
        is_too_long = self._log_file_bytes + len(data) > self.max_log_file_bytes
        if is_too_long or any(update.snapshot is not None for update in updates):
            self._rewrite_log()
            return
        _write_all(self._log_fd, data)
        os.fsync(self._log_fd)
        self._log_file_bytes += len(data)

    def _on_batch_persisted(self, count: int) -> None:
        self._call_in_reactor(self._report_persisted, count)

    def _on_write_failed(self, error: OSError) -> None:
        failure = StoreWriteError(str(self.folder), error.strerror or str(error))
        self._call_in_reactor(self._report_failure, failure)

    # --- reactor thread

    def _report_failure(self, error: StoreWriteError) -> None:
        self._has_failed, self._unreported_sequences = True, []
        self._on_failed(error)

    def _report_persisted(self, count: int) -> None:
        new_count = count - self._reported_count
        sequence_number = self._unreported_sequences[new_count - 1]
        self._unreported_sequences = self._unreported_sequences[new_count:]
        self._reported_count = count
        self._on_persisted(sequence_number)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
