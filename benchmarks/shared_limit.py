"""Simulation of many senders that share the rate limits of destinations. The policy module runs alone.

Each of hundreds of senders gets a few messages per second, and a destination rejects the calls above a limit
for all senders together. Measures the part of the limits that is unused while messages wait, the share of
rejected calls, and the utility. Servers and clients are simple models.

    python -m benchmarks.shared_limit --senders 200 --seeds 1,2 --load 0.7
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from collections import defaultdict, deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from honeybarrow.actions import FailPermanently, ReturnToClient, SendAttempt, SetTimer
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    Endpoint,
    EndpointState,
    Event,
    MembershipUpdate,
    MessageArrived,
    TimerFired,
    UpdateKind,
)
from honeybarrow.policy.backoff import utility_at
from honeybarrow.policy.sender import Sender
from honeybarrow.sender_state import SECOND
from honeybarrow.settings import (
    DestinationKind,
    Idempotency,
    MessageClass,
    Settings,
    Tenant,
    UtilityDecay,
    WeightSource,
)

TICK_US = 5_000  # senders handle their events in batches at this interval
LATENCY_RANGE_US = (8_000, 30_000)  # of the network, one way
KINDS = ("large", "plain", "small")
KIND_COUNTS = {"large": 1, "plain": 2, "small": 3}
CLASSES = (
    MessageClass("state", 3 * SECOND, 12 * SECOND, late_utility=0.4, priority_weight=1.0),
    MessageClass(
        "post", 2 * SECOND, 12 * SECOND, Idempotency.IDEMPOTENT_WITH_KEY, "all", 5 * SECOND, 3.0, 0.3
    ),
    MessageClass(
        "pay", 2 * SECOND, 12 * SECOND, Idempotency.NON_IDEMPOTENT, priority_weight=4.0, late_utility=0.5
    ),
)
CLASS_SHARES = (0.48, 0.39, 0.13)  # of the messages; the last class goes to large destinations only
SERVICE_TIME_US = (130_000, 80_000, 130_000)  # mean, by class


@dataclass(frozen=True, slots=True)
class Shape:
    """Parameters of a run; ``load`` is the ratio of the usual message rate to that at full load."""

    senders: int = 200
    destinations: int = 14
    each_per_s: float = 6.5
    load: float = 0.7
    seconds: float = 30.0
    clumps: float = 0.1  # share of the messages that arrives in bursts to one destination
    burst: tuple[float, float, float] = (10.0, 16.0, 1.5)  # start and end in seconds, factor on the rate
    refused_count: bool = False  # whether rejected calls use up the limits
    rates: bool = False  # whether all limits are token buckets instead of windows
    skew: float = 0.8  # sigma of the lognormal distribution of the senders' traffic
    seed: int = 1


@dataclass(slots=True)
class Destination:
    """Server with a limit for all senders together: calls per window, token bucket or only its capacity."""

    number: int
    kind: str
    weight: float
    limit: float  # calls per second, 0 for none
    window_us: int  # 0 for a token bucket
    workers: int
    queue_capacity: int
    retry_after_share: float  # of the rejections that carry a retry delay
    speed: float  # factor on the service times
    listed_rate: float  # calls per second that the endpoint list states
    refused_count: bool  # whether rejected calls use up the limit
    busy_workers: int = 0
    queue: deque[tuple[int, Any]] = field(default_factory=deque)
    tokens: float = 0.0
    updated_us: int = 0
    window: int = -1
    window_calls: int = 0
    accepted: int = 0
    rejected: int = 0
    accepted_by_second: list[int] = field(default_factory=list)

    def try_accept(self, now_us: int, rng: random.Random) -> tuple[bool, int]:
        """Return whether a call is accepted, and the retry delay of a rejection, 0 for none."""
        if self.limit and self.window_us:
            if (window := now_us // self.window_us) != self.window:
                self.window, self.window_calls = window, 0
            if self.window_calls >= self.limit * self.window_us / SECOND:
                self.window_calls += self.refused_count
                retry_after_us = (window + 1) * self.window_us - now_us
                return False, retry_after_us if rng.random() < self.retry_after_share else 0
        elif self.limit:
            max_tokens = max(1.0, self.limit * 0.5)
            self.tokens = min(max_tokens, self.tokens + self.limit * (now_us - self.updated_us) / SECOND)
            self.updated_us = now_us
            if self.tokens < 1.0:
                self.tokens = max(0.0, self.tokens - self.refused_count)
                retry_after_us = max(300_000, int((1.0 - self.tokens) / self.limit * SECOND))
                return False, retry_after_us if rng.random() < self.retry_after_share else 0
        if self.busy_workers >= self.workers and len(self.queue) >= self.queue_capacity:
            return False, 0
        self.window_calls += 1
        self.tokens -= 1.0
        return True, 0

    def measure_load(self, now_us: int) -> tuple[float, ...]:
        """Return the load report: the unused share of the limit, and the limit."""
        if not self.limit:
            return (1.0, 0.0)
        if self.window_us:
            used = self.window_calls if now_us // self.window_us == self.window else 0
            return (max(0.0, 1.0 - used / (self.limit * self.window_us / SECOND)), self.limit)
        return (min(1.0, max(0.0, self.tokens / max(1.0, self.limit * 0.5))), self.limit)


def draw_destinations(shape: Shape, rng: random.Random) -> list[Destination]:
    """Return destinations of all kinds; a few of them get most of the traffic."""
    kinds = [kind for kind in KINDS for _ in range(KIND_COUNTS[kind])]
    weights = [1.0 / (rank + 1) ** 0.77 for rank in range(shape.destinations)]
    total_rate = shape.senders * shape.each_per_s / shape.load  # calls per second at full load
    destinations = []
    for rank, weight in enumerate(weights):
        kind = "large" if rank < shape.destinations // 6 else kinds[1 + rank % (len(kinds) - 1)]
        full_rate = total_rate * weight / sum(weights)
        headroom = rng.uniform(1.0, 2.2) if kind == "large" else rng.uniform(1.2, 2.3)
        limit = max(rng.uniform(1.6, 5.0), headroom * full_rate)
        is_unlimited = kind == "plain" and rng.random() < 0.5
        window_us = 0 if kind == "plain" or shape.rates else 2 * SECOND
        retry_after_range = {"large": (0.7, 0.97), "plain": (0.11, 0.56), "small": (0.03, 0.46)}[kind]
        capacity = limit * rng.uniform(1.2, 1.6)
        workers = max(1, round(capacity * 0.11))
        destinations.append(
            Destination(
                rank + 1, kind, weight, 0.0 if is_unlimited else limit, window_us, workers, 3 * workers,
                rng.uniform(*retry_after_range), rng.uniform(0.8, 1.2), limit * rng.uniform(0.67, 1.5),
                shape.refused_count,
            )
        )  # fmt: skip
    return destinations


@dataclass(slots=True)
class Message:
    """Message of a client, with the number of its submissions that were rejected."""

    class_index: int
    destination: int
    tenant: str
    created_us: int
    rejections: int = 0


class Simulation:
    """Simulation with the parameters of a shape."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.rng = random.Random(f"shared/{shape.seed}")
        self.destinations = draw_destinations(shape, self.rng)
        self.destinations_by_number = {each.number: each for each in self.destinations}
        settings = Settings(
            classes=CLASSES, kinds=tuple(DestinationKind(kind) for kind in KINDS), slots=5, max_open=41,
            tenants=(Tenant("t", 1e6),), senders=shape.senders, weight_source=WeightSource.APPROXIMATE,
            load_report_fields=("x0", "x1"), max_attempts=12,
            allows_retry_after=True, max_retry_after_us=3 * SECOND,
            connect_timeout_us=1_500_000, collapse_window_us=3 * SECOND, warm_up_us=9 * SECOND,
        )  # fmt: skip
        self.senders = [Sender(settings, 1000 * shape.seed + n) for n in range(shape.senders)]
        rows = tuple(
            Endpoint(f"e{p.number}", p.number, EndpointState.READY, p.kind, "z", p.listed_rate)
            for p in self.destinations
        )
        self.traffic_weights = list(accumulate(self.rng.lognormvariate(0, shape.skew) for _ in self.senders))
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.now_us = SECOND
        self.inbox: dict[int, list[Event]] = {}
        self.messages: dict[str, Message] = {}
        self.calls_started_us: dict[tuple[str, int], int] = {}
        self.attempts: dict[str, int] = {}
        self.held_messages: dict[int, int] = defaultdict(int)  # by destination
        self.owner: dict[str, int] = {}
        self.figures: dict[str, float] = defaultdict(float)
        self.ages_us: list[int] = []
        for number in range(shape.senders):
            self.deliver_event(number, MembershipUpdate(UpdateKind.FULL, 1, rows))

    def schedule(self, at_us: int, callback: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (at_us, self.order, callback))

    def deliver_event(self, sender: int, event: Event) -> None:
        """Let a sender handle an event at the next tick."""
        if sender not in self.inbox:
            self.inbox[sender] = []
            self.schedule((self.now_us // TICK_US + 1) * TICK_US, lambda: self.handle_inbox(sender))
        self.inbox[sender].append(event)

    def handle_inbox(self, number: int) -> None:
        """Let a sender handle its events, and carry out its actions."""
        events = self.inbox.pop(number)
        for action in self.senders[number].handle(self.now_us, events):
            match action:
                case SendAttempt():
                    self.send(number, action)
                case ReturnToClient(message, pause_us, _):
                    self.release(message, number)
                    self.retry_later(message, pause_us)
                case FailPermanently(message):
                    self.release(message, number)
                    self.figures["failed"] += 1
                case SetTimer(name, delay_us):
                    event = TimerFired(name)
                    self.schedule(
                        self.now_us + delay_us,
                        lambda event=event: self.deliver_event(number, event),  # type: ignore[misc]
                    )

    def submit(self, name: str, submission_id: str) -> None:
        """Submit a message to a sender, chosen by the weights of their traffic."""
        message = self.messages[name]
        number = self.rng.choices(range(self.shape.senders), cum_weights=self.traffic_weights)[0]
        left_us = message.created_us + CLASSES[message.class_index].deadline_us - self.now_us
        if left_us <= 0:
            self.figures["refused"] += 1
            return
        if self.senders[number].state.open_messages >= 41:
            self.retry_later(name + "/", 0)
            return
        self.held_messages[message.destination] += 1
        self.owner[submission_id] = number
        class_name = CLASSES[message.class_index].name
        self.deliver_event(
            number, MessageArrived(submission_id, class_name, message.destination, left_us, "t")
        )

    def release(self, submission_id: str, number: int) -> None:
        """Count a submission as no longer held by a sender."""
        self.held_messages[self.messages[submission_id.split("/")[0]].destination] -= 1

    def retry_later(self, submission_id: str, pause_us: int) -> None:
        """Let the client retry a rejected message, twice at most; some clients respect ``pause_us``."""
        name = submission_id.split("/")[0]
        message = self.messages[name]
        message.rejections += 1
        self.figures["returned"] += 1
        if message.rejections > 2:
            self.figures["refused"] += 1
            return
        delay_us = int(self.rng.uniform(490_000, 1_200_000) * 2 ** (message.rejections - 1))
        if self.rng.random() < 0.6:
            delay_us = max(delay_us, pause_us)
        retry_id = f"{name}/{message.rejections}"
        self.schedule(self.now_us + delay_us, lambda: self.submit(name, retry_id))

    def send(self, number: int, action: SendAttempt) -> None:
        self.figures["calls"] += 1
        attempt = self.attempts.get(action.message, 0)
        self.attempts[action.message] = attempt + 1
        destination = self.destinations_by_number[int(action.target[1:])]
        call = (number, action.message, attempt, action.target)
        self.calls_started_us[action.message, attempt] = self.now_us
        self.schedule(self.now_us + action.timeout_us, lambda: self.finish_call(call, AttemptStatus.TIMEOUT))
        self.schedule(
            self.now_us + int(self.rng.uniform(*LATENCY_RANGE_US)), lambda: self.on_arrival(destination, call)
        )

    def on_arrival(self, destination: Destination, call: tuple[int, str, int, str]) -> None:
        second = int(self.now_us / SECOND)
        destination.accepted_by_second += [0] * (second + 1 - len(destination.accepted_by_second))
        is_accepted, retry_after_us = destination.try_accept(self.now_us, self.rng)
        if not is_accepted:
            destination.rejected += 1
            load, reply_us = (
                destination.measure_load(self.now_us),
                self.now_us + int(self.rng.uniform(*LATENCY_RANGE_US)),
            )
            self.schedule(reply_us, lambda: self.finish_call(call, AttemptStatus.FULL, retry_after_us, load))
            return
        destination.accepted += 1
        destination.accepted_by_second[second] += 1
        if destination.busy_workers < destination.workers:
            self.start_work(destination, call)
        else:
            destination.queue.append((self.now_us, call))

    def start_work(self, destination: Destination, call: tuple[int, str, int, str]) -> None:
        destination.busy_workers += 1
        mean_us = SERVICE_TIME_US[self.messages[call[1].split("/")[0]].class_index] / destination.speed
        service_us = int(mean_us * min(4.0, self.rng.lognormvariate(-0.25, 0.7)))
        self.schedule(self.now_us + service_us, lambda: self.finish_work(destination, call))

    def finish_work(self, destination: Destination, call: tuple[int, str, int, str]) -> None:
        destination.busy_workers -= 1
        if destination.queue:
            self.start_work(destination, destination.queue.popleft()[1])
        load = destination.measure_load(self.now_us)
        self.schedule(
            self.now_us + int(self.rng.uniform(*LATENCY_RANGE_US)),
            lambda: self.finish_call(call, AttemptStatus.OK, 0, load),
        )

    def finish_call(
        self,
        call: tuple[int, str, int, str],
        status: AttemptStatus,
        retry_after_us: int = 0,
        load: tuple[float, ...] = (),
    ) -> None:
        number, submission_id, attempt, target = call
        started_us = self.calls_started_us.pop((submission_id, attempt), None)
        if started_us is None:
            return
        self.figures[status.value] += 1
        is_ok = status is AttemptStatus.OK
        if is_ok:
            message = self.messages[submission_id.split("/")[0]]
            age_us, message_class = self.now_us - message.created_us, CLASSES[message.class_index]
            self.figures["delivered"] += 1
            self.figures["on time"] += age_us <= message_class.latency_objective_us
            self.figures["worth"] += message_class.priority_weight * utility_at(
                message_class, UtilityDecay.LINEAR, age_us
            )
            self.ages_us.append(age_us)
            self.release(submission_id, number)
        self.deliver_event(
            number,
            AttemptFinished(
                submission_id,
                attempt,
                target,
                status,
                self.now_us - started_us,
                is_ok,
                retry_after_us,
                False,
                load,
            ),
        )

    def schedule_messages(self) -> None:
        """Draw all messages of the run and schedule their submissions."""
        shape, rng = self.shape, self.rng
        end_us = SECOND + int(shape.seconds * SECOND)
        weights = [each.weight for each in self.destinations]
        large = [each for each in self.destinations if each.kind == "large"]
        mean_clump = 2.25 * sum(d.weight * (d.limit or 50.0) for d in self.destinations) / sum(weights)
        number, now_us = 0, float(SECOND)
        start_s, end_s, factor = shape.burst
        while now_us < end_us:
            at_s = (now_us - SECOND) / SECOND
            rate = shape.senders * shape.each_per_s * (factor if start_s <= at_s < end_s else 1.0)
            rate *= 1 - shape.clumps
            now_us += rng.expovariate(rate) * SECOND
            class_index = rng.choices(range(3), CLASS_SHARES)[0]
            candidates = large if class_index == 2 else self.destinations
            destination = rng.choices(
                candidates, [d.weight for d in candidates] if class_index == 2 else weights
            )[0]
            count = 1
            if rng.random() < shape.clumps / mean_clump:  # as many as the limit admits in 1 to 3.5 s
                count = max(1, int((destination.limit or 50.0) * rng.uniform(1.0, 3.5)))
            for _ in range(count):
                number += 1
                name = f"m{number}"
                at_us = int(now_us)
                self.messages[name] = Message(class_index, destination.number, "t", at_us)
                self.figures["asked"] += 1
                self.figures["asked worth"] += CLASSES[class_index].priority_weight
                self.schedule(at_us, lambda name=name: self.submit(name, name))  # type: ignore[misc]

    def run(self) -> dict[str, float]:
        """Run the simulation and return its figures."""
        started_s = time.perf_counter()
        self.schedule_messages()
        end_us = SECOND + int((self.shape.seconds + 13) * SECOND)
        next_sample_us = SECOND + 2 * SECOND
        while self.events and self.events[0][0] <= end_us:
            at_us, _, callback = heapq.heappop(self.events)
            if at_us >= next_sample_us:
                self.sample_unused_limits(next_sample_us)
                next_sample_us += 100_000
            self.now_us = at_us
            callback()
        figures = self.figures
        asked = figures["asked"]
        self.ages_us.sort()
        row = {
            "worth": figures["worth"] / figures["asked worth"],
            "on time": figures["on time"] / asked,
            "late": (figures["delivered"] - figures["on time"]) / asked,
            "refused": figures["refused"] / asked,
            "failed": figures["failed"] / asked,
            "full": figures["full"] / max(1, figures["calls"]),
            "full a message": figures["full"] / asked,
            "unused": figures["unused"] / max(1.0, figures["sampled"]),
            "median s": self.ages_us[len(self.ages_us) // 2] / SECOND if self.ages_us else 0.0,
            "asked": asked,
            "real s": time.perf_counter() - started_s,
        }
        return row

    def sample_unused_limits(self, now_us: int) -> None:
        """Sample the unused share of each limit, weighted by the messages held for the destination."""
        if now_us > SECOND + self.shape.seconds * SECOND:
            return
        for destination in self.destinations:
            second = int(now_us / SECOND) - 1
            held = self.held_messages[destination.number]
            if (
                not destination.limit
                or second < 1
                or second >= len(destination.accepted_by_second)
                or held <= 0
            ):
                continue
            recent_rate = sum(destination.accepted_by_second[second - 1 : second + 1]) / 2
            self.figures["sampled"] += held
            self.figures["unused"] += held * max(0.0, 1.0 - recent_rate / destination.limit)


def simulate(shape: Shape) -> dict[str, float]:
    """Run one simulation and return its figures."""
    return Simulation(shape).run()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--senders", type=int, default=200)
    parser.add_argument("--each", type=float, default=6.5, help="messages per second for each sender")
    parser.add_argument("--load", type=float, default=0.7, help="ratio to full load")
    parser.add_argument(
        "--skew", type=float, default=0.8, help="sigma of the lognormal distribution of the senders' traffic"
    )
    parser.add_argument("--refused-count", action="store_true", help="let rejected calls use up the limits")
    parser.add_argument("--rates", action="store_true", help="use token buckets for all limits")
    parser.add_argument(
        "--clumps",
        type=float,
        default=0.1,
        help="share of the messages that arrives in bursts to one destination",
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    shapes = [
        Shape(
            senders=args.senders,
            each_per_s=args.each,
            load=args.load,
            seconds=args.seconds,
            clumps=args.clumps,
            refused_count=args.refused_count,
            rates=args.rates,
            skew=args.skew,
            seed=int(seed),
        )
        for seed in args.seeds.split(",")
    ]
    with ProcessPoolExecutor(args.jobs) as pool:
        rows = list(pool.map(simulate, shapes))
    for shape, row in zip(shapes, rows, strict=True):
        print(json.dumps({"seed": shape.seed, **{k: round(v, 4) for k, v in row.items()}}))
    mean = {k: round(sum(row[k] for row in rows) / len(rows), 4) for k in rows[0]}
    print(json.dumps({"mean": mean}))


if __name__ == "__main__":
    main()
