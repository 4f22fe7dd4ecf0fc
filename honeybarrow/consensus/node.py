"""One member of the replicated log, which all members hold in the same order.

This is a sans-I/O implementation of Raft: messages, times and notifications of disk writes come in, and an
ordered list of actions comes out. A few members are *voters*; all others are *learners*, which fetch
committed entries from any member that has more. The design follows published work:

- Terms, votes, log replication, snapshots, voters changed one at a time, pre-vote, and leaders that step down
  without a majority: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
  Ongaro's thesis (2014; sections 4.2.3, 6.2, 9.6). The correction of 2015 is included: a leader changes the
  voters only once an entry of its own term is committed.
- A voter that lost its disk counts as a different voter: Liskov and Cowling, "Viewstamped Replication
  Revisited" (2012). A voter is therefore identified by its name and its *disk id*, and the vote of a voter
  with another disk does not count. A disk that was restored from an old copy is detected by
  :class:`~honeybarrow.consensus.incarnations.IncarnationTracker`.

Safety rules:

- A vote or an acknowledgement of entries is sent only once it is on disk: the
  :class:`~honeybarrow.consensus.outbox.Outbox` defers such messages until the write is confirmed.
- A leader that receives no replies from a majority steps down, which covers links that fail in one direction.
- A voter that hears a leader grants no vote, so a partitioned member can't depose that leader.
- A restarted voter waits as if it had just heard a leader, since it no longer knows when it last did. The
  leader's own lease, and those that it issues to members (``leases.py``), depend on this wait.

Times are in microseconds of this process's monotonic clock. No clock affects which entries are committed.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from honeybarrow.consensus.actions import Action, DiskRolledBack, ProposalResult, Role
from honeybarrow.consensus.config import MAX_TRACKED_INCARNATIONS, NEVER_US, ConsensusConfig
from honeybarrow.consensus.election import Election
from honeybarrow.consensus.errors import NotLeaderError, VoterChangeError
from honeybarrow.consensus.incarnations import IdentityCheck, IncarnationTracker
from honeybarrow.consensus.log_entries import (
    EntryBody,
    LogEntry,
    ReplicatedLog,
    Voter,
    VoterConfiguration,
)
from honeybarrow.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    FetchCommitted,
    FetchCommittedReply,
    InstallSnapshot,
    Message,
    RequestVote,
    RequestVoteReply,
    VoterIdentity,
)
from honeybarrow.consensus.persistent_state import PersistentState
from honeybarrow.consensus.replication import FollowerReplication, LeaderReplication
from honeybarrow.consensus.state import NodeState


class RaftNode:
    """One member of the log.

    The caller passes in events, performs the returned actions, and calls :meth:`on_timer` at
    ``next_wakeup_us``.
    """

    # The component classes. Tests substitute classes that lack one safety check.
    state_type = NodeState
    leader_type = LeaderReplication
    follower_type = FollowerReplication
    election_type = Election

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
        self.incarnations = IncarnationTracker()
        self._use_state(self.state_type(name, disk_id, incarnation, rng, config, persistent, now_us))

    def _use_state(self, state: NodeState) -> None:
        self.state = state
        self.leader_replication = self.leader_type(state)
        self.follower_replication = self.follower_type(state)
        self.election = self.election_type(state, self.leader_replication)

    # --- queries

    @property
    def name(self) -> str:
        """This member's name."""
        return self.state.name

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """The current role."""
        return self.state.role

    @property
    def leader(self) -> str:
        """The name of the known leader, or an empty string."""
        return self.state.leader

    @property
    def log(self) -> ReplicatedLog:
        """The entries and the snapshot. Callers must not change them."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self.state.commit_index

    @property
    def last_applied(self) -> int:
        """The index of the last entry that was returned to be applied."""
        return self.state.last_applied

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The voters of the newest configuration in this log, committed or not."""
        return self.state.log.voters

    @property
    def is_voter(self) -> bool:
        """Whether this member, with its current disk, is a voter."""
        return self.state.is_voter

    @property
    def next_wakeup_us(self) -> int:
        """The time at which to call :meth:`on_timer`, unless another event comes first."""
        if self.state.role is Role.LEADER:
            return self.state.leadership.heartbeat_due_us
        return self.state.election.due_us if self.state.is_voter else NEVER_US

    def is_confirmed_leader(self, now_us: int) -> bool:
        """Return whether this member leads and no other leader can have been elected by now."""
        return self.leader_replication.is_confirmed_leader(now_us)

    def is_ready_leader(self, now_us: int) -> bool:
        """Return whether this member is a confirmed leader that has committed the first entry of its term.

        Such a leader knows all committed entries.
        """
        is_caught_up = self.state.commit_index >= self.state.leadership.term_start_index
        return self.is_confirmed_leader(now_us) and is_caught_up

    def is_past_for_majority(self, now_us: int, date_us: int, own_wall_clock_us: int) -> bool:
        """Return whether this wall-clock time is past by the clocks of a majority of the voters."""
        return self.leader_replication.is_past_for_majority(now_us, date_us, own_wall_clock_us)

    def hears_leader(self, now_us: int) -> bool:
        """Return whether a leader was heard within the last election timeout.

        For a leader, return whether it is a confirmed leader.
        """
        return self.election.hears_leader(now_us)

    # --- events

    def start(self) -> list[Action]:
        """Return the actions that apply the persisted state. Call this once, before any event."""
        return self.state.outbox.take_actions()

    def bootstrap(self, voters: Sequence[Voter], fleet_id: str) -> list[Action]:
        """Create the log of a new fleet, at an operator's request. Its first entry names the voters.

        :raises VoterChangeError: if this member already has a log.
        """
        if self.state.log.last_index or self.state.term:
            raise VoterChangeError(
                f"member {self.state.name!r} already has a log", "a fleet can be bootstrapped only once"
            )
        self.state.term = 1
        self.state.append([LogEntry(1, VoterConfiguration(fleet_id, tuple(voters)))])
        return self.state.outbox.take_actions()

    def on_timer(self, now_us: int) -> list[Action]:
        """Send heartbeats, step down or start an election if due."""
        if self.state.role is Role.LEADER:
            self.leader_replication.on_timer(now_us)
        elif self.state.is_voter and now_us >= self.state.election.due_us:
            self.election.start_pre_vote(now_us)
        return self.state.outbox.take_actions()

    def on_message(self, now_us: int, sender: str, message: Message, wall_clock_us: int = 0) -> list[Action]:
        """Handle a message of another member. ``wall_clock_us`` is this process's own wall clock.

        :raises DivergedError: if the message conflicts with entries that are committed here, or shows a
            second leader of the same term.
        """
        if isinstance(message, RequestVote | RequestVoteReply | AppendEntriesReply) and not self._is_trusted(
            sender, message.identity
        ):
            return self.state.outbox.take_actions()
        match message:
            case RequestVote():
                self.election.handle_request(now_us, sender, message)
            case RequestVoteReply():
                self.election.handle_reply(now_us, sender, message)
            case AppendEntries():
                self.follower_replication.handle_append_entries(now_us, sender, message, wall_clock_us)
            case InstallSnapshot():
                self.follower_replication.handle_install_snapshot(now_us, sender, message, wall_clock_us)
            case AppendEntriesReply():
                self.leader_replication.handle_reply(now_us, sender, message)
            case FetchCommitted():
                self.follower_replication.handle_fetch(sender, message)
            case FetchCommittedReply():
                self.follower_replication.handle_fetch_reply(message)
        return self.state.outbox.take_actions()

    def on_persisted(self, now_us: int, sequence_number: int) -> list[Action]:
        """Record that all updates up to ``sequence_number`` are on disk."""
        self.state.outbox.mark_persisted(sequence_number)
        if self.state.role is Role.CANDIDATE:
            self.election.on_persisted(now_us, sequence_number)
        elif self.state.role is Role.LEADER:
            self.leader_replication.advance_commit_index()
        return self.state.outbox.take_actions()

    def propose(self, now_us: int, body: EntryBody) -> ProposalResult:
        """Append an entry. It is committed once an :class:`ApplyEntry` action with it is returned, if ever.

        :raises NotLeaderError: if this member is not the leader.
        :raises VoterChangeError: if the voters can't be changed as proposed, or not yet.
        """
        state = self.state
        if state.role is not Role.LEADER:
            raise NotLeaderError(f"member {state.name!r} is not the leader", state.leader)
        if isinstance(body, VoterConfiguration):
            self.leader_replication.check_voter_change(body.voters)
        state.append([LogEntry(state.term, body)])
        self.leader_replication.send_heartbeats(now_us)
        self.leader_replication.advance_commit_index()
        return ProposalResult(state.log.last_index, state.outbox.take_actions())

    def compact(self, index: int, data: bytes) -> list[Action]:
        """Replace the applied entries up to ``index`` by a snapshot with the given state.

        Nothing changes if ``index`` is compacted already or not applied yet.
        """
        if not self.state.log.first_index <= index <= self.state.last_applied:
            return []
        self.state.persist(snapshot=self.state.log.compact(index, data))
        return self.state.outbox.take_actions()

    def _is_trusted(self, sender: str, identity: VoterIdentity) -> bool:
        if len(self.incarnations) >= MAX_TRACKED_INCARNATIONS:  # too many senders that are not voters
            self.incarnations.retain_only(self.state.log.voters)
        check = self.incarnations.check_identity(sender, identity)
        if check is IdentityCheck.ROLLED_BACK:
            self.state.outbox.add(DiskRolledBack(sender))
        return check is IdentityCheck.TRUSTED
