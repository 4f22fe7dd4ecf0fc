"""The decisions on addresses."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from honeybarrow import addresses
from honeybarrow.addresses import SECOND, Address, Addresses

SIX, FOUR, OTHER = Address("::1", 25), Address("127.0.0.1", 25), Address("127.0.0.2", 25)
UNIX = Address(path="partner.sock")


def names(book: Addresses, now: int, *found: Address) -> list[Address]:
    return [choice.address for choice in book.order(now, found)]


def test_families_are_interleaved_and_priorities_come_first() -> None:
    book = Addresses(random.Random(1))
    assert names(book, 0, OTHER, FOUR, SIX, UNIX) == [UNIX, SIX, OTHER, FOUR]
    first = Address("127.0.0.3", 25, priority=-1)
    assert names(book, 0, SIX, FOUR, first, FOUR) == [first, SIX, FOUR]


def test_what_connects_quicker_by_a_clear_margin_comes_first() -> None:
    book = Addresses(random.Random(1))
    for _ in range(5):
        book.connected(0, SIX, 90_000)
        book.connected(0, FOUR, 20_000)
    assert names(book, 0, SIX, FOUR) == [FOUR, SIX]
    noisy = Addresses(random.Random(1))
    noisy.connected(0, SIX, 13_000)
    noisy.connected(0, FOUR, 12_000)
    assert names(noisy, 0, SIX, FOUR) == [SIX, FOUR]
    assert book.delay_us(0, FOUR) == addresses.DELAY_LEAST_US
    assert book.delay_us(0, SIX) == 270_000 and book.delay_us(0, UNIX) == addresses.DELAY_US


def test_what_failed_rests_longer_and_longer_and_is_never_left_out() -> None:
    book = Addresses(random.Random(1))
    rests = []
    now = 0
    for _ in range(12):
        book.failed(now, SIX)
        assert names(book, now, SIX, FOUR) == [FOUR, SIX]
        rests.append(book._known[SIX].rest_us - now)
        now = book._known[SIX].rest_us + 1
        assert names(book, now, SIX, FOUR) == [SIX, FOUR]
    assert rests[:7] == sorted(rests[:7])
    assert max(rests) <= addresses.REST_MOST_US * 1.25
    book.connected(now, SIX, 1000)
    book.failed(now, SIX)
    assert book._known[SIX].rest_us - now < SECOND
    book.failed(now, FOUR)
    assert set(names(book, now, SIX, FOUR)) == {SIX, FOUR}  # all rest: the one that is soonest over, first
    assert names(book, now + addresses.FORGET_US + 1, SIX, FOUR) == [SIX, FOUR]


def test_no_second_connect_beside_one_that_is_pending_where_a_call_failed() -> None:
    book = Addresses(random.Random(1))
    assert book.may_race(True, 0) and book.may_race(True, 1) and not book.may_race(True, 2)
    assert book.may_race(False, 0) and not book.may_race(False, 1)


ADDRESS = st.sampled_from([SIX, FOUR, OTHER, UNIX, Address("::2", 26, priority=1)])
STEP = st.tuples(st.sampled_from(["connected", "failed", "order"]), ADDRESS, st.integers(0, 400 * SECOND))


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=40))
def test_every_address_is_offered_once_whatever_happened(steps: list[tuple[str, Address, int]]) -> None:
    book, now = Addresses(random.Random(1)), 0
    found = [SIX, FOUR, OTHER, UNIX]
    for what, address, passed in steps:
        now += passed
        if what == "connected":
            book.connected(now, address, passed % 300_000 + 1)
        elif what == "failed":
            book.failed(now, address)
        order = names(book, now, *found, *found)
        assert sorted(map(str, order)) == sorted(map(str, found))
        assert addresses.DELAY_LEAST_US <= book.delay_us(now, address) <= addresses.DELAY_MOST_US
