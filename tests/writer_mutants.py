"""Writer threads that each lack one safety check.

``test_interleaving_explorer.py`` checks that some thread schedule exposes each of them.
"""

from __future__ import annotations

from honeybarrow.consensus.writer import WriterStats, WriterThread


class ReportsBeforeWriting(WriterThread[str]):
    """Mutant that counts items as persisted before it writes them."""

    def run(self) -> None:
        while True:
            with self._lock:
                while not self._queue and not self._is_closing:
                    self._lock.wait()
                if not self._queue:
                    return
                batch, self._queue = self._queue, []
                self._persisted += len(batch)
            self._on_persisted(self._persisted)
            self._write(batch)


class ContinuesAfterFailure(WriterThread[str]):
    """Mutant that continues to write after a failed write."""

    def submit(self, item: str) -> int:
        with self._lock:
            self._submitted += 1
            self._queue.append(item)
            self._lock.notify()
            return self._submitted

    def run(self) -> None:
        while not self._is_closing or self._queue:
            super().run()


class EndsEarly(WriterThread[str]):
    """Mutant that drops queued items on close."""

    def close(self) -> None:
        with self._lock:
            self._is_closing = True
            self._queue = []
            self._lock.notify()


class CloseWithoutNotify(WriterThread[str]):
    """Mutant that does not wake the thread on close."""

    def close(self) -> None:
        with self._lock:
            self._is_closing = True


class ChecksOutsideTheLock(WriterThread[str]):
    """Mutant that checks the queue outside the lock."""

    def run(self) -> None:
        while True:
            must_wait = not self._queue and not self._is_closing
            with self._lock:
                if must_wait:
                    self._lock.wait()
                if not self._queue:
                    if self._is_closing:
                        return
                    continue
                batch, self._queue = self._queue, []
            self._write(batch)
            with self._lock:
                self._persisted += len(batch)
                persisted = self._persisted
            self._on_persisted(persisted)


class ReadsStatsUnlocked(WriterThread[str]):
    """Mutant that reads the counts one after another, without the lock."""

    def get_stats(self) -> WriterStats:
        submitted = self._submitted
        persisted = self._persisted
        return WriterStats(submitted, persisted, 0, False)
