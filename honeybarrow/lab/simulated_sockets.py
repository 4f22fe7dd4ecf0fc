"""Sockets of the simulated network: UDP sockets, listeners, connectors and stream transports.

A stream transport preserves the order of bytes, delays them and splits them into pieces. It can be reset,
paused, or blackholed, in which case neither side is notified.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import error as twisted_errors
from twisted.internet.address import IPv4Address, UNIXAddress
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from honeybarrow.lab.simulated_network import SimulatedHost

SECOND_US = 1_000_000
NetworkAddress = tuple[str, int] | str  # host and port, or the path of a Unix socket


class SimulatedUdpSocket:
    """A UDP socket; datagrams may be lost, duplicated or reordered."""

    def __init__(
        self, host: SimulatedHost, address: tuple[str, int], protocol: Any, max_datagram_bytes: int
    ) -> None:
        self.host, self.address, self.protocol, self.max_datagram_bytes = (
            host,
            address,
            protocol,
            max_datagram_bytes,
        )

    def getHost(self) -> Any:
        """Return the address of the socket."""
        return IPv4Address("UDP", *self.address)

    def write(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram, which the link may lose, delay or duplicate."""
        simulator = self.host.simulator
        receiver = simulator.udp_sockets.get(addr)
        if receiver is None:
            return  # as in UDP, the sender is not notified
        condition, rng = simulator.link_condition(self.host, receiver.host), simulator.rng
        for _ in range(2 if condition.duplication_rate and rng.random() < condition.duplication_rate else 1):
            if condition.is_cut or (condition.loss_rate and rng.random() < condition.loss_rate):
                continue
            delay_us = simulator.link.delay_us + rng.randrange(simulator.link.jitter_us + 1)
            delay_us += condition.delay_us + (
                rng.randrange(condition.jitter_us + 1) if condition.jitter_us else 0
            )
            simulator.schedule(receiver.host, delay_us, lambda: receiver.deliver(data, self.address))

    def deliver(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass an arriving datagram to the protocol if the socket is still open."""
        if self.host.simulator.udp_sockets.get(self.address) is self:
            self.protocol.datagramReceived(data[: self.max_datagram_bytes], sender)

    def stopListening(self) -> None:
        """Close the socket."""
        if self.host.simulator.udp_sockets.get(self.address) is self:
            del self.host.simulator.udp_sockets[self.address]
            self.host.udp_sockets.remove(self)


class SimulatedListener:
    """A listening port. If ``is_unresponsive``, connects time out as with a full backlog."""

    def __init__(self, host: SimulatedHost, address: NetworkAddress, factory: Any) -> None:
        self.host, self.address, self.factory = host, address, factory
        self.is_unresponsive = False

    def getHost(self) -> Any:
        """Return the listening address."""
        return make_twisted_address(self.address)

    def stopListening(self) -> None:
        """Stop listening."""
        self.close()

    def close(self) -> None:
        """Stop listening; later connects are refused."""
        if self.host.simulator.listeners.get(self.address) is self:
            del self.host.simulator.listeners[self.address]
            self.host.listeners.remove(self)


class SimulatedConnector:
    """A connection attempt with the parts of ``IConnector`` that the service uses."""

    def __init__(self, host: SimulatedHost, address: NetworkAddress, factory: Any, timeout_s: float) -> None:
        self.host, self.address, self.factory = host, address, factory
        simulator = host.simulator
        self.state = "connecting"
        self._timer = simulator.schedule(
            host, round(timeout_s * SECOND_US), lambda: self._fail_connect(make_timeout_error())
        )
        simulator.schedule(host, self._draw_delay_us(), self._reach_listener)

    def _draw_delay_us(self) -> int:
        link = self.host.simulator.link
        return link.delay_us + self.host.simulator.rng.randrange(link.jitter_us + 1)

    def _fail_connect(self, error: Exception) -> None:
        if self.state != "connecting":
            return
        self.state = "disconnected"
        if self._timer.active():
            self._timer.cancel()
        self.factory.clientConnectionFailed(self, make_failure(error))

    def _reach_listener(self) -> None:
        simulator = self.host.simulator
        listener = simulator.listeners.get(self.address)
        if listener is None:
            simulator.schedule(
                self.host, self._draw_delay_us(), lambda: self._fail_connect(make_refused_error())
            )
        elif (
            not listener.is_unresponsive and not listener.host.is_dead and not self._is_cut_off(listener.host)
        ):
            simulator.schedule(self.host, self._draw_delay_us(), lambda: self._establish(listener))

    def _is_cut_off(self, other: SimulatedHost) -> bool:
        simulator = self.host.simulator
        return (
            simulator.link_condition(self.host, other).is_cut
            or simulator.link_condition(other, self.host).is_cut
        )

    def _establish(self, listener: SimulatedListener) -> None:
        if self.state != "connecting":
            return
        self.state = "connected"
        if self._timer.active():
            self._timer.cancel()
        simulator = self.host.simulator
        local_address = (self.host.address, simulator.allocate_port())
        local = SimulatedTransport(self.host, local_address, self.address)
        remote = SimulatedTransport(listener.host, self.address, local_address)
        local.peer, remote.peer = remote, local
        local.connector = self
        simulator.schedule(
            listener.host,
            self._draw_delay_us(),
            lambda: remote.start_protocol(
                listener.factory.buildProtocol(make_twisted_address(local_address))
            ),
        )
        local.start_protocol(self.factory.buildProtocol(make_twisted_address(self.address)))


class SimulatedTransport:
    """One side of a stream connection, with the parts of ``ITransport`` that the service uses."""

    def __init__(
        self, host: SimulatedHost, local_address: NetworkAddress, remote_address: NetworkAddress
    ) -> None:
        self.host, self.local_address, self.remote_address = host, local_address, remote_address
        self.peer: SimulatedTransport | None = None
        self.protocol: Any = None
        self.connector: SimulatedConnector | None = None
        self.disconnecting = False
        self.is_closed = False
        self.is_blackholed = False  # later writes are lost, and neither side is notified
        self.sent_bytes = 0
        self.reset_after_bytes: int | None = None  # resets the connection after this many written bytes
        self._last_arrival_us = 0  # arrival time of the last byte sent
        # Deliveries that arrived before the protocol was connected or while it was paused.
        self._pending: deque[Callable[[], None]] = deque()
        self._is_paused = False
        self._number = host.next_transport_number()
        host.transports[self._number] = self

    def start_protocol(self, protocol: Any) -> None:
        """Connect the protocol and deliver what has arrived; abort the connection if it is None."""
        if self.is_closed:
            return
        if protocol is None:
            self.abortConnection()
            return
        self.protocol = protocol
        protocol.makeConnection(self)
        self._deliver_pending()

    # ITransport

    def write(self, data: bytes) -> None:
        """Send bytes; the link may split them into pieces."""
        if self.is_closed or self.disconnecting or not data:
            return
        self.sent_bytes += len(data)
        remaining = memoryview(bytes(data))
        link, rng = self.host.simulator.link, self.host.simulator.rng
        while remaining:
            size = (
                rng.randrange(1, len(remaining))
                if len(remaining) > 1 and rng.random() < link.split_probability
                else len(remaining)
            )
            piece, remaining = bytes(remaining[:size]), remaining[size:]
            self._deliver_later(len(piece), lambda piece=piece: self._peer().receive(piece))  # type: ignore[misc]
        if self.reset_after_bytes is not None and self.sent_bytes >= self.reset_after_bytes:
            self.send_reset()
            self._close(twisted_errors.ConnectionLost())

    def writeSequence(self, parts: Any) -> None:
        """Send the concatenated parts."""
        self.write(b"".join(parts))

    def loseConnection(self, _: Any = None) -> None:
        """Close the connection after sending all written bytes."""
        if self.is_closed or self.disconnecting:
            return
        self.disconnecting = True
        self._deliver_later(0, lambda: self._peer().handle_peer_close(twisted_errors.ConnectionDone()))
        self.host.simulator.schedule(self.host, 0, lambda: self._close(twisted_errors.ConnectionDone()))

    def abortConnection(self) -> None:
        """Reset the connection."""
        if self.is_closed:
            return
        self.disconnecting = True
        self.send_reset()
        self.host.simulator.schedule(self.host, 0, lambda: self._close(twisted_errors.ConnectionAborted()))

    def pauseProducing(self) -> None:
        """Hold back deliveries to the protocol until :meth:`resumeProducing`."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Deliver held-back data and resume delivery."""
        self._is_paused = False
        self.host.simulator.schedule(self.host, 0, self._deliver_pending)

    def setTcpNoDelay(self, _: Any) -> None:
        """Do nothing; the network does not simulate Nagle's algorithm."""

    def setTcpKeepAlive(self, _: Any) -> None:
        """Do nothing; the network does not simulate keep-alive probes."""

    def getPeer(self) -> Any:
        """Return the address of the other side."""
        return make_twisted_address(self.remote_address)

    def getHost(self) -> Any:
        """Return the address of this side."""
        return make_twisted_address(self.local_address)

    # events of the network

    def send_reset(self) -> None:
        """Reset the other side after it has received what was sent."""
        self._deliver_later(0, lambda: self._peer().handle_peer_close(twisted_errors.ConnectionLost()))

    def receive(self, data: bytes) -> None:
        """Queue an arriving piece for the protocol."""
        self._pending.append(lambda: self.protocol.dataReceived(data))
        self._deliver_pending()

    def handle_peer_close(self, error: Exception) -> None:
        """Close this side, with ``error`` as reason, after delivering what has arrived."""
        self._is_paused = False
        self._pending.append(lambda: self._close(error))
        self._deliver_pending()

    def _peer(self) -> SimulatedTransport:
        assert self.peer is not None
        return self.peer

    def _deliver_later(self, size_bytes: int, deliver: Callable[[], None]) -> None:
        if self.is_blackholed or self.peer is None:
            return
        simulator = self.host.simulator
        link, condition = simulator.link, simulator.link_condition(self.host, self.peer.host)
        if condition.is_cut:
            self.is_blackholed = True  # a stream cannot continue after a gap
            return
        delay_us = (
            link.delay_us
            + simulator.rng.randrange(link.jitter_us + 1)
            + int(size_bytes / link.bytes_per_s * SECOND_US)
        )
        delay_us += condition.delay_us + (
            simulator.rng.randrange(condition.jitter_us + 1) if condition.jitter_us else 0
        )
        # Jitter must not reorder the pieces of a stream.
        self._last_arrival_us = max(self._last_arrival_us + (size_bytes > 0), simulator.now_us + delay_us)
        simulator.schedule(self.peer.host, self._last_arrival_us - simulator.now_us, deliver)

    def _deliver_pending(self) -> None:
        while self._pending and self.protocol is not None and not self._is_paused and not self.is_closed:
            self._pending.popleft()()

    def _close(self, error: Exception) -> None:
        if self.is_closed:
            return
        self.is_closed = self.disconnecting = True
        self._pending.clear()
        self.host.transports.pop(self._number, None)
        if self.protocol is not None:
            reason = make_failure(error)
            self.protocol.connectionLost(reason)
            if self.connector is not None and hasattr(self.connector.factory, "clientConnectionLost"):
                self.connector.factory.clientConnectionLost(self.connector, reason)


def make_twisted_address(address: NetworkAddress) -> Any:
    """Return the Twisted address object for an address."""
    if isinstance(address, str):
        return UNIXAddress(address)
    return IPv4Address("TCP", address[0], address[1])


def make_failure(error: Exception) -> Failure:
    """Return a Twisted ``Failure`` for an error."""
    return Failure(error)  # type: ignore[no-untyped-call]


def make_timeout_error() -> Exception:
    """Return the error of a connect that timed out."""
    return twisted_errors.TimeoutError()  # type: ignore[no-untyped-call]


def make_refused_error() -> Exception:
    """Return the error of a refused connect."""
    return twisted_errors.ConnectionRefusedError()  # type: ignore[no-untyped-call]
