"""Clients of one forwarder: a pool that sends requests, and a flood of connections that stay open."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import deque

from honeybarrow.soak.history import ClientRequest, EventKind, History
from honeybarrow.soak.http_messages import HttpMessage, HttpMessageReader
from honeybarrow.soak.link import LinkCondition, LinkConnection
from honeybarrow.soak.settings import CLASSES, SoakClass

RESPONSE_TIMEOUT_S = 0.4
MAX_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 0.4
ORDER_KEY_COUNT = 4
CLOSE_PROBABILITY = 0.05  # that the client closes its connection after a response
PARTIAL_REQUEST_TIMEOUT_S = 3.0  # in which the forwarder must reject or close an incomplete request
ACCEPTED_STATUS = 202
MAX_REPEATABLE_REQUESTS = 12
REPEAT_INTERVAL_S = (0.02, 0.3)
TIME_LEFT_FRACTION = (0.25, 1.0)  # range of X-Time-Left, as a fraction of the class's deadline


class _ClientConnection(LinkConnection):
    """Connection from a client to the forwarder, with at most one request in flight."""

    def __init__(self, pool: ClientPool, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.pool = pool
        self.reader = HttpMessageReader()
        self.response: asyncio.Future[HttpMessage | None] | None = None

    def on_data_delivered(self, data: bytes, arrived_s: float) -> None:
        """Complete the pending request with its response."""
        for message in self.reader.receive(data, arrived_s):
            response, self.response = self.response, None
            if response is not None and not response.done():
                response.set_result(message)

    def eof_received(self) -> bool:
        """Close the connection when the forwarder half-closes it."""
        return False

    def on_connection_lost(self) -> None:
        """Remove the connection from its pool and fail the pending request."""
        self.pool.remove(self)
        response, self.response = self.response, None
        if response is not None and not response.done():
            response.set_result(None)


class ClientPool:
    """Clients of one forwarder that send requests at a given average rate and reuse connections."""

    def __init__(
        self,
        forwarder: str,
        address: tuple[str, int],
        destinations: list[int],
        rate_per_s: float,
        history: History,
        rng: random.Random,
    ) -> None:
        self.forwarder, self.address, self.destinations = forwarder, address, destinations
        self.rate_per_s, self.history, self._rng = rate_per_s, history, rng
        self.condition = LinkCondition()
        self._idle: deque[_ClientConnection] = deque()
        self._open: dict[_ClientConnection, None] = {}
        self._busy_keys: dict[str, None] = {}
        self._accepted: deque[ClientRequest] = deque(maxlen=MAX_REPEATABLE_REQUESTS)
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._request_count = 0
        self._is_running = True

    async def run(self, until_s: float) -> None:
        """Send requests until ``until_s`` on the monotonic clock."""
        while self._is_running and time.monotonic() < until_s:
            await asyncio.sleep(self._rng.expovariate(self.rate_per_s))
            task = asyncio.create_task(self._send_request())
            self._tasks[task] = None
            task.add_done_callback(lambda finished: self._tasks.pop(finished, None))

    def remove(self, connection: _ClientConnection) -> None:
        """Remove a lost connection."""
        self._open.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    async def _send_request(self) -> None:
        message_class = self._rng.choices(CLASSES, [each.traffic_share for each in CLASSES])[0]
        order_key = f"k{self._rng.randrange(ORDER_KEY_COUNT)}" if message_class.is_ordered else ""
        if not order_key:
            await self._submit(message_class, order_key)
            return
        if order_key in self._busy_keys:
            return  # An ordered key has at most one request in flight.
        self._busy_keys[order_key] = None
        try:
            await self._submit(message_class, order_key)
        finally:
            self._busy_keys.pop(order_key, None)

    async def _submit(self, message_class: SoakClass, order_key: str) -> None:
        self._request_count += 1
        message = f"{self.forwarder}-{self._request_count:05d}"
        time_left_s = message_class.deadline_s * self._rng.uniform(*TIME_LEFT_FRACTION)
        destination = self._rng.choice(self.destinations)
        for _ in range(2):
            reused = self._pop_idle()
            connection = reused or await self._connect()
            if connection is None:
                return
            request = ClientRequest(
                message,
                self.forwarder,
                message_class.name,
                destination,
                time.monotonic(),
                time_left_s,
                order_key,
            )
            is_finished = await self._exchange(connection, request, is_reused=reused is not None)
            if is_finished or reused is None:
                return

    def _pop_idle(self) -> _ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_lost:
                return connection
        return None

    async def _connect(self) -> _ClientConnection | None:
        if len(self._open) >= MAX_CONNECTIONS:
            return None
        try:
            _, connection = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(
                    lambda: _ClientConnection(self, self.condition), *self.address
                ),
                CONNECT_TIMEOUT_S,
            )
        except (TimeoutError, OSError):
            return None
        self._open[connection] = None
        return connection

    async def _exchange(self, connection: _ClientConnection, request: ClientRequest, is_reused: bool) -> bool:
        """Send a request and wait for its response; return ``False`` if it may be retried."""
        connection.response = pending = asyncio.get_running_loop().create_future()
        self.history.requests[request.message] = request
        connection_state = "reused" if is_reused else "new"
        self.history.add(EventKind.REQUEST, self.forwarder, request.message, detail=connection_state)
        connection.send(encode_request(request))
        try:
            response = await asyncio.wait_for(pending, RESPONSE_TIMEOUT_S)
        except TimeoutError:
            self.history.add(EventKind.NO_ANSWER, self.forwarder, request.message, detail="timeout")
            connection.response = None
            connection.reset()
            return True
        if response is None:
            self.history.add(
                EventKind.NO_ANSWER, self.forwarder, request.message, detail=f"closed {connection_state}"
            )
            return False
        self.history.add(
            EventKind.ANSWER, self.forwarder, request.message, detail=str(response.status),
            time_s=response.last_byte_s,
        )  # fmt: skip
        if response.status == ACCEPTED_STATUS:
            self._accepted.append(request)
        if response.fields.get("connection") == "close" or self._rng.random() < CLOSE_PROBABILITY:
            connection.close()
        elif not connection.is_lost:
            self._idle.append(connection)
        return True

    async def repeat_requests(self, seconds: float) -> None:
        """Send accepted requests again whose time is not over, on new connections."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            await asyncio.sleep(self._rng.uniform(*REPEAT_INTERVAL_S))
            in_time = [each for each in self._accepted if time.monotonic() < each.deadline_s]
            if in_time:
                await self._repeat(self._rng.choice(in_time))

    async def _repeat(self, request: ClientRequest) -> None:
        connection = await self._connect()
        if connection is None:
            return
        connection.response = pending = asyncio.get_running_loop().create_future()
        connection.send(encode_request(request))
        with contextlib.suppress(TimeoutError):
            response = await asyncio.wait_for(pending, RESPONSE_TIMEOUT_S)
            status = "closed" if response is None else str(response.status)
            self.history.add(EventKind.REPEATED, self.forwarder, request.message, detail=status)
        connection.reset()

    async def send_partial_request(self) -> None:
        """Send an incomplete request and record whether the forwarder rejects or closes it."""
        connection = await self._connect()
        if connection is None:
            return
        connection.response = pending = asyncio.get_running_loop().create_future()
        connection.send(b"POST /note HTTP/1.1\r\nHost: o\r\nX-Corr")
        started_s = time.monotonic()
        try:
            response = await asyncio.wait_for(pending, PARTIAL_REQUEST_TIMEOUT_S + 1.0)
        except TimeoutError:
            self.history.add(EventKind.BAD_CLIENT, self.forwarder, detail="unanswered")
            connection.reset()
            return
        outcome = "closed" if response is None else str(response.status)
        self.history.add(
            EventKind.BAD_CLIENT, self.forwarder, detail=outcome, amount=time.monotonic() - started_s
        )

    def close(self) -> None:
        """Cancel all requests and reset all connections."""
        self._is_running = False
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._open):
            connection.reset()


