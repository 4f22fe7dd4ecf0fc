"""Stand-in partners and stand-in register of a scenario, and the injection of faults into them."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from typing import Any

from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.fleet.zone_paths import is_within
from honeybarrow.ports import Reactor
from honeybarrow.rehearsal.event_log import EventKind, EventLog
from honeybarrow.rehearsal.schema import EndpointConfig, Fault, Scenario
from honeybarrow.rehearsal.stand_in_register import RegisterConnectionFactory, StandInRegister
from honeybarrow.rehearsal.stand_in_server import StandInServer, WarmUpConfig, listen_on_endpoints


class StandInEnvironment:
    """Partners and register of a scenario. They listen as soon as the object is created."""

    def __init__(
        self,
        scenario: Scenario,
        forwarders: Sequence[ForwarderConfig],
        reactor: Reactor,
        event_log: EventLog,
    ) -> None:
        self.scenario, self.reactor, self.event_log = scenario, reactor, event_log
        self.forwarder_zones = {each.name: find_zone(each) for each in forwarders}
        self.servers: dict[str, StandInServer] = {}
        self.ports: dict[str, int] = {}
        self.listeners: list[Any] = []
        self.register = StandInRegister(scenario.register, reactor, event_log)
        self._listen_as_partners(forwarders[0] if forwarders else None)
        factory = RegisterConnectionFactory(self.register)
        self.listeners.append(reactor.listenTCP(scenario.register.port, factory, interface="127.0.0.1"))

    @property
    def register_port(self) -> int:
        """Port on which the register listens."""
        return int(self.listeners[-1].getHost().port)

    def stop(self) -> None:
        """Stop all listeners."""
        for port in self.listeners:
            port.stopListening()

    def start_fault(self, fault: Fault) -> None:
        """Start a fault of a partner, zone or the register; it ends after its duration."""
        match fault.kind:
            case "register_down" | "register_bad" | "register_stale":
                self._fail_register(fault)
            case "spot_refuse" | "spot_mute" | "spot_hang" | "spot_deaf":
                for server, endpoint in self._endpoints():
                    if fault.target in (endpoint.target, *(address.name for address in endpoint.addresses)):
                        server.start_address_fault(fault.target, fault.kind, fault.duration_us)
            case "zone_down":
                self._record_zone_fault(fault)
                self._fail_zone(fault)
            case "drain" | "add":
                state = "draining" if fault.kind == "drain" else "ready"
                for server, endpoint in self._endpoints():
                    if endpoint.target == fault.target:
                        port = self.ports[endpoint.target]
                        self.register.update_endpoint(server.config, endpoint, port, state)
            case _:
                server = self.servers[fault.target]
                server.start_fault(fault.kind, fault.magnitude, fault.duration_us, fault.message_class)

    def cut_zone(self, fault: Fault) -> None:
        """Cut a zone off: endpoints and forwarders can't reach each other across its border."""
        self._record_zone_fault(fault)
        inside = [name for name, zone in self.forwarder_zones.items() if is_within(zone, fault.target)]
        for server, endpoint in self._endpoints():
            is_inside = is_within(endpoint.zone, fault.target)
            blocked = [name for name in self.forwarder_zones if (name in inside) != is_inside]
            server.block_forwarders(endpoint.target, tuple(blocked), fault.duration_us)

    def _listen_as_partners(self, forwarder: ForwarderConfig | None) -> None:
        warm_up, idempotency_windows_us = WarmUpConfig(), {}
        if forwarder is not None:
            policy = forwarder.policy
            warm_up = WarmUpConfig(
                policy.start_capacity, policy.warm_up_us, policy.collapse_multiple, policy.collapse_window_us
            )
            idempotency_windows_us = {
                c.name: c.key_window_us for c in forwarder.classes if c.idempotency == "keyed"
            }
        for config in self.scenario.partners:
            rng = random.Random(f"{self.scenario.seed}/{config.name}")
            server = StandInServer(config, self.reactor, self.event_log, rng, idempotency_windows_us, warm_up)
            self.servers[config.name] = server
            opened = listen_on_endpoints(self.reactor, server)
            self.ports.update(opened.ports)
            self.listeners += opened.listeners
            self.register.add_partner(config, self.ports)

    def _fail_register(self, fault: Fault) -> None:
        set_failing = {
            "register_down": self.register.set_down,
            "register_bad": self.register.set_malformed,
            "register_stale": self.register.set_stale,
        }[fault.kind]
        set_failing(True)
        self.reactor.callLater(fault.duration_us / 1e6, set_failing, False)

    def _record_zone_fault(self, fault: Fault) -> None:
        """Record the outage of a zone if it affects all forwarders."""
        if not fault.affected_zone:
            self.event_log.record(fault.target, EventKind.ZONE_FAULT, kind=fault.kind, last=fault.duration_us)

    def _fail_zone(self, fault: Fault) -> None:
        zones = self.forwarder_zones
        for server, endpoint in self._endpoints():
            if not is_within(endpoint.zone, fault.target):
                continue
            if fault.affected_zone:
                blocked = tuple(name for name, zone in zones.items() if is_within(zone, fault.affected_zone))
                server.block_forwarders(endpoint.target, blocked, fault.duration_us)
            else:
                server.start_address_outage(endpoint.target, fault.failure_mode, fault.duration_us)

    def _endpoints(self) -> Iterator[tuple[StandInServer, EndpointConfig]]:
        for server in self.servers.values():
            for endpoint in server.config.endpoints:
                yield server, endpoint


def find_zone(forwarder: ForwarderConfig) -> str:
    """Return the zone of a forwarder, preferring that of its fleet settings."""
    return (forwarder.fleet.zone if forwarder.fleet else "") or forwarder.zone
