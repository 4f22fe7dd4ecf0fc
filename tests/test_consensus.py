"""Tests of the replicated log: single messages, model checking of small fleets, and storage on disk."""

from __future__ import annotations

import os
import random
import time
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.consensus.actions import (
    Action,
    ApplyEntry,
    DiskRolledBack,
    PersistState,
    RestoreSnapshot,
    Role,
    SendMessage,
)
from honeybarrow.consensus.config import (
    MAX_DEFERRED_MESSAGES,
    MAX_TRACKED_INCARNATIONS,
    NEVER_US,
    ConsensusConfig,
)
from honeybarrow.consensus.errors import DivergedError, NotLeaderError, VoterChangeError
from honeybarrow.consensus.incarnations import IdentityCheck, IncarnationTracker
from honeybarrow.consensus.log_entries import (
    Command,
    LogEntry,
    Noop,
    Snapshot,
    Voter,
    VoterConfiguration,
)
from honeybarrow.consensus.messages import (
    INCARNATION_NONCE_BITS,
    AppendEntries,
    AppendEntriesReply,
    FetchCommitted,
    Message,
    RequestVote,
    RequestVoteReply,
    VoterIdentity,
)
from honeybarrow.consensus.node import RaftNode
from honeybarrow.consensus.persistent_state import PersistentState
from honeybarrow.consensus.store import (
    RECORD_HEADER_BYTES,
    ConsensusStore,
    StoreCorruptedError,
    StoreLockedError,
    StoreWriteError,
    decode_records,
    encode_record,
)
from honeybarrow.errors import InvalidValueError
from honeybarrow.lab.model_checker import explore_states
from tests.consensus_model import (
    ConsensusModel,
    ModelElection,
    ModelLeaderReplication,
    ModelNode,
    ModelState,
)

CONFIG = ConsensusConfig()
TIMEOUT_US = CONFIG.election_timeout_us
THREE_VOTERS = tuple(Voter(name, 1) for name in "abc")
IDENTITY = VoterIdentity(1, 1 << INCARNATION_NONCE_BITS, 1)
FIRST_ENTRY = LogEntry(1, VoterConfiguration("fleet", THREE_VOTERS))


def create_node(name: str = "a", entries: tuple[LogEntry, ...] = (), term: int = 1, **more: Any) -> RaftNode:
    persistent = PersistentState(term, "", 1, Snapshot(), [FIRST_ENTRY, *entries], 1)
    node = RaftNode(
        name, more.get("disk_id", 1), 1 << INCARNATION_NONCE_BITS, random.Random(1), CONFIG, persistent, 0
    )
    node.start()
    return node


def sent_messages(actions: list[Action]) -> list[tuple[str, Message]]:
    return [(each.recipient, each.message) for each in actions if isinstance(each, SendMessage)]


def persist_updates(actions: list[Action]) -> list[PersistState]:
    return [each for each in actions if isinstance(each, PersistState)]


def create_leader(now_us: int = 2 * TIMEOUT_US) -> RaftNode:
    """Return the leader of three voters, whose first entry only the leader itself has persisted."""
    node = create_node()
    node.on_timer(now_us)
    actions = node.on_message(now_us, "b", RequestVoteReply(2, True, True, IDENTITY))
    node.on_persisted(now_us, persist_updates(actions)[-1].sequence_number)
    actions = node.on_message(now_us, "b", RequestVoteReply(2, False, True, IDENTITY))
    assert node.role is Role.LEADER
    node.on_persisted(now_us, persist_updates(actions)[-1].sequence_number)
    return node


# --- elections


def test_vote_is_sent_only_after_it_is_persisted() -> None:
    node = create_node()
    actions = node.on_message(2 * TIMEOUT_US, "b", RequestVote(2, False, 1, 1, IDENTITY))
    assert sent_messages(actions) == [] and [update.voted_for for update in persist_updates(actions)] == [
        "",
        "b",
    ]
    assert sent_messages(node.on_persisted(2 * TIMEOUT_US, persist_updates(actions)[0].sequence_number)) == []
    ((recipient, vote),) = sent_messages(
        node.on_persisted(2 * TIMEOUT_US, persist_updates(actions)[1].sequence_number)
    )
    assert recipient == "b" and isinstance(vote, RequestVoteReply) and vote.is_granted
    ((_, second_vote),) = sent_messages(
        node.on_message(2 * TIMEOUT_US, "c", RequestVote(2, False, 9, 1, IDENTITY))
    )
    assert isinstance(second_vote, RequestVoteReply) and not second_vote.is_granted, (
        "a voter grants one vote per term"
    )


