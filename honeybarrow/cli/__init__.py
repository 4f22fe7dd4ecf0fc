"""The command line; the only place that names the reactor."""

from honeybarrow.cli.main import main

__all__ = ["main"]
