"""What a process sends while discovery is crowded or down, on real processes: the table of ``list_validity``.

Guards against review case 10: after a reload or a restart, calls followed an old list to endpoints that had
left and to others at their addresses: a slow rejection or a reset was taken for an outage of discovery.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests.platform_harness import ReplacedEndpointHarness, read_message
from tests.test_service_on_platform import SETTINGS

RESTART_DELAY_S = 0.6  # of a killed process, defined by the platform
MAX_CHANGE_DELAY_S = 4.0  # after which a change counts at a new address, defined by the platform
CROWDED_S = 6.0
OUTAGE_S = 10.0
SENDING_INTERVAL_S = 0.1
MIN_SHARE_BEFORE_RETURN = 0.7  # of a message's time; an untried one that is returned earlier is charged
STALL_S = 0.3  # allowance for the tests' own delays
MODES = ("pushed", "on_request")
REJECTION = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True)
class Failure:
    """How discovery ends a call: ``503`` or ``reset`` after a delay, or ``refused``."""

    how: str
    delay_s: float = 0.0


CROWDS = [
    Failure("503", 0.0), Failure("503", 0.3), Failure("503", 1.2), Failure("503", 2.0),
    Failure("reset", 0.0), Failure("reset", 0.3), Failure("reset", 2.0),
]  # fmt: skip
OUTAGES = [Failure("refused"), Failure("reset"), Failure("reset", 2.0), Failure("503", 2.0)]


class Platform(ReplacedEndpointHarness):
    """A platform whose discovery fails for a while, and whose endpoint is replaced meanwhile."""

    def __init__(self, folder: Path, mode: str, failure: Failure) -> None:
        folder.mkdir()
        super().__init__(folder, {**SETTINGS, "membershipMode": mode})
        self.failure = failure
        self.is_failing = False
        self.watchers: set[asyncio.StreamWriter] = set()
        self.submitted: list[str] = []

    async def discovery(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            if message[0].startswith("POST /reports"):
                self.notifications += [json.loads(line) for line in message[2].splitlines()]
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            elif self.is_failing:
                await self._fail_call(writer)
            else:
                await self._serve_watch(writer)

    async def _fail_call(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.failure.delay_s)
        if self.failure.how == "503":
            writer.write(REJECTION)
        else:
            writer.transport.abort()

    async def _serve_watch(self, writer: asyncio.StreamWriter) -> None:
        self.watchers.add(writer)
        writer.write(WATCH_HEAD)
        line = json.dumps(self.endpoint_list(42 if self.is_replaced else 41, True)).encode() + b"\n"
        while True:
            writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(1)

    def stop_discovery(self, is_refused: bool) -> None:
        """End all watches; refuse connections to both addresses if ``is_refused``."""
        self.is_failing = True
        if is_refused:
            for server in self.servers[1:3]:
                server.close()
        self.end_watches()

    def end_watches(self) -> None:
        """Reset all open watches."""
        for writer in self.watchers:
            writer.transport.abort()
        self.watchers.clear()

    async def reload(self) -> None:
        """Name the other address of discovery in the configuration, and send SIGHUP."""
        self.discovery_name = "second"
        self.configure()
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def restart(self) -> None:
        """Kill the forwarder and start it again; the configuration has the list that it last had."""
        await self.end_forwarder(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_forwarder()

    async def send(self, until_s: float, cls: str = "note") -> None:
        """Submit messages at a steady rate until an instant."""
        while time.monotonic() < until_s:
            message = f"{cls}-{len(self.submitted)}"
            if await self.submit(message, cls) == 202:
                self.submitted.append(message)
            await asyncio.sleep(SENDING_INTERVAL_S)

    def called_after(self, instant_s: float) -> list[tuple[str, str, float]]:
        """Return the calls to endpoints after an instant."""
        return [call for call in self.called_at if call[2] > instant_s]

    def has_delivered_all(self) -> bool:
        """Return whether each submitted message was called once; each call is answered with 200."""
        return {call[1] for call in self.called_at} >= set(self.submitted)


def run_rows(
    folder: Path,
    mode: str,
    failures: list[Failure],
    scenario: Callable[[Platform], Coroutine[Any, Any, None]],
) -> None:
    """Play a scenario with each failure at the same time, each with a platform of its own."""

    async def play(number: int, failure: Failure) -> None:
        platform = Platform(folder / str(number), mode, failure)
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            await platform.wait_until(lambda: platform.watchers)
            await scenario(platform)
        except AssertionError as error:
            raise AssertionError(f"{failure}: {error}\n{platform.read_log()}") from error
        finally:
            await platform.close()

    async def play_all() -> None:
        results = await asyncio.gather(
            *(play(number, failure) for number, failure in enumerate(failures)), return_exceptions=True
        )
        errors = [result for result in results if result is not None]
        assert not errors, "\n".join(map(str, errors))

    asyncio.run(play_all())


async def _play_crowd(platform: Platform, event: Callable[[], Awaitable[None]]) -> None:
    """Let discovery be crowded from an event on, and the endpoint be replaced just then."""
    platform.is_failing, platform.is_replaced = True, True
    begin_s = time.monotonic()
    platform.end_watches()
    await event()
    limit_s = begin_s + (0.0 if platform.settings["membershipMode"] == "pushed" else MAX_CHANGE_DELAY_S)
    if event != platform.restart:
        limit_s = begin_s + MAX_CHANGE_DELAY_S
    elif platform.settings["membershipMode"] == "on_request":
        limit_s = time.monotonic() + MAX_CHANGE_DELAY_S
    await platform.send(begin_s + CROWDED_S)
    platform.is_failing = False
    back_s = time.monotonic()
    assert platform.submitted and back_s > limit_s
    assert not platform.called_after(limit_s + STALL_S), "called by an outdated list"
    await platform.wait_until(platform.has_delivered_all, 6.0)
    # A message that ran at the target before the limit was called by the list that was in force then.
    assert {call[0] for call in platform.called_after(back_s)} == {"replacement"}
    assert platform.notifications == []


@pytest.mark.parametrize("mode", MODES)
def test_after_a_reload_to_a_crowded_discovery_no_call_follows_the_old_list(
    tmp_path: Path, mode: str
) -> None:
    async def scenario(platform: Platform) -> None:
        await _play_crowd(platform, platform.reload)

    run_rows(tmp_path, mode, CROWDS, scenario)


@pytest.mark.parametrize("mode", MODES)
def test_after_a_restart_with_a_crowded_discovery_no_call_follows_the_saved_list(
    tmp_path: Path, mode: str
) -> None:
    async def scenario(platform: Platform) -> None:
        await _play_crowd(platform, platform.restart)

    run_rows(tmp_path, mode, CROWDS, scenario)


@pytest.mark.parametrize("mode", MODES)
def test_an_outage_in_service_costs_no_message(tmp_path: Path, mode: str) -> None:
    async def scenario(platform: Platform) -> None:
        platform.stop_discovery(platform.failure.how == "refused")
        await platform.send(time.monotonic() + OUTAGE_S)
        await platform.wait_until(platform.has_delivered_all, 1.0)

    run_rows(tmp_path, mode, OUTAGES, scenario)


@pytest.mark.parametrize("event", ["reload", "restart"])
@pytest.mark.parametrize("mode", MODES)
def test_a_discovery_that_refuses_connections_costs_no_message(tmp_path: Path, mode: str, event: str) -> None:
    async def scenario(platform: Platform) -> None:
        platform.stop_discovery(is_refused=True)
        await (platform.reload() if event == "reload" else platform.restart())
        await platform.send(time.monotonic() + OUTAGE_S, "pay")
        await platform.wait_until(platform.has_delivered_all, 1.0)

    run_rows(tmp_path, mode, [Failure("refused")], scenario)


def test_messages_that_expire_while_calls_are_held_are_answered_neither_early_nor_late(
    tmp_path: Path,
) -> None:
    left_s = 4.0

    async def scenario(platform: Platform) -> None:
        platform.is_failing = True
        await platform.restart()
        accepted_s = time.monotonic()
        for cls in ("note", "post", "pay"):
            assert await platform.submit(f"{cls}-held", cls, f"{int(left_s * 1000)}m") == 202
        await asyncio.sleep(MIN_SHARE_BEFORE_RETURN * left_s)
        assert platform.notifications == []
        await platform.wait_until(lambda: len(platform.notifications) == 3, 5.0)
        assert time.monotonic() - accepted_s < left_s + STALL_S
        assert {each["outcome"] for each in platform.notifications} == {"handed_back"}
        assert platform.called_at == []

    run_rows(tmp_path, "pushed", [Failure("503", 2.0)], scenario)
