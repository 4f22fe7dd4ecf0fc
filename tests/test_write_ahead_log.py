"""Write-ahead log: record encoding, damaged files, full disks, the size limit and compaction."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow.events import AttemptStatus
from honeybarrow.node.http_call import HttpPayload
from honeybarrow.node.log_records import (
    decode_records,
    encode_record,
    max_bytes_of_acceptance,
    max_bytes_of_message,
)
from honeybarrow.node.log_space import MAX_PENDING_SHARE
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import (
    AttemptFinished,
    AttemptStarted,
    DecidedResult,
    FinalResult,
    InFlightAttempt,
    LogRecord,
    MessageAccepted,
    MessageCompleted,
    PendingMessages,
    ResumedMessage,
    plan_recovery,
)
from honeybarrow.settings import MessageClass
from tests.helpers import SECOND, make_clocks

RECORDS: list[LogRecord] = [
    MessageAccepted(
        "m",
        "pay",
        3,
        1 << 50,
        "täht",
        "k",
        bytes(range(256)),
        2,
        77,
        (InFlightAttempt(1, 88),),
        DecidedResult(True, 5),
    ),
    MessageAccepted("n", "note", 3, 5, "", "", b""),
    MessageAccepted("o", "step", 3, 5, "", "", b"", order_key="0000dfaf"),
    AttemptStarted("m", 3, 1 << 50),
    AttemptFinished("m", 3, True),
    FinalResult("m", True, 500),
    MessageCompleted("m"),
]


def test_decoding_restores_the_encoded_records() -> None:
    assert list(decode_records(b"".join(map(encode_record, RECORDS)))) == RECORDS


def test_decoding_ends_at_a_torn_or_damaged_record() -> None:
    data = b"".join(map(encode_record, RECORDS))
    first_size = len(encode_record(RECORDS[0]))
    for cut in range(len(data)):
        read = list(decode_records(data[:cut]))
        assert read == RECORDS[: len(read)] and (cut < first_size) == (not read)
        damaged = data[:cut] + bytes([data[cut] ^ 0x55]) + data[cut + 1 :]
        read = list(decode_records(damaged))
        assert read == RECORDS[: len(read)] and len(read) < len(RECORDS)


class Submission:
    """The attributes of a submission that the log reads."""

    class_name, destination, tenant = "note", 1, "t"
    attempts, ambiguous_age_us = 0, None

    def __init__(self, message: str, body: bytes = b"body") -> None:
        self.message, self.payload = message, HttpPayload(message, "k", body, 10 * SECOND)


def open_log(folder: Path, max_bytes: int = 60_000) -> WriteAheadLog:
    return WriteAheadLog(str(folder), max_bytes, make_clocks(lambda: SECOND))


def test_committed_records_survive_a_process_that_did_not_close_its_log(tmp_path: Path) -> None:
    log = open_log(tmp_path)
    for name in ("a", "b", "c"):
        log.record_accepted(Submission(name))
    log.record_attempt_started("b", 0)
    log.record_completed("c")
    log.commit()
    log.record_accepted(Submission("lost"))  # never committed
    pending = open_log(tmp_path).pending_messages.by_id
    assert list(pending) == ["a", "b"] and pending["b"].in_flight == {0: SECOND}


def test_the_log_opens_despite_garbage_and_foreign_files(tmp_path: Path) -> None:
    log = open_log(tmp_path)
    log.record_accepted(Submission("a"))
    log.commit()
    (tmp_path / "journal-00000000").write_bytes(os.urandom(3000))
    (tmp_path / "journal-x").write_bytes(b"?")
    (tmp_path / "other").write_bytes(b"?")
    with open(tmp_path / "journal-00000001", "ab") as file:
        file.write(b"\x07\x00\x00\x00torn")
    again = open_log(tmp_path)
    assert list(again.pending_messages.by_id) == ["a"]
    again.record_accepted(Submission("b"))
    again.commit()
    assert list(open_log(tmp_path).pending_messages.by_id) == ["a", "b"]


def disk_usage(folder: Path) -> int:
    return sum(-(-path.stat().st_size // 512) * 512 for path in folder.iterdir())


@pytest.mark.parametrize("seed", range(5))
def test_files_stay_within_the_size_limit_and_keep_all_pending_messages(tmp_path: Path, seed: int) -> None:
    rng, max_bytes = random.Random(seed), 60_000
    log, expected = open_log(tmp_path, max_bytes), dict[str, int]()
    rejected = 0
    for number in range(1500):
        name = f"m{number}"
        body = bytes(rng.randrange(3000))
        if log.try_reserve(name, len(body)):
            log.record_accepted(Submission(name, body))
            expected[name] = 0
        else:
            rejected += 1
        for other in rng.sample(sorted(expected), min(len(expected), 3)):
            if rng.random() < 0.35 and other != "m3":  # stays pending to the end
                log.record_completed(other)
                del expected[other]
            else:
                log.record_attempt_started(other, expected[other])
                log.record_attempt_finished(other, expected[other], AttemptStatus.ERROR, True)
                expected[other] += 1
        log.commit()
        assert disk_usage(tmp_path) <= max_bytes and log.disk_usage_bytes == disk_usage(tmp_path)
        if number % 100 == 0:
            read = open_log(tmp_path, max_bytes)
            found = {message: each.attempt_count for message, each in read.pending_messages.by_id.items()}
            assert found == expected
            log = read
    assert rejected and len(list(tmp_path.iterdir())) < 40


def test_compaction_keeps_the_order_of_acceptance_over_restarts(tmp_path: Path) -> None:
    """Guards against recovery that orders a message copied by compaction as the last accepted one."""
    log = open_log(tmp_path)

    def complete_messages_until(name: str, condition: Callable[[], bool]) -> None:
        for number in range(200):
            if condition():
                return
            log.record_accepted(Submission(f"{name}{number}", bytes(900)))
            log.record_completed(f"{name}{number}")
            log.commit()
        raise AssertionError("no segment was compacted")

    for name in ("first", "second"):
        log.record_accepted(Submission(name))
        log.commit()
        size = len(log.files.sizes)
        complete_messages_until(f"after-{name}-", lambda size=size: len(log.files.sizes) > size)  # type: ignore[misc]
    complete_messages_until(
        "on-", lambda: log._segment_of_message["first"] > log._segment_of_message["second"]
    )
    log = open_log(tmp_path)  # as the next process does
    assert list(log.pending_messages.by_id) == ["second", "first"]
    log.record_accepted(Submission("third"))
    log.commit()
    pending = open_log(tmp_path).pending_messages.by_id.values()
    steps = plan_recovery(pending, {"note": MessageClass("note", SECOND, 20 * SECOND)}, SECOND)
    assert [step.accepted.message for step in steps if isinstance(step, ResumedMessage)] == [
        "first",
        "second",
        "third",
    ]


class Disk:
    """A disk with ``free_bytes`` left; unlimited if ``None``."""

    def __init__(self, patch: Any) -> None:
        self.free_bytes: int | None = None
        self._write = os.write
        patch.setattr(os, "write", self.write)

    def write(self, descriptor: int, data: bytes) -> int:
        if self.free_bytes is None:
            return self._write(descriptor, data)
        if self.free_bytes == 0:
            raise OSError(28, "no space")
        part, self.free_bytes = data[: self.free_bytes], max(0, self.free_bytes - len(data))
        return self._write(descriptor, part)


@pytest.mark.parametrize("free_bytes", [0, 40])
def test_a_full_disk_makes_the_log_unavailable_without_loss_until_space_is_free(
    tmp_path: Path, monkeypatch: Any, free_bytes: int
) -> None:
    disk, log = Disk(monkeypatch), open_log(tmp_path)
    log.record_accepted(Submission("old"))
    log.record_accepted(Submission("done"))
    assert log.commit()
    disk.free_bytes = free_bytes
    log.record_accepted(Submission("new"))
    log.record_attempt_started("new", 0)
    log.record_completed("done")
    assert not log.commit() and not log.is_available
    assert sorted(open_log(tmp_path).pending_messages.by_id) == ["done", "old"]
    disk.free_bytes = None
    log.record_attempt_started("old", 0)
    assert log.commit() and log.is_available
    pending = open_log(tmp_path).pending_messages.by_id
    assert list(pending) == ["old"] and list(pending["old"].in_flight) == [0]


def test_a_segment_is_kept_if_its_compaction_fails(tmp_path: Path, monkeypatch: Any) -> None:
    disk, log = Disk(monkeypatch), open_log(tmp_path)
    log.record_accepted(Submission("old", bytes(2000)))
    log.commit()
    write = log._write_records

    def write_unless_compacting(records: list[LogRecord]) -> bool:
        disk.free_bytes = (
            0
            if any(isinstance(each, MessageAccepted) and each.message == "old" for each in records)
            else None
        )
        return write(records)

    monkeypatch.setattr(log, "_write_records", write_unless_compacting)
    for number in range(25):  # beyond the size at which compaction starts
        log.record_accepted(Submission(f"m{number}", bytes(2000)))
        log.record_completed(f"m{number}")
        log.commit()
    disk.free_bytes = None
    assert list(open_log(tmp_path).pending_messages.by_id) == ["old"]


def test_messages_completed_before_a_restart_use_no_capacity_after_it(tmp_path: Path) -> None:
    log = open_log(tmp_path)
    log.record_accepted(Submission("first"))  # prevents the removal of later segments
    for number in range(20):
        name = f"m{number}"
        log.record_accepted(Submission(name, bytes(1000)))
        log.record_completed(name)
        log.commit()
    again = open_log(tmp_path)
    assert list(again.pending_messages.by_id) == ["first"] and again.try_reserve("new", 18_000)


@pytest.mark.parametrize("writer", ["completion", "attempt", "commit", "acceptance"])
def test_a_commit_of_other_records_releases_no_reservation(tmp_path: Path, writer: str) -> None:
    """Guards against review case 2: messages admitted beyond the share, and a turn that never ended."""
    log, max_bytes = open_log(tmp_path, 2_400_000), 2_400_000
    log.record_accepted(Submission("earlier"))
    log.commit()
    reserved = [name for name in (f"a{number}" for number in range(17)) if log.try_reserve(name, 48_000)]
    if writer == "completion":
        log.record_completed("earlier")
    elif writer == "attempt":
        log.record_attempt_started("earlier", 0)
    elif writer == "acceptance":
        log.record_accepted(Submission(reserved.pop(), bytes(48_000)))
    log.commit()
    reserved += [name for name in (f"b{number}" for number in range(17)) if log.try_reserve(name, 48_000)]
    assert len(reserved) * 48_000 <= MAX_PENDING_SHARE * max_bytes
    for name in reserved:
        log.record_accepted(Submission(name, bytes(48_000)))
    log.commit()
    assert log.space.reserved_bytes == 0
    assert log.space.pending_bytes <= MAX_PENDING_SHARE * max_bytes


def test_a_reservation_ends_with_its_message(tmp_path: Path, monkeypatch: Any) -> None:
    disk, log = Disk(monkeypatch), open_log(tmp_path)
    for _ in range(3):  # given up, not written, written and completed: each leaves all of the space
        assert log.try_reserve("given up", 18_000) and not log.try_reserve("other", 18_000)
        log.release_reservation("given up")
        assert log.try_reserve("not written", 18_000)
        log.record_accepted(Submission("not written", bytes(18_000)))
        disk.free_bytes = 0
        assert not log.commit()
        disk.free_bytes = None
        assert log.try_reserve("written", 18_000)
        log.record_accepted(Submission("written", bytes(18_000)))
        assert log.commit() and not log.try_reserve("other", 18_000)
        log.record_completed("written")
        assert log.commit()


CHARACTERS = st.sampled_from(["a", '"', "\\", "\t", "\xe4"])
TEXTS = st.builds(lambda character, length: character * length, CHARACTERS, st.integers(0, 3000))
NUMBERS = st.integers(0, 1 << 62)


@given(
    st.tuples(TEXTS, TEXTS, TEXTS, TEXTS, TEXTS),
    st.binary(max_size=80),
    st.lists(st.tuples(st.integers(0, 0xFFFF), NUMBERS, st.booleans(), st.booleans()), max_size=20),
    NUMBERS,
    st.booleans(),
)
def test_the_reserved_size_covers_the_records_of_a_message(
    texts: tuple[str, ...],
    body: bytes,
    attempts: list[tuple[int, int, bool, bool]],
    number: int,
    is_returned: bool,
) -> None:
    """Guards against records that are larger than their reservation, by long tenants, keys or histories."""
    message, class_name, tenant, key, order_key = texts
    messages = PendingMessages()
    messages.apply(
        MessageAccepted(message, class_name, number, number, tenant, key, body, 0, None, order_key=order_key)
    )
    first_us = None
    for attempt, started_us, is_finished, not_run in attempts:
        messages.apply(AttemptStarted(message, attempt, started_us))
        if is_finished:
            messages.apply(AttemptFinished(message, attempt, not_run))
        first_us = messages.by_id[message].first_ambiguous_start_us()
    messages.apply(FinalResult(message, is_returned, number))
    copied = messages.by_id[message].to_record()
    later = (AttemptStarted(message, 0xFFFF, number), FinalResult(message, is_returned, number))
    size = sum(len(encode_record(each)) for each in (copied, *later, MessageCompleted(message)))
    assert size <= max_bytes_of_message(message, len(body), texts[1:]) == max_bytes_of_acceptance(copied)
    messages.apply(copied)
    assert messages.by_id[message].first_ambiguous_start_us() == first_us
