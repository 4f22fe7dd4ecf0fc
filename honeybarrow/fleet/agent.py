"""Fleet agent of one forwarder: connects membership, call evidence, zone coordination and the transport.

Performs the actions that these components return and schedules their wake-ups. The service passes in endpoint
list updates and the results of its attempts; the agent publishes the filtered endpoint list for the delivery
policy. Clock, reactor, random generator and file access are injected.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from honeybarrow.errors import InvalidValueError, format_error
from honeybarrow.events import AttemptStatus, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet import zone_messages
from honeybarrow.fleet.call_evidence import CallEvidence
from honeybarrow.fleet.endpoint_filter import EndpointFilter
from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.status import (
    FleetMetrics,
    MemberStatusRow,
    ZoneStatusRow,
    count_members_by_state,
    count_zone_statuses,
    list_member_status,
    list_zone_status,
)
from honeybarrow.fleet.swim_config import SwimConfig
from honeybarrow.fleet.transport import FleetTransport, HostPort, TransportConfig
from honeybarrow.fleet.wire import DatagramMessage, OperatorReply, PushPullState, SetOverride, StatusQuery
from honeybarrow.fleet.zone_config import EvidenceConfig, ZoneConfig
from honeybarrow.fleet.zone_coordinator import ZoneCoordinator
from honeybarrow.fleet.zone_view import ZoneUsage
from honeybarrow.ports import Logger, Reactor

SECOND = 1_000_000
JOIN_TIMEOUT_US = SECOND  # maximum wait for the verdicts of the fleet after the start

MEMBER_EVENTS = {
    swim.MemberState.ALIVE: "member_alive",
    swim.MemberState.SUSPECT: "member_suspected",
    swim.MemberState.DEAD: "member_dead",
    swim.MemberState.LEFT: "member_left",
}


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Fleet configuration of one forwarder.

    ``peer_addresses`` maps the names of configured peers to their addresses. An empty ``advertised_address``
    means the bound address. ``uses_weights`` tells whether the listed weights limit the load of an endpoint.
    """

    fleet_name: str
    member_name: str
    zone: str
    listen_address: HostPort
    advertised_address: str
    peer_addresses: dict[str, HostPort]
    swim_config: SwimConfig
    zone_config: ZoneConfig
    uses_weights: bool = True


