"""List of all error types, and the page ``docs/errors.md`` that is rendered from it.

Listing the types imports every module of the package, so only documentation and tests use this module.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterator

import honeybarrow
from honeybarrow.errors import HoneybarrowError


def list_error_types() -> list[type[HoneybarrowError]]:
    """Import the whole package and return its error types, sorted by code."""
    for module in pkgutil.walk_packages(honeybarrow.__path__, "honeybarrow."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)

    def iter_subclasses(cls: type[HoneybarrowError]) -> Iterator[type[HoneybarrowError]]:
        for each in cls.__subclasses__():
            yield each
            yield from iter_subclasses(each)

    found = {
        each: None for each in iter_subclasses(HoneybarrowError) if each.__module__.startswith("honeybarrow.")
    }
    return sorted(found, key=lambda each: each.code)


def render_error_page() -> str:
    """Return the text of ``docs/errors.md``."""
    lines = [
        "# Errors",
        "",
        "Made from the classes by `honeybarrow.error_catalog.render_error_page`, and held to them by a test.",
        "Each shows its code on the command line, in the log and in answers to people at the fleet port.",
        "",
        "| code | error | what it is | what to do | exit |",
        "| --- | --- | --- | --- | --- |",
    ]
    for each in list_error_types():
        first = " ".join((each.__doc__ or "").split("\n\n")[0].split()).replace("|", "\\|")
        where = each.__module__.removeprefix("honeybarrow.")
        remedy = each.remedy.replace("|", "\\|")
        lines.append(f"| {each.code} | `{where}.{each.__name__}` | {first} | {remedy} | {each.status} |")
    return "\n".join(lines) + "\n"
