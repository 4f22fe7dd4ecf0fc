"""A message that must not run twice, refused by the front while its call is out, and handed in again."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mail_2 import Partner, start_mail_forwarder, submit  # noqa: E402
from peers_2 import Bench, CannotRunError, has_trouble, run_case  # noqa: E402

CLASS_NAME, DEADLINE_S = "payment", 28.0
PAYMENT = (
    f'message_class("{CLASS_NAME}", aim = "2s", deadline = "{DEADLINE_S:.0f}s", effect = "unsafe", '
    "worth = 3.0, late_share = 0.3)"
)
PARTNERS, SHUT_PARTNERS = 190, 70  # one message each, so 37% of the traffic is struck
SHUT_S = (8.5, 10.0)  # shortest and longest, from the first message
WORK_S = 0.55  # of a call
AGAIN_AFTER_S = 1.0  # from a refusal to the next time that the message is handed in


async def case(bench: Bench) -> list[str]:
    """Run the case; return the messages that were refused and took effect."""

    async def work() -> bool:
        await asyncio.sleep(WORK_S)
        return False

    partners = [Partner(bench, number, work) for number in range(1, PARTNERS + 1)]
    for partner in partners:
        partner.drops_repeats = False  # of a class that must not run twice
        await partner.start()
    ports = [await start_mail_forwarder(bench, partners, PAYMENT, f"forwarder-{each}") for each in (1, 2)]
    if has_trouble():
        for index, partner in enumerate(partners[:SHUT_PARTNERS]):
            shut_s = SHUT_S[0] + (SHUT_S[1] - SHUT_S[0]) * index / (SHUT_PARTNERS - 1)
            partner.opens_s = bench.record.now_s() + shut_s
    refused: dict[str, float] = {}

    async def hand_in(partner: Partner) -> None:
        order = os.urandom(6).hex()
        answer = await submit(bench, ports[0], partner, order, DEADLINE_S + 2.0, class_name=CLASS_NAME)
        if not answer.startswith("4"):
            return
        # Refused: it is harmless to hand it in again, and the front hands it to another forwarder.
        refused[order] = bench.record.now_s()
        await asyncio.sleep(AGAIN_AFTER_S)
        await submit(bench, ports[1], partner, order, DEADLINE_S + 2.0, class_name=CLASS_NAME)

    await asyncio.gather(*[hand_in(partner) for partner in partners])
    await asyncio.sleep(1.0)
    if not all(partner.ran for partner in partners[SHUT_PARTNERS:]):
        raise CannotRunError("not all partners that are open got their message")
    broken = []
    for partner in partners:
        for order, times in partner.ran.items():
            if len(times) > 1 or times[0] < refused.get(order, 0.0):
                again = f", again {times[1] - times[0]:.3f} s after the first time" if len(times) > 1 else ""
                broken.append(
                    f"{order} must not run twice; it ran {len(times)} times at {partner.name}: first "
                    f"{refused.get(order, 0.0) - times[0]:.3f} s before its client was refused{again}"
                )
    return broken


def main() -> int:
    """Run the case; return the exit status."""
    return run_case(case, HERE / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
