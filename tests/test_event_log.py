"""Log lines of the platform process: rate-limited message events, and steps of the wall clock."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from honeybarrow.node.clock_monitor import ClockMonitor
from honeybarrow.node.event_log import EventLog
from honeybarrow.node.log_format import TwoClockFormatter
from honeybarrow.node.message_event_log import MAX_BURST_LINES, MAX_LINES_PER_S, MessageEventLog
from tests.helpers import make_clocks


@pytest.fixture(autouse=True)
def _info_level(caplog: Any) -> None:
    caplog.set_level("INFO", "honeybarrow.node")


def test_lines_of_an_event_are_rate_limited_and_suppressed_ones_are_counted(caplog: Any) -> None:
    now_s = [0.0]
    events = MessageEventLog(lambda: now_s[0], "3")
    for number in range(int(MAX_BURST_LINES) + 50):
        events.write("attempt_failed", f"m{number}")
    assert len(caplog.messages) == MAX_BURST_LINES
    events.write("message_failed", "m1", reason="no slot", time_left_us=1_500_000)
    assert caplog.messages[-1] == "message_failed id=m1 incarnation=3 reason='no slot' time_left_ms=1500"
    now_s[0] = 1.0
    for number in range(1000):
        events.write("attempt_failed", f"n{number}")
    later = caplog.messages[int(MAX_BURST_LINES) + 1 :]
    assert later[0] == "message_events_suppressed event=attempt_failed count=50"
    assert len(later) == 1 + MAX_LINES_PER_S


def test_a_message_delivered_at_its_first_attempt_is_not_logged(caplog: Any) -> None:
    events = EventLog(MessageEventLog(lambda: 0.0, "1"))
    events.debug("attempt_finished", message="m1", status="ok")
    events.info("message_delivered", message="m1", attempts=1)
    assert caplog.messages == []
    events.info("message_delivered", message="m1", attempts=2)
    assert caplog.messages == ["message_delivered id=m1 incarnation=1 attempts=2"]


@pytest.mark.parametrize("step_us", [-3_600_000_000, -150_000, 150_000, 3_600_000_000])
def test_a_step_of_the_wall_clock_is_logged_once(caplog: Any, step_us: int) -> None:
    now_us, offset_us = [5], [1_000_000]
    monitor = ClockMonitor(make_clocks(lambda: now_us[0], lambda: now_us[0] + offset_us[0]))
    for offset in (1_000_000, 1_050_000, 1_050_000 + step_us, 1_050_000 + step_us):
        now_us[0] += 100_000
        offset_us[0] = offset
        monitor.check()
    assert [line.split()[0] for line in caplog.messages] == ["wall_clock_stepped"]
    assert monitor.step_count == 1


def test_each_line_has_the_time_of_both_clocks() -> None:
    line = TwoClockFormatter().format(logging.LogRecord("x", logging.INFO, "", 0, "ready", None, None))
    wall, monotonic, text = line.split()
    assert wall.count(":") == 2 and float(monotonic) > 0 and text == "ready"
