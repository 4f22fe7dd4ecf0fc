"""TCP listeners and connections that survive transient errors of system calls.

Twisted's transports close a connection when a read fails for lack of memory, busy-loop when accept(2) fails
for lack of descriptors, and report a failed connect without telling local errors from errors of the peer.
This module replaces only the system calls; buffering, protocols and timers remain Twisted's.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import error, main, tcp
from twisted.python.failure import Failure

# Transient local errors: the call had no effect and can be repeated.
TRANSIENT_ERRNOS = frozenset((errno.EINTR, errno.ENOMEM, errno.ENOBUFS))
EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))
# accept(2): errors of a single pending connection, which the kernel has already dropped.
_LOST_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENETDOWN, errno.ENOPROTOOPT,
        errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH,
        errno.ETIMEDOUT, errno.ECONNRESET,
    )
)  # fmt: skip
# connect(2) and socket(2): local errors, which do not concern the peer.
_LOCAL_CONNECT_ERRNOS = EXHAUSTION_ERRNOS | {
    errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR, errno.ENOSPC,
}  # fmt: skip
RETRY_DELAY_S = 0.02  # delay before a failed call is repeated, to avoid a busy loop
ACCEPT_RETRY_DELAY_S = 0.05
MAX_ACCEPTS_PER_TURN = 16  # more wait in the backlog, behind timers and open connections
LOG_INTERVAL_S = 10.0
_get_connect_error: Any = error.getConnectError
_Failure: Any = Failure
log = logging.getLogger("honeybarrow.sockets")


def is_local_connect_failure(reason: Any) -> bool:
    """Return whether the ``Failure`` of a connect has a local cause rather than one at the peer."""
    value = reason.value
    error_number = getattr(value, "osError", None)
    if isinstance(value, error.ConnectBindError):  # Twisted raises it if socket(2) or bind(2) fails
        return True
    return error_number in _LOCAL_CONNECT_ERRNOS


def _watch(reactor: Any, start: Callable[[], object], retry: Callable[[], object]) -> None:
    """Start watching a socket; schedule a retry if the reactor cannot register it."""
    try:
        start()
    except OSError:
        reactor.callLater(RETRY_DELAY_S, retry)


class _ResilientConnection(tcp.Connection):
    """Mixin for Twisted transports that repeats reads and writes after transient errors."""

    reactor: Any
    is_input_paused = False  # set while the protocol has paused its input

    def doRead(self) -> Any:  # noqa: N802  Twisted's name
        """Read once and pass the data to the protocol."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as failure:
            if failure.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                return None
            if failure.errno in TRANSIENT_ERRNOS:
                self._read_later()
                return None
            return main.CONNECTION_LOST
        return self._dataReceived(data)

    def _read_later(self) -> None:
        self.stopReading()
        self.reactor.callLater(RETRY_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        # If the protocol has paused its input, reading restarts when the protocol resumes it.
        if self.connected and not self.disconnected and not self.is_input_paused:
            _watch(self.reactor, self.startReading, self._resume_reading)

    def pauseProducing(self) -> None:
        """Stop reading."""
        self.is_input_paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Resume reading."""
        self.is_input_paused = False
        super().resumeProducing()

    def writeSomeData(self, data: Any) -> Any:  # noqa: N802  Twisted's name
        """Write once; return the number of bytes written, or an exception if the connection is lost."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as failure:
            if failure.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                return 0
            if failure.errno in TRANSIENT_ERRNOS:
                self.reactor.callLater(0, self._write_later)
                return 0
            return main.CONNECTION_LOST

    def _write_later(self) -> None:
        if self.connected and not self.disconnected:
            self.stopWriting()
            self.reactor.callLater(RETRY_DELAY_S, self._resume_writing)

    def _resume_writing(self) -> None:
        if self.connected and not self.disconnected:
            _watch(self.reactor, self.startWriting, self._resume_writing)


class ResilientServer(_ResilientConnection, tcp.Server):
    """Transport of an accepted connection."""


class ResilientClient(_ResilientConnection, tcp.Client):
    """Transport of an outgoing connection."""

    def _finishInit(self, whenDone: Any, skt: Any, error: Any, reactor: Any) -> None:  # noqa: N802, N803
        """Start to connect at once; Twisted would defer it to the next reactor iteration."""
        super()._finishInit(whenDone, skt, error, reactor)
        if whenDone is not None and not self._requiresResolution:
            with contextlib.suppress(OSError):  # doConnect handles the outcome in the next iteration
                skt.connect_ex(self.addr)

    def doConnect(self) -> None:  # noqa: N802  Twisted's name
        """Connect, or handle the outcome of a pending connect."""
        try:
            super().doConnect()
        except OSError as failure:  # the reactor could not register the socket
            if self.connected:
                self.connectionLost(_Failure(main.CONNECTION_LOST))
            else:
                self.failIfNotConnected(_get_connect_error((failure.errno, failure.strerror)))


class ResilientConnector(tcp.Connector):
    """Connector that uses :class:`ResilientClient`."""

    def _makeTransport(self) -> ResilientClient:  # noqa: N802  Twisted's name
        return ResilientClient(self.host, self.port, self.bindAddress, self, self.reactor)


class ResilientPort(tcp.Port):
    """Listener that survives all errors of accept(2) and pauses after those that may persist."""

    transport = ResilientServer
    factory: Any
    _logged_at_s = float("-inf")
    accept_failure_count = 0  # errors after which accepting was paused

    def doRead(self) -> None:  # noqa: N802  Twisted's name
        """Accept pending connections."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, address = self.socket.accept()
            except OSError as failure:
                if failure.errno in _LOST_CONNECTION_ERRNOS:
                    continue
                if failure.errno not in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self._pause_accepting(failure)
                return
            if not self._start_connection(accepted, address):
                return

    def _start_connection(self, accepted: Any, address: Any) -> bool:
        """Start a connection; return whether the reactor could register it."""
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            accepted.close()
            return True
        self.sessionno += 1
        try:
            transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        except OSError as failure:
            accepted.close()
            self._pause_accepting(failure)
            return False
        protocol.makeConnection(transport)
        return True

    def _pause_accepting(self, failure: OSError) -> None:
        """Stop accepting for ``ACCEPT_RETRY_DELAY_S``; the kernel queues pending connections meanwhile."""
        self.accept_failure_count += 1
        now_s = time.monotonic()
        if now_s - self._logged_at_s >= LOG_INTERVAL_S:
            self._logged_at_s = now_s
            log.warning("accept_failed error=%s count=%d retrying=True", failure, self.accept_failure_count)
        self.stopReading()
        self.reactor.callLater(ACCEPT_RETRY_DELAY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.connected:
            _watch(self.reactor, self.startReading, self._resume_accepting)


def listen_tcp(reactor: Any, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
    """Listen on a TCP port with a :class:`ResilientPort`; return the port."""
    listener = ResilientPort(port, factory, backlog, interface, reactor)
    listener.startListening()
    return listener


def connect_tcp(
    reactor: Any, host: str, port: int, factory: Any, timeout: float = 30.0, bind_address: Any = None
) -> Any:
    """Open a TCP connection with a :class:`ResilientConnector`; ``timeout`` is in seconds."""
    connector = ResilientConnector(host, port, factory, timeout, bind_address, reactor)
    connector.connect()
    return connector
