"""Benchmark of the message guard: CPU time of its calls per message, compared with that of a whole process.

    python benchmarks/guard_cost.py [--messages N]

The second figure is the CPU time per message of a forwarder process that delivers over loopback at the first
attempt.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
import time
from pathlib import Path

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.message_guard import MessageGuard, Result
from honeybarrow.settings import MessageClass, Settings
from tests.platform_harness import PlatformHarness
from tests.test_service_on_platform import SETTINGS

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CONCURRENT_CLIENTS = 8


def measure_guard_us(messages: int) -> float:
    """Return the microseconds of CPU time that the guard takes per message delivered at its first attempt."""
    classes = (MessageClass("note", 3_000_000, 8_000_000),)
    guard = MessageGuard(Settings(classes, (), slots=8, max_open=100), lambda violation: None, 150_000)
    guard.on_endpoint_list(MembershipUpdate(UpdateKind.FULL, 1, (Endpoint("s1", 7, EndpointState.READY),)))
    names = [f"{number:016x}" for number in range(messages)]
    started_s = time.process_time()
    for now_us, name in enumerate(names):
        guard.on_accepted(name, "note", now_us + 8_000_000, None, False, 0, None)
        guard.on_recorded(name)
        guard.may_acknowledge(name)
        guard.may_forward(name, "s1", now_us, None)  # when the attempt is decided
        guard.may_forward(name, "s1", now_us, None)  # before its first byte is written
        guard.on_attempt_started(name, "s1", now_us)
        guard.on_attempt_finished(name, now_us, False, True, False)
        guard.on_retry_after("s1", now_us, 0)
        guard.may_end(name, Result.DELIVERED)
        guard.on_settled(name)
    return (time.process_time() - started_s) / messages * 1e6


def _cpu_time_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def _measure_process_us(messages: int) -> float:
    """Return the microseconds of CPU time that a forwarder process takes per message."""
    with tempfile.TemporaryDirectory() as folder:
        platform = PlatformHarness(Path(folder), SETTINGS)
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            assert platform.process is not None
            before_s = _cpu_time_s(platform.process.pid)
            for start in range(0, messages, CONCURRENT_CLIENTS):
                batch = range(start, start + CONCURRENT_CLIENTS)
                await asyncio.gather(*(platform.submit(f"m{number}") for number in batch))
            await platform.wait_until(lambda: len(platform.delivered) >= messages)
            return (_cpu_time_s(platform.process.pid) - before_s) / messages * 1e6
        finally:
            await platform.close()


def main() -> None:
    """Print both figures and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--messages", type=int, default=4000)
    messages = parser.parse_args().messages
    guard_us = min(measure_guard_us(20_000) for _ in range(5))
    process_us = asyncio.run(_measure_process_us(messages))
    print(f"guard {guard_us:.1f} us, process {process_us:.0f} us a message: {guard_us / process_us:.1%}")


if __name__ == "__main__":
    main()
