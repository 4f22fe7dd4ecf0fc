"""One member's part in deciding which zones the fleet avoids.

Members report failed calls to a few *aggregators*, which all members select alike by rendezvous hashing. An
aggregator whose reports suggest that a zone fails requests evidence from all members. With answers from a
majority of the known members it makes a verdict and broadcasts it. A verdict therefore rests on the results
of calls, never on another member's conclusion. Verdicts on a zone are numbered by epoch: odd epochs eject
the zone, even epochs restore it, so two verdicts of the same epoch never contradict each other.

A verdict applies to all members except those of zones that can still reach the ejected zone. If only the
network path from one zone fails, the verdict applies to the members of that zone alone. After an ejection, a
few members probe the zone at growing intervals. Once probes succeed, members return in an order that all of
them compute alike, no faster than a warming destination can bear.

docs/fleet.md compares this design with voting without a leader, a single coordinator, and a pure function of
shared evidence. This module does no I/O and reads no clock. Times are microseconds of the caller's monotonic
clock; messages between members carry ages and remaining times only.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from honeybarrow.errors import InvalidValueError
from honeybarrow.events import Endpoint
from honeybarrow.fleet.call_evidence import CallEvidence
from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.zone_aggregator import EvidenceAggregator
from honeybarrow.fleet.zone_catalog import ZoneCatalog
from honeybarrow.fleet.zone_config import SECOND, ZoneConfig
from honeybarrow.fleet.zone_messages import (
    Action,
    ActionQueue,
    AgedVerdict,
    EvidenceReport,
    EvidenceRequest,
    Message,
    OperatorOverride,
    StateDigest,
    TimedOverride,
    VerdictSync,
    ZoneVerdict,
)
from honeybarrow.fleet.zone_override import OverrideTable
from honeybarrow.fleet.zone_quorum import FleetQuorum
from honeybarrow.fleet.zone_recovery import ZoneProber, ZoneRecovery
from honeybarrow.fleet.zone_reporter import EvidenceReporter
from honeybarrow.fleet.zone_state import ZoneState
from honeybarrow.fleet.zone_verdict import VerdictDecider
from honeybarrow.fleet.zone_verdict_table import MergeResult, VerdictTable
from honeybarrow.fleet.zone_view import ZoneStatus, ZoneUsage, ZoneView

NEVER = 1 << 62  # due time before the start, microseconds
MAX_LATE_TICKS = 5  # a process that wakes later than this was paused


class ZoneCoordinator:
    """State machine of zone ejection at one member.

    The caller passes in messages, endpoint lists and the time, carries out the returned actions and calls
    :meth:`wake` at ``due_us``. The coordinator dispatches each event to its components and applies new
    verdicts. ``uses_weights`` tells whether listed endpoint weights are capacities in calls per second.
    """

    def __init__(
        self,
        membership: Membership,
        evidence: CallEvidence,
        rng: random.Random,
        config: ZoneConfig | None = None,
        uses_weights: bool = True,
    ) -> None:
        self.evidence, self.rng = evidence, rng
        self.config = config = config or ZoneConfig()
        self.due_us = NEVER
        self.quorum = quorum = FleetQuorum(membership, config)
        self.catalog = catalog = ZoneCatalog(config)
        self.state = state = ZoneState(VerdictTable(config), OverrideTable(config))
        self.prober = prober = ZoneProber(quorum, evidence, config)
        self.view = ZoneView(quorum, catalog, state, prober, config)
        self.reporter = EvidenceReporter(quorum, catalog, state.verdicts, prober, evidence)
        self._actions = ActionQueue(quorum.own_name)
        self.decider = VerdictDecider(
            quorum, catalog, state.verdicts, prober, self._actions, config, evidence.config, uses_weights
        )
        self.aggregator = EvidenceAggregator(
            quorum,
            catalog,
            state,
            self.reporter,
            self.decider,
            self._actions,
            config,
            evidence.config.window_us,
        )
        self._next_digest_us = 0
        self._dropped_verdicts = 0

    # --- events

    def start(self, now: int, saved: VerdictSync | None = None) -> list[Action]:
        """Start with the saved state of an earlier incarnation, if any, and return the first actions.

        The time between saving and loading is unknown, so it does not count towards ages. A verdict that was
        replaced meanwhile is replaced here by the first message of another member. A verdict that no other
        member holds any more ends through its probes.
        """
        self.due_us = now + int(self.config.tick_us * self.rng.random())
        self._next_digest_us = now
        if saved is not None:
            self._merge(now, "", saved)
        for name in self.quorum.list_configured_peers()[: self.config.aggregator_count]:
            self._actions.send(name, StateDigest(self.compute_digest()))
        return self._actions.drain()

    def update_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the endpoint list by the register's current one."""
        self.catalog.update(endpoints)

    def wake(self, now: int) -> list[Action]:
        """Do all work that is due and return the resulting actions; return nothing before ``due_us``."""
        if now < self.due_us:
            return []
        if now - self.due_us > MAX_LATE_TICKS * self.config.tick_us:
            # The process was paused, so its calls timed out through its own fault and its unread messages
            # are stale. This evidence would make a healthy zone look failed.
            self.evidence.clear()
            self.aggregator.clear()
        self.due_us = now + self.config.tick_us
        self.quorum.observe_members()
        self.aggregator.forget_unknown_members()
        self._expire_overrides(now)
        for recovery in self.state.verdicts.list_ejected():
            recovery.advance_probe(now, self.config)
        self._report_evidence(now)
        self.aggregator.start_due_rounds(now)
        for path in list(self.aggregator.rounds):
            verdict = self.aggregator.advance_round(now, path)
            if verdict is not None:
                self._publish(now, verdict)
        self._send_digest_if_due(now)
        if not self.state.is_empty:
            self._actions.notify_usage_changed()
        return self._actions.drain()

    def handle_message(self, now: int, sender: str, message: Message) -> list[Action]:
        """Handle a member's message and return the resulting actions."""
        match message:
            case EvidenceReport():
                self.aggregator.receive_report(now, sender, message)
            case EvidenceRequest(path, request_id):
                self._actions.send(sender, self.reporter.create_report(now, path, request_id))
            case VerdictSync():
                self._merge(now, sender, message)
            case StateDigest(value, is_reply):
                if value != self.compute_digest():
                    self._actions.send(sender, self.create_sync(now))
                    if not is_reply:
                        self._actions.send(sender, StateDigest(self.compute_digest(), True))
        return self._actions.drain()

    def merge_sync(self, now: int, sync: VerdictSync) -> list[Action]:
        """Merge the state that a peer sent in a push-pull exchange, and return the resulting actions."""
        self._merge(now, "", sync)
        return self._actions.drain()

    def set_override(self, now: int, path: str, eject: bool | None, duration_us: int) -> list[Action]:
        """Set an operator's override of a path for ``duration_us``, and return the resulting actions.

        ``eject`` tells whether the path is avoided or used; ``None`` withdraws an earlier override. Raises
        :class:`InvalidValueError` for a path that is not listed or a duration out of range.
        """
        if path not in self.catalog.paths:
            raise InvalidValueError(f"the register lists no zone or region {path!r}")
        override = self.state.overrides.create(path, eject, duration_us, self.quorum.own_name)
        self._apply_override(now, override, duration_us)
        self._broadcast(VerdictSync((), (TimedOverride(override, duration_us),)))
        return self._actions.drain()

    # --- queries

    def get_usage(self, now: int, zone: str, destination: int) -> ZoneUsage:
        """Return how this member uses a destination's endpoints in a zone."""
        return self.view.get_usage(now, zone, destination)

    def get_status(self, now: int, path: str, source_zone: str = "") -> ZoneStatus:
        """Return the status of a path, for all members or for those of ``source_zone``."""
        is_assessed = path in self.aggregator.rounds and not source_zone
        return self.view.get_status(now, path, source_zone, is_assessed)

    def get_override(self, now: int, path: str) -> OperatorOverride | None:
        """Return the operator's override of a path that is in force now, if any."""
        return self.state.overrides.find_active(now, path)

    def get_override_remaining_us(self, now: int, path: str) -> int:
        """Return the remaining time of a path's override in microseconds; 0 without an override."""
        return self.state.overrides.get_remaining_us(now, path)

    def create_sync(self, now: int) -> VerdictSync:
        """Return the verdicts and overrides to send to another member, up to ``max_sync_entries`` of each."""
        return self.state.create_sync(now)

    def compute_digest(self) -> int:
        """Return a hash of all verdicts and overrides."""
        return self.state.compute_digest()

    @property
    def recoveries(self) -> dict[tuple[str, str], ZoneRecovery]:
        """The current verdicts and their recoveries, by path and source zone."""
        return self.state.verdicts.recoveries

    @property
    def paths(self) -> list[str]:
        """The listed zones and regions."""
        return list(self.catalog.paths)

    @property
    def is_probing(self) -> bool:
        """Whether this member may be probing a zone, so that each call may change the zone's usage."""
        return self.prober.is_active

    @property
    def dropped_count(self) -> int:
        """Number of rejected reports and verdicts."""
        return self._dropped_verdicts + self.aggregator.dropped_count

    # --- internals

    def _report_evidence(self, now: int) -> None:
        """Send a report on each path with failures or probe calls to the aggregators."""
        paths = self.reporter.list_paths(now)
        aggregators = self.quorum.select_aggregators() if paths else []
        for path in paths:
            report = self.reporter.create_report(now, path)
            for name in aggregators:
                if name == self.quorum.own_name:
                    self.aggregator.receive_report(now, name, report)
                else:
                    self._actions.send(name, report)

    def _send_digest_if_due(self, now: int) -> None:
        if now < self._next_digest_us:
            return
        self._next_digest_us = now + int(self.config.digest_interval_us * self.rng.uniform(0.8, 1.2))
        others = [name for name in self.quorum.list_live_members() if name != self.quorum.own_name]
        if others:
            self._actions.send(self.rng.choice(others), StateDigest(self.compute_digest()))

    def _broadcast(self, message: Message) -> None:
        for name in self.quorum.list_live_members():
            self._actions.send(name, message)

    def _merge(self, now: int, sender: str, sync: VerdictSync) -> None:
        """Apply newer verdicts and overrides; send this member's state to a sender with older ones."""
        is_sender_behind = False
        for aged in sync.verdicts[: self.config.max_sync_entries]:
            match self.state.verdicts.compare(aged.verdict):
                case MergeResult.NEWER:
                    self._apply_verdict(now, aged.verdict, aged.age_us)
                case MergeResult.OLDER:
                    is_sender_behind = True
                case MergeResult.REJECTED:
                    self._dropped_verdicts += 1
        for timed in sync.overrides[: self.config.max_sync_entries]:
            match self.state.overrides.compare(timed.override, timed.remaining_us):
                case MergeResult.NEWER:
                    self._apply_override(now, timed.override, timed.remaining_us)
                case MergeResult.OLDER:
                    is_sender_behind = True
        if is_sender_behind and sender:
            self._actions.send(sender, self.create_sync(now))

    def _publish(self, now: int, verdict: ZoneVerdict) -> None:
        """Apply a verdict made here and send it to all live members."""
        self._apply_verdict(now, verdict, 0)
        self._broadcast(VerdictSync((AgedVerdict(verdict, 0),)))

    def _apply_verdict(self, now: int, verdict: ZoneVerdict, age_us: int) -> None:
        self.state.verdicts.store(now, verdict, age_us)
        self.aggregator.forget_path(verdict.path)
        self.prober.stop_reporting(verdict.path)
        self._actions.log(
            "zone_ejected" if verdict.is_ejected else "zone_recovering",
            verdict.path,
            source_zone=verdict.source_zone,
            epoch=verdict.epoch,
            decided_by=verdict.decided_by,
            successes=verdict.successes,
            failures=verdict.failures,
            votes=verdict.votes,
            known_members=verdict.voter_count,
            relapses=verdict.relapses,
            partial_ejections=len(verdict.partial_ejections),
        )
        self._actions.notify_usage_changed()

    def _apply_override(self, now: int, override: OperatorOverride, remaining_us: int) -> None:
        self.state.overrides.store(now, override, remaining_us)
        decision = "withdrawn" if override.eject is None else "out" if override.eject else "in"
        self._actions.log(
            "zone_override_set",
            override.path,
            decision=decision,
            set_by=override.set_by,
            duration_s=remaining_us // SECOND,
        )
        self._actions.notify_usage_changed()

    def _expire_overrides(self, now: int) -> None:
        for override in self.state.overrides.expire(now):
            if override.eject is not None:
                self._actions.log("zone_override_expired", override.path, set_by=override.set_by)
            self._actions.notify_usage_changed()
