"""HTTP connection to an endpoint, carrying one call at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.node.endpoint_list import SocketAddress
from honeybarrow.node.http_outcome import classify_response
from honeybarrow.node.sockets import write_now

if TYPE_CHECKING:
    from honeybarrow.node.http_call import HttpCall
    from honeybarrow.node.http_connection_pool import HttpConnectionPool


class HttpConnection(Protocol):
    """Client connection to a target, from connect to close."""

    transport: Any = None

    def __init__(self, pool: HttpConnectionPool, target: str, address: SocketAddress) -> None:
        self.pool, self.target, self.address = pool, target, address
        self.number = pool.connects_started  # unique in the process
        self.requests = 0
        self.connected_at_s = pool.clock.seconds()
        self.call: HttpCall | None = None
        self.reader: http.ResponseReader | None = None
        self.head: http.Head | None = None
        self.waiting_since_s = 0.0  # time at which it became idle or began to await the rest of a body
        self.is_closed = False

    def connectionMade(self) -> None:
        """Start the pending call; called by Twisted."""
        self.transport.setTcpNoDelay(True)
        if self.call is None:  # the call ended during the connect
            self.close()
        else:
            self.call.on_connection_ready(self)

    def send_request(self, data: bytes) -> bool:
        """Write a request; return whether all of it was handed to the operating system."""
        self.reader, self.head = http.ResponseReader(http.MAX_BODY_BYTES), None
        self.requests += 1
        return write_now(self.transport, data)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; called by Twisted."""
        if self.reader is None:  # unsolicited data would be taken for the next call's response
            self._on_surplus(data)
            return
        for event in self.reader.receive(data):
            match event:
                case http.Head():
                    self.head = event
                    if event.status == 200:  # delivered, even if the body is truncated or invalid
                        self.pool.await_response_rest(self)
                        self._finish_by_head(event)
                case http.Complete(reuse):
                    self._on_response_complete(reuse)
                case http.InvalidResponse():
                    self._on_invalid_response(event)
                    self.close()

    def _on_response_complete(self, can_reuse: bool) -> None:
        head, reader, self.reader = self.head, self.reader, None
        if head is not None and head.status != 200:
            self._finish_by_head(head)
        if can_reuse and self.call is None and not self.is_closed:
            self.pool.add_idle(self)
            return
        if reader is not None and reader.has_surplus:
            self._on_surplus(reader.take_surplus())
        self.close()

    def _on_surplus(self, data: bytes) -> None:
        """Report bytes that belong to no request, and close the connection."""
        self.pool.report_surplus(self, data)
        self.close()

    def _on_invalid_response(self, event: http.InvalidResponse) -> None:
        remedy = "tell the target's owner: its responses are not valid HTTP/1.1 within the protocol's limits"
        self.pool.rate_limited_log.warn("invalid_response", f"{self.target}: {event.reason}", remedy)
        if event.status == 200:
            self.finish_call(AttemptOutcome(AttemptStatus.OK))
        else:
            self.finish_call(self.classify_partial(AttemptStatus.RESET, f"invalid response: {event.reason}"))

    def classify_partial(self, status: AttemptStatus, reason: str) -> AttemptOutcome:
        """Return the ambiguous outcome of a truncated response, with its Retry-After if the head arrived."""
        head = self.head
        wait_us = classify_response(head.status, head.fields, ()).retry_after_us if head is not None else 0
        return AttemptOutcome(status, retry_after_us=wait_us, reason=reason)

    def _finish_by_head(self, head: http.Head) -> None:
        self.finish_call(classify_response(head.status, head.fields, self.pool.load_report_fields))

    def finish_call(self, outcome: AttemptOutcome) -> None:
        """Finish the current call, if any, with the outcome of a response."""
        call, self.call = self.call, None
        if call is not None:
            call.record_reuse_result(is_lost=False)
            call.finish(outcome)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish the current call after a loss or a failed connect; called by Twisted."""
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
        """Abort the connection and discard any unread input."""
        self.is_closed = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abortConnection()
