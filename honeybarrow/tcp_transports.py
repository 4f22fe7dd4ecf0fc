"""TCP listeners and connections that outlive transient errors of system calls.

Twisted's own close a connection when a read fails for want of memory, try an accept that fails for want of
descriptors again at once and for ever, and hand out a connect's error without saying whose fault it is. Only
the calls themselves are replaced here; buffers, protocols and timers stay Twisted's.
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

# Of this process or machine, and over in a moment: nothing has happened, and the call may be made again.
TRANSIENT_ERRNOS = frozenset((errno.EINTR, errno.ENOMEM, errno.ENOBUFS))
EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))
# accept(2): errors of the one connection that was at the head of the queue, which is gone with it.
_LOST_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENETDOWN, errno.ENOPROTOOPT,
        errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH,
        errno.ETIMEDOUT, errno.ECONNRESET,
    )
)  # fmt: skip
# connect(2) and socket(2): errors that say nothing of the peer.
_LOCAL_CONNECT_ERRNOS = EXHAUSTION_ERRNOS | {
    errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR, errno.ENOSPC,
}  # fmt: skip
RETRY_DELAY_S = 0.02  # before a transient failure is tried again, so that the reactor does not spin
ACCEPT_RETRY_DELAY_S = 0.05
MAX_ACCEPTS_PER_TURN = 100
LOG_INTERVAL_S = 10.0
_get_connect_error: Any = error.getConnectError
_Failure: Any = Failure
log = logging.getLogger("honeybarrow.sockets")


def is_local_connect_failure(reason: Any) -> bool:
    """Return whether a connect failed for a reason that says nothing of the peer, by its ``Failure``."""
    value = reason.value
    number = getattr(value, "osError", None)
    if isinstance(value, error.ConnectBindError):  # how Twisted reports that there is no socket
        return True
    return number in _LOCAL_CONNECT_ERRNOS


def _watch(reactor: Any, start: Callable[[], object], retry: Callable[[], object]) -> None:
    """Let the reactor watch a socket; if it can't now, try again later."""
    try:
        start()
    except OSError:
        reactor.callLater(RETRY_DELAY_S, retry)


class _ResilientConnection(tcp.Connection):
    """Reads and writes again after a transient error; mixed into Twisted's transports."""

    reactor: Any
    is_input_paused = False  # by the protocol

    def doRead(self) -> Any:  # noqa: N802  Twisted's name
        """Twisted: read once, and pass on what came."""
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
        # A protocol that has paused its input meanwhile resumes it by itself.
        if self.connected and not self.disconnected and not self.is_input_paused:
            _watch(self.reactor, self.startReading, self._resume_reading)

    def pauseProducing(self) -> None:
        """Twisted: stop reading."""
        self.is_input_paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Twisted: read again."""
        self.is_input_paused = False
        super().resumeProducing()

    def writeSomeData(self, data: Any) -> Any:  # noqa: N802  Twisted's name
        """Twisted: write once; the number of bytes written, or an exception."""
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
    """An accepted connection."""


class ResilientClient(_ResilientConnection, tcp.Client):
    """A connection made by this process."""

    def _finishInit(self, whenDone: Any, skt: Any, error: Any, reactor: Any) -> None:  # noqa: N802, N803
        """Twisted: begin to connect. It would do so a reactor round later, which may be long."""
        super()._finishInit(whenDone, skt, error, reactor)
        if whenDone is not None and not self._requiresResolution:
            with contextlib.suppress(OSError):  # what came of it is seen in the next round
                skt.connect_ex(self.addr)

    def doConnect(self) -> None:  # noqa: N802  Twisted's name
        """Twisted: connect, or see what became of it."""
        try:
            super().doConnect()
        except OSError as failure:  # the reactor could not watch the socket
            if self.connected:
                self.connectionLost(_Failure(main.CONNECTION_LOST))
            else:
                self.failIfNotConnected(_get_connect_error((failure.errno, failure.strerror)))


class ResilientConnector(tcp.Connector):
    """Connects by :class:`ResilientClient`."""

    def _makeTransport(self) -> ResilientClient:  # noqa: N802  Twisted's name
        return ResilientClient(self.host, self.port, self.bindAddress, self, self.reactor)


class ResilientPort(tcp.Port):
    """A listener that goes on whatever accept(2) says, and rests where descriptors or memory run short."""

    transport = ResilientServer
    factory: Any
    _logged_at_s = float("-inf")
    exhaustion_count = 0  # accepts that failed for want of descriptors or memory

    def doRead(self) -> None:  # noqa: N802  Twisted's name
        """Twisted: accept the connections that wait."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, address = self.socket.accept()
            except OSError as failure:
                if failure.errno in _LOST_CONNECTION_ERRNOS:
                    continue
                if failure.errno not in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self._rest(failure)
                return
            if not self._serve(accepted, address):
                return

    def _serve(self, accepted: Any, address: Any) -> bool:
        """Start a connection; whether the reactor could take it."""
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            accepted.close()
            return True
        self.sessionno += 1
        try:
            transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        except OSError as failure:
            accepted.close()
            self._rest(failure)
            return False
        protocol.makeConnection(transport)
        return True

    def _rest(self, failure: OSError) -> None:
        """Accept nothing for a moment: the queue of the system keeps the connections that wait."""
        self.exhaustion_count += 1
        now_s = time.monotonic()
        if now_s - self._logged_at_s >= LOG_INTERVAL_S:
            self._logged_at_s = now_s
            log.warning("accept_failed error=%s count=%d retrying=True", failure, self.exhaustion_count)
        self.stopReading()
        self.reactor.callLater(ACCEPT_RETRY_DELAY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.connected:
            _watch(self.reactor, self.startReading, self._resume_accepting)


def listen_tcp(reactor: Any, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
    """Listen on a TCP port of a reactor of Twisted's."""
    listener = ResilientPort(port, factory, backlog, interface, reactor)
    listener.startListening()
    return listener


def connect_tcp(
    reactor: Any, host: str, port: int, factory: Any, timeout: float = 30.0, bind_address: Any = None
) -> Any:
    """Open a TCP connection by a reactor of Twisted's; ``timeout`` in seconds."""
    connector = ResilientConnector(host, port, factory, timeout, bind_address, reactor)
    connector.connect()
    return connector
