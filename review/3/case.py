"""After a restart, messages go by the old list to the address of a target that belongs to another partner."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

CASE = Path(__file__).resolve().parent
RECORD = CASE / "record.txt"  # what was sent, answered and run
sys.path.insert(0, str(CASE.parent))

from standins import TROUBLE, CannotRunError, Stage, entry, play, read_message, service, settings  # noqa: E402

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
DOWN_S = 0.6  # from SIGKILL to the next start
DISCOVERY_S = 1.5  # until discovery answers a call; a call fails after 2 s
GRACE_S = 0.25 + 0.05  # of a change once it is told; each time limit grows by 50 ms
MESSAGES = 4
LEFT_MS = 11_000
WAIT_MS = 1500  # that the full target tells


async def scenario(stage: Stage) -> list[str]:
    """Play the case; return the breaks of the rule."""
    group_at: dict[str, int] = {}  # by listener: the group of the target that has its address now
    breaks: list[str] = []
    served: set[str] = set()

    def target(listener: str) -> Handler:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (message := await read_message(reader)) is not None:
                name, group = message[1]["x-correlation-id"], group_at[listener]
                if stage.index == 1:
                    stage.record.write(f"target at {listener}, group {group}: call {name}, answers 429")
                    wait = f"X-Come-Back-Ms: {WAIT_MS}\r\nContent-Length: 0\r\n\r\n"
                    writer.write(b"HTTP/1.1 429 Full\r\n" + wait.encode())
                    continue
                stage.record.write(f"target at {listener}, group {group}: call {name}, answers 200")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                served.add(name)
                told_s = stage.started_s if TROUBLE else changed_s
                if group != 7 and stage.record.now() > told_s + GRACE_S:
                    after_s = stage.record.now() - told_s
                    breaks.append(
                        f"{name} (dest=7) ran at a target of group {group}, {after_s:.2f} s after it was told"
                    )

        return handle

    changed_s = 0.0  # when an open watch was told of the changes
    stage.watch_delay_s = DISCOVERY_S
    await stage.start_platform()
    ports = {name: (await stage.serve(target(name)))[1] for name in ("p", "q", "r")}
    group_at |= {"p": 7, "q": 8}
    stage.endpoints = [entry("s-1", ports["p"], 7), entry("s-2", ports["q"], 8)]
    services = [service("notice", "free", 3000, 12000), service("pay", "single_shot", 3000, 12000)]
    configuration = settings(services, "pushed")
    known = stage.whole_list()
    stage.write_config(configuration, known)
    process = await stage.start_forwarder()
    while not stage.watchers:
        await asyncio.sleep(0.05)
    for number in range(MESSAGES):
        _, status = await stage.submit(f"m{number}", ("notice", "pay")[number % 2], LEFT_MS, 7)
        if status != 202:
            raise CannotRunError("a message was not taken on")
    await asyncio.sleep(0.3)

    if TROUBLE:
        stage.kill(process)
        process.wait()
    await asyncio.sleep(DOWN_S / 2)
    # One target is replaced by a new one; another new one gets the address of the one that has gone.
    group_at |= {"p": 8, "r": 7}
    stage.change_list(
        entry("s-1", ports["p"], 7, "left"), entry("s-3", ports["r"], 7), entry("s-4", ports["p"], 8)
    )
    changed_s = stage.record.now()
    await asyncio.sleep(DOWN_S / 2)
    if TROUBLE:  # the list as this forwarder last had it; what the agent has counts as told from now on
        stage.write_config(configuration, known)
        await stage.start_forwarder()
    await asyncio.sleep(8.0)
    if not served:
        raise CannotRunError("no message was sent")
    return breaks


def main() -> None:
    """Play the case, write record.txt and exit with the status."""
    play(RECORD, scenario)


main()
