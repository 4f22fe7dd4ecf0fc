"""Table of the known fleet members: merges updates, tracks suspicions and selects updates to gossip.

No I/O and no clock: times are microseconds of the caller's monotonic clock. Changes are reported as actions
in the caller's :class:`ActionQueue`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from msgspec.structs import replace

from honeybarrow.fleet.membership_messages import (
    MemberChanged,
    MembershipAction,
    MemberState,
    MemberUpdate,
    NameConflict,
)
from honeybarrow.fleet.swim_config import SECOND, SwimConfig

NEVER_US = 1 << 62
INCARNATION_BUMP_WINDOW_US = 60 * SECOND


class ActionQueue:
    """FIFO queue of actions for the caller."""

    def __init__(self) -> None:
        self._actions: list[MembershipAction] = []

    def put(self, action: MembershipAction) -> None:
        """Append an action."""
        self._actions.append(action)

    def take(self) -> list[MembershipAction]:
        """Return and remove all queued actions."""
        actions, self._actions = self._actions, []
        return actions


class LocalHealth:
    """Lifeguard's local health score, from 0 (healthy) to ``maximum``."""

    def __init__(self, maximum: int) -> None:
        self.maximum, self.value = maximum, 0

    @property
    def multiplier(self) -> int:
        """Factor applied to timeouts and the protocol period."""
        return 1 + self.value

    def degrade(self, amount: int = 1) -> None:
        """Record evidence that this member itself is slow or disconnected."""
        self.value = min(self.maximum, self.value + amount)

    def improve(self) -> None:
        """Record an answered probe."""
        self.value = max(0, self.value - 1)


class GossipQueue:
    """Members whose updates are pending for gossip, with the number of transmissions of each."""

    def __init__(self, name: str) -> None:
        self._transmissions = {name: 0}

    def enqueue(self, name: str) -> None:
        """Add a member, or reset its transmission count."""
        self._transmissions[name] = 0

    def discard(self, name: str) -> None:
        """Remove a member."""
        self._transmissions.pop(name, None)

    def clear(self) -> None:
        """Remove all members."""
        self._transmissions.clear()

    def in_order(self) -> list[str]:
        """Return the names by ascending transmission count, then by name."""
        return sorted(self._transmissions, key=lambda name: (self._transmissions[name], name))

    def record_transmission(self, name: str, max_transmissions: int) -> None:
        """Count a transmission, and remove the member once it reaches ``max_transmissions``."""
        self._transmissions[name] += 1
        if self._transmissions[name] >= max_transmissions:
            del self._transmissions[name]


@dataclass(slots=True)
class MemberRecord:
    """State of one remote member: its current update, the time of that update, and its suspicion."""

    update: MemberUpdate
    state_since_us: int
    suspicion_deadline_us: int = NEVER_US
    suspected_at_us: int = 0
    suspecting_members: dict[str, None] = field(default_factory=dict)


def compute_suspicion_timeout_us(
    config: SwimConfig, member_count: int, confirmations: int, expected_confirmations: int
) -> int:
    """Return the suspicion timeout, which shrinks with each independent confirmation (Lifeguard)."""
    minimum = config.suspicion_multiplier * max(1.0, math.log10(member_count + 1)) * config.protocol_period_us
    maximum = minimum * config.max_suspicion_multiplier
    shrunk = maximum - (maximum - minimum) * math.log(confirmations + 1) / math.log(
        expected_confirmations + 1
    )
    return int(max(minimum, shrunk))


