"""Leader election: pre-vote, votes and the election timer.

Sources: Ongaro and Ousterhout 2014 (sections 5.2, 5.4.1); for pre-vote and leader stickiness, Ongaro's thesis
(2014; sections 4.2.3, 9.6). Both keep a member that was partitioned away from deposing a leader that all
other members hear: a candidate first asks whether the voters would elect it, and a voter that hears a leader
grants no vote.
"""

from __future__ import annotations

from honeybarrow.consensus.actions import Role
from honeybarrow.consensus.log_entries import Voter
from honeybarrow.consensus.messages import RequestVote, RequestVoteReply
from honeybarrow.consensus.replication import LeaderReplication
from honeybarrow.consensus.state import NodeState


class Election:
    """One member's elections, as a candidate and as a voter."""

    def __init__(self, state: NodeState, replication: LeaderReplication) -> None:
        self.state, self.replication = state, replication

    # --- candidate

    def start_pre_vote(self, now_us: int) -> None:
        """Ask the voters whether they would grant a vote, because no leader is heard."""
        state = self.state
        state.change_role(Role.PRE_CANDIDATE, "")
        state.election.votes_received = {state.name: None}
        state.election.due_us = now_us + state.draw_vote_timeout_us()
        if self.has_majority():
            self.start_election(now_us)
            return
        state.send_to_voters(self._request_vote(state.term + 1, True))

    def start_election(self, now_us: int) -> None:
        """Begin a new term, and request votes once the vote for itself is on disk."""
        state = self.state
        state.term += 1
        state.voted_for = state.name
        state.change_role(Role.CANDIDATE, "")
        state.election.votes_received = {}
        state.election.own_vote_sequence = state.persist()
        state.election.due_us = now_us + state.draw_vote_timeout_us()
        state.send_to_voters(self._request_vote(state.term, False), when_persisted=True)

    def on_persisted(self, now_us: int, sequence_number: int) -> None:
        """Count a candidate's vote for itself if the update that holds it is on disk."""
        election = self.state.election
        if election.own_vote_sequence and election.own_vote_sequence <= sequence_number:
            election.own_vote_sequence = 0
            self._count_vote(now_us, self.state.name)

    def handle_reply(self, now_us: int, sender: str, reply: RequestVoteReply) -> None:
        """Count a vote or a pre-vote."""
        state = self.state
        if not reply.is_granted:
            state.observe_term(reply.term)
            return
        if Voter(sender, reply.identity.disk_id) not in state.log.voters:
            return
        is_awaited_pre_vote = (
            reply.is_pre_vote and state.role is Role.PRE_CANDIDATE and reply.term == state.term + 1
        )
        is_awaited_vote = not reply.is_pre_vote and state.role is Role.CANDIDATE and reply.term == state.term
        if is_awaited_pre_vote or is_awaited_vote:
            self._count_vote(now_us, sender)

    def has_majority(self) -> bool:
        """Return whether a majority of the voters has granted its vote."""
        return len(self.state.election.votes_received) > len(self.state.log.voters) // 2

    def _count_vote(self, now_us: int, name: str) -> None:
        self.state.election.votes_received[name] = None
        if not self.has_majority():
            return
        if self.state.role is Role.PRE_CANDIDATE:
            self.start_election(now_us)
        elif self.state.role is Role.CANDIDATE:
            self.replication.become_leader(now_us)

    def _request_vote(self, term: int, is_pre_vote: bool) -> RequestVote:
        log = self.state.log
        return RequestVote(term, is_pre_vote, log.last_index, log.last_term, self.state.identity)

    # --- voter

    def handle_request(self, now_us: int, sender: str, request: RequestVote) -> None:
        """Grant or refuse a vote or a pre-vote."""
        if request.is_pre_vote:
            self._handle_pre_vote(now_us, sender, request)
        else:
            self._handle_vote(now_us, sender, request)

    def hears_leader(self, now_us: int) -> bool:
        """Return whether a leader was heard within the last election timeout.

        For a leader, return whether it is a confirmed leader.
        """
        if self.state.role is Role.LEADER:
            return self.replication.is_confirmed_leader(now_us)
        return now_us < self.state.election.leader_heard_us + self.state.config.election_timeout_us

    def is_log_up_to_date(self, request: RequestVote) -> bool:
        """Return whether the candidate's log is at least as up to date as this one (section 5.4.1)."""
        log = self.state.log
        return (request.last_log_term, request.last_log_index) >= (log.last_term, log.last_index)

    def _handle_pre_vote(self, now_us: int, sender: str, request: RequestVote) -> None:
        state = self.state
        is_granted = (
            request.term > state.term and self.is_log_up_to_date(request) and not self.hears_leader(now_us)
        )
        term = request.term if is_granted else state.term
        state.send(sender, RequestVoteReply(term, True, is_granted, state.identity))

    def _handle_vote(self, now_us: int, sender: str, request: RequestVote) -> None:
        state = self.state
        if request.term > state.term and self.hears_leader(now_us):
            # A candidate that was partitioned away would otherwise depose a leader that all others hear.
            return
        if request.term < state.term:
            state.send(sender, RequestVoteReply(state.term, False, False, state.identity))
            return
        state.observe_term(request.term)
        is_granted = (
            state.voted_for in ("", sender)
            and self.is_log_up_to_date(request)
            and state.role is not Role.LEADER
        )
        if is_granted and not state.voted_for:
            state.voted_for = sender
            state.persist()
        if is_granted:
            state.election.due_us = now_us + state.draw_election_timeout_us()
        reply = RequestVoteReply(state.term, False, is_granted, state.identity)
        state.send_when_persisted(sender, reply)
