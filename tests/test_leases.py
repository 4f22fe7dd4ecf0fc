"""Tests of leases: allowed operations, renewal, and model checking of strict switches."""

from __future__ import annotations

from typing import Any

import pytest

from honeybarrow.consensus.leases import (
    ALLOWED_OPERATIONS,
    LeaseConfig,
    LeaseDenied,
    LeaseGranted,
    LeaseIssuer,
    LeaseReply,
    LeaseStatus,
    MemberLease,
    Operation,
    RenewLease,
)
from honeybarrow.errors import InvalidValueError
from honeybarrow.lab.model_checker import explore_states
from tests.lease_model import CONFIG, LeaseModel

DEFAULTS = LeaseConfig()
CONNECTED, LEASE_ONLY, EXPIRED, PAUSED, REMOVED, DUPLICATE_NAME = LeaseStatus
ALLOWED_STATUSES = {
    Operation.ACCEPT_MESSAGE: (CONNECTED, LEASE_ONLY, EXPIRED),
    Operation.ACCEPT_STRICT_MESSAGE: (CONNECTED, LEASE_ONLY),
    Operation.FINISH_ACCEPTED: (CONNECTED, LEASE_ONLY, EXPIRED, REMOVED, DUPLICATE_NAME),
    Operation.VOTE_IN_CONSENSUS: (CONNECTED, LEASE_ONLY, EXPIRED),
    Operation.VOTE_ON_ZONES: (CONNECTED,),
    Operation.PROBE_ZONE: (CONNECTED,),
    Operation.STORE_REPLICAS: (CONNECTED, LEASE_ONLY, EXPIRED),
}


@pytest.mark.parametrize("status", LeaseStatus)
@pytest.mark.parametrize("operation", Operation)
def test_each_status_allows_exactly_its_operations(status: LeaseStatus, operation: Operation) -> None:
    assert (operation in ALLOWED_OPERATIONS[status]) is (status in ALLOWED_STATUSES[operation])


def renew(
    lease: MemberLease, now_us: int, reply_type: type[LeaseGranted] = LeaseGranted, index: int = 0
) -> None:
    request = lease.request_renewal(now_us, index)
    lease.on_reply(now_us + 50_000, reply_type(request.request_id, 1, index))


def test_status_follows_the_age_of_the_lease_and_membership() -> None:
    lease = MemberLease(DEFAULTS)
    assert lease.get_status(0, 0) is LeaseStatus.EXPIRED, "a process that has just started holds no lease"
    renew(lease, 0)
    assert lease.get_status(100_000, 0) is LeaseStatus.CONNECTED
    assert lease.get_status(2 * DEFAULTS.renew_interval_us + 1, 0) is LeaseStatus.LEASE_ONLY
    assert lease.get_status(DEFAULTS.lease_duration_us, 0) is LeaseStatus.EXPIRED, (
        "a lease counts from when its request was sent"
    )
    assert lease.get_status(0, 0, is_removed=True) is LeaseStatus.REMOVED
    assert lease.get_status(0, 0, is_removed=True, has_duplicate_name=True) is LeaseStatus.DUPLICATE_NAME


def test_paused_process_holds_no_lease_until_its_next_request_is_granted() -> None:
    lease = MemberLease(LeaseConfig(lease_duration_us=60_000_000))
    lease.detect_pause(0)
    late_request = lease.request_renewal(0, 0)
    renew(lease, 1)
    lease.detect_pause(DEFAULTS.renew_interval_us)
    assert lease.get_status(DEFAULTS.renew_interval_us, 0) is LeaseStatus.CONNECTED
    lease.detect_pause(10_000_000)  # within the lease duration of one minute
    assert lease.get_status(10_000_000, 0) is LeaseStatus.PAUSED and not lease.is_valid(10_000_000, 0)
    lease.on_reply(10_000_001, LeaseGranted(late_request.request_id, 1, 0))
    assert not lease.is_valid(10_000_001, 0), "a reply to a request from before the pause is ignored"
    renew(lease, 10_000_002)
    assert lease.get_status(10_100_000, 0) is LeaseStatus.CONNECTED


def test_lease_is_valid_only_once_the_required_index_is_applied() -> None:
    lease = MemberLease(DEFAULTS)
    request = lease.request_renewal(0, 4)
    lease.on_reply(1, LeaseGranted(request.request_id, 1, 5))
    assert not lease.is_valid(2, 4) and lease.is_valid(2, 5)


def test_denied_member_gives_up_its_lease_and_releases_the_barrier() -> None:
    lease = MemberLease(DEFAULTS)
    late_request = lease.request_renewal(0, 0)
    renew(lease, 1)
    request = lease.request_renewal(10, 0)
    lease.on_reply(20, LeaseDenied(request.request_id, 1, 3))
    lease.on_reply(21, LeaseGranted(late_request.request_id, 1, 0))
    assert not lease.is_valid(22, 0) and lease.request_renewal(30, 0).released_barrier == 3
    newer_request = lease.request_renewal(40, 0)
    lease.on_reply(41, LeaseGranted(newer_request.request_id, 2, 0))
    assert lease.is_valid(42, 0) and lease.request_renewal(50, 0).released_barrier == 0, (
        "the barriers of an earlier leader do not count for a new one"
    )
    next_request = lease.request_renewal(60, 0)
    lease.on_reply(61, LeaseDenied(next_request.request_id, 1, 9))
    assert lease.is_valid(62, 0), "a reply of an earlier term is ignored"


