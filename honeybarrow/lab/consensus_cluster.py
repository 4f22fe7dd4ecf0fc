"""Simulates a consensus cluster: production :class:`RaftNode` instances on modelled links and disks.

Links delay, lose and duplicate messages and can be cut in one or both directions. Members are killed and
restarted, paused, or lose their disk. A workload proposes commands through random members; some commands are
proposed twice. The run records acknowledged proposals and applied entries, and :func:`find_violations` checks
this history against the guarantees of the replicated log. All times are in microseconds of simulated time;
durations measured here are those of the model, not of a deployment.
"""

from __future__ import annotations

import enum
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from honeybarrow.consensus.actions import (
    Action,
    ApplyEntry,
    DiskRolledBack,
    PersistState,
    Role,
    RoleChanged,
    SendMessage,
)
from honeybarrow.consensus.config import NEVER_US, ConsensusConfig
from honeybarrow.consensus.errors import DivergedError, NotLeaderError, VoterChangeError
from honeybarrow.consensus.log_entries import Command, LogEntry, Snapshot, Voter, VoterConfiguration
from honeybarrow.consensus.messages import INCARNATION_NONCE_BITS, FetchCommitted, Message
from honeybarrow.consensus.node import RaftNode
from honeybarrow.consensus.persistent_state import PersistentState

SECOND_US = 1_000_000
SLOW_DELAY_FACTOR = 20  # multiplies the delays of a member with slow links


class FaultKind(enum.Enum):
    """Kinds of faults.

    :func:`draw_parameters` indexes them in this order, so the order affects seeded runs.
    """

    KILL = "kill"
    PAUSE = "pause"
    CUT = "cut"  # links to the unaffected members fail in both directions
    ONE_WAY_CUT = "one-way cut"  # messages to the unaffected members are lost
    DISK_LOST = "disk lost"
    SLOW_LINKS = "slow links"
    ALL_KILLED = "all killed"


FAULT_KINDS = tuple(FaultKind)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and the positions of the affected members in the cluster."""

    kind: FaultKind
    start_us: int
    duration_us: int
    members: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClusterParameters:
    """Parameters of a run: members, links, disks, workload and faults.

    Rates are fractions of messages between 0 and 1.
    """

    voters: int = 3
    learners: int = 2
    duration_us: int = 20 * SECOND_US
    delay_range_us: tuple[int, int] = (500, 10_000)
    loss_rate: float = 0.02
    duplicate_rate: float = 0.02
    sync_range_us: tuple[int, int] = (500, 8_000)
    proposal_interval_us: int = 100_000
    faults: tuple[Fault, ...] = ()
    config: ConsensusConfig = field(default_factory=ConsensusConfig)


@dataclass(slots=True)
class _Member:
    """A member's process, its disk, and the entries that it has applied."""

    name: str
    node: RaftNode
    persistent_state: PersistentState
    disk_id: int = 1
    start_count: int = 1
    process_number: int = 0  # incremented when the process is killed, to drop its scheduled calls
    is_running: bool = True
    is_paused: bool = False
    delayed_calls: list[Callable[[], None]] = field(default_factory=list)
    applied: dict[int, LogEntry] = field(default_factory=dict)
    disk_busy_until_us: int = 0


@dataclass(slots=True)
class AcknowledgedProposal:
    """An acknowledged proposal with its log index and the times of proposal and acknowledgment."""

    proposal_id: str
    index: int
    proposed_us: int
    acknowledged_us: int


@dataclass(slots=True)
class ClusterHistory:
    """The recorded history of a run.

    ``leaders`` maps a term to its leader; ``elected_us`` lists the times at which a member became leader;
    ``committed`` maps a log index to its entry.
    """

    acknowledged: list[AcknowledgedProposal] = field(default_factory=list)
    proposed: int = 0
    rejected: int = 0
    leaders: dict[int, str] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    elected_us: list[int] = field(default_factory=list)
    message_count: int = 0
    readmission_count: int = 0
    committed: dict[int, LogEntry] = field(default_factory=dict)


