"""Delivery of final results to the platform, in batches that are retried until acknowledged.

Each batch has a connection of its own: on a reused one, a copy of the response to an earlier batch would be
taken for the acknowledgement of the next.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery import Connector
from honeybarrow.node.sockets import write_now
from honeybarrow.ports import Clock, DelayedCall, Network
from honeybarrow.recovery import FinalResult

MAX_BATCH_SIZE = 200  # notifications in one request
# Doubled from the first value up to the second. A notification must arrive within 0.3 s of its message's
# deadline, so an unresponsive connection is replaced early.
MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S = 0.2, 1.0
NOTIFIABLE_CHECK_INTERVAL_S = 0.05  # between checks for notifications whose results are not on disk yet
CONNECT_TIMEOUT_S = 3.0  # after the response timeout, another connection is tried at the same time
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # exponential backoff after a failure
MAX_QUICK_CONNECTS = 20  # consecutive failed connects that are retried after the minimum delay
MAX_LATE_CONNECTIONS = 3  # connections kept open for a late response
ACKNOWLEDGED_STATUS = 204
log = logging.getLogger("honeybarrow.node")


def encode_notification(result: FinalResult) -> str:
    """Return the JSON line of a notification; a returned message has the delay before its resubmission."""
    line: dict[str, str | int] = {"message": result.message}
    line["outcome"] = "handed_back" if result.is_returned else "given_up"
    if result.is_returned and result.retry_after_ms > 0:
        line["retry_in_ms"] = result.retry_after_ms
    return json.dumps(line, separators=(",", ":"))


class _NotificationConnection(Protocol):
    """Connection to the platform that carries one batch."""

    transport: Any = None

    def __init__(self, sender: NotificationSender, host: str) -> None:
        self.sender, self.host = sender, host
        self.reader: http.ResponseReader | None = None
        self.batch: list[str] = []
        self.is_abandoned = False

    def connectionMade(self) -> None:
        """Write the batch for which the connection was opened."""
        if self.is_abandoned:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.write_batch()

    def write_batch(self) -> None:
        """Write one request with the unacknowledged notifications of the batch.

        The write is immediate, because a long reactor iteration could delay it past a deadline.
        """
        self.reader = http.ResponseReader(1 << 16)
        lines = self.sender.unacknowledged
        body = "".join(lines[message] + "\n" for message in self.batch if message in lines).encode()
        fields = f"Host: {self.host}\r\nContent-Length: {len(body)}\r\n"
        try:
            write_now(self.transport, http.encode_request("POST", "/reports", fields, body))
        except OSError:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse the response to a batch."""
        reader = self.reader
        for event in reader.receive(data) if reader is not None else ():
            match event:
                case http.Complete():
                    self.reader = None
                    status = reader.status if reader is not None else None
                    self.sender.on_response(self, status or 0)
                case http.InvalidResponse(status):
                    self.reader = None
                    self.sender.on_response(self, status or 0)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the loss of the connection to the sender."""
        self.sender.on_connection_lost(self)


class NotificationSender:
    """Sends notifications in order until the platform acknowledges them.

    ``select_notifiable`` returns those of the given messages whose results are on disk. ``on_acknowledged``
    receives the messages whose notifications were acknowledged.
    """

    def __init__(
        self,
        network: Network,
        clock: Clock,
        address: tuple[str, int],
        select_notifiable: Callable[[Iterable[str]], list[str]],
        on_acknowledged: Callable[[list[str]], None],
    ) -> None:
        self.network, self.clock, self.address = network, clock, address
        self._select_notifiable, self._on_acknowledged = select_notifiable, on_acknowledged
        self.unacknowledged: dict[str, str] = {}  # JSON lines by message id
        self._active: _NotificationConnection | None = None
        # Timed out and sent again on another connection; a late acknowledgement still counts.
        self._late: list[_NotificationConnection] = []
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._failed_connects = 0  # since the last acknowledgement
        self._response_timeout_s = MIN_RESPONSE_TIMEOUT_S
        self._timer: DelayedCall | None = None
        self._is_flushable = False  # the timer waits only for the end of the current reactor iteration

    def add(self, result: FinalResult) -> None:
        """Queue the notification of a final result, to be sent by :meth:`flush` or the next iteration."""
        self.unacknowledged[result.message] = encode_notification(result)
        if self._active is None and self._timer is None:
            self._timer = self.clock.callLater(0, self._send_batch)
            self._is_flushable = True

    def flush(self) -> None:
        """Send the notifications added in this reactor iteration, unless a batch is in flight."""
        if self._is_flushable:
            self._clear_timer()
            self._send_batch()

    def change_address(self, address: tuple[str, int]) -> None:
        """Send all unacknowledged and future notifications to another address."""
        if address == self.address:
            return
        self.address = address
        for connection in (self._active, *self._late):
            if connection is not None:
                _abort(connection)
        self._active, self._late = None, []
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._clear_timer()
        self._send_batch()

    def _clear_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _send_batch(self) -> None:
        self._is_flushable = False
        self._timer = None
        if self._active is not None or not self.unacknowledged:
            return
        batch = self._select_notifiable(self.unacknowledged)[:MAX_BATCH_SIZE]
        if not batch:
            self._timer = self.clock.callLater(NOTIFIABLE_CHECK_INTERVAL_S, self._send_batch)
            return
        self._active = connection = _NotificationConnection(self, self.address[0])
        connection.batch = batch
        self._timer = self.clock.callLater(self._response_timeout_s, self._on_response_timeout, connection)
        self.network.connectTCP(*self.address, Connector(connection), timeout=CONNECT_TIMEOUT_S)

    def on_response(self, connection: _NotificationConnection, status: int) -> None:
        """Handle the response to a batch."""
        if connection in self._late:
            self._late.remove(connection)
            _abort(connection)
            if status == ACKNOWLEDGED_STATUS:
                self._acknowledge(connection.batch)
            return
        if connection is not self._active:
            return
        self._clear_timer()
        self._active = None
        if status != ACKNOWLEDGED_STATUS:
            log.warning("notification_rejected status=%d expected=%d", status, ACKNOWLEDGED_STATUS)
            connection.transport.abortConnection()
            self._schedule_retry("rejected", connection.batch)
            return
        self._acknowledge(connection.batch)
        self._retry_delay_s, self._response_timeout_s = MIN_RETRY_DELAY_S, MIN_RESPONSE_TIMEOUT_S
        self._failed_connects = 0
        connection.transport.loseConnection()
        self._send_batch()

    def _acknowledge(self, batch: list[str]) -> None:
        acknowledged = [message for message in batch if self.unacknowledged.pop(message, None) is not None]
        if acknowledged:
            self._on_acknowledged(acknowledged)

    def on_connection_lost(self, connection: _NotificationConnection) -> None:
        """Handle the loss of a connection."""
        if connection in self._late:
            self._late.remove(connection)
        if connection is self._active:
            self._active = None
            self._clear_timer()
            if connection.transport is None and self._failed_connects < MAX_QUICK_CONNECTS:
                # A refused connect costs the platform little, while a longer backoff could delay a
                # notification past its deadline.
                self._failed_connects += 1
                self._retry_delay_s = MIN_RETRY_DELAY_S
            self._schedule_retry("connection_lost", connection.batch)

    def _on_response_timeout(self, connection: _NotificationConnection) -> None:
        self._timer = None
        if connection is self._active:
            self._active = None
            self._late.append(connection)
            if len(self._late) > MAX_LATE_CONNECTIONS:
                _abort(self._late.pop(0))
            self._response_timeout_s = min(MAX_RESPONSE_TIMEOUT_S, self._response_timeout_s * 2)
            self._schedule_retry("no_answer", connection.batch)

    def _schedule_retry(self, reason: str, batch: list[str]) -> None:
        if self.unacknowledged:
            log.info(
                "notification_retried reason=%s first_id=%s batch=%d pending=%d retry_in_ms=%d",
                reason, batch[0] if batch else None, len(batch), len(self.unacknowledged),
                self._retry_delay_s * 1000,
            )  # fmt: skip
            self._timer = self.clock.callLater(self._retry_delay_s, self._send_batch)
            self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)


def _abort(connection: _NotificationConnection) -> None:
    """Abort a connection, or mark it to be aborted once it is established."""
    connection.is_abandoned = True
    if connection.transport is not None:
        connection.transport.abortConnection()
