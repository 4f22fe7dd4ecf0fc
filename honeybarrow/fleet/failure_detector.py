"""SWIM failure detector: probes one member per protocol period, first directly, then through helpers.

No I/O and no clock: times are microseconds of the caller's monotonic clock. Messages to send go to the
caller's :class:`ActionQueue`, suspicions to the :class:`MemberTable`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from honeybarrow.fleet.member_table import NEVER_US, ActionQueue, LocalHealth, MemberTable
from honeybarrow.fleet.membership_messages import Ack, IndirectPing, Nack, Ping, SendMessage, SwimMessage
from honeybarrow.fleet.swim_config import SwimConfig


@dataclass(slots=True)
class PendingProbe:
    """An unanswered probe, started by this member or on behalf of ``requester``."""

    target: str
    due_us: int
    requester_sequence_number: int = 0
    requester: str = ""
    is_indirect: bool = False  # helpers were asked to probe the target
    silent_helpers: dict[str, None] = field(default_factory=dict)  # helpers without an ack or nack


class FailureDetector:
    """Probes members in shuffled rounds; suspects those that answer neither directly nor through helpers."""

    def __init__(
        self,
        table: MemberTable,
        config: SwimConfig,
        health: LocalHealth,
        rng: random.Random,
        actions: ActionQueue,
    ) -> None:
        self.table, self.config, self.health, self.rng, self._actions = table, config, health, rng, actions
        self._pending: dict[int, PendingProbe] = {}  # by sequence number
        self._probe_order: list[str] = []  # reshuffled after each round
        self._last_sequence_number = 0

    @property
    def due_us(self) -> int:
        """Time at which the next probe times out."""
        return min((probe.due_us for probe in self._pending.values()), default=NEVER_US)

    def ping(self, name: str) -> int:
        """Send a direct probe and return its sequence number."""
        self._last_sequence_number += 1
        number = self._last_sequence_number
        self.send(name, Ping(number, self.table.updates_for(name)))
        return number

    def probe_next_member(self, now_us: int) -> None:
        """Probe the next live member of the current round, if any."""
        while True:
            if not self._probe_order:
                self._probe_order = self.table.live_names()
                self.rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return
            name = self._probe_order.pop()
            if self.table.is_live(name):
                break
        due_us = now_us + self.config.ping_timeout_us * self.health.multiplier
        self._pending[self.ping(name)] = PendingProbe(name, due_us)

    def probe_for(self, now_us: int, requester: str, sequence_number: int, target: str) -> None:
        """Probe ``target`` on behalf of ``requester``."""
        # Pending requests are bounded, so that unknown senders can't exhaust memory.
        if target not in self.table.records or len(self._pending) >= self.config.max_members:
            return
        due_us = now_us + self.config.ping_timeout_us
        self._pending[self.ping(target)] = PendingProbe(target, due_us, sequence_number, requester)

    def handle_ack(self, sequence_number: int) -> None:
        """Complete a pending probe, and relay the ack to its requester; unknown acks are ignored."""
        probe = self._pending.pop(sequence_number, None)
        if probe is None:
            return
        if probe.requester:
            ack = Ack(probe.requester_sequence_number, self.table.updates_for(probe.requester))
            self.send(probe.requester, ack)
        else:
            self.health.improve()

    def handle_nack(self, sender: str, sequence_number: int) -> None:
        """Record that a helper is alive although it got no answer from the target."""
        if (probe := self._pending.get(sequence_number)) is not None:
            probe.silent_helpers.pop(sender, None)

    def handle_timeouts(self, now_us: int) -> None:
        """Escalate each probe that has timed out: ask helpers, then suspect the target."""
        for number, probe in [each for each in self._pending.items() if each[1].due_us <= now_us]:
            self._handle_timeout(now_us, number, probe)

    def _handle_timeout(self, now_us: int, number: int, probe: PendingProbe) -> None:
        if probe.requester:
            del self._pending[number]
            nack = Nack(probe.requester_sequence_number, self.table.updates_for(probe.requester))
            self.send(probe.requester, nack)
            return
        if not probe.is_indirect and self._ask_helpers(now_us, number, probe):
            return
        del self._pending[number]
        # A disconnected member would suspect all others. Live helpers send at least a nack, so each missing
        # nack indicates a local fault and lengthens the local timeouts.
        self.health.degrade(1 + len(probe.silent_helpers))
        record = self.table.records.get(probe.target)
        if record is not None and record.update.is_live:
            self.table.suspect(now_us, record, self.table.local_member.name)

    def _ask_helpers(self, now_us: int, number: int, probe: PendingProbe) -> bool:
        """Send indirect pings through other live members; return whether there are any."""
        candidates = [name for name in self.table.live_names() if name != probe.target]
        helpers = self.sample(candidates, self.config.indirect_ping_count)
        probe.is_indirect, probe.silent_helpers = True, dict.fromkeys(helpers)
        remaining_us = self.config.protocol_period_us - self.config.ping_timeout_us
        probe.due_us = now_us + remaining_us * self.health.multiplier
        for name in helpers:
            self.send(name, IndirectPing(number, probe.target, self.table.updates_for(name)))
        return bool(helpers)

    def forget_probes(self) -> None:
        """Discard all pending probes without suspecting their targets."""
        self._pending.clear()

    def sample(self, names: list[str], maximum: int) -> list[str]:
        """Return a random sample of up to ``maximum`` names."""
        return self.rng.sample(names, min(maximum, len(names)))

    def send(self, to: str, message: SwimMessage) -> None:
        """Queue a message for sending."""
        self._actions.put(SendMessage(to, message))
