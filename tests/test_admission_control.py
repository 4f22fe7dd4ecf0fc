"""Tests of admission control, fair sharing and retry delays."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow.admission import admission_control, fair_share, retry_after
from honeybarrow.admission.admission_control import (
    AdmissionConfig,
    AdmissionController,
    Admit,
    CloseSession,
    Defer,
)
from honeybarrow.admission.fair_share import SECOND_US, FairShare


def make_controller(weights: dict[str, float] | None = None, **limits: int) -> AdmissionController:
    return AdmissionController(
        AdmissionConfig(**{"max_sessions": 20, "max_messages": 40, "max_buffered_bytes": 10_000, **limits}),
        weights or {},
        random.Random(1),
    )


def test_free_capacity_is_open_to_all_and_the_reserve_to_users_below_their_share() -> None:
    shares = FairShare(100)
    admitted = 0
    while shares.can_acquire(0, "flood"):
        shares.acquire("flood")
        admitted += 1
    assert admitted == 100  # the share of the only user is the whole capacity
    for _ in range(100):
        shares.release("flood")
    assert shares.can_acquire(0, "settle")
    while shares.can_acquire(0, "flood"):
        shares.acquire("flood")
    assert shares.used_by["flood"] == 75  # the reserve is left for users below their share
    settle_admitted = 0
    while shares.can_acquire(0, "settle"):
        shares.acquire("settle")
        settle_admitted += 1
    assert settle_admitted == 25
    with pytest.raises(ValueError, match="'nobody' releases 1, but holds 0"):
        shares.release("nobody")


def test_weights_determine_the_shares() -> None:
    shares = FairShare(100, {"settle": 3.0})
    assert shares.compute_share(0, "flood") == 100
    assert shares.compute_share(0, "settle") == 75 and shares.compute_share(SECOND_US, "flood") == 25
    assert shares.compute_share(20 * SECOND_US, "settle") == 100  # the demand of "flood" has expired


def test_number_of_tracked_users_is_bounded() -> None:
    shares = FairShare(100)
    for number in range(3 * fair_share.MAX_TRACKED_USERS):
        shares.can_acquire(number, f"user {number}")
    assert len(shares._last_request_us_by_user) <= fair_share.MAX_TRACKED_USERS + 1


def test_flooding_client_does_not_starve_another_client() -> None:
    # With capacity for 40 messages of 1 s each, "flood" sends 2,000 requests per second and "settle" 8.
    controller = make_controller(max_messages=40)
    rng = random.Random(2)
    for number, client in enumerate(("flood", "settle")):
        assert isinstance(controller.open_session(0, number, client), Admit)
    running: list[tuple[int, str]] = []
    counts = {"flood": [0, 0], "settle": [0, 0]}
    for now in range(0, 30 * SECOND_US, 500):
        for ends_us, message in [row for row in running[:5] if row[0] <= now]:
            running.remove((ends_us, message))
            controller.release_message(now, message)
        requests = [(0, "flood")] + ([(1, "settle")] if rng.random() < 0.004 else [])
        for session, client in requests:
            controller.begin_transaction(now, session)
            counts[client][0] += 1
            if isinstance(controller.reserve_recipient(now, session), Admit):
                message = f"{client}{now}"
                assert isinstance(controller.admit_message(now, session, message, ""), Admit)
                running.append((now + SECOND_US, message))
                counts[client][1] += 1
            controller.end_transaction(now, session)
    requested, admitted = counts["settle"]
    assert admitted >= 0.95 * requested > 100
    assert counts["flood"][1] > 400  # idle capacity remains available to the flooding client


def test_retry_delay_grows_with_deferrals_and_is_bounded_and_jittered() -> None:
    controller = make_controller(max_messages=4)
    controller.open_session(0, 1, "a")
    controller.begin_transaction(0, 1)
    assert all(isinstance(controller.reserve_recipient(0, 1), Admit) for _ in range(4))
    delays_us = []
    for _ in range(200):
        decision = controller.reserve_recipient(0, 1)
        assert isinstance(decision, Defer) and decision.reason == "no room"
        delays_us.append(decision.retry_after_us)
    assert delays_us[0] >= retry_after.MIN_RETRY_AFTER_US and len(set(delays_us)) > 50
    assert sum(delays_us[:20]) < sum(delays_us[-20:]) and max(delays_us) <= 3 * SECOND_US


def test_end_of_data_acquires_capacity_again_after_reservation_expires() -> None:
    controller = make_controller(max_messages=2)
    for session in (1, 2):
        controller.open_session(0, session, f"client {session}")
        controller.begin_transaction(0, session)
    assert isinstance(controller.reserve_recipient(0, 1), Admit) and isinstance(
        controller.reserve_recipient(0, 1), Admit
    )
    assert isinstance(controller.reserve_recipient(0, 2), Defer)
    later = admission_control.RESERVATION_TIMEOUT_US + 1
    assert isinstance(controller.admit_message(later, 1, "m1", ""), Admit)
    assert isinstance(controller.reserve_recipient(later, 2), Admit)  # the second reservation has expired
    assert isinstance(controller.admit_message(later, 1, "m2", ""), Defer)


def test_tenants_share_the_capacity() -> None:
    controller = make_controller(max_messages=40)
    controller.open_session(0, 1, "a")
    controller.begin_transaction(0, 1)
    controller.tenant_share.can_acquire(0, "small")  # records demand of a second tenant
    admitted = 0
    for number in range(40):
        if isinstance(controller.reserve_recipient(0, 1), Admit) and isinstance(
            controller.admit_message(0, 1, f"m{number}", "big"), Admit
        ):
            admitted += 1
    assert admitted == 30
    controller.reserve_recipient(0, 1)
    assert isinstance(controller.admit_message(0, 1, "other message", "small"), Admit)


def test_oldest_transaction_may_read_under_back_pressure() -> None:
    controller = make_controller(max_buffered_bytes=1000)
    for session in (1, 2, 3):
        controller.open_session(session, session, "flood")
        controller.begin_transaction(session, session)
        controller.record_bytes_read(session, session, 300)
    controller.open_session(9, 4, "settle")
    controller.begin_transaction(9, 4)
    controller.record_bytes_read(9, 4, 10)
    assert [controller.can_read(9, session) for session in (1, 2, 3, 4)] == [True, False, False, True]
    controller.end_transaction(10, 1)
    assert controller.can_read(10, 2)


def test_only_transactions_below_the_minimum_rate_are_slow() -> None:
    controller = make_controller()
    for session in (1, 2, 3):
        controller.open_session(0, session, "a")
    controller.begin_transaction(0, 1)
    controller.begin_transaction(0, 2)
    for second in range(1, 41):
        controller.record_bytes_read(second * SECOND_US, 1, 1)  # one byte per second
        controller.record_bytes_read(second * SECOND_US, 2, 200 if second > 2 else 4000)
    assert controller.find_slow_sessions(admission_control.SENDING_GRACE_US - 1) == []
    assert controller.find_slow_sessions(20 * SECOND_US) == [1]


def test_a_client_that_waits_for_its_result_is_not_slow() -> None:
    """Guards against review case 6: a session was closed with 421 while its message was being sent."""
    controller = make_controller(max_buffered_bytes=1000)
    for session in (1, 2, 3, 4):
        controller.open_session(0, session, "settle" if session == 4 else "flood")
        controller.begin_transaction(session, session)
        controller.record_bytes_read(session, session, 10 if session == 4 else 300)
    controller.complete_content(1)
    assert controller.find_slow_sessions(60 * SECOND_US) == [2, 3, 4]
    # It reads no content, so the oldest of the others may continue.
    assert [controller.can_read(9, session) for session in (2, 3, 4)] == [True, False, True]
    controller.begin_transaction(60 * SECOND_US, 1)
    assert controller.find_slow_sessions(90 * SECOND_US) == [1, 2, 3, 4]


def test_stopping_rejects_new_sessions_and_transactions() -> None:
    controller = make_controller()
    controller.open_session(0, 1, "a")
    controller.is_stopping = True
    assert isinstance(controller.open_session(0, 2, "a"), CloseSession) and isinstance(
        controller.begin_transaction(0, 1), CloseSession
    )


STEP = st.tuples(
    st.sampled_from(["connect", "mail", "rcpt", "read", "admit", "end", "release", "disconnect", "identify"]),
    st.integers(0, 5),
    st.integers(0, 400),
)


def apply_step(controller: AdmissionController, now: int, step: tuple[str, int, int], message: str) -> None:
    """Apply a random step; one that is invalid in the current state does nothing."""
    action, session, amount = step
    if action == "connect":
        if session not in controller.sessions:
            controller.open_session(now, session, f"client {amount % 3}")
    elif action == "release":
        if controller.admitted:
            controller.release_message(now, next(iter(controller.admitted)))
    elif action == "disconnect":
        controller.close_session(now, session)
    elif session in controller.sessions:
        apply_session_step(controller, now, step, message)


def apply_session_step(
    controller: AdmissionController, now: int, step: tuple[str, int, int], message: str
) -> None:
    action, session, amount = step
    if action == "mail":
        controller.begin_transaction(now, session)
    elif action == "rcpt":
        controller.reserve_recipient(now, session)
    elif action == "read" and controller.can_read(now, session):
        controller.record_bytes_read(now, session, amount)
    elif action == "end":
        controller.end_transaction(now, session)
    elif action == "identify":
        controller.identify_session(now, session, f"client {amount % 4}")
    elif action == "admit":
        controller.admit_message(now, session, message, ["", "x", "y"][amount % 3])


def shares_of(controller: AdmissionController) -> tuple[FairShare, ...]:
    return (
        controller.session_share,
        controller.message_share,
        controller.buffer_share,
        controller.tenant_share,
    )


def check_bounds(controller: AdmissionController, now: int) -> None:
    sessions = controller.sessions
    assert controller.session_share.used == len(sessions) <= 4
    reserved = sum(len(session.reservations) for session in sessions.values())
    assert len(controller.admitted) + reserved == controller.message_share.used <= 6
    for share in shares_of(controller):
        assert share.used == sum(share.used_by.values())
        assert all(amount > 0 for amount in share.used_by.values())
    # At least one session with buffered bytes may always continue to read.
    buffering = [number for number, session in sessions.items() if session.buffered_bytes]
    assert not buffering or any(controller.can_read(now, number) for number in buffering)


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=120))
def test_whatever_happens_the_bounds_hold_and_all_comes_back(steps: list[tuple[str, int, int]]) -> None:
    controller = make_controller(max_sessions=4, max_messages=6, max_buffered_bytes=1500)
    now = 0
    for number, step in enumerate(steps):
        now += step[2] * 10_000
        apply_step(controller, now, step, f"m{number}")
        check_bounds(controller, now)
    for session in list(controller.sessions):
        controller.close_session(now, session)
    for message in list(controller.admitted):
        controller.release_message(now, message)
    assert all(share.used == 0 for share in shares_of(controller))


def test_acquiring_zero_records_no_user() -> None:
    shares = FairShare(10)
    shares.acquire("a", 0)
    assert shares.used_by == {}


def test_time_left_of_batches_and_messages() -> None:
    assert retry_after.compute_batch_times_left_us([9, 3, 5]) == [3, 3, 5]
    assert retry_after.compute_time_left_us(100, None, None, 50) == 100
    assert retry_after.compute_time_left_us(100, 120, None, 50) == 70
    assert retry_after.compute_time_left_us(100, 200, 30, 50) == 30
