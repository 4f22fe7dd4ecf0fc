"""A forwarder process whose wall clock is stepped by a preloaded library, also across restarts.

Guards against deadlines, timeouts and key windows that depend on the wall clock.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from honeybarrow.soak.fault_shim import FaultShim, NoCompilerError, build_shim
from tests.platform_harness import TARGET_ANSWER, PlatformHarness
from tests.test_service_on_platform import SETTINGS

RESULT_SLACK_S = 0.3  # time after the deadline of a message within which its result must be known
RESTART_DELAY_S = 0.6
HOUR_S = 3600.0


def run_with_faults(folder: Path, scenario: Callable[[PlatformHarness, FaultShim], Awaitable[None]]) -> None:
    """Run a scenario with a forwarder whose wall clock and system calls the scenario controls."""
    try:
        library = build_shim(folder)
    except NoCompilerError as error:
        pytest.skip(f"building the fault library requires a C compiler: {error}")

    async def run_scenario() -> None:
        platform = PlatformHarness(folder, SETTINGS)
        shim = FaultShim(library, folder / "control", platform.state, 1)
        platform.environment = shim.environment()
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            await scenario(platform, shim)
        finally:
            await platform.close()
            shim.close()

    asyncio.run(run_scenario())


def has_final_result(platform: PlatformHarness, message: str) -> bool:
    """Return whether the platform has received the final result of a message."""
    notified = any(each["message"] == message for each in platform.notifications)
    return notified or message in platform.delivered


async def wait_for_result(
    platform: PlatformHarness, message: str, submitted_s: float, time_left_s: float
) -> None:
    """Wait for the final result of a message; fail if it is late."""
    remaining_s = submitted_s + time_left_s + RESULT_SLACK_S - time.monotonic()
    await platform.wait_until(lambda: has_final_result(platform, message), remaining_s)


async def restart(platform: PlatformHarness, shim: FaultShim, step_s: float, downtime_s: float) -> None:
    """Kill the forwarder, step its wall clock and start it again."""
    await platform.end_forwarder(signal.SIGKILL)
    shim.step_wall_clock(step_s)
    await asyncio.sleep(downtime_s)
    await platform.start_forwarder()


def test_a_call_in_flight_ends_in_time_though_the_wall_clock_is_set_back(tmp_path: Path) -> None:
    """The clock is set back by 20 s while an attempt waits for its answer."""

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        submitted_s = time.monotonic()
        assert await platform.submit("m1", left="2500m") == 202
        await platform.wait_until(lambda: platform.calls)
        shim.step_wall_clock(-20.0)
        await wait_for_result(platform, "m1", submitted_s, 2.5)

    run_with_faults(tmp_path, scenario)


def test_connect_in_flight_times_out_although_clock_is_set_back(tmp_path: Path) -> None:
    """The clock is set back by 20 s while the second attempt waits for its connection."""

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        submitted_s = time.monotonic()
        assert await platform.submit("m1", left="4000m") == 202
        await platform.wait_until(lambda: platform.calls)
        async with platform.unreachable_target():
            await platform.wait_until(lambda: "attempt_failed id=m1" in platform.read_log())
            await asyncio.sleep(0.6)  # the second attempt is connecting
            shim.step_wall_clock(-20.0)
            await wait_for_result(platform, "m1", submitted_s, 4.0)
        assert len(platform.calls) == 1

    run_with_faults(tmp_path, scenario)


def test_clock_set_forward_interrupts_no_call_and_fails_no_message(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        assert await platform.submit("m1", "pay", left="7000m") == 202
        await platform.wait_until(lambda: platform.calls)
        host, _, port = platform.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /up HTTP/1.1\r\n")  # half a request
        shim.step_wall_clock(HOUR_S)
        await asyncio.sleep(0.5)
        assert not has_final_result(platform, "m1") and "attempt_failed" not in platform.read_log()
        writer.write(b"\r\n")
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()
        assert await platform.submit("m2", left="3000m") == 202

    run_with_faults(tmp_path, scenario)


def test_unexpired_message_is_attempted_after_restart_with_clock_set_forward(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
        submitted_s = time.monotonic()
        assert await platform.submit("m1", "pay") == 202
        await platform.wait_until(lambda: "attempt_failed id=m1" in platform.read_log())
        platform.choose_answer = lambda message: TARGET_ANSWER
        await restart(platform, shim, HOUR_S, RESTART_DELAY_S)
        await wait_for_result(platform, "m1", submitted_s, 8.0)
        assert platform.delivered == ["m1"] and platform.notifications == []

    run_with_faults(tmp_path, scenario)


def test_expired_message_is_not_forwarded_after_restart_with_clock_set_back(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        assert await platform.submit("m1", left="1500m") == 202
        await platform.wait_until(lambda: platform.calls)
        await restart(platform, shim, -HOUR_S, 1.6)
        await platform.wait_until(lambda: platform.notifications, 1.0)
        assert platform.notifications == [{"message": "m1", "outcome": "given_up"}]
        await asyncio.sleep(1.0)
        assert len(platform.calls) == 1

    run_with_faults(tmp_path, scenario)
