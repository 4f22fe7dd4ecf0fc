"""A thread that writes the items submitted by the reactor's thread, in order, and reports its progress.

The reactor must not block on disk I/O, and no message may be sent before the state that it depends on is
persisted. Items therefore wait in a queue. The thread takes all of them, writes and syncs them as one batch,
and then reports them. Three kinds of threads share the writer: the reactor's (``submit``, ``close``), the
writer's own, and any thread that calls ``get_stats`` (a metrics scrape, an operator's query). One lock guards
the shared state. It is never held during disk I/O.

Invariants, checked in all thread schedules of small workloads by ``tests/test_interleaving_explorer.py``:

- The persisted count grows only after the write has returned.
- A failed write ends all writing, since an item after a gap must never count as persisted.
- ``close`` ends the thread only once the queue is empty or a write has failed.
- ``get_stats`` reads all counts atomically, so that it never reports more items as persisted than as
  submitted.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Generic, Protocol, TypeVar

Item = TypeVar("Item")


class Condition(Protocol):
    """The methods of :class:`threading.Condition` that the writer uses.

    Tests pass in another implementation that explores all thread schedules.
    """

    def __enter__(self) -> Any: ...

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> Any: ...

    def wait(self) -> Any:
        """Release the lock, wait for a notification, and acquire the lock again."""
        ...

    def notify(self) -> Any:
        """Wake one waiting thread."""
        ...


@dataclass(frozen=True, slots=True)
class WriterStats:
    """Counts of submitted items, persisted items and writes at one moment, and whether a write has failed."""

    submitted: int
    persisted: int
    writes: int
    has_failed: bool

    @property
    def pending(self) -> int:
        """The number of submitted items that are not persisted."""
        return self.submitted - self.persisted


class WriterThread(Generic[Item]):
    """Writes items in batches in a separate thread.

    ``write(items)`` writes items to disk or raises ``OSError``. ``on_persisted(count)`` reports that the
    first ``count`` items are persisted; ``on_failed(error)`` that no further items will be. All three are
    called in the writer's thread.
    """

    def __init__(
        self,
        write: Callable[[list[Item]], None],
        on_persisted: Callable[[int], None],
        on_failed: Callable[[OSError], None],
        condition: Callable[[], Condition] = threading.Condition,
    ) -> None:
        self._write, self._on_persisted, self._on_failed = write, on_persisted, on_failed
        self._lock = condition()
        self._queue: list[Item] = []
        self._submitted = self._persisted = self._writes = 0
        self._is_closing = self._has_failed = False
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread = threading.Thread(target=self.run, name="consensus-writer", daemon=True)
        self._thread.start()

    def submit(self, item: Item) -> int:
        """Queue an item to be written, and return its number, counted from 1.

        Items submitted after :meth:`close` or a failed write are never persisted.
        """
        with self._lock:
            self._submitted += 1
            if not self._is_closing and not self._has_failed:
                self._queue.append(item)
                self._lock.notify()
            return self._submitted

    def close(self) -> None:
        """Write all queued items, end the thread and wait for it."""
        with self._lock:
            self._is_closing = True
            self._lock.notify()
        if self._thread is not None:
            self._thread.join()

    def get_stats(self) -> WriterStats:
        """Return all counts, read atomically."""
        with self._lock:
            return WriterStats(self._submitted, self._persisted, self._writes, self._has_failed)

    def run(self) -> None:
        """Write queued items until :meth:`close` is called or a write fails."""
        while True:
            with self._lock:
                while not self._queue and not self._is_closing:
                    self._lock.wait()
                if not self._queue:
                    return
                batch, self._queue = self._queue, []
            try:
                self._write(batch)
            except OSError as error:
                with self._lock:
                    self._has_failed = True
                    self._queue = []
                self._on_failed(error)
                return
            with self._lock:
                self._persisted += len(batch)
                self._writes += 1
                persisted = self._persisted
            self._on_persisted(persisted)
