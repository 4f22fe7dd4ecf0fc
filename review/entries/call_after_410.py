"""A message is called again after its 410: an earlier spoilt answer on the connection was read as its own.

Shows an entry (issue 57, and a failure of tests/test_ended_messages_processes.py). It is no case of the
review, since the answer that comes twice does so while another request waits. Bytes take 3 ms each way.
``TROUBLE=0``: no answer comes twice and none is spoilt.

    .venv/bin/python review/entries/call_after_410.py  # writes record.txt beside itself
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    TROUBLE,
    CannotRunError,
    Stage,
    entry,
    play,
    read_message,
    service,
    settings,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
SPOILT = b"HTTP/1.1 2\x00\xff garbage\n\n"
COPY_S = 0.01  # from the request for b to the copy of the answer to a
ANSWER_S = 0.07  # from the request for b to its answer
GONE_S = 0.001  # from then to the 410 for c
DELAY_S = 0.003  # of the network, each way


class Target:
    """Target that answers a with 200, b with spoilt bytes and c with 410."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.port = stage, 0
        self.breaks: list[str] = []
        self.has_shared = False  # c came on the connection of a and b
        self._over_s: dict[str, float] = {}  # by message: when its 410 was written

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection, one after the other."""
        requests = 0
        while (message := await read_message(reader)) is not None:
            name = message[1]["x-correlation-id"]
            now_s = self.stage.record.write(f"target: call {name}, request {requests} of its connection")
            if name in self._over_s:
                self.breaks.append(f"{name} called {now_s - self._over_s[name]:.3f} s after its 410")
            if name == "c":
                self.has_shared = self.has_shared or requests == 2
                await asyncio.sleep(GONE_S)
                if not writer.transport.is_closing():
                    writer.write(GONE)
                    self._over_s.setdefault(name, self.stage.record.write("target: answers c with 410"))
            elif name == "b" and requests == 1:
                await self._answer_b(writer)
            else:
                writer.write(OK)
                self.stage.record.write(f"target: answers {name} with 200")
            requests += 1

    async def _answer_b(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(COPY_S)
        if TROUBLE:
            writer.write(OK)
            self.stage.record.write("target: the answer to a again")
        await asyncio.sleep(ANSWER_S - COPY_S)
        writer.write(SPOILT if TROUBLE else OK)
        self.stage.record.write(f"target: answers b {'with spoilt bytes' if TROUBLE else 'with 200'}")

    async def delay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass the bytes of one connection on to the target and back, each after the delay."""
        target_reader, target_writer = await asyncio.open_connection(HOST, self.port)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_on(reader, target_writer))
                group.create_task(self._pass_on(target_reader, writer))
        finally:
            target_writer.close()

    @staticmethod
    async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(DELAY_S, writer.write, data)
        except ConnectionError:
            pass  # reset by the forwarder, which the other side is told as an end
        loop.call_later(DELAY_S, writer.close)


async def scenario(stage: Stage) -> list[str]:
    """Play the three messages; return the breaks of the rule."""
    target = Target(stage)
    await stage.start_platform()
    _, target.port = await stage.serve(target.serve)
    _, port = await stage.serve(target.delay)
    stage.endpoints = [entry("s-1", port, 7)]
    stage.write_config(settings([service("notice", "free", 3000, 12000)], "pushed"), stage.whole_list())
    await stage.start_forwarder()
    while not stage.watchers:
        await asyncio.sleep(0.05)
    for name, wait_s in (("a", 0.1), ("b", 0.03), ("c", 3.0)):
        _, status = await stage.submit(name, "notice", 5000, 7)
        if status != 202:
            raise CannotRunError(f"{name} was not taken on")
        await asyncio.sleep(wait_s)
    if TROUBLE and not target.has_shared:
        raise CannotRunError("c did not share the connection of a and b")
    return target.breaks


def main() -> None:
    """Play it, write the record and exit: 1 if the rule was broken, 0 if it held, 2 if it was not played."""
    play(RECORD, scenario)


main()
