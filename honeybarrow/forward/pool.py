"""Connections to partner endpoints: opened as calls need them, reused, closed when idle.

A call gets the idle connection that was used last, or a new one. It ends exactly once: by its reply,
by the loss of its connection, or by its time-out. The pool tries nothing again, also not where a kept
connection turns out to be closed: the end says that the call did not run, and the module decides. A
call begun anew here could run into a wait that was told meanwhile.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import mail
from honeybarrow.addresses import Address, Addresses
from honeybarrow.forward.outcome import Outcome, of_greeting, of_loss, of_reply, of_timeout
from honeybarrow.interface import Status
from honeybarrow.seams import Clock, Delayed, Network

Place = Address


@dataclass(frozen=True, slots=True)
class Parcel:
    """What a call carries. The content is shared between attempts and recipients, never copied."""

    sender: mail.Path
    recipient: mail.Path
    content: bytes


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds: idle connections of one endpoint, seconds to connect and greet, seconds to keep one idle."""

    idle_per_endpoint: int = 8
    connect_timeout_s: float = 1.0
    idle_s: float = 10.0


class Connection(Protocol):
    """One connection to a partner, from connect to close."""

    transport: Any = None

    def __init__(self, pool: Pool, target: str, place: Address) -> None:
        self.pool, self.target, self.place = pool, target, place
        self.session = mail.ClientSession(pool.name, place.lmtp)
        self.call: _Call | None = None
        self.ready = False
        self.served = 0
        self.began = pool.clock.seconds()
        self.idle_timer: Delayed | None = None
        self.closing = False

    def connectionMade(self) -> None:
        if self.call is None:  # its call ended while the connection came up
            self.close(abort=True)

    def dataReceived(self, data: bytes) -> None:
        if not self.ready and self.call is not None and not self.call.chosen(self):
            return  # another address greeted first; nothing was written here
        for event in self.session.receive(data):
            self._event(event)
        self.flush()

    def flush(self) -> None:
        if (out := self.session.take_output()) and self.transport is not None:
            self.transport.write(out)

    def _event(self, event: Any) -> None:
        match event:
            case mail.Ready():
                self.ready = True
                if self.call is not None:
                    self.call.start(self)
            case mail.Answered(reply, phase):
                self._end(of_reply(reply, phase))
                self._settle()
            case mail.Cleared():
                self._settle()
            case mail.Refused(reply):
                call, self.call = self.call, None
                self.close()
                if call is not None:
                    call.refused(self, reply)
            case mail.Leaving() | mail.Broken():
                why = event.reason if isinstance(event, mail.Broken) else "partner closes"
                self._lost(why)
                self.close(abort=True)

    def _end(self, outcome: Outcome) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.served += 1
            call.end(outcome)

    def _settle(self) -> None:
        """After a transaction: keep the connection if it can carry another one."""
        if self.session.phase is mail.Phase.IDLE and self.call is None and not self.closing:
            self.pool.keep(self)
        elif not self.session.open:
            self.close()

    def _lost(self, why: str) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.lost(self, why)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pool.forget(self)
        self._lost(reason.getErrorMessage())

    def close(self, abort: bool = False) -> None:
        """Close; with ``abort`` at once, for what the partner still says concerns nobody."""
        self.pool.forget(self)
        self.closing = True
        if self.transport is None:
            return
        if abort:
            self.transport.abortConnection()
            return
        self.session.quit()
        self.flush()
        self.transport.loseConnection()
        # Danger: a partner that takes nothing more would hold the descriptor for ever.
        self.pool.clock.callLater(self.pool.limits.connect_timeout_s, self.transport.abortConnection)


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.connectionLost(reason)


