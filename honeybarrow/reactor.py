"""Installation of the Twisted reactor of a process."""

from __future__ import annotations

import sys
from typing import Any


def get_reactor() -> Any:
    """Return the reactor of the process, a :class:`honeybarrow.resilient_reactor.ResilientReactor`.

    All code has to get the reactor from here: importing ``twisted.internet.reactor`` first would install
    Twisted's default reactor, which schedules timers by the wall clock.
    """
    if "twisted.internet.reactor" not in sys.modules:
        from twisted.internet.main import installReactor

        from honeybarrow.resilient_reactor import ResilientReactor

        install: Any = installReactor
        install(ResilientReactor())
    from twisted.internet import reactor

    return reactor
