"""The state of one member of the log, shared by its election and replication components.

Times are in microseconds of this process's monotonic clock.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from honeybarrow.consensus.actions import (
    ApplyEntry,
    PersistState,
    RestoreSnapshot,
    Role,
    RoleChanged,
    SendMessage,
)
from honeybarrow.consensus.config import NEVER_US, ConsensusConfig
from honeybarrow.consensus.log_entries import LogEntry, ReplicatedLog, Snapshot, Voter
from honeybarrow.consensus.messages import Message, VoterIdentity
from honeybarrow.consensus.outbox import Outbox
from honeybarrow.consensus.persistent_state import PersistentState


@dataclass(frozen=True, slots=True)
class WallClockReading:
    """A voter's wall clock, and when the leader received it by its own monotonic clock."""

    wall_clock_us: int
    received_us: int


@dataclass(slots=True)
class PeerProgress:
    """The replication progress of another voter, as known to the leader."""

    next_index: int
    match_index: int = 0
    last_acknowledged_us: int = -NEVER_US  # sending time of the newest acknowledged round
    wall_clock: WallClockReading | None = None


@dataclass(slots=True)
class ElectionState:
    """The election timer of a follower, and the votes for a candidate."""

    leader_heard_us: int  # time of the last message from a leader
    due_us: int  # time of the next election, if no leader is heard before
    votes_received: dict[str, None] = field(default_factory=dict)
    own_vote_sequence: int = 0  # number of the update with the candidate's vote for itself; 0 if none


@dataclass(slots=True)
class LeaderState:
    """The state that only a leader uses."""

    peers: dict[str, PeerProgress] = field(default_factory=dict)
    round_number: int = 0
    round_sent_us: OrderedDict[int, int] = field(default_factory=OrderedDict)  # by round number
    heartbeat_due_us: int = NEVER_US
    leader_since_us: int = 0
    term_start_index: int = 0  # index of the first entry of its term


class NodeState:
    """One member's log, term, vote, role and pending actions."""

    def __init__(
        self,
        name: str,
        disk_id: int,
        incarnation: int,
        rng: random.Random,
        config: ConsensusConfig,
        persistent: PersistentState,
        now_us: int,
    ) -> None:
        self.name, self.disk_id, self.incarnation = name, disk_id, incarnation
        self.rng, self.config = rng, config
        self.term, self.voted_for = persistent.term, persistent.voted_for
        self.log = ReplicatedLog(persistent.snapshot, persistent.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = self.last_applied = persistent.snapshot.last_included_index
        self.outbox = Outbox(persistent.sequence_number, self.log.last_index)
        # A leader heard before the restart may still rely on this voter to grant no other votes, so the voter
        # waits as if it had just heard a leader.
        self.election = ElectionState(now_us, now_us + self.draw_election_timeout_us())
        self.leadership = LeaderState()
        if persistent.snapshot.last_included_index:
            self.outbox.add(RestoreSnapshot(persistent.snapshot))
        self.commit_up_to(min(persistent.commit_index, self.log.last_index))

    @property
    def is_voter(self) -> bool:
        """Whether this member, with its current disk, is a voter."""
        return Voter(self.name, self.disk_id) in self.log.voters

    @property
    def identity(self) -> VoterIdentity:
        """The disk and incarnation that this member's messages carry."""
        return VoterIdentity(self.disk_id, self.incarnation, self.outbox.persisted_sequence)

    def draw_election_timeout_us(self) -> int:
        """Return a randomized election timeout."""
        return self.config.election_timeout_us + self.rng.randrange(self.config.election_jitter_us)

    def draw_vote_timeout_us(self) -> int:
        """Return a randomized time that a candidate waits for votes."""
        return self.config.vote_timeout_us + self.rng.randrange(self.config.election_jitter_us)

    # --- role and term

    def change_role(self, role: Role, leader: str) -> None:
        """Change the role and the known leader, and reset the state of the previous role."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role, self.leader = role, leader
        self.election.votes_received, self.election.own_vote_sequence = {}, 0
        if role is not Role.LEADER:
            self.leadership.peers, self.leadership.heartbeat_due_us = {}, NEVER_US
            self.leadership.round_sent_us.clear()
        self.outbox.add(RoleChanged(role, leader, self.term))

    def observe_term(self, term: int) -> None:
        """Adopt a later term of another member and become a follower."""
        if term > self.term:
            self.term, self.voted_for = term, ""
            self.change_role(Role.FOLLOWER, "")
            self.persist()

    # --- log

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries at the end and have them persisted."""
        first_index = self.log.append(entries)
        self.persist(first_index, tuple(entries))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at this index and all after it."""
        self.log.truncate_from(index)
        self.outbox.limit_persisted_index(index - 1)

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Restore another member's snapshot if it is newer than the committed entries."""
        if snapshot.last_included_index <= self.commit_index:
            return
        is_retained = self.log.restore(snapshot)
        # Entries after the snapshot that were not retained are removed from the disk as well.
        first_index = 0 if is_retained else snapshot.last_included_index + 1
        self.commit_index = self.last_applied = snapshot.last_included_index
        self.outbox.limit_persisted_index(self.log.last_index)
        self.outbox.add(RestoreSnapshot(snapshot))
        self.persist(first_index, snapshot=snapshot)

    def commit_up_to(self, index: int) -> None:
        """Mark the entries up to this index as committed, and have them applied."""
        self.commit_index = max(self.commit_index, index)
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            self.outbox.add(ApplyEntry(self.last_applied, self.log.entry_at(self.last_applied)))

    # --- actions

    def persist(
        self, first_index: int = 0, entries: tuple[LogEntry, ...] = (), snapshot: Snapshot | None = None
    ) -> int:
        """Have the state persisted with these entries from ``first_index`` on.

        Return the sequence number of the update.
        """
        sequence_number = self.outbox.last_sequence + 1
        update = PersistState(
            sequence_number, self.term, self.voted_for, self.commit_index, first_index, entries, snapshot
        )
        self.outbox.add_update(update, self.log.last_index)
        return sequence_number

    def send(self, recipient: str, message: Message) -> None:
        """Send a message that does not depend on pending disk writes."""
        self.outbox.add(SendMessage(recipient, message))

    def send_when_persisted(self, recipient: str, message: Message) -> None:
        """Send a message once all updates so far are on disk."""
        self.outbox.add_when_persisted(SendMessage(recipient, message), self.outbox.last_sequence)

    def send_to_voters(self, message: Message, when_persisted: bool = False) -> None:
        """Send a message to all other voters."""
        send = self.send_when_persisted if when_persisted else self.send
        for voter in self.log.voters:
            if voter.name != self.name:
                send(voter.name, message)
