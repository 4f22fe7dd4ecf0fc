"""How often a mail message that is handed in again takes effect: real processes, both kinds of partners.

Guards against review case 7: a message named by ENVID alone had another Message-ID at each submission, so its
partner executed it again within the window.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

RESET_DELAY_S = 0.6  # from the end of a message to the reset of its connection
GIVE_UP_S = 0.4  # after which a client closes its connection
REPEAT_S = 1.4  # from the first submission to the second
WINDOW_S = 4.0
MAX_WAIT_S = 12.0
SCRIPT = """
classes = [message_class("post", aim = "4s", deadline = "8s", effect = "keyed", window = "4s"),
    message_class("note", aim = "4s", deadline = "8s", effect = "keyed", window = "4s")]
one = forwarder("{name}", classes = classes, kinds = [kind("shop")], register = register(port = {register}),
    listen = [listen("smtp", port = {smtp}), listen("lmtp", port = {lmtp})], slots = 32, max_open = 400,
    max_wait = "3s")
"""


@dataclass
class Partner:
    """A partner that drops repeats by the envelope id, or that knows no name but the Message-ID."""

    number: int
    takes_envelope_id: bool
    resets_first: bool  # executes the first message and resets its connection with no answer
    port: int = 0
    effects: int = 0
    known: set[str] = field(default_factory=set)

    @property
    def name(self) -> str:
        return f"p{self.number}.example"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one session."""
        writer.write(b"220 partner\r\n")
        envelope_id = ""
        while line := (await reader.readline()).decode().strip():
            verb = line[:4].upper()
            if verb == "EHLO":
                extensions = ["XENVID"] if self.takes_envelope_id else []
                writer.write("".join(f"250-{word}\r\n" for word in ["partner", *extensions]).encode())
                writer.write(b"250 XADVICE\r\n")
            elif verb == "DATA":
                writer.write(b"354 go ahead\r\n")
                message_id = await read_message_id(reader)
                self.execute(envelope_id or message_id)
                if self.resets_first:
                    self.resets_first = False
                    await asyncio.sleep(RESET_DELAY_S)
                    writer.transport.abort()
                    return
                writer.write(b"250 2.0.0 done\r\n")
            else:
                if verb == "MAIL":
                    envelope_id = line.partition(" ENVID=")[2].split(" ")[0]
                writer.write(b"250 2.0.0 ok\r\n")

    def execute(self, name: str) -> None:
        """Let a message take effect unless its name is known; all of the test lies within the window."""
        if name not in self.known:
            self.known.add(name)
            self.effects += 1


async def read_message_id(reader: asyncio.StreamReader) -> str:
    """Read a message up to its end; return its Message-ID."""
    message_id = ""
    while (line := (await reader.readline()).decode()) not in (".\r\n", ""):
        if line.lower().startswith("message-id:"):
            message_id = line.partition(":")[2].strip()
    return message_id


@dataclass(frozen=True)
class Submission:
    """What a client hands in: names, body, classes of its recipients, and the client's address."""

    envelope_id: str = ""
    message_id: str = ""
    body: str = "hello"
    classes: tuple[str, ...] = ("post",)
    address: str = "127.0.0.1"


