"""Unit tests of the policy: retry schedule, rate limiter, delivery rules, health and load shedding."""

from __future__ import annotations

import ast
import random
import tomllib
from pathlib import Path

import pytest

from honeybarrow import Sender
from honeybarrow.actions import CloseIdleConnections, FailPermanently, ReturnToClient, SendAttempt, Subscribe
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    Endpoint,
    EndpointState,
    MembershipUpdate,
    MessageArrived,
    MessageExpired,
    TimerFired,
    UpdateKind,
)
from honeybarrow.policy import admission, backoff, endpoint_health, rate_limit
from honeybarrow.sender_state import EndpointHealth
from honeybarrow.settings import Idempotency, MessageClass, UtilityDecay, WeightSource
from tests.helpers import CLASSES, SECOND, SenderDriver, make_settings


def make_driver(*targets: str, **changes: object) -> SenderDriver:
    driver = SenderDriver(**changes)
    driver.list_endpoints(*(targets or ("a:1",)))
    return driver


@pytest.mark.parametrize("kind", [UpdateKind.FULL, UpdateKind.CHANGES])
def test_a_message_in_flight_while_its_last_endpoint_leaves_goes_to_the_next_one(kind: UpdateKind) -> None:
    """Guards against messages that wait for the endpoints of a destination record that was removed."""
    driver = make_driver("a:1")
    driver.submit_message("m1")
    gone = Endpoint("a:1", 1, EndpointState.GONE, "shop")
    driver.handle_events(MembershipUpdate(kind, 2, () if kind is UpdateKind.FULL else (gone,)))
    driver.finish_attempt("m1", AttemptStatus.FULL, not_run=True)
    driver.list_endpoints("b:1")
    assert driver.wait_until_sent("m1", 2 * SECOND) and driver.sends[-1][1].target == "b:1"
    driver.finish_attempt("m1", AttemptStatus.OK)
    driver.handle_events(MembershipUpdate(UpdateKind.FULL, 3, ()))
    assert driver.sender.state.destinations == {}


# --- retry schedule


def test_backoff_grows_up_to_its_maximum() -> None:
    rng = random.Random(1)
    means = [sum(backoff.backoff_us(n, rng) for _ in range(200)) / 200 for n in range(1, 12)]
    assert means[0] < means[1] < means[2] < means[3]
    assert means[0] >= backoff.INITIAL_BACKOFF_US
    assert max(backoff.backoff_us(n, rng) for n in range(1, 40)) <= backoff.MAX_BACKOFF_US


def test_backoff_jitter_depends_only_on_the_seed() -> None:
    first = [backoff.backoff_us(1, random.Random(seed)) for seed in range(20)]
    assert len({*first}) == 20
    assert max(first) - min(first) <= backoff.MAX_JITTER_US
    assert first == [backoff.backoff_us(1, random.Random(seed)) for seed in range(20)]


def test_a_retry_is_sent_by_timer_after_its_backoff() -> None:
    driver = make_driver()
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.ERROR)
    assert driver.wait_until_sent("m")
    first, second = driver.get_send_times("m")
    assert (
        backoff.INITIAL_BACKOFF_US
        <= second - first
        <= backoff.INITIAL_BACKOFF_US + backoff.MAX_JITTER_US + 10_000
    )


def test_a_slow_first_attempt_past_the_soft_cap_still_gets_the_minimum_retries() -> None:
    driver = make_driver()
    driver.submit_message("m")
    driver.wait(7 * SECOND)  # past the latency objective of 3 s
    minimum = driver.sender.state.min_retries["note"]
    assert minimum >= backoff.MIN_RETRIES
    driver.finish_attempt("m", AttemptStatus.ERROR)
    assert driver.wait_until_sent("m")
    assert not driver.results


def test_past_the_soft_cap_only_the_minimum_retries_are_sent() -> None:
    driver = make_driver(
        classes=(MessageClass("brief", SECOND, 60 * SECOND, late_utility=0.0),), max_attempts=100
    )
    driver.sender.state.min_retries["brief"] = 2
    driver.submit_message("m", "brief")
    driver.wait(2 * SECOND)
    for _ in range(2):
        driver.finish_attempt("m", AttemptStatus.FULL)
        assert driver.wait_until_sent("m")
    driver.finish_attempt("m", AttemptStatus.FULL)
    assert [type(a) for _, a in driver.results] == [ReturnToClient]


def test_the_hard_cap_overrides_the_minimum_retries() -> None:
    driver = make_driver()
    driver.submit_message("m", time_left_us=SECOND)
    driver.wait(900_000)
    driver.finish_attempt("m", AttemptStatus.ERROR)
    assert len(driver.results) == 1  # without waiting for a retry


def test_utility_decay_determines_the_minimum_retries() -> None:
    line = MessageClass("l", SECOND, 3 * SECOND, late_utility=0.5)
    assert backoff.utility_at(line, UtilityDecay.LINEAR, 2 * SECOND) == pytest.approx(0.75)
    assert backoff.utility_at(line, UtilityDecay.HALVING, 2 * SECOND) == pytest.approx(0.5)
    poor = MessageClass("p", SECOND, 20 * SECOND, late_utility=0.0)
    assert backoff.min_retries(poor, UtilityDecay.HALVING, 12) < backoff.min_retries(
        line, UtilityDecay.LINEAR, 12
    )


# --- rate limiter


