"""A Twisted protocol for one SMTP or LMTP connection to a partner's endpoint.

The connection owns its mail session (``honeybarrow.mail``). It reports events to its current call and to the
connection pool, through the interfaces :class:`CallHandler` and :class:`ConnectionOwner`.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from honeybarrow import mail
from honeybarrow.addressing.address import Address
from honeybarrow.delivery.mail_outcome import classify_reply
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.ports import AttemptPermit, Clock, DelayedCall


class CallHandler(Protocol):
    """The interface of the current call that a connection uses."""

    permit: AttemptPermit

    def on_connected(self, connection: MailConnection) -> None:
        """Handle an established connection, before the server's greeting."""
        ...

    def on_data_received(self, connection: MailConnection, data: bytes) -> bool:
        """Handle received data, the first of which is the greeting.

        Return whether this connection carries the call.
        """
        ...

    def on_session_ready(self, connection: MailConnection) -> None:
        """Handle a session that is ready for a transaction."""
        ...

    def on_progress(self, connection: MailConnection) -> None:
        """Handle replies that did not end the call."""
        ...

    def on_content_withheld(self, connection: MailConnection) -> None:
        """Handle content that must no longer be written; none of it has been."""
        ...

    def on_session_refused(self, connection: MailConnection, reply: mail.Reply) -> None:
        """Handle a session that the server refused."""
        ...

    def on_connection_lost(self, connection: MailConnection, reason: str) -> None:
        """Handle a lost connection, a failed connect, or a protocol violation of the server."""
        ...

    def finish(self, outcome: AttemptOutcome) -> None:
        """End the call with its outcome."""
        ...


class ConnectionOwner(Protocol):
    """The interface of the connection pool that a connection uses.

    ``client_name`` is sent with EHLO or LHLO.
    """

    client_name: str
    clock: Clock
    connect_timeout_s: float

    def add_idle(self, connection: MailConnection) -> None:
        """Keep a connection that is ready for another call."""
        ...

    def remove_idle(self, connection: MailConnection) -> None:
        """Remove a connection from the idle ones."""
        ...

    def on_closed_by_partner(self, connection: MailConnection) -> None:
        """Handle a connection that its partner closed."""
        ...


class MailConnection(TwistedProtocol):
    """One connection to a partner, from connect to close."""

    transport: Any = None

    def __init__(self, pool: ConnectionOwner, target: str, address: Address) -> None:
        self.pool, self.target, self.address = pool, target, address
        self.session = mail.ClientSession(pool.client_name, address.is_lmtp)
        self.call: CallHandler | None = None
        self.number = 0  # identifies the connection in its call's connection race
        self.idle_timer: DelayedCall | None = None
        self.idle_since_us = 0
        self.is_closing = False

    def connectionMade(self) -> None:
        """Report the established connection to its call (Twisted callback)."""
        if self.call is None:  # the call ended during the connect
            self.close(abort=True)
        else:
            self.call.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass received bytes to the session and its events to the call (Twisted callback)."""
        call, was_committed = self.call, self.session.is_committed
        if call is not None and not call.on_data_received(self, data):
            return  # another connection won the race; nothing was written on this one
        for event in self.session.receive(data):
            self._handle_event(event)
        if call is not None and self.call is call:
            # The window of the idempotency key may have ended while waiting for the replies to the envelope.
            if self.session.is_committed and not was_committed and call.permit.time_left_us() < 0:
                self.session.take_output()
                call.on_content_withheld(self)
                return
            call.on_progress(self)
        self.flush()

    def flush(self) -> None:
        """Write the pending output of the session."""
        if (output := self.session.take_output()) and self.transport is not None:
            self.transport.write(output)

    def _handle_event(self, event: Any) -> None:
        match event:
            case mail.Ready():
                if self.call is not None:
                    self.call.on_session_ready(self)
            case mail.RecipientAnswered(reply, phase):
                self._finish_call(classify_reply(reply, phase))
                self._release()
            case mail.ResetDone():
                self._release()
            case mail.SessionRefused(reply):
                call, self.call = self.call, None
                self.close()
                if call is not None:
                    call.on_session_refused(self, reply)
            case mail.ServerClosing() | mail.ProtocolViolation():
                reason = event.reason if isinstance(event, mail.ProtocolViolation) else "partner closes"
                self._report_loss(reason)
                self.pool.on_closed_by_partner(self)
                self.close(abort=True)

    def _finish_call(self, outcome: AttemptOutcome) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.finish(outcome)

    def _release(self) -> None:
        """Return the connection to the pool after a transaction, or close it if its session has ended."""
        if self.session.phase is mail.Phase.IDLE and self.call is None and not self.is_closing:
            self.pool.add_idle(self)
        elif not self.session.is_open:
            self.close()

    def _report_loss(self, reason: str) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.on_connection_lost(self, reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report a lost connection or a failed connect to pool and call (Twisted callback)."""
        if not self.is_closing:
            self.pool.on_closed_by_partner(self)
        self.pool.remove_idle(self)
        self._report_loss(reason.getErrorMessage())

    def close(self, abort: bool = False) -> None:
        """Close the connection with QUIT, or with ``abort`` immediately and without waiting for a reply."""
        self.pool.remove_idle(self)
        self.is_closing = True
        if self.transport is None:
            return
        if abort:
            self.transport.abortConnection()
            return
        self.session.quit()
        self.flush()
        self.transport.loseConnection()
        # A partner that stops reading would otherwise keep the file descriptor open indefinitely.
        self.pool.clock.callLater(self.pool.connect_timeout_s, self.transport.abortConnection)
