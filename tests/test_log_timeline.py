"""Log time: continued over restarts by the monotonic clock, else estimated to the safe side."""

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
UNRELATED = AttemptStarted("nobody", 0, 0)  # of a message that no log holds
ANCHOR = ClockAnchor(ClockReading("first", 100 * SECOND, WALL), WALL)


@pytest.mark.parametrize("step_us", [-HOUR, -10 * SECOND, 0, 10 * SECOND, HOUR])
def test_on_the_same_boot_log_time_follows_the_monotonic_clock_whatever_the_wall_clock_says(
    step_us: int,
) -> None:
    reading = ClockReading("first", 110 * SECOND, WALL + 10 * SECOND + step_us)
    timeline = start_timeline(ANCHOR, WALL + 5 * SECOND, reading)
    assert timeline.start is TimelineStart.CONTINUED
    assert timeline.to_log_time_us(reading.monotonic_us) == WALL + 10 * SECOND


@pytest.mark.parametrize(
    ("anchor", "reading", "start", "passed_us"),
    [
        # a new boot: by the wall clock, but at least for as long as the machine has been up
        (ANCHOR, ClockReading("second", 30 * SECOND, WALL + 60 * SECOND), "OTHER_BOOT", 55 * SECOND),
        (ANCHOR, ClockReading("second", 30 * SECOND, WALL - HOUR), "OTHER_BOOT", 30 * SECOND),
        (ANCHOR, ClockReading("", 200 * SECOND, WALL + 6 * SECOND), "OTHER_BOOT", SECOND),
        # the same boot, and a reading from before what is on record
        (ANCHOR, ClockReading("first", 104 * SECOND, WALL + 7 * SECOND), "MONOTONIC_BEHIND", 2 * SECOND),
        (ANCHOR, ClockReading("first", 104 * SECOND, WALL - HOUR), "MONOTONIC_BEHIND", 0),
        # records of an earlier build
        (None, ClockReading("first", 110 * SECOND, WALL + 7 * SECOND), "NO_ANCHOR", 2 * SECOND),
        (None, ClockReading("first", 110 * SECOND, WALL - HOUR), "NO_ANCHOR", 0),
    ],
)
def test_where_readings_do_not_belong_together_log_time_is_estimated_and_never_runs_back(
    anchor: ClockAnchor | None, reading: ClockReading, start: str, passed_us: int
) -> None:
    newest_us = WALL + 5 * SECOND
    timeline = start_timeline(anchor, newest_us, reading)
    assert timeline.start is TimelineStart[start] and not timeline.is_continuous
    assert timeline.to_log_time_us(reading.monotonic_us) == newest_us + passed_us


class Machine:
    """Clocks in the test's hands, over boots."""

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


def accept(log: WriteAheadLog, message: str, class_name: str, left_us: int, number: int) -> None:
    log.append(
        MessageAccepted(message, class_name, 7, log.now_us() + left_us, "", "", b"hi", sequence_number=number)
    )


def resumed(log: WriteAheadLog) -> dict[str, ResumedMessage]:
    pending = log.pending_messages.by_id.values()
    steps = plan_recovery(pending, CLASSES, log.now_us(), log.timeline.is_continuous)
    return {step.accepted.message: step for step in steps if isinstance(step, ResumedMessage)}


@pytest.mark.parametrize("step_us", [-HOUR, -2 * SECOND, 0, 2 * SECOND, HOUR])
@pytest.mark.parametrize("later_step_us", [0, HOUR, -7 * SECOND])
def test_time_left_and_the_age_of_an_attempt_are_spans_of_real_time_over_a_restart(
    tmp_path: Path, step_us: int, later_step_us: int
) -> None:
    """A step while messages are held, another one while no process runs, one by just what has passed."""
    machine = Machine()
    log = machine.open_log(tmp_path)
    accept(log, "m1", "note", 8 * SECOND, 1)
    accept(log, "m2", "post", 8 * SECOND, 2)
    accept(log, "m3", "note", 3 * SECOND, 3)
    log.commit()
    machine.now_us += SECOND
    machine.step_us += step_us
    assert log.record_attempt_started("m2", 0)
    machine.now_us += SECOND
    machine.step_us += later_step_us
    machine.now_us += SECOND
    found = resumed(machine.open_log(tmp_path))
    assert list(found) == ["m1", "m2"]  # the third has expired just now
    assert {name: step.time_left_us for name, step in found.items()} == {"m1": 5 * SECOND, "m2": 5 * SECOND}
    assert found["m2"].ambiguous_age_us == 2 * SECOND


def test_after_a_boot_a_key_window_counts_as_over_and_time_left_by_the_clock_that_ran(tmp_path: Path) -> None:
    machine = Machine()
    log = machine.open_log(tmp_path)
    accept(log, "m1", "note", 8 * SECOND, 1)
    accept(log, "m2", "post", 8 * SECOND, 2)
    log.commit()
    assert log.record_attempt_started("m2", 0)
    machine.boot()
    machine.now_us += 3 * SECOND
    machine.step_us -= HOUR
    found = resumed(machine.open_log(tmp_path))
    assert found["m1"].time_left_us == 5 * SECOND
    assert (found["m2"].ambiguous_age_us or 0) > HOUR


def test_log_time_goes_on_where_compaction_has_left_one_segment_only(tmp_path: Path) -> None:
    machine = Machine()
    log = machine.open_log(tmp_path)
    accept(log, "kept", "post", 8 * SECOND, 1)
    log.commit()
    assert log.record_attempt_started("kept", 0)
    machine.step_us += HOUR
    for number in range(2, 2000):
        machine.now_us += 1000
        accept(log, f"m{number}", "note", SECOND, number)
        log.commit()
        log.record_completed(f"m{number}")
        log.commit()
    assert not (tmp_path / "journal-00000001").exists()
    machine.step_us -= 2 * HOUR
    again = machine.open_log(tmp_path)
    assert again.timeline.start is TimelineStart.CONTINUED
    assert resumed(again)["kept"].ambiguous_age_us == 1998 * 1000


def test_records_of_an_earlier_build_and_of_this_one_in_one_folder(tmp_path: Path) -> None:
    machine = Machine()
    log = machine.open_log(tmp_path)
    log._make_anchor = lambda: UNRELATED  # type: ignore[method-assign,assignment,return-value]
    accept(log, "old", "note", 8 * SECOND, 1)
    log.commit()
    assert log.record_attempt_started("old", 0)
    machine.now_us += SECOND
    first = machine.open_log(tmp_path)
    assert first.timeline.start is TimelineStart.NO_ANCHOR
    accept(first, "new", "note", 8 * SECOND, 2)
    first.commit()
    machine.now_us += SECOND
    machine.step_us -= HOUR
    second = machine.open_log(tmp_path)
    assert second.timeline.start is TimelineStart.CONTINUED
    found = resumed(second)
    assert found["old"].time_left_us == 6 * SECOND and found["new"].time_left_us == 7 * SECOND


def test_the_boot_of_this_machine_is_known_or_said_to_be_unknown() -> None:
    clocks = system_clocks()
    assert clocks.boot_id == "" or len(clocks.boot_id) >= 32
    first = clocks.read()
    assert clocks.read().monotonic_us >= first.monotonic_us > 0
