"""Small stand-ins for the peers of one forwarder: platform (discovery and notices), targets, clients.

They follow the protocol page and use the standard library only. Every socket is on 127.0.0.1. Everything that
crosses the sockets is written to the record of the case, with the time since its start in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played as written."""


class Record:
    """The record of a case: one line for each event."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self._file.write(f"{now:8.3f}  {text}\n")
        self._file.flush()
        return now

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return ``None`` if the connection ends."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], fields, body


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


class Stage:
    """One forwarder, its peers, its folder and the record."""

    def __init__(self, record: Path) -> None:
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "state").mkdir()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.forwarder_port = free_port()
        self.platform_port = 0
        self.notices: dict[str, tuple[float, str]] = {}  # first notice by message: time, outcome
        self.endpoints: list[dict[str, Any]] = []  # the list of discovery now
        self.index = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watchers: list[tuple[asyncio.StreamWriter, list[int]]] = []
        self.started_s = 0.0  # of the last forwarder
        self.written_s = 0.0  # of the last request: when its last byte was written
        self.watch_delay_s = 0.0  # until a call of discovery has its turn
        self.log = (self.folder / "forwarder.log").open("ab")

    # servers

    async def serve(
        self, handler: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int = 0
    ) -> tuple[asyncio.Server, int]:
        """Listen on a port of the loopback address."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            try:
                await handler(reader, writer)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                writer.close()

        server = await asyncio.start_server(handle, HOST, port)
        self.servers.append(server)
        return server, int(server.sockets[0].getsockname()[1])

    async def start_platform(self) -> None:
        """Start discovery and the receiver of notices."""
        _, self.platform_port = await self.serve(self._platform)
        task = asyncio.create_task(self._heartbeat())
        self.tasks.add(task)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer, _ in list(self.watchers):
                with contextlib.suppress(ConnectionError):
                    writer.write(b"1\r\n\n\r\n")

    async def _platform(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            start, _, body = message
            if start.startswith("POST /reports"):
                for line in body.splitlines():
                    notice = json.loads(line)
                    at = self.record.write(f"platform: notice {line.decode()}")
                    self.notices.setdefault(notice["message"], (at, notice["outcome"]))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            self.record.write(f"platform: {start}")
            await asyncio.sleep(self.watch_delay_s)
            since = start.partition("index=")[2].split(" ")[0].split("&")[0]
            if "stream=1" not in start:
                data = json.dumps(self.whole_list()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            watcher = (writer, [int(since) if since.isdigit() else -1])
            self.watchers.append(watcher)
            self._send_changes(watcher)
            try:
                await reader.read()
            finally:
                self.watchers.remove(watcher)
            return

    def whole_list(self) -> dict[str, Any]:
        """Return the list of discovery as it is now."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints)}

    def _send_changes(self, watcher: tuple[asyncio.StreamWriter, list[int]]) -> None:
        writer, since = watcher
        item = self.whole_list()
        if since[0] >= 0:
            latest = {entry["name"]: entry for index, entry in self.changes if index > since[0]}
            item = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
        since[0] = self.index
        line = json.dumps(item).encode() + b"\n"
        self.record.write(f"platform: list to the watch: {line.decode().strip()}")
        writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")

    def change_list(self, *entries: dict[str, Any]) -> None:
        """Change entries of the list, each as a version of its own, and tell the watches."""
        for entry in entries:
            self.index += 1
            self.changes.append((self.index, entry))
            self.endpoints = [each for each in self.endpoints if each["name"] != entry["name"]]
            if entry["status"] != "left":
                self.endpoints.append(entry)
            self.record.write(f"discovery: now lists {json.dumps(entry)}")
        for watcher in list(self.watchers):
            self._send_changes(watcher)

    # the forwarder

    def write_config(self, settings: dict[str, Any], known: dict[str, Any], sockets: int = 256) -> None:
        """Write the configuration file."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.forwarder_port}",
            "discovery": f"{HOST}:{self.platform_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets, "disk_mb": 3},
            "known": known,
            "settings": settings,
        }
        partial = self.folder / "config.json.new"
        partial.write_text(json.dumps(config))
        partial.rename(self.folder / "config.json")

    async def start_forwarder(self, seconds: float = 30.0) -> subprocess.Popen[bytes]:
        """Start the ``run`` of the deploy file and wait until it is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"{HOST}:{self.forwarder_port}",
            "ROUTER_DISCOVERY": f"{HOST}:{self.platform_port}",
            "ROUTER_STATE": str(self.folder / "state"),
            "ROUTER_CONFIG": str(self.folder / "config.json"),
        }
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.processes.append(process)
        self.started_s = self.record.write("forwarder: started")
        until_s = self.record.now() + seconds
        while self.record.now() < until_s:
            await asyncio.sleep(0.02)
            if process.poll() is not None:
                raise CannotRunError(f"the forwarder ended with {process.returncode}")
            if await self.is_up(0.5):
                self.record.write("forwarder: ready")
                return process
        raise CannotRunError(f"the forwarder was not ready in {seconds:.0f} s")

    async def is_up(self, seconds: float) -> bool:
        """Return whether ``GET /up`` is answered with 200 in time."""
        return b" 200 " in await self.exchange(b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n", seconds)

    async def exchange(self, request: bytes, seconds: float) -> bytes:
        """Send a request on a new connection; return the first line of its answer, empty without one."""
        writer = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(HOST, self.forwarder_port)
                writer.write(request)
                await writer.drain()
                self.written_s = self.record.now()
                return await reader.readline()
        except (OSError, TimeoutError):
            return b""
        finally:
            if writer is not None:
                writer.transport.abort()

    async def submit(
        self,
        message: str,
        message_class: str,
        left_ms: int,
        destination: int,
        body: bytes = b"amount=1",
        fields: str = "",
    ) -> tuple[float, int]:
        """Hand in a message; return the time of its last byte and the status, 0 without an answer."""
        head = (
            f"POST /{message_class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {message}\r\n"
            f"X-Service-Class: {message_class}\r\nX-Account: acme\r\nX-Time-Left: {left_ms}m\r\n"
            f"Idempotency-Key: key-{message}\r\nContent-Length: {len(body)}\r\n"
            f"X-Consignee: dest={destination}\r\n{fields}\r\n"
        )
        self.record.write(f"client: hands in {message} class={message_class} left={left_ms}m")
        line = await self.exchange(head.encode() + body, 0.4)
        status = int(line.split()[1]) if line else 0
        self.record.write(f"client: answer to {message}: {status or 'none in 400 ms'}")
        return self.written_s, status

    def kill(self, process: subprocess.Popen[bytes], number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a forwarder."""
        self.record.write(f"forwarder: {number.name}")
        process.send_signal(number)

    async def close(self) -> None:
        """End all processes and sockets, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)
        self.log.close()
        self.record.write("end of the record; the forwarder's log follows for reference")
        text = (self.folder / "forwarder.log").read_text(errors="replace")
        for line in text.splitlines()[-60:]:
            self.record.write(f"log: {line[:300]}")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def entry(name: str, port: int, group: int, status: str = "active") -> dict[str, Any]:
    """Return an entry of the list."""
    return {
        "name": name, "address": f"{HOST}:{port}", "zone": "a", "type": "shop", "group": group,
        "status": status, "weight": 50.0, "since_ms": 0,
    }  # fmt: skip


def settings(services: list[dict[str, Any]], membership: str = "on_request") -> dict[str, Any]:
    """Return the settings of a small deployment of three forwarders."""
    return {
        "balancers": 3,
        "services": services,
        "kinds": ["shop"],
        "tenants": [{"name": "acme", "quotaPerS": 60.0, "share": 1.0}],
        "familyInfo": {"callSlots": 16, "bundleMax": [1], "separateRoutes": [False], "fades": "line"},
        "limits": {
            "maxOpen": 200, "retryAfter": True, "maxRetryAfterUs": 3_000_000, "sendCap": 12,
            "connIdleUs": 10_000_000, "connectTimeoutUs": 1_500_000, "secondCopies": False,
        },
        "membershipMode": membership,
        "weightSource": "rough",
        "report": {"fields": [], "via": "off"},
        "overShareWorth": 0.2,
        "guarantees": {
            "drainGraceUs": 250_000, "fallMultiple": 2.0, "fallUs": 3_000_000, "startCapacity": 0.2,
            "coldUs": 9_000_000, "askWithinUs": 10_000_000, "graceToAnswerUs": 20_000,
        },
    }  # fmt: skip


def service(name: str, effect: str, aim_ms: int, deadline_ms: int, window_ms: int = 5000) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "name": name, "idempotency": effect, "aimUs": aim_ms * 1000, "hardLimitUs": deadline_ms * 1000,
        "windowUs": window_ms * 1000, "group": "all", "lateShare": 0.4, "value": 1.0, "stream": False,
    }  # fmt: skip


def play(record: Path, scenario: Callable[[Stage], Awaitable[list[str]]]) -> None:
    """Play a case, write its record and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run."""

    async def run() -> int:
        stage = Stage(record)
        this = asyncio.current_task()
        assert this is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            stage.record.write(f"TROUBLE={int(TROUBLE)}")
            breaks = await asyncio.wait_for(scenario(stage), 110)
            for each in breaks:
                stage.record.write(f"RULE BROKEN: {each}")
            if not breaks:
                stage.record.write("the rule held")
            status = BROKEN if breaks else HELD
            print("\n".join(breaks) or "the rule held")
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            stage.record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            status = NOT_RUN
        finally:
            await stage.close()
        return status

    sys.exit(asyncio.run(run()))
