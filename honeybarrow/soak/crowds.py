"""Crowds of clients that overload a forwarder; run as a process of its own.

``python -m honeybarrow.soak.crowds KIND HOST PORT DESTINATION`` plays one crowd, and prints what its clients
saw as a line of JSON. A process of its own keeps the crowd's work out of the measurements of other stand-ins.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import enum
import json
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass, field
from typing import Any

from honeybarrow.soak.settings import CLASSES

LARGE_BODY_BYTES = 64_000
SLOW_BYTES_PER_S = 40_000.0
SLOW_WRITE_INTERVAL_S = 0.1
ENDLESS_HEAD_FIELDS = 1_600
SHORT_FIELDS = 60  # fewer than the forwarder accepts, with a body that never comes
PIPELINED_REQUESTS = 300
FLOOD_BATCH_REQUESTS = 200  # written at once by a client at full speed
ACCOUNT_LENGTH, LONG_ACCOUNT_LENGTH = 100, 3_000
CONNECT_TIMEOUT_S = 1.0
ANSWER_LIMIT_S = 3.0  # from the connect, in which a bad client is owed an error or a close
READ_BYTES = 1 << 16


class CrowdKind(enum.StrEnum):
    """What each client of a crowd does; the values are the command's choices."""

    HALF_BODY = "half_body"  # sends half of a large request and stays
    SLOW_BODY = "slow_body"  # sends a large request slowly
    ENDLESS_HEAD = "endless_head"  # sends a head of many short fields without an end
    SHORT_FIELDS = "short_fields"  # sends a whole head of many short fields, and no body
    GIVE_UP = "give_up"  # closes in the middle of a large request and comes again at once
    PIPELINE = "pipeline"  # sends many whole requests at once
    READY_FLOOD = "ready_flood"  # asks for the readiness at full speed and reads the responses
    UNREAD_FLOOD = "unread_flood"  # the same, and never reads
    NAME_FLOOD = "name_flood"  # submits messages of ever new ids and accounts at full speed
    LONG_NAME_FLOOD = "long_name_flood"  # the same with very long accounts
    SAME_ID_FLOOD = "same_id_flood"  # submits one id at full speed
    UNSOUND_FLOOD = "unsound_flood"  # sends invalid requests, each on a new connection


FLOOD_KINDS = frozenset(
    (
        CrowdKind.READY_FLOOD, CrowdKind.UNREAD_FLOOD, CrowdKind.NAME_FLOOD, CrowdKind.LONG_NAME_FLOOD,
        CrowdKind.SAME_ID_FLOOD,
    )
)  # fmt: skip
# Of these, no client ever completes a request.
INCOMPLETE_KINDS = frozenset(
    (CrowdKind.HALF_BODY, CrowdKind.SLOW_BODY, CrowdKind.ENDLESS_HEAD, CrowdKind.SHORT_FIELDS)
)


@dataclass(slots=True)
class CrowdReport:
    """What the clients of a crowd saw."""

    connected: int = 0
    answered: int = 0  # connections that got a response
    closed: int = 0  # connections that were closed without one
    unanswered: int = 0  # connections with neither within ``ANSWER_LIMIT_S``
    responses: int = 0
    max_wait_s: float = 0.0  # from the connect to the first response or the close
    statuses: dict[str, int] = field(default_factory=dict)


