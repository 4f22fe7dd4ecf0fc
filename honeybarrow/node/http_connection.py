"""One connection to an endpoint, from connect to close: it carries one call at a time."""

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
