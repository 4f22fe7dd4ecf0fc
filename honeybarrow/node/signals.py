"""SIGHUP and SIGTERM, from the first moment of the process. Standard library only, and little of that."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

_NAMES = {signal.SIGHUP: "reload", signal.SIGTERM: "stop", signal.SIGINT: "stop"}
_early: list[str] = []
_told: Callable[[str], None] = _early.append


def _caught(number: int, frame: FrameType | None) -> None:
    _told(_NAMES[signal.Signals(number)])


def catch() -> None:
    """Install the handlers; what comes before :func:`deliver` is remembered."""
    for number in _NAMES:
        signal.signal(number, _caught)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)


def deliver(told: Callable[[str], None]) -> None:
    """From now on signals go to ``told``, those that came early first. It runs between two bytecodes."""
    global _told
    _told = told
    while _early:
        told(_early.pop(0))
