"""Binary encoding of write-ahead log records: length, CRC-32, type code, content.

Decoding stops at the first record that is truncated, corrupt or of an unknown type.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

from honeybarrow.log_timeline import ClockAnchor, ClockReading
from honeybarrow.node.remembered_ids import AcceptedIds, RememberedId
from honeybarrow.recovery import (
    MAX_UNFINISHED_ATTEMPTS,
    AttemptFinished,
    AttemptStarted,
    DecidedResult,
    FinalResult,
    InFlightAttempt,
    LogRecord,
    MessageAccepted,
    MessageCompleted,
)

# Type codes and layouts are stored on disk; the decoder has to keep reading every earlier layout.
_RECORD_HEADER = struct.Struct("<II")  # length and CRC-32 of the payload
_ATTEMPT_STARTED = struct.Struct("<cHQ")  # type code, attempt, start in microseconds; message id follows
_ATTEMPT_FINISHED = struct.Struct("<cH?")  # type code, attempt, not run; message id follows
_FINAL_RESULT = struct.Struct("<c?I")  # type code, is returned, retry delay in ms; message id follows
_MESSAGE_ACCEPTED = struct.Struct("<cI")  # type code, length of the JSON fields; fields and body follow
MAX_RECORD_BYTES = 1 << 18
MAX_ATTEMPT_NUMBER = 0xFFFF
MAX_RETRY_AFTER_MS = 0xFFFFFFFF
# An anchor is encoded as the completion of a message whose id is invalid because it contains a space.
# Versions without anchors skip it; at a new type code they would stop and lose the records after it.
_ANCHOR_PREFIX = "clock "
_IDS_PREFIX = "ids "  # for the same reason


def encode_record(record: LogRecord | ClockAnchor | AcceptedIds) -> bytes:
    """Return the encoded record."""
    match record:
        case MessageAccepted():
            fields = json.dumps(_accepted_fields(record), separators=(",", ":")).encode()
            payload = _MESSAGE_ACCEPTED.pack(b"T", len(fields)) + fields + record.body
        case AttemptStarted(message, attempt, started_at_us):
            payload = _ATTEMPT_STARTED.pack(b"B", attempt, started_at_us) + message.encode()
        case AttemptFinished(message, attempt, not_run):
            payload = _ATTEMPT_FINISHED.pack(b"E", attempt, not_run) + message.encode()
        case FinalResult(message, is_returned, retry_after_ms):
            capped_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
            payload = _FINAL_RESULT.pack(b"N", is_returned, capped_ms) + message.encode()
        case MessageCompleted(message):
            payload = b"O" + message.encode()
        case ClockAnchor(reading, log_time_us):
            fields = json.dumps(
                (reading.boot_id, reading.monotonic_us, reading.wall_us, log_time_us), separators=(",", ":")
            ).encode()
            payload = b"O" + _ANCHOR_PREFIX.encode() + fields
        case AcceptedIds(ids):
            rows = [(each.expires_at_us, each.message) for each in ids]
            payload = b"O" + _IDS_PREFIX.encode() + json.dumps(rows, separators=(",", ":")).encode()
    return _RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _accepted_fields(record: MessageAccepted) -> tuple[Any, ...]:
    result = record.final_result
    return (
        record.message,
        record.class_name,
        record.destination,
        record.expires_at_us,
        record.tenant,
        record.idempotency_key,
        record.attempt_count,
        record.first_ambiguous_at_us,
        [(each.attempt, each.started_at_us) for each in record.in_flight],
        None if result is None else (result.is_returned, min(result.retry_after_ms, MAX_RETRY_AFTER_MS)),
        record.order_key,
        record.sequence_number,
    )


_LARGEST_NUMBER = (1 << 63) - 1
# The longest acceptance record of a message without texts and body, as compaction copies it forward.
_LARGEST_EMPTY_ACCEPTANCE = MessageAccepted(
    message="",
    class_name="",
    destination=_LARGEST_NUMBER,
    expires_at_us=_LARGEST_NUMBER,
    tenant="",
    idempotency_key="",
    body=b"",
    attempt_count=MAX_ATTEMPT_NUMBER,
    first_ambiguous_at_us=_LARGEST_NUMBER,
    in_flight=(InFlightAttempt(MAX_ATTEMPT_NUMBER, _LARGEST_NUMBER),) * MAX_UNFINISHED_ATTEMPTS,
    final_result=DecidedResult(False, MAX_RETRY_AFTER_MS),
    sequence_number=_LARGEST_NUMBER,
)
# The records that follow it until the message is completed or copied; each ends with the message id.
_RECORDS_WITH_ID = (
    AttemptStarted("", MAX_ATTEMPT_NUMBER, _LARGEST_NUMBER),
    FinalResult("", False, MAX_RETRY_AFTER_MS),
    MessageCompleted(""),
)
_FIXED_BYTES = sum(len(encode_record(each)) for each in (_LARGEST_EMPTY_ACCEPTANCE, *_RECORDS_WITH_ID))


def max_bytes_of_message(message: str, body_bytes: int, texts: Iterable[str] = ()) -> int:
    """Return an upper bound of the size of the records of a pending message, in bytes.

    ``texts`` are the other texts of its acceptance: class, tenant, idempotency key and order key. Records of
    attempts beyond one are not counted, since compaction replaces them by the acceptance record.
    """
    text_bytes = sum(_json_bytes(text) for text in (message, *texts))
    return _FIXED_BYTES + text_bytes + len(_RECORDS_WITH_ID) * len(message.encode()) + body_bytes


def _json_bytes(text: str) -> int:
    """Return the size of a text in JSON, without its quotes."""
    return len(text) if text.isalnum() and text.isascii() else len(json.dumps(text)) - 2


def max_bytes_of_acceptance(record: MessageAccepted) -> int:
    """Return the bound of :func:`max_bytes_of_message` for the message of an acceptance record."""
    texts = (record.class_name, record.tenant, record.idempotency_key, record.order_key)
    return max_bytes_of_message(record.message, len(record.body), texts)


def decode_records(data: bytes) -> Iterator[LogRecord | ClockAnchor | AcceptedIds]:
    """Yield the records of a segment up to its end or the first invalid record."""
    offset = 0
    while offset + _RECORD_HEADER.size <= len(data):
        length, checksum = _RECORD_HEADER.unpack_from(data, offset)
        offset += _RECORD_HEADER.size
        payload = data[offset : offset + length]
        if not 0 < length <= MAX_RECORD_BYTES or len(payload) < length or zlib.crc32(payload) != checksum:
            return
        offset += length
        try:
            record = _decode_payload(payload)
        except (ValueError, TypeError, struct.error):  # written by an incompatible version
            return
        yield record


def _decode_payload(payload: bytes) -> LogRecord | ClockAnchor | AcceptedIds:
    match payload[:1]:
        case b"T":
            return _decode_accepted(payload)
        case b"B":
            _, attempt, started_at_us = _ATTEMPT_STARTED.unpack_from(payload)
            return AttemptStarted(payload[_ATTEMPT_STARTED.size :].decode(), attempt, started_at_us)
        case b"E":
            _, attempt, not_run = _ATTEMPT_FINISHED.unpack_from(payload)
            return AttemptFinished(payload[_ATTEMPT_FINISHED.size :].decode(), attempt, not_run)
        case b"N":
            _, is_returned, retry_after_ms = _FINAL_RESULT.unpack_from(payload)
            return FinalResult(payload[_FINAL_RESULT.size :].decode(), is_returned, retry_after_ms)
        case b"O":
            text = payload[1:].decode()
            if text.startswith(_IDS_PREFIX):
                return _decode_ids(text)
            return _decode_anchor(text) if text.startswith(_ANCHOR_PREFIX) else MessageCompleted(text)
    raise ValueError("unknown record type")


def _decode_anchor(text: str) -> ClockAnchor:
    boot_id, monotonic_us, wall_us, log_time_us = json.loads(text.removeprefix(_ANCHOR_PREFIX))
    return ClockAnchor(ClockReading(str(boot_id), int(monotonic_us), int(wall_us)), int(log_time_us))


def _decode_ids(text: str) -> AcceptedIds:
    rows = json.loads(text.removeprefix(_IDS_PREFIX))
    return AcceptedIds(tuple(RememberedId(str(message), int(expires_us)) for expires_us, message in rows))


def _decode_accepted(payload: bytes) -> MessageAccepted:
    start = _MESSAGE_ACCEPTED.size
    _, length = _MESSAGE_ACCEPTED.unpack_from(payload)
    message, class_name, destination, expires_at_us, tenant, idempotency_key, *history = json.loads(
        payload[start : start + length]
    )
    # Earlier versions did not write the order key and the sequence number.
    attempt_count, ambiguous_at_us, in_flight, result, *optional = history
    return MessageAccepted(
        str(message),
        str(class_name),
        int(destination),
        int(expires_at_us),
        str(tenant),
        str(idempotency_key),
        payload[start + length :],
        int(attempt_count),
        None if ambiguous_at_us is None else int(ambiguous_at_us),
        tuple(InFlightAttempt(int(attempt), int(started_us)) for attempt, started_us in in_flight),
        None if result is None else DecidedResult(bool(result[0]), int(result[1])),
        str(optional[0]) if optional else "",
        int(optional[1]) if len(optional) > 1 else 0,
    )
