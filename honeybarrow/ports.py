"""Protocols of the program's dependencies: clock, network, logger, observers and message log.

Implementations are passed in as arguments. Twisted's reactor and the simulated one implement
:class:`Reactor`, and Twisted's ``task.Clock`` implements :class:`Clock`; the mixed-case names are Twisted's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from honeybarrow.events import AttemptStatus


class DelayedCall(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call. Raises an exception if it is no longer pending."""


class Clock(Protocol):
    """A clock that schedules calls."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any:
        """Call a function after ``delay`` seconds."""


class Network(Protocol):
    """Stream connections, outbound and inbound."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        """Open a TCP connection; ``timeout`` in seconds."""

    def connectUNIX(self, address: str, factory: Any, timeout: float = 30) -> Any:
        """Open a connection to a Unix socket; ``timeout`` in seconds."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen on a TCP port."""


class Reactor(Clock, Network, Protocol):
    """A clock and network that also listens on Unix sockets and for datagrams."""

    def listenUNIX(self, address: str, factory: Any) -> Any:
        """Listen on a Unix socket."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Receive datagrams on a UDP port."""


class AttemptPermit(Protocol):
    """Permission to write the bytes of an attempt, checked again right before they are written.

    Between the decision and the write, the endpoint may drain or send a Retry-After, and the window in which
    a retry is safe may end.
    """

    def refusal_reason(self) -> str:
        """Return why the attempt may not be written now; empty if it may."""
        ...

    def record_start(self) -> str:
        """Record the start right before the first byte; return why it may not start, empty if it may."""
        ...

    def record_permitted_start(self) -> str:
        """Record the start without checking the permission; call it right after :meth:`refusal_reason`.

        An observer that is notified of the attempt may withdraw the endpoint, so that a second check would
        refuse an attempt that the first one allowed.
        """
        ...

    def may_reuse_connection(self) -> bool:
        """Return whether the attempt may use a connection that has carried a call before."""
        ...

    def time_left_us(self) -> int:
        """Return the time left to write the last byte, in microseconds; negative if it is too late."""
        ...


class Logger(Protocol):
    """The subset of a structured logger that the program uses."""

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event with its fields for developers."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an event with its fields."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that an operator may want to investigate."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an event that requires an operator."""


class Observer(Protocol):
    """Receives notifications about messages. Durations are in microseconds."""

    def message_accepted(self, message: str, class_name: str, partner: str, time_left_us: int) -> None:
        """Report that a message was accepted."""

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Report that an attempt is about to be sent."""

    def attempt_finished(
        self, message: str, attempt: int, status: str, duration_us: int, reason: str
    ) -> None:
        """Report the outcome of an attempt."""

    def message_completed(
        self, message: str, result: str, duration_us: int, time_in_calls_us: int, time_left_us: int
    ) -> None:
        """Report the final result of a message."""

    def message_rejected(self, reason: str) -> None:
        """Report that a message was rejected instead of accepted."""


class NullObserver:
    """An :class:`Observer` that ignores all notifications."""

    def message_accepted(self, message: str, class_name: str, partner: str, time_left_us: int) -> None:
        """Ignore the notification."""

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Ignore the notification."""

    def attempt_finished(
        self, message: str, attempt: int, status: str, duration_us: int, reason: str
    ) -> None:
        """Ignore the notification."""

    def message_completed(
        self, message: str, result: str, duration_us: int, time_in_calls_us: int, time_left_us: int
    ) -> None:
        """Ignore the notification."""

    def message_rejected(self, reason: str) -> None:
        """Ignore the notification."""


class CallObserver(Protocol):
    """Receives the start and outcome of each attempt, whatever the result of its message."""

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Report that an attempt is about to be sent."""

    def attempt_finished(self, message: str, attempt: int, status: AttemptStatus) -> None:
        """Report the outcome of an attempt."""


class NullCallObserver:
    """A :class:`CallObserver` that ignores all notifications."""

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Ignore the notification."""

    def attempt_finished(self, message: str, attempt: int, status: AttemptStatus) -> None:
        """Ignore the notification."""


class MessageLog(Protocol):
    """A durable log of accepted messages and their attempts.

    Records are buffered until ``commit``. If it fails, the messages accepted since the last commit are not
    kept, and the other records are written by the next one. ``record_attempt_started`` writes immediately.
    """

    def record_accepted(self, submission: Any) -> None:
        """Record a message that was accepted."""

    def record_attempt_started(self, message: str, attempt: int, is_required: bool) -> bool:
        """Write the start of an attempt immediately; return whether that succeeded.

        After a failure with ``is_required`` the record is discarded, since the attempt does not start.
        """

    def record_attempt_finished(
        self, message: str, attempt: int, status: AttemptStatus, not_run: bool
    ) -> None:
        """Record the outcome of an attempt."""

    def record_completed(self, message: str) -> None:
        """Record that a message is completed."""

    def commit(self) -> bool:
        """Write the buffered records; return whether that succeeded."""


class NullMessageLog:
    """A :class:`MessageLog` that keeps nothing, for clients that submit again after a crash."""

    def record_accepted(self, submission: Any) -> None:
        """Record nothing."""

    def record_attempt_started(self, message: str, attempt: int, is_required: bool) -> bool:
        """Record nothing and permit the attempt."""
        return True

    def record_attempt_finished(
        self, message: str, attempt: int, status: AttemptStatus, not_run: bool
    ) -> None:
        """Record nothing."""

    def record_completed(self, message: str) -> None:
        """Record nothing."""

    def commit(self) -> bool:
        """Write nothing and report success."""
        return True
