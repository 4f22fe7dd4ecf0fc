"""An observer that forwards each observation to several observers."""

from __future__ import annotations

from honeybarrow.ports import Observer


class ObserverFanout:
    """Forwards each observation to several observers, in the given order."""

    def __init__(self, *observers: Observer) -> None:
        self.observers = observers

    def message_accepted(self, message: str, class_name: str, partner: str, left_us: int) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.message_accepted(message, class_name, partner, left_us)

    def attempt_started(self, message: str, number: int, target: str) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.attempt_started(message, number, target)

    def attempt_finished(self, message: str, number: int, status: str, took_us: int, why: str) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.attempt_finished(message, number, status, took_us, why)

    def message_completed(
        self, message: str, answer: str, took_us: int, called_us: int, left_us: int
    ) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.message_completed(message, answer, took_us, called_us, left_us)

    def message_rejected(self, why: str) -> None:
        """Forward to all observers."""
        for observer in self.observers:
            observer.message_rejected(why)
