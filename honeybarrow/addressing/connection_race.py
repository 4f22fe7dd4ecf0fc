"""The connection race of one attempt: decides which addresses to connect to, and when to move on (RFC 8305).

A race performs no I/O and reads no clock. It receives the events of its connections and returns actions: open
a connection, close a connection, or fail the attempt. The model in ``tests/test_connection_race.py`` checks
these rules:

- One connection carries the message: the first one to receive a greeting. Nothing is written to the others.
- Until the end of data has been written the attempt may move on to another address. After that it never does,
  since the message may have been executed (RFC 5321 section 4.1.1.4).
- At most two connects are pending, and at most one while the endpoint may be warming up or overloaded.
- The race ends by the deadline set by the policy.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import MAX_PENDING_CONNECTS, AddressFailure, AddressHealth

NEVER = 1 << 62
REPLY_TIMEOUT_FACTOR = 5.0  # multiple of the average connect time
MIN_REPLY_TIMEOUT_US = 250_000
# Fraction of the remaining time for the replies before the final one; the rest is for the final reply.
EARLIER_REPLIES_FRACTION = 0.5


class RaceFailure(enum.Enum):
    """The reason why a race ended without an answer."""

    DEADLINE_PASSED = "no answer in time"
    NOT_CONNECTED = "not connected in time"
    NO_ADDRESS = "no address left"


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Action: connect to an address; ``number`` identifies the new connection."""

    number: int
    address: Address


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Action: close a connection immediately and ignore further events from it."""

    number: int


@dataclass(frozen=True, slots=True)
class FailAttempt:
    """Action: fail the attempt; returned at most once."""

    failure: RaceFailure


RaceAction = OpenConnection | CloseConnection | FailAttempt


@dataclass(slots=True)
class _RaceConnection:
    """A connection that takes part in the race.

    The loss of a reused connection is not a failure of its address, since the partner may close idle
    connections.
    """

    address: Address
    started_us: int
    is_connected: bool = False
    is_reused: bool = False


class ConnectionRace:
    """The state machine of one attempt.

    The caller passes every event with the current time, executes the returned actions, and calls
    :meth:`on_timer` when :attr:`next_timer_us` has come. Times are in microseconds; ``connect_timeout_us`` is
    the time in which a server has to send its greeting.
    """

    def __init__(
        self,
        health: AddressHealth,
        target: str,
        addresses: Sequence[Address],
        now: int,
        deadline_us: int,
        connect_timeout_us: int,
    ) -> None:
        self.health, self.target = health, target
        self.deadline_us, self.connect_timeout_us = deadline_us, connect_timeout_us
        self.can_race = health.can_race(now, target)
        self.remaining = [ranked.address for ranked in health.rank_addresses(now, addresses)]
        self._all_addresses = tuple(self.remaining)
        self.pending: dict[int, _RaceConnection] = {}  # connections without a greeting
        self.winner: int | None = None  # the connection that carries the message
        self.is_committed = False
        self.is_finished = False
        self._winning_connection: _RaceConnection | None = None
        self._last_number = 0
        self._greeting_due_us = min(deadline_us, now + connect_timeout_us)
        self._step_due_us = NEVER  # timeout of the current step: a connect or a reply
        self._committed_us = 0
        self._is_no_reply_recorded = False

    @property
    def next_timer_us(self) -> int:
        """Time of the next call to :meth:`on_timer` unless another event comes first."""
        if self.is_finished:
            return NEVER
        greeting_due_us = NEVER if self.winner is not None else self._greeting_due_us
        return min(self.deadline_us, greeting_due_us, self._step_due_us)

    def start(self, now: int) -> list[RaceAction]:
        """Start the race with the first connect."""
        return self._connect(now) or self._fail(RaceFailure.NO_ADDRESS)

    def reuse_connection(self, now: int, address: Address) -> int:
        """Use an idle connection for the attempt and return its number."""
        self._last_number += 1
        self.winner, self._winning_connection = self._last_number, _RaceConnection(address, now, True, True)
        self.remaining = [a for a in self.remaining if a.socket_key != address.socket_key]
        self._await_reply(now)
        return self._last_number

    def on_connected(self, number: int) -> None:
        """Handle an established connection, before the server's greeting."""
        if number in self.pending:
            self.pending[number].is_connected = True

    def on_greeting(self, now: int, number: int, server_name: str) -> list[RaceAction]:
        """Handle a greeting with the server's name; the first connection with a greeting wins the race."""
        if number == self.winner:
            return []
        if self.is_finished or self.winner is not None or number not in self.pending:
            return [CloseConnection(number)]
        actions: list[RaceAction] = []
        winning = self.pending.pop(number)
        self.health.record_greeting(now, winning.address, self.target, server_name)
        for other, loser in self.pending.items():
            # An address that never answers must enter backoff, or it would delay every attempt.
            if now - loser.started_us >= self.health.compute_connect_delay_us(now, loser.address):
                self.health.record_failure(now, loser.address, _classify_silence(loser))
            actions.append(CloseConnection(other))
        self.pending.clear()
        self.winner, self._winning_connection = number, winning
        self._await_reply(now)
        return actions

    def on_session_ready(self, now: int, number: int) -> None:
        """Handle an accepted EHLO or LHLO; the transaction may start."""
        if number == self.winner and self._winning_connection is not None:
            winning = self._winning_connection
            self.health.record_connected(now, winning.address, now - winning.started_us)
            self._await_reply(now)

    def on_reply(self, now: int, number: int) -> None:
        """Handle a reply before the end of data."""
        if number == self.winner:
            self._await_reply(now)

    def on_content_written(self, now: int) -> None:
        """Handle the written end of data; from now on the attempt stays on this connection."""
        if not self.is_committed and self._winning_connection is not None:
            self.is_committed, self._committed_us = True, now
            self._step_due_us = now + self.health.compute_reply_timeout_us(
                now, self._winning_connection.address
            )

    def on_final_reply(self, now: int) -> None:
        """Handle the final reply to the message."""
        if self.is_committed and self._winning_connection is not None:
            self.health.record_reply(now, self._winning_connection.address, now - self._committed_us)

    def on_connection_failed(self, now: int, number: int, failure: AddressFailure) -> list[RaceAction]:
        """Handle a failed connection and move on to another address if possible."""
        if self.is_finished or self.is_committed:
            return []
        failed = self._winning_connection if number == self.winner else self.pending.pop(number, None)
        if failed is None:
            return []
        if number == self.winner:
            self._drop_winner(now)
        if not (failed.is_reused and failure is AddressFailure.CONNECTION_LOST):
            self._record_failure(now, failed.address, failure)
        return self._connect_next_or_fail(now)

    def on_addresses_changed(self, now: int, addresses: Sequence[Address]) -> list[RaceAction]:
        """Leave the addresses that no longer belong to the endpoint.

        A removed address may now belong to another partner, which must not receive this message. An attempt
        past the end of data keeps waiting for its reply.
        """
        if self.is_finished or self.is_committed:
            return []
        keys = {address.socket_key: None for address in addresses}
        self.remaining = [address for address in self.remaining if address.socket_key in keys]
        removed = [number for number, each in self.pending.items() if each.address.socket_key not in keys]
        actions: list[RaceAction] = [CloseConnection(number) for number in removed]
        for number in removed:
            del self.pending[number]
        if (
            self.winner is not None
            and self._winning_connection
            and self._winning_connection.address.socket_key not in keys
        ):
            actions.append(CloseConnection(self.winner))
            removed.append(self.winner)
            self._drop_winner(now)
        if not self.remaining:
            self._step_due_us = NEVER
        return actions + self._connect_next_or_fail(now) if removed else actions

    def on_timer(self, now: int) -> list[RaceAction]:
        """Handle the timer at :attr:`next_timer_us`."""
        if self.is_finished or now < self.next_timer_us:
            return []
        if now >= self.deadline_us:
            return self._pass_deadline(now)
        if self.is_committed:  # keep waiting, but let later messages use other addresses
            assert self._winning_connection is not None
            self._is_no_reply_recorded, self._step_due_us = True, NEVER
            self.health.record_failure(now, self._winning_connection.address, AddressFailure.NO_FINAL_REPLY)
            return []
        if self.winner is not None:  # the reply is overdue and another address remains
            assert self._winning_connection is not None
            actions: list[RaceAction] = [CloseConnection(self.winner)]
            address = self._winning_connection.address
            self._drop_winner(now)
            self._record_failure(now, address, AddressFailure.NO_REPLY)
            return actions + self._connect_next_or_fail(now)
        if now >= self._greeting_due_us:
            return self._drop_pending(now) + self._fail(RaceFailure.NOT_CONNECTED)
        actions = []
        if not self.can_race or len(self.pending) >= MAX_PENDING_CONNECTS:
            actions = self._drop_pending(now, 1)
        return actions + self._connect(now)

    def finish(self) -> list[RaceAction]:
        """End the race, since the attempt has its outcome, and close the pending connections."""
        self.is_finished = True
        actions: list[RaceAction] = [CloseConnection(number) for number in self.pending]
        self.pending.clear()
        return actions

    def _pass_deadline(self, now: int) -> list[RaceAction]:
        if self._winning_connection is not None and not self._is_no_reply_recorded:
            failure = AddressFailure.NO_FINAL_REPLY if self.is_committed else AddressFailure.NO_REPLY
            self.health.record_failure(now, self._winning_connection.address, failure)
        return self._drop_pending(now) + self._fail(RaceFailure.DEADLINE_PASSED)

    def _connect(self, now: int) -> list[RaceAction]:
        if not self.remaining:
            self._step_due_us = NEVER
            return []
        address = self.remaining.pop(0)
        self._last_number += 1
        self.pending[self._last_number] = _RaceConnection(address, now)
        delay_us = self.health.compute_connect_delay_us(now, address)
        if not self.can_race:
            # Without concurrent connects, the remaining addresses share the connect timeout equally.
            delay_us = max(1, (self._greeting_due_us - now) // (len(self.remaining) + 1))
        self._step_due_us = now + delay_us if self.remaining else NEVER
        return [OpenConnection(self._last_number, address)]

    def _connect_next_or_fail(self, now: int) -> list[RaceAction]:
        """Open another connection if allowed, or fail the attempt if no connection is left."""
        actions: list[RaceAction] = []
        may_connect = not self.pending or (self.can_race and len(self.pending) < MAX_PENDING_CONNECTS)
        if self.winner is None and may_connect:
            actions = self._connect(now)
        if self.winner is None and not self.pending:
            return actions + self._fail(RaceFailure.NO_ADDRESS)
        return actions

    def _drop_winner(self, now: int) -> None:
        self.winner, self._winning_connection, self._step_due_us = None, None, NEVER
        self._greeting_due_us = min(self.deadline_us, now + self.connect_timeout_us)

    def _record_failure(self, now: int, address: Address, failure: AddressFailure) -> None:
        self.health.record_failure(now, address, failure)
        if failure.concerns_machine and (machine := self.health.get_machine(address)):
            same_machine = [a for a in self.remaining if self.health.get_machine(a) == machine]
            others = [a for a in self.remaining if self.health.get_machine(a) != machine]
            # Addresses listed for the failed machine are dropped. Those matched only by a greeting are tried
            # last, since several machines may use the same name.
            self.remaining = others + [a for a in same_machine if a.machine != machine]

    def _await_reply(self, now: int) -> None:
        """Set the timeout of the next reply so that time remains to try the other addresses."""
        if self.is_committed or not self.remaining or self._winning_connection is None:
            self._step_due_us = NEVER
            return
        timeout_us = (self.deadline_us - now) * EARLIER_REPLIES_FRACTION / (len(self.remaining) + 1)
        connect_times_us = [self.health.get_connect_time_us(now, address) for address in self._all_addresses]
        usual_us = self.health.get_connect_time_us(now, self._winning_connection.address) or max(
            connect_times_us, default=0.0
        )
        # A partner that is warming up or busy gets the full share: it replies more slowly than usual, and
        # moving on would only add load to its other addresses.
        if self.can_race and usual_us:
            timeout_us = min(timeout_us, max(MIN_REPLY_TIMEOUT_US, REPLY_TIMEOUT_FACTOR * usual_us))
        self._step_due_us = now + int(max(MIN_REPLY_TIMEOUT_US, timeout_us))

    def _drop_pending(self, now: int, count: int = MAX_PENDING_CONNECTS) -> list[RaceAction]:
        """Give up the ``count`` oldest pending connects and record their failure."""
        numbers = list(self.pending)[:count]
        for number in numbers:
            connection = self.pending.pop(number)
            self.health.record_failure(now, connection.address, _classify_silence(connection))
        return [CloseConnection(number) for number in numbers]

    def _fail(self, failure: RaceFailure) -> list[RaceAction]:
        self.is_finished = True
        return [FailAttempt(failure)]


def _classify_silence(connection: _RaceConnection) -> AddressFailure:
    return AddressFailure.NO_GREETING if connection.is_connected else AddressFailure.UNREACHABLE
