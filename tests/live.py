"""Test support for loopback sockets: a reactor in a thread, scripted partners and a whole forwarder."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from twisted.internet.threads import blockingCallFromThread

from honeybarrow import config
from honeybarrow.config.schema import ForwarderConfig as Settings
from honeybarrow.reactor import get_reactor
from honeybarrow.register import EndpointAddress, EndpointEntry, ListUpdate, Partner
from honeybarrow.service import FrontAddress, Service

reactor = get_reactor()
MAX_WAIT_S = 20.0  # limit for tests that hang


def start_reactor() -> None:
    """Start the reactor in a thread, unless it was started before."""
    if not reactor.running and not getattr(reactor, "_startedBefore", False):
        threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True).start()
        while not reactor.running:
            time.sleep(0.005)


def call_in_reactor(function: Callable[..., Any], *args: Any) -> Any:
    """Call a function in the reactor's thread; return its result, also that of a Deferred."""
    start_reactor()
    return blockingCallFromThread(reactor, function, *args)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition.

    :raises AssertionError: if it is not true within ``MAX_WAIT_S``.
    """
    end = time.monotonic() + MAX_WAIT_S
    while not condition():
        assert time.monotonic() < end, f"condition not met within {MAX_WAIT_S} s"
        time.sleep(0.005)


class BlockingConnection:
    """One side of a line-based connection, with blocking calls."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(MAX_WAIT_S)
        self.data = b""

    def write_lines(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def read_line(self) -> str:
        """Return the next line, or an empty string at the end of the stream."""
        while b"\n" not in self.data:
            try:
                data = self.sock.recv(65536)
            except ConnectionError:
                return ""
            if not data:
                return ""
            self.data += data
        line, _, self.data = self.data.partition(b"\n")
        return line.rstrip(b"\r").decode("latin-1")

    def read_reply(self) -> str:
        """Return the last line of the next reply."""
        while (line := self.read_line())[3:4] == "-":
            pass
        return line

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    # Server side of a session, used by partners.

    def greet(self, *extensions: str) -> None:
        self.write_lines("220 partner")
        self.read_line()
        self.write_lines(*[f"250-{word}" for word in ("partner", *extensions)], "250 8BITMIME")

    def accept_envelope(self) -> None:
        """Accept MAIL, RCPT and DATA, after an optional RSET."""
        for command, reply in (("MAIL", "250 ok"), ("RCPT", "250 ok"), ("DATA", "354 go")):
            line = self.read_line()
            if line.startswith("RSET"):
                self.write_lines("250 ok")
                line = self.read_line()
            assert line.startswith(command), line
            self.write_lines(reply)

    def read_content(self) -> str:
        """Return the message content up to the terminating dot."""
        lines = []
        while (line := self.read_line()) != ".":
            assert line or self.sock.fileno() >= 0
            lines.append(line)
        return "\n".join(lines)

    def accept_message(self, answer: str = "250 2.0.0 taken") -> str:
        """Accept a whole transaction; return the message content."""
        self.accept_envelope()
        content = self.read_content()
        self.write_lines(answer)
        return content


class ScriptedPartner:
    """Listener whose n-th connection follows the n-th script; further connections use the last one."""

    def __init__(self, *scripts: Callable[[BlockingConnection], None]) -> None:
        self.scripts = scripts
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        self.connections: list[BlockingConnection] = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            script = self.scripts[min(len(self.connections), len(self.scripts) - 1)]
            connection = BlockingConnection(sock)
            self.connections.append(connection)
            threading.Thread(target=self._run_script, args=(script, connection), daemon=True).start()

    def _run_script(
        self, script: Callable[[BlockingConnection], None], connection: BlockingConnection
    ) -> None:
        with contextlib.suppress(OSError, AssertionError):
            script(connection)

    def close(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.sock.close()


def accept_all_messages(connection: BlockingConnection) -> None:
    """Script of a partner that accepts every message."""
    connection.greet()
    while True:
        connection.accept_message()


class RecordingLog:
    """Logger that keeps its events in a list."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def debug(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    info = warning = error = debug


SCRIPT = """
classes = [
    message_class("note", aim = "1s", deadline = "3s", late_share = 0.4),
    message_class("post", aim = "1s", deadline = "4s", effect = "keyed", window = "3s"),
    message_class("pay", aim = "1s", deadline = "4s", effect = "unsafe"),
    message_class("step", aim = "1s", deadline = "4s", keep_order = True),
    message_class("brief", aim = "200ms", deadline = "600ms"),
]
one = forwarder("fwd.example", classes = classes, register = register(port = 1), max_wait = "3s",
    listen = [listen("smtp", port = 0, require = "%s"), listen("lmtp", port = 0)], weights = "none",
    routing = routing(key = "header:X-Order-Key", time_left_ms = "header:X-Time-Left-Ms"),
    pool = pool(connect_timeout = "500ms", idle = "5s"), stop_grace = "2s", %s)
"""


class LiveForwarder:
    """A whole forwarder on loopback, whose partners are listed by the test."""

    def __init__(
        self,
        more: str = "slots = 8, max_open = 400",
        require: str = "none",
        tls: Any = None,
        password: Any = None,
    ) -> None:
        self.log = RecordingLog()
        records = config.evaluate_script("test.star", SCRIPT % (require, more))
        settings = next(value for value in records.values() if isinstance(value, Settings))
        self.version = 1
        self.partners: dict[str, Partner] = {}

        def start() -> list[FrontAddress]:
            self.service = Service(
                settings,
                reactor,
                lambda: time.monotonic_ns() // 1000,
                lambda: "today",
                "test",
                7,
                lambda: None,
                lambda data: None,
                self.log,
                lambda error: None,
                tls,
                password,
            )
            self.service.register.subscribe = lambda: None  # type: ignore[method-assign]
            return self.service.start()

        self.ports = {protocol: port for protocol, _, port in call_in_reactor(start)}

    def list_partner(self, name: str, *ports: int, state: Any = "ready", protocol: Any = "smtp") -> None:
        """Add a partner with an endpoint on each port."""
        self.version += 1
        partner = self.partners.setdefault(name, Partner(number=len(self.partners) + 1, name=name))
        rows = tuple(
            EndpointEntry(
                target=f"{name}:{port}",
                destination=partner.number,
                state=state,
                addresses=(EndpointAddress(host="127.0.0.1", port=port, protocol=protocol),),
            )
            for port in ports
        )
        update = ListUpdate(kind="changes", version=self.version, partners=(partner,), endpoints=rows)
        call_in_reactor(lambda: self.service.handle_list_update(self.service.directory.apply(update)))

    def client(self, protocol: str = "smtp") -> BlockingConnection:
        """Return a client connection after EHLO or LHLO."""
        connection = BlockingConnection(socket.create_connection(("127.0.0.1", self.ports[protocol])))
        assert connection.read_reply().startswith("220")
        connection.write_lines("LHLO c.example" if protocol == "lmtp" else "EHLO c.example")
        assert connection.read_reply().startswith("250")
        return connection

    def send(self, connection: BlockingConnection, recipient: str, *headers: str, by: str = "") -> str:
        """Submit a message; return its final reply."""
        self.submit(connection, recipient, *headers, by=by)
        return connection.read_reply()

    def submit(self, connection: BlockingConnection, recipient: str, *headers: str, by: str = "") -> None:
        """Submit a message without waiting for its final reply."""
        connection.write_lines(f"MAIL FROM:<a@c.example>{by}", f"RCPT TO:<{recipient}>", "DATA")
        codes = [connection.read_reply()[:3] for _ in range(3)]
        assert codes == ["250", "250", "354"], codes
        connection.write_lines(*headers, "", "hello", ".")

    def stop(self) -> None:
        call_in_reactor(self.service.stop)


@contextlib.contextmanager
def forwarder(more: str = "slots = 8, max_open = 400") -> Iterator[LiveForwarder]:
    """Provide a live forwarder, which is stopped at the end."""
    live = LiveForwarder(more)
    try:
        yield live
    finally:
        live.stop()
