"""Signal handlers for SIGHUP, SIGTERM and SIGINT.

They are installed before the other modules are loaded, so this module imports little.
"""

from __future__ import annotations

import enum
import signal
from collections.abc import Callable
from types import FrameType


class SignalRequest(enum.StrEnum):
    """The action that a signal requests."""

    RELOAD = "reload"
    SHUT_DOWN = "stop"


_REQUESTS = {
    signal.SIGHUP: SignalRequest.RELOAD,
    signal.SIGTERM: SignalRequest.SHUT_DOWN,
    signal.SIGINT: SignalRequest.SHUT_DOWN,
}
_pending: list[SignalRequest] = []
_handler: Callable[[SignalRequest], None] = _pending.append


def _on_signal(number: int, frame: FrameType | None) -> None:
    _handler(_REQUESTS[signal.Signals(number)])


def install_handlers() -> None:
    """Install the handlers; requests are queued until :func:`deliver_to` is called."""
    for number in _REQUESTS:
        signal.signal(number, _on_signal)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)


def deliver_to(handler: Callable[[SignalRequest], None]) -> None:
    """Pass queued and future requests to ``handler``.

    The handler is called from a signal handler, between any two bytecodes of the main thread.
    """
    global _handler
    _handler = handler
    while _pending:
        handler(_pending.pop(0))
