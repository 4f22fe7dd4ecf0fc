"""System calls of a forwarder process fail through a preloaded library, with errors that Linux documents.

Guards against lost messages, duplicate deliveries, leaked descriptors and busy loops.
"""

from __future__ import annotations

import asyncio
import errno
import os
import select
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from twisted.internet import epollreactor

from honeybarrow.resilient_reactor import ResilientReactor
from honeybarrow.soak.fault_shim import FaultShim, SystemCall
from tests.platform_harness import PlatformHarness
from tests.test_clock_steps import RESULT_SLACK_S, has_final_result, run_with_faults

MESSAGE_COUNT = 40
TIME_LEFT_S = 4.0
FAULT_DURATION_S = 1.5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CLOSING_ANSWER = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
MEMORY_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)
EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, *MEMORY_ERRNOS)


def cpu_seconds(platform: PlatformHarness) -> float:
    """Return the CPU time used by the forwarder so far, in seconds."""
    assert platform.process is not None
    fields = Path(f"/proc/{platform.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def try_submit(platform: PlatformHarness, message: str, cls: str) -> int:
    """Submit a message; return the status, or 0 if no answer arrived in time."""
    try:
        return await asyncio.wait_for(platform.submit(message, cls, f"{TIME_LEFT_S * 1000:.0f}m"), 2.0)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0


async def submit_during_fault(platform: PlatformHarness) -> dict[str, float]:
    """Submit messages of each class during the fault; return the acceptance time by message."""
    accepted: dict[str, float] = {}

    async def submit(number: int) -> None:
        cls = ("note", "post", "pay")[number % 3]
        message = f"{cls}-{number}"
        if await try_submit(platform, message, cls) == 202:
            accepted[message] = time.monotonic()

    submissions = []
    for number in range(MESSAGE_COUNT):
        submissions.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(FAULT_DURATION_S / MESSAGE_COUNT)
    await asyncio.gather(*submissions)
    return accepted


async def check_accepted_messages(platform: PlatformHarness, accepted: dict[str, float]) -> None:
    """Check that accepted messages get results in time and non-idempotent ones are attempted once at most."""
    for message, accepted_s in accepted.items():
        remaining_s = accepted_s + TIME_LEFT_S + RESULT_SLACK_S - time.monotonic()
        await platform.wait_until(
            lambda message=message: has_final_result(platform, message),  # type: ignore[misc]
            max(0.02, remaining_s),
        )
    calls = Counter(message for message, _ in platform.calls if message.startswith("pay"))
    assert max(calls.values(), default=0) <= 1
    assert await platform.submit("after", "note") == 202
    await platform.wait_until(lambda: "after" in platform.delivered, 3.0)


@pytest.mark.parametrize(
    ("call", "errnos", "share"),
    [
        (SystemCall.ACCEPT, EXHAUSTION_ERRNOS, 0.5),
        (SystemCall.ACCEPT, (errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.ENETUNREACH), 0.5),
        (SystemCall.ACCEPT, (errno.ENETDOWN, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.EPERM), 0.5),
        (SystemCall.SOCKET, EXHAUSTION_ERRNOS, 0.5),
        (SystemCall.CONNECT, (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, *MEMORY_ERRNOS), 0.5),
        (SystemCall.CONNECT, (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT), 0.3),
        (SystemCall.RECV, (errno.EINTR, *MEMORY_ERRNOS), 0.5),
        (SystemCall.RECV, (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET), 0.1),
        (SystemCall.SEND, (errno.EINTR, *MEMORY_ERRNOS), 0.5),
        (SystemCall.SEND, (errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH), 0.1),
        (SystemCall.EPOLL_CTL, (errno.ENOMEM, errno.ENOSPC), 0.5),
        (SystemCall.SHUTDOWN, (errno.ENOTCONN, errno.ENOBUFS), 0.5),
    ],
)
def test_a_failing_call_costs_at_most_its_own_request(
    tmp_path: Path, call: SystemCall, errnos: tuple[int, ...], share: float
) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        if call in (SystemCall.SOCKET, SystemCall.CONNECT):  # forces a connect for each call
            platform.choose_answer = lambda message: CLOSING_ANSWER
        shim.fail(call, errnos, share, FAULT_DURATION_S)
        accepted = await submit_during_fault(platform)
        shim.clear_faults()
        assert shim.hits(call) > 0
        await check_accepted_messages(platform, accepted)
        assert len(accepted) >= MESSAGE_COUNT // 3
        assert "reactor_failure" not in platform.read_log()
        await check_incomplete_request_times_out(platform)

    run_with_faults(tmp_path, scenario)


async def check_incomplete_request_times_out(platform: PlatformHarness) -> None:
    """Check that timers still work: an incomplete request is answered with 408 within 3 s."""
    host, _, port = platform.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"POST /note HTTP/1.1\r\nX")
    assert (await asyncio.wait_for(reader.read(12), 3.0)).startswith(b"HTTP/1.1 408")
    writer.close()


