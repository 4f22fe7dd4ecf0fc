"""The forwarder as a process of the platform, on loopback: delivery, logs, signals and restarts."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.clocks import system_clocks
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import MessageAccepted
from tests.platform_harness import TARGET_ANSWER, PlatformHarness

CLASS_LIMITS = {"aimUs": 3_000_000, "hardLimitUs": 8_000_000, "lateShare": 0.4}
SETTINGS: dict[str, Any] = {
    "services": [
        {**CLASS_LIMITS, "name": "note", "idempotency": "free"},
        {**CLASS_LIMITS, "name": "post", "idempotency": "guarded", "windowUs": 5_000_000},
        {**CLASS_LIMITS, "name": "pay", "idempotency": "single_shot"},
    ],
    "kinds": ["shop"],
    "familyInfo": {"callSlots": 8},
    "limits": {"maxOpen": 100, "retryAfter": True, "maxRetryAfterUs": 3_000_000},
    "membershipMode": "on_request",
}


def run_on_platform(folder: Path, scenario: Callable[[PlatformHarness], Awaitable[None]]) -> None:
    """Run a scenario against a started forwarder, then stop the platform."""

    async def run() -> None:
        platform = PlatformHarness(folder, SETTINGS)
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            await scenario(platform)
        finally:
            await platform.close()

    asyncio.run(run())


def test_a_message_is_delivered_unchanged(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness) -> None:
        assert await platform.submit("m1") == 202
        await platform.wait_until(lambda: platform.delivered == ["m1"])
        assert platform.calls == [("m1", b"a\x00\r\nb")] and platform.keys == {"m1": "k-m1"}
        await platform.wait_until(lambda: platform.watches)
        assert platform.watches[0] == ("first", "GET /discovery/hosts?stream=1&index=40 HTTP/1.1")
        assert await platform.submit("m1") == 409
        assert platform.notifications == []

    run_on_platform(tmp_path, scenario)


def test_a_failed_message_is_notified_at_once(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness) -> None:
        platform.choose_answer = lambda message: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        assert await platform.submit("p1", "pay") == 202
        await platform.wait_until(lambda: platform.notifications)
        assert (
            platform.notifications == [{"message": "p1", "outcome": "given_up"}] and len(platform.calls) == 1
        )

    run_on_platform(tmp_path, scenario)


def test_only_messages_with_a_fault_are_logged_each_step_with_its_id(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness) -> None:
        assert await platform.submit("delivered-1") == 202
        await platform.wait_until(lambda: platform.delivered == ["delivered-1"])
        platform.choose_answer = lambda message: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        assert await platform.submit("failed-1", "pay") == 202
        await platform.wait_until(lambda: platform.notifications)
        assert await platform.submit("expired-1", left="1m") in (202, 429, 500)
        assert await platform.end_forwarder(signal.SIGTERM) == 0
        lines = platform.read_log().splitlines()
        assert "process_stopped" in platform.read_log()
        assert not [line for line in lines if "delivered-1" in line]
        steps = [line.split(" ", 2)[2] for line in lines if "id=failed-1" in line]
        attempt = "attempt_failed id=failed-1 incarnation=1 attempt=0 endpoint=s1 status=error not_run=False"
        assert steps[0].startswith(attempt) and "state_before=in_flight state_after=ambiguous" in steps[0]
        assert steps[1].startswith("message_failed id=failed-1 incarnation=1 attempts=1")
        assert "state_before=ambiguous reason=500" in steps[1] and "time_left_ms=" in steps[1]
        assert len(steps) == 2 and not [line for line in lines if "k-failed-1" in line]

    run_on_platform(tmp_path, scenario)


def test_killed_repeatedly_it_completes_each_message_and_repeats_no_payment(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness) -> None:
        names = [f"{cls}-{number}" for number in range(15) for cls in ("note", "post", "pay")]
        seen: Counter[str] = Counter()

        def answer(message: str) -> bytes | None:
            seen[message] += 1
            number = int(message.split("-")[1])
            if number % 3 == 0 and seen[message] == 1:
                return None  # still in flight when the process is killed
            if number % 3 == 1 and seen[message] == 1:
                return b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
            return TARGET_ANSWER

        platform.choose_answer = answer
        accepted: list[str] = []
        for start in range(0, len(names), 15):
            batch = names[start : start + 15]
            statuses = [await platform.submit(name, name.split("-")[0]) for name in batch]
            accepted += [name for name, status in zip(batch, statuses, strict=True) if status in (202, 200)]
            await platform.end_forwarder(signal.SIGKILL)
            await platform.start_forwarder()

        def all_completed() -> bool:
            notified = {each["message"] for each in platform.notifications}
            return set(accepted) <= notified | set(platform.delivered)

        await platform.wait_until(all_completed)
        assert accepted
        refused_first = {name for name in accepted if int(name.split("-")[1]) % 3 == 1}
        for name, count in Counter(message for message, _ in platform.calls).items():
            # A payment may be repeated only after a response that proves that it has not run.
            assert not name.startswith("pay") or count <= 1 + (name in refused_first)

    run_on_platform(tmp_path, scenario)


def test_a_planned_restart_leaves_open_messages_to_the_next_process(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness) -> None:
        retry_later = b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 9000\r\nContent-Length: 0\r\n\r\n"
        platform.choose_answer = lambda message: retry_later
        assert await platform.submit("m1") == 202
        await platform.wait_until(lambda: platform.calls)
        assert await platform.end_forwarder(signal.SIGTERM) == 0
        assert platform.notifications == [] and platform.delivered == []
        platform.choose_answer = lambda message: TARGET_ANSWER
        await platform.start_forwarder()
        await platform.wait_until(lambda: platform.delivered == ["m1"])  # a Retry-After ends with the process

    run_on_platform(tmp_path, scenario)


def test_a_reload_moves_watch_and_notifications_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness) -> None:
        await platform.wait_until(lambda: platform.watches)
        assert platform.process is not None
        (tmp_path / "config.json").write_text("{")
        platform.process.send_signal(signal.SIGHUP)
        await platform.wait_until(lambda: "reload_failed" in platform.read_log())
        platform.discovery_name = "second"
        platform.configure()
        platform.process.send_signal(signal.SIGHUP)
        await platform.wait_until(lambda: platform.watches[-1][0] == "second")
        platform.choose_answer = lambda message: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        assert await platform.submit("p1", "pay") == 202
        await platform.wait_until(lambda: platform.notifications)

    run_on_platform(tmp_path, scenario)


def _fill_log(folder: Path) -> int:
    """Fill a write-ahead log with pending messages; return their number."""
    log = WriteAheadLog(str(folder), 2_400_000, system_clocks())
    count = 0
    while log.try_reserve(f"m{count}", 600):
        expires_at_us = log.now_us() + 30 * 1_000_000
        log.append(MessageAccepted(f"m{count}", "note", 7, expires_at_us, "", "", bytes(600)))
        log.commit()
        count += 1
    log.close()
    return count


class IdleClients:
    """Clients that connect and send nothing."""

    SIZE = 1000

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.sockets: list[socket.socket] = []
        self.is_connecting = True
        self.tasks = [asyncio.ensure_future(self._connect()) for _ in range(20)]

    async def _connect(self) -> None:
        while self.is_connecting and len(self.sockets) < self.SIZE:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await asyncio.get_running_loop().sock_connect(sock, self.address)
                self.sockets.append(sock)
            except OSError:
                sock.close()
                await asyncio.sleep(0.005)

    async def stop(self) -> None:
        self.is_connecting = False
        await asyncio.gather(*self.tasks)

    def close(self) -> None:
        for each in self.sockets:
            each.close()


async def _measure_start_s(platform: PlatformHarness) -> float:
    """Return the shortest start time of up to three starts, which excludes delays by a busy machine."""
    ready_s: list[float] = []
    while True:
        started_s = time.monotonic()
        await platform.start_forwarder()
        ready_s.append(time.monotonic() - started_s)
        if min(ready_s) < 3.0 or len(ready_s) == 3:
            return min(ready_s)
        await platform.end_forwarder(signal.SIGKILL)


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_a_start_into_a_crowd_with_a_full_log_and_a_silent_discovery_is_ready_soon(
    tmp_path: Path, mode: str
) -> None:
    """Many clients connect during the start, and the write-ahead log is full."""
    platform = PlatformHarness(tmp_path, {**SETTINGS, "membershipMode": mode})
    assert 500 < _fill_log(platform.state) < 10_000

    async def run() -> None:
        clients: IdleClients | None = None
        try:
            await platform.start_peers()
            platform.is_discovery_silent = True
            clients = IdleClients(platform.listen)
            ready_s = await _measure_start_s(platform)
            await platform.wait_until(lambda: len(clients.sockets) >= IdleClients.SIZE)
            assert await platform.submit("n1") in (202, 503)  # the log is full
            assert ready_s < 3.0
            await clients.stop()
            assert await platform.end_forwarder(signal.SIGTERM) == 0
        finally:
            if clients is not None:
                clients.close()
            await platform.close()

    asyncio.run(run())
