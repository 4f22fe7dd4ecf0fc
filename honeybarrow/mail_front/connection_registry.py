"""The registry of connected clients, shared by all mail fronts of a forwarder, and its periodic checks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from honeybarrow import mail
from honeybarrow.admission.admission_control import AdmissionController
from honeybarrow.admission.identity import ClientIdentifier
from honeybarrow.mail import Reply
from honeybarrow.mail_front.routing import MessageRouter
from honeybarrow.mail_front.submission import MailSubmissionService
from honeybarrow.ports import Clock, Logger

SWEEP_INTERVAL_S = 1.0  # interval between checks for slow transactions
TRANSACTION_TOO_SLOW = Reply(421, "4.4.2", "too slow, closing")


@dataclass(frozen=True, slots=True)
class MailFrontLimits:
    """Limits of a front.

    ``command_timeout_s`` and ``data_timeout_s``: idle time allowed between commands and within content;
    ``max_hops``: number of Received fields allowed in a message.
    """

    command_timeout_s: float = 300.0
    data_timeout_s: float = 180.0
    max_hops: int = 50


class ClientConnection(Protocol):
    """The interface of a client connection that the registry uses."""

    connection_id: int

    def close_when_idle(self) -> None:
        """Close now, or after the open transaction."""
        ...

    def close_with_reply(self, reply: Reply) -> None:
        """Write a final reply and close."""
        ...

    def resume_reading(self) -> None:
        """Resume reading from a paused connection."""
        ...


class ConnectionRegistry:
    """The client connections of all fronts of a forwarder, and the services that they share.

    ``new_id`` returns a message id and ``format_date`` the current date for trace lines (RFC 5322 3.3).
    ``tls_context`` is used for STARTTLS; ``None`` disables it. ``check_password`` takes an account and a
    password and fires with whether they match; ``None`` disables AUTH.
    """

    def __init__(
        self,
        server_name: str,
        admission: AdmissionController,
        submissions: MailSubmissionService,
        router: MessageRouter,
        identity: ClientIdentifier,
        session_limits: mail.SessionLimits,
        front_limits: MailFrontLimits,
        clock: Clock,
        now_us: Callable[[], int],
        new_id: Callable[[], str],
        format_date: Callable[[], str],
        log: Logger,
        tls_context: Any = None,
        check_password: Callable[[str, bytes], Deferred[bool]] | None = None,
    ) -> None:
        self.server_name, self.admission, self.submissions = server_name, admission, submissions
        self.router, self.identity = router, identity
        self.session_limits, self.front_limits = session_limits, front_limits
        self.clock, self.now_us = clock, now_us
        self.new_id, self.format_date, self.log = new_id, format_date, log
        self.tls_context, self.check_password = tls_context, check_password
        self.connections: dict[int, ClientConnection] = {}
        self.paused_connections: dict[int, ClientConnection] = {}
        self._last_connection_id = 0
        self._sweep_timer: Any = None

    def next_connection_id(self) -> int:
        """Return a number that is unique among the connections of this process."""
        self._last_connection_id += 1
        return self._last_connection_id

    def add(self, connection: ClientConnection) -> None:
        """Register an admitted connection."""
        self.connections[connection.connection_id] = connection
        if self._sweep_timer is None:
            self._sweep_timer = self.clock.callLater(SWEEP_INTERVAL_S, self._close_slow_connections)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection and release the capacity that it held."""
        self.connections.pop(connection.connection_id, None)
        self.paused_connections.pop(connection.connection_id, None)
        self.admission.close_session(self.now_us(), connection.connection_id)
        self.resume_paused()

    def resume_paused(self) -> None:
        """Resume the paused connections that admission control now allows to read."""
        for connection_id, connection in list(self.paused_connections.items()):
            if self.admission.can_read(self.now_us(), connection_id):
                del self.paused_connections[connection_id]
                connection.resume_reading()

    def _close_slow_connections(self) -> None:
        """Close connections with slow transactions; repeats while any connection is open."""
        self._sweep_timer = None
        for connection_id in self.admission.find_slow_sessions(self.now_us()):
            if connection_id in self.connections:
                self.connections[connection_id].close_with_reply(TRANSACTION_TOO_SLOW)
        self.resume_paused()
        if self.connections:
            self._sweep_timer = self.clock.callLater(SWEEP_INTERVAL_S, self._close_slow_connections)

    def start_drain(self) -> None:
        """Stop admitting transactions; each connection closes after its open transaction."""
        self.admission.is_stopping = True
        for connection in list(self.connections.values()):
            connection.close_when_idle()
