"""Simulates a fleet's gossip: membership, call evidence and zone verdicts, with modelled calls to partners.

Members run without forwarders and sockets, so that hundreds of them can be simulated for a long time. Links
between members delay, lose and duplicate datagrams and can be blocked. Calls arrive at a random rate; the
faults active when a call starts determine its result. Durations measured here are those of the model, not of
a forwarder.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from honeybarrow.events import AttemptStatus, Endpoint, EndpointState
from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet import wire
from honeybarrow.fleet.call_evidence import CallEvidence
from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.zone_config import EvidenceConfig, ZoneConfig
from honeybarrow.fleet.zone_coordinator import ZoneCoordinator
from honeybarrow.fleet.zone_messages import Action, SendMessage, VerdictSync, ZoneLogEvent
from honeybarrow.fleet.zone_messages import Message as ZoneMessage
from honeybarrow.fleet.zone_view import ZoneStatus, ZoneUsage

SECOND_US = 1_000_000
NEVER_US = 1 << 62
JOIN_TIMEOUT_US = SECOND_US  # maximum wait of a starting member for the fleet's verdicts


@dataclass(frozen=True, slots=True)
class ZoneFault:
    """A fault that makes calls to ``zone`` fail from ``start_us`` for ``duration_us``.

    It affects calls from members in ``caller_zone`` (all if empty) to ``partners`` (all if empty), each with
    ``probability``. Affected calls end with ``status`` after ``call_duration_us``.
    """

    zone: str
    start_us: int
    duration_us: int
    caller_zone: str = ""
    partners: tuple[int, ...] = ()
    probability: float = 1.0
    status: AttemptStatus = AttemptStatus.TIMEOUT
    call_duration_us: int = 1_300_000

    def affects(self, now_us: int, caller_zone: str, zone: str, partner: int) -> bool:
        """Return whether this fault can affect a call from ``caller_zone`` to a partner in ``zone`` now."""
        is_active = self.start_us <= now_us < self.start_us + self.duration_us
        is_from_caller_zone = not self.caller_zone or caller_zone == self.caller_zone
        is_in_zone = zone == self.zone or zone.startswith(self.zone + "/")
        is_to_partner = not self.partners or partner in self.partners
        return is_active and is_from_caller_zone and is_in_zone and is_to_partner


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Parameters of a simulated fleet, its partners and links.

    ``calls_per_second`` is the rate of each member; ``endpoint_weight`` is the weight of each endpoint in the
    endpoint list.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    member_count: int = 9
    partner_count: int = 6
    endpoints_per_zone: int = 1  # for each partner
    calls_per_second: float = 6.0
    endpoint_weight: float = 1e6
    datagram_loss: float = 0.0  # on links between members
    call_loss: float = 0.0
    delay_range_us: tuple[int, int] = (1_000, 20_000)
    faults: tuple[ZoneFault, ...] = ()


@dataclass(slots=True)
class ModelCall:
    """A simulated call; ``has_failed`` is true if it did not succeed."""

    sent_us: int
    member: str
    zone: str
    partner: int
    has_failed: bool


@dataclass(slots=True)
class ClusterMember:
    """The parts of a member's process that take part in gossip."""

    name: str
    zone: str
    membership: Membership
    evidence: CallEvidence
    zone_coordinator: ZoneCoordinator
    started_us: int = 0
    paused_until_us: int = 0
    call_count: int = 0

    def is_ready(self, now_us: int) -> bool:
        """Return whether the member has joined or its join timeout has passed."""
        return self.membership.has_joined or now_us >= self.started_us + JOIN_TIMEOUT_US


class RecordedLogEvent(NamedTuple):
    """A log line of a member about a zone, with its time."""

    at_us: int
    member: str
    log_event: ZoneLogEvent


class RecordedDeath(NamedTuple):
    """The time at which ``observer`` declared ``member`` dead or learned of its death."""

    at_us: int
    observer: str
    member: str


@dataclass(slots=True)
class ClusterRecord:
    """The history of a run: calls, log lines, deaths and datagram counts."""

    calls: list[ModelCall] = field(default_factory=list)
    log_events: list[RecordedLogEvent] = field(default_factory=list)
    deaths: list[RecordedDeath] = field(default_factory=list)
    datagrams_sent: int = 0
    bytes_sent: int = 0


