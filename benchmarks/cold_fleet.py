"""Simulation of a destination that recovers from an outage: calls of all senders against its budget.

The policy module runs alone in simulated time with one destination of one endpoint. After the outage the
destination starts with a part of its capacity and warms up. In each window of ``collapse_window_us`` its
budget is N calls, ``collapse_multiple`` times its capacity in that window; 2 * sqrt(N) + 2 further calls are
tolerated as random variation. Limit, capacity, listed rate and traffic are drawn as in
``benchmarks.shared_limit``.

    python -m benchmarks.cold_fleet --returns 1000
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from honeybarrow.actions import SendAttempt, SetTimer
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
from honeybarrow.policy.sender import Sender
from honeybarrow.sender_state import SECOND
from honeybarrow.settings import DestinationKind, Idempotency, MessageClass, Settings, WeightSource

CLASSES = (
    MessageClass("state", 3 * SECOND, 14 * SECOND, late_utility=0.4),
    MessageClass(
        "post",
        3 * SECOND,
        18 * SECOND,
        Idempotency.IDEMPOTENT_WITH_KEY,
        key_window_us=5 * SECOND,
        late_utility=0.3,
    ),
    MessageClass("pay", 3 * SECOND, 20 * SECOND, Idempotency.NON_IDEMPOTENT, late_utility=0.5),
)
# Traffic over the senders, or a disturbance: restarts of senders, or a limit halved from the outage on.
TRAFFIC_PATTERNS = ("even", "one with most", "restarts", "limits lowered")
OUTAGES = ("refused", "silent", "shut")
LATENCY_RANGE_US = (4_000, 15_000)  # of the network, one way
SERVICE_TIME_US = 110_000  # mean for a warm destination
RECOVERY_S = 12.0  # simulated time after the outage
SETTLE_S = 12.0  # simulated time before the outage


@dataclass(frozen=True, slots=True)
class RecoveryScenario:
    """Scenario of a recovery: number of senders, kinds of traffic and outage, and seed."""

    senders: int
    traffic_pattern: str
    outage: str
    seed: int


@dataclass(frozen=True, slots=True)
class WorstWindow:
    """Window after an outage with the greatest excess of calls over the budget.

    ``excess_ratio`` is the excess divided by the tolerated one: above 1 the destination is overloaded.
    ``aware_share`` is the share of the calls from senders that noticed the outage.
    """

    excess_ratio: float
    aware_share: float
    calls: int
    allowed: float


class Simulation:
    """Simulation of one recovery."""

    def __init__(self, scenario: RecoveryScenario) -> None:
        self.scenario = scenario
        self.rng = rng = random.Random(
            f"{scenario.senders}/{scenario.traffic_pattern}/{scenario.outage}/{scenario.seed}"
        )
        full_rate = rng.choice((3.0, 8.0, 25.0)) * rng.uniform(0.8, 1.25)  # calls per second
        self.limit = max(rng.uniform(1.6, 5.0), rng.uniform(1.0, 2.3) * full_rate)
        self.capacity = self.limit * rng.uniform(1.2, 1.6)  # calls per second of a warm destination
        load = rng.uniform(0.4, 0.9)
        reports_load = rng.random() < 0.5
        self.settings = Settings(
            classes=CLASSES, kinds=(DestinationKind("k"),), slots=8, max_open=60, senders=scenario.senders,
            weight_source=WeightSource.APPROXIMATE, load_report_fields=("x0", "x1") if reports_load else (),
            max_attempts=12,
            allows_retry_after=True, max_retry_after_us=3 * SECOND, connect_timeout_us=1_500_000,
            collapse_multiple=2.0, collapse_window_us=3 * SECOND, start_capacity=0.2, warm_up_us=9 * SECOND,
        )  # fmt: skip
        self.down_us = int(SETTLE_S * SECOND)
        self.recovered_us = self.down_us + int(rng.uniform(6.0, 16.0) * SECOND)
        self.end_us = self.recovered_us + int(RECOVERY_S * SECOND)
        listed = self.limit * rng.uniform(0.67, 1.5)
        self.rows = (Endpoint("e", 1, EndpointState.READY, "k", "z", listed),)
        self.traffic_weights = [1.0] * scenario.senders
        if scenario.traffic_pattern == "one with most":
            self.traffic_weights[0] = scenario.senders
        self.messages_per_s = load * full_rate
        self.senders = [Sender(self.settings, rng.randrange(1 << 30)) for _ in range(scenario.senders)]
        self.is_aware = [False] * scenario.senders  # whether the sender noticed the outage
        self.incarnations = [0] * scenario.senders
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now_us = 0
        self.arrivals: list[tuple[int, bool]] = []  # time of each call, whether its sender was aware
        self.busy = 0
        self.attempts: Counter[str] = Counter()
        self.started_us: dict[tuple[str, int], int] = {}
        self.recent_calls_us: list[int] = []  # times of accepted calls, for the rate limit

    def schedule(self, at_us: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (int(at_us), next(self.order), callback))

    def run(self) -> WorstWindow:
        """Run the simulation."""
        for number in range(self.scenario.senders):
            self.handle(number, MembershipUpdate(UpdateKind.FULL, 1, self.rows))
        self.schedule(0, self.create_message)
        if self.scenario.traffic_pattern == "restarts":
            for number in range(0, self.scenario.senders, 3):
                at_us = self.recovered_us + self.rng.uniform(-2.0, 3.0) * SECOND
                self.schedule(at_us, lambda number=number: self.restart(number))  # type: ignore[misc]
        while self.events and self.events[0][0] < self.end_us:
            self.now_us, _, callback = heapq.heappop(self.events)
            callback()
        return self.find_worst_window()

    def create_message(self) -> None:
        """Create a message for one of the senders, and schedule the next one."""
        self.schedule(self.now_us + self.rng.expovariate(self.messages_per_s) * SECOND, self.create_message)
        number = self.rng.choices(range(self.scenario.senders), self.traffic_weights)[0]
        message_class = self.rng.choices(CLASSES, (0.5, 0.37, 0.13))[0]
        message_id = f"{number}.{self.incarnations[number]}.{self.now_us}.{self.rng.random()}"
        if self.senders[number].state.open_messages < self.settings.max_open:
            self.handle(number, MessageArrived(message_id, message_class.name, 1, message_class.deadline_us))

    def restart(self, number: int) -> None:
        """Replace a sender by a new one, which gets the list and the unfinished idempotent messages."""
        unfinished = [m for m in self.senders[number].state.messages.values() if not m.is_completed]
        self.incarnations[number] += 1
        self.is_aware[number] = False
        self.senders[number] = Sender(self.settings, self.rng.randrange(1 << 30))
        resubmitted = [
            MessageArrived(
                f"{m.id}'", m.message_class.name, 1, m.expires_us - self.now_us, attempts=len(m.attempts)
            )
            for m in unfinished
            if m.expires_us > self.now_us and m.message_class.idempotency is Idempotency.IDEMPOTENT
        ]
        self.handle(number, MembershipUpdate(UpdateKind.FULL, 1, self.rows), *resubmitted)

    def handle(self, number: int, *events: Event) -> None:
        incarnation = self.incarnations[number]
        for action in self.senders[number].handle(self.now_us, list(events)):
            if isinstance(action, SendAttempt):
                self.send(number, incarnation, action)
            elif isinstance(action, SetTimer):
                event = TimerFired(action.name)
                self.schedule(
                    self.now_us + action.delay_us,
                    lambda event=event: self.on_timer(number, incarnation, event),  # type: ignore[misc]
                )

    def on_timer(self, number: int, incarnation: int, event: Event) -> None:
        if self.incarnations[number] == incarnation:
            self.handle(number, event)

    def send(self, number: int, incarnation: int, action: SendAttempt) -> None:
        """Start a call, which arrives after the connect and one way of the request."""
        attempt = self.attempts[action.message]
        self.attempts[action.message] += 1
        call = (number, incarnation, action.message, attempt)
        self.started_us[action.message, attempt] = self.now_us
        self.schedule(self.now_us + action.timeout_us, lambda: self.finish(call, AttemptStatus.TIMEOUT))
        self.schedule(self.now_us + self.rng.uniform(*LATENCY_RANGE_US) * 3, lambda: self.on_arrival(call))

    def on_arrival(self, call: tuple[int, int, str, int]) -> None:
        is_down = self.down_us <= self.now_us < self.recovered_us
        latency_us = self.rng.uniform(*LATENCY_RANGE_US)
        if not is_down:
            self.arrivals.append((self.now_us, self.is_aware[call[0]]))
        if is_down and self.scenario.outage == "silent":
            return
        if is_down:
            status = AttemptStatus.CONNECT_FAILED if self.scenario.outage == "refused" else AttemptStatus.FULL
            remaining_us = (self.recovered_us - self.now_us) if self.rng.random() < 0.4 else 0
            retry_after_us = remaining_us if status is AttemptStatus.FULL else 0
            self.schedule(self.now_us + latency_us, lambda: self.finish(call, status, retry_after_us))
            return
        limit = self.limit * (
            0.5 if self.scenario.traffic_pattern == "limits lowered" and self.now_us > self.down_us else 1.0
        )
        self.recent_calls_us = [at_us for at_us in self.recent_calls_us if at_us > self.now_us - SECOND]
        if len(self.recent_calls_us) >= max(1.0, limit):
            self.schedule(
                self.now_us + latency_us, lambda: self.finish(call, AttemptStatus.FULL, 0, (0.0, limit))
            )
            return
        self.recent_calls_us.append(self.now_us)
        mean_us = SERVICE_TIME_US / self.capacity_share(self.now_us)
        service_us = mean_us * self.rng.lognormvariate(-0.25, 0.7)
        unused = max(0.0, 1.0 - len(self.recent_calls_us) / max(1.0, limit))
        self.schedule(
            self.now_us + service_us + latency_us,
            lambda: self.finish(call, AttemptStatus.OK, 0, (unused, limit)),
        )

    def capacity_share(self, at_us: float) -> float:
        """Return the share of its capacity that the destination has at a time."""
        if at_us < self.down_us:
            return 1.0
        settings = self.settings
        return min(
            1.0,
            settings.start_capacity
            + (1 - settings.start_capacity) * max(0.0, at_us - self.recovered_us) / settings.warm_up_us,
        )

    def finish(
        self,
        call: tuple[int, int, str, int],
        status: AttemptStatus,
        retry_after_us: int = 0,
        load: tuple[float, ...] = (),
    ) -> None:
        number, incarnation, message, attempt = call
        sent_us = self.started_us.pop((message, attempt), None)
        if sent_us is None or self.incarnations[number] != incarnation:
            return
        if status is not AttemptStatus.OK and self.down_us <= self.now_us < self.recovered_us:
            self.is_aware[number] = True
        is_ok = status is AttemptStatus.OK
        not_run = status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.FULL)
        load = load if self.settings.load_report_fields else ()
        event = AttemptFinished(
            message, attempt, "e", status, self.now_us - sent_us, is_ok, retry_after_us, False, load, not_run
        )  # fmt: skip
        self.handle(number, event)

    def find_worst_window(self) -> WorstWindow:
        """Return the window after the outage with the greatest excess of calls."""
        settings, worst = self.settings, WorstWindow(-9.0, 0.0, 0, 0.0)
        calls = [each for each in self.arrivals if each[0] >= self.recovered_us]
        first = 0
        for last in range(len(calls)):
            while calls[first][0] <= calls[last][0] - settings.collapse_window_us:
                first += 1
            start_us = calls[last][0] - settings.collapse_window_us
            middle_us = max(self.recovered_us, start_us) / 2 + calls[last][0] / 2
            length_us = calls[last][0] - max(self.recovered_us, start_us)
            # A window that began before the end of the outage counts from that end.
            budget = (
                settings.collapse_multiple
                * self.capacity
                * self.capacity_share(middle_us)
                * max(length_us, settings.collapse_window_us)
                / SECOND
            )
            count = last - first + 1
            excess = (count - budget) / (2 * math.sqrt(budget) + 2)
            if excess > worst.excess_ratio:
                aware_share = sum(is_aware for _, is_aware in calls[first : last + 1]) / count
                worst = WorstWindow(excess, aware_share, count, budget + 2 * math.sqrt(budget) + 2)
        return worst


def simulate_recovery(scenario: RecoveryScenario) -> WorstWindow:
    """Simulate one recovery and return its worst window."""
    return Simulation(scenario).run()


def main() -> None:
    """Simulate many recoveries, and print how often and by how much they exceed the budget."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--returns", type=int, default=100, help="simulated recoveries for each number of senders"
    )
    parser.add_argument("--senders", default="20,30,200")
    parser.add_argument("--workers", type=int, default=2)
    args = parser.parse_args()
    print("senders  shape            returns  over budget       by aware senders  worst (1: limit)")
    with ProcessPoolExecutor(args.workers) as pool:
        for senders in map(int, args.senders.split(",")):
            for traffic_pattern in TRAFFIC_PATTERNS:
                scenarios = [
                    RecoveryScenario(senders, traffic_pattern, OUTAGES[seed % len(OUTAGES)], seed)
                    for seed in range(args.returns // len(TRAFFIC_PATTERNS))
                ]
                windows = list(pool.map(simulate_recovery, scenarios, chunksize=4))
                exceeding = [each for each in windows if each.excess_ratio > 1.0]
                outages = Counter(
                    s.outage for s, w in zip(scenarios, windows, strict=True) if w.excess_ratio > 1.0
                )
                aware = sum(each.aware_share > 2 / 3 for each in exceeding)
                print(
                    f"{senders:7d}  {traffic_pattern:15s}  {len(scenarios):7d}  {len(exceeding):11d}  "
                    f"{aware:21d}  "
                    f"{max(each.excess_ratio for each in windows):.2f}  "
                    f"{outages}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
