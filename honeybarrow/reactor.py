"""The reactor of a process: Twisted's own, with timers that are due by the monotonic clock."""

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
    return reactor
