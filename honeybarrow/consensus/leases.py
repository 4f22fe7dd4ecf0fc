"""Leases that the leader issues to members, and the operations that each lease status allows.

The module does no I/O and reads no clock. A member renews its lease periodically. While it holds a lease, no
setting that is switched *strictly* can have changed without its knowledge. To make such a switch, the leader
stops renewing leases and waits until each one has been released by its member or has expired. It then commits
the switch and grants leases only to members that have applied the log up to that entry.

Times are in microseconds of the process's own monotonic clock. The rates of two such clocks differ by at most
``max_clock_drift``. Wall clocks play no part.

Sources: Gray and Cheriton 1989; Chubby (Burrows 2006); Ongaro's Raft thesis (section 6.4.1). The wait before
a switch resembles the commit wait of Spanner (Corbett et al. 2012).

Safety rules:

- A lease counts from when its request was sent. Counted from the reply, it would outlast the leader's
  estimate.
- A leader grants nothing until its log confirms that it still leads (``is_confirmed_leader``), since it may
  have been paused and replaced.
- A new leader does not know the leases that its predecessor granted, so it waits for the longest duration
  that a lease can have.
- A process that was paused holds no lease until its next request is answered.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from honeybarrow.consensus.config import NEVER_US
from honeybarrow.errors import InvalidValueError


class LeaseStatus(enum.Enum):
    """The status of a process's lease."""

    CONNECTED = "connected"  # a lease is held and was renewed recently
    LEASE_ONLY = "on its lease"  # a lease is held, but it was not renewed recently
    EXPIRED = "expired"  # no valid lease is held
    PAUSED = "paused"  # the process has just resumed, and its state may be outdated
    REMOVED = "removed"  # the process is no longer a member of the fleet
    DUPLICATE_NAME = "duplicate name"  # another process has the same name and a later incarnation


class Operation(enum.Enum):
    """An operation that depends on the lease status."""

    # Messages of classes that are accepted without a lease, under the last known settings.
    ACCEPT_MESSAGE = "accept a message"
    # Messages of all other classes, such as non-idempotent ones; they need a lease.
    ACCEPT_STRICT_MESSAGE = "accept a strict message"
    FINISH_ACCEPTED = "finish accepted messages"
    VOTE_IN_CONSENSUS = "vote in consensus"
    VOTE_ON_ZONES = "vote on zones"
    PROBE_ZONE = "probe a zone"
    STORE_REPLICAS = "store replicas"


_ALL_OPERATIONS = tuple(Operation)
_ISOLATED_OPERATIONS = (
    Operation.ACCEPT_MESSAGE,
    Operation.FINISH_ACCEPTED,
    Operation.VOTE_IN_CONSENSUS,
    Operation.STORE_REPLICAS,
)
# The operations that each status allows. All others are denied.
ALLOWED_OPERATIONS: dict[LeaseStatus, tuple[Operation, ...]] = {
    LeaseStatus.CONNECTED: _ALL_OPERATIONS,
    # A partitioned minority keeps the last verdicts on zones and probes no zones.
    LeaseStatus.LEASE_ONLY: (*_ISOLATED_OPERATIONS, Operation.ACCEPT_STRICT_MESSAGE),
    LeaseStatus.EXPIRED: _ISOLATED_OPERATIONS,
    LeaseStatus.PAUSED: (),
    # Messages that were accepted earlier are still finished.
    LeaseStatus.REMOVED: (Operation.FINISH_ACCEPTED,),
    LeaseStatus.DUPLICATE_NAME: (Operation.FINISH_ACCEPTED,),
}


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Durations in microseconds, and the maximum drift of a monotonic clock as a fraction of its rate.

    :raises InvalidValueError: if a value is out of range or the values are inconsistent.
    """

    lease_duration_us: int = 1_000_000
    renew_interval_us: int = 250_000
    pause_threshold_us: int = 300_000  # delay of a check beyond which the process counts as paused
    max_clock_drift: float = 0.01

    def __post_init__(self) -> None:
        if not 0 < 2 * self.renew_interval_us <= self.lease_duration_us:
            raise InvalidValueError(
                "lease_duration_us",
                f"{self.lease_duration_us} is less than two renewal intervals of {self.renew_interval_us}, "
                "so that a single lost reply would end the lease",
            )
        if not 0 <= self.max_clock_drift < 0.5 or self.pause_threshold_us < 1:
            raise InvalidValueError(
                f"max_clock_drift ({self.max_clock_drift}) must be at least 0 and less than 0.5; "
                f"pause_threshold_us ({self.pause_threshold_us}) must be at least 1"
            )

    @property
    def member_lease_us(self) -> int:
        """How long a member holds a lease by its own clock, which may be the slow one."""
        return self.lease_duration_us

    @property
    def leader_wait_us(self) -> int:
        """How long the leader waits for a lease to end by its own clock, which may be the fast one."""
        fast, slow = 1 + self.max_clock_drift, 1 - self.max_clock_drift
        return int(self.lease_duration_us * fast / slow) + 1


# --- messages --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RenewLease:
    """A member's request for a new lease.

    ``applied_index`` is the index of the last log entry that the member has applied. ``released_barrier`` is
    the newest barrier for which it gave up its lease.
    """

    request_id: int
    applied_index: int
    released_barrier: int = 0


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A granted lease, valid once the member has applied the log up to ``required_index``."""

    request_id: int
    term: int
    required_index: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """A denied lease, because a switch is in progress.

    The member gives up its lease at once, and releases ``barrier`` with its next request.
    """

    request_id: int
    term: int
    barrier: int


LeaseReply = LeaseGranted | LeaseDenied

# --- a member --------------------------------------------------------------------------------------


