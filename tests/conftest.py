"""The same verdict every time: generated examples follow from the tests' text alone. And the known red."""

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_runtest_protocol, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_runtest_protocol", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, database=None)
settings.load_profile("same")
