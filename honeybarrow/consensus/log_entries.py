"""Entries of the replicated log, its snapshot, and the log as a data structure in memory.

Structs are encoded as arrays on the wire and in files, so their tags and the order of their fields are part
of the format. Indices begin at 1; index 0 is the position before the first entry.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from honeybarrow.consensus.config import (
    MAX_BATCH_BYTES,
    MAX_BATCH_ENTRIES,
    MAX_COMMAND_BYTES,
    MAX_SNAPSHOT_BYTES,
    MAX_VOTERS,
)

ENTRY_OVERHEAD_BYTES = 256  # estimated size, in a batch, of an entry without a command

ShortText = Annotated[str, Meta(max_length=64)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=1 << 62)]


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """A voting member and the id of its disk, a random number drawn when its folder was first used."""

    name: ShortText
    disk_id: NonNegativeInt


VoterSet = Annotated[tuple[Voter, ...], Meta(max_length=MAX_VOTERS)]


class Noop(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first entry of a leader's term. Committing it commits all entries before it."""


class Command(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A command for the state machine. A repeated proposal keeps its ``proposal_id``."""

    proposal_id: ShortText
    data: Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)]


class VoterConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The voters from this entry on. It takes effect as soon as it is appended, before it is committed."""

    proposal_id: ShortText
    voters: VoterSet


EntryBody = Noop | Command | VoterConfiguration


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log. Its position in the log is its index."""

    term: NonNegativeInt
    body: EntryBody


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of the state machine after all entries up to ``last_included_index``, and the voters then."""

    last_included_index: NonNegativeInt = 0
    last_included_term: NonNegativeInt = 0
    voters: VoterSet = ()
    data: Annotated[bytes, Meta(max_length=MAX_SNAPSHOT_BYTES)] = b""


class ReplicatedLog:
    """A snapshot, the entries after it, and the voter configurations that they contain."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        self.snapshot, self.entries = snapshot, list(entries)
        self._configurations = [(snapshot.last_included_index, snapshot.voters)]
        self._add_configurations(self.first_index, self.entries)

    @property
    def first_index(self) -> int:
        """The index of the first entry after the snapshot."""
        return self.snapshot.last_included_index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.last_included_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_index) or 0

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The voters of the newest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the newest voter configuration."""
        return self._configurations[-1][0]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at this index, or ``None`` if the log does not hold it."""
        if index == self.snapshot.last_included_index:
            return self.snapshot.last_included_term
        offset = index - self.first_index
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at this index, which the log must hold."""
        return self.entries[index - self.first_index]

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """Return the voters of the newest configuration up to this index."""
        return [voters for config_index, voters in self._configurations if config_index <= index][-1]

    def get_batch(self, first_index: int, last_index: int) -> tuple[LogEntry, ...]:
        """Return as many entries, from ``first_index`` up to ``last_index``, as one message may carry."""
        batch: list[LogEntry] = []
        size_bytes = 0
        for entry in self.entries[first_index - self.first_index : last_index - self.first_index + 1]:
            size_bytes += len(entry.body.data) if isinstance(entry.body, Command) else ENTRY_OVERHEAD_BYTES
            if batch and (size_bytes > MAX_BATCH_BYTES or len(batch) >= MAX_BATCH_ENTRIES):
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[LogEntry]) -> int:
        """Add entries at the end, and return the index of the first of them."""
        first_index = self.last_index + 1
        self.entries += entries
        self._add_configurations(first_index, entries)
        return first_index

    def truncate_from(self, index: int) -> None:
        """Remove the entry at this index and all after it."""
        del self.entries[index - self.first_index :]
        remaining = [each for each in self._configurations if each[0] < index]
        self._configurations = remaining or self._configurations[:1]

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Replace the entries up to this index by a snapshot with the given state, and return it."""
        snapshot = Snapshot(index, self.term_at(index) or 0, self.voters_at(index), data)
        del self.entries[: index - self.snapshot.last_included_index]
        self._use_snapshot(snapshot, [each for each in self._configurations if each[0] > index])
        return snapshot

    def restore(self, snapshot: Snapshot) -> bool:
        """Take over another member's snapshot, and return whether the entries after it were retained.

        They are retained if the entry at the snapshot's last index has the same term here.
        """
        index = snapshot.last_included_index
        is_retained = self.term_at(index) == snapshot.last_included_term
        if is_retained:
            del self.entries[: index - self.snapshot.last_included_index]
        else:
            self.entries.clear()
        remaining = [each for each in self._configurations if each[0] > index] if self.entries else []
        self._use_snapshot(snapshot, remaining)
        return is_retained

    def _use_snapshot(self, snapshot: Snapshot, configurations: list[tuple[int, tuple[Voter, ...]]]) -> None:
        self.snapshot = snapshot
        self._configurations = [(snapshot.last_included_index, snapshot.voters), *configurations]

    def _add_configurations(self, first_index: int, entries: Sequence[LogEntry]) -> None:
        for index, entry in enumerate(entries, first_index):
            if isinstance(entry.body, VoterConfiguration):
                self._configurations.append((index, entry.body.voters))
