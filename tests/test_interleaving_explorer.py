"""The log writer and signal delivery under all thread schedules, and writer mutants that must be detected."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

import pytest

from honeybarrow.consensus.writer import WriterStats, WriterThread
from honeybarrow.lab.interleaving_explorer import ExploredLock, InterleavingExplorer
from honeybarrow.node import signals
from tests.writer_mutants import (
    ChecksOutsideTheLock,
    CloseWithoutNotify,
    ContinuesAfterFailure,
    EndsEarly,
    ReadsStatsUnlocked,
    ReportsBeforeWriting,
)

WATCHED_FILES = ("consensus/writer.py", "writer_mutants.py")


class WriterFixture:
    """A writer on an in-memory disk, with a record of its reports."""

    def __init__(
        self,
        lock: Callable[[], ExploredLock],
        writer_type: type[WriterThread[str]],
        fails_at: int,
        items: str,
    ) -> None:
        self.items = items
        self.persisted: list[str] = []
        self.reported: list[tuple[int, int]] = []  # reported count, and items persisted at that time
        self.stats: list[WriterStats] = []
        self.writes, self.fails_at, self.failures = 0, fails_at, 0
        self.writer = writer_type(self.write, self.report, self.fail, lock)

    def write(self, items: list[str]) -> None:
        self.writes += 1
        if self.writes == self.fails_at:
            raise OSError("full")
        self.persisted += items

    def report(self, count: int) -> None:
        self.reported.append((count, len(self.persisted)))

    def fail(self, error: OSError) -> None:
        self.failures += 1

    def submit_all(self) -> None:
        """Submit all items and close, as the reactor thread does."""
        for item in self.items:
            self.writer.submit(item)
        self.writer.close()

    def read_stats(self) -> None:
        """Read the stats, as a metrics scrape does."""
        self.stats.append(self.writer.get_stats())


def find_violation(fixture: WriterFixture) -> str:
    """Describe what is wrong after all threads have ended; empty if nothing is."""
    if fixture.fails_at < 0 and (
        "".join(fixture.persisted) != fixture.items
        or not fixture.reported
        or fixture.reported[-1][0] != len(fixture.items)
    ):
        return f"persisted {fixture.persisted}; reported {fixture.reported}"
    if "".join(fixture.persisted) != fixture.items[: len(fixture.persisted)]:
        return f"items missing or out of order: {fixture.persisted}"
    if fixture.fails_at >= 0 and fixture.writes >= fixture.fails_at and fixture.failures != 1:
        return "the write failure was not reported exactly once"
    if any(count > persisted for count, persisted in fixture.reported):
        return f"reported before it was persisted: {fixture.reported}"
    if any(not 0 <= stats.persisted <= stats.submitted for stats in fixture.stats):
        return f"inconsistent stats: {fixture.stats}"
    return ""


def create_explorer(
    writer_type: type[WriterThread[str]] = WriterThread,
    fails_at: int = -1,
    items: str = "ab",
    readers: int = 0,
) -> InterleavingExplorer[WriterFixture]:
    functions: list[Callable[[WriterFixture], None]] = [
        lambda fixture: fixture.writer.run(),
        WriterFixture.submit_all,
    ]
    functions += [WriterFixture.read_stats] * readers
    return InterleavingExplorer(
        lambda lock: WriterFixture(lock, writer_type, fails_at, items),
        functions,
        find_violation,
        WATCHED_FILES,
    )


@pytest.mark.parametrize(
    ("fails_at", "items", "readers"), [(-1, "ab", 0), (1, "ab", 0), (2, "ab", 0), (-1, "a", 1)]
)
def test_writer_is_correct_in_every_schedule(fails_at: int, items: str, readers: int) -> None:
    result = create_explorer(WriterThread, fails_at, items, readers).explore_schedules()
    assert result.is_complete and not result.violation, result
    assert result.schedule_count > 50, "too few schedules were explored"


@pytest.mark.parametrize(
    ("writer_type", "fails_at", "items", "readers"),
    [
        (ReportsBeforeWriting, -1, "ab", 0),
        (ContinuesAfterFailure, 1, "ab", 0),
        (EndsEarly, -1, "ab", 0),
        (CloseWithoutNotify, -1, "ab", 0),
        (ChecksOutsideTheLock, -1, "ab", 0),
        (ReadsStatsUnlocked, -1, "a", 1),
    ],
)
def test_each_writer_mutant_fails_in_some_schedule(
    writer_type: type[WriterThread[str]], fails_at: int, items: str, readers: int
) -> None:
    result = create_explorer(writer_type, fails_at, items, readers).explore_schedules()
    assert result.violation, f"{writer_type.__name__} violated nothing in {result.schedule_count} schedules"


class SignalReceiver:
    """Records the signal requests that reach the handler."""

    def __init__(self) -> None:
        signals._pending.clear()
        signals._handler = signals._pending.append
        self.received: list[str] = []

    def install_handler(self) -> None:
        signals.deliver_to(self.received.append)

    def receive_sighup(self) -> None:
        signals._on_signal(signal.SIGHUP, None)


def test_signals_before_and_during_handler_installation_are_delivered(monkeypatch: Any) -> None:
    monkeypatch.setattr(signals, "_handler", signals._handler)
    functions: list[Callable[[SignalReceiver], None]] = [
        SignalReceiver.install_handler,
        SignalReceiver.receive_sighup,
        SignalReceiver.receive_sighup,
    ]
    result = InterleavingExplorer(
        lambda lock: SignalReceiver(),
        functions,
        lambda receiver: "" if receiver.received == ["reload"] * 2 else f"received {receiver.received}",
        ("node/signals.py",),
    ).explore_schedules()
    assert result.is_complete and not result.violation, result
