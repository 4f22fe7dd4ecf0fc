"""Sockets of one fleet member: datagrams for small messages, streams for push-pull and operator requests.

A member is reached at its configured address, else at its announced address, else at the address from which
its last datagram came. Messages that can't be decoded, come from an earlier incarnation or exceed a limit are
dropped and counted by reason.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow.addressing.address import parse_host_port
from honeybarrow.fleet import wire
from honeybarrow.fleet.membership_messages import MemberUpdate
from honeybarrow.fleet.wire import (
    Datagram,
    DatagramMessage,
    DropReason,
    Frame,
    FrameBody,
    OperatorReply,
    PushPullState,
    SetOverride,
    StatusQuery,
    WireError,
)
from honeybarrow.ports import Logger, Reactor

STREAM_TIMEOUT_S = 3.0  # for one request and its reply, so that a paused member can't hold streams open
MAX_INBOUND_STREAMS = 32
MAX_LEARNED_ADDRESSES = 4096  # source addresses of received datagrams
DROPS_PER_LOG_LINE = 1000  # per drop reason

HostPort = tuple[str, int]


@dataclass(frozen=True, slots=True)
class TransportConfig:
    """Listen address of one member and the addresses of its configured peers."""

    listen_address: HostPort
    fleet_name: str
    member_name: str
    peer_addresses: Mapping[str, HostPort]


class TransportHandler(TypingProtocol):
    """Callbacks of the transport, implemented by :class:`honeybarrow.fleet.agent.FleetAgent`."""

    def local_incarnation(self) -> int:
        """Return the incarnation sent with each message."""

    def find_member(self, name: str) -> MemberUpdate | None:
        """Return the current update of a remote member, or ``None`` if it is unknown."""

    def handle_message(self, sender: str, message: DatagramMessage) -> None:
        """Handle the message of a datagram."""

    def handle_push_pull(self, remote: PushPullState) -> PushPullState:
        """Merge the remote state and return the local state from before the merge."""

    def handle_operator_request(self, request: StatusQuery | SetOverride) -> OperatorReply:
        """Answer an operator request that came from a loopback address."""


class FleetTransport(DatagramProtocol):
    """Datagram and stream sockets of one member, on the same port number."""

    transport: Any = None

    def __init__(
        self, reactor: Reactor, config: TransportConfig, handler: TransportHandler, log: Logger
    ) -> None:
        self.reactor, self.config, self.handler, self.log = reactor, config, handler, log
        self.datagrams_sent = self.datagrams_received = self.bytes_sent = 0
        self.dropped: Counter[str] = Counter()  # by reason
        self.inbound_streams = 0
        self._learned_addresses: dict[str, HostPort] = {}
        self._ports: list[Any] = []
        self._is_stopped = False

    def start(self) -> HostPort:
        """Listen for datagrams and streams, and return the bound address. Raises ``CannotListenError``."""
        host, port = self.config.listen_address
        stream_port = self.reactor.listenTCP(port, _ServerFactory(self), interface=host)
        self._ports.append(stream_port)
        port = stream_port.getHost().port
        try:
            self._ports.append(
                self.reactor.listenUDP(port, self, interface=host, maxPacketSize=wire.MAX_DATAGRAM_BYTES + 1)
            )
        except Exception:
            stream_port.stopListening()
            raise
        return host, port

    def stop(self) -> None:
        """Close the sockets and ignore all further messages."""
        self._is_stopped = True
        for port in self._ports:
            port.stopListening()

    # datagrams

    def send(self, to: str, message: DatagramMessage) -> None:
        """Send a message to a member as a datagram, without delivery guarantee."""
        address = self.address_of(to)
        if self._is_stopped or address is None:
            self.count_drop(DropReason.NO_ADDRESS)
            return
        try:
            data = wire.encode(
                Datagram(
                    wire.WIRE_VERSION,
                    self.config.fleet_name,
                    self.config.member_name,
                    self.handler.local_incarnation(),
                    message,
                )
            )
            self.transport.write(data, address)
        except WireError:
            self.count_drop(DropReason.TOO_LONG)
        except OSError as error:  # such as a full send buffer or no route to the host
            self.count_drop(f"not sent: {type(error).__name__}")
        else:
            self.datagrams_sent += 1
            self.bytes_sent += len(data)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode a datagram and pass it to the handler, or drop and count it."""
        if self._is_stopped:
            return
        try:
            if len(datagram) > wire.MAX_DATAGRAM_BYTES:
                raise WireError(DropReason.TOO_LONG)
            received = wire.decode(datagram, Datagram, self.config.fleet_name)
        except WireError as error:
            self.count_drop(str(error))
            return
        sender = received.sender
        if sender == self.config.member_name:
            # Sent by another process with this name, or a reflected datagram of this process.
            self.count_drop(DropReason.OWN_NAME)
            return
        known = self.handler.find_member(sender)
        if known is not None and received.incarnation < known.incarnation:
            self.count_drop(DropReason.EARLIER_INCARNATION)
            return
        self.datagrams_received += 1
        if sender in self._learned_addresses or len(self._learned_addresses) < MAX_LEARNED_ADDRESSES:
            self._learned_addresses[sender] = (addr[0], addr[1])
        self.handler.handle_message(sender, received.message)

    def connectionRefused(self) -> None:
        """Count an ICMP port-unreachable reply to an earlier datagram."""
        self.count_drop(DropReason.REFUSED)

    def address_of(self, name: str) -> HostPort | None:
        """Return the address of a member, or ``None`` if it is unknown."""
        if (configured := self.config.peer_addresses.get(name)) is not None:
            return configured
        known = self.handler.find_member(name)
        announced = parse_host_port(known.address) if known else None
        return announced or self._learned_addresses.get(name)

    # streams

    def push_pull(self, to: str, local: PushPullState, merge: Callable[[PushPullState], None]) -> None:
        """Exchange full state with a member; ``merge`` gets the reply and is not called on failure."""
        address = self.address_of(to)
        if self._is_stopped or address is None:
            self.count_drop(DropReason.NO_ADDRESS)
            return

        def handle_reply(body: FrameBody) -> None:
            if isinstance(body, PushPullState) and not self._is_stopped:
                merge(body)

        factory = _ClientFactory(self, local, handle_reply)
        self.reactor.connectTCP(*address, factory, timeout=STREAM_TIMEOUT_S)

    def encode_frame(self, body: FrameBody) -> bytes:
        """Return an encoded frame from this member. Raises :class:`WireError` if it is too long."""
        return wire.encode(
            Frame(
                wire.WIRE_VERSION,
                self.config.fleet_name,
                self.config.member_name,
                self.handler.local_incarnation(),
                body,
            )
        )

    def reply_to(self, frame: Frame, is_local: bool) -> FrameBody:
        """Return the reply to a request. Raises :class:`WireError` if the frame is not a valid request."""
        match frame.body:
            case PushPullState():
                if frame.sender == self.config.member_name:
                    raise WireError(DropReason.OWN_NAME)
                return self.handler.handle_push_pull(frame.body)
            case StatusQuery() | SetOverride() if is_local:
                return self.handler.handle_operator_request(frame.body)
            case StatusQuery() | SetOverride():
                # Otherwise any host that reaches the port could eject zones.
                return OperatorReply(error="operator requests are accepted only from loopback addresses")
        raise WireError(DropReason.UNREADABLE)

    def count_drop(self, reason: str) -> None:
        """Count a drop, and log the first of every :data:`DROPS_PER_LOG_LINE` per reason."""
        reason = str(reason)  # log the text instead of the enum's repr
        self.dropped[reason] += 1
        if self.dropped[reason] % DROPS_PER_LOG_LINE == 1:
            self.log.warning("fleet_message_dropped", reason=reason, count=self.dropped[reason])