def test_switch_waits_only_for_members_that_may_hold_a_lease() -> None:
    issuer = LeaseIssuer(DEFAULTS, 1, -DEFAULTS.leader_wait_us)
    for name in "ab":
        assert issuer.handle_renewal(0, name, RenewLease(1, 0), True, 7) == LeaseGranted(1, 1, 7)
    assert issuer.handle_renewal(0, "c", RenewLease(1, 0), False, 7) is None, (
        "an unconfirmed leader grants no leases"
    )
    barrier = issuer.start_switch()
    assert issuer.get_unexpired_members(1) == ["a", "b"] and not issuer.are_all_expired(1)
    assert issuer.handle_renewal(2, "a", RenewLease(2, 0), True, 7) == LeaseDenied(2, 1, barrier)
    issuer.handle_renewal(3, "a", RenewLease(3, 0, barrier), True, 7)
    assert issuer.get_unexpired_members(4) == ["b"] and issuer.are_all_expired(DEFAULTS.leader_wait_us)
    issuer.finish_switch(DEFAULTS.leader_wait_us)
    second_barrier = issuer.start_switch()
    issuer.handle_renewal(DEFAULTS.leader_wait_us, "b", RenewLease(4, 0, barrier), True, 7)
    assert second_barrier > barrier
    assert not LeaseIssuer(DEFAULTS, 2, 0).are_all_expired(DEFAULTS.leader_wait_us - 1), (
        "a new leader waits for the leases of its predecessor"
    )


def test_invalid_config_is_rejected() -> None:
    invalid_configs: list[dict[str, Any]] = [
        {"renew_interval_us": 600_000},
        {"max_clock_drift": 0.5},
        {"pause_threshold_us": 0},
    ]
    for invalid in invalid_configs:
        with pytest.raises(InvalidValueError):
            LeaseConfig(**invalid)


SMALL_BOUNDS = {"has_second_leader": False, "max_ticks": 5, "max_requests": 1}


@pytest.mark.parametrize("bounds", [SMALL_BOUNDS], ids=["one leader"])
def test_no_reachable_state_of_a_strict_switch_violates_safety(bounds: dict[str, Any]) -> None:
    result = explore_states(LeaseModel(**bounds))
    assert result.is_complete and not result.violation and result.states > 10_000, result


class CountedFromReply(MemberLease):
    """Mutant that counts a lease from when its reply was received."""

    def on_reply(self, now_us: int, reply: LeaseReply) -> None:
        is_pending = reply.request_id in self._pending_requests
        super().on_reply(now_us, reply)
        if is_pending and isinstance(reply, LeaseGranted):
            self.expires_us = now_us + self.config.member_lease_us


class IgnoresAppliedIndex(MemberLease):
    """Mutant that ignores the required index."""

    def is_valid(self, now_us: int, applied_index: int) -> bool:
        return now_us < self.expires_us


class SwitchesWithoutWaiting(LeaseIssuer):
    """Mutant that switches without waiting for leases to end."""

    def are_all_expired(self, now_us: int) -> bool:
        return True


class RenewsDuringSwitch(LeaseIssuer):
    """Mutant that renews leases during a switch and does not record them."""

    def handle_renewal(
        self, now_us: int, name: str, request: RenewLease, is_confirmed_leader: bool, commit_index: int
    ) -> LeaseReply | None:
        return LeaseGranted(request.request_id, self.term, commit_index) if is_confirmed_leader else None


class IgnoresClockDrift(LeaseIssuer):
    """Mutant whose leader ignores the drift between its clock and the members' clocks."""

    def handle_renewal(
        self, now_us: int, name: str, request: RenewLease, is_confirmed_leader: bool, commit_index: int
    ) -> LeaseReply | None:
        reply = super().handle_renewal(now_us, name, request, is_confirmed_leader, commit_index)
        if name in self.expiries_us and isinstance(reply, LeaseGranted):
            self.expiries_us[name] = now_us + CONFIG.lease_duration_us
        return reply


@pytest.mark.parametrize(
    "bounds",
    [
        {**SMALL_BOUNDS, "lease_type": CountedFromReply},
        {**SMALL_BOUNDS, "lease_type": IgnoresAppliedIndex},
        {**SMALL_BOUNDS, "issuer_type": SwitchesWithoutWaiting},
        {**SMALL_BOUNDS, "issuer_type": RenewsDuringSwitch},
        {**SMALL_BOUNDS, "issuer_type": IgnoresClockDrift},
    ],
    ids=[
        "counted from reply",
        "ignores applied index",
        "no wait",
        "renews during switch",
        "ignores clock drift",
    ],
)
def test_model_checker_detects_each_removed_safety_check(bounds: dict[str, Any]) -> None:
    result = explore_states(LeaseModel(**bounds), max_states=400_000)
    assert result.violation, result