def test_no_vote_is_granted_shortly_after_hearing_a_leader_or_starting() -> None:
    node = create_node()
    assert (
        sent_messages(node.on_message(TIMEOUT_US - 1, "b", RequestVote(2, False, 9, 1, IDENTITY))) == []
        and node.term == 1
    )
    node.on_message(TIMEOUT_US, "c", AppendEntries(2, 1, 1, 1, (), 1))
    ((_, vote),) = sent_messages(node.on_message(TIMEOUT_US + 1, "b", RequestVote(3, True, 9, 2, IDENTITY)))
    assert isinstance(vote, RequestVoteReply) and not vote.is_granted
    assert (
        sent_messages(node.on_message(TIMEOUT_US + 1, "b", RequestVote(9, False, 9, 2, IDENTITY))) == []
        and node.term == 2
    )
    ((_, vote),) = sent_messages(node.on_message(2 * TIMEOUT_US, "b", RequestVote(3, True, 9, 2, IDENTITY)))
    assert isinstance(vote, RequestVoteReply) and vote.is_granted and node.term == 2, (
        "a pre-vote does not change the term"
    )


def test_candidate_with_older_log_gets_no_vote() -> None:
    node = create_node(entries=(LogEntry(1, Noop()), LogEntry(2, Noop())), term=2)
    for index, term, granted in ((9, 1, False), (2, 2, False), (3, 2, True)):
        ((_, vote),) = sent_messages(
            node.on_message(2 * TIMEOUT_US, "b", RequestVote(3, True, index, term, IDENTITY))
        )
        assert isinstance(vote, RequestVoteReply) and vote.is_granted is granted


def test_vote_from_replaced_disk_does_not_count() -> None:
    node = create_node()
    node.on_timer(2 * TIMEOUT_US)
    node.on_message(
        2 * TIMEOUT_US, "b", RequestVoteReply(2, True, True, VoterIdentity(9, 1 << INCARNATION_NONCE_BITS, 1))
    )
    assert node.role is Role.PRE_CANDIDATE
    replaced_disk_node = create_node("a", disk_id=9)
    assert not replaced_disk_node.is_voter and replaced_disk_node.next_wakeup_us == NEVER_US, (
        "a voter that lost its disk does not start elections"
    )


def test_disk_restored_from_old_copy_is_detected() -> None:
    tracker = IncarnationTracker()

    def check(disk_id: int, starts: int, nonce: int, persisted_count: int) -> IdentityCheck:
        incarnation = (starts << INCARNATION_NONCE_BITS) + nonce
        return tracker.check_identity("b", VoterIdentity(disk_id, incarnation, persisted_count))

    assert check(1, 5, 3, 10) is IdentityCheck.TRUSTED
    assert check(1, 5, 3, 12) is IdentityCheck.TRUSTED
    assert check(1, 5, 3, 11) is IdentityCheck.TRUSTED, "a delayed message is trusted"
    assert check(1, 5, 7, 12) is IdentityCheck.ROLLED_BACK, (
        "a second incarnation of the same start shows an old copy"
    )
    assert check(1, 6, 1, 9) is IdentityCheck.ROLLED_BACK, (
        "a later start with fewer persisted updates shows an old copy"
    )
    assert check(1, 4, 1, 99) is IdentityCheck.OUTDATED, "messages of an earlier incarnation are outdated"
    assert check(1, 6, 2, 12) is IdentityCheck.TRUSTED, "a later start with all persisted updates is trusted"
    assert check(2, 1, 0, 1) is IdentityCheck.TRUSTED, "a voter with another disk is a different voter"
    tracker.retain_only([Voter("b", 2)])
    assert check(1, 1, 0, 0) is IdentityCheck.TRUSTED
    node = create_leader()
    for number in range(1000):
        node.on_message(2 * TIMEOUT_US, f"x{number}", RequestVote(1, True, 1, 1, IDENTITY))
    assert len(node.incarnations) <= MAX_TRACKED_INCARNATIONS, (
        "incarnations of senders that are not voters are dropped"
    )
    node.on_message(
        2 * TIMEOUT_US,
        "b",
        AppendEntriesReply(2, 1, True, 2, VoterIdentity(1, 1 << INCARNATION_NONCE_BITS, 50)),
    )
    actions = node.on_message(
        2 * TIMEOUT_US,
        "b",
        AppendEntriesReply(2, 1, True, 2, VoterIdentity(1, 2 << INCARNATION_NONCE_BITS, 3)),
    )
    assert DiskRolledBack("b") in actions


