"""Loopback stand-ins for the peers of a forwarder process: discovery, an endpoint and a client.

They record the requests and responses on their sockets, which the tests check.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

TARGET_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return start line, fields and body, or ``None`` if the connection ends."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        parts = (line.partition(":") for line in head[1:])
        fields = {name.lower(): value.strip() for name, _, value in parts}
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], fields, body


def address_of(server: asyncio.Server) -> str:
    """Return the ``host:port`` address of a server."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class PlatformHarness:
    """All peers of one forwarder, and the forwarder's process."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.folder, self.settings = folder, settings
        self.state = folder / "state"
        self.state.mkdir()
        self.calls: list[tuple[str, bytes]] = []  # message id and body of each received call
        self.keys: dict[str, str] = {}
        self.delivered: list[str] = []  # ids of messages answered with 200
        self.notifications: list[dict[str, Any]] = []
        self.watches: list[tuple[str, str]] = []  # name of the discovery and request line
        self.choose_answer: Callable[[str], bytes | None] = lambda message: TARGET_ANSWER
        self.process: asyncio.subprocess.Process | None = None
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.addresses: dict[str, str] = {}
        self.listen = "127.0.0.1:0"
        self.discovery_name = "first"
        self.list_line = b"\n"  # next line of a watch; later ones are heartbeats
        self.is_discovery_silent = False  # discovery accepts connections and never answers
        self.environment: dict[str, str] = {}  # additional variables of the forwarder process
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}

    async def serve(self, name: str, handler: Callable[..., Any]) -> None:
        """Start the listener of one peer."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.append(task)
            try:
                await handler(name, reader, writer)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.servers.append(server)
        self.addresses[name] = address_of(server)

    async def start_peers(self) -> None:
        """Start all peers on free ports."""
        await self.serve("first", self.discovery)
        await self.serve("second", self.discovery)
        await self.serve("target", self.target)
        probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        self.listen = address_of(probe)
        probe.close()
        await probe.wait_closed()

    def endpoint_list(self, index: int, snapshot: bool) -> dict[str, Any]:
        """Return an endpoint list with one endpoint of destination 7."""
        entry = {"name": "s1", "address": self.addresses["target"], "zone": "a", "type": "shop", "group": 7}
        return {
            "index": index,
            "snapshot": snapshot,
            "endpoints": [{**entry, "status": "active", "weight": 1.0, "since_ms": 0}],
        }

    async def discovery(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            start, _, body = message
            if start.startswith("POST /reports"):
                self.notifications += [json.loads(line) for line in body.splitlines()]
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            self.watches.append((name, start))
            if self.is_discovery_silent:
                continue
            line = json.dumps(self.endpoint_list(41, True)).encode() + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
                await writer.drain()
                line, self.list_line = self.list_line, b"\n"
                await asyncio.sleep(1)

    async def target(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            _, fields, body = message
            message_id = fields["x-correlation-id"]
            self.calls.append((message_id, body))
            self.keys[message_id] = fields.get("idempotency-key", "")
            data = self.choose_answer(message_id)
            if data is None:
                continue  # no answer
            if data.startswith(b"HTTP/1.1 200"):
                self.delivered.append(message_id)
            writer.write(data)
            await writer.drain()

    @contextlib.asynccontextmanager
    async def unreachable_target(self) -> AsyncIterator[None]:
        """Keep the connection queue of the target full, so that connects to it are not answered."""
        host, _, port = self.addresses["target"].rpartition(":")
        for server in self.servers:
            if address_of(server) == self.addresses["target"]:
                server.close()
                await server.wait_closed()
                self.servers.remove(server)
                break
        listener = socket.create_server((host, int(port)), backlog=0)
        fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            fillers.append(filler)
        try:
            yield
        finally:
            for each in (listener, *fillers):
                each.close()

    # Forwarder process

    def configure(self) -> None:
        """Write the configuration file."""
        config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.addresses[self.discovery_name],
            "seed": "1f",
            "limits": self.limits,
            "known": self.endpoint_list(40, True),
            "settings": self.settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def start_forwarder(self) -> None:
        """Start the forwarder and wait until it is ready."""
        self.configure()
        environ = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_STATE": str(self.state),
            **self.environment,
        }
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "honeybarrow.node", env=environ, stdout=log, stderr=log
            )
        await self.wait_until(self.is_ready)

    async def is_ready(self) -> bool:
        """Return whether the forwarder answers that it is ready."""
        assert self.process is not None and self.process.returncode is None, self.read_log()
        try:
            return (await self.send_request("GET /up HTTP/1.1\r\n\r\n")) == 200
        except OSError:
            return False

    async def wait_until(self, check: Callable[[], Any], seconds: float = 30) -> None:
        """Wait until ``check`` returns a true value; fail after ``seconds``."""
        for _ in range(int(seconds * 50)):
            found = check()
            if await found if asyncio.iscoroutine(found) else found:
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"condition was not met in time\n{self.read_log()}")

    def read_log(self) -> str:
        """Return the forwarder's log."""
        return (self.folder / "log").read_text()

    async def send_request(self, head: str, body: bytes = b"") -> int:
        """Send a request on a new connection; return the status of the answer, or 0 without one."""
        host, _, port = self.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + body)
        answer = await read_message(reader)
        writer.close()
        return int(answer[0].split()[1]) if answer else 0

    async def submit(self, message: str, cls: str = "note", left: str = "8000m") -> int:
        """Submit one message; return the status of the answer."""
        return await self.send_request(
            f"POST /{cls} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {message}\r\nX-Service-Class: {cls}\r\n"
            f"X-Time-Left: {left}\r\nX-Consignee: dest=7\r\nIdempotency-Key: k-{message}\r\n"
            f"Content-Length: 5\r\n\r\n",
            b"a\x00\r\nb",
        )

    async def end_forwarder(self, number: signal.Signals) -> int:
        """Send a signal to the forwarder and wait until it exits; return its exit status."""
        assert self.process is not None
        self.process.send_signal(number)
        return await asyncio.wait_for(self.process.wait(), 20)

    async def close(self) -> None:
        """Stop the forwarder and all peers; fail if the forwarder has logged a guard violation."""
        if self.process is not None and self.process.returncode is None:
            await self.end_forwarder(signal.SIGKILL)
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        if (self.folder / "log").exists():
            assert "guard_violation {" not in self.read_log(), self.read_log()  # the event, not its counter


