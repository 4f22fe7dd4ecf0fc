"""Pairing of responses with requests: exhaustive search, mutants, and the evidence of each endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.node import response_pairing
from honeybarrow.node.response_pairing import (
    FIRST_SUSPENSION_US,
    MAX_SILENCE_US,
    MAX_SUSPENDED_ENDPOINTS,
    MAX_SUSPENSION_US,
    MAX_UNCONFIRMED_OUTCOMES,
    MAX_UNCONFIRMED_US,
    MIN_RETRY_HOLD_US,
    MIN_SILENCE_US,
    ResponsePairing,
    ReusePolicy,
    needs_confirmation,
)
from honeybarrow.settings import Idempotency
from tests.pairing_search import WrongOutcomeError, search

DEPTH = 10


def test_no_order_of_events_makes_a_wrong_outcome_final() -> None:
    assert search(DEPTH) > 10_000


def trust_every_response(pairing: ResponsePairing[Any]) -> bool:
    return True


def confirm_at_once(pairing: ResponsePairing[Any], now_us: int, silence_us: int) -> list[Any]:
    return pairing.take_unconfirmed()


def ignore_input(pairing: ResponsePairing[Any], now_us: int, outcome: Any, is_final: bool) -> None:
    pairing.responses += 1
    if outcome is not None:
        pairing.unconfirmed.append(outcome)


@pytest.mark.parametrize(
    ("name", "replacement"),
    [
        ("is_next_certain", property(trust_every_response)),
        ("take_confirmed", confirm_at_once),
        ("record_response", ignore_input),
    ],
)
def test_each_guard_taken_out_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, replacement: Callable[..., Any]
) -> None:
    monkeypatch.setattr(response_pairing.ResponsePairing, name, replacement)
    if name == "record_response":  # without the arrival of a response, silence counts from the start
        monkeypatch.setattr(response_pairing.ResponsePairing, "record_input", lambda pairing, now_us: None)
    with pytest.raises(WrongOutcomeError):
        search(DEPTH)


@pytest.mark.parametrize(
    ("outcome", "idempotency", "needed"),
    [
        (AttemptOutcome(AttemptStatus.OK), Idempotency.IDEMPOTENT, True),
        (AttemptOutcome(AttemptStatus.NOT_SENT, True, is_over=True), Idempotency.IDEMPOTENT, False),
        (AttemptOutcome(AttemptStatus.NOT_SENT, True, is_over=True), Idempotency.NON_IDEMPOTENT, False),
        (AttemptOutcome(AttemptStatus.FULL, True), Idempotency.IDEMPOTENT, False),
        (AttemptOutcome(AttemptStatus.FULL, True), Idempotency.IDEMPOTENT_WITH_KEY, True),
        (AttemptOutcome(AttemptStatus.NOT_SENT, True), Idempotency.NON_IDEMPOTENT, True),
        (AttemptOutcome(AttemptStatus.ERROR), Idempotency.IDEMPOTENT_WITH_KEY, False),
    ],
)
def test_an_outcome_needs_a_confirmation_if_acting_on_it_could_be_wrong(
    outcome: AttemptOutcome, idempotency: Idempotency, needed: bool
) -> None:
    assert needs_confirmation(outcome, idempotency) is needed


def test_a_connection_with_doubts_carries_few_requests_for_a_short_time() -> None:
    pairing: ResponsePairing[int] = ResponsePairing()
    pairing.record_response(0, None, is_final=True)
    for number in range(MAX_UNCONFIRMED_OUTCOMES):
        assert pairing.may_carry_request(number)
        pairing.record_response(number, number, is_final=True)
    assert not pairing.may_carry_request(MAX_UNCONFIRMED_OUTCOMES)
    assert len(pairing.take_confirmed(MIN_SILENCE_US * 2, MIN_SILENCE_US)) == MAX_UNCONFIRMED_OUTCOMES
    pairing.record_response(0, 0, is_final=True)
    assert not pairing.may_carry_request(MAX_UNCONFIRMED_US)


def test_after_a_failure_a_reused_connection_carries_no_request() -> None:
    pairing: ResponsePairing[int] = ResponsePairing()
    pairing.record_response(0, None, is_final=False)
    assert pairing.may_carry_request(1)  # the first response is certain
    pairing.record_response(5, None, is_final=False)
    assert not pairing.may_carry_request(10 * MAX_UNCONFIRMED_US)


def test_the_silence_follows_the_longest_recent_response_time() -> None:
    policy = ReusePolicy()
    assert policy.silence_us("a") == MIN_SILENCE_US and policy.retry_hold_us("a") == MIN_RETRY_HOLD_US
    policy.record_response_time("a", 900_000)
    assert policy.silence_us("a") == 900_000 and policy.retry_hold_us("a") == 900_000
    assert policy.silence_before_end_us("a") == 900_000
    assert policy.silence_before_end_us("b") == MIN_RETRY_HOLD_US
    policy.record_response_time("a", 60_000_000)
    assert policy.silence_us("a") == MAX_SILENCE_US and policy.silence_us("b") == MIN_SILENCE_US
    for _ in range(200):
        policy.record_response_time("a", 100_000)
    assert policy.silence_us("a") == MIN_SILENCE_US


def test_reuse_is_suspended_after_a_copy_for_longer_each_time_and_everywhere_after_several() -> None:
    policy = ReusePolicy()
    assert policy.may_reuse("a", 0)
    policy.record_copy("a", 0)
    assert not policy.may_reuse("a", FIRST_SUSPENSION_US - 1) and policy.may_reuse("b", 0)
    assert policy.may_reuse("a", FIRST_SUSPENSION_US)
    policy.record_copy("a", FIRST_SUSPENSION_US)
    assert not policy.may_reuse("a", 3 * FIRST_SUSPENSION_US - 1)
    now_us = 3 * MAX_SUSPENSION_US
    for number in range(MAX_SUSPENDED_ENDPOINTS):
        assert policy.may_reuse("z", now_us)
        policy.record_copy(f"t{number}", now_us)
    assert not policy.may_reuse("z", now_us) and policy.may_reuse("z", now_us + FIRST_SUSPENSION_US)