def test_the_rate_is_unlimited_until_the_first_rejection_and_halves_once_per_round_trip() -> None:
    driver = make_driver(slots=40)
    for n in range(8):
        driver.submit_message(f"m{n}")
    assert len(driver.sends) == 8
    limiter = driver.sender.state.destinations[1].shared_scope.limiter
    assert limiter.rate is None
    driver.wait(100_000)
    driver.finish_attempt("m0", AttemptStatus.FULL)
    assert limiter.rate == pytest.approx(4.0)
    driver.finish_attempt("m1", AttemptStatus.FULL)
    driver.finish_attempt("m2", AttemptStatus.FULL)
    assert limiter.rate == pytest.approx(4.0)  # the same round trip
    driver.finish_attempt("m3", AttemptStatus.OK)
    assert limiter.rate is not None and limiter.rate > 4.0


def test_the_rate_falls_far_below_the_listed_limit_but_not_to_zero() -> None:
    """The actual limit may be far below the listed one, but without any call the rate would never grow."""
    for bounds, least in (((10.0, 20.0), 2.5), ((0.0, 1e9), rate_limit.MIN_RATE)):
        limiter = rate_limit.RateLimiter()
        for round_us in range(1, 9):
            limiter.record_send(round_us * SECOND)
            limiter.on_rejection(round_us * SECOND + 1, round_us * SECOND, bounds)
        assert limiter.rate == least
    limiter.rate = 2.5
    limiter.on_success((10.0, 20.0))
    assert limiter.rate >= 7.0  # quick recovery


def test_a_rejection_after_a_second_without_sends_starts_from_one_call_per_second() -> None:
    limiter = rate_limit.RateLimiter()
    limiter.record_send(0)
    limiter.on_rejection(3 * SECOND, 0, (0.0, 1e9))
    assert limiter.rate == pytest.approx(0.5)


def test_a_tiny_share_of_a_limit_does_not_delay_a_message_past_its_backoff() -> None:
    """The share of this sender is one call per minute, longer than a message lives."""
    driver = SenderDriver(senders=300, weight_source=WeightSource.NOMINAL)
    rows = (Endpoint("a:1", 1, EndpointState.READY, "shop", weight=5.0),)
    driver.handle_events(MembershipUpdate(UpdateKind.CHANGES, 1, rows))
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.FULL)
    assert driver.wait_until_sent("m", 12 * SECOND)


# --- delivery rules


def test_retry_after_holds_back_every_message_of_the_destination() -> None:
    driver = make_driver("a:1", "b:1")
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.FULL, retry_after_us=SECOND)
    driver.submit_message("n")
    driver.wait(990_000)
    assert not driver.get_send_times("n")
    driver.wait(10 * SECOND)
    assert driver.get_send_times("n")[0] >= SECOND


def test_retry_after_applies_to_one_route_where_routes_are_separate() -> None:
    driver = SenderDriver()
    driver.list_endpoints("a:1", "b:1", kind="fork")
    driver.submit_message("m")
    target = driver.sends[0][1].target
    driver.finish_attempt("m", AttemptStatus.FULL, retry_after_us=SECOND)
    driver.submit_message("n")
    assert driver.sends[-1][1].message == "n"
    assert driver.sends[-1][1].target != target


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_attempt_is_sent_to_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    driver = make_driver()
    driver.handle_events(MembershipUpdate(UpdateKind.CHANGES, 2, (Endpoint("a:1", 1, state, "shop"),)))
    driver.submit_message("m")
    driver.wait(15 * SECOND)
    assert not driver.sends


def test_an_endpoint_missing_from_a_full_list_is_removed_and_its_calls_finish() -> None:
    driver = make_driver()
    driver.submit_message("m")
    driver.handle_events(MembershipUpdate(UpdateKind.FULL, 2, ()))
    driver.finish_attempt("m", AttemptStatus.OK)
    driver.submit_message("n")
    driver.wait(17 * SECOND)
    assert not driver.get_send_times("n")
    assert [a.message for _, a in driver.results] == ["n"]


@pytest.mark.parametrize(
    "status", [AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED]
)
def test_a_non_idempotent_message_that_may_have_run_fails_at_once(status: AttemptStatus) -> None:
    driver = make_driver()
    driver.submit_message("m", "pay")
    driver.finish_attempt("m", status)
    assert [type(a) for _, a in driver.results] == [FailPermanently]


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT])
def test_a_non_idempotent_message_that_did_not_run_is_retried(status: AttemptStatus) -> None:
    driver = make_driver()
    driver.submit_message("m", "pay")
    driver.finish_attempt("m", status)
    assert driver.wait_until_sent("m")


def test_an_ambiguous_keyed_message_is_not_sent_after_its_key_window() -> None:
    driver = make_driver()
    driver.submit_message("m", "post")
    driver.wait(4_950_000)
    driver.finish_attempt("m", AttemptStatus.TIMEOUT)
    driver.wait(15 * SECOND)
    assert len(driver.get_send_times("m")) == 1
    assert len(driver.results) == 1


def test_a_keyed_attempt_times_out_early_enough_for_a_retry() -> None:
    driver = make_driver()
    driver.submit_message("m", "post")
    assert driver.sends[0][1].timeout_us < 5 * SECOND / 2


def test_an_ambiguous_zonal_message_stays_in_its_zone() -> None:
    driver = SenderDriver()
    driver.list_endpoints("a:1", zone="x")
    driver.submit_message("m", "zonal")
    driver.finish_attempt("m", AttemptStatus.ERROR)
    gone = Endpoint("a:1", 1, EndpointState.GONE, "shop", "x")
    driver.handle_events(MembershipUpdate(UpdateKind.CHANGES, 2, (gone,)))
    driver.list_endpoints("b:1", zone="y")
    driver.wait(19 * SECOND)
    assert len(driver.sends) == 1
    assert [type(a) for _, a in driver.results] == [FailPermanently]


