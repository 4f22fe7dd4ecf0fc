"""Searches simulated runs with random faults for rule violations and lost utility, and minimizes them.

Kind, target, start, duration and magnitude of each fault are random; targets are the partners, endpoints,
forwarders and clients of the scenario. Runs that violate a rule rank first, then those with less utility.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import msgspec

from honeybarrow.lab.simulation import SimulationConfig, run_simulation
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Fault

SECOND_US = 1_000_000


class TargetGroup(enum.Enum):
    """The group of objects that a kind of fault affects."""

    PARTNER = "partner"
    ENDPOINT = "endpoint"  # of a partner with several endpoints
    ADDRESS = "address"
    FORWARDER = "forwarder"
    CLIENT = "client"
    REGISTER = "register"


@dataclass(frozen=True, slots=True)
class FaultRange:
    """Target group of a kind of fault, and ranges of its uniformly drawn magnitude and duration."""

    group: TargetGroup
    magnitude: tuple[float, float] = (1.0, 1.0)
    duration_s: tuple[float, float] = (0.5, 6.0)


FAULT_RANGES: dict[str, FaultRange] = {
    "refuse": FaultRange(TargetGroup.PARTNER, (1.0, 1.0), (0.3, 6.0)),
    "shut": FaultRange(TargetGroup.PARTNER, (1.0, 1.0), (1.0, 6.0)),
    "hang": FaultRange(TargetGroup.PARTNER, (1.0, 1.0), (0.5, 6.0)),
    "silent": FaultRange(TargetGroup.PARTNER, (1.0, 1.0), (0.5, 6.0)),
    "slow": FaultRange(TargetGroup.PARTNER, (2.0, 8.0), (1.0, 6.0)),
    "pauses": FaultRange(TargetGroup.PARTNER, (200_000.0, 1_500_000.0), (1.0, 6.0)),
    "errors": FaultRange(TargetGroup.PARTNER, (0.1, 1.0), (0.5, 6.0)),
    "answer_lost": FaultRange(TargetGroup.PARTNER, (0.05, 0.6), (0.5, 6.0)),
    "throttle": FaultRange(TargetGroup.PARTNER, (0.1, 0.8), (1.0, 8.0)),
    "idle_drop": FaultRange(TargetGroup.PARTNER, (1.0, 1.0), (0.5, 2.0)),
    "spot_refuse": FaultRange(TargetGroup.ADDRESS, (1.0, 1.0), (0.5, 6.0)),
    "spot_mute": FaultRange(TargetGroup.ADDRESS, (1.0, 1.0), (0.5, 6.0)),
    "spot_hang": FaultRange(TargetGroup.ADDRESS, (1.0, 1.0), (0.5, 6.0)),
    "spot_deaf": FaultRange(TargetGroup.ADDRESS, (1.0, 1.0), (0.5, 6.0)),
    "drain": FaultRange(TargetGroup.ENDPOINT, (1.0, 1.0), (0.0, 0.0)),
    "register_down": FaultRange(TargetGroup.REGISTER, (1.0, 1.0), (0.5, 8.0)),
    "register_bad": FaultRange(TargetGroup.REGISTER, (1.0, 1.0), (0.5, 4.0)),
    "register_stale": FaultRange(TargetGroup.REGISTER, (1.0, 1.0), (0.5, 4.0)),
    "kill": FaultRange(TargetGroup.FORWARDER, (1.0, 1.0), (0.5, 3.0)),
    "stall": FaultRange(TargetGroup.FORWARDER, (1.0, 1.0), (0.1, 3.0)),
    "burst": FaultRange(TargetGroup.CLIENT, (1.5, 6.0), (0.5, 5.0)),
}
FAULT_COUNT_RANGE = (1, 6)  # per run
MAX_MINIMIZE_RUNS = 60


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The outcome of one run. ``error`` describes an exception raised by the program, empty if none."""

    seed: int
    faults: tuple[Fault, ...]
    violated_rules: tuple[str, ...]
    utility: float
    error: str = ""

    @property
    def severity_rank(self) -> tuple[int, float, int]:
        """Sort key that puts the worst outcome first."""
        return (-(bool(self.error) * 100 + len(self.violated_rules)), self.utility, self.seed)


def draw_faults(config: SimulationConfig, seed: int) -> SimulationConfig:
    """Return the configuration with its faults replaced by random ones determined by ``seed``."""
    scenario, rng = config.scenario, random.Random(f"draw/{seed}")
    targets = list_targets(config)
    kinds = [kind for kind, fault_range in FAULT_RANGES.items() if targets[fault_range.group]]
    faults = []
    for _ in range(rng.randint(*FAULT_COUNT_RANGE)):
        kind = rng.choice(kinds)
        fault_range = FAULT_RANGES[kind]
        faults.append(
            Fault(
                kind=kind,  # type: ignore[arg-type]
                start_us=int(rng.uniform(0.05, 0.9) * scenario.duration_us),
                duration_us=int(rng.uniform(*fault_range.duration_s) * SECOND_US),
                target=rng.choice(targets[fault_range.group]),
                magnitude=round(rng.uniform(*fault_range.magnitude), 3),
            )
        )
    faults.sort(key=lambda fault: fault.start_us)
    return with_scenario(config, seed=seed, faults=tuple(faults))


