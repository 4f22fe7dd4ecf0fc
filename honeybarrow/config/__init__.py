"""The settings language: Starlark scripts that are evaluated to checked records."""

from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.config.script import (
    RECORD_TYPES,
    ScriptError,
    evaluate_script,
    find_all,
    find_one,
    parse_duration_us,
    read_script,
)

__all__ = [
    "RECORD_TYPES",
    "ForwarderConfig",
    "ScriptError",
    "evaluate_script",
    "find_all",
    "find_one",
    "parse_duration_us",
    "read_script",
]
