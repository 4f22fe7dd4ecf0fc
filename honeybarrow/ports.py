"""The ports of the program as typing protocols: clock, network, log, observers, the log of messages.

They are handed in, never imported. Twisted's reactor and its ``task.Clock`` fit, and so does a simulated
reactor; the names in mixed case are Twisted's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from honeybarrow.events import AttemptStatus


class DelayedCall(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Return whether the call is still due."""

    def cancel(self) -> None:
        """Call it off. Raises if it is no longer due."""


class Clock(Protocol):
    """Seconds, and calls after so many of them."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any:
        """Call a function after so many seconds."""


class Network(Protocol):
    """TCP connections, out and in."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        """Open a TCP connection; ``timeout`` in seconds."""

    def connectUNIX(self, address: str, factory: Any, timeout: float = 30) -> Any:
        """Open a connection to a Unix socket; ``timeout`` in seconds."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen on a TCP port."""


class Reactor(Clock, Network, Protocol):
    """Both, and Unix sockets and datagrams to listen at."""

    def listenUNIX(self, address: str, factory: Any) -> Any:
        """Listen on a Unix socket."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Receive datagrams on a UDP port."""


class AttemptPermit(Protocol):
    """Permission to write an attempt that was decided before, checked again where its bytes are written.

    In between a connection comes up or replies are awaited, and meanwhile the endpoint may drain or send a
    Retry-After, and the window in which a retry is harmless may end.
    """

    def refusal_reason(self) -> str:
        """Return why no byte of the attempt may be written now; empty if it may."""
        ...

    def record_start(self) -> str:
        """Record the start, right before the first byte; return why it may not start, empty if it may."""
        ...

    def record_permitted_start(self) -> str:
        """Record the start without asking again, where nothing has passed since the permission.

        Danger: what watches attempts may withdraw the endpoint as this very attempt begins.
        """
        ...

    def time_left_us(self) -> int:
        """Return how long its last byte may still be written, in microseconds; negative if it may not."""
        ...


class Logger(Protocol):
    """What is used of a structured logger."""

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event with its fields for developers."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an event with its fields."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that an operator may want to look into."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an event that needs an operator."""


class Observer(Protocol):
    """Notified of what happens to a message. Times are microseconds."""

    def message_accepted(self, message: str, class_name: str, partner: str, left_us: int) -> None:
        """A message was accepted."""

    def attempt_started(self, message: str, number: int, target: str) -> None:
        """An attempt is about to go out."""

    def attempt_finished(self, message: str, number: int, status: str, took_us: int, why: str) -> None:
        """An attempt has its outcome."""

    def message_completed(
        self, message: str, answer: str, took_us: int, called_us: int, left_us: int
    ) -> None:
        """A message has its final result."""

    def message_rejected(self, why: str) -> None:
        """A message was rejected before it was accepted."""


class NullObserver:
    """Observes nothing."""

    def message_accepted(self, message: str, class_name: str, partner: str, left_us: int) -> None:
        """A message was accepted."""

    def attempt_started(self, message: str, number: int, target: str) -> None:
        """An attempt is about to go out."""

    def attempt_finished(self, message: str, number: int, status: str, took_us: int, why: str) -> None:
        """An attempt has its outcome."""

    def message_completed(
        self, message: str, answer: str, took_us: int, called_us: int, left_us: int
    ) -> None:
        """A message has its final result."""

    def message_rejected(self, why: str) -> None:
        """A message was rejected before it was accepted."""


class CallObserver(Protocol):
    """Told of each call that goes out and of its outcome, whatever becomes of its message."""

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """An attempt is about to go out."""

    def attempt_finished(self, message: str, attempt: int, status: AttemptStatus) -> None:
        """An attempt has its outcome."""


class NullCallObserver:
    """Watches no calls."""

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """An attempt is about to go out."""

    def attempt_finished(self, message: str, attempt: int, status: AttemptStatus) -> None:
        """An attempt has its outcome."""


class MessageLog(Protocol):
    """Keeps what was accepted beyond the process.

    ``commit`` writes all that was recorded since; if it can't, what was accepted since is not kept, and the
    rest is written with the next one. ``record_attempt_started`` writes at once.
    """

    def record_accepted(self, submission: Any) -> None:
        """Record a message that was accepted."""

    def record_attempt_started(self, message: str, attempt: int, must_be_kept: bool) -> bool:
        """Record the start of an attempt at once; return whether that could be done.

        One that could not be and ``must_be_kept`` is forgotten, since the attempt does not start.
        """

    def record_attempt_finished(
        self, message: str, attempt: int, status: AttemptStatus, not_run: bool
    ) -> None:
        """Record the outcome of an attempt."""

    def record_completed(self, message: str) -> None:
        """Record that nothing more is owed for a message."""

    def commit(self) -> bool:
        """Write what was recorded; return whether that could be done."""


class NullMessageLog:
    """Keeps nothing: whoever hands in hears the end from this process, or hands in again."""

    def record_accepted(self, submission: Any) -> None:
        """Record a message that was accepted."""

    def record_attempt_started(self, message: str, attempt: int, must_be_kept: bool) -> bool:
        """Record nothing; an attempt may always start."""
        return True

    def record_attempt_finished(
        self, message: str, attempt: int, status: AttemptStatus, not_run: bool
    ) -> None:
        """Record the start of an attempt at once; return whether that could be done."""

    def record_completed(self, message: str) -> None:
        """Record that nothing more is owed for a message."""

    def commit(self) -> bool:
        """Write nothing, successfully."""
        return True
