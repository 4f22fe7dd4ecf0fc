"""Log replication, on the leader and on followers and learners.

Sources: Ongaro and Ousterhout 2014 (sections 5.3, 5.4.2, 7); Ongaro's thesis (2014) for leaders that step
down without a majority (section 6.2) and for voters changed one at a time (section 4.1), with the correction
of 2015 that a leader changes them only once an entry of its own term is committed.
"""

from __future__ import annotations

from collections.abc import Sequence

from honeybarrow.consensus.actions import Role
from honeybarrow.consensus.config import MAX_TRACKED_ROUNDS, MAX_VOTERS, NEVER_US
from honeybarrow.consensus.errors import DivergedError, VoterChangeError
from honeybarrow.consensus.log_entries import LogEntry, Noop, Voter
from honeybarrow.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    FetchCommitted,
    FetchCommittedReply,
    InstallSnapshot,
)
from honeybarrow.consensus.state import NodeState, PeerProgress, WallClockReading


class LeaderReplication:
    """Replication on the leader: heartbeats, entries for the other voters, and the commit index."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    # --- leadership confirmation

    def is_confirmed_leader(self, now_us: int) -> bool:
        """Return whether this member leads and no other leader can have been elected by now."""
        return self.state.role is Role.LEADER and now_us < self.lease_end_us()

    def lease_end_us(self) -> int:
        """Return the time until which the acknowledgements of a majority rule out another leader."""
        acknowledged_us = [self._last_acknowledged_us(voter) for voter in self.state.log.voters]
        if not acknowledged_us:
            return -NEVER_US
        return self.get_majority_value(acknowledged_us) + self.state.config.leader_lease_us

    def is_past_for_majority(self, now_us: int, date_us: int, own_wall_clock_us: int) -> bool:
        """Return whether this wall-clock time is past by the clocks of a majority of the voters.

        A single wrong clock can't decide it, unless there is only one voter.
        """
        state = self.state
        agreeing = 0
        for voter in state.log.voters:
            if voter.name == state.name:
                agreeing += own_wall_clock_us >= date_us
                continue
            peer = state.leadership.peers.get(voter.name)
            if peer is not None and peer.wall_clock is not None:
                elapsed_us = now_us - peer.wall_clock.received_us
                # Assume the slowest possible clock, so that the date never counts as past too early.
                min_elapsed_us = int(elapsed_us * (1 - state.config.max_clock_drift))
                agreeing += peer.wall_clock.wall_clock_us + min_elapsed_us >= date_us
        return agreeing > len(state.log.voters) // 2

    def get_majority_value(self, values: list[int]) -> int:
        """Return the highest value that a majority of the values reaches."""
        return sorted(values, reverse=True)[len(values) // 2]

    def _last_acknowledged_us(self, voter: Voter) -> int:
        if voter.name == self.state.name:
            return NEVER_US // 2 if voter.disk_id == self.state.disk_id else -NEVER_US
        peer = self.state.leadership.peers.get(voter.name)
        return peer.last_acknowledged_us if peer is not None else -NEVER_US

    # --- sending

    def become_leader(self, now_us: int) -> None:
        """Become leader: append the first entry of the new term and send it to all voters."""
        state, leadership = self.state, self.state.leadership
        state.change_role(Role.LEADER, state.name)
        leadership.leader_since_us = now_us
        next_index = state.log.last_index + 1
        leadership.peers = {
            voter.name: PeerProgress(next_index) for voter in state.log.voters if voter.name != state.name
        }
        state.append([LogEntry(state.term, Noop())])
        leadership.term_start_index = state.log.last_index
        self.send_heartbeats(now_us)
        self.advance_commit_index()

    def on_timer(self, now_us: int) -> None:
        """Send heartbeats when they are due, or step down if no majority replies."""
        state, timeout_us = self.state, self.state.config.election_timeout_us
        is_established = now_us >= state.leadership.leader_since_us + 2 * timeout_us
        if now_us >= self.lease_end_us() + timeout_us and is_established:
            # A leader that can send but not receive would otherwise remain leader indefinitely.
            state.change_role(Role.FOLLOWER, "")
            state.election.due_us = now_us + state.draw_election_timeout_us()
        elif now_us >= state.leadership.heartbeat_due_us:
            self.send_heartbeats(now_us)

    def send_heartbeats(self, now_us: int) -> None:
        """Send each voter the entries that it lacks, or an empty heartbeat."""
        state, leadership = self.state, self.state.leadership
        leadership.heartbeat_due_us = now_us + state.config.heartbeat_interval_us
        leadership.round_number += 1
        leadership.round_sent_us[leadership.round_number] = now_us
        if len(leadership.round_sent_us) > MAX_TRACKED_ROUNDS:
            leadership.round_sent_us.popitem(last=False)
        names = {voter.name: None for voter in state.log.voters if voter.name != state.name}
        leadership.peers = {name: peer for name, peer in leadership.peers.items() if name in names}
        for name in names:
            new_peer = PeerProgress(state.log.last_index + 1)
            self._send_entries(name, leadership.peers.setdefault(name, new_peer))

    def _send_entries(self, name: str, peer: PeerProgress) -> None:
        state, log = self.state, self.state.log
        round_number = state.leadership.round_number
        if peer.next_index < log.first_index:
            state.send(name, InstallSnapshot(state.term, round_number, log.snapshot))
            return
        prev_log_index = peer.next_index - 1
        entries = log.get_batch(peer.next_index, log.last_index)
        prev_log_term = log.term_at(prev_log_index) or 0
        state.send(
            name,
            AppendEntries(
                state.term, round_number, prev_log_index, prev_log_term, entries, state.commit_index
            ),
        )

    # --- replies

    def handle_reply(self, now_us: int, sender: str, reply: AppendEntriesReply) -> None:
        """Record a voter's progress, advance the commit index, and send the entries that it still lacks."""
        state = self.state
        if reply.term > state.term:
            state.observe_term(reply.term)
            return
        peer = state.leadership.peers.get(sender)
        if state.role is not Role.LEADER or reply.term < state.term or peer is None:
            return
        self._record_reply(now_us, sender, peer, reply)
        if reply.is_success:
            peer.next_index = max(peer.next_index, reply.match_index + 1)
        elif reply.match_index + 1 < peer.next_index:
            peer.next_index = max(reply.match_index, peer.match_index) + 1
        self.advance_commit_index()
        if peer.next_index <= state.log.last_index:
            self._send_entries(sender, peer)

    def _record_reply(self, now_us: int, sender: str, peer: PeerProgress, reply: AppendEntriesReply) -> None:
        state = self.state
        if Voter(sender, reply.identity.disk_id) not in state.log.voters:
            # The voter has lost its disk, and with it the entries that it acknowledged. Its replies do not
            # count until it is added again, but it is sent entries, since it needs the log to be added.
            peer.match_index = 0
            return
        sent_us = state.leadership.round_sent_us.get(reply.round_number, -NEVER_US)
        peer.last_acknowledged_us = max(peer.last_acknowledged_us, sent_us)
        peer.wall_clock = WallClockReading(reply.wall_clock_us, now_us)
        if reply.is_success and reply.match_index <= state.log.last_index:
            peer.match_index = max(peer.match_index, reply.match_index)

    def advance_commit_index(self) -> None:
        """Commit the entries that a majority has on disk.

        Entries of earlier terms are committed only together with one of the current term (section 5.4.2).
        """
        state = self.state
        match_indices = [self._match_index(voter) for voter in state.log.voters]
        index = self.get_majority_value(match_indices) if match_indices else 0
        if index > state.commit_index and self.is_of_current_term(index):
            state.commit_up_to(index)
            if not state.is_voter and state.log.configuration_index <= state.commit_index:
                # The committed configuration removed this leader from the voters.
                state.change_role(Role.FOLLOWER, "")

    def is_of_current_term(self, index: int) -> bool:
        """Return whether the entry at this index is of the current term."""
        return self.state.log.term_at(index) == self.state.term

    def _match_index(self, voter: Voter) -> int:
        state = self.state
        if voter.name == state.name:
            return state.outbox.persisted_index if voter.disk_id == state.disk_id else 0
        peer = state.leadership.peers.get(voter.name)
        return peer.match_index if peer is not None else 0

    def check_voter_change(self, voters: tuple[Voter, ...]) -> None:
        """Check that the voters may now be changed to ``voters``.

        :raises VoterChangeError: if the proposed voters are invalid, or an earlier entry has to be committed
            first.
        """
        state, current = self.state, self.state.log.voters
        names = [voter.name for voter in voters]
        if not 1 <= len(names) <= MAX_VOTERS or len(dict.fromkeys(names)) < len(names):
            raise VoterChangeError(
                f"proposed voters {names}", f"there must be 1 to {MAX_VOTERS} voters, each named once"
            )
        changed = [v for v in voters if v not in current] + [v for v in current if v not in voters]
        if len(changed) != 1:
            # Majorities of the old and the new voters would not necessarily overlap.
            raise VoterChangeError(
                f"proposed voters {names}",
                f"they differ from the current voters, by name or disk, in {len(changed)} voters; "
                "a change must add or remove exactly one",
            )
        is_previous_open = state.log.configuration_index > state.commit_index
        if is_previous_open or state.commit_index < state.leadership.term_start_index:
            raise VoterChangeError(
                f"proposed voters {names}",
                "the previous change of the voters, or the first entry of this leader, is not committed yet",
            )


