"""Runs a scenario in simulated time, with forwarders, stand-ins, register and clients in one process.

State that a forwarder saves for its next start (the partner list and zone verdicts) is kept in memory. The
trace contains the event log of the stand-ins and clients and the log lines of the forwarders; two runs with
the same trace hash are identical.
"""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, DeferredList, succeed

from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.lab.simulated_network import LinkConfig, NetworkSimulator, SimulatedHost
from honeybarrow.lab.simulated_sockets import SECOND_US
from honeybarrow.rehearsal import EventLog, RuleCheckResult, Scenario, ScenarioRunner
from honeybarrow.rehearsal.event_log import EventLogEntry
from honeybarrow.rehearsal.fault_injection import UNIMPAIRED, LinkCondition
from honeybarrow.service import Service, StateStorage

DEFAULT_LINK = LinkConfig()
MAX_TRACE_LINES = 20_000_000  # stops a run that logs without end
CLEAN_UP_US = 120 * SECOND_US  # maximum time for stopping the forwarders after a run


@dataclass(frozen=True, slots=True)
class SimulationConfig:
    """A scenario with its forwarders and simulation parameters.

    ``keep_trace`` keeps the lines of the trace in addition to their hash. ``log_level`` (``debug`` or
    ``info``) selects the forwarders' log lines in the trace.
    """

    scenario: Scenario
    forwarders: tuple[ForwarderConfig, ...]
    link: LinkConfig = DEFAULT_LINK
    keep_trace: bool = False
    log_level: str = "debug"

    def with_seed(self, seed: int) -> SimulationConfig:
        """Return a copy of the configuration with another seed."""
        return replace(self, scenario=msgspec.structs.replace(self.scenario, seed=seed))


@dataclass(slots=True)
class SimulationResult:
    """The result of a run.

    ``utility`` is the delivered share of the possible utility of all messages, weighted by the priority of
    their class. ``entries`` is the event log of the run.
    """

    rule_check: RuleCheckResult
    utility: float
    trace_hash: str
    trace_line_count: int
    simulated_s: float
    elapsed_s: float
    event_count: int
    trace: list[dict[str, Any]] = field(default_factory=list)
    entries: list[EventLogEntry] = field(default_factory=list)


class SimulationTrace:
    """The event log entries and log lines of a run in one sequence, with their running hash."""

    def __init__(self, simulator: NetworkSimulator, keep_lines: bool) -> None:
        self.simulator, self.keep_lines = simulator, keep_lines
        self.lines: list[dict[str, Any]] = []
        self.line_count = 0
        self._hash = hashlib.sha256()

    def add(self, source: str, event: str, fields: dict[str, Any]) -> None:
        """Add a line at the current time. Raises ``RuntimeError`` beyond ``MAX_TRACE_LINES``."""
        self.line_count += 1
        if self.line_count > MAX_TRACE_LINES:
            raise RuntimeError("the trace exceeds its maximum number of lines")
        row = {"at": self.simulator.now_us, "who": source, "what": event, **fields}
        self._hash.update(json.dumps(row, sort_keys=True, default=str).encode())
        if self.keep_lines:
            self.lines.append(row)

    def digest(self) -> str:
        """Return the hash of all lines so far."""
        return self._hash.hexdigest()


class TraceLogger:
    """A logger of one forwarder that writes to the trace."""

    def __init__(self, trace: SimulationTrace, source: str, level: str) -> None:
        self.trace, self.source = trace, source
        self.is_debug_enabled = level == "debug"

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event if the level is ``debug``."""
        if self.is_debug_enabled:
            self.trace.add(self.source, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event."""
        self.trace.add(self.source, event, fields)

    warning = error = info


class SimulatedForwarders:
    """Launches forwarders as services, each on a simulated host."""

    def __init__(self, config: SimulationConfig, simulator: NetworkSimulator, trace: SimulationTrace) -> None:
        self.config, self.simulator, self.trace = config, simulator, trace
        self.hosts: dict[str, SimulatedHost] = {}
        self.services: dict[str, Service] = {}
        self.saved_lists: dict[str, bytes] = {}  # saved partner lists, by forwarder
        self.saved_verdicts: dict[str, bytes] = {}
        self.start_counts: dict[str, int] = {}
        self.errors: list[Exception] = []

    def start(self, settings: ForwarderConfig) -> Deferred[None]:
        """Start a forwarder on a new host."""
        name = settings.name
        start_count = self.start_counts[name] = self.start_counts.get(name, 0) + 1
        host = self.hosts[name] = self.simulator.create_host(name)
        settings = bypass_relays(disable_external_services(settings), self.config.forwarders)
        service = self.services[name] = Service(
            settings,
            host,
            lambda: self.simulator.now_us,
            lambda: "Thu, 01 Jan 1970 00:00:00 -0000",
            format(start_count, "x"),
            derive_seed(self.config.scenario.seed, name, start_count),
            lambda: self.saved_lists.get(name),
            lambda data: self.saved_lists.__setitem__(name, data),
            TraceLogger(self.trace, name, self.config.log_level),
            self.errors.append,
            zone_verdict_storage=StateStorage(
                lambda: self.saved_verdicts.get(name),
                lambda data: self.saved_verdicts.__setitem__(name, data),
            ),
        )
        service.start()
        return succeed(None)

    def kill(self, name: str) -> None:
        """Kill a forwarder; its saved state is kept."""
        self.hosts[name].kill()
        self.services.pop(name, None)

    def delete_saved_state(self, name: str) -> None:
        """Delete the saved state of a forwarder."""
        self.saved_lists.pop(name, None)
        self.saved_verdicts.pop(name, None)

    def pause(self, name: str, duration_us: int) -> None:
        """Suspend a forwarder."""
        self.hosts[name].pause(duration_us)

    def set_link_condition(self, sender: str, receiver: str, condition: LinkCondition) -> None:
        """Set the condition of the link from one forwarder to another; ``UNIMPAIRED`` restores it."""
        if condition == UNIMPAIRED:
            self.simulator.link_conditions.pop((sender, receiver), None)
        else:
            self.simulator.link_conditions[sender, receiver] = condition

    def stop_all(self) -> Deferred[None]:
        """Stop all forwarders; the result fires when they have stopped."""
        done: Deferred[None] = Deferred()
        stopping = DeferredList([service.stop() for service in self.services.values()])
        stopping.addCallback(lambda _: done.callback(None))
        return done