def list_targets(config: SimulationConfig) -> dict[TargetGroup, list[str]]:
    """Return the names of possible targets by group. The register has a single, empty name."""
    scenario = config.scenario
    endpoints = [endpoint for partner in scenario.partners for endpoint in partner.endpoints]
    return {
        TargetGroup.REGISTER: [""],
        TargetGroup.PARTNER: [partner.name for partner in scenario.partners],
        TargetGroup.ENDPOINT: [
            endpoint.target
            for partner in scenario.partners
            for endpoint in partner.endpoints
            if len(partner.endpoints) > 1
        ],
        TargetGroup.ADDRESS: [
            name
            for endpoint in endpoints
            for name in (endpoint.target, *(address.name for address in endpoint.addresses))
        ],
        TargetGroup.FORWARDER: [forwarder.name for forwarder in config.forwarders],
        TargetGroup.CLIENT: [client.name for client in scenario.clients],
    }


def with_scenario(config: SimulationConfig, **changes: Any) -> SimulationConfig:
    """Return a copy of the configuration with fields of its scenario changed."""
    return replace(config, scenario=msgspec.structs.replace(config.scenario, **changes))


def run_and_check(config: SimulationConfig) -> RunOutcome:
    """Run a scenario and return its outcome; an exception of the program becomes part of the outcome."""
    scenario = config.scenario
    try:
        result = run_simulation(config)
    except Exception as error:  # the search reports it and continues
        return RunOutcome(scenario.seed, scenario.faults, (), 0.0, f"{type(error).__name__}: {error}")
    return RunOutcome(scenario.seed, scenario.faults, result.rule_check.violated_rules, result.utility)


def search_faults(
    config: SimulationConfig, seeds: Iterable[int], jobs: int, on_outcome: Callable[[RunOutcome], None]
) -> list[RunOutcome]:
    """Run the scenario with random faults for each seed and return the outcomes, worst first.

    Uses ``jobs`` processes; the result does not depend on their number.
    """
    configs = [draw_faults(config, seed) for seed in seeds]
    outcomes = []
    if jobs <= 1:
        for candidate in configs:
            outcomes.append(run_and_check(candidate))
            on_outcome(outcomes[-1])
    else:
        with ProcessPoolExecutor(jobs) as pool:
            for outcome in pool.map(run_and_check, configs):
                outcomes.append(outcome)
                on_outcome(outcome)
    return sorted(outcomes, key=lambda outcome: outcome.severity_rank)


def minimize(
    config: SimulationConfig, is_bad: Callable[[SimulationConfig], bool], max_runs: int = MAX_MINIMIZE_RUNS
) -> SimulationConfig:
    """Reduce the faults, clients and duration of a scenario while ``is_bad`` remains true for it.

    Makes at most ``max_runs`` runs.
    """
    runs_left = max_runs
    has_changed = True
    while has_changed and runs_left > 0:
        has_changed = False
        for shrinker in SHRINKERS:
            for index in range(shrinker.count(config) - 1, -1, -1):
                smaller = shrinker.make_smaller(config, index)
                if smaller is None:
                    continue
                runs_left -= 1
                if runs_left >= 0 and is_bad(smaller):
                    config, has_changed = smaller, True
    return config


def _remove_fault(config: SimulationConfig, index: int) -> SimulationConfig:
    faults = config.scenario.faults
    return with_scenario(config, faults=faults[:index] + faults[index + 1 :])


def _remove_client(config: SimulationConfig, index: int) -> SimulationConfig | None:
    clients = config.scenario.clients
    if len(clients) < 2 or any(fault.target == clients[index].name for fault in config.scenario.faults):
        return None
    return with_scenario(config, clients=clients[:index] + clients[index + 1 :])


def _shorten(config: SimulationConfig, _: int) -> SimulationConfig | None:
    duration_us = config.scenario.duration_us * 2 // 3
    if duration_us <= 2 * SECOND_US or any(fault.start_us >= duration_us for fault in config.scenario.faults):
        return None
    return with_scenario(config, duration_us=duration_us)


class Shrinker(NamedTuple):
    """A reduction step: the number of removable parts, and the scenario with one of them removed.

    ``make_smaller`` returns None if that part cannot be removed.
    """

    count: Callable[[SimulationConfig], int]
    make_smaller: Callable[[SimulationConfig, int], SimulationConfig | None]


SHRINKERS = (
    Shrinker(lambda config: len(config.scenario.faults), _remove_fault),
    Shrinker(lambda config: len(config.scenario.clients), _remove_client),
    Shrinker(lambda config: 1, _shorten),
)


def format_script(config: SimulationConfig) -> str:
    """Format a configuration as a scenario file for ``rehearse`` and ``lab run``."""
    lines = [f"# Found by the laboratory from {config.scenario.name}, seed {config.scenario.seed}."]
    lines.append("forwarders = [")
    lines += [f"    {_format_value(forwarder)}," for forwarder in config.forwarders]
    lines += ["]", f"day = {_format_value(config.scenario)}", ""]
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    """Format a value in the settings language; records omit fields that have their default."""
    if isinstance(value, msgspec.Struct):
        word = next(word for word, record in SCENARIO_RECORD_TYPES.items() if record is type(value))
        all_fields = msgspec.structs.fields(value)
        changed_fields = [each for each in all_fields if getattr(value, each.name) != each.default]
        parts = [
            f"{each.encode_name} = {_format_value(getattr(value, each.name))}" for each in changed_fields
        ]
        return f"{word}({', '.join(parts)})"
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_format_value, value)) + "]"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return repr(value)
