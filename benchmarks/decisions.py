"""Benchmark of the decisions of one Sender in simulated time, with silent, closed or failing destinations.

    python -m benchmarks.decisions [--against CHECKOUT] [--quick] [--plot FILE.png]

Prints the CPU time per message, the slowest batch, the numbers of calls of ``urgency`` and
``choose_endpoint`` per message, which do not depend on the machine, and the bytes per destination and per
waiting message. With --against the benchmark of another checkout runs afterwards with the same options.
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
    """Parameters of a run: ``rate`` messages per second to ``destinations``, ``faulty`` of which fail."""

    destinations: int
    faulty: int = 0
    fault: str = "silent"  # silent, shut or failing
    rate: int = 600
    seconds: float = 10.0
    classes: str = "one"
    max_open: int = 100_000


@dataclass
class Figures:
    """Results of a run; ``urgency_calls`` and ``endpoint_choices`` are numbers of calls per message."""

    messages: int
    cpu_us: float
    worst_ms: float
    urgency_calls: float
    endpoint_choices: float
    answers: Counter[str]
    waiting: int


@contextmanager
def count_calls(names: Sequence[str]) -> Iterator[Counter[str]]:
    """Count the calls of these functions of the admission module."""
    counts: Counter[str] = Counter()
    originals = {name: getattr(admission, name) for name in names}

    def counting(name: str) -> Callable[..., Any]:
        def counting_call(*arguments: Any) -> Any:
            counts[name] += 1
            return originals[name](*arguments)

        return counting_call

    for name in names:
        setattr(admission, name, counting(name))
    try:
        yield counts
    finally:
        for name, original in originals.items():
            setattr(admission, name, original)


def run(load: Load, seed: int = 1) -> Figures:
    """Simulate one Sender with this load."""
    with count_calls(("urgency", "choose_endpoint")) as counts:
        return _run(load, seed, counts)


def _run(load: Load, seed: int, counts: Counter[str]) -> Figures:
    settings = Settings(
        classes=CLASSES[load.classes],
        kinds=(DestinationKind("kind"),),
        slots=max(3, load.rate // 4),
        max_open=load.max_open,
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
        at_us = 1000 + int(number * SECOND / load.rate)
        message_class = settings.classes[number % len(settings.classes)]
        key = rng.randrange(50) if message_class.is_ordered else None
        destination = rng.randrange(load.destinations)
        heapq.heappush(
            due,
            (
                at_us,
                order,
                MessageArrived(
                    f"m{number}", message_class.name, destination, message_class.deadline_us, order_key=key
                ),
            ),
        )
        order += 1
    messages = order
    attempts: Counter[str] = Counter()
    answers: Counter[str] = Counter()
    worst_s, cpu_s, max_held = 0.0, 0.0, 0
    end_us = 1000 + int(load.seconds * SECOND)
    while due and due[0][0] <= end_us:
        now_us = due[0][0]
        events = []
        while due and due[0][0] == now_us:
            event = heapq.heappop(due)[2]
            events.append(event)
            if isinstance(event, AttemptFinished) and event.status is AttemptStatus.OK:
                answers["delivered"] += 1
        started_s = time.process_time()
        actions = sender.handle(now_us, events)
        elapsed_s = time.process_time() - started_s
        cpu_s, worst_s = cpu_s + elapsed_s, max(worst_s, elapsed_s)
        max_held = max(max_held, len(sender.state.messages))
        for action in actions:
            order += 1
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now_us + action.delay_us, order, TimerFired(action.name)))
            elif isinstance(action, SendAttempt):
                number, attempts[action.message] = attempts[action.message], attempts[action.message] + 1
                status, duration_us, retry_after_us = AttemptStatus.OK, CALL_US, 0
                if int(action.target[1:]) < load.faulty:
                    status, duration_us, retry_after_us = {
                        "silent": (AttemptStatus.TIMEOUT, action.timeout_us, 0),
                        "shut": (AttemptStatus.FULL, CALL_US // 10, 800_000),
                        "failing": (AttemptStatus.ERROR, CALL_US, 0),
                    }[load.fault]
                finished = AttemptFinished(
                    action.message,
                    number,
                    action.target,
                    status,
                    duration_us,
                    status is AttemptStatus.OK,
                    retry_after_us,
                )
                heapq.heappush(due, (now_us + duration_us, order, finished))
            elif isinstance(action, ReturnToClient | FailPermanently):
                answers[type(action).__name__] += 1
    return Figures(
        messages,
        cpu_s / messages * 1e6,
        worst_s * 1e3,
        counts["urgency"] / messages,
        counts["choose_endpoint"] / messages,
        answers,
        max_held,
    )


def measure_memory() -> tuple[float, float]:
    """Return the bytes per destination and per waiting message."""
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
    """Plot the costs by number of destinations, with a line for each share of silent ones."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (cost, worst) = pyplot.subplots(1, 2, figsize=(10, 4))
    plain = [
        (load, figures)
        for load, figures in rows
        if load.classes == "one" and load.max_open == Load(1).max_open
    ]
    for part, name in ((0, "none silent"), (2, "a tenth silent"), (10, "half silent")):
        line = [
            (load.destinations, figures.cpu_us, figures.worst_ms)
            for load, figures in plain
            if load.fault == "silent" and load.faulty == load.destinations * part // 20
        ]
        sizes = [size for size, _, _ in line]
        cost.plot(sizes, [us for _, us, _ in line], marker="o", label=name)
        worst.plot(sizes, [ms for _, _, ms in line], marker="o", label=name)
    for axes, title in ((cost, "CPU a message, us"), (worst, "worst batch, ms")):
        axes.set(xscale="log", xlabel="destinations", title=title, ylim=(0, None))
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def list_loads(quick: bool) -> list[Load]:
    """Return the loads that are measured."""
    sizes = [24, 240, 2000] if quick else [24, 240, 2000, 10_000]
    rows = [Load(size, size * part // 20) for size in sizes for part in (0, 2, 10)]
    rows += [Load(240, 24, fault) for fault in ("shut", "failing")]
    rows += [Load(240, 120, fault) for fault in ("shut", "failing")]
    rows += [Load(240, faulty, classes="mixed") for faulty in (0, 24, 120)]
    rows += [Load(240, 120, max_open=600), Load(240, 24, max_open=600, rate=1800)]
    return rows


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", type=Path, help="another checkout whose benchmark runs afterwards")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--plot", type=Path, help="write a plot of the costs by number of destinations")
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    print(
        f"{'destinations':>12} {'faulty':>6} {'fault':8} {'classes':7} {'max_open':>8}"
        f" {'us/msg':>8} {'worst ms':>8} {'press':>7} {'choose':>7} {'waiting':>7}"
    )
    reduce_gc_frequency()  # as forwarders do
    rows: list[tuple[Load, Figures]] = []
    for load in list_loads(args.quick):
        load = Load(
            load.destinations, load.faulty, load.fault, load.rate, args.seconds, load.classes, load.max_open
        )
        best = min((run(load) for _ in range(3)), key=lambda figures: figures.cpu_us)
        rows.append((load, best))
        gc.collect()
        fault = load.fault if load.faulty else "-"
        print(
            f"{load.destinations:12} {load.faulty:6} {fault:8} {load.classes:7} {load.max_open:8}"
            f" {best.cpu_us:8.0f} {best.worst_ms:8.1f} {best.urgency_calls:7.1f} {best.endpoint_choices:7.1f}"
            f" {best.waiting:7}",
            flush=True,
        )
    if args.plot:
        plot(rows, args.plot)
    print("bytes a destination, a message waiting: {:.0f}, {:.0f}".format(*measure_memory()))
    if args.against:
        options = ["--quick"] * args.quick + ["--seconds", str(args.seconds)]
        subprocess.run([sys.executable, "-m", "benchmarks.decisions", *options], cwd=args.against, check=True)


if __name__ == "__main__":
    main()
