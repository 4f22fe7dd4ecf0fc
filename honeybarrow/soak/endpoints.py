"""Stand-ins of the partners' endpoints: each listens for every forwarder, and behaves as the plan says."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import time
from collections import deque

from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.http_messages import HttpMessage, HttpMessageReader
from honeybarrow.soak.link import LinkCondition, LinkConnection

MIN_LATENCY_S, MAX_LATENCY_S = 0.01, 0.12
MAX_CALLS_AT_ONCE = 60  # of one endpoint
BACKLOG = 256
RUN_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL_ANSWER = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
ERROR_ANSWER = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
SPOILT_ANSWER = b"HTTP/1.1 2\x00\xff garbage\n\n"


class EndpointMode(enum.StrEnum):
    """How an endpoint treats calls just now."""

    SERVE = "serve"
    FULL = "full"  # 503
    WAIT = "wait"  # 429, with a time to wait
    FAIL = "fail"  # 500
    HANG = "hang"  # the work is done, the answer never comes
    BREAK = "break"  # the connection is reset after the work has begun
    SPOIL = "spoil"  # an answer that can't be read
    CLOSE_IDLE = "close_idle"  # served, and the connection is closed right behind


class _EndpointConnection(LinkConnection):
    """A forwarder's connection to an endpoint."""

    def __init__(self, endpoint: StandInEndpoint, forwarder: str, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.endpoint, self.forwarder = endpoint, forwarder
        self.reader = HttpMessageReader()
        self.open_call: HttpMessage | None = None
        self._arrived: deque[HttpMessage] = deque()  # the link has not let them pass yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: the connection is up."""
        super().connection_made(transport)
        self.endpoint.connections[self] = None

    def on_arrival(self, data: bytes, arrived_s: float) -> None:
        """Read and record calls."""
        for message in self.reader.receive(data, arrived_s):
            self.open_call = message
            self._arrived.append(message)
            self.endpoint.record_call(self, message)

    def on_bytes(self, data: bytes, arrived_s: float) -> None:
        """Handle calls."""
        while self._arrived and self._arrived[0].last_byte_s <= arrived_s:
            self.endpoint.on_call(self, self._arrived.popleft())

    def on_lost(self) -> None:
        """Record a call that was given up."""
        self.endpoint.connections.pop(self, None)
        call, self.open_call = self.open_call, None
        if call is not None:
            name = call.fields.get("x-correlation-id", "")
            self.endpoint.history.add(
                EventKind.CALL_CLOSED, self.forwarder, name, self.endpoint.name, "forwarder"
            )


class StandInEndpoint:
    """One endpoint of a destination, at an address of the run's own.

    ``links``: the condition of the link from each forwarder.
    """

    def __init__(self, name: str, destination: int, host: str, history: History, rng: random.Random) -> None:
        self.name, self.destination, self.host = name, destination, host
        self.history, self._rng = history, rng
        self.mode, self.mode_share, self.wait_s = EndpointMode.SERVE, 1.0, 0.5
        self.links: dict[str, LinkCondition] = {}
        self.ports: dict[str, int] = {}
        self.connections: dict[_EndpointConnection, None] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._full_queues: list[socket.socket] = []
        self.calls_at_once = 0

    async def listen(self, forwarder: str) -> None:
        """Listen for one forwarder, on a port that stays the endpoint's."""
        condition = self.links.setdefault(forwarder, LinkCondition())
        self._servers[forwarder] = server = await asyncio.get_running_loop().create_server(
            lambda: _EndpointConnection(self, forwarder, condition),
            self.host,
            self.ports.get(forwarder, 0),
            backlog=BACKLOG,
            reuse_address=True,
        )
        self.ports[forwarder] = server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Refuse connections and break those that are open."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        for connection in list(self.connections):
            connection.reset()

    def vanish(self) -> None:
        """Answer no connect, and go silent on open connections."""
        for forwarder, server in self._servers.items():
            server.close()
            listener = socket.create_server((self.host, self.ports[forwarder]), backlog=0)
            self._full_queues.append(listener)
            for _ in range(2):  # one is queued, and the next keeps its place while it is not accepted
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((self.host, self.ports[forwarder]))
                self._full_queues.append(filler)
        self._servers.clear()
        for condition in self.links.values():
            condition.is_silent = True

    async def recover(self) -> None:
        """Serve again."""
        self.mode, self.mode_share = EndpointMode.SERVE, 1.0
        for each in self._full_queues:
            each.close()
        self._full_queues.clear()
        for condition in self.links.values():
            condition.is_silent = False
        for forwarder in self.links:
            if forwarder not in self._servers:
                await self.listen(forwarder)

    def record_call(self, connection: _EndpointConnection, call: HttpMessage) -> None:
        """Record a whole call."""
        name = call.fields.get("x-correlation-id", "")
        self.history.add(
            EventKind.CALL, connection.forwarder, name, self.name, amount=call.first_byte_s,
            at_s=call.last_byte_s,
        )  # fmt: skip

    def on_call(self, connection: _EndpointConnection, call: HttpMessage) -> None:
        """Handle a whole call."""
        mode = self.mode if self._rng.random() < self.mode_share else EndpointMode.SERVE
        if self.calls_at_once >= MAX_CALLS_AT_ONCE:
            mode = EndpointMode.FULL
        self.calls_at_once += 1
        latency_s = self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        asyncio.get_running_loop().call_later(latency_s, self._finish, connection, call, mode)

    def _finish(self, connection: _EndpointConnection, call: HttpMessage, mode: EndpointMode) -> None:
        self.calls_at_once -= 1
        if connection.is_lost or connection.open_call is not call:
            return
        if mode is EndpointMode.HANG:
            return
        is_cut = self._rng.random() < connection.condition.reset_share
        if mode is EndpointMode.BREAK or is_cut:
            self._record(connection, call, EventKind.CALL_CLOSED, "endpoint")
            connection.open_call = None
            connection.reset()
            return
        self._answer(connection, call, mode)

    def _answer(self, connection: _EndpointConnection, call: HttpMessage, mode: EndpointMode) -> None:
        data, status, wait_s = RUN_ANSWER, "200", 0.0
        if mode is EndpointMode.FULL:
            data, status = FULL_ANSWER, "503"
        elif mode is EndpointMode.WAIT:
            wait_s = self.wait_s
            fields = f"X-Come-Back-Ms: {wait_s * 1000:.0f}\r\nContent-Length: 0\r\n\r\n"
            data, status = f"HTTP/1.1 429 Wait\r\n{fields}".encode(), "429"
        elif mode is EndpointMode.FAIL:
            data, status = ERROR_ANSWER, "500"
        elif mode is EndpointMode.SPOIL:
            data, status = SPOILT_ANSWER, "spoilt"

        def on_written(written_s: float) -> None:
            connection.open_call = None
            self._record(connection, call, EventKind.CALL_ANSWERED, status, wait_s, written_s)
            is_closing = self._rng.random() < connection.condition.half_close_share
            if mode is EndpointMode.CLOSE_IDLE:
                connection.close()
            elif is_closing:
                connection.half_close()

        connection.send(data, on_written)

    def _record(
        self,
        connection: _EndpointConnection,
        call: HttpMessage,
        kind: EventKind,
        detail: str,
        amount: float = 0.0,
        at_s: float | None = None,
    ) -> None:
        name = call.fields.get("x-correlation-id", "")
        at_s = time.monotonic() if at_s is None else at_s
        self.history.add(kind, connection.forwarder, name, self.name, detail, amount, at_s)

    def close(self) -> None:
        """Close all sockets."""
        self.crash()
        for each in self._full_queues:
            each.close()
