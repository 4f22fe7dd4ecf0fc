"""Golden tests of fleet membership: wire bytes, saved verdicts, operator tables and the order of actions.

The files under ``golden/fleet_membership`` were written by revision 223bf7c and must not change.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from honeybarrow.events import AttemptStatus, EndpointState
from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet import wire, zone_messages
from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.swim_config import SwimConfig
from honeybarrow.lab.gossip_cluster import SECOND_US, ClusterConfig, ClusterMember, GossipCluster, ZoneFault
from tests.test_fleet import AgentCluster

FOLDER = Path(__file__).parent / "golden" / "fleet_membership"
FLEET_NAME = "west"

SUSPECT_UPDATE = swim.MemberUpdate(
    name="f2",
    state=swim.MemberState.SUSPECT,
    incarnation=1700000000123456,
    refutations=3,
    zone="r/a",
    address="10.1.0.6:7001",
    suspected_by="f3",
)
ALIVE_UPDATE = swim.MemberUpdate(name="f4", state=swim.MemberState.ALIVE, incarnation=7, refutations=0)
LEFT_UPDATE = swim.MemberUpdate(
    name="f5",
    state=swim.MemberState.LEFT,
    incarnation=1 << 62,
    refutations=300,
    zone="b",
    address="h:1",
    suspected_by="",
)
DEAD_UPDATE = swim.MemberUpdate(
    name="f6", state=swim.MemberState.DEAD, incarnation=0, refutations=128, zone="c"
)
SYNC = zone_messages.VerdictSync(
    verdicts=(
        zone_messages.AgedVerdict(
            verdict=zone_messages.ZoneVerdict(
                path="r/a",
                source_zone="",
                epoch=1,
                decided_by="f1",
                incarnation=9,
                relapses=65536,
                spared_zones=("b",),
                partial_ejections=(zone_messages.PartialEjection(destination=4, per_mille=500),),
                successes=1,
                failures=2,
                votes=3,
                voter_count=5,
            ),
            age_us=1_250_000,
        ),
    ),
    overrides=(
        zone_messages.TimedOverride(
            override=zone_messages.OperatorOverride(path="b", eject=True, revision=2, set_by="f3"),
            remaining_us=600_000_000,
        ),
        zone_messages.TimedOverride(
            override=zone_messages.OperatorOverride(path="c", eject=None, revision=3, set_by="f1"),
            remaining_us=0,
        ),
    ),
)

DATAGRAMS: dict[str, wire.Datagram] = {
    "ping": wire.Datagram(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f1",
        incarnation=5,
        message=swim.Ping(
            sequence_number=1, updates=(SUSPECT_UPDATE, ALIVE_UPDATE, LEFT_UPDATE, DEAD_UPDATE)
        ),
    ),
    "ack": wire.Datagram(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f2",
        incarnation=6,
        message=swim.Ack(sequence_number=1 << 40, updates=(ALIVE_UPDATE,)),
    ),
    "indirect_ping": wire.Datagram(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f1",
        incarnation=5,
        message=swim.IndirectPing(sequence_number=300, target="f2", updates=(SUSPECT_UPDATE,)),
    ),
    "nack": wire.Datagram(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f3",
        incarnation=0,
        message=swim.Nack(sequence_number=70000, updates=()),
    ),
}
FRAMES: dict[str, wire.Frame] = {
    "push_pull": wire.Frame(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f1",
        incarnation=5,
        body=wire.PushPullState(
            updates=(SUSPECT_UPDATE, ALIVE_UPDATE, LEFT_UPDATE, DEAD_UPDATE), verdicts=SYNC
        ),
    ),
    "query_members": wire.Frame(
        version=1, fleet_name=FLEET_NAME, sender="", incarnation=0, body=wire.StatusQuery(topic="members")
    ),
    "query_zones": wire.Frame(
        version=1, fleet_name=FLEET_NAME, sender="", incarnation=0, body=wire.StatusQuery(topic="zones")
    ),
    "override_out": wire.Frame(
        version=1,
        fleet_name=FLEET_NAME,
        sender="",
        incarnation=0,
        body=wire.SetOverride(path="r/a", eject=True, duration_us=600_000_000),
    ),
    "override_withdrawn": wire.Frame(
        version=1,
        fleet_name=FLEET_NAME,
        sender="",
        incarnation=0,
        body=wire.SetOverride(path="r", eject=None, duration_us=0),
    ),
    "answer": wire.Frame(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f1",
        incarnation=5,
        body=wire.OperatorReply(text='[{"zone":"a"}]', error=""),
    ),
    "refusal": wire.Frame(
        version=1,
        fleet_name=FLEET_NAME,
        sender="f1",
        incarnation=5,
        body=wire.OperatorReply(text="", error="no zone 'x'"),
    ),
}


def read_golden_bytes(name: str) -> bytes:
    return bytes.fromhex((FOLDER / f"{name}.hex").read_text(encoding="ascii"))


@pytest.mark.parametrize("name", list(DATAGRAMS))
def test_datagrams_are_encoded_and_decoded_as_in_the_golden_files(name: str) -> None:
    data = read_golden_bytes(name)
    assert wire.encode(DATAGRAMS[name]) == data
    assert wire.decode(data, wire.Datagram, FLEET_NAME) == DATAGRAMS[name]


@pytest.mark.parametrize("name", list(FRAMES))
def test_frames_are_encoded_and_decoded_as_in_the_golden_files(name: str) -> None:
    data = read_golden_bytes(name)
    assert wire.encode(FRAMES[name]) == data
    (frame,) = wire.FrameReader().feed(data)
    assert wire.decode(frame, wire.Frame, FLEET_NAME) == FRAMES[name]


def test_every_message_and_frame_type_has_a_golden_file() -> None:
    message_types = {type(each.message) for each in DATAGRAMS.values()}
    assert message_types == {swim.Ping, swim.Ack, swim.IndirectPing, swim.Nack}
    assert {type(each.body) for each in FRAMES.values()} == {
        wire.PushPullState,
        wire.StatusQuery,
        wire.SetOverride,
        wire.OperatorReply,
    }
    golden_names = {path.stem for path in FOLDER.glob("*.hex")}
    assert golden_names == {*DATAGRAMS, *FRAMES}


def test_wire_constants_are_unchanged() -> None:
    assert (wire.WIRE_VERSION, wire.MAX_DATAGRAM_BYTES, wire.MAX_FRAME_BYTES, wire.FRAME_HEADER_BYTES) == (
        1,
        4096,
        1 << 20,
        4,
    )
    assert [(state.name, int(state)) for state in swim.MemberState] == [
        ("ALIVE", 0),
        ("SUSPECT", 1),
        ("DEAD", 2),
        ("LEFT", 3),
    ]


# --- saved verdicts and operator tables


def save_two_overrides(fleet: AgentCluster) -> bytes:
    """Return the verdicts that agent ``a`` saves after two overrides."""
    fleet.run(2)
    for override in (
        wire.SetOverride("b", True, 60 * SECOND_US),
        wire.SetOverride("c", False, 90 * SECOND_US),
    ):
        assert fleet.agents["a"].handle_operator_request(override).error == ""
    return fleet.saved["a"]


def test_saved_verdicts_match_the_golden_file_and_can_be_loaded() -> None:
    golden_verdicts = (FOLDER / "verdicts.json").read_bytes()
    assert save_two_overrides(AgentCluster()) == golden_verdicts
    fleet = AgentCluster()
    fleet.hosts["c"].kill()
    fleet.saved["c"] = golden_verdicts
    agent = fleet.start_agent("c", 2)
    assert agent.endpoint_filter.get_published_state("1b") is EndpointState.DRAINING
    assert agent.endpoint_filter.get_published_state("1c") is EndpointState.READY
    rows = {row.zone: row.override for row in agent.list_zone_status()}
    assert rows == {"a": "", "b": "out", "c": "in"}


def test_operator_tables_keep_their_columns() -> None:
    fleet = AgentCluster()
    save_two_overrides(fleet)
    member_rows, zone_rows = (
        json.loads(fleet.agents["a"].handle_operator_request(wire.StatusQuery(topic)).text)
        for topic in ("members", "zones")
    )
    assert {"members": member_rows, "zones": zone_rows} == json.loads((FOLDER / "tables.json").read_bytes())
    assert [list(rows[0]) for rows in (member_rows, zone_rows)] == [
        ["name", "zone", "state", "since_s", "life", "address"],
        [
            "zone",
            "members_of",
            "stand",
            "held",
            "held_by",
            "held_for_s",
            "number",
            "since_s",
            "good",
            "lost",
            "votes",
            "known",
            "relapses",
            "in_part",
        ],
    ]


# --- order of actions


class TracedCluster(GossipCluster):
    """Cluster that digests each datagram, push-pull, death, log event and call, in order."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.parts = {
            name: hashlib.sha256() for name in ("datagrams", "swaps", "deaths", "notes", "calls", "end")
        }
        self.counts = dict.fromkeys(self.parts, 0)
        super().__init__(*args, **kwargs)

    def add_to_digest(self, part: str, *values: Any) -> None:
        self.counts[part] += 1
        self.parts[part].update(msgspec.msgpack.encode(values))

    def _count_bytes(self, member: ClusterMember, message: wire.DatagramMessage) -> None:
        super()._count_bytes(member, message)
        incarnation = member.membership.local_member.incarnation
        data = wire.encode(wire.Datagram(wire.WIRE_VERSION, "fleet", member.name, incarnation, message))
        self.add_to_digest("datagrams", self.now_us, member.name, data)

    def _send(self, member: ClusterMember, to: str, handle: Callable[[ClusterMember], None]) -> None:
        self.add_to_digest("datagrams", to)
        super()._send(member, to, handle)

    def _push_pull(self, one: ClusterMember, to: str) -> None:
        self.add_to_digest(
            "swaps",
            self.now_us,
            one.name,
            to,
            one.membership.member_list(),
            one.zone_coordinator.create_sync(self.now_us),
        )
        super()._push_pull(one, to)

    def digests(self) -> dict[str, list[Any]]:
        """Return the number of items and the hash of each part."""
        for at_us, observer, target in self.record.deaths:
            self.add_to_digest("deaths", at_us, observer, target)
        for at_us, member_name, event in self.record.log_events:
            # event names may change, so they are not part of the digest
            self.add_to_digest("notes", at_us, member_name, event.path)
        for call in self.record.calls:
            self.add_to_digest("calls", call.sent_us, call.member, call.zone, call.partner, call.has_failed)
        for name, member in self.members.items():
            self.add_to_digest(
                "end",
                name,
                member.membership.member_list(),
                member.membership.local_health,
                member.membership.due_us,
            )
            self.add_to_digest(
                "end",
                member.zone_coordinator.create_sync(self.now_us),
                member.zone_coordinator.compute_digest(),
                member.zone_coordinator.due_us,
            )
            self.add_to_digest(
                "end",
                member.membership.rng.random(),
                [member.zone_coordinator.get_status(self.now_us, zone).value for zone in "abc"],
            )
        self.add_to_digest(
            "end", self.rng.random(), self.now_us, self.record.datagrams_sent, self.record.bytes_sent
        )
        return {name: [self.counts[name], part.hexdigest()] for name, part in self.parts.items()}


