"""One soak run: stand-ins in this process, real forwarder processes, injected faults and the rule check."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from honeybarrow.soak import settings
from honeybarrow.soak.clients import ClientPool
from honeybarrow.soak.discovery import StandInDiscovery
from honeybarrow.soak.endpoints import StandInEndpoint
from honeybarrow.soak.fault_injector import FaultInjector
from honeybarrow.soak.fault_shim import FaultShim
from honeybarrow.soak.forwarder_process import ForwarderUnderTest, free_ports, raise_descriptor_limit
from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.message_account import MessageAccount
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec, draw_faults
from honeybarrow.soak.rule_records import count_messages
from honeybarrow.soak.rules import RuleChecker, SoakRule, SoakViolation

# Wait after the load, in which all deadlines pass.
SETTLE_S = max(each.deadline_s for each in settings.CLASSES) + 2.0
MAX_START_BATCH = 8  # processes started concurrently, so that starts do not overload the machine
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
        self._injector = FaultInjector(self)
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
                await self.add_endpoint(destination, names)
        for name in names:
            await self.discovery.listen(name)
        forwarder_ports = free_ports(self.host, len(names))
        self._assigned_ports.update(forwarder_ports)
        for name, port in zip(names, forwarder_ports, strict=True):
            self._add_forwarder(name, port)
        for start in range(0, len(names), MAX_START_BATCH):
            batch = names[start : start + MAX_START_BATCH]
            await asyncio.gather(*(self.forwarders[name].start() for name in batch))

    async def add_endpoint(
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
            self.start_task(pool.run(until_s))
            self.start_task(self._send_partial_requests(pool, until_s))
            self.start_task(self._restart_exited_process(self.forwarders[name]))
        self.start_task(self._measure_lateness())
        for fault in faults:
            self.start_task(self._inject_when_due(fault))
        await asyncio.sleep(self.spec.load_s)

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until the end of the run."""
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
        await self._injector.inject(fault)

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
        self._injector.close()
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
