"""Injection of the faults of a soak run into its processes, endpoints, links and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

from honeybarrow.soak.clients import ConnectionFlood
from honeybarrow.soak.crowds import CrowdKind, CrowdProcess
from honeybarrow.soak.discovery import CrowdedCalls
from honeybarrow.soak.endpoints import EndpointMode, StandInEndpoint
from honeybarrow.soak.fault_shim import SystemCall
from honeybarrow.soak.impairments import make_impairment
from honeybarrow.soak.link import LinkCondition
from honeybarrow.soak.plan import CrowdedCallEnd, CrowdStart, Fault, FaultKind

if TYPE_CHECKING:
    from honeybarrow.soak.run import SoakRun

LEAVE_DELAY_S = 1.5  # from the drain of an endpoint to its removal


class FaultInjector:
    """Injects faults into one run, whose peers and processes it shares."""

    def __init__(self, run: SoakRun) -> None:
        self.run, self.spec, self.rng, self.account = run, run.spec, run.rng, run.account
        self.forwarders, self.clients, self.shims = run.forwarders, run.clients, run.shims
        self.endpoints, self.discovery = run.endpoints, run.discovery
        self._connection_floods: list[ConnectionFlood] = []
        self._crowds: list[CrowdProcess] = []

    def close(self) -> None:
        """Close all crowds of clients."""
        for flood in self._connection_floods:
            flood.close()
        for crowd in self._crowds:
            crowd.close()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, and end it after its duration."""
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.TERMINATE: self._terminate,
            FaultKind.KILL: self._kill,
            FaultKind.KILL_AFTER_END: self._kill_after_end,
            FaultKind.RELOAD: self._reload,
            FaultKind.SIGNALS: self._send_signals,
            FaultKind.PAUSE: self._pause,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.CLOCK_STEP_AT_RESTART: self._step_clock_at_restart,
            FaultKind.SYSTEM_CALL: self._fail_system_calls,
            FaultKind.FOLDER: self._fail_system_calls,
            FaultKind.TORN_WRITE: self._tear_write,
            FaultKind.STALL: self._stall,
            FaultKind.ENDPOINT_MODE: self._set_mode,
            FaultKind.ENDPOINT_CRASH: self._crash_endpoint,
            FaultKind.ENDPOINT_VANISH: self._make_endpoint_unreachable,
            FaultKind.OUTAGE: self._fail_destination,
            FaultKind.LINK: self._impair_endpoint_links,
            FaultKind.COPY: self._copy_data,
            FaultKind.CLIENT_LINK: self._impair_client_link,
            FaultKind.DISCOVERY_DOWN: self._stop_discovery,
            FaultKind.DISCOVERY_LINK: self._impair_discovery_link,
            FaultKind.DISCOVERY_CROWD: self._crowd_discovery,
            FaultKind.REPLACE: self._replace_endpoint,
            FaultKind.CROWD: self._flood_connections,
            FaultKind.CLIENT_CROWD: self._play_crowd,
            FaultKind.REPEAT: self._repeat_requests,
            FaultKind.TAKE_OVER: self._take_over_address,
        }
        await handlers[fault.kind](fault)

    # faults of processes

    async def _terminate(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.target]
        if not forwarder.is_stopping:
            await forwarder.terminate_and_restart()

    async def _kill(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.target]
        if not forwarder.is_stopping:
            await forwarder.kill_and_restart()

    async def _kill_after_end(self, fault: Fault) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.account.next_end(fault.target), fault.duration_s)
            await asyncio.sleep(fault.amount)
            await self._kill(fault)

    async def _reload(self, fault: Fault) -> None:
        self.forwarders[fault.target].reload()

    async def _send_signals(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.target]
        forwarder.reload()
        await forwarder.pause(0.1)
        forwarder.reload()
        if not forwarder.is_stopping:
            restart = asyncio.create_task(forwarder.terminate_and_restart())
            await asyncio.sleep(0.05)
            forwarder.reload()
            forwarder.send_signal(signal.SIGTERM)
            await restart

    async def _pause(self, fault: Fault) -> None:
        until_s = time.monotonic() + fault.duration_s
        while time.monotonic() < until_s:
            await self.forwarders[fault.target].pause(fault.amount)
            await asyncio.sleep(0.2)

    async def _step_clock(self, fault: Fault) -> None:
        self.shims[fault.target].step_wall_clock(fault.amount)

    async def _step_clock_at_restart(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.target]
        if not forwarder.is_stopping:
            await forwarder.kill_and_restart(fault.amount)

    async def _fail_system_calls(self, fault: Fault) -> None:
        call = SystemCall(int(fault.amount))
        self.shims[fault.target].fail(
            call, fault.errnos, fault.probability, fault.duration_s, fault.probability / 4
        )

    async def _tear_write(self, fault: Fault) -> None:
        shim = self.shims[fault.target]
        shim.fail(SystemCall.WRITE, seconds=fault.duration_s, kill_fraction=fault.probability)
        await asyncio.sleep(fault.duration_s)
        shim.clear_faults(SystemCall.WRITE)

    async def _stall(self, fault: Fault) -> None:
        self.shims[fault.target].stall(fault.amount, fault.probability, fault.duration_s)

    # faults of endpoints and links

    async def _set_mode(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.target]
        active = endpoint.begin_mode(EndpointMode(fault.detail), fault.probability, fault.amount)
        await asyncio.sleep(fault.duration_s)
        endpoint.end_mode(active)

    async def _crash_endpoint(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.target]
        endpoint.crash()
        await asyncio.sleep(fault.duration_s)
        await endpoint.recover()

    async def _make_endpoint_unreachable(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.target]
        endpoint.become_unreachable()
        await asyncio.sleep(fault.duration_s)
        await endpoint.recover()

    async def _fail_destination(self, fault: Fault) -> None:
        endpoints = [each for each in self.endpoints.values() if each.destination == int(fault.target)]
        for endpoint in endpoints:
            endpoint.crash()
        await asyncio.sleep(fault.duration_s)
        for endpoint in endpoints:
            await endpoint.recover()

    async def _impair_endpoint_links(self, fault: Fault) -> None:
        await self._impair(fault, self._links_to_a_destination(fault.target))

    def _links_to_a_destination(self, forwarder: str) -> list[LinkCondition]:
        destination = self.rng.randrange(1, self.spec.destinations + 1)
        return [
            endpoint.links[forwarder]
            for endpoint in self.endpoints.values()
            if endpoint.destination == destination
        ]

    async def _copy_data(self, fault: Fault) -> None:
        link_name, _, _ = fault.detail.split()
        if link_name == "platform":
            await self._impair(fault, [self.discovery.links[fault.target]])
        else:
            await self._impair(fault, self._links_to_a_destination(fault.target))

    async def _impair_client_link(self, fault: Fault) -> None:
        await self._impair(fault, [self.clients[fault.target].condition])

    async def _impair_discovery_link(self, fault: Fault) -> None:
        await self._impair(fault, [self.discovery.links[fault.target]])

    async def _impair(self, fault: Fault, links: Sequence[LinkCondition]) -> None:
        impairment = make_impairment(fault)
        for link in links:
            link.add(impairment)
        await asyncio.sleep(fault.duration_s)
        for link in links:
            link.remove(impairment)

    async def _stop_discovery(self, fault: Fault) -> None:
        self.discovery.go_down()
        await asyncio.sleep(fault.duration_s)
        self.discovery.come_back()

    async def _crowd_discovery(self, fault: Fault) -> None:
        """Let the calls of a forwarder fail from an event on, and replace an endpoint meanwhile."""
        end_s = time.monotonic() + fault.duration_s
        start, end = fault.detail.split()
        forwarder = self.forwarders[fault.target]
        crowded = CrowdedCalls(fault.amount, CrowdedCallEnd(end))
        self.discovery.crowded_calls[fault.target] = crowded
        listed = [each for name, each in self.endpoints.items() if name in self.discovery.statuses]
        self.run.start_task(self._replace(self.rng.choice(listed)))
        match CrowdStart(start):
            case CrowdStart.RELOAD:
                forwarder.reload()
            case CrowdStart.RESTART:
                await self._kill(fault)
            case CrowdStart.SERVICE:
                self.discovery.reset_watches(fault.target)
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        if self.discovery.crowded_calls.get(fault.target) is crowded:
            del self.discovery.crowded_calls[fault.target]

    async def _replace_endpoint(self, fault: Fault) -> None:
        await self._replace(self.endpoints[fault.target])

    async def _replace(self, leaving: StandInEndpoint) -> None:
        if leaving.name not in self.discovery.statuses:
            return
        await self.run.add_endpoint(leaving.destination, list(self.forwarders))
        self.discovery.set_status(leaving, "leaving")
        await asyncio.sleep(LEAVE_DELAY_S)
        self.discovery.set_status(leaving, "left")

    async def _flood_connections(self, fault: Fault) -> None:
        flood = ConnectionFlood(self.forwarders[fault.target].address, int(fault.amount), self.rng)
        self._connection_floods.append(flood)
        await flood.run(fault.duration_s)
        await asyncio.sleep(fault.duration_s)
        flood.close()

    async def _play_crowd(self, fault: Fault) -> None:
        address = self.forwarders[fault.target].address
        destination = 1 + int(fault.amount) % self.spec.destinations
        crowd = CrowdProcess(
            CrowdKind(fault.detail), address, destination, int(fault.amount), fault.duration_s, self.spec.seed
        )
        self._crowds.append(crowd)
        await crowd.run(sys.executable)

    async def _repeat_requests(self, fault: Fault) -> None:
        await self.clients[fault.target].repeat_requests(fault.duration_s)

    async def _take_over_address(self, fault: Fault) -> None:
        """Start an endpoint of another destination at the address of one that ends, listed a while later."""
        leaving = self.endpoints[fault.target]
        if leaving.name not in self.discovery.statuses or not leaving.is_listening:
            return
        leaving.retire()
        destination = 1 + leaving.destination % self.spec.destinations
        successor = await self.run.add_endpoint(destination, list(self.forwarders), leaving)
        await asyncio.sleep(fault.amount)
        self.discovery.set_status(leaving, "left")
        self.discovery.set_status(successor, "active")
