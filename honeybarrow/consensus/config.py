"""Configuration of the replicated log: timers, the bound on clock drift, and limits on messages and memory.

Times are in microseconds of the process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeybarrow.errors import InvalidValueError

NEVER_US = 1 << 62  # later than any time that is reached; its negative is earlier than any
MAX_COMMAND_BYTES = 128 << 10
MAX_SNAPSHOT_BYTES = 512 << 10  # a snapshot is sent in one frame
MAX_VOTERS = 7
MAX_BATCH_ENTRIES = 64  # entries in one message
MAX_BATCH_BYTES = 256 << 10
MAX_TRACKED_INCARNATIONS = 64  # disks of voters and other members
MAX_DEFERRED_MESSAGES = 256  # messages waiting for a disk write
MAX_TRACKED_ROUNDS = 64  # heartbeat rounds whose send time the leader keeps


@dataclass(frozen=True, slots=True)
class ConsensusConfig:
    """Timers in microseconds, the bound on clock drift as a fraction, and the number of retained entries.

    :raises InvalidValueError: if a value is out of range or the values are inconsistent.
    """

    heartbeat_interval_us: int = 100_000
    election_timeout_us: int = 500_000  # time without a heartbeat before a vote is granted or requested
    election_jitter_us: int = 400_000  # upper bound of the random delay that avoids simultaneous candidates
    vote_timeout_us: int = 250_000  # time that a candidate waits for votes
    max_clock_drift: float = 0.01  # maximum rate difference between monotonic clocks, as a fraction
    max_retained_entries: int = 4096  # entries kept before a snapshot replaces them

    def __post_init__(self) -> None:
        if not 0 < 2 * self.heartbeat_interval_us <= self.election_timeout_us:
            raise InvalidValueError(
                "election_timeout_us",
                f"{self.election_timeout_us} is less than two heartbeat intervals of "
                f"{self.heartbeat_interval_us}, so that a single lost heartbeat would start an election",
            )
        smallest = min(self.election_jitter_us, self.vote_timeout_us, self.max_retained_entries)
        if not 0 <= self.max_clock_drift < 0.5 or smallest < 1:
            raise InvalidValueError(
                f"max_clock_drift ({self.max_clock_drift}) must be at least 0 and less than 0.5; "
                f"election_jitter_us ({self.election_jitter_us}), vote_timeout_us ({self.vote_timeout_us}) "
                f"and max_retained_entries ({self.max_retained_entries}) must be at least 1"
            )

    @property
    def leader_lease_us(self) -> int:
        """The time after sending a heartbeat round in which no other leader can be elected.

        Holds for a round that a majority acknowledged.
        """
        return int(self.election_timeout_us * (1 - 2 * self.max_clock_drift))
