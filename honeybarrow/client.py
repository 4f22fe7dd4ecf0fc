"""A client for programs that submit messages: one final result for each, over SMTP or LMTP.

    client = Client(reactor, "127.0.0.1", 2525)
    result = yield client.submit("me@here.example", "settlement-pay@chain-1.example", content)
    match result:
        case Delivered(): ...
        case Refused(retry_after_s): ...  # harmless to submit again, after so many seconds if it says
        case Failed(): ...  # may have taken effect; a repeat is dropped for retry_within_s, if it says

``content`` is a message with CRLF line ends (RFC 5322). Give it a Message-ID, or pass ``envelope_id``: by
it the service recognizes a message that is submitted again after a lost connection, and neither sends it
twice nor loses its result. :meth:`Client.submit` never fails with a connection's error: what can't be known
is ``Failed(is_result_lost=True)``, and what was never submitted is ``Refused``.
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
    """Not delivered, and harmless to submit again: after ``retry_after_s`` seconds, if that is not 0."""

    retry_after_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """Not delivered as far as is known, with no promise about the effect.

    ``retry_within_s``: for so many seconds a repeat is still dropped by the partner. ``is_permanent``:
    refused, and no retry changes that. ``is_result_lost``: the connection was lost, or the result did not
    come in time; the same message, with its id, may be submitted again to learn the result.
    """

    reason: str = ""
    retry_within_s: float = 0.0
    is_permanent: bool = False
    is_result_lost: bool = False


FinalResult = Delivered | Refused | Failed


def result_of_reply(reply: mail.Reply, is_final: bool = True) -> FinalResult:
    """The result that a reply of the service means (``docs/mail.md``). ``is_final``: to the end of data."""
    if 200 <= reply.code < 300 and is_final:
        return Delivered()
    if 400 <= reply.code < 500:
        return Refused(reply.wait_ms / 1000, reply.text)
    return Failed(
        reply.text, reply.duplicate_window_ms / 1000, is_permanent=reply.is_permanent or not is_final
    )


@dataclass(slots=True, eq=False)
class _Transaction:
    """One transaction: one message to one recipient, or with LMTP to several."""

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
        """Whether every recipient has its result."""
        return all(result.called for result in self.results)

    def complete(self, index: int, result: FinalResult) -> None:
        """Give one recipient its result, if it has none."""
        if not self.results[index].called:
            self.results[index].callback(result)

    def complete_all(self, result: FinalResult) -> None:
        """Give this result to all recipients that have none."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for index in range(len(self.results)):
            self.complete(index, result)


class _Connection(Protocol):
    """One connection to the front, which carries one transaction at a time."""

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
                case mail.RecipientAnswered(reply, phase, place, last):
                    self._on_reply(reply, phase, place, last)
                case mail.ResetDone():
                    self.client.on_connection_idle(self)
                case mail.SessionRefused(reply):
                    self._end_transaction(result_of_reply(reply, is_final=False))
                case mail.ServerClosing() | mail.ProtocolViolation():
                    self.transport.abortConnection()
        self.flush()

    def _on_reply(self, reply: mail.Reply, phase: mail.Phase, index: int, is_last: bool) -> None:
        transaction = self.transaction
        if transaction is None:
            return
        transaction.complete(index, result_of_reply(reply, phase is mail.Phase.FINAL))
        if is_last:
            self._end_transaction(Failed("no answer for this recipient"))
            if self.session.phase is mail.Phase.IDLE:
                self.client.on_connection_idle(self)

    def _end_transaction(self, remaining_result: FinalResult) -> None:
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.complete_all(remaining_result)

    def start_transaction(self, transaction: _Transaction) -> None:
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
        if (out := self.session.take_output()) and self.transport is not None:
            self.transport.write(out)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.client.on_connection_lost(self, reason.getErrorMessage())


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection: _Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> _Connection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.client.on_connection_lost(self.connection, reason.getErrorMessage())


@dataclass(slots=True)
class ClientLimits:
    """Bounds: connections at once, messages that wait for one, seconds to wait for a result."""

    max_connections: int = 20
    max_waiting: int = 10_000
    timeout_s: float = 60.0
    connect_timeout_s: float = 5.0