def run_cluster_scenario() -> TracedCluster:
    """Run failing zones, a failing path, a restart, a pause, partitions, an override and a departure."""
    faults = (
        ZoneFault("b", 12 * SECOND_US, 10 * SECOND_US),
        ZoneFault(
            "c",
            40 * SECOND_US,
            8 * SECOND_US,
            caller_zone="a",
            status=AttemptStatus.CONNECT_FAILED,
            call_duration_us=3_000,
        ),
        ZoneFault("b", 75 * SECOND_US, 6 * SECOND_US, probability=0.95),
    )
    fleet = TracedCluster(
        ClusterConfig(
            member_count=12, calls_per_second=8.0, datagram_loss=0.05, call_loss=0.02, faults=faults
        ),
        7,
    )
    fleet.run(16)
    fleet.kill_member("m5")
    fleet.run(9)
    fleet.start_member("m5")
    fleet.pause_member("m7", 6 * SECOND_US)
    fleet.run(10)
    fleet.partition(["m1", "m2", "m3"])
    fleet.run(14)
    fleet.heal_partitions()
    fleet.partition(["m4"], "out")
    fleet.run(12)
    fleet.heal_partitions()
    operator_member = fleet.members["m0"]
    fleet._perform_zone_actions(
        operator_member, operator_member.zone_coordinator.set_override(fleet.now_us, "c", True, 9 * SECOND_US)
    )
    fleet.run(8)
    fleet._perform_membership_actions(fleet.members["m8"], fleet.members["m8"].membership.leave())
    fleet.run(1)
    fleet.kill_member("m8")
    fleet.run(50)
    return fleet


