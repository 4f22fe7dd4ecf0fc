"""The reactor of a process: chosen and installed here, and nowhere else."""

from __future__ import annotations

import sys
from typing import Any


def get_reactor() -> Any:
    """Return the process's reactor, :class:`honeybarrow.resilient_reactor.ResilientReactor`.

    The only way to it: nothing else imports Twisted's, which would install one by the wall clock.
    """
    if "twisted.internet.reactor" not in sys.modules:
        from twisted.internet.main import installReactor

        from honeybarrow.resilient_reactor import ResilientReactor

        install: Any = installReactor
        install(ResilientReactor())
    from twisted.internet import reactor

    return reactor
