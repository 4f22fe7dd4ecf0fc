"""What a decision costs: one Sender alone, simulated time, destinations that are silent, shut or failing.

    python -m benchmarks.decisions [--against OLD_DECIDE.py] [--quick] [--plot FILE.png]

Prints us of CPU a message, the worst single batch, `_press` and `_choose` a message (counts that no machine
changes), and bytes a destination and a message waiting. With --against the older module runs the same
traffic in the same run.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import importlib.util
import random
import sys
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from honeybarrow import decide
from honeybarrow import interface as hb
from honeybarrow.collector import calm

SECOND = 1_000_000
CALL_US = 100_000
CLASSES = {
    "one": (hb.MessageClass("one", 4 * SECOND, 16 * SECOND, late_share=0.4),),
    "mixed": (
        hb.MessageClass("one", 4 * SECOND, 16 * SECOND, late_share=0.4),
        hb.MessageClass("keyed", 3 * SECOND, 20 * SECOND, hb.Effect.KEYED, window_us=5 * SECOND, worth=3.0),
        hb.MessageClass("unsafe", 2 * SECOND, 24 * SECOND, hb.Effect.UNSAFE, worth=4.0, late_share=0.5),
        hb.MessageClass("order", 4 * SECOND, 16 * SECOND, keep_order=True, late_share=0.3),
    ),
}


@dataclass(frozen=True)
class Load:
    """One run: ``rate`` messages a second over ``destinations``, ``sick`` of them in trouble."""

    destinations: int
    sick: int = 0
    trouble: str = "silent"  # silent, shut, failing
    rate: int = 600
    seconds: float = 10.0
    classes: str = "one"
    room: int = 100_000


@dataclass
class Figures:
    """What a run cost."""

    messages: int
    cpu_us: float
    worst_ms: float
    press: float
    choose: float
    answers: Counter[str]
    waiting: int


def run(load: Load, module: Any = decide, seed: int = 1) -> Figures:
    """Drive one Sender through the load."""
    counts: Counter[str] = Counter()

    class Counting(module.Sender):  # type: ignore[misc]
        def _press(self, message: Any) -> Any:
            counts["press"] += 1
            return super()._press(message)

        def _choose(self, message: Any) -> Any:
            counts["choose"] += 1
            return super()._choose(message)

    settings = hb.Settings(
        classes=CLASSES[load.classes],
        kinds=(hb.Kind("kind"),),
        slots=max(3, load.rate // 4),
        max_open=load.room,
        attempt_cap=12,
        retry_after=True,
        max_retry_after_us=3 * SECOND,
    )
    rng = random.Random(seed)
    sender = Counting(settings, seed)
    rows = tuple(hb.Endpoint(f"e{i}", i, hb.EndpointState.READY, "kind") for i in range(load.destinations))
    sender.handle(0, [hb.MembershipNews(hb.ListKind.FULL, 1, rows)])
    due: list[tuple[int, int, Any]] = []
    order = 0
    for number in range(int(load.rate * load.seconds)):
        at = 1000 + int(number * SECOND / load.rate)
        kind = settings.classes[number % len(settings.classes)]
        key = rng.randrange(50) if kind.keep_order else None
        where = rng.randrange(load.destinations)
        heapq.heappush(
            due, (at, order, hb.MessageArrived(f"m{number}", kind.name, where, kind.deadline_us, key=key))
        )
        order += 1
    messages = order
    tries: Counter[str] = Counter()
    answers: Counter[str] = Counter()
    worst, cpu, most = 0.0, 0.0, 0
    last = 1000 + int(load.seconds * SECOND)
    while due and due[0][0] <= last:
        now = due[0][0]
        events = []
        while due and due[0][0] == now:
            event = heapq.heappop(due)[2]
            events.append(event)
            if isinstance(event, hb.AttemptEnded) and event.status is hb.Status.OK:
                answers["delivered"] += 1
        began = time.process_time()
        actions = sender.handle(now, events)
        took = time.process_time() - began
        cpu, worst = cpu + took, max(worst, took)
        most = max(most, len(sender.messages))
        for action in actions:
            order += 1
            if isinstance(action, hb.SetTimer):
                heapq.heappush(due, (now + action.delay_us, order, hb.TimerFired(action.mark)))
            elif isinstance(action, hb.Send):
                number, tries[action.message] = tries[action.message], tries[action.message] + 1
                status, after, wait = hb.Status.OK, CALL_US, 0
                if int(action.target[1:]) < load.sick:
                    status, after, wait = {
                        "silent": (hb.Status.TIMEOUT, action.timeout_us, 0),
                        "shut": (hb.Status.FULL, CALL_US // 10, 800_000),
                        "failing": (hb.Status.ERROR, CALL_US, 0),
                    }[load.trouble]
                ended = hb.AttemptEnded(
                    action.message, number, action.target, status, after, status is hb.Status.OK, wait
                )
                heapq.heappush(due, (now + after, order, ended))
            elif isinstance(action, hb.HandBack | hb.GiveUp):
                answers[type(action).__name__] += 1
    return Figures(
        messages,
        cpu / messages * 1e6,
        worst * 1e3,
        counts["press"] / messages,
        counts["choose"] / messages,
        answers,
        most,
    )


def memory() -> tuple[float, float]:
    """Bytes a destination, and bytes a message that waits."""
    tracemalloc.start()
    settings = hb.Settings(CLASSES["one"], (hb.Kind("kind"),), slots=1, max_open=100_000)
    sender = decide.Sender(settings, 1)
    before = tracemalloc.get_traced_memory()[0]
    rows = [hb.Endpoint(f"e{i}", i, hb.EndpointState.READY, "kind") for i in range(10_000)]
    sender.handle(0, [hb.MembershipNews(hb.ListKind.FULL, 1, tuple(rows))])
    del rows
    listed = tracemalloc.get_traced_memory()[0]
    for number in range(10_000):
        sender.handle(number, [hb.MessageArrived(f"m{number}", "one", number, 16 * SECOND)])
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (listed - before) / 10_000, (held - listed) / 10_000


def older(path: Path) -> Any:
    """An older module from a file, beside the present one."""
    spec = importlib.util.spec_from_file_location("older_decide", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["older_decide"] = module
    spec.loader.exec_module(module)
    return module


def plot(rows: list[tuple[Load, Figures]], path: Path) -> None:
    """Cost over the number of destinations, a line for each part of them that is silent."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (cost, worst) = pyplot.subplots(1, 2, figsize=(10, 4))
    plain = [(load, got) for load, got in rows if load.classes == "one" and load.room == Load(1).room]
    for part, name in ((0, "none silent"), (2, "a tenth silent"), (10, "half silent")):
        line = [
            (load.destinations, got.cpu_us, got.worst_ms)
            for load, got in plain
            if load.trouble == "silent" and load.sick == load.destinations * part // 20
        ]
        sizes = [size for size, _, _ in line]
        cost.plot(sizes, [us for _, us, _ in line], marker="o", label=name)
        worst.plot(sizes, [ms for _, _, ms in line], marker="o", label=name)
    for axes, title in ((cost, "CPU a message, us"), (worst, "worst batch, ms")):
        axes.set(xscale="log", xlabel="destinations", title=title, ylim=(0, None))
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def loads(quick: bool) -> list[Load]:
    sizes = [24, 240, 2000] if quick else [24, 240, 2000, 10_000]
    rows = [Load(size, size * part // 20) for size in sizes for part in (0, 2, 10)]
    rows += [Load(240, 24, trouble) for trouble in ("shut", "failing")]
    rows += [Load(240, 120, trouble) for trouble in ("shut", "failing")]
    rows += [Load(240, sick, classes="mixed") for sick in (0, 24, 120)]
    rows += [Load(240, 120, room=600), Load(240, 24, room=600, rate=1800)]
    return rows


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", type=Path)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--plot", type=Path, help="write the growth as a picture")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--older-sick-most", type=int, default=24, help="skip worse loads with the older module"
    )
    args = parser.parse_args()
    before = older(args.against) if args.against else None
    print(
        f"{'destinations':>12} {'sick':>5} {'trouble':8} {'classes':7} {'room':>6}"
        f" {'us/msg':>8} {'worst ms':>8} {'press':>7} {'choose':>7} {'waiting':>7}   older us/msg"
    )
    calm()  # as in a forwarder
    rows: list[tuple[Load, Figures]] = []
    for load in loads(args.quick):
        load = Load(
            load.destinations, load.sick, load.trouble, load.rate, args.seconds, load.classes, load.room
        )
        best = min((run(load) for _ in range(3)), key=lambda figures: figures.cpu_us)
        rows.append((load, best))
        text = ""
        gc.collect()
        if before is not None and load.sick <= args.older_sick_most:
            text = f"{run(load, before).cpu_us:8.0f}"
        trouble = load.trouble if load.sick else "-"
        print(
            f"{load.destinations:12} {load.sick:5} {trouble:8} {load.classes:7} {load.room:6}"
            f" {best.cpu_us:8.0f} {best.worst_ms:8.1f} {best.press:7.1f} {best.choose:7.1f}"
            f" {best.waiting:7}   {text}",
            flush=True,
        )
    if args.plot:
        plot(rows, args.plot)
    print("bytes a destination, a message waiting: {:.0f}, {:.0f}".format(*memory()))


if __name__ == "__main__":
    main()
