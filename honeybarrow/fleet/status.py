"""Status of the fleet as reported by one member: tables for operators and values for metrics.

The encoded keys of the tables are read by scripts and must not change with the field names.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.membership_messages import MemberState, MemberUpdate
from honeybarrow.fleet.zone_coordinator import ZoneCoordinator

SECOND = 1_000_000


class MemberStatusRow(msgspec.Struct, frozen=True):
    """Status of one member as known to the reporting member."""

    name: str
    zone: str
    state: str
    since_s: float
    incarnation: int = msgspec.field(name="life")
    address: str


class ZoneStatusRow(msgspec.Struct, frozen=True):
    """Status of a zone for all members or for those of one source zone, with the counts of its verdict."""

    zone: str
    source_zone: str = msgspec.field(name="members_of")
    status: str = msgspec.field(name="stand")
    override: str = msgspec.field(name="held")  # "", "in" or "out"
    override_by: str = msgspec.field(name="held_by")
    override_remaining_s: int = msgspec.field(name="held_for_s")
    epoch: int = msgspec.field(name="number")
    since_s: float | None
    successes: int = msgspec.field(name="good")
    failures: int = msgspec.field(name="lost")
    votes: int
    known_members: int = msgspec.field(name="known")
    relapses: int
    partial_ejections: int = msgspec.field(name="in_part")


@dataclass(frozen=True, slots=True)
class ZoneStatusCount:
    """Status of one zone, as metric labels."""

    zone: str
    source_zone: str
    status: str


@dataclass(frozen=True, slots=True)
class FleetMetrics:
    """Values for a metrics scrape."""

    members_by_state: Mapping[str, int]
    zone_statuses: tuple[ZoneStatusCount, ...]
    retained_destinations: int
    datagrams_sent: int
    datagrams_received: int
    bytes_sent: int
    dropped_by_reason: Mapping[str, int]


def list_member_status(now_us: int, started_us: int, membership: Membership) -> list[MemberStatusRow]:
    """Return one row per member, sorted by name; ``started_us`` is the start time of the reporting member."""

    def make_row(update: MemberUpdate, since_us: int) -> MemberStatusRow:
        return MemberStatusRow(
            name=update.name,
            zone=update.zone,
            state=update.state.name.lower(),
            since_s=round((now_us - since_us) / SECOND, 1),
            incarnation=update.incarnation,
            address=update.address,
        )

    rows = [make_row(membership.local_member, started_us)]
    rows += [make_row(record.update, record.state_since_us) for record in membership.members.values()]
    return sorted(rows, key=lambda row: row.name)


def list_zone_status(
    now_us: int, coordinator: ZoneCoordinator, membership: Membership
) -> list[ZoneStatusRow]:
    """Return one row per zone, and one per network path with a verdict."""
    return [_zone_row(now_us, coordinator, membership, *key) for key in _zone_keys(coordinator)]


def _zone_keys(coordinator: ZoneCoordinator) -> list[tuple[str, str]]:
    return sorted(
        {**dict.fromkeys((path, "") for path in coordinator.paths), **dict.fromkeys(coordinator.recoveries)}
    )


def _zone_row(
    now_us: int, coordinator: ZoneCoordinator, membership: Membership, path: str, source_zone: str
) -> ZoneStatusRow:
    recovery = coordinator.recoveries.get((path, source_zone))
    verdict = recovery.verdict if recovery else None
    override = coordinator.get_override(now_us, path)
    remaining_us = coordinator.get_override_remaining_us(now_us, path) if override else 0
    return ZoneStatusRow(
        zone=path,
        source_zone=source_zone,
        status=coordinator.get_status(now_us, path, source_zone).value,
        override="" if override is None else "out" if override.eject else "in",
        override_by=override.set_by if override else "",
        override_remaining_s=round(remaining_us / SECOND),
        epoch=verdict.epoch if verdict else 0,
        since_s=round((now_us - recovery.decided_us) / SECOND, 1) if recovery else None,
        successes=verdict.successes if verdict else 0,
        failures=verdict.failures if verdict else 0,
        votes=verdict.votes if verdict else 0,
        known_members=verdict.voter_count if verdict else len(membership.known_members()),
        relapses=verdict.relapses if verdict else 0,
        partial_ejections=len(verdict.partial_ejections) if verdict else 0,
    )


def count_members_by_state(membership: Membership) -> dict[str, int]:
    """Return the number of members in each state, including the reporting member."""
    counts = dict.fromkeys((state.name.lower() for state in MemberState), 0)
    for update in membership.member_list():
        counts[update.state.name.lower()] += 1
    return counts


def count_zone_statuses(now_us: int, coordinator: ZoneCoordinator) -> tuple[ZoneStatusCount, ...]:
    """Return the status of each zone, as metric labels."""
    return tuple(
        ZoneStatusCount(path, source_zone, coordinator.get_status(now_us, path, source_zone).value)
        for path, source_zone in _zone_keys(coordinator)
    )