class Crowd:
    """Clients of one kind, for a limited time."""

    def __init__(
        self, kind: CrowdKind, address: tuple[str, int], destination: int, clients: int, seed: int
    ) -> None:
        self.kind, self.address, self.destination, self.clients = kind, address, destination, clients
        self.report = CrowdReport()
        self._rng = random.Random(seed)
        self._request_count = 0
        self._until_s = 0.0

    async def run(self, seconds: float) -> CrowdReport:
        """Run the clients side by side for ``seconds`` and return what they saw."""
        self._until_s = time.monotonic() + seconds
        play = self._play_flood if self.kind in FLOOD_KINDS else self._play_clients
        await asyncio.gather(*(play() for _ in range(self.clients)))
        return self.report

    async def _play_clients(self) -> None:
        """Play one client after another until the time is over; most kinds stay as long as they may."""
        while time.monotonic() < self._until_s:
            with contextlib.suppress(OSError, TimeoutError):
                await self._play_client()
            await asyncio.sleep(0.01 * self._rng.random())

    async def _play_client(self) -> None:
        reader, writer = await self._connect()
        try:
            connected_s = time.monotonic()
            watch = asyncio.create_task(self._await_answer(reader, connected_s))
            with contextlib.suppress(OSError):
                await self._write(writer)
            if self.kind is CrowdKind.GIVE_UP:
                watch.cancel()
                return
            await watch
        finally:
            writer.transport.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connecting = asyncio.open_connection(*self.address)
        streams = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        self.report.connected += 1
        return streams

    async def _await_answer(self, reader: asyncio.StreamReader, connected_s: float) -> None:
        """Wait for the first response or the close."""
        try:
            data = await asyncio.wait_for(reader.read(READ_BYTES), ANSWER_LIMIT_S)
        except TimeoutError:
            self.report.unanswered += 1
            return
        except OSError:
            data = b""
        self.report.max_wait_s = max(self.report.max_wait_s, time.monotonic() - connected_s)
        if data:
            self.report.answered += 1
            self._count_responses(data)
        else:
            self.report.closed += 1

    def _count_responses(self, data: bytes) -> None:
        for part in data.split(b"HTTP/1.1 ")[1:]:
            status = part[:3].decode("latin-1")
            self.report.responses += 1
            self.report.statuses[status] = self.report.statuses.get(status, 0) + 1

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        match self.kind:
            case CrowdKind.HALF_BODY | CrowdKind.GIVE_UP:
                request = self._request(LARGE_BODY_BYTES)
                writer.write(request[: len(request) // 2])
            case CrowdKind.SLOW_BODY:
                await self._write_slowly(writer, self._request(LARGE_BODY_BYTES))
            case CrowdKind.ENDLESS_HEAD:
                writer.write(b"POST /note HTTP/1.1\r\n")
                writer.write(b"".join(b"f%d: \r\n" % (n % 100) for n in range(ENDLESS_HEAD_FIELDS))[:8_000])
            case CrowdKind.SHORT_FIELDS:
                fields = "".join(f"X-{number}: {number}\r\n" for number in range(SHORT_FIELDS))
                writer.write(f"POST /note HTTP/1.1\r\nContent-Length: 9\r\n{fields}\r\n".encode())
            case CrowdKind.PIPELINE:
                writer.write(b"".join(self._request(40) for _ in range(PIPELINED_REQUESTS)))
            case _:
                writer.write(b"POST /nothing HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(writer.drain(), ANSWER_LIMIT_S)

    async def _write_slowly(self, writer: asyncio.StreamWriter, request: bytes) -> None:
        size = int(SLOW_BYTES_PER_S * SLOW_WRITE_INTERVAL_S)
        for start in range(0, len(request), size):
            if writer.transport.is_closing():
                return
            writer.write(request[start : start + size])
            await asyncio.sleep(SLOW_WRITE_INTERVAL_S)

    # floods: one client at full speed

    async def _play_flood(self) -> None:
        while time.monotonic() < self._until_s:
            with contextlib.suppress(OSError, TimeoutError):
                await self._flood_connection()
            await asyncio.sleep(0.01)

    async def _flood_connection(self) -> None:
        reader, writer = await self._connect()
        reading = asyncio.create_task(self._read_all(reader))
        try:
            while time.monotonic() < self._until_s and not writer.transport.is_closing():
                writer.write(b"".join(self._flood_request() for _ in range(FLOOD_BATCH_REQUESTS)))
                left_s = max(0.01, self._until_s - time.monotonic())
                await asyncio.wait_for(writer.drain(), left_s)
        finally:
            reading.cancel()
            writer.transport.abort()

    async def _read_all(self, reader: asyncio.StreamReader) -> None:
        if self.kind is CrowdKind.UNREAD_FLOOD:
            return
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self._count_responses(data)

    def _flood_request(self) -> bytes:
        match self.kind:
            case CrowdKind.NAME_FLOOD:
                return self._request(2, account="a" * ACCOUNT_LENGTH)
            case CrowdKind.LONG_NAME_FLOOD:
                return self._request(2, account="a" * LONG_ACCOUNT_LENGTH)
            case CrowdKind.SAME_ID_FLOOD:
                return self._request(2, message="same")
        return b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n"

    def _request(self, body_bytes: int, message: str = "", account: str = "") -> bytes:
        self._request_count += 1
        message = message or f"crowd-{self._rng.randrange(1 << 40):x}-{self._request_count}"
        account_field = f"X-Account: {account}{self._request_count}\r\n" if account else ""
        name = CLASSES[0].name
        return (
            f"POST /{name} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {message}\r\nX-Service-Class: {name}\r\n"
            f"X-Time-Left: 2000m\r\nX-Consignee: dest={self.destination}\r\n"
            f"Idempotency-Key: key-{message}\r\n{account_field}Content-Length: {body_bytes}\r\n\r\n"
        ).encode() + b"x" * body_bytes


class CrowdProcess:
    """A crowd in a process of its own, which ends by itself after its time."""

    def __init__(
        self,
        kind: CrowdKind,
        address: tuple[str, int],
        destination: int,
        clients: int,
        seconds: float,
        seed: int,
    ) -> None:
        host, port = address
        self._arguments = [kind.value, host, str(port), str(destination)]
        self._arguments += [f"--clients={clients}", f"--seconds={seconds:.2f}", f"--seed={seed}"]
        self._process: asyncio.subprocess.Process | None = None

    async def run(self, executable: str) -> CrowdReport:
        """Play the crowd with the given Python and return what its clients saw."""
        self._process = await asyncio.create_subprocess_exec(
            executable, "-m", "honeybarrow.soak.crowds", *self._arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await self._process.communicate()
        return CrowdReport(**json.loads(output))

    def close(self) -> None:
        """End the crowd."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()


def main(run: Callable[[Coroutine[Any, Any, CrowdReport]], CrowdReport] = asyncio.run) -> None:
    """Play the crowd that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", type=CrowdKind)
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("destination", type=int, help="number of a listed destination")
    parser.add_argument("--clients", type=int, default=500)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    address = (arguments.host, arguments.port)
    crowd = Crowd(arguments.kind, address, arguments.destination, arguments.clients, arguments.seed)
    print(json.dumps(asdict(run(crowd.run(arguments.seconds)))))


if __name__ == "__main__":
    main()
