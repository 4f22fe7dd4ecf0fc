"""Replication of one incarnation's log: append, acknowledge, fence, fail over. No I/O, no clock.

Three roles exchange messages that may be lost, duplicated or reordered. The *primary* appends records and
tracks which of them a quorum of replicas has stored. A *replica* stores records in order and acknowledges
them. A *successor* runs a failover: it fences the log, so that replicas reject further records from the
primary or an earlier successor. Once enough replicas are fenced that the remaining ones can't form an ack
quorum, the successor has read every record that the primary may have committed. It stores these records on a
quorum again before it acts on them.

Sources: BookKeeper (ledgers, ensembles with an ack quorum, fencing, and rewriting the tail during recovery;
Junqueira, Kelly, Reed 2013) and Viewstamped Replication (Liskov, Cowling 2012: a replica that lost its disk
is a different one until it has caught up). Write permission does not depend on clocks.

With ``n`` replicas and an ack quorum of ``a``, ``n - a`` replicas can lose their disks without losing a
committed record, and a failover needs ``n - a + 1`` replies. The ensemble of a log is fixed.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from honeybarrow.errors import InvalidValueError


class LogId(NamedTuple):
    """Identity of a log: its primary and the primary's incarnation."""

    primary: str
    incarnation: int


class ReplicaId(NamedTuple):
    """Identity of a replica: its name and the incarnation of its disk."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LogDescription:
    """Description of a log: its primary, the primary's incarnation, its replicas and the ack quorum.

    A replica that lost its disk has lost acknowledged records and accepted fences; if it still counted as the
    same replica, it could acknowledge records of a fenced primary. The incarnation of its disk is therefore
    part of its identity.

    Raises ``ValueError`` for duplicate replicas, a primary among them, or an unsafe ack quorum.
    """

    primary: str
    incarnation: int
    replicas: tuple[ReplicaId, ...]
    ack_quorum: int

    def __post_init__(self) -> None:
        if len(dict.fromkeys(self.replica_names)) < len(self.replicas) or self.primary in self.replica_names:
            raise InvalidValueError(
                f"replicas {self.replica_names} must be distinct and must not include the primary "
                f"{self.primary!r}"
            )
        if not 0 < self.ack_quorum <= len(self.replicas):
            raise InvalidValueError(
                f"ack_quorum is {self.ack_quorum}, but must be between 1 and the number of replicas, "
                f"{len(self.replicas)}"
            )
        if 2 * self.ack_quorum <= len(self.replicas):
            # Disjoint quorums could store different records under the same index.
            raise InvalidValueError(
                f"ack_quorum is {self.ack_quorum}, but must be more than half of the {len(self.replicas)} "
                "replicas"
            )

    @property
    def replica_names(self) -> tuple[str, ...]:
        """Names of the replicas, without disk incarnations."""
        return tuple(name for name, _ in self.replicas)

    def includes(self, replica: str, incarnation: int) -> bool:
        """Return whether the log has this replica with this disk incarnation."""
        return (replica, incarnation) in self.replicas

    @property
    def recovery_quorum(self) -> int:
        """Number of fenced replicas after which the others can't form an ack quorum."""
        return len(self.replicas) - self.ack_quorum + 1

    @property
    def log_id(self) -> LogId:
        """Identity of the log in replies."""
        return LogId(self.primary, self.incarnation)


# --- messages --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Request to store records from ``first_index`` on; those below ``low_water_mark`` may be deleted."""

    log: LogDescription
    term: int
    first_index: int
    records: tuple[bytes, ...]
    low_water_mark: int = 0


@dataclass(frozen=True, slots=True)
class AppendAck:
    """Acknowledgement: this incarnation of the replica stores all records below ``end_index``."""

    log_id: LogId
    term: int
    end_index: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """Rejection: the log is fenced at the higher ``term``, or the replica ``is_unavailable``.

    A replica is unavailable when it has no capacity left or is no longer the incarnation that the log names.
    """

    log_id: LogId
    term: int
    is_unavailable: bool = False


@dataclass(frozen=True, slots=True)
class FenceRequest:
    """Request to reject all requests of lower terms and to reply with the stored records."""

    log: LogDescription
    term: int


