"""Tests of the connection race: a stateful model of its rules, and single cases."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import SECOND, AddressFailure, AddressHealth
from honeybarrow.addressing.connection_race import (
    NEVER,
    CloseConnection,
    ConnectionRace,
    FailAttempt,
    OpenConnection,
    RaceAction,
    RaceFailure,
)

ADDRESSES = [
    Address("127.0.0.1", 1, machine="a"),
    Address("127.0.0.1", 2, machine="a"),
    Address("::1", 3, priority=1),
    Address(path="p.sock"),
]


class ConnectionRaceModel(RuleBasedStateMachine):
    """Runs a race in which connections greet, reply, fail and hang in any order, and checks its rules."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.open_connections: dict[int, Address] = {}
        self.greeted: set[int] = set()
        self.tried: list[Address] = []
        self.winners: list[int] = []
        self.failures: list[RaceFailure] = []
        self.committed_us = -1

    @initialize(
        can_race=st.booleans(),
        count=st.integers(0, 4),
        deadline_us=st.integers(1, 8 * SECOND),
        connect_timeout_us=st.integers(1, 2 * SECOND),
        reuse=st.booleans(),
    )
    def start(
        self, can_race: bool, count: int, deadline_us: int, connect_timeout_us: int, reuse: bool
    ) -> None:
        self.health = AddressHealth(random.Random(1))
        if not can_race:
            self.health.record_call_result(0, "t", False)
        self.can_race, self.deadline_us = can_race, deadline_us
        self.race = ConnectionRace(self.health, "t", ADDRESSES[:count], 0, deadline_us, connect_timeout_us)
        if reuse and count:
            number = self.race.reuse_connection(0, ADDRESSES[0])
            self.open_connections[number] = ADDRESSES[0]
            self.greeted.add(number)
            self.winners.append(number)
            self.tried.append(ADDRESSES[0])
        else:
            self.execute(self.race.start(0))

    def execute(self, actions: list[RaceAction]) -> None:
        for action in actions:
            match action:
                case OpenConnection(number, address):
                    assert self.committed_us < 0, "moved on after the end of data"
                    assert not self.failures
                    assert address not in self.tried, "tried an address twice"
                    self.open_connections[number] = address
                    self.tried.append(address)
                case CloseConnection(number):
                    assert number in self.open_connections
                    del self.open_connections[number]
                case FailAttempt(failure):
                    self.failures.append(failure)

    @precondition(lambda self: self.open_connections)
    @rule(index=st.integers(0, 9), server_name=st.sampled_from(["", "a", "b"]))
    def greet(self, index: int, server_name: str) -> None:
        number = list(self.open_connections)[index % len(self.open_connections)]
        self.race.on_connected(number)
        self.execute(self.race.on_greeting(self.now, number, server_name))
        if number in self.open_connections:
            assert self.race.winner == number
            if number not in self.greeted:
                self.winners.append(number)
            self.greeted.add(number)
            self.race.on_session_ready(self.now, number)

    @precondition(lambda self: self.open_connections)
    @rule(index=st.integers(0, 9), failure=st.sampled_from(AddressFailure))
    def fail(self, index: int, failure: AddressFailure) -> None:
        number = list(self.open_connections)[index % len(self.open_connections)]
        if self.committed_us >= 0 and number == self.race.winner:
            return
        del self.open_connections[number]
        self.execute(self.race.on_connection_failed(self.now, number, failure))

    @precondition(lambda self: self.race.winner is not None and not self.failures)
    @rule()
    def reply(self) -> None:
        assert self.race.winner is not None
        self.race.on_reply(self.now, self.race.winner)

    @precondition(lambda self: self.race.winner is not None and not self.failures)
    @rule()
    def commit(self) -> None:
        self.race.on_content_written(self.now)
        self.committed_us = self.now

    @rule(addresses=st.lists(st.sampled_from(ADDRESSES), max_size=4))
    def change_addresses(self, addresses: list[Address]) -> None:
        winner = self.race.winner
        self.execute(self.race.on_addresses_changed(self.now, addresses))
        if self.committed_us >= 0:
            assert self.race.winner == winner
        elif not self.failures:
            assert all(address in addresses for address in self.open_connections.values())

    @rule(elapsed_us=st.integers(0, SECOND))
    def wait(self, elapsed_us: int) -> None:
        end_us = self.now + elapsed_us
        while self.race.next_timer_us <= end_us:
            self.now = max(self.now, self.race.next_timer_us)
            due_us = self.race.next_timer_us
            self.execute(self.race.on_timer(self.now))
            assert self.race.next_timer_us > due_us or self.race.next_timer_us > self.now, (
                "timer had no effect"
            )
        self.now = end_us

    @invariant()
    def check_rules(self) -> None:
        if not hasattr(self, "race"):
            return
        assert len(self.open_connections) <= (2 if self.can_race else 1) or self.greeted
        assert len([n for n in self.open_connections if n not in self.greeted]) <= (2 if self.can_race else 1)
        assert len([n for n in self.open_connections if n in self.greeted]) <= 1, (
            "two connections carry the message"
        )
        assert len(self.failures) <= 1
        if self.now >= self.deadline_us:
            assert self.failures, "the race continues after its deadline"
        if self.failures:
            assert self.race.next_timer_us == NEVER
        else:
            assert self.open_connections, "the race continues without a connection"
            assert self.now <= self.race.next_timer_us <= self.deadline_us


