"""Actions that a Raft node returns to its caller, to be performed in the order returned."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from honeybarrow.consensus.log_entries import LogEntry, Snapshot
from honeybarrow.consensus.messages import Message


class Role(enum.Enum):
    """A member's role. A member that does not vote is a learner: it always has the role of a follower."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether the voters would elect it, without starting a new term
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to be sent to a member. The transport may lose, repeat or reorder it."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class PersistState:
    """An update of the node's state to be persisted.

    The caller persists updates in the order of ``sequence_number``, and then calls
    :meth:`RaftNode.on_persisted`. ``entries`` replace all persisted entries from ``first_index`` on; if
    ``first_index`` is 0, no entries change. ``snapshot`` replaces all entries up to its
    ``last_included_index``. ``commit_index`` may be lower than the actual commit index.
    """

    sequence_number: int
    term: int
    voted_for: str
    commit_index: int
    first_index: int = 0
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """A committed entry to be applied. Entries come in log order, each once per run of the process."""

    index: int
    entry: LogEntry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """A snapshot that replaces the state of the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """A change of the node's role or of its known leader."""

    role: Role
    leader: str
    term: int


@dataclass(frozen=True, slots=True)
class DiskRolledBack:
    """The detection of a voter whose disk was restored from an old copy.

    The disk has lost updates that the voter had acknowledged, so the message that showed it is ignored.
    """

    voter_name: str


Action = SendMessage | PersistState | ApplyEntry | RestoreSnapshot | RoleChanged | DiskRolledBack


class ProposalResult(NamedTuple):
    """The log index at which a proposed entry was appended, and the actions to perform."""

    log_index: int
    actions: list[Action]