def test_order_key_zero_has_a_cooldown_like_any_other() -> None:
    driver = make_driver()
    driver.submit_message("m", "step", order_key=0)
    driver.submit_message("n", "step", order_key=0)
    driver.finish_attempt("m", AttemptStatus.TIMEOUT)
    ended = driver.now
    driver.handle_events(MessageExpired("m"))
    assert driver.wait_until_sent("n")
    assert driver.get_send_times("n")[0] >= ended + driver.settings.order_key_cooldown_us


def test_calls_in_flight_never_exceed_the_slots() -> None:
    driver = SenderDriver(slots=3)
    for d in range(6):
        driver.list_endpoints(f"a:{d}", destination=d)
        driver.submit_message(f"m{d}", destination=d)
    assert len(driver.sends) == 3


def test_max_attempts_is_enforced() -> None:
    driver = make_driver(max_attempts=2)
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.FULL)
    assert driver.wait_until_sent("m")
    driver.finish_attempt("m", AttemptStatus.FULL)
    assert [type(a) for _, a in driver.results] == [ReturnToClient]


def test_a_message_goes_only_to_its_own_destination() -> None:
    driver = make_driver()
    driver.submit_message("m", destination=2)
    driver.wait(17 * SECOND)
    assert not driver.sends


def test_messages_of_an_order_key_are_sent_one_by_one_with_a_cooldown_after_ambiguity() -> None:
    driver = make_driver()
    driver.submit_message("m", "step", order_key=5)
    driver.submit_message("n", "step", order_key=5)
    driver.submit_message("o", "step", order_key=6)
    assert [s.message for _, s in driver.sends] == ["m", "o"]
    driver.finish_attempt("m", AttemptStatus.TIMEOUT)
    driver.handle_events(MessageExpired("m"))
    driver.wait(900_000)
    assert not driver.get_send_times("n")
    assert driver.wait_until_sent("n", 3 * SECOND)


# --- health


def test_an_outage_leaves_one_health_check_at_a_time() -> None:
    """Guards against calls to a dead destination for every message and retry."""
    driver = make_driver(slots=20)
    for n in range(10):
        driver.submit_message(f"m{n}")
    for n in range(10):
        driver.finish_attempt(f"m{n}", AttemptStatus.CONNECT_FAILED)
    before = len(driver.sends)
    driver.wait(6 * SECOND)
    assert len(driver.sends) == before + 1


def test_failure_of_most_calls_is_an_outage_and_of_two_in_five_is_not() -> None:
    """Two consecutive errors are common at a destination that serves most of its calls."""
    driver = make_driver(slots=20)
    endpoint = driver.sender.state.endpoints["a:1"]
    for n in range(12):
        driver.submit_message(f"m{n}")
        driver.finish_attempt(f"m{n}", AttemptStatus.ERROR if n % 5 < 2 else AttemptStatus.OK)
    assert endpoint.health.value == "well"
    for n in range(20, 28):
        driver.submit_message(f"m{n}", "pay")
        if driver.get_send_times(f"m{n}"):
            driver.finish_attempt(f"m{n}", AttemptStatus.ERROR)
    assert endpoint.health.value == "out"


def test_three_consecutive_lost_calls_are_an_outage() -> None:
    """Guards against slow start after each call lost by chance."""
    driver = make_driver(slots=20)
    endpoint = driver.sender.state.endpoints["a:1"]
    for n in range(3):
        assert endpoint.health.value == "well"
        driver.submit_message(f"m{n}", "pay")
        driver.finish_attempt(f"m{n}", AttemptStatus.TIMEOUT)
    assert endpoint.health.value == "out"


def test_an_answer_soon_after_a_failed_connect_skips_slow_start() -> None:
    driver = make_driver(slots=20)
    endpoint = driver.sender.state.endpoints["a:1"]
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
    assert driver.wait_until_sent("m", 3 * SECOND)
    driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
    assert endpoint.health.value == "out"
    assert driver.wait_until_sent("m", 3 * SECOND)
    driver.finish_attempt("m", AttemptStatus.OK)
    assert endpoint.health.value == "well"


def test_a_sender_with_few_calls_detects_a_small_connection_table_by_an_early_retry() -> None:
    """Guards against a full table being taken for an outage, followed by health checks and slow start."""
    driver = make_driver(senders=200)
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
    assert driver.sender.state.endpoints["a:1"].health is EndpointHealth.HEALTHY
    assert driver.wait_until_sent("m", SECOND)
    driver.finish_attempt("m", AttemptStatus.OK)
    driver.submit_message("n")
    driver.finish_attempt("n", AttemptStatus.OK)
    assert driver.sender.state.connection_evidence["shop"] > 0


def test_scarce_slots_go_to_messages_with_most_utility_per_slot_time() -> None:
    driver = SenderDriver(slots=1)
    driver.list_endpoints("slow:1")
    driver.list_endpoints("quick:1", destination=2)
    for n in range(12):
        for number, took in ((1, 900_000), (2, 50_000)):
            driver.submit_message(f"m{n}-{number}", destination=number)
            driver.wait(took)
            driver.finish_attempt(f"m{n}-{number}", AttemptStatus.OK)
    driver.submit_message("busy", destination=2)
    driver.submit_message("slow", destination=1)
    driver.submit_message("quick", destination=2)
    driver.finish_attempt("busy", AttemptStatus.OK)
    assert driver.get_send_times("quick") and not driver.get_send_times("slow")