def test_fleet_is_bootstrapped_only_once_and_works_with_a_single_voter() -> None:
    node = RaftNode("a", 7, 1 << INCARNATION_NONCE_BITS, random.Random(1), CONFIG, PersistentState(), 0)
    assert not node.is_voter and node.next_wakeup_us == NEVER_US
    actions = node.bootstrap([Voter("a", 7)], "fleet-1")
    with pytest.raises(VoterChangeError):
        node.bootstrap([Voter("a", 7)], "fleet-1")
    node.on_persisted(0, persist_updates(actions)[-1].sequence_number)
    actions = node.on_timer(node.next_wakeup_us)
    assert node.role.value == "candidate", "its own vote counts only once it is on disk"
    actions = node.on_persisted(TIMEOUT_US, persist_updates(actions)[-1].sequence_number)
    assert node.role.value == "leader" and node.is_confirmed_leader(TIMEOUT_US)
    applied = node.on_persisted(TIMEOUT_US, persist_updates(actions)[-1].sequence_number)
    bodies = [each.entry.body for each in applied if isinstance(each, ApplyEntry)]
    assert bodies == [VoterConfiguration("fleet-1", (Voter("a", 7),)), Noop()] and node.is_ready_leader(
        TIMEOUT_US
    )


# --- replication


def test_leader_commits_entries_that_a_majority_persisted_and_is_confirmed_by_it() -> None:
    node = create_leader()
    now_us = 2 * TIMEOUT_US
    assert node.commit_index == 1 and not node.is_confirmed_leader(now_us)
    node.on_message(now_us, "b", AppendEntriesReply(2, node.state.leadership.round_number, True, 2, IDENTITY))
    assert (
        node.commit_index == 2
        and node.is_ready_leader(now_us)
        and not node.is_confirmed_leader(now_us + CONFIG.leader_lease_us)
    )
    index, actions = node.propose(now_us, Command("p", b"x"))
    assert node.commit_index == 2 and index == 3
    node.on_message(now_us, "b", AppendEntriesReply(2, node.state.leadership.round_number, True, 3, IDENTITY))
    assert node.commit_index == 2, "the leader has not persisted the entry yet"
    applied = node.on_persisted(now_us, persist_updates(actions)[-1].sequence_number)
    assert [each.index for each in applied if isinstance(each, ApplyEntry)] == [3]


def test_leader_without_majority_steps_down_and_then_rejects_proposals() -> None:
    node = create_leader()
    now_us = 2 * TIMEOUT_US
    node.on_message(now_us, "b", AppendEntriesReply(2, node.state.leadership.round_number, True, 2, IDENTITY))
    while node.role is Role.LEADER and now_us < 20 * TIMEOUT_US:
        now_us = node.next_wakeup_us
        node.on_timer(now_us)
    assert node.role is Role.FOLLOWER and now_us < 5 * TIMEOUT_US
    with pytest.raises(NotLeaderError):
        node.propose(now_us, Command("p", b""))


def test_voters_change_one_at_a_time_after_the_first_entry_of_the_term_is_committed() -> None:
    node = create_leader()
    now_us = 2 * TIMEOUT_US
    with_new_voter = (*THREE_VOTERS, Voter("d", 1))
    with pytest.raises(VoterChangeError, match="first entry of this leader"):
        node.propose(now_us, VoterConfiguration("v", with_new_voter))
    node.on_message(now_us, "b", AppendEntriesReply(2, node.state.leadership.round_number, True, 2, IDENTITY))
    for invalid in (
        (*with_new_voter, Voter("e", 1)),
        (*THREE_VOTERS[:2], Voter("c", 2)),
        (*THREE_VOTERS, THREE_VOTERS[0]),
        (),
    ):
        with pytest.raises(VoterChangeError):
            node.propose(now_us, VoterConfiguration("v", invalid))
    node.propose(now_us, VoterConfiguration("v", with_new_voter))
    assert len(node.voters) == 4, "the change takes effect as soon as it is appended"
    with pytest.raises(VoterChangeError, match="previous change of the voters"):
        node.propose(now_us, VoterConfiguration("w", THREE_VOTERS))