@dataclass(slots=True, eq=False)
class Client:
    """Submits messages to one front, over connections that it keeps."""

    reactor: Reactor
    host: str
    port: int
    lmtp: bool = False
    name: str = "client.invalid"
    limits: ClientLimits = field(default_factory=ClientLimits)
    _open: list[_Connection] = field(default_factory=list)
    _idle: list[_Connection] = field(default_factory=list)
    _queue: deque[_Transaction] = field(default_factory=deque)
    _closing: bool = False

    def submit(
        self,
        sender: str,
        recipient: str,
        content: bytes,
        by_s: int | None = None,
        envelope_id: str = "",
        timeout_s: float | None = None,
    ) -> Deferred[FinalResult]:
        """Submit one message; fires with its result. ``by_s``: whole seconds to deliver it in (RFC 2852).

        Raises ``ValueError`` for an address that the grammar does not allow.
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
        """One message to several recipients, a result for each in their order; in one transaction over
        LMTP, one after another over SMTP."""
        if self.lmtp:
            return gatherResults(self._submit(sender, list(recipients), content, by_s, envelope_id, None))
        return gatherResults([self.submit(sender, each, content, by_s, envelope_id) for each in recipients])

    def close(self) -> None:
        """Close idle connections; open transactions go on to their results."""
        self._closing = True
        for connection in list(self._idle):
            self._idle.remove(connection)
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
        paths = [mail.read_address(each) for each in recipients]
        results: list[Deferred[FinalResult]] = [Deferred() for _ in paths]
        timeout = self.limits.timeout_s if timeout_s is None else timeout_s
        transaction = _Transaction(
            mail.read_address(sender), paths, content, by_s, envelope_id, results, timeout
        )
        if len(self._queue) >= self.limits.max_waiting or self._closing:
            transaction.complete_all(Refused(0.0, "closing" if self._closing else "too many messages wait"))
            return results
        transaction.timer = self.reactor.callLater(timeout, self._on_result_timeout, transaction)
        self._queue.append(transaction)
        self._assign_transactions()
        return results

    def _assign_transactions(self) -> None:
        while self._queue and self._idle:
            connection = self._idle.pop()
            transaction = self._queue.popleft()
            if transaction.is_completed:
                self._idle.append(connection)
                continue
            connection.start_transaction(transaction)
        starting = sum(not connection.is_ready for connection in self._open)
        if len(self._queue) > starting and len(self._open) < self.limits.max_connections:
            connection = _Connection(self)
            self._open.append(connection)
            timeout = self.limits.connect_timeout_s
            self.reactor.connectTCP(self.host, self.port, _Factory(connection), timeout=timeout)
            self._assign_transactions()

    def on_connection_idle(self, connection: _Connection) -> None:
        """A connection is free for a transaction."""
        if connection not in self._idle:
            self._idle.append(connection)
        self._assign_transactions()
        if self._closing and connection in self._idle:
            self.close()

    def on_connection_lost(self, connection: _Connection, reason: str) -> None:
        """A connection ended: the result of its transaction is lost, or it was never submitted."""
        if connection in self._open:
            self._open.remove(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        transaction, connection.transaction = connection.transaction, None
        if transaction is not None:
            is_committed = connection.session.is_committed
            transaction.complete_all(
                Failed(reason, is_result_lost=True) if is_committed else Refused(0.0, reason)
            )
        elif not connection.is_ready and self._queue and not self._open:
            # nobody listens there: what waits is refused now, not kept for a time that may not come
            while self._queue:
                self._queue.popleft().complete_all(Refused(0.0, reason))
        self._assign_transactions()

    def _on_result_timeout(self, transaction: _Transaction) -> None:
        for connection in self._open:
            if connection.transaction is transaction:
                connection.transaction = None
                is_committed = connection.session.is_committed
                connection.transport.abortConnection()
                transaction.complete_all(
                    Failed("no answer in time", is_result_lost=True)
                    if is_committed
                    else Refused(0.0, "no time left")
                )
                return
        if transaction in self._queue:
            self._queue.remove(transaction)
        transaction.complete_all(Refused(0.0, "no connection in time"))
