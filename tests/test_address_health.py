"""Tests of the ranking of addresses and of their health records."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow.addressing import address_health
from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import SECOND, AddressFailure, AddressHealth

IPV6, IPV4, OTHER_IPV4 = Address("::1", 25), Address("127.0.0.1", 25), Address("127.0.0.2", 25)
UNIX = Address(path="partner.sock")


def rank(health: AddressHealth, now: int, *addresses: Address) -> list[Address]:
    return [ranked.address for ranked in health.rank_addresses(now, addresses)]


def test_families_are_interleaved_and_priorities_come_first() -> None:
    health = AddressHealth(random.Random(1))
    assert rank(health, 0, OTHER_IPV4, IPV4, IPV6, UNIX) == [UNIX, IPV6, OTHER_IPV4, IPV4]
    first = Address("127.0.0.3", 25, priority=-1)
    assert rank(health, 0, IPV6, IPV4, first, IPV4) == [first, IPV6, IPV4]


def test_clearly_faster_address_comes_first() -> None:
    health = AddressHealth(random.Random(1))
    for _ in range(5):
        health.record_connected(0, IPV6, 90_000)
        health.record_connected(0, IPV4, 20_000)
    assert rank(health, 0, IPV6, IPV4) == [IPV4, IPV6]
    similar = AddressHealth(random.Random(1))
    similar.record_connected(0, IPV6, 13_000)
    similar.record_connected(0, IPV4, 12_000)
    assert rank(similar, 0, IPV6, IPV4) == [IPV6, IPV4]
    assert health.compute_connect_delay_us(0, IPV4) == address_health.MIN_CONNECT_DELAY_US
    assert (
        health.compute_connect_delay_us(0, IPV6) == 270_000
        and health.compute_connect_delay_us(0, UNIX) == address_health.DEFAULT_CONNECT_DELAY_US
    )


def test_failed_address_backs_off_exponentially_and_stays_in_the_ranking() -> None:
    health = AddressHealth(random.Random(1))
    backoffs = []
    now = 0
    for _ in range(12):
        health.record_failure(now, IPV6)
        assert rank(health, now, IPV6, IPV4) == [IPV4, IPV6]
        backoffs.append(health._records[IPV6.socket_key].backoff_until_us - now)
        now = health._records[IPV6.socket_key].backoff_until_us + 1
        assert rank(health, now, IPV6, IPV4) == [IPV6, IPV4]
    assert backoffs[:7] == sorted(backoffs[:7])
    assert max(backoffs) <= address_health.MAX_BACKOFF_US * 1.25
    health.record_connected(now, IPV6, 1000)
    health.record_failure(now, IPV6)
    assert health._records[IPV6.socket_key].backoff_until_us - now < SECOND
    health.record_failure(now, IPV4)
    assert set(rank(health, now, IPV6, IPV4)) == {IPV6, IPV4}
    assert rank(health, now + address_health.MAX_RECORD_AGE_US + 1, IPV6, IPV4) == [IPV6, IPV4]


def test_second_connect_is_not_allowed_within_cold_period_after_failed_call() -> None:
    health = AddressHealth(random.Random(1), cold_period_us=9 * SECOND)
    assert health.can_race(0, "t")
    health.record_call_result(SECOND, "t", False)
    health.record_call_result(2 * SECOND, "t", True)  # an answer does not end the cold period
    assert not health.can_race(9 * SECOND, "t") and health.can_race(9 * SECOND, "other")
    assert health.can_race(10 * SECOND, "t")


def test_backoff_covers_the_machine_unless_the_address_was_unreachable() -> None:
    first, second, other = (
        Address("127.0.0.1", port, machine=machine) for port, machine in ((1, "a"), (2, "a"), (3, "b"))
    )
    health = AddressHealth(random.Random(1))
    health.record_failure(0, first, AddressFailure.UNREACHABLE)
    assert rank(health, 0, first, second, other) == [second, other, first]
    health = AddressHealth(random.Random(1))
    health.record_failure(0, first, AddressFailure.NO_REPLY)
    assert rank(health, 0, first, second, other) == [other, second, first]
    assert "its machine a failed" in health.rank_addresses(0, [first, second, other])[1].reason
    health.record_connected(0, second, 1000)
    assert rank(health, 0, first, second, other)[-1] == first and health.get_backoff_until_us(0, second) == 0


def test_machine_name_from_greeting_is_scoped_to_one_endpoint() -> None:
    health = AddressHealth(random.Random(1))
    for address, target in ((IPV6, "t"), (IPV4, "t"), (OTHER_IPV4, "u")):
        health.record_greeting(0, address, target, "localhost")
    health.record_failure(0, IPV6, AddressFailure.NO_REPLY)
    assert health.get_backoff_until_us(0, IPV4) > 0 and health.get_backoff_until_us(0, OTHER_IPV4) == 0


def test_calls_are_shared_by_weight_and_own_zone_comes_first() -> None:
    heavy, light, remote = (
        Address("127.0.0.1", port, weight=weight, zone=zone)
        for port, weight, zone in ((1, 3, ""), (2, 1, "n"), (3, 9, "s"))
    )
    health = AddressHealth(random.Random(1), zone="n")
    rankings = [rank(health, 0, remote, light, heavy) for _ in range(400)]
    assert all(ranking[-1] == remote for ranking in rankings)
    assert 240 < sum(ranking[0] == heavy for ranking in rankings) < 360


def test_keep_alive_is_shorter_than_idle_timeout_of_partner() -> None:
    health = AddressHealth(random.Random(1))
    assert health.compute_keep_alive_us(IPV4, 10 * SECOND) == 10 * SECOND
    health.record_idle_close(0, IPV4, 2 * SECOND)
    assert health.compute_keep_alive_us(IPV4, 10 * SECOND) == 1_600_000
    durations = [health.compute_keep_alive_us(IPV4, 10 * SECOND)]
    for _ in range(20):
        health.record_idle_survival(0, IPV4, durations[-1])
        durations.append(health.compute_keep_alive_us(IPV4, 10 * SECOND))
    assert durations == sorted(durations) and durations[-1] == 10 * SECOND


ADDRESSES = st.sampled_from([IPV6, IPV4, OTHER_IPV4, UNIX, Address("::2", 26, priority=1)])
STEPS = st.tuples(st.sampled_from(["connected", "failed", "rank"]), ADDRESSES, st.integers(0, 400 * SECOND))


@settings(max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=40))
def test_ranking_contains_every_address_once_after_any_events(steps: list[tuple[str, Address, int]]) -> None:
    health, now = AddressHealth(random.Random(1)), 0
    addresses = [IPV6, IPV4, OTHER_IPV4, UNIX]
    for event, address, elapsed_us in steps:
        now += elapsed_us
        if event == "connected":
            health.record_connected(now, address, elapsed_us % 300_000 + 1)
        elif event == "failed":
            health.record_failure(now, address)
        ranking = rank(health, now, *addresses, *addresses)
        assert sorted(map(str, ranking)) == sorted(map(str, addresses))
        assert (
            address_health.MIN_CONNECT_DELAY_US
            <= health.compute_connect_delay_us(now, address)
            <= address_health.MAX_CONNECT_DELAY_US
        )
