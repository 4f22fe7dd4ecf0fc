"""Exit statuses of the commands, and the exit with an error message."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

from honeybarrow.errors import USAGE_EXIT_STATUS, HoneybarrowError, format_error

FAILURE, CANNOT_LISTEN, INTERNAL_ERROR = 1, 3, 70


def fail(error: str | BaseException, status: int = USAGE_EXIT_STATUS) -> NoReturn:
    """Print an error and exit.

    A :class:`HoneybarrowError` is printed with its remedy and code, and its own status replaces ``status``.
    """
    if isinstance(error, HoneybarrowError):
        status = error.status
    click.echo(f"honeybarrow: {error if isinstance(error, str) else format_error(error)}", err=True)
    sys.exit(status)
