"""Tests of zone ejection: simulated fleets with faults, one coordinator, and the evidence of calls."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow.events import AttemptStatus, Endpoint, EndpointState
from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet.call_evidence import CallEvidence
from honeybarrow.fleet.evidence_pool import EvidencePool, ReceivedReport, assess_failure
from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.rendezvous import hash_fraction, select_by_rendezvous
from honeybarrow.fleet.zone_aggregator import EvidenceRound
from honeybarrow.fleet.zone_config import EvidenceConfig, ZoneConfig
from honeybarrow.fleet.zone_coordinator import ZoneCoordinator
from honeybarrow.fleet.zone_messages import (
    AgedVerdict,
    BucketResults,
    EvidenceCell,
    EvidenceReport,
    EvidenceRequest,
    OperatorOverride,
    SendMessage,
    StateDigest,
    TimedOverride,
    VerdictSync,
    ZoneLogEvent,
    ZoneVerdict,
)
from honeybarrow.fleet.zone_paths import expand_path, is_within
from honeybarrow.fleet.zone_recovery import ZoneRecovery, compute_return_delay_us
from honeybarrow.fleet.zone_view import ZoneStatus, ZoneUsage
from honeybarrow.lab.gossip_cluster import SECOND_US, ClusterConfig, GossipCluster, ZoneFault

FAULT_START_US = 15 * SECOND_US
SEEDS = (1, 2, 3)


def make_fault(zone: str = "b", duration_s: float = 15.0, **options: Any) -> ZoneFault:
    return ZoneFault(zone, FAULT_START_US, int(duration_s * SECOND_US), **options)


def run_cluster(config: ClusterConfig, seed: int = 1, seconds: float = 60.0, **options: Any) -> GossipCluster:
    fleet = GossipCluster(config, seed, **options)
    fleet.run(seconds - 1)
    return fleet


def list_epochs(fleet: GossipCluster, path: str) -> list[int]:
    """Return the epochs of the verdicts on a path, in order."""
    verdict_events = [
        each for each in fleet.record.log_events if each[2].path == path and "epoch" in dict(each[2].fields)
    ]
    return [
        int(epoch) for epoch in dict.fromkeys(dict(event.fields)["epoch"] for _, _, event in verdict_events)
    ]


def list_ejected_paths(fleet: GossipCluster) -> list[str]:
    return sorted({event.path for _, _, event in fleet.log_events_named("zone_ejected")})


# --- simulated fleets


@pytest.mark.parametrize(
    ("status", "call_duration_us"),
    [
        (AttemptStatus.TIMEOUT, 1_300_000),
        (AttemptStatus.CONNECT_FAILED, 2_000),
        (AttemptStatus.ERROR, 50_000),
        (AttemptStatus.RESET, 400_000),
    ],
)
def test_failing_zone_is_ejected_by_all_members_and_used_again(
    status: AttemptStatus, call_duration_us: int
) -> None:
    for seed in SEEDS:
        fleet = run_cluster(
            ClusterConfig(faults=(make_fault(status=status, call_duration_us=call_duration_us),)), seed
        )
        assert list_ejected_paths(fleet) == ["b"]
        ejected_us = [logged_us for logged_us, _, _ in fleet.log_events_named("zone_ejected")]
        first_failure_us = (
            min(call.sent_us for call in fleet.calls_to("b") if call.has_failed) + call_duration_us
        )
        assert len(ejected_us) == 9, "each member logs the ejection once"
        assert max(ejected_us) - first_failure_us < (
            SECOND_US if status is AttemptStatus.TIMEOUT else 2 * SECOND_US
        )
        assert max(ejected_us) - min(ejected_us) < SECOND_US // 2
        assert list_epochs(fleet, "b") == [1, 2]
        assert set(fleet.zone_statuses("b").values()) == {ZoneStatus.IN_USE}
        assert not fleet.members_avoiding("b")


def test_only_a_few_members_probe_an_ejected_zone() -> None:
    fleet = run_cluster(ClusterConfig(member_count=30, faults=(make_fault(duration_s=40.0),)), 2, 50.0)
    last_ejected_us = max(logged_us for logged_us, _, _ in fleet.log_events_named("zone_ejected"))
    probes = fleet.calls_to("b", last_ejected_us + SECOND_US // 10)
    probers = {call.member for call in probes}
    assert 2 <= len(probers) <= 12
    for name in probers:
        sent_us = [call.sent_us for call in probes if call.member == name]
        assert all(later - earlier > SECOND_US for earlier, later in pairwise(sent_us)), (
            "a failed call ends a probe"
        )
    assert len(probes) < 0.08 * len(fleet.calls_to("b", 5 * SECOND_US, FAULT_START_US)) * (50 - 17) / 10


def test_members_return_within_the_capacity_of_a_warming_zone() -> None:
    config = ZoneConfig()
    fleet = GossipCluster(ClusterConfig(member_count=60, faults=(make_fault(duration_s=10.0),)), 4)
    while not fleet.log_events_named("zone_recovering"):
        fleet.run(0.5)
    recovery_start_us = min(logged_us for logged_us, _, _ in fleet.log_events_named("zone_recovering"))
    returned_shares: list[float] = []
    while fleet.now_us < recovery_start_us + 1.3 * config.warm_up_us:
        fleet.run(0.25)
        returned_share = 1 - len(fleet.members_avoiding("b")) / 60
        warm_up_fraction = (fleet.now_us - recovery_start_us) / config.warm_up_us
        capacity = config.start_capacity + (1 - config.start_capacity) * warm_up_fraction
        if warm_up_fraction < 1.0:
            assert returned_share <= capacity, (
                f"share {returned_share:.2f} of the members returned at capacity {capacity:.2f}"
            )
        returned_shares.append(returned_share)
    assert returned_shares[0] < 0.4
    assert returned_shares == sorted(returned_shares), "no member leaves again"
    assert returned_shares[-1] == 1.0


@pytest.mark.parametrize(
    "fault",
    [
        make_fault(partners=(0,)),  # one partner of the zone
        make_fault(probability=0.4),  # some of its endpoints
        # a refusal for lack of capacity is an answer
        make_fault(status=AttemptStatus.FULL, call_duration_us=20_000),
        make_fault(status=AttemptStatus.CANCELLED, call_duration_us=50_000),  # cancelled by clients
    ],
)
def test_faults_smaller_than_a_zone_eject_nothing(fault: ZoneFault) -> None:
    for seed in SEEDS:
        fleet = run_cluster(ClusterConfig(faults=(fault,)), seed, 35.0)
        assert list_ejected_paths(fleet) == []


def test_random_call_failures_eject_no_zone() -> None:
    for seed in range(6):
        fleet = run_cluster(
            ClusterConfig(member_count=12, calls_per_second=3.0, call_loss=0.05, datagram_loss=0.05),
            seed,
            30.0,
        )
        assert list_ejected_paths(fleet) == []


def test_failing_network_path_ejects_a_zone_for_its_source_zone_only() -> None:
    fleet = GossipCluster(ClusterConfig(member_count=12, faults=(make_fault(caller_zone="a"),)), 1)
    fleet.run(20)
    assert {fleet.zone_of[name] for name in fleet.members_avoiding("b")} == {"a"}
    assert len(fleet.log_events_named("zone_ejected")) == 12, "all members know the verdict"
    assert len(fleet.members_avoiding("b")) >= 2, "all affected members except the current probers"
    fleet.run(40)
    assert fleet.members_avoiding("b") == []
    assert {dict(event.fields)["source_zone"] for _, _, event in fleet.log_events_named("zone_ejected")} == {
        "a"
    }


def test_one_member_whose_calls_all_fail_ejects_nothing() -> None:
    for has_own_zone in (True, False):
        fleet = GossipCluster(ClusterConfig(member_count=10, zones=("a", "b", "c")), 5)
        fleet.zone_of["m4"] = "alone" if has_own_zone else "a"
        fleet.kill_member("m4")
        fleet.start_member("m4")
        fleet.config = ClusterConfig(
            member_count=10,
            faults=tuple(
                ZoneFault(z, FAULT_START_US, 15 * SECOND_US, caller_zone="alone") for z in ("a", "b", "c")
            ),
        )
        fleet.run(35)
        assert list_ejected_paths(fleet) == []


def test_partitioned_zone_is_ejected_by_the_others_and_ejects_none() -> None:
    faults = (
        make_fault(caller_zone="a"),
        make_fault(caller_zone="c"),
        ZoneFault("a", FAULT_START_US, 15 * SECOND_US, caller_zone="b"),
        ZoneFault("c", FAULT_START_US, 15 * SECOND_US, caller_zone="b"),
    )
    fleet = GossipCluster(ClusterConfig(faults=faults), 3)
    fleet.run(14)
    inside = [name for name, zone in fleet.zone_of.items() if zone == "b"]
    fleet.partition(inside)
    fleet.run(8)
    assert sorted(fleet.members_avoiding("b")) == sorted(set(fleet.names) - set(inside))
    assert fleet.members_avoiding("a") == fleet.members_avoiding("c") == []
    fleet.run(8)
    fleet.heal_partitions()
    fleet.run(60)
    assert not fleet.members_avoiding("a") + fleet.members_avoiding("b") + fleet.members_avoiding("c")


def test_minority_makes_no_verdict_and_catches_up_after_the_partition() -> None:
    fleet = GossipCluster(ClusterConfig(faults=(make_fault(duration_s=25.0),)), 6)
    fleet.run(13)
    minority = fleet.names[:4]
    fleet.partition(minority)
    fleet.run(8)
    assert sorted(fleet.members_avoiding("b")) == sorted(set(fleet.names) - set(minority))
    fleet.heal_partitions()
    fleet.run(8)
    assert len(fleet.members_avoiding("b")) == 9
    assert list_epochs(fleet, "b") == [1]
    fleet.run(50)
    assert fleet.members_avoiding("b") == []


def test_a_minority_of_two_keeps_the_last_verdict() -> None:
    fleet = GossipCluster(ClusterConfig(faults=(make_fault(duration_s=12.0),)), 7)
    fleet.run(19)
    fleet.partition(fleet.names[:2])
    fleet.run(30)
    assert [name for name in fleet.members_avoiding("b") if name in fleet.names[:2]] == fleet.names[:2]
    assert not [name for name in fleet.members_avoiding("b") if name not in fleet.names[:2]]
    fleet.heal_partitions()
    fleet.run(30)
    assert fleet.members_avoiding("b") == []


def test_zone_is_ejected_if_the_deciding_aggregator_dies_during_its_round() -> None:
    for seed in SEEDS:
        fleet = GossipCluster(ClusterConfig(faults=(make_fault(duration_s=25.0),)), seed)
        while not fleet.log_events_named("zone_evidence_requested"):
            fleet.run(0.01)
        decider = fleet.log_events_named("zone_evidence_requested")[0][1]
        fleet.kill_member(decider)
        fleet.run(6)
        assert len(fleet.members_avoiding("b")) == 8


def test_members_that_restart_during_an_ejection_avoid_the_zone() -> None:
    fleet = GossipCluster(ClusterConfig(member_count=20, faults=(make_fault(duration_s=40.0),)), 8)
    fleet.run(20)
    restart_us = fleet.now_us
    restarted = fleet.names[:14]
    for name in restarted:
        fleet.kill_member(name)
    for name in restarted:
        fleet.start_member(name)
    fleet.run(4)
    assert len(fleet.members_avoiding("b")) >= 16, "all members except the current probers"
    calls = [call for call in fleet.calls_to("b", restart_us) if call.member in restarted]
    assert len(calls) <= 10
    fleet.run(60)
    assert fleet.members_avoiding("b") == []


def test_flapping_zone_is_probed_at_growing_delays_and_used_in_the_end() -> None:
    faults = tuple(ZoneFault("b", FAULT_START_US + i * 30 * SECOND_US, 28 * SECOND_US) for i in range(5))
    fleet = run_cluster(ClusterConfig(faults=faults), 9, 330.0)
    assert fleet.members_avoiding("b") == []
    relapses = [dict(event.fields)["relapses"] for _, _, event in fleet.log_events_named("zone_ejected")]
    assert relapses == sorted(relapses)
    assert len(list_epochs(fleet, "b")) <= 10


def test_relapse_ejects_the_zone_for_all_members() -> None:
    faults = (make_fault(duration_s=6.0), ZoneFault("b", 30 * SECOND_US, 20 * SECOND_US))
    fleet = GossipCluster(ClusterConfig(member_count=20, faults=faults), 2)
    while not fleet.log_events_named("zone_recovering"):
        fleet.run(0.2)
    assert fleet.now_us < 30 * SECOND_US
    while 3 not in list_epochs(fleet, "b"):
        fleet.run(0.2)
    fleet.run(0.5)
    assert len(fleet.members_avoiding("b")) == 20
    assert all(
        dict(event.fields)["relapses"] == (dict(event.fields)["epoch"] == 3)
        for _, _, event in fleet.log_events_named("zone_ejected")
    )


def test_two_zones_that_fail_in_turn_are_ejected_and_restored() -> None:
    faults = (make_fault(duration_s=10.0), ZoneFault("c", 60 * SECOND_US, 10 * SECOND_US))
    fleet = run_cluster(ClusterConfig(faults=faults), 1, 110.0)
    assert list_ejected_paths(fleet) == ["b", "c"]
    assert fleet.members_avoiding("b") + fleet.members_avoiding("c") == []


def test_at_most_half_of_the_zones_are_ejected_at_once() -> None:
    fleet = GossipCluster(
        ClusterConfig(faults=(make_fault(duration_s=20.0), make_fault("c", duration_s=20.0))), 3
    )
    max_ejected = 0
    for _ in range(30):
        fleet.run(1)
        max_ejected = max(max_ejected, sum(bool(len(fleet.members_avoiding(zone)) > 4) for zone in "abc"))
    assert max_ejected == 1
    assert fleet.log_events_named("zone_ejection_skipped")
    fleet.run(60)
    assert fleet.members_avoiding("b") + fleet.members_avoiding("c") == []


def test_no_zone_is_ejected_if_all_fail() -> None:
    faults = tuple(make_fault(zone, duration_s=15.0) for zone in "abc")
    for seed in SEEDS:
        assert list_ejected_paths(run_cluster(ClusterConfig(faults=faults), seed, 40.0)) == []


def test_zone_is_partially_ejected_if_other_zones_lack_capacity() -> None:
    # 12 members send 10 calls per second to 2 partners: 60 per partner, of which two of three zones bear 54.
    config = ClusterConfig(
        member_count=12,
        partner_count=2,
        calls_per_second=10.0,
        endpoint_weight=90.0,
        faults=(make_fault(duration_s=20.0),),
    )
    fleet = GossipCluster(config, 4)
    fleet.run(20)
    remaining = [name for name in fleet.names if name not in fleet.members_avoiding("b")]
    assert 0 < len(remaining) < 9
    assert all(
        dict(event.fields)["partial_ejections"] for _, _, event in fleet.log_events_named("zone_ejected")
    )


def test_region_is_ejected_as_a_whole_only_if_all_its_zones_fail() -> None:
    config = ClusterConfig(
        zones=("r1/a", "r1/b", "r2/c", "r2/d"),
        member_count=16,
        calls_per_second=8.0,
        faults=(make_fault("r1", duration_s=12.0),),
    )
    fleet = GossipCluster(config, 2)
    fleet.run(20)
    assert len(fleet.members_avoiding("r1/a")) >= 14
    assert len(fleet.members_avoiding("r1/b")) >= 14
    fleet.run(60)
    assert fleet.members_avoiding("r1/a") + fleet.members_avoiding("r1/b") == []
    one_zone_config = ClusterConfig(
        zones=config.zones,
        member_count=16,
        calls_per_second=8.0,
        faults=(make_fault("r1/a", duration_s=12.0),),
    )
    assert list_ejected_paths(run_cluster(one_zone_config, 2)) == ["r1/a"]


def test_packet_loss_does_not_change_verdicts() -> None:
    for seed in SEEDS:
        fleet = run_cluster(ClusterConfig(datagram_loss=0.2, faults=(make_fault(),)), seed, 75.0)
        assert list_ejected_paths(fleet) == ["b"]
        assert fleet.members_avoiding("b") == []
        assert all(list_epochs(fleet, "b")[i] == i + 1 for i in range(len(list_epochs(fleet, "b"))))


def test_paused_member_starts_no_round_from_stale_evidence() -> None:
    fleet = GossipCluster(ClusterConfig(faults=(make_fault(duration_s=10.0),)), 3)
    fleet.run(16)
    paused_name = fleet.names[5]
    fleet.pause_member(paused_name, 30 * SECOND_US)
    fleet.run(29)
    events_before = fleet.log_events_named("zone_evidence_requested")
    fleet.run(8)
    assert not [
        each
        for each in fleet.log_events_named("zone_evidence_requested")[len(events_before) :]
        if each[1] == paused_name
    ]
    fleet.run(20)
    assert len(set(member.zone_coordinator.compute_digest() for member in fleet.members.values())) == 1
    assert fleet.members_avoiding("b") == []


def test_isolated_new_member_makes_no_verdict() -> None:
    fleet = GossipCluster(ClusterConfig(member_count=5, faults=(make_fault(duration_s=40.0),)), 1)
    fleet.partition(fleet.names[:1])
    for name in fleet.names[1:]:
        fleet.kill_member(name)
    fleet.run(30)
    assert fleet.members_avoiding("b") == []


# --- one coordinator


def make_coordinator(name: str = "m1", zone: str = "a", peers: int = 4) -> ZoneCoordinator:
    peer_names = [f"m{n}" for n in range(1, peers + 2) if f"m{n}" != name]
    membership = Membership(name, zone, "", 1, peer_names, random.Random(1))
    updates = [
        swim.MemberUpdate(peer, swim.MemberState.ALIVE, 1, 0, "abc"[i % 3])
        for i, peer in enumerate(peer_names)
    ]
    membership.merge_member_list(0, updates)
    zones = ZoneCoordinator(membership, CallEvidence(), random.Random(1))
    zones.update_endpoints(make_endpoints())
    zones.start(0)
    return zones


def make_endpoints(partners: int = 3) -> list[Endpoint]:
    ready = EndpointState.READY
    return [Endpoint(f"{p}{z}", p, ready, "", z, 100.0) for p in range(partners) for z in "abc"]


def make_verdict(epoch: int = 1, decided_by: str = "m2", path: str = "b", **options: Any) -> ZoneVerdict:
    return ZoneVerdict(path, options.pop("source_zone", ""), epoch, decided_by, 1, **options)


def make_sync(verdict: ZoneVerdict, age_us: int = 0) -> VerdictSync:
    return VerdictSync((AgedVerdict(verdict, age_us),))


def test_older_verdict_is_rejected_and_its_sender_notified() -> None:
    zones = make_coordinator()
    zones.merge_sync(SECOND_US, make_sync(make_verdict(3)))
    actions = zones.handle_message(SECOND_US, "m3", make_sync(make_verdict(2)))
    assert zones.recoveries["b", ""].verdict.epoch == 3
    assert [a for a in actions if isinstance(a, SendMessage)] == [
        SendMessage("m3", zones.create_sync(SECOND_US))
    ]
    assert zones.handle_message(SECOND_US, "m3", make_sync(make_verdict(3))) == []


def test_report_of_an_older_incarnation_is_dropped() -> None:
    zones = make_coordinator()
    for incarnation, sequence, dropped in ((2, 1, 0), (1, 9, 1), (2, 1, 2), (2, 2, 2)):
        zones.wake(zones.due_us)
        zones.handle_message(zones.due_us, "m2", EvidenceReport("b", incarnation, sequence))
        assert zones.dropped_count == dropped
    zones.handle_message(zones.due_us, "stranger", EvidenceReport("b", 1, 1))
    zones.handle_message(zones.due_us, "m2", EvidenceReport("nowhere", 2, 3))
    assert zones.dropped_count == 4


def test_reporter_with_an_older_verdict_is_sent_the_later_one() -> None:
    zones = make_coordinator()
    zones.merge_sync(SECOND_US, make_sync(make_verdict(1)))
    zones.wake(zones.due_us)
    assert zones.handle_message(SECOND_US, "m2", EvidenceReport("b", 1, 1, verdict_epoch=0)) == [
        SendMessage("m2", zones.create_sync(SECOND_US))
    ]
    assert zones.handle_message(SECOND_US, "m2", EvidenceReport("b", 1, 2, verdict_epoch=1)) == []
    assert zones.handle_message(SECOND_US, "m2", StateDigest(zones.compute_digest())) == []
    sync = SendMessage("m2", zones.create_sync(SECOND_US))
    assert zones.handle_message(SECOND_US, "m2", StateDigest(1)) == [
        sync,
        SendMessage("m2", StateDigest(zones.compute_digest(), True)),
    ]
    assert zones.handle_message(SECOND_US, "m2", StateDigest(1, True)) == [sync], (
        "a reply is not answered with another digest"
    )


def test_aggregator_with_an_outdated_verdict_requests_the_later_one_and_makes_none() -> None:
    zones = make_coordinator()
    zones.wake(zones.due_us)
    assert zones.handle_message(SECOND_US, "m2", EvidenceReport("b", 1, 1, verdict_epoch=1)) == [
        SendMessage("m2", StateDigest(zones.compute_digest(), True))
    ]
    other_zones = (BucketResults(0, 0), BucketResults(9, 0))
    answers = {
        f"m{n}": ReceivedReport(
            SECOND_US, EvidenceReport("b", 1, 5, make_failing_cells(), (), other_zones, 1, n == 3)
        )
        for n in range(1, 6)
    }
    assert zones.decider.decide(SECOND_US, "b", answers) is None
    answers["m3"] = ReceivedReport(
        SECOND_US, EvidenceReport("b", 1, 6, make_failing_cells(), (), other_zones, 1)
    )
    assert zones.decider.decide(SECOND_US, "b", answers) is not None
    zones.aggregator.rounds["b"] = EvidenceRound(1, SECOND_US, answers)
    zones.wake(SECOND_US)
    assert zones.recoveries["b", ""].verdict.votes == 5


def make_failing_cells() -> tuple[EvidenceCell, ...]:
    return tuple(EvidenceCell(2, "b", destination, 0, 2) for destination in range(3))


def test_evidence_request_is_answered_with_a_report() -> None:
    zones = make_coordinator()
    zones.evidence.record_call_started(SECOND_US, ("x", 0), "b", 1)
    zones.evidence.record_call_ended(SECOND_US + 1, ("x", 0), AttemptStatus.OK)
    (action,) = zones.handle_message(SECOND_US + 2, "m2", EvidenceRequest("b", 7))
    assert isinstance(action, SendMessage) and isinstance(action.message, EvidenceReport)
    assert (action.recipient, action.message.request_id, action.message.cells) == (
        "m2",
        7,
        (EvidenceCell(0, "b", 1, 1, 0),),
    )


def test_override_takes_precedence_until_it_expires() -> None:
    zones = make_coordinator()
    zones.merge_sync(SECOND_US, make_sync(make_verdict(1)))
    assert zones.get_usage(SECOND_US, "b", 0) is ZoneUsage.AVOIDED
    actions = zones.set_override(SECOND_US, "b", False, 10 * SECOND_US)
    sent = [action.message for action in actions if isinstance(action, SendMessage)]
    assert len(sent) == 4
    assert zones.get_usage(2 * SECOND_US, "b", 0) is ZoneUsage.USED
    assert zones.get_override(2 * SECOND_US, "b") == OperatorOverride("b", False, 1, "m1")
    other = make_coordinator("m2", "b")
    other.handle_message(
        5 * SECOND_US,
        "m1",
        VerdictSync((), (TimedOverride(OperatorOverride("c", True, 1, "m1"), 10 * SECOND_US),)),
    )
    assert other.get_usage(6 * SECOND_US, "c", 0) is ZoneUsage.AVOIDED
    assert other.get_usage(16 * SECOND_US, "c", 0) is ZoneUsage.USED
    zones.set_override(3 * SECOND_US, "b", None, SECOND_US)
    assert zones.get_usage(3 * SECOND_US, "b", 0) is ZoneUsage.AVOIDED
    zones.wake(20 * SECOND_US)
    assert zones.get_override(20 * SECOND_US, "b") is None


@pytest.mark.parametrize(
    ("path", "seconds", "message"), [("x", 60, "no zone"), ("b", 0, "up to"), ("b", 10**6, "up to")]
)
def test_invalid_override_is_rejected(path: str, seconds: int, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        make_coordinator().set_override(SECOND_US, path, True, seconds * SECOND_US)


def test_spared_member_keeps_using_the_zone() -> None:
    zones = make_coordinator()
    zones.merge_sync(SECOND_US, make_sync(make_verdict(1, spared_zones=("a",))))
    assert zones.get_usage(SECOND_US, "b", 0) is ZoneUsage.USED
    zones.merge_sync(SECOND_US, make_sync(make_verdict(1, source_zone="c")))
    assert zones.get_usage(SECOND_US, "b", 0) is ZoneUsage.USED, "the network path from another zone"
    zones.merge_sync(SECOND_US, make_sync(make_verdict(1, source_zone="a")))
    assert zones.get_usage(SECOND_US, "b", 0) is ZoneUsage.AVOIDED


def test_later_verdict_on_a_region_supersedes_those_on_its_zones() -> None:
    zones = make_coordinator("m1", "r2/c")
    ready = EndpointState.READY
    zones.update_endpoints([Endpoint(z, 1, ready, "", z, 100.0) for z in ("r1/a", "r1/b", "r2/c", "r2/d")])
    now = 100 * SECOND_US
    zones.merge_sync(now, make_sync(make_verdict(1, path="r1/a"), age_us=60 * SECOND_US))
    assert zones.get_usage(now, "r1/a", 1) is ZoneUsage.AVOIDED
    zones.merge_sync(now, make_sync(make_verdict(2, path="r1"), age_us=40 * SECOND_US))
    assert zones.get_usage(now, "r1/a", 1) is ZoneUsage.USED
    zones.merge_sync(now, make_sync(make_verdict(3, path="r1/a"), age_us=20 * SECOND_US))
    assert zones.get_usage(now, "r1/a", 1) is not ZoneUsage.USED, (
        "a later verdict on the zone is in force again"
    )


def test_held_verdicts_and_overrides_are_bounded() -> None:
    zones = make_coordinator()
    verdicts = tuple(AgedVerdict(make_verdict(1, path=f"p{n}"), 0) for n in range(1000))
    for first in range(0, 1000, 16):
        zones.handle_message(SECOND_US, "m2", VerdictSync(verdicts[first : first + 16]))
    assert len(zones.recoveries) == zones.config.max_paths
    assert zones.dropped_count == 1000 - zones.config.max_paths
    zones.handle_message(
        SECOND_US,
        "m2",
        VerdictSync(
            (), tuple(TimedOverride(OperatorOverride(f"p{n}", True, 1, "x"), 10**18) for n in range(9))
        ),
    )
    assert zones.state.overrides.entries == {}, "overrides beyond the maximum duration are rejected"


def merge_in_order(order: list[int], verdicts: list[ZoneVerdict]) -> ZoneCoordinator:
    zones = make_coordinator()
    for i in order:
        zones.handle_message(SECOND_US, "m2", make_sync(verdicts[i]))
    return zones


verdict_lists = st.lists(
    st.builds(
        make_verdict,
        st.integers(1, 4),
        st.sampled_from(["m1", "m2", "m3"]),
        path=st.sampled_from(["a", "b"]),
        source_zone=st.sampled_from(["", "c"]),
    ),
    min_size=1,
    max_size=8,
)


@settings(max_examples=60, deadline=None)
@given(verdict_lists, st.randoms(use_true_random=False))
def test_verdicts_converge_in_any_order_and_with_duplicates(
    verdicts: list[ZoneVerdict], rng: random.Random
) -> None:
    order = list(range(len(verdicts)))
    shuffled = order * 2
    rng.shuffle(shuffled)
    one, two = merge_in_order(order, verdicts), merge_in_order(shuffled, verdicts)
    assert one.compute_digest() == two.compute_digest()
    assert {key: each.verdict for key, each in one.recoveries.items()} == {
        key: each.verdict for key, each in two.recoveries.items()
    }
    for recovery in one.recoveries.values():
        competing = [
            verdict
            for verdict in verdicts
            if (verdict.path, verdict.source_zone) == (recovery.verdict.path, recovery.verdict.source_zone)
        ]
        assert recovery.verdict.precedence == max(verdict.precedence for verdict in competing)


# --- schedules and selection


def test_probe_delays_grow_to_a_maximum_and_are_equal_at_all_members() -> None:
    config = ZoneConfig()
    recovery, same = ZoneRecovery(make_verdict(1), 0), ZoneRecovery(make_verdict(1), 0)
    delays_us = []
    recovery.advance_probe(0, config)
    for _ in range(30):
        previous_end_us = recovery.probe_end_us
        recovery.advance_probe(previous_end_us, config)
        delays_us.append(recovery.probe_start_us - previous_end_us)
    same.advance_probe(recovery.probe_start_us, config)
    assert (same.probe_round, same.probe_start_us) == (recovery.probe_round, recovery.probe_start_us), (
        "a member that receives the verdict late computes the same schedule"
    )
    assert delays_us[0] > config.initial_probe_delay_us
    assert max(delays_us) <= config.max_probe_delay_us * 1.2
    assert min(delays_us[15:]) >= config.max_probe_delay_us * 0.8
    assert len({round(delay_us / config.max_probe_delay_us, 6) for delay_us in delays_us[15:]}) > 10, (
        "with jitter"
    )
    relapsed = ZoneRecovery(make_verdict(3, relapses=2), 0)
    relapsed.advance_probe(0, config)
    assert (
        relapsed.probe_start_us > 2 * ZoneRecovery(make_verdict(3), 0).probe_start_us
        or relapsed.probe_start_us > 8 * SECOND_US
    )


@given(st.floats(0, 1), st.floats(0, 1))
def test_lower_rank_returns_first(one: float, other: float) -> None:
    config = ZoneConfig()
    lower, higher = sorted((one, other))
    assert (
        0
        <= compute_return_delay_us(lower, config)
        <= compute_return_delay_us(higher, config)
        <= 1.25 * config.warm_up_us
    )


def test_rendezvous_replaces_only_a_lost_member() -> None:
    names = [f"m{n}" for n in range(20)]
    for purpose in range(50):
        selected = select_by_rendezvous(names, 3, "x", purpose)
        without_first = select_by_rendezvous([n for n in names if n != selected[0]], 3, "x", purpose)
        assert without_first[:2] == selected[1:]
        assert select_by_rendezvous(reversed(names), 3, "x", purpose) == selected
    assert 0.4 < sum(hash_fraction("x", n) for n in range(1000)) / 1000 < 0.6


# --- evidence of calls


def record_calls(
    evidence: CallEvidence,
    sent_us: int,
    zone: str,
    status: AttemptStatus,
    count: int = 1,
    duration_us: int = 1000,
) -> None:
    for n in range(count):
        call_id = (f"{sent_us}/{zone}/{status.value}/{n}", 0)
        evidence.record_call_started(sent_us, call_id, zone, n % 2)
        evidence.record_call_ended(sent_us + duration_us, call_id, status)


def test_calls_count_in_the_bucket_they_were_sent_and_expire() -> None:
    evidence = CallEvidence(EvidenceConfig(bucket_us=100_000, bucket_count=10))
    evidence.record_call_started(SECOND_US, ("slow", 0), "a", 1)
    record_calls(evidence, SECOND_US + 300_000, "a", AttemptStatus.OK)
    evidence.record_call_ended(SECOND_US + 500_000, ("slow", 0), AttemptStatus.TIMEOUT)
    assert evidence.get_cells(SECOND_US + 500_000, "a") == (
        EvidenceCell(2, "a", 0, 1, 0),
        EvidenceCell(5, "a", 1, 0, 1),
    )
    assert evidence.get_cells(SECOND_US + 2_000_000, "a") == ()
    evidence.record_call_started(3 * SECOND_US, ("out", 0), "a", 1)
    assert evidence.get_cells(3 * SECOND_US + 250_000, "a") == (EvidenceCell(2, "a", 1, 0, 0, 1),)
    evidence.clear()
    assert evidence.get_cells(3 * SECOND_US + 250_000, "a") == ()


def test_member_whose_calls_to_all_zones_fail_reports_nothing() -> None:
    evidence = CallEvidence()
    record_calls(evidence, SECOND_US, "a", AttemptStatus.TIMEOUT, 5)
    assert evidence.find_failing_zones(SECOND_US + 2000) == ["a"]
    record_calls(evidence, SECOND_US, "b", AttemptStatus.TIMEOUT, 5)
    assert evidence.find_failing_zones(SECOND_US + 2000) == []
    record_calls(evidence, SECOND_US, "b", AttemptStatus.OK, 1)
    assert evidence.find_failing_zones(SECOND_US + 2000) == ["a", "b"]


def test_late_call_counts_as_failed_before_its_timeout() -> None:
    evidence = CallEvidence()
    record_calls(evidence, SECOND_US, "a", AttemptStatus.OK, 2, duration_us=50_000)
    evidence.record_call_started(2 * SECOND_US, ("slow", 0), "a", 1)
    evidence.record_call_started(2 * SECOND_US, ("new", 0), "b", 1)  # no usual latency there yet
    now = 2 * SECOND_US + 590_000
    assert evidence.find_failing_zones(now) == [] and evidence.get_cells(now, "a")[0].pending == 1
    now += 20_000
    assert evidence.find_failing_zones(now) == ["a"]
    assert (evidence.get_cells(now, "a")[0].failures, evidence.get_cells(now, "b")[0].pending) == (1, 1)
    evidence.record_call_ended(now + 500_000, ("slow", 0), AttemptStatus.OK)
    assert evidence.get_cells(now + 500_000, "a")[0].failures == 1, (
        "an answer after twenty times the usual latency is a failure"
    )
    for n in range(60):
        evidence.record_call_started(5 * SECOND_US, ("slow", n), "a", 1)
        evidence.record_call_ended(6 * SECOND_US, ("slow", n), AttemptStatus.OK)
    assert evidence.get_cells(6 * SECOND_US, "a")[0].successes > 20, "a lasting latency becomes the usual one"


def test_slow_zone_is_ejected() -> None:
    for seed in SEEDS:
        fleet = run_cluster(
            ClusterConfig(faults=(make_fault(status=AttemptStatus.OK, call_duration_us=1_500_000),)),
            seed,
            75.0,
        )
        assert list_ejected_paths(fleet) == ["b"]
        assert fleet.members_avoiding("b") == []


def test_call_evidence_is_bounded() -> None:
    evidence = CallEvidence(EvidenceConfig(max_zone_destination_pairs=5, max_pending_calls=10, max_cells=3))
    for n in range(20):
        evidence.record_call_started(SECOND_US, ("x", n), "a", n)
    assert evidence.dropped_count == 10
    for n in range(20):
        evidence.record_call_ended(SECOND_US, ("x", n), AttemptStatus.OK)
    assert evidence.dropped_count == 15
    assert len(evidence.get_cells(SECOND_US, "a")) == 3


def make_cells(*rows: tuple[int, int, int, int, int]) -> Iterator[EvidenceCell]:
    for age, destination, successes, failures, pending in rows:
        yield EvidenceCell(age, "b", destination, successes, failures, pending)


def make_pool(*cells_by_member: list[tuple[int, int, int, int, int]]) -> EvidencePool:
    pool = EvidencePool(EvidenceConfig())
    for i, rows in enumerate(cells_by_member):
        pool.add_cells(f"m{i}", make_cells(*rows))
    pool.add_other_zones([BucketResults(1, 0)] * 12)
    return pool


@pytest.mark.parametrize(
    ("cells_by_member", "listed_destinations", "is_failing"),
    [
        # rows are age, destination, successes, failures, pending
        # successes first, failures later
        ([[(9, 1, 50, 0, 0), (5, 1, 0, 2, 0)], [(5, 2, 0, 2, 0)]], 2, True),
        ([[(5, 1, 0, 4, 0)], [(5, 2, 0, 1, 0), (2, 2, 9, 0, 0)]], 6, False),  # successes later
        ([[(5, 1, 0, 4, 0)], [(5, 1, 0, 4, 0)]], 6, False),  # one destination
        ([[(5, 1, 0, 4, 0)], [(5, 1, 0, 4, 0)]], 1, True),  # the only listed destination
        ([[(5, 1, 0, 9, 0)], [(5, 2, 0, 9, 0)]], 6, False),  # two of six listed destinations
        # and a single failure of a third
        ([[(5, 1, 0, 9, 0), (5, 3, 0, 1, 0)], [(5, 2, 0, 9, 0)]], 6, False),
        ([[(5, 1, 0, 9, 0), (5, 3, 0, 2, 0)], [(5, 2, 0, 9, 0)]], 6, True),  # half of the listed destinations
        # one, and single failures of two others
        ([[(5, 1, 0, 99, 0), (5, 3, 0, 1, 0)], [(5, 2, 0, 1, 0)]], 6, False),
        ([[(5, 1, 0, 2, 0), (5, 2, 0, 2, 0)]], 2, True),  # one member, the only known reporter
        ([[(5, 1, 0, 2, 0), (5, 2, 0, 2, 0)], []], 6, False),  # one of two reporters
        ([[(5, 1, 0, 1, 0)], [(5, 2, 0, 2, 0)]], 6, False),  # too few failures
        # early failures with as many calls still pending
        ([[(1, 1, 0, 2, 3)], [(1, 2, 0, 2, 3)]], 6, False),
        # pending calls after the last failure
        ([[(8, 1, 0, 2, 0), (1, 1, 0, 0, 9)], [(8, 2, 0, 2, 0)]], 2, True),
        # successes after the last failure
        ([[(8, 1, 0, 9, 0), (1, 1, 2, 0, 0)], [(8, 2, 0, 9, 0)]], 2, False),
        # a few successes, many calls pending
        ([[(8, 1, 0, 9, 0), (1, 1, 2, 0, 9)], [(8, 2, 0, 9, 0)]], 2, True),
    ],
)
def test_failure_assessment(
    cells_by_member: list[list[tuple[int, int, int, int, int]]], listed_destinations: int, is_failing: bool
) -> None:
    assert (
        assess_failure(make_pool(*cells_by_member), listed_destinations, len(cells_by_member)).is_failing
        is is_failing
    )


def test_zone_fails_only_if_calls_to_other_zones_succeeded_during_the_failure() -> None:
    failing = [[(5, 1, 0, 2, 0)], [(5, 2, 0, 2, 0)]]
    assert assess_failure(make_pool(*failing), 2, 2).is_failing
    for other_results, is_failing in (
        ([(0, 0)] * 6 + [(9, 0)], False),  # successes before the failure only
        ([(0, 0)] * 5 + [(1, 0)], False),  # in the bucket in which the failure began
        ([(0, 0)] * 4 + [(1, 0)], True),
        ([(9, 0)], False),  # after the last failure
        ([(0, 0)] * 4 + [(2, 3)], False),
        ([(0, 0)] * 4 + [(3, 2)], True),
    ):
        pool = make_pool(*failing)
        pool.other_zones.clear()
        pool.add_other_zones([BucketResults(*each) for each in other_results])
        assert assess_failure(pool, 2, 2).is_failing is is_failing


def test_network_path_needs_more_failures_than_a_zone() -> None:
    few = [[(5, 1, 0, 2, 0), (5, 3, 0, 2, 0)], [(5, 2, 0, 2, 0)]]
    more = [[(5, 1, 0, 2, 0), (5, 3, 0, 2, 0)], [(5, 2, 0, 2, 0), (5, 4, 0, 2, 0)]]
    assert (
        assess_failure(make_pool(*few), 6, 2).is_failing
        and not assess_failure(make_pool(*few), 6, 2, is_network_path=True).is_failing
    )
    assert assess_failure(make_pool(*more), 6, 2, is_network_path=True).is_failing


def test_zone_paths() -> None:
    assert expand_path("r1/a") == ["r1", "r1/a"]
    assert expand_path("") == []
    assert is_within("r1/a", "r1") and is_within("r1", "r1") and not is_within("r10", "r1")


@pytest.mark.parametrize(
    "options", [{"failure_ratio": 0.4}, {"bucket_count": 0}, {"failing_destination_ratio": 1.5}]
)
def test_invalid_evidence_config_is_rejected(options: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        EvidenceConfig(**options)


@pytest.mark.parametrize(
    "options", [{"recovery_margin": 0.0}, {"probe_backoff_factor": 0.5}, {"aggregator_count": 0}]
)
def test_invalid_zone_config_is_rejected(options: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        ZoneConfig(**options)


def test_verdict_is_logged_with_its_evidence() -> None:
    zones = make_coordinator()
    actions = zones.merge_sync(
        SECOND_US, make_sync(make_verdict(1, successes=1, failures=9, votes=3, voter_count=5))
    )
    (event,) = [action for action in actions if isinstance(action, ZoneLogEvent)]
    fields = dict(event.fields)
    assert (event.event, event.path) == ("zone_ejected", "b")
    assert (fields["successes"], fields["failures"], fields["votes"], fields["known_members"]) == (1, 9, 3, 5)