class FollowerReplication:
    """Replication on followers, and on learners, which fetch committed entries from any member."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def handle_append_entries(
        self, now_us: int, sender: str, request: AppendEntries, wall_clock_us: int
    ) -> None:
        """Append a leader's entries if this log holds the entry that precedes them."""
        state, log = self.state, self.state.log
        if not self._accept_leader(now_us, sender, request.term):
            self._reply(sender, request.round_number, False, log.last_index, wall_clock_us)
            return
        prev_log_index, entries = request.prev_log_index, request.entries
        if prev_log_index < log.snapshot.last_included_index:
            # The entries in the snapshot are committed, so the leader has the same ones.
            entries = entries[log.snapshot.last_included_index - prev_log_index :]
            prev_log_index = log.snapshot.last_included_index
        elif log.term_at(prev_log_index) != request.prev_log_term:
            index = self._find_possible_match(prev_log_index, request.prev_log_term)
            self._reply(sender, request.round_number, False, index, wall_clock_us)
            return
        self._merge_entries(prev_log_index, entries)
        index = max(prev_log_index + len(entries), log.snapshot.last_included_index)
        state.commit_up_to(min(request.leader_commit, index))
        self._reply_when_persisted(sender, request.round_number, index, wall_clock_us)

    def handle_install_snapshot(
        self, now_us: int, sender: str, request: InstallSnapshot, wall_clock_us: int
    ) -> None:
        """Restore a leader's snapshot."""
        state = self.state
        if not self._accept_leader(now_us, sender, request.term):
            self._reply(sender, request.round_number, False, state.log.last_index, wall_clock_us)
            return
        state.restore_snapshot(request.snapshot)
        index = max(request.snapshot.last_included_index, state.log.snapshot.last_included_index)
        self._reply_when_persisted(sender, request.round_number, index, wall_clock_us)

    def handle_fetch(self, sender: str, request: FetchCommitted) -> None:
        """Send the committed entries after the requested index, if there are any."""
        log, commit_index = self.state.log, self.state.commit_index
        has_gap = request.after_index < log.snapshot.last_included_index
        snapshot = log.snapshot if has_gap else None
        prev_log_index = max(request.after_index, log.snapshot.last_included_index)
        entries = log.get_batch(prev_log_index + 1, commit_index) if prev_log_index < commit_index else ()
        if snapshot is not None or entries:
            self.state.send(sender, FetchCommittedReply(prev_log_index, entries, commit_index, snapshot))

    def handle_fetch_reply(self, reply: FetchCommittedReply) -> None:
        """Append and apply committed entries that another member sent."""
        state, log = self.state, self.state.log
        if reply.snapshot is not None:
            state.restore_snapshot(reply.snapshot)
        prev_log_index, entries = reply.prev_log_index, reply.entries
        if prev_log_index < log.snapshot.last_included_index:
            entries = entries[log.snapshot.last_included_index - prev_log_index :]
            prev_log_index = log.snapshot.last_included_index
        if prev_log_index > state.commit_index or not entries:
            return  # local entries after the commit index may differ from the committed ones
        self._merge_entries(prev_log_index, entries)
        state.commit_up_to(min(reply.commit_index, prev_log_index + len(entries)))

    def _accept_leader(self, now_us: int, sender: str, term: int) -> bool:
        """Follow the sender of a leader's message, and return whether its term is current.

        :raises DivergedError: if this member leads the same term.
        """
        state = self.state
        if term < state.term:
            return False
        state.observe_term(term)
        if state.role is Role.LEADER:
            raise DivergedError(f"term {term} has two leaders: {state.name!r} and {sender!r}")
        state.change_role(Role.FOLLOWER, sender)
        state.election.leader_heard_us = now_us
        state.election.due_us = now_us + state.draw_election_timeout_us()
        return True

    def _find_possible_match(self, prev_log_index: int, prev_log_term: int) -> int:
        """Return an index after which no entry can match the leader's log.

        All entries of a conflicting term are skipped in one step.
        """
        state, log = self.state, self.state.log
        index = min(log.last_index, prev_log_index - 1)
        term = log.term_at(index)
        while index > state.commit_index and log.term_at(index) == term and term != prev_log_term:
            index -= 1
        return index

    def _merge_entries(self, prev_log_index: int, entries: Sequence[LogEntry]) -> None:
        """Add the entries after ``prev_log_index``, which this log holds.

        Existing entries from the first conflict on are removed.
        """
        state, log = self.state, self.state.log
        for offset, entry in enumerate(entries):
            index = prev_log_index + 1 + offset
            if log.term_at(index) == entry.term:
                continue
            if index <= state.commit_index:
                raise DivergedError(
                    f"member {state.name!r}: entry {index} is committed with term {log.term_at(index)}, "
                    f"but was received with term {entry.term}"
                )
            state.truncate_from(index)
            state.append(list(entries[offset:]))
            return

    def _reply(
        self, leader: str, round_number: int, is_success: bool, match_index: int, wall_clock_us: int
    ) -> None:
        state = self.state
        state.send(
            leader,
            AppendEntriesReply(
                state.term, round_number, is_success, match_index, state.identity, wall_clock_us
            ),
        )

    def _reply_when_persisted(
        self, leader: str, round_number: int, match_index: int, wall_clock_us: int
    ) -> None:
        state = self.state
        reply = AppendEntriesReply(state.term, round_number, True, match_index, state.identity, wall_clock_us)
        state.send_when_persisted(leader, reply)
