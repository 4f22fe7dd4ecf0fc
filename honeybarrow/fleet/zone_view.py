"""One member's view of a zone: its status, and whether the member sends calls there.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import enum
import itertools

from honeybarrow.fleet.rendezvous import hash_fraction
from honeybarrow.fleet.zone_catalog import ZoneCatalog
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.fleet.zone_paths import expand_path
from honeybarrow.fleet.zone_quorum import FleetQuorum
from honeybarrow.fleet.zone_recovery import ZoneProber, ZoneRecovery
from honeybarrow.fleet.zone_state import ZoneState


class ZoneStatus(enum.Enum):
    """The status of a zone for the members to which a verdict applies.

    The values are labels of metrics and part of the output of ``honeybarrow fleet zones``.
    """

    IN_USE = "in use"
    ASSESSING = "leaving"  # evidence has been requested from all members
    EJECTED = "out"
    PROBING = "trying"  # a few members send calls to it
    RECOVERING = "returning"  # members return to it one after another


class ZoneUsage(enum.Enum):
    """How this member uses a zone for one destination."""

    USED = "used"
    AVOIDED = "avoided"
    PROBED = "probed"  # the member uses no other zone for this destination


class ZoneView:
    """The effect of verdicts and overrides on this member."""

    def __init__(
        self,
        quorum: FleetQuorum,
        catalog: ZoneCatalog,
        state: ZoneState,
        prober: ZoneProber,
        config: ZoneConfig,
    ) -> None:
        self.quorum, self.catalog, self.prober, self.config = quorum, catalog, prober, config
        self.verdicts, self.overrides = state.verdicts, state.overrides

    def get_usage(self, now: int, zone: str, destination: int) -> ZoneUsage:
        """Return how this member uses a destination's endpoints in a zone."""
        paths = expand_path(zone)
        for path in reversed(paths):  # an override of the zone precedes one of its region
            override = self.overrides.find_active(now, path)
            if override is not None:
                return ZoneUsage.AVOIDED if override.eject else ZoneUsage.USED
        source_zones = ("", self.quorum.own_zone) if self.quorum.own_zone else ("",)
        found = [
            self.verdicts.find(path, source_zone)
            for path, source_zone in itertools.product(paths, source_zones)
        ]
        usages = [
            self._apply_verdict(now, recovery, destination)
            for recovery in found
            if recovery is not None and not self.verdicts.is_superseded(recovery)
        ]
        if ZoneUsage.AVOIDED in usages:
            return ZoneUsage.USED if zone in self._list_zones_over_limit(now) else ZoneUsage.AVOIDED
        return ZoneUsage.PROBED if ZoneUsage.PROBED in usages else ZoneUsage.USED

    def get_status(self, now: int, path: str, source_zone: str, is_assessed: bool) -> ZoneStatus:
        """Return the status of a path for members of ``source_zone``, or for all members if that is empty.

        ``is_assessed`` tells whether a round of requests for evidence on the path is pending.
        """
        recovery = self.verdicts.find(path, source_zone)
        if recovery is None:
            return ZoneStatus.ASSESSING if is_assessed else ZoneStatus.IN_USE
        if not recovery.verdict.is_ejected:
            if now < recovery.compute_return_us(1.0, self.config):
                return ZoneStatus.RECOVERING
            return ZoneStatus.ASSESSING if is_assessed else ZoneStatus.IN_USE
        return ZoneStatus.PROBING if recovery.is_probe_running(now) else ZoneStatus.EJECTED

    def _apply_verdict(self, now: int, recovery: ZoneRecovery, destination: int) -> ZoneUsage:
        """Return how this member uses a destination under one verdict."""
        verdict, own_name = recovery.verdict, self.quorum.own_name
        if not verdict.is_ejected:
            rank = hash_fraction("back", verdict.path, verdict.source_zone, verdict.epoch, own_name)
            has_returned = now >= recovery.compute_return_us(rank, self.config)
            return ZoneUsage.USED if has_returned else ZoneUsage.AVOIDED
        if verdict.spares(self.quorum.own_zone):
            return ZoneUsage.USED
        for partial in verdict.partial_ejections:
            if partial.destination == destination:
                stays_in_use = int(1000 * hash_fraction("part", verdict.path, own_name)) >= partial.per_mille
                return ZoneUsage.USED if stays_in_use else ZoneUsage.AVOIDED
        can_probe = self.prober.is_probing(now, recovery) and self.prober.can_send_call(now, recovery)
        return ZoneUsage.PROBED if can_probe else ZoneUsage.AVOIDED

    def _list_zones_over_limit(self, now: int) -> list[str]:
        """Return the unavailable zones that exceed ``max_ejected_zones``, so that they stay in use.

        Ejected zones take precedence over recovering ones within the limit, and then the first by name.
        """
        # Aggregators without contact, or the sides of a partition, may eject more zones than the limit
        # together. Each member that holds all their verdicts therefore applies the limit itself.
        own_zone = self.quorum.own_zone
        unavailable = [
            zone
            for zone in self.catalog.zones
            if self.verdicts.is_zone_ejected_or_recovering(now, zone, own_zone)
        ]
        unavailable.sort(key=lambda zone: not self.verdicts.is_zone_ejected(zone, own_zone))
        return unavailable[self.catalog.max_ejected_zones :]
