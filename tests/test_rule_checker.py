"""The rule checker passes the unmodified forwarder and finds the rule that each mutant violates."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.mutants import MUTANTS

ROOT = Path(__file__).parent.parent


@pytest.fixture(scope="module")
def outputs() -> dict[str, tuple[str, str]]:
    """Standard output and error of each mutant; all run concurrently, each in its own process."""
    running: dict[str, Any] = {
        name: subprocess.Popen(
            [sys.executable, "-m", "tests.mutants", name],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for name in MUTANTS
    }
    return {name: process.communicate(timeout=90) for name, process in running.items()}


@pytest.mark.parametrize("name", list(MUTANTS))
def test_rule_checker_finds_the_violated_rule(name: str, outputs: dict[str, tuple[str, str]]) -> None:
    output, report = outputs[name]
    lines = output.split("\n")
    assert "rules checked" in lines, report
    if rule := MUTANTS[name][0]:
        assert rule in lines, report
    else:
        assert lines == ["rules checked", ""], report
