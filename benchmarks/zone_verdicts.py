"""Benchmark of zone ejection in simulation: time until a fleet ejects a failed zone, and false ejections.

python -m benchmarks.zone_verdicts --sizes 9,50,200 --seeds 10 --quiet-days 200 --jobs 4
"""

from __future__ import annotations

import random
from concurrent.futures import ProcessPoolExecutor

import click

from honeybarrow.events import AttemptStatus
from honeybarrow.lab.gossip_cluster import SECOND_US, ClusterConfig, GossipCluster, ZoneFault

STATUSES = {
    "silent": (AttemptStatus.TIMEOUT, 1_300_000),
    "refuses": (AttemptStatus.CONNECT_FAILED, 2_000),
    "errors": (AttemptStatus.ERROR, 50_000),
}


def measure_failing_zone(job: tuple[int, str, int]) -> tuple[int, int, int, int, float]:
    """Measure the ejection of a failed zone. ``job``: number of members, kind of failure, seed.

    Returns the microseconds from the first detected failure until the first and the last member ejected the
    zone, the failed calls before and after the last ejection, and the datagrams per second of each member.
    """
    size, failure, seed = job
    status, call_duration_us = STATUSES[failure]
    rng = random.Random(f"{size}/{failure}/{seed}")
    start_us = int(rng.uniform(12, 14) * SECOND_US)
    fault = ZoneFault("z1", start_us, 12 * SECOND_US, status=status, call_duration_us=call_duration_us)
    zones = tuple(f"z{n}" for n in range(3 if size < 100 else 4))
    config = ClusterConfig(
        zones,
        size,
        6 if size < 100 else 20,
        calls_per_second=4.0,
        datagram_loss=0.01,
        call_loss=0.002,
        faults=(fault,),
    )
    fleet = GossipCluster(config, seed)
    fleet.run(24)
    first_ejections_us: dict[str, int] = {}
    for at_us, member, _ in fleet.log_events_named("zone_ejected"):
        first_ejections_us.setdefault(member, at_us)
    ejected_us = list(first_ejections_us.values())
    failed = [c for c in fleet.calls_to("z1", start_us) if c.has_failed]
    first_failure_us = failed[0].sent_us + call_duration_us
    failed_before = sum(c.sent_us < max(ejected_us) for c in failed)
    assert len(ejected_us) == size, f"{len(ejected_us)} of {size} members ejected the zone ({job})"
    return (
        min(ejected_us) - first_failure_us,
        max(ejected_us) - first_failure_us,
        failed_before,
        len(failed) - failed_before,
        fleet.record.datagrams_sent / 24 / size,
    )


def run_without_zone_fault(seed: int) -> tuple[int, list[str]]:
    """Simulate random faults in which no zone fails; return the seed and the zones that were ejected."""
    rng = random.Random(f"quiet/{seed}")
    size = rng.choice([6, 9, 12, 20])
    faults = [
        ZoneFault(
            rng.choice("abc"),
            int(rng.uniform(5, 50) * SECOND_US),
            int(rng.uniform(2, 20) * SECOND_US),
            partners=(rng.randrange(6),),
            status=status,
            call_duration_us=call_duration_us,
        )
        for status, call_duration_us in rng.choices(list(STATUSES.values()), k=2)
    ]
    fleet = GossipCluster(
        ClusterConfig(
            member_count=size,
            calls_per_second=rng.choice([1.0, 3.0, 8.0]),
            datagram_loss=0.05,
            call_loss=0.05,
            faults=tuple(faults),
        ),
        seed,
    )
    for _ in range(12):
        fleet.run(5)
        if rng.random() < 0.5:
            fleet.pause_member(rng.choice(fleet.names), int(rng.uniform(1, 6) * SECOND_US))
    return seed, sorted({event.path for _, _, event in fleet.log_events_named("zone_ejected")})


@click.command()
@click.option("--sizes", default="9,50,200")
@click.option("--seeds", default=10)
@click.option("--quiet-days", default=200)
@click.option("--jobs", default=4)
def main(sizes: str, seeds: int, quiet_days: int, jobs: int) -> None:
    """Run the simulations and print the results."""
    with ProcessPoolExecutor(jobs) as pool:
        for size in map(int, sizes.split(",")):
            for kind in STATUSES:
                rows = list(pool.map(measure_failing_zone, [(size, kind, seed) for seed in range(seeds)]))
                times = sorted(row[1] / SECOND_US for row in rows)
                click.echo(
                    f"{size:4} members, {kind:8} first {min(r[0] for r in rows) / SECOND_US:.2f} s,"
                    f" last ejected {times[len(times) // 2]:.2f} s (worst {times[-1]:.2f} s)"
                    " after the first known failure;"
                    f" failed calls before {sum(r[2] for r in rows) / seeds:.0f},"
                    f" after {sum(r[3] for r in rows) / seeds:.0f};"
                    f" {sum(r[4] for r in rows) / seeds:.1f} datagrams a second a member"
                )
        ejected = [row for row in pool.map(run_without_zone_fault, range(quiet_days)) if row[1]]
        click.echo(
            f"{quiet_days} runs in which no zone fails: {len(ejected)} with a zone ejected {ejected[:10]}"
        )


if __name__ == "__main__":
    main()
