"""Base class of the program's errors, with a code, the cause and a remedy for operators.

Every error of the program derives from :class:`HoneybarrowError` and defines a ``code`` that is stable across
versions and a ``remedy`` for the person on call. The command line, the log and replies to operators show
both; ``docs/errors.md`` lists them and is rendered from the classes by :mod:`honeybarrow.error_catalog`.

The module uses the standard library only, since the platform's process and the adapter import it.
"""

from __future__ import annotations

import re
from typing import Any, ClassVar

CODE_PATTERN = re.compile(r"HB[1-9]\d\d")
USAGE_EXIT_STATUS = 2  # exit status after invalid usage or settings


class HoneybarrowError(Exception):
    """Base class of errors that are shown to users and operators.

    ``what`` names the object concerned and the problem in one line, and ``why`` the cause if known.
    ``remedy`` overrides the remedy of the class. ``status`` is the exit status of a command that ends with
    the error.

    Defining a subclass without a code of its own, a remedy and a docstring raises ``TypeError``.
    """

    code: ClassVar[str] = "HB000"
    remedy: str = ""
    status: ClassVar[int] = 1

    def __init__(self, what: str, why: str = "", remedy: str = "") -> None:
        super().__init__(what)
        self.what, self.why = what, why
        self.remedy = remedy or type(self).remedy

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        if CODE_PATTERN.fullmatch(cls.__dict__.get("code", "")) is None:
            raise TypeError(f"{cls.__name__} must define a code of its own, such as HB101")
        if not cls.remedy or not cls.__doc__:
            raise TypeError(f"{cls.__name__} must define a remedy and a docstring")

    def __str__(self) -> str:
        return f"{self.what}: {self.why}" if self.why else self.what

    def log_fields(self) -> dict[str, str]:
        """Return the fields of a structured log entry about this error."""
        found = {"what": self.what, "why": self.why, "remedy": self.remedy, "code": self.code}
        return {name: text for name, text in found.items() if text}


class InvalidValueError(HoneybarrowError, ValueError):
    """A component was given invalid or inconsistent values."""

    code = "HB101"
    remedy = (
        "correct the value named in the message; the description of the settings lists the allowed values"
    )
    status = USAGE_EXIT_STATUS


def format_error(error: BaseException) -> str:
    """Return the error message, followed by a line with remedy and code if it is an error of the program."""
    if not isinstance(error, HoneybarrowError):
        return str(error)
    return f"{error}\n  remedy: {error.remedy} [{error.code}]"


def error_log_fields(error: BaseException) -> dict[str, str]:
    """Return the fields of a structured log entry about an exception of any type."""
    return (
        error.log_fields()
        if isinstance(error, HoneybarrowError)
        else {"what": str(error) or type(error).__name__}
    )