async def hand_in(port: int, partner: Partner, submission: Submission, wait_s: float) -> list[str]:
    """Hand in a message over SMTP, or over LMTP to several recipients; return the replies."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(submission.address, 0))

    async def read_reply() -> str:
        while (line := (await reader.readline()).decode())[3:4] == "-":
            pass
        return line

    async def send(*lines: str) -> str:
        writer.write("".join(line + "\r\n" for line in lines).encode())
        return await read_reply()

    envelope_id = f" ENVID={submission.envelope_id}" if submission.envelope_id else ""
    message_id = [f"Message-ID: {submission.message_id}"] if submission.message_id else ["Subject: x"]
    try:
        await read_reply()
        await send("LHLO client" if len(submission.classes) > 1 else "EHLO client")
        await send(f"MAIL FROM:<a@client.example>{envelope_id}")
        for class_name in submission.classes:
            assert (await send(f"RCPT TO:<{class_name}@{partner.name}>")).startswith("250")
        await send("DATA")
        async with asyncio.timeout(wait_s):
            replies = [await send(*message_id, "", submission.body, ".")]
            return [*replies, *[await read_reply() for _ in submission.classes[1:]]]
    except TimeoutError:
        return []
    finally:
        writer.close()


@dataclass(frozen=True)
class Row:
    """Two submissions, where the second is handed in, and how often the partner executes them."""

    first: Submission
    second: Submission
    effects: int = 1
    is_first_reset: bool = True


ENVELOPE, HEADER = Submission("e1"), Submission("", "<m1@c>")
BOTH = Submission("e1", "<m1@c>")
ROWS = {
    "ENVID": Row(ENVELOPE, ENVELOPE),
    "ENVID in another encoding": Row(Submission("a+41"), Submission("aA")),
    "Message-ID": Row(HEADER, HEADER),
    "ENVID and Message-ID": Row(BOTH, BOTH),
    "ENVID of another content": Row(ENVELOPE, Submission("e1", body="other"), 2, False),
    "ENVID of another client": Row(ENVELOPE, Submission("e1", address="127.0.0.2"), 2, False),
    "no name": Row(Submission(), Submission(), 2, False),
    "ENVID of two recipients": Row(
        Submission("e1", classes=("post", "note")), Submission("e1", classes=("post", "note")), 2, False
    ),
    "no name, two recipients": Row(
        Submission(classes=("post", "note")), Submission("e2", classes=("post", "note")), 4, False
    ),
}
RENAMED = Row(Submission("e1", "<m1@c>"), Submission("e1", "<m2@c>"))


class Site:
    """Two forwarders and the partners of all rows."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.partners: list[Partner] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.ports: list[tuple[int, int]] = []  # SMTP and LMTP of each forwarder
        self.servers: list[asyncio.Server] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def add_partner(self, takes_envelope_id: bool, resets_first: bool) -> Partner:
        partner = Partner(len(self.partners) + 1, takes_envelope_id, resets_first)
        server = await self._serve(partner.serve)
        partner.port = server.sockets[0].getsockname()[1]
        self.partners.append(partner)
        return partner

    async def _serve(self, handler: Callable[..., Awaitable[None]]) -> asyncio.Server:
        """Start a listener whose connections are closed with the site."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.append(writer)
            with contextlib.suppress(ConnectionError):
                await handler(reader, writer)

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Start the register and both forwarders, and wait until they have the list."""
        register = await self._serve(self._serve_register)
        for number in (1, 2):
            ports = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
            smtp, lmtp = (each.getsockname()[1] for each in ports)
            for each in ports:
                each.close()
            script = self.folder / f"forwarder-{number}.star"
            register_port = register.sockets[0].getsockname()[1]
            script.write_text(
                SCRIPT.format(name=f"fwd-{number}.example", register=register_port, smtp=smtp, lmtp=lmtp)
            )
            with open(self.folder / "log", "ab") as log:
                self.processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable, "-m", "honeybarrow", "run", str(script),
                        env={**os.environ, "TMPDIR": str(self.folder)}, stdout=log, stderr=log,
                    )
                )  # fmt: skip
            self.ports.append((smtp, lmtp))
        for smtp, _ in self.ports:
            await self._wait_until_listed(smtp)

    async def _wait_until_listed(self, port: int) -> None:
        probe = Partner(len(self.partners), True, False)
        for _ in range(150):
            await asyncio.sleep(0.1)
            try:
                await hand_in(port, probe, Submission(body="probe"), GIVE_UP_S)
                return
            except (AssertionError, OSError):
                continue
        raise AssertionError((self.folder / "log").read_text())

    async def _serve_register(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        partners = [{"number": each.number, "name": each.name, "kind": "shop"} for each in self.partners]
        endpoints = [
            {
                "target": f"{each.name}-a", "destination": each.number, "state": "ready", "zone": "",
                "weight": 20.0,
                "addresses": [{"host": "127.0.0.1", "port": each.port, "protocol": "smtp"}],
            }
            for each in self.partners
        ]  # fmt: skip
        update = {"kind": "full", "version": 1, "partners": partners, "endpoints": endpoints}
        writer.write(json.dumps(update).encode() + b"\n")
        await reader.read()

    async def play(self, row: Row, partner: Partner, is_other_forwarder: bool) -> list[str]:
        """Hand in both messages of a row; return the replies to the second."""
        is_batch = len(row.first.classes) > 1
        ports = [self.ports[0][is_batch], self.ports[is_other_forwarder][is_batch]]
        first = asyncio.create_task(hand_in(ports[0], partner, row.first, GIVE_UP_S))
        await asyncio.sleep(REPEAT_S)
        await first
        return await hand_in(ports[1], partner, row.second, MAX_WAIT_S)

    async def close(self) -> None:
        for process in self.processes:
            process.kill()
            await process.wait()
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.1)  # the handlers read the ends of their connections


def run_on_site(folder: Path, rows: Callable[[Site], object]) -> None:
    """Play rows on two forwarders."""

    async def run() -> None:
        site = Site(folder)
        try:
            await rows(site)  # type: ignore[misc]
        finally:
            await site.close()

    asyncio.run(run())


def test_a_message_takes_effect_once_and_different_messages_each(tmp_path: Path) -> None:
    async def play(site: Site) -> None:
        cases = [
            (name, row, takes_envelope_id, is_other)
            for name, row in ROWS.items()
            for takes_envelope_id in (True, False)
            for is_other in (False, True)
        ]
        partners = [await site.add_partner(case[2], case[1].is_first_reset) for case in cases]
        await site.add_partner(True, False)  # of the probes
        await site.start()
        replies = await asyncio.gather(
            *(site.play(case[1], partner, case[3]) for case, partner in zip(cases, partners, strict=True))
        )
        wrong = [
            f"{name} (partner takes ENVID: {takes}, other forwarder: {is_other}): "
            f"{partner.effects} effects, {reply}"
            for (name, row, takes, is_other), partner, reply in zip(cases, partners, replies, strict=True)
            if partner.effects != row.effects
            or any(not each.startswith("250") for each in reply)
            or not reply
        ]
        assert not wrong, "\n".join(wrong)

    run_on_site(tmp_path, play)


def test_a_repeat_under_another_message_id_goes_only_to_a_partner_that_takes_the_envelope_id(
    tmp_path: Path,
) -> None:
    async def play(site: Site) -> None:
        knowing = [await site.add_partner(True, True) for _ in range(2)]
        other = await site.add_partner(False, True)
        await site.add_partner(True, False)  # of the probes
        await site.start()
        replies = await asyncio.gather(
            site.play(RENAMED, knowing[0], False),
            site.play(RENAMED, knowing[1], True),
            site.play(RENAMED, other, False),
        )
        assert [partner.effects for partner in (*knowing, other)] == [1, 1, 1]
        assert [reply[0][:3] for reply in replies] == ["250", "250", "554"], replies

    run_on_site(tmp_path, play)
