"""HTTP server for clients.

Limits the number of connections and the input that they hold, and divides the process's time among them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from honeybarrow import http
from honeybarrow.node.client_connection import BAD_REQUEST_REMEDY, ClientConnection, RequestHandler
from honeybarrow.node.descriptor_budget import ConnectionAction, ConnectionState, choose_action
from honeybarrow.node.eviction_queue import EvictionQueue
from honeybarrow.node.memory_budget import MAX_INPUT_BYTES, InputBudget
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.request_turns import RequestTurns
from honeybarrow.node.sockets import close_now, has_unread_bytes
from honeybarrow.ports import Clock

SWEEP_INTERVAL_S = 0.2
MAX_EVICTION_CANDIDATES = 8  # connections checked for unread input
MAX_RESUMED_PER_TURN = 16  # connections that go on reading once there is memory
_STATES_WITHOUT_REQUEST = (ConnectionState.KEEP_ALIVE, ConnectionState.CLOSING, ConnectionState.UNREAD)


class Front(Factory):
    """Server of at most ``max_connections`` client connections, which hold ``max_input_bytes`` of input.

    ``release_free_memory`` is called when a burst of input is over.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        handler: RequestHandler,
        max_connections: int,
        max_input_bytes: int = MAX_INPUT_BYTES,
        release_free_memory: Callable[[], None] = lambda: None,
    ) -> None:
        self._release_free_memory = release_free_memory
        self.clock, self.handler, self.max_connections = clock, handler, max_connections
        self.input_budget = InputBudget(max_input_bytes, max_connections)
        self.turns: RequestTurns[ClientConnection] = RequestTurns(clock)
        self.connections: dict[int, ClientConnection] = {}
        self._eviction_queue: EvictionQueue[int, ClientConnection] = EvictionQueue()
        self.accepted_count = 0
        # Whether the state of a socket tells that of its peer. Where sockets are emulated, none is ever open.
        self.knows_peer_states = False
        self.bad_request_count = 0
        self.bad_request_log = RateLimitedLog(clock.seconds)
        self.eviction_counts: dict[str, int] = {}  # by outcome: rejected, answered, unanswered
        # Connections that the process ended, by reason.
        self.close_counts: Counter[str] = Counter()
        self._is_resume_scheduled = False
        clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Return the protocol of a new connection."""
        self.accepted_count += 1
        return ClientConnection(self, self.accepted_count)

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a new connection; if there are too many, evict another or reject this one."""
        if len(self.connections) >= self.max_connections:
            evicted = self._choose_eviction()
            outcome = "rejected" if evicted is None else "answered" if evicted.has_answered else "unanswered"
            self.eviction_counts[outcome] = self.eviction_counts.get(outcome, 0) + 1
            if evicted is None:
                connection.reject()
                return
            self.on_closed(evicted)
            evicted.close_evicted()
        self.connections[connection.number] = connection
        self.on_state_changed(connection)

    def _choose_eviction(self) -> ClientConnection | None:
        """Return the connection to evict; ``None`` if all candidates have unread input.

        A request that has not been read yet would be lost with its connection. One that waits for memory is
        answered with 503.
        """
        candidates = self._eviction_queue.candidates(MAX_EVICTION_CANDIDATES)
        may_close = self.handler.may_close
        return next(
            (
                connection
                for connection in candidates
                if may_close(connection.has_open_request)
                and (connection.waits_for_memory or not has_unread_bytes(connection.transport))
            ),
            None,
        )

    def on_state_changed(self, connection: ClientConnection) -> None:
        """Update the position of a connection in the eviction queue."""
        if connection.number in self.connections:
            self._eviction_queue.update(
                connection.number, connection, connection.state, connection.has_answered
            )

    def on_closed(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""
        self.connections.pop(connection.number, None)
        self._eviction_queue.remove(connection.number)
        self.turns.remove(connection)
        self.release_input(connection)

    def on_bad_request(self, error: http.InvalidRequest) -> None:
        """Count and log an invalid request."""
        self.bad_request_count += 1
        self.bad_request_log.warn(f"bad_request status={error.status}", error.reason, BAD_REQUEST_REMEDY)

    def count_close(self, reason: str) -> None:
        """Count a connection that the process ended."""
        self.close_counts[reason] += 1

    # input

    def reserve_input(self, connection: ClientConnection, held_bytes: int, wanted_bytes: int) -> int:
        """Return how many bytes a connection may read now; 0 if none, or if it has to wait for memory."""
        budget, reserved_bytes = self.input_budget, self.input_budget.reserved_bytes
        granted = budget.reserve(connection.number, held_bytes, wanted_bytes, self.clock.seconds())
        if budget.reserved_bytes < reserved_bytes:
            self._resume_waiting()
        return granted

    def release_input(self, connection: ClientConnection) -> None:
        """Give back what a connection has reserved."""
        self.input_budget.release(connection.number)
        self._resume_waiting()

    def _resume_waiting(self) -> None:
        if self.input_budget.has_waiting and not self._is_resume_scheduled:
            self._is_resume_scheduled = True
            self.clock.callLater(0, self._read_waiting)

    def _read_waiting(self) -> None:
        """Let the connections read on that have waited longest for memory."""
        self._is_resume_scheduled = False
        for _ in range(MAX_RESUMED_PER_TURN):
            number = self.input_budget.next_waiting()
            connection = self.connections.get(number) if number is not None else None
            if connection is None:
                return
            connection.update_reading()
            if self.input_budget.next_waiting() == number:
                return

    def _refuse_oldest_input(self) -> None:
        """Refuse the requests that have held memory for longest while others wait for some."""
        if not self.input_budget.has_waiting:
            return
        for number in self.input_budget.choose_victims(self.clock.seconds()):
            connection = self.connections.get(number)
            if connection is not None and connection.state is ConnectionState.READING:
                self.count_close("no_memory")
                connection.finish_with_status(503)

    def drain(self) -> None:
        """Close connections that are idle between requests.

        Open requests are still answered, and new connections may still send one request.
        """
        for connection in list(self.connections.values()):
            if connection.state is ConnectionState.KEEP_ALIVE:
                connection.close_if_idle()
        self._apply_timeouts()

    def close_all(self) -> None:
        """Close all connections without an open request; respond to partial requests with 503."""
        for connection in list(self.connections.values()):
            match connection.state:
                case ConnectionState.KEEP_ALIVE | ConnectionState.NEW:
                    connection.close_if_idle()
                case ConnectionState.READING:
                    connection.finish_with_status(503)

    @property
    def has_requests(self) -> bool:
        """Whether a request is open or may still arrive on an unanswered connection."""
        return any(
            connection.state not in _STATES_WITHOUT_REQUEST for connection in self.connections.values()
        )

    @property
    def is_empty(self) -> bool:
        """Whether all connections are closed."""
        return not self.connections

    def _sweep(self) -> None:
        self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)  # first, in case this sweep raises
        self._apply_timeouts()
        self._end_departed()
        self._refuse_oldest_input()
        if self.input_budget.ends_burst():
            self._release_free_memory()

    def _end_departed(self) -> None:
        """End the requests of clients that have left while they were not read from.

        A paused socket reports neither the end of its stream nor a reset.
        """
        for connection in list(self.connections.values()):
            if connection.is_abandoned:
                self.count_close("client_left")
                connection.finish_with_status(503)

    def _apply_timeouts(self) -> None:
        now = self.clock.seconds()
        for connection in list(self.connections.values()):
            match choose_action(
                connection.state,
                connection.has_answered,
                now - connection.state_since_s,
                self.handler.is_draining,
            ):
                case ConnectionAction.CLOSE:
                    close_now(connection.transport)
                case ConnectionAction.ABORT:
                    self.count_close("unread_response")
                    connection.transport.abortConnection()
                case ConnectionAction.TIME_OUT_REQUEST:
                    self.count_close("request_timeout")
                    connection.finish_with_status(408)
                case ConnectionAction.HALF_CLOSE:
                    connection.close_if_idle()
