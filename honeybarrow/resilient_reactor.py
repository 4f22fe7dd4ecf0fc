"""Twisted's epoll reactor, by the monotonic clock, and with system calls that may fail for a moment.

Danger: Twisted's own takes the wall clock and adds each timer's delay to it: set back, the clock holds every
timer that is due, so that calls never time out; set forward, it ends them all at once. And where the system
can't watch a socket now (epoll_ctl: ENOMEM, ENOSPC) it raises at whoever happens to read, write or close, so
that a timer is not set again, or the rest of a turn is not carried out.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import epollreactor

from honeybarrow.tcp_transports import connect_tcp, listen_tcp

WATCH_RETRY_DELAY_S = 0.02  # before a socket that could not be watched is tried again


class ResilientReactor(epollreactor.EPollReactor):
    """The reactor of a process; see the module."""

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        super().__init__()
        self._unwatched: dict[Any, Callable[[], object]] = {}  # by selectable and direction: the next try
        self._is_retry_scheduled = False

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Twisted: listen on a TCP port."""
        return listen_tcp(self, port, factory, backlog, interface)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Twisted: open a TCP connection."""
        return connect_tcp(self, host, port, factory, timeout, bindAddress)

    def addReader(self, reader: Any) -> None:  # noqa: N802
        """Twisted: watch for input, now or as soon as the system can."""
        self._watch(reader, super().addReader, self.addReader)

    def addWriter(self, writer: Any) -> None:  # noqa: N802
        """Twisted: watch for room to write, now or as soon as the system can."""
        self._watch(writer, super().addWriter, self.addWriter)

    def removeReader(self, reader: Any) -> None:  # noqa: N802
        """Twisted: watch for input no longer."""
        self._unwatched.pop((reader, self.addReader), None)
        super().removeReader(reader)

    def removeWriter(self, writer: Any) -> None:  # noqa: N802
        """Twisted: watch for room to write no longer."""
        self._unwatched.pop((writer, self.addWriter), None)
        super().removeWriter(writer)

    def _watch(self, selectable: Any, watch: Callable[[Any], object], again: Callable[[Any], object]) -> None:
        try:
            watch(selectable)
        except OSError:
            self._watch_later(selectable, again)

    def _watch_later(self, selectable: Any, again: Callable[[Any], object]) -> None:
        self._unwatched[selectable, again] = lambda: again(selectable)
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self.callLater(WATCH_RETRY_DELAY_S, self._retry)

    def _retry(self) -> None:
        self._is_retry_scheduled = False
        unwatched, self._unwatched = self._unwatched, {}
        for (selectable, _), watch in unwatched.items():
            if selectable.fileno() != -1:  # else it was closed meanwhile
                watch()

    def _remove(
        self, xer: Any, primary: Any, other: Any, selectables: Any, event: Any, antievent: Any
    ) -> None:
        try:
            super()._remove(xer, primary, other, selectables, event, antievent)
        except OSError:
            # Danger: a descriptor that stays noted after its socket is closed would keep the next socket of
            # that number unwatched. It is taken out whole, which needs no memory, and the other direction is
            # watched anew.
            descriptor = xer.fileno()
            with contextlib.suppress(OSError):
                self._poller.unregister(descriptor)
            primary.discard(descriptor)
            other.discard(descriptor)
            selectables.pop(descriptor, None)
            self._watch_later(xer, self.addWriter if primary is self._reads else self.addReader)
