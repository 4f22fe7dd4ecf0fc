"""The names and labels of the metrics, held to those that version 0.2.0 served.

``tests/golden/metrics`` was written by the build before the change of names: dashboards and alerts
name these.
"""

from __future__ import annotations

import re
import socket
import urllib.request
from pathlib import Path

from honeybarrow.fleet.status import FleetMetrics, ZoneStatusCount
from honeybarrow.metrics import Metrics
from tests.live import LiveForwarder, ScriptedPartner, accept_all_messages, call_in_reactor

GOLDEN = Path(__file__).parent / "golden" / "metrics"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
    return port


def served() -> str:
    """What a service serves once messages were delivered, turned away and out of time."""
    port = free_port()
    live = LiveForwarder(f"slots = 8, max_open = 40, observe = observe(metrics_port = {port})")
    try:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        assert live.send(live.client(), "note@p.example").startswith("250")
        observer = live.service.forwarder.context.observer
        call_in_reactor(observer.message_rejected, "no room")
        call_in_reactor(observer.message_accepted, "late", "note", "p.example", 1_000_000)
        call_in_reactor(observer.message_completed, "late", "refused", 1_000_000, 0, 0)
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as reply:
            text: str = reply.read().decode()
    finally:
        live.stop()
    return text


def names(text: str) -> list[str]:
    """The metrics with their types, and the samples with their labels' names, each once, sorted."""
    found = set(re.findall(r"^# TYPE (.*)$", text, re.MULTILINE))
    for line in text.splitlines():
        if not line.startswith("#"):
            name, labels = re.fullmatch(r"(\w+)(\{.*\})? \S+", line).groups()  # type: ignore[union-attr]
            label_names = ",".join(re.findall(r"(\w+)=", labels or ""))
            found.add(f"{name}{{{label_names}}}")
    return sorted(found)


def test_a_service_serves_the_same_names() -> None:
    assert names(served()) == (GOLDEN / "service.txt").read_text().splitlines()


def of_a_fleet() -> str:
    """What is served of a fleet's counts when each has something to count."""
    metrics = Metrics({})
    metrics.register_fleet(
        lambda: FleetMetrics(
            members_by_state={"alive": 1},
            zone_statuses=(ZoneStatusCount(zone="north", source_zone="south", status="left"),),
            retained_destinations=1,
            datagrams_sent=1,
            datagrams_received=1,
            bytes_sent=1,
            dropped_by_reason={"unreadable": 1},
        )
    )
    return metrics.render().decode()


def test_the_counts_of_a_fleet_have_the_same_names() -> None:
    assert names(of_a_fleet()) == (GOLDEN / "fleet.txt").read_text().splitlines()
