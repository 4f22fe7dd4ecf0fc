"""One forwarder in this process on loopback sockets, run turn by turn, with its clock in the test's hands.

What a peer writes stays in the system until the test lets the forwarder's reactor read it. So a test puts
bytes between any two steps of the forwarder, the same way every time, and nothing sleeps.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from twisted.internet import error, selectreactor
from twisted.python import failure

from honeybarrow.clocks import Clocks
from honeybarrow.node.config import ForwarderConfig, ResourceLimits
from honeybarrow.node.endpoint_list import parse_address, parse_endpoint_list
from honeybarrow.node.process import ForwarderProcess
from honeybarrow.tcp_transports import connect_tcp, listen_tcp
from tests.helpers import settings

_Reactor: Any = selectreactor.SelectReactor
_error: Any = error
_Failure: Any = failure.Failure
EPOCH_S = 1_700_000_000
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ListeningPeer:
    """A listener of the test, and the connections made to it, oldest first."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections: list[PeerConnection] = []

    def accept_connections(self) -> list[PeerConnection]:
        """Accept all waiting connections; return all so far."""
        while True:
            try:
                own, _ = self.listener.accept()
            except BlockingIOError:
                return self.connections
            self.connections.append(PeerConnection(own))

    def close(self) -> None:
        """Close everything."""
        for each in (self.listener, *(line.socket for line in self.connections)):
            each.close()