class ConsensusCluster:
    """A cluster of members with simulated links and disks.

    ``node_type`` is the node class that members run; tests pass faulty subclasses.
    """

    def __init__(
        self, parameters: ClusterParameters, seed: int, node_type: type[RaftNode] = RaftNode
    ) -> None:
        self.parameters, self.node_type = parameters, node_type
        self.rng = random.Random(f"agreeing/{seed}")  # changing this text changes all seeded runs
        self.now_us, self.sequence_number = SECOND_US, 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.history = ClusterHistory()
        self.cut_until_us: dict[tuple[str, str], int] = {}
        self.slow_until_us: dict[str, int] = {}
        self.pending_proposals: dict[tuple[str, int], tuple[str, int]] = {}  # by member and index
        names = [f"v{n}" for n in range(parameters.voters)] + [f"l{n}" for n in range(parameters.learners)]
        voters = tuple(Voter(f"v{n}", 1) for n in range(parameters.voters))
        self.members: dict[str, _Member] = {}
        for name in names:
            first_entry = LogEntry(1, VoterConfiguration("fleet", voters))
            state = PersistentState(1, "", 1, Snapshot(), [first_entry], 0)
            self.members[name] = member = _Member(name, self._create_node(name, 1, 1, state), state)
            self._perform_actions(member, member.node.start())
            self._schedule_timer(member)

    def run(self) -> ClusterHistory:
        """Run the cluster, then a fault-free period in which members catch up, and return the history."""
        for fault in self.parameters.faults:
            self.schedule(fault.start_us, lambda f=fault: self.start_fault(f))  # type: ignore[misc]
        end_us = SECOND_US + self.parameters.duration_us
        self.schedule(
            self.now_us + self.parameters.proposal_interval_us, lambda: self._propose_random(end_us)
        )
        self.schedule(self.now_us + SECOND_US, lambda: self._readmit_voters(end_us + 4 * SECOND_US))
        for member in self.members.values():
            self.schedule(
                self.now_us + self.rng.randrange(SECOND_US // 4),
                lambda m=member: self._request_committed(m, end_us),  # type: ignore[misc]
            )
        quiet_end_us = end_us + 8 * SECOND_US
        while self.queue and self.queue[0][0] <= quiet_end_us:
            self.now_us, _, call = heapq.heappop(self.queue)
            call()
        return self.history

    def schedule(self, at_us: int, call: Callable[[], None]) -> None:
        """Schedule a call; calls scheduled for the same time run in the order of scheduling."""
        self.sequence_number += 1
        heapq.heappush(self.queue, (at_us, self.sequence_number, call))

    def _create_node(self, name: str, disk_id: int, start_count: int, state: PersistentState) -> RaftNode:
        incarnation = (start_count << INCARNATION_NONCE_BITS) + self.rng.randrange(
            1 << INCARNATION_NONCE_BITS
        )
        rng = random.Random(self.rng.random())
        return self.node_type(
            name, disk_id, incarnation, rng, self.parameters.config, state.copy(), self.now_us
        )

    # actions of a node

    def _run_node(self, member: _Member, call: Callable[[], list[Action]]) -> None:
        try:
            self._perform_actions(member, call())
        except DivergedError as error:
            self.history.violations.append(f"{member.name}: {error}")
            member.is_running = False
            return
        node = member.node
        if (
            node.last_applied - node.log.snapshot.last_included_index
            > self.parameters.config.max_retained_entries
        ):
            self._perform_actions(member, node.compact(node.last_applied, b"state"))
        self._schedule_timer(member)

    def _perform_actions(self, member: _Member, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(recipient, message):
                    self._send(member.name, recipient, message)
                case PersistState():
                    self._persist(member, action)
                case ApplyEntry(index, entry):
                    self._record_applied(member, index, entry)
                case RoleChanged(Role.LEADER, _, term):
                    known_leader = self.history.leaders.setdefault(term, member.name)
                    if known_leader != member.name:
                        self.history.violations.append(
                            f"term {term}: {known_leader} and {member.name} are both leader"
                        )
                    self.history.elected_us.append(self.now_us)
                case DiskRolledBack(name):
                    self.history.violations.append(f"{member.name}: the disk of {name} was rolled back")

    def _persist(self, member: _Member, update: PersistState) -> None:
        # The disk persists updates one at a time, in order.
        sync_us = self.rng.randint(*self.parameters.sync_range_us)
        member.disk_busy_until_us = max(member.disk_busy_until_us, self.now_us) + sync_us
        process_number = member.process_number
        self.schedule(member.disk_busy_until_us, lambda: self._on_persisted(member, update, process_number))

    def _record_applied(self, member: _Member, index: int, entry: LogEntry) -> None:
        member.applied[index] = entry
        known_entry = self.history.committed.setdefault(index, entry)
        if known_entry != entry:
            self.history.violations.append(
                f"{member.name}: entry {index} was committed with two different values"
            )
        if (pending := self.pending_proposals.pop((member.name, index), None)) is not None:
            proposal_id, proposed_us = pending
            if isinstance(entry.body, Command) and entry.body.proposal_id == proposal_id:
                self.history.acknowledged.append(
                    AcknowledgedProposal(proposal_id, index, proposed_us, self.now_us)
                )

    def _on_persisted(self, member: _Member, update: PersistState, process_number: int) -> None:
        if member.process_number != process_number or not member.is_running:
            return
        member.persistent_state.apply_update(update)
        self._call_unless_paused(
            member,
            lambda: self._run_node(
                member, lambda: member.node.on_persisted(self.now_us, update.sequence_number)
            ),
        )

    def _schedule_timer(self, member: _Member) -> None:
        due_us, process_number = member.node.next_wakeup_us, member.process_number
        if due_us < NEVER_US:
            at_us = max(due_us, self.now_us + 1)
            self.schedule(at_us, lambda: self._on_timer(member, due_us, process_number))

    def _on_timer(self, member: _Member, due_us: int, process_number: int) -> None:
        is_current = member.process_number == process_number and member.node.next_wakeup_us == due_us
        if member.is_running and is_current:
            self._call_unless_paused(
                member, lambda: self._run_node(member, lambda: member.node.on_timer(self.now_us))
            )

    def _call_unless_paused(self, member: _Member, call: Callable[[], None]) -> None:
        if member.is_paused:
            member.delayed_calls.append(call)
        else:
            call()

    # links

    def _send(self, sender: str, recipient: str, message: Message) -> None:
        self.history.message_count += 1
        for _ in range(1 + (self.rng.random() < self.parameters.duplicate_rate)):
            if self.rng.random() < self.parameters.loss_rate:
                continue
            delay_us = self.rng.randint(*self.parameters.delay_range_us)
            if any(self.slow_until_us.get(name, 0) > self.now_us for name in (sender, recipient)):
                delay_us *= SLOW_DELAY_FACTOR
            self.schedule(self.now_us + delay_us, lambda: self._deliver(sender, recipient, message))

    def _deliver(self, sender: str, recipient: str, message: Message) -> None:
        member = self.members[recipient]
        if not member.is_running or self.cut_until_us.get((sender, recipient), 0) > self.now_us:
            return
        wall_clock_us = self.now_us
        self._call_unless_paused(
            member,
            lambda: self._run_node(
                member, lambda: member.node.on_message(self.now_us, sender, message, wall_clock_us)
            ),
        )

    def _request_committed(self, member: _Member, end_us: int) -> None:
        """Fetch committed entries from a random member if this one hears no leader; repeat periodically."""
        if member.is_running and not member.is_paused and not member.node.hears_leader(self.now_us):
            other = self.rng.choice([name for name in self.members if name != member.name])
            self._send(member.name, other, FetchCommitted(member.node.commit_index))
        if self.now_us < end_us + 6 * SECOND_US:
            self.schedule(self.now_us + SECOND_US // 4, lambda: self._request_committed(member, end_us))

    # proposals

    def _propose_random(self, end_us: int) -> None:
        """Propose a command, sometimes repeated or through two members; repeat until ``end_us``."""
        self.history.proposed += 1
        number = self.history.proposed if self.rng.random() > 0.1 else self.rng.randint(1, 9)
        for _ in range(1 + (self.rng.random() < 0.1)):
            member = self.members[self.rng.choice(list(self.members))]
            leader = self.members.get(member.node.leader)
            if leader is None or not leader.is_running or leader.is_paused or not member.is_running:
                self.history.rejected += 1
                continue
            self._propose_to(leader, Command(f"p{number}", b""))
        if self.now_us < end_us:
            next_us = self.now_us + self.parameters.proposal_interval_us
            self.schedule(next_us, lambda: self._propose_random(end_us))

    def _propose_to(self, member: _Member, body: Command | VoterConfiguration) -> None:
        try:
            result = member.node.propose(self.now_us, body)
        except (NotLeaderError, VoterChangeError):
            self.history.rejected += 1
            return
        self.pending_proposals[member.name, result.log_index] = (body.proposal_id, self.now_us)
        self._run_node(member, lambda: result.actions)

    def _readmit_voters(self, end_us: int) -> None:
        """Remove voters that restarted with an empty disk, and add them again once they have the log.

        This does what an operator does in a deployment. It repeats until ``end_us``.
        """
        if self.now_us < end_us:
            self.schedule(self.now_us + SECOND_US // 3, lambda: self._readmit_voters(end_us))
        leader = next(
            (
                member
                for member in self.members.values()
                if member.is_running and member.node.is_confirmed_leader(self.now_us)
            ),
            None,
        )
        if leader is None or leader.is_paused:
            return
        voters = leader.node.voters
        voter_names = [voter.name for voter in voters]
        for name, member in self.members.items():
            if not name.startswith("v") or not member.is_running:
                continue
            voter = Voter(name, member.disk_id)
            if name in voter_names and voter not in voters:
                new_voters = tuple(each for each in voters if each.name != name)
            elif name not in voter_names and member.node.commit_index >= leader.node.commit_index:
                new_voters = (*voters, voter)
            else:
                continue
            self.history.readmission_count += name not in voter_names
            self._propose_to(leader, VoterConfiguration(f"roll {self.now_us}", new_voters))
            return

    # faults

    def start_fault(self, fault: Fault) -> None:
        """Start a fault now."""
        names = list(self.members)
        affected = [names[position % len(names)] for position in fault.members]
        until_us = self.now_us + fault.duration_us
        match fault.kind:
            case FaultKind.KILL | FaultKind.DISK_LOST:
                for name in affected:
                    self._kill_member(self.members[name], fault)
            case FaultKind.ALL_KILLED:
                for name in names:
                    self._kill_member(self.members[name], fault)
            case FaultKind.PAUSE:
                for name in affected:
                    self.members[name].is_paused = True
                    self.schedule(until_us, lambda n=name: self._resume(self.members[n]))  # type: ignore[misc]
            case FaultKind.SLOW_LINKS:
                self.slow_until_us.update(dict.fromkeys(affected, until_us))
            case FaultKind.CUT | FaultKind.ONE_WAY_CUT:
                self._cut_links(affected, until_us, fault.kind is FaultKind.CUT)

    def _cut_links(self, affected: list[str], until_us: int, in_both_directions: bool) -> None:
        for name in affected:
            for other in self.members:
                if other not in affected:
                    self.cut_until_us[name, other] = until_us
                    if in_both_directions:
                        self.cut_until_us[other, name] = until_us

    def _resume(self, member: _Member) -> None:
        member.is_paused = False
        delayed_calls, member.delayed_calls = member.delayed_calls, []
        for call in delayed_calls:
            call()

    def _kill_member(self, member: _Member, fault: Fault) -> None:
        if not member.is_running:
            return
        member.is_running, member.is_paused, member.delayed_calls = False, False, []
        member.process_number += 1
        if fault.kind is FaultKind.DISK_LOST:
            member.persistent_state, member.start_count = PersistentState(), 0
            member.disk_id += 1
        wait_us = fault.duration_us + self.rng.randrange(SECOND_US // 2)
        self.schedule(self.now_us + wait_us, lambda: self._start_member(member))

    def _start_member(self, member: _Member) -> None:
        member.is_running = True
        member.start_count += 1
        member.node = self._create_node(
            member.name, member.disk_id, member.start_count, member.persistent_state
        )
        member.applied = {}
        self._run_node(member, member.node.start)


def find_violations(cluster: ConsensusCluster) -> list[str]:
    """Return the violations of the log's guarantees in a finished run.

    All members apply the same entries, acknowledged proposals are neither lost nor reordered, and running
    members lack at most the last committed entry.
    """
    history = cluster.history
    violations = list(history.violations)
    for proposal in history.acknowledged:
        entry = history.committed.get(proposal.index)
        if (
            entry is None
            or not isinstance(entry.body, Command)
            or entry.body.proposal_id != proposal.proposal_id
        ):
            violations.append(
                f"{proposal.proposal_id} was acknowledged at index {proposal.index} but not committed there"
            )
    violations += _find_order_violations(history.acknowledged)
    last_committed = max(history.committed, default=0)
    for member in cluster.members.values():
        is_behind = member.node.commit_index < last_committed - 1
        if member.is_running and is_behind and not member.is_paused:
            violations.append(
                f"{member.name} is behind: commit index {member.node.commit_index} of {last_committed}"
            )
    return violations


def _find_order_violations(acknowledged: list[AcknowledgedProposal]) -> list[str]:
    """Check linearizability: a proposal follows all that were acknowledged before it was proposed."""
    violations: list[str] = []
    highest: list[tuple[int, int]] = []  # time, and the highest index acknowledged by then
    for proposal in sorted(acknowledged, key=lambda each: each.acknowledged_us):
        index = max(proposal.index, highest[-1][1] if highest else 0)
        highest.append((proposal.acknowledged_us, index))
    for proposal in acknowledged:
        earlier_indexes = [index for at_us, index in highest if at_us < proposal.proposed_us]
        if earlier_indexes and earlier_indexes[-1] > proposal.index:
            violations.append(
                f"{proposal.proposal_id} is at index {proposal.index}, "
                "lower than that of a proposal acknowledged before it was proposed"
            )
    return violations


def draw_parameters(seed: int, voters: int = 3, learners: int = 2) -> ClusterParameters:
    """Draw parameters with random faults.

    At most one disk is lost, so that a majority of voters keeps the log.
    """
    rng = random.Random(f"agreeing day/{seed}")  # changing this text changes all seeded runs
    faults: list[Fault] = []
    start_us, disks_lost = 2 * SECOND_US, 0
    while start_us < 18 * SECOND_US:
        kind = rng.choice(FAULT_KINDS)
        if kind is FaultKind.DISK_LOST and (disks_lost or voters < 3):
            kind = FaultKind.KILL
        is_disk_lost = kind is FaultKind.DISK_LOST
        disks_lost += is_disk_lost
        duration_us = rng.randint(SECOND_US // 2, 4 * SECOND_US)
        count = rng.randint(1, max(1, (voters + learners) // 2))
        members = tuple(rng.sample(range(voters + learners), count))
        faults.append(Fault(kind, start_us, duration_us, members[:1] if is_disk_lost else members))
        start_us += rng.randint(SECOND_US // 2, 4 * SECOND_US)
    max_retained_entries = rng.choice((8, 64, 4096))
    return ClusterParameters(
        voters,
        learners,
        loss_rate=rng.choice((0.0, 0.05, 0.2)),
        delay_range_us=(500, rng.choice((2_000, 50_000))),
        sync_range_us=(500, rng.choice((2_000, 60_000))),
        faults=tuple(faults),
        config=ConsensusConfig(max_retained_entries=max_retained_entries),
    )
