"""Stand-in for the platform: the discovery service (list and watch) and the receiver of notifications."""

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
from honeybarrow.soak.plan import CrowdedCallEnd
from honeybarrow.soak.settings import CAPACITY_PER_S

HEARTBEAT_INTERVAL_S = 2.0
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_CONTENT_RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
_INDEX = re.compile(r"[?&]index=(\d+)")


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of one endpoint's state, with the list version that introduced it."""

    version: int
    endpoint: StandInEndpoint
    status: str  # "active", "leaving" or "left"


@dataclass(frozen=True, slots=True)
class CrowdedCalls:
    """How discovery treats the calls of one forwarder while it is crowded."""

    wait_s: float
    end: CrowdedCallEnd


class _DiscoveryConnection(LinkConnection):
    """Connection from a forwarder to the discovery service."""

    def __init__(self, discovery: StandInDiscovery, forwarder: str, condition: LinkCondition) -> None:
        super().__init__(condition)
        self.discovery, self.forwarder = discovery, forwarder
        self.reader = HttpMessageReader()
        self.watched_version: int | None = None  # last version sent; None before a watch

    def on_data_delivered(self, data: bytes, arrived_s: float) -> None:
        """Dispatch complete requests."""
        for message in self.reader.receive(data, arrived_s):
            if message.start_line.startswith("POST /reports"):
                self.discovery.on_notifications(self, message)
            else:
                self.discovery.on_watch(self, message)

    def on_connection_lost(self) -> None:
        """Remove the connection's watch."""
        self.discovery.watches.pop(self, None)


class StandInDiscovery:
    """Discovery service with two listeners for each forwarder.

    Each endpoint has a separate port for each forwarder, so every forwarder receives its own addresses.
    """

    def __init__(self, host: str, history: History) -> None:
        self.host, self.history = host, history
        self.version = 1
        self.changes: list[ListChange] = []
        self.statuses: dict[str, ListChange] = {}
        self.is_down = False
        self.crowded_calls: dict[str, CrowdedCalls] = {}  # by forwarder
        self.links: dict[str, LinkCondition] = {}
        self.addresses: dict[str, list[str]] = {}  # two for each forwarder
        self.watches: dict[_DiscoveryConnection, None] = {}
        self._servers: list[asyncio.Server] = []
        self._heartbeat: asyncio.TimerHandle | None = None

    async def listen(self, forwarder: str) -> None:
        """Open both listeners of one forwarder."""
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
        """Set the state of an endpoint and send the change to all watches."""
        self.version += 1
        change = ListChange(self.version, endpoint, status)
        self.changes.append(change)
        self.statuses[endpoint.name] = change
        if status == "left":
            del self.statuses[endpoint.name]
        self.history.add(EventKind.FAULT, endpoint=endpoint.name, detail=f"listed as {status}")
        for watch in list(self.watches):
            self._send_changes(watch)

    def endpoint_list(self, forwarder: str) -> dict[str, Any]:
        """Return a full snapshot of the list with the addresses for one forwarder."""
        entries = [self._endpoint_entry(change, forwarder) for change in self.statuses.values()]
        return {"index": self.version, "snapshot": True, "endpoints": entries}

    def _endpoint_entry(self, change: ListChange, forwarder: str) -> dict[str, Any]:
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
        """Start a watch from the version that the request names, or refuse it while discovery is down."""
        if self.is_down:
            connection.send(UNAVAILABLE_RESPONSE)
            return
        if (crowded := self.crowded_calls.get(connection.forwarder)) is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(crowded.wait_s, self._end_crowded_call, connection, crowded.end)
            return
        connection.send(WATCH_RESPONSE_HEAD)
        index = _INDEX.search(request.start_line)
        connection.watched_version = int(index[1]) if index else None
        self.watches[connection] = None
        self._send_changes(connection)

    def _end_crowded_call(self, connection: _DiscoveryConnection, end: CrowdedCallEnd) -> None:
        if end is CrowdedCallEnd.REJECTED:
            connection.send(UNAVAILABLE_RESPONSE)
        else:
            connection.reset()

    def reset_watches(self, forwarder: str) -> None:
        """Reset the watches of one forwarder."""
        for watch in [each for each in self.watches if each.forwarder == forwarder]:
            watch.reset()

    def _send_changes(self, connection: _DiscoveryConnection) -> None:
        is_whole_list = connection.watched_version is None
        sent_version = connection.watched_version or 0
        latest_changes: dict[str, ListChange] = {}
        for change in self.changes:
            if change.version > sent_version:
                latest_changes[change.endpoint.name] = change
        connection.watched_version = self.version
        entries = [self._endpoint_entry(change, connection.forwarder) for change in latest_changes.values()]
        update = {"index": self.version, "snapshot": False, "endpoints": entries}
        if is_whole_list:
            update = self.endpoint_list(connection.forwarder)
        changes = list(latest_changes.values())

        def on_written(written_s: float) -> None:
            for change in changes:
                self.history.add(
                    EventKind.LISTED,
                    connection.forwarder,
                    endpoint=change.endpoint.name,
                    detail=change.status,
                    time_s=written_s,
                )

        connection.send(_encode_chunk(json.dumps(update).encode() + b"\n"), on_written)

    def _send_heartbeats(self) -> None:
        for watch in list(self.watches):
            watch.send(_encode_chunk(b"\n"))
        loop = asyncio.get_running_loop()
        self._heartbeat = loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def on_notifications(self, connection: _DiscoveryConnection, request: HttpMessage) -> None:
        """Record notifications; they are accepted even while discovery is down."""
        for line in request.body.splitlines():
            notification = json.loads(line)
            self.history.add(
                EventKind.NOTIFIED,
                connection.forwarder,
                str(notification["message"]),
                detail=str(notification["outcome"]),
                time_s=request.last_byte_s,
            )
        connection.send(NO_CONTENT_RESPONSE)

    def go_down(self) -> None:
        """Reset all watches and refuse new ones until :meth:`come_back`."""
        self.is_down = True
        for watch in list(self.watches):
            watch.reset()

    def come_back(self) -> None:
        """Accept watches again."""
        self.is_down = False

    def close(self) -> None:
        """Cancel the heartbeat and close all sockets."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        for server in self._servers:
            server.close()
        for watch in list(self.watches):
            watch.reset()


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
