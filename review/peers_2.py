"""Peers of one forwarder for the cases 6 to 10: discovery with reports, targets and clients, on loopback.

Each peer does what the protocol page says and records what passes its sockets. A case is a coroutine that
gets a :class:`Bench`; :func:`run_case` starts it, writes ``record.txt`` and ends every process it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_CASE_S = 105.0
CLIENT_WAIT_S = 0.4  # after which a client closes the connection
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the forwarder."""


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def message_class(name: str, idempotency: str, aim_ms: int, deadline_ms: int, **more: Any) -> dict[str, Any]:
    """Return a class of messages as the settings hold it."""
    return {
        "name": name, "idempotency": idempotency, "aimUs": aim_ms * 1000, "hardLimitUs": deadline_ms * 1000,
        "group": "all", "lateShare": 0.4, "stream": False, "value": 1.0, "windowUs": 5_000_000, **more,
    }  # fmt: skip


def make_settings(classes: list[dict[str, Any]], drain_grace_ms: int = 250, **more: Any) -> dict[str, Any]:
    """Return the settings of a small deployment in which lists are asked for."""
    limits = {
        "cancel": True, "connIdleUs": 10_000_000, "connectTimeoutUs": 1_500_000, "maxOpen": 400,
        "sendCap": 12, "maxRetryAfterUs": 3_000_000, "retryAfter": True, "secondCopies": False,
        "streamsPerConn": 1,
    }  # fmt: skip
    guarantees = {
        "askWithinUs": 10_000_000, "drainGraceUs": drain_grace_ms * 1000, "fallMultiple": 2.0,
        "fallUs": 3_000_000,
        "graceToAnswerUs": 20_000, "startCapacity": 0.2, "coldUs": 9_000_000, "settleAfterDoubtUs": 300_000,
    }  # fmt: skip
    return {
        "balancers": 2, "family": "deliver", "kinds": ["shop"], "zones": ["a"], "zone": "a",
        "weightSource": "off",
        "familyInfo": {"callSlots": 32, "fades": "line", "bundleMax": [1], "separateRoutes": [False]},
        "limits": limits, "guarantees": guarantees, "membershipMode": "on_request", "services": classes,
        "report": {"fields": [], "via": "off"}, "tenants": [], "overShareWorth": 0.2, **more,
    }  # fmt: skip


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self) -> None:
        self.start_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.start_s

    def add(self, *parts: object) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():9.4f} " + " ".join(map(str, parts)))


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return first line, fields and body, or ``None`` if the connection ends."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        parts = (line.partition(":") for line in head[1:] if line)
        fields = {name.lower(): value.strip() for name, _, value in parts}
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return head[0], fields, body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Bench:
    """The peers of one forwarder, and its process."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.record = folder, Record()
        self.state = folder / "state"
        self.state.mkdir()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.servers: list[asyncio.Server] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.process: asyncio.subprocess.Process | None = None
        self.listen = ""
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3}

    async def serve(self, handler: Handler, port: int = 0) -> tuple[asyncio.Server, str]:
        """Start a listener, on a free port if none is given; return it with its address."""

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

        server = await asyncio.start_server(handle, "127.0.0.1", port, limit=1 << 18)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return server, f"{host}:{port}"

    async def reserve_listen_address(self) -> None:
        """Choose a free port for the forwarder."""
        server, self.listen = await self.serve(lambda reader, writer: asyncio.sleep(0))
        server.close()
        await server.wait_closed()
        self.servers.remove(server)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def write_config(self, discovery: str, known: dict[str, Any], settings: dict[str, Any]) -> None:
        """Replace the forwarder's configuration file at once."""
        values = {
            "name": "n0", "listen": self.listen, "discovery": discovery, "seed": os.urandom(8).hex(),
            "limits": self.limits, "known": known, "settings": settings,
        }  # fmt: skip
        new = self.folder / "config.new"
        new.write_text(json.dumps(values))
        new.replace(self.folder / "config.json")

    async def start_forwarder(self, discovery: str, within_s: float = 15.0) -> None:
        """Start a forwarder with the command ``run`` of the deploy file and wait until it is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        shutil.rmtree(scratch, ignore_errors=True)
        scratch.mkdir()
        environ = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": str(scratch), "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": self.listen, "ROUTER_DISCOVERY": discovery, "ROUTER_STATE": str(self.state),
            "ROUTER_CONFIG": str(self.folder / "config.json"), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.processes.append(self.process)
        end_s = self.record.now_s() + within_s
        while self.record.now_s() < end_s:
            if self.process.returncode is not None:
                raise CannotRunError(f"the forwarder ended with {self.process.returncode}")
            with contextlib.suppress(OSError):
                if await self.ask_ready() == 200:
                    self.record.add("forwarder ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the forwarder was not ready in time")

    async def ask_ready(self) -> int:
        """Return the status of ``GET /up``; 0 without an answer."""
        reader, writer = await self.connect()
        writer.write(b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n")
        answer = await read_message(reader)
        writer.close()
        return int(answer[0].split()[1]) if answer else 0

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the forwarder."""
        host, _, port = self.listen.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the forwarder."""
        assert self.process is not None
        self.record.add("signal", number.name)
        self.process.send_signal(number)

    def read_log(self) -> str:
        """Return the forwarder's log."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def close(self) -> None:
        """End all processes that were started, then the peers."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in list(self.tasks):
            task.cancel()
        for server in self.servers:
            server.close()


class Discovery:
    """The list of targets, told at several addresses, and the reports."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.index = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # index of the last change of each entry
        self.news = asyncio.Event()
        self.reports: dict[str, float] = {}  # message: time at which its first notice arrived
        self.outcomes: dict[str, dict[str, Any]] = {}

    def add(self, name: str, address: str, group: int) -> None:
        """List a target that has been there for long."""
        self.entries[name] = {
            "name": name, "address": address, "zone": "a", "type": "shop", "group": group, "status": "active",
            "weight": 1.0, "since_ms": 0,
        }  # fmt: skip
        self.changed_at[name] = self.index

    def change(self, names: list[str], status: str) -> None:
        """Change the status of targets; open watches are told at once."""
        self.index += 1
        for name in names:
            self.entries[name]["status"] = status
            self.changed_at[name] = self.index
        self.bench.record.add("list", self.index, status, *names)
        news, self.news = self.news, asyncio.Event()
        news.set()

    def item(self, since: int | None) -> dict[str, Any]:
        """Return what changed after an index, or the whole list."""
        if since is None:
            entries = [each for each in self.entries.values() if each["status"] != "left"]
        else:
            entries = [each for name, each in self.entries.items() if self.changed_at[name] > since]
        return {"index": self.index, "snapshot": since is None, "endpoints": entries}

    def handler(self, name: str, before_answer: Callable[[], Awaitable[int]]) -> Handler:
        """Return the handler of one address; ``before_answer`` returns the status of a call for the list."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                if line.startswith("POST /reports"):
                    self.take_reports(body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                self.bench.record.add("discovery", name, line)
                status = await before_answer()
                self.bench.record.add("discovery", name, "answers", status)
                if status != 200:
                    writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                path = line.split()[1]
                since = int(path.partition("index=")[2]) if "index=" in path else None
                await self.watch(reader, writer, since)

        return handle

    def take_reports(self, body: bytes) -> None:
        """Record notices, of which the first for a message counts."""
        for line in body.splitlines():
            notice = json.loads(line)
            message = notice["message"]
            if message not in self.reports:
                self.reports[message] = self.bench.record.now_s()
                self.outcomes[message] = notice
                self.bench.record.add("notice", line.decode())

    async def watch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, since: int | None
    ) -> None:
        """Answer a watch until its connection ends: each change at once, an empty line every 2 s."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not (reader.at_eof() or writer.transport.is_closing()):
            news = self.news
            if since is None or since < self.index:
                item = self.item(since)
                since = item["index"]
                self.bench.record.add("discovery told", item["index"], len(item["endpoints"]), "entries")
                self._write_chunk(writer, json.dumps(item).encode() + b"\n")
            await writer.drain()
            try:
                await asyncio.wait_for(news.wait(), 2.0)
            except TimeoutError:
                self._write_chunk(writer, b"\n")

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


