"""Golden tests of settings scripts: values, and errors of invalid scripts, as in version 0.2.0.

They guard the words, fields and field order of the settings language against renames in the code.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from honeybarrow import config, lab
from honeybarrow.config import schema
from honeybarrow.lab import fault_search
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Scenario

GOLDEN = Path(__file__).parent / "golden" / "settings"
EXAMPLES = Path(__file__).parent.parent / "examples"
SCRIPTS = ("every-word.star", "forwarder.star", "stand-ins.star")
SCENARIO_WORD_OF_RECORD = {record: word for word, record in SCENARIO_RECORD_TYPES.items()}
WRONG_SCRIPTS: list[dict[str, str]] = json.loads((GOLDEN / "wrong-scripts.json").read_text())


def to_plain_data(value: Any) -> Any:
    """Convert a record to its word and fields, and policy settings to a list of values in field order."""
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        values = {field.encode_name: to_plain_data(getattr(value, field.name)) for field in fields}
        return {"": SCENARIO_WORD_OF_RECORD[type(value)], **values}
    if dataclasses.is_dataclass(value):
        return [to_plain_data(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, enum.Enum):
        return value.value
    return [to_plain_data(each) for each in value] if isinstance(value, list | tuple) else value


def read_script_data(path: Path) -> dict[str, Any]:
    """Return the records of a script, and the policy settings of each forwarder."""
    records = config.read_script(path, SCENARIO_RECORD_TYPES)
    found = {name: to_plain_data(value) for name, value in records.items()}
    module = {
        each.name: to_plain_data(each.policy_settings())
        for each in config.find_all(records, schema.ForwarderConfig)
    }
    return {"records": found, "module": module}


@pytest.mark.parametrize("name", SCRIPTS)
def test_a_script_gives_the_golden_values(name: str) -> None:
    assert read_script_data(GOLDEN / name) == json.loads((GOLDEN / name).with_suffix(".json").read_text())


@pytest.mark.parametrize("name", ["forwarder.star", "stand-ins.star"])
def test_the_examples_give_the_golden_values(name: str) -> None:
    assert read_script_data(EXAMPLES / name) == json.loads((GOLDEN / name).with_suffix(".json").read_text())


def test_the_script_of_every_word_uses_all_words_and_fields() -> None:
    records = json.loads((GOLDEN / "every-word.json").read_text())["records"].values()
    given = {value[""]: value for value in records}
    assert set(given) == set(SCENARIO_RECORD_TYPES)
    for word, record in SCENARIO_RECORD_TYPES.items():
        fields = {field.encode_name for field in msgspec.structs.fields(record)}
        assert set(given[word]) - {""} == fields


@pytest.mark.parametrize("wrong", WRONG_SCRIPTS, ids=lambda wrong: wrong["script"][:40])
def test_an_invalid_script_gives_the_golden_error(wrong: dict[str, str]) -> None:
    assert error_text(wrong["script"]) == wrong["error"]


def error_text(script: str) -> str:
    """Return the error of a script that is evaluated for forwarder 'x'."""
    with pytest.raises(config.ScriptError) as caught:
        records = config.evaluate_script("f.star", script, SCENARIO_RECORD_TYPES)
        config.find_one(records, schema.ForwarderConfig, Path("f.star"), "x")
    return str(caught.value)


def test_a_missing_or_ambiguous_record_gives_the_golden_error() -> None:
    records = config.read_script(GOLDEN / "every-word.star", SCENARIO_RECORD_TYPES)
    errors = {}
    for record in (schema.ForwarderConfig, Scenario):  # the records that commands look up
        for found, name in (({}, ""), (records, ""), (records, "missing")):
            if len(config.find_all(found, record)) != 1 or name:
                with pytest.raises(config.ScriptError) as caught:
                    config.find_one(found, record, Path("f.star"), name)
                errors[f"{SCENARIO_WORD_OF_RECORD[record]} {name or len(found)}"] = str(caught.value)
    assert errors == json.loads((GOLDEN / "missing-records.json").read_text())


def test_the_laboratory_formats_a_scenario_as_the_golden_script() -> None:
    records = config.read_script(GOLDEN / "every-word.star", SCENARIO_RECORD_TYPES)
    day = lab.SimulationConfig(records["day"], tuple(config.find_all(records, schema.ForwarderConfig)))
    assert fault_search.format_script(day) == (GOLDEN / "day-written.star").read_text()
    again = config.read_script(GOLDEN / "day-written.star", SCENARIO_RECORD_TYPES)
    assert again["day"] == day.scenario and tuple(again["forwarders"]) == day.forwarders
