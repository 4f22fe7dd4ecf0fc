"""Register client: requests the endpoint list and applies the changes pushed by the register."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from honeybarrow.events import MembershipUpdate, UpdateKind
from honeybarrow.ports import Clock, DelayedCall, Logger, Network
from honeybarrow.register.directory import ListError, PartnerDirectory
from honeybarrow.register.schema import MAX_LINE_BYTES, ListRequest


class _RegisterProtocol(LineOnlyReceiver):
    delimiter = b"\n"
    transport: Any = None

    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, client: RegisterClient) -> None:
        self.client = client

    def connectionMade(self) -> None:
        self.send_request()

    def send_request(self) -> None:
        """Request the changes since the current version."""
        request = ListRequest(since=self.client.directory.version, forwarder=self.client.name)
        self.transport.write(msgspec.json.encode(request) + b"\n")

    def lineReceived(self, line: bytes) -> None:
        self.client.handle_line(self, line)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.client.handle_failure(self, "the list exceeds the maximum line length")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.client.handle_failure(self, "the register closed the connection")


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, client: RegisterClient) -> None:
        self.client = client

    def buildProtocol(self, addr: Any) -> _RegisterProtocol:
        self.client.protocol = _RegisterProtocol(self.client)
        return self.client.protocol

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.client.handle_failure(None, f"the register can't be reached: {reason.getErrorMessage()}")


class RegisterClient:
    """Client with at most one subscription; the delivery policy decides when to request again.

    ``on_update`` receives each membership update, including the one for a failed request. ``save_list``
    receives the encoded list after each applied update.
    """

    def __init__(
        self,
        reactor: Network,
        clock: Clock,
        address: tuple[str, int],
        answer_timeout_s: float,
        directory: PartnerDirectory,
        on_update: Callable[[MembershipUpdate], None],
        save_list: Callable[[bytes], None],
        log: Logger,
        name: str = "",
    ) -> None:
        self.name = name
        self.reactor, self.clock, self.address = reactor, clock, address
        self.answer_timeout_s = answer_timeout_s
        self.directory, self.on_update, self.save_list, self.log = directory, on_update, save_list, log
        self.protocol: _RegisterProtocol | None = None
        self._connector: Any = None
        self._answer_timer: DelayedCall | None = None
        self._stopped = False

    def subscribe(self) -> None:
        """Request the changes since the current version, and subscribe to later ones."""
        if self._stopped or self._answer_timer is not None:
            return  # a request is pending
        self._answer_timer = self.clock.callLater(self.answer_timeout_s, self._on_answer_timeout)
        if self.protocol is not None and self.protocol.transport is not None:
            self.protocol.send_request()
            return
        host, port = self.address
        self._connector = self.reactor.connectTCP(host, port, _Factory(self), timeout=self.answer_timeout_s)

    def stop(self) -> None:
        """Disconnect and stop reporting updates."""
        self._stopped = True
        self._disconnect()

    def handle_line(self, source: _RegisterProtocol, line: bytes) -> None:
        """Apply a line of the register; an invalid line is a failure and leaves the list unchanged."""
        if source is not self.protocol or self._stopped:
            return
        try:
            update = self.directory.apply_line(line)
        except ListError as error:
            self.handle_failure(source, f"{error} [{error.code}]")
            return
        self._cancel_answer_timer()
        self.log.info(
            "endpoint_list_applied",
            version=update.version,
            kind=update.kind.value,
            endpoints=len(update.endpoints),
        )
        self.on_update(update)
        self.save_list(self.directory.encode())

    def handle_failure(self, source: _RegisterProtocol | None, reason: str) -> None:
        """Disconnect after a failed request or lost subscription, and report it to ``on_update``."""
        if self._stopped or (source is not None and source is not self.protocol):
            return
        self._disconnect()
        self.log.warning("register_failed", reason=reason)
        self.on_update(MembershipUpdate(UpdateKind.FAILED, self.directory.version))

    def _on_answer_timeout(self) -> None:
        self._answer_timer = None
        self.handle_failure(self.protocol, "the register did not answer within the timeout")

    def _cancel_answer_timer(self) -> None:
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _disconnect(self) -> None:
        self._cancel_answer_timer()
        protocol, self.protocol = self.protocol, None
        connector, self._connector = self._connector, None
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abortConnection()
        elif connector is not None and connector.state == "connecting":
            connector.stopConnecting()
