"""A crowded discovery at the address that a new configuration names, and targets that leave meanwhile."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers_2 import (  # noqa: E402
    Bench,
    Client,
    Discovery,
    Target,
    answer_at_once,
    has_trouble,
    make_settings,
    message_class,
    run_case,
    watch_as_another,
)

DESTINATIONS = (3, 4, 5, 6)
CALL_WAIT_S = 2.0  # after which a call for the list that waits in turn fails
CROWDED_S = 6.6  # from SIGHUP, in which no call of this forwarder gets its turn
CHANGE_AFTER_S = 0.2  # from SIGHUP to the change of the list
TOLD_AFTER_S, GRACE_S, SLACK_S = 6.0, 0.25, 0.05  # the longest time that any page gives
REPLACED_AFTER_S = 6.35  # from the change: the old targets end and others start at their addresses
OTHER_DESTINATION = 9
RATE = 60.0  # messages a second
LENGTH_S = 10.0  # of load from SIGHUP on


async def case(bench: Bench) -> list[str]:
    """Run the case; return the calls that broke the rule."""
    discovery, client = Discovery(bench), Client(bench)
    targets: dict[str, Target] = {}
    for destination in DESTINATIONS:
        for part in "ab":
            target = targets[f"s-{destination}{part}"] = Target(bench, f"s-{destination}{part}")
            await target.start()
            discovery.add(target.name, target.address, destination)
    leaving = [f"s-{DESTINATIONS[0]}a"]
    crowded_until_s = 0.0

    async def wait_in_turn() -> int:
        start_s = bench.record.now_s()
        if start_s >= crowded_until_s:
            return 200
        await asyncio.sleep(CALL_WAIT_S)
        return 503

    old, old_address = await bench.serve(discovery.handler("old", answer_at_once))
    _, new_address = await bench.serve(discovery.handler("new", wait_in_turn))
    settings = make_settings([message_class("card-status", "free", 4000, 12_000)])
    bench.write_config(old_address, discovery.item(None), settings)
    await bench.start_forwarder(old_address)

    async def load(until_s: float) -> None:
        number, start_s = 0, bench.record.now_s()
        while (now_s := bench.record.now_s()) < until_s:
            if now_s - start_s >= number / RATE:
                bench.spawn(client.submit("card-status", DESTINATIONS[number % len(DESTINATIONS)], 12_000))
                number += 1
            else:
                await asyncio.sleep(0.002)

    bench.spawn(watch_as_another(bench, new_address))
    await load(bench.record.now_s() + 3.0)
    bench.write_config(new_address, discovery.item(None), settings)
    reload_s = bench.record.now_s()
    crowded_until_s = reload_s + CROWDED_S if has_trouble() else 0.0
    old.close()  # the old address accepts no new connection
    bench.signal(signal.SIGHUP)
    loading = bench.spawn(load(reload_s + LENGTH_S))
    await asyncio.sleep(CHANGE_AFTER_S)
    changed_s = bench.record.now_s()
    discovery.change(leaving, "leaving")
    await asyncio.sleep(max(0.0, changed_s + REPLACED_AFTER_S - bench.record.now_s()))
    others = {name: Target(bench, f"new-{name}") for name in leaving}
    for name, other in others.items():
        await targets[name].end()
        await other.start(targets[name].address)
        discovery.add(other.name, other.address, OTHER_DESTINATION)
        discovery.change([other.name], "active")
    discovery.change(leaving, "left")
    await loading
    await asyncio.sleep(0.5)
    last_s = changed_s + TOLD_AFTER_S + GRACE_S + SLACK_S

    def describe(at_s: float) -> str:
        return (
            f"{at_s - changed_s:.3f} s after it was listed as leaving, {at_s - reload_s:.3f} s after SIGHUP"
        )

    late = [
        f"{message} at {name}, {describe(at_s)}"
        for name in leaving
        for at_s, message in targets[name].calls
        if at_s > last_s
    ]
    # No client handed in a message for the destination of the new targets.
    foreign = [
        f"{message}, for destination {name[2]}, ran at {other.name} of destination {OTHER_DESTINATION}, "
        f"at the address of {name}, {describe(at_s)}"
        for name, other in others.items()
        for at_s, message in other.calls
        if at_s > last_s
    ]
    taken = sum(status in (200, 202) for status in client.answers.values())
    bench.record.add(
        f"handed in {len(client.answers)}, taken on {taken}, "
        f"late at leaving targets {len(late)}, at targets of another destination {len(foreign)}"
    )
    return foreign + late


def main() -> int:
    """Run the case; return the exit status."""
    return run_case(case, HERE / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
