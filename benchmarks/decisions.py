"""What a decision costs: one Sender alone, simulated time, destinations that are silent, shut or failing.

    python -m benchmarks.decisions [--against CHECKOUT] [--quick] [--plot FILE.png]

Prints us of CPU a message, the worst single batch, how often urgency is computed and an endpoint chosen for
each message (counts that no machine changes), and bytes a destination and a message waiting. With --against
the benchmark of another checkout runs right after it, with the same options.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import random
import subprocess
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from honeybarrow.actions import FailPermanently, ReturnToClient, SendAttempt, SetTimer
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    Endpoint,
    EndpointState,
    MembershipUpdate,
    MessageArrived,
    TimerFired,
    UpdateKind,
)
from honeybarrow.gc_tuning import reduce_gc_frequency
from honeybarrow.policy import admission
from honeybarrow.policy.sender import Sender
from honeybarrow.settings import DestinationKind, Idempotency, MessageClass, Settings

SECOND = 1_000_000
CALL_US = 100_000
CLASSES = {
    "one": (MessageClass("one", 4 * SECOND, 16 * SECOND, late_utility=0.4),),
    "mixed": (
        MessageClass("one", 4 * SECOND, 16 * SECOND, late_utility=0.4),
        MessageClass(
            "keyed",
            3 * SECOND,
            20 * SECOND,
            Idempotency.IDEMPOTENT_WITH_KEY,
            key_window_us=5 * SECOND,
            priority_weight=3.0,
        ),
        MessageClass(
            "unsafe",
            2 * SECOND,
            24 * SECOND,
            Idempotency.NON_IDEMPOTENT,
            priority_weight=4.0,
            late_utility=0.5,
        ),
        MessageClass("order", 4 * SECOND, 16 * SECOND, is_ordered=True, late_utility=0.3),
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


@contextmanager
def counted(names: Sequence[str]) -> Iterator[Counter[str]]:
    """Count the calls of functions of the admission module."""
    counts: Counter[str] = Counter()
    originals = {name: getattr(admission, name) for name in names}

    def counting(name: str) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            counts[name] += 1
            return originals[name](*arguments)

        return call

    for name in names:
        setattr(admission, name, counting(name))
    try:
        yield counts
    finally:
        for name, original in originals.items():
            setattr(admission, name, original)


def run(load: Load, seed: int = 1) -> Figures:
    """Drive one Sender through the load."""
    with counted(("urgency", "choose_endpoint")) as counts:
        return _run(load, seed, counts)


def _run(load: Load, seed: int, counts: Counter[str]) -> Figures:
    settings = Settings(
        classes=CLASSES[load.classes],
        kinds=(DestinationKind("kind"),),
        slots=max(3, load.rate // 4),
        max_open=load.room,
        max_attempts=12,
        allows_retry_after=True,
        max_retry_after_us=3 * SECOND,
    )
    rng = random.Random(seed)
    sender = Sender(settings, seed)
    rows = tuple(Endpoint(f"e{i}", i, EndpointState.READY, "kind") for i in range(load.destinations))
    sender.handle(0, [MembershipUpdate(UpdateKind.FULL, 1, rows)])
    due: list[tuple[int, int, Any]] = []
    order = 0
    for number in range(int(load.rate * load.seconds)):
        at = 1000 + int(number * SECOND / load.rate)
        kind = settings.classes[number % len(settings.classes)]
        key = rng.randrange(50) if kind.is_ordered else None
        where = rng.randrange(load.destinations)
        heapq.heappush(
            due, (at, order, MessageArrived(f"m{number}", kind.name, where, kind.deadline_us, order_key=key))
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
            if isinstance(event, AttemptFinished) and event.status is AttemptStatus.OK:
                answers["delivered"] += 1
        began = time.process_time()
        actions = sender.handle(now, events)
        took = time.process_time() - began
        cpu, worst = cpu + took, max(worst, took)
        most = max(most, len(sender.state.messages))
        for action in actions:
            order += 1
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now + action.delay_us, order, TimerFired(action.name)))
            elif isinstance(action, SendAttempt):
                number, tries[action.message] = tries[action.message], tries[action.message] + 1
                status, after, wait = AttemptStatus.OK, CALL_US, 0
                if int(action.target[1:]) < load.sick:
                    status, after, wait = {
                        "silent": (AttemptStatus.TIMEOUT, action.timeout_us, 0),
                        "shut": (AttemptStatus.FULL, CALL_US // 10, 800_000),
                        "failing": (AttemptStatus.ERROR, CALL_US, 0),
                    }[load.trouble]
                ended = AttemptFinished(
                    action.message, number, action.target, status, after, status is AttemptStatus.OK, wait
                )
                heapq.heappush(due, (now + after, order, ended))
            elif isinstance(action, ReturnToClient | FailPermanently):
                answers[type(action).__name__] += 1
    return Figures(
        messages,
        cpu / messages * 1e6,
        worst * 1e3,
        counts["urgency"] / messages,
        counts["choose_endpoint"] / messages,
        answers,
        most,
    )


def memory() -> tuple[float, float]:
    """Bytes a destination, and bytes a message that waits."""
    tracemalloc.start()
    settings = Settings(CLASSES["one"], (DestinationKind("kind"),), slots=1, max_open=100_000)
    sender = Sender(settings, 1)
    before = tracemalloc.get_traced_memory()[0]
    rows = [Endpoint(f"e{i}", i, EndpointState.READY, "kind") for i in range(10_000)]
    sender.handle(0, [MembershipUpdate(UpdateKind.FULL, 1, tuple(rows))])
    del rows
    listed = tracemalloc.get_traced_memory()[0]
    for number in range(10_000):
        sender.handle(number, [MessageArrived(f"m{number}", "one", number, 16 * SECOND)])
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (listed - before) / 10_000, (held - listed) / 10_000


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
    parser.add_argument("--against", type=Path, help="another checkout, whose benchmark runs afterwards")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--plot", type=Path, help="write the growth as a picture")
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    print(
        f"{'destinations':>12} {'sick':>5} {'trouble':8} {'classes':7} {'room':>6}"
        f" {'us/msg':>8} {'worst ms':>8} {'press':>7} {'choose':>7} {'waiting':>7}"
    )
    reduce_gc_frequency()  # as in a forwarder
    rows: list[tuple[Load, Figures]] = []
    for load in loads(args.quick):
        load = Load(
            load.destinations, load.sick, load.trouble, load.rate, args.seconds, load.classes, load.room
        )
        best = min((run(load) for _ in range(3)), key=lambda figures: figures.cpu_us)
        rows.append((load, best))
        gc.collect()
        trouble = load.trouble if load.sick else "-"
        print(
            f"{load.destinations:12} {load.sick:5} {trouble:8} {load.classes:7} {load.room:6}"
            f" {best.cpu_us:8.0f} {best.worst_ms:8.1f} {best.press:7.1f} {best.choose:7.1f}"
            f" {best.waiting:7}",
            flush=True,
        )
    if args.plot:
        plot(rows, args.plot)
    print("bytes a destination, a message waiting: {:.0f}, {:.0f}".format(*memory()))
    if args.against:
        options = ["--quick"] * args.quick + ["--seconds", str(args.seconds)]
        subprocess.run([sys.executable, "-m", "benchmarks.decisions", *options], cwd=args.against, check=True)


if __name__ == "__main__":
    main()
