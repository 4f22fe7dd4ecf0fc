"""One call to a partner's endpoint by mail: from the pool's promise to its one outcome.

The connection race (``honeybarrow.addressing.connection_race``) says what to connect and close; the call
carries that out, writes the transaction on the connection that won, and ends exactly once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from honeybarrow import mail
from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import AddressFailure, AddressHealth
from honeybarrow.addressing.connection_race import (
    NEVER,
    CloseConnection,
    ConnectionRace,
    FailAttempt,
    OpenConnection,
    RaceAction,
    RaceFailure,
)
from honeybarrow.delivery.mail_connection import ConnectionOwner, MailConnection
from honeybarrow.delivery.outcome import (
    AttemptOutcome,
    classify_connection_loss,
    classify_session_refusal,
    classify_timeout,
)
from honeybarrow.events import AttemptStatus
from honeybarrow.ports import AttemptPermit, DelayedCall


@dataclass(frozen=True, slots=True)
class MailPayload:
    """What a call carries. The content is shared between attempts and recipients, never copied."""

    sender: mail.Path
    recipient: mail.Path
    content: bytes


class CallOwner(ConnectionOwner, Protocol):
    """The connection pool, as a call knows it."""

    address_health: AddressHealth

    def now_us(self) -> int:
        """The clock in microseconds."""
        ...

    def open_connection(self, connection: MailConnection) -> None:
        """Begin a connect."""
        ...

    def on_call_finished(self, call: MailCall) -> None:
        """The call has its outcome."""
        ...


class MailCall:
    """One call. ``result`` fires with its one outcome, within ``timeout_us``."""

    def __init__(
        self,
        pool: CallOwner,
        target: str,
        addresses: Sequence[Address],
        payload: MailPayload,
        timeout_us: int,
        permit: AttemptPermit,
    ) -> None:
        self.pool, self.target, self.payload, self.permit = pool, target, payload, permit
        self.result: Deferred[AttemptOutcome] = Deferred()
        now = pool.now_us()
        self.deadline_us = now + max(0, timeout_us)
        connect_timeout_us = int(pool.connect_timeout_s * 1e6)
        self.race = ConnectionRace(
            pool.address_health, target, addresses, now, self.deadline_us, connect_timeout_us
        )
        self.connections: dict[int, MailConnection] = {}
        self.last_failure: AttemptOutcome | None = None  # of the connection that failed last
        self.is_started = False  # a transaction was
        self.is_finished = False
        self.timer: DelayedCall | None = None
        self.timer_due_us = -1

    def start(self, idle: MailConnection | None) -> None:
        """Begin on an idle connection, or with the first connect."""
        now = self.pool.now_us()
        if idle is None:
            self._execute(self.race.start(now))
            return
        self.pool.address_health.record_idle_survival(now, idle.address, now - idle.idle_since_us)
        idle.call, idle.number = self, self.race.reuse_connection(now, idle.address)
        self.connections[idle.number] = idle
        if self._begin_unless(self.permit.record_permitted_start(), idle):
            idle.flush()
            self._execute([])

    def _execute(self, actions: Sequence[RaceAction]) -> None:
        """Carry out what the race says, and set the timer that it wants."""
        for action in actions:
            match action:
                case OpenConnection(number, address):
                    opened = self.connections[number] = MailConnection(self.pool, self.target, address)
                    opened.call, opened.number = self, number
                    self.pool.open_connection(opened)
                case CloseConnection(number):
                    if (connection := self.connections.pop(number, None)) is not None:
                        # Danger: the reply to this call may still come; on a connection used again it
                        # would be taken for the next call's. So the connection goes with the call.
                        connection.call = None
                        connection.close(abort=True)
                case FailAttempt(failure):
                    self._finish_failed_race(failure)
        if not self.is_finished:
            self._set_timer()

    def _set_timer(self) -> None:
        due_us = self.race.next_timer_us
        if due_us == self.timer_due_us:
            return
        self.timer_due_us = due_us
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        wait_s = (due_us - self.pool.now_us()) / 1e6
        self.timer = self.pool.clock.callLater(max(0.0, wait_s), self._on_timer) if due_us < NEVER else None

    def _on_timer(self) -> None:
        self.timer, self.timer_due_us = None, -1
        self._execute(self.race.on_timer(self.pool.now_us()))

    def _finish_failed_race(self, failure: RaceFailure) -> None:
        winner = self.connections.get(self.race.winner or 0)
        is_committed = self.is_started and winner is not None and winner.session.is_committed
        if failure is RaceFailure.NO_ADDRESS and self.last_failure is not None:
            self.finish(self.last_failure)
        elif failure is RaceFailure.DEADLINE_PASSED:
            self.finish(classify_timeout(self.is_started, is_committed))
        else:
            self.finish(classify_timeout(False, False))

    def on_connected(self, connection: MailConnection) -> None:
        """The connection is up; nobody has greeted yet."""
        self.race.on_connected(connection.number)

    def on_greeting(self, connection: MailConnection, data: bytes) -> bool:
        """A server wrote: whether this connection carries the call."""
        if connection.number == self.race.winner:
            return True
        name = data[4:].split(b" ")[0].decode("ascii", "replace").strip() if data[:3] == b"220" else ""
        self._execute(self.race.on_greeting(self.pool.now_us(), connection.number, name[:255]))
        return not self.is_finished and connection.number == self.race.winner

    def on_session_ready(self, connection: MailConnection) -> None:
        """The session is ready: write the transaction."""
        self.race.on_session_ready(self.pool.now_us(), connection.number)
        # Danger: while it was reached the endpoint may have drained or advised a wait, and a key's window may
        # have ended: a transaction now would be new work.
        self._begin_unless(self.permit.record_start(), connection)

    def _begin_unless(self, reason: str, connection: MailConnection) -> bool:
        """Write the transaction unless there is a reason against it; whether it was written."""
        if reason:
            connection.call = None
            self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=reason))
            self.pool.add_idle(connection)
            return False
        self._write_transaction(connection)
        return True

    def on_content_withheld(self, connection: MailConnection) -> None:
        """The content may not be written any more; nothing of it was."""
        connection.call = None
        self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason="too late for the end of data"))
        connection.close(abort=True)

    def _write_transaction(self, connection: MailConnection) -> None:
        self.is_started = True
        time_left_s = (self.deadline_us - self.pool.now_us()) // 1_000_000 + 1
        payload = self.payload
        connection.session.send(payload.sender, payload.recipient, payload.content, time_left_s)

    def on_progress(self, connection: MailConnection) -> None:
        """Replies came, and the call has no outcome yet."""
        if self.is_started and connection.session.is_committed:
            self.race.on_content_written(self.pool.now_us())
        else:
            self.race.on_reply(self.pool.now_us(), connection.number)
        if not self.is_finished:
            self._set_timer()

    def on_session_refused(self, connection: MailConnection, reply: mail.Reply) -> None:
        """The session was refused: a retry wait binds the whole endpoint, else another address is tried."""
        self.last_failure = classify_session_refusal(reply)
        if self.last_failure.retry_after_us:
            self.pool.address_health.record_failure(
                self.pool.now_us(), connection.address, AddressFailure.SESSION_REFUSED
            )
            self.finish(self.last_failure)
        else:
            self._report_connection_failure(connection, AddressFailure.SESSION_REFUSED)

    def on_connection_lost(self, connection: MailConnection, reason: str) -> None:
        """The connection is gone: past the end of data that is the outcome, else another address is tried."""
        is_committed = connection.session.is_committed and self.is_started
        self.last_failure = classify_connection_loss(self.is_started, is_committed, reason)
        if is_committed and connection.number == self.race.winner:
            self.pool.address_health.record_failure(
                self.pool.now_us(), connection.address, AddressFailure.NO_FINAL_REPLY
            )
            self.finish(self.last_failure)
        elif connection.number == self.race.winner:
            self._report_connection_failure(connection, AddressFailure.CONNECTION_LOST)
        else:
            is_unreachable = connection.transport is None
            self._report_connection_failure(
                connection, AddressFailure.UNREACHABLE if is_unreachable else AddressFailure.CONNECTION_LOST
            )

    def _report_connection_failure(self, connection: MailConnection, failure: AddressFailure) -> None:
        self.connections.pop(connection.number, None)
        self._execute(self.race.on_connection_failed(self.pool.now_us(), connection.number, failure))

    def on_addresses_changed(self, addresses: Sequence[Address]) -> None:
        """The endpoint has these addresses now."""
        if not self.is_finished:
            reason = "the address is no longer the endpoint's"
            self.last_failure = classify_connection_loss(self.is_started, False, reason)
            self._execute(self.race.on_addresses_changed(self.pool.now_us(), addresses))

    def finish(self, outcome: AttemptOutcome) -> None:
        """End with this outcome, unless it has one, and close what is still pending."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if outcome.reply is not None:
            self.race.on_final_reply(self.pool.now_us())
        self._execute(self.race.finish())
        if outcome.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
            for connection in list(self.connections.values()):
                connection.call = None
                connection.close(abort=True)
        self.connections.clear()
        if outcome.status is not AttemptStatus.NOT_SENT:  # which says nothing of the endpoint
            is_answered = outcome.status in (AttemptStatus.OK, AttemptStatus.REJECTED)
            self.pool.address_health.record_call_result(self.pool.now_us(), self.target, is_answered)
        self.pool.on_call_finished(self)
        self.result.callback(outcome)
