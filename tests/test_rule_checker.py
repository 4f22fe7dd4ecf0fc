"""The rule checker passes the unmodified forwarder and finds the rule that each mutant violates."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.mutants import MUTANTS

ROOT = Path(__file__).parent.parent
MAX_PROCESSES = 6  # at once: each runs in real time, and its replies are late if it waits for a core


@pytest.fixture(scope="module")
def outputs() -> dict[str, tuple[str, str]]:
    """Standard output and error of each mutant; several run concurrently, each in its own process."""

    def run(name: str) -> tuple[str, str]:
        finished = subprocess.run(
            [sys.executable, "-m", "tests.mutants", name],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        return finished.stdout, finished.stderr

    with ThreadPoolExecutor(MAX_PROCESSES) as threads:
        return dict(zip(MUTANTS, threads.map(run, MUTANTS), strict=True))


@pytest.mark.parametrize("name", list(MUTANTS))
def test_rule_checker_finds_the_violated_rule(name: str, outputs: dict[str, tuple[str, str]]) -> None:
    output, report = outputs[name]
    lines = output.split("\n")
    assert "rules checked" in lines, report
    if rule := MUTANTS[name][0]:
        assert rule in lines, report
    else:
        assert lines == ["rules checked", ""], report