ConnectionRaceModel.TestCase.settings = settings(max_examples=300, stateful_step_count=25, deadline=None)
test_rules_hold_for_any_sequence_of_events = ConnectionRaceModel.TestCase


def test_unresponsive_address_that_loses_a_race_enters_backoff() -> None:
    """Otherwise an unresponsive address that is ranked first would delay every attempt."""
    health = AddressHealth(random.Random(1))
    unresponsive, healthy = Address("::1", 1), Address("127.0.0.1", 1)
    race = ConnectionRace(health, "t", [unresponsive, healthy], 0, 5 * SECOND, SECOND)
    assert race.start(0) == [OpenConnection(1, unresponsive)]
    assert race.on_timer(race.next_timer_us) == [OpenConnection(2, healthy)]
    assert race.on_greeting(300_000, 2, "p") == [CloseConnection(1)]
    assert ConnectionRace(health, "t", [unresponsive, healthy], 300_000, 5 * SECOND, SECOND).start(
        300_000
    ) == [OpenConnection(1, healthy)]


def test_address_of_a_failed_machine_is_not_tried() -> None:
    race = ConnectionRace(AddressHealth(random.Random(1)), "t", ADDRESSES[:3], 0, 5 * SECOND, SECOND)
    race.start(0)
    assert race.on_connection_failed(0, 1, AddressFailure.SESSION_REFUSED) == [
        OpenConnection(2, ADDRESSES[2])
    ]
    race = ConnectionRace(AddressHealth(random.Random(1)), "t", ADDRESSES[:3], 0, 5 * SECOND, SECOND)
    race.start(0)
    assert race.on_connection_failed(0, 1, AddressFailure.UNREACHABLE) == [OpenConnection(2, ADDRESSES[1])]


def test_address_without_a_final_reply_enters_backoff_until_it_replies() -> None:
    health = AddressHealth(random.Random(1))
    race = ConnectionRace(health, "t", ADDRESSES[2:3], 0, 5 * SECOND, SECOND)
    race.start(0)
    race.on_greeting(0, 1, "")
    race.on_session_ready(0, 1)
    race.on_content_written(0)
    assert race.next_timer_us < 5 * SECOND and race.on_timer(race.next_timer_us) == []  # it keeps waiting
    assert health.get_backoff_until_us(race.deadline_us // 5, ADDRESSES[2]) > 0
    race.on_final_reply(2 * SECOND)  # a late reply ends the backoff
    assert health.get_backoff_until_us(2 * SECOND, ADDRESSES[2]) == 0
    assert health.compute_reply_timeout_us(2 * SECOND, ADDRESSES[2]) == 10 * SECOND


def test_loss_of_a_reused_connection_is_not_a_failure_of_its_address() -> None:
    health = AddressHealth(random.Random(1))
    race = ConnectionRace(health, "t", ADDRESSES[:1], 0, 5 * SECOND, SECOND)
    number = race.reuse_connection(0, ADDRESSES[0])
    assert race.on_connection_failed(0, number, AddressFailure.CONNECTION_LOST) == [
        FailAttempt(RaceFailure.NO_ADDRESS)
    ]
    assert health.get_backoff_until_us(0, ADDRESSES[0]) == 0
