"""A model of the replicated log, which runs ``RaftNode`` in the model checker with faulty links and disks.

The network is a set from which messages are never removed, so each may be lost, repeated or reordered. A disk
persists updates one by one. A crash loses the updates that are not persisted, and may lose the disk. Time is
not modelled: a voter may start an election at any moment. This allows more executions than real clocks do, so
the checked properties must hold without leader stickiness.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from honeybarrow.consensus.actions import Action, ApplyEntry, PersistState, Role, RoleChanged, SendMessage
from honeybarrow.consensus.config import ConsensusConfig
from honeybarrow.consensus.election import Election
from honeybarrow.consensus.errors import DivergedError, VoterChangeError
from honeybarrow.consensus.log_entries import (
    Command,
    EntryBody,
    LogEntry,
    Snapshot,
    Voter,
    VoterConfiguration,
)
from honeybarrow.consensus.messages import INCARNATION_NONCE_BITS, AppendEntries, Message, VoterIdentity
from honeybarrow.consensus.node import RaftNode
from honeybarrow.consensus.persistent_state import PersistentState
from honeybarrow.consensus.replication import LeaderReplication
from honeybarrow.consensus.state import NodeState, PeerProgress

CONFIG = ConsensusConfig()
NAMES = ("a", "b", "c")
Packet = tuple[str, str, Message]


class ModelState(NodeState):
    """A node state without the counters that would make equivalent states differ."""

    @property
    def identity(self) -> VoterIdentity:
        return VoterIdentity(self.disk_id, 1 << INCARNATION_NONCE_BITS, 0)

    def copy(self) -> ModelState:
        """Return an independent copy."""
        new = copy.copy(self)
        new.log = copy.copy(self.log)
        new.log.entries = self.log.entries.copy()
        new.log._configurations = self.log._configurations.copy()
        new.outbox = copy.copy(self.outbox)
        new.outbox.pending_writes = self.outbox.pending_writes.copy()
        new.outbox.deferred = self.outbox.deferred.copy()
        new.outbox.actions = self.outbox.actions.copy()
        new.election = replace(self.election, votes_received=self.election.votes_received.copy())
        peers = {n: PeerProgress(p.next_index, p.match_index) for n, p in self.leadership.peers.items()}
        new.leadership = replace(
            self.leadership, peers=peers, round_sent_us=self.leadership.round_sent_us.copy()
        )
        return new


class ModelElection(Election):
    """An election that ignores known leaders."""

    def hears_leader(self, now_us: int) -> bool:
        return False


class ModelLeaderReplication(LeaderReplication):
    """Leader replication that does not count heartbeat rounds."""

    def send_heartbeats(self, now_us: int) -> None:
        self.state.leadership.round_number = 0
        super().send_heartbeats(now_us)


class ModelNode(RaftNode):
    """A node without counters and timers, for the model checker."""

    state_type: type[NodeState] = ModelState
    election_type: type[Election] = ModelElection
    leader_type: type[LeaderReplication] = ModelLeaderReplication

    def copy(self) -> ModelNode:
        """Return an independent copy."""
        new = copy.copy(self)
        new.__dict__.pop("_model_key", None)
        assert isinstance(self.state, ModelState)
        new._use_state(self.state.copy())
        return new

    def model_key(self) -> Hashable:
        """Return a key that is equal for equivalent nodes. It is computed once."""
        if "_model_key" not in self.__dict__:
            state, log, outbox, election = self.state, self.state.log, self.state.outbox, self.state.election
            persisted = outbox.persisted_sequence
            peers = sorted(state.leadership.peers.items())
            self.__dict__["_model_key"] = (
                state.term, state.voted_for, log.snapshot, tuple(log.entries), state.role, state.commit_index,
                state.disk_id, outbox.persisted_index, outbox.last_sequence - persisted,
                election.own_vote_sequence > persisted,
                tuple((n - persisted, last) for n, last in outbox.pending_writes.items()),
                tuple((n - persisted, send) for n, send in outbox.deferred),
                tuple(sorted(election.votes_received)),
                tuple((n, p.next_index, p.match_index) for n, p in peers), state.leadership.term_start_index,
            )  # fmt: skip
        return self.__dict__["_model_key"]  # type: ignore[no-any-return]


@dataclass(frozen=True)
class Disk:
    """The persisted state of a node, and the updates that are written but not persisted yet."""

    persistent_state: PersistentState
    pending: tuple[PersistState, ...] = ()
    key: Hashable = ()

    def persist_oldest(self) -> Disk:
        """Return the disk after the oldest pending update is persisted."""
        new = self.persistent_state.copy()
        new.apply_update(self.pending[0])
        return replace(self, persistent_state=new, pending=self.pending[1:])

    def model_key(self) -> Hashable:
        """Return a key that is equal for equivalent disks."""
        state = self.persistent_state
        pending = tuple((p.term, p.voted_for, p.first_index, p.entries, p.snapshot) for p in self.pending)
        return (
            state.term,
            state.voted_for,
            state.commit_index,
            state.snapshot,
            tuple(state.entries),
            pending,
        )


@dataclass(frozen=True)
class State:
    """The state of a small fleet."""

    nodes: tuple[ModelNode, ...]
    disks: tuple[Disk, ...]
    network: frozenset[Packet]
    leaders: tuple[tuple[int, str], ...] = ()
    committed: tuple[LogEntry, ...] = ()
    proposed: int = 0
    crashes: int = 0
    disks_lost: int = 0
    violation: str = ""


@dataclass
class ConsensusModel:
    """The bounds of the explored states, and the node class under test."""

    max_terms: int = 2
    max_proposals: int = 1
    max_crashes: int = 0
    max_disks_lost: int = 0
    has_snapshots: bool = False
    has_voter_change: bool = False
    members: int = 3
    # Whether other events can happen before an update is persisted.
    has_slow_disks: bool = False
    has_pre_vote: bool = False  # not needed for safety, and doubles the number of states
    node_type: type[ModelNode] = ModelNode

    def initial_state(self) -> State:
        """Return the initial state, in which each node holds the first entry, which names the voters."""
        names = NAMES[: self.members]
        voter_names = names[:-1] if self.has_voter_change else names
        first = LogEntry(1, VoterConfiguration("fleet", tuple(Voter(name, 1) for name in voter_names)))
        persistent_state = PersistentState(1, "", 1, Snapshot(), [first], 0)
        nodes = tuple(self._start(name, 1, persistent_state) for name in names)
        disks = tuple(Disk(persistent_state) for _ in names)
        return State(nodes, disks, frozenset(), committed=(first,))

    def _start(self, name: str, disk_id: int, persistent_state: PersistentState) -> ModelNode:
        node = self.node_type(name, disk_id, 1, random.Random(1), CONFIG, persistent_state, 0)
        node.start()
        return node

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield each possible next event and the state after it."""
        for packet in sorted(state.network, key=repr):
            node_index = NAMES.index(packet[1])
            sender, message = packet[0], packet[2]
            yield from self._transition(
                state, node_index, f"{sender}>{packet[1]} {_describe(message)}", "message", sender, message
            )
        for node_index, node in enumerate(state.nodes):
            if state.disks[node_index].pending:
                yield from self._transition(state, node_index, f"{node.name} persists", "persist")
            if node.role is not Role.LEADER and node.is_voter and node.term < self.max_terms:
                yield from self._transition(state, node_index, f"{node.name} starts an election", "election")
            if node.role is Role.LEADER:
                if state.proposed < self.max_proposals:
                    yield from self._transition(state, node_index, f"{node.name} proposes", "propose")
                yield from self._transition(state, node_index, f"{node.name} sends heartbeats", "heartbeat")
            if self.has_snapshots and node.last_applied > node.log.snapshot.last_included_index + 1:
                yield from self._transition(state, node_index, f"{node.name} compacts", "compact")
            if state.crashes < self.max_crashes:
                yield self._crash(state, node_index, False)
            if state.disks_lost < self.max_disks_lost:
                yield self._crash(state, node_index, True)

    def _transition(
        self, state: State, node_index: int, label: str, event: str, *args: Any
    ) -> Iterator[tuple[str, State]]:
        node, disk = state.nodes[node_index].copy(), state.disks[node_index]
        if event == "persist":
            args, disk = (disk.pending[0].sequence_number,), disk.persist_oldest()
        try:
            actions = self._run_event(state, node, event, args)
        except DivergedError as error:
            yield label, replace(state, violation=str(error))
            return
        except VoterChangeError:
            return
        if not self.has_slow_disks:
            disk, actions = _persist_at_once(node, disk, actions)
        proposed = state.proposed + (event == "propose")
        yield label, self._state_after(state, node_index, node, disk, actions, proposed)

    def _run_event(self, state: State, node: ModelNode, event: str, args: tuple[Any, ...]) -> list[Action]:
        match event:
            case "message":
                return node.on_message(0, *args)
            case "persist":
                return node.on_persisted(0, *args)
            case "election":
                (node.election.start_pre_vote if self.has_pre_vote else node.election.start_election)(0)
                return node.state.outbox.take_actions()
            case "heartbeat":
                node.leader_replication.send_heartbeats(0)
                return node.state.outbox.take_actions()
            case "compact":
                return node.compact(node.last_applied, b"")
        assert event == "propose"
        body: EntryBody = Command(f"p{state.proposed}", b"")
        if self.has_voter_change and not state.proposed:
            body = VoterConfiguration("more", (*node.voters, Voter(NAMES[self.members - 1], 1)))
        return node.propose(0, body).actions

    def _state_after(
        self,
        state: State,
        node_index: int,
        node: ModelNode,
        disk: Disk,
        actions: list[Action],
        proposed: int,
    ) -> State:
        network, leaders, committed, violation = state.network, state.leaders, state.committed, ""
        sent_packets: list[Packet] = []
        for action in actions:
            match action:
                case SendMessage(recipient, message):
                    sent_packets.append((node.name, recipient, message))
                case PersistState():
                    disk = replace(disk, pending=(*disk.pending, action))
                case RoleChanged(Role.LEADER, _, term):
                    if any(t == term and name != node.name for t, name in leaders):
                        violation = f"two leaders of term {term}"
                    leaders = tuple(sorted({*leaders, (term, node.name)}))
                case ApplyEntry(index, entry):
                    if index <= len(committed):
                        if committed[index - 1] != entry:
                            violation = f"two different entries are committed at index {index}"
                    elif index == len(committed) + 1:
                        committed = (*committed, entry)
                    else:
                        violation = f"entry {index} is applied before entry {index - 1}"
        network = network | {packet for packet in sent_packets if packet[1] != node.name}
        nodes = (*state.nodes[:node_index], node, *state.nodes[node_index + 1 :])
        disks = (*state.disks[:node_index], disk, *state.disks[node_index + 1 :])
        terms = {each.name: each.term for each in nodes}
        # A message of an earlier term than its recipient's would be rejected, so it is dropped here.
        packets: Any = network
        network = frozenset(packet for packet in packets if packet[2].term >= terms[packet[1]])
        return replace(
            state, nodes=nodes, disks=disks, network=network, leaders=leaders, committed=committed,
            proposed=proposed, violation=violation,
        )  # fmt: skip

    def _crash(self, state: State, node_index: int, loses_disk: bool) -> tuple[str, State]:
        name, disk = state.nodes[node_index].name, replace(state.disks[node_index], pending=())
        disk_id = state.nodes[node_index].state.disk_id
        if loses_disk:
            disk, disk_id = Disk(PersistentState()), disk_id + 1
        node = self._start(name, disk_id, disk.persistent_state)
        nodes = (*state.nodes[:node_index], node, *state.nodes[node_index + 1 :])
        disks = (*state.disks[:node_index], disk, *state.disks[node_index + 1 :])
        after = replace(
            state,
            nodes=nodes,
            disks=disks,
            crashes=state.crashes + (not loses_disk),
            disks_lost=state.disks_lost + loses_disk,
        )
        return f"{name} {'loses its disk' if loses_disk else 'crashes'}", after

    def state_key(self, state: State) -> Hashable:
        """Return a key that is equal for equivalent states."""
        return (
            tuple(node.model_key() for node in state.nodes),
            tuple(disk.model_key() for disk in state.disks),
            state.network, state.leaders, state.committed, state.proposed, state.crashes, state.disks_lost,
        )  # fmt: skip

    def find_violation(self, state: State) -> str:
        """Return a description of the violation, or an empty string.

        Each term has at most one leader, and committed entries never differ and are never lost.
        """
        return state.violation


def _persist_at_once(node: ModelNode, disk: Disk, actions: list[Action]) -> tuple[Disk, list[Action]]:
    """Persist all updates, and the updates that result from it, before any other event."""
    updates = [action for action in actions if isinstance(action, PersistState)]
    while updates:
        for update in updates:
            disk = replace(disk, pending=(*disk.pending, update)).persist_oldest()
        new_actions = node.on_persisted(0, updates[-1].sequence_number)
        actions = [*(each for each in actions if not isinstance(each, PersistState)), *new_actions]
        updates = [action for action in new_actions if isinstance(action, PersistState)]
    return disk, [each for each in actions if not isinstance(each, PersistState)]


def _describe(message: Message) -> str:
    if isinstance(message, AppendEntries):
        return (
            f"AppendEntries t{message.term} after {message.prev_log_index} "
            f"{len(message.entries)} entries commit {message.leader_commit}"
        )
    return repr(message)
