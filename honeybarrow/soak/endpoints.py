"""Stand-in endpoints of the partners, with a listener for each forwarder and injectable failures."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import time
from collections import deque
from dataclasses import dataclass

from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.http_messages import HttpMessage, HttpMessageReader
from honeybarrow.soak.link import Impairment, LinkCondition, LinkConnection
from honeybarrow.soak.message_account import GONE_STATUS, MessageAccount

MIN_LATENCY_S, MAX_LATENCY_S = 0.01, 0.12
MAX_ACTIVE_CALLS = 60  # per endpoint; further calls get 503
BACKLOG = 256
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
OVERLOADED_RESPONSE = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
MALFORMED_RESPONSE = b"HTTP/1.1 2\x00\xff garbage\n\n"
GONE_RESPONSE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
EXHAUSTED_RESPONSE = b"HTTP/1.1 504 No attempt left\r\nContent-Length: 0\r\n\r\n"
MAX_END_LATENCY_S = 0.002  # of a response to a message that is over
DELAYS_BEFORE_CLOSE_S = (0.0, 0.005, 0.03, 0.06, 0.2)  # after such a response


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
    CUT_CLOSE = "cut_close"  # answers only the status line, then closes the connection
    CUT_SILENT = "cut_silent"  # answers only the status line


@dataclass(frozen=True, slots=True, eq=False)
class ActiveMode:
    """A failure of an endpoint, until it ends; ``probability`` applies to each call."""

    mode: EndpointMode
    probability: float
    retry_after_s: float


_SILENCE = Impairment(is_silent=True)


def _status_line(response: bytes) -> bytes:
    return response.partition(b"\r\n")[0] + b"\r\n"


class _EndpointConnection(LinkConnection):
    """Connection from a forwarder to an endpoint."""

    def __init__(self, endpoint: StandInEndpoint, forwarder: str, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.endpoint, self.forwarder = endpoint, forwarder
        self.reader = HttpMessageReader()
        self.open_calls: deque[HttpMessage] = deque()  # received and not answered, oldest first
        self._is_processing = False
        self._undelivered: deque[HttpMessage] = deque()  # recorded, but still held by the link
        self._delivered: deque[HttpMessage] = deque()  # not being processed yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the endpoint."""
        super().connection_made(transport)
        self.endpoint.connections[self] = None

    def on_data_received(self, data: bytes, arrived_s: float) -> None:
        """Record calls when they arrive at the socket, before the link delays them."""
        for message in self.reader.receive(data, arrived_s):
            self.open_calls.append(message)
            self._undelivered.append(message)
            self.endpoint.record_call(self, message)

    def on_data_delivered(self, data: bytes, arrived_s: float) -> None:
        """Handle the calls that the link has delivered."""
        while self._undelivered and self._undelivered[0].last_byte_s <= arrived_s:
            self._delivered.append(self._undelivered.popleft())
        self.process_next()

    def process_next(self) -> None:
        """Process the next call, unless one is being processed: a connection is served in order."""
        if self._delivered and not self._is_processing:
            self._is_processing = True
            self.endpoint.on_call(self, self._delivered.popleft())

    def on_processed(self) -> None:
        """Remove the oldest call, whose response has been written, and process the next one."""
        self.open_calls.popleft()
        self._is_processing = False
        self.process_next()

    def on_copied(self, data: bytes) -> None:
        """Record a copied response with the message whose call is open."""
        message = self.open_calls[0].fields.get("x-correlation-id", "") if self.open_calls else ""
        status = data.split(b" ", 2)[1].decode("latin-1")
        self.endpoint.history.add(EventKind.COPIED, self.forwarder, message, self.endpoint.name, status)

    def on_connection_lost(self) -> None:
        """Record the open calls as closed by the forwarder."""
        self.endpoint.connections.pop(self, None)
        calls, self.open_calls = self.open_calls, deque()
        for call in calls:
            message = call.fields.get("x-correlation-id", "")
            self.endpoint.history.add(
                EventKind.CALL_CLOSED, self.forwarder, message, self.endpoint.name, "forwarder"
            )


