"""Compatibility of the replicated log's files, messages and actions with those of an earlier release.

The files under ``golden/consensus`` were written by commit 223bf7c. They hold no names of classes or fields.

- ``folder/``: a folder after three updates, the second with a snapshot, and ``reopened/``, the same folder
  after the next start;
- ``torn/``: the same log with its last record cut off in the middle;
- ``messages.json``: the encoded bytes of each message and entry body;
- ``traces.json``: digests of all actions of simulated fleets, by seed, and of all states and transitions of
  small models.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
import random
import secrets
import shutil
from collections.abc import Hashable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from honeybarrow.consensus.actions import (
    Action,
    ApplyEntry,
    DiskRolledBack,
    PersistState,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
)
from honeybarrow.consensus.config import ConsensusConfig
from honeybarrow.consensus.log_entries import (
    Command,
    EntryBody,
    LogEntry,
    Noop,
    Snapshot,
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
from honeybarrow.consensus.node import RaftNode
from honeybarrow.consensus.persistent_state import PersistentState
from honeybarrow.consensus.store import ConsensusStore, decode_records, encode_record
from honeybarrow.lab.consensus_cluster import (
    SECOND_US,
    ClusterParameters,
    ConsensusCluster,
    Fault,
    FaultKind,
    draw_parameters,
    find_violations,
)
from tests.consensus_model import ConsensusModel
from tests.lease_model import LeaseModel

GOLDEN = Path(__file__).parent / "golden" / "consensus"
DISK_ID, INCARNATION_NONCE = 0x1234567890ABC, 0x54321
THREE_VOTERS = (Voter("a", 1), Voter("b", 2), Voter("c", DISK_ID))
ENTRIES = (
    LogEntry(1, VoterConfiguration("fleet-1", THREE_VOTERS)),
    LogEntry(2, Noop()),
    LogEntry(2, Command("proposal-1", b"\x00first\xff")),
    LogEntry(2, Command("proposal-2", "zweite Änderung".encode())),
    LogEntry(3, VoterConfiguration("roll-2", THREE_VOTERS[:2])),
)
SNAPSHOT = Snapshot(2, 2, THREE_VOTERS, b"state after two")
UPDATES = (
    PersistState(1, 2, "b", 1, 1, ENTRIES[:4]),
    PersistState(2, 2, "b", 2, 0, (), SNAPSHOT),
    PersistState(3, 3, "c", 3, 5, ENTRIES[4:]),
)
IDENTITY = VoterIdentity(DISK_ID, (7 << 20) + INCARNATION_NONCE, 41)
MESSAGES: dict[str, Any] = {
    "31 vote asked for": RequestVote(5, True, 17, 4, IDENTITY),
    "31 vote asked for, in earnest": RequestVote(6, False, 1 << 40, 5, IDENTITY),
    "32 vote": RequestVoteReply(5, True, False, IDENTITY),
    "33 entries": AppendEntries(5, 99, 16, 4, ENTRIES, 15),
    "33 no entries": AppendEntries(5, 100, 16, 4, (), 16),
    "34 entries kept": AppendEntriesReply(5, 99, True, 21, IDENTITY, 1_700_000_000_000_000),
    "34 entries refused": AppendEntriesReply(5, 99, False, 12, IDENTITY),
    "35 snapshot": InstallSnapshot(5, 101, SNAPSHOT),
    "36 committed entries asked for": FetchCommitted(16),
    "37 committed entries": FetchCommittedReply(16, ENTRIES[1:], 20),
    "37 committed entries, with a snapshot": FetchCommittedReply(2, ENTRIES[2:4], 4, SNAPSHOT),
}
BODIES: dict[str, Any] = {
    "1 first of a leader": Noop(),
    "2 command": ENTRIES[2].body,
    "3 voters": ENTRIES[0].body,
}


def read_files(path: Path) -> dict[str, bytes]:
    return {each.name: each.read_bytes() for each in sorted(path.iterdir())}


def write_golden_folder(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Write a folder with the updates of the golden one."""
    monkeypatch.setattr(secrets, "randbits", {53: DISK_ID, 20: INCARNATION_NONCE}.__getitem__)
    store = open_store(path)
    for update in UPDATES:
        store.persist(update)
        while store.get_writer_stats().pending:
            pass
    store.close()


def open_store(path: Path) -> ConsensusStore:
    return ConsensusStore(path, lambda number: None, lambda error: None, lambda call, *args: None)


