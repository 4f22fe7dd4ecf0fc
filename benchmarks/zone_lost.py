"""Simulation of a zone outage: a fleet, single forwarders, and a fleet without a staggered return.

Complete forwarders run in simulated time against stand-in partners, with the same seeds for all three
policies. Figures come from the event logs of partners and forwarders. Compare policies by ratios within one
run only.

    python -m benchmarks.zone_lost --forwarders 9 --seeds 1,2,3 --jobs 3
    python -m benchmarks.zone_lost --forwarders 200 --seeds 1 --jobs 3
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import click
import msgspec

from honeybarrow import config, lab
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.fleet import zone_recovery
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Scenario

SECOND = 1_000_000
OUTAGE_START_S, OUTAGE_S, RUN_S, WARM_UP_S = 10, 12, 45, 6

SCENARIO_TEMPLATE = """
classes = [
    message_class("status", aim = "2s", deadline = "8s", late_share = 0.4),
    message_class("posting", aim = "2s", deadline = "10s", effect = "keyed", window = "5s", worth = 3.0),
    message_class("pay", aim = "2s", deadline = "12s", effect = "unsafe", worth = 4.0, late_share = 0.5),
]
zones = %(zones)s
numbers = %(numbers)s
names = ["f%%d" %% i for i in numbers]

def make(i):
    return forwarder(
        "f%%d" %% i, classes = classes, kinds = [kind("chains")], zone = zones[i %% len(zones)],
        register = register(port = 20000), listen = [listen("smtp", port = 20100 + i)],
        routing = routing(time_left_ms = "header:X-Time-Left-Ms"),
        rules = rules(drain_grace = "250ms", cold = "%(cold)ds", fall = "2s"),
        fleet = fleet(
            name = "day", listen = "127.0.0.1:%%d" %% (20400 + i),
            peers = ["f%%d@127.0.0.1:%%d" %% (j, 20400 + j) for j in numbers[:12]],
        ),
        slots = 24, max_open = 240, forwarders = %(count)d, max_wait = "3s", stop_grace = "15s",
    )

forwarders = [make(i) for i in numbers]

def chain(n):
    stations = [
        station("p%%d-%%s" %% (n, zones[k].replace("/", ".")), port = 21000 + 10 * n + k, zone = zones[k])
        for k in range(len(zones))
    ]
    return partner("p%%d.example" %% n, number = n, kind = "chains", stations = stations, service = "60ms",
                   workers = 30)

partners = [chain(n) for n in %(partners)s]

def to_all(name):
    return [part(name, "p%%d.example" %% n) for n in %(partners)s]

clients = [
    client("status-%%d" %% k, rate = %(rate)f, forwarders = names, parts = to_all("status"),
           connections = 500)
    for k in [1, 2]
] + [
    client("posting", rate = %(rate)f / 2, forwarders = names, parts = to_all("posting"), connections = 500),
    client("pay", rate = %(rate)f / 4, forwarders = names, parts = to_all("pay"), connections = 500),
]
down = trouble("zone_down", at = "%(at)ds", last = "%(last)ds", who = zones[1], how = "%(how)s")
day = rehearsal("zone-lost", length = "%(length)ds", partners = partners, settle = "15s",
                register = stand_in_register(port = 20000), clients = clients, troubles = [down])