def run_simulation(
    config: SimulationConfig, on_progress: Callable[[str], None] = lambda text: None
) -> SimulationResult:
    """Run a scenario and check its rules.

    :param on_progress: called with progress messages that start with the simulated time.
    :raises RuntimeError: if a forwarder crashes, or the run fails or does not end.
    """
    started_s = time.perf_counter()
    scenario = config.scenario
    simulator = NetworkSimulator(scenario.seed, config.link)
    trace = SimulationTrace(simulator, config.keep_trace)
    scenario_host = simulator.create_host("outside")
    event_log = EventLog(
        lambda: simulator.now_us, on_entry=lambda entry: trace.add(entry.source, entry.kind, entry.fields)
    )
    forwarders = SimulatedForwarders(config, simulator, trace)
    runner = ScenarioRunner(
        scenario,
        list(config.forwarders),
        forwarders,
        scenario_host,
        event_log,
        lambda text: on_progress(f"{(simulator.now_us - SECOND_US) / SECOND_US:8.3f} s  {text}"),
    )
    results: list[RuleCheckResult] = []
    failures: list[Any] = []
    runner.run().addCallbacks(results.append, failures.append)
    end_us = simulator.now_us + scenario.duration_us + scenario.completion_grace_us + CLEAN_UP_US
    has_ended = simulator.run_until(lambda: bool(results or failures or forwarders.errors), end_us)
    if forwarders.errors:
        raise RuntimeError(f"a forwarder crashed: {forwarders.errors[0]!r}") from forwarders.errors[0]
    if failures:
        raise RuntimeError(f"the scenario failed: {failures[0].getErrorMessage()}")
    if not has_ended:
        raise RuntimeError("the run did not end within its duration, completion grace and clean-up time")
    priority_weights = {each.name: each.priority_weight for each in config.forwarders[0].classes}
    return SimulationResult(
        results[0],
        compute_utility(results[0], priority_weights),
        trace.digest(),
        trace.line_count,
        (simulator.now_us - SECOND_US) / SECOND_US,
        time.perf_counter() - started_s,
        simulator.event_count,
        trace.lines,
        event_log.entries,
    )


def compute_utility(result: RuleCheckResult, priority_weights: Mapping[str, float]) -> float:
    """Return the delivered share of the possible utility of all messages; 1 if there are no messages."""
    rows = [(figures, priority_weights[name]) for name, figures in result.class_figures.items()]
    possible = sum(figures.messages * weight for figures, weight in rows)
    if not possible:
        return 1.0
    return sum(figures.messages * figures.utility_share * weight for figures, weight in rows) / possible


def derive_seed(seed: int, name: str, start_count: int) -> int:
    """Derive the seed of a forwarder from the scenario seed, its name and its number of starts."""
    return int.from_bytes(hashlib.sha256(f"{seed}/{name}/{start_count}".encode()).digest()[:6], "big")


def disable_external_services(settings: ForwarderConfig) -> ForwarderConfig:
    """Return settings without HTTP metrics, tracing, account files and TLS, which need the real system."""
    return msgspec.structs.replace(
        settings, observability=type(settings.observability)(), tls=None, accounts_file="", seed=0
    )


def bypass_relays(settings: ForwarderConfig, forwarders: Sequence[ForwarderConfig]) -> ForwarderConfig:
    """Return settings that address peers directly instead of through fault-injecting relays.

    Link faults are simulated by the network instead.
    """
    if settings.fleet is None:
        return settings
    listen_addresses = {each.name: each.fleet.listen for each in forwarders if each.fleet is not None}
    peer_addresses = settings.fleet.peer_addresses()
    peers = tuple(f"{name}@{listen_addresses[name]}" for name in peer_addresses if name in listen_addresses)
    return msgspec.structs.replace(
        settings, fleet=msgspec.structs.replace(settings.fleet, peers=peers, saved_verdicts="")
    )
