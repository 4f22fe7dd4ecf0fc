"""Faults of the soak: what overlapping faults do to a link or an endpoint."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from pathlib import Path

import pytest

from honeybarrow.soak.clients import ClientPool
from honeybarrow.soak.discovery import StandInDiscovery
from honeybarrow.soak.endpoints import EndpointMode, StandInEndpoint
from honeybarrow.soak.forwarder_process import ForwarderUnderTest
from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.link import Impairment, LinkCondition


def test_the_end_of_one_fault_leaves_others_on_the_same_link() -> None:
    link = LinkCondition()
    slow, silent = Impairment(delay_s=0.2), Impairment(is_silent=True, delay_s=0.1)
    with link.impaired(slow):
        with link.impaired(silent):
            assert link.is_silent and link.delay_s == 0.2
        assert not link.is_silent and link.delay_s == 0.2
    assert link.delay_s == 0.0


def test_overlapping_faults_of_an_endpoint_end_separately() -> None:
    async def check() -> None:
        endpoint = StandInEndpoint("e1", 1, "127.0.0.1", History(), random.Random(1))
        await endpoint.listen("f00")
        fail = endpoint.begin_mode(EndpointMode.FAIL, 1.0, 0.5)
        hang = endpoint.begin_mode(EndpointMode.HANG, 1.0, 0.5)
        endpoint.crash()
        endpoint.become_unreachable()
        await endpoint.recover()
        assert endpoint.draw_mode() is EndpointMode.HANG and not endpoint.is_listening
        await endpoint.recover()
        assert endpoint.is_listening
        endpoint.end_mode(hang)
        assert endpoint.draw_mode() is EndpointMode.FAIL
        endpoint.end_mode(fail)
        assert endpoint.draw_mode() is EndpointMode.SERVE
        endpoint.close()

    asyncio.run(check())


def test_the_ports_of_an_endpoint_that_is_down_are_not_assigned_again() -> None:
    """Guards against calls that are recorded as those of another forwarder (soak seed 7328, rule drain)."""

    async def scenario() -> None:
        history = History()
        assigned = {port for port in range(1024, 65536) if port % 8 not in (0, 1)}
        endpoints = [
            StandInEndpoint(f"e{number}", 1, "127.0.0.1", history, random.Random(1), None, assigned)
            for number in range(20)
        ]
        for endpoint in endpoints:
            await endpoint.listen("f00")
            endpoint.crash()
        ports = [endpoint.ports["f00"] for endpoint in endpoints]
        assert len(set(ports)) == len(ports) and all(port % 8 in (0, 1) for port in ports)

    asyncio.run(scenario())


@pytest.mark.parametrize("rate_per_s", [150.0])
def test_requests_without_an_order_key_do_not_wait_for_each_other(rate_per_s: float) -> None:
    async def check() -> int:
        async def answer_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(65536):
                await asyncio.sleep(0.1)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(answer_slowly, "127.0.0.1", 0)
        history, address = History(), server.sockets[0].getsockname()
        pool = ClientPool("f00", address, [1], rate_per_s, history, random.Random(3))
        await pool.run(time.monotonic() + 1.0)
        pool.close()
        server.close()
        return sum(event.kind is EventKind.REQUEST for event in history.events)

    assert asyncio.run(check()) > 60  # one at a time would allow ten in a second


def test_a_process_that_exited_just_before_a_kill_is_recorded_as_exited(tmp_path: Path) -> None:
    async def check() -> list[str]:
        history = History()
        discovery = StandInDiscovery("127.0.0.1", history)
        await discovery.listen("f00")
        forwarder = ForwarderUnderTest("f00", tmp_path, {}, discovery, history, None, 64, None, 1)
        forwarder.process = subprocess.Popen([sys.executable, "-c", "raise SystemExit(3)"])
        forwarder.process.wait()
        restart = asyncio.create_task(forwarder.kill_and_restart())
        await asyncio.sleep(0.1)
        restart.cancel()
        discovery.close()
        return [event.detail for event in history.events]

    assert asyncio.run(check())[:1] == ["exited 3"]
