"""Benchmark of fleet membership in simulation: detection time of a death, false deaths, traffic per member.

python -m benchmarks.fleet_members --sizes 10,50,200 --hours 10 --jobs 4
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from statistics import median

import click

from honeybarrow.lab.gossip_cluster import SECOND_US, ClusterConfig, GossipCluster

CALLS_PER_SECOND = 0.2  # of each member; low, so that mostly membership traffic is measured


def measure_detection(job: tuple[int, int]) -> tuple[float, float, float, float]:
    """Measure the detection of a death. ``job``: number of members, seed.

    Returns the seconds until the first and the last member detects it, and the datagrams and bytes per second
    that each member sends.
    """
    size, seed = job
    fleet = GossipCluster(
        ClusterConfig(member_count=size, calls_per_second=CALLS_PER_SECOND, datagram_loss=0.01), seed
    )
    fleet.run(20)
    datagrams_before, bytes_before = fleet.record.datagrams_sent, fleet.record.bytes_sent
    fleet.run(20)
    sent = (fleet.record.datagrams_sent - datagrams_before) / 20 / size
    sent_bytes = (fleet.record.bytes_sent - bytes_before) / 20 / size
    killed = fleet.names[-1]
    killed_us = fleet.now_us
    fleet.kill_member(killed)
    fleet.run(40)
    known_us: dict[str, int] = {}
    for death in fleet.record.deaths:
        if death.member == killed and death.at_us >= killed_us:
            known_us.setdefault(death.observer, death.at_us)
    assert len(known_us) == size - 1, f"{len(known_us)} of {size - 1} members detected the death ({job})"
    times = list(known_us.values())
    return (min(times) - killed_us) / SECOND_US, (max(times) - killed_us) / SECOND_US, sent, sent_bytes


def count_false_deaths(job: tuple[int, float, float, int]) -> tuple[int, float]:
    """Return the number of live members declared dead, and the simulated seconds.

    ``job``: number of members, seconds, share of lost datagrams, seed.
    """
    size, seconds, loss, seed = job
    fleet = GossipCluster(
        ClusterConfig(member_count=size, calls_per_second=CALLS_PER_SECOND, datagram_loss=loss), seed
    )
    fleet.run(seconds)
    return len(fleet.record.deaths), seconds


@click.command()
@click.option("--sizes", default="10,50,200")
@click.option("--seeds", default=8)
@click.option("--hours", default=1.0, help="simulated hours in which false deaths are counted")
@click.option("--size", default=10)
@click.option("--loss", default=0.05)
@click.option("--jobs", default=4)
def main(sizes: str, seeds: int, hours: float, size: int, loss: float, jobs: int) -> None:
    """Run the simulations and print the results."""
    with ProcessPoolExecutor(jobs) as pool:
        for each in map(int, sizes.split(",")):
            rows = list(pool.map(measure_detection, [(each, seed) for seed in range(seeds)]))
            click.echo(
                f"{each:4} members: death known to the first {median(r[0] for r in rows):.1f} s, to the last"
                f" {median(r[1] for r in rows):.1f} s (worst {max(r[1] for r in rows):.1f} s);"
                f" {median(r[2] for r in rows):.1f} messages,"
                f" {median(r[3] for r in rows):.0f} bytes a second"
            )
        loss_jobs = [(size, 900.0, loss, seed) for seed in range(round(hours * 4))]
        results = list(pool.map(count_false_deaths, loss_jobs))
        click.echo(
            f"{sum(row[1] for row in results) / 3600:.1f} h of {size} members, {loss:.0%} lost:"
            f" {sum(row[0] for row in results)} false deaths"
        )


if __name__ == "__main__":
    main()