class GossipCluster:
    """A simulated fleet with its links and partners; the seed determines the run.

    With ``uses_verdicts`` false, members call all zones regardless of verdicts.
    """

    def __init__(
        self,
        config: ClusterConfig,
        seed: int,
        zone_config: ZoneConfig | None = None,
        evidence_config: EvidenceConfig | None = None,
        uses_verdicts: bool = True,
    ) -> None:
        self.config, self.zone_config, self.evidence_config = config, zone_config, evidence_config
        self.uses_verdicts = uses_verdicts
        self.rng = random.Random(f"members/{seed}")  # changing this text changes all seeded runs
        self.now_us, self._next_event_number = SECOND_US, 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self.names = [f"m{number}" for number in range(config.member_count)]
        self.zone_of = {name: config.zones[i % len(config.zones)] for i, name in enumerate(self.names)}
        self.members: dict[str, ClusterMember] = {}
        self.incarnations: dict[str, int] = {}
        self.saved_verdicts: dict[str, VerdictSync] = {}
        self.blocked_links: dict[tuple[str, str], None] = {}  # keyed by sender and receiver
        self.record = ClusterRecord()
        self.endpoints = [
            Endpoint(f"p{partner}-{zone}-{n}", partner, EndpointState.READY, "", zone, config.endpoint_weight)
            for partner in range(config.partner_count)
            for zone in config.zones
            for n in range(config.endpoints_per_zone)
        ]
        for name in self.names:
            self.start_member(name)

    # faults of members and links

    def start_member(self, name: str) -> None:
        """Start a member's process, or restart it with its next incarnation."""
        incarnation = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        peers = [peer for peer in self.names[:5] if peer != name]
        zone = self.zone_of[name]
        rng = random.Random(self.rng.random())
        membership = Membership(name, zone, "", incarnation, peers, rng)
        evidence = CallEvidence(self.evidence_config)
        zones = ZoneCoordinator(membership, evidence, rng, self.zone_config)
        member = ClusterMember(name, zone, membership, evidence, zones, self.now_us)
        zones.update_endpoints(self.endpoints)
        self.members[name] = member
        self._perform_membership_actions(member, membership.start(self.now_us))
        self._perform_zone_actions(member, zones.start(self.now_us, self.saved_verdicts.get(name)))
        self._schedule_wake(member, membership, self._perform_membership_actions)
        self._schedule_wake(member, zones, self._perform_zone_actions)
        self._schedule_call(member)

    def kill_member(self, name: str) -> None:
        """End a member's process; its saved verdicts remain for the next start."""
        self.saved_verdicts[name] = self.members.pop(name).zone_coordinator.create_sync(self.now_us)

    def pause_member(self, name: str, duration_us: int) -> None:
        """Pause a member's process."""
        self.members[name].paused_until_us = self.now_us + duration_us

    def partition(self, names: Iterable[str], direction: str = "both") -> None:
        """Block the links between ``names`` and all other members.

        :param direction: ``both``, or ``out`` to block only what ``names`` send.
        """
        group = dict.fromkeys(names)
        for name in group:
            for other in self.names:
                if other not in group:
                    self.blocked_links[name, other] = None
                    if direction == "both":
                        self.blocked_links[other, name] = None

    def heal_partitions(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    def run(self, seconds: float) -> None:
        """Advance simulated time by ``seconds`` and run the events that are due."""
        end_us = self.now_us + int(seconds * SECOND_US)
        while self._events and self._events[0][0] <= end_us:
            self.now_us, _, callback = heapq.heappop(self._events)
            callback()
        self.now_us = end_us

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback; callbacks due at the same time run in the order of scheduling."""
        self._next_event_number += 1
        heapq.heappush(self._events, (self.now_us + max(0, delay_us), self._next_event_number, callback))

    # queries

    def zone_statuses(self, path: str, source_zone: str = "") -> dict[str, ZoneStatus]:
        """Return the status of a zone as known to each member."""
        return {
            name: member.zone_coordinator.get_status(self.now_us, path, source_zone)
            for name, member in self.members.items()
        }

    def members_avoiding(self, zone: str, partner: int = 0) -> list[str]:
        """Return the names of members that currently avoid a zone for a partner."""
        return [
            name
            for name, member in self.members.items()
            if member.zone_coordinator.get_usage(self.now_us, zone, partner) is ZoneUsage.AVOIDED
        ]

    def log_events_named(self, event: str) -> list[RecordedLogEvent]:
        """Return the log lines with this event name."""
        return [recorded for recorded in self.record.log_events if recorded.log_event.event == event]

    def calls_to(self, zone: str, since_us: int = 0, until_us: int = NEVER_US) -> list[ModelCall]:
        """Return the calls to a zone that were sent from ``since_us`` until before ``until_us``."""
        calls = self.record.calls
        return [call for call in calls if call.zone == zone and since_us <= call.sent_us < until_us]

    # timers and actions of members

    def _is_running(self, member: ClusterMember) -> bool:
        return self.members.get(member.name) is member

    def _schedule_wake(
        self,
        member: ClusterMember,
        component: Membership | ZoneCoordinator,
        perform_actions: Callable[..., None],
    ) -> None:
        due_us = component.due_us

        def wake() -> None:
            if not self._is_running(member) or component.due_us != due_us:
                return
            if member.paused_until_us > self.now_us:
                self.schedule(member.paused_until_us - self.now_us, wake)
                return
            perform_actions(member, component.wake(self.now_us))
            self._schedule_wake(member, component, perform_actions)

        if due_us < NEVER_US:
            self.schedule(due_us - self.now_us, wake)

    def _perform_membership_actions(
        self, member: ClusterMember, actions: Sequence[swim.MembershipAction]
    ) -> None:
        for action in actions:
            match action:
                case swim.SendMessage(recipient, message):
                    self._count_bytes(member, message)
                    self._send_membership_message(member, recipient, message)
                case swim.MemberChanged(update) if update.state is swim.MemberState.DEAD:
                    self.record.deaths.append(RecordedDeath(self.now_us, member.name, update.name))
                case swim.PushPull(peer):
                    self._push_pull(member, peer)

    def _send_membership_message(
        self, member: ClusterMember, recipient: str, message: swim.SwimMessage
    ) -> None:
        def handle(receiver: ClusterMember) -> None:
            due_us = receiver.membership.due_us
            actions = receiver.membership.handle_message(self.now_us, member.name, message)
            self._perform_membership_actions(receiver, actions)
            self._reschedule_membership(receiver, due_us)

        self._send(member, recipient, handle)

    def _reschedule_membership(self, member: ClusterMember, scheduled_us: int) -> None:
        if member.membership.due_us != scheduled_us:
            self._schedule_wake(member, member.membership, self._perform_membership_actions)

    def _perform_zone_actions(self, member: ClusterMember, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(recipient, message):
                    self._count_bytes(member, message)
                    self._send_zone_message(member, recipient, message)
                case ZoneLogEvent():
                    self.record.log_events.append(RecordedLogEvent(self.now_us, member.name, action))

    def _send_zone_message(self, member: ClusterMember, recipient: str, message: ZoneMessage) -> None:
        def handle(receiver: ClusterMember) -> None:
            actions = receiver.zone_coordinator.handle_message(self.now_us, member.name, message)
            self._perform_zone_actions(receiver, actions)

        self._send(member, recipient, handle)

    # links

    def _count_bytes(self, member: ClusterMember, message: wire.DatagramMessage) -> None:
        incarnation = member.membership.local_member.incarnation
        datagram = wire.Datagram(wire.WIRE_VERSION, "fleet", member.name, incarnation, message)
        self.record.bytes_sent += len(wire.encode(datagram))

    def _send(self, member: ClusterMember, recipient: str, handle: Callable[[ClusterMember], None]) -> None:
        self.record.datagrams_sent += 1
        for _ in range(2 if self.rng.random() < self.config.datagram_loss / 5 else 1):
            if self.rng.random() < self.config.datagram_loss:
                continue
            self.schedule(self._draw_delay_us(), lambda: self._deliver(member.name, recipient, handle))

    def _deliver(self, sender: str, recipient: str, handle: Callable[[ClusterMember], None]) -> None:
        receiver = self.members.get(recipient)
        if receiver is None or (sender, recipient) in self.blocked_links:
            return
        if receiver.paused_until_us > self.now_us:  # the datagram waits in the socket buffer
            delay_us = receiver.paused_until_us - self.now_us + 5_000
            self.schedule(delay_us, lambda: self._deliver(sender, recipient, handle))
            return
        handle(receiver)

    def _push_pull(self, initiator: ClusterMember, peer_name: str) -> None:
        def exchange() -> None:
            peer = self.members.get(peer_name)
            if peer is None or not self._is_running(initiator) or self._is_stream_blocked(initiator, peer):
                return
            local, remote = initiator.membership.member_list(), peer.membership.member_list()
            local_sync, remote_sync = (
                side.zone_coordinator.create_sync(self.now_us) for side in (initiator, peer)
            )
            for member, updates, sync in ((initiator, remote, remote_sync), (peer, local, local_sync)):
                due_us = member.membership.due_us
                actions = member.membership.merge_member_list(self.now_us, updates)
                self._perform_membership_actions(member, actions)
                self._reschedule_membership(member, due_us)
                self._perform_zone_actions(member, member.zone_coordinator.merge_sync(self.now_us, sync))

        self.schedule(2 * self._draw_delay_us(), exchange)

    def _is_stream_blocked(self, first: ClusterMember, second: ClusterMember) -> bool:
        if max(first.paused_until_us, second.paused_until_us) > self.now_us:
            return True
        links = self.blocked_links
        return (first.name, second.name) in links or (second.name, first.name) in links

    def _draw_delay_us(self) -> int:
        return self.rng.randint(*self.config.delay_range_us)

    # calls

    def _schedule_call(self, member: ClusterMember) -> None:
        def call() -> None:
            if self._is_running(member):
                if member.paused_until_us <= self.now_us and member.is_ready(self.now_us):
                    self._call(member)
                self._schedule_call(member)

        self.schedule(int(self.rng.expovariate(self.config.calls_per_second) * SECOND_US), call)

    def _call(self, member: ClusterMember) -> None:
        partner = self.rng.randrange(self.config.partner_count)
        zones = self._usable_zones(member, partner)
        if not zones:
            return
        zone = self.rng.choice(zones)
        member.call_count += 1
        call_id = (f"{member.name}/{member.call_count}", 0)
        member.evidence.record_call_started(self.now_us, call_id, zone, partner)
        status, duration_us = self._draw_result(member, zone, partner)
        has_failed = status is not AttemptStatus.OK
        self.record.calls.append(ModelCall(self.now_us, member.name, zone, partner, has_failed))

        def end_call() -> None:
            if not self._is_running(member):
                return
            if member.paused_until_us > self.now_us:
                self.schedule(member.paused_until_us - self.now_us, end_call)
                return
            member.evidence.record_call_ended(self.now_us, call_id, status)

        self.schedule(duration_us, end_call)

    def _usable_zones(self, member: ClusterMember, partner: int) -> list[str]:
        usages = {
            zone: member.zone_coordinator.get_usage(self.now_us, zone, partner) for zone in self.config.zones
        }
        if not self.uses_verdicts:
            return list(self.config.zones)
        probed = [zone for zone, usage in usages.items() if usage is ZoneUsage.PROBED]
        return probed or [zone for zone, usage in usages.items() if usage is ZoneUsage.USED]

    def _draw_result(self, member: ClusterMember, zone: str, partner: int) -> tuple[AttemptStatus, int]:
        """Return the status with which a call ends, and its duration in microseconds."""
        status, duration_us = AttemptStatus.OK, self.rng.randint(20_000, 80_000)
        for fault in self.config.faults:
            is_affected = fault.affects(self.now_us, member.zone, zone, partner)
            if is_affected and self.rng.random() < fault.probability:
                status, duration_us = fault.status, fault.call_duration_us
        if status is AttemptStatus.OK and self.rng.random() < self.config.call_loss:
            status, duration_us = AttemptStatus.RESET, 5_000
        return status, duration_us
