"""Pool of HTTP connections to all endpoints, with keep-alive and a limit on file descriptors."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from twisted.internet.defer import Deferred, succeed

from honeybarrow.delivery.outcome import AttemptOutcome, Verdict
from honeybarrow.events import AttemptStatus
from honeybarrow.node.endpoint_list import SocketAddress
from honeybarrow.node.http_call import HttpCall, HttpPayload
from honeybarrow.node.http_connection import HttpConnection
from honeybarrow.node.keep_alive import KeepAlivePolicy
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.response_pairing import ReusePolicy
from honeybarrow.node.sockets import has_unread_bytes, is_open_and_quiet
from honeybarrow.node.surplus_responses import ReportSurplus, SurplusResponse, read_status
from honeybarrow.ports import AttemptPermit, Clock, Network
from honeybarrow.settings import Idempotency

READ_INTERVAL_S = 0.02  # minimum time between explicit reads of pending responses
SWEEP_INTERVAL_S = 0.5  # between checks for expired connections
IDLE_TIMEOUT_FRACTION = 0.75  # of the target's idle timeout, to close before the target does
RESPONSE_REST_TIMEOUT_S = 1.0  # for the body after a 200 head, before the connection is closed
UNLIMITED_CONNECTIONS = 1 << 30


class HttpConnectionPool:
    """Pool of connections to all targets.

    ``max_idle`` limits the idle connections, ``max_connections`` the idle and active ones together.
    ``can_send_to`` returns whether the current endpoint list allows new calls to a target at an address.
    ``report_surplus`` is called with each response that no request accounts for, ``report_retry_after`` with
    the target and the wait of one that has told to wait, and ``report_over`` with messages of which one may
    be over by such a response.
    """

    def __init__(
        self,
        network: Network,
        clock: Clock,
        connect_timeout_us: int,
        idle_timeout_us: int,
        max_idle: int,
        load_report_fields: Sequence[str],
        can_send_to: Callable[[str, SocketAddress], bool],
        max_connections: int = UNLIMITED_CONNECTIONS,
        report_surplus: ReportSurplus = lambda response: None,
        report_retry_after: Callable[[str, int], object] = lambda target, retry_after_us: None,
        report_over: Callable[[Iterable[str]], object] = lambda messages: None,
    ) -> None:
        self.network, self.clock, self.max_connections = network, clock, max_connections
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.idle_timeout_s = idle_timeout_us / 1e6 * IDLE_TIMEOUT_FRACTION
        self.max_idle, self.load_report_fields, self.can_send_to = max_idle, load_report_fields, can_send_to
        self.active_calls: dict[HttpCall, None] = {}
        self._responses_read_at_s = clock.seconds()
        self.connects_started = 0
        self._report_surplus, self.report_retry_after = report_surplus, report_retry_after
        self.report_over = report_over
        self.reuse_policy = ReusePolicy()
        self.keep_alive = KeepAlivePolicy()
        self.rate_limited_log = RateLimitedLog(clock.seconds)
        self._idle_by_target: dict[str, list[HttpConnection]] = {}
        # Connections whose call is finished as delivered, but whose response body is incomplete.
        self._awaiting_rest: dict[HttpConnection, None] = {}
        # Connections on which outcomes were read that await a verdict, and those of them that carry no more.
        self._awaiting_verdict: dict[HttpConnection, None] = {}
        self._retired: dict[HttpConnection, None] = {}
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
        """Send a payload to a target; return a Deferred of its outcome, which fires within the timeout."""
        address = addresses[0]
        idle = self._choose_idle(target, address, payload.idempotency, permit)
        # A connect that fails for lack of descriptors would count as a failure of the target.
        if idle is None and not self._ensure_capacity():
            outcome = AttemptOutcome(AttemptStatus.NOT_SENT, True, reason="no descriptor", no_slot_free=True)
            return succeed(outcome)
        call = HttpCall(self, target, payload, timeout_us, permit)
        self.active_calls[call] = None
        call.start(idle, address)
        return call.result

    @property
    def calls_in_flight(self) -> int:
        """Number of calls without an outcome."""
        return len(self.active_calls)

    def read_arrived_responses(self) -> None:
        """Read pending responses of started calls, at most once per ``READ_INTERVAL_S``."""
        # In a long reactor iteration, a Retry-After may arrive after the poll. It must be read before another
        # call is written to its destination.
        now_s = self.clock.seconds()
        if now_s - self._responses_read_at_s < READ_INTERVAL_S:
            return
        self._responses_read_at_s = now_s
        started = [call.connection for call in self.active_calls if call.is_started]
        for connection in [*started, *self._awaiting_verdict]:
            if connection is not None and has_unread_bytes(connection.transport):
                connection.transport.doRead()

    def record_timeout(self, call: HttpCall) -> None:
        """Record a call without a response: other responses of its target may take as long."""
        self.reuse_policy.record_response_time(
            call.target, int((self.clock.seconds() - call.started_at_s) * 1e6)
        )

    def report_surplus(self, connection: HttpConnection, data: bytes) -> None:
        """Report bytes that arrived on a connection while no response was due on it."""
        now_s = self.clock.seconds()
        self.reuse_policy.record_copy(connection.target, int(now_s * 1e6))
        self._report_surplus(
            SurplusResponse(
                connection.target,
                connection.number,
                connection.requests,
                int((now_s - connection.connected_at_s) * 1e6),
                read_status(data),
                connection.doubtful_messages,
            )
        )

    def _ensure_capacity(self) -> bool:
        """Return whether another connection may be opened, closing idle connections if necessary."""
        while self._connection_count() >= self.max_connections:
            if self._retired:
                next(iter(self._retired)).close(Verdict.CONFIRMED)
                continue
            if not self._idle_by_target:
                return False
            self._close_oldest_idle()
        return True

    def _close_oldest_idle(self) -> None:
        # For lack of descriptors its outcomes are taken as they are: nothing speaks against them so far.
        oldest = min(
            (idle[0] for idle in self._idle_by_target.values()), key=lambda each: each.waiting_since_s
        )
        oldest.close(Verdict.CONFIRMED)

    def _connection_count(self) -> int:
        return self.calls_in_flight + self.idle_count + len(self._awaiting_rest) + len(self._retired)

    def _choose_idle(
        self, target: str, address: SocketAddress, idempotency: Idempotency, permit: AttemptPermit
    ) -> HttpConnection | None:
        """Return an idle connection for a call, or ``None`` if it needs a new one."""
        if target not in self._idle_by_target:
            return None
        is_suspended = not self.reuse_policy.may_reuse(target, int(self.clock.seconds() * 1e6))
        if is_suspended:
            self.close_idle(target)
            return None
        if permit.may_reuse_connection():
            return self._take_idle(target, address, idempotency)
        self._make_room_for_new(target)
        return None

    def _make_room_for_new(self, target: str) -> None:
        """Close an idle connection in place of the new one, since an endpoint holds only so many."""
        for connection in self._idle_by_target.get(target, ()):
            connection.confirm_by_silence()
            if not connection.pairing.unconfirmed:
                connection.close()
                return

    def _take_idle(
        self, target: str, address: SocketAddress, idempotency: Idempotency
    ) -> HttpConnection | None:
        """Return the most recently used idle connection, if its idle age is acceptable."""
        now_s = self.clock.seconds()
        while idle := self._idle_by_target.get(target):
            connection = idle[-1]
            connection.confirm_by_silence()
            if not connection.pairing.may_carry_request(int(now_s * 1e6)):
                return None
            age_us = int((now_s - connection.waiting_since_s) * 1e6)
            if age_us > self.keep_alive.max_idle_us(int(now_s * 1e6), idempotency):
                return None  # kept in the pool, since an idempotent call may still use it
            self.remove(connection)
            is_fresh = age_us < self.idle_timeout_s * 1e6
            if is_fresh and connection.address == address and is_open_and_quiet(connection.transport):
                return connection
            if has_unread_bytes(connection.transport):
                connection.transport.doRead()  # a surplus response
            elif connection.address != address:
                self.retire(connection)
            else:
                connection.close()
        return None

    def add_idle(self, connection: HttpConnection) -> None:
        """Keep an idle connection for the next call."""
        if connection.is_closed:
            return
        self._awaiting_rest.pop(connection, None)
        if not self.reuse_policy.may_reuse(connection.target, int(self.clock.seconds() * 1e6)):
            self.retire(connection)
            return
        connection.waiting_since_s = self.clock.seconds()
        connection.reader = connection.call = None
        if self.idle_count >= self.max_idle:
            self._close_oldest_idle()
        self._idle_by_target.setdefault(connection.target, []).append(connection)
        self.idle_count += 1

    def await_response_rest(self, connection: HttpConnection) -> None:
        """Limit the time for the rest of a response whose call already has its outcome."""
        self.remove(connection)
        connection.waiting_since_s = self.clock.seconds()
        self._awaiting_rest[connection] = None

    def remove(self, connection: HttpConnection) -> None:
        """Remove a connection from the idle connections and from those that await a response body."""
        self._awaiting_rest.pop(connection, None)
        self._retired.pop(connection, None)
        if connection.is_closed:
            self._awaiting_verdict.pop(connection, None)
        idle = self._idle_by_target.get(connection.target)
        if idle and connection in idle:
            idle.remove(connection)
            self.idle_count -= 1
            if not idle:
                del self._idle_by_target[connection.target]

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target; calls in flight are not affected."""
        for connection in list(self._idle_by_target.get(target, ())):
            self.retire(connection)

    def await_verdict(self, connection: HttpConnection) -> None:
        """Confirm the outcomes read on a connection once it has been silent for long enough."""
        self._awaiting_verdict[connection] = None

    def retire(self, connection: HttpConnection) -> None:
        """Send nothing more on a connection, and close it once its outcomes are confirmed."""
        self.remove(connection)
        connection.reader = connection.call = None
        connection.confirm_by_silence()
        if connection.pairing.unconfirmed:
            self._retired[connection] = None
        else:
            connection.close()

    def retire_after_hold(self, connection: HttpConnection) -> None:
        """Send nothing more on a connection, and close it before the call that failed on it is repeated."""
        self.remove(connection)
        connection.reader = connection.call = None
        self._retired[connection] = None
        hold_s = self.reuse_policy.retry_hold_us(connection.target) / 1e6
        self.clock.callLater(hold_s, connection.close)

    def _confirm_by_silence(self) -> None:
        for connection in list(self._awaiting_verdict):
            connection.confirm_by_silence()
            if connection.pairing.unconfirmed:
                continue
            self._awaiting_verdict.pop(connection, None)
            if connection in self._retired:
                connection.close()

    def _close_expired(self) -> None:
        self.clock.callLater(SWEEP_INTERVAL_S, self._close_expired)  # scheduled first, in case this run fails
        self._confirm_by_silence()
        now_s = self.clock.seconds()
        for connection in [
            each for each in self._awaiting_rest if each.waiting_since_s < now_s - RESPONSE_REST_TIMEOUT_S
        ]:
            connection.close()
        idle_before_s = now_s - self.idle_timeout_s
        for idle in list(self._idle_by_target.values()):
            for connection in list(idle):
                if connection.waiting_since_s < idle_before_s:
                    connection.close()
