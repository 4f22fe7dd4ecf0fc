"""Functions that read the scripts given to commands, and exit with an error for an invalid one."""

from __future__ import annotations

from pathlib import Path

from honeybarrow import config
from honeybarrow.cli.exits import fail
from honeybarrow.config import schema
from honeybarrow.errors import USAGE_EXIT_STATUS
from honeybarrow.rehearsal.schema import SCENARIO_RECORD_TYPES, Scenario

SCENARIOS = Path(__file__).parent.parent / "rehearsal" / "scenarios"


def read_forwarder(file: Path, name: str) -> schema.ForwarderConfig:
    """Return the settings of a forwarder. Exits with an error if they are invalid."""
    try:
        return config.find_one(
            config.read_script(file, SCENARIO_RECORD_TYPES), schema.ForwarderConfig, file, name
        )
    except config.ScriptError as error:
        fail(error)


def read_scenario(file: Path) -> tuple[Scenario, list[schema.ForwarderConfig]]:
    """Return a scenario and its forwarders. Exits with an error if the script is invalid."""
    try:
        records = config.read_script(file, SCENARIO_RECORD_TYPES)
        return config.find_one(records, Scenario, file), config.find_all(records, schema.ForwarderConfig)
    except config.ScriptError as error:
        fail(error)


def find_scenario(file: Path | None) -> tuple[Path, Scenario, list[schema.ForwarderConfig]]:
    """Return the path of a scenario, the scenario and its forwarders. Exits with an error if it is invalid.

    ``file`` is a path or the name of a bundled scenario; ``None`` selects the scenario bad-day.
    """
    path = file if file is not None else SCENARIOS / "bad-day.star"
    if file is not None and not file.exists() and (SCENARIOS / f"{file}.star").exists():
        path = SCENARIOS / f"{file}.star"
    scenario, forwarders = read_scenario(path)
    if not forwarders or not scenario.clients:
        fail(f"{path}: the scenario needs at least one forwarder and one client", USAGE_EXIT_STATUS)
    return path, scenario, forwarders
