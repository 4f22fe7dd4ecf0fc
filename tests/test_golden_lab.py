"""Simulated runs, scenario files and replication runs produce the values recorded in ``tests/golden``.

The golden files contain names only of scenario files and event logs, none of classes or fields in the code.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import astuple
from pathlib import Path
from typing import Any

import msgspec
import pytest

from honeybarrow import config, lab, rehearsal
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.fleet import replica_placement
from honeybarrow.fleet.replication import AppendAck, AppendRecords, FenceReply, FenceRequest, RequestRejected
from honeybarrow.lab import fault_search
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Scenario
from tests import fleet_scenarios, mutants, test_replication

GOLDEN = Path(__file__).parent / "golden"
SCENARIOS = Path(rehearsal.__file__).parent / "scenarios"
SCENARIO_NAMES = ("addresses", "bad-day", "calm", "zone-lost")
SECOND = 1_000_000
MESSAGE_LABELS = {
    AppendRecords: "append",
    AppendAck: "kept",
    RequestRejected: "refused",
    FenceRequest: "fence",
    FenceReply: "fenced",
}
FLEET_FAULTS = """
    trouble("link_lossy", at = "1s", last = "8s", who = "a", size = 0.1),
    trouble("link_slow", at = "1s", last = "4s", who = "f2", size = 30.0),
    trouble("zone_down", at = "3s", last = "4s", who = "b", how = "hang"),
    trouble("machine_lost", at = "4s", last = "1s", who = "f1"),
    trouble("link_one_way", at = "6s", last = "1s", who = "f3"),
    trouble("zone_cut", at = "8s", last = "1s", who = "c"),
"""
ROUGH_FAULTS = """,
    trouble("kill", at = "2s", last = "1s", who = "solo"),
    trouble("stall", at = "4s", last = "1s", who = "solo"),
    trouble("slow", at = "1s", last = "2s", who = "limit.example", size = 3.0),
    trouble("pauses", at = "1s", last = "2s", who = "step.example", size = 200000.0),
    trouble("errors", at = "1s", last = "2s", who = "pay.example", size = 0.3),
    trouble("throttle", at = "3s", last = "2s", who = "limit.example", size = 0.4),
    trouble("class_fail", at = "3s", last = "1s", who = "drain.example", message_class = "note"),
    trouble("burst", at = "3s", last = "1s", who = "e", size = 2.0),
    trouble("idle_drop", at = "4500ms", last = "1s", who = "drain.example"),
    trouble("register_stale", at = "1s", last = "1s"),
    trouble("register_bad", at = "3s", last = "1s"),
    trouble("register_down", at = "5s", last = "500ms")]