@dataclass(frozen=True, slots=True)
class FenceReply:
    """Reply of a fenced replica with its records from ``low_water_mark`` on.

    ``last_append_term`` is the term in which they were last written.
    """

    log_id: LogId
    term: int
    low_water_mark: int
    records: tuple[bytes, ...]
    last_append_term: int
    incarnation: int


Message = AppendRecords | AppendAck | RequestRejected | FenceRequest | FenceReply


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Action: send a message to a member, without delivery guarantee."""

    recipient: str
    message: Message


# --- the primary -----------------------------------------------------------------------------------


class PrimaryState(enum.Enum):
    """Whether the primary may write to its log."""

    OPEN = "open"
    FENCED = "fenced"  # a successor has taken over; no new work may be accepted or started


@dataclass(slots=True)
class _ReplicaProgress:
    """Acknowledged progress of one replica."""

    acked_end_index: int = 0
    is_unavailable: bool = False  # needs to be replaced


class Primary:
    """Writer of a log, which appends records and tracks which are committed; successors use it in their term.

    ``append`` raises once ``max_uncommitted_records`` records are not yet stored by a quorum.
    """

    def __init__(
        self,
        log: LogDescription,
        term: int = 0,
        low_water_mark: int = 0,
        max_uncommitted_records: int = 1000,
    ) -> None:
        self.log, self.term, self.max_uncommitted_records = log, term, max_uncommitted_records
        self.state = PrimaryState.OPEN
        self.low_water_mark = low_water_mark  # records below this index are completed
        self.committed_end_index = low_water_mark  # records below this index are stored by a quorum
        self.records: dict[int, bytes] = {}
        self.end_index = low_water_mark  # index of the next record
        self._progress = {name: _ReplicaProgress(low_water_mark) for name in log.replica_names}

    @property
    def can_append(self) -> bool:
        """Whether the log is open and fewer than ``max_uncommitted_records`` records are uncommitted."""
        uncommitted = self.end_index - self.committed_end_index
        return self.state is PrimaryState.OPEN and uncommitted < self.max_uncommitted_records

    def append(self, records: Iterable[bytes]) -> list[SendMessage]:
        """Append records. Raises ``RuntimeError`` unless :attr:`can_append`."""
        if not self.can_append:
            uncommitted = self.end_index - self.committed_end_index
            raise RuntimeError(
                f"can't append: the log is {self.state.value}, {uncommitted} records are uncommitted"
            )
        for record in records:
            self.records[self.end_index] = record
            self.end_index += 1
        return [self._append_to(name) for name in self.log.replica_names]

    def resend_unacked(self) -> list[SendMessage]:
        """Send each replica its unacknowledged records; call periodically to recover lost messages."""
        if self.state is PrimaryState.FENCED:
            return []
        return [
            self._append_to(name)
            for name, progress in self._progress.items()
            if progress.acked_end_index < self.end_index
        ]

    def release_records(self, low_water_mark: int) -> None:
        """Allow replicas to delete the completed and committed records below this index."""
        self.low_water_mark = max(self.low_water_mark, min(low_water_mark, self.committed_end_index))
        for index in [index for index in self.records if index < self.low_water_mark]:
            del self.records[index]

    def handle_reply(self, sender: str, message: Message) -> bool:
        """Apply a replica's reply; return whether ``committed_end_index`` or ``state`` has changed."""
        progress = self._progress.get(sender)
        if progress is None or self.state is PrimaryState.FENCED:
            return False
        previous_end_index = self.committed_end_index
        match message:
            case AppendAck(log_id, term, end_index, incarnation) if (
                log_id == self.log.log_id and term == self.term
            ):
                if self.log.includes(sender, incarnation):
                    progress.acked_end_index = max(progress.acked_end_index, end_index)
                    progress.is_unavailable = False
            case RequestRejected(log_id, term, is_unavailable) if log_id == self.log.log_id:
                if term > self.term:
                    self.state = PrimaryState.FENCED
                    return True
                progress.is_unavailable = is_unavailable
        acked = sorted((each.acked_end_index for each in self._progress.values()), reverse=True)
        self.committed_end_index = max(
            self.committed_end_index, min(self.end_index, acked[self.log.ack_quorum - 1])
        )
        return self.committed_end_index > previous_end_index

    def find_lagging_replicas(self) -> list[str]:
        """Return replicas to consider for replacement: the unavailable ones, then those that lack records."""
        lagging = [
            name
            for name, progress in self._progress.items()
            if progress.acked_end_index < self.end_index or progress.is_unavailable
        ]
        return sorted(lagging, key=lambda name: not self._progress[name].is_unavailable)

    def _append_to(self, name: str) -> SendMessage:
        first_index = max(self.low_water_mark, min(self._progress[name].acked_end_index, self.end_index))
        records = tuple(self.records[index] for index in range(first_index, self.end_index))
        return SendMessage(
            name, AppendRecords(self.log, self.term, first_index, records, self.low_water_mark)
        )