class ReplacedEndpointHarness(PlatformHarness):
    """Peers with an endpoint that can be replaced.

    The endpoint ``s1`` of destination 7 leaves; an endpoint of destination 8 starts at its address.
    """

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        super().__init__(folder, settings)
        self.is_replaced = False
        self.called_at: list[tuple[str, str, float]] = []  # listener, message, monotonic time

    def endpoint_list(self, index: int, snapshot: bool) -> dict[str, Any]:
        """Return the list as discovery has it; versions below 41 are in the configuration alone."""
        entries = [("s1", "target", 7)]
        if self.is_replaced and index > 40:
            entries = [("s3", "replacement", 7), ("s4", "target", 8)]
        common = {"zone": "a", "type": "shop", "status": "active"}
        endpoints = [
            {**common, "name": name, "address": self.addresses[listener], "group": group}
            for name, listener, group in entries
        ]
        return {"index": index, "snapshot": snapshot, "endpoints": endpoints}

    async def start_peers(self) -> None:
        """Start all peers, also the listener of the replacing endpoint."""
        await self.serve("replacement", self.target)
        await super().start_peers()

    async def target(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            message_id = message[1]["x-correlation-id"]
            self.called_at.append((name, message_id, time.monotonic()))
            writer.write(self.choose_answer(message_id) or b"")
