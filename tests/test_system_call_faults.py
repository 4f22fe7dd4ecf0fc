"""System calls of a real process that fail as Linux documents: what is accepted is owed, nothing spins.

The preloaded library makes the calls fail; what crossed the sockets is judged alone.
"""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import time
from collections import Counter
from pathlib import Path

import pytest

from honeybarrow.soak.fault_shim import FaultShim, SystemCall
from tests.platform import Platform
from tests.test_clock_steps import RESULT_SLACK_S, is_ended, play

MESSAGES = 40
LEFT_S = 4.0
FAULT_S = 1.5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CLOSING_ANSWER = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
LOCAL = (errno.ENOBUFS, errno.ENOMEM)
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, *LOCAL)


def processor_seconds(platform: Platform) -> float:
    """Processor time of the forwarder so far."""
    assert platform.process is not None
    fields = Path(f"/proc/{platform.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def submit_quietly(platform: Platform, message: str, cls: str) -> int:
    """Submit; 0 if there was no answer in time, as for a client whose connection failed."""
    try:
        return await asyncio.wait_for(platform.submit(message, cls, f"{LEFT_S * 1000:.0f}m"), 2.0)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0


async def submit_during_fault(platform: Platform) -> dict[str, float]:
    """Submit messages of each class over the time of the fault; when the accepted ones were."""
    accepted: dict[str, float] = {}

    async def submit(number: int) -> None:
        cls = ("note", "post", "pay")[number % 3]
        message = f"{cls}-{number}"
        if await submit_quietly(platform, message, cls) == 202:
            accepted[message] = time.monotonic()

    submissions = []
    for number in range(MESSAGES):
        submissions.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(FAULT_S / MESSAGES)
    await asyncio.gather(*submissions)
    return accepted


async def check_kept(platform: Platform, accepted: dict[str, float]) -> None:
    """Each accepted message has its result in time, and none that must not run twice did."""
    for message, accepted_s in accepted.items():
        rest_s = accepted_s + LEFT_S + RESULT_SLACK_S - time.monotonic()
        await platform.wait_until(lambda message=message: is_ended(platform, message), max(0.02, rest_s))  # type: ignore[misc]
    calls = Counter(message for message, _ in platform.calls if message.startswith("pay"))
    assert max(calls.values(), default=0) <= 1
    assert await platform.submit("after", "note") == 202
    await platform.wait_until(lambda: "after" in platform.delivered, 3.0)


@pytest.mark.parametrize(
    ("call", "errnos", "share"),
    [
        (SystemCall.ACCEPT, NO_DESCRIPTOR, 0.5),
        (SystemCall.ACCEPT, (errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.ENETUNREACH), 0.5),
        (SystemCall.ACCEPT, (errno.ENETDOWN, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.EPERM), 0.5),
        (SystemCall.SOCKET, NO_DESCRIPTOR, 0.5),
        (SystemCall.CONNECT, (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, *LOCAL), 0.5),
        (SystemCall.CONNECT, (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT), 0.3),
        (SystemCall.RECV, (errno.EINTR, *LOCAL), 0.5),
        (SystemCall.RECV, (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET), 0.1),
        (SystemCall.SEND, (errno.EINTR, *LOCAL), 0.5),
        (SystemCall.SEND, (errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH), 0.1),
        (SystemCall.EPOLL_CTL, (errno.ENOMEM, errno.ENOSPC), 0.5),
        (SystemCall.SHUTDOWN, (errno.ENOTCONN, errno.ENOBUFS), 0.5),
    ],
)
def test_a_failing_call_costs_at_most_its_own_request(
    tmp_path: Path, call: SystemCall, errnos: tuple[int, ...], share: float
) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        if call in (SystemCall.SOCKET, SystemCall.CONNECT):  # a connect for each call
            platform.choose_answer = lambda message: CLOSING_ANSWER
        shim.fail(call, errnos, share, FAULT_S)
        accepted = await submit_during_fault(platform)
        shim.recover()
        assert shim.hits(call) > 0
        await check_kept(platform, accepted)
        assert len(accepted) >= MESSAGES // 3
        assert "reactor_failure" not in platform.read_log()
        await check_half_a_request_is_timed_out(platform)

    play(tmp_path, part)


async def check_half_a_request_is_timed_out(platform: Platform) -> None:
    """The timers of the front go on: a client that stops in the middle has its answer within 3 s."""
    host, _, port = platform.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"POST /note HTTP/1.1\r\nX")
    assert (await asyncio.wait_for(reader.read(12), 3.0)).startswith(b"HTTP/1.1 408")
    writer.close()