async def watch_as_another(bench: Bench, address: str) -> None:
    """Watch the list as another forwarder does, and record what it is told."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(b"GET /discovery/hosts?stream=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        while line := await reader.readline():
            if line.startswith(b"{"):
                item = json.loads(line)
                bench.record.add(
                    "another forwarder is told", item["index"], len(item["endpoints"]), "entries"
                )
    finally:
        writer.close()


async def answer_at_once() -> int:
    """Let a call for the list be answered at once."""
    return 200


class Target:
    """A target that answers each call as ``answer`` says; ``None`` is no answer."""

    def __init__(self, bench: Bench, name: str) -> None:
        self.bench, self.name, self.address = bench, name, ""
        self.calls: list[tuple[float, str]] = []  # time of the whole request, and the message
        self.delivered: dict[str, float] = {}
        self.work_s = 0.02
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "") -> None:
        """Start to listen, at the address of one that has ended if it is given."""
        self.server, self.address = await self.bench.serve(self.handle, int(address.rpartition(":")[2] or 0))

    async def end(self) -> None:
        """End as a process does: its connections reset, and new ones are refused."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one call at a time."""
        self.writers.add(writer)
        try:
            await self.serve_calls(reader, writer)
        finally:
            self.writers.discard(writer)

    async def serve_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read and answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            name = message[1].get("x-correlation-id", "")
            self.calls.append((self.bench.record.now_s(), name))
            self.bench.record.add("target", self.name, "call", name)
            await self.answer(name, message, writer)

    async def answer(
        self, name: str, message: tuple[str, dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call."""
        await asyncio.sleep(self.work_s)
        writer.write(OK)
        self.delivered.setdefault(name, self.bench.record.now_s())


class Client:
    """A client that keeps connections and opens more when all are busy; one request at a time on each."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: dict[str, int] = {}  # status by message; 0 without one
        self.sent_s: dict[str, float] = {}
        self.left_s: dict[str, float] = {}
        self.number = 0

    def new_id(self) -> str:
        """Return a new message id."""
        self.number += 1
        return f"{os.urandom(4).hex()}{self.number:08x}"

    async def submit(
        self,
        class_name: str,
        destination: int,
        left_ms: int,
        key: str = "",
        path: str = "",
        message: str = "",
    ) -> tuple[str, int]:
        """Hand in one message; return its id and the status of the answer."""
        message = message or self.new_id()
        request = self.encode(message, class_name, destination, left_ms, key, path)
        try:
            status = await asyncio.wait_for(self.exchange(message, left_ms, request), CLIENT_WAIT_S)
        except (TimeoutError, OSError):
            status = 0
        self.answers[message] = status
        self.bench.record.add("client", message, class_name, f"dest={destination}", "answer", status)
        return message, status

    @staticmethod
    def encode(message: str, class_name: str, destination: int, left_ms: int, key: str, path: str) -> bytes:
        """Return the bytes of a request."""
        body = b"body of " + message.encode()
        head = (
            f"POST /{class_name}{path} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {message}\r\n"
            f"X-Service-Class: {class_name}\r\nX-Time-Left: {left_ms}m\r\n"
            f"Idempotency-Key: {key or 'k-' + message}\r\nContent-Length: {len(body)}\r\n"
            f"X-Consignee: dest={destination}\r\n\r\n"
        )
        return head.encode() + body

    async def exchange(self, message: str, left_ms: int, request: bytes) -> int:
        """Send a request on a kept connection or a new one; once more if a kept one was closed unread."""
        while True:
            is_kept = bool(self.idle)
            reader, writer = self.idle.pop() if is_kept else await self.bench.connect()
            try:
                self.sent_s[message] = self.bench.record.now_s()
                self.left_s[message] = left_ms / 1000
                writer.write(request)
                answer = await read_message(reader)
            except BaseException:
                writer.close()
                raise
            if answer is None:
                writer.close()
                if is_kept:
                    continue
                return 0
            if answer[1].get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return int(answer[0].split()[1])

    def time_up_s(self, message: str) -> float:
        """Return when the time of a message is up."""
        return self.sent_s[message] + self.left_s[message]


Case = Callable[[Bench], Awaitable[list[str]]]


def run_case(case: Case, record_path: Path) -> int:
    """Run a case, which returns what broke the rule; write the record; return the exit status."""
    work = Path(tempfile.mkdtemp(prefix="review-"))
    bench: Bench | None = None
    broken: list[str] = []
    status = NOT_RUN

    async def run() -> None:
        nonlocal bench, status, broken
        bench = Bench(work)
        loop = asyncio.get_running_loop()
        main = asyncio.current_task()
        assert main is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, main.cancel)
        try:
            await bench.reserve_listen_address()
            async with asyncio.timeout(MAX_CASE_S):
                broken = await case(bench)
            status = BROKEN if broken else HELD
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            bench.record.add("the case could not run:", repr(error))
            status = NOT_RUN
        finally:
            await bench.close()

    try:
        asyncio.run(run())
    finally:
        if bench is not None:
            verdict = {
                HELD: "the rule held",
                BROKEN: "the rule was broken",
                NOT_RUN: "the case could not run",
            }
            lines = [verdict[status], *broken, "", *bench.record.lines, "", "log of the forwarder:"]
            record_path.write_text("\n".join(lines) + "\n" + bench.read_log())
            print("\n".join([verdict[status], *broken[:10]]), file=sys.stderr)
        shutil.rmtree(work, ignore_errors=True)
    return status
