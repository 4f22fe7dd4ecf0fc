"""Stand-in clients, which submit messages, wait for final replies and retry as client programs do."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import mail
from honeybarrow.config.schema import MessageClassConfig
from honeybarrow.ports import Reactor
from honeybarrow.rehearsal.event_log import EventKind, EventLog
from honeybarrow.rehearsal.schema import ClientConfig, TrafficConfig

RETRY_DELAY_RANGE_US = (500_000, 1_200_000)  # after a rejection without a retry delay
OTHER_FORWARDER_DELAY_RANGE_US = (100_000, 400_000)  # after a failed connection to a forwarder
CONNECTION_LOSS_DELAY_RANGE_US = (620_000, 1_900_000)  # after a connection with a submitted message was lost
WINDOW_MARGIN_US = 1_000_000  # retries stop this long before the idempotency window ends
MIN_TIME_LEFT_US = 10_000  # a message with less time left is not submitted again


@dataclass(slots=True)
class TestMessage:
    """Message of a client with the state of its attempts. Times are on the rehearsal's clock.

    ``announced_time_left_us`` is the time left that the header of the latest attempt states.
    ``forwarder_switches`` counts the retries that skipped to another forwarder after a lost connection.
    """

    __test__ = False  # keeps pytest from collecting the class

    message_id: str
    traffic: TrafficConfig
    order_key: str
    created_us: int
    deadline_us: int
    attempts: int = 0
    announced_time_left_us: int = 0
    forwarder_switches: int = 0


class SubmissionConnection(Protocol):
    """Connection to a front, used for one message at a time."""

    transport: Any = None

    def __init__(self, client: StandInClient, forwarder: str, message: TestMessage | None) -> None:
        self.client, self.forwarder, self.message = client, forwarder, message
        self.session = mail.ClientSession(client.config.name, client.config.protocol == "lmtp")
        self.is_submitted = False

    def dataReceived(self, data: bytes) -> None:
        """Process replies of the front."""
        for event in self.session.receive(data):
            match event:
                case mail.Ready():
                    self.submit_message()
                case mail.RecipientAnswered(reply, phase):
                    message, self.message = self.message, None
                    if message is not None:
                        self.client.handle_reply(self, message, reply, phase is mail.Phase.FINAL)
                    if self.session.phase is mail.Phase.IDLE:
                        self.client.handle_idle(self)
                case mail.ResetDone():
                    self.client.handle_idle(self)
                case _:
                    self.transport.abortConnection()
        self.write_output()

    def submit_next(self, message: TestMessage) -> None:
        """Submit another message over this idle connection."""
        self.message = message
        self.submit_message()
        self.write_output()

    def submit_message(self) -> None:
        """Submit the current message of the connection, if there is one."""
        message = self.message
        if message is None:
            return
        traffic, sender = message.traffic, mail.Path(self.client.config.name, "clients.example")
        content = self.client.build_content(message)
        self.is_submitted = False
        self.session.send(sender, mail.Path(traffic.message_class, traffic.partner), content)

    def write_output(self) -> None:
        """Write the output of the session; record the submission once the end of data was written."""
        if out := self.session.take_output():
            self.transport.write(out)
        if self.session.is_committed and not self.is_submitted and self.message is not None:
            self.is_submitted = True
            self.client.record_submission(self.forwarder, self.message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the client."""
        self.client.handle_connection_lost(self)


