"""Fleet membership: SWIM with the Lifeguard extensions, as a state machine without I/O or clock.

In each protocol period a member probes one other member. If the target does not answer, a few other members
probe it indirectly; if none of them gets an answer, the target is suspected. A suspect is declared dead
unless it refutes the suspicion before the timeout. Updates are piggybacked on probes and acks, with a bounded
number per message, so the traffic of a member is independent of the fleet size. Members periodically exchange
full member lists (push-pull), which also merges a fleet that was partitioned.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018). Differences: a
member has an incarnation per process in addition to its refutation count, which distinguishes a restarted
process from its predecessor under the same name; and a process that was paused discards its pending probes,
because it had no time to read the answers.

Times are microseconds of the caller's monotonic clock. Members are identified by name; the transport resolves
names, and ``address`` is passed through unparsed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from msgspec.structs import replace

from honeybarrow.errors import InvalidValueError
from honeybarrow.fleet.failure_detector import FailureDetector
from honeybarrow.fleet.member_table import NEVER_US, ActionQueue, LocalHealth, MemberRecord, MemberTable
from honeybarrow.fleet.membership_messages import (
    Ack,
    IndirectPing,
    MembershipAction,
    MemberState,
    MemberUpdate,
    Nack,
    Ping,
    PushPull,
    SwimMessage,
)
from honeybarrow.fleet.swim_config import SwimConfig


class Membership:
    """The fleet as seen by one member.

    The caller passes in messages and the current time, performs the returned actions in order, and calls
    :meth:`wake` at ``due_us``. Raises ``InvalidValueError`` if ``peers`` has duplicates or includes ``name``.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        incarnation: int,
        peers: Sequence[str],
        rng: random.Random,
        config: SwimConfig | None = None,
    ) -> None:
        if name in peers or len({peer: None for peer in peers}) != len(peers):
            raise InvalidValueError(
                f"peers {list(peers)} must be distinct and must not include this member, {name!r}"
            )
        self.config = config or SwimConfig()
        self.peers, self.rng = tuple(peers), rng
        self.has_left = False
        self._actions = ActionQueue()
        self._health = LocalHealth(self.config.max_local_health)
        local_member = MemberUpdate(name, MemberState.ALIVE, incarnation, 0, zone, address)
        self._table = MemberTable(local_member, self.config, self._health, self._actions)
        self._detector = FailureDetector(self._table, self.config, self._health, rng, self._actions)
        self._next_period_us = self._next_push_pull_us = NEVER_US
        # Doubles after each push-pull, up to the configured interval.
        self._push_pull_gap_us = min(self.config.push_pull_interval_us, 2 * self.config.protocol_period_us)
        self._has_joined = False

    # queries

    @property
    def local_member(self) -> MemberUpdate:
        """The update that this member announces about itself."""
        return self._table.local_member

    @property
    def members(self) -> dict[str, MemberRecord]:
        """The other members by name."""
        return self._table.records

    @property
    def local_health(self) -> int:
        """Lifeguard's local health score; 0 is healthy."""
        return self._health.value

    @property
    def dropped_updates(self) -> int:
        """Number of updates dropped because the member table was full."""
        return self._table.dropped_updates

    @property
    def has_joined(self) -> bool:
        """Whether another member has sent its member list."""
        return self._has_joined

    def member_list(self) -> tuple[MemberUpdate, ...]:
        """Return the updates of all members, this one first: one side of a push-pull exchange."""
        return self._table.member_list()

    def live_members(self) -> list[MemberUpdate]:
        """Return the members that are alive or suspected, including this one unless it has left."""
        return [update for update in self.member_list() if update.is_live]

    def known_members(self) -> list[MemberUpdate]:
        """Return the members that have not left, dead ones included: the basis for a majority."""
        return [update for update in self.member_list() if update.state is not MemberState.LEFT]

    @property
    def due_us(self) -> int:
        """Time of the next call of :meth:`wake`, if no event comes first."""
        if self.has_left:
            return NEVER_US
        return min(self._next_period_us, self._next_push_pull_us, self._detector.due_us, self._table.due_us)

    # events

    def set_address(self, address: str) -> None:
        """Set the address to announce; call before :meth:`start`."""
        self._table.local_member = replace(self._table.local_member, address=address)

    def start(self, now_us: int) -> list[MembershipAction]:
        """Start probing, and request member lists from the configured peers until one answers."""
        self._next_period_us = now_us + int(self.config.protocol_period_us * self.rng.random())
        self._next_push_pull_us = now_us
        return self._actions.take()

    def leave(self) -> list[MembershipAction]:
        """Announce the departure to a few members, which gossip it to the others."""
        self._table.leave()
        for name in self._detector.sample(self._table.live_names(), self.config.indirect_ping_count * 2):
            self._detector.ping(name)
        self.has_left = True
        return self._actions.take()

    def wake(self, now_us: int) -> list[MembershipAction]:
        """Run what is due, in this order: probe timeouts, expired suspicions, push-pull, next probe."""
        if self.has_left or now_us < self.due_us:
            return []
        late_us = now_us - self.due_us
        if late_us > self.config.protocol_period_us:
            self._recover_from_pause(now_us, late_us)
        self._detector.handle_timeouts(now_us)
        self._table.declare_dead(now_us)
        if self._next_push_pull_us <= now_us:
            self._start_push_pull(now_us)
        if self._next_period_us <= now_us:
            self._table.forget_left_members(now_us)
            self._next_period_us = now_us + self.config.protocol_period_us * self._health.multiplier
            self._detector.probe_next_member(now_us)
        return self._actions.take()

    def handle_message(self, now_us: int, sender: str, message: SwimMessage) -> list[MembershipAction]:
        """Handle a message. Unknown senders are answered too, as they may know this member from others."""
        if self.has_left:
            return []
        for update in message.updates[: self.config.max_updates_per_message]:
            self._table.apply_update(now_us, update)
        match message:
            case Ping(sequence_number):
                self._detector.send(sender, Ack(sequence_number, self._table.updates_for(sender)))
            case IndirectPing(sequence_number, target):
                self._detector.probe_for(now_us, sender, sequence_number, target)
            case Ack(sequence_number):
                self._detector.handle_ack(sequence_number)
            case Nack(sequence_number):
                self._detector.handle_nack(sender, sequence_number)
        return self._actions.take()

    def merge_member_list(self, now_us: int, updates: Iterable[MemberUpdate]) -> list[MembershipAction]:
        """Merge the remote member list of a push-pull exchange that either side started."""
        self._has_joined = True
        for update in updates:
            self._table.apply_update(now_us, update)
        return self._actions.take()

    # timers

    def _recover_from_pause(self, now_us: int, late_us: int) -> None:
        # After a pause, answers are still unread in the socket and every probe would time out. Discard the
        # pending probes, and extend suspicions by the time in which no refutation could be received.
        self._health.degrade()
        self._detector.forget_probes()
        self._table.extend_suspicions(late_us + self.config.protocol_period_us)
        self._next_period_us = max(self._next_period_us, now_us + self.config.ping_timeout_us)

    def _start_push_pull(self, now_us: int) -> None:
        if not self._has_joined:
            delay_us = int(self.config.protocol_period_us * self.rng.uniform(1, 2))
            self._next_push_pull_us = now_us + delay_us
            self._push_pull_with_random_member(list(self.peers))
            return
        # When many members start at once, the first exchange may be with a peer that knows no other member,
        # so the first few exchanges follow each other at short intervals.
        self._next_push_pull_us = now_us + int(self._push_pull_gap_us * self.rng.uniform(0.75, 1.25))
        self._push_pull_gap_us = min(self.config.push_pull_interval_us, self._push_pull_gap_us * 2)
        # After a partition, each side considers the other dead and stops probing it. Push-pull with
        # configured peers that are not live lets the two sides merge again.
        unreachable_peers = [name for name in self.peers if not self._table.is_live(name)]
        candidates = (
            unreachable_peers if unreachable_peers and self.rng.random() < 0.5 else self._table.live_names()
        )
        self._push_pull_with_random_member(candidates or unreachable_peers)

    def _push_pull_with_random_member(self, names: list[str]) -> None:
        for name in self._detector.sample(names, 1):
            self._actions.put(PushPull(name))
