"""A zone fails: the fleet against each forwarder for itself, and against a fleet that returns all at once.

Whole forwarders in simulated time against stand-in partners; the same seeds for all three. What is counted
stands in the partners' and the forwarders' own logs. Ratios within one run are meant, not the figures by
themselves.

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
from honeybarrow.rehearsal import SCENARIO_WORDS, Scenario

SECOND = 1_000_000
AT_S, LAST_S, LENGTH_S, COLD_S = 10, 12, 45, 6

DAY = """
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
    """One day for one policy: alone, fleet or at once."""

    forwarder_count: int
    fault: str
    seed: int
    policy: str


@dataclass(frozen=True, slots=True)
class Measurement:
    """What a day came to; times in seconds."""

    job: Job
    utility: float
    failed_calls: int  # calls into the zone that failed, from its failing till it serves
    late_failed_calls: (
        int  # of them those sent once the last member ejected it, or 3 s after the first failure
    )
    last_ejection_s: float
    load_over_capacity: float  # greatest calls in half a second after the return, over what a cold zone bears
    half_load_s: float  # till the zone carries half of its share again, from when it serves
    has_kept_rules: bool
    duration_s: float


def play_job(job: Job) -> Measurement:
    """Play one day under one policy."""
    zones_ = '["a", "b", "c"]' if job.forwarder_count < 100 else '["r1/a", "r1/b", "r2/c", "r2/d"]'
    partners = list(range(1, 7 if job.forwarder_count < 100 else 21))
    text = DAY % {
        "zones": zones_,
        "numbers": list(range(1, job.forwarder_count + 1)),
        "partners": partners,
        "count": job.forwarder_count,
        "rate": 22.0 * (1 if job.forwarder_count < 100 else 8),
        "cold": COLD_S,
        "at": AT_S,
        "last": LAST_S,
        "length": LENGTH_S,
        "how": job.fault,
    }
    records = config.evaluate_script("day.star", text, SCENARIO_WORDS)
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    forwarders = tuple(config.find_all(records, ForwarderConfig))
    if job.policy == "alone":
        forwarders = tuple(msgspec.structs.replace(each, fleet=None) for each in forwarders)
    if job.policy == "at once":
        zone_recovery.compute_return_delay_us = lambda rank, config: 0
    day = lab.SimulationConfig(scenario, forwarders, keep_trace=True, log_level="debug").with_seed(job.seed)
    result = lab.run_simulation(day)
    return measure_result(job, result)


def measure_result(job: Job, result: lab.SimulationResult) -> Measurement:
    """Read the trace. The world's clock begins at one second."""
    fails, serves = (AT_S + 1) * SECOND, (AT_S + LAST_S + 1) * SECOND
    ours = ("-b", "-r1.b")
    sent: dict[tuple[str, int], int] = {}
    failed: list[tuple[int, int]] = []  # when sent, when known
    arrived: list[int] = []
    ejected_us: list[int] = []
    for row in result.trace:
        what = row["what"]
        if what == "attempt_started" and row["target"].endswith(ours):
            sent[row["message"], row["attempt"]] = row["at"]
        elif what == "attempt_finished" and row["target"].endswith(ours) and row["status"] != "ok":
            at = sent.get((row["message"], row["attempt"]), 0)
            if fails - 100_000 <= at < serves:
                failed.append((at, row["at"]))
        elif what == "call" and row["target"].endswith(ours):
            arrived.append(row["at"])
        elif what == "zone_ejected" and row["epoch"] == 1 and not row["source_zone"]:
            ejected_us.append(row["at"])
    first = min((known for _, known in failed), default=0)
    last = max(ejected_us, default=first + 3 * SECOND)
    usual = sum(5 * SECOND < at < fails for at in arrived) / (fails - 5 * SECOND)  # calls a microsecond
    over, back = 0.0, float(LENGTH_S)
    for start in range(serves, (LENGTH_S + 1) * SECOND - SECOND // 2, SECOND // 4):
        load = sum(start <= at < start + SECOND // 2 for at in arrived) / (SECOND // 2)
        bears = min(1.0, 0.2 + 0.8 * (start - serves) / (COLD_S * SECOND)) * usual
        over = max(over, load / bears)
        if load >= usual / 2:
            back = min(back, (start - serves) / SECOND)
    return Measurement(
        job,
        result.utility,
        len(failed),
        sum(at > last + SECOND // 20 for at, _ in failed),
        (last - first) / SECOND if ejected_us else float("nan"),
        over,
        back,
        result.rule_check.has_passed,
        result.elapsed_s,
    )


@click.command()
@click.option("--forwarders", default=9)
@click.option("--seeds", default="1,2,3")
@click.option("--how", default="mute,refuse")
@click.option("--jobs", default=3)
def main(forwarders: int, seeds: str, how: str, jobs: int) -> None:
    """Play and print."""
    work = [
        Job(forwarders, each, seed, policy)
        for each in how.split(",")
        for seed in map(int, seeds.split(","))
        for policy in ("alone", "at once", "fleet")
    ]
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for found in pool.map(play_job, work):
            job = found.job
            click.echo(
                f"{job.forwarder_count:4} forwarders, {job.fault:6} seed {job.seed} {job.policy:8}"
                f" failed {found.failed_calls:5} (late {found.late_failed_calls:4})"
                f"  utility {found.utility:.4f}  last ejected {found.last_ejection_s:5.2f} s"
                f"  load over capacity {found.load_over_capacity:5.2f}"
                f"  half load {found.half_load_s:5.2f} s"
                f"  rules {'held' if found.has_kept_rules else 'BROKEN'} ({found.duration_s:.0f} s)"
            )


if __name__ == "__main__":
    main()
