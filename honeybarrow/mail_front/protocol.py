"""The Twisted protocol of the mail fronts: SMTP and LMTP sessions that reply with final results."""

from __future__ import annotations

from typing import Any

from cryptography.x509.oid import NameOID
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IHandshakeListener
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from honeybarrow import mail
from honeybarrow.admission.admission_control import Admit, CloseSession
from honeybarrow.delivery import DeliveryResult, MailPayload, Submission, ignore_cancelled
from honeybarrow.mail import Reply
from honeybarrow.mail_front.connection_registry import ConnectionRegistry
from honeybarrow.mail_front.message_identity import MessageIdentifier, MessageIdentity
from honeybarrow.mail_front.message_preparation import compute_times_left_us, route_message
from honeybarrow.mail_front.replies import (
    ADDRESS_NOT_ALLOWED,
    AUTH_FAILED,
    AUTH_REQUIRED,
    AUTHENTICATED,
    IDLE_TIMEOUT,
    RECIPIENT_OK,
    SENDER_OK,
    SINGLE_RECIPIENT_ONLY,
    TLS_REQUIRED,
    TOO_MANY_HOPS,
    ReplyBatch,
    reply_for_rejection,
    reply_for_result,
)
from honeybarrow.mail_front.routing import Route, UnroutableError
from honeybarrow.ports import DelayedCall

CLOSE_TIMEOUT_S = 5.0  # time for the client to read the final reply
MAX_READ_AHEAD_BYTES = 1 << 16  # unparsed input accepted while a reply is pending


