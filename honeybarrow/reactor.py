"""The reactor of a process: Twisted's, by the monotonic clock, with transports that outlive errors."""

from __future__ import annotations

import time
from typing import Any


def get_reactor() -> Any:
    """Return the process's reactor. The only way to it: nothing else imports Twisted's.

    Danger: Twisted's reactor takes the wall clock, and adds each timer's delay to it. A clock set back holds
    every timer that is due for as long as the step, so that calls never time out; one set forward ends them
    all at once.
    """
    from twisted.internet import reactor as own_reactor

    reactor: Any = own_reactor
    reactor.seconds = time.monotonic
    reactor.listenTCP = _listen_tcp
    reactor.connectTCP = _connect_tcp
    return reactor


def _listen_tcp(port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
    from twisted.internet import reactor

    from honeybarrow.tcp_transports import ResilientPort

    listener = ResilientPort(port, factory, backlog, interface, reactor)
    listener.startListening()
    return listener


def _connect_tcp(
    host: str,
    port: int,
    factory: Any,
    timeout: float = 30.0,
    bindAddress: Any = None,  # noqa: N803
) -> Any:
    from twisted.internet import reactor

    from honeybarrow.tcp_transports import ResilientConnector

    connector = ResilientConnector(host, port, factory, timeout, bindAddress, reactor)
    connector.connect()
    return connector
