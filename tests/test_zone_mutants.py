"""Tests that removing a guard of zone ejection fails a test, and that invariants hold under random faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from honeybarrow.events import AttemptStatus, Endpoint
from honeybarrow.fleet import endpoint_filter, zone_recovery
from honeybarrow.fleet.agent import FleetAgent
from honeybarrow.fleet.call_evidence import OUTCOME_CLASSES, CallEvidence, OutcomeClass
from honeybarrow.fleet.endpoint_filter import EndpointFilter
from honeybarrow.fleet.evidence_pool import EvidencePool, ReceivedReport
from honeybarrow.fleet.zone_aggregator import EvidenceAggregator
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.fleet.zone_coordinator import ZoneCoordinator
from honeybarrow.fleet.zone_messages import EvidenceReport, VerdictSync, ZoneVerdict
from honeybarrow.fleet.zone_quorum import FleetQuorum
from honeybarrow.fleet.zone_recovery import ZoneProber
from honeybarrow.fleet.zone_verdict import VerdictDecider
from honeybarrow.fleet.zone_verdict_table import VerdictTable
from honeybarrow.fleet.zone_view import ZoneUsage
from honeybarrow.lab.gossip_cluster import SECOND_US, ClusterConfig, GossipCluster, ZoneFault
from tests import test_endpoint_filter, test_fleet, test_zones

Patch = Callable[[pytest.MonkeyPatch], None]


def replace_attribute(owner: Any, name: str, value: Any) -> Patch:
    return lambda patch: patch.setattr(owner, name, value)


def replace_config_value(name: str, value: Any) -> Patch:
    """Return a patch that sets one value in every new :class:`ZoneConfig`."""

    def apply(patch: pytest.MonkeyPatch) -> None:
        original_init = ZoneConfig.__init__

        def init(self: ZoneConfig, *args: Any, **kwargs: Any) -> None:
            original_init(self, *args, **{**kwargs, name: value})

        patch.setattr(ZoneConfig, "__init__", init)

    return apply


def classify_as(status: AttemptStatus, outcome: OutcomeClass) -> Patch:
    return lambda patch: patch.setitem(OUTCOME_CLASSES, status, outcome)


def accept_older_verdicts(patch: pytest.MonkeyPatch) -> None:
    """Let each received verdict replace the current one."""

    def merge(self: ZoneCoordinator, now: int, sender: str, sync: VerdictSync) -> None:
        for aged in sync.verdicts:
            self._apply_verdict(now, aged.verdict, aged.age_us)

    patch.setattr(ZoneCoordinator, "_merge", merge)


def accept_reports_of_any_incarnation(patch: pytest.MonkeyPatch) -> None:
    """Accept reports regardless of their incarnation and sequence."""

    def receive(self: EvidenceAggregator, now: int, sender: str, report: EvidenceReport) -> None:
        self._reports.setdefault(report.path, {})[sender] = ReceivedReport(now, report)

    patch.setattr(EvidenceAggregator, "receive_report", receive)


def list_only_itself(self: FleetQuorum, source_zone: str) -> list[str]:
    return [self.own_name]


def remove_ejection_limit(patch: pytest.MonkeyPatch) -> None:
    replace_config_value("max_ejected_zones", 99)(patch)


def filter_without_alternative(
    self: EndpointFilter, number: int, get_usage: endpoint_filter.ZoneUsageLookup
) -> list[Endpoint]:
    """Drain the endpoints of each avoided zone, even if no other endpoint remains."""
    endpoints = [self.listed_endpoints[target] for target in self._targets_by_destination.get(number, ())]
    return [
        Endpoint(
            endpoint.target,
            endpoint.destination,
            endpoint_filter.DRAINING
            if get_usage(endpoint.zone, number) is ZoneUsage.AVOIDED
            else endpoint.state,
        )
        for endpoint in endpoints
    ]


def ignore_register_state(
    self: EndpointFilter, number: int, get_usage: endpoint_filter.ZoneUsageLookup
) -> list[Endpoint]:
    """Mark endpoints of used zones as ready, whatever their state in the register."""
    endpoints = [self.listed_endpoints[target] for target in self._targets_by_destination.get(number, ())]
    return [
        Endpoint(
            endpoint.target,
            endpoint.destination,
            endpoint_filter.READY
            if get_usage(endpoint.zone, number) is ZoneUsage.USED
            else endpoint_filter.DRAINING,
        )
        for endpoint in endpoints
    ]


def call_with(test: Callable[..., None], *arguments: Any) -> Callable[[], None]:
    return lambda: test(*arguments)


MUTANTS: dict[str, tuple[Patch, Callable[[], None]]] = {
    "no majority needed": (
        replace_attribute(FleetQuorum, "list_voters", list_only_itself),
        test_zones.test_minority_makes_no_verdict_and_catches_up_after_the_partition,
    ),
    "reports of members whose calls all fail are accepted": (
        replace_attribute(CallEvidence, "is_credible", lambda self, now: True),
        test_zones.test_member_whose_calls_to_all_zones_fail_reports_nothing,
    ),
    "other zones need not succeed": (
        replace_attribute(EvidencePool, "have_other_zones_succeeded", lambda self, since_bucket: True),
        test_zones.test_zone_fails_only_if_calls_to_other_zones_succeeded_during_the_failure,
    ),
    "failures before a recovery count": (
        replace_attribute(EvidencePool, "has_recovered", lambda self: False),
        call_with(
            test_zones.test_failure_assessment,
            [[(8, 1, 0, 9, 0), (1, 1, 2, 0, 0)], [(8, 2, 0, 9, 0)]],
            2,
            False,
        ),
    ),
    "no limit on ejected zones": (
        remove_ejection_limit,
        test_zones.test_at_most_half_of_the_zones_are_ejected_at_once,
    ),
    "members return all at once": (
        replace_attribute(zone_recovery, "compute_return_delay_us", lambda rank, config: 0),
        test_zones.test_members_return_within_the_capacity_of_a_warming_zone,
    ),
    "an older verdict replaces a later one": (
        accept_older_verdicts,
        test_zones.test_older_verdict_is_rejected_and_its_sender_notified,
    ),
    "reports of an earlier incarnation accepted": (
        accept_reports_of_any_incarnation,
        test_zones.test_report_of_an_older_incarnation_is_dropped,
    ),
    "a refusal for lack of capacity is a failure": (
        classify_as(AttemptStatus.FULL, OutcomeClass.FAILURE),
        call_with(
            test_zones.test_faults_smaller_than_a_zone_eject_nothing,
            test_zones.make_fault(status=AttemptStatus.FULL, call_duration_us=20_000),
        ),
    ),
    "unbounded probe calls": (
        replace_attribute(ZoneProber, "can_send_call", lambda self, now, recovery: True),
        test_zones.test_only_a_few_members_probe_an_ejected_zone,
    ),
    "all members probe": (
        replace_config_value("prober_count", 99),
        test_zones.test_only_a_few_members_probe_an_ejected_zone,
    ),
    "probe delays do not grow": (
        replace_config_value("probe_backoff_factor", 1.0),
        test_zones.test_probe_delays_grow_to_a_maximum_and_are_equal_at_all_members,
    ),
    "remaining capacity ignored": (
        replace_attribute(VerdictDecider, "_compute_partial_ejections", lambda self, path, answers: ()),
        test_zones.test_zone_is_partially_ejected_if_other_zones_lack_capacity,
    ),
    "an aggregator with an outdated verdict decides": (
        replace_attribute(VerdictDecider, "_is_verdict_outdated", lambda self, path, answers: False),
        test_zones.test_aggregator_with_an_outdated_verdict_requests_the_later_one_and_makes_none,
    ),
    "a destination without an endpoint": (
        replace_attribute(EndpointFilter, "_filter_destination", filter_without_alternative),
        test_endpoint_filter.test_no_destination_remains_without_an_endpoint,
    ),
    "draining state of the register ignored": (
        replace_attribute(EndpointFilter, "_filter_destination", ignore_register_state),
        test_endpoint_filter.test_the_registers_own_drain_takes_precedence,
    ),
    "messages of an earlier incarnation accepted": (
        replace_attribute(FleetAgent, "find_member", lambda self, name: None),
        test_fleet.test_invalid_datagrams_are_counted_and_dropped,
    ),
    "zones of a region keep superseded verdicts": (
        replace_attribute(VerdictTable, "is_superseded", lambda self, recovery: False),
        test_zones.test_later_verdict_on_a_region_supersedes_those_on_its_zones,
    ),
}


@pytest.mark.parametrize("name", list(MUTANTS))
def test_removed_guard_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, test = MUTANTS[name]
    patch(monkeypatch)
    with pytest.raises((AssertionError, KeyError, ValueError, IndexError)):
        test()


# --- invariants under random faults

ZONES = ("a", "b", "c")
fault_events = st.one_of(
    st.tuples(st.just("fault"), st.sampled_from(ZONES), st.integers(2, 12)),
    st.tuples(st.just("path"), st.sampled_from(ZONES), st.integers(2, 12)),
    st.tuples(st.just("kill"), st.integers(0, 7), st.integers(1, 6)),
    st.tuples(st.just("stall"), st.integers(0, 7), st.integers(1, 8)),
    st.tuples(st.just("partition"), st.integers(1, 6), st.integers(1, 8)),
    st.tuples(st.just("override"), st.sampled_from(ZONES), st.integers(1, 8)),
)


@settings(max_examples=12, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(fault_events, st.integers(1, 6)), min_size=2, max_size=6))
def test_members_converge_and_use_what_serves_after_any_faults(
    events: list[tuple[tuple[str, Any, int], int]],
) -> None:
    fleet = GossipCluster(ClusterConfig(member_count=8, datagram_loss=0.05, calls_per_second=8.0), 1)
    fleet.run(5)
    faults: list[ZoneFault] = []
    last_end_us = fleet.now_us
    for (kind, subject, seconds), pause_s in events:
        duration_us = seconds * SECOND_US
        last_end_us = max(last_end_us, fleet.now_us + duration_us)
        if kind in ("fault", "path"):
            faults.append(
                ZoneFault(subject, fleet.now_us, duration_us, caller_zone="a" if kind == "path" else "")
            )
            fleet.config = ClusterConfig(
                member_count=8, datagram_loss=0.05, calls_per_second=8.0, faults=tuple(faults)
            )
        elif kind == "kill" and f"m{subject}" in fleet.members:
            name = f"m{subject}"
            fleet.kill_member(name)
            fleet.schedule(duration_us, lambda name=name: fleet.start_member(name))  # type: ignore[misc]
        elif kind == "stall" and f"m{subject}" in fleet.members:
            fleet.pause_member(f"m{subject}", duration_us)
        elif kind == "partition":
            fleet.partition(fleet.names[:subject])
            fleet.schedule(duration_us, fleet.heal_partitions)
        elif kind == "override" and (member := next(iter(fleet.members.values()), None)) is not None:
            member.zone_coordinator.set_override(fleet.now_us, subject, True, duration_us)
        fleet.run(pause_s)
        for each in fleet.members.values():
            avoided = [
                z for z in ZONES if each.zone_coordinator.get_usage(fleet.now_us, z, 0) is ZoneUsage.AVOIDED
            ]
            overridden = [z for z in ZONES if each.zone_coordinator.get_override(fleet.now_us, z)]
            assert len([z for z in avoided if z not in overridden]) <= 1, (
                "at most one of three zones is ejected"
            )
    fleet.run(max(0, last_end_us - fleet.now_us) / SECOND_US + 150)
    verdicts: dict[Any, ZoneVerdict] = {}
    for each in fleet.members.values():
        for recovery in each.zone_coordinator.recoveries.values():
            verdict = recovery.verdict
            known = verdicts.setdefault((verdict.path, verdict.source_zone, verdict.precedence), verdict)
            assert known == verdict, "verdicts of equal precedence are equal"
    assert len({each.zone_coordinator.compute_digest() for each in fleet.members.values()}) == 1
    assert [fleet.members_avoiding(zone) for zone in ZONES] == [[], [], []], f"{events}"
