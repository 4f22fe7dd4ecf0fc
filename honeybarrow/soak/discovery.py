"""Stand-in of the platform: discovery's list and watch, and the place where notifications go."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass
from typing import Any

from honeybarrow.soak.endpoints import StandInEndpoint
from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.http_messages import HttpMessage, HttpMessageReader
from honeybarrow.soak.link import LinkCondition, LinkConnection
from honeybarrow.soak.settings import CAPACITY_PER_S

HEARTBEAT_INTERVAL_S = 2.0
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
_INDEX = re.compile(r"[?&]index=(\d+)")


@dataclass(frozen=True, slots=True)
class ListChange:
    """The state of one endpoint from a version of the list on."""

    version: int
    endpoint: StandInEndpoint
    status: str  # active, leaving or left


class _DiscoveryConnection(LinkConnection):
    """A forwarder's connection to discovery."""

    def __init__(self, discovery: StandInDiscovery, forwarder: str, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.discovery, self.forwarder = discovery, forwarder
        self.reader = HttpMessageReader()
        self.watched_version: int | None = None  # it watches, and was sent all up to here

    def on_bytes(self, data: bytes, arrived_s: float) -> None:
        """Read requests."""
        for message in self.reader.receive(data, arrived_s):
            if message.start_line.startswith("POST /reports"):
                self.discovery.on_notifications(self, message)
            else:
                self.discovery.on_watch(self, message)

    def on_lost(self) -> None:
        """Forget the connection."""
        self.discovery.watches.pop(self, None)


class StandInDiscovery:
    """The list of endpoints, shown to each forwarder with addresses of its own, at two listeners each."""

    def __init__(self, host: str, history: History) -> None:
        self.host, self.history = host, history
        self.version = 1
        self.changes: list[ListChange] = []
        self.statuses: dict[str, ListChange] = {}
        self.is_down = False
        self.links: dict[str, LinkCondition] = {}
        self.addresses: dict[str, list[str]] = {}  # of each forwarder: a first and a second one
        self.watches: dict[_DiscoveryConnection, None] = {}
        self._servers: list[asyncio.Server] = []
        self._heartbeat: asyncio.TimerHandle | None = None

    async def listen(self, forwarder: str) -> None:
        """Listen for one forwarder at both addresses."""
        condition = self.links.setdefault(forwarder, LinkCondition())
        loop = asyncio.get_running_loop()
        for _ in range(2):
            server = await loop.create_server(
                lambda: _DiscoveryConnection(self, forwarder, condition), self.host, 0, backlog=64
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.addresses.setdefault(forwarder, []).append(f"{self.host}:{port}")
        if self._heartbeat is None:
            self._heartbeat = loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def set_status(self, endpoint: StandInEndpoint, status: str) -> None:
        """Change the list."""
        self.version += 1
        change = ListChange(self.version, endpoint, status)
        self.changes.append(change)
        self.statuses[endpoint.name] = change
        if status == "left":
            del self.statuses[endpoint.name]
        self.history.add(EventKind.FAULT, endpoint=endpoint.name, detail=f"listed as {status}")
        for watch in list(self.watches):
            self._send_changes(watch)

    def known_list(self, forwarder: str) -> dict[str, Any]:
        """Return the whole list, as one forwarder is shown it."""
        rows = [self._row(change, forwarder) for change in self.statuses.values()]
        return {"index": self.version, "snapshot": True, "endpoints": rows}

    def _row(self, change: ListChange, forwarder: str) -> dict[str, Any]:
        endpoint = change.endpoint
        return {
            "name": endpoint.name,
            "address": f"{endpoint.host}:{endpoint.ports[forwarder]}",
            "zone": "a",
            "type": "shop",
            "group": endpoint.destination,
            "status": change.status,
            "weight": CAPACITY_PER_S,
            "since_ms": 0,
        }

    def on_watch(self, connection: _DiscoveryConnection, request: HttpMessage) -> None:
        """Open a watch from the version held."""
        if self.is_down:
            connection.send(UNAVAILABLE)
            return
        connection.send(WATCH_HEAD)
        index = _INDEX.search(request.start_line)
        connection.watched_version = int(index[1]) if index else 0
        self.watches[connection] = None
        self._send_changes(connection)

    def _send_changes(self, connection: _DiscoveryConnection) -> None:
        held = connection.watched_version or 0
        newest: dict[str, ListChange] = {}
        for change in self.changes:
            if change.version > held:
                newest[change.endpoint.name] = change
        connection.watched_version = self.version
        rows = [self._row(change, connection.forwarder) for change in newest.values()]
        item = {"index": self.version, "snapshot": False, "endpoints": rows}
        changes = list(newest.values())

        def on_written(written_s: float) -> None:
            for change in changes:
                self.history.add(
                    EventKind.LISTED,
                    connection.forwarder,
                    endpoint=change.endpoint.name,
                    detail=change.status,
                    at_s=written_s,
                )

        connection.send(_chunk(json.dumps(item).encode() + b"\n"), on_written)

    def _send_heartbeats(self) -> None:
        for watch in list(self.watches):
            watch.send(_chunk(b"\n"))
        loop = asyncio.get_running_loop()
        self._heartbeat = loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def on_notifications(self, connection: _DiscoveryConnection, request: HttpMessage) -> None:
        """Take notifications; also while discovery is down."""
        for line in request.body.splitlines():
            row = json.loads(line)
            self.history.add(
                EventKind.NOTIFIED,
                connection.forwarder,
                str(row["message"]),
                detail=str(row["outcome"]),
                at_s=request.last_byte_s,
            )
        connection.send(NO_CONTENT)

    def go_down(self) -> None:
        """End all watches and refuse new ones."""
        self.is_down = True
        for watch in list(self.watches):
            watch.reset()

    def come_up(self) -> None:
        """Serve again."""
        self.is_down = False

    def close(self) -> None:
        """Close all sockets."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        for server in self._servers:
            server.close()
        for watch in list(self.watches):
            watch.reset()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
