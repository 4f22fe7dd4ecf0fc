"""Pytest configuration: deterministic hypothesis examples, a strict message guard, and known failures."""

import os
from collections.abc import Iterator

import pytest
from hypothesis import settings

from honeybarrow.message_guard import MessageGuard
from honeybarrow.node.main import STRICT_GUARD_VARIABLE
from tests.known_red import pytest_collection_modifyitems, pytest_runtest_protocol, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_runtest_protocol", "pytest_terminal_summary"]

# A violation of the message guard fails the test, also in processes that the test starts.
MessageGuard.is_strict = True
os.environ[STRICT_GUARD_VARIABLE] = "1"


@pytest.fixture(autouse=True)
def _no_guard_violation() -> Iterator[None]:
    """Fail a test in which the strict guard reported a violation, even if Twisted caught the exception."""
    MessageGuard.strict_violations.clear()
    yield
    violations = list(MessageGuard.strict_violations)
    MessageGuard.strict_violations.clear()
    assert not violations


settings.register_profile("same", derandomize=True, database=None)
settings.load_profile("same")
