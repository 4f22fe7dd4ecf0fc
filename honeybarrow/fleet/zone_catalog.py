"""Zones, regions and destinations of the endpoint list. This module does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from honeybarrow.events import Endpoint, EndpointState
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.fleet.zone_paths import expand_path, is_within


@dataclass(slots=True)
class DestinationCapacity:
    """Listed capacity of a destination, and the number of its ready endpoints in each zone."""

    capacity: float = 0.0  # calls per second
    ready_by_zone: dict[str, int] = field(default_factory=dict)

    def has_endpoints_in(self, path: str) -> bool:
        """Return whether the destination has a ready endpoint in a zone or region."""
        return any(is_within(zone, path) for zone in self.ready_by_zone)

    def count_ready_in(self, path: str) -> int:
        """Return the number of ready endpoints in a zone or region."""
        return sum(count for zone, count in self.ready_by_zone.items() if is_within(zone, path))


class ZoneCatalog:
    """The zones and regions that a verdict can name, and the limit on ejected zones."""

    def __init__(self, config: ZoneConfig) -> None:
        self.config = config
        self.paths: list[str] = []  # zones and regions, each region before its zones
        self.zones: list[str] = []  # the zones among the paths, sorted by name
        self.max_ejected_zones = 1
        self._destinations: dict[int, DestinationCapacity] = {}

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Rebuild the catalog from a complete endpoint list."""
        self._destinations = {}
        zones: dict[str, None] = {}
        for endpoint in endpoints:
            destination = self._destinations.setdefault(endpoint.destination, DestinationCapacity())
            destination.capacity = max(destination.capacity, endpoint.weight)
            if endpoint.zone:
                zones[endpoint.zone] = None
            if endpoint.state is EndpointState.READY:
                destination.ready_by_zone[endpoint.zone] = destination.ready_by_zone.get(endpoint.zone, 0) + 1
        paths = dict.fromkeys(path for zone in sorted(zones) for path in expand_path(zone))
        zone_counts = {path: sum(is_within(zone, path) for zone in zones) for path in paths}
        # A region with a single zone is left out, because it equals that zone.
        self.paths = [path for path in paths if path in zones or zone_counts[path] > 1][
            : self.config.max_paths
        ]
        self.zones = [path for path in self.paths if path in zones]
        self.max_ejected_zones = self.config.max_ejected_zones or max(1, len(self.zones) // 2)

    @property
    def destinations(self) -> Mapping[int, DestinationCapacity]:
        """The listed destinations, by number."""
        return self._destinations

    def list_zones_in(self, path: str) -> list[str]:
        """Return the zones at or below a path."""
        return [zone for zone in self.zones if is_within(zone, path)]

    def list_destinations_in(self, path: str) -> list[int]:
        """Return the numbers of the destinations with ready endpoints in a zone or region."""
        return [number for number, each in self._destinations.items() if each.has_endpoints_in(path)]
