"""Log time: exact across restarts on one boot, otherwise estimated without running back."""

from __future__ import annotations

from pathlib import Path

import pytest

from honeybarrow.clocks import Clocks, system_clocks
from honeybarrow.log_timeline import ClockAnchor, ClockReading, TimelineStart, start_timeline
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import AttemptStarted, MessageAccepted, ResumedMessage, plan_recovery
from honeybarrow.settings import Idempotency, MessageClass
from tests.helpers import SECOND

HOUR = 3600 * SECOND
WALL = 1_700_000_000 * SECOND
CLASSES = {
    each.name: each
    for each in (
        MessageClass("note", 3 * SECOND, 8 * SECOND),
        MessageClass("post", 3 * SECOND, 8 * SECOND, Idempotency.IDEMPOTENT_WITH_KEY, key_window_us=SECOND),
    )
}
UNRELATED_RECORD = AttemptStarted("unknown", 0, 0)
ANCHOR = ClockAnchor(ClockReading("first", 100 * SECOND, WALL), WALL)


@pytest.mark.parametrize("step_us", [-HOUR, -10 * SECOND, 0, 10 * SECOND, HOUR])
def test_log_time_follows_monotonic_clock_on_same_boot(
    step_us: int,
) -> None:
    reading = ClockReading("first", 110 * SECOND, WALL + 10 * SECOND + step_us)
    timeline = start_timeline(ANCHOR, WALL + 5 * SECOND, reading)
    assert timeline.start is TimelineStart.CONTINUED
    assert timeline.to_log_time_us(reading.monotonic_us) == WALL + 10 * SECOND


@pytest.mark.parametrize(
    ("anchor", "reading", "start", "elapsed_us"),
    [
        # another boot: by the wall clock, but at least the uptime of the machine
        (ANCHOR, ClockReading("second", 30 * SECOND, WALL + 60 * SECOND), "OTHER_BOOT", 55 * SECOND),
        (ANCHOR, ClockReading("second", 30 * SECOND, WALL - HOUR), "OTHER_BOOT", 30 * SECOND),
        (ANCHOR, ClockReading("", 200 * SECOND, WALL + 6 * SECOND), "OTHER_BOOT", SECOND),
        # the same boot, with a reading older than the newest record
        (ANCHOR, ClockReading("first", 104 * SECOND, WALL + 7 * SECOND), "MONOTONIC_BEHIND", 2 * SECOND),
        (ANCHOR, ClockReading("first", 104 * SECOND, WALL - HOUR), "MONOTONIC_BEHIND", 0),
        # records of an earlier version
        (None, ClockReading("first", 110 * SECOND, WALL + 7 * SECOND), "NO_ANCHOR", 2 * SECOND),
        (None, ClockReading("first", 110 * SECOND, WALL - HOUR), "NO_ANCHOR", 0),
    ],
)
def test_estimated_log_time_never_runs_back(
    anchor: ClockAnchor | None, reading: ClockReading, start: str, elapsed_us: int
) -> None:
    newest_us = WALL + 5 * SECOND
    timeline = start_timeline(anchor, newest_us, reading)
    assert timeline.start is TimelineStart[start] and not timeline.is_continuous
    assert timeline.to_log_time_us(reading.monotonic_us) == newest_us + elapsed_us


class SimulatedMachine:
    """Simulated clocks of a machine that can reboot."""

    def __init__(self) -> None:
        self.now_us, self.booted_us, self.step_us, self.boot_id = 100 * SECOND, 0, 0, "first"

    def clocks(self) -> Clocks:
        return Clocks(
            lambda: self.now_us - self.booted_us, lambda: WALL + self.now_us + self.step_us, self.boot_id
        )

    def boot(self) -> None:
        self.booted_us, self.boot_id = self.now_us, "second"

    def open_log(self, folder: Path) -> WriteAheadLog:
        return WriteAheadLog(str(folder), 100_000, self.clocks())


def log_accepted(
    log: WriteAheadLog, message: str, class_name: str, time_left_us: int, sequence_number: int
) -> None:
    log.append(
        MessageAccepted(
            message,
            class_name,
            7,
            log.now_us() + time_left_us,
            "",
            "",
            b"hi",
            sequence_number=sequence_number,
        )
    )


