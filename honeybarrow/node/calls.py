"""Calls to targets on keep-alive connections, one at a time on each.

A call ends exactly once, and nothing is sent again here: a retry is the policy's. The border between "has not
run" and "may have run" is the call's last byte reaching the operating system.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery.connector import Connector
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.node.endpoint_list import SocketAddress
from honeybarrow.node.http_outcome import classify_response
from honeybarrow.node.keep_alive import KeepAlivePolicy
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.sockets import has_unread_bytes, has_unwritten_bytes, is_open_and_quiet, write_now
from honeybarrow.ports import AttemptPermit, Clock, DelayedCall, Network
from honeybarrow.settings import Idempotency
from honeybarrow.tcp_transports import is_local_connect_failure

READ_INTERVAL_S = 0.02  # no answer stays unread for longer while calls are written
SWEEP_INTERVAL_S = 0.5  # between checks of idle connections
IDLE_TIMEOUT_FRACTION = (
    0.75  # of the time after which a target closes what is idle, and loses a request on it
)
RESPONSE_REST_TIMEOUT_S = 1.0  # for the rest of an answer whose head has said all; then its connection goes
UNBOUNDED = 1 << 30  # connections


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """What a call carries, as the client submitted it; ``expires_at_us`` is log time, for the record."""

    message: str
    idempotency_key: str
    body: bytes
    expires_at_us: int = 0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    order_key: str = ""  # the key that it is kept in order by, in a class that asks for it


class HttpConnection(Protocol):
    """One connection to a target, from connect to close."""

    transport: Any = None

    def __init__(self, pool: HttpConnectionPool, target: str, address: SocketAddress) -> None:
        self.pool, self.target, self.address = pool, target, address
        self.call: HttpCall | None = None
        self.reader: http.ResponseReader | None = None
        self.head: http.Head | None = None
        self.since_s = 0.0  # when it became idle, or its answer's head had come
        self.is_closed = False

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self.transport.setTcpNoDelay(True)
        if self.call is None:  # its call ended while it came up
            self.close()
        else:
            self.call.on_connection_ready(self)

    def send_request(self, data: bytes) -> bool:
        """Write a request; whether all of it has reached the operating system."""
        self.reader, self.head = http.ResponseReader(http.MAX_BODY_BYTES), None
        return write_now(self.transport, data)

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes of an answer came."""
        if self.reader is None:  # nothing was asked: what comes would be taken for a later answer
            self.close()
            return
        for event in self.reader.receive(data):
            match event:
                case http.Head():
                    self.head = event
                    if event.status == 200:  # its first line is true whatever follows
                        self.pool.await_response_rest(self)
                        self._finish_by_head(event)
                case http.Complete(reuse):
                    self._on_response_complete(reuse)
                case http.InvalidResponse():
                    self._on_invalid_response(event)
                    self.close()

    def _on_response_complete(self, can_reuse: bool) -> None:
        head, self.reader = self.head, None
        if head is not None and head.status != 200:
            self._finish_by_head(head)
        if can_reuse and self.call is None and not self.is_closed:
            self.pool.add_idle(self)
        else:
            self.close()

    def _on_invalid_response(self, event: http.InvalidResponse) -> None:
        remedy = "tell the target's owner: what it answers is no HTTP/1.1 within the protocol's bounds"
        self.pool.rate_limited_log.warn("invalid_response", f"{self.target}: {event.reason}", remedy)
        if event.status == 200:
            self.finish_call(AttemptOutcome(AttemptStatus.OK))
        else:
            self.finish_call(self.classify_partial(AttemptStatus.RESET, f"invalid response: {event.reason}"))

    def classify_partial(self, status: AttemptStatus, reason: str) -> AttemptOutcome:
        """Return the outcome of a call whose answer is truncated: ambiguous, but its Retry-After holds."""
        head = self.head
        wait_us = classify_response(head.status, head.fields, ()).retry_after_us if head is not None else 0
        return AttemptOutcome(status, retry_after_us=wait_us, reason=reason)

    def _finish_by_head(self, head: http.Head) -> None:
        self.finish_call(classify_response(head.status, head.fields, self.pool.load_report_fields))

    def finish_call(self, outcome: AttemptOutcome) -> None:
        """End its call, if it carries one, by an answer."""
        call, self.call = self.call, None
        if call is not None:
            call.record_reuse_result(is_lost=False)
            call.finish(outcome)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection is gone, or never came up."""
        self.is_closed = True
        self.pool.remove(self)
        events = self.reader.on_connection_closed() if self.reader is not None else []
        head = self.head
        for event in events:
            if isinstance(event, http.Complete) and head is not None:
                self._finish_by_head(head)
            elif isinstance(event, http.InvalidResponse) and event.status == 200:
                self.finish_call(AttemptOutcome(AttemptStatus.OK))
        call, self.call = self.call, None
        if call is not None:
            call.on_connection_lost(self, reason)

    def close(self) -> None:
        """Close at once: nothing that the target still says on it is wanted."""
        self.is_closed = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abortConnection()


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


class HttpConnectionPool:
    """The connections to all targets: ``max_idle`` idle ones in all, ``max_connections`` with those of calls.

    ``can_send_to`` tells whether a target may be sent new work, as far as the endpoint list says at this
    moment.
    """

    def __init__(
        self,
        network: Network,
        clock: Clock,
        connect_timeout_us: int,
        idle_timeout_us: int,
        max_idle: int,
        load_report_fields: Sequence[str],
        can_send_to: Callable[[str], bool],
        max_connections: int = UNBOUNDED,
    ) -> None:
        self.network, self.clock, self.max_connections = network, clock, max_connections
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.idle_timeout_s = idle_timeout_us / 1e6 * IDLE_TIMEOUT_FRACTION
        self.max_idle, self.load_report_fields, self.can_send_to = max_idle, load_report_fields, can_send_to
        self.active_calls: dict[HttpCall, None] = {}
        self._answers_read_s = clock.seconds()
        self.connects_started = 0
        self.keep_alive = KeepAlivePolicy()
        self.rate_limited_log = RateLimitedLog(clock.seconds)
        self._idle_by_target: dict[str, list[HttpConnection]] = {}
        # delivered, and the rest of the answer has not come
        self._awaiting_rest: dict[HttpConnection, None] = {}
        self.idle_count = 0
        clock.callLater(SWEEP_INTERVAL_S, self._close_expired)

    def call(
        self,
        target: str,
        addresses: Sequence[SocketAddress],
        payload: HttpPayload,
        timeout_us: int,
        permit: AttemptPermit,
    ) -> Deferred[AttemptOutcome]:
        """Carry a payload to a target; its outcome, exactly one, within the timeout."""
        address = addresses[0]
        idle = self._take_idle(target, address, payload.idempotency)
        # Danger: a connect without a descriptor fails, and would be taken for a sign of a target that's down.
        if idle is None and not self._ensure_capacity():
            outcome = AttemptOutcome(AttemptStatus.NOT_SENT, True, reason="no descriptor", no_slot_free=True)
            return succeed(outcome)
        call = HttpCall(self, target, payload, timeout_us, permit)
        self.active_calls[call] = None
        call.start(idle, address)
        return call.result

    @property
    def calls_in_flight(self) -> int:
        """How many calls have no outcome yet."""
        return len(self.active_calls)

    def read_arrived_answers(self) -> None:
        """Read what has arrived on the connections of started calls, unless that was done just now."""
        # Danger: a reactor round that is busy with clients takes over 100 ms. A Retry-After that comes after
        # its poll is read in the next one, and a call that is written before that would break the rule.
        now_s = self.clock.seconds()
        if now_s - self._answers_read_s < READ_INTERVAL_S:
            return
        self._answers_read_s = now_s
        for call in list(self.active_calls):
            connection = call.connection if call.is_started else None
            if connection is not None and has_unread_bytes(connection.transport):
                connection.transport.doRead()

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; an idle one is closed for it if need be."""
        while self.calls_in_flight + self.idle_count + len(self._awaiting_rest) >= self.max_connections:
            if not self._idle_by_target:
                return False
            self._close_oldest_idle()
        return True

    def _close_oldest_idle(self) -> None:
        min((idle[0] for idle in self._idle_by_target.values()), key=lambda each: each.since_s).close()

    def _take_idle(
        self, target: str, address: SocketAddress, idempotency: Idempotency
    ) -> HttpConnection | None:
        """The connection used last, unless one so old has proven to be worse than a new one."""
        now_s = self.clock.seconds()
        while idle := self._idle_by_target.get(target):
            connection = idle[-1]
            age_us = int((now_s - connection.since_s) * 1e6)
            if age_us > self.keep_alive.max_idle_us(int(now_s * 1e6), idempotency):
                return None  # it stays: for a call that can be repeated, or until it has idled out
            self.remove(connection)
            is_fresh = age_us < self.idle_timeout_s * 1e6
            if is_fresh and connection.address == address and is_open_and_quiet(connection.transport):
                return connection
            connection.close()
        return None

    def add_idle(self, connection: HttpConnection) -> None:
        """A connection is idle: keep it for the next call."""
        if connection.is_closed:
            return
        self._awaiting_rest.pop(connection, None)
        connection.since_s = self.clock.seconds()
        connection.reader = connection.call = None
        if self.idle_count >= self.max_idle:
            self._close_oldest_idle()
        self._idle_by_target.setdefault(connection.target, []).append(connection)
        self.idle_count += 1

    def await_response_rest(self, connection: HttpConnection) -> None:
        """Its call is delivered; the rest of the answer has to come within a time."""
        connection.since_s = self.clock.seconds()
        self._awaiting_rest[connection] = None

    def remove(self, connection: HttpConnection) -> None:
        """A connection is no longer idle, nor waits for the rest of an answer."""
        self._awaiting_rest.pop(connection, None)
        idle = self._idle_by_target.get(connection.target)
        if idle and connection in idle:
            idle.remove(connection)
            self.idle_count -= 1
            if not idle:
                del self._idle_by_target[connection.target]

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target; calls in flight go on."""
        for connection in list(self._idle_by_target.get(target, ())):
            connection.close()

    def _close_expired(self) -> None:
        self.clock.callLater(SWEEP_INTERVAL_S, self._close_expired)  # first, whatever becomes of this one
        now_s = self.clock.seconds()
        for connection in [
            each for each in self._awaiting_rest if each.since_s < now_s - RESPONSE_REST_TIMEOUT_S
        ]:
            connection.close()
        idle_before_s = now_s - self.idle_timeout_s
        for idle in list(self._idle_by_target.values()):
            for connection in list(idle):
                if connection.since_s < idle_before_s:
                    connection.close()
