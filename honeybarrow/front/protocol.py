"""The Twisted protocols of the mail fronts: SMTP and LMTP sessions that answer with the final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import intake, mail
from honeybarrow.forward import (
    Answer,
    Delivered,
    Failed,
    Forwarder,
    Parcel,
    Refused,
    Submission,
    ignore_cancelled,
)
from honeybarrow.front.mapping import Mapper, Route, Unmapped
from honeybarrow.mail import Reply
from honeybarrow.seams import Clock, Delayed, Logger

STOPPING = Reply(421, "4.3.2", "shutting down, come back")
TOO_MANY = Reply(421, "4.3.2", "too many connections")
IDLE = Reply(421, "4.4.2", "time-out")
ONE_RECIPIENT = Reply(452, "4.5.3", "one recipient for each transaction here; LMTP takes several")
LOOP = Reply(554, "5.4.6", "too many hops")
OK_SENDER = Reply(250, "2.1.0", "ok")
OK_RECIPIENT = Reply(250, "2.1.5", "ok")
CLOSE_S = 5.0  # to take the last reply
READ_AHEAD = 1 << 16  # octets of further commands read while an answer is due
OUT_OF_TIME = Reply(451, "4.4.7", "no time left")


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """Bounds of a front: sessions at once, seconds of silence between commands and in data, hops."""

    connections: int = 500
    command_timeout_s: float = 300.0
    data_timeout_s: float = 180.0
    hops: int = 50


def reply_of(answer: Answer) -> Reply:
    """The final answer as a reply (``docs/mail.md``): 2xx delivered, 4xx refused, 5xx failed."""
    match answer:
        case Delivered():
            return Reply(250, "2.0.0", "delivered")
        case Refused(wait_us, why):
            return Reply(451, "4.3.2", f"refused, harmless to try again ({why})", wait_ms=-(-wait_us // 1000))
        case Failed(why, None, within_us):
            within = max(0, within_us or 0) // 1000
            return Reply(554, "5.4.0", f"failed, may have taken effect ({why})", within_ms=within)
        case Failed(_, reply, _):
            assert reply is not None
            return Reply(550, reply.enhanced, f"the partner refuses: {reply.code} {reply.text}")


class _Batch:
    """The replies of one message, given in order as they become known."""

    def __init__(self, count: int) -> None:
        self.replies: list[Reply | None] = [None] * count
        self.given = 0
        self.complete = False  # every recipient has been handed in; answers may go out

    def known(self) -> list[Reply]:
        """The replies that may go out now: up to the first that is not known."""
        ready: list[Reply] = []
        while self.complete and self.given < len(self.replies):
            reply = self.replies[self.given]
            if reply is None:
                break
            ready.append(reply)
            self.given += 1
        return ready


class MailFront(Protocol):
    """One session of a client."""

    transport: Any = None

    def __init__(self, factory: FrontFactory, peer: str) -> None:
        self.front, self.peer = factory, peer
        self.session = mail.ServerSession(factory.name, factory.lmtp, factory.limits)
        self.timer: Delayed | None = None
        self.paused = False
        self.pending: list[Deferred[Answer]] = []
        self.routes: list[Route] = []
        self.began_us = 0
        self.counted = False

    def connectionMade(self) -> None:
        if self.front.stopping or len(self.front.sessions) >= self.front.bounds.connections:
            self.session.refuse(STOPPING if self.front.stopping else TOO_MANY)
            self._work()
            return
        self.front.sessions.append(self)
        self.counted = True
        self.session.greet()
        self._work()

    def dataReceived(self, data: bytes) -> None:
        self.session.receive(data)
        self._work()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._set_timer(None)
        if self.counted:
            self.front.sessions.remove(self)
        # The client left before its answers: what is not out yet is withdrawn (RFC 1047; docs/mail.md).
        pending, self.pending = self.pending, []
        for done in pending:
            done.cancel()

    def say_goodbye(self) -> None:
        """The daemon stops: a session without a transaction ends now, others after theirs."""
        if not self.session.in_transaction:
            self.session.refuse(STOPPING)
            self._work()

    # events of the session

    def _work(self) -> None:
        while (event := self.session.next_event()) is not None:
            self._event(event)
        if self.transport is None:
            return
        if out := self.session.take_output():
            self.transport.write(out)
        if self.session.state is mail.State.CLOSED:
            # Danger: a client that reads nothing more would hold the connection for ever.
            self._set_timer(CLOSE_S)
            self.transport.loseConnection()
            return
        # While an answer is due little is read on: what a client piles up stays in its own buffers. Not
        # nothing, for a connection that isn't read doesn't tell that the client has left.
        crowded = self.session.waiting and self.session.backlog > READ_AHEAD
        if crowded != self.paused:
            self.paused = crowded
            (self.transport.pauseProducing if self.paused else self.transport.resumeProducing)()
        in_data = self.session.state is mail.State.DATA
        bounds = self.front.bounds
        idle = bounds.data_timeout_s if in_data else bounds.command_timeout_s
        self._set_timer(None if self.session.waiting else idle)

    def _event(self, event: Any) -> None:
        session, front = self.session, self.front
        match event:
            case mail.Sender():
                if front.stopping:
                    session.answer(STOPPING)
                    return
                self.routes, self.began_us = [], front.now_us()
                session.answer(OK_SENDER)
            case mail.Recipient(path):
                session.answer(self._recipient(path))
            case mail.Message():
                self._message(event)
            case mail.Complaint(reply):
                front.log.info("bad input", peer=self.peer, code=reply.code, text=reply.text)

    def _recipient(self, path: mail.Path) -> Reply:
        if self.routes and not self.front.lmtp:
            return ONE_RECIPIENT
        try:
            self.routes.append(self.front.mapper.route(path))
        except Unmapped as error:
            self.front.log.info("recipient refused", peer=self.peer, recipient=str(path), why=str(error))
            return error.reply
        return OK_RECIPIENT

    def _message(self, event: mail.Message) -> None:
        front, session = self.front, self.session
        if mail.count_hops(event.content) > front.bounds.hops:
            session.answer(*[LOOP] * len(self.routes))
            return
        spent = front.now_us() - self.began_us
        by = event.parameters.by_s
        by_us = by * 1_000_000 if by is not None and event.parameters.by_return else None
        ident = front.new_id()
        content = mail.add_trace(
            event.content,
            session.peer_name,
            self.peer,
            front.name,
            "LMTP" if front.lmtp else "ESMTP" if session.extended else "SMTP",
            ident,
            front.date(),
        )
        found: list[tuple[Route, Any] | Reply] = []
        for route in self.routes:
            try:
                found.append((route, front.mapper.properties(route, event.sender, event.content)))
            except Unmapped as error:
                found.append(error.reply)
        deadlines = front.mapper.deadlines
        lefts = [
            intake.time_left_us(deadlines[row[0].class_name], by_us, row[1].time_left_us, spent)
            for row in found
            if not isinstance(row, Reply)
        ]
        times = iter(intake.batch_times(lefts))
        batch = _Batch(len(found))
        for place, row in enumerate(found):
            if isinstance(row, Reply):
                batch.replies[place] = row
                continue
            route, properties = row
            left = next(times)
            if left <= 0:
                batch.replies[place] = OUT_OF_TIME
                continue
            message = f"{ident}.{place}" if len(found) > 1 else ident
            submission = Submission(
                message,
                route.class_name,
                route.destination,
                left,
                Parcel(event.sender, route.path, content),
                properties.tenant,
                properties.key,
            )
            front.log.info(
                "message", message=message, peer=self.peer, recipient=str(route.path), left_us=left
            )
            done = front.forwarder.submit(submission)
            self.pending.append(done)
            done.addCallback(self._answered, place, batch, done)
            done.addErrback(ignore_cancelled)
        batch.complete = True
        if ready := batch.known():
            session.answer(*ready)

    def _answered(self, answer: Answer, place: int, batch: _Batch, done: Deferred[Answer]) -> None:
        if done in self.pending:
            self.pending.remove(done)
        batch.replies[place] = reply_of(answer)
        if ready := batch.known():
            self.session.answer(*ready)
            self._work()

    def _set_timer(self, seconds: float | None) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None if seconds is None else self.front.clock.callLater(seconds, self._silent)

    def _silent(self) -> None:
        if self.session.state is mail.State.CLOSED:
            if self.transport is not None:
                self.transport.abortConnection()
            return
        self.session.refuse(IDLE)
        self._work()


class FrontFactory(Factory):
    """One front. ``new_id`` gives message ids, ``date`` a date for the trace line (RFC 5322 3.3)."""

    noisy = False

    def __init__(
        self,
        forwarder: Forwarder,
        mapper: Mapper,
        clock: Clock,
        now_us: Callable[[], int],
        name: str,
        lmtp: bool,
        limits: mail.Limits,
        bounds: FrontLimits,
        new_id: Callable[[], str],
        date: Callable[[], str],
        log: Logger,
    ) -> None:
        self.forwarder, self.mapper, self.clock, self.now_us = forwarder, mapper, clock, now_us
        self.name, self.lmtp, self.limits, self.bounds = name, lmtp, limits, bounds
        self.new_id, self.date, self.log = new_id, date, log
        self.sessions: list[MailFront] = []
        self.stopping = False

    def buildProtocol(self, addr: Any) -> MailFront:
        return MailFront(self, str(getattr(addr, "host", "") or "local"))

    def stop(self) -> None:
        """Take nothing new; sessions end after the transaction they are in."""
        self.stopping = True
        for session in list(self.sessions):
            session.say_goodbye()
