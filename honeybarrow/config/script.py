"""Evaluation of Starlark settings scripts to checked records.

Each record type has a function in scripts, such as ``message_class(...)`` or ``forwarder(...)``. Its
arguments are checked when it is called, so errors name the file, the line and the field. Durations are
strings such as ``"250ms"`` or ``"4s"``.
"""

from __future__ import annotations

import re
import types
import typing
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import starlark

from honeybarrow.config import schema
from honeybarrow.errors import HoneybarrowError

Record = TypeVar("Record", bound=schema.StrictRecord)
MICROSECONDS_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m)")
MAX_SCRIPT_BYTES = 1 << 20


class ScriptError(HoneybarrowError):
    """A settings or scenario script can't be read or evaluated; the message names the file."""

    code = "HB111"
    remedy = "correct the script at the line named, and check it with 'honeybarrow check FILE'"
    status = 2


RECORD_TYPES: dict[str, type[msgspec.Struct]] = {
    record_type.script_function: record_type
    for record_type in (
        schema.MessageClassConfig,
        schema.DestinationKindConfig,
        schema.TenantConfig,
        schema.RoutingConfig,
        schema.ListenerConfig,
        schema.ClientProgramConfig,
        schema.TlsConfig,
        schema.MailFrontConfig,
        schema.PoolConfig,
        schema.RegisterConfig,
        schema.ObservabilityConfig,
        schema.FleetMembershipConfig,
        schema.PolicyConfig,
        schema.ForwarderConfig,
    )
}


def parse_duration_us(text: str) -> int:
    """Return a duration such as ``"250ms"`` or ``"1.5s"`` in microseconds. Raises ``ValueError``."""
    match = DURATION_PATTERN.fullmatch(text)
    if not match:
        raise ValueError(f"{text!r} is no duration: write it like '250ms' or '4s'")
    return round(float(match.group(1)) * MICROSECONDS_PER_UNIT[match.group(2)])


def read_script(
    path: Path, record_types: Mapping[str, type[msgspec.Struct]] = RECORD_TYPES
) -> dict[str, Any]:
    """Evaluate a script and return the values of its top-level variables by name.

    ``record_types`` maps the functions of the language to their record types. Raises :class:`ScriptError`
    with file, line and field.
    """
    try:
        text = path.read_bytes()[: MAX_SCRIPT_BYTES + 1].decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: {error}") from None
    if len(text) > MAX_SCRIPT_BYTES:
        raise ScriptError(f"{path}: longer than {MAX_SCRIPT_BYTES} bytes")
    return evaluate_script(str(path), text, record_types)


def evaluate_script(
    name: str, text: str, record_types: Mapping[str, type[msgspec.Struct]] = RECORD_TYPES
) -> dict[str, Any]:
    """Evaluate a script given as text, like :func:`read_script`. ``name`` is the file name in errors."""
    records: list[msgspec.Struct] = []
    module = starlark.Module()
    for function_name, record_type in record_types.items():
        module.add_callable(function_name, _make_record_function(function_name, record_type, records))
    try:
        ast = starlark.parse(name, text + "\n")
        variables = sorted(set(re.findall(r"^([A-Za-z_]\w*)\s*=[^=]", text, re.MULTILINE)))
        starlark.eval(module, ast, starlark.Globals.standard())
        found = {variable: _resolve_records(module[variable], records) for variable in variables}
    except starlark.StarlarkError as error:
        raise ScriptError(_format_error(name, str(error))) from None
    except (KeyError, TypeError, ValueError) as error:
        raise ScriptError(f"{name}: {error}") from None
    return found


def find_all(records: dict[str, Any], record_type: type[Record]) -> list[Record]:
    """Return the records of one type, in the order of their variables.

    Records are found as values of variables and as items of lists; each is returned once.
    """
    found: list[Record] = []
    for value in records.values():
        for candidate in value if isinstance(value, list) else [value]:
            if isinstance(candidate, record_type) and candidate not in found:
                found.append(candidate)
    return found


def find_one(records: dict[str, Any], record_type: type[Record], path: Path, name: str = "") -> Record:
    """Return the only record of a type, or the only one with the given name.

    Raises :class:`ScriptError` if there is none or more than one. ``path`` is the file name in errors.
    """
    found = find_all(records, record_type)
    function_name = record_type.script_function
    if name:
        found = [record for record in found if getattr(record, "name", "") == name]
        if not found:
            raise ScriptError(f"{path}: there is no {function_name}({name!r})")
    if len(found) != 1:
        raise ScriptError(
            f"{path}: one {function_name}(...) given to a name is wanted, and there are {len(found)}"
        )
    return found[0]


# Starlark values can't hold Python objects, so a script sees a record as a dict of this key and an index.
RECORD_KEY = "record made by the script"


def _make_record_function(
    function_name: str, record_type: type[msgspec.Struct], records: list[msgspec.Struct]
) -> Callable[..., Any]:
    """Return the function that scripts call to create a record of this type.

    It appends the record to ``records`` and returns a reference to it.
    """
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(record_type)}

    def build_record(*args: Any, **arguments: Any) -> dict[str, Any]:
        names = list(fields)
        for i, value in enumerate(args):
            if i >= len(names) or names[i] in arguments:
                raise ValueError(f"{function_name}: value {i + 1} has no field, or its field is named too")
            arguments[names[i]] = value
        values = {}
        for name, value in arguments.items():
            if name not in fields:
                raise ValueError(f"{function_name}: unknown field {name!r}; it has {', '.join(names)}")
            try:
                value = _resolve_records(value, records)
                if isinstance(value, str) and _is_integer(fields[name]):
                    value = parse_duration_us(value)
            except ValueError as error:
                raise ValueError(f"{function_name}: field {name!r}: {error}") from None
            values[name] = value
        try:
            result = msgspec.convert(values, record_type, strict=True)
        except msgspec.ValidationError as error:
            text = re.sub(r" - at `\$\.?([^`]*)`", r" (field '\1')", str(error))
            raise ValueError(f"{function_name}: {text}") from None
        records.append(result)
        return {RECORD_KEY: len(records) - 1}

    return build_record


def _is_integer(hint: Any) -> bool:
    """Return whether a field holds an integer, ignoring annotations and optional types."""
    while hasattr(hint, "__metadata__"):
        hint = hint.__origin__
    if isinstance(hint, types.UnionType):
        return any(_is_integer(part) for part in typing.get_args(hint))
    return hint is int


def _resolve_records(value: Any, records: list[msgspec.Struct]) -> Any:
    """Return the value with each reference to a record replaced by the record, at any depth."""
    if isinstance(value, dict):
        if set(value) == {RECORD_KEY}:
            return records[value[RECORD_KEY]]
        return {key: _resolve_records(item, records) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_resolve_records(item, records) for item in value]
    return value


def _format_error(name: str, text: str) -> str:
    """Return a one-line message with file, line and cause."""
    location = re.search(r"-->\s*(\S+?):(\d+)(?::\d+)?", text)
    cause = re.search(r"error: (?:\w*Error: )?(.*)", text)
    prefix = f"{name}:{location.group(2)}" if location else name
    return f"{prefix}: {cause.group(1) if cause else ' '.join(text.split())}"