def test_date_is_past_by_the_clocks_of_a_majority() -> None:
    node = create_leader()
    now_us, date_us = 2 * TIMEOUT_US, 1_000_000_000
    node.on_message(
        now_us,
        "b",
        AppendEntriesReply(2, node.state.leadership.round_number, True, 2, IDENTITY, date_us - 50),
    )
    assert not node.is_past_for_majority(now_us, date_us, date_us + 3_600_000_000), (
        "one clock that is an hour ahead does not decide"
    )
    assert not node.is_past_for_majority(now_us, date_us, date_us - 1)
    node.on_message(
        now_us, "c", AppendEntriesReply(2, node.state.leadership.round_number, True, 2, IDENTITY, date_us + 1)
    )
    assert node.is_past_for_majority(now_us, date_us, date_us) and not node.is_past_for_majority(
        now_us, date_us, date_us - 1
    )
    assert node.is_past_for_majority(now_us + 1000, date_us, date_us - 1), (
        "the time since the replies is added to the followers' clocks"
    )


def test_only_uncommitted_entries_are_overwritten_on_conflict() -> None:
    node = create_node("c", (LogEntry(1, Command("x", b"")), LogEntry(1, Command("y", b""))))
    node.on_message(0, "a", AppendEntries(2, 1, 2, 1, (LogEntry(2, Noop()),), 3))
    assert [each.term for each in node.log.entries] == [1, 1, 2] and node.commit_index == 3
    with pytest.raises(DivergedError):
        node.on_message(0, "a", AppendEntries(3, 1, 1, 1, (LogEntry(3, Noop()),), 3))


def test_entries_are_appended_only_after_an_entry_that_matches_the_leaders() -> None:
    node = create_node("c", (LogEntry(1, Command("x", b"")), LogEntry(1, Command("y", b""))))
    for prev, term in ((2, 2), (3, 2), (9, 1)):
        ((_, reply),) = sent_messages(
            node.on_message(0, "a", AppendEntries(2, 1, prev, term, (LogEntry(2, Noop()),), 1))
        )
        assert isinstance(reply, AppendEntriesReply) and not reply.is_success and reply.match_index < prev
        assert [each.term for each in node.log.entries] == [1, 1, 1]
    ((_, reply),) = sent_messages(node.on_message(0, "a", AppendEntries(1, 1, 1, 1, (), 1)))
    assert isinstance(reply, AppendEntriesReply) and not reply.is_success and reply.term == 2, (
        "a leader of an earlier term is rejected"
    )


def test_deferred_messages_are_bounded_while_the_disk_hangs() -> None:
    node = create_node("c")
    for number in range(1000):
        node.on_message(0, "a", AppendEntries(1, number, 1, 1, (LogEntry(1, Noop()),), 1))
    assert len(node.state.outbox.deferred) == MAX_DEFERRED_MESSAGES
    released = sent_messages(node.on_persisted(0, 99))
    assert len(released) == MAX_DEFERRED_MESSAGES and node.state.outbox.deferred == []
    assert isinstance(released[-1][1], AppendEntriesReply) and released[-1][1].round_number == 999


def test_learner_fetches_only_committed_entries_from_any_member() -> None:
    source = create_node("b", tuple(LogEntry(1, Command(f"p{i}", b"")) for i in range(200)))
    source.on_message(0, "a", AppendEntries(1, 1, 201, 1, (), 150))
    learner = RaftNode("z", 5, 1 << INCARNATION_NONCE_BITS, random.Random(2), CONFIG, PersistentState(), 0)
    while replies := sent_messages(source.on_message(0, "z", FetchCommitted(learner.commit_index))):
        learner.on_message(0, "b", replies[0][1])
    assert (
        learner.commit_index == 150 == learner.log.last_index
        and learner.log.entries == source.log.entries[:150]
    )
    source.compact(140, b"state")
    late_learner = RaftNode(
        "y", 6, 1 << INCARNATION_NONCE_BITS, random.Random(3), CONFIG, PersistentState(), 0
    )
    ((_, reply),) = sent_messages(source.on_message(0, "y", FetchCommitted(0)))
    actions = late_learner.on_message(0, "b", reply)
    assert (
        RestoreSnapshot(source.log.snapshot) in actions
        and late_learner.commit_index == 150
        and late_learner.voters == THREE_VOTERS
    )


def test_invalid_config_is_rejected() -> None:
    invalid_configs: list[dict[str, Any]] = [
        {"election_timeout_us": 150_000},
        {"max_clock_drift": 0.5},
        {"max_retained_entries": 0},
    ]
    for invalid in invalid_configs:
        with pytest.raises(InvalidValueError):
            ConsensusConfig(**invalid)