# --- a replica -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Limits on the bytes that a replica stores, per primary and in total."""

    max_bytes_per_primary: int = 64 << 20
    max_bytes: int = 256 << 20


DEFAULT_REPLICA_LIMITS = ReplicaLimits()


@dataclass(slots=True)
class _StoredLog:
    """State of one log on a replica."""

    log: LogDescription
    min_term: int = 0  # requests of a lower term are rejected
    last_append_term: int = 0
    low_water_mark: int = 0
    records: list[bytes] = field(default_factory=list)

    @property
    def end_index(self) -> int:
        return self.low_water_mark + len(self.records)

    @property
    def size_bytes(self) -> int:
        return sum(map(len, self.records))


class Replica:
    """Storage of the logs of other members.

    The caller must write the acknowledged records to disk before it sends a reply.
    """

    def __init__(self, name: str, incarnation: int, limits: ReplicaLimits = DEFAULT_REPLICA_LIMITS) -> None:
        self.name, self.incarnation, self.limits = name, incarnation, limits
        self.stored_logs: dict[LogId, _StoredLog] = {}
        self.size_bytes = 0

    def handle_request(self, sender: str, message: Message) -> list[SendMessage]:
        """Apply a request of a primary or successor and return the reply."""
        match message:
            case AppendRecords():
                return [SendMessage(sender, self._append(message))]
            case FenceRequest():
                return [SendMessage(sender, self._fence(message))]
        return []

    def delete_log(self, log_id: LogId) -> None:
        """Delete a log that is closed and empty."""
        stored = self.stored_logs.pop(log_id, None)
        self.size_bytes -= stored.size_bytes if stored else 0

    def _fence(self, message: FenceRequest) -> FenceReply | RequestRejected:
        log, term = message.log, message.term
        if not log.includes(self.name, self.incarnation):
            return RequestRejected(log.log_id, 0, is_unavailable=True)
        stored = self._stored_log(log)
        if term < stored.min_term:
            return RequestRejected(log.log_id, stored.min_term)
        stored.min_term = term
        records = tuple(stored.records)
        return FenceReply(
            log.log_id, term, stored.low_water_mark, records, stored.last_append_term, self.incarnation
        )

    def _append(self, message: AppendRecords) -> AppendAck | RequestRejected:
        log, first_index = message.log, message.first_index
        if not log.includes(self.name, self.incarnation):
            return RequestRejected(log.log_id, 0, is_unavailable=True)
        stored = self._stored_log(log)
        if message.term < stored.min_term:
            return RequestRejected(log.log_id, stored.min_term)
        if message.term > stored.last_append_term:
            # The records of a new writer replace those of earlier writers from the first index on, because
            # an earlier writer may have left a tail that the new one has not read.
            self._truncate(stored, max(first_index, stored.low_water_mark))
        stored.min_term = stored.last_append_term = message.term
        if first_index > stored.end_index and first_index <= message.low_water_mark:
            self._truncate(stored, stored.low_water_mark)
            stored.low_water_mark = first_index  # all records before it are completed
        has_gap = first_index > stored.end_index
        new_records = () if has_gap else message.records[max(0, stored.end_index - first_index) :]
        if not self._has_capacity(log.primary, sum(map(len, new_records))):
            return RequestRejected(log.log_id, stored.min_term, is_unavailable=True)
        stored.records += new_records
        self.size_bytes += sum(map(len, new_records))
        self._trim(stored, message.low_water_mark)
        return AppendAck(log.log_id, message.term, stored.end_index, self.incarnation)

    def _has_capacity(self, primary: str, added_bytes: int) -> bool:
        stored_bytes = sum(
            stored.size_bytes for log_id, stored in self.stored_logs.items() if log_id[0] == primary
        )
        return (
            stored_bytes + added_bytes <= self.limits.max_bytes_per_primary
            and self.size_bytes + added_bytes <= self.limits.max_bytes
        )

    def _truncate(self, stored: _StoredLog, end_index: int) -> None:
        removed = stored.records[max(0, end_index - stored.low_water_mark) :]
        del stored.records[max(0, end_index - stored.low_water_mark) :]
        self.size_bytes -= sum(map(len, removed))

    def _trim(self, stored: _StoredLog, low_water_mark: int) -> None:
        count = min(max(0, low_water_mark - stored.low_water_mark), len(stored.records))
        self.size_bytes -= sum(map(len, stored.records[:count]))
        del stored.records[:count]
        stored.low_water_mark += count

    def _stored_log(self, log: LogDescription) -> _StoredLog:
        return self.stored_logs.setdefault(log.log_id, _StoredLog(log))