@implementer(IHandshakeListener)
class MailServerProtocol(Protocol):
    """The connection of one client. Twisted calls the methods named in camel case."""

    transport: Any = None

    def __init__(self, factory: MailServerFactory, peer_address: str) -> None:
        self.factory, self.registry, self.peer_address = factory, factory.registry, peer_address
        registry = self.registry
        self.connection_id = registry.next_connection_id()
        self.client_name = registry.identity.identify_by_address(peer_address)
        offer_tls = registry.tls_context is not None and not factory.lmtp
        offer_auth = offer_tls and registry.check_password is not None
        self.session = mail.ServerSession(
            registry.server_name, factory.lmtp, registry.session_limits, offer_tls, offer_auth
        )
        self.idle_timer: DelayedCall | None = None
        self.is_reading = True
        self.is_admitted = False
        self.is_authenticated = False  # with a certificate or an account
        self.pending_results: list[Deferred[DeliveryResult]] = []
        self.routes: list[Route] = []
        self.transaction_start_us = 0

    def connectionMade(self) -> None:
        """Greet the client, or reject it if its address is not allowed or capacity is exhausted."""
        registry = self.registry
        if not registry.identity.can_connect(self.peer_address):
            registry.log.warning("connection_rejected", peer=self.peer_address, reason="address not allowed")
            self.session.refuse(ADDRESS_NOT_ALLOWED)
        else:
            decision = registry.admission.open_session(
                registry.now_us(), self.connection_id, self.client_name
            )
            if isinstance(decision, Admit):
                self.is_admitted = True
                registry.add(self)
                self.session.greet()
            else:
                self.session.refuse(reply_for_rejection(decision))
        self._process_events()

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes; bytes of message content count against the shared memory limit."""
        if self.is_admitted and self.session.is_in_content:
            self.registry.admission.record_bytes_read(self.registry.now_us(), self.connection_id, len(data))
        self.session.receive(data)
        self._process_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Withdraw the client's pending messages and release the connection's capacity."""
        self._set_idle_timer(None)
        # The client can't read its replies any more, so no further attempt may start (RFC 1047).
        pending, self.pending_results = self.pending_results, []
        for result in pending:
            result.cancel()
        if self.is_admitted:
            self.is_admitted = False
            self.registry.remove(self)

    def handshakeCompleted(self) -> None:
        """Identify the client by its TLS certificate, if it has one that the settings list."""
        certificate = self.transport.getPeerCertificate()
        if certificate is not None:
            subject = certificate.to_cryptography().subject.get_attributes_for_oid(NameOID.COMMON_NAME)
            name = self.registry.identity.identify_by_certificate(str(subject[0].value) if subject else "")
            if name is not None:
                self._set_client(name)

    def _set_client(self, name: str) -> None:
        """Record that the client authenticated as the client program ``name``."""
        self.registry.log.info("client_identified", peer=self.peer_address, client=name)
        self.client_name, self.is_authenticated = name, True
        self.registry.admission.identify_session(self.registry.now_us(), self.connection_id, name)

    def close_when_idle(self) -> None:
        """Close the session unless a transaction is open.

        An open transaction completes; admission control rejects the next one, which closes the session.
        """
        if not self.session.is_in_transaction:
            self.close_with_reply(reply_for_rejection(CloseSession(0, "shutting down")))

    def close_with_reply(self, reply: Reply) -> None:
        """Close the session with a final reply, after the replies to a message that awaits its result."""
        if self.session.state is not mail.State.CLOSED:
            self.session.refuse(reply)
            self._process_events()

    def resume_reading(self) -> None:
        """Resume reading from a paused connection."""
        self._set_reading(True)

    def _process_events(self) -> None:
        """Handle pending events, write the output, and update the reading state and the idle timer."""
        while (event := self.session.next_event()) is not None:
            self._handle_event(event)
        if self.transport is None:
            return
        if out := self.session.take_output():
            self.transport.write(out)
        if self.session.state is mail.State.CLOSED:
            # A client that does not read would otherwise keep the connection open forever.
            self._set_idle_timer(CLOSE_TIMEOUT_S)
            self.transport.loseConnection()
            return
        self._adjust_reading()
        is_in_content = self.session.is_in_content
        limits = self.registry.front_limits
        idle_s = limits.data_timeout_s if is_in_content else limits.command_timeout_s
        self._set_idle_timer(None if self.session.is_waiting else idle_s)

    def _adjust_reading(self) -> None:
        """Pause or resume reading, so that excess input remains in the kernel's socket buffers."""
        # Reading continues for a limited amount while a reply is pending, because the loss of a connection
        # is only noticed while reading.
        is_buffer_full = self.session.is_waiting and self.session.backlog_bytes > MAX_READ_AHEAD_BYTES
        now = self.registry.now_us()
        if self.session.is_in_content and not self.registry.admission.can_read(now, self.connection_id):
            self.registry.paused_connections[self.connection_id] = self
            self._set_reading(False)
        elif self.connection_id not in self.registry.paused_connections:
            self._set_reading(not is_buffer_full)

    def _set_reading(self, is_reading: bool) -> None:
        """Resume or pause the transport, unless it is in that state already."""
        if is_reading != self.is_reading and self.transport is not None:
            self.is_reading = is_reading
            (self.transport.resumeProducing if is_reading else self.transport.pauseProducing)()

    def _handle_event(self, event: Any) -> None:
        session, registry = self.session, self.registry
        match event:
            case mail.Sender():
                session.answer(self._reply_to_mail())
            case mail.Recipient(path):
                session.answer(self._reply_to_rcpt(path))
            case mail.Message():
                self._submit_message(event)
            case mail.StartTls():
                self.transport.write(session.take_output())
                session.on_tls_started()
                self._end_transaction()
                self.transport.startTLS(registry.tls_context)
            case mail.Credentials(name, password):
                assert registry.check_password is not None
                registry.check_password(name, password).addBoth(self._on_password_checked, name)
            case mail.InputRejected(reply):
                registry.log.info("protocol_error", peer=self.peer_address, code=reply.code, text=reply.text)
                if not session.is_in_transaction:
                    self._end_transaction()

    def _reply_to_mail(self) -> Reply:
        """Return the reply to MAIL, which starts a transaction if it is positive."""
        required = self.factory.require
        if required != "none" and not self.session.tls and not self.factory.lmtp:
            return TLS_REQUIRED
        if required == "auth" and not self.is_authenticated:
            return AUTH_REQUIRED
        self.routes, self.transaction_start_us = [], self.registry.now_us()
        decision = self.registry.admission.begin_transaction(self.transaction_start_us, self.connection_id)
        return SENDER_OK if isinstance(decision, Admit) else reply_for_rejection(decision)

    def _reply_to_rcpt(self, path: mail.Path) -> Reply:
        """Return the reply to RCPT; store the route of an accepted recipient and reserve capacity for it."""
        registry = self.registry
        if self.routes and not self.factory.lmtp:
            return SINGLE_RECIPIENT_ONLY
        try:
            route = registry.router.route(path)
        except UnroutableError as error:
            registry.log.info(
                "recipient_rejected", peer=self.peer_address, recipient=str(path), reason=str(error)
            )
            return error.reply
        decision = registry.admission.reserve_recipient(registry.now_us(), self.connection_id)
        if not isinstance(decision, Admit):
            return reply_for_rejection(decision)
        self.routes.append(route)
        return RECIPIENT_OK

    def _on_password_checked(self, result: Any, name: str) -> None:
        """Reply to AUTH. ``result``: whether the password is right, or the failure of the check."""
        is_valid = result is True
        if isinstance(result, Failure):
            self.registry.log.error("password_check_failed", reason=str(result.type))
        if not self.session.is_waiting:
            return  # the session was closed in the meantime
        if is_valid:
            self._set_client(self.registry.identity.identify_by_account(name))
        else:
            self.registry.log.warning("authentication_failed", peer=self.peer_address)
        self.session.answer(AUTHENTICATED if is_valid else AUTH_FAILED)
        self._process_events()

    def _submit_message(self, event: mail.Message) -> None:
        """Submit a message to each recipient; replies are sent in the order of the recipients."""
        if mail.count_hops(event.content) > self.registry.front_limits.max_hops:
            self.session.answer(*[TOO_MANY_HOPS] * len(self.routes))
            self._end_transaction()
            return
        self.registry.admission.complete_content(self.connection_id)
        elapsed_us = self.registry.now_us() - self.transaction_start_us
        message_id = self.registry.new_id()
        identifier = MessageIdentifier(self.client_name, event)
        router = self.registry.router
        routed = [route_message(router, route, event) for route in self.routes]
        times_left_us = iter(compute_times_left_us(router, event, routed, elapsed_us))
        batch = ReplyBatch(len(routed))
        for index, entry in enumerate(routed):
            if isinstance(entry, Reply):
                batch.replies[index] = entry
                continue
            route, properties = entry.route, entry.properties
            submission_id = f"{message_id}.{index}" if len(routed) > 1 else message_id
            identity = identifier.identify(route.path, f"<{submission_id}@{self.registry.server_name}>")
            submission = Submission(
                submission_id,
                route.class_name,
                route.destination,
                next(times_left_us),
                self._make_payload(event, route.path, identity, message_id),
                properties.tenant,
                properties.order_key,
            )
            self._submit_for_recipient(identity, route.path, submission, index, batch)
        batch.is_submitted = True
        self._send_ready_replies(batch)

    def _make_payload(
        self, event: mail.Message, recipient: mail.Path, identity: MessageIdentity, message_id: str
    ) -> MailPayload:
        """Return the message to one recipient, with this server's trace line in front."""
        content = event.content
        if identity.added_message_id and mail.read_header(content, "Message-ID") is not None:
            content = mail.remove_header(content, "Message-ID")  # it is empty
        added_header = self._make_trace(content, message_id, identity.added_message_id)
        return MailPayload(event.sender, recipient, content, added_header, identity.envelope_id)

    def _make_trace(self, content: bytes, trace_id: str, added_message_id: str) -> bytes:
        session, registry = self.session, self.registry
        protocol = "LMTP" if self.factory.lmtp else "ESMTP" if session.extended else "SMTP"
        protocol += ("S" if session.tls else "") + ("A" if session.user else "")  # RFC 3848
        return mail.make_trace(
            content,
            session.peer_name,
            self.peer_address,
            registry.server_name,
            protocol,
            trace_id,
            registry.format_date(),
            added_message_id,
        )

    def _submit_for_recipient(
        self,
        identity: MessageIdentity,
        recipient: mail.Path,
        submission: Submission,
        index: int,
        batch: ReplyBatch,
    ) -> None:
        """Submit the message to one recipient, at position ``index`` of its batch."""
        registry = self.registry
        registry.log.info(
            "message_received",
            message=submission.message,
            peer=self.peer_address,
            client=self.client_name,
            recipient=str(recipient),
            left_us=submission.time_left_us,
        )
        result = registry.submissions.submit(self.connection_id, identity, submission)
        self.pending_results.append(result)
        result.addCallback(self._on_final_result, index, batch, result)
        result.addErrback(ignore_cancelled)

    def _on_final_result(
        self, final_result: DeliveryResult, index: int, batch: ReplyBatch, result: Deferred[DeliveryResult]
    ) -> None:
        """Record the final result of a recipient and send the replies that are ready."""
        if result in self.pending_results:
            self.pending_results.remove(result)
        batch.replies[index] = reply_for_result(final_result)
        if batch.is_submitted:
            self._send_ready_replies(batch)
            self._process_events()

    def _send_ready_replies(self, batch: ReplyBatch) -> None:
        """Send the replies that are ready, in order; end the transaction after the last one."""
        if ready := batch.take_ready():
            self.session.answer(*ready)
            if batch.is_finished:
                self._end_transaction()

    def _end_transaction(self) -> None:
        """Release the capacity that was reserved for the transaction."""
        if self.is_admitted:
            self.registry.admission.end_transaction(self.registry.now_us(), self.connection_id)
            self.registry.resume_paused()

    def _set_idle_timer(self, seconds: float | None) -> None:
        """Restart the idle timer, or stop it if ``seconds`` is ``None``."""
        if self.idle_timer is not None and self.idle_timer.active():
            self.idle_timer.cancel()
        self.idle_timer = (
            None if seconds is None else self.registry.clock.callLater(seconds, self._on_idle_timeout)
        )

    def _on_idle_timeout(self) -> None:
        """Close an idle connection; abort one that does not read its final reply."""
        if self.session.state is not mail.State.CLOSED:
            self.close_with_reply(IDLE_TIMEOUT)
        elif self.transport is not None:
            self.transport.abortConnection()


class MailServerFactory(Factory):
    """One front: SMTP or LMTP, and the security that it requires (``none``, ``tls`` or ``auth``)."""

    noisy = False

    def __init__(self, registry: ConnectionRegistry, lmtp: bool, require: str = "none") -> None:
        self.registry, self.lmtp, self.require = registry, lmtp, require

    def buildProtocol(self, addr: Any) -> MailServerProtocol:
        """Return the protocol for a new connection."""
        return MailServerProtocol(self, str(getattr(addr, "host", "") or "local"))
