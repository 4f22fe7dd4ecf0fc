"""Decision on a zone from the reports of a majority of the known members.

This module does no I/O and reads no clock. Times are microseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec.structs import replace

from honeybarrow.fleet.evidence_pool import (
    NO_FAILURE,
    EvidencePool,
    FailureAssessment,
    ReceivedReport,
    Reports,
    assess_failure,
)
from honeybarrow.fleet.zone_catalog import ZoneCatalog
from honeybarrow.fleet.zone_config import SECOND, EvidenceConfig, ZoneConfig
from honeybarrow.fleet.zone_messages import ActionQueue, PartialEjection, ZoneVerdict
from honeybarrow.fleet.zone_paths import expand_path, is_within
from honeybarrow.fleet.zone_quorum import FleetQuorum
from honeybarrow.fleet.zone_recovery import ZoneProber, ZoneRecovery
from honeybarrow.fleet.zone_verdict_table import VerdictTable

LOG_INTERVAL_US = 10 * SECOND  # between two zone_ejection_skipped events on a path
MAX_RELAPSES = 16


class VerdictDecider:
    """Makes the verdicts that eject and restore zones."""

    def __init__(
        self,
        quorum: FleetQuorum,
        catalog: ZoneCatalog,
        verdicts: VerdictTable,
        prober: ZoneProber,
        actions: ActionQueue,
        config: ZoneConfig,
        evidence_config: EvidenceConfig,
        uses_weights: bool,
    ) -> None:
        self.quorum, self.catalog, self.verdicts, self.prober = quorum, catalog, verdicts, prober
        self.actions, self.config, self.evidence_config = actions, config, evidence_config
        self.uses_weights = uses_weights  # whether listed weights are capacities
        self._next_log_us: dict[str, int] = {}  # next zone_ejection_skipped event, by path

    def should_request_evidence(self, now: int, path: str, reports: Reports) -> bool:
        """Return whether the unsolicited reports justify a request for evidence to all members."""
        if any(self.verdicts.is_ejected(region, "") for region in expand_path(path)[:-1]):
            return False
        if any(self._has_zone_recovered(now, each, reports) for each in self._list_ejected(path)):
            return True
        if self.verdicts.is_ejected(path, ""):
            return False
        return self._assess(now, path, reports).is_failing

    def decide(self, now: int, path: str, answers: Reports) -> ZoneVerdict | None:
        """Return the verdict on a path that follows from the answers, or ``None`` if none does."""
        zones = self.quorum.map_members_to_zones()
        known_answers = {name: received for name, received in answers.items() if name in zones}
        for recovery in self._list_ejected(path):
            if self._has_zone_recovered(now, recovery, known_answers):
                return self._make_verdict(recovery.verdict, known_answers, NO_FAILURE, eject=False)
        if self._is_verdict_outdated(path, known_answers) or self.verdicts.is_ejected(path, ""):
            return None
        answers_by_zone: dict[str, dict[str, ReceivedReport]] = {}
        for name, received in known_answers.items():
            answers_by_zone.setdefault(zones[name], {})[name] = received
        zones_inside = [zone for zone in answers_by_zone if is_within(zone, path)]
        answers_outside = {
            zone: reports for zone, reports in answers_by_zone.items() if zone not in zones_inside
        }
        pooled_answers = {
            name: each
            for reports in (answers_outside or answers_by_zone).values()
            for name, each in reports.items()
        }
        assessment = self._assess(now, path, pooled_answers)
        is_reachable = {
            zone: self._is_reachable(now, path, reports, assessment.since_bucket)
            for zone, reports in answers_by_zone.items()
        }
        if assessment.is_failing and not any(is_reachable[zone] for zone in answers_outside):
            zones_with_failures = [
                zone for zone, reports in answers_outside.items() if self._has_failures(now, path, reports)
            ]
            if len(zones_with_failures) >= min(2, len(self.quorum.list_member_zones_outside(path))):
                spared = tuple(sorted(zone for zone in zones_inside if is_reachable[zone]))
                return self._eject(now, path, "", known_answers, assessment, spared)
        return self._decide_on_network_path(now, path, answers_by_zone, answers_outside)

    def _decide_on_network_path(
        self,
        now: int,
        path: str,
        answers_by_zone: Mapping[str, Reports],
        answers_outside: Mapping[str, Reports],
    ) -> ZoneVerdict | None:
        """Return a verdict for the members of one other zone, if only the network path from there fails."""
        for zone, reports in sorted(answers_outside.items(), key=lambda item: item[0]):
            if not zone or self.verdicts.is_ejected(path, zone) or len(self.quorum.list_voters(zone)) < 2:
                continue
            assessment = self._assess(now, path, reports, is_network_path=True)
            others = [each for other, each in answers_by_zone.items() if other != zone]
            if assessment.is_failing and any(
                self._is_reachable(now, path, each, assessment.since_bucket) for each in others
            ):
                return self._eject(now, path, zone, reports, assessment, ())
        return None

    def _eject(
        self,
        now: int,
        path: str,
        source_zone: str,
        answers: Reports,
        assessment: FailureAssessment,
        spared_zones: tuple[str, ...],
    ) -> ZoneVerdict | None:
        """Return a verdict that ejects a path, or ``None`` if too many zones would be ejected."""
        # A recovering zone counts as unavailable, because some members have not returned to it yet.
        unavailable = [
            zone
            for zone in self.catalog.zones
            if self.verdicts.is_zone_ejected_or_recovering(now, zone, source_zone)
        ]
        max_ejected = self.catalog.max_ejected_zones
        if len(dict.fromkeys([*unavailable, *self.catalog.list_zones_in(path)])) > max_ejected:
            # Without this limit, successive ejections could move all load to the last zone.
            if now >= self._next_log_us.get(path, 0):
                self._next_log_us[path] = now + LOG_INTERVAL_US
                reason = "too many zones would be ejected"
                self.actions.log(
                    "zone_ejection_skipped",
                    path,
                    reason=reason,
                    ejected=len(unavailable),
                    max_ejected=max_ejected,
                )
            return None
        previous = self.verdicts.find(path, source_zone)
        verdict = ZoneVerdict(
            path,
            source_zone,
            previous.verdict.epoch if previous else 0,
            "",
            0,
            relapses=self._count_relapses(now, previous),
            spared_zones=spared_zones,
            partial_ejections=self._compute_partial_ejections(path, answers),
        )
        return self._make_verdict(verdict, answers, assessment, eject=True)

    def _count_relapses(self, now: int, previous: ZoneRecovery | None) -> int:
        """Return the number of successive ejections that followed soon after a return."""
        if previous is None:
            return 0
        settled_us = previous.compute_return_us(1.0, self.config) + self.config.relapse_window_us
        return min(MAX_RELAPSES, previous.verdict.relapses + 1) if now < settled_us else 0

    def _make_verdict(
        self, base: ZoneVerdict, answers: Reports, assessment: FailureAssessment, eject: bool
    ) -> ZoneVerdict | None:
        """Return the successor of ``base``, or ``None`` unless a majority of the voters has answered."""
        voters = self.quorum.list_voters(base.source_zone)
        votes = sum(name in voters for name in answers)
        if votes <= len(voters) // 2:
            return None
        verdict = replace(
            base,
            # A superseded verdict may have ejected the path too. The epoch then grows by 2, because its
            # parity states whether the path is ejected.
            epoch=base.epoch + (1 if base.is_ejected != eject else 2),
            decided_by=self.quorum.own_name,
            incarnation=self.quorum.own_incarnation,
            successes=assessment.successes,
            failures=assessment.failures,
            votes=votes,
            voter_count=len(voters),
        )
        return verdict if eject else replace(verdict, spared_zones=(), partial_ejections=())

    def _list_ejected(self, path: str) -> list[ZoneRecovery]:
        """Return the recoveries of a path whose verdict ejects it and is not superseded."""
        found = self.verdicts.list_for_path(path)
        return [each for each in found if self.verdicts.is_ejected(path, each.verdict.source_zone)]

    def _is_verdict_outdated(self, path: str, answers: Reports) -> bool:
        """Return whether an answer names a later epoch than this member's verdict on the path."""
        # Without this check, an aggregator that missed a verdict would make it a second time.
        epoch = self.verdicts.get_epoch(path)
        return any(received.report.verdict_epoch > epoch for received in answers.values())

    def _has_zone_recovered(self, now: int, recovery: ZoneRecovery, reports: Reports) -> bool:
        """Return whether the calls of a zone's probers mostly succeed."""
        recovery.advance_probe(now, self.config)
        if not recovery.is_probe_running(now) and recovery.probe_round <= 0:
            return False
        # Ignore calls sent before the ejection, and members that never avoided the zone.
        buckets_since_verdict = (now - recovery.decided_us) // self.evidence_config.bucket_us
        max_age = max(1, min(self.evidence_config.bucket_count, buckets_since_verdict))
        pool, zones = EvidencePool(self.evidence_config), self.quorum.map_members_to_zones()
        for name, received in reports.items():
            if name in zones and recovery.verdict.applies_to(zones[name]):
                pool.add_report(now, name, received, max_age)
        total = pool.count_since(self.evidence_config.bucket_count)
        reporters_with_results = sum(each.successes + each.failures > 0 for each in pool.reporters.values())
        if reporters_with_results < min(2, len(self.prober.select_probers(recovery))):
            return False
        min_successes = self.config.min_probe_success_ratio * (total.successes + total.failures)
        return total.successes >= self.config.min_probe_successes and total.successes >= min_successes

    def _assess(
        self, now: int, path: str, reports: Reports, is_network_path: bool = False
    ) -> FailureAssessment:
        """Assess whether a path fails.

        A region fails only if calls went to at least two of its zones and all of these fail. With
        ``is_network_path``, the reports come from the members of one zone, to find a failed network path.
        """
        pool = self._pool_reports(now, path, reports)
        listed_destinations = len(self.catalog.list_destinations_in(path))
        assessment = assess_failure(pool, listed_destinations, len(reports), is_network_path)
        if assessment.is_failing and path not in self.catalog.zones:
            ratio = self.evidence_config.failure_ratio
            totals = list(pool.count_by_zone().values())
            failing_zones = sum(each.failures >= ratio * (each.successes + each.failures) for each in totals)
            if failing_zones < len(totals) or failing_zones < 2:
                return NO_FAILURE
        return assessment

    def _is_reachable(self, now: int, path: str, reports: Reports, since_bucket: int) -> bool:
        """Return whether calls mostly succeeded after the bucket in which the failure began."""
        # Successes in that bucket may precede the failure. Counting them would make the failure of a zone
        # look like the failure of a network path.
        total = self._pool_reports(now, path, reports).count_since(since_bucket - 1)
        return total.successes > 1 and total.successes > total.failures

    def _has_failures(self, now: int, path: str, reports: Reports) -> bool:
        """Return whether the reports contain a failure since the last verdict on a path."""
        pool = self._pool_reports(now, path, reports)
        return pool.count_since(self.evidence_config.bucket_count).failures > 0

    def _pool_reports(self, now: int, path: str, reports: Reports) -> EvidencePool:
        """Return the pooled reports on a path, limited to calls sent since its last verdict."""
        pool = EvidencePool(self.evidence_config)
        ages = [
            (now - each.decided_us) // self.evidence_config.bucket_us
            for each in self.verdicts.list_for_path(path)
        ]
        max_age = min(ages, default=self.evidence_config.bucket_count)
        for name, received in reports.items():
            pool.add_report(now, name, received, max_age)
        return pool

    def _compute_partial_ejections(self, path: str, answers: Reports) -> tuple[PartialEjection, ...]:
        """Return the destinations that lack capacity outside of a path, with the share of members to eject.

        The load is the recent call rate of the members that answered, scaled to all live members. The
        remaining capacity is the listed one, scaled by the share of ready endpoints that stay available.
        """
        if not self.uses_weights:
            return ()
        calls: dict[int, int] = {}
        for received in answers.values():
            for load in received.report.loads:
                calls[load.destination] = calls.get(load.destination, 0) + load.calls
        live_members = len(self.quorum.list_live_members())
        scale = live_members / max(1, len(answers)) * SECOND / self.evidence_config.window_us
        found = []
        for number, destination in sorted(self.catalog.destinations.items(), key=lambda item: item[0]):
            call_rate = calls.get(number, 0) * scale
            ready, ready_in_path = sum(destination.ready_by_zone.values()), destination.count_ready_in(path)
            if not ready_in_path or not destination.capacity or not call_rate:
                continue
            unavailable = sum(
                count
                for zone, count in destination.ready_by_zone.items()
                if is_within(zone, path) or self.verdicts.is_zone_ejected(zone, "")
            )
            remaining_rate = (
                self.config.max_utilization * destination.capacity * (ready - unavailable) / ready
            )
            if call_rate > remaining_rate:
                ejected_share = 1.0 - (1.0 - remaining_rate / call_rate) * ready / ready_in_path
                found.append(PartialEjection(number, max(0, min(1000, int(1000 * ejected_share)))))
        return tuple(found[: self.evidence_config.max_cells])
