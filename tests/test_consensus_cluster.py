"""Simulated consensus clusters under random faults, and faulty nodes that the checks must detect."""

from __future__ import annotations

import pytest

from honeybarrow.consensus.actions import Action
from honeybarrow.consensus.election import Election
from honeybarrow.consensus.messages import (
    INCARNATION_NONCE_BITS,
    AppendEntriesReply,
    Message,
    RequestVote,
    RequestVoteReply,
    VoterIdentity,
)
from honeybarrow.consensus.node import RaftNode
from honeybarrow.consensus.replication import LeaderReplication
from honeybarrow.consensus.state import NodeState
from honeybarrow.lab.consensus_cluster import (
    SECOND_US,
    ClusterParameters,
    ConsensusCluster,
    Fault,
    FaultKind,
    draw_parameters,
    find_violations,
)


@pytest.mark.parametrize(("voters", "learners", "first"), [(3, 2, 0), (5, 2, 1000), (3, 12, 2000)])
def test_random_faults_violate_no_guarantee_of_the_log(voters: int, learners: int, first: int) -> None:
    acknowledged = readmitted = 0
    for seed in range(first, first + 12):
        cluster = ConsensusCluster(draw_parameters(seed, voters, learners), seed)
        history = cluster.run()
        assert find_violations(cluster) == [], f"seed {seed}"
        acknowledged += len(history.acknowledged)
        readmitted += history.readmission_count
    assert acknowledged > 300 and (readmitted or voters == 5), "the runs exercised too little"


class AcceptsReplacedDisk(RaftNode):
    """Mutant: counts votes and acknowledgments of a voter whose disk was replaced."""

    class AnyDiskState(NodeState):
        @property
        def is_voter(self) -> bool:
            return any(voter.name == self.name for voter in self.log.voters)

    state_type = AnyDiskState

    def on_message(self, now_us: int, sender: str, message: Message, wall_clock_us: int = 0) -> list[Action]:
        disk_ids = {voter.name: voter.disk_id for voter in self.voters}
        if isinstance(message, RequestVoteReply | AppendEntriesReply) and sender in disk_ids:
            identity = VoterIdentity(disk_ids[sender], 1 << INCARNATION_NONCE_BITS, 1)
            if isinstance(message, RequestVoteReply):
                message = RequestVoteReply(message.term, message.is_pre_vote, message.is_granted, identity)
            else:
                message = AppendEntriesReply(
                    message.term, message.round_number, message.is_success, message.match_index, identity
                )
        return super().on_message(now_us, sender, message, wall_clock_us)


class CommitsWithoutQuorum(RaftNode):
    """Mutant: a leader commits entries that only its own disk holds."""

    class QuorumlessReplication(LeaderReplication):
        def advance_commit_index(self) -> None:
            if self.state.outbox.persisted_index > self.state.commit_index:
                self.state.commit_up_to(self.state.outbox.persisted_index)

    leader_type = QuorumlessReplication


class VotesForOlderLog(RaftNode):
    """Mutant: votes for candidates whose log is not up to date."""

    class UncheckedElection(Election):
        def is_log_up_to_date(self, request: RequestVote) -> bool:
            return True

    election_type = UncheckedElection


class IgnoresCurrentLeader(RaftNode):
    """Mutant: grants votes while it hears a leader, and starts elections without a pre-vote."""

    class DisruptiveElection(Election):
        def hears_leader(self, now_us: int) -> bool:
            return False

        def start_pre_vote(self, now_us: int) -> None:
            self.start_election(now_us)

    election_type = DisruptiveElection


@pytest.mark.parametrize(
    ("node_type", "runs"), [(AcceptsReplacedDisk, 60), (CommitsWithoutQuorum, 20), (VotesForOlderLog, 40)]
)
def test_each_mutant_violates_a_guarantee_in_some_run(node_type: type[RaftNode], runs: int) -> None:
    for seed in range(runs):
        cluster = ConsensusCluster(draw_parameters(seed), seed, node_type)
        cluster.run()
        if find_violations(cluster):
            return
    raise AssertionError(f"{node_type.__name__} violated nothing in {runs} runs")


def test_voter_that_receives_nothing_does_not_depose_the_leader() -> None:
    def count_elections(node_type: type[RaftNode]) -> int:
        """Return the number of elections while one voter can send but receives nothing, and afterwards."""
        parameters = ClusterParameters(loss_rate=0.0, learners=0, duration_us=12 * SECOND_US)
        cluster = ConsensusCluster(parameters, 7, node_type)
        for other in ("v1", "v2"):
            cluster.cut_until_us[other, "v0"] = 10 * SECOND_US
        cluster.run()
        assert find_violations(cluster) == []
        return len(cluster.history.elected_us)

    assert count_elections(RaftNode) <= 2
    assert count_elections(IgnoresCurrentLeader) > 4


def test_killed_leader_is_replaced_within_a_second_and_a_half() -> None:
    waits_us = []
    for seed in range(40):
        parameters = ClusterParameters(learners=0, loss_rate=0.0, duration_us=6 * SECOND_US)
        cluster = ConsensusCluster(parameters, seed)
        killed_us: list[int] = []

        def kill(cluster: ConsensusCluster = cluster, killed_us: list[int] = killed_us) -> None:
            members = enumerate(cluster.members.values())
            leader = next(n for n, member in members if member.node.is_confirmed_leader(cluster.now_us))
            cluster.start_fault(Fault(FaultKind.KILL, cluster.now_us, 5 * SECOND_US, (leader,)))
            killed_us.append(cluster.now_us)

        cluster.schedule(4 * SECOND_US, kill)
        cluster.run()
        assert find_violations(cluster) == []
        elected_us = cluster.history.elected_us
        waits_us.append(min(at_us for at_us in elected_us if at_us > killed_us[0]) - killed_us[0])
    assert sorted(waits_us)[-1] < 1.5 * SECOND_US, sorted(waits_us)[-3:]
