"""HTTP connection to an endpoint, carrying one call at a time."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery.outcome import AttemptOutcome, Evidence, PendingVerdict, Verdict
from honeybarrow.events import AttemptStatus
from honeybarrow.node.endpoint_list import SocketAddress
from honeybarrow.node.http_outcome import DELIVERED_STATUS, END_STATUSES, classify_response
from honeybarrow.node.response_pairing import ResponsePairing, needs_confirmation
from honeybarrow.node.sockets import write_now

if TYPE_CHECKING:
    from honeybarrow.node.http_call import HttpCall
    from honeybarrow.node.http_connection_pool import HttpConnectionPool


_THROTTLING_START = b"HTTP/1.1 429"
_END = re.compile(rb"HTTP/1\.[01] (%d|%d)" % END_STATUSES)
MAX_SURPLUS_BYTES = 16_384  # read of a surplus response, for its Retry-After


@dataclass(frozen=True, slots=True)
class UnconfirmedResponse:
    """A response that may belong to another request than that of ``message``."""

    message: str
    verdict: PendingVerdict
    read_at_us: int


def _may_become_throttling(surplus: bytes) -> bool:
    """Return whether the bytes are an incomplete 429 response, whose Retry-After has to be respected."""
    start = surplus[: len(_THROTTLING_START)]
    is_throttling = start[:7] == _THROTTLING_START[:7] and start[8:] == _THROTTLING_START[8 : len(start)]
    is_incomplete = b"\r\n\r\n" not in surplus and len(surplus) < MAX_SURPLUS_BYTES
    return is_throttling and is_incomplete


def _read_retry_after(surplus: bytes) -> int:
    """Return the Retry-After of a surplus response in microseconds; 0 without one."""
    heads = [event for event in http.ResponseReader().receive(surplus) if isinstance(event, http.Head)]
    if not heads:
        return 0
    return classify_response(heads[0].status, heads[0].fields, ()).retry_after_us


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
        self.is_close_announced = False  # the peer closes after its last response
        self.pairing: ResponsePairing[UnconfirmedResponse] = ResponsePairing()
        self._request_written_at_s = 0.0
        self._is_response_premature = False  # it began before the end of its request was written
        self._surplus = b""
        self._awaits_true_response = False  # behind an invalid one that may belong to an earlier request
        self._last_response: UnconfirmedResponse | None = None  # of the last call, if it awaits a verdict
        self._last_failed_message = ""  # whose call was the last one and may be repeated
        # Confirmed by silence alone; no later response shows that their requests were answered at all.
        self._confirmed: list[UnconfirmedResponse] = []

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
        self._request_written_at_s = self.pool.clock.seconds()
        self._is_response_premature = False
        return write_now(self.transport, data)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; called by Twisted."""
        self.pairing.record_input(self._now_us())
        if self.reader is None:
            self._on_surplus(data)
            return
        if self.call is not None and self.call.is_request_incomplete(self):
            if not self.pairing.is_next_certain:
                self._on_premature_copy(self.call, data)
                return
            self._is_response_premature = True
        for event in self.reader.receive(data):
            match event:
                case http.Head():
                    self.head = event
                    if event.status == DELIVERED_STATUS:  # even if the body is truncated or invalid
                        self.pool.await_response_rest(self)
                        self._finish_by_head(event)
                case http.Complete(reuse):
                    self._on_response_complete(reuse)
                case http.InvalidResponse():
                    self._on_invalid_response(event)
        self._finish_by_status_line()

    def _finish_by_status_line(self) -> None:
        """End the message of the call as soon as a status says that it is over.

        The rest of the response may never come, and the message must not be sent again then.
        """
        if self.call is not None and self.response_status in END_STATUSES:
            self.pool.await_response_rest(self)
            self.finish_call(self.classify_partial(AttemptStatus.RESET, ""))

    def _on_response_complete(self, can_reuse: bool) -> None:
        head, reader, self.reader = self.head, self.reader, None
        if head is not None and head.status != DELIVERED_STATUS:
            self._finish_by_head(head)
        if can_reuse and self.call is None and not self.is_closed and not self._is_response_premature:
            if self.pairing.is_failure_uncertain:
                self.pool.retire_after_hold(self)
            else:
                self.pool.add_idle(self)
        elif reader is not None and reader.has_surplus:
            self._on_surplus(reader.take_surplus())
        elif self.pairing.unconfirmed:
            self.is_close_announced = True
            self.pool.retire(self)
        else:
            self.close()

    def _on_premature_copy(self, call: HttpCall, data: bytes) -> None:
        """Handle a copy of an earlier response that arrived before the end of a request was written."""
        self.call = None
        call.finish(AttemptOutcome(AttemptStatus.CONNECT_FAILED, True, reason="response before the request"))
        self._on_surplus(data)
        self.close()

    def _on_surplus(self, data: bytes) -> None:
        """Handle bytes that belong to no request: outcomes read on this connection may be wrong."""
        if not self._surplus:
            self.pool.report_surplus(self, data)
        self._surplus += data
        if self.call is not None:  # its request has not been written yet
            self.close()
            return
        if _may_become_throttling(self._surplus):
            self.pool.await_response_rest(self)
            return
        if self._is_surplus_end():
            self.pool.report_over((*self.doubtful_messages, self._last_failed_message))
        elif self._awaits_true_response and len(self._surplus) < MAX_SURPLUS_BYTES:
            return
        retry_after_us = _read_retry_after(self._surplus)
        if retry_after_us:
            self.pool.report_retry_after(self.target, retry_after_us)
        self.close()

    def _is_surplus_end(self) -> bool:
        """Return whether a surplus response says that a message is over; which one is unknown."""
        return _END.search(self._surplus) is not None

    def confirm_by_silence(self) -> None:
        """Confirm the outcomes read on this connection if it has been silent for long enough."""
        if self._surplus or self._is_response_incomplete():
            return
        silence_us = self.pool.reuse_policy.silence_us(self.target)
        for response in self.pairing.take_confirmed(self._now_us(), silence_us):
            response.verdict.confirm()
            self._confirmed.append(response)

    def _is_response_incomplete(self) -> bool:
        """Return whether a call has its outcome by the start of a response whose rest has not come.

        A copy that is cut off is followed by the true response, so silence after it shows nothing.
        """
        return self.call is None and self.reader is not None

    @property
    def response_status(self) -> int | None:
        """Status of the response to the last request, as soon as its three digits have arrived."""
        if self.reader is not None:
            return self.reader.announced_status
        return self.head.status if self.head is not None else None

    @property
    def doubtful_messages(self) -> tuple[str, ...]:
        """Messages whose outcomes a surplus response would refute."""
        return tuple(each.message for each in (*self._confirmed, *self.pairing.unconfirmed))

    def refute_last(self) -> None:
        """Refute the last outcome because the request after it had no response.

        A server answers the requests of a connection in order. If the outcome was read from a copy, the
        server may not have answered its request either.
        """
        if self._confirmed:
            self._confirmed.pop().verdict.refute(Evidence.NO_RESPONSE)
        self._release_confirmed()

    def _release_confirmed(self) -> None:
        """Make the outcomes final that silence has confirmed."""
        for response in self._confirmed:
            response.verdict.release()
        self._confirmed.clear()

    def _settle(self, verdict: Verdict) -> None:
        """Give a verdict, at the end of the connection, on all outcomes that silence has not confirmed."""
        if self._surplus:
            evidence = Evidence.ENDED_RESPONSE if self._is_surplus_end() else Evidence.SURPLUS_RESPONSE
            doubtful, self._confirmed = [*self._confirmed, *self.pairing.take_unconfirmed()], []
            for response in doubtful:
                response.verdict.refute(evidence)
            return
        # Only a copy in the last response time can have left a true response outstanding, unless each request
        # since was written before the true response to the one before it.
        recent_us = self._now_us() - self.pool.reuse_policy.silence_before_end_us(self.target)
        responses = self.pairing.take_unconfirmed()
        if self._last_response in responses and self._is_response_incomplete():
            responses.pop().verdict.refute(Evidence.CUT_RESPONSE)
        for response in responses:
            if verdict is Verdict.REFUTED and response.read_at_us > recent_us:
                response.verdict.refute(Evidence.CONNECTION_END)
            else:
                response.verdict.confirm()
        self._confirmed += responses
        self._release_confirmed()

    def _now_us(self) -> int:
        return int(self.pool.clock.seconds() * 1e6)

    def _on_invalid_response(self, event: http.InvalidResponse) -> None:
        remedy = "tell the target's owner: its responses are not valid HTTP/1.1 within the protocol's limits"
        self.pool.rate_limited_log.warn("invalid_response", f"{self.target}: {event.reason}", remedy)
        reason = f"invalid response: {event.reason}"
        is_uncertain = self.call is not None and not self.pairing.is_next_certain
        outcome = self.classify_partial(AttemptStatus.RESET, reason)
        self.finish_call(outcome)
        if is_uncertain and not outcome.is_over and outcome.status is not AttemptStatus.OK:
            # It may be the response to an earlier request. That of the call follows, and may end its message.
            self._awaits_true_response = True
            self.pool.retire_after_hold(self)
        else:
            self.close()

    def classify_partial(self, status: AttemptStatus, reason: str) -> AttemptOutcome:
        """Return the outcome of a response of which only a part has arrived.

        A status that ends the message is sufficient, and so is a status line that says that it is delivered.
        All others are ambiguous, with ``status`` and ``reason``; their Retry-After holds if the head arrived.
        """
        response_status = self.response_status
        if self.reader is not None and self.reader.status == DELIVERED_STATUS:
            return AttemptOutcome(AttemptStatus.OK)
        rejected_end = _END.search(self.reader.rejected) if self.reader is not None else None
        if rejected_end is not None:  # a copy that is cut off, and the true response behind it
            response_status = int(rejected_end[1])
            return replace(classify_response(response_status, {}, ()), owes_notification=True)
        head = self.head or http.Head(response_status or 0, {})
        outcome = classify_response(head.status, head.fields, ())
        if response_status in END_STATUSES:
            return replace(outcome, owes_notification=True)
        return AttemptOutcome(status, retry_after_us=outcome.retry_after_us, reason=reason)

    def _finish_by_head(self, head: http.Head) -> None:
        self.finish_call(classify_response(head.status, head.fields, self.pool.load_report_fields))

    def finish_call(self, outcome: AttemptOutcome) -> None:
        """Finish the current call, if any, with the outcome of a response."""
        call, self.call = self.call, None
        if call is not None:
            call.record_reuse_result(is_lost=False)
            call.finish(self._pair(call, outcome))

    def _pair(self, call: HttpCall, outcome: AttemptOutcome) -> AttemptOutcome:
        """Record the response to a call; return its outcome, with a verdict to come if it is uncertain."""
        now_us = self._now_us()
        self._release_confirmed()
        self.pool.reuse_policy.record_response_time(
            self.target, now_us - int(self._request_written_at_s * 1e6)
        )
        is_final = outcome.status is AttemptStatus.OK or outcome.is_over
        self._last_failed_message = "" if is_final else call.payload.message
        if outcome.is_over:
            for earlier in self.pairing.take_unconfirmed():
                earlier.verdict.refute(Evidence.ENDED_RESPONSE)
        if not self.pairing.is_next_certain and outcome.is_over:
            outcome = replace(outcome, owes_notification=True)
        elif not self.pairing.is_next_certain and not is_final:
            outcome = replace(outcome, retry_hold_us=self.pool.reuse_policy.retry_hold_us(self.target))
        if self.pairing.is_next_certain or not needs_confirmation(outcome, call.payload.idempotency):
            self.pairing.record_response(now_us, None, is_final)
            self._last_response = None
            return outcome
        response = self._last_response = UnconfirmedResponse(call.payload.message, PendingVerdict(), now_us)
        self.pairing.record_response(now_us, response, is_final)
        self.pool.await_verdict(self)
        return replace(outcome, verdict=response.verdict)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish the current call after a loss or a failed connect; called by Twisted."""
        self.is_closed = True
        self.pool.remove(self)
        events = self.reader.on_connection_closed() if self.reader is not None else []
        head = self.head
        for event in events:
            if isinstance(event, http.Complete) and head is not None:
                self._finish_by_head(head)
            elif isinstance(event, http.InvalidResponse) and event.status == DELIVERED_STATUS:
                self.finish_call(AttemptOutcome(AttemptStatus.OK))
        call, self.call = self.call, None
        if call is not None:
            call.on_connection_lost(self, reason)
        # A peer that ends the connection as announced has sent all its responses.
        is_complete = self.is_close_announced and isinstance(reason.value, ConnectionDone)
        self._settle(Verdict.CONFIRMED if is_complete else Verdict.REFUTED)

    def close(self, verdict: Verdict = Verdict.REFUTED) -> None:
        """Abort the connection, discard unread input, and give a verdict on unconfirmed outcomes."""
        self.is_closed = True
        self.pool.remove(self)
        self._settle(verdict)
        if self.transport is not None:
            self.transport.abortConnection()
