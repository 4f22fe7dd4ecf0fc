"""Sharing of each turn of the reactor among the client connections that have requests to process.

The first request on a connection that waits for nothing goes ahead of requests that were sent before the
response to an earlier one (pipelined). Both have a limit for each turn over all connections, and connections
take turns, so that accepting, timers, and responses of endpoints are never behind a long queue of input.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, Protocol, TypeVar

from honeybarrow.ports import Clock

MAX_REQUESTS_PER_TURN = 32
MAX_PIPELINED_PER_TURN = 8


class RequestSource(Protocol):
    """A connection with input to process."""

    def process_request(self, is_pipelined: bool = False) -> bool:
        """Process one request of the buffered input; return whether there was a complete one."""


Source = TypeVar("Source", bound=RequestSource)


class RequestTurns(Generic[Source]):
    """Queue of connections with input; ``clock`` starts each turn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: OrderedDict[Source, None] = OrderedDict()
        self._pipelined: OrderedDict[Source, None] = OrderedDict()
        self._left = MAX_REQUESTS_PER_TURN  # of the current turn
        self._is_next_turn_scheduled = False

    def process(self, source: Source) -> None:
        """Process a request now if the turn has room for it, otherwise in a later turn."""
        self._schedule_turn()
        if self._left == 0:
            self._waiting[source] = None
            return
        self._left -= source.process_request()

    def process_pipelined(self, source: Source) -> None:
        """Process a request in a later turn, behind those that are not pipelined."""
        self._pipelined[source] = None
        self._schedule_turn()

    def is_queued(self, source: Source) -> bool:
        """Return whether a request of a connection waits for a later turn."""
        return source in self._waiting or source in self._pipelined

    def remove(self, source: Source) -> None:
        """Remove a connection, if present."""
        self._waiting.pop(source, None)
        self._pipelined.pop(source, None)

    def _schedule_turn(self) -> None:
        if not self._is_next_turn_scheduled:
            self._is_next_turn_scheduled = True
            self._clock.callLater(0, self._run_turn)

    def _run_turn(self) -> None:
        self._is_next_turn_scheduled = False
        self._left = MAX_REQUESTS_PER_TURN
        try:
            self._process_waiting()
        finally:  # also if a request raised
            if self._waiting or self._pipelined:
                self._schedule_turn()

    def _process_waiting(self) -> None:
        while self._waiting and self._left:
            source, _ = self._waiting.popitem(last=False)
            self._left -= source.process_request()
        for _ in range(MAX_PIPELINED_PER_TURN):
            if not self._pipelined:
                return
            source, _ = self._pipelined.popitem(last=False)
            source.process_request(is_pipelined=True)
