"""Prometheus metrics about messages, attempts, connections and the fleet.

Metrics are off by default. Message ids are never labels, so the number of series is bounded by the message
classes, partners, addresses and statuses. The names and labels of metrics are a public interface
(``tests/golden/metrics``).
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from honeybarrow.fleet.status import FleetMetrics

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 60.0)


class FleetCollector(Collector):
    """Collects the counts of the fleet agent at each scrape."""

    def __init__(self, read_counts: Callable[[], FleetMetrics]) -> None:
        self.read_counts = read_counts

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families with their current values."""
        counts = self.read_counts()
        members = GaugeMetricFamily(
            "honeybarrow_fleet_members", "Members by state, as known to this member", labels=["state"]
        )
        for state, count in counts.members_by_state.items():
            members.add_metric([state], count)
        yield members
        zones = GaugeMetricFamily(
            "honeybarrow_fleet_zone",
            "Status of a zone, for all members or for those of one zone; 1 for the current status",
            labels=["zone", "members_of", "stand"],
        )
        for zone in counts.zone_statuses:
            zones.add_metric([zone.zone, zone.source_zone, zone.status], 1)
        yield zones
        yield GaugeMetricFamily(
            "honeybarrow_fleet_kept_destinations",
            "Destinations in use although all their zones are ejected",
            value=counts.retained_destinations,
        )
        for name, text, value in (
            ("sent", "Datagrams sent", counts.datagrams_sent),
            ("received", "Datagrams received", counts.datagrams_received),
            ("octets_sent", "Bytes of datagrams sent", counts.bytes_sent),
        ):
            yield CounterMetricFamily(f"honeybarrow_fleet_{name}", text, value=value)
        dropped = CounterMetricFamily("honeybarrow_fleet_dropped", "Messages dropped", labels=["why"])
        for why, count in counts.dropped_by_reason.items():
            dropped.add_metric([why], count)
        yield dropped


class _OpenMessage(NamedTuple):
    """The labels and the remaining time of an accepted message, kept until it is completed."""

    class_name: str
    partner: str
    time_left_us: int


class Metrics:
    """The metrics of one forwarder, an observer of its messages.

    ``gauges`` maps the name of a gauge to its help text and to the function that is read at each scrape.
    """

    def __init__(self, gauges: dict[str, tuple[str, Callable[[], float]]]) -> None:
        self.registry = CollectorRegistry()
        counter: Any = functools.partial(Counter, registry=self.registry)
        histogram: Any = functools.partial(Histogram, registry=self.registry, buckets=BUCKETS_S)
        by_class = ["message_class"]
        self._accepted_total = counter("honeybarrow_taken", "Messages accepted", by_class)
        self._results_total = counter("honeybarrow_answers", "Final results", [*by_class, "answer"])
        self._rejected_total = counter(
            "honeybarrow_turned_away", "Messages rejected before they were accepted", ["why"]
        )
        self._result_seconds = histogram(
            "honeybarrow_answer_seconds", "Time from acceptance to the final result", by_class
        )
        self._waiting_seconds = histogram(
            "honeybarrow_waiting_seconds",
            "Time without an attempt in flight, from acceptance to the final result",
            by_class,
        )
        self._attempt_seconds = histogram(
            "honeybarrow_attempt_seconds", "Duration of attempts by status", ["partner", "status"]
        )
        self._out_of_time_total = counter(
            "honeybarrow_out_of_time", "Messages completed with 1% of their time left or less", by_class
        )
        self._connects_total = counter(
            "honeybarrow_address", "Connection attempts to partners' addresses by outcome", ["address", "how"]
        )
        self._connect_seconds = histogram(
            "honeybarrow_connect_seconds", "Time from connecting to the reply to EHLO", ["address"]
        )
        for name, (text, read) in gauges.items():
            Gauge(f"honeybarrow_{name}", text, registry=self.registry).set_function(read)
        # The labeled children by name and labels: looking one up in the library costs more than counting.
        self._children: dict[tuple[Any, ...], Any] = {}
        self._open: dict[str, _OpenMessage] = {}

    def register_fleet(self, read_counts: Callable[[], FleetMetrics]) -> None:
        """Add the counts of a fleet agent to the metrics."""
        self.registry.register(FleetCollector(read_counts))

    def _child(self, metric: Any, *labels: str) -> Any:
        """Return the child of a metric with these label values."""
        key = (metric._name, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child

    def message_accepted(self, message: str, class_name: str, partner: str, time_left_us: int) -> None:
        """Count an accepted message and keep its labels until it is completed."""
        self._open[message] = _OpenMessage(class_name, partner, time_left_us)
        self._child(self._accepted_total, class_name).inc()

    def connect_finished(self, address: str, outcome: str, duration_us: int) -> None:
        """Count a finished connection attempt, and record its duration if one is given."""
        self._child(self._connects_total, address, outcome).inc()
        if duration_us:
            self._child(self._connect_seconds, address).observe(duration_us / 1e6)

    def attempt_started(self, message: str, attempt: int, target: str) -> None:
        """Do nothing: attempts are counted when they finish."""

    def attempt_finished(
        self, message: str, attempt: int, status: str, duration_us: int, reason: str
    ) -> None:
        """Record the duration of an attempt by its status."""
        if (accepted := self._open.get(message)) is not None:
            self._child(self._attempt_seconds, accepted.partner, status).observe(duration_us / 1e6)

    def message_completed(
        self, message: str, result: str, duration_us: int, time_in_calls_us: int, time_left_us: int
    ) -> None:
        """Count a final result, and record the total time and the time without a call in flight."""
        accepted = self._open.pop(message, None)
        if accepted is None:
            return
        self._child(self._results_total, accepted.class_name, result).inc()
        self._child(self._result_seconds, accepted.class_name).observe(duration_us / 1e6)
        self._child(self._waiting_seconds, accepted.class_name).observe(
            max(0, duration_us - time_in_calls_us) / 1e6
        )
        if time_left_us * 100 <= accepted.time_left_us:
            self._child(self._out_of_time_total, accepted.class_name).inc()

    def message_rejected(self, reason: str) -> None:
        """Count a message that was rejected before it was accepted."""
        self._child(self._rejected_total, reason).inc()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format (version 0.0.4)."""
        return generate_latest(self.registry)