@pytest.mark.parametrize("call", [SystemCall.SEND, SystemCall.RECV])
def test_short_transfers_lose_nothing(tmp_path: Path, call: SystemCall) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        shim.fail(call, short_transfer_fraction=0.9, seconds=FAULT_DURATION_S)
        accepted = await submit_during_fault(platform)
        shim.clear_faults()
        assert shim.hits(call) > MESSAGE_COUNT and len(accepted) == MESSAGE_COUNT
        await check_accepted_messages(platform, accepted)
        assert len(platform.delivered) == MESSAGE_COUNT + 1

    run_with_faults(tmp_path, scenario)


@pytest.mark.parametrize(
    ("call", "errnos"),
    [
        (SystemCall.ACCEPT, EXHAUSTION_ERRNOS),
        (SystemCall.RECV, MEMORY_ERRNOS),
        (SystemCall.SEND, MEMORY_ERRNOS),
        (SystemCall.SOCKET, EXHAUSTION_ERRNOS),
    ],
)
def test_persistently_failing_call_causes_no_busy_loop(
    tmp_path: Path, call: SystemCall, errnos: tuple[int, ...]
) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        assert await platform.submit("m1", left="2000m") == 202
        shim.fail(call, errnos)
        waiting = [asyncio.create_task(try_submit(platform, f"w{number}", "note")) for number in range(3)]
        await asyncio.sleep(0.3)
        before_s = cpu_seconds(platform)
        await asyncio.sleep(1.5)
        assert cpu_seconds(platform) - before_s < 0.5
        shim.clear_faults()
        await asyncio.gather(*waiting)
        assert await platform.submit("m2") == 202

    run_with_faults(tmp_path, scenario)


def test_descriptors_are_released_after_faults(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        assert platform.process is not None
        folder = f"/proc/{platform.process.pid}/fd"
        assert await platform.submit("first") == 202
        await platform.wait_until(lambda: platform.delivered)
        before = len(os.listdir(folder))
        shim.fail(SystemCall.ACCEPT, EXHAUSTION_ERRNOS, 0.3, FAULT_DURATION_S)
        shim.fail(SystemCall.CONNECT, (errno.EADDRNOTAVAIL, errno.ENETUNREACH), 0.3, FAULT_DURATION_S)
        shim.fail(SystemCall.EPOLL_CTL, (errno.ENOMEM,), 0.2, FAULT_DURATION_S)
        shim.fail(SystemCall.SEND, (errno.ECONNRESET, errno.ENOBUFS), 0.1, FAULT_DURATION_S)
        await submit_during_fault(platform)
        shim.clear_faults()
        await asyncio.sleep(1.0)
        # idle connections to peers and clients may remain open
        await platform.wait_until(lambda: len(os.listdir(folder)) <= before + 8, 5.0)

    run_with_faults(tmp_path, scenario)


def test_unavailable_port_only_delays_start(tmp_path: Path) -> None:
    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        assert await platform.submit("m1", left="8000m") == 202
        await platform.end_forwarder(signal.SIGKILL)
        shim.fail(SystemCall.BIND, (errno.EADDRINUSE, errno.EADDRNOTAVAIL, *MEMORY_ERRNOS), seconds=1.0)
        shim.fail(SystemCall.LISTEN, (errno.EADDRINUSE,), seconds=1.3)
        await platform.start_forwarder()
        await platform.wait_until(lambda: has_final_result(platform, "m1"), 5.0)
        assert await platform.submit("m2") == 202

    run_with_faults(tmp_path, scenario)


def test_a_configuration_that_can_not_be_read_now_is_read_later(tmp_path: Path) -> None:
    """The file appears 0.5 s late, both after SIGHUP and at a start."""

    async def scenario(platform: PlatformHarness, shim: FaultShim) -> None:
        assert platform.process is not None
        config, moved = platform.folder / "config.json", platform.folder / "moved.json"
        platform.discovery_name = "second"
        platform.configure()
        config.rename(moved)
        platform.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        moved.rename(config)
        await platform.wait_until(lambda: [name for name, _ in platform.watches][-1] == "second", 3.0)
        assert "reload_failed" not in platform.read_log()
        await platform.end_forwarder(signal.SIGKILL)
        starting = asyncio.create_task(platform.start_forwarder())
        await asyncio.sleep(0)
        config.rename(moved)
        await asyncio.sleep(0.6)
        moved.rename(config)
        await starting

    run_with_faults(tmp_path, scenario)


# Guards against: a start ends because the reactor's own waker can't be registered at that moment.
def test_a_reactor_is_created_although_its_waker_can_not_be_registered_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class FailingOnce:
        def __init__(self, *_: object) -> None:
            self.poller = select.epoll()
            self.failures_left = 1

        def register(self, descriptor: int, mask: int) -> None:
            self.failures_left -= 1
            if self.failures_left >= 0:
                raise OSError(errno.ENOMEM, "no memory")
            self.poller.register(descriptor, mask)

        def __getattr__(self, name: str) -> Any:
            return getattr(self.poller, name)

    monkeypatch.setattr(epollreactor, "epoll", FailingOnce)
    reactor: Any = ResilientReactor()
    called: list[str] = []
    reactor.callLater(0.1, reactor.callFromThread, called.append, "later")
    deadline_s = time.monotonic() + 2.0
    while not called and time.monotonic() < deadline_s:
        reactor.iterate(0.05)
    assert called == ["later"] and reactor.waker in reactor.getReaders()