def test_cluster_scenario_produces_the_golden_digests() -> None:
    digests = run_cluster_scenario().digests()
    assert digests == json.loads((FOLDER / "day.json").read_text(encoding="ascii"))


def test_single_member_produces_the_golden_actions() -> None:
    assert trace_single_member() == (FOLDER / "lone_member.txt").read_text(encoding="ascii").splitlines()


class TracedMember:
    """One member, with a trace line for each event and each resulting action."""

    def __init__(self) -> None:
        config = SwimConfig(
            indirect_ping_count=2,
            max_members=6,
            max_updates_per_message=3,
            left_retention_us=5 * SECOND_US,
            max_incarnation_bumps=2,
        )
        self.membership = Membership("a", "z", "h:1", 3, ["b", "c", "d"], random.Random("lone"), config)
        self.lines: list[str] = []

    def record(self, event: str, actions: list[swim.MembershipAction]) -> None:
        member = self.membership
        self.lines.append(
            f"{event}: due {member.due_us}, health {member.local_health}, dropped {member.dropped_updates}"
        )
        self.lines += [f"  {self.format_action(action)}" for action in actions]

    def format_action(self, action: swim.MembershipAction) -> str:
        match action:
            case swim.SendMessage(to, message):
                incarnation = self.membership.local_member.incarnation
                data = wire.encode(wire.Datagram(1, FLEET_NAME, "a", incarnation, message))
                return f"say {to} {data.hex()}"
            case swim.PushPull(peer):
                return f"swap {peer}"
            case swim.MemberChanged(update, previous):
                encoded_previous = msgspec.msgpack.encode(previous).hex()
                return f"changed {msgspec.msgpack.encode(update).hex()} from {encoded_previous}"
            case swim.NameConflict(incarnation):
                return f"replaced {incarnation}"

    def wake(self, until_us: int) -> None:
        while self.membership.due_us <= until_us:
            now_us = self.membership.due_us
            self.record(f"wake {now_us}", self.membership.wake(now_us))

    def receive(self, now_us: int, sender: str, message: swim.SwimMessage) -> None:
        actions = self.membership.handle_message(now_us, sender, message)
        self.record(f"{now_us} from {sender}", actions)


