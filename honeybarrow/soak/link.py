"""Network impairment between a forwarder and a stand-in: delays, stalls, slow sending, resets and copies.

All connections of the stand-ins are subclasses of :class:`LinkConnection`. Recorded times are those at the
operating system's socket: when it returned received data, and when it accepted data to send.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from honeybarrow.soak.copies import CopyFault, CopyForm, CopyTiming, draw_cut

SILENT_POLL_INTERVAL_S = 0.02  # between checks whether a silent link has recovered
TRICKLE_INTERVAL_S = 0.005
COPY_PART_INTERVAL_S = 0.002  # between the two parts of a copy
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Impairment:
    """What one fault does to a link."""

    delay_s: float = 0.0
    is_silent: bool = False  # no bytes pass in either direction
    trickle_chunk_bytes: int = 0  # bytes per TRICKLE_INTERVAL_S; 0: unlimited
    reset_probability: float = 0.0  # that a connection is reset instead of a response
    half_close_probability: float = 0.0  # that the sender half-closes after a response
    copies: CopyFault | None = None


class LinkCondition:
    """Current impairments of a link, shared by all its connections; may change while they are open."""

    def __init__(self) -> None:
        self._impairments: list[Impairment] = []
        self.rng = random.Random(0)

    @contextlib.contextmanager
    def impaired(self, impairment: Impairment) -> Iterator[None]:
        """Apply an impairment in a ``with`` block; impairments of other faults stay in force."""
        self.add(impairment)
        try:
            yield
        finally:
            self.remove(impairment)

    def add(self, impairment: Impairment) -> None:
        """Apply an impairment until :meth:`remove`."""
        self._impairments.append(impairment)

    def remove(self, impairment: Impairment) -> None:
        """End an impairment."""
        self._impairments.remove(impairment)

    @property
    def delay_s(self) -> float:
        """Longest delay of any impairment."""
        return max((each.delay_s for each in self._impairments), default=0.0)

    @property
    def is_silent(self) -> bool:
        """Whether no bytes pass."""
        return any(each.is_silent for each in self._impairments)

    @property
    def trickle_chunk_bytes(self) -> int:
        """Smallest chunk of any impairment; 0 if none trickles."""
        sizes = [each.trickle_chunk_bytes for each in self._impairments if each.trickle_chunk_bytes]
        return min(sizes, default=0)

    @property
    def reset_probability(self) -> float:
        """Highest probability of a reset."""
        return max((each.reset_probability for each in self._impairments), default=0.0)

    @property
    def half_close_probability(self) -> float:
        """Highest probability of a half-close."""
        return max((each.half_close_probability for each in self._impairments), default=0.0)

    def draw_copies(self) -> list[CopyFault]:
        """Return the copies to make of the next data."""
        faults = [each.copies for each in self._impairments if each.copies is not None]
        return [each for each in faults if self.rng.random() < each.probability]


@dataclass(slots=True)
class _OutgoingData:
    data: bytes
    due_s: float
    on_written: Callable[[float], object] | None


class LinkConnection(asyncio.Protocol):
    """Stand-in's end of one connection; subclasses implement the protocol."""

    def __init__(self, condition: LinkCondition) -> None:
        self.condition = condition
        self.transport: asyncio.Transport | None = None
        self.is_lost = False
        self._loop = asyncio.get_running_loop()
        self._incoming: deque[tuple[bytes, float]] = deque()
        self._outgoing: deque[_OutgoingData] = deque()
        self._is_delivery_scheduled = self._is_flush_scheduled = False
        self._copies_after_request: list[tuple[CopyFault, bytes]] = []
        self._rest_of_copy = b""

    # interface of subclasses

    def on_data_received(self, data: bytes, arrived_s: float) -> None:
        """Handle bytes when they arrive at the socket, before the link's impairments apply."""

    def on_data_delivered(self, data: bytes, arrived_s: float) -> None:
        """Handle bytes that the link has delivered; ``arrived_s`` is their arrival time at the socket."""

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""

    def on_copied(self, data: bytes) -> None:
        """Handle that a copy of data has been written to the socket."""

    def send(self, data: bytes, on_written: Callable[[float], object] | None = None) -> None:
        """Send data under the link's impairments.

        ``on_written`` is called with the time at which the last byte was written to the socket.
        """
        self._outgoing.append(_OutgoingData(data, time.monotonic() + self.condition.delay_s, on_written))
        if not self._is_flush_scheduled:
            self._flush_outgoing()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        if self.transport is not None and not self.is_lost:
            sock: socket.socket | None = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self.transport.abort()

    def half_close(self) -> None:
        """Close the sending side and continue reading."""
        if self.transport is not None and not self.is_lost and self.transport.can_write_eof():
            with contextlib.suppress(OSError):  # the forwarder may have closed it concurrently
                self.transport.write_eof()

    def close(self) -> None:
        """Close the connection after the data already written."""
        if self.transport is not None:
            self.transport.close()

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock: socket.socket | None = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Queue received bytes for delivery by the link."""
        arrived_s = time.monotonic()
        copies, self._copies_after_request = self._copies_after_request, []
        for fault, copied in copies:
            self._loop.call_later(fault.delay_s, self._write_copy, fault, copied)
        self.on_data_received(data, arrived_s)
        self._incoming.append((data, arrived_s))
        if not self._is_delivery_scheduled:
            self._deliver_incoming()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as lost and call :meth:`on_connection_lost`."""
        self.is_lost = True
        self.on_connection_lost()

    # impairments

    def _deliver_incoming(self) -> None:
        self._is_delivery_scheduled = False
        while self._incoming:
            data, arrived_s = self._incoming[0]
            wait_s = self._remaining_delay_s(arrived_s + self.condition.delay_s)
            if wait_s > 0:
                self._is_delivery_scheduled = True
                self._loop.call_later(wait_s, self._deliver_incoming)
                return
            self._incoming.popleft()
            self.on_data_delivered(data, arrived_s)

    def _flush_outgoing(self) -> None:
        self._is_flush_scheduled = False
        while self._outgoing and self.transport is not None and self._can_write():
            head = self._outgoing[0]
            wait_s = self._remaining_delay_s(head.due_s)
            size = self.condition.trickle_chunk_bytes
            if self._rest_of_copy:
                wait_s = max(wait_s, COPY_PART_INTERVAL_S)
            if wait_s <= 0 and size and len(head.data) > size:
                self.transport.write(head.data[:size])
                head.data = head.data[size:]
                wait_s = TRICKLE_INTERVAL_S
            if wait_s > 0:
                self._is_flush_scheduled = True
                self._loop.call_later(wait_s, self._flush_outgoing)
                return
            self._outgoing.popleft()
            self.transport.write(head.data)
            if not self._can_write():  # the write has failed
                return
            if head.on_written is not None:
                head.on_written(time.monotonic())
            self._schedule_copies(head.data)

    def _can_write(self) -> bool:
        """Return whether the transport passes on what is written; once it closes, it drops all bytes."""
        return self.transport is not None and not self.is_lost and not self.transport.is_closing()

    # copies

    def _schedule_copies(self, data: bytes) -> None:
        for fault in self.condition.draw_copies():
            if fault.timing is CopyTiming.AFTER_REQUEST:
                self._copies_after_request.append((fault, data))
            else:
                self._loop.call_later(fault.delay_s, self._write_copy, fault, data)

    def _write_copy(self, fault: CopyFault, data: bytes) -> None:
        if self.transport is None or not self._can_write() or self._rest_of_copy:
            return
        first_bytes = len(data)
        if fault.form in (CopyForm.PARTS, CopyForm.CUT):
            first_bytes = draw_cut(data, self.condition.rng)
        self.transport.write(data[:first_bytes])
        if not self._can_write():
            return
        self.on_copied(data)
        if fault.form is CopyForm.PARTS:
            self._rest_of_copy = data[first_bytes:]
            self._loop.call_later(COPY_PART_INTERVAL_S, self._write_rest_of_copy)
        elif fault.form is CopyForm.TWICE:
            second = replace(fault, form=CopyForm.WHOLE)
            self._loop.call_later(fault.delay_s, self._write_copy, second, data)

    def _write_rest_of_copy(self) -> None:
        rest, self._rest_of_copy = self._rest_of_copy, b""
        if self.transport is not None and self._can_write():
            self.transport.write(rest)

    def _remaining_delay_s(self, due_s: float) -> float:
        if self.condition.is_silent:
            return SILENT_POLL_INTERVAL_S
        return max(0.0, due_s - time.monotonic())
