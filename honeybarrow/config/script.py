"""Reads a Starlark script into checked records. An error names file, line and field.

Each record has a word in the language, ``message_class(...)`` or ``forwarder(...)``; the call is checked
where it stands, so the error names its line. Durations are texts like ``"250ms"`` or ``"4s"``.
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
UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m)")
MAX_SCRIPT_BYTES = 1 << 20  # a settings script is small; of a wrong file no more is read


class ConfigError(HoneybarrowError):
    """A configuration script is invalid; the message names the file and the line."""

    code = "HB111"
    remedy = "correct the script at the line named, and check it with 'honeybarrow check FILE'"
    status = 2


WORDS: dict[str, type[msgspec.Struct]] = {
    record.script_word: record
    for record in (
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
    """``"250ms"``, ``"1.5s"`` and the like in microseconds. Raises ``ValueError``."""
    match = DURATION.fullmatch(text)
    if not match:
        raise ValueError(f"{text!r} is no duration: write it like '250ms' or '4s'")
    return round(float(match.group(1)) * UNITS[match.group(2)])


def read_script(path: Path, words: Mapping[str, type[msgspec.Struct]] = WORDS) -> dict[str, Any]:
    """The records that the script's top level names, by name.

    Raises :class:`ConfigError` with file, line and field.
    """
    try:
        text = path.read_bytes()[: MAX_SCRIPT_BYTES + 1].decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if len(text) > MAX_SCRIPT_BYTES:
        raise ConfigError(f"{path}: longer than {MAX_SCRIPT_BYTES} octets")
    return evaluate_script(str(path), text, words)


def evaluate_script(
    name: str, text: str, words: Mapping[str, type[msgspec.Struct]] = WORDS
) -> dict[str, Any]:
    """As :func:`read_script`, for a text already read; ``name`` is in its errors."""
    made: list[msgspec.Struct] = []
    module = starlark.Module()
    for word, record in words.items():
        module.add_callable(word, _make_word_function(word, record, made))
    try:
        ast = starlark.parse(name, text + "\n")
        named = sorted(set(re.findall(r"^([A-Za-z_]\w*)\s*=[^=]", text, re.MULTILINE)))
        starlark.eval(module, ast, starlark.Globals.standard())
        found = {each: _resolve_records(module[each], made) for each in named}
    except starlark.StarlarkError as error:
        raise ConfigError(_format_error(name, str(error))) from None
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{name}: {error}") from None
    return found


def find_all(records: dict[str, Any], record_type: type[Record]) -> list[Record]:
    """The records of this type that the script names, alone or in a list, in the order of the names."""
    found: list[Record] = []
    for value in records.values():
        for each in value if isinstance(value, list) else [value]:
            if isinstance(each, record_type) and each not in found:
                found.append(each)
    return found


def find_one(records: dict[str, Any], record_type: type[Record], path: Path, name: str = "") -> Record:
    """The one record of this type, or the one of this name. Raises :class:`ConfigError`."""
    found = find_all(records, record_type)
    word = record_type.script_word
    if name:
        found = [record for record in found if getattr(record, "name", "") == name]
        if not found:
            raise ConfigError(f"{path}: there is no {word}({name!r})")
    if len(found) != 1:
        raise ConfigError(f"{path}: one {word}(...) given to a name is wanted, and there are {len(found)}")
    return found[0]


RECORD_MARK = "record made by the script"


def _make_word_function(
    word: str, record: type[msgspec.Struct], made: list[msgspec.Struct]
) -> Callable[..., Any]:
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(record)}

    def build_record(*args: Any, **given: Any) -> dict[str, Any]:
        names = list(fields)
        for i, value in enumerate(args):
            if i >= len(names) or names[i] in given:
                raise ValueError(f"{word}: value {i + 1} has no field, or its field is named too")
            given[names[i]] = value
        values = {}
        for name, value in given.items():
            if name not in fields:
                raise ValueError(f"{word}: unknown field {name!r}; it has {', '.join(names)}")
            try:
                value = _resolve_records(value, made)
                if isinstance(value, str) and _is_integer(fields[name]):
                    value = parse_duration_us(value)
            except ValueError as error:
                raise ValueError(f"{word}: field {name!r}: {error}") from None
            values[name] = value
        try:
            result = msgspec.convert(values, record, strict=True)
        except msgspec.ValidationError as error:
            text = re.sub(r" - at `\$\.?([^`]*)`", r" (field '\1')", str(error))
            raise ValueError(f"{word}: {text}") from None
        made.append(result)
        return {RECORD_MARK: len(made) - 1}

    return build_record


def _is_integer(hint: Any) -> bool:
    """Whether a field's type is a whole number, through its annotations."""
    while hasattr(hint, "__metadata__"):
        hint = hint.__origin__
    if isinstance(hint, types.UnionType):
        return any(_is_integer(part) for part in typing.get_args(hint))
    return hint is int


def _resolve_records(value: Any, made: list[msgspec.Struct]) -> Any:
    """Replace the marks of records by the records, in any nesting."""
    if isinstance(value, dict):
        if set(value) == {RECORD_MARK}:
            return made[value[RECORD_MARK]]
        return {key: _resolve_records(item, made) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_resolve_records(item, made) for item in value]
    return value


def _format_error(name: str, text: str) -> str:
    """A message of one line: file, line, and what is wrong."""
    place = re.search(r"-->\s*(\S+?):(\d+)(?::\d+)?", text)
    what = re.search(r"error: (?:\w*Error: )?(.*)", text)
    where = f"{name}:{place.group(2)}" if place else name
    return f"{where}: {what.group(1) if what else ' '.join(text.split())}"