class PeerConnection:
    """The test's end of a connection. ``received``: all bytes read; ``ending``: how it ended, if it did."""

    def __init__(self, own: socket.socket) -> None:
        self.socket, self.received, self.ending = own, b"", ""
        self.answered_count = 0  # requests with notifications, or a watch
        own.setblocking(False)
        own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else the system holds small writes back

    def read(self) -> bytes:
        """Read what has come; return all bytes so far."""
        while not self.ending:
            try:
                data = self.socket.recv(1 << 16)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ending = "reset"
                break
            self.received += data
            if not data:
                self.ending = "end"
        return self.received

    def write(self, data: bytes) -> None:
        """Write; all of it goes to the system at once."""
        assert self.socket.send(data) == len(data)

    def reset(self) -> None:
        """Break the connection."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.close("reset")

    def close(self, how: str = "end") -> None:
        """Close it from here."""
        self.read()
        self.ending = self.ending or how
        self.socket.close()


class ProcessKilledError(BaseException):
    """The process is killed at this very point."""


class Rig:
    """The forwarder, its platform and its targets."""

    def __init__(self, folder: Path, sockets: int = 256, on_request: bool = True, **changes: Any) -> None:
        self.folder, self.sockets = folder, sockets
        self.settings = settings(polls_endpoint_list=on_request, **changes)
        self.now_s = 100.0
        self.booted_s, self.boot_id = 0.0, "first"  # of the machine
        self.wall_step_s = 0.0  # how far the wall clock was stepped
        self.target, self.platform, self.moved_platform = ListeningPeer(), ListeningPeer(), ListeningPeer()
        self.reactors: list[Any] = []
        self.clients: list[PeerConnection] = []
        probe = socket.create_server(("127.0.0.1", 0))
        self.listen: tuple[str, int] = probe.getsockname()
        probe.close()
        self.start_process()

    def endpoint_list(self, index: int = 40, state: str = "active") -> dict[str, Any]:
        """Return a list of one endpoint, of destination 7."""
        row = {"name": "s1", "address": self.target.address, "group": 7, "type": "shop", "status": state}
        return {"index": index, "snapshot": True, "endpoints": [row]}

    def start_process(self) -> None:
        """Start a process of the same name on the same folder."""
        self.reactor: Any = _Reactor()
        self.reactors.append(self.reactor)
        self.reactor.seconds = lambda: self.now_s
        self.reactor.listenTCP = partial(listen_tcp, self.reactor)
        self.reactor.connectTCP = partial(connect_tcp, self.reactor)
        self.is_stopped = False
        self.reactor.stop = self._stopped
        config = ForwarderConfig(
            "n0", self.listen, parse_address(self.platform.address), str(self.folder), len(self.reactors),
            ResourceLimits(self.sockets, 3_000_000), parse_endpoint_list(self.endpoint_list()), self.settings,
        )  # fmt: skip
        clocks = Clocks(
            lambda: int((self.now_s - self.booted_s) * 1e6),
            lambda: int((EPOCH_S + self.now_s + self.wall_step_s) * 1e6),
            self.boot_id,
        )
        self.process = ForwarderProcess(config, self.reactor, clocks, self._crashed)
        self.process.start()
        self.run_turns(3)

    def _stopped(self) -> None:
        self.is_stopped = True

    def _crashed(self, error: Exception) -> None:
        raise error

    def run_turns(self, times: int = 1) -> None:
        """Run so many turns of the reactor, without a change of time."""
        for _ in range(times):
            if not self.is_stopped:
                self.reactor.iterate(0)

    def advance(self, seconds: float, step: float = 0.05) -> None:
        """Let time pass, two turns each ``step``."""
        end = self.now_s + seconds
        while self.now_s < end - 1e-9:
            self.now_s = min(end, self.now_s + step)
            self.run_turns(2)

    def advance_until(self, check: Callable[[], Any], seconds: float = 20.0) -> Any:
        """Let time pass until something is true, and return it."""
        end = self.now_s + seconds
        while not (found := check()):
            assert self.now_s < end, "it did not come true"
            self.run_turns(3)
            if not check():
                self.advance(0.02, 0.02)
        return found

    def kill(self) -> None:
        """Kill the process: its sockets close, and nothing more is written."""
        self.is_stopped = True
        for each in self.reactor.removeAll():
            own = getattr(each, "socket", None)
            if own is not None:
                own.close()

    # clients

    def connect_client(self) -> PeerConnection:
        """Connect a client; the forwarder has not accepted it yet."""
        line = PeerConnection(socket.create_connection(self.listen))
        self.clients.append(line)
        return line

    @staticmethod
    def request(message: str, cls: str = "note", left_ms: int = 3000, key: str = "key") -> bytes:
        """Encode a client's request."""
        return (
            f"POST /{cls}/{key} HTTP/1.1\r\nX-Correlation-Id: {message}\r\nX-Service-Class: {cls}\r\n"
            f"X-Time-Left: {left_ms}m\r\nX-Consignee: dest=7\r\nIdempotency-Key: {key}\r\n"
            "Content-Length: 2\r\n\r\nhi"
        ).encode()

    def connect_idle_client(self) -> PeerConnection:
        """Connect a client and let one request be answered."""
        line = self.connect_client()
        line.write(b"GET /up HTTP/1.1\r\n\r\n")
        self.advance_until(lambda: line.read().startswith(b"HTTP/1.1 200"))
        self.run_turns()
        line.received = b""
        return line

    def submit(
        self, message: str, cls: str = "note", left_ms: int = 3000, key: str = "key"
    ) -> PeerConnection:
        """Submit a message on a connection of its own, and wait for the answer."""
        line = self.connect_client()
        line.write(self.request(message, cls, left_ms, key))
        self.advance_until(line.read)
        return line

    # the other sides

    def read_call(self, message: str = "") -> PeerConnection:
        """Return the newest whole call to the endpoint, of that message if one is named."""
        name = f"X-Correlation-Id: {message}".encode()

        def whole() -> PeerConnection | None:
            lines = [line for line in self.target.accept_connections() if line.read().endswith(b"\r\n\r\nhi")]
            lines = [line for line in lines if name in line.received.split(b"POST ")[-1]]
            return lines[-1] if lines else None

        found: PeerConnection = self.advance_until(whole)
        return found

    def count_calls(self, message: str) -> int:
        """Count the calls of a message."""
        name = f"X-Correlation-Id: {message}\r\n".encode()
        return sum(line.read().count(name) for line in self.target.accept_connections())

    def read_watch(self, party: ListeningPeer | None = None) -> PeerConnection:
        """Return the newest open watch at a platform."""
        own = party or self.platform

        def asked() -> PeerConnection | None:
            lines = [
                each
                for each in own.accept_connections()
                if each.read().startswith(b"GET /") and not each.ending
            ]
            return lines[-1] if lines else None

        found: PeerConnection = self.advance_until(asked)
        return found

    def send_list(self, watch: PeerConnection, index: int, state: str = "active", head: bool = True) -> None:
        """Send the list on a watch."""
        data = json.dumps(self.endpoint_list(index, state)).encode() + b"\n"
        watch.write((WATCH_HEAD if head else b"") + f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def receive_notifications(self, answer: bytes = NO_CONTENT) -> list[dict[str, Any]]:
        """Return all notifications that have come to the platform; answer each batch with ``answer``."""
        found: list[dict[str, Any]] = []
        for party in (self.platform, self.moved_platform):
            for line in party.accept_connections():
                for part in line.read().split(b"POST /reports")[1:]:
                    found += [json.loads(row) for row in part.split(b"\r\n\r\n", 1)[1].splitlines() if row]
                batches = line.received.count(b"POST /reports")
                if answer and batches > line.answered_count and not line.ending:
                    line.write(answer * (batches - line.answered_count))
                line.answered_count = batches
        return found

    def close(self) -> None:
        """Close everything."""
        for reactor in self.reactors:
            for each in reactor.removeAll():
                own = getattr(each, "socket", None)
                if own is not None:
                    own.close()
            for timer in reactor.getDelayedCalls():
                timer.cancel()
            os.close(reactor.waker.i)
            os.close(reactor.waker.o)
        for line in self.clients:
            line.socket.close()
        for party in (self.target, self.platform, self.moved_platform):
            party.close()


def wait_for_end(rig: Rig, connection: PeerConnection) -> str:
    """Wait for a connection's end, within the time allowed for it; return how it ended."""
    rig.advance_until(lambda: connection.read() is not None and connection.ending, 3)
    return connection.ending
