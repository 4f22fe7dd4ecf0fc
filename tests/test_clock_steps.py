"""Steps of the wall clock: a whole process whose clock is stepped by a preloaded library, over restarts too.

The incident's reproduction stands here first. The monotonic clock runs on; deadlines and key windows are
spans of real time, which the stand-ins of the platform measure.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from honeybarrow.soak.fault_shim import FaultShim, NoCompilerError, build_shim
from tests.platform import TARGET_ANSWER, Platform
from tests.test_service_on_platform import SETTINGS

RESULT_SLACK_S = 0.3  # after a message's time is up, within which its result has to be known
RESTART_DELAY_S = 0.6
HOUR_S = 3600.0


def play(folder: Path, part: Callable[[Platform, FaultShim], Awaitable[None]]) -> None:
    """Run a part with a forwarder whose wall clock the part may step."""
    try:
        library = build_shim(folder)
    except NoCompilerError as error:
        pytest.skip(f"no clock steps without a compiler: {error}")

    async def go() -> None:
        platform = Platform(folder, SETTINGS)
        shim = FaultShim(library, folder / "control", platform.state, 1)
        platform.environment = shim.environment()
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            await part(platform, shim)
        finally:
            await platform.close()
            shim.close()

    asyncio.run(go())


def is_ended(platform: Platform, message: str) -> bool:
    """Whether the platform knows the final result of a message."""
    notified = any(each["message"] == message for each in platform.notifications)
    return notified or message in platform.delivered


async def wait_for_result(platform: Platform, message: str, submitted_s: float, left_s: float) -> None:
    """Wait for the final result of a message, which has to come in its time."""
    rest_s = submitted_s + left_s + RESULT_SLACK_S - time.monotonic()
    await platform.wait_until(lambda: is_ended(platform, message), rest_s)


async def restart(platform: Platform, shim: FaultShim, step_s: float, away_s: float) -> None:
    """Kill the forwarder and start it again, with a step of its wall clock in between."""
    await platform.end_forwarder(signal.SIGKILL)
    shim.step_wall_clock(step_s)
    await asyncio.sleep(away_s)
    await platform.start_forwarder()


def test_a_call_in_flight_ends_in_time_though_the_wall_clock_is_set_back(tmp_path: Path) -> None:
    """The incident: an attempt without an answer, and the clock set back by 20 s before its timeout."""

    async def part(platform: Platform, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        submitted_s = time.monotonic()
        assert await platform.submit("m1", left="2500m") == 202
        await platform.wait_until(lambda: platform.calls)
        shim.step_wall_clock(-20.0)
        await wait_for_result(platform, "m1", submitted_s, 2.5)

    play(tmp_path, part)


def test_a_connect_in_flight_ends_in_time_though_the_wall_clock_is_set_back(tmp_path: Path) -> None:
    """A first attempt without an answer, then a second whose connect gets none, as in the first play."""

    async def part(platform: Platform, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        submitted_s = time.monotonic()
        assert await platform.submit("m1", left="4000m") == 202
        await platform.wait_until(lambda: platform.calls)
        async with platform.unreachable_target():
            await platform.wait_until(lambda: "attempt_failed id=m1" in platform.read_log())
            await asyncio.sleep(0.6)  # the second attempt's connect is on its way
            shim.step_wall_clock(-20.0)
            await wait_for_result(platform, "m1", submitted_s, 4.0)
        assert len(platform.calls) == 1

    play(tmp_path, part)


def test_a_clock_set_forward_cuts_no_call_and_fails_no_message(tmp_path: Path) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        assert await platform.submit("m1", "pay", left="7000m") == 202
        await platform.wait_until(lambda: platform.calls)
        host, _, port = platform.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /up HTTP/1.1\r\n")  # half a request
        shim.step_wall_clock(HOUR_S)
        await asyncio.sleep(0.5)
        assert not is_ended(platform, "m1") and "attempt_failed" not in platform.read_log()
        writer.write(b"\r\n")
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()
        assert await platform.submit("m2", left="3000m") == 202

    play(tmp_path, part)


def test_what_has_time_left_is_attempted_after_a_restart_with_the_clock_set_forward(tmp_path: Path) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
        submitted_s = time.monotonic()
        assert await platform.submit("m1", "pay") == 202
        await platform.wait_until(lambda: platform.calls)
        platform.choose_answer = lambda message: TARGET_ANSWER
        await restart(platform, shim, HOUR_S, RESTART_DELAY_S)
        await wait_for_result(platform, "m1", submitted_s, 8.0)
        assert platform.delivered == ["m1"] and platform.notifications == []

    play(tmp_path, part)


def test_what_has_expired_is_not_forwarded_after_a_restart_with_the_clock_set_back(tmp_path: Path) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        assert await platform.submit("m1", left="1500m") == 202
        await platform.wait_until(lambda: platform.calls)
        await restart(platform, shim, -HOUR_S, 1.6)
        await platform.wait_until(lambda: platform.notifications, 1.0)
        assert platform.notifications == [{"message": "m1", "outcome": "given_up"}]
        await asyncio.sleep(1.0)
        assert len(platform.calls) == 1

    play(tmp_path, part)
