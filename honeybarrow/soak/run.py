"""One soak run: stand-ins in this process, forwarders as real ones, the faults of a plan, and the verdict."""

from __future__ import annotations

import asyncio
import os
import random
import resource
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from honeybarrow.soak import settings
from honeybarrow.soak.clients import ClientPool, IdleCrowd
from honeybarrow.soak.discovery import StandInDiscovery
from honeybarrow.soak.endpoints import EndpointMode, StandInEndpoint
from honeybarrow.soak.fault_shim import FaultShim, SystemCall
from honeybarrow.soak.forwarder_process import ForwarderUnderTest, free_ports
from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.link import LinkCondition
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec, draw_faults
from honeybarrow.soak.rules import Judge, SoakRule, SoakViolation

SETTLE_S = max(each.deadline_s for each in settings.CLASSES) + 2.0  # after the load, for the last results
MAX_START_BATCH = 8  # processes that start at once, so that the machine is not the fault
LEAVE_DELAY_S = 1.5  # from an endpoint's drain to its removal
WATCHDOG_INTERVAL_S = 0.2
HALF_REQUEST_INTERVAL_S = 2.0
SHUTDOWN_BATCH = 12
_FAILURE_WORDS = ("Traceback (most recent", "reactor_failure", "policy_failed", "call_crashed")


@dataclass(slots=True)
class SoakResult:
    """The verdict on one run, and its figures."""

    seed: int
    violations: list[SoakViolation]
    faults: list[Fault]
    history: History
    counts: Counter[str] = field(default_factory=Counter)
    guard_violations: list[str] = field(default_factory=list)
    processor_s: float = 0.0
    max_lateness_s: float = 0.0  # of the stand-ins' own loop

    @property
    def has_passed(self) -> bool:
        """Whether no rule was broken and the guard refused nothing unexpected."""
        return not self.violations and not self.guard_violations