class _Call:
    """One call: from the pool's promise to its one outcome.

    Until a server greets, several of the endpoint's addresses may be tried, as ``honeybarrow.addresses``
    says; the one that greets first carries the call, and nothing is written to the others.
    """

    def __init__(
        self, pool: Pool, target: str, places: Sequence[Address], parcel: Parcel, timeout_s: float
    ) -> None:
        self.pool, self.target, self.places, self.parcel = pool, target, places, parcel
        self.done: Deferred[Outcome] = Deferred()
        self.connection: Connection | None = None
        self.pending: list[Connection] = []  # connects that nobody has greeted yet
        self.left: list[Address] = []  # addresses that were not tried yet
        self.started = False
        self.ended = False
        clock = pool.clock
        self.until = clock.seconds() + timeout_s
        self.timer: Delayed = clock.callLater(max(0.0, timeout_s), self._late)
        self.connect_timer: Delayed | None = None
        self.stagger: Delayed | None = None

    def begin(self, kept: Connection | None) -> None:
        if kept is not None:
            kept.call, self.connection = self, kept
            self.start(kept)
            kept.flush()
            return
        book, now = self.pool.book, self.pool.now_us()
        self.left = [choice.address for choice in book.order(now, self.places)]
        limit = self.pool.limits.connect_timeout_s
        self.connect_timer = self.pool.clock.callLater(limit, self._not_connected)
        self._connect()

    def _connect(self) -> None:
        """Begin one more connect, if there is an address left."""
        if self.ended or self.connection is not None or not self.left:
            return
        address = self.left.pop(0)
        connection = self.pool.open(self.target, address, self)
        if self.ended or connection.closing:
            return  # refused on the spot
        delay = self.pool.book.delay_us(self.pool.now_us(), address) / 1e6
        if not self._may_race():
            # alone, it has its part of the time, and is then given up for the next
            delay = self.pool.limits.connect_timeout_s / (len(self.places) or 1)
        self._set_stagger(delay)

    def _further(self) -> None:
        """The present connects take long: another one beside them, or in their place."""
        self.stagger = None
        if not self.left or self.connection is not None:
            return
        if not self._may_race():
            for connection in list(self.pending):
                self._give_up(connection)
        self._connect()

    def _may_race(self) -> bool:
        return self.pool.book.may_race(self.target not in self.pool.failed_last, len(self.pending))

    def _give_up(self, connection: Connection) -> None:
        self.pending.remove(connection)
        self.pool.book.failed(self.pool.now_us(), connection.place)
        connection.call = None
        connection.close(abort=True)

    def _set_stagger(self, delay: float | None) -> None:
        if self.stagger is not None and self.stagger.active():
            self.stagger.cancel()
        self.stagger = None if delay is None else self.pool.clock.callLater(delay, self._further)

    def chosen(self, connection: Connection) -> bool:
        """A server wrote its first octets: whether this connection carries the call."""
        if self.connection is None:
            self.connection = connection
            self._set_stagger(None)
            for other in list(self.pending):
                if other is not connection:
                    self.pending.remove(other)
                    other.call = None
                    other.close(abort=True)
        return self.connection is connection

    def refused(self, connection: Connection, reply: mail.Reply) -> None:
        """The session was refused: a told wait binds the whole endpoint, else another address is tried."""
        outcome = of_greeting(reply)
        if outcome.wait_us or not self._next(connection):
            self.end(outcome)

    def _next(self, connection: Connection) -> bool:
        """This connection comes to nothing; whether another one is under way in its place."""
        self.pool.book.failed(self.pool.now_us(), connection.place)
        if connection in self.pending:
            self.pending.remove(connection)
        if connection is self.connection:
            self.connection = None
        if self.ended or not (self.left or self.pending):
            return False
        if self._may_race():
            self._connect()
        return True

    def start(self, connection: Connection) -> None:
        """The session is ready: write the transaction."""
        self._cancel_connect()
        if not self.started and connection.served == 0:
            took = int((self.pool.clock.seconds() - connection.began) * 1e6)
            self.pool.book.connected(self.pool.now_us(), connection.place, took)
        self.started = True
        left = int(self.until - self.pool.clock.seconds()) + 1
        parcel = self.parcel
        connection.session.send(parcel.sender, parcel.recipient, parcel.content, left)

    def lost(self, connection: Connection, why: str) -> None:
        committed = connection.session.committed and self.started
        if not self.started and self._next(connection):
            return
        self.end(of_loss(self.started, committed, why))

    def end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self._cancel_connect()
        if outcome.status in (Status.OK, Status.REJECTED):
            self.pool.failed_last.pop(self.target, None)
        else:
            self.pool.failed_last[self.target] = None
        if self.timer.active():
            self.timer.cancel()
        self.done.callback(outcome)

    def _cancel_connect(self) -> None:
        if self.connect_timer is not None and self.connect_timer.active():
            self.connect_timer.cancel()
        self.connect_timer = None
        self._set_stagger(None)

    def _not_connected(self) -> None:
        self.connect_timer = None
        self._cut(of_timeout(False, False))

    def _late(self) -> None:
        connection = self.connection
        committed = self.started and connection is not None and connection.session.committed
        self._cut(of_timeout(self.started, committed))

    def _cut(self, outcome: Outcome) -> None:
        # Danger: the reply to this call may still come; on a connection used again it would be taken
        # for the next call's. So the connection goes with the call.
        self.left = []
        for connection in list(self.pending):
            if connection is not self.connection:
                self._give_up(connection)
        if self.connection is not None:
            if not self.started:
                self.pool.book.failed(self.pool.now_us(), self.connection.place)
            self.connection.call = None
            self.connection.close(abort=True)
        self.end(outcome)


