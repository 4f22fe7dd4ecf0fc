"""Explores all interleavings of a few threads that share an object.

The threads are real, but only one runs at a time. A thread pauses before it takes a lock, when it waits on
one, and at each line of the watched modules that accesses an attribute without holding a lock; the explorer
then resumes any runnable thread. Each run replays a prefix of choices and continues with the first runnable
thread; the alternatives skipped on the way become prefixes of later runs. The code under test is unmodified
except that it gets an :class:`ExploredLock`.

Limits: two accesses on one line are not interleaved, nor is code of other modules. Threads do not pause at
lines that they run while holding a lock, because the threads that need the lock could not run; they do pause
where they access the same attribute without the lock.
"""

from __future__ import annotations

import functools
import linecache
import re
import sys
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from types import FrameType, TracebackType
from typing import Any, Generic, TypeVar

Shared = TypeVar("Shared")
# Matches lines with an attribute or a private name, except ``with``: taking a lock is a pause already.
SHARED_ACCESS = re.compile(r"(?!\s*with ).*\b(self\.|_\w+)")
MAX_STEP_S = 10.0  # real time after which a resumed thread counts as blocked outside the explored locks


class RunAbandoned(BaseException):
    """Raised in a paused thread to end it after its run."""


class ExploredLock:
    """A replacement for :class:`threading.Condition` with ``with``, :meth:`wait` and :meth:`notify`."""

    def __init__(self, explorer: InterleavingExplorer[Any]) -> None:
        self.explorer = explorer
        self.owner: _ControlledThread | None = None

    def __enter__(self) -> ExploredLock:
        thread = self.explorer.get_current_thread()
        if thread is not None:
            thread.pause(self)
            self.owner = thread
            thread.held_lock_count += 1
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        thread = self.explorer.get_current_thread()
        if thread is not None and self.owner is thread:
            self.owner = None
            thread.held_lock_count -= 1

    def wait(self) -> None:
        """Release the lock, wait for :meth:`notify`, and acquire the lock again."""
        thread = self.explorer.get_current_thread()
        assert thread is not None and self.owner is thread
        self.owner, thread.awaited_lock = None, self
        thread.held_lock_count -= 1
        thread.pause(self)
        self.owner = thread
        thread.held_lock_count += 1

    def notify(self) -> None:
        """Wake the first waiting thread, in the order of the thread list."""
        for thread in self.explorer.threads:
            if thread.awaited_lock is self:
                thread.awaited_lock = None
                return


