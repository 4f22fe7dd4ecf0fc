"""Metrics and spans of delivered messages, which show the cause of a late result."""

from __future__ import annotations

import socket
import time
import urllib.request
from typing import Any

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from honeybarrow.metrics import Metrics
from honeybarrow.observer_fanout import ObserverFanout
from honeybarrow.ports import NullObserver
from honeybarrow.tracing import MessageTracer
from tests.live import (
    BlockingConnection,
    LiveForwarder,
    ScriptedPartner,
    accept_all_messages,
    call_in_reactor,
)


def fail_once(connection: BlockingConnection) -> None:
    connection.greet()
    connection.accept_message("451 4.3.0 broken")


def test_delivery_after_a_failed_attempt_shows_in_metrics_and_spans() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    exporter = InMemorySpanExporter()
    spans = MessageTracer("fwd", 1.0, SimpleSpanProcessor(exporter), time.time_ns)
    live = LiveForwarder(f"slots = 8, max_open = 40, observe = observe(metrics_port = {port})")
    try:
        core = live.service.forwarder
        call_in_reactor(
            lambda: setattr(core.context, "observer", ObserverFanout(core.context.observer, spans))
        )
        live.list_partner("p.example", ScriptedPartner(fail_once, accept_all_messages).port)
        client = live.client()
        assert live.send(client, "note@p.example").startswith("250")
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as reply:
            text = reply.read().decode()
        for line in (
            'honeybarrow_taken_total{message_class="note"} 1.0',
            'honeybarrow_answers_total{answer="delivered",message_class="note"} 1.0',
            'honeybarrow_attempt_seconds_count{partner="p.example",status="error"} 1.0',
            'honeybarrow_attempt_seconds_count{partner="p.example",status="ok"} 1.0',
            "honeybarrow_open 0.0",
            "honeybarrow_sessions 1.0",
        ):
            assert line in text, text
    finally:
        live.stop()
    found = exporter.get_finished_spans()
    names = ["waiting", "attempt", "waiting", "attempt", "waiting", "message"]
    assert [span.name for span in found] == names
    root = found[-1]
    assert all(span.parent and span.parent.span_id == root.context.span_id for span in found[:-1])
    attempts = [span for span in found if span.name == "attempt"]
    assert [span.attributes and span.attributes["status"] for span in attempts] == ["error", "ok"]
    attributes: Any = root.attributes
    assert attributes["answer"] == "delivered" and attributes["partner"] == "p.example"
    # The wait between the attempts shows in the spans and in the log line of the result.
    result = next(fields for event, fields in live.log.lines if event == "message_delivered")
    waits = sum((s.end_time or 0) - (s.start_time or 0) for s in found if s.name == "waiting") // 1000
    assert abs(waits - (result["elapsed_us"] - result["time_in_calls_us"])) < result["elapsed_us"]
    assert result["elapsed_us"] - result["time_in_calls_us"] > 100_000


def test_sampled_traces_leave_no_open_messages() -> None:
    exporter = InMemorySpanExporter()
    spans = MessageTracer("fwd", 0.25, SimpleSpanProcessor(exporter), lambda: 1)
    metrics = Metrics({})
    observer = ObserverFanout(metrics, spans, NullObserver())
    for number in range(400):
        name = f"m{number}"
        observer.message_accepted(name, "note", "p", 1_000_000)
        observer.attempt_started(name, 0, "t")
        observer.attempt_finished(name, 0, "timeout", 10, "late")
        observer.message_completed(name, "refused", 999_000, 10, 1000)
    observer.message_rejected("no room")
    assert spans._open == {} and metrics._open == {}
    roots = [span for span in exporter.get_finished_spans() if span.name == "message"]
    assert 50 < len(roots) < 150
    text = metrics.render().decode()
    assert 'honeybarrow_out_of_time_total{message_class="note"} 400.0' in text
    assert 'honeybarrow_turned_away_total{why="no room"} 1.0' in text
