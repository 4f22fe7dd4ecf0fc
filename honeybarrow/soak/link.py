"""The link between a forwarder and one of its peers: a connection whose bytes are held, slowed or cut.

Each connection of the stand-ins passes one. What it records are the bytes at the forwarder's socket: data
counts as come when the system gave it, and as written when it was handed to the system.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

HOLD_CHECK_S = 0.02  # between looks whether a silent link speaks again
TRICKLE_INTERVAL_S = 0.005
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkCondition:
    """How a link is just now; shared by its connections and changed while they are open."""

    delay_s: float = 0.0
    is_silent: bool = False  # nothing passes, either way, until it speaks again
    trickle_bytes: int = 0  # at once, where the link trickles
    reset_share: float = 0.0  # of the answers, in whose place the connection is reset
    half_close_share: float = 0.0  # of the answers, behind which the sending side is closed


@dataclass(slots=True)
class _Outgoing:
    data: bytes
    due_s: float
    on_written: Callable[[float], object] | None


class LinkConnection(asyncio.Protocol):
    """A peer's end of one connection; the peer's own protocol is a subclass."""

    def __init__(self, condition: LinkCondition) -> None:
        self.condition = condition
        self.transport: asyncio.Transport | None = None
        self.is_lost = False
        self._loop = asyncio.get_running_loop()
        self._incoming: deque[tuple[bytes, float]] = deque()
        self._outgoing: deque[_Outgoing] = deque()
        self._is_pumping_in = self._is_pumping_out = False

    # for the peer

    def on_arrival(self, data: bytes, arrived_s: float) -> None:
        """Note bytes as the system gives them, before the link lets them pass."""

    def on_bytes(self, data: bytes, arrived_s: float) -> None:
        """Handle bytes that the link has let pass; ``arrived_s``: when the system gave them."""

    def on_lost(self) -> None:
        """Handle the loss of the connection."""

    def send(self, data: bytes, on_written: Callable[[float], object] | None = None) -> None:
        """Write, as the link lets it pass; ``on_written`` gets the time when the last byte was written."""
        self._outgoing.append(_Outgoing(data, time.monotonic() + self.condition.delay_s, on_written))
        if not self._is_pumping_out:
            self._pump_out()

    def reset(self) -> None:
        """Break the connection."""
        if self.transport is not None and not self.is_lost:
            own: socket.socket | None = self.transport.get_extra_info("socket")
            if own is not None:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self.transport.abort()

    def half_close(self) -> None:
        """End sending, and go on reading."""
        if self.transport is not None and not self.is_lost and self.transport.can_write_eof():
            with contextlib.suppress(OSError):  # the forwarder may have closed it this very moment
                self.transport.write_eof()

    def close(self) -> None:
        """Close."""
        if self.transport is not None:
            self.transport.close()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: the connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        own: socket.socket | None = transport.get_extra_info("socket")
        if own is not None:
            own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Asyncio: bytes came."""
        arrived_s = time.monotonic()
        self.on_arrival(data, arrived_s)
        self._incoming.append((data, arrived_s))
        if not self._is_pumping_in:
            self._pump_in()

    def connection_lost(self, exc: Exception | None) -> None:
        """Asyncio: the connection is gone."""
        self.is_lost = True
        self.on_lost()

    # the link

    def _pump_in(self) -> None:
        self._is_pumping_in = False
        while self._incoming:
            data, arrived_s = self._incoming[0]
            wait_s = self._wait_s(arrived_s + self.condition.delay_s)
            if wait_s > 0:
                self._is_pumping_in = True
                self._loop.call_later(wait_s, self._pump_in)
                return
            self._incoming.popleft()
            self.on_bytes(data, arrived_s)

    def _pump_out(self) -> None:
        self._is_pumping_out = False
        while self._outgoing and self.transport is not None and not self.is_lost:
            head = self._outgoing[0]
            wait_s = self._wait_s(head.due_s)
            size = self.condition.trickle_bytes
            if wait_s <= 0 and size and len(head.data) > size:
                self.transport.write(head.data[:size])
                head.data = head.data[size:]
                wait_s = TRICKLE_INTERVAL_S
            if wait_s > 0:
                self._is_pumping_out = True
                self._loop.call_later(wait_s, self._pump_out)
                return
            self._outgoing.popleft()
            self.transport.write(head.data)
            if head.on_written is not None:
                head.on_written(time.monotonic())

    def _wait_s(self, due_s: float) -> float:
        if self.condition.is_silent:
            return HOLD_CHECK_S
        return max(0.0, due_s - time.monotonic())