def encode_request(request: ClientRequest) -> bytes:
    """Return a request as HTTP/1.1 bytes."""
    body = request.message.encode() * 3
    path = f"/{request.class_name}/{request.order_key}" if request.order_key else f"/{request.class_name}"
    return (
        f"POST {path} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {request.message}\r\n"
        f"X-Service-Class: {request.class_name}\r\nX-Time-Left: {request.time_left_s * 1000:.0f}m\r\n"
        f"X-Consignee: dest={request.destination}\r\nIdempotency-Key: key-{request.message}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class ConnectionFlood:
    """Clients that open connections, send at most one request each, and keep the connections open."""

    def __init__(self, address: tuple[str, int], connection_count: int, rng: random.Random) -> None:
        self.address, self.connection_count, self._rng = address, connection_count, rng
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, seconds: float) -> None:
        """Open the connections one by one, spread evenly over ``seconds``."""
        for _ in range(self.connection_count):
            await asyncio.sleep(seconds / self.connection_count)
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), CONNECT_TIMEOUT_S)
            except (TimeoutError, OSError):
                continue
            self._writers.append(writer)
            choice = self._rng.random()
            if choice < 0.4:
                writer.write(b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n")
            elif choice < 0.6:
                writer.write(b"POST /note HTT")

    def close(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()
