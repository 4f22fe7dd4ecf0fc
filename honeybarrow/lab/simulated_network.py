"""A discrete-event simulation of clock and network that runs unmodified Twisted protocols.

:class:`NetworkSimulator` runs events in the order of their time, and events of the same time in the order of
scheduling. :class:`SimulatedHost` is the reactor of one process; its timers, listeners and connections end
with the process. No code here depends on a real clock, the environment or the order of a set, so that a seed
determines the run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import AlreadyCalled, AlreadyCancelled, CannotListenError

from honeybarrow.lab.simulated_sockets import (
    SECOND_US,
    NetworkAddress,
    SimulatedConnector,
    SimulatedListener,
    SimulatedTransport,
    SimulatedUdpSocket,
)
from honeybarrow.rehearsal.fault_injection import UNIMPAIRED, LinkCondition

MAX_EVENTS_PER_SECOND = 500_000  # of simulated time; more indicates an endless loop of timers


@dataclass(frozen=True, slots=True)
class LinkConfig:
    """Properties of every link, in each direction.

    ``split_probability`` is the probability that a piece of a write is split further.
    """

    delay_us: int = 50
    jitter_us: int = 30
    bytes_per_s: float = 1e9
    split_probability: float = 0.02


class SimulatedTimer:
    """A scheduled call with the interface of ``IDelayedCall``."""

    __slots__ = ("_action", "_called", "_cancelled", "due_us", "host")

    def __init__(self, host: SimulatedHost, due_us: int, action: Callable[[], None]) -> None:
        self.host, self.due_us, self._action = host, due_us, action
        self._called = self._cancelled = False

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return not (self._called or self._cancelled)

    def cancel(self) -> None:
        """Cancel the call. Raises ``AlreadyCalled`` or ``AlreadyCancelled``."""
        if self._called:
            raise AlreadyCalled
        if self._cancelled:
            raise AlreadyCancelled
        self._cancelled = True

    def fire(self) -> None:
        """Make the call unless it was made or cancelled."""
        if self.active():
            self._called = True
            self._action()


class NetworkSimulator:
    """Simulated time, the event queue, and the open listeners and sockets.

    Time starts at one second.
    """

    def __init__(self, seed: int, link: LinkConfig | None = None) -> None:
        self.rng = random.Random(f"world/{seed}")  # changing this text changes all seeded runs
        self.link = link or LinkConfig()
        self.now_us = SECOND_US  # not 0, which programs may treat as unset
        self.event_count = 0
        self._window_start_us, self._events_in_window = 0, 0
        self._queue: list[tuple[int, int, SimulatedTimer]] = []
        self._sequence = 0
        self.listeners: dict[NetworkAddress, SimulatedListener] = {}
        self.udp_sockets: dict[NetworkAddress, SimulatedUdpSocket] = {}
        self.link_conditions: dict[tuple[str, str], LinkCondition] = {}  # by sender and receiver
        self._last_port = 40_000

    def create_host(self, name: str, address: str = "127.0.0.1") -> SimulatedHost:
        """Create the host of a new process."""
        return SimulatedHost(self, name, address)

    def schedule(self, host: SimulatedHost, delay_us: int, action: Callable[[], None]) -> SimulatedTimer:
        """Schedule an action of a host; it is skipped if the host is dead by then."""
        timer = SimulatedTimer(host, self.now_us + max(0, delay_us), action)
        self._push(timer)
        return timer

    def _push(self, timer: SimulatedTimer) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (timer.due_us, self._sequence, timer))

    def run_until(self, is_done: Callable[[], bool], end_us: int) -> bool:
        """Run events until ``is_done`` returns true.

        Returns false if ``end_us`` is reached or no event is left before that. Raises ``RuntimeError`` if
        more than ``MAX_EVENTS_PER_SECOND`` events run in a simulated second.
        """
        while self._queue and not is_done():
            if self._queue[0][0] > end_us:
                break
            due_us, _, timer = heapq.heappop(self._queue)
            if not timer.active() or timer.host.is_dead:
                continue
            if timer.host.paused_until_us > due_us:
                timer.due_us = timer.host.paused_until_us
                self._push(timer)
                continue
            self.now_us = max(self.now_us, due_us)
            self.event_count += 1
            if self.now_us >= self._window_start_us + SECOND_US:
                self._window_start_us, self._events_in_window = self.now_us, 0
            self._events_in_window += 1
            # A program that keeps scheduling timers without delay would prevent the run from ending.
            if self._events_in_window > MAX_EVENTS_PER_SECOND:
                raise RuntimeError(
                    f"too many events in a simulated second, the last of host {timer.host.name}"
                )
            timer.fire()
        if is_done():
            return True
        self.now_us = max(self.now_us, end_us)
        return False

    def allocate_port(self) -> int:
        """Return an unused port."""
        self._last_port += 1
        return self._last_port

    def link_condition(self, sender: SimulatedHost, receiver: SimulatedHost) -> LinkCondition:
        """Return the condition of the link from one host to another."""
        return self.link_conditions.get((sender.name, receiver.name), UNIMPAIRED)


class SimulatedHost:
    """The host of one process: implements the parts of the reactor interfaces that the service uses."""

    def __init__(self, simulator: NetworkSimulator, name: str, address: str) -> None:
        self.simulator, self.name, self.address = simulator, name, address
        self.is_dead = False
        self.paused_until_us = 0
        self.transports: dict[int, SimulatedTransport] = {}
        self.listeners: list[SimulatedListener] = []
        self.udp_sockets: list[SimulatedUdpSocket] = []
        self._transport_count = 0

    # the clock

    def seconds(self) -> float:
        """Return the current time in seconds."""
        return self.simulator.now_us / SECOND_US

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> SimulatedTimer:
        """Call a function after ``delay`` seconds."""
        return self.simulator.schedule(self, round(delay * SECOND_US), lambda: callable(*args, **kwargs))

    # the network

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> SimulatedListener:
        """Listen on a port; 0 selects an unused one. Raises ``CannotListenError``."""
        return self._listen((interface or "127.0.0.1", port or self.simulator.allocate_port()), factory)

    def listenUNIX(self, address: str, factory: Any) -> SimulatedListener:
        """Listen on a Unix socket. Raises ``CannotListenError``."""
        return self._listen(address, factory)

    def listenUDP(
        self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192
    ) -> SimulatedUdpSocket:
        """Receive datagrams on a port; 0 selects an unused one. Raises ``CannotListenError``."""
        address = (interface or "127.0.0.1", port or self.simulator.allocate_port())
        if address in self.simulator.udp_sockets:
            raise CannotListenError(*address, OSError("in use"))  # type: ignore[no-untyped-call]
        socket = self.simulator.udp_sockets[address] = SimulatedUdpSocket(
            self, address, protocol, maxPacketSize
        )
        self.udp_sockets.append(socket)
        protocol.makeConnection(socket)
        return socket

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> SimulatedConnector:
        """Connect to a port."""
        return SimulatedConnector(self, (host, port), factory, timeout)

    def connectUNIX(self, address: str, factory: Any, timeout: float = 30) -> SimulatedConnector:
        """Connect to a Unix socket."""
        return SimulatedConnector(self, address, factory, timeout)

    def _listen(self, address: NetworkAddress, factory: Any) -> SimulatedListener:
        if address in self.simulator.listeners:
            host, port = address if isinstance(address, tuple) else ("", address)
            raise CannotListenError(host, port, OSError("in use"))  # type: ignore[no-untyped-call]
        listener = SimulatedListener(self, address, factory)
        self.simulator.listeners[address] = listener
        self.listeners.append(listener)
        return listener

    # faults of a process

    def kill(self) -> None:
        """End the process: reset its connections and drop its pending calls."""
        for listener in list(self.listeners):
            listener.close()
        for socket in list(self.udp_sockets):
            socket.stopListening()
        transports = list(self.transports.values())
        self.is_dead = True
        for transport in transports:
            transport.send_reset()
        self.transports.clear()

    def pause(self, duration_us: int) -> None:
        """Suspend the process; events that are due meanwhile run after the pause."""
        self.paused_until_us = max(self.paused_until_us, self.simulator.now_us + duration_us)

    def next_transport_number(self) -> int:
        """Return the number of the next transport of this host."""
        self._transport_count += 1
        return self._transport_count
