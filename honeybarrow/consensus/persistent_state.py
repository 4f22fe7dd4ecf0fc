"""The state that a member keeps on disk: term, vote, entries and snapshot (Raft paper, figure 2)."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeybarrow.consensus.actions import PersistState
from honeybarrow.consensus.log_entries import LogEntry, Snapshot


@dataclass(slots=True)
class PersistentState:
    """The state on disk after all updates up to ``sequence_number``."""

    term: int = 0
    voted_for: str = ""
    commit_index: int = 0
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[LogEntry] = field(default_factory=list)
    sequence_number: int = 0  # number of the last update

    def apply_update(self, update: PersistState) -> None:
        """Apply one more update."""
        self.term, self.voted_for = update.term, update.voted_for
        self.commit_index, self.sequence_number = update.commit_index, update.sequence_number
        if update.snapshot is not None:
            removed = update.snapshot.last_included_index - self.snapshot.last_included_index
            del self.entries[: max(0, removed)]
            self.snapshot = update.snapshot
        if update.first_index:
            del self.entries[update.first_index - self.snapshot.last_included_index - 1 :]
            self.entries += update.entries

    def to_single_update(self) -> PersistState:
        """Return a single update that contains the whole state."""
        return PersistState(
            self.sequence_number,
            self.term,
            self.voted_for,
            self.commit_index,
            self.snapshot.last_included_index + 1,
            tuple(self.entries),
            self.snapshot,
        )

    def copy(self) -> PersistentState:
        """Return a copy that can be updated independently."""
        return PersistentState(
            self.term,
            self.voted_for,
            self.commit_index,
            self.snapshot,
            list(self.entries),
            self.sequence_number,
        )
