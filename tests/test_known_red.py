"""The pytest hooks for known failures excuse listed tests alone, and reject invalid lists."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TEST_MODULE = """
import pathlib

def test_good(): pass
def test_bad(): assert 0, "a real fault"
def test_error(): raise OSError
def test_flaky():
    mark = pathlib.Path(__file__).with_suffix(".mark")
    mark.write_text(mark.read_text() + "x" if mark.exists() else "x")
    assert len(mark.read_text()) < 2
"""


def run(folder: Path, listed: str | None, *arguments: str) -> tuple[int, str]:
    """Run pytest with the plugin on a small project and return its exit status and output."""
    (folder / "test_small.py").write_text(TEST_MODULE)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    return process.returncode, process.stdout + process.stderr


def test_failures_are_reported_as_usual_without_a_list(tmp_path: Path) -> None:
    status, output = run(tmp_path, None)
    assert (status == 1 and "3 failed, 1 passed" in output) or "2 failed, 2 passed" in output


def test_listed_failures_are_printed_and_do_not_fail_the_run(tmp_path: Path) -> None:
    listed = "test_small.py::test_bad | the cause | 7\ntest_small.py::test_error | another | 8\n"
    status, output = run(tmp_path, listed)
    assert status == 0 and "2 passed, 2 xfailed" in output
    assert "known red: test_small.py::test_bad fails: the cause (issue 7)" in output


def test_unlisted_failure_fails_the_run(tmp_path: Path) -> None:
    status, output = run(tmp_path, "test_small.py::test_bad | the cause | 7\n")
    assert status == 1 and "1 failed" in output and "test_error" in output


def test_listed_flaky_test_is_an_expected_failure(tmp_path: Path) -> None:
    listed = "test_small.py::test_flaky | a race | 7\n"
    status, output = run(tmp_path, listed, "-k", "good or flaky")
    assert status == 0 and "1 passed" in output and "1 xfailed" in output


PASSING = "test_small.py::test_good | it was fixed | 7\n"
TEST_NAMES = ("good", "bad", "error", "flaky")
TOO_MANY = "".join(f"test_small.py::test_{name} | c | 7\n" for name in TEST_NAMES)


@pytest.mark.parametrize(
    ("listed", "reason"),
    [
        (PASSING, "passes twice in a row"),
        ("test_small.py::test_bad | the cause |\n", "expected 'test | cause | issue', got"),
        ("test_small.py::test_bad | | 7\n", "expected 'test | cause | issue', got"),
        ("test_small.py::test_bad\n", "expected 'test | cause | issue', got"),
        ("test_small.py::test_none | the cause | 7\n", "no such test"),
        ("test_small.py::test_bad[x] | the cause | 7\n", "no such test"),
        ("other.py::test_bad | the cause | 7\n", "no such test"),
        ("test_small.py::test_bad | the cause | 7\n" * 2, "listed twice"),
        (TOO_MANY, "4 tests listed, at most 3 allowed"),
    ],
)
def test_invalid_list_fails_the_run(tmp_path: Path, listed: str, reason: str) -> None:
    status, output = run(tmp_path, listed)
    assert status != 0 and reason in output
