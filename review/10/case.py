"""A restart with pushed lists while discovery is crowded, after targets were replaced at their addresses."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers_2 import (  # noqa: E402
    Bench,
    CannotRunError,
    Client,
    Discovery,
    Target,
    has_trouble,
    make_settings,
    message_class,
    run_case,
    watch_as_another,
)

DESTINATIONS = (3, 4, 5, 6)
OTHER_DESTINATION = 9
CALL_WAIT_S = 2.0  # after which a call for the list that waits in turn fails
CROWDED_S = 2.3  # from the start of the new process
GRACE_S, SLACK_S = 0.25, 0.05
RATE = 40.0  # messages a second
LENGTH_S = 6.0  # of load from the new start on


async def case(bench: Bench) -> list[str]:
    """Run the case; return the calls that broke the rule."""
    discovery, client = Discovery(bench), Client(bench)
    targets: dict[str, Target] = {}
    for destination in DESTINATIONS:
        for part in "ab":
            target = targets[f"s-{destination}{part}"] = Target(bench, f"s-{destination}{part}")
            await target.start()
            discovery.add(target.name, target.address, destination)
    replaced = [name for name in targets if name.endswith("a")]
    crowded_until_s = 0.0

    async def wait_in_turn() -> int:
        if bench.record.now_s() >= crowded_until_s:
            return 200
        await asyncio.sleep(CALL_WAIT_S)
        return 503

    _, address = await bench.serve(discovery.handler("only", wait_in_turn))
    settings = make_settings([message_class("card-status", "free", 4000, 12_000)], membershipMode="pushed")
    bench.write_config(address, discovery.item(None), settings)
    await bench.start_forwarder(address)

    async def load(until_s: float) -> None:
        number, start_s = 0, bench.record.now_s()
        while (now_s := bench.record.now_s()) < until_s:
            if now_s - start_s >= number / RATE:
                bench.spawn(client.submit("card-status", DESTINATIONS[number % len(DESTINATIONS)], 12_000))
                number += 1
            else:
                await asyncio.sleep(0.002)

    bench.spawn(watch_as_another(bench, address))
    await load(bench.record.now_s() + 2.0)
    await asyncio.sleep(0.5)
    bench.signal(signal.SIGKILL)
    assert bench.process is not None
    await bench.process.wait()
    killed_s = bench.record.now_s()
    client.idle.clear()
    await asyncio.sleep(0.1)
    discovery.change(replaced, "leaving")
    await asyncio.sleep(0.2)
    others = {name: Target(bench, f"new-{name}") for name in replaced}
    discovery.change(replaced, "left")
    for name, other in others.items():
        await targets[name].end()
        await other.start(targets[name].address)
        discovery.add(other.name, other.address, OTHER_DESTINATION)
        discovery.change([other.name], "active")
    await asyncio.sleep(max(0.0, killed_s + 0.6 - bench.record.now_s()))
    started_s = bench.record.now_s()
    crowded_until_s = started_s + CROWDED_S if has_trouble() else 0.0
    # The configuration still names the list that the forwarder had.
    await bench.start_forwarder(address)
    before = len(client.answers)
    await load(started_s + LENGTH_S)
    await asyncio.sleep(0.5)
    taken = sum(status in (200, 202) for status in list(client.answers.values())[before:])
    if not taken:
        raise CannotRunError("the new process took nothing on")
    foreign = [
        f"{message}, for destination {name[2]}, ran at {other.name} of destination {OTHER_DESTINATION}, "
        f"at the address of {name}, {at_s - started_s:.3f} s after the start of the new process"
        for name, other in others.items()
        for at_s, message in other.calls
        if at_s > started_s + GRACE_S + SLACK_S
    ]
    bench.record.add(f"taken on after the restart {taken}, at targets of another destination {len(foreign)}")
    return foreign


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