def test_health_checks_of_many_senders_back_off_with_the_age_of_the_outage() -> None:
    """An even share of the budget would allow one health check in minutes."""
    driver = SenderDriver(senders=300)
    driver.list_endpoints("a:1")
    endpoint = driver.sender.state.endpoints["a:1"]
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
    assert endpoint.next_call_us - driver.now <= 3 * SECOND
    early = endpoint_health.call_interval_us(driver.sender.state, endpoint)
    driver.wait(12 * SECOND)
    driver.submit_message("n")
    late = endpoint_health.call_interval_us(driver.sender.state, endpoint)
    assert early <= 3 * SECOND
    assert late >= 3 * 12 * SECOND
    few = SenderDriver(senders=2)
    few.list_endpoints("a:1")
    few.submit_message("m")
    few.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
    few.wait(12 * SECOND)
    few.submit_message("n")
    assert endpoint_health.call_interval_us(few.sender.state, few.sender.state.endpoints["a:1"]) <= 2 * SECOND


def test_a_silent_destination_does_not_take_all_slots() -> None:
    driver = make_driver(slots=6)
    driver.list_endpoints("b:1", destination=2)
    for n in range(20):
        driver.submit_message(f"m{n}")
    assert len(driver.sends) <= 4
    driver.submit_message("other", destination=2)
    assert driver.get_send_times("other")


def test_senders_with_the_same_retry_after_return_at_different_times() -> None:
    """Guards against all senders calling a cold destination as it reopens."""
    starts = []
    for seed in range(12):
        driver = SenderDriver(senders=12)
        driver.sender = Sender(driver.settings, seed)
        driver.list_endpoints("a:1", kind="hub")
        for n in range(8):
            driver.submit_message(f"m{n}")
        for n in range(4):
            driver.finish_attempt(f"m{n}", AttemptStatus.FULL, retry_after_us=5 * SECOND)
        driver.sends.clear()
        driver.wait(5 * SECOND + 100_000)
        assert len(driver.sends) <= 1  # a health check is not a batch
        starts += [at for at, _ in driver.sends]
    assert len(starts) <= 3  # out of twelve senders


def test_a_full_connection_table_is_no_outage_and_closes_idle_connections() -> None:
    """Idle connections of many senders fill a small table and lock the others out."""
    driver = make_driver(slots=20)
    endpoint = driver.sender.state.endpoints["a:1"]
    for n in range(4):
        driver.submit_message(f"m{n}")
    driver.finish_attempt("m3", AttemptStatus.CONNECT_FAILED)
    assert endpoint.health is EndpointHealth.HEALTHY
    for n in range(3):
        assert CloseIdleConnections("a:1") not in driver.other_actions
        driver.finish_attempt(f"m{n}", AttemptStatus.OK)
    assert CloseIdleConnections("a:1") in driver.other_actions  # once no call is in flight
    driver.list_endpoints("b:1", destination=2)
    driver.submit_message("n", destination=2)
    driver.finish_attempt("n", AttemptStatus.OK)
    assert CloseIdleConnections("b:1") in driver.other_actions  # applies to all destinations of the kind


def test_a_call_lost_on_an_idle_connection_closes_idle_connections_for_a_period() -> None:
    """A connection dropped while idle loses the next call, which ends a non-idempotent message."""
    driver = make_driver(slots=20)
    driver.list_endpoints("b:1", destination=2)
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.OK)
    assert not [a for a in driver.other_actions if isinstance(a, CloseIdleConnections)]
    driver.wait(3 * SECOND)
    driver.submit_message("n")
    driver.wait(SECOND)
    driver.finish_attempt("n", AttemptStatus.TIMEOUT)
    assert driver.wait_until_sent("n")
    driver.finish_attempt("n", AttemptStatus.OK)
    assert driver.sender.state.endpoints["a:1"].health is EndpointHealth.HEALTHY
    driver.submit_message("o", destination=2)
    driver.finish_attempt("o", AttemptStatus.OK)
    assert CloseIdleConnections("b:1") in driver.other_actions
    driver.wait(endpoint_health.STALE_PERIOD_US)
    driver.other_actions.clear()
    driver.submit_message("p", destination=2)
    driver.finish_attempt("p", AttemptStatus.OK)
    assert not driver.other_actions


def test_a_replacement_of_an_ejected_endpoint_starts_ejected() -> None:
    """Guards against sending the whole backlog to a new endpoint at once."""
    driver = SenderDriver(senders=20)
    driver.list_endpoints("a:1")
    driver.submit_message("m0")
    driver.finish_attempt("m0", AttemptStatus.CONNECT_FAILED)
    assert driver.wait_until_sent("m0")
    driver.finish_attempt("m0", AttemptStatus.CONNECT_FAILED)
    for n in range(1, 6):
        driver.submit_message(f"m{n}")
    before = len(driver.sends)
    driver.list_endpoints("a:2")
    assert len(driver.sends) == before
    assert driver.sender.state.endpoints["a:2"].health is EndpointHealth.EJECTED


def test_a_few_rejections_far_apart_are_no_outage() -> None:
    """One of hundreds of senders occasionally meets a limit that others have used up."""
    driver = make_driver(max_attempts=1)
    for n in range(2):
        driver.submit_message(f"m{n}", "pay")
        assert driver.get_send_times(f"m{n}") or driver.wait_until_sent(f"m{n}")
        driver.finish_attempt(f"m{n}", AttemptStatus.FULL)
        driver.wait(3 * SECOND)
    assert driver.sender.state.endpoints["a:1"].health is EndpointHealth.HEALTHY


def test_messages_about_to_expire_have_less_urgency() -> None:
    """Their calls would be cut off at expiry, and the destination would seem silent."""
    driver = make_driver()
    driver.submit_message("old", time_left_us=300_000)
    driver.submit_message("new", time_left_us=9 * SECOND)
    old, new = driver.sender.state.messages["old"], driver.sender.state.messages["new"]
    assert admission.urgency(driver.sender.state, new) > admission.urgency(driver.sender.state, old)


