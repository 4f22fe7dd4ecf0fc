"""Tests of log replication: placement, and no loss of committed records on unreliable links."""

from __future__ import annotations

import random
from collections.abc import Iterable
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow.fleet import replica_placement
from honeybarrow.fleet.membership_messages import MemberState, MemberUpdate
from honeybarrow.fleet.replication import (
    AppendAck,
    AppendRecords,
    Failover,
    FenceReply,
    FenceRequest,
    LogDescription,
    LogId,
    Message,
    Primary,
    PrimaryState,
    Replica,
    ReplicaId,
    ReplicaLimits,
    RequestRejected,
    SendMessage,
)


def make_log(replicas: Iterable[str] = "xyz", ack_quorum: int = 2, primary: str = "o") -> LogDescription:
    return LogDescription(primary, 1, tuple(ReplicaId(name, 1) for name in replicas), ack_quorum)


LOG = make_log()
LOG_ID = LogId("o", 1)
SUCCESSOR = "heir"  # sender name prefix of successors in the golden files


def make_member(name: str, zone: str, state: MemberState = MemberState.ALIVE) -> MemberUpdate:
    return MemberUpdate(name, state, 1, 0, zone)


MEMBERS = [make_member(f"m{n}", "abcd"[n % 4]) for n in range(40)]

# --- placement


def test_replicas_are_placed_in_distinct_zones_outside_the_primarys() -> None:
    zones = {each.name: each.zone for each in MEMBERS}
    for primary in MEMBERS:
        chosen = replica_placement.choose_replicas(primary, MEMBERS, 3)
        assert len({zones[name] for name in chosen} | {primary.zone}) == 4
        assert replica_placement.choose_replicas(primary, MEMBERS[::-1], 3) == chosen
        assert replica_placement.survives_any_zone_loss(primary, chosen, MEMBERS)


def test_member_loss_moves_only_its_replicas() -> None:
    before = {each.name: replica_placement.choose_replicas(each, MEMBERS, 3) for each in MEMBERS}
    lost = MEMBERS[7].name
    moved = 0
    for primary in MEMBERS:
        now = replica_placement.choose_replicas(primary, [m for m in MEMBERS if m.name != lost], 3)
        changed = [name for name in before[primary.name] if name not in now]
        assert changed in ([], [lost])
        moved += bool(changed)
    assert 0 < moved < 12


def test_replicas_are_spread_over_the_members() -> None:
    stored: dict[str, int] = {}
    for primary in MEMBERS:
        for name in replica_placement.choose_replicas(primary, MEMBERS, 3):
            stored[name] = stored.get(name, 0) + 1
    assert max(stored.values()) <= 9 and len(stored) > 30


def test_placement_uses_all_candidates_if_zones_or_members_are_few() -> None:
    primary, other, third = make_member("o", "a"), make_member("p", "a"), make_member("q", "a")
    assert sorted(replica_placement.choose_replicas(primary, [primary, other, third], 3)) == ["p", "q"]
    assert not replica_placement.survives_any_zone_loss(primary, ["p", "q"], [primary, other, third])
    two = [
        primary,
        make_member("p", "b"),
        make_member("q", "b"),
        make_member("r", "a"),
        make_member("s", "b", MemberState.DEAD),
    ]
    assert sorted(replica_placement.choose_replicas(primary, two, 3)) == ["p", "q"], (
        "no member of the primary's zone while other zones have candidates"
    )
    assert replica_placement.choose_replicas(primary, two, 3, excluded=["p"]) == ["q"]
    assert replica_placement.choose_replicas(primary, [primary], 3) == []


def test_successor_is_a_live_replica() -> None:
    first = replica_placement.choose_successor("o", 1, "xyz", "wxyz")
    assert first in "xyz"
    assert replica_placement.choose_successor(
        "o", 1, "xyz", [name for name in "xyz" if name != first]
    ) not in ("", first)
    assert replica_placement.choose_successor("o", 1, "xyz", "w") == ""
    assert (
        len({replica_placement.choose_successor("o", incarnation, "xyz", "xyz") for incarnation in range(20)})
        == 3
    ), "the choice depends on the incarnation"


# --- primary, replica and failover


@pytest.mark.parametrize(
    ("replicas", "ack_quorum"),
    [(("x", "x"), 1), (("o", "x"), 1), (("x", "y"), 0), (("x",), 2), (("x", "y", "z"), 1)],
)
def test_invalid_ensembles_are_rejected(replicas: tuple[str, ...], ack_quorum: int) -> None:
    with pytest.raises(ValueError):
        make_log(replicas, ack_quorum)


