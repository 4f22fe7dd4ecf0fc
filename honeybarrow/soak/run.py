"""One soak run: stand-ins in this process, real forwarder processes, injected faults and the rule check."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from honeybarrow.soak import settings
from honeybarrow.soak.clients import ClientPool, ConnectionFlood
from honeybarrow.soak.crowds import CrowdKind, CrowdProcess
from honeybarrow.soak.discovery import CrowdedCalls, StandInDiscovery
from honeybarrow.soak.endpoints import EndpointMode, StandInEndpoint
from honeybarrow.soak.fault_shim import FaultShim, SystemCall
from honeybarrow.soak.forwarder_process import ForwarderUnderTest, free_ports, raise_descriptor_limit
from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.impairments import make_impairment
from honeybarrow.soak.link import LinkCondition
from honeybarrow.soak.message_account import MessageAccount
from honeybarrow.soak.plan import CrowdedCallEnd, CrowdStart, Fault, FaultKind, SoakSpec, draw_faults
from honeybarrow.soak.rule_records import count_messages
from honeybarrow.soak.rules import RuleChecker, SoakRule, SoakViolation

# Wait after the load, in which all deadlines pass.
SETTLE_S = max(each.deadline_s for each in settings.CLASSES) + 2.0
MAX_START_BATCH = 8  # processes started concurrently, so that starts do not overload the machine
LEAVE_DELAY_S = 1.5  # from the drain of an endpoint to its removal
WATCHDOG_INTERVAL_S = 0.2
PARTIAL_REQUEST_INTERVAL_S = 2.0
SHUTDOWN_BATCH = 12  # processes stopped concurrently
_FAILURE_MARKERS = ("Traceback (most recent", "reactor_failure", "policy_failed", "call_crashed")


@dataclass(slots=True)
class SoakResult:
    """Result of one run: violations, faults, history and totals."""

    seed: int
    violations: list[SoakViolation]
    faults: list[Fault]
    history: History
    counts: Counter[str] = field(default_factory=Counter)
    guard_violations: list[str] = field(default_factory=list)
    cpu_s: float = 0.0  # CPU time of the forwarders
    max_lateness_s: float = 0.0  # largest timer delay of the stand-ins' event loop

    @property
    def has_passed(self) -> bool:
        """Whether no rule was broken and the guard reported no violation."""
        return not self.violations and not self.guard_violations


class SoakRun:
    """One run, with its files in ``folder``.

    :param library: Path of the fault shim; ``None`` leaves out the faults that need it.
    :param faults: Faults to inject instead of random ones.
    :param source: Checkout from which to run the forwarders; ``None`` for the installed package.
    """

    def __init__(
        self,
        spec: SoakSpec,
        folder: Path,
        library: Path | None,
        faults: Sequence[Fault] | None = None,
        source: Path | None = None,
    ) -> None:
        self.spec, self.folder, self.library, self.source = spec, folder, library, source
        self._fixed_faults = faults
        self.history = History()
        self.rng = random.Random(spec.seed ^ 0x5EED)
        self.host = _unique_loopback_address()
        self.discovery = StandInDiscovery(self.host, self.history)
        self.account = MessageAccount(self.history, spec.seed, spec.end_share)
        self.endpoints: dict[str, StandInEndpoint] = {}
        self.forwarders: dict[str, ForwarderUnderTest] = {}
        self.clients: dict[str, ClientPool] = {}
        self.shims: dict[str, FaultShim] = {}
        self._connection_floods: list[ConnectionFlood] = []
        self._crowds: list[CrowdProcess] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._endpoint_count = 0
        self._assigned_ports: set[int] = set()  # of endpoints and forwarders, also while they are down
        self._max_lateness_s = 0.0
        self._load_started_s = 0.0

    async def execute(self) -> SoakResult:
        """Run the forwarders under load and faults, check the rules and return the result."""
        raise_descriptor_limit()
        try:
            await self._set_up()
            faults = self._choose_faults()
            await self._run_load(faults)
            await self._wait_for_results()
            await self._stop_forwarders()
            return self._check_rules(faults)
        finally:
            self._tear_down()

    # setup

    async def _set_up(self) -> None:
        names = [f"f{number:02d}" for number in range(self.spec.forwarders)]
        for destination in range(1, self.spec.destinations + 1):
            for _ in range(self.spec.endpoints_per_destination):
                await self._add_endpoint(destination, names)
        for name in names:
            await self.discovery.listen(name)
        forwarder_ports = free_ports(self.host, len(names))
        self._assigned_ports.update(forwarder_ports)
        for name, port in zip(names, forwarder_ports, strict=True):
            self._add_forwarder(name, port)
        for start in range(0, len(names), MAX_START_BATCH):
            batch = names[start : start + MAX_START_BATCH]
            await asyncio.gather(*(self.forwarders[name].start() for name in batch))

    async def _add_endpoint(
        self, destination: int, forwarders: Sequence[str], predecessor: StandInEndpoint | None = None
    ) -> StandInEndpoint:
        """Start an endpoint and list it, or start it unlisted at the addresses of its predecessor."""
        self._endpoint_count += 1
        name = f"e{self._endpoint_count}"
        endpoint = StandInEndpoint(
            name, destination, self.host, self.history, self.rng, self.account, self._assigned_ports
        )
        if predecessor is not None:
            endpoint.predecessor, endpoint.ports = predecessor.name, dict(predecessor.ports)
        for forwarder in forwarders:
            await endpoint.listen(forwarder)
        self.endpoints[name] = endpoint
        if predecessor is None:
            self.discovery.set_status(endpoint, "active")
        return endpoint

    def _add_forwarder(self, name: str, port: int) -> None:
        folder = self.folder / name
        folder.mkdir(parents=True)
        if self.library is not None:
            seed = self.rng.randrange(1 << 32)
            self.shims[name] = FaultShim(self.library, folder / "control", folder / "state", seed)
        forwarder = ForwarderUnderTest(
            name,
            folder,
            settings.make_forwarder_settings(self.spec.forwarders, len(self.forwarders) % 2 == 1),
            self.discovery,
            self.history,
            self.shims.get(name),
            self.spec.descriptors,
            self.source,
            port,
            self.spec.memory_limits_mb[len(self.forwarders) % len(self.spec.memory_limits_mb)],
        )
        self.forwarders[name] = forwarder
        destinations = list(range(1, self.spec.destinations + 1))
        self.clients[name] = ClientPool(
            name, forwarder.address, destinations, self.spec.rate_per_s, self.history, self.rng
        )

    def _choose_faults(self) -> list[Fault]:
        if self._fixed_faults is not None:
            return list(self._fixed_faults)
        faults = draw_faults(self.spec, list(self.forwarders), list(self.endpoints))
        if self.library is None:
            faults = [fault for fault in faults if fault.kind not in _KINDS_NEEDING_SHIM]
        return faults

    # load

    async def _run_load(self, faults: Sequence[Fault]) -> None:
        self._load_started_s = time.monotonic()
        until_s = self._load_started_s + self.spec.load_s
        for name, pool in self.clients.items():
            self._start_task(pool.run(until_s))
            self._start_task(self._send_partial_requests(pool, until_s))
            self._start_task(self._restart_exited_process(self.forwarders[name]))
        self._start_task(self._measure_lateness())
        for fault in faults:
            self._start_task(self._inject_when_due(fault))
        await asyncio.sleep(self.spec.load_s)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _send_partial_requests(self, pool: ClientPool, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(PARTIAL_REQUEST_INTERVAL_S * (1 + self.rng.random()))
            await pool.send_partial_request()

    async def _restart_exited_process(self, forwarder: ForwarderUnderTest) -> None:
        while True:
            await asyncio.sleep(WATCHDOG_INTERVAL_S)
            forwarder.record_memory()
            await forwarder.restart_if_exited()

    async def _measure_lateness(self) -> None:
        while True:
            due_s = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self._max_lateness_s = max(self._max_lateness_s, time.monotonic() - due_s)

    async def _inject_when_due(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._load_started_s + fault.start_s - time.monotonic()))
        forwarder = fault.target if fault.target in self.forwarders else ""
        self.history.add(EventKind.FAULT, forwarder, detail=fault.format())
        await self._inject(fault)

    async def _inject(self, fault: Fault) -> None:
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
        start, end = fault.detail.split()
        forwarder = self.forwarders[fault.target]
        crowded = CrowdedCalls(fault.amount, CrowdedCallEnd(end))
        self.discovery.crowded_calls[fault.target] = crowded
        listed = [each for name, each in self.endpoints.items() if name in self.discovery.statuses]
        self._start_task(self._replace(self.rng.choice(listed)))
        match CrowdStart(start):
            case CrowdStart.RELOAD:
                forwarder.reload()
            case CrowdStart.RESTART:
                await self._kill(fault)
            case CrowdStart.SERVICE:
                self.discovery.reset_watches(fault.target)
        end_s = self._load_started_s + fault.start_s + fault.duration_s
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        if self.discovery.crowded_calls.get(fault.target) is crowded:
            del self.discovery.crowded_calls[fault.target]

    async def _replace_endpoint(self, fault: Fault) -> None:
        await self._replace(self.endpoints[fault.target])

    async def _replace(self, leaving: StandInEndpoint) -> None:
        if leaving.name not in self.discovery.statuses:
            return
        await self._add_endpoint(leaving.destination, list(self.forwarders))
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
        successor = await self._add_endpoint(destination, list(self.forwarders), leaving)
        await asyncio.sleep(fault.amount)
        self.discovery.set_status(leaving, "left")
        self.discovery.set_status(successor, "active")

    # shutdown

    async def _wait_for_results(self) -> None:
        """End the faults of the shims and wait until all deadlines have passed and restarts have ended."""
        for shim in self.shims.values():
            shim.clear_faults()
        await asyncio.sleep(SETTLE_S)
        until_s = time.monotonic() + 10.0
        while any(each.is_stopping for each in self.forwarders.values()) and time.monotonic() < until_s:
            await asyncio.sleep(0.1)  # a restart is still in progress

    async def _stop_forwarders(self) -> None:
        for task in self._tasks:
            task.cancel()
        names = list(self.forwarders)
        for start in range(0, len(names), SHUTDOWN_BATCH):
            batch = [self.forwarders[name] for name in names[start : start + SHUTDOWN_BATCH]]
            statuses = await asyncio.gather(*(each.stop() for each in batch))
            for forwarder, status in zip(batch, statuses, strict=True):
                if status != 0:
                    detail = f"exited {status} at the end"
                    self.history.add(EventKind.PROCESS, forwarder.name, detail=detail)

    def _check_rules(self, faults: list[Fault]) -> SoakResult:
        destinations = {name: endpoint.destination for name, endpoint in self.endpoints.items()}
        predecessors = {name: each.predecessor for name, each in self.endpoints.items() if each.predecessor}
        checker = RuleChecker(self.history, faults, self._load_started_s, destinations, predecessors)
        violations = checker.check()
        guard_violations = []
        for forwarder in self.forwarders.values():
            logged = forwarder.guard_violations()
            guard_violations += [f"{forwarder.name}: {line}" for line in logged]
            if logged:
                violations.append(SoakViolation(SoakRule.GUARD, "", forwarder.name, logged[0]))
            text = forwarder.log_text()
            for marker in _FAILURE_MARKERS:
                if marker in text:
                    line = next(each for each in text.splitlines() if marker in each)
                    violations.append(SoakViolation(SoakRule.CRASH, "", forwarder.name, line[:200]))
        counts = count_messages(checker.messages)
        return SoakResult(
            self.spec.seed, violations, faults, self.history, counts, guard_violations,
            sum(each.cpu_s for each in self.forwarders.values()), self._max_lateness_s,
        )  # fmt: skip

    def _tear_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        for flood in self._connection_floods:
            flood.close()
        for crowd in self._crowds:
            crowd.close()
        for pool in self.clients.values():
            pool.close()
        for forwarder in self.forwarders.values():
            forwarder.kill()
        for endpoint in self.endpoints.values():
            endpoint.close()
        self.discovery.close()


_KINDS_NEEDING_SHIM = frozenset(
    (
        FaultKind.CLOCK_STEP, FaultKind.CLOCK_STEP_AT_RESTART, FaultKind.SYSTEM_CALL, FaultKind.FOLDER,
        FaultKind.TORN_WRITE, FaultKind.STALL,
    )
)  # fmt: skip


def _unique_loopback_address() -> str:
    """Return a loopback address that depends on the process id.

    On a shared address, another run or an outgoing connection could take the port of a forwarder while it
    restarts.
    """
    process_id = os.getpid()
    return f"127.{64 + process_id // 256 % 64}.{process_id % 256}.1"


def run_soak(
    spec: SoakSpec,
    folder: Path,
    library: Path | None,
    faults: Sequence[Fault] | None = None,
    source: Path | None = None,
) -> SoakResult:
    """Execute one run in a new event loop and return its result."""
    return asyncio.run(SoakRun(spec, folder, library, faults, source).execute())