def plan_resumed_messages(log: WriteAheadLog) -> dict[str, ResumedMessage]:
    pending = log.pending_messages.by_id.values()
    steps = plan_recovery(pending, CLASSES, log.now_us(), log.timeline.is_continuous)
    return {step.accepted.message: step for step in steps if isinstance(step, ResumedMessage)}


@pytest.mark.parametrize("step_us", [-HOUR, -2 * SECOND, 0, 2 * SECOND, HOUR])
@pytest.mark.parametrize("later_step_us", [0, HOUR, -7 * SECOND])
def test_time_left_and_attempt_age_ignore_clock_steps_across_restart(
    tmp_path: Path, step_us: int, later_step_us: int
) -> None:
    """The wall clock is stepped while messages are pending and again before the restart."""
    machine = SimulatedMachine()
    log = machine.open_log(tmp_path)
    log_accepted(log, "m1", "note", 8 * SECOND, 1)
    log_accepted(log, "m2", "post", 8 * SECOND, 2)
    log_accepted(log, "m3", "note", 3 * SECOND, 3)
    log.commit()
    machine.now_us += SECOND
    machine.step_us += step_us
    assert log.record_attempt_started("m2", 0)
    machine.now_us += SECOND
    machine.step_us += later_step_us
    machine.now_us += SECOND
    found = plan_resumed_messages(machine.open_log(tmp_path))
    assert list(found) == ["m1", "m2"]  # m3 expires exactly now
    assert {name: step.time_left_us for name, step in found.items()} == {"m1": 5 * SECOND, "m2": 5 * SECOND}
    assert found["m2"].ambiguous_age_us == 2 * SECOND


def test_reboot_ends_key_window_and_estimates_time_left(tmp_path: Path) -> None:
    machine = SimulatedMachine()
    log = machine.open_log(tmp_path)
    log_accepted(log, "m1", "note", 8 * SECOND, 1)
    log_accepted(log, "m2", "post", 8 * SECOND, 2)
    log.commit()
    assert log.record_attempt_started("m2", 0)
    machine.boot()
    machine.now_us += 3 * SECOND
    machine.step_us -= HOUR
    found = plan_resumed_messages(machine.open_log(tmp_path))
    assert found["m1"].time_left_us == 5 * SECOND
    assert (found["m2"].ambiguous_age_us or 0) > HOUR


def test_log_time_continues_after_compaction_to_one_segment(tmp_path: Path) -> None:
    machine = SimulatedMachine()
    log = machine.open_log(tmp_path)
    log_accepted(log, "kept", "post", 8 * SECOND, 1)
    log.commit()
    assert log.record_attempt_started("kept", 0)
    machine.step_us += HOUR
    for sequence_number in range(2, 2000):
        machine.now_us += 1000
        log_accepted(log, f"m{sequence_number}", "note", SECOND, sequence_number)
        log.commit()
        log.record_completed(f"m{sequence_number}")
        log.commit()
    assert not (tmp_path / "journal-00000001").exists()
    machine.step_us -= 2 * HOUR
    again = machine.open_log(tmp_path)
    assert again.timeline.start is TimelineStart.CONTINUED
    assert plan_resumed_messages(again)["kept"].ambiguous_age_us == 1998 * 1000


def test_log_with_records_of_earlier_and_current_version(tmp_path: Path) -> None:
    machine = SimulatedMachine()
    log = machine.open_log(tmp_path)
    log._make_anchor = lambda: UNRELATED_RECORD  # type: ignore[method-assign,assignment,return-value]
    log_accepted(log, "old", "note", 8 * SECOND, 1)
    log.commit()
    assert log.record_attempt_started("old", 0)
    machine.now_us += SECOND
    first = machine.open_log(tmp_path)
    assert first.timeline.start is TimelineStart.NO_ANCHOR
    log_accepted(first, "new", "note", 8 * SECOND, 2)
    first.commit()
    machine.now_us += SECOND
    machine.step_us -= HOUR
    second = machine.open_log(tmp_path)
    assert second.timeline.start is TimelineStart.CONTINUED
    found = plan_resumed_messages(second)
    assert found["old"].time_left_us == 6 * SECOND and found["new"].time_left_us == 7 * SECOND


def test_system_boot_id_is_valid_or_empty() -> None:
    clocks = system_clocks()
    assert clocks.boot_id == "" or len(clocks.boot_id) >= 32
    first = clocks.read()
    assert clocks.read().monotonic_us >= first.monotonic_us > 0