class StandInEndpoint:
    """Endpoint of a destination.

    :attr:`links` and :attr:`ports` hold the link condition and the port for each forwarder.
    ``assigned_ports`` are the ports of all peers of the run, also while they do not listen.
    """

    def __init__(
        self,
        name: str,
        destination: int,
        host: str,
        history: History,
        rng: random.Random,
        account: MessageAccount | None = None,
        assigned_ports: set[int] | None = None,
    ) -> None:
        self._assigned_ports = set() if assigned_ports is None else assigned_ports
        self.name, self.destination, self.host = name, destination, host
        self.history, self._rng = history, rng
        self.account = account or MessageAccount(history, 0, 0.0)
        self._modes: list[ActiveMode] = []
        self._outages = 0  # crashes and failures of the network that have not ended
        self.links: dict[str, LinkCondition] = {}
        self.ports: dict[str, int] = {}
        self.connections: dict[_EndpointConnection, None] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._backlog_sockets: list[socket.socket] = []
        self._silences = 0  # of the outages, those in which the network fails
        self.is_retired = False
        self.predecessor: str = ""  # name of the endpoint whose addresses it has taken over
        self.active_calls = 0

    async def listen(self, forwarder: str) -> None:
        """Open the listener for one forwarder; the port stays the same after a crash."""
        if forwarder in self.ports:
            self._servers[forwarder] = await self._open_listener(forwarder, self.ports[forwarder])
            return
        rejected: list[asyncio.Server] = []  # on ports that belong to endpoints that are down
        while True:
            server = await self._open_listener(forwarder, 0)
            port = int(server.sockets[0].getsockname()[1])
            if port not in self._assigned_ports:
                break
            rejected.append(server)
        for each in rejected:
            each.close()
        self._assigned_ports.add(port)
        self._servers[forwarder], self.ports[forwarder] = server, port

    async def _open_listener(self, forwarder: str, port: int) -> asyncio.Server:
        condition = self.links.setdefault(forwarder, LinkCondition())
        return await asyncio.get_running_loop().create_server(
            lambda: _EndpointConnection(self, forwarder, condition),
            self.host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    @property
    def is_listening(self) -> bool:
        """Whether the endpoint accepts connections."""
        return bool(self._servers)

    def begin_mode(self, mode: EndpointMode, probability: float, retry_after_s: float) -> ActiveMode:
        """Fail in a way until :meth:`end_mode`; of several modes the last one begun applies."""
        active = ActiveMode(mode, probability, retry_after_s)
        self._modes.append(active)
        return active

    def end_mode(self, active: ActiveMode) -> None:
        """End a mode."""
        self._modes.remove(active)

    @property
    def retry_after_s(self) -> float:
        """Time to wait that a throttled call is told."""
        return self._modes[-1].retry_after_s if self._modes else 0.5

    def draw_mode(self) -> EndpointMode:
        """Return how to treat the next call."""
        if self._modes and self._rng.random() < self._modes[-1].probability:
            return self._modes[-1].mode
        return EndpointMode.SERVE

    def retire(self) -> None:
        """End for good: another endpoint may listen at the addresses afterwards."""
        self.is_retired = True
        self._close_connections()

    def crash(self) -> None:
        """Close the listeners and reset all open connections until :meth:`recover`."""
        self._outages += 1
        self._close_connections()

    def _close_connections(self) -> None:
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        for connection in list(self.connections):
            connection.reset()

    def become_unreachable(self) -> None:
        """Become unreachable until :meth:`recover`: connects time out, open connections transfer nothing."""
        self._outages += 1
        for condition in self.links.values():
            condition.add(_SILENCE)
        self._silences += 1
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

    async def recover(self) -> None:
        """End one crash or network failure; after the last one, listen again on all ports."""
        self._outages -= 1
        if self._outages:
            return
        for blocked_socket in self._backlog_sockets:
            blocked_socket.close()
        self._backlog_sockets.clear()
        for condition in self.links.values():
            for _ in range(self._silences):
                condition.remove(_SILENCE)
        self._silences = 0
        if self.is_retired:
            return
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
        mode = self.draw_mode()
        message = call.fields.get("x-correlation-id", "")
        self.account.record_call(message)
        if end_status := self.account.end_status(message):
            latency_s = self._rng.uniform(0.0, MAX_END_LATENCY_S)
            asyncio.get_running_loop().call_later(
                latency_s, self._answer_end, connection, call, mode, end_status
            )
            return
        if self.active_calls >= MAX_ACTIVE_CALLS:
            mode = EndpointMode.OVERLOADED
        self.active_calls += 1
        latency_s = self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        asyncio.get_running_loop().call_later(latency_s, self._finish, connection, call, mode)

    def _finish(self, connection: _EndpointConnection, call: HttpMessage, mode: EndpointMode) -> None:
        self.active_calls -= 1
        if connection.is_lost or call not in connection.open_calls:
            return
        if mode is EndpointMode.HANG:
            return
        is_reset = self._rng.random() < connection.condition.reset_probability
        if mode is EndpointMode.RESET or is_reset:
            for open_call in connection.open_calls:
                self._record(connection, open_call, EventKind.CALL_CLOSED, "endpoint")
            connection.open_calls.clear()
            connection.reset()
            return
        self._answer(connection, call, mode)

    def _answer_end(
        self, connection: _EndpointConnection, call: HttpMessage, mode: EndpointMode, status: str
    ) -> None:
        """Tell that a message is over or has no attempt left; the connection then fails as the mode says."""
        if connection.is_lost or call not in connection.open_calls or mode is EndpointMode.HANG:
            return
        data = GONE_RESPONSE if status == GONE_STATUS else EXHAUSTED_RESPONSE
        if mode in (EndpointMode.CUT_CLOSE, EndpointMode.CUT_SILENT):
            data = _status_line(data)
        elif mode is EndpointMode.MALFORMED:
            data = _status_line(data) + b"spoilt\r\n\r\n"
        is_reset = self._rng.random() < connection.condition.reset_probability
        is_closed = mode in (EndpointMode.CLOSE_IDLE, EndpointMode.CUT_CLOSE)
        delay_s = self._rng.choice(DELAYS_BEFORE_CLOSE_S)

        def on_written(written_s: float) -> None:
            self._record(connection, call, EventKind.CALL_ANSWERED, status, 0.0, written_s)
            self.account.record_end(connection.forwarder)
            if mode is EndpointMode.RESET or is_reset:
                asyncio.get_running_loop().call_later(delay_s, connection.reset)
            elif is_closed:
                asyncio.get_running_loop().call_later(delay_s, connection.close)
            connection.on_processed()

        connection.send(data, on_written)

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
        elif mode in (EndpointMode.CUT_CLOSE, EndpointMode.CUT_SILENT):
            data = _status_line(data)
        if status == "200":
            self.account.record_delivered(call.fields.get("x-correlation-id", ""))

        def on_written(written_s: float) -> None:
            self._record(connection, call, EventKind.CALL_ANSWERED, status, retry_after_s, written_s)
            is_half_closing = self._rng.random() < connection.condition.half_close_probability
            if mode in (EndpointMode.CLOSE_IDLE, EndpointMode.CUT_CLOSE):
                connection.close()
            elif is_half_closing:
                connection.half_close()
            connection.on_processed()

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
        self._close_connections()
        for blocked_socket in self._backlog_sockets:
            blocked_socket.close()
