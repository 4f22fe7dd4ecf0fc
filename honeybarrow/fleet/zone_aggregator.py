"""Collection of evidence on zones by an aggregator: unsolicited reports and rounds of requests.

A member whose calls fail sends a report to each aggregator. When the reports suggest that a zone fails, an
aggregator starts a round: it requests evidence from all live members, because members without failures have
not reported. Aggregators start in a staggered order, so the next one takes over if the first one dies.

This module does no I/O and reads no clock. Times are microseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from honeybarrow.fleet.evidence_pool import ReceivedReport
from honeybarrow.fleet.zone_catalog import ZoneCatalog
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.fleet.zone_messages import (
    ActionQueue,
    EvidenceReport,
    EvidenceRequest,
    StateDigest,
    ZoneVerdict,
)
from honeybarrow.fleet.zone_quorum import FleetQuorum
from honeybarrow.fleet.zone_reporter import EvidenceReporter
from honeybarrow.fleet.zone_state import ZoneState
from honeybarrow.fleet.zone_verdict import VerdictDecider


@dataclass(slots=True)
class EvidenceRound:
    """A pending request for evidence, sent to all live members."""

    request_id: int
    started_us: int
    answers: dict[str, ReceivedReport] = field(default_factory=dict)  # by member name
    requested_us: dict[str, int] = field(default_factory=dict)  # by member name, time of the last request


@dataclass(frozen=True, slots=True)
class _RoundBackoff:
    """Number of undecided rounds on a path, and the earliest time of the next round."""

    undecided_rounds: int = 0
    until_us: int = 0


class EvidenceAggregator:
    """Reports of members on each path, and the pending round on each path."""

    def __init__(
        self,
        quorum: FleetQuorum,
        catalog: ZoneCatalog,
        state: ZoneState,
        reporter: EvidenceReporter,
        decider: VerdictDecider,
        actions: ActionQueue,
        config: ZoneConfig,
        window_us: int,
    ) -> None:
        self.quorum, self.catalog, self.state = quorum, catalog, state
        self.reporter, self.decider, self.actions = reporter, decider, actions
        self.config, self.window_us = config, window_us
        self.dropped_count = 0  # rejected reports
        self.rounds: dict[str, EvidenceRound] = {}  # by path
        self._reports: dict[str, dict[str, ReceivedReport]] = {}  # by path and member
        self._last_sequences: dict[str, tuple[int, int]] = {}  # by member name: (incarnation, sequence)
        self._first_suspected_us: dict[str, int] = {}  # by path
        self._backoffs: dict[str, _RoundBackoff] = {}  # by path
        self._request_count = 0

    def clear(self) -> None:
        """Discard all reports and rounds, which are stale after this process was paused."""
        self.rounds.clear()
        self._reports.clear()

    def forget_path(self, path: str) -> None:
        """Discard the reports and the round on a path that has a new verdict."""
        self._reports.pop(path, None)
        self._first_suspected_us.pop(path, None)
        self.rounds.pop(path, None)

    def forget_unknown_members(self) -> None:
        """Discard the report sequences of members that the quorum has not seen."""
        self._last_sequences = {
            name: sequence for name, sequence in self._last_sequences.items() if self.quorum.has_seen(name)
        }

    def receive_report(self, now: int, sender: str, report: EvidenceReport) -> None:
        """Store a member's report; drop it if it is outdated or its path or sender is unknown."""
        # A delayed report, or one of an earlier incarnation, must not replace a later one.
        is_outdated = (report.incarnation, report.sequence) <= self._last_sequences.get(sender, (0, 0))
        if is_outdated or report.path not in self.catalog.paths or not self.quorum.is_member(sender):
            self.dropped_count += 1
            return
        self._last_sequences[sender] = (report.incarnation, report.sequence)
        epoch = self.state.verdicts.get_epoch(report.path)
        if report.verdict_epoch < epoch:
            self.actions.send(sender, self.state.create_sync(now))
        elif report.verdict_epoch > epoch:
            # The sender answers a differing digest with its verdicts.
            self.actions.send(sender, StateDigest(self.state.compute_digest(), True))
        received = ReceivedReport(now, report)
        if not report.request_id:
            self._reports.setdefault(report.path, {})[sender] = received
            return
        round_ = self.rounds.get(report.path)
        if round_ is not None and round_.request_id == report.request_id:
            round_.answers[sender] = received

    def start_due_rounds(self, now: int) -> None:
        """Start a round on each path that the reports show as failing or, if ejected, as recovered."""
        self._drop_expired_reports(now)
        if not self.quorum.has_joined:
            return
        aggregators = self.quorum.select_aggregators() if self._reports else []
        own_name = self.quorum.own_name
        for path in self.catalog.paths:
            if path in self.rounds or path not in self._reports:
                continue
            if own_name not in aggregators or not self.decider.should_request_evidence(
                now, path, self._reports[path]
            ):
                self._first_suspected_us.pop(path, None)
                continue
            suspected_us = self._first_suspected_us.setdefault(path, now)
            stagger_us = aggregators.index(own_name) * self.config.aggregator_stagger_us
            if now >= max(suspected_us + stagger_us, self._backoffs.get(path, _RoundBackoff()).until_us):
                self._start_round(now, path)

    def advance_round(self, now: int, path: str) -> ZoneVerdict | None:
        """Return a verdict if the answers suffice; otherwise repeat requests or end the round."""
        round_ = self.rounds[path]
        verdict = self.decider.decide(now, path, round_.answers)
        if verdict is not None:
            del self.rounds[path]
            self._backoffs.pop(path, None)
            return verdict
        missing = [name for name in round_.requested_us if name not in round_.answers]
        if now >= round_.started_us + self.config.round_timeout_us or not missing:
            self._end_round(now, path, round_, len(missing))
            return None
        for name in missing:
            if now >= round_.requested_us[name] + self.config.request_retry_us:
                round_.requested_us[name] = now
                self.actions.send(name, EvidenceRequest(path, round_.request_id))
        return None

    def _drop_expired_reports(self, now: int) -> None:
        for path, reports in list(self._reports.items()):
            for name in [name for name, each in reports.items() if each.received_us < now - self.window_us]:
                del reports[name]
            if not reports:
                del self._reports[path]
                self._first_suspected_us.pop(path, None)

    def _start_round(self, now: int, path: str) -> None:
        """Request evidence on a path from all other live members and add this member's own report."""
        self._request_count += 1
        own_name = self.quorum.own_name
        round_ = self.rounds[path] = EvidenceRound(self._request_count, now)
        report = self.reporter.create_report(now, path, round_.request_id)
        round_.answers[own_name] = ReceivedReport(now, report)
        for name in self.quorum.list_live_members():
            if name != own_name:
                round_.requested_us[name] = now
                self.actions.send(name, EvidenceRequest(path, round_.request_id))
        self.actions.log("zone_evidence_requested", path, members=len(round_.requested_us) + 1)

    def _end_round(self, now: int, path: str, round_: EvidenceRound, missing_answers: int) -> None:
        """End a round without a verdict and delay the next one on its path."""
        del self.rounds[path]
        undecided_rounds = self._backoffs.get(path, _RoundBackoff()).undecided_rounds + 1
        until_us = now + self.config.round_backoff_us * min(undecided_rounds, 4)
        self._backoffs[path] = _RoundBackoff(undecided_rounds, until_us)
        self.actions.log("zone_undecided", path, answers=len(round_.answers), missing=missing_answers)
