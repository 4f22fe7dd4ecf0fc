"""A connection from a client: reads requests, passes them to the handler and sends the responses in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.protocol import Protocol as Connection
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.node.descriptor_budget import ConnectionState
from honeybarrow.node.memory_budget import MAX_READ_BYTES
from honeybarrow.node.sockets import (
    PeerState,
    close_now,
    discard_unread_bytes,
    half_close,
    has_unread_bytes,
    has_unwritten_bytes,
    read_peer_state,
    write_now,
)

if TYPE_CHECKING:
    from honeybarrow.node.front import Front

MAX_LINGER_BYTES = 1 << 18  # input discarded after the half-close
BAD_REQUEST_REMEDY = "correct the client: its requests must be valid HTTP/1.1 within the protocol's limits"


class RequestHandler(Protocol):
    """Handler of clients' requests."""

    def handle_request(
        self, request: http.Request, send_response: Callable[[bytes, bool], None], is_pipelined: bool
    ) -> Callable[[], None] | None:
        """Respond to a request with ``send_response(data, close)``, immediately or later.

        ``is_pipelined`` marks a request that was sent before the response to the one before it. Return a
        function that cancels the request, or ``None`` if it can't be cancelled.
        """

    def may_close(self, has_open_request: bool) -> bool:
        """Return whether a connection may be closed."""

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their current response."""


class ClientConnection(Connection):
    """A connection from a client."""

    transport: Any = None

    def __init__(self, front: Front, number: int) -> None:
        self.front, self.number = front, number
        self.reader = http.RequestReader()
        self.cancel_request: Callable[[], None] | None = None
        self.has_open_request = False  # a request is being processed
        self.has_answered = False  # at least one request was answered
        # Time of the connect, of the last response, or of the first byte of a request.
        self.state_since_s = front.clock.seconds()
        self.is_closing = False
        self.lingered_bytes = 0
        self.is_paused = False
        self.has_unread_response = False  # the client has not read all responses
        self.is_last_request = False  # the client asked to close the connection

    @property
    def state(self) -> ConnectionState:
        """Current state of the connection."""
        if self.is_closing:
            return ConnectionState.CLOSING
        if self.has_unread_response:
            return ConnectionState.UNREAD
        if self.has_open_request or self.front.turns.is_queued(self):
            return ConnectionState.PROCESSING
        if self.reader.has_partial_request:
            return ConnectionState.READING
        return ConnectionState.KEEP_ALIVE if self.has_answered else ConnectionState.NEW

    @property
    def waits_for_memory(self) -> bool:
        """Whether an incomplete request is not read any further."""
        return self.is_paused and self.state is ConnectionState.READING

    @property
    def is_abandoned(self) -> bool:
        """Whether the client has left in the middle of a request that waits for memory."""
        return self.waits_for_memory and self._peer_state() in (PeerState.ENDED, PeerState.GONE)

    def _peer_state(self) -> PeerState:
        return read_peer_state(self.transport) if self.front.knows_peer_states else PeerState.UNKNOWN

    def connectionMade(self) -> None:
        """Register with the front, which may reject the connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self.front.input_budget.allowance_bytes
        if not self.front.knows_peer_states:
            self.front.knows_peer_states = read_peer_state(self.transport) is PeerState.OPEN
        self.front.on_connected(self)

    # input

    def dataReceived(self, data: bytes) -> None:
        """Read requests; input after the half-close is discarded, and gets no response before the close."""
        if self.is_closing:
            self.lingered_bytes += len(data)
            if self.lingered_bytes > MAX_LINGER_BYTES:
                self.transport.abortConnection()
            return
        if self.has_answered and not self.has_open_request and self.reader.state is http.ReaderState.START:
            self.state_since_s = self.front.clock.seconds()
        self.reader.receive(data)
        is_waiting = self.has_open_request or self.has_unread_response or self.front.turns.is_queued(self)
        if not is_waiting:
            self.front.turns.process(self)
        self.update_reading()
        self.front.on_state_changed(self)

    def update_reading(self) -> None:
        """Read on if there is memory for what may arrive and the client reads its responses."""
        if self.is_closing:
            return
        held_bytes = self.reader.buffered_bytes
        wanted_bytes = 0 if self.has_unread_response else self._wanted_bytes(held_bytes)
        granted_bytes = self.front.reserve_input(self, held_bytes, wanted_bytes)
        if granted_bytes:
            self.transport.bufferSize = granted_bytes
            self._resume()
        elif not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def _wanted_bytes(self, held_bytes: int) -> int:
        """Return how much input would be useful: the rest of a request, or some of the next one."""
        is_request_begun = (
            held_bytes > 0 and not self.has_open_request and not self.front.turns.is_queued(self)
        )
        if is_request_begun:
            return self.reader.missing_bytes
        return max(0, self.front.input_budget.allowance_bytes - held_bytes)

    def _resume(self) -> None:
        if self.is_paused:
            self.is_paused = False
            self.transport.resumeProducing()

    def process_request(self, is_pipelined: bool = False) -> bool:
        """Process one request of the buffered input; return whether there was a complete one."""
        if self.is_closing or self.has_open_request:
            return False
        event = self.reader.next_event()
        if isinstance(event, http.Request) and self._has_client_left(is_pipelined):
            self.front.count_close("client_left")
            self.finish()
        elif isinstance(event, http.InvalidRequest):
            self.front.on_bad_request(event)
            self.finish(http.encode_response(event.status, close=True))
        elif event is not None:
            self._handle(event, is_pipelined)
        self.update_reading()
        self.front.on_state_changed(self)
        return event is not None

    def _has_client_left(self, is_pipelined: bool) -> bool:
        """Return whether nobody waits for the response to a request, which may have waited to be read.

        A client that has only ended its sending still gets the response to a request that is its only one.
        """
        state = self._peer_state()
        return state is PeerState.GONE or (is_pipelined and state is PeerState.ENDED)

    def _handle(self, request: http.Request, is_pipelined: bool) -> None:
        self.has_open_request = True
        self.is_last_request = request.closes_connection
        cancel_request = self.front.handler.handle_request(request, self._send_response, is_pipelined)
        # The handler may have responded before it returned.
        self.cancel_request = cancel_request if self.has_open_request else None

    # responses

    def _send_response(self, data: bytes, close: bool) -> None:
        if not self.has_open_request:
            return
        self.has_open_request, self.cancel_request, self.has_answered = False, None, True
        self.state_since_s = self.front.clock.seconds()
        self.reader.on_response_sent()
        if close or self.is_last_request or self.front.handler.is_draining:
            self.finish(http.with_connection_close(data))
            return
        self._write(data)
        if self.is_closing:
            return
        if has_unwritten_bytes(self.transport):
            self._await_reading_client()
        elif self.reader.has_partial_request:
            self.front.turns.process_pipelined(self)
        self.update_reading()
        self.front.on_state_changed(self)

    def _await_reading_client(self) -> None:
        """Process and read nothing until the client has read its responses."""
        self.has_unread_response = True
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Go on once all responses are written; called by the transport as that of a pull producer."""
        if self.has_unread_response and not has_unwritten_bytes(self.transport):
            self.has_unread_response = False
            self.state_since_s = self.front.clock.seconds()
            self.transport.unregisterProducer()
            if self.reader.has_partial_request:
                self.front.turns.process_pipelined(self)
            self.update_reading()
            self.front.on_state_changed(self)

    def stopProducing(self) -> None:
        """Do nothing; called by the transport when the connection is lost."""

    def _write(self, data: bytes) -> None:
        try:
            write_now(self.transport, data)
        except OSError:
            self.transport.abortConnection()

    # end

    def finish(self, data: bytes = b"") -> None:
        """Send the last response, if any, half-close, and discard further input for a short time.

        Closing a socket with unread input would send a reset, and the client could lose the response.
        """
        if self.has_open_request and not self.front.handler.may_close(self.has_open_request):
            return
        self._begin_closing()
        self.front.on_state_changed(self)
        self.state_since_s = self.front.clock.seconds()
        self.transport.bufferSize = MAX_READ_BYTES
        self._resume()
        if data:
            self._write(data)
        half_close(self.transport)

    def _begin_closing(self) -> None:
        """Give up all buffered input."""
        self.is_closing = True
        self.reader.discard()
        self.front.release_input(self)
        if self.has_unread_response:
            self.has_unread_response = False
            self.transport.unregisterProducer()

    def finish_with_status(self, status: int) -> None:
        """Send a response with the status as the last one."""
        self.finish(http.encode_response(status, close=True))

    def reject(self) -> None:
        """Respond with 503 and close immediately, because there are too many connections."""
        self._begin_closing()
        self._write(http.encode_response(503, close=True))
        close_now(self.transport)

    def close_evicted(self) -> None:
        """Close immediately for another connection; a request that waits for memory is answered with 503."""
        if self.waits_for_memory:
            discard_unread_bytes(self.transport, MAX_LINGER_BYTES)
            self.reject()
            return
        self._begin_closing()
        close_now(self.transport)

    def close_if_idle(self) -> None:
        """Half-close, unless there is unread input, which is read in the next turn and may be a request.

        Input after the half-close is not read: a client sends a request again after a reset, but a request
        that was read without a response would be lost.
        """
        if not has_unread_bytes(self.transport):
            self.finish()
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the open request, if any."""
        cancel_request, self.cancel_request = self.cancel_request, None
        self.has_open_request, self.has_unread_response, self.is_closing = False, False, True
        self.reader.discard()
        self.front.on_closed(self)
        if cancel_request is not None:
            cancel_request()
