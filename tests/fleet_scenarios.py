"""Fleet scenario scripts for process and simulation tests, and helpers that read the resulting logs."""

from __future__ import annotations

import contextlib
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SCENARIO_SCRIPT = """
classes = [
    message_class("card-status", aim = "2s", deadline = "8s", late_share = 0.4),
    message_class("txn-posting", aim = "2s", deadline = "8s", effect = "keyed", window = "4s"),
]
zones = ["a", "b", "c"]
numbers = range(1, %(count)d + 1)
names = ["f%%d" %% i for i in numbers]

def make(i):
    return forwarder(
        "f%%d" %% i, classes = classes, kinds = [kind("chains")], zone = zones[i %% 3],
        register = register(port = %(base)d),
        listen = [listen("smtp", port = %(base)d + 10 + i)],
        routing = routing(time_left_ms = "header:X-Time-Left-Ms"),
        rules = rules(drain_grace = "500ms", cold = "2s", fall = "2s"),
        fleet = fleet(
            name = "day", listen = "127.0.0.1:%%d" %% (%(base)d + 20 + i),
            peers = ["f%%d@127.0.0.1:%%d" %% (j, %(base)d + 30 + 10 * i + j) for j in numbers],
            first_trial = "1s", trial = "1500ms", %(fleet)s
        ),
        slots = 24, max_open = 240, forwarders = %(count)d, max_wait = "3s", stop_grace = "15s",
    )

forwarders = [make(i) for i in numbers]

def chain(n):
    stations = [
        station("p%%d-%%s" %% (n, zones[k]), port = %(base)d + 140 + 10 * n + k, zone = zones[k])
        for k in range(3)
    ]
    return partner("p%%d.example" %% n, number = n, kind = "chains", stations = stations,
                   service = "40ms", workers = 12)

partners = [chain(n) for n in range(1, 5)]

def to_all(name):
    return [part(name, "p%%d.example" %% n) for n in range(1, 5)]

clients = [
    client("status", rate = %(rate)f, forwarders = names, parts = to_all("card-status")),
    client("posting", rate = %(rate)f / 3, forwarders = names, parts = to_all("txn-posting")),
]
troubles = [%(troubles)s]
day = rehearsal("day", length = "%(length)ds", partners = partners, settle = "15s",
                register = stand_in_register(port = %(base)d), clients = clients, troubles = troubles)
"""


def make_script(
    first_port: int, faults: str, length_s: int, forwarder_count: int = 9, rate: float = 60.0, fleet: str = ""
) -> str:
    """Return a scenario script that uses the 300 ports from ``first_port`` on."""
    text = SCENARIO_SCRIPT % {
        "base": first_port,
        "troubles": faults,
        "length": length_s,
        "count": forwarder_count,
        "rate": rate,
        "fleet": fleet,
    }
    # replace the range by a literal list, which tests can edit
    return text.replace(
        f"range(1, {forwarder_count} + 1)", "[" + ", ".join(map(str, range(1, forwarder_count + 1))) + "]"
    )


@dataclass(frozen=True, slots=True)
class LogLine:
    """Line of a forwarder's log. ``at`` is a timestamp text from processes, microseconds from simulations."""

    at: Any
    forwarder: str
    event: str
    fields: dict[str, Any]


def read_logs(folder: Path) -> list[LogLine]:
    """Return the log lines of all forwarders of a rehearsal, sorted by time."""
    lines = []
    for path in folder.glob("f*.log"):
        for text in path.read_text(encoding="utf-8").splitlines():
            # A killed process may leave a partial line, to which its next incarnation appends.
            with contextlib.suppress(ValueError):
                row = json.loads(text)
                lines.append(LogLine(row["timestamp"], path.stem, row["event"], row))
    return sorted(lines, key=lambda line: (line.at, line.forwarder))


def collect_verdicts(lines: list[LogLine], zone: str, source_zone: str = "") -> dict[int, dict[str, Any]]:
    """Return, per verdict epoch, the time at which each forwarder first learnt of the verdict."""
    learnt_at: dict[int, dict[str, Any]] = {}
    for line in lines:
        path = line.fields.get("zone"), line.fields.get("source_zone")
        if line.event in ("zone_ejected", "zone_recovering") and path == (zone, source_zone):
            learnt_at.setdefault(line.fields["epoch"], {}).setdefault(line.forwarder, line.at)
    return learnt_at


def list_ejected_zones(lines: list[LogLine]) -> list[str]:
    """Return the zones that at least one forwarder ejected."""
    return sorted({line.fields["zone"] for line in lines if line.event == "zone_ejected"})