"""


def read_config(name: str, text: str) -> lab.SimulationConfig:
    records = config.evaluate_script(f"{name}.star", text, SCENARIO_RECORD_TYPES)
    return lab.SimulationConfig(
        config.find_one(records, Scenario, Path(name)), tuple(config.find_all(records, ForwarderConfig))
    )


def make_rough_config() -> lab.SimulationConfig:
    head, tail = (mutants.SCENARIO_SCRIPT % (2525, 2600, 2600)).rsplit(")]\nday", 1)
    return read_config("rough", f"{head}){ROUGH_FAULTS}day{tail}")


def make_fleet_config() -> lab.SimulationConfig:
    return read_config(
        "fleet", fleet_scenarios.make_script(20900, FLEET_FAULTS, 10, forwarder_count=3, rate=30.0)
    )


def shorten_scenario(name: str, duration_us: int) -> lab.SimulationConfig:
    simulation = read_config(name, (SCENARIOS / f"{name}.star").read_text(encoding="utf-8"))
    return fault_search.with_scenario(simulation, duration_us=duration_us)


SIMULATIONS: dict[str, Callable[[], lab.SimulationConfig]] = {
    "addresses": lambda: shorten_scenario("addresses", 8 * SECOND),
    "bad-day": lambda: shorten_scenario("bad-day", 16 * SECOND),
    "calm": lambda: shorten_scenario("calm", 6 * SECOND),
    "fleet": make_fleet_config,
    "rough": make_rough_config,
}


def hash_json(value: Any) -> str:
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()


def to_json_values(value: Any) -> Any:
    """Return a value with tuples as lists and bytes as text."""
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, tuple | list):
        return [to_json_values(each) for each in value]
    return value


# --- values that the golden files record


def read_scenario(name: str) -> Any:
    """Return the records of a scenario file by their names in the script."""
    return msgspec.to_builtins(config.read_script(SCENARIOS / f"{name}.star", SCENARIO_RECORD_TYPES))


def list_scenario_words() -> Any:
    """Return the words of scenario files, each with its fields in order and their defaults."""
    found: dict[str, list[Any]] = {}
    for word, record in SCENARIO_RECORD_TYPES.items():
        if word in config.RECORD_TYPES:
            continue
        found[word] = []
        for field in msgspec.structs.fields(record):
            default = None if field.required else msgspec.to_builtins(field.default)
            found[word].append([field.encode_name, field.required, default])
    return found


def record_simulation(name: str) -> Any:
    """Return the event log and the rule check result of a simulated run."""
    simulation = SIMULATIONS[name]()
    result = lab.run_simulation(simulation)
    rule_check = result.rule_check
    rows = [each.as_row() for each in result.entries]
    return {
        "breaks": rule_check.violations,
        "counts": dict(rule_check.counts),
        "classes": {name: list(astuple(row)) for name, row in rule_check.class_figures.items()},
        "zones": [list(astuple(zone)) for zone in rule_check.zone_outages],
        "worth": result.utility,
        "events": result.event_count,
        "simulated_s": result.simulated_s,
        "entries": len(rows),
        "first_entries": rows[:20],
        "digest": hash_json(rows),
        "report": rehearsal.format_report(rule_check, name, simulation.scenario.seed).splitlines(),
    }


def draw_fault_scripts() -> Any:
    """Return scenarios with random faults, as the scripts that the search writes."""
    return {
        str(seed): fault_search.format_script(
            fault_search.draw_faults(make_rough_config(), seed)
        ).splitlines()
        for seed in (1, 5)
    }


def run_replication_models() -> Any:
    """Return seeded runs of the replication model, and the placement of replicas and successors."""
    rows = {}
    for seed, shape in [(1, (3, 2)), (2, (5, 3)), (3, (4, 3)), (4, (2, 2)), (5, (3, 2)), (6, (5, 3))]:
        model = test_replication.ReplicationModel(seed, *shape)
        sent: list[Any] = []

        def record_and_send(sender: str, sends: Any, send: Any = model.send, sent: list[Any] = sent) -> None:
            for each in sends:
                message = each.message
                sent.append(
                    [sender, each.recipient, MESSAGE_LABELS[type(message)], to_json_values(astuple(message))]
                )
            send(sender, sends)

        model.send = record_and_send  # type: ignore[method-assign]
        for _ in range(400):
            model.step()
        rows[str(seed)] = {
            "messages": len(sent),
            "first_messages": sent[:12],
            "digest": hash_json(sent),
            "promised": {str(number): to_json_values(record) for number, record in model.committed.items()},
            "acted": [
                [term, [[n, to_json_values(r)] for n, r in records.items()]]
                for term, records in model.records_of_complete_failovers
            ],
            "state": model.primary.state.value,
            "short": model.primary.find_lagging_replicas(),
        }
    members = test_replication.MEMBERS
    return {
        "plays": rows,
        "holders": {
            each.name: replica_placement.choose_replicas(each, members, 3, ["m3", "m8"]) for each in members
        },
        "heirs": [replica_placement.choose_successor(f"m{n}", n, "xyz", "xz") for n in range(12)],
    }


GOLDEN_VALUES: dict[str, Callable[[], Any]] = {
    **{f"scenarios/{name}.json": lambda name=name: read_scenario(name) for name in SCENARIO_NAMES},  # type: ignore[misc]
    "scenarios/words.json": list_scenario_words,
    **{f"lab/day-{name}.json": lambda name=name: record_simulation(name) for name in SIMULATIONS},  # type: ignore[misc]
    "lab/drawn.json": draw_fault_scripts,
    "copies/plays.json": run_replication_models,
}


def write_golden_files() -> None:
    """Write the golden files. Called by hand to record a reference, never by the tests."""
    for name, make in GOLDEN_VALUES.items():
        (GOLDEN / name).parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps(make(), indent=1, ensure_ascii=False)
        (GOLDEN / name).write_text(text + "\n", encoding="utf-8")


def test_every_scenario_file_is_covered() -> None:
    assert sorted(path.stem for path in SCENARIOS.glob("*.star")) == sorted(SCENARIO_NAMES)


@pytest.mark.parametrize("name", list(GOLDEN_VALUES))
def test_values_equal_the_golden_file(name: str) -> None:
    golden = json.loads((GOLDEN / name).read_text(encoding="utf-8"))
    assert json.loads(json.dumps(GOLDEN_VALUES[name]())) == golden