@pytest.mark.parametrize("call", [SystemCall.SEND, SystemCall.RECV])
def test_short_transfers_lose_nothing(tmp_path: Path, call: SystemCall) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        shim.fail(call, short_share=0.9, seconds=FAULT_S)
        accepted = await submit_during_fault(platform)
        shim.recover()
        assert shim.hits(call) > MESSAGES and len(accepted) == MESSAGES
        await check_kept(platform, accepted)
        assert len(platform.delivered) == MESSAGES + 1

    play(tmp_path, part)


@pytest.mark.parametrize(
    ("call", "errnos"),
    [
        (SystemCall.ACCEPT, NO_DESCRIPTOR),
        (SystemCall.RECV, LOCAL),
        (SystemCall.SEND, LOCAL),
        (SystemCall.SOCKET, NO_DESCRIPTOR),
    ],
)
def test_a_call_that_fails_each_time_does_not_make_the_process_spin(
    tmp_path: Path, call: SystemCall, errnos: tuple[int, ...]
) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        platform.choose_answer = lambda message: None
        assert await platform.submit("m1", left="2000m") == 202
        shim.fail(call, errnos)
        waiting = [asyncio.create_task(submit_quietly(platform, f"w{number}", "note")) for number in range(3)]
        await asyncio.sleep(0.3)
        before_s = processor_seconds(platform)
        await asyncio.sleep(1.5)
        assert processor_seconds(platform) - before_s < 0.5
        shim.recover()
        await asyncio.gather(*waiting)
        assert await platform.submit("m2") == 202

    play(tmp_path, part)


def test_descriptors_are_given_back_after_faults(tmp_path: Path) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        assert platform.process is not None
        folder = f"/proc/{platform.process.pid}/fd"
        assert await platform.submit("first") == 202
        await platform.wait_until(lambda: platform.delivered)
        before = len(os.listdir(folder))
        shim.fail(SystemCall.ACCEPT, NO_DESCRIPTOR, 0.3, FAULT_S)
        shim.fail(SystemCall.CONNECT, (errno.EADDRNOTAVAIL, errno.ENETUNREACH), 0.3, FAULT_S)
        shim.fail(SystemCall.EPOLL_CTL, (errno.ENOMEM,), 0.2, FAULT_S)
        shim.fail(SystemCall.SEND, (errno.ECONNRESET, errno.ENOBUFS), 0.1, FAULT_S)
        await submit_during_fault(platform)
        shim.recover()
        await asyncio.sleep(1.0)
        # one more idle connection of each side may have been kept
        await platform.wait_until(lambda: len(os.listdir(folder)) <= before + 8, 5.0)

    play(tmp_path, part)


def test_a_port_that_can_not_be_had_at_once_delays_the_start_only(tmp_path: Path) -> None:
    async def part(platform: Platform, shim: FaultShim) -> None:
        assert await platform.submit("m1", left="8000m") == 202
        await platform.end_forwarder(signal.SIGKILL)
        shim.fail(SystemCall.BIND, (errno.EADDRINUSE, errno.EADDRNOTAVAIL, *LOCAL), seconds=1.0)
        shim.fail(SystemCall.LISTEN, (errno.EADDRINUSE,), seconds=1.3)
        await platform.start_forwarder()
        await platform.wait_until(lambda: is_ended(platform, "m1"), 5.0)
        assert await platform.submit("m2") == 202

    play(tmp_path, part)


def test_a_configuration_that_can_not_be_read_now_is_read_later(tmp_path: Path) -> None:
    """At a start and at SIGHUP: the file is put in place half a second late."""

    async def part(platform: Platform, shim: FaultShim) -> None:
        assert platform.process is not None
        config, away = platform.folder / "config.json", platform.folder / "away.json"
        platform.discovery_name = "second"
        platform.configure()
        config.rename(away)
        platform.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        away.rename(config)
        await platform.wait_until(lambda: [name for name, _ in platform.watches][-1] == "second", 3.0)
        assert "reload_failed" not in platform.read_log()
        await platform.end_forwarder(signal.SIGKILL)
        starting = asyncio.create_task(platform.start_forwarder())
        await asyncio.sleep(0)
        config.rename(away)
        await asyncio.sleep(0.6)
        away.rename(config)
        await starting

    play(tmp_path, part)