class _ControlledThread:
    """A thread of a run, with its pause state."""

    def __init__(self, explorer: InterleavingExplorer[Any], index: int, function: Callable[[], None]) -> None:
        self.explorer, self.index, self.function = explorer, index, function
        self.resume, self.paused = threading.Semaphore(0), threading.Semaphore(0)
        self.wanted_lock: ExploredLock | None = None  # acquired when the thread is resumed
        self.awaited_lock: ExploredLock | None = None  # set while the thread waits for its notification
        self.held_lock_count = 0
        self.is_finished = self.is_abandoned = False
        self.error: BaseException | None = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    @property
    def can_run(self) -> bool:
        """Whether the thread is neither finished nor blocked by a lock."""
        is_blocked = self.wanted_lock is not None and self.wanted_lock.owner is not None
        return not self.is_finished and self.awaited_lock is None and not is_blocked

    def _run(self) -> None:
        self.explorer.thread_local.thread = self
        self.resume.acquire()
        try:
            if not self.is_abandoned:
                sys.settrace(self._trace)
                self.function()
        except RunAbandoned:
            pass
        except Exception as error:  # reported as the violation of the run
            self.error = error
        finally:
            sys.settrace(None)
            self.is_finished = True
            self.paused.release()

    def _trace(self, frame: FrameType, event: str, arg: Any) -> Any:
        file_name = frame.f_code.co_filename
        if not file_name.endswith(self.explorer.watched_files):
            return None
        is_unlocked_line = event == "line" and not self.held_lock_count
        if is_unlocked_line and SHARED_ACCESS.match(linecache.getline(file_name, frame.f_lineno)):
            self.pause(None)
        return self._trace

    def pause(self, wanted_lock: ExploredLock | None) -> None:
        """Pause this thread until the explorer resumes it."""
        self.wanted_lock = wanted_lock
        self.paused.release()
        self.resume.acquire()
        if self.is_abandoned:
            raise RunAbandoned
        self.wanted_lock = None

    def run_to_next_pause(self) -> None:
        """Resume the thread and wait for its next pause or end.

        :raises RuntimeError: if neither happens within ``MAX_STEP_S``.
        """
        self.resume.release()
        if not self.paused.acquire(timeout=MAX_STEP_S):
            raise RuntimeError(f"thread {self.index} is blocked outside the explored locks")


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration; ``is_complete`` is true if all schedules were run without a violation."""

    schedule_count: int = 0
    longest_schedule: int = 0
    duration_s: float = 0.0
    is_complete: bool = False
    violation: str = ""
    schedule: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Run:
    """A run: the index of the thread resumed at each step, and the violation found, if any."""

    schedule: tuple[int, ...]
    violation: str


@dataclass
class InterleavingExplorer(Generic[Shared]):
    """Runs ``thread_functions`` on a shared object in all interleavings.

    ``create_shared`` creates the object for each run from a factory of locks. ``find_violation`` describes
    what is wrong with it at the end of a run, or returns an empty string. ``watched_files`` are suffixes of
    the names of source files in which unlocked accesses are pauses.
    """

    create_shared: Callable[[Callable[[], ExploredLock]], Shared]
    thread_functions: Sequence[Callable[[Shared], None]]
    find_violation: Callable[[Shared], str]
    watched_files: tuple[str, ...]
    threads: list[_ControlledThread] = field(default_factory=list)
    thread_local: Any = field(default_factory=threading.local)

    def get_current_thread(self) -> _ControlledThread | None:
        """Return the controlled thread that calls this, or None for the thread of the explorer."""
        thread: _ControlledThread | None = getattr(self.thread_local, "thread", None)
        return thread

    def explore_schedules(self, max_schedules: int = 100_000) -> ExplorationResult:
        """Run schedules until one has a violation, none is left, or ``max_schedules`` were run."""
        result, started_s = ExplorationResult(), time.monotonic()
        unexplored_prefixes: list[tuple[int, ...]] = [()]
        while unexplored_prefixes and result.schedule_count < max_schedules:
            run = self._run_schedule(unexplored_prefixes.pop(), unexplored_prefixes)
            result.schedule_count += 1
            result.longest_schedule = max(result.longest_schedule, len(run.schedule))
            if run.violation:
                result.violation, result.schedule = run.violation, run.schedule
                break
        result.is_complete = not unexplored_prefixes and not result.violation
        result.duration_s = time.monotonic() - started_s
        return result

    def _run_schedule(self, prefix: tuple[int, ...], unexplored_prefixes: list[tuple[int, ...]]) -> _Run:
        shared = self.create_shared(lambda: ExploredLock(self))
        functions = [functools.partial(function, shared) for function in self.thread_functions]
        self.threads = [_ControlledThread(self, index, function) for index, function in enumerate(functions)]
        for thread in self.threads:
            thread.thread.start()
        schedule: list[int] = []
        try:
            for thread in self.threads:
                thread.run_to_next_pause()  # reaches its first pause, before any shared access
            while runnable := [thread for thread in self.threads if thread.can_run]:
                if len(schedule) < len(prefix):
                    next_thread = self.threads[prefix[len(schedule)]]
                else:
                    next_thread = runnable[0]
                    unexplored_prefixes += [(*schedule, other.index) for other in runnable[1:]]
                schedule.append(next_thread.index)
                next_thread.run_to_next_pause()
            return _Run(tuple(schedule), self._find_violation_at_end(shared))
        finally:
            self._end_threads()

    def _find_violation_at_end(self, shared: Shared) -> str:
        blocked = [thread.index for thread in self.threads if not thread.is_finished]
        if blocked:
            return f"deadlock: threads {blocked} are blocked"
        errors = [
            f"thread {thread.index}: {thread.error!r}" for thread in self.threads if thread.error is not None
        ]
        return "; ".join(errors) or self.find_violation(shared)

    def _end_threads(self) -> None:
        for thread in self.threads:
            if not thread.is_finished:
                thread.is_abandoned = True
                thread.resume.release()
            thread.thread.join(MAX_STEP_S)
