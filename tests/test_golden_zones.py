"""Golden tests of zone ejection: encoded messages, and the actions of simulated fleets, of build 223bf7c."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import Any

import msgspec
import pytest

from honeybarrow.events import AttemptStatus
from honeybarrow.fleet import wire
from honeybarrow.fleet.wire import Datagram, Frame, OperatorReply, PushPullState, SetOverride, StatusQuery
from honeybarrow.fleet.zone_coordinator import ZoneCoordinator
from honeybarrow.fleet.zone_messages import (
    Action,
    AgedVerdict,
    BucketResults,
    DestinationLoad,
    EvidenceCell,
    EvidenceReport,
    EvidenceRequest,
    OperatorOverride,
    PartialEjection,
    SendMessage,
    StateDigest,
    TimedOverride,
    VerdictSync,
    ZoneLogEvent,
    ZoneUsageChanged,
    ZoneVerdict,
)
from honeybarrow.fleet.zone_view import ZoneUsage
from honeybarrow.lab.gossip_cluster import SECOND_US, ClusterConfig, GossipCluster, ZoneFault

GOLDEN = Path(__file__).parent / "golden" / "fleet_zones"


def load_golden_bytes(name: str) -> bytes:
    return bytes.fromhex((GOLDEN / f"{name}.hex").read_text(encoding="ascii"))


# --- messages

EJECTION = ZoneVerdict(
    path="r1/b",
    source_zone="r2/c",
    epoch=7,
    decided_by="f3",
    incarnation=1_700_000_000_001,
    relapses=2,
    spared_zones=("r1/b", "r1/d"),
    partial_ejections=(PartialEjection(4, 250), PartialEjection(9, 1000)),
    successes=11,
    failures=97,
    votes=5,
    voter_count=9,
)
RESTORATION = ZoneVerdict(path="a", source_zone="", epoch=8, decided_by="f1", incarnation=3)
EJECTING_OVERRIDE = OperatorOverride(path="b", eject=True, revision=4, set_by="f2")
RESTORING_OVERRIDE = OperatorOverride(path="r1", eject=False, revision=1, set_by="f9")
WITHDRAWN_OVERRIDE = OperatorOverride(path="c", eject=None, revision=2, set_by="f2")
SYNC = VerdictSync(
    verdicts=(AgedVerdict(EJECTION, 12_345_678), AgedVerdict(RESTORATION, 0)),
    overrides=(
        TimedOverride(EJECTING_OVERRIDE, 900_000_000),
        TimedOverride(RESTORING_OVERRIDE, 1),
        TimedOverride(WITHDRAWN_OVERRIDE, 60_000_000),
    ),
)
DATAGRAMS: dict[str, wire.DatagramMessage] = {
    "report": EvidenceReport(
        path="r1/b",
        incarnation=1_700_000_000_001,
        sequence=42,
        cells=(
            EvidenceCell(age=0, zone="r1/b", destination=3, successes=1, failures=2, pending=5),
            EvidenceCell(
                age=11, zone="r1/b", destination=70_000, successes=999, failures=1_000_000, pending=0
            ),
        ),
        loads=(DestinationLoad(3, 17), DestinationLoad(70_000, 1)),
        other_zones=(BucketResults(1, 0), BucketResults(0, 0), BucketResults(300, 4)),
        request_id=6,
        verdict_epoch=7,
    ),
    "report_bare": EvidenceReport(path="b", incarnation=1, sequence=1),
    "question": EvidenceRequest(path="r1/b", request_id=12),
    "told": SYNC,
    "told_empty": VerdictSync(),
    "digest": StateDigest(value=0xFEDC_BA98_7654_3210, is_reply=False),
    "digest_answer": StateDigest(value=1, is_reply=True),
}
FRAMES: dict[str, wire.FrameBody] = {
    "swap": PushPullState((), SYNC),
    "ask_members": StatusQuery("members"),
    "ask_zones": StatusQuery("zones"),
    "hold_out": SetOverride("r1/b", True, 900_000_000),
    "hold_in": SetOverride("r1", False, 1),
    "hold_withdraw": SetOverride("c", None, 60_000_000),
    "answer": OperatorReply(text='[{"zone":"b"}]'),
    "answer_error": OperatorReply(error="no such zone"),
}


@pytest.mark.parametrize("name", list(DATAGRAMS))
def test_datagram_matches_golden_bytes(name: str) -> None:
    datagram = Datagram(1, "mail", "f3", 1_700_000_000_001, DATAGRAMS[name])
    assert wire.decode(load_golden_bytes(name), Datagram, "mail") == datagram
    assert wire.encode(datagram) == load_golden_bytes(name)


@pytest.mark.parametrize("name", list(FRAMES))
def test_frame_matches_golden_bytes(name: str) -> None:
    frame = Frame(1, "mail", "f3", 7, FRAMES[name])
    (content,) = wire.FrameReader().feed(load_golden_bytes(name))
    assert wire.decode(content, Frame, "mail") == frame
    assert wire.encode(frame) == load_golden_bytes(name)


def test_saved_verdicts_match_golden_file() -> None:
    saved = (GOLDEN / "saved_verdicts.json").read_bytes()
    assert msgspec.json.decode(saved, type=VerdictSync) == SYNC
    assert msgspec.json.encode(SYNC) == saved


@pytest.mark.parametrize("pair", [[], [1], [1, 2, 3], [-1, 2], [1, "2"]])
@pytest.mark.parametrize("position", ["load", "results", "verdict", "override"])
def test_malformed_pair_is_rejected(position: str, pair: list[object]) -> None:
    messages: dict[str, list[object]] = {
        "load": [11, "b", 1, 1, [], [pair], [], 0, 0],
        "results": [11, "b", 1, 1, [], [], [pair], 0, 0],
        "verdict": [13, [pair], []],
        "override": [13, [], [pair]],
    }
    data = msgspec.msgpack.encode([1, "mail", "f3", 7, messages[position]])
    with pytest.raises(wire.WireError, match="unreadable"):
        wire.decode(data, Datagram, "mail")


# --- simulations

LOG_EVENTS = (
    "zone_ejected",
    "zone_recovering",
    "zone_override_set",
    "zone_override_expired",
    "zone_ejection_skipped",
    "zone_evidence_requested",
    "zone_undecided",
)
# Reason texts that differ from those in the golden traces.
GOLDEN_REASONS = {"too many zones would be ejected": "too many would be out"}


class Recorder:
    """Records the result of each coordinator call; log events appear as their index in ``LOG_EVENTS``."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.lines: list[str] = []
        self.logged_numbers: set[int] = set()
        for number, name in enumerate(("start", "wake", "handle_message", "set_override", "merge_sync")):
            self.record_method(patch, number, name, self.format_actions)
        self.record_method(patch, 5, "get_usage", lambda usage: str(list(ZoneUsage).index(usage)))

    def record_method(self, patch: pytest.MonkeyPatch, number: int, name: str, format_result: Any) -> None:
        original = getattr(ZoneCoordinator, name)

        def call(coordinator: ZoneCoordinator, now: int, *arguments: Any) -> Any:
            result = original(coordinator, now, *arguments)
            self.lines.append(
                f"{now} {coordinator.quorum.own_name} {number} {format_result(result)} {coordinator.due_us}"
            )
            return result

        patch.setattr(ZoneCoordinator, name, call)

    def format_actions(self, actions: list[Action]) -> str:
        return " ".join(self.format_action(action) for action in actions)

    def format_action(self, action: Action) -> str:
        match action:
            case SendMessage(recipient, message):
                return f"{recipient}:{wire.encode(Datagram(1, 'f', 'm', 1, message)).hex()}"
            case ZoneLogEvent(event, path, fields):
                number = LOG_EVENTS.index(event)
                self.logged_numbers.add(number)
                return f"{number}:{path}:{[GOLDEN_REASONS.get(str(value), value) for _, value in fields]}"
            case ZoneUsageChanged():
                return "show"