def copy_golden_folder(name: str, target: Path) -> Path:
    shutil.copytree(GOLDEN / name, target)
    return target


def test_folder_is_read_and_written_as_by_an_earlier_release(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_golden_folder(tmp_path / "new", monkeypatch)
    assert read_files(tmp_path / "new") == read_files(GOLDEN / "folder")
    assert sorted(read_files(GOLDEN / "folder")) == ["disk", "lock", "log"]
    store = open_store(copy_golden_folder("folder", tmp_path / "old"))
    assert (store.disk_id, store.start_count, store.incarnation) == (
        DISK_ID,
        2,
        (2 << 20) + INCARNATION_NONCE,
    )
    assert store.persistent_state == PersistentState(3, "c", 3, SNAPSHOT, list(ENTRIES[2:]), 3)
    store.close()
    assert read_files(tmp_path / "old") == read_files(GOLDEN / "reopened")
    rng = random.Random(1)
    node = RaftNode("c", DISK_ID, store.incarnation, rng, ConsensusConfig(), store.persistent_state, 0)
    assert (node.term, node.state.voted_for, node.commit_index) == (3, "c", 3)
    assert (node.log.first_index, node.log.last_index) == (3, 5)
    assert node.voters == THREE_VOTERS[:2] and not node.is_voter


def test_disk_record_is_a_map_of_two_numbers() -> None:
    assert json.loads((GOLDEN / "folder" / "disk").read_bytes()) == {"disk": DISK_ID, "starts": 1}
    assert json.loads((GOLDEN / "reopened" / "disk").read_bytes()) == {"disk": DISK_ID, "starts": 2}


def test_log_with_partial_last_record_is_read_up_to_it(tmp_path: Path) -> None:
    whole, torn = (GOLDEN / "folder" / "log").read_bytes(), (GOLDEN / "torn" / "log").read_bytes()
    assert whole.startswith(torn)
    assert decode_records(whole) == (PersistentState(3, "c", 3, SNAPSHOT, list(ENTRIES[2:]), 3), len(whole))
    before = PersistentState(2, "b", 2, SNAPSHOT, list(ENTRIES[2:4]), 2)
    state, size_bytes = decode_records(torn)
    assert state == before and size_bytes < len(torn)
    assert torn[:size_bytes] == encode_record(before.to_single_update())
    store = open_store(copy_golden_folder("torn", tmp_path / "torn"))
    assert store.persistent_state == before
    store.close()
    assert (tmp_path / "torn" / "log").read_bytes() == torn[:size_bytes]


def test_records_are_encoded_to_the_same_bytes() -> None:
    before = PersistentState(2, "b", 2, SNAPSHOT, list(ENTRIES[2:4]), 2)
    assert (
        encode_record(before.to_single_update()) + encode_record(UPDATES[2])
        == (GOLDEN / "folder" / "log").read_bytes()
    )
    after = PersistentState(3, "c", 3, SNAPSHOT, list(ENTRIES[2:]), 3)
    assert encode_record(after.to_single_update()) == (GOLDEN / "reopened" / "log").read_bytes()


def test_messages_and_entries_are_encoded_to_the_same_bytes() -> None:
    golden = json.loads((GOLDEN / "messages.json").read_text())
    assert list(golden) == [*MESSAGES, *BODIES]
    for value_type, named_values in ((Message, MESSAGES), (EntryBody, BODIES)):
        for name, value in named_values.items():
            assert msgspec.msgpack.encode(value).hex() == golden[name], name
            assert msgspec.msgpack.decode(bytes.fromhex(golden[name]), type=value_type) == value, name
            assert name.startswith(f"{value.__struct_config__.tag} ")


# --- actions and states


def to_plain_data(value: Any) -> Any:
    """Return a value as plain data, without the names of classes, fields and enum members."""
    if isinstance(value, msgspec.Struct):
        return msgspec.msgpack.encode(value).hex()
    if isinstance(value, enum.Enum):
        return list(type(value)).index(value)
    if dataclasses.is_dataclass(value):
        return [to_plain_data(getattr(value, each.name)) for each in dataclasses.fields(value)]
    if isinstance(value, tuple | list):
        return [to_plain_data(each) for each in value]
    if isinstance(value, frozenset):
        return sorted(json.dumps(to_plain_data(each)) for each in value)
    return value


# In the order of ``Action``; digests contain the index of the type.
ACTION_TYPES = (SendMessage, PersistState, ApplyEntry, RestoreSnapshot, RoleChanged, DiskRolledBack)


class TracedCluster(ConsensusCluster):
    """A simulated cluster that computes a digest of all actions with their member and time."""

    def __init__(self, parameters: ClusterParameters, seed: int) -> None:
        self.digest, self.actions = hashlib.sha256(), 0
        super().__init__(parameters, seed)

    def _perform_actions(self, member: Any, actions: list[Action]) -> None:
        for action in actions:
            self.actions += 1
            line = [self.now_us, member.name, ACTION_TYPES.index(type(action)), to_plain_data(action)]
            self.digest.update(json.dumps(line).encode())
        super()._perform_actions(member, actions)


SIMULATIONS = {
    **{f"drawn {seed}, 3 voters, 2 learners": (draw_parameters(seed, 3, 2), seed) for seed in range(4)},
    **{f"drawn {seed}, 5 voters, 3 learners": (draw_parameters(seed, 5, 3), seed) for seed in (1000, 1001)},
    "a disk lost, slow links": (
        ClusterParameters(
            loss_rate=0.1,
            delay_range_us=(20_000, 60_000),
            duration_us=8 * SECOND_US,
            faults=(
                Fault(FaultKind.DISK_LOST, 3 * SECOND_US, SECOND_US, (1,)),
                Fault(FaultKind.ALL_KILLED, 6 * SECOND_US, SECOND_US, ()),
            ),
            config=ConsensusConfig(max_retained_entries=8),
        ),
        5,
    ),
}


def trace_simulation(name: str) -> list[Any]:
    cluster = TracedCluster(*SIMULATIONS[name])
    history = cluster.run()
    assert find_violations(cluster) == []
    counts = [
        history.proposed,
        history.rejected,
        history.message_count,
        history.readmission_count,
        len(history.acknowledged),
        len(history.committed),
        len(history.elected_us),
    ]
    summary = [to_plain_data(history.acknowledged), sorted(history.leaders.items()), history.elected_us]
    cluster.digest.update(json.dumps(summary).encode())
    return [cluster.actions, *counts, cluster.digest.hexdigest()]


MODELS: dict[str, Any] = {
    "log: two members, a proposal": ConsensusModel(members=2, max_terms=2, max_proposals=1),
    "log: two members, a crash": ConsensusModel(members=2, max_terms=2, max_proposals=1, max_crashes=1),
    "log: two members, snapshots": ConsensusModel(
        members=2, max_terms=2, max_proposals=1, has_snapshots=True
    ),
    "log: a member let in": ConsensusModel(max_terms=2, max_proposals=1, has_voter_change=True),
    "leases: one leader": LeaseModel(max_ticks=2, max_requests=1, has_second_leader=False),
    "leases: two leaders": LeaseModel(max_ticks=1, max_requests=1, confirmed_ticks=1),
}


def trace_model(name: str) -> list[Any]:
    """Return the counts of all states and transitions, and the sums of their digests.

    The sums do not depend on the order of the exploration.
    """
    model = MODELS[name]

    def digest(value: Hashable) -> int:
        return int.from_bytes(hashlib.sha256(json.dumps(to_plain_data(value)).encode()).digest(), "big")

    first = model.initial_state()
    state_digests = {model.state_key(first): digest(model.state_key(first))}
    frontier, steps, step_digest_sum = [first], 0, 0
    while frontier:
        state = frontier.pop()
        before = state_digests[model.state_key(state)]
        for _, after in model.successors(state):
            assert model.find_violation(after) == ""
            key = model.state_key(after)
            if key not in state_digests:
                state_digests[key] = digest(key)
                frontier.append(after)
            steps += 1
            step_digest_sum += digest((before, state_digests[key]))
    modulus = 1 << 256
    return [
        len(state_digests),
        steps,
        f"{sum(state_digests.values()) % modulus:064x}",
        f"{step_digest_sum % modulus:064x}",
    ]


@pytest.mark.parametrize("name", SIMULATIONS)
def test_simulation_yields_the_same_actions(name: str) -> None:
    assert trace_simulation(name) == json.loads((GOLDEN / "traces.json").read_text())[name]


@pytest.mark.parametrize("name", MODELS)
def test_small_model_has_the_same_states_and_transitions(name: str) -> None:
    assert trace_model(name) == json.loads((GOLDEN / "traces.json").read_text())[name]
