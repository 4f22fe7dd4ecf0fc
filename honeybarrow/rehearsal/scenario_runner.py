"""Runner of a scenario: stand-ins, register and clients in this process, forwarders by a launcher."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred

from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.fleet.zone_paths import is_within
from honeybarrow.ports import Reactor
from honeybarrow.rehearsal.event_log import EventKind, EventLog
from honeybarrow.rehearsal.fault_injection import UNIMPAIRED, LinkCondition, make_link_condition
from honeybarrow.rehearsal.rule_check_result import RuleCheckResult
from honeybarrow.rehearsal.rule_checker import RuleChecker
from honeybarrow.rehearsal.schema import LINK_FAULT_KINDS, Fault, Scenario
from honeybarrow.rehearsal.stand_in_client import StandInClient
from honeybarrow.rehearsal.stand_in_environment import StandInEnvironment

CHECK_INTERVAL_S = 0.1


class ForwarderLauncher(Protocol):
    """Interface that starts, stops and disturbs forwarders."""

    def start(self, settings: ForwarderConfig) -> Deferred[None]:
        """Start a forwarder; the result fires when its fronts accept connections."""

    def kill(self, name: str) -> None:
        """Kill a forwarder without a clean shutdown."""

    def delete_saved_state(self, name: str) -> None:
        """Delete the saved state of a forwarder."""

    def pause(self, name: str, duration_us: int) -> None:
        """Suspend a forwarder for ``duration_us``."""

    def set_link_condition(self, sender: str, receiver: str, condition: LinkCondition) -> None:
        """Set the condition of the link from one forwarder to another from now on."""

    def stop_all(self) -> Deferred[None]:
        """Stop all forwarders cleanly; the result fires when they have exited."""


class Link(NamedTuple):
    """Link from one forwarder to another, by their names."""

    sender: str
    receiver: str


class ScenarioRunner:
    """Runner of one scenario, from opening the listeners to the rule check."""

    def __init__(
        self,
        scenario: Scenario,
        forwarders: list[ForwarderConfig],
        launcher: ForwarderLauncher,
        reactor: Reactor,
        event_log: EventLog,
        on_progress: Callable[[str], None],
    ) -> None:
        self.scenario, self.launcher, self.reactor, self.event_log = scenario, launcher, reactor, event_log
        self.forwarders = {each.name: each for each in forwarders}
        self.on_progress = on_progress
        self.stand_ins = StandInEnvironment(scenario, forwarders, reactor, event_log)
        classes = {c.name: c for c in forwarders[0].classes}
        self.clients = []
        for config in scenario.clients:
            rng = random.Random(f"{scenario.seed}/{config.name}")
            self.clients.append(StandInClient(config, classes, self._find_front, reactor, event_log, rng))
        self.done: Deferred[RuleCheckResult] = Deferred()
        self.end_us = 0

    def run(self) -> Deferred[RuleCheckResult]:
        """Run the scenario; the result fires with that of the rule check."""
        starting = [self.launcher.start(each) for each in self.forwarders.values()]
        remaining = len(starting)

        def on_started(_: None) -> None:
            nonlocal remaining
            remaining -= 1
            if remaining == 0:
                self._start_messages()

        for each in starting:
            each.addCallbacks(on_started, self._fail)
        return self.done

    def _find_front(self, forwarder: str, protocol: str) -> tuple[str, int]:
        for listen in self.forwarders[forwarder].listeners:
            if listen.protocol == protocol:
                return listen.host, listen.port
        raise ValueError(f"forwarder {forwarder!r} has no {protocol} listener")

    def _fail(self, failure: Any) -> None:
        if not self.done.called:
            self.launcher.stop_all().addBoth(lambda _: self.done.errback(failure))

    def _start_messages(self) -> None:
        self.on_progress(
            f"{len(self.forwarders)} forwarders started, {self.scenario.duration_us / 1e6:g} s of messages"
        )
        self.event_log.record("day", EventKind.RUN_STARTED)
        self.end_us = self.event_log.now_us() + self.scenario.duration_us + self.scenario.completion_grace_us
        for client in self.clients:
            client.start(self.scenario.duration_us)
        for fault in self.scenario.faults:
            self.reactor.callLater(fault.start_us / 1e6, self._start_fault, fault)
        self._check_completion()

    # Faults

    def _start_fault(self, fault: Fault) -> None:
        self.on_progress(f"{fault.kind} {fault.target} for {fault.duration_us / 1e6:g} s".replace("  ", " "))
        if fault.kind in ("kill", "machine_lost"):
            self._kill_forwarder(fault)
        elif fault.kind == "stall":
            self.event_log.record(fault.target, EventKind.FORWARDER_PAUSED, last=fault.duration_us)
            self.launcher.pause(fault.target, fault.duration_us)
        elif fault.kind == "burst":
            self._start_burst(fault)
        elif fault.kind in LINK_FAULT_KINDS or fault.kind == "zone_cut":
            self._impair_links(fault)
        else:
            self.stand_ins.start_fault(fault)

    def _kill_forwarder(self, fault: Fault) -> None:
        self.event_log.record(fault.target, EventKind.FORWARDER_KILLED)
        self.launcher.kill(fault.target)
        if fault.kind == "machine_lost":
            self.launcher.delete_saved_state(fault.target)
        self.reactor.callLater(fault.duration_us / 1e6, self._restart_forwarder, fault.target)

    def _restart_forwarder(self, name: str) -> None:
        self.event_log.record(name, EventKind.FORWARDER_RESTARTED)
        self.launcher.start(self.forwarders[name]).addErrback(self._fail)

    def _start_burst(self, fault: Fault) -> None:
        for client in self.clients:
            if client.config.name == fault.target:
                client.set_rate_factor(fault.magnitude)
                self.reactor.callLater(fault.duration_us / 1e6, client.set_rate_factor, 1.0)

    def _impair_links(self, fault: Fault) -> None:
        self.event_log.record(fault.target, EventKind.LINK_FAULT, kind=fault.kind, last=fault.duration_us)
        if fault.kind == "zone_cut":
            self.stand_ins.cut_zone(fault)
        set_link_condition = self.launcher.set_link_condition
        for link in self._affected_links(fault):
            set_link_condition(link.sender, link.receiver, make_link_condition(fault))
            self.reactor.callLater(
                fault.duration_us / 1e6, set_link_condition, link.sender, link.receiver, UNIMPAIRED
            )

    def _affected_links(self, fault: Fault) -> list[Link]:
        """Return the links between the forwarders that a fault names, by name or zone, and all others."""
        zones = self.stand_ins.forwarder_zones
        named = fault.target.split(",")
        affected = [
            n for n, zone in zones.items() if any(n == each or is_within(zone, each) for each in named)
        ]
        outbound = [Link(one, other) for one in affected for other in zones if other not in affected]
        if fault.kind == "link_one_way":
            return outbound
        return [*outbound, *(Link(link.receiver, link.sender) for link in outbound)]

    # Completion

    def _check_completion(self) -> None:
        is_over = all(client.is_done for client in self.clients)
        if not is_over and self.event_log.now_us() < self.end_us:
            self.reactor.callLater(CHECK_INTERVAL_S, self._check_completion)
            return
        for client in self.clients:
            client.close_idle_connections()
        self.on_progress("all messages finished or timed out, stopping the forwarders")
        self.launcher.stop_all().addBoth(self._check_rules)

    def _check_rules(self, _: Any) -> None:
        self.stand_ins.stop()
        first = next(iter(self.forwarders.values()))
        self.done.callback(RuleChecker(self.event_log.entries, self.scenario, first).check())