def make_outage(zone: str, start_s: float, duration_s: float, **options: Any) -> ZoneFault:
    return ZoneFault(zone, int(start_s * SECOND_US), int(duration_s * SECOND_US), **options)


def simulate_outages(seed: int) -> GossipCluster:
    """Simulate a flapping zone, a pause and a restart of members, a partition, packet loss and overrides."""
    fleet = GossipCluster(
        ClusterConfig(
            datagram_loss=0.1, calls_per_second=8.0, faults=(make_outage("b", 9, 12), make_outage("b", 32, 9))
        ),
        seed,
    )
    fleet.run(13)
    fleet.kill_member("m3")
    fleet.pause_member("m4", 4 * SECOND_US)
    fleet.run(3)
    fleet.start_member("m3")
    coordinator = fleet.members["m1"].zone_coordinator
    fleet._perform_zone_actions(
        fleet.members["m1"], coordinator.set_override(fleet.now_us, "c", True, 8 * SECOND_US)
    )
    fleet.run(3)
    fleet._perform_zone_actions(
        fleet.members["m1"], coordinator.set_override(fleet.now_us, "c", None, 5 * SECOND_US)
    )
    fleet._perform_zone_actions(
        fleet.members["m1"], coordinator.set_override(fleet.now_us, "a", False, 6 * SECOND_US)
    )
    fleet.run(12)
    fleet.partition(fleet.names[:4])
    fleet.run(6)
    fleet.heal_partitions()
    fleet.run(30)
    return fleet