"""


@dataclass(frozen=True, slots=True)
class Job:
    """Run to simulate; ``policy`` is ``alone``, ``fleet`` or ``at once``."""

    forwarder_count: int
    fault: str
    seed: int
    policy: str


@dataclass(frozen=True, slots=True)
class Measurement:
    """Results of a run; times in seconds."""

    job: Job
    utility: float
    failed_calls: int  # failed calls to the zone during the outage
    late_failed_calls: int  # those of them sent after the last member ejected the zone
    last_ejection_s: float
    load_over_capacity: float  # maximum after the outage, in windows of half a second
    half_load_s: float  # time after the outage until the zone has half of its usual load
    has_kept_rules: bool
    duration_s: float


def run_job(job: Job) -> Measurement:
    """Simulate one run."""
    zones = '["a", "b", "c"]' if job.forwarder_count < 100 else '["r1/a", "r1/b", "r2/c", "r2/d"]'
    partners = list(range(1, 7 if job.forwarder_count < 100 else 21))
    text = SCENARIO_TEMPLATE % {
        "zones": zones,
        "numbers": list(range(1, job.forwarder_count + 1)),
        "partners": partners,
        "count": job.forwarder_count,
        "rate": 22.0 * (1 if job.forwarder_count < 100 else 8),
        "cold": WARM_UP_S,
        "at": OUTAGE_START_S,
        "last": OUTAGE_S,
        "length": RUN_S,
        "how": job.fault,
    }
    records = config.evaluate_script("day.star", text, SCENARIO_RECORD_TYPES)
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    forwarders = tuple(config.find_all(records, ForwarderConfig))
    if job.policy == "alone":
        forwarders = tuple(msgspec.structs.replace(each, fleet=None) for each in forwarders)
    if job.policy == "at once":
        zone_recovery.compute_return_delay_us = lambda rank, config: 0
    simulation = lab.SimulationConfig(scenario, forwarders, keep_trace=True, log_level="debug").with_seed(
        job.seed
    )
    result = lab.run_simulation(simulation)
    return measure_result(job, result)


def measure_result(job: Job, result: lab.SimulationResult) -> Measurement:
    """Compute the results of a run from its trace. The simulated clock starts at one second.

    If no member ejected the zone, calls count as late three seconds after the first known failure.
    """
    down_us, up_us = (OUTAGE_START_S + 1) * SECOND, (OUTAGE_START_S + OUTAGE_S + 1) * SECOND
    zone_suffixes = ("-b", "-r1.b")
    sent_us: dict[tuple[str, int], int] = {}
    failed: list[tuple[int, int]] = []  # times of sending and of the failure
    arrivals_us: list[int] = []
    ejected_us: list[int] = []
    for row in result.trace:
        event = row["what"]
        if event == "attempt_started" and row["target"].endswith(zone_suffixes):
            sent_us[row["message"], row["attempt"]] = row["at"]
        elif event == "attempt_finished" and row["target"].endswith(zone_suffixes) and row["status"] != "ok":
            at_us = sent_us.get((row["message"], row["attempt"]), 0)
            if down_us - 100_000 <= at_us < up_us:
                failed.append((at_us, row["at"]))
        elif event == "call" and row["target"].endswith(zone_suffixes):
            arrivals_us.append(row["at"])
        elif event == "zone_ejected" and row["epoch"] == 1 and not row["source_zone"]:
            ejected_us.append(row["at"])
    first_failure_us = min((known_us for _, known_us in failed), default=0)
    last_ejection_us = max(ejected_us, default=first_failure_us + 3 * SECOND)
    # Loads are in calls per microsecond.
    usual_load = sum(5 * SECOND < at_us < down_us for at_us in arrivals_us) / (down_us - 5 * SECOND)
    max_overload, half_load_s = 0.0, float(RUN_S)
    for start_us in range(up_us, (RUN_S + 1) * SECOND - SECOND // 2, SECOND // 4):
        load = sum(start_us <= at_us < start_us + SECOND // 2 for at_us in arrivals_us) / (SECOND // 2)
        capacity = min(1.0, 0.2 + 0.8 * (start_us - up_us) / (WARM_UP_S * SECOND)) * usual_load
        max_overload = max(max_overload, load / capacity)
        if load >= usual_load / 2:
            half_load_s = min(half_load_s, (start_us - up_us) / SECOND)
    return Measurement(
        job,
        result.utility,
        len(failed),
        sum(at_us > last_ejection_us + SECOND // 20 for at_us, _ in failed),
        (last_ejection_us - first_failure_us) / SECOND if ejected_us else float("nan"),
        max_overload,
        half_load_s,
        result.rule_check.has_passed,
        result.elapsed_s,
    )


@click.command()
@click.option("--forwarders", default=9)
@click.option("--seeds", default="1,2,3")
@click.option("--how", default="mute,refuse")
@click.option("--jobs", default=3)
def main(forwarders: int, seeds: str, how: str, jobs: int) -> None:
    """Run the simulations and print the results."""
    planned = [
        Job(forwarders, each, seed, policy)
        for each in how.split(",")
        for seed in map(int, seeds.split(","))
        for policy in ("alone", "at once", "fleet")
    ]
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for row in pool.map(run_job, planned):
            job = row.job
            click.echo(
                f"{job.forwarder_count:4} forwarders, {job.fault:6} seed {job.seed} {job.policy:8}"
                f" failed {row.failed_calls:5} (late {row.late_failed_calls:4})"
                f"  utility {row.utility:.4f}  last ejected {row.last_ejection_s:5.2f} s"
                f"  load over capacity {row.load_over_capacity:5.2f}"
                f"  half load {row.half_load_s:5.2f} s"
                f"  rules {'held' if row.has_kept_rules else 'BROKEN'} ({row.duration_s:.0f} s)"
            )


if __name__ == "__main__":
    main()