def test_no_late_message_is_skipped_when_several_are_sent_together() -> None:
    """Guards against skipping a message when a send removes another from the list being iterated."""
    driver = SenderDriver(
        classes=(MessageClass("note", 3 * SECOND, 16 * SECOND, late_utility=0.4),), kinds=()
    )
    for n in range(3):
        driver.submit_message(f"m{n}", time_left_us=800_000)
    driver.list_endpoints("a:1")
    assert [s.message for _, s in driver.sends] == ["m0", "m1", "m2"]


def test_the_response_timeout_is_longer_during_slow_start() -> None:
    driver = make_driver()
    endpoint = driver.sender.state.endpoints["a:1"]
    usual = endpoint_health.response_timeout_us(endpoint)
    endpoint.health = EndpointHealth.SLOW_START
    assert endpoint_health.response_timeout_us(endpoint) > usual


# --- load shedding, batches, membership, invalid input


def test_messages_of_least_utility_are_returned_before_the_capacity_is_reached() -> None:
    driver = SenderDriver(max_open=20)
    for n in range(20):
        driver.submit_message(f"m{n}")
    assert len(driver.sender.state.messages) <= 19
    assert all(isinstance(a, ReturnToClient) and a.retry_after_us > 0 for _, a in driver.results)


def test_load_shedding_returns_the_first_arrival_of_equal_utility_else_the_oldest() -> None:
    driver = SenderDriver(max_open=20)
    for n in range(18):
        driver.submit_message(f"m{n}")
    driver.submit_message("older", time_left_us=15 * SECOND)
    driver.submit_message("new")
    assert [a.message for _, a in driver.results] == ["m0"]
    driver.submit_message("late", time_left_us=9 * SECOND)
    assert [a.message for _, a in driver.results] == ["m0", "late"]


def test_completed_messages_are_removed_from_all_queues() -> None:
    driver = make_driver()
    for n in range(200):
        driver.submit_message(f"m{n}")
        driver.finish_attempt(f"m{n}", AttemptStatus.OK)
    assert not any(len(queue) for pair in driver.sender.state.shedding_queues.values() for queue in pair)
    assert not driver.sender.state.destinations[1].waiting and not driver.sender.state.messages


def test_messages_for_one_endpoint_are_batched_in_one_call() -> None:
    driver = SenderDriver(slots=1)
    arrivals = [MessageArrived(f"m{n}", "note", 1, 16 * SECOND) for n in range(6)]
    driver.list_endpoints("a:1", kind="hub")
    driver.handle_events(*arrivals)
    assert len(driver.sends) == 4  # one slot, max_batch_size 4
    for name in [s.message for _, s in driver.sends]:
        driver.finish_attempt(name, AttemptStatus.OK)
    assert len(driver.sends) == 6


def test_the_endpoint_list_is_requested_again_after_a_failure() -> None:
    driver = SenderDriver(polls_endpoint_list=True, poll_interval_us=10 * SECOND)
    driver.handle_events(MembershipUpdate(UpdateKind.SAVED, 1, ()))
    assert driver.other_actions == [Subscribe()]
    driver.handle_events(MembershipUpdate(UpdateKind.FAILED))
    driver.wait(9 * SECOND)
    assert driver.other_actions.count(Subscribe()) == 2


def test_stale_events_are_ignored() -> None:
    driver = make_driver()
    driver.submit_message("m")
    driver.finish_attempt("m", AttemptStatus.OK)
    driver.finish_attempt("m", AttemptStatus.OK)
    driver.handle_events(
        MessageExpired("m"), TimerFired("stale"), AttemptFinished("x", 0, "a:1", AttemptStatus.OK)
    )
    driver.submit_message("late", time_left_us=1)
    driver.wait(1000)
    assert not driver.sender.state.messages


def test_duplicate_ids_and_a_backwards_clock_raise() -> None:
    driver = make_driver()
    driver.submit_message("m")
    with pytest.raises(ValueError, match="given twice"):
        driver.submit_message("m")
    with pytest.raises(ValueError, match="backwards"):
        driver.sender.handle(-1, [])


