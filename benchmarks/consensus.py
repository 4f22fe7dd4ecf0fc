"""Benchmarks of the consensus protocol: random simulated runs, model checking, commit and failover times.

python -m benchmarks.consensus days 1000 | states | times
"""

from __future__ import annotations

import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from honeybarrow.lab.consensus_cluster import (
    SECOND_US,
    ClusterParameters,
    ConsensusCluster,
    Fault,
    FaultKind,
    draw_parameters,
    find_violations,
)
from honeybarrow.lab.model_checker import SearchResult, explore_states
from tests.consensus_model import ConsensusModel
from tests.test_consensus_cluster import AcceptsReplacedDisk, CommitsWithoutQuorum, VotesForOlderLog

MODELS = {
    "three voters, two terms": ConsensusModel(max_terms=2, max_proposals=0),
    "three voters, two terms, a proposal": ConsensusModel(max_terms=2, max_proposals=1),
    "two voters, three terms, a crash": ConsensusModel(
        members=2, max_terms=3, max_proposals=1, max_crashes=1
    ),
    "two voters, slow disks, a crash": ConsensusModel(
        members=2, max_terms=2, max_proposals=1, max_crashes=1, has_slow_disks=True
    ),
    "three voters, a disk lost": ConsensusModel(max_terms=2, max_proposals=0, max_disks_lost=1),
    "two voters and one let in": ConsensusModel(max_terms=2, max_proposals=1, has_voter_change=True),
    "three voters, pre-votes": ConsensusModel(max_terms=2, max_proposals=0, has_pre_vote=True),
    "two voters, snapshots": ConsensusModel(members=2, max_terms=3, max_proposals=2, has_snapshots=True),
}
MAX_STATES = 150_000


def run_plan(seed: int) -> tuple[list[str], int, int, int]:
    """Simulate one run.

    Returns its violations and the numbers of acknowledged proposals, leaders and readmitted members.
    """
    cluster = ConsensusCluster(draw_parameters(seed, 3 + 2 * (seed % 2), 2 + seed % 5), seed)
    history = cluster.run()
    return (
        find_violations(cluster),
        len(history.acknowledged),
        len(history.elected_us),
        history.readmission_count,
    )


def is_violated(mutant: str, seed: int) -> bool:
    """Return whether a mutant violates a guarantee in the run with this seed."""
    mutants = {
        "lost disk votes": AcceptsReplacedDisk,
        "one is enough": CommitsWithoutQuorum,
        "votes for older": VotesForOlderLog,
    }
    cluster = ConsensusCluster(draw_parameters(seed), seed, mutants[mutant])
    cluster.run()
    return bool(find_violations(cluster))


def measure_runs(count: int) -> None:
    """Simulate random runs, and print the number of violations with and without mutants."""
    started_s = time.monotonic()
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_plan, range(count), chunksize=10))
        failed = [(seed, each[0]) for seed, each in enumerate(results) if each[0]]
        print(f"{count} runs in {time.monotonic() - started_s:.0f} s:"
              f" {len(failed)} break a guarantee {failed[:3]}")  # fmt: skip
        print(f"  acknowledged {sum(e[1] for e in results)}, leaders {sum(e[2] for e in results)}, "
              f"added again {sum(e[3] for e in results)}")  # fmt: skip
        for mutant in ("lost disk votes", "one is enough", "votes for older"):
            is_caught = list(pool.map(is_violated, [mutant] * 200, range(200), chunksize=10))
            print(f"  {mutant}: {sum(is_caught)} of 200 runs break")


def search(name: str) -> SearchResult:
    """Explore the states of one model, up to ``MAX_STATES``."""
    return explore_states(MODELS[name], MAX_STATES)


def count_states() -> None:
    """Explore the states of each model and print the results."""
    with ProcessPoolExecutor(4) as pool:
        for name, result in zip(MODELS, pool.map(search, MODELS), strict=True):
            extent = "all" if result.is_complete else "the first"
            print(f"{name}: {extent} {result.states} states, {result.transitions} transitions, "
                  f"depth {result.depth}, "
                  f"{result.duration_s:.0f} s, {result.violation or 'no violation'}", flush=True)  # fmt: skip


def quantile_ms(values: list[int], share: float) -> float:
    """Return a quantile of times in microseconds, in milliseconds."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] / 1000


def measure_times() -> None:
    """Print the times to commit a proposal and to elect a new leader, by the delay of the links."""
    for delay in (50, 1_000, 10_000, 50_000):
        parameters = ClusterParameters(
            loss_rate=0.0, duplicate_rate=0.0, delay_range_us=(delay, delay + 1), sync_range_us=(500, 2000)
        )
        cluster = ConsensusCluster(parameters, delay)
        waits_us = [each.acknowledged_us - each.proposed_us for each in cluster.run().acknowledged]
        print(f"commit at {delay / 1000:g} ms: median {statistics.median(waits_us) / 1000:.1f} ms, "
              f"99th {quantile_ms(waits_us, 0.99):.1f} ms of {len(waits_us)}")  # fmt: skip
    for delay in (1_000, 10_000, 50_000):
        waits_us = []
        for seed in range(300):
            cluster = ConsensusCluster(
                ClusterParameters(
                    learners=0, loss_rate=0.0, delay_range_us=(delay // 2, delay), duration_us=5 * SECOND_US
                ),
                seed,
            )
            killed_us: list[int] = []

            def kill(cluster: ConsensusCluster = cluster, killed_us: list[int] = killed_us) -> None:
                number = next(
                    n
                    for n, m in enumerate(cluster.members.values())
                    if m.node.is_confirmed_leader(cluster.now_us)
                )
                cluster.start_fault(Fault(FaultKind.KILL, cluster.now_us, 5 * SECOND_US, (number,)))
                killed_us.append(cluster.now_us)

            cluster.schedule(4 * SECOND_US, kill)
            elected_us = cluster.run().elected_us
            waits_us.append(min(each for each in elected_us if each > killed_us[0]) - killed_us[0])
        print(f"next leader at {delay / 1000:g} ms: median {quantile_ms(waits_us, 0.5):.0f} ms, "
              f"99th {quantile_ms(waits_us, 0.99):.0f} ms of {len(waits_us)}")  # fmt: skip


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["days", count]:
            measure_runs(int(count))
        case ["states"]:
            count_states()
        case ["times"]:
            measure_times()
        case _:
            sys.exit(__doc__)
