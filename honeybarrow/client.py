"""A client library that submits messages over SMTP or LMTP and returns one final result for each.

    client = Client(reactor, "127.0.0.1", 2525)
    result = yield client.submit("me@here.example", "settlement-pay@chain-1.example", content)
    match result:
        case Delivered(): ...
        case Refused(retry_after_s): ...  # not delivered; safe to submit again after retry_after_s
        case Failed(): ...  # may have taken effect; the partner drops a repeat within retry_within_s

``content`` is a message with CRLF line endings (RFC 5322). Give it a Message-ID or pass ``envelope_id``: the
service uses it to recognize a message that is submitted again after a lost connection, so the message is not
sent twice and its result is not lost. Connection errors never fail the Deferred of :meth:`Client.submit`: an
unknown result is ``Failed(is_result_lost=True)``, and a message that was never submitted is ``Refused``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import mail
from honeybarrow.ports import DelayedCall, Reactor


@dataclass(frozen=True, slots=True)
class Delivered:
    """The partner has accepted the message."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The message was not delivered and is safe to submit again.

    ``retry_after_s`` is the time in seconds to wait before that; 0 if the service gave none.
    """

    retry_after_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The message failed. Unless ``is_permanent`` is set, it may have taken effect.

    Attributes:
        reason: the text of the reply, or of the connection error.
        retry_within_s: the time in seconds during which the partner still drops a repeat of the message.
        is_permanent: the message was rejected, and a retry can't succeed.
        is_result_lost: the connection was lost or the result timed out; submitting the same message again
            with the same id returns its result.
    """

    reason: str = ""
    retry_within_s: float = 0.0
    is_permanent: bool = False
    is_result_lost: bool = False


FinalResult = Delivered | Refused | Failed


def result_from_reply(reply: mail.Reply, phase: mail.Phase = mail.Phase.FINAL) -> FinalResult:
    """Return the result that a reply of the service stands for (``docs/mail.md``).

    ``phase`` is what the reply answers: the end of the message data or a command before it.
    """
    is_final = phase is mail.Phase.FINAL
    if 200 <= reply.code < 300 and is_final:
        return Delivered()
    if mail.is_closing_notice(reply, phase):
        return Failed(reply.text, is_result_lost=True)
    if 400 <= reply.code < 500:
        return Refused(reply.wait_ms / 1000, reply.text)
    return Failed(
        reply.text, reply.duplicate_window_ms / 1000, is_permanent=reply.is_permanent or not is_final
    )


@dataclass(slots=True, eq=False)
class _Transaction:
    """A mail transaction: a message to one recipient, or over LMTP to several."""

    sender: mail.Path
    recipients: list[mail.Path]
    content: bytes
    by_s: int | None
    envelope_id: str
    results: list[Deferred[FinalResult]]
    timeout_s: float
    timer: DelayedCall | None = None
    attempts: int = 0

    @property
    def is_completed(self) -> bool:
        """Return whether every recipient has its result."""
        return all(result.called for result in self.results)

    def complete(self, index: int, result: FinalResult) -> None:
        """Set the result of one recipient unless it has one."""
        if not self.results[index].called:
            self.results[index].callback(result)

    def complete_all(self, result: FinalResult) -> None:
        """Set the result of all recipients that have none, and cancel the timeout."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for index in range(len(self.results)):
            self.complete(index, result)


class _Connection(Protocol):
    """A connection to the front, which carries one transaction at a time."""

    transport: Any = None

    def __init__(self, client: Client) -> None:
        self.client = client
        self.session = mail.ClientSession(client.name, client.lmtp)
        self.transaction: _Transaction | None = None
        self.is_ready = False

    def dataReceived(self, data: bytes) -> None:
        for event in self.session.receive(data):
            match event:
                case mail.Ready():
                    self.is_ready = True
                    self.client.on_connection_idle(self)
                case mail.RecipientAnswered(reply, phase, index, is_last):
                    self._on_reply(reply, phase, index, is_last)
                case mail.ResetDone():
                    self.client.on_connection_idle(self)
                case mail.SessionRefused(reply):
                    self._end_transaction(result_from_reply(reply, mail.Phase.GREETING))
                case mail.ServerClosing() | mail.ProtocolViolation():
                    self.transport.abortConnection()
        self.flush()

    def _on_reply(self, reply: mail.Reply, phase: mail.Phase, index: int, is_last: bool) -> None:
        """Complete one recipient, and with the last reply the transaction."""
        transaction = self.transaction
        if transaction is None:
            return
        transaction.complete(index, result_from_reply(reply, phase))
        if is_last:
            self._end_transaction(Failed("no reply for this recipient"))
            if self.session.phase is mail.Phase.IDLE:
                self.client.on_connection_idle(self)

    def _end_transaction(self, remaining_result: FinalResult) -> None:
        """Detach the transaction and complete its remaining recipients with a result."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.complete_all(remaining_result)

    def start_transaction(self, transaction: _Transaction) -> None:
        """Send a transaction."""
        self.transaction = transaction
        transaction.attempts += 1
        self.session.send_many(
            transaction.sender,
            transaction.recipients,
            transaction.content,
            transaction.by_s,
            transaction.envelope_id,
        )
        self.flush()

    def flush(self) -> None:
        """Write the output of the session to the transport."""
        if (output := self.session.take_output()) and self.transport is not None:
            self.transport.write(output)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.client.on_connection_lost(self, reason.getErrorMessage())