class MemberTable:
    """The local member and all remote members known to it."""

    def __init__(
        self, local_member: MemberUpdate, config: SwimConfig, health: LocalHealth, actions: ActionQueue
    ) -> None:
        self.local_member, self.config = local_member, config
        self.records: dict[str, MemberRecord] = {}
        self.dropped_updates = 0  # updates of members beyond max_members
        self._health, self._actions = health, actions
        self._gossip = GossipQueue(local_member.name)
        self._incarnation_bumps_us: list[int] = []

    # queries

    def member_list(self) -> tuple[MemberUpdate, ...]:
        """Return the updates of all members, the local one first."""
        return (self.local_member, *(record.update for record in self.records.values()))

    def live_names(self) -> list[str]:
        """Return the names of the remote members that are alive or suspected."""
        return [name for name, record in self.records.items() if record.update.is_live]

    def is_live(self, name: str) -> bool:
        """Return whether ``name`` is a remote member that is alive or suspected."""
        return name in self.records and self.records[name].update.is_live

    @property
    def due_us(self) -> int:
        """Time at which the next suspicion expires."""
        return min((record.suspicion_deadline_us for record in self.records.values()), default=NEVER_US)

    # changes

    def apply_update(self, now_us: int, update: MemberUpdate) -> None:
        """Merge an update; an outdated update has no effect."""
        if update.name == self.local_member.name:
            self._refute(now_us, update)
            return
        record = self.records.get(update.name)
        if record is None:
            self._add(now_us, update)
            return
        known = record.update
        is_same_version = (update.incarnation, update.refutations) == (known.incarnation, known.refutations)
        if update.state is MemberState.SUSPECT and known.state is MemberState.SUSPECT and is_same_version:
            self.suspect(now_us, record, update.suspected_by)
        elif update.supersedes(known):
            self._replace(now_us, record, update)
            record.suspicion_deadline_us = NEVER_US
            if update.state is MemberState.SUSPECT:
                self.suspect(now_us, record, update.suspected_by)

    def _add(self, now_us: int, update: MemberUpdate) -> None:
        if len(self.records) >= self.config.max_members:
            self.dropped_updates += 1
            return
        if update.state is MemberState.LEFT:
            return  # adding it would let stale updates keep a departed member in the table forever
        record = self.records[update.name] = MemberRecord(update, now_us)
        self._gossip.enqueue(update.name)
        self._actions.put(MemberChanged(update, None))
        if update.state is MemberState.SUSPECT:
            self.suspect(now_us, record, update.suspected_by)

    def _replace(self, now_us: int, record: MemberRecord, update: MemberUpdate) -> None:
        previous, record.update, record.state_since_us = record.update, update, now_us
        record.suspecting_members.clear()
        self._gossip.enqueue(update.name)
        self._actions.put(MemberChanged(update, previous))

    def suspect(self, now_us: int, record: MemberRecord, suspected_by: str) -> None:
        """Suspect a member or confirm an existing suspicion; each confirmation shortens its timeout."""
        if record.update.state is not MemberState.SUSPECT:
            suspect = replace(record.update, state=MemberState.SUSPECT, suspected_by=suspected_by)
            self._replace(now_us, record, suspect)
        if not record.suspecting_members:
            record.suspected_at_us = now_us
        expected = max(1, min(self.config.indirect_ping_count, len(self.records) - 1))
        if suspected_by not in record.suspecting_members and len(record.suspecting_members) <= expected:
            record.suspecting_members[suspected_by] = None
            if len(record.suspecting_members) > 1:
                self._gossip.enqueue(record.update.name)  # gossip the confirmation
        confirmations = len(record.suspecting_members) - 1  # the first suspicion is not a confirmation
        timeout_us = compute_suspicion_timeout_us(self.config, len(self.records), confirmations, expected)
        record.suspicion_deadline_us = record.suspected_at_us + timeout_us

    def declare_dead(self, now_us: int) -> None:
        """Declare dead the suspects whose timeout has expired."""
        for record in [each for each in self.records.values() if each.suspicion_deadline_us <= now_us]:
            dead = replace(record.update, state=MemberState.DEAD, suspected_by="")
            self.apply_update(now_us, dead)

    def extend_suspicions(self, extra_us: int) -> None:
        """Postpone the deadline of each suspicion by ``extra_us``."""
        for record in self.records.values():
            if record.suspicion_deadline_us < NEVER_US:
                record.suspicion_deadline_us += extra_us

    def leave(self) -> None:
        """Mark the local member as left and stop gossiping other updates."""
        self.local_member = replace(self.local_member, state=MemberState.LEFT)
        self._gossip.clear()
        self._gossip.enqueue(self.local_member.name)

    def forget_left_members(self, now_us: int) -> None:
        """Remove members that left more than ``left_retention_us`` ago."""
        expired = [
            name
            for name, record in self.records.items()
            if record.update.state is MemberState.LEFT
            and record.state_since_us < now_us - self.config.left_retention_us
        ]
        for name in expired:
            del self.records[name]
            self._gossip.discard(name)

    def _refute(self, now_us: int, update: MemberUpdate) -> None:
        """Supersede an incorrect update about the local member."""
        local = self.local_member
        if update.incarnation > local.incarnation:
            # A previous process of this name had a later incarnation: its clock was ahead, or it is running.
            window_start_us = now_us - INCARNATION_BUMP_WINDOW_US
            recent = [at_us for at_us in self._incarnation_bumps_us if at_us > window_start_us]
            self._incarnation_bumps_us = [*recent[: self.config.max_incarnation_bumps], now_us]
            if len(self._incarnation_bumps_us) > self.config.max_incarnation_bumps:
                self._actions.put(NameConflict(update.incarnation))
                return
            self.local_member = replace(local, incarnation=update.incarnation + 1, refutations=0)
        elif (
            update.incarnation == local.incarnation
            and update.state is not MemberState.ALIVE
            and update.refutations >= local.refutations
        ):
            self.local_member = replace(local, refutations=update.refutations + 1)
            self._health.degrade()
        else:
            return
        self._gossip.enqueue(local.name)

    # gossip

    def updates_for(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Return the updates to piggyback: one for the receiver to refute, then the least transmitted."""
        selected: list[MemberUpdate] = []
        record = self.records.get(receiver)
        if record is not None and record.update.state is not MemberState.ALIVE:
            selected.append(record.update)  # lets the receiver refute immediately
        max_transmissions = math.ceil(self.config.retransmit_multiplier * math.log2(len(self.records) + 2))
        for name in self._gossip.in_order():
            if len(selected) >= self.config.max_updates_per_message:
                break
            is_local = name == self.local_member.name
            update = self.local_member if is_local else self.records[name].update
            if update not in selected:
                selected.append(update)
            self._gossip.record_transmission(name, max_transmissions)
        return tuple(selected)
