"""A keyed message, named by an envelope id, that is handed in again after its first call was reset."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mail_2 import DEADLINE_S, Partner, find_second_effects, start_mail_forwarder, submit  # noqa: E402
from peers_2 import Bench, CannotRunError, has_trouble, run_case  # noqa: E402

RESETS_S = 1.2  # from the first hand-in, in which the partners do the work and reset the connection
RESET_AFTER_S = 0.6  # from the end of a message to the reset
GIVE_UP_S = 0.4  # after which a client closes its connection
AGAIN_AFTER_S = 1.0  # until it hands the message in again
PARTNERS, STRUCK = 20, 5  # one message each, so a quarter of the traffic is struck


async def case(bench: Bench) -> list[str]:
    """Run the case; return the messages that took effect twice."""
    resets_until_s = 0.0

    async def reset() -> bool:
        if bench.record.now_s() >= resets_until_s:
            return False
        await asyncio.sleep(RESET_AFTER_S)
        return True

    async def answer_at_once() -> bool:
        return False

    partners = [
        Partner(bench, number, reset if number <= STRUCK else answer_at_once)
        for number in range(1, PARTNERS + 1)
    ]
    for partner in partners:
        await partner.start()
    port = await start_mail_forwarder(bench, partners)
    resets_until_s = bench.record.now_s() + RESETS_S if has_trouble() else 0.0

    async def hand_in(partner: Partner) -> None:
        order = os.urandom(6).hex()
        if await submit(bench, port, partner, order, GIVE_UP_S, uses_envelope_id=True):
            return
        await asyncio.sleep(AGAIN_AFTER_S)
        await submit(bench, port, partner, order, DEADLINE_S + 2.0, uses_envelope_id=True)

    await asyncio.gather(*[hand_in(partner) for partner in partners])
    await asyncio.sleep(1.0)
    if not all(partner.ran for partner in partners):
        raise CannotRunError("not all partners got their message")
    return [
        f"{order} ran {len(times)} times at {partner.name}: again {times[1] - times[0]:.3f} s after the "
        "first time"
        for partner, order, times in find_second_effects(partners)
    ]


def main() -> int:
    """Run the case; return the exit status."""
    return run_case(case, HERE / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
