"""Peers of the mail forwarder for the cases 6 to 9: a register, partners and a client, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable

from peers_2 import ROOT, Bench, CannotRunError

CLASS_NAME, WINDOW_S, DEADLINE_S = "refill-order", 4.0, 16.0
SLACK_S = 0.05


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Read a line without its end."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionError
    return line[:-2]


class Partner:
    """A partner's only endpoint, SMTP, which drops a repeat of a message for the window.

    It recognizes repeats by the envelope id, and by the Message-ID if there is none.
    ``withhold`` is called once a message is taken; it returns whether the connection ends with no answer.
    """

    def __init__(self, bench: Bench, number: int, withhold: Callable[[], Awaitable[bool]]) -> None:
        self.bench, self.number, self.port, self.withhold = bench, number, 0, withhold
        self.opens_s = 0.0  # until then it is shut and tells for how long
        self.drops_repeats = True
        self.refusals = number  # every fifth tells no time
        self.name = f"pharmacy-{number}.example"
        self.ran: dict[str, list[float]] = {}  # times at which a message took effect, by its order
        self.known: dict[str, float] = {}  # time of the last effect, by the id of the message

    async def start(self) -> None:
        """Start to listen."""
        _, address = await self.bench.serve(self.handle)
        self.port = int(address.rpartition(":")[2])

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one session."""
        writer.write(f"220 {self.name} ready\r\n".encode())
        envelope_id: str | None = ""
        while True:
            line = (await read_line(reader)).decode()
            verb = line[:4].upper()
            shut_ms = int((self.opens_s - self.bench.record.now_s()) * 1000) + 1
            if verb == "MAIL" and shut_ms > 0:
                self.bench.record.add(self.name, "is shut for", shut_ms, "ms")
                self.refusals += 1
                advice = f"[wait={shut_ms}] " if self.refusals % 5 else ""
                writer.write(f"452 4.3.1 {advice}shut\r\n".encode())
                envelope_id = None
            elif envelope_id is None and verb in ("RCPT", "DATA"):
                writer.write(b"503 5.5.1 MAIL first\r\n")
            elif verb == "DATA":
                writer.write(b"354 go ahead\r\n")
                order, message_id = await self.read_content(reader)
                self.take(order, envelope_id or message_id)
                if await self.withhold():
                    writer.transport.abort()
                    return
                writer.write(b"250 2.0.0 done\r\n")
            elif verb == "EHLO":
                writer.write(
                    b"250-hello\r\n250-PIPELINING\r\n250-XENVID\r\n250-XADVICE\r\n250 ENHANCEDSTATUSCODES\r\n"
                )
            elif verb == "QUIT":
                writer.write(b"221 2.0.0 bye\r\n")
                return
            else:
                if verb == "MAIL":
                    envelope_id = line.partition(" ENVID=")[2].split(" ")[0]
                writer.write(b"250 2.0.0 ok\r\n")

    @staticmethod
    async def read_content(reader: asyncio.StreamReader) -> tuple[str, str]:
        """Read a message up to the dot; return its order and its Message-ID."""
        order = message_id = ""
        while (line := await read_line(reader)) != b".":
            name, _, value = line.decode().partition(":")
            if name.lower() == "message-id":
                message_id = value.strip()
            elif name == "order":
                order = value.strip()
        return order, message_id

    def take(self, order: str, message_id: str) -> None:
        """Let a message take effect, unless it is a repeat that the partner still recognizes."""
        now_s = self.bench.record.now_s()
        is_repeat = self.drops_repeats and now_s <= self.known.get(message_id, -1e9) + WINDOW_S + SLACK_S
        what = "dropped the repeat of" if is_repeat else "ran"
        self.bench.record.add(self.name, what, order, "by the id", message_id)
        if not is_repeat:
            self.known[message_id] = now_s
            self.ran.setdefault(order, []).append(now_s)


async def submit(
    bench: Bench,
    port: int,
    partner: Partner,
    order: str,
    wait_s: float,
    uses_envelope_id: bool = False,
    class_name: str = CLASS_NAME,
) -> str:
    """Hand in a message over SMTP; return the reply, or an empty text if the client gave up waiting.

    Its id, the same each time, is the Message-ID, or with ``uses_envelope_id`` the envelope id alone.
    """
    envelope_id = f" ENVID={order}" if uses_envelope_id else ""
    field = "Subject: refill" if uses_envelope_id else f"Message-ID: <{order}@chain.example>"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)

    async def reply() -> str:
        while True:
            line = (await read_line(reader)).decode()
            if line[3:4] != "-":
                return line

    async def command(line: str) -> str:
        writer.write(line.encode() + b"\r\n")
        return await reply()

    try:
        await reply()
        await command("EHLO chain.example")
        await command(f"MAIL FROM:<orders@chain.example>{envelope_id}")
        answer = await command(f"RCPT TO:<{class_name}@{partner.name}>")
        if answer[:1] != "2":
            raise CannotRunError(answer)
        await command("DATA")
        bench.record.add("client hands in", order, "for", partner.name)
        answer = await asyncio.wait_for(command(f"{field}\r\n\r\norder: {order}\r\n."), wait_s)
    except TimeoutError:
        bench.record.add("client closes its connection, no reply for", order)
        return ""
    finally:
        writer.close()
    bench.record.add("client reads", answer, "for", order)
    return answer


def find_second_effects(partners: list[Partner]) -> list[tuple[Partner, str, list[float]]]:
    """Return the messages that took effect more than once."""
    return [
        (partner, order, times)
        for partner in partners
        for order, times in partner.ran.items()
        if len(times) > 1
    ]


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


REFILL_ORDER = (
    f'message_class("{CLASS_NAME}", aim = "4s", deadline = "{DEADLINE_S:.0f}s", effect = "keyed", '
    f'window = "{WINDOW_S:.0f}s", worth = 2.0, late_share = 0.5)'
)


async def start_mail_forwarder(
    bench: Bench, partners: list[Partner], message_class: str = REFILL_ORDER, name: str = "forwarder-1"
) -> int:
    """Start a mail forwarder and a register that lists the partners; return the port of its front."""
    endpoints = [
        {
            "target": f"{each.name}-a", "destination": each.number, "state": "ready", "zone": "",
            "weight": 20.0,
            "addresses": [{"host": "127.0.0.1", "port": each.port, "protocol": "smtp"}],
        }
        for each in partners
    ]  # fmt: skip
    listed = [{"number": each.number, "name": each.name, "kind": "independent"} for each in partners]
    update = {"kind": "full", "version": 1, "partners": listed, "endpoints": endpoints}

    async def register(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(json.dumps(update).encode() + b"\n")
        await reader.read()

    _, address = await bench.serve(register)
    port = free_port()
    script = bench.folder / f"{name}.star"
    script.write_text(
        f"""classes = [{message_class}]
example = forwarder("{name}", classes = classes, kinds = [kind("independent")],
    register = register(port = {address.rpartition(":")[2]}), listen = [listen("smtp", port = {port})],
    slots = 32, max_open = 400, max_wait = "3s")
"""
    )
    with open(bench.folder / "log", "ab") as log:
        process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv/bin/python"), "-m", "honeybarrow", "run", str(script),
            cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "TMPDIR": str(bench.folder)},
            stdout=log, stderr=log,
        )  # fmt: skip
    bench.processes.append(process)
    for _ in range(100):
        await asyncio.sleep(0.1)
        if process.returncode is not None:
            raise CannotRunError(f"the forwarder ended with {process.returncode}")
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            continue
        writer.close()
        await asyncio.sleep(1.0)
        return port
    raise CannotRunError("the forwarder does not listen")
