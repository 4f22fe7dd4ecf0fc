"""Stand-in register: sends the list of partners and endpoints with a delay, and can be made to fail."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from honeybarrow.ports import Clock
from honeybarrow.register import EndpointAddress, EndpointEntry, ListRequest, ListUpdate
from honeybarrow.register import Partner as ListedPartner
from honeybarrow.rehearsal.event_log import EventKind, EventLog
from honeybarrow.rehearsal.schema import EndpointConfig, PartnerConfig, RegisterConfig

REGISTER_NAME = "register"  # source of its entries in the event log


class StandInRegister:
    """List of partners with its version, and the connections of the subscribed forwarders."""

    def __init__(self, config: RegisterConfig, clock: Clock, event_log: EventLog) -> None:
        self.config, self.clock, self.event_log = config, clock, event_log
        self.version = 1
        self.partners: list[ListedPartner] = []
        self.rows: dict[str, EndpointEntry] = {}
        self.changed_in_version: dict[str, int] = {}
        self.connections: list[RegisterConnection] = []
        self.is_down = False
        self.is_malformed = False
        self.is_stale = False  # sends an old list, as after a restore from an old backup

    def add_partner(self, partner: PartnerConfig, ports: dict[str, int]) -> None:
        """Add a partner to the list. ``ports`` maps its endpoints to the ports on which they listen."""
        self.partners.append(ListedPartner(number=partner.destination, name=partner.name, kind=partner.kind))
        for endpoint in partner.endpoints:
            if endpoint.is_listed:
                self.update_endpoint(partner, endpoint, ports[endpoint.target], "ready")

    def update_endpoint(
        self, partner: PartnerConfig, endpoint: EndpointConfig, port: int, state: Any
    ) -> None:
        """Change the entry of an endpoint; subscribers receive it after the configured delay."""
        self.version += 1
        own_address = EndpointAddress(host="127.0.0.1", port=port, protocol=endpoint.protocol)
        other_addresses = [
            EndpointAddress(
                host="" if address.path else address.host,
                port=address.port,
                path=address.path,
                protocol=endpoint.protocol,
                priority=address.priority,
                machine=address.machine,
            )
            for address in endpoint.addresses
        ]
        self.rows[endpoint.target] = EndpointEntry(
            target=endpoint.target,
            destination=partner.destination,
            state=state,
            zone=endpoint.zone,
            weight=partner.listed_calls_per_s,
            addresses=(own_address, *other_addresses),
        )
        self.changed_in_version[endpoint.target] = self.version
        self.clock.callLater(self.config.delay_us / 1e6, self._notify_subscribers)

    def set_down(self, is_down: bool) -> None:
        """Make the register unreachable, which aborts all connections, or reachable again."""
        self.is_down = is_down
        self.event_log.record(REGISTER_NAME, EventKind.REGISTER_DOWN, on=is_down)
        if is_down:
            for connection in list(self.connections):
                connection.transport.abortConnection()

    def set_malformed(self, is_malformed: bool) -> None:
        """Make the register send malformed updates, or valid ones again."""
        self.is_malformed = is_malformed

    def set_stale(self, is_stale: bool) -> None:
        """Make the register send an old list, or the current one again."""
        self.is_stale = is_stale

    def make_update(self, since: int) -> ListUpdate:
        """Return the update for a forwarder whose list has version ``since``, 0 for none."""
        is_full = since == 0 or since > self.version
        rows = [
            row for target, row in self.rows.items() if is_full or self.changed_in_version[target] > since
        ]
        return ListUpdate(
            kind="full" if is_full else "changes",
            version=self.version,
            partners=tuple(self.partners),
            endpoints=tuple(rows),
        )

    def _notify_subscribers(self) -> None:
        for connection in list(self.connections):
            if connection.known_version is not None and connection.known_version < self.version:
                connection.send_update()


class RegisterConnection(LineOnlyReceiver):
    """Connection of a subscribed forwarder."""

    delimiter = b"\n"
    transport: Any = None

    def __init__(self, register: StandInRegister) -> None:
        self.register = register
        self.known_version: int | None = None
        self.forwarder = ""

    def connectionMade(self) -> None:
        """Accept a forwarder, unless the register is down."""
        if self.register.is_down:
            self.transport.abortConnection()
            return
        self.register.connections.append(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the subscription."""
        if self in self.register.connections:
            self.register.connections.remove(self)

    def lineReceived(self, line: bytes) -> None:
        """Read a subscription request and answer it after the configured delay."""
        try:
            request = msgspec.json.decode(line, type=ListRequest)
        except msgspec.DecodeError:
            self.transport.loseConnection()
            return
        self.forwarder, self.known_version = request.forwarder, request.since
        self.register.clock.callLater(self.register.config.delay_us / 1e6, self.send_update)

    def send_update(self) -> None:
        """Send the changes since the known version, or a malformed or old list while a fault is active."""
        register = self.register
        if self not in register.connections or self.known_version is None:
            return
        if register.is_malformed:
            register.event_log.record(
                REGISTER_NAME, EventKind.MALFORMED_UPDATE_SENT, forwarder=self.forwarder
            )
            self.transport.write(b'{"kind":"full","version":999999,"endpoints":[{"target":7}]}\n')
            return
        if register.is_stale:
            register.event_log.record(REGISTER_NAME, EventKind.STALE_UPDATE_SENT, forwarder=self.forwarder)
            old_update = ListUpdate(kind="full", version=1, partners=tuple(register.partners[:1]))
            self.transport.write(msgspec.json.encode(old_update) + b"\n")
            return
        update = register.make_update(self.known_version)
        states = {row.target: row.state for row in update.endpoints}
        register.event_log.record(
            REGISTER_NAME, EventKind.UPDATE_SENT, forwarder=self.forwarder, kind=update.kind, states=states
        )
        self.known_version = update.version
        self.transport.write(msgspec.json.encode(update) + b"\n")


class RegisterConnectionFactory(Factory):
    """Factory for the connections of the register."""

    noisy = False

    def __init__(self, register: StandInRegister) -> None:
        self.register = register

    def buildProtocol(self, addr: Any) -> RegisterConnection:
        """Return the protocol for a new connection."""
        return RegisterConnection(self.register)
