"""Reports of this member's calls to the aggregators. This module does no I/O and reads no clock."""

from __future__ import annotations

from honeybarrow.fleet.call_evidence import CallEvidence
from honeybarrow.fleet.zone_catalog import ZoneCatalog
from honeybarrow.fleet.zone_messages import DestinationLoad, EvidenceReport
from honeybarrow.fleet.zone_paths import expand_path
from honeybarrow.fleet.zone_quorum import FleetQuorum
from honeybarrow.fleet.zone_recovery import ZoneProber
from honeybarrow.fleet.zone_verdict_table import VerdictTable


class EvidenceReporter:
    """Selects the paths to report on and creates numbered reports."""

    def __init__(
        self,
        quorum: FleetQuorum,
        catalog: ZoneCatalog,
        verdicts: VerdictTable,
        prober: ZoneProber,
        evidence: CallEvidence,
    ) -> None:
        self.quorum, self.catalog, self.verdicts = quorum, catalog, verdicts
        self.prober, self.evidence = prober, evidence
        self._sequence = 0

    def list_paths(self, now: int) -> list[str]:
        """Return the paths with failures and those that this member probes."""
        failing = self.evidence.find_failing_zones(now)
        paths = dict.fromkeys(
            path for zone in failing for path in expand_path(zone) if path in self.catalog.paths
        )
        for recovery in self.verdicts.list_ejected():
            if self.prober.is_probing(now, recovery):
                self.prober.start_reporting(now, recovery.verdict.path)
        paths.update((path, None) for path in self.prober.list_paths_to_report(now))
        return list(paths)

    def create_report(self, now: int, path: str, request_id: int = 0) -> EvidenceReport:
        """Return a report on a path, without results if this member itself is the likely cause of failures.

        ``request_id`` is the answered request, or 0 for an unsolicited report.
        """
        self._sequence += 1
        is_credible = self.evidence.is_credible(now)
        loads = sorted(self.evidence.count_calls_by_destination(now).items())
        return EvidenceReport(
            path,
            self.quorum.own_incarnation,
            self._sequence,
            self.evidence.get_cells(now, path) if is_credible else (),
            tuple(DestinationLoad(*load) for load in loads[: self.evidence.config.max_cells]),
            self.evidence.count_other_zones(now, path) if is_credible else (),
            request_id,
            self.verdicts.get_epoch(path),
        )
