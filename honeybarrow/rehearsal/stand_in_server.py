"""Stand-in partners: SMTP and LMTP servers with rate limits, limited capacity and injected faults."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import Any, NamedTuple

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import mail
from honeybarrow.mail import Reply
from honeybarrow.ports import Clock, Reactor
from honeybarrow.rehearsal.event_log import EventKind, EventLog
from honeybarrow.rehearsal.schema import EndpointConfig, PartnerConfig

ACCEPTED_REPLY = Reply(250, "2.0.0", "taken")
DUPLICATE_REPLY = Reply(250, "2.0.0", "taken before")
ERROR_REPLY = Reply(451, "4.3.0", "local error")
QUEUE_FULL_REPLY = Reply(452, "4.3.1", "queue full")
TOO_MANY_CONNECTIONS_REPLY = Reply(421, "4.3.2", "too many connections")
UNKNOWN_RECIPIENT_REPLY = Reply(550, "5.1.1", "not a recipient of ours")
COOLING_FAULTS = frozenset({"refuse", "shut", "hang", "silent"})  # a partner warms up again after these
MIN_CAPACITY_SHARE = 0.05  # bounds the processing time of a cold partner
INITIAL_TOKENS_S, MAX_TOKENS_S = 0.2, 0.4  # tokens in the bucket, in seconds of the partner's rate
COLLAPSE_MARGIN = 3  # calls above its budget that a partner tolerates while it warms up


@dataclass(frozen=True, slots=True)
class WarmUpConfig:
    """Recovery of a partner's capacity after an outage, and the overload at which it collapses meanwhile.

    Capacity grows from ``start_capacity``, a share of the full one, over ``warm_up_us``. The partner
    collapses if the calls within ``collapse_window_us`` exceed ``collapse_multiple`` times its capacity in
    that window.
    """

    start_capacity: float = 0.2
    warm_up_us: int = 9_000_000
    collapse_multiple: float = 2.0
    collapse_window_us: int = 3_000_000


class ActiveFault(NamedTuple):
    """Fault in effect: its magnitude, and the message class to which it is limited, if any."""

    magnitude: float = 0.0
    message_class: str = ""


class QueuedMessage(NamedTuple):
    """Message that waits for a worker, and the time of its acceptance."""

    session: StandInSession
    message: mail.Message
    accepted_us: int


class StandInServer:
    """Stand-in partner: its rate limit, workers, executed messages and active faults.

    ``idempotency_windows_us`` maps message classes with idempotency keys to the time in which the partner
    drops duplicates of a message.
    """

    def __init__(
        self,
        config: PartnerConfig,
        clock: Clock,
        event_log: EventLog,
        rng: random.Random,
        idempotency_windows_us: dict[str, int],
        warm_up: WarmUpConfig,
    ) -> None:
        self.config, self.clock, self.event_log, self.rng = config, clock, event_log, rng
        self.idempotency_windows_us, self.warm_up = idempotency_windows_us, warm_up
        self.active_faults: dict[str, ActiveFault] = {}
        self.address_faults: dict[str, str] = {}  # kinds of the faults, by address name
        self.blocked_forwarders: dict[str, tuple[str, ...]] = {}  # by endpoint name
        self.busy_workers = 0
        self.queue: deque[QueuedMessage] = deque()
        self.tokens, self.tokens_updated_us = (
            max(1.0, config.max_calls_per_s * INITIAL_TOKENS_S),
            self.now_us(),
        )
        self.window_calls, self.window_start_us = 0, self.now_us()
        self.reopens_us = 0  # when a fault of kind "shut" ends
        self.recovered_us = -(1 << 60)
        self.executed_us: dict[str, int] = {}  # acceptance times of executed messages, by id
        self.calls_since_recovery_us: deque[int] = deque()  # times of recent calls during the warm-up
        self.has_collapsed = False
        self.sessions: list[StandInSession] = []

    def now_us(self) -> int:
        """Return the current time on the rehearsal's clock."""
        return self.event_log.now_us()

    # Faults

    def fault_magnitude(self, kind: str) -> float:
        """Return the magnitude of an active fault, or 0 if it is not active."""
        return self.active_faults.get(kind, ActiveFault()).magnitude

    def start_fault(self, kind: str, magnitude: float, duration_us: int, message_class: str = "") -> None:
        """Start a fault. It ends after ``duration_us``, or not by itself if that is 0."""
        self.active_faults[kind] = ActiveFault(magnitude, message_class)
        self.event_log.record(self.config.name, EventKind.FAULT, kind=kind, on=True, last=duration_us)
        if kind == "shut":
            self.reopens_us = self.now_us() + duration_us
        if kind in ("refuse", "hang"):
            for session in list(self.sessions):
                session.apply_outage(kind)
        if kind == "idle_drop":
            for session in list(self.sessions):
                if session.is_idle:
                    session.is_unresponsive = True  # without a notification of the peer
        if duration_us:
            self.clock.callLater(duration_us / 1e6, self.end_fault, kind)

    def start_address_fault(self, name: str, kind: str, duration_us: int) -> None:
        """Let a single address of an endpoint fail."""
        self.address_faults[name] = kind
        self.event_log.record(self.config.name, EventKind.ADDRESS_FAULT, spot=name, kind=kind, on=True)
        self.clock.callLater(duration_us / 1e6, self.address_faults.pop, name, None)

    def start_address_outage(self, name: str, failure_mode: str, duration_us: int) -> None:
        """Let an address fail as in :meth:`start_address_fault`, along with its open connections."""
        self.start_address_fault(name, f"spot_{failure_mode}", duration_us)
        if failure_mode != "deaf":
            for session in [each for each in self.sessions if each.address_name == name]:
                session.apply_outage(failure_mode)

    def block_forwarders(self, name: str, forwarders: tuple[str, ...], duration_us: int) -> None:
        """Let an endpoint send nothing after MAIL to ``forwarders``, as if the link to them failed."""
        self.blocked_forwarders[name] = forwarders
        self.event_log.record(self.config.name, EventKind.ADDRESS_FAULT, spot=name, kind="way", on=True)
        self.clock.callLater(duration_us / 1e6, self.blocked_forwarders.pop, name, None)

    def end_fault(self, kind: str) -> None:
        """End a fault. After an outage the partner starts to warm up."""
        self.active_faults.pop(kind, None)
        is_cold = kind in COOLING_FAULTS
        if is_cold:
            self.recovered_us = self.now_us()
            self.calls_since_recovery_us.clear()
        self.event_log.record(self.config.name, EventKind.FAULT, kind=kind, on=False, cold=is_cold)
        if kind == "hang":
            for session in list(self.sessions):
                session.transport.abortConnection()

    # Admission

    @property
    def capacity_share(self) -> float:
        """Current share of the partner's full capacity."""
        since_recovery_us = self.now_us() - self.recovered_us
        start = self.warm_up.start_capacity
        return min(1.0, start + (1.0 - start) * since_recovery_us / max(1, self.warm_up.warm_up_us))

    def admit_call(self) -> Reply | None:
        """Admit a call and return ``None``, or return the reply that rejects it.

        Rejected calls count towards a collapse too.
        """
        self._check_collapse()
        if self.has_collapsed:
            return self._make_over_limit_reply(0)
        if self.fault_magnitude("shut"):
            return self._make_over_limit_reply(max(1, self.reopens_us - self.now_us()))
        rate = self.config.max_calls_per_s * (self.fault_magnitude("throttle") or 1.0)
        if not rate:
            return None
        if self.config.rate_window_us:
            return self._admit_by_window(rate)
        return self._admit_by_tokens(rate)

    def measure_load(self) -> tuple[float, ...]:
        """Return the load report ``(x0, x1)``: unused share of the limit, and the limit in calls per second.

        The report is empty for a partner without a limit, or with one that counts calls in windows.
        """
        rate = self.config.max_calls_per_s * (self.fault_magnitude("throttle") or 1.0)
        if not rate or self.config.rate_window_us:
            return ()
        return (round(min(1.0, max(0.0, self.tokens / max(1.0, rate * MAX_TOKENS_S))), 3), rate)

    def _check_collapse(self) -> None:
        """Count a call during the warm-up; collapse if there are too many."""
        if self.capacity_share >= 1.0 or self.has_collapsed:
            return
        now_us, window_us = self.now_us(), self.warm_up.collapse_window_us
        calls_us = self.calls_since_recovery_us
        calls_us.append(now_us)
        while calls_us[0] < now_us - window_us:
            calls_us.popleft()
        full_rate = self.config.max_calls_per_s or self.config.warm_calls_per_s
        budget = self.warm_up.collapse_multiple * self.capacity_share * full_rate * window_us / 1e6
        if len(calls_us) > budget + COLLAPSE_MARGIN:
            self.has_collapsed = True
            self.event_log.record(self.config.name, EventKind.COLLAPSED, calls=len(calls_us), budget=budget)

    def _admit_by_window(self, rate: float) -> Reply | None:
        now_us = self.now_us()
        if now_us - self.window_start_us >= self.config.rate_window_us:
            self.window_start_us, self.window_calls = now_us, 0
        self.window_calls += 1
        if self.window_calls > rate * self.config.rate_window_us / 1e6:
            return self._make_over_limit_reply(self.window_start_us + self.config.rate_window_us - now_us)
        return None

    def _admit_by_tokens(self, rate: float) -> Reply | None:
        now_us = self.now_us()
        refilled = self.tokens + rate * (now_us - self.tokens_updated_us) / 1e6
        self.tokens = min(max(1.0, rate * MAX_TOKENS_S), refilled)
        self.tokens_updated_us = now_us
        if self.tokens < 1.0:
            next_token_us = int((1.0 - self.tokens) / rate * 1e6)
            return self._make_over_limit_reply(max(self.config.min_retry_after_us, next_token_us))
        self.tokens -= 1.0
        return None

    def _make_over_limit_reply(self, retry_after_us: int) -> Reply:
        is_announced = retry_after_us > 0 and self.rng.random() < self.config.retry_after_share
        retry_after_ms = -(-retry_after_us // 1000) if is_announced else 0
        return Reply(451, "4.3.2", "above the limit", wait_ms=retry_after_ms, load=self.measure_load())

    # Processing

    def accept_message(self, session: StandInSession, message: mail.Message) -> None:
        """Process a message, queue it, or reject it if the queue is full."""
        if self.busy_workers < self.config.workers:
            self._start_processing(session, message, self.now_us())
        elif len(self.queue) < self.config.queue_capacity:
            self.queue.append(QueuedMessage(session, message, self.now_us()))
        else:
            session.send_reply(QUEUE_FULL_REPLY)

    def _start_processing(self, session: StandInSession, message: mail.Message, accepted_us: int) -> None:
        self.busy_workers += 1
        slowdown = (self.fault_magnitude("slow") or 1.0) / max(MIN_CAPACITY_SHARE, self.capacity_share)
        duration_s = self.config.service_time_us / 1e6 * slowdown * self.rng.uniform(0.7, 1.3)
        if pause_us := self.fault_magnitude("pauses"):
            duration_s += pause_us / 1e6 * (self.rng.random() < 0.2)
        self.clock.callLater(duration_s, self._finish_processing, session, message, accepted_us)

    def _finish_processing(self, session: StandInSession, message: mail.Message, accepted_us: int) -> None:
        self.busy_workers -= 1
        if self.queue:
            self._start_processing(*self.queue.popleft())
        message_id = mail.read_header(message.content, "Message-ID") or ""
        message_class = message.recipients[0].local
        class_fault = self.active_faults.get("class_fail", ActiveFault())
        class_fails = class_fault.magnitude and class_fault.message_class == message_class
        if class_fails or self.rng.random() < self.fault_magnitude("errors"):
            session.send_reply(ERROR_REPLY)
            return
        # A silent partner does not reply to duplicates either.
        address_fault = self.address_faults.get(session.address_name)
        is_silent = bool(self.fault_magnitude("silent")) or address_fault == "spot_deaf"
        if self._is_duplicate(message_id, message_class, accepted_us):
            self.event_log.record(self.config.name, EventKind.DUPLICATE_DROPPED, message=message_id)
            if is_silent:
                session.is_unresponsive = True
            else:
                session.send_reply(DUPLICATE_REPLY)
            return
        self.executed_us[message_id] = accepted_us
        self.event_log.record(
            self.config.name,
            EventKind.MESSAGE_EXECUTED,
            message=message_id,
            message_class=message_class,
            forwarder=session.protocol_session.peer_name,
            target=session.endpoint.target,
        )
        if is_silent:
            session.is_unresponsive = True
        elif self.rng.random() < self.fault_magnitude("answer_lost"):
            session.abort()
        else:
            accepted = ACCEPTED_REPLY
            session.send_reply(
                Reply(accepted.code, accepted.enhanced, accepted.text, load=self.measure_load())
            )

    def _is_duplicate(self, message_id: str, message_class: str, accepted_us: int) -> bool:
        # The window is measured between acceptances, since a sender can't know how long a message was queued.
        window_us = self.idempotency_windows_us.get(message_class, 0)
        if not window_us or message_id not in self.executed_us:
            return False
        return accepted_us - self.executed_us[message_id] < window_us


class StandInSession(Protocol):
    """Connection to an endpoint of a stand-in partner."""

    transport: Any = None

    def __init__(self, server: StandInServer, endpoint: EndpointConfig, address_name: str) -> None:
        self.server, self.endpoint, self.address_name = server, endpoint, address_name
        self.protocol_session = mail.ServerSession(endpoint.target, endpoint.protocol == "lmtp")
        self.is_unresponsive = False
        self.began_us = 0
        self.call_count = 0
        self.message_id = ""
        self.has_open_call = False

    @property
    def is_idle(self) -> bool:
        """Whether the connection is kept alive between two calls."""
        return not self.has_open_call and self.call_count > 0

    def record(self, event_kind: EventKind, **fields: Any) -> None:
        """Record an event of this connection in the event log."""
        self.server.event_log.record(
            self.server.config.name,
            event_kind,
            target=self.endpoint.target,
            forwarder=self.protocol_session.peer_name,
            message=self.message_id,
            **fields,
        )

    def connectionMade(self) -> None:
        """Greet the forwarder, unless a fault or the limit of connections prevents it."""
        server = self.server
        self.began_us = server.now_us()
        server.sessions.append(self)
        address_fault = server.address_faults.get(self.address_name)
        if server.fault_magnitude("refuse") or address_fault == "spot_refuse":
            self.record(EventKind.CONNECTION_REFUSED)
            self.transport.abortConnection()
        elif server.fault_magnitude("hang") or address_fault == "spot_mute":
            self.is_unresponsive = True
        elif len(server.sessions) > server.config.max_connections:
            self.record(EventKind.TOO_MANY_CONNECTIONS)
            self.protocol_session.refuse(TOO_MANY_CONNECTIONS_REPLY)
            self._process_events()
        else:
            self.protocol_session.greet()
            self._process_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Record the lost call, or that the forwarder abandoned an unresponsive connection."""
        self.server.sessions.remove(self)
        if self.has_open_call:
            self.has_open_call = False
            self.record(EventKind.CALL_LOST, committed=self.protocol_session.is_waiting)
        elif self.is_unresponsive:
            self.record(EventKind.CONNECTION_ABANDONED)

    def apply_outage(self, failure_mode: str) -> None:
        """Apply an outage that begins now: reset the connection or stop responding."""
        if failure_mode == "refuse":
            self.abort()
        else:
            self.is_unresponsive = True

    def abort(self) -> None:
        """Reset the connection without a reply."""
        self.is_unresponsive = True
        self.transport.abortConnection()

    def send_reply(self, reply: Reply) -> None:
        """Send the reply to a message, if its call is still open."""
        is_closed = self.protocol_session.state is mail.State.CLOSED
        if self.is_unresponsive or is_closed or not self.has_open_call:
            return
        self.has_open_call = False
        self.record(EventKind.CALL_REPLIED, code=reply.code, wait=reply.wait_ms, final=True)
        self.protocol_session.answer(reply)
        self._process_events()

    def dataReceived(self, data: bytes) -> None:
        """Process data from the forwarder."""
        if self.is_unresponsive:
            if not self.has_open_call and b"MAIL FROM" in data:
                self.record(EventKind.CALL_IGNORED, began=self.began_us)
            return
        self.protocol_session.receive(data)
        self._process_events()

    def _process_events(self) -> None:
        while not self.is_unresponsive and (event := self.protocol_session.next_event()) is not None:
            match event:
                case mail.Sender():
                    self._start_call()
                case mail.Recipient(path):
                    self._check_recipient(path)
                case mail.Message():
                    self._accept_message(event)
        output = self.protocol_session.take_output()
        if output and self.transport is not None and not self.is_unresponsive:
            self.transport.write(output)
        if self.protocol_session.state is mail.State.CLOSED and self.transport is not None:
            self.transport.loseConnection()

    def _start_call(self) -> None:
        self.message_id = ""
        # The first call of a connection began when the connection was opened.
        self.began_us = self.server.now_us() if self.call_count else self.began_us
        self.call_count += 1
        self.has_open_call = True
        self.record(EventKind.CALL_STARTED, began=self.began_us)
        blocked = self.server.blocked_forwarders.get(self.address_name, ())
        hangs = self.server.address_faults.get(self.address_name) == "spot_hang"
        if self.protocol_session.peer_name in blocked or hangs:
            self.is_unresponsive = True
            return
        rejection = self.server.admit_call()
        if rejection is None:
            self.protocol_session.answer(Reply(250, "2.1.0", "ok"))
            return
        self._reject(rejection)

    def _check_recipient(self, path: mail.Path) -> None:
        if path.domain == self.server.config.name:
            self.protocol_session.answer(Reply(250, "2.1.5", "ok"))
        else:
            self._reject(UNKNOWN_RECIPIENT_REPLY)

    def _reject(self, reply: Reply) -> None:
        self.has_open_call = False
        self.record(EventKind.CALL_REPLIED, code=reply.code, wait=reply.wait_ms, final=False)
        self.protocol_session.answer(reply)

    def _accept_message(self, message: mail.Message) -> None:
        self.message_id = mail.read_header(message.content, "Message-ID") or ""
        self.record(
            EventKind.CALL_MESSAGE,
            began=self.began_us,
            key=mail.read_header(message.content, "X-Order-Key"),
            message_class=message.recipients[0].local,
        )
        self.server.accept_message(self, message)


class StandInSessionFactory(Factory):
    """Factory for the sessions of one address of an endpoint."""

    noisy = False

    def __init__(self, server: StandInServer, endpoint: EndpointConfig, address_name: str) -> None:
        self.server, self.endpoint, self.address_name = server, endpoint, address_name

    def buildProtocol(self, addr: Any) -> StandInSession:
        """Return the session for a new connection."""
        return StandInSession(self.server, self.endpoint, self.address_name)


@dataclass(frozen=True, slots=True)
class OpenEndpoints:
    """Ports of a partner's endpoints by name, and the listeners of all their addresses."""

    ports: dict[str, int]
    listeners: list[Any]


def listen_on_endpoints(reactor: Reactor, server: StandInServer) -> OpenEndpoints:
    """Listen at all addresses of a partner."""
    ports, listeners = {}, []
    for endpoint in server.config.endpoints:
        own_factory = StandInSessionFactory(server, endpoint, endpoint.target)
        listeners.append(reactor.listenTCP(endpoint.port, own_factory, interface="127.0.0.1"))
        ports[endpoint.target] = listeners[-1].getHost().port
        for address in endpoint.addresses:
            factory = StandInSessionFactory(server, endpoint, address.name)
            if address.path:
                listeners.append(reactor.listenUNIX(address.path, factory))
            else:
                listeners.append(reactor.listenTCP(address.port, factory, interface=address.host))
    return OpenEndpoints(ports, listeners)
