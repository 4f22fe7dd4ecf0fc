"""A Twisted client factory for a single, existing protocol instance."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


class Connector(ClientFactory):
    """Connects the given protocol and reports a failed connect to its ``connectionLost``."""

    noisy = False

    def __init__(self, connection: Protocol) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Protocol:
        """Return the protocol for the established connection (Twisted callback)."""
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report a failed connect to the protocol (Twisted callback)."""
        self.connection.connectionLost(reason)