class SoakRun:
    """One run in a folder of its own.

    ``library``: the fault shim, ``None`` where there is no compiler; ``faults``: in place of drawn ones;
    ``source``: another checkout whose forwarder is to be played.
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
        self._given_faults = faults
        self.history = History()
        self.rng = random.Random(spec.seed ^ 0x5EED)
        self.host = _own_loopback_address()
        self.discovery = StandInDiscovery(self.host, self.history)
        self.endpoints: dict[str, StandInEndpoint] = {}
        self.forwarders: dict[str, ForwarderUnderTest] = {}
        self.clients: dict[str, ClientPool] = {}
        self.shims: dict[str, FaultShim] = {}
        self._crowds: list[IdleCrowd] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._endpoint_count = 0
        self._max_lateness_s = 0.0
        self._load_started_s = 0.0

    async def play(self) -> SoakResult:
        """Play the run to its end."""
        _raise_descriptor_limit()
        try:
            await self._set_up()
            faults = self._choose_faults()
            await self._load(faults)
            await self._settle()
            await self._stop_forwarders()
            return self._judge(faults)
        finally:
            self._tear_down()

    # set up

    async def _set_up(self) -> None:
        names = [f"f{number:02d}" for number in range(self.spec.forwarders)]
        for destination in range(1, self.spec.destinations + 1):
            for _ in range(self.spec.endpoints_each):
                await self._add_endpoint(destination, names)
        for name in names:
            await self.discovery.listen(name)
        for name, port in zip(names, free_ports(self.host, len(names)), strict=True):
            self._add_forwarder(name, port)
        for start in range(0, len(names), MAX_START_BATCH):
            batch = names[start : start + MAX_START_BATCH]
            await asyncio.gather(*(self.forwarders[name].start() for name in batch))

    async def _add_endpoint(self, destination: int, forwarders: Sequence[str]) -> StandInEndpoint:
        self._endpoint_count += 1
        name = f"e{self._endpoint_count}"
        endpoint = StandInEndpoint(name, destination, self.host, self.history, self.rng)
        for forwarder in forwarders:
            await endpoint.listen(forwarder)
        self.endpoints[name] = endpoint
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
            settings.wire_settings(self.spec.forwarders),
            self.discovery,
            self.history,
            self.shims.get(name),
            self.spec.descriptors,
            self.source,
            port,
        )
        self.forwarders[name] = forwarder
        destinations = list(range(1, self.spec.destinations + 1))
        self.clients[name] = ClientPool(
            name, forwarder.address, destinations, self.spec.rate_per_s, self.history, self.rng
        )

    def _choose_faults(self) -> list[Fault]:
        if self._given_faults is not None:
            return list(self._given_faults)
        faults = draw_faults(self.spec, list(self.forwarders), list(self.endpoints))
        if self.library is None:
            faults = [fault for fault in faults if fault.kind not in _SHIM_KINDS]
        return faults

    # load

    async def _load(self, faults: Sequence[Fault]) -> None:
        self._load_started_s = time.monotonic()
        until_s = self._load_started_s + self.spec.load_s
        for name, pool in self.clients.items():
            self._start(pool.run(until_s))
            self._start(self._send_half_requests(pool, until_s))
            self._start(self._restart_the_dead(self.forwarders[name]))
        self._start(self._measure_lateness())
        for fault in faults:
            self._start(self._inject_at(fault))
        await asyncio.sleep(self.spec.load_s)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _send_half_requests(self, pool: ClientPool, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(HALF_REQUEST_INTERVAL_S * (1 + self.rng.random()))
            await pool.send_half_request()

    async def _restart_the_dead(self, forwarder: ForwarderUnderTest) -> None:
        while True:
            await asyncio.sleep(WATCHDOG_INTERVAL_S)
            await forwarder.restart_if_dead()

    async def _measure_lateness(self) -> None:
        while True:
            due_s = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self._max_lateness_s = max(self._max_lateness_s, time.monotonic() - due_s)

    async def _inject_at(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._load_started_s + fault.start_s - time.monotonic()))
        forwarder = fault.place if fault.place in self.forwarders else ""
        self.history.add(EventKind.FAULT, forwarder, detail=fault.format())
        await self._inject(fault)

    async def _inject(self, fault: Fault) -> None:
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.TERMINATE: self._terminate,
            FaultKind.KILL: self._kill,
            FaultKind.RELOAD: self._reload,
            FaultKind.SIGNALS: self._send_signals,
            FaultKind.PAUSE: self._pause,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.CLOCK_STEP_AT_RESTART: self._step_clock_at_restart,
            FaultKind.SYSTEM_CALL: self._fail_calls,
            FaultKind.FOLDER: self._fail_calls,
            FaultKind.TORN_WRITE: self._tear_write,
            FaultKind.STALL: self._stall,
            FaultKind.ENDPOINT_MODE: self._set_mode,
            FaultKind.ENDPOINT_CRASH: self._crash_endpoint,
            FaultKind.ENDPOINT_VANISH: self._vanish_endpoint,
            FaultKind.OUTAGE: self._fail_destination,
            FaultKind.LINK: self._disturb_endpoint_links,
            FaultKind.CLIENT_LINK: self._disturb_client_link,
            FaultKind.DISCOVERY_DOWN: self._stop_discovery,
            FaultKind.DISCOVERY_LINK: self._disturb_discovery_link,
            FaultKind.REPLACE: self._replace_endpoint,
            FaultKind.CROWD: self._crowd,
        }
        await handlers[fault.kind](fault)

    # faults of processes

    async def _terminate(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.place]
        if not forwarder.is_ending:
            await forwarder.terminate_and_restart()

    async def _kill(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.place]
        if not forwarder.is_ending:
            await forwarder.kill_and_restart()

    async def _reload(self, fault: Fault) -> None:
        self.forwarders[fault.place].reload()

    async def _send_signals(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.place]
        forwarder.reload()
        await forwarder.pause(0.1)
        forwarder.reload()
        if not forwarder.is_ending:
            restart = asyncio.create_task(forwarder.terminate_and_restart())
            await asyncio.sleep(0.05)
            forwarder.reload()
            forwarder.send_signal(signal.SIGTERM)
            await restart

    async def _pause(self, fault: Fault) -> None:
        until_s = time.monotonic() + fault.duration_s
        while time.monotonic() < until_s:
            await self.forwarders[fault.place].pause(fault.amount)
            await asyncio.sleep(0.2)

    async def _step_clock(self, fault: Fault) -> None:
        self.shims[fault.place].step_wall_clock(fault.amount)

    async def _step_clock_at_restart(self, fault: Fault) -> None:
        forwarder = self.forwarders[fault.place]
        if not forwarder.is_ending:
            await forwarder.kill_and_restart(fault.amount)

    async def _fail_calls(self, fault: Fault) -> None:
        call = SystemCall(int(fault.amount))
        self.shims[fault.place].fail(call, fault.errnos, fault.share, fault.duration_s, fault.share / 4)

    async def _tear_write(self, fault: Fault) -> None:
        shim = self.shims[fault.place]
        shim.fail(SystemCall.WRITE, seconds=fault.duration_s, kill_share=fault.share)
        await asyncio.sleep(fault.duration_s)
        shim.recover(SystemCall.WRITE)

    async def _stall(self, fault: Fault) -> None:
        self.shims[fault.place].stall(fault.amount, fault.share, fault.duration_s)

    # faults of endpoints and links

    async def _set_mode(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.place]
        endpoint.mode, endpoint.mode_share = EndpointMode(fault.detail), fault.share
        endpoint.wait_s = fault.amount
        await asyncio.sleep(fault.duration_s)
        endpoint.mode, endpoint.mode_share = EndpointMode.SERVE, 1.0

    async def _crash_endpoint(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.place]
        endpoint.crash()
        await asyncio.sleep(fault.duration_s)
        await endpoint.recover()

    async def _vanish_endpoint(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.place]
        endpoint.vanish()
        await asyncio.sleep(fault.duration_s)
        await endpoint.recover()

    async def _fail_destination(self, fault: Fault) -> None:
        own = [each for each in self.endpoints.values() if each.destination == int(fault.place)]
        for endpoint in own:
            endpoint.crash()
        await asyncio.sleep(fault.duration_s)
        for endpoint in own:
            await endpoint.recover()

    async def _disturb_endpoint_links(self, fault: Fault) -> None:
        destination = self.rng.randrange(1, self.spec.destinations + 1)
        links = [
            endpoint.links[fault.place]
            for endpoint in self.endpoints.values()
            if endpoint.destination == destination
        ]
        await self._disturb(fault, links)

    async def _disturb_client_link(self, fault: Fault) -> None:
        await self._disturb(fault, [self.clients[fault.place].condition])

    async def _disturb_discovery_link(self, fault: Fault) -> None:
        await self._disturb(fault, [self.discovery.links[fault.place]])

    async def _disturb(self, fault: Fault, links: Sequence[LinkCondition]) -> None:
        _set_condition(links, fault)
        await asyncio.sleep(fault.duration_s)
        for link in links:
            link.delay_s, link.is_silent, link.trickle_bytes = 0.0, False, 0
            link.reset_share = link.half_close_share = 0.0

    async def _stop_discovery(self, fault: Fault) -> None:
        self.discovery.go_down()
        await asyncio.sleep(fault.duration_s)
        self.discovery.come_up()

    async def _replace_endpoint(self, fault: Fault) -> None:
        leaving = self.endpoints[fault.place]
        if leaving.name not in self.discovery.statuses:
            return
        await self._add_endpoint(leaving.destination, list(self.forwarders))
        self.discovery.set_status(leaving, "leaving")
        await asyncio.sleep(LEAVE_DELAY_S)
        self.discovery.set_status(leaving, "left")

    async def _crowd(self, fault: Fault) -> None:
        crowd = IdleCrowd(self.forwarders[fault.place].address, int(fault.amount), self.rng)
        self._crowds.append(crowd)
        await crowd.run(fault.duration_s)
        await asyncio.sleep(fault.duration_s)
        crowd.close()

    # end

    async def _settle(self) -> None:
        """End all faults and wait until every message's time is up."""
        for shim in self.shims.values():
            shim.recover()
        await asyncio.sleep(SETTLE_S)
        until_s = time.monotonic() + 10.0
        while any(each.is_ending for each in self.forwarders.values()) and time.monotonic() < until_s:
            await asyncio.sleep(0.1)  # a restart that began late

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

    def _judge(self, faults: list[Fault]) -> SoakResult:
        destinations = {name: endpoint.destination for name, endpoint in self.endpoints.items()}
        judge = Judge(self.history, faults, self._load_started_s, destinations)
        violations = judge.judge()
        guard_violations = []
        for forwarder in self.forwarders.values():
            own = forwarder.guard_violations()
            guard_violations += [f"{forwarder.name}: {line}" for line in own]
            if own:
                violations.append(SoakViolation(SoakRule.GUARD, "", forwarder.name, own[0]))
            text = forwarder.log_text()
            for word in _FAILURE_WORDS:
                if word in text:
                    line = next(each for each in text.splitlines() if word in each)
                    violations.append(SoakViolation(SoakRule.CRASH, "", forwarder.name, line[:200]))
        return SoakResult(
            self.spec.seed, violations, faults, self.history, _count(judge), guard_violations,
            sum(each.processor_s for each in self.forwarders.values()), self._max_lateness_s,
        )  # fmt: skip

    def _tear_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        for crowd in self._crowds:
            crowd.close()
        for pool in self.clients.values():
            pool.close()
        for forwarder in self.forwarders.values():
            forwarder.kill()
        for endpoint in self.endpoints.values():
            endpoint.close()
        self.discovery.close()