# --- a successor -----------------------------------------------------------------------------------


class Failover:
    """Failover of a log: fences it, reads it and stores it on a quorum again.

    The successor may act on the records once ``is_complete``. Raises ``ValueError`` if ``term`` is less than
    1, as the primary writes in term 0.
    """

    def __init__(self, log: LogDescription, term: int) -> None:
        if term < 1:
            raise InvalidValueError(
                f"term is {term}, but must be at least 1, as term 0 belongs to the primary"
            )
        self.log, self.term = log, term
        self.is_superseded = False  # another successor has a higher term
        self.writer: Primary | None = None
        self._fence_replies: dict[str, FenceReply] = {}

    def send_requests(self) -> list[SendMessage]:
        """Send fence requests to replicas that have not replied, or resend records; call until complete."""
        if self.writer is not None:
            return self.writer.resend_unacked()
        missing = [name for name in self.log.replica_names if name not in self._fence_replies]
        if self.is_superseded:
            return []
        return [SendMessage(name, FenceRequest(self.log, self.term)) for name in missing]

    def handle_reply(self, sender: str, message: Message) -> list[SendMessage]:
        """Apply a replica's reply and return the messages to send."""
        if self.is_superseded or sender not in self.log.replica_names:
            return []
        if self.writer is not None:
            self.writer.handle_reply(sender, message)
            self.is_superseded = self.writer.state is PrimaryState.FENCED
            return []
        match message:
            case RequestRejected(log_id, term) if log_id == self.log.log_id and term > self.term:
                self.is_superseded = True
            case FenceReply(log_id, term) if log_id == self.log.log_id and term == self.term:
                if self.log.includes(sender, message.incarnation):
                    self._fence_replies[sender] = message
                if len(self._fence_replies) >= self.log.recovery_quorum:
                    return self._recover_records()
        return []

    @property
    def is_complete(self) -> bool:
        """Whether a quorum has stored all records that were read, in this term."""
        return (
            self.writer is not None
            and not self.is_superseded
            and self.writer.committed_end_index == self.writer.end_index
        )

    @property
    def records(self) -> Mapping[int, bytes]:
        """Records that were read, by index."""
        return self.writer.records if self.writer is not None else {}

    def _recover_records(self) -> list[SendMessage]:
        # The records of the last writer take precedence over a longer tail of an earlier one: the last
        # writer had read all records that may be committed and stored them on a quorum before it acted.
        last_term = max(reply.last_append_term for reply in self._fence_replies.values())
        longest = max(
            (reply for reply in self._fence_replies.values() if reply.last_append_term == last_term),
            key=lambda reply: reply.low_water_mark + len(reply.records),
        )
        self.writer = Primary(self.log, self.term, longest.low_water_mark, max_uncommitted_records=1 << 62)
        return self.writer.append(longest.records)