def test_records_are_committed_only_after_a_quorum_has_stored_them() -> None:
    primary = Primary(LOG)
    sends = primary.append([b"1", b"2"])
    assert [send.recipient for send in sends] == ["x", "y", "z"] and primary.committed_end_index == 0
    replica = Replica("x", 1)
    (answer,) = replica.handle_request("o", sends[0].message)
    assert not primary.handle_reply("x", answer.message) and primary.committed_end_index == 0
    assert not primary.handle_reply("x", answer.message), "a duplicate ack does not count twice"
    assert primary.handle_reply("y", AppendAck(LOG_ID, 0, 1, 1)) and primary.committed_end_index == 1
    assert primary.handle_reply("z", AppendAck(LOG_ID, 0, 2, 1)) and primary.committed_end_index == 2
    assert primary.find_lagging_replicas() == ["y"]


def test_replica_with_a_lost_disk_does_not_count_as_the_same_replica() -> None:
    primary, empty = Primary(LOG), Replica("x", 2)
    sends = primary.append([b"1"])
    (answer,) = empty.handle_request("o", sends[0].message)
    assert answer.message == RequestRejected(LOG_ID, 0, is_unavailable=True)
    (answer,) = empty.handle_request("h", FenceRequest(LOG, 1))
    assert answer.message == RequestRejected(LOG_ID, 0, is_unavailable=True), (
        "it can't vouch for the records on its lost disk"
    )
    primary.handle_reply("x", AppendAck(LOG_ID, 0, 1, 2))
    primary.handle_reply("y", AppendAck(LOG_ID, 0, 1, 1))
    assert primary.committed_end_index == 0, "only one replica of the log stores the record"
    failover = Failover(LOG, 1)
    for name, incarnation in (("x", 2), ("y", 1)):
        assert failover.handle_reply(name, FenceReply(LOG_ID, 1, 0, (), 0, incarnation)) == []
    assert failover.writer is None


def test_replica_stores_in_order_and_acknowledges_its_end_index() -> None:
    replica = Replica("x", 1)
    (gap,) = replica.handle_request("o", AppendRecords(LOG, 0, 3, (b"4",)))
    assert gap.message == AppendAck(LOG_ID, 0, 0, 1)
    for _ in range(2):
        (ack,) = replica.handle_request("o", AppendRecords(LOG, 0, 0, (b"1", b"2", b"3", b"4")))
        assert ack.message == AppendAck(LOG_ID, 0, 4, 1)
    assert replica.size_bytes == 4
    replica.handle_request("o", AppendRecords(LOG, 0, 4, (b"5",), low_water_mark=3))
    assert (replica.stored_logs[LOG_ID].low_water_mark, replica.size_bytes) == (3, 2)
    (late,) = replica.handle_request("o", AppendRecords(LOG, 0, 1, (b"2",)))
    assert late.message == AppendAck(LOG_ID, 0, 5, 1)
    replica.delete_log(LOG_ID)
    assert replica.size_bytes == 0


def test_replica_without_capacity_rejects_records_and_keeps_stored_ones() -> None:
    replica = Replica("x", 1, ReplicaLimits(4, 6))
    replica.handle_request("o", AppendRecords(LOG, 0, 0, (b"123",)))
    (full,) = replica.handle_request("o", AppendRecords(LOG, 0, 1, (b"45",)))
    assert full.message == RequestRejected(LOG_ID, 0, is_unavailable=True)
    (all_full,) = replica.handle_request("p", AppendRecords(make_log("xy", 2, "p"), 0, 0, (b"1234",)))
    assert all_full.message == RequestRejected(LogId("p", 1), 0, is_unavailable=True)
    assert replica.size_bytes == 3
    primary = Primary(LOG)
    primary.append([b"1"])
    primary.handle_reply("z", full.message)
    assert primary.state is PrimaryState.OPEN and primary.find_lagging_replicas()[0] == "z"


def test_fenced_primary_sends_and_commits_no_more_records() -> None:
    primary, replica = Primary(LOG), Replica("x", 1)
    sends = primary.append([b"1"])
    replica.handle_request("h", FenceRequest(LOG, 1))
    (rejected,) = replica.handle_request("o", sends[0].message)
    assert rejected.message == RequestRejected(LOG_ID, 1)
    assert primary.handle_reply("x", rejected.message) and primary.state is PrimaryState.FENCED
    assert not primary.handle_reply("y", AppendAck(LOG_ID, 0, 1, 1)) and primary.committed_end_index == 0
    assert primary.resend_unacked() == []
    with pytest.raises(RuntimeError, match="fenced"):
        primary.append([b"2"])


def test_uncommitted_records_are_bounded() -> None:
    primary = Primary(LOG, max_uncommitted_records=2)
    primary.append([b"1", b"2"])
    assert not primary.can_append
    with pytest.raises(RuntimeError, match="2 records"):
        primary.append([b"3"])


