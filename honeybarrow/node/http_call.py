"""A single HTTP call to an endpoint.

Each call ends with exactly one outcome and is never retried here; retries are decided by the policy. A call
counts as possibly executed once the last byte of its request has been handed to the operating system.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery.connector import Connector
from honeybarrow.delivery.outcome import AttemptOutcome, ConnectionUse
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
    """Message as submitted by the client.

    ``expires_at_us`` is in log time, see :mod:`honeybarrow.log_timeline`, and is stored with the message.
    """

    message: str
    idempotency_key: str
    body: bytes
    expires_at_us: int = 0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    order_key: str = ""  # set only for ordered message classes


class HttpCall:
    """A call to one endpoint, from its creation by the pool to its single outcome."""

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
        self.is_written = False  # the whole request was handed to the operating system
        self.is_started = False
        self.started_at_s = pool.clock.seconds()
        self.has_extended_timeout = False  # once, to read input that arrived before the timeout
        self.idle_us: int | None = None  # idle time of a reused connection
        self.timer: DelayedCall | None = None

    def start(self, idle: HttpConnection | None, address: SocketAddress) -> None:
        """Send the request on an idle connection, or open a new one."""
        clock = self.pool.clock
        left_s = max(0.0, self.deadline_s - clock.seconds())
        if idle is not None:
            self.connection, idle.call = idle, self
            self.idle_us = int((clock.seconds() - idle.waiting_since_s) * 1e6)
            self.timer = clock.callLater(left_s, self._on_timeout)
            self.on_connection_ready(idle)
            return
        self.pool.connects_started += 1
        self.connection = connection = HttpConnection(self.pool, self.target, address)
        connection.call = self
        wait_s = min(left_s, self.pool.connect_timeout_s)
        self.timer = clock.callLater(wait_s, self._on_timeout)
        self.connector = self.pool.network.connectTCP(*address, Connector(connection), timeout=wait_s + 1)

    def on_connection_ready(self, connection: HttpConnection) -> None:
        """Write the request, unless the call is no longer permitted."""
        # While the connection was being established, the target may have left the list or changed its
        # address, another call may have received a Retry-After, or the key window may have ended.
        self.pool.read_arrived_responses()
        is_unlisted = not self.pool.can_send_to(self.target, connection.address)
        if reason := "the target is no longer listed" if is_unlisted else self.permit.record_start():
            self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=reason))
            if is_unlisted:
                self.pool.retire(connection)
            else:
                self.pool.add_idle(connection)
            return
        now_s = self.pool.clock.seconds()
        if not self.is_started and self.connector is not None and self.timer is not None:
            self.timer.cancel()
            self.timer = self.pool.clock.callLater(max(0.0, self.deadline_s - now_s), self._on_timeout)
        self.is_started = True
        try:
            self.is_written = connection.send_request(self._encode(connection, now_s))
        except OSError as error:  # the peer had closed the connection; nothing was written
            connection.call = None
            connection.close()
            self.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason=str(error)))
            return
        if not self.is_written and self.timer is not None:  # limit the wait for buffer space
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
        """Finish the call after its connection was lost or could not be established."""
        reason = failure.getErrorMessage()
        if not self.is_started and is_local_connect_failure(failure):
            # A local failure, such as no free port, must not count against the endpoint.
            self.finish(AttemptOutcome(AttemptStatus.NOT_SENT, True, reason=reason))
        elif not self.is_started or self.is_request_incomplete(connection):
            self.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason=reason))
        else:
            has_no_response = self._has_no_response(connection)
            self.record_reuse_result(is_lost=has_no_response)
            if has_no_response:
                connection.refute_last()
            self.finish(connection.classify_partial(AttemptStatus.RESET, reason))

    @staticmethod
    def _has_no_response(connection: HttpConnection) -> bool:
        return connection.reader is None or not connection.reader.has_started

    def record_reuse_result(self, is_lost: bool) -> None:
        """Report to the keep-alive policy whether the connection was lost before any response byte."""
        self.pool.keep_alive.record_call(int(self.pool.clock.seconds() * 1e6), self.idle_us, is_lost)

    def is_request_incomplete(self, connection: HttpConnection | None) -> bool:
        """Return whether part of the request is still buffered, so that it can't have been executed."""
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
        is_incomplete = self.is_request_incomplete(connection)
        left_s = self.deadline_s - self.pool.clock.seconds()
        if self.is_started and not is_incomplete and left_s > 0:
            # The rest was written meanwhile; wait for the response.
            self.is_written = True
            self.timer = self.pool.clock.callLater(left_s, self._on_timeout)
            return
        # The reactor runs timers before sockets, so a response that arrived in time may still be unread.
        can_extend = self.is_started and not self.has_extended_timeout
        if can_extend and connection is not None and has_unread_bytes(connection.transport):
            self.has_extended_timeout = True
            self.timer = self.pool.clock.callLater(0, self._on_timeout)
            return
        if connection is not None and connection.reader is not None and connection.reader.status == 200:
            connection.finish_call(AttemptOutcome(AttemptStatus.OK))  # the status line alone is sufficient
            connection.close()
            return
        self._finish_without_response(connection, is_incomplete)

    def _finish_without_response(self, connection: HttpConnection | None, is_incomplete: bool) -> None:
        """Finish a timed-out call and close its connection."""
        if connection is not None:
            connection.call = None
            if self.is_started and not is_incomplete and self._has_no_response(connection):
                connection.refute_last()
            connection.close()  # a late response would be taken for the response to the next call
        if not self.is_started:
            if self.connector is not None:
                self.connector.stopConnecting()
            self.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason="not connected in time"))
        elif is_incomplete:
            self.finish(AttemptOutcome(AttemptStatus.TIMEOUT, True, reason="not written in time"))
        else:
            self.pool.record_timeout(self)
            self.record_reuse_result(is_lost=connection is None or self._has_no_response(connection))
            reason = "no answer in time"
            partial = connection and connection.classify_partial(AttemptStatus.TIMEOUT, reason)
            self.finish(partial or AttemptOutcome(AttemptStatus.TIMEOUT, reason=reason))

    def finish(self, outcome: AttemptOutcome) -> None:
        """Set the outcome of the call, unless it already has one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        outcome = self._with_connection(outcome)
        self.connection = self.connector = None
        if not self.result.called:
            del self.pool.active_calls[self]
            self.result.callback(outcome)

    def _with_connection(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """Add the connection to the outcome of a failed call, for the log."""
        connection = self.connection
        if connection is None or outcome.status is AttemptStatus.OK:
            return outcome
        use = ConnectionUse(connection.number, connection.requests, connection.response_status)
        return replace(outcome, connection=use)
