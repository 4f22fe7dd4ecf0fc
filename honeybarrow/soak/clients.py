"""Stand-ins of the clients of one forwarder: usual ones, and a crowd that connects and stays."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque

from honeybarrow.soak.history import EventKind, History, RequestFacts
from honeybarrow.soak.http_messages import HttpMessage, HttpMessageReader
from honeybarrow.soak.link import LinkCondition, LinkConnection
from honeybarrow.soak.settings import CLASSES, SoakClass

ANSWER_TIMEOUT_S = 0.4  # a client waits so long for the answer to its request
MAX_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 0.4
ORDER_KEYS = 4
CLOSE_SHARE = 0.05  # of the answers, after which the client closes its connection
BAD_CLIENT_ANSWER_S = 3.0  # within which a request that stops in the middle has an error or a close
LEFT_SHARE = (0.25, 1.0)  # of the class's deadline


class _ClientConnection(LinkConnection):
    """A client's connection to the forwarder: one request at a time."""

    def __init__(self, pool: ClientPool, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.pool = pool
        self.reader = HttpMessageReader()
        self.answer: asyncio.Future[HttpMessage | None] | None = None

    def on_bytes(self, data: bytes, arrived_s: float) -> None:
        """Read the answer."""
        for message in self.reader.receive(data, arrived_s):
            answer, self.answer = self.answer, None
            if answer is not None and not answer.done():
                answer.set_result(message)

    def eof_received(self) -> bool:
        """Asyncio: the forwarder has ended its sending; the connection is of no further use."""
        return False

    def on_lost(self) -> None:
        """Tell the request that its connection is gone."""
        self.pool.forget(self)
        answer, self.answer = self.answer, None
        if answer is not None and not answer.done():
            answer.set_result(None)


class ClientPool:
    """The usual clients of one forwarder, at a rate of requests a second."""

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
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._count = 0
        self._is_running = True

    async def run(self, until_s: float) -> None:
        """Send requests until then."""
        while self._is_running and time.monotonic() < until_s:
            await asyncio.sleep(self._rng.expovariate(self.rate_per_s))
            task = asyncio.create_task(self._send_request())
            self._tasks[task] = None
            task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def forget(self, connection: _ClientConnection) -> None:
        """Forget a connection that is gone."""
        self._open.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    async def _send_request(self) -> None:
        message_class = self._rng.choices(CLASSES, [each.share for each in CLASSES])[0]
        order_key = f"k{self._rng.randrange(ORDER_KEYS)}" if message_class.is_ordered else ""
        if order_key in self._busy_keys:
            return  # a client of an ordered key sends its next message after the answer to the last
        self._busy_keys[order_key] = None
        try:
            await self._submit(message_class, order_key)
        finally:
            self._busy_keys.pop(order_key, None)

    async def _submit(self, message_class: SoakClass, order_key: str) -> None:
        self._count += 1
        message = f"{self.forwarder}-{self._count:05d}"
        left_s = message_class.deadline_s * self._rng.uniform(*LEFT_SHARE)
        destination = self._rng.choice(self.destinations)
        for _ in range(2):
            reused = self._take_idle()
            connection = reused or await self._connect()
            if connection is None:
                return
            facts = RequestFacts(
                message, self.forwarder, message_class.name, destination, time.monotonic(), left_s, order_key
            )
            is_over = await self._exchange(connection, facts, is_reused=reused is not None)
            if is_over or reused is None:
                return

    def _take_idle(self) -> _ClientConnection | None:
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

    async def _exchange(self, connection: _ClientConnection, facts: RequestFacts, is_reused: bool) -> bool:
        """Send a request and wait for its answer; whether it must not be sent once more."""
        connection.answer = answer = asyncio.get_running_loop().create_future()
        self.history.requests[facts.message] = facts
        where = "reused" if is_reused else "new"
        self.history.add(EventKind.REQUEST, self.forwarder, facts.message, detail=where)
        connection.send(encode_request(facts))
        try:
            response = await asyncio.wait_for(answer, ANSWER_TIMEOUT_S)
        except TimeoutError:
            self.history.add(EventKind.NO_ANSWER, self.forwarder, facts.message, detail="timeout")
            connection.answer = None
            connection.reset()
            return True
        if response is None:
            self.history.add(EventKind.NO_ANSWER, self.forwarder, facts.message, detail=f"closed {where}")
            return False
        self.history.add(
            EventKind.ANSWER, self.forwarder, facts.message, detail=str(response.status),
            at_s=response.last_byte_s,
        )  # fmt: skip
        if response.fields.get("connection") == "close" or self._rng.random() < CLOSE_SHARE:
            connection.close()
        elif not connection.is_lost:
            self._idle.append(connection)
        return True

    async def send_half_request(self) -> None:
        """Be a client that stops in the middle of a request and stays."""
        connection = await self._connect()
        if connection is None:
            return
        connection.answer = answer = asyncio.get_running_loop().create_future()
        connection.send(b"POST /note HTTP/1.1\r\nHost: o\r\nX-Corr")
        started_s = time.monotonic()
        try:
            response = await asyncio.wait_for(answer, BAD_CLIENT_ANSWER_S + 1.0)
        except TimeoutError:
            self.history.add(EventKind.BAD_CLIENT, self.forwarder, detail="left alone")
            connection.reset()
            return
        what = "closed" if response is None else str(response.status)
        self.history.add(
            EventKind.BAD_CLIENT, self.forwarder, detail=what, amount=time.monotonic() - started_s
        )

    def close(self) -> None:
        """End all requests and connections."""
        self._is_running = False
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._open):
            connection.reset()


def encode_request(facts: RequestFacts) -> bytes:
    """Return the bytes of a client's request."""
    body = facts.message.encode() * 3
    path = f"/{facts.class_name}/{facts.order_key}" if facts.order_key else f"/{facts.class_name}"
    return (
        f"POST {path} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {facts.message}\r\n"
        f"X-Service-Class: {facts.class_name}\r\nX-Time-Left: {facts.left_s * 1000:.0f}m\r\n"
        f"X-Consignee: dest={facts.destination}\r\nIdempotency-Key: key-{facts.message}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class IdleCrowd:
    """Clients that connect, ask once or not at all, and stay for as long as they are let."""

    def __init__(self, address: tuple[str, int], size: int, rng: random.Random) -> None:
        self.address, self.size, self._rng = address, size, rng
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, seconds: float) -> None:
        """Connect one after another over so many seconds."""
        for _ in range(self.size):
            await asyncio.sleep(seconds / self.size)
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
        """Leave."""
        for writer in self._writers:
            writer.transport.abort()
