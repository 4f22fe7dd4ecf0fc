"""The command line interface."""

from honeybarrow.cli.main import main

__all__ = ["main"]
