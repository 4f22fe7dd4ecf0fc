"""The connections to all endpoints: idle ones are kept for the next call, within a bound of descriptors."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred, succeed

from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.node.endpoint_list import SocketAddress
from honeybarrow.node.http_call import HttpCall, HttpPayload
from honeybarrow.node.http_connection import HttpConnection
from honeybarrow.node.keep_alive import KeepAlivePolicy
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.sockets import has_unread_bytes, is_open_and_quiet
from honeybarrow.ports import AttemptPermit, Clock, Network
from honeybarrow.settings import Idempotency

READ_INTERVAL_S = 0.02  # no answer stays unread for longer while calls are written
SWEEP_INTERVAL_S = 0.5  # between checks of idle connections
IDLE_TIMEOUT_FRACTION = (
    0.75  # of the time after which a target closes what is idle, and loses a request on it
)
RESPONSE_REST_TIMEOUT_S = 1.0  # for the rest of an answer whose head has said all; then its connection goes
UNBOUNDED = 1 << 30  # connections


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
