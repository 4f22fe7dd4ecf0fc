"""The HTTP front for clients: bounded connections, requests to their handler, answers back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.node.descriptor_budget import ConnectionAction, ConnectionState, choose_action
from honeybarrow.node.eviction_queue import EvictionQueue
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.sockets import close_now, half_close, has_unread_bytes, write_now
from honeybarrow.ports import Clock

MAX_LINGER_BYTES = 1 << 18  # discarded after our half-close
SWEEP_INTERVAL_S = 0.2
MAX_REQUESTS_PER_TURN = 4  # of one connection
MAX_EVICTION_CANDIDATES = 8  # checked for unread input before one is evicted


class RequestHandler(Protocol):
    """Handles clients' requests."""

    def handle_request(
        self, request: http.Request, send_answer: Callable[[bytes, bool], None]
    ) -> Callable[[], None] | None:
        """Answer by ``send_answer(data, close)``, now or later; the result cancels the request."""

    def may_close(self, has_open_request: bool) -> bool:
        """Return whether a connection may be closed."""

    @property
    def is_draining(self) -> bool:
        """Whether connections close after their answer."""


class ClientConnection(Connection):
    """A client's connection."""

    transport: Any = None

    def __init__(self, front: Front, number: int) -> None:
        self.front, self.number = front, number
        self.reader = http.RequestReader()
        self.cancel_request: Callable[[], None] | None = None
        self.has_open_request = False  # one awaits its answer
        self.has_answered = False  # a request, before
        # When it connected, had its last answer, or sent the first byte of a request.
        self.state_since_s = front.clock.seconds()
        self.is_closing = False
        self.lingered_bytes = 0
        self.is_paused = False
        self.is_processing_scheduled = False  # further input waits for the next turn
        self.is_last_request = False  # by the client's own wish

    @property
    def state(self) -> ConnectionState:
        """State of the connection."""
        if self.is_closing:
            return ConnectionState.CLOSING
        if self.has_open_request:
            return ConnectionState.PROCESSING
        if self.reader.has_partial_request:
            return ConnectionState.READING
        return ConnectionState.KEEP_ALIVE if self.has_answered else ConnectionState.NEW

    def connectionMade(self) -> None:
        """Register with the front, which may reject the connection."""
        self.transport.setTcpNoDelay(True)
        self.front.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Read requests; input after our half-close is discarded, and its sender can tell."""
        if self.is_closing:
            self.lingered_bytes += len(data)
            if self.lingered_bytes > MAX_LINGER_BYTES:
                self.transport.abortConnection()
            return
        if self.has_answered and not self.has_open_request and self.reader.state is http.ReaderState.START:
            self.state_since_s = self.front.clock.seconds()
        self.reader.receive(data)
        self.front.on_state_changed(self)
        if self.reader.is_buffer_full and not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()
        if not self.has_open_request and not self.is_processing_scheduled:
            self._process_requests()

    def _process_requests(self) -> None:
        self.is_processing_scheduled = False
        for _ in range(MAX_REQUESTS_PER_TURN):
            if self.is_closing or self.has_open_request:
                return
            event = self.reader.next_event()
            if event is None:
                return
            if isinstance(event, http.InvalidRequest):
                self.front.bad_request_count += 1
                remedy = "the client has to send what HTTP/1.1 and the protocol's bounds allow"
                self.front.bad_request_log.warn(f"bad_request status={event.status}", event.reason, remedy)
                self.finish(http.encode_response(event.status, close=True))
                return
            self.has_open_request = True
            self.front.on_state_changed(self)
            self.is_last_request = event.closes_connection
            cancel_request = self.front.handler.handle_request(event, self._send_answer)
            # The answer may have been sent before the handler returned.
            self.cancel_request = cancel_request if self.has_open_request else None
        if (
            not self.has_open_request
            and not self.is_closing
            and self.reader.state is not http.ReaderState.REST
        ):
            # Danger: hundreds of requests at once on one connection would delay all others.
            self.is_processing_scheduled = True
            self.front.clock.callLater(0, self._process_requests)

    def _send_answer(self, data: bytes, close: bool) -> None:
        if not self.has_open_request:
            return
        self.has_open_request, self.cancel_request, self.has_answered = False, None, True
        self.state_since_s = self.front.clock.seconds()
        self.reader.on_response_sent()
        if self.is_paused:
            self.is_paused = False
            self.transport.resumeProducing()
        if close or self.is_last_request or self.front.handler.is_draining:
            self.finish(http.with_connection_close(data))
            return
        self._write(data)
        self.front.on_state_changed(self)
        if not self.is_processing_scheduled:
            self.is_processing_scheduled = True
            self.front.clock.callLater(0, self._process_requests)

    def _write(self, data: bytes) -> None:
        try:
            write_now(self.transport, data)
        except OSError:
            self.transport.abortConnection()

    def finish(self, data: bytes = b"") -> None:
        """Send the last answer, if any, half-close at once, and discard for a moment what still comes.

        Danger: a close over bytes that were not read is a reset, and destroys the answer.
        """
        if self.has_open_request and not self.front.handler.may_close(self.has_open_request):
            return
        self.is_closing = True
        self.front.on_state_changed(self)
        self.state_since_s = self.front.clock.seconds()
        if self.is_paused:
            self.is_paused = False
            self.transport.resumeProducing()
        if data:
            self._write(data)
        half_close(self.transport)

    def finish_with_status(self, status: int) -> None:
        """Send the status as the last answer."""
        self.finish(http.encode_response(status, close=True))

    def reject(self) -> None:
        """Answer 503 and release the descriptor at once: there are too many connections."""
        self.is_closing = True
        self._write(http.encode_response(503, close=True))
        close_now(self.transport)

    def close_if_quiet(self) -> None:
        """Half-close, unless unread input may be a request: it is read in the next turn, and answered.

        What comes behind the half-close is left unread. Danger: a request that is read and has no answer is
        lost; one that is reset unread is sent again by its client.
        """
        if not has_unread_bytes(self.transport):
            self.finish()
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the open request, if there is one."""
        self.front.on_closed(self)
        cancel_request, self.cancel_request = self.cancel_request, None
        if cancel_request is not None:
            cancel_request()
        self.has_open_request, self.is_closing = False, True


