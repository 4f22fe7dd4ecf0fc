"""OpenTelemetry traces of messages, from acceptance over waiting and attempts to the final result.

Traces are off by default.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from opentelemetry import trace
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import Status, StatusCode


class _OpenTrace(NamedTuple):
    """The spans of an open message: its root span, the span of its current state, and the context of both."""

    root: Any
    current: Any
    context: Any


class MessageTracer:
    """An observer that traces messages.

    Args:
        name: the name of the forwarder, an attribute of all spans.
        sampled_share: the share of messages that are traced, from 0.0 to 1.0.
        processor: receives the finished spans.
        wall_ns: returns the system time in nanoseconds.
    """

    def __init__(
        self, name: str, sampled_share: float, processor: SpanProcessor, wall_ns: Callable[[], int]
    ) -> None:
        provider = TracerProvider(sampler=TraceIdRatioBased(sampled_share), shutdown_on_exit=False)
        provider.add_span_processor(processor)
        self._provider, self._wall_ns = provider, wall_ns
        self._tracer = provider.get_tracer("honeybarrow", attributes={"forwarder": name})
        self._open: dict[str, _OpenTrace] = {}

    def message_accepted(self, message: str, class_name: str, partner: str, time_left_us: int) -> None:
        """Start the trace of a message if it is sampled."""
        now = self._wall_ns()
        attributes: dict[str, Any] = {"message": message, "class": class_name, "partner": partner}
        attributes["left_ms"] = time_left_us // 1000
        root = self._tracer.start_span("message", attributes=attributes, start_time=now)
        if not root.is_recording():
            return
        context = trace.set_span_in_context(root)
        waiting = self._tracer.start_span("waiting", context, start_time=now)
        self._open[message] = _OpenTrace(root, waiting, context)

    def _switch_span(self, message: str, name: str, attributes: dict[str, Any]) -> None:
        """End the current span of a message and start the next one."""
        spans = self._open.get(message)
        if spans is not None:
            now = self._wall_ns()
            spans.current.end(now)
            started = self._tracer.start_span(name, spans.context, attributes=attributes, start_time=now)
            self._open[message] = spans._replace(current=started)

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """End the waiting span and start one for the attempt."""
        self._switch_span(message, "attempt", {"attempt": attempt, "target": target})

    def attempt_finished(
        self, message: str, attempt: int, status: str, duration_us: int, reason: str
    ) -> None:
        """End the attempt's span with its status and start a waiting span."""
        spans = self._open.get(message)
        if spans is not None:
            spans.current.set_attribute("status", status)
            if status != "ok":
                spans.current.set_status(Status(StatusCode.ERROR, reason))
            self._switch_span(message, "waiting", {})

    def message_completed(
        self, message: str, result: str, duration_us: int, time_in_calls_us: int, time_left_us: int
    ) -> None:
        """End the trace of a message with its final result."""
        spans = self._open.pop(message, None)
        if spans is None:
            return
        root = spans.root
        now = self._wall_ns()
        spans.current.end(now)
        root.set_attribute("answer", result)
        root.set_attribute("waited_ms", max(0, duration_us - time_in_calls_us) // 1000)
        root.set_attribute("left_ms_at_answer", time_left_us // 1000)
        if result != "delivered":
            root.set_status(Status(StatusCode.ERROR, result))
        root.end(now)

    def message_rejected(self, reason: str) -> None:
        """Do nothing: a rejected message has no trace."""

    def close(self) -> None:
        """Export the remaining spans and shut down the exporter."""
        self._provider.shutdown()
