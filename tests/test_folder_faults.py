"""A state folder of a forwarder process that fails for a while, with ENOSPC, EIO, short writes or a kill.

Guards against accepted messages that are lost or delivered twice.
"""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from collections import Counter
from pathlib import Path

import pytest

from honeybarrow.clocks import system_clocks
from honeybarrow.node.process import MAX_LOG_DISK_SHARE
from honeybarrow.node.write_ahead_log import SEGMENT_COUNT, WriteAheadLog
from honeybarrow.recovery import MessageAccepted
from honeybarrow.soak.fault_shim import FaultShim, SystemCall
from honeybarrow.soak.rules import NOTIFICATION_DELAY_AFTER_READY_S
from tests.platform_harness import TARGET_ANSWER, PlatformHarness
from tests.test_clock_steps import RESTART_DELAY_S, run_with_faults, wait_for_result
from tests.test_system_call_faults import check_accepted_messages, submit_during_fault, try_submit

FOLDER_ERRNOS = (errno.ENOSPC, errno.EIO)
DISK_BYTES = 3 << 20  # of the harness's configuration
BODY_BYTES = 20_000
LEFT_S = 8.0
MAX_START_S = 10.0  # within which nine in ten processes have to be ready
OVERLOADED_ANSWER = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


def test_while_the_folder_fails_nothing_is_accepted_and_what_was_accepted_goes_on(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: OVERLOADED_ANSWER
        for name in ("note-1", "post-1", "pay-1"):
            assert await platform.submit(name, name.split("-")[0]) == 202
        await platform.wait_until(lambda: platform.calls)
        shim.fail(SystemCall.WRITE, FOLDER_ERRNOS)
        assert await platform.submit("note-2") == 503
        calls = len(platform.calls)
        platform.choose_answer = lambda message: TARGET_ANSWER
        await platform.wait_until(lambda: "note-1" in platform.delivered, 3.0)
        await asyncio.sleep(1.0)
        # The other two wait until the start of an attempt can be recorded.
        assert platform.delivered == ["note-1"] and len(platform.calls) == calls + 1
        shim.clear_faults()
        await platform.wait_until(lambda: len(platform.delivered) == 3, 3.0)
        assert await platform.submit("note-3") == 202
        log = platform.read_log()
        assert log.count("log_write_failed") == 1 and log.count("log_write_recovered") == 1
        assert platform.notifications == []

    run_with_faults(tmp_path, scenario)


@pytest.mark.parametrize("is_killed", [False, True])
def test_a_result_that_is_not_recorded_is_not_reported_before_its_message_has_expired(
    tmp_path: Path, is_killed: bool
) -> None:
    """After a kill the next process resumes the message, since the platform was not notified."""

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        due_s = time.monotonic() + 4.3
        assert await platform.submit("m1", "pay", "4000m") == 202
        await platform.wait_until(lambda: platform.calls)
        shim.fail(SystemCall.WRITE, FOLDER_ERRNOS)
        await platform.wait_until(lambda: "message_failed id=m1" in platform.read_log(), 4.0)
        await asyncio.sleep(0.3)
        assert platform.notifications == []
        if is_killed:
            await platform.end_forwarder(signal.SIGKILL)
            shim.clear_faults()
            await asyncio.sleep(RESTART_DELAY_S)
            await platform.start_forwarder()
            due_s = max(due_s, time.monotonic() + NOTIFICATION_DELAY_AFTER_READY_S)
        await platform.wait_until(lambda: platform.notifications, due_s - time.monotonic())
        assert [each["outcome"] for each in platform.notifications] == ["given_up"]
        assert len(platform.calls) == 1

    run_with_faults(tmp_path, scenario)


def test_result_is_reported_once_recorded(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        shim.fail(SystemCall.WRITE, FOLDER_ERRNOS, seconds=0.5)
        assert await platform.submit("p0", "pay") == 503
        await asyncio.sleep(0.7)
        assert await platform.submit("p1", "pay") == 202
        await platform.wait_until(lambda: platform.notifications, 1.0)

    run_with_faults(tmp_path, scenario)


@pytest.mark.parametrize("call", [SystemCall.WRITE, SystemCall.OPEN, SystemCall.UNLINK, SystemCall.TRUNCATE])
@pytest.mark.parametrize("share", [0.3, 1.0])
def test_folder_faults_under_load_and_kill_lose_no_message(
    tmp_path: Path, call: SystemCall, share: float
) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        shim.fail(call, FOLDER_ERRNOS, share, 1.0)
        if call is SystemCall.TRUNCATE:  # the rest of a failed write cannot be truncated
            shim.fail(SystemCall.WRITE, FOLDER_ERRNOS, 0.3, 1.0, short_transfer_fraction=0.3)
        accepted = await submit_during_fault(platform)
        await platform.end_forwarder(signal.SIGKILL)
        shim.clear_faults()
        await asyncio.sleep(RESTART_DELAY_S)
        await platform.start_forwarder()
        await check_accepted_messages(platform, accepted)

    run_with_faults(tmp_path, scenario)


def test_short_writes_lose_nothing(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        shim.fail(SystemCall.WRITE, short_transfer_fraction=0.7)
        accepted = await submit_during_fault(platform)
        assert shim.hits(SystemCall.WRITE) > len(accepted) // 2
        await platform.end_forwarder(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        await platform.start_forwarder()
        await check_accepted_messages(platform, accepted)

    run_with_faults(tmp_path, scenario)


def test_a_kill_in_the_middle_of_a_write_leaves_what_was_accepted_before(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        accepted: dict[str, float] = {}
        for number in range(30):
            name = f"{('note', 'post', 'pay')[number % 3]}-{number}"
            if number % 5 == 4:
                shim.fail(SystemCall.WRITE, kill_fraction=0.3)
            if await try_submit(platform, name, name.split("-")[0]) == 202:
                accepted[name] = time.monotonic()
            assert platform.process is not None
            await asyncio.sleep(0.03)
            if platform.process.returncode is not None:
                shim.clear_faults()
                await asyncio.sleep(RESTART_DELAY_S)
                await platform.start_forwarder()
        shim.clear_faults()
        assert platform.read_log().count(" ready ") > 3
        await check_accepted_messages(platform, accepted)

    run_with_faults(tmp_path, scenario)


@pytest.mark.parametrize("call", [SystemCall.WRITE, SystemCall.OPEN, SystemCall.LIST, SystemCall.READ])
def test_a_process_starts_in_a_folder_that_fails(tmp_path: Path, call: SystemCall) -> None:
    """The process is ready once it has read its log, and accepts messages once it can write to it."""

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: OVERLOADED_ANSWER
        accepted = {}
        for name in ("note-1", "post-1", "pay-1"):
            assert await platform.submit(name, name.split("-")[0], "4000m") == 202
            accepted[name] = time.monotonic()
        await platform.wait_until(lambda: platform.calls)
        await platform.end_forwarder(signal.SIGKILL)
        platform.choose_answer = lambda message: TARGET_ANSWER
        shim.fail(call, FOLDER_ERRNOS, seconds=1.0)
        await platform.start_forwarder()
        await check_accepted_messages(platform, accepted)
        assert sorted(platform.delivered) == ["after", "note-1", "pay-1", "post-1"]

    run_with_faults(tmp_path, scenario)


def test_a_segment_that_can_not_be_removed_brings_no_message_back(tmp_path: Path) -> None:
    """Removing a later segment first would make its completed messages pending after a restart."""

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        shim.fail(SystemCall.UNLINK, FOLDER_ERRNOS)
        for number in range(400):
            assert await platform.submit(f"note-{number}") in (202, 503)
        await asyncio.sleep(2.0)  # until silence has confirmed all outcomes: others are repeated
        await platform.end_forwarder(signal.SIGKILL)
        calls = Counter(message for message, _ in platform.calls)
        await asyncio.sleep(RESTART_DELAY_S)
        await platform.start_forwarder()
        await asyncio.sleep(1.0)
        assert Counter(message for message, _ in platform.calls) == calls

    run_with_faults(tmp_path, scenario)


@pytest.mark.parametrize("share", [0.55, 0.7, 1.05])
def test_a_process_starts_in_a_folder_full_of_pending_messages(tmp_path: Path, share: float) -> None:
    """Guards against a start that hangs at its first commits, in a folder that an earlier build filled."""
    max_bytes = int(DISK_BYTES * MAX_LOG_DISK_SHARE)

    def fill_state_folder(state: Path) -> dict[str, float]:
        log = WriteAheadLog(str(state), 4 * max_bytes, system_clocks())
        log.max_segment_bytes = max_bytes // SEGMENT_COUNT
        messages: dict[str, float] = {}
        while log.disk_usage_bytes < share * max_bytes:
            name = f"post-{len(messages)}"
            body, expires_at_us = bytes(BODY_BYTES), log.now_us() + int(LEFT_S * 1e6)
            log.append(MessageAccepted(name, "post", 7, expires_at_us, "", f"k-{name}", body))
            log.commit()
            messages[name] = time.monotonic()
        log.close()
        return messages

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        await platform.end_forwarder(signal.SIGKILL)
        for path in platform.state.iterdir():
            path.unlink()
        messages = fill_state_folder(platform.state)
        platform.choose_answer = lambda message: OVERLOADED_ANSWER
        started_s = time.monotonic()
        await platform.start_forwarder()
        assert time.monotonic() - started_s < MAX_START_S
        assert await platform.submit("note-early") == 503  # no room
        platform.choose_answer = lambda message: TARGET_ANSWER
        for message, accepted_s in messages.items():
            await wait_for_result(platform, message, accepted_s, LEFT_S)
        assert await platform.submit("note-late") == 202

    run_with_faults(tmp_path, scenario)