@dataclass(slots=True)
class MemberLease:
    """A member's lease, with its pending renewal requests."""

    config: LeaseConfig
    expires_us: int = -NEVER_US
    required_index: int = 0  # log index that must be applied for the lease to be valid
    term: int = 0
    released_barrier: int = 0
    renewed_us: int = -NEVER_US  # sending time of the newest granted request
    resumed_us: int = -NEVER_US  # when the last pause was detected
    _last_request_id: int = 0
    _pending_requests: dict[int, int] = field(default_factory=dict)  # sending time by request id
    _last_check_us: int | None = None

    def detect_pause(self, now_us: int) -> None:
        """Drop the lease if the process was paused since the last call.

        Call this at least every ``renew_interval_us``, before any other method.
        """
        max_gap_us = self.config.renew_interval_us + self.config.pause_threshold_us
        if self._last_check_us is not None and now_us - self._last_check_us > max_gap_us:
            self.expires_us, self.resumed_us = -NEVER_US, now_us
            self._pending_requests.clear()
        self._last_check_us = now_us

    def request_renewal(self, now_us: int, applied_index: int) -> RenewLease:
        """Return the next renewal request, to be sent at once."""
        self._last_request_id += 1
        oldest_us = now_us - self.config.lease_duration_us
        self._pending_requests = {
            request_id: sent_us
            for request_id, sent_us in self._pending_requests.items()
            if sent_us > oldest_us
        }
        self._pending_requests[self._last_request_id] = now_us
        return RenewLease(self._last_request_id, applied_index, self.released_barrier)

    def on_reply(self, now_us: int, reply: LeaseReply) -> None:
        """Apply the leader's reply.

        Replies to requests that are not pending, and replies of earlier terms, are ignored.
        """
        sent_us = self._pending_requests.pop(reply.request_id, None)
        if sent_us is None or reply.term < self.term:
            return
        if reply.term > self.term:
            self.term, self.released_barrier = reply.term, 0
        if isinstance(reply, LeaseDenied):
            # The lease ends before the release is sent, so that the member never acts on a released lease.
            self.expires_us = -NEVER_US
            self.released_barrier = max(self.released_barrier, reply.barrier)
            self._pending_requests.clear()
            return
        self.expires_us = max(self.expires_us, sent_us + self.config.member_lease_us)
        self.required_index = max(self.required_index, reply.required_index)
        self.renewed_us = max(self.renewed_us, sent_us)

    def is_valid(self, now_us: int, applied_index: int) -> bool:
        """Return whether the lease has not expired and the required index is applied."""
        return now_us < self.expires_us and applied_index >= self.required_index

    def get_status(
        self, now_us: int, applied_index: int, is_removed: bool = False, has_duplicate_name: bool = False
    ) -> LeaseStatus:
        """Return the lease status; :data:`ALLOWED_OPERATIONS` lists what each status allows."""
        if has_duplicate_name or is_removed:
            return LeaseStatus.DUPLICATE_NAME if has_duplicate_name else LeaseStatus.REMOVED
        if self.is_valid(now_us, applied_index):
            is_recently_renewed = now_us - self.renewed_us <= 2 * self.config.renew_interval_us
            return LeaseStatus.CONNECTED if is_recently_renewed else LeaseStatus.LEASE_ONLY
        # For one interval after resuming, until the next request can have been answered.
        has_just_resumed = now_us < self.resumed_us + self.config.renew_interval_us
        return LeaseStatus.PAUSED if has_just_resumed else LeaseStatus.EXPIRED


# --- the leader ------------------------------------------------------------------------------------


@dataclass(slots=True)
class LeaseIssuer:
    """The leases that one leader has granted in its term, and its strict switch in progress."""

    config: LeaseConfig
    term: int
    leading_since_us: int
    barrier: int = 0  # number of the switch in progress; 0 if none
    switch_count: int = 0  # switches started in this term
    expiries_us: dict[str, int] = field(default_factory=dict)  # latest end of the lease, by member name

    def handle_renewal(
        self, now_us: int, name: str, request: RenewLease, is_confirmed_leader: bool, commit_index: int
    ) -> LeaseReply | None:
        """Return the reply to a member's request, or ``None`` if this process is not a confirmed leader.

        ``is_confirmed_leader`` tells whether the log rules out that another leader has been elected by now.
        """
        if not is_confirmed_leader:
            return None
        if self.barrier:
            if request.released_barrier >= self.barrier:
                self.expiries_us.pop(name, None)
            return LeaseDenied(request.request_id, self.term, self.barrier)
        self.expiries_us[name] = now_us + self.config.leader_wait_us
        return LeaseGranted(request.request_id, self.term, commit_index)

    def start_switch(self) -> int:
        """Stop renewing leases until :meth:`finish_switch`, and return the new switch's barrier."""
        # Numbers are not reused within a term, so that a release for an earlier switch can't count for this
        # one.
        self.switch_count += 1
        self.barrier = self.switch_count
        return self.barrier

    def are_all_expired(self, now_us: int) -> bool:
        """Return whether all leases have ended, including those granted by earlier leaders."""
        has_waited = now_us >= self.leading_since_us + self.config.leader_wait_us
        return has_waited and not self.get_unexpired_members(now_us)

    def get_unexpired_members(self, now_us: int) -> list[str]:
        """Return the names of the members that may still hold a lease."""
        return [name for name, expiry_us in self.expiries_us.items() if now_us < expiry_us]

    def finish_switch(self, now_us: int) -> None:
        """Renew leases again, after the switch was committed or abandoned."""
        self.expiries_us = {
            name: expiry_us for name, expiry_us in self.expiries_us.items() if now_us < expiry_us
        }
        self.barrier = 0
