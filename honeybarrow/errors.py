"""The base of all errors of the program: what is wrong, why, and what an operator can do about it.

Every error of ours descends from :class:`Problem` and has a ``code`` that stays the same over versions, so
that it can be searched for, and a ``remedy`` for the person who reads it at night. A class without them can't
be made. The command line, the log and answers to people's questions show all of them; ``docs/errors.md``
lists them and is made from the classes, by :func:`page`.

Standard library only: the platform's process and the adapter import this.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, ClassVar

CODE = re.compile(r"HB[1-9]\d\d")
USAGE = 2  # exit status of wrong use or settings


class Problem(Exception):
    """An error that a person may get to see.

    ``what``: one line, with the thing concerned; ``why``: what was found there, if that says more. ``remedy``
    is the type's own unless a case knows better. ``status``: the exit status where it ends a command.
    """

    code: ClassVar[str] = "HB000"
    remedy: str = ""
    status: ClassVar[int] = 1

    def __init__(self, what: str, why: str = "", remedy: str = "") -> None:
        super().__init__(what)
        self.what, self.why = what, why
        self.remedy = remedy or type(self).remedy

    def __init_subclass__(cls, **more: Any) -> None:
        super().__init_subclass__(**more)
        if CODE.fullmatch(cls.__dict__.get("code", "")) is None:
            raise TypeError(f"{cls.__name__} has no code of its own like HB101")
        if not cls.remedy or not cls.__doc__:
            raise TypeError(f"{cls.__name__} has no remedy, or does not say what it is")

    def __str__(self) -> str:
        return f"{self.what}: {self.why}" if self.why else self.what

    def fields(self) -> dict[str, str]:
        """For a structured log line."""
        found = {"what": self.what, "why": self.why, "remedy": self.remedy, "code": self.code}
        return {name: text for name, text in found.items() if text}


class NoSense(Problem, ValueError):
    """A part was given values that make no sense together."""

    code = "HB101"
    remedy = "correct the value that the text names; the settings' page says what each may be"
    status = USAGE


def explain(error: BaseException) -> str:
    """What a person reads: the error in one line, and below it what can be done."""
    if not isinstance(error, Problem):
        return str(error)
    return f"{error}\n  remedy: {error.remedy} [{error.code}]"


def tell(error: BaseException) -> dict[str, str]:
    """What a log line about an error carries, whatever its type."""
    return error.fields() if isinstance(error, Problem) else {"what": str(error) or type(error).__name__}


def every() -> list[type[Problem]]:
    """All types of errors of the program, by code. Imports all of it, so it is for pages and tests."""
    import importlib
    import pkgutil

    import honeybarrow

    for module in pkgutil.walk_packages(honeybarrow.__path__, "honeybarrow."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)

    def below(cls: type[Problem]) -> Iterator[type[Problem]]:
        for each in cls.__subclasses__():
            yield each
            yield from below(each)

    found = {each: None for each in below(Problem) if each.__module__.startswith("honeybarrow.")}
    return sorted(found, key=lambda each: each.code)


def page() -> str:
    """``docs/errors.md``."""
    lines = [
        "# Errors",
        "",
        "Made from the classes by `honeybarrow.errors.page`, and held to them by a test.",
        "Each shows its code on the command line, in the log and in answers to people at the fleet port.",
        "",
        "| code | error | what it is | what to do | exit |",
        "| --- | --- | --- | --- | --- |",
    ]
    for each in every():
        first = " ".join((each.__doc__ or "").split("\n\n")[0].split()).replace("|", "\\|")
        where = each.__module__.removeprefix("honeybarrow.")
        remedy = each.remedy.replace("|", "\\|")
        lines.append(f"| {each.code} | `{where}.{each.__name__}` | {first} | {remedy} | {each.status} |")
    return "\n".join(lines) + "\n"
