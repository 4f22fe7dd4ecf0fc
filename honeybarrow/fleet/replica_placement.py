"""Placement of log replicas and choice of a successor, deterministic for a given member list. No I/O.

Uses rendezvous hashing (Thaler, Ravishankar 1998): each member gets a rank per primary from the hash of both
names, and the first ones are chosen. The loss of a member moves only the replicas that it stored. Replicas
are placed outside the primary's zone and, if there are enough zones, in different zones, so that the loss of
one zone affects the primary or one replica.
"""

from __future__ import annotations

from collections.abc import Iterable

from honeybarrow.fleet.membership_messages import MemberUpdate
from honeybarrow.fleet.rendezvous import select_by_rendezvous

# The salts are part of each hash: changing one moves every replica or changes every successor.
REPLICA_SALT = "holder"
SUCCESSOR_SALT = "heir"


def choose_replicas(
    primary: MemberUpdate, members: Iterable[MemberUpdate], count: int, excluded: Iterable[str] = ()
) -> list[str]:
    """Return up to ``count`` members to store replicas of the primary's log, in order of preference.

    ``excluded`` members are never chosen, for example because they are slow or full. Members of the primary's
    zone are chosen only if no other zone has a candidate.
    """
    rejected = dict.fromkeys([primary.name, *excluded])
    zones = {member.name: member.zone for member in members if member.is_live and member.name not in rejected}
    outside_zone = [name for name, zone in zones.items() if zone != primary.zone]
    ranked = select_by_rendezvous(outside_zone or zones, len(zones), REPLICA_SALT, primary.name)
    chosen: list[str] = []
    while len(chosen) < min(count, len(ranked)):
        # Each round takes at most one member per zone.
        zones_in_round: dict[str, None] = {}
        for name in ranked:
            if name not in chosen and zones[name] not in zones_in_round and len(chosen) < count:
                zones_in_round[zones[name]] = None
                chosen.append(name)
    return chosen


def survives_any_zone_loss(
    primary: MemberUpdate, replicas: Iterable[str], members: Iterable[MemberUpdate]
) -> bool:
    """Return whether the primary or a replica survives the loss of any one zone."""
    zones = {member.name: member.zone for member in members}
    return any(zones.get(name) != primary.zone for name in replicas)


def choose_successor(
    primary: str, incarnation: int, replicas: Iterable[str], live_members: Iterable[str]
) -> str:
    """Return the live replica that takes over the log, or an empty string if none is live."""
    live = dict.fromkeys(live_members)
    candidates = [name for name in replicas if name in live]
    selected = select_by_rendezvous(candidates, 1, SUCCESSOR_SALT, primary, incarnation)
    return selected[0] if selected else ""
