"""Messages between members of a fleet, as in the Raft paper (Ongaro and Ousterhout 2014, figures 2 and 13).

Structs are encoded as arrays on the wire, so their tags and the order of their fields are part of the format.
Messages may be lost, repeated and reordered.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from honeybarrow.consensus.config import MAX_BATCH_ENTRIES
from honeybarrow.consensus.log_entries import LogEntry, NonNegativeInt, Snapshot

INCARNATION_NONCE_BITS = 20

EntryBatch = Annotated[tuple[LogEntry, ...], Meta(max_length=MAX_BATCH_ENTRIES)]


class VoterIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The disk of a voter, its current incarnation, and how much it has persisted.

    ``incarnation`` holds the number of starts from this disk, shifted left by ``INCARNATION_NONCE_BITS``,
    plus a random number drawn at the start. ``persisted_count`` is the sequence number of the newest
    persisted update.
    """

    disk_id: NonNegativeInt
    incarnation: NonNegativeInt
    persisted_count: NonNegativeInt


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """A request for a vote, or, as a pre-vote, a query whether the vote would be granted."""

    term: NonNegativeInt
    is_pre_vote: bool
    last_log_index: NonNegativeInt
    last_log_term: NonNegativeInt
    identity: VoterIdentity


class RequestVoteReply(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """The reply to a vote request. The term of a refusal is the voter's own, which may be the later one."""

    term: NonNegativeInt
    is_pre_vote: bool
    is_granted: bool
    identity: VoterIdentity


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Entries after ``prev_log_index``; a heartbeat has none. The reply repeats ``round_number``."""

    term: NonNegativeInt
    round_number: NonNegativeInt
    prev_log_index: NonNegativeInt
    prev_log_term: NonNegativeInt
    entries: EntryBatch
    leader_commit: NonNegativeInt


class AppendEntriesReply(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """The reply to :class:`AppendEntries` or :class:`InstallSnapshot`.

    On success, the follower's entries up to ``match_index`` match the leader's and are persisted. Otherwise
    no entry after ``match_index`` can match. ``wall_clock_us`` is the follower's wall clock; the leader uses
    it to decide whether a majority of the voters considers a date past.
    """

    term: NonNegativeInt
    round_number: NonNegativeInt
    is_success: bool
    match_index: NonNegativeInt
    identity: VoterIdentity
    wall_clock_us: NonNegativeInt = 0


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """A snapshot, sent in place of entries that the leader no longer holds."""

    term: NonNegativeInt
    round_number: NonNegativeInt
    snapshot: Snapshot


class FetchCommitted(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """A request for committed entries after ``after_index``, which any member can answer."""

    after_index: NonNegativeInt


class FetchCommittedReply(msgspec.Struct, frozen=True, array_like=True, tag=37):
    """Committed entries after ``prev_log_index``.

    ``snapshot`` is set if requested entries before them were compacted.
    """

    prev_log_index: NonNegativeInt
    entries: EntryBatch
    commit_index: NonNegativeInt
    snapshot: Snapshot | None = None


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | FetchCommitted
    | FetchCommittedReply
)
