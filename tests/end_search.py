"""Exhaustive search over the life of one message, judged by an endpoint that knows what it has told.

Each life is a sequence of events, played on a whole forwarder with simulated time. Then the endpoint answers
truthfully what is left, until the time of the message is over. No call may follow an end (410, 504) that was
written to a running process, and each message must get a result.

An endpoint that is silent for longer than its longest response and then never answers is left out: a copy of
a 200 is not known from the true one then (KNOWN-RED.txt).
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from tests.forwarder_harness import ForwarderHarness, PeerConnection

RESPONSES = {
    "200": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "410": b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    "504": b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n",
}
CUT_GONE = "cut 410"
END_STATUSES = ("410", "504", CUT_GONE)
EVENTS = (*RESPONSES, CUT_GONE, "copy", "close", "reset", "silence", "kill", "next request")
ENDING_EVENTS = ("close", "reset", "kill")
SILENCE_S = 0.4  # longer than any true response of these endpoints
LEFT_MS = 3000
PLAY_OUT_S, STEP_S = 7.0, 0.35
MAX_TURNS = 6  # of the reactor, in which it reads what has arrived


class BrokenLifeError(Exception):
    """A call after an end, or a message without a result."""


@dataclass
class Life:
    """The forwarder, and what the endpoint has told of the message m1."""

    harness: ForwarderHarness
    copied: bytes
    answered: dict[int, int] = field(default_factory=dict)  # responses by index of the connection
    told: list[str] = field(default_factory=list)
    calls_at_end: int | None = None  # calls of m1 when its end was told
    is_notified: bool = False
    has_hung: bool = False  # a request was unanswered through a silence
    next_count: int = 0

    def connections(self) -> list[PeerConnection]:
        """Return all connections to the endpoint."""
        return self.harness.target.accept_connections()

    def pending(self, index: int) -> list[str]:
        """Return the messages of the unanswered requests of a connection, oldest first."""
        parts = self.connections()[index].read().split(b"X-Correlation-Id: ")[1:]
        return [part.split(b"\r\n")[0].decode() for part in parts][self.answered.get(index, 0) :]

    def open_indexes(self) -> Iterator[int]:
        """Return the connections with unanswered requests, newest first."""
        for index in reversed(range(len(self.connections()))):
            pending = self.pending(index)
            if pending and not self.connections()[index].ending:
                yield index

    def answer(self, index: int, status: str) -> None:
        """Answer the oldest request of a connection."""
        message = self.pending(index)[0]
        self.answered[index] = self.answered.get(index, 0) + 1
        data = b"HTTP/1.1 410 Gone\r\n" if status == CUT_GONE else RESPONSES[status]
        outcomes = sum(self.harness.process.forwarder.counters.outcomes.values())
        self.connections()[index].write(data)
        if message == "m1":
            self.told.append(status)
            if status in END_STATUSES and self.calls_at_end is None:
                self.calls_at_end = self.harness.count_calls("m1")
        for _ in range(MAX_TURNS):  # no further than the read, so that a kill can come right after it
            if sum(self.harness.process.forwarder.counters.outcomes.values()) == outcomes:
                self.harness.run_turns()

    def check(self, events: Sequence[str]) -> None:
        """Check that no call followed an end."""
        calls = self.harness.count_calls("m1")
        if self.calls_at_end is not None and calls > self.calls_at_end:
            raise BrokenLifeError(f"called after {self.told}: {', '.join(events)}")


def _apply(life: Life, event: str) -> bool:
    """Apply an event; return whether it can happen at this point."""
    harness = life.harness
    if event != "kill":
        harness.run_turns(3)
    open_indexes = list(life.open_indexes())
    if event in ENDING_EVENTS and life.has_hung and open_indexes:
        return False
    if event == "kill":
        harness.kill()
        harness.process.write_ahead_log.files.close()
        harness.start_process()
        harness.send_list(harness.read_watch(), 41)
    elif event == "silence":
        life.has_hung |= bool(open_indexes)
        harness.advance(SILENCE_S, 0.1)
    elif event == "next request":
        life.next_count += 1
        harness.submit(f"n{life.next_count}", left_ms=LEFT_MS)
    else:
        return _apply_to_connection(life, event, open_indexes)
    return True


def _apply_to_connection(life: Life, event: str, open_indexes: list[int]) -> bool:
    if event == "copy":
        first = life.connections()[0]  # the one that has carried the response
        if not first.ending:
            first.write(life.copied)
        return not first.ending
    if event in ("close", "reset"):
        alive = [each for each in life.connections() if not each.ending]
        if alive:
            alive[0].close() if event == "close" else alive[0].reset()
        return bool(alive)
    if not open_indexes:
        return False
    index = open_indexes[-1]
    is_over = any(status in END_STATUSES for status in life.told)
    if life.pending(index)[0] == "m1" and is_over and event not in END_STATUSES:
        return False  # an endpoint does not take back an end
    life.answer(index, event)
    return True


def _play_out(life: Life, events: Sequence[str]) -> None:
    """Answer everything truthfully until the time of the message is over, then check that it has a result."""
    for _ in range(int(PLAY_OUT_S / STEP_S)):
        life.check(events)
        for index in list(life.open_indexes()):
            is_over = life.pending(index)[0] == "m1" and life.calls_at_end is not None
            life.answer(index, "410" if is_over else "200")
        life.is_notified |= "m1" in [each["message"] for each in life.harness.receive_notifications()]
        life.harness.advance(STEP_S, STEP_S / 2)
    has_result = (
        life.is_notified or "200" in life.told or any(each in ("410", CUT_GONE) for each in life.told)
    )
    if not has_result:
        raise BrokenLifeError(f"no result, told {life.told}: {', '.join(events)}")


def play_life(folder: Path, events: Sequence[str], first: str) -> int | None:
    """Play one life after a request that was answered ``first``, which is what copies repeat.

    Return the index of an event that can't happen, or ``None``.

    :raises BrokenLifeError: if a rule was broken.
    """
    folder.mkdir()
    harness = ForwarderHarness(folder)
    try:
        harness.submit("m0")
        harness.read_call("m0").write(RESPONSES[first])
        harness.advance_until(lambda: harness.process.pool.idle_count == 1)
        harness.submit("m1", left_ms=LEFT_MS)
        harness.read_call("m1")
        life = Life(harness, RESPONSES[first], {0: 1})
        for number, event in enumerate(events):
            if not _apply(life, event):
                return number
            life.check(events)
        harness.run_turns(3)
        _play_out(life, events)
        return None
    finally:
        harness.process.write_ahead_log.files.close()
        harness.close()


def search(folder: Path, depth: int, firsts: Sequence[str] = ("200", "410")) -> tuple[int, list[str]]:
    """Play all lives of ``depth`` events; return their number, and what was broken."""
    count, broken = 0, []
    impossible: set[tuple[str, ...]] = set()
    for number, (first, *events) in enumerate(itertools.product(firsts, *[EVENTS] * depth)):
        if any((first, *events[:length]) in impossible for length in range(1, depth)):
            continue
        try:
            impossible_at = play_life(folder / str(number), events, first)
            if impossible_at is None:
                count += 1
            else:
                impossible.add((first, *events[: impossible_at + 1]))
        except BrokenLifeError as error:
            count += 1
            broken.append(f"after {first}: {error}")
    return count, broken