class _StreamProtocol(Protocol):
    """Base of both ends of a stream; reads one frame within the timeout."""

    transport: Any = None

    def __init__(self, owner: FleetTransport) -> None:
        self.owner, self.reader = owner, wire.FrameReader()
        self.timer: Any = None
        self.is_finished = False

    def connectionMade(self) -> None:
        """Start the timeout."""
        self.timer = self.owner.reactor.callLater(STREAM_TIMEOUT_S, self._on_timeout)

    def _on_timeout(self) -> None:
        self.owner.count_drop(DropReason.STREAM_TIMEOUT)
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Handle the first frame and ignore any further data."""
        if self.is_finished:
            return
        try:
            for frame in self.reader.feed(data):
                self.is_finished = True
                self.on_frame(wire.decode(frame, Frame, self.owner.config.fleet_name))
                return
        except WireError as error:
            self.is_finished = True
            self.owner.count_drop(str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the timeout."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def on_frame(self, frame: Frame) -> None:
        """Handle the received frame. Raises :class:`WireError`."""
        raise NotImplementedError


class _ServerProtocol(_StreamProtocol):
    def connectionMade(self) -> None:
        super().connectionMade()
        self.owner.inbound_streams += 1
        if self.owner.inbound_streams > MAX_INBOUND_STREAMS:
            self.owner.count_drop(DropReason.TOO_MANY_STREAMS)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self.owner.inbound_streams -= 1

    def on_frame(self, frame: Frame) -> None:
        is_local = self.transport.getPeer().host in ("127.0.0.1", "::1")
        self.transport.write(self.owner.encode_frame(self.owner.reply_to(frame, is_local)))
        self.transport.loseConnection()


class _ServerFactory(Factory):
    noisy = False

    def __init__(self, owner: FleetTransport) -> None:
        self.owner = owner

    def buildProtocol(self, addr: Any) -> _ServerProtocol:
        return _ServerProtocol(self.owner)


class _ClientProtocol(_StreamProtocol):
    def __init__(
        self, owner: FleetTransport, body: FrameBody, handle_reply: Callable[[FrameBody], None]
    ) -> None:
        super().__init__(owner)
        self.body, self.handle_reply = body, handle_reply

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.write(self.owner.encode_frame(self.body))

    def on_frame(self, frame: Frame) -> None:
        self.transport.loseConnection()
        self.handle_reply(frame.body)


class _ClientFactory(ClientFactory):
    noisy = False

    def __init__(
        self, owner: FleetTransport, body: FrameBody, handle_reply: Callable[[FrameBody], None]
    ) -> None:
        self.owner, self.body, self.handle_reply = owner, body, handle_reply

    def buildProtocol(self, addr: Any) -> _ClientProtocol:
        return _ClientProtocol(self.owner, self.body, self.handle_reply)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.owner.count_drop(DropReason.STREAM_FAILED)