# --- model checking


@pytest.mark.parametrize(
    "model",
    [
        ConsensusModel(max_terms=2, max_proposals=0),
        ConsensusModel(members=2, max_terms=2, max_proposals=1),
        ConsensusModel(members=2, max_terms=3, max_proposals=1, max_crashes=1),
        ConsensusModel(members=2, max_terms=2, max_proposals=1, has_snapshots=True),
    ],
    ids=["three", "two", "crash", "snapshot"],
)
def test_no_reachable_state_of_a_small_fleet_violates_safety(model: ConsensusModel) -> None:
    result = explore_states(model)
    assert result.is_complete and not result.violation, result
    assert result.states > 100


class SendsBeforePersisting(ModelNode):
    """Mutant that sends votes and acknowledgements before they are on disk."""

    class ImmediateSendState(ModelState):
        def send_when_persisted(self, recipient: str, message: Message) -> None:
            self.send(recipient, message)

    state_type = ImmediateSendState


class AcceptsHalfOfVotes(ModelNode):
    """Mutant that elects a leader with half of the votes."""

    class HalfMajorityElection(ModelElection):
        def has_majority(self) -> bool:
            return len(self.state.election.votes_received) * 2 >= len(self.state.log.voters)

    election_type = HalfMajorityElection


class VotesTwice(ModelNode):
    """Mutant that forgets a vote once it is granted, so that it votes again in the same term."""

    class RepeatedVoteElection(ModelElection):
        def handle_request(self, now_us: int, sender: str, request: RequestVote) -> None:
            self.state.voted_for = ""
            super().handle_request(now_us, sender, request)

    election_type = RepeatedVoteElection


class VotesForOlderLog(ModelNode):
    """Mutant that votes for candidates with an older log."""

    class UncheckedLogElection(ModelElection):
        def is_log_up_to_date(self, request: RequestVote) -> bool:
            return True

    election_type = UncheckedLogElection


class CommitsOldTermEntries(ModelNode):
    """Mutant that commits an entry of an earlier term as soon as a majority holds it."""

    class AnyTermReplication(ModelLeaderReplication):
        def is_of_current_term(self, index: int) -> bool:
            return self.state.log.term_at(index) is not None

    leader_type = AnyTermReplication


class CommitsWithoutMajority(ModelNode):
    """Mutant that commits entries that only the leader has persisted."""

    class HighestIndexReplication(ModelLeaderReplication):
        def get_majority_value(self, values: list[int]) -> int:
            return max(values)

    leader_type = HighestIndexReplication


@pytest.mark.parametrize(
    ("node_type", "bounds"),
    [
        (
            SendsBeforePersisting,
            {"members": 3, "max_terms": 2, "max_proposals": 0, "max_crashes": 1, "has_slow_disks": True},
        ),
        (AcceptsHalfOfVotes, {"members": 2, "max_terms": 2, "max_proposals": 0}),
        (VotesTwice, {"members": 3, "max_terms": 2, "max_proposals": 0}),
        (VotesForOlderLog, {"members": 3, "max_terms": 3, "max_proposals": 0}),
        (CommitsWithoutMajority, {"members": 3, "max_terms": 3, "max_proposals": 0}),
    ],
)
def test_model_checker_detects_each_removed_safety_check(
    node_type: type[ModelNode], bounds: dict[str, Any]
) -> None:
    result = explore_states(ConsensusModel(node_type=node_type, **bounds), max_states=60_000)
    message = f"{node_type.__name__}: no violation in {result.states} states, complete: {result.is_complete}"
    assert result.violation, message


# --- storage


class StoreFixture:
    """A store whose notifications are queued until the test delivers them."""

    def __init__(self, path: Path, **more: Any) -> None:
        self.persisted: list[int] = []
        self.failures: list[StoreWriteError] = []
        self.due: list[tuple[Any, tuple[Any, ...]]] = []
        self.store = ConsensusStore(
            path, self.persisted.append, self.failures.append, lambda f, *a: self.due.append((f, a)), **more
        )

    def settle(self) -> None:
        """Wait until the writer thread is idle, then deliver its notifications."""
        for _ in range(500):
            stats = self.store.get_writer_stats()
            if stats.has_failed or not stats.pending:
                break
            time.sleep(0.01)
        time.sleep(0.01)
        while self.due:
            call, args = self.due.pop(0)
            call(*args)