_SHIM_KINDS = frozenset(
    (
        FaultKind.CLOCK_STEP, FaultKind.CLOCK_STEP_AT_RESTART, FaultKind.SYSTEM_CALL, FaultKind.FOLDER,
        FaultKind.TORN_WRITE, FaultKind.STALL,
    )
)  # fmt: skip


def _set_condition(links: Sequence[LinkCondition], fault: Fault) -> None:
    for link in links:
        match fault.detail:
            case "delay":
                link.delay_s = fault.amount
            case "silent":
                link.is_silent = True
            case "trickle":
                link.trickle_bytes = int(fault.amount)
            case "reset":
                link.reset_share = fault.share
            case "half_close":
                link.half_close_share = fault.share


def _count(judge: Judge) -> Counter[str]:
    counts: Counter[str] = Counter()
    for message in judge.messages.values():
        counts["requests"] += 1
        counts["accepted"] += message.accepted_s is not None
        counts["calls"] += len(message.calls)
        if message.accepted_s is not None:
            counts["delivered"] += message.delivered_s <= message.ended_s < float("inf")
            counts["notified"] += bool(message.notified)
    return counts


def _own_loopback_address() -> str:
    """Return an address that no other run uses.

    Danger: on a shared one, another run or any outgoing connection may take the port of a forwarder that is
    just being restarted.
    """
    number = os.getpid()
    return f"127.{64 + number // 256 % 64}.{number % 256}.1"


def _raise_descriptor_limit() -> None:
    """Use as many descriptors as this process is allowed: each link has a listener."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def play(
    spec: SoakSpec,
    folder: Path,
    library: Path | None,
    faults: Sequence[Fault] | None = None,
    source: Path | None = None,
) -> SoakResult:
    """Play one run in an event loop of its own."""
    return asyncio.run(SoakRun(spec, folder, library, faults, source).play())