class Front(Factory):
    """All client connections, ``max_connections`` of them at most."""

    noisy = False

    def __init__(self, clock: Clock, handler: RequestHandler, max_connections: int) -> None:
        self.clock, self.handler, self.max_connections = clock, handler, max_connections
        self.connections: dict[int, ClientConnection] = {}
        self._eviction_queue: EvictionQueue[int, ClientConnection] = EvictionQueue()
        self.accepted_count = 0
        self.bad_request_count = 0
        self.bad_request_log = RateLimitedLog(clock.seconds)
        self.eviction_counts: dict[
            str, int
        ] = {}  # at the connection limit, by what became of which connection
        clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Create the protocol of a new connection."""
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
            evicted.is_closing = True
            close_now(evicted.transport)
        self.connections[connection.number] = connection
        self.on_state_changed(connection)

    def _choose_eviction(self) -> ClientConnection | None:
        """Return the connection to evict, ``None`` if each that may be evicted has an unread request."""
        # Danger: with a connection whose request is still unread, that request would be lost.
        candidates = self._eviction_queue.candidates(MAX_EVICTION_CANDIDATES)
        may_close = self.handler.may_close
        return next(
            (
                each
                for each in candidates
                if may_close(each.has_open_request) and not has_unread_bytes(each.transport)
            ),
            None,
        )

    def on_state_changed(self, connection: ClientConnection) -> None:
        """Keep a connection in its place among those that may be evicted."""
        if connection.number in self.connections:
            self._eviction_queue.update(
                connection.number, connection, connection.state, connection.has_answered
            )

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that is gone."""
        self.connections.pop(connection.number, None)
        self._eviction_queue.remove(connection.number)

    def drain(self) -> None:
        """Close connections between requests. Open requests are answered; new connections may send one."""
        for each in list(self.connections.values()):
            if each.state is ConnectionState.KEEP_ALIVE:
                each.close_if_quiet()
        self._apply_timeouts()

    def close_all(self) -> None:
        """Close all connections without an open request; half a request is answered 503."""
        for each in list(self.connections.values()):
            match each.state:
                case ConnectionState.KEEP_ALIVE | ConnectionState.NEW:
                    each.close_if_quiet()
                case ConnectionState.READING:
                    each.finish_with_status(503)

    @property
    def has_requests(self) -> bool:
        """Whether a request is open, or may still come on a connection that was not answered yet."""
        return any(
            each.state not in (ConnectionState.KEEP_ALIVE, ConnectionState.CLOSING)
            for each in self.connections.values()
        )

    @property
    def is_empty(self) -> bool:
        """Whether all connections are closed, and late input was discarded."""
        return not self.connections

    def _sweep(self) -> None:
        self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)  # first, whatever becomes of this one
        self._apply_timeouts()

    def _apply_timeouts(self) -> None:
        now = self.clock.seconds()
        for each in list(self.connections.values()):
            match choose_action(
                each.state, each.has_answered, now - each.state_since_s, self.handler.is_draining
            ):
                case ConnectionAction.CLOSE:
                    close_now(each.transport)
                case ConnectionAction.TIME_OUT_REQUEST:
                    each.finish_with_status(408)
                case ConnectionAction.HALF_CLOSE:
                    each.close_if_quiet()
