"""A single SMTP or LMTP call to a partner's endpoint.

The connection race (``honeybarrow.addressing.connection_race``) decides which connections to open and close.
The call executes these decisions, writes the mail transaction on the winning connection, and ends exactly
once with an outcome.
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
from honeybarrow.delivery.mail_outcome import classify_session_refusal
from honeybarrow.delivery.outcome import AttemptOutcome, classify_connection_loss, classify_timeout
from honeybarrow.events import AttemptStatus
from honeybarrow.ports import AttemptPermit, DelayedCall


@dataclass(frozen=True, slots=True)
class MailPayload:
    """Envelope and content of a message. The content is shared between attempts and recipients.

    ``added_header`` is put in front of the content. ``envelope_id`` names the message for partners that take
    it. ``requires_envelope_id`` is set if the partner knows the message under no other name, and may have
    executed it.
    """

    sender: mail.Path
    recipient: mail.Path
    content: bytes
    added_header: bytes = b""
    envelope_id: str = ""
    requires_envelope_id: bool = False


class CallOwner(ConnectionOwner, Protocol):
    """The interface of the connection pool that a call uses."""

    address_health: AddressHealth

    def now_us(self) -> int:
        """Return the time of the pool's clock in microseconds."""
        ...

    def open_connection(self, connection: MailConnection) -> None:
        """Start connecting."""
        ...

    def on_call_finished(self, call: MailCall) -> None:
        """Handle the end of a call."""
        ...


class MailCall:
    """One call to an endpoint; ``result`` fires with its outcome within ``timeout_us``."""

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
        self.last_failure: AttemptOutcome | None = None  # of the most recent failed connection
        self.is_started = False  # whether a transaction has been started
        self.is_finished = False
        self.timer: DelayedCall | None = None
        self.timer_due_us = -1

    def start(self, idle: MailConnection | None) -> None:
        """Start the call on an idle connection, or open the first connection if ``idle`` is ``None``."""
        now = self.pool.now_us()
        if idle is None:
            self._execute(self.race.start(now))
            return
        self.pool.address_health.record_idle_survival(now, idle.address, now - idle.idle_since_us)
        idle.call, idle.number = self, self.race.reuse_connection(now, idle.address)
        self.connections[idle.number] = idle
        refusal_reason = self._check_recognizable(idle) or self.permit.record_permitted_start()
        if self._start_unless_refused(refusal_reason, idle):
            idle.flush()
            self._execute([])

    def _execute(self, actions: Sequence[RaceAction]) -> None:
        """Execute the actions of the connection race and set its timer."""
        for action in actions:
            match action:
                case OpenConnection(number, address):
                    opened = self.connections[number] = MailConnection(self.pool, self.target, address)
                    opened.call, opened.number = self, number
                    self.pool.open_connection(opened)
                case CloseConnection(number):
                    if (connection := self.connections.pop(number, None)) is not None:
                        # The connection must not be reused: a late reply to this call would be taken
                        # for the reply to the next one.
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
        """Handle an established connection, before the server's greeting."""
        self.race.on_connected(connection.number)

    def on_data_received(self, connection: MailConnection, data: bytes) -> bool:
        """Handle received data, the first of which is the greeting.

        Return whether this connection carries the call.
        """
        if connection.number == self.race.winner:
            return True
        server_name = data[4:].split(b" ")[0].decode("ascii", "replace").strip() if data[:3] == b"220" else ""
        self._execute(self.race.on_greeting(self.pool.now_us(), connection.number, server_name[:255]))
        return not self.is_finished and connection.number == self.race.winner

    def on_session_ready(self, connection: MailConnection) -> None:
        """Write the transaction on a session that is ready, if the attempt is still permitted."""
        self.race.on_session_ready(self.pool.now_us(), connection.number)
        # During the connect the endpoint may have started to drain or advised a retry delay, or the window of
        # the idempotency key may have ended.
        refusal_reason = self._check_recognizable(connection) or self.permit.record_start()
        self._start_unless_refused(refusal_reason, connection)

    def _check_recognizable(self, connection: MailConnection) -> str:
        """Return why the partner would execute a repeat as a new message, or an empty string."""
        if not self.payload.requires_envelope_id or connection.session.recognizes_envelope_id:
            return ""
        return "the partner can't recognize the repeat"

    def _start_unless_refused(self, refusal_reason: str, connection: MailConnection) -> bool:
        """Write the transaction if ``refusal_reason`` is empty; return whether it was written."""
        if refusal_reason:
            connection.call = None
            self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=refusal_reason))
            self.pool.add_idle(connection)
            return False
        self._write_transaction(connection)
        return True

    def on_content_withheld(self, connection: MailConnection) -> None:
        """End the call as not sent, because its permit expired before any content was written."""
        connection.call = None
        self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason="too late for the end of data"))
        connection.close(abort=True)

    def _write_transaction(self, connection: MailConnection) -> None:
        self.is_started = True
        time_left_s = (self.deadline_us - self.pool.now_us()) // 1_000_000 + 1
        payload = self.payload
        content = payload.added_header + payload.content
        connection.session.send(payload.sender, payload.recipient, content, time_left_s, payload.envelope_id)

    def on_progress(self, connection: MailConnection) -> None:
        """Handle replies that did not end the call."""
        if self.is_started and connection.session.is_committed:
            self.race.on_content_written(self.pool.now_us())
        else:
            self.race.on_reply(self.pool.now_us(), connection.number)
        if not self.is_finished:
            self._set_timer()

    def on_session_refused(self, connection: MailConnection, reply: mail.Reply) -> None:
        """Handle a refused session: end the call if a retry delay was advised, else try another address.

        A retry delay applies to all addresses of the endpoint.
        """
        self.last_failure = classify_session_refusal(reply)
        if self.last_failure.retry_after_us:
            self.pool.address_health.record_failure(
                self.pool.now_us(), connection.address, AddressFailure.SESSION_REFUSED
            )
            self.finish(self.last_failure)
        else:
            self._report_connection_failure(connection, AddressFailure.SESSION_REFUSED)

    def on_connection_lost(self, connection: MailConnection, reason: str) -> None:
        """Handle the loss of a connection: end the call after the end of data, else try another address."""
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
        """Apply the current addresses of the endpoint."""
        if not self.is_finished:
            reason = "the address is no longer the endpoint's"
            self.last_failure = classify_connection_loss(self.is_started, False, reason)
            self._execute(self.race.on_addresses_changed(self.pool.now_us(), addresses))

    def finish(self, outcome: AttemptOutcome) -> None:
        """End the call with an outcome and close its pending connections; ignored after the first time."""
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
        if outcome.status is not AttemptStatus.NOT_SENT:  # NOT_SENT says nothing about the endpoint
            is_answered = outcome.status in (AttemptStatus.OK, AttemptStatus.REJECTED)
            self.pool.address_health.record_call_result(self.pool.now_us(), self.target, is_answered)
        self.pool.on_call_finished(self)
        self.result.callback(outcome)
