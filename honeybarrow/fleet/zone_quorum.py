"""Selection of the members that count towards a majority and of the aggregators of evidence."""

from __future__ import annotations

from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.rendezvous import select_by_rendezvous
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.fleet.zone_paths import is_within


class FleetQuorum:
    """Members of the fleet, in the form that decisions on zones need."""

    def __init__(self, membership: Membership, config: ZoneConfig) -> None:
        self.membership, self.config = membership, config
        self._seen_members: dict[str, None] = {}  # names, in the order of first sight

    @property
    def own_name(self) -> str:
        """This member's name."""
        return self.membership.local_member.name

    @property
    def own_zone(self) -> str:
        """This member's zone; empty if it has none."""
        return self.membership.local_member.zone

    @property
    def own_incarnation(self) -> int:
        """This member's incarnation number."""
        return self.membership.local_member.incarnation

    @property
    def has_joined(self) -> bool:
        """Whether another member has sent its list of members."""
        return self.membership.has_joined

    def observe_members(self) -> None:
        """Record all members of the current list as seen, up to ``max_members``."""
        for update in self.membership.member_list():
            if len(self._seen_members) < self.membership.config.max_members:
                self._seen_members[update.name] = None

    def has_seen(self, name: str) -> bool:
        """Return whether a member was ever in the list of members."""
        return name in self._seen_members

    def is_member(self, name: str) -> bool:
        """Return whether a name belongs to this member or to one in its list."""
        return name == self.own_name or name in self.membership.members

    def list_configured_peers(self) -> tuple[str, ...]:
        """Return the peers that the settings name, without this member."""
        return self.membership.peers

    def list_live_members(self) -> list[str]:
        """Return the names of the members believed alive, including this one."""
        return [update.name for update in self.membership.live_members()]

    def map_live_members_to_zones(self) -> dict[str, str]:
        """Return the zone of each member believed alive."""
        return {update.name: update.zone for update in self.membership.live_members()}

    def map_members_to_zones(self) -> dict[str, str]:
        """Return the zone of each known member, reachable or not."""
        return {update.name: update.zone for update in self.membership.known_members()}

    def list_voters(self, source_zone: str) -> list[str]:
        """Return the members of whom a majority has to answer, reachable or not.

        These are all known members, or those of ``source_zone`` if it is not empty, and the configured peers
        that were never seen.
        """
        voters = {
            update.name: None
            for update in self.membership.known_members()
            if not source_zone or update.zone == source_zone
        }
        # Without these peers, a member that has just started and knows no other would be a majority alone.
        voters.update((name, None) for name in self.membership.peers if name not in self._seen_members)
        return list(voters)

    def list_member_zones_outside(self, path: str) -> list[str]:
        """Return the zones of known members outside of a path, or ``[""]`` if there are none."""
        zones = dict.fromkeys(update.zone for update in self.membership.known_members())
        return [zone for zone in zones if not is_within(zone, path)] or [""]

    def select_aggregators(self) -> list[str]:
        """Return the aggregators in order: a few live members, of different zones if possible."""
        # All paths share the same aggregators. With separate ones for each zone, two of them could each eject
        # a zone at the same time and exceed max_ejected_zones together.
        zones = self.map_live_members_to_zones()
        order = select_by_rendezvous(zones, len(zones), "counter")
        first_of_each_zone = list({zones[name]: name for name in reversed(order)}.values())[::-1]
        others = [name for name in order if name not in first_of_each_zone]
        return [*first_of_each_zone, *others][: self.config.aggregator_count]
