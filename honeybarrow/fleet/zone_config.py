"""Configuration of zone ejection: evidence, verdicts, probes and recovery."""

from __future__ import annotations

from dataclasses import dataclass

from honeybarrow.errors import InvalidValueError

SECOND = 1_000_000


def _require_positive(config: object, *names: str) -> None:
    for name in names:
        if getattr(config, name) < 1:
            raise InvalidValueError(f"{name} is {getattr(config, name)}, but must be at least 1")


@dataclass(frozen=True, slots=True)
class EvidenceConfig:
    """Thresholds for concluding from the results of calls that a zone fails.

    Times are microseconds, ratios lie between 0 and 1. Raises :class:`InvalidValueError` for values out of
    range.
    """

    bucket_us: int = 250_000
    bucket_count: int = 12  # buckets in the window
    min_failures: int = 4  # total over all members
    min_network_path_failures: int = 8  # total over the members of the zone from which the path fails
    # Maximum number of failures of one destination that count towards min_failures, so that a single
    # destination that is down does not look like a failing zone. A destination with fewer failures fails less
    # clearly: if too few reach this number, one more failing destination is required.
    min_destination_failures: int = 2
    # Share of failures among completed and pending calls. A value near 0.5 would eject a zone that lost half
    # of its endpoints, and would often be exceeded by chance when an interval has few calls.
    failure_ratio: float = 0.8
    min_failing_destinations: int = 2  # if the zone has that many
    listed_destination_ratio: float = 0.5  # share of the zone's listed destinations that have to fail
    sufficient_destinations: int = 5  # failing destinations that suffice whatever that share is
    failing_destination_ratio: float = 0.66  # share of the destinations with evidence that have to fail
    min_reporters: int = 2  # members with failures
    # A call that takes longer than both min_late_us and late_factor times the usual latency has failed.
    min_late_us: int = 600_000
    late_factor: float = 8.0
    latency_smoothing: float = 0.1  # weight of the newest sample, which is capped at twice the average
    max_cells: int = 64  # in one report
    max_zone_destination_pairs: int = 4096  # pairs of zone and destination in one bucket
    max_pending_calls: int = 10_000

    def __post_init__(self) -> None:
        if not 0.5 <= self.failure_ratio <= 1.0 or not 0.5 <= self.failing_destination_ratio <= 1.0:
            raise InvalidValueError(
                f"failure_ratio ({self.failure_ratio}) and failing_destination_ratio "
                f"({self.failing_destination_ratio}) must be between 0.5 and 1"
            )
        _require_positive(
            self,
            "bucket_us",
            "bucket_count",
            "min_failures",
            "min_failing_destinations",
            "min_reporters",
            "max_cells",
        )

    @property
    def window_us(self) -> int:
        """Length of the evidence window in microseconds."""
        return self.bucket_us * self.bucket_count


@dataclass(frozen=True, slots=True)
class ZoneConfig:
    """Parameters of verdicts on zones and of the return to a recovered zone.

    Times are microseconds, ratios lie between 0 and 1. Raises :class:`InvalidValueError` for values out of
    range.
    """

    tick_us: int = 200_000  # interval of ZoneCoordinator.wake
    round_timeout_us: int = 1_500_000  # for the answers to a request for evidence
    request_retry_us: int = 300_000  # until a request without an answer is repeated
    round_backoff_us: int = SECOND  # after an undecided round, times the number of such rounds (at most 4)
    aggregator_count: int = 3  # members that collect evidence
    aggregator_stagger_us: int = 400_000  # delay between one aggregator's start of a round and the next one's
    digest_interval_us: int = SECOND
    initial_probe_delay_us: int = 2 * SECOND
    probe_backoff_factor: float = 1.6  # per probe; a relapse counts as two probes
    max_probe_delay_us: int = 60 * SECOND
    probe_window_us: int = 2 * SECOND
    prober_count: int = 2  # in the first probe; one more in every second probe after it
    max_probers: int = 8
    max_probe_calls: int = 2  # of one member in one probe, which ends at the first failure
    min_probe_successes: int = 3  # total over all probers
    min_probe_success_ratio: float = 0.8
    start_capacity: float = 0.2  # share of its capacity that a destination has when it starts to warm up
    warm_up_us: int = 9 * SECOND
    recovery_margin: float = 0.7  # share of a warming destination's current capacity that is used
    relapse_window_us: int = 60 * SECOND  # an ejection this soon after the members' return is a relapse
    max_ejected_zones: int = 0  # at the same time; 0 for half of the listed zones
    max_utilization: float = 0.9  # of the capacity that remains after an ejection
    max_override_us: int = 24 * 3600 * SECOND
    max_paths: int = 256
    max_sync_entries: int = 16  # verdicts, and also overrides, in one message

    def __post_init__(self) -> None:
        ratios = (self.start_capacity, self.recovery_margin, self.max_utilization)
        if not all(0.0 < ratio <= 1.0 for ratio in ratios):
            raise InvalidValueError(
                f"start_capacity, recovery_margin and max_utilization are {ratios}, "
                "but must be above 0 and at most 1"
            )
        if self.probe_backoff_factor < 1.0 or self.initial_probe_delay_us < 1:
            raise InvalidValueError(
                f"probe_backoff_factor ({self.probe_backoff_factor}) and initial_probe_delay_us "
                f"({self.initial_probe_delay_us}) must be at least 1"
            )
        _require_positive(
            self,
            "tick_us",
            "aggregator_count",
            "prober_count",
            "max_probe_calls",
            "min_probe_successes",
            "max_sync_entries",
        )
