"""Fault injection for the links between forwarders: a relay on loopback for each ordered pair of them.

If the settings of a forwarder give an address for a peer at which the peer itself does not listen, a relay
listens there for datagrams and connections and forwards them to the peer. Depending on the condition of the
link it delays, reorders, duplicates or drops them. Each direction of a pair can fail independently.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow.addressing.address import parse_host_port
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.ports import Reactor
from honeybarrow.rehearsal.schema import Fault

MAX_STREAMS = 500  # open connections of all relays
MAX_DELAYED_CHUNKS = 10_000  # scheduled at the same time; further chunks are dropped
JITTER_SHARE = 0.5  # of the delay, so that datagrams are reordered
LOSSY_JITTER_US = 20_000


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """Condition of the link from one forwarder to another.

    Delay and jitter are added to the latency of the link, in microseconds. The rates are fractions of the
    datagrams. A link with ``is_cut`` delivers nothing.
    """

    is_cut: bool = False
    delay_us: int = 0
    jitter_us: int = 0
    loss_rate: float = 0.0
    duplication_rate: float = 0.0


UNIMPAIRED = LinkCondition()


def make_link_condition(fault: Fault) -> LinkCondition:
    """Return the condition of the links affected by a fault."""
    match fault.kind:
        case "link_slow":
            delay_us = int(fault.magnitude * 1000)
            return LinkCondition(delay_us=delay_us, jitter_us=int(delay_us * JITTER_SHARE))
        case "link_lossy":
            loss_rate = fault.magnitude
            return LinkCondition(
                loss_rate=loss_rate, duplication_rate=loss_rate / 5, jitter_us=LOSSY_JITTER_US
            )
        case _:
            return LinkCondition(is_cut=True)


class LinkRelays:
    """Relays for all pairs of forwarders whose settings name a relay address."""

    def __init__(self, reactor: Reactor, forwarders: Sequence[ForwarderConfig], rng: random.Random) -> None:
        self.reactor, self.rng = reactor, rng
        self.link_conditions: dict[tuple[str, str], LinkCondition] = {}
        self.delayed_chunks = self.lost_chunks = self.relayed_datagrams = 0
        self.connections: dict[_RelayConnection, None] = {}
        self.listeners: list[Any] = []
        fleets = {each.name: each.fleet for each in forwarders if each.fleet is not None}
        listen_addresses = {name: parse_host_port(fleet.listen) for name, fleet in fleets.items()}
        for name, fleet in fleets.items():
            for peer, relay_address in fleet.peer_addresses().items():
                peer_address = listen_addresses.get(peer)
                if peer_address is not None and relay_address != peer_address and peer != name:
                    self._listen(name, peer, relay_address, peer_address, listen_addresses[name])

    def set_link_condition(self, sender: str, receiver: str, condition: LinkCondition) -> None:
        """Set the condition of a link from now on.

        Connections that are open when the link is cut stay open but carry no more data.
        """
        self.link_conditions[sender, receiver] = condition
        if condition.is_cut:
            for connection in list(self.connections):
                link = (connection.sender, connection.receiver)
                if link in ((sender, receiver), (receiver, sender)):
                    connection.is_blackholed = True

    def link_condition(self, sender: str, receiver: str) -> LinkCondition:
        """Return the current condition of a link."""
        return self.link_conditions.get((sender, receiver), UNIMPAIRED)

    def close(self) -> None:
        """Stop all listeners."""
        for listener in self.listeners:
            listener.stopListening()

    def delay(self, condition: LinkCondition, deliver: Callable[[], None]) -> None:
        """Call ``deliver`` after the delay of a link, or drop the chunk if too many are delayed already."""
        delay_us = condition.delay_us + (
            self.rng.randrange(condition.jitter_us + 1) if condition.jitter_us else 0
        )
        if not delay_us:
            deliver()
        elif self.delayed_chunks < MAX_DELAYED_CHUNKS:
            self.delayed_chunks += 1

            def deliver_late() -> None:
                self.delayed_chunks -= 1
                deliver()

            self.reactor.callLater(delay_us / 1e6, deliver_late)
        else:
            self.lost_chunks += 1

    def _listen(
        self,
        sender: str,
        receiver: str,
        relay_address: tuple[str, int],
        receiver_address: tuple[str, int],
        sender_address: tuple[str, int] | None,
    ) -> None:
        datagrams = _DatagramRelay(self, sender, receiver, receiver_address, sender_address)
        self.listeners.append(self.reactor.listenUDP(relay_address[1], datagrams, interface=relay_address[0]))
        streams = _StreamRelayFactory(self, sender, receiver, receiver_address)
        self.listeners.append(self.reactor.listenTCP(relay_address[1], streams, interface=relay_address[0]))


class _DatagramRelay(DatagramProtocol):
    """Relay for the datagrams from one forwarder to another and for the replies to them."""

    transport: Any = None

    def __init__(
        self,
        relays: LinkRelays,
        sender: str,
        receiver: str,
        receiver_address: tuple[str, int],
        sender_address: tuple[str, int] | None,
    ) -> None:
        self.relays, self.sender, self.receiver = relays, sender, receiver
        self.receiver_address, self.sender_address = receiver_address, sender_address

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        # A peer that knows no other address replies to the source address, which is that of this relay.
        is_reply = addr == self.receiver_address
        destination = self.sender_address if is_reply else self.receiver_address
        link = (self.receiver, self.sender) if is_reply else (self.sender, self.receiver)
        condition, rng = self.relays.link_condition(*link), self.relays.rng
        if (
            destination is None
            or condition.is_cut
            or (condition.loss_rate and rng.random() < condition.loss_rate)
        ):
            self.relays.lost_chunks += 1
            return
        for _ in range(2 if condition.duplication_rate and rng.random() < condition.duplication_rate else 1):
            self.relays.delay(condition, lambda: self._write(datagram, destination))

    def _write(self, datagram: bytes, destination: tuple[str, int]) -> None:
        if self.transport is not None:  # None after the relay was closed
            self.relays.relayed_datagrams += 1
            self.transport.write(datagram, destination)


class _RelayConnection(Protocol):
    """One side of a relayed connection; it forwards the data it receives to the other side."""

    transport: Any = None

    def __init__(
        self, relays: LinkRelays, sender: str, receiver: str, peer: _RelayConnection | None = None
    ) -> None:
        self.relays, self.sender, self.receiver, self.peer = relays, sender, receiver, peer
        self.pending: list[bytes] = []
        self.is_blackholed = self.is_closed = False

    def connectionMade(self) -> None:
        self.relays.connections[self] = None
        if self.peer is not None:
            self.peer.connect_peer(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.is_blackholed:
            condition = self.relays.link_condition(self.sender, self.receiver)
            self.relays.delay(condition, lambda: self._forward(data))

    def _forward(self, data: bytes) -> None:
        if self.peer is None:
            self.pending.append(data)
        elif not self.peer.is_closed:
            self.peer.transport.write(data)

    def connect_peer(self, peer: _RelayConnection) -> None:
        """Forward the data received so far to the other side, which is now connected."""
        self.peer = peer
        for data in self.pending:
            peer.transport.write(data)
        self.pending.clear()
        if self.is_closed:
            peer.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_closed = True
        self.relays.connections.pop(self, None)
        if self.peer is not None and not self.peer.is_closed and not self.is_blackholed:
            condition = self.relays.link_condition(self.sender, self.receiver)
            self.relays.delay(condition, self.peer.transport.loseConnection)


class _StreamRelayFactory(Factory):
    """Factory for the connections that a forwarder opens to the relay."""

    noisy = False

    def __init__(
        self, relays: LinkRelays, sender: str, receiver: str, receiver_address: tuple[str, int]
    ) -> None:
        self.relays, self.sender, self.receiver = relays, sender, receiver
        self.receiver_address = receiver_address

    def buildProtocol(self, addr: Any) -> _RelayConnection | None:
        if len(self.relays.connections) >= MAX_STREAMS:
            return None
        downstream = _RelayConnection(self.relays, self.sender, self.receiver)
        outbound = self.relays.link_condition(self.sender, self.receiver)
        inbound = self.relays.link_condition(self.receiver, self.sender)
        if outbound.is_cut or inbound.is_cut:
            downstream.is_blackholed = True  # the kernel has accepted the connection already
        else:
            self.relays.reactor.connectTCP(*self.receiver_address, _UpstreamFactory(downstream), timeout=5)
        return downstream


class _UpstreamFactory(ClientFactory):
    """Factory for the connection from the relay to the receiver."""

    noisy = False

    def __init__(self, downstream: _RelayConnection) -> None:
        self.downstream = downstream

    def buildProtocol(self, addr: Any) -> _RelayConnection:
        return _RelayConnection(
            self.downstream.relays, self.downstream.receiver, self.downstream.sender, self.downstream
        )

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if not self.downstream.is_closed:
            self.downstream.transport.abortConnection()
