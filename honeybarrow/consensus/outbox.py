"""The ordered actions of a member, and messages deferred until the state that they depend on is on disk."""

from __future__ import annotations

from collections import OrderedDict

from honeybarrow.consensus.actions import Action, PersistState, SendMessage
from honeybarrow.consensus.config import MAX_DEFERRED_MESSAGES


class Outbox:
    """Collects actions, and tracks which updates of the persistent state are on disk.

    A vote or an acknowledgement of entries must not be sent before it is on disk: after a crash it would be
    lost, which can lead to two leaders in one term or to the loss of a committed entry.
    """

    def __init__(self, persisted_sequence: int, persisted_index: int) -> None:
        self.last_sequence = self.persisted_sequence = persisted_sequence
        self.persisted_index = persisted_index  # index of the last entry on disk
        self.pending_writes: OrderedDict[int, int] = OrderedDict()  # last log index by sequence number
        self.deferred: list[tuple[int, SendMessage]] = []  # each with the sequence number it waits for
        self.actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Add an action."""
        self.actions.append(action)

    def add_update(self, update: PersistState, last_index: int) -> None:
        """Add an update to be persisted. ``last_index`` is the last index of the log after it."""
        self.last_sequence = update.sequence_number
        self.pending_writes[update.sequence_number] = last_index
        self.actions.append(update)

    def add_when_persisted(self, send: SendMessage, after_sequence: int) -> None:
        """Send a message once the update ``after_sequence`` is on disk."""
        if after_sequence <= self.persisted_sequence:
            self.actions.append(send)
            return
        if len(self.deferred) >= MAX_DEFERRED_MESSAGES:
            self.deferred.pop(0)  # the protocol tolerates lost messages
        self.deferred.append((after_sequence, send))

    def mark_persisted(self, sequence_number: int) -> None:
        """Record that all updates up to this one are on disk, and send the messages deferred for them."""
        self.persisted_sequence = max(self.persisted_sequence, sequence_number)
        while self.pending_writes and next(iter(self.pending_writes)) <= sequence_number:
            self.persisted_index = max(self.persisted_index, self.pending_writes.popitem(last=False)[1])
        due = [send for after_sequence, send in self.deferred if after_sequence <= sequence_number]
        self.deferred = [pending for pending in self.deferred if pending[0] > sequence_number]
        self.actions += due

    def limit_persisted_index(self, last_index: int) -> None:
        """Lower the persisted index after entries after ``last_index`` were removed from the log.

        Pending writes of removed entries no longer count either.
        """
        self.persisted_index = min(self.persisted_index, last_index)
        for sequence_number in self.pending_writes:
            self.pending_writes[sequence_number] = min(self.pending_writes[sequence_number], last_index)

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last call."""
        actions, self.actions = self.actions, []
        return actions