class _Factory(ClientFactory):
    """Creates the protocol of one connection and reports a failed connect to the client."""

    noisy = False

    def __init__(self, connection: _Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> _Connection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.client.on_connection_lost(self.connection, reason.getErrorMessage())


@dataclass(slots=True)
class ClientLimits:
    """The limits of a client: concurrent connections, messages waiting for one, and timeouts in seconds."""

    max_connections: int = 20
    max_waiting: int = 10_000
    timeout_s: float = 60.0
    connect_timeout_s: float = 5.0


@dataclass(slots=True, eq=False)
class Client:
    """Submits messages to one front over persistent connections."""

    reactor: Reactor
    host: str
    port: int
    lmtp: bool = False
    name: str = "client.invalid"
    limits: ClientLimits = field(default_factory=ClientLimits)
    _connections: list[_Connection] = field(default_factory=list)
    _idle_connections: list[_Connection] = field(default_factory=list)
    _queue: deque[_Transaction] = field(default_factory=deque)
    _is_closing: bool = False

    def submit(
        self,
        sender: str,
        recipient: str,
        content: bytes,
        by_s: int | None = None,
        envelope_id: str = "",
        timeout_s: float | None = None,
    ) -> Deferred[FinalResult]:
        """Submit one message and return a Deferred of its result.

        Args:
            sender: the address of the sender; empty for none.
            recipient: the address of the recipient.
            content: the message with CRLF line endings.
            by_s: the time to deliver in, in whole seconds (RFC 2852).
            envelope_id: an id that stays the same when the message is submitted again.
            timeout_s: the time to wait for the result in seconds; by default that of the limits.

        Raises ``ValueError`` for an invalid address.
        """
        return self._submit(sender, [recipient], content, by_s, envelope_id, timeout_s)[0]

    def submit_batch(
        self,
        sender: str,
        recipients: Sequence[str],
        content: bytes,
        by_s: int | None = None,
        envelope_id: str = "",
    ) -> Deferred[list[FinalResult]]:
        """Submit one message to several recipients and return their results in the same order.

        LMTP uses a single transaction, SMTP one transaction for each recipient. Raises ``ValueError`` for an
        invalid address.
        """
        if self.lmtp:
            return gatherResults(self._submit(sender, list(recipients), content, by_s, envelope_id, None))
        return gatherResults(
            [self.submit(sender, recipient, content, by_s, envelope_id) for recipient in recipients]
        )

    def close(self) -> None:
        """Close idle connections; the others close once their transactions have results."""
        self._is_closing = True
        for connection in list(self._idle_connections):
            self._idle_connections.remove(connection)
            connection.session.quit()
            connection.flush()
            connection.transport.loseConnection()

    def _submit(
        self,
        sender: str,
        recipients: list[str],
        content: bytes,
        by_s: int | None,
        envelope_id: str,
        timeout_s: float | None,
    ) -> list[Deferred[FinalResult]]:
        paths = [mail.read_address(recipient) for recipient in recipients]
        results: list[Deferred[FinalResult]] = [Deferred() for _ in paths]
        timeout = self.limits.timeout_s if timeout_s is None else timeout_s
        transaction = _Transaction(
            mail.read_address(sender), paths, content, by_s, envelope_id, results, timeout
        )
        if len(self._queue) >= self.limits.max_waiting or self._is_closing:
            transaction.complete_all(
                Refused(0.0, "closing" if self._is_closing else "too many messages are waiting")
            )
            return results
        transaction.timer = self.reactor.callLater(timeout, self._on_result_timeout, transaction)
        self._queue.append(transaction)
        self._assign_transactions()
        return results

    def _assign_transactions(self) -> None:
        """Start queued transactions on idle connections, and open connections for the others."""
        while self._queue and self._idle_connections:
            connection = self._idle_connections.pop()
            transaction = self._queue.popleft()
            if transaction.is_completed:
                self._idle_connections.append(connection)
                continue
            connection.start_transaction(transaction)
        connecting_count = sum(not connection.is_ready for connection in self._connections)
        if len(self._queue) > connecting_count and len(self._connections) < self.limits.max_connections:
            connection = _Connection(self)
            self._connections.append(connection)
            timeout = self.limits.connect_timeout_s
            self.reactor.connectTCP(self.host, self.port, _Factory(connection), timeout=timeout)
            self._assign_transactions()

    def on_connection_idle(self, connection: _Connection) -> None:
        """Use a connection that is ready for the next transaction."""
        if connection not in self._idle_connections:
            self._idle_connections.append(connection)
        self._assign_transactions()
        if self._is_closing and connection in self._idle_connections:
            self.close()

    def on_connection_lost(self, connection: _Connection, reason: str) -> None:
        """Complete the transaction of a closed connection: its result is lost, or it was never submitted."""
        if connection in self._connections:
            self._connections.remove(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        transaction, connection.transaction = connection.transaction, None
        if transaction is not None:
            is_committed = connection.session.is_committed
            transaction.complete_all(
                Failed(reason, is_result_lost=True) if is_committed else Refused(0.0, reason)
            )
        elif not connection.is_ready and self._queue and not self._connections:
            # The front can't be reached: waiting messages are refused without waiting for their timeouts.
            while self._queue:
                self._queue.popleft().complete_all(Refused(0.0, reason))
        self._assign_transactions()

    def _on_result_timeout(self, transaction: _Transaction) -> None:
        """Complete a transaction that has timed out, and close its connection if it has one."""
        for connection in self._connections:
            if connection.transaction is transaction:
                connection.transaction = None
                is_committed = connection.session.is_committed
                connection.transport.abortConnection()
                transaction.complete_all(
                    Failed("no reply before the timeout", is_result_lost=True)
                    if is_committed
                    else Refused(0.0, "timed out before the message was sent")
                )
                return
        if transaction in self._queue:
            self._queue.remove(transaction)
        transaction.complete_all(Refused(0.0, "no connection before the timeout"))