def create_update(sequence_number: int, first_index: int = 0, *names: str, **more: Any) -> PersistState:
    entries = tuple(LogEntry(3, Command(name, b"x")) for name in names)
    return PersistState(sequence_number, 3, "b", 1, first_index, entries, **more)


def test_persisted_state_survives_a_restart(tmp_path: Path) -> None:
    first = StoreFixture(tmp_path)
    first.store.persist(create_update(1, 1, "p", "q"))
    first.store.persist(create_update(2, 2, "r"))
    first.settle()
    assert first.persisted[-1] == 2
    with pytest.raises(StoreLockedError):
        StoreFixture(tmp_path)
    first.store.close()
    second = StoreFixture(tmp_path)
    state = second.store.persistent_state
    assert [entry.body.proposal_id for entry in state.entries] == ["p", "r"]  # type: ignore[union-attr]
    assert (state.term, state.voted_for, state.sequence_number) == (3, "b", 2)
    assert second.store.disk_id == first.store.disk_id and second.store.start_count == 2
    assert second.store.incarnation >> INCARNATION_NONCE_BITS == 2
    second.store.close()


def test_log_file_is_rewritten_for_a_snapshot_and_when_too_long(tmp_path: Path) -> None:
    folder = StoreFixture(tmp_path, max_log_file_bytes=4000)
    for number in range(1, 101):
        folder.store.persist(create_update(number, number, f"p{number}"))
    folder.store.persist(create_update(101, snapshot=Snapshot(90, 3, THREE_VOTERS, b"state")))
    folder.settle()
    folder.store.close()
    reopened = StoreFixture(tmp_path)
    assert (
        reopened.store.persistent_state.snapshot.last_included_index == 90
        and len(reopened.store.persistent_state.entries) == 10
    )
    assert (tmp_path / "log").stat().st_size < 4000
    reopened.store.close()


def test_partial_last_record_is_dropped_and_other_damage_is_corruption() -> None:
    first_record, second_record = (
        encode_record(create_update(1, 1, "p")),
        encode_record(create_update(2, 2, "q")),
    )
    whole, size = decode_records(first_record + second_record)
    assert len(whole.entries) == 2 and size == len(first_record + second_record)
    for cut in range(len(second_record)):
        state, size = decode_records(first_record + second_record[:cut])
        assert len(state.entries) == 1 and size == len(first_record)
    assert decode_records(first_record + bytes(40))[1] == len(first_record), (
        "zero bytes at the end are ignored"
    )
    for position in range(len(first_record)):
        for bit in (1, 128):
            flipped = bytearray(first_record + second_record)
            flipped[position] ^= bit
            try:
                state, _ = decode_records(bytes(flipped))
            except StoreCorruptedError:
                continue
            assert position < RECORD_HEADER_BYTES - 8 and state.sequence_number == 0, (
                "undetected damage is limited to a length that reaches past the end of the file"
            )
    with pytest.raises(StoreCorruptedError):
        decode_records(second_record + first_record)


def test_full_disk_stops_writing_and_is_reported_once(tmp_path: Path, monkeypatch: Any) -> None:
    folder = StoreFixture(tmp_path)
    folder.store.persist(create_update(1, 1, "p"))
    folder.settle()
    real_fsync = os.fsync

    def fail_with_full_disk(fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_with_full_disk)
    folder.store.persist(create_update(2, 2, "q"))
    folder.settle()
    monkeypatch.setattr(os, "fsync", real_fsync)
    folder.store.persist(create_update(3, 3, "r"))
    folder.settle()
    assert folder.persisted == [1] and [each.code for each in folder.failures] == ["HB513"]
    assert "No space left" in str(folder.failures[0])
    assert folder.store._unreported_sequences == [] and folder.store.get_writer_stats().submitted == 2, (
        "no updates are queued after a failed write"
    )
    folder.store.close()


def test_folder_with_damaged_or_missing_disk_file_is_rejected(tmp_path: Path) -> None:
    folder = StoreFixture(tmp_path / "one")
    folder.store.close()
    (tmp_path / "one" / "disk").unlink()
    with pytest.raises(StoreCorruptedError):
        StoreFixture(tmp_path / "one")
    (tmp_path / "one" / "disk").write_text("{")
    with pytest.raises(StoreCorruptedError):
        StoreFixture(tmp_path / "one")
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreWriteError):
        StoreFixture(tmp_path / "file")
