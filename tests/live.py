"""Real loopback sockets for tests: a reactor in a thread, and partners that follow a script."""

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
MAX_WAIT_S = 20.0  # only to end a test that hangs; no verdict depends on it


def start_reactor() -> None:
    """Run the reactor in a thread, once for all tests."""
    if not reactor.running and not getattr(reactor, "_startedBefore", False):
        threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True).start()
        while not reactor.running:
            time.sleep(0.005)


def in_reactor(function: Callable[..., Any], *args: Any) -> Any:
    """Call in the reactor's thread; the result, also of a Deferred."""
    start_reactor()
    return blockingCallFromThread(reactor, function, *args)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    end = time.monotonic() + MAX_WAIT_S
    while not condition():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.005)


class BlockingConnection:
    """One side of a connection, in blocking calls."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(MAX_WAIT_S)
        self.data = b""

    def write_lines(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def read_line(self) -> str:
        """The next line; empty at the end."""
        while b"\n" not in self.data:
            try:
                more = self.sock.recv(65536)
            except ConnectionError:
                return ""
            if not more:
                return ""
            self.data += more
        line, _, self.data = self.data.partition(b"\n")
        return line.rstrip(b"\r").decode("latin-1")

    def read_reply(self) -> str:
        """The last line of the next reply."""
        while (line := self.read_line())[3:4] == "-":
            pass
        return line

    def reset(self) -> None:
        """Close with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    # a partner's half of a session

    def greet(self, *extensions: str) -> None:
        self.write_lines("220 partner")
        self.read_line()
        self.write_lines(*[f"250-{word}" for word in ("partner", *extensions)], "250 8BITMIME")

    def accept_envelope(self) -> None:
        """Take MAIL, RCPT and DATA."""
        for word, answer in (("MAIL", "250 ok"), ("RCPT", "250 ok"), ("DATA", "354 go")):
            line = self.read_line()
            if line.startswith("RSET"):
                self.write_lines("250 ok")
                line = self.read_line()
            assert line.startswith(word), line
            self.write_lines(answer)

    def read_content(self) -> str:
        """The message, up to its dot."""
        lines = []
        while (line := self.read_line()) != ".":
            assert line or self.sock.fileno() >= 0
            lines.append(line)
        return "\n".join(lines)

    def accept_message(self, answer: str = "250 2.0.0 taken") -> str:
        """A whole transaction."""
        self.accept_envelope()
        content = self.read_content()
        self.write_lines(answer)
        return content


class ScriptedPartner:
    """Listens; the first connection follows the first script, and the last script is used again."""

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
            wire = BlockingConnection(sock)
            self.connections.append(wire)
            threading.Thread(target=self._run_script, args=(script, wire), daemon=True).start()

    def _run_script(self, script: Callable[[BlockingConnection], None], wire: BlockingConnection) -> None:
        with contextlib.suppress(OSError, AssertionError):
            script(wire)

    def close(self) -> None:
        self.server.close()
        for wire in self.connections:
            wire.sock.close()


def accept_always(wire: BlockingConnection) -> None:
    """A partner that takes everything."""
    wire.greet()
    while True:
        wire.accept_message()


class RecordingLog:
    """A log that keeps its lines."""

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
    """A whole forwarder on loopback, with partners that are listed by hand."""

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

        self.ports = {protocol: port for protocol, _, port in in_reactor(start)}

    def list_partner(self, name: str, *ports: int, state: Any = "ready", protocol: Any = "smtp") -> None:
        """List a partner with an endpoint on each port."""
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
        news = ListUpdate(kind="changes", version=self.version, partners=(partner,), endpoints=rows)
        in_reactor(lambda: self.service.handle_list_update(self.service.directory.apply(news)))

    def client(self, protocol: str = "smtp") -> BlockingConnection:
        """A greeted client connection."""
        wire = BlockingConnection(socket.create_connection(("127.0.0.1", self.ports[protocol])))
        assert wire.read_reply().startswith("220")
        wire.write_lines("LHLO c.example" if protocol == "lmtp" else "EHLO c.example")
        assert wire.read_reply().startswith("250")
        return wire

    def send(self, wire: BlockingConnection, recipient: str, *headers: str, by: str = "") -> str:
        """Hand one message in; its final reply."""
        self.submit(wire, recipient, *headers, by=by)
        return wire.read_reply()

    def submit(self, wire: BlockingConnection, recipient: str, *headers: str, by: str = "") -> None:
        """Hand one message in, and don't wait for the reply."""
        wire.write_lines(f"MAIL FROM:<a@c.example>{by}", f"RCPT TO:<{recipient}>", "DATA")
        codes = [wire.read_reply()[:3] for _ in range(3)]
        assert codes == ["250", "250", "354"], codes
        wire.write_lines(*headers, "", "hello", ".")

    def stop(self) -> None:
        in_reactor(self.service.stop)


@contextlib.contextmanager
def forwarder(more: str = "slots = 8, max_open = 400") -> Iterator[LiveForwarder]:
    """A forwarder that is stopped in the end."""
    live = LiveForwarder(more)
    try:
        yield live
    finally:
        live.stop()
