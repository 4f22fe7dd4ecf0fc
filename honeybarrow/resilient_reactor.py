"""Twisted's epoll reactor with a monotonic clock and retries for transient errors of epoll_ctl(2).

Twisted's own reactor schedules timers by the wall clock: if the clock is set back, timeouts are delayed, and
if it is set forward, all timers fire at once. It also raises the error of epoll_ctl(2) (ENOMEM, ENOSPC) in
the caller that reads, writes or closes, which aborts unrelated work such as the rescheduling of a timer.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import epollreactor

from honeybarrow.tcp_transports import connect_tcp, listen_tcp

WATCH_RETRY_DELAY_S = 0.02  # delay before a socket is registered with epoll again


class ResilientReactor(epollreactor.EPollReactor):
    """An epoll reactor that tolerates clock steps and transient epoll errors."""

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        # Set first, since the base class registers the waker, which may fail.
        self._pending_watches: dict[Any, Callable[[], object]] = {}  # by selectable and direction
        self._is_retry_scheduled = False
        super().__init__()

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Wait for events; without a registered descriptor, which epoll does not allow, just wait."""
        if self._selectables:
            super().doPoll(timeout)
        else:
            time.sleep(WATCH_RETRY_DELAY_S if timeout is None else min(timeout, WATCH_RETRY_DELAY_S))

    doIteration = doPoll  # noqa: N815

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen on a TCP port."""
        return listen_tcp(self, port, factory, backlog, interface)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Open a TCP connection."""
        return connect_tcp(self, host, port, factory, timeout, bindAddress)

    def addReader(self, reader: Any) -> None:  # noqa: N802
        """Watch for input; retry if the socket cannot be registered now."""
        self._watch(reader, super().addReader, self.addReader)

    def addWriter(self, writer: Any) -> None:  # noqa: N802
        """Watch for writability; retry if the socket cannot be registered now."""
        self._watch(writer, super().addWriter, self.addWriter)

    def removeReader(self, reader: Any) -> None:  # noqa: N802
        """Stop watching for input."""
        self._pending_watches.pop((reader, self.addReader), None)
        super().removeReader(reader)

    def removeWriter(self, writer: Any) -> None:  # noqa: N802
        """Stop watching for writability."""
        self._pending_watches.pop((writer, self.addWriter), None)
        super().removeWriter(writer)

    def _watch(self, selectable: Any, watch: Callable[[Any], object], retry: Callable[[Any], object]) -> None:
        try:
            watch(selectable)
        except OSError:
            self._watch_later(selectable, retry)

    def _watch_later(self, selectable: Any, retry: Callable[[Any], object]) -> None:
        self._pending_watches[selectable, retry] = lambda: retry(selectable)
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self.callLater(WATCH_RETRY_DELAY_S, self._retry_pending_watches)

    def _retry_pending_watches(self) -> None:
        self._is_retry_scheduled = False
        pending, self._pending_watches = self._pending_watches, {}
        for (selectable, _), watch in pending.items():
            if selectable.fileno() != -1:  # still open
                watch()

    def _remove(
        self, xer: Any, primary: Any, other: Any, selectables: Any, event: Any, antievent: Any
    ) -> None:
        try:
            super()._remove(xer, primary, other, selectables, event, antievent)
        except OSError:
            # A closed descriptor that stays registered here would keep the next socket with the same number
            # from being watched. Unregistering needs no memory; the other direction is watched again later.
            descriptor = xer.fileno()
            with contextlib.suppress(OSError):
                self._poller.unregister(descriptor)
            primary.discard(descriptor)
            other.discard(descriptor)
            selectables.pop(descriptor, None)
            self._watch_later(xer, self.addWriter if primary is self._reads else self.addReader)
