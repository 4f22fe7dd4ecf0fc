"""One call to an endpoint: it ends exactly once, and nothing is sent again here; a retry is the policy's.

The border between "has not run" and "may have run" is the call's last byte reaching the operating system.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery.connector import Connector
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.node.endpoint_list import SocketAddress
from honeybarrow.node.http_connection import HttpConnection
from honeybarrow.node.sockets import has_unread_bytes, has_unwritten_bytes
from honeybarrow.ports import AttemptPermit, DelayedCall
from honeybarrow.settings import Idempotency
from honeybarrow.tcp_transports import is_local_connect_failure

if TYPE_CHECKING:
    from honeybarrow.node.http_connection_pool import HttpConnectionPool


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """What a call carries, as the client submitted it; ``expires_at_us`` is log time, for the record."""

    message: str
    idempotency_key: str
    body: bytes
    expires_at_us: int = 0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    order_key: str = ""  # the key that it is kept in order by, in a class that asks for it


class HttpCall:
    """One call: from the pool's promise to its one outcome."""

    def __init__(
        self,
        pool: HttpConnectionPool,
        target: str,
        payload: HttpPayload,
        timeout_us: int,
        permit: AttemptPermit,
    ) -> None:
        self.pool, self.target, self.payload, self.permit = pool, target, payload, permit
        self.result: Deferred[AttemptOutcome] = Deferred()
        self.deadline_s = pool.clock.seconds() + timeout_us / 1e6
        self.connection: HttpConnection | None = None
        self.connector: Any = None
        self.is_written = False  # its last byte has reached the operating system
        self.is_started = False
        self.has_rechecked = False  # what had arrived as its time ended
        self.idle_us: int | None = None  # how long its connection had been idle, if it was
        self.timer: DelayedCall | None = None

    def start(self, idle: HttpConnection | None, address: SocketAddress) -> None:
        """Begin on an idle connection, or connect."""
        clock = self.pool.clock
        left_s = max(0.0, self.deadline_s - clock.seconds())
        if idle is not None:
            self.connection, idle.call = idle, self
            self.idle_us = int((clock.seconds() - idle.since_s) * 1e6)
            self.timer = clock.callLater(left_s, self._on_timeout)
            self.on_connection_ready(idle)
            return
        self.connection = connection = HttpConnection(self.pool, self.target, address)
        connection.call = self
        wait_s = min(left_s, self.pool.connect_timeout_s)
        self.timer = clock.callLater(wait_s, self._on_timeout)
        self.pool.connects_started += 1
        self.connector = self.pool.network.connectTCP(*address, Connector(connection), timeout=wait_s + 1)

    def on_connection_ready(self, connection: HttpConnection) -> None:
        """The connection is up: write the call."""
        # Danger: while the connection came up the list may have said that the target leaves, another call may
        # have been advised a wait, and a key's window may have ended: a first byte now would break a rule.
        self.pool.read_arrived_answers()
        is_gone = not self.pool.can_send_to(self.target)
        if reason := "the target is no longer listed" if is_gone else self.permit.record_start():
            self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=reason))
            self.pool.add_idle(connection)
            return
        now_s = self.pool.clock.seconds()
        if not self.is_started and self.connector is not None and self.timer is not None:
            self.timer.cancel()
            self.timer = self.pool.clock.callLater(max(0.0, self.deadline_s - now_s), self._on_timeout)
        self.is_started = True
        try:
            self.is_written = connection.send_request(self._encode(connection, now_s))
        except OSError as error:  # the target had closed it; nothing was written
            connection.call = None
            connection.close()
            self.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason=str(error)))
            return
        if not self.is_written and self.timer is not None:  # its last byte waits for room, and not for ever
            self.timer.cancel()
            left_s = min(self.deadline_s - now_s, self.permit.time_left_us() / 1e6)
            self.timer = self.pool.clock.callLater(max(0.0, left_s), self._on_timeout)

    def _encode(self, connection: HttpConnection, now_s: float) -> bytes:
        left_ms = max(1, int((self.deadline_s - now_s) * 1000))
        payload = self.payload
        key = f"Idempotency-Key: {payload.idempotency_key}\r\n" if payload.idempotency_key else ""
        fields = (
            f"Host: {connection.address[0]}\r\nX-Correlation-Id: {payload.message}\r\n{key}"
            f"X-Time-Left: {left_ms}m\r\nContent-Length: {len(payload.body)}\r\n"
        )
        return http.encode_request("POST", "/v1/messages", fields, payload.body)

    def on_connection_lost(self, connection: HttpConnection, failure: Failure) -> None:
        """The connection is gone, or never came up."""
        reason = failure.getErrorMessage()
        if not self.is_started and is_local_connect_failure(failure):
            # Danger: as a failed connect it would count against an endpoint that nobody has asked.
            self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=reason))
        elif not self.is_started or self._is_cut_off(connection):
            self.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason=reason))
        else:
            self.record_reuse_result(is_lost=connection.reader is None or not connection.reader.has_started)
            self.finish(connection.classify_partial(AttemptStatus.RESET, reason))

    def record_reuse_result(self, is_lost: bool) -> None:
        """Tell the keep-alive policy whether the call was lost with its connection, before an answer."""
        self.pool.keep_alive.record_call(int(self.pool.clock.seconds() * 1e6), self.idle_us, is_lost)

    def _is_cut_off(self, connection: HttpConnection | None) -> bool:
        """Whether its last byte has not reached the operating system, so that it has not run."""
        transport = connection.transport if connection is not None else None
        return (
            self.is_started
            and not self.is_written
            and transport is not None
            and has_unwritten_bytes(transport)
        )

    def _on_timeout(self) -> None:
        self.timer = None
        connection = self.connection
        is_cut_off = self._is_cut_off(connection)
        left_s = self.deadline_s - self.pool.clock.seconds()
        if self.is_started and not is_cut_off and left_s > 0:  # it was only late to be written
            self.is_written = True
            self.timer = self.pool.clock.callLater(left_s, self._on_timeout)
            return
        # Danger: timers go before sockets in a round, so an answer may have come in time and not be read yet.
        is_unchecked = self.is_started and not self.has_rechecked
        if is_unchecked and connection is not None and has_unread_bytes(connection.transport):
            self.has_rechecked = True
            self.timer = self.pool.clock.callLater(0, self._on_timeout)
            return
        if connection is not None and connection.reader is not None and connection.reader.status == 200:
            connection.finish_call(AttemptOutcome(AttemptStatus.OK))  # true, whatever of the rest is missing
            connection.close()
            return
        self._give_up(connection, is_cut_off)

    def _give_up(self, connection: HttpConnection | None, is_cut_off: bool) -> None:
        """End without an answer; the connection goes with the call."""
        if connection is not None:
            connection.call = None
            connection.close()  # Danger: its answer may still come, and would be taken for the next call's
        if not self.is_started:
            if self.connector is not None:
                self.connector.stopConnecting()
            self.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason="not connected in time"))
        elif is_cut_off:
            self.finish(AttemptOutcome(AttemptStatus.TIMEOUT, True, reason="not written in time"))
        else:
            is_unread = connection is None or connection.reader is None or not connection.reader.has_started
            self.record_reuse_result(is_lost=is_unread)
            reason = "no answer in time"
            partial = connection and connection.classify_partial(AttemptStatus.TIMEOUT, reason)
            self.finish(partial or AttemptOutcome(AttemptStatus.TIMEOUT, reason=reason))

    def finish(self, outcome: AttemptOutcome) -> None:
        """End with this outcome, unless it has one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.connection = self.connector = None
        if not self.result.called:
            del self.pool.active_calls[self]
            self.result.callback(outcome)