class FleetAgent:
    """Runs one member of the fleet.

    ``publish`` receives endpoint list updates for the delivery policy; ``load_verdicts`` and
    ``save_verdicts`` persist the verdicts across restarts.
    """

    def __init__(
        self,
        config: FleetConfig,
        incarnation: int,
        reactor: Reactor,
        now_us: Callable[[], int],
        rng: random.Random,
        publish: Callable[[MembershipUpdate], None],
        load_verdicts: Callable[[], bytes | None],
        save_verdicts: Callable[[bytes], None],
        log: Logger,
        evidence_config: EvidenceConfig | None = None,
    ) -> None:
        self.config, self.reactor, self.now_us, self.publish = config, reactor, now_us, publish
        self.load_verdicts, self.save_verdicts, self.log = load_verdicts, save_verdicts, log
        name = config.member_name
        peer_addresses = {peer: address for peer, address in config.peer_addresses.items() if peer != name}
        self.membership = Membership(
            name,
            config.zone,
            config.advertised_address,
            incarnation,
            list(peer_addresses),
            rng,
            config.swim_config,
        )
        self.evidence = CallEvidence(evidence_config)
        self.zone_coordinator = ZoneCoordinator(
            self.membership, self.evidence, rng, config.zone_config, config.uses_weights
        )
        self.endpoint_filter = EndpointFilter()
        transport_config = TransportConfig(config.listen_address, config.fleet_name, name, peer_addresses)
        self.transport = FleetTransport(reactor, transport_config, self, log)
        self._bound_address: HostPort | None = None
        self._timer: Any = None
        self._started_us = 0
        self._is_ready = False  # verdicts received from the fleet, or JOIN_TIMEOUT_US elapsed
        self._saved_digest = 0
        self._is_stopped = False

    # called by the service

    def start(self) -> HostPort:
        """Listen, join the fleet and return the bound address. Raises ``CannotListenError``."""
        bound_address = self._bound_address = self.transport.start()
        if not self.config.advertised_address:
            self.membership.set_address("{}:{}".format(*bound_address))
        now_us = self._started_us = self.now_us()
        saved = self._load_saved_verdicts()
        self._perform_membership_actions(self.membership.start(now_us))
        self._perform_zone_actions(self.zone_coordinator.start(now_us, saved))
        self.reactor.callLater(JOIN_TIMEOUT_US / SECOND, self._mark_ready)
        self._schedule_wake()
        return bound_address

    def stop(self) -> None:
        """Announce the departure and close the sockets."""
        if self._is_stopped or self._bound_address is None:
            return
        self._perform_membership_actions(self.membership.leave())
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.transport.stop()

    def filter_endpoint_update(self, update: MembershipUpdate) -> MembershipUpdate:
        """Return the register's update with the endpoints of avoided zones marked as draining."""
        filtered = self.endpoint_filter.apply_update(update, self._get_zone_usage)
        if update.kind is not UpdateKind.FAILED:
            self.zone_coordinator.update_endpoints(self.endpoint_filter.list_endpoints())
            zone = self.config.zone
            if zone and self.endpoint_filter.listed_endpoints and zone not in self.zone_coordinator.paths:
                self.log.warning("zone_not_listed", zone=zone)
        return filtered

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Record the start of a call."""
        endpoint = self.endpoint_filter.listed_endpoints.get(target)
        if endpoint is not None and endpoint.zone:
            call = (message, attempt)
            self.evidence.record_call_started(self.now_us(), call, endpoint.zone, endpoint.destination)
            self._publish_if_probing()

    def attempt_finished(self, message: str, attempt: int, status: AttemptStatus) -> None:
        """Record the result of a call."""
        self.evidence.record_call_ended(self.now_us(), (message, attempt), status)
        self._publish_if_probing()

    def _publish_if_probing(self) -> None:
        if self.zone_coordinator.is_probing and not self._is_stopped:
            self._publish_endpoint_changes()

    # actions returned by membership and zone coordination

    def _perform_membership_actions(self, actions: Sequence[swim.MembershipAction]) -> None:
        for action in actions:
            match action:
                case swim.SendMessage(to, message):
                    self.transport.send(to, message)
                case swim.PushPull(peer):
                    self.transport.push_pull(peer, self._get_push_pull_state(), self._merge_push_pull_state)
                case swim.MemberChanged(update, previous):
                    self._log_member_change(update, previous)
                case swim.NameConflict(incarnation):
                    self.log.error("member_name_conflict", incarnation=incarnation)

    def _log_member_change(self, update: swim.MemberUpdate, previous: swim.MemberUpdate | None) -> None:
        log = self.log.warning if update.state is swim.MemberState.DEAD else self.log.info
        log(
            MEMBER_EVENTS[update.state],
            member=update.name,
            zone=update.zone,
            incarnation=update.incarnation,
            previous_state=previous.state.name.lower() if previous else "",
            **({"suspected_by": update.suspected_by} if update.suspected_by else {}),
        )

    def _perform_zone_actions(self, actions: Sequence[zone_messages.Action]) -> None:
        is_usage_changed = False
        for action in actions:
            match action:
                case zone_messages.SendMessage(to, message):
                    self.transport.send(to, message)
                case zone_messages.ZoneLogEvent(event, path, fields):
                    self.log.info(event, zone=path, **dict(fields))
                case zone_messages.ZoneUsageChanged():
                    is_usage_changed = True
        if is_usage_changed:
            self._publish_endpoint_changes()

    def _publish_endpoint_changes(self) -> None:
        update = self.endpoint_filter.refresh(self._get_zone_usage) if self._is_ready else None
        if update is not None:
            avoided = sum(endpoint.state is not EndpointState.READY for endpoint in update.endpoints)
            self.log.info("endpoint_list_filtered", avoided=avoided, endpoints=len(update.endpoints))
            self.publish(update)
        if (digest := self.zone_coordinator.compute_digest()) != self._saved_digest:
            self._saved_digest = digest
            self.save_verdicts(msgspec.json.encode(self.zone_coordinator.create_sync(self.now_us())))

    def _get_zone_usage(self, zone: str, destination: int) -> ZoneUsage:
        return self.zone_coordinator.get_usage(self.now_us(), zone, destination)

    def _mark_ready(self) -> None:
        if not self._is_stopped and not self._is_ready:
            self._is_ready = True
            self._publish_endpoint_changes()

    def _load_saved_verdicts(self) -> zone_messages.VerdictSync | None:
        data = self.load_verdicts()
        if data is None:
            return None
        try:
            return msgspec.json.decode(data, type=zone_messages.VerdictSync)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.log.warning("saved_verdicts_unreadable", reason=str(error))
            return None

    # called by the transport

    def local_incarnation(self) -> int:
        """Return the incarnation sent with each message."""
        return self.membership.local_member.incarnation

    def find_member(self, name: str) -> swim.MemberUpdate | None:
        """Return the current update of a remote member, or ``None`` if it is unknown."""
        record = self.membership.members.get(name)
        return record.update if record else None

    def handle_message(self, sender: str, message: DatagramMessage) -> None:
        """Dispatch a message to membership or zone coordination."""
        now_us = self.now_us()
        if isinstance(message, swim.Ping | swim.Ack | swim.IndirectPing | swim.Nack):
            self._perform_membership_actions(self.membership.handle_message(now_us, sender, message))
        else:
            self._perform_zone_actions(self.zone_coordinator.handle_message(now_us, sender, message))
        self._schedule_wake()

    def handle_push_pull(self, remote: PushPullState) -> PushPullState:
        """Merge the remote state and return the local state from before the merge."""
        local = self._get_push_pull_state()
        self._merge_push_pull_state(remote)
        return local

    def handle_operator_request(self, request: StatusQuery | SetOverride) -> OperatorReply:
        """Answer a status query, or set an override for the whole fleet."""
        if isinstance(request, SetOverride):
            try:
                self._perform_zone_actions(
                    self.zone_coordinator.set_override(
                        self.now_us(), request.path, request.eject, request.duration_us
                    )
                )
            except InvalidValueError as error:
                return OperatorReply(error=format_error(error))
            return OperatorReply(text=msgspec.json.encode(self.list_zone_status()).decode())
        is_for_members = request.topic == "members"
        rows = self.list_member_status() if is_for_members else self.list_zone_status()
        return OperatorReply(text=msgspec.json.encode(rows).decode())

    def _get_push_pull_state(self) -> PushPullState:
        return PushPullState(self.membership.member_list(), self.zone_coordinator.create_sync(self.now_us()))

    def _merge_push_pull_state(self, remote: PushPullState) -> None:
        now_us = self.now_us()
        self._perform_membership_actions(self.membership.merge_member_list(now_us, remote.updates))
        self._perform_zone_actions(self.zone_coordinator.merge_sync(now_us, remote.verdicts))
        self._mark_ready()
        self._schedule_wake()

    # timers

    def _schedule_wake(self) -> None:
        if self._is_stopped:
            return
        due_us = min(self.membership.due_us, self.zone_coordinator.due_us)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self.reactor.callLater(max(0, due_us - self.now_us()) / SECOND, self._wake)

    def _wake(self) -> None:
        now_us = self.now_us()
        self._perform_membership_actions(self.membership.wake(now_us))
        self._perform_zone_actions(self.zone_coordinator.wake(now_us))
        self._schedule_wake()

    # status

    def list_member_status(self) -> list[MemberStatusRow]:
        """Return the status of all members known to this one."""
        return list_member_status(self.now_us(), self._started_us, self.membership)

    def list_zone_status(self) -> list[ZoneStatusRow]:
        """Return the status of all zones known to this member."""
        return list_zone_status(self.now_us(), self.zone_coordinator, self.membership)

    def collect_metrics(self) -> FleetMetrics:
        """Return the values for a metrics scrape."""
        return FleetMetrics(
            members_by_state=count_members_by_state(self.membership),
            zone_statuses=count_zone_statuses(self.now_us(), self.zone_coordinator),
            retained_destinations=len(self.endpoint_filter.retained_destinations),
            datagrams_sent=self.transport.datagrams_sent,
            datagrams_received=self.transport.datagrams_received,
            bytes_sent=self.transport.bytes_sent,
            dropped_by_reason=dict(self.transport.dropped),
        )