def make_update(
    name: str, state: swim.MemberState, incarnation: int = 1, refutations: int = 0, by: str = ""
) -> swim.MemberUpdate:
    return swim.MemberUpdate(name, state, incarnation, refutations, "z", "", by)


def trace_single_member() -> list[str]:
    traced, states = TracedMember(), swim.MemberState
    member = traced.membership
    traced.record("start", member.start(0))
    traced.wake(SECOND_US)
    traced.record(
        "list", member.merge_member_list(SECOND_US, [make_update(each, states.ALIVE) for each in "bcdefgh"])
    )
    traced.wake(2 * SECOND_US)
    suspicion = make_update("c", states.SUSPECT, by="b")
    traced.receive(2 * SECOND_US, "b", swim.Ping(1, (suspicion, make_update("h", states.LEFT))))
    traced.receive(2 * SECOND_US + 1, "d", swim.Ping(2, (make_update("c", states.SUSPECT, by="d"),)))
    traced.receive(2 * SECOND_US + 2, "e", swim.IndirectPing(9, "f"))
    for number in range(1, 9):
        traced.receive(2 * SECOND_US + 3, "f", swim.Ack(number))
        traced.receive(2 * SECOND_US + 4, "g", swim.Nack(number))
    traced.wake(6 * SECOND_US)
    refutation, local_suspicion = (
        make_update("c", states.ALIVE, 1, 1),
        make_update("a", states.SUSPECT, 3, 0, "b"),
    )
    traced.receive(6 * SECOND_US, "c", swim.Ack(77, (refutation, local_suspicion)))
    traced.wake(9 * SECOND_US)
    traced.record("late", member.wake(member.due_us + 3 * SECOND_US))
    traced.receive(
        12 * SECOND_US,
        "d",
        swim.Ping(5, (make_update("d", states.LEFT), make_update("a", states.DEAD, 3, 1))),
    )
    traced.wake(20 * SECOND_US)
    for n in range(5):
        conflicting = make_update("a", states.ALIVE, member.local_member.incarnation + 2)
        traced.receive((20 + n) * SECOND_US, "b", swim.Ping(n, (conflicting,)))
    traced.wake(40 * SECOND_US)
    traced.record("leave", member.leave())
    traced.lines.append(f"end {member.rng.random()} {msgspec.msgpack.encode(member.member_list()).hex()}")
    return traced.lines