class Pool:
    """The connections of all endpoints. ``name`` is what EHLO says."""

    def __init__(
        self,
        reactor: Network,
        clock: Clock,
        name: str,
        limits: PoolLimits,
        opened: Callable[[str], None] = lambda target: None,
        book: Addresses | None = None,
    ) -> None:
        self.reactor, self.clock, self.name, self.limits = reactor, clock, name, limits
        self.opened = opened
        self.book = book or Addresses(random.Random(1))
        self.failed_last: dict[str, None] = {}  # targets whose last call got no answer to its message
        self.idle: dict[str, list[Connection]] = {}

    def now_us(self) -> int:
        """The clock in microseconds."""
        return int(self.clock.seconds() * 1e6)

    def call(
        self, target: str, places: Sequence[Address], parcel: Parcel, timeout_us: int
    ) -> Deferred[Outcome]:
        """Carry a parcel to an endpoint; its outcome, exactly one, within the time-out."""
        call = _Call(self, target, places, parcel, timeout_us / 1e6)
        call.begin(self._take_idle(target, places))
        return call.done

    def _take_idle(self, target: str, places: Sequence[Address]) -> Connection | None:
        for connection in reversed(self.idle.get(target, [])):
            if connection.place in places and connection.session.phase is mail.Phase.IDLE:
                self.forget(connection)
                return connection
        return None

    def open(self, target: str, place: Address, call: _Call) -> Connection:
        connection = Connection(self, target, place)
        connection.call = call
        self.opened(target)
        timeout = self.limits.connect_timeout_s
        call.pending.append(connection)
        if place.path:
            self.reactor.connectUNIX(place.path, _Factory(connection), timeout=timeout + 1)
        else:
            self.reactor.connectTCP(place.host, place.port, _Factory(connection), timeout=timeout + 1)
        return connection

    def keep(self, connection: Connection) -> None:
        """A connection is idle: keep it for the next call, within the bounds."""
        kept = self.idle.setdefault(connection.target, [])
        kept.append(connection)
        connection.idle_timer = self.clock.callLater(self.limits.idle_s, connection.close)
        if len(kept) > self.limits.idle_per_endpoint:
            kept[0].close()

    def forget(self, connection: Connection) -> None:
        """A connection is no longer idle."""
        if connection.idle_timer is not None and connection.idle_timer.active():
            connection.idle_timer.cancel()
        connection.idle_timer = None
        kept = self.idle.get(connection.target)
        if kept and connection in kept:
            kept.remove(connection)
            if not kept:
                del self.idle[connection.target]

    def close_idle(self, target: str) -> None:
        """Close the idle connections to an endpoint; calls that are out run on."""
        for connection in list(self.idle.get(target, ())):
            connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for target in list(self.idle):
            self.close_idle(target)