@pytest.mark.parametrize("name", ["slots", "max_open", "senders", "max_attempts"])
def test_counts_below_one_are_rejected(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        Sender(make_settings(**{name: 0}), 1)


def test_a_deadline_below_the_latency_objective_is_rejected() -> None:
    with pytest.raises(ValueError, match="deadline_us"):
        Sender(make_settings(classes=(*CLASSES, MessageClass("x", 5, 4))), 1)


def test_policy_modules_are_small_and_perform_no_io() -> None:
    """Checks imports, line and module length, and that the deploy file lists every module."""
    allowed = {"collections", "dataclasses", "functools", "heapq", "itertools", "math", "random", "typing"}
    allowed |= {"honeybarrow"}
    folder = Path(backoff.__file__).parent
    root = folder.parent.parent
    files = sorted(str(each.relative_to(root)) for each in folder.rglob("*.py"))
    lines = [line for each in files for line in (root / each).read_text(encoding="utf-8").splitlines()]
    assert max(map(len, lines)) <= 110
    for each in files:
        tree = ast.parse((root / each).read_text(encoding="utf-8"))
        imported = {
            (node.module or "") if isinstance(node, ast.ImportFrom) else alias.name
            for node in ast.walk(tree)
            if isinstance(node, ast.Import | ast.ImportFrom)
            for alias in node.names
        }
        assert {name.split(".")[0] for name in imported} <= allowed, each
        assert not {"time", "open"} & {node.id for node in ast.walk(tree) if isinstance(node, ast.Name)}, each
        assert (root / each).read_text(encoding="utf-8").count("\n") <= 300, each
    deploy = tomllib.loads((root / "deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == files  # the deploy file lists files, not folders


def call_times_after_reopening(wait_us: int) -> list[int]:
    """Return the calls of 110 senders that got a Retry-After for the same reopening, relative to it."""
    sent: list[int] = []
    for number in range(110):
        classes = (MessageClass("note", 3 * SECOND, 60 * SECOND, late_utility=0.4),)
        driver = SenderDriver(
            senders=120,
            weight_source=WeightSource.NOMINAL,
            collapse_multiple=2.5,
            collapse_window_us=1_500_000,
            classes=classes,
        )
        driver.sender.state.rng.seed(number)
        rows = (Endpoint("a:1", 1, EndpointState.READY, "shop", weight=15.0),)
        driver.handle_events(MembershipUpdate(UpdateKind.FULL, 1, rows))
        driver.wait(wait_us * number // 111)
        retry_after_us = wait_us - driver.now
        driver.submit_message("m")
        driver.finish_attempt("m", AttemptStatus.FULL, retry_after_us=retry_after_us)
        assert driver.wait_until_sent("m", 25 * SECOND)
        sent.append(driver.get_send_times("m")[1] - wait_us)
    return sent


def test_senders_with_the_same_announced_reopening_stay_within_the_cold_budget() -> None:
    sent = call_times_after_reopening(9 * SECOND)
    assert min(sent) >= 0 and max(sent) < 12 * SECOND
    for start in range(0, 9 * SECOND, SECOND // 2):
        capacity = 15.0 * (0.2 + 0.8 * (start / SECOND + 0.75) / 10)
        slack = 1.15  # for random variation
        assert sum(start <= at < start + 1_500_000 for at in sent) < 2.5 * capacity * 1.5 * slack


def test_a_retry_after_as_short_as_a_limit_period_spreads_calls_slightly() -> None:
    sent = call_times_after_reopening(2 * SECOND)
    assert max(sent) < 10 * SECOND
    assert sum(at < SECOND for at in sent) < 55


def test_slow_start_counts_from_the_announced_reopening() -> None:
    driver = SenderDriver(senders=120, weight_source=WeightSource.NOMINAL, warm_up_us=10 * SECOND)
    driver.list_endpoints("a:1")
    driver.submit_message("m", "post")
    driver.finish_attempt("m", AttemptStatus.FULL, retry_after_us=8 * SECOND)
    assert driver.wait_until_sent("m", 20 * SECOND)
    driver.finish_attempt("m", AttemptStatus.OK)
    assert driver.sender.state.endpoints["a:1"].health_since_us == 8 * SECOND


def test_a_busy_sender_gets_its_measured_share_of_a_reported_limit() -> None:
    """An even split of the limit would starve the busy senders."""
    driver = SenderDriver(senders=100, slots=20, load_report_fields=("x0", "x1"))
    driver.list_endpoints("a:1")
    report = (0.2, 10.0)  # all senders use eight calls per second
    for n in range(40):  # this sender uses 2.5 of them
        driver.submit_message(f"m{n}")
        driver.finish_attempt(f"m{n}", AttemptStatus.OK, load_report=report)
        driver.wait(400_000)
    low, high = rate_limit.rate_bounds(driver.sender.state, driver.sender.state.endpoints["a:1"])
    assert 1.5 < low < 2.5 < high < 5.0
    driver.submit_message("full")
    driver.finish_attempt("full", AttemptStatus.FULL, load_report=report)
    assert driver.wait_until_sent("full")
    driver.finish_attempt("full", AttemptStatus.OK, load_report=report)
    for n in range(20):
        driver.submit_message(f"n{n}")
        assert driver.get_send_times(f"n{n}") or driver.wait_until_sent(f"n{n}", 2 * SECOND)
        driver.finish_attempt(f"n{n}", AttemptStatus.OK, load_report=report)
    assert (
        driver.sender.state.endpoints["a:1"].scope.limiter.rate or 0
    ) > 1.5  # an even split would allow 0.25


def test_a_connection_is_kept_only_if_demand_reuses_it_before_the_idle_timeout() -> None:
    driver = SenderDriver(idle_timeout_us=5 * SECOND, slots=20)
    driver.list_endpoints("a:1")
    for n in range(6):  # one call in 8 s: closed each time
        driver.submit_message(f"rare{n}")
        driver.finish_attempt(f"rare{n}", AttemptStatus.OK)
        driver.wait(8 * SECOND)
    assert driver.other_actions.count(CloseIdleConnections("a:1")) == 6
    for n in range(20):  # two calls per second: kept
        driver.submit_message(f"often{n}")
        driver.finish_attempt(f"often{n}", AttemptStatus.OK)
        driver.wait(SECOND // 2)
    assert driver.other_actions.count(CloseIdleConnections("a:1")) < 9


def test_failure_backoff_grows_with_the_duration_of_the_failures() -> None:
    """Guards against a collapse by many senders with too few failures each to detect the outage."""
    delays: list[int] = []
    for number in range(100):
        classes = (MessageClass("note", 3 * SECOND, 60 * SECOND, late_utility=0.4),)
        driver = SenderDriver(
            senders=100, weight_source=WeightSource.NOMINAL, collapse_window_us=1_500_000, classes=classes
        )
        driver.sender.state.rng.seed(number)
        rows = tuple(Endpoint(t, 1, EndpointState.READY, "shop", weight=10.0) for t in ("a:1", "a:2"))
        driver.handle_events(MembershipUpdate(UpdateKind.FULL, 1, rows))
        driver.sender.state.connection_evidence["shop"] = 1.0
        driver.submit_message("m")
        for _ in range(2):
            driver.wait(SECOND)  # each connect times out after a second
            driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
            failed = driver.now
            assert driver.wait_until_sent("m", 14 * SECOND)
            delays.append(driver.now - failed)
    first, second = sorted(delays[::2]), sorted(delays[1::2])
    assert first[50] > SECOND and second[50] > 3 * SECOND
    for start in range(0, 6 * SECOND, SECOND // 2):  # 100 senders and a growing budget of 6 calls
        capacity = 10.0 * (0.2 + 0.8 * (start / SECOND + 0.75) / 10)
        assert sum(start <= at < start + 1_500_000 for at in second) < 2.0 * capacity * 1.5 * 3


def test_a_loss_on_an_idle_connection_starts_no_failure_backoff_but_the_next_loss_does() -> None:
    driver = SenderDriver(senders=100, slots=20)
    driver.list_endpoints("a:1")
    scope = driver.sender.state.endpoints["a:1"].scope
    for n in range(8):
        driver.submit_message(f"warm{n}")
        driver.finish_attempt(f"warm{n}", AttemptStatus.OK)
        driver.wait(SECOND // 2)
    driver.submit_message("m")
    driver.wait(2 * SECOND)
    driver.finish_attempt("m", AttemptStatus.TIMEOUT)
    assert scope.failure_backoff_until_us <= driver.now
    assert driver.wait_until_sent("m", SECOND)
    driver.wait(2 * SECOND)
    driver.finish_attempt("m", AttemptStatus.TIMEOUT)
    assert scope.failure_backoff_until_us > driver.now


def test_one_slow_connect_failure_spreads_the_next_calls_over_most_of_the_warm_up() -> None:
    """Most of hundreds of senders see a single failure before a silent destination returns."""
    gaps: dict[int, list[int]] = {}
    for took in (20_000, SECOND):
        for number in range(60):
            driver = SenderDriver(senders=200, weight_source=WeightSource.NOMINAL)
            driver.sender.state.rng.seed(number)
            rows = (Endpoint("a:1", 1, EndpointState.READY, "shop", weight=10.0),)
            driver.handle_events(MembershipUpdate(UpdateKind.FULL, 1, rows))
            driver.submit_message("m")
            driver.wait(took)
            driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
            failed = driver.now
            assert driver.wait_until_sent("m", 12 * SECOND)
            gaps.setdefault(took, []).append(driver.now - failed)
    assert sorted(gaps[SECOND])[30] > 4 * SECOND
    assert max(gaps[20_000]) < SECOND  # an immediate failure more likely means a full table


def test_a_small_fleet_has_no_failure_backoff() -> None:
    driver = SenderDriver(senders=3)
    driver.list_endpoints("a:1")
    driver.submit_message("m")
    driver.wait(SECOND)
    driver.finish_attempt("m", AttemptStatus.CONNECT_FAILED)
    assert driver.sender.state.endpoints["a:1"].scope.failure_backoff_until_us <= driver.now
    assert driver.wait_until_sent("m", SECOND)


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT])
def test_a_destination_with_only_short_deadlines_recovers(effect: Idempotency) -> None:
    # The response timeout of an ejected endpoint is 6 s, more than the deadline of 4 s.
    driver = SenderDriver(classes=(MessageClass("note", SECOND, 4 * SECOND, effect),))
    driver.list_endpoints("a")
    for number in range(6):
        driver.submit_message(f"lost{number}")
        while any(m.in_flight for m in driver.sender.state.messages.values()):
            driver.finish_attempt(f"lost{number}", AttemptStatus.TIMEOUT, not_run=True)
            driver.wait(400_000)
    driver.wait(4 * SECOND)
    assert driver.sender.state.endpoints["a"].health is EndpointHealth.EJECTED
    for number in range(10):
        driver.submit_message(f"new{number}")
        driver.wait(SECOND)
    assert any(send.message.startswith("new") for _, send in driver.sends)


def test_a_busy_sender_uses_slow_start_after_a_short_outage() -> None:
    # After 1.3 s of silence, the backlog must not be sent on the first answer.
    driver = SenderDriver(slots=16, max_open=500, weight_source=WeightSource.NOMINAL)
    rows = (Endpoint("a", 1, EndpointState.READY, "shop", weight=30.0),)
    driver.handle_events(MembershipUpdate(UpdateKind.FULL, 1, rows))
    silence_start, silence_end = SECOND, 2_300_000
    ended = 0
    for step in range(500):
        if step % 3 == 0:
            driver.submit_message(f"m{step}")
        finished = [
            call
            for call in driver.sends[ended:]
            if driver.now >= call_end_us(call, silence_start, silence_end)
        ]
        for at, send in finished:
            status = AttemptStatus.TIMEOUT if silence_start <= at < silence_end else AttemptStatus.OK
            driver.finish_attempt(send.message, status)
            driver.sends.remove((at, send))
            driver.sends.insert(ended, (at, send))
            ended += 1
        driver.wait(10_000)
    sent = [at for at, _ in driver.sends if silence_end <= at < silence_end + SECOND]
    assert 0 < len(sent) <= driver.settings.collapse_multiple * 0.3 * 30.0


def call_end_us(call: tuple[int, SendAttempt], silence_start: int, silence_end: int) -> int:
    """Return when a call ends: at its timeout if it was sent during the silence, else at its answer."""
    at, send = call
    return at + (send.timeout_us if silence_start <= at < silence_end else 50_000)


def test_senders_rejected_together_do_not_return_together() -> None:
    # Each of 150 senders is rejected once within half a second and may send its next call 4 s later.
    return_times: list[int] = []
    for number in range(150):
        driver = SenderDriver(senders=150, weight_source=WeightSource.NOMINAL)
        driver.sender.state.rng.seed(number)
        driver.now = 3_000 * number
        row = Endpoint("a", 1, EndpointState.READY, "shop", weight=6.0)
        driver.handle_events(MembershipUpdate(UpdateKind.FULL, 1, (row,)))
        driver.submit_message("m")
        driver.finish_attempt("m", AttemptStatus.FULL)
        if driver.wait_until_sent("m", 16 * SECOND):
            return_times.append(driver.get_send_times("m")[-1])
    first = min(return_times)
    assert len(return_times) > 50
    assert sum(at < first + SECOND for at in return_times) < len(return_times) / 2


def test_calls_in_flight_count_as_losses_of_a_short_outage() -> None:
    """Three calls were lost and five are in flight when a later one is answered, which makes eight losses."""
    driver = make_driver(slots=40)
    for n in range(8):
        driver.submit_message(f"m{n}", "pay")
    driver.wait(1_900_000)  # past the response timeout
    for n in range(3):
        driver.finish_attempt(f"m{n}", AttemptStatus.TIMEOUT)
    endpoint = driver.sender.state.endpoints["a:1"]
    healths = [endpoint.health]
    driver.submit_message("trial")
    assert driver.wait_until_sent("trial")
    driver.finish_attempt("trial", AttemptStatus.OK)
    healths.append(endpoint.health)
    assert healths == [EndpointHealth.EJECTED, EndpointHealth.SLOW_START]


def test_a_sibling_of_an_endpoint_in_slow_start_enters_slow_start_too() -> None:
    driver = make_driver("a:1", "a:2")
    one, two = (driver.sender.state.endpoints[target] for target in ("a:1", "a:2"))
    for endpoint in (one, two):
        endpoint_health.eject(driver.sender.state, endpoint, "test")
    endpoint_health.change_health(one, EndpointHealth.SLOW_START, driver.now)
    two.next_call_us = driver.now
    two.outage_since_us = driver.now
    one.is_usable = False
    driver.submit_message("m")
    assert driver.get_send_times("m")
    driver.finish_attempt("m", AttemptStatus.OK)
    assert two.health is EndpointHealth.SLOW_START


@pytest.mark.parametrize(
    ("senders", "health"), [(3, EndpointHealth.SLOW_START), (40, EndpointHealth.HEALTHY)]
)
def test_refused_connects_are_an_outage_only_among_few_senders(senders: int, health: EndpointHealth) -> None:
    driver = make_driver(slots=40, senders=senders)
    for n in range(7):
        driver.submit_message(f"m{n}")
    for n in range(7):
        driver.finish_attempt(f"m{n}", AttemptStatus.CONNECT_FAILED, not_run=True)
    endpoint = driver.sender.state.endpoints["a:1"]
    assert endpoint.health is EndpointHealth.EJECTED
    assert driver.wait_until_sent("m0")
    assert driver.now < endpoint_health.MIN_OUTAGE_US
    driver.finish_attempt("m0", AttemptStatus.OK)
    assert endpoint.health is health


def count_closes(count: int, fails: range, status: AttemptStatus, pause_us: int) -> tuple[int, SenderDriver]:
    """Make sequential calls, of which those in ``fails`` first end with ``status``.

    Return how often idle connections were closed, and the driver.
    """
    driver = make_driver(senders=2, slots=20)
    for n in range(count):
        driver.submit_message(f"m{n}")
        if n in fails:
            driver.finish_attempt(f"m{n}", status)
            assert driver.wait_until_sent(f"m{n}", 3 * SECOND)
        driver.finish_attempt(f"m{n}", AttemptStatus.OK)
        driver.wait(pause_us)
    return sum(isinstance(action, CloseIdleConnections) for action in driver.other_actions), driver


def test_rare_connect_failures_are_no_evidence_of_a_full_connection_table() -> None:
    assert count_closes(200, range(49, 200, 50), AttemptStatus.CONNECT_FAILED, 50_000)[0] == 0


def test_frequent_connect_failures_are_evidence_of_a_full_connection_table() -> None:
    closes, driver = count_closes(60, range(3, 40, 4), AttemptStatus.CONNECT_FAILED, 50_000)
    assert closes > 50 and driver.sender.state.connection_evidence["shop"] > 0


def test_a_rare_loss_on_an_idle_connection_closes_no_other_connections() -> None:
    # Connections are closed only after the losses themselves.
    assert (
        count_closes(100, range(39, 100, 40), AttemptStatus.RESET, endpoint_health.MIN_STALE_IDLE_US + 1)[0]
        <= 4
    )


def test_a_single_load_report_does_not_move_the_rate_bounds() -> None:
    # A limit that six senders use up seems free at the start of each period. Such a report must not make each
    # sender take its own share for nearly all of the limit.
    driver = SenderDriver(senders=6, load_report_fields=("x0", "x1"), weight_source=WeightSource.APPROXIMATE)
    driver.list_endpoints("a")
    bounds: list[float] = []
    for number in range(40):
        driver.submit_message(f"m{number}")
        driver.wait(200_000)
        remaining_share = 0.95 if number == 39 else 0.1
        driver.finish_attempt(f"m{number}", AttemptStatus.OK, load_report=(remaining_share, 12.0))
        bounds.append(rate_limit.rate_bounds(driver.sender.state, driver.sender.state.endpoints["a"])[1])
    assert bounds[-2] < 12.0
    assert bounds[-1] < 1.3 * bounds[-2]