def test_failover_reads_a_recovery_quorum_and_stores_the_records_on_an_ack_quorum() -> None:
    failover = Failover(LOG, 1)
    assert [send.recipient for send in failover.send_requests()] == ["x", "y", "z"]
    assert failover.handle_reply("x", FenceReply(LOG_ID, 1, 0, (b"1",), 0, 1)) == []
    assert failover.handle_reply("x", FenceReply(LOG_ID, 1, 0, (b"1",), 0, 1)) == [], (
        "a duplicate reply does not count twice"
    )
    sends = failover.handle_reply("y", FenceReply(LOG_ID, 1, 0, (b"1", b"2"), 0, 1))
    assert [len(send.message.records) for send in sends if isinstance(send.message, AppendRecords)] == [
        2,
        2,
        2,
    ]
    assert not failover.is_complete and failover.records == {0: b"1", 1: b"2"}
    failover.handle_reply("y", AppendAck(LOG_ID, 1, 2, 1))
    assert not failover.is_complete
    failover.handle_reply("z", AppendAck(LOG_ID, 1, 2, 1))
    assert failover.is_complete
    later = Failover(LOG, 2)
    later.handle_reply("x", RequestRejected(LOG_ID, 3))
    assert later.is_superseded and later.send_requests() == []
    with pytest.raises(ValueError, match="term"):
        Failover(LOG, 0)


def test_failover_prefers_the_last_writers_records_over_a_longer_stale_tail() -> None:
    replicas = {name: Replica(name, 1) for name in "xyz"}
    tail = (b"1", b"uncommitted 1", b"uncommitted 2")
    for name in "xyz":
        replicas[name].handle_request("o", AppendRecords(LOG, 0, 0, tail if name == "z" else tail[:1]))
    first = Failover(LOG, 1)
    for name in "xy":
        for answer in replicas[name].handle_request("h", FenceRequest(LOG, 1)):
            for send in first.handle_reply(name, answer.message):
                if send.recipient in "xy":  # z receives nothing
                    (ack,) = replicas[send.recipient].handle_request("h", send.message)
                    first.handle_reply(send.recipient, ack.message)
    assert first.is_complete and first.writer is not None
    for send in first.writer.append([b"by the successor"]):
        if send.recipient in "xy":
            (ack,) = replicas[send.recipient].handle_request("h", send.message)
            first.handle_reply(send.recipient, ack.message)
    assert first.writer.committed_end_index == 2
    second = Failover(LOG, 2)
    for name in "zx":
        for answer in replicas[name].handle_request("i", FenceRequest(LOG, 2)):
            second.handle_reply(name, answer.message)
    assert second.records == {0: b"1", 1: b"by the successor"}


# --- randomized model


