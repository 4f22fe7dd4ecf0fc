"""Filter between the register's endpoint list and the delivery policy that drains avoided zones.

No I/O, no clock. An endpoint in an avoided zone is published as draining, and as ready once the zone is used
again. Endpoints that the register drains or removes are never published as ready.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.fleet.zone_view import ZoneUsage

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE
ZoneUsageLookup = Callable[[str, int], ZoneUsage]  # arguments: zone, destination


class EndpointFilter:
    """The register's list, with the last published state of each endpoint."""

    def __init__(self) -> None:
        self.list_version = 0
        self.listed_endpoints: dict[str, Endpoint] = {}  # by target
        self.retained_destinations: dict[int, None] = {}  # kept in use because all their zones are avoided
        self._published_states: dict[str, EndpointState] = {}  # by target
        self._targets_by_destination: dict[int, dict[str, None]] = {}

    def apply_update(self, update: MembershipUpdate, get_usage: ZoneUsageLookup) -> MembershipUpdate:
        """Apply an update of the register and return the update to publish instead."""
        if update.kind is UpdateKind.FAILED:
            return update
        self.list_version = update.version
        if update.kind is not UpdateKind.CHANGES:
            self.listed_endpoints.clear()
            self._published_states.clear()
            self._targets_by_destination.clear()
        changed_destinations: dict[int, None] = {}
        removed = []
        for endpoint in update.endpoints:
            changed_destinations[endpoint.destination] = None
            if endpoint.state is GONE:
                removed.append(endpoint)
                self._remove(endpoint)
                continue
            self.listed_endpoints[endpoint.target] = endpoint
            self._targets_by_destination.setdefault(endpoint.destination, {})[endpoint.target] = None
        # An update of one endpoint can change the state of others: if the register drains the last endpoint
        # outside an avoided zone, those inside are used again. So publish all endpoints of the destination.
        published = [
            endpoint
            for destination in changed_destinations
            for endpoint in self._filter_destination(destination, get_usage)
        ]
        for endpoint in published:
            self._published_states[endpoint.target] = endpoint.state
        return replace(update, endpoints=(*removed, *published))

    def refresh(self, get_usage: ZoneUsageLookup) -> MembershipUpdate | None:
        """Return an update for endpoints whose state changed with the zone usage, or ``None``."""
        changed = [
            endpoint
            for destination in self._targets_by_destination
            for endpoint in self._filter_destination(destination, get_usage)
            if self._published_states.get(endpoint.target) is not endpoint.state
        ]
        if not changed:
            return None
        for endpoint in changed:
            self._published_states[endpoint.target] = endpoint.state
        return MembershipUpdate(UpdateKind.CHANGES, self.list_version, tuple(changed))

    def list_endpoints(self) -> Iterable[Endpoint]:
        """Return the register's list, unfiltered."""
        return self.listed_endpoints.values()

    def get_published_state(self, target: str) -> EndpointState | None:
        """Return the last published state of an endpoint."""
        return self._published_states.get(target)

    def _filter_destination(self, destination: int, get_usage: ZoneUsageLookup) -> list[Endpoint]:
        targets = self._targets_by_destination.get(destination, ())
        endpoints = [self.listed_endpoints[target] for target in targets]
        usages = {endpoint.target: get_usage(endpoint.zone, destination) for endpoint in endpoints}
        ready = [endpoint for endpoint in endpoints if endpoint.state is READY]
        # The policy prefers endpoints that it used before, so during a probe only those of the probed zone
        # are ready.
        is_probing = any(usages[endpoint.target] is ZoneUsage.PROBED for endpoint in ready)
        wanted_usage = ZoneUsage.PROBED if is_probing else ZoneUsage.USED
        avoided = {target: usage is not wanted_usage for target, usage in usages.items()}
        # A failing zone is better than no endpoint at all, so a destination always keeps its endpoints.
        if all(avoided[endpoint.target] for endpoint in ready):
            if ready:
                self.retained_destinations[destination] = None
            return endpoints
        self.retained_destinations.pop(destination, None)
        return [
            replace(endpoint, state=DRAINING)
            if endpoint.state is READY and avoided[endpoint.target]
            else endpoint
            for endpoint in endpoints
        ]

    def _remove(self, endpoint: Endpoint) -> None:
        known = self.listed_endpoints.pop(endpoint.target, None)
        self._published_states.pop(endpoint.target, None)
        if known is None:
            return
        targets = self._targets_by_destination[known.destination]
        targets.pop(endpoint.target, None)
        if not targets:
            del self._targets_by_destination[known.destination]
            self.retained_destinations.pop(known.destination, None)
