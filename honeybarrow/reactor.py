"""The reactor of a process: Twisted's, by the monotonic clock, with transports that outlive errors."""

from __future__ import annotations

import time
from functools import partial
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
    install_transports(reactor)
    return reactor


def install_transports(reactor: Any) -> None:
    """Let a reactor of Twisted's listen and connect by :mod:`honeybarrow.tcp_transports`."""
    reactor.listenTCP = partial(_listen_tcp, reactor)
    reactor.connectTCP = partial(_connect_tcp, reactor)


def _listen_tcp(reactor: Any, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
    from honeybarrow.tcp_transports import ResilientPort

    listener = ResilientPort(port, factory, backlog, interface, reactor)
    listener.startListening()
    return listener


def _connect_tcp(
    reactor: Any, host: str, port: int, factory: Any, timeout: float = 30.0, bindAddress: Any = None  # noqa: N803
) -> Any:  # fmt: skip
    from honeybarrow.tcp_transports import ResilientConnector

    connector = ResilientConnector(host, port, factory, timeout, bindAddress, reactor)
    connector.connect()
    return connector