class ReplicationModel:
    """A primary, replicas and successors whose messages are lost, duplicated and reordered at random."""

    def __init__(self, seed: int, replicas: int, ack_quorum: int) -> None:
        self.rng = random.Random(seed)
        names = tuple(f"h{n}" for n in range(replicas))
        self.log = LogDescription("o", 1, tuple(ReplicaId(name, 1) for name in names), ack_quorum)
        self.replicas = {name: Replica(name, 1) for name in names}
        self.primary = Primary(self.log)
        self.failovers: list[Failover] = []
        self.messages_in_transit: list[tuple[str, str, Message]] = []  # sender, recipient, message
        self.committed: dict[int, bytes] = {}
        # records committed by successors, by term and index
        self.committed_by_successors: dict[tuple[int, int], bytes] = {}
        self.records_of_complete_failovers: list[
            tuple[int, dict[int, bytes]]
        ] = []  # term and records of complete failovers
        self.recovered_record_counts: dict[int, int] = {}
        self.disks_to_lose = replicas - ack_quorum
        self.append_count = 0

    def send(self, sender: str, sends: list[SendMessage]) -> None:
        for each in sends:
            self.messages_in_transit += [(sender, each.recipient, each.message)] * (
                1 + (self.rng.random() < 0.1)
            )

    def step(self) -> None:
        chance = self.rng.random()
        if chance < 0.15 and self.primary.can_append:
            self.append_count += 1
            self.send("o", self.primary.append([f"r{self.append_count}".encode()]))
        elif chance < 0.2:
            self.send("o", self.primary.resend_unacked())
        elif chance < 0.22 and len(self.failovers) < 3:
            self.failovers.append(Failover(self.log, len(self.failovers) + 1))
            self.send(f"{SUCCESSOR}{len(self.failovers) - 1}", self.failovers[-1].send_requests())
        elif chance < 0.27 and self.failovers:
            which = self.rng.randrange(len(self.failovers))
            self.send(f"{SUCCESSOR}{which}", self.failovers[which].send_requests())
        elif chance < 0.3 and (
            acting := [h for h in self.failovers if h.is_complete and h.writer and h.writer.can_append]
        ):
            writer = self.rng.choice(acting).writer
            assert writer is not None
            self.send(f"{SUCCESSOR}{writer.term - 1}", writer.append([f"{SUCCESSOR} {writer.term}".encode()]))
        elif chance < 0.305 and self.disks_to_lose:
            self.disks_to_lose -= 1
            name = self.rng.choice([name for name, each in self.replicas.items() if each.incarnation == 1])
            self.replicas[name] = Replica(name, self.replicas[name].incarnation + 1)
        elif self.messages_in_transit:
            self.deliver(*self.messages_in_transit.pop(self.rng.randrange(len(self.messages_in_transit))))
        self.record_progress()

    def deliver(self, sender: str, recipient: str, message: Message) -> None:
        if self.rng.random() < 0.1:
            return
        if recipient in self.replicas:
            self.send(recipient, self.replicas[recipient].handle_request(sender, message))
        elif recipient == "o":
            self.primary.handle_reply(sender, message)
        else:
            failover = self.failovers[int(recipient.removeprefix(SUCCESSOR))]
            self.send(recipient, failover.handle_reply(sender, message))

    def find_violation(self) -> str:
        """Return a description of a lost committed record, or an empty string."""
        for term, records in self.records_of_complete_failovers:
            for number, record in self.committed.items():
                if records.get(number) != record:
                    return f"the successor of term {term} lacks record {number}"
            for (early_term, number), record in self.committed_by_successors.items():
                if early_term < term and records.get(number) != record:
                    return f"the successor of term {term} lacks record {number} of that of term {early_term}"
        for (early, had), (late, has) in pairwise(self.records_of_complete_failovers):
            first, second = (had, has) if early < late else (has, had)
            if any(second.get(number) != record for number, record in first.items()):
                return (
                    f"of the successors of terms {early} and {late} the later lacks what the earlier acted on"
                )
        return ""

    def record_progress(self) -> None:
        for number in range(len(self.committed), self.primary.committed_end_index):
            self.committed[number] = self.primary.records[number]
        for failover in self.failovers:
            if failover.is_complete and failover.term not in [
                term for term, _ in self.records_of_complete_failovers
            ]:
                self.records_of_complete_failovers.append((failover.term, dict(failover.records)))
                self.recovered_record_counts[failover.term] = len(failover.records)
            if failover.writer is not None and failover.term in self.recovered_record_counts:
                for number in range(
                    self.recovered_record_counts[failover.term], failover.writer.committed_end_index
                ):
                    self.committed_by_successors[failover.term, number] = failover.writer.records[number]


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from([(3, 2), (5, 3), (4, 3), (2, 2)]))
def test_whatever_is_lost_a_successor_that_acts_has_all_committed_records(
    seed: int, shape: tuple[int, int]
) -> None:
    model = ReplicationModel(seed, *shape)
    for _ in range(400):
        model.step()
    assert model.find_violation() == ""


def test_model_runs_include_commits_failovers_and_fencing() -> None:
    """Check that the runs of the model contain commits, failovers and fencing."""
    models = [ReplicationModel(seed, 3, 2) for seed in range(40)]
    for model in models:
        for _ in range(400):
            model.step()
    assert sum(len(model.committed) > 3 for model in models) > 15
    assert sum(len(model.records_of_complete_failovers) > 0 for model in models) > 15
    assert sum(model.primary.state is PrimaryState.FENCED for model in models) > 20


def handle_request_unfenced(self: Replica, sender: str, message: Message) -> list[SendMessage]:
    """Reply to fence requests but keep accepting records of any term."""
    sends = HANDLE_REQUEST(self, sender, message)
    for stored in self.stored_logs.values():
        stored.min_term = 0
    return sends


HANDLE_REQUEST = Replica.handle_request
MUTANTS: dict[str, tuple[Any, str, Any]] = {
    "recovery quorum is one too small": (
        LogDescription,
        "recovery_quorum",
        property(lambda self: len(self.replicas) - self.ack_quorum),
    ),
    "replica ignores fences": (Replica, "handle_request", handle_request_unfenced),
    "successor acts on records before storing them": (
        Failover,
        "is_complete",
        property(lambda self: self.writer is not None),
    ),
    "replica identity ignores its disk": (
        LogDescription,
        "includes",
        lambda self, replica, incarnation: True,
    ),
}


@pytest.mark.parametrize("name", list(MUTANTS))
def test_model_detects_mutant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, value = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, value)
    for seed in range(1500):
        model = ReplicationModel(seed, 3, 2)
        for _ in range(300):
            model.step()
        if model.find_violation():
            return
    raise AssertionError("no run detects the mutant")
