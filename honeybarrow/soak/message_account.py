"""What the endpoints know of messages beyond a single call: which are over or have no attempt left.

A message is over once its time is up or its client has withdrawn it; it is answered 410 then. One that has
used all its attempts is answered 504, and one that has been delivered is answered 200 again.
"""

from __future__ import annotations

import asyncio
import enum
import random
import time
from collections import Counter, defaultdict

from honeybarrow.soak.history import History
from honeybarrow.soak.settings import MAX_ATTEMPTS

GONE_STATUS = "410"  # the message is over
EXHAUSTED_STATUS = "504"  # the message has no attempt left
END_STATUSES = frozenset((GONE_STATUS, EXHAUSTED_STATUS))


class _Fate(enum.Enum):
    """What ends a message apart from a delivery and its deadline; the value is its relative frequency."""

    WITHDRAWN = 0.6  # its client leaves right after it was accepted
    WITHDRAWN_LATER = 0.15  # after the first call
    EXHAUSTED = 0.15  # other processes of the platform have used its attempts
    EXHAUSTED_LATER = 0.1


class MessageAccount:
    """Account of all messages of a run, shared by its endpoints.

    :param end_share: Share of the messages that are withdrawn or have no attempt left.
    """

    def __init__(self, history: History, seed: int, end_share: float) -> None:
        self._history, self._seed, self._end_share = history, seed, end_share
        self._call_counts: Counter[str] = Counter()
        self._delivered: dict[str, None] = {}
        self._waiters: dict[str, list[asyncio.Future[None]]] = defaultdict(list)  # by forwarder

    def record_call(self, message: str) -> None:
        """Count a call."""
        self._call_counts[message] += 1

    def record_delivered(self, message: str) -> None:
        """Record that a call was answered with 200."""
        self._delivered[message] = None

    def end_status(self, message: str) -> str:
        """Return the status with which to refuse the counted call of a message, or an empty string."""
        request = self._history.requests.get(message)
        if request is None or message in self._delivered:
            return ""
        calls, fate = self._call_counts[message], self._draw_fate(message)
        if fate is _Fate.WITHDRAWN or (fate is _Fate.WITHDRAWN_LATER and calls > 1):
            return GONE_STATUS
        if time.monotonic() > request.deadline_s:
            return GONE_STATUS
        is_exhausted = fate is _Fate.EXHAUSTED or (fate is _Fate.EXHAUSTED_LATER and calls > 1)
        return EXHAUSTED_STATUS if is_exhausted or calls > MAX_ATTEMPTS else ""

    def _draw_fate(self, message: str) -> _Fate | None:
        """Return the fate of a message, which depends only on its id and the seed."""
        rng = random.Random(f"{self._seed} {message}")
        if rng.random() >= self._end_share:
            return None
        return rng.choices(list(_Fate), [each.value for each in _Fate])[0]

    def record_end(self, forwarder: str) -> None:
        """Record that a forwarder has been told of the end of a message."""
        for waiter in self._waiters.pop(forwarder, ()):
            if not waiter.done():
                waiter.set_result(None)

    def next_end(self, forwarder: str) -> asyncio.Future[None]:
        """Return a future that is done when a forwarder is next told of the end of a message."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[forwarder].append(waiter)
        return waiter
