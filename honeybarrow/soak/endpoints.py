"""Stand-in endpoints of the partners, with a listener for each forwarder and injectable failures."""

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
MAX_ACTIVE_CALLS = 60  # per endpoint; further calls get 503
BACKLOG = 256
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
OVERLOADED_RESPONSE = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
MALFORMED_RESPONSE = b"HTTP/1.1 2\x00\xff garbage\n\n"


class EndpointMode(enum.StrEnum):
    """Behaviour of an endpoint towards new calls."""

    SERVE = "serve"
    OVERLOADED = "overloaded"  # answers 503
    THROTTLE = "throttle"  # answers 429 with a time to wait
    FAIL = "fail"  # answers 500
    HANG = "hang"  # processes the call and never answers
    RESET = "reset"  # resets the connection after processing has begun
    MALFORMED = "malformed"  # answers with bytes that are not HTTP
    CLOSE_IDLE = "close_idle"  # answers 200, then closes the connection


class _EndpointConnection(LinkConnection):
    """Connection from a forwarder to an endpoint."""

    def __init__(self, endpoint: StandInEndpoint, forwarder: str, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.endpoint, self.forwarder = endpoint, forwarder
        self.reader = HttpMessageReader()
        self.open_call: HttpMessage | None = None
        self._undelivered: deque[HttpMessage] = deque()  # recorded, but still held by the link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the endpoint."""
        super().connection_made(transport)
        self.endpoint.connections[self] = None

    def on_data_received(self, data: bytes, arrived_s: float) -> None:
        """Record calls when they arrive at the socket, before the link delays them."""
        for message in self.reader.receive(data, arrived_s):
            self.open_call = message
            self._undelivered.append(message)
            self.endpoint.record_call(self, message)

    def on_data_delivered(self, data: bytes, arrived_s: float) -> None:
        """Handle the calls that the link has delivered."""
        while self._undelivered and self._undelivered[0].last_byte_s <= arrived_s:
            self.endpoint.on_call(self, self._undelivered.popleft())

    def on_connection_lost(self) -> None:
        """Record the open call as closed by the forwarder."""
        self.endpoint.connections.pop(self, None)
        call, self.open_call = self.open_call, None
        if call is not None:
            message = call.fields.get("x-correlation-id", "")
            self.endpoint.history.add(
                EventKind.CALL_CLOSED, self.forwarder, message, self.endpoint.name, "forwarder"
            )


class StandInEndpoint:
    """Endpoint of a destination.

    :attr:`links` and :attr:`ports` hold the link condition and the port for each forwarder.
    """

    def __init__(self, name: str, destination: int, host: str, history: History, rng: random.Random) -> None:
        self.name, self.destination, self.host = name, destination, host
        self.history, self._rng = history, rng
        self.mode, self.mode_probability, self.retry_after_s = EndpointMode.SERVE, 1.0, 0.5
        self.links: dict[str, LinkCondition] = {}
        self.ports: dict[str, int] = {}
        self.connections: dict[_EndpointConnection, None] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._backlog_sockets: list[socket.socket] = []
        self.active_calls = 0

    async def listen(self, forwarder: str) -> None:
        """Open the listener for one forwarder; the port stays the same after a crash."""
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
        """Close the listeners and reset all open connections."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        for connection in list(self.connections):
            connection.reset()

    def become_unreachable(self) -> None:
        """Become unreachable: connects time out, and open connections transfer nothing."""
        for forwarder, server in self._servers.items():
            server.close()
            listener = socket.create_server((self.host, self.ports[forwarder]), backlog=0)
            self._backlog_sockets.append(listener)
            for _ in range(2):  # Two pending connects fill an accept queue of backlog 0.
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((self.host, self.ports[forwarder]))
                self._backlog_sockets.append(filler)
        self._servers.clear()
        for condition in self.links.values():
            condition.is_silent = True

    async def recover(self) -> None:
        """Listen again on all ports and serve calls normally."""
        self.mode, self.mode_probability = EndpointMode.SERVE, 1.0
        for blocked_socket in self._backlog_sockets:
            blocked_socket.close()
        self._backlog_sockets.clear()
        for condition in self.links.values():
            condition.is_silent = False
        for forwarder in self.links:
            if forwarder not in self._servers:
                await self.listen(forwarder)

    def record_call(self, connection: _EndpointConnection, call: HttpMessage) -> None:
        """Record the arrival of a complete call."""
        message = call.fields.get("x-correlation-id", "")
        self.history.add(
            EventKind.CALL, connection.forwarder, message, self.name, amount=call.first_byte_s,
            time_s=call.last_byte_s,
        )  # fmt: skip

    def on_call(self, connection: _EndpointConnection, call: HttpMessage) -> None:
        """Process a complete call and answer it after a random latency."""
        mode = self.mode if self._rng.random() < self.mode_probability else EndpointMode.SERVE
        if self.active_calls >= MAX_ACTIVE_CALLS:
            mode = EndpointMode.OVERLOADED
        self.active_calls += 1
        latency_s = self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        asyncio.get_running_loop().call_later(latency_s, self._finish, connection, call, mode)

    def _finish(self, connection: _EndpointConnection, call: HttpMessage, mode: EndpointMode) -> None:
        self.active_calls -= 1
        if connection.is_lost or connection.open_call is not call:
            return
        if mode is EndpointMode.HANG:
            return
        is_reset = self._rng.random() < connection.condition.reset_probability
        if mode is EndpointMode.RESET or is_reset:
            self._record(connection, call, EventKind.CALL_CLOSED, "endpoint")
            connection.open_call = None
            connection.reset()
            return
        self._answer(connection, call, mode)

    def _answer(self, connection: _EndpointConnection, call: HttpMessage, mode: EndpointMode) -> None:
        data, status, retry_after_s = OK_RESPONSE, "200", 0.0
        if mode is EndpointMode.OVERLOADED:
            data, status = OVERLOADED_RESPONSE, "503"
        elif mode is EndpointMode.THROTTLE:
            retry_after_s = self.retry_after_s
            fields = f"X-Come-Back-Ms: {retry_after_s * 1000:.0f}\r\nContent-Length: 0\r\n\r\n"
            data, status = f"HTTP/1.1 429 Wait\r\n{fields}".encode(), "429"
        elif mode is EndpointMode.FAIL:
            data, status = ERROR_RESPONSE, "500"
        elif mode is EndpointMode.MALFORMED:
            data, status = MALFORMED_RESPONSE, "malformed"

        def on_written(written_s: float) -> None:
            connection.open_call = None
            self._record(connection, call, EventKind.CALL_ANSWERED, status, retry_after_s, written_s)
            is_half_closing = self._rng.random() < connection.condition.half_close_probability
            if mode is EndpointMode.CLOSE_IDLE:
                connection.close()
            elif is_half_closing:
                connection.half_close()

        connection.send(data, on_written)

    def _record(
        self,
        connection: _EndpointConnection,
        call: HttpMessage,
        kind: EventKind,
        detail: str,
        amount: float = 0.0,
        time_s: float | None = None,
    ) -> None:
        message = call.fields.get("x-correlation-id", "")
        time_s = time.monotonic() if time_s is None else time_s
        self.history.add(kind, connection.forwarder, message, self.name, detail, amount, time_s)

    def close(self) -> None:
        """Close all listeners and connections."""
        self.crash()
        for blocked_socket in self._backlog_sockets:
            blocked_socket.close()
