"""An observer that forwards each observation to several observers."""

from __future__ import annotations

from honeybarrow.ports import Observer


class ObserverFanout:
    """Forwards each observation to several observers, in the given order."""

    def __init__(self, *observers: Observer) -> None:
        self.observers = observers

    def message_accepted(self, message: str, class_name: str, partner: str, time_left_us: int) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.message_accepted(message, class_name, partner, time_left_us)

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.attempt_started(message, attempt, target)

    def attempt_finished(
        self, message: str, attempt: int, status: str, duration_us: int, reason: str
    ) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.attempt_finished(message, attempt, status, duration_us, reason)

    def message_completed(
        self, message: str, result: str, duration_us: int, time_in_calls_us: int, time_left_us: int
    ) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.message_completed(message, result, duration_us, time_in_calls_us, time_left_us)

    def message_rejected(self, reason: str) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.message_rejected(reason)