def simulate_path_and_two_zones(seed: int) -> GossipCluster:
    """Simulate a failing network path, then a failure of two zones, more than may be ejected."""
    faults = (make_outage("b", 8, 8, caller_zone="a"), make_outage("b", 36, 10), make_outage("c", 36, 10))
    fleet = GossipCluster(
        ClusterConfig(member_count=12, calls_per_second=7.0, datagram_loss=0.02, faults=faults), seed
    )
    fleet.run(58)
    return fleet


def simulate_partial_region_ejection(seed: int) -> GossipCluster:
    """Simulate a failing region whose load exceeds the remaining capacity."""
    zones = ("r1/a", "r1/b", "r2/c", "r2/d")
    status, call_duration_us = AttemptStatus.CONNECT_FAILED, 2_000
    config = ClusterConfig(
        zones,
        12,
        4,
        calls_per_second=9.0,
        endpoint_weight=30.0,
        faults=(make_outage("r1", 8, 10, status=status, call_duration_us=call_duration_us),),
    )
    fleet = GossipCluster(config, seed)
    fleet.run(45)
    return fleet


def simulate_spared_zone(seed: int) -> GossipCluster:
    """Simulate a zone that fails for members of other zones only, so that its own members are spared."""
    faults = (make_outage("b", 8, 10, caller_zone="a"), make_outage("b", 8, 10, caller_zone="c"))
    fleet = GossipCluster(ClusterConfig(member_count=9, calls_per_second=7.0, faults=faults), seed)
    fleet.run(35)
    return fleet


SIMULATIONS = {
    "outages_1": (simulate_outages, 1),
    "outages_2": (simulate_outages, 2),
    "path_and_two_zones": (simulate_path_and_two_zones, 3),
    "regions_in_part": (simulate_partial_region_ejection, 4),
    "spared": (simulate_spared_zone, 5),
}
LINES_PER_DIGEST = 500


def summarize(fleet: GossipCluster, recorder: Recorder) -> str:
    """Return a digest of each block of lines, which locates a first difference, and the final states."""
    rows = []
    for start in range(0, len(recorder.lines), LINES_PER_DIGEST):
        block = recorder.lines[start : start + LINES_PER_DIGEST]
        rows.append(f"{block[0].split()[0]} {hashlib.sha256(chr(10).join(block).encode()).hexdigest()}")
    rows.append(f"lines {len(recorder.lines)} notes {sorted(recorder.logged_numbers)}")
    for name, member in sorted(fleet.members.items()):
        statuses = [
            member.zone_coordinator.get_status(fleet.now_us, path).value
            for path in member.zone_coordinator.paths
        ]
        rows.append(
            f"{name} {member.zone_coordinator.compute_digest():016x}"
            f" {member.zone_coordinator.dropped_count} {statuses}"
        )
    return "\n".join(rows) + "\n"


@pytest.mark.parametrize("name", list(SIMULATIONS))
def test_simulation_leads_to_the_same_actions(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch)
    simulate, seed = SIMULATIONS[name]
    summary = summarize(simulate(seed), recorder)
    assert summary == (GOLDEN / f"{name}.trace").read_text(encoding="ascii")