class _SubmissionFactory(ClientFactory):
    noisy = False

    def __init__(self, connection: SubmissionConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> SubmissionConnection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.client.handle_connection_lost(self.connection)


class StandInClient:
    """Client program. Messages arrive by a Poisson process that does not depend on the replies."""

    def __init__(
        self,
        config: ClientConfig,
        classes: Mapping[str, MessageClassConfig],
        find_front: Callable[[str, str], tuple[str, int]],
        reactor: Reactor,
        event_log: EventLog,
        rng: random.Random,
    ) -> None:
        self.config, self.classes, self.find_front = config, classes, find_front
        self.reactor, self.event_log, self.rng = reactor, event_log, rng
        self.idle_connections: dict[str, list[SubmissionConnection]] = {}
        self.unfinished_messages = 0
        self.connection_count = 0
        self.message_count = 0
        self.rate_factor = 1.0
        self.arrivals_end_us = 0
        self.waiting_messages: list[tuple[TestMessage, str]] = []

    def set_rate_factor(self, rate_factor: float) -> None:
        """Set the factor on the configured message rate, from the next arrival on."""
        self.rate_factor = rate_factor

    def start(self, duration_us: int) -> None:
        """Create messages from now on, for ``duration_us``."""
        self.arrivals_end_us = self.event_log.now_us() + duration_us
        self._schedule_arrival()

    @property
    def is_done(self) -> bool:
        """Whether all messages have arrived and are finished."""
        return self.event_log.now_us() >= self.arrivals_end_us and self.unfinished_messages == 0

    def _schedule_arrival(self) -> None:
        wait_s = self.rng.expovariate(self.config.messages_per_s * self.rate_factor)
        if self.event_log.now_us() + int(wait_s * 1e6) < self.arrivals_end_us:
            self.reactor.callLater(wait_s, self._create_message)

    def _create_message(self) -> None:
        self.message_count += 1
        traffic = self.rng.choices(self.config.traffic, [part.share for part in self.config.traffic])[0]
        order_key = (
            f"{self.config.name}-{self.rng.randrange(traffic.order_key_count)}"
            if traffic.order_key_count
            else ""
        )
        now_us = self.event_log.now_us()
        message_id = f"<{self.config.name}-{self.message_count}@clients.example>"
        message = TestMessage(
            message_id, traffic, order_key, now_us, now_us + self.classes[traffic.message_class].deadline_us
        )
        self.unfinished_messages += 1
        self.event_log.record(
            self.config.name,
            EventKind.MESSAGE_CREATED,
            message=message_id,
            message_class=traffic.message_class,
            partner=traffic.partner,
        )
        self._send(message)
        self._schedule_arrival()

    def build_content(self, message: TestMessage) -> bytes:
        """Return the headers and the body of a message, with the time left at present."""
        time_left_ms = max(0, message.deadline_us - self.event_log.now_us()) // 1000
        message.announced_time_left_us = time_left_ms * 1000
        lines = [
            f"Message-ID: {message.message_id}",
            f"X-Time-Left-Ms: {time_left_ms}",
            f"Subject: {message.traffic.message_class}",
        ]
        if message.order_key:
            lines.append(f"X-Order-Key: {message.order_key}")
        if self.config.tenant:
            lines.append(f"X-Tenant: {self.config.tenant}")
        body = "." + "x" * 70 + "\r\n"
        size = max(0, self.config.message_bytes - sum(map(len, lines)))
        text = "\r\n".join([*lines, "", ""]) + body * (size // len(body) + 1)
        return text.encode("ascii")

    # Submission

    def _send(self, message: TestMessage) -> None:
        names = self.config.forwarders
        if message.order_key:
            # Messages with the same order key go to the same forwarder while it runs.
            first = zlib.crc32(message.order_key.encode())
        else:
            first = self.message_count + message.attempts
        forwarder = names[(first + message.forwarder_switches) % len(names)]
        idle = self.idle_connections.get(forwarder)
        if idle:
            idle.pop().submit_next(message)
        elif self.connection_count < self.config.max_connections:
            self._connect(message, forwarder)
        else:
            self.waiting_messages.append((message, forwarder))

    def _connect(self, message: TestMessage, forwarder: str) -> None:
        self.connection_count += 1
        host, port = self.find_front(forwarder, self.config.protocol)
        self.reactor.connectTCP(
            host, port, _SubmissionFactory(SubmissionConnection(self, forwarder, message)), timeout=3
        )

    def handle_idle(self, connection: SubmissionConnection) -> None:
        """Submit the next message waiting for the forwarder of an idle connection, or keep the connection."""
        for index, (message, forwarder) in enumerate(self.waiting_messages):
            if forwarder == connection.forwarder:
                del self.waiting_messages[index]
                connection.submit_next(message)
                return
        self.idle_connections.setdefault(connection.forwarder, []).append(connection)

    def record_submission(self, forwarder: str, message: TestMessage) -> None:
        """Record that a message was submitted completely."""
        message.attempts += 1
        self.event_log.record(
            self.config.name,
            EventKind.MESSAGE_SUBMITTED,
            message=message.message_id,
            message_class=message.traffic.message_class,
            partner=message.traffic.partner,
            key=message.order_key or None,
            forwarder=forwarder,
            left=message.announced_time_left_us,
        )

    def handle_reply(
        self, connection: SubmissionConnection, message: TestMessage, reply: mail.Reply, is_final: bool
    ) -> None:
        """Finish a message, or retry it if the reply permits that.

        ``is_final`` is true for the reply to the message itself and false for replies to earlier commands.
        """
        self.event_log.record(
            self.config.name,
            EventKind.FINAL_REPLY if is_final else EventKind.SUBMISSION_REJECTED,
            message=message.message_id,
            forwarder=connection.forwarder,
            code=reply.code,
            wait=reply.wait_ms,
            text=reply.text,
        )
        if 400 <= reply.code < 500 and message.attempts <= self.config.max_retries:
            delay_us = reply.wait_ms * 1000 or int(self.rng.uniform(*RETRY_DELAY_RANGE_US))
            self._retry_later(message, delay_us)
        elif (
            reply.duplicate_window_ms * 1000 > WINDOW_MARGIN_US
            and message.attempts <= self.config.max_retries
        ):
            message.deadline_us = min(
                message.deadline_us,
                self.event_log.now_us() + reply.duplicate_window_ms * 1000 - WINDOW_MARGIN_US,
            )
            self._retry_later(message, 0)
        else:
            self.unfinished_messages -= 1

    def handle_connection_lost(self, connection: SubmissionConnection) -> None:
        """Retry the message of a lost connection, if its class permits that."""
        self.connection_count -= 1
        idle = self.idle_connections.get(connection.forwarder, [])
        if connection in idle:
            idle.remove(connection)
        message, connection.message = connection.message, None
        if message is None:
            return
        if not connection.is_submitted:
            message.forwarder_switches += 1
            self._retry_later(message, int(self.rng.uniform(*OTHER_FORWARDER_DELAY_RANGE_US)))
            return
        self.event_log.record(
            self.config.name,
            EventKind.SUBMISSION_LOST,
            message=message.message_id,
            forwarder=connection.forwarder,
        )
        message_class = self.classes[message.traffic.message_class]
        if message_class.idempotency == "keyed":
            message.deadline_us = min(
                message.deadline_us, message.created_us + message_class.key_window_us - WINDOW_MARGIN_US
            )
        if message_class.idempotency == "unsafe" or message.attempts > self.config.max_retries:
            self.unfinished_messages -= 1
            return
        message.forwarder_switches += 1
        self._retry_later(message, int(self.rng.uniform(*CONNECTION_LOSS_DELAY_RANGE_US)))

    def _retry_later(self, message: TestMessage, delay_us: int) -> None:
        if self.event_log.now_us() + delay_us >= message.deadline_us - MIN_TIME_LEFT_US:
            self.unfinished_messages -= 1
            return
        self.reactor.callLater(delay_us / 1e6, self._send, message)

    def close_idle_connections(self) -> None:
        """Close the idle connections."""
        for idle in self.idle_connections.values():
            for connection in list(idle):
                connection.transport.loseConnection()
